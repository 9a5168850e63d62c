//! The simulated world: clients, network, gateways, backends, discovery, counter and troubles. The world passes
//! events to the gateways and carries out their actions. The day and the policy determine the course completely.
//! Decisions are made by [`crate::decider`], and breaches are detected by [`crate::judge`]. Discovery publishes the
//! changes of the backend list, or the full list on request. [`crate`] defines the other terms.

pub mod backend;
pub mod counter;
mod event;

use crate::decider::{
    DELAYED_VIEW_AGE, Decider, Policy, StateView, TrueQuota, TrueState, TrueStateView, numbers,
};
use crate::draw::{Day, EPOCH, Micros, TokenBucket, micros, millis, mix};
use crate::judge::{BackendLoad, Judge, Rule};
use crate::scenario::Kind;
use backend::{Acceptance, ProcessState, Server};
use counter::{CallAdmission, Counter};
use doorcourse::{
    Action, Arrival, AttemptEnd, BackendEntry, BackendState, CountOutcome, Event, LoadReport, Name, Outcome,
    Settings,
};
use event::{Scheduled, SimEvent};
use fault_injection::Random;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Maximum number of events that a gateway may handle at one instant of simulated time: an event and those that its
/// actions cause at once. A gateway that reaches the maximum breaches the protocol; its queued events are dropped.
const MAX_ROUNDS: usize = 10_000;
/// Interval at which the true state is sampled.
const SAMPLE_INTERVAL: Micros = 20_000;
/// The simulation continues for this long after the last first try.
const TAIL_TIME: Micros = 8_000_000;
/// A client retries only if more than this much of its deadline remains.
const MIN_TIME_LEFT_FOR_RETRY: Micros = 20_000;

/// The last event that a gateway received before it sent or ended a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trigger {
    /// The request itself.
    #[default]
    Arrival,
    /// A counter total, or the failure of a counter call.
    Counted,
    /// A timer.
    Timer,
    /// The end of an attempt.
    Attempt,
    /// Any other event.
    Other,
}

/// How a try ended, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// The try has not ended.
    Open,
    /// The try was served; the answer reached the client at this time.
    Served(Micros),
    /// The gateway refused the try.
    Refused,
    /// The try failed.
    Failed,
    /// The gateway could not be reached.
    Unreachable,
    /// The gateway died while it held the try.
    Died,
    /// The client gave up or left early.
    Left,
}

/// One attempt of a try.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The backend's number.
    pub backend: usize,
    /// When the gateway sent the attempt.
    pub sent: Micros,
    /// The work of the attempt, in core microseconds.
    pub work: f64,
    /// The end of the attempt, once the gateway knows it.
    pub end: Option<(Micros, Outcome)>,
    reached: bool,
    at_backend: bool,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
    /// Index in [`Day::first_tries`] of the first try that this try is or repeats.
    pub first_try: u32,
    /// The number of retries before this try.
    pub number: u32,
    /// The gateway that receives the try.
    pub gateway: usize,
    incarnation: u32,
    /// When the client sent the try.
    pub sent: Micros,
    /// When the client's patience ends.
    pub patience_ends: Micros,
    /// When the gateway accepted the try.
    pub accepted_at: Option<Micros>,
    /// When the gateway ended the try, and the event that triggered the end.
    pub closed: Option<(Micros, Trigger)>,
    /// Whether the try was inside the quota when it was first sent to a backend.
    pub inside: Option<bool>,
    /// The event that triggered the first send.
    pub send_trigger: Trigger,
    /// For a try that the gateway ended without an attempt: the units in the customer's token bucket, and whether the
    /// customer's limit of open attempts permitted another attempt.
    pub bucket: Option<(f64, bool)>,
    /// The retry delay that the gateway advised.
    pub advice: Micros,
    /// The attempts of this try.
    pub attempts: Vec<Attempt>,
    /// How the try ended.
    pub ended: Ended,
    retry_decided: bool,
}

/// A call of a gateway to the counter.
struct Call {
    gateway: usize,
    /// Incarnation of the calling gateway's process; an answer to an older process is dropped.
    incarnation: u32,
    counter_incarnation: u32,
    name: u64,
    amount: f64,
    ttl: Micros,
    started: Micros,
    answer: Option<CountOutcome>,
    /// Whether the caller has received an outcome: the answer, or the timeout of the call.
    given_up: bool,
}

/// The idle connections of a gateway to one backend.
#[derive(Default)]
struct Pool {
    idle: Vec<Micros>,
}

struct GatewayState {
    zone: usize,
    /// Identifies the current process of the gateway; events scheduled for an earlier process are dropped.
    incarnation: u32,
    /// Absent while the decision maker handles an event, and while the process is down.
    decider: Option<Box<dyn Decider>>,
    up: bool,
    /// Whether the gateway shuts down and receives no new connections.
    shutting_down: bool,
    down_since: Option<Micros>,
    /// The number of changes of the backend list that the gateway has received from discovery.
    changes_seen: usize,
    pools: Vec<Pool>,
}

/// Totals of a whole day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Events that gateways handled.
    pub events: u64,
    /// Attempts that reached a backend.
    pub attempts: u64,
    /// Attempts that went to another zone.
    pub cross_zone_attempts: u64,
    /// New connections.
    pub handshakes: u64,
    /// Probes.
    pub probes: u64,
    /// Calls to the counter.
    pub calls: u64,
    /// Calls that got no answer in time.
    pub calls_unanswered: u64,
    /// Calls that the counter rejected.
    pub calls_rejected: u64,
    /// Work that backends did for attempts that were cancelled or failed, in core microseconds.
    pub wasted: f64,
    /// Backends that failed because of too much work during their cold start.
    pub cold_failures: u64,
    /// Lines written to the log.
    pub log_lines: u64,
    /// Connections that were started to backends that cannot be reached.
    pub unreachable_connects: u64,
}

/// A sample of the fleet, for plots.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The time of the sample.
    pub at: Micros,
    /// Requests held by all backends.
    pub held: usize,
    /// Requests in the backends' wait queues.
    pub waiting: usize,
    /// Gateways that run.
    pub gateways: usize,
    /// Backends that serve.
    pub backends: usize,
    /// Counter calls made so far.
    pub calls: u64,
}

/// The complete record of a simulated day.
pub struct Record {
    /// All tries, in the order in which clients sent them.
    pub tries: Vec<Try>,
    /// For each first try that was answered within the target latency: the time of the answer, and whether the answered
    /// try was within the quota. `None` for all other first tries.
    pub served: Vec<Option<(Micros, bool)>>,
    /// The totals.
    pub totals: Totals,
    /// Samples of the fleet, two per second.
    pub samples: Vec<Sample>,
    /// The judge with its breaches.
    pub judge: Judge,
}

/// A callback that records the events and actions of a gateway. Tests use it to check that a gateway depends only
/// on its events.
pub type Tap<'a> = &'a mut dyn FnMut(usize, u32, f64, &Event, &[Action]);

