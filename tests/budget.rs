//! One budget of time a request: what each try may take of it, what is left for the next, and how many there are.

mod helper;
use doorcourse::*;
use helper::*;

/// The first send among actions, and how long it may take.
fn limit(actions: &[Action]) -> Option<(Name, Millis)> {
    actions.iter().find_map(|a| match a {
        Action::Send { backend, timeout, .. } => Some((backend.clone(), *timeout)),
        _ => None,
    })
}

/// A request that finds the counter answering: what was done with it.
fn let_in(door: &mut Door, id: RequestId, customer: &str, class: &str) -> Vec<Action> {
    let did = door.ask(id, customer, "plain", class);
    match count(&did) {
        Some((name, amount)) => door.total(name, amount),
        None => did,
    }
}

/// Teaches a gateway how long answers to a class usually take, by so many of them.
fn teach(door: &mut Door, class: &str, usual: Millis, answers: RequestId) {
    for id in 1..=answers {
        let at = door.served(id, &format!("c{id}"), "plain", class);
        door.end_after(usual, id, 0, &at, Outcome::Served);
    }
}

/// When a request's try counts as stalled, where another one may follow.
fn stalled(actions: &[Action], id: RequestId) -> Option<Millis> {
    actions.iter().rev().find_map(|a| match a {
        Action::SetTimer { after, token } if *token == id * 2 => Some(*after),
        _ => None,
    })
}

fn called_off(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::CallOff { id, attempt: 0 })
}

/// Two ticks are kept back of each request's 2000 ms.
const LAST: Millis = 8.0;

#[test]
fn a_safe_try_that_hears_nothing_leaves_another_one_time_within_the_aim() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let did = let_in(&mut door, 1, "c", "safe");
    let (at, first) = limit(&did).expect("sent");
    assert_eq!((first, stalled(&did, 1)), (2000.0 - LAST, Some(400.0)), "half of the aim");
    assert!(!called_off(&door.pass(399.0, &[1]), 1));
    assert!(called_off(&door.pass(1.0, &[1]), 1));
    let did = door.end_after(400.0, 1, 0, &at, Outcome::CalledOff);
    let (next, second) = limit(&did).expect("sent again");
    assert_ne!(next, at);
    assert_eq!((second, stalled(&did, 1)), (1600.0 - LAST, None), "the last try has all that is left");
    let did = door.pass(second, &[1]);
    assert!(!did.iter().any(|a| matches!(a, Action::CallOff { .. })), "{did:?}");
    let did = door.end_after(second, 1, 1, &next, Outcome::TimedOut);
    assert!(failed(&did, 1) && sends(&did) == 0, "told before the client gives up: {did:?}");
}

#[test]
fn a_try_that_no_other_one_can_follow_is_left_to_run() {
    let mut alone = Door::new(settings(), &["a1"]);
    let did = let_in(&mut alone, 1, "c", "safe");
    assert!(
        !called_off(&alone.pass(stalled(&did, 1).expect("a timer"), &[1]), 1),
        "there is no other backend"
    );
    let mut only = Door::new(Settings { max_attempts: 1, ..settings() }, &["a1", "a2"]);
    assert_eq!(stalled(&let_in(&mut only, 1, "c", "safe"), 1), None);
    let mut bound = Door::new(Settings { may_cancel: false, ..settings() }, &["a1", "a2"]);
    assert_eq!(stalled(&let_in(&mut bound, 1, "c", "safe"), 1), None);
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let did = let_in(&mut door, 1, "c", "unsafe");
    let (at, all) = limit(&did).expect("sent");
    assert_eq!(all, 2000.0 - LAST);
    // The timer of its hold runs out all the same.
    assert!(!called_off(&door.pass(all, &[1]), 1));
    let did = door.end_after(all, 1, 0, &at, Outcome::TimedOut);
    assert!(failed(&did, 1) && sends(&did) == 0, "it may have run: {did:?}");
}

