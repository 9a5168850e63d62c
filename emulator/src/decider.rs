//! What decides in a gateway of the world: the library's decisions, or a policy to hold them against. All get the
//! same events and give the same actions. Only the seeing policies look at the sight; honest ones must not.

use crate::draw::{Customer, Micros};
use doorcourse::{
    Action, AttemptEnd, BackendEntry, BackendState, Event, Gateway, Idempotency, Millis, Name, Outcome,
    RequestId, Settings, SettingsError,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The true state of the world, which no real gateway sees.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// The customers' stores.
    pub stores: Vec<SeenStore>,
    /// What each backend holds for each unit of capacity; infinite where it cannot serve.
    pub loads: Vec<f64>,
}

/// What is true of one customer.
#[derive(Clone, Copy, Debug, Default)]
pub struct SeenStore {
    /// What its store holds.
    pub held: f64,
    /// Attempts out for it.
    pub out: u32,
    /// Units asked for in the last second.
    pub asked: f64,
}

/// What a decider may look at beside its events.
pub struct Sight<'a> {
    /// The truth, at once or late.
    pub truth: &'a Truth,
    /// Numbers of customers by name.
    pub customers: &'a HashMap<Name, usize>,
    /// Numbers of backends by name.
    pub backends: &'a HashMap<Name, usize>,
}

/// One gateway's decisions.
pub trait Decider: Send {
    /// Takes one event and appends what is to be done.
    fn handle(&mut self, now: Millis, event: Event, sight: &Sight<'_>, out: &mut Vec<Action>);
}

/// How late the truth is for who sees it late, in microseconds: as late as load reports are at the plant.
pub const SEES_LATE: Micros = 300_000;

/// How late a policy sees the truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seeing {
    /// It sees nothing that its events do not tell.
    Nothing,
    /// It sees the present.
    Now,
    /// It sees what was true [`SEES_LATE`] ago.
    Late,
}

/// How gateways decide.
pub trait Policy: Sync {
    /// Its name in results.
    fn name(&self) -> &str;
    /// What its gateways see.
    fn seeing(&self) -> Seeing {
        Seeing::Nothing
    }
    /// A gateway that has just started.
    ///
    /// # Errors
    /// When the settings cannot be used.
    fn start(&self, settings: Settings, seed: u64) -> Result<Box<dyn Decider>, SettingsError>;
}

/// The library's decisions.
pub struct Honest;

struct Linked(Gateway);

impl Decider for Linked {
    fn handle(&mut self, now: Millis, event: Event, _: &Sight<'_>, out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}

impl Policy for Honest {
    fn name(&self) -> &str {
        "module"
    }

    fn start(&self, settings: Settings, seed: u64) -> Result<Box<dyn Decider>, SettingsError> {
        Ok(Box::new(Linked(Gateway::new(settings, seed)?)))
    }
}

/// How a plain policy lets requests in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// All.
    All,
    /// What fits an even part of the quota for each gateway of the set.
    EvenSplit,
    /// What a call to the counter for each try says is inside the window; all, without an answer.
    CountEach,
    /// What the true store holds.
    Seeing(Seeing),
}

/// A policy to hold the decisions against.
pub struct Plain {
    name: &'static str,
    gate: Gate,
}

/// The baselines: let all in, even split, a call for each try, seeing now, seeing late.
pub const BASELINES: [Plain; 5] = [
    Plain { name: "all-in", gate: Gate::All },
    Plain { name: "even-split", gate: Gate::EvenSplit },
    Plain { name: "count-each", gate: Gate::CountEach },
    Plain { name: "sees-now", gate: Gate::Seeing(Seeing::Now) },
    Plain { name: "sees-late", gate: Gate::Seeing(Seeing::Late) },
];

impl Policy for Plain {
    fn name(&self) -> &str {
        self.name
    }

    fn seeing(&self) -> Seeing {
        if let Gate::Seeing(seeing) = self.gate { seeing } else { Seeing::Nothing }
    }

