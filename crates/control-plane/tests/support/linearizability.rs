//! A linearizability checker for recorded histories, and the register that operators call.
//!
//! The search is that of Wing and Gong (1993) with the memoised states of Lowe (2017): an order of the calls is looked
//! for that keeps the real-time order of calls that did not overlap, and in which a sequential model gives each call the
//! answer that was seen. A call without a clear answer may have happened at any moment after its invocation, or never.

use std::collections::{BTreeMap, HashSet};
use std::fmt::{Debug, Display, Formatter};
use std::hash::Hash;

/// So many of the calls that could not come next are shown.
const SHOWN: usize = 8;

/// A sequential object.
pub trait Model {
    /// Its state.
    type State: Clone + Debug + Eq + Hash;
    /// What it is asked.
    type Operation: Clone + Debug;
    /// What it says.
    type Answer: Clone + Debug + PartialEq;

    /// The state before the first call.
    fn initial(&self) -> Self::State;

    /// What a call answers in a state, and the state after it; none where it changes nothing.
    fn apply(&self, state: &Self::State, operation: &Self::Operation) -> (Self::Answer, Option<Self::State>);
}

/// One call, in the order of events.
#[derive(Clone, Debug)]
pub struct Call<O, A> {
    /// What was asked.
    pub operation: O,
    /// The number of the event of its invocation.
    pub invoked: u64,
    /// The number of the event of its answer, and the answer; none where no clear one came.
    pub answered: Option<(u64, A)>,
}

/// Calls as they were seen by those who made them. Events are numbered in the order in which they are recorded.
#[derive(Clone, Debug)]
pub struct History<O, A> {
    calls: Vec<Call<O, A>>,
    events: u64,
}

impl<O, A> Default for History<O, A> {
    fn default() -> Self {
        Self { calls: Vec::new(), events: 0 }
    }
}

impl<O, A> History<O, A> {
    /// Somebody calls; gives the number of the call.
    pub fn invoke(&mut self, operation: O) -> usize {
        self.events += 1;
        self.calls.push(Call { operation, invoked: self.events, answered: None });
        self.calls.len() - 1
    }

    /// A clear answer came. A call that gets none is one whose answer was lost.
    pub fn answer(&mut self, call: usize, answer: A) {
        self.events += 1;
        self.calls[call].answered = Some((self.events, answer));
    }

    /// All calls.
    pub fn calls(&self) -> &[Call<O, A>] {
        &self.calls
    }
}

/// Why a history is not linearizable: the longest order that was found, and what could not come next.
#[derive(Clone, Debug)]
pub struct Violation<M: Model> {
    /// How many calls could be put in order.
    pub ordered: usize,
    /// The state after them.
    pub state: M::State,
    /// The first calls that have no place after them.
    pub stuck: Vec<Misfit<M>>,
}

/// A call that has no place, and the answer that the model would have given.
#[derive(Clone, Debug)]
pub struct Misfit<M: Model> {
    /// The call and the answer that was seen.
    pub call: Call<M::Operation, M::Answer>,
    /// The model's answer.
    pub modelled: M::Answer,
}

impl<M: Model> Display for Violation<M> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "no order of all calls: after {} of them the state is {:?}", self.ordered, self.state)?;
        for Misfit { call, modelled } in &self.stuck {
            writeln!(f, "{call:?} has no place: the answer would be {modelled:?}")?;
        }
        Ok(())
    }
}

/// Which calls are in order already.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Done(Vec<u64>);

impl Done {
    fn has(&self, call: usize) -> bool {
        self.0[call / 64] >> (call % 64) & 1 == 1
    }

    fn with(&self, call: usize) -> Self {
        let mut more = self.clone();
        more.0[call / 64] |= 1 << (call % 64);
        more
    }

    fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }
}

