//! Measures delays of the test tool itself: a late event loop and slow disk writes. When the tool was delayed too much,
//! its verdict on the tested processes is not valid.

use std::io::{self, Write as _};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Period of the timer whose delay [`measure_clock_delay`] measures.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest timer delay, as measured by [`measure_clock_delay`], at which the tool's verdict is valid.
pub const MAX_CLOCK_DELAY: Duration = Duration::from_millis(250);

/// Pause between the test writes of [`measure_write_time`], and interval at which a write in progress is measured.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest write time, as measured by [`measure_write_time`], at which the tool's verdict is valid. Slower writes also
/// delay the tested processes that wait for the same disk.
pub const MAX_WRITE_TIME: Duration = Duration::from_millis(1500);

/// Stores in `max_micros` the longest time, in microseconds, that writing and syncing a small file at `path` has taken.
/// A write in progress counts with its time so far. Runs until the future is dropped.
pub async fn measure_write_time(path: PathBuf, max_micros: Arc<AtomicU64>) {
    loop {
        let (path, started) = (path.clone(), Instant::now());
        let mut write = tokio::task::spawn_blocking(move || -> io::Result<()> {
            let mut file = std::fs::File::create(path)?;
            file.write_all(b"here")?;
            file.sync_all()
        });
        loop {
            let done = tokio::time::timeout(WRITE_INTERVAL, &mut write).await.is_ok();
            max_micros.fetch_max(started.elapsed().as_micros() as u64, Ordering::Relaxed);
            if done {
                break;
            }
        }
        sleep(WRITE_INTERVAL).await;
    }
}

/// Stores in `max_micros` the longest delay of a timer of this runtime, in microseconds. Runs until the future is
/// dropped.
pub async fn measure_clock_delay(max_micros: Arc<AtomicU64>) {
    let mut due = Instant::now() + TICK_INTERVAL;
    loop {
        sleep_until(due).await;
        max_micros.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
        due = Instant::now() + TICK_INTERVAL;
    }
}
