//! The memory cost of decisions: heap allocations per request, and bytes kept per customer. Both are deterministic.
//! Each bound is the measured value at the time it was set, plus the slack stated beside it.

mod helper;
use allocation_counter::{AllocationInfo, measure};
use doorcourse::*;
use helper::*;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("a{n}")).collect()
}

/// A single gateway with practically unlimited quotas that has served this many customers.
fn loaded_harness(backends: usize, customers: usize) -> Harness {
    let mut settings = Settings { gateways: 1, counter: false, ..settings() };
    (settings.plans[0].rate, settings.plans[0].burst) = (1e6, 1e6);
    let names = names(backends);
    let mut harness = Harness::new(settings, &names.iter().map(String::as_str).collect::<Vec<_>>());
    for id in 0..customers as u64 {
        let (name, _) = serve(&mut harness, 1 + id, &format!("c{id}"));
        assert!(name.is_some());
    }
    harness
}

fn arrival(harness: &Harness, id: RequestId, customer: &str) -> Event {
    Event::Request(Arrival { spread: 1, ..harness.arrival(id, customer, "plain", "safe") })
}

/// Measures the allocations that the gateway makes while handling an event.
fn handle(harness: &mut Harness, event: Event) -> AllocationInfo {
    harness.actions.clear();
    harness.actions.reserve(64);
    let mut event = Some(event);
    measure(|| {
        harness.gateway.handle(
            harness.now,
            event.take().expect("the closure is called once"),
            &mut harness.actions,
        )
    })
}

/// Serves a request at its first backend. Returns the backend and the number of allocations.
fn serve(harness: &mut Harness, id: RequestId, customer: &str) -> (Option<Name>, u64) {
    let event = arrival(harness, id, customer);
    let on_arrival = handle(harness, event).count_total;
    let Some((_, name)) = first_send(&harness.actions) else { return (None, on_arrival) };
    let on_end = handle(harness, attempt_ended(50.0, id, 0, &name, Outcome::Served)).count_total;
    (Some(name), on_arrival + on_end)
}

/// The maximum allocations of one of fifty requests of a known customer.
fn max_allocations(harness: &mut Harness) -> u64 {
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
fn request_on_the_common_path_allocates_little_at_any_size() {
    // Measured: none; the slack is one.
    for (backends, customers) in [(2, 1), (10, 1), (200, 1), (10, 5000)] {
        let max_allocations = max_allocations(&mut loaded_harness(backends, customers));
        assert!(
            max_allocations <= 1,
            "{max_allocations} allocations with {backends} backends and {customers} customers"
        );
    }
}

#[test]
fn refusal_allocates_no_more_than_a_served_request() {
    let mut harness = Harness::new(Settings { gateways: 1, counter: false, ..settings() }, &["a1", "a2"]);
    let (mut id, mut refusals) = (0, Vec::new());
    while refusals.len() < 20 {
        id += 1;
        let event = arrival(&harness, id, "c0");
        let cost = handle(&mut harness, event).count_total;
        match first_send(&harness.actions) {
            Some((_, name)) => drop(handle(&mut harness, attempt_ended(50.0, id, 0, &name, Outcome::Served))),
            None => refusals.push(cost),
        }
    }
    assert!(refused(&harness.actions, id));
    // Measured: none; the slack is one.
    assert!(refusals.iter().all(|count| *count <= 1), "{refusals:?}");
}

#[test]
fn retry_allocates_little_more() {
    let mut harness = loaded_harness(5, 1);
    let mut max_allocations = 0;
    for id in 10..30 {
        harness.now += 400.0;
        let event = arrival(&harness, id, "c0");
        handle(&mut harness, event);
        let (_, name) = first_send(&harness.actions).expect("an attempt");
        max_allocations = max_allocations
            .max(handle(&mut harness, attempt_ended(50.0, id, 0, &name, Outcome::ConnectFailed)).count_total);
        let (_, next) = first_send(&harness.actions).expect("an attempt at another backend");
        handle(&mut harness, attempt_ended(50.0, id, 1, &next, Outcome::Served));
    }
    // Measured: 1; the slack is one.
    assert!(max_allocations <= 2, "{max_allocations}");
}

#[test]
fn memory_of_one_time_customers_is_bounded_and_released() {
    const CUSTOMERS: u64 = 50_000;
    let mut harness = loaded_harness(10, 1);
    let before = harness.now;
    let mut ids = 10..;
    let seen = measure(|| {
        for _ in 0..CUSTOMERS {
            let id = ids.next().expect("a number");
            assert!(serve(&mut harness, id, &format!("once-{id}")).0.is_some());
        }
    });
    let each = seen.bytes_current / CUSTOMERS as i64;
    // Measured: 472 with a name of 9 or 10 letters; the slack is a tenth.
    assert!((100..=520).contains(&each), "{each} bytes per customer");
    // The customers are removed two windows of one second after their last request.
    let after = measure(|| {
        harness.now = before + 10_000.0;
        harness.handle(Event::Timer { token: 1 });
    });
    let left = seen.bytes_current + after.bytes_current;
    assert!(left < seen.bytes_current / 100, "{left} of {} bytes are left", seen.bytes_current);
}