/// The simulated world of one day.
pub struct World<'a> {
    day: &'a Day,
    policy: &'a dyn Policy,
    now: Micros,
    /// Scheduled events; the heap returns the earliest one first.
    due: BinaryHeap<Scheduled>,
    /// Number of events scheduled so far; orders events of the same time and rank.
    scheduled_count: u64,
    /// Independent random streams: the network, the clients, the work of requests, and the delays of health reports.
    net: Random,
    client: Random,
    work: Random,
    peer_reports: Random,
    /// Index in [`Day::first_tries`] of the next first try to send.
    next_first_try: usize,
    gateways: Vec<GatewayState>,
    /// The simulated backends, by backend number.
    servers: Vec<Server>,
    counter: Counter,
    calls: Vec<Call>,
    tries: Vec<Try>,
    /// For each first try, the values of [`Record::served`].
    first_tries: Vec<Option<(Micros, bool)>>,
    /// For each customer, the token bucket across all gateways and the number of attempts in flight.
    buckets: Vec<(TokenBucket, u32)>,
    /// Units that each customer requested in the last second, with exponential decay. Only policies that see the true
    /// state ([`crate::decider`]) read these values.
    requested: Vec<f64>,
    /// Changes of backends that discovery has noticed: backend number, state, and time of the last start.
    change_log: Vec<(usize, BackendState, Option<Micros>)>,
    /// Number of entries of `change_log` that discovery has published.
    published: usize,
    /// Whether the next publication is scheduled.
    publishing: bool,
    /// Time at which discovery has written all full backend lists that gateways have requested so far.
    discovery_free: f64,
    judge: Judge,
    totals: Totals,
    samples: Vec<Sample>,
    /// Former samples of the true state, oldest first; the oldest is the state that [`StateView::Delayed`] shows.
    past_states: VecDeque<TrueState>,
    /// The latest sample of the true state, updated as attempts are sent and end.
    current_state: TrueState,
    customers: HashMap<Name, usize>,
    backends: HashMap<Name, usize>,
    tap: Option<Tap<'a>>,
}

impl<'a> World<'a> {
    /// Creates the world of a day whose gateways decide by this policy.
    pub fn new(day: &'a Day, policy: &'a dyn Policy) -> Self {
        let servers = day.backends.iter().map(|b| {
            let mut server = Server::new(b.speed);
            if b.starts.is_some() {
                server.state = ProcessState::Down;
            }
            server
        });
        let gateways = day.gateways.iter().map(|zone| GatewayState {
            zone: *zone,
            incarnation: 0,
            decider: None,
            up: false,
            shutting_down: false,
            down_since: None,
            changes_seen: 0,
            pools: Vec::new(),
        });
        let full_bucket = |customer: &crate::draw::Customer| {
            (TokenBucket { held: day.settings.plans[customer.plan].burst, at: 0 }, 0)
        };
        let started = |(number, b): (usize, &crate::draw::Backend)| {
            b.starts.is_none().then_some((number, BackendState::Ready, None))
        };
        let change_log: Vec<_> = day.backends.iter().enumerate().filter_map(started).collect();
        let mut world = Self {
            day,
            policy,
            now: 0,
            due: BinaryHeap::new(),
            scheduled_count: 0,
            net: Random::new(day.seed, "net", 0),
            client: Random::new(day.seed, "client", 0),
            work: Random::new(day.seed, "work", 0),
            peer_reports: Random::new(day.seed, "words", 0),
            next_first_try: 0,
            gateways: gateways.collect(),
            servers: servers.collect(),
            counter: Counter::new(&day.counter),
            calls: Vec::new(),
            tries: Vec::with_capacity(day.first_tries.len() * 2),
            first_tries: vec![None; day.first_tries.len()],
            buckets: day.customers.iter().map(full_bucket).collect(),
            requested: vec![0.0; day.customers.len()],
            published: change_log.len(),
            change_log,
            publishing: false,
            discovery_free: 0.0,
            judge: Judge::new(day.source.site.rules.clone()),
            totals: Totals::default(),
            samples: Vec::new(),
            past_states: VecDeque::new(),
            current_state: TrueState::default(),
            customers: numbers(&day.customers),
            backends: day.backends.iter().enumerate().map(|(n, b)| (b.name.clone(), n)).collect(),
            tap: None,
        };
        world.gateways.iter_mut().for_each(|state| state.changes_seen = world.published);
        for number in 0..world.gateways.len() {
            world.schedule(0, SimEvent::GatewayStarts(number));
        }
        world.schedule_day();
        world
    }

    /// Installs a callback that receives every event and its actions.
    pub fn with_tap(mut self, tap: Tap<'a>) -> Self {
        self.tap = Some(tap);
        self
    }

    /// Schedules the events that the day itself contains.
    fn schedule_day(&mut self) {
        for (number, backend) in self.day.backends.iter().enumerate() {
            if let Some(at) = backend.starts {
                self.schedule(at, SimEvent::BackendStarts(number));
            }
            if let Some((drains, stops)) = backend.drains {
                self.schedule(drains, SimEvent::BackendDrains(number));
                self.schedule(stops, SimEvent::BackendStops(number));
            }
        }
        for (number, trouble) in self.day.troubles.iter().enumerate() {
            self.schedule(trouble.from, SimEvent::Trouble(number, true));
            self.schedule(trouble.until, SimEvent::Trouble(number, false));
        }
        self.schedule(SAMPLE_INTERVAL, SimEvent::SampleState);
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.scheduled_count += 1;
        self.due.push(Scheduled::new(at.max(self.now), self.scheduled_count, event));
    }

    /// Simulates the day to its end.
    pub fn run(mut self) -> Record {
        let end = self.day.length + TAIL_TIME;
        loop {
            let next_first_try = self.day.first_tries.get(self.next_first_try).map(|first_try| first_try.at);
            let next = self.due.peek().map(|due| due.at);
            match (next_first_try, next) {
                (Some(at), next) if next.is_none_or(|next| at < next) => {
                    self.now = at;
                    let first_try = self.next_first_try as u32;
                    self.next_first_try += 1;
                    self.send_try(first_try, 0, None);
                }
                (_, Some(at)) if at <= end => {
                    self.now = at;
                    if let Some(due) = self.due.pop() {
                        self.handle(due.event);
                    }
                }
                _ => break,
            }
        }
        self.judge.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
        Record {
            tries: self.tries,
            served: self.first_tries,
            totals: self.totals,
            samples: self.samples,
            judge: self.judge,
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Trouble(number, begins) => self.apply_trouble(number, begins),
            SimEvent::BackendDrains(backend) => {
                self.servers[backend].draining = true;
                self.schedule_notice(backend, self.day.discovery.notice);
            }
            SimEvent::BackendStops(backend) => self.stop_backend(backend, ProcessState::Down),
            SimEvent::BackendStarts(backend) => self.start_backend(backend),
            SimEvent::StateNoticed(backend) => self.state_noticed(backend),
            SimEvent::CounterBack(incarnation) => {
                if self.counter.incarnation == incarnation {
                    self.counter.up = true;
                    self.counter.zone = (self.counter.zone + 1) % self.zones();
                }
            }
            SimEvent::GatewayDies(gateway) => self.kill_gateway(gateway),
            SimEvent::GatewayShutsDown(gateway, by) => {
                if self.gateways[gateway].up {
                    self.gateways[gateway].shutting_down = true;
                    self.gateways[gateway].down_since = Some(self.now);
                    self.deliver(gateway, Event::ShuttingDown { deadline: EPOCH + millis(by) });
                }
            }
            SimEvent::GatewayStarts(gateway) => self.start_gateway(gateway),
            SimEvent::PublishChanges => self.publish(),
            SimEvent::ListChanges(gateway, incarnation, upto) => {
                self.deliver_changes(gateway, incarnation, upto)
            }
            SimEvent::FullList(gateway, incarnation) => {
                if self.is_alive(gateway, incarnation) {
                    let (upto, lines) = (self.published, self.full_list(self.published));
                    self.gateways[gateway].changes_seen = upto;
                    self.deliver_list(gateway, lines, true);
                }
            }
            SimEvent::RequestFullList(gateway, incarnation) => self.request_full_list(gateway, incarnation),
            SimEvent::BackendProgress(backend, epoch) => {
                if self.servers[backend].epoch == epoch {
                    self.update_backend(backend);
                }
            }
            SimEvent::AttemptArrives(id, number) => self.attempt_arrives(id, number),
            SimEvent::CancelArrives(id, number) => self.cancel_arrives(id, number),
            SimEvent::CallArrives(call) => self.call_arrives(call),
            SimEvent::CallServed(call, incarnation) => self.call_served(call, incarnation),
            SimEvent::CallAnswered(call) => self.call_answered(call),
            SimEvent::CallTimesOut(call) => self.call_times_out(call),
            SimEvent::AttemptEnds(id, number, outcome) => self.end_attempt(id, number, outcome),
            SimEvent::PeerReport(gateway, incarnation, backend, down)
                if self.gateways[gateway].incarnation == incarnation =>
            {
                let backend = self.day.backends[backend].name.clone();
                self.deliver(gateway, Event::HealthReport { backend, down });
            }
            SimEvent::PeerReport(..) => {}
            SimEvent::ProbeEnds(gateway, incarnation, backend, up) => {
                if self.is_alive(gateway, incarnation) {
                    let outcome = if up { Outcome::Served } else { Outcome::ConnectFailed };
                    let backend = self.day.backends[backend].name.clone();
                    self.deliver(gateway, Event::ProbeEnded { backend, outcome, latency: 1.0, load: None });
                }
            }
            SimEvent::TryArrives(id) => self.try_arrives(id),
            SimEvent::Timer(gateway, incarnation, token) => {
                if self.is_alive(gateway, incarnation) {
                    self.deliver(gateway, Event::Timer { token });
                }
            }
            SimEvent::AttemptTimesOut(id, number) => {
                let attempt = &self.tries[id as usize].attempts[number as usize];
                if attempt.end.is_none() {
                    let outcome = if attempt.reached { Outcome::TimedOut } else { Outcome::ConnectFailed };
                    self.end_attempt(id, number, outcome);
                }
            }
            SimEvent::ClientLeaves(id) => self.client_leaves(id),
            SimEvent::ClientTimesOut(id) => {
                let client_try = &mut self.tries[id as usize];
                if client_try.ended == Ended::Open {
                    client_try.ended = Ended::Left;
                    self.schedule_retry(id, 0);
                }
            }
            SimEvent::AnswerOverdue(id) => {
                if self.judge.answer_overdue(self.now, u64::from(id)) {
                    self.client_leaves(id);
                }
            }
            SimEvent::AnswerArrives(id) => self.answer_arrives(id),
            SimEvent::ClientRetries(id) => {
                let (first_try, number) =
                    (self.tries[id as usize].first_try, self.tries[id as usize].number + 1);
                self.send_try(first_try, number, Some(id));
            }
            SimEvent::SampleState => self.sample_state(),
        }
    }

