//! One defined course for each day, books that sum up, and gateways that know nothing but their events.

mod helper;
use doorcourse::{Action, CountOutcome, Event, Gateway, Outcome, Settings};
use fennelscale_lab::books::Gate;
use fennelscale_lab::decider::{BASELINES, Decider, Library, Policy};
use fennelscale_lab::draw::{Day, mix};
use fennelscale_lab::experiment::{Plan, run, run_day};
use fennelscale_lab::world::{Ended, World};
use helper::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

const ROUGH: &str = "[[trouble]]\nkind = \"gateway-crash\"\nfrom_s = 2\nfor_s = 1\npart = 0.4\n\
    [[trouble]]\nkind = \"counter-down\"\nfrom_s = 4\nfor_s = 1\n\
    [[trouble]]\nkind = \"silent\"\nfrom_s = 3\nfor_s = 1.5\npart = 0.2\n\
    [[trouble]]\nkind = \"replace\"\nfrom_s = 1\nfor_s = 2\npart = 0.3\n";

#[test]
fn one_thread_and_eight_write_the_same_bytes() {
    let plan = Plan {
        scenarios: vec![small(ROUGH), small("")],
        seeds: (1..=6).collect(),
        score: false,
        baselines: false,
    };
    let written = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        let mut text = String::new();
        let take = |row| {
            text.push_str(&serde_json::to_string(&row)?);
            Ok::<(), serde_json::Error>(())
        };
        pool.install(|| run(&plan, take, |_| {})).expect("played");
        text
    };
    let alone = written(1);
    assert!(alone.len() > 10_000);
    assert_eq!(alone, written(8));
}

#[test]
fn the_books_sum_to_what_was_lost() {
    let policies: Vec<&dyn Policy> =
        std::iter::once(&Library as &dyn Policy).chain(BASELINES.iter().map(|p| p as &dyn Policy)).collect();
    for seed in 0..3 {
        let day = Day::draw(&small(ROUGH), seed);
        for policy in &policies {
            let (record, books) = play(&day, *policy);
            let name = policy.name();
            assert!((books.lost() - (1.0 - books.g)).abs() < 1e-9, "{name}: {} {}", books.lost(), books.g);
            assert!(books.losses.values().all(|lost| *lost >= 0.0), "{name}");
            // Every first try's worth is in one plan or beyond its quota, and in one class, zone and second.
            let classes: f64 = books.classes.values().map(|part| part.offered).sum();
            let zones: f64 = books.zones.values().map(|part| part.earned).sum();
            let seconds: f64 = books.seconds.iter().map(|second| second.part.offered).sum();
            assert!((classes - books.whole.offered).abs() < 1e-6);
            assert!((zones - books.whole.earned).abs() < 1e-6);
            assert!((seconds - books.whole.offered).abs() < 1e-6);
            assert_eq!(record.served.len(), day.first_tries.len());
            // Each try that was sent on or refused unsent is in one row of the gate.
            let counted = |of: fn(&Gate) -> u64| books.gate.values().map(of).sum::<u64>() as usize;
            let sent = record.tries.iter().filter(|t| t.inside.is_some()).count();
            let refused = record.tries.iter().filter(|t| t.inside.is_none() && t.ended == Ended::Refused);
            assert_eq!(counted(|gate| gate.inside + gate.beyond), sent, "{name}");
            assert_eq!(counted(|gate| gate.refused + gate.refused_with_room), refused.count(), "{name}");
        }
    }
}

#[test]
fn a_gateway_acts_on_nothing_but_its_own_events() {
    let day = Day::draw(&small(ROUGH), 3);
    type Told = (f64, Event, Vec<Action>);
    let told: RefCell<BTreeMap<(usize, u32), Vec<Told>>> = RefCell::default();
    let mut tap = |gateway: usize, life: u32, now: f64, event: &Event, actions: &[Action]| {
        let line = (now, event.clone(), actions.to_vec());
        told.borrow_mut().entry((gateway, life)).or_default().push(line);
    };
    World::new(&day, &Library).with_tap(&mut tap).run();
    let told = told.into_inner();
    assert!(told.keys().any(|(_, life)| *life == 2), "one was to come back");
    // Each is fed alone, in another order of gateways: it does the same.
    for ((number, life), lines) in told.into_iter().rev() {
        let zones = &day.source.site.net.zones;
        let settings = Settings {
            gateway_index: number as u32,
            zone: zones[day.gateways[number]].as_str().into(),
            ..day.settings.clone()
        };
        let seed = mix(day.seed ^ mix(number as u64 ^ (u64::from(life) << 32)));
        let mut gateway = Gateway::new(settings, seed).expect("usable settings");
        for (now, event, actions) in lines {
            let mut did = Vec::new();
            gateway.handle(now, event, &mut did);
            assert_eq!(did, actions);
        }
    }
}

