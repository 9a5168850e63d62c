//! The state of the data plane: the configuration in force, the backend instances and the engine of each service.

use crate::backends::{COLD_TIME, Life, Lives};
use crate::front::Front;
use crate::speech::Speech;
use crate::watch::{Counts, Watch};
use crate::{Admission, DataPlaneSettings, GatewayConfig, readiness};
use config::Version;
use doorcourse::{BackendEntry, Class, Effect, Event, Group, Name, Plan, Pool, Settings};
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

/// The connect timeout to a backend. A machine that does not accept within this time is considered unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The idle time after which a backend is assumed to close a connection if its answers carry no `Keep-Alive`. The
/// connection pool reuses a connection only during the first half of this time.
const USUAL_IDLE: Duration = Duration::from_secs(8);
/// File descriptors reserved for everything other than connections to clients and backends.
const OTHER_DESCRIPTORS: usize = 300;
/// The share of the remaining file descriptors for connections to clients; the rest is for backends.
const CLIENT_SHARE: f64 = 0.55;
/// The number of connections to one backend that is always allowed, however low `max_conns` is.
const LEAST_EACH: usize = 2;
/// How often the engine is told again of backends whose heartbeats are overdue. Evidence of the engine's own takes
/// precedence over such a notice, and that evidence may have changed meanwhile.
const REMIND: Duration = Duration::from_secs(1);
/// The maximum number of attempts per request, including attempts that never reached a backend. The bound of the route,
/// `max_tries`, is lower and counts only the backends that were reached.
const MOST_ATTEMPTS: u32 = 4;
/// The share of its full capacity that a backend has at the start of its warmup.
const COLD_SHARE: f64 = 0.3;
/// The longest retry delay that the engine suggests, in ms. The frontend adapts the delay to each request.
const LONGEST_ADVICE: f64 = 1000.0;
/// The name of the engine's only rate plan. Tenants are metered before, by the host's `Admission`.
pub const PLAN: &str = "all";

/// What distinguishes request classes: whether the route is pure, its goal in ms, and the rank up to [`LAST_RANK`].
type Kind = (bool, u64, u32);
/// The engine gives the same value to all ranks from this one on.
const LAST_RANK: u32 = 4;

/// A service and the engine that decides for it.
pub struct Service {
    pub engine: Rc<Engine<Speech>>,
    /// How many backends of the service accept requests.
    serving: Cell<usize>,
    classes: RefCell<HashMap<Kind, Name>>,
    pub counts: Counts,
}

impl Service {
    /// The request class for the given route properties. The class is added to the engine on first use.
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
    let effect = if pure { Effect::Safe } else { Effect::Unsafe };
    let worth = 2.0 / (1.0 + 0.5 * f64::from(rank)) * if pure { 1.0 } else { 2.0 };
    Class {
        name: format!("{}-{goal}-{rank}", if pure { "pure" } else { "effectful" }).into(),
        aim: (goal as f64).max(1.0),
        effect,
        group: Group::All,
        memory: 0.0,
        worth,
        late_worth: 0.3,
    }
}

/// Accepts client requests and proxies them to backends.
pub struct DataPlane {
    settings: DataPlaneSettings,
    seed: u64,
    admission: Rc<dyn Admission>,
    conf: RefCell<Option<Rc<GatewayConfig>>>,
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
    /// A data plane without a configuration and backends. The seed must differ between processes.
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
                lives: RefCell::new(Lives::by(settings.detours.clone())),
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
    pub fn inject_faults(&self, faults: Faults) {
        self.backends.plant(faults);
    }

    /// Puts a configuration into force, unless its version is not newer than the one in force.
    pub fn apply_config(&self, config: Rc<GatewayConfig>) {
        let newer = self.version().is_none_or(|version| version < config.version);
        if newer {
            self.watch.stands(config.version.0);
            self.watch.note("config", format_args!("configuration {} in force", config.version));
            self.conf.replace(Some(config));
            self.configured.notify_waiters();
            self.limit();
        }
    }

    /// Applies a full list of backends (`whole`) or changes to the list.
    pub fn update_backends(&self, changes: &[Backend], whole: bool) {
        let changed = self.lives.borrow_mut().update(changes, whole);
        for (id, _) in changed.iter().filter(|(_, life)| life.phase == Phase::Draining) {
            self.watch.note("drain", format_args!("backend {id}: drains, nothing more is sent to it"));
        }
        self.tell(changed);
    }

