//! The holder side of quota leases: one counter per tenant and window, from which gateways are granted blocks of
//! units.
//!
//! A counter is open while the holder grants units from it. After a change of holder, a counter is closed until every
//! block of the former holder has expired, unless the former holder hands the counter over or the log has a floor for
//! it. A block is the units granted to one gateway for one window.
//!
//! A gateway that gets no answer from its holder spends its fallback slice instead: in each window, one refill (the
//! units that a window adds to the counter) divided by the number of gateways. The holder therefore reserves the
//! slices of silent gateways, which have sent no message for [`GATEWAY_TIMEOUT`].

use std::collections::{BTreeMap, HashMap};

use crate::silence_charges::SilenceCharges;
use crate::{
    CounterHandover, CounterStatus, Epoch, Floor, GATEWAY_TIMEOUT, Grant, Handover, LeaseRequest, Millis,
    OversizedSlice, Quota, SILENCE_TIMEOUT, TenantDemand, TenantGrant, WindowParams,
};

/// A request this close before a window's end is served from the next window. A gateway counts the window's end from
/// when it sent its request, so its first request for a new window often arrives slightly early.
const EARLY_TOLERANCE: Millis = 20.0;
/// The counter of a removed tenant is kept this long, in case the tenant is configured again. Longer than the
/// compliance span, the 5 s over which the use of a quota is checked.
const REMOVED_TENANT_RETENTION: Millis = 10_000.0;
/// Maximum number of gateways tracked by name. Further gateways are served but count as silent.
const MAX_GATEWAYS: usize = 4096;
/// A block is at most an even share of the available units divided by this, unless waiting requests need more.
const EVEN_BLOCK_DIVISOR: f64 = 1.5;
/// Lower bound of the block limit, as a fraction of a gateway's even share of a refill (the units that each window
/// adds to a counter). Without this bound, the blocks of a busy tenant keep shrinking.
const MIN_BLOCK_RATIO: f64 = 0.2;
/// How long a counter waits for the handover from its former holder. Meanwhile lease requests are answered with
/// [`CounterStatus::RetryLater`].
const HANDOVER_TIMEOUT: Millis = 80.0;
/// A closed counter grants units by need once this fraction of the gateways has been in contact. Requests are
/// deferred for `CONTACT_WAIT` to let gateways make contact.
const MIN_CONTACT_RATIO: f64 = 0.5;
const CONTACT_WAIT: Millis = 80.0;
/// Maximum number of windows advanced one by one. After a longer idle time the counter is full anyway.
const MAX_WINDOW_STEPS: u32 = 64;

#[derive(Debug)]
struct Counter {
    params: Option<WindowParams>,
    /// Parameters of a changed quota, in force from the next window.
    next_params: Option<WindowParams>,
    /// Number of the current window, and the time when the window ends.
    window: u64,
    window_end: Millis,
    /// Units that may still be granted, before the fallback slices of silent gateways are deducted.
    free: f64,
    /// Units granted in the current window.
    granted: f64,
    /// Fraction of a refill ([`WindowParams::refill`]) that silent gateways may spend: the largest value seen during
    /// this window.
    silent_fraction: f64,
    /// Before this time, units are granted only as in `grant_while_closed`.
    closed_until: Millis,
    floor: Floor,
    /// Before this time, a handover from the former holder opens the counter at once.
    handover_deadline: Millis,
    /// When a configuration removed the tenant.
    removed_at: Option<Millis>,
}

/// Statistics of one counter.
#[derive(Debug, Clone, PartialEq)]
pub struct CounterStats {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of the current window.
    pub window: u64,
    /// Units granted in this window.
    pub granted: f64,
    /// Units left in this window.
    pub remaining: f64,
}

