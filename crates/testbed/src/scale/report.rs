//! What the process of hollow data planes tells the one that measures: a file that is written anew each second.

use crate::fault::Fault;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// How many.
    pub messages: u64,
    /// Their bytes, frames included.
    pub bytes: u64,
}

/// When one version of the configuration came to the data planes of a process, in seconds of the machine's steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// To the first of them.
    pub first: f64,
    /// To the last one so far.
    pub last: f64,
    /// To how many.
    pub count: usize,
}

/// All that is counted since the start of a process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// When it was written, in seconds of the machine's steady clock.
    pub at: f64,
    /// By kind.
    pub traffic: BTreeMap<String, Traffic>,
    /// By version.
    pub arrivals: BTreeMap<u64, Arrival>,
    /// Lease requests that got no answer.
    pub unanswered: u64,
    /// Times from lease requests to their answers, in µs, as counts of powers of two.
    pub waits: Vec<u64>,
}

/// Powers of two that waits are counted in: up to a minute.
const WAIT_CLASSES: usize = 27;

impl Report {
    /// A message of a kind.
    pub fn count(&mut self, kind: &str, bytes: usize) {
        let traffic = self.traffic.entry(kind.to_owned()).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    /// A lease request was answered after so many µs.
    pub fn waited(&mut self, micros: u64) {
        self.waits.resize(WAIT_CLASSES, 0);
        let class = (64 - micros.leading_zeros() as usize).min(WAIT_CLASSES - 1);
        if let Some(count) = self.waits.get_mut(class) {
            *count += 1;
        }
    }

    /// A version came to one more data plane.
    pub fn arrived(&mut self, version: u64, now: f64) {
        let arrival = self.arrivals.entry(version).or_insert(Arrival { first: now, last: now, count: 0 });
        arrival.last = arrival.last.max(now);
        arrival.count += 1;
    }

    /// What was counted after an earlier report; arrivals are those of all times.
    pub fn since(&self, before: &Self) -> Self {
        let mut after = self.clone();
        for (kind, traffic) in &mut after.traffic {
            let old = before.traffic.get(kind).copied().unwrap_or_default();
            traffic.messages = traffic.messages.saturating_sub(old.messages);
            traffic.bytes = traffic.bytes.saturating_sub(old.bytes);
        }
        for (count, old) in after.waits.iter_mut().zip(&before.waits) {
            *count = count.saturating_sub(*old);
        }
        after.unanswered = self.unanswered.saturating_sub(before.unanswered);
        after
    }

    /// Adds another process's report.
    pub fn add(&mut self, other: &Self) {
        for (kind, traffic) in &other.traffic {
            let sum = self.traffic.entry(kind.clone()).or_default();
            sum.messages += traffic.messages;
            sum.bytes += traffic.bytes;
        }
        for (version, arrival) in &other.arrivals {
            let sum = self.arrivals.entry(*version).or_insert(Arrival { count: 0, ..*arrival });
            sum.first = sum.first.min(arrival.first);
            sum.last = sum.last.max(arrival.last);
            sum.count += arrival.count;
        }
        self.waits.resize(self.waits.len().max(other.waits.len()), 0);
        self.waits.iter_mut().zip(&other.waits).for_each(|(sum, count)| *sum += count);
        self.unanswered += other.unanswered;
    }

    /// The time within which a share of the lease requests had their answer, in ms: the upper end of its class.
    pub fn wait_ms(&self, share: f64) -> f64 {
        let all: u64 = self.waits.iter().sum();
        let mut seen = 0;
        for (class, count) in self.waits.iter().enumerate() {
            seen += count;
            if all > 0 && seen as f64 >= all as f64 * share {
                return (1u64 << class) as f64 / 1000.0;
            }
        }
        0.0
    }

    /// Writes it aside and puts it in place, so that nobody reads half of one.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), Fault> {
        let aside = path.with_extension("part");
        let text = serde_json::to_vec(self).unwrap_or_default();
        std::fs::write(&aside, text).map_err(Fault::file(&aside))?;
        std::fs::rename(&aside, path).map_err(Fault::file(path))
    }

    /// Reads one; nothing before the first was written.
    pub fn read(path: &Path) -> Option<Self> {
        serde_json::from_slice(&std::fs::read(path).ok()?).ok()
    }
}

/// Seconds of the machine's steady clock, the same in all its processes.
pub fn steady_seconds() -> f64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}
