//! Distributed rate limiting: quota counters at the control plane and lease caches at the gateways. All types are
//! state machines without I/O or a clock.
//!
//! Each tenant has a counter of the units (requests) that it may still spend in the current window. The leader of the
//! control plane holds the counters, or spreads them over several control planes by an assignment
//! ([`HolderAssigner`], [`HolderAssignment`]). Every control plane runs a [`QuotaService`]; while the control plane
//! is a holder, the service has a [`QuotaHolder`] with the counters of its tenants. Each gateway of the data plane
//! has a [`LeaseCache`] of unit blocks that holders grant from these counters. While a holder does not answer, a
//! gateway spends its fallback slice instead: an even share of the quota, one part per gateway of the fleet.
//!
//! Terms of this crate:
//! - Window: each counter divides time into windows of a fixed length. Every window adds a refill of units to the
//!   counter ([`WindowParams`]).
//! - Block: the units that a gateway leases from a counter. Unspent units expire at the end of the window.
//! - Lease request: a gateway's message that asks a holder for blocks ([`LeaseRequest`]). The lease of a holder is
//!   something else: the time for which that holder may grant blocks.
//! - Epoch: the number of an assignment ([`Epoch`]). Holders and gateways follow the assignment with the highest epoch.
//! - Silent: a gateway that has sent its holder no message for `GATEWAY_TIMEOUT`, or a holder that has not answered a
//!   lease request for `SILENCE_TIMEOUT`.
//! - Fallback slice: the units that a gateway may spend per window without a holder, a refill divided by the fleet
//!   size. A slice is oversized if the gateway computes it with an outdated, smaller fleet size ([`OversizedSlice`]).
//! - Debt: fallback units that a gateway has spent and that no counter has been charged for ([`TenantDemand::owed`]).
//! - Floor: a lower bound of a counter in the replicated log, from which the next holder can start (`floor.rs`).
//! - Handover: the state of counters that a holder sends to their next holder ([`Handover`]).
//!
//! The caller passes the time of its own monotonic clock to every call. Messages carry durations only, never points
//! in time.

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

/// Milliseconds: a duration, or a point in time of the local monotonic clock.
pub type Millis = f64;

/// A lease cache considers a holder silent when a lease request has had no answer for this long. A holder charges the
/// fallback slice of a silent gateway starting this long after the gateway's last message.
pub const SILENCE_TIMEOUT: Millis = 300.0;
/// A holder considers a gateway silent this long after the gateway's last message.
pub const GATEWAY_TIMEOUT: Millis = 1500.0;
/// Longest lease of a deputy (a holder other than the leader), counted from when the deputy requested it. The leader
/// never extends a deputy's lease beyond its own lease.
pub const MAX_DEPUTY_LEASE: Millis = 230.0;

/// A gateway's request for units of one or more tenants, sent to one holder.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct LeaseRequest {
    /// Request number, unique within the cache. The answer repeats it.
    pub number: u64,
    /// The highest epoch that the cache has seen. Returned units count only if this is the holder's own epoch,
    /// because only the holder that granted units may take them back.
    pub epoch: Epoch,
    /// The demand of each tenant.
    pub demands: Vec<TenantDemand>,
}

/// A gateway whose fallback slice is larger than an even share of the current fleet: it last learned the fleet size
/// when the fleet was smaller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OversizedSlice {
    /// Name of the gateway.
    pub gateway: String,
    /// The fleet size by which the gateway divides the quota.
    pub divisor: u32,
}

/// The demand of one tenant at one gateway.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TenantDemand {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of requests that wait for a unit now. A value above `requested` encodes a debt instead: the units owed
    /// (see [`TenantDemand::owed`]) plus `requested`. Holders of the previous version grant the difference instead of
    /// charging it.
    pub needed: u32,
    /// Units requested from the counter, including those needed now.
    pub requested: u32,
    /// Unspent units of expired blocks.
    pub returned: u32,
}

impl TenantDemand {
    /// Units that the gateway spent from fallback slices in past windows and that no counter has been charged for.
    pub fn owed(&self) -> u32 {
        self.needed.saturating_sub(self.requested)
    }
}

/// A holder's answer to a lease request.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Grant {
    /// Number of the lease request.
    pub number: u64,
    /// Epoch of the holder.
    pub epoch: Epoch,
    /// The grant of each tenant.
    pub grants: Vec<TenantGrant>,
}

/// The units granted to one gateway for one tenant.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TenantGrant {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of the window that the units belong to.
    pub window: u64,
    /// Units that the gateway may spend until the window ends.
    pub granted: u32,
    /// Units of the window that are still free after this grant.
    pub remaining: u32,
    /// Time from the holder's answer to the end of the window.
    pub ends_in: Millis,
    /// Whether the holder grants units of this tenant.
    pub status: CounterStatus,
}

/// Whether a holder grants units from a tenant's counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum CounterStatus {
    /// The holder has the counter and grants units from it.
    Open,
    /// The holder grants nothing yet. The gateway may spend its fallback slice until the window ends.
    FallbackSlice,
    /// The counter is being handed over to this holder, or another holder has it. The gateway must retry shortly and
    /// must not spend its fallback slice.
    RetryLater,
}
