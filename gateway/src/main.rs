//! `fennelscale`: the quota gateway process.

#![forbid(unsafe_code)]

use clap::Parser as _;
use doorcourse::Event;
use fennelscale::backends::pool::{BackendProtocol, Backends, spawn};
use fennelscale::clients::frontend::Frontend;
use fennelscale::control::config::Config;
use fennelscale::control::discovery;
use fennelscale::control::engine::{self, Engine};
use fennelscale::group::scout::Scout;
use fennelscale::group::{self, GroupMembership};
use fennelscale::observe::metrics::Metrics;
use fennelscale::operators::console::Console;
use fennelscale::state::detached::DetachedBackends;
use fennelscale::state::handover::{self, Parts};
use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// File descriptors reserved for standard streams, the event loop, the listener, the counter and discovery.
const RESERVED_DESCRIPTORS: usize = 32;
/// The share of the remaining descriptors for client connections; the rest is for connections to backends.
const CLIENT_DESCRIPTOR_RATIO: f64 = 0.55;

/// Length of the accept queue.
const LISTEN_BACKLOG: u32 = 1024;

/// The quota gateway. Without options it serves with the configuration file named by NODE_CONFIG.
#[derive(clap::Parser)]
#[command(version, about)]
struct Options {
    /// Rebuilds the group from this voter's disk, with this gateway as the only voter, after all other voters are
    /// permanently lost. Takes the names of the lost voters, separated by commas. The gateway must not be running.
    #[arg(long, value_name = "NAMES", value_delimiter = ',')]
    rescue_group: Vec<String>,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => return fail(&error),
    };
    if !options.rescue_group.is_empty() {
        return rescue(&config, &options.rescue_group);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    LocalSet::new().block_on(&runtime, run(config))
}

fn fail(what: &dyn Display) -> ExitCode {
    eprintln!("fennelscale: {what}");
    ExitCode::from(2)
}

