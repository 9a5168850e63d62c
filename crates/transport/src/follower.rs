//! Subscribes this process to updates of one control plane at a time, and keeps connections to the quota holders.
//!
//! The follower switches to another control plane when the followed one is silent or has lost the leader, or when its
//! newest freshness answer is too old.

use crate::config_snapshots;
use crate::connection::{ConnectionError, FrameSender, Received};
use crate::departure::PendingDeparture;
use crate::drain_records::DrainRecords;
use crate::freshness::FreshnessTracker;
use crate::peer_choice::PeerChoice;
use crate::pending_requests::PendingRequests;
use crate::search::CandidateSearch;
use crate::spawn;
use crate::upstream::{Event, Inbox, Upstream};
use config::Detours;
use protocol::{
    Backend, ConfigDelta, ConfigId, ConfigSnapshot, ControlPlaneAddress, FreshnessAnswer, FreshnessQuery,
    Heartbeat, Hello, Message, UNDERSTANDS_FRESHNESS,
};
use quota::HolderAssignment;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval of the periodic maintenance.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Keepalive interval.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(800);
/// While part of a message has arrived within this time, the follower does not switch to another control plane, which
/// would have to send the message again.
const PARTIAL_MESSAGE_GRACE_MS: u64 = 700;
/// A lease request without an answer for this long has failed.
const LEASE_REQUEST_TIMEOUT_MS: u64 = 400;

/// An update for the owner of a [`ControlFollower`].
#[derive(Debug)]
pub enum Update {
    /// A new configuration.
    ConfigSnapshot(ConfigSnapshot),
    /// Backends that changed, or all backends if `is_complete` is set.
    Backends {
        /// Whether backends that are not listed do not exist.
        is_complete: bool,
        /// The listed backends.
        backends: Vec<Backend>,
    },
    /// The current state of the fleet.
    Heartbeat(Heartbeat),
    /// A new assignment of quota counters to holders.
    HolderAssignment(HolderAssignment),
    /// This process follows the control plane at this address from now on.
    Following(SocketAddr),
    /// The answer to a lease request.
    Grant(quota::Grant),
    /// A lease request that will not be answered.
    Unanswered {
        /// Number of the request.
        number: u64,
    },
}

/// Settings of a follower.
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// Identity of this process.
    pub me: Hello,
    /// Addresses of control planes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Alternative addresses by which other processes are reached.
    pub detours: Detours,
    /// Age in ms of the newest freshness answer at which other control planes than the followed one are queried.
    pub stale_after: u64,
}

/// Handle of a follower task, which runs until the handle is dropped.
pub struct ControlFollower {
    commands: mpsc::Sender<Command>,
}

/// A command from the [`ControlFollower`] handle to the task.
enum Command {
    LeaseRequest(SocketAddr, quota::LeaseRequest),
    Seeds(Vec<SocketAddr>),
    Leave(oneshot::Sender<()>),
}

impl ControlFollower {
    /// Starts the follower. `on_update` receives all updates in order.
    pub fn start(settings: FollowerSettings, on_update: impl FnMut(Update) + 'static) -> Self {
        let (commands, queue) = mpsc::channel(64);
        spawn(FollowerTask::run(settings, Box::new(on_update), queue));
        Self { commands }
    }

    /// Sends a lease request to the holder at the address `to`. Returns false if the request cannot be sent.
    pub fn request_lease(&self, to: &str, request: quota::LeaseRequest) -> bool {
        to.parse().is_ok_and(|to| self.commands.try_send(Command::LeaseRequest(to, request)).is_ok())
    }

    /// Announces that this process has ended to the followed control plane and the quota holders, on each existing or
    /// later established connection. Resolves once every connection on which the announcement was sent has accepted
    /// it or was lost, and at least one has accepted it.
    pub async fn leave(&self) {
        let (done, accepted) = oneshot::channel();
        if self.commands.send(Command::Leave(done)).await.is_ok() {
            let _ = accepted.await;
        }
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.commands.try_send(Command::Seeds(seeds));
    }
}

/// A connection to a quota holder, and the lease requests that the holder has not answered.
struct QuotaHolder {
    upstream: Upstream,
    pending_requests: PendingRequests,
}

