//! The gateway side of quota leases: a cache of unit blocks granted by the holders of the tenants' counters.
//!
//! A block is a number of units that a holder grants for one window of a tenant. While the holder does not answer, the
//! gateway spends its fallback slice instead: in each window, one refill divided by the number of gateways. Slice units
//! that the counter does not know of are a debt, which the gateway reports with its next lease request.

mod tenant_state;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::holder_state::{HolderState, PROBE_INTERVAL};
use crate::{
    CounterStatus, Epoch, Grant, HolderAssignment, LeaseRequest, Millis, Quota, TenantDemand, TenantGrant,
    WindowParams,
};

/// Weight of the newest window in the smoothed demand.
const DEMAND_SMOOTHING: f64 = 0.4;
/// A block covers the demand expected until the window ends times this factor, since demand varies.
const BLOCK_MARGIN: f64 = 1.15;
/// A block is renewed when it holds less than this fraction of the demand expected until the window ends.
const RENEWAL_RATIO: f64 = 0.35;
/// Blocks are requested ahead only for tenants with at least this demand per window. For other tenants, most blocks
/// requested ahead would expire unused.
const MIN_PREFETCH_DEMAND: f64 = 1.0;
/// The demand of a tenant without requests for this long is forgotten.
const IDLE_TIMEOUT: Millis = 20_000.0;
/// A gateway spends no fallback slices once its last contact with a holder is this long ago: the fleet size by which
/// the slice is computed may be outdated by then.
const MAX_SLICE_TIME: Millis = 30_000.0;
/// Delay before a lease request is repeated for a counter that is being handed over between holders.
const RETRY_DELAY: Millis = 15.0;
/// Maximum number of waiting requests, per tenant and in total.
const MAX_WAITING_PER_TENANT: usize = 512;
const MAX_WAITING: usize = 4096;
/// Longest time until the end of a granted window. No window of a holder, closed or open, ends later.
const MAX_GRANT_TIME: Millis = 60_000.0;
/// Retry delay of a refusal for a tenant that the configuration does not name.
const UNKNOWN_TENANT_RETRY_DELAY: Millis = 1000.0;
/// Refused requests may retry after the window's end plus a random part of this fraction of a window.
const RETRY_JITTER_RATIO: f64 = 0.25;

/// The admission decision for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The request may run.
    Granted,
    /// A block was requested. The decision follows from `handle_grant` or `tick`, at the latest at the deadline.
    Wait {
        /// Time by which the request has its decision.
        deadline: Millis,
    },
    /// The block and the counter are exhausted.
    Refused {
        /// Time after which a retry makes sense.
        retry_after: Millis,
    },
}

impl Verdict {
    /// The refusal of a request whose tenant the configuration does not name.
    const UNKNOWN_TENANT: Self = Self::Refused { retry_after: UNKNOWN_TENANT_RETRY_DELAY };
}

/// Statistics of one tenant at this gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantStats {
    /// Name of the tenant.
    pub tenant: String,
    /// Units left in the current block.
    pub block: u32,
    /// Smoothed requests per window.
    pub demand: f64,
    /// Requests that wait for a block.
    pub waiting: usize,
    /// Requests granted since the tenant was configured.
    pub granted: u64,
    /// Requests refused since the tenant was configured.
    pub refused: u64,
    /// Granted requests that were paid from fallback slices.
    pub granted_by_slice: u64,
}

