//! Faults that tests plant to see that they are found. All off in service.

use crate::wire::connection::Connection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What is planted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// An answer counts for whoever waits on its connection.
    pub accept_any_answer: bool,
    /// A request whose connection broke is sent again.
    pub resend_broken: bool,
    /// A request that had no answer in time counts as never sent.
    pub timeout_is_unsent: bool,
    /// The connection of a request that had no answer in time is used again.
    pub reuse_timed_out: bool,
    /// A connection on which something came that was no answer is used again.
    pub reuse_unmatched: bool,
    /// Attempts of one request go over one connection.
    pub share_connection: bool,
}

/// The faults, and what they need.
#[derive(Default)]
pub(crate) struct FaultInjector {
    pub(crate) faults: Cell<Faults>,
    /// Second holds on connections that carry requests, by the connections' numbers.
    duplicates: RefCell<HashMap<u64, (Connection, SocketAddr)>>,
}

impl FaultInjector {
    /// A request is about to be written to a connection.
    pub(crate) async fn keep_duplicate(&self, connection: &Connection, address: SocketAddr) {
        if self.faults.get().reuse_timed_out
            && let Ok(duplicate) = connection.duplicate().await
        {
            self.duplicates.borrow_mut().insert(connection.id(), (duplicate, address));
        }
    }

    /// The exchange on a connection is over.
    pub(crate) fn drop_duplicate(&self, id: u64) {
        self.duplicates.borrow_mut().remove(&id);
    }

    /// The exchange on a connection is given up.
    pub(crate) fn return_duplicate(
        &self, id: Option<u64>, return_connection: impl FnOnce(Connection, SocketAddr),
    ) {
        if let Some((connection, address)) = id.and_then(|id| self.duplicates.borrow_mut().remove(&id)) {
            return_connection(connection, address);
        }
    }
}
