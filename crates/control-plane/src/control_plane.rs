//! The event loop that owns all tables of the control plane.
//!
//! The terms backend, subscriber, quota holder, fleet and slice are explained in the [crate](crate) documentation.
//! A call is an HTTP request of a backend or an operator on the control socket; an order is a call that the leader
//! decides, such as a change of the configuration. The state of a process is current while the leader has confirmed
//! it recently (see `contact`); a process without such a confirmation may be isolated.

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
use crate::snapshot_state::SnapshotState;
use crate::tolerance::Tolerance;
use config::{Config, Detours};
use drains::DrainProposals;
use protocol::{
    Backend, ConfigDelta, ConfigId, ConfigSnapshot, ControlPlaneAddress, Heartbeat, Hello, LeaderCall,
    Message, Phase, Plane,
};
use quota::{HolderAssigner, HolderAssignment, Quota, QuotaService};
use raft::{Input, Node, Output, Payload, PersistentState, Role, Snapshot, Timing, VoterId};
use registry::{BackendRegistry, Fleet, MergeOutcome};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use transport::config_snapshots::{self, ConfigEncoder};
use transport::{ConnectionError, FrameSender, NeighborWatch};

/// Interval of the periodic work: batched updates, call timeouts, connections and the quota service.
const TICK_INTERVAL_MS: u64 = 50;
/// Interval between heartbeats to subscribers.
const HEARTBEAT_INTERVAL_MS: u64 = 350;
/// Shortest pause between two heartbeats when a change of the leader triggers one early.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 40;
/// A leader that a heartbeat reports is believed for this long: two heartbeat intervals plus a margin.
/// A data plane stops following a control plane 0.9 s after the last heartbeat that was marked as current, so that data
/// planes that follow an isolated control plane receive updates again within 2 s.
const LEADER_REPORT_TTL_MS: u64 = 800;
/// Interval of gossip: other control planes receive the ids of backends with new heartbeats, and the known addresses.
const GOSSIP_INTERVAL_MS: u64 = 400;
/// Interval at which an unchanged list of connected data planes is sent again. A list stays valid as long as its
/// connection; a process of the previous version counts a data plane for 30 s after the last list that contains it.
const DATA_PLANES_RESEND_INTERVAL_MS: u64 = 8000;
/// Minimum delay before an unreachable control plane is dialed again; jitter at most doubles the delay. Short,
/// because after a simultaneous restart the first election waits for these connections.
const REDIAL_DELAY_MS: u64 = 80;
/// Timeout of a connection attempt that neither succeeds nor fails.
const DIAL_TIMEOUT_MS: u64 = 2000;
/// How long an operator's call waits for a leader to become known.
const LEADER_WAIT_TIMEOUT_MS: u64 = 700;
/// How long a call that was forwarded to the leader waits for the reply.
const FORWARD_TIMEOUT_MS: u64 = 2300;
/// Maximum number of pending calls; further calls are refused.
const MAX_PENDING_CALLS: usize = 256;
/// The log is compacted after this many changes: each change holds a whole configuration.
const COMPACT_AFTER_CHANGES: f64 = 16.0;
/// Weight of a quota checkpoint or a drain entry for compaction, relative to a change: a checkpoint or drain entry
/// takes only some hundred bytes.
const SMALL_ENTRY_WEIGHT: f64 = 0.1;
/// The log is also compacted after this many bytes of entries: the disk is small, and a change of 4 MB takes 8 MB in
/// the file.
const COMPACT_AFTER_BYTES: usize = 4_000_000;
/// A control plane that has run for less than this may not know all backends yet, so that its list of backends is
/// sent as additions only and not as the complete list.
const WARMUP_MS: u64 = 4000;
/// A peer that has sent no message for this long no longer counts as alive, even if its connection is open.
const PEER_TIMEOUT_MS: u64 = 2500;
/// A process whose state has not been confirmed as current for this long counts as isolated. An election takes less
/// time, so an election alone does not make a process count as isolated.
const ISOLATION_GRACE_MS: u64 = 1500;

/// Settings of a control plane.
#[derive(Clone, Debug)]
pub struct ControlPlaneSettings {
    /// Identity that this process announces to others.
    pub me: Hello,
    /// Address on which other processes connect.
    pub address: SocketAddr,
    /// Addresses of the control planes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Heartbeat interval of backends, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Raft timing.
    pub timing: Timing,
    /// Simultaneous losses that the deployment has to tolerate.
    pub tolerance: Tolerance,
    /// A voter that is silent for this many milliseconds may be removed from the voter list.
    pub retire_after_ms: u64,
    /// Quota lease requests per second that one quota holder can serve. Above that rate the leader appoints deputy
    /// holders; 0 disables deputies.
    pub max_lease_requests_per_holder: f64,
    /// Random seed, drawn anew at each start of the process.
    pub seed: u64,
    /// Alternative addresses through which other processes are reached.
    pub detours: Detours,
}

