//! A Tokio clock that advances only when a test advances it.

use tokio::task::{LocalSet, spawn_blocking};

/// Runs a test on a single-threaded runtime with a paused clock.
pub fn with_paused_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        // While a blocking task runs, Tokio does not advance the paused clock to the next timer automatically.
        let (end, ended) = std::sync::mpsc::channel::<()>();
        let blocker = spawn_blocking(move || ended.recv().is_ok());
        test.await;
        drop(end);
        let _ = blocker.await;
    });
}