/// Holds the counters of one holder's tenants under one epoch.
#[derive(Debug)]
pub struct QuotaHolder {
    epoch: Epoch,
    /// Start of the first window. Every window ends a whole number of window lengths after this time.
    window_origin: Millis,
    /// When the current assignment arrived, and for how long after its arrival a former holder's lease may last.
    assigned_at: Millis,
    closed_for: Millis,
    /// Whether no holder existed before, so that counters open at once with their maximum.
    first_holder: bool,
    /// Whether a configuration has been applied.
    configured: bool,
    /// Number of gateways, including silent ones.
    fleet_size: u32,
    /// Gateways whose fallback slice is larger than an even share, with the fleet size by which each divides the
    /// quota.
    oversized_slices: BTreeMap<String, u32>,
    /// Fraction of a refill that silent gateways may spend as fallback slices.
    silent_fraction: f64,
    /// Committed floors of counters from the replicated log, as of the start of this holder.
    floors: BTreeMap<String, u32>,
    /// Gateways in contact, and the time of the last message of each.
    last_contacts: HashMap<String, Millis>,
    charges: SilenceCharges,
    /// Counters by tenant.
    counters: BTreeMap<String, Counter>,
}

impl QuotaHolder {
    /// Starts holding counters under an epoch. `first_holder` means that no other holder existed before. Otherwise
    /// each counter stays closed for `closed_for`, during which a former holder may still grant units, plus one
    /// window of its tenant. By then every block of the former holder has expired.
    pub fn start(epoch: Epoch, first_holder: bool, now: Millis, closed_for: Millis) -> Self {
        let (last_contacts, counters) = (HashMap::new(), BTreeMap::new());
        let floors = BTreeMap::new();
        Self {
            epoch,
            window_origin: now,
            assigned_at: now,
            closed_for,
            first_holder,
            configured: false,
            fleet_size: 1,
            oversized_slices: BTreeMap::new(),
            silent_fraction: 1.0,
            floors,
            last_contacts,
            charges: SilenceCharges::default(),
            counters,
        }
    }

    /// Sets the committed floors of the replicated log. A counter whose floor is at least one refill opens at once
    /// with the units of its floor, since earlier grants took only units above the floor.
    pub fn set_floors(&mut self, floors: BTreeMap<String, u32>) {
        self.floors = floors;
    }

    /// Applies the next assignment, in which this process is still a holder. Counters newly assigned to this holder
    /// are closed as in [`QuotaHolder::start`].
    pub fn apply_assignment(&mut self, now: Millis, epoch: Epoch, closed_for: Millis) {
        (self.epoch, self.assigned_at, self.closed_for, self.first_holder) = (epoch, now, closed_for, false);
    }

    /// Removes all counters except those of tenants for which `is_kept` returns true, and returns the open ones for
    /// their next holders.
    pub fn release_counters(&mut self, now: Millis, is_kept: impl Fn(&str) -> bool) -> Vec<CounterHandover> {
        let released_tenants: Vec<String> =
            self.counters.keys().filter(|tenant| !is_kept(tenant)).cloned().collect();
        let mut released = Vec::new();
        for tenant in released_tenants {
            self.advance_window(now, &tenant);
            let Some(counter) = self.counters.remove(&tenant) else { continue };
            if counter.params.is_none() || counter.removed_at.is_some() || now < counter.closed_until {
                continue;
            }
            let (window, free, granted, silent_fraction) =
                (counter.window, counter.free, counter.granted, counter.silent_fraction);
            released.push(CounterHandover {
                tenant,
                window,
                ends_in: (counter.window_end - now).max(0.0),
                free,
                granted,
                silent_fraction,
            });
        }
        released
    }

    /// Takes over handed-over counters that still wait for their handover. Other counters stay as they are.
    pub fn accept_handover(&mut self, now: Millis, handover: Handover) {
        for (gateway, ago) in &handover.contact_ages {
            self.record_contact(now - ago.max(0.0), gateway);
        }
        for received in handover.counters {
            let Some(counter) = self.counters.get_mut(&received.tenant).filter(|c| now < c.handover_deadline)
            else {
                continue;
            };
            let Some(params) = counter.params else { continue };
            let all_finite =
                received.free.is_finite() && received.granted.is_finite() && received.ends_in.is_finite();
            if !all_finite {
                continue;
            }
            (counter.handover_deadline, counter.closed_until) = (now, now);
            (counter.window, counter.granted) = (received.window, received.granted.max(0.0));
            counter.free = received.free.min(params.max_units);
            counter.silent_fraction = received.silent_fraction.clamp(0.0, 1.0);
            counter.window_end = now + received.ends_in.clamp(0.0, params.window * 4.0);
        }
    }

    /// Names of the gateways in contact and the time since their last message.
    pub fn contact_ages(&self, now: Millis) -> Vec<(String, Millis)> {
        self.last_contacts.iter().map(|(name, at)| (name.clone(), (now - at).max(0.0))).collect()
    }

