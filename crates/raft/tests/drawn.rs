//! The log in drawn worlds: what must never be, over some hundred seeds, and planted faults that must be found.

mod fake_disk;
mod membership;
mod simulation;

use raft::{Faults, Input, Node, TransferLimits};
use simulation::{TIMING, World};
use yare::parameterized;

const TROUBLE: u64 = 9_000;

/// What a world throws at the nodes: how often in a hundred steps, and of a hundred of those, which.
#[derive(Clone, Copy)]
struct Weather {
    often: u64,
    kills: u64,
    wipes: u64,
    freezes: u64,
    cuts: u64,
    /// How many saves, and messages, of a hundred take long.
    slow: (u64, u64),
    /// In how many steps of a hundred there are proposals.
    busy: u64,
    /// In how many steps of a hundred the leader is asked to hand over its lead.
    transfers: u64,
    /// How long a message may be that does not go in pieces, and how long those are.
    limits: TransferLimits,
}

const PRODUCTION: TransferLimits = TransferLimits::PRODUCTION;
const SMALL: TransferLimits = TransferLimits { chunk_bytes: 24, min_window_bytes: 4, max_window_bytes: 100 };

const ALL: Weather = Weather {
    often: 20,
    kills: 25,
    wipes: 8,
    freezes: 15,
    cuts: 30,
    slow: (2, 3),
    busy: 100,
    transfers: 0,
    limits: PRODUCTION,
};
const POWER: Weather = Weather {
    often: 40,
    kills: 60,
    wipes: 0,
    freezes: 0,
    cuts: 20,
    slow: (40, 10),
    busy: 100,
    transfers: 0,
    limits: PRODUCTION,
};
const PIECES: Weather = Weather { limits: SMALL, ..ALL };
/// Leaders that hand over their lead all the time, amid all troubles; and on links where that gets lost and comes late.
const TRANSFERS: Weather = Weather { transfers: 20, ..ALL };
const TRANSFERS_ON_BAD_LINKS: Weather = Weather { transfers: 30, busy: 100, ..LINKS };
/// Nothing is handed over while entries wait for their commitment.
const QUIET_TRANSFERS: Weather = Weather { busy: 30, ..TRANSFERS_ON_BAD_LINKS };
const LINKS: Weather = Weather {
    often: 25,
    kills: 0,
    wipes: 0,
    freezes: 60,
    cuts: 25,
    slow: (2, 3),
    busy: 3,
    transfers: 0,
    limits: PRODUCTION,
};

fn live(seed: u64, size: usize, weather: Weather, faults: Faults) -> Result<World, String> {
    let mut world = World::with_limits(seed, size, faults, weather.limits);
    world.run_until(world.now + 1_000)?;
    world.slow = weather.slow;
    let mut wiped = 0;
    let end = world.now + TROUBLE;
    while world.now < end {
        let pause = 10 + world.rng.below(60);
        world.run_until(world.now + pause)?;
        world.run_maintenance()?;
        let proposes = world.rng.chance(weather.busy);
        let at = world.rng.below(size as u64) as usize;
        let token = world.now;
        if proposes {
            world.input(at, Input::Propose { token, change: token.to_be_bytes().to_vec() })?;
        }
        if let Some(leader) = world.leader() {
            if proposes {
                world.input(leader, Input::Propose { token, change: vec![7; 20] })?;
            }
            if world.rng.chance(weather.transfers) {
                world.input(leader, Input::TransferLeadership)?;
            }
            if world.settled() {
                wiped = 0;
            }
        }
        if !world.rng.chance(weather.often) {
            continue;
        }
        let (span, trouble) = (world.rng.below(1_500), world.rng.below(100));
        let at = world.rng.below(size as u64) as usize;
        let mut from = 0;
        let mut comes = |chance: u64| {
            from += chance;
            (from - chance..from).contains(&trouble)
        };
        if comes(weather.kills) {
            if world.rng.chance(15) {
                (0..size).for_each(|at| world.kill(at, span / 2));
            } else {
                world.kill(at, span);
            }
        } else if comes(weather.wipes) {
            // No more disks may be lost at a time than the voters can bear.
            if wiped < (size - 1) / 2 {
                wiped += 1;
                world.wipe(at, span / 3);
            }
        } else if comes(weather.freezes) {
            world.freeze(at, span);
        } else if comes(weather.cuts) {
            let other = world.rng.below(size as u64) as usize;
            world.cut[at][other] = true;
        } else {
            world.cut.iter_mut().flatten().for_each(|cut| *cut = false);
        }
    }
    Ok(world)
}

