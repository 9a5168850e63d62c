//! The decision makers of simulated gateways: the library's decisions, and baseline policies to compare them with.
//! Every decision maker receives the same events and returns the same kinds of action. Only the policies with
//! access to the true state read the [`TrueStateView`]; all others must ignore it.
//!
//! The true state is the state of the whole simulated world, such as the load of each backend and the quota left to
//! each customer. Real gateways cannot observe the true state. The baselines with access to the true state set the top
//! of the score ([`crate::results::ScoreRange`]).

use crate::draw::{Customer, Micros};
use doorcourse::{
    Action, AttemptEnd, BackendEntry, BackendState, Event, Gateway, Idempotency, Millis, Name, Outcome,
    RequestId, Settings, SettingsError,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The true state of the simulated world, which no real gateway can observe.
#[derive(Clone, Debug, Default)]
pub struct TrueState {
    /// The token bucket of each customer across all gateways, by customer number.
    pub buckets: Vec<TrueQuota>,
    /// Requests held by each backend per unit of its capacity; infinite for a backend that cannot serve.
    pub loads: Vec<f64>,
}

/// The true state of one customer's quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueQuota {
    /// Units left in the customer's token bucket.
    pub held: f64,
    /// Attempts in flight for the customer.
    pub in_flight: u32,
    /// Units requested in the last second.
    pub requested: f64,
}

/// The data that a decision maker may read besides its events.
pub struct TrueStateView<'a> {
    /// The true state, current or delayed according to the policy's [`StateView`].
    pub state: &'a TrueState,
    /// Customer numbers by name.
    pub customers: &'a HashMap<Name, usize>,
    /// Backend numbers by name.
    pub backends: &'a HashMap<Name, usize>,
}

/// The decisions of one gateway.
pub trait Decider: Send {
    /// Handles one event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Millis, event: Event, view: &TrueStateView<'_>, out: &mut Vec<Action>);
}

/// Delay of the true state for [`StateView::Delayed`], in microseconds. The delay equals that of load reports at the
/// built-in site (`plant.toml`).
pub const DELAYED_VIEW_AGE: Micros = 300_000;

/// How a policy sees the true state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateView {
    /// The policy knows only what its events contain.
    None,
    /// The policy sees the current state.
    Current,
    /// The policy sees the state of [`DELAYED_VIEW_AGE`] ago.
    Delayed,
}

/// A way for gateways to decide.
pub trait Policy: Sync {
    /// The policy's name in results.
    fn name(&self) -> &str;
    /// Which view of the true state the policy's gateways get.
    fn state_view(&self) -> StateView {
        StateView::None
    }
    /// Creates the decision maker of a gateway that has just started.
    ///
    /// # Errors
    /// When the settings are invalid.
    fn start(&self, settings: Settings, seed: u64) -> Result<Box<dyn Decider>, SettingsError>;
}

/// The library's decisions, without access to the true state.
pub struct Library;

struct LibraryDecider(Gateway);

impl Decider for LibraryDecider {
    fn handle(&mut self, now: Millis, event: Event, _: &TrueStateView<'_>, out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}

impl Policy for Library {
    fn name(&self) -> &str {
        "module"
    }

    fn start(&self, settings: Settings, seed: u64) -> Result<Box<dyn Decider>, SettingsError> {
        Ok(Box::new(LibraryDecider(Gateway::new(settings, seed)?)))
    }
}

/// How a baseline policy admits requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Admits every request.
    All,
    /// Admits requests within an equal share of the quota for each gateway of the customer's set.
    EvenSplit,
    /// Calls the counter for every try and admits the try if the window's total is within the burst. Without an
    /// answer it admits the try.
    CountEach,
    /// Admits requests that the customer's token bucket across all gateways covers.
    TrueState(StateView),
}

/// A baseline policy to compare the library's decisions with.
pub struct Baseline {
    name: &'static str,
    admission: Admission,
}

/// The baselines: admit all, even split, one counter call per try, current true state, delayed true state.
pub const BASELINES: [Baseline; 5] = [
    Baseline { name: "all-in", admission: Admission::All },
    Baseline { name: "even-split", admission: Admission::EvenSplit },
    Baseline { name: "count-each", admission: Admission::CountEach },
    Baseline { name: "sees-now", admission: Admission::TrueState(StateView::Current) },
    Baseline { name: "sees-late", admission: Admission::TrueState(StateView::Delayed) },
];

impl Policy for Baseline {
    fn name(&self) -> &str {
        self.name
    }

    fn state_view(&self) -> StateView {
        if let Admission::TrueState(state_view) = self.admission { state_view } else { StateView::None }
    }

