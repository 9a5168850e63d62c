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
const DRIFT_DIVISOR: u32 = 100;
/// And what a thread may need between reading its clock and acting on it, at the least.
const MIN_DRIFT_ALLOWANCE: Duration = Duration::from_millis(20);

/// The allowance for a life.
pub fn drift_allowance(session_ttl: Duration) -> Duration {
    (session_ttl / DRIFT_DIVISOR).max(MIN_DRIFT_ALLOWANCE)
}

/// The leader's side: when each session may be ended.
#[derive(Debug)]
pub struct SessionDeadlines {
    session_ttl: Duration,
    term: Option<u64>,
    deadlines: BTreeMap<u64, Moment>,
}

impl SessionDeadlines {
    /// None yet, for sessions of this life.
    pub fn new(session_ttl: Duration) -> Self {
        Self { session_ttl, term: None, deadlines: BTreeMap::new() }
    }

    /// Takes note that this process leads in a term (or does not) and of the sessions there are. Each one that is new
    /// here, and each one at all in a new term, has its whole life before it.
    pub fn update(&mut self, now: Moment, term: Option<u64>, sessions: impl Iterator<Item = u64>) {
        if self.term != term {
            self.term = term;
            self.deadlines.clear();
        }
        if term.is_none() {
            return;
        }
        let full_deadline = now + self.session_ttl + drift_allowance(self.session_ttl);
        let previous = std::mem::take(&mut self.deadlines);
        self.deadlines =
            sessions.map(|id| (id, previous.get(&id).copied().unwrap_or(full_deadline))).collect();
    }

    /// A renewal came in, and that this process led was confirmed after that. False where it came too late: the
    /// session may be ending, and must not be trusted any longer.
    pub fn renew(&mut self, now: Moment, session: u64) -> bool {
        let Some(deadline) = self.deadlines.get_mut(&session).filter(|deadline| **deadline > now) else {
            return false;
        };
        *deadline = now + self.session_ttl + drift_allowance(self.session_ttl);
        true
    }

    /// Sessions whose time is over, and the term in which that is so.
    pub fn expired(&self, now: Moment) -> Option<(u64, Vec<u64>)> {
        let expired =
            self.deadlines.iter().filter(|(_, deadline)| **deadline <= now).map(|(id, _)| *id).collect();
        self.term.map(|term| (term, expired))
    }
}

/// The holder's side: until when its session is to be trusted. Shared by all guards of the session.
#[derive(Debug, Default)]
pub struct Lease {
    /// In microseconds of the clock; 0: not at all.
    expires_at_micros: AtomicU64,
    ended: AtomicBool,
}

impl Lease {
    /// It was granted to one that had asked at a moment.
    pub fn grant(&self, requested_at: Moment, session_ttl: Duration) {
        self.expires_at_micros.fetch_max((requested_at + session_ttl).as_micros() as u64, Ordering::SeqCst);
    }

    /// It is over, whatever the clock says.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// What is left of it.
    pub fn remaining(&self, now: Moment) -> Option<Duration> {
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        let expires_at = Duration::from_micros(self.expires_at_micros.load(Ordering::SeqCst));
        expires_at.checked_sub(now).filter(|remaining| !remaining.is_zero())
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
    released: Arc<AtomicBool>,
    clock: Clock,
}

impl Guard {
    /// The right of a duty that the group granted to a session.
    pub fn new(duty: String, fence: u64, lease: Arc<Lease>, clock: Clock) -> Self {
        Self { duty, fence, lease, released: Arc::default(), clock }
    }

    /// The fence to act under, if the act may be done now. The act carries it: between this answer and the act the
    /// process may stop, and then only the fence tells.
    pub fn valid_fence(&self) -> Option<u64> {
        self.remaining().map(|_| self.fence)
    }

    /// What is left of the right.
    pub fn remaining(&self) -> Option<Duration> {
        let remaining = self.lease.remaining(self.clock.now());
        remaining.filter(|_| !self.released.load(Ordering::SeqCst))
    }

    /// The fence, whether or not it may still be acted under.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// The duty is given away: no act from now on.
    pub fn release(&self) {
        self.released.store(true, Ordering::SeqCst);
    }
}

/// What one who is acted upon has seen: an act under a lower fence than one before is refused.
#[derive(Clone, Debug, Default)]
pub struct SeenFences(BTreeMap<String, u64>);

/// The most duties that are remembered.
pub const MAX_DUTIES: usize = 64;

impl SeenFences {
    /// Whether an act under this fence is to be taken; if so, none under a lower one is from now on.
    pub fn accept(&mut self, duty: &str, fence: u64) -> bool {
        let full = self.0.len() >= MAX_DUTIES;
        match self.0.get_mut(duty) {
            Some(highest) if fence >= *highest => *highest = fence,
            Some(_) => return false,
            None if full => return false,
            None => drop(self.0.insert(duty.to_owned(), fence)),
        }
        true
    }

    /// The highest fence seen of each duty.
    pub fn highest_fences(&self) -> Vec<(String, u64)> {
        self.0.iter().map(|(duty, fence)| (duty.clone(), *fence)).collect()
    }
}
