//! Processor time of one thread, as the median of several runs. Unlike wall-clock time, it is hardly affected by other
//! work on the machine.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Number of runs per figure.
const RUNS: usize = 9;

/// Median, minimum and maximum of the runs, in µs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The minimum.
    pub minimum: f64,
    /// The maximum.
    pub maximum: f64,
}

impl Spread {
    /// Statistics of the figures; all 0 without figures.
    pub fn of(mut figures: Vec<f64>) -> Self {
        figures.sort_by(f64::total_cmp);
        let at = |index: usize| figures.get(index).copied().unwrap_or_default();
        Self { median: at(figures.len() / 2), minimum: at(0), maximum: at(figures.len().saturating_sub(1)) }
    }

    /// Difference between maximum and minimum, relative to the median.
    pub fn range(&self) -> f64 {
        (self.maximum - self.minimum) / self.median.max(f64::MIN_POSITIVE)
    }
}

/// Processor time used by this thread.
fn processor_time() -> Duration {
    let spent = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(spent.tv_sec.max(0) as u64, spent.tv_nsec.max(0) as u32)
}

/// Measures the processor time of `count` repetitions in µs per repetition; each run starts from a new state.
pub fn measure<S>(count: usize, mut make: impl FnMut() -> S, mut work: impl FnMut(&mut S, usize)) -> Spread {
    let mut run = || {
        let mut state = make();
        let before = processor_time();
        for repetition in 0..count {
            work(&mut state, repetition);
        }
        let spent = processor_time().saturating_sub(before);
        spent.as_secs_f64() * 1e6 / count.max(1) as f64
    };
    Spread::of((0..RUNS).map(|_| run()).collect())
}
