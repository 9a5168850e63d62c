//! Whether the tool itself kept its times: where it did not, it cannot judge others.

use std::io::{self, Write as _};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The tool looks at its own clock this often; later than [`MAX_CLOCK_DELAY`], and it did not keep its times.
const TICK: Duration = Duration::from_millis(10);
/// See [`measure_clock_delay`].
pub const MAX_CLOCK_DELAY: Duration = Duration::from_millis(250);

/// How often the disk is tried; where a few bytes took longer than [`MAX_WRITE_TIME`], whoever waits for it was held up.
const TRIES: Duration = Duration::from_millis(250);
/// See [`measure_write_time`].
pub const MAX_WRITE_TIME: Duration = Duration::from_millis(1500);

/// Notes how many microseconds it took at the worst to put a few bytes on the disk, until it is dropped; one that is
/// under way counts as well.
pub async fn measure_write_time(path: PathBuf, stuck: Arc<AtomicU64>) {
    loop {
        let (path, begun) = (path.clone(), Instant::now());
        let mut write = tokio::task::spawn_blocking(move || -> io::Result<()> {
            let mut file = std::fs::File::create(path)?;
            file.write_all(b"here")?;
            file.sync_all()
        });
        loop {
            let done = tokio::time::timeout(TRIES, &mut write).await.is_ok();
            stuck.fetch_max(begun.elapsed().as_micros() as u64, Ordering::Relaxed);
            if done {
                break;
            }
        }
        sleep(TRIES).await;
    }
}

/// Notes by how many microseconds the tool's own clock is late at the worst, until it is dropped.
pub async fn measure_clock_delay(late: Arc<AtomicU64>) {
    let mut due = Instant::now() + TICK;
    loop {
        sleep_until(due).await;
        late.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
        due = Instant::now() + TICK;
    }
}
