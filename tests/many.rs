//! Hundreds of gateways, fed by hand: what they permit together is added up.

mod helper;
use doorcourse::*;
use helper::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 500;

/// All gateways of a fleet with these backends; the last one starts cold now where `cold` is set.
fn fleet(gateways: u32, backends: &[String], cold: bool) -> Vec<Door> {
    let names: Vec<&str> = backends.iter().map(String::as_str).collect();
    (0..gateways)
        .map(|gateway_index| {
            let settings = Settings { gateways, gateway_index, ..settings() };
            let mut door = Door::seeded(settings, 1000 + u64::from(gateway_index), &names);
            if cold {
                let born = Some(door.now);
                let last = backends.last().expect("a backend");
                door.tell(Event::BackendChanges(vec![backend(last, BackendState::Ready, born)]));
            }
            door
        })
        .collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("a{n}")).collect()
}

/// A request of a customer spread over all gateways.
fn spread(door: &mut Door, id: RequestId, customer: &str, repeat: bool) -> Vec<Action> {
    door.ask_of(id, customer, "plain", "safe", repeat, GATEWAYS)
}

#[test]
fn a_thin_customer_s_quota_holds_over_all_gateways() {
    // Burst 10, rate 5: in 1.5 s, less than a turn, no more than two windows' bursts can be granted.
    let mut doors = fleet(GATEWAYS, &names(20), false);
    let (mut gone_on, mut totals) = (0, BTreeMap::<u64, f64>::new());
    let start = doors[0].now;
    for (id, door) in (1..).zip(&mut doors) {
        door.now = start + 3.0 * id as f64;
        let mut did = spread(door, id, "c", false);
        if let Some((name, amount)) = count(&did) {
            let total = totals.entry(name).or_default();
            *total += amount;
            did.extend(door.total(name, *total));
        }
        gone_on += sends(&did);
    }
    assert!((5..=20).contains(&gone_on), "{gone_on} of {GATEWAYS} tries went on");
}

