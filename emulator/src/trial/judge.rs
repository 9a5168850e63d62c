//! Checks the history of a trial against the rules. The judge relies on events that the emulator's own clients and
//! stand-ins recorded, not on claims of the gateways; only the checks of duties use the gateways' own records. Each
//! violation names the rule, the time, the parties and the active faults.
//!
//! Terms: a duty is a named role that at most one gateway performs at a time, under a fencing token. A takeover is the
//! change of a duty to a new fencing token. The quota of a customer is a token bucket; excess over a quota is counted,
//! but violates no rule. The ceiling is a second token bucket with a tolerated excess; exceeding the ceiling by more
//! violates a rule. A cold backend has restarted and has not reached its full speed yet. A void trial has no verdict,
//! for example because a fault could not be injected.
//!
//! The judge excuses failures that the injected faults may have caused. A request may be lost if its link or its
//! gateway process was faulty while the request was outstanding. A discovery list that a fault may have delayed counts
//! as received only once the gateway confirms its version. The judge never excuses a request that ran twice, a forged
//! answer, an exceeded ceiling or an overloaded cold backend.

use crate::live::history::{Ended, Entry, Line, Seen};
use crate::live::stand_ins::warmth;
use crate::trial::relay::{Flow, Party};
use crate::trial::schedule::{Fault, Kind, Schedule};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// A request class of the trial load.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name of the class.
    pub name: &'static str,
    /// Whether a request is idempotent and may run twice.
    pub safe: bool,
    /// Share of the class in all requests, from 0 to 1.
    pub share: f64,
    /// Latency target, in ms. A later answer has no worth.
    pub aim_ms: u64,
    /// Client deadline, in ms.
    pub deadline_ms: u64,
    /// Worth of an answer within the latency target.
    pub worth: f64,
}

/// Request classes of the trial load.
pub const CLASSES: [Class; 2] = [
    Class { name: "reading", safe: true, share: 0.7, aim_ms: 600, deadline_ms: 2000, worth: 2.0 },
    Class { name: "setpoint", safe: false, share: 0.3, aim_ms: 1000, deadline_ms: 2500, worth: 5.0 },
];

/// A customer plan of the trial load.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Name of the plan.
    pub name: &'static str,
    /// Quota as a token bucket: refill rate in units per second, and burst in units.
    pub quota: (f64, f64),
    /// Maximum number of concurrent attempts; 0 means unlimited.
    pub open: u32,
    /// Ceiling as a token bucket: refill rate in units per second, burst in units, and tolerated excess in units.
    pub ceiling: Option<(f64, f64, f64)>,
}

/// Plans of the trial load. The first customer sends by far the most requests and has the plan with a ceiling.
pub const PLANS: [Plan; 3] = [
    Plan { name: "large-site", quota: (4.0, 12.0), open: 0, ceiling: Some((8.0, 24.0, 2.4)) },
    Plan { name: "bulk-supply", quota: (8.0, 16.0), open: 8, ceiling: None },
    Plan { name: "small-user", quota: (3.0, 9.0), open: 0, ceiling: None },
];

/// Resource limits of a gateway process: file descriptors, and resident memory in MB.
pub const PROCESS_LIMITS: (u64, u64) = (1024, 192);
/// Overload limit of a cold backend: the window, and the work that may arrive in the window as a multiple of the work
/// that the backend can complete in the window.
pub const OVERLOAD_LIMIT: (Duration, f64) = (Duration::from_millis(2000), 2.5);
/// Time after the drain or departure notice of a backend from which no new request may arrive there, in us. Of this,
/// 50 ms are slack for the sockets.
const DRAIN_DEADLINE_US: u64 = 2_050_000;
/// Maximum time from the client deadline to the final answer, in us: half a second, and 50 ms of slack for the sockets.
const ANSWER_SLACK_US: u64 = 550_000;
/// Tolerated excess over a ceiling in addition to the excess that the plan tolerates: the units that the refill rate
/// yields in this many seconds.
const CEILING_SLACK_SECONDS: f64 = 0.15;
/// Maximum delivery time of a discovery list on a link without faults, in us.
const DELIVERY_TIME_US: u64 = 100_000;
/// Maximum time after the end of a link fault until the relay has reset the connections that it held back, in us.
const RESET_AFTER_FAULT_US: u64 = 250_000;
/// One in this many requests of a trial, and at least one request, may find its new connection closed without an answer
/// and without an attempt at a backend. See [`check_requests`] for the reason.
const REQUESTS_PER_REJECTED_CONNECTION: usize = 200;
/// Maximum number of violations that the verdict lists; the verdict only counts the others.
const MAX_LISTED_BREAKS: usize = 100;
/// Width of the time buckets that requests are counted in, in us.
pub const BUCKET_US: u64 = 250_000;
/// Number of buckets in a window. Service levels are compared window by window.
const WINDOW_BUCKETS: usize = 4;
/// Service counts as recovered at this share of the level before the first fault.
const RECOVERED_RATIO: f64 = 0.9;