    fn start(&self, settings: Settings, seed: u64) -> Result<Box<dyn Decider>, SettingsError> {
        let sees = matches!(self.gate, Gate::Seeing(_));
        Ok(Box::new(Door {
            gate: self.gate,
            sees,
            settings: Arc::new(settings),
            random: seed | 1,
            backends: BTreeMap::new(),
            requests: BTreeMap::new(),
            stores: HashMap::new(),
            asked: HashMap::new(),
        }))
    }
}

struct Known {
    ready: bool,
    out: u32,
    sour_until: Millis,
}

struct Held {
    arrival: doorcourse::Arrival,
    class: usize,
    plan: usize,
    attempts: u32,
    may_have_run: bool,
}

/// A plain gateway: its gate, then the least loaded backend, and one further try where that is safe.
struct Door {
    gate: Gate,
    sees: bool,
    settings: Arc<Settings>,
    random: u64,
    backends: BTreeMap<Name, Known>,
    requests: BTreeMap<RequestId, Held>,
    stores: HashMap<Name, (f64, Millis)>,
    /// Tries that wait for the count of this name, in the order of the calls.
    asked: HashMap<u64, Vec<(RequestId, f64)>>,
}

/// Requests held for each core of a backend beyond which a seeing policy sends nothing more, for the worthiest.
const SEEN_LOAD: f64 = 6.0;

impl Door {
    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (crate::draw::mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn admit(&mut self, now: Millis, id: RequestId, sight: &Sight<'_>, out: &mut Vec<Action>) {
        let chance = self.chance();
        let held = &self.requests[&id];
        let plan = &self.settings.plans[held.plan];
        let pays = plan.over_worth > plan.over_cost;
        let fits = match self.gate {
            Gate::All => true,
            Gate::EvenSplit => {
                let part = f64::from(held.arrival.spread.max(1));
                let most = (plan.burst / part).max(1.0);
                let (left, at) = self.stores.get(&held.arrival.customer).copied().unwrap_or((most, now));
                let left = (left + plan.rate / part * (now - at) / 1000.0).min(most);
                let fits = left >= 1.0;
                self.stores.insert(held.arrival.customer.clone(), (left - f64::from(u8::from(fits)), now));
                fits
            }
            Gate::CountEach => {
                let turn = plan.burst / plan.rate * 1000.0;
                let window = (now / turn) as u64;
                let name: &str = &held.arrival.customer;
                let salt = name.bytes().fold(window, |h, b| crate::draw::mix(h ^ u64::from(b)));
                let granted = plan.burst;
                self.asked.entry(salt >> 1).or_default().push((id, granted));
                out.push(Action::AddToCounter { name: salt >> 1, amount: 1.0, ttl: turn });
                return;
            }
            Gate::Seeing(seeing) => {
                let number = sight.customers.get(&held.arrival.customer).copied();
                let unknown = SeenStore { held: plan.burst, ..SeenStore::default() };
                let seen = number.and_then(|n| sight.truth.stores.get(n)).copied().unwrap_or(unknown);
                let open = plan.open == 0 || seen.out < plan.open;
                // Who sees late lets in by chance what fits until it will see the present.
                let span = SEES_LATE as f64 / 1e6;
                let fitting = (seen.held - 0.5 + plan.rate * span) / (seen.asked * span).max(1e-9);
                let fits = if seeing == Seeing::Now { seen.held >= 1.0 } else { chance < fitting };
                fits && open
            }
        };
        if fits || pays && self.sees { self.send(now, id, sight, out) } else { self.refuse(id, out) }
    }

    fn refuse(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.remove(&id);
        out.push(Action::Refuse { id, retry_after: self.settings.max_retry_after });
    }

    fn send(&mut self, now: Millis, id: RequestId, sight: &Sight<'_>, out: &mut Vec<Action>) {
        let mut best: Option<(f64, Name)> = None;
        let luck = self.chance();
        let count = self.backends.len().max(1);
        let start = (luck * count as f64) as usize;
        // Who sees late looks at two only: all would follow the same stale order.
        let looked = if self.gate == Gate::Seeing(Seeing::Late) { 2 } else { count };
        let usable = |(_, k): &(&Name, &Known)| k.ready && now >= k.sour_until;
        let step = 1 + (luck * 7919.0) as usize % 17;
        let ring = self.backends.iter().cycle().skip(start).take(count * 2).step_by(if looked == 2 {
            step
        } else {
            1
        });
        for (name, known) in ring.filter(usable).take(looked) {
            let seen = sight.backends.get(name).and_then(|n| sight.truth.loads.get(*n));
            let load = match (self.sees, seen) {
                (true, Some(load)) => *load + f64::from(known.out) * 0.5,
                _ => f64::from(known.out),
            };
            if best.as_ref().is_none_or(|(least, _)| load < *least) {
                best = Some((load, name.clone()));
            }
        }
        let held = self.requests.get_mut(&id).filter(|held| held.attempts < self.settings.max_attempts);
        let (Some((load, name)), Some(held)) = (best, held) else { return self.refuse(id, out) };
        let top = self.settings.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        let prices = self.settings.plans.iter().map(|p| p.price).fold(0.0, f64::max);
        let worth = self.settings.classes[held.class].worth * self.settings.plans[held.plan].price;
        let bound = SEEN_LOAD * (0.3 + 0.7 * worth / (top * prices).max(1e-9));
        if self.sees && held.attempts == 0 && load > bound {
            return self.refuse(id, out);
        }
        held.attempts += 1;
        let timeout = held.arrival.deadline - 2.0 * self.settings.tick - now;
        if let Some(known) = self.backends.get_mut(&name) {
            known.out += 1;
        }
        out.push(Action::Send { id, backend: name, timeout, quota_wait: 0.0 });
    }

    fn ended(&mut self, now: Millis, end: AttemptEnd, sight: &Sight<'_>, out: &mut Vec<Action>) {
        if let Some(known) = self.backends.get_mut(&end.backend) {
            known.out = known.out.saturating_sub(1);
            if end.outcome != Outcome::Served {
                known.sour_until = now + 300.0;
            }
        }
        let Some(held) = self.requests.get_mut(&end.id) else { return };
        if end.finished {
            self.requests.remove(&end.id);
            return;
        }
        let never = matches!(end.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
        held.may_have_run |= !never;
        let safe = self.settings.classes[held.class].idempotency == Idempotency::Safe;
        let time_left = held.arrival.deadline - now > 4.0 * self.settings.tick;
        if time_left && held.attempts < 2 && (safe || !held.may_have_run) {
            self.send(now, end.id, sight, out);
        } else if held.may_have_run && !safe {
            self.requests.remove(&end.id);
            out.push(Action::Fail { id: end.id });
        } else {
            self.refuse(end.id, out);
        }
    }

    fn list(&mut self, list: Vec<BackendEntry>, whole: bool) {
        if whole {
            self.backends.values_mut().for_each(|known| known.ready = false);
        }
        for entry in list {
            let new = Known { ready: false, out: 0, sour_until: 0.0 };
            let known = self.backends.entry(entry.name).or_insert(new);
            known.ready = entry.state == BackendState::Ready;
        }
    }
}

impl Decider for Door {
    fn handle(&mut self, now: Millis, event: Event, sight: &Sight<'_>, out: &mut Vec<Action>) {
        match event {
            Event::BackendList(list) => self.list(list, true),
            Event::BackendChanges(list) => self.list(list, false),
            Event::Request(arrival) => {
                let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
                let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
                let id = arrival.id;
                let (Some(class), Some(plan)) = (class, plan) else {
                    return out.push(Action::Refuse { id, retry_after: 0.0 });
                };
                let held = Held { arrival, class, plan, attempts: 0, may_have_run: false };
                self.requests.insert(id, held);
                self.admit(now, id, sight, out);
            }
            Event::AttemptEnded(end) => self.ended(now, end, sight, out),
            Event::ClientLeft { id } => drop(self.requests.remove(&id)),
            Event::Counted { name, outcome, .. } => {
                if matches!(outcome, doorcourse::CountOutcome::Late { .. }) {
                    return;
                }
                let Some(waiting) = self.asked.get_mut(&name).filter(|w| !w.is_empty()) else { return };
                let (id, granted) = waiting.remove(0);
                if waiting.is_empty() {
                    self.asked.remove(&name);
                }
                if !self.requests.contains_key(&id) {
                    return;
                }
                match outcome {
                    doorcourse::CountOutcome::Total(total) if total > granted => self.refuse(id, out),
                    _ => self.send(now, id, sight, out),
                }
            }
            _ => {}
        }
    }
}

/// The numbers of customers by name, of which several may share one: the first counts.
pub fn numbers(customers: &[Customer]) -> HashMap<Name, usize> {
    let mut by_name = HashMap::new();
    for (number, customer) in customers.iter().enumerate() {
        by_name.entry(customer.name.clone()).or_insert(number);
    }
    by_name
}
