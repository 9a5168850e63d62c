//! Follows the news: one process that serves control at a time, another one when that falls silent or behind; and a
//! connection to the holder of the counts.

use crate::config_snapshots;
use crate::leaving::Leaving;
use crate::line::{Line, LineError, Reader, Received, dial};
use crate::peer_choice::PeerChoice;
use crate::spawn;
use crate::tree::{self, Tree};
use crate::unanswered::Unanswered;
use config::Detours;
use protocol::{Backend, ConfigDelta, ConfigSnapshot, ControlPlaneAddress, Heartbeat, Held, Hello, Message};
use quota::HolderAssignment;
use relay_tree::{Input, Output};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often things are looked after.
const TICK: Duration = Duration::from_millis(200);
/// A sign of life goes out this often.
const SIGN: Duration = Duration::from_millis(800);
/// Bytes of a message that is still on its way are a sign of life, noted this often at most.
const PART_NOTED: Duration = Duration::from_millis(300);
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
        whole: bool,
        /// The backends.
        backends: Vec<Backend>,
    },
    /// How things stand.
    Heartbeat(Heartbeat),
    /// Who holds the counts.
    HolderAssignment(HolderAssignment),
    /// Whom this process follows: a control plane, or its place above in the tree of relays.
    Follows(SocketAddr),
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
    pub ways: Detours,
}

/// What a follower is told that takes a place in the tree of relays.
#[derive(Debug)]
pub struct Place {
    /// Where it takes connections of those that follow it.
    pub at: SocketAddr,
    /// There.
    pub listener: TcpListener,
    /// How many may.
    pub room: usize,
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
    ///
    /// With a place it follows whom the tree names, and passes the news on; else a process that serves control.
    pub fn start(
        settings: FollowerSettings, place: Option<Place>, news: impl FnMut(Update) + 'static,
    ) -> Self {
        let (orders, queue) = mpsc::channel(64);
        spawn(FollowerTask::run(settings, place, Box::new(news), queue));
        Self { orders }
    }

    /// Sends a draw to its holder; false when it can't be sent.
    pub fn draw(&self, to: &str, draw: quota::LeaseRequest) -> bool {
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
    pub fn seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.orders.try_send(Order::Seeds(seeds));
    }
}

/// What happened on a connection: its number, and what came or why it ended.
type Event = (u64, Result<Received, LineError>);

struct Upstream {
    number: u64,
    to: SocketAddr,
    /// Nothing while it comes up.
    line: Option<Line>,
}

impl Upstream {
    fn is_lost(&self) -> bool {
        self.line.as_ref().is_some_and(Line::is_lost)
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
    tree: Option<Tree>,
    holders: Vec<QuotaHolder>,
    /// What was taken last, and its body: what comes next may be a change of it.
    have: Held,
    body: Vec<u8>,
    /// A configuration from one who is perhaps behind, for a process that has none.
    doubtful: Option<ConfigSnapshot>,
    above: Option<SocketAddr>,
    /// The version of the last root heard of, if it said that it is of this moment, with a place in the tree.
    root_version: Option<u64>,
    signed: Instant,
    assignment: HolderAssignment,
    /// This process has ended and says so.
    leaving: Option<Leaving>,
    events: mpsc::Sender<Event>,
    lines: mpsc::Sender<(u64, Line)>,
}

impl FollowerTask {
    async fn run(
        settings: FollowerSettings, place: Option<Place>, news: Box<dyn FnMut(Update)>,
        mut orders: mpsc::Receiver<Order>,
    ) {
        let (events, mut inbox) = mpsc::channel(256);
        let (lines, mut up) = mpsc::channel(8);
        let (me, began) = (&settings.me, Instant::now());
        let (tree, mut said) = place.map(|place| placed(place, &settings)).unzip();
        let peer_choice =
            PeerChoice::new(0, &me.name, &me.zone, me.address.parse().ok(), settings.seeds.clone());
        let mut task = Self {
            settings,
            news,
            peer_choice,
            began,
            numbers: 0,
            control_plane: None,
            tree,
            holders: Vec::new(),
            have: Held::default(),
            body: Vec::new(),
            doubtful: None,
            above: None,
            root_version: None,
            signed: began,
            assignment: HolderAssignment::default(),
            leaving: None,
            events,
            lines,
        };
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some((number, line)) = up.recv() => task.on_up(number, line),
                Some((number, event)) = inbox.recv() => task.on_event(number, event),
                Some(event) = next(&mut said) => task.on_tree(event),
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
        let (number, events, lines) = (self.numbers, self.events.clone(), self.lines.clone());
        let hello = Message::Hello(self.settings.me.clone());
        let ways = self.settings.ways.clone();
        spawn(async move {
            let (line, mut reader): (Line, Reader) = match dial(to, &ways).await {
                Ok(both) => both,
                Err(error) => {
                    let _ = events.send((number, Err(error))).await;
                    return;
                }
            };
            line.send(&hello);
            if lines.send((number, line)).await.is_err() {
                return;
            }
            let mut noted = Instant::now();
            loop {
                let next = reader.receive().await;
                if matches!(next, Ok(Received::Part)) {
                    if noted.elapsed() < PART_NOTED {
                        continue;
                    }
                    noted = Instant::now();
                }
                let over = next.is_err();
                if events.send((number, next)).await.is_err() || over {
                    return;
                }
            }
        });
        Upstream { number, to, line: None }
    }

