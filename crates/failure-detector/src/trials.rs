//! What holds in worlds drawn by seed. `FAILURE_DETECTOR_SEEDS` plays so many times as many; figures are printed.

use crate::message::{Card, State, Word};
use crate::ranks::{mix, watchers};
use crate::view::View;
use crate::world::{Planted, World, mark};
use crate::{Millis, WATCHERS};

fn times() -> u64 {
    std::env::var("FAILURE_DETECTOR_SEEDS").ok().and_then(|times| times.parse().ok()).unwrap_or(1)
}

/// How many worlds of 1,000 are played: none where many tests have to be done in little time.
fn large() -> u64 {
    u64::from(times() > 1)
}

fn rank(mut spans: Vec<Millis>, share: f64) -> Millis {
    spans.sort_unstable();
    spans.get(((spans.len() - 1) as f64 * share) as usize).copied().unwrap_or_default()
}

fn told(what: &str, size: usize, spans: Vec<Millis>) {
    if spans.is_empty() {
        return;
    }
    let (median, late, last) = (rank(spans.clone(), 0.5), rank(spans.clone(), 0.99), rank(spans, 1.0));
    println!("{what}, {size} nodes: median {median} ms, 99th {late} ms, last {last} ms");
}

/// One dies, without a word; all know within the bound, and nobody else was held dead.
fn deaths(size: usize, seeds: u64, most: Millis) {
    let mut spans = Vec::new();
    for seed in 0..seeds {
        let mut world = World::new(size, 3, true, seed, Planted::default());
        let wait = 2000 + world.draw() % 500;
        world.run(wait);
        let dead = world.below(size);
        world.kill(dead);
        let span = world.settle(most);
        assert!(span.is_some(), "seed {seed}");
        assert_eq!(world.wrong, [], "seed {seed}");
        spans.extend(span);
    }
    told("a death known by all", size, spans);
}

#[test]
fn a_death_is_known_by_all_and_nobody_else_is_held_dead() {
    deaths(13, 40 * times(), 8000);
    deaths(85, 6 * times(), 8000);
}

/// Plays a trouble in worlds of a size, then waits for all views to be equal and right again.
fn trouble(what: &str, size: usize, seeds: u64, most: Millis, play: impl Fn(&mut World)) {
    let mut spans = Vec::new();
    for seed in 0..seeds {
        let mut world = World::new(size, 4, true, seed, Planted::default());
        let wait = 2000 + world.draw() % 500;
        world.run(wait);
        play(&mut world);
        let span = world.settle(most);
        assert!(span.is_some(), "{what}, {size} nodes, seed {seed}");
        assert_eq!(world.wrong, [], "{what}, {size} nodes, seed {seed}");
        spans.extend(span);
    }
    told(what, size, spans);
}

#[test]
fn seven_in_ten_killed_at_one_moment_are_all_known_to_be_dead() {
    let herd = |world: &mut World| {
        let count = world.machines.len() * 7 / 10;
        world.some(count).into_iter().for_each(|number| world.kill(number));
    };
    trouble("seven in ten dead", 13, 30 * times(), 30_000, herd);
    trouble("seven in ten dead", 85, 3 * times(), 30_000, herd);
    trouble("seven in ten dead", 1000, large(), 60_000, herd);
}

#[test]
fn a_herd_that_returns_leaves_no_ghosts_and_no_orphans() {
    let herd = |world: &mut World| {
        let count = world.machines.len() * 7 / 10;
        let herd = world.some(count);
        herd.iter().for_each(|number| world.kill(*number));
        let down = 1000 + world.draw() % 6000;
        world.run(down);
        herd.iter().for_each(|number| world.start(*number));
    };
    trouble("seven in ten dead and back", 13, 30 * times(), 30_000, herd);
    trouble("seven in ten dead and back", 85, 3 * times(), 30_000, herd);
}

#[test]
fn machines_stopped_in_turn_leave_no_ghosts() {
    let roll = |world: &mut World| {
        let size = world.machines.len();
        for number in 0..size {
            world.stop(number);
            world.run(700);
            world.start(number);
            world.run(300);
        }
    };
    trouble("all stopped in turn", 13, 20 * times(), 10_000, roll);
    trouble("all stopped in turn", 85, times(), 10_000, roll);
}

