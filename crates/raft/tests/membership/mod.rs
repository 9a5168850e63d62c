//! Voters that are lost, repaired and replaced, as many at once as are tolerated: control works all the while, and once
//! everybody has had its time to catch up, as many again may be lost.

use crate::simulation::World;
use raft::{Faults, Input, Millis, RetirementPolicy, further_losses, majority_of, min_voters};
use yare::parameterized;

/// How long a machine still counts as lost after it is back, or after its start if it is new.
const CATCH_UP: Millis = 4_000;
const SILENCE: Millis = CATCH_UP / 3;
/// How long nothing may be committed after as many were lost as are tolerated.
const LONGEST_STALL: Millis = 3_500;
const STEP: Millis = 25;
const ROUNDS: usize = 6;
/// Of 40 changes a second that are proposed. Worlds last for as long as their losses do, 32 to 40 s.
const LEAST_COMMITTED_A_SECOND: u64 = 34;

/// What happens to one machine.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Restarted,
    Frozen,
    CutOff,
    DiskLost,
    /// Gone for good; an empty one comes at another address.
    Replaced,
    /// The same, but the new one comes first.
    ReplacedAsPlanned,
}

const LOSSES: [Loss; 6] =
    [Loss::Restarted, Loss::Frozen, Loss::CutOff, Loss::DiskLost, Loss::Replaced, Loss::ReplacedAsPlanned];

struct Fleet {
    world: World,
    tolerated: usize,
    /// Hosts that are not gone for good.
    present: Vec<usize>,
    /// Until when each trouble's machine counts as lost.
    lost_until: Millis,
    /// What is still to come: those that are cut off until then, those that go for good.
    rejoin: Vec<(Millis, usize)>,
    leave: Vec<(Millis, usize)>,
    grown_at: Millis,
    committed: usize,
}

impl Fleet {
    fn new(seed: u64, founders: usize, learners: usize, tolerated: usize, faults: Faults) -> Fleet {
        let mut world = World::new(seed, founders, faults);
        world.policy = RetirementPolicy { silence_timeout: SILENCE, min_voters: min_voters(tolerated) };
        world.lossy = false;
        (0..founders)
            .for_each(|at| world.hosts[at].node.as_mut().unwrap().set_retirement_policy(world.policy));
        for _ in 0..learners {
            world.newcomer(0);
        }
        let (present, lost_until) = ((0..founders + learners).collect(), world.now + CATCH_UP);
        let grown_at = world.now;
        let (rejoin, leave) = (Vec::new(), Vec::new());
        Fleet { world, tolerated, present, lost_until, rejoin, leave, grown_at, committed: 0 }
    }

    fn cut(&mut self, at: usize, cut: bool) {
        for other in (0..self.world.hosts.len()).filter(|other| *other != at) {
            self.world.cut[at][other] = cut;
            self.world.cut[other][at] = cut;
        }
    }

    fn lose(&mut self, at: usize, loss: Loss) {
        let now = self.world.now;
        let span = self.world.rng.below(1_500);
        let back = now + span;
        match loss {
            Loss::Restarted => self.world.kill(at, span),
            Loss::DiskLost => self.world.wipe(at, span),
            Loss::Frozen => self.world.freeze(at, span),
            Loss::CutOff => {
                self.cut(at, true);
                self.rejoin.push((back, at));
            }
            Loss::Replaced => {
                self.world.lose(at);
                self.present.retain(|one| *one != at);
                let newcomer = self.world.newcomer(span);
                self.present.push(newcomer);
            }
            Loss::ReplacedAsPlanned => {
                let newcomer = self.world.newcomer(0);
                self.present.retain(|one| *one != at);
                self.present.push(newcomer);
                self.leave.push((now + span.min(1_000), at));
            }
        }
        self.lost_until = self.lost_until.max(back + CATCH_UP);
    }

