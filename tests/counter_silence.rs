//! A counter that is silent, slow or emptied, and the quota ceiling in all these cases.

mod helper;
use doorcourse::*;
use helper::*;

fn time_out(harness: &mut Harness, name: u64) -> Vec<Action> {
    harness.now += 50.0;
    harness.handle(Event::Counted { name, outcome: CountOutcome::Unknown, latency: 50.0 })
}

/// Sends a request every 20 ms while the counter does not reply; returns how many reached a backend.
fn send_during_silence(harness: &mut Harness, plan: &str, span: Millis) -> usize {
    let (mut dispatched, mut id, end) = (0, 1_000_000, harness.now + span);
    while harness.now < end {
        id += 1;
        let mut actions = harness.request(id, "c", plan, "safe");
        if let Some((name, _)) = counter_call(&actions) {
            actions.extend(time_out(harness, name));
        }
        if let Some((id, chosen)) = first_send(&actions) {
            dispatched += 1;
            harness.end_attempt(id, 0, &chosen, Outcome::Served);
        }
        harness.now += 20.0;
    }
    dispatched
}

/// Sends a request under a ceiling while the counter replies. Returns how many requests reached a backend.
fn send_under_ceiling(harness: &mut Harness, id: RequestId, total: &mut f64) -> usize {
    let mut dispatched = Vec::new();
    let mut actions = harness.request(id, "c", "ceiling", "safe");
    loop {
        dispatched.extend(actions.iter().filter_map(|a| first_send(std::slice::from_ref(a))));
        let Some((name, amount)) = counter_call(&actions) else { break };
        *total += amount;
        actions = harness.reply_total(name, *total);
    }
    for (id, chosen) in &dispatched {
        harness.end_attempt(*id, 0, chosen, Outcome::Served);
    }
    dispatched.len()
}

#[test]
fn gateway_spends_at_most_its_even_slice_during_silence() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    // Burst 10 and rate 5 for two gateways: each may spend 5 units at once and 2.5 per second, 30 in ten seconds.
    let dispatched = send_during_silence(&mut harness, "plain", 10_000.0);
    assert!((26..=30).contains(&dispatched), "{dispatched}");
}

#[test]
fn ceiling_holds_through_spent_burst_emptied_count_restart_and_silence() {
    // The other gateway has just granted the whole burst of 10. This gateway restarts without state, finds the
    // count emptied, spends the leases it gets, and then the counter falls silent.
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let start = harness.now;
    let (mut dispatched, mut total, mut id) = (0.0, 0.0, 0);
    while harness.now < start + 2000.0 {
        id += 1;
        dispatched += send_under_ceiling(&mut harness, id, &mut total) as f64;
        let ceiling = 16.0 + 8.0 * (harness.now - start) / 1000.0 + 1.6;
        assert!(
            10.0 + dispatched <= ceiling,
            "10 + {dispatched} exceeds the ceiling of {ceiling} before the silence"
        );
        harness.now += 20.0;
    }
    // During the silence both gateways may spend the same slice.
    dispatched += 2.0 * send_during_silence(&mut harness, "ceiling", 4000.0) as f64;
    let ceiling = 16.0 + 8.0 * 6.0 + 1.6;
    assert!(10.0 + dispatched <= ceiling, "10 + {dispatched} exceeds the ceiling of {ceiling}");
}

#[test]
fn held_units_are_reported_again_to_an_emptied_count() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("a counter call");
    harness.reply_total(name, amount);
    let mut asked = None;
    for id in 2..=12 {
        asked = counter_call(&harness.request(id, "c", "plain", "safe"));
        if asked.is_some() {
            break;
        }
    }
    let (name, added) = asked.expect("another lease");
    harness.reply_total(name, added);
    let report = counter_call(&harness.advance(60.0, &[])).expect("a report of the held units");
    assert!(report.1 >= amount, "{report:?}");
}