    fn start(&self, settings: Settings, seed: u64) -> Result<Box<dyn Decider>, SettingsError> {
        let sees_true_state = matches!(self.admission, Admission::TrueState(_));
        Ok(Box::new(BaselineDecider {
            admission: self.admission,
            sees_true_state,
            settings: Arc::new(settings),
            random: seed | 1,
            backends: BTreeMap::new(),
            requests: BTreeMap::new(),
            buckets: HashMap::new(),
            pending_counts: HashMap::new(),
        }))
    }
}

struct BackendView {
    ready: bool,
    in_flight: u32,
    avoid_until: Millis,
}

struct PendingRequest {
    arrival: doorcourse::Arrival,
    class: usize,
    plan: usize,
    attempts: u32,
    may_have_run: bool,
}

/// A baseline gateway: admission, then the least loaded backend, and one retry where a retry is safe.
struct BaselineDecider {
    admission: Admission,
    sees_true_state: bool,
    settings: Arc<Settings>,
    random: u64,
    backends: BTreeMap<Name, BackendView>,
    requests: BTreeMap<RequestId, PendingRequest>,
    buckets: HashMap<Name, (f64, Millis)>,
    /// By name of the counter value: the tries that wait for the counter's answer, in the order of the calls.
    pending_counts: HashMap<u64, Vec<(RequestId, f64)>>,
}

/// Requests held per unit of backend capacity above which a policy that sees the true state sends no more requests
/// of the highest worth. The limit is lower for requests of lower worth.
const MAX_SEEN_LOAD: f64 = 6.0;

impl BaselineDecider {
    fn random_unit(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (crate::draw::mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn admit(&mut self, now: Millis, id: RequestId, view: &TrueStateView<'_>, out: &mut Vec<Action>) {
        let chance = self.random_unit();
        let request = &self.requests[&id];
        let plan = &self.settings.plans[request.plan];
        let worth_serving = plan.over_worth > plan.over_cost;
        let fits = match self.admission {
            Admission::All => true,
            Admission::EvenSplit => {
                let gateways = f64::from(request.arrival.spread.max(1));
                let burst = (plan.burst / gateways).max(1.0);
                let (left, at) = self.buckets.get(&request.arrival.customer).copied().unwrap_or((burst, now));
                let left = (left + plan.rate / gateways * (now - at) / 1000.0).min(burst);
                let fits = left >= 1.0;
                self.buckets
                    .insert(request.arrival.customer.clone(), (left - f64::from(u8::from(fits)), now));
                fits
            }
            Admission::CountEach => {
                let window_length = plan.burst / plan.rate * 1000.0;
                let window = (now / window_length) as u64;
                let name: &str = &request.arrival.customer;
                let window_key = name.bytes().fold(window, |h, b| crate::draw::mix(h ^ u64::from(b)));
                let granted = plan.burst;
                self.pending_counts.entry(window_key >> 1).or_default().push((id, granted));
                out.push(Action::AddToCounter { name: window_key >> 1, amount: 1.0, ttl: window_length });
                return;
            }
            Admission::TrueState(state_view) => {
                let number = view.customers.get(&request.arrival.customer).copied();
                let unknown = TrueQuota { held: plan.burst, ..TrueQuota::default() };
                let seen = number.and_then(|n| view.state.buckets.get(n)).copied().unwrap_or(unknown);
                let has_slot = plan.open == 0 || seen.in_flight < plan.open;
                // With a delayed state, the policy admits a random share of the requests: the share that the units in
                // the token bucket and the refill during the delay can cover.
                let age_s = DELAYED_VIEW_AGE as f64 / 1e6;
                let admit_share = (seen.held - 0.5 + plan.rate * age_s) / (seen.requested * age_s).max(1e-9);
                let fits =
                    if state_view == StateView::Current { seen.held >= 1.0 } else { chance < admit_share };
                fits && has_slot
            }
        };
        if fits || worth_serving && self.sees_true_state {
            self.send(now, id, view, out)
        } else {
            self.refuse(id, out)
        }
    }

    fn refuse(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.remove(&id);
        out.push(Action::Refuse { id, retry_after: self.settings.max_retry_after });
    }

    fn send(&mut self, now: Millis, id: RequestId, view: &TrueStateView<'_>, out: &mut Vec<Action>) {
        let mut best: Option<(f64, Name)> = None;
        let random = self.random_unit();
        let count = self.backends.len().max(1);
        let start = (random * count as f64) as usize;
        // With a delayed state, the policy compares only two randomly chosen backends. Otherwise every gateway would
        // choose the same backends, because all gateways see the same outdated loads.
        let candidates = if self.admission == Admission::TrueState(StateView::Delayed) { 2 } else { count };
        let usable = |(_, k): &(&Name, &BackendView)| k.ready && now >= k.avoid_until;
        let step = 1 + (random * 7919.0) as usize % 17;
        let ring = self.backends.iter().cycle().skip(start).take(count * 2).step_by(if candidates == 2 {
            step
        } else {
            1
        });
        for (name, known) in ring.filter(usable).take(candidates) {
            let seen = view.backends.get(name).and_then(|n| view.state.loads.get(*n));
            let load = match (self.sees_true_state, seen) {
                (true, Some(load)) => *load + f64::from(known.in_flight) * 0.5,
                _ => f64::from(known.in_flight),
            };
            if best.as_ref().is_none_or(|(least, _)| load < *least) {
                best = Some((load, name.clone()));
            }
        }
        let request =
            self.requests.get_mut(&id).filter(|request| request.attempts < self.settings.max_attempts);
        let (Some((load, name)), Some(request)) = (best, request) else { return self.refuse(id, out) };
        let max_worth = self.settings.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        let max_price = self.settings.plans.iter().map(|p| p.price).fold(0.0, f64::max);
        let worth = self.settings.classes[request.class].worth * self.settings.plans[request.plan].price;
        let max_load = MAX_SEEN_LOAD * (0.3 + 0.7 * worth / (max_worth * max_price).max(1e-9));
        if self.sees_true_state && request.attempts == 0 && load > max_load {
            return self.refuse(id, out);
        }
        request.attempts += 1;
        let timeout = request.arrival.deadline - 2.0 * self.settings.tick - now;
        if let Some(known) = self.backends.get_mut(&name) {
            known.in_flight += 1;
        }
        out.push(Action::Send { id, backend: name, timeout, quota_wait: 0.0 });
    }

    fn attempt_ended(
        &mut self, now: Millis, end: AttemptEnd, view: &TrueStateView<'_>, out: &mut Vec<Action>,
    ) {
        if let Some(known) = self.backends.get_mut(&end.backend) {
            known.in_flight = known.in_flight.saturating_sub(1);
            if end.outcome != Outcome::Served {
                known.avoid_until = now + 300.0;
            }
        }
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        if end.finished {
            self.requests.remove(&end.id);
            return;
        }
        let never_ran = matches!(end.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
        request.may_have_run |= !never_ran;
        let safe = self.settings.classes[request.class].idempotency == Idempotency::Safe;
        let time_left = request.arrival.deadline - now > 4.0 * self.settings.tick;
        if time_left && request.attempts < 2 && (safe || !request.may_have_run) {
            self.send(now, end.id, view, out);
        } else if request.may_have_run && !safe {
            self.requests.remove(&end.id);
            out.push(Action::Fail { id: end.id });
        } else {
            self.refuse(end.id, out);
        }
    }

    fn update_list(&mut self, list: Vec<BackendEntry>, whole: bool) {
        if whole {
            self.backends.values_mut().for_each(|known| known.ready = false);
        }
        for entry in list {
            let new = BackendView { ready: false, in_flight: 0, avoid_until: 0.0 };
            let known = self.backends.entry(entry.name).or_insert(new);
            known.ready = entry.state == BackendState::Ready;
        }
    }
}

impl Decider for BaselineDecider {
    fn handle(&mut self, now: Millis, event: Event, view: &TrueStateView<'_>, out: &mut Vec<Action>) {
        match event {
            Event::BackendList(list) => self.update_list(list, true),
            Event::BackendChanges(list) => self.update_list(list, false),
            Event::Request(arrival) => {
                let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
                let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
                let id = arrival.id;
                let (Some(class), Some(plan)) = (class, plan) else {
                    return out.push(Action::Refuse { id, retry_after: 0.0 });
                };
                let request = PendingRequest { arrival, class, plan, attempts: 0, may_have_run: false };
                self.requests.insert(id, request);
                self.admit(now, id, view, out);
            }
            Event::AttemptEnded(end) => self.attempt_ended(now, end, view, out),
            Event::ClientLeft { id } => drop(self.requests.remove(&id)),
            Event::Counted { name, outcome, .. } => {
                if matches!(outcome, doorcourse::CountOutcome::Late { .. }) {
                    return;
                }
                let Some(waiting) = self.pending_counts.get_mut(&name).filter(|w| !w.is_empty()) else {
                    return;
                };
                let (id, granted) = waiting.remove(0);
                if waiting.is_empty() {
                    self.pending_counts.remove(&name);
                }
                if !self.requests.contains_key(&id) {
                    return;
                }
                match outcome {
                    doorcourse::CountOutcome::Total(total) if total > granted => self.refuse(id, out),
                    _ => self.send(now, id, view, out),
                }
            }
            _ => {}
        }
    }
}

/// Maps customer names to numbers. For customers that share a name, the first number is used.
pub fn numbers(customers: &[Customer]) -> HashMap<Name, usize> {
    let mut by_name = HashMap::new();
    for (number, customer) in customers.iter().enumerate() {
        by_name.entry(customer.name.clone()).or_insert(number);
    }
    by_name
}
