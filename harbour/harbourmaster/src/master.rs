//! The owner of all tables of the control plane.

mod told;

use crate::calls::{Call, Reply};
use crate::disk::Disk;
use crate::ledger::{Change, Ledger, Place, Verdict};
use crate::lines::carry;
use crate::watch::{Watch, What as Happened};
use buoys::{Fleet, Judgement, Register};
use flags::{Berth, Flag, Hail, MasterCard, Order, Plane, Pulse, Sheet};
use logbook::{Input, Node, Output, Role, Saved, Timing, VoterId, What};
use manifest::Config;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tally::{Holder, Quota};
use tideway::{Line, LineError, dial};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// How often things are looked after.
const TICK: u64 = 50;
/// Followers hear something this often.
const PULSE: u64 = 350;
/// ... and news of the leader no more often than this.
const LEAST_PULSE: u64 = 40;
/// Other masters hear whose beats came here, and who else serves control, this often.
const ROUND: u64 = 400;
/// A master that could not be reached is dialed again after this, drawn up to twice as long: after a herd's death the
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
const COMPACT_AFTER: u64 = 16;
/// A master this young may not have heard of all backends yet: its list says who is there, not who is not.
const YOUNG: u64 = 4000;
/// A quay's connection that has said nothing for this long is no sign of life.
const QUAY_SILENT: u64 = 2500;

/// Something for the owner to work through.
#[derive(Debug)]
pub enum Command {
    /// A call came on the control socket.
    Call {
        /// What it asks.
        call: Call,
        /// Where the answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// A connection stands.
    Opened {
        /// Its number.
        number: u64,
        /// Where frames go.
        line: Line,
        /// Whom this process dialed, if it did.
        dialed: Option<SocketAddr>,
    },
    /// A message came.
    Frame {
        /// The connection.
        number: u64,
        /// The message.
        flag: Flag,
    },
    /// A connection is over, or never came up.
    Closed {
        /// Its number.
        number: u64,
        /// Why.
        error: LineError,
    },
    /// A write is on disk.
    Saved {
        /// Its ticket.
        ticket: u64,
    },
    /// The settings file names other seeds.
    Seeds(Vec<SocketAddr>),
}

/// What a master is told at its start.
#[derive(Clone, Debug)]
pub struct MasterSettings {
    /// Who it is.
    pub me: Hail,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Where the first other masters take connections.
    pub seeds: Vec<SocketAddr>,
    /// How often backends beat, in ms.
    pub beat_interval: u64,
    /// The log's times.
    pub timing: Timing,
    /// A number drawn for this life.
    pub seed: u64,
}

struct Peer {
    line: Line,
    hail: Option<Hail>,
    dialed: Option<SocketAddr>,
    follows: bool,
    heard: u64,
    opened: u64,
}

struct Waiting {
    reply: oneshot::Sender<Reply>,
    since: u64,
    order: Order,
    /// Where it was passed on to, if it was.
    passed: Option<SocketAddr>,
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
pub struct Master {
    settings: MasterSettings,
    began: Instant,
    random: u64,
    commands: mpsc::Sender<Command>,
    numbers: Rc<dyn Fn() -> u64>,
    peers: BTreeMap<u64, Peer>,
    dialing: BTreeMap<SocketAddr, (u64, u64)>,
    masters: BTreeMap<SocketAddr, String>,
    /// The births of those with a disk that counts.
    births: BTreeMap<SocketAddr, u64>,
    register: Register,
    fleet: Fleet,
    ledger: Ledger,
    config: Option<Config>,
    sheet: Option<Rc<[u8]>>,
    node: Option<Node>,
    disk: Option<Disk>,
    holder: Option<Holder>,
    /// Known from others, of a master without a log of its own.
    told: Pulse,
    told_at: u64,
    tokens: u64,
    waiting: HashMap<u64, Waiting>,
    proposed: BTreeMap<u64, Proposed>,
    /// What to answer once entries come back, by their index and term.
    accepted: BTreeMap<u64, u64>,
    changes: u64,
    grown: bool,
    /// Messages of other processes since the start.
    frames: u64,
    /// The leader that followers were told of last, and whether as of this moment.
    pulsed: (Option<SocketAddr>, bool),
    next: [u64; 3],
    outputs: Vec<Output>,
    watch: Watch,
}

impl Master {
    /// A master; `log` is what a voter has on its disk.
    pub fn new(
        settings: MasterSettings, log: Option<(Disk, Saved)>, commands: mpsc::Sender<Command>,
        numbers: Rc<dyn Fn() -> u64>,
    ) -> Self {
        let (mut node, mut disk, mut ledger) = (None, None, Ledger::default());
        if let Some((opened, saved)) = log {
            // The log tells its entries again, but only those after its snapshot.
            // It was read before, when the disk was opened.
            let state = saved.snapshot.as_ref().map(|snapshot| Ledger::restore(&snapshot.state));
            ledger = state.and_then(Result::ok).unwrap_or_default();
            node = Some(Node::start(saved, settings.timing, settings.seed, 0));
            disk = Some(opened);
        }
        let mut master = Self {
            began: Instant::now(),
            random: settings.seed | 1,
            commands,
            numbers,
            peers: BTreeMap::new(),
            dialing: BTreeMap::new(),
            masters: BTreeMap::new(),
            births: BTreeMap::new(),
            register: Register::new(settings.beat_interval),
            fleet: Fleet::default(),
            ledger,
            config: None,
            sheet: None,
            node,
            disk,
            holder: None,
            told: Pulse::default(),
            told_at: 0,
            tokens: 0,
            waiting: HashMap::new(),
            proposed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            changes: 0,
            grown: false,
            frames: 0,
            pulsed: (None, false),
            next: [0; 3],
            outputs: Vec::new(),
            watch: Watch::new(),
            settings,
        };
        master.renewed();
        master
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
            Command::Frame { number, flag } => self.on_frame(number, flag),
            Command::Closed { number, error } => self.on_closed(number, &error),
            Command::Saved { ticket } => self.log(Input::Saved { ticket }),
            Command::Seeds(seeds) => self.settings.seeds = seeds,
        }
    }