fn rescue(config: &Config, lost: &[String]) -> ExitCode {
    let Some(group) = &config.group else { return fail(&"this gateway is in no group") };
    match group.rescue(lost) {
        Ok(message) => {
            println!("{message}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

async fn run(config: Config) -> ExitCode {
    let (mut terminate, mut interrupt, hangup) = match (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) {
        (Ok(terminate), Ok(interrupt), Ok(hangup)) => (terminate, interrupt, hangup),
        (Err(error), ..) | (_, Err(error), _) | (.., Err(error)) => return fail(&error),
    };
    let operators = match config.console.map(|address| listen(address, false)).transpose() {
        Ok(operators) => operators,
        Err(error) => return fail(&format!("cannot listen at NODE_CONSOLE: {error}")),
    };
    let found = match operators {
        Some(_) => handover::find_predecessor(&config.name, config.listen).await,
        None => None,
    };
    let (predecessor, listener) = match found {
        Some((predecessor, listener)) => (Some(predecessor), listener),
        None => match listen(config.listen, operators.is_some()) {
            Ok(listener) => (None, listener),
            Err(error) => return fail(&format!("cannot listen at {}: {error}", config.listen)),
        },
    };
    let listener = Rc::new(listener);
    let settings = config.settings;
    let metrics = Metrics::new(&settings);
    let max_descriptors =
        config.max_descriptors.saturating_sub(config.group.as_ref().map_or(0, |_| group::DESCRIPTORS));
    let (max_clients, max_connections) = connection_limits(max_descriptors, 0);
    let backends = Backends::new(
        BackendProtocol { reports: settings.reports },
        config.connect_timeout,
        config.backend_idle_timeout,
        max_connections,
        metrics.usage().clone(),
    );
    // Two processes may run with the same configuration during a handover; with the same seed both would make the same
    // random choices.
    let seed = config.seed ^ predecessor.as_ref().map_or(0, |_| u64::from(std::process::id()) << 16);
    let engine = engine::start(settings.clone(), seed, backends.clone(), config.counter, metrics.clone());
    let engine = match engine {
        Ok(engine) => engine,
        Err(error) => return fail(&error),
    };
    let frontend =
        Frontend::new(engine.clone(), &settings, max_clients, config.grace_period, metrics.clone());
    discovery::apply_list(config.known, &backends, &engine);
    let group = config.group.map(GroupMembership::start);
    if let Some(group) = group.clone().filter(|group| group.scout_enabled()) {
        let engine_handle = engine.clone();
        let on_report = move |backend, down| engine_handle.post(Event::HealthReport { backend, down });
        let scout = Scout::start(group, &settings.zone, on_report);
        engine.set_health_observer(Box::new(move |backend, zone, down| {
            scout.report_health(backend, zone, down)
        }));
    }
    if let Some(operators) = operators {
        if let Ok(address) = operators.local_addr() {
            eprintln!("fennelscale {}: console at {address}", config.name);
        }
        let detached = DetachedBackends::new(&config.name, engine.clone(), backends.clone());
        let (frontend, engine, backends) = (frontend.clone(), engine.clone(), backends.clone());
        let (metrics, console_detached) = (metrics.clone(), detached.clone());
        let console = Console { frontend, engine, metrics, detached: console_detached, group: group.clone() };
        let (frontend, engine) = (console.frontend.clone(), console.engine.clone());
        spawn(Rc::new(console).serve(operators));
        let parts = Parts { name: config.name.clone(), frontend, engine, backends, detached };
        if let Some(predecessor) = predecessor {
            let (frontend, backends, max_descriptors) =
                (parts.frontend.clone(), parts.backends.clone(), max_descriptors);
            let on_shared = move |held| {
                let (max_clients, max_connections) = connection_limits(max_descriptors, held);
                frontend.set_max_clients(max_clients);
                backends.set_max_connections(max_connections);
            };
            if let Err(error) = predecessor.take_over(&parts, on_shared).await {
                eprintln!("handover: received only the listener: {error}");
            }
        }
        handover::await_successor(parts, Rc::downgrade(&listener));
    }
    spawn(backends.clone().prune_idle_connections());
    let (discovery, at) = watch::channel(config.discovery);
    let backoff = discovery::backoff(settings.gateways, seed);
    spawn(discovery::watch(at, backends, engine.clone(), backoff, metrics.usage().clone()));
    spawn(reload_on_hangup(hangup, discovery, engine, metrics));
    if let Ok(address) = listener.local_addr() {
        eprintln!("fennelscale {}: listening at {address}", config.name);
    }
    let leaving = group.clone();
    let shutdown = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if let Some(group) = leaving {
            spawn(async move { group.drain().await });
        }
    };
    frontend.serve(listener, shutdown).await;
    if let Some(group) = group {
        group.close().await;
    }
    ExitCode::SUCCESS
}

/// The maximum numbers of client and of backend connections, while another process of this gateway still holds `held`
/// descriptors.
fn connection_limits(max_descriptors: usize, held: usize) -> (usize, usize) {
    let others = if held > 0 { RESERVED_DESCRIPTORS + held } else { 0 };
    let left = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS + others).max(max_descriptors / 4).max(2);
    let max_clients = ((left as f64 * CLIENT_DESCRIPTOR_RATIO) as usize).max(1);
    (max_clients, left.saturating_sub(max_clients).max(1))
}

/// Binds a listener. With `shared` another process of this gateway can bind the same address, in case no handover takes
/// place.
fn listen(address: SocketAddr, shared: bool) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Reloads the configuration file at SIGHUP: only the addresses of discovery and of the counter change. If the file is
/// invalid, nothing changes.
async fn reload_on_hangup(
    mut hangup: Signal, discovery: watch::Sender<SocketAddr>, engine: Rc<Engine>, metrics: Rc<Metrics>,
) {
    while hangup.recv().await.is_some() {
        match Config::reload() {
            Ok(config) => {
                metrics.record_reload(true);
                discovery.send_replace(config.discovery);
                config.counter.into_iter().for_each(|address| engine.set_counter_address(address));
            }
            Err(error) => {
                metrics.record_reload(false);
                eprintln!("fennelscale: configuration not reloaded: {error}");
            }
        }
    }
}
