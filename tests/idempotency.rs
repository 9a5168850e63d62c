//! Each request gets one answer in time, retries only as its class allows, and one attempt at a time.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn request_that_did_not_run_is_retried_elsewhere_for_every_class() {
    for class in ["safe", "keyed", "unsafe"] {
        for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::NeverSent] {
            let mut harness = Harness::new(settings(), &["a1", "a2"]);
            let chosen = harness.dispatch(1, "c", "plain", class);
            let actions = harness.end_attempt(1, 0, &chosen, outcome);
            assert!(first_send(&actions).is_some_and(|(_, next)| next != chosen), "{class} {outcome:?}");
        }
    }
}

#[test]
fn unsafe_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Broken, Outcome::CalledOff] {
        let mut harness = Harness::new(settings(), &["a1", "a2"]);
        let chosen = harness.dispatch(1, "c", "plain", "unsafe");
        let actions = harness.advance(900.0, &[1]);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::CallOff { .. })),
            "the expired hold timer must not call off an unsafe attempt"
        );
        let actions = harness.end_attempt(1, 0, &chosen, outcome);
        assert!(failed(&actions, 1) && send_count(&actions) == 0, "{outcome:?}: {actions:?}");
    }
}

#[test]
fn keyed_request_that_may_have_run_stays_in_its_dedup_scope_and_window() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "b1", "b2", "b3"]);
    let chosen = harness.dispatch(1, "c", "plain", "keyed");
    let cell = if chosen.starts_with('a') { 'a' } else { 'b' };
    let (_, next) =
        first_send(&harness.end_attempt(1, 0, &chosen, Outcome::Broken)).expect("a second attempt");
    assert!(next.starts_with(cell));
    harness.now += 4000.0;
    let actions = harness.end_attempt(1, 1, &next, Outcome::Broken);
    assert!(
        send_count(&actions) == 0 && failed(&actions, 1),
        "backends no longer drop the repeat: {actions:?}"
    );
}

#[test]
fn without_cancellation_an_attempt_runs_until_its_outcome() {
    let mut harness = Harness::new(Settings { may_cancel: false, ..settings() }, &["a1", "a2"]);
    let chosen = harness.dispatch(1, "c", "plain", "safe");
    for _ in 0..4 {
        let actions = harness.advance(450.0, &[1]);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::CallOff { .. } | Action::Send { .. })),
            "{actions:?}"
        );
    }
    let actions = harness.end_attempt(1, 0, &chosen, Outcome::Broken);
    assert!(first_send(&actions).is_some_and(|(_, next)| next != chosen), "{actions:?}");
}

#[test]
fn final_answer_is_sent_once_at_the_deadline() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let chosen = harness.dispatch(1, "c", "plain", "safe");
    harness.now += 2000.0;
    let actions = harness.end_attempt(1, 0, &chosen, Outcome::TimedOut);
    assert!(failed(&actions, 1) && send_count(&actions) == 0);
    assert!(
        harness
            .end_attempt(1, 0, &chosen, Outcome::TimedOut)
            .iter()
            .all(|a| !matches!(a, Action::Fail { .. }))
    );
}

#[test]
fn request_without_backend_is_refused_once_after_its_queue_wait() {
    let mut harness = Harness::new(settings(), &[]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "unsafe")).expect("a counter call");
    let actions = harness.reply_total(name, amount);
    assert!(!refused(&actions, 1));
    assert!(refused(&harness.advance(300.0, &[1]), 1));
    assert!(!refused(&harness.advance(300.0, &[1]), 1));
}

#[test]
fn client_that_left_gets_no_answer() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("a counter call");
    harness.handle(Event::ClientLeft { id: 1 });
    let actions = harness.reply_total(name, amount);
    assert!(send_count(&actions) == 0 && !refused(&actions, 1) && !failed(&actions, 1));
    let chosen = harness.dispatch(2, "c", "plain", "safe");
    harness.handle(Event::ClientLeft { id: 2 });
    assert_eq!(send_count(&harness.end_attempt(2, 0, &chosen, Outcome::Broken)), 0);
}

#[test]
fn events_with_unknown_ids_and_names_are_harmless() {
    let mut harness = Harness::new(settings(), &["a1"]);
    harness.end_attempt(9, 3, &"nowhere".into(), Outcome::Served);
    harness.reply_total(77, 5.0);
    harness.handle(Event::Timer { token: 999 });
    harness.handle(Event::ClientLeft { id: 8 });
    assert!(refused(&harness.request(5, "c", "no such plan", "safe"), 5));
    assert!(refused(&harness.request(6, "c", "plain", "no such class"), 6));
    let actions = harness.handle(Event::Request(Arrival {
        id: 7,
        customer: "c".into(),
        plan: "plain".into(),
        class: "safe".into(),
        units: f64::NAN,
        repeat: false,
        deadline: -5.0,
        first_gateway: 99,
        spread: 0,
    }));
    assert!(counter_call(&actions).is_some());
}

#[test]
fn safe_request_is_not_sent_a_third_time_after_two_unanswered_attempts() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let chosen = harness.dispatch(1, "c", "plain", "safe");
    let (_, next) = first_send(&harness.end_attempt(1, 0, &chosen, Outcome::CalledOff)).expect("one retry");
    let actions = harness.advance(900.0, &[1]);
    assert!(!actions.iter().any(|a| matches!(a, Action::CallOff { .. })), "the retry is left to finish");
    let actions = harness.end_attempt(1, 1, &next, Outcome::Broken);
    assert!(send_count(&actions) == 0 && refused(&actions, 1), "{actions:?}");
}