#[test]
fn those_that_a_zone_cut_parted_find_each_other_again() {
    let cut = |world: &mut World| {
        world.fair_game.fill(true);
        world.zone_cut = Some(1 + world.below(3));
        let span = 1000 + world.draw() % 12_000;
        world.run(span);
        world.zone_cut = None;
    };
    trouble("a zone cut that healed", 13, 30 * times(), 20_000, cut);
    trouble("a zone cut that healed", 85, 3 * times(), 20_000, cut);
    trouble("a zone cut that healed", 1000, large(), 60_000, cut);
}

#[test]
fn who_is_frozen_for_four_seconds_comes_back_and_blames_nobody() {
    let freeze = |world: &mut World| {
        let count = 1 + world.below(world.machines.len() / 4);
        world.some(count).into_iter().for_each(|number| world.freeze(number, 4000));
        world.run(4000);
    };
    trouble("frozen for 4 s", 13, 30 * times(), 10_000, freeze);
    trouble("frozen for 4 s", 85, 3 * times(), 10_000, freeze);
}

#[test]
fn who_is_cut_off_from_all_holds_nobody_dead() {
    let cut = |world: &mut World| {
        let size = world.machines.len();
        let alone = world.below(size);
        if let (Some(fair), Some(machine)) = (world.fair_game.get_mut(alone), world.machines.get_mut(alone)) {
            *fair = true;
            machine.cut = (0..size).filter(|other| *other != alone).collect();
        }
        world.run(20_000);
        if let Some(machine) = world.machines.get_mut(alone) {
            assert!(machine.keeper.is_isolated());
            machine.cut.clear();
        }
    };
    trouble("one cut off for 20 s", 13, 30 * times(), 10_000, cut);
    trouble("one cut off for 20 s", 85, 2 * times(), 10_000, cut);
}

/// No path between some and one of those that watch them; the others reach them.
fn cut_from_one_watcher(world: &mut World) {
    let size = world.machines.len();
    let all: Vec<_> = (0..size).map(|number| (mark(number), mark(number).hash())).collect();
    let mut lost = vec![0; size];
    for one in world.some(size) {
        let by = watchers(&all, (mark(one), mark(one).hash()), WATCHERS);
        let watcher = by.get(world.below(WATCHERS)).copied();
        let Some(watcher) = (0..size).find(|other| Some(mark(*other)) == watcher) else { continue };
        // Paths are cut both ways: the watcher may lose one of its own by it, but no more.
        if lost[one] == 0 && lost[watcher] == 0 {
            (lost[one], lost[watcher]) = (1, 1);
            world.machines[one].cut.push(watcher);
        }
    }
    world.loss = 0.05;
    world.run(20_000);
    world.machines.iter_mut().for_each(|machine| machine.cut.clear());
    world.loss = 0.01;
}

#[test]
fn who_is_reached_by_most_of_its_watchers_is_not_held_dead() {
    trouble("paths cut, one datagram in 20 lost", 13, 20 * times(), 5000, cut_from_one_watcher);
    trouble("paths cut, one datagram in 20 lost", 85, 2 * times(), 5000, cut_from_one_watcher);
}

#[test]
fn a_fleet_that_starts_at_once_knows_itself_by_its_seeds() {
    for (size, seeds) in [(13, 20 * times()), (85, 2 * times()), (1000, large())] {
        let mut spans = Vec::new();
        for seed in 0..seeds {
            let mut world = World::new(size, 3, false, seed, Planted::default());
            let span = world.settle(60_000);
            assert!(span.is_some(), "{size} nodes, seed {seed}");
            assert_eq!(world.wrong, []);
            spans.extend(span);
        }
        told("a first start", size, spans);
    }
}

#[test]
fn who_slept_for_long_brings_nobody_back() {
    for seed in 0..3 * times() {
        let mut world = World::new(13, 3, true, seed, Planted::default());
        let [sleeper, dead] = world.some(2)[..] else { panic!("two") };
        world.freeze(sleeper, 70_000);
        world.run(1000);
        world.kill(dead);
        world.run(69_500);
        for _ in 0..50 {
            world.run(100);
            let others = world.machines.iter().enumerate().filter(|(number, m)| *number != sleeper && m.up);
            for (number, machine) in others {
                let ghost = |w: &Word| w.card.at == mark(dead) && w.state == State::Here;
                assert!(!machine.keeper.words().any(ghost), "seed {seed}: {number} holds {dead} to be here");
            }
        }
        assert!(world.settle(5000).is_some(), "seed {seed}");
    }
}

