//! An in-memory model of the persistent state after a save.

use raft::{PersistentState, Save, VoterId};

pub fn empty(me: VoterId, founders: Vec<VoterId>) -> PersistentState {
    PersistentState { me, term: 0, vote: None, snapshot: None, entries: Vec::new(), founders }
}

pub fn apply(disk: &mut PersistentState, save: &Save) {
    disk.term = save.term;
    disk.vote = save.vote.clone();
    if let Some(from) = save.truncate {
        disk.entries.retain(|entry| entry.index < from);
    }
    disk.entries.extend(save.entries.iter().cloned());
    if let Some(snapshot) = &save.snapshot {
        disk.entries.retain(|entry| entry.index > snapshot.index);
        disk.snapshot = Some(snapshot.clone());
    }
}
