//! What both programs need at their start.

use config::Settings;
use miette::{IntoDiagnostic, Result, WrapErr};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use transport::NeighborWatch;

/// A number that no other process draws: the standard library seeds its hashers from the system's randomness.
pub fn draw() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Runs a program on this one thread.
///
/// # Errors
/// Those of the program, and when the runtime can't be set up.
pub fn run(program: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    tokio::task::LocalSet::new().block_on(&runtime, program)
}

/// Where processes that serve control take each other's connections: the first of the ports that are theirs.
pub fn peer_port(settings: &Settings) -> u16 {
    settings.port_range.0
}

/// Where the seeds take connections of other processes: settings name their control sockets, all machines of a fleet
/// have the same ports.
pub fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    settings.seed_list.iter().map(|seed| SocketAddr::new(seed.ip(), peer_port(settings))).collect()
}

/// Starts the watch, where the settings want it. DataPlanes take datagrams at the first of the ports that are theirs,
/// processes that serve control at the second, so that two on one machine get along.
pub fn watch(settings: &Settings, data_plane: bool, life: u64) -> Result<Option<Rc<NeighborWatch>>> {
    let (first, last) = settings.port_range;
    let port = if data_plane { first } else { first.saturating_add(1) };
    let (true, IpAddr::V4(ip)) = (settings.tuning.failure_detection && port <= last, settings.ip) else {
        return Ok(None);
    };
    let at = SocketAddrV4::new(ip, port);
    let open = || {
        let socket = std::net::UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    let socket = open().into_diagnostic().wrap_err_with(|| format!("take datagrams at {at}"))?;
    let card = transport::card(at, &settings.node_name, data_plane, life);
    Ok(Some(NeighborWatch::start(socket, card, watch_seeds(settings), life)))
}

/// Where the processes on the seeds' machines take datagrams.
pub fn watch_seeds(settings: &Settings) -> Vec<SocketAddr> {
    let (first, _) = settings.port_range;
    let both =
        |seed: &SocketAddr| [first, first.saturating_add(1)].map(|port| SocketAddr::new(seed.ip(), port));
    settings.seed_list.iter().flat_map(both).collect()
}

/// Listens, with a queue that bears a herd.
///
/// # Errors
/// When the address can't be had.
pub fn listen(what: &str, address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = match address {
            SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
            SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    };
    open().into_diagnostic().wrap_err_with(|| format!("listen for {what} at {address}"))
}
