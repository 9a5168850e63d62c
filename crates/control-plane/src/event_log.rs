//! Bounded log of events that this process decided or observed. Texts are formatted only when the events are read.
//!
//! An event has a subject, such as a backend or a data plane, and a step (the kind of the event in log lines).

use crate::admission::Decision;
use crate::config_history::Verdict;
use observability::{LogRateLimiter, RingBuffer};
use protocol::{Backend, Phase};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Capacity for events of backends, kept separately: a mass failure of backends must not evict other events.
const BACKEND_EVENT_CAPACITY: usize = 384;
/// Capacity for all other events.
const OTHER_EVENT_CAPACITY: usize = 128;
/// Maximum number of remembered data planes. A departed data plane is remembered to distinguish a return from a first
/// appearance.
const MAX_KNOWN_DATA_PLANES: usize = 4096;

/// Maximum number of log lines per interval with the same `step` field (the kind of event), and the interval in
/// milliseconds. Events whose log line is suppressed are still recorded.
const LOG_RATE_LIMIT: (u32, u64) = (20, 10_000);
/// Steps whose log lines are subject to [`LOG_RATE_LIMIT`].
const RATE_LIMITED_STEPS: [&str; 7] =
    ["leader", "quota_service", "config", "data_plane", "voters", "dial", "drain"];

/// Kind of an event, with its details.
#[derive(Clone, Debug)]
pub enum EventKind {
    /// The leader changed; `None` if no leader is known.
    Leader(Option<SocketAddr>),
    /// This process became a quota holder, or ceased to be one.
    QuotaService(bool),
    /// The verdict on a change.
    Change(Verdict),
    /// A configuration that could not be parsed.
    InvalidConfig(Box<str>),
    /// The status of a backend of this service changed.
    Backend(Rc<str>, StatusChange),
    /// The drain of a backend was acknowledged or refused.
    DrainReply {
        /// Whether the drain was acknowledged.
        acknowledged: bool,
    },
    /// The status of a data plane changed.
    DataPlane(StatusChange),
    /// The voter list changed.
    Voters(Box<[Box<str>]>),
}

/// How this process learned of a change of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// The backend called this process.
    Call,
    /// Another control plane reported the change.
    Peer(&'a str),
    /// The backend was silent for too long.
    Silence,
    /// The drain is recorded in the Raft log.
    Log,
}

impl fmt::Display for Origin<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call => f.write_str("its own call"),
            Self::Peer(name) => f.write_str(name),
            Self::Silence => f.write_str("its silence"),
            Self::Log => f.write_str("the Raft log"),
        }
    }
}

/// A change in the status of a backend or data plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// The backend or data plane appeared for the first time.
    First,
    /// The backend drains: it finishes its running requests before it ends.
    Draining,
    /// The heartbeats of the backend are overdue.
    Overdue,
    /// Heartbeats or contact resumed after a silence.
    Back,
    /// A new incarnation under the same name.
    Restarted,
    /// The backend or data plane has ended, or has been silent for so long that it no longer counts.
    Gone,
}

/// One recorded event.
#[derive(Clone, Debug)]
pub struct Event {
    /// Milliseconds since the start of this process.
    at: u64,
    /// Backend id, data plane name, control plane address, configuration version such as `r7`, or a fixed name such
    /// as `voters`.
    subject: Rc<str>,
    kind: EventKind,
    /// Raft term in which the event was recorded; reported as `epoch`.
    epoch: u64,
    /// Newest configuration version at the time of the event.
    version: u64,
}