/// The rules that a trial checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request received no final answer in time.
    Lost,
    /// A client received an answer that no backend sent, or a backend received a request that no client sent.
    Forged,
    /// A non-idempotent request ran twice, or was refused although it may have run.
    Duplicate,
    /// A draining backend received a new request.
    Drain,
    /// A cold backend received more work than its overload limit allows.
    Fall,
    /// The requests of a customer exceeded the ceiling of the plan.
    Ceiling,
    /// A gateway process exited unexpectedly, or did not exit within its grace period after SIGTERM.
    Crash,
    /// A gateway process exceeded a resource limit.
    Limit,
    /// A duty was performed under a lower fencing token than before, or by two gateways under the same fencing token.
    Fence,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violation, in seconds since the trial began.
    pub at: f64,
    /// The responsible parties: several if only their combined requests violated the rule.
    pub parties: Vec<String>,
    /// Id of the request, if the violation concerns a single one.
    pub request: Option<String>,
    /// Description of the observation.
    pub what: String,
    /// Faults that were active, or had ended within the previous second.
    pub faults: Vec<String>,
}

/// Service level during and after one fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceImpact {
    /// Description of the fault.
    pub fault: String,
    /// Served worth during the fault, relative to the level before all faults.
    pub during: Option<f64>,
    /// Seconds from the end of the fault until the served worth of a one-second window was back at nine tenths of the
    /// level before all faults; `None` if service did not recover.
    pub back_after: Option<f64>,
}

/// Result of judging a trial.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Verdict {
    /// The violations in order of time, at most `MAX_LISTED_BREAKS`.
    pub breaks: Vec<Violation>,
    /// Number of all violations.
    pub broken: u64,
    /// Why the trial is void, if it is: it neither passed nor failed.
    pub void: Option<String>,
    /// Request counts by class: sent, served, served within the latency target, refused, failed, excused.
    pub classes: Vec<(String, [u64; 6])>,
    /// Number of requests forwarded in excess of their quota, and of all forwarded requests.
    pub beyond: (u64, u64),
    /// Highest use of any ceiling, where 1 is the limit including the tolerated excess.
    pub nearest_to_ceiling: f64,
    /// Highest number of file descriptors and highest resident memory, in kB, of any gateway process.
    pub most_held: (u64, u64),
    /// Number of calls that added to the counter.
    pub counter_calls: u64,
    /// Offered and served worth by time bucket of [`BUCKET_US`].
    pub worth: Vec<(f64, f64)>,
    /// Service level by fault.
    pub through: Vec<ServiceImpact>,
    /// Each time that a duty was performed under a new fencing token: by another gateway, or by the same one again.
    pub passed: Vec<Takeover>,
}

/// One takeover of a duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Takeover {
    /// Name of the duty.
    pub duty: String,
    /// Number of the gateway that performed the duty before.
    pub from: usize,
    /// Number of the gateway that performed the duty afterwards.
    pub to: usize,
    /// Time of the first performance after the takeover, in seconds since the trial began.
    pub at: f64,
    /// Seconds between the last performance before and the first performance after the takeover.
    pub gap: f64,
}

/// A token bucket; its level may fall below 0.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    level: f64,
    updated_at: u64,
}

impl TokenBucket {
    /// Refills the bucket, removes one unit and returns the new level, which is negative if no unit was available.
    fn take(&mut self, at: u64, rate: f64, burst: f64) -> f64 {
        let since = at.saturating_sub(self.updated_at) as f64 / 1e6;
        self.level = (self.level + rate * since).min(burst) - 1.0;
        self.updated_at = at;
        self.level
    }
}

/// Active intervals of the faults, by the timestamps that the emulator recorded. A fault without a recorded end stays
/// active until the end of the trial.
struct ActiveFaults<'a> {
    all: Vec<(&'a Fault, u64, u64)>,
    /// Intervals in which a gateway had no running process: gateway number, start, end.
    down: Vec<(usize, u64, u64)>,
}

