//! The owner of all tables of the control plane.

mod contact;
mod departures;
mod drains;
mod ending;
mod entries;
mod links;
mod membership;
mod orders;
mod quota_service;
mod status;
mod updates;

use crate::backend_batch::BackendBatch;
use crate::call::{Call, Reply};
use crate::command::Command;
use crate::config_history::{Change, ConfigHistory, Marks, Place, Verdict};
use crate::contact::{Confirmation, Contact, ContactMessage};
use crate::directory::Directory;
use crate::disk::Disk;
use crate::faults::Faults;
use crate::lines::{Connect, ConnectTcp};
use crate::state::State;
use crate::tolerance::Tolerance;
use crate::watch::{Origin, Watch, What as Happened};
use config::{Config, Detours};
use drains::DrainProposals;
use protocol::{
    Backend, ConfigDelta, ConfigSnapshot, ControlPlaneAddress, Heartbeat, Held, Hello, Message, Order, Phase,
    Plane,
};
use quota::{HolderAssigner, HolderAssignment, Quota, QuotaService};
use raft::{Input, Node, Output, Role, Saved, Snapshot, Timing, VoterId, What};
use registry::{Fleet, Judgement, Register};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use transport::config_snapshots::{self, ConfigEncoder};
use transport::{Line, LineError, NeighborWatch};

/// How often things are looked after.
const TICK: u64 = 50;
/// Followers hear something this often.
const HEARTBEAT: u64 = 350;
/// ... and news of the leader no more often than this.
const LEAST_HEARTBEAT: u64 = 40;
/// What others told of the leader stands for so long: two of their heartbeats and some room. DataPlanes leave whoever
/// is behind 0.9 s after its last good word, so that those behind a relay that was cut off have news again within 2 s.
const WORD: u64 = 800;
/// Other control planes hear whose beats came here, and who else serves control, this often.
const ROUND: u64 = 400;
/// ... and which data planes are heard here when that changes, or after this long: what was said stands as long as the line.
/// Processes of the version before take the word itself for a sign of life, and count a data plane on for 30 s.
const DATA_PLANES_AGAIN: u64 = 8000;
/// A control plane that could not be reached is dialed again after this, drawn up to twice as long: after a herd's death the
/// first election waits for these connections.
const REDIAL: u64 = 80;
/// A dial that says nothing at all is over after this.
const DIALING: u64 = 2000;
/// A call of the operator waits so long for a leader.
const LEADERLESS: u64 = 700;
/// A call that was passed on to a leader waits so long for its word.
const PASSED: u64 = 2300;
/// More calls than this don't wait.
const CALLS_WAITING: usize = 256;
/// After so many changes the log is compacted: each holds a whole configuration.
const COMPACT_AFTER: f64 = 16.0;
/// Marks weigh so much of a change then: they are some hundred bytes.
const MARKS_WEIGH: f64 = 0.1;
/// ... or so many bytes of them: the disk is small, and a change of 4 MB takes 8 of the file.
const COMPACT_BYTES: usize = 4_000_000;
/// A control plane this young may not have heard of all backends yet: its list says who is there, not who is not.
const YOUNG: u64 = 4000;
/// A connection that has said nothing for this long is no sign of life.
const PEER_SILENT: u64 = 2500;
/// A process that has been out of touch with the leader for this long is cut off: an election takes less.
const CUT_OFF: u64 = 1500;

/// What a control plane is told at its start.
#[derive(Clone, Debug)]
pub struct ControlPlaneSettings {
    /// Who it is.
    pub me: Hello,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Where the first other control planes take connections.
    pub seeds: Vec<SocketAddr>,
    /// How often backends beat, in ms.
    pub beat_interval: u64,
    /// The log's times.
    pub timing: Timing,
    /// What may be lost at once.
    pub tolerance: Tolerance,
    /// A voter counts as gone after a silence of so many ms.
    pub retire_after: u64,
    /// Draws a second that one holder of counts bears: more, and the leader shares the counts out. 0 for never.
    pub draws_a_holder: f64,
    /// A number drawn for this life.
    pub seed: u64,
    /// By which ways others are reached.
    pub ways: Detours,
}

/// What this process has asked the leader for, to hold counts.
#[derive(Default)]
struct Offers {
    /// Numbers, and when they were sent.
    sent: VecDeque<(u64, u64)>,
    answered: u64,
    next: u64,
    /// Draws answered when last looked at, when that was, and how many a second then.
    draws: (u64, u64, f64),
}