    /// Whether units of a tenant may be granted.
    pub fn is_open(&self, now: Millis, tenant: &str) -> bool {
        let open = |c: &Counter| {
            c.params.is_some() && c.removed_at.is_none() && now + EARLY_TOLERANCE >= c.closed_until
        };
        self.counters.get(tenant).is_some_and(open)
    }

    pub(crate) fn open_immediately(&mut self) {
        (self.first_holder, self.closed_for) = (true, 0.0);
    }

    /// Epoch under which the counters are held.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Applies a configuration. A changed quota takes effect with the tenant's next window.
    pub fn set_quotas(&mut self, now: Millis, quotas: &[Quota]) {
        for counter in self.counters.values_mut() {
            counter.removed_at = counter.removed_at.or(Some(now));
        }
        for quota in quotas {
            let params = WindowParams::from_quota(quota);
            if let Some(counter) = self.counters.get_mut(&quota.tenant) {
                counter.removed_at = None;
                counter.next_params = params;
                // A change from or to an unlimited quota takes effect at once: an unlimited quota has no window whose
                // end could be awaited.
                if counter.params.is_none() || params.is_none() {
                    counter.params = params;
                    counter.window_end = now;
                    counter.free = 0.0;
                }
                continue;
            }
            let window = params.map_or(0.0, |p| p.window);
            let opens_at = self.assigned_at + self.closed_for + window;
            let closed = !self.first_holder && (!self.configured || now < opens_at);
            let floor = self.floors.remove(&quota.tenant).unwrap_or(0);
            // A floor below one refill is not used: the fallback slices of all gateways add up to one refill, and
            // every gateway can spend its slice at once.
            let starts_at_floor = closed && params.is_some_and(|p| f64::from(floor) >= p.refill);
            let closed = closed && !starts_at_floor;
            let closed_until = if closed { opens_at.max(now) } else { now };
            // With several holders, a tenant that is new here may have had another holder before: this holder may
            // receive the configuration late. Such a counter starts with one refill only.
            let full = self.first_holder || self.epoch.number <= 1;
            let free = params.map_or(0.0, |p| if full { p.max_units } else { p.refill });
            let free = if starts_at_floor { free.min(floor.into()) } else { free };
            let free = if closed { 0.0 } else { free };
            let expects_handover = closed && self.epoch.number > 1;
            let handover_deadline = if expects_handover { self.assigned_at + HANDOVER_TIMEOUT } else { now };
            let window_end = if closed { closed_until } else { self.next_window_end(now, window) };
            let mut floor = Floor::new(now, floor);
            floor.record_free(free);
            let counter = Counter {
                params,
                next_params: params,
                window: 0,
                window_end,
                free,
                granted: 0.0,
                silent_fraction: 0.0,
                closed_until,
                floor,
                handover_deadline,
                removed_at: None,
            };
            self.counters.insert(quota.tenant.clone(), counter);
        }
        self.configured = true;
        self.counters.retain(|_, c| c.removed_at.is_none_or(|at| now < at + REMOVED_TENANT_RETENTION));
    }

    /// Sets the number of gateways, including those that may be cut off and spend their fallback slices.
    pub fn set_fleet_size(&mut self, _now: Millis, fleet_size: u32) {
        self.fleet_size = fleet_size.max(1);
        self.update_silent_fraction();
    }

    /// Sets the gateways that may spend oversized fallback slices. A gateway divides each refill by the last fleet
    /// size that it received. If the fleet has grown since then, the gateway's slice is larger than an even share.
    pub fn set_oversized_slices(&mut self, oversized_slices: &[OversizedSlice]) {
        self.oversized_slices =
            oversized_slices.iter().map(|slice| (slice.gateway.clone(), slice.divisor.max(1))).collect();
        self.update_silent_fraction();
    }

    /// Records contact with a gateway, by a lease request or another message.
    pub fn record_contact(&mut self, now: Millis, gateway: &str) {
        if let Some(at) = self.last_contacts.get_mut(gateway) {
            *at = at.max(now);
        } else if self.last_contacts.len() < MAX_GATEWAYS {
            self.last_contacts.insert(gateway.to_owned(), now);
            self.charges.gateway_returned(now, gateway);
            self.update_silent_fraction();
        }
    }

