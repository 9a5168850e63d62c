//! Hundreds of gateways, fed by hand: what they permit together is added up.

mod helper;
use doorcourse::*;
use helper::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 500;

/// All gateways of a fleet with these backends; the last one starts cold now where `cold` is set.
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

/// A request of a customer spread over all gateways.
fn spread(harness: &mut Harness, id: RequestId, customer: &str, repeat: bool) -> Vec<Action> {
    harness.request_from(id, customer, "plain", "safe", repeat, GATEWAYS)
}

#[test]
fn a_thin_customer_s_quota_holds_over_all_gateways() {
    // Burst 10, rate 5: in 1.5 s, less than a turn, no more than two windows' bursts can be granted.
    let mut harnesses = fleet(GATEWAYS, &names(20), false);
    let (mut dispatched, mut totals) = (0, BTreeMap::<u64, f64>::new());
    let start = harnesses[0].now;
    for (id, harness) in (1..).zip(&mut harnesses) {
        harness.now = start + 3.0 * id as f64;
        let mut actions = spread(harness, id, "c", false);
        if let Some((name, amount)) = counter_call(&actions) {
            let total = totals.entry(name).or_default();
            *total += amount;
            actions.extend(harness.reply_total(name, *total));
        }
        dispatched += send_count(&actions);
    }
    assert!((5..=20).contains(&dispatched), "{dispatched} of {GATEWAYS} tries went on");
}

#[test]
fn each_of_many_gateways_keeps_to_few_backends_and_all_are_used_alike() {
    let mut harnesses = fleet(GATEWAYS, &names(50), false);
    let (mut per_backend, mut most) = (BTreeMap::<Name, u32>::new(), 0);
    for harness in &mut harnesses {
        let mut own = BTreeSet::new();
        for id in 1..=20 {
            let at = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
            harness.end_attempt(id, 0, &at, Outcome::Served);
            *per_backend.entry(at.clone()).or_default() += 1;
            own.insert(at);
        }
        most = most.max(own.len());
    }
    assert!(most <= 15, "a gateway used {most} backends");
    let busiest = per_backend.values().max().copied().unwrap_or_default();
    assert_eq!(per_backend.len(), 50);
    assert!(f64::from(busiest) < 1.6 * f64::from(GATEWAYS * 20 / 50), "{busiest}");
}

#[test]
fn two_or_five_hundred_gateways_send_a_cold_backend_its_share_from_the_first_ms() {
    for gateways in [2, GATEWAYS] {
        let backends = names(10);
        let mut harnesses = fleet(gateways, &backends, true);
        let (mut to_cold, rounds) = (0, 5000 / gateways as u64);
        for id in 1..=rounds {
            for harness in &mut harnesses {
                let at = harness.dispatch(id, &format!("c{id}"), "plain", "safe");
                to_cold += u32::from(&*at == "a9");
                harness.end_attempt(id, 0, &at, Outcome::Served);
            }
        }
        // An even part is 500 of 5000; at 0.2 of its capacity a fifth of that, less the part kept back.
        assert!((40..=120).contains(&to_cold), "{gateways} gateways: {to_cold}");
    }
}

#[test]
fn with_no_warm_backend_left_cold_ones_get_their_share() {
    let mut harnesses = fleet(GATEWAYS, &names(1), true);
    let mut dispatched = 0;
    for harness in &mut harnesses {
        let mut actions = spread(harness, 1, "c", false);
        if let Some((name, _)) = counter_call(&actions) {
            actions.extend(harness.reply_total(name, 1.0));
        }
        dispatched += send_count(&actions);
    }
    assert!((40..=130).contains(&dispatched), "about a sixth of {GATEWAYS}: {dispatched}");
}

/// How many of forty tries go on while the counter turns all calls away.
fn without_totals(harness: &mut Harness, from: u64, repeat: bool) -> usize {
    let mut dispatched = 0;
    for id in from..from + 40 {
        let mut actions = spread(harness, id, "c", repeat);
        if let Some((name, _)) = counter_call(&actions) {
            let (outcome, latency) = (CountOutcome::NotAdded, 1.0);
            actions.extend(harness.handle(Event::Counted { name, outcome, latency }));
        }
        for (id, at) in actions.iter().filter_map(|a| first_send(std::slice::from_ref(a))) {
            dispatched += 1;
            harness.end_attempt_after(1.0, id, 0, &at, Outcome::Served);
        }
    }
    dispatched
}

