//! Settings that change while a gateway runs.

mod helper;
use doorcourse::*;
use helper::*;

fn harness() -> Harness {
    let mut set = settings();
    (set.counter, set.plans[0].rate) = (false, 0.0);
    Harness::new(set, &["b"])
}

/// How many of six requests are sent on at once.
fn send_count(harness: &mut Harness, class: &str) -> usize {
    (1..=6).filter(|id| first_send(&harness.request(*id, "c", "plain", class)).is_some()).count()
}

#[test]
fn a_class_that_is_added_is_known_and_one_of_that_name_stays() {
    let mut harness = harness();
    assert_eq!(send_count(&mut harness, "new"), 0);
    let class = Class { name: "new".into(), ..settings().classes.remove(0) };
    harness.gateway.add_class(class.clone());
    harness.gateway.add_class(Class { latency_target: f64::NAN, ..class });
    let backend = first_send(&harness.request(7, "c", "plain", "new")).expect("sent on").1;
    harness.end_attempt(7, 0, &backend, Outcome::Served);
    assert_eq!(send_count(&mut harness, "new"), 2);
}

#[test]
fn room_is_this_gateway_s_part_of_what_a_backend_can_do() {
    assert_eq!(send_count(&mut harness(), "safe"), 2, "of 3.5 for two gateways, whatever the backend is");
    let mut told = harness();
    told.gateway.set_backend_slots(&"b".into(), 4);
    assert_eq!(send_count(&mut told, "safe"), 4);
    let mut grown = harness();
    grown.gateway.set_backend_slots(&"b".into(), 4);
    grown.gateway.resize(8, 7);
    assert_eq!(send_count(&mut grown, "safe"), 1);
    let mut shrunk = harness();
    shrunk.gateway.set_backend_slots(&"b".into(), 4);
    shrunk.gateway.resize(0, 9);
    assert_eq!(send_count(&mut shrunk, "safe"), 6);
}

#[test]
fn a_backend_that_is_gone_is_forgotten_once_nothing_is_out_there() {
    let mut harness = harness();
    let name = first_send(&harness.request(1, "c", "plain", "safe")).expect("sent on").1;
    harness.handle(Event::BackendChanges(vec![backend("b", BackendState::Gone, None)]));
    harness.gateway.remove_gone_backends();
    // Its end still counts for the request: another one may be tried.
    harness.handle(Event::BackendChanges(vec![backend("a", BackendState::Ready, None)]));
    let next = first_send(&harness.end_attempt(1, 0, &name, Outcome::Full)).expect("sent on").1;
    assert_eq!(&*next, "a");
    harness.gateway.remove_gone_backends();
    assert_eq!(harness.gateway.pool(harness.now).size, 1);
}
