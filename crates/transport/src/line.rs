//! One connection between two processes: frames out through a bounded queue, frames in one by one.

use crate::spawn;
use bytes::{Buf, BytesMut};
use config::Detours;
use miette::Diagnostic;
use protocol::{Flag, Garbled};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// So many frames wait for a peer at most; a pulse every 100 ms and a herd's changes fit.
const WAITING: usize = 512;
/// A peer that takes nothing for this long has lost its connection. The kernel is told as well: a machine behind a cut
/// says nothing, and what waits for it would wait for minutes.
const STUCK: Duration = Duration::from_millis(1500);
/// A connection that doesn't come up by then doesn't.
const CONNECT: Duration = Duration::from_millis(300);

/// What went wrong with a connection, at which step and with whom.
#[derive(Debug, Error, Diagnostic)]
pub enum LineError {
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
    Garbled {
        /// Whom from.
        peer: SocketAddr,
        /// What is wrong with it.
        source: Garbled,
    },
}

/// Where frames for a peer go.
#[derive(Clone, Debug)]
pub struct Line(mpsc::Sender<Rc<[u8]>>);

impl Line {
    /// A line whose frames are taken from the other end of this queue.
    pub fn over(frames: mpsc::Sender<Rc<[u8]>>) -> Self {
        Self(frames)
    }

    /// Queues a message; false when the connection is lost or its queue full, which loses it.
    pub fn send(&self, flag: &Flag) -> bool {
        self.send_frame(protocol::frame(flag).into())
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
pub struct Reader {
    stream: OwnedReadHalf,
    peer: SocketAddr,
    buffer: BytesMut,
}

impl Reader {
    /// The next message.
    ///
    /// # Errors
    /// When there will be none: the connection is to be dropped.
    pub async fn next(&mut self) -> Result<Flag, LineError> {
        let peer = self.peer;
        loop {
            match protocol::unframe(&self.buffer).map_err(|source| LineError::Garbled { peer, source })? {
                Some((flag, taken)) => {
                    self.buffer.advance(taken);
                    return Ok(flag);
                }
                None => {
                    let read = self.stream.read_buf(&mut self.buffer).await;
                    if read.map_err(|source| LineError::Read { peer, source })? == 0 {
                        return Err(LineError::Closed { peer });
                    }
                }
            }
        }
    }
}

/// Takes a connection into use.
pub fn attach(stream: TcpStream, peer: SocketAddr) -> (Line, Reader) {
    // A socket that refuses an option works all the same, only later to notice a dead peer.
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, STUCK.as_millis() as u32);
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::channel(WAITING);
    spawn(write_all(write, frames));
    (Line(sender), Reader { stream: read, peer, buffer: BytesMut::with_capacity(4096) })
}

/// Connects to a process, by the way that leads to it.
///
/// # Errors
/// When no connection comes up in time.
pub async fn dial(peer: SocketAddr, ways: &Detours) -> Result<(Line, Reader), LineError> {
    let stream = match timeout(CONNECT, TcpStream::connect(ways.to(peer))).await {
        Ok(stream) => stream,
        Err(late) => Err(late.into()),
    };
    Ok(attach(stream.map_err(|source| LineError::Connect { peer, source })?, peer))
}

/// Writes what is queued, all that is there at once: one call to the kernel for many frames.
async fn write_all(mut stream: OwnedWriteHalf, mut frames: mpsc::Receiver<Rc<[u8]>>) {
    let mut batch = Vec::new();
    while let Some(frame) = frames.recv().await {
        batch.clear();
        batch.extend_from_slice(&frame);
        while let Ok(frame) = frames.try_recv() {
            batch.extend_from_slice(&frame);
        }
        if !matches!(timeout(STUCK, stream.write_all(&batch)).await, Ok(Ok(()))) {
            return;
        }
        if batch.capacity() > 64 * 1024 {
            batch = Vec::new();
        }
    }
}
