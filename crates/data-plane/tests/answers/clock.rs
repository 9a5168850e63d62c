//! A clock that goes on only while sockets are served: no test waits for it.

use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_blocking, spawn_local, yield_now};

/// One step of the clock.
const STEP: Duration = Duration::from_millis(1);
/// So often the sockets are looked at for each step.
const LOOKS: usize = 4;

/// Runs a test on one thread with such a clock.
pub fn on_own_clock<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        // While a blocking task runs the paused clock does not jump to the next timer by itself.
        let (end, ended) = std::sync::mpsc::channel::<()>();
        let held = spawn_blocking(move || ended.recv().is_ok());
        let clock = spawn_local(async {
            loop {
                for _ in 0..LOOKS {
                    yield_now().await;
                }
                tokio::time::advance(STEP).await;
            }
        });
        let result = test.await;
        clock.abort();
        drop(end);
        let _ = held.await;
        result
    })
}
