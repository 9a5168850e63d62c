//! Orders of operators in random runs: real Raft nodes with kills, lost disks, freezes and cuts, and the histories
//! that their log produces. Copies of orders arrive late and at any process.
//!
//! A promise is what an answer to an order guarantees: a confirmed order is in force, and a refused order never
//! comes into force.

#[allow(dead_code, reason = "the Raft crate's own tests use the rest")]
#[path = "../../../raft/tests/simulation/mod.rs"]
mod nodes;

use crate::linearizability::{Answer, ConfigRegister, History, Order as Operation, check};
use crate::orders::{Order, Promises};
use control_plane::{Change, ConfigHistory, Decision, LogPosition, Verdict, reply_to};
use nodes::World;
use raft::{Faults, Input, Payload};
use std::collections::BTreeSet;
use std::rc::Rc;
use yare::parameterized;

const VOTERS: usize = 3;
/// Duration of the disruptions and of the recovery after them, in milliseconds.
const DISRUPTION_MS: u64 = 8_000;
const RECOVERY_MS: u64 = 5_000;
const STEP_MS: u64 = 10;
/// Maximum delay of most copies, in milliseconds; some are ten times as late.
const MAX_DELAY_MS: u64 = 600;
/// Percentage of lost answers.
const LOST_ANSWER_PERCENT: u64 = 30;
/// Number of digests that a history remembers.
const MAX_DIGESTS: u64 = 4096;

#[derive(Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    /// An order on a version above the newest is refused, as an earlier version of the rules had it.
    FutureBaseRefused,
    /// A leader confirms an order as soon as the order is in its log.
    AnswerBeforeCommit,
    /// Every process answers reads from its own log.
    ReadAnywhere,
}

/// A copy of an order, or a read, in transit.
#[derive(Clone, Copy)]
struct Sent {
    /// The number of the call in the history.
    call: usize,
    /// Index of the order; `None` for a read.
    order: Option<usize>,
    /// The process that the copy reaches.
    host: usize,
    /// When the copy arrives.
    due: u64,
}

/// An order in the log of a leader.
struct LogEntry {
    host: usize,
    index: u64,
    term: u64,
    sent: Sent,
}

struct Operators {
    world: World,
    injected: InjectedFault,
    /// The history after each log entry.
    states: Vec<Rc<ConfigHistory>>,
    /// The verdict on each log entry; `None` if the entry holds no order.
    verdicts: Vec<Option<Verdict>>,
    /// All orders sent so far.
    orders: Vec<Order>,
    /// Copies and reads in transit.
    copies: Vec<Sent>,
    /// Orders in the logs of leaders that have not been answered yet.
    in_log: Vec<LogEntry>,
    promises: Promises,
    history: History<Operation, Answer>,
    /// Numbers of the calls with an answer.
    answered: BTreeSet<usize>,
}

impl Operators {
    /// Starts with `before` accepted versions.
    fn new(seed: u64, before: u64, injected: InjectedFault) -> Self {
        let mut config_history = ConfigHistory::default();
        let mut promises = Promises::default();
        for version in 1..=before {
            let digest = [0; 32];
            config_history
                .apply(LogPosition::default(), Change { base: version - 1, version, digest, body: vec![0] });
            promises.accepted.push(Order::new(version - 1, version, 0));
        }
        Self {
            world: World::new(seed, VOTERS, Faults::default()),
            injected,
            states: vec![Rc::new(config_history)],
            verdicts: vec![None],
            orders: Vec::new(),
            copies: Vec::new(),
            in_log: Vec::new(),
            promises,
            history: History::default(),
            answered: BTreeSet::new(),
        }
    }

