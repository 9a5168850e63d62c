//! The data plane's state: the configuration in force, the backends of each service, and who decides for it.

use crate::backends::{COLD_TIME, Life, Lives};
use crate::front::Front;
use crate::speech::Speech;
use crate::watch::{Counts, Watch};
use crate::{Admission, Conf, DataPlaneSettings, readiness};
use config::Version;
use doorcourse::{BackendEntry, Class, DedupScope, Event, Idempotency, Name, Plan, Pool, Settings};
use http_proxy::engine::Engine;
use http_proxy::observe::figures::Figures;
use http_proxy::planted::Faults;
use http_proxy::pool::{Backends, Host, spawn};
use http_proxy::time::clock::millis;
use protocol::{Backend, Phase};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// A new connection to a backend comes up within this time, or not: its machine is dark.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Half of this a connection stays idle where its backend does not say how long it keeps it.
const USUAL_IDLE: Duration = Duration::from_secs(8);
/// Descriptors for all but clients and backends; of the rest, the share for clients.
const OTHER_DESCRIPTORS: usize = 300;
const CLIENT_SHARE: f64 = 0.55;
/// So many connections to one backend are always allowed.
const LEAST_EACH: usize = 2;
/// Overdue backends are told of to the decisions this often: their own evidence goes first, and may have changed.
const REMIND: Duration = Duration::from_secs(1);
/// The most attempts of one request that the decisions make, those that reached nobody included. A route's own bound
/// is lower, and of those that reached somebody.
const MOST_ATTEMPTS: u32 = 4;
/// What a backend that has yet to warm up can do of what it will.
const COLD_SHARE: f64 = 0.3;
/// The longest advice of the decisions, in ms; the front side fits it to each request.
const LONGEST_ADVICE: f64 = 1000.0;
/// The one plan: the host's admission has metered tenants before.
pub const PLAN: &str = "all";

/// What sets classes apart: whether it is pure, its goal in ms, its rank as far as ranks count.
type Kind = (bool, u64, u32);
/// Ranks from this one on are worth the same.
const LAST_RANK: u32 = 4;

/// One service: the decisions for it.
pub struct Service {
    pub engine: Rc<Engine<Speech>>,
    /// How many of its backends take requests.
    serving: Cell<usize>,
    classes: RefCell<HashMap<Kind, Name>>,
    pub counts: Counts,
}

impl Service {
    /// The class of a request; it is added when it is first met.
    pub fn class(&self, pure: bool, goal: Duration, rank: u32) -> Name {
        let kind = (pure, goal.as_millis() as u64, rank.min(LAST_RANK));
        if let Some(name) = self.classes.borrow().get(&kind) {
            return name.clone();
        }
        let class = class(kind);
        let name = class.name.clone();
        self.engine.add_class(class);
        self.classes.borrow_mut().insert(kind, name.clone());
        name
    }
}

fn class((pure, goal, rank): Kind) -> Class {
    let idempotency = if pure { Idempotency::Safe } else { Idempotency::Unsafe };
    let worth = 2.0 / (1.0 + 0.5 * f64::from(rank)) * if pure { 1.0 } else { 2.0 };
    Class {
        name: format!("{}-{goal}-{rank}", if pure { "pure" } else { "effectful" }).into(),
        latency_target: (goal as f64).max(1.0),
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        worth,
        late_worth: 0.3,
    }
}

/// The data plane.
pub struct DataPlane {
    settings: DataPlaneSettings,
    seed: u64,
    admission: Rc<dyn Admission>,
    conf: RefCell<Option<Rc<Conf>>>,
    configured: Notify,
    backends: Rc<Backends<Speech>>,
    services: RefCell<BTreeMap<Name, Rc<Service>>>,
    lives: RefCell<Lives>,
    fleet: Cell<(u32, u32)>,
    figures: Rc<Figures>,
    front: Front,
    ends: Cell<Option<Instant>>,
    watch: Rc<Watch>,
}

impl DataPlane {
    /// A data plane that knows no configuration and no backends yet. No two processes share a seed.
    pub fn new(settings: DataPlaneSettings, admission: Rc<dyn Admission>, seed: u64) -> Rc<Self> {
        let figures = Figures::new(&Settings::default());
        let left = settings.max_fds.saturating_sub(OTHER_DESCRIPTORS).max(64);
        let most_clients = (left as f64 * CLIENT_SHARE) as usize;
        Rc::new_cyclic(|me: &Weak<Self>| {
            let (watch, me) = (Watch::new(settings.log.clone()), me.clone());
            let gone = Box::new(move |id: &Name| {
                if let Some(data_plane) = me.upgrade() {
                    data_plane.missed(id);
                }
            });
            let backends = Backends::new(
                Speech { watch: watch.clone(), gone },
                CONNECT_TIMEOUT,
                USUAL_IDLE,
                left - most_clients,
                figures.cost().clone(),
            );
            backends.limit_each(LEAST_EACH);
            Self {
                seed,
                admission,
                conf: RefCell::default(),
                configured: Notify::new(),
                backends,
                services: RefCell::default(),
                lives: RefCell::new(Lives::by(settings.ways.clone())),
                fleet: Cell::new((1, 0)),
                front: Front::new(most_clients, seed, figures.clone()),
                figures,
                ends: Cell::default(),
                watch,
                settings,
            }
        })
    }

