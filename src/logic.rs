//! All decisions of a gateway. Its interface (settings, events, actions) is in `src/interface.rs`.
//! A request passes three gates: its customer's quota (`Customer`: units leased from a shared counter), the
//! customer's concurrency cap, and a backend below its in-flight limit (`Backend`).

mod backends;
mod counter;
mod live;
mod quota;
mod requests;

use crate::check::check;
use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use {backends::*, quota::*, requests::*};

/// Time between housekeeping rounds, in ms: short compared with any latency target.
const HOUSEKEEPING_INTERVAL: Millis = 25.0;
const HOUSEKEEPING_TOKEN: u64 = 1;
const SHUTDOWN_TOKEN: u64 = 3;

fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}

fn unit_interval(x: u64) -> f64 {
    (mix(x) >> 11) as f64 / (1u64 << 53) as f64
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct Backend {
    zone: Name,
    cell: u64,
    state: BackendState,
    detached: bool, // taken out of use by operators
    /// When operators last put the backend back into use; the backend may have been restarted meanwhile.
    returned: Option<Millis>,
    started: Option<Millis>,
    /// When this gateway last sent the backend an attempt, and when the backend last answered one.
    sent: Millis,
    #[serde(rename = "heard")]
    answered_at: Millis,
    #[serde(skip)]
    in_flight: u32,
    /// Maximum attempts in flight from this gateway; follows latencies, but never below `min_limit`.
    #[serde(rename = "room")]
    limit: f64,
    #[serde(rename = "least")]
    min_limit: f64,
    failures: u32, // in a row
    eject_until: Millis,
    #[serde(rename = "own")]
    preferred: bool, // see `PREFERRED_BACKENDS`
    #[serde(skip)]
    name_hash: u64,
    #[serde(skip)]
    same_zone: bool,
}

#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct Customer {
    plan: usize, // index in the settings
    /// How many gateways serve the customer, and this gateway's place among them.
    spread: f64,
    place: u32,
    salt: u64,   // hash of the name; staggers the windows of customers
    window: u64, // number of the current window
    /// Leased units that are not yet spent; they expire with the window.
    lease: f64,
    /// Units that this gateway has added to the window's count, and the last total (count) received.
    added: f64,
    #[serde(rename = "seen")]
    last_total: f64,
    /// Estimated tokens of the customer's fleet-wide bucket: follows the totals, refilled at the plan's rate.
    #[serde(rename = "store")]
    tokens: f64,
    #[serde(rename = "store_at")]
    tokens_at: Millis,
    known: bool, // whether any total has been received
    #[serde(rename = "heard")]
    last_total_at: Millis,
    /// Units spent but not yet added to the count at the counter; if negative, units to subtract from it.
    #[serde(rename = "owed")]
    debt: f64,
    /// The counter call in progress: its window, the requested lease, and the debt that it reports.
    #[serde(skip)]
    call: Option<(u64, f64, f64)>,
    /// Calls on the window's count that timed out: requested lease, reported debt, time of the timeout.
    #[serde(skip)]
    unanswered: Vec<(f64, f64, Millis)>,
    #[serde(skip)]
    waiting: VecDeque<RequestId>,
    demand: f64,       // smoothed, in units per ms
    demand_at: Millis, // time of the last request
    /// In a large fleet, a gateway that knows a quota is spent makes no counter call before this time.
    #[serde(rename = "ask_from")]
    next_call_at: Millis,
    /// This gateway's even share of the tokens, spent while the counter is silent, and its last refill time.
    slice: Option<(f64, Millis)>,
    #[serde(skip)]
    in_flight: u32,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    #[default]
    AwaitingLease,
    Queued,
    Sent,
}

#[derive(Default)]
struct Request {
    customer: Name,
    plan: usize,
    class: usize,
    units: f64,
    /// Admitted without a total of its customer's count.
    unverified: bool,
    repeat: bool, // a client's retry of an earlier request
    arrived: Millis,
    /// When the answer has to leave: `RESERVED_TICKS` before the client's deadline.
    answer_by: Millis,
    admitted_at: Option<Millis>,
    hold_until: Millis,
    stage: Stage,
    attempts: u32,
    may_have_run: Option<(Millis, Name)>, // send time and backend of the first such attempt
    /// An attempt consumed part of the request body, so that no further attempt is possible.
    body_consumed: bool,
    sent_at: Millis,
    sent_to: Option<Name>,
}

