//! The table of backend instances.
//!
//! An instance is one run of a backend process; a restart creates another instance with another id. The call count
//! of an instance is the number of calls that it has made to the control plane. A draining instance finishes its
//! running requests and receives no new ones; an instance that is gone has ended, by its own word or because another
//! instance has its address. That an instance is silent is only what this process concludes from hearing nothing of it.
//! The conclusion is not sent to other control planes, and any newer call of the instance refutes it.

use crate::{DrainRun, DrainTable, Millis};
use protocol::{Backend, Phase};
use std::collections::BTreeMap;

/// A backend is overdue after this many missed heartbeats: one may be lost, and a second one sent to a control plane
/// that has just died.
const MAX_MISSED_HEARTBEATS: Millis = 3;
/// How long a heartbeat may take to arrive, because the backend tries one control plane after another.
const HEARTBEAT_TRANSIT_MS: Millis = 800;
/// A backend without heartbeats for this long counts as silent, so that the table stays bounded.
const SILENT_BACKEND_TIMEOUT_MS: Millis = 60_000;
/// How long an instance that is gone or silent is remembered: a delayed heartbeat must not restore the instance.
const GONE_RETENTION_MS: Millis = 60_000;
/// Maximum number of instances; further ones are ignored.
const MAX_INSTANCES: usize = 20_000;

struct Registration {
    backend: Backend,
    /// Time of the last heartbeat, here or at another process.
    last_contact_at: Millis,
    /// Time of the report that set `backend`. The remaining warm-up time counts from then.
    reported_at: Millis,
    /// Since when the backend counts as silent here. A newer call of the backend clears it.
    silent_since: Option<Millis>,
    /// Whether a heartbeat arrived here since the last [`BackendRegistry::take_heartbeats`].
    heartbeat_pending: bool,
    /// Whether this process has announced the current state to the other processes itself. The announcement of another
    /// process does not count, since that process may have reached only a few others.
    announced: bool,
}

/// Result of merging a report about a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The report changes which requests may be sent to the listed backends. All processes must learn of it.
    Changed(Vec<Backend>),
    /// The report changes nothing that other processes must learn of immediately.
    Refreshed,
    /// The backend is unknown.
    Ignored,
}

/// Backends that new drain records apply to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainOutcome {
    /// Known backends whose phase changed, in their new state.
    pub changed: Vec<Backend>,
    /// Ids of backends that this table does not know. Another process may know them.
    pub unknown: Vec<String>,
}

/// What a sweep of the table has found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SweepOutcome {
    /// Backends whose heartbeats are overdue now.
    pub overdue: Vec<Backend>,
    /// Backends that count as silent now.
    pub silent: Vec<Backend>,
}

/// All known backend instances.
pub struct BackendRegistry {
    /// Known backends by id.
    registrations: BTreeMap<String, Registration>,
    /// The drain records of the Raft log.
    drains: DrainTable,
    /// A backend without a heartbeat for this long is overdue.
    overdue_after: Millis,
    /// No silence counts from before this time.
    silence_counts_from: Millis,
}

impl BackendRegistry {
    /// Creates an empty registry of backends that send heartbeats at this interval.
    pub fn new(heartbeat_interval: Millis) -> Self {
        Self {
            registrations: BTreeMap::new(),
            drains: DrainTable::default(),
            overdue_after: heartbeat_interval * MAX_MISSED_HEARTBEATS + HEARTBEAT_TRANSIT_MS,
            silence_counts_from: 0,
        }
    }

    /// Records a heartbeat that a backend sent to this process.
    pub fn record_heartbeat(&mut self, now: Millis, backend: Backend) -> MergeOutcome {
        let outcome = self.merge(now, backend, true);
        match outcome {
            changed if changed.is_empty() => MergeOutcome::Refreshed,
            changed => MergeOutcome::Changed(changed),
        }
    }

    /// The drain records of the log.
    pub fn drains(&self) -> &DrainTable {
        &self.drains
    }

    /// Applies a log entry that records backends as draining.
    pub fn record_drains(&mut self, ids: &[String]) -> DrainOutcome {
        let mut drained = DrainOutcome::default();
        for id in ids {
            if self.drains.record(id) {
                self.drain(id, &mut drained);
            }
        }
        drained
    }

