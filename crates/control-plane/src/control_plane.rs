//! The owner of all tables of the control plane.

mod connections;
mod contact;
mod departures;
mod drains;
mod entries;
mod membership;
mod orders;
mod quota_service;
mod shutdown;
mod status;
mod updates;

use crate::backend_batch::BackendBatch;
use crate::call::{Call, Reply};
use crate::command::Command;
use crate::config_history::{Change, ConfigHistory, LogPosition, QuotaCheckpoint, Verdict};
use crate::contact::{Confirmation, ContactMessage, LeaderContact};
use crate::directory::Directory;
use crate::disk::Disk;
use crate::event_log::{EventKind as Recorded, EventLog, Origin};
use crate::faults::Faults;
use crate::listener::{Connector, TcpConnector};
use crate::state::SnapshotState;
use crate::tolerance::Tolerance;
use config::{Config, Detours};
use drains::DrainProposals;
use protocol::{
    Backend, ConfigDelta, ConfigSnapshot, ControlPlaneAddress, Heartbeat, Held, Hello, Message, Order, Phase,
    Plane,
};
use quota::{HolderAssignment, Placer, Quota, QuotaService};
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
const TICK_INTERVAL_MS: u64 = 50;
/// Followers hear something this often.
const HEARTBEAT_INTERVAL_MS: u64 = 350;
/// ... and news of the leader no more often than this.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 40;
/// What others told of the leader stands for so long: two of their heartbeats and some room. DataPlanes leave whoever
/// is behind 0.9 s after its last good word, so that those behind a relay that was cut off have news again within 2 s.
const LEADER_REPORT_TTL_MS: u64 = 800;
/// Other control planes hear whose beats came here, and who else serves control, this often.
const GOSSIP_INTERVAL_MS: u64 = 400;
/// ... and which data planes are heard here when that changes, or after this long: what was said stands as long as the line.
/// Processes of the version before take the word itself for a sign of life, and count a data plane on for 30 s.
const DATA_PLANES_RESEND_INTERVAL_MS: u64 = 8000;
/// A control plane that could not be reached is dialed again after this, drawn up to twice as long: after a herd's death the
/// first election waits for these connections.
const REDIAL_DELAY_MS: u64 = 80;
/// A dial that says nothing at all is over after this.
const DIAL_TIMEOUT_MS: u64 = 2000;
/// A call of the operator waits so long for a leader.
const LEADER_WAIT_TIMEOUT_MS: u64 = 700;
/// A call that was passed on to a leader waits so long for its word.
const FORWARD_TIMEOUT_MS: u64 = 2300;
/// More calls than this don't wait.
const MAX_PENDING_CALLS: usize = 256;
/// After so many changes the log is compacted: each holds a whole configuration.
const COMPACT_AFTER_CHANGES: f64 = 16.0;
/// QuotaCheckpoint weigh so much of a change then: they are some hundred bytes.
const SMALL_ENTRY_WEIGHT: f64 = 0.1;
/// ... or so many bytes of them: the disk is small, and a change of 4 MB takes 8 of the file.
const COMPACT_AFTER_BYTES: usize = 4_000_000;
/// A control plane this young may not have heard of all backends yet: its list says who is there, not who is not.
const WARMUP_MS: u64 = 4000;
/// A connection that has said nothing for this long is no sign of life.
const PEER_TIMEOUT_MS: u64 = 2500;
/// A process that has been out of touch with the leader for this long is cut off: an election takes less.
const ISOLATION_GRACE_MS: u64 = 1500;

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
    pub heartbeat_interval_ms: u64,
    /// The log's times.
    pub timing: Timing,
    /// What may be lost at once.
    pub tolerance: Tolerance,
    /// A voter counts as gone after a silence of so many ms.
    pub retire_after_ms: u64,
    /// Draws a second that one holder of counts bears: more, and the leader shares the counts out. 0 for never.
    pub max_lease_requests_per_holder: f64,
    /// A number drawn for this life.
    pub seed: u64,
    /// By which ways others are reached.
    pub detours: Detours,
}

/// What this process has asked the leader for, to hold counts.
#[derive(Default)]
struct HolderOffers {
    /// Numbers, and when they were sent.
    sent: VecDeque<(u64, u64)>,
    last_answered: u64,
    next_at: u64,
    /// Draws answered when last looked at, when that was, and how many a second then.
    request_rate: (u64, u64, f64),
}

struct Peer {
    line: Line,
    hello: Option<Hello>,
    dialed: Option<SocketAddr>,
    is_follower: bool,
    /// What it has, or will have once it has read all that was sent.
    held: Held,
    last_received_at: u64,
    opened_at: u64,
    /// The data planes that it said it hears, until it says otherwise.
    data_planes: Vec<(String, u64)>,
    /// Whether it may be told of departures of data planes.
    supports_departures: bool,
    /// Whether it has said that it ends: it is not to become a voter.
    is_shutting_down: bool,
}

