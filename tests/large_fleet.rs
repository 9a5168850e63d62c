//! Fleets of hundreds of gateways: limits that the gateways together must keep, and each gateway's own share.

mod helper;
use doorcourse::*;
use helper::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 500;

/// All gateways of a fleet with these backends; the last backend has just started if `cold` is set.
fn fleet(gateways: u32, backends: &[String], cold: bool) -> Vec<Harness> {
    let names: Vec<&str> = backends.iter().map(String::as_str).collect();
    (0..gateways)
        .map(|gateway_index| {
            let settings = Settings { gateways, gateway_index, ..settings() };
            let mut harness = Harness::seeded(settings, 1000 + u64::from(gateway_index), &names);
            if cold {
                let born = Some(harness.now);
                let last = backends.last().expect("a backend");
                harness.handle(Event::BackendChanges(vec![backend(last, BackendState::Ready, born)]));
            }
            harness
        })
        .collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("a{n}")).collect()
}

/// Sends a request of a customer that uses all gateways.
fn request_spread(harness: &mut Harness, id: RequestId, customer: &str, repeat: bool) -> Vec<Action> {
    harness.request_from(id, customer, "plain", "safe", repeat, GATEWAYS)
}

#[test]
fn sampled_quota_holds_over_all_gateways() {
    // Burst 10, rate 5: within 1.5 s, less than a window, at most the bursts of two windows can be granted.
    let mut harnesses = fleet(GATEWAYS, &names(20), false);
    let (mut dispatched, mut totals) = (0, BTreeMap::<u64, f64>::new());
    let start = harnesses[0].now;
    for (id, harness) in (1..).zip(&mut harnesses) {
        harness.now = start + 3.0 * id as f64;
        let mut actions = request_spread(harness, id, "c", false);
        if let Some((name, amount)) = counter_call(&actions) {
            let total = totals.entry(name).or_default();
            *total += amount;
            actions.extend(harness.reply_total(name, *total));
        }
        dispatched += send_count(&actions);
    }
    assert!((5..=20).contains(&dispatched), "{dispatched} of {GATEWAYS} requests reached a backend");
}

#[test]
fn each_gateway_uses_few_backends_and_all_backends_are_used_evenly() {
    let mut harnesses = fleet(GATEWAYS, &names(50), false);
    let (mut per_backend, mut max) = (BTreeMap::<Name, u32>::new(), 0);
    for harness in &mut harnesses {
        let mut backends_used = BTreeSet::new();
        for id in 1..=20 {
            let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
            harness.end_attempt(id, 0, &chosen, Outcome::Served);
            *per_backend.entry(chosen.clone()).or_default() += 1;
            backends_used.insert(chosen);
        }
        max = max.max(backends_used.len());
    }
    assert!(max <= 15, "a gateway used {max} backends");
    let busiest = per_backend.values().max().copied().unwrap_or_default();
    assert_eq!(per_backend.len(), 50);
    assert!(f64::from(busiest) < 1.6 * f64::from(GATEWAYS * 20 / 50), "{busiest}");
}

#[test]
fn cold_backend_gets_its_share_from_the_first_ms_in_small_and_large_fleets() {
    for gateways in [2, GATEWAYS] {
        let backends = names(10);
        let mut harnesses = fleet(gateways, &backends, true);
        let (mut to_cold, rounds) = (0, 5000 / gateways as u64);
        for id in 1..=rounds {
            for harness in &mut harnesses {
                let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
                to_cold += u32::from(&*chosen == "a9");
                harness.end_attempt(id, 0, &chosen, Outcome::Served);
            }
        }
        // An even part is 500 of 5000 requests. At 0.2 of its capacity a backend gets 0.2 of that, times `COLD_LOAD`.
        assert!((40..=120).contains(&to_cold), "{gateways} gateways: {to_cold}");
    }
}

#[test]
fn cold_backends_get_their_share_without_any_warm_backend() {
    let mut harnesses = fleet(GATEWAYS, &names(1), true);
    let mut dispatched = 0;
    for harness in &mut harnesses {
        let mut actions = request_spread(harness, 1, "c", false);
        if let Some((name, _)) = counter_call(&actions) {
            actions.extend(harness.reply_total(name, 1.0));
        }
        dispatched += send_count(&actions);
    }
    assert!((40..=130).contains(&dispatched), "about a sixth of {GATEWAYS}: {dispatched}");
}