impl EventKind {
    /// Kind of the event in the `step` field of log lines.
    fn step(&self) -> &'static str {
        match self {
            Self::Leader(_) => "leader",
            Self::QuotaService(_) => "quota_service",
            Self::Change(_) | Self::InvalidConfig(_) => "config",
            Self::Backend(..) => "backend",
            Self::DrainReply { .. } => "drain",
            Self::DataPlane(_) => "data_plane",
            Self::Voters(_) => "voters",
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leader(Some(leader)) => write!(f, "{leader} leads, as far as this process knows"),
            Self::Leader(None) => write!(f, "no leader is known here"),
            Self::QuotaService(true) => write!(f, "this process holds the counts"),
            Self::QuotaService(false) => write!(f, "this process holds the counts no more"),
            Self::Change(Verdict::Accepted) => write!(f, "taken: in force from here on"),
            Self::Change(Verdict::AlreadyAccepted) => write!(f, "the same had been taken before"),
            Self::Change(Verdict::Stale { current }) => {
                write!(f, "refused: it builds on another version than r{current}, which is in place")
            }
            Self::Change(Verdict::VersionNotHigher { current }) => {
                write!(f, "refused: its number is not above r{current}, which is in place")
            }
            Self::Change(Verdict::BaseAhead { base, current }) => {
                write!(f, "not decided: it builds on r{base}, which is not in place but r{current}")
            }
            Self::Change(Verdict::DigestEvicted { oldest }) => {
                write!(f, "not decided: versions before r{oldest} are not remembered")
            }
            Self::InvalidConfig(why) => write!(f, "refused: {why}"),
            Self::Backend(service, change) => write!(f, "backend of {service}: {change}"),
            Self::DrainReply { acknowledged: true } => write!(f, "its leaving is acknowledged"),
            Self::DrainReply { acknowledged: false } => {
                write!(f, "its leaving is not acknowledged here")
            }
            Self::DataPlane(change) => write!(f, "data plane: {change}"),
            Self::Voters(list) => write!(f, "the voters are {}", list.join(", ")),
        }
    }
}

impl fmt::Display for StatusChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::First => "heard for the first time",
            Self::Draining => "drains",
            Self::Overdue => "overdue, its beats are missed",
            Self::Back => "heard again",
            Self::Restarted => "another life under the same name",
            Self::Gone => "gone",
        })
    }
}

/// Counters since the start, for metrics.
#[derive(Debug, Default)]
pub struct Counters {
    /// Calls by kind.
    pub calls: BTreeMap<&'static str, u64>,
    /// Changes by their outcome at this process.
    pub changes: BTreeMap<&'static str, u64>,
    /// Number of leader changes.
    pub leader_changes: u64,
    /// Drain calls of backends that were acknowledged, and those that were refused.
    pub drain_replies: (u64, u64),
    /// Lease requests that this process served as a quota holder, and those that it declined.
    pub lease_requests: (u64, u64),
}

/// Records events, limits log lines, and counts for metrics.
#[derive(Debug)]
pub struct EventLog {
    /// Events of backends.
    backends: RingBuffer<Event>,
    /// All other events.
    others: RingBuffer<Event>,
    /// Current Raft term, copied into each new event.
    epoch: u64,
    /// Newest configuration version, copied into each new event.
    version: u64,
    /// Leader known to this process.
    leader: Option<SocketAddr>,
    /// Last known phase and overdue flag of backends that have not ended.
    live_backends: HashMap<Rc<str>, (Phase, bool)>,
    /// Interned service names, shared by the events.
    services: HashSet<Rc<str>>,
    /// Incarnation of each known data plane; `None` once the data plane no longer counts.
    data_planes: BTreeMap<Rc<str>, Option<u64>>,
    /// Rate limiters of the log lines, one for each of [`RATE_LIMITED_STEPS`].
    line_limits: [LogRateLimiter; RATE_LIMITED_STEPS.len()],
    /// Rate limiter of the log lines about candidacies of this process.
    candidacy_limit: LogRateLimiter,
    pub counters: Counters,
}

