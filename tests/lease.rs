//! Leases, refusals, returned units, windows, and the handover to another process.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn first_lease_is_burst_over_gateways_and_is_spent_locally() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let actions = harness.request(1, "c", "plain", "safe");
    let (name, amount) = counter_call(&actions).expect("a call for a lease");
    assert_eq!(amount, 5.0);
    assert_eq!(send_count(&actions), 0, "the request waits for its lease");
    assert_eq!(send_count(&harness.reply_total(name, 5.0)), 1);
    for id in 2..=5 {
        let actions = harness.request(id, "c", "plain", "safe");
        assert_eq!(send_count(&actions), 1, "request {id} is paid from the lease");
    }
}

#[test]
fn request_beyond_the_quota_is_refused_with_retry_after_and_the_lease_is_returned() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("a counter call");
    // The total shows that other gateways have leased more than the burst and the refill of the window so far.
    let actions = harness.reply_total(name, amount + 40.0);
    let retry_after = actions.iter().find_map(|a| match a {
        Action::Refuse { id: 1, retry_after } => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|ms| ms > 0.0), "{actions:?}");
    let (_, returned) = counter_call(&actions).expect("a call that returns the excess");
    assert_eq!(returned, -amount);
}

#[test]
fn all_gateways_derive_the_same_count_name_which_changes_with_the_window() {
    let mut other = settings();
    other.gateway_index = 1;
    let mut one = Harness::new(settings(), &["a1"]);
    let mut two = Harness::new(other, &["a1"]);
    let first = counter_call(&one.request(1, "c", "plain", "safe")).expect("a counter call").0;
    assert_eq!(first, counter_call(&two.request(1, "c", "plain", "safe")).expect("a counter call").0);
    let mut later = Harness::new(settings(), &["a1"]);
    later.now += 20_000.0;
    assert_ne!(first, counter_call(&later.request(1, "c", "plain", "safe")).expect("a counter call").0);
}

#[test]
fn lease_expires_with_its_window() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("a counter call");
    harness.reply_total(name, amount);
    harness.now += 4_001.0;
    let actions = harness.request(2, "c", "plain", "safe");
    assert_eq!(send_count(&actions), 0, "the old lease has expired");
    assert!(counter_call(&actions).is_some_and(|(next, _)| next != name));
}

#[test]
fn negative_tokens_end_with_their_window() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("a counter call");
    // The count contains leases worth twenty quotas that no gateway received, because the replies were lost.
    let (_, returned) =
        counter_call(&harness.reply_total(name, amount + 200.0)).expect("a call that returns the excess");
    harness.reply_total(name, amount + 200.0 + returned);
    assert!(
        refused(&harness.request(2, "c", "plain", "safe"), 2),
        "the count of this window is far beyond the quota"
    );
    harness.advance(2001.0, &[]);
    harness.now += 300.0;
    let actions = harness.request(3, "c", "plain", "safe");
    assert!(
        counter_call(&actions).is_some_and(|(next, _)| next != name),
        "a new window has a new count: {actions:?}"
    );
}

#[test]
fn unsent_request_returns_its_units() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("a counter call");
    harness.handle(Event::BackendList(Vec::new()));
    let actions = harness.reply_total(name, amount);
    assert_eq!(send_count(&actions), 0);
    harness.advance(300.0, &[1]);
    harness.handle(Event::BackendList(vec![backend("a1", BackendState::Ready, None)]));
    for id in 2..=3 {
        let actions = harness.request(id, "c", "plain", "safe");
        assert!(counter_call(&actions).is_none(), "the lease still holds all five units");
        harness.end_attempt(id, 0, &"a1".into(), Outcome::Served);
    }
}

#[test]
fn true_units_are_added_later() {
    let mut set = settings();
    (set.reports_true_units, set.max_units) = (true, 4.0);
    let mut harness = Harness::new(set, &["a1", "a2"]);
    let backend = harness.dispatch(1, "c", "plain", "safe");
    let end = AttemptEnd {
        id: 1,
        attempt: 0,
        backend,
        outcome: Outcome::Served,
        latency: 90.0,
        true_units: Some(4.0),
        finished: true,
        body_consumed: false,
        load: None,
    };
    harness.handle(Event::AttemptEnded(end));
    let actions = harness.advance(30.0, &[]);
    assert!(counter_call(&actions).is_some_and(|(_, amount)| amount >= 3.0), "{actions:?}");
}

#[test]
fn idle_customers_are_removed() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let chosen = harness.dispatch(1, "c", "plain", "safe");
    harness.end_attempt(1, 0, &chosen, Outcome::Served);
    harness.advance(60_000.0, &[]);
    let actions = harness.request(2, "c", "plain", "safe");
    assert_eq!(
        counter_call(&actions).expect("a counter call").1,
        5.0,
        "a removed customer starts with a first lease again"
    );
}

#[test]
fn long_wait_for_a_lease_falls_back_to_the_slice() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    assert_eq!(send_count(&harness.request(1, "c", "plain", "safe")), 0);
    assert_eq!(send_count(&harness.advance(100.0, &[1])), 1);
}

#[test]
fn lease_handed_over_is_spent_once() {
    let mut old = Harness::new(settings(), &["a1"]);
    // The first lease is the burst divided by the number of gateways: five units, of which one is spent.
    let chosen = old.dispatch(1, "c", "plain", "safe");
    old.end_attempt(1, 0, &chosen, Outcome::Served);
    let text = serde_json::to_string(&old.gateway.hand_over()).expect("serialized state");
    let mut new = Harness::new(settings(), &[]);
    new.gateway.take_over(serde_json::from_str(&text).expect("handover state"), new.now);
    for id in 2..=5 {
        let (_, chosen) = first_send(&new.request(id, "c", "plain", "safe"))
            .expect("one of the four remaining units of the lease");
        new.end_attempt(id, 0, &chosen, Outcome::Served);
    }
    assert_eq!(
        first_send(&old.request(6, "c", "plain", "safe")),
        None,
        "the old process no longer has a lease"
    );
}

#[test]
fn handover_state_with_other_plans_and_classes_is_taken_over_where_it_fits() {
    let mut old = Harness::new(settings(), &["a1"]);
    old.dispatch(1, "c", "capped", "unsafe");
    let text = serde_json::to_string(&old.gateway.hand_over()).expect("serialized state");
    let mut fewer = settings();
    fewer.plans.truncate(1);
    fewer.classes.truncate(1);
    let mut new = Harness::new(fewer, &["a1"]);
    new.gateway.take_over(serde_json::from_str(&text).expect("handover state"), new.now);
    new.dispatch(1, "d", "plain", "safe");
}

#[test]
fn request_with_consumed_body_gets_no_further_attempt() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    for (id, body_consumed) in [(1, false), (2, true)] {
        let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
        let actions = harness.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            backend: chosen,
            outcome: Outcome::ConnectFailed,
            latency: 1.0,
            true_units: None,
            finished: false,
            body_consumed,
            load: None,
        }));
        assert_eq!(
            (send_count(&actions) == 1, refused(&actions, id)),
            (!body_consumed, body_consumed),
            "{actions:?}"
        );
        harness.advance(1000.0, &[]);
    }
}