    fn leave(&mut self) {
        let now = self.now();
        self.peer_choice.failed(now);
        self.control_plane = None;
    }

    fn on_tick(&mut self) {
        let now = self.now();
        if self.tree.is_some() {
            self.tend_tree(now);
        } else if self.peer_choice.is_over(now) || self.control_plane.as_ref().is_some_and(Upstream::is_lost)
        {
            self.leave();
        }
        // Also a process in the tree of relays says its last word to one that serves control.
        if (self.tree.is_none() || self.leaving.is_some())
            && let Some(to) = self.peer_choice.choose(now)
        {
            self.control_plane = Some(self.upstream(to));
        }
        self.take_doubtful();
        if self.signed.elapsed() > SIGN {
            self.signed = Instant::now();
            let sign = Message::Follow { have: self.have };
            // Only a sign of life on a connection that has its news already.
            if let Some(line) = self.control_plane.as_ref().and_then(|v| v.line.as_ref()) {
                line.send(&sign);
            }
            let here = Message::Here { epoch: self.assignment.epoch };
            for line in self.holders.iter().filter_map(|holder| holder.upstream.line.as_ref()) {
                line.send(&here);
            }
        }
        // A holder that says nothing may be cut off: another connection finds out sooner.
        self.part(|holder| holder.drawn.is_overdue(now, DRAW_LOST));
        self.tend_holders();
    }

