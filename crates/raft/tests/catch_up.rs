//! A voter that missed up to thousands of changes catches up within a computed time limit, over a slow link that also
//! carries other traffic, while changes continue.

mod fake_disk;
mod slow_links;

use raft::{Faults, Millis, TransferLimits};
use slow_links::World;
use yare::parameterized;

/// The bandwidth in bytes per millisecond: 2 Mbit/s, half of which is used by other traffic.
const BANDWIDTH: usize = 125;
const DELAY: Millis = 20;
/// The percentage of the bandwidth that concurrent changes use.
const CHANGES_PERCENT: usize = 30;
/// The host that was down and has to catch up.
const LAGGING: usize = 2;

#[derive(Clone, Copy)]
struct Case {
    /// The number of missed changes, and the bytes of each change.
    missed: u64,
    change_bytes: usize,
    /// The interval at which the connections of the host break.
    break_interval: Option<Millis>,
    /// The time after which the host loses power once.
    killed_after: Option<Millis>,
    /// Whether the host is needed for a majority, because the third voter is down.
    needed_for_majority: bool,
    /// Whether the host runs the previous release, which does not support chunked transfers.
    without_chunk_support: bool,
    limits: TransferLimits,
    faults: Faults,
}

const PLAIN: Case = Case {
    missed: 100,
    change_bytes: 20_000,
    break_interval: None,
    killed_after: None,
    needed_for_majority: false,
    without_chunk_support: false,
    limits: TransferLimits::PRODUCTION,
    faults: Faults::NONE,
};

/// The time limit in milliseconds: 1.5 times the time to send the data over the bandwidth that the changes leave, plus
/// two seconds for the start. The data are the state and as many entries as fit between two compactions.
fn time_limit(world: &World, leader: usize, case: Case) -> Millis {
    let entries = (16 * case.change_bytes).min(4_000_000 + case.change_bytes);
    let bytes = world.state(leader).size() + entries;
    let bandwidth = BANDWIDTH * (100 - CHANGES_PERCENT) / 100;
    let mut limit_ms = 2_000 + (bytes / bandwidth) as Millis * 3 / 2;
    if case.without_chunk_support {
        // Three transfer attempts are lost first, each detected by a later heartbeat.
        limit_ms += 2_000;
    }
    if let Some(every) = case.break_interval {
        // Half a second of each interval passes until the loss is detected.
        limit_ms += limit_ms * 500 / (every - 500);
    }
    limit_ms
}

struct CaughtUp {
    after: Millis,
    limit_ms: Millis,
    changes_meanwhile: u64,
    sent_bytes: usize,
}

/// Commits the changes that the third voter misses.
fn commit_missed_changes(world: &mut World, case: Case) -> Result<(), String> {
    world.kill(LAGGING, 0);
    world.set_link_speed(LAGGING, BANDWIDTH, DELAY);
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
    world.without_chunk_support = case.without_chunk_support.then_some(LAGGING);
    commit_missed_changes(&mut world, case)?;
    let mut leader = world.leader().ok_or("no leader")?;
    world.start(LAGGING);
    if case.needed_for_majority {
        world.kill(1 - leader, 0);
        // The leader steps down and is elected again.
        world.run_until(world.now + 3_000)?;
        leader = world.leader().ok_or("no leader with two of three voters")?;
    }
    let term = world.node(leader).map(raft::Node::term);
    let (began, sent, before) = (world.now, world.sent_bytes, world.state(leader).changes);
    let limit_ms = time_limit(&world, leader, case);
    let pause = (case.change_bytes * 100 / CHANGES_PERCENT / BANDWIDTH).max(20) as Millis;
    let (mut next_change, mut next_break, mut next_kill) = (pause, case.break_interval, case.killed_after);
    while world.applied(LAGGING) < world.applied(leader) {
        world.run_until(world.now + 5)?;
        let after = world.now - began;
        if after > limit_ms {
            let (has, of) = (world.applied(LAGGING), world.applied(leader));
            return Err(format!("the host has {has} of {of} entries after {after} ms"));
        }
        if world.leader() != Some(leader) || world.node(leader).map(raft::Node::term) != term {
            return Err(format!("another term has begun after {after} ms"));
        }
        if after >= next_change {
            next_change += pause;
            world.propose(case.change_bytes)?;
        }
        if next_break.is_some_and(|at| after >= at) {
            next_break = next_break.zip(case.break_interval).map(|(at, every)| at + every);
            world.break_connections(LAGGING);
        }
        if next_kill.is_some_and(|at| after >= at) {
            next_kill = None;
            world.kill(LAGGING, 1);
            world.start(LAGGING);
        }
    }
    let changes_meanwhile = world.state(leader).changes - before;
    Ok(CaughtUp {
        after: world.now - began,
        limit_ms,
        changes_meanwhile,
        sent_bytes: world.sent_bytes - sent,
    })
}

