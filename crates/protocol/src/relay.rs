//! What relays of news say to each other.

use crate::{Backend, ConfigSnapshot};
use bitcode::{Decode, Encode};

/// How far a process is in the changes of backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Mark {
    /// Whose changes: a number that a root draws at its start; 0 for nobody's.
    pub epoch: u64,
    /// The last of them, counted from 1 in each epoch.
    pub sequence: u64,
}

/// Backends that changed together, those that drain or are gone first.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Batch {
    /// Which changes these are.
    pub mark: Mark,
    /// The backends.
    pub backends: Vec<Backend>,
}

/// A relay that can take followers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Place {
    /// How many relays are between it and the root.
    pub level: u8,
    /// Where it takes connections, `ip:port`.
    pub address: String,
    /// How many it can take.
    pub free: u8,
}

/// One message between a relay and its follower.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Word {
    /// Up, the first on a connection: asks to follow.
    Join {
        /// Where the asker takes connections, `ip:port`.
        at: String,
        /// What the asker has of the changes.
        mark: Mark,
        /// The newest configuration that it has.
        version: u64,
        /// How often no root had anybody to name.
        tries: u8,
    },
    /// Down: no room here; these may have some.
    Refer {
        /// Where they take connections.
        to: Vec<String>,
    },
    /// Down: the root lives. Sent by it alone and passed on, never twice.
    Heartbeat {
        /// The root's epoch.
        epoch: u64,
        /// Which one, counted in each epoch.
        beat: u64,
        /// All from the root to the sender.
        path: Vec<String>,
        /// What the sender has of the changes.
        mark: Mark,
        /// The newest configuration that the sender has.
        version: u64,
        /// What the root says of the fleet; the receiver's own number is not in it.
        told: crate::Heartbeat,
    },
    /// Down: where roots take connections.
    Roots(Vec<String>),
    /// Down: the sender has lost whom it follows, and looks for another.
    Isolated,
    /// Up: a sign of life.
    Sign {
        /// Where there is room, at itself and below.
        places: Vec<Place>,
    },
    /// Up: something is missing after what is named here.
    Missed {
        /// What the sender has of the changes.
        mark: Mark,
        /// The newest configuration that it has.
        version: u64,
    },
    /// Up: follows somebody else from now on.
    Leave,
    /// Down: backends changed.
    Batch(Batch),
    /// Down: all backends there are.
    Whole(Batch),
    /// Down: a configuration.
    ConfigSnapshot(ConfigSnapshot),
}

impl Word {
    /// Whether a follower says it to the one that it follows or asks.
    pub fn is_up(&self) -> bool {
        matches!(self, Self::Join { .. } | Self::Sign { .. } | Self::Missed { .. } | Self::Leave)
    }
}
