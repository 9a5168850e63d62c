//! Properties checked in seeded simulations. `FAILURE_DETECTOR_SEEDS` multiplies the number of seeds. The tests print
//! the measured times and traffic.

use crate::message::{Identity, MemberRecord, MemberState};
use crate::rendezvous::{splitmix64, watchers};
use crate::simulation::{InjectedFaults, Simulation, addr};
use crate::view::View;
use crate::{Millis, WATCHERS};

fn seed_multiplier() -> u64 {
    std::env::var("FAILURE_DETECTOR_SEEDS").ok().and_then(|times| times.parse().ok()).unwrap_or(1)
}

/// Number of simulations with 1,000 nodes: none in short runs.
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

/// Crashes one node. All other nodes must learn of the death within the bound, and no other node may be declared
/// dead.
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
    print_spans("crash detected by all", size, spans);
}

#[test]
fn every_node_learns_of_a_crash_and_no_other_node_is_declared_dead() {
    check_death(13, 40 * seed_multiplier(), 8000);
    check_death(85, 6 * seed_multiplier(), 8000);
}

/// Runs a failure scenario on fleets of one size, then waits until all views are equal and correct again.
fn check_recovery(what: &str, size: usize, seeds: u64, max: Millis, scenario: impl Fn(&mut Simulation)) {
    let mut spans = Vec::new();
    for seed in 0..seeds {
        let mut simulation = Simulation::new(size, 4, true, seed, InjectedFaults::default());
        let wait = 2000 + simulation.next_random() % 500;
        simulation.run(wait);
        scenario(&mut simulation);
        let span = simulation.settle(max);
        assert!(span.is_some(), "{what}, {size} nodes, seed {seed}");
        assert_eq!(simulation.false_deaths, [], "{what}, {size} nodes, seed {seed}");
        spans.extend(span);
    }
    print_spans(what, size, spans);
}

#[test]
fn simultaneous_crash_of_seventy_percent_is_detected() {
    let scenario = |simulation: &mut Simulation| {
        let count = simulation.nodes.len() * 7 / 10;
        simulation.sample(count).into_iter().for_each(|number| simulation.kill(number));
    };
    check_recovery("70% crashed", 13, 30 * seed_multiplier(), 30_000, scenario);
    check_recovery("70% crashed", 85, 3 * seed_multiplier(), 30_000, scenario);
    check_recovery("70% crashed", 1000, large_fleet_runs(), 60_000, scenario);
}

#[test]
fn views_converge_after_seventy_percent_restart() {
    let scenario = |simulation: &mut Simulation| {
        let count = simulation.nodes.len() * 7 / 10;
        let restarted = simulation.sample(count);
        restarted.iter().for_each(|number| simulation.kill(*number));
        let down = 1000 + simulation.next_random() % 6000;
        simulation.run(down);
        restarted.iter().for_each(|number| simulation.start(*number));
    };
    check_recovery("70% restarted", 13, 30 * seed_multiplier(), 30_000, scenario);
    check_recovery("70% restarted", 85, 3 * seed_multiplier(), 30_000, scenario);
}

#[test]
fn views_converge_after_a_rolling_restart() {
    let scenario = |simulation: &mut Simulation| {
        let size = simulation.nodes.len();
        for number in 0..size {
            simulation.stop(number);
            simulation.run(700);
            simulation.start(number);
            simulation.run(300);
        }
    };
    check_recovery("rolling restart", 13, 20 * seed_multiplier(), 10_000, scenario);
    check_recovery("rolling restart", 85, seed_multiplier(), 10_000, scenario);
}

#[test]
fn views_converge_after_a_zone_partition_heals() {
    let scenario = |simulation: &mut Simulation| {
        simulation.may_be_declared_dead.fill(true);
        simulation.zone_cut = Some(1 + simulation.random_below(3));
        let span = 1000 + simulation.next_random() % 12_000;
        simulation.run(span);
        simulation.zone_cut = None;
    };
    check_recovery("healed zone partition", 13, 30 * seed_multiplier(), 20_000, scenario);
    check_recovery("healed zone partition", 85, 3 * seed_multiplier(), 20_000, scenario);
    check_recovery("healed zone partition", 1000, large_fleet_runs(), 60_000, scenario);
}

#[test]
fn views_converge_after_a_four_second_freeze() {
    let scenario = |simulation: &mut Simulation| {
        let count = 1 + simulation.random_below(simulation.nodes.len() / 4);
        simulation.sample(count).into_iter().for_each(|number| simulation.freeze(number, 4000));
        simulation.run(4000);
    };
    check_recovery("frozen for 4 s", 13, 30 * seed_multiplier(), 10_000, scenario);
    check_recovery("frozen for 4 s", 85, 3 * seed_multiplier(), 10_000, scenario);
}

#[test]
fn isolated_node_declares_no_deaths() {
    let scenario = |simulation: &mut Simulation| {
        let size = simulation.nodes.len();
        let isolated = simulation.random_below(size);
        if let (Some(allowed), Some(node)) =
            (simulation.may_be_declared_dead.get_mut(isolated), simulation.nodes.get_mut(isolated))
        {
            *allowed = true;
            node.unreachable = (0..size).filter(|other| *other != isolated).collect();
        }
        simulation.run(20_000);
        if let Some(node) = simulation.nodes.get_mut(isolated) {
            assert!(node.detector.is_isolated());
            node.unreachable.clear();
        }
    };
    check_recovery("one isolated for 20 s", 13, 30 * seed_multiplier(), 10_000, scenario);
    check_recovery("one isolated for 20 s", 85, 2 * seed_multiplier(), 10_000, scenario);
}

