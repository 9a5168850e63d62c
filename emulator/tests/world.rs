//! The simulation is deterministic, the books balance, and gateways depend only on their events.

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

const TROUBLES: &str = "[[trouble]]\nkind = \"gateway-crash\"\nfrom_s = 2\nfor_s = 1\npart = 0.4\n\
    [[trouble]]\nkind = \"counter-down\"\nfrom_s = 4\nfor_s = 1\n\
    [[trouble]]\nkind = \"silent\"\nfrom_s = 3\nfor_s = 1.5\npart = 0.2\n\
    [[trouble]]\nkind = \"replace\"\nfrom_s = 1\nfor_s = 2\npart = 0.3\n";

#[test]
fn results_do_not_depend_on_the_thread_count() {
    let plan = Plan {
        scenarios: vec![small(TROUBLES), small("")],
        seeds: (1..=6).collect(),
        score: false,
        baselines: false,
    };
    let written = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("thread pool");
        let mut text = String::new();
        let take = |row| {
            text.push_str(&serde_json::to_string(&row)?);
            Ok::<(), serde_json::Error>(())
        };
        pool.install(|| run(&plan, take, |_| {})).expect("the days are simulated");
        text
    };
    let alone = written(1);
    assert!(alone.len() > 10_000);
    assert_eq!(alone, written(8));
}

#[test]
fn losses_sum_to_one_minus_g() {
    let policies: Vec<&dyn Policy> =
        std::iter::once(&Library as &dyn Policy).chain(BASELINES.iter().map(|p| p as &dyn Policy)).collect();
    for seed in 0..3 {
        let day = Day::draw(&small(TROUBLES), seed);
        for policy in &policies {
            let (record, books) = play(&day, *policy);
            let name = policy.name();
            assert!((books.lost() - (1.0 - books.g)).abs() < 1e-9, "{name}: {} {}", books.lost(), books.g);
            assert!(books.losses.values().all(|lost| *lost >= 0.0), "{name}");
            // The worth of every first try belongs to one class, one zone and one second.
            let classes: f64 = books.classes.values().map(|part| part.offered).sum();
            let zones: f64 = books.zones.values().map(|part| part.earned).sum();
            let seconds: f64 = books.seconds.iter().map(|second| second.part.offered).sum();
            assert!((classes - books.whole.offered).abs() < 1e-6);
            assert!((zones - books.whole.earned).abs() < 1e-6);
            assert!((seconds - books.whole.offered).abs() < 1e-6);
            assert_eq!(record.served.len(), day.first_tries.len());
            // Each try that was sent or refused unsent is counted in one row of the quota decisions.
            let counted = |of: fn(&Gate) -> u64| books.gate.values().map(of).sum::<u64>() as usize;
            let sent = record.tries.iter().filter(|t| t.inside.is_some()).count();
            let refused = record.tries.iter().filter(|t| t.inside.is_none() && t.ended == Ended::Refused);
            assert_eq!(counted(|gate| gate.inside + gate.beyond), sent, "{name}");
            assert_eq!(counted(|gate| gate.refused + gate.refused_with_room), refused.count(), "{name}");
        }
    }
}

#[test]
fn a_replayed_gateway_repeats_its_actions() {
    let day = Day::draw(&small(TROUBLES), 3);
    type RecordedEvent = (f64, Event, Vec<Action>);
    let events: RefCell<BTreeMap<(usize, u32), Vec<RecordedEvent>>> = RefCell::default();
    let mut tap = |gateway: usize, incarnation: u32, now: f64, event: &Event, actions: &[Action]| {
        let line = (now, event.clone(), actions.to_vec());
        events.borrow_mut().entry((gateway, incarnation)).or_default().push(line);
    };
    World::new(&day, &Library).with_tap(&mut tap).run();
    let events = events.into_inner();
    assert!(events.keys().any(|(_, incarnation)| *incarnation == 2), "no gateway restarted");
    // Replays each gateway alone, in another order of gateways: its actions must be the same.
    for ((number, incarnation), lines) in events.into_iter().rev() {
        let zones = &day.source.site.net.zones;
        let settings = Settings {
            gateway_index: number as u32,
            zone: zones[day.gateways[number]].as_str().into(),
            ..day.settings.clone()
        };
        let seed = mix(day.seed ^ mix(number as u64 ^ (u64::from(incarnation) << 32)));
        let mut gateway = Gateway::new(settings, seed).expect("valid settings");
        for (now, event, actions) in lines {
            let mut replayed = Vec::new();
            gateway.handle(now, event, &mut replayed);
            assert_eq!(replayed, actions);
        }
    }
}

#[test]
fn a_counter_answer_after_the_timeout_is_reported_as_late() {
    // At 60 calls per second, each call occupies its partition for half a second: nearly all answers are late.
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
                assert!(seen.2.contains(name), "late answer before the timeout");
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
fn a_restarted_gateway_receives_no_events_of_its_previous_incarnation() {
    let day =
        Day::draw(&small("[[trouble]]\nkind = \"gateway-crash\"\nfrom_s = 2\nfor_s = 0.2\npart = 1\n"), 2);
    let known: RefCell<BTreeMap<(usize, u32), BTreeSet<u64>>> = RefCell::default();
    let mut tap = |gateway: usize, incarnation: u32, _: f64, event: &Event, _: &[Action]| {
        let mut known = known.borrow_mut();
        let known = known.entry((gateway, incarnation)).or_default();
        match event {
            Event::Request(arrival) => assert!(known.insert(arrival.id), "duplicate request"),
            Event::AttemptEnded(end) => {
                assert!(known.contains(&end.id), "attempt end of another incarnation")
            }
            _ => {}
        }
    };
    let record = World::new(&day, &Library).with_tap(&mut tap).run();
    assert_eq!(known.into_inner().len(), 6, "three gateways, two lives each");
    assert_eq!(record.judge.count, 0, "{:?}", record.judge.breaches);
}

#[test]
fn a_backend_that_returns_under_its_old_name_is_listed_with_its_new_start() {
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
    assert!(silent.into_inner() > 0, "no attempt failed while the backend did not respond");
}

#[test]
fn policies_with_the_true_state_beat_admitting_all_requests() {
    let day = Day::draw(&small(""), 1);
    let of = |name: &str| {
        let policy = BASELINES.iter().find(|policy| policy.name() == name).expect("unknown baseline");
        run_day(&day, policy).books.g
    };
    assert!(of("sees-now") > of("sees-late") && of("sees-late") > of("all-in"));
}

#[test]
fn a_gateway_in_an_endless_event_loop_is_stopped() {
    struct EndlessLoop;
    impl Decider for EndlessLoop {
        fn handle(
            &mut self, _: f64, event: Event, _: &fennelscale_lab::decider::TrueStateView<'_>,
            out: &mut Vec<Action>,
        ) {
            // Every end of an attempt to an unknown backend triggers the next attempt.
            if let Event::Request(_) | Event::AttemptEnded(_) = event {
                out.push(Action::Send { id: 0, backend: "nobody".into(), timeout: 1.0, quota_wait: 0.0 });
            }
        }
    }
    impl Policy for EndlessLoop {
        fn name(&self) -> &str {
            "endless-loop"
        }
        fn start(&self, _: Settings, _: u64) -> Result<Box<dyn Decider>, doorcourse::SettingsError> {
            Ok(Box::new(Self))
        }
    }
    let scenario = small("load = 0.01\n");
    let (record, _) = play(&Day::draw(&scenario, 1), &EndlessLoop);
    assert!(
        record.judge.breaches.iter().any(|b| b.what == "never came to rest" || b.what.contains("no list"))
    );
}
