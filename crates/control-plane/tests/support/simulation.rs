//! Whole control planes in one thread under a simulated clock: links that are cut, held or half open, processes that
//! freeze, disks that hang.

use control_plane::{
    Command, Connector, ControlPlane, ControlPlaneSettings, Disk, Faults, Losses, Reply, Tolerance,
};
use protocol::{Hello, Message, Plane};
use raft::{PersistentState, Save, Timing, VoterId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender, channel, unbounded_channel};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use transport::{ConnectionError, FrameSender};

/// The kernel gives a connection up when what was sent has not been acknowledged for so long.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
/// A connection that does not come up by then does not.
const CONNECT: Duration = Duration::from_millis(300);
/// What a disk takes for a save.
const SYNC: Duration = Duration::from_millis(3);
/// Commands that wait for a process, frames that wait on a line.
const COMMANDS: usize = 1024;
const FRAMES: usize = 512;
/// As in service.
const TIMING: Timing = Timing { heartbeat: 60, election: 320, lease: 230 };

/// What becomes of frames in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// They are lost, until the kernel of the sender gives the connection up.
    Cut,
    /// They wait, and arrive once the link is open again: something on the way acknowledges them.
    Held,
}

/// A seeded generator (splitmix64).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit.max(1)
    }
}

/// The network, and what ails it.
pub struct Network {
    processes: RefCell<BTreeMap<SocketAddr, (usize, Sender<Command>)>>,
    links: RefCell<BTreeMap<(usize, usize), Link>>,
    frozen: RefCell<BTreeSet<usize>>,
    asleep: RefCell<Vec<Waker>>,
    hung: RefCell<BTreeSet<usize>>,
    changed: Notify,
    last_connection: Cell<u64>,
    random: RefCell<Random>,
}

impl Network {
    fn next_connection(&self) -> u64 {
        self.last_connection.set(self.last_connection.get() + 1);
        self.last_connection.get()
    }

    fn link(&self, from: usize, to: usize) -> Option<Link> {
        self.links.borrow().get(&(from, to)).copied()
    }

    /// Waits until something is so.
    async fn until(&self, holds: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.changed.notified();
            if holds(self) {
                return;
            }
            changed.await;
        }
    }

    async fn delay(&self) {
        let span = 500 + self.random.borrow_mut().below(1500);
        sleep(Duration::from_micros(span)).await;
    }

    /// Whether a frame gets through, sooner or later.
    async fn passes(&self, from: usize, to: usize) -> bool {
        self.until(|network| !network.frozen.borrow().contains(&from)).await;
        self.delay().await;
        self.until(|network| network.link(from, to) != Some(Link::Held)).await;
        let open = self.until(|network| network.link(from, to) != Some(Link::Cut));
        if timeout(UNACKNOWLEDGED, open).await.is_err() {
            return false;
        }
        // Whoever was frozen reads its sockets in any order: calls that wait there may come first.
        if self.frozen.borrow().contains(&to) {
            self.until(|network| !network.frozen.borrow().contains(&to)).await;
            self.delay().await;
        }
        true
    }
}

/// One end of a connection.
#[derive(Clone)]
struct End {
    process: usize,
    connection: u64,
    commands: Sender<Command>,
}

impl End {
    async fn close(&self, peer: SocketAddr) {
        let closed = Command::Closed { connection: self.connection, error: ConnectionError::Closed { peer } };
        let _ = self.commands.send(closed).await;
    }
}

/// Carries frames in one direction until the sender's kernel gives up; the other end does not hear of that.
async fn carry(network: Rc<Network>, mut frames: Receiver<Rc<[u8]>>, sender: End, receiver: End) {
    let peer = address(receiver.process);
    let mut unacknowledged: Option<Instant> = None;
    while let Some(frame) = frames.recv().await {
        let (from, to) = (sender.process, receiver.process);
        let mut lost = !network.passes(from, to).await;
        if !lost && let Ok(Some((message, _))) = protocol::unframe::<Message>(&frame) {
            let _ =
                receiver.commands.send(Command::Message { connection: receiver.connection, message }).await;
        }
        if network.link(to, from) == Some(Link::Cut) {
            lost |= unacknowledged.get_or_insert_with(Instant::now).elapsed() > UNACKNOWLEDGED;
        } else {
            unacknowledged = None;
        }
        if lost {
            return sender.close(peer).await;
        }
    }
    if network.passes(sender.process, receiver.process).await {
        receiver.close(address(sender.process)).await;
    }
}

