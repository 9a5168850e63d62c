//! The wall clock of a gateway and the backoff between retries. A handover passes the state of one process of a gateway
//! to the next process of that gateway.

use doorcourse::Millis;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// If the clocks of two processes of a gateway differ by more than this many ms, the system clock was set between the
/// starts of the processes. A handover itself takes far less time than this.
const MIN_CLOCK_STEP: Millis = 2000.0;

/// Unix time in milliseconds, read once from the system clock and then advanced by the monotonic clock, so that it
/// never jumps. Quotas are counted per time window. The name of a count at the shared counter contains the window's
/// number, derived from this time, so the clocks of all gateways must agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub fn from_system_clock() -> Self {
        // A system time before 1970 is treated as 0 rather than as an error.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { unix, start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }

    /// The time at a given moment.
    pub fn at(&self, moment: Instant) -> Millis {
        let since = moment.saturating_duration_since(self.start).as_secs_f64();
        let before = self.start.saturating_duration_since(moment).as_secs_f64();
        (self.unix.as_secs_f64() + since - before) * 1000.0
    }

    /// Returns this clock set to `reported`, the current time of the preceding process of this gateway, if the system
    /// clock was set after that process had started. The state that the process hands over and the quota windows of the
    /// other gateways use the time from before the step. Returns `None` if the clocks differ by at most
    /// `MIN_CLOCK_STEP`, so that this clock can be kept.
    pub fn aligned_with(self, reported: Millis) -> Option<Self> {
        let step = reported - self.now();
        let unix = Duration::try_from_secs_f64(self.unix.as_secs_f64() + step / 1000.0).ok()?;
        (step.abs() > MIN_CLOCK_STEP).then_some(Self { unix, ..self })
    }
}

/// Converts milliseconds to a duration. Negative values and NaN become zero.
pub fn to_duration(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}

/// Converts a duration to milliseconds.
pub fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}

/// Exponential backoff with full jitter: each delay is drawn from a range that doubles with every failure up to `max`.
/// With `max` not above `first` the delay is constant, without jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    range: Duration,
    rng_state: u64,
}

impl Backoff {
    /// Creates a backoff from the first range up to the maximum; the seed makes the delays of processes differ.
    pub fn new(first: Duration, max: Duration, seed: u64) -> Self {
        Self { first, max, range: first, rng_state: seed }
    }

    /// The delay before the next retry.
    pub fn next_delay(&mut self) -> Duration {
        if self.max <= self.first {
            return self.first;
        }
        // Splitmix64: similar seeds lead to unrelated draws.
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.rng_state ^ (self.rng_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let fraction = ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64;
        let delay = self.range.mul_f64(fraction);
        self.range = (self.range * 2).min(self.max);
        delay
    }

    /// Resets the backoff after a success.
    pub fn reset(&mut self) {
        self.range = self.first;
    }
}
