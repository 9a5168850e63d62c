//! The backends, each life of them once.

use crate::{DrainRun, DrainTable, Millis};
use protocol::{Backend, Phase};
use std::collections::BTreeMap;

/// After so many beats missed a backend is overdue: one may be lost, a second one sent to a gateway that is gone.
const MISSED: Millis = 3;
/// A beat may be on its way, tried at one gateway after another, for this long.
const ON_THE_WAY: Millis = 800;
/// After so long without a word a life counts as over, so that tables stay bounded.
const OVER: Millis = 60_000;
/// A life that is over is remembered for this long: a late beat of it must not bring it back.
const REMEMBERED: Millis = 60_000;
/// More lives than this at a time are not taken in.
const MOST: usize = 20_000;

struct Registration {
    backend: Backend,
    /// When it was last heard, here or elsewhere.
    heard: Millis,
    /// When the word that is kept was said: its warm-up counts from then.
    said: Millis,
    /// Whether it was heard here since the last round to others.
    news: bool,
    /// Whether this process has told the others of what is kept, and not heard it from one of them: who told it may have
    /// reached few.
    announced: bool,
}

/// What became of a word about a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It changes what requests may be sent: all should know.
    Changed(Vec<Backend>),
    /// Nothing but that it lives.
    Refreshed,
    /// It is older than what is known, or the table is full.
    Ignored,
}

/// Backends that are recorded as leaving from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainOutcome {
    /// Those that are known, as they are now.
    pub changed: Vec<Backend>,
    /// The ids of those that are not: somebody else may know them.
    pub unknown: Vec<String>,
}

/// All lives of backends that are known.
pub struct BackendRegistry {
    registrations: BTreeMap<String, Registration>,
    drains: DrainTable,
    overdue_after: Millis,
}

impl BackendRegistry {
    /// An empty register of backends that beat this often.
    pub fn new(beat_interval: Millis) -> Self {
        Self {
            registrations: BTreeMap::new(),
            drains: DrainTable::default(),
            overdue_after: beat_interval * MISSED + ON_THE_WAY,
        }
    }

    /// A beat came here.
    pub fn record_heartbeat(&mut self, now: Millis, backend: Backend) -> MergeOutcome {
        let judgement = self.merge(now, backend, true);
        match judgement {
            changed if changed.is_empty() => MergeOutcome::Refreshed,
            changed => MergeOutcome::Changed(changed),
        }
    }

    /// The records of the log of backends that leave.
    pub fn drains(&self) -> &DrainTable {
        &self.drains
    }

    /// An entry of the log records these backends as leaving.
    pub fn record_drains(&mut self, ids: &[String]) -> DrainOutcome {
        let mut drained = DrainOutcome::default();
        for id in ids {
            if self.drains.record(id) {
                self.drain(id, &mut drained);
            }
        }
        drained
    }

    /// The leader's records, for a process without a log: see [`DrainTable::follow`].
    pub fn sync_drains(&mut self, run: &DrainRun, last: u64) -> DrainOutcome {
        let mut drained = DrainOutcome::default();
        for id in self.drains.apply_run(run, last) {
            self.drain(&id, &mut drained);
        }
        drained
    }

    /// A snapshot's records take the place of those here.
    pub fn restore_drains(&mut self, run: &DrainRun) -> DrainOutcome {
        let mut drained = DrainOutcome::default();
        self.drains = DrainTable::from_run(run);
        for id in &run.ids {
            self.drain(id, &mut drained);
        }
        drained
    }

    /// The ids of backends that are recorded as leaving and not known otherwise.
    pub fn unknown_draining(&self) -> Vec<String> {
        let ids = self.drains.run().ids.into_iter();
        ids.filter(|id| !self.registrations.contains_key(id)).collect()
    }

    fn drain(&mut self, id: &str, drained: &mut DrainOutcome) {
        match self.registrations.get_mut(id) {
            Some(known) if known.backend.phase == Phase::Serving => {
                known.backend.phase = Phase::Draining;
                drained.changed.push(known.backend.clone());
            }
            Some(_) => {}
            None => drained.unknown.push(id.to_owned()),
        }
    }

    /// A backend says that it ends. One that nobody knows has ended all the same: a late beat must not bring it up.
    pub fn record_departure(&mut self, now: Millis, id: &str) -> MergeOutcome {
        let Some(registration) = self.registrations.get_mut(id) else { return MergeOutcome::Ignored };
        registration.heard = now;
        // What came by hearsay may have reached few.
        let is_told = std::mem::replace(&mut registration.announced, true);
        if registration.backend.phase == Phase::Gone && is_told {
            return MergeOutcome::Refreshed;
        }
        registration.backend.phase = Phase::Gone;
        MergeOutcome::Changed(vec![registration.backend.clone()])
    }

