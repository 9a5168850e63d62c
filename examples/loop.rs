//! A host's event loop around one gateway, with timers, a counter, a backend and a restart of the gateway.
//! Time is a plain number here; a real host uses a clock that is synchronized with the other gateways.

use doorcourse::{
    Action, Arrival, AttemptEnd, BackendEntry, BackendState, Class, CountOutcome, DedupScope, Event, Gateway,
    Idempotency, Millis, Outcome, Plan, Settings,
};
use std::collections::BTreeMap;

/// Scheduled events by time in whole ms, then by order of insertion.
type EventQueue = BTreeMap<(u64, u64), Event>;

fn settings() -> Settings {
    let class = Class {
        name: "read".into(),
        latency_target: 500.0,
        idempotency: Idempotency::Safe,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        worth: 1.0,
        late_worth: 0.0,
    };
    let plan = Plan {
        name: "basic".into(),
        rate: 5.0,
        burst: 4.0,
        open: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 1.0,
    };
    Settings {
        gateways: 1,
        zone: "a".into(),
        tick: 1.0,
        classes: vec![class],
        plans: vec![plan],
        counter: true,
        counter_timeout: 50.0,
        max_attempts: 3,
        max_retry_after: 1000.0,
        cold_capacity: 0.2,
        warmup_time: 10_000.0,
        ..Settings::default()
    }
}

fn main() -> Result<(), doorcourse::SettingsError> {
    let mut gateway = Gateway::new(settings(), 42)?;
    let (mut queue, mut order) = (EventQueue::new(), 0);
    let mut push = |queue: &mut EventQueue, at: Millis, event: Event| {
        order += 1;
        queue.insert((at.ceil() as u64, order), event);
    };
    let backend = BackendEntry {
        name: "b1".into(),
        zone: "a".into(),
        cell: 0,
        state: BackendState::Ready,
        started: None,
    };
    push(&mut queue, 0.0, Event::BackendList(vec![backend.clone()]));
    for id in 1..=8 {
        let (customer, name, class) = ("customer".into(), "basic".into(), "read".into());
        let arrival = Arrival {
            id,
            customer,
            plan: name,
            class,
            units: 1.0,
            repeat: false,
            deadline: id as Millis * 10.0 + 900.0,
            first_gateway: 0,
            spread: 1,
        };
        push(&mut queue, id as Millis * 10.0, Event::Request(arrival));
    }
    let (mut counts, mut attempts) = (BTreeMap::<u64, f64>::new(), BTreeMap::<u64, u32>::new());
    let mut restarted = false;
    while let Some(((at, _), event)) = queue.pop_first() {
        let now = at as Millis;
        if now > 500.0 {
            break;
        }
        if now > 60.0 && !restarted {
            // Restart: a new gateway with a fresh seed and the last list. Clients retry the requests that were open.
            restarted = true;
            gateway = Gateway::new(settings(), 43)?;
            queue.retain(|_, event| matches!(event, Event::Request(_)));
            push(&mut queue, now, Event::BackendList(vec![backend.clone()]));
        }
        let mut actions = Vec::new();
        gateway.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => push(&mut queue, now + after, Event::Timer { token }),
                Action::AddToCounter { name, amount, .. } => {
                    let total = counts.entry(name).or_default();
                    *total += amount;
                    let outcome = CountOutcome::Total(*total);
                    push(&mut queue, now + 2.0, Event::Counted { name, outcome, latency: 2.0 });
                }
                Action::Send { id, backend, .. } => {
                    println!("{now:>5} ms  {id} sent to {backend}");
                    let attempt = *attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    let (outcome, latency, finished) = (Outcome::Served, 40.0, true);
                    let end = AttemptEnd {
                        id,
                        attempt,
                        backend,
                        outcome,
                        latency,
                        true_units: None,
                        finished,
                        body_consumed: false,
                        load: None,
                    };
                    push(&mut queue, now + latency, Event::AttemptEnded(end));
                }
                Action::Refuse { id, retry_after } => {
                    println!("{now:>5} ms  {id} refused, retry after {retry_after:.0} ms");
                }
                Action::Fail { id } => println!("{now:>5} ms  {id} failed"),
                Action::Log(line) => println!("{now:>5} ms  log: {line}"),
                Action::CallOff { .. }
                | Action::Probe { .. }
                | Action::HealthObserved { .. }
                | Action::Broadcast { .. }
                | Action::WatchBackends => {}
            }
        }
    }
    Ok(())
}
