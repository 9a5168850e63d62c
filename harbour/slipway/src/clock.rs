//! Whether the tool itself kept its times: where it did not, it cannot judge others.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The tool looks at its own clock this often; later than [`MOST_LATE`], and it did not keep its times.
const TICK: Duration = Duration::from_millis(10);
/// See [`keeps_time`].
pub const MOST_LATE: Duration = Duration::from_millis(250);

/// Notes by how many microseconds the tool's own clock is late at the worst, until it is dropped.
pub async fn keeps_time(late: Arc<AtomicU64>) {
    let mut due = Instant::now() + TICK;
    loop {
        sleep_until(due).await;
        late.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
        due = Instant::now() + TICK;
    }
}
