//! Relays: every connection between two parties of a trial runs through one that the tool owns, and each direction
//! of it is a link of its own with its own faults.
//!
//! Invariants: bytes leave in the order in which they came, and none is made up; a half-close and a reset pass on;
//! a reader that stops stops its writer (at most [`MAX_BUFFERED_BYTES`] bytes wait in a relay). A connection that a fault has
//! taken bytes from never goes on as if nothing had been: it is reset when the fault ends.

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

/// Bytes read at once, and the most that wait in one direction of a connection.
const PIECE: usize = 16 * 1024;
/// See [`PIECE`].
pub const MAX_BUFFERED_BYTES: usize = 64 * PIECE;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// A process that is just being started holds, until it runs its program, what its parent had open: the port of a
/// relay that has closed may be taken for so long.
const BUSY: Duration = Duration::from_secs(1);
/// How long the relay tries to fill its own line of waiting connections when it hides.
const FILLING: Duration = Duration::from_millis(200);

/// What one direction of a link does with bytes. Where several faults hold at once, the hardest one counts: the
/// order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Flow {
    /// They pass.
    Free,
    /// Only so many bytes a second pass.
    Throttled(u64),
    /// Each piece passes after a time drawn evenly from these two, in ms.
    Delayed(f64, f64),
    /// The connection is reset once this many bytes have passed since the fault began.
    CutAfter(u64),
    /// Connections come up, and what is written vanishes.
    Mute,
    /// As with a machine that vanished: open connections stay open and silent, new ones never come up.
    BlackHole,
    /// Connections are reset, new ones are refused.
    Reset,
}

/// What a fault of links does to them, as schedules name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// [`Flow::BlackHole`].
    Cut,
    /// [`Flow::Reset`].
    Reset,
    /// [`Flow::Mute`].
    Mute,
    /// [`Flow::Delayed`], which wants `ms`.
    Delay,
    /// [`Flow::Throttled`], which wants `bytes`.
    Throttle,
    /// [`Flow::CutAfter`], which wants `bytes`.
    CutAfter,
}

impl LinkFault {
    /// What the links do.
    ///
    /// # Errors
    /// When a figure is missing or of no use; in words.
    pub fn flow(self, ms: Option<(f64, f64)>, bytes: Option<u64>) -> Result<Flow, &'static str> {
        let bytes = || bytes.filter(|bytes| *bytes > 0).ok_or("bytes, above 0, is missing");
        Ok(match self {
            Self::Cut => Flow::BlackHole,
            Self::Reset => Flow::Reset,
            Self::Mute => Flow::Mute,
            Self::Throttle => Flow::Throttled(bytes()?),
            Self::CutAfter => Flow::CutAfter(bytes()?),
            Self::Delay => {
                let (least, most) = ms.unwrap_or((-1.0, -1.0));
                if !(least >= 0.0 && most >= least && most <= 60_000.0) {
                    return Err("ms = [least, most] is missing or out of order");
                }
                Flow::Delayed(least, most)
            }
        })
    }
}

