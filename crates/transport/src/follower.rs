//! Follows the news: one process that serves control at a time, another one when that falls silent or behind, or when its
//! answer is too old; and a connection to the holder of the counts.

use crate::config_snapshots;
use crate::connection::{ConnectionError, FrameSender, Received};
use crate::drain_records::DrainRecords;
use crate::freshness::Freshness;
use crate::leaving::Leaving;
use crate::peer_choice::PeerChoice;
use crate::search::Search;
use crate::spawn;
use crate::unanswered::Unanswered;
use crate::upstream::{Event, Inbox, Upstream};
use config::Detours;
use protocol::{
    Backend, ConfigDelta, ConfigId, ConfigSnapshot, ControlPlaneAddress, FreshnessAnswer, FreshnessQuestion,
    Heartbeat, Hello, Message, UNDERSTANDS_FRESHNESS,
};
use quota::HolderAssignment;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often things are looked after.
const TICK: Duration = Duration::from_millis(100);
/// A sign of life goes out this often.
const SIGN: Duration = Duration::from_millis(800);
/// A message of which bytes came within this is still on its way, in ms: whoever sends it is not left for another one, from
/// which it would have to come anew.
const ON_ITS_WAY: u64 = 700;
/// A draw that has no answer by then, in ms, gets none.
const DRAW_LOST: u64 = 400;

/// What there is to hear.
#[derive(Debug)]
pub enum Update {
    /// A configuration.
    ConfigSnapshot(ConfigSnapshot),
    /// Backends: changes, or with `whole` all there are.
    Backends {
        /// Whether there are no others.
        is_complete: bool,
        /// The backends.
        backends: Vec<Backend>,
    },
    /// How things stand.
    Heartbeat(Heartbeat),
    /// Who holds the counts.
    HolderAssignment(HolderAssignment),
    /// Whom this process follows.
    Following(SocketAddr),
    /// An answer to a draw.
    Grant(quota::Grant),
    /// A draw that gets no answer.
    Unanswered {
        /// Its number.
        number: u64,
    },
}

/// What a follower is told at its start.
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// Who follows.
    pub me: Hello,
    /// Where the first ones to ask take connections.
    pub seeds: Vec<SocketAddr>,
    /// By which ways others are reached.
    pub detours: Detours,
    /// How old the leader's answer may be, in ms, before others than the one that is followed are asked for it.
    pub stale_after: u64,
}

/// A follower of the news.
pub struct ControlFollower {
    orders: mpsc::Sender<Order>,
}

enum Order {
    LeaseRequest(SocketAddr, quota::LeaseRequest),
    Seeds(Vec<SocketAddr>),
    Leave(oneshot::Sender<()>),
}

impl ControlFollower {
    /// Follows from now on; `news` hears all of it, in order.
    pub fn start(settings: FollowerSettings, news: impl FnMut(Update) + 'static) -> Self {
        let (orders, queue) = mpsc::channel(64);
        spawn(FollowerTask::run(settings, Box::new(news), queue));
        Self { orders }
    }

    /// Sends a draw to its holder; false when it can't be sent.
    pub fn request_lease(&self, to: &str, draw: quota::LeaseRequest) -> bool {
        to.parse().is_ok_and(|to| self.orders.try_send(Order::LeaseRequest(to, draw)).is_ok())
    }

    /// Says that this process has ended, to the process that is followed and to the holders of the counts, on each
    /// connection that is there or comes up. Resolves once all that were told have accepted it, and at least one has.
    pub async fn leave(&self) {
        let (done, accepted) = oneshot::channel();
        if self.orders.send(Order::Leave(done)).await.is_ok() {
            let _ = accepted.await;
        }
    }

    /// The settings name other seeds from now on.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.orders.try_send(Order::Seeds(seeds));
    }
}

/// A holder of counts, and the draws that it has not answered.
struct QuotaHolder {
    upstream: Upstream,
    drawn: Unanswered,
}

struct FollowerTask {
    settings: FollowerSettings,
    news: Box<dyn FnMut(Update)>,
    peer_choice: PeerChoice,
    began: Instant,
    numbers: u64,
    control_plane: Option<Upstream>,
    /// When the process that is followed was asked last, and when bytes of a longer message came from it.
    asked_at: u64,
    part_at: Option<u64>,
    freshness: Freshness,
    search: Search,
    drain_records: DrainRecords,
    holders: Vec<QuotaHolder>,
    /// What was taken last, and its body: what comes next may be a change of it.
    have: ConfigId,
    body: Vec<u8>,
    /// A configuration from one who is perhaps behind, for a process that has none.
    doubtful: Option<ConfigSnapshot>,
    signed: Instant,
    assignment: HolderAssignment,
    /// This process has ended and says so.
    leaving: Option<Leaving>,
    inbox: Inbox,
}