    fn on_leave(&mut self, done: oneshot::Sender<()>) {
        let mut leaving = Leaving::new(done);
        let upstreams = self.control_plane.iter().chain(self.holders.iter().map(|holder| &holder.upstream));
        for upstream in upstreams {
            if upstream.line.as_ref().is_some_and(|line| line.send(&Message::Leave)) {
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

    fn on_up(&mut self, number: u64, line: Line) {
        if let Some(leaving) = &mut self.leaving
            && line.send(&Message::Leave)
        {
            leaving.said(number);
        }
        if let Some(upstream) = self.control_plane.as_mut().filter(|v| v.number == number) {
            line.send(&Message::Follow { have: self.have });
            upstream.line = Some(line);
            (self.news)(Update::Follows(upstream.to));
        } else if let Some(holder) = self.holders.iter_mut().find(|holder| holder.upstream.number == number) {
            // Among several holders only one that says which assignment it knows counts as heard.
            if self.assignment.epoch.number > 1 {
                line.send(&Message::Here { epoch: self.assignment.epoch });
            }
            holder.upstream.line = Some(line);
        }
    }

    fn on_event(&mut self, number: u64, event: Result<Received, LineError>) {
        if let (Err(_), Some(leaving)) = (&event, &mut self.leaving) {
            leaving.lost(number);
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
                self.peer_choice.heard(now);
                if let Received::Message(message) = received {
                    self.on_news(message, now);
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

    fn on_news(&mut self, message: Message, now: u64) {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.peer_choice.heartbeat(now, &heartbeat);
                self.take_doubtful();
                if self.assignment != *self.peer_choice.assignment() {
                    self.assignment = self.peer_choice.assignment().clone();
                    (self.news)(Update::HolderAssignment(self.assignment.clone()));
                }
                self.tend_holders();
                (self.news)(Update::Heartbeat(heartbeat));
            }
            Message::ConfigSnapshot(config_snapshot) => {
                self.doubtful = Some(config_snapshot);
                self.take_doubtful();
            }
            Message::ConfigDelta(config_delta) => self.on_config_delta(&config_delta),
            Message::Backends { whole, backends } => (self.news)(Update::Backends { whole, backends }),
            Message::ControlPlanes(cards) => {
                let read = |card: ControlPlaneAddress| Some((card.address.parse().ok()?, card.zone));
                self.peer_choice.control_planes(cards.into_iter().filter_map(read));
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
                if let Some(line) = self.control_plane.as_ref().and_then(|v| v.line.as_ref()) {
                    line.send(&Message::Whole);
                }
            }
        }
    }

    fn take_doubtful(&mut self) {
        let Some(version) = self.doubtful.as_ref().map(|config_snapshot| config_snapshot.version) else {
            return;
        };
        if self.have.version == 0 && !self.may_begin(version) {
            return;
        }
        if let Some(config_snapshot) =
            self.doubtful.take().filter(|config_snapshot| config_snapshot.version > self.have.version)
        {
            self.have = config_snapshots::held(config_snapshot.version, &config_snapshot.body);
            self.body.clone_from(&config_snapshot.body);
            (self.news)(Update::ConfigSnapshot(config_snapshot));
        }
    }

    fn on_seeds(&mut self, seeds: Vec<SocketAddr>) {
        if self.tree.is_some() {
            self.work_tree(self.now(), Input::Roots(seeds.clone()));
        }
        self.peer_choice.seeds(seeds);
    }

    fn may_begin(&self, version: u64) -> bool {
        let vouched = self.root_version.is_some_and(|newest| version >= newest);
        vouched || self.peer_choice.may_begin(self.now(), version)
    }

    fn tend_tree(&mut self, now: u64) {
        let lost = self.tree.as_mut().and_then(|tree| tree.lost(now));
        for input in lost.into_iter().chain([Input::Tick]) {
            self.work_tree(now, input);
        }
    }

    fn on_tree(&mut self, event: tree::Event) {
        let now = self.now();
        if let Some(input) = self.tree.as_mut().and_then(|tree| tree.input(now, event)) {
            self.work_tree(now, input);
        }
    }

    fn work_tree(&mut self, now: u64, input: Input) {
        let news = self.tree.as_mut().map(|tree| tree.work(now, input));
        let above = self.tree.as_ref().and_then(Tree::follows);
        if let Some(above) = above.filter(|_| above != self.above) {
            (self.news)(Update::Follows(above));
        }
        self.above = above;
        for output in news.into_iter().flatten() {
            let message = match output {
                Output::Heartbeat(mut heartbeat) => {
                    self.root_version = heartbeat.fresh.then_some(heartbeat.version);
                    // The root does not count those that it does not know one by one.
                    let mut hasher = DefaultHasher::new();
                    self.settings.me.name.hash(&mut hasher);
                    heartbeat.number = (hasher.finish() % u64::from(heartbeat.fleet.max(1))) as u32;
                    Message::Heartbeat(heartbeat)
                }
                Output::ConfigSnapshot(config_snapshot) => Message::ConfigSnapshot(config_snapshot),
                Output::Backends { whole, backends, .. } => Message::Backends { whole, backends },
                Output::Send { .. } => continue,
            };
            self.on_news(message, now);
        }
    }

    fn on_draw(&mut self, to: SocketAddr, draw: quota::LeaseRequest) {
        let (number, now) = (draw.number, self.now());
        let holder = self.holders.iter_mut().find(|holder| holder.upstream.to == to);
        let sent = holder
            .filter(|h| h.upstream.line.as_ref().is_some_and(|line| line.send(&Message::LeaseRequest(draw))));
        let unanswered = match sent {
            Some(holder) => holder.drawn.sent(number, now),
            None => Some(number),
        };
        if let Some(number) = unanswered {
            (self.news)(Update::Unanswered { number });
        }
    }
}

fn placed(place: Place, settings: &FollowerSettings) -> (Tree, mpsc::Receiver<tree::Event>) {
    let Place { at, listener, room } = place;
    let (roots, seed) = (settings.seeds.clone(), settings.me.life | 1);
    let about = relay_tree::Settings { me: at, room, epoch: None, roots, seed };
    Tree::start(about, settings.me.clone(), settings.ways.clone(), listener)
}

/// The next event of a tree, if there is one.
async fn next(said: &mut Option<mpsc::Receiver<tree::Event>>) -> Option<tree::Event> {
    match said {
        Some(said) => said.recv().await,
        None => std::future::pending().await,
    }
}