    /// Removes a gateway that has shut down and spends nothing more. Its blocks stay counted until their window ends.
    pub fn remove_gateway(&mut self, gateway: &str) {
        // The number of silent gateways is the fleet size minus the gateways in contact. If a stopped gateway still
        // counted as in contact, the fallback slice of one silent gateway would not be reserved.
        self.last_contacts.remove(gateway);
        self.charges.forget(gateway);
        self.update_silent_fraction();
    }

    /// Answers a demand while the counter is closed. If all gateways spent their fallback slices, these would add up
    /// to one refill per window. The holder grants units of this refill by need instead, because in a large fleet an
    /// even slice rarely matches the requests that a gateway receives.
    fn grant_while_closed(&mut self, now: Millis, demand: &TenantDemand, grant: TenantGrant) -> TenantGrant {
        let (contact_count, fleet_size) = (self.last_contacts.len() as f64, f64::from(self.fleet_size));
        let silent_fraction = self.silent_fraction;
        let leases_ended_at = self.assigned_at + self.closed_for;
        let Some(counter) = self.counters.get_mut(&demand.tenant) else { return grant };
        let Some(params) = counter.params.filter(|_| now >= leases_ended_at) else { return grant };
        if contact_count < MIN_CONTACT_RATIO * fleet_size {
            let status = if now < leases_ended_at + CONTACT_WAIT {
                CounterStatus::RetryLater
            } else {
                CounterStatus::FallbackSlice
            };
            return TenantGrant { status, ..grant };
        }
        let free = (params.refill * (1.0 - silent_fraction) - counter.granted).max(0.0).floor();
        let granted = f64::from(demand.needed.min(demand.requested)).min(free);
        counter.granted += granted;
        TenantGrant {
            granted: granted as u32,
            remaining: (free - granted) as u32,
            status: CounterStatus::Open,
            ..grant
        }
    }

    /// Answers a gateway's lease request.
    pub fn handle_request(&mut self, now: Millis, gateway: &str, request: &LeaseRequest) -> Grant {
        self.expire_silent_gateways(now);
        let same_epoch = request.epoch == self.epoch;
        // A gateway that knows only an older assignment may spend fallback slices of counters held here, so it does
        // not count as in contact.
        if request.epoch >= self.epoch || self.epoch.number <= 1 {
            self.record_contact(now, gateway);
        }
        for demand in &request.demands {
            self.refund(now, gateway, demand);
        }
        let grants =
            request.demands.iter().map(|demand| self.grant_tenant(now, demand, same_epoch)).collect();
        Grant { number: request.number, epoch: self.epoch, grants }
    }

    /// Refunds the units that the counter was charged while the gateway was silent, up to the debt (units spent from
    /// fallback slices) that the returned gateway reports. The debt itself is charged separately.
    fn refund(&mut self, now: Millis, gateway: &str, demand: &TenantDemand) {
        let charged_refill_time = self.charges.refund(now, gateway, &demand.tenant);
        if charged_refill_time <= 0.0 {
            return;
        }
        let Some(counter) = self.counters.get_mut(&demand.tenant) else { return };
        let Some(params) = counter.params else { return };
        let charged_units = charged_refill_time * params.refill / params.window;
        counter.free = (counter.free + charged_units.min(demand.owed().into())).min(params.max_units);
    }

    /// Whether any counter is about to need units below its floor. The log must record a lower floor before these
    /// units are granted.
    pub fn needs_lower_floor(&self) -> bool {
        let needs_lower = |c: &Counter| {
            c.params.is_some_and(|p| c.removed_at.is_none() && c.floor.needs_lowering(p.refill))
        };
        self.counters.values().any(needs_lower)
    }

    /// Returns the floors to propose for the log, by tenant, and considers them proposed. Until
    /// [`QuotaHolder::commit_floors`], the holder enforces the higher of the old and the proposed floor.
    pub fn propose_floors(&mut self, now: Millis) -> Vec<(String, u32)> {
        let mut proposals = Vec::new();
        for (tenant, counter) in &mut self.counters {
            let (max_units, refill) = match counter.params {
                Some(params) if counter.removed_at.is_none() => (params.max_units, params.refill),
                _ => (0.0, 0.0),
            };
            if let Some(units) = counter.floor.next_proposal(now, max_units, refill) {
                counter.floor.propose(units);
                proposals.push((tenant.clone(), units));
            }
        }
        // Floors of tenants that no configuration names any more.
        if self.configured {
            proposals.extend(std::mem::take(&mut self.floors).into_keys().map(|tenant| (tenant, 0)));
        }
        proposals
    }