#[derive(Debug, Default)]
struct TenantState {
    /// `None` sets no limit.
    params: Option<WindowParams>,
    burst: f64,
    /// Unspent units of the current block, and the number of the window that the block belongs to.
    block: u32,
    window: u64,
    /// Expiry of the block and of the remaining units last reported by the holder.
    window_ends_at: Millis,
    /// Units granted to this gateway in the block's window, and units of them spent.
    received: u32,
    spent: u32,
    /// Units that were left in the counter's window at the last grant.
    remaining: u32,
    /// Waiting client requests and their deadlines.
    waiting: VecDeque<(u64, Millis)>,
    /// Number of the lease request in flight for this tenant.
    in_flight: Option<u64>,
    needs_block: bool,
    /// Unspent units of expired blocks that go back to the counter with the next lease request.
    returned: u32,
    /// Index of the tenant's holder in `LeaseCache::holders`.
    holder_index: usize,
    /// The counter is being handed over between holders: no lease request is sent before this time.
    retry_at: Millis,
    /// The holder grants nothing yet and allows fallback slices until this time.
    slices_until: Millis,
    /// The fallback slice: unspent units, expiry, and units spent since the slice was opened.
    slice_units: f64,
    slice_ends_at: Millis,
    slice_used: u32,
    /// Whether units spent from the fallback slice must be charged to the counter. True if the holder did not answer,
    /// because the holder then still grants all units to other gateways.
    slice_is_charged: bool,
    /// The debt: units spent from fallback slices in past windows that the counter has not been charged for.
    slice_debt: u32,
    /// Part of `slice_debt` that the lease request in flight reports.
    slice_debt_in_flight: u32,
    has_demand: bool,
    /// Smoothed requests per window.
    demand: f64,
    /// Requests since `demand_since`, the start of the window that is being measured.
    requests_in_window: f64,
    demand_since: Millis,
    last_request_at: Millis,
    granted: u64,
    refused: u64,
    granted_by_slice: u64,
}

/// The leases of all tenants at one gateway.
#[derive(Debug)]
pub struct LeaseCache {
    tenants: BTreeMap<String, TenantState>,
    /// Number of gateways by which a refill is divided into fallback slices.
    fleet_size: f64,
    seed: u64,
    last_request_number: u64,
    /// Highest epoch received. May be newer than that of `assignment`.
    epoch: Epoch,
    assignment: HolderAssignment,
    /// The holders, in the order of the assignment; never empty.
    holders: Vec<HolderState>,
    /// Time of the last contact with a holder or, through a control plane, with the leader.
    last_contact: Option<Millis>,
    /// Fault injected by tests: grants of an older epoch are accepted.
    ignores_epoch: bool,
    /// Client requests that wait for a block, over all tenants.
    waiting_count: usize,
    /// After `close`: no units are spent and no lease requests are sent.
    closed: bool,
}

impl LeaseCache {
    /// Creates an empty cache. `seed` initializes the random numbers for retry jitter and for fractional slices.
    pub fn new(seed: u64) -> Self {
        Self {
            tenants: BTreeMap::new(),
            fleet_size: 1.0,
            seed,
            last_request_number: 0,
            epoch: Epoch::default(),
            assignment: HolderAssignment::default(),
            holders: vec![HolderState::new("")],
            last_contact: None,
            ignores_epoch: false,
            waiting_count: 0,
            closed: false,
        }
    }

    /// Applies a configuration. Current blocks expire with their windows. Removed tenants are dropped, and their
    /// waiting requests are refused at once. Waiting requests of a tenant that has no limit any more are granted at
    /// once.
    pub fn set_quotas(&mut self, now: Millis, quotas: Vec<Quota>, out: &mut Vec<(u64, Verdict)>) {
        let mut previous = std::mem::take(&mut self.tenants);
        for quota in quotas {
            let mut tenant = previous
                .remove(&quota.tenant)
                .unwrap_or_else(|| TenantState { demand_since: now, ..TenantState::default() });
            tenant.params = WindowParams::from_quota(&quota);
            tenant.holder_index = self.assignment.holder_index(&quota.tenant).unwrap_or(0);
            tenant.burst = quota.burst.max(0.0);
            if tenant.params.is_none() {
                self.waiting_count -= tenant.waiting.len();
                tenant.grant_all_waiting(out);
            }
            self.tenants.insert(quota.tenant, tenant);
        }
        for removed in previous.into_values() {
            self.waiting_count -= removed.waiting.len();
            out.extend(removed.waiting.into_iter().map(|(request, _)| (request, Verdict::UNKNOWN_TENANT)));
        }
    }

