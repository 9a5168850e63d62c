//! All processes that a tool has started and that still run, so that none outlives it.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, Once, PoisonError};

static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process has been started.
pub fn add(pid: u32) {
    running().insert(pid);
}

/// A process has ended, or is about to be killed.
pub fn remove(pid: u32) {
    running().remove(&pid);
}

/// Kills all processes that were started here and still run.
pub fn kill_all() {
    for pid in std::mem::take(&mut *running()) {
        signal(pid, Signal::KILL);
    }
}

/// From now on a panic ends all processes too: a program that aborts on panics runs no destructors.
pub fn kill_all_on_panic() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let before = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            kill_all();
            before(info);
        }));
    });
}

/// Sends a signal; one to a process that has just ended goes nowhere.
pub fn signal(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}
