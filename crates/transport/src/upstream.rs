//! A connection of a follower to a control plane, from dialing to its end.

use crate::connection::{ConnectionError, FrameReader, FrameSender, Received, dial};
use crate::spawn;
use config::Detours;
use protocol::Message;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Minimum interval between two reports that part of a message has arrived.
const PARTIAL_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// An event on a connection: the connection number, and what was received or why the connection was lost.
pub(crate) type Event = (u64, Result<Received, ConnectionError>);

/// Channels on which connection tasks report to the follower task.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    /// Established connections.
    pub(crate) connected: mpsc::Sender<(u64, FrameSender)>,
    /// Events on established connections, and failures to connect.
    pub(crate) events: mpsc::Sender<Event>,
}

/// A connection. Dropping this value closes the connection.
pub(crate) struct Upstream {
    pub(crate) number: u64,
    pub(crate) address: SocketAddr,
    /// `None` until the connection is established.
    pub(crate) sender: Option<FrameSender>,
    /// Whether the peer answers freshness queries.
    pub(crate) answers_queries: bool,
}

impl Upstream {
    /// Dials a process and sends `hello` as the first message.
    pub(crate) fn open(
        number: u64, address: SocketAddr, detours: Detours, hello: Message, inbox: Inbox,
    ) -> Self {
        spawn(async move {
            match dial(address, &detours).await {
                Ok((sender, reader)) => forward_events(number, sender, reader, &hello, &inbox).await,
                Err(error) => drop(inbox.events.send((number, Err(error))).await),
            }
        });
        Self { number, address, sender: None, answers_queries: false }
    }

    /// Queues a message. Returns false if the connection is not established or is lost.
    pub(crate) fn send(&self, message: &Message) -> bool {
        self.sender.as_ref().is_some_and(|sender| sender.send(message))
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.sender.as_ref().is_some_and(FrameSender::is_lost)
    }
}

/// Reports an established connection, then all events on it until it is lost.
async fn forward_events(
    number: u64, sender: FrameSender, mut reader: FrameReader, hello: &Message, inbox: &Inbox,
) {
    sender.send(hello);
    if inbox.connected.send((number, sender)).await.is_err() {
        return;
    }
    let mut reported_at = Instant::now();
    loop {
        let next = reader.receive().await;
        if matches!(next, Ok(Received::Partial)) {
            if reported_at.elapsed() < PARTIAL_REPORT_INTERVAL {
                continue;
            }
            reported_at = Instant::now();
        }
        let is_lost = next.is_err();
        if inbox.events.send((number, next)).await.is_err() || is_lost {
            return;
        }
    }
}
