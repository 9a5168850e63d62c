//! A linearizability checker for recorded histories, and a model of the configuration register that operators use.
//!
//! The search follows Wing and Gong (1993) with the memoized states of Lowe (2017). It looks for an order of the
//! calls that keeps the real-time order of calls that did not overlap, and in which a sequential model gives each
//! call the observed answer. A call without a definite answer may take effect at any time after its invocation, or
//! never.

use std::collections::{BTreeMap, HashSet};
use std::fmt::{Debug, Display, Formatter};
use std::hash::Hash;

/// Number of calls shown that could not come next.
const MAX_SHOWN: usize = 8;

/// A sequential object.
pub trait Model {
    /// State of the object.
    type State: Clone + Debug + Eq + Hash;
    /// Operation on the object.
    type Operation: Clone + Debug;
    /// Answer to an operation.
    type Answer: Clone + Debug + PartialEq;

    /// The state before the first call.
    fn initial(&self) -> Self::State;

    /// The answer to an operation in a state, and the state afterwards; no state if the operation changes nothing.
    fn apply(&self, state: &Self::State, operation: &Self::Operation) -> (Self::Answer, Option<Self::State>);
}

/// One call with the numbers of its events.
#[derive(Clone, Debug)]
pub struct Call<O, A> {
    /// The requested operation.
    pub operation: O,
    /// Event number of the invocation.
    pub invoked: u64,
    /// Event number of the answer, and the answer; `None` without a definite answer.
    pub answered: Option<(u64, A)>,
}

/// Calls as observed by the callers. Events are numbered in the order in which they are recorded.
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
    /// Records an invocation and returns the number of the call.
    pub fn invoke(&mut self, operation: O) -> usize {
        self.events += 1;
        self.calls.push(Call { operation, invoked: self.events, answered: None });
        self.calls.len() - 1
    }

    /// Records a definite answer. A call without one is a call whose answer was lost.
    pub fn answer(&mut self, call: usize, answer: A) {
        self.events += 1;
        self.calls[call].answered = Some((self.events, answer));
    }

    /// All recorded calls.
    pub fn calls(&self) -> &[Call<O, A>] {
        &self.calls
    }
}

/// Why a history is not linearizable: the longest order found, and the calls that could not come next.
#[derive(Clone, Debug)]
pub struct Violation<M: Model> {
    /// Number of calls in the longest order.
    pub ordered: usize,
    /// State after the longest order.
    pub state: M::State,
    /// The first calls that cannot follow the longest order.
    pub stuck: Vec<UnorderedCall<M>>,
}

/// A call that cannot come next, and the answer that the model would give.
#[derive(Clone, Debug)]
pub struct UnorderedCall<M: Model> {
    /// The call with its observed answer.
    pub call: Call<M::Operation, M::Answer>,
    /// Answer of the model.
    pub modelled: M::Answer,
}

impl<M: Model> Display for Violation<M> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "no linearization found: after {} calls the state is {:?}", self.ordered, self.state)?;
        for UnorderedCall { call, modelled } in &self.stuck {
            writeln!(f, "{call:?} cannot come next: the answer would be {modelled:?}")?;
        }
        Ok(())
    }
}

/// The set of calls that are already ordered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ordered(Vec<u64>);

impl Ordered {
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

/// Checks that some order of the calls explains a history.
///
/// # Errors
/// If no such order exists.
pub fn check<M: Model>(
    model: &M, history: &History<M::Operation, M::Answer>,
) -> Result<(), Box<Violation<M>>> {
    let calls = history.calls();
    let mut seen = HashSet::new();
    let mut candidates = vec![(Ordered(vec![0; calls.len().div_ceil(64)]), model.initial())];
    let mut longest = candidates[0].clone();
    while let Some((ordered, state)) = candidates.pop() {
        let Some(next) = next_calls(calls, &ordered) else { return Ok(()) };
        if ordered.count() > longest.0.count() {
            longest = (ordered.clone(), state.clone());
        }
        let mut changes = Vec::new();
        let mut unchanging = None;
        for number in next {
            let (answer, after) = model.apply(&state, &calls[number].operation);
            let fits = calls[number].answered.as_ref().is_none_or(|(_, seen)| *seen == answer);
            match after {
                Some(after) if fits => changes.push((ordered.with(number), after)),
                None if fits && calls[number].answered.is_some() => unchanging = Some(number),
                _ => {}
            }
        }
        // A call that may come next and changes nothing can come first in any valid order.
        if let Some(number) = unchanging {
            candidates.push((ordered.with(number), state));
            continue;
        }
        candidates.extend(changes.into_iter().filter(|candidate| seen.insert(candidate.clone())));
    }
    let (ordered, state) = longest;
    let open = (0..calls.len()).filter(|number| !ordered.has(*number) && calls[*number].answered.is_some());
    let stuck = open.take(MAX_SHOWN).map(|number| {
        let call = calls[number].clone();
        let (modelled, _) = model.apply(&state, &call.operation);
        UnorderedCall { call, modelled }
    });
    Err(Box::new(Violation { ordered: ordered.count(), stuck: stuck.collect(), state: state.clone() }))
}

/// The calls that may come next: those invoked before any other unordered call was answered. `None` once every
/// answered call is ordered.
fn next_calls<O, A>(calls: &[Call<O, A>], ordered: &Ordered) -> Option<Vec<usize>> {
    let mut first_answer = None;
    let mut next = Vec::new();
    for (number, call) in calls.iter().enumerate() {
        if ordered.has(number) {
            continue;
        }
        // Calls are stored in the order of their invocations, and each is answered after its invocation.
        if first_answer.is_some_and(|first| call.invoked > first) {
            break;
        }
        let answer = call.answered.as_ref().map(|(at, _)| *at);
        first_answer = first_answer.into_iter().chain(answer).min();
        next.push(number);
    }
    first_answer.map(|first| next.into_iter().filter(|number| calls[*number].invoked < first).collect())
}

/// The configuration as operators see it: a register with compare-and-set on the version that also remembers all
/// accepted configurations.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigRegister;

/// An operation of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Replaces the configuration.
    Replace {
        /// The version that the new configuration builds on.
        base: u64,
        /// The new version.
        version: u64,
        /// Distinguishes bodies of the same version.
        content: u64,
    },
    /// Reads the newest configuration.
    Read,
}

/// Answer to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The configuration was accepted, now or earlier.
    Accepted,
    /// The configuration was refused because its base is not current or its version is not above the current one
    /// (status 412 or 409).
    Refused,
    /// The newest version and its content; `None` before the first version.
    Newest(Option<(u64, u64)>),
}

impl Model for ConfigRegister {
    /// All accepted configurations by version; the newest one is current.
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
                (Answer::Accepted, None)
            }
            Order::Replace { base, version, content } if *base == current && *version > current => {
                let mut after = state.clone();
                after.insert(*version, *content);
                (Answer::Accepted, Some(after))
            }
            Order::Replace { .. } => (Answer::Refused, None),
        }
    }
}
