//! Requests: queueing, dispatch and retries, from arrival to the single final answer.

use super::*;

/// A request queues (for its concurrency cap, for a backend) for at most this share of its latency target.
pub(super) const QUEUE_WAIT_SHARE: f64 = 0.3;
/// An answer must leave this many ticks before the client's deadline.
pub(super) const RESERVED_TICKS: f64 = 2.0;
/// Maximum attempts of a safe request that may have run: a request that fails twice tends to be costly.
pub(super) const MAX_SAFE_ATTEMPTS: u32 = 2;
/// An attempt counts as stalled after this share of the request's time, but not before this many mean
/// latencies: a lower multiple would cut off slow answers, above all under overload.
pub(super) const STALL_SHARE: f64 = 0.5;
pub(super) const STALL_LATENCIES: f64 = 6.0;
/// Half of all answers take longer than this many mean latencies: with less time left an answer is unlikely.
pub(super) const MEDIAN_RATIO: f64 = 0.7;
/// Retry budget earned by each fresh request; a retry of an attempt that reached a backend costs 1.
pub(super) const RETRY_RATIO: f64 = 0.2;
/// Initial and maximum retry budget of all gateways together. Each gateway has at least `MIN_RETRY_BURST`.
pub(super) const FLEET_RETRY_BURST: f64 = 30.0;
pub(super) const MIN_RETRY_BURST: f64 = 2.0;

pub(super) fn max_retry_budget(settings: &Settings) -> f64 {
    (FLEET_RETRY_BURST / f64::from(settings.gateways)).max(MIN_RETRY_BURST)
}