    fn on_time(&mut self) {
        let now = self.now();
        if self.node.as_ref().is_some_and(|node| now >= node.next_due()) {
            self.log(Input::Tick);
        }
        if now >= self.next[0] {
            self.next[0] = now + TICK;
            self.tend_calls(now);
            self.tend_lines(now);
            self.tend_office(now);
        }
        // Whoever waits for a leader, or for this process to have caught up, hears of it at once.
        let (leader, epoch, fresh) = self.leader(now);
        self.watch.stands(now, leader, epoch, self.ledger.version());
        let news = (leader, fresh);
        let early = fresh && news != self.pulsed && now + PULSE >= self.next[1] + LEAST_PULSE;
        if now >= self.next[1] || early {
            self.next[1] = now + PULSE;
            self.pulsed = news;
            self.pulse(now);
        }
        if now >= self.next[2] {
            self.next[2] = now + ROUND;
            self.round(now);
        }
    }

    // ---- connections ----

    fn on_opened(&mut self, number: u64, line: Line, dialed: Option<SocketAddr>) {
        let now = self.now();
        if let Some(to) = dialed {
            self.dialing.remove(&to);
            line.send(&Flag::Hail(self.settings.me.clone()));
        }
        let peer = Peer { line, hail: None, dialed, follows: false, heard: now, opened: now };
        self.peers.insert(number, peer);
        if dialed.is_some() {
            self.tell_everything(number, now);
        }
    }

    fn on_closed(&mut self, number: u64, error: &LineError) {
        let Some(peer) = self.peers.remove(&number) else {
            // It never came up.
            let until = self.now() + REDIAL + self.draw(REDIAL);
            if let Some(dialing) = self.dialing.values_mut().find(|(dialing, _)| *dialing == number) {
                dialing.1 = until;
            }
            let now = self.now();
            if let Some(left_out) = self.watch.pass("dial", now) {
                spdlog::debug!("{}", error, kv: { step = "dial", left_out });
            }
            return;
        };
        let name = peer.hail.map_or_else(String::new, |hail| hail.name);
        spdlog::debug!("{}", error, kv: { step = "line", peer = name.as_str() });
    }

    /// A line of ours to a master.
    fn line_to(&self, address: &SocketAddr) -> Option<&Line> {
        let ours = self.peers.values().find(|p| p.dialed.as_ref() == Some(address) && !p.line.is_lost());
        ours.map(|p| &p.line)
    }

