//! The time budget of a request: time limits of attempts, stalled attempts, and the retry budget.

mod helper;
use doorcourse::*;
use helper::*;

/// The backend and the time limit of the first attempt among actions.
fn first_timeout(actions: &[Action]) -> Option<(Name, Millis)> {
    actions.iter().find_map(|a| match a {
        Action::Send { backend, timeout, .. } => Some((backend.clone(), *timeout)),
        _ => None,
    })
}

/// Sends a request, replies to its counter call, and returns the resulting actions.
fn admitted(harness: &mut Harness, id: RequestId, customer: &str, class: &str) -> Vec<Action> {
    let actions = harness.request(id, customer, "plain", class);
    match counter_call(&actions) {
        Some((name, amount)) => harness.reply_total(name, amount),
        None => actions,
    }
}

/// Serves `answers` requests of a class with the given latency, which the gateway learns as the mean.
fn train_latency(harness: &mut Harness, class: &str, mean: Millis, answers: RequestId) {
    for id in 1..=answers {
        let chosen = harness.dispatch(id, &format!("c{id}"), "plain", class);
        harness.end_attempt_after(mean, id, 0, &chosen, Outcome::Served);
    }
}

/// The time after which a request's attempt counts as stalled, if a retry may follow.
fn stall_timer(actions: &[Action], id: RequestId) -> Option<Millis> {
    actions.iter().rev().find_map(|a| match a {
        Action::SetTimer { after, token } if *token == id * 2 => Some(*after),
        _ => None,
    })
}

fn called_off(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::CallOff { id, attempt: 0 })
}

/// Two ticks of each request's 2000 ms are reserved.
const RESERVED: Millis = 8.0;

#[test]
fn stalled_safe_attempt_leaves_time_for_a_retry_within_the_latency_target() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let actions = admitted(&mut harness, 1, "c", "safe");
    let (chosen, first) = first_timeout(&actions).expect("an attempt");
    assert_eq!(
        (first, stall_timer(&actions, 1)),
        (2000.0 - RESERVED, Some(400.0)),
        "half of the latency target"
    );
    assert!(!called_off(&harness.advance(399.0, &[1]), 1));
    assert!(called_off(&harness.advance(1.0, &[1]), 1));
    let actions = harness.end_attempt_after(400.0, 1, 0, &chosen, Outcome::CalledOff);
    let (next, second) = first_timeout(&actions).expect("a second attempt");
    assert_ne!(next, chosen);
    assert_eq!(
        (second, stall_timer(&actions, 1)),
        (1600.0 - RESERVED, None),
        "the last attempt has all the time that is left"
    );
    let actions = harness.advance(second, &[1]);
    assert!(!actions.iter().any(|a| matches!(a, Action::CallOff { .. })), "{actions:?}");
    let actions = harness.end_attempt_after(second, 1, 1, &next, Outcome::TimedOut);
    assert!(
        failed(&actions, 1) && send_count(&actions) == 0,
        "answered before the client gives up: {actions:?}"
    );
}

#[test]
fn attempt_without_possible_retry_is_left_to_run() {
    let mut single_backend = Harness::new(settings(), &["a1"]);
    let actions = admitted(&mut single_backend, 1, "c", "safe");
    assert!(
        !called_off(&single_backend.advance(stall_timer(&actions, 1).expect("a timer"), &[1]), 1),
        "there is no other backend"
    );
    let mut single_attempt = Harness::new(Settings { max_attempts: 1, ..settings() }, &["a1", "a2"]);
    assert_eq!(stall_timer(&admitted(&mut single_attempt, 1, "c", "safe"), 1), None);
    let mut no_cancel = Harness::new(Settings { may_cancel: false, ..settings() }, &["a1", "a2"]);
    assert_eq!(stall_timer(&admitted(&mut no_cancel, 1, "c", "safe"), 1), None);
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let actions = admitted(&mut harness, 1, "c", "unsafe");
    let (chosen, time_limit) = first_timeout(&actions).expect("an attempt");
    assert_eq!(time_limit, 2000.0 - RESERVED);
    // The request's timer expires nevertheless, and must not call the attempt off.
    assert!(!called_off(&harness.advance(time_limit, &[1]), 1));
    let actions = harness.end_attempt_after(time_limit, 1, 0, &chosen, Outcome::TimedOut);
    assert!(failed(&actions, 1) && send_count(&actions) == 0, "it may have run: {actions:?}");
}