impl<'a> ActiveFaults<'a> {
    fn from_history(schedule: &'a Schedule, lines: &[Line]) -> Self {
        let (mut begins, mut ends) = (BTreeMap::new(), BTreeMap::new());
        let (mut running, mut down_since) = (HashMap::<usize, u32>::new(), HashMap::new());
        let mut down = Vec::new();
        for line in lines {
            match &line.seen {
                Seen::Begins { fault } => drop(begins.insert(*fault, line.at)),
                Seen::Ends { fault } => drop(ends.insert(*fault, line.at)),
                Seen::Up { gateway, .. } => {
                    *running.entry(*gateway).or_default() += 1;
                    if let Some(down_since) = down_since.remove(gateway) {
                        down.push((*gateway, down_since, line.at));
                    }
                }
                Seen::Down { gateway, .. } => {
                    let process_count = running.entry(*gateway).or_default();
                    *process_count = process_count.saturating_sub(1);
                    if *process_count == 0 {
                        down_since.insert(*gateway, line.at);
                    }
                }
                _ => {}
            }
        }
        down.extend(down_since.into_iter().map(|(gateway, down_since)| (gateway, down_since, u64::MAX)));
        let interval = |(number, fault): (usize, &'a Fault)| {
            let begin = *begins.get(&number)?;
            Some((fault, begin, ends.get(&number).copied().unwrap_or(u64::MAX)))
        };
        Self { all: schedule.faults.iter().enumerate().filter_map(interval).collect(), down }
    }

    /// Returns the faults on the links between two parties, in either direction, that were active at any time from
    /// `from` to `to`.
    fn on_links(&self, a: Party, b: Party, from: u64, to: u64) -> impl Iterator<Item = &'a Fault> {
        let active = self.all.iter().filter(move |(fault, begin, end)| {
            *begin <= to && *end >= from && (fault.links.contains(&(a, b)) || fault.links.contains(&(b, a)))
        });
        active.map(|(fault, ..)| *fault)
    }

    /// Returns the maximum delay that link faults may have added, in us.
    fn delay(&self, a: Party, b: Party, from: u64, to: u64) -> u64 {
        let max_delay_us = |fault: &Fault| match fault.flow {
            Flow::Delayed(_, max_ms) => (max_ms * 1000.0) as u64,
            _ => 0,
        };
        self.on_links(a, b, from, to).map(max_delay_us).max().unwrap_or(0)
    }

    /// Returns whether a link fault other than a delay was active: such faults withhold or drop bytes.
    fn bytes_withheld(&self, a: Party, b: Party, from: u64, to: u64) -> bool {
        self.on_links(a, b, from, to).any(|fault| !matches!(fault.flow, Flow::Delayed(..)))
    }

    /// Returns how long a gateway was paused by SIGSTOP between two times, in us.
    fn paused_time(&self, gateway: usize, from: u64, to: u64) -> u64 {
        let stops = self
            .all
            .iter()
            .filter(|(fault, ..)| fault.kind == Kind::Stop && fault.on.contains(&Party::Gateway(gateway)));
        stops.map(|(_, begin, end)| (*end).min(to).saturating_sub((*begin).max(from))).sum()
    }

    /// Returns whether a gateway process was killed, down or paused at any time from `from` to `to`. A kill counts
    /// from the start of the fault, because clients see the process end before the emulator records its exit.
    fn process_disrupted(&self, gateway: usize, from: u64, to: u64) -> bool {
        let killed = |(fault, begin, end): &(&Fault, u64, u64)| {
            fault.kind == Kind::Kill
                && fault.on.contains(&Party::Gateway(gateway))
                && *begin <= to
                && *end >= from
        };
        self.paused_time(gateway, from, to) > 0
            || self.all.iter().any(killed)
            || self.down.iter().any(|(g, begin, end)| *g == gateway && *begin <= to && *end >= from)
    }

    /// Returns the descriptions of the faults that were active at a time or had ended within the previous second.
    fn active_at(&self, at: u64) -> Vec<String> {
        let active =
            |(_, begin, end): &&(&Fault, u64, u64)| *begin <= at && end.saturating_add(1_000_000) >= at;
        self.all.iter().filter(active).map(|(fault, ..)| fault.text.clone()).collect()
    }
}

