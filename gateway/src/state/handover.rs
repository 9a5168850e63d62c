//! Handover between two processes of a gateway, for upgrades under load. The running process passes its listening
//! socket to the new process, then its quota leases, its list of backends and the learned state. Both use one listener
//! with one accept queue, so no waiting connection is reset. Until the old process ends, the two share the descriptor
//! limits. A detached backend is one that an operator has excluded from new requests.

use crate::backends::list::List;
use crate::backends::pool::{Backends, spawn};
use crate::clients::frontend::Frontend;
use crate::control::discovery;
use crate::control::engine::Engine;
use crate::state::detached::{DetachedBackends, shared_path};
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

/// Suffix of the Unix socket at which the running process is found.
const SOCKET_NAME: &str = "handover";
/// Sent by the new process once it is ready to serve.
const TAKE_OVER_MESSAGE: &str = "take\n";
/// Timeout for the messages of the other process.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the new process to announce that it takes over.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the new process waits for its counter connection, and the polling interval.
const COUNTER_WAIT: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(5));
/// Maximum size of the handover message.
const MAX_STATE_BYTES: u64 = 32 << 20;
/// Interval at which each of two running processes reads the detached backends that operators set at the other one.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The state that one process sends to its successor.
#[derive(Deserialize, Serialize)]
struct HandoverMessage {
    #[serde(rename = "estate")]
    state: HandoverState,
    /// The sender's clock at the time of sending, in which the times in `state` are expressed.
    now: Option<f64>,
    list: Value,
    lame_duck: bool,
    /// The number of client connections that are still open.
    #[serde(rename = "guests")]
    clients: usize,
}

/// The parts of a process that a handover acts on.
pub struct Parts {
    /// The gateway's name.
    pub name: String,
    /// The client side.
    pub frontend: Rc<Frontend>,
    /// The decision engine.
    pub engine: Rc<Engine>,
    /// The backend side.
    pub backends: Rc<Backends>,
    /// The backends that operators have detached.
    pub detached: Rc<DetachedBackends>,
}

/// The process that currently serves under this gateway's name.
pub struct Predecessor(UnixStream);

/// Connects to the running process of this gateway and receives its listening socket.
pub async fn find_predecessor(name: &str, listen: SocketAddr) -> Option<(Predecessor, TcpListener)> {
    let stream = UnixStream::connect(shared_path(name, SOCKET_NAME)).await.ok()?;
    let received =
        with_timeout(REPLY_TIMEOUT, stream.async_io(Interest::READABLE, || receive(&stream))).await;
    let listener = received.and_then(|fd| {
        let listener = std::net::TcpListener::from(fd);
        // With port 0 the kernel chose the port, so the addresses cannot be compared.
        if listen.port() != 0 && listener.local_addr()? != listen {
            return Err(io::Error::other("the listener has another address"));
        }
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    match listener {
        Ok(listener) => Some((Predecessor(stream), listener)),
        Err(error) => {
            eprintln!("handover: no listener from the running process: {error}");
            None
        }
    }
}

impl Predecessor {
    /// Takes over once this process is ready to serve. `on_shared` receives the number of descriptors that the other
    /// process still holds, and 0 when that process has ended.
    ///
    /// # Errors
    /// When the handover message is missing or invalid. The listening socket can be used nevertheless.
    pub async fn take_over(self, parts: &Parts, on_shared: impl Fn(usize) + 'static) -> io::Result<()> {
        let counter_available = async {
            while !parts.engine.counter_available() {
                sleep(COUNTER_WAIT.1).await;
            }
        };
        // An unavailable counter does not prevent the takeover.
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
            // The other process sends nothing more; the stream ends when that process ends.
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

/// Waits for a successor from now on and hands everything over to it. The frontend still owns the listener and closes
/// it.
pub fn await_successor(parts: Parts, listener: Weak<TcpListener>) {
    let path = shared_path(&parts.name, SOCKET_NAME);
    let _ = fs::remove_file(&path);
    let socket = match UnixListener::bind(&path) {
        Ok(socket) => socket,
        Err(error) => return eprintln!("handover: cannot listen at {}: {error}", path.display()),
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
                // Kept open until this process ends: the successor detects the end by the closed stream.
                return refresh_until(&parts.detached, async move {
                    let _stream = stream;
                    std::future::pending().await
                })
                .await;
            }
            // The new process has ended or not taken over: this process continues to serve.
            Err(error) => eprintln!("handover: the successor did not take over: {error}"),
        }
    }
}

async fn hand_over(
    parts: &Parts, stream: UnixStream, listener: &Weak<TcpListener>,
) -> io::Result<UnixStream> {
    let listener = listener.upgrade().ok_or_else(|| io::Error::other("this process is shutting down"))?;
    stream.async_io(Interest::WRITABLE, || send(&stream, &listener)).await?;
    drop(listener);
    let mut stream = BufReader::new(stream);
    let mut reply = String::new();
    with_timeout(TAKE_OVER_TIMEOUT, async {
        (&mut stream).take(TAKE_OVER_MESSAGE.len() as u64).read_line(&mut reply).await
    })
    .await?;
    if reply != TAKE_OVER_MESSAGE || !parts.frontend.is_ready() {
        return Err(io::Error::other(format!("unexpected message {reply:?}, or not ready")));
    }
    let lame_duck = parts.frontend.is_lame_duck();
    let clients = parts.frontend.hand_over();
    parts.backends.close_idle();
    let list = List { seq: parts.backends.seq(), whole: true, hosts: parts.backends.hosts() }.to_value();
    let (state, now) = parts.engine.hand_over();
    let message = HandoverMessage { state, now: Some(now), list, lame_duck, clients };
    let mut text = serde_json::to_vec(&message)?;
    text.push(b'\n');
    // The handover is final from here on: the successor may already use the leases in the message.
    if let Err(error) = with_timeout(REPLY_TIMEOUT, stream.write_all(&text)).await {
        eprintln!("handover: state not sent completely: {error}");
    }
    Ok(stream.into_inner())
}

/// Applies detachments made at the other process until `end` resolves.
async fn refresh_until(detached: &DetachedBackends, end: impl Future<Output = ()>) {
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
    listener.ok_or_else(|| io::Error::other("no listener received"))
}
