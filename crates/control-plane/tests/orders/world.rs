//! A model of a few operators and a log with changing leaders, as a state and the events that may happen next.
//!
//! The log is abstract. The tests of `crates/raft` show the property that the model relies on: the uncommitted
//! entries of a former leader are committed, up to some entry, with the first entry of the next leader, or never. The
//! event `Elect` models this.

use super::search::Reach;
use crate::orders::{Order, Promises};
use control_plane::{Change, ConfigHistory, Decision, LogPosition, Reply, Verdict, decide, reply_to};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// A fault that the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    Nothing,
    /// An order on a version above the newest is refused, although that version may be in flight.
    FutureBaseRefused,
    /// A leader refuses orders by the entries it has proposed instead of the committed ones.
    UncommittedState,
    /// A leader confirms an order before its entry is committed.
    AnswerBeforeCommit,
    /// The base version of an order is not checked.
    UncheckedBase,
    /// Snapshots contain no digests.
    DigestsDropped,
}

/// Limits for rare events.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Copies of each order that reach a leader.
    pub copies: u8,
    /// Number of elections.
    pub elections: u8,
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A copy of an order reaches the leader. When the copy was sent, and through which processes, makes no
    /// difference.
    Arrive(usize),
    /// A copy of an order reaches the former leader, which is isolated and does not know of its successor.
    ArriveAtFormer(usize),
    /// The leader's oldest entry in flight is stored by a majority.
    Commit,
    /// Another process becomes leader from a snapshot. It has this many of the entries in flight; the others are
    /// lost.
    Elect(usize),
}

/// A leader, or a former one that still considers itself the leader.
#[derive(Clone, Debug, Default)]
struct Leader {
    config_history: ConfigHistory,
    /// Indexes of the orders that the leader has proposed and that are not committed, oldest first.
    in_flight: Vec<usize>,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct World {
    orders: Rc<[Order]>,
    injected: InjectedFault,
    budget: Budget,
    /// Copies of each order that have arrived.
    copies: Vec<u8>,
    elections: u8,
    leader: Leader,
    former: Option<Leader>,
    promises: Promises,
}

impl World {
    pub fn new(orders: &[Order], budget: Budget, injected: InjectedFault) -> Self {
        Self {
            orders: orders.into(),
            injected,
            budget,
            copies: vec![0; orders.len()],
            elections: 0,
            leader: Leader::default(),
            former: None,
            promises: Promises::default(),
        }
    }

    /// A digest that is equal for equal states.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.copies, self.elections, &self.promises).hash(&mut hasher);
        for leader in [Some(&self.leader), self.former.as_ref()] {
            leader.map(|leader| (leader.config_history.snapshot(), &leader.in_flight)).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Updates the statistics of a search: the number of accepted orders.
    pub fn measure(&self, reach: &mut Reach) {
        reach.committed = reach.committed.max(self.promises.accepted.len());
    }

    /// The events that may happen next.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for order in 0..self.orders.len() {
            if self.copies[order] < self.budget.copies {
                events.push(Event::Arrive(order));
                events.extend(self.former.iter().map(|_| Event::ArriveAtFormer(order)));
            }
        }
        let in_flight = self.leader.in_flight.len();
        if in_flight > 0 {
            events.push(Event::Commit);
        }
        if self.elections < self.budget.elections {
            events.extend((0..=in_flight).map(Event::Elect));
        }
        events
    }

    /// The state after an event. The second state is for searches that need two.
    ///
    /// # Errors
    /// The violated guarantee.
    pub fn after(&self, event: &Event) -> Result<(Self, Option<Self>), String> {
        let mut world = self.clone();
        match *event {
            Event::Arrive(order) => {
                let mut leader = std::mem::take(&mut world.leader);
                world.arrive(order, &mut leader);
                world.leader = leader;
            }
            Event::ArriveAtFormer(order) => {
                let mut former = world.former.take().unwrap_or_default();
                world.arrive(order, &mut former);
                world.former = Some(former);
            }
            Event::Commit => {
                let order = world.leader.in_flight.remove(0);
                let verdict = world.commit(order);
                world.promises.answered(self.orders[order], &reply_to(verdict));
            }
            Event::Elect(kept) => world.elect(kept),
        }
        world.promises.check()?;
        world.promises.check_leader(&world.leader.config_history, &self.orders)?;
        Ok((world, None))
    }