#[test]
fn without_a_total_first_tries_go_on_while_that_pays_and_repeats_do_not() {
    let mut harness = fleet(GATEWAYS, &names(5), false).swap_remove(0);
    // One total far beyond the quota: the next try may find room all the same.
    let (name, amount) = counter_call(&spread(&mut harness, 1, "c", false)).expect("a call");
    assert!(refused(&harness.reply_total(name, 1000.0 + amount), 1));
    assert_eq!(without_totals(&mut harness, 100, false), 40);
    assert_eq!(without_totals(&mut harness, 200, true), 0);
    // Most customers of the plan are beyond their quotas: what goes on would cost more than it earns.
    let mut heard = 0;
    for id in 300..600 {
        if let Some((name, _)) = counter_call(&spread(&mut harness, id, &format!("c{id}"), false)) {
            harness.reply_total(name, 1000.0);
            heard += 1;
        }
    }
    assert!(heard > 30, "{heard} totals");
    let dispatched = without_totals(&mut harness, 700, false);
    assert!(dispatched <= 8, "{dispatched} of 40");
}

#[test]
fn a_client_s_repeat_is_worth_no_call() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false);
    let mut asked = [0, 0];
    for id in 1..=60 {
        let repeat = id > 30;
        let actions = spread(&mut harnesses[0], id, &format!("c{id}"), repeat);
        if let Some((name, amount)) = counter_call(&actions) {
            assert_eq!(amount, 1.0);
            harnesses[0].reply_total(name, 1.0);
            asked[usize::from(repeat)] += 1;
        }
    }
    assert_eq!(asked, [30, 0]);
}