/// Whether there is an order that explains a history.
///
/// # Errors
/// When there is none.
pub fn check<M: Model>(
    model: &M, history: &History<M::Operation, M::Answer>,
) -> Result<(), Box<Violation<M>>> {
    let calls = history.calls();
    let mut seen = HashSet::new();
    let mut ways = vec![(Done(vec![0; calls.len().div_ceil(64)]), model.initial())];
    let mut longest = ways[0].clone();
    while let Some((done, state)) = ways.pop() {
        let Some(next) = next_calls(calls, &done) else { return Ok(()) };
        if done.count() > longest.0.count() {
            longest = (done.clone(), state.clone());
        }
        let mut changes = Vec::new();
        let mut unchanging = None;
        for number in next {
            let (answer, after) = model.apply(&state, &calls[number].operation);
            let fits = calls[number].answered.as_ref().is_none_or(|(_, seen)| *seen == answer);
            match after {
                Some(after) if fits => changes.push((done.with(number), after)),
                None if fits && calls[number].answered.is_some() => unchanging = Some(number),
                _ => {}
            }
        }
        // A call that may come next and changes nothing may come first in any order that there is.
        if let Some(number) = unchanging {
            ways.push((done.with(number), state));
            continue;
        }
        ways.extend(changes.into_iter().filter(|way| seen.insert(way.clone())));
    }
    let (done, state) = longest;
    let open = (0..calls.len()).filter(|number| !done.has(*number) && calls[*number].answered.is_some());
    let stuck = open.take(SHOWN).map(|number| {
        let call = calls[number].clone();
        let (modelled, _) = model.apply(&state, &call.operation);
        Misfit { call, modelled }
    });
    Err(Box::new(Violation { ordered: done.count(), stuck: stuck.collect(), state: state.clone() }))
}

/// Which calls may come next: those that began before any other open one was answered. None once no answer is open.
fn next_calls<O, A>(calls: &[Call<O, A>], done: &Done) -> Option<Vec<usize>> {
    let mut first_answer = None;
    let mut next = Vec::new();
    for (number, call) in calls.iter().enumerate() {
        if done.has(number) {
            continue;
        }
        // Calls stand in the order of their invocations, and none is answered before it is made.
        if first_answer.is_some_and(|first| call.invoked > first) {
            break;
        }
        let answer = call.answered.as_ref().map(|(at, _)| *at);
        first_answer = first_answer.into_iter().chain(answer).min();
        next.push(number);
    }
    first_answer.map(|first| next.into_iter().filter(|number| calls[*number].invoked < first).collect())
}

/// The configuration as operators see it: a register with compare-and-set on the version that also knows what it took.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigRegister;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// A configuration that builds on another one.
    Replace {
        /// The version that it builds on.
        base: u64,
        /// Its own version.
        version: u64,
        /// Tells bodies apart.
        content: u64,
    },
    /// Which one is the newest?
    Read,
}

/// The answer to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The configuration is taken, now or before.
    Taken,
    /// It was not taken: another version than its base is current, or its own is not above that. 412 and 409.
    Refused,
    /// The newest version and its content; nothing before the first.
    Newest(Option<(u64, u64)>),
}

impl Model for ConfigRegister {
    /// All that was taken, by version: the newest is current.
    type State = BTreeMap<u64, u64>;
    type Operation = Order;
    type Answer = Answer;

    fn initial(&self) -> Self::State {
        BTreeMap::new()
    }

    fn apply(&self, state: &Self::State, order: &Order) -> (Answer, Option<Self::State>) {
        let newest = state.last_key_value().map(|(version, content)| (*version, *content));
        let current = newest.map_or(0, |(version, _)| version);
        match order {
            Order::Read => (Answer::Newest(newest), None),
            Order::Replace { version, content, .. } if state.get(version) == Some(content) => {
                (Answer::Taken, None)
            }
            Order::Replace { base, version, content } if *base == current && *version > current => {
                let mut after = state.clone();
                after.insert(*version, *content);
                (Answer::Taken, Some(after))
            }
            Order::Replace { .. } => (Answer::Refused, None),
        }
    }
}