/// Cuts the path between each of several nodes and one of its watchers; the other watchers still reach the node.
fn cut_from_one_watcher(simulation: &mut Simulation) {
    let size = simulation.nodes.len();
    let all: Vec<_> = (0..size).map(|number| (addr(number), addr(number).hash())).collect();
    let mut cut = vec![0; size];
    for node in simulation.sample(size) {
        let watchers_of_node = watchers(&all, (addr(node), addr(node).hash()), WATCHERS);
        let watcher = watchers_of_node.get(simulation.random_below(WATCHERS)).copied();
        let Some(watcher) = (0..size).find(|other| Some(addr(*other)) == watcher) else { continue };
        // Cuts work in both directions, so the watcher loses contact to a node that watches it. Each node takes part
        // in one cut at most.
        if cut[node] == 0 && cut[watcher] == 0 {
            (cut[node], cut[watcher]) = (1, 1);
            simulation.nodes[node].unreachable.push(watcher);
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
        "one watcher unreachable, 5% loss",
        13,
        20 * seed_multiplier(),
        5000,
        cut_from_one_watcher,
    );
    check_recovery("one watcher unreachable, 5% loss", 85, 2 * seed_multiplier(), 5000, cut_from_one_watcher);
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
        print_spans("first start", size, spans);
    }
}

#[test]
fn node_waking_after_a_long_freeze_revives_no_dead_member() {
    for seed in 0..3 * seed_multiplier() {
        let mut simulation = Simulation::new(13, 3, true, seed, InjectedFaults::default());
        let [frozen, dead] = simulation.sample(2)[..] else { panic!("two nodes were sampled") };
        simulation.freeze(frozen, 70_000);
        simulation.run(1000);
        simulation.kill(dead);
        simulation.run(69_500);
        for _ in 0..50 {
            simulation.run(100);
            let others = simulation.nodes.iter().enumerate().filter(|(number, m)| *number != frozen && m.up);
            for (number, node) in others {
                let is_revived =
                    |w: &MemberRecord| w.identity.addr == addr(dead) && w.state == MemberState::Alive;
                assert!(
                    !node.detector.records().any(is_revived),
                    "seed {seed}: node {number} considers node {dead} alive"
                );
            }
        }
        assert!(simulation.settle(5000).is_some(), "seed {seed}");
    }
}

#[test]
fn traffic_per_node_and_detection_time_do_not_grow_with_the_fleet() {
    let measure = |size: usize| {
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
        println!("idle, {size} nodes: {sent:.1} datagrams, {bytes:.0} bytes per second and node");
        let dead = simulation.random_below(size);
        simulation.kill(dead);
        let span = simulation.settle(8000);
        println!("crash detected by all, {size} nodes: {span:?} ms");
        assert!(span.is_some() && simulation.false_deaths.is_empty());
        (sent, bytes)
    };
    let (small, large) = (measure(13), measure(1000));
    measure(85);
    assert!(large.0 < 1.3 * small.0 && large.1 < 1.3 * small.1);
}

fn failing_seeds(faults: InjectedFaults, scenario: impl Fn(&mut Simulation)) -> usize {
    let fails = |seed: &u64| {
        let mut simulation = Simulation::new(13, 4, true, *seed, faults);
        simulation.run(2000);
        scenario(&mut simulation);
        simulation.settle(10_000).is_none() || !simulation.false_deaths.is_empty()
    };
    (0..8).filter(fails).count()
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

/// Applies the same records in two orders, with duplicates. Returns whether both views end up equal.
fn converges_in_any_order(accepts_stale: bool, seed: u64) -> bool {
    let record = |random: u64| MemberRecord {
        identity: Identity {
            addr: addr(random as usize % 3),
            name: String::new(),
            data_plane: true,
            start_id: random / 3 % 4,
        },
        incarnation: (random / 16 % 4) as u32,
        state: [MemberState::Alive, MemberState::Dead, MemberState::Left][(random / 64 % 3) as usize],
    };
    let mut random = seed;
    let mut records: Vec<MemberRecord> = (0..3).map(record).collect();
    records.extend(
        std::iter::repeat_with(|| {
            random = splitmix64(random);
            record(random)
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
    let reversed: Vec<MemberRecord> = records.iter().rev().chain(&records[..5]).cloned().collect();
    view(&records) == view(&reversed)
}

#[test]
fn views_are_independent_of_record_order_and_stale_record_fault_is_detected() {
    assert!((0..500).all(|seed| converges_in_any_order(false, seed)));
    assert!(!(0..20).all(|seed| converges_in_any_order(true, seed)));
}

#[test]
fn late_tick_fault_is_detected() {
    let suspects_others = |suspects_after_late_tick: bool| {
        let faults = InjectedFaults { suspects_after_late_tick, ..InjectedFaults::default() };
        let mut simulation = Simulation::new(13, 4, true, 3, faults);
        simulation.loss = 0.0;
        simulation.run(2000);
        simulation.freeze(4, 4000);
        simulation.run(8000);
        simulation.false_suspicions.iter().any(|(by, of)| *by == 4 && *of != 4)
    };
    assert!(!suspects_others(false));
    assert!(suspects_others(true));
}