/// Offers of this process to the leader to become a deputy quota holder, or to stay one.
#[derive(Default)]
struct HolderOffers {
    /// Number of each outstanding offer, and when the offer was sent.
    sent: VecDeque<(u64, u64)>,
    /// Highest offer number to which the leader has responded.
    last_answered: u64,
    /// When the next offer is due.
    next_at: u64,
    /// Total of served lease requests at the last measurement, time of the measurement, and requests per second.
    request_rate: (u64, u64, f64),
}

/// An open connection to another process, and what that process has announced on it.
struct Peer {
    /// Sending half of the connection.
    line: FrameSender,
    /// Identity that the peer has announced, if it has.
    hello: Option<Hello>,
    /// Address that this process dialed; `None` for an incoming connection.
    dialed: Option<SocketAddr>,
    /// Whether the peer receives updates of the configuration, backends and quota holders.
    is_subscriber: bool,
    /// Configuration that the peer has, or will have once it has read everything sent so far.
    held: ConfigId,
    last_received_at: u64,
    opened_at: u64,
    /// Data planes that the peer reported as connected to it, in its latest list.
    data_planes: Vec<(String, u64)>,
    /// Whether the peer understands messages about departed data planes.
    supports_departures: bool,
    /// Whether the peer has announced its shutdown; it must not become a voter.
    is_shutting_down: bool,
}

/// A call of a backend or an operator that waits for a leader or for the leader's reply.
struct PendingCall {
    reply: oneshot::Sender<Reply>,
    since: u64,
    order: LeaderCall,
    /// Connection on which the call was forwarded to the leader, if it was.
    forwarded_on: Option<u64>,
}

/// Where to send the reply to an order.
enum Requester {
    Local(oneshot::Sender<Reply>),
    Remote { peer: u64, token: u64 },
}

/// An order that this leader has proposed, and that the log has not decided yet.
struct PendingProposal {
    requester: Requester,
    since: u64,
}

/// Owner of all tables of one control plane process. A single task runs it; commands arrive through a queue.
pub struct ControlPlane {
    settings: ControlPlaneSettings,
    started_at: Instant,
    rng_state: u64,
    commands: mpsc::Sender<Command>,
    /// Draws the id of a new connection, unique in this process.
    connection_ids: Rc<dyn Fn() -> u64>,
    /// Open connections by connection id.
    peers: BTreeMap<u64, Peer>,
    /// Connection attempts in progress: id of the connection, and when the address may be dialed again.
    dialing: BTreeMap<SocketAddr, (u64, u64)>,
    directory: Directory,
    /// Incarnations of the known control planes that store the Raft log.
    quorum_incarnations: BTreeMap<SocketAddr, u64>,
    register: BackendRegistry,
    /// Changes of backends that subscribers have not received yet.
    subscriber_batch: BackendBatch,
    /// Changes of backends that other control planes have not received yet.
    control_plane_batch: BackendBatch,
    fleet: Fleet,
    config_history: ConfigHistory,
    config: Option<Config>,
    config_encoder: ConfigEncoder,
    /// A committed entry has changed the configuration in force, and subscribers have not received the new one yet.
    config_changed: bool,
    /// The Raft node; `None` for a process without a Raft log, and after a snapshot that could not be restored.
    node: Option<Node>,
    /// Writes the Raft log; `None` for a process without a Raft log.
    disk: Option<Disk>,
    quota_service: QuotaService,
    /// Assigns quota holders; present only while this process leads.
    placer: Option<HolderAssigner>,
    /// Newest known assignment of quota holders.
    assignment: HolderAssignment,
    offers: HolderOffers,
    /// Newest heartbeat of another control plane; used only by a process without a Raft log.
    last_heartbeat: Heartbeat,
    last_heartbeat_at: u64,
    /// The leader's confirmations that the state of this process is current, while this process does not lead.
    leader_contact: LeaderContact,
    /// When the state of this process was last confirmed as current; 0 before the first confirmation.
    last_current_at: u64,
    connector: Rc<dyn Connector>,
    faults: Faults,
    /// Last token drawn for a forwarded call or a proposal.
    last_token: u64,
    /// Calls that wait for a leader or for the leader's reply, by token.
    pending_calls: HashMap<u64, PendingCall>,
    /// Proposed orders that the log has not decided yet, by token.
    pending_proposals: BTreeMap<u64, PendingProposal>,
    /// Orders that reached this leader before its first lease.
    leader_calls_awaiting_lease: Vec<(Requester, LeaderCall)>,
    drain_proposals: DrainProposals,
    /// Control planes that have announced since this process started that they understand [`LeaderCall::Drain`].
    drains_supported_by: BTreeSet<SocketAddr>,
    /// Tokens of this leader's proposals, by log index. Cleared when this process stops leading.
    tokens_by_index: BTreeMap<u64, u64>,
    /// Weighted number of entries applied since the last log compaction; a change has weight 1.
    changes_since_compaction: f64,
    /// Token of the quota checkpoint in flight. At most one checkpoint is proposed at a time.
    checkpoint_token: Option<u64>,
    /// Bytes of the entries applied since the last log compaction.
    bytes_since_compaction: usize,
    warmed_up: bool,
    /// Number of messages received from other processes since the start.
    messages_received: u64,
    /// The leader in the last heartbeat to subscribers, and whether that heartbeat was current.
    last_reported_leader: (Option<SocketAddr>, bool),
    /// Due times of the periodic work, of the heartbeats to subscribers, and of the gossip round.
    next_due: [u64; 3],
    /// The list of data planes last sent to other control planes, and when it was sent.
    last_sent_data_planes: (Vec<(String, u64)>, u64),
    /// Outputs of the Raft node that have not been handled yet.
    outputs: Vec<Output>,
    /// Whether `outputs` is being handled: outputs of nested inputs are queued meanwhile.
    handling_outputs: bool,
    event_log: EventLog,
    /// Failure detector among neighbouring processes, if one runs.
    neighbor_watch: Option<Rc<NeighborWatch>>,
    /// Whether this process is shutting down.
    is_shutting_down: bool,
    /// Notified once the shutdown has nothing left to wait for.
    shutdown_done: Option<oneshot::Sender<()>>,
    /// Earliest time of the next request to the leader to remove this voter.
    next_leave_at: u64,
}