/// The links between two groups, in the direction from the one to the other and, unless `one_way`, back; `talk` says
/// who connects to whom. Unless the first group is `whole`, parties of both keep each other: a zone that is cut from
/// all is whole inside.
pub fn links_between<P: Copy + Ord>(
    from: &[P], to: &[P], one_way: bool, whole: bool, talk: impl Fn(P, P) -> bool,
) -> Vec<(P, P)> {
    let mut links = Vec::new();
    for a in from {
        for b in to.iter().filter(|b| whole || !from.contains(b)) {
            if !talk(*a, *b) && !talk(*b, *a) {
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

/// One direction between two parties.
#[derive(Debug)]
pub struct Link {
    faults: Mutex<Vec<(usize, Flow)>>,
    flow: watch::Sender<Flow>,
    /// Bytes that have passed.
    pub passed: AtomicU64,
}

impl Default for Link {
    fn default() -> Self {
        Self { faults: Mutex::default(), flow: watch::Sender::new(Flow::Free), passed: AtomicU64::new(0) }
    }
}

impl Link {
    /// A fault holds from now on.
    pub fn begin(&self, fault: usize, flow: Flow) {
        self.change(|faults| faults.push((fault, flow)));
    }

    /// A fault holds no longer.
    pub fn end(&self, fault: usize) {
        self.change(|faults| faults.retain(|(number, _)| *number != fault));
    }

    fn change(&self, how: impl FnOnce(&mut Vec<(usize, Flow)>)) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        how(&mut faults);
        let flows = faults.iter().map(|(_, flow)| *flow);
        let hardest = flows.fold(Flow::Free, |hardest, flow| if flow > hardest { flow } else { hardest });
        self.flow.send_if_modified(|now| std::mem::replace(now, hardest) != hardest);
    }

    fn flow(&self) -> Flow {
        *self.flow.borrow()
    }
}

/// How often relays themselves failed, for want of descriptors or ports: a trial with such has no verdict.
#[derive(Debug, Default)]
pub struct Failures {
    count: AtomicU64,
    last: Mutex<String>,
}

impl Failures {
    fn add(&self, what: &str, error: &io::Error) {
        self.count.fetch_add(1, Ordering::Relaxed);
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = format!("{what}: {error}");
    }
}

/// One relay: a listener for one party's connections to another.
pub struct Relay {
    /// Where the party that connects finds the other one.
    pub address: SocketAddr,
    /// Bytes of the one that connects.
    pub there: Arc<Link>,
    /// Bytes of the other one.
    pub back: Arc<Link>,
    source: IpAddr,
    target: SocketAddr,
    /// Whether the target's process listens; otherwise connections are refused.
    up: watch::Sender<bool>,
    failed: Arc<Failures>,
    /// Holds the port while nobody listens at it.
    _place: TcpSocket,
}

/// Who the relay is to those that connect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Door {
    Open,
    /// New connections never come up.
    Hidden,
    /// New connections are refused.
    Closed,
}

fn bound(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

impl Relay {
    /// Starts one that listens at an address (of the connecting party's own), and connects on from another one. It
    /// lives as long as the runtime.
    ///
    /// # Errors
    /// When the address cannot be had.
    pub fn start(
        at: SocketAddr, source: IpAddr, target: SocketAddr, there: Arc<Link>, back: Arc<Link>, up: bool,
        failed: Arc<Failures>,
    ) -> io::Result<Arc<Self>> {
        // The port is held by a socket that never listens, so that it can be closed and opened again.
        let place = bound(at)?;
        let address = place.local_addr()?;
        let up = watch::Sender::new(up);
        let relay = Arc::new(Self { address, there, back, source, target, up, failed, _place: place });
        let first = relay.listen()?;
        tokio::spawn(relay.clone().run(first));
        Ok(relay)
    }

    /// Says whether the target's process listens.
    pub fn set_listening(&self, up: bool) {
        self.up.send_if_modified(|now| std::mem::replace(now, up) != up);
    }

    fn listen(&self) -> io::Result<TcpListener> {
        bound(self.address)?.listen(BACKLOG as u32)
    }

    fn door(&self) -> Door {
        let (there, back) = (self.there.flow(), self.back.flow());
        if !*self.up.borrow() || there == Flow::Reset || back == Flow::Reset {
            Door::Closed
        } else if there == Flow::BlackHole || back == Flow::BlackHole {
            Door::Hidden
        } else {
            Door::Open
        }
    }

    async fn run(self: Arc<Self>, first: TcpListener) {
        let mut changes = (self.there.flow.subscribe(), self.back.flow.subscribe(), self.up.subscribe());
        let (mut listener, mut filler, mut shut) = (Some(first), None, None);
        loop {
            let door = {
                changes.0.mark_unchanged();
                changes.1.mark_unchanged();
                changes.2.mark_unchanged();
                self.door()
            };
            match (door, &listener) {
                (Door::Closed, _) => (listener, filler) = (None, None),
                (_, None) => match self.listen() {
                    Ok(new) => {
                        (listener, shut) = (Some(new), None);
                        continue;
                    }
                    Err(error) => {
                        if shut.get_or_insert_with(Instant::now).elapsed() > BUSY {
                            self.failed.add("listen again", &error);
                        }
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
                (Door::Hidden, Some(open)) if filler.is_none() => {
                    // A line of waiting connections that is full makes the system drop what knocks.
                    let _ = rustix::net::listen(open, 0);
                    filler = Some(timeout(FILLING, TcpStream::connect(self.address)).await.ok());
                }
                (Door::Open, Some(open)) if filler.is_some() => {
                    // What has waited in that line is reset, the relay's own connection too.
                    let _ = rustix::net::listen(open, BACKLOG);
                    while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(1), open.accept()).await {
                        let _ = stream.set_zero_linger();
                    }
                    filler = None;
                }
                _ => {}
            }
            let accepted = async {
                match &listener {
                    Some(open) if door == Door::Open => open.accept().await,
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                accepted = accepted => match accepted {
                    Ok((stream, _)) => drop(tokio::spawn(self.clone().pass_on(stream))),
                    Err(error) => {
                        self.failed.add("accept", &error);
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                },
                _ = changes.0.changed() => {}
                _ = changes.1.changed() => {}
                _ = changes.2.changed() => {}
            }
        }
    }

    async fn pass_on(self: Arc<Self>, mut near: TcpStream) {
        let far = async {
            let socket = TcpSocket::new_v4()?;
            socket.bind(SocketAddr::new(self.source, 0))?;
            socket.connect(self.target).await
        };
        let Ok(mut far) = far.await else {
            let _ = near.set_zero_linger();
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let broke = {
            let (near_read, near_write) = near.split();
            let (far_read, far_write) = far.split();
            tokio::try_join!(pump(near_read, far_write, &self.there), pump(far_read, near_write, &self.back))
                .is_err()
        };
        if broke {
            let _ = (near.set_zero_linger(), far.set_zero_linger());
        }
    }
}

/// Moves one direction's bytes until its end; an error resets the whole connection.
async fn pump(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, link: &Link) -> io::Result<()> {
    let mut flows = link.flow.subscribe();
    let mut random = Random::new(std::process::id().into(), "relay", link.passed.load(Ordering::Relaxed));
    let mut waiting: VecDeque<(Instant, Bytes)> = VecDeque::new();
    let mut bytes = vec![0; PIECE];
    let (mut ended, mut touched, mut held, mut not_before) = (false, false, 0, Instant::now());
    let mut left = None;
    loop {
        let flow = *flows.borrow_and_update();
        let (hole, mute) = (flow == Flow::BlackHole, flow == Flow::Mute);
        if flow == Flow::Reset || (touched && !hole && !mute) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        touched |= hole && !waiting.is_empty();
        left = match (flow, left) {
            (Flow::CutAfter(most), None) => Some(most),
            (Flow::CutAfter(_), left) => left,
            _ => None,
        };
        if left == Some(0) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if ended && waiting.is_empty() && !hole {
            return to.shutdown().await;
        }
        let due = waiting.front().map(|(due, _)| (*due).max(not_before));
        let most = match flow {
            Flow::Throttled(rate) => (rate as usize / 20).clamp(1, PIECE),
            Flow::CutAfter(_) => left.map_or(PIECE, |left| left as usize),
            _ => PIECE,
        };
        let write = async {
            match (due, waiting.front()) {
                (Some(due), Some((_, head))) if !hole => {
                    if due > Instant::now() {
                        sleep_until(due).await;
                    }
                    to.write(&head[..head.len().min(most)]).await
                }
                _ => std::future::pending().await,
            }
        };
        // In a hole bytes stay where they are; that there are some is what tells the connection from an idle one.
        let read = async {
            match (hole, ended || (hole && touched) || held >= MAX_BUFFERED_BYTES) {
                (_, true) => std::future::pending().await,
                (true, _) => from.readable().await.map(|()| None),
                (false, _) => from.read(&mut bytes).await.map(Some),
            }
        };
        tokio::select! {
            biased;
            changed = flows.changed() => changed.map_err(io::Error::other)?,
            wrote = write => {
                let wrote = wrote?;
                link.passed.fetch_add(wrote as u64, Ordering::Relaxed);
                held -= wrote;
                left = left.map(|left| left.saturating_sub(wrote as u64));
                if let Flow::Throttled(rate) = flow {
                    not_before = Instant::now() + Duration::from_secs_f64(wrote as f64 / rate.max(1) as f64);
                }
                let spent = waiting.front_mut().is_some_and(|(_, head)| {
                    head.advance(wrote);
                    head.is_empty()
                });
                if spent {
                    waiting.pop_front();
                }
            }
            read = read => {
                let Some(read) = read? else {
                    touched = true;
                    continue;
                };
                ended = read == 0;
                touched |= mute;
                if read > 0 && !mute {
                    let after = match flow {
                        Flow::Delayed(least, most) => least + (most - least) * random.unit(),
                        _ => 0.0,
                    };
                    // What comes later leaves later.
                    let due = Instant::now() + Duration::from_secs_f64(after.max(0.0) / 1000.0);
                    let due = waiting.back().map_or(due, |(last, _)| due.max(*last));
                    held += read;
                    waiting.push_back((due, Bytes::copy_from_slice(&bytes[..read])));
                }
            }
        }
    }
}

/// A relay and whose way it is.
type Way<P> = (P, P, Arc<Relay>);

/// Everything between the parties, which `P` names.
pub struct Net<P> {
    failed: Arc<Failures>,
    links: Mutex<BTreeMap<(P, P), Arc<Link>>>,
    relays: Mutex<Vec<Way<P>>>,
}

impl<P> Default for Net<P> {
    fn default() -> Self {
        Self { failed: Arc::default(), links: Mutex::default(), relays: Mutex::default() }
    }
}

impl<P: Copy + Ord> Net<P> {
    fn relays(&self) -> MutexGuard<'_, Vec<Way<P>>> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The link from one party to another.
    pub fn link(&self, from: P, to: P) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.entry((from, to)).or_default().clone()
    }

    /// Opens the way from one party to another, which listens at `target`: the relay listens `at`, where port 0 is any
    /// free one, and connects on from `source`. Gives the address to connect to.
    ///
    /// # Errors
    /// When there is no address for the relay.
    pub fn add_relay(
        &self, (from, to): (P, P), at: SocketAddr, source: IpAddr, target: SocketAddr, up: bool,
    ) -> io::Result<SocketAddr> {
        let (there, back) = (self.link(from, to), self.link(to, from));
        let relay = Relay::start(at, source, target, there, back, up, self.failed.clone())?;
        let address = relay.address;
        self.relays().push((from, to, relay));
        Ok(address)
    }

    /// Whether a party's process listens: where not, connections to it are refused.
    pub fn set_listening(&self, party: P, up: bool) {
        self.relays()
            .iter()
            .filter(|(_, to, _)| *to == party)
            .for_each(|(_, _, relay)| relay.set_listening(up));
    }

    /// How often relays themselves have failed.
    pub fn failure_count(&self) -> u64 {
        self.failed.count.load(Ordering::Relaxed)
    }

    /// The last of these failures, in words.
    pub fn last_failure(&self) -> String {
        self.failed.last.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// All links that there are, by who writes and who reads.
    pub fn links(&self) -> Vec<(P, P)> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.keys().copied().collect()
    }

    /// A fault holds on these links from now on.
    pub fn begin(&self, fault: usize, links: &[(P, P)], flow: Flow) {
        links.iter().for_each(|(from, to)| self.link(*from, *to).begin(fault, flow));
    }

    /// A fault holds nowhere any longer.
    pub fn end(&self, fault: usize) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.values().for_each(|link| link.end(fault));
    }
}
