//! The judge checks the five rules and the interface's protocol at every event. It keeps its own records and relies
//! neither on the gateways' state nor on the flags of the simulated world. Each breach (a violation of a rule) names
//! time, gateway, request and rule. [`crate`] defines try, attempt, ceiling and cold backend.

use crate::draw::{Micros, TokenBucket, millis};
use crate::scenario::Rules;
use doorcourse::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};

/// Breaches that are stored in full; further ones are only counted.
const MAX_STORED_BREACHES: usize = 200;

/// The rules that a gateway can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request that a live gateway accepted got no final answer in time, or more than one.
    Lost,
    /// A non-idempotent request was sent again or refused although it may have run.
    Duplicate,
    /// New work went to a draining or removed backend after the grace period that follows the notification.
    Drain,
    /// A cold backend (one that started recently and still warms up) received more work than its limit allows from
    /// gateways that had been notified of its start.
    Fall,
    /// The usage of a customer exceeded its ceiling.
    Ceiling,
    /// An action violates the interface's protocol.
    Protocol,
}

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Time in ms since the day began.
    pub at: f64,
    /// The gateway that broke the rule.
    pub gateway: usize,
    /// The request concerned, if the breach concerns a single request.
    pub request: Option<u64>,
    /// The rule that was broken.
    pub rule: Rule,
    /// What was observed.
    pub what: String,
}

/// The judge's record of one try.
struct TryRecord {
    gateway: usize,
    /// The latest time at which a final answer is accepted.
    due: Micros,
    non_idempotent: bool,
    /// Number of attempts so far, and of those in flight.
    attempts: u32,
    in_flight: u32,
    /// Whether a backend may have run the request.
    may_have_run: bool,
    /// Whether the gateway need not send a final answer any more: the answer was sent, or the client has left.
    finished: bool,
}

/// The load budget of a backend that has started recently.
#[derive(Default)]
struct ColdStartBudget {
    /// Work sent to the backend within the window: time, work, whether the sender's backend list contained the start of
    /// the backend, and the sending gateway.
    sent: VecDeque<(Micros, f64, bool, usize)>,
    /// Sum of the work in `sent`.
    sum: f64,
    /// Samples of the backend's capacity within the window, with their times.
    capacities: VecDeque<(Micros, f64)>,
}

/// Work that reached a backend.
pub struct BackendLoad {
    /// The backend's number.
    pub backend: usize,
    /// The work, in core microseconds.
    pub work: f64,
    /// The backend's current capacity, in core microseconds per microsecond.
    pub capacity: f64,
    /// Whether the backend list of the gateway contains this start of the backend.
    pub start_known: bool,
}

/// The judge of one simulated day.
pub struct Judge {
    rules: Rules,
    tries: HashMap<u64, TryRecord>,
    /// By gateway and backend: the time from which the gateway has known the backend to be unusable.
    unusable: HashMap<(usize, usize), Micros>,
    known: HashSet<(usize, usize)>,
    cold: HashMap<usize, ColdStartBudget>,
    ceilings: HashMap<usize, TokenBucket>,
    /// The highest usage of any ceiling; 1 is the limit.
    pub nearest_to_ceiling: f64,
    /// The breaches, ordered by time.
    pub breaches: Vec<Breach>,
    /// The number of all breaches, including those that are not stored.
    pub count: u64,
}