    /// Records that the log committed the last proposed floors.
    pub fn commit_floors(&mut self) {
        self.counters.values_mut().for_each(|counter| counter.floor.commit());
    }

    /// Whether the current assignment is so recent that handovers may still arrive.
    pub fn awaits_handover(&self, now: Millis) -> bool {
        self.epoch.number > 1 && now < self.assigned_at + HANDOVER_TIMEOUT
    }

    /// Answers a lease request by asking the gateway to retry shortly.
    pub fn defer(&self, request: &LeaseRequest) -> Grant {
        let deferred = |demand: &TenantDemand| TenantGrant {
            tenant: demand.tenant.clone(),
            window: 0,
            granted: 0,
            remaining: 0,
            ends_in: 0.0,
            status: CounterStatus::RetryLater,
        };
        Grant {
            number: request.number,
            epoch: self.epoch,
            grants: request.demands.iter().map(deferred).collect(),
        }
    }

    /// Statistics of all configured tenants.
    pub fn stats(&self) -> Vec<CounterStats> {
        let counter_stats = |(tenant, c): (&String, &Counter)| CounterStats {
            tenant: tenant.clone(),
            window: c.window,
            granted: c.granted,
            remaining: c.free,
        };
        self.counters.iter().filter(|(_, c)| c.removed_at.is_none()).map(counter_stats).collect()
    }

    /// Marks gateways without recent contact as silent. A silent gateway may have spent fallback slices since
    /// `SILENCE_TIMEOUT` after its last message. Until now the counters granted these units to other gateways, so the
    /// counters are charged for the slices now.
    fn expire_silent_gateways(&mut self, now: Millis) {
        let is_silent = |at: &Millis| now >= *at + GATEWAY_TIMEOUT;
        let mut newly_silent_fraction = 0.0;
        for (gateway, at) in self.last_contacts.iter().filter(|(_, at)| is_silent(at)) {
            let fraction = self.slice_fraction(gateway);
            self.charges.charge(now, gateway, *at, fraction);
            newly_silent_fraction += fraction;
        }
        if newly_silent_fraction <= 0.0 {
            return;
        }
        self.last_contacts.retain(|_, at| !is_silent(at));
        self.update_silent_fraction();
        for counter in self.counters.values_mut() {
            let Some(params) = counter.params else { continue };
            let estimated_spend = params.refill / params.window
                * (GATEWAY_TIMEOUT - SILENCE_TIMEOUT)
                * newly_silent_fraction.min(1.0);
            counter.free = (counter.free - estimated_spend).max(-params.max_units);
        }
    }

    /// Fraction of a refill that one gateway spends as its fallback slice.
    fn slice_fraction(&self, gateway: &str) -> f64 {
        1.0 / f64::from(self.oversized_slices.get(gateway).copied().unwrap_or(self.fleet_size))
    }

    /// Adds up the fallback slices of all gateways without recent contact.
    fn update_silent_fraction(&mut self) {
        let oversized =
            self.oversized_slices.iter().filter(|(gateway, _)| !self.last_contacts.contains_key(*gateway));
        let (oversized, oversized_fraction) = oversized
            .fold((0, 0.0), |(count, sum), (_, divisor)| (count + 1, sum + 1.0 / f64::from(*divisor)));
        let regular =
            self.fleet_size.saturating_sub(self.last_contacts.len() as u32).saturating_sub(oversized);
        self.silent_fraction =
            (f64::from(regular) / f64::from(self.fleet_size) + oversized_fraction).min(1.0);
    }

    fn next_window_end(&self, now: Millis, window: Millis) -> Millis {
        if window <= 0.0 {
            return now;
        }
        self.window_origin + (((now - self.window_origin) / window).floor() + 1.0) * window
    }

