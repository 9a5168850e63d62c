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
fn let_in(harness: &mut Harness, id: RequestId, customer: &str, class: &str) -> Vec<Action> {
    let actions = harness.request(id, customer, "plain", class);
    match counter_call(&actions) {
        Some((name, amount)) => harness.reply_total(name, amount),
        None => actions,
    }
}

/// Teaches a gateway how long answers to a class usually take, by so many of them.
fn teach(harness: &mut Harness, class: &str, usual: Millis, answers: RequestId) {
    for id in 1..=answers {
        let at = harness.dispatch(id, &format!("c{id}"), "plain", class);
        harness.end_attempt_after(usual, id, 0, &at, Outcome::Served);
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
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let actions = let_in(&mut harness, 1, "c", "safe");
    let (at, first) = limit(&actions).expect("sent");
    assert_eq!((first, stalled(&actions, 1)), (2000.0 - LAST, Some(400.0)), "half of the aim");
    assert!(!called_off(&harness.advance(399.0, &[1]), 1));
    assert!(called_off(&harness.advance(1.0, &[1]), 1));
    let actions = harness.end_attempt_after(400.0, 1, 0, &at, Outcome::CalledOff);
    let (next, second) = limit(&actions).expect("sent again");
    assert_ne!(next, at);
    assert_eq!((second, stalled(&actions, 1)), (1600.0 - LAST, None), "the last try has all that is left");
    let actions = harness.advance(second, &[1]);
    assert!(!actions.iter().any(|a| matches!(a, Action::CallOff { .. })), "{actions:?}");
    let actions = harness.end_attempt_after(second, 1, 1, &next, Outcome::TimedOut);
    assert!(failed(&actions, 1) && send_count(&actions) == 0, "told before the client gives up: {actions:?}");
}

#[test]
fn a_try_that_no_other_one_can_follow_is_left_to_run() {
    let mut alone = Harness::new(settings(), &["a1"]);
    let actions = let_in(&mut alone, 1, "c", "safe");
    assert!(
        !called_off(&alone.advance(stalled(&actions, 1).expect("a timer"), &[1]), 1),
        "there is no other backend"
    );
    let mut only = Harness::new(Settings { max_attempts: 1, ..settings() }, &["a1", "a2"]);
    assert_eq!(stalled(&let_in(&mut only, 1, "c", "safe"), 1), None);
    let mut bound = Harness::new(Settings { may_cancel: false, ..settings() }, &["a1", "a2"]);
    assert_eq!(stalled(&let_in(&mut bound, 1, "c", "safe"), 1), None);
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let actions = let_in(&mut harness, 1, "c", "unsafe");
    let (at, all) = limit(&actions).expect("sent");
    assert_eq!(all, 2000.0 - LAST);
    // The timer of its hold runs out all the same.
    assert!(!called_off(&harness.advance(all, &[1]), 1));
    let actions = harness.end_attempt_after(all, 1, 0, &at, Outcome::TimedOut);
    assert!(failed(&actions, 1) && send_count(&actions) == 0, "it may have run: {actions:?}");
}

#[test]
fn at_a_backend_that_answers_others_a_try_has_twice_as_long() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    teach(&mut harness, "safe", 80.0, 60);
    let actions = let_in(&mut harness, 101, "d", "safe");
    let ((at, _), first) = (limit(&actions).expect("sent"), stalled(&actions, 101).expect("a timer"));
    assert!((first - 480.0).abs() < 1.0, "six usual latencies: {first}");
    harness.now += 100.0;
    let beside = (102..=104).find(|id| {
        let (other, _) = limit(&let_in(&mut harness, *id, &format!("c{id}"), "safe")).expect("sent");
        other == at
    });
    harness.end_attempt_after(
        80.0,
        beside.expect("another one at the same backend"),
        0,
        &at,
        Outcome::Served,
    );
    let actions = harness.advance(first - 100.0, &[101]);
    assert!(!called_off(&actions, 101), "it may be slow");
    let more = stalled(&actions, 101).expect("a second timer");
    assert!((first + more - 960.0).abs() < 3.0, "twelve usual latencies: {first} and {more}");
    // Its connection may have gone blind while others have not.
    assert!(called_off(&harness.advance(more, &[101]), 101));
}

