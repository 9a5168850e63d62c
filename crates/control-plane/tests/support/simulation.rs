//! Complete control planes in one thread under a simulated clock, with links that are cut, held or cut in one
//! direction, processes that freeze, and disks that hang.

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

/// The sender's kernel closes a connection whose data has not been acknowledged for this long.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Duration of a disk write.
const WRITE_DURATION: Duration = Duration::from_millis(3);
/// Queue capacities: commands per process and frames per connection.
const COMMAND_QUEUE_CAPACITY: usize = 1024;
const FRAME_QUEUE_CAPACITY: usize = 512;
/// Raft timing as in production.
const TIMING: Timing = Timing { heartbeat: 60, election: 320, lease: 230 };

/// Fault of a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Frames are lost, until the sender's kernel closes the connection.
    Cut,
    /// Frames are acknowledged by a relay on the way, but delivered only once the link works again.
    Held,
}

/// Seeded random number generator (splitmix64).
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

/// The simulated network and its faults.
pub struct Network {
    processes: RefCell<BTreeMap<SocketAddr, (usize, Sender<Command>)>>,
    links: RefCell<BTreeMap<(usize, usize), Link>>,
    frozen: RefCell<BTreeSet<usize>>,
    sleeping_wakers: RefCell<Vec<Waker>>,
    hung_disks: RefCell<BTreeSet<usize>>,
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

    /// Waits until a condition holds.
    async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(self) {
                return;
            }
            changed.await;
        }
    }

    async fn delay(&self) {
        let micros = 500 + self.random.borrow_mut().below(1500);
        sleep(Duration::from_micros(micros)).await;
    }

    /// Waits until a frame can be delivered; returns false if the frame is lost.
    async fn deliver(&self, from: usize, to: usize) -> bool {
        self.wait_until(|network| !network.frozen.borrow().contains(&from)).await;
        self.delay().await;
        self.wait_until(|network| network.link(from, to) != Some(Link::Held)).await;
        let open = self.wait_until(|network| network.link(from, to) != Some(Link::Cut));
        if timeout(RETRANSMISSION_TIMEOUT, open).await.is_err() {
            return false;
        }
        // A thawed process reads its sockets in any order, so that calls waiting elsewhere may be handled first.
        if self.frozen.borrow().contains(&to) {
            self.wait_until(|network| !network.frozen.borrow().contains(&to)).await;
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

/// Delivers frames in one direction until the sender's kernel closes the connection; the receiver is not notified
/// then.
async fn forward_frames(network: Rc<Network>, mut frames: Receiver<Rc<[u8]>>, sender: End, receiver: End) {
    let peer = address(receiver.process);
    let mut unacknowledged_since: Option<Instant> = None;
    while let Some(frame) = frames.recv().await {
        let (from, to) = (sender.process, receiver.process);
        let mut lost = !network.deliver(from, to).await;
        if !lost && let Ok(Some((message, _))) = protocol::unframe::<Message>(&frame) {
            let _ =
                receiver.commands.send(Command::Message { connection: receiver.connection, message }).await;
        }
        if network.link(to, from) == Some(Link::Cut) {
            lost |= unacknowledged_since.get_or_insert_with(Instant::now).elapsed() > RETRANSMISSION_TIMEOUT;
        } else {
            unacknowledged_since = None;
        }
        if lost {
            return sender.close(peer).await;
        }
    }
    if network.deliver(sender.process, receiver.process).await {
        receiver.close(address(sender.process)).await;
    }
}

/// Connects one process to others.
struct Dialer {
    own: usize,
    network: Rc<Network>,
}

impl Connector for Dialer {
    fn connect(&self, connection: u64, to: SocketAddr, commands: Sender<Command>) {
        let (own, network) = (self.own, self.network.clone());
        spawn_local(async move {
            let local = End { process: own, connection, commands };
            let target = network.processes.borrow().get(&to).cloned();
            let Some((process, commands)) = target else { return local.close(to).await };
            let open = |network: &Network| {
                network.link(own, process).is_none() && network.link(process, own).is_none()
            };
            network.delay().await;
            if timeout(CONNECT_TIMEOUT, network.wait_until(open)).await.is_err() {
                return local.close(to).await;
            }
            let remote = End { process, connection: network.next_connection(), commands };
            for (from, to, dialed) in [(&local, &remote, Some(to)), (&remote, &local, None)] {
                let (line, frames) = channel(FRAME_QUEUE_CAPACITY);
                let opened = Command::Opened {
                    connection: from.connection,
                    line: FrameSender::from_queue(line),
                    dialed,
                };
                let _ = from.commands.send(opened).await;
                spawn_local(forward_frames(network.clone(), frames, from.clone(), to.clone()));
            }
        });
    }
}

/// The future of a process, not polled while the process is frozen.
struct Freezable {
    process: usize,
    network: Rc<Network>,
    inner: Pin<Box<dyn Future<Output = ()>>>,
}

impl Future for Freezable {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.network.frozen.borrow().contains(&self.process) {
            self.network.sleeping_wakers.borrow_mut().push(context.waker().clone());
            return Poll::Pending;
        }
        self.inner.as_mut().poll(context)
    }
}

pub fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, process as u8 + 1], 7000))
}

