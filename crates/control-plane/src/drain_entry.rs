//! Log entries that record draining backends.
//!
//! A draining backend finishes its running requests before it ends and must receive no new ones.

use bitcode::{Decode, Encode};

/// Backends that are recorded as draining.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DrainEntry {
    /// Ids of the backends.
    pub ids: Vec<String>,
}

/// Prefix of drain entries. Neither changes nor quota checkpoints begin with it.
const TAG: &[u8] = b"reachlb drains 1\n";

impl DrainEntry {
    /// Encodes the entry.
    pub fn encode(&self) -> Vec<u8> {
        let mut entry = TAG.to_vec();
        entry.extend_from_slice(&bitcode::encode(self));
        entry
    }

    /// Decodes a drain entry; `None` for an entry of another kind.
    pub fn decode(entry: &[u8]) -> Option<Result<Self, bitcode::Error>> {
        entry.strip_prefix(TAG).map(bitcode::decode)
    }
}
