//! The quota gate. Gateways lease units from a shared counter, which counts leased units by customer and
//! window and replies with the total. While it is silent, a gateway spends its slice, an even part of tokens.

use super::*;

/// A lease covers the demand of this share of a window (burst over rate), and goes back to the counter when
/// idle for as long. A `Customer::debt` of this share of the burst is reported even if no request waits.
pub(super) const LEASE_SHARE: f64 = 0.15;
/// A lease is the larger of the demand, up to this share of the tokens per gateway of the customer, and an
/// even part of the tokens in excess of this share of the burst. With fewer tokens, idle leases are returned.
pub(super) const SCARCE_SHARE: f64 = 0.5;
/// A lease is renewed when less than this share of it is left.
pub(super) const RENEW_SHARE: f64 = 0.4;
/// Demand is smoothed over this share of a window.
pub(super) const DEMAND_WINDOW_SHARE: f64 = 0.5;
/// Window length of a plan without a rate, in ms.
pub(super) const UNLIMITED_WINDOW: Millis = 1000.0;
/// A request waits for a lease for at most this share of its latency target.
pub(super) const LEASE_WAIT_SHARE: f64 = 0.12;
/// Under a ceiling an unknown customer starts with this share of its burst (see `Customer::initial_tokens`).
pub(super) const CEILING_START_SHARE: f64 = 0.5;
/// The counter counts as silent after this many call timeouts without a reply: one call may just be late.
pub(super) const SILENT_AFTER: f64 = 3.0;
/// Maximum counter calls of one gateway in progress, while the counter replies in time.
pub(super) const MAX_CALLS: f64 = 12.0;
/// Target reply time as a share of the call timeout; in a large fleet requests can wait for slower replies.
pub(super) const REPLY_TARGET_SHARE: f64 = 0.3;
pub(super) const REPLY_TARGET_SHARE_LARGE_FLEET: f64 = 0.5;
/// An instant reply raises `Gateway::call_share` by this fraction; a late one lowers it by up to twice that.
pub(super) const CALL_SHARE_STEP: f64 = 0.2;
/// Minimum `Gateway::call_share`: without any call a gateway would not notice that the counter is back.
pub(super) const MIN_CALL_SHARE: f64 = 0.1;
/// Below this burst per gateway, one unit is too large a lease: the quota is sampled (some requests counted).
pub(super) const SAMPLED_UNITS_PER_GATEWAY: f64 = 0.5;
/// A sampled quota grants this share of the burst when its window begins, and the rest at the plan's rate.
/// The reduced start compensates for requests that are admitted without a total and never counted.
pub(super) const SAMPLED_START_SHARE: f64 = 0.35;
/// In a large fleet, calls on a spent quota spread over this share of the time until each gateway has a unit.
pub(super) const CALL_SPREAD: f64 = 0.2;
/// The state of a customer idle for this many windows is removed: the tokens are full again by then.
pub(super) const IDLE_WINDOWS: f64 = 2.0;
/// Maximum lifetime of a window's count at the counter, in ms.
pub(super) const MAX_TTL: Millis = 60_000.0;

impl Customer {
    /// Assumed tokens of an unknown customer. Under a ceiling (at least 1.6 times rate and burst by its plan)
    /// only half the burst: a gateway may restart and find the count emptied just after the others granted a
    /// full burst, and burst + half a burst + rate x time stays within the ceiling.
    pub(super) fn initial_tokens(plan: &Plan) -> f64 {
        if plan.ceiling_rate > 0.0 { plan.burst * CEILING_START_SHARE } else { plan.burst }
    }

    pub(super) fn window_length(plan: &Plan) -> Millis {
        if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { UNLIMITED_WINDOW }
    }

    /// Whether the quota is too small for leases, so that requests are sampled; never under a ceiling.
    pub(super) fn sampled(&self, plan: &Plan) -> bool {
        plan.rate > 0.0 && plan.ceiling_rate <= 0.0 && plan.burst < SAMPLED_UNITS_PER_GATEWAY * self.spread
    }

    /// The window's number and start. A hash staggers windows, so that customers do not renew all at once.
    pub(super) fn window_at(&self, now: Millis, plan: &Plan) -> (u64, Millis) {
        let length = Self::window_length(plan);
        let shift = (self.salt % 1024) as f64 / 1024.0 * length;
        let number = ((now + shift) / length).floor();
        (number as u64, number * length - shift)
    }

    /// Whether a call timed out recently: the reply may still come, and another call would load the counter.
    pub(super) fn late_reply_due(&self, now: Millis, timeout: Millis) -> bool {
        self.unanswered.last().is_some_and(|(_, _, at)| now < at + timeout * SILENT_AFTER)
    }