/// All recorded events of one request.
#[derive(Default)]
struct RequestRecord {
    due: u64,
    sent: u64,
    gateway: usize,
    /// Index in [`CLASSES`].
    class: usize,
    deadline: u64,
    /// Number of the customer, and index of the customer's plan.
    customer: (usize, usize),
    ended: Option<(u64, Ended)>,
    /// Arrivals at backends: time, backend, sending gateway, and whether the request may have run.
    arrived: Vec<(u64, usize, Option<usize>, bool)>,
    /// Backends that completed the request.
    served_by: Vec<usize>,
}

/// State of a backend as a gateway knows it from discovery.
#[derive(Clone, Copy, Default)]
struct KnownBackend {
    /// Time at which the gateway was notified that the backend accepts no new requests.
    unusable_since: Option<u64>,
    born_ms: u64,
}

/// Work that a cold backend received within the overload window.
struct ColdBackend {
    /// Start of the backend on the history's clock, in us.
    born: u64,
    /// Start of the backend as in discovery lists, in ms of Unix time.
    born_ms: u64,
    /// Work that arrived: time, work, sending gateway, and whether that gateway knew of the start.
    sent: VecDeque<(u64, f64, Option<usize>, bool)>,
}

struct Judge<'a> {
    faults: ActiveFaults<'a>,
    verdict: Verdict,
}

impl Judge<'_> {
    fn report(&mut self, rule: Rule, at: u64, parties: &[Party], request: Option<&str>, what: String) {
        self.verdict.broken += 1;
        if self.verdict.breaks.len() < MAX_LISTED_BREAKS {
            self.verdict.breaks.push(Violation {
                rule,
                at: at as f64 / 1e6,
                parties: parties.iter().map(ToString::to_string).collect(),
                request: request.map(str::to_owned),
                what,
                faults: self.faults.active_at(at),
            });
        }
    }
}

/// Checks a complete history, whose lines are sorted by time. `void` is the reason why the trial is invalid, if it
/// is, such as an emulator that ran late.
pub fn judge(schedule: &Schedule, lines: &[Line], void: Option<String>) -> Verdict {
    let mut judge = Judge {
        faults: ActiveFaults::from_history(schedule, lines),
        verdict: Verdict { void, ..Verdict::default() },
    };
    let records = collect_requests(lines);
    check_requests(&mut judge, &records);
    check_backends(&mut judge, lines, &records);
    check_customers(&mut judge, lines, &records);
    check_processes(&mut judge, lines);
    check_duties(&mut judge, lines);
    measure_service(&mut judge, lines, &records);
    judge.verdict.breaks.sort_by(|a, b| a.at.total_cmp(&b.at));
    judge.verdict
}

fn collect_requests(lines: &[Line]) -> HashMap<&str, RequestRecord> {
    let mut records: HashMap<&str, RequestRecord> = HashMap::new();
    for line in lines {
        match &line.seen {
            Seen::Due { id, class } => {
                let record = records.entry(id).or_default();
                (record.due, record.class) = (line.at, *class);
            }
            Seen::Sent { id, gateway, class, customer, deadline_ms } => {
                let record = records.entry(id).or_default();
                (record.sent, record.gateway, record.class) = (line.at, *gateway, *class);
                (record.deadline, record.customer) = (line.at + deadline_ms * 1000, *customer);
            }
            Seen::Ended { id, how } => {
                records.entry(id).or_default().ended = Some((line.at, how.clone()));
            }
            Seen::Arrived { id, backend, gateway, ran, .. } => {
                records.entry(id).or_default().arrived.push((line.at, *backend, *gateway, *ran));
            }
            Seen::Served { id, backend } => records.entry(id).or_default().served_by.push(*backend),
            _ => {}
        }
    }
    records
}

