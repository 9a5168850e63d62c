//! Commands to the task that owns the tables, from sockets, other processes, the disk and the program.

use crate::call::{Call, Reply};
use protocol::Message;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use transport::{ConnectionError, FrameSender};

/// One command.
#[derive(Debug)]
pub enum Command {
    /// A call arrived on the control socket.
    Call {
        /// The call.
        call: Call,
        /// Receives the reply.
        reply: oneshot::Sender<Reply>,
    },
    /// A connection opened.
    Opened {
        /// Id of the connection.
        connection: u64,
        /// Sends messages on the connection.
        line: FrameSender,
        /// The address that this process dialed; `None` for an incoming connection.
        dialed: Option<SocketAddr>,
    },
    /// A message arrived.
    Message {
        /// Id of the connection.
        connection: u64,
        /// The message.
        message: Message,
    },
    /// A connection closed, or could not be opened.
    Closed {
        /// Id of the connection.
        connection: u64,
        /// The reason.
        error: ConnectionError,
    },
    /// A write has reached the disk.
    Saved {
        /// Ticket of the write.
        ticket: u64,
    },
    /// The settings file was reloaded and names these seeds.
    Seeds(Vec<SocketAddr>),
    /// Shuts this process down. The sender is notified once another process leads and no call is pending here.
    Shutdown(oneshot::Sender<()>),
}
