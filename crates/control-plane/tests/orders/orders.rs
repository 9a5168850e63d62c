//! Orders of operators, the promises made by answers, and the checks of these promises.

use config::Config;
use control_plane::{ConfigHistory, Decision, Reply, Verdict, decide};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

thread_local! {
    /// Cache, since searches compute the digests of few orders again and again.
    static DIGESTS: RefCell<BTreeMap<Order, [u8; 32]>> = const { RefCell::new(BTreeMap::new()) };
}

/// An order for a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// The version that the order builds on.
    pub base: u64,
    /// The version of the order itself.
    pub version: u64,
    /// Distinguishes configurations of the same version.
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

    /// The digest by which a retry of the order is recognized.
    pub fn digest(self) -> [u8; 32] {
        let compute = || Config::parse(&self.body()).expect("a valid configuration").digest();
        DIGESTS.with_borrow_mut(|digests| *digests.entry(self).or_insert_with(compute))
    }

    /// The decision of a leader with this history.
    pub fn decide(self, config_history: &ConfigHistory) -> Decision {
        decide(config_history, self.base, self.body())
    }
}

/// Promises made by all answers so far, including lost answers, and the orders that came into force.
#[derive(Clone, Debug, Default, Hash)]
pub struct Promises {
    confirmed: BTreeSet<Order>,
    refused: BTreeSet<Order>,
    /// The orders that came into force, newest last.
    pub accepted: Vec<Order>,
}

impl Promises {
    /// Records an answer.
    pub fn answered(&mut self, order: Order, reply: &Reply) {
        match reply.status {
            200 => drop(self.confirmed.insert(order)),
            400..500 => drop(self.refused.insert(order)),
            _ => {}
        }
    }

    /// Checks the promises. Since accepted versions rise, no two orders of one version are both confirmed.
    ///
    /// # Errors
    /// The violated promise.
    pub fn check(&self) -> Result<(), String> {
        if let Some(order) = self.confirmed.iter().find(|order| !self.accepted.contains(order)) {
            return Err(format!("{order:?} is confirmed and not in force"));
        }
        if let Some(order) = self.refused.iter().find(|order| self.accepted.contains(order)) {
            return Err(format!("{order:?} is refused and in force"));
        }
        let mut before = 0;
        for order in &self.accepted {
            if order.base != before || order.version <= before {
                return Err(format!("{order:?} came into force on top of r{before}"));
            }
            before = order.version;
        }
        Ok(())
    }

    /// Checks that a leader with this history treats orders correctly: orders in force are acknowledged, and others
    /// that build on the newest version are proposed.
    ///
    /// # Errors
    /// The order that would be treated wrongly.
    pub fn check_leader(&self, config_history: &ConfigHistory, orders: &[Order]) -> Result<(), String> {
        let current = config_history.version();
        for order in orders {
            let verdict = config_history.evaluate(order.base, order.version, &order.digest());
            let is_next = order.base == current && order.version > current;
            let is_correct = match self.accepted.contains(order) {
                true => verdict == Verdict::AlreadyAccepted,
                false => !is_next || verdict == Verdict::Accepted,
            };
            if !is_correct {
                return Err(format!("{order:?} on top of r{current} gets the verdict {verdict:?}"));
            }
        }
        Ok(())
    }
}