/// How many of forty requests reach a backend while the counter rejects all calls.
fn dispatched_without_total(harness: &mut Harness, from: u64, repeat: bool) -> usize {
    let mut dispatched = 0;
    for id in from..from + 40 {
        let mut actions = request_spread(harness, id, "c", repeat);
        if let Some((name, _)) = counter_call(&actions) {
            let (outcome, latency) = (CountOutcome::NotAdded, 1.0);
            actions.extend(harness.handle(Event::Counted { name, outcome, latency }));
        }
        for (id, chosen) in actions.iter().filter_map(|a| first_send(std::slice::from_ref(a))) {
            dispatched += 1;
            harness.end_attempt_after(1.0, id, 0, &chosen, Outcome::Served);
        }
    }
    dispatched
}

#[test]
fn without_a_total_first_tries_pass_while_that_pays_and_repeats_do_not() {
    let mut harness = fleet(GATEWAYS, &names(5), false).swap_remove(0);
    // A total far beyond the quota refuses the request that waited for it, but not the requests after it.
    let (name, amount) = counter_call(&request_spread(&mut harness, 1, "c", false)).expect("a counter call");
    assert!(refused(&harness.reply_total(name, 1000.0 + amount), 1));
    assert_eq!(dispatched_without_total(&mut harness, 100, false), 40);
    assert_eq!(dispatched_without_total(&mut harness, 200, true), 0);
    // Most customers of the plan exceed their quotas: on average, an admitted request would now cost more (the plan's
    // `over_cost` of a request beyond the quota) than it is worth.
    let mut totals_received = 0;
    for id in 300..600 {
        if let Some((name, _)) = counter_call(&request_spread(&mut harness, id, &format!("c{id}"), false)) {
            harness.reply_total(name, 1000.0);
            totals_received += 1;
        }
    }
    assert!(totals_received > 30, "{totals_received} totals received");
    let dispatched = dispatched_without_total(&mut harness, 700, false);
    assert!(dispatched <= 8, "{dispatched} of 40 requests reached a backend");
}

#[test]
fn repeats_by_clients_are_not_counted() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false);
    let mut calls = [0, 0];
    for id in 1..=60 {
        let repeat = id > 30;
        let actions = request_spread(&mut harnesses[0], id, &format!("c{id}"), repeat);
        if let Some((name, amount)) = counter_call(&actions) {
            assert_eq!(amount, 1.0);
            harnesses[0].reply_total(name, 1.0);
            calls[usize::from(repeat)] += 1;
        }
    }
    assert_eq!(calls, [30, 0]);
}

#[test]
fn late_answers_shed_fresh_requests_and_the_fleet_recovers() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false);
    let mut id = 0;
    let mut round = |harness: &mut Harness, latency: Millis, tries: u64| {
        let mut dispatched = 0;
        for _ in 0..tries {
            id += 1;
            let mut actions = request_spread(harness, id, &format!("c{id}"), false);
            if let Some((name, amount)) = counter_call(&actions) {
                actions.extend(harness.reply_total(name, amount));
            }
            for (id, backend) in actions.iter().filter_map(|a| first_send(std::slice::from_ref(a))) {
                dispatched += 1;
                harness.end_attempt_after(latency, id, 0, &backend, Outcome::Served);
            }
        }
        dispatched
    };
    assert_eq!(
        round(&mut harnesses[0], 100.0, 40),
        40,
        "all requests are admitted while answers are in time"
    );
    round(&mut harnesses[0], 790.0, 40);
    assert!(round(&mut harnesses[0], 790.0, 40) < 30, "late answers shed requests");
    round(&mut harnesses[0], 100.0, 300);
    assert!(round(&mut harnesses[0], 100.0, 40) > 36, "the fleet recovers");
}

#[test]
fn waiting_request_gets_a_late_total_without_a_second_call() {
    for (customer, plan) in [("wide", "plain"), ("under a ceiling", "ceiling")] {
        let mut harness = fleet(GATEWAYS, &names(5), false).swap_remove(0);
        let spread = if plan == "plain" { GATEWAYS } else { 10 };
        // Only a share of the requests of a sampled quota is counted.
        let first_call = (1..).find_map(|id| {
            let actions = harness.request_from(id, &format!("{customer} {id}"), plan, "safe", false, spread);
            counter_call(&actions).map(|(name, amount)| (id, name, amount))
        });
        let (id, name, amount) = first_call.expect("a counter call");
        let unique = format!("{customer} {id}");
        harness.now += 50.0;
        let timeout = Event::Counted { name, outcome: CountOutcome::Unknown, latency: 50.0 };
        assert_eq!(harness.handle(timeout), [], "{unique}: the request waits");
        assert_eq!(
            counter_call(&harness.advance(25.0, &[])),
            None,
            "{unique}: the first call is still in progress"
        );
        let late = Event::Counted { name, outcome: CountOutcome::Late { total: 1.0, amount }, latency: 80.0 };
        assert_eq!(first_send(&harness.handle(late)).map(|(id, _)| id), Some(id), "{unique}");
    }
}

