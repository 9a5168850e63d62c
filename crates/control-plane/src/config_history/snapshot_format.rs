//! The formats of a snapshot's state, of this version and of those before.
//!
//! The formats so far have no tag: each has the fields of the one before it and some more behind them. `bitcode` reads the
//! fields in order and wants the input to end with the last one, so that a shorter format's bytes lack fields for a longer
//! one's reader, and a longer format's bytes leave some over for a shorter one's. Exactly one reader takes them.
//!
//! Later formats begin with a tag. This version reads the first of those and does not write it yet: a process of the
//! version before could not read it, and both run side by side while a system is upgraded. The version after this one
//! writes it.

use super::{ConfigHistory, LogPosition};
use bitcode::Decode;
use std::collections::BTreeMap;
use thiserror::Error;

/// A state with this in front is a [`Format::Tagged`] one. No untagged format begins with it: its first byte is none that
/// `bitcode` puts before a number.
pub const TAG: &[u8] = b"reachlb state 1\n";

/// How a state is written down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Before the bodies of former versions were kept.
    Bare,
    /// Before there were floors of counts.
    WithBodies,
    /// What this version writes.
    WithFloors,
    /// The same with a tag in front, which this version reads.
    Tagged,
}

/// All of them.
pub const FORMATS: [Format; 4] = [Format::Tagged, Format::WithFloors, Format::WithBodies, Format::Bare];

/// A state that no known version has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a state of {length} bytes in no known format")]
pub struct UnknownFormat {
    /// How long it is.
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

/// Reads a state in one format; none if it is in another one.
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

/// The formats whose reader takes a state: one at most.
pub fn matching_formats(state: &[u8]) -> Vec<Format> {
    FORMATS.into_iter().filter(|format| decode_as(*format, state).is_some()).collect()
}

pub(super) fn read(state: &[u8]) -> Result<ConfigHistory, UnknownFormat> {
    let read = FORMATS.into_iter().find_map(|format| decode_as(format, state));
    read.ok_or(UnknownFormat { length: state.len() })
}

pub(super) fn write(config_history: &ConfigHistory) -> Vec<u8> {
    bitcode::encode(config_history)
}
