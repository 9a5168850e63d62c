//! A new version under load: the process that serves hands the listener itself to the one that is started beside
//! it, then its blocks, its list and what it has learned. One listener with one queue: nothing that waits at the
//! door is reset. Until the old process has ended the two share the limits.

use crate::backends::list::List;
use crate::backends::pool::{Backends, spawn};
use crate::clients::front::Front;
use crate::control::discovery;
use crate::control::engine::Engine;
use crate::state::detached::{Detached, place};
use doorcourse::HandoverState;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fs;
use std::future::Future;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::time::{sleep, timeout};

/// The file name's end of the socket at which the process that serves is found.
const SOCKET: &str = "handover";
/// What the new process says when it could serve at once.
const TAKE: &str = "take\n";
/// The other process answers within this; one that has been found and says nothing is given up.
const PATIENCE: Duration = Duration::from_secs(1);
/// The new process says that it takes over within this.
const DECIDE: Duration = Duration::from_secs(10);
/// The new process waits this long for its counter, looking this often.
const COUNTER: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(5));
/// The longest estate that is read.
const LONGEST: u64 = 32 << 20;
/// While both run, each looks this often for what operators told the other one.
const REFRESH: Duration = Duration::from_millis(250);
/// A failed accept is tried again after this.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What one process leaves to the next.
#[derive(Deserialize, Serialize)]
struct Legacy {
    estate: HandoverState,
    /// The time as it was handed over, by the clock that the estate's times are of.
    now: Option<f64>,
    list: Value,
    lame_duck: bool,
    /// Connections of clients that are still there.
    guests: usize,
}

/// The parts of a process that a handover acts on.
pub struct Parts {
    /// The gateway's name.
    pub name: String,
    /// The clients' side.
    pub front: Rc<Front>,
    /// Where the decisions are asked.
    pub engine: Rc<Engine>,
    /// The backends' side.
    pub backends: Rc<Backends>,
    /// The backends that are out by hand.
    pub detached: Rc<Detached>,
}

/// The process that serves under this name already.
pub struct Predecessor(UnixStream);

/// Finds the process that serves already, and gets its listener.
pub async fn meet(name: &str, listen: SocketAddr) -> Option<(Predecessor, TcpListener)> {
    let stream = UnixStream::connect(place(name, SOCKET)).await.ok()?;
    let received = within(PATIENCE, stream.async_io(Interest::READABLE, || receive(&stream))).await;
    let listener = received.and_then(|fd| {
        let listener = std::net::TcpListener::from(fd);
        // A port of the system's choice cannot be compared.
        if listen.port() != 0 && listener.local_addr()? != listen {
            return Err(io::Error::other("a listener at another address"));
        }
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    match listener {
        Ok(listener) => Some((Predecessor(stream), listener)),
        Err(error) => {
            eprintln!("handover: nothing got from the process that serves: {error}");
            None
        }
    }
}

impl Predecessor {
    /// Takes over once this process could serve at once. `share` is told how many descriptors the other process
    /// still holds, and then that it holds none.
    ///
    /// # Errors
    /// When the other process says nothing usable; its listener can be used all the same.
    pub async fn take_over(self, parts: &Parts, share: impl Fn(usize) + 'static) -> io::Result<()> {
        let counted = async {
            while !parts.engine.has_counter() {
                sleep(COUNTER.1).await;
            }
        };
        // A counter that is down is no reason to keep an old version.
        let _ = timeout(COUNTER.0, counted).await;
        let mut stream = BufReader::new(self.0);
        let legacy = within(PATIENCE, async {
            stream.write_all(TAKE.as_bytes()).await?;
            let mut text = Vec::new();
            (&mut stream).take(LONGEST).read_until(b'\n', &mut text).await?;
            Ok(serde_json::from_slice::<Legacy>(&text)?)
        });
        let legacy = legacy.await;
        let detached = parts.detached.clone();
        share(legacy.as_ref().map_or(0, |legacy| legacy.guests * 2));
        spawn(async move {
            // The other process ends what it has, says nothing more, and its end is the stream's.
            alongside(&detached, async move { while stream.read_u8().await.is_ok() {} }).await;
            share(0);
        });
        let legacy = legacy?;
        let list = List::from_value(&legacy.list).map_err(io::Error::other)?;
        parts.front.set_lame_duck(legacy.lame_duck);
        parts.engine.take_over(legacy.estate, legacy.now);
        discovery::tell(list, &parts.backends, &parts.engine);
        parts.detached.tell_again();
        Ok(())
    }
}

/// From now on a process that takes over finds this one, and is handed all. The listener stays the clients' side's
/// to close.
pub fn await_successor(parts: Parts, listener: Weak<TcpListener>) {
    let path = place(&parts.name, SOCKET);
    let _ = fs::remove_file(&path);
    let socket = match UnixListener::bind(&path) {
        Ok(socket) => socket,
        Err(error) => return eprintln!("handover: no socket at {}: {error}", path.display()),
    };
    spawn(serve(parts, socket, listener));
}

async fn serve(parts: Parts, socket: UnixListener, listener: Weak<TcpListener>) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        match hand_over(&parts, stream, &listener).await {
            Ok(stream) => {
                drop(socket);
                // Held open to this process's end, which the other one sees by it.
                return alongside(&parts.detached, async move {
                    let _stream = stream;
                    std::future::pending().await
                })
                .await;
            }
            // The new process has gone or thought better of it: this one goes on as before.
            Err(error) => eprintln!("handover: not taken over: {error}"),
        }
    }
}

async fn hand_over(
    parts: &Parts, stream: UnixStream, listener: &Weak<TcpListener>,
) -> io::Result<UnixStream> {
    let listener = listener.upgrade().ok_or_else(|| io::Error::other("this process is ending"))?;
    stream.async_io(Interest::WRITABLE, || send(&stream, &listener)).await?;
    drop(listener);
    let mut stream = BufReader::new(stream);
    let mut said = String::new();
    within(DECIDE, async { (&mut stream).take(TAKE.len() as u64).read_line(&mut said).await }).await?;
    if said != TAKE || !parts.front.is_ready() {
        return Err(io::Error::other(format!("it said {said:?}")));
    }
    let lame_duck = parts.front.is_lame_duck();
    let guests = parts.front.hand_over();
    parts.backends.close_idle();
    let list = List { seq: parts.backends.seq(), whole: true, hosts: parts.backends.hosts() }.to_value();
    let (estate, now) = parts.engine.hand_over();
    let legacy = Legacy { estate, now: Some(now), list, lame_duck, guests };
    let mut text = serde_json::to_vec(&legacy)?;
    text.push(b'\n');
    // From here on there is no way back: what the estate holds may be in use already.
    if let Err(error) = within(PATIENCE, stream.write_all(&text)).await {
        eprintln!("handover: the other process did not take all: {error}");
    }
    Ok(stream.into_inner())
}

/// Keeps up with what operators tell the other process, until `end` resolves.
async fn alongside(detached: &Detached, end: impl Future<Output = ()>) {
    let refreshing = async {
        loop {
            detached.refresh();
            sleep(REFRESH).await;
        }
    };
    tokio::select! {
        () = end => {}
        () = refreshing => {}
    }
}

async fn within<T>(span: Duration, wanted: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(span, wanted).await?
}

fn send(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let fds = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(&fds));
    sendmsg(stream, &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

fn receive(stream: &UnixStream) -> io::Result<OwnedFd> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    recvmsg(stream, &mut [IoSliceMut::new(&mut [0])], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let listener = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
        _ => None,
    });
    listener.ok_or_else(|| io::Error::other("no listener came"))
}
