//! The data plane's side: a gateway's blocks of each tenant's count.

mod tenant_state;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::holder_state::{HolderState, PROBE_INTERVAL};
use crate::{
    CounterStatus, Epoch, Grant, HolderAssignment, LeaseRequest, Millis, Quota, TenantDemand, TenantGrant,
    WindowParams,
};

/// The weight of the newest window in smoothed demand.
const DEMAND_SMOOTHING: f64 = 0.4;
/// A block covers this much of the demand expected until the window's end: demand comes unevenly.
const BLOCK_MARGIN: f64 = 1.15;
/// A block is renewed when less than this share of the demand until the window's end is left of it.
const RENEWAL_RATIO: f64 = 0.35;
/// Tenants with less demand than this in a window are asked for as requests come: blocks taken ahead would mostly end
/// unused.
const MIN_PREFETCH_DEMAND: f64 = 1.0;
/// A tenant without requests for this long is forgotten and starts anew.
const IDLE_TIMEOUT: Millis = 20_000.0;
/// Slices stop this long after the last word of any holder: by then the fleet's size is anyone's guess.
const MAX_SLICE_TIME: Millis = 30_000.0;
/// A count that is on its way between holders is asked for again after this long.
const RETRY_DELAY: Millis = 15.0;
/// Requests that may wait, for one tenant and in all.
const MAX_WAITING_PER_TENANT: usize = 512;
const MAX_WAITING: usize = 4096;
/// Refused requests are told to come back after the window's end, spread over this share of a window.
const RETRY_JITTER_RATIO: f64 = 0.25;

/// The answer to a request that asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The request may run.
    Granted,
    /// A block was asked for; the verdict comes from `granted` or `tick`, at the latest at this time.
    Wait {
        /// By when the request has its verdict.
        until: Millis,
    },
    /// Block and count are spent.
    Refused {
        /// The span after which it is worth trying again.
        retry_after: Millis,
    },
}

/// What a tenant's cache says to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantStats {
    /// The tenant's name.
    pub tenant: String,
    /// Units of the block in hand.
    pub block: u32,
    /// Smoothed requests per window.
    pub demand: f64,
    /// Requests that wait for a block.
    pub waiting: usize,
    /// Requests granted since the tenant was configured.
    pub granted: u64,
    /// Requests refused since then.
    pub refused: u64,
    /// Of those granted, how many by slices.
    pub granted_by_slice: u64,
}

#[derive(Debug, Default)]
struct TenantState {
    /// None sets no limit.
    terms: Option<WindowParams>,
    burst: f64,
    block: u32,
    window: u64,
    /// Until when the block holds and what the holder said of the window counts.
    window_ends_at: Millis,
    /// Units got and spent of the block's window.
    received: u32,
    spent: u32,
    /// What the window's count had left when last heard.
    remaining: u32,
    waiting: VecDeque<(u64, Millis)>,
    in_flight: Option<u64>,
    needs_block: bool,
    returned: u32,
    /// The place of its holder among the sources.
    holder_index: usize,
    /// Its count is on its way between holders: not to be asked for before.
    retry_at: Millis,
    /// A holder that grants nothing yet has left the gateway its slices until then.
    slices_until: Millis,
    slice_units: f64,
    slice_ends_at: Millis,
    slice_used: u32,
    /// Whether the count has to be charged for the slice: its holder gave no answer, and grants all to others meanwhile.
    slice_is_charged: bool,
    /// Units of slices whose windows are over, and of which the count knows nothing yet.
    slice_debt: u32,
    /// So much of it stands in the draw on its way.
    slice_debt_in_flight: u32,
    has_demand: bool,
    demand: f64,
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
    fleet_size: f64,
    seed: u64,
    last_request_number: u64,
    epoch: Epoch,
    assignment: HolderAssignment,
    /// The holders, in the order of the assignment; never empty.
    holders: Vec<HolderState>,
    last_contact: Option<Millis>,
    /// Planted by tests: grants of an older epoch are taken.
    ignores_epoch: bool,
    waiting_count: usize,
    /// Nothing is spent or drawn any more.
    closed: bool,
}

impl LeaseCache {
    /// An empty cache. The seed spreads what is left to lots.
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

    /// Takes a configuration. Blocks that are out end with their windows; tenants that are gone are dropped, and the
    /// requests that waited for them are refused at the next `tick`.
    pub fn set_quotas(&mut self, now: Millis, quotas: Vec<Quota>) {
        let mut old = std::mem::take(&mut self.tenants);
        for quota in quotas {
            let mut tenant = old
                .remove(&quota.tenant)
                .unwrap_or_else(|| TenantState { demand_since: now, ..TenantState::default() });
            tenant.terms = WindowParams::from_quota(&quota);
            tenant.holder_index = self.assignment.holder_index(&quota.tenant).unwrap_or(0);
            tenant.burst = quota.burst.max(0.0);
            self.tenants.insert(quota.tenant, tenant);
        }
        // Waiting requests need their verdict: their tenants stay, without a limit or a unit, until they have it.
        for (name, mut tenant) in old.into_iter().filter(|(_, t)| !t.waiting.is_empty()) {
            tenant.mark_removed(now);
            self.tenants.insert(name, tenant);
        }
    }