#[test]
fn a_call_that_counts_after_its_time_out_is_told_as_late() {
    // One part that takes half a second a call: nearly all answers come late.
    let scenario = small("calls_per_s = 60\n");
    let day = Day::draw(&scenario, 1);
    let seen: RefCell<(u32, u32, BTreeSet<u64>)> = RefCell::default();
    let mut tap = |_: usize, _: u32, _: f64, event: &Event, _: &[Action]| {
        let Event::Counted { name, outcome, .. } = event else { return };
        let mut seen = seen.borrow_mut();
        match outcome {
            CountOutcome::Unknown => {
                seen.0 += 1;
                seen.2.insert(*name);
            }
            CountOutcome::Late { .. } => {
                assert!(seen.2.contains(name), "late before it was given up");
                seen.1 += 1;
            }
            _ => {}
        }
    };
    World::new(&day, &Library).with_tap(&mut tap).run();
    let (unknown, late, _) = seen.into_inner();
    assert!(late > 0 && late <= unknown, "{late} of {unknown}");
}

#[test]
fn nothing_reaches_a_gateway_from_its_life_before() {
    let day =
        Day::draw(&small("[[trouble]]\nkind = \"gateway-crash\"\nfrom_s = 2\nfor_s = 0.2\npart = 1\n"), 2);
    let known: RefCell<BTreeMap<(usize, u32), BTreeSet<u64>>> = RefCell::default();
    let mut tap = |gateway: usize, life: u32, _: f64, event: &Event, _: &[Action]| {
        let mut known = known.borrow_mut();
        let known = known.entry((gateway, life)).or_default();
        match event {
            Event::Request(arrival) => assert!(known.insert(arrival.id), "the same request twice"),
            Event::AttemptEnded(end) => assert!(known.contains(&end.id), "an end of another life"),
            _ => {}
        }
    };
    let record = World::new(&day, &Library).with_tap(&mut tap).run();
    assert_eq!(known.into_inner().len(), 6, "three gateways, two lives each");
    assert_eq!(record.judge.count, 0, "{:?}", record.judge.breaches);
}

#[test]
fn a_backend_that_returns_under_its_old_name_is_cold_and_told_as_started() {
    let day = Day::draw(&small("[[trouble]]\nkind = \"silent\"\nfrom_s = 2\nfor_s = 1\npart = 0.1\n"), 1);
    let target = &day.backends[day.troubles[0].targets[0]].name;
    let starts: RefCell<BTreeSet<u64>> = RefCell::default();
    let silent: RefCell<u32> = RefCell::default();
    let mut tap = |_: usize, _: u32, _: f64, event: &Event, _: &[Action]| match event {
        Event::BackendChanges(list) => {
            for entry in list.iter().filter(|entry| entry.name == *target) {
                starts.borrow_mut().extend(entry.started.map(|at| (at * 1000.0) as u64));
            }
        }
        Event::AttemptEnded(end) if end.backend == *target => {
            *silent.borrow_mut() += u32::from(matches!(
                end.outcome,
                Outcome::TimedOut | Outcome::ConnectFailed | Outcome::CalledOff
            ));
        }
        _ => {}
    };
    World::new(&day, &Library).with_tap(&mut tap).run();
    assert_eq!(starts.into_inner(), BTreeSet::from([1_000_000_000 + 3_000_000]));
    assert!(silent.into_inner() > 0, "it was silent for a second");
}

#[test]
fn a_policy_that_sees_the_truth_beats_one_that_lets_all_in() {
    let day = Day::draw(&small(""), 1);
    let of = |name: &str| {
        let policy = BASELINES.iter().find(|policy| policy.name() == name).expect("a baseline");
        run_day(&day, policy).books.g
    };
    assert!(of("sees-now") > of("sees-late") && of("sees-late") > of("all-in"));
}

#[test]
fn a_decider_that_never_comes_to_rest_is_stopped() {
    struct Wild;
    impl Decider for Wild {
        fn handle(
            &mut self, _: f64, event: Event, _: &fennelscale_lab::decider::TrueStateView<'_>,
            out: &mut Vec<Action>,
        ) {
            // Every end of a send to nobody leads to the next.
            if let Event::Request(_) | Event::AttemptEnded(_) = event {
                out.push(Action::Send { id: 0, backend: "nobody".into(), timeout: 1.0, quota_wait: 0.0 });
            }
        }
    }
    impl Policy for Wild {
        fn name(&self) -> &str {
            "wild"
        }
        fn start(&self, _: Settings, _: u64) -> Result<Box<dyn Decider>, doorcourse::SettingsError> {
            Ok(Box::new(Self))
        }
    }
    let scenario = small("load = 0.01\n");
    let (record, _) = play(&Day::draw(&scenario, 1), &Wild);
    assert!(
        record.judge.breaches.iter().any(|b| b.what == "never came to rest" || b.what.contains("no list"))
    );
}
