//! Repeated simultaneous losses, repairs and replacements of as many voters as tolerated: commits continue throughout,
//! and after the time to catch up the cluster tolerates the same number of losses again.
//!
//! The voters tolerate a number of losses if a majority remains after any such number of voters is lost.

use crate::simulation::World;
use raft::{Faults, Input, Millis, RetirementPolicy, further_losses, majority_of, min_voters};
use yare::parameterized;

/// How long a machine still counts as lost after it returns, or after its first start.
const CATCH_UP_TIME: Millis = 4_000;
const SILENCE_TIMEOUT: Millis = CATCH_UP_TIME / 3;
/// The maximum time without a commit after the tolerated number of losses.
const MAX_STALL: Millis = 3_500;
const STEP: Millis = 25;
const ROUNDS: usize = 6;
/// The minimum number of commits, of 40 proposals per second. Simulations last as long as their losses, 32 to 40 s.
const MIN_COMMITS_PER_SECOND: u64 = 34;

/// A loss of one machine.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Restarted,
    Frozen,
    Partitioned,
    DiskWiped,
    /// The machine is gone for good; an empty one starts at another address.
    Replaced,
    /// As `Replaced`, but the new machine starts before the old one stops.
    PlannedReplacement,
}

const LOSSES: [Loss; 6] = [
    Loss::Restarted,
    Loss::Frozen,
    Loss::Partitioned,
    Loss::DiskWiped,
    Loss::Replaced,
    Loss::PlannedReplacement,
];

struct Cluster {
    world: World,
    tolerated: usize,
    /// Hosts that were not replaced.
    present: Vec<usize>,
    /// The time until which the machines of the latest losses still count as lost.
    lost_until: Millis,
    /// Pending events: when partitioned hosts rejoin, and when hosts leave for good.
    rejoin: Vec<(Millis, usize)>,
    leave: Vec<(Millis, usize)>,
    last_commit_at: Millis,
    committed: usize,
}

impl Cluster {
    fn new(seed: u64, founders: usize, learners: usize, tolerated: usize, faults: Faults) -> Cluster {
        let mut world = World::new(seed, founders, faults);
        world.policy =
            RetirementPolicy { silence_timeout: SILENCE_TIMEOUT, min_voters: min_voters(tolerated) };
        world.lossy = false;
        (0..founders)
            .for_each(|at| world.hosts[at].node.as_mut().unwrap().set_retirement_policy(world.policy));
        for _ in 0..learners {
            world.add_host(0);
        }
        let (present, lost_until) = ((0..founders + learners).collect(), world.now + CATCH_UP_TIME);
        let last_commit_at = world.now;
        let (rejoin, leave) = (Vec::new(), Vec::new());
        Cluster { world, tolerated, present, lost_until, rejoin, leave, last_commit_at, committed: 0 }
    }

    fn set_partitioned(&mut self, at: usize, partitioned: bool) {
        for other in (0..self.world.hosts.len()).filter(|other| *other != at) {
            self.world.partitioned[at][other] = partitioned;
            self.world.partitioned[other][at] = partitioned;
        }
    }

    fn lose(&mut self, at: usize, loss: Loss) {
        let now = self.world.now;
        let span = self.world.rng.below(1_500);
        let rejoin_at = now + span;
        match loss {
            Loss::Restarted => self.world.kill(at, span),
            Loss::DiskWiped => self.world.wipe(at, span),
            Loss::Frozen => self.world.freeze(at, span),
            Loss::Partitioned => {
                self.set_partitioned(at, true);
                self.rejoin.push((rejoin_at, at));
            }
            Loss::Replaced => {
                self.world.remove_host(at);
                self.present.retain(|one| *one != at);
                let added = self.world.add_host(span);
                self.present.push(added);
            }
            Loss::PlannedReplacement => {
                let added = self.world.add_host(0);
                self.present.retain(|one| *one != at);
                self.present.push(added);
                self.leave.push((now + span.min(1_000), at));
            }
        }
        self.lost_until = self.lost_until.max(rejoin_at + CATCH_UP_TIME);
    }

