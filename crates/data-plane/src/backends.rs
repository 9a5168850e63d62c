//! The known backend instances, built from updates of the control plane.
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
const MOST_OVER: usize = 1024;
/// The longest warmup of a backend.
pub const COLD_TIME: Duration = Duration::from_secs(10);

/// One backend instance: a backend process from its start to its end.
#[derive(Clone, Debug)]
pub struct Life {
    pub service: Name,
    pub zone: Name,
    pub dial: SocketAddr,
    pub phase: Phase,
    pub calls: u64,
    pub overdue: bool,
    /// How many requests the instance handles at once. Set only in the first update on the instance.
    pub works_on: Option<u32>,
    /// When the warmup ends.
    warm_at: Instant,
    /// When the warmup began. Set only if the instance receives reduced load until the warmup ends.
    pub started: Option<Instant>,
    /// The call count known at the time when another instance answered at this address.
    missed: Option<u64>,
    /// Whether the newest full list, or a change after that list, names the instance.
    listed: bool,
}

impl Life {
    /// The state of the instance for load balancing.
    pub fn state(&self) -> BackendState {
        match self.phase {
            _ if self.missed.is_some() || !self.listed => BackendState::Gone,
            Phase::Serving => BackendState::Ready,
            Phase::Draining => BackendState::Draining,
            Phase::Gone => BackendState::Gone,
        }
    }
}

/// All known backend instances.
#[derive(Default)]
pub struct Lives {
    lives: HashMap<Name, Life>,
    /// Ended instances and instances missing from the newest full list, oldest first.
    over: VecDeque<Name>,
    ways: Detours,
}

impl Lives {
    /// An empty table. Instances are dialled at the addresses that `detours` gives.
    pub fn by(ways: Detours) -> Self {
        Self { ways, ..Self::default() }
    }

    /// Applies a full list (`whole`) or a list of changes, and returns the instances whose effective state changed.
    pub fn update(&mut self, backends: &[Backend], whole: bool) -> Vec<(Name, Life)> {
        let mut changed = Vec::new();
        if whole {
            let named: HashSet<&str> = backends.iter().map(|backend| &*backend.id).collect();
            for (id, life) in &mut self.lives {
                if life.phase != Phase::Gone && life.listed && !named.contains(&**id) {
                    // The instance has not ended: the sender of the list may lag behind and not know the instance yet.
                    life.listed = false;
                    changed.push((id.clone(), life.clone()));
                }
            }
            changed.iter().for_each(|(id, _)| self.bury(id));
        }
        for backend in backends {
            changed.extend(self.hear(backend));
        }
        for (id, told) in changed.iter_mut().filter(|(_, life)| life.works_on.is_some()) {
            told.started = self.spared_since(told);
            self.lives.get_mut(id).into_iter().for_each(|life| life.started = told.started);
        }
        changed
    }

    fn hear(&mut self, backend: &Backend) -> Option<(Name, Life)> {
        // If a source has only recorded that an instance is leaving, the update carries nothing but the id.
        let dial = backend.address.parse().ok().map(|address| self.ways.to(address));
        let Some(life) = self.lives.get_mut(&*backend.id) else {
            let dial = dial?;
            let id = Name::from(&*backend.id);
            let mut life = Life {
                service: Name::from(&*backend.service),
                zone: Name::from(&*backend.zone),
                dial,
                phase: backend.phase,
                calls: backend.call_count,
                overdue: backend.overdue,
                works_on: None,
                warm_at: Instant::now() + Duration::from_millis(backend.warmup_left_ms.into()).min(COLD_TIME),
                started: None,
                missed: None,
                listed: true,
            };
            self.lives.insert(id.clone(), life.clone());
            if backend.phase == Phase::Gone {
                self.bury(&id);
            }
            life.works_on = Some(backend.capacity);
            return Some((id, life));
        };
        let (state, before) = (life.state(), life.clone());
        if life.phase == Phase::Gone {
            return None;
        }
        life.phase = life.phase.max(backend.phase);
        if let Some(dial) = dial {
            if backend.call_count >= life.calls {
                life.overdue = backend.overdue;
                life.dial = dial;
            }
            life.listed = true;
        }
        if life.missed.is_some_and(|calls| calls < backend.call_count) {
            life.missed = None;
        }
        life.calls = life.calls.max(backend.call_count);
        let told = life.state() != state || life.dial != before.dial || life.overdue != before.overdue;
        let (id, life) = (Name::from(&*backend.id), life.clone());
        if life.phase == Phase::Gone {
            self.bury(&id);
        }
        told.then_some((id, life))
    }

    fn bury(&mut self, id: &Name) {
        self.over.push_back(id.clone());
        if self.over.len() > MOST_OVER
            && let Some(oldest) = self.over.pop_front()
            && self.lives.get(&oldest).is_some_and(|life| life.phase == Phase::Gone || !life.listed)
        {
            self.lives.remove(&oldest);
        }
    }