#[test]
fn stall_timeout_doubles_at_a_backend_that_answers_others() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    train_latency(&mut harness, "safe", 80.0, 60);
    let actions = admitted(&mut harness, 101, "d", "safe");
    let ((chosen, _), first) =
        (first_timeout(&actions).expect("an attempt"), stall_timer(&actions, 101).expect("a timer"));
    assert!((first - 480.0).abs() < 1.0, "six mean latencies: {first}");
    harness.now += 100.0;
    let other_request = (102..=104).find(|id| {
        let (other, _) =
            first_timeout(&admitted(&mut harness, *id, &format!("c{id}"), "safe")).expect("an attempt");
        other == chosen
    });
    harness.end_attempt_after(
        80.0,
        other_request.expect("another attempt at the same backend"),
        0,
        &chosen,
        Outcome::Served,
    );
    let actions = harness.advance(first - 100.0, &[101]);
    assert!(!called_off(&actions, 101), "the backend may just be slow");
    let more = stall_timer(&actions, 101).expect("a second timer");
    assert!((first + more - 960.0).abs() < 3.0, "twelve mean latencies: {first} and {more}");
    // This connection may be dead although the backend answers on other connections.
    assert!(called_off(&harness.advance(more, &[101]), 101));
}

#[test]
fn slow_answers_are_not_stalls() {
    // Stall timeout: six mean latencies, within the latency target or else the client's deadline; none if neither fits.
    for (mean, expected) in [(50.0, Some(400.0)), (100.0, Some(600.0)), (130.0, Some(996.0)), (400.0, None)] {
        let mut harness = Harness::new(settings(), &["a1", "a2"]);
        train_latency(&mut harness, "safe", mean, 60);
        let after = stall_timer(&admitted(&mut harness, 1000, "d", "safe"), 1000);
        assert!(
            matches!((after, expected), (None, None))
                || after.zip(expected).is_some_and(|(a, b)| (a - b).abs() < 1.0),
            "{after:?} at a mean of {mean}"
        );
    }
}

#[test]
fn no_stall_retry_beyond_the_latency_target_while_answers_are_late() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    for id in 1..=40 {
        let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt_after(if id < 36 { 130.0 } else { 700.0 }, id, 0, &chosen, Outcome::Served);
    }
    assert_eq!(stall_timer(&admitted(&mut harness, 1000, "d", "safe"), 1000), None);
}

#[test]
fn wait_for_a_lease_reduces_the_time_limit() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "unsafe")).expect("a counter call");
    harness.now += 70.0;
    let actions = harness.reply_total(name, amount);
    assert!(
        matches!(actions[..], [.., Action::Send { timeout, quota_wait, .. }] if timeout == 1930.0 - RESERVED && quota_wait == 70.0),
        "{actions:?}"
    );
}

#[test]
fn wait_in_the_queue_reduces_the_time_limit() {
    let mut harness = Harness::new(settings(), &[]);
    assert_eq!(send_count(&admitted(&mut harness, 1, "c", "unsafe")), 0);
    harness.now += 150.0;
    let actions = harness.handle(Event::BackendList(vec![backend("a1", BackendState::Ready, None)]));
    assert!(
        matches!(actions[..], [Action::Send { timeout, quota_wait: 0.0, .. }] if timeout == 1850.0 - RESERVED),
        "{actions:?}"
    );
}

#[test]
fn attempt_without_connection_leaves_its_remaining_time_to_the_next() {
    for class in ["safe", "unsafe"] {
        let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
        let (chosen, _) = first_timeout(&admitted(&mut harness, 1, "c", class)).expect("an attempt");
        harness.now += 250.0;
        let actions = harness.end_attempt_after(250.0, 1, 0, &chosen, Outcome::ConnectFailed);
        let (next, second) = first_timeout(&actions).expect("an attempt at another backend");
        assert!(next != chosen && second == 1750.0 - RESERVED, "{class}: {second}");
    }
}

#[test]
fn request_with_too_little_time_is_refused_unsent_and_later_ones_are_sent_again() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    train_latency(&mut harness, "unsafe", 600.0, 400);
    let request = |harness: &mut Harness, id| {
        let arrival = harness.arrival(id, "d", "plain", "unsafe");
        harness.handle(Event::Request(Arrival { deadline: harness.now + 400.0, ..arrival }))
    };
    let (name, amount) = counter_call(&request(&mut harness, 1000)).expect("a counter call");
    let actions = harness.reply_total(name, amount);
    assert!(refused(&actions, 1000) && send_count(&actions) == 0, "an answer takes 600 ms: {actions:?}");
    assert_eq!(harness.gateway.pool(harness.now).too_late, 1);
    // No latency is measured while nothing is sent, so the mean has to decay.
    let first_sent = (1001..1100).find(|id| send_count(&request(&mut harness, *id)) > 0);
    assert!(first_sent.is_some(), "refused forever");
}

