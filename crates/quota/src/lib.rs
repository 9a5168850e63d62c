//! Counts of tenants and the lease caches that draw on them: state machines without I/O or clock.
//!
//! The leader of the control plane, or several of its processes by the leader's assignment ([`HolderAssigner`], [`HolderAssignment`]),
//! has an [`QuotaService`] with the count of each of its tenants' windows ([`QuotaHolder`]); each gateway of the data plane has a
//! [`LeaseCache`] of blocks taken from these counts. Both are told the time by their hosts, each by its own
//! steady clock: over the wire go spans only.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod assignment;
mod floor;
mod holder;
mod holder_assigner;
mod holder_state;
mod lease_cache;
mod quota_service;
mod silence_charges;
mod window_params;

pub use assignment::{Epoch, HolderAssignment};
pub use floor::Floor;
pub use holder::{CounterStats, QuotaHolder};
pub use holder_assigner::{DEPUTY_TIMEOUT, HolderAssigner, MAX_HOLDERS};
pub use lease_cache::{LeaseCache, TenantStats, Verdict};
#[doc(hidden)]
pub use quota_service::Faults;
pub use quota_service::{CounterHandover, Handover, QuotaService};
pub use window_params::{Quota, WindowParams};

use bitcode::{Decode, Encode};

/// Milliseconds: a point of the own steady clock or a span.
pub type Millis = f64;

/// The cache counts a holder as silent when a draw had no answer for this long; the holder charges the even slice of
/// a gateway that falls silent from this long after its last word.
pub const SILENCE_TIMEOUT: Millis = 300.0;
/// The holder counts a gateway as heard for this long after its last word.
pub const GATEWAY_TIMEOUT: Millis = 1500.0;
/// No lease of a deputy lasts longer than this from when it was asked for. The leader extends none beyond its own.
pub const MAX_DEPUTY_LEASE: Millis = 230.0;

/// What a gateway wants of the counts: one message for all its tenants.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct LeaseRequest {
    /// The cache's own number for this draw; the answer repeats it.
    pub number: u64,
    /// The highest epoch the cache has seen: units go back only to the holder that gave them.
    pub epoch: Epoch,
    /// What each tenant wants.
    pub demands: Vec<TenantDemand>,
}

/// A gateway that divides its slices by fewer gateways than there are, since it was told of a smaller fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OversizedSlice {
    /// The gateway's name.
    pub gateway: String,
    /// By how many it divides.
    pub divisor: u32,
}

/// What one tenant wants at one gateway.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TenantDemand {
    /// The tenant's name.
    pub tenant: String,
    /// Requests that wait for a unit now; or, where it is above `add`, what the gateway owes and `add` together. Holders
    /// of the version before grant the difference instead of charging it.
    pub needed: u32,
    /// Units to add to the count, those needed now among them.
    pub requested: u32,
    /// Units of ended blocks that were never run.
    pub returned: u32,
}

impl TenantDemand {
    /// Units that the gateway spent by even slices in windows gone by, and that no count was charged for.
    pub fn owed(&self) -> u32 {
        self.needed.saturating_sub(self.requested)
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
    pub grants: Vec<TenantGrant>,
}

/// What one tenant got for one gateway.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TenantGrant {
    /// The tenant's name.
    pub tenant: String,
    /// The number of the window that the units belong to.
    pub window: u64,
    /// Units that the gateway may spend until the window ends.
    pub granted: u32,
    /// Units of the window's allowance that are still free.
    pub remaining: u32,
    /// The span from the holder's answer to the window's end.
    pub ends_in: Millis,
    /// Whether the holder grants units of this tenant.
    pub status: CounterStatus,
}

/// How a holder stands to a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum CounterStatus {
    /// It has the count and grants from it.
    Open,
    /// It grants nothing yet: until the window's end the gateway has its even slice.
    FallbackSlice,
    /// The count is on its way here, or another's: it is worth asking again shortly, and no slice may be spent yet.
    RetryLater,
}