/// Checks that each request receives one final answer in time, that a backend sent the answer, and that non-idempotent
/// requests run at most once.
fn check_requests(judge: &mut Judge<'_>, records: &HashMap<&str, RequestRecord>) {
    let mut tallies = [[0; 6]; CLASSES.len()];
    let mut rejected = Vec::new();
    for (id, record) in records {
        let Some(class) = CLASSES.get(record.class) else { continue };
        let party = [Party::Gateway(record.gateway)];
        let Some((at, ended)) = &record.ended else { continue };
        let limit = record.deadline + ANSWER_SLACK_US;
        // The relay resets a connection that was opened during a link fault shortly after the fault ends. A client may
        // already have sent a request on the connection by then.
        let since = record.sent.saturating_sub(RESET_AFTER_FAULT_US);
        let excused = judge.faults.process_disrupted(record.gateway, record.sent, *at)
            || judge.faults.on_links(Party::Clients, party[0], since, *at).next().is_some();
        let tally = &mut tallies[record.class];
        tally[0] += 1;
        let lost = match ended {
            Ended::Answered { status: 200, body } => {
                tally[1] += 1;
                tally[2] += u64::from(*at <= record.sent + class.aim_ms * 1000);
                let genuine = record.served_by.iter().any(|backend| *body == format!("{id} by b{backend}\n"));
                if !genuine {
                    let what = format!("answered with a body that no backend sent: {body:?}");
                    judge.report(Rule::Forged, *at, &party, Some(id), what);
                }
                *at > limit
            }
            Ended::Answered { status: 429 | 503, .. } => {
                tally[3] += 1;
                if !class.safe && record.arrived.iter().any(|(.., ran)| *ran) {
                    let what = "refused although it may have run".into();
                    judge.report(Rule::Duplicate, *at, &party, Some(id), what);
                }
                *at > limit
            }
            Ended::Answered { .. } => {
                tally[4] += 1;
                *at > limit
            }
            // A gateway may close an idle connection while a client writes a request to the connection. The gateway
            // does not read this request, so the request is not lost. If a new connection closes before the gateway
            // forwards the first request, the request has failed; a few such requests per trial do not count as lost.
            Ended::Broken { fresh } => {
                tally[4] += 1;
                if *fresh && record.arrived.is_empty() && !excused {
                    rejected.push((*at, record.gateway, *id));
                }
                !record.arrived.is_empty()
            }
            Ended::Silent => {
                tally[4] += 1;
                true
            }
            Ended::Unsent => false,
        };
        if lost && excused {
            tally[5] += 1;
        } else if lost {
            let what = match ended {
                Ended::Broken { .. } => "the connection closed without an answer".into(),
                Ended::Silent => "no answer within half a second after the client deadline".into(),
                _ => format!("answered {} ms after the client deadline", (at - record.deadline) / 1000),
            };
            judge.report(Rule::Lost, *at, &party, Some(id), what);
        }
        let runs: Vec<_> = record.arrived.iter().filter(|(.., ran)| *ran).collect();
        if !class.safe && runs.len() > 1 {
            let senders: Vec<Party> =
                runs.iter().filter_map(|(_, _, gateway, _)| gateway.map(Party::Gateway)).collect();
            let run_locations: Vec<String> =
                runs.iter().map(|(_, backend, ..)| format!("b{backend}")).collect();
            let what = format!("ran at {}", run_locations.join(" and at "));
            judge.report(Rule::Duplicate, runs[1].0, &senders, Some(id), what);
        }
    }
    rejected.sort();
    let max_rejected = (records.len() / REQUESTS_PER_REJECTED_CONNECTION).max(1);
    for (at, gateway, id) in rejected.into_iter().skip(max_rejected) {
        let what =
            format!("new connection closed without an answer; at most {max_rejected} of these are allowed");
        judge.report(Rule::Lost, at, &[Party::Gateway(gateway)], Some(id), what);
    }
    judge.verdict.classes = CLASSES.iter().map(|class| class.name.to_owned()).zip(tallies).collect();
}

