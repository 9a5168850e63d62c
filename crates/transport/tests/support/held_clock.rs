//! A clock that goes on only where a test says so.

use tokio::task::{LocalSet, spawn_blocking};

/// Runs a test on the one thread of a runtime whose clock stands still.
pub fn on_held_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        // While a blocking task runs the paused clock does not jump to the next timer by itself.
        let (end, ended) = std::sync::mpsc::channel::<()>();
        let held = spawn_blocking(move || ended.recv().is_ok());
        test.await;
        drop(end);
        let _ = held.await;
    });
}
