//! Operators in drawn worlds: real nodes of the log with kills, lost disks, freezes and cuts, and the history as the
//! state that their log makes. Copies of orders come late, to any machine.

#[allow(dead_code, reason = "the log's own tests use the rest")]
#[path = "../../../raft/tests/simulation/mod.rs"]
mod nodes;

use crate::linearizability::{Answer, ConfigRegister, History, Order as Operation, check};
use crate::orders::{Order, Promises};
use control_plane::{Change, ConfigHistory, Decision, Place, Verdict, reply_to};
use nodes::World;
use raft::{Faults, Input, Payload};
use std::collections::BTreeSet;
use std::rc::Rc;
use yare::parameterized;

const VOTERS: usize = 3;
/// How long there is trouble, and for how long there is none after it, in ms.
const TROUBLE: u64 = 8_000;
const CALM: u64 = 5_000;
const STEP: u64 = 10;
/// Most copies come within this, and some ten times as late.
const DELAY: u64 = 600;
/// How many answers of a hundred are lost.
const LOST: u64 = 30;
/// How many digests a history remembers.
const REMEMBERED: u64 = 4096;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Plant {
    Nothing,
    /// The rule before: who builds on a version above the newest is refused.
    AheadRefused,
    /// A leader confirms what is in its log.
    AnswerBeforeCommit,
    /// Whoever has the log answers reads.
    ReadAnywhere,
}

/// A copy of an order, or a read, on its way: the call with this number.
#[derive(Clone, Copy)]
struct Sent {
    call: usize,
    order: Option<usize>,
    host: usize,
    due: u64,
}

/// An order that a leader has in its log.
struct Accepted {
    host: usize,
    index: u64,
    term: u64,
    sent: Sent,
}

struct Operators {
    world: World,
    plant: Plant,
    /// The state after each entry of the log.
    states: Vec<Rc<ConfigHistory>>,
    verdicts: Vec<Option<Verdict>>,
    orders: Vec<Order>,
    copies: Vec<Sent>,
    accepted: Vec<Accepted>,
    promises: Promises,
    history: History<Operation, Answer>,
    answered: BTreeSet<usize>,
}

impl Operators {
    /// `before` versions are in place already.
    fn new(seed: u64, before: u64, plant: Plant) -> Self {
        let mut config_history = ConfigHistory::default();
        let mut promises = Promises::default();
        for version in 1..=before {
            let digest = [0; 32];
            config_history
                .apply(Place::default(), Change { base: version - 1, version, digest, body: vec![0] });
            promises.taken.push(Order::new(version - 1, version, 0));
        }
        Self {
            world: World::new(seed, VOTERS, Faults::default()),
            plant,
            states: vec![Rc::new(config_history)],
            verdicts: vec![None],
            orders: Vec::new(),
            copies: Vec::new(),
            accepted: Vec::new(),
            promises,
            history: History::default(),
            answered: BTreeSet::new(),
        }
    }

    /// Time goes on, and what is due happens.
    fn step(&mut self) -> Result<(), String> {
        self.world.run_until(self.world.now + STEP)?;
        self.world.run_maintenance()?;
        self.commit();
        self.answer();
        let now = self.world.now;
        let (due, later) = std::mem::take(&mut self.copies).into_iter().partition(|copy| copy.due <= now);
        self.copies = later;
        let due: Vec<Sent> = due;
        due.into_iter().try_for_each(|sent| self.arrive(sent))
    }

    /// Takes in what the log has committed. Each state is written to a snapshot and read again.
    fn commit(&mut self) {
        while let Some((entry, _)) = self.world.committed.get(&(self.states.len() as u64)) {
            let mut state = self.states.last().expect("the first").clone();
            let mut verdict = None;
            if let Payload::Change(bytes) = &entry.payload
                && let Ok(change) = Change::read(bytes)
            {
                let (base, version) = (change.base, change.version);
                let known = |order: &&Order| {
                    order.base == base && order.version == version && order.body() == change.body
                };
                let order = self.orders.iter().find(known).copied();
                let mut config_history = ConfigHistory::clone(&state);
                let at = Place { index: entry.index, epoch: entry.term };
                let outcome = config_history.apply(at, change.clone());
                if outcome == Verdict::Taken {
                    self.promises.taken.extend(order);
                }
                verdict = Some(outcome);
                state = Rc::new(ConfigHistory::restore(&config_history.snapshot()).expect("what it wrote"));
            }
            self.states.push(state);
            self.verdicts.push(verdict);
        }
    }

