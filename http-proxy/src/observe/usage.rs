//! Resource usage of the process: connections by purpose, reuse, counter calls and requests, and the kernel's figures
//! for CPU time, memory and file descriptors.
//!
//! Invariants: the owner of a connection holds its [`OpenConnection`], so the count of each purpose is the number of
//! live connections; handling a request only increments counters; the kernel is queried only when the metrics are read.

use serde_json::{Map, Value, json};
use std::cell::Cell;
use std::fs;
use std::rc::Rc;

/// The unit of CPU time in /proc, in ms: Linux uses 100 ticks per second on every machine.
const TICK_MS: u64 = 10;

/// The purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// From a client.
    Client,
    /// To a backend.
    Backend,
    /// To the counter.
    Counter,
    /// To the discovery service.
    Discovery,
    /// From an operator.
    Console,
}

const CONNECTION_USES: [(&str, ConnectionUse); 5] = [
    ("clients", ConnectionUse::Client),
    ("backends", ConnectionUse::Backend),
    ("counter", ConnectionUse::Counter),
    ("discovery", ConnectionUse::Discovery),
    ("console", ConnectionUse::Console),
];

/// Counters since the start of the process.
#[derive(Default)]
pub struct ResourceUsage {
    open: [Cell<u64>; CONNECTION_USES.len()],
    opened: [Cell<u64>; CONNECTION_USES.len()],
    reused: Cell<u64>,
    counter_calls: Cell<u64>,
    requests: Cell<u64>,
}

/// Counts a connection as open until dropped.
pub struct OpenConnection {
    usage: Rc<ResourceUsage>,
    purpose: ConnectionUse,
}

impl OpenConnection {
    /// Counts another connection of the same purpose.
    pub(crate) fn another(&self) -> Self {
        self.usage.connection_opened(self.purpose)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.usage.open[self.purpose as usize].update(|n| n - 1);
    }
}

impl ResourceUsage {
    /// Counts a connection that was established.
    pub fn connection_opened(self: &Rc<Self>, purpose: ConnectionUse) -> OpenConnection {
        self.open[purpose as usize].update(|n| n + 1);
        self.opened[purpose as usize].update(|n| n + 1);
        OpenConnection { usage: self.clone(), purpose }
    }

    /// Counts the reuse of an idle connection to a backend.
    pub fn connection_reused(&self) {
        self.reused.update(|n| n + 1);
    }

    /// Counts a call of the counter.
    pub fn counter_called(&self) {
        self.counter_calls.update(|n| n + 1);
    }

    /// Counts a received request, whatever its outcome.
    pub fn request_received(&self) {
        self.requests.update(|n| n + 1);
    }

    /// All counters and the kernel's current figures as JSON.
    pub fn to_json(&self) -> Value {
        let by_use = |counts: &[Cell<u64>]| -> Map<String, Value> {
            CONNECTION_USES
                .iter()
                .map(|(name, purpose)| ((*name).to_owned(), counts[*purpose as usize].get().into()))
                .collect()
        };
        let kernel = Kernel::now();
        let mut descriptors = by_use(&self.open);
        let counted: u64 = self.open.iter().map(Cell::get).sum();
        descriptors.insert("other".into(), kernel.descriptors.map(|all| all.saturating_sub(counted)).into());
        json!({
            "user_ms": kernel.user_ms,
            "system_ms": kernel.system_ms,
            "resident_kb": kernel.resident_kb,
            "peak_kb": kernel.peak_kb,
            "descriptors": descriptors,
            "opened": by_use(&self.opened),
            "reused": self.reused.get(),
            "counter_calls": self.counter_calls.get(),
            "requests": self.requests.get(),
        })
    }
}

/// The kernel's figures for this process; `None` for those that cannot be read.
#[derive(Debug, Default, PartialEq, Eq)]
struct Kernel {
    user_ms: Option<u64>,
    system_ms: Option<u64>,
    resident_kb: Option<u64>,
    peak_kb: Option<u64>,
    descriptors: Option<u64>,
}

impl Kernel {
    fn now() -> Self {
        let text = |name| fs::read_to_string(name).unwrap_or_default();
        // Reading the directory itself uses one descriptor.
        let descriptors = fs::read_dir("/proc/self/fd").ok().map(|entries| entries.count() as u64 - 1);
        Self { descriptors, ..Self::parse(&text("/proc/self/stat"), &text("/proc/self/status")) }
    }

    fn parse(stat: &str, status: &str) -> Self {
        // The program name is in parentheses and may contain any character; user and system time are the 12th and 13th
        // fields after it.
        let fields = stat.rsplit_once(')').map(|(_, rest)| rest);
        let time = |at| fields?.split_ascii_whitespace().nth(at)?.parse::<u64>().ok()?.checked_mul(TICK_MS);
        let size = |key| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            line.split_ascii_whitespace().next()?.parse().ok()
        };
        Self {
            user_ms: time(11),
            system_ms: time(12),
            resident_kb: size("VmRSS:"),
            peak_kb: size("VmHWM:"),
            descriptors: None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn kernel_figures_are_parsed_for_any_program_name() {
        let stat = "7 (a) R 9) S 1 7 7 0 -1 4194560 89 0 0 0 31 12 0 0 20 0 1 0 5 8192 700 1844";
        let status = "Name:\ta\nVmPeak:\t 9 kB\nVmHWM:\t 4321 kB\nVmRSS:\t 1234 kB\n";
        let expected = Kernel {
            user_ms: Some(310),
            system_ms: Some(120),
            resident_kb: Some(1234),
            peak_kb: Some(4321),
            descriptors: None,
        };
        assert_eq!(Kernel::parse(stat, status), expected);
        for junk in ["", ")", "7 (x) S 1 2", "7 (x) S 1 7 7 0 -1 4194560 89 0 0 0 x 99999999999999999999"] {
            assert_eq!(Kernel::parse(junk, junk), Kernel::default(), "{junk}");
        }
    }

    #[test]
    fn connections_are_counted_until_dropped() {
        let usage = Rc::<ResourceUsage>::default();
        let (one, two) =
            (usage.connection_opened(ConnectionUse::Client), usage.connection_opened(ConnectionUse::Client));
        drop(one);
        let value = usage.to_json();
        assert_eq!((&value["descriptors"]["clients"], &value["opened"]["clients"]), (&json!(1), &json!(2)));
        drop(two);
        assert_eq!(usage.to_json()["descriptors"]["clients"], 0);
    }
}