#[test]
fn late_answers_shed_fresh_requests_and_the_fleet_recovers() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false);
    let mut id = 0;
    let mut round = |harness: &mut Harness, latency: Millis, tries: u64| {
        let mut dispatched = 0;
        for _ in 0..tries {
            id += 1;
            let mut actions = spread(harness, id, &format!("c{id}"), false);
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
    assert_eq!(round(&mut harnesses[0], 100.0, 40), 40, "all are taken while answers come in time");
    round(&mut harnesses[0], 790.0, 40);
    assert!(round(&mut harnesses[0], 790.0, 40) < 30, "late answers shed");
    round(&mut harnesses[0], 100.0, 300);
    assert!(round(&mut harnesses[0], 100.0, 40) > 36, "and it recovers");
}

#[test]
fn of_many_gateways_who_waits_for_a_late_total_gets_it_and_asks_nothing_twice() {
    for (customer, plan) in [("wide", "plain"), ("under a ceiling", "ceiling")] {
        let mut harness = fleet(GATEWAYS, &names(5), false).swap_remove(0);
        let spread = if plan == "plain" { GATEWAYS } else { 10 };
        // Not every try of a wide customer is asked about.
        let asked = (1..).find_map(|id| {
            let actions = harness.request_from(id, &format!("{customer} {id}"), plan, "safe", false, spread);
            counter_call(&actions).map(|(name, amount)| (id, name, amount))
        });
        let (id, name, amount) = asked.expect("a call");
        let own = format!("{customer} {id}");
        harness.now += 50.0;
        let given_up = Event::Counted { name, outcome: CountOutcome::Unknown, latency: 50.0 };
        assert_eq!(harness.handle(given_up), [], "{own}: it waits");
        assert_eq!(counter_call(&harness.advance(25.0, &[])), None, "{own}: the question is still out");
        let late = Event::Counted { name, outcome: CountOutcome::Late { total: 1.0, amount }, latency: 80.0 };
        assert_eq!(first_send(&harness.handle(late)).map(|(id, _)| id), Some(id), "{own}");
    }
}

#[test]
fn late_totals_show_each_of_many_gateways_that_the_counter_is_not_silent() {
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
    assert_eq!(calls, 20, "all are asked about");
}

#[test]
fn many_gateways_ask_less_of_a_crowded_counter_and_more_while_answers_come_by_half_time() {
    let mut harnesses = fleet(GATEWAYS, &names(5), false);
    let mut id = 0;
    let mut round = |harnesses: &mut [Harness], latency: Millis| {
        let mut calls = 0;
        for harness in harnesses {
            for _ in 0..20 {
                id += 1;
                let actions = spread(harness, id, &format!("c{id}"), false);
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
    assert!(crowded < 100, "of 400 tries {crowded} are asked about");
    for _ in 0..12 {
        round(harnesses, 18.0);
    }
    let eased = round(harnesses, 18.0);
    assert!(eased > 2 * crowded, "{eased} after {crowded}");
}

/// A door of a fleet that the total of a spent quota has just been told to.
fn told_spent(gateway_index: usize) -> Harness {
    let mut harness = fleet(GATEWAYS, &names(5), false).swap_remove(gateway_index);
    let (name, amount) =
        counter_call(&harness.request_from(1, "c", "ceiling", "safe", false, 10)).expect("a call");
    let (_, at) = first_send(&harness.reply_total(name, amount)).expect("sent on");
    harness.end_attempt(1, 0, &at, Outcome::Served);
    // Two seconds on its store is full again, and others have had all of it.
    harness.advance(2200.0, &[]);
    let (name, amount) =
        counter_call(&harness.request_from(2, "c", "ceiling", "safe", false, 10)).expect("a call");
    let actions = harness.reply_total(name, 10.0 + amount);
    assert!(refused(&actions, 2));
    let (name, amount) = counter_call(&actions).expect("the unit goes back");
    assert_eq!(amount, -1.0);
    harness.reply_total(name, 10.0);
    harness
}

#[test]
fn the_gateways_of_a_spent_quota_do_not_all_ask_for_the_next_unit() {
    // Five units a second: after 0.3 s each believes one to be there for it.
    let mut calls = 0;
    for gateway_index in 0..40 {
        let mut harness = told_spent(gateway_index);
        harness.advance(300.0, &[]);
        calls +=
            u32::from(counter_call(&harness.request_from(3, "c", "ceiling", "safe", false, 10)).is_some());
    }
    assert!((5..=35).contains(&calls), "{calls} of 40 ask");
    let mut harness = told_spent(0);
    harness.advance(500.0, &[]);
    assert!(
        counter_call(&harness.request_from(2, "c", "ceiling", "safe", false, 10)).is_some(),
        "a fifth of the time in which each has one coming is over"
    );
}

#[test]
fn who_first_hears_of_a_customer_late_in_a_window_counts_what_the_rate_has_given() {
    // Twenty moments of a window of two seconds: by its end burst is there, at its start half of it.
    let mut dispatched = 0;
    for moment in 0..20 {
        let mut harness = fleet(GATEWAYS, &names(5), false).swap_remove(0);
        harness.now += 100.0 * f64::from(moment);
        let (name, amount) =
            counter_call(&harness.request_from(1, "c", "ceiling", "safe", false, 10)).expect("a call");
        dispatched += send_count(&harness.reply_total(name, 6.5 + amount));
    }
    assert!((5..=16).contains(&dispatched), "{dispatched} of 20 find room beside 6.5 units in the count");
}

#[test]
fn even_slices_of_less_than_a_unit_are_drawn_in_a_silence() {
    let mut dispatched = 0;
    for harness in &mut fleet(GATEWAYS, &names(5), false) {
        // After two refused calls without a total before them the counter counts as silent.
        for id in 1..=3 {
            let mut actions = harness.request_from(id, &format!("c{id}"), "ceiling", "safe", false, 10);
            if let Some((name, _)) = counter_call(&actions) {
                actions =
                    harness.handle(Event::Counted { name, outcome: CountOutcome::NotAdded, latency: 1.0 });
            }
            if let Some((id, at)) = first_send(&actions) {
                dispatched += u32::from(id == 3);
                harness.end_attempt(id, 0, &at, Outcome::Served);
            }
        }
    }
    assert!((150..=350).contains(&dispatched), "half a unit each: {dispatched} of {GATEWAYS}");
}

#[test]
fn every_backend_is_the_own_one_of_equally_many_gateways() {
    // 5 of 60 at each of 100 gateways: 8 or 9 have a backend for their own and send it a fifth of theirs.
    let mut sent_to = BTreeMap::<Name, u32>::new();
    for harness in &mut fleet(100, &names(60), false) {
        for id in 1..=60 {
            let at = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
            harness.end_attempt(id, 0, &at, Outcome::Served);
            *sent_to.entry(at).or_default() += 1;
        }
    }
    let (least, most) = (sent_to.values().min(), sent_to.values().max());
    assert!(least >= Some(&60) && most <= Some(&140), "100 each in the mean: {least:?} to {most:?}");
}

#[test]
fn after_a_mass_return_cold_backends_take_work_off_the_warm_ones_but_not_what_would_fell_them() {
    let names = names(60);
    let list: Vec<&str> = names.iter().map(String::as_str).collect();
    let harness = |gateway_index| {
        let settings = Settings { gateways: 100, gateway_index, overload_factor: 3.0, ..settings() };
        Harness::seeded(settings, 1000 + u64::from(gateway_index), &list)
    };
    let mut harnesses: Vec<Harness> = (0..100).map(harness).collect();
    // Six in ten started a moment ago at a fifth of their capacity, or half of the cold time ago at 0.6.
    for (age, per_warm) in [(0.0, 190..=215), (9000.0, 120..=145)] {
        let mut sent_to = BTreeMap::<Name, u32>::new();
        for (harness, first) in harnesses.iter_mut().zip((0..).step_by(1000)) {
            let born = Some(harness.now - age);
            let cold = names[24..].iter().map(|name| backend(name, BackendState::Ready, born));
            harness.handle(Event::BackendChanges(cold.collect()));
            for id in first..first + 60 {
                let at = harness.dispatch(id, &format!("c{id}"), "plain", "unsafe");
                harness.end_attempt(id, 0, &at, Outcome::Served);
                *sent_to.entry(at).or_default() += 1;
            }
            harness.now += 20_000.0;
        }
        let warm: u32 = names[..24].iter().filter_map(|name| sent_to.get(name.as_str())).sum();
        assert!(per_warm.contains(&(warm / 24)), "{age}: {} a warm one where 100 are even", warm / 24);
        let most = names[24..].iter().filter_map(|name| sent_to.get(name.as_str())).max();
        let share = if age == 0.0 { 0.2 } else { 0.6 };
        // An even part is 100; a warm one is taken to do no less, the rule's multiple is 3.
        assert!(most < Some(&((3.0 * share * 100.0) as u32)), "{age}: {most:?} at a cold one");
    }
}

#[test]
fn a_process_that_takes_over_picks_as_one_that_was_told_the_list() {
    let told = || fleet(GATEWAYS, &names(40), false).swap_remove(3);
    let picks = |harness: &mut Harness| -> Vec<Name> {
        let at = |id| {
            let mut actions = spread(harness, id, &format!("c{id}"), false);
            if let Some((name, amount)) = counter_call(&actions) {
                actions.extend(harness.reply_total(name, amount));
            }
            let at = first_send(&actions).expect("sent on").1;
            harness.end_attempt_after(1.0, id, 0, &at, Outcome::Served);
            at
        };
        (1..=30).map(at).collect()
    };
    // What is handed over is written down and read again: what follows from the names is not among it.
    let estate = serde_json::to_string(&told().gateway.hand_over()).expect("written");
    let mut next =
        Harness::seeded(Settings { gateways: GATEWAYS, gateway_index: 3, ..settings() }, 1003, &[]);
    next.gateway.take_over(serde_json::from_str(&estate).expect("read"), next.now);
    let picked = picks(&mut next);
    let several: std::collections::BTreeSet<_> = picked.iter().collect();
    assert!(several.len() > 2, "{several:?}");
    assert_eq!(picked, picks(&mut told()));
}