/// A disk that reports each write as saved, unless it hangs.
fn disk(process: usize, network: Rc<Network>, commands: Sender<Command>) -> Disk {
    let (saves, mut queue) = unbounded_channel::<Save>();
    spawn_local(async move {
        while let Some(save) = queue.recv().await {
            sleep(WRITE_DURATION).await;
            network.wait_until(|network| !network.hung_disks.borrow().contains(&process)).await;
            let _ = commands.send(Command::Saved { ticket: save.ticket }).await;
        }
    });
    Disk::from_fn(move |save| drop(saves.send(save)))
}

/// A set of control planes: the first ones vote, the others have no Raft log.
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
            sleeping_wakers: RefCell::default(),
            hung_disks: RefCell::default(),
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

    /// Sets or clears the fault of the link from one process to another.
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
        self.network.sleeping_wakers.take().into_iter().for_each(Waker::wake);
        self.network.changed.notify_waiters();
    }

    pub fn hang_disk(&self, process: usize, hangs: bool) {
        let mut hung_disks = self.network.hung_disks.borrow_mut();
        if hangs {
            hung_disks.insert(process)
        } else {
            hung_disks.remove(&process)
        };
        self.network.changed.notify_waiters();
    }

    /// Makes a call on the control socket of a process; `None` if no reply arrives in time.
    pub async fn call(&self, process: usize, call: control_plane::Call, limit: Duration) -> Option<Reply> {
        let (reply, response) = oneshot::channel();
        let sent = self.commands[process].send(Command::Call { call, reply });
        let exchange = async { if sent.await.is_ok() { response.await.ok() } else { None } };
        timeout(limit, exchange).await.ok().flatten()
    }

    /// Starts the graceful shutdown of a process. The receiver is notified once the process has nothing left to do.
    #[allow(dead_code)] // Not all that share this simulation end processes.
    pub async fn shut_down(&self, process: usize) -> oneshot::Receiver<()> {
        let (done_sender, done) = oneshot::channel();
        let _ = self.commands[process].send(Command::Shutdown(done_sender)).await;
        done
    }

    /// Subscribes to a process as a data plane. Returns the connection id and the received frames.
    pub async fn subscribe(&self, process: usize) -> (u64, Receiver<Rc<[u8]>>) {
        let (line, frames) = channel(FRAME_QUEUE_CAPACITY);
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

    /// Sends a message of a subscribed data plane.
    #[allow(dead_code)] // Not all that share this simulation say more.
    pub async fn send(&self, process: usize, connection: u64, message: Message) {
        let _ = self.commands[process].send(Command::Message { connection, message }).await;
    }
}

fn start(process: usize, voters: usize, seed: u64, network: &Rc<Network>, faults: Faults) -> Sender<Command> {
    let (commands, queue) = channel(COMMAND_QUEUE_CAPACITY);
    let own = address(process);
    network.processes.borrow_mut().insert(own, (process, commands.clone()));
    let is_voter = process < voters;
    let voter = |process| VoterId { address: address(process).to_string(), incarnation: 0 };
    let log = is_voter.then(|| {
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
        quorum: is_voter,
        voter_incarnation: is_voter.then_some(0),
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
