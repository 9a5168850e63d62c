//! Time in the group: durations on one monotonic clock of each machine. The system's time of day decides nothing.

use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A moment on one machine's clock, as time since some beginning of its own.
pub type Moment = Duration;

/// A monotonic clock that goes on while the machine is suspended and while the process is stopped.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The machine's.
    Boot,
    /// One that a test moves, in microseconds.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Moment {
        match self {
            Self::Boot => {
                let time = clock_gettime(ClockId::Boottime);
                let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
                Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
            }
            Self::Manual(micros) => Duration::from_micros(micros.load(Ordering::SeqCst)),
        }
    }
}
