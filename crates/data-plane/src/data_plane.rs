//! The state of the data plane: the configuration in force, the backend instances and the engine of each service.
//!
//! An engine is an instance of the `doorcourse` decision engine: it chooses backends and decides about retries and the
//! ejection of backends. A request class groups requests that the engine treats alike (see `ClassKey`).

use crate::backend_protocol::BackendProtocol;
use crate::frontend::Frontend;
use crate::instances::{Instance, InstanceTable, MAX_WARMUP};
use crate::recorder::{Recorder, RequestCounts};
use crate::{Admission, DataPlaneSettings, GatewayConfig, readiness};
use config::Version;
use doorcourse::{BackendEntry, Class, DedupScope, Event, Idempotency, Name, Plan, Pool, Settings};
use http_proxy::engine::Engine;
use http_proxy::fault_injection::Faults;
use http_proxy::observe::metrics::Metrics;
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

/// The timeout for connecting to a backend. A machine that does not accept within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The idle time after which a backend is assumed to close a connection if its answers carry no `Keep-Alive`. The
/// connection pool reuses a connection only during the first half of this time.
const DEFAULT_BACKEND_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// File descriptors reserved for everything other than connections to clients and backends.
const RESERVED_FDS: usize = 300;
/// The share of the remaining file descriptors for connections to clients; the rest is for backends.
const CLIENT_FD_RATIO: f64 = 0.55;
/// The number of connections to one backend that is always allowed, however low `max_conns` is.
const MIN_CONNECTIONS_PER_BACKEND: usize = 2;
/// How often the engine is notified again of backends with overdue heartbeats. The engine's own
/// observations take precedence over a notice, so a repeated notice takes effect once the observations have changed.
const OVERDUE_REMINDER_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of attempts per request, including attempts that never reached a backend. The bound of the route,
/// `max_tries`, is lower and counts only the backends that were reached.
const MAX_ATTEMPTS: u32 = 4;
/// The share of its full capacity that a backend has at the start of its warmup.
const COLD_CAPACITY_RATIO: f64 = 0.3;
/// The longest retry delay that the engine suggests, in ms. The frontend adapts the delay to each request.
const MAX_RETRY_AFTER_MS: f64 = 1000.0;
/// The name of the engine's only rate plan. The host's `Admission` applies the tenants' quotas before the engine.
pub const PLAN_NAME: &str = "all";

/// What distinguishes request classes: whether the route is pure, the latency goal in ms, and the rank up to
/// [`MAX_RANK`].
type ClassKey = (bool, u64, u32);
/// The engine gives the same value to all ranks from this one on.
const MAX_RANK: u32 = 4;

/// A service with the engine that decides about its requests.
pub struct Service {
    /// Chooses backends, decides about retries and sends the attempts.
    pub engine: Rc<Engine<BackendProtocol>>,
    /// How many backends of the service accept requests.
    serving_backends: Cell<usize>,
    /// The names of the request classes that the engine knows.
    classes: RefCell<HashMap<ClassKey, Name>>,
    pub counts: RequestCounts,
}

impl Service {
    /// The request class for the given route properties. The class is added to the engine on first use.
    pub fn class(&self, pure: bool, goal: Duration, rank: u32) -> Name {
        let key = (pure, goal.as_millis() as u64, rank.min(MAX_RANK));
        if let Some(name) = self.classes.borrow().get(&key) {
            return name.clone();
        }
        let class = class_settings(key);
        let name = class.name.clone();
        self.engine.add_class(class);
        self.classes.borrow_mut().insert(key, name.clone());
        name
    }
}

