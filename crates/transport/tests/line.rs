//! A frame of megabytes on a slow link goes through for as long as the peer takes some of it.

use std::time::Duration;
use tokio::io::{AsyncReadExt, duplex};
use tokio::time::{Instant, sleep};
use transport::write_while_taken;

/// What the link takes at once, in bytes.
const AT_ONCE: usize = 8 * 1024;

/// Whether two megabytes go through to a peer that takes `AT_ONCE` bytes each `pause`, until it has `at_most`.
async fn goes_through(pause: Duration, at_most: usize) -> (bool, Duration) {
    let (mut near, mut far) = duplex(AT_ONCE);
    let reader = tokio::spawn(async move {
        let (mut taken, mut bytes) = (0, vec![0; AT_ONCE]);
        while taken < at_most {
            sleep(pause).await;
            match far.read(&mut bytes).await {
                Ok(read) if read > 0 => taken += read,
                _ => return,
            }
        }
        std::future::pending::<()>().await;
    });
    let began = Instant::now();
    let whole = write_while_taken(&mut near, &vec![7; 2 << 20]).await;
    reader.abort();
    (whole, began.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_slow_link_is_no_lost_one() {
    // 2 Mbit/s.
    let (whole, took) = goes_through(Duration::from_millis(32), usize::MAX).await;
    assert!(whole && took > Duration::from_secs(8), "{whole} after {took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_takes_nothing_is_lost() {
    let (whole, took) = goes_through(Duration::from_millis(32), 1 << 20).await;
    assert!(!whole && took < Duration::from_secs(7), "{whole} after {took:?}");
}