    /// Advances the time by one step and handles what is due.
    fn step(&mut self) -> Result<(), String> {
        self.world.run_until(self.world.now + STEP_MS)?;
        self.world.run_maintenance()?;
        self.commit();
        self.answer();
        let now = self.world.now;
        let (due, later) = std::mem::take(&mut self.copies).into_iter().partition(|copy| copy.due <= now);
        self.copies = later;
        let due: Vec<Sent> = due;
        due.into_iter().try_for_each(|sent| self.arrive(sent))
    }

    /// Applies the entries that were committed. Each history is encoded as a snapshot and restored.
    fn commit(&mut self) {
        while let Some((entry, _)) = self.world.committed.get(&(self.states.len() as u64)) {
            let mut state = self.states.last().expect("an initial state").clone();
            let mut verdict = None;
            if let Payload::Change(bytes) = &entry.payload
                && let Ok(change) = Change::decode(bytes)
            {
                let (base, version) = (change.base, change.version);
                let known = |order: &&Order| {
                    order.base == base && order.version == version && order.body() == change.body
                };
                let order = self.orders.iter().find(known).copied();
                let mut config_history = ConfigHistory::clone(&state);
                let at = LogPosition { index: entry.index, epoch: entry.term };
                let outcome = config_history.apply(at, change.clone());
                if outcome == Verdict::Accepted {
                    self.promises.accepted.extend(order);
                }
                verdict = Some(outcome);
                state =
                    Rc::new(ConfigHistory::restore(&config_history.snapshot()).expect("a valid snapshot"));
            }
            self.states.push(state);
            self.verdicts.push(verdict);
        }
    }

    /// Leaders answer for the entries in their logs once these are committed and applied.
    fn answer(&mut self) {
        for in_log in std::mem::take(&mut self.in_log) {
            let LogEntry { host, index, term, sent } = in_log;
            if self.world.hosts[host].applied < index {
                self.in_log.push(in_log);
            } else if self.world.committed[&index].0.term == term
                && let Some(verdict) = self.verdicts[index as usize]
            {
                self.reply(sent, verdict);
            }
        }
    }

    /// Records an answer. An answer counts as a promise even if it is lost on the way.
    fn reply(&mut self, sent: Sent, verdict: Verdict) {
        let reply = reply_to(verdict);
        self.promises.answered(self.orders[sent.order.expect("an order")], &reply);
        let answer = match reply.status {
            200 => Answer::Accepted,
            400..500 => Answer::Refused,
            _ => return,
        };
        self.answer_call(sent, answer);
    }

    fn answer_call(&mut self, sent: Sent, answer: Answer) {
        if !self.world.rng.chance(LOST_ANSWER_PERCENT) && self.answered.insert(sent.call) {
            self.history.answer(sent.call, answer);
        }
    }