struct PendingCall {
    reply: oneshot::Sender<Reply>,
    since: u64,
    order: Order,
    /// The number of the connection that it was passed on by, if it was.
    forwarded_on: Option<u64>,
}

/// Who waits for the word on a change or a read.
enum Requester {
    Local(oneshot::Sender<Reply>),
    Remote { peer: u64, token: u64 },
}

struct PendingProposal {
    requester: Requester,
    since: u64,
}

/// The owner of all tables of the control plane of one process.
pub struct ControlPlane {
    settings: ControlPlaneSettings,
    started_at: Instant,
    rng_state: u64,
    commands: mpsc::Sender<Command>,
    connection_ids: Rc<dyn Fn() -> u64>,
    peers: BTreeMap<u64, Peer>,
    dialing: BTreeMap<SocketAddr, (u64, u64)>,
    directory: Directory,
    /// The incarnations of those with a disk that counts.
    quorum_incarnations: BTreeMap<SocketAddr, u64>,
    register: Register,
    /// What followers, and other control planes, are yet to be told of it.
    follower_batch: BackendBatch,
    control_plane_batch: BackendBatch,
    fleet: Fleet,
    config_history: ConfigHistory,
    config: Option<Config>,
    config_encoder: ConfigEncoder,
    /// Entries have brought another configuration into force, and followers are yet to be told.
    config_changed: bool,
    node: Option<Node>,
    disk: Option<Disk>,
    quota_service: QuotaService,
    /// Of the leader.
    placer: Option<Placer>,
    /// The newest assignment of counts heard of.
    assignment: HolderAssignment,
    offers: HolderOffers,
    /// Known from others, of a control plane without a log of its own.
    last_heartbeat: Heartbeat,
    last_heartbeat_at: u64,
    /// Whether the leader has said that what this process tells is of this moment, if it does not lead.
    leader_contact: LeaderContact,
    /// When what this process tells was of that moment last; its start, while it never was.
    last_current_at: u64,
    connector: Rc<dyn Connector>,
    faults: Faults,
    last_token: u64,
    pending_calls: HashMap<u64, PendingCall>,
    pending_proposals: BTreeMap<u64, PendingProposal>,
    /// Orders that came to this leader before its first lease.
    orders_awaiting_lease: Vec<(Requester, Order)>,
    drain_proposals: DrainProposals,
    /// Control planes that read [`Order::Drain`], as they said since this process started.
    drains_supported_by: BTreeSet<SocketAddr>,
    /// What to answer once entries come back, by their index: emptied when this process leads no more.
    tokens_by_index: BTreeMap<u64, u64>,
    changes_since_compaction: f64,
    /// QuotaCheckpoint that are on their way through the log, by their token: one entry of them at a time.
    checkpoint_token: Option<u64>,
    bytes_since_compaction: usize,
    warmed_up: bool,
    /// Messages of other processes since the start.
    messages_received: u64,
    /// The leader that followers were told of last, and whether as of this moment.
    last_reported_leader: (Option<SocketAddr>, bool),
    next_due: [u64; 3],
    /// The data planes that the other control planes were told of last, and when.
    last_sent_data_planes: (Vec<(String, u64)>, u64),
    /// What the log has asked for and was not done yet.
    outputs: Vec<Output>,
    handling_outputs: bool,
    event_log: EventLog,
    /// Who watches the neighbours, if anybody does.
    neighbor_watch: Option<Rc<NeighborWatch>>,
    /// This process is to end.
    is_shutting_down: bool,
    /// Who waits until nothing is left to do before that.
    shutdown_done: Option<oneshot::Sender<()>>,
    /// When the leader is to be told of that again.
    next_leave_at: u64,
}