impl EventLog {
    pub fn new() -> Self {
        Self {
            backends: RingBuffer::new(BACKEND_EVENT_CAPACITY),
            others: RingBuffer::new(OTHER_EVENT_CAPACITY),
            epoch: 0,
            version: 0,
            leader: None,
            live_backends: HashMap::new(),
            services: HashSet::new(),
            data_planes: BTreeMap::new(),
            line_limits: RATE_LIMITED_STEPS.map(|_| LogRateLimiter::new(LOG_RATE_LIMIT.0, LOG_RATE_LIMIT.1)),
            // Without a majority, candidacies repeat after each election timeout.
            candidacy_limit: LogRateLimiter::new(1, LOG_RATE_LIMIT.1),
            counters: Counters::default(),
        }
    }

    /// Records an event and logs it.
    pub fn record(&mut self, at: u64, subject: impl Into<Rc<str>>, kind: EventKind) {
        let (subject, epoch, version) = (subject.into(), self.epoch, self.version);
        let (step, peer) = (kind.step(), &*subject);
        if let EventKind::Backend(..) = kind {
            spdlog::debug!("{}", kind, kv: { step, peer, version, epoch });
        } else if let Some(left_out) = self.allow_line(step, at) {
            spdlog::info!("{}", kind, kv: { step, peer, version, epoch, left_out });
        }
        let is_backend_event = matches!(kind, EventKind::Backend(..) | EventKind::DrainReply { .. });
        let ring = if is_backend_event { &mut self.backends } else { &mut self.others };
        ring.push(Event { at, subject, kind, epoch, version });
    }

    /// Returns `None` if a log line of this step must be suppressed, otherwise the number of lines suppressed before.
    pub fn allow_line(&mut self, step: &str, at: u64) -> Option<u64> {
        let kind = RATE_LIMITED_STEPS.iter().position(|known| *known == step);
        kind.map_or(Some(0), |kind| self.line_limits[kind].try_acquire(at))
    }

    /// Logs a candidacy of this process. Without a majority, candidacies repeat.
    pub fn on_candidacy(&mut self, at: u64, epoch: u64) {
        if let Some(left_out) = self.candidacy_limit.try_acquire(at) {
            let version = self.version;
            spdlog::info!("stands for election", kv: { step = "election", version, epoch, left_out });
        }
    }

    /// Updates the leader, the Raft term (`epoch`) and the version, and records a change of the leader.
    pub fn on_leader_state(&mut self, at: u64, leader: Option<SocketAddr>, epoch: u64, version: u64) {
        (self.epoch, self.version) = (epoch, version);
        if leader != self.leader {
            let subject = leader.or(self.leader).map_or_else(String::new, |address| address.to_string());
            self.leader = leader;
            self.counters.leader_changes += u64::from(leader.is_some());
            self.record(at, subject, EventKind::Leader(leader));
        }
    }

    /// Records the verdict on a change.
    pub fn on_verdict(&mut self, at: u64, version: u64, verdict: Verdict) {
        let outcome = match verdict {
            Verdict::Accepted => "taken",
            Verdict::AlreadyAccepted => "taken_before",
            Verdict::Stale { .. } => "stale",
            Verdict::VersionNotHigher { .. } => "not_above",
            Verdict::BaseAhead { .. } => "ahead",
            Verdict::DigestEvicted { .. } => "forgotten",
        };
        *self.counters.changes.entry(outcome).or_default() += 1;
        self.record(at, format!("r{version}"), EventKind::Change(verdict));
    }

    /// Records a decision on an order. A proposed order is recorded once the log has decided.
    pub fn on_decision(&mut self, at: u64, decision: &Decision) {
        match decision {
            Decision::Propose(_) => {}
            Decision::Decided { version, verdict } => self.on_verdict(at, *version, *verdict),
            Decision::Invalid(why) => self.on_invalid_config(at, why),
        }
    }

    /// Records a configuration that could not be parsed.
    pub fn on_invalid_config(&mut self, at: u64, why: &str) {
        *self.counters.changes.entry("unread").or_default() += 1;
        self.record(at, "unread", EventKind::InvalidConfig(why.chars().take(200).collect::<String>().into()));
    }