    /// Advances the simulation by one step and checks the liveness and tolerance requirements.
    fn step(&mut self) -> Result<(), String> {
        let now = self.world.now;
        for (_, at) in self.rejoin.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.set_partitioned(at, false);
        }
        for (_, at) in self.leave.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.world.remove_host(at);
        }
        self.world.run_until(now + STEP)?;
        self.world.run_maintenance()?;
        if let Some(leader) = self.world.leader() {
            self.world.input(leader, Input::Propose { token: now, change: vec![7; 20] })?;
        }
        if self.world.committed.len() > self.committed {
            (self.committed, self.last_commit_at) = (self.world.committed.len(), now);
        }
        if now > self.last_commit_at + MAX_STALL {
            return Err(format!("no commit since {}: {}", self.last_commit_at, self.describe()));
        }
        if now >= self.lost_until { self.check_tolerance() } else { Ok(()) }
    }

    fn check_tolerance(&self) -> Result<(), String> {
        let leader = self.world.leader().and_then(|at| self.world.hosts[at].node.as_ref());
        let status = leader.and_then(|leader| leader.membership_status(self.world.now));
        match status {
            Some(status) if status.further_losses >= self.tolerated => Ok(()),
            other => Err(format!("too few further losses are tolerated: {other:?}: {}", self.describe())),
        }
    }

    fn describe(&self) -> String {
        let nodes = self.world.hosts.iter().filter_map(|host| host.node.as_ref());
        let nodes: Vec<String> = nodes
            .map(|node| {
                let list: Vec<String> = node.members().iter().map(ToString::to_string).collect();
                format!("{} leads {} list {}", node.me(), node.is_leader(), list.join(" "))
            })
            .collect();
        format!("at {}: {}", self.world.now, nodes.join("; "))
    }

    /// Repeatedly loses up to the tolerated number of machines at once, each time as soon as the machines of the
    /// previous round have had time to catch up.
    fn run_losses(&mut self) -> Result<(), String> {
        for _ in 0..ROUNDS {
            while self.world.now < self.lost_until + STEP {
                self.step()?;
            }
            for _ in 0..self.world.rng.below(20) {
                self.step()?;
            }
            let mut left = self.present.clone();
            for _ in 0..=self.world.rng.below(self.tolerated as u64) {
                let at = left.remove(self.world.rng.below(left.len() as u64) as usize);
                let loss = LOSSES[self.world.rng.below(LOSSES.len() as u64) as usize];
                self.lose(at, loss);
            }
        }
        while self.world.now < self.lost_until + STEP {
            self.step()?;
        }
        Ok(())
    }
}

#[parameterized(
    three = { 3, 0, 1, 60 },
    three_and_one_learner = { 3, 1, 1, 60 },
    five = { 5, 0, 2, 40 },
    three_founders_and_three_learners = { 3, 3, 2, 40 },
)]
fn tolerated_losses_may_recur_after_recovery(founders: usize, learners: usize, tolerated: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut cluster = Cluster::new(seed, founders, learners, tolerated, Faults::default());
        cluster.run_losses().unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        let (committed, seconds) = (cluster.committed as u64, cluster.world.now / 1000);
        assert!(
            committed > MIN_COMMITS_PER_SECOND * seconds,
            "seed {seed}: {committed} committed in {seconds} s"
        );
    }
}

/// If the leader never removes silent voters, each replacement leaves a dead voter on the list.
#[parameterized(three = { 3, 1 }, five = { 5, 2 })]
fn replacements_without_retirement_exhaust_the_tolerance(founders: usize, tolerated: usize) {
    let found = (0..60).find_map(|seed| {
        let mut cluster = Cluster::new(seed, founders, 0, tolerated, Faults::default());
        cluster.world.policy.silence_timeout = Millis::MAX;
        let policy = cluster.world.policy;
        (0..founders)
            .for_each(|at| cluster.world.hosts[at].node.as_mut().unwrap().set_retirement_policy(policy));
        cluster.run_losses().err()
    });
    let violation = found.expect("no simulation exhausts the tolerance");
    println!("{violation}");
    assert!(violation.contains("no commit since") || violation.contains("too few"), "{violation}");
}

#[parameterized(
    promote_lagging_learners = {
        Faults { promote_lagging_learners: true, ..Faults::default() }, 2, "is added with"
    },
    retire_unconditionally = {
        Faults { retire_unconditionally: true, ..Faults::default() }, 0, "too short without it"
    },
    overlapping_list_changes = {
        Faults { overlapping_list_changes: true, ..Faults::default() }, 2, "two membership changes"
    },
)]
fn injected_faults_are_detected(faults: Faults, learners: usize, expected: &str) {
    let found = (0..200).find_map(|seed| {
        let violation = Cluster::new(seed, 3, learners, 1, faults).run_losses().err()?;
        violation.contains(expected).then_some((seed, violation))
    });
    let (seed, violation) = found.expect("no simulation detects the fault");
    println!("seed {seed}: {violation}");
}

/// No membership change that a leader makes on its own reduces the number of further losses.
#[test]
fn further_losses_are_the_healthy_voters_beyond_the_majority() {
    for voters in 1..=15 {
        assert_eq!(further_losses(voters, voters), (voters - 1) / 2);
        for healthy in majority_of(voters)..=voters {
            let tolerated = further_losses(voters, healthy);
            assert!(healthy - tolerated >= majority_of(voters));
            if healthy < voters {
                assert!(
                    further_losses(voters - 1, healthy) >= tolerated,
                    "removing a silent voter must not reduce the tolerance"
                );
            }
            if healthy == voters || voters % 2 == 0 {
                assert!(
                    further_losses(voters + 1, healthy + 1) >= tolerated,
                    "adding a voter must not reduce the tolerance"
                );
            }
        }
    }
    assert_eq!([0, 1, 2, 3].map(min_voters), [1, 3, 5, 7]);
}
