//! Startup steps that both programs share.

use config::Settings;
use miette::{IntoDiagnostic, Result, WrapErr};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use transport::NeighborWatch;

/// Draws a random number that identifies a process instance. The standard library seeds its hashers from the operating
/// system's random number generator.
pub fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Runs a program on a runtime of the current thread.
///
/// # Errors
/// Returns the error of the program, or an error when the runtime cannot be created.
pub fn run(program: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    tokio::task::LocalSet::new().block_on(&runtime, program)
}

/// Port at which a control plane accepts connections of other processes: the first port of the port range.
pub fn peer_port(settings: &Settings) -> u16 {
    settings.port_range.0
}

/// Addresses at which the seeds accept connections of other processes. The settings name the seeds' control sockets, so
/// only their IP addresses are used: all machines of a fleet use the same port range.
pub fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    settings.seed_list.iter().map(|seed| SocketAddr::new(seed.ip(), peer_port(settings))).collect()
}

/// Starts the failure detector between neighbors, if the settings enable it. Data planes receive its datagrams at the
/// first port of the port range and control planes at the second port, so that one of each can share a machine.
///
/// # Errors
/// Returns an error when the UDP socket cannot be bound.
pub fn neighbor_watch(
    settings: &Settings, data_plane: bool, instance: u64,
) -> Result<Option<Rc<NeighborWatch>>> {
    let (first, last) = settings.port_range;
    let port = if data_plane { first } else { first.saturating_add(1) };
    let (true, IpAddr::V4(ip)) = (settings.tuning.failure_detection && port <= last, settings.ip) else {
        return Ok(None);
    };
    let address = SocketAddrV4::new(ip, port);
    let open = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    let socket = open().into_diagnostic().wrap_err_with(|| format!("receive datagrams at {address}"))?;
    let identity = transport::identity(address, &settings.node_name, data_plane, instance);
    Ok(Some(NeighborWatch::start(socket, identity, neighbor_watch_seeds(settings), instance)))
}

/// Addresses at which the processes on the seeds' machines receive datagrams of the failure detector.
pub fn neighbor_watch_seeds(settings: &Settings) -> Vec<SocketAddr> {
    let (first, _) = settings.port_range;
    let addresses =
        |seed: &SocketAddr| [first, first.saturating_add(1)].map(|port| SocketAddr::new(seed.ip(), port));
    settings.seed_list.iter().flat_map(addresses).collect()
}

/// Listens with a backlog that is large enough for a burst of reconnecting clients.
///
/// # Errors
/// Returns an error when the address cannot be bound.
pub fn listen(purpose: &str, address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = match address {
            SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
            SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    };
    open().into_diagnostic().wrap_err_with(|| format!("listen for {purpose} at {address}"))
}
