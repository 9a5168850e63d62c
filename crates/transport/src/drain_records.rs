//! The records of backends that leave, at a data plane: what some processes of control say of one log.

use protocol::{Backend, FreshnessAnswer, Phase};
use registry::{DrainRun, DrainTable};

/// Milliseconds of the host's steady clock.
type Millis = u64;

/// Who answers may have fewer records than another one that was asked before. If all have fewer for as long as this, in
/// ms, the log of the former numbers is no more.
const LOG_REPLACED: Millis = 5000;

/// The records that a data plane has.
#[derive(Debug, Default)]
pub struct DrainRecords {
    table: DrainTable,
    fewer_since: Option<Millis>,
}

impl DrainRecords {
    /// The number of the newest one.
    pub fn last(&self) -> u64 {
        self.table.last()
    }

    /// Takes over what an answer brings, if its sender is in touch with the leader; gives the ids that are new here.
    pub fn take(&mut self, now: Millis, answer: &FreshnessAnswer) -> Vec<String> {
        if answer.last_drain < self.table.last() {
            let since = *self.fewer_since.get_or_insert(now);
            if now < since + LOG_REPLACED {
                return Vec::new();
            }
        }
        self.fewer_since = None;
        let run = DrainRun { after: answer.missing_after, ids: answer.missing.clone() };
        self.table.apply_run(&run, answer.last_drain)
    }

    /// Whether all are here that the sender of an answer had.
    pub fn is_complete(&self, answer: &FreshnessAnswer) -> bool {
        self.table.last() >= answer.last_drain
    }

    /// Backends as they are by these records: who tells of them may have heard less.
    pub fn applied(&self, backends: Vec<Backend>) -> Vec<Backend> {
        let mut backends = backends;
        for backend in backends.iter_mut().filter(|backend| self.table.contains(&backend.id)) {
            backend.phase = backend.phase.max(Phase::Draining);
        }
        backends
    }
}
