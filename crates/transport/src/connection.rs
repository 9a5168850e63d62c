//! A connection between two processes: outgoing frames pass a bounded queue, incoming frames are decoded one by one.

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

/// Maximum number of frames queued for a peer. A heartbeat every 100 ms and the changes of a mass restart fit.
const MAX_QUEUED_FRAMES: usize = 512;
/// A connection counts as lost when the peer accepts no data for this long. The same value is set as the kernel's TCP
/// user timeout; otherwise the kernel would keep data for an unreachable machine for minutes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Size of a write batch in bytes. One batch is held in memory in addition to the queue.
const BATCH_BYTES: usize = 64 * 1024;
/// Size of the kernel's send buffer in bytes. By default the buffer grows to megabytes on a slow link: heartbeats
/// would be seconds old on arrival, and the socket would accept no data for longer than [`WRITE_TIMEOUT`].
const SEND_BUFFER_BYTES: usize = 128 * 1024;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a connection failed, with the failed step and the peer.
#[derive(Debug, Error, Diagnostic)]
pub enum ConnectionError {
    /// The connection could not be established.
    #[error("connect to {peer}: {source}")]
    Connect {
        /// The dialed address.
        peer: SocketAddr,
        /// The I/O error or timeout.
        source: std::io::Error,
    },
    /// The connection broke.
    #[error("read from {peer}: {source}")]
    Read {
        /// The address of the peer.
        peer: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The peer closed the connection.
    #[error("read from {peer}: closed")]
    Closed {
        /// The address of the peer.
        peer: SocketAddr,
    },
    /// The peer sent an invalid frame.
    #[error("read from {peer}: {source}")]
    InvalidFrame {
        /// The address of the peer.
        peer: SocketAddr,
        /// Why the frame is invalid.
        source: FrameError,
    },
}

/// The sending half of a connection.
#[derive(Clone, Debug)]
pub struct FrameSender(mpsc::Sender<Rc<[u8]>>);

impl FrameSender {
    /// Creates a sender whose frames are received from the other end of `frames`.
    pub fn from_queue(frames: mpsc::Sender<Rc<[u8]>>) -> Self {
        Self(frames)
    }

    /// Queues a message. Returns false if the connection is lost, or if the queue is full, which makes it count as
    /// lost.
    pub fn send(&self, message: &Message) -> bool {
        self.send_frame(protocol::frame(message).into())
    }

    /// Queues an encoded frame, which may be shared by several connections.
    pub fn send_frame(&self, frame: Rc<[u8]>) -> bool {
        self.0.try_send(frame).is_ok()
    }

    /// Whether the connection is lost, or counts as lost because its queue is full.
    pub fn is_lost(&self) -> bool {
        self.0.is_closed() || self.0.capacity() == 0
    }
}

/// The receiving half of a connection.
pub struct FrameReader {
    stream: OwnedReadHalf,
    peer: SocketAddr,
    buffer: BytesMut,
    /// Maximum body size of the next frame in bytes.
    max_frame_bytes: usize,
}

/// Data received on a connection.
#[derive(Debug)]
pub enum Received {
    /// A complete message.
    Message(Message),
    /// Part of a message. The peer is alive, but its link is slow.
    Partial,
}

impl FrameReader {
    /// Limits the next frame to the size of a [`protocol::Hello`], because the peer has not identified itself yet.
    pub fn expect_hello(&mut self) {
        self.max_frame_bytes = protocol::MAX_HELLO_BYTES;
    }

    /// Receives the next message.
    ///
    /// # Errors
    /// When the connection has failed. The caller must drop the connection.
    pub async fn next(&mut self) -> Result<Message, ConnectionError> {
        loop {
            if let Received::Message(message) = self.receive().await? {
                return Ok(message);
            }
        }
    }

    /// Receives the next message, or more bytes of it.
    ///
    /// # Errors
    /// When the connection has failed. The caller must drop the connection.
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

    /// Takes the next message out of the buffer if the message is complete.
    fn take_message(&mut self) -> Result<Option<Message>, ConnectionError> {
        let peer = self.peer;
        let invalid = |source| ConnectionError::InvalidFrame { peer, source };
        let next = protocol::unframe_with_limit(&self.buffer, self.max_frame_bytes).map_err(invalid)?;
        Ok(next.map(|(message, length)| {
            self.buffer.advance(length);
            self.max_frame_bytes = protocol::MAX_FRAME_BYTES;
            message
        }))
    }
}

/// Sets the socket options of an established connection and starts its writer task.
pub fn attach(stream: TcpStream, peer: SocketAddr) -> (FrameSender, FrameReader) {
    // Failures are ignored: without an option the socket still works, but detects a dead peer later.
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, WRITE_TIMEOUT.as_millis() as u32);
    let _ = rustix::net::sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    spawn(write_all(write, frames));
    (
        FrameSender(sender),
        FrameReader {
            stream: read,
            peer,
            buffer: BytesMut::with_capacity(4096),
            max_frame_bytes: protocol::MAX_FRAME_BYTES,
        },
    )
}

/// Connects to a process, via a detour if one is configured for its address.
///
/// # Errors
/// When the connection is refused or not established in time.
pub async fn dial(
    peer: SocketAddr, detours: &Detours,
) -> Result<(FrameSender, FrameReader), ConnectionError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(detours.to(peer))).await {
        Ok(stream) => stream,
        Err(elapsed) => Err(elapsed.into()),
    };
    Ok(attach(stream.map_err(|source| ConnectionError::Connect { peer, source })?, peer))
}

/// Writes queued frames in batches, so that one system call writes many frames.
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

/// Writes all bytes. Returns false if an error occurs or the peer accepts no data for [`WRITE_TIMEOUT`]. The total
/// duration is unlimited, since it depends on the link: two megabytes take eight seconds at 2 Mbit/s.
#[doc(hidden)]
pub async fn write_while_progressing(stream: &mut (impl AsyncWrite + Unpin), mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match timeout(WRITE_TIMEOUT, stream.write(bytes)).await {
            Ok(Ok(written)) if written > 0 => bytes = &bytes[written..],
            _ => return false,
        }
    }
    true
}
