//! SimEvent holds in worlds drawn by seed. `FAILURE_DETECTOR_SEEDS` plays so many times as many; figures are printed.

use crate::message::{Identity, MemberRecord, MemberState};
use crate::rendezvous::{splitmix64, watchers};
use crate::simulation::{InjectedFaults, Simulation, addr};
use crate::view::View;
use crate::{Millis, WATCHERS};

fn seed_multiplier() -> u64 {
    std::env::var("FAILURE_DETECTOR_SEEDS").ok().and_then(|times| times.parse().ok()).unwrap_or(1)
}

/// How many worlds of 1,000 are played: none where many tests have to be done in little time.
fn large_fleet_runs() -> u64 {
    u64::from(seed_multiplier() > 1)
}

fn percentile(mut spans: Vec<Millis>, share: f64) -> Millis {
    spans.sort_unstable();
    spans.get(((spans.len() - 1) as f64 * share) as usize).copied().unwrap_or_default()
}

fn print_spans(what: &str, size: usize, spans: Vec<Millis>) {
    if spans.is_empty() {
        return;
    }
    let (median, late, last) =
        (percentile(spans.clone(), 0.5), percentile(spans.clone(), 0.99), percentile(spans, 1.0));
    println!("{what}, {size} nodes: median {median} ms, 99th {late} ms, last {last} ms");
}

/// One dies, without a record; all know within the bound, and nobody else was held dead.
fn check_death(size: usize, seeds: u64, max: Millis) {
    let mut spans = Vec::new();
    for seed in 0..seeds {
        let mut simulation = Simulation::new(size, 3, true, seed, InjectedFaults::default());
        let wait = 2000 + simulation.next_random() % 500;
        simulation.run(wait);
        let dead = simulation.random_below(size);
        simulation.kill(dead);
        let span = simulation.settle(max);
        assert!(span.is_some(), "seed {seed}");
        assert_eq!(simulation.false_deaths, [], "seed {seed}");
        spans.extend(span);
    }
    print_spans("a death known by all", size, spans);
}

#[test]
fn every_node_learns_of_a_crash_and_no_other_node_is_declared_dead() {
    check_death(13, 40 * seed_multiplier(), 8000);
    check_death(85, 6 * seed_multiplier(), 8000);
}

/// Plays a trouble in worlds of a size, then waits for all views to be equal and right again.
fn check_recovery(what: &str, size: usize, seeds: u64, max: Millis, play: impl Fn(&mut Simulation)) {
    let mut spans = Vec::new();
    for seed in 0..seeds {
        let mut simulation = Simulation::new(size, 4, true, seed, InjectedFaults::default());
        let wait = 2000 + simulation.next_random() % 500;
        simulation.run(wait);
        play(&mut simulation);
        let span = simulation.settle(max);
        assert!(span.is_some(), "{what}, {size} nodes, seed {seed}");
        assert_eq!(simulation.false_deaths, [], "{what}, {size} nodes, seed {seed}");
        spans.extend(span);
    }
    print_spans(what, size, spans);
}

#[test]
fn simultaneous_crash_of_seventy_percent_is_detected() {
    let herd = |simulation: &mut Simulation| {
        let count = simulation.nodes.len() * 7 / 10;
        simulation.sample(count).into_iter().for_each(|number| simulation.kill(number));
    };
    check_recovery("seven in ten dead", 13, 30 * seed_multiplier(), 30_000, herd);
    check_recovery("seven in ten dead", 85, 3 * seed_multiplier(), 30_000, herd);
    check_recovery("seven in ten dead", 1000, large_fleet_runs(), 60_000, herd);
}

#[test]
fn views_converge_after_seventy_percent_restart() {
    let herd = |simulation: &mut Simulation| {
        let count = simulation.nodes.len() * 7 / 10;
        let herd = simulation.sample(count);
        herd.iter().for_each(|number| simulation.kill(*number));
        let down = 1000 + simulation.next_random() % 6000;
        simulation.run(down);
        herd.iter().for_each(|number| simulation.start(*number));
    };
    check_recovery("seven in ten dead and back", 13, 30 * seed_multiplier(), 30_000, herd);
    check_recovery("seven in ten dead and back", 85, 3 * seed_multiplier(), 30_000, herd);
}

#[test]
fn views_converge_after_a_rolling_restart() {
    let roll = |simulation: &mut Simulation| {
        let size = simulation.nodes.len();
        for number in 0..size {
            simulation.stop(number);
            simulation.run(700);
            simulation.start(number);
            simulation.run(300);
        }
    };
    check_recovery("all stopped in turn", 13, 20 * seed_multiplier(), 10_000, roll);
    check_recovery("all stopped in turn", 85, seed_multiplier(), 10_000, roll);
}

