//! The time budget of a request: the time in which a backend's answer must arrive. Created once on
//! arrival, read by every later stage.
//!
//! Invariants: a budget is created when the request, or the start of its long body, has been received, and never grows;
//! it uses the monotonic clock; the reserve for writing the answer to the client is subtracted here and nowhere else in
//! the gateway; no wait for a request lasts longer than the budget plus [`Budget::grace`], which ends before the
//! client's own deadline. The budget of a long upload starts with its last byte; until
//! then `body.rs` aborts the upload if it makes no progress.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time reserved for writing the answer before the client's timeout.
const ANSWER_RESERVE: Duration = Duration::from_millis(25);
/// Maximum share of the client's timeout that is reserved.
const ANSWER_RESERVE_RATIO: f64 = 0.25;
/// How long an observed lag of the event loop is reported after its observation.
const LAG_TTL: Duration = Duration::from_millis(100);
/// Delay of a timer up to which the event loop does not count as lagging: timers are no more precise.
const TIMER_GRANULARITY: Duration = Duration::from_millis(5);

/// The time budget of a request.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    deadline: Instant,
    reserve: Duration,
    total: Duration,
}

impl Budget {
    /// Creates the budget of a request whose last byte was read at `read_at`, by an event loop with lag `lag`, from a
    /// client that waits for `timeout` after its last byte.
    pub fn on_arrival(read_at: Instant, timeout: Duration, lag: Duration) -> Self {
        let reserve = ANSWER_RESERVE.min(timeout.mul_f64(ANSWER_RESERVE_RATIO));
        let total = timeout.saturating_sub(reserve).saturating_sub(lag);
        Self { deadline: read_at + total, reserve, total }
    }

    /// The deadline for the backend's answer.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// The whole budget. A request with a long body has this much time from its last byte on.
    pub fn total(&self) -> Duration {
        self.total
    }

    /// Grace after the deadline, half of the reserve. A request without an answer by then gets an error; the other half
    /// is left for writing the error.
    pub fn grace(&self) -> Duration {
        self.reserve / 2
    }
}

/// Measures the lag of the event loop by how late its existing timers fire, without timers of its own.
///
/// Invariant: only a lag that was observed within `LAG_TTL`, or a timer that is overdue now, is reported.
pub struct EventLoopLag {
    /// The earliest pending timer among those set since the last timer fired.
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
    /// Records that a timer has been set.
    pub fn timer_set(&self, due: Instant) {
        self.due.set(Some(self.due.get().map_or(due, |other| other.min(due))));
    }

    /// Records that the timer due at `due` has fired just now.
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

    /// The current lag.
    pub fn current(&self) -> Duration {
        let (at, last_lag) = self.last_lag.get();
        let last_lag = if at.elapsed() < LAG_TTL { last_lag } else { Duration::ZERO };
        last_lag.max(above_granularity(self.due.get().map_or(Duration::ZERO, |due| due.elapsed())))
    }

    /// How many timers fired late, and the maximum lag.
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
        // At most a quarter of a short timeout is reserved.
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
        assert_eq!(lag.current(), Duration::ZERO, "timer granularity is not lag");
        advance(297 * MS).await;
        assert_eq!(lag.current(), 300 * MS, "an overdue timer counts before it fires");
        lag.timer_fired(due);
        lag.timer_set(Instant::now() + 25 * MS);
        assert_eq!(lag.current(), 300 * MS);
        advance(25 * MS).await;
        lag.timer_fired(Instant::now());
        assert_eq!(lag.current(), 300 * MS, "a timer on time does not reset the lag at once");
        advance(100 * MS).await;
        lag.timer_fired(Instant::now());
        assert_eq!((lag.current(), lag.totals()), (Duration::ZERO, (1, 300 * MS)));
    }
}