    /// Records the reply to a drain call of a backend.
    pub fn on_drain_reply(&mut self, at: u64, id: &str, acknowledged: bool) {
        let (accepted, refused) = &mut self.counters.drain_replies;
        *if acknowledged { accepted } else { refused } += 1;
        self.record(at, id, EventKind::DrainReply { acknowledged });
    }

    /// Logs from whom this process learned that a backend drains.
    fn log_drain(&mut self, at: u64, id: &str, origin: Origin<'_>) {
        if let Some(left_out) = self.allow_line("drain", at) {
            let (version, epoch) = (self.version, self.epoch);
            spdlog::info!("drains, reported by {}", origin, kv: { step = "drain", peer = id, version, epoch, left_out });
        }
    }

    /// Records the status changes of these backends.
    pub fn on_backends(&mut self, at: u64, backends: &[Backend], origin: Origin<'_>) {
        for backend in backends {
            let known = self.live_backends.get(&*backend.id).copied();
            let change = match (known, backend.phase) {
                (None, Phase::Gone) => continue,
                (Some(_), Phase::Gone) => StatusChange::Gone,
                (None, Phase::Serving) => StatusChange::First,
                (Some((Phase::Serving, _)) | None, Phase::Draining) => StatusChange::Draining,
                (Some((_, false)), _) if backend.overdue => StatusChange::Overdue,
                (Some((_, true)), _) if !backend.overdue => StatusChange::Back,
                // Only the address, capacity or zone of the backend has changed.
                _ => continue,
            };
            let id = match self.live_backends.get_key_value(&*backend.id) {
                Some((id, _)) => id.clone(),
                None => Rc::from(&*backend.id),
            };
            if backend.phase == Phase::Gone {
                self.live_backends.remove(&id);
            } else {
                self.live_backends.insert(id.clone(), (backend.phase, backend.overdue));
            }
            let service = self.intern_service(&backend.service);
            if change == StatusChange::Draining {
                self.log_drain(at, &id, origin);
            }
            self.record(at, id, EventKind::Backend(service, change));
        }
    }

    fn intern_service(&mut self, name: &str) -> Rc<str> {
        if let Some(known) = self.services.get(name) {
            return known.clone();
        }
        let name = Rc::<str>::from(name);
        // Services beyond this limit are not interned: each event holds its own copy of the name.
        if self.services.len() < 256 {
            self.services.insert(name.clone());
        }
        name
    }