/// Leases, totals and learned values for a successor process; attempts in flight stay with the old one.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HandoverState {
    customers: BTreeMap<Name, Customer>,
    backends: BTreeMap<Name, Backend>,
    #[serde(rename = "plan_room")]
    plan_odds: Vec<f64>,
    class_latency: Vec<f64>,
    #[serde(rename = "ease")]
    call_share: f64,
    late: f64,
}

/// One gateway: build it from settings and a seed, then feed it events.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    random: u64,
    now: Millis,
    backends: BTreeMap<Name, Backend>,
    customers: BTreeMap<Name, Customer>,
    requests: BTreeMap<RequestId, Request>,
    queue: VecDeque<RequestId>,
    calls: BTreeMap<u64, Name>, // counts with calls in progress, and the customer of each
    /// Counts with calls that timed out, and the customer of each.
    lost_calls: BTreeMap<u64, Name>,
    /// The share of due counter calls that are made; falls while the counter replies slowly.
    call_share: f64,
    /// For each plan, the smoothed share of customers whose first total leaves units to spend.
    plan_odds: Vec<f64>,
    failed_calls: u32,       // in a row
    counter_back_at: Millis, // end of the last counter silence
    last_counter_reply: Millis,
    silence_logged: bool,
    class_latency: Vec<f64>, // smoothed mean latency of each class, in ms
    class_answers: Vec<f64>, // answers behind each mean
    /// Share of late answers of all backends, smoothed.
    late: f64,
    started_up: bool,
    retry_budget: f64,   // retries that may be sent now; see `RETRY_RATIO`
    too_late: u64,       // requests given up because the expected answer would miss the deadline
    retries_denied: u64, // retries not sent because the budget was spent
    shutdown_at: Option<Millis>,
}