    /// When the warmup of a new instance began, if the instance is to receive reduced load. If half or more of a
    /// service's instances are warming up, none of them is spared, because the requests have nowhere else to go.
    fn spared_since(&self, new: &Life) -> Option<Instant> {
        let now = Instant::now();
        let of_service = self.serving().filter(|(_, life)| life.service == new.service);
        let (all, cold) =
            (of_service.clone().count(), of_service.filter(|(_, life)| life.warm_at > now).count());
        let spared = new.warm_at > now && cold * 2 < all;
        spared.then(|| new.warm_at.checked_sub(COLD_TIME)).flatten()
    }

    /// Excludes an instance whose address is answered by another instance, until a newer update arrives.
    pub fn missed(&mut self, id: &Name) -> Option<Life> {
        let life = self.lives.get_mut(id).filter(|life| life.missed.is_none())?;
        life.missed = Some(life.calls);
        Some(life.clone())
    }

    /// The instances that accept requests.
    pub fn serving(&self) -> impl Iterator<Item = (&Name, &Life)> + Clone {
        self.lives.iter().filter(|(_, life)| life.state() == BackendState::Ready)
    }

    /// Whether any instance of a service has not ended.
    pub fn has(&self, service: &str) -> bool {
        self.lives.values().any(|life| *life.service == *service && life.phase != Phase::Gone)
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

    fn told(lives: &mut Lives, backends: &[Backend], whole: bool) -> Vec<(String, BackendState)> {
        lives.update(backends, whole).into_iter().map(|(id, life)| (id.to_string(), life.state())).collect()
    }

    #[test]
    fn a_phase_goes_forward_only_whatever_order_words_come_in() {
        let mut lives = Lives::default();
        let one = |state| vec![("a".to_owned(), state)];
        assert_eq!(told(&mut lives, &[backend("a", Phase::Serving, 3)], false), one(BackendState::Ready));
        assert_eq!(told(&mut lives, &[backend("a", Phase::Serving, 4)], false), []);
        assert_eq!(told(&mut lives, &[backend("a", Phase::Draining, 2)], false), one(BackendState::Draining));
        assert_eq!(told(&mut lives, &[backend("a", Phase::Serving, 9)], true), []);
        assert_eq!(told(&mut lives, &[backend("a", Phase::Gone, 9)], false), one(BackendState::Gone));
        assert_eq!(told(&mut lives, &[backend("a", Phase::Serving, 10)], true), []);
        assert!(!lives.has("s"));
    }

    #[test]
    fn of_one_that_is_recorded_as_leaving_the_id_is_enough() {
        let mut lives = Lives::default();
        lives.update(&[backend("a", Phase::Serving, 9)], false);
        let recorded = |id: &str| Backend {
            address: String::new(),
            service: String::new(),
            ..backend(id, Phase::Draining, 0)
        };
        let changed = lives.update(&[recorded("a"), recorded("b")], false);
        let [(id, life)] = &changed[..] else { panic!("{changed:?}") };
        assert_eq!((&**id, life.state(), &*life.service), ("a", BackendState::Draining, "s"));
        assert_eq!(life.dial, "127.0.0.1:9".parse().expect("an address"));
        assert_eq!(told(&mut lives, &[backend("a", Phase::Serving, 10)], true), []);
    }

    #[test]
    fn who_is_not_on_a_whole_list_is_out_until_it_is_named_again() {
        let mut lives = Lives::default();
        let (a, b) = (backend("a", Phase::Serving, 1), backend("b", Phase::Draining, 1));
        lives.update(&[a.clone(), b.clone()], true);
        let mut gone = told(&mut lives, &[], true);
        gone.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(gone, [("a".to_owned(), BackendState::Gone), ("b".to_owned(), BackendState::Gone)]);
        assert_eq!(told(&mut lives, &[a], false), [("a".to_owned(), BackendState::Ready)]);
        let back = Backend { phase: Phase::Serving, ..b };
        assert_eq!(told(&mut lives, &[back], false), [("b".to_owned(), BackendState::Draining)]);
    }

    #[test]
    fn cold_backends_are_spared_while_most_are_warm() {
        let cold = |id: &str| Backend { warmup_left_ms: 4000, ..backend(id, Phase::Serving, 1) };
        let spared = |lives: &mut Lives, backends: &[Backend]| {
            let changed = lives.update(backends, false).into_iter();
            changed.filter(|(_, life)| life.started.is_some()).count()
        };
        let mut lives = Lives::default();
        assert_eq!(spared(&mut lives, &[cold("a"), cold("b"), cold("c")]), 0, "a first start");
        let mut lives = Lives::default();
        let warm = ["a", "b", "c"].map(|id| backend(id, Phase::Serving, 1));
        assert_eq!(spared(&mut lives, &warm), 0);
        assert_eq!(spared(&mut lives, &[cold("d"), cold("e")]), 2, "a release");
        assert_eq!(spared(&mut lives, &[cold("f")]), 0);
    }

    #[test]
    fn what_is_remembered_of_lives_that_are_over_is_bounded() {
        let mut lives = Lives::default();
        for n in 0..MOST_OVER + 50 {
            lives.update(&[backend(&n.to_string(), Phase::Gone, 1)], false);
        }
        assert_eq!(lives.lives.len(), MOST_OVER);
    }
}