impl ControlPlane {
    /// A control plane; `log` is what a voter has on its disk.
    pub fn new(
        settings: ControlPlaneSettings, log: Option<(Disk, Saved)>, commands: mpsc::Sender<Command>,
        connection_ids: Rc<dyn Fn() -> u64>,
    ) -> Self {
        let (mut node, mut disk, mut state) = (None, None, SnapshotState::default());
        if let Some((opened, saved)) = log {
            // The log tells its entries again, but only those after its snapshot.
            // It was read before, when the disk was opened.
            let restored = saved.snapshot.as_ref().map(|snapshot| SnapshotState::restore(&snapshot.state));
            state = restored.and_then(Result::ok).unwrap_or_default();
            node = Some(Node::start(saved, settings.timing, settings.seed, 0));
            disk = Some(opened);
        }
        let SnapshotState { config_history, drains } = state;
        let mut register = Register::new(settings.heartbeat_interval_ms);
        register.restore_drains(&drains);
        let mut control_plane = Self {
            started_at: Instant::now(),
            rng_state: settings.seed | 1,
            commands,
            connection_ids,
            peers: BTreeMap::new(),
            dialing: BTreeMap::new(),
            directory: Directory::default(),
            quorum_incarnations: BTreeMap::new(),
            register,
            follower_batch: BackendBatch::default(),
            control_plane_batch: BackendBatch::default(),
            fleet: Fleet::default(),
            config_history,
            config: None,
            config_encoder: ConfigEncoder::default(),
            config_changed: false,
            node,
            disk,
            quota_service: QuotaService::new(&settings.address.to_string()),
            placer: None,
            assignment: HolderAssignment::default(),
            offers: HolderOffers::default(),
            last_heartbeat: Heartbeat::default(),
            last_heartbeat_at: 0,
            leader_contact: LeaderContact::default(),
            last_current_at: 0,
            connector: Rc::new(TcpConnector(settings.detours.clone())),
            faults: Faults::default(),
            last_token: 0,
            pending_calls: HashMap::new(),
            pending_proposals: BTreeMap::new(),
            orders_awaiting_lease: Vec::new(),
            drain_proposals: DrainProposals::default(),
            drains_supported_by: BTreeSet::new(),
            tokens_by_index: BTreeMap::new(),
            changes_since_compaction: 0.0,
            checkpoint_token: None,
            bytes_since_compaction: 0,
            warmed_up: false,
            messages_received: 0,
            last_reported_leader: (None, false),
            next_due: [0; 3],
            last_sent_data_planes: (Vec::new(), 0),
            outputs: Vec::new(),
            handling_outputs: false,
            event_log: EventLog::new(),
            neighbor_watch: None,
            is_shutting_down: false,
            shutdown_done: None,
            next_leave_at: 0,
            settings,
        };
        control_plane.on_config_changed();
        control_plane
    }

    /// Goes by what the watch of the neighbours finds, too.
    pub fn with_neighbor_watch(self, neighbor_watch: Option<Rc<NeighborWatch>>) -> Self {
        Self { neighbor_watch, ..self }
    }

    /// Reaches others in another way than by TCP.
    pub fn with_connector(self, connector: Rc<dyn Connector>) -> Self {
        Self { connector, ..self }
    }

    #[doc(hidden)]
    pub fn with_faults(self, faults: Faults) -> Self {
        Self { faults, ..self }
    }

    fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) % below.max(1)
    }

    /// Works through the queue until it is closed.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        self.tick();
        loop {
            let due = self.next_due.iter().copied().min().unwrap_or(TICK_INTERVAL_MS);
            let due = self.node.as_ref().map_or(due, |node| due.min(node.next_due()));
            let due = self.started_at + Duration::from_millis(due.max(self.now() + 1));
            tokio::select! {
                biased;
                command = queue.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                () = sleep_until(due) => {}
            }
            self.tick();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Call { call, reply } => self.on_call(call, reply),
            Command::Opened { connection, line, dialed } => self.on_opened(connection, line, dialed),
            Command::Message { connection, message } => self.on_message(connection, message),
            Command::Closed { connection, error } => self.on_closed(connection, &error),
            Command::Saved { ticket } => self.step_raft(Input::Saved { ticket }),
            Command::Seeds(seeds) => self.settings.seeds = seeds,
            Command::Shutdown(ended) => (self.is_shutting_down, self.shutdown_done) = (true, Some(ended)),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.node.as_ref().is_some_and(|node| now >= node.next_due()) {
            self.step_raft(Input::Tick);
        }
        // A log that is told again after a start brings many versions at once. Followers need the last one only, and
        // the word that it is of this moment waits behind whatever is sent before it.
        if std::mem::take(&mut self.config_changed) {
            self.on_config_changed();
        }
        if now >= self.next_due[0] {
            self.next_due[0] = now + TICK_INTERVAL_MS;
            self.flush_backend_batches();
            self.expire_calls(now);
            self.maintain_connections(now);
            self.maintain_quota_service(now);
        }
        self.query_leader(now);
        self.process_orders_awaiting_lease(now);
        self.progress_shutdown();
        // Whoever waits for a leader, or for this process to have caught up, hears of it at once.
        let (leader, epoch, fresh) = self.leader(now);
        if fresh {
            self.last_current_at = now;
        }
        self.event_log.on_leader_state(now, leader, epoch, self.config_history.version());
        let news = (leader, fresh);
        let early = fresh
            && news != self.last_reported_leader
            && now + HEARTBEAT_INTERVAL_MS >= self.next_due[1] + MIN_HEARTBEAT_INTERVAL_MS;
        if now >= self.next_due[1] || early {
            self.next_due[1] = now + HEARTBEAT_INTERVAL_MS;
            self.last_reported_leader = news;
            self.send_heartbeats(now);
        }
        if now >= self.next_due[2] {
            self.next_due[2] = now + GOSSIP_INTERVAL_MS;
            self.gossip_round(now);
        }
    }
}