#[test]
fn views_converge_after_a_zone_partition_heals() {
    let cut = |simulation: &mut Simulation| {
        simulation.may_be_declared_dead.fill(true);
        simulation.zone_cut = Some(1 + simulation.random_below(3));
        let span = 1000 + simulation.next_random() % 12_000;
        simulation.run(span);
        simulation.zone_cut = None;
    };
    check_recovery("a zone cut that healed", 13, 30 * seed_multiplier(), 20_000, cut);
    check_recovery("a zone cut that healed", 85, 3 * seed_multiplier(), 20_000, cut);
    check_recovery("a zone cut that healed", 1000, large_fleet_runs(), 60_000, cut);
}

#[test]
fn views_converge_after_a_four_second_freeze() {
    let freeze = |simulation: &mut Simulation| {
        let count = 1 + simulation.random_below(simulation.nodes.len() / 4);
        simulation.sample(count).into_iter().for_each(|number| simulation.freeze(number, 4000));
        simulation.run(4000);
    };
    check_recovery("frozen for 4 s", 13, 30 * seed_multiplier(), 10_000, freeze);
    check_recovery("frozen for 4 s", 85, 3 * seed_multiplier(), 10_000, freeze);
}

#[test]
fn isolated_node_declares_no_deaths() {
    let cut = |simulation: &mut Simulation| {
        let size = simulation.nodes.len();
        let alone = simulation.random_below(size);
        if let (Some(allowed), Some(node)) =
            (simulation.may_be_declared_dead.get_mut(alone), simulation.nodes.get_mut(alone))
        {
            *allowed = true;
            node.unreachable = (0..size).filter(|other| *other != alone).collect();
        }
        simulation.run(20_000);
        if let Some(node) = simulation.nodes.get_mut(alone) {
            assert!(node.detector.is_isolated());
            node.unreachable.clear();
        }
    };
    check_recovery("one cut off for 20 s", 13, 30 * seed_multiplier(), 10_000, cut);
    check_recovery("one cut off for 20 s", 85, 2 * seed_multiplier(), 10_000, cut);
}

/// No path between some and one of those that watch them; the others reach them.
fn cut_from_one_watcher(simulation: &mut Simulation) {
    let size = simulation.nodes.len();
    let all: Vec<_> = (0..size).map(|number| (addr(number), addr(number).hash())).collect();
    let mut lost = vec![0; size];
    for one in simulation.sample(size) {
        let by = watchers(&all, (addr(one), addr(one).hash()), WATCHERS);
        let watcher = by.get(simulation.random_below(WATCHERS)).copied();
        let Some(watcher) = (0..size).find(|other| Some(addr(*other)) == watcher) else { continue };
        // Paths are cut both ways: the watcher may lose one of its own by it, but no more.
        if lost[one] == 0 && lost[watcher] == 0 {
            (lost[one], lost[watcher]) = (1, 1);
            simulation.nodes[one].unreachable.push(watcher);
        }
    }
    simulation.loss = 0.05;
    simulation.run(20_000);
    simulation.nodes.iter_mut().for_each(|node| node.unreachable.clear());
    simulation.loss = 0.01;
}

#[test]
fn node_reachable_by_most_watchers_is_not_declared_dead() {
    check_recovery(
        "paths cut, one datagram in 20 lost",
        13,
        20 * seed_multiplier(),
        5000,
        cut_from_one_watcher,
    );
    check_recovery(
        "paths cut, one datagram in 20 lost",
        85,
        2 * seed_multiplier(),
        5000,
        cut_from_one_watcher,
    );
}

#[test]
fn fleet_discovers_itself_from_seeds() {
    for (size, seeds) in
        [(13, 20 * seed_multiplier()), (85, 2 * seed_multiplier()), (1000, large_fleet_runs())]
    {
        let mut spans = Vec::new();
        for seed in 0..seeds {
            let mut simulation = Simulation::new(size, 3, false, seed, InjectedFaults::default());
            let span = simulation.settle(60_000);
            assert!(span.is_some(), "{size} nodes, seed {seed}");
            assert_eq!(simulation.false_deaths, []);
            spans.extend(span);
        }
        print_spans("a first start", size, spans);
    }
}