    /// Takes an assignment: who holds what, unless it is an older one. Draws on their way to others are given up, and
    /// grants of an older epoch refused from now on.
    pub fn set_assignment(&mut self, assignment: &HolderAssignment) {
        if assignment.epoch < self.epoch || assignment.holders.is_empty() || *assignment == self.assignment {
            return;
        }
        self.turn(assignment.epoch);
        let old = std::mem::take(&mut self.holders);
        let mut old: Vec<Option<HolderState>> = old.into_iter().map(Some).collect();
        for name in &assignment.holders {
            let kept =
                old.iter_mut().find(|s| s.as_ref().is_some_and(|s| *s.name == **name)).and_then(Option::take);
            self.holders.push(kept.unwrap_or_else(|| HolderState::new(name)));
        }
        for source in old.into_iter().flatten() {
            for number in source.in_flight_numbers() {
                self.free_flights(number);
            }
        }
        self.assignment = assignment.clone();
        for (name, t) in &mut self.tenants {
            t.holder_index = assignment.holder_index(name).unwrap_or(0);
            t.retry_at = 0.0;
        }
    }

    /// The newest assignment that it was told.
    pub fn assignment(&self) -> &HolderAssignment {
        &self.assignment
    }

    #[doc(hidden)]
    pub fn inject_ignored_epoch(&mut self) {
        self.ignores_epoch = true;
    }

