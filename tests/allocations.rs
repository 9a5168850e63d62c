//! What the decisions cost, in counts that repeat exactly: allocations a request, and bytes kept for a customer.
//! Each bound is what was measured when it was set, and the slack that is stated.

mod helper;
use allocation_counter::{AllocationInfo, measure};
use doorcourse::*;
use helper::*;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("a{n}")).collect()
}

/// A gateway that alone grants as much as anybody asks, with so many backends and customers it knows.
fn harness(backends: usize, customers: usize) -> Harness {
    let mut settings = Settings { gateways: 1, counter: false, ..settings() };
    (settings.plans[0].rate, settings.plans[0].burst) = (1e6, 1e6);
    let names = names(backends);
    let mut harness = Harness::new(settings, &names.iter().map(String::as_str).collect::<Vec<_>>());
    for id in 0..customers as u64 {
        let (at, _) = serve(&mut harness, 1 + id, &format!("c{id}"));
        assert!(at.is_some());
    }
    harness
}

fn arrival(harness: &Harness, id: RequestId, customer: &str) -> Event {
    Event::Request(Arrival { spread: 1, ..harness.arrival(id, customer, "plain", "safe") })
}

/// What it takes to handle an event; what the host allocates for it is left out.
fn handle(harness: &mut Harness, event: Event) -> AllocationInfo {
    harness.actions.clear();
    harness.actions.reserve(64);
    let mut event = Some(event);
    measure(|| harness.gateway.handle(harness.now, event.take().expect("once"), &mut harness.actions))
}

/// A request that is served by the first backend it is sent to: where, and how many allocations that took.
fn serve(harness: &mut Harness, id: RequestId, customer: &str) -> (Option<Name>, u64) {
    let event = arrival(harness, id, customer);
    let asked = handle(harness, event).count_total;
    let Some((_, at)) = first_send(&harness.actions) else { return (None, asked) };
    let served = handle(harness, attempt_ended(50.0, id, 0, &at, Outcome::Served)).count_total;
    (Some(at), asked + served)
}

/// The most allocations of any of fifty requests of a customer that is known.
fn most(harness: &mut Harness) -> u64 {
    let id = 1_000_000;
    (0..50)
        .map(|n| {
            harness.now += 5.0;
            serve(harness, id + n, "c0").1
        })
        .max()
        .unwrap_or_default()
}

#[test]
fn a_request_on_the_usual_path_takes_few_allocations_whatever_the_gateway_knows() {
    // Measured: none at all; the slack is one.
    for (backends, customers) in [(2, 1), (10, 1), (200, 1), (10, 5000)] {
        let most = most(&mut harness(backends, customers));
        assert!(most <= 1, "{most} allocations with {backends} backends and {customers} customers");
    }
}

#[test]
fn a_refusal_takes_no_more_than_a_request_that_is_served() {
    let mut harness = Harness::new(Settings { gateways: 1, counter: false, ..settings() }, &["a1", "a2"]);
    let (mut id, mut refusals) = (0, Vec::new());
    while refusals.len() < 20 {
        id += 1;
        let event = arrival(&harness, id, "c0");
        let cost = handle(&mut harness, event).count_total;
        match first_send(&harness.actions) {
            Some((_, at)) => drop(handle(&mut harness, attempt_ended(50.0, id, 0, &at, Outcome::Served))),
            None => refusals.push(cost),
        }
    }
    assert!(refused(&harness.actions, id));
    // Measured: none; the slack is one.
    assert!(refusals.iter().all(|count| *count <= 1), "{refusals:?}");
}

#[test]
fn a_further_try_takes_a_few_more() {
    let mut harness = harness(5, 1);
    let mut most = 0;
    for id in 10..30 {
        harness.now += 400.0;
        let event = arrival(&harness, id, "c0");
        handle(&mut harness, event);
        let (_, at) = first_send(&harness.actions).expect("sent");
        most = most
            .max(handle(&mut harness, attempt_ended(50.0, id, 0, &at, Outcome::ConnectFailed)).count_total);
        let (_, next) = first_send(&harness.actions).expect("sent elsewhere");
        handle(&mut harness, attempt_ended(50.0, id, 1, &next, Outcome::Served));
    }
    // Measured: 1; the slack is one.
    assert!(most <= 2, "{most}");
}

#[test]
fn customers_seen_once_cost_bounded_memory_which_comes_back() {
    const CUSTOMERS: u64 = 50_000;
    let mut harness = harness(10, 1);
    let before = harness.now;
    let mut ids = 10..;
    let seen = measure(|| {
        for _ in 0..CUSTOMERS {
            let id = ids.next().expect("a number");
            assert!(serve(&mut harness, id, &format!("once-{id}")).0.is_some());
        }
    });
    let each = seen.bytes_current / CUSTOMERS as i64;
    // Measured: 472, with a name of 9 or 10 letters; the slack is a tenth.
    assert!((100..=520).contains(&each), "{each} bytes for a customer");
    // Two turns of a second after the last request they are forgotten.
    let after = measure(|| {
        harness.now = before + 10_000.0;
        harness.handle(Event::Timer { token: 1 });
    });
    let left = seen.bytes_current + after.bytes_current;
    assert!(left < seen.bytes_current / 100, "{left} of {} bytes are left", seen.bytes_current);
}
