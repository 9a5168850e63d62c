//! What one process holds of all others, and which records it still has to pass on.

use crate::Millis;
use crate::message::{MemberAddr, MemberRecord, MemberState};
use crate::rendezvous::{HashedAddr, splitmix64};
use std::collections::{BTreeMap, VecDeque};

/// The view is compared in so many bucket_digests.
pub(crate) const DIGEST_BUCKETS: usize = 64;
/// Processes are some hundreds; more than this are somebody's fault.
const MAX_MEMBERS: usize = 4096;
/// Whoever is dead or has left is remembered for this long, so that no old record brings it back.
pub(crate) const TOMBSTONE_TTL_MS: Millis = 60_000;

#[derive(Debug)]
pub(crate) struct Entry {
    pub record: MemberRecord,
    hash: u64,
    applied_at: Millis,
    /// How often the record is still to be passed on.
    remaining_sends: u32,
    queued: bool,
}

/// All that is held.
#[derive(Debug, Default)]
pub(crate) struct View {
    entries: BTreeMap<MemberAddr, Entry>,
    gossip_queue: VecDeque<MemberAddr>,
    buckets: Vec<u64>,
    alive_count: usize,
    /// Rises whenever somebody comes or goes.
    pub changes: u64,
    #[cfg(test)]
    pub accepts_stale: bool,
}

impl View {
    pub fn get(&self, addr: MemberAddr) -> Option<&MemberRecord> {
        self.entries.get(&addr).map(|entry| &entry.record)
    }

    pub fn is_alive(&self, addr: MemberAddr) -> bool {
        self.get(addr).is_some_and(|record| record.state == MemberState::Alive)
    }

    /// How many are here, the own process included.
    pub fn alive_count(&self) -> usize {
        self.alive_count
    }

    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Those that are here, for ranks.
    pub fn hashed_alive(&self) -> Vec<HashedAddr> {
        let alive = self.entries.values().filter(|entry| entry.record.state == MemberState::Alive);
        alive.map(|entry| (entry.record.identity.addr, entry.hash)).collect()
    }

    /// Whether a record would change anything.
    pub fn supersedes(&self, record: &MemberRecord) -> bool {
        match self.entries.get(&record.identity.addr) {
            #[cfg(test)]
            Some(entry) if self.accepts_stale => entry.record != *record,
            Some(entry) => record.rank() > entry.record.rank(),
            // Kept, such ends would be told round for ever: each would remember them anew. Where an older record of start_id
            // comes after, digests differ, and the end is told again.
            None => record.state == MemberState::Alive && self.entries.len() < MAX_MEMBERS,
        }
    }

    /// Takes a record in; whether it changed anything.
    pub fn apply(&mut self, record: MemberRecord, now: Millis) -> bool {
        if !self.supersedes(&record) {
            return false;
        }
        let (addr, hash) = (record.identity.addr, record.identity.addr.hash());
        let old = self.entries.remove(&addr);
        let was_alive = old.as_ref().is_some_and(|old| old.record.state == MemberState::Alive);
        if let Some(old) = &old {
            self.update_digest(&old.record, hash, false);
        }
        self.update_digest(&record, hash, true);
        let is_alive = record.state == MemberState::Alive;
        self.alive_count = self.alive_count + usize::from(is_alive) - usize::from(was_alive);
        self.changes += u64::from(is_alive != was_alive);
        let remaining_sends = gossip_rounds(self.alive_count);
        let queued = old.is_some_and(|old| old.queued);
        if !queued {
            self.gossip_queue.push_front(addr);
        }
        self.entries.insert(addr, Entry { record, hash, applied_at: now, remaining_sends, queued: true });
        true
    }

    fn update_digest(&mut self, record: &MemberRecord, hash: u64, add: bool) {
        if record.state != MemberState::Alive {
            return;
        }
        if self.buckets.is_empty() {
            self.buckets.resize(DIGEST_BUCKETS, 0);
        }
        let (incarnation, start_id, _) = record.rank();
        let digest = splitmix64(hash ^ splitmix64(start_id ^ u64::from(incarnation).rotate_left(32)));
        if let Some(bucket) = self.buckets.get_mut(bucket_of(hash)) {
            *bucket = if add { bucket.wrapping_add(digest) } else { bucket.wrapping_sub(digest) };
        }
    }

    /// Of all that are here, their lives and incarnations: equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, bucket| sum.wrapping_add(*bucket))
    }

    /// The same for each bucket.
    pub fn bucket_digests(&self) -> Vec<u32> {
        (0..DIGEST_BUCKETS)
            .map(|bucket| self.buckets.get(bucket).map_or(0, |digest| *digest as u32))
            .collect()
    }

    /// The records of all bucket_digests that differ, those about the dead included.
    pub fn records_in_differing_buckets(&self, bucket_digests: &[u32]) -> Vec<&MemberRecord> {
        let own = self.bucket_digests();
        let differs = |hash: u64| bucket_digests.get(bucket_of(hash)) != own.get(bucket_of(hash));
        self.entries.values().filter(|entry| differs(entry.hash)).map(|entry| &entry.record).collect()
    }

    /// The next records to pass on; each is passed on about the logarithm of the number of processes often.
    pub fn next_gossip(&mut self, max: usize) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        for _ in 0..self.gossip_queue.len().min(max) {
            let Some(addr) = self.gossip_queue.pop_front() else { break };
            let Some(entry) = self.entries.get_mut(&addr) else { continue };
            entry.remaining_sends = entry.remaining_sends.saturating_sub(1);
            entry.queued = entry.remaining_sends > 0;
            if entry.queued {
                self.gossip_queue.push_back(addr);
            }
            records.push(entry.record.clone());
        }
        records
    }

    /// Forgets those that ended long ago.
    pub fn expire_tombstones(&mut self, now: Millis) {
        self.entries.retain(|_, entry| {
            entry.record.state == MemberState::Alive || now < entry.applied_at + TOMBSTONE_TTL_MS
        });
    }

    /// Forgets everybody but one.
    pub fn reset_to(&mut self, own: MemberRecord, now: Millis) {
        let changes = self.changes + 1;
        #[cfg(test)]
        let accepts_stale = self.accepts_stale;
        *self = Self {
            changes,
            #[cfg(test)]
            accepts_stale,
            ..Self::default()
        };
        self.apply(own, now);
    }
}

fn bucket_of(hash: u64) -> usize {
    (hash >> 58) as usize
}

/// How often a record is passed on among so many.
fn gossip_rounds(alive: usize) -> u32 {
    3 + (alive.max(2) as u64).ilog2()
}