#[test]
fn request_that_may_have_run_fails_instead_of_being_refused_as_too_late() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    train_latency(&mut harness, "safe", 400.0, 60);
    for (id, outcome, unsent) in [(1000, Outcome::Broken, false), (1001, Outcome::ConnectFailed, true)] {
        harness.now += 3000.0;
        let (chosen, _) =
            first_timeout(&admitted(&mut harness, id, &format!("d{id}"), "safe")).expect("an attempt");
        // 200 ms are left, and half of all answers take 280 ms.
        harness.now += 1800.0;
        let actions = harness.end_attempt_after(1800.0, id, 0, &chosen, outcome);
        assert_eq!(send_count(&actions), 0, "{outcome:?}: {actions:?}");
        assert_eq!(
            (refused(&actions, id), failed(&actions, id)),
            (unsent, !unsent),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn retries_are_a_share_of_fresh_requests_over_the_whole_fleet() {
    const GATEWAYS: u32 = 300;
    let (mut fresh, mut retries, mut denied) = (0, 0, 0);
    for gateway_index in 0..GATEWAYS {
        let settings = Settings { gateways: GATEWAYS, gateway_index, ..settings() };
        let mut harness =
            Harness::seeded(settings, 1 + u64::from(gateway_index), &["a1", "a2", "a3", "a4", "a5"]);
        // One answer sets the mean latency; without it the errors below would count as late and shed fresh requests.
        let (chosen, _) = first_timeout(&admitted(&mut harness, 99, "first", "safe")).expect("an attempt");
        harness.end_attempt_after(100.0, 99, 0, &chosen, Outcome::Served);
        fresh += 1;
        for id in 1..=30 {
            harness.now += 400.0;
            let mut actions = admitted(&mut harness, id, &format!("c{id}"), "safe");
            let mut attempt = 0;
            // Every backend fails fast.
            while let Some((chosen, _)) = first_timeout(&actions) {
                (fresh, retries) = if attempt == 0 { (fresh + 1, retries) } else { (fresh, retries + 1) };
                actions = harness.end_attempt_after(1.0, id, attempt, &chosen, Outcome::Error);
                attempt += 1;
            }
        }
        denied += harness.gateway.pool(harness.now).retries_denied;
    }
    assert!(fresh > 4000, "{fresh}");
    let max = f64::from(fresh) * 0.2 + f64::from(GATEWAYS) * 2.0;
    assert!(f64::from(retries) <= max, "{retries} retries of {fresh}");
    assert!(retries > 600 && denied > 0, "{retries}, {denied}");
}

#[test]
fn no_attempt_is_called_off_once_the_retry_budget_is_spent() {
    let mut harness = Harness::new(Settings { gateways: 15, ..settings() }, &["a1", "a2", "a3"]);
    let mut called_off_count = 0;
    for id in 1..=6 {
        harness.now += 3000.0;
        let (chosen, _) =
            first_timeout(&admitted(&mut harness, id, &format!("c{id}"), "safe")).expect("an attempt");
        if called_off(&harness.advance(400.0, &[id]), id) {
            called_off_count += 1;
            let (next, _) =
                first_timeout(&harness.end_attempt_after(400.0, id, 0, &chosen, Outcome::CalledOff))
                    .expect("a second attempt");
            harness.end_attempt_after(10.0, id, 1, &next, Outcome::Served);
        } else {
            harness.end_attempt_after(1900.0, id, 0, &chosen, Outcome::Served);
        }
    }
    assert_eq!(called_off_count, 2, "two retries at first, and a fifth of a retry per request");
}

#[test]
fn no_request_outlives_the_process() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (chosen, _) = first_timeout(&admitted(&mut harness, 1, "c", "unsafe")).expect("an attempt");
    let actions = harness.handle(Event::ShuttingDown { deadline: harness.now + 500.0 });
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { after: 500.0, token } => Some(*token),
        _ => None,
    });
    let token = timer.expect("a timer for the shutdown");
    let (_, second) = first_timeout(&admitted(&mut harness, 2, "d", "unsafe")).expect("an attempt");
    assert_eq!(second, 500.0, "a new request has no more time than the process");
    harness.now += 500.0;
    let actions = harness.handle(Event::Timer { token });
    assert!(actions.contains(&Action::CallOff { id: 1, attempt: 0 }), "{actions:?}");
    let actions = harness.end_attempt_after(500.0, 1, 0, &chosen, Outcome::CalledOff);
    assert!(failed(&actions, 1) && send_count(&actions) == 0, "{actions:?}");
}
