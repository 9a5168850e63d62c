//! A relay on a link: passes bytes on. While the link is cut it has no listener, and all its connections are reset.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const POLL: Duration = Duration::from_millis(10);

pub fn start(at: SocketAddr, to: SocketAddr, cut: &Arc<AtomicBool>) {
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
                Ok((stream, _)) => pass(stream, to, &cut),
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn pass(near: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    let cut = cut.clone();
    std::thread::spawn(move || {
        let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(300)) else { return };
        for stream in [&near, &far] {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
        }
        if let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) {
            let back_cut = cut.clone();
            std::thread::spawn(move || copy(far_too, near_too, &back_cut));
        }
        copy(near, far, &cut);
    });
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = from.set_read_timeout(Some(POLL));
    let mut bytes = [0; 16 * 1024];
    while !cut.load(Ordering::SeqCst) {
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(read) => {
                if to.write_all(&bytes[..read]).is_err() {
                    break;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
