//! One connection between two processes: frames out through a bounded queue, frames in one by one.

use crate::spawn;
use bytes::{Buf, BytesMut};
use config::Detours;
use miette::Diagnostic;
use protocol::{FrameError, Message};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// So many frames wait for a peer at most; a heartbeat every 100 ms and a herd's changes fit.
const WAITING: usize = 512;
/// A peer that takes nothing for this long has lost its connection. The kernel is told as well: a machine behind a cut
/// says nothing, and what waits for it would wait for minutes.
const STUCK: Duration = Duration::from_millis(1500);
/// So many bytes of frames go to the kernel in one call, and wait for it in memory beside the queue.
const BATCH_BYTES: usize = 64 * 1024;
/// What the kernel keeps for a peer that has not taken it yet, in bytes. Without a bound it is megabytes on a slow link:
/// heartbeats would be seconds old when they come, and the socket would take nothing more for longer than [`STUCK`].
const SEND_BUFFER_BYTES: usize = 128 * 1024;
/// A connection that doesn't come up by then doesn't.
const CONNECT: Duration = Duration::from_millis(300);

/// What went wrong with a connection, at which step and with whom.
#[derive(Debug, Error, Diagnostic)]
pub enum ConnectionError {
    /// It didn't come up.
    #[error("connect to {peer}: {source}")]
    Connect {
        /// Whom to.
        peer: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// It broke.
    #[error("read from {peer}: {source}")]
    Read {
        /// Whom from.
        peer: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The peer closed it.
    #[error("read from {peer}: closed")]
    Closed {
        /// Whom from.
        peer: SocketAddr,
    },
    /// The peer said something that is no message.
    #[error("read from {peer}: {source}")]
    FrameError {
        /// Whom from.
        peer: SocketAddr,
        /// What is wrong with it.
        source: FrameError,
    },
}

/// Where frames for a peer go.
#[derive(Clone, Debug)]
pub struct FrameSender(mpsc::Sender<Rc<[u8]>>);

impl FrameSender {
    /// A line whose frames are taken from the other end of this queue.
    pub fn from_queue(frames: mpsc::Sender<Rc<[u8]>>) -> Self {
        Self(frames)
    }

    /// Queues a message; false when the connection is lost or its queue full, which loses it.
    pub fn send(&self, message: &Message) -> bool {
        self.send_frame(protocol::frame(message).into())
    }

    /// Queues a frame that goes to several.
    pub fn send_frame(&self, frame: Rc<[u8]>) -> bool {
        self.0.try_send(frame).is_ok()
    }

    /// Whether the connection is lost.
    pub fn is_lost(&self) -> bool {
        self.0.is_closed() || self.0.capacity() == 0
    }
}

/// Where frames of a peer come from.
pub struct FrameReader {
    stream: OwnedReadHalf,
    peer: SocketAddr,
    buffer: BytesMut,
    /// The longest frame that is read now, in bytes.
    longest: usize,
}

/// What came on a connection.
#[derive(Debug)]
pub enum Received {
    /// A whole message.
    Message(Message),
    /// Some bytes of one that is still on its way: the peer lives, though its link takes its time.
    Partial,
}

impl FrameReader {
    /// Reads a short first frame only, until the peer has said who it is: whoever connects may be anybody.
    pub fn expect_hello(&mut self) {
        self.longest = protocol::MAX_HELLO_BYTES;
    }

    /// The next message.
    ///
    /// # Errors
    /// When there will be none: the connection is to be dropped.
    pub async fn next(&mut self) -> Result<Message, ConnectionError> {
        loop {
            if let Received::Message(message) = self.receive().await? {
                return Ok(message);
            }
        }
    }

    /// The next message, or more bytes of it.
    ///
    /// # Errors
    /// When there will be neither: the connection is to be dropped.
    pub async fn receive(&mut self) -> Result<Received, ConnectionError> {
        let peer = self.peer;
        if let Some(message) = self.take_message()? {
            return Ok(Received::Message(message));
        }
        let read = self.stream.read_buf(&mut self.buffer).await;
        if read.map_err(|source| ConnectionError::Read { peer, source })? == 0 {
            return Err(ConnectionError::Closed { peer });
        }
        Ok(self.take_message()?.map_or(Received::Partial, Received::Message))
    }

    /// The next message, if it is here whole.
    fn take_message(&mut self) -> Result<Option<Message>, ConnectionError> {
        let peer = self.peer;
        let garbled = |source| ConnectionError::FrameError { peer, source };
        let next = protocol::unframe_with_limit(&self.buffer, self.longest).map_err(garbled)?;
        Ok(next.map(|(message, taken)| {
            self.buffer.advance(taken);
            self.longest = protocol::MAX_FRAME_BYTES;
            message
        }))
    }
}

/// Takes a connection into use.
pub fn attach(stream: TcpStream, peer: SocketAddr) -> (FrameSender, FrameReader) {
    // A socket that refuses an option works all the same, only later to notice a dead peer.
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, STUCK.as_millis() as u32);
    let _ = rustix::net::sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::channel(WAITING);
    spawn(write_all(write, frames));
    (
        FrameSender(sender),
        FrameReader {
            stream: read,
            peer,
            buffer: BytesMut::with_capacity(4096),
            longest: protocol::MAX_FRAME_BYTES,
        },
    )
}

/// Connects to a process, by the way that leads to it.
///
/// # Errors
/// When no connection comes up in time.
pub async fn dial(
    peer: SocketAddr, detours: &Detours,
) -> Result<(FrameSender, FrameReader), ConnectionError> {
    let stream = match timeout(CONNECT, TcpStream::connect(detours.to(peer))).await {
        Ok(stream) => stream,
        Err(late) => Err(late.into()),
    };
    Ok(attach(stream.map_err(|source| ConnectionError::Connect { peer, source })?, peer))
}

/// Writes what is queued, all that is there at once: one call to the kernel for many frames.
async fn write_all(mut stream: OwnedWriteHalf, mut frames: mpsc::Receiver<Rc<[u8]>>) {
    let mut batch = Vec::new();
    while let Some(frame) = frames.recv().await {
        batch.clear();
        batch.extend_from_slice(&frame);
        while batch.len() < BATCH_BYTES
            && let Ok(frame) = frames.try_recv()
        {
            batch.extend_from_slice(&frame);
        }
        if !write_while_progressing(&mut stream, &batch).await {
            return;
        }
        if batch.capacity() > BATCH_BYTES {
            batch = Vec::new();
        }
    }
}

/// Writes all of it, for as long as the peer goes on taking some; false if it does not. How long all of it takes is the
/// link's: two megabytes take eight seconds at 2 Mbit/s.
#[doc(hidden)]
pub async fn write_while_progressing(stream: &mut (impl AsyncWrite + Unpin), mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match timeout(STUCK, stream.write(bytes)).await {
            Ok(Ok(written)) if written > 0 => bytes = &bytes[written..],
            _ => return false,
        }
    }
    true
}
