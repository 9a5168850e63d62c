//! The time of a request: one budget, made at the door, which every stage asks what is left.
//!
//! Invariants: it is made once, when the request is whole or the start of its long body is here, and never grows; it
//! lies on the steady clock; the one reserve for passing the answer on is taken off here and nowhere else in the
//! gateway; no wait for a request goes on past `backstop`, which lies before the client's own deadline. The time of a
//! long body goes by progress (`body.rs`): until it is whole nothing is drawn.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The last byte of an answer must be out before the client's patience ends: so much is kept for passing it on, and
/// no more than this share.
const RESERVE: Duration = Duration::from_millis(25);
const RESERVE_SHARE: f64 = 0.25;
/// What the event loop is late by says something of what comes in for this long. Less is the timers' own grain.
const FRESH: Duration = Duration::from_millis(100);
const GRAIN: Duration = Duration::from_millis(5);

/// What a request has left.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    answer_by: Instant,
    reserve: Duration,
    span: Duration,
}

impl Budget {
    /// The budget of a request whose last byte was read at `read_at` by an event loop that was so late, and whose
    /// client waits for `patience` from its last byte on.
    pub fn at_the_door(read_at: Instant, patience: Duration, lateness: Duration) -> Self {
        let reserve = RESERVE.min(patience.mul_f64(RESERVE_SHARE));
        let span = patience.saturating_sub(reserve).saturating_sub(lateness);
        Self { answer_by: read_at + span, reserve, span }
    }

    /// By when the answer has to be here.
    pub fn answer_by(&self) -> Instant {
        self.answer_by
    }

    /// All of it, which a long body's request has from its last byte on.
    pub fn span(&self) -> Duration {
        self.span
    }

    /// Whoever has no answer by then gets one all the same: half of the reserve is left for passing it on.
    pub fn backstop(&self) -> Duration {
        self.reserve / 2
    }
}

/// How late the event loop runs, by its own timers: nothing is spent on asking.
///
/// Invariant: only what was seen within `FRESH`, or is overdue now, is told.
pub struct Lateness {
    /// The soonest timer that has not run out yet, of those set since the last one did.
    due: Cell<Option<Instant>>,
    seen: Cell<(Instant, Duration)>,
    most: Cell<Duration>,
    times: Cell<u64>,
}

impl Default for Lateness {
    fn default() -> Self {
        let seen = Cell::new((Instant::now(), Duration::ZERO));
        Self { due: Cell::default(), seen, most: Cell::default(), times: Cell::default() }
    }
}

impl Lateness {
    /// A timer is set.
    pub fn expects(&self, due: Instant) {
        self.due.set(Some(self.due.get().map_or(due, |other| other.min(due))));
    }

    /// That timer has run out, just now.
    pub fn met(&self, due: Instant) {
        if self.due.get().is_some_and(|next| next >= due) {
            self.due.set(None);
        }
        let (now, late) = (Instant::now(), grained(due.elapsed()));
        let (at, before) = self.seen.get();
        if late >= before || now.duration_since(at) >= FRESH {
            self.seen.set((now, late));
        }
        self.most.set(self.most.get().max(late));
        self.times.set(self.times.get() + u64::from(!late.is_zero()));
    }

    /// How late it is now.
    pub fn now(&self) -> Duration {
        let (at, seen) = self.seen.get();
        let seen = if at.elapsed() < FRESH { seen } else { Duration::ZERO };
        seen.max(grained(self.due.get().map_or(Duration::ZERO, |due| due.elapsed())))
    }

    /// How often it was late, and the most that it ever was.
    pub fn told(&self) -> (u64, Duration) {
        (self.times.get(), self.most.get())
    }
}

fn grained(late: Duration) -> Duration {
    if late < GRAIN { Duration::ZERO } else { late }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    const MS: Duration = Duration::from_millis(1);

    fn left(budget: Budget) -> Duration {
        budget.answer_by().saturating_duration_since(Instant::now())
    }

    #[tokio::test(start_paused = true)]
    async fn every_stage_finds_what_the_ones_before_have_left() {
        let budget = Budget::at_the_door(Instant::now(), 480 * MS, Duration::ZERO);
        assert_eq!(left(budget), 455 * MS);
        advance(400 * MS).await;
        assert_eq!(left(budget), 55 * MS);
        advance(400 * MS).await;
        assert_eq!(left(budget), Duration::ZERO);
        // Of little time no more than a quarter is kept back.
        assert_eq!(left(Budget::at_the_door(Instant::now(), 20 * MS, Duration::ZERO)), 15 * MS);
    }

    #[tokio::test(start_paused = true)]
    async fn what_was_read_long_ago_and_a_late_event_loop_are_taken_off() {
        let read_at = Instant::now();
        advance(100 * MS).await;
        assert_eq!(left(Budget::at_the_door(read_at, 480 * MS, 50 * MS)), 305 * MS);
        let budget = Budget::at_the_door(read_at, 480 * MS, Duration::from_secs(9));
        assert_eq!((left(budget), budget.span()), (Duration::ZERO, Duration::ZERO));
    }

    #[tokio::test(start_paused = true)]
    async fn lateness_shows_while_a_timer_is_overdue_and_shortly_after() {
        let lateness = Lateness::default();
        let due = Instant::now() + 25 * MS;
        lateness.expects(due);
        advance(28 * MS).await;
        assert_eq!(lateness.now(), Duration::ZERO, "the grain of timers");
        advance(297 * MS).await;
        assert_eq!(lateness.now(), 300 * MS, "the timer has not even run yet");
        lateness.met(due);
        lateness.expects(Instant::now() + 25 * MS);
        assert_eq!(lateness.now(), 300 * MS);
        advance(25 * MS).await;
        lateness.met(Instant::now());
        assert_eq!(lateness.now(), 300 * MS, "one in time does not take it back at once");
        advance(100 * MS).await;
        lateness.met(Instant::now());
        assert_eq!((lateness.now(), lateness.told()), (Duration::ZERO, (1, 300 * MS)));
    }
}
