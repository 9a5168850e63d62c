//! Test settings, and a harness that drives one gateway with scripted events.
#![allow(dead_code)]

use doorcourse::*;

/// Classes: safe, keyed, unsafe. Plans with burst 10 and 5 units per second: `plain`, `ceiling` (a hard ceiling of 1.6
/// times the quota) and `capped` (two attempts in flight).
pub fn settings() -> Settings {
    let class = |name: &str, idempotency, dedup_scope| Class {
        name: name.into(),
        latency_target: 800.0,
        idempotency,
        dedup_scope,
        dedup_window: 4000.0,
        worth: 1.0,
        late_worth: 0.0,
    };
    let plan = |name: &str, open, ceiling: f64| Plan {
        name: name.into(),
        rate: 5.0,
        burst: 10.0,
        open,
        ceiling_rate: 5.0 * ceiling,
        ceiling_burst: 10.0 * ceiling,
        ceiling_slack: ceiling,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 1.0,
    };
    Settings {
        gateways: 2,
        zone: "z1".into(),
        tick: 4.0,
        classes: vec![
            class("safe", Idempotency::Safe, DedupScope::All),
            class("keyed", Idempotency::Keyed, DedupScope::Cell),
            class("unsafe", Idempotency::Unsafe, DedupScope::All),
        ],
        plans: vec![plan("plain", 0, 0.0), plan("ceiling", 0, 1.6), plan("capped", 2, 0.0)],
        counter: true,
        counter_timeout: 50.0,
        max_units: 1.0,
        probes: true,
        may_cancel: true,
        max_attempts: 4,
        max_retry_after: 2000.0,
        cold_capacity: 0.2,
        warmup_time: 18_000.0,
        overload_factor: 2.0,
        overload_window: 3000.0,
        ..Settings::default()
    }
}

/// An entry of the backend list. Backends whose names start with `a` are in cell 0, all others in cell 1.
pub fn backend(name: &str, state: BackendState, started: Option<Millis>) -> BackendEntry {
    let cell = u64::from(!name.starts_with('a'));
    BackendEntry { name: name.into(), zone: "z1".into(), cell, state, started }
}

/// A gateway, its clock and its actions at the last event.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Millis,
    pub actions: Vec<Action>,
}

impl Harness {
    pub fn new(settings: Settings, backends: &[&str]) -> Self {
        Self::seeded(settings, 1, backends)
    }

    pub fn seeded(settings: Settings, seed: u64, backends: &[&str]) -> Self {
        let gateway = Gateway::new(settings, seed).expect("usable settings");
        let mut harness = Self { gateway, now: 1000.0, actions: Vec::new() };
        let list = backends.iter().map(|name| backend(name, BackendState::Ready, None)).collect();
        harness.handle(Event::BackendList(list));
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.gateway.handle(self.now, event, &mut self.actions);
        self.actions.clone()
    }

    /// Advances the clock, then expires the housekeeping timer and the hold timers of the given requests.
    pub fn advance(&mut self, span: Millis, requests: &[RequestId]) -> Vec<Action> {
        self.now += span;
        let mut all = self.handle(Event::Timer { token: 1 });
        for id in requests {
            all.extend(self.handle(Event::Timer { token: id * 2 }));
        }
        all
    }

    pub fn request(&mut self, id: RequestId, customer: &str, plan: &str, class: &str) -> Vec<Action> {
        self.request_from(id, customer, plan, class, false, 2)
    }

    /// Sends a request of a customer with `spread` gateways, as a first try or as a client's repeat.
    pub fn request_from(
        &mut self, id: RequestId, customer: &str, plan: &str, class: &str, repeat: bool, spread: u32,
    ) -> Vec<Action> {
        let arrival = self.arrival(id, customer, plan, class);
        self.handle(Event::Request(Arrival { repeat, spread, ..arrival }))
    }

    /// A first try of a customer with two gateways, whose client waits for 2 s.
    pub fn arrival(&self, id: RequestId, customer: &str, plan: &str, class: &str) -> Arrival {
        Arrival {
            id,
            customer: customer.into(),
            plan: plan.into(),
            class: class.into(),
            units: 1.0,
            repeat: false,
            deadline: self.now + 2000.0,
            first_gateway: 0,
            spread: 2,
        }
    }

    pub fn end_attempt(
        &mut self, id: RequestId, attempt: u32, backend: &Name, outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(100.0, id, attempt, backend, outcome)
    }

    pub fn end_attempt_after(
        &mut self, latency: Millis, id: RequestId, attempt: u32, backend: &Name, outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(attempt_ended(latency, id, attempt, backend, outcome))
    }

    /// Replies to a counter call with a total.
    pub fn reply_total(&mut self, name: u64, total: f64) -> Vec<Action> {
        self.handle(Event::Counted { name, outcome: CountOutcome::Total(total), latency: 2.0 })
    }

    /// Sends a request, replies to its counter call with its own amount, and returns the backend of the attempt.
    pub fn dispatch(&mut self, id: RequestId, customer: &str, plan: &str, class: &str) -> Name {
        let mut actions = self.request(id, customer, plan, class);
        if let Some((name, amount)) = counter_call(&actions) {
            actions = self.reply_total(name, amount);
        }
        first_send(&actions).expect("an attempt").1
    }
}

/// The end of an attempt with the given latency.
pub fn attempt_ended(
    latency: Millis, id: RequestId, attempt: u32, backend: &Name, outcome: Outcome,
) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt,
        backend: backend.clone(),
        outcome,
        latency,
        true_units: None,
        finished: outcome == Outcome::Served,
        body_consumed: false,
        load: None,
    })
}

/// The first counter call among actions: its name and amount.
pub fn counter_call(actions: &[Action]) -> Option<(u64, f64)> {
    actions.iter().find_map(|a| match a {
        Action::AddToCounter { name, amount, .. } => Some((*name, *amount)),
        _ => None,
    })
}

/// The first send among actions.
pub fn first_send(actions: &[Action]) -> Option<(RequestId, Name)> {
    actions.iter().find_map(|a| match a {
        Action::Send { id, backend, .. } => Some((*id, backend.clone())),
        _ => None,
    })
}

/// The number of attempts sent.
pub fn send_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

/// Whether the request was refused.
pub fn refused(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id, .. } if *id == which))
}

/// Whether the request failed.
pub fn failed(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id } if *id == which))
}
