//! What a relay knows: backends, the last changes of them, and the newest configuration.

use protocol::relay::{Batch, Mark, Word};
use protocol::{Backend, ConfigSnapshot, Phase};
use std::collections::{BTreeMap, VecDeque};

/// So many changes are kept for those that missed some.
const KEPT: usize = 256;

#[derive(Debug)]
pub(crate) struct Chart {
    mark: Mark,
    backends: BTreeMap<String, Backend>,
    kept: VecDeque<Batch>,
    config_snapshot: Option<ConfigSnapshot>,
}

/// What becomes of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// It is the next one.
    Next,
    /// It was taken before.
    Old,
    /// Something is missing before it.
    Gap,
}

impl Chart {
    pub(crate) fn new(mark: Mark) -> Self {
        Self { mark, backends: BTreeMap::new(), kept: VecDeque::new(), config_snapshot: None }
    }

    pub(crate) fn mark(&self) -> Mark {
        self.mark
    }

    pub(crate) fn version(&self) -> u64 {
        self.config_snapshot.as_ref().map_or(0, |config_snapshot| config_snapshot.version)
    }

    /// A root's own change: it gets the next number.
    pub(crate) fn change(&mut self, mut backends: Vec<Backend>) -> Batch {
        // A stable order: what must be sent nothing new is known before whatever may take its place.
        backends.sort_by_key(|backend| backend.phase == Phase::Serving);
        let mark = Mark { sequence: self.mark.sequence + 1, ..self.mark };
        let batch = Batch { mark, backends };
        self.take(batch.clone());
        batch
    }

    pub(crate) fn order(&self, mark: Mark) -> Order {
        if mark.epoch != self.mark.epoch || mark.sequence > self.mark.sequence + 1 {
            Order::Gap
        } else if mark.sequence <= self.mark.sequence {
            Order::Old
        } else {
            Order::Next
        }
    }

    /// Takes the next batch.
    pub(crate) fn take(&mut self, batch: Batch) {
        self.mark = batch.mark;
        for backend in &batch.backends {
            self.put(backend.clone());
        }
        self.kept.push_back(batch);
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    fn put(&mut self, backend: Backend) {
        if backend.phase == Phase::Gone {
            self.backends.remove(&backend.id);
        } else {
            self.backends.insert(backend.id.clone(), backend);
        }
    }

    /// Takes a list of all; false when it is older than what is here.
    pub(crate) fn replace(&mut self, all: &Batch) -> bool {
        if all.mark.epoch == self.mark.epoch && all.mark.sequence <= self.mark.sequence {
            return false;
        }
        self.mark = all.mark;
        self.kept.clear();
        self.backends.clear();
        all.backends.iter().for_each(|backend| self.put(backend.clone()));
        true
    }

    /// Takes a configuration; false when it is none newer.
    pub(crate) fn config_snapshot(&mut self, config_snapshot: &ConfigSnapshot) -> bool {
        let newer = config_snapshot.version > self.version();
        if newer {
            self.config_snapshot = Some(config_snapshot.clone());
        }
        newer
    }

    /// All that somebody lacks who has that much: the changes since, or where they are not kept, everything.
    pub(crate) fn since(&self, mark: Mark, version: u64) -> Vec<Word> {
        let mut words = Vec::new();
        if let Some(config_snapshot) =
            self.config_snapshot.as_ref().filter(|config_snapshot| config_snapshot.version > version)
        {
            words.push(Word::ConfigSnapshot(config_snapshot.clone()));
        }
        if self.mark.epoch == 0 || mark.epoch == self.mark.epoch && mark.sequence >= self.mark.sequence {
            return words;
        }
        let oldest = self.kept.front().map_or(u64::MAX, |batch| batch.mark.sequence);
        if mark.epoch == self.mark.epoch && oldest <= mark.sequence + 1 {
            let missed = self.kept.iter().filter(|batch| batch.mark.sequence > mark.sequence);
            words.extend(missed.cloned().map(Word::Batch));
        } else {
            let backends = self.backends.values().cloned().collect();
            words.push(Word::Whole(Batch { mark: self.mark, backends }));
        }
        words
    }
}