/// The engine's settings of a request class. The worth of an answer, by which the engine decides which class
/// to refuse first under overload, falls with the rank and is doubled for requests that are not pure.
fn class_settings((pure, goal, rank): ClassKey) -> Class {
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

/// Accepts client requests and proxies them to backends.
pub struct DataPlane {
    settings: DataPlaneSettings,
    seed: u64,
    admission: Rc<dyn Admission>,
    /// The configuration in force.
    config: RefCell<Option<Rc<GatewayConfig>>>,
    /// Notified when a configuration comes into force.
    config_changed: Notify,
    backends: Rc<Backends<BackendProtocol>>,
    /// The services with an engine, by name.
    services: RefCell<BTreeMap<Name, Rc<Service>>>,
    instances: RefCell<InstanceTable>,
    /// The number of gateways and the index of this gateway.
    fleet: Cell<(u32, u32)>,
    figures: Rc<Metrics>,
    frontend: Frontend,
    /// When the process ends, once the shutdown has begun.
    shutdown_deadline: Cell<Option<Instant>>,
    recorder: Rc<Recorder>,
}

impl DataPlane {
    /// A data plane without a configuration and backends. The seed must differ between processes.
    pub fn new(settings: DataPlaneSettings, admission: Rc<dyn Admission>, seed: u64) -> Rc<Self> {
        let figures = Metrics::new(&Settings::default());
        let available_fds = settings.max_fds.saturating_sub(RESERVED_FDS).max(64);
        let max_clients = (available_fds as f64 * CLIENT_FD_RATIO) as usize;
        Rc::new_cyclic(|weak: &Weak<Self>| {
            let (recorder, weak) = (Recorder::new(settings.log.clone()), weak.clone());
            let on_misdirected = Box::new(move |id: &Name| {
                if let Some(data_plane) = weak.upgrade() {
                    data_plane.mark_misdirected(id);
                }
            });
            let backends = Backends::new(
                BackendProtocol { recorder: recorder.clone(), on_misdirected },
                CONNECT_TIMEOUT,
                DEFAULT_BACKEND_IDLE_TIMEOUT,
                available_fds - max_clients,
                figures.usage().clone(),
            );
            backends.set_max_per_backend(MIN_CONNECTIONS_PER_BACKEND);
            Self {
                seed,
                admission,
                config: RefCell::default(),
                config_changed: Notify::new(),
                backends,
                services: RefCell::default(),
                instances: RefCell::new(InstanceTable::with_detours(settings.detours.clone())),
                fleet: Cell::new((1, 0)),
                frontend: Frontend::new(max_clients, seed, figures.clone()),
                figures,
                shutdown_deadline: Cell::default(),
                recorder,
                settings,
            }
        })
    }

    /// Injects faults into the connection pool, for tests.
    #[doc(hidden)]
    pub fn inject_faults(&self, faults: Faults) {
        self.backends.inject_faults(faults);
    }

    /// Puts a configuration into force, unless its version is not newer than the one in force.
    pub fn apply_config(&self, config: Rc<GatewayConfig>) {
        let is_newer = self.version().is_none_or(|version| version < config.version);
        if is_newer {
            self.recorder.set_version(config.version.0);
            self.recorder.record_event("config", format_args!("configuration {} in force", config.version));
            self.config.replace(Some(config));
            self.config_changed.notify_waiters();
            self.update_connection_limit();
        }
    }

    /// Applies a full list of backends (`whole`) or changes to the list.
    pub fn update_backends(&self, changes: &[Backend], whole: bool) {
        let changed = self.instances.borrow_mut().update(changes, whole);
        for (id, _) in changed.iter().filter(|(_, instance)| instance.phase == Phase::Draining) {
            self.recorder
                .record_event("drain", format_args!("backend {id}: draining, no new requests are sent"));
        }
        self.publish_changes(changed);
    }

    /// Records that updates are received from this process of the control plane from now on.
    pub fn record_upstream(&self, upstream: SocketAddr) {
        self.recorder.record_event("upstream", format_args!("receiving updates from {upstream}"));
    }

    /// Sets the number of gateways and the index of this gateway among them, counted from 0.
    pub fn set_fleet(&self, gateways: u32, index: u32) {
        let gateways = gateways.max(1);
        let fleet = (gateways, index.min(gateways - 1));
        if self.fleet.replace(fleet) != fleet {
            self.services.borrow().values().for_each(|service| service.engine.resize(fleet.0, fleet.1));
            self.update_connection_limit();
        }
    }

    /// Serves requests until `end` resolves, and then until every accepted request is answered.
    pub async fn serve(
        self: Rc<Self>, clients: TcpListener, readiness: TcpListener, end: impl Future<Output = ()>,
    ) {
        spawn(self.backends.clone().prune_idle_connections());
        spawn(Self::run_maintenance(Rc::downgrade(&self)));
        readiness::start(self.clone(), readiness);
        Frontend::serve(&self, clients, end).await;
    }

    /// Whether the platform should send new clients to this gateway.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some()
            && self.shutdown_deadline.get().is_none()
            && self.services.borrow().values().any(|service| service.serving_backends.get() > 0)
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> Option<Version> {
        self.config.borrow().as_ref().map(|config| config.version)
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
    pub fn figures(&self) -> &Rc<Metrics> {
        &self.figures
    }

    pub(crate) fn settings(&self) -> &DataPlaneSettings {
        &self.settings
    }

    pub(crate) fn config(&self) -> Option<Rc<GatewayConfig>> {
        self.config.borrow().clone()
    }

    /// The configuration in force. If there is none yet, waits at most this long for the first one.
    pub(crate) async fn wait_for_config(&self, wait: Duration) -> Option<Rc<GatewayConfig>> {
        let _ = timeout(wait, self.config_changed.notified()).await;
        self.config()
    }

    pub(crate) fn admission(&self) -> &Rc<dyn Admission> {
        &self.admission
    }

    pub(crate) fn frontend(&self) -> &Frontend {
        &self.frontend
    }

    /// The service with this name, once it has had a backend.
    pub(crate) fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.services.borrow().get(name).cloned()
    }

    /// Whether any backend of a service accepts requests.
    pub(crate) fn has_serving_backend(&self, name: &str) -> bool {
        self.services.borrow().get(name).is_some_and(|service| service.serving_backends.get() > 0)
    }

    pub(crate) fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// All services that have an engine.
    pub(crate) fn services(&self) -> Vec<(Name, Rc<Service>)> {
        self.services.borrow().iter().map(|(name, service)| (name.clone(), service.clone())).collect()
    }

    /// Begins the shutdown. The process ends at this moment at the latest.
    pub(crate) fn begin_shutdown(&self, deadline: Instant) {
        self.shutdown_deadline.set(Some(deadline));
        self.services.borrow().values().for_each(|service| service.engine.announce_shutdown(deadline));
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown_deadline.get().is_some()
    }

    /// Excludes a backend whose address is answered by another instance.
    fn mark_misdirected(&self, id: &Name) {
        let misdirected = self.instances.borrow_mut().mark_misdirected(id);
        if let Some(instance) = misdirected {
            self.recorder.record_event(
                "backend",
                format_args!("backend {id}: another instance answers at {}", instance.address),
            );
            self.publish_changes(vec![(id.clone(), instance)]);
        }
    }

    /// Passes changes to the connection pool first, so that no request is sent on outdated state, then to the engines.
    fn publish_changes(&self, changed: Vec<(Name, Instance)>) {
        let mut by_service: BTreeMap<Name, Vec<(Name, Instance)>> = BTreeMap::new();
        for (id, instance) in changed {
            by_service.entry(instance.service.clone()).or_default().push((id, instance));
        }
        for (name, changed) in by_service {
            let Some(service) = self.get_or_start_service(&name) else { continue };
            let engine = &service.engine;
            let serving =
                self.instances.borrow().serving().filter(|(_, instance)| instance.service == name).count();
            service.serving_backends.set(serving);
            let host = |(id, instance): &(Name, Instance)| Host {
                entry: BackendEntry {
                    name: id.clone(),
                    zone: instance.zone.clone(),
                    cell: 0,
                    state: instance.state(),
                    started: instance.reduced_load_since.map(|at| engine.timestamp(at)),
                },
                address: instance.address,
            };
            let hosts: Vec<_> = changed.iter().map(host).collect();
            self.backends.update(0, false, &hosts);
            engine.post(Event::BackendChanges(hosts.into_iter().map(|host| host.entry).collect()));
            for (id, instance) in changed {
                if let Some(slots) = instance.initial_capacity {
                    engine.set_backend_slots(&id, slots);
                }
                engine.post(Event::HealthReport { backend: id, down: instance.overdue });
            }
        }
    }

    /// The service with this name. If there is none yet, starts its engine.
    fn get_or_start_service(&self, name: &Name) -> Option<Rc<Service>> {
        if let Some(service) = self.service(name) {
            return Some(service);
        }
        let (gateways, gateway_index) = self.fleet.get();
        let plan = Plan {
            name: PLAN_NAME.into(),
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
        let default_class = (true, 1000, 0);
        let settings = Settings {
            gateways,
            gateway_index,
            zone: self.settings.zone.as_str().into(),
            tick: 1.0,
            classes: vec![class_settings(default_class)],
            plans: vec![plan],
            max_units: 1.0,
            may_cancel: self.settings.cancel_stalled,
            max_attempts: MAX_ATTEMPTS,
            max_retry_after: MAX_RETRY_AFTER_MS,
            cold_capacity: COLD_CAPACITY_RATIO,
            warmup_time: millis(MAX_WARMUP),
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
                self.recorder.record_event(
                    "service",
                    format_args!("service {name}: cannot start the decision engine: {error}"),
                );
                return None;
            }
        };
        self.shutdown_deadline.get().into_iter().for_each(|deadline| engine.announce_shutdown(deadline));
        let service = Rc::new(Service {
            engine,
            serving_backends: Cell::default(),
            classes: RefCell::default(),
            counts: RequestCounts::default(),
        });
        self.services.borrow_mut().insert(name.clone(), service.clone());
        Some(service)
    }

    /// Limits the connections to each backend, so that all gateways together open no more than the backend accepts.
    fn update_connection_limit(&self) {
        let config = self.config.borrow();
        let limit =
            config.iter().flat_map(|config| config.services.values()).map(|service| service.max_conns).min();
        let per_backend =
            limit.map_or(MIN_CONNECTIONS_PER_BACKEND, |limit| (limit / self.fleet.get().0) as usize);
        self.backends.set_max_per_backend(per_backend.max(MIN_CONNECTIONS_PER_BACKEND));
    }

    /// Notifies the engines of overdue backends again, and removes unused services and backends. Ends when the data
    /// plane is dropped.
    async fn run_maintenance(weak: Weak<Self>) {
        loop {
            sleep(OVERDUE_REMINDER_INTERVAL).await;
            let Some(data_plane) = weak.upgrade() else { return };
            let overdue: Vec<_> = {
                let instances = data_plane.instances.borrow();
                let overdue = instances
                    .serving()
                    .filter(|(_, instance)| instance.overdue && instance.phase == Phase::Serving);
                overdue.map(|(id, instance)| (id.clone(), instance.service.clone())).collect()
            };
            for (backend, service) in overdue {
                if let Some(service) = data_plane.service(&service) {
                    service.engine.post(Event::HealthReport { backend, down: true });
                }
            }
            data_plane.remove_unused_services();
        }
    }

    /// Removes services that are not configured, have no backends and have no waiting requests.
    fn remove_unused_services(&self) {
        let (config, instances) = (self.config.borrow(), self.instances.borrow());
        let known = |name: &str| config.as_ref().is_none_or(|config| config.services.contains_key(name));
        let mut services = self.services.borrow_mut();
        services.values().for_each(|service| service.engine.remove_gone_backends());
        services.retain(|name, service| {
            known(name) || instances.has(name) || service.engine.pending_requests() > 0
        });
    }
}
