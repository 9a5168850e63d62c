//! The world in simulated time: clients, network, gateways, backends, discovery, counter and what goes wrong. It
//! feeds gateways the library's events and carries out their actions; what happens is wholly determined by the
//! day and the policy. It makes no decision and passes no judgment.

pub mod backend;
pub mod counter;
mod event;

use crate::decider::{Decider, Policy, SEES_LATE, Seeing, SeenStore, Sight, Truth, numbers};
use crate::draw::{Day, EPOCH, Micros, Store, micros, millis, mix};
use crate::judge::{Judge, Reached, Rule};
use crate::scenario::Kind;
use backend::{Life, Server, Taken};
use counter::{Counter, Turn};
use doorcourse::{
    Action, Arrival, AttemptEnd, BackendEntry, BackendState, CountOutcome, Event, LoadReport, Name, Outcome,
    Settings,
};
use event::{Due, Happens};
use fault_injection::Random;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// A gateway that does nothing else for so many rounds in one instant is held to have gone wild.
const MOST_ROUNDS: usize = 10_000;
/// A part of the truth is looked at this often by policies that see it.
const LOOK_EVERY: Micros = 20_000;
/// The day runs on for so long after the last first try.
const TAIL: Micros = 8_000_000;
/// A client that is refused comes again only with so much of its time left.
const LEAST_LEFT: Micros = 20_000;

/// What a gateway was told just before it ended a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trigger {
    /// The request itself.
    #[default]
    Arrival,
    /// A total, or that there is none.
    Counted,
    /// A timer.
    Timer,
    /// The end of an attempt.
    Attempt,
    /// Anything else.
    Other,
}

/// How a try ended, as its client knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// Nothing yet.
    Open,
    /// Served, at this time at the client.
    Served(Micros),
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// Its gateway could not be reached.
    Unreachable,
    /// Its gateway died with it.
    Died,
    /// The client gave up, or left early.
    Left,
}

/// One attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Which backend.
    pub backend: usize,
    /// When it was sent.
    pub sent: Micros,
    /// The work of its answer.
    pub work: f64,
    /// Its end, once known at the gateway.
    pub end: Option<(Micros, Outcome)>,
    reached: bool,
    at_backend: bool,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
    /// The first try that it repeats, or is.
    pub root: u32,
    /// Which of the tries it is, from 0.
    pub number: u32,
    /// Its gateway, and that one's life.
    pub gateway: usize,
    life: u32,
    /// When its client sent it, and gives it up.
    pub sent: Micros,
    /// The end of the client's patience.
    pub gives_up: Micros,
    /// When its gateway took it.
    pub taken: Option<Micros>,
    /// When it was ended there, and what came just before.
    pub closed: Option<(Micros, Trigger)>,
    /// Whether it was inside the quota when it was first sent on.
    pub inside: Option<bool>,
    /// What its gateway was told just before that.
    pub sent_on: Trigger,
    /// What its customer's store held, and whether its open quota had room, when it was ended unsent.
    pub store: Option<(f64, bool)>,
    /// How long its gateway told the client to wait.
    pub advice: Micros,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
    /// How it ended.
    pub ended: Ended,
    told: bool,
}

struct Call {
    gateway: usize,
    life: u32,
    counter_life: u32,
    name: u64,
    amount: f64,
    keep: Micros,
    made: Micros,
    answer: Option<CountOutcome>,
    given_up: bool,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Micros>,
}

struct Gate {
    zone: usize,
    life: u32,
    /// Absent while it is asked, and while the process is down.
    decider: Option<Box<dyn Decider>>,
    up: bool,
    /// Ends at this time; takes no new connections then.
    ending: bool,
    down_since: Option<Micros>,
    /// How much of the log of changes has reached it.
    seen: usize,
    pools: Vec<Pool>,
}

/// Counts of a whole day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Events that gateways were told.
    pub events: u64,
    /// Attempts that reached a backend.
    pub attempts: u64,
    /// Those in another zone.
    pub crossings: u64,
    /// New connections.
    pub handshakes: u64,
    /// Probes.
    pub probes: u64,
    /// Calls to the counter.
    pub calls: u64,
    /// Calls that got no answer in time.
    pub calls_unanswered: u64,
    /// Calls turned away.
    pub calls_away: u64,
    /// Work that backends did for nothing, in core microseconds.
    pub wasted: f64,
    /// Backends that fell over.
    pub fallen: u64,
    /// Lines written to the log.
    pub log_lines: u64,
    /// Connections begun to backends that cannot be reached.
    pub vain: u64,
}

/// A look at the backends, for plots.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// When.
    pub at: Micros,
    /// Requests held by all backends.
    pub held: usize,
    /// Requests that wait there.
    pub waiting: usize,
    /// Gateways that run.
    pub gateways: usize,
    /// Backends that serve.
    pub backends: usize,
    /// Calls made so far.
    pub calls: u64,
}

/// All that a day left behind.
pub struct Record {
    /// All tries, in the order in which clients sent them.
    pub tries: Vec<Try>,
    /// For each first try the answer in time: when, and whether that try was inside the quota.
    pub served: Vec<Option<(Micros, bool)>>,
    /// The counts.
    pub totals: Totals,
    /// Looks at the backends, twice a second.
    pub looks: Vec<Look>,
    /// The judge with its breaches.
    pub judge: Judge,
}

/// A recorder of what one gateway is told and does: for tests that a gateway knows nothing but its events.
pub type Tap<'a> = &'a mut dyn FnMut(usize, u32, f64, &Event, &[Action]);

/// The world of one day.
pub struct World<'a> {
    day: &'a Day,
    policy: &'a dyn Policy,
    now: Micros,
    due: BinaryHeap<Due>,
    foreseen: u64,
    net: Random,
    client: Random,
    work: Random,
    words: Random,
    next_root: usize,
    gates: Vec<Gate>,
    servers: Vec<Server>,
    counter: Counter,
    calls: Vec<Call>,
    tries: Vec<Try>,
    roots: Vec<Option<(Micros, bool)>>,
    stores: Vec<(Store, u32)>,
    /// Units each customer asked for in the last second, fading: for policies that see it.
    asked: Vec<f64>,
    log: Vec<(usize, BackendState, Option<Micros>)>,
    published: usize,
    publishing: bool,
    discovery_free: f64,
    judge: Judge,
    totals: Totals,
    looks: Vec<Look>,
    truths: VecDeque<Truth>,
    truth_now: Truth,
    customers: HashMap<Name, usize>,
    backends: HashMap<Name, usize>,
    tap: Option<Tap<'a>>,
}