/// How one process connects.
struct Dialer {
    own: usize,
    network: Rc<Network>,
}

impl Connector for Dialer {
    fn connect(&self, connection: u64, to: SocketAddr, commands: Sender<Command>) {
        let (own, network) = (self.own, self.network.clone());
        spawn_local(async move {
            let here = End { process: own, connection, commands };
            let target = network.processes.borrow().get(&to).cloned();
            let Some((process, commands)) = target else { return here.close(to).await };
            let open = |network: &Network| {
                network.link(own, process).is_none() && network.link(process, own).is_none()
            };
            network.delay().await;
            if timeout(CONNECT, network.until(open)).await.is_err() {
                return here.close(to).await;
            }
            let there = End { process, connection: network.next_connection(), commands };
            for (from, to, dialed) in [(&here, &there, Some(to)), (&there, &here, None)] {
                let (line, frames) = channel(FRAMES);
                let opened = Command::Opened {
                    connection: from.connection,
                    line: FrameSender::from_queue(line),
                    dialed,
                };
                let _ = from.commands.send(opened).await;
                spawn_local(carry(network.clone(), frames, from.clone(), to.clone()));
            }
        });
    }
}

/// A process that is not run while it is frozen.
struct Freezable {
    process: usize,
    network: Rc<Network>,
    inner: Pin<Box<dyn Future<Output = ()>>>,
}

impl Future for Freezable {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.network.frozen.borrow().contains(&self.process) {
            self.network.asleep.borrow_mut().push(context.waker().clone());
            return Poll::Pending;
        }
        self.inner.as_mut().poll(context)
    }
}

pub fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, process as u8 + 1], 7000))
}

/// A disk that says when a save is on it, unless it hangs.
fn disk(process: usize, network: Rc<Network>, commands: Sender<Command>) -> Disk {
    let (saves, mut queue) = unbounded_channel::<Save>();
    spawn_local(async move {
        while let Some(save) = queue.recv().await {
            sleep(SYNC).await;
            network.until(|network| !network.hung.borrow().contains(&process)).await;
            let _ = commands.send(Command::Saved { ticket: save.ticket }).await;
        }
    });
    Disk::from_fn(move |save| drop(saves.send(save)))
}

/// Control planes: the first ones vote, the others have no log.
pub struct Simulation {
    pub network: Rc<Network>,
    commands: Vec<Sender<Command>>,
}

impl Simulation {
    pub fn start(voters: usize, others: usize, seed: u64, faults: Faults) -> Self {
        let network = Rc::new(Network {
            processes: RefCell::default(),
            links: RefCell::default(),
            frozen: RefCell::default(),
            asleep: RefCell::default(),
            hung: RefCell::default(),
            changed: Notify::new(),
            last_connection: Cell::new(0),
            random: RefCell::new(Random::new(seed)),
        });
        let commands =
            (0..voters + others).map(|process| start(process, voters, seed, &network, faults)).collect();
        Self { network, commands }
    }

    pub fn size(&self) -> usize {
        self.commands.len()
    }

    /// What is done with frames from one process to another.
    pub fn link(&self, from: usize, to: usize, link: Option<Link>) {
        let mut links = self.network.links.borrow_mut();
        match link {
            Some(link) => drop(links.insert((from, to), link)),
            None => drop(links.remove(&(from, to))),
        }
        self.network.changed.notify_waiters();
    }

    pub fn freeze(&self, process: usize) {
        self.network.frozen.borrow_mut().insert(process);
    }

    pub fn thaw(&self, process: usize) {
        self.network.frozen.borrow_mut().remove(&process);
        self.network.asleep.take().into_iter().for_each(Waker::wake);
        self.network.changed.notify_waiters();
    }

