//! The one clock of a gateway.

use doorcourse::Millis;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Two processes of a gateway whose clocks differ by more than this many ms were started on either side of a step of
/// the system's clock: well above what a handover takes.
const MIN_CLOCK_STEP: Millis = 2000.0;

/// Unix time in milliseconds. Count names are made of window numbers, so all gateways must agree on it; it is
/// read once from the system and then advanced by the steady clock, so that it never jumps or runs back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    /// Anchors the clock to the system's time now.
    pub fn from_system_clock() -> Self {
        // A system time before 1970 is no time at all: count from zero rather than fail.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { unix, start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }

    /// The time at some moment.
    pub fn at(&self, moment: Instant) -> Millis {
        let since = moment.saturating_duration_since(self.start).as_secs_f64();
        let before = self.start.saturating_duration_since(moment).as_secs_f64();
        (self.unix.as_secs_f64() + since - before) * 1000.0
    }

    /// The clock of another process of this gateway that told the time just now, if the system's clock was set in
    /// between: what is handed over stands in that time, and so do the windows that the other gateways count in.
    /// A small difference is the way from there to here.
    pub fn aligned_with(self, reported: Millis) -> Option<Self> {
        let step = reported - self.now();
        let unix = Duration::try_from_secs_f64(self.unix.as_secs_f64() + step / 1000.0).ok()?;
        (step.abs() > MIN_CLOCK_STEP).then_some(Self { unix, ..self })
    }
}

/// A span of milliseconds as a duration; what is negative or no number is zero.
pub fn to_duration(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}

/// A duration in milliseconds.
pub fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}

/// The pauses between tries of what fails for many at once: each is drawn from a span that doubles with every
/// failure (full jitter). Without room to double it is the same pause each time.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    range: Duration,
    rng_state: u64,
}

impl Backoff {
    /// From the first pause up to the longest; the seed sets this process apart from the others.
    pub fn new(first: Duration, max: Duration, seed: u64) -> Self {
        Self { first, max, range: first, rng_state: seed }
    }

    /// How long to wait before the next try.
    pub fn next_delay(&mut self) -> Duration {
        if self.max <= self.first {
            return self.first;
        }
        // Splitmix: seeds that hardly differ lead to draws that do.
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.rng_state ^ (self.rng_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let fraction = ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64;
        let delay = self.range.mul_f64(fraction);
        self.range = (self.range * 2).min(self.max);
        delay
    }

    /// It went well: the next failure is a first one.
    pub fn reset(&mut self) {
        self.range = self.first;
    }
}