impl<'a> World<'a> {
    /// The world of a day in which gateways decide by this policy.
    pub fn new(day: &'a Day, policy: &'a dyn Policy) -> Self {
        let servers = day.backends.iter().map(|b| {
            let mut server = Server::new(b.speed);
            if b.starts.is_some() {
                server.life = Life::Down;
            }
            server
        });
        let gates = day.gateways.iter().map(|zone| Gate {
            zone: *zone,
            life: 0,
            decider: None,
            up: false,
            ending: false,
            down_since: None,
            seen: 0,
            pools: Vec::new(),
        });
        let full = |customer: &crate::draw::Customer| {
            (Store { held: day.settings.plans[customer.plan].burst, at: 0 }, 0)
        };
        let started = |(number, b): (usize, &crate::draw::Backend)| {
            b.starts.is_none().then_some((number, BackendState::Ready, None))
        };
        let log: Vec<_> = day.backends.iter().enumerate().filter_map(started).collect();
        let mut world = Self {
            day,
            policy,
            now: 0,
            due: BinaryHeap::new(),
            foreseen: 0,
            net: Random::new(day.seed, "net", 0),
            client: Random::new(day.seed, "client", 0),
            work: Random::new(day.seed, "work", 0),
            words: Random::new(day.seed, "words", 0),
            next_root: 0,
            gates: gates.collect(),
            servers: servers.collect(),
            counter: Counter::new(&day.counter),
            calls: Vec::new(),
            tries: Vec::with_capacity(day.roots.len() * 2),
            roots: vec![None; day.roots.len()],
            stores: day.customers.iter().map(full).collect(),
            asked: vec![0.0; day.customers.len()],
            published: log.len(),
            log,
            publishing: false,
            discovery_free: 0.0,
            judge: Judge::new(day.scenario_of.site.rules.clone()),
            totals: Totals::default(),
            looks: Vec::new(),
            truths: VecDeque::new(),
            truth_now: Truth::default(),
            customers: numbers(&day.customers),
            backends: day.backends.iter().enumerate().map(|(n, b)| (b.name.clone(), n)).collect(),
            tap: None,
        };
        world.gates.iter_mut().for_each(|gate| gate.seen = world.published);
        for number in 0..world.gates.len() {
            world.expect(0, Happens::Boots(number));
        }
        world.foresee();
        world
    }

    /// Has every event and its actions told to a recorder.
    pub fn tapped(mut self, tap: Tap<'a>) -> Self {
        self.tap = Some(tap);
        self
    }

    /// What the day brings by itself.
    fn foresee(&mut self) {
        for (number, backend) in self.day.backends.iter().enumerate() {
            if let Some(at) = backend.starts {
                self.expect(at, Happens::Starts(number));
            }
            if let Some((drains, stops)) = backend.drains {
                self.expect(drains, Happens::Drains(number));
                self.expect(stops, Happens::Stops(number));
            }
        }
        for (number, trouble) in self.day.troubles.iter().enumerate() {
            self.expect(trouble.from, Happens::Trouble(number, true));
            self.expect(trouble.until, Happens::Trouble(number, false));
        }
        self.expect(LOOK_EVERY, Happens::Look);
    }

    fn expect(&mut self, at: Micros, what: Happens) {
        self.foreseen += 1;
        self.due.push(Due::new(at.max(self.now), self.foreseen, what));
    }

    /// Plays the day to its end.
    pub fn run(mut self) -> Record {
        let end = self.day.length + TAIL;
        loop {
            let next_root = self.day.roots.get(self.next_root).map(|root| root.at);
            let next = self.due.peek().map(|due| due.at);
            match (next_root, next) {
                (Some(at), next) if next.is_none_or(|next| at < next) => {
                    self.now = at;
                    let root = self.next_root as u32;
                    self.next_root += 1;
                    self.ask(root, 0, None);
                }
                (_, Some(at)) if at <= end => {
                    self.now = at;
                    if let Some(due) = self.due.pop() {
                        self.happens(due.what);
                    }
                }
                _ => break,
            }
        }
        self.judge.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
        Record {
            tries: self.tries,
            served: self.roots,
            totals: self.totals,
            looks: self.looks,
            judge: self.judge,
        }
    }

    fn happens(&mut self, what: Happens) {
        match what {
            Happens::Trouble(number, begins) => self.trouble(number, begins),
            Happens::Drains(backend) => {
                self.servers[backend].draining = true;
                self.list(backend, self.day.discovery.notice);
            }
            Happens::Stops(backend) => self.stop(backend, Life::Down),
            Happens::Starts(backend) => self.start_server(backend),
            Happens::Listed(backend) => self.listed(backend),
            Happens::CounterBack(life) => {
                if self.counter.life == life {
                    self.counter.up = true;
                    self.counter.zone = (self.counter.zone + 1) % self.zones();
                }
            }
            Happens::Dies(gateway) => self.die(gateway),
            Happens::Ending(gateway, by) => {
                if self.gates[gateway].up {
                    self.gates[gateway].ending = true;
                    self.gates[gateway].down_since = Some(self.now);
                    self.tell(gateway, Event::ShuttingDown { deadline: EPOCH + millis(by) });
                }
            }
            Happens::Boots(gateway) => self.boot(gateway),
            Happens::Publish => self.publish(),
            Happens::List(gateway, life, upto) => self.give_list(gateway, life, upto),
            Happens::WholeList(gateway, life) => {
                if self.lives(gateway, life) {
                    let (upto, lines) = (self.published, self.whole_list(self.published));
                    self.gates[gateway].seen = upto;
                    self.tell_list(gateway, lines, true);
                }
            }
            Happens::AskList(gateway, life) => self.ask_list(gateway, life),
            Happens::Completes(backend, epoch) => {
                if self.servers[backend].epoch == epoch {
                    self.settle(backend);
                }
            }
            Happens::Reaches(id, number) => self.reaches(id, number),
            Happens::Dropped(id, number) => self.dropped(id, number),
            Happens::CallReaches(call) => self.call_reaches(call),
            Happens::CallServed(call, life) => self.call_served(call, life),
            Happens::CallAnswered(call) => self.call_answered(call),
            Happens::CallGivenUp(call) => self.call_given_up(call),
            Happens::Ends(id, number, outcome) => self.end(id, number, outcome),
            Happens::Word(gateway, life, backend, down) if self.gates[gateway].life == life => {
                let backend = self.day.backends[backend].name.clone();
                self.tell(gateway, Event::HealthReport { backend, down });
            }
            Happens::Word(..) => {}
            Happens::Probed(gateway, life, backend, up) => {
                if self.lives(gateway, life) {
                    let outcome = if up { Outcome::Served } else { Outcome::ConnectFailed };
                    let backend = self.day.backends[backend].name.clone();
                    self.tell(gateway, Event::ProbeEnded { backend, outcome, latency: 1.0, load: None });
                }
            }
            Happens::Asks(id) => self.asks(id),
            Happens::Timer(gateway, life, token) => {
                if self.lives(gateway, life) {
                    self.tell(gateway, Event::Timer { token });
                }
            }
            Happens::Limit(id, number) => {
                let attempt = &self.tries[id as usize].attempts[number as usize];
                if attempt.end.is_none() {
                    let outcome = if attempt.reached { Outcome::TimedOut } else { Outcome::ConnectFailed };
                    self.end(id, number, outcome);
                }
            }
            Happens::Leaves(id) => self.leave(id),
            Happens::GivesUp(id) => {
                let tried = &mut self.tries[id as usize];
                if tried.ended == Ended::Open {
                    tried.ended = Ended::Left;
                    self.come_again(id, 0);
                }
            }
            Happens::Overdue(id) => {
                if self.judge.overdue(self.now, u64::from(id)) {
                    self.leave(id);
                }
            }
            Happens::Hears(id) => self.hears(id),
            Happens::Again(id) => {
                let (root, number) = (self.tries[id as usize].root, self.tries[id as usize].number + 1);
                self.ask(root, number, Some(id));
            }
            Happens::Look => self.look(),
        }
    }