impl FollowerTask {
    async fn run(
        settings: FollowerSettings, news: Box<dyn FnMut(Update)>, mut orders: mpsc::Receiver<Order>,
    ) {
        let (events, mut happened) = mpsc::channel::<Event>(256);
        let (lines, mut up) = mpsc::channel(8);
        let (me, began) = (&settings.me, Instant::now());
        let peer_choice =
            PeerChoice::new(0, &me.name, &me.zone, me.address.parse().ok(), settings.seeds.clone());
        let freshness = Freshness::new(0, settings.stale_after);
        let mut task = Self {
            settings,
            news,
            peer_choice,
            began,
            numbers: 0,
            control_plane: None,
            asked_at: 0,
            part_at: None,
            freshness,
            search: Search::default(),
            drain_records: DrainRecords::default(),
            holders: Vec::new(),
            have: ConfigId::default(),
            body: Vec::new(),
            doubtful: None,
            signed: began,
            assignment: HolderAssignment::default(),
            leaving: None,
            inbox: Inbox { lines, events },
        };
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some((number, line)) = up.recv() => task.on_up(number, line),
                Some((number, event)) = happened.recv() => task.on_event(number, event),
                order = orders.recv() => match order {
                    Some(Order::LeaseRequest(to, draw)) => task.on_draw(to, draw),
                    Some(Order::Seeds(seeds)) => task.on_seeds(seeds),
                    Some(Order::Leave(done)) => task.on_leave(done),
                    None => return,
                },
                _ = tick.tick() => task.on_tick(),
            }
        }
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn upstream(&mut self, to: SocketAddr) -> Upstream {
        self.numbers += 1;
        let hello = Message::Hello(self.settings.me.clone());
        Upstream::open(self.numbers, to, self.settings.detours.clone(), hello, self.inbox.clone())
    }

    fn leave(&mut self) {
        let now = self.now();
        self.peer_choice.mark_failed(now);
        (self.control_plane, self.part_at) = (None, None);
    }

    fn on_tick(&mut self) {
        let now = self.now();
        if self.peer_choice.should_leave(now) || self.control_plane.as_ref().is_some_and(Upstream::is_lost) {
            self.leave();
        }
        if let Some(to) = self.peer_choice.next_to_dial(now) {
            self.control_plane = Some(self.upstream(to));
        }
        self.take_doubtful();
        if self.signed.elapsed() > SIGN {
            self.signed = Instant::now();
            let sign = Message::Follow { have: self.have };
            // Only a sign of life on a connection that has its news already.
            if let Some(upstream) = &self.control_plane {
                upstream.send(&sign);
            }
            let here = Message::QuotaKeepalive { epoch: self.assignment.epoch };
            for holder in &self.holders {
                holder.upstream.send(&here);
            }
        }
        // A holder that says nothing may be cut off: another connection finds out sooner.
        self.part(|holder| holder.drawn.is_overdue(now, DRAW_LOST));
        self.tend_holders();
        self.tend_freshness(now);
    }

    /// Asks the process that is followed how old what it tells may be, and others once that is too old.
    fn tend_freshness(&mut self, now: u64) {
        if self.search.has_found() || now >= self.asked_at + self.freshness.ask_every() {
            self.ask_followed(now);
        }
        let width = self.freshness.width(now);
        if width == 0 && !self.search.has_found() {
            return self.search.end();
        }
        let next = self.search.next_to_dial(now, self.peer_choice.others(now).into_iter(), width);
        for to in next {
            let upstream = self.upstream(to);
            self.search.add(upstream);
        }
        self.ask_searched(now);
        self.go_over(now);
    }

    fn ask_followed(&mut self, now: u64) {
        let Some(upstream) = self.control_plane.as_ref().filter(|upstream| upstream.answers) else { return };
        self.asked_at = now;
        let number = self.freshness.question(now);
        upstream.send(&freshness_question(number, &self.drain_records));
    }

    fn ask_searched(&mut self, now: u64) {
        for upstream in self.search.due_questions(now) {
            let number = self.freshness.question(now);
            upstream.send(&freshness_question(number, &self.drain_records));
        }
    }

    /// An answer on this connection: it dates what is known here, once all records that it counts are here.
    fn on_freshness_answer(&mut self, connection: u64, answer: &FreshnessAnswer, now: u64) {
        let Some(age) = answer.age_ms else { return };
        let new = self.drain_records.take(now, answer);
        if !new.is_empty() {
            let backends = new.into_iter().map(Backend::leaving).collect();
            (self.news)(Update::Backends { is_complete: false, backends });
        }
        if !self.drain_records.is_complete(answer) {
            return self.ask_again(connection, now);
        }
        let as_of = self.freshness.answered(answer.number, age.into());
        if !as_of.is_some_and(|as_of| self.freshness.is_recent(now, as_of)) {
            return;
        }
        if self.search.connection(connection).is_some() {
            self.search.found(now, connection);
            // It may have heard of the leader by now, too.
            self.ask_followed(now);
        } else {
            // The one that is followed is in touch again.
            self.peer_choice.on_fresh_answer(now);
            self.search.end();
        }
    }

    /// The records were more than fit into one answer.
    fn ask_again(&mut self, connection: u64, now: u64) {
        let followed = self.control_plane.as_ref().filter(|upstream| upstream.number == connection);
        let Some(upstream) = followed.or(self.search.connection(connection).map(|upstream| &*upstream))
        else {
            return;
        };
        let number = self.freshness.question(now);
        upstream.send(&freshness_question(number, &self.drain_records));
    }

    /// The first of those that are in touch with the leader is followed from now on, where the present one is not, unless a
    /// message of that one is on its way.
    fn go_over(&mut self, now: u64) {
        if self.part_at.is_some_and(|at| now < at + ON_ITS_WAY) {
            return;
        }
        let Some(upstream) = self.search.choose(now) else { return };
        self.peer_choice.follow(now, upstream.to);
        (self.asked_at, self.part_at) = (now, None);
        upstream.send(&Message::Follow { have: self.have });
        (self.news)(Update::Following(upstream.to));
        self.control_plane = Some(upstream);
    }

    /// The other end of a connection answers questions about its freshness.
    fn on_understands_freshness(&mut self, connection: u64, now: u64) {
        self.freshness.understood();
        if let Some(upstream) = self.control_plane.as_mut().filter(|upstream| upstream.number == connection) {
            upstream.answers = true;
            self.ask_followed(now);
        } else if let Some(upstream) = self.search.connection(connection) {
            upstream.answers = true;
            self.ask_searched(now);
        }
    }

    /// What comes from those that are searched. They are not followed: nothing else of theirs counts.
    fn on_search_event(&mut self, connection: u64, event: Result<Received, ConnectionError>) {
        let now = self.now();
        match event {
            Err(_) => self.search.lost(connection),
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
        let mut leaving = Leaving::new(done);
        let upstreams = self.control_plane.iter().chain(self.holders.iter().map(|holder| &holder.upstream));
        for upstream in upstreams {
            if upstream.send(&Message::Leave) {
                leaving.said(upstream.number);
            }
        }
        self.leaving = Some(leaving);
        self.on_tick();
    }

    fn on_leave_accepted(&mut self, number: u64) {
        if let Some(leaving) = &mut self.leaving {
            leaving.accepted(number);
        }
    }

    /// Leaves holders; what was drawn from them gets no answer.
    fn part(&mut self, leaves: impl Fn(&QuotaHolder) -> bool) {
        let mut left = Vec::new();
        self.holders.retain(|holder| {
            let leaves = leaves(holder);
            if leaves {
                left.extend(holder.drawn.numbers());
            }
            !leaves
        });
        for number in left {
            (self.news)(Update::Unanswered { number });
        }
    }

    fn tend_holders(&mut self) {
        let wanted: Vec<SocketAddr> = self.peer_choice.holders().collect();
        self.part(|holder| holder.upstream.is_lost() || !wanted.contains(&holder.upstream.to));
        for to in wanted {
            if self.holders.iter().all(|holder| holder.upstream.to != to) {
                let upstream = self.upstream(to);
                self.holders.push(QuotaHolder { upstream, drawn: Unanswered::default() });
            }
        }
    }

    fn on_up(&mut self, number: u64, line: FrameSender) {
        if let Some(leaving) = &mut self.leaving
            && line.send(&Message::Leave)
        {
            leaving.said(number);
        }
        if let Some(upstream) = self.control_plane.as_mut().filter(|v| v.number == number) {
            line.send(&Message::Follow { have: self.have });
            upstream.line = Some(line);
            (self.news)(Update::Following(upstream.to));
        } else if let Some(upstream) = self.search.connection(number) {
            upstream.line = Some(line);
        } else if let Some(holder) = self.holders.iter_mut().find(|holder| holder.upstream.number == number) {
            // Among several holders only one that says which assignment it knows counts as heard.
            if self.assignment.epoch.number > 1 {
                line.send(&Message::QuotaKeepalive { epoch: self.assignment.epoch });
            }
            holder.upstream.line = Some(line);
        }
    }

    fn on_event(&mut self, number: u64, event: Result<Received, ConnectionError>) {
        if let (Err(_), Some(leaving)) = (&event, &mut self.leaving) {
            leaving.lost(number);
        }
        if self.search.connection(number).is_some() {
            return self.on_search_event(number, event);
        }
        let from_control_plane = self.control_plane.as_ref().is_some_and(|v| v.number == number);
        let mut holder = self.holders.iter_mut().find(|holder| holder.upstream.number == number);
        // Whatever answers no draw of this connection is nobody's.
        let mut is_answer = |number| holder.as_mut().is_some_and(|holder| holder.drawn.answered(number));
        match event {
            Err(_) if from_control_plane => {
                self.leave();
                self.on_tick();
            }
            Err(_) => self.part(|holder| holder.upstream.number == number),
            Ok(Received::Message(Message::LeaveAccepted)) => self.on_leave_accepted(number),
            Ok(received) if from_control_plane => {
                let now = self.now();
                self.peer_choice.record_message(now);
                match received {
                    Received::Message(message) => self.on_news(number, message, now),
                    Received::Partial => self.part_at = Some(now),
                }
            }
            Ok(Received::Message(Message::Grant(grant))) if is_answer(grant.number) => {
                (self.news)(Update::Grant(grant));
            }
            Ok(Received::Message(Message::NotHolder { number })) if is_answer(number) => {
                (self.news)(Update::Unanswered { number });
            }
            Ok(_) => {}
        }
    }

    fn on_news(&mut self, connection: u64, message: Message, now: u64) {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.peer_choice.on_heartbeat(now, &heartbeat);
                self.take_doubtful();
                if self.assignment != *self.peer_choice.assignment() {
                    self.assignment = self.peer_choice.assignment().clone();
                    (self.news)(Update::HolderAssignment(self.assignment.clone()));
                }
                self.tend_holders();
                // It may have lain in a socket, or come from one that does not know that it is cut off.
                let fresh = heartbeat.fresh && !self.freshness.is_stale(now);
                (self.news)(Update::Heartbeat(Heartbeat { fresh, ..heartbeat }));
            }
            Message::ConfigSnapshot(config_snapshot) => {
                self.doubtful = Some(config_snapshot);
                self.take_doubtful();
            }
            Message::ConfigDelta(config_delta) => self.on_config_delta(&config_delta),
            Message::Backends { is_complete, backends } => {
                let backends = self.drain_records.applied(backends);
                (self.news)(Update::Backends { is_complete, backends });
            }
            Message::FreshnessAnswer(answer) => self.on_freshness_answer(connection, &answer, now),
            Message::NotHolder { number: UNDERSTANDS_FRESHNESS } => {
                self.on_understands_freshness(connection, now);
            }
            Message::ControlPlanes(cards) => {
                let read = |card: ControlPlaneAddress| Some((card.address.parse().ok()?, card.zone));
                self.peer_choice.set_control_planes(cards.into_iter().filter_map(read));
            }
            _ => {}
        }
    }

    /// A configuration as a difference. Whoever sent one that makes nothing here is asked for the whole.
    fn on_config_delta(&mut self, config_delta: &ConfigDelta) {
        if config_delta.version <= self.have.version {
            return;
        }
        let doubtful =
            self.doubtful.as_ref().filter(|config_snapshot| config_snapshot.version == config_delta.base);
        let taken = (config_delta.base == self.have.version).then_some(&self.body);
        let base = doubtful.map(|config_snapshot| &config_snapshot.body).or(taken).map(Vec::as_slice);
        match config_snapshots::rebuild(base, config_delta) {
            Ok(config_snapshot) => {
                self.doubtful = Some(config_snapshot);
                self.take_doubtful();
            }
            Err(_) => {
                if let Some(upstream) = &self.control_plane {
                    upstream.send(&Message::SnapshotRequest);
                }
            }
        }
    }

    fn take_doubtful(&mut self) {
        let Some(version) = self.doubtful.as_ref().map(|config_snapshot| config_snapshot.version) else {
            return;
        };
        if self.have.version == 0 && !self.peer_choice.may_adopt_first_config(self.now(), version) {
            return;
        }
        if let Some(config_snapshot) =
            self.doubtful.take().filter(|config_snapshot| config_snapshot.version > self.have.version)
        {
            self.have = config_snapshots::config_id(config_snapshot.version, &config_snapshot.body);
            self.body.clone_from(&config_snapshot.body);
            (self.news)(Update::ConfigSnapshot(config_snapshot));
        }
    }

    fn on_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.peer_choice.set_seeds(seeds);
    }

    fn on_draw(&mut self, to: SocketAddr, draw: quota::LeaseRequest) {
        let (number, now) = (draw.number, self.now());
        let holder = self.holders.iter_mut().find(|holder| holder.upstream.to == to);
        let sent = holder.filter(|holder| holder.upstream.send(&Message::LeaseRequest(draw)));
        let unanswered = match sent {
            Some(holder) => holder.drawn.sent(number, now),
            None => Some(number),
        };
        if let Some(number) = unanswered {
            (self.news)(Update::Unanswered { number });
        }
    }
}

fn freshness_question(number: u64, records: &DrainRecords) -> Message {
    Message::FreshnessQuestion(FreshnessQuestion { number, last_drain: records.last() })
}
