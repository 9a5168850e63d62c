//! Counter calls, each of which adds a lease and a debt (units spent without a lease) to a customer's count.

use super::*;

impl Gateway {
    /// Calls the counter for a customer's lease, with at most one call per count and `MAX_CALLS` in progress.
    pub(super) fn call_counter(&mut self, name: &Name, out: &mut Vec<Action>) {
        let (large_fleet, timeout) = (self.large_fleet(), self.settings.counter_timeout);
        let Some(customer) = self.customers.get_mut(name) else { return };
        let too_many = self.calls.len() as f64 >= (MAX_CALLS * self.call_share).max(1.0);
        let late_reply_due = large_fleet && customer.late_reply_due(self.now, timeout);
        if customer.call.is_some() || !self.settings.counter || too_many || late_reply_due {
            return;
        }
        let plan = &self.settings.plans[customer.plan];
        customer.roll_window(self.now, plan);
        let waiting = customer.waiting.iter().filter_map(|id| self.requests.get(id));
        let lease = if customer.sampled(plan) {
            waiting.map(|r| r.units).sum::<f64>() / self.call_share
        } else {
            let need: f64 = waiting.map(|r| r.units).sum();
            (customer.lease_size(need.min(customer.tokens.max(1.0)), plan) - customer.lease).max(0.0)
        };
        let debt = std::mem::take(&mut customer.debt);
        let count = mix(customer.salt ^ customer.window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 1;
        customer.call = Some((customer.window, lease, debt));
        self.calls.insert(count, name.clone());
        let ttl = (Customer::window_length(plan) * IDLE_WINDOWS).min(MAX_TTL);
        out.push(Action::AddToCounter { name: count, amount: lease + debt, ttl });
    }

    pub(super) fn on_counted(
        &mut self, count: u64, outcome: CountOutcome, latency: Millis, out: &mut Vec<Action>,
    ) {
        if let CountOutcome::Late { total, amount } = outcome {
            return self.on_late_total(count, total, amount, out);
        }
        let Some(name) = self.calls.remove(&count) else { return };
        let share = if self.large_fleet() { REPLY_TARGET_SHARE_LARGE_FLEET } else { REPLY_TARGET_SHARE };
        let target = self.settings.counter_timeout * share;
        let ratio = if matches!(outcome, CountOutcome::Total(_)) { latency / target } else { f64::INFINITY };
        let step = CALL_SHARE_STEP * (1.0 - ratio).max(-2.0);
        self.call_share = (self.call_share * (1.0 + step)).clamp(MIN_CALL_SHARE, 1.0);
        let CountOutcome::Total(total) = outcome else {
            return self.on_no_reply(count, name, outcome == CountOutcome::Unknown, out);
        };
        if std::mem::take(&mut self.silence_logged) {
            self.counter_back_at = self.now;
            out.push(Action::Log("counter back".into()));
        }
        (self.failed_calls, self.last_counter_reply) = (0, self.now);
        self.on_total(&name, total, out);
    }

    pub(super) fn on_total(&mut self, name: &Name, total: f64, out: &mut Vec<Action>) {
        let large_fleet = self.large_fleet();
        let Some(customer) = self.customers.get_mut(name) else { return };
        let Some((window, lease, debt)) = customer.call.take() else { return };
        let plan = &self.settings.plans[customer.plan];
        if customer.sampled(plan) {
            return self.on_sampled_total(name, total - lease - debt, lease, out);
        }
        customer.roll_window(self.now, plan);
        let slice = customer.slice.take();
        if plan.ceiling_rate > 0.0 && customer.known && customer.last_total_at < self.counter_back_at {
            // The counter may have come back empty, without units that other gateways spent meanwhile. Only
            // this gateway's slice (or an unknown customer's initial tokens) is certain to be left.
            customer.tokens = customer.tokens.min(slice.map_or(Customer::initial_tokens(plan), |(n, _)| n));
        }
        customer.last_total_at = self.now;
        if window == customer.window {
            customer.update(total, lease, debt, plan, large_fleet.then_some(self.counter_back_at));
        }
        self.serve_waiting(name, out);
    }

    /// Serves the waiting requests after a total. A spent quota refills one unit at a time; all gateways of a
    /// large fleet would request the same unit, and all but one return it. Their next calls therefore spread
    /// at random over the time until each gateway has a unit.
    pub(super) fn serve_waiting(&mut self, name: &Name, out: &mut Vec<Action>) {
        let (large_fleet, random) = (self.large_fleet(), self.chance());
        let Some(customer) = self.customers.get_mut(name) else { return };
        if large_fleet && customer.known {
            let spent = customer.tokens + customer.lease < 1.0;
            let share = customer.spread / self.settings.plans[customer.plan].rate.max(1e-9) * 1000.0;
            customer.next_call_at = if spent { self.now + random * share * CALL_SPREAD } else { self.now };
        }
        let waiting = std::mem::take(&mut customer.waiting);
        let give_back = customer.debt <= -1.0;
        let wait = waiting.into_iter().filter(|id| self.admit(*id, out)).count();
        if wait > 0 || give_back {
            self.call_counter(name, out);
        }
    }

    /// Grants the lease of a call that timed out, and reports its debt, when the reply comes late. Otherwise
    /// the count would hold units that no gateway can spend, and slow replies would exhaust the quotas. In a
    /// large fleet the reply also ends a silence: each gateway makes few calls, and two in a row may be late.
    pub(super) fn on_late_total(&mut self, count: u64, total: f64, amount: f64, out: &mut Vec<Action>) {
        let large_fleet = self.large_fleet();
        if large_fleet {
            (self.failed_calls, self.last_counter_reply) = (0, self.now);
        }
        let Some(name) = self.lost_calls.get(&count).cloned() else { return };
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.roll_window(self.now, plan);
        let same = |(lease, debt, _): &(f64, f64, Millis)| (lease + debt - amount).abs() < 1e-6;
        if let Some(at) = customer.unanswered.iter().position(same) {
            let (lease, debt, _) = customer.unanswered.remove(at);
            if customer.sampled(plan) {
                return self.on_sampled_total(&name, total - lease - debt, lease, out);
            }
            customer.debt -= debt.max(0.0);
            if total < customer.last_total {
                // A newer total already includes the call's amount.
                customer.added += amount;
                (customer.lease, customer.tokens) = (customer.lease + lease, customer.tokens + debt);
            } else {
                customer.update(total, lease, debt, plan, large_fleet.then_some(self.counter_back_at));
            }
            if large_fleet {
                self.serve_waiting(&name, out);
            }
        }
    }

    /// Handles a call without a reply: its lease is not spent, even if it may have been counted. Waiting
    /// requests use the slice; in a large fleet, which may overload the counter, they await a late reply.
    pub(super) fn on_no_reply(&mut self, count: u64, name: Name, timed_out: bool, out: &mut Vec<Action>) {
        self.failed_calls += 1;
        if self.counter_silent() && !std::mem::replace(&mut self.silence_logged, true) {
            out.push(Action::Log("counter silent: spending blocks and even slices".into()));
        }
        let large_fleet = self.large_fleet();
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let (window, lease, debt) = customer.call.take().unwrap_or_default();
        customer.debt += if timed_out { debt.max(0.0) } else { debt };
        let sampled = customer.sampled(&self.settings.plans[customer.plan]);
        if timed_out && window == customer.window && (large_fleet || !sampled) {
            customer.unanswered.push((lease, debt, self.now));
            self.lost_calls.insert(count, name);
            if large_fleet && !self.silence_logged {
                return;
            }
        }
        for id in std::mem::take(&mut customer.waiting) {
            self.admit_from_slice(id, out);
        }
    }
}
