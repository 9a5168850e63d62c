//! Backends whose leaving is recorded in the log: what its entries make, the same on every voter.
//!
//! A backend that has been told that its leaving is acknowledged must get no request after a while, whoever hears of it
//! late. So its id is recorded before it is told, and each record has a number, by which a process without a log knows
//! whether it has all of them.

use bitcode::{Decode, Encode};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// So many of the newest records are kept. A backend of which nothing is heard counts as over after a minute, and a fleet
/// that replaces 60 backends a second has as many records in that time.
const KEPT: usize = 4096;

/// Records that follow one another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DrainRun {
    /// The number of the record before the first one.
    pub after: u64,
    /// The ids of the backends, in order.
    pub ids: Vec<String>,
}

/// The newest records.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    /// The number of the newest record; 0 before the first.
    last: u64,
    /// The ids of the newest ones, the oldest first.
    recent: VecDeque<Rc<str>>,
    ids: HashSet<Rc<str>>,
}

impl DrainTable {
    /// A table that holds these records.
    pub fn from_run(run: &DrainRun) -> Self {
        let mut table = Self { last: run.after, ..Self::default() };
        run.ids.iter().for_each(|id| table.push(id));
        table
    }

    /// Records a backend; false if it was recorded before, as far as is remembered.
    pub fn record(&mut self, id: &str) -> bool {
        let is_new = !self.contains(id);
        if is_new {
            self.push(id);
        }
        is_new
    }

    /// Takes over records of the leader's table, whose newest has the number `last`; gives the ids of those that are new
    /// here. A table whose numbers go beyond the leader's is of a log that is no more: it begins anew.
    pub fn apply_run(&mut self, run: &DrainRun, last: u64) -> Vec<String> {
        if self.last > last {
            *self = Self::default();
        }
        // Those in between were dropped at the leader.
        self.last = self.last.max(run.after);
        let known = usize::try_from(self.last - run.after).unwrap_or(usize::MAX);
        let new: Vec<String> = run.ids.iter().skip(known).cloned().collect();
        new.iter().for_each(|id| self.push(id));
        new
    }

    /// The records after the one of this number, so many at most. Where that one is not known any more, or not yet, all
    /// that are kept are meant.
    pub fn run_after(&self, known: u64, most: usize) -> DrainRun {
        let oldest = self.last - self.recent.len() as u64;
        let after = if (oldest..=self.last).contains(&known) { known } else { oldest };
        let skipped = (after - oldest) as usize;
        let ids = self.recent.iter().skip(skipped).take(most).map(|id| id.to_string()).collect();
        DrainRun { after, ids }
    }

    /// All records that are kept.
    pub fn run(&self) -> DrainRun {
        self.run_after(0, KEPT)
    }

    /// Whether a backend is recorded.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// The number of the newest record; 0 before the first.
    pub fn last(&self) -> u64 {
        self.last
    }

    fn push(&mut self, id: &str) {
        let id: Rc<str> = id.into();
        // What a snapshot holds may name one twice.
        if !self.ids.insert(id.clone()) {
            self.recent.retain(|known| *known != id);
        }
        self.recent.push_back(id);
        self.last = self.last.saturating_add(1);
        if self.recent.len() > KEPT
            && let Some(oldest) = self.recent.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }
}