/// Checks that draining backends receive no new requests, and that gateways together do not overload cold backends.
fn check_backends(judge: &mut Judge<'_>, lines: &[Line], records: &HashMap<&str, RequestRecord>) {
    let mut known_backends: HashMap<(usize, usize), KnownBackend> = HashMap::new();
    // Discovery lists that a fault may have delayed. A list is kept here until the gateway confirms the list's version.
    let mut unconfirmed: Vec<(usize, u64, Vec<Entry>)> = Vec::new();
    // Version of the newest list that each gateway is known to have. An older list does not replace a newer one.
    let mut newest: HashMap<usize, u64> = HashMap::new();
    let mut running: HashMap<usize, u32> = HashMap::new();
    let mut cold: HashMap<usize, ColdBackend> = HashMap::new();
    let learn = |known_backends: &mut HashMap<(usize, usize), KnownBackend>,
                 at: u64,
                 gateway: usize,
                 hosts: &[Entry]| {
        for entry in hosts {
            let known = known_backends.entry((gateway, entry.backend)).or_default();
            known.born_ms = entry.born_ms;
            known.unusable_since = if entry.usable { None } else { known.unusable_since.or(Some(at)) };
        }
    };
    for line in lines {
        let at = line.at;
        match &line.seen {
            Seen::Told { gateway, seq, hosts } => {
                let party = Party::Gateway(*gateway);
                let link_faulty = judge
                    .faults
                    .on_links(Party::Discovery, party, at, at + DELIVERY_TIME_US)
                    .next()
                    .is_some();
                if link_faulty || judge.faults.process_disrupted(*gateway, at, at + DELIVERY_TIME_US) {
                    unconfirmed.push((*gateway, *seq, hosts.clone()));
                } else {
                    newest.insert(*gateway, *seq);
                    learn(&mut known_backends, at, *gateway, hosts);
                }
            }
            Seen::Asked { gateway, after } => {
                let confirmed_seq = newest.entry(*gateway).or_default();
                unconfirmed.retain(|(of, seq, hosts)| {
                    if of == gateway && seq <= after && seq > confirmed_seq {
                        *confirmed_seq = *seq;
                        learn(&mut known_backends, at, *gateway, hosts);
                    }
                    of != gateway || seq > after
                });
            }
            Seen::Up { gateway, .. } => *running.entry(*gateway).or_default() += 1,
            Seen::Down { gateway, .. } => {
                let process_count = running.entry(*gateway).or_default();
                *process_count = process_count.saturating_sub(1);
                if *process_count == 0 {
                    known_backends.retain(|(of, _), _| of != gateway);
                    unconfirmed.retain(|(of, ..)| of != gateway);
                    newest.remove(gateway);
                }
            }
            Seen::Born { backend, born_ms } => {
                let new = ColdBackend { born: at, born_ms: *born_ms, sent: VecDeque::new() };
                cold.insert(*backend, new);
            }
            Seen::Arrived { id, backend, gateway, work_ms, .. } => {
                let known = gateway.and_then(|gateway| known_backends.get(&(gateway, *backend)).copied());
                let known = known.unwrap_or_default();
                if let (Some(gateway), Some(since)) = (gateway, known.unusable_since) {
                    let (receiver, from) = (Party::Backend(*backend), Party::Gateway(*gateway));
                    let deadline = since
                        + DRAIN_DEADLINE_US
                        + judge.faults.paused_time(*gateway, since, at)
                        + judge.faults.delay(from, receiver, since, at);
                    if at > deadline
                        && !judge.faults.bytes_withheld(from, receiver, since + DRAIN_DEADLINE_US, at)
                    {
                        let what =
                            format!("sent to b{backend} {} ms after the drain notice", (at - since) / 1000);
                        judge.report(Rule::Drain, at, &[from, receiver], Some(id), what);
                    }
                }
                if let Some(cold_backend) = cold.get_mut(backend) {
                    let informed = known.born_ms == cold_backend.born_ms;
                    if let Some((senders, sum, allowed)) = cold_backend.take(at, *work_ms, *gateway, informed)
                    {
                        cold.remove(backend);
                        if !senders.is_empty() {
                            let what = format!(
                                "cold backend b{backend} received {sum:.0} ms of work, {allowed:.0} ms allowed"
                            );
                            judge.report(Rule::Fall, at, &senders, Some(id), what);
                        }
                    }
                }
                // No client sent a request with this id.
                if records.get(id.as_str()).is_none_or(|record| record.sent == 0) {
                    let parties: Vec<Party> = gateway.iter().map(|g| Party::Gateway(*g)).collect();
                    judge.report(
                        Rule::Forged,
                        at,
                        &parties,
                        Some(id),
                        "a request that no client sent".into(),
                    );
                }
            }
            _ => {}
        }
    }
}