#[test]
fn node_waking_after_a_long_freeze_revives_no_dead_member() {
    for seed in 0..3 * seed_multiplier() {
        let mut simulation = Simulation::new(13, 3, true, seed, InjectedFaults::default());
        let [sleeper, dead] = simulation.sample(2)[..] else { panic!("two") };
        simulation.freeze(sleeper, 70_000);
        simulation.run(1000);
        simulation.kill(dead);
        simulation.run(69_500);
        for _ in 0..50 {
            simulation.run(100);
            let others = simulation.nodes.iter().enumerate().filter(|(number, m)| *number != sleeper && m.up);
            for (number, node) in others {
                let ghost = |w: &MemberRecord| w.identity.addr == addr(dead) && w.state == MemberState::Alive;
                assert!(!node.detector.records().any(ghost), "seed {seed}: {number} holds {dead} to be here");
            }
        }
        assert!(simulation.settle(5000).is_some(), "seed {seed}");
    }
}

#[test]
fn traffic_per_node_and_detection_time_do_not_grow_with_the_fleet() {
    let spent = |size: usize| {
        let mut simulation = Simulation::new(size, 3, true, 7, InjectedFaults::default());
        simulation.run(2000);
        let sum = |simulation: &Simulation| {
            simulation.nodes.iter().fold((0, 0), |sum, m| (sum.0 + m.sent, sum.1 + m.bytes))
        };
        let before = sum(&simulation);
        simulation.run(2000);
        let after = sum(&simulation);
        let each = |sum: u64| sum as f64 / size as f64 / 2.0;
        let (sent, bytes) = (each(after.0 - before.0), each(after.1 - before.1));
        println!("calm, {size} nodes: {sent:.1} datagrams, {bytes:.0} bytes a second and node");
        let dead = simulation.random_below(size);
        simulation.kill(dead);
        let span = simulation.settle(8000);
        println!("a death known by all, {size} nodes: {span:?} ms");
        assert!(span.is_some() && simulation.false_deaths.is_empty());
        (sent, bytes)
    };
    let (few, many) = (spent(13), spent(1000));
    spent(85);
    assert!(many.0 < 1.3 * few.0 && many.1 < 1.3 * few.1);
}

fn failing_seeds(faults: InjectedFaults, play: impl Fn(&mut Simulation)) -> usize {
    let found = |seed: &u64| {
        let mut simulation = Simulation::new(13, 4, true, *seed, faults);
        simulation.run(2000);
        play(&mut simulation);
        simulation.settle(10_000).is_none() || !simulation.false_deaths.is_empty()
    };
    (0..8).filter(found).count()
}

#[test]
fn single_witness_fault_is_detected() {
    assert_eq!(failing_seeds(InjectedFaults::default(), cut_from_one_watcher), 0);
    assert_eq!(
        failing_seeds(
            InjectedFaults { single_witness: true, ..InjectedFaults::default() },
            cut_from_one_watcher
        ),
        8
    );
}

/// Takes the same records in two orders, with repeats; whether both end with the same view.
fn converges_in_any_order(accepts_stale: bool, seed: u64) -> bool {
    let record = |drawn: u64| MemberRecord {
        identity: Identity {
            addr: addr(drawn as usize % 3),
            name: String::new(),
            data_plane: true,
            start_id: drawn / 3 % 4,
        },
        incarnation: (drawn / 16 % 4) as u32,
        state: [MemberState::Alive, MemberState::Dead, MemberState::Left][(drawn / 64 % 3) as usize],
    };
    let mut drawn = seed;
    let mut records: Vec<MemberRecord> = (0..3).map(record).collect();
    records.extend(
        std::iter::repeat_with(|| {
            drawn = splitmix64(drawn);
            record(drawn)
        })
        .take(20),
    );
    let known = records.drain(..3).collect::<Vec<_>>();
    let view = |records: &[MemberRecord]| {
        let mut view = View::default();
        view.accepts_stale = accepts_stale;
        known.iter().chain(records).for_each(|record| {
            view.apply(record.clone(), 0);
        });
        (view.records().cloned().collect::<Vec<_>>(), view.digest())
    };
    let other_way: Vec<MemberRecord> = records.iter().rev().chain(&records[..5]).cloned().collect();
    view(&records) == view(&other_way)
}

#[test]
fn views_are_independent_of_record_order_and_stale_record_fault_is_detected() {
    assert!((0..500).all(|seed| converges_in_any_order(false, seed)));
    assert!(!(0..20).all(|seed| converges_in_any_order(true, seed)));
}

#[test]
fn late_tick_fault_is_detected() {
    let blames = |suspects_after_late_tick: bool| {
        let faults = InjectedFaults { suspects_after_late_tick, ..InjectedFaults::default() };
        let mut simulation = Simulation::new(13, 4, true, 3, faults);
        simulation.loss = 0.0;
        simulation.run(2000);
        simulation.freeze(4, 4000);
        simulation.run(8000);
        simulation.false_suspicions.iter().any(|(by, of)| *by == 4 && *of != 4)
    };
    assert!(!blames(false));
    assert!(blames(true));
}