    /// A step of the world, and what must hold after it.
    fn step(&mut self) -> Result<(), String> {
        let now = self.world.now;
        for (_, at) in self.rejoin.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.cut(at, false);
        }
        for (_, at) in self.leave.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.world.lose(at);
        }
        self.world.run_until(now + STEP)?;
        self.world.run_maintenance()?;
        if let Some(leader) = self.world.leader() {
            self.world.input(leader, Input::Propose { token: now, change: vec![7; 20] })?;
        }
        if self.world.committed.len() > self.committed {
            (self.committed, self.grown_at) = (self.world.committed.len(), now);
        }
        if now > self.grown_at + LONGEST_STALL {
            return Err(format!("nothing is committed since {}: {}", self.grown_at, self.told()));
        }
        if now >= self.lost_until { self.bears_enough() } else { Ok(()) }
    }

    fn bears_enough(&self) -> Result<(), String> {
        let leader = self.world.leader().and_then(|at| self.world.hosts[at].node.as_ref());
        let status = leader.and_then(|leader| leader.membership_status(self.world.now));
        match status {
            Some(status) if status.further_losses >= self.tolerated => Ok(()),
            other => Err(format!("too few further losses are borne: {other:?}: {}", self.told())),
        }
    }

    fn told(&self) -> String {
        let nodes = self.world.hosts.iter().filter_map(|host| host.node.as_ref());
        let nodes: Vec<String> = nodes
            .map(|node| {
                let list: Vec<String> = node.members().iter().map(ToString::to_string).collect();
                format!("{} leads {} list {}", node.me(), node.is_leader(), list.join(" "))
            })
            .collect();
        format!("at {}: {}", self.world.now, nodes.join("; "))
    }

    /// As many are lost at once as are tolerated, again and again, each time as soon as the last ones have had their
    /// time.
    fn live(&mut self) -> Result<(), String> {
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
    three_and_one_more = { 3, 1, 1, 60 },
    five = { 5, 0, 2, 40 },
    six_of_three_founders = { 3, 3, 2, 40 },
)]
fn as_many_as_are_tolerated_may_be_lost_again(
    founders: usize, learners: usize, tolerated: usize, seeds: u64,
) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(seed, founders, learners, tolerated, Faults::default());
        fleet.live().unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
        let (committed, seconds) = (fleet.committed as u64, fleet.world.now / 1000);
        assert!(
            committed > LEAST_COMMITTED_A_SECOND * seconds,
            "seed {seed}: {committed} committed in {seconds} s"
        );
    }
}

/// With a leader that takes nobody for gone, each replacement leaves a dead voter on the list.
#[parameterized(three = { 3, 1 }, five = { 5, 2 })]
fn without_retirement_replacements_use_up_what_is_borne(founders: usize, tolerated: usize) {
    let found = (0..60).find_map(|seed| {
        let mut fleet = Fleet::new(seed, founders, 0, tolerated, Faults::default());
        fleet.world.policy.silence_timeout = Millis::MAX;
        let never = fleet.world.policy;
        (0..founders)
            .for_each(|at| fleet.world.hosts[at].node.as_mut().unwrap().set_retirement_policy(never));
        fleet.live().err()
    });
    let fault = found.expect("no world shows it");
    println!("{fault}");
    assert!(fault.contains("nothing is committed") || fault.contains("too few"), "{fault}");
}

#[parameterized(
    promote_lagging_learners = { Faults { promote_lagging_learners: true, ..Faults::default() }, 2, "is added with" },
    retire_unconditionally = { Faults { retire_unconditionally: true, ..Faults::default() }, 0, "too short without it" },
    overlapping_list_changes = { Faults { overlapping_list_changes: true, ..Faults::default() }, 2, "two changes" },
)]
fn planted_faults_are_found(faults: Faults, learners: usize, what: &str) {
    let found = (0..200).find_map(|seed| {
        let fault = Fleet::new(seed, 3, learners, 1, faults).live().err()?;
        fault.contains(what).then_some((seed, fault))
    });
    let (seed, fault) = found.expect("no world finds it");
    println!("seed {seed}: {fault}");
}

/// The figures by themselves: what a list bears falls with no change that a leader makes on its own.
#[test]
fn a_list_bears_as_many_as_stay_beyond_its_majority() {
    for voters in 1..=15 {
        assert_eq!(further_losses(voters, voters), (voters - 1) / 2);
        for healthy in majority_of(voters)..=voters {
            let borne = further_losses(voters, healthy);
            assert!(healthy - borne >= majority_of(voters));
            if healthy < voters {
                assert!(further_losses(voters - 1, healthy) >= borne, "a silent one leaves");
            }
            if healthy == voters || voters % 2 == 0 {
                assert!(further_losses(voters + 1, healthy + 1) >= borne, "one joins");
            }
        }
    }
    assert_eq!([0, 1, 2, 3].map(min_voters), [1, 3, 5, 7]);
}
