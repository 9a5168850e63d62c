//! Quota service of one control plane: which counters it holds under the newest assignment, and for how long. A holder
//! may grant units only while its lease lasts. The lease of the leader is that of the replicated log; the leader grants
//! leases to the other holders (deputies).

use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

use crate::{
    Epoch, Grant, HolderAssignment, LeaseRequest, MAX_DEPUTY_LEASE, Millis, OversizedSlice, Quota,
    QuotaHolder,
};

/// Faults that tests inject to prove that they are detected. All off in production.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Grants units from a former holder's counters at once: without waiting for the handover message, or for the
    /// units that the former holder granted to gateways (blocks) to expire.
    pub skips_handover: bool,
    /// A deputy (a holder other than the leader) continues to grant units after its lease has expired.
    pub grants_after_lease: bool,
}

/// Counters that a holder hands over to their next holder.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Handover {
    /// The assignment that moves the counters. The next holder may not know it yet.
    pub assignment: HolderAssignment,
    /// Gateways in contact with the former holder, and the time since their last message.
    pub contact_ages: Vec<(String, Millis)>,
    /// The counters handed over.
    pub counters: Vec<CounterHandover>,
}

/// State of one counter that is handed over.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct CounterHandover {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of the current window.
    pub window: u64,
    /// Time until the window ends.
    pub ends_in: Millis,
    /// Units that may still be granted in this window.
    pub free: f64,
    /// Units granted in this window.
    pub granted: f64,
    /// Fraction of a refill that silent gateways may spend: the largest value seen during this window.
    pub silent_fraction: f64,
}

/// Holds the counters that the newest assignment gives to this process, while its lease lasts.
#[derive(Debug)]
pub struct QuotaService {
    name: String,
    assignment: HolderAssignment,
    /// End of the lease. Afterwards this process must not grant units.
    lease_until: Millis,
    holder: Option<QuotaHolder>,
    /// Quotas of all tenants, also of those whose counters other holders have.
    quotas: Vec<Quota>,
    fleet_size: u32,
    oversized_slices: Vec<OversizedSlice>,
    /// Committed floors (lower bounds of counters, see [`crate::Floor`]), used when this process next becomes the
    /// holder of all counters.
    floors: BTreeMap<String, u32>,
    faults: Faults,
}

