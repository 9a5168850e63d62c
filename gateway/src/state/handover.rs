//! A new version under load: the process that serves hands the listener itself to the one that is started beside
//! it, then its blocks, its list and what it has learned. One listener with one queue: nothing that waits at the
//! door is reset. Until the old process has ended the two share the limits.

use crate::backends::list::List;
use crate::backends::pool::{Backends, spawn};
use crate::clients::frontend::Frontend;
use crate::control::discovery;
use crate::control::engine::Engine;
use crate::state::detached::{Detached, shared_path};
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
const SOCKET_NAME: &str = "handover";
/// What the new process says when it could serve at once.
const TAKE_OVER_MESSAGE: &str = "take\n";
/// The other process answers within this; one that has been found and says nothing is given up.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// The new process says that it takes over within this.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(10);
/// The new process waits this long for its counter, looking this often.
const COUNTER_WAIT: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(5));
/// The longest estate that is read.
const MAX_STATE_BYTES: u64 = 32 << 20;
/// While both run, each looks this often for what operators told the other one.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// A failed accept is tried again after this.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What one process leaves to the next.
#[derive(Deserialize, Serialize)]
struct HandoverMessage {
    #[serde(rename = "estate")]
    state: HandoverState,
    /// The time as it was handed over, by the clock that the estate's times are of.
    now: Option<f64>,
    list: Value,
    lame_duck: bool,
    /// Connections of clients that are still there.
    #[serde(rename = "guests")]
    clients: usize,
}

/// The parts of a process that a handover acts on.
pub struct Parts {
    /// The gateway's name.
    pub name: String,
    /// The clients' side.
    pub frontend: Rc<Frontend>,
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
pub async fn find_predecessor(name: &str, listen: SocketAddr) -> Option<(Predecessor, TcpListener)> {
    let stream = UnixStream::connect(shared_path(name, SOCKET_NAME)).await.ok()?;
    let received =
        with_timeout(REPLY_TIMEOUT, stream.async_io(Interest::READABLE, || receive(&stream))).await;
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
    pub async fn take_over(self, parts: &Parts, on_shared: impl Fn(usize) + 'static) -> io::Result<()> {
        let counter_available = async {
            while !parts.engine.counter_available() {
                sleep(COUNTER_WAIT.1).await;
            }
        };
        // A counter that is down is no reason to keep an old version.
        let _ = timeout(COUNTER_WAIT.0, counter_available).await;
        let mut stream = BufReader::new(self.0);
        let message = with_timeout(REPLY_TIMEOUT, async {
            stream.write_all(TAKE_OVER_MESSAGE.as_bytes()).await?;
            let mut text = Vec::new();
            (&mut stream).take(MAX_STATE_BYTES).read_until(b'\n', &mut text).await?;
            Ok(serde_json::from_slice::<HandoverMessage>(&text)?)
        });
        let message = message.await;
        let detached = parts.detached.clone();
        on_shared(message.as_ref().map_or(0, |message| message.clients * 2));
        spawn(async move {
            // The other process ends what it has, says nothing more, and its end is the stream's.
            refresh_until(&detached, async move { while stream.read_u8().await.is_ok() {} }).await;
            on_shared(0);
        });
        let message = message?;
        let list = List::from_value(&message.list).map_err(io::Error::other)?;
        parts.frontend.set_lame_duck(message.lame_duck);
        parts.engine.take_over(message.state, message.now);
        discovery::apply_list(list, &parts.backends, &parts.engine);
        parts.detached.resend();
        Ok(())
    }
}

/// From now on a process that takes over finds this one, and is handed all. The listener stays the clients' side's
/// to close.
pub fn await_successor(parts: Parts, listener: Weak<TcpListener>) {
    let path = shared_path(&parts.name, SOCKET_NAME);
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
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        match hand_over(&parts, stream, &listener).await {
            Ok(stream) => {
                drop(socket);
                // Held open to this process's end, which the other one sees by it.
                return refresh_until(&parts.detached, async move {
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
    let mut reply = String::new();
    with_timeout(TAKE_OVER_TIMEOUT, async {
        (&mut stream).take(TAKE_OVER_MESSAGE.len() as u64).read_line(&mut reply).await
    })
    .await?;
    if reply != TAKE_OVER_MESSAGE || !parts.frontend.is_ready() {
        return Err(io::Error::other(format!("it said {reply:?}")));
    }
    let lame_duck = parts.frontend.is_lame_duck();
    let clients = parts.frontend.hand_over();
    parts.backends.close_idle();
    let list = List { seq: parts.backends.seq(), whole: true, hosts: parts.backends.hosts() }.to_value();
    let (state, now) = parts.engine.hand_over();
    let message = HandoverMessage { state, now: Some(now), list, lame_duck, clients };
    let mut text = serde_json::to_vec(&message)?;
    text.push(b'\n');
    // From here on there is no way back: what the estate holds may be in use already.
    if let Err(error) = with_timeout(REPLY_TIMEOUT, stream.write_all(&text)).await {
        eprintln!("handover: the other process did not take all: {error}");
    }
    Ok(stream.into_inner())
}

/// Keeps up with what operators tell the other process, until `end` resolves.
async fn refresh_until(detached: &Detached, end: impl Future<Output = ()>) {
    let refreshing = async {
        loop {
            detached.refresh();
            sleep(REFRESH_INTERVAL).await;
        }
    };
    tokio::select! {
        () = end => {}
        () = refreshing => {}
    }
}

async fn with_timeout<T>(duration: Duration, future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(duration, future).await?
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