    /// Records that updates are received from this process of the control plane from now on.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.watch.note("upstream", format_args!("updates come from {upstream}"));
    }

    /// Sets the number of gateways and the index of this gateway among them, counted from 0.
    pub fn set_fleet(&self, gateways: u32, number: u32) {
        let gateways = gateways.max(1);
        let fleet = (gateways, number.min(gateways - 1));
        if self.fleet.replace(fleet) != fleet {
            self.services.borrow().values().for_each(|service| service.engine.resize(fleet.0, fleet.1));
            self.limit();
        }
    }

    /// Serves requests until `end` resolves, and then until every accepted request is answered.
    pub async fn serve(
        self: Rc<Self>, front: TcpListener, readiness: TcpListener, end: impl Future<Output = ()>,
    ) {
        spawn(self.backends.clone().keep_tidy());
        spawn(Self::remind(Rc::downgrade(&self)));
        readiness::start(self.clone(), readiness);
        Front::serve(&self, front, end).await;
    }

    /// Whether the platform should send new clients to this gateway.
    pub fn is_ready(&self) -> bool {
        self.conf.borrow().is_some()
            && self.ends.get().is_none()
            && self.services.borrow().values().any(|service| service.serving.get() > 0)
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> Option<Version> {
        self.conf.borrow().as_ref().map(|conf| conf.version)
    }

    /// The number of requests that are not answered yet.
    pub fn active_requests(&self) -> u64 {
        self.figures.active()
    }

    /// The engine's view of the backends of each service.
    pub fn pools(&self) -> Vec<(Name, Pool)> {
        self.services.borrow().iter().map(|(name, service)| (name.clone(), service.engine.pool())).collect()
    }

    /// The counters of the process.
    pub fn figures(&self) -> &Rc<Figures> {
        &self.figures
    }

    pub(crate) fn settings(&self) -> &DataPlaneSettings {
        &self.settings
    }

    pub(crate) fn conf(&self) -> Option<Rc<GatewayConfig>> {
        self.conf.borrow().clone()
    }

    /// The configuration in force. If there is none yet, waits at most this long for the first one.
    pub(crate) async fn configured_within(&self, wait: Duration) -> Option<Rc<GatewayConfig>> {
        let _ = timeout(wait, self.configured.notified()).await;
        self.conf()
    }

    pub(crate) fn admission(&self) -> &Rc<dyn Admission> {
        &self.admission
    }

    pub(crate) fn front(&self) -> &Front {
        &self.front
    }

    /// The service with this name, once it has had a backend.
    pub(crate) fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.services.borrow().get(name).cloned()
    }

    /// Whether any backend of a service accepts requests.
    pub(crate) fn serves(&self, name: &str) -> bool {
        self.services.borrow().get(name).is_some_and(|service| service.serving.get() > 0)
    }

    pub(crate) fn watch(&self) -> &Watch {
        &self.watch
    }

    /// All services that have an engine.
    pub(crate) fn services(&self) -> Vec<(Name, Rc<Service>)> {
        self.services.borrow().iter().map(|(name, service)| (name.clone(), service.clone())).collect()
    }

    /// Begins the shutdown. The process ends at this moment at the latest.
    pub(crate) fn ending(&self, by: Instant) {
        self.ends.set(Some(by));
        self.services.borrow().values().for_each(|service| service.engine.ending(by));
    }

    pub(crate) fn is_ending(&self) -> bool {
        self.ends.get().is_some()
    }

    /// Excludes a backend whose address is answered by another instance.
    fn missed(&self, id: &Name) {
        let missed = self.lives.borrow_mut().missed(id);
        if let Some(life) = missed {
            self.watch.note("backend", format_args!("backend {id}: another one answers at {}", life.dial));
            self.tell(vec![(id.clone(), life)]);
        }
    }

    /// Passes changes to the connection pool first, so that nothing is sent by outdated state, and then to the engines.
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
                engine.post(Event::Word { backend: id, down: life.overdue });
            }
        }
    }

    /// The service with this name. If there is none yet, starts its engine.
    fn opened(&self, name: &Name) -> Option<Rc<Service>> {
        if let Some(service) = self.service(name) {
            return Some(service);
        }
        let (gateways, number) = self.fleet.get();
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
            number,
            zone: self.settings.zone.as_str().into(),
            tick: 1.0,
            classes: vec![class(usual)],
            plans: vec![plan],
            most_units: 1.0,
            cancel: self.settings.cancel_stalled,
            most_attempts: MOST_ATTEMPTS,
            longest_advice: LONGEST_ADVICE,
            cold_share: COLD_SHARE,
            cold_time: millis(COLD_TIME),
            fall_multiple: 2.0,
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

    /// Limits the connections to each backend, so that all gateways together open no more than the backend accepts.
    fn limit(&self) {
        let conf = self.conf.borrow();
        let most = conf.iter().flat_map(|conf| conf.services.values()).map(|service| service.max_conns).min();
        let each = most.map_or(LEAST_EACH, |most| (most / self.fleet.get().0) as usize);
        self.backends.limit_each(each.max(LEAST_EACH));
    }

    /// Reminds the engines of overdue backends and removes what is no longer needed, until the data plane is dropped.
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
                    service.engine.post(Event::Word { backend, down: true });
                }
            }
            data_plane.forget();
        }
    }

    /// Removes services that are not configured, have no backends and have no waiting requests.
    fn forget(&self) {
        let (conf, lives) = (self.conf.borrow(), self.lives.borrow());
        let known = |name: &str| conf.as_ref().is_none_or(|conf| conf.services.contains_key(name));
        let mut services = self.services.borrow_mut();
        services.values().for_each(|service| service.engine.forget_gone());
        services.retain(|name, service| known(name) || lives.has(name) || service.engine.waiting() > 0);
    }
}
