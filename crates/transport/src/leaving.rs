//! The last word of a data plane, that it has ended: on which connections it was said and where it was accepted.

use std::collections::BTreeSet;
use tokio::sync::oneshot;

/// A departure that is being said, by the numbers of connections.
pub(crate) struct Leaving {
    done: Option<oneshot::Sender<()>>,
    unanswered: BTreeSet<u64>,
    accepted: bool,
}

impl Leaving {
    /// Nobody was told yet; `done` is told once all that were have accepted it, and at least one has.
    pub(crate) fn new(done: oneshot::Sender<()>) -> Self {
        Self { done: Some(done), unanswered: BTreeSet::new(), accepted: false }
    }

    /// It was said on this connection.
    pub(crate) fn said(&mut self, connection: u64) {
        self.unanswered.insert(connection);
    }

    /// It was accepted on this connection.
    pub(crate) fn accepted(&mut self, connection: u64) {
        self.accepted |= self.unanswered.remove(&connection);
        self.settle();
    }

    /// This connection is over: no answer comes on it any more.
    pub(crate) fn lost(&mut self, connection: u64) {
        self.unanswered.remove(&connection);
        self.settle();
    }

    fn settle(&mut self) {
        if self.accepted && self.unanswered.is_empty() {
            // Whoever waited may have given up.
            self.done.take().map(|done| done.send(()));
        }
    }
}
