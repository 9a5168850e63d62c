//! A connection of a follower to a process that serves control, from its dial to its end.

use crate::connection::{ConnectionError, FrameReader, FrameSender, Received, dial};
use crate::spawn;
use config::Detours;
use protocol::Message;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Bytes of a message that is still on its way are a sign of life, noted this often at most.
const PART_NOTED: Duration = Duration::from_millis(300);

/// What happened on a connection: its number, and what came or why it ended.
pub(crate) type Event = (u64, Result<Received, ConnectionError>);

/// Where a connection says that it stands, and what comes on it.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    /// Connections that have come up.
    pub(crate) lines: mpsc::Sender<(u64, FrameSender)>,
    /// All that comes on them.
    pub(crate) events: mpsc::Sender<Event>,
}

/// A connection. It ends when this is dropped.
pub(crate) struct Upstream {
    pub(crate) number: u64,
    pub(crate) to: SocketAddr,
    /// Nothing while it comes up.
    pub(crate) line: Option<FrameSender>,
    /// Whether the other end answers questions about its freshness.
    pub(crate) answers: bool,
}

impl Upstream {
    /// Dials a process and says this first.
    pub(crate) fn open(number: u64, to: SocketAddr, detours: Detours, hello: Message, inbox: Inbox) -> Self {
        spawn(async move {
            match dial(to, &detours).await {
                Ok((line, reader)) => carry(number, line, reader, &hello, &inbox).await,
                Err(error) => drop(inbox.events.send((number, Err(error))).await),
            }
        });
        Self { number, to, line: None, answers: false }
    }

    /// Queues a message; false if the connection is not there.
    pub(crate) fn send(&self, message: &Message) -> bool {
        self.line.as_ref().is_some_and(|line| line.send(message))
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.line.as_ref().is_some_and(FrameSender::is_lost)
    }
}

/// Tells of a connection that stands, then of all that comes on it until it is over.
async fn carry(number: u64, line: FrameSender, mut reader: FrameReader, hello: &Message, inbox: &Inbox) {
    line.send(hello);
    if inbox.lines.send((number, line)).await.is_err() {
        return;
    }
    let mut noted = Instant::now();
    loop {
        let next = reader.receive().await;
        if matches!(next, Ok(Received::Partial)) {
            if noted.elapsed() < PART_NOTED {
                continue;
            }
            noted = Instant::now();
        }
        let over = next.is_err();
        if inbox.events.send((number, next)).await.is_err() || over {
            return;
        }
    }
}