    /// Applies drain records of the leader, for a process without a Raft log; see [`DrainTable::apply_run`].
    pub fn sync_drains(&mut self, run: &DrainRun, last: u64) -> DrainOutcome {
        let mut drained = DrainOutcome::default();
        for id in self.drains.apply_run(run, last) {
            self.drain(&id, &mut drained);
        }
        drained
    }

    /// Replaces the drain records with those of a snapshot.
    pub fn restore_drains(&mut self, run: &DrainRun) -> DrainOutcome {
        let mut drained = DrainOutcome::default();
        self.drains = DrainTable::from_run(run);
        for id in &run.ids {
            self.drain(id, &mut drained);
        }
        drained
    }

    /// Ids of backends that are recorded as draining and otherwise unknown.
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

    /// A backend announces its end. A later heartbeat does not restore the instance. An unknown backend is ignored.
    pub fn record_departure(&mut self, now: Millis, id: &str) -> MergeOutcome {
        let Some(registration) = self.registrations.get_mut(id) else { return MergeOutcome::Ignored };
        registration.last_contact_at = now;
        // If another process reported the end, that process may have reached only a few others. So this process
        // announces the end again, unless it has announced the end itself before.
        let was_announced = std::mem::replace(&mut registration.announced, true);
        if registration.backend.phase == Phase::Gone && was_announced {
            return MergeOutcome::Refreshed;
        }
        registration.backend.phase = Phase::Gone;
        MergeOutcome::Changed(vec![registration.backend.clone()])
    }

    /// Merges backend states reported by another process. Returns the backends that changed. A state without an
    /// address announces a drain record to data planes and is skipped: this table gets drain records from the log
    /// only.
    pub fn merge_reports(&mut self, now: Millis, backends: Vec<Backend>) -> Vec<Backend> {
        let backends = backends.into_iter().filter(|backend| !backend.address.is_empty());
        backends.flat_map(|backend| self.merge(now, backend, false)).collect()
    }

    /// Merges heartbeats that another process received, given as backend ids and call counts. Returns the backends that
    /// were overdue until these heartbeats.
    pub fn merge_heartbeats(&mut self, now: Millis, heartbeats: &[(String, u64)]) -> Vec<Backend> {
        let mut recovered = Vec::new();
        for (id, calls) in heartbeats {
            let Some(registration) = self.registrations.get_mut(id) else { continue };
            if *calls > registration.backend.call_count {
                registration.backend.call_count = *calls;
                registration.last_contact_at = now;
                registration.silent_since = None;
                if std::mem::take(&mut registration.backend.overdue) {
                    recovered.push(registration.with_current_warmup(now));
                }
            }
        }
        recovered
    }

    /// Takes the heartbeats that arrived here since the last call, to be sent to the other processes: backend ids and
    /// call counts.
    pub fn take_heartbeats(&mut self) -> Vec<(String, u64)> {
        let heartbeats = |(id, registration): (&String, &mut Registration)| {
            std::mem::take(&mut registration.heartbeat_pending)
                .then(|| (id.clone(), registration.backend.call_count))
        };
        self.registrations.iter_mut().filter_map(heartbeats).collect()
    }

    /// Tells the table that this process lacks contact with the fleet. That explains the silence of any backend, so all
    /// silences count anew from now.
    pub fn disregard_silence(&mut self, now: Millis) {
        self.silence_counts_from = now;
    }

    /// Marks backends with missed heartbeats as overdue, then as silent, and forgets those that have been gone or
    /// silent for long.
    pub fn sweep(&mut self, now: Millis) -> SweepOutcome {
        let mut outcome = SweepOutcome::default();
        let silence_counts_from = self.silence_counts_from;
        self.registrations.retain(|_, registration| {
            let since_contact = now.saturating_sub(registration.last_contact_at);
            if registration.backend.phase == Phase::Gone {
                return since_contact < GONE_RETENTION_MS;
            }
            if let Some(since) = registration.silent_since {
                return now.saturating_sub(since) < GONE_RETENTION_MS;
            }
            if since_contact >= self.overdue_after && !registration.backend.overdue {
                registration.backend.overdue = true;
                outcome.overdue.push(registration.with_current_warmup(now));
            }
            let silence = since_contact.min(now.saturating_sub(silence_counts_from));
            if silence >= SILENT_BACKEND_TIMEOUT_MS {
                registration.silent_since = Some(now);
                outcome.silent.push(registration.with_current_warmup(now));
            }
            true
        });
        outcome
    }

