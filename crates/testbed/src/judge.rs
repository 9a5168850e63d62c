//! Evaluates a recorded history against the rules. The evaluation uses only what clients, backends and the operator
//! observed and what the testbed itself did, never statements of the processes under test. Each violation names the
//! rule, the time, the parties involved and the active faults.
//!
//! Rules with a time bound apply to undisturbed machines only. A machine is undisturbed when, for at least
//! [`TimeBounds::contact`], no process of the machine or of a machine with a control plane was killed, started or
//! stopped, and no link of these machines had a fault. Duplicate runs, forged answers, runs of refused requests, and
//! excess over a quota or a retry budget are violations even while faults are active.
//!
//! Terms: an attempt is one sending of a client's request to a gateway; a request has several attempts if the client
//! retries. An attempt runs when a backend processes it. An effectful request must run at most once, a pure request may
//! run several times. A seal ([`seal`]) is a header value by which a backend proves that it answered an attempt. Worth
//! measures the service that clients received: the fleet owes 1 for each request within the tenant's quota, and the
//! request earns 1, 0.5 or 0, depending on its outcome ([`Verdict::worth`]).

use crate::backend::is_valid_seal;
pub use crate::backend::seal;
use crate::changes::Changes;
use crate::history::{End, Event, ProcessEvent, Record};
use crate::plan::{KINDS, SERVICES, TENANTS};
use crate::site::VOTERS;
use crate::windows::{QUOTA_WINDOW, excess, max_sent_and_run_within, max_within, over_budget, quota_bound};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Maximum delay between an event and its record on a busy machine, in microseconds.
const RECORDING_DELAY: u64 = 100_000;
/// Maximum number of violations recorded with their description; further violations are only counted.
const MAX_DESCRIBED: usize = 100;
/// Width of the time buckets of [`Verdict::worth`], in microseconds.
pub const BUCKET_US: u64 = 250_000;

/// The rules that a history is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A successful answer belongs to another attempt, or its seal is not from a backend that ran the attempt.
    Mixed,
    /// A backend ran a request that no client sent, or the request arrived altered, with the client's API key (which
    /// gateways must remove) or with the wrong tenant.
    Unasked,
    /// An effectful request, which may run only once, ran more than once.
    Twice,
    /// An effectful request was refused and ran nevertheless.
    Refused,
    /// A request ran at a service that is not a target of its route.
    Route,
    /// A valid request received a 3xx or 4xx answer that is not a refusal.
    Denied,
    /// A request reached a backend later than [`TimeBounds::drain`] after the acknowledgement of the backend's drain.
    Drain,
    /// The planned restart of a gateway broke off a request that had reached a backend, or an acknowledged
    /// configuration is lost.
    Lost,
    /// A configuration change was wrongly acknowledged or rejected, not applied in time, or read back with other
    /// content.
    Config,
    /// A service received more retries within 10 s than the retry budget allows.
    Budget,
    /// More requests of a tenant ran within 5 s than the tenant's quota allows.
    Quota,
    /// Later than [`TimeBounds::recovery`] after the last disruption, less than a quarter of the owed worth is earned,
    /// although at least a quarter was earned before the first disruption.
    Recover,
    /// A process exited unexpectedly, or did not exit after SIGTERM.
    Ended,
}

/// All rules with the description of their violations.
pub const RULES: [(Rule, &str); 13] = [
    (Rule::Mixed, "mixed: successes that are not the backend's own"),
    (Rule::Unasked, "unasked: runs of what no client sent, or not so"),
    (Rule::Twice, "twice: effectful requests that ran twice"),
    (Rule::Refused, "refused: effectful requests that were refused and ran"),
    (Rule::Route, "route: runs at a service that the route never named"),
    (Rule::Denied, "denied: proper requests that were denied"),
    (Rule::Drain, "drain: requests at a backend after it was drained"),
    (Rule::Lost, "lost: requests cut by planned work, configurations gone"),
    (Rule::Config, "config: faults of configurations"),
    (Rule::Budget, "budget: services with too many further tries in some 10 s"),
    (Rule::Quota, "quota: tenants beyond their quota in some 5 s"),
    (Rule::Recover, "recover: service that does not come back"),
    (Rule::Ended, "ended: processes that ended by themselves"),
];

