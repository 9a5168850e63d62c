//! How old what a data plane goes by may be: bounded staleness (Terry et al., 2013), by the steady clock of the data
//! plane alone. State machine without I/O or clock.
//!
//! Whoever serves control says how old the leader's answer is on which it goes, and its own answer counts from when the question
//! was sent. So neither a link that holds messages back nor a process that does not know that it is cut off makes anything
//! younger than it is. Once the newest answer is too old, other processes are asked, twice as many with each step: each
//! that is in touch with the leader answers at once, however many that are not were asked before.

use std::collections::VecDeque;

/// Milliseconds of the host's steady clock.
type Millis = u64;

/// Answers as old as this are common: two processes ask each other in turn.
const LEAST_STALE: Millis = 500;
/// Nothing is gained by waiting for longer.
const MOST_STALE: Millis = 900;
/// An answer may be lost before others are asked.
const QUESTIONS_BEFORE_STALE: Millis = 3;
/// A process that has just started has this long for its first answer, beside the age at which one is too old.
const START: Millis = 1100;
/// So many are asked first, and twice as many after each step.
const FIRST_WIDTH: usize = 2;
/// The time between two steps, in ms.
const STEP: Millis = 100;
/// The width grows no more after so many steps: it is more than there are to ask.
const MOST_STEPS: Millis = 7;
/// What the search takes until somebody is followed that is in touch, in ms: a tick, the steps to sixteen, a dial of 300 ms
/// in vain, and the time that the others have to answer too, with another tick.
pub const MAX_SEARCH_MS: Millis = 950;
/// The least bound that is kept, in ms.
pub const MIN_BOUND_MS: Millis = LEAST_STALE + MAX_SEARCH_MS;
/// Questions whose answers still count: those to all that are searched for some steps.
const QUESTIONS: usize = 512;

/// How old the newest answer may be before others are asked, in ms, where a change has to be obeyed within `bound` ms.
pub fn stale_after(bound: Millis) -> Millis {
    bound.saturating_sub(MAX_SEARCH_MS).clamp(LEAST_STALE, MOST_STALE)
}

/// Whether a data plane in touch with control obeys each change within `bound` ms.
pub fn is_achievable(bound: Millis) -> bool {
    stale_after(bound) + MAX_SEARCH_MS <= bound
}

/// The questions of one data plane, and the age of what it knows.
#[derive(Debug)]
pub struct Freshness {
    stale_after: Millis,
    asked: VecDeque<(u64, Millis)>,
    last: u64,
    /// All that the leader had ordered by then is known here. In the future while a process is young.
    as_of: Millis,
    /// Whether anybody answers such questions: processes of an earlier version don't.
    is_understood: bool,
    searched_since: Option<Millis>,
}

impl Freshness {
    /// Of a process that starts at this time and asks others once its answer is older than `stale_after` ms.
    pub fn new(now: Millis, stale_after: Millis) -> Self {
        let as_of = now + START;
        Self {
            stale_after,
            asked: VecDeque::new(),
            last: 0,
            as_of,
            is_understood: false,
            searched_since: None,
        }
    }

    /// How often the process that is followed is asked, in ms.
    pub fn ask_every(&self) -> Millis {
        self.stale_after / QUESTIONS_BEFORE_STALE
    }

    /// Somebody reads such questions.
    pub fn understood(&mut self) {
        self.is_understood = true;
    }

    /// A question is sent; gives its number.
    pub fn question(&mut self, now: Millis) -> u64 {
        self.last += 1;
        self.asked.push_back((self.last, now));
        if self.asked.len() > QUESTIONS {
            self.asked.pop_front();
        }
        self.last
    }

    /// An answer came, by which all is known that was ordered `age` ms before it was given. Gives when that was, if it is
    /// the answer to a question that was asked lately and not answered yet.
    pub fn answered(&mut self, number: u64, age: Millis) -> Option<Millis> {
        let at = self.asked.iter().position(|(asked, _)| *asked == number)?;
        let (_, sent) = self.asked.remove(at)?;
        let as_of = sent.saturating_sub(age);
        self.as_of = self.as_of.max(as_of);
        Some(as_of)
    }

    /// How old what is known may be, in ms.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.as_of)
    }

    /// Whether an answer is so new that nobody else needs to be asked any more: half of the age at which that begins, so
    /// that an answer of somebody who is just cut off does not end it.
    pub fn is_recent(&self, now: Millis, as_of: Millis) -> bool {
        now.saturating_sub(as_of) < self.stale_after / 2
    }

    /// Whether what is known is too old to go by. Never where nobody answers.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.is_understood && self.age(now) >= self.stale_after
    }

    /// How many processes are to be asked now beside the one that is followed.
    pub fn width(&mut self, now: Millis) -> usize {
        if self.is_stale(now) {
            self.searched_since.get_or_insert(now);
        } else if self.is_recent(now, self.as_of) {
            self.searched_since = None;
        }
        let steps = |since: Millis| (now.saturating_sub(since) / STEP).min(MOST_STEPS);
        self.searched_since.map_or(0, |since| FIRST_WIDTH << steps(since))
    }
}