impl QuotaService {
    /// Creates a service that holds no counters yet.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            assignment: HolderAssignment::default(),
            lease_until: 0.0,
            holder: None,
            quotas: Vec::new(),
            fleet_size: 1,
            oversized_slices: Vec::new(),
            floors: BTreeMap::new(),
            faults: Faults::default(),
        }
    }

    #[doc(hidden)]
    pub fn inject_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Sets the committed floors of the replicated log. To be called before an assignment that gives this process all
    /// counters.
    pub fn set_floors(&mut self, floors: BTreeMap<String, u32>) {
        self.floors = floors;
    }

    /// See [`QuotaHolder::needs_lower_floor`].
    pub fn needs_lower_floor(&self) -> bool {
        self.holder.as_ref().is_some_and(QuotaHolder::needs_lower_floor)
    }

    /// See [`QuotaHolder::propose_floors`].
    pub fn propose_floors(&mut self, now: Millis) -> Vec<(String, u32)> {
        self.holder.as_mut().map(|holder| holder.propose_floors(now)).unwrap_or_default()
    }

    /// See [`QuotaHolder::commit_floors`].
    pub fn commit_floors(&mut self) {
        self.holder.iter_mut().for_each(QuotaHolder::commit_floors);
    }

    /// The newest assignment that was applied.
    pub fn assignment(&self) -> &HolderAssignment {
        &self.assignment
    }

    /// The holder with its counters, if this process is a holder.
    pub fn holder(&self) -> Option<&QuotaHolder> {
        self.holder.as_ref()
    }

    /// Applies an assignment; the current assignment and older ones are ignored. Counters of tenants that move to
    /// other holders are given up at once. Returns the handovers to send, with the names of the new holders.
    /// `first_holder` means that the fleet never had a holder before.
    pub fn apply_assignment(
        &mut self, now: Millis, assignment: &HolderAssignment, first_holder: bool,
    ) -> Vec<(String, Handover)> {
        if assignment.epoch <= self.assignment.epoch {
            return Vec::new();
        }
        let is_next = assignment.epoch.follows(self.assignment.epoch);
        self.assignment = assignment.clone();
        let mut handovers = Vec::new();
        // After a missed assignment, a counter may have moved to another holder and back. The units granted there are
        // unknown here, so this holder starts again with new counters.
        let mut holder = self.holder.take().filter(|_| is_next);
        if let Some(holder) = &mut holder {
            handovers = self.release_counters(now, holder);
        }
        if !assignment.contains(&self.name) {
            return handovers;
        }
        // Leases of an older term expired before the new leader was elected. Leases of this term's previous
        // assignment may still be valid.
        let closed_for =
            if assignment.epoch.number == 1 || self.faults.skips_handover { 0.0 } else { MAX_DEPUTY_LEASE };
        let starts_open = first_holder && assignment.epoch.number == 1 || self.faults.skips_handover;
        let mut holder = match holder {
            Some(mut holder) => {
                holder.apply_assignment(now, assignment.epoch, closed_for);
                holder
            }
            None => QuotaHolder::start(assignment.epoch, starts_open, now, closed_for),
        };
        if self.faults.skips_handover {
            holder.open_immediately();
        }
        holder.set_floors(std::mem::take(&mut self.floors));
        holder.set_fleet_size(now, self.fleet_size);
        holder.set_oversized_slices(&self.oversized_slices);
        holder.set_quotas(now, &self.own_quotas());
        self.holder = Some(holder);
        handovers
    }

    fn release_counters(&self, now: Millis, holder: &mut QuotaHolder) -> Vec<(String, Handover)> {
        let mut handovers: Vec<(String, Handover)> = Vec::new();
        for counter in
            holder.release_counters(now, |tenant| self.assignment.holder_of(tenant) == Some(&self.name))
        {
            let Some(new_holder) = self.assignment.holder_of(&counter.tenant) else { continue };
            if let Some((_, handover)) = handovers.iter_mut().find(|(name, _)| name == new_holder) {
                handover.counters.push(counter);
            } else {
                let (assignment, contact_ages) = (self.assignment.clone(), holder.contact_ages(now));
                handovers.push((
                    new_holder.to_owned(),
                    Handover { assignment, contact_ages, counters: vec![counter] },
                ));
            }
        }
        handovers
    }

    /// Applies the handover of counters that now belong to this process. The handover may carry an assignment that is
    /// new here. Returns the handovers to send, as `apply_assignment` does.
    pub fn accept_handover(&mut self, now: Millis, handover: Handover) -> Vec<(String, Handover)> {
        let handovers = self.apply_assignment(now, &handover.assignment, false);
        if handover.assignment.epoch == self.assignment.epoch
            && let Some(holder) = &mut self.holder
        {
            holder.accept_handover(now, handover);
        }
        handovers
    }

    /// Sets the end of the lease. The leader's lease is that of its replicated log; a deputy's lease is granted by
    /// the leader and counted from when the deputy requested it.
    pub fn set_lease(&mut self, until: Millis) {
        self.lease_until = until;
    }

    /// End of the lease.
    pub fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// Stops holding counters: another term starts, or this process is no longer the leader.
    pub fn resign(&mut self) {
        self.holder = None;
        self.lease_until = 0.0;
    }

    /// Applies the tenants' quotas of a new configuration.
    pub fn set_quotas(&mut self, now: Millis, quotas: Vec<Quota>) {
        self.quotas = quotas;
        let own = self.own_quotas();
        if let Some(holder) = &mut self.holder {
            holder.set_quotas(now, &own);
        }
    }

    fn own_quotas(&self) -> Vec<Quota> {
        let own = |quota: &&Quota| self.assignment.holder_of(&quota.tenant) == Some(&self.name);
        self.quotas.iter().filter(own).cloned().collect()
    }

    /// Sets the number of gateways.
    pub fn set_fleet_size(&mut self, now: Millis, fleet_size: u32) {
        self.fleet_size = fleet_size;
        if let Some(holder) = &mut self.holder {
            holder.set_fleet_size(now, fleet_size);
        }
    }

    /// Sets the gateways that may have oversized fallback slices; see [`QuotaHolder::set_oversized_slices`].
    pub fn set_oversized_slices(&mut self, oversized_slices: Vec<OversizedSlice>) {
        if oversized_slices == self.oversized_slices {
            return;
        }
        self.oversized_slices = oversized_slices;
        self.holder.iter_mut().for_each(|holder| holder.set_oversized_slices(&self.oversized_slices));
    }

    /// Records contact with a gateway other than by a lease request. `epoch` is that of the newest assignment known
    /// to the gateway.
    pub fn record_contact(&mut self, now: Millis, gateway: &str, epoch: Epoch) {
        if let Some(holder) = &mut self.holder
            && (epoch >= holder.epoch() || holder.epoch().number <= 1)
        {
            holder.record_contact(now, gateway);
        }
    }

    /// Removes a gateway that has shut down; see [`QuotaHolder::remove_gateway`].
    pub fn remove_gateway(&mut self, gateway: &str) {
        self.holder.iter_mut().for_each(|holder| holder.remove_gateway(gateway));
    }

    /// Whether this process is a holder with a valid lease.
    pub fn may_grant(&self, now: Millis) -> bool {
        self.holder.is_some() && (now < self.lease_until || self.faults.grants_after_lease)
    }

    /// Whether units of a tenant may be granted now.
    pub fn may_grant_for(&self, now: Millis, tenant: &str) -> bool {
        self.may_grant(now) && self.holder.as_ref().is_some_and(|holder| holder.is_open(now, tenant))
    }

    /// Answers a gateway's lease request. Returns `None` if this process may not grant units.
    pub fn handle_request(&mut self, now: Millis, gateway: &str, request: &LeaseRequest) -> Option<Grant> {
        let may_grant = self.may_grant(now);
        let holder = self.holder.as_mut()?;
        if may_grant {
            return Some(holder.handle_request(now, gateway, request));
        }
        // Gateways may learn of a new holder before the holder receives its first lease.
        holder.awaits_handover(now).then(|| holder.defer(request))
    }
}