#[parameterized(
    ten_of_4_mb = { Case { missed: 10, change_bytes: 4_000_000, ..PLAIN } },
    ten_of_200_kb = { Case { missed: 10, change_bytes: 200_000, ..PLAIN } },
    a_hundred = { PLAIN },
    a_hundred_of_1_mb = { Case { change_bytes: 1_000_000, ..PLAIN } },
    a_thousand_of_100_kb = { Case { missed: 1_000, change_bytes: 100_000, ..PLAIN } },
    five_thousand = { Case { missed: 5_000, change_bytes: 2_000, ..PLAIN } },
    five_thousand_of_20_kb = { Case { missed: 5_000, ..PLAIN } },
    connections_break = { Case { change_bytes: 100_000, break_interval: Some(3_000), ..PLAIN } },
    large_changes_and_connections_break = { Case { missed: 10, change_bytes: 2_000_000, break_interval: Some(3_000), ..PLAIN } },
    needed_for_a_majority = { Case { change_bytes: 100_000, needed_for_majority: true, ..PLAIN } },
    previous_release = { Case { change_bytes: 200_000, without_chunk_support: true, ..PLAIN } },
    small_changes_and_previous_release = {
        Case { missed: 5_000, change_bytes: 2_000, without_chunk_support: true, ..PLAIN }
    },
    large_changes_and_needed_for_a_majority = { Case { missed: 10, change_bytes: 2_000_000, needed_for_majority: true, ..PLAIN } },
)]
fn lagging_voter_catches_up_in_time(case: Case) {
    let result = catch_up(case).unwrap_or_else(|violation| panic!("{violation}"));
    let CaughtUp { after, limit_ms, changes_meanwhile, sent_bytes } = result;
    let (missed, bytes) = (case.missed, case.change_bytes);
    println!(
        "{missed} of {bytes} bytes: {after} ms of {limit_ms}, {changes_meanwhile} changes meanwhile, {sent_bytes} sent"
    );
}

const TOO_LATE: &str = "entries after";

#[parameterized(
    restart_transfers = {
        Faults { restart_transfers: true, ..Faults::NONE },
        Case { change_bytes: 100_000, break_interval: Some(3_000), ..PLAIN }, TOO_LATE
    },
    compaction_aborts_transfers = {
        Faults { compaction_aborts_transfers: true, ..Faults::NONE },
        Case { missed: 5_000, change_bytes: 2_000, ..PLAIN }, TOO_LATE
    },
    retain_no_entries = {
        Faults { retain_no_entries: true, ..Faults::NONE },
        Case { missed: 5_000, change_bytes: 2_000, ..PLAIN }, TOO_LATE
    },
    fixed_loss_timeout = {
        Faults { fixed_loss_timeout: true, ..Faults::NONE }, Case { change_bytes: 100_000, ..PLAIN }, TOO_LATE
    },
)]
fn injected_faults_are_detected(faults: Faults, case: Case, expected: &str) {
    assert!(catch_up(case).is_ok(), "the case fails even without the fault");
    let violation = catch_up(Case { faults, ..case }).err().expect("the fault is not detected");
    println!("{violation}");
    assert!(violation.contains(expected), "{violation}");
}

/// A snapshot in a single message delays heartbeats until the leader loses its leadership.
#[test]
fn snapshot_in_one_message_is_detected() {
    let case = Case { change_bytes: 100_000, needed_for_majority: true, ..PLAIN };
    assert!(catch_up(case).is_ok(), "the case fails even without the fault");
    let limits = TransferLimits { min_window_bytes: 8 << 20, ..TransferLimits::PRODUCTION };
    let violation = catch_up(Case { limits, ..case }).err().expect("the fault is not detected");
    println!("{violation}");
    assert!(violation.contains("another term") || violation.contains("no leader"), "{violation}");
}

/// Repeatedly restarts all voters after a power loss, so that the next leader has a snapshot older than its log.
fn restart_all_repeatedly(faults: Faults) -> Result<World, String> {
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
fn leader_serves_only_with_a_current_state() {
    let world = restart_all_repeatedly(Faults::NONE).unwrap_or_else(|violation| panic!("{violation}"));
    assert!(
        world.acknowledged > 90 && world.serving_steps > 1_000,
        "{} {}",
        world.acknowledged,
        world.serving_steps
    );
    let violation = restart_all_repeatedly(Faults { serve_before_own_commit: true, ..Faults::NONE })
        .err()
        .expect("the fault is not detected");
    println!("{violation}");
    assert!(violation.contains("acknowledged changes"), "{violation}");
}

/// Power is lost at every moment of a transfer and of its completion. The state after the restart is always a committed
/// state.
#[test]
fn power_loss_at_any_moment_of_a_snapshot_transfer_is_safe() {
    let case = Case { missed: 40, ..PLAIN };
    let baseline = catch_up(case).unwrap_or_else(|violation| panic!("{violation}"));
    let mut tested_moments = 0;
    for moment in (5..baseline.after).step_by(10) {
        let case = Case { killed_after: Some(moment), ..case };
        catch_up(case).unwrap_or_else(|violation| panic!("power loss after {moment} ms: {violation}"));
        tested_moments += 1;
    }
    println!("{tested_moments} moments in {} ms", baseline.after);
    assert!(tested_moments > 20);
}