    /// Applies an assignment unless it is older than the known epoch. Requests in flight to removed holders are
    /// abandoned, and grants of an older epoch are rejected from now on.
    pub fn set_assignment(&mut self, assignment: &HolderAssignment) {
        if assignment.epoch < self.epoch || assignment.holders.is_empty() || *assignment == self.assignment {
            return;
        }
        self.advance_epoch(assignment.epoch);
        let previous = std::mem::take(&mut self.holders);
        let mut previous: Vec<Option<HolderState>> = previous.into_iter().map(Some).collect();
        for name in &assignment.holders {
            let existing = previous
                .iter_mut()
                .find(|s| s.as_ref().is_some_and(|s| *s.name == **name))
                .and_then(Option::take);
            self.holders.push(existing.unwrap_or_else(|| HolderState::new(name)));
        }
        for holder in previous.into_iter().flatten() {
            for number in holder.in_flight_numbers() {
                self.clear_in_flight(number);
            }
        }
        self.assignment = assignment.clone();
        for (name, state) in &mut self.tenants {
            state.holder_index = assignment.holder_index(name).unwrap_or(0);
            state.retry_at = 0.0;
        }
    }

    /// The newest known assignment.
    pub fn assignment(&self) -> &HolderAssignment {
        &self.assignment
    }

    #[doc(hidden)]
    pub fn inject_ignored_epoch(&mut self) {
        self.ignores_epoch = true;
    }