#[test]
fn each_of_many_gateways_keeps_to_few_backends_and_all_are_used_alike() {
    let mut doors = fleet(GATEWAYS, &names(50), false);
    let (mut per_backend, mut most) = (BTreeMap::<Name, u32>::new(), 0);
    for door in &mut doors {
        let mut own = BTreeSet::new();
        for id in 1..=20 {
            let at = door.served(id, &format!("c{id}"), "plain", "unsafe");
            door.end(id, 0, &at, Outcome::Served);
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
        let mut doors = fleet(gateways, &backends, true);
        let (mut to_cold, rounds) = (0, 5000 / gateways as u64);
        for id in 1..=rounds {
            for door in &mut doors {
                let at = door.served(id, &format!("c{id}"), "plain", "safe");
                to_cold += u32::from(&*at == "a9");
                door.end(id, 0, &at, Outcome::Served);
            }
        }
        // An even part is 500 of 5000; at 0.2 of its capacity a fifth of that, less the part kept back.
        assert!((40..=120).contains(&to_cold), "{gateways} gateways: {to_cold}");
    }
}

#[test]
fn with_no_warm_backend_left_cold_ones_get_their_share() {
    let mut doors = fleet(GATEWAYS, &names(1), true);
    let mut gone_on = 0;
    for door in &mut doors {
        let mut did = spread(door, 1, "c", false);
        if let Some((name, _)) = count(&did) {
            did.extend(door.total(name, 1.0));
        }
        gone_on += sends(&did);
    }
    assert!((40..=130).contains(&gone_on), "about a sixth of {GATEWAYS}: {gone_on}");
}

/// How many of forty tries go on while the counter turns all calls away.
fn without_totals(door: &mut Door, from: u64, repeat: bool) -> usize {
    let mut gone_on = 0;
    for id in from..from + 40 {
        let mut did = spread(door, id, "c", repeat);
        if let Some((name, _)) = count(&did) {
            let (outcome, latency) = (CountOutcome::NotAdded, 1.0);
            did.extend(door.tell(Event::Counted { name, outcome, latency }));
        }
        for (id, at) in did.iter().filter_map(|a| sent(std::slice::from_ref(a))) {
            gone_on += 1;
            door.end_after(1.0, id, 0, &at, Outcome::Served);
        }
    }
    gone_on
}

#[test]
fn without_a_total_first_tries_go_on_while_that_pays_and_repeats_do_not() {
    let mut door = fleet(GATEWAYS, &names(5), false).swap_remove(0);
    // One total far beyond the quota: the next try may find room all the same.
    let (name, amount) = count(&spread(&mut door, 1, "c", false)).expect("a call");
    assert!(refused(&door.total(name, 1000.0 + amount), 1));
    assert_eq!(without_totals(&mut door, 100, false), 40);
    assert_eq!(without_totals(&mut door, 200, true), 0);
    // Most customers of the plan are beyond their quotas: what goes on would cost more than it earns.
    let mut heard = 0;
    for id in 300..600 {
        if let Some((name, _)) = count(&spread(&mut door, id, &format!("c{id}"), false)) {
            door.total(name, 1000.0);
            heard += 1;
        }
    }
    assert!(heard > 30, "{heard} totals");
    let gone_on = without_totals(&mut door, 700, false);
    assert!(gone_on <= 8, "{gone_on} of 40");
}

#[test]
fn a_client_s_repeat_is_worth_no_call() {
    let mut doors = fleet(GATEWAYS, &names(5), false);
    let mut asked = [0, 0];
    for id in 1..=60 {
        let repeat = id > 30;
        let did = spread(&mut doors[0], id, &format!("c{id}"), repeat);
        if let Some((name, amount)) = count(&did) {
            assert_eq!(amount, 1.0);
            doors[0].total(name, 1.0);
            asked[usize::from(repeat)] += 1;
        }
    }
    assert_eq!(asked, [30, 0]);
}

#[test]
fn late_answers_shed_fresh_requests_and_the_fleet_recovers() {
    let mut doors = fleet(GATEWAYS, &names(5), false);
    let mut id = 0;
    let mut round = |door: &mut Door, latency: Millis, tries: u64| {
        let mut gone_on = 0;
        for _ in 0..tries {
            id += 1;
            let mut did = spread(door, id, &format!("c{id}"), false);
            if let Some((name, amount)) = count(&did) {
                did.extend(door.total(name, amount));
            }
            for (id, backend) in did.iter().filter_map(|a| sent(std::slice::from_ref(a))) {
                gone_on += 1;
                door.end_after(latency, id, 0, &backend, Outcome::Served);
            }
        }
        gone_on
    };
    assert_eq!(round(&mut doors[0], 100.0, 40), 40, "all are taken while answers come in time");
    round(&mut doors[0], 790.0, 40);
    assert!(round(&mut doors[0], 790.0, 40) < 30, "late answers shed");
    round(&mut doors[0], 100.0, 300);
    assert!(round(&mut doors[0], 100.0, 40) > 36, "and it recovers");
}

#[test]
fn of_many_gateways_who_waits_for_a_late_total_gets_it_and_asks_nothing_twice() {
    for (customer, plan) in [("wide", "plain"), ("under a ceiling", "ceiling")] {
        let mut door = fleet(GATEWAYS, &names(5), false).swap_remove(0);
        let spread = if plan == "plain" { GATEWAYS } else { 10 };
        // Not every try of a wide customer is asked about.
        let asked = (1..).find_map(|id| {
            let did = door.ask_of(id, &format!("{customer} {id}"), plan, "safe", false, spread);
            count(&did).map(|(name, amount)| (id, name, amount))
        });
        let (id, name, amount) = asked.expect("a call");
        let own = format!("{customer} {id}");
        door.now += 50.0;
        let given_up = Event::Counted { name, outcome: CountOutcome::Unknown, latency: 50.0 };
        assert_eq!(door.tell(given_up), [], "{own}: it waits");
        assert_eq!(count(&door.pass(25.0, &[])), None, "{own}: the question is still out");
        let late = Event::Counted { name, outcome: CountOutcome::Late { total: 1.0, amount }, latency: 80.0 };
        assert_eq!(sent(&door.tell(late)).map(|(id, _)| id), Some(id), "{own}");
    }
}

#[test]
fn late_totals_show_each_of_many_gateways_that_the_counter_is_not_silent() {
    let mut door = fleet(GATEWAYS, &names(5), false).swap_remove(0);
    let mut calls = 0;
    for id in 1..=20 {
        door.now += 400.0;
        let did = door.ask_of(id, &format!("c{id}"), "ceiling", "safe", false, 10);
        let Some((name, amount)) = count(&did) else { continue };
        calls += 1;
        door.now += 50.0;
        door.tell(Event::Counted { name, outcome: CountOutcome::Unknown, latency: 50.0 });
        door.now += 20.0;
        let outcome = CountOutcome::Late { total: 1.0, amount };
        door.tell(Event::Counted { name, outcome, latency: 70.0 });
    }
    assert_eq!(calls, 20, "all are asked about");
}

#[test]
fn many_gateways_ask_less_of_a_crowded_counter_and_more_while_answers_come_by_half_time() {
    let mut doors = fleet(GATEWAYS, &names(5), false);
    let mut id = 0;
    let mut round = |doors: &mut [Door], latency: Millis| {
        let mut calls = 0;
        for door in doors {
            for _ in 0..20 {
                id += 1;
                let did = spread(door, id, &format!("c{id}"), false);
                if let Some((name, amount)) = count(&did) {
                    calls += 1;
                    door.tell(Event::Counted { name, outcome: CountOutcome::Total(amount), latency });
                }
            }
        }
        calls
    };
    let doors = &mut doors[..20];
    for _ in 0..3 {
        round(doors, 45.0);
    }
    let crowded = round(doors, 45.0);
    assert!(crowded < 100, "of 400 tries {crowded} are asked about");
    for _ in 0..12 {
        round(doors, 18.0);
    }
    let eased = round(doors, 18.0);
    assert!(eased > 2 * crowded, "{eased} after {crowded}");
}

/// A door of a fleet that the total of a spent quota has just been told to.
fn told_spent(gateway_index: usize) -> Door {
    let mut door = fleet(GATEWAYS, &names(5), false).swap_remove(gateway_index);
    let (name, amount) = count(&door.ask_of(1, "c", "ceiling", "safe", false, 10)).expect("a call");
    let (_, at) = sent(&door.total(name, amount)).expect("sent on");
    door.end(1, 0, &at, Outcome::Served);
    // Two seconds on its store is full again, and others have had all of it.
    door.pass(2200.0, &[]);
    let (name, amount) = count(&door.ask_of(2, "c", "ceiling", "safe", false, 10)).expect("a call");
    let did = door.total(name, 10.0 + amount);
    assert!(refused(&did, 2));
    let (name, amount) = count(&did).expect("the unit goes back");
    assert_eq!(amount, -1.0);
    door.total(name, 10.0);
    door
}

#[test]
fn the_gateways_of_a_spent_quota_do_not_all_ask_for_the_next_unit() {
    // Five units a second: after 0.3 s each believes one to be there for it.
    let mut calls = 0;
    for gateway_index in 0..40 {
        let mut door = told_spent(gateway_index);
        door.pass(300.0, &[]);
        calls += u32::from(count(&door.ask_of(3, "c", "ceiling", "safe", false, 10)).is_some());
    }
    assert!((5..=35).contains(&calls), "{calls} of 40 ask");
    let mut door = told_spent(0);
    door.pass(500.0, &[]);
    assert!(
        count(&door.ask_of(2, "c", "ceiling", "safe", false, 10)).is_some(),
        "a fifth of the time in which each has one coming is over"
    );
}

#[test]
fn who_first_hears_of_a_customer_late_in_a_window_counts_what_the_rate_has_given() {
    // Twenty moments of a window of two seconds: by its end burst is there, at its start half of it.
    let mut gone_on = 0;
    for moment in 0..20 {
        let mut door = fleet(GATEWAYS, &names(5), false).swap_remove(0);
        door.now += 100.0 * f64::from(moment);
        let (name, amount) = count(&door.ask_of(1, "c", "ceiling", "safe", false, 10)).expect("a call");
        gone_on += sends(&door.total(name, 6.5 + amount));
    }
    assert!((5..=16).contains(&gone_on), "{gone_on} of 20 find room beside 6.5 units in the count");
}

#[test]
fn even_slices_of_less_than_a_unit_are_drawn_in_a_silence() {
    let mut gone_on = 0;
    for door in &mut fleet(GATEWAYS, &names(5), false) {
        // After two refused calls without a total before them the counter counts as silent.
        for id in 1..=3 {
            let mut did = door.ask_of(id, &format!("c{id}"), "ceiling", "safe", false, 10);
            if let Some((name, _)) = count(&did) {
                did = door.tell(Event::Counted { name, outcome: CountOutcome::NotAdded, latency: 1.0 });
            }
            if let Some((id, at)) = sent(&did) {
                gone_on += u32::from(id == 3);
                door.end(id, 0, &at, Outcome::Served);
            }
        }
    }
    assert!((150..=350).contains(&gone_on), "half a unit each: {gone_on} of {GATEWAYS}");
}

#[test]
fn every_backend_is_the_own_one_of_equally_many_gateways() {
    // 5 of 60 at each of 100 gateways: 8 or 9 have a backend for their own and send it a fifth of theirs.
    let mut sent_to = BTreeMap::<Name, u32>::new();
    for door in &mut fleet(100, &names(60), false) {
        for id in 1..=60 {
            let at = door.served(id, &format!("c{id}"), "plain", "unsafe");
            door.end(id, 0, &at, Outcome::Served);
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
    let door = |gateway_index| {
        let settings = Settings { gateways: 100, gateway_index, overload_factor: 3.0, ..settings() };
        Door::seeded(settings, 1000 + u64::from(gateway_index), &list)
    };
    let mut doors: Vec<Door> = (0..100).map(door).collect();
    // Six in ten started a moment ago at a fifth of their capacity, or half of the cold time ago at 0.6.
    for (age, per_warm) in [(0.0, 190..=215), (9000.0, 120..=145)] {
        let mut sent_to = BTreeMap::<Name, u32>::new();
        for (door, first) in doors.iter_mut().zip((0..).step_by(1000)) {
            let born = Some(door.now - age);
            let cold = names[24..].iter().map(|name| backend(name, BackendState::Ready, born));
            door.tell(Event::BackendChanges(cold.collect()));
            for id in first..first + 60 {
                let at = door.served(id, &format!("c{id}"), "plain", "unsafe");
                door.end(id, 0, &at, Outcome::Served);
                *sent_to.entry(at).or_default() += 1;
            }
            door.now += 20_000.0;
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
    let picks = |door: &mut Door| -> Vec<Name> {
        let at = |id| {
            let mut did = spread(door, id, &format!("c{id}"), false);
            if let Some((name, amount)) = count(&did) {
                did.extend(door.total(name, amount));
            }
            let at = sent(&did).expect("sent on").1;
            door.end_after(1.0, id, 0, &at, Outcome::Served);
            at
        };
        (1..=30).map(at).collect()
    };
    // What is handed over is written down and read again: what follows from the names is not among it.
    let estate = serde_json::to_string(&told().gateway.hand_over()).expect("written");
    let mut next = Door::seeded(Settings { gateways: GATEWAYS, gateway_index: 3, ..settings() }, 1003, &[]);
    next.gateway.take_over(serde_json::from_str(&estate).expect("read"), next.now);
    let picked = picks(&mut next);
    let several: std::collections::BTreeSet<_> = picked.iter().collect();
    assert!(several.len() > 2, "{several:?}");
    assert_eq!(picked, picks(&mut told()));
}