    fn other_masters(&self) -> BTreeSet<SocketAddr> {
        let known = self.masters.keys().chain(&self.settings.seeds);
        known.copied().filter(|address| *address != self.settings.address).collect()
    }

    /// Each master has a connection of its own to every other one.
    fn tend_lines(&mut self, now: u64) {
        let silent: Vec<u64> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                p.line.is_lost() || p.hail.is_none() && p.dialed.is_none() && now > p.opened + 3000
            })
            .map(|(number, _)| *number)
            .collect();
        for number in silent {
            self.peers.remove(&number);
        }
        self.dialing.retain(|_, (_, until)| now < *until);
        for to in self.other_masters() {
            if self.line_to(&to).is_some() || self.dialing.contains_key(&to) {
                continue;
            }
            let number = (self.numbers)();
            self.dialing.insert(to, (number, now + DIALING));
            let commands = self.commands.clone();
            tideway::spawn(async move {
                match dial(to).await {
                    Ok((line, reader)) => carry(number, line, reader, Some(to), commands).await,
                    Err(error) => {
                        let _ = commands.send(Command::Closed { number, error }).await;
                    }
                }
            });
        }
    }

    fn to_masters(&self, flag: &Flag) {
        let frame: Rc<[u8]> = flags::frame(flag).into();
        for peer in self.peers.values().filter(|p| p.dialed.is_some()) {
            peer.line.send_frame(frame.clone());
        }
    }

    fn to_followers(&self, flag: &Flag) {
        let frame: Rc<[u8]> = flags::frame(flag).into();
        for peer in self.peers.values().filter(|p| p.follows) {
            peer.line.send_frame(frame.clone());
        }
    }

    fn cards(&self) -> Vec<MasterCard> {
        let me = (&self.settings.address, &self.settings.me.zone);
        let known = self.masters.iter().chain([me]);
        let cards: BTreeSet<_> =
            known.map(|(a, zone)| MasterCard { address: a.to_string(), zone: zone.clone() }).collect();
        cards.into_iter().collect()
    }

    /// What another master has to know of all that this one knows.
    fn tell_everything(&self, number: u64, now: u64) {
        let Some(peer) = self.peers.get(&number) else { return };
        peer.line.send(&Flag::Masters(self.cards()));
        peer.line.send(&Flag::Berths { whole: false, berths: self.register.everything(now) });
        peer.line.send(&Flag::Quays(self.quays_here(now)));
    }

    fn quays_here(&self, now: u64) -> Vec<(String, u64)> {
        let hails = self.peers.values().filter(|p| p.follows && now < p.heard + QUAY_SILENT);
        let quays = hails.filter_map(|p| p.hail.as_ref()).filter(|h| h.plane == Plane::Quay);
        quays.map(|h| (h.name.clone(), h.life)).collect()
    }

    // ---- frames ----

    fn on_frame(&mut self, number: u64, flag: Flag) {
        let now = self.now();
        let Some(peer) = self.peers.get_mut(&number) else { return };
        peer.heard = now;
        self.frames += 1;
        match flag {
            Flag::Hail(hail) => self.on_hail(number, hail, now),
            Flag::Welcome(hail) => self.meet(&hail),
            Flag::Log { birth, message } => self.on_log(number, birth, &message),
            Flag::Masters(cards) => {
                for card in cards {
                    if let Ok(address) = card.address.parse() {
                        self.learn_master(address, card.zone);
                    }
                }
            }
            Flag::Follow { have } => self.on_follow(number, have, now),
            Flag::Berths { berths, .. } => {
                let changed = self.register.hear(now, berths);
                self.tell_berths(changed);
            }
            Flag::Heard(heard) => {
                let back = self.register.alive(now, &heard);
                self.tell_berths(back);
            }
            Flag::Quays(quays) => quays.iter().for_each(|(name, life)| self.fleet.heard(now, name, *life)),
            Flag::Here => {
                let name = peer.hail.as_ref().map(|hail| hail.name.clone());
                if let (Some(name), Some(holder)) = (name, &mut self.holder) {
                    holder.heard(now as f64, &name);
                }
            }
            Flag::Draw(draw) => self.on_draw(number, draw, now),
            Flag::Ask { token, order } => self.on_order(Asker::There { peer: number, token }, order, now),
            Flag::Told { token, status, body } => {
                if let Some(waiting) = self.waiting.remove(&token) {
                    let _ = waiting.reply.send(Reply { status, body });
                }
            }
            // News of another master, for those without a log.
            Flag::Pulse(pulse) => self.on_pulse(pulse, now),
            Flag::Sheet(sheet) => self.on_sheet(sheet),
            Flag::Grant(_) | Flag::NotHolder { .. } => {}
        }
    }

    fn on_hail(&mut self, number: u64, hail: Hail, now: u64) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        peer.hail = Some(hail.clone());
        match hail.plane {
            Plane::Quay => self.fleet.heard(now, &hail.name, hail.life),
            Plane::Master => {
                let mut me = self.settings.me.clone();
                me.birth = self.node.as_ref().map(|node| node.me().birth);
                if let Some(peer) = self.peers.get(&number) {
                    peer.line.send(&Flag::Welcome(me));
                }
                self.meet(&hail);
            }
        }
    }

    fn learn_master(&mut self, address: SocketAddr, zone: String) {
        // Machines that serve control are some dozens; more are somebody's fault.
        if address != self.settings.address && self.masters.len() < 256 {
            self.masters.insert(address, zone);
        }
    }

    fn meet(&mut self, hail: &Hail) {
        let Ok(address) = hail.address.parse() else { return };
        self.learn_master(address, hail.zone.clone());
        if let Some(birth) = hail.birth.filter(|_| hail.quorum && self.masters.contains_key(&address)) {
            self.births.insert(address, birth);
        }
    }

    /// Whoever has a disk that counts and is no voter yet is to become one: the log wants to be asked until it is.
    fn take_in(&mut self) {
        let Some(node) = self.node.as_ref().filter(|node| node.is_leader()) else { return };
        let voters = self
            .births
            .iter()
            .map(|(address, birth)| VoterId { address: address.to_string(), birth: *birth });
        let missing: Vec<_> = voters.filter(|voter| !node.members().contains(voter)).collect();
        for voter in missing {
            self.log(Input::AddVoter(voter));
        }
    }

    fn on_log(&mut self, number: u64, birth: u64, message: &[u8]) {
        let Some(hail) = self.peers.get(&number).and_then(|p| p.hail.as_ref()) else { return };
        let from = VoterId { address: hail.address.clone(), birth };
        if let Ok(message) = bitcode::decode(message) {
            self.log(Input::Heard { from, message });
        }
    }

    fn on_follow(&mut self, number: u64, have: u64, now: u64) {
        let version = self.ledger.version();
        let pulse = self.pulse_for(number, now);
        let Some(peer) = self.peers.get_mut(&number) else { return };
        if let Some(hail) = &peer.hail
            && hail.plane == Plane::Quay
        {
            self.fleet.heard(now, &hail.name, hail.life);
        }
        if std::mem::replace(&mut peer.follows, true) {
            return;
        }
        peer.line.send(&Flag::Pulse(pulse));
        if version > have
            && let Some(sheet) = &self.sheet
        {
            peer.line.send_frame(sheet.clone());
        }
        let young = now < YOUNG;
        let berths = if young { self.register.everything(now) } else { self.register.all(now) };
        peer.line.send(&Flag::Berths { whole: !young, berths });
        let cards = self.cards();
        if let Some(peer) = self.peers.get(&number) {
            peer.line.send(&Flag::Masters(cards));
        }
    }

    // ---- news ----

    /// The leader of the log as this process knows it, its term, and whether that is of this moment.
    fn leader(&self, now: u64) -> (Option<SocketAddr>, u64, bool) {
        match &self.node {
            Some(node) if node.is_leader() => {
                (Some(self.settings.address), node.term(), node.holds_lease(now))
            }
            Some(node) => {
                let leader = node.leader().and_then(|voter| voter.address.parse().ok());
                (leader, node.term(), leader.is_some() && node.commit() > 0)
            }
            None => {
                let fresh = self.told.fresh && now < self.told_at + 1300;
                (self.told.leader.as_ref().and_then(|l| l.parse().ok()), self.told.epoch, fresh)
            }
        }
    }

    fn pulse_for(&self, number: u64, now: u64) -> Pulse {
        let (leader, epoch, fresh) = self.leader(now);
        let name = self.peers.get(&number).and_then(|p| p.hail.as_ref()).map_or("", |h| h.name.as_str());
        Pulse {
            leader: leader.map(|l| l.to_string()),
            epoch,
            fresh,
            version: self.ledger.version(),
            fleet: self.fleet.size().max(1),
            number: self.fleet.number(name),
        }
    }

    fn pulse(&mut self, now: u64) {
        let followers: Vec<u64> = self.peers.iter().filter(|(_, p)| p.follows).map(|(n, _)| *n).collect();
        for number in followers {
            let pulse = self.pulse_for(number, now);
            if let Some(peer) = self.peers.get(&number) {
                peer.line.send(&Flag::Pulse(pulse));
            }
        }
        // A master without a log follows those that have one, and only those: two that followed each other would send
        // each other's news of old round in a circle.
        if self.node.is_none() {
            let have = self.ledger.version();
            for address in self.births.keys() {
                if let Some(line) = self.line_to(address) {
                    line.send(&Flag::Follow { have });
                }
            }
        }
    }

    fn on_pulse(&mut self, pulse: Pulse, now: u64) {
        let newer = pulse.fresh && pulse.epoch >= self.told.epoch;
        if self.node.is_none() && pulse.leader.is_some() && (newer || now > self.told_at + 1300) {
            (self.told, self.told_at) = (pulse, now);
        }
    }

    fn on_sheet(&mut self, sheet: Sheet) {
        if self.node.is_none() && sheet.version > self.ledger.version() {
            let base = self.ledger.version();
            let change = Change { base, version: sheet.version, digest: [0; 32], body: sheet.body };
            let verdict = self.ledger.apply(Place::default(), change);
            let now = self.now();
            self.watch.change(now, sheet.version, verdict);
            self.renewed();
        }
    }

    fn round(&mut self, now: u64) {
        let heard = self.register.round();
        if !heard.is_empty() {
            self.to_masters(&Flag::Heard(heard));
        }
        let changed = self.register.sweep(now);
        self.tell_berths(changed);
        self.take_in();
        let quays = self.quays_here(now);
        for (name, life) in &quays {
            self.fleet.heard(now, name, *life);
        }
        self.to_masters(&Flag::Quays(quays));
        self.to_masters(&Flag::Masters(self.cards()));
        self.fleet.sweep(now);
        if !self.grown && now >= YOUNG {
            self.grown = true;
            self.to_followers(&Flag::Berths { whole: true, berths: self.register.all(now) });
        }
        self.watch.quays(now, self.fleet.lives());
        let fleet = self.fleet.size();
        if let Some(holder) = &mut self.holder {
            holder.fleet(now as f64, fleet);
        }
    }

    fn tell_berths(&mut self, berths: Vec<Berth>) {
        if !berths.is_empty() {
            let now = self.now();
            self.watch.berths(now, &berths);
            self.to_followers(&Flag::Berths { whole: false, berths });
        }
    }

    /// A newer configuration is in force.
    fn renewed(&mut self) {
        let Some(body) = self.ledger.body() else { return };
        let version = self.ledger.version();
        let flag = Flag::Sheet(Sheet { version, body: body.to_vec() });
        self.config = Config::parse(body).ok();
        let frame: Rc<[u8]> = flags::frame(&flag).into();
        for peer in self.peers.values().filter(|p| p.follows) {
            peer.line.send_frame(frame.clone());
        }
        self.sheet = Some(frame);
        let (now, quotas) = (self.now(), self.quotas());
        if let Some(holder) = &mut self.holder {
            holder.quotas(now as f64, &quotas);
        }
    }

    fn quotas(&self) -> Vec<Quota> {
        let tenants = self.config.iter().filter_map(|c| c.tenants.as_ref()).flat_map(|t| t.values());
        tenants
            .map(|t| Quota { tenant: t.label.to_string(), rate_per_s: t.rate_per_s, burst: t.burst_size })
            .collect()
    }

    // ---- counts ----

    /// Whoever holds the lease of the log holds the counts.
    fn tend_office(&mut self, now: u64) {
        let Some(node) = &self.node else { return };
        let (holds, term) = (node.is_leader() && node.holds_lease(now), node.term());
        if !holds {
            // The office ends with the term: a lease that comes back within it finds its counts as they were.
            if !node.is_leader() && self.holder.take().is_some() {
                self.watch.note(now, self.settings.address.to_string(), Happened::Office(false));
            }
        } else if self.holder.as_ref().is_none_or(|holder| holder.epoch() != term) {
            let first = term <= 1 && self.ledger.version() == 0;
            let mut holder = Holder::take_office(term, first, now as f64);
            holder.fleet(now as f64, self.fleet.size());
            holder.quotas(now as f64, &self.quotas());
            self.holder = Some(holder);
            self.watch.note(now, self.settings.address.to_string(), Happened::Office(true));
        }
    }

    fn on_draw(&mut self, number: u64, draw: tally::Draw, now: u64) {
        let leads = self.node.as_ref().is_some_and(|node| node.is_leader() && node.holds_lease(now));
        let Some(peer) = self.peers.get(&number) else { return };
        let Some(hail) = &peer.hail else { return };
        self.fleet.heard(now, &hail.name, hail.life);
        let flag = match &mut self.holder {
            Some(holder) if leads => {
                self.watch.counted.draws.0 += 1;
                Flag::Grant(holder.draw(now as f64, &hail.name, &draw))
            }
            _ => {
                self.watch.counted.draws.1 += 1;
                Flag::NotHolder { number: draw.number }
            }
        };
        peer.line.send(&flag);
    }

    // ---- calls ----

    fn on_call(&mut self, call: Call, reply: oneshot::Sender<Reply>) {
        let now = self.now();
        *self.watch.counted.calls.entry(call.kind()).or_default() += 1;
        match call {
            Call::Beat(berth) => {
                let judgement = self.register.beat(now, berth);
                self.on_judgement(judgement);
                let _ = reply.send(Reply::done());
            }
            Call::Departure(id) => {
                let judgement = self.register.departed(now, &id);
                self.on_judgement(judgement);
                let _ = reply.send(Reply::done());
            }
            Call::Order(order) => self.on_order_here(order, reply, now),
            Call::Status => drop(reply.send(self.status(now))),
            Call::History => drop(reply.send(self.history(now))),
            Call::Past(version) => drop(reply.send(self.past(version))),
            Call::Events(about) => drop(reply.send(self.events(now, about.as_deref()))),
            Call::Metrics => drop(reply.send(self.metrics(now))),
        }
    }

    /// How things stand, for operators.
    fn status(&self, now: u64) -> Reply {
        let (leader, epoch, fresh) = self.leader(now);
        let log = self.node.as_ref().map(|node| {
            let members: Vec<_> =
                node.members().iter().map(|m| json!({ "address": m.address, "birth": m.birth })).collect();
            json!({ "leads": node.is_leader(), "holds_lease": node.holds_lease(now), "commit": node.commit(),
                "birth": node.me().birth, "voter": node.is_voter(), "members": members })
        });
        let lines: Vec<_> = self
            .peers
            .values()
            .filter_map(|p| Some((p, p.hail.as_ref()?)))
            .map(|(p, hail)| {
                json!({ "name": hail.name, "plane": format!("{:?}", hail.plane), "address": hail.address,
                "follows": p.follows, "silent_ms": now.saturating_sub(p.heard) })
            })
            .collect();
        let masters: Vec<_> = self
            .cards()
            .into_iter()
            .map(|card| {
                let reached = |address| address == self.settings.address || self.line_to(&address).is_some();
                let line = card.address.parse().is_ok_and(reached);
                json!({ "address": card.address, "zone": card.zone, "reached": line })
            })
            .collect();
        let berths: Vec<_> = self
            .register
            .all(now)
            .into_iter()
            .map(|b| {
                json!({ "id": b.id, "service": b.service, "address": b.address, "zone": b.zone,
                "phase": format!("{:?}", b.phase), "overdue": b.overdue, "capacity": b.capacity })
            })
            .collect();
        let counts: Vec<_> = self
            .holder
            .iter()
            .flat_map(Holder::figures)
            .map(|c| json!({ "tenant": c.tenant, "window": c.window, "granted": c.granted, "left": c.left }))
            .collect();
        let quays: Vec<_> = self.fleet.names().collect();
        let status = json!({ "name": self.settings.me.name, "zone": self.settings.me.zone, "up_ms": now, "frames": self.frames,
            "leader": leader.map(|l| l.to_string()), "epoch": epoch, "fresh": fresh,
            "version": format!("r{}", self.ledger.version()), "log": log, "masters": masters, "lines": lines,
            "quays": quays, "backends": berths, "counts": counts });
        Reply { status: 200, body: status.to_string().into_bytes() }
    }

    fn on_judgement(&mut self, judgement: Judgement) {
        if let Judgement::Changed(berths) = judgement {
            self.to_masters(&Flag::Berths { whole: false, berths: berths.clone() });
            self.tell_berths(berths);
        }
    }

    fn on_order_here(&mut self, order: Order, reply: oneshot::Sender<Reply>, now: u64) {
        if self.node.as_ref().is_some_and(|node| node.is_leader()) {
            return self.on_order(Asker::Here(reply), order, now);
        }
        if self.waiting.len() >= CALLS_WAITING {
            let _ = reply.send(Reply::why(503, "too many calls wait"));
            return;
        }
        self.tokens += 1;
        let token = self.tokens;
        self.waiting.insert(token, Waiting { reply, since: now, order, passed: None });
        self.pass_on(now);
    }

    /// Calls that wait for a leader go to it as soon as it is known.
    fn pass_on(&mut self, now: u64) {
        let (leader, ..) = self.leader(now);
        let leads = self.node.as_ref().is_some_and(|node| node.is_leader());
        let ready: Vec<u64> =
            self.waiting.iter().filter(|(_, w)| w.passed.is_none()).map(|(t, _)| *t).collect();
        for token in ready {
            if leads {
                if let Some(waiting) = self.waiting.remove(&token) {
                    self.on_order(Asker::Here(waiting.reply), waiting.order, now);
                }
            } else if let Some(to) = leader.filter(|to| *to != self.settings.address)
                && let Some(line) = self.line_to(&to).cloned()
                && let Some(waiting) = self.waiting.get_mut(&token)
                && line.send(&Flag::Ask { token, order: waiting.order.clone() })
            {
                waiting.passed = Some(to);
            }
        }
    }

    fn tend_calls(&mut self, now: u64) {
        self.pass_on(now);
        let over = |w: &Waiting| now > w.since + if w.passed.is_some() { PASSED } else { LEADERLESS };
        let late: Vec<u64> = self.waiting.iter().filter(|(_, w)| over(w)).map(|(t, _)| *t).collect();
        for token in late {
            if let Some(waiting) = self.waiting.remove(&token) {
                let why =
                    if waiting.passed.is_some() { "the leader gave no answer" } else { "no leader is known" };
                let _ = waiting.reply.send(Reply::why(503, why));
            }
        }
        let late: Vec<u64> =
            self.proposed.iter().filter(|(_, p)| now > p.since + PASSED).map(|(token, _)| *token).collect();
        for token in late {
            self.answer_proposed(token, Reply::why(503, "no majority has it on disk yet"));
        }
    }

    fn answer(&self, asker: Asker, reply: Reply) {
        match asker {
            Asker::Here(to) => drop(to.send(reply)),
            Asker::There { peer, token } => {
                if let Some(peer) = self.peers.get(&peer) {
                    let Reply { status, body } = reply;
                    peer.line.send(&Flag::Told { token, status, body });
                }
            }
        }
    }

    fn answer_proposed(&mut self, token: u64, reply: Reply) {
        if let Some(proposed) = self.proposed.remove(&token) {
            self.answer(proposed.asker, reply);
        }
    }

    /// A call of the operator at the leader.
    fn on_order(&mut self, asker: Asker, order: Order, now: u64) {
        let leads = self.node.as_ref().is_some_and(|node| node.is_leader() && node.holds_lease(now));
        if !leads {
            return self.answer(asker, Reply::why(503, "this process does not lead"));
        }
        match order {
            Order::Read => {
                let reply = match self.ledger.body() {
                    Some(body) => Reply { status: 200, body: body.to_vec() },
                    None => Reply::why(404, "no configuration was taken yet"),
                };
                self.answer(asker, reply);
            }
            Order::Replace { base, body } => {
                let config = match Config::parse(&body) {
                    Ok(config) => config,
                    Err(fault) => {
                        let why = fault.to_string();
                        self.watch.unread(now, &why);
                        return self.answer(asker, Reply::why(400, &why));
                    }
                };
                let (version, digest) = (config.version.0, config.digest());
                match self.ledger.judge(base, version, &digest) {
                    Verdict::Taken => {
                        self.tokens += 1;
                        let token = self.tokens;
                        self.proposed.insert(token, Proposed { asker, since: now });
                        let change = bitcode::encode(&Change { base, version, digest, body });
                        self.log(Input::Propose { token, change });
                    }
                    verdict => {
                        self.watch.change(now, version, verdict);
                        self.answer(asker, reply_to(verdict));
                    }
                }
            }
        }
    }

    // ---- the log ----

    fn log(&mut self, input: Input) {
        let now = self.now();
        let Some(node) = &mut self.node else { return };
        let mut outputs = std::mem::take(&mut self.outputs);
        node.handle(now, input, &mut outputs);
        for output in outputs.drain(..) {
            self.on_output(output);
        }
        self.outputs = outputs;
    }

    fn on_output(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                let birth = self.node.as_ref().map_or(0, |node| node.me().birth);
                if let Ok(address) = to.address.parse()
                    && let Some(line) = self.line_to(&address)
                {
                    line.send(&Flag::Log { birth, message: bitcode::encode(&message) });
                }
            }
            Output::Save(save) => {
                if let Some(disk) = &self.disk {
                    disk.save(save);
                }
            }
            Output::Committed { entry } => {
                let at = Place { index: entry.index, epoch: entry.term };
                self.on_committed(at, entry.what);
            }
            Output::Install { snapshot } => match Ledger::restore(&snapshot.state) {
                Ok(ledger) => {
                    let newer = ledger.version() > self.ledger.version();
                    self.ledger = ledger;
                    if newer {
                        self.renewed();
                    }
                }
                Err(error) => {
                    let (index, epoch) = (snapshot.index, snapshot.term);
                    spdlog::error!("the leader's snapshot is of no version known here: {}", error,
                            kv: { step = "install", index, epoch });
                }
            },
            Output::Accepted { token, index, .. } => {
                self.accepted.insert(index, token);
            }
            Output::Refused { token, .. } => {
                self.answer_proposed(token, Reply::why(503, "this process does not lead"));
            }
            Output::Unclear { token } => {
                self.answer_proposed(token, Reply::why(503, "another process leads now: ask again"));
            }
            Output::Role(role) => self.on_role(role),
        }
    }

    fn on_role(&mut self, role: Role) {
        if let Role::Candidate { term } = role {
            let now = self.now();
            self.watch.candidate(now, term);
        }
        if !matches!(role, Role::Leader { .. }) {
            if self.holder.take().is_some() {
                let now = self.now();
                self.watch.note(now, self.settings.address.to_string(), Happened::Office(false));
            }
            self.accepted.clear();
        }
    }

    fn on_committed(&mut self, at: Place, what: What) {
        let (now, index) = (self.now(), at.index);
        let change = match what {
            What::Change(change) => change,
            What::Members(voters) => {
                let list = voters.iter().map(|voter| voter.address.clone().into()).collect();
                return self.watch.note(now, "voters", Happened::Voters(list));
            }
            What::Nothing => return,
        };
        let Ok(change) = bitcode::decode::<Change>(&change) else { return };
        let version = change.version;
        let verdict = self.ledger.apply(at, change);
        self.watch.change(now, version, verdict);
        if verdict == Verdict::Taken {
            self.renewed();
        }
        if let Some(token) = self.accepted.remove(&index) {
            self.answer_proposed(token, reply_to(verdict));
        }
        self.changes += 1;
        if self.changes >= COMPACT_AFTER {
            self.changes = 0;
            let state = bitcode::encode(&self.ledger);
            self.log(Input::Compact { index, state });
        }
    }
}

fn reply_to(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::Taken | Verdict::TakenBefore => Reply::done(),
        Verdict::Stale { current } => Reply::why(412, &format!("r{current} is in place")),
        Verdict::NotAbove { current } => {
            Reply::why(409, &format!("generation: not above r{current}, which is in place"))
        }
    }
}
