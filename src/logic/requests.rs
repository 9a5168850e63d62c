//! Requests: from arrival to the one final answer, with all that is held, sent and tried again.

use super::*;

/// A request is held (for its open cap, for a backend with room) at most this share of its aim.
pub(super) const HOLD_SHARE: f64 = 0.3;
/// An answer must leave this many ticks before the client's patience ends.
pub(super) const LAST_TICKS: f64 = 2.0;
/// A safe request that may have run is tried this often at most: what two backends cannot do is costly.
pub(super) const REPEAT_MOST: u32 = 2;
/// A try that another one may follow is stalled after this share of the time in which that one is to be
/// served, but not before this many usual latencies: fewer cut off what is slow, above all in overload.
pub(super) const TRY_SHARE: f64 = 0.5;
pub(super) const TRY_LATENCIES: f64 = 6.0;
/// Half of all answers take longer than this many usual latencies: with less time left none is likely.
pub(super) const LIKELY: f64 = 0.7;
/// Further tries after one that reached a backend are at most this share of the fresh requests ...
pub(super) const RETRY_SHARE: f64 = 0.2;
/// ... and at first so many over all gateways, of which each has a few.
pub(super) const RETRY_BURST: f64 = 30.0;
pub(super) const RETRY_FEW: f64 = 2.0;

