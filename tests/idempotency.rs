//! One answer, in time; repeats only as the class allows; never two attempts out.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn proof_that_nothing_ran_leads_elsewhere_at_once_for_every_class() {
    for class in ["safe", "keyed", "unsafe"] {
        for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::NeverSent] {
            let mut harness = Harness::new(settings(), &["a1", "a2"]);
            let at = harness.dispatch(1, "c", "plain", class);
            let actions = harness.end_attempt(1, 0, &at, outcome);
            assert!(first_send(&actions).is_some_and(|(_, next)| next != at), "{class} {outcome:?}");
        }
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Broken, Outcome::CalledOff] {
        let mut harness = Harness::new(settings(), &["a1", "a2"]);
        let at = harness.dispatch(1, "c", "plain", "unsafe");
        let actions = harness.advance(900.0, &[1]);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::CallOff { .. })),
            "its hold's timer has outlived the hold"
        );
        let actions = harness.end_attempt(1, 0, &at, outcome);
        assert!(failed(&actions, 1) && send_count(&actions) == 0, "{outcome:?}: {actions:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_its_time() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "b1", "b2", "b3"]);
    let at = harness.dispatch(1, "c", "plain", "keyed");
    let mates = if at.starts_with('a') { 'a' } else { 'b' };
    let (_, next) = first_send(&harness.end_attempt(1, 0, &at, Outcome::Broken)).expect("sent again");
    assert!(next.starts_with(mates));
    harness.now += 4000.0;
    let actions = harness.end_attempt(1, 1, &next, Outcome::Broken);
    assert!(send_count(&actions) == 0 && failed(&actions, 1), "no longer dropped as a repeat: {actions:?}");
}

#[test]
fn where_none_may_be_called_off_an_attempt_is_left_to_run_until_its_outcome() {
    let mut harness = Harness::new(Settings { may_cancel: false, ..settings() }, &["a1", "a2"]);
    let at = harness.dispatch(1, "c", "plain", "safe");
    for _ in 0..4 {
        let actions = harness.advance(450.0, &[1]);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::CallOff { .. } | Action::Send { .. })),
            "{actions:?}"
        );
    }
    let actions = harness.end_attempt(1, 0, &at, Outcome::Broken);
    assert!(first_send(&actions).is_some_and(|(_, next)| next != at), "{actions:?}");
}

#[test]
fn the_last_answer_comes_at_the_deadline_whatever_the_outcome() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let at = harness.dispatch(1, "c", "plain", "safe");
    harness.now += 2000.0;
    let actions = harness.end_attempt(1, 0, &at, Outcome::TimedOut);
    assert!(failed(&actions, 1) && send_count(&actions) == 0);
    assert!(
        harness.end_attempt(1, 0, &at, Outcome::TimedOut).iter().all(|a| !matches!(a, Action::Fail { .. }))
    );
}

#[test]
fn with_no_backend_a_request_waits_its_hold_and_is_refused_once() {
    let mut harness = Harness::new(settings(), &[]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "unsafe")).expect("call");
    let actions = harness.reply_total(name, amount);
    assert!(!refused(&actions, 1));
    assert!(refused(&harness.advance(300.0, &[1]), 1));
    assert!(!refused(&harness.advance(300.0, &[1]), 1));
}

#[test]
fn a_client_that_leaves_gets_no_answer() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.handle(Event::ClientLeft { id: 1 });
    let actions = harness.reply_total(name, amount);
    assert!(send_count(&actions) == 0 && !refused(&actions, 1) && !failed(&actions, 1));
    let at = harness.dispatch(2, "c", "plain", "safe");
    harness.handle(Event::ClientLeft { id: 2 });
    assert_eq!(send_count(&harness.end_attempt(2, 0, &at, Outcome::Broken)), 0);
}

#[test]
fn events_about_unknown_things_are_harmless() {
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
fn a_safe_request_that_two_backends_left_unanswered_is_not_sent_a_third_time() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let at = harness.dispatch(1, "c", "plain", "safe");
    let (_, next) = first_send(&harness.end_attempt(1, 0, &at, Outcome::CalledOff)).expect("one repeat");
    let actions = harness.advance(900.0, &[1]);
    assert!(!actions.iter().any(|a| matches!(a, Action::CallOff { .. })), "the repeat is left to finish");
    let actions = harness.end_attempt(1, 1, &next, Outcome::Broken);
    assert!(send_count(&actions) == 0 && refused(&actions, 1), "{actions:?}");
}
