//! `fennelscale`: one real gateway.

#![forbid(unsafe_code)]

use clap::Parser as _;
use doorcourse::Event;
use fennelscale::backends::pool::{Backends, Speech, spawn};
use fennelscale::clients::front::Front;
use fennelscale::control::config::Config;
use fennelscale::control::discovery;
use fennelscale::control::engine::{self, Engine};
use fennelscale::group::scout::Scout;
use fennelscale::group::{self, Group};
use fennelscale::observe::figures::Figures;
use fennelscale::operators::console::Console;
use fennelscale::state::detached::Detached;
use fennelscale::state::handover::{self, Parts};
use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Descriptors for all but clients and backends: standard streams, the event loop, listener, counter, discovery.
const OTHER_SOCKETS: usize = 32;
/// Of the rest, the share for clients; backends get what is left.
const CLIENT_SHARE: f64 = 0.55;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// The quota gateway. Without options it serves, by the file that NODE_CONFIG names.
#[derive(clap::Parser)]
#[command(version, about)]
struct Options {
    /// Makes a group of one out of this voter's disk when all other voters are lost for good: their names, with
    /// commas. The gateway must not be running.
    #[arg(long, value_name = "NAMES", value_delimiter = ',')]
    rescue_group: Vec<String>,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => return unusable(&error),
    };
    if !options.rescue_group.is_empty() {
        return rescue(&config, &options.rescue_group);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return unusable(&error),
    };
    LocalSet::new().block_on(&runtime, run(config))
}

fn unusable(what: &dyn Display) -> ExitCode {
    eprintln!("fennelscale: {what}");
    ExitCode::from(2)
}

fn rescue(config: &Config, lost: &[String]) -> ExitCode {
    let Some(group) = &config.group else { return unusable(&"this gateway is in no group") };
    match group.rescue(lost) {
        Ok(told) => {
            println!("{told}");
            ExitCode::SUCCESS
        }
        Err(error) => unusable(&error),
    }
}

async fn run(config: Config) -> ExitCode {
    let (mut terminate, mut interrupt, hangup) = match (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) {
        (Ok(terminate), Ok(interrupt), Ok(hangup)) => (terminate, interrupt, hangup),
        (Err(error), ..) | (_, Err(error), _) | (.., Err(error)) => return unusable(&error),
    };
    let operators = match config.console.map(|address| listen(address, false)).transpose() {
        Ok(operators) => operators,
        Err(error) => return unusable(&format!("cannot listen at NODE_CONSOLE: {error}")),
    };
    let met = match operators {
        Some(_) => handover::meet(&config.name, config.listen).await,
        None => None,
    };
    let (predecessor, listener) = match met {
        Some((predecessor, listener)) => (Some(predecessor), listener),
        None => match listen(config.listen, operators.is_some()) {
            Ok(listener) => (None, listener),
            Err(error) => return unusable(&format!("cannot listen at {}: {error}", config.listen)),
        },
    };
    let listener = Rc::new(listener);
    let settings = config.settings;
    let figures = Figures::new(&settings);
    let sockets = config.sockets.saturating_sub(config.group.as_ref().map_or(0, |_| group::DESCRIPTORS));
    let (most_clients, most_open) = shares(sockets, 0);
    let backends = Backends::new(
        Speech { reports: settings.reports },
        config.connect_timeout,
        config.backend_idle,
        most_open,
        figures.cost().clone(),
    );
    // Two processes may run on one configuration, and by one seed chance would choose alike.
    let seed = config.seed ^ predecessor.as_ref().map_or(0, |_| u64::from(std::process::id()) << 16);
    let engine = engine::start(settings.clone(), seed, backends.clone(), config.counter, figures.clone());
    let engine = match engine {
        Ok(engine) => engine,
        Err(error) => return unusable(&error),
    };
    let front = Front::new(engine.clone(), &settings, most_clients, config.grace, figures.clone());
    discovery::tell(config.known, &backends, &engine);
    let group = config.group.map(Group::start);
    if let Some(group) = group.clone().filter(|group| group.scouts()) {
        let told = engine.clone();
        let tell = move |backend, down| told.post(Event::HealthReport { backend, down });
        let scout = Scout::start(group, &settings.zone, tell);
        engine.tell_judged(Box::new(move |backend, zone, down| scout.judged(backend, zone, down)));
    }
    if let Some(operators) = operators {
        if let Ok(address) = operators.local_addr() {
            eprintln!("fennelscale {}: console at {address}", config.name);
        }
        let detached = Detached::new(&config.name, engine.clone(), backends.clone());
        let (front, engine, backends) = (front.clone(), engine.clone(), backends.clone());
        let (figures, detached_ones) = (figures.clone(), detached.clone());
        let console = Console { front, engine, figures, detached: detached_ones, group: group.clone() };
        let (front, engine) = (console.front.clone(), console.engine.clone());
        spawn(Rc::new(console).serve(operators));
        let parts = Parts { name: config.name.clone(), front, engine, backends, detached };
        if let Some(predecessor) = predecessor {
            let (front, backends, sockets) = (parts.front.clone(), parts.backends.clone(), sockets);
            let share = move |held| {
                let (most_clients, most_open) = shares(sockets, held);
                front.limit(most_clients);
                backends.limit(most_open);
            };
            if let Err(error) = predecessor.take_over(&parts, share).await {
                eprintln!("handover: nothing but the listener got: {error}");
            }
        }
        handover::await_successor(parts, Rc::downgrade(&listener));
    }
    spawn(backends.clone().keep_tidy());
    let (discovery, at) = watch::channel(config.discovery);
    let retry = discovery::retry(settings.gateways, seed);
    spawn(discovery::watch(at, backends, engine.clone(), retry, figures.cost().clone()));
    spawn(reload(hangup, discovery, engine, figures));
    if let Ok(address) = listener.local_addr() {
        eprintln!("fennelscale {}: listening at {address}", config.name);
    }
    let leaving = group.clone();
    let end = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if let Some(group) = leaving {
            spawn(async move { group.drains().await });
        }
    };
    front.serve(listener, end).await;
    if let Some(group) = group {
        group.close().await;
    }
    ExitCode::SUCCESS
}

/// How many connections of clients and to backends a process may hold, beside another one that holds so many.
fn shares(sockets: usize, held: usize) -> (usize, usize) {
    let others = if held > 0 { OTHER_SOCKETS + held } else { 0 };
    let left = sockets.saturating_sub(OTHER_SOCKETS + others).max(sockets / 4).max(2);
    let most_clients = ((left as f64 * CLIENT_SHARE) as usize).max(1);
    (most_clients, left.saturating_sub(most_clients).max(1))
}

/// Listens; a shared address can be had by another process of this gateway too, should no handover come about.
fn listen(address: SocketAddr, shared: bool) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// At SIGHUP discovery and the counter move to where the replaced file says; all else goes on as it is, and so does
/// everything if the file cannot be used.
async fn reload(
    mut hangup: Signal, discovery: watch::Sender<SocketAddr>, engine: Rc<Engine>, figures: Rc<Figures>,
) {
    while hangup.recv().await.is_some() {
        match Config::reread() {
            Ok(config) => {
                figures.reloaded(true);
                discovery.send_replace(config.discovery);
                config.counter.into_iter().for_each(|address| engine.move_counter(address));
            }
            Err(error) => {
                figures.reloaded(false);
                eprintln!("fennelscale: not reloaded: {error}");
            }
        }
    }
}
