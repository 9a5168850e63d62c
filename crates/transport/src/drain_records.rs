//! Drain records at a data plane, received from several control planes that share one Raft log.
//!
//! A drain record is the id of a backend that must receive no new requests, with its number in the order of the
//! log; see [`registry::DrainTable`].

use protocol::{Backend, FreshnessAnswer, Phase};
use registry::{DrainRun, DrainTable};

/// Milliseconds of the host's monotonic clock.
type Millis = u64;

/// A control plane may report a lower record number than a control plane queried before. If every answer reports a
/// lower number for this long, the Raft log with the higher record numbers has been replaced.
const LOG_REPLACEMENT_TIMEOUT_MS: Millis = 5000;

/// The drain records of a data plane.
#[derive(Debug, Default)]
pub struct DrainRecords {
    table: DrainTable,
    behind_since: Option<Millis>,
}

impl DrainRecords {
    /// Number of the newest record.
    pub fn last(&self) -> u64 {
        self.table.last()
    }

    /// Applies the records of an answer whose sender's state is confirmed by the leader. Returns the ids that are new
    /// here.
    pub fn apply_answer(&mut self, now: Millis, answer: &FreshnessAnswer) -> Vec<String> {
        if answer.last_drain < self.table.last() {
            let since = *self.behind_since.get_or_insert(now);
            if now < since + LOG_REPLACEMENT_TIMEOUT_MS {
                return Vec::new();
            }
        }
        self.behind_since = None;
        let run = DrainRun { after: answer.missing_after, ids: answer.missing.clone() };
        self.table.apply_run(&run, answer.last_drain)
    }

    /// Whether the table has all records that the sender of an answer had.
    pub fn is_complete(&self, answer: &FreshnessAnswer) -> bool {
        self.table.last() >= answer.last_drain
    }

    /// Marks the recorded backends among `backends` as draining, because the reporting control plane may lack
    /// records.
    pub fn apply_to(&self, backends: Vec<Backend>) -> Vec<Backend> {
        let mut backends = backends;
        for backend in backends.iter_mut().filter(|backend| self.table.contains(&backend.id)) {
            backend.phase = backend.phase.max(Phase::Draining);
        }
        backends
    }
}
