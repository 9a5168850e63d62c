//! The entries in memory, on top of the snapshot that stands for the older ones.

use std::collections::VecDeque;

use crate::types::{Entry, Snapshot, VoterId, What};

#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct Log {
    founders: Vec<VoterId>,
    snapshot: Option<Snapshot>,
    entries: VecDeque<Entry>,
    members: Vec<VoterId>,
    members_index: u64,
}

impl Log {
    /// Entries that do not follow each other are cut off: the store has checked them, a host's own `Saved` may differ.
    pub(crate) fn new(founders: Vec<VoterId>, snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Log {
        let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let entries = entries
            .into_iter()
            .enumerate()
            .take_while(|(at, entry)| entry.index == base + 1 + *at as u64)
            .map(|(_, entry)| entry)
            .collect();
        let mut log = Log { founders, snapshot, entries, members: Vec::new(), members_index: 0 };
        log.find_members();
        log
    }

    pub(crate) fn base(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.term_at(self.last()).unwrap_or(0)
    }

    /// The list in force: the newest in the log, committed or not.
    pub(crate) fn members(&self) -> &[VoterId] {
        &self.members
    }

    /// Where that list stands in the log.
    pub(crate) fn members_index(&self) -> u64 {
        self.members_index
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base() + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// None for entries that are not here any more, or not yet.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base() {
            return Some(self.snapshot.as_ref().map_or(0, |snapshot| snapshot.term));
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Consecutive entries from an index on: at least one if there is one, then as many as the bounds allow.
    pub(crate) fn slice(&self, from: u64, most: usize, most_bytes: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.what.size();
            if !taken.is_empty() && (taken.len() >= most || bytes > most_bytes) {
                break;
            }
            taken.push(entry.clone());
            index += 1;
        }
        taken
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let What::Members(list) = &entry.what {
            self.members = list.clone();
            self.members_index = entry.index;
        }
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate(&mut self, from: u64) {
        self.entries.truncate(from.saturating_sub(self.base() + 1) as usize);
        // The list that was in force before the entries that go away counts again.
        self.find_members();
    }

    /// The snapshot takes the place of the entries up to its index. The later ones stay if they follow on it.
    pub(crate) fn replace(&mut self, snapshot: Snapshot) {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            let gone = snapshot.index.saturating_sub(self.base()) as usize;
            self.entries.drain(..gone.min(self.entries.len()));
        } else {
            self.entries.clear();
        }
        self.snapshot = Some(snapshot);
        self.find_members();
    }

    /// The list as of an index that is in the log.
    pub(crate) fn members_as_of(&self, index: u64) -> (Vec<VoterId>, u64) {
        let newest = self.entries.iter().rev().skip_while(|entry| entry.index > index).find_map(|entry| {
            let What::Members(list) = &entry.what else { return None };
            Some((list.clone(), entry.index))
        });
        newest.unwrap_or_else(|| match &self.snapshot {
            Some(snapshot) => (snapshot.members.clone(), snapshot.index),
            None => (self.founders.clone(), 0),
        })
    }

    fn find_members(&mut self) {
        (self.members, self.members_index) = self.members_as_of(self.last());
    }
}