/// State of the task behind a [`ControlFollower`].
struct FollowerTask {
    settings: FollowerSettings,
    on_update: Box<dyn FnMut(Update)>,
    peer_choice: PeerChoice,
    started_at: Instant,
    last_connection_number: u64,
    followed: Option<Upstream>,
    /// Time of the last freshness query to the followed control plane.
    last_query_at: u64,
    /// Time of the last part of an incomplete message of the followed control plane.
    last_partial_at: Option<u64>,
    freshness: FreshnessTracker,
    search: CandidateSearch,
    drain_records: DrainRecords,
    holders: Vec<QuotaHolder>,
    /// Version and digest of the current configuration.
    config_id: ConfigId,
    /// Body of the current configuration, on which the next difference may build.
    config_body: Vec<u8>,
    /// A received configuration that is not adopted yet: this process has none, and the sender's may be outdated.
    pending_config: Option<ConfigSnapshot>,
    last_keepalive_at: Instant,
    assignment: HolderAssignment,
    /// The announcement that this process has ended.
    departure: Option<PendingDeparture>,
    inbox: Inbox,
}

impl FollowerTask {
    async fn run(
        settings: FollowerSettings, on_update: Box<dyn FnMut(Update)>, mut commands: mpsc::Receiver<Command>,
    ) {
        let (events, mut event_queue) = mpsc::channel::<Event>(256);
        let (connected, mut connected_queue) = mpsc::channel(8);
        let (me, started_at) = (&settings.me, Instant::now());
        let peer_choice =
            PeerChoice::new(0, &me.name, &me.zone, me.address.parse().ok(), settings.seeds.clone());
        let freshness = FreshnessTracker::new(0, settings.stale_after);
        let mut task = Self {
            settings,
            on_update,
            peer_choice,
            started_at,
            last_connection_number: 0,
            followed: None,
            last_query_at: 0,
            last_partial_at: None,
            freshness,
            search: CandidateSearch::default(),
            drain_records: DrainRecords::default(),
            holders: Vec::new(),
            config_id: ConfigId::default(),
            config_body: Vec::new(),
            pending_config: None,
            last_keepalive_at: started_at,
            assignment: HolderAssignment::default(),
            departure: None,
            inbox: Inbox { connected, events },
        };
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some((number, sender)) = connected_queue.recv() => task.on_connected(number, sender),
                Some((number, event)) = event_queue.recv() => task.on_event(number, event),
                command = commands.recv() => match command {
                    Some(Command::LeaseRequest(to, request)) => task.on_lease_request(to, request),
                    Some(Command::Seeds(seeds)) => task.on_seeds(seeds),
                    Some(Command::Leave(done)) => task.on_leave(done),
                    None => return,
                },
                _ = tick.tick() => task.on_tick(),
            }
        }
    }

    fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn upstream(&mut self, to: SocketAddr) -> Upstream {
        self.last_connection_number += 1;
        let hello = Message::Hello(self.settings.me.clone());
        Upstream::open(
            self.last_connection_number,
            to,
            self.settings.detours.clone(),
            hello,
            self.inbox.clone(),
        )
    }

    fn abandon_followed(&mut self) {
        let now = self.now();
        self.peer_choice.mark_failed(now);
        (self.followed, self.last_partial_at) = (None, None);
    }

    fn on_tick(&mut self) {
        let now = self.now();
        if self.peer_choice.should_leave(now) || self.followed.as_ref().is_some_and(Upstream::is_lost) {
            self.abandon_followed();
        }
        if let Some(to) = self.peer_choice.next_to_dial(now) {
            self.followed = Some(self.upstream(to));
        }
        self.adopt_pending_config();
        if self.last_keepalive_at.elapsed() > KEEPALIVE_INTERVAL {
            self.last_keepalive_at = Instant::now();
            let follow = Message::Follow { have: self.config_id };
            // On an established subscription, `Follow` serves as a keepalive only.
            if let Some(upstream) = &self.followed {
                upstream.send(&follow);
            }
            let keepalive = Message::QuotaKeepalive { epoch: self.assignment.epoch };
            for holder in &self.holders {
                holder.upstream.send(&keepalive);
            }
        }
        // A holder that does not answer lease requests may be unreachable. Reconnecting detects an unreachable holder
        // sooner than waiting on the old connection.
        self.drop_holders(|holder| holder.pending_requests.is_overdue(now, LEASE_REQUEST_TIMEOUT_MS));
        self.maintain_holders();
        self.maintain_freshness(now);
    }

    /// Sends due freshness queries: to the followed control plane, and to candidates once the newest answer is too
    /// old.
    fn maintain_freshness(&mut self, now: u64) {
        if self.search.has_fresh_candidate() || now >= self.last_query_at + self.freshness.query_interval() {
            self.query_followed(now);
        }
        let width = self.freshness.width(now);
        if width == 0 && !self.search.has_fresh_candidate() {
            return self.search.cancel();
        }
        let next = self.search.next_to_dial(now, self.peer_choice.others(now).into_iter(), width);
        for to in next {
            let upstream = self.upstream(to);
            self.search.add(upstream);
        }
        self.query_candidates(now);
        self.switch_if_found(now);
    }

    fn query_followed(&mut self, now: u64) {
        let Some(upstream) = self.followed.as_ref().filter(|peer| peer.answers_queries) else { return };
        self.last_query_at = now;
        let number = self.freshness.start_query(now);
        upstream.send(&freshness_query(number, &self.drain_records));
    }

    fn query_candidates(&mut self, now: u64) {
        for upstream in self.search.due_queries(now) {
            let number = self.freshness.start_query(now);
            upstream.send(&freshness_query(number, &self.drain_records));
        }
    }

    /// Handles a freshness answer. The answer updates the age of this process's state only once this process has all
    /// drain records that the sender had.
    fn on_freshness_answer(&mut self, connection: u64, answer: &FreshnessAnswer, now: u64) {
        let Some(age) = answer.age_ms else { return };
        let added = self.drain_records.apply_answer(now, answer);
        if !added.is_empty() {
            let backends = added.into_iter().map(Backend::draining).collect();
            (self.on_update)(Update::Backends { is_complete: false, backends });
        }
        if !self.drain_records.is_complete(answer) {
            return self.query_again(connection, now);
        }
        let as_of = self.freshness.record_answer(answer.number, age.into());
        if !as_of.is_some_and(|as_of| self.freshness.is_recent(now, as_of)) {
            return;
        }
        if self.search.connection(connection).is_some() {
            self.search.record_fresh_answer(now, connection);
            // The followed control plane may have regained contact with the leader, too.
            self.query_followed(now);
        } else {
            // The leader confirms the state of the followed control plane again.
            self.peer_choice.on_fresh_answer(now);
            self.search.cancel();
        }
    }

    /// Queries the same connection again, because one answer did not have room for all missing drain records.
    fn query_again(&mut self, connection: u64, now: u64) {
        let followed = self.followed.as_ref().filter(|upstream| upstream.number == connection);
        let Some(upstream) = followed.or(self.search.connection(connection).map(|upstream| &*upstream))
        else {
            return;
        };
        let number = self.freshness.start_query(now);
        upstream.send(&freshness_query(number, &self.drain_records));
    }

    /// Switches to the best candidate whose state the leader confirms, unless a message of the followed control plane
    /// is arriving.
    fn switch_if_found(&mut self, now: u64) {
        if self.last_partial_at.is_some_and(|at| now < at + PARTIAL_MESSAGE_GRACE_MS) {
            return;
        }
        let Some(upstream) = self.search.take_best(now) else { return };
        self.peer_choice.follow(now, upstream.address);
        (self.last_query_at, self.last_partial_at) = (now, None);
        upstream.send(&Message::Follow { have: self.config_id });
        (self.on_update)(Update::Following(upstream.address));
        self.followed = Some(upstream);
    }

    /// The peer of a connection announces that it answers freshness queries.
    fn on_understands_freshness(&mut self, connection: u64, now: u64) {
        self.freshness.mark_supported();
        if let Some(upstream) = self.followed.as_mut().filter(|upstream| upstream.number == connection) {
            upstream.answers_queries = true;
            self.query_followed(now);
        } else if let Some(upstream) = self.search.connection(connection) {
            upstream.answers_queries = true;
            self.query_candidates(now);
        }
    }

    /// Handles an event on the connection to a candidate. Updates are ignored, since candidates are not followed.
    fn on_candidate_event(&mut self, connection: u64, event: Result<Received, ConnectionError>) {
        let now = self.now();
        match event {
            Err(_) => self.search.remove(connection),
            Ok(Received::Message(Message::NotHolder { number: UNDERSTANDS_FRESHNESS })) => {
                self.on_understands_freshness(connection, now);
            }
            Ok(Received::Message(Message::FreshnessAnswer(answer))) => {
                self.on_freshness_answer(connection, &answer, now);
            }
            Ok(Received::Message(Message::LeaveAccepted)) => self.on_leave_accepted(connection),
            Ok(_) => {}
        }
    }

    fn on_leave(&mut self, done: oneshot::Sender<()>) {
        let mut departure = PendingDeparture::new(done);
        let upstreams = self.followed.iter().chain(self.holders.iter().map(|holder| &holder.upstream));
        for upstream in upstreams {
            if upstream.send(&Message::Leave) {
                departure.record_sent(upstream.number);
            }
        }
        self.departure = Some(departure);
        self.on_tick();
    }

    fn on_leave_accepted(&mut self, number: u64) {
        if let Some(departure) = &mut self.departure {
            departure.record_accepted(number);
        }
    }

    /// Closes the connections to the holders that `should_drop` selects. Their pending lease requests have failed.
    fn drop_holders(&mut self, should_drop: impl Fn(&QuotaHolder) -> bool) {
        let mut unanswered = Vec::new();
        self.holders.retain(|holder| {
            let should_drop = should_drop(holder);
            if should_drop {
                unanswered.extend(holder.pending_requests.numbers());
            }
            !should_drop
        });
        for number in unanswered {
            (self.on_update)(Update::Unanswered { number });
        }
    }

    fn maintain_holders(&mut self) {
        let holders: Vec<SocketAddr> = self.peer_choice.holders().collect();
        self.drop_holders(|holder| holder.upstream.is_lost() || !holders.contains(&holder.upstream.address));
        for to in holders {
            if self.holders.iter().all(|holder| holder.upstream.address != to) {
                let upstream = self.upstream(to);
                self.holders.push(QuotaHolder { upstream, pending_requests: PendingRequests::default() });
            }
        }
    }

    fn on_connected(&mut self, number: u64, sender: FrameSender) {
        if let Some(departure) = &mut self.departure
            && sender.send(&Message::Leave)
        {
            departure.record_sent(number);
        }
        if let Some(upstream) = self.followed.as_mut().filter(|upstream| upstream.number == number) {
            sender.send(&Message::Follow { have: self.config_id });
            upstream.sender = Some(sender);
            (self.on_update)(Update::Following(upstream.address));
        } else if let Some(upstream) = self.search.connection(number) {
            upstream.sender = Some(sender);
        } else if let Some(holder) = self.holders.iter_mut().find(|holder| holder.upstream.number == number) {
            // With several quota holders, a holder counts a data plane as in contact only once the data plane has
            // reported the holder assignment that it has received.
            if self.assignment.epoch.number > 1 {
                sender.send(&Message::QuotaKeepalive { epoch: self.assignment.epoch });
            }
            holder.upstream.sender = Some(sender);
        }
    }

    fn on_event(&mut self, number: u64, event: Result<Received, ConnectionError>) {
        if let (Err(_), Some(departure)) = (&event, &mut self.departure) {
            departure.connection_lost(number);
        }
        if self.search.connection(number).is_some() {
            return self.on_candidate_event(number, event);
        }
        let is_followed = self.followed.as_ref().is_some_and(|upstream| upstream.number == number);
        let mut holder = self.holders.iter_mut().find(|holder| holder.upstream.number == number);
        // Answers that match no pending request of this connection are ignored.
        let mut is_pending =
            |number| holder.as_mut().is_some_and(|holder| holder.pending_requests.record_answer(number));
        match event {
            Err(_) if is_followed => {
                self.abandon_followed();
                self.on_tick();
            }
            Err(_) => self.drop_holders(|holder| holder.upstream.number == number),
            Ok(Received::Message(Message::LeaveAccepted)) => self.on_leave_accepted(number),
            Ok(received) if is_followed => {
                let now = self.now();
                self.peer_choice.record_message(now);
                match received {
                    Received::Message(message) => self.on_message(number, message, now),
                    Received::Partial => self.last_partial_at = Some(now),
                }
            }
            Ok(Received::Message(Message::Grant(grant))) if is_pending(grant.number) => {
                (self.on_update)(Update::Grant(grant));
            }
            Ok(Received::Message(Message::NotHolder { number })) if is_pending(number) => {
                (self.on_update)(Update::Unanswered { number });
            }
            Ok(_) => {}
        }
    }

    fn on_message(&mut self, connection: u64, message: Message, now: u64) {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.peer_choice.on_heartbeat(now, &heartbeat);
                self.adopt_pending_config();
                if self.assignment != *self.peer_choice.assignment() {
                    self.assignment = self.peer_choice.assignment().clone();
                    (self.on_update)(Update::HolderAssignment(self.assignment.clone()));
                }
                self.maintain_holders();
                // A fresh heartbeat may have been delayed in a socket, or its sender may not have noticed its isolation.
                // So the heartbeat counts as fresh only while the newest freshness answer is recent enough.
                let fresh = heartbeat.fresh && !self.freshness.is_stale(now);
                (self.on_update)(Update::Heartbeat(Heartbeat { fresh, ..heartbeat }));
            }
            Message::ConfigSnapshot(config_snapshot) => {
                self.pending_config = Some(config_snapshot);
                self.adopt_pending_config();
            }
            Message::ConfigDelta(config_delta) => self.on_config_delta(&config_delta),
            Message::Backends { is_complete, backends } => {
                let backends = self.drain_records.apply_to(backends);
                (self.on_update)(Update::Backends { is_complete, backends });
            }
            Message::FreshnessAnswer(answer) => self.on_freshness_answer(connection, &answer, now),
            Message::NotHolder { number: UNDERSTANDS_FRESHNESS } => {
                self.on_understands_freshness(connection, now);
            }
            Message::ControlPlanes(control_planes) => {
                let parse = |peer: ControlPlaneAddress| Some((peer.address.parse().ok()?, peer.zone));
                self.peer_choice.set_control_planes(control_planes.into_iter().filter_map(parse));
            }
            _ => {}
        }
    }

    /// Handles a configuration encoded as a difference. If the difference cannot be applied, requests the complete
    /// configuration.
    fn on_config_delta(&mut self, config_delta: &ConfigDelta) {
        if config_delta.version <= self.config_id.version {
            return;
        }
        let pending = self
            .pending_config
            .as_ref()
            .filter(|config_snapshot| config_snapshot.version == config_delta.base);
        let taken = (config_delta.base == self.config_id.version).then_some(&self.config_body);
        let base = pending.map(|config_snapshot| &config_snapshot.body).or(taken).map(Vec::as_slice);
        match config_snapshots::rebuild(base, config_delta) {
            Ok(config_snapshot) => {
                self.pending_config = Some(config_snapshot);
                self.adopt_pending_config();
            }
            Err(_) => {
                if let Some(upstream) = &self.followed {
                    upstream.send(&Message::SnapshotRequest);
                }
            }
        }
    }

    fn adopt_pending_config(&mut self) {
        let Some(version) = self.pending_config.as_ref().map(|config_snapshot| config_snapshot.version)
        else {
            return;
        };
        if self.config_id.version == 0 && !self.peer_choice.may_adopt_first_config(self.now(), version) {
            return;
        }
        if let Some(config_snapshot) = self
            .pending_config
            .take()
            .filter(|config_snapshot| config_snapshot.version > self.config_id.version)
        {
            self.config_id = config_snapshots::config_id(config_snapshot.version, &config_snapshot.body);
            self.config_body.clone_from(&config_snapshot.body);
            (self.on_update)(Update::ConfigSnapshot(config_snapshot));
        }
    }

    fn on_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.peer_choice.set_seeds(seeds);
    }

    fn on_lease_request(&mut self, to: SocketAddr, request: quota::LeaseRequest) {
        let (number, now) = (request.number, self.now());
        let holder = self.holders.iter_mut().find(|holder| holder.upstream.address == to);
        let sent_to = holder.filter(|holder| holder.upstream.send(&Message::LeaseRequest(request)));
        let unanswered = match sent_to {
            Some(holder) => holder.pending_requests.record_sent(number, now),
            None => Some(number),
        };
        if let Some(number) = unanswered {
            (self.on_update)(Update::Unanswered { number });
        }
    }
}

fn freshness_query(number: u64, records: &DrainRecords) -> Message {
    Message::FreshnessQuery(FreshnessQuery { number, last_drain: records.last() })
}
