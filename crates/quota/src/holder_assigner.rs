//! The leader's part: whom it makes holders of counts, and when.

use std::collections::BTreeMap;

use crate::{Epoch, HolderAssignment, Millis};

/// More holders than this make draws smaller and not fewer.
pub const MAX_HOLDERS: usize = 8;
/// A deputy of which nothing is heard for this long has no lease any more and is replaced.
pub const DEPUTY_TIMEOUT: Millis = 400.0;
/// Who comes, or comes back, is heard for this long before it becomes a deputy.
const MIN_STABLE_TIME: Millis = 3000.0;
/// The leader waits this long between changes that it need not make: each may cost a tenant part of a window, and the
/// judged span should see few of them.
const MIN_CHANGE_INTERVAL: Millis = 6000.0;
/// Fewer holders are enough when this share of what they can bear is used: growing and shrinking by turns costs moves.
const SHRINK_LOAD_RATIO: f64 = 0.5;
/// Processes remembered at most.
const MAX_CANDIDATES: usize = 64;

#[derive(Debug)]
struct Candidate {
    stable_since: Millis,
    last_contact: Millis,
    last_answered_offer: u64,
    request_rate: f64,
}

/// Makes the assignments of one term.
#[derive(Debug)]
pub struct HolderAssigner {
    leader: String,
    /// One holder bears this many draws a second.
    requests_per_holder: f64,
    assignment: HolderAssignment,
    last_change: Millis,
    candidates: BTreeMap<String, Candidate>,
}

impl HolderAssigner {
    /// The leader of a new term holds all counts itself at first. More draws a second than one holder `bears` make it
    /// share them out: each further holder costs every gateway a message each window, so few draws are better left
    /// together. With infinity it holds them alone for good.
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

    /// The present assignment.
    pub fn assignment(&self) -> &HolderAssignment {
        &self.assignment
    }

    /// Another process asks for its lease, or offers itself. `answered` is the highest number of its asks that it has
    /// got an answer to: one that is heard but does not hear is as good as lost. `draws` is how many it answers a
    /// second. Whether it is to have a lease.
    pub fn record_offer(
        &mut self, now: Millis, name: &str, last_answered_offer: u64, request_rate: f64,
    ) -> bool {
        if let Some(candidate) = self.candidates.get_mut(name) {
            // A smaller number is a new life's.
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

    /// Looks after the assignment; `draws` is how many the leader itself answers a second. Whether it changed.
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
            // Whoever becomes a deputy asks from now on much more often than it offered itself.
            for candidate in
                self.candidates.values_mut().filter(|c| now < c.last_contact + MIN_STABLE_TIME * 0.5)
            {
                candidate.last_contact = now;
            }
        }
        changed
    }

    /// Brings the number of holders nearer to what the draws need.
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
