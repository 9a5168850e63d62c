//! The known backend instances, built from updates of the control plane. An instance is one run of a backend process; a
//! restarted backend is a new instance with a new id. An instance has ended once its phase is `Phase::Gone`.
//!
//! Updates can arrive out of order and from sources that lag behind. Of two updates on one instance the one with the
//! higher call count wins, and the phase of an instance only moves forward, so that an outdated list reverts nothing.

use config::Detours;
use doorcourse::{BackendState, Name};
use protocol::{Backend, Phase};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How many ended instances are remembered, so that an outdated update cannot bring them back.
const MAX_ENDED_INSTANCES: usize = 1024;
/// The longest warmup of a backend.
pub const MAX_WARMUP: Duration = Duration::from_secs(10);

/// One backend instance: a backend process from its start to its end.
#[derive(Clone, Debug)]
pub struct Instance {
    pub service: Name,
    pub zone: Name,
    /// The address to connect to, after detours.
    pub address: SocketAddr,
    pub phase: Phase,
    /// The highest call count received. A backend raises the count with each of its calls to the control plane, so
    /// an update with a lower count is older.
    pub call_count: u64,
    /// Whether the heartbeats of the instance are overdue.
    pub overdue: bool,
    /// How many requests the instance handles at once. Set only in the first update on the instance.
    pub initial_capacity: Option<u32>,
    /// When the warmup ends.
    warm_at: Instant,
    /// When the warmup began. Set only if the instance receives reduced load until the warmup ends.
    pub reduced_load_since: Option<Instant>,
    /// The call count known at the time when another instance answered at this address.
    misdirected_at: Option<u64>,
    /// Whether the newest full list, or a change after that list, names the instance.
    listed: bool,
}

impl Instance {
    /// The state of the instance for load balancing.
    pub fn state(&self) -> BackendState {
        match self.phase {
            _ if self.misdirected_at.is_some() || !self.listed => BackendState::Gone,
            Phase::Serving => BackendState::Ready,
            Phase::Draining => BackendState::Draining,
            Phase::Gone => BackendState::Gone,
        }
    }
}

/// All known backend instances.
#[derive(Default)]
pub struct InstanceTable {
    instances: HashMap<Name, Instance>,
    /// Ended instances and instances missing from the newest full list, oldest first.
    ended: VecDeque<Name>,
    detours: Detours,
}

impl InstanceTable {
    /// An empty table. Instances are dialled at the addresses that `detours` gives.
    pub fn with_detours(detours: Detours) -> Self {
        Self { detours, ..Self::default() }
    }

    /// Applies a full list (`whole`) or a list of changes, and returns the instances whose effective state changed.
    pub fn update(&mut self, backends: &[Backend], whole: bool) -> Vec<(Name, Instance)> {
        let mut changed = Vec::new();
        if whole {
            let listed: HashSet<&str> = backends.iter().map(|backend| &*backend.id).collect();
            for (id, instance) in &mut self.instances {
                if instance.phase != Phase::Gone && instance.listed && !listed.contains(&**id) {
                    // The list may be outdated: a missing instance becomes unlisted, not ended (`Phase::Gone`).
                    instance.listed = false;
                    changed.push((id.clone(), instance.clone()));
                }
            }
            changed.iter().for_each(|(id, _)| self.remember_ended(id));
        }
        for backend in backends {
            changed.extend(self.apply(backend));
        }
        for (id, added) in changed.iter_mut().filter(|(_, instance)| instance.initial_capacity.is_some()) {
            added.reduced_load_since = self.reduced_load_since(added);
            self.instances
                .get_mut(id)
                .into_iter()
                .for_each(|instance| instance.reduced_load_since = added.reduced_load_since);
        }
        changed
    }

