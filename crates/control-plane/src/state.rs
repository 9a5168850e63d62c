//! All that the log's entries make, as it stands in a snapshot: the configurations, and the backends that leave.
//!
//! A state without records of backends is written as it was before there were any, which the version before this one
//! reads; so is one that goes to voters of that version. Any other one begins with a tag.

use crate::config_history::ConfigHistory;
use crate::config_history::snapshot_format::UnknownFormat;
use bitcode::{Decode, Encode};
use registry::DrainRun;

/// What a state with records of backends begins with. No other one does: see
/// [`TAG`](crate::config_history::snapshot_format::TAG).
const WITH_DRAINS: &[u8] = b"reachlb state 2\n";

/// What a snapshot holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotState {
    /// The configurations.
    pub config_history: ConfigHistory,
    /// The records of backends that leave.
    pub drains: DrainRun,
}

/// The same behind its tag.
#[derive(Encode, Decode)]
struct Tagged {
    config_history: Vec<u8>,
    drains: DrainRun,
}

impl SnapshotState {
    /// Reads a snapshot's state, also one of a version before this one.
    ///
    /// # Errors
    /// When it holds something else.
    pub fn restore(state: &[u8]) -> Result<Self, UnknownFormat> {
        let unknown = || UnknownFormat { length: state.len() };
        let Some(tagged) = state.strip_prefix(WITH_DRAINS) else {
            let config_history = ConfigHistory::restore(state)?;
            return Ok(Self { config_history, drains: DrainRun::default() });
        };
        let Tagged { config_history, drains } = bitcode::decode(tagged).map_err(|_| unknown())?;
        Ok(Self { config_history: ConfigHistory::restore(&config_history)?, drains })
    }

    /// Writes a snapshot's state; with no records as the version before this one did.
    pub fn snapshot(config_history: &ConfigHistory, drains: Option<DrainRun>) -> Vec<u8> {
        let history = config_history.snapshot();
        match drains.filter(|drains| *drains != DrainRun::default()) {
            None => history,
            Some(drains) => {
                let tagged = bitcode::encode(&Tagged { config_history: history, drains });
                [WITH_DRAINS, &tagged].concat()
            }
        }
    }
}