impl Gateway {
    /// Creates a gateway without backends, customers or learned values.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let class_latency = vec![0.0; settings.classes.len()];
        let class_answers = class_latency.clone();
        let plan_odds = vec![1.0; settings.plans.len()];
        let (random, retry_budget) = (mix(seed | 1), max_retry_budget(&settings));
        let learned = Self { plan_odds, class_latency, class_answers, ..Self::default() };
        Ok(Self { settings, random, call_share: 1.0, retry_budget, ..learned })
    }

    /// Handles one event and appends the actions that the host has to carry out.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.started_up, true) {
            out.push(Action::SetTimer { after: HOUSEKEEPING_INTERVAL, token: HOUSEKEEPING_TOKEN });
            if self.settings.list_on_request {
                out.push(Action::WatchBackends);
            }
        }
        match event {
            Event::BackendList(list) => self.on_list(list, true, out),
            Event::BackendChanges(list) => self.on_list(list, false, out),
            Event::BackendListFailed => out.push(Action::WatchBackends),
            Event::Request(arrival) => self.on_request(arrival, out),
            Event::AttemptEnded(end) => {
                self.record_outcome(&end, out);
                self.on_attempt_ended(end, out);
                self.drain_queue(out);
            }
            Event::Detach { backend } => self.on_detach(backend, true, out),
            Event::Attach { backend } => self.on_detach(backend, false, out),
            Event::HealthReport { backend, down } => self.on_health_report(&backend, down, out),
            Event::ClientLeft { id } => self.remove_request(id),
            Event::ShuttingDown { deadline } => self.on_shutdown(deadline, out),
            Event::Timer { token: HOUSEKEEPING_TOKEN } => self.on_housekeeping(out),
            Event::Timer { token: SHUTDOWN_TOKEN } => self.on_shutdown_deadline(out),
            Event::Timer { token } => self.on_hold_timeout(token / 2, out),
            Event::Counted { name, outcome, latency } => self.on_counted(name, outcome, latency, out),
            Event::PeerMessage { .. } | Event::StreamStarted { .. } | Event::ProbeEnded { .. } => {}
        }
    }

    /// Returns the state for a successor process and zeroes leases and slices here: none is spent twice.
    pub fn hand_over(&mut self) -> HandoverState {
        let customers = self.customers.clone();
        for customer in self.customers.values_mut() {
            (customer.lease, customer.debt, customer.added) = (0.0, 0.0, 0.0);
            customer.slice = Some((0.0, self.now));
        }
        let (backends, plan_odds) = (self.backends.clone(), self.plan_odds.clone());
        let (class_latency, call_share, late) = (self.class_latency.clone(), self.call_share, self.late);
        HandoverState { customers, backends, plan_odds, class_latency, call_share, late }
    }

    /// Continues from another process's state and clock. The host sends the operators' detachments again.
    pub fn take_over(&mut self, state: HandoverState, now: Millis) {
        self.now = now;
        let HandoverState { mut customers, backends, plan_odds, class_latency, call_share, late } = state;
        customers.retain(|_, customer| customer.plan < self.settings.plans.len());
        (self.customers, self.late) = (customers, late);
        self.call_share = call_share.clamp(MIN_CALL_SHARE, 1.0);
        self.backends = backends;
        for (name, backend) in &mut self.backends {
            (backend.detached, backend.name_hash) = (false, hash(name));
            backend.same_zone = backend.zone == self.settings.zone;
        }
        if plan_odds.len() == self.plan_odds.len() {
            self.plan_odds = plan_odds;
        }
        if class_latency.len() == self.class_latency.len() {
            self.class_latency = class_latency;
            self.class_answers.fill(1.0 / LATENCY_WEIGHT);
        }
    }

    /// Whether the fleet is so large that one gateway sees too few answers of each backend. Backends are then
    /// chosen at random, and the state of the fleet is estimated from the answers of all backends together.
    fn large_fleet(&self) -> bool {
        INITIAL_LIMIT < MIN_LIMIT * f64::from(self.settings.gateways)
    }

    /// Load shedding against overload of any cause: the share of fresh requests that a large fleet admits.
    fn admit_share(&self) -> f64 {
        (1.0 - SHED_SLOPE * (self.late - LATE_TARGET)).clamp(MIN_ADMIT_SHARE, 1.0)
    }

    /// Decides by chance whether load shedding admits a fresh request; a class of low worth is shed first.
    fn admits_fresh(&mut self, class: usize, unverified: bool) -> bool {
        self.late *= 1.0 - NEWEST_WEIGHT * NEWEST_WEIGHT;
        let classes = &self.settings.classes;
        let mean = classes.iter().map(|c| c.worth).sum::<f64>() / classes.len() as f64;
        let rank = mean / classes[class].worth.max(1e-9) * if unverified { UNVERIFIED_FACTOR } else { 1.0 };
        let share = self.admit_share().powf(rank);
        !self.large_fleet() || self.chance() < share
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit_interval(self.random)
    }

    fn on_housekeeping(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: HOUSEKEEPING_INTERVAL, token: HOUSEKEEPING_TOKEN });
        let now = self.now;
        let mut callers = Vec::new();
        let plans = &self.settings.plans;
        let customers = &self.customers;
        self.lost_calls.retain(|_, name| customers.get(name).is_some_and(|c| !c.unanswered.is_empty()));
        self.customers.retain(|name, customer| {
            let plan = &plans[customer.plan];
            let (idle, window_length) = (now - customer.demand_at, Customer::window_length(plan));
            customer.roll_window(now, plan);
            let scarce = customer.tokens < plan.burst * SCARCE_SHARE;
            if scarce && idle > window_length * LEASE_SHARE && customer.lease >= 1.0 {
                let lease = std::mem::take(&mut customer.lease);
                (customer.debt, customer.tokens) = (customer.debt - lease, customer.tokens + lease);
            }
            let due = !customer.sampled(plan) && customer.debt.abs() >= (plan.burst * LEASE_SHARE).max(1.0);
            if customer.call.is_none() && (due || !customer.waiting.is_empty()) {
                callers.push(name.clone());
            }
            let busy = customer.call.is_some() || customer.in_flight > 0 || !customer.waiting.is_empty();
            busy || idle < window_length * IDLE_WINDOWS
        });
        if !self.counter_silent() {
            for name in callers {
                self.call_counter(&name, out);
            }
        }
        self.drain_queue(out);
    }
}
