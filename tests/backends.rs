//! Draining, cold backends, ejection, detachment and in-flight limits.

mod helper;
use doorcourse::*;
use helper::*;

#[test]
fn draining_or_gone_backend_gets_no_new_requests() {
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
    assert_eq!(
        &*harness.dispatch(1, "c", "plain", "safe"),
        "a2",
        "a backend missing from a full list is gone"
    );
}

#[test]
fn cold_backend_gets_less_than_its_current_share_of_capacity() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let born = Some(harness.now);
    harness.handle(Event::BackendChanges(vec![backend("a3", BackendState::Ready, born)]));
    let mut to_cold = 0;
    for id in 1..=100 {
        let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        to_cold += usize::from(&*chosen == "a3");
        harness.now += 5.0;
        harness.end_attempt(id, 0, &chosen, Outcome::Served);
    }
    // At most a tenth of all requests: about a fifth of the load of each of the two warm backends.
    assert!((1..=10).contains(&to_cold), "{to_cold}");
}

#[test]
fn consecutive_failures_eject_a_backend_and_an_answer_restores_it() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (mut id, mut logs) = (0, Vec::new());
    let mut broken = 0;
    while broken < 2 {
        id += 1;
        let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
        let outcome = if &*chosen == "a1" { Outcome::Broken } else { Outcome::Served };
        broken += usize::from(&*chosen == "a1");
        logs = harness.end_attempt(id, 0, &chosen, outcome);
        if outcome == Outcome::Broken && broken == 1 {
            let next = harness.dispatch(1000, "other", "plain", "unsafe");
            assert_eq!(
                &*next, "a2",
                "after one failure the backend is ejected for the duration of the failed attempt"
            );
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
        let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt(id, 0, &chosen, Outcome::Served);
        &*chosen == "a1"
    });
    assert!(tried, "the backend is tried again after its ejection");
}

#[test]
fn attempts_in_flight_are_bounded_and_long_queues_are_refused() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (mut in_flight, mut refusals) = (0, 0);
    for id in 1..=40 {
        let mut actions = harness.request(id, &format!("c{id}"), "plain", "safe");
        let (name, amount) = counter_call(&actions).expect("a counter call");
        actions.extend(harness.reply_total(name, amount));
        in_flight += send_count(&actions);
        refusals += usize::from(refused(&actions, id));
    }
    assert!((1..=3).contains(&in_flight), "3.5 attempts for two gateways: {in_flight}");
    assert!(refusals > 30, "{refusals}");
}

#[test]
fn concurrency_cap_is_shared_by_the_gateways_of_a_customer() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let chosen = harness.dispatch(1, "c", "capped", "safe");
    assert_eq!(
        send_count(&harness.request(2, "c", "capped", "safe")),
        0,
        "a cap of two leaves one for each of two gateways"
    );
    assert_eq!(first_send(&harness.end_attempt(1, 0, &chosen, Outcome::Served)).map(|(id, _)| id), Some(2));
}

#[test]
fn backend_that_fails_fast_gets_no_requests_for_a_while() {
    for seed in 1..=8 {
        let mut harness = Harness::seeded(settings(), seed, &["a1", "a2"]);
        let failing = harness.dispatch(1, "c", "plain", "unsafe");
        harness.end_attempt_after(5.0, 1, 0, &failing, Outcome::Error);
        // The failing backend has nothing in flight, and the other backend gets one more attempt each time.
        for id in 2..=3 {
            let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
            assert_ne!(chosen, failing, "seed {seed}, request {id}");
        }
        // After its ejection the backend is tried again.
        harness.now += 400.0;
        assert_eq!(harness.dispatch(4, "c4", "plain", "unsafe"), failing, "seed {seed}");
    }
}

#[test]
fn detached_backend_gets_no_requests_and_is_cold_after_attach() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    harness.handle(Event::Detach { backend: "a1".into() });
    assert_eq!(harness.gateway.pool(harness.now), Pool { size: 2, ejected: 1, ..Pool::default() });
    let mut id = 0;
    let mut next = |harness: &mut Harness| {
        id += 1;
        harness.now += 20.0;
        let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt(id, 0, &chosen, Outcome::Served);
        chosen
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
    // The new list entry drops the start time: the backend must still count as cold.
    let list = [backend("a1", BackendState::Ready, None), backend("a2", BackendState::Ready, None)];
    harness.handle(Event::BackendList(list.to_vec()));
    let to_attached = (0..50).filter(|_| &*next(&mut harness) == "a1").count();
    assert!((1..=15).contains(&to_attached), "a cold backend's part of 50: {to_attached}");
}

#[test]
fn attached_backend_gets_a_request_soon_even_if_cold() {
    let settings = Settings { cold_capacity: 0.0, warmup_time: 1e9, ..settings() };
    let mut harness = Harness::new(settings, &["a1", "a2"]);
    harness.handle(Event::Detach { backend: "a1".into() });
    harness.handle(Event::Attach { backend: "a1".into() });
    let mut used = Vec::new();
    for id in 1..=50 {
        harness.now += 100.0;
        let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
        harness.end_attempt(id, 0, &chosen, Outcome::Served);
        used.extend((&*chosen == "a1").then_some(id));
    }
    assert_eq!(used, [25], "one request, 2.5 s after the attach");
}
