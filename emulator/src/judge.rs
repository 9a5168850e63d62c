//! The judge: the five rules and the protocol's, checked at every event. It keeps books of its own and believes
//! neither the gateways nor the world's own flags; a break names time, gateway, request and rule.

use crate::draw::{Micros, Store, millis};
use crate::scenario::Rules;
use doorcourse::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};

/// Breaks kept word for word; more are only counted.
const KEPT: usize = 200;

/// What can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request that a live gateway took got no final answer in time, or more than one.
    Lost,
    /// A request that must not run twice was sent or refused though it may have run.
    Duplicate,
    /// New work went to a backend that drains or is gone, longer than the grace after that was told.
    Drain,
    /// A cold backend was sent more than it bears, by gateways that had been told of its start.
    Fall,
    /// A customer's ceiling was passed.
    Ceiling,
    /// An action that the interface does not allow.
    Protocol,
}

/// One break of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// When, in ms since the day began.
    pub at: f64,
    /// At which gateway.
    pub gateway: usize,
    /// On which request, where it is one's.
    pub request: Option<u64>,
    /// Which rule.
    pub rule: Rule,
    /// What was seen.
    pub what: String,
}

/// A try under the judge's eye.
struct Case {
    gateway: usize,
    /// The latest time at which a final answer counts.
    due: Micros,
    once: bool,
    attempts: u32,
    out: u32,
    may_have_run: bool,
    over: bool,
}

/// The budget of a backend that started a while ago.
#[derive(Default)]
struct Cold {
    sent: VecDeque<(Micros, f64, bool, usize)>,
    sum: f64,
    /// Work that it could do since its start, as running integral, and the samples of it in the window.
    could: VecDeque<(Micros, f64)>,
}

/// Work that reached a backend.
pub struct Reached {
    /// Which backend.
    pub backend: usize,
    /// The work, in core microseconds.
    pub work: f64,
    /// What the backend can do now, in core microseconds a microsecond.
    pub capacity: f64,
    /// Whether the gateway's list names this start of it.
    pub told: bool,
}

/// The judge of one day.
pub struct Judge {
    rules: Rules,
    cases: HashMap<u64, Case>,
    /// By gateway and backend: since when it is told to be unusable.
    unusable: HashMap<(usize, usize), Micros>,
    known: HashSet<(usize, usize)>,
    cold: HashMap<usize, Cold>,
    ceilings: HashMap<usize, Store>,
    /// How near any ceiling came to its break: 1 is at the rule.
    pub nearest_to_ceiling: f64,
    /// The breaks, by time.
    pub breaches: Vec<Breach>,
    /// All of them.
    pub count: u64,
}

