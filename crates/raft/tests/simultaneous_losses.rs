//! Acknowledged entries survive when, right after the acknowledgement, as many voters as tolerated lose their disks and
//! all others lose power at the same time.

mod fake_disk;
mod simulation;

use raft::{Faults, Input};
use simulation::World;
use yare::parameterized;

/// The number of loss rounds per simulation. Each round starts after the cluster has recovered from the previous one.
const ROUNDS: usize = 5;
/// The maximum time, in ms, until all hosts are voters again.
const RECOVERY_TIMEOUT: u64 = 20_000;
/// The maximum time, in ms, to wait for a commit. Sufficient without disruptions, unless a slow save is drawn.
const COMMIT_TIMEOUT: u64 = 2_000;

/// The moment of the power loss.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// Some milliseconds after an entry is committed.
    AfterCommit,
    /// Some milliseconds after an entry is proposed, committed or not.
    AfterProposal,
}

/// Advances the simulation by `span` ms.
fn advance(world: &mut World, span: u64) -> Result<(), String> {
    let end = world.now + span;
    while world.now < end {
        world.run_until((world.now + 20).min(end))?;
        world.run_maintenance()?;
    }
    Ok(())
}

fn wait_until_recovered(world: &mut World) -> Result<(), String> {
    let end = world.now + RECOVERY_TIMEOUT;
    while !world.is_settled() {
        if world.now > end {
            return Err("the cluster has not recovered".into());
        }
        advance(world, 100)?;
    }
    Ok(())
}

/// Proposes an entry and waits for the moment of the loss.
fn propose(world: &mut World, moment: Moment) -> Result<(), String> {
    let leader = world.leader().ok_or("no leader")?;
    let before = world.committed.len();
    let token = world.now;
    world.input(leader, Input::Propose { token, change: token.to_be_bytes().to_vec() })?;
    if let Moment::AfterProposal = moment {
        let span = world.rng.below(40);
        return world.run_until(world.now + span);
    }
    let end = world.now + COMMIT_TIMEOUT;
    while world.committed.len() == before && world.now < end {
        world.run_until(world.now + 1)?;
    }
    let span = world.rng.below(4);
    world.run_until(world.now + span)
}

/// Wipes the disks of `losses` hosts, including the leader in half of the cases; all other hosts lose power.
fn lose_disks_and_power(world: &mut World, losses: usize) {
    let size = world.hosts.len() as u64;
    let mut wiped = Vec::new();
    if world.rng.chance(50) {
        wiped.extend(world.leader());
    }
    while wiped.len() < losses {
        let at = world.rng.below(size) as usize;
        if !wiped.contains(&at) {
            wiped.push(at);
        }
    }
    for at in 0..world.hosts.len() {
        let span = 100 + world.rng.below(1_200);
        match wiped.contains(&at) {
            true => world.wipe(at, span),
            false => world.kill(at, span),
        }
    }
}

fn run_losses(
    seed: u64, size: usize, losses: usize, moment: Moment, faults: Faults,
) -> Result<usize, String> {
    let mut world = World::new(seed, size, faults);
    world.lossy = false;
    wait_until_recovered(&mut world)?;
    for _ in 0..ROUNDS {
        propose(&mut world, moment)?;
        lose_disks_and_power(&mut world, losses);
        wait_until_recovered(&mut world)?;
    }
    Ok(world.committed.len())
}

#[parameterized(
    one_of_three = { 3, 1, Moment::AfterCommit },
    one_of_three_any_time = { 3, 1, Moment::AfterProposal },
    two_of_five = { 5, 2, Moment::AfterCommit },
    two_of_five_any_time = { 5, 2, Moment::AfterProposal },
    two_of_six = { 6, 2, Moment::AfterCommit },
    two_of_six_any_time = { 6, 2, Moment::AfterProposal },
)]
fn acknowledged_entries_survive(size: usize, losses: usize, moment: Moment) {
    for seed in 0..60 {
        let committed = run_losses(seed, size, losses, moment, Faults::default())
            .unwrap_or_else(|violation| panic!("{size} voters, seed {seed}: {violation}"));
        assert!(committed > ROUNDS, "{committed}");
    }
}

#[parameterized(
    any_incarnation = { Faults { any_incarnation: true, ..Faults::default() } },
    reply_before_sync = { Faults { reply_before_sync: true, ..Faults::default() } },
)]
fn injected_faults_are_detected(faults: Faults) {
    let is_lost_entry = |violation: String| violation.contains("was committed as");
    let detected =
        |seed: u64| run_losses(seed, 3, 1, Moment::AfterCommit, faults).err().is_some_and(is_lost_entry);
    assert!((0..400).any(detected), "no simulation detects the fault");
}
