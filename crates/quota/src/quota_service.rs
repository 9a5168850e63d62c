//! One process' part in holding the counts: which are its own under the newest assignment, and until when.

use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

use crate::{
    Epoch, Grant, HolderAssignment, LeaseRequest, MAX_DEPUTY_LEASE, Millis, OversizedSlice, Quota,
    QuotaHolder,
};

/// Faults that tests plant to see that they are found. All off in service.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Counts of a former holder are opened at once, without its word and before its blocks have ended.
    pub skips_handover: bool,
    /// A deputy grants on when its lease is over.
    pub grants_after_lease: bool,
}

/// What a holder tells the next one of the counts that it gives up.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Handover {
    /// The assignment by which they move: it may be news to the next holder.
    pub assignment: HolderAssignment,
    /// The gateways that the holder has heard, and how long ago.
    pub contact_ages: Vec<(String, Millis)>,
    /// The counts.
    pub counters: Vec<CounterHandover>,
}

/// A count on its way to another holder.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct CounterHandover {
    /// The tenant's name.
    pub tenant: String,
    /// The number of its present window.
    pub window: u64,
    /// The span to the window's end.
    pub ends_in: Millis,
    /// What may still be granted in it.
    pub free: f64,
    /// What was granted in it.
    pub granted: f64,
    /// The largest part of the gateways that was silent in it.
    pub silent_fraction: f64,
}

/// Holds those counts that the newest assignment gives to this process, while its lease lasts.
#[derive(Debug)]
pub struct QuotaService {
    name: String,
    assignment: HolderAssignment,
    lease_until: Millis,
    holder: Option<QuotaHolder>,
    quotas: Vec<Quota>,
    fleet_size: u32,
    oversized_slices: Vec<OversizedSlice>,
    /// What the log says of counts, for the next office of one that holds them all.
    floors: BTreeMap<String, u32>,
    faults: Faults,
}

impl QuotaService {
    /// The office of a process that holds nothing yet.
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

    /// What the log says of counts, before an office that holds all of them is taken.
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

    /// The newest assignment that this process has taken.
    pub fn assignment(&self) -> &HolderAssignment {
        &self.assignment
    }

    /// The counts, if this process has any.
    pub fn holder(&self) -> Option<&QuotaHolder> {
        self.holder.as_ref()
    }

    /// Takes an assignment; older ones and the present one change nothing. Counts that go to others are given up at
    /// once; what their new holders are to be told comes back, with their names. `first` says that no holder was there
    /// before in the life of the fleet.
    pub fn apply_assignment(
        &mut self, now: Millis, assignment: &HolderAssignment, first_holder: bool,
    ) -> Vec<(String, Handover)> {
        if assignment.epoch <= self.assignment.epoch {
            return Vec::new();
        }
        let is_next = assignment.epoch.follows(self.assignment.epoch);
        self.assignment = assignment.clone();
        let mut handovers = Vec::new();
        // Whoever missed an assignment may have lost a count in it and got it back: it starts anew with all of them.
        let mut holder = self.holder.take().filter(|_| is_next);
        if let Some(holder) = &mut holder {
            handovers = self.release_counters(now, holder);
        }
        if !assignment.contains(&self.name) {
            return handovers;
        }
        // Leases of an older term have ended before another leader could be elected; those of this term's former
        // assignment have not.
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

    /// A former holder's word on counts that are this one's now. What this one gives up by the same assignment, if it
    /// had not heard of it, comes back as from `assume`.
    pub fn accept_handover(&mut self, now: Millis, handover: Handover) -> Vec<(String, Handover)> {
        let handovers = self.apply_assignment(now, &handover.assignment, false);
        if handover.assignment.epoch == self.assignment.epoch
            && let Some(holder) = &mut self.holder
        {
            holder.accept_handover(now, handover);
        }
        handovers
    }

    /// The lease lasts until then: the leader's own that of its log, a deputy's what the leader extended to it, counted
    /// from when it asked.
    pub fn set_lease(&mut self, until: Millis) {
        self.lease_until = until;
    }

    /// When the lease ends.
    pub fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// The office is over: another term begins, or this process leads no more.
    pub fn resign(&mut self) {
        self.holder = None;
        self.lease_until = 0.0;
    }

    /// Takes a configuration.
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

    /// Takes the number of gateways in all.
    pub fn set_fleet_size(&mut self, now: Millis, fleet_size: u32) {
        self.fleet_size = fleet_size;
        if let Some(holder) = &mut self.holder {
            holder.set_fleet_size(now, fleet_size);
        }
    }

    /// Takes the gateways that may divide their slices by fewer than there are; see [`QuotaHolder::set_oversized_slices`].
    pub fn set_oversized_slices(&mut self, oversized_slices: Vec<OversizedSlice>) {
        if oversized_slices == self.oversized_slices {
            return;
        }
        self.oversized_slices = oversized_slices;
        self.holder.iter_mut().for_each(|holder| holder.set_oversized_slices(&self.oversized_slices));
    }

    /// A gateway was heard otherwise than by a draw; it knows the assignment of that epoch.
    pub fn record_contact(&mut self, now: Millis, gateway: &str, epoch: Epoch) {
        if let Some(holder) = &mut self.holder
            && (epoch >= holder.epoch() || holder.epoch().number <= 1)
        {
            holder.record_contact(now, gateway);
        }
    }

    /// A gateway has said that it ended; see [`QuotaHolder::remove_gateway`].
    pub fn remove_gateway(&mut self, gateway: &str) {
        self.holder.iter_mut().for_each(|holder| holder.remove_gateway(gateway));
    }

    /// Whether it may grant.
    pub fn may_grant(&self, now: Millis) -> bool {
        self.holder.is_some() && (now < self.lease_until || self.faults.grants_after_lease)
    }

    /// Whether it would grant units of a tenant.
    pub fn may_grant_for(&self, now: Millis, tenant: &str) -> bool {
        self.may_grant(now) && self.holder.as_ref().is_some_and(|holder| holder.is_open(now, tenant))
    }

    /// Answers a gateway's draw; nothing while it may not grant.
    pub fn handle_request(&mut self, now: Millis, gateway: &str, request: &LeaseRequest) -> Option<Grant> {
        let may_grant = self.may_grant(now);
        let holder = self.holder.as_mut()?;
        if may_grant {
            return Some(holder.handle_request(now, gateway, request));
        }
        // Gateways may hear of a new holder before its first lease is there.
        holder.awaits_handover(now).then(|| holder.defer(request))
    }
}
