//! A simulated clock that advances only while sockets are polled, so that no test waits in real time.

use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_blocking, spawn_local, yield_now};

/// The step by which the clock advances.
const STEP: Duration = Duration::from_millis(1);
/// How often the sockets are polled before each step.
const POLLS_PER_STEP: usize = 4;

/// Runs a test on a single thread with the simulated clock.
pub fn run_on_simulated_clock<T>(test: impl Future<Output = T>) -> T {
    let runtime =
        Builder::new_current_thread().enable_all().start_paused(true).build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        // While a blocking task runs, the paused clock does not jump to the next timer by itself.
        let (end, ended) = std::sync::mpsc::channel::<()>();
        let clock_hold = spawn_blocking(move || ended.recv().is_ok());
        let clock = spawn_local(async {
            loop {
                for _ in 0..POLLS_PER_STEP {
                    yield_now().await;
                }
                tokio::time::advance(STEP).await;
            }
        });
        let result = test.await;
        clock.abort();
        drop(end);
        let _ = clock_hold.await;
        result
    })
}
