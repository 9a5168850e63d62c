//! The in-memory log: the latest snapshot and the entries after it.

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

/// The newest entries covered by the snapshot, kept in memory only. A follower that has just received the previous
/// snapshot continues with these entries. Without them, a compaction during each transfer would require yet another
/// snapshot, and the follower would never catch up. The retained entries never take more bytes than the snapshot's
/// state, since sending the snapshot is cheaper beyond that size.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
struct Retained {
    entries: VecDeque<Entry>,
    bytes: usize,
    /// The index and term of the entry before the first retained entry.
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
    /// Creates the log. Drops the entries after a gap: the store rejects such gaps, but a host may pass a
    /// `PersistentState` from elsewhere.
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

    /// The list of members in use: the newest list in the log, committed or not.
    pub(crate) fn members(&self) -> &[VoterId] {
        &self.members
    }

    /// The index of the entry that holds the list of members in use.
    pub(crate) fn members_index(&self) -> u64 {
        self.members_index
    }

    /// An entry of the log or a retained entry.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        match index.checked_sub(self.base() + 1) {
            Some(position) => self.entries.get(usize::try_from(position).ok()?),
            None => self.retained.get(index),
        }
    }

    /// The term of an entry; `None` if the entry has been compacted or does not exist yet.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base() {
            return Some(self.snapshot.as_ref().map_or(0, |snapshot| snapshot.term));
        }
        if index == self.retained.before_index {
            return Some(self.retained.before_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Consecutive entries from an index on: at least one if it exists, then as many as the limits allow.
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
        // Removing an entry with a list of members restores the previous list.
        self.refresh_members();
    }

    /// Replaces the entries up to the snapshot's index. Later entries remain if the log matches the snapshot at its
    /// index.
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

    /// Drops the retained entries.
    pub(crate) fn clear_retained(&mut self) {
        self.retained = Retained::empty_after(self.base(), self.term_at(self.base()).unwrap_or(0));
    }

    /// The members as of an index of the log, and the index of the entry that holds the list.
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