    /// A newer epoch: units of an older one go back to nobody.
    fn turn(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.tenants.values_mut().for_each(|t| (t.returned, t.slice_debt) = (0, 0));
        }
    }

    /// Takes the number of gateways in all.
    pub fn set_fleet_size(&mut self, fleet_size: u32) {
        self.fleet_size = f64::from(fleet_size.max(1));
    }

    /// A process that serves control says how many gateways there are, and whether it has heard the leader just now. One
    /// that has not may know of few: by its word slices grow smaller only.
    pub fn update_fleet_size(&mut self, now: Millis, fleet_size: u32, fresh: bool) {
        if fresh {
            self.set_fleet_size(fleet_size);
            self.record_contact(now);
        } else {
            self.fleet_size = self.fleet_size.max(f64::from(fleet_size));
        }
    }

    /// Ends admission for good: requests that wait are refused, and nothing is spent or drawn from now on. Blocks in hand
    /// lapse with their windows.
    pub fn close(&mut self, now: Millis, out: &mut Vec<(u64, Verdict)>) {
        self.closed = true;
        self.waiting_count = 0;
        let mut seed = self.seed;
        for t in self.tenants.values_mut() {
            for (request, _) in std::mem::take(&mut t.waiting) {
                out.push((request, t.refuse(now, lot(&mut seed))));
            }
        }
        self.seed = seed;
    }

    /// A holder was heard of otherwise than by a grant: slices may go on.
    pub fn record_contact(&mut self, now: Millis) {
        self.last_contact = Some(now);
    }

    /// A request asks for a unit of its tenant.
    pub fn admit(&mut self, now: Millis, request: u64, tenant: &str, wait_at_most: Millis) -> Verdict {
        let lot = self.lot();
        let (fleet_size, slices) = (self.fleet_size, self.may_slice(now));
        let full = self.waiting_count >= MAX_WAITING;
        let Some(t) = self.tenants.get_mut(tenant) else { return Verdict::Refused { retry_after: 1000.0 } };
        let silent = self.holders.get_mut(t.holder_index).is_some_and(|source| source.is_silent(now));
        if t.terms.is_none() {
            t.granted += 1;
            return Verdict::Granted;
        }
        if self.closed {
            return t.refuse(now, lot);
        }
        t.advance_window(now);
        t.requests_in_window += 1.0;
        t.last_request_at = now;
        if t.waiting.is_empty() && t.spend_unit() {
            let remaining_demand = t.remaining_demand(now);
            t.needs_block |= t.remaining > 0
                && remaining_demand >= MIN_PREFETCH_DEMAND
                && f64::from(t.block) < remaining_demand * RENEWAL_RATIO;
            return Verdict::Granted;
        }
        if t.is_exhausted(now) {
            return t.refuse(now, lot);
        }
        if silent || now < t.slices_until {
            t.needs_block |= now >= t.slices_until;
            if slices {
                t.open_slice(now, fleet_size, lot);
            }
            return if slices && t.spend_slice_unit() { Verdict::Granted } else { t.refuse(now, lot) };
        }
        if full || t.waiting.len() >= MAX_WAITING_PER_TENANT {
            return t.refuse(now, lot);
        }
        t.needs_block = true;
        let until = now + wait_at_most.max(0.0);
        t.waiting.push_back((request, until));
        self.waiting_count += 1;
        Verdict::Wait { until }
    }

    /// A waiting request is gone; it needs no verdict.
    pub fn cancel(&mut self, request: u64) {
        for t in self.tenants.values_mut() {
            if let Some(at) = t.waiting.iter().position(|(r, _)| *r == request) {
                t.waiting.remove(at);
                self.waiting_count -= 1;
                return;
            }
        }
    }

    /// A request that was granted has not been run. Its unit can be spent again in its own window only; later it goes
    /// back to the count, which knows how much a window may hold.
    pub fn return_unit(&mut self, now: Millis, tenant: &str) {
        let Some(t) = self.tenants.get_mut(tenant) else { return };
        t.advance_window(now);
        if t.spent > 0 {
            t.spent -= 1;
            t.block += 1;
        } else if now < t.slice_ends_at && t.slice_used > 0 {
            t.slice_used -= 1;
            t.slice_units += 1.0;
        } else {
            t.returned = t.returned.saturating_add(1);
        }
    }

    /// What is to be sent now, and to which holder: one message for all tenants of it.
    pub fn lease_requests(&mut self, now: Millis) -> Vec<(Rc<str>, LeaseRequest)> {
        let mut draws: Vec<(usize, LeaseRequest)> = Vec::new();
        if self.closed {
            return Vec::new();
        }
        let (fleet_size, epoch) = (self.fleet_size, self.epoch);
        for (name, t) in &mut self.tenants {
            let Some(terms) = t.terms else { continue };
            if t.in_flight.is_some() || now < t.slices_until || now < t.retry_at {
                continue;
            }
            t.advance_window(now);
            t.needs_block &= !t.is_exhausted(now);
            if !t.should_request(now) && t.slice_debt == 0 {
                continue;
            }
            if !self.holders.get_mut(t.holder_index).is_some_and(|source| source.may_send(now)) {
                continue;
            }
            let (needed, requested) =
                if t.should_request(now) { t.request_size(now, terms, fleet_size) } else { (0, 0) };
            t.needs_block = false;
            if requested < 1 && t.slice_debt == 0 {
                continue;
            }
            t.slice_debt_in_flight = t.slice_debt;
            let needed = if t.slice_debt > 0 { requested.saturating_add(t.slice_debt) } else { needed };
            let at = draws.iter().position(|(place, _)| *place == t.holder_index).unwrap_or_else(|| {
                self.last_request_number += 1;
                draws.push((
                    t.holder_index,
                    LeaseRequest { number: self.last_request_number, epoch, demands: Vec::new() },
                ));
                draws.len() - 1
            });
            if let Some((_, draw)) = draws.get_mut(at) {
                t.in_flight = Some(draw.number);
                draw.demands.push(TenantDemand {
                    tenant: name.clone(),
                    needed,
                    requested,
                    returned: std::mem::take(&mut t.returned),
                });
            }
        }
        // Units that go back are worth no message of their own.
        for (place, draw) in &mut draws {
            for (name, t) in &mut self.tenants {
                if t.returned > 0 && t.holder_index == *place && t.in_flight.is_none() && t.terms.is_some() {
                    let returned = std::mem::take(&mut t.returned);
                    draw.demands.push(TenantDemand {
                        tenant: name.clone(),
                        needed: 0,
                        requested: 0,
                        returned,
                    });
                }
            }
        }
        let mut out = Vec::with_capacity(draws.len());
        for (place, draw) in draws {
            if let Some(source) = self.holders.get_mut(place) {
                source.record_sent(now, draw.number);
                out.push((source.name.clone(), draw));
            }
        }
        out
    }

    /// A holder's answer. That of a former holder, or to a draw given up, is ignored: its units stay counted until
    /// their window ends, and nobody spends them.
    pub fn handle_grant(&mut self, now: Millis, grant: Grant, out: &mut Vec<(u64, Verdict)>) {
        let found =
            self.holders.iter_mut().find_map(|source| Some((source.take_in_flight(grant.number)?, source)));
        let Some((sent, source)) = found else { return };
        if grant.epoch < self.epoch && !self.ignores_epoch {
            // It may not have heard of the newest assignment yet; without it its lease soon ends.
            for t in self.tenants.values_mut().filter(|t| t.in_flight == Some(grant.number)) {
                t.retry_at = now + RETRY_DELAY;
            }
            return self.free_flights(grant.number);
        }
        source.record_answer();
        self.turn(grant.epoch);
        self.last_contact = Some(now);
        let fleet_size = self.fleet_size;
        for tenant_grant in grant.grants {
            let lot = self.lot();
            let Some(t) =
                self.tenants.get_mut(&tenant_grant.tenant).filter(|t| t.in_flight == Some(grant.number))
            else {
                continue;
            };
            t.in_flight = None;
            t.apply_grant(now, sent.sent_at, &tenant_grant);
            let before = t.waiting.len();
            t.serve_waiting(now, fleet_size, lot, out);
            self.waiting_count -= before - t.waiting.len();
        }
        self.free_flights(grant.number);
    }

    /// A draw is given up: its answer is not waited for any more, and the holder counts as silent until it answers.
    pub fn request_failed(&mut self, now: Millis, number: u64) {
        if let Some(source) =
            self.holders.iter_mut().find_map(|source| source.take_in_flight(number).map(|_| source))
        {
            source.mark_silent(now);
            self.free_flights(number);
        }
    }

    /// Time has passed: requests that have waited long enough get their verdict.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<(u64, Verdict)>) {
        while let Some(late) = self.holders.iter().find_map(|source| source.overdue_request(now)) {
            self.request_failed(now, late);
        }
        let (fleet_size, slices) = (self.fleet_size, self.may_slice(now));
        let mut seed = self.seed;
        for t in self.tenants.values_mut().filter(|t| !t.waiting.is_empty()) {
            t.advance_window(now);
            let silent = self.holders.get_mut(t.holder_index).is_some_and(|source| source.is_silent(now));
            let before = t.waiting.len();
            let mut waiting = std::mem::take(&mut t.waiting);
            waiting.retain(|(request, until)| {
                let lot = lot(&mut seed);
                if t.spend_unit() {
                    out.push((*request, Verdict::Granted));
                    return false;
                }
                if !silent && now < *until {
                    return true;
                }
                // The answer is late: the even slice is lent, and comes off the next block if one comes.
                if slices && !t.is_exhausted(now) {
                    t.open_slice(now, fleet_size, lot);
                    if t.spend_slice_unit() {
                        out.push((*request, Verdict::Granted));
                        return false;
                    }
                }
                out.push((*request, t.refuse(now, lot)));
                false
            });
            t.waiting = waiting;
            self.waiting_count -= before - t.waiting.len();
        }
        self.seed = seed;
    }

    /// When `tick` and `draw` have something to do at the latest, if nothing comes before.
    pub fn next_deadline(&self) -> Option<Millis> {
        if self.closed {
            return None;
        }
        let mut due = self.holders.iter().fold(f64::INFINITY, |due, source| due.min(source.next_deadline()));
        for t in self.tenants.values() {
            due = t.waiting.iter().fold(due, |d, (_, until)| d.min(*until));
            if t.in_flight.is_none() && t.terms.is_some() {
                let probe = self.holders.get(t.holder_index).filter(|source| source.was_silent());
                let from = probe.map_or(0.0, |source| source.next_probe_at).max(t.retry_at);
                if t.needs_block {
                    due = due.min(if probe.is_some() { from } else { from.max(t.slices_until) });
                }
                if t.window_ends_at > 0.0 && (t.demand >= MIN_PREFETCH_DEMAND || t.slice_debt > 0) {
                    due = due.min(from.max(t.window_ends_at).max(t.slices_until));
                }
            }
        }
        due.is_finite().then_some(due)
    }

    /// What operators see of each tenant.
    pub fn stats(&self) -> Vec<TenantStats> {
        let one = |(tenant, t): (&String, &TenantState)| TenantStats {
            tenant: tenant.clone(),
            block: t.block,
            demand: t.demand,
            waiting: t.waiting.len(),
            granted: t.granted,
            refused: t.refused,
            granted_by_slice: t.granted_by_slice,
        };
        self.tenants.iter().map(one).collect()
    }

    fn free_flights(&mut self, number: u64) {
        for t in self.tenants.values_mut().filter(|t| t.in_flight == Some(number)) {
            t.in_flight = None;
            t.needs_block |= !t.waiting.is_empty();
        }
    }

    fn may_slice(&self, now: Millis) -> bool {
        // Who has heard of a newer assignment than it knows may spend slices of a count that grants elsewhere.
        let knows = self.assignment.epoch >= self.epoch || self.assignment.holders.is_empty();
        knows && self.last_contact.is_some_and(|at| now < at + MAX_SLICE_TIME)
    }

    fn lot(&mut self) -> f64 {
        lot(&mut self.seed)
    }
}

/// A number in 0 to 1 (splitmix64).
fn lot(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *seed;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
