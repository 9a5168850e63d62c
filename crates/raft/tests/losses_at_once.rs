//! Right after an acknowledgement as many voters lose their disks as is tolerated, and all others lose power in the same
//! moment: what was acknowledged is there when they are back.

mod fake_disk;
mod simulation;

use raft::{Faults, Input};
use simulation::World;
use yare::parameterized;

/// Losses of one world, each after all voters of the one before count again.
const ROUNDS: usize = 5;
/// By then everybody is back on the list.
const SETTLES_WITHIN: u64 = 20_000;
/// An entry is committed by then in calm times, or a longer wait on a disk is drawn.
const COMMITS_WITHIN: u64 = 2_000;

/// When power goes.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// Some milliseconds after an entry was committed.
    AfterCommit,
    /// Some milliseconds after it was proposed, committed or not.
    AfterProposal,
}

/// Time passes, as far as this many ms.
fn pass(world: &mut World, span: u64) -> Result<(), String> {
    let end = world.now + span;
    while world.now < end {
        world.run_until((world.now + 20).min(end))?;
        world.run_maintenance()?;
    }
    Ok(())
}

fn settle(world: &mut World) -> Result<(), String> {
    let end = world.now + SETTLES_WITHIN;
    while !world.settled() {
        if world.now > end {
            return Err("not all voters count again".into());
        }
        pass(world, 100)?;
    }
    Ok(())
}

/// Proposes an entry and waits for the moment of the loss.
fn propose(world: &mut World, moment: Moment) -> Result<(), String> {
    let leader = world.leader().ok_or("nobody leads")?;
    let before = world.committed.len();
    let token = world.now;
    world.input(leader, Input::Propose { token, change: token.to_be_bytes().to_vec() })?;
    if let Moment::AfterProposal = moment {
        let span = world.rng.below(40);
        return world.run_until(world.now + span);
    }
    let end = world.now + COMMITS_WITHIN;
    while world.committed.len() == before && world.now < end {
        world.run_until(world.now + 1)?;
    }
    let span = world.rng.below(4);
    world.run_until(world.now + span)
}

/// So many lose their disks, the others their power.
fn strike(world: &mut World, losses: usize) {
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

fn play(seed: u64, size: usize, losses: usize, moment: Moment, faults: Faults) -> Result<usize, String> {
    let mut world = World::new(seed, size, faults);
    world.lossy = false;
    settle(&mut world)?;
    for _ in 0..ROUNDS {
        propose(&mut world, moment)?;
        strike(&mut world, losses);
        settle(&mut world)?;
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
fn nothing_that_was_acknowledged_is_lost(size: usize, losses: usize, moment: Moment) {
    for seed in 0..60 {
        let committed = play(seed, size, losses, moment, Faults::default())
            .unwrap_or_else(|fault| panic!("{size} voters, seed {seed}: {fault}"));
        assert!(committed > ROUNDS, "{committed}");
    }
}

#[parameterized(
    taken_for_who_it_was = { Faults { any_incarnation: true, ..Faults::default() } },
    answers_before_the_disk = { Faults { reply_before_sync: true, ..Faults::default() } },
)]
fn planted_faults_are_found(faults: Faults) {
    let lost = |fault: String| fault.contains("was committed as");
    let found = |seed: u64| play(seed, 3, 1, Moment::AfterCommit, faults).err().is_some_and(lost);
    assert!((0..400).any(found), "no world finds it");
}
