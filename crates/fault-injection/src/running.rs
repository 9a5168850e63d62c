//! Tracks the child processes of a test tool, so that the tool can kill all of them before it exits.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, Once, PoisonError};

static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Records a started child process.
pub fn add(pid: u32) {
    running().insert(pid);
}

/// Removes a child process that has exited or that the caller is about to kill.
pub fn remove(pid: u32) {
    running().remove(&pid);
}

/// Kills all recorded child processes.
pub fn kill_all() {
    for pid in std::mem::take(&mut *running()) {
        signal(pid, Signal::KILL);
    }
}

/// Installs a panic hook that kills all recorded child processes. Destructors are not enough, because a program that
/// aborts on panic does not run them.
pub fn kill_all_on_panic() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let previous_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            kill_all();
            previous_hook(info);
        }));
    });
}

/// Sends a signal to a process. Has no effect when the process has already exited.
pub fn signal(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}
