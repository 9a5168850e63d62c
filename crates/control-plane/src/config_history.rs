//! The configurations that were taken: what the log's entries make, the same on every voter.

pub mod snapshot_format;

use bitcode::{Decode, Encode};
use snapshot_format::UnknownFormat;
use std::collections::BTreeMap;

/// So many versions are remembered by their digest, of 32 bytes each. An order with an older number is left without a
/// clear answer when it is sent again: it may have been taken.
const MAX_DIGESTS: usize = 4096;
/// Floors of more counts than this are not kept: their tenants begin with nothing under a new holder.
const MAX_FLOORS: usize = 4096;
/// Of so many versions it is remembered when they were taken.
const MAX_POSITIONS: usize = 64;
/// Bodies before the newest one are kept for operators who compare: so many ...
const MAX_FORMER_BODIES: usize = 7;
/// ... of so many bytes in all. They lie in each snapshot and in the memory of each voter.
const MAX_FORMER_BODY_BYTES: usize = 1 << 20;

/// A change as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Change {
    /// The version that it builds on.
    pub base: u64,
    /// Its own version.
    pub version: u64,
    /// Tells the same configuration again from another one.
    pub digest: [u8; 32],
    /// The operator's body, byte for byte.
    pub body: Vec<u8>,
}

impl Change {
    /// Reads what an entry of the log holds.
    ///
    /// # Errors
    /// When it holds something else.
    pub fn decode(entry: &[u8]) -> Result<Self, bitcode::Error> {
        bitcode::decode(entry)
    }
}

/// What the log says besides changes: facts of the counts and of who is there, for whoever holds them next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct QuotaCheckpoint {
    /// Floors of counts that are other ones from here on, in units: see [`quota::Floor`].
    pub floors: Vec<(String, u32)>,
    /// How many data planes there are.
    pub fleet_size: u32,
}

/// Entries that hold marks begin with this; no change of the versions so far does.
const CHECKPOINT_TAG: &[u8] = b"harbour marks 1\n";

impl QuotaCheckpoint {
    /// The marks as an entry.
    pub fn to_entry(&self) -> Vec<u8> {
        let mut entry = CHECKPOINT_TAG.to_vec();
        entry.extend_from_slice(&bitcode::encode(self));
        entry
    }

    /// Reads an entry that holds marks; none for others.
    pub fn decode(entry: &[u8]) -> Option<Result<Self, bitcode::Error>> {
        entry.strip_prefix(CHECKPOINT_TAG).map(bitcode::decode)
    }
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the newest one now.
    Accepted,
    /// It had been taken before, whether it still is the newest or not.
    AlreadyAccepted,
    /// It builds on a version before the newest.
    Stale {
        /// The newest.
        current: u64,
    },
    /// Its own version is not above the newest.
    VersionNotHigher {
        /// The newest.
        current: u64,
    },
    /// It builds on a version that is not taken, but may be: by an entry in flight, for one.
    BaseAhead {
        /// The version that it builds on.
        base: u64,
        /// The newest.
        current: u64,
    },
    /// Its version is one of those whose digests were dropped: it may have been taken, or another one of its number.
    DigestEvicted {
        /// The oldest version whose digest is remembered.
        oldest: u64,
    },
}

impl Verdict {
    /// Whether no entry that the log may still get can change it. Versions only rise: a base below the newest never
    /// is the newest again, and a version that is not above it never will be. A base above the newest may become it.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::BaseAhead { .. } | Self::DigestEvicted { .. })
    }
}

/// When a configuration was taken: no two machines share a clock, but all share the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LogPosition {
    /// Its entry in the log.
    pub index: u64,
    /// The term of the leader that took it.
    pub epoch: u64,
}

/// All configurations ever taken, the newest in full.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigHistory {
    version: u64,
    body: Vec<u8>,
    digests: BTreeMap<u64, [u8; 32]>,
    positions: BTreeMap<u64, LogPosition>,
    /// The bodies of versions before the newest.
    bodies: BTreeMap<u64, Vec<u8>>,
    /// The version before the newest one and its body, if it is too long for these: followers have it, and get what makes
    /// the newest out of it. In memory only.
    #[bitcode(skip)]
    oversized_predecessor: Option<(u64, Vec<u8>)>,
    /// Floors of counts; those that are not here are zero.
    floors: BTreeMap<String, u32>,
    /// How many data planes there were when last it was said.
    fleet_size: u32,
}