/// Time bounds of the rules, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct TimeBounds {
    /// Time after the acknowledgement of a drain by which a backend no longer receives requests.
    pub drain: u64,
    /// Time after an acknowledgement by which a configuration is in force.
    pub apply: u64,
    /// How long a machine still counts as disturbed after the end of its last disruption.
    pub contact: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace: u64,
    /// Time after the last fault by which service has recovered.
    pub recovery: u64,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violation, in seconds since the start of the history.
    pub at: f64,
    /// Description of the observation and the parties involved.
    pub what: String,
    /// The faults that were active, or that had ended less than [`TimeBounds::contact`] before.
    pub faults: Vec<String>,
}

/// A tenant's use of its quota.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct QuotaUse {
    /// Requests that clients issued for the tenant; retries are not counted.
    pub asked: u64,
    /// Requests that backends ran.
    pub ran: u64,
    /// Maximum number of runs in one quota window.
    pub peak: u64,
    /// Number of runs that a quota window allows.
    pub bound: u64,
    /// Largest excess of runs over `rate * time + burst` over all time spans.
    pub beyond: f64,
}

/// Result of the evaluation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Reason why the trial has no valid verdict, if any.
    pub void: Option<String>,
    /// Number of violations per rule.
    pub counts: BTreeMap<Rule, u64>,
    /// The first violations.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Quota use per tenant.
    pub uses: Vec<QuotaUse>,
    /// Delays that the machine may have caused; they do not count as violations.
    pub late: Vec<String>,
    /// Worth owed and worth earned per bucket of [`BUCKET_US`], by the due time of requests. The fleet owes 1 for each
    /// request within its tenant's quota. The request earns 1 if served within the latency goal of its kind, 0.5 if
    /// served later, and 0 otherwise.
    pub worth: Vec<(f64, f64)>,
}

impl Verdict {
    /// Number of violations of all rules.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Share of the owed worth that was earned.
    pub fn earned(&self) -> f64 {
        let (owed, earned) = self.worth.iter().fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
        if owed > 0.0 { earned / owed } else { 0.0 }
    }
}

/// A fault, or the downtime of a process, with the affected machines. A downtime that begins with SIGTERM is planned,
/// because the process can shut down gracefully.
struct Disruption {
    begin: u64,
    end: u64,
    machines: Vec<usize>,
    planned: bool,
    text: String,
}

/// All disruptions of a history.
#[derive(Default)]
pub(crate) struct Disruptions {
    all: Vec<Disruption>,
    contact: u64,
}

impl Disruptions {
    fn from_records(records: &[Record], contact: u64) -> Self {
        let mut all = Vec::new();
        let mut faults: HashMap<usize, usize> = HashMap::new();
        let mut down: HashMap<(usize, bool), usize> = HashMap::new();
        for Record { at, event } in records {
            let at = *at;
            match event {
                Event::FaultBegan { fault, text, machines } => {
                    faults.insert(*fault, all.len());
                    let (machines, text) = (machines.clone(), text.clone());
                    all.push(Disruption { begin: at, end: u64::MAX, machines, planned: false, text });
                }
                Event::FaultEnded { fault } => {
                    faults.get(fault).into_iter().for_each(|index| all[*index].end = at);
                }
                Event::Process {
                    machine,
                    data_plane,
                    process_event: ProcessEvent::Started | ProcessEvent::Continued,
                } => {
                    if let Some(index) = down.remove(&(*machine, *data_plane)) {
                        all[index].end = at;
                    }
                }
                Event::Process { machine, data_plane, process_event } => {
                    down.entry((*machine, *data_plane)).or_insert_with(|| {
                        let plane = if *data_plane { "data-plane" } else { "control-plane" };
                        let text = format!("{process_event:?} {plane} {machine}").to_lowercase();
                        let planned = *process_event == ProcessEvent::Told;
                        all.push(Disruption {
                            begin: at,
                            end: u64::MAX,
                            machines: vec![*machine],
                            planned,
                            text,
                        });
                        all.len() - 1
                    });
                }
                _ => {}
            }
        }
        Self { all, contact }
    }

