//! One process's view of the membership, and its queue of records to gossip. Records of dead and departed members are
//! called tombstones. A view is split into buckets, so that a sync transfers only the parts that differ.

use crate::Millis;
use crate::message::{MemberAddr, MemberRecord, MemberState};
use crate::rendezvous::{HashedAddr, splitmix64};
use std::collections::{BTreeMap, VecDeque};

/// Number of buckets that a view is split into, so that a sync transfers only records of buckets that differ.
pub(crate) const DIGEST_BUCKETS: usize = 64;
/// Maximum number of members. Fleets have some hundred processes; more than this indicates a fault.
const MAX_MEMBERS: usize = 4096;
/// How long a record of a dead or departed member is kept, so that an outdated record does not revive the member.
pub(crate) const TOMBSTONE_TTL_MS: Millis = 60_000;

#[derive(Debug)]
pub(crate) struct Entry {
    pub record: MemberRecord,
    hash: u64,
    applied_at: Millis,
    /// Number of datagrams that the record is still to be sent in.
    remaining_sends: u32,
    queued: bool,
}

/// The records of all known members.
#[derive(Debug, Default)]
pub(crate) struct View {
    entries: BTreeMap<MemberAddr, Entry>,
    gossip_queue: VecDeque<MemberAddr>,
    buckets: Vec<u64>,
    alive_count: usize,
    /// Counter that increases whenever a member becomes alive or stops being alive.
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

    /// Number of alive members, including this process.
    pub fn alive_count(&self) -> usize {
        self.alive_count
    }

    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// The alive members, for rendezvous hashing.
    pub fn hashed_alive(&self) -> Vec<HashedAddr> {
        let alive = self.entries.values().filter(|entry| entry.record.state == MemberState::Alive);
        alive.map(|entry| (entry.record.identity.addr, entry.hash)).collect()
    }

    /// Whether a record would change the view.
    pub fn supersedes(&self, record: &MemberRecord) -> bool {
        match self.entries.get(&record.identity.addr) {
            #[cfg(test)]
            Some(entry) if self.accepts_stale => entry.record != *record,
            Some(entry) => record.rank() > entry.record.rank(),
            // A tombstone is the record of a dead or departed member. Tombstones of unknown members are dropped. If
            // views accepted such tombstones, they would circulate forever, because each process would keep them for
            // the full time again. If an outdated `Alive` record arrives afterwards, the digests differ and a sync
            // brings the tombstone again.
            None => record.state == MemberState::Alive && self.entries.len() < MAX_MEMBERS,
        }
    }

    /// Applies a record. Returns whether the view changed.
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

    /// Digest of the alive members with their start IDs and incarnations: equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, bucket| sum.wrapping_add(*bucket))
    }

    /// Digest of each bucket.
    pub fn bucket_digests(&self) -> Vec<u32> {
        (0..DIGEST_BUCKETS)
            .map(|bucket| self.buckets.get(bucket).map_or(0, |digest| *digest as u32))
            .collect()
    }

    /// The records in buckets whose digests differ, including tombstones.
    pub fn records_in_differing_buckets(&self, bucket_digests: &[u32]) -> Vec<&MemberRecord> {
        let own = self.bucket_digests();
        let differs = |hash: u64| bucket_digests.get(bucket_of(hash)) != own.get(bucket_of(hash));
        self.entries.values().filter(|entry| differs(entry.hash)).map(|entry| &entry.record).collect()
    }

    /// The next records to gossip. The number of sends of each record grows with the logarithm of the fleet size.
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

    /// Removes expired records of dead and departed members.
    pub fn expire_tombstones(&mut self, now: Millis) {
        self.entries.retain(|_, entry| {
            entry.record.state == MemberState::Alive || now < entry.applied_at + TOMBSTONE_TTL_MS
        });
    }

    /// Removes all records except the process's own one.
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

/// Number of datagrams that each record is sent in, for a number of alive members.
fn gossip_rounds(alive: usize) -> u32 {
    3 + (alive.max(2) as u64).ilog2()
}