#[test]
fn at_a_backend_that_answers_others_a_try_has_twice_as_long() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    teach(&mut door, "safe", 80.0, 60);
    let did = let_in(&mut door, 101, "d", "safe");
    let ((at, _), first) = (limit(&did).expect("sent"), stalled(&did, 101).expect("a timer"));
    assert!((first - 480.0).abs() < 1.0, "six usual latencies: {first}");
    door.now += 100.0;
    let beside = (102..=104).find(|id| {
        let (other, _) = limit(&let_in(&mut door, *id, &format!("c{id}"), "safe")).expect("sent");
        other == at
    });
    door.end_after(80.0, beside.expect("another one at the same backend"), 0, &at, Outcome::Served);
    let did = door.pass(first - 100.0, &[101]);
    assert!(!called_off(&did, 101), "it may be slow");
    let more = stalled(&did, 101).expect("a second timer");
    assert!((first + more - 960.0).abs() < 3.0, "twelve usual latencies: {first} and {more}");
    // Its connection may have gone blind while others have not.
    assert!(called_off(&door.pass(more, &[101]), 101));
}

#[test]
fn slow_answers_are_no_stalls() {
    // Six usual latencies, within the aim or else within the client's time, or never.
    for (usual, expected) in [(50.0, Some(400.0)), (100.0, Some(600.0)), (130.0, Some(996.0)), (400.0, None)]
    {
        let mut door = Door::new(settings(), &["a1", "a2"]);
        teach(&mut door, "safe", usual, 60);
        let after = stalled(&let_in(&mut door, 1000, "d", "safe"), 1000);
        assert!(
            matches!((after, expected), (None, None))
                || after.zip(expected).is_some_and(|(a, b)| (a - b).abs() < 1.0),
            "{after:?} at the usual {usual}"
        );
    }
}

#[test]
fn while_answers_are_late_nobody_is_loaded_for_one_after_the_aim() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    for id in 1..=40 {
        let at = door.served(id, &format!("c{id}"), "plain", "safe");
        door.end_after(if id < 36 { 130.0 } else { 700.0 }, id, 0, &at, Outcome::Served);
    }
    assert_eq!(stalled(&let_in(&mut door, 1000, "d", "safe"), 1000), None);
}

#[test]
fn what_a_request_has_waited_for_its_block_is_gone() {
    let mut door = Door::new(settings(), &["a1"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "unsafe")).expect("a call");
    door.now += 70.0;
    let did = door.total(name, amount);
    assert!(
        matches!(did[..], [.., Action::Send { timeout, quota_wait, .. }] if timeout == 1930.0 - LAST && quota_wait == 70.0),
        "{did:?}"
    );
}

#[test]
fn what_a_request_has_waited_for_room_is_gone() {
    let mut door = Door::new(settings(), &[]);
    assert_eq!(sends(&let_in(&mut door, 1, "c", "unsafe")), 0);
    door.now += 150.0;
    let did = door.tell(Event::BackendList(vec![backend("a1", BackendState::Ready, None)]));
    assert!(
        matches!(did[..], [Action::Send { timeout, quota_wait: 0.0, .. }] if timeout == 1850.0 - LAST),
        "{did:?}"
    );
}

#[test]
fn a_try_that_could_not_connect_leaves_what_it_did_not_use() {
    for class in ["safe", "unsafe"] {
        let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
        let (at, _) = limit(&let_in(&mut door, 1, "c", class)).expect("sent");
        door.now += 250.0;
        let did = door.end_after(250.0, 1, 0, &at, Outcome::ConnectFailed);
        let (next, second) = limit(&did).expect("sent elsewhere");
        assert!(next != at && second == 1750.0 - LAST, "{class}: {second}");
    }
}

#[test]
fn with_too_little_left_a_request_is_refused_unsent_and_later_ones_are_tried_again() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    teach(&mut door, "unsafe", 600.0, 400);
    let ask = |door: &mut Door, id| {
        let arrival = door.arrival(id, "d", "plain", "unsafe");
        door.tell(Event::Request(Arrival { deadline: door.now + 400.0, ..arrival }))
    };
    let (name, amount) = count(&ask(&mut door, 1000)).expect("a call");
    let did = door.total(name, amount);
    assert!(refused(&did, 1000) && sends(&did) == 0, "an answer takes 600 ms: {did:?}");
    assert_eq!(door.gateway.pool(door.now).too_late, 1);
    // Nothing is learned while nothing is sent: what is believed of latencies must fade.
    let sent_on = (1001..1100).find(|id| sends(&ask(&mut door, *id)) > 0);
    assert!(sent_on.is_some(), "refused for ever");
}

