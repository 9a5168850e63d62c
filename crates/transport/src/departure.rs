//! The announcement of a data plane that it has ended: tracks the connections on which the announcement was sent and
//! accepted.
//!
//! A data plane that has ended spends no quota, so control planes no longer reserve quota for it once they know.

use std::collections::BTreeSet;
use tokio::sync::oneshot;

/// A departure announcement in progress. Connections are identified by their numbers.
pub(crate) struct PendingDeparture {
    done: Option<oneshot::Sender<()>>,
    unanswered: BTreeSet<u64>,
    accepted: bool,
}

impl PendingDeparture {
    /// Creates an announcement that has not been sent yet. `done` is completed once every connection on which the
    /// announcement was sent has accepted it or was lost, and at least one has accepted it.
    pub(crate) fn new(done: oneshot::Sender<()>) -> Self {
        Self { done: Some(done), unanswered: BTreeSet::new(), accepted: false }
    }

    /// The announcement was sent on this connection.
    pub(crate) fn record_sent(&mut self, connection: u64) {
        self.unanswered.insert(connection);
    }

    /// The peer of this connection has accepted the announcement.
    pub(crate) fn record_accepted(&mut self, connection: u64) {
        self.accepted |= self.unanswered.remove(&connection);
        self.complete_if_accepted();
    }

    /// The connection was lost: no answer will arrive on it.
    pub(crate) fn connection_lost(&mut self, connection: u64) {
        self.unanswered.remove(&connection);
        self.complete_if_accepted();
    }

    fn complete_if_accepted(&mut self) {
        if self.accepted && self.unanswered.is_empty() {
            // Sending fails if the caller no longer waits.
            self.done.take().map(|done| done.send(()));
        }
    }
}
