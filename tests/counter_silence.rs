//! The counter silent, slow or emptied; the ceiling through all of it.

mod helper;
use doorcourse::*;
use helper::*;

fn silence(harness: &mut Harness, name: u64) -> Vec<Action> {
    harness.now += 50.0;
    harness.handle(Event::Counted { name, outcome: CountOutcome::Unknown, latency: 50.0 })
}

/// Offers a request every 20 ms while the counter says nothing; gives how many went on.
fn spent_in_silence(harness: &mut Harness, plan: &str, span: Millis) -> usize {
    let (mut dispatched, mut id, end) = (0, 1_000_000, harness.now + span);
    while harness.now < end {
        id += 1;
        let mut actions = harness.request(id, "c", plan, "safe");
        if let Some((name, _)) = counter_call(&actions) {
            actions.extend(silence(harness, name));
        }
        if let Some((id, at)) = first_send(&actions) {
            dispatched += 1;
            harness.end_attempt(id, 0, &at, Outcome::Served);
        }
        harness.now += 20.0;
    }
    dispatched
}

/// Offers a request under a ceiling while the counter answers with `total`, served at once; gives how many went on.
fn offer(harness: &mut Harness, id: RequestId, total: &mut f64) -> usize {
    let mut dispatched = Vec::new();
    let mut actions = harness.request(id, "c", "ceiling", "safe");
    loop {
        dispatched.extend(actions.iter().filter_map(|a| first_send(std::slice::from_ref(a))));
        let Some((name, amount)) = counter_call(&actions) else { break };
        *total += amount;
        actions = harness.reply_total(name, *total);
    }
    for (id, at) in &dispatched {
        harness.end_attempt(*id, 0, at, Outcome::Served);
    }
    dispatched.len()
}

#[test]
fn in_silence_a_gateway_spends_its_even_slice_and_no_more() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    // Burst 10 and rate 5 for two gateways: at most 5 at once and 2.5 a second, 30 in ten seconds.
    let dispatched = spent_in_silence(&mut harness, "plain", 10_000.0);
    assert!((26..=30).contains(&dispatched), "{dispatched}");
}

#[test]
fn the_ceiling_holds_through_a_spent_burst_an_emptied_count_a_restart_and_silence() {
    // The other gateway's view: the whole burst of 10 was just granted. This one comes back with nothing, finds
    // the count emptied, takes what it is given, and then the counter falls silent.
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let start = harness.now;
    let (mut dispatched, mut total, mut id) = (0.0, 0.0, 0);
    while harness.now < start + 2000.0 {
        id += 1;
        dispatched += offer(&mut harness, id, &mut total) as f64;
        let ceiling = 16.0 + 8.0 * (harness.now - start) / 1000.0 + 1.6;
        assert!(10.0 + dispatched <= ceiling, "10 + {dispatched} against {ceiling} on the way");
        harness.now += 20.0;
    }
    // Two gateways in silence: what each may spend is the same slice.
    dispatched += 2.0 * spent_in_silence(&mut harness, "ceiling", 4000.0) as f64;
    let ceiling = 16.0 + 8.0 * 6.0 + 1.6;
    assert!(10.0 + dispatched <= ceiling, "10 + {dispatched} against {ceiling}");
}

#[test]
fn an_emptied_count_is_told_again_what_is_held() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.reply_total(name, amount);
    let mut asked = None;
    for id in 2..=12 {
        asked = counter_call(&harness.request(id, "c", "plain", "safe"));
        if asked.is_some() {
            break;
        }
    }
    let (name, added) = asked.expect("a further block");
    harness.reply_total(name, added);
    let told = counter_call(&harness.advance(60.0, &[])).expect("the count hears what it forgot");
    assert!(told.1 >= amount, "{told:?}");
}

#[test]
fn silence_is_told_once_and_the_counter_is_asked_for_few_requests_only() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let (mut calls, mut lines, mut id) = (0, 0, 0);
    let end = harness.now + 5000.0;
    while harness.now < end {
        id += 1;
        let mut actions = harness.request(id, &format!("c{id}"), "plain", "safe");
        if let Some((name, _)) = counter_call(&actions) {
            calls += 1;
            actions.extend(silence(&mut harness, name));
        }
        lines += actions.iter().filter(|a| matches!(a, Action::Log(line) if line.contains("silent"))).count();
        if let Some((id, at)) = first_send(&actions) {
            harness.end_attempt(id, 0, &at, Outcome::Served);
        }
        harness.now += 10.0;
    }
    assert_eq!(lines, 1);
    assert!(calls >= 3, "who never asks never learns that the counter is back: {calls}");
    assert!(f64::from(calls) <= 0.15 * id as f64, "{calls} calls for {id} requests");
}