#[test]
fn slow_answers_are_no_stalls() {
    // Six usual latencies, within the aim or else within the client's time, or never.
    for (usual, expected) in [(50.0, Some(400.0)), (100.0, Some(600.0)), (130.0, Some(996.0)), (400.0, None)]
    {
        let mut harness = Harness::new(settings(), &["a1", "a2"]);
        teach(&mut harness, "safe", usual, 60);
        let after = stalled(&let_in(&mut harness, 1000, "d", "safe"), 1000);
        assert!(
            matches!((after, expected), (None, None))
                || after.zip(expected).is_some_and(|(a, b)| (a - b).abs() < 1.0),
            "{after:?} at the usual {usual}"
        );
    }
}

#[test]
fn while_answers_are_late_nobody_is_loaded_for_one_after_the_aim() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    for id in 1..=40 {
        let at = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt_after(if id < 36 { 130.0 } else { 700.0 }, id, 0, &at, Outcome::Served);
    }
    assert_eq!(stalled(&let_in(&mut harness, 1000, "d", "safe"), 1000), None);
}

#[test]
fn what_a_request_has_waited_for_its_block_is_gone() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "unsafe")).expect("a call");
    harness.now += 70.0;
    let actions = harness.reply_total(name, amount);
    assert!(
        matches!(actions[..], [.., Action::Send { timeout, quota_wait, .. }] if timeout == 1930.0 - LAST && quota_wait == 70.0),
        "{actions:?}"
    );
}

#[test]
fn what_a_request_has_waited_for_room_is_gone() {
    let mut harness = Harness::new(settings(), &[]);
    assert_eq!(send_count(&let_in(&mut harness, 1, "c", "unsafe")), 0);
    harness.now += 150.0;
    let actions = harness.handle(Event::BackendList(vec![backend("a1", BackendState::Ready, None)]));
    assert!(
        matches!(actions[..], [Action::Send { timeout, quota_wait: 0.0, .. }] if timeout == 1850.0 - LAST),
        "{actions:?}"
    );
}

#[test]
fn a_try_that_could_not_connect_leaves_what_it_did_not_use() {
    for class in ["safe", "unsafe"] {
        let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
        let (at, _) = limit(&let_in(&mut harness, 1, "c", class)).expect("sent");
        harness.now += 250.0;
        let actions = harness.end_attempt_after(250.0, 1, 0, &at, Outcome::ConnectFailed);
        let (next, second) = limit(&actions).expect("sent elsewhere");
        assert!(next != at && second == 1750.0 - LAST, "{class}: {second}");
    }
}

#[test]
fn with_too_little_left_a_request_is_refused_unsent_and_later_ones_are_tried_again() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    teach(&mut harness, "unsafe", 600.0, 400);
    let ask = |harness: &mut Harness, id| {
        let arrival = harness.arrival(id, "d", "plain", "unsafe");
        harness.handle(Event::Request(Arrival { deadline: harness.now + 400.0, ..arrival }))
    };
    let (name, amount) = counter_call(&ask(&mut harness, 1000)).expect("a call");
    let actions = harness.reply_total(name, amount);
    assert!(refused(&actions, 1000) && send_count(&actions) == 0, "an answer takes 600 ms: {actions:?}");
    assert_eq!(harness.gateway.pool(harness.now).too_late, 1);
    // Nothing is learned while nothing is sent: what is believed of latencies must fade.
    let sent_on = (1001..1100).find(|id| send_count(&ask(&mut harness, *id)) > 0);
    assert!(sent_on.is_some(), "refused for ever");
}

