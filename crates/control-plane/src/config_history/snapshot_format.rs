//! Formats of a snapshot's state, of this version and of earlier ones.
//!
//! The older formats have no tag: each one has the fields of the previous format followed by additional ones.
//! `bitcode` decodes fields in order and requires the input to end after the last one. So a shorter format lacks
//! fields for a longer format's decoder, and a longer format has bytes left over for a shorter format's decoder:
//! exactly one decoder accepts a state.
//!
//! Later formats begin with a tag. This version reads the first tagged format but does not write it yet, because the
//! previous version cannot read it and both run side by side during an upgrade. The next version will write it.

use super::{ConfigHistory, LogPosition};
use bitcode::Decode;
use std::collections::BTreeMap;
use thiserror::Error;

/// Prefix of a [`Format::Tagged`] state. No untagged format begins with it: `bitcode` never encodes a number with
/// this first byte.
pub const TAG: &[u8] = b"reachlb state 1\n";

/// Format of a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// The format before bodies of former versions were kept.
    Bare,
    /// The format before there were quota floors.
    WithBodies,
    /// The format that this version writes.
    WithFloors,
    /// The same content after a tag; this version only reads it.
    Tagged,
}

/// All formats.
pub const FORMATS: [Format; 4] = [Format::Tagged, Format::WithFloors, Format::WithBodies, Format::Bare];

/// A state in no known format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("state of {length} bytes is in no known format")]
pub struct UnknownFormat {
    /// Length of the state in bytes.
    pub length: usize,
}

#[derive(Decode)]
struct WithBodies {
    version: u64,
    body: Vec<u8>,
    digests: BTreeMap<u64, [u8; 32]>,
    positions: BTreeMap<u64, LogPosition>,
    bodies: BTreeMap<u64, Vec<u8>>,
}

#[derive(Decode)]
struct Bare {
    version: u64,
    body: Vec<u8>,
    digests: BTreeMap<u64, [u8; 32]>,
}

/// Decodes a state in one format; `None` if it is in another one.
pub fn decode_as(format: Format, state: &[u8]) -> Option<ConfigHistory> {
    match format {
        Format::Tagged => bitcode::decode(state.strip_prefix(TAG)?).ok(),
        Format::WithFloors => bitcode::decode(state).ok(),
        Format::WithBodies => {
            let WithBodies { version, body, digests, positions, bodies } = bitcode::decode(state).ok()?;
            Some(ConfigHistory { version, body, digests, positions, bodies, ..ConfigHistory::default() })
        }
        Format::Bare => {
            let Bare { version, body, digests } = bitcode::decode(state).ok()?;
            Some(ConfigHistory { version, body, digests, ..ConfigHistory::default() })
        }
    }
}

/// The formats whose decoder accepts a state: at most one.
pub fn matching_formats(state: &[u8]) -> Vec<Format> {
    FORMATS.into_iter().filter(|format| decode_as(*format, state).is_some()).collect()
}

pub(super) fn read(state: &[u8]) -> Result<ConfigHistory, UnknownFormat> {
    let decoded = FORMATS.into_iter().find_map(|format| decode_as(format, state));
    decoded.ok_or(UnknownFormat { length: state.len() })
}

pub(super) fn write(config_history: &ConfigHistory) -> Vec<u8> {
    bitcode::encode(config_history)
}