impl Gateway {
    pub(super) fn on_request(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let Arrival { id, customer: name, .. } = arrival;
        let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
        let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return out.push(Action::Refuse { id, retry_after: 0.0 });
        };
        let now = self.now;
        let units = if arrival.units.is_finite() { arrival.units.max(0.0) } else { 1.0 };
        let answer_by = arrival.deadline - RESERVED_TICKS * self.settings.tick;
        let answer_by = answer_by.min(self.shutdown_at.unwrap_or(f64::INFINITY));
        let (customer, repeat, arrived, rest) = (name.clone(), arrival.repeat, now, Request::default());
        let request = Request { customer, plan, class, units, repeat, arrived, answer_by, ..rest };
        self.requests.insert(id, request);
        let customer = self.customers.entry(name.clone()).or_insert_with(|| {
            let (salt, tokens) = (hash(&name) >> 8, Customer::initial_tokens(&self.settings.plans[plan]));
            Customer { plan, salt, tokens, tokens_at: now, demand_at: now, ..Customer::default() }
        });
        let fleet = self.settings.gateways;
        customer.spread = f64::from(arrival.spread.clamp(1, fleet));
        customer.place = (self.settings.gateway_index + fleet - arrival.first_gateway % fleet) % fleet;
        let span = Customer::window_length(&self.settings.plans[plan]) * DEMAND_WINDOW_SHARE;
        customer.demand = customer.demand * (-(now - customer.demand_at) / span).exp() + units / span;
        customer.demand_at = now;
        if self.admit(id, out) {
            self.call_counter(&name, out);
        }
    }

    pub(super) fn hold(&mut self, id: RequestId, stage: Stage, until: Millis, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.hold_until = until.min(request.answer_by - MEDIAN_RATIO * self.class_latency[request.class]);
        let after = (request.hold_until - self.now).max(0.0);
        out.push(Action::SetTimer { after, token: id * 2 });
    }

    /// Dispatches a request, or queues it in order of worth. Refuses early under overload: a queue longer
    /// than the total in-flight limit would not be served in time.
    pub(super) fn submit(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queued;
        request.admitted_at.get_or_insert(self.now);
        let (fresh, class, unverified) = (request.attempts == 0, request.class, request.unverified);
        if self.now + MEDIAN_RATIO * self.class_latency[class] > request.answer_by {
            // A gateway that refuses everything measures no latencies, so the mean has to decay.
            self.class_latency[class] *= 1.0 - LATENCY_WEIGHT;
            request.answer_by = self.now;
            self.too_late += 1;
            return self.give_up(id, out);
        }
        if fresh && !self.admits_fresh(class, unverified) {
            return self.give_up(id, out);
        }
        if self.dispatch(id, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let hold = self.settings.classes[request.class].latency_target * QUEUE_WAIT_SHARE;
        let until = if fresh { request.arrived } else { self.now } + hold;
        if until <= self.now || fresh && self.queue.len() as f64 >= self.total_limit().max(1.0) {
            return self.give_up(id, out);
        }
        let worth = |r: &Request| self.settings.classes[r.class].worth;
        let cheaper = |q: &RequestId| self.requests.get(q).is_some_and(|r| worth(r) < worth(request));
        let at = self.queue.iter().position(cheaper).unwrap_or(self.queue.len());
        self.queue.insert(at, id);
        self.hold(id, Stage::Queued, until, out);
    }

    pub(super) fn drain_queue(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Queued) && !self.dispatch(id, out) {
                self.queue.push_back(id);
            }
        }
    }

    pub(super) fn on_hold_timeout(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let expired = |request: &&Request| self.now + 1e-6 >= request.hold_until;
        match self.requests.get(&id).filter(expired).map(|request| request.stage) {
            Some(Stage::Queued) => self.give_up(id, out),
            Some(Stage::AwaitingLease) => self.admit_from_slice(id, out),
            Some(Stage::Sent) => self.on_stall(id, out),
            None => {}
        }
    }

    /// Sends the final answer of a request without further attempts: a refusal where a repeat is harmless.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let repeatable = class.idempotency == Idempotency::Safe
            || class.idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
        if request.may_have_run.is_none() || repeatable && self.now < request.answer_by {
            let wait = self.settings.max_retry_after * (0.3 + 0.4 * self.chance());
            self.refuse(id, wait, out);
        } else {
            self.remove_request(id);
            out.push(Action::Fail { id });
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId, wait: Millis, out: &mut Vec<Action>) {
        self.remove_request(id);
        out.push(Action::Refuse { id, retry_after: wait.clamp(0.0, self.settings.max_retry_after) });
    }

    /// Removes a request. The units of a request that was never sent go back to its customer's lease.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        match request.stage {
            Stage::AwaitingLease => customer.waiting.retain(|w| *w != id),
            Stage::Sent => customer.in_flight = customer.in_flight.saturating_sub(1),
            Stage::Queued if request.attempts == 0 => customer.lease += request.units,
            Stage::Queued => {}
        }
    }

    pub(super) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chosen = if self.concurrency_allowed(id) { self.pick(id) } else { None };
        let Some(name) = chosen else { return false };
        let stall_timeout = self.requests.get(&id).and_then(|request| self.stall_timeout(request));
        let (request, backend) = (self.requests.get_mut(&id), self.backends.get_mut(&name));
        let (Some(request), Some(backend)) = (request, backend) else { return false };
        (backend.in_flight, backend.sent) = (backend.in_flight + 1, self.now);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.in_flight += 1;
        }
        if request.attempts == 0 {
            self.retry_budget = (self.retry_budget + RETRY_RATIO).min(max_retry_budget(&self.settings));
        }
        (request.stage, request.sent_at, request.attempts) = (Stage::Sent, self.now, request.attempts + 1);
        request.sent_to = Some(name.clone());
        let (timeout, quota_wait) = (request.answer_by - self.now, request.admitted_at.unwrap_or(self.now));
        out.push(Action::Send { id, backend: name, timeout, quota_wait: quota_wait - request.arrived });
        request.hold_until = stall_timeout.map_or(f64::INFINITY, |after| self.now + after);
        if let Some(after) = stall_timeout {
            out.push(Action::SetTimer { after, token: id * 2 });
        }
        true
    }

    /// The time after which the attempt about to be sent counts as stalled, if a retry may follow: within the
    /// latency target or, if answers take longer than that and few are late, within the client's deadline.
    pub(super) fn stall_timeout(&self, request: &Request) -> Option<Millis> {
        let (class, mean) = (&self.settings.classes[request.class], self.class_latency[request.class]);
        let (left, goal) = (request.answer_by - self.now, request.arrived + class.latency_target - self.now);
        let timeout = |time: Millis| (time * STALL_SHARE).max(mean * STALL_LATENCIES);
        let times = [goal.min(left), self.retry_deadline(request) - self.now];
        let time = times.into_iter().find(|time| timeout(*time) + mean <= *time)?;
        let max_attempts = MAX_SAFE_ATTEMPTS.min(self.settings.max_attempts);
        let may_retry = class.idempotency != Idempotency::Unsafe
            && request.attempts + 1 < max_attempts
            && self.settings.may_cancel;
        may_retry.then(|| timeout(time))
    }

    /// The latest time for the answer to a retry: only the latency target while many answers are late.
    pub(super) fn retry_deadline(&self, request: &Request) -> Millis {
        let target = request.arrived + self.settings.classes[request.class].latency_target;
        if self.admit_share() < 1.0 { target.min(request.answer_by) } else { request.answer_by }
    }

    /// Cancels a stalled attempt while there is time for a retry. If the backend has answered other requests
    /// since, the attempt gets twice as long: the backend may be slow, or only this connection dead. Without
    /// another backend or a retry budget the attempt is left to run.
    pub(super) fn on_stall(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (mean, retry_deadline) = (self.class_latency[request.class], self.retry_deadline(request));
        let at = request.sent_to.as_ref();
        let alive = at.and_then(|at| self.backends.get(at)).is_some_and(|b| b.answered_at > request.sent_at);
        let more = request.sent_at + mean * STALL_LATENCIES * 2.0 - self.now;
        if alive && more > 0.0 {
            let hold_until = self.now + more;
            self.requests.entry(id).and_modify(|r| r.hold_until = hold_until);
            return out.push(Action::SetTimer { after: more, token: id * 2 });
        }
        let spare = |(name, b): (&Name, &Backend)| b.ready() && self.now >= b.eject_until && Some(name) != at;
        if self.retry_budget >= 1.0 && self.now + mean <= retry_deadline && self.backends.iter().any(spare) {
            out.push(Action::CallOff { id, attempt: request.attempts - 1 });
        }
    }

    /// The concurrency cap, split evenly; the first gateways of the customer's set share the remainder.
    pub(super) fn concurrency_allowed(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return true };
        let cap = self.settings.plans[request.plan].open;
        let (spread, place) = (customer.spread as u32, customer.place);
        cap == 0 || customer.in_flight < (cap / spread + u32::from(place < cap % spread)).max(1)
    }

    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if let Some(true_units) = end.true_units.filter(|_| outcome == Outcome::Served) {
            customer.debt += true_units - request.units;
            customer.tokens -= true_units - request.units;
        }
        if end.finished || outcome == Outcome::Served {
            return self.remove_request(id);
        }
        customer.in_flight = customer.in_flight.saturating_sub(1);
        (request.stage, request.body_consumed) = (Stage::Queued, request.body_consumed || end.body_consumed);
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
        if !never_ran && request.may_have_run.is_none() {
            request.may_have_run = Some((request.sent_at, end.backend));
        }
        let retry = self.retry_allowed(id) && self.spend_retry(outcome);
        if retry { self.submit(id, out) } else { self.give_up(id, out) }
    }

    /// Spends a retry from the budget, which protects healthy backends from the retries of slow or failing
    /// ones. A failed connection or an unsent attempt loaded no backend and costs no budget.
    pub(super) fn spend_retry(&mut self, outcome: Outcome) -> bool {
        let free = matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent);
        let allowed = free || self.retry_budget >= 1.0;
        self.retry_budget -= f64::from(u8::from(allowed && !free));
        self.retries_denied += u64::from(!allowed);
        allowed
    }

    pub(super) fn retry_allowed(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let (class, reserve) = (&self.settings.classes[request.class], RESERVED_TICKS * self.settings.tick);
        let allowed = match (&request.may_have_run, class.idempotency) {
            (None, _) => true,
            (_, Idempotency::Safe) => request.attempts < MAX_SAFE_ATTEMPTS,
            (Some((sent, _)), Idempotency::Keyed) => self.now - sent < class.dedup_window - reserve,
            (Some(_), Idempotency::Unsafe) => false,
        };
        let possible = request.attempts < self.settings.max_attempts && request.answer_by > self.now;
        allowed && possible && !request.body_consumed
    }

    pub(super) fn on_shutdown(&mut self, end: Millis, out: &mut Vec<Action>) {
        self.shutdown_at = Some(end);
        self.requests.values_mut().for_each(|r| r.answer_by = r.answer_by.min(end));
        out.push(Action::SetTimer { after: (end - self.now).max(0.0), token: SHUTDOWN_TOKEN });
    }

    pub(super) fn on_shutdown_deadline(&mut self, out: &mut Vec<Action>) {
        let open: Vec<_> = self.requests.iter().map(|(id, r)| (*id, r.stage, r.attempts)).collect();
        for (id, stage, attempts) in open {
            let call_off = Action::CallOff { id, attempt: attempts.saturating_sub(1) };
            if stage == Stage::Sent { out.push(call_off) } else { self.give_up(id, out) }
        }
    }
}