#[test]
fn neither_what_a_node_spends_nor_how_long_a_death_takes_grows_with_the_fleet() {
    let spent = |size: usize| {
        let mut world = World::new(size, 3, true, 7, Planted::default());
        world.run(2000);
        let sum =
            |world: &World| world.machines.iter().fold((0, 0), |sum, m| (sum.0 + m.sent, sum.1 + m.bytes));
        let before = sum(&world);
        world.run(2000);
        let after = sum(&world);
        let each = |sum: u64| sum as f64 / size as f64 / 2.0;
        let (sent, bytes) = (each(after.0 - before.0), each(after.1 - before.1));
        println!("calm, {size} nodes: {sent:.1} datagrams, {bytes:.0} bytes a second and node");
        let dead = world.below(size);
        world.kill(dead);
        let span = world.settle(8000);
        println!("a death known by all, {size} nodes: {span:?} ms");
        assert!(span.is_some() && world.wrong.is_empty());
        (sent, bytes)
    };
    let (few, many) = (spent(13), spent(1000));
    spent(85);
    assert!(many.0 < 1.3 * few.0 && many.1 < 1.3 * few.1);
}

fn planted(planted: Planted, play: impl Fn(&mut World)) -> usize {
    let found = |seed: &u64| {
        let mut world = World::new(13, 4, true, *seed, planted);
        world.run(2000);
        play(&mut world);
        world.settle(10_000).is_none() || !world.wrong.is_empty()
    };
    (0..8).filter(found).count()
}

#[test]
fn one_witness_is_found_not_to_suffice() {
    assert_eq!(planted(Planted::default(), cut_from_one_watcher), 0);
    assert_eq!(planted(Planted { one_witness: true, ..Planted::default() }, cut_from_one_watcher), 8);
}

/// Takes the same words in two orders, with repeats; whether both end with the same view.
fn order_does_not_matter(takes_older: bool, seed: u64) -> bool {
    let word = |drawn: u64| Word {
        card: Card {
            at: mark(drawn as usize % 3),
            name: String::new(),
            data_plane: true,
            life: drawn / 3 % 4,
        },
        incarnation: (drawn / 16 % 4) as u32,
        state: [State::Here, State::Dead, State::Left][(drawn / 64 % 3) as usize],
    };
    let mut drawn = seed;
    let mut words: Vec<Word> = (0..3).map(word).collect();
    words.extend(
        std::iter::repeat_with(|| {
            drawn = mix(drawn);
            word(drawn)
        })
        .take(20),
    );
    let known = words.drain(..3).collect::<Vec<_>>();
    let view = |words: &[Word]| {
        let mut view = View::default();
        view.takes_older = takes_older;
        known.iter().chain(words).for_each(|word| {
            view.take(word.clone(), 0);
        });
        (view.words().cloned().collect::<Vec<_>>(), view.digest())
    };
    let other_way: Vec<Word> = words.iter().rev().chain(&words[..5]).cloned().collect();
    view(&words) == view(&other_way)
}

#[test]
fn neither_order_nor_repeats_of_words_matter_and_old_ones_that_are_taken_are_found() {
    assert!((0..500).all(|seed| order_does_not_matter(false, seed)));
    assert!(!(0..20).all(|seed| order_does_not_matter(true, seed)));
}

#[test]
fn a_late_loop_that_blames_is_found() {
    let blames = |blames_when_late: bool| {
        let planted = Planted { blames_when_late, ..Planted::default() };
        let mut world = World::new(13, 4, true, 3, planted);
        world.loss = 0.0;
        world.run(2000);
        world.freeze(4, 4000);
        world.run(8000);
        world.blamed.iter().any(|(by, of)| *by == 4 && *of != 4)
    };
    assert!(!blames(false));
    assert!(blames(true));
}
