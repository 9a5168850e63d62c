//! The judge. It goes by what clients, backends and the operator saw and by what the tool itself did, believes no
//! process, and names for each break the rule, the time, who was involved and the faults in force.
//!
//! Rules with a time bound hold for machines in touch: no process of theirs killed, started or stopped and no link of
//! theirs at fault for [`Terms::contact`], nor any of the core's. What ran twice, was forged, refused and run all the
//! same, beyond a quota or a budget is never excused.

pub use crate::backend::seal;
use crate::backend::sealed;
use crate::changes::Changes;
use crate::history::{Deed, End, Line, Seen};
use crate::plan::{KINDS, SERVICES, TENANTS};
use crate::site::VOTERS;
use crate::windows::{QUOTA_WINDOW, beyond, most_sent_and_run, most_within, over_budget, quota_bound};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// A request is noted when our own task gets to it, which on a busy machine is some time after it came; in us.
const LATE_NOTES: u64 = 100_000;
/// Breaks that are kept word for word.
const KEPT: usize = 100;
/// Requests of so long, in us, are counted together.
pub const BUCKET: u64 = 250_000;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A success that is not that of the backend that ran the request.
    Mixed,
    /// A run of what no client sent, or not so; with a key, or for another tenant.
    Unasked,
    /// A request that may run once ran more often.
    Twice,
    /// One of these was refused and ran all the same.
    Refused,
    /// A run at a service that the route never named.
    Route,
    /// A proper request was answered 3xx or 4xx other than refusals.
    Denied,
    /// A request at a backend after it was drained.
    Drain,
    /// A request broken off by planned work, or a configuration that is gone.
    Lost,
    /// Something is wrong with configurations.
    Config,
    /// Too many further tries in some 10 s.
    Budget,
    /// A tenant got beyond its quota in some 5 s.
    Quota,
    /// Too few are served once all troubles are over.
    Recover,
    /// A process ended by itself, or did not end.
    Ended,
}

/// All rules, with what breaks them.
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

/// Times that the rules go by, in us.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// A drained backend is left alone by then.
    pub drain: u64,
    /// A configuration is in force by then.
    pub apply: u64,
    /// So long after its last trouble a machine is in touch again.
    pub contact: u64,
    /// From being told to end until being killed.
    pub grace: u64,
    /// Service is back by then.
    pub recovery: u64,
}

/// One break of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Break {
    /// Which.
    pub rule: Rule,
    /// When, in seconds since the history's begin.
    pub at: f64,
    /// What was seen, and of whom.
    pub what: String,
    /// The faults in force, or that had ended within the time of contact.
    pub faults: Vec<String>,
}

/// How a tenant used its quota.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Use {
    /// Requests that clients had for it, each counted once.
    pub asked: u64,
    /// Runs.
    pub ran: u64,
    /// The most that ran in one window.
    pub peak: u64,
    /// What the window allows.
    pub bound: u64,
    /// How far runs went beyond rate x time + burst at the worst, over any span.
    pub beyond: f64,
}

/// What the judge says.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Why there is no verdict, if there is none.
    pub void: Option<String>,
    /// How often each rule was broken.
    pub counts: BTreeMap<Rule, u64>,
    /// The first breaks.
    pub breaks: Vec<Break>,
    /// Use of quotas, by tenant.
    pub uses: Vec<Use>,
    /// What came late, which may be the machine's fault.
    pub late: Vec<String>,
    /// Worth owed and earned by quarters of a second, by when requests were due.
    pub worth: Vec<(f64, f64)>,
}

impl Verdict {
    /// How often rules were broken.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// The share of all worth that was earned.
    pub fn earned(&self) -> f64 {
        let (owed, earned) = self.worth.iter().fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
        if owed > 0.0 { earned / owed } else { 0.0 }
    }
}

/// A span of trouble: begin, end, whose, and whether it was planned.
struct Trouble {
    begin: u64,
    end: u64,
    machines: Vec<usize>,
    planned: bool,
    text: String,
}

