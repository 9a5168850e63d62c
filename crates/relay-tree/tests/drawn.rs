//! The tree in worlds drawn by seed: calm, with troubles, and with faults planted to see them found.

mod world;

use world::{Kind, Planted, World};

const SECOND: u64 = 1_000_000;

fn kinds(size: usize, roots: usize, root_mbps: f64, rich: usize) -> Vec<Kind> {
    let kind = |at: usize| Kind {
        mbps: if at < roots {
            root_mbps
        } else if at < roots + rich {
            100.0
        } else {
            2.0
        },
        root: at < roots,
    };
    (0..size).map(kind).collect()
}

/// Ten processes on good links, the grown site with some good links more, and a thousand.
fn sizes() -> [(&'static str, Vec<Kind>); 3] {
    [("10", kinds(10, 3, 100.0, 7)), ("85", kinds(85, 6, 100.0, 25)), ("1000", kinds(1000, 8, 1000.0, 150))]
}

const ROW: usize = 8;

/// One follows the other, since each has room for one.
fn row() -> Vec<Kind> {
    (0..ROW).map(|at| Kind { mbps: 10.0, root: at == 0 }).collect()
}

fn percentile(of: &mut [u64], share: f64) -> f64 {
    of.sort_unstable();
    let at = ((of.len() as f64 * share) as usize).min(of.len().saturating_sub(1));
    of.get(at).copied().unwrap_or(0) as f64 / 1000.0
}

/// A world in which all have found their places and know what there is.
fn begun(seed: u64, kinds: &[Kind], planted: Planted) -> World {
    let mut world = World::new(seed, kinds, planted);
    world.run(SECOND / 2);
    world.configure(1, 5000);
    world.change(200);
    world.run(10 * SECOND);
    world.delays.clear();
    world.last.clear();
    world.config_snapshot_delays.clear();
    world.sent();
    world
}

fn calm(name: &str, kinds: &[Kind]) {
    let mut world = begun(1, kinds, Planted::Nothing);
    world.settled();
    assert_eq!(world.wrong, [""; 0]);
    for _ in 0..10 {
        world.change(3);
        world.run(world.now + SECOND / 2);
    }
    let [(root, _), (relay, all)] = world.sent();
    let (depth, (most, room)) = (world.deepest(), world.fan_out());
    let mut last: Vec<u64> = world.last.values().copied().collect();
    let (median, high) = (percentile(&mut world.delays, 0.5), percentile(&mut world.delays, 0.99));
    println!(
        "{name} calm: depth {depth}, busiest {most} of {room}; a change is known after {median:.1} ms (median), \
         {high:.1} ms (99th), by the last after {:.1} ms; bytes a second: busiest root {}, busiest relay {}, \
         others in all {}",
        percentile(&mut last, 0.5),
        root / 5,
        relay / 5,
        all / 5,
    );
    world.configure(2, 10_069);
    world.run(world.now + 5 * SECOND);
    let [(root, _), (relay, _)] = world.sent();
    let mut config_snapshots = std::mem::take(&mut world.config_snapshot_delays);
    println!(
        "{name} 350 routes more: median {:.1} ms, last {:.1} ms; busiest root sends {root} bytes, relay {relay}",
        percentile(&mut config_snapshots, 0.5),
        percentile(&mut config_snapshots, 1.0),
    );
    world.settled();
    assert_eq!(world.wrong, [""; 0]);
}

fn troubled(seed: u64, kinds: &[Kind], planted: Planted) -> World {
    let mut world = begun(seed, kinds, planted);
    world.misnamed = kinds.len() == ROW;
    let troubles = 10 + kinds.len() as u64 / 8;
    let steps = if kinds.len() > 500 { 15 } else { 40 };
    for step in 0..steps {
        world.change(2);
        if step % 10 == 0 {
            world.configure(step + 2, 1000);
        }
        for _ in 0..troubles / 40 + u64::from(world.below(40) < troubles % 40) {
            world.trouble();
        }
        world.run(world.now + SECOND / 3);
    }
    world.run(world.now + 14 * SECOND);
    world.settled();
    world
}

#[test]
fn news_reaches_all_in_calm() {
    for (name, kinds) in sizes() {
        calm(name, &kinds);
    }
}

#[test]
fn a_tree_without_room_presses_its_roots() {
    calm("85, the grown site's links", &kinds(85, 6, 100.0, 0));
}

#[test]
fn all_mends_and_nothing_comes_twice_or_out_of_order() {
    for (name, kinds) in sizes().into_iter().chain([("8 in a row, named anybody", row())]) {
        let seeds = if kinds.len() > 500 { 1..2 } else { 1..3 };
        for seed in seeds {
            let mut world = troubled(seed, &kinds, Planted::Nothing);
            world.wrong.truncate(5);
            assert_eq!(world.wrong, [""; 0], "{name} of seed {seed}");
            let (median, high) = (percentile(&mut world.delays, 0.5), percentile(&mut world.delays, 0.99));
            println!("{name} of seed {seed}, troubled: median {median:.1} ms, 99th {high:.1} ms");
        }
    }
}

#[test]
fn a_number_that_nobody_looks_at_is_found() {
    let found =
        (1..9).filter(|seed| !troubled(*seed, &sizes()[0].1, Planted::Sequence).wrong.is_empty()).count();
    println!("found in {found} worlds of 8");
    assert!(found > 0);
}