    fn advance_window(&mut self, now: Millis, tenant: &str) {
        let silent_fraction = self.silent_fraction;
        let Some(mut counter) = self.counters.remove(tenant) else { return };
        let mut steps = 0;
        while let Some(params) =
            counter.params.filter(|p| now + EARLY_TOLERANCE.min(p.window * 0.05) >= counter.window_end)
        {
            // While a counter is closed, gateways spend fallback slices instead of granted blocks, so the slices are
            // not deducted from the counter.
            if counter.window_end > counter.closed_until {
                counter.free -= params.refill * counter.silent_fraction;
            }
            counter.params = counter.next_params;
            let Some(params) = counter.next_params else { break };
            let window_start =
                if steps >= MAX_WINDOW_STEPS { now.max(counter.window_end) } else { counter.window_end };
            steps += 1;
            counter.window_end = self.next_window_end(window_start + 1e-6, params.window);
            let fraction = ((counter.window_end - window_start) / params.window).clamp(0.0, 1.0);
            counter.free =
                (counter.free + params.refill * fraction).clamp(-params.max_units, params.max_units);
            counter.window += 1;
            counter.granted = 0.0;
            counter.silent_fraction = silent_fraction;
        }
        let in_first_window = counter.params.is_some_and(|params| now < self.window_origin + params.window);
        counter.silent_fraction =
            if in_first_window { silent_fraction } else { counter.silent_fraction.max(silent_fraction) };
        self.counters.insert(tenant.to_owned(), counter);
    }

    fn grant_tenant(&mut self, now: Millis, demand: &TenantDemand, same_epoch: bool) -> TenantGrant {
        self.advance_window(now, &demand.tenant);
        let active_gateways = (self.last_contacts.len() as f64).max(1.0);
        let mut grant = TenantGrant {
            tenant: demand.tenant.clone(),
            window: 0,
            granted: 0,
            remaining: 0,
            ends_in: 0.0,
            status: CounterStatus::FallbackSlice,
        };
        // A tenant unknown here may be new in a configuration that has not arrived yet, or may have another holder. In
        // the second case the gateway must not spend its fallback slice in addition to the other holder's grants.
        let sole_holder = self.epoch.number <= 1;
        let Some(counter) = self.counters.get_mut(&demand.tenant).filter(|c| c.removed_at.is_none()) else {
            return if sole_holder {
                grant
            } else {
                TenantGrant { status: CounterStatus::RetryLater, ..grant }
            };
        };
        grant.window = counter.window;
        grant.ends_in = (counter.window_end - now).max(0.0);
        let Some(params) = counter.params else {
            return TenantGrant {
                granted: demand.requested,
                remaining: u32::MAX,
                ends_in: 1000.0,
                status: CounterStatus::Open,
                ..grant
            };
        };
        if now < counter.handover_deadline {
            return TenantGrant { status: CounterStatus::RetryLater, ..grant };
        }
        if now + EARLY_TOLERANCE < counter.closed_until {
            grant.ends_in = (counter.closed_until - now).max(0.0);
            return self.grant_while_closed(now, demand, grant);
        }
        if same_epoch {
            let max_returned = (params.max_units - counter.free - counter.granted).max(0.0);
            counter.free += f64::from(demand.returned).min(max_returned);
        }
        let owed = demand.owed();
        counter.free = (counter.free - f64::from(owed)).max(-params.max_units);
        let needed = if owed > 0 { 0 } else { demand.needed };
        // No fallback slices are reserved in the first window after the start. Every gateway counts as silent until
        // its first request, so a reserve for all slices would refuse most of the units of the floor. Units spent from
        // a slice before the first request are deducted from the gateway's first block.
        let silent_fraction =
            if now < self.window_origin + params.window { 0.0 } else { counter.silent_fraction };
        let available = counter.free - params.refill * silent_fraction;
        counter.floor.record_free(available);
        let (total_available, free) =
            (available.max(0.0).floor(), (available - counter.floor.enforced()).max(0.0).floor());
        let even_block = (free / (EVEN_BLOCK_DIVISOR * active_gateways))
            .max(MIN_BLOCK_RATIO * params.refill / active_gateways);
        let granted = f64::from(demand.requested).min(even_block.floor()).max(f64::from(needed)).min(free);
        counter.free -= granted;
        counter.granted += granted;
        grant.granted = granted as u32;
        counter.floor.record_free(available - granted);
        // The remaining units include units below the floor, which become available as soon as the log lowers the
        // floor.
        grant.remaining = (total_available - granted) as u32;
        grant.status = CounterStatus::Open;
        grant
    }
}
