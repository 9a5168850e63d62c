//! How long a session lives, reckoned on both sides so that the group never ends one that its holder still trusts.
//!
//! With L the life of a session and D the allowance for clocks that run at different speeds:
//! - the holder trusts it until L after the moment *before* it asked for the renewal that was granted;
//! - the leader ends it no sooner than L + D after a moment at which it surely led (it held the log's lease), which it
//!   looks at anew after each renewal came in;
//! - who becomes leader gives every session L + D from that moment. A renewal that an older leader granted was granted
//!   while no quorum could elect the new one, so the holder asked before the new leader began.

use crate::clock::{Clock, Moment};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Clocks of two machines may run apart by one part in so many.
const DRIFT: u32 = 100;
/// And what a thread may need between reading its clock and acting on it, at the least.
const LEAST_DRIFT: Duration = Duration::from_millis(20);

/// The allowance for a life.
pub fn drift(life: Duration) -> Duration {
    (life / DRIFT).max(LEAST_DRIFT)
}

/// The leader's side: when each session may be ended.
#[derive(Debug)]
pub struct Deadlines {
    life: Duration,
    term: Option<u64>,
    by: BTreeMap<u64, Moment>,
}

impl Deadlines {
    /// None yet, for sessions of this life.
    pub fn new(life: Duration) -> Self {
        Self { life, term: None, by: BTreeMap::new() }
    }

    /// Takes note that this process leads in a term (or does not) and of the sessions there are. Each one that is new
    /// here, and each one at all in a new term, has its whole life before it.
    pub fn note(&mut self, now: Moment, term: Option<u64>, sessions: impl Iterator<Item = u64>) {
        if self.term != term {
            self.term = term;
            self.by.clear();
        }
        if term.is_none() {
            return;
        }
        let whole = now + self.life + drift(self.life);
        let before = std::mem::take(&mut self.by);
        self.by = sessions.map(|id| (id, before.get(&id).copied().unwrap_or(whole))).collect();
    }

    /// A renewal came in, and that this process led was confirmed after that. False where it came too late: the
    /// session may be ending, and must not be trusted any longer.
    pub fn renewed(&mut self, now: Moment, session: u64) -> bool {
        let Some(by) = self.by.get_mut(&session).filter(|by| **by > now) else { return false };
        *by = now + self.life + drift(self.life);
        true
    }

    /// Sessions whose time is over, and the term in which that is so.
    pub fn over(&self, now: Moment) -> Option<(u64, Vec<u64>)> {
        let over = self.by.iter().filter(|(_, by)| **by <= now).map(|(id, _)| *id).collect();
        self.term.map(|term| (term, over))
    }
}

/// The holder's side: until when its session is to be trusted. Shared by all guards of the session.
#[derive(Debug, Default)]
pub struct Lease {
    /// In microseconds of the clock; 0: not at all.
    until: AtomicU64,
    over: AtomicBool,
}

impl Lease {
    /// It was granted to one that had asked at a moment.
    pub fn granted(&self, asked: Moment, life: Duration) {
        self.until.fetch_max((asked + life).as_micros() as u64, Ordering::SeqCst);
    }

    /// It is over, whatever the clock says.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    /// What is left of it.
    pub fn left(&self, now: Moment) -> Option<Duration> {
        if self.over.load(Ordering::SeqCst) {
            return None;
        }
        let until = Duration::from_micros(self.until.load(Ordering::SeqCst));
        until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

/// The right to do a duty. It is asked right before each act: it answers no once the session's lease is over by this
/// process's own clock, also right after the process was stopped for long, and once the duty was given away.
#[derive(Clone, Debug)]
pub struct Guard {
    /// Which duty.
    pub duty: String,
    fence: u64,
    lease: Arc<Lease>,
    given: Arc<AtomicBool>,
    clock: Clock,
}

impl Guard {
    /// The right of a duty that the group granted to a session.
    pub fn new(duty: String, fence: u64, lease: Arc<Lease>, clock: Clock) -> Self {
        Self { duty, fence, lease, given: Arc::default(), clock }
    }

    /// The fence to act under, if the act may be done now. The act carries it: between this answer and the act the
    /// process may stop, and then only the fence tells.
    pub fn may_act(&self) -> Option<u64> {
        self.left().map(|_| self.fence)
    }

    /// What is left of the right.
    pub fn left(&self) -> Option<Duration> {
        let left = self.lease.left(self.clock.now());
        left.filter(|_| !self.given.load(Ordering::SeqCst))
    }

    /// The fence, whether or not it may still be acted under.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// The duty is given away: no act from now on.
    pub fn give(&self) {
        self.given.store(true, Ordering::SeqCst);
    }
}

/// What one who is acted upon has seen: an act under a lower fence than one before is refused.
#[derive(Clone, Debug, Default)]
pub struct Fences(BTreeMap<String, u64>);

/// The most duties that are remembered.
pub const MOST_DUTIES: usize = 64;

impl Fences {
    /// Whether an act under this fence is to be taken; if so, none under a lower one is from now on.
    pub fn takes(&mut self, duty: &str, fence: u64) -> bool {
        let full = self.0.len() >= MOST_DUTIES;
        match self.0.get_mut(duty) {
            Some(seen) if fence >= *seen => *seen = fence,
            Some(_) => return false,
            None if full => return false,
            None => drop(self.0.insert(duty.to_owned(), fence)),
        }
        true
    }

    /// The highest fence seen of each duty.
    pub fn seen(&self) -> Vec<(String, u64)> {
        self.0.iter().map(|(duty, fence)| (duty.clone(), *fence)).collect()
    }
}
