//! Processor time of one thread, as medians of several runs: other work on the machine takes wall-clock time, but hardly
//! any of this.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Runs that a figure comes from.
const RUNS: usize = 9;

/// A median with the least and the greatest of the runs, in µs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The greatest.
    pub greatest: f64,
}

impl Spread {
    /// Of some runs' figures; all 0 of none.
    pub fn of(mut figures: Vec<f64>) -> Self {
        figures.sort_by(f64::total_cmp);
        let at = |place: usize| figures.get(place).copied().unwrap_or_default();
        Self { median: at(figures.len() / 2), least: at(0), greatest: at(figures.len().saturating_sub(1)) }
    }
}

/// Processor time that this thread has had.
fn processor_time() -> Duration {
    let spent = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(spent.tv_sec.max(0) as u64, spent.tv_nsec.max(0) as u32)
}

/// The processor time of `count` turns of some work, each run on a state of its own, in µs a turn.
pub fn measure<S>(count: usize, mut make: impl FnMut() -> S, mut work: impl FnMut(&mut S, usize)) -> Spread {
    let mut run = || {
        let mut state = make();
        let before = processor_time();
        for turn in 0..count {
            work(&mut state, turn);
        }
        let spent = processor_time().saturating_sub(before);
        spent.as_secs_f64() * 1e6 / count.max(1) as f64
    };
    Spread::of((0..RUNS).map(|_| run()).collect())
}