impl ColdBackend {
    /// Records work that arrived. If the work within the window exceeds the limit, returns the gateways that sent the
    /// work, the total work and the allowed work. The list of gateways is empty if more than a third of the work came
    /// from gateways that did not yet know of the cold start.
    fn take(
        &mut self, at: u64, work: f64, gateway: Option<usize>, informed: bool,
    ) -> Option<(Vec<Party>, f64, f64)> {
        let (window, multiple) = (OVERLOAD_LIMIT.0.as_micros() as u64, OVERLOAD_LIMIT.1);
        self.sent.push_back((at, work, gateway, informed));
        while self.sent.front().is_some_and(|(arrived_at, ..)| arrived_at + window < at) {
            self.sent.pop_front();
        }
        let sum: f64 = self.sent.iter().map(|(_, work, ..)| work).sum();
        let speed_share = |at: u64| warmth(Duration::from_micros(at.saturating_sub(self.born)));
        let mean = (speed_share(at.saturating_sub(window)) + speed_share(at)) / 2.0;
        // Slack for random variation: three standard deviations of the sum of as many exponentially distributed values
        // as requests arrived in the window.
        let slack = 3.0 * sum / (self.sent.len() as f64).sqrt();
        let allowed = multiple * mean * OVERLOAD_LIMIT.0.as_secs_f64() * 1000.0 + slack;
        if sum <= allowed {
            return None;
        }
        let informed_work: f64 =
            self.sent.iter().filter(|(.., informed)| *informed).map(|(_, work, ..)| work).sum();
        let mut senders: Vec<Party> =
            self.sent.iter().filter_map(|(_, _, gateway, _)| gateway.map(Party::Gateway)).collect();
        senders.sort();
        senders.dedup();
        Some((if informed_work * 3.0 >= sum * 2.0 { senders } else { Vec::new() }, sum, allowed))
    }
}

/// Checks ceilings and counts requests in excess of quotas.
fn check_customers(judge: &mut Judge<'_>, lines: &[Line], records: &HashMap<&str, RequestRecord>) {
    let (mut quotas, mut ceilings) = (HashMap::new(), HashMap::<usize, (TokenBucket, Vec<Party>)>::new());
    let mut excess_counts: HashMap<usize, u64> = HashMap::new();
    let mut forwarded = std::collections::HashSet::new();
    for line in lines {
        match &line.seen {
            Seen::Added { .. } => judge.verdict.counter_calls += 1,
            Seen::Arrived { id, backend, gateway, .. } if forwarded.insert(id.as_str()) => {
                let Some(record) = records.get(id.as_str()) else { continue };
                let (customer, plan) = (record.customer.0, &PLANS[record.customer.1 % PLANS.len()]);
                let (rate, burst) = plan.quota;
                let quota = quotas.entry(customer).or_insert(TokenBucket { level: burst, updated_at: 0 });
                // Each request counts once, even if the bucket is empty.
                let level = quota.take(line.at, rate, burst);
                judge.verdict.beyond.1 += 1;
                if level < 0.0 {
                    judge.verdict.beyond.0 += 1;
                    quota.level += 1.0;
                }
                let Some((rate, burst, slack)) = plan.ceiling else { continue };
                let new = || (TokenBucket { level: burst, updated_at: 0 }, Vec::new());
                let (bucket, parties) = ceilings.entry(customer).or_insert_with(new);
                let level = bucket.take(line.at, rate, burst);
                let from = gateway.map(Party::Gateway);
                parties.extend(from);
                let delay = from.map_or(0, |from| {
                    judge.faults.delay(from, Party::Backend(*backend), record.sent, line.at)
                });
                let slack = slack + rate * (CEILING_SLACK_SECONDS + delay as f64 / 1e6);
                let use_ratio = (burst - level) / (burst + slack);
                judge.verdict.nearest_to_ceiling = judge.verdict.nearest_to_ceiling.max(use_ratio);
                if level < -slack {
                    // Report one violation per excess period, not one per request.
                    let excess_count = excess_counts.entry(customer).or_default();
                    *excess_count += 1;
                    if *excess_count == 1 {
                        let mut recent_parties = parties.split_off(parties.len().saturating_sub(20));
                        recent_parties.sort();
                        recent_parties.dedup();
                        let what = format!(
                            "token bucket of customer {customer} is at {level:.2}, {:.2} allowed",
                            -slack
                        );
                        judge.report(Rule::Ceiling, line.at, &recent_parties, Some(id), what);
                    }
                } else if level > 0.0 {
                    excess_counts.remove(&customer);
                }
            }
            _ => {}
        }
    }
}