fn late(harness: &mut Harness, name: u64, total: f64, amount: f64) -> Vec<Action> {
    harness.now += 20.0;
    harness.handle(Event::Counted { name, outcome: CountOutcome::Late { total, amount }, latency: 70.0 })
}

#[test]
fn a_block_whose_answer_comes_late_is_spent_after_all_and_only_once() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    assert_eq!(amount, 5.0);
    silence(&mut harness, name);
    // The block is in the count, which nobody else has added to.
    late(&mut harness, name, 5.0, amount);
    for id in 2..=6 {
        let actions = harness.request(id, "c", "plain", "safe");
        assert_eq!(send_count(&actions), 1, "request {id} is paid from the late block: {actions:?}");
    }
    late(&mut harness, name, 5.0, amount);
    assert_eq!(
        send_count(&harness.request(7, "c", "plain", "safe")),
        0,
        "the same word twice is no second block"
    );
}

#[test]
fn a_late_answer_that_a_newer_total_has_overtaken_adds_its_block_and_no_debt() {
    let mut harness =
        Harness::new(Settings { gateways: 4, ..settings() }, &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let (name, amount) =
        counter_call(&harness.request_from(1, "c", "plain", "safe", false, 4)).expect("call");
    silence(&mut harness, name);
    // By another connection the next call's total comes first; it holds both blocks.
    let (name, next) =
        counter_call(&harness.request_from(2, "c", "plain", "safe", false, 4)).expect("a further call");
    assert_eq!(send_count(&harness.reply_total(name, amount + next)), 1);
    late(&mut harness, name, amount, amount);
    let told = counter_call(&harness.advance(60.0, &[])).map_or(0.0, |(_, amount)| amount);
    assert!(told <= 0.0, "nothing was forgotten that had to be told again: {told}");
    assert_eq!(
        send_count(&harness.request_from(3, "c", "plain", "safe", false, 4)),
        1,
        "the late block is in hand"
    );
}

#[test]
fn a_late_block_that_does_not_fit_goes_back() {
    let mut harness = Harness::new(settings(), &["a1", "a2"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    silence(&mut harness, name);
    // Others hold the whole burst and more. What the silence let in is owed, the late block goes back.
    late(&mut harness, name, amount + 40.0, amount);
    let (_, told) = counter_call(&harness.advance(60.0, &[])).expect("what does not fit goes back");
    assert_eq!(told, 1.0 - amount);
}

#[test]
fn a_late_total_of_an_ended_window_grants_nothing() {
    let mut harness = Harness::new(settings(), &["a1"]);
    let (name, amount) = counter_call(&harness.request(1, "c", "plain", "safe")).expect("call");
    harness.advance(100.0, &[1]);
    harness.now += 5000.0;
    let actions = harness.reply_total(name, amount);
    assert_eq!(send_count(&actions), 0);
    assert_eq!(send_count(&harness.request(2, "c", "plain", "safe")), 0, "no block in hand");
}

#[test]
fn after_a_silence_an_idle_gateway_does_not_take_a_ceiling_s_store_for_full() {
    let mut harness = Harness::new(settings(), &["a1", "a2", "a3"]);
    let at = harness.dispatch(1, "c", "ceiling", "safe");
    harness.end_attempt(1, 0, &at, Outcome::Served);
    harness.now += 100.0;
    for id in 2..=3 {
        let (name, _) =
            counter_call(&harness.request(id, &format!("other{id}"), "plain", "safe")).expect("call");
        silence(&mut harness, name);
    }
    // Three seconds in which the other gateway may spend all; then the counter is back, empty.
    harness.now += 3000.0;
    let (mut dispatched, mut total, mut id) = (0, 0.0, 100);
    for _ in 0..40 {
        id += 1;
        dispatched += offer(&mut harness, id, &mut total);
    }
    assert!(
        dispatched <= 5 && total <= 5.0,
        "only the own slice of the silence: {dispatched} sent, {total} added"
    );
}