    /// Refills the tokens and enters the current window, where leases start at 0. Negative tokens become 0:
    /// the count can exceed the quota by leases that no gateway received or that gateways are returning.
    pub(super) fn roll_window(&mut self, now: Millis, plan: &Plan) {
        self.tokens = (self.tokens + plan.rate * (now - self.tokens_at) / 1000.0).min(plan.burst);
        self.tokens_at = now;
        let (window, _) = self.window_at(now, plan);
        if window != self.window {
            self.tokens = (self.tokens + self.lease).clamp(0.0, plan.burst);
            (self.window, self.lease, self.added, self.last_total) = (window, 0.0, 0.0, 0.0);
            self.unanswered.clear();
        }
    }

    /// The smoothed demand of `LEASE_SHARE` of a window, at most this gateway's even part of scarce tokens.
    pub(super) fn demand_lease(&self, plan: &Plan) -> f64 {
        let target = self.demand * Self::window_length(plan) * LEASE_SHARE;
        target.min(self.tokens * SCARCE_SHARE / self.spread).floor()
    }

    /// The lease to request: an even part of plentiful tokens, else smoothed demand, and at least `need`.
    pub(super) fn lease_size(&self, need: f64, plan: &Plan) -> f64 {
        let plenty = (self.tokens - plan.burst * SCARCE_SHARE) / self.spread;
        let want =
            if self.known { self.demand_lease(plan).max(plenty.ceil()) } else { plan.burst / self.spread };
        need.max(want.floor()).max(0.0)
    }

    /// Updates the tokens from a total; keeps the part of the lease that fits and returns the rest. In a
    /// large fleet without counter silence in this window, an unknown customer also gets the window's refill.
    pub(super) fn update(&mut self, total: f64, lease: f64, debt: f64, plan: &Plan, back_at: Option<Millis>) {
        let began = self.window_at(self.tokens_at, plan).1;
        let since = if back_at.is_some_and(|back| back < began) { began } else { self.tokens_at };
        self.added += lease + debt;
        if !self.known {
            let given = plan.rate * (self.tokens_at - since) / 1000.0;
            self.tokens = (Self::initial_tokens(plan) + given).min(plan.burst) - total;
            self.known = true;
        } else if total + 1e-6 < self.added {
            // The counter lost the count: report this gateway's units again, or they could be leased twice.
            self.debt += self.added - total;
            self.tokens -= lease;
        } else {
            self.tokens = (self.tokens - (total - self.last_total - debt)).min(plan.burst);
        }
        self.last_total = total;
        self.lease += lease;
        if self.tokens < 0.0 {
            let back = self.lease.min((-self.tokens).ceil()).min(lease);
            self.lease -= back;
            self.debt -= back;
            self.tokens += back;
        }
    }

    /// Spends from the even slice of the last known tokens while the counter is silent. A slice below one
    /// unit is rounded at random: otherwise no gateway could spend the units of all slices together.
    pub(super) fn spend_slice(&mut self, units: f64, now: Millis, plan: &Plan, random: f64) -> bool {
        let even = self.tokens.max(0.0) / self.spread;
        let (held, at) = self.slice.unwrap_or(((even + random).floor().max(even), now));
        let filled = held + plan.rate * (now - at) / 1000.0 / self.spread;
        let held = filled.min((plan.burst / self.spread).max(units));
        let fits = held >= units;
        let used = if fits { units } else { 0.0 };
        self.slice = Some((held - used, now));
        (self.debt, self.tokens) = (self.debt + used, self.tokens - used);
        fits
    }
}

impl Gateway {
    pub(super) fn counter_silent(&self) -> bool {
        let gap = self.now - self.last_counter_reply;
        !self.settings.counter || self.failed_calls > 1 && gap > self.settings.counter_timeout * SILENT_AFTER
    }

