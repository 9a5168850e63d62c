//! What comes to the owner of the tables, from sockets, other processes, the disk and the program.

use crate::call::{Call, Reply};
use protocol::Message;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use transport::{Line, LineError};

/// Something for the owner to work through.
#[derive(Debug)]
pub enum Command {
    /// A call came on the control socket.
    Call {
        /// What it asks.
        call: Call,
        /// Where the answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// A connection stands.
    Opened {
        /// Its number.
        connection: u64,
        /// Where frames go.
        line: Line,
        /// Whom this process dialed, if it did.
        dialed: Option<SocketAddr>,
    },
    /// A message came.
    Message {
        /// The connection.
        connection: u64,
        /// The message.
        message: Message,
    },
    /// A connection is over, or never came up.
    Closed {
        /// Its number.
        connection: u64,
        /// Why.
        error: LineError,
    },
    /// A write is on disk.
    Saved {
        /// Its ticket.
        ticket: u64,
    },
    /// The settings file names other seeds.
    Seeds(Vec<SocketAddr>),
    /// This process is to end. The sender hears once another one leads, and no call waits here any more.
    Shutdown(oneshot::Sender<()>),
}