    #[doc(hidden)]
    pub fn plant(&self, faults: Faults) {
        self.backends.plant(faults);
    }

    /// A configuration is in force from now on, unless it is no newer than the one that is.
    pub fn configure(&self, config: Rc<Conf>) {
        let newer = self.version().is_none_or(|version| version < config.version);
        if newer {
            self.watch.stands(config.version.0);
            self.watch.note("config", format_args!("configuration {} in force", config.version));
            self.conf.replace(Some(config));
            self.configured.notify_waiters();
            self.limit();
        }
    }

    /// Takes in a list of backends or changes to it.
    pub fn backends(&self, changes: &[Backend], whole: bool) {
        let changed = self.lives.borrow_mut().update(changes, whole);
        for (id, _) in changed.iter().filter(|(_, life)| life.phase == Phase::Draining) {
            self.watch.note("drain", format_args!("backend {id}: drains, nothing more is sent to it"));
        }
        self.tell(changed);
    }

    /// Updates come from this process from now on.
    pub fn follows(&self, upstream: SocketAddr) {
        self.watch.note("upstream", format_args!("updates come from {upstream}"));
    }

    /// There are so many gateways, of which this one has that number, from 0.
    pub fn fleet(&self, gateways: u32, number: u32) {
        let gateways = gateways.max(1);
        let fleet = (gateways, number.min(gateways - 1));
        if self.fleet.replace(fleet) != fleet {
            self.services.borrow().values().for_each(|service| service.engine.resize(fleet.0, fleet.1));
            self.limit();
        }
    }

    /// Serves until `end` resolves, and then until all that was taken has its answer.
    pub async fn serve(
        self: Rc<Self>, front: TcpListener, readiness: TcpListener, end: impl Future<Output = ()>,
    ) {
        spawn(self.backends.clone().keep_tidy());
        spawn(Self::remind(Rc::downgrade(&self)));
        readiness::start(self.clone(), readiness);
        Front::serve(&self, front, end).await;
    }

    /// Whether new clients should come here.
    pub fn is_ready(&self) -> bool {
        self.conf.borrow().is_some()
            && self.ends.get().is_none()
            && self.services.borrow().values().any(|service| service.serving.get() > 0)
    }

    /// The version in force.
    pub fn version(&self) -> Option<Version> {
        self.conf.borrow().as_ref().map(|conf| conf.version)
    }

    /// How many requests are taken and have not ended.
    pub fn active(&self) -> u64 {
        self.figures.active()
    }

    /// What the decisions say of the backends of each service.
    pub fn pools(&self) -> Vec<(Name, Pool)> {
        self.services.borrow().iter().map(|(name, service)| (name.clone(), service.engine.pool())).collect()
    }

    /// What the process counts.
    pub fn figures(&self) -> &Rc<Figures> {
        &self.figures
    }

    pub(crate) fn settings(&self) -> &DataPlaneSettings {
        &self.settings
    }

    pub(crate) fn conf(&self) -> Option<Rc<Conf>> {
        self.conf.borrow().clone()
    }

    /// The configuration in force, waiting for the first one for so long.
    pub(crate) async fn configured_within(&self, wait: Duration) -> Option<Rc<Conf>> {
        let _ = timeout(wait, self.configured.notified()).await;
        self.conf()
    }

    pub(crate) fn admission(&self) -> &Rc<dyn Admission> {
        &self.admission
    }

    pub(crate) fn front(&self) -> &Front {
        &self.front
    }