struct Peer {
    line: Line,
    hello: Option<Hello>,
    dialed: Option<SocketAddr>,
    follows: bool,
    /// What it has, or will have once it has read all that was sent.
    has: Held,
    heard: u64,
    opened: u64,
    /// The data planes that it said it hears, until it says otherwise.
    data_planes: Vec<(String, u64)>,
    /// Whether it may be told of departures of data planes.
    understands_departures: bool,
    /// Whether it has said that it ends: it is not to become a voter.
    is_ending: bool,
}

struct Waiting {
    reply: oneshot::Sender<Reply>,
    since: u64,
    order: Order,
    /// The number of the connection that it was passed on by, if it was.
    passed: Option<u64>,
}

/// Who waits for the word on a change or a read.
enum Asker {
    Here(oneshot::Sender<Reply>),
    There { peer: u64, token: u64 },
}

struct Proposed {
    asker: Asker,
    since: u64,
}

/// The owner of all tables of the control plane of one process.
pub struct ControlPlane {
    settings: ControlPlaneSettings,
    began: Instant,
    random: u64,
    commands: mpsc::Sender<Command>,
    numbers: Rc<dyn Fn() -> u64>,
    peers: BTreeMap<u64, Peer>,
    dialing: BTreeMap<SocketAddr, (u64, u64)>,
    control_planes: Directory,
    /// The incarnations of those with a disk that counts.
    incarnations: BTreeMap<SocketAddr, u64>,
    register: Register,
    /// What followers, and other control planes, are yet to be told of it.
    for_followers: BackendBatch,
    for_control_planes: BackendBatch,
    fleet: Fleet,
    config_history: ConfigHistory,
    config: Option<Config>,
    config_encoder: ConfigEncoder,
    /// Entries have brought another configuration into force, and followers are yet to be told.
    changed: bool,
    node: Option<Node>,
    disk: Option<Disk>,
    quota_service: QuotaService,
    /// Of the leader.
    placer: Option<HolderAssigner>,
    /// The newest assignment of counts heard of.
    assignment: HolderAssignment,
    offers: Offers,
    /// Known from others, of a control plane without a log of its own.
    told: Heartbeat,
    told_at: u64,
    /// Whether the leader has said that what this process tells is of this moment, if it does not lead.
    contact: Contact,
    /// When what this process tells was of that moment last; its start, while it never was.
    current_at: u64,
    connect: Rc<dyn Connect>,
    faults: Faults,
    tokens: u64,
    waiting: HashMap<u64, Waiting>,
    proposed: BTreeMap<u64, Proposed>,
    /// Orders that came to this leader before its first lease.
    early_orders: Vec<(Asker, Order)>,
    drain_proposals: DrainProposals,
    /// Control planes that read [`Order::Drain`], as they said since this process started.
    understand_drains: BTreeSet<SocketAddr>,
    /// What to answer once entries come back, by their index: emptied when this process leads no more.
    accepted: BTreeMap<u64, u64>,
    changes: f64,
    /// Marks that are on their way through the log, by their token: one entry of them at a time.
    marking: Option<u64>,
    change_bytes: usize,
    grown: bool,
    /// Messages of other processes since the start.
    frames: u64,
    /// The leader that followers were told of last, and whether as of this moment.
    told_in_heartbeat: (Option<SocketAddr>, bool),
    next: [u64; 3],
    /// The data planes that the other control planes were told of last, and when.
    told_data_planes: (Vec<(String, u64)>, u64),
    /// What the log has asked for and was not done yet.
    outputs: Vec<Output>,
    handles_outputs: bool,
    watch: Watch,
    /// Who watches the neighbours, if anybody does.
    neighbor_watch: Option<Rc<NeighborWatch>>,
    /// This process is to end.
    is_ending: bool,
    /// Who waits until nothing is left to do before that.
    ended: Option<oneshot::Sender<()>>,
    /// When the leader is to be told of that again.
    tells_end_at: u64,
}