    fn active_within(&self, from: u64, to: u64) -> impl Iterator<Item = &Disruption> {
        let contact = self.contact;
        self.all.iter().filter(move |t| t.begin <= to && t.end.saturating_add(contact) > from)
    }

    /// Whether `machine` and all machines with a control plane were undisturbed; without `machine`, all machines count.
    pub(crate) fn undisturbed(&self, machine: Option<usize>, from: u64, to: u64) -> bool {
        let affected = |m: &usize| *m < VOTERS || machine.is_none_or(|machine| machine == *m);
        !self.active_within(from, to).any(|disruption| disruption.machines.iter().any(affected))
    }

    /// Whether only planned disruptions were active.
    fn only_planned(&self, from: u64, to: u64) -> bool {
        self.active_within(from, to).all(|disruption| disruption.planned)
    }
}

/// Counts violations and keeps the first ones.
pub(crate) struct Violations<'a> {
    pub(crate) disruptions: &'a Disruptions,
    counts: BTreeMap<Rule, u64>,
    described: Vec<Violation>,
}

impl Violations<'_> {
    pub(crate) fn add(&mut self, rule: Rule, at: u64, what: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.described.len() < MAX_DESCRIBED {
            let faults =
                self.disruptions.active_within(at, at).map(|disruption| disruption.text.clone()).collect();
            self.described.push(Violation { rule, at: at as f64 / 1e6, what: what(), faults });
        }
    }
}

/// What the history says about one attempt.
struct Attempt {
    sent: u64,
    /// Index in [`KINDS`], if the route belongs to the first configuration.
    kind: Option<usize>,
    /// Index in [`TENANTS`] of the tenant whose API key the attempt carries.
    tenant: Option<usize>,
    pure: bool,
    /// The machine whose data plane the client connected to.
    machine: Option<usize>,
    /// The service at which the attempt arrived first.
    service: Option<usize>,
    /// Number of arrivals at backends; a data plane that retries causes further ones.
    arrivals: u32,
    /// Number of runs at backends.
    runs: u32,
    /// The backend that ran the attempt last.
    ran_by: Option<u32>,
    /// Whether the client received a refusal.
    refused: bool,
    /// Whether a backend withheld its answer or broke the answer off.
    answer_withheld: bool,
}

/// State of the evaluation of a history.
struct Evaluation<'a> {
    bounds: &'a TimeBounds,
    violations: Violations<'a>,
    attempts: HashMap<u64, Attempt>,
    backends: HashMap<u32, (String, Option<usize>)>,
    drained: HashMap<u32, u64>,
    /// When data planes received SIGTERM.
    sigterm_at: HashMap<usize, u64>,
    requested: [u64; TENANTS.len()],
    /// Send time and arrival time of each tenant's requests that ran.
    runs: [Vec<(u64, u64)>; TENANTS.len()],
    /// Times at which an attempt arrived at a service after its first arrival, per service.
    retries: [Vec<u64>; SERVICES.len()],
    worth: Vec<(f64, f64)>,
    late: Vec<String>,
}

/// Evaluates a history.
pub fn judge(records: &[Record], bounds: &TimeBounds, void: Option<String>) -> Verdict {
    let disruptions = Disruptions::from_records(records, bounds.contact);
    let violations = Violations { disruptions: &disruptions, counts: BTreeMap::new(), described: Vec::new() };
    let mut evaluation = Evaluation {
        bounds,
        violations,
        attempts: HashMap::new(),
        backends: HashMap::new(),
        drained: HashMap::new(),
        sigterm_at: HashMap::new(),
        requested: Default::default(),
        runs: Default::default(),
        retries: Default::default(),
        worth: Vec::new(),
        late: Vec::new(),
    };
    for record in records {
        evaluation.apply(record.at, &record.event);
    }
    evaluation.check_effectful();
    Changes::from_records(records).judge(bounds, &mut evaluation.violations);
    let uses = evaluation.check_quotas();
    evaluation.check_retry_budgets();
    evaluation.check_recovery(records.last().map_or(0, |record| record.at));
    let Evaluation { violations: Violations { counts, described, .. }, worth, late, .. } = evaluation;
    Verdict { void, counts, violations: described, uses, late, worth }
}

