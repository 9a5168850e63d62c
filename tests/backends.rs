//! Drains, cold backends, ejection and room.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn a_drained_or_gone_backend_gets_nothing_new() {
    for state in [BackendState::Draining, BackendState::Gone] {
        let mut harness = Harness::new(settings(), &["a1", "a2"]);
        harness.handle(Event::BackendChanges(vec![backend("a1", state, None)]));
        for id in 1..=4 {
            assert_eq!(&*harness.dispatch(id, "c", "plain", "safe"), "a2");
            harness.end_attempt(id, 0, &"a2".into(), Outcome::Served);
        }
    }
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    harness.handle(Event::BackendList(vec![backend("a2", BackendState::Ready, None)]));
    assert_eq!(&*harness.dispatch(1, "c", "plain", "safe"), "a2", "missing from a full list is gone");
}

#[test]
fn a_cold_backend_gets_less_than_its_present_share_of_what_a_warm_one_gets() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let born = Some(harness.now);
    harness.handle(Event::BackendChanges(vec![backend("a3", BackendState::Ready, born)]));
    let mut to_cold = 0;
    for id in 1..=100 {
        let at = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        to_cold += usize::from(&*at == "a3");
        harness.now += 5.0;
        harness.end_attempt(id, 0, &at, Outcome::Served);
    }
    // Two warm ones share the rest: a tenth of it is a fifth of what one of them gets.
    assert!((1..=10).contains(&to_cold), "{to_cold}");
}

#[test]
fn failures_in_a_row_eject_a_backend_and_an_answer_takes_it_back() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (mut id, mut logs) = (0, Vec::new());
    let mut broken = 0;
    while broken < 2 {
        id += 1;
        let at = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
        let outcome = if &*at == "a1" { Outcome::Broken } else { Outcome::Served };
        broken += usize::from(&*at == "a1");
        logs = harness.end_attempt(id, 0, &at, outcome);
        if outcome == Outcome::Broken && broken == 1 {
            let next = harness.dispatch(1000, "other", "plain", "unsafe");
            assert_eq!(&*next, "a2", "after one failure it is left alone for as long as that took");
            harness.end_attempt(1000, 0, &next, Outcome::Served);
        }
        harness.now += 150.0;
        assert!(id < 50);
    }
    assert!(logs.iter().any(|a| matches!(a, Action::Log(line) if line.contains("a1 ejected"))));
    for id in 101..=105 {
        assert_eq!(&*harness.dispatch(id, &format!("c{id}"), "plain", "safe"), "a2");
        harness.end_attempt(id, 0, &"a2".into(), Outcome::Served);
    }
    harness.now += 1000.0;
    let tried = (201..=210).any(|id| {
        let at = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt(id, 0, &at, Outcome::Served);
        &*at == "a1"
    });
    assert!(tried, "it is tried again after a while");
}

#[test]
fn what_is_out_is_bounded_and_the_line_is_refused_early() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (mut out, mut turned_away) = (0, 0);
    for id in 1..=40 {
        let mut actions = harness.request(id, &format!("c{id}"), "plain", "safe");
        let (name, amount) = counter_call(&actions).expect("call");
        actions.extend(harness.reply_total(name, amount));
        out += send_count(&actions);
        turned_away += usize::from(refused(&actions, id));
    }
    assert!((1..=3).contains(&out), "five for two gateways: {out}");
    assert!(turned_away > 30, "{turned_away}");
}

#[test]
fn an_open_cap_is_shared_by_the_customer_s_gateways() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let at = harness.dispatch(1, "c", "capped", "safe");
    assert_eq!(
        send_count(&harness.request(2, "c", "capped", "safe")),
        0,
        "two at once for two gateways: one each"
    );
    assert_eq!(first_send(&harness.end_attempt(1, 0, &at, Outcome::Served)).map(|(id, _)| id), Some(2));
}

#[test]
fn a_backend_that_fails_at_once_draws_no_further_requests_for_a_while() {
    for seed in 1..=8 {
        let mut harness = Harness::seeded(settings(), seed, &["a1", "a2"]);
        let failing = harness.dispatch(1, "c", "plain", "unsafe");
        harness.end_attempt_after(5.0, 1, 0, &failing, Outcome::Error);
        // It holds nothing, the other one holds one more each time.
        for id in 2..=3 {
            let at = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
            assert_ne!(at, failing, "seed {seed}, request {id}");
        }
        // After a while it is tried again.
        harness.now += 400.0;
        assert_eq!(harness.dispatch(4, "c4", "plain", "unsafe"), failing, "seed {seed}");
    }
}

#[test]
fn a_detached_backend_gets_nothing_whatever_the_list_says_and_comes_back_cold() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    harness.handle(Event::Detach { backend: "a1".into() });
    assert_eq!(harness.gateway.pool(harness.now), Pool { size: 2, ejected: 1, ..Pool::default() });
    let mut id = 0;
    let mut next = |harness: &mut Harness| {
        id += 1;
        harness.now += 20.0;
        let at = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt(id, 0, &at, Outcome::Served);
        at
    };
    for started in [None, Some(3000.0)] {
        let list = [("a1", started), ("a2", None)].map(|(name, s)| backend(name, BackendState::Ready, s));
        harness.handle(Event::BackendList(list.to_vec()));
        for _ in 0..20 {
            assert_eq!(&*next(&mut harness), "a2");
        }
    }
    harness.handle(Event::Attach { backend: "a1".into() });
    assert_eq!(harness.gateway.pool(harness.now), Pool { size: 2, ejected: 0, ..Pool::default() });
    // The list tells of the start only now: that is no reason to take it for warm.
    let list = [backend("a1", BackendState::Ready, None), backend("a2", BackendState::Ready, None)];
    harness.handle(Event::BackendList(list.to_vec()));
    let to_it = (0..50).filter(|_| &*next(&mut harness) == "a1").count();
    assert!((1..=15).contains(&to_it), "a cold one's part of 50: {to_it}");
}

#[test]
fn a_backend_that_was_given_back_is_used_again_soon_however_cold() {
    let settings = Settings { cold_capacity: 0.0, warmup_time: 1e9, ..settings() };
    let mut harness = Harness::new(settings, &["a1", "a2"]);
    harness.handle(Event::Detach { backend: "a1".into() });
    harness.handle(Event::Attach { backend: "a1".into() });
    let mut used = Vec::new();
    for id in 1..=50 {
        harness.now += 100.0;
        let at = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt(id, 0, &at, Outcome::Served);
        used.extend((&*at == "a1").then_some(id));
    }
    assert_eq!(used, [25], "one request, 2.5 s after it came back");
}
