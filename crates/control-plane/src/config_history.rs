//! History of accepted configurations: the result of the log's entries, equal on every voter.
//!
//! Each configuration has a version and a digest of its body (the text that the operator sent). An order names its
//! base, the version that the operator edited, and is accepted only if the base is the newest version. The history
//! also keeps what the next quota holder needs: the size of the fleet of data planes, and the quota floors (see
//! [`quota::Floor`]).

pub mod snapshot_format;

use bitcode::{Decode, Encode};
use snapshot_format::UnknownFormat;
use std::collections::BTreeMap;

/// Number of versions whose digest is remembered, 32 bytes each. Without its digest, an accepted configuration
/// cannot be distinguished from another one of the same version, so a retry of an older order gets no final answer.
const MAX_DIGESTS: usize = 4096;
/// Maximum number of quota floors (see [`quota::Floor`]), one per tenant. Under a new quota holder, tenants beyond this
/// limit start without any quota units.
const MAX_FLOORS: usize = 4096;
/// Number of versions whose log position is remembered.
const MAX_POSITIONS: usize = 64;
/// Number of former bodies that are kept, so that operators can compare versions.
const MAX_FORMER_BODIES: usize = 7;
/// Maximum total size of former bodies. Former bodies are part of each snapshot and of each voter's memory.
const MAX_FORMER_BODY_BYTES: usize = 1 << 20;

/// A change of the configuration, as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Change {
    /// The version that the change builds on.
    pub base: u64,
    /// The version of the change itself.
    pub version: u64,
    /// Digest by which a retry of the same configuration is recognized.
    pub digest: [u8; 32],
    /// The operator's body, byte for byte.
    pub body: Vec<u8>,
}

impl Change {
    /// Decodes a log entry.
    ///
    /// # Errors
    /// When the entry is not a change.
    pub fn decode(entry: &[u8]) -> Result<Self, bitcode::Error> {
        bitcode::decode(entry)
    }
}

/// A log entry for the next quota holder: floors of quota counters and the size of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct QuotaCheckpoint {
    /// Floors that changed, in quota units: see [`quota::Floor`].
    pub floors: Vec<(String, u32)>,
    /// Number of data planes.
    pub fleet_size: u32,
}

/// Prefix of checkpoint entries. No encoded change begins with it.
const CHECKPOINT_TAG: &[u8] = b"harbour marks 1\n";

impl QuotaCheckpoint {
    /// Encodes the checkpoint as a log entry.
    pub fn to_entry(&self) -> Vec<u8> {
        let mut entry = CHECKPOINT_TAG.to_vec();
        entry.extend_from_slice(&bitcode::encode(self));
        entry
    }

    /// Decodes a checkpoint entry; `None` for an entry of another kind.
    pub fn decode(entry: &[u8]) -> Option<Result<Self, bitcode::Error>> {
        entry.strip_prefix(CHECKPOINT_TAG).map(bitcode::decode)
    }
}

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The change is the newest version now.
    Accepted,
    /// The same change was accepted before. It may no longer be the newest version.
    AlreadyAccepted,
    /// The change builds on a version older than the newest.
    Stale {
        /// The newest version.
        current: u64,
    },
    /// The change's own version is not above the newest.
    VersionNotHigher {
        /// The newest version.
        current: u64,
    },
    /// The change builds on a version that is not accepted yet, but may still be, for example by an entry in flight.
    BaseAhead {
        /// The version that the change builds on.
        base: u64,
        /// The newest version.
        current: u64,
    },
    /// The digest of the change's version was dropped, so that this change, or another one of the same version, may
    /// have been accepted.
    DigestEvicted {
        /// The oldest version whose digest is remembered.
        oldest: u64,
    },
}

impl Verdict {
    /// Whether no later log entry can alter this verdict. Versions only rise: a base below the newest version never
    /// becomes the newest again, and a version that is not above the newest stays so. A base above the newest may
    /// become the newest.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::BaseAhead { .. } | Self::DigestEvicted { .. })
    }
}