    /// A copy reaches a process, which forwards it to the leader. Every final decision on the way is treated as an
    /// answer, although only leaders give answers.
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
            if reads || self.injected == InjectedFault::ReadAnywhere {
                let newest = self.promises.accepted.iter().find(|order| order.version == state.version());
                let newest = newest.map(|order| (order.version, order.variant));
                self.answer_call(sent, Answer::Newest(newest));
            }
            return Ok(());
        };
        match self.orders[number].decide(state) {
            Decision::Propose(change) if leads => self.propose(at, sent, &change),
            Decision::Decided { verdict, .. } => {
                let is_injected = self.injected == InjectedFault::FutureBaseRefused
                    && matches!(verdict, Verdict::BaseAhead { .. });
                let verdict = if is_injected { Verdict::Stale { current: 0 } } else { verdict };
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
            self.in_log.push(LogEntry { host, index, term, sent });
            if self.injected == InjectedFault::AnswerBeforeCommit {
                self.reply(sent, Verdict::Accepted);
            }
        }
        Ok(())
    }

    /// Sends a new order or repeats an earlier one.
    fn send(&mut self) {
        let draw = &mut self.world.rng;
        let newest = self.states.last().expect("an initial state").version();
        let again = draw.chance(40) && !self.orders.is_empty();
        let order = if again {
            let last = self.orders.len() as u64;
            (last - 1 - draw.below(last.min(12))) as usize
        } else {
            // Most orders build on the newest version, some on the version before it, and some on a future one.
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
        let (host, due) =
            (draw.below(VOTERS as u64) as usize, self.world.now + draw.below(MAX_DELAY_MS * late));
        self.copies.push(Sent { call, order, host, due });
    }

    fn disrupt(&mut self, wiped: &mut usize) {
        let world = &mut self.world;
        if world.is_settled() {
            *wiped = 0;
        }
        let (kind, span) = (world.rng.below(100), world.rng.below(1_500));
        let (at, other) = (world.rng.below(VOTERS as u64) as usize, world.rng.below(VOTERS as u64) as usize);
        match kind {
            0..20 => world.kill(at, span),
            20..25 => (0..VOTERS).for_each(|at| world.kill(at, span / 2)),
            // At most one disk is lost at a time, as many as the voters tolerate.
            25..32 if *wiped == 0 => {
                *wiped += 1;
                world.wipe(at, span / 3);
            }
            32..47 => world.freeze(at, span),
            47..75 => world.partitioned[at][other] = true,
            _ => world.partitioned.iter_mut().flatten().for_each(|cut| *cut = false),
        }
    }

    fn run(&mut self) -> Result<(), String> {
        let mut wiped = 0;
        let end = self.world.now + DISRUPTION_MS;
        while self.world.now < end {
            self.step()?;
            if self.world.rng.chance(25) {
                self.send();
            }
            if self.world.rng.chance(5) {
                self.call(Operation::Read, None);
            }
            if self.world.rng.chance(2) {
                self.disrupt(&mut wiped);
            }
        }
        self.world.partitioned.iter_mut().flatten().for_each(|cut| *cut = false);
        self.world.lossy = false;
        let end = self.world.now + RECOVERY_MS;
        while self.world.now < end {
            self.step()?;
        }
        self.promises.check()?;
        if self.states[0].version() == 0 {
            check(&ConfigRegister, &self.history)
                .map_err(|violation| format!("not linearizable: {violation:?}"))?;
        }
        let leader = self.world.leader().ok_or("no leader after the disruptions")?;
        let state = self.states[self.world.hosts[leader].applied as usize].clone();
        self.promises.check_leader(&state, &self.orders)
    }
}

/// Runs this many seeds and returns the total number of accepted orders.
fn run_seeds(seeds: u64, before: u64, injected: InjectedFault) -> Result<usize, String> {
    let mut accepted = 0;
    for seed in 0..seeds {
        let mut operators = Operators::new(seed, before, injected);
        operators.run().map_err(|fault| format!("seed {seed}: {fault}"))?;
        accepted += operators.promises.accepted.len() - before as usize;
    }
    Ok(accepted)
}

#[parameterized(
    from_an_empty_history = { 60, 0 },
    with_all_digests_in_use = { 10, MAX_DIGESTS + 5 },
)]
fn no_order_is_both_refused_and_in_force_in_random_runs(seeds: u64, before: u64) {
    let accepted = run_seeds(seeds, before, InjectedFault::Nothing).unwrap_or_else(|fault| panic!("{fault}"));
    println!("{accepted} orders came into force with {seeds} seeds");
    assert!(accepted as u64 > seeds * 15, "too few accepted orders: {accepted}");
}

#[parameterized(
    future_base_refused = { InjectedFault::FutureBaseRefused, "refused" },
    answer_before_commit = { InjectedFault::AnswerBeforeCommit, "confirmed and not in force" },
    read_anywhere = { InjectedFault::ReadAnywhere, "not linearizable" },
)]
fn injected_faults_are_detected_in_random_runs(injected: InjectedFault, what: &str) {
    let fault = run_seeds(60, 0, injected).expect_err("no seed detects the fault");
    println!("{fault}");
    assert!(fault.contains(what), "{fault}");
}
