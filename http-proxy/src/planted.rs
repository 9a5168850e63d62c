//! Faults that tests plant to see that they are found. All off in service.

use crate::wire::link::Link;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What is planted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// An answer counts for whoever waits on its connection.
    pub any_answer: bool,
    /// A request whose connection broke is sent again.
    pub repeats_broken: bool,
    /// A request that had no answer in time counts as never sent.
    pub silence_is_unsent: bool,
    /// The connection of a request that had no answer in time is used again.
    pub keeps_given_up: bool,
    /// A connection on which something came that was no answer is used again.
    pub keeps_odd: bool,
    /// Attempts of one request go over one connection.
    pub any_carrier: bool,
}

/// The faults, and what they need.
#[derive(Default)]
pub(crate) struct Planted {
    pub(crate) faults: Cell<Faults>,
    /// Second holds on connections that carry requests, by the connections' numbers.
    twins: RefCell<HashMap<u64, (Link, SocketAddr)>>,
}

impl Planted {
    /// A request is about to be written to a connection.
    pub(crate) async fn keep(&self, link: &Link, to: SocketAddr) {
        if self.faults.get().keeps_given_up
            && let Ok(twin) = link.twin().await
        {
            self.twins.borrow_mut().insert(link.number(), (twin, to));
        }
    }

    /// The exchange on a connection is over.
    pub(crate) fn forget(&self, number: u64) {
        self.twins.borrow_mut().remove(&number);
    }

    /// The exchange on a connection is given up.
    pub(crate) fn give_back(&self, number: Option<u64>, back: impl FnOnce(Link, SocketAddr)) {
        if let Some((link, to)) = number.and_then(|number| self.twins.borrow_mut().remove(&number)) {
            back(link, to);
        }
    }
}
