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
const ANSWER_RESERVE: Duration = Duration::from_millis(25);
const ANSWER_RESERVE_RATIO: f64 = 0.25;
/// What the event loop is late by says something of what comes in for this long. Less is the timers' own grain.
const LAG_TTL: Duration = Duration::from_millis(100);
const TIMER_GRANULARITY: Duration = Duration::from_millis(5);

/// What a request has left.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    deadline: Instant,
    reserve: Duration,
    total: Duration,
}

impl Budget {
    /// The budget of a request whose last byte was read at `read_at` by an event loop that was so late, and whose
    /// client waits for `patience` from its last byte on.
    pub fn on_arrival(read_at: Instant, patience: Duration, lag: Duration) -> Self {
        let reserve = ANSWER_RESERVE.min(patience.mul_f64(ANSWER_RESERVE_RATIO));
        let total = patience.saturating_sub(reserve).saturating_sub(lag);
        Self { deadline: read_at + total, reserve, total }
    }

    /// By when the answer has to be here.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// All of it, which a long body's request has from its last byte on.
    pub fn total(&self) -> Duration {
        self.total
    }

    /// Whoever has no answer by then gets one all the same: half of the reserve is left for passing it on.
    pub fn grace(&self) -> Duration {
        self.reserve / 2
    }
}

/// How late the event loop runs, by its own timers: nothing is spent on asking.
///
/// Invariant: only what was seen within `FRESH`, or is overdue now, is told.
pub struct EventLoopLag {
    /// The soonest timer that has not run out yet, of those set since the last one did.
    due: Cell<Option<Instant>>,
    last_lag: Cell<(Instant, Duration)>,
    max: Cell<Duration>,
    late_count: Cell<u64>,
}

impl Default for EventLoopLag {
    fn default() -> Self {
        let last_lag = Cell::new((Instant::now(), Duration::ZERO));
        Self { due: Cell::default(), last_lag, max: Cell::default(), late_count: Cell::default() }
    }
}

impl EventLoopLag {
    /// A timer is set.
    pub fn timer_set(&self, due: Instant) {
        self.due.set(Some(self.due.get().map_or(due, |other| other.min(due))));
    }

    /// That timer has run out, just now.
    pub fn timer_fired(&self, due: Instant) {
        if self.due.get().is_some_and(|next| next >= due) {
            self.due.set(None);
        }
        let (now, late) = (Instant::now(), above_granularity(due.elapsed()));
        let (at, before) = self.last_lag.get();
        if late >= before || now.duration_since(at) >= LAG_TTL {
            self.last_lag.set((now, late));
        }
        self.max.set(self.max.get().max(late));
        self.late_count.set(self.late_count.get() + u64::from(!late.is_zero()));
    }

    /// How late it is now.
    pub fn current(&self) -> Duration {
        let (at, last_lag) = self.last_lag.get();
        let last_lag = if at.elapsed() < LAG_TTL { last_lag } else { Duration::ZERO };
        last_lag.max(above_granularity(self.due.get().map_or(Duration::ZERO, |due| due.elapsed())))
    }

    /// How often it was late, and the most that it ever was.
    pub fn totals(&self) -> (u64, Duration) {
        (self.late_count.get(), self.max.get())
    }
}

fn above_granularity(late: Duration) -> Duration {
    if late < TIMER_GRANULARITY { Duration::ZERO } else { late }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    const MS: Duration = Duration::from_millis(1);

    fn left(budget: Budget) -> Duration {
        budget.deadline().saturating_duration_since(Instant::now())
    }

    #[tokio::test(start_paused = true)]
    async fn budget_shrinks_with_the_time_that_earlier_stages_used() {
        let budget = Budget::on_arrival(Instant::now(), 480 * MS, Duration::ZERO);
        assert_eq!(left(budget), 455 * MS);
        advance(400 * MS).await;
        assert_eq!(left(budget), 55 * MS);
        advance(400 * MS).await;
        assert_eq!(left(budget), Duration::ZERO);
        // Of little time no more than a quarter is kept back.
        assert_eq!(left(Budget::on_arrival(Instant::now(), 20 * MS, Duration::ZERO)), 15 * MS);
    }

    #[tokio::test(start_paused = true)]
    async fn time_since_reading_and_event_loop_lag_are_subtracted() {
        let read_at = Instant::now();
        advance(100 * MS).await;
        assert_eq!(left(Budget::on_arrival(read_at, 480 * MS, 50 * MS)), 305 * MS);
        let budget = Budget::on_arrival(read_at, 480 * MS, Duration::from_secs(9));
        assert_eq!((left(budget), budget.total()), (Duration::ZERO, Duration::ZERO));
    }

    #[tokio::test(start_paused = true)]
    async fn lag_is_reported_while_a_timer_is_overdue_and_shortly_after() {
        let lag = EventLoopLag::default();
        let due = Instant::now() + 25 * MS;
        lag.timer_set(due);
        advance(28 * MS).await;
        assert_eq!(lag.current(), Duration::ZERO, "the grain of timers");
        advance(297 * MS).await;
        assert_eq!(lag.current(), 300 * MS, "the timer has not even run yet");
        lag.timer_fired(due);
        lag.timer_set(Instant::now() + 25 * MS);
        assert_eq!(lag.current(), 300 * MS);
        advance(25 * MS).await;
        lag.timer_fired(Instant::now());
        assert_eq!(lag.current(), 300 * MS, "one in time does not take it back at once");
        advance(100 * MS).await;
        lag.timer_fired(Instant::now());
        assert_eq!((lag.current(), lag.totals()), (Duration::ZERO, (1, 300 * MS)));
    }
}
