//! TCP relays with injected faults. Every connection between two parties of a trial passes through a relay of the test
//! tool. Each direction between two parties is a [`Link`] with faults of its own.
//!
//! Invariants:
//! - A relay keeps the order of bytes and never invents bytes.
//! - A relay forwards half-closes and resets.
//! - A relay applies backpressure: when the receiver stops reading, the relay buffers up to [`MAX_BUFFERED_BYTES`] of
//!   that direction and then stops reading from the sender.
//! - When a fault has withheld or dropped bytes of a connection, the relay resets the connection at the end of the
//!   fault. The connection never continues with a gap in its stream.

use crate::Random;
use bytes::{Buf as _, Bytes};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

/// Size of one read from a socket, in bytes.
const CHUNK_SIZE: usize = 16 * 1024;
/// A relay stops reading one direction of a connection while it buffers this many bytes of that direction.
pub const MAX_BUFFERED_BYTES: usize = 64 * CHUNK_SIZE;
/// Listen backlog: maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Time for which a relay may fail to listen again on its port without a counted failure. Between fork and exec, a
/// child process of the tool inherits the closed listener's descriptor, which keeps the port in use.
const REBIND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for filling the relay's own accept queue when the relay stops responding to connection attempts.
const BACKLOG_FILL_TIMEOUT: Duration = Duration::from_millis(200);

/// How one direction of a link treats bytes. The variants are ordered by severity: when several faults are active, the
/// most severe one applies.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Flow {
    /// Bytes pass unchanged.
    Free,
    /// At most this many bytes pass per second.
    Throttled(u64),
    /// Each chunk is delayed by a time drawn uniformly between these two bounds, in milliseconds.
    Delayed(f64, f64),
    /// Each connection is reset after this many of its bytes have passed since the start of the fault.
    CutAfter(u64),
    /// Connections are established, but the relay discards all bytes written to them.
    Mute,
    /// Simulates an unreachable machine: open connections stay open without traffic, connection attempts get no
    /// response.
    BlackHole,
    /// Open connections are reset and connection attempts are refused.
    Reset,
}

/// Kind of a link fault, as fault schedules name the kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// [`Flow::BlackHole`].
    Cut,
    /// [`Flow::Reset`].
    Reset,
    /// [`Flow::Mute`].
    Mute,
    /// [`Flow::Delayed`]; requires `ms`.
    Delay,
    /// [`Flow::Throttled`]; requires `bytes`.
    Throttle,
    /// [`Flow::CutAfter`]; requires `bytes`.
    CutAfter,
}

impl LinkFault {
    /// Converts the fault kind and its parameters into the treatment of bytes on the affected links.
    ///
    /// # Errors
    /// Returns a message when a required parameter is missing or invalid.
    pub fn flow(self, ms: Option<(f64, f64)>, bytes: Option<u64>) -> Result<Flow, &'static str> {
        let bytes = || bytes.filter(|bytes| *bytes > 0).ok_or("bytes, above 0, is missing");
        Ok(match self {
            Self::Cut => Flow::BlackHole,
            Self::Reset => Flow::Reset,
            Self::Mute => Flow::Mute,
            Self::Throttle => Flow::Throttled(bytes()?),
            Self::CutAfter => Flow::CutAfter(bytes()?),
            Self::Delay => {
                let (min_ms, max_ms) = ms.unwrap_or((-1.0, -1.0));
                if !(min_ms >= 0.0 && max_ms >= min_ms && max_ms <= 60_000.0) {
                    return Err("ms = [min, max] is missing, reversed or outside 0 to 60000");
                }
                Flow::Delayed(min_ms, max_ms)
            }
        })
    }
}

/// Returns the links from the group `from` to the group `to` and, unless `one_way`, the links back, sorted and without
/// duplicates. Only pairs of parties of which one opens connections to the other (`connects`) are included.
///
/// Links to a party that is in both groups are included only with `include_internal`. Without `include_internal`, a
/// zone that is cut off from all parties keeps the links inside the zone.
pub fn links_between<P: Copy + Ord>(
    from: &[P], to: &[P], one_way: bool, include_internal: bool, connects: impl Fn(P, P) -> bool,
) -> Vec<(P, P)> {
    let mut links = Vec::new();
    for a in from {
        for b in to.iter().filter(|b| include_internal || !from.contains(b)) {
            if !connects(*a, *b) && !connects(*b, *a) {
                continue;
            }
            links.push((*a, *b));
            if !one_way {
                links.push((*b, *a));
            }
        }
    }
    links.sort();
    links.dedup();
    links
}