    // ---- The network ----

    fn zones(&self) -> usize {
        self.day.scenario_of.site.net.zones.len()
    }

    fn troubled(&self, kind: Kind) -> impl Iterator<Item = &'a crate::draw::Trouble> {
        let now = self.now;
        self.day.troubles.iter().filter(move |t| t.kind == kind && t.on(now))
    }

    /// Whether nothing passes between two zones.
    fn cut(&self, a: usize, b: usize) -> bool {
        a != b && self.troubled(Kind::ZoneCut).any(|t| t.zone == a || t.zone == b)
    }

    /// The time of one way, in microseconds.
    fn way(&mut self, a: usize, b: usize) -> Micros {
        let net = &self.day.net;
        let base = if a == b { net.same_zone } else { net.cross_zone };
        (base * (1.0 + net.jitter * self.net.unit())) as Micros
    }

    fn client_way(&mut self) -> Micros {
        (self.day.net.client * (1.0 + self.day.net.jitter * self.net.unit())) as Micros
    }

    // ---- Troubles ----

    fn trouble(&mut self, number: usize, begins: bool) {
        let trouble = &self.day.troubles[number];
        let targets = trouble.targets.clone();
        match trouble.kind {
            Kind::GatewayCrash => {
                for gateway in targets {
                    if begins {
                        self.die(gateway);
                    } else {
                        // Machines do not come back in the same instant.
                        let at = self.now + (self.net.unit() * 500_000.0) as Micros;
                        self.expect(at, Happens::Boots(gateway));
                    }
                }
            }
            Kind::GatewayRoll if begins => {
                let length = (trouble.until - trouble.from) / 10;
                let longest = self.day.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
                let rest = longest.max(3_000_000).min(longest + 700_000);
                for (place, gateway) in targets.iter().enumerate() {
                    let at = trouble.from + length * (place * 10 / targets.len()) as u64;
                    self.expect(at, Happens::Ending(*gateway, at + rest));
                    self.expect(at + rest, Happens::Dies(*gateway));
                    self.expect(at + rest + 300_000, Happens::Boots(*gateway));
                }
            }
            Kind::FastErrors => {
                let failing = if begins { trouble.size } else { 0.0 };
                targets.iter().for_each(|b| self.servers[*b].failing = failing);
            }
            Kind::Slow => {
                for backend in targets {
                    self.servers[backend].advance(self.now, &self.day.machine);
                    self.servers[backend].slowness = if begins { trouble.size.max(1.0) } else { 1.0 };
                    self.settle(backend);
                }
            }
            Kind::Silent => {
                for backend in targets {
                    if begins { self.stop(backend, Life::Silent) } else { self.start_server(backend) }
                }
            }
            Kind::ZoneLoss => {
                let zone = trouble.zone;
                for backend in 0..self.servers.len() {
                    if self.day.backends[backend].zone != zone {
                        continue;
                    }
                    if begins && self.servers[backend].life == Life::Up {
                        self.stop(backend, Life::Silent);
                    } else if !begins && self.servers[backend].life == Life::Silent {
                        self.start_server(backend);
                    }
                }
                for gateway in 0..self.gates.len() {
                    if self.gates[gateway].zone == zone {
                        if begins {
                            self.die(gateway)
                        } else {
                            self.expect(self.now, Happens::Boots(gateway))
                        }
                    }
                }
                if begins && self.counter.zone == zone {
                    self.counter_lost();
                }
            }
            Kind::CounterDown if begins => {
                self.counter_lost();
                let (life, at) = (self.counter.life, trouble.until);
                self.expect(at, Happens::CounterBack(life));
            }
            _ => {}
        }
    }

    fn counter_lost(&mut self) {
        self.counter.lose_all();
        self.counter.up = false;
        self.expect(self.now + self.day.counter.back, Happens::CounterBack(self.counter.life));
    }

    // ---- Backends and their list ----

    fn stop(&mut self, backend: usize, life: Life) {
        let server = &mut self.servers[backend];
        if server.life != Life::Up {
            return;
        }
        server.advance(self.now, &self.day.machine);
        (server.life, server.epoch) = (life, server.epoch + 1);
        let held = server.lose_all();
        self.judge.no_longer_cold(backend);
        if life == Life::Down {
            // Its connections are reset, at both ends.
            for (id, number) in held {
                let gateway = self.tries[id as usize].gateway;
                let way = self.way(self.day.backends[backend].zone, self.gates[gateway].zone);
                self.expect(self.now + way, Happens::Ends(id, number, Outcome::Broken));
            }
            self.reset_free(backend);
        }
        let discovery = &self.day.discovery;
        let notice = if life == Life::Down { discovery.notice } else { discovery.silent_notice };
        self.list(backend, notice);
    }

    /// All free connections to a backend are gone.
    fn reset_free(&mut self, backend: usize) {
        let pools = self.gates.iter_mut().filter_map(|gate| gate.pools.get_mut(backend));
        pools.for_each(|pool| pool.idle.clear());
    }

    fn start_server(&mut self, backend: usize) {
        let server = &mut self.servers[backend];
        if server.life == Life::Up {
            return;
        }
        let (epoch, speed) = (server.epoch + 1, self.day.backends[backend].speed);
        *server = Server::restarted(speed, self.now, epoch);
        self.reset_free(backend);
        self.judge.starts(backend);
        self.list(backend, self.day.discovery.add);
    }

    /// Discovery notices how a backend is after a while, and tells at its next round.
    fn list(&mut self, backend: usize, after: Micros) {
        let late: f64 = self.troubled(Kind::ListsLate).map(|t| t.size * 1e6).sum();
        self.expect(self.now + after + late as Micros, Happens::Listed(backend));
    }

    fn listed(&mut self, backend: usize) {
        let server = &self.servers[backend];
        let state = match (server.life, server.draining) {
            (Life::Up, false) => BackendState::Ready,
            (Life::Up, true) => BackendState::Draining,
            _ => BackendState::Gone,
        };
        let line = (backend, state, server.started);
        let last = self.log.iter().rev().find(|(listed, ..)| *listed == backend);
        if last == Some(&line) {
            return;
        }
        self.log.push(line);
        if !std::mem::replace(&mut self.publishing, true) {
            let period = self.day.discovery.period.max(1);
            self.expect((self.now / period + 1) * period, Happens::Publish);
        }
    }

    fn publish(&mut self) {
        (self.published, self.publishing) = (self.log.len(), false);
        for gateway in 0..self.gates.len() {
            if self.gates[gateway].up {
                let wait = (self.net.unit() * self.day.discovery.spread as f64) as Micros;
                let life = self.gates[gateway].life;
                self.expect(self.now + wait, Happens::List(gateway, life, self.published));
            }
        }
    }

    fn entry(&self, line: &(usize, BackendState, Option<Micros>)) -> BackendEntry {
        let (number, state, started) = *line;
        let backend = &self.day.backends[number];
        BackendEntry {
            name: backend.name.clone(),
            zone: self.day.scenario_of.site.net.zones[backend.zone].as_str().into(),
            cell: backend.cell,
            state,
            started: started.map(|at| EPOCH + millis(at)),
        }
    }

    /// The list as it stands after so many changes.
    fn whole_list(&self, upto: usize) -> Vec<(usize, BackendState, Option<Micros>)> {
        let mut last: Vec<Option<(usize, BackendState, Option<Micros>)>> = vec![None; self.servers.len()];
        self.log[..upto].iter().for_each(|line| last[line.0] = Some(*line));
        last.into_iter().flatten().filter(|line| line.1 != BackendState::Gone).collect()
    }

    fn give_list(&mut self, gateway: usize, life: u32, upto: usize) {
        if !self.lives(gateway, life) || self.gates[gateway].seen >= upto {
            return;
        }
        let lines = self.log[self.gates[gateway].seen..upto].to_vec();
        self.gates[gateway].seen = upto;
        self.tell_list(gateway, lines, false);
    }

    fn tell_list(&mut self, gateway: usize, lines: Vec<(usize, BackendState, Option<Micros>)>, whole: bool) {
        if whole {
            for backend in 0..self.servers.len() {
                if !lines.iter().any(|line| line.0 == backend) {
                    self.judge.missing(self.now, gateway, backend);
                }
            }
        }
        for (backend, state, _) in &lines {
            self.judge.told(self.now, gateway, *backend, *state == BackendState::Ready);
        }
        let entries = lines.iter().map(|line| self.entry(line)).collect();
        let event = if whole { Event::BackendList(entries) } else { Event::BackendChanges(entries) };
        self.tell(gateway, event);
    }

    /// Whole lists are written out in turn, so many lines a second; who waits too long asks again later.
    fn ask_list(&mut self, gateway: usize, life: u32) {
        if !self.lives(gateway, life) {
            return;
        }
        let now = self.now as f64;
        let begins = self.discovery_free.max(now);
        let takes = self.day.discovery.line * self.servers.len() as f64;
        if begins + takes - now > self.day.discovery.timeout as f64 {
            let again = 500_000.0 + 1_500_000.0 * self.net.unit();
            return self.expect(self.now + again as Micros, Happens::AskList(gateway, life));
        }
        self.discovery_free = begins + takes;
        self.expect(self.discovery_free as Micros, Happens::WholeList(gateway, life));
    }

    // ---- Gateways ----

    fn lives(&self, gateway: usize, life: u32) -> bool {
        self.gates[gateway].life == life && self.gates[gateway].up
    }

    fn boot(&mut self, gateway: usize) {
        if self.gates[gateway].up {
            return;
        }
        let zones = &self.day.scenario_of.site.net.zones;
        let settings = Settings {
            gateway_index: gateway as u32,
            zone: zones[self.gates[gateway].zone].as_str().into(),
            ..self.day.settings.clone()
        };
        let life = self.gates[gateway].life + 1;
        let seed = mix(self.day.seed ^ mix(gateway as u64 ^ (u64::from(life) << 32)));
        let decider = match self.policy.start(settings, seed) {
            Ok(decider) => decider,
            Err(error) => {
                let what = format!("did not start: {error}");
                return self.judge.broke(self.now, gateway, None, Rule::Protocol, what);
            }
        };
        let backends = self.servers.len();
        let gate = &mut self.gates[gateway];
        (gate.life, gate.decider, gate.ending, gate.down_since) = (life, Some(decider), false, None);
        gate.up = true;
        gate.pools = (0..backends).map(|_| Pool::default()).collect();
        let remembered = self.whole_list(self.gates[gateway].seen);
        self.tell_list(gateway, remembered, true);
        if life > 1 {
            self.ask_list(gateway, life);
        }
    }

    fn die(&mut self, gateway: usize) {
        let gate = &mut self.gates[gateway];
        if !std::mem::replace(&mut gate.up, false) {
            return;
        }
        gate.decider = None;
        gate.down_since.get_or_insert(self.now);
        let life = gate.life;
        let open: Vec<usize> = gate.pools.drain(..).map(|pool| pool.idle.len()).collect();
        for (backend, count) in open.into_iter().enumerate() {
            self.servers[backend].connections = self.servers[backend].connections.saturating_sub(count);
        }
        self.judge.died(gateway);
        let longest = self.day.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let recent = self.tries.partition_point(|t| t.sent + longest + 1_000_000 < self.now);
        for id in recent as u32..self.tries.len() as u32 {
            let tried = &self.tries[id as usize];
            if tried.gateway != gateway || tried.life != life || tried.taken.is_none() {
                continue;
            }
            for number in 0..tried.attempts.len() as u32 {
                self.abandon(id, number);
            }
            let tried = &mut self.tries[id as usize];
            if tried.closed.is_none() {
                tried.closed = Some((self.now, Trigger::Other));
                if tried.ended == Ended::Open {
                    tried.ended = Ended::Died;
                    let way = self.client_way();
                    self.expect(self.now + way, Happens::Hears(id));
                }
            }
        }
    }

    /// An attempt's connection ends without a word to a gateway that is gone.
    fn abandon(&mut self, id: u32, number: u32) {
        let now = self.now;
        let attempt = &mut self.tries[id as usize].attempts[number as usize];
        if attempt.end.is_some() {
            return;
        }
        attempt.end = Some((now, Outcome::CalledOff));
        let backend = attempt.backend;
        self.close_one(backend);
        self.attempt_over(id);
        self.drop_at_backend(id, number);
    }

    fn close_one(&mut self, backend: usize) {
        let server = &mut self.servers[backend];
        server.connections = server.connections.saturating_sub(1);
    }

    fn attempt_over(&mut self, id: u32) {
        let customer = self.day.roots[self.tries[id as usize].root as usize].customer as usize;
        self.stores[customer].1 = self.stores[customer].1.saturating_sub(1);
        if let Some(store) = self.truth_now.stores.get_mut(customer) {
            store.out = store.out.saturating_sub(1);
        }
    }

    fn drop_at_backend(&mut self, id: u32, number: u32) {
        let tried = &self.tries[id as usize];
        let (gateway, attempt) = (tried.gateway, tried.attempts[number as usize]);
        let zone = self.day.backends[attempt.backend].zone;
        if !self.cut(self.gates[gateway].zone, zone) {
            let way = self.way(self.gates[gateway].zone, zone);
            self.expect(self.now + way, Happens::Dropped(id, number));
        }
    }

    /// Tells a gateway of something, and carries out what it does. What that leads to at once waits in line.
    fn tell(&mut self, gateway: usize, event: Event) {
        let trigger = match &event {
            Event::Request(_) => Trigger::Arrival,
            Event::Counted { .. } => Trigger::Counted,
            Event::Timer { .. } => Trigger::Timer,
            Event::AttemptEnded(_) => Trigger::Attempt,
            _ => Trigger::Other,
        };
        let Some(mut decider) = self.gates[gateway].decider.take() else { return };
        let mut line = VecDeque::from([event]);
        let mut actions = Vec::new();
        let mut rounds = 0;
        while let Some(event) = line.pop_front() {
            self.totals.events += 1;
            let now = EPOCH + millis(self.now);
            let taped = self.tap.is_some().then(|| event.clone());
            let truth = match self.policy.seeing() {
                Seeing::Late => self.truths.front().unwrap_or(&self.truth_now),
                _ => &self.truth_now,
            };
            let sight = Sight { truth, customers: &self.customers, backends: &self.backends };
            decider.handle(now, event, &sight, &mut actions);
            if let (Some(tap), Some(event)) = (&mut self.tap, taped) {
                tap(gateway, self.gates[gateway].life, now, &event, &actions);
            }
            for action in actions.drain(..) {
                self.perform(gateway, action, trigger, &mut line);
            }
            rounds += 1;
            if rounds == MOST_ROUNDS {
                let what = "never came to rest".into();
                self.judge.broke(self.now, gateway, None, Rule::Protocol, what);
                break;
            }
        }
        self.gates[gateway].decider = Some(decider);
    }

    fn perform(&mut self, gateway: usize, action: Action, trigger: Trigger, line: &mut VecDeque<Event>) {
        let (now, life) = (self.now, self.gates[gateway].life);
        match action {
            Action::Send { id, backend, timeout, .. } => {
                if let Some(unsent) = self.send(gateway, id, &backend, timeout, trigger) {
                    line.push_back(unsent);
                }
            }
            Action::Refuse { id, retry_after } => self.answer(gateway, id, true, retry_after, trigger),
            Action::Fail { id } => self.answer(gateway, id, false, 0.0, trigger),
            Action::CallOff { id, attempt } => {
                let known = self.tries.get(id as usize).filter(|t| t.gateway == gateway);
                match known.and_then(|t| t.attempts.get(attempt as usize)) {
                    None => {
                        let what = "called off an attempt that was never made".into();
                        self.judge.broke(now, gateway, Some(id), Rule::Protocol, what);
                    }
                    Some(attempt_of) if attempt_of.end.is_none() => {
                        line.extend(self.finish(id as u32, attempt, Outcome::CalledOff));
                    }
                    Some(_) => {}
                }
            }
            Action::SetTimer { after, token } => {
                if !after.is_finite() {
                    let what = "set a timer that never ends".into();
                    return self.judge.broke(now, gateway, None, Rule::Protocol, what);
                }
                // At its time or after it, never before: the gateway's clock is finer than the world's.
                let wait = (after.max(0.0) * 1000.0).ceil() as Micros;
                self.expect(now + wait.max(1), Happens::Timer(gateway, life, token));
            }
            Action::Probe { backend } => {
                self.totals.probes += 1;
                let Some(number) = self.backends.get(&backend).copied() else { return };
                let zone = self.day.backends[number].zone;
                let up = self.servers[number].life == Life::Up && !self.cut(self.gates[gateway].zone, zone);
                let way = 2 * self.way(self.gates[gateway].zone, zone);
                if up {
                    self.servers[number].advance(now, &self.day.machine);
                    self.servers[number].burden(self.day.machine.probe_work);
                    self.settle(number);
                }
                self.expect(now + way, Happens::Probed(gateway, life, number, up));
            }
            Action::AddToCounter { name, amount, ttl } => self.count(gateway, name, amount, ttl),
            Action::Log(_) => self.totals.log_lines += 1,
            Action::HealthObserved { backend, down, .. } => self.word(gateway, &backend, down),
            Action::Broadcast { .. } | Action::WatchBackends => {}
        }
    }

    /// A gateway has found something out of a backend, and a group passes it on: to each gateway that a cut does not
    /// part from this one, after a drawn time of its own for report, record and watch. A group that has lost its
    /// majority, and the bounds on reports, are not modelled.
    fn word(&mut self, gateway: usize, backend: &Name, down: bool) {
        let Some(delay) = self.day.scenario_of.words_ms else { return };
        let Some(number) = self.backends.get(backend).copied() else { return };
        for other in (0..self.gates.len()).filter(|other| *other != gateway) {
            let parted = self.cut(self.gates[gateway].zone, self.gates[other].zone);
            if self.gates[other].up && !parted {
                let at = self.now + (self.words.within(delay) * 1000.0) as Micros;
                self.expect(at, Happens::Word(other, self.gates[other].life, number, down));
            }
        }
    }

    // ---- Requests ----

    /// A client sends its first try, or comes again.
    fn ask(&mut self, root: u32, number: u32, before: Option<u32>) {
        let first = &self.day.roots[root as usize];
        let class = &self.day.classes[usize::from(first.class)];
        let give_up: f64 = self.troubled(Kind::GiveUp).map(|t| t.size).product();
        let last = before.map(|id| &self.tries[id as usize]);
        let deadline = first.at + class.deadline;
        let patience = (class.deadline as f64 * self.day.clients.patience * give_up) as Micros;
        let gives_up = (self.now + patience).min(deadline);
        let elsewhere = self.client.happens(self.day.clients.elsewhere);
        let customer = first.customer as usize;
        let mut gateway = match last {
            Some(last) if !elsewhere => last.gateway,
            _ => {
                let lot = self.client.unit();
                self.day.gateway_of(customer, self.now, lot)
            }
        };
        // The front sends past gateways that it knows to be down, and past a zone that traffic shifts from.
        for _ in 0..8 {
            let down = self.gates[gateway].down_since;
            let noticed = down.is_some_and(|since| {
                let notice = if self.gates[gateway].ending { 300_000 } else { self.day.clients.front_notice };
                self.now > since + notice
            });
            let zone = self.gates[gateway].zone;
            let shifted = self.troubled(Kind::ZoneShift).map(|t| if t.zone == zone { t.size } else { 0.0 });
            let chance = shifted.fold(0.0, f64::max);
            let passed = noticed || chance > 0.0 && self.client.happens(chance);
            if !passed {
                break;
            }
            let lot = self.client.unit();
            gateway = self.day.gateway_of(customer, self.now, lot);
        }
        let id = self.tries.len() as u32;
        self.tries.push(Try {
            root,
            number,
            gateway,
            life: 0,
            sent: self.now,
            gives_up,
            taken: None,
            closed: None,
            inside: None,
            sent_on: Trigger::Other,
            store: None,
            advice: 0,
            attempts: Vec::new(),
            ended: Ended::Open,
            told: false,
        });
        let way = self.client_way();
        self.expect(self.now + way, Happens::Asks(id));
        if self.client.happens(self.day.clients.impatient) {
            let wait = (gives_up - self.now) as f64 * self.client.unit();
            self.expect(self.now + wait as Micros, Happens::Leaves(id));
        }
    }

    fn asks(&mut self, id: u32) {
        let (gateway, root) = (self.tries[id as usize].gateway, self.tries[id as usize].root as usize);
        if !self.gates[gateway].up {
            self.tries[id as usize].ended = Ended::Unreachable;
            let way = self.client_way();
            return self.expect(self.now + way, Happens::Hears(id));
        }
        let first = &self.day.roots[root];
        let customer = &self.day.customers[first.customer as usize];
        let class = &self.day.classes[usize::from(first.class)];
        self.asked[first.customer as usize] += 1.0;
        let tried = &mut self.tries[id as usize];
        if tried.ended != Ended::Open {
            return;
        }
        (tried.life, tried.taken) = (self.gates[gateway].life, Some(self.now));
        let (gives_up, number) = (tried.gives_up, tried.number);
        let overdue = self.judge.taken(gateway, u64::from(id), class.once, gives_up);
        self.expect(gives_up, Happens::GivesUp(id));
        self.expect(overdue, Happens::Overdue(id));
        let arrival = Arrival {
            id: u64::from(id),
            customer: customer.name.clone(),
            plan: self.day.settings.plans[customer.plan].name.clone(),
            class: class.name.clone(),
            units: 1.0,
            repeat: number > 0,
            deadline: EPOCH + millis(gives_up),
            first_gateway: customer.first as u32,
            spread: customer.spread as u32,
        };
        self.tell(gateway, Event::Request(arrival));
    }

    /// The client is gone: its attempts are called off, and its gateway is told.
    fn leave(&mut self, id: u32) {
        let tried = &mut self.tries[id as usize];
        if tried.ended == Ended::Open {
            tried.ended = Ended::Left;
        }
        let (gateway, life) = (tried.gateway, tried.life);
        if tried.taken.is_none() || tried.closed.is_some() || !self.lives(gateway, life) {
            return;
        }
        self.tries[id as usize].closed = Some((self.now, Trigger::Other));
        self.judge.left(u64::from(id));
        self.tell(gateway, Event::ClientLeft { id: u64::from(id) });
        for number in 0..self.tries[id as usize].attempts.len() as u32 {
            if self.tries[id as usize].attempts[number as usize].end.is_none() {
                self.end(id, number, Outcome::CalledOff);
            }
        }
    }

    /// A gateway gives a final answer without a backend's.
    fn answer(&mut self, gateway: usize, id: u64, refused: bool, advice: f64, trigger: Trigger) {
        if !self.judge.answered(self.now, gateway, id, refused) {
            return;
        }
        let root = self.tries[id as usize].root as usize;
        let (plan, held) = self.quota(root);
        let tried = &mut self.tries[id as usize];
        tried.closed = Some((self.now, trigger));
        if tried.attempts.is_empty() {
            tried.store = Some((
                held,
                plan.open == 0 || self.stores[self.day.roots[root].customer as usize].1 < plan.open,
            ));
        }
        tried.advice = if advice.is_finite() { micros(advice) } else { 0 };
        if tried.ended == Ended::Open {
            tried.ended = if refused { Ended::Refused } else { Ended::Failed };
            let way = self.client_way();
            self.expect(self.now + way, Happens::Hears(id as u32));
        }
    }

    /// The true store of a first try's customer, filled up to now.
    fn quota(&mut self, root: usize) -> (&'a doorcourse::Plan, f64) {
        let customer = self.day.roots[root].customer as usize;
        let plan = &self.day.settings.plans[self.day.customers[customer].plan];
        (plan, self.stores[customer].0.fill(self.now, plan.rate, plan.burst))
    }

    fn hears(&mut self, id: u32) {
        let tried = &self.tries[id as usize];
        if let Ended::Served(at) = tried.ended {
            let (root, inside) = (tried.root as usize, tried.inside == Some(true));
            let aim = self.day.classes[usize::from(self.day.roots[root].class)].aim;
            if at <= self.day.roots[root].at + aim && self.roots[root].is_none() {
                self.roots[root] = Some((at, inside));
            }
            return;
        }
        let advice = tried.advice;
        self.come_again(id, advice);
    }

    fn come_again(&mut self, id: u32, advice: Micros) {
        let tried = &mut self.tries[id as usize];
        if std::mem::replace(&mut tried.told, true) {
            return;
        }
        let (number, ended, root) = (tried.number, tried.ended, tried.root as usize);
        let first = &self.day.roots[root];
        let class = &self.day.classes[usize::from(first.class)];
        let harmless = matches!(ended, Ended::Refused | Ended::Unreachable);
        let more: f64 = self.troubled(Kind::ComeAgain).map(|t| t.size).sum();
        let clients = &self.day.clients;
        let allowed = harmless || !class.once;
        if !allowed || number >= clients.retries + more as u32 {
            return;
        }
        let (wait, factor) = clients.backoff;
        let wait = (wait as f64 * factor.powi(number as i32) * (0.75 + 0.5 * self.client.unit())) as Micros;
        let follows = self.client.happens(clients.honour) && more == 0.0;
        let advice = if follows { advice.min(clients.longest_advice) } else { 0 };
        let wait = if more > 0.0 { 0 } else { wait.max(advice) };
        let at = self.now + wait;
        if at + LEAST_LEFT < first.at + class.deadline {
            self.expect(at, Happens::Again(id));
        }
    }

    // ---- Attempts ----

    /// Sends an attempt. Gives the end of one that is never sent.
    fn send(
        &mut self, gateway: usize, id: u64, name: &Name, timeout: f64, trigger: Trigger,
    ) -> Option<Event> {
        let backend = self.backends.get(name).copied();
        let known = self.tries.get(id as usize).filter(|t| t.gateway == gateway && t.taken.is_some());
        let known = known.is_some();
        let allowed = self.judge.sent(self.now, gateway, id, backend) && known;
        let (Some(backend), true) = (backend, allowed) else {
            let finished = self.tries.get(id as usize).is_none_or(|t| t.closed.is_some());
            return Some(unsent(id, name.clone(), finished));
        };
        let id = id as u32;
        let root = self.tries[id as usize].root as usize;
        let customer = self.day.roots[root].customer as usize;
        if self.tries[id as usize].inside.is_none() {
            let (plan, held) = self.quota(root);
            let inside = held >= 1.0 && (plan.open == 0 || self.stores[customer].1 < plan.open);
            if inside {
                self.stores[customer].0.held -= 1.0;
                if let Some(store) = self.truth_now.stores.get_mut(customer) {
                    store.held -= 1.0;
                }
            }
            let tried = &mut self.tries[id as usize];
            (tried.inside, tried.sent_on) = (Some(inside), trigger);
            self.judge.draws(self.now, gateway, u64::from(id), customer, plan);
        }
        self.stores[customer].1 += 1;
        if let Some(store) = self.truth_now.stores.get_mut(customer) {
            store.out += 1;
        }
        if let Some(load) = self.truth_now.loads.get_mut(backend) {
            *load += 0.5;
        }

        let (here, there) = (self.gates[gateway].zone, self.day.backends[backend].zone);
        if here != there {
            self.totals.crossings += 1;
        }
        let machine = &self.day.machine;
        let idle = &mut self.gates[gateway].pools[backend].idle;
        let oldest = self.now.saturating_sub(machine.idle);
        let before = idle.len();
        idle.retain(|used| *used >= oldest);
        let expired = before - idle.len();
        let pooled = idle.pop().is_some();
        self.servers[backend].connections = self.servers[backend].connections.saturating_sub(expired);
        let noise = self.day.classes[usize::from(self.day.roots[root].class)].attempt_noise;
        let work = self.day.roots[root].work * self.work.lognormal(noise);
        let way = self.way(here, there);
        let cut = self.cut(here, there);
        let mut fails = None;
        let mut arrives = self.now + way;
        if !pooled {
            self.totals.handshakes += 1;
            let rtt = way + self.way(there, here);
            let life = self.servers[backend].life;
            self.totals.vain += u64::from(cut || life != Life::Up);
            if cut || life == Life::Silent {
                fails = Some(self.now + machine.connect_timeout);
            } else if life == Life::Down || self.servers[backend].connections >= machine.connections {
                fails = Some(self.now + rtt);
            } else {
                let server = &mut self.servers[backend];
                server.advance(self.now, machine);
                server.burden(machine.handshake_work);
                self.settle(backend);
                arrives += (rtt as f64 * machine.handshake_rtts) as Micros;
            }
            self.servers[backend].connections += 1;
        }
        let number = self.tries[id as usize].attempts.len() as u32;
        let attempt =
            Attempt { backend, sent: self.now, work, end: None, reached: pooled, at_backend: false };
        self.tries[id as usize].attempts.push(attempt);
        match fails {
            Some(at) => self.expect(at, Happens::Ends(id, number, Outcome::ConnectFailed)),
            None if !cut => self.expect(arrives, Happens::Reaches(id, number)),
            None => {}
        }
        let gives_up = self.tries[id as usize].gives_up;
        let limit = if timeout.is_finite() { self.now + micros(timeout) } else { gives_up };
        self.expect(limit.min(gives_up).max(self.now + 1), Happens::Limit(id, number));
        None
    }

    fn reaches(&mut self, id: u32, number: u32) {
        let tried = &mut self.tries[id as usize];
        let (gateway, root) = (tried.gateway, tried.root as usize);
        let attempt = &mut tried.attempts[number as usize];
        if attempt.end.is_some() {
            return;
        }
        attempt.reached = true;
        let (backend, work) = (attempt.backend, attempt.work);
        let (here, there) = (self.gates[gateway].zone, self.day.backends[backend].zone);
        if self.servers[backend].life == Life::Silent || self.cut(here, there) {
            return;
        }
        self.totals.attempts += 1;
        let way = self.way(here, there);
        let server = &self.servers[backend];
        if server.life == Life::Down {
            return self.expect(self.now + way, Happens::Ends(id, number, Outcome::Broken));
        }
        let reset: f64 = self.troubled(Kind::Resets).map(|t| t.size).sum();
        if reset > 0.0 && self.net.happens(reset) {
            return self.expect(self.now + way, Happens::Ends(id, number, Outcome::Broken));
        }
        let machine = &self.day.machine;
        let server = &self.servers[backend];
        let warm = server.warmth(self.now, machine) >= 1.0;
        let capacity = server.capacity(self.now, machine);
        if warm {
            self.judge.no_longer_cold(backend);
        } else {
            let told = self.told_of_start(gateway, backend);
            let load = Reached { backend, work: self.day.roots[root].work, capacity, told };
            if self.judge.reached(self.now, gateway, u64::from(id), &load) {
                self.totals.fallen += 1;
                self.stop(backend, Life::Down);
                return self.expect(self.now + way, Happens::Ends(id, number, Outcome::Broken));
            }
        }
        let server = &self.servers[backend];
        if server.draining {
            return self.expect(self.now + way, Happens::Ends(id, number, Outcome::Full));
        }
        let failing = server.failing.max(machine.error_share);
        if failing > 0.0 && self.work.happens(failing) {
            return self.expect(self.now + way + 1000, Happens::Ends(id, number, Outcome::Error));
        }
        let server = &mut self.servers[backend];
        server.advance(self.now, machine);
        match server.take((id, number), work, machine) {
            Taken::In => {
                self.tries[id as usize].attempts[number as usize].at_backend = true;
                self.settle(backend);
            }
            Taken::Full => self.expect(self.now + way, Happens::Ends(id, number, Outcome::Full)),
        }
    }

    /// Whether the list that a gateway has names a backend's last start.
    fn told_of_start(&self, gateway: usize, backend: usize) -> bool {
        let started = self.servers[backend].started;
        let seen = &self.log[..self.gates[gateway].seen];
        seen.iter().rev().find(|line| line.0 == backend).is_some_and(|line| line.2 == started)
    }

    /// Brings a backend up to now: answers leave, and the next moment to look is foreseen.
    fn settle(&mut self, backend: usize) {
        let machine = &self.day.machine;
        if self.servers[backend].life != Life::Up {
            return;
        }
        self.servers[backend].advance(self.now, machine);
        while let Some(((id, number), work)) = self.servers[backend].finished(machine) {
            let tried = &mut self.tries[id as usize];
            let (gateway, attempt) = (tried.gateway, &mut tried.attempts[number as usize]);
            attempt.at_backend = false;
            if attempt.end.is_some() {
                self.totals.wasted += work;
                continue;
            }
            let (there, here) = (self.day.backends[backend].zone, self.gates[gateway].zone);
            let lost: f64 = self.troubled(Kind::AnswersLost).map(|t| t.size).sum();
            if self.cut(here, there) || lost > 0.0 && self.net.happens(lost) {
                self.totals.wasted += work;
                continue;
            }
            let way = self.way(there, here);
            self.expect(self.now + way, Happens::Ends(id, number, Outcome::Served));
        }
        let server = &mut self.servers[backend];
        server.epoch += 1;
        if let Some(at) = server.next(self.now, machine) {
            let epoch = server.epoch;
            self.expect(at, Happens::Completes(backend, epoch));
        }
    }

    fn dropped(&mut self, id: u32, number: u32) {
        let attempt = &self.tries[id as usize].attempts[number as usize];
        let backend = attempt.backend;
        if !attempt.at_backend || self.servers[backend].life != Life::Up {
            return;
        }
        let machine = &self.day.machine;
        self.servers[backend].advance(self.now, machine);
        if let Some(done) = self.servers[backend].cancel((id, number), machine) {
            self.totals.wasted += done;
            self.tries[id as usize].attempts[number as usize].at_backend = false;
            self.settle(backend);
        }
    }

    /// An attempt's end is known at its gateway.
    fn end(&mut self, id: u32, number: u32, outcome: Outcome) {
        if let Some(event) = self.finish(id, number, outcome) {
            let gateway = self.tries[id as usize].gateway;
            self.tell(gateway, event);
        }
    }

    fn finish(&mut self, id: u32, number: u32, outcome: Outcome) -> Option<Event> {
        let now = self.now;
        let tried = &mut self.tries[id as usize];
        let (gateway, life) = (tried.gateway, tried.life);
        let attempt = &mut tried.attempts[number as usize];
        if attempt.end.is_some() {
            return None;
        }
        attempt.end = Some((now, outcome));
        let (backend, latency, work) = (attempt.backend, millis(now - attempt.sent), attempt.work);
        self.attempt_over(id);
        if matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Full) && self.lives(gateway, life) {
            self.gates[gateway].pools[backend].idle.push(now);
        } else {
            self.close_one(backend);
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::CalledOff) {
            self.drop_at_backend(id, number);
        }
        self.judge.attempt_ended(u64::from(id), outcome);
        if !self.lives(gateway, life) {
            return None;
        }
        let tried = &mut self.tries[id as usize];
        if outcome == Outcome::Served {
            if tried.closed.is_none() {
                tried.closed = Some((now, Trigger::Attempt));
                self.judge.answered(now, gateway, u64::from(id), false);
                let way = self.client_way();
                let tried = &mut self.tries[id as usize];
                if tried.ended == Ended::Open {
                    tried.ended = Ended::Served(now + way);
                    self.expect(now + way, Happens::Hears(id));
                }
            } else {
                self.totals.wasted += work;
            }
        }
        let finished = self.tries[id as usize].closed.is_some();
        let answered = matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Full);
        let load = if answered { Some(self.report(backend)) } else { None };
        Some(Event::AttemptEnded(AttemptEnd {
            id: u64::from(id),
            attempt: number,
            backend: self.day.backends[backend].name.clone(),
            outcome,
            latency,
            true_units: None,
            finished,
            body_consumed: false,
            load,
        }))
    }

    /// A backend's report of its load: late by the rhythm of its refreshing, and noisy.
    fn report(&mut self, backend: usize) -> LoadReport {
        let noise = 1.0 + self.day.machine.report_noise * (self.net.unit() * 2.0 - 1.0);
        let server = &self.servers[backend];
        LoadReport {
            inflight: Some(server.held() as f64 * noise),
            queue: Some(server.line() as f64 * noise),
            service_time: None,
        }
    }

    // ---- The counter ----

    fn count(&mut self, gateway: usize, name: u64, amount: f64, keep: f64) {
        if name >= 1 << 63 || !amount.is_finite() || amount.abs() > 1e9 || keep.is_nan() || keep < 1.0 {
            let what = format!("asked the counter for {name} {amount} {keep}");
            return self.judge.broke(self.now, gateway, None, Rule::Protocol, what);
        }
        self.totals.calls += 1;
        let number = self.calls.len() as u32;
        let keep = micros(keep.min(60_000.0));
        let (life, counter_life) = (self.gates[gateway].life, self.counter.life);
        let call = Call {
            gateway,
            life,
            counter_life,
            name,
            amount,
            keep,
            made: self.now,
            answer: None,
            given_up: false,
        };
        self.calls.push(call);
        let way = self.way(self.gates[gateway].zone, self.counter.zone);
        self.expect(self.now + self.day.counter.timeout, Happens::CallGivenUp(number));
        if !self.cut(self.gates[gateway].zone, self.counter.zone) {
            self.expect(self.now + way, Happens::CallReaches(number));
        }
    }

    fn call_reaches(&mut self, number: u32) {
        let call = &mut self.calls[number as usize];
        let (name, gateway) = (call.name, call.gateway);
        call.counter_life = self.counter.life;
        if !self.counter.up {
            call.answer = Some(CountOutcome::NotAdded);
        } else {
            match self.counter.arrive(self.now, name, &self.day.counter) {
                Turn::At(at) => return self.expect(at, Happens::CallServed(number, self.counter.life)),
                Turn::Away => {
                    self.totals.calls_away += 1;
                    call.answer = Some(CountOutcome::NotAdded);
                }
            }
        }
        let way = self.way(self.counter.zone, self.gates[gateway].zone);
        self.expect(self.now + way, Happens::CallAnswered(number));
    }

    fn call_served(&mut self, number: u32, life: u32) {
        if self.counter.life != life || !self.counter.up {
            return;
        }
        let call = &mut self.calls[number as usize];
        let total = self.counter.add(self.now, call.name, call.amount, call.keep);
        call.answer = Some(CountOutcome::Total(total));
        let gateway = call.gateway;
        if !self.cut(self.gates[gateway].zone, self.counter.zone) {
            let way = self.way(self.counter.zone, self.gates[gateway].zone);
            self.expect(self.now + way, Happens::CallAnswered(number));
        }
    }

    fn call_answered(&mut self, number: u32) {
        let call = &mut self.calls[number as usize];
        let (gateway, life, name, amount) = (call.gateway, call.life, call.name, call.amount);
        let latency = millis(self.now - call.made);
        let outcome = match (call.answer, call.given_up) {
            (Some(CountOutcome::Total(total)), true) => CountOutcome::Late { total, amount },
            (Some(outcome), false) => outcome,
            _ => return,
        };
        call.given_up = true;
        if self.lives(gateway, life) {
            self.tell(gateway, Event::Counted { name, outcome, latency });
        }
    }

    fn call_given_up(&mut self, number: u32) {
        let call = &mut self.calls[number as usize];
        if std::mem::replace(&mut call.given_up, true) {
            return;
        }
        self.totals.calls_unanswered += 1;
        let (gateway, life, name) = (call.gateway, call.life, call.name);
        if self.lives(gateway, life) {
            let latency = millis(self.day.counter.timeout);
            self.tell(gateway, Event::Counted { name, outcome: CountOutcome::Unknown, latency });
        }
    }

    // ---- Looks ----

    fn look(&mut self) {
        if self.policy.seeing() != Seeing::Nothing {
            let plans = &self.day.settings.plans;
            let customers = &self.day.customers;
            let asked = &mut self.asked;
            let fade = (-(LOOK_EVERY as f64) / 1e6).exp();
            asked.iter_mut().for_each(|asked| *asked *= fade);
            let rows = self.stores.iter_mut().zip(customers).zip(asked);
            let stores = rows.map(|(((store, out), customer), asked)| {
                let plan = &plans[customer.plan];
                let held = store.fill(self.now, plan.rate, plan.burst);
                SeenStore { held, out: *out, asked: *asked }
            });
            let machine = &self.day.machine;
            let now = self.now;
            let loads = self.servers.iter().map(|server| {
                let usable = server.life == Life::Up && !server.draining && server.failing == 0.0;
                let capacity = server.capacity(now, machine) / server.slowness;
                if usable { server.held() as f64 / capacity.max(1e-9) } else { f64::INFINITY }
            });
            let truth = Truth { stores: stores.collect(), loads: loads.collect() };
            self.truths.push_back(std::mem::replace(&mut self.truth_now, truth));
            if self.truths.len() > (SEES_LATE / LOOK_EVERY) as usize {
                self.truths.pop_front();
            }
        }
        if self.now.is_multiple_of(500_000) {
            self.looks.push(Look {
                at: self.now,
                held: self.servers.iter().map(Server::held).sum(),
                waiting: self.servers.iter().map(Server::line).sum(),
                gateways: self.gates.iter().filter(|gate| gate.up).count(),
                backends: self.servers.iter().filter(|s| s.life == Life::Up && !s.draining).count(),
                calls: self.totals.calls,
            });
        }
        if self.now < self.day.length + TAIL {
            self.expect(self.now + LOOK_EVERY, Happens::Look);
        }
    }
}

/// The end of an attempt that is never sent.
fn unsent(id: u64, backend: Name, finished: bool) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt: 0,
        backend,
        outcome: Outcome::NeverSent,
        latency: 0.0,
        true_units: None,
        finished,
        body_consumed: false,
        load: None,
    })
}