    /// Words of another process; gives what they change. One without an address names a record of a backend that leaves,
    /// for followers: records come to this table by the log only.
    pub fn merge_reports(&mut self, now: Millis, backends: Vec<Backend>) -> Vec<Backend> {
        let backends = backends.into_iter().filter(|backend| !backend.address.is_empty());
        backends.flat_map(|backend| self.merge(now, backend, false)).collect()
    }

    /// Another process has heard these since its last round; gives those that were overdue here.
    pub fn merge_heartbeats(&mut self, now: Millis, heard: &[(String, u64)]) -> Vec<Backend> {
        let mut back = Vec::new();
        for (id, calls) in heard {
            let Some(registration) = self.registrations.get_mut(id) else { continue };
            if *calls > registration.backend.call_count {
                registration.backend.call_count = *calls;
                registration.heard = now;
                if std::mem::take(&mut registration.backend.overdue) {
                    back.push(registration.shown(now));
                }
            }
        }
        back
    }

    /// Those that were heard here since the last round, for the other processes.
    pub fn take_heartbeats(&mut self) -> Vec<(String, u64)> {
        let heard = |(id, m): (&String, &mut Registration)| {
            std::mem::take(&mut m.news).then(|| (id.clone(), m.backend.call_count))
        };
        self.registrations.iter_mut().filter_map(heard).collect()
    }

    /// Marks those whose beats are missed, and ends and forgets old lives; gives what changed.
    pub fn sweep(&mut self, now: Millis) -> Vec<Backend> {
        let mut changed = Vec::new();
        self.registrations.retain(|_, registration| {
            let silent = now.saturating_sub(registration.heard);
            if registration.backend.phase == Phase::Gone {
                return silent < REMEMBERED;
            }
            if silent >= OVER {
                registration.backend.phase = Phase::Gone;
                registration.heard = now;
                changed.push(registration.shown(now));
            } else if silent >= self.overdue_after && !registration.backend.overdue {
                registration.backend.overdue = true;
                changed.push(registration.shown(now));
            }
            true
        });
        changed
    }

    /// All lives that are not over, as they stand now.
    pub fn active(&self, now: Millis) -> Vec<Backend> {
        self.registrations.values().filter(|m| m.backend.phase != Phase::Gone).map(|m| m.shown(now)).collect()
    }

    /// All lives, those that are over too: another process has to learn of these as well.
    pub fn all_including_gone(&self, now: Millis) -> Vec<Backend> {
        self.registrations.values().map(|m| m.shown(now)).collect()
    }

    fn merge(&mut self, now: Millis, mut backend: Backend, here: bool) -> Vec<Backend> {
        let mut changed = Vec::new();
        backend.overdue = false;
        if self.drains.contains(&backend.id) {
            backend.phase = backend.phase.max(Phase::Draining);
        }
        let full = self.registrations.len() >= MOST;
        match self.registrations.get_mut(&backend.id) {
            None if full => return changed,
            None => {
                changed.extend(self.evict(now, &backend));
                changed.push(backend.clone());
                let registration = Registration {
                    heard: now,
                    said: now,
                    news: here,
                    announced: here,
                    backend: backend.clone(),
                };
                self.registrations.insert(backend.id, registration);
            }
            Some(known) => {
                let old = known.backend.clone();
                let phase = old.phase.max(backend.phase);
                let newer = backend.call_count > old.call_count;
                if newer {
                    (known.heard, known.said) = (now, now);
                    known.news |= here;
                    known.backend = backend;
                }
                known.backend.phase = phase;
                let plain = |b: &Backend| Backend { call_count: 0, warmup_left_ms: 0, ..b.clone() };
                let differs = plain(&known.backend) != plain(&old);
                let is_announced = here && (newer || differs);
                if differs || is_announced && !known.announced {
                    changed.push(known.shown(now));
                }
                known.announced = is_announced || known.announced && !differs;
            }
        }
        changed
    }

    /// A new life at an address: whatever was there before has ended, said so or not. Addresses are used again only
    /// after seconds, so one heard just now is not the older one: the newcomer is a late word then.
    fn evict(&mut self, now: Millis, newcomer: &Backend) -> Vec<Backend> {
        if newcomer.phase == Phase::Gone {
            return Vec::new();
        }
        let mut ended = Vec::new();
        for registration in self.registrations.values_mut() {
            let silent = now.saturating_sub(registration.heard);
            let same =
                registration.backend.address == newcomer.address && registration.backend.phase != Phase::Gone;
            if same && silent >= self.overdue_after / MISSED {
                registration.backend.phase = Phase::Gone;
                registration.heard = now;
                ended.push(registration.backend.clone());
            }
        }
        ended
    }
}

impl Registration {
    fn shown(&self, now: Millis) -> Backend {
        let since = now.saturating_sub(self.said).min(u64::from(u32::MAX)) as u32;
        let warmup_left_ms = self.backend.warmup_left_ms.saturating_sub(since);
        Backend { warmup_left_ms, ..self.backend.clone() }
    }
}