    /// Description of an event.
    pub fn describe(&self, event: &Event, _: bool) -> String {
        match event {
            Event::Arrive(order) | Event::ArriveAtFormer(order) => {
                format!("{event:?}: {:?}", self.orders[*order])
            }
            Event::Commit | Event::Elect(_) => format!("{event:?}"),
        }
    }

    fn arrive(&mut self, number: usize, leader: &mut Leader) {
        let order = self.orders[number];
        self.copies[number] += 1;
        let decision = self.decide(order, leader);
        if let Some(reply) = decision.reply() {
            return self.promises.answered(order, &self.faulty_reply(&decision, reply));
        }
        leader.in_flight.push(number);
        if self.injected == InjectedFault::AnswerBeforeCommit {
            self.promises.answered(order, &Reply::ok());
        }
    }

    fn decide(&self, order: Order, leader: &Leader) -> Decision {
        match self.injected {
            InjectedFault::UncheckedBase => {
                decide(&leader.config_history, leader.config_history.version(), order.body())
            }
            InjectedFault::UncommittedState => {
                let mut config_history = leader.config_history.clone();
                for number in &leader.in_flight {
                    self.apply(&mut config_history, *number);
                }
                let decision = order.decide(&config_history);
                let refused = decision.reply().is_some_and(|reply| (400..500).contains(&reply.status));
                if refused { decision } else { order.decide(&leader.config_history) }
            }
            _ => order.decide(&leader.config_history),
        }
    }

    fn faulty_reply(&self, decision: &Decision, reply: Reply) -> Reply {
        let ahead = matches!(decision, Decision::Decided { verdict: Verdict::BaseAhead { .. }, .. });
        if ahead && self.injected == InjectedFault::FutureBaseRefused {
            Reply::error(412, "injected fault")
        } else {
            reply
        }
    }

    fn apply(&self, config_history: &mut ConfigHistory, number: usize) -> Verdict {
        let order = self.orders[number];
        let base =
            if self.injected == InjectedFault::UncheckedBase { config_history.version() } else { order.base };
        let change = Change { base, version: order.version, digest: order.digest(), body: order.body() };
        config_history.apply(LogPosition::default(), change)
    }

    fn commit(&mut self, number: usize) -> Verdict {
        let mut config_history = std::mem::take(&mut self.leader.config_history);
        let verdict = self.apply(&mut config_history, number);
        self.leader.config_history = config_history;
        if verdict == Verdict::Accepted {
            self.promises.accepted.push(self.orders[number]);
        }
        verdict
    }

    /// Makes another process the leader. Entries that the new leader has from its predecessor get no answer, since only
    /// the leader that proposed an entry knows whom to answer.
    fn elect(&mut self, kept: usize) {
        self.elections += 1;
        self.former = Some(self.leader.clone());
        let in_flight = std::mem::take(&mut self.leader.in_flight);
        for number in in_flight.into_iter().take(kept) {
            self.commit(number);
        }
        let config_history = &mut self.leader.config_history;
        if self.injected == InjectedFault::DigestsDropped
            && let Some(body) = config_history.body()
        {
            let change =
                Change { base: 0, version: config_history.version(), digest: [0; 32], body: body.to_vec() };
            *config_history = ConfigHistory::default();
            config_history.apply(LogPosition::default(), change);
        }
        let snapshot = config_history.snapshot();
        self.leader.config_history =
            ConfigHistory::restore(&snapshot).expect("a snapshot that the history wrote is valid");
    }
}
