//! The leader's part: whom it makes holders of counts, and when.

use std::collections::BTreeMap;

use crate::{Epoch, HolderAssignment, Millis};

/// More holders than this make draws smaller and not fewer.
pub const MAX_HOLDERS: usize = 8;
/// A deputy of which nothing is heard for this long has no lease any more and is replaced.
pub const DEPUTY_TIMEOUT: Millis = 400.0;
/// Who comes, or comes back, is heard for this long before it becomes a deputy.
const STEADY: Millis = 3000.0;
/// The leader waits this long between changes that it need not make: each may cost a tenant part of a window, and the
/// judged span should see few of them.
const PACE: Millis = 6000.0;
/// Fewer holders are enough when this share of what they can bear is used: growing and shrinking by turns costs moves.
const SLACK: f64 = 0.5;
/// Processes remembered at most.
const CANDIDATES_MOST: usize = 64;

#[derive(Debug)]
struct Candidate {
    since: Millis,
    heard: Millis,
    answered: u64,
    draws: f64,
}

/// Makes the assignments of one term.
#[derive(Debug)]
pub struct HolderAssigner {
    me: String,
    /// One holder bears this many draws a second.
    bears: f64,
    assignment: HolderAssignment,
    changed: Millis,
    candidates: BTreeMap<String, Candidate>,
}

impl HolderAssigner {
    /// The leader of a new term holds all counts itself at first. More draws a second than one holder `bears` make it
    /// share them out: each further holder costs every gateway a message each window, so few draws are better left
    /// together. With infinity it holds them alone for good.
    pub fn new(me: &str, term: u64, now: Millis, bears: f64) -> Self {
        let assignment = HolderAssignment { epoch: Epoch::first(term), holders: vec![me.to_owned()] };
        Self {
            me: me.to_owned(),
            bears: bears.max(1.0),
            assignment,
            changed: now,
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
    pub fn record_offer(&mut self, now: Millis, name: &str, answered: u64, draws: f64) -> bool {
        if let Some(known) = self.candidates.get_mut(name) {
            // A smaller number is a new life's.
            if answered < known.answered || now > known.heard + STEADY * 0.5 {
                known.since = now;
            }
            if answered != known.answered {
                known.heard = now;
            }
            (known.answered, known.draws) = (answered, draws);
        } else if self.candidates.len() < CANDIDATES_MOST {
            let known = Candidate { since: now, heard: now, answered, draws };
            self.candidates.insert(name.to_owned(), known);
        }
        self.assignment.contains(name)
    }

    /// Looks after the assignment; `draws` is how many the leader itself answers a second. Whether it changed.
    pub fn update(&mut self, now: Millis, draws: f64) -> bool {
        self.candidates.retain(|_, known| now < known.heard + 2.0 * STEADY);
        let me = &self.me;
        let before = self.assignment.holders.len();
        let lost =
            |name: &String| self.candidates.get(name).is_none_or(|known| now > known.heard + DEPUTY_TIMEOUT);
        self.assignment.holders.retain(|name| name == me || !lost(name));
        let mut changed = self.assignment.holders.len() != before;
        if !changed && now > self.changed + PACE {
            changed = self.fit(now, draws);
        }
        if changed {
            self.assignment.epoch.number += 1;
            self.changed = now;
            // Whoever becomes a deputy asks from now on much more often than it offered itself.
            for known in self.candidates.values_mut().filter(|known| now < known.heard + STEADY * 0.5) {
                known.heard = now;
            }
        }
        changed
    }

    /// Brings the number of holders nearer to what the draws need.
    fn fit(&mut self, now: Millis, draws: f64) -> bool {
        let deputies = self.assignment.holders.iter().filter_map(|name| self.candidates.get(name));
        let draws = draws + deputies.map(|known| known.draws).sum::<f64>();
        let have = self.assignment.holders.len();
        if draws > self.bears * have as f64 && have < MAX_HOLDERS {
            let need = (draws / self.bears).ceil() as usize;
            let fresh: Vec<String> = self
                .candidates
                .iter()
                .filter(|(name, known)| {
                    !self.assignment.contains(name)
                        && now > known.since + STEADY
                        && now < known.heard + STEADY * 0.5
                })
                .map(|(name, _)| name.clone())
                .take(need.min(MAX_HOLDERS) - have)
                .collect();
            let any = !fresh.is_empty();
            self.assignment.holders.extend(fresh);
            return any;
        }
        if have > 1 && draws < self.bears * SLACK * (have - 1) as f64 {
            let last = self.assignment.holders.iter().rposition(|name| *name != self.me);
            last.map(|at| self.assignment.holders.remove(at));
            return last.is_some();
        }
        false
    }
}
