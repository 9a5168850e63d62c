//! Time within the group. All durations are measured on the local monotonic clock; the wall clock is never used for
//! decisions.

use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A point in time on the clock of one machine, as the duration since an arbitrary origin.
pub type Moment = Duration;

/// A monotonic clock that keeps running while the machine is suspended and while the process is stopped.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The boot-time clock of the machine.
    Boot,
    /// A clock that a test sets, in microseconds.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Returns the current time.
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
