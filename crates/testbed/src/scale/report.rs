//! Counts of a process of hollow data planes, written to a file every second for the measuring process.

use crate::error::TestbedError;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Number of bytes, including frames.
    pub bytes: u64,
}

/// Arrival of one configuration version at the data planes of a process, in seconds of the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Arrival at the first data plane.
    pub first: f64,
    /// Arrival at the last data plane so far.
    pub last: f64,
    /// Number of data planes that received the version.
    pub count: usize,
}

/// Counts since the start of a process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Time of writing, in seconds of the monotonic clock.
    pub at: f64,
    /// Traffic by kind of message.
    pub traffic: BTreeMap<String, Traffic>,
    /// Arrivals by configuration version.
    pub arrivals: BTreeMap<u64, Arrival>,
    /// Lease requests without an answer.
    pub unanswered: u64,
    /// Latency of lease requests: counts per power of two of microseconds.
    pub waits: Vec<u64>,
}

/// Number of latency classes; the last one starts at about 34 s.
const WAIT_CLASSES: usize = 27;

impl Report {
    /// Counts a message.
    pub fn count(&mut self, kind: &str, bytes: usize) {
        let traffic = self.traffic.entry(kind.to_owned()).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    /// Records the latency of an answered lease request.
    pub fn waited(&mut self, micros: u64) {
        self.waits.resize(WAIT_CLASSES, 0);
        let class = (64 - micros.leading_zeros() as usize).min(WAIT_CLASSES - 1);
        if let Some(count) = self.waits.get_mut(class) {
            *count += 1;
        }
    }

    /// Records the arrival of a version at one more data plane.
    pub fn arrived(&mut self, version: u64, now: f64) {
        let arrival = self.arrivals.entry(version).or_insert(Arrival { first: now, last: now, count: 0 });
        arrival.last = arrival.last.max(now);
        arrival.count += 1;
    }

    /// Subtracts an earlier report. Arrivals are not subtracted.
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

    /// Adds the report of another process.
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

    /// Latency quantile of lease requests in ms, as the upper end of its class.
    pub fn wait_ms(&self, share: f64) -> f64 {
        let all: u64 = self.waits.iter().sum();
        let mut counted = 0;
        for (class, count) in self.waits.iter().enumerate() {
            counted += count;
            if all > 0 && counted as f64 >= all as f64 * share {
                return (1u64 << class) as f64 / 1000.0;
            }
        }
        0.0
    }

    /// Writes to a temporary file and renames it, so that readers never see a partial file.
    ///
    /// # Errors
    /// Returns an error when the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), TestbedError> {
        let aside = path.with_extension("part");
        let text = serde_json::to_vec(self).unwrap_or_default();
        std::fs::write(&aside, text).map_err(TestbedError::file(&aside))?;
        std::fs::rename(&aside, path).map_err(TestbedError::file(path))
    }

    /// Reads a report; returns `None` before the first one is written.
    pub fn read(path: &Path) -> Option<Self> {
        serde_json::from_slice(&std::fs::read(path).ok()?).ok()
    }
}

/// Seconds of the system's monotonic clock, which all processes share.
pub fn steady_seconds() -> f64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}