/// The most further tries that one gateway saves up: few, where many gateways do.
pub(super) fn retry_most(settings: &Settings) -> f64 {
    (RETRY_BURST / f64::from(settings.gateways)).max(RETRY_FEW)
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
        let answer_by = arrival.deadline - LAST_TICKS * self.settings.tick;
        let answer_by = answer_by.min(self.ends.unwrap_or(f64::INFINITY));
        let (customer, repeat, arrived, rest) = (name.clone(), arrival.repeat, now, Request::default());
        let request = Request { customer, plan, class, units, repeat, arrived, answer_by, ..rest };
        self.requests.insert(id, request);
        let customer = self.customers.entry(name.clone()).or_insert_with(|| {
            let (salt, store) = (hash(&name) >> 8, Customer::start_of(&self.settings.plans[plan]));
            Customer { plan, salt, store, store_at: now, demand_at: now, ..Customer::default() }
        });
        let gateways = self.settings.gateways;
        customer.spread = f64::from(arrival.spread.clamp(1, gateways));
        customer.place =
            (self.settings.gateway_index + gateways - arrival.first_gateway % gateways) % gateways;
        let span = Customer::turn(&self.settings.plans[plan]) * DEMAND_SHARE;
        customer.demand = customer.demand * (-(now - customer.demand_at) / span).exp() + units / span;
        customer.demand_at = now;
        if self.admit(id, out) {
            self.ask(&name, out);
        }
    }

    pub(super) fn hold(&mut self, id: RequestId, stage: Stage, until: Millis, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.hold_until = until.min(request.answer_by - LIKELY * self.class_latency[request.class]);
        let after = (request.hold_until - self.now).max(0.0);
        out.push(Action::SetTimer { after, token: id * 2 });
    }

    /// Sends a request on, or has it wait in line: those worth more first. Refuses early in overload: a line
    /// longer than what is out would not be served in time.
    pub(super) fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queue;
        request.placed.get_or_insert(self.now);
        let (fresh, class, blind) = (request.attempts == 0, request.class, request.blind);
        if self.now + LIKELY * self.class_latency[class] > request.answer_by {
            // Who refuses all learns no more of latencies: what it believes of them fades.
            self.class_latency[class] *= 1.0 - USUAL_WEIGHT;
            request.answer_by = self.now;
            self.too_late += 1;
            return self.give_up(id, out);
        }
        if fresh && !self.taken(class, blind) {
            return self.give_up(id, out);
        }
        if self.dispatch(id, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let hold = self.settings.classes[request.class].latency_target * HOLD_SHARE;
        let until = if fresh { request.arrived } else { self.now } + hold;
        if until <= self.now || fresh && self.queue.len() as f64 >= self.room().max(1.0) {
            return self.give_up(id, out);
        }
        let worth = |r: &Request| self.settings.classes[r.class].worth;
        let less = |q: &RequestId| self.requests.get(q).is_some_and(|r| worth(r) < worth(request));
        let at = self.queue.iter().position(less).unwrap_or(self.queue.len());
        self.queue.insert(at, id);
        self.hold(id, Stage::Queue, until, out);
    }

    pub(super) fn drain_queue(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Queue) && !self.dispatch(id, out) {
                self.queue.push_back(id);
            }
        }
    }

    pub(super) fn on_hold_over(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let over = |request: &&Request| self.now + 1e-6 >= request.hold_until;
        match self.requests.get(&id).filter(over).map(|request| request.stage) {
            Some(Stage::Queue) => self.give_up(id, out),
            Some(Stage::Block) => self.by_slice(id, out),
            Some(Stage::Out) => self.on_stall(id, out),
            None => {}
        }
    }

    /// The one final answer of a request that gets no further attempt: refused where that is harmless.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let repeatable = class.idempotency == Idempotency::Safe
            || class.idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
        if request.may_have_run.is_none() || repeatable && self.now < request.answer_by {
            let wait = self.settings.max_retry_after * (0.3 + 0.4 * self.chance());
            self.refuse(id, wait, out);
        } else {
            self.forget(id);
            out.push(Action::Fail { id });
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId, wait: Millis, out: &mut Vec<Action>) {
        self.forget(id);
        out.push(Action::Refuse { id, retry_after: wait.clamp(0.0, self.settings.max_retry_after) });
    }

    /// Units of a request that was never sent go back to its customer's block.
    pub(super) fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        match request.stage {
            Stage::Block => customer.waiting.retain(|w| *w != id),
            Stage::Out => customer.open = customer.open.saturating_sub(1),
            Stage::Queue if request.attempts == 0 => customer.lease += request.units,
            Stage::Queue => {}
        }
    }

    pub(super) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chosen = if self.open_allowed(id) { self.pick(id) } else { None };
        let Some(name) = chosen else { return false };
        let stalled_after = self.requests.get(&id).and_then(|request| self.stalled_after(request));
        let (request, backend) = (self.requests.get_mut(&id), self.backends.get_mut(&name));
        let (Some(request), Some(backend)) = (request, backend) else { return false };
        (backend.out, backend.sent) = (backend.out + 1, self.now);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.open += 1;
        }
        if request.attempts == 0 {
            self.retries = (self.retries + RETRY_SHARE).min(retry_most(&self.settings));
        }
        (request.stage, request.sent_at, request.attempts) = (Stage::Out, self.now, request.attempts + 1);
        request.sent_to = Some(name.clone());
        let (timeout, quota_wait) = (request.answer_by - self.now, request.placed.unwrap_or(self.now));
        out.push(Action::Send { id, backend: name, timeout, quota_wait: quota_wait - request.arrived });
        request.hold_until = stalled_after.map_or(f64::INFINITY, |after| self.now + after);
        if let Some(after) = stalled_after {
            out.push(Action::SetTimer { after, token: id * 2 });
        }
        true
    }

    /// After how long without a word the try that is to be sent now is stalled, if another one may follow:
    /// within the aim or, if answers take longer and few are late, while its client waits.
    pub(super) fn stalled_after(&self, request: &Request) -> Option<Millis> {
        let (class, usual) = (&self.settings.classes[request.class], self.class_latency[request.class]);
        let (left, aim) = (request.answer_by - self.now, request.arrived + class.latency_target - self.now);
        let share = |time: Millis| (time * TRY_SHARE).max(usual * TRY_LATENCIES);
        let times = [aim.min(left), self.useful_by(request) - self.now];
        let time = times.into_iter().find(|time| share(*time) + usual <= *time)?;
        let tries = REPEAT_MOST.min(self.settings.max_attempts);
        let again = class.idempotency != Idempotency::Unsafe
            && request.attempts + 1 < tries
            && self.settings.may_cancel;
        again.then(|| share(time))
    }

    /// Until when another try's answer is worth the load: while many are late, only up to the aim.
    pub(super) fn useful_by(&self, request: &Request) -> Millis {
        let aim = request.arrived + self.settings.classes[request.class].latency_target;
        if self.take() < 1.0 { aim.min(request.answer_by) } else { request.answer_by }
    }

    /// Calls a stalled try off while there is time for another one. Who has answered others meanwhile may be
    /// slow and gets twice as long, but its connection may have gone blind alone. Without another backend or
    /// further tries it is left to run.
    pub(super) fn on_stall(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (usual, useful_by) = (self.class_latency[request.class], self.useful_by(request));
        let at = request.sent_to.as_ref();
        let heard = at.and_then(|at| self.backends.get(at)).is_some_and(|b| b.heard > request.sent_at);
        let more = request.sent_at + usual * TRY_LATENCIES * 2.0 - self.now;
        if heard && more > 0.0 {
            let hold_until = self.now + more;
            self.requests.entry(id).and_modify(|r| r.hold_until = hold_until);
            return out.push(Action::SetTimer { after: more, token: id * 2 });
        }
        let free = |(name, b): (&Name, &Backend)| b.ready() && self.now >= b.eject_until && Some(name) != at;
        if self.retries >= 1.0 && self.now + usual <= useful_by && self.backends.iter().any(free) {
            out.push(Action::CallOff { id, attempt: request.attempts - 1 });
        }
    }

    /// The open cap, shared evenly: the gateways first in the customer's set take what does not divide.
    pub(super) fn open_allowed(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return true };
        let cap = self.settings.plans[request.plan].open;
        let (spread, place) = (customer.spread as u32, customer.place);
        cap == 0 || customer.open < (cap / spread + u32::from(place < cap % spread)).max(1)
    }

    pub(super) fn on_attempt(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if let Some(true_units) = end.true_units.filter(|_| outcome == Outcome::Served) {
            customer.owed += true_units - request.units;
            customer.store -= true_units - request.units;
        }
        if end.finished || outcome == Outcome::Served {
            return self.forget(id);
        }
        customer.open = customer.open.saturating_sub(1);
        (request.stage, request.spent) = (Stage::Queue, request.spent || end.body_consumed);
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
        if !never_ran && request.may_have_run.is_none() {
            request.may_have_run = Some((request.sent_at, end.backend));
        }
        let again = self.may_try_again(id) && self.may_load_again(outcome);
        if again { self.place(id, out) } else { self.give_up(id, out) }
    }

    /// Guards all backends against a part of them that is slow or failing: what it leaves undone would come
    /// to the others on top. A connection that never came up has loaded nobody.
    pub(super) fn may_load_again(&mut self, outcome: Outcome) -> bool {
        let free = matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent);
        let allowed = free || self.retries >= 1.0;
        self.retries -= f64::from(u8::from(allowed && !free));
        self.retries_denied += u64::from(!allowed);
        allowed
    }

    pub(super) fn may_try_again(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let (class, last) = (&self.settings.classes[request.class], LAST_TICKS * self.settings.tick);
        let allowed = match (&request.may_have_run, class.idempotency) {
            (None, _) => true,
            (_, Idempotency::Safe) => request.attempts < REPEAT_MOST,
            (Some((sent, _)), Idempotency::Keyed) => self.now - sent < class.dedup_window - last,
            (Some(_), Idempotency::Unsafe) => false,
        };
        let left = request.attempts < self.settings.max_attempts && request.answer_by > self.now;
        allowed && left && !request.spent
    }

    /// The process has little time left: so has each request, and none outlives it.
    pub(super) fn on_ending(&mut self, by: Millis, out: &mut Vec<Action>) {
        self.ends = Some(by);
        self.requests.values_mut().for_each(|r| r.answer_by = r.answer_by.min(by));
        out.push(Action::SetTimer { after: (by - self.now).max(0.0), token: ENDING_TOKEN });
    }

    pub(super) fn on_end(&mut self, out: &mut Vec<Action>) {
        let held: Vec<_> = self.requests.iter().map(|(id, r)| (*id, r.stage, r.attempts)).collect();
        for (id, stage, tries) in held {
            let call_off = Action::CallOff { id, attempt: tries.saturating_sub(1) };
            if stage == Stage::Out { out.push(call_off) } else { self.give_up(id, out) }
        }
    }
}