impl Judge {
    /// A judge by these rules.
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            cases: HashMap::new(),
            unusable: HashMap::new(),
            known: HashSet::new(),
            cold: HashMap::new(),
            ceilings: HashMap::new(),
            nearest_to_ceiling: 0.0,
            breaches: Vec::new(),
            count: 0,
        }
    }

    /// Notes a break.
    pub fn broke(&mut self, at: Micros, gateway: usize, request: Option<u64>, rule: Rule, what: String) {
        self.count += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { at: millis(at), gateway, request, rule, what });
        }
    }

    /// A live gateway took a request, for which its client waits until `deadline`. Gives the time at which to ask
    /// whether it is overdue.
    pub fn taken(&mut self, gateway: usize, request: u64, once: bool, deadline: Micros) -> Micros {
        let due = deadline + crate::draw::micros(self.rules.answer_slack_ms);
        let case = Case { gateway, due, once, attempts: 0, out: 0, may_have_run: false, over: false };
        self.cases.insert(request, case);
        due + 1
    }

    /// A gateway's process is gone: what it held is void, and it knows nothing.
    pub fn died(&mut self, gateway: usize) {
        self.cases.retain(|_, case| case.gateway != gateway);
        self.unusable.retain(|(at, _), _| *at != gateway);
        self.known.retain(|(at, _)| *at != gateway);
    }

    /// The client has left: nothing is owed to it.
    pub fn left(&mut self, request: u64) {
        if let Some(case) = self.cases.get_mut(&request) {
            case.over = true;
        }
    }

    /// A list told a gateway of a backend.
    pub fn told(&mut self, at: Micros, gateway: usize, backend: usize, usable: bool) {
        self.known.insert((gateway, backend));
        if usable {
            self.unusable.remove(&(gateway, backend));
        } else {
            self.unusable.entry((gateway, backend)).or_insert(at);
        }
    }

    /// A whole list does not name a backend: if the gateway knew it, it is gone.
    pub fn missing(&mut self, at: Micros, gateway: usize, backend: usize) {
        if self.known.contains(&(gateway, backend)) {
            self.unusable.entry((gateway, backend)).or_insert(at);
        }
    }

    /// A gateway sends an attempt. False where the interface does not allow it: nothing is to be carried out.
    pub fn sent(&mut self, at: Micros, gateway: usize, request: u64, backend: Option<usize>) -> bool {
        let Some(backend) = backend.filter(|b| self.known.contains(&(gateway, *b))) else {
            self.broke(at, gateway, Some(request), Rule::Protocol, "sent to a backend of no list".into());
            return false;
        };
        let Some(case) = self.cases.get_mut(&request).filter(|case| case.gateway == gateway) else {
            self.broke(at, gateway, Some(request), Rule::Protocol, "sent a request it was not given".into());
            return false;
        };
        if case.over {
            self.broke(at, gateway, Some(request), Rule::Lost, "sent a request that it had ended".into());
            return false;
        }
        case.attempts += 1;
        if case.attempts > self.rules.most_attempts {
            return false;
        }
        let twice = case.once && (case.may_have_run || case.out > 0);
        case.out += 1;
        if twice {
            let what = format!("attempt {} of a request that may have run", case.attempts - 1);
            self.broke(at, gateway, Some(request), Rule::Duplicate, what);
        }
        let grace = crate::draw::micros(self.rules.drain_grace_ms);
        if let Some(since) = self.unusable.get(&(gateway, backend)).filter(|since| at > **since + grace) {
            let what = format!("sent to backend {backend} {} ms after it was told", millis(at - since));
            self.broke(at, gateway, Some(request), Rule::Drain, what);
        }
        true
    }

    /// An attempt ended, as the gateway is told.
    pub fn attempt_ended(&mut self, request: u64, outcome: Outcome) {
        let Some(case) = self.cases.get_mut(&request) else { return };
        case.out = case.out.saturating_sub(1);
        let never = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
        case.may_have_run |= !never;
    }

    /// A final answer. False where the request was over or not the gateway's: it is to be passed over.
    pub fn answered(&mut self, at: Micros, gateway: usize, request: u64, refused: bool) -> bool {
        let Some(case) = self.cases.get_mut(&request).filter(|case| case.gateway == gateway) else {
            let what = "ended a request it was not given".into();
            self.broke(at, gateway, Some(request), Rule::Protocol, what);
            return false;
        };
        if std::mem::replace(&mut case.over, true) {
            return false;
        }
        let (due, twice) = (case.due, refused && case.once && (case.may_have_run || case.out > 0));
        if at > due {
            let what = format!("answered {} ms too late", millis(at - due));
            self.broke(at, gateway, Some(request), Rule::Lost, what);
        }
        if twice {
            let what = "refused a request that may have run".into();
            self.broke(at, gateway, Some(request), Rule::Duplicate, what);
        }
        true
    }

    /// The last moment for an answer has passed. True when there was none: the client is gone.
    pub fn overdue(&mut self, at: Micros, request: u64) -> bool {
        let Some(case) = self.cases.get_mut(&request).filter(|case| !case.over) else { return false };
        case.over = true;
        let gateway = case.gateway;
        self.broke(at, gateway, Some(request), Rule::Lost, "no final answer".into());
        true
    }

    /// A try that is sent on first draws from its customer's ceiling, whatever the quota says.
    pub fn draws(
        &mut self, at: Micros, gateway: usize, request: u64, customer: usize, plan: &doorcourse::Plan,
    ) {
        if plan.ceiling_rate <= 0.0 {
            return;
        }
        let start = Store { held: plan.ceiling_burst, at: 0 };
        let store = self.ceilings.entry(customer).or_insert(start);
        store.fill(at, plan.ceiling_rate, plan.ceiling_burst);
        store.held -= 1.0;
        let slack = plan.ceiling_slack + plan.ceiling_rate * self.rules.ceiling_grace_ms / 1000.0;
        let held = store.held;
        let near = (plan.ceiling_burst - held) / (plan.ceiling_burst + slack);
        self.nearest_to_ceiling = self.nearest_to_ceiling.max(near);
        if held < -slack - 1e-9 {
            let what = format!("customer {customer}'s ceiling store at {held:.2}, {:.2} allowed", -slack);
            self.broke(at, gateway, Some(request), Rule::Ceiling, what);
        }
    }

    /// A backend has started or come back: it is cold, and what it bears is a budget.
    pub fn starts(&mut self, backend: usize) {
        self.cold.insert(backend, Cold::default());
    }

    /// It is warm, or gone: no budget any more.
    pub fn no_longer_cold(&mut self, backend: usize) {
        self.cold.remove(&backend);
    }

    /// Work reached a backend, turned away or not. True when a cold one has been sent more within the window than
    /// it bears: it falls over.
    pub fn reached(&mut self, at: Micros, gateway: usize, request: u64, load: &Reached) -> bool {
        let (span, multiple) = (crate::draw::micros(self.rules.fall_ms), self.rules.fall_multiple);
        let Reached { backend, work, capacity, told } = *load;
        let Some(cold) = self.cold.get_mut(&backend) else { return false };
        cold.could.push_back((at, capacity));
        cold.sent.push_back((at, work, told, gateway));
        cold.sum += work;
        while cold.sent.front().is_some_and(|(then, ..)| *then + span < at) {
            cold.sum -= cold.sent.pop_front().map_or(0.0, |(_, work, ..)| work);
        }
        while cold.could.len() > 1 && cold.could.front().is_some_and(|(then, _)| *then + span < at) {
            cold.could.pop_front();
        }
        let mean = cold.could.iter().map(|(_, c)| c).sum::<f64>() / cold.could.len() as f64;
        // Slack for chance: three deviations of a sum of so many exponential works.
        let number = cold.sent.len() as f64;
        let budget = multiple * mean * span as f64 + 3.0 * cold.sum / number * number.sqrt();
        if cold.sum <= budget {
            return false;
        }
        let by_told = cold.sent.iter().filter(|(_, _, told, _)| *told).map(|(_, work, ..)| work).sum::<f64>();
        let (sum, guilty) = (cold.sum, by_told * 3.0 >= cold.sum * 2.0);
        self.cold.remove(&backend);
        if guilty {
            let what = format!(
                "cold backend {backend} was sent {:.0} ms of work in its window, {:.0} allowed",
                sum / 1000.0,
                budget / 1000.0
            );
            self.broke(at, gateway, Some(request), Rule::Fall, what);
        }
        true
    }
}