    /// All backends that are neither gone nor silent, with their current warm-up time.
    pub fn active(&self, now: Millis) -> Vec<Backend> {
        self.reports(now, |registration| {
            registration.backend.phase != Phase::Gone && registration.silent_since.is_none()
        })
    }

    /// All backends including those that are gone, which another process must learn of as well. Those that are silent
    /// are left out: the other process judges their silence by what it hears itself.
    pub fn all_including_gone(&self, now: Millis) -> Vec<Backend> {
        self.reports(now, |registration| {
            registration.backend.phase == Phase::Gone || registration.silent_since.is_none()
        })
    }

    fn reports(&self, now: Millis, is_included: impl Fn(&Registration) -> bool) -> Vec<Backend> {
        let included = self.registrations.values().filter(|registration| is_included(registration));
        included.map(|registration| registration.with_current_warmup(now)).collect()
    }

    fn merge(&mut self, now: Millis, mut backend: Backend, is_local: bool) -> Vec<Backend> {
        let mut changed = Vec::new();
        backend.overdue = false;
        if self.drains.contains(&backend.id) {
            backend.phase = backend.phase.max(Phase::Draining);
        }
        let is_full = self.registrations.len() >= MAX_INSTANCES;
        match self.registrations.get_mut(&backend.id) {
            None if is_full => return changed,
            None => {
                changed.extend(self.end_predecessors(now, &backend));
                changed.push(backend.clone());
                let registration = Registration {
                    last_contact_at: now,
                    reported_at: now,
                    silent_since: None,
                    heartbeat_pending: is_local,
                    announced: is_local,
                    backend: backend.clone(),
                };
                self.registrations.insert(backend.id, registration);
            }
            Some(known) => {
                let old = known.backend.clone();
                let phase = old.phase.max(backend.phase);
                let newer = backend.call_count > old.call_count;
                let refuted = newer && known.silent_since.take().is_some();
                if newer {
                    (known.last_contact_at, known.reported_at) = (now, now);
                    known.heartbeat_pending |= is_local;
                    known.backend = backend;
                }
                known.backend.phase = phase;
                let without_counters =
                    |b: &Backend| Backend { call_count: 0, warmup_left_ms: 0, ..b.clone() };
                let differs = without_counters(&known.backend) != without_counters(&old);
                let is_announced = is_local && (newer || differs);
                if differs || refuted || is_announced && !known.announced {
                    changed.push(known.with_current_warmup(now));
                }
                known.announced = is_announced || known.announced && !differs;
            }
        }
        changed
    }

    /// Marks earlier instances at the address of a new instance as gone, whether or not they announced their end. An
    /// address is reused only seconds after the end of its previous instance. So if an instance at the address has sent
    /// a heartbeat recently, the "new" instance is an older one whose report was delayed, and nothing is marked.
    fn end_predecessors(&mut self, now: Millis, newcomer: &Backend) -> Vec<Backend> {
        if newcomer.phase == Phase::Gone {
            return Vec::new();
        }
        let mut ended = Vec::new();
        for registration in self.registrations.values_mut() {
            let silence = now.saturating_sub(registration.last_contact_at);
            let same_address =
                registration.backend.address == newcomer.address && registration.backend.phase != Phase::Gone;
            if same_address && silence >= self.overdue_after / MAX_MISSED_HEARTBEATS {
                registration.backend.phase = Phase::Gone;
                registration.last_contact_at = now;
                ended.push(registration.backend.clone());
            }
        }
        ended
    }
}

impl Registration {
    fn with_current_warmup(&self, now: Millis) -> Backend {
        let since = now.saturating_sub(self.reported_at).min(u64::from(u32::MAX)) as u32;
        let warmup_left_ms = self.backend.warmup_left_ms.saturating_sub(since);
        Backend { warmup_left_ms, ..self.backend.clone() }
    }
}