/// One direction between two parties, with its active faults.
#[derive(Debug)]
pub struct Link {
    faults: Mutex<Vec<(usize, Flow)>>,
    flow: watch::Sender<Flow>,
    /// Number of bytes that have passed, over all connections.
    pub bytes_passed: AtomicU64,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            faults: Mutex::default(),
            flow: watch::Sender::new(Flow::Free),
            bytes_passed: AtomicU64::new(0),
        }
    }
}

impl Link {
    /// Activates a fault on this link.
    pub fn begin(&self, fault: usize, flow: Flow) {
        self.update_faults(|faults| faults.push((fault, flow)));
    }

    /// Deactivates a fault on this link.
    pub fn end(&self, fault: usize) {
        self.update_faults(|faults| faults.retain(|(number, _)| *number != fault));
    }

    fn update_faults(&self, update: impl FnOnce(&mut Vec<(usize, Flow)>)) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        update(&mut faults);
        let flows = faults.iter().map(|(_, flow)| *flow);
        let most_severe = flows.fold(Flow::Free, |worst, flow| if flow > worst { flow } else { worst });
        self.flow.send_if_modified(|current| std::mem::replace(current, most_severe) != most_severe);
    }

    fn flow(&self) -> Flow {
        *self.flow.borrow()
    }
}

/// Failures of the relays themselves, for example a lack of descriptors or ports. A trial with such failures has no
/// verdict.
#[derive(Debug, Default)]
pub struct Failures {
    count: AtomicU64,
    last_failure: Mutex<String>,
}

impl Failures {
    fn add(&self, operation: &str, error: &io::Error) {
        self.count.fetch_add(1, Ordering::Relaxed);
        *self.last_failure.lock().unwrap_or_else(PoisonError::into_inner) = format!("{operation}: {error}");
    }
}

/// Relay for the connections of one party to one address of another party.
pub struct Relay {
    /// Address of the relay, to which the client connects.
    pub address: SocketAddr,
    /// Link from the client to the target.
    pub forward: Arc<Link>,
    /// Link from the target to the client.
    pub backward: Arc<Link>,
    source: IpAddr,
    target: SocketAddr,
    /// Whether the target's process listens. Otherwise, the relay refuses connections.
    target_listening: watch::Sender<bool>,
    failures: Arc<Failures>,
    /// Bound socket that never listens. It reserves the port while the relay has no listener.
    _port_reservation: TcpSocket,
}

/// How the relay answers connection attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ListenerState {
    Accepting,
    /// Connection attempts get no response.
    Unresponsive,
    /// Connection attempts are refused.
    Refusing,
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

impl Relay {
    /// Starts a relay that listens at `listen_address`, which only the client uses, and connects to `target` from the
    /// address `source`. The relay runs until the runtime shuts down.
    ///
    /// # Errors
    /// Returns an error when the relay cannot bind or listen at `listen_address`.
    pub fn start(
        listen_address: SocketAddr, source: IpAddr, target: SocketAddr, forward: Arc<Link>,
        backward: Arc<Link>, target_listening: bool, failures: Arc<Failures>,
    ) -> io::Result<Arc<Self>> {
        // A socket that never listens reserves the port, so that the listener can be closed and opened again.
        let reservation = bind(listen_address)?;
        let address = reservation.local_addr()?;
        let target_listening = watch::Sender::new(target_listening);
        let relay = Arc::new(Self {
            address,
            forward,
            backward,
            source,
            target,
            target_listening,
            failures,
            _port_reservation: reservation,
        });
        let first_listener = relay.listen()?;
        tokio::spawn(relay.clone().run(first_listener));
        Ok(relay)
    }

    /// Sets whether the target's process listens.
    pub fn set_listening(&self, listening: bool) {
        self.target_listening.send_if_modified(|current| std::mem::replace(current, listening) != listening);
    }

    fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(BACKLOG as u32)
    }

    fn listener_state(&self) -> ListenerState {
        let (forward, backward) = (self.forward.flow(), self.backward.flow());
        if !*self.target_listening.borrow() || forward == Flow::Reset || backward == Flow::Reset {
            ListenerState::Refusing
        } else if forward == Flow::BlackHole || backward == Flow::BlackHole {
            ListenerState::Unresponsive
        } else {
            ListenerState::Accepting
        }
    }

    async fn run(self: Arc<Self>, first_listener: TcpListener) {
        let mut changes = (
            self.forward.flow.subscribe(),
            self.backward.flow.subscribe(),
            self.target_listening.subscribe(),
        );
        let (mut listener, mut backlog_filler, mut rebind_failing_since) = (Some(first_listener), None, None);
        loop {
            let state = {
                changes.0.mark_unchanged();
                changes.1.mark_unchanged();
                changes.2.mark_unchanged();
                self.listener_state()
            };
            match (state, &listener) {
                (ListenerState::Refusing, _) => (listener, backlog_filler) = (None, None),
                (_, None) => match self.listen() {
                    Ok(new) => {
                        (listener, rebind_failing_since) = (Some(new), None);
                        continue;
                    }
                    Err(error) => {
                        if rebind_failing_since.get_or_insert_with(Instant::now).elapsed() > REBIND_TIMEOUT {
                            self.failures.add("listen again", &error);
                        }
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
                (ListenerState::Unresponsive, Some(socket)) if backlog_filler.is_none() => {
                    // The kernel drops connection attempts while the accept queue is full. A connection of the relay
                    // to itself fills the queue of backlog 0.
                    let _ = rustix::net::listen(socket, 0);
                    backlog_filler =
                        Some(timeout(BACKLOG_FILL_TIMEOUT, TcpStream::connect(self.address)).await.ok());
                }
                (ListenerState::Accepting, Some(socket)) if backlog_filler.is_some() => {
                    // Resets all connections in the accept queue, including the relay's own.
                    let _ = rustix::net::listen(socket, BACKLOG);
                    while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(1), socket.accept()).await {
                        let _ = stream.set_zero_linger();
                    }
                    backlog_filler = None;
                }
                _ => {}
            }
            let accepted = async {
                match &listener {
                    Some(socket) if state == ListenerState::Accepting => socket.accept().await,
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                accepted = accepted => match accepted {
                    Ok((stream, _)) => drop(tokio::spawn(self.clone().relay_connection(stream))),
                    Err(error) => {
                        self.failures.add("accept", &error);
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                },
                _ = changes.0.changed() => {}
                _ = changes.1.changed() => {}
                _ = changes.2.changed() => {}
            }
        }
    }

    async fn relay_connection(self: Arc<Self>, mut client: TcpStream) {
        let connect = async {
            let socket = TcpSocket::new_v4()?;
            socket.bind(SocketAddr::new(self.source, 0))?;
            socket.connect(self.target).await
        };
        let Ok(mut server) = connect.await else {
            let _ = client.set_zero_linger();
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let failed = {
            let (client_read, client_write) = client.split();
            let (server_read, server_write) = server.split();
            tokio::try_join!(
                copy_bytes(client_read, server_write, &self.forward),
                copy_bytes(server_read, client_write, &self.backward)
            )
            .is_err()
        };
        if failed {
            let _ = (client.set_zero_linger(), server.set_zero_linger());
        }
    }
}

/// Copies the bytes of one direction of a connection until the end of the stream. On an error, the caller resets both
/// directions of the connection.
async fn copy_bytes(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, link: &Link) -> io::Result<()> {
    let mut flow_changes = link.flow.subscribe();
    let mut random =
        Random::new(std::process::id().into(), "relay", link.bytes_passed.load(Ordering::Relaxed));
    // Chunks in order, each with the earliest time at which the relay may write the chunk.
    let mut queue: VecDeque<(Instant, Bytes)> = VecDeque::new();
    let mut buffer = vec![0; CHUNK_SIZE];
    // `bytes_withheld`: a fault has withheld or dropped bytes of this connection.
    let (mut read_closed, mut bytes_withheld, mut queued_bytes, mut next_write_at) =
        (false, false, 0, Instant::now());
    let mut bytes_until_reset = None;
    loop {
        let flow = *flow_changes.borrow_and_update();
        let (black_hole, mute) = (flow == Flow::BlackHole, flow == Flow::Mute);
        if flow == Flow::Reset || (bytes_withheld && !black_hole && !mute) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        bytes_withheld |= black_hole && !queue.is_empty();
        bytes_until_reset = match (flow, bytes_until_reset) {
            (Flow::CutAfter(limit), None) => Some(limit),
            (Flow::CutAfter(_), remaining) => remaining,
            _ => None,
        };
        if bytes_until_reset == Some(0) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if read_closed && queue.is_empty() && !black_hole {
            return to.shutdown().await;
        }
        let write_at = queue.front().map(|(due, _)| (*due).max(next_write_at));
        let max_write = match flow {
            Flow::Throttled(rate) => (rate as usize / 20).clamp(1, CHUNK_SIZE),
            Flow::CutAfter(_) => bytes_until_reset.map_or(CHUNK_SIZE, |remaining| remaining as usize),
            _ => CHUNK_SIZE,
        };
        let write = async {
            match (write_at, queue.front()) {
                (Some(write_at), Some((_, chunk))) if !black_hole => {
                    if write_at > Instant::now() {
                        sleep_until(write_at).await;
                    }
                    to.write(&chunk[..chunk.len().min(max_write)]).await
                }
                _ => std::future::pending().await,
            }
        };
        // A black hole leaves bytes in the socket. Readable bytes mark the connection as one to reset at the end of the
        // fault; an idle connection survives the fault.
        let read = async {
            match (
                black_hole,
                read_closed || (black_hole && bytes_withheld) || queued_bytes >= MAX_BUFFERED_BYTES,
            ) {
                (_, true) => std::future::pending().await,
                (true, _) => from.readable().await.map(|()| None),
                (false, _) => from.read(&mut buffer).await.map(Some),
            }
        };
        tokio::select! {
            biased;
            changed = flow_changes.changed() => changed.map_err(io::Error::other)?,
            written = write => {
                let written = written?;
                link.bytes_passed.fetch_add(written as u64, Ordering::Relaxed);
                queued_bytes -= written;
                bytes_until_reset = bytes_until_reset.map(|remaining| remaining.saturating_sub(written as u64));
                if let Flow::Throttled(rate) = flow {
                    next_write_at = Instant::now() + Duration::from_secs_f64(written as f64 / rate.max(1) as f64);
                }
                let chunk_written = queue.front_mut().is_some_and(|(_, chunk)| {
                    chunk.advance(written);
                    chunk.is_empty()
                });
                if chunk_written {
                    queue.pop_front();
                }
            }
            read = read => {
                let Some(read) = read? else {
                    bytes_withheld = true;
                    continue;
                };
                read_closed = read == 0;
                bytes_withheld |= mute;
                if read > 0 && !mute {
                    let delay_ms = match flow {
                        Flow::Delayed(min_ms, max_ms) => min_ms + (max_ms - min_ms) * random.unit(),
                        _ => 0.0,
                    };
                    // A chunk never becomes due before the chunk ahead of it, so bytes stay in order.
                    let due = Instant::now() + Duration::from_secs_f64(delay_ms.max(0.0) / 1000.0);
                    let due = queue.back().map_or(due, |(last, _)| due.max(*last));
                    queued_bytes += read;
                    queue.push_back((due, Bytes::copy_from_slice(&buffer[..read])));
                }
            }
        }
    }
}

/// Client, target and the relay between both.
type RelayEntry<P> = (P, P, Arc<Relay>);

/// All links and relays between the parties of a trial. `P` identifies a party.
pub struct Net<P> {
    failures: Arc<Failures>,
    links: Mutex<BTreeMap<(P, P), Arc<Link>>>,
    relays: Mutex<Vec<RelayEntry<P>>>,
}

impl<P> Default for Net<P> {
    fn default() -> Self {
        Self { failures: Arc::default(), links: Mutex::default(), relays: Mutex::default() }
    }
}

impl<P: Copy + Ord> Net<P> {
    fn relays(&self) -> MutexGuard<'_, Vec<RelayEntry<P>>> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the link from one party to another and creates the link on first use.
    pub fn link(&self, from: P, to: P) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.entry((from, to)).or_default().clone()
    }

    /// Adds a relay for connections of the party `from` to the party `to`, whose process listens at `target`. The relay
    /// listens at `listen_address` (port 0 selects any free port) and connects to `target` from `source`. Returns the
    /// address of the relay.
    ///
    /// # Errors
    /// Returns an error when the relay cannot listen.
    pub fn add_relay(
        &self, (from, to): (P, P), listen_address: SocketAddr, source: IpAddr, target: SocketAddr,
        target_listening: bool,
    ) -> io::Result<SocketAddr> {
        let (forward, backward) = (self.link(from, to), self.link(to, from));
        let relay = Relay::start(
            listen_address,
            source,
            target,
            forward,
            backward,
            target_listening,
            self.failures.clone(),
        )?;
        let address = relay.address;
        self.relays().push((from, to, relay));
        Ok(address)
    }

    /// Sets whether a party's process listens. While it does not, the relays refuse connections to the party.
    pub fn set_listening(&self, party: P, listening: bool) {
        self.relays()
            .iter()
            .filter(|(_, to, _)| *to == party)
            .for_each(|(_, _, relay)| relay.set_listening(listening));
    }

    /// Number of failures of the relays themselves.
    pub fn failure_count(&self) -> u64 {
        self.failures.count.load(Ordering::Relaxed)
    }

    /// Message of the latest failure of a relay; empty when no relay has failed.
    pub fn last_failure(&self) -> String {
        self.failures.last_failure.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// All links, each as the pair of sending and receiving party.
    pub fn links(&self) -> Vec<(P, P)> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.keys().copied().collect()
    }

    /// Activates a fault on the given links.
    pub fn begin(&self, fault: usize, links: &[(P, P)], flow: Flow) {
        links.iter().for_each(|(from, to)| self.link(*from, *to).begin(fault, flow));
    }

    /// Deactivates a fault on all links.
    pub fn end(&self, fault: usize) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.values().for_each(|link| link.end(fault));
    }
}