    /// Applies an update on one instance. Returns the instance if its effective state changed.
    fn apply(&mut self, backend: &Backend) -> Option<(Name, Instance)> {
        // A source that knows only the end of an instance sends an update with the id and no other data.
        let address = backend.address.parse().ok().map(|address| self.detours.to(address));
        let Some(instance) = self.instances.get_mut(&*backend.id) else {
            let address = address?;
            let id = Name::from(&*backend.id);
            let mut instance = Instance {
                service: Name::from(&*backend.service),
                zone: Name::from(&*backend.zone),
                address,
                phase: backend.phase,
                call_count: backend.call_count,
                overdue: backend.overdue,
                initial_capacity: None,
                warm_at: Instant::now()
                    + Duration::from_millis(backend.warmup_left_ms.into()).min(MAX_WARMUP),
                reduced_load_since: None,
                misdirected_at: None,
                listed: true,
            };
            self.instances.insert(id.clone(), instance.clone());
            if backend.phase == Phase::Gone {
                self.remember_ended(&id);
            }
            instance.initial_capacity = Some(backend.capacity);
            return Some((id, instance));
        };
        let (state, previous) = (instance.state(), instance.clone());
        if instance.phase == Phase::Gone {
            return None;
        }
        instance.phase = instance.phase.max(backend.phase);
        if let Some(address) = address {
            if backend.call_count >= instance.call_count {
                instance.overdue = backend.overdue;
                instance.address = address;
            }
            instance.listed = true;
        }
        if instance.misdirected_at.is_some_and(|call_count| call_count < backend.call_count) {
            instance.misdirected_at = None;
        }
        instance.call_count = instance.call_count.max(backend.call_count);
        let is_changed = instance.state() != state
            || instance.address != previous.address
            || instance.overdue != previous.overdue;
        let (id, instance) = (Name::from(&*backend.id), instance.clone());
        if instance.phase == Phase::Gone {
            self.remember_ended(&id);
        }
        is_changed.then_some((id, instance))
    }

    /// Remembers an instance as ended or missing, and forgets the oldest such instance if there are too many.
    fn remember_ended(&mut self, id: &Name) {
        self.ended.push_back(id.clone());
        if self.ended.len() > MAX_ENDED_INSTANCES
            && let Some(oldest) = self.ended.pop_front()
            && self
                .instances
                .get(&oldest)
                .is_some_and(|instance| instance.phase == Phase::Gone || !instance.listed)
        {
            self.instances.remove(&oldest);
        }
    }

    /// When the warmup of a new instance began, if the instance is to receive reduced load. If half or more of a
    /// service's instances are warming up, none of them gets reduced load, since too few warm instances remain.
    fn reduced_load_since(&self, new: &Instance) -> Option<Instant> {
        let now = Instant::now();
        let of_service = self.serving().filter(|(_, instance)| instance.service == new.service);
        let (total, cold) =
            (of_service.clone().count(), of_service.filter(|(_, instance)| instance.warm_at > now).count());
        let reduced = new.warm_at > now && cold * 2 < total;
        reduced.then(|| new.warm_at.checked_sub(MAX_WARMUP)).flatten()
    }

    /// Excludes an instance whose address is answered by another instance, until a newer update arrives.
    pub fn mark_misdirected(&mut self, id: &Name) -> Option<Instance> {
        let instance = self.instances.get_mut(id).filter(|instance| instance.misdirected_at.is_none())?;
        instance.misdirected_at = Some(instance.call_count);
        Some(instance.clone())
    }

    /// The instances that accept requests.
    pub fn serving(&self) -> impl Iterator<Item = (&Name, &Instance)> + Clone {
        self.instances.iter().filter(|(_, instance)| instance.state() == BackendState::Ready)
    }

