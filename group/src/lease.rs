//! Session leases. The leader and the holder both track the expiry of a session such that the group never ends a
//! session that its holder still considers valid.
//!
//! A session registers one process, its holder, in the group. Through the session the process holds duties: named roles
//! that at most one session holds at a time, each under a fence (fencing token) that rises with every grant.
//!
//! Let L be the session TTL and D the allowance for clock drift:
//! - The holder considers the session valid until L after the moment *before* it sent the renewal that was granted.
//! - The leader ends the session no sooner than L + D after a moment at which it held the Raft leader lease. The
//!   leader checks its lease again after each renewal arrives.
//! - A new leader gives every session L + D from the start of its leadership. While an older leader granted a renewal,
//!   no quorum could elect the new leader, so the holder sent that renewal before the new leader started.

use crate::clock::{Clock, Moment};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Clocks of two machines may drift apart by one part in this many.
const DRIFT_DIVISOR: u32 = 100;
/// Lower bound of the drift allowance; covers the time a thread may need between reading its clock and acting on it.
const MIN_DRIFT_ALLOWANCE: Duration = Duration::from_millis(20);

/// Returns the allowance for clock drift over one session TTL.
pub fn drift_allowance(session_ttl: Duration) -> Duration {
    (session_ttl / DRIFT_DIVISOR).max(MIN_DRIFT_ALLOWANCE)
}

/// The leader's view: the earliest time at which each session may be ended.
#[derive(Debug)]
pub struct SessionDeadlines {
    session_ttl: Duration,
    /// The term in which this process leads, if it does.
    term: Option<u64>,
    /// Earliest end of each session, by session ID.
    deadlines: BTreeMap<u64, Moment>,
}

impl SessionDeadlines {
    /// Creates an empty set of deadlines for sessions with this TTL.
    pub fn new(session_ttl: Duration) -> Self {
        Self { session_ttl, term: None, deadlines: BTreeMap::new() }
    }

    /// Records the term in which this process leads (`None` if it does not lead) and the open sessions. Each new
    /// session gets a full TTL plus the drift allowance from `now`. In a new term, every session gets this deadline.
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

    /// Extends the deadline of a session. The caller has confirmed its leadership after the renewal arrived. Returns
    /// `false` if the renewal came after the deadline: the session may be ending, so its holder must not rely on the
    /// session.
    pub fn renew(&mut self, now: Moment, session: u64) -> bool {
        let Some(deadline) = self.deadlines.get_mut(&session).filter(|deadline| **deadline > now) else {
            return false;
        };
        *deadline = now + self.session_ttl + drift_allowance(self.session_ttl);
        true
    }

    /// Returns the expired sessions and the current term, or `None` if this process does not lead.
    pub fn expired(&self, now: Moment) -> Option<(u64, Vec<u64>)> {
        let expired =
            self.deadlines.iter().filter(|(_, deadline)| **deadline <= now).map(|(id, _)| *id).collect();
        self.term.map(|term| (term, expired))
    }
}

/// The holder's view: the time until which its session is valid. Shared by all guards of the session.
#[derive(Debug, Default)]
pub struct Lease {
    /// Expiry in microseconds of the local clock; 0 means that no lease was granted yet.
    expires_at_micros: AtomicU64,
    ended: AtomicBool,
}

impl Lease {
    /// Extends the lease after a successful renewal that was sent at `requested_at`.
    pub fn grant(&self, requested_at: Moment, session_ttl: Duration) {
        self.expires_at_micros.fetch_max((requested_at + session_ttl).as_micros() as u64, Ordering::SeqCst);
    }

    /// Ends the lease immediately, regardless of its expiry.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Returns the remaining time, or `None` if the lease has expired or ended.
    pub fn remaining(&self, now: Moment) -> Option<Duration> {
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        let expires_at = Duration::from_micros(self.expires_at_micros.load(Ordering::SeqCst));
        expires_at.checked_sub(now).filter(|remaining| !remaining.is_zero())
    }
}

/// Permission to perform a duty. The process checks the guard right before each action. A guard becomes invalid when
/// the session lease expires on the local clock, even if the process was paused meanwhile, and when the duty is
/// released.
#[derive(Clone, Debug)]
pub struct Guard {
    /// The name of the duty.
    pub duty: String,
    fence: u64,
    lease: Arc<Lease>,
    released: Arc<AtomicBool>,
    clock: Clock,
}

impl Guard {
    /// Creates a guard for a duty that the group granted to the session of `lease`.
    pub fn new(duty: String, fence: u64, lease: Arc<Lease>, clock: Clock) -> Self {
        Self { duty, fence, lease, released: Arc::default(), clock }
    }

    /// Returns the fence if the guard is currently valid. Every action must carry the fence: if the process pauses
    /// between this check and the action, only the fence lets the receiver reject the action.
    pub fn valid_fence(&self) -> Option<u64> {
        self.remaining().map(|_| self.fence)
    }

    /// Returns the remaining validity, or `None` if the guard is invalid.
    pub fn remaining(&self) -> Option<Duration> {
        let remaining = self.lease.remaining(self.clock.now());
        remaining.filter(|_| !self.released.load(Ordering::SeqCst))
    }

    /// Returns the fence even if the guard is no longer valid.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Invalidates the guard and all its clones because the duty is released.
    pub fn release(&self) {
        self.released.store(true, Ordering::SeqCst);
    }
}

/// The highest fence seen for each duty. The receiver of actions uses it to reject an action with a lower fence than
/// an earlier one.
#[derive(Clone, Debug, Default)]
pub struct SeenFences(BTreeMap<String, u64>);

/// Maximum number of duties whose fences are tracked.
pub const MAX_DUTIES: usize = 64;

impl SeenFences {
    /// Returns whether an action with this fence is accepted, and if so rejects lower fences from now on. A new duty
    /// is rejected once [`MAX_DUTIES`] duties are tracked.
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

    /// Returns the highest fence seen for each duty.
    pub fn highest_fences(&self) -> Vec<(String, u64)> {
        self.0.iter().map(|(duty, fence)| (duty.clone(), *fence)).collect()
    }
}
