//! A few operators and a log that is led by one process after another, as a state and what may happen next.
//!
//! The log is an abstract one. Its own proof (`crates/raft`) is that the entries of a leader that lost its place come
//! into force with the first entry of the next one, up to one of them, or never: that is the event `Elect`.

use super::search::Reach;
use crate::orders::{Order, Promises};
use control_plane::{Change, ConfigHistory, Decision, LogPosition, Reply, Verdict, decide, reply_to};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// A fault that the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    Nothing,
    /// An order that builds on a version above the newest is refused, though that version may be in flight.
    AheadRefused,
    /// A leader refuses by what it has proposed, not by what is committed.
    UncommittedState,
    /// What a leader has in its log is confirmed.
    AnswerBeforeCommit,
    /// The version that an order builds on is not looked at.
    AnyBase,
    /// Snapshots hold no digests.
    DigestsDropped,
}

/// How often rare events may happen.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// How many copies of each order come to a leader.
    pub copies: u8,
    /// How often another process leads.
    pub elections: u8,
}

/// What may happen.
#[derive(Clone, Debug)]
pub enum Event {
    /// A copy of an order comes to the leader. When it was sent, and by which machines it came, makes no difference.
    Arrive(usize),
    /// ... or to the one that led before, is cut off, and does not know that another one leads.
    ArriveAtFormer(usize),
    /// The leader's oldest entry in flight is on a majority's disks.
    Commit,
    /// Another process leads, from a snapshot. It has so many of the entries in flight; the others are lost.
    Elect(usize),
}

/// A process that leads, or thinks so.
#[derive(Clone, Debug, Default)]
struct Leader {
    config_history: ConfigHistory,
    in_flight: Vec<usize>,
}

/// A state.
#[derive(Clone, Debug)]
pub struct World {
    orders: Rc<[Order]>,
    plant: Plant,
    budget: Budget,
    /// How many copies of each order have come.
    copies: Vec<u8>,
    elections: u8,
    leader: Leader,
    former: Option<Leader>,
    promises: Promises,
}

impl World {
    pub fn new(orders: &[Order], budget: Budget, plant: Plant) -> Self {
        Self {
            orders: orders.into(),
            plant,
            budget,
            copies: vec![0; orders.len()],
            elections: 0,
            leader: Leader::default(),
            former: None,
            promises: Promises::default(),
        }
    }

    /// Equal for states that differ in nothing.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.copies, self.elections, &self.promises).hash(&mut hasher);
        for leader in [Some(&self.leader), self.former.as_ref()] {
            leader.map(|leader| (leader.config_history.snapshot(), &leader.in_flight)).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Adds to what a search has reached: orders that are in force.
    pub fn measure(&self, reach: &mut Reach) {
        reach.committed = reach.committed.max(self.promises.taken.len());
    }

    /// All that may happen next.
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

    /// The state after an event. The second one is for searches that need two.
    ///
    /// # Errors
    /// What must never be.
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

    /// An event in words.
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
            return self.promises.answered(order, &self.planted_reply(&decision, reply));
        }
        leader.in_flight.push(number);
        if self.plant == Plant::AnswerBeforeCommit {
            self.promises.answered(order, &Reply::ok());
        }
    }

    fn decide(&self, order: Order, leader: &Leader) -> Decision {
        match self.plant {
            Plant::AnyBase => decide(&leader.config_history, leader.config_history.version(), order.body()),
            Plant::UncommittedState => {
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

    fn planted_reply(&self, decision: &Decision, reply: Reply) -> Reply {
        let ahead = matches!(decision, Decision::Decided { verdict: Verdict::BaseAhead { .. }, .. });
        if ahead && self.plant == Plant::AheadRefused { Reply::error(412, "planted") } else { reply }
    }

    fn apply(&self, config_history: &mut ConfigHistory, number: usize) -> Verdict {
        let order = self.orders[number];
        let base = if self.plant == Plant::AnyBase { config_history.version() } else { order.base };
        let change = Change { base, version: order.version, digest: order.digest(), body: order.body() };
        config_history.apply(LogPosition::default(), change)
    }

    fn commit(&mut self, number: usize) -> Verdict {
        let mut config_history = std::mem::take(&mut self.leader.config_history);
        let verdict = self.apply(&mut config_history, number);
        self.leader.config_history = config_history;
        if verdict == Verdict::Accepted {
            self.promises.taken.push(self.orders[number]);
        }
        verdict
    }

    /// Nobody answers for the entries that the next leader finds in its log.
    fn elect(&mut self, kept: usize) {
        self.elections += 1;
        self.former = Some(self.leader.clone());
        let in_flight = std::mem::take(&mut self.leader.in_flight);
        for number in in_flight.into_iter().take(kept) {
            self.commit(number);
        }
        let config_history = &mut self.leader.config_history;
        if self.plant == Plant::DigestsDropped
            && let Some(body) = config_history.body()
        {
            let change =
                Change { base: 0, version: config_history.version(), digest: [0; 32], body: body.to_vec() };
            *config_history = ConfigHistory::default();
            config_history.apply(LogPosition::default(), change);
        }
        let snapshot = config_history.snapshot();
        self.leader.config_history = ConfigHistory::restore(&snapshot).expect("what it wrote");
    }
}