#[test]
fn silence_is_logged_once_and_few_requests_call_the_counter() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let (mut calls, mut lines, mut id) = (0, 0, 0);
    let end = harness.now + 5000.0;
    while harness.now < end {
        id += 1;
        let mut actions = harness.request(id, &format!("c{id}"), "plain", "safe");
        if let Some((name, _)) = counter_call(&actions) {
            calls += 1;
            actions.extend(time_out(&mut harness, name));
        }
        lines += actions.iter().filter(|a| matches!(a, Action::Log(line) if line.contains("silent"))).count();
        if let Some((id, chosen)) = first_send(&actions) {
            harness.end_attempt(id, 0, &chosen, Outcome::Served);
        }
        harness.now += 10.0;
    }
    assert_eq!(lines, 1);
    assert!(calls >= 3, "without calls the gateway would not notice that the counter is back: {calls}");
    assert!(f64::from(calls) <= 0.15 * id as f64, "{calls} calls for {id} requests");
}

fn late_reply(harness: &mut Harness, name: u64, total: f64, amount: f64) -> Vec<Action> {
    harness.now += 20.0;
    harness.handle(Event::Counted { name, outcome: CountOutcome::Late { total, amount }, latency: 70.0 })
}

#[test]
fn lease_with_a_late_reply_is_spent_exactly_once() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("a counter call");
    assert_eq!(amount, 5.0);
    time_out(&mut harness, name);
    // The count contains the lease, and no other gateway has added to it.
    late_reply(&mut harness, name, 5.0, amount);
    for id in 2..=6 {
        let actions = harness.request(id, "c", "plain", "safe");
        assert_eq!(send_count(&actions), 1, "request {id} is paid from the late lease: {actions:?}");
    }
    late_reply(&mut harness, name, 5.0, amount);
    assert_eq!(
        send_count(&harness.request(7, "c", "plain", "safe")),
        0,
        "a duplicate reply grants no second lease"
    );
}

#[test]
fn late_reply_older_than_the_last_total_adds_its_lease_and_no_debt() {
    let mut harness =
        Harness::new(Settings { gateways: 4, ..settings() }, &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let (name, amount) =
        counter_call(&harness.request_from(1, "c", "plain", "safe", false, 4)).expect("a counter call");
    time_out(&mut harness, name);
    // The total of the next call arrives first, by another connection, and contains both leases.
    let (name, next) =
        counter_call(&harness.request_from(2, "c", "plain", "safe", false, 4)).expect("another counter call");
    assert_eq!(send_count(&harness.reply_total(name, amount + next)), 1);
    late_reply(&mut harness, name, amount, amount);
    let report = counter_call(&harness.advance(60.0, &[])).map_or(0.0, |(_, amount)| amount);
    assert!(report <= 0.0, "the count lost no units that would have to be reported again: {report}");
    assert_eq!(
        send_count(&harness.request_from(3, "c", "plain", "safe", false, 4)),
        1,
        "the late lease is available"
    );
}

#[test]
fn late_lease_beyond_the_quota_is_returned() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("a counter call");
    time_out(&mut harness, name);
    // Other gateways have leased more than the burst. The request admitted during the silence is reported, and the
    // late lease is returned.
    late_reply(&mut harness, name, amount + 40.0, amount);
    let (_, report) = counter_call(&harness.advance(60.0, &[])).expect("a call that returns the excess");
    assert_eq!(report, 1.0 - amount);
}

#[test]
fn total_of_an_ended_window_grants_nothing() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("a counter call");
    harness.advance(100.0, &[1]);
    harness.now += 5000.0;
    let actions = harness.reply_total(name, amount);
    assert_eq!(send_count(&actions), 0);
    assert_eq!(send_count(&harness.request(2, "c", "plain", "safe")), 0, "the gateway holds no lease");
}

#[test]
fn idle_gateway_does_not_assume_full_tokens_after_a_silence() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let chosen = harness.dispatch(1, "c", "ceiling", "safe");
    harness.end_attempt(1, 0, &chosen, Outcome::Served);
    harness.now += 100.0;
    for id in 2..=3 {
        let (name, _) = counter_call(&harness.request(id, &format!("other{id}"), "plain", "safe"))
            .expect("a counter call");
        time_out(&mut harness, name);
    }
    // The other gateway may spend all units within three seconds; then the counter is back with an empty count.
    harness.now += 3000.0;
    let (mut dispatched, mut total, mut id) = (0, 0.0, 100);
    for _ in 0..40 {
        id += 1;
        dispatched += send_under_ceiling(&mut harness, id, &mut total);
    }
    assert!(
        dispatched <= 5 && total <= 5.0,
        "only the gateway's slice is left: {dispatched} sent, {total} added"
    );
}