    /// Leaders answer for what they have in their logs once it comes back committed.
    fn answer(&mut self) {
        for accepted in std::mem::take(&mut self.accepted) {
            let Accepted { host, index, term, sent } = accepted;
            if self.world.hosts[host].applied < index {
                self.accepted.push(accepted);
            } else if self.world.committed[&index].0.term == term
                && let Some(verdict) = self.verdicts[index as usize]
            {
                self.reply(sent, verdict);
            }
        }
    }

    /// An answer was given. It counts as a promise whether it is lost on its way or not.
    fn reply(&mut self, sent: Sent, verdict: Verdict) {
        let reply = reply_to(verdict);
        self.promises.answered(self.orders[sent.order.expect("an order")], &reply);
        let answer = match reply.status {
            200 => Answer::Taken,
            400..500 => Answer::Refused,
            _ => return,
        };
        self.answer_call(sent, answer);
    }

    fn answer_call(&mut self, sent: Sent, answer: Answer) {
        if !self.world.rng.chance(LOST) && self.answered.insert(sent.call) {
            self.history.answer(sent.call, answer);
        }
    }

    /// A copy comes to a machine, which passes it on to the leader. All that would be final anywhere on its way is taken
    /// for an answer, though only leaders give one.
    fn arrive(&mut self, sent: Sent) -> Result<(), String> {
        let host = sent.host;
        self.decide(host, sent)?;
        match self.world.leader() {
            Some(leader) if leader != host => self.decide(leader, sent),
            _ => Ok(()),
        }
    }