#[test]
fn late_totals_show_that_the_counter_is_not_silent() {
    let mut harness = fleet(GATEWAYS, &names(5), false).swap_remove(0);
    let mut calls = 0;
    for id in 1..=20 {
        harness.now += 400.0;
        let actions = harness.request_from(id, &format!("c{id}"), "ceiling", "safe", false, 10);
        let Some((name, amount)) = counter_call(&actions) else { continue };
        calls += 1;
        harness.now += 50.0;
        harness.handle(Event::Counted { name, outcome: CountOutcome::Unknown, latency: 50.0 });
        harness.now += 20.0;
        let outcome = CountOutcome::Late { total: 1.0, amount };
        harness.handle(Event::Counted { name, outcome, latency: 70.0 });
    }
    assert_eq!(calls, 20, "every request makes a counter call");
}

#[test]
fn call_share_falls_with_slow_replies_and_recovers_with_replies_within_half_the_timeout() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false);
    let mut id = 0;
    let mut round = |harnesses: &mut [Harness], latency: Millis| {
        let mut calls = 0;
        for harness in harnesses {
            for _ in 0..20 {
                id += 1;
                let actions = request_spread(harness, id, &format!("c{id}"), false);
                if let Some((name, amount)) = counter_call(&actions) {
                    calls += 1;
                    harness.handle(Event::Counted { name, outcome: CountOutcome::Total(amount), latency });
                }
            }
        }
        calls
    };
    let harnesses = &mut harnesses[..20];
    for _ in 0..3 {
        round(harnesses, 45.0);
    }
    let crowded = round(harnesses, 45.0);
    assert!(crowded < 100, "{crowded} counter calls for 400 requests");
    for _ in 0..12 {
        round(harnesses, 18.0);
    }
    let recovered = round(harnesses, 18.0);
    assert!(recovered > 2 * crowded, "{recovered} calls after {crowded}");
}

/// A gateway of a fleet that has just received the total of a spent quota.
fn with_spent_quota(gateway_index: usize) -> Harness {
    let mut harness = fleet(GATEWAYS, &names(5), false).swap_remove(gateway_index);
    let (name, amount) =
        counter_call(&harness.request_from(1, "c", "ceiling", "safe", false, 10)).expect("a counter call");
    let (_, chosen) = first_send(&harness.reply_total(name, amount)).expect("an attempt");
    harness.end_attempt(1, 0, &chosen, Outcome::Served);
    // Two seconds later the token bucket is full again, and other gateways lease all of the tokens.
    harness.advance(2200.0, &[]);
    let (name, amount) =
        counter_call(&harness.request_from(2, "c", "ceiling", "safe", false, 10)).expect("a counter call");
    let actions = harness.reply_total(name, 10.0 + amount);
    assert!(refused(&actions, 2));
    let (name, amount) = counter_call(&actions).expect("a call that returns the unit");
    assert_eq!(amount, -1.0);
    harness.reply_total(name, 10.0);
    harness
}

#[test]
fn gateways_do_not_all_call_for_the_next_unit_of_a_spent_quota() {
    // At five units per second, each gateway expects the next unit in the bucket after 0.3 s.
    let mut calls = 0;
    for gateway_index in 0..40 {
        let mut harness = with_spent_quota(gateway_index);
        harness.advance(300.0, &[]);
        calls +=
            u32::from(counter_call(&harness.request_from(3, "c", "ceiling", "safe", false, 10)).is_some());
    }
    assert!((5..=35).contains(&calls), "{calls} of 40 gateways call");
    let mut harness = with_spent_quota(0);
    harness.advance(500.0, &[]);
    assert!(
        counter_call(&harness.request_from(2, "c", "ceiling", "safe", false, 10)).is_some(),
        "a fifth of the time until each gateway has a unit is over"
    );
}

#[test]
fn unknown_customer_late_in_a_window_has_the_refill_of_the_window() {
    // Twenty times within a window of two seconds: half of the burst is available at its start, all of it at its end.
    let mut dispatched = 0;
    for moment in 0..20 {
        let mut harness = fleet(GATEWAYS, &names(5), false).swap_remove(0);
        harness.now += 100.0 * f64::from(moment);
        let (name, amount) = counter_call(&harness.request_from(1, "c", "ceiling", "safe", false, 10))
            .expect("a counter call");
        dispatched += send_count(&harness.reply_total(name, 6.5 + amount));
    }
    assert!((5..=16).contains(&dispatched), "{dispatched} of 20 requests fit beside 6.5 units in the count");
}