fn heal(world: &mut World) -> Result<(), String> {
    world.cut.iter_mut().flatten().for_each(|cut| *cut = false);
    world.lossy = false;
    let calm = world.now + 6_000;
    while world.now < calm {
        world.run_until(world.now + 100)?;
        world.run_maintenance()?;
    }
    let leader = world.leader().ok_or("nobody leads after the trouble")?;
    let before = world.committed.len();
    world.input(leader, Input::Propose { token: 1, change: vec![1] })?;
    world.run_until(world.now + 500)?;
    let last = world.committed.last_key_value().map_or(0, |(index, _)| *index);
    if world.committed.len() == before {
        return Err("nothing is committed after the trouble".into());
    }
    for host in &world.hosts {
        let node = host.node.as_ref().ok_or("one is still down")?;
        if node.commit() != last || !node.is_voter() || node.members().len() != world.hosts.len() {
            let (me, commit, members) = (node.me(), node.commit(), node.members());
            return Err(format!("{me} has {commit} of {last} and the list {members:?}"));
        }
    }
    Ok(())
}

fn whole(seed: u64, size: usize, weather: Weather) -> Result<(u64, u64, u64), String> {
    let mut world = live(seed, size, weather, Faults::default())?;
    heal(&mut world)?;
    Ok((world.committed.len() as u64, world.leases, world.sent))
}

#[parameterized(
    three = { 3, 0, ALL }, three_more = { 3, 1, ALL },
    five = { 5, 2, ALL }, five_more = { 5, 3, ALL },
    three_in_pieces = { 3, 4, PIECES }, five_in_pieces = { 5, 5, PIECES },
    three_with_transfers = { 3, 6, TRANSFERS }, five_with_transfers = { 5, 7, TRANSFERS },
    three_with_transfers_on_bad_links = { 3, 8, TRANSFERS_ON_BAD_LINKS },
)]
fn nothing_is_lost_and_work_goes_on(size: usize, part: u64, weather: Weather) {
    let (mut committed, mut leases, mut sent) = (0, 0, 0);
    for seed in part * 1000..part * 1000 + 75 {
        let figures =
            whole(seed, size, weather).unwrap_or_else(|fault| panic!("{size} voters, seed {seed}: {fault}"));
        (committed, leases, sent) = (committed + figures.0, leases + figures.1, sent + figures.2);
    }
    println!("{committed} committed, {leases} steps with a lease, {sent} messages");
    // A world in which hardly anything happens would find nothing.
    assert!(committed > 75 * 50 && leases > 75 * 500, "{committed} {leases}");
}

const TWO_LEADERS: &str = "is led by";
const TWO_LEASES: &str = "hold the lease";
const LOST: &str = "was committed as";
const STRANGE: &str = "strange snapshot";

fn find(faults: Faults, weather: Weather, what: &str) -> Option<(u64, String)> {
    (0..1_500).find_map(|seed| {
        let size = 3 + seed as usize % 2 * 2;
        let fault = live(seed, size, weather, faults).err()?;
        fault.contains(what).then_some((seed, fault))
    })
}

// Some faults hide behind guards that are not needed for what they break: those guards are off here.
const UNGUARDED: Faults = Faults { vote_despite_leader: true, skip_pre_vote: true, ..Faults::NONE };

#[parameterized(
    unsaved_votes = { Faults { unsaved_votes: true, ..UNGUARDED }, POWER, TWO_LEADERS },
    any_incarnation = { Faults { any_incarnation: true, ..Faults::default() }, ALL, LOST },
    vote_despite_leader = { Faults { vote_despite_leader: true, ..Faults::default() }, LINKS, TWO_LEASES },
    mix_transfers = { Faults { mix_transfers: true, ..Faults::default() }, PIECES, STRANGE },
    keep_leading_after_transfer = {
        Faults { keep_leading_after_transfer: true, ..Faults::default() }, QUIET_TRANSFERS, TWO_LEASES
    },
    hasty_entries = { Faults { reply_before_sync: true, ..Faults::default() }, POWER, LOST },
)]
fn planted_faults_are_found(faults: Faults, weather: Weather, what: &str) {
    let (seed, fault) = find(faults, weather, what).expect("no world finds it");
    println!("seed {seed}: {fault}");
}

/// What was found above is not there without the fault, also with the guards off.
#[parameterized(power = { POWER }, links = { LINKS })]
fn nothing_is_found_where_nothing_is_planted(weather: Weather) {
    let unguarded = Faults { vote_despite_leader: false, ..UNGUARDED };
    for (seed, faults) in (0..60).flat_map(|seed| [(seed, Faults::default()), (seed, unguarded)]) {
        let mut world = live(seed, 3 + seed as usize % 2 * 2, weather, faults)
            .unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
        heal(&mut world).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    }
}

