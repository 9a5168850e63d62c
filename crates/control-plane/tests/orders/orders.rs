//! The orders that operators send, what they were promised by answers, and what must never be.

use config::Config;
use control_plane::{ConfigHistory, Decision, Reply, Verdict, decide};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

thread_local! {
    /// Searches ask for a few of them again and again.
    static DIGESTS: RefCell<BTreeMap<Order, [u8; 32]>> = const { RefCell::new(BTreeMap::new()) };
}

/// A configuration that an operator wants in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// The version that it builds on.
    pub base: u64,
    /// Its own version.
    pub version: u64,
    /// Tells different configurations of one version apart.
    pub variant: u64,
}

impl Order {
    pub const fn new(base: u64, version: u64, variant: u64) -> Self {
        Self { base, version, variant }
    }

    /// The shortest valid configuration.
    pub fn body(self) -> Vec<u8> {
        let Self { version, variant, .. } = self;
        format!(
            r#"{{"generation":"r{version}","route_table":{{}},"service_table":{{}},"limits":{{"max_header_bytes":1,
            "max_body_bytes":1,"header_wait_ms":1,"idle_timeout_ms":1}},"variant":{variant}}}"#
        )
        .into_bytes()
    }

    /// The digest by which its repetition is known.
    pub fn digest(self) -> [u8; 32] {
        let read = || Config::parse(&self.body()).expect("a valid configuration").digest();
        DIGESTS.with_borrow_mut(|digests| *digests.entry(self).or_insert_with(read))
    }

    /// What a leader with this state does with it.
    pub fn decide(self, config_history: &ConfigHistory) -> Decision {
        decide(config_history, self.base, self.body())
    }
}

/// What the answers so far have promised, also those that were lost on their way, and what is in force.
#[derive(Clone, Debug, Default, Hash)]
pub struct Promises {
    confirmed: BTreeSet<Order>,
    refused: BTreeSet<Order>,
    /// The orders that came into force, the newest last.
    pub taken: Vec<Order>,
}

impl Promises {
    /// An answer was given.
    pub fn answered(&mut self, order: Order, reply: &Reply) {
        match reply.status {
            200 => drop(self.confirmed.insert(order)),
            400..500 => drop(self.refused.insert(order)),
            _ => {}
        }
    }

    /// Looks for what must never be. As versions in force rise, no two orders of one number are confirmed.
    ///
    /// # Errors
    /// What was found.
    pub fn check(&self) -> Result<(), String> {
        if let Some(order) = self.confirmed.iter().find(|order| !self.taken.contains(order)) {
            return Err(format!("{order:?} is confirmed and not in force"));
        }
        if let Some(order) = self.refused.iter().find(|order| self.taken.contains(order)) {
            return Err(format!("{order:?} is refused and in force"));
        }
        let mut before = 0;
        for order in &self.taken {
            if order.base != before || order.version <= before {
                return Err(format!("{order:?} came into force on top of r{before}"));
            }
            before = order.version;
        }
        Ok(())
    }

    /// Looks for orders that a leader with this state would not deal with as it should: those in force are
    /// acknowledged, and others that build on the newest version are proposed.
    ///
    /// # Errors
    /// What was found.
    pub fn check_leader(&self, config_history: &ConfigHistory, orders: &[Order]) -> Result<(), String> {
        let current = config_history.version();
        for order in orders {
            let verdict = config_history.evaluate(order.base, order.version, &order.digest());
            let proper = order.base == current && order.version > current;
            let right = match self.taken.contains(order) {
                true => verdict == Verdict::AlreadyAccepted,
                false => !proper || verdict == Verdict::Accepted,
            };
            if !right {
                return Err(format!("{order:?} on top of r{current} is found {verdict:?}"));
            }
        }
        Ok(())
    }
}