#[test]
fn what_was_written_already_is_not_called_refused_for_want_of_time() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    teach(&mut harness, "safe", 400.0, 60);
    for (id, outcome, unsent) in [(1000, Outcome::Broken, false), (1001, Outcome::ConnectFailed, true)] {
        harness.now += 3000.0;
        let (at, _) = limit(&let_in(&mut harness, id, &format!("d{id}"), "safe")).expect("sent");
        // 200 ms are left, and half of all answers take 280.
        harness.now += 1800.0;
        let actions = harness.end_attempt_after(1800.0, id, 0, &at, outcome);
        assert_eq!(send_count(&actions), 0, "{outcome:?}: {actions:?}");
        assert_eq!(
            (refused(&actions, id), failed(&actions, id)),
            (unsent, !unsent),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn further_tries_are_a_share_of_the_fresh_ones_over_the_whole_fleet() {
    const GATEWAYS: u32 = 300;
    let (mut fresh, mut further, mut denied) = (0, 0, 0);
    for gateway_index in 0..GATEWAYS {
        let settings = Settings { gateways: GATEWAYS, gateway_index, ..settings() };
        let mut harness =
            Harness::seeded(settings, 1 + u64::from(gateway_index), &["a1", "a2", "a3", "a4", "a5"]);
        // What comes at once is no late answer then, which would speak for fewer fresh requests.
        let (at, _) = limit(&let_in(&mut harness, 99, "first", "safe")).expect("sent");
        harness.end_attempt_after(100.0, 99, 0, &at, Outcome::Served);
        fresh += 1;
        for id in 1..=30 {
            harness.now += 400.0;
            let mut actions = let_in(&mut harness, id, &format!("c{id}"), "safe");
            let mut attempt = 0;
            // Every backend answers with an error at once.
            while let Some((at, _)) = limit(&actions) {
                (fresh, further) = if attempt == 0 { (fresh + 1, further) } else { (fresh, further + 1) };
                actions = harness.end_attempt_after(1.0, id, attempt, &at, Outcome::Error);
                attempt += 1;
            }
        }
        denied += harness.gateway.pool(harness.now).retries_denied;
    }
    assert!(fresh > 4000, "{fresh}");
    let most = f64::from(fresh) * 0.2 + f64::from(GATEWAYS) * 2.0;
    assert!(f64::from(further) <= most, "{further} after {fresh}");
    assert!(further > 600 && denied > 0, "{further}, {denied}");
}

#[test]
fn nothing_is_called_off_once_the_further_tries_are_used_up() {
    let mut harness = Harness::new(Settings { gateways: 15, ..settings() }, &["a1", "a2", "a3"]);
    let mut cut = 0;
    for id in 1..=6 {
        harness.now += 3000.0;
        let (at, _) = limit(&let_in(&mut harness, id, &format!("c{id}"), "safe")).expect("sent");
        if called_off(&harness.advance(400.0, &[id]), id) {
            cut += 1;
            let (next, _) =
                limit(&harness.end_attempt_after(400.0, id, 0, &at, Outcome::CalledOff)).expect("sent again");
            harness.end_attempt_after(10.0, id, 1, &next, Outcome::Served);
        } else {
            harness.end_attempt_after(1900.0, id, 0, &at, Outcome::Served);
        }
    }
    assert_eq!(cut, 2, "two at first, and a fifth of six more is one in five");
}

#[test]
fn no_request_outlives_the_process() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (at, _) = limit(&let_in(&mut harness, 1, "c", "unsafe")).expect("sent");
    let actions = harness.handle(Event::ShuttingDown { deadline: harness.now + 500.0 });
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { after: 500.0, token } => Some(*token),
        _ => None,
    });
    let token = timer.expect("a timer for the end");
    let (_, second) = limit(&let_in(&mut harness, 2, "d", "unsafe")).expect("sent");
    assert_eq!(second, 500.0, "what comes now has no more than that");
    harness.now += 500.0;
    let actions = harness.handle(Event::Timer { token });
    assert!(actions.contains(&Action::CallOff { id: 1, attempt: 0 }), "{actions:?}");
    let actions = harness.end_attempt_after(500.0, 1, 0, &at, Outcome::CalledOff);
    assert!(failed(&actions, 1) && send_count(&actions) == 0, "{actions:?}");
}
