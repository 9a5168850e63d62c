//! Entries of the log that record backends that leave.

use bitcode::{Decode, Encode};

/// Backends that are recorded as leaving, by their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DrainEntry {
    /// The ids.
    pub ids: Vec<String>,
}

/// Such entries begin with this; neither changes nor marks do.
const TAG: &[u8] = b"reachlb drains 1\n";

impl DrainEntry {
    /// The entry as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut entry = TAG.to_vec();
        entry.extend_from_slice(&bitcode::encode(self));
        entry
    }

    /// Reads such an entry; none for others.
    pub fn decode(entry: &[u8]) -> Option<Result<Self, bitcode::Error>> {
        entry.strip_prefix(TAG).map(bitcode::decode)
    }
}