/// Who was in trouble when.
#[derive(Default)]
pub(crate) struct Troubles {
    all: Vec<Trouble>,
    contact: u64,
}

impl Troubles {
    fn read(lines: &[Line], contact: u64) -> Self {
        let mut all = Vec::new();
        let mut faults: HashMap<usize, usize> = HashMap::new();
        let mut away: HashMap<(usize, bool), usize> = HashMap::new();
        for Line { at, seen } in lines {
            let at = *at;
            match seen {
                Seen::Begins { fault, text, machines } => {
                    faults.insert(*fault, all.len());
                    let (machines, text) = (machines.clone(), text.clone());
                    all.push(Trouble { begin: at, end: u64::MAX, machines, planned: false, text });
                }
                Seen::Ends { fault } => {
                    faults.get(fault).into_iter().for_each(|index| all[*index].end = at);
                }
                Seen::Process { machine, data_plane, deed: Deed::Started | Deed::Continued } => {
                    if let Some(index) = away.remove(&(*machine, *data_plane)) {
                        all[index].end = at;
                    }
                }
                Seen::Process { machine, data_plane, deed } => {
                    away.entry((*machine, *data_plane)).or_insert_with(|| {
                        let plane = if *data_plane { "data-plane" } else { "control-plane" };
                        let text = format!("{deed:?} {plane} {machine}").to_lowercase();
                        let planned = *deed == Deed::Told;
                        all.push(Trouble {
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

    fn near(&self, from: u64, to: u64) -> impl Iterator<Item = &Trouble> {
        let contact = self.contact;
        self.all.iter().filter(move |t| t.begin <= to && t.end.saturating_add(contact) > from)
    }

    /// Whether a machine, or any where none is named, was in touch all the while.
    pub(crate) fn in_touch(&self, machine: Option<usize>, from: u64, to: u64) -> bool {
        let counts = |m: &usize| *m < VOTERS || machine.is_none_or(|machine| machine == *m);
        !self.near(from, to).any(|trouble| trouble.machines.iter().any(counts))
    }

    /// Whether nothing unplanned happened to anybody.
    fn nothing_unplanned(&self, from: u64, to: u64) -> bool {
        self.near(from, to).all(|trouble| trouble.planned)
    }
}

/// Collects breaks.
pub(crate) struct Breaks<'a> {
    pub(crate) troubles: &'a Troubles,
    counts: BTreeMap<Rule, u64>,
    kept: Vec<Break>,
}

impl Breaks<'_> {
    pub(crate) fn add(&mut self, rule: Rule, at: u64, what: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.kept.len() < KEPT {
            let faults = self.troubles.near(at, at).map(|trouble| trouble.text.clone()).collect();
            self.kept.push(Break { rule, at: at as f64 / 1e6, what: what(), faults });
        }
    }
}

struct Try {
    sent: u64,
    kind: Option<usize>,
    tenant: Option<usize>,
    pure: bool,
    machine: Option<usize>,
    /// The service where it arrived first.
    service: Option<usize>,
    arrivals: u32,
    runs: u32,
    /// The backend that ran it last.
    ran_by: Option<u32>,
    refused: bool,
    broke: bool,
}

/// Where a history is read to its end, line by line.
struct Court<'a> {
    terms: &'a Terms,
    breaks: Breaks<'a>,
    tries: HashMap<u64, Try>,
    backends: HashMap<u32, (String, Option<usize>)>,
    drained: HashMap<u32, u64>,
    /// When data planes were told to end.
    told: HashMap<usize, u64>,
    asked: [u64; TENANTS.len()],
    /// When requests of tenants were sent and had arrived, of those that ran.
    runs: [Vec<(u64, u64)>; TENANTS.len()],
    /// Moments when requests for a service arrived again.
    again: [Vec<u64>; SERVICES.len()],
    worth: Vec<(f64, f64)>,
    late: Vec<String>,
}

/// Judges a history.
pub fn judge(lines: &[Line], terms: &Terms, void: Option<String>) -> Verdict {
    let troubles = Troubles::read(lines, terms.contact);
    let breaks = Breaks { troubles: &troubles, counts: BTreeMap::new(), kept: Vec::new() };
    let mut court = Court {
        terms,
        breaks,
        tries: HashMap::new(),
        backends: HashMap::new(),
        drained: HashMap::new(),
        told: HashMap::new(),
        asked: Default::default(),
        runs: Default::default(),
        again: Default::default(),
        worth: Vec::new(),
        late: Vec::new(),
    };
    for line in lines {
        court.hear(line.at, &line.seen);
    }
    court.once();
    Changes::read(lines).judge(terms, &mut court.breaks);
    let uses = court.quotas();
    court.budgets();
    court.recovery(lines.last().map_or(0, |line| line.at));
    let Court { breaks: Breaks { counts, kept, .. }, worth, late, .. } = court;
    Verdict { void, counts, breaks: kept, uses, late, worth }
}

impl Court<'_> {
    fn hear(&mut self, at: u64, seen: &Seen) {
        match seen {
            Seen::Asked { tenant } => self.asked[*tenant] += 1,
            Seen::Sent { id, kind, tenant, pure } => {
                let (kind, tenant, pure) = (*kind, *tenant, *pure);
                let new = Try {
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
                    broke: false,
                };
                self.tries.insert(*id, new);
            }
            Seen::Took { id, machine } => {
                self.tries.get_mut(id).into_iter().for_each(|t| t.machine = Some(*machine));
            }
            Seen::Born { backend, id, service } => {
                let service = SERVICES.iter().position(|(label, _)| label == service);
                self.backends.insert(*backend, (id.clone(), service));
            }
            Seen::Arrived { id, backend, machine } => self.arrived(at, *id, *backend, *machine),
            Seen::Ran { .. } => self.ran(at, seen),
            Seen::Broke { id } => self.tries.get_mut(id).into_iter().for_each(|t| t.broke = true),
            Seen::Answered { id, status, seal, echoed, whole } => {
                self.answered(at, *id, *status, seal.as_deref(), *echoed && *whole);
            }
            Seen::Cut { id } => self.cut(at, *id),
            Seen::Done { kind, owed, due, end, .. } => self.done(at, *kind, *owed, *due, *end),
            Seen::Drained { backend } => drop(self.drained.entry(*backend).or_insert(at)),
            Seen::Process { machine, data_plane, deed } => {
                match deed {
                    Deed::Told if *data_plane => drop(self.told.insert(*machine, at)),
                    Deed::Started if *data_plane => drop(self.told.remove(machine)),
                    _ => {}
                }
                if let Deed::Wrong(how) = deed {
                    let plane = if *data_plane { "data-plane" } else { "control-plane" };
                    self.breaks.add(Rule::Ended, at, || format!("{plane} of machine {}: {how}", machine + 1));
                }
            }
            Seen::Late { text } => self.late.push(text.clone()),
            _ => {}
        }
    }

    fn name(&self, backend: u32) -> &str {
        self.backends.get(&backend).map_or("?", |(id, _)| id)
    }

    fn arrived(&mut self, at: u64, id: Option<u64>, backend: u32, machine: Option<usize>) {
        let due = self.drained.get(&backend).map(|told| told + self.terms.drain + LATE_NOTES);
        if due.is_some_and(|due| at > due) {
            let from = at.saturating_sub(self.terms.drain);
            if self.breaks.troubles.in_touch(machine, from, at) {
                let what = format!("{} is drained and gets {id:016x?}", self.name(backend));
                self.breaks.add(Rule::Drain, at, || what);
            }
        }
        let service = self.backends.get(&backend).and_then(|(_, service)| *service);
        let Some(noted) = id.and_then(|id| self.tries.get_mut(&id)) else { return };
        noted.arrivals += 1;
        match service {
            Some(service) if noted.arrivals > 1 => self.again[service].push(at),
            Some(service) => noted.service = Some(service),
            None => {}
        }
    }

    fn ran(&mut self, at: u64, seen: &Seen) {
        let Seen::Ran { id, backend, arrived, tenant, key, unchanged } = seen else { return };
        let service = self.backends.get(backend).and_then(|(_, service)| *service);
        if *key {
            self.breaks.add(Rule::Unasked, at, || format!("{id:016x?}: the backend is shown the key"));
        }
        let Some(noted) = id.and_then(|id| self.tries.get_mut(&id)) else {
            self.breaks.add(Rule::Unasked, at, || format!("{id:016x?} was sent by no client"));
            return;
        };
        noted.runs += 1;
        noted.ran_by = Some(*backend);
        if !unchanged {
            self.breaks.add(Rule::Unasked, at, || format!("{id:016x?} is not what its client sent"));
        }
        let due = noted.tenant.map(|tenant| TENANTS[tenant].label);
        if due != tenant.as_deref() {
            self.breaks.add(Rule::Unasked, at, || format!("X-Tenant {tenant:?} where {due:?} was due"));
        }
        let named = |kind: usize| {
            KINDS[kind]
                .targets
                .iter()
                .any(|(to, _)| service.is_some_and(|service| SERVICES[service].0 == *to))
        };
        if let Some(kind) = noted.kind.filter(|kind| !named(*kind)) {
            let label = KINDS[kind].label;
            self.breaks.add(Rule::Route, at, || format!("{id:016x?} of {label} at another service"));
        }
        if let Some(tenant) = noted.tenant {
            self.runs[tenant].push((noted.sent, *arrived));
        }
    }

    fn answered(&mut self, at: u64, id: u64, status: u16, seal: Option<&str>, own: bool) {
        let Some(noted) = self.tries.get_mut(&id) else { return };
        match status {
            200..=299 => {
                let ran_by = noted.ran_by.and_then(|backend| self.backends.get(&backend));
                let of = ran_by.map(|(name, _)| name.as_str());
                // A pure request may have run elsewhere too, so the seal may be of an earlier run.
                let named = seal.and_then(|seal| seal.rsplit_once('.')).map(|(name, _)| name);
                let right = of.is_some() && (noted.runs > 1 || named == of);
                if !(own && right && seal.is_some_and(|seal| sealed(seal, id))) {
                    self.breaks.add(Rule::Mixed, at, || format!("{id:016x}: {status} with seal {seal:?}"));
                }
            }
            408 | 421 | 429 | 503 => noted.refused = true,
            300..=499 if status != 409 => {
                let (machine, sent, kind) = (noted.machine, noted.sent, noted.kind);
                if kind.is_some() && self.breaks.troubles.in_touch(machine, sent, at) {
                    self.breaks.add(Rule::Denied, at, || format!("{id:016x}: {status}"));
                }
            }
            _ => {}
        }
    }

    fn cut(&mut self, at: u64, id: u64) {
        let Some(noted) = self.tries.get(&id) else { return };
        let Some(told) = noted.machine.and_then(|machine| self.told.get(&machine)) else { return };
        let planned = at <= told + self.terms.grace + 1_000_000;
        // Only what has reached a backend was surely read whole.
        if planned && noted.arrivals > 0 && !noted.broke {
            if !self.breaks.troubles.nothing_unplanned(noted.sent, at) {
                return;
            }
            self.breaks.add(Rule::Lost, at, || format!("{id:016x} is cut while its gateway ends in order"));
        }
    }

    fn done(&mut self, at: u64, kind: usize, owed: bool, due: u64, end: End) {
        if !owed {
            return;
        }
        let bucket = (due / BUCKET) as usize;
        if self.worth.len() <= bucket {
            self.worth.resize(bucket + 1, (0.0, 0.0));
        }
        self.worth[bucket].0 += 1.0;
        if end == End::Served {
            let in_aim = at.saturating_sub(due) <= KINDS[kind].goal_ms * 1000;
            self.worth[bucket].1 += if in_aim { 1.0 } else { 0.5 };
        }
    }

    /// What may run once did, and what was refused did not run, also later.
    fn once(&mut self) {
        let mut effectful: Vec<_> = self.tries.iter().filter(|(_, noted)| !noted.pure).collect();
        effectful.sort_unstable_by_key(|(id, noted)| (noted.sent, **id));
        for (id, noted) in effectful {
            if noted.runs > 1 {
                self.breaks.add(Rule::Twice, noted.sent, || format!("{id:016x} ran {} times", noted.runs));
            }
            if noted.refused && noted.runs > 0 {
                self.breaks.add(Rule::Refused, noted.sent, || format!("{id:016x} was refused and ran"));
            }
        }
    }

    fn quotas(&mut self) -> Vec<Use> {
        let mut uses = Vec::new();
        for (index, tenant) in TENANTS.iter().enumerate() {
            let pairs = &mut self.runs[index];
            let mut arrived: Vec<_> = pairs.iter().map(|(_, arrived)| *arrived).collect();
            arrived.sort_unstable();
            let bound = quota_bound(tenant.rate, tenant.burst);
            let (ran, peak) = (arrived.len() as u64, most_within(&arrived, QUOTA_WINDOW));
            // What a fault has held up arrives together, though it was sent over a longer time.
            if peak > bound && most_sent_and_run(pairs, QUOTA_WINDOW) > bound {
                let at = arrived.last().copied().unwrap_or_default();
                let label = tenant.label;
                self.breaks.add(Rule::Quota, at, || format!("{label}: {peak} in 5 s where {bound} may run"));
            }
            let beyond = beyond(&arrived, tenant.rate, tenant.burst);
            uses.push(Use { asked: self.asked[index], ran, peak, bound, beyond });
        }
        uses
    }

    fn budgets(&mut self) {
        let mut first: [Vec<u64>; SERVICES.len()] = Default::default();
        for noted in self.tries.values() {
            // Requests count for the service whether they arrived or not.
            let target = noted.kind.map(|kind| KINDS[kind].targets[0].0);
            let target = target.and_then(|target| SERVICES.iter().position(|(label, _)| *label == target));
            if let Some(service) = noted.service.or(target) {
                first[service].push(noted.sent);
            }
        }
        for (service, (label, _)) in SERVICES.iter().enumerate() {
            first[service].sort_unstable();
            let again = &self.again[service];
            if over_budget(&first[service], again) {
                let at = again.last().copied().unwrap_or_default();
                let (tries, all) = (again.len(), first[service].len());
                self.breaks.add(Rule::Budget, at, || format!("{label}: {tries} further tries of {all}"));
            }
        }
    }

    fn recovery(&mut self, end: u64) {
        let Some(first) = self.breaks.troubles.all.iter().map(|trouble| trouble.begin).min() else { return };
        let last = self.breaks.troubles.all.iter().map(|trouble| trouble.end.min(end)).max().unwrap_or(end);
        let from = last + self.terms.recovery;
        let share = |part: &[(f64, f64)]| {
            let (owed, earned) = part.iter().fold((0.0, 0.0), |sum, p| (sum.0 + p.0, sum.1 + p.1));
            (owed >= 20.0).then(|| earned / owed)
        };
        let bucket = |at: u64| ((at / BUCKET) as usize).min(self.worth.len());
        let (before, after) = (share(&self.worth[..bucket(first)]), share(&self.worth[bucket(from)..]));
        if let (Some(before), Some(after)) = (before, after)
            && before >= 0.25
            && after < 0.25
        {
            let what =
                format!("{:.0}% served after all troubles, {:.0}% before", after * 100.0, before * 100.0);
            self.breaks.add(Rule::Recover, end, || what);
        }
    }
}