    /// Records changes in the fleet; `now` yields name and incarnation of each data plane that currently counts.
    pub fn on_data_planes<'a>(&mut self, at: u64, now: impl Iterator<Item = (&'a str, u64)>) {
        let now: BTreeMap<&str, u64> = now.collect();
        let mut changed: Vec<(Rc<str>, Option<u64>, StatusChange)> = Vec::new();
        for (name, incarnation) in &now {
            let change = match self.data_planes.get(*name) {
                Some(Some(known)) if known == incarnation => continue,
                Some(Some(_)) => StatusChange::Restarted,
                Some(None) => StatusChange::Back,
                None if self.data_planes.len() >= MAX_KNOWN_DATA_PLANES => continue,
                None => StatusChange::First,
            };
            changed.push((Rc::from(*name), Some(*incarnation), change));
        }
        let lost = self
            .data_planes
            .iter()
            .filter(|(name, incarnation)| incarnation.is_some() && !now.contains_key(&***name));
        changed.extend(lost.map(|(name, _)| (name.clone(), None, StatusChange::Gone)));
        for (name, incarnation, change) in changed {
            self.data_planes.insert(name.clone(), incarnation);
            self.record(at, name, EventKind::DataPlane(change));
        }
    }

    /// All events of one subject, newest first. `matches` decides which names the subject has.
    pub fn events_about(&self, now: u64, matches: impl Fn(&str) -> bool) -> Vec<Value> {
        let is_match = |event: &&Event| {
            matches(&event.subject)
                || match &event.kind {
                    EventKind::Backend(service, _) => matches(service),
                    EventKind::Voters(list) => list.iter().any(|voter| matches(voter)),
                    _ => false,
                }
        };
        let mut found: Vec<_> = self
            .backends
            .iter_newest_first()
            .chain(self.others.iter_newest_first())
            .filter(is_match)
            .collect();
        found.sort_by_key(|event| std::cmp::Reverse(event.at));
        let to_json = |event: &Event| {
            json!({ "age_ms": now.saturating_sub(event.at), "step": event.kind.step(),
                "subject": &*event.subject, "text": event.kind.to_string(), "epoch": event.epoch,
                "version": format!("r{}", event.version) })
        };
        found.into_iter().map(to_json).collect()
    }

    /// Number of events that were evicted to make room.
    pub fn dropped_events(&self) -> u64 {
        self.backends.dropped() + self.others.dropped()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn backend(phase: Phase, overdue: bool) -> Backend {
        Backend {
            id: "i".into(),
            service: "s".into(),
            address: "127.0.0.1:9".into(),
            zone: "z".into(),
            generation: "v1".into(),
            capacity: 3,
            phase,
            warmup_left_ms: 0,
            call_count: 1,
            overdue,
        }
    }

    fn texts(event_log: &EventLog, about: &str) -> Vec<String> {
        let text = |event: Value| event["text"].as_str().unwrap_or_default().to_owned();
        event_log.events_about(99, |name| name == about).into_iter().map(text).collect()
    }

    #[test]
    fn the_events_of_a_backend_are_listed_newest_first() {
        let mut event_log = EventLog::new();
        let states = [
            (Phase::Serving, false),
            (Phase::Serving, true),
            (Phase::Serving, false),
            (Phase::Draining, false),
        ];
        for (at, (phase, overdue)) in states.into_iter().chain([(Phase::Gone, false); 2]).enumerate() {
            event_log.on_backends(at as u64, &[backend(phase, overdue)], Origin::Call);
        }
        let expected =
            ["gone", "drains", "heard again", "overdue, its beats are missed", "heard for the first time"];
        assert_eq!(texts(&event_log, "i"), expected.map(|text| format!("backend of s: {text}")));
        assert_eq!((texts(&event_log, "s").len(), texts(&event_log, "other").len()), (5, 0));
        assert!(event_log.live_backends.is_empty(), "backends that have ended are not remembered");
    }

    #[test]
    fn restarts_departures_and_returns_of_a_data_plane_are_recorded() {
        let mut event_log = EventLog::new();
        for data_planes in [vec![("q", 1)], vec![("q", 1)], vec![("q", 2)], vec![], vec![], vec![("q", 3)]] {
            event_log.on_data_planes(1, data_planes.into_iter());
        }
        let expected =
            ["heard again", "gone", "another life under the same name", "heard for the first time"];
        assert_eq!(texts(&event_log, "q"), expected.map(|text| format!("data plane: {text}")));
    }

    #[test]
    fn events_of_many_backends_do_not_evict_other_events() {
        let mut event_log = EventLog::new();
        event_log.on_leader_state(1, Some(([127, 0, 0, 1], 7).into()), 3, 2);
        for number in 0..BACKEND_EVENT_CAPACITY * 2 {
            let backend = Backend { id: number.to_string(), ..backend(Phase::Serving, false) };
            event_log.on_backends(2, &[backend], Origin::Peer("m"));
        }
        assert_eq!(texts(&event_log, "127.0.0.1:7").len(), 1);
        assert_eq!(
            (texts(&event_log, "s").len(), event_log.dropped_events()),
            (BACKEND_EVENT_CAPACITY, BACKEND_EVENT_CAPACITY as u64)
        );
    }
}
