//! Fault injection for tests. Each fault breaks a safety rule of the proxy, so that a test can verify that the break is
//! detected. All faults are off in production.

use crate::wire::connection::Connection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Accept an answer on a connection without comparing the request id.
    pub accept_any_answer: bool,
    /// Resend a request whose connection failed.
    pub resend_broken: bool,
    /// Treat a request that timed out as never sent.
    pub timeout_is_unsent: bool,
    /// Reuse the connection of a request that timed out.
    pub reuse_timed_out: bool,
    /// Reuse a connection after an answer that belongs to none of its requests.
    pub reuse_unmatched: bool,
    /// Allow several attempts of a request on the same connection.
    pub share_connection: bool,
}

/// The injected faults and the state they need.
#[derive(Default)]
pub(crate) struct FaultInjector {
    pub(crate) faults: Cell<Faults>,
    /// Duplicates of connections with a request in flight, by connection id.
    duplicates: RefCell<HashMap<u64, (Connection, SocketAddr)>>,
}

impl FaultInjector {
    /// Keeps a duplicate of a connection before a request is written.
    pub(crate) async fn keep_duplicate(&self, connection: &Connection, address: SocketAddr) {
        if self.faults.get().reuse_timed_out
            && let Ok(duplicate) = connection.duplicate().await
        {
            self.duplicates.borrow_mut().insert(connection.id(), (duplicate, address));
        }
    }

    /// Drops the duplicate of a connection whose exchange has ended.
    pub(crate) fn drop_duplicate(&self, id: u64) {
        self.duplicates.borrow_mut().remove(&id);
    }

    /// Returns the duplicate of a connection whose exchange timed out to the pool.
    pub(crate) fn return_duplicate(
        &self, id: Option<u64>, return_connection: impl FnOnce(Connection, SocketAddr),
    ) {
        if let Some((connection, address)) = id.and_then(|id| self.duplicates.borrow_mut().remove(&id)) {
            return_connection(connection, address);
        }
    }
}
