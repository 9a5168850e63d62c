//! The entries in memory, on top of the snapshot that stands for the older ones.

use std::collections::VecDeque;

use crate::types::{Entry, Payload, Snapshot, VoterId};

#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct Log {
    founders: Vec<VoterId>,
    snapshot: Option<Snapshot>,
    entries: VecDeque<Entry>,
    retained: Retained,
    members: Vec<VoterId>,
    members_index: u64,
}

/// The newest entries that the snapshot stands for, in memory only: a follower that was just sent the snapshot before it
/// goes on with them. Otherwise the log could be compacted again during each transfer, and catching up would never end.
/// There are never more bytes of them than of the snapshot's state, which is sent instead of them then.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
struct Retained {
    entries: VecDeque<Entry>,
    bytes: usize,
    /// The entry before the first of them.
    before_index: u64,
    before_term: u64,
}

impl Retained {
    fn empty_after(before_index: u64, before_term: u64) -> Retained {
        Retained { entries: VecDeque::new(), bytes: 0, before_index, before_term }
    }

    fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.before_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    fn push(&mut self, entry: Entry) {
        self.bytes += entry.payload.size();
        self.entries.push_back(entry);
    }

    fn trim(&mut self, max_bytes: usize) {
        while self.bytes > max_bytes
            && let Some(oldest) = self.entries.pop_front()
        {
            self.bytes -= oldest.payload.size();
            (self.before_index, self.before_term) = (oldest.index, oldest.term);
        }
    }
}

impl Log {
    /// Entries that do not follow each other are cut off: the store has checked them, a host's own `PersistentState` may differ.
    pub(crate) fn new(founders: Vec<VoterId>, snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Log {
        let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let entries = entries
            .into_iter()
            .enumerate()
            .take_while(|(position, entry)| entry.index == base + 1 + *position as u64)
            .map(|(_, entry)| entry)
            .collect();
        let base_term = snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
        let retained = Retained::empty_after(base, base_term);
        let mut log = Log { founders, snapshot, entries, retained, members: Vec::new(), members_index: 0 };
        log.refresh_members();
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

    /// An entry of the log, or one before it that is still in memory.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        match index.checked_sub(self.base() + 1) {
            Some(position) => self.entries.get(usize::try_from(position).ok()?),
            None => self.retained.get(index),
        }
    }

    /// None for entries that are not here any more, or not yet.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base() {
            return Some(self.snapshot.as_ref().map_or(0, |snapshot| snapshot.term));
        }
        if index == self.retained.before_index {
            return Some(self.retained.before_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Consecutive entries from an index on: at least one if there is one, then as many as the bounds allow.
    pub(crate) fn slice(&self, from: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload.size();
            if !taken.is_empty() && (taken.len() >= max_entries || bytes > max_bytes) {
                break;
            }
            taken.push(entry.clone());
            index += 1;
        }
        taken
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Members(list) = &entry.payload {
            self.members = list.clone();
            self.members_index = entry.index;
        }
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate(&mut self, from: u64) {
        self.entries.truncate(from.saturating_sub(self.base() + 1) as usize);
        // The list that was in force before the entries that go away counts again.
        self.refresh_members();
    }

    /// The snapshot takes the place of the entries up to its index. The later ones stay if they follow on it.
    pub(crate) fn replace_with_snapshot(&mut self, snapshot: Snapshot) {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            let compacted_count = snapshot.index.saturating_sub(self.base()) as usize;
            let compacted = self.entries.drain(..compacted_count.min(self.entries.len()));
            compacted.for_each(|entry| self.retained.push(entry));
            self.retained.trim(snapshot.state.len());
        } else {
            self.entries.clear();
            self.retained = Retained::empty_after(snapshot.index, snapshot.term);
        }
        self.snapshot = Some(snapshot);
        self.refresh_members();
    }

    /// Drops the entries that the snapshot stands for.
    pub(crate) fn clear_retained(&mut self) {
        self.retained = Retained::empty_after(self.base(), self.term_at(self.base()).unwrap_or(0));
    }

    /// The list as of an index that is in the log.
    pub(crate) fn members_as_of(&self, index: u64) -> (Vec<VoterId>, u64) {
        let newest = self.entries.iter().rev().skip_while(|entry| entry.index > index).find_map(|entry| {
            let Payload::Members(list) = &entry.payload else { return None };
            Some((list.clone(), entry.index))
        });
        newest.unwrap_or_else(|| match &self.snapshot {
            Some(snapshot) => (snapshot.members.clone(), snapshot.index),
            None => (self.founders.clone(), 0),
        })
    }

    fn refresh_members(&mut self) {
        (self.members, self.members_index) = self.members_as_of(self.last());
    }
}