impl ControlPlane {
    /// A control plane; `log` is what a voter has on its disk.
    pub fn new(
        settings: ControlPlaneSettings, log: Option<(Disk, Saved)>, commands: mpsc::Sender<Command>,
        numbers: Rc<dyn Fn() -> u64>,
    ) -> Self {
        let (mut node, mut disk, mut state) = (None, None, State::default());
        if let Some((opened, saved)) = log {
            // The log tells its entries again, but only those after its snapshot.
            // It was read before, when the disk was opened.
            let restored = saved.snapshot.as_ref().map(|snapshot| State::restore(&snapshot.state));
            state = restored.and_then(Result::ok).unwrap_or_default();
            node = Some(Node::start(saved, settings.timing, settings.seed, 0));
            disk = Some(opened);
        }
        let State { config_history, drains } = state;
        let mut register = Register::new(settings.beat_interval);
        register.restore_drains(&drains);
        let mut control_plane = Self {
            began: Instant::now(),
            random: settings.seed | 1,
            commands,
            numbers,
            peers: BTreeMap::new(),
            dialing: BTreeMap::new(),
            control_planes: Directory::default(),
            incarnations: BTreeMap::new(),
            register,
            for_followers: BackendBatch::default(),
            for_control_planes: BackendBatch::default(),
            fleet: Fleet::default(),
            config_history,
            config: None,
            config_encoder: ConfigEncoder::default(),
            changed: false,
            node,
            disk,
            quota_service: QuotaService::new(&settings.address.to_string()),
            placer: None,
            assignment: HolderAssignment::default(),
            offers: Offers::default(),
            told: Heartbeat::default(),
            told_at: 0,
            contact: Contact::default(),
            current_at: 0,
            connect: Rc::new(ConnectTcp(settings.ways.clone())),
            faults: Faults::default(),
            tokens: 0,
            waiting: HashMap::new(),
            proposed: BTreeMap::new(),
            early_orders: Vec::new(),
            drain_proposals: DrainProposals::default(),
            understand_drains: BTreeSet::new(),
            accepted: BTreeMap::new(),
            changes: 0.0,
            marking: None,
            change_bytes: 0,
            grown: false,
            frames: 0,
            told_in_heartbeat: (None, false),
            next: [0; 3],
            told_data_planes: (Vec::new(), 0),
            outputs: Vec::new(),
            handles_outputs: false,
            watch: Watch::new(),
            neighbor_watch: None,
            is_ending: false,
            ended: None,
            tells_end_at: 0,
            settings,
        };
        control_plane.renewed();
        control_plane
    }

    /// Goes by what the watch of the neighbours finds, too.
    pub fn with_neighbor_watch(self, neighbor_watch: Option<Rc<NeighborWatch>>) -> Self {
        Self { neighbor_watch, ..self }
    }

    /// Reaches others in another way than by TCP.
    pub fn with_connect(self, connect: Rc<dyn Connect>) -> Self {
        Self { connect, ..self }
    }

    #[doc(hidden)]
    pub fn with_faults(self, faults: Faults) -> Self {
        Self { faults, ..self }
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below.max(1)
    }

    /// Works through the queue until it is closed.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        self.on_time();
        loop {
            let due = self.next.iter().copied().min().unwrap_or(TICK);
            let due = self.node.as_ref().map_or(due, |node| due.min(node.next_due()));
            let due = self.began + Duration::from_millis(due.max(self.now() + 1));
            tokio::select! {
                biased;
                command = queue.recv() => match command {
                    Some(command) => self.work(command),
                    None => return,
                },
                () = sleep_until(due) => {}
            }
            self.on_time();
        }
    }

    fn work(&mut self, command: Command) {
        match command {
            Command::Call { call, reply } => self.on_call(call, reply),
            Command::Opened { number, line, dialed } => self.on_opened(number, line, dialed),
            Command::Frame { number, message } => self.on_frame(number, message),
            Command::Closed { number, error } => self.on_closed(number, &error),
            Command::Saved { ticket } => self.log(Input::Saved { ticket }),
            Command::Seeds(seeds) => self.settings.seeds = seeds,
            Command::End(ended) => (self.is_ending, self.ended) = (true, Some(ended)),
        }
    }

    fn on_time(&mut self) {
        let now = self.now();
        if self.node.as_ref().is_some_and(|node| now >= node.next_due()) {
            self.log(Input::Tick);
        }
        // A log that is told again after a start brings many versions at once. Followers need the last one only, and
        // the word that it is of this moment waits behind whatever is sent before it.
        if std::mem::take(&mut self.changed) {
            self.renewed();
        }
        if now >= self.next[0] {
            self.next[0] = now + TICK;
            self.tell_waiting_backends();
            self.tend_calls(now);
            self.tend_lines(now);
            self.tend_quota_service(now);
        }
        self.tend_contact(now);
        self.tend_early_orders(now);
        self.tend_end();
        // Whoever waits for a leader, or for this process to have caught up, hears of it at once.
        let (leader, epoch, fresh) = self.leader(now);
        if fresh {
            self.current_at = now;
        }
        self.watch.stands(now, leader, epoch, self.config_history.version());
        let news = (leader, fresh);
        let early =
            fresh && news != self.told_in_heartbeat && now + HEARTBEAT >= self.next[1] + LEAST_HEARTBEAT;
        if now >= self.next[1] || early {
            self.next[1] = now + HEARTBEAT;
            self.told_in_heartbeat = news;
            self.heartbeat(now);
        }
        if now >= self.next[2] {
            self.next[2] = now + ROUND;
            self.round(now);
        }
    }
}