impl ControlPlane {
    /// Creates a control plane. `log` is the disk of a voter and the state read from that disk.
    pub fn new(
        settings: ControlPlaneSettings, log: Option<(Disk, PersistentState)>,
        commands: mpsc::Sender<Command>, connection_ids: Rc<dyn Fn() -> u64>,
    ) -> Self {
        let (mut node, mut disk, mut state) = (None, None, SnapshotState::default());
        if let Some((opened, saved)) = log {
            // Raft replays only the entries after the snapshot. `Disk::open` has checked that the snapshot can be
            // restored.
            let restored = saved.snapshot.as_ref().map(|snapshot| SnapshotState::restore(&snapshot.state));
            state = restored.and_then(Result::ok).unwrap_or_default();
            node = Some(Node::start(saved, settings.timing, settings.seed, 0));
            disk = Some(opened);
        }
        let SnapshotState { config_history, drains } = state;
        let mut register = BackendRegistry::new(settings.heartbeat_interval_ms);
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
            subscriber_batch: BackendBatch::default(),
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
            leader_calls_awaiting_lease: Vec::new(),
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

    /// Also uses the UDP failure detector between neighbouring processes to detect live and departed data planes.
    pub fn with_neighbor_watch(self, neighbor_watch: Option<Rc<NeighborWatch>>) -> Self {
        Self { neighbor_watch, ..self }
    }

    /// Connects to other processes through `connector` instead of TCP.
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

    /// Handles commands until the queue is closed.
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
            Command::Shutdown(done) => (self.is_shutting_down, self.shutdown_done) = (true, Some(done)),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.node.as_ref().is_some_and(|node| now >= node.next_due()) {
            self.step_raft(Input::Tick);
        }
        // After a restart, the replay of the log commits many configurations at once. Only the newest one is sent:
        // subscribers need no others, and the heartbeat that reports the newest version would be queued behind them.
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
        self.process_leader_calls_awaiting_lease(now);
        self.progress_shutdown();
        // Subscribers are notified immediately when the leader changes, or when this process becomes current.
        let (leader, epoch, fresh) = self.leader(now);
        if fresh {
            self.last_current_at = now;
        }
        self.event_log.on_leader_state(now, leader, epoch, self.config_history.version());
        let reported = (leader, fresh);
        let early = fresh
            && reported != self.last_reported_leader
            && now + HEARTBEAT_INTERVAL_MS >= self.next_due[1] + MIN_HEARTBEAT_INTERVAL_MS;
        if now >= self.next_due[1] || early {
            self.next_due[1] = now + HEARTBEAT_INTERVAL_MS;
            self.last_reported_leader = reported;
            self.send_heartbeats(now);
        }
        if now >= self.next_due[2] {
            self.next_due[2] = now + GOSSIP_INTERVAL_MS;
            self.gossip_round(now);
        }
    }
}
