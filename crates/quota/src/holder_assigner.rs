//! The leader's choice of the control planes that hold counters. The leader always is a holder. The other holders are
//! called deputies; each deputy may grant units only while its lease from the leader lasts.

use std::collections::BTreeMap;

use crate::{Epoch, HolderAssignment, Millis};

/// Maximum number of holders. More holders make lease requests smaller but not fewer.
pub const MAX_HOLDERS: usize = 8;
/// A deputy (a holder other than the leader) is replaced after this long without contact. Its lease has expired by
/// then.
pub const DEPUTY_TIMEOUT: Millis = 400.0;
/// A control plane must be in contact for this long before it becomes a deputy.
const MIN_STABLE_TIME: Millis = 3000.0;
/// Minimum interval between optional changes of the assignment. Each change can cost a tenant part of a window, and a
/// compliance span (the 5 s over which the use of a quota is checked) should see few changes.
const MIN_CHANGE_INTERVAL: Millis = 6000.0;
/// The assignment shrinks if the remaining holders would run below this fraction of their capacity. The distance to
/// full load avoids alternating growth and shrinkage, since each change moves counters.
const SHRINK_LOAD_RATIO: f64 = 0.5;
/// Maximum number of candidates remembered.
const MAX_CANDIDATES: usize = 64;

#[derive(Debug)]
struct Candidate {
    /// Start of the current contact without interruption.
    stable_since: Millis,
    last_contact: Millis,
    last_answered_offer: u64,
    /// Lease requests that the candidate answers per second.
    request_rate: f64,
}

/// Makes the assignments of one term.
#[derive(Debug)]
pub struct HolderAssigner {
    leader: String,
    /// Lease requests per second that one holder can serve.
    requests_per_holder: f64,
    assignment: HolderAssignment,
    last_change: Millis,
    /// Control planes that offer to hold counters, and deputies, by name.
    candidates: BTreeMap<String, Candidate>,
}

impl HolderAssigner {
    /// Starts a term in which the leader holds all counters itself. If the fleet sends more than
    /// `requests_per_holder` lease requests per second, the leader adds deputies. Each further holder costs every
    /// gateway one message per window, so one holder serves a low load alone. With an infinite `requests_per_holder`
    /// the leader never adds deputies.
    pub fn new(leader: &str, term: u64, now: Millis, requests_per_holder: f64) -> Self {
        let assignment = HolderAssignment { epoch: Epoch::first(term), holders: vec![leader.to_owned()] };
        Self {
            leader: leader.to_owned(),
            requests_per_holder: requests_per_holder.max(1.0),
            assignment,
            last_change: now,
            candidates: BTreeMap::new(),
        }
    }

    /// The current assignment.
    pub fn assignment(&self) -> &HolderAssignment {
        &self.assignment
    }

    /// Handles an offer to hold counters, or a deputy's request to renew its lease. `last_answered_offer` is the
    /// highest number of the sender's offers that the sender has received an answer to: a process that sends but
    /// receives nothing counts as lost. `request_rate` is the number of lease requests that the sender answers per
    /// second. Returns whether the sender is a holder.
    pub fn record_offer(
        &mut self, now: Millis, name: &str, last_answered_offer: u64, request_rate: f64,
    ) -> bool {
        if let Some(candidate) = self.candidates.get_mut(name) {
            // A smaller number means that the process has restarted.
            if last_answered_offer < candidate.last_answered_offer
                || now > candidate.last_contact + MIN_STABLE_TIME * 0.5
            {
                candidate.stable_since = now;
            }
            if last_answered_offer != candidate.last_answered_offer {
                candidate.last_contact = now;
            }
            (candidate.last_answered_offer, candidate.request_rate) = (last_answered_offer, request_rate);
        } else if self.candidates.len() < MAX_CANDIDATES {
            let candidate =
                Candidate { stable_since: now, last_contact: now, last_answered_offer, request_rate };
            self.candidates.insert(name.to_owned(), candidate);
        }
        self.assignment.contains(name)
    }

    /// Updates the assignment and returns whether it changed. `request_rate` is the number of lease requests that the
    /// leader itself answers per second.
    pub fn update(&mut self, now: Millis, request_rate: f64) -> bool {
        self.candidates.retain(|_, candidate| now < candidate.last_contact + 2.0 * MIN_STABLE_TIME);
        let leader = &self.leader;
        let before = self.assignment.holders.len();
        let lost =
            |name: &String| self.candidates.get(name).is_none_or(|c| now > c.last_contact + DEPUTY_TIMEOUT);
        self.assignment.holders.retain(|name| name == leader || !lost(name));
        let mut changed = self.assignment.holders.len() != before;
        if !changed && now > self.last_change + MIN_CHANGE_INTERVAL {
            changed = self.resize(now, request_rate);
        }
        if changed {
            self.assignment.epoch.number += 1;
            self.last_change = now;
            // Candidates send offers less often than deputies renew leases, so a new deputy's last contact may
            // already exceed `DEPUTY_TIMEOUT`.
            for candidate in
                self.candidates.values_mut().filter(|c| now < c.last_contact + MIN_STABLE_TIME * 0.5)
            {
                candidate.last_contact = now;
            }
        }
        changed
    }

    /// Adapts the number of holders to the rate of lease requests.
    fn resize(&mut self, now: Millis, request_rate: f64) -> bool {
        let deputies = self.assignment.holders.iter().filter_map(|name| self.candidates.get(name));
        let request_rate = request_rate + deputies.map(|candidate| candidate.request_rate).sum::<f64>();
        let holder_count = self.assignment.holders.len();
        if request_rate > self.requests_per_holder * holder_count as f64 && holder_count < MAX_HOLDERS {
            let needed = (request_rate / self.requests_per_holder).ceil() as usize;
            let added: Vec<String> = self
                .candidates
                .iter()
                .filter(|(name, candidate)| {
                    !self.assignment.contains(name)
                        && now > candidate.stable_since + MIN_STABLE_TIME
                        && now < candidate.last_contact + MIN_STABLE_TIME * 0.5
                })
                .map(|(name, _)| name.clone())
                .take(needed.min(MAX_HOLDERS) - holder_count)
                .collect();
            let any_added = !added.is_empty();
            self.assignment.holders.extend(added);
            return any_added;
        }
        if holder_count > 1
            && request_rate < self.requests_per_holder * SHRINK_LOAD_RATIO * (holder_count - 1) as f64
        {
            let last_deputy = self.assignment.holders.iter().rposition(|name| *name != self.leader);
            last_deputy.map(|at| self.assignment.holders.remove(at));
            return last_deputy.is_some();
        }
        false
    }
}