/// The wait for an election, one that is lost because two stand in the same moment, the next one, and a lease.
const LEADERLESS: u64 = 3 * 2 * TIMING.election;
/// Of so many losses of a leader few take more than one election: two stand at once within a message and a save.
const MOST_LONG: usize = 30;

/// Two of three are left. Where both stand in the same moment neither is elected, and one election more is waited for.
#[test]
fn two_that_stand_at_once_cost_one_election() {
    let mut waits: Vec<u64> = (0..300u64)
        .map(|seed| {
            let mut world = World::new(seed, 3, Faults::default());
            (world.lossy, world.slow) = (false, (0, 0));
            world.run_until(world.now + 2_000).expect("a calm world");
            let leader = world.leader().expect("somebody leads");
            world.kill(leader, 60_000);
            let lost = world.now;
            while !world
                .leader()
                .and_then(|at| world.hosts[at].node.as_ref())
                .is_some_and(|n| n.holds_lease(world.now))
            {
                world.run_until(world.now + 5).expect("a calm world");
                assert!(world.now < lost + LEADERLESS, "seed {seed}: nobody leads");
            }
            world.now - lost
        })
        .collect();
    waits.sort_unstable();
    let long = waits.iter().filter(|wait| **wait > 2 * TIMING.election + 100).count();
    println!(
        "median {}, longest {}, {long} of {} longer than one election",
        waits[150],
        waits[299],
        waits.len()
    );
    assert!(long <= MOST_LONG, "{long}");
}

/// How long disks hang, how many terms that costs at the most, and when somebody leads after it.
const HUNG: u64 = 10_000;
const MOST_TERMS: u64 = 20;
const LEADS_AGAIN: u64 = 1_200;

/// The leader is lost while one of the two others, or both, can't write: no vote is given for long. Each node waits for
/// longer after an election that is lost for that, so that few terms go by and the one after the last of them is won.
#[parameterized(one = { 1 }, both = { 2 })]
fn a_leader_is_elected_soon_after_disks_that_hung(count: usize) {
    let (mut waits, mut terms) = (Vec::new(), Vec::new());
    for seed in 0..100 {
        let mut world = World::new(seed, 3, Faults::default());
        (world.lossy, world.slow) = (false, (0, 0));
        world.run_until(world.now + 2_000).expect("a calm world");
        let leader = world.leader().expect("somebody leads");
        let before = world.hosts[leader].node.as_ref().map_or(0, Node::term);
        let healed_at = world.now + HUNG;
        world.hung_until = (1..=count).map(|other| ((leader + other) % 3, healed_at)).collect();
        world.kill(leader, 60_000);
        world.run_until(healed_at).expect("a calm world");
        let newest = world.hosts.iter().filter_map(|host| host.node.as_ref()).map(Node::term).max();
        terms.push(newest.unwrap_or(0) - before);
        let leads = |world: &World| {
            let leader = world.leader().and_then(|at| world.hosts[at].node.as_ref());
            leader.is_some_and(|node| node.holds_lease(world.now))
        };
        while !leads(&world) {
            world.run_until(world.now + 5).expect("a calm world");
            assert!(world.now < healed_at + LEADS_AGAIN, "seed {seed}: nobody leads");
        }
        waits.push(world.now - healed_at);
    }
    let (longest, most) = (waits.iter().max(), terms.iter().max().copied().unwrap_or(0));
    println!("{count} hung: {most} terms at most, a leader after {longest:?} ms at most");
    assert!(most <= MOST_TERMS, "{most} terms");
}

/// Silence would take an election, 300 ms at the least.
#[parameterized(three = { 3 }, five = { 5 })]
fn a_leader_that_hands_over_its_lead_has_a_successor_at_once(size: usize) {
    for seed in 0..50 {
        let mut world = World::new(seed, size, Faults::default());
        world.lossy = false;
        world.slow = (0, 0);
        world.run_until(world.now + 2_000).unwrap();
        let (leader, began) = (world.leader().unwrap(), world.now);
        while world.leader().is_none_or(|now| now == leader) {
            assert!(world.now < began + 150, "seed {seed}: nobody else leads after {} ms", world.now - began);
            if world.leader() == Some(leader) {
                world.input(leader, Input::TransferLeadership).unwrap();
            }
            world.run_until(world.now + 5).unwrap();
        }
    }
}

#[test]
fn a_fresh_system_has_a_leader_within_a_second() {
    for seed in 0..50 {
        let mut world = World::new(seed, 3, Faults::default());
        world.lossy = false;
        world.run_until(world.now + 1_000).unwrap();
        assert!(world.leader().is_some(), "seed {seed}");
    }
}