    /// The quota gate: spends from the lease, from the slice if the counter is silent, or refuses once lease
    /// and tokens are spent. Returns true if the request has to wait for a total.
    pub(super) fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let (now, silent) = (self.now, self.counter_silent());
        let Some(request) = self.requests.get(&id) else { return false };
        let (name, units) = (request.customer.clone(), request.units);
        let Some(customer) = self.customers.get_mut(&name) else { return false };
        let plan = &self.settings.plans[customer.plan];
        customer.roll_window(now, plan);
        let left = customer.tokens + customer.lease;
        if plan.rate <= 0.0 {
            self.submit(id, out);
        } else if customer.sampled(plan) {
            return self.admit_sampled(id, out);
        } else if customer.waiting.is_empty() && customer.lease >= units {
            customer.lease -= units;
            let target = customer.demand_lease(plan);
            if !silent && target >= 1.0 && customer.lease < target * RENEW_SHARE {
                self.call_counter(&name, out);
            }
            self.submit(id, out);
        } else if silent {
            self.admit_from_slice(id, out);
            if self.calls.is_empty() && self.chance() < self.call_share {
                self.call_counter(&name, out);
            }
        } else if customer.known && (left < units || now < customer.next_call_at) {
            let short = (units - left).max((customer.next_call_at - now) * plan.rate / 1000.0);
            self.refuse_over_quota(id, short, plan.rate, out);
        } else {
            return self.wait_for_total(id, out);
        }
        false
    }

    pub(super) fn wait_for_total(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        customer.waiting.push_back(id);
        let until = request.arrived + self.settings.classes[request.class].latency_target * LEASE_WAIT_SHARE;
        self.hold(id, Stage::AwaitingLease, until, out);
        true
    }

    /// The gate of a sampled quota: counts the units of a random share of the first tries, weighted by the
    /// inverse of that share. Clients' repeats are not counted: the few calls are reserved for first tries.
    pub(super) fn admit_sampled(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chance = self.chance();
        let Some(request) = self.requests.get(&id) else { return false };
        let calls = self.settings.counter && !request.repeat && chance < self.call_share;
        let Some(customer) = self.customers.get(&request.customer) else { return false };
        if calls && customer.call.is_none() {
            return self.wait_for_total(id, out);
        }
        self.admit_by_odds(id, out);
        false
    }

    /// Decides on a request of a sampled quota without a total, by the first totals of the plan's customers:
    /// all first tries pass while the worth of those within the quota exceeds the net cost of the others.
    /// The customer's own last total is ignored: it dates from a demand peak, and units may be free again.
    pub(super) fn admit_by_odds(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let chance = self.chance();
        let Some(request) = self.requests.get(&id) else { return };
        let plan = &self.settings.plans[request.plan];
        let odds = if request.repeat { 0.0 } else { self.plan_odds[request.plan] };
        let pays = odds > (1.0 - odds) * (plan.over_cost - plan.over_worth);
        if pays || chance < odds {
            self.requests.entry(id).and_modify(|r| r.unverified = true);
            return self.submit(id, out);
        }
        self.refuse_over_quota(id, request.units, plan.rate, out);
    }

    /// Handles a total of a sampled quota: admits requests up to the units granted in the window so far.
    pub(super) fn on_sampled_total(&mut self, name: &Name, mut used: f64, lease: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        let rate = plan.rate;
        let since = rate * (now - customer.window_at(now, plan).1) / 1000.0;
        // A counted request has the weight of several uncounted ones, so its weight may exceed the quota.
        let slack = lease - lease * self.call_share;
        let granted = (plan.burst * SAMPLED_START_SHARE + since).min(plan.burst) + slack;
        let waiting = std::mem::take(&mut customer.waiting);
        if !std::mem::replace(&mut customer.known, true) {
            let odds = &mut self.plan_odds[customer.plan];
            *odds += NEWEST_WEIGHT * (f64::from(u8::from(used < granted)) - *odds);
        }
        for id in waiting {
            used += self.requests.get(&id).map_or(0.0, |r| r.units);
            let over = used - granted;
            if over <= 0.0 { self.submit(id, out) } else { self.refuse_over_quota(id, over, rate, out) }
        }
    }

    pub(super) fn refuse_over_quota(&mut self, id: RequestId, short: f64, rate: f64, out: &mut Vec<Action>) {
        let wait = short / rate.max(1e-9) * 1000.0 * (1.0 + 0.5 * self.chance());
        self.refuse(id, wait, out);
    }

    /// Admits a request from this gateway's even slice while the counter is silent or slow, or refuses it.
    pub(super) fn admit_from_slice(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let random = if self.large_fleet() { self.chance() } else { 0.0 };
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let plan = &self.settings.plans[request.plan];
        customer.waiting.retain(|w| *w != id);
        if customer.sampled(plan) {
            return self.admit_by_odds(id, out);
        }
        customer.roll_window(self.now, plan);
        if customer.spend_slice(request.units, self.now, plan, random) {
            return self.submit(id, out);
        }
        let short = request.units - customer.slice.map_or(0.0, |s| s.0);
        let rate = plan.rate / customer.spread;
        self.refuse_over_quota(id, short, rate, out);
    }
}
