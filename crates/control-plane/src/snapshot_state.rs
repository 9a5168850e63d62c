//! The state machine's state as stored in a snapshot: the configuration history and the drain records.
//!
//! A state without drain records is written in the untagged format of the previous version. Drain records are left out
//! while some voter runs the previous version, which can read only that format. A state with drain records begins with
//! a tag.

use crate::config_history::ConfigHistory;
use crate::config_history::snapshot_format::UnknownFormat;
use bitcode::{Decode, Encode};
use registry::DrainRun;

/// Prefix of a state with drain records. No other state begins with it: see
/// [`TAG`](crate::config_history::snapshot_format::TAG).
const DRAINS_TAG: &[u8] = b"reachlb state 2\n";

/// State stored in a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotState {
    /// The configuration history.
    pub config_history: ConfigHistory,
    /// The records of draining backends.
    pub drains: DrainRun,
}

/// Content of a state with drain records, after its tag.
#[derive(Encode, Decode)]
struct Tagged {
    config_history: Vec<u8>,
    drains: DrainRun,
}

impl SnapshotState {
    /// Decodes the state of a snapshot, including one written by an earlier version.
    ///
    /// # Errors
    /// When the bytes are in no known format.
    pub fn restore(state: &[u8]) -> Result<Self, UnknownFormat> {
        let unknown = || UnknownFormat { length: state.len() };
        let Some(tagged) = state.strip_prefix(DRAINS_TAG) else {
            let config_history = ConfigHistory::restore(state)?;
            return Ok(Self { config_history, drains: DrainRun::default() });
        };
        let Tagged { config_history, drains } = bitcode::decode(tagged).map_err(|_| unknown())?;
        Ok(Self { config_history: ConfigHistory::restore(&config_history)?, drains })
    }

    /// Encodes a state; without drain records in the format of the previous version.
    pub fn snapshot(config_history: &ConfigHistory, drains: Option<DrainRun>) -> Vec<u8> {
        let history = config_history.snapshot();
        match drains.filter(|drains| *drains != DrainRun::default()) {
            None => history,
            Some(drains) => {
                let tagged = bitcode::encode(&Tagged { config_history: history, drains });
                [DRAINS_TAG, &tagged].concat()
            }
        }
    }
}