impl Evaluation<'_> {
    fn apply(&mut self, at: u64, event: &Event) {
        match event {
            Event::Requested { tenant } => self.requested[*tenant] += 1,
            Event::Sent { id, kind, tenant, pure } => {
                let (kind, tenant, pure) = (*kind, *tenant, *pure);
                let new = Attempt {
                    sent: at,
                    kind,
                    tenant,
                    pure,
                    machine: None,
                    service: None,
                    arrivals: 0,
                    runs: 0,
                    ran_by: None,
                    refused: false,
                    answer_withheld: false,
                };
                self.attempts.insert(*id, new);
            }
            Event::Connected { id, machine } => {
                self.attempts.get_mut(id).into_iter().for_each(|t| t.machine = Some(*machine));
            }
            Event::BackendStarted { backend, id, service } => {
                let service = SERVICES.iter().position(|(label, _)| label == service);
                self.backends.insert(*backend, (id.clone(), service));
            }
            Event::Arrived { id, backend, machine } => self.arrived(at, *id, *backend, *machine),
            Event::Ran { .. } => self.ran(at, event),
            Event::AnswerWithheld { id } => {
                self.attempts.get_mut(id).into_iter().for_each(|t| t.answer_withheld = true)
            }
            Event::Answered { id, status, seal, echoed, whole } => {
                self.answered(at, *id, *status, seal.as_deref(), *echoed && *whole);
            }
            Event::Cut { id } => self.cut(at, *id),
            Event::Done { kind, owed, due, end, .. } => self.done(at, *kind, *owed, *due, *end),
            Event::Drained { backend } => drop(self.drained.entry(*backend).or_insert(at)),
            Event::Process { machine, data_plane, process_event } => {
                match process_event {
                    ProcessEvent::Told if *data_plane => drop(self.sigterm_at.insert(*machine, at)),
                    ProcessEvent::Started if *data_plane => drop(self.sigterm_at.remove(machine)),
                    _ => {}
                }
                if let ProcessEvent::Wrong(how) = process_event {
                    let plane = if *data_plane { "data-plane" } else { "control-plane" };
                    self.violations
                        .add(Rule::Ended, at, || format!("{plane} of machine {}: {how}", machine + 1));
                }
            }
            Event::Late { text } => self.late.push(text.clone()),
            _ => {}
        }
    }

    fn backend_id(&self, backend: u32) -> &str {
        self.backends.get(&backend).map_or("?", |(id, _)| id)
    }

    fn arrived(&mut self, at: u64, id: Option<u64>, backend: u32, machine: Option<usize>) {
        let due =
            self.drained.get(&backend).map(|drained_at| drained_at + self.bounds.drain + RECORDING_DELAY);
        if due.is_some_and(|due| at > due) {
            let from = at.saturating_sub(self.bounds.drain);
            if self.violations.disruptions.undisturbed(machine, from, at) {
                let what = format!("{} is drained and received {id:016x?}", self.backend_id(backend));
                self.violations.add(Rule::Drain, at, || what);
            }
        }
        let service = self.backends.get(&backend).and_then(|(_, service)| *service);
        let Some(attempt) = id.and_then(|id| self.attempts.get_mut(&id)) else { return };
        attempt.arrivals += 1;
        match service {
            Some(service) if attempt.arrivals > 1 => self.retries[service].push(at),
            Some(service) => attempt.service = Some(service),
            None => {}
        }
    }

    fn ran(&mut self, at: u64, event: &Event) {
        let Event::Ran { id, backend, arrived, tenant, key, unchanged } = event else { return };
        let service = self.backends.get(backend).and_then(|(_, service)| *service);
        if *key {
            self.violations
                .add(Rule::Unasked, at, || format!("{id:016x?}: the backend received the API key"));
        }
        let Some(attempt) = id.and_then(|id| self.attempts.get_mut(&id)) else {
            self.violations.add(Rule::Unasked, at, || format!("{id:016x?} was sent by no client"));
            return;
        };
        attempt.runs += 1;
        attempt.ran_by = Some(*backend);
        if !unchanged {
            self.violations.add(Rule::Unasked, at, || format!("{id:016x?} is not what its client sent"));
        }
        let due = attempt.tenant.map(|tenant| TENANTS[tenant].label);
        if due != tenant.as_deref() {
            self.violations.add(Rule::Unasked, at, || format!("X-Tenant is {tenant:?} instead of {due:?}"));
        }
        let named = |kind: usize| {
            KINDS[kind]
                .targets
                .iter()
                .any(|(to, _)| service.is_some_and(|service| SERVICES[service].0 == *to))
        };
        if let Some(kind) = attempt.kind.filter(|kind| !named(*kind)) {
            let label = KINDS[kind].label;
            self.violations
                .add(Rule::Route, at, || format!("{id:016x?} of route {label} ran at another service"));
        }
        if let Some(tenant) = attempt.tenant {
            self.runs[tenant].push((attempt.sent, *arrived));
        }
    }

    fn answered(&mut self, at: u64, id: u64, status: u16, seal: Option<&str>, own: bool) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        match status {
            200..=299 => {
                let ran_by = attempt.ran_by.and_then(|backend| self.backends.get(&backend));
                let of = ran_by.map(|(name, _)| name.as_str());
                // A pure request may have run at several backends, so the seal may belong to an earlier run.
                let named = seal.and_then(|seal| seal.rsplit_once('.')).map(|(name, _)| name);
                let right = of.is_some() && (attempt.runs > 1 || named == of);
                if !(own && right && seal.is_some_and(|seal| is_valid_seal(seal, id))) {
                    self.violations
                        .add(Rule::Mixed, at, || format!("{id:016x}: {status} with seal {seal:?}"));
                }
            }
            408 | 421 | 429 | 503 => attempt.refused = true,
            300..=499 if status != 409 => {
                let (machine, sent, kind) = (attempt.machine, attempt.sent, attempt.kind);
                if kind.is_some() && self.violations.disruptions.undisturbed(machine, sent, at) {
                    self.violations.add(Rule::Denied, at, || format!("{id:016x}: {status}"));
                }
            }
            _ => {}
        }
    }

    fn cut(&mut self, at: u64, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(sigterm_at) = attempt.machine.and_then(|machine| self.sigterm_at.get(&machine)) else {
            return;
        };
        let planned = at <= sigterm_at + self.bounds.grace + 1_000_000;
        // The data plane has certainly read the whole request only if the request has reached a backend.
        if planned && attempt.arrivals > 0 && !attempt.answer_withheld {
            if !self.violations.disruptions.only_planned(attempt.sent, at) {
                return;
            }
            self.violations.add(Rule::Lost, at, || {
                format!("{id:016x} was cut off by the planned shutdown of its gateway")
            });
        }
    }

    fn done(&mut self, at: u64, kind: usize, owed: bool, due: u64, end: End) {
        if !owed {
            return;
        }
        let bucket = (due / BUCKET_US) as usize;
        if self.worth.len() <= bucket {
            self.worth.resize(bucket + 1, (0.0, 0.0));
        }
        self.worth[bucket].0 += 1.0;
        if end == End::Served {
            let within_goal = at.saturating_sub(due) <= KINDS[kind].goal_ms * 1000;
            self.worth[bucket].1 += if within_goal { 1.0 } else { 0.5 };
        }
    }

    /// Checks that effectful attempts ran at most once, and that refused effectful attempts did not run at all, neither
    /// before nor after the refusal.
    fn check_effectful(&mut self) {
        let mut effectful: Vec<_> = self.attempts.iter().filter(|(_, attempt)| !attempt.pure).collect();
        effectful.sort_unstable_by_key(|(id, attempt)| (attempt.sent, **id));
        for (id, attempt) in effectful {
            if attempt.runs > 1 {
                self.violations
                    .add(Rule::Twice, attempt.sent, || format!("{id:016x} ran {} times", attempt.runs));
            }
            if attempt.refused && attempt.runs > 0 {
                self.violations.add(Rule::Refused, attempt.sent, || format!("{id:016x} was refused and ran"));
            }
        }
    }

    fn check_quotas(&mut self) -> Vec<QuotaUse> {
        let mut uses = Vec::new();
        for (index, tenant) in TENANTS.iter().enumerate() {
            let pairs = &mut self.runs[index];
            let mut arrived: Vec<_> = pairs.iter().map(|(_, arrived)| *arrived).collect();
            arrived.sort_unstable();
            let bound = quota_bound(tenant.rate, tenant.burst);
            let (ran, peak) = (arrived.len() as u64, max_within(&arrived, QUOTA_WINDOW));
            // A fault can delay requests so that they arrive together although clients sent them over a longer time. An
            // excess is therefore a violation only if clients also sent the requests within one window.
            if peak > bound && max_sent_and_run_within(pairs, QUOTA_WINDOW) > bound {
                let at = arrived.last().copied().unwrap_or_default();
                let label = tenant.label;
                self.violations
                    .add(Rule::Quota, at, || format!("{label}: {peak} runs in 5 s, {bound} allowed"));
            }
            let beyond = excess(&arrived, tenant.rate, tenant.burst);
            uses.push(QuotaUse { asked: self.requested[index], ran, peak, bound, beyond });
        }
        uses
    }

    fn check_retry_budgets(&mut self) {
        let mut first: [Vec<u64>; SERVICES.len()] = Default::default();
        for attempt in self.attempts.values() {
            // Requests count towards their target service even if they did not arrive.
            let target = attempt.kind.map(|kind| KINDS[kind].targets[0].0);
            let target = target.and_then(|target| SERVICES.iter().position(|(label, _)| *label == target));
            if let Some(service) = attempt.service.or(target) {
                first[service].push(attempt.sent);
            }
        }
        for (service, (label, _)) in SERVICES.iter().enumerate() {
            first[service].sort_unstable();
            let retries = &self.retries[service];
            if over_budget(&first[service], retries) {
                let at = retries.last().copied().unwrap_or_default();
                let (tries, all) = (retries.len(), first[service].len());
                self.violations
                    .add(Rule::Budget, at, || format!("{label}: {tries} retries for {all} requests"));
            }
        }
    }

    fn check_recovery(&mut self, end: u64) {
        let Some(first) = self.violations.disruptions.all.iter().map(|disruption| disruption.begin).min()
        else {
            return;
        };
        let last = self
            .violations
            .disruptions
            .all
            .iter()
            .map(|disruption| disruption.end.min(end))
            .max()
            .unwrap_or(end);
        let from = last + self.bounds.recovery;
        let share = |part: &[(f64, f64)]| {
            let (owed, earned) = part.iter().fold((0.0, 0.0), |sum, p| (sum.0 + p.0, sum.1 + p.1));
            (owed >= 20.0).then(|| earned / owed)
        };
        let bucket = |at: u64| ((at / BUCKET_US) as usize).min(self.worth.len());
        let (before, after) = (share(&self.worth[..bucket(first)]), share(&self.worth[bucket(from)..]));
        if let (Some(before), Some(after)) = (before, after)
            && before >= 0.25
            && after < 0.25
        {
            let what = format!(
                "{:.0}% of the worth earned after all faults, {:.0}% before",
                after * 100.0,
                before * 100.0
            );
            self.violations.add(Rule::Recover, end, || what);
        }
    }
}
