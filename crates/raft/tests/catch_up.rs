//! A voter that was away for up to thousands of changes catches up over a slow link that also carries other traffic, while
//! changes go on: in a time that a formula gives.

mod fake_disk;
mod slow_links;

use raft::{Faults, Millis, TransferLimits};
use slow_links::World;
use yare::parameterized;

/// 2 Mbit/s, of which other traffic takes half: bytes a millisecond.
const BANDWIDTH: usize = 125;
const DELAY: Millis = 20;
/// Of a hundred bytes that the link carries, so many are changes that go on.
const CHANGES_SHARE: usize = 30;
/// Who was away.
const AWAY: usize = 2;

#[derive(Clone, Copy)]
struct Case {
    /// Changes that it missed, and the bytes of each.
    missed: u64,
    change_bytes: usize,
    /// Its connections break this often.
    breaks_every: Option<Millis>,
    /// Its power goes once after this.
    killed_after: Option<Millis>,
    /// Whether it is needed for a majority, since the third voter is away then.
    needed: bool,
    /// Whether it is a process of the version before, which knows no pieces.
    knows_no_pieces: bool,
    limits: TransferLimits,
    faults: Faults,
}

const PLAIN: Case = Case {
    missed: 100,
    change_bytes: 20_000,
    breaks_every: None,
    killed_after: None,
    needed: false,
    knows_no_pieces: false,
    limits: TransferLimits::PRODUCTION,
    faults: Faults::NONE,
};

/// In milliseconds: what is to be sent over what the changes leave of the link, half as much again, and two seconds for
/// its start. To be sent are the state, and as many entries as a compaction allows.
fn bound(world: &World, leader: usize, case: Case) -> Millis {
    let entries = (16 * case.change_bytes).min(4_000_000 + case.change_bytes);
    let bytes = world.state(leader).size() + entries;
    let bandwidth = BANDWIDTH * (100 - CHANGES_SHARE) / 100;
    let mut bound = 2_000 + (bytes / bandwidth) as Millis * 3 / 2;
    if case.knows_no_pieces {
        // Three windows of pieces are lost first, each told by a heartbeat behind it.
        bound += 2_000;
    }
    if let Some(every) = case.breaks_every {
        // Half a second of each span goes by until it is noticed.
        bound += bound * 500 / (every - 500);
    }
    bound
}

struct CaughtUp {
    after: Millis,
    bound: Millis,
    changes_meanwhile: u64,
    sent_bytes: usize,
}

/// Commits what the third voter misses.
fn miss(world: &mut World, case: Case) -> Result<(), String> {
    world.kill(AWAY, 0);
    world.slow_down(AWAY, BANDWIDTH, DELAY);
    world.run_until(world.now + 2_000)?;
    while world.acknowledged < case.missed {
        let before = world.acknowledged;
        world.propose(case.change_bytes)?;
        while world.acknowledged == before {
            world.run_until(world.now + 10)?;
        }
    }
    Ok(())
}

fn catch_up(case: Case) -> Result<CaughtUp, String> {
    let mut world = World::new(3, case.faults, case.limits);
    world.knows_no_pieces = case.knows_no_pieces.then_some(AWAY);
    miss(&mut world, case)?;
    let mut leader = world.leader().ok_or("nobody leads")?;
    world.start(AWAY);
    if case.needed {
        world.kill(1 - leader, 0);
        // The leader gives way, and is elected again.
        world.run_until(world.now + 3_000)?;
        leader = world.leader().ok_or("nobody leads with two of three")?;
    }
    let term = world.node(leader).map(raft::Node::term);
    let (began, sent, before) = (world.now, world.sent_bytes, world.state(leader).changes);
    let bound = bound(&world, leader, case);
    let pause = (case.change_bytes * 100 / CHANGES_SHARE / BANDWIDTH).max(20) as Millis;
    let (mut next_change, mut next_break, mut next_kill) = (pause, case.breaks_every, case.killed_after);
    while world.applied(AWAY) < world.applied(leader) {
        world.run_until(world.now + 5)?;
        let after = world.now - began;
        if after > bound {
            let (has, of) = (world.applied(AWAY), world.applied(leader));
            return Err(format!("it has {has} of {of} entries after {after} ms"));
        }
        if world.leader() != Some(leader) || world.node(leader).map(raft::Node::term) != term {
            return Err(format!("another term has begun after {after} ms"));
        }
        if after >= next_change {
            next_change += pause;
            world.propose(case.change_bytes)?;
        }
        if next_break.is_some_and(|at| after >= at) {
            next_break = next_break.zip(case.breaks_every).map(|(at, every)| at + every);
            world.break_connections(AWAY);
        }
        if next_kill.is_some_and(|at| after >= at) {
            next_kill = None;
            world.kill(AWAY, 1);
            world.start(AWAY);
        }
    }
    let changes_meanwhile = world.state(leader).changes - before;
    Ok(CaughtUp { after: world.now - began, bound, changes_meanwhile, sent_bytes: world.sent_bytes - sent })
}

