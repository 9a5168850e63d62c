//! A relay on a link: passes bytes on, after a delay. While the link is cut it has no listener, and all its connections
//! are closed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(10);

pub fn start(at: SocketAddr, to: SocketAddr, cut: &Arc<AtomicBool>, delay: Duration) {
    let cut = cut.clone();
    std::thread::spawn(move || loop {
        if cut.load(Ordering::SeqCst) {
            std::thread::sleep(POLL);
            continue;
        }
        let Ok(listener) = TcpListener::bind(at) else {
            std::thread::sleep(POLL);
            continue;
        };
        let _ = listener.set_nonblocking(true);
        while !cut.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => pass(stream, to, &cut, delay),
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn pass(near: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>, delay: Duration) {
    let cut = cut.clone();
    std::thread::spawn(move || {
        let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(300)) else { return };
        for stream in [&near, &far] {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
        }
        if let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) {
            let back_cut = cut.clone();
            std::thread::spawn(move || copy(far_too, near_too, &back_cut, delay));
        }
        copy(near, far, &cut, delay);
    });
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool, delay: Duration) {
    let _ = from.set_read_timeout(Some(POLL));
    let (late, due) = mpsc::channel::<(Instant, Vec<u8>)>();
    let ends = (from.try_clone(), to.try_clone());
    let writer = std::thread::spawn(move || {
        for (at, bytes) in due {
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    });
    let mut bytes = [0; 16 * 1024];
    while !cut.load(Ordering::SeqCst) {
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(read) => {
                if late.send((Instant::now() + delay, bytes[..read].to_vec())).is_err() {
                    break;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    drop(late);
    if !cut.load(Ordering::SeqCst) {
        let _ = writer.join();
    }
    for stream in [ends.0, ends.1].into_iter().flatten() {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}