    /// Whether any instance of a service has not ended.
    pub fn has(&self, service: &str) -> bool {
        self.instances.values().any(|instance| *instance.service == *service && instance.phase != Phase::Gone)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn backend(id: &str, phase: Phase, call_count: u64) -> Backend {
        Backend {
            id: id.into(),
            service: "s".into(),
            address: "127.0.0.1:9".into(),
            zone: "z".into(),
            generation: "v1".into(),
            capacity: 3,
            phase,
            warmup_left_ms: 0,
            call_count,
            overdue: false,
        }
    }

    fn update_states(
        instances: &mut InstanceTable, backends: &[Backend], whole: bool,
    ) -> Vec<(String, BackendState)> {
        instances
            .update(backends, whole)
            .into_iter()
            .map(|(id, instance)| (id.to_string(), instance.state()))
            .collect()
    }

    #[test]
    fn a_phase_only_moves_forward_whatever_the_order_of_updates() {
        let mut instances = InstanceTable::default();
        let only_a = |state| vec![("a".to_owned(), state)];
        assert_eq!(
            update_states(&mut instances, &[backend("a", Phase::Serving, 3)], false),
            only_a(BackendState::Ready)
        );
        assert_eq!(update_states(&mut instances, &[backend("a", Phase::Serving, 4)], false), []);
        assert_eq!(
            update_states(&mut instances, &[backend("a", Phase::Draining, 2)], false),
            only_a(BackendState::Draining)
        );
        assert_eq!(update_states(&mut instances, &[backend("a", Phase::Serving, 9)], true), []);
        assert_eq!(
            update_states(&mut instances, &[backend("a", Phase::Gone, 9)], false),
            only_a(BackendState::Gone)
        );
        assert_eq!(update_states(&mut instances, &[backend("a", Phase::Serving, 10)], true), []);
        assert!(!instances.has("s"));
    }

    #[test]
    fn a_notice_that_an_instance_leaves_needs_only_its_id() {
        let mut instances = InstanceTable::default();
        instances.update(&[backend("a", Phase::Serving, 9)], false);
        let leaving = |id: &str| Backend {
            address: String::new(),
            service: String::new(),
            ..backend(id, Phase::Draining, 0)
        };
        let changed = instances.update(&[leaving("a"), leaving("b")], false);
        let [(id, instance)] = &changed[..] else { panic!("{changed:?}") };
        assert_eq!((&**id, instance.state(), &*instance.service), ("a", BackendState::Draining, "s"));
        assert_eq!(instance.address, "127.0.0.1:9".parse().expect("the address is valid"));
        assert_eq!(update_states(&mut instances, &[backend("a", Phase::Serving, 10)], true), []);
    }

    #[test]
    fn an_instance_missing_from_a_full_list_is_excluded_until_listed_again() {
        let mut instances = InstanceTable::default();
        let (a, b) = (backend("a", Phase::Serving, 1), backend("b", Phase::Draining, 1));
        instances.update(&[a.clone(), b.clone()], true);
        let mut gone = update_states(&mut instances, &[], true);
        gone.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(gone, [("a".to_owned(), BackendState::Gone), ("b".to_owned(), BackendState::Gone)]);
        assert_eq!(update_states(&mut instances, &[a], false), [("a".to_owned(), BackendState::Ready)]);
        let back = Backend { phase: Phase::Serving, ..b };
        assert_eq!(update_states(&mut instances, &[back], false), [("b".to_owned(), BackendState::Draining)]);
    }

    #[test]
    fn warming_backends_get_reduced_load_only_while_most_backends_are_warm() {
        let cold = |id: &str| Backend { warmup_left_ms: 4000, ..backend(id, Phase::Serving, 1) };
        let count_reduced = |instances: &mut InstanceTable, backends: &[Backend]| {
            let changed = instances.update(backends, false).into_iter();
            changed.filter(|(_, instance)| instance.reduced_load_since.is_some()).count()
        };
        let mut instances = InstanceTable::default();
        assert_eq!(
            count_reduced(&mut instances, &[cold("a"), cold("b"), cold("c")]),
            0,
            "all backends start at once"
        );
        let mut instances = InstanceTable::default();
        let warm = ["a", "b", "c"].map(|id| backend(id, Phase::Serving, 1));
        assert_eq!(count_reduced(&mut instances, &warm), 0);
        assert_eq!(count_reduced(&mut instances, &[cold("d"), cold("e")]), 2, "a rolling release");
        assert_eq!(count_reduced(&mut instances, &[cold("f")]), 0);
    }

    #[test]
    fn the_number_of_remembered_ended_instances_is_bounded() {
        let mut instances = InstanceTable::default();
        for n in 0..MAX_ENDED_INSTANCES + 50 {
            instances.update(&[backend(&n.to_string(), Phase::Gone, 1)], false);
        }
        assert_eq!(instances.instances.len(), MAX_ENDED_INSTANCES);
    }
}