    fn decide(&mut self, at: usize, sent: Sent) -> Result<(), String> {
        let host = &self.world.hosts[at];
        let Some(node) = host.node.as_ref().filter(|_| host.frozen_until <= self.world.now) else {
            return Ok(());
        };
        let (leads, reads) = (node.is_leader(), node.holds_lease(self.world.now));
        let state = &self.states[host.applied as usize];
        let Some(number) = sent.order else {
            if reads || self.plant == Plant::ReadAnywhere {
                let newest = self.promises.taken.iter().find(|order| order.version == state.version());
                let newest = newest.map(|order| (order.version, order.variant));
                self.answer_call(sent, Answer::Newest(newest));
            }
            return Ok(());
        };
        match self.orders[number].decide(state) {
            Decision::Propose(change) if leads => self.propose(at, sent, &change),
            Decision::Decided { verdict, .. } => {
                let planted = self.plant == Plant::AheadRefused && matches!(verdict, Verdict::Ahead { .. });
                let verdict = if planted { Verdict::Stale { current: 0 } } else { verdict };
                self.reply(sent, verdict);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn propose(&mut self, at: usize, sent: Sent, change: &Change) -> Result<(), String> {
        let token = sent.call as u64;
        self.world.input(at, Input::Propose { token, change: bitcode::encode(change) })?;
        for (host, index, term) in std::mem::take(&mut self.world.accepted) {
            self.accepted.push(Accepted { host, index, term, sent });
            if self.plant == Plant::AnswerBeforeCommit {
                self.reply(sent, Verdict::Taken);
            }
        }
        Ok(())
    }

    /// An operator sends a new order, or one of the earlier ones again.
    fn send(&mut self) {
        let draw = &mut self.world.rng;
        let newest = self.states.last().expect("the first").version();
        let again = draw.chance(40) && !self.orders.is_empty();
        let order = if again {
            let last = self.orders.len() as u64;
            (last - 1 - draw.below(last.min(12))) as usize
        } else {
            // Most build on the newest version, some on one before it, and some on one that is on its way.
            let base = match draw.below(10) {
                0 => newest.saturating_sub(1),
                1 | 2 => newest + 1 + draw.below(2),
                _ => newest,
            };
            // The same body on another base would be the same configuration.
            let order = Order::new(base, base + 1 + draw.below(2), 2 * base + draw.below(2));
            self.orders.iter().position(|known| *known == order).unwrap_or_else(|| {
                self.orders.push(order);
                self.orders.len() - 1
            })
        };
        let Order { base, version, variant } = self.orders[order];
        self.call(Operation::Replace { base, version, content: variant }, Some(order));
    }

    fn call(&mut self, operation: Operation, order: Option<usize>) {
        let call = self.history.invoke(operation);
        let draw = &mut self.world.rng;
        let late = if draw.chance(10) { 10 } else { 1 };
        let (host, due) = (draw.below(VOTERS as u64) as usize, self.world.now + draw.below(DELAY * late));
        self.copies.push(Sent { call, order, host, due });
    }

    fn trouble(&mut self, wiped: &mut usize) {
        let world = &mut self.world;
        if world.is_settled() {
            *wiped = 0;
        }
        let (kind, span) = (world.rng.below(100), world.rng.below(1_500));
        let (at, other) = (world.rng.below(VOTERS as u64) as usize, world.rng.below(VOTERS as u64) as usize);
        match kind {
            0..20 => world.kill(at, span),
            20..25 => (0..VOTERS).for_each(|at| world.kill(at, span / 2)),
            // No more disks may be lost at a time than the voters can bear.
            25..32 if *wiped == 0 => {
                *wiped += 1;
                world.wipe(at, span / 3);
            }
            32..47 => world.freeze(at, span),
            47..75 => world.partitioned[at][other] = true,
            _ => world.partitioned.iter_mut().flatten().for_each(|cut| *cut = false),
        }
    }

    fn play(&mut self) -> Result<(), String> {
        let mut wiped = 0;
        let end = self.world.now + TROUBLE;
        while self.world.now < end {
            self.step()?;
            if self.world.rng.chance(25) {
                self.send();
            }
            if self.world.rng.chance(5) {
                self.call(Operation::Read, None);
            }
            if self.world.rng.chance(2) {
                self.trouble(&mut wiped);
            }
        }
        self.world.partitioned.iter_mut().flatten().for_each(|cut| *cut = false);
        self.world.lossy = false;
        let end = self.world.now + CALM;
        while self.world.now < end {
            self.step()?;
        }
        self.promises.check()?;
        if self.states[0].version() == 0 {
            check(&ConfigRegister, &self.history)
                .map_err(|violation| format!("not linearizable: {violation:?}"))?;
        }
        let leader = self.world.leader().ok_or("nobody leads after the trouble")?;
        let state = self.states[self.world.hosts[leader].applied as usize].clone();
        self.promises.check_leader(&state, &self.orders)
    }
}

/// Plays this many worlds, and says how many orders came into force in all of them.
fn play(worlds: u64, before: u64, plant: Plant) -> Result<usize, String> {
    let mut taken = 0;
    for seed in 0..worlds {
        let mut operators = Operators::new(seed, before, plant);
        operators.play().map_err(|fault| format!("seed {seed}: {fault}"))?;
        taken += operators.promises.taken.len() - before as usize;
    }
    Ok(taken)
}

#[parameterized(
    from_the_first = { 60, 0 },
    with_a_memory_that_is_full = { 10, REMEMBERED + 5 },
)]
fn no_order_is_refused_and_in_force_in_drawn_worlds(worlds: u64, before: u64) {
    let taken = play(worlds, before, Plant::Nothing).unwrap_or_else(|fault| panic!("{fault}"));
    println!("{taken} orders came into force in {worlds} worlds");
    assert!(taken as u64 > worlds * 15, "hardly anything happened: {taken}");
}

#[parameterized(
    ahead_refused = { Plant::AheadRefused, "refused" },
    answer_before_commit = { Plant::AnswerBeforeCommit, "confirmed and not in force" },
    read_anywhere = { Plant::ReadAnywhere, "not linearizable" },
)]
fn planted_faults_are_found_in_drawn_worlds(plant: Plant, what: &str) {
    let fault = play(60, 0, plant).expect_err("no world finds it");
    println!("{fault}");
    assert!(fault.contains(what), "{fault}");
}