#[test]
fn what_was_written_already_is_not_called_refused_for_want_of_time() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    teach(&mut door, "safe", 400.0, 60);
    for (id, outcome, unsent) in [(1000, Outcome::Broken, false), (1001, Outcome::ConnectFailed, true)] {
        door.now += 3000.0;
        let (at, _) = limit(&let_in(&mut door, id, &format!("d{id}"), "safe")).expect("sent");
        // 200 ms are left, and half of all answers take 280.
        door.now += 1800.0;
        let did = door.end_after(1800.0, id, 0, &at, outcome);
        assert_eq!(sends(&did), 0, "{outcome:?}: {did:?}");
        assert_eq!((refused(&did, id), failed(&did, id)), (unsent, !unsent), "{outcome:?}: {did:?}");
    }
}

#[test]
fn further_tries_are_a_share_of_the_fresh_ones_over_the_whole_fleet() {
    const GATEWAYS: u32 = 300;
    let (mut fresh, mut further, mut denied) = (0, 0, 0);
    for gateway_index in 0..GATEWAYS {
        let settings = Settings { gateways: GATEWAYS, gateway_index, ..settings() };
        let mut door = Door::seeded(settings, 1 + u64::from(gateway_index), &["a1", "a2", "a3", "a4", "a5"]);
        // What comes at once is no late answer then, which would speak for fewer fresh requests.
        let (at, _) = limit(&let_in(&mut door, 99, "first", "safe")).expect("sent");
        door.end_after(100.0, 99, 0, &at, Outcome::Served);
        fresh += 1;
        for id in 1..=30 {
            door.now += 400.0;
            let mut did = let_in(&mut door, id, &format!("c{id}"), "safe");
            let mut attempt = 0;
            // Every backend answers with an error at once.
            while let Some((at, _)) = limit(&did) {
                (fresh, further) = if attempt == 0 { (fresh + 1, further) } else { (fresh, further + 1) };
                did = door.end_after(1.0, id, attempt, &at, Outcome::Error);
                attempt += 1;
            }
        }
        denied += door.gateway.pool(door.now).retries_denied;
    }
    assert!(fresh > 4000, "{fresh}");
    let most = f64::from(fresh) * 0.2 + f64::from(GATEWAYS) * 2.0;
    assert!(f64::from(further) <= most, "{further} after {fresh}");
    assert!(further > 600 && denied > 0, "{further}, {denied}");
}

#[test]
fn nothing_is_called_off_once_the_further_tries_are_used_up() {
    let mut door = Door::new(Settings { gateways: 15, ..settings() }, &["a1", "a2", "a3"]);
    let mut cut = 0;
    for id in 1..=6 {
        door.now += 3000.0;
        let (at, _) = limit(&let_in(&mut door, id, &format!("c{id}"), "safe")).expect("sent");
        if called_off(&door.pass(400.0, &[id]), id) {
            cut += 1;
            let (next, _) =
                limit(&door.end_after(400.0, id, 0, &at, Outcome::CalledOff)).expect("sent again");
            door.end_after(10.0, id, 1, &next, Outcome::Served);
        } else {
            door.end_after(1900.0, id, 0, &at, Outcome::Served);
        }
    }
    assert_eq!(cut, 2, "two at first, and a fifth of six more is one in five");
}

#[test]
fn no_request_outlives_the_process() {
    let mut door = Door::new(settings(), &["a1"]);
    let (at, _) = limit(&let_in(&mut door, 1, "c", "unsafe")).expect("sent");
    let did = door.tell(Event::ShuttingDown { deadline: door.now + 500.0 });
    let timer = did.iter().find_map(|a| match a {
        Action::SetTimer { after: 500.0, token } => Some(*token),
        _ => None,
    });
    let token = timer.expect("a timer for the end");
    let (_, second) = limit(&let_in(&mut door, 2, "d", "unsafe")).expect("sent");
    assert_eq!(second, 500.0, "what comes now has no more than that");
    door.now += 500.0;
    let did = door.tell(Event::Timer { token });
    assert!(did.contains(&Action::CallOff { id: 1, attempt: 0 }), "{did:?}");
    let did = door.end_after(500.0, 1, 0, &at, Outcome::CalledOff);
    assert!(failed(&did, 1) && sends(&did) == 0, "{did:?}");
}