impl ConfigHistory {
    /// Reads what a snapshot holds, also one that a version before this one wrote.
    ///
    /// # Errors
    /// When it holds something else.
    pub fn restore(state: &[u8]) -> Result<Self, UnknownFormat> {
        snapshot_format::read(state)
    }

    /// What a snapshot holds of this state.
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot_format::write(self)
    }

    /// What would become of a change now.
    pub fn evaluate(&self, base: u64, version: u64, digest: &[u8; 32]) -> Verdict {
        let current = self.version;
        if self.has_accepted(version, digest) {
            Verdict::AlreadyAccepted
        } else if let Some(oldest) = self.oldest_digest().filter(|oldest| version < *oldest) {
            Verdict::DigestEvicted { oldest }
        } else if base < current {
            Verdict::Stale { current }
        } else if version <= current {
            Verdict::VersionNotHigher { current }
        } else if base > current {
            Verdict::BaseAhead { base, current }
        } else {
            Verdict::Accepted
        }
    }

    /// Whether this very configuration has been taken, as far as is remembered.
    pub fn has_accepted(&self, version: u64, digest: &[u8; 32]) -> bool {
        self.digests.get(&version) == Some(digest)
    }

    /// The oldest version whose digest is remembered, once older ones may have been dropped.
    fn oldest_digest(&self) -> Option<u64> {
        let full = self.digests.len() >= MAX_DIGESTS;
        self.digests.first_key_value().filter(|_| full).map(|(oldest, _)| *oldest)
    }

    /// Takes a change from this position of the log.
    pub fn apply(&mut self, at: LogPosition, change: Change) -> Verdict {
        let verdict = self.evaluate(change.base, change.version, &change.digest);
        if verdict == Verdict::Accepted {
            let before = std::mem::replace(&mut self.body, change.body);
            self.oversized_predecessor = None;
            if self.version > 0 {
                self.bodies.insert(self.version, before);
            }
            let mut bytes: usize = self.bodies.values().map(Vec::len).sum();
            while (self.bodies.len() > MAX_FORMER_BODIES || bytes > MAX_FORMER_BODY_BYTES)
                && let Some((version, oldest)) = self.bodies.pop_first()
            {
                bytes -= oldest.len();
                self.oversized_predecessor = (version == self.version).then_some((version, oldest));
            }
            self.version = change.version;
            self.digests.insert(change.version, change.digest);
            while self.digests.len() > MAX_DIGESTS {
                self.digests.pop_first();
            }
            self.positions.insert(change.version, at);
            while self.positions.len() > MAX_POSITIONS {
                self.positions.pop_first();
            }
        }
        verdict
    }

    /// Takes marks in.
    pub fn apply_checkpoint(&mut self, checkpoint: QuotaCheckpoint) {
        self.fleet_size = checkpoint.fleet_size;
        for (tenant, units) in checkpoint.floors {
            if units == 0 {
                self.floors.remove(&tenant);
            } else if self.floors.len() < MAX_FLOORS || self.floors.contains_key(&tenant) {
                self.floors.insert(tenant, units);
            }
        }
    }

    /// Floors of counts, in units; those that are not here are zero.
    pub fn floors(&self) -> &BTreeMap<String, u32> {
        &self.floors
    }

    /// How many data planes there were when last it was said; 0 before that.
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size
    }

    /// The last versions that were taken, the newest first: number, digest, and when.
    pub fn history(&self) -> impl Iterator<Item = (u64, &[u8; 32], LogPosition)> {
        let positions = self.positions.iter().rev();
        positions.filter_map(|(version, position)| Some((*version, self.digests.get(version)?, *position)))
    }

    /// The body of a version, as long as it is kept.
    pub fn body_of(&self, version: u64) -> Option<&[u8]> {
        if version == self.version {
            return self.body();
        }
        let former =
            self.oversized_predecessor.as_ref().filter(|(known, _)| *known == version).map(|(_, body)| body);
        self.bodies.get(&version).or(former).map(Vec::as_slice)
    }

    /// The newest version; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The newest configuration as it was sent, if there is one.
    pub fn body(&self) -> Option<&[u8]> {
        (self.version > 0).then_some(&self.body)
    }
}
