//! Settings that change while a gateway runs.

mod helper;
use doorcourse::*;
use helper::*;

fn unlimited_harness() -> Harness {
    let mut set = settings();
    (set.counter, set.plans[0].rate) = (false, 0.0);
    Harness::new(set, &["b"])
}

/// How many of six requests are dispatched immediately.
fn dispatched(harness: &mut Harness, class: &str) -> usize {
    (1..=6).filter(|id| first_send(&harness.request(*id, "c", "plain", class)).is_some()).count()
}

#[test]
fn added_class_is_used_and_an_existing_class_is_kept() {
    let mut harness = unlimited_harness();
    assert_eq!(dispatched(&mut harness, "new"), 0);
    let class = Class { name: "new".into(), ..settings().classes.remove(0) };
    harness.gateway.add_class(class.clone());
    harness.gateway.add_class(Class { latency_target: f64::NAN, ..class });
    let backend = first_send(&harness.request(7, "c", "plain", "new")).expect("an attempt").1;
    harness.end_attempt(7, 0, &backend, Outcome::Served);
    assert_eq!(dispatched(&mut harness, "new"), 2);
}

#[test]
fn limit_is_this_gateways_part_of_the_backend_capacity() {
    assert_eq!(dispatched(&mut unlimited_harness(), "safe"), 2, "the initial limit of 3.5 for two gateways");
    let mut announced = unlimited_harness();
    announced.gateway.set_backend_slots(&"b".into(), 4);
    assert_eq!(dispatched(&mut announced, "safe"), 4);
    let mut grown = unlimited_harness();
    grown.gateway.set_backend_slots(&"b".into(), 4);
    grown.gateway.resize(8, 7);
    assert_eq!(dispatched(&mut grown, "safe"), 1);
    let mut shrunk = unlimited_harness();
    shrunk.gateway.set_backend_slots(&"b".into(), 4);
    shrunk.gateway.resize(0, 9);
    assert_eq!(dispatched(&mut shrunk, "safe"), 6);
}

#[test]
fn gone_backend_is_removed_once_nothing_is_in_flight() {
    let mut harness = unlimited_harness();
    let name = first_send(&harness.request(1, "c", "plain", "safe")).expect("an attempt").1;
    harness.handle(Event::BackendChanges(vec![backend("b", BackendState::Gone, None)]));
    harness.gateway.remove_gone_backends();
    // The end of the attempt still counts for the request, which is retried at another backend.
    harness.handle(Event::BackendChanges(vec![backend("a", BackendState::Ready, None)]));
    let next = first_send(&harness.end_attempt(1, 0, &name, Outcome::Full)).expect("an attempt").1;
    assert_eq!(&*next, "a");
    harness.gateway.remove_gone_backends();
    assert_eq!(harness.gateway.pool(harness.now).size, 1);
}
