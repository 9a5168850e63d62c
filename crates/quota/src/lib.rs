//! Counts of tenants and the lease caches that draw on them: state machines without I/O or clock.
//!
//! The leader of the control plane, or several of its processes by the leader's assignment ([`Placer`], [`HolderAssignment`]),
//! has an [`QuotaService`] with the count of each of its tenants' windows ([`QuotaHolder`]); each gateway of the data plane has a
//! [`Cache`] of blocks taken from these counts. Both are told the time by their hosts, each by its own
//! steady clock: over the wire go spans only.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod assignment;
mod cache;
mod floor;
mod holder;
mod placer;
mod quota_service;
mod silence_charges;
mod source;
mod terms;

pub use assignment::{Epoch, HolderAssignment};
pub use cache::{Cache, TenantFigures, Verdict};
pub use floor::Floor;
pub use holder::{CountFigures, QuotaHolder};
pub use placer::{HOLDERS_MOST, LOST, Placer};
#[doc(hidden)]
pub use quota_service::Faults;
pub use quota_service::{Handed, Handover, QuotaService};
pub use terms::{Quota, Terms};

use bitcode::{Decode, Encode};

/// Milliseconds: a point of the own steady clock or a span.
pub type Millis = f64;

/// The cache counts a holder as silent when a draw had no answer for this long; the holder charges the even slice of
/// a gateway that falls silent from this long after its last word.
pub const SILENT_AFTER: Millis = 300.0;
/// The holder counts a gateway as heard for this long after its last word.
pub const HEARD_FOR: Millis = 1500.0;
/// No lease of a deputy lasts longer than this from when it was asked for. The leader extends none beyond its own.
pub const LEASE_MOST: Millis = 230.0;

/// What a gateway wants of the counts: one message for all its tenants.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct LeaseRequest {
    /// The cache's own number for this draw; the answer repeats it.
    pub number: u64,
    /// The highest epoch the cache has seen: units go back only to the holder that gave them.
    pub epoch: Epoch,
    /// What each tenant wants.
    pub wants: Vec<Want>,
}

/// A gateway that divides its slices by fewer gateways than there are, since it was told of a smaller fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WideSlice {
    /// The gateway's name.
    pub gateway: String,
    /// By how many it divides.
    pub divisor: u32,
}

/// What one tenant wants at one gateway.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Want {
    /// The tenant's name.
    pub tenant: String,
    /// Requests that wait for a unit now; or, where it is above `add`, what the gateway owes and `add` together. Holders
    /// of the version before grant the difference instead of charging it.
    pub need: u32,
    /// Units to add to the count, those needed now among them.
    pub add: u32,
    /// Units of ended blocks that were never run.
    pub back: u32,
}

impl Want {
    /// Units that the gateway spent by even slices in windows gone by, and that no count was charged for.
    pub fn owed(&self) -> u32 {
        self.need.saturating_sub(self.add)
    }
}

/// A holder's answer to a draw.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Grant {
    /// The draw's number.
    pub number: u64,
    /// The epoch of the holder.
    pub epoch: Epoch,
    /// What each tenant got.
    pub shares: Vec<Share>,
}

/// What one tenant got for one gateway.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Share {
    /// The tenant's name.
    pub tenant: String,
    /// The number of the window that the units belong to.
    pub window: u64,
    /// Units that the gateway may spend until the window ends.
    pub granted: u32,
    /// Units of the window's allowance that are still free.
    pub left: u32,
    /// The span from the holder's answer to the window's end.
    pub ends_in: Millis,
    /// Whether the holder grants units of this tenant.
    pub standing: Standing,
}

/// How a holder stands to a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum Standing {
    /// It has the count and grants from it.
    Open,
    /// It grants nothing yet: until the window's end the gateway has its even slice.
    Slices,
    /// The count is on its way here, or another's: it is worth asking again shortly, and no slice may be spent yet.
    Later,
}