/// When a configuration was accepted, as a log position: machines share the log, but no clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LogPosition {
    /// Index of the log entry.
    pub index: u64,
    /// Term of the leader that proposed the entry.
    pub epoch: u64,
}

/// The accepted configurations: the newest one with its body, and what is remembered of earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigHistory {
    /// The newest version; 0 before the first.
    version: u64,
    /// Body of the newest version, byte for byte.
    body: Vec<u8>,
    /// Digests of the latest versions, by version.
    digests: BTreeMap<u64, [u8; 32]>,
    /// Log positions of the latest versions, by version.
    positions: BTreeMap<u64, LogPosition>,
    /// Bodies of former versions, by version.
    bodies: BTreeMap<u64, Vec<u8>>,
    /// The version before the newest one with its body, if the body is too large for `bodies`. Subscribers have that
    /// version and receive the newest one as a delta to it. In memory only.
    #[bitcode(skip)]
    oversized_predecessor: Option<(u64, Vec<u8>)>,
    /// Quota floors by tenant; a missing floor is zero.
    floors: BTreeMap<String, u32>,
    /// Number of data planes according to the newest checkpoint.
    fleet_size: u32,
}

impl ConfigHistory {
    /// Restores the history from a snapshot, including one written by an earlier version.
    ///
    /// # Errors
    /// When the bytes are in no known format.
    pub fn restore(state: &[u8]) -> Result<Self, UnknownFormat> {
        snapshot_format::read(state)
    }

    /// Encodes the history for a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot_format::write(self)
    }

    /// The verdict on a change if it were applied now.
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

    /// Whether exactly this configuration was accepted, as far as digests are remembered.
    pub fn has_accepted(&self, version: u64, digest: &[u8; 32]) -> bool {
        self.digests.get(&version) == Some(digest)
    }

    /// The oldest version whose digest is remembered, once older digests may have been dropped.
    fn oldest_digest(&self) -> Option<u64> {
        let full = self.digests.len() >= MAX_DIGESTS;
        self.digests.first_key_value().filter(|_| full).map(|(oldest, _)| *oldest)
    }

    /// Applies a change at its position in the log.
    pub fn apply(&mut self, position: LogPosition, change: Change) -> Verdict {
        let verdict = self.evaluate(change.base, change.version, &change.digest);
        if verdict == Verdict::Accepted {
            let former_body = std::mem::replace(&mut self.body, change.body);
            self.oversized_predecessor = None;
            if self.version > 0 {
                self.bodies.insert(self.version, former_body);
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
            self.positions.insert(change.version, position);
            while self.positions.len() > MAX_POSITIONS {
                self.positions.pop_first();
            }
        }
        verdict
    }

    /// Applies a quota checkpoint.
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

    /// Quota floors by tenant, in units; a missing floor is zero.
    pub fn floors(&self) -> &BTreeMap<String, u32> {
        &self.floors
    }

    /// Number of data planes according to the newest checkpoint; 0 before the first one.
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size
    }

    /// The latest accepted versions, newest first: version, digest and log position.
    pub fn history(&self) -> impl Iterator<Item = (u64, &[u8; 32], LogPosition)> {
        let positions = self.positions.iter().rev();
        positions.filter_map(|(version, position)| Some((*version, self.digests.get(version)?, *position)))
    }

    /// The body of a version, while it is kept.
    pub fn body_of(&self, version: u64) -> Option<&[u8]> {
        if version == self.version {
            return self.body();
        }
        let oversized = self
            .oversized_predecessor
            .as_ref()
            .filter(|(former, _)| *former == version)
            .map(|(_, body)| body);
        self.bodies.get(&version).or(oversized).map(Vec::as_slice)
    }

    /// The newest version; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The body of the newest configuration, byte for byte, if there is one.
    pub fn body(&self) -> Option<&[u8]> {
        (self.version > 0).then_some(&self.body)
    }
}
