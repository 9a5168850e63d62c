//! Settings that change while a gateway runs.

mod helper;
use doorcourse::*;
use helper::*;

fn door() -> Door {
    let mut set = settings();
    (set.counter, set.plans[0].rate) = (false, 0.0);
    Door::new(set, &["b"])
}

/// How many of six requests are sent on at once.
fn sends(door: &mut Door, class: &str) -> usize {
    (1..=6).filter(|id| sent(&door.ask(*id, "c", "plain", class)).is_some()).count()
}

#[test]
fn a_class_that_is_added_is_known_and_one_of_that_name_stays() {
    let mut door = door();
    assert_eq!(sends(&mut door, "new"), 0);
    let class = Class { name: "new".into(), ..settings().classes.remove(0) };
    door.gateway.add_class(class.clone());
    door.gateway.add_class(Class { latency_target: f64::NAN, ..class });
    let backend = sent(&door.ask(7, "c", "plain", "new")).expect("sent on").1;
    door.end(7, 0, &backend, Outcome::Served);
    assert_eq!(sends(&mut door, "new"), 2);
}

#[test]
fn room_is_this_gateway_s_part_of_what_a_backend_can_do() {
    assert_eq!(sends(&mut door(), "safe"), 2, "of 3.5 for two gateways, whatever the backend is");
    let mut told = door();
    told.gateway.set_backend_slots(&"b".into(), 4);
    assert_eq!(sends(&mut told, "safe"), 4);
    let mut grown = door();
    grown.gateway.set_backend_slots(&"b".into(), 4);
    grown.gateway.resize(8, 7);
    assert_eq!(sends(&mut grown, "safe"), 1);
    let mut shrunk = door();
    shrunk.gateway.set_backend_slots(&"b".into(), 4);
    shrunk.gateway.resize(0, 9);
    assert_eq!(sends(&mut shrunk, "safe"), 6);
}

#[test]
fn a_backend_that_is_gone_is_forgotten_once_nothing_is_out_there() {
    let mut door = door();
    let name = sent(&door.ask(1, "c", "plain", "safe")).expect("sent on").1;
    door.tell(Event::BackendChanges(vec![backend("b", BackendState::Gone, None)]));
    door.gateway.remove_gone_backends();
    // Its end still counts for the request: another one may be tried.
    door.tell(Event::BackendChanges(vec![backend("a", BackendState::Ready, None)]));
    let next = sent(&door.end(1, 0, &name, Outcome::Full)).expect("sent on").1;
    assert_eq!(&*next, "a");
    door.gateway.remove_gone_backends();
    assert_eq!(door.gateway.pool(door.now).size, 1);
}