    // ---- Network ----

    fn zones(&self) -> usize {
        self.day.source.site.net.zones.len()
    }

    fn active_troubles(&self, kind: Kind) -> impl Iterator<Item = &'a crate::draw::Trouble> {
        let now = self.now;
        self.day.troubles.iter().filter(move |t| t.kind == kind && t.on(now))
    }

    /// Whether a partition separates two zones.
    fn partitioned(&self, a: usize, b: usize) -> bool {
        a != b && self.active_troubles(Kind::ZoneCut).any(|t| t.zone == a || t.zone == b)
    }

    /// The one-way latency between two zones, in microseconds.
    fn latency(&mut self, a: usize, b: usize) -> Micros {
        let net = &self.day.net;
        let base = if a == b { net.same_zone } else { net.cross_zone };
        (base * (1.0 + net.jitter * self.net.unit())) as Micros
    }

    fn client_latency(&mut self) -> Micros {
        (self.day.net.client * (1.0 + self.day.net.jitter * self.net.unit())) as Micros
    }

    // ---- Troubles ----

    fn apply_trouble(&mut self, number: usize, begins: bool) {
        let trouble = &self.day.troubles[number];
        let targets = trouble.targets.clone();
        match trouble.kind {
            Kind::GatewayCrash => {
                for gateway in targets {
                    if begins {
                        self.kill_gateway(gateway);
                    } else {
                        // The gateways restart at different times within half a second.
                        let at = self.now + (self.net.unit() * 500_000.0) as Micros;
                        self.schedule(at, SimEvent::GatewayStarts(gateway));
                    }
                }
            }
            Kind::GatewayRoll if begins => {
                let length = (trouble.until - trouble.from) / 10;
                let longest = self.day.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
                let rest = longest.max(3_000_000).min(longest + 700_000);
                for (place, gateway) in targets.iter().enumerate() {
                    let at = trouble.from + length * (place * 10 / targets.len()) as u64;
                    self.schedule(at, SimEvent::GatewayShutsDown(*gateway, at + rest));
                    self.schedule(at + rest, SimEvent::GatewayDies(*gateway));
                    self.schedule(at + rest + 300_000, SimEvent::GatewayStarts(*gateway));
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
                    self.update_backend(backend);
                }
            }
            Kind::Silent => {
                for backend in targets {
                    if begins {
                        self.stop_backend(backend, ProcessState::Silent)
                    } else {
                        self.start_backend(backend)
                    }
                }
            }
            Kind::ZoneLoss => {
                let zone = trouble.zone;
                for backend in 0..self.servers.len() {
                    if self.day.backends[backend].zone != zone {
                        continue;
                    }
                    if begins && self.servers[backend].state == ProcessState::Up {
                        self.stop_backend(backend, ProcessState::Silent);
                    } else if !begins && self.servers[backend].state == ProcessState::Silent {
                        self.start_backend(backend);
                    }
                }
                for gateway in 0..self.gateways.len() {
                    if self.gateways[gateway].zone == zone {
                        if begins {
                            self.kill_gateway(gateway)
                        } else {
                            self.schedule(self.now, SimEvent::GatewayStarts(gateway))
                        }
                    }
                }
                if begins && self.counter.zone == zone {
                    self.fail_counter();
                }
            }
            Kind::CounterDown if begins => {
                self.fail_counter();
                let (incarnation, at) = (self.counter.incarnation, trouble.until);
                self.schedule(at, SimEvent::CounterBack(incarnation));
            }
            _ => {}
        }
    }

    fn fail_counter(&mut self) {
        self.counter.drop_all();
        self.counter.up = false;
        self.schedule(self.now + self.day.counter.back, SimEvent::CounterBack(self.counter.incarnation));
    }

    // ---- Backends and discovery ----

    fn stop_backend(&mut self, backend: usize, state: ProcessState) {
        let server = &mut self.servers[backend];
        if server.state != ProcessState::Up {
            return;
        }
        server.advance(self.now, &self.day.machine);
        (server.state, server.epoch) = (state, server.epoch + 1);
        let held = server.drop_all();
        self.judge.end_cold_start(backend);
        if state == ProcessState::Down {
            // The connections to the backend are reset at both ends.
            for (id, number) in held {
                let gateway = self.tries[id as usize].gateway;
                let delay = self.latency(self.day.backends[backend].zone, self.gateways[gateway].zone);
                self.schedule(self.now + delay, SimEvent::AttemptEnds(id, number, Outcome::Broken));
            }
            self.drop_idle_connections(backend);
        }
        let discovery = &self.day.discovery;
        let notice = if state == ProcessState::Down { discovery.notice } else { discovery.silent_notice };
        self.schedule_notice(backend, notice);
    }

    /// Drops all idle connections to a backend.
    fn drop_idle_connections(&mut self, backend: usize) {
        let pools = self.gateways.iter_mut().filter_map(|state| state.pools.get_mut(backend));
        pools.for_each(|pool| pool.idle.clear());
    }

    fn start_backend(&mut self, backend: usize) {
        let server = &mut self.servers[backend];
        if server.state == ProcessState::Up {
            return;
        }
        let (epoch, speed) = (server.epoch + 1, self.day.backends[backend].speed);
        *server = Server::restarted(speed, self.now, epoch);
        self.drop_idle_connections(backend);
        self.judge.backend_started(backend);
        self.schedule_notice(backend, self.day.discovery.add);
    }

    /// Schedules the time at which discovery notices a change of the backend; the next publication contains it.
    fn schedule_notice(&mut self, backend: usize, after: Micros) {
        let late: f64 = self.active_troubles(Kind::ListsLate).map(|t| t.size * 1e6).sum();
        self.schedule(self.now + after + late as Micros, SimEvent::StateNoticed(backend));
    }

    fn state_noticed(&mut self, backend: usize) {
        let server = &self.servers[backend];
        let state = match (server.state, server.draining) {
            (ProcessState::Up, false) => BackendState::Ready,
            (ProcessState::Up, true) => BackendState::Draining,
            _ => BackendState::Gone,
        };
        let line = (backend, state, server.started);
        let last = self.change_log.iter().rev().find(|(listed, ..)| *listed == backend);
        if last == Some(&line) {
            return;
        }
        self.change_log.push(line);
        if !std::mem::replace(&mut self.publishing, true) {
            let period = self.day.discovery.period.max(1);
            self.schedule((self.now / period + 1) * period, SimEvent::PublishChanges);
        }
    }

    fn publish(&mut self) {
        (self.published, self.publishing) = (self.change_log.len(), false);
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].up {
                let wait = (self.net.unit() * self.day.discovery.spread as f64) as Micros;
                let incarnation = self.gateways[gateway].incarnation;
                self.schedule(self.now + wait, SimEvent::ListChanges(gateway, incarnation, self.published));
            }
        }
    }

    fn entry(&self, line: &(usize, BackendState, Option<Micros>)) -> BackendEntry {
        let (number, state, started) = *line;
        let backend = &self.day.backends[number];
        BackendEntry {
            name: backend.name.clone(),
            zone: self.day.source.site.net.zones[backend.zone].as_str().into(),
            cell: backend.cell,
            state,
            started: started.map(|at| EPOCH + millis(at)),
        }
    }

    /// The full backend list after the first `upto` entries of the change log.
    fn full_list(&self, upto: usize) -> Vec<(usize, BackendState, Option<Micros>)> {
        let mut last: Vec<Option<(usize, BackendState, Option<Micros>)>> = vec![None; self.servers.len()];
        self.change_log[..upto].iter().for_each(|line| last[line.0] = Some(*line));
        last.into_iter().flatten().filter(|line| line.1 != BackendState::Gone).collect()
    }

    fn deliver_changes(&mut self, gateway: usize, incarnation: u32, upto: usize) {
        if !self.is_alive(gateway, incarnation) || self.gateways[gateway].changes_seen >= upto {
            return;
        }
        let lines = self.change_log[self.gateways[gateway].changes_seen..upto].to_vec();
        self.gateways[gateway].changes_seen = upto;
        self.deliver_list(gateway, lines, false);
    }

    fn deliver_list(
        &mut self, gateway: usize, lines: Vec<(usize, BackendState, Option<Micros>)>, whole: bool,
    ) {
        if whole {
            for backend in 0..self.servers.len() {
                if !lines.iter().any(|line| line.0 == backend) {
                    self.judge.backend_unlisted(self.now, gateway, backend);
                }
            }
        }
        for (backend, state, _) in &lines {
            self.judge.backend_listed(self.now, gateway, *backend, *state == BackendState::Ready);
        }
        let entries = lines.iter().map(|line| self.entry(line)).collect();
        let event = if whole { Event::BackendList(entries) } else { Event::BackendChanges(entries) };
        self.deliver(gateway, event);
    }

    /// Discovery writes full backend lists one after another at a limited rate. A gateway retries later if its list
    /// would take too long.
    fn request_full_list(&mut self, gateway: usize, incarnation: u32) {
        if !self.is_alive(gateway, incarnation) {
            return;
        }
        let now = self.now as f64;
        let begins = self.discovery_free.max(now);
        let takes = self.day.discovery.line * self.servers.len() as f64;
        if begins + takes - now > self.day.discovery.timeout as f64 {
            let again = 500_000.0 + 1_500_000.0 * self.net.unit();
            return self
                .schedule(self.now + again as Micros, SimEvent::RequestFullList(gateway, incarnation));
        }
        self.discovery_free = begins + takes;
        self.schedule(self.discovery_free as Micros, SimEvent::FullList(gateway, incarnation));
    }

    // ---- Gateways ----

    fn is_alive(&self, gateway: usize, incarnation: u32) -> bool {
        self.gateways[gateway].incarnation == incarnation && self.gateways[gateway].up
    }

    fn start_gateway(&mut self, gateway: usize) {
        if self.gateways[gateway].up {
            return;
        }
        let zones = &self.day.source.site.net.zones;
        let settings = Settings {
            gateway_index: gateway as u32,
            zone: zones[self.gateways[gateway].zone].as_str().into(),
            ..self.day.settings.clone()
        };
        let incarnation = self.gateways[gateway].incarnation + 1;
        let seed = mix(self.day.seed ^ mix(gateway as u64 ^ (u64::from(incarnation) << 32)));
        let decider = match self.policy.start(settings, seed) {
            Ok(decider) => decider,
            Err(error) => {
                let what = format!("did not start: {error}");
                return self.judge.record_breach(self.now, gateway, None, Rule::Protocol, what);
            }
        };
        let backends = self.servers.len();
        let state = &mut self.gateways[gateway];
        (state.incarnation, state.decider, state.shutting_down, state.down_since) =
            (incarnation, Some(decider), false, None);
        state.up = true;
        state.pools = (0..backends).map(|_| Pool::default()).collect();
        let remembered = self.full_list(self.gateways[gateway].changes_seen);
        self.deliver_list(gateway, remembered, true);
        if incarnation > 1 {
            self.request_full_list(gateway, incarnation);
        }
    }

    fn kill_gateway(&mut self, gateway: usize) {
        let state = &mut self.gateways[gateway];
        if !std::mem::replace(&mut state.up, false) {
            return;
        }
        state.decider = None;
        state.down_since.get_or_insert(self.now);
        let incarnation = state.incarnation;
        let open: Vec<usize> = state.pools.drain(..).map(|pool| pool.idle.len()).collect();
        for (backend, count) in open.into_iter().enumerate() {
            self.servers[backend].connections = self.servers[backend].connections.saturating_sub(count);
        }
        self.judge.gateway_died(gateway);
        let longest = self.day.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let recent = self.tries.partition_point(|t| t.sent + longest + 1_000_000 < self.now);
        for id in recent as u32..self.tries.len() as u32 {
            let client_try = &self.tries[id as usize];
            if client_try.gateway != gateway
                || client_try.incarnation != incarnation
                || client_try.accepted_at.is_none()
            {
                continue;
            }
            for number in 0..client_try.attempts.len() as u32 {
                self.abandon_attempt(id, number);
            }
            let client_try = &mut self.tries[id as usize];
            if client_try.closed.is_none() {
                client_try.closed = Some((self.now, Trigger::Other));
                if client_try.ended == Ended::Open {
                    client_try.ended = Ended::Died;
                    let delay = self.client_latency();
                    self.schedule(self.now + delay, SimEvent::AnswerArrives(id));
                }
            }
        }
    }

    /// Ends the connection of an attempt whose gateway has died.
    fn abandon_attempt(&mut self, id: u32, number: u32) {
        let now = self.now;
        let attempt = &mut self.tries[id as usize].attempts[number as usize];
        if attempt.end.is_some() {
            return;
        }
        attempt.end = Some((now, Outcome::CalledOff));
        let backend = attempt.backend;
        self.close_connection(backend);
        self.attempt_over(id);
        self.drop_at_backend(id, number);
    }

    fn close_connection(&mut self, backend: usize) {
        let server = &mut self.servers[backend];
        server.connections = server.connections.saturating_sub(1);
    }

    fn attempt_over(&mut self, id: u32) {
        let customer = self.day.first_tries[self.tries[id as usize].first_try as usize].customer as usize;
        self.buckets[customer].1 = self.buckets[customer].1.saturating_sub(1);
        if let Some(bucket) = self.current_state.buckets.get_mut(customer) {
            bucket.in_flight = bucket.in_flight.saturating_sub(1);
        }
    }

    fn drop_at_backend(&mut self, id: u32, number: u32) {
        let client_try = &self.tries[id as usize];
        let (gateway, attempt) = (client_try.gateway, client_try.attempts[number as usize]);
        let zone = self.day.backends[attempt.backend].zone;
        if !self.partitioned(self.gateways[gateway].zone, zone) {
            let delay = self.latency(self.gateways[gateway].zone, zone);
            self.schedule(self.now + delay, SimEvent::CancelArrives(id, number));
        }
    }

    /// Passes an event to a gateway and carries out the gateway's actions. Events that these actions cause immediately
    /// are queued for the gateway.
    fn deliver(&mut self, gateway: usize, event: Event) {
        let trigger = match &event {
            Event::Request(_) => Trigger::Arrival,
            Event::Counted { .. } => Trigger::Counted,
            Event::Timer { .. } => Trigger::Timer,
            Event::AttemptEnded(_) => Trigger::Attempt,
            _ => Trigger::Other,
        };
        let Some(mut decider) = self.gateways[gateway].decider.take() else { return };
        let mut line = VecDeque::from([event]);
        let mut actions = Vec::new();
        let mut rounds = 0;
        while let Some(event) = line.pop_front() {
            self.totals.events += 1;
            let now = EPOCH + millis(self.now);
            let recorded = self.tap.is_some().then(|| event.clone());
            let state = match self.policy.state_view() {
                StateView::Delayed => self.past_states.front().unwrap_or(&self.current_state),
                _ => &self.current_state,
            };
            let view = TrueStateView { state, customers: &self.customers, backends: &self.backends };
            decider.handle(now, event, &view, &mut actions);
            if let (Some(tap), Some(event)) = (&mut self.tap, recorded) {
                tap(gateway, self.gateways[gateway].incarnation, now, &event, &actions);
            }
            for action in actions.drain(..) {
                self.carry_out(gateway, action, trigger, &mut line);
            }
            rounds += 1;
            if rounds == MAX_ROUNDS {
                let what = "never came to rest".into();
                self.judge.record_breach(self.now, gateway, None, Rule::Protocol, what);
                break;
            }
        }
        self.gateways[gateway].decider = Some(decider);
    }

    fn carry_out(&mut self, gateway: usize, action: Action, trigger: Trigger, line: &mut VecDeque<Event>) {
        let (now, incarnation) = (self.now, self.gateways[gateway].incarnation);
        match action {
            Action::Send { id, backend, timeout, .. } => {
                if let Some(unsent) = self.send(gateway, id, &backend, timeout, trigger) {
                    line.push_back(unsent);
                }
            }
            Action::Refuse { id, retry_after } => self.final_answer(gateway, id, true, retry_after, trigger),
            Action::Fail { id } => self.final_answer(gateway, id, false, 0.0, trigger),
            Action::CallOff { id, attempt } => {
                let known = self.tries.get(id as usize).filter(|t| t.gateway == gateway);
                match known.and_then(|t| t.attempts.get(attempt as usize)) {
                    None => {
                        let what = "called off an attempt that was never made".into();
                        self.judge.record_breach(now, gateway, Some(id), Rule::Protocol, what);
                    }
                    Some(attempt_of) if attempt_of.end.is_none() => {
                        line.extend(self.finish_attempt(id as u32, attempt, Outcome::CalledOff));
                    }
                    Some(_) => {}
                }
            }
            Action::SetTimer { after, token } => {
                if !after.is_finite() {
                    let what = "set a timer that never ends".into();
                    return self.judge.record_breach(now, gateway, None, Rule::Protocol, what);
                }
                // Rounds up to whole microseconds: the gateway's clock has a finer resolution than the simulation, and
                // a timer must not fire early.
                let wait = (after.max(0.0) * 1000.0).ceil() as Micros;
                self.schedule(now + wait.max(1), SimEvent::Timer(gateway, incarnation, token));
            }
            Action::Probe { backend } => {
                self.totals.probes += 1;
                let Some(number) = self.backends.get(&backend).copied() else { return };
                let zone = self.day.backends[number].zone;
                let up = self.servers[number].state == ProcessState::Up
                    && !self.partitioned(self.gateways[gateway].zone, zone);
                let delay = 2 * self.latency(self.gateways[gateway].zone, zone);
                if up {
                    self.servers[number].advance(now, &self.day.machine);
                    self.servers[number].add_load(self.day.machine.probe_work);
                    self.update_backend(number);
                }
                self.schedule(now + delay, SimEvent::ProbeEnds(gateway, incarnation, number, up));
            }
            Action::AddToCounter { name, amount, ttl } => self.call_counter(gateway, name, amount, ttl),
            Action::Log(_) => self.totals.log_lines += 1,
            Action::HealthObserved { backend, down, .. } => self.report_to_peers(gateway, &backend, down),
            Action::Broadcast { .. } | Action::WatchBackends => {}
        }
    }

    /// Broadcasts a gateway's health report about a backend to the other gateways, except those behind a partition.
    /// Each receiver gets the report after its own random delay, which covers the report, its entry in the group's log
    /// and the notification of the receiver. Loss of the group's majority and rate limits of reports are not modelled.
    fn report_to_peers(&mut self, gateway: usize, backend: &Name, down: bool) {
        let Some(delay) = self.day.source.peer_report_ms else { return };
        let Some(number) = self.backends.get(backend).copied() else { return };
        for other in (0..self.gateways.len()).filter(|other| *other != gateway) {
            let partitioned = self.partitioned(self.gateways[gateway].zone, self.gateways[other].zone);
            if self.gateways[other].up && !partitioned {
                let at = self.now + (self.peer_reports.within(delay) * 1000.0) as Micros;
                self.schedule(
                    at,
                    SimEvent::PeerReport(other, self.gateways[other].incarnation, number, down),
                );
            }
        }
    }

    // ---- Requests ----

    /// Sends a client's first try or a retry.
    fn send_try(&mut self, first_try: u32, number: u32, before: Option<u32>) {
        let first = &self.day.first_tries[first_try as usize];
        let class = &self.day.classes[usize::from(first.class)];
        let give_up: f64 = self.active_troubles(Kind::GiveUp).map(|t| t.size).product();
        let last = before.map(|id| &self.tries[id as usize]);
        let deadline = first.at + class.deadline;
        let patience = (class.deadline as f64 * self.day.clients.patience * give_up) as Micros;
        let patience_ends = (self.now + patience).min(deadline);
        let elsewhere = self.client.happens(self.day.clients.elsewhere);
        let customer = first.customer as usize;
        let mut gateway = match last {
            Some(last) if !elsewhere => last.gateway,
            _ => {
                let random = self.client.unit();
                self.day.gateway_of(customer, self.now, random)
            }
        };
        // The front (the load balancer) skips gateways that it has detected as down. During a trouble of the kind
        // [`Kind::ZoneShift`], the front also moves a share of the traffic away from the affected zone.
        for _ in 0..8 {
            let down = self.gateways[gateway].down_since;
            let noticed = down.is_some_and(|since| {
                let notice = if self.gateways[gateway].shutting_down {
                    300_000
                } else {
                    self.day.clients.front_notice
                };
                self.now > since + notice
            });
            let zone = self.gateways[gateway].zone;
            let shifted =
                self.active_troubles(Kind::ZoneShift).map(|t| if t.zone == zone { t.size } else { 0.0 });
            let chance = shifted.fold(0.0, f64::max);
            let passed = noticed || chance > 0.0 && self.client.happens(chance);
            if !passed {
                break;
            }
            let random = self.client.unit();
            gateway = self.day.gateway_of(customer, self.now, random);
        }
        let id = self.tries.len() as u32;
        self.tries.push(Try {
            first_try,
            number,
            gateway,
            incarnation: 0,
            sent: self.now,
            patience_ends,
            accepted_at: None,
            closed: None,
            inside: None,
            send_trigger: Trigger::Other,
            bucket: None,
            advice: 0,
            attempts: Vec::new(),
            ended: Ended::Open,
            retry_decided: false,
        });
        let delay = self.client_latency();
        self.schedule(self.now + delay, SimEvent::TryArrives(id));
        if self.client.happens(self.day.clients.impatient) {
            let wait = (patience_ends - self.now) as f64 * self.client.unit();
            self.schedule(self.now + wait as Micros, SimEvent::ClientLeaves(id));
        }
    }

    fn try_arrives(&mut self, id: u32) {
        let (gateway, first_try) =
            (self.tries[id as usize].gateway, self.tries[id as usize].first_try as usize);
        if !self.gateways[gateway].up {
            self.tries[id as usize].ended = Ended::Unreachable;
            let delay = self.client_latency();
            return self.schedule(self.now + delay, SimEvent::AnswerArrives(id));
        }
        let first = &self.day.first_tries[first_try];
        let customer = &self.day.customers[first.customer as usize];
        let class = &self.day.classes[usize::from(first.class)];
        self.requested[first.customer as usize] += 1.0;
        let client_try = &mut self.tries[id as usize];
        if client_try.ended != Ended::Open {
            return;
        }
        (client_try.incarnation, client_try.accepted_at) =
            (self.gateways[gateway].incarnation, Some(self.now));
        let (patience_ends, number) = (client_try.patience_ends, client_try.number);
        let overdue = self.judge.request_accepted(gateway, u64::from(id), class.once, patience_ends);
        self.schedule(patience_ends, SimEvent::ClientTimesOut(id));
        self.schedule(overdue, SimEvent::AnswerOverdue(id));
        let arrival = Arrival {
            id: u64::from(id),
            customer: customer.name.clone(),
            plan: self.day.settings.plans[customer.plan].name.clone(),
            class: class.name.clone(),
            units: 1.0,
            repeat: number > 0,
            deadline: EPOCH + millis(patience_ends),
            first_gateway: customer.first as u32,
            spread: customer.spread as u32,
        };
        self.deliver(gateway, Event::Request(arrival));
    }

    /// Handles a client that has left: notifies its gateway and cancels its attempts.
    fn client_leaves(&mut self, id: u32) {
        let client_try = &mut self.tries[id as usize];
        if client_try.ended == Ended::Open {
            client_try.ended = Ended::Left;
        }
        let (gateway, incarnation) = (client_try.gateway, client_try.incarnation);
        if client_try.accepted_at.is_none()
            || client_try.closed.is_some()
            || !self.is_alive(gateway, incarnation)
        {
            return;
        }
        self.tries[id as usize].closed = Some((self.now, Trigger::Other));
        self.judge.client_left(u64::from(id));
        self.deliver(gateway, Event::ClientLeft { id: u64::from(id) });
        for number in 0..self.tries[id as usize].attempts.len() as u32 {
            if self.tries[id as usize].attempts[number as usize].end.is_none() {
                self.end_attempt(id, number, Outcome::CalledOff);
            }
        }
    }

    /// Carries out a final answer that does not come from a backend.
    fn final_answer(&mut self, gateway: usize, id: u64, refused: bool, advice: f64, trigger: Trigger) {
        if !self.judge.final_answer(self.now, gateway, id, refused) {
            return;
        }
        let first_try = self.tries[id as usize].first_try as usize;
        let (plan, held) = self.quota_store(first_try);
        let client_try = &mut self.tries[id as usize];
        client_try.closed = Some((self.now, trigger));
        if client_try.attempts.is_empty() {
            client_try.bucket = Some((
                held,
                plan.open == 0
                    || self.buckets[self.day.first_tries[first_try].customer as usize].1 < plan.open,
            ));
        }
        client_try.advice = if advice.is_finite() { micros(advice) } else { 0 };
        if client_try.ended == Ended::Open {
            client_try.ended = if refused { Ended::Refused } else { Ended::Failed };
            let delay = self.client_latency();
            self.schedule(self.now + delay, SimEvent::AnswerArrives(id as u32));
        }
    }

    /// The plan of a first try's customer, and the customer's token bucket across all gateways, refilled up to now.
    fn quota_store(&mut self, first_try: usize) -> (&'a doorcourse::Plan, f64) {
        let customer = self.day.first_tries[first_try].customer as usize;
        let plan = &self.day.settings.plans[self.day.customers[customer].plan];
        (plan, self.buckets[customer].0.fill(self.now, plan.rate, plan.burst))
    }

    fn answer_arrives(&mut self, id: u32) {
        let client_try = &self.tries[id as usize];
        if let Ended::Served(at) = client_try.ended {
            let (first_try, inside) = (client_try.first_try as usize, client_try.inside == Some(true));
            let aim = self.day.classes[usize::from(self.day.first_tries[first_try].class)].aim;
            if at <= self.day.first_tries[first_try].at + aim && self.first_tries[first_try].is_none() {
                self.first_tries[first_try] = Some((at, inside));
            }
            return;
        }
        let advice = client_try.advice;
        self.schedule_retry(id, advice);
    }

    fn schedule_retry(&mut self, id: u32, advice: Micros) {
        let client_try = &mut self.tries[id as usize];
        if std::mem::replace(&mut client_try.retry_decided, true) {
            return;
        }
        let (number, ended, first_try) = (client_try.number, client_try.ended, client_try.first_try as usize);
        let first = &self.day.first_tries[first_try];
        let class = &self.day.classes[usize::from(first.class)];
        let harmless = matches!(ended, Ended::Refused | Ended::Unreachable);
        let more: f64 = self.active_troubles(Kind::ComeAgain).map(|t| t.size).sum();
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
        if at + MIN_TIME_LEFT_FOR_RETRY < first.at + class.deadline {
            self.schedule(at, SimEvent::ClientRetries(id));
        }
    }

    // ---- Attempts ----

    /// Sends an attempt. Returns its end if the attempt cannot be sent.
    fn send(
        &mut self, gateway: usize, id: u64, name: &Name, timeout: f64, trigger: Trigger,
    ) -> Option<Event> {
        let backend = self.backends.get(name).copied();
        let known = self.tries.get(id as usize).filter(|t| t.gateway == gateway && t.accepted_at.is_some());
        let known = known.is_some();
        let allowed = self.judge.attempt_sent(self.now, gateway, id, backend) && known;
        let (Some(backend), true) = (backend, allowed) else {
            let finished = self.tries.get(id as usize).is_none_or(|t| t.closed.is_some());
            return Some(unsent_end(id, name.clone(), finished));
        };
        let id = id as u32;
        let first_try = self.tries[id as usize].first_try as usize;
        let customer = self.day.first_tries[first_try].customer as usize;
        if self.tries[id as usize].inside.is_none() {
            let (plan, held) = self.quota_store(first_try);
            let inside = held >= 1.0 && (plan.open == 0 || self.buckets[customer].1 < plan.open);
            if inside {
                self.buckets[customer].0.held -= 1.0;
                if let Some(bucket) = self.current_state.buckets.get_mut(customer) {
                    bucket.held -= 1.0;
                }
            }
            let client_try = &mut self.tries[id as usize];
            (client_try.inside, client_try.send_trigger) = (Some(inside), trigger);
            self.judge.draw_from_ceiling(self.now, gateway, u64::from(id), customer, plan);
        }
        self.buckets[customer].1 += 1;
        if let Some(bucket) = self.current_state.buckets.get_mut(customer) {
            bucket.in_flight += 1;
        }
        if let Some(load) = self.current_state.loads.get_mut(backend) {
            *load += 0.5;
        }

        let (here, there) = (self.gateways[gateway].zone, self.day.backends[backend].zone);
        if here != there {
            self.totals.cross_zone_attempts += 1;
        }
        let machine = &self.day.machine;
        let idle = &mut self.gateways[gateway].pools[backend].idle;
        let oldest = self.now.saturating_sub(machine.idle);
        let before = idle.len();
        idle.retain(|used| *used >= oldest);
        let expired = before - idle.len();
        let pooled = idle.pop().is_some();
        self.servers[backend].connections = self.servers[backend].connections.saturating_sub(expired);
        let noise = self.day.classes[usize::from(self.day.first_tries[first_try].class)].attempt_noise;
        let work = self.day.first_tries[first_try].work * self.work.lognormal(noise);
        let delay = self.latency(here, there);
        let partitioned = self.partitioned(here, there);
        let mut fails = None;
        let mut arrives = self.now + delay;
        if !pooled {
            self.totals.handshakes += 1;
            let rtt = delay + self.latency(there, here);
            let state = self.servers[backend].state;
            self.totals.unreachable_connects += u64::from(partitioned || state != ProcessState::Up);
            if partitioned || state == ProcessState::Silent {
                fails = Some(self.now + machine.connect_timeout);
            } else if state == ProcessState::Down || self.servers[backend].connections >= machine.connections
            {
                fails = Some(self.now + rtt);
            } else {
                let server = &mut self.servers[backend];
                server.advance(self.now, machine);
                server.add_load(machine.handshake_work);
                self.update_backend(backend);
                arrives += (rtt as f64 * machine.handshake_rtts) as Micros;
            }
            self.servers[backend].connections += 1;
        }
        let number = self.tries[id as usize].attempts.len() as u32;
        let attempt =
            Attempt { backend, sent: self.now, work, end: None, reached: pooled, at_backend: false };
        self.tries[id as usize].attempts.push(attempt);
        match fails {
            Some(at) => self.schedule(at, SimEvent::AttemptEnds(id, number, Outcome::ConnectFailed)),
            None if !partitioned => self.schedule(arrives, SimEvent::AttemptArrives(id, number)),
            None => {}
        }
        let patience_ends = self.tries[id as usize].patience_ends;
        let limit = if timeout.is_finite() { self.now + micros(timeout) } else { patience_ends };
        self.schedule(limit.min(patience_ends).max(self.now + 1), SimEvent::AttemptTimesOut(id, number));
        None
    }

    fn attempt_arrives(&mut self, id: u32, number: u32) {
        let client_try = &mut self.tries[id as usize];
        let (gateway, first_try) = (client_try.gateway, client_try.first_try as usize);
        let attempt = &mut client_try.attempts[number as usize];
        if attempt.end.is_some() {
            return;
        }
        attempt.reached = true;
        let (backend, work) = (attempt.backend, attempt.work);
        let (here, there) = (self.gateways[gateway].zone, self.day.backends[backend].zone);
        if self.servers[backend].state == ProcessState::Silent || self.partitioned(here, there) {
            return;
        }
        self.totals.attempts += 1;
        let delay = self.latency(here, there);
        let server = &self.servers[backend];
        if server.state == ProcessState::Down {
            return self.schedule(self.now + delay, SimEvent::AttemptEnds(id, number, Outcome::Broken));
        }
        let reset: f64 = self.active_troubles(Kind::Resets).map(|t| t.size).sum();
        if reset > 0.0 && self.net.happens(reset) {
            return self.schedule(self.now + delay, SimEvent::AttemptEnds(id, number, Outcome::Broken));
        }
        let machine = &self.day.machine;
        let server = &self.servers[backend];
        let warm = server.warm_share(self.now, machine) >= 1.0;
        let capacity = server.capacity(self.now, machine);
        if warm {
            self.judge.end_cold_start(backend);
        } else {
            let start_known = self.knows_start(gateway, backend);
            let load =
                BackendLoad { backend, work: self.day.first_tries[first_try].work, capacity, start_known };
            if self.judge.work_arrived(self.now, gateway, u64::from(id), &load) {
                self.totals.cold_failures += 1;
                self.stop_backend(backend, ProcessState::Down);
                return self.schedule(self.now + delay, SimEvent::AttemptEnds(id, number, Outcome::Broken));
            }
        }
        let server = &self.servers[backend];
        if server.draining {
            return self.schedule(self.now + delay, SimEvent::AttemptEnds(id, number, Outcome::Full));
        }
        let failing = server.failing.max(machine.error_share);
        if failing > 0.0 && self.work.happens(failing) {
            return self.schedule(self.now + delay + 1000, SimEvent::AttemptEnds(id, number, Outcome::Error));
        }
        let server = &mut self.servers[backend];
        server.advance(self.now, machine);
        match server.accept((id, number), work, machine) {
            Acceptance::Accepted => {
                self.tries[id as usize].attempts[number as usize].at_backend = true;
                self.update_backend(backend);
            }
            Acceptance::QueueFull => {
                self.schedule(self.now + delay, SimEvent::AttemptEnds(id, number, Outcome::Full))
            }
        }
    }

    /// Whether the gateway's backend list contains the backend's last start.
    fn knows_start(&self, gateway: usize, backend: usize) -> bool {
        let started = self.servers[backend].started;
        let seen = &self.change_log[..self.gateways[gateway].changes_seen];
        seen.iter().rev().find(|line| line.0 == backend).is_some_and(|line| line.2 == started)
    }

    /// Updates a backend to the current time: sends its answers and schedules the next update.
    fn update_backend(&mut self, backend: usize) {
        let machine = &self.day.machine;
        if self.servers[backend].state != ProcessState::Up {
            return;
        }
        self.servers[backend].advance(self.now, machine);
        while let Some(((id, number), work)) = self.servers[backend].take_completed(machine) {
            let client_try = &mut self.tries[id as usize];
            let (gateway, attempt) = (client_try.gateway, &mut client_try.attempts[number as usize]);
            attempt.at_backend = false;
            if attempt.end.is_some() {
                self.totals.wasted += work;
                continue;
            }
            let (there, here) = (self.day.backends[backend].zone, self.gateways[gateway].zone);
            let lost: f64 = self.active_troubles(Kind::AnswersLost).map(|t| t.size).sum();
            if self.partitioned(here, there) || lost > 0.0 && self.net.happens(lost) {
                self.totals.wasted += work;
                continue;
            }
            let delay = self.latency(there, here);
            self.schedule(self.now + delay, SimEvent::AttemptEnds(id, number, Outcome::Served));
        }
        let server = &mut self.servers[backend];
        server.epoch += 1;
        if let Some(at) = server.next_update(self.now, machine) {
            let epoch = server.epoch;
            self.schedule(at, SimEvent::BackendProgress(backend, epoch));
        }
    }

    fn cancel_arrives(&mut self, id: u32, number: u32) {
        let attempt = &self.tries[id as usize].attempts[number as usize];
        let backend = attempt.backend;
        if !attempt.at_backend || self.servers[backend].state != ProcessState::Up {
            return;
        }
        let machine = &self.day.machine;
        self.servers[backend].advance(self.now, machine);
        if let Some(done) = self.servers[backend].cancel((id, number), machine) {
            self.totals.wasted += done;
            self.tries[id as usize].attempts[number as usize].at_backend = false;
            self.update_backend(backend);
        }
    }

    /// Handles the end of an attempt at its gateway.
    fn end_attempt(&mut self, id: u32, number: u32, outcome: Outcome) {
        if let Some(event) = self.finish_attempt(id, number, outcome) {
            let gateway = self.tries[id as usize].gateway;
            self.deliver(gateway, event);
        }
    }

    fn finish_attempt(&mut self, id: u32, number: u32, outcome: Outcome) -> Option<Event> {
        let now = self.now;
        let client_try = &mut self.tries[id as usize];
        let (gateway, incarnation) = (client_try.gateway, client_try.incarnation);
        let attempt = &mut client_try.attempts[number as usize];
        if attempt.end.is_some() {
            return None;
        }
        attempt.end = Some((now, outcome));
        let (backend, latency, work) = (attempt.backend, millis(now - attempt.sent), attempt.work);
        self.attempt_over(id);
        if matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Full)
            && self.is_alive(gateway, incarnation)
        {
            self.gateways[gateway].pools[backend].idle.push(now);
        } else {
            self.close_connection(backend);
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::CalledOff) {
            self.drop_at_backend(id, number);
        }
        self.judge.attempt_ended(u64::from(id), outcome);
        if !self.is_alive(gateway, incarnation) {
            return None;
        }
        let client_try = &mut self.tries[id as usize];
        if outcome == Outcome::Served {
            if client_try.closed.is_none() {
                client_try.closed = Some((now, Trigger::Attempt));
                self.judge.final_answer(now, gateway, u64::from(id), false);
                let delay = self.client_latency();
                let client_try = &mut self.tries[id as usize];
                if client_try.ended == Ended::Open {
                    client_try.ended = Ended::Served(now + delay);
                    self.schedule(now + delay, SimEvent::AnswerArrives(id));
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

    /// The backend's load report, with noise.
    fn report(&mut self, backend: usize) -> LoadReport {
        let noise = 1.0 + self.day.machine.report_noise * (self.net.unit() * 2.0 - 1.0);
        let server = &self.servers[backend];
        LoadReport {
            inflight: Some(server.held() as f64 * noise),
            queue: Some(server.queue_len() as f64 * noise),
            service_time: None,
        }
    }

    // ---- Counter ----

    fn call_counter(&mut self, gateway: usize, name: u64, amount: f64, ttl: f64) {
        if name >= 1 << 63 || !amount.is_finite() || amount.abs() > 1e9 || ttl.is_nan() || ttl < 1.0 {
            let what = format!("asked the counter for {name} {amount} {ttl}");
            return self.judge.record_breach(self.now, gateway, None, Rule::Protocol, what);
        }
        self.totals.calls += 1;
        let number = self.calls.len() as u32;
        let ttl = micros(ttl.min(60_000.0));
        let (incarnation, counter_incarnation) =
            (self.gateways[gateway].incarnation, self.counter.incarnation);
        let call = Call {
            gateway,
            incarnation,
            counter_incarnation,
            name,
            amount,
            ttl,
            started: self.now,
            answer: None,
            given_up: false,
        };
        self.calls.push(call);
        let delay = self.latency(self.gateways[gateway].zone, self.counter.zone);
        self.schedule(self.now + self.day.counter.timeout, SimEvent::CallTimesOut(number));
        if !self.partitioned(self.gateways[gateway].zone, self.counter.zone) {
            self.schedule(self.now + delay, SimEvent::CallArrives(number));
        }
    }

    fn call_arrives(&mut self, number: u32) {
        let call = &mut self.calls[number as usize];
        let (name, gateway) = (call.name, call.gateway);
        call.counter_incarnation = self.counter.incarnation;
        if !self.counter.up {
            call.answer = Some(CountOutcome::NotAdded);
        } else {
            match self.counter.enqueue(self.now, name, &self.day.counter) {
                CallAdmission::At(at) => {
                    return self.schedule(at, SimEvent::CallServed(number, self.counter.incarnation));
                }
                CallAdmission::Rejected => {
                    self.totals.calls_rejected += 1;
                    call.answer = Some(CountOutcome::NotAdded);
                }
            }
        }
        let delay = self.latency(self.counter.zone, self.gateways[gateway].zone);
        self.schedule(self.now + delay, SimEvent::CallAnswered(number));
    }

    fn call_served(&mut self, number: u32, incarnation: u32) {
        if self.counter.incarnation != incarnation || !self.counter.up {
            return;
        }
        let call = &mut self.calls[number as usize];
        let total = self.counter.add(self.now, call.name, call.amount, call.ttl);
        call.answer = Some(CountOutcome::Total(total));
        let gateway = call.gateway;
        if !self.partitioned(self.gateways[gateway].zone, self.counter.zone) {
            let delay = self.latency(self.counter.zone, self.gateways[gateway].zone);
            self.schedule(self.now + delay, SimEvent::CallAnswered(number));
        }
    }

    fn call_answered(&mut self, number: u32) {
        let call = &mut self.calls[number as usize];
        let (gateway, incarnation, name, amount) = (call.gateway, call.incarnation, call.name, call.amount);
        let latency = millis(self.now - call.started);
        let outcome = match (call.answer, call.given_up) {
            (Some(CountOutcome::Total(total)), true) => CountOutcome::Late { total, amount },
            (Some(outcome), false) => outcome,
            _ => return,
        };
        call.given_up = true;
        if self.is_alive(gateway, incarnation) {
            self.deliver(gateway, Event::Counted { name, outcome, latency });
        }
    }

    fn call_times_out(&mut self, number: u32) {
        let call = &mut self.calls[number as usize];
        if std::mem::replace(&mut call.given_up, true) {
            return;
        }
        self.totals.calls_unanswered += 1;
        let (gateway, incarnation, name) = (call.gateway, call.incarnation, call.name);
        if self.is_alive(gateway, incarnation) {
            let latency = millis(self.day.counter.timeout);
            self.deliver(gateway, Event::Counted { name, outcome: CountOutcome::Unknown, latency });
        }
    }

    // ---- Samples ----

    fn sample_state(&mut self) {
        if self.policy.state_view() != StateView::None {
            let plans = &self.day.settings.plans;
            let customers = &self.day.customers;
            let requested = &mut self.requested;
            let fade = (-(SAMPLE_INTERVAL as f64) / 1e6).exp();
            requested.iter_mut().for_each(|requested| *requested *= fade);
            let rows = self.buckets.iter_mut().zip(customers).zip(requested);
            let buckets = rows.map(|(((bucket, out), customer), requested)| {
                let plan = &plans[customer.plan];
                let held = bucket.fill(self.now, plan.rate, plan.burst);
                TrueQuota { held, in_flight: *out, requested: *requested }
            });
            let machine = &self.day.machine;
            let now = self.now;
            let loads = self.servers.iter().map(|server| {
                let usable = server.state == ProcessState::Up && !server.draining && server.failing == 0.0;
                let capacity = server.capacity(now, machine) / server.slowness;
                if usable { server.held() as f64 / capacity.max(1e-9) } else { f64::INFINITY }
            });
            let state = TrueState { buckets: buckets.collect(), loads: loads.collect() };
            self.past_states.push_back(std::mem::replace(&mut self.current_state, state));
            if self.past_states.len() > (DELAYED_VIEW_AGE / SAMPLE_INTERVAL) as usize {
                self.past_states.pop_front();
            }
        }
        if self.now.is_multiple_of(500_000) {
            self.samples.push(Sample {
                at: self.now,
                held: self.servers.iter().map(Server::held).sum(),
                waiting: self.servers.iter().map(Server::queue_len).sum(),
                gateways: self.gateways.iter().filter(|state| state.up).count(),
                backends: self.servers.iter().filter(|s| s.state == ProcessState::Up && !s.draining).count(),
                calls: self.totals.calls,
            });
        }
        if self.now < self.day.length + TAIL_TIME {
            self.schedule(self.now + SAMPLE_INTERVAL, SimEvent::SampleState);
        }
    }
}

/// The end of an attempt that was never sent.
fn unsent_end(id: u64, backend: Name, finished: bool) -> Event {
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