#[test]
fn slices_below_one_unit_are_rounded_by_chance_during_silence() {
    let mut dispatched = 0;
    for harness in &mut fleet(GATEWAYS, &names(5), false) {
        // Without any earlier total, the gateway considers the counter silent after two rejected calls.
        for id in 1..=3 {
            let mut actions = harness.request_from(id, &format!("c{id}"), "ceiling", "safe", false, 10);
            if let Some((name, _)) = counter_call(&actions) {
                actions =
                    harness.handle(Event::Counted { name, outcome: CountOutcome::NotAdded, latency: 1.0 });
            }
            if let Some((id, chosen)) = first_send(&actions) {
                dispatched += u32::from(id == 3);
                harness.end_attempt(id, 0, &chosen, Outcome::Served);
            }
        }
    }
    assert!((150..=350).contains(&dispatched), "half a unit each: {dispatched} of {GATEWAYS}");
}

#[test]
fn every_backend_is_preferred_by_equally_many_gateways() {
    // Each of 100 gateways prefers 5 of 60 backends: 8 or 9 prefer each backend and send it a fifth of their requests.
    let mut sent_to = BTreeMap::<Name, u32>::new();
    for harness in &mut fleet(100, &names(60), false) {
        for id in 1..=60 {
            let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
            harness.end_attempt(id, 0, &chosen, Outcome::Served);
            *sent_to.entry(chosen).or_default() += 1;
        }
    }
    let (min, max) = (sent_to.values().min(), sent_to.values().max());
    assert!(min >= Some(&60) && max <= Some(&140), "mean 100 per backend: {min:?} to {max:?}");
}

#[test]
fn cold_backends_relieve_warm_ones_after_a_mass_restart_without_overload() {
    let names = names(60);
    let list: Vec<&str> = names.iter().map(String::as_str).collect();
    let harness = |gateway_index| {
        let settings = Settings { gateways: 100, gateway_index, overload_factor: 3.0, ..settings() };
        Harness::seeded(settings, 1000 + u64::from(gateway_index), &list)
    };
    let mut harnesses: Vec<Harness> = (0..100).map(harness).collect();
    // Six in ten backends started just now at a fifth of their capacity, or half the warm-up time ago at 0.6 of it.
    for (age, per_warm) in [(0.0, 190..=215), (9000.0, 120..=145)] {
        let mut sent_to = BTreeMap::<Name, u32>::new();
        for (harness, first) in harnesses.iter_mut().zip((0..).step_by(1000)) {
            let born = Some(harness.now - age);
            let cold = names[24..].iter().map(|name| backend(name, BackendState::Ready, born));
            harness.handle(Event::BackendChanges(cold.collect()));
            for id in first..first + 60 {
                let chosen = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
                harness.end_attempt(id, 0, &chosen, Outcome::Served);
                *sent_to.entry(chosen).or_default() += 1;
            }
            harness.now += 20_000.0;
        }
        let warm: u32 = names[..24].iter().filter_map(|name| sent_to.get(name.as_str())).sum();
        assert!(
            per_warm.contains(&(warm / 24)),
            "{age}: {} per warm backend where 100 is an even part",
            warm / 24
        );
        let max = names[24..].iter().filter_map(|name| sent_to.get(name.as_str())).max();
        let share = if age == 0.0 { 0.2 } else { 0.6 };
        // An even part is 100, which is assumed to be within a warm backend's capacity; the overload factor is 3.
        assert!(max < Some(&((3.0 * share * 100.0) as u32)), "{age}: {max:?} at a cold backend");
    }
}

#[test]
fn successor_process_picks_the_same_backends() {
    let original = || fleet(GATEWAYS, &names(40), false).swap_remove(3);
    let picks = |harness: &mut Harness| -> Vec<Name> {
        let pick = |id| {
            let mut actions = request_spread(harness, id, &format!("c{id}"), false);
            if let Some((name, amount)) = counter_call(&actions) {
                actions.extend(harness.reply_total(name, amount));
            }
            let chosen = first_send(&actions).expect("an attempt").1;
            harness.end_attempt_after(1.0, id, 0, &chosen, Outcome::Served);
            chosen
        };
        (1..=30).map(pick).collect()
    };
    // The handover state is serialized without the values derived from names, which the successor has to restore.
    let state = serde_json::to_string(&original().gateway.hand_over()).expect("serialized state");
    let mut successor =
        Harness::seeded(Settings { gateways: GATEWAYS, gateway_index: 3, ..settings() }, 1003, &[]);
    successor.gateway.take_over(serde_json::from_str(&state).expect("handover state"), successor.now);
    let picked = picks(&mut successor);
    let several: std::collections::BTreeSet<_> = picked.iter().collect();
    assert!(several.len() > 2, "{several:?}");
    assert_eq!(picked, picks(&mut original()));
}