    /// Advances to a newer epoch. Units to return are dropped, since only the holder that granted the units may take
    /// them back. Slice debts of the older epoch are dropped as well and never charged.
    fn advance_epoch(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.tenants.values_mut().for_each(|state| (state.returned, state.slice_debt) = (0, 0));
        }
    }

    /// Sets the number of gateways in the fleet.
    pub fn set_fleet_size(&mut self, fleet_size: u32) {
        self.fleet_size = f64::from(fleet_size.max(1));
    }

    /// Updates the fleet size from a control plane's report. `fresh` means that the control plane is in contact with
    /// the leader. Without that contact the control plane may know only part of the fleet, so the reported size can
    /// only make the fallback slices smaller.
    pub fn update_fleet_size(&mut self, now: Millis, fleet_size: u32, fresh: bool) {
        if fresh {
            self.set_fleet_size(fleet_size);
            self.record_contact(now);
        } else {
            self.fleet_size = self.fleet_size.max(f64::from(fleet_size));
        }
    }

    /// Ends admission for good: waiting requests are refused, and from now on no units are spent and no lease
    /// requests are sent. Current blocks expire with their windows.
    pub fn close(&mut self, now: Millis, out: &mut Vec<(u64, Verdict)>) {
        self.closed = true;
        self.waiting_count = 0;
        let mut seed = self.seed;
        for state in self.tenants.values_mut() {
            for (request, _) in std::mem::take(&mut state.waiting) {
                out.push((request, state.refuse(now, random_fraction(&mut seed))));
            }
        }
        self.seed = seed;
    }

    /// Records contact with a holder by a message other than a grant. Each contact extends the time in which the
    /// gateway may spend fallback slices.
    pub fn record_contact(&mut self, now: Millis) {
        self.last_contact = Some(now);
    }

    /// Decides whether a request of a tenant is admitted. The request waits for a block for at most `max_wait`.
    pub fn admit(&mut self, now: Millis, request: u64, name: &str, max_wait: Millis) -> Verdict {
        let random = self.random_fraction();
        let (fleet_size, may_use_slices) = (self.fleet_size, self.may_use_slices(now));
        let cache_full = self.waiting_count >= MAX_WAITING;
        let Some(state) = self.tenants.get_mut(name) else { return Verdict::UNKNOWN_TENANT };
        let silent = self.holders.get_mut(state.holder_index).is_some_and(|holder| holder.is_silent(now));
        if state.params.is_none() {
            state.granted += 1;
            return Verdict::Granted;
        }
        if self.closed {
            return state.refuse(now, random);
        }
        state.advance_window(now);
        state.requests_in_window += 1.0;
        state.last_request_at = now;
        if state.waiting.is_empty() && state.spend_unit() {
            let remaining_demand = state.remaining_demand(now);
            state.needs_block |= state.remaining > 0
                && remaining_demand >= MIN_PREFETCH_DEMAND
                && f64::from(state.block) < remaining_demand * RENEWAL_RATIO;
            return Verdict::Granted;
        }
        if state.is_exhausted(now) {
            return state.refuse(now, random);
        }
        if silent || now < state.slices_until {
            state.needs_block |= now >= state.slices_until;
            if may_use_slices {
                state.open_slice(now, fleet_size, random);
            }
            return if may_use_slices && state.spend_slice_unit() {
                Verdict::Granted
            } else {
                state.refuse(now, random)
            };
        }
        if cache_full || state.waiting.len() >= MAX_WAITING_PER_TENANT {
            return state.refuse(now, random);
        }
        state.needs_block = true;
        let deadline = now + max_wait.max(0.0);
        state.waiting.push_back((request, deadline));
        self.waiting_count += 1;
        Verdict::Wait { deadline }
    }

    /// Removes a waiting request that needs no decision any more.
    pub fn cancel(&mut self, request: u64) {
        for state in self.tenants.values_mut() {
            if let Some(index) = state.waiting.iter().position(|(r, _)| *r == request) {
                state.waiting.remove(index);
                self.waiting_count -= 1;
                return;
            }
        }
    }

    /// Takes back the unit of a granted request that was not run. Until the window of the unit ends, the gateway can
    /// spend the unit again. Later, the unit goes back to the counter, which enforces the maximum of a window.
    pub fn return_unit(&mut self, now: Millis, tenant: &str) {
        let Some(state) = self.tenants.get_mut(tenant) else { return };
        state.advance_window(now);
        if state.spent > 0 {
            state.spent -= 1;
            state.block += 1;
        } else if now < state.slice_ends_at && state.slice_used > 0 {
            state.slice_used -= 1;
            state.slice_units += 1.0;
        } else {
            state.returned = state.returned.saturating_add(1);
        }
    }

    /// Returns the lease requests to send now and their holders: at most one request per holder, for all its tenants.
    pub fn lease_requests(&mut self, now: Millis) -> Vec<(Rc<str>, LeaseRequest)> {
        let mut lease_requests: Vec<(usize, LeaseRequest)> = Vec::new();
        if self.closed {
            return Vec::new();
        }
        let (fleet_size, epoch) = (self.fleet_size, self.epoch);
        for (name, state) in &mut self.tenants {
            let Some(params) = state.params else { continue };
            if state.in_flight.is_some() || now < state.slices_until || now < state.retry_at {
                continue;
            }
            state.advance_window(now);
            state.needs_block &= !state.is_exhausted(now);
            if !state.should_request(now) && state.slice_debt == 0 {
                continue;
            }
            if !self.holders.get_mut(state.holder_index).is_some_and(|holder| holder.may_send(now)) {
                continue;
            }
            let (needed, requested) =
                if state.should_request(now) { state.request_size(now, params, fleet_size) } else { (0, 0) };
            state.needs_block = false;
            if requested < 1 && state.slice_debt == 0 {
                continue;
            }
            state.slice_debt_in_flight = state.slice_debt;
            let needed =
                if state.slice_debt > 0 { requested.saturating_add(state.slice_debt) } else { needed };
            let index = lease_requests
                .iter()
                .position(|(holder_index, _)| *holder_index == state.holder_index)
                .unwrap_or_else(|| {
                    self.last_request_number += 1;
                    lease_requests.push((
                        state.holder_index,
                        LeaseRequest { number: self.last_request_number, epoch, demands: Vec::new() },
                    ));
                    lease_requests.len() - 1
                });
            if let Some((_, lease_request)) = lease_requests.get_mut(index) {
                state.in_flight = Some(lease_request.number);
                lease_request.demands.push(TenantDemand {
                    tenant: name.clone(),
                    needed,
                    requested,
                    returned: std::mem::take(&mut state.returned),
                });
            }
        }
        // Unspent units are returned only in requests that are sent for another reason, never in a separate request.
        for (holder_index, lease_request) in &mut lease_requests {
            for (name, state) in &mut self.tenants {
                if state.returned > 0
                    && state.holder_index == *holder_index
                    && state.in_flight.is_none()
                    && state.params.is_some()
                {
                    let returned = std::mem::take(&mut state.returned);
                    lease_request.demands.push(TenantDemand {
                        tenant: name.clone(),
                        needed: 0,
                        requested: 0,
                        returned,
                    });
                }
            }
        }
        let mut out = Vec::with_capacity(lease_requests.len());
        for (holder_index, lease_request) in lease_requests {
            if let Some(holder) = self.holders.get_mut(holder_index) {
                holder.record_sent(now, lease_request.number);
                out.push((holder.name.clone(), lease_request));
            }
        }
        out
    }

    /// Handles a holder's answer. An answer from a former holder or to an abandoned request is ignored, and so is the
    /// grant of a window whose end is not a time in the near future. No gateway spends the units of an ignored answer,
    /// although the counter counts them as granted until their window ends.
    pub fn handle_grant(&mut self, now: Millis, grant: Grant, out: &mut Vec<(u64, Verdict)>) {
        let answered =
            self.holders.iter_mut().find_map(|holder| Some((holder.take_in_flight(grant.number)?, holder)));
        let Some((sent, holder)) = answered else { return };
        if grant.epoch < self.epoch && !self.ignores_epoch {
            // The holder may not have received the newest assignment yet. If the assignment never arrives, the holder's
            // lease soon expires.
            for state in self.tenants.values_mut().filter(|state| state.in_flight == Some(grant.number)) {
                state.retry_at = now + RETRY_DELAY;
            }
            return self.clear_in_flight(grant.number);
        }
        holder.record_answer();
        self.advance_epoch(grant.epoch);
        self.last_contact = Some(now);
        let fleet_size = self.fleet_size;
        for tenant_grant in grant.grants {
            let random = self.random_fraction();
            let Some(state) = self
                .tenants
                .get_mut(&tenant_grant.tenant)
                .filter(|state| state.in_flight == Some(grant.number))
            else {
                continue;
            };
            if !(0.0..=MAX_GRANT_TIME).contains(&tenant_grant.ends_in) {
                state.retry_at = now + RETRY_DELAY;
                continue;
            }
            state.in_flight = None;
            state.apply_grant(now, sent.sent_at, &tenant_grant);
            let waiting_before = state.waiting.len();
            state.serve_waiting(now, fleet_size, random, out);
            self.waiting_count -= waiting_before - state.waiting.len();
        }
        self.clear_in_flight(grant.number);
    }

    /// Abandons a lease request that got no answer. The holder counts as silent until it answers another request.
    pub fn request_failed(&mut self, now: Millis, number: u64) {
        if let Some(holder) =
            self.holders.iter_mut().find_map(|holder| holder.take_in_flight(number).map(|_| holder))
        {
            holder.mark_silent(now);
            self.clear_in_flight(number);
        }
    }

    /// Decides about requests whose waiting time has expired.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<(u64, Verdict)>) {
        while let Some(overdue) = self.holders.iter().find_map(|holder| holder.overdue_request(now)) {
            self.request_failed(now, overdue);
        }
        let (fleet_size, may_use_slices) = (self.fleet_size, self.may_use_slices(now));
        let mut seed = self.seed;
        for state in self.tenants.values_mut().filter(|state| !state.waiting.is_empty()) {
            state.advance_window(now);
            let silent = self.holders.get_mut(state.holder_index).is_some_and(|holder| holder.is_silent(now));
            let waiting_before = state.waiting.len();
            let mut waiting = std::mem::take(&mut state.waiting);
            waiting.retain(|(request, deadline)| {
                let random = random_fraction(&mut seed);
                if state.spend_unit() {
                    out.push((*request, Verdict::Granted));
                    return false;
                }
                if !silent && now < *deadline {
                    return true;
                }
                // The grant is late. The request is paid from the fallback slice, and the units spent from the slice
                // are deducted from the next block.
                if may_use_slices && !state.is_exhausted(now) {
                    state.open_slice(now, fleet_size, random);
                    if state.spend_slice_unit() {
                        out.push((*request, Verdict::Granted));
                        return false;
                    }
                }
                out.push((*request, state.refuse(now, random)));
                false
            });
            state.waiting = waiting;
            self.waiting_count -= waiting_before - state.waiting.len();
        }
        self.seed = seed;
    }

    /// The next time at which the caller has to call `tick` or `lease_requests`, unless another event comes first.
    pub fn next_deadline(&self) -> Option<Millis> {
        if self.closed {
            return None;
        }
        let mut deadline =
            self.holders.iter().fold(f64::INFINITY, |deadline, holder| deadline.min(holder.next_deadline()));
        for state in self.tenants.values() {
            deadline = state.waiting.iter().fold(deadline, |d, (_, expires_at)| d.min(*expires_at));
            if state.in_flight.is_none() && state.params.is_some() {
                let silent_holder = self.holders.get(state.holder_index).filter(|holder| holder.was_silent());
                let earliest = silent_holder.map_or(0.0, |holder| holder.next_probe_at).max(state.retry_at);
                if state.needs_block {
                    deadline = deadline.min(if silent_holder.is_some() {
                        earliest
                    } else {
                        earliest.max(state.slices_until)
                    });
                }
                if state.window_ends_at > 0.0 && (state.demand >= MIN_PREFETCH_DEMAND || state.slice_debt > 0)
                {
                    deadline = deadline.min(earliest.max(state.window_ends_at).max(state.slices_until));
                }
            }
        }
        deadline.is_finite().then_some(deadline)
    }

    /// Statistics of all tenants.
    pub fn stats(&self) -> Vec<TenantStats> {
        let tenant_stats = |(tenant, state): (&String, &TenantState)| TenantStats {
            tenant: tenant.clone(),
            block: state.block,
            demand: state.demand,
            waiting: state.waiting.len(),
            granted: state.granted,
            refused: state.refused,
            granted_by_slice: state.granted_by_slice,
        };
        self.tenants.iter().map(tenant_stats).collect()
    }

    fn clear_in_flight(&mut self, number: u64) {
        for state in self.tenants.values_mut().filter(|state| state.in_flight == Some(number)) {
            state.in_flight = None;
            state.needs_block |= !state.waiting.is_empty();
        }
    }

    fn may_use_slices(&self, now: Millis) -> bool {
        // A gateway that knows of a newer epoch but not its assignment must not spend fallback slices, since another
        // holder may grant units of the same counter.
        let knows_assignment = self.assignment.epoch >= self.epoch || self.assignment.holders.is_empty();
        knows_assignment && self.last_contact.is_some_and(|index| now < index + MAX_SLICE_TIME)
    }

    fn random_fraction(&mut self) -> f64 {
        random_fraction(&mut self.seed)
    }
}

/// A random number between 0 and 1 (splitmix64).
fn random_fraction(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *seed;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