impl Judge {
    /// Creates a judge with these rules.
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            tries: HashMap::new(),
            unusable: HashMap::new(),
            known: HashSet::new(),
            cold: HashMap::new(),
            ceilings: HashMap::new(),
            nearest_to_ceiling: 0.0,
            breaches: Vec::new(),
            count: 0,
        }
    }

    /// Records a breach.
    pub fn record_breach(
        &mut self, at: Micros, gateway: usize, request: Option<u64>, rule: Rule, what: String,
    ) {
        self.count += 1;
        if self.breaches.len() < MAX_STORED_BREACHES {
            self.breaches.push(Breach { at: millis(at), gateway, request, rule, what });
        }
    }

    /// Records that a live gateway accepted a request whose client waits until `deadline`. Returns the time at
    /// which the caller must check whether the answer is overdue.
    pub fn request_accepted(
        &mut self, gateway: usize, request: u64, non_idempotent: bool, deadline: Micros,
    ) -> Micros {
        let due = deadline + crate::draw::micros(self.rules.answer_slack_ms);
        let record = TryRecord {
            gateway,
            due,
            non_idempotent,
            attempts: 0,
            in_flight: 0,
            may_have_run: false,
            finished: false,
        };
        self.tries.insert(request, record);
        due + 1
    }

    /// Records that a gateway's process has ended. Its open requests are dropped, and its backend list is forgotten.
    pub fn gateway_died(&mut self, gateway: usize) {
        self.tries.retain(|_, record| record.gateway != gateway);
        self.unusable.retain(|(at, _), _| *at != gateway);
        self.known.retain(|(at, _)| *at != gateway);
    }

    /// Records that the client has left: the gateway no longer owes an answer.
    pub fn client_left(&mut self, request: u64) {
        if let Some(record) = self.tries.get_mut(&request) {
            record.finished = true;
        }
    }

    /// Records that a list notified a gateway of a backend's state.
    pub fn backend_listed(&mut self, at: Micros, gateway: usize, backend: usize, usable: bool) {
        self.known.insert((gateway, backend));
        if usable {
            self.unusable.remove(&(gateway, backend));
        } else {
            self.unusable.entry((gateway, backend)).or_insert(at);
        }
    }

    /// Records that a full list does not contain a backend. A backend that the gateway knew before counts as removed.
    pub fn backend_unlisted(&mut self, at: Micros, gateway: usize, backend: usize) {
        if self.known.contains(&(gateway, backend)) {
            self.unusable.entry((gateway, backend)).or_insert(at);
        }
    }

    /// Checks an attempt that a gateway sends. Returns false if the attempt must not be carried out.
    pub fn attempt_sent(&mut self, at: Micros, gateway: usize, request: u64, backend: Option<usize>) -> bool {
        let Some(backend) = backend.filter(|b| self.known.contains(&(gateway, *b))) else {
            self.record_breach(
                at,
                gateway,
                Some(request),
                Rule::Protocol,
                "sent to a backend of no list".into(),
            );
            return false;
        };
        let Some(record) = self.tries.get_mut(&request).filter(|record| record.gateway == gateway) else {
            self.record_breach(
                at,
                gateway,
                Some(request),
                Rule::Protocol,
                "sent a request it was not given".into(),
            );
            return false;
        };
        if record.finished {
            self.record_breach(
                at,
                gateway,
                Some(request),
                Rule::Lost,
                "sent a request that it had ended".into(),
            );
            return false;
        }
        record.attempts += 1;
        if record.attempts > self.rules.most_attempts {
            return false;
        }
        let unsafe_repeat = record.non_idempotent && (record.may_have_run || record.in_flight > 0);
        record.in_flight += 1;
        if unsafe_repeat {
            let what = format!("attempt {} of a request that may have run", record.attempts - 1);
            self.record_breach(at, gateway, Some(request), Rule::Duplicate, what);
        }
        let grace = crate::draw::micros(self.rules.drain_grace_ms);
        if let Some(since) = self.unusable.get(&(gateway, backend)).filter(|since| at > **since + grace) {
            let what = format!("sent to backend {backend} {} ms after it was told", millis(at - since));
            self.record_breach(at, gateway, Some(request), Rule::Drain, what);
        }
        true
    }

    /// Records the end of an attempt, as reported to the gateway.
    pub fn attempt_ended(&mut self, request: u64, outcome: Outcome) {
        let Some(record) = self.tries.get_mut(&request) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
        record.may_have_run |= !never_ran;
    }

    /// Checks a final answer. Returns false if the request is already over or does not belong to the gateway; the
    /// caller then ignores the answer.
    pub fn final_answer(&mut self, at: Micros, gateway: usize, request: u64, refused: bool) -> bool {
        let Some(record) = self.tries.get_mut(&request).filter(|record| record.gateway == gateway) else {
            let what = "ended a request it was not given".into();
            self.record_breach(at, gateway, Some(request), Rule::Protocol, what);
            return false;
        };
        if std::mem::replace(&mut record.finished, true) {
            return false;
        }
        let (due, unsafe_repeat) =
            (record.due, refused && record.non_idempotent && (record.may_have_run || record.in_flight > 0));
        if at > due {
            let what = format!("answered {} ms too late", millis(at - due));
            self.record_breach(at, gateway, Some(request), Rule::Lost, what);
        }
        if unsafe_repeat {
            let what = "refused a request that may have run".into();
            self.record_breach(at, gateway, Some(request), Rule::Duplicate, what);
        }
        true
    }

    /// Called when the latest time for a final answer has passed. Returns true if there was no answer.
    pub fn answer_overdue(&mut self, at: Micros, request: u64) -> bool {
        let Some(record) = self.tries.get_mut(&request).filter(|record| !record.finished) else {
            return false;
        };
        record.finished = true;
        let gateway = record.gateway;
        self.record_breach(at, gateway, Some(request), Rule::Lost, "no final answer".into());
        true
    }

    /// Draws one unit from the customer's ceiling when a try is first sent, regardless of the quota.
    pub fn draw_from_ceiling(
        &mut self, at: Micros, gateway: usize, request: u64, customer: usize, plan: &doorcourse::Plan,
    ) {
        if plan.ceiling_rate <= 0.0 {
            return;
        }
        let start = TokenBucket { held: plan.ceiling_burst, at: 0 };
        let bucket = self.ceilings.entry(customer).or_insert(start);
        bucket.fill(at, plan.ceiling_rate, plan.ceiling_burst);
        bucket.held -= 1.0;
        let slack = plan.ceiling_slack + plan.ceiling_rate * self.rules.ceiling_grace_ms / 1000.0;
        let held = bucket.held;
        let usage = (plan.ceiling_burst - held) / (plan.ceiling_burst + slack);
        self.nearest_to_ceiling = self.nearest_to_ceiling.max(usage);
        if held < -slack - 1e-9 {
            let what = format!("customer {customer}'s ceiling store at {held:.2}, {:.2} allowed", -slack);
            self.record_breach(at, gateway, Some(request), Rule::Ceiling, what);
        }
    }

    /// Starts the load budget of a backend that has started or returned and is therefore cold.
    pub fn backend_started(&mut self, backend: usize) {
        self.cold.insert(backend, ColdStartBudget::default());
    }

    /// Ends the load budget of a backend that is warm or has stopped.
    pub fn end_cold_start(&mut self, backend: usize) {
        self.cold.remove(&backend);
    }

    /// Records work that reached a backend, whether accepted or rejected. Returns true if a cold backend received
    /// more work within the window than its limit ([`Rules::fall_multiple`]) allows: the backend then fails.
    pub fn work_arrived(&mut self, at: Micros, gateway: usize, request: u64, load: &BackendLoad) -> bool {
        let (window, multiple) = (crate::draw::micros(self.rules.fall_ms), self.rules.fall_multiple);
        let BackendLoad { backend, work, capacity, start_known } = *load;
        let Some(cold) = self.cold.get_mut(&backend) else { return false };
        cold.capacities.push_back((at, capacity));
        cold.sent.push_back((at, work, start_known, gateway));
        cold.sum += work;
        while cold.sent.front().is_some_and(|(then, ..)| *then + window < at) {
            cold.sum -= cold.sent.pop_front().map_or(0.0, |(_, work, ..)| work);
        }
        while cold.capacities.len() > 1
            && cold.capacities.front().is_some_and(|(then, _)| *then + window < at)
        {
            cold.capacities.pop_front();
        }
        let mean = cold.capacities.iter().map(|(_, c)| c).sum::<f64>() / cold.capacities.len() as f64;
        // Tolerance for random variation: three standard deviations of the sum of `count` exponentially distributed
        // amounts of work.
        let count = cold.sent.len() as f64;
        let budget = multiple * mean * window as f64 + 3.0 * cold.sum / count * count.sqrt();
        if cold.sum <= budget {
            return false;
        }
        let notified_work = cold
            .sent
            .iter()
            .filter(|(_, _, start_known, _)| *start_known)
            .map(|(_, work, ..)| work)
            .sum::<f64>();
        let (sum, gateways_notified) = (cold.sum, notified_work * 3.0 >= cold.sum * 2.0);
        self.cold.remove(&backend);
        if gateways_notified {
            let what = format!(
                "cold backend {backend} was sent {:.0} ms of work in its window, {:.0} allowed",
                sum / 1000.0,
                budget / 1000.0
            );
            self.record_breach(at, gateway, Some(request), Rule::Fall, what);
        }
        true
    }
}