    /// The decisions for a service that has backends.
    pub(crate) fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.services.borrow().get(name).cloned()
    }

    /// Whether any backend of a service takes requests.
    pub(crate) fn serves(&self, name: &str) -> bool {
        self.services.borrow().get(name).is_some_and(|service| service.serving.get() > 0)
    }

    pub(crate) fn watch(&self) -> &Watch {
        &self.watch
    }

    /// All services that are decided for.
    pub(crate) fn services(&self) -> Vec<(Name, Rc<Service>)> {
        self.services.borrow().iter().map(|(name, service)| (name.clone(), service.clone())).collect()
    }

    /// The process ends at this moment at the latest.
    pub(crate) fn ending(&self, by: Instant) {
        self.ends.set(Some(by));
        self.services.borrow().values().for_each(|service| service.engine.ending(by));
    }

    pub(crate) fn is_ending(&self) -> bool {
        self.ends.get().is_some()
    }

    /// Another one answers at the address of this backend.
    fn missed(&self, id: &Name) {
        let missed = self.lives.borrow_mut().missed(id);
        if let Some(life) = missed {
            self.watch.note("backend", format_args!("backend {id}: another one answers at {}", life.dial));
            self.tell(vec![(id.clone(), life)]);
        }
    }

    /// Brings changes to the connections first, so that nothing is sent by an older word, then to the decisions.
    fn tell(&self, changed: Vec<(Name, Life)>) {
        let mut by_service: BTreeMap<Name, Vec<(Name, Life)>> = BTreeMap::new();
        for (id, life) in changed {
            by_service.entry(life.service.clone()).or_default().push((id, life));
        }
        for (name, changed) in by_service {
            let Some(service) = self.opened(&name) else { continue };
            let engine = &service.engine;
            let serving = self.lives.borrow().serving().filter(|(_, life)| life.service == name).count();
            service.serving.set(serving);
            let host = |(id, life): &(Name, Life)| Host {
                entry: BackendEntry {
                    name: id.clone(),
                    zone: life.zone.clone(),
                    cell: 0,
                    state: life.state(),
                    started: life.started.map(|at| engine.at(at)),
                },
                dial: life.dial,
            };
            let hosts: Vec<_> = changed.iter().map(host).collect();
            self.backends.update(0, false, &hosts);
            engine.post(Event::BackendChanges(hosts.into_iter().map(|host| host.entry).collect()));
            for (id, life) in changed {
                if let Some(slots) = life.works_on {
                    engine.works_on(&id, slots);
                }
                engine.post(Event::HealthReport { backend: id, down: life.overdue });
            }
        }
    }

    /// The decisions for a service, which begin with its first backend.
    fn opened(&self, name: &Name) -> Option<Rc<Service>> {
        if let Some(service) = self.service(name) {
            return Some(service);
        }
        let (gateways, gateway_index) = self.fleet.get();
        let plan = Plan {
            name: PLAN.into(),
            rate: 0.0,
            burst: 0.0,
            open: 0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
            price: 1.0,
            over_worth: 0.0,
            over_cost: 0.0,
        };
        let usual = (true, 1000, 0);
        let settings = Settings {
            gateways,
            gateway_index,
            zone: self.settings.zone.as_str().into(),
            tick: 1.0,
            classes: vec![class(usual)],
            plans: vec![plan],
            max_units: 1.0,
            may_cancel: self.settings.cancel,
            max_attempts: MOST_ATTEMPTS,
            max_retry_after: LONGEST_ADVICE,
            cold_capacity: COLD_SHARE,
            warmup_time: millis(COLD_TIME),
            overload_factor: 2.0,
            price_cross_zone: self.settings.price_cross_zone,
            ..Settings::default()
        };
        let mut hasher = DefaultHasher::new();
        (self.seed, name).hash(&mut hasher);
        let engine =
            Engine::start(settings, hasher.finish(), self.backends.clone(), |_| None, self.figures.clone());
        let engine = match engine {
            Ok(engine) => engine,
            Err(error) => {
                self.watch.note("service", format_args!("service {name} can't be decided for: {error}"));
                return None;
            }
        };
        self.ends.get().into_iter().for_each(|by| engine.ending(by));
        let service = Rc::new(Service {
            engine,
            serving: Cell::default(),
            classes: RefCell::default(),
            counts: Counts::default(),
        });
        self.services.borrow_mut().insert(name.clone(), service.clone());
        Some(service)
    }

    /// All gateways together keep no more connections to a backend than it accepts.
    fn limit(&self) {
        let conf = self.conf.borrow();
        let most = conf.iter().flat_map(|conf| conf.services.values()).map(|service| service.max_conns).min();
        let each = most.map_or(LEAST_EACH, |most| (most / self.fleet.get().0) as usize);
        self.backends.limit_each(each.max(LEAST_EACH));
    }

    async fn remind(me: Weak<Self>) {
        loop {
            sleep(REMIND).await;
            let Some(data_plane) = me.upgrade() else { return };
            let overdue: Vec<_> = {
                let lives = data_plane.lives.borrow();
                let overdue =
                    lives.serving().filter(|(_, life)| life.overdue && life.phase == Phase::Serving);
                overdue.map(|(id, life)| (id.clone(), life.service.clone())).collect()
            };
            for (backend, service) in overdue {
                if let Some(service) = data_plane.service(&service) {
                    service.engine.post(Event::HealthReport { backend, down: true });
                }
            }
            data_plane.forget();
        }
    }

    /// Services that are neither configured nor have backends are decided for no more.
    fn forget(&self) {
        let (conf, lives) = (self.conf.borrow(), self.lives.borrow());
        let known = |name: &str| conf.as_ref().is_none_or(|conf| conf.services.contains_key(name));
        let mut services = self.services.borrow_mut();
        services.values().for_each(|service| service.engine.forget_gone());
        services.retain(|name, service| known(name) || lives.has(name) || service.engine.waiting() > 0);
    }
}
