//! The ordinary path: blocks, refusal, give-back, windows.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn first_block_is_burst_over_gateways_and_is_spent_locally() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let actions = harness.request(1, "c", "plain", "safe");
    let (name, amount) = counter_call(&actions).expect("a block is asked for");
    assert_eq!(amount, 5.0);
    assert_eq!(send_count(&actions), 0, "waits for its block");
    assert_eq!(send_count(&harness.reply_total(name, 5.0)), 1);
    for id in 2..=5 {
        let actions = harness.request(id, "c", "plain", "safe");
        assert_eq!(send_count(&actions), 1, "request {id} is paid from the block in hand");
    }
}

#[test]
fn beyond_block_and_count_a_request_is_refused_with_advice_and_the_rest_goes_back() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    // Others hold the whole burst and more than the window has refilled by now.
    let actions = harness.reply_total(name, amount + 40.0);
    let advice = actions.iter().find_map(|a| match a {
        Action::Refuse { id: 1, retry_after } => Some(*retry_after),
        _ => None,
    });
    assert!(advice.is_some_and(|ms| ms > 0.0), "{actions:?}");
    let (_, back) = counter_call(&actions).expect("what does not fit goes back");
    assert_eq!(back, -amount);
}

#[test]
fn all_gateways_derive_the_same_name_and_it_changes_with_the_window() {
    let mut other = settings();
    other.gateway_index = 1;
    let mut one = Harness::new(settings(), &["a1"]);
    let mut two = Harness::new(other, &["a1"]);
    let first = counter_call(&one.request(1, "c", "plain", "safe")).expect("call").0;
    assert_eq!(first, counter_call(&two.request(1, "c", "plain", "safe")).expect("call").0);
    let mut later = Harness::new(settings(), &["a1"]);
    later.now += 20_000.0;
    assert_ne!(first, counter_call(&later.request(1, "c", "plain", "safe")).expect("call").0);
}

#[test]
fn a_block_is_not_spent_past_its_window() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.reply_total(name, amount);
    harness.now += 4_001.0;
    let actions = harness.request(2, "c", "plain", "safe");
    assert_eq!(send_count(&actions), 0, "the old block has ended");
    assert!(counter_call(&actions).is_some_and(|(next, _)| next != name));
}

#[test]
fn a_debt_ends_with_the_window_whose_count_it_came_from() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    // Twenty quotas' worth of blocks were counted whose answers never came.
    let (_, back) =
        counter_call(&harness.reply_total(name, amount + 200.0)).expect("what does not fit goes back");
    harness.reply_total(name, amount + 200.0 + back);
    assert!(
        refused(&harness.request(2, "c", "plain", "safe"), 2),
        "the window's count is far beyond the quota"
    );
    harness.advance(2001.0, &[]);
    harness.now += 300.0;
    let actions = harness.request(3, "c", "plain", "safe");
    assert!(
        counter_call(&actions).is_some_and(|(next, _)| next != name),
        "a new window, a new count: {actions:?}"
    );
}

#[test]
fn an_unsent_request_puts_its_units_back() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.handle(Event::BackendList(Vec::new()));
    let actions = harness.reply_total(name, amount);
    assert_eq!(send_count(&actions), 0);
    harness.advance(300.0, &[1]);
    harness.handle(Event::BackendList(vec![backend("a1", BackendState::Ready, None)]));
    for id in 2..=3 {
        let actions = harness.request(id, "c", "plain", "safe");
        assert!(counter_call(&actions).is_none(), "the block still holds all five units");
        harness.end_attempt(id, 0, &"a1".into(), Outcome::Served);
    }
}

#[test]
fn settled_units_are_added_later() {
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
fn idle_customers_are_forgotten() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let at = harness.dispatch(1, "c", "plain", "safe");
    harness.end_attempt(1, 0, &at, Outcome::Served);
    harness.advance(60_000.0, &[]);
    let actions = harness.request(2, "c", "plain", "safe");
    assert_eq!(
        counter_call(&actions).expect("call").1,
        5.0,
        "a forgotten customer starts with a first block again"
    );
}

#[test]
fn a_long_wait_for_a_block_falls_to_the_silence_rule() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    assert_eq!(send_count(&harness.request(1, "c", "plain", "safe")), 0);
    assert_eq!(send_count(&harness.advance(100.0, &[1])), 1);
}

#[test]
fn what_a_process_hands_over_is_granted_once_and_not_by_both() {
    let mut old = Harness::new(settings(), &["a1"]);
    // The first block is burst over gateways: five units, of which one is spent.
    let at = old.dispatch(1, "c", "plain", "safe");
    old.end_attempt(1, 0, &at, Outcome::Served);
    let text = serde_json::to_string(&old.gateway.hand_over()).expect("text");
    let mut new = Harness::new(settings(), &[]);
    new.gateway.take_over(serde_json::from_str(&text).expect("an estate"), new.now);
    for id in 2..=5 {
        let (_, at) = first_send(&new.request(id, "c", "plain", "safe"))
            .expect("one of the four units left of the block");
        new.end_attempt(id, 0, &at, Outcome::Served);
    }
    assert_eq!(
        first_send(&old.request(6, "c", "plain", "safe")),
        None,
        "the old process has no block any more"
    );
}

#[test]
fn an_estate_of_other_plans_and_classes_is_taken_as_far_as_it_fits() {
    let mut old = Harness::new(settings(), &["a1"]);
    old.dispatch(1, "c", "capped", "unsafe");
    let text = serde_json::to_string(&old.gateway.hand_over()).expect("text");
    let mut fewer = settings();
    fewer.plans.truncate(1);
    fewer.classes.truncate(1);
    let mut new = Harness::new(fewer, &["a1"]);
    new.gateway.take_over(serde_json::from_str(&text).expect("an estate"), new.now);
    new.dispatch(1, "d", "plain", "safe");
}

#[test]
fn a_request_whose_body_is_gone_gets_no_further_attempt() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    for (id, body_consumed) in [(1, false), (2, true)] {
        let at = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
        let actions = harness.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            backend: at,
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