/// Checks for processes that exited unexpectedly or exceeded a resource limit.
fn check_processes(judge: &mut Judge<'_>, lines: &[Line]) {
    let mut reported = std::collections::HashSet::new();
    for line in lines {
        match &line.seen {
            Seen::Down { gateway, asked: false, status, pid } => {
                let what = format!("process {pid}: {status}");
                judge.report(Rule::Crash, line.at, &[Party::Gateway(*gateway)], None, what);
            }
            Seen::Holds { gateway, pid, descriptors, resident_kb } => {
                let max_held = &mut judge.verdict.most_held;
                *max_held = (max_held.0.max(*descriptors), max_held.1.max(*resident_kb));
                let exceeded = *descriptors > PROCESS_LIMITS.0 || *resident_kb > PROCESS_LIMITS.1 * 1024;
                if exceeded && reported.insert(*pid) {
                    let what = format!(
                        "process {pid} uses {descriptors} file descriptors and {resident_kb} kB of memory"
                    );
                    judge.report(Rule::Limit, line.at, &[Party::Gateway(*gateway)], None, what);
                }
            }
            _ => {}
        }
    }
}

/// Checks that the fencing tokens of a duty never decrease and that each belongs to one gateway. Records the
/// takeovers and how long no gateway performed the duty.
fn check_duties(judge: &mut Judge<'_>, lines: &[Line]) {
    let mut last: HashMap<&str, (u64, usize, u64)> = HashMap::new();
    for line in lines {
        let Seen::Acted { gateway, duty, fence } = &line.seen else { continue };
        let Some((at, by, before)) = last.insert(duty, (line.at, *gateway, *fence)) else { continue };
        let gap = (line.at - at) as f64 / 1e6;
        if *fence < before || (*fence == before && *gateway != by) {
            let what = format!(
                "{duty} performed under fence {fence}, {:.0} ms after g{by} under fence {before}",
                gap * 1e3
            );
            judge.report(Rule::Fence, line.at, &[Party::Gateway(*gateway), Party::Gateway(by)], None, what);
            // Keep comparing with the higher fencing token.
            last.insert(duty, (at, by, before));
        } else if *fence != before {
            let passed =
                Takeover { duty: duty.clone(), from: by, to: *gateway, at: line.at as f64 / 1e6, gap };
            judge.verdict.passed.push(passed);
        }
    }
}

/// Computes the served worth by the time at which requests were due, and the service level during and after each fault.
fn measure_service(judge: &mut Judge<'_>, lines: &[Line], records: &HashMap<&str, RequestRecord>) {
    let Some(last) = records.values().map(|record| record.due).max() else { return };
    let mut worth = vec![(0.0, 0.0); (last / BUCKET_US) as usize + 1];
    for record in records.values().filter(|record| record.due > 0) {
        let Some(class) = CLASSES.get(record.class) else { continue };
        let bucket = &mut worth[(record.due / BUCKET_US) as usize];
        bucket.0 += class.worth;
        if let Some((at, Ended::Answered { status: 200, .. })) = &record.ended
            && *at <= record.due + class.aim_ms * 1000
        {
            bucket.1 += class.worth;
        }
    }
    let share = |from: usize, to: usize| {
        let buckets = worth.get(from..to.min(worth.len())).unwrap_or_default();
        let (offered, served) = buckets.iter().fold((0.0, 0.0), |sum, (o, s)| (sum.0 + o, sum.1 + s));
        (offered > 0.0).then_some(served / offered)
    };
    let bucket_index = |stamp: u64| (stamp / BUCKET_US) as usize;
    let first_due = lines.iter().find(|line| matches!(line.seen, Seen::Due { .. })).map_or(0, |line| line.at);
    let first = judge.faults.all.iter().map(|(_, begin, _)| *begin).min();
    // The first second is excluded: the gateways have neither backend connections nor quota from the counter yet.
    let before = first
        .and_then(|first| share(bucket_index(first_due) + WINDOW_BUCKETS, bucket_index(first)))
        .filter(|share| *share > 0.0);
    if let Some(before) = before {
        for (fault, begin, end) in &judge.faults.all {
            let end = (*end).min(last);
            let during = share(bucket_index(*begin), bucket_index(end).max(bucket_index(*begin) + 1));
            let window_starts = worth.len().saturating_sub(WINDOW_BUCKETS - 1);
            let mut after = bucket_index(end)..window_starts;
            let recovered_at = after.find(|from| {
                share(*from, from + WINDOW_BUCKETS).is_some_and(|now| now >= before * RECOVERED_RATIO)
            });
            judge.verdict.through.push(ServiceImpact {
                fault: fault.text.clone(),
                during: during.map(|share| share / before),
                back_after: recovered_at
                    .map(|from| (from as u64 * BUCKET_US).saturating_sub(end) as f64 / 1e6),
            });
        }
    }
    judge.verdict.worth = worth;
}