#[parameterized(
    ten_of_4_mb = { Case { missed: 10, change_bytes: 4_000_000, ..PLAIN } },
    ten_of_200_kb = { Case { missed: 10, change_bytes: 200_000, ..PLAIN } },
    a_hundred = { PLAIN },
    a_hundred_of_1_mb = { Case { change_bytes: 1_000_000, ..PLAIN } },
    a_thousand_of_100_kb = { Case { missed: 1_000, change_bytes: 100_000, ..PLAIN } },
    five_thousand = { Case { missed: 5_000, change_bytes: 2_000, ..PLAIN } },
    five_thousand_of_20_kb = { Case { missed: 5_000, ..PLAIN } },
    connections_break = { Case { change_bytes: 100_000, breaks_every: Some(3_000), ..PLAIN } },
    large_and_they_break = { Case { missed: 10, change_bytes: 2_000_000, breaks_every: Some(3_000), ..PLAIN } },
    it_is_needed = { Case { change_bytes: 100_000, needed: true, ..PLAIN } },
    of_the_version_before = { Case { change_bytes: 200_000, knows_no_pieces: true, ..PLAIN } },
    small_of_the_version_before = {
        Case { missed: 5_000, change_bytes: 2_000, knows_no_pieces: true, ..PLAIN }
    },
    large_and_needed = { Case { missed: 10, change_bytes: 2_000_000, needed: true, ..PLAIN } },
)]
fn a_voter_that_was_away_catches_up_in_time(case: Case) {
    let figures = catch_up(case).unwrap_or_else(|fault| panic!("{fault}"));
    let CaughtUp { after, bound, changes_meanwhile, sent_bytes } = figures;
    let (missed, bytes) = (case.missed, case.change_bytes);
    println!(
        "{missed} of {bytes} bytes: {after} ms of {bound}, {changes_meanwhile} changes meanwhile, {sent_bytes} sent"
    );
}

const LATE: &str = "entries after";

#[parameterized(
    restart_transfers = {
        Faults { restart_transfers: true, ..Faults::NONE },
        Case { change_bytes: 100_000, breaks_every: Some(3_000), ..PLAIN }, LATE
    },
    compaction_aborts_transfers = {
        Faults { compaction_aborts_transfers: true, ..Faults::NONE },
        Case { missed: 5_000, change_bytes: 2_000, ..PLAIN }, LATE
    },
    retain_no_entries = {
        Faults { retain_no_entries: true, ..Faults::NONE },
        Case { missed: 5_000, change_bytes: 2_000, ..PLAIN }, LATE
    },
    fixed_loss_timeout = { Faults { fixed_loss_timeout: true, ..Faults::NONE }, Case { change_bytes: 100_000, ..PLAIN }, LATE },
)]
fn planted_faults_are_found(faults: Faults, case: Case, what: &str) {
    assert!(catch_up(case).is_ok(), "it is found without the fault as well");
    let fault = catch_up(Case { faults, ..case }).err().expect("it is not found");
    println!("{fault}");
    assert!(fault.contains(what), "{fault}");
}

/// What holds up the heartbeats behind it costs a leader its place.
#[test]
fn a_snapshot_in_one_message_is_found() {
    let case = Case { change_bytes: 100_000, needed: true, ..PLAIN };
    assert!(catch_up(case).is_ok(), "it is found without the fault as well");
    let limits = TransferLimits { min_window_bytes: 8 << 20, ..TransferLimits::PRODUCTION };
    let fault = catch_up(Case { limits, ..case }).err().expect("it is not found");
    println!("{fault}");
    assert!(fault.contains("another term") || fault.contains("nobody leads"), "{fault}");
}

/// All lose their power; whoever leads then has a snapshot that is older than its log.
fn all_start_again(faults: Faults) -> Result<World, String> {
    let mut world = World::new(3, faults, TransferLimits::default());
    world.run_until(world.now + 2_000)?;
    for round in 0..8 {
        for _ in 0..9 + round {
            world.propose(2_000)?;
            world.run_until(world.now + 30)?;
        }
        (0..3).for_each(|at| world.kill(at, round % 3));
        (0..3).for_each(|at| world.start(at));
        world.run_until(world.now + 2_500)?;
    }
    Ok(world)
}

#[test]
fn no_leader_answers_before_its_state_has_caught_up() {
    let world = all_start_again(Faults::NONE).unwrap_or_else(|fault| panic!("{fault}"));
    assert!(
        world.acknowledged > 90 && world.answerable > 1_000,
        "{} {}",
        world.acknowledged,
        world.answerable
    );
    let fault = all_start_again(Faults { serve_before_own_commit: true, ..Faults::NONE })
        .err()
        .expect("it is not found");
    println!("{fault}");
    assert!(fault.contains("that were acknowledged"), "{fault}");
}

/// Power goes at any moment of a transfer and of what follows it: what is there is always one state that was committed.
#[test]
fn power_may_go_at_each_step_of_taking_a_snapshot() {
    let case = Case { missed: 40, ..PLAIN };
    let whole = catch_up(case).unwrap_or_else(|fault| panic!("{fault}"));
    let mut moments = 0;
    for moment in (5..whole.after).step_by(10) {
        let case = Case { killed_after: Some(moment), ..case };
        catch_up(case).unwrap_or_else(|fault| panic!("power goes after {moment} ms: {fault}"));
        moments += 1;
    }
    println!("{moments} moments in {} ms", whole.after);
    assert!(moments > 20);
}
