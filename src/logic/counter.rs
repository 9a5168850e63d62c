//! The counter: calls that add blocks, totals that come, late or never.

use super::*;

impl Gateway {
    /// Adds a block to the customer's count: one call out for each name, and a bound on all.
    pub(super) fn ask(&mut self, name: &Name, out: &mut Vec<Action>) {
        let (many, timeout) = (self.many(), self.settings.counter_timeout);
        let Some(customer) = self.customers.get_mut(name) else { return };
        let full = self.calls.len() as f64 >= (CALLS_MOST * self.ease).max(1.0);
        let late_due = many && customer.late_due(self.now, timeout);
        if customer.call.is_some() || !self.settings.counter || full || late_due {
            return;
        }
        let plan = &self.settings.plans[customer.plan];
        customer.roll(self.now, plan);
        let waiting = customer.waiting.iter().filter_map(|id| self.requests.get(id));
        let block = if customer.thin(plan) {
            waiting.map(|r| r.units).sum::<f64>() / self.ease
        } else {
            let need: f64 = waiting.map(|r| r.units).sum();
            (customer.block(need.min(customer.store.max(1.0)), plan) - customer.lease).max(0.0)
        };
        let owed = std::mem::take(&mut customer.owed);
        let count = mix(customer.salt ^ customer.window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 1;
        customer.call = Some((customer.window, block, owed));
        self.calls.insert(count, name.clone());
        let ttl = (Customer::turn(plan) * IDLE_TURNS).min(KEEP_MOST);
        out.push(Action::AddToCounter { name: count, amount: block + owed, ttl });
    }

    pub(super) fn on_counted(
        &mut self, count: u64, outcome: CountOutcome, latency: Millis, out: &mut Vec<Action>,
    ) {
        if let CountOutcome::Late { total, amount } = outcome {
            return self.counted_late(count, total, amount, out);
        }
        let Some(name) = self.calls.remove(&count) else { return };
        let share = if self.many() { EASE_SHARE_MANY } else { EASE_SHARE };
        let quick = self.settings.counter_timeout * share;
        let slow = if matches!(outcome, CountOutcome::Total(_)) { latency / quick } else { f64::INFINITY };
        let step = EASE_STEP * (1.0 - slow).max(-2.0);
        self.ease = (self.ease * (1.0 + step)).clamp(EASE_LEAST, 1.0);
        let CountOutcome::Total(total) = outcome else {
            return self.silent(count, name, outcome == CountOutcome::Unknown, out);
        };
        if std::mem::take(&mut self.told_silent) {
            self.back_at = self.now;
            out.push(Action::Log("counter back".into()));
        }
        (self.silences, self.counter_heard) = (0, self.now);
        self.granted(&name, total, out);
    }

    /// A total came: learn the store from it, keep what fits, give the rest back, serve who waits.
    pub(super) fn granted(&mut self, name: &Name, total: f64, out: &mut Vec<Action>) {
        let many = self.many();
        let Some(customer) = self.customers.get_mut(name) else { return };
        let Some((window, block, owed)) = customer.call.take() else { return };
        let plan = &self.settings.plans[customer.plan];
        if customer.thin(plan) {
            return self.granted_thin(name, total - block - owed, block, out);
        }
        customer.roll(self.now, plan);
        let slice = customer.slice.take();
        if plan.ceiling_rate > 0.0 && customer.known && customer.heard < self.back_at {
            // Guards against a counter that comes back empty: what others spent in the silence is told
            // nowhere. Only the own slice (or an unknown customer's start) is sure to be left.
            customer.store = customer.store.min(slice.map_or(Customer::start_of(plan), |(held, _)| held));
        }
        customer.heard = self.now;
        if window == customer.window {
            customer.learn(total, block, owed, plan, many.then_some(self.back_at));
        }
        self.serve_waiting(name, out);
    }

    /// Hands out what a total has left. Of a spent quota the rate gives one unit at a time, for which each of
    /// many would ask at once, and all but one give theirs back: they ask again at times drawn over the time
    /// in which each has a unit coming.
    pub(super) fn serve_waiting(&mut self, name: &Name, out: &mut Vec<Action>) {
        let (many, luck) = (self.many(), self.chance());
        let Some(customer) = self.customers.get_mut(name) else { return };
        if many && customer.known {
            let spent = customer.store + customer.lease < 1.0;
            let share = customer.spread / self.settings.plans[customer.plan].rate.max(1e-9) * 1000.0;
            customer.ask_from = if spent { self.now + luck * share * ASK_AGAIN } else { self.now };
        }
        let waiting = std::mem::take(&mut customer.waiting);
        let give_back = customer.owed <= -1.0;
        let wait = waiting.into_iter().filter(|id| self.admit(*id, out)).count();
        if wait > 0 || give_back {
            self.ask(name, out);
        }
    }

    /// A call taken for lost has counted: its block is in hand after all, and what was owed is told. Else the
    /// count holds units that nobody can spend, and a slow counter eats up the quotas. Of many gateways each
    /// makes few calls, so that two late ones in a row look like silence: here is the proof that it is none.
    pub(super) fn counted_late(&mut self, count: u64, total: f64, amount: f64, out: &mut Vec<Action>) {
        let many = self.many();
        if many {
            (self.silences, self.counter_heard) = (0, self.now);
        }
        let Some(name) = self.unanswered.get(&count).cloned() else { return };
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.roll(self.now, plan);
        let same = |(block, owed, _): &(f64, f64, Millis)| (block + owed - amount).abs() < 1e-6;
        if let Some(at) = customer.doubts.iter().position(same) {
            let (block, owed, _) = customer.doubts.remove(at);
            if customer.thin(plan) {
                return self.granted_thin(&name, total - block - owed, block, out);
            }
            customer.owed -= owed.max(0.0);
            if total < customer.seen {
                // A newer total holds it already.
                customer.added += amount;
                (customer.lease, customer.store) = (customer.lease + block, customer.store + owed);
            } else {
                customer.learn(total, block, owed, plan, many.then_some(self.back_at));
            }
            if many {
                self.serve_waiting(&name, out);
            }
        }
    }

    /// No answer: the silence rule decides for who waits, and a block that may have counted is let go. Many
    /// gateways crowd the counter at times, so there who waits goes on to wait for the answer while it can.
    pub(super) fn silent(&mut self, count: u64, name: Name, may_have_counted: bool, out: &mut Vec<Action>) {
        self.silences += 1;
        if self.counter_silent() && !std::mem::replace(&mut self.told_silent, true) {
            out.push(Action::Log("counter silent: spending blocks and even slices".into()));
        }
        let many = self.many();
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let (window, block, owed) = customer.call.take().unwrap_or_default();
        customer.owed += if may_have_counted { owed.max(0.0) } else { owed };
        let thin = customer.thin(&self.settings.plans[customer.plan]);
        if may_have_counted && window == customer.window && (many || !thin) {
            customer.doubts.push((block, owed, self.now));
            self.unanswered.insert(count, name);
            if many && !self.told_silent {
                return;
            }
        }
        for id in std::mem::take(&mut customer.waiting) {
            self.by_slice(id, out);
        }
    }
}
