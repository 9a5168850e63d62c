//! Drain records: the ids of draining backends in the order in which the Raft log records them, identical on every
//! voter.
//!
//! Soon after its drain is acknowledged a backend must receive no more requests, even from a process that learns of
//! the drain late. So the id is recorded before the drain is acknowledged, and each record has a number, by which a
//! process without a Raft log determines whether it has all records.

use bitcode::{Decode, Encode};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// Maximum number of records that are kept, the newest ones. A silent backend counts as gone after a minute; a fleet
/// that replaces 60 backends per second makes 3600 records in that time.
const MAX_RECORDS: usize = 4096;

/// A run of consecutive records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DrainRun {
    /// Number of the record before the first one of this run.
    pub after: u64,
    /// Ids of the recorded backends, in order.
    pub ids: Vec<String>,
}

/// A table of the newest records.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    /// Number of the newest record; 0 without records.
    last: u64,
    /// Ids of the recorded backends, the oldest record first.
    recent: VecDeque<Rc<str>>,
    ids: HashSet<Rc<str>>,
}

impl DrainTable {
    /// Creates a table with the records of a run.
    pub fn from_run(run: &DrainRun) -> Self {
        let mut table = Self { last: run.after, ..Self::default() };
        run.ids.iter().for_each(|id| table.push(id));
        table
    }

    /// Records a backend. Returns false if the table already contains it.
    pub fn record(&mut self, id: &str) -> bool {
        let is_new = !self.contains(id);
        if is_new {
            self.push(id);
        }
        is_new
    }

    /// Applies records of the leader's table, whose newest record has the number `last`. Returns the ids of the
    /// records that are new in this table. If this table has higher record numbers than the leader, the Raft log behind
    /// this table was replaced by a new one, and the table is cleared first.
    pub fn apply_run(&mut self, run: &DrainRun, last: u64) -> Vec<String> {
        if self.last > last {
            *self = Self::default();
        }
        // If the run starts after this table's newest record, the leader has dropped the records in between.
        self.last = self.last.max(run.after);
        let known = usize::try_from(self.last - run.after).unwrap_or(usize::MAX);
        let added: Vec<String> = run.ids.iter().skip(known).cloned().collect();
        added.iter().for_each(|id| self.push(id));
        added
    }

    /// Up to `max_records` records after the record number `known`. If that number is older than the oldest kept
    /// record or beyond the newest one, the run starts with the oldest kept record.
    pub fn run_after(&self, known: u64, max_records: usize) -> DrainRun {
        let oldest = self.last - self.recent.len() as u64;
        let after = if (oldest..=self.last).contains(&known) { known } else { oldest };
        let skipped = (after - oldest) as usize;
        let ids = self.recent.iter().skip(skipped).take(max_records).map(|id| id.to_string()).collect();
        DrainRun { after, ids }
    }

    /// All kept records.
    pub fn run(&self) -> DrainRun {
        self.run_after(0, MAX_RECORDS)
    }

    /// Whether the table contains a record of the backend.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Number of the newest record; 0 without records.
    pub fn last(&self) -> u64 {
        self.last
    }

    fn push(&mut self, id: &str) {
        let id: Rc<str> = id.into();
        // A snapshot may contain an id twice.
        if !self.ids.insert(id.clone()) {
            self.recent.retain(|known| *known != id);
        }
        self.recent.push_back(id);
        self.last = self.last.saturating_add(1);
        if self.recent.len() > MAX_RECORDS
            && let Some(oldest) = self.recent.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }
}