    pub fn hang_disk(&self, process: usize, hangs: bool) {
        let mut hung = self.network.hung.borrow_mut();
        if hangs {
            hung.insert(process)
        } else {
            hung.remove(&process)
        };
        self.network.changed.notify_waiters();
    }

    /// A call on the control socket of a process; nothing if no answer came in time.
    pub async fn call(&self, process: usize, call: control_plane::Call, within: Duration) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        let sent = self.commands[process].send(Command::Call { call, reply });
        let both = async { if sent.await.is_ok() { answer.await.ok() } else { None } };
        timeout(within, both).await.ok().flatten()
    }

    /// Tells a process to end in order; when nothing is left to do, the sender hears.
    #[allow(dead_code)] // Not all that share this simulation end processes.
    pub async fn end(&self, process: usize) -> oneshot::Receiver<()> {
        let (ending, ended) = oneshot::channel();
        let _ = self.commands[process].send(Command::Shutdown(ending)).await;
        ended
    }

    /// Follows a process from its own machine: the number of the connection, and what the process sends.
    pub async fn follow(&self, process: usize) -> (u64, Receiver<Rc<[u8]>>) {
        let (line, frames) = channel(FRAMES);
        let connection = self.network.next_connection();
        let name = format!("data-plane-{process}");
        let hello = Hello {
            name,
            process_incarnation: 1,
            plane: Plane::DataPlane,
            address: "127.0.0.1:1".into(),
            zone: "a".into(),
            quorum: false,
            voter_incarnation: None,
        };
        let commands = &self.commands[process];
        let _ = commands
            .send(Command::Opened { connection, line: FrameSender::from_queue(line), dialed: None })
            .await;
        let follow = Message::Follow { have: protocol::ConfigId::default() };
        for message in [Message::Hello(hello), follow] {
            let _ = commands.send(Command::Message { connection, message }).await;
        }
        (connection, frames)
    }

    /// A data plane that follows a process says something on its connection.
    #[allow(dead_code)] // Not all that share this simulation say more.
    pub async fn say(&self, process: usize, connection: u64, message: Message) {
        let _ = self.commands[process].send(Command::Message { connection, message }).await;
    }
}

fn start(process: usize, voters: usize, seed: u64, network: &Rc<Network>, faults: Faults) -> Sender<Command> {
    let (commands, queue) = channel(COMMANDS);
    let own = address(process);
    network.processes.borrow_mut().insert(own, (process, commands.clone()));
    let votes = process < voters;
    let voter = |process| VoterId { address: address(process).to_string(), incarnation: 0 };
    let log = votes.then(|| {
        let founders = (0..voters).map(voter).collect();
        let me = voter(process);
        let saved =
            PersistentState { me, term: 0, vote: None, snapshot: None, entries: Vec::new(), founders };
        (disk(process, network.clone(), commands.clone()), saved)
    });
    let me = Hello {
        name: format!("control-{process}"),
        process_incarnation: 1,
        plane: Plane::ControlPlane,
        address: own.to_string(),
        zone: "a".into(),
        quorum: votes,
        voter_incarnation: votes.then_some(0),
    };
    let settings = ControlPlaneSettings {
        me,
        address: own,
        seeds: (0..voters.min(3)).map(address).collect(),
        heartbeat_interval_ms: 500,
        timing: TIMING,
        tolerance: Tolerance { losses: Losses { machines: 1, zones: 0, regions: 0 }, ..Tolerance::default() },
        retire_after_ms: 2000,
        max_lease_requests_per_holder: 0.0,
        seed: seed.wrapping_mul(31) + process as u64 + 1,
        detours: config::Detours::default(),
    };
    let connection_ids = network.clone();
    let control_plane =
        ControlPlane::new(settings, log, commands.clone(), Rc::new(move || connection_ids.next_connection()))
            .with_connector(Rc::new(Dialer { own: process, network: network.clone() }))
            .with_faults(faults);
    let inner = Box::pin(control_plane.run(queue));
    spawn_local(Freezable { process, network: network.clone(), inner });
    commands
}
