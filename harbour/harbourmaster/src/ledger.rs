//! The configurations that were taken: what the log's entries make, the same on every voter.

use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// So many versions are remembered by their digest: an operator repeats a call within seconds, not thousands later.
const REMEMBERED: usize = 4096;

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

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the newest one now.
    Taken,
    /// It had been taken before, whether it still is the newest or not.
    TakenBefore,
    /// It builds on another version than the newest.
    Stale {
        /// The newest.
        current: u64,
    },
    /// Its own version is not above the newest.
    NotAbove {
        /// The newest.
        current: u64,
    },
}

/// All configurations ever taken, the newest in full.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Ledger {
    version: u64,
    body: Vec<u8>,
    digests: BTreeMap<u64, [u8; 32]>,
}

impl Ledger {
    /// What would become of a change now.
    pub fn judge(&self, base: u64, version: u64, digest: &[u8; 32]) -> Verdict {
        let current = self.version;
        if self.digests.get(&version) == Some(digest) {
            Verdict::TakenBefore
        } else if base != current {
            Verdict::Stale { current }
        } else if version <= current {
            Verdict::NotAbove { current }
        } else {
            Verdict::Taken
        }
    }

    /// Takes a change from the log.
    pub fn apply(&mut self, change: Change) -> Verdict {
        let verdict = self.judge(change.base, change.version, &change.digest);
        if verdict == Verdict::Taken {
            self.version = change.version;
            self.body = change.body;
            self.digests.insert(change.version, change.digest);
            while self.digests.len() > REMEMBERED {
                self.digests.pop_first();
            }
        }
        verdict
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
