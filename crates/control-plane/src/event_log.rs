//! Records of what this process decided and saw: bounded, and without text until somebody reads them.

use crate::admission::Decision;
use crate::config_history::Verdict;
use observability::{Ring, Seldom};
use protocol::{Backend, Phase};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Records of backends: a herd that dies writes many, which must not cost those of all else.
const BACKEND_EVENT_CAPACITY: usize = 384;
/// All other records.
const OTHER_EVENT_CAPACITY: usize = 128;
/// DataPlanes that are gone are known by name up to so many, to tell a return from a first word.
const MAX_KNOWN_DATA_PLANES: usize = 4096;

/// So many lines of one kind go to the log in so many ms; what is left out there is among the records.
const LOG_RATE_LIMIT: (u32, u64) = (20, 10_000);
/// The kinds of lines.
const RATE_LIMITED_STEPS: [&str; 7] =
    ["leader", "quota_service", "config", "data_plane", "voters", "dial", "drain"];

/// EventKind happened.
#[derive(Clone, Debug)]
pub enum EventKind {
    /// Another leader, or none.
    Leader(Option<SocketAddr>),
    /// This process holds the counts, or does no more.
    QuotaService(bool),
    /// A change was decided on.
    Change(Verdict),
    /// A configuration that can't be read.
    InvalidConfig(Box<str>),
    /// A backend of a service.
    Backend(Rc<str>, StatusChange),
    /// The leaving of a backend was acknowledged or refused.
    DrainReply {
        /// Whether it was acknowledged.
        acknowledged: bool,
    },
    /// A data plane.
    DataPlane(StatusChange),
    /// The voters are these now.
    Voters(Box<[Box<str>]>),
}

/// How this process learnt of a change of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// The backend called this process.
    Call,
    /// Another control plane told of it.
    Peer(&'a str),
    /// It was silent for too long.
    Silence,
    /// The log records it.
    Log,
}

impl fmt::Display for Origin<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call => f.write_str("its own call"),
            Self::Peer(name) => f.write_str(name),
            Self::Silence => f.write_str("its silence"),
            Self::Log => f.write_str("the log"),
        }
    }
}

/// EventKind became of somebody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// Heard for the first time.
    First,
    /// It finishes its work.
    Draining,
    /// Its beats are missed.
    Overdue,
    /// Heard again.
    Back,
    /// Another life under the same name.
    Restarted,
    /// Over, or not heard for so long that it does not count.
    Gone,
}

/// One record.
#[derive(Clone, Debug)]
pub struct Event {
    at: u64,
    subject: Rc<str>,
    kind: EventKind,
    epoch: u64,
    version: u64,
}

impl EventKind {
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

/// EventKind is counters since the start, for metrics.
#[derive(Debug, Default)]
pub struct Counters {
    /// Calls by kind.
    pub calls: BTreeMap<&'static str, u64>,
    /// Changes by what became of them here.
    pub changes: BTreeMap<&'static str, u64>,
    /// Other leaders than before.
    pub leader_changes: u64,
    /// Calls of backends that leave, acknowledged and refused.
    pub drain_replies: (u64, u64),
    /// Draws that this process answered as the holder, and others.
    pub lease_requests: (u64, u64),
}

/// Keeps the records.
#[derive(Debug)]
pub struct EventLog {
    backends: Ring<Event>,
    others: Ring<Event>,
    epoch: u64,
    version: u64,
    leader: Option<SocketAddr>,
    /// Backends that are not over, as they were told of last.
    live_backends: HashMap<Rc<str>, (Phase, bool)>,
    /// Services by name, so that records share it.
    services: HashSet<Rc<str>>,
    /// The life of each data plane; none once it counts no more.
    data_planes: BTreeMap<Rc<str>, Option<u64>>,
    line_limits: [Seldom; RATE_LIMITED_STEPS.len()],
    candidacy_limit: Seldom,
    pub counters: Counters,
}

impl EventLog {
    pub fn new() -> Self {
        Self {
            backends: Ring::new(BACKEND_EVENT_CAPACITY),
            others: Ring::new(OTHER_EVENT_CAPACITY),
            epoch: 0,
            version: 0,
            leader: None,
            live_backends: HashMap::new(),
            services: HashSet::new(),
            data_planes: BTreeMap::new(),
            line_limits: RATE_LIMITED_STEPS.map(|_| Seldom::new(LOG_RATE_LIMIT.0, LOG_RATE_LIMIT.1)),
            // Without a majority there is one after each wait.
            candidacy_limit: Seldom::new(1, LOG_RATE_LIMIT.1),
            counters: Counters::default(),
        }
    }

    /// Something happened to somebody.
    pub fn record(&mut self, at: u64, subject: impl Into<Rc<str>>, kind: EventKind) {
        let (subject, epoch, version) = (subject.into(), self.epoch, self.version);
        let (step, peer) = (kind.step(), &*subject);
        if let EventKind::Backend(..) = kind {
            spdlog::debug!("{}", kind, kv: { step, peer, version, epoch });
        } else if let Some(left_out) = self.allow_line(step, at) {
            spdlog::info!("{}", kind, kv: { step, peer, version, epoch, left_out });
        }
        let of_backend = matches!(kind, EventKind::Backend(..) | EventKind::DrainReply { .. });
        let ring = if of_backend { &mut self.backends } else { &mut self.others };
        ring.push(Event { at, subject, kind, epoch, version });
    }

    /// Whether a line of this kind may go to the log, and how many were left out before it.
    pub fn allow_line(&mut self, step: &str, at: u64) -> Option<u64> {
        let kind = RATE_LIMITED_STEPS.iter().position(|known| *known == step);
        kind.map_or(Some(0), |kind| self.line_limits[kind].pass(at))
    }

    /// This process stands for election, again and again where there is no majority.
    pub fn on_candidacy(&mut self, at: u64, epoch: u64) {
        if let Some(left_out) = self.candidacy_limit.pass(at) {
            let version = self.version;
            spdlog::info!("stands for election", kv: { step = "election", version, epoch, left_out });
        }
    }

    /// How things stand now.
    pub fn on_leader_state(&mut self, at: u64, leader: Option<SocketAddr>, epoch: u64, version: u64) {
        (self.epoch, self.version) = (epoch, version);
        if leader != self.leader {
            let subject = leader.or(self.leader).map_or_else(String::new, |who| who.to_string());
            self.leader = leader;
            self.counters.leader_changes += u64::from(leader.is_some());
            self.record(at, subject, EventKind::Leader(leader));
        }
    }

    /// A change was decided on.
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

    /// An order came to this leader. EventKind is proposed is told once the log has decided.
    pub fn on_decision(&mut self, at: u64, decision: &Decision) {
        match decision {
            Decision::Propose(_) => {}
            Decision::Decided { version, verdict } => self.on_verdict(at, *version, *verdict),
            Decision::Invalid(why) => self.on_invalid_config(at, why),
        }
    }

    /// A configuration came that can't be read.
    pub fn on_invalid_config(&mut self, at: u64, why: &str) {
        *self.counters.changes.entry("unread").or_default() += 1;
        self.record(at, "unread", EventKind::InvalidConfig(why.chars().take(200).collect::<String>().into()));
    }

    /// A call of a backend that leaves got its answer.
    pub fn on_drain_reply(&mut self, at: u64, id: &str, acknowledged: bool) {
        let (done, refused) = &mut self.counters.drain_replies;
        *if acknowledged { done } else { refused } += 1;
        self.record(at, id, EventKind::DrainReply { acknowledged });
    }

    /// A line of the log that says who told this process that a backend drains.
    fn log_drain(&mut self, at: u64, id: &str, origin: Origin<'_>) {
        if let Some(left_out) = self.allow_line("drain", at) {
            let (version, epoch) = (self.version, self.epoch);
            spdlog::info!("drains, by {}", origin, kv: { step = "drain", peer = id, version, epoch, left_out });
        }
    }

    /// These backends are told otherwise from now on.
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
                // Its address, its room or its zone is another one.
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
        // Who has more services than this has them anew with each record.
        if self.services.len() < 256 {
            self.services.insert(name.clone());
        }
        name
    }

    /// The data planes that count now: name and life, by name.
    pub fn on_data_planes<'a>(&mut self, at: u64, now: impl Iterator<Item = (&'a str, u64)>) {
        let now: BTreeMap<&str, u64> = now.collect();
        let mut changed: Vec<(Rc<str>, Option<u64>, StatusChange)> = Vec::new();
        for (name, life) in &now {
            let change = match self.data_planes.get(*name) {
                Some(Some(known)) if known == life => continue,
                Some(Some(_)) => StatusChange::Restarted,
                Some(None) => StatusChange::Back,
                None if self.data_planes.len() >= MAX_KNOWN_DATA_PLANES => continue,
                None => StatusChange::First,
            };
            changed.push((Rc::from(*name), Some(*life), change));
        }
        let lost =
            self.data_planes.iter().filter(|(name, life)| life.is_some() && !now.contains_key(&***name));
        changed.extend(lost.map(|(name, _)| (name.clone(), None, StatusChange::Gone)));
        for (name, life, change) in changed {
            self.data_planes.insert(name.clone(), life);
            self.record(at, name, EventKind::DataPlane(change));
        }
    }

    /// All records about something, the newest first: `wanted` knows its names.
    pub fn events_about(&self, now: u64, matches: impl Fn(&str) -> bool) -> Vec<Value> {
        let is_match = |event: &&Event| {
            matches(&event.subject)
                || match &event.kind {
                    EventKind::Backend(service, _) => matches(service),
                    EventKind::Voters(list) => list.iter().any(|voter| matches(voter)),
                    _ => false,
                }
        };
        let mut found: Vec<_> = self.backends.newest().chain(self.others.newest()).filter(is_match).collect();
        found.sort_by_key(|event| std::cmp::Reverse(event.at));
        let to_json = |event: &Event| {
            json!({ "age_ms": now.saturating_sub(event.at), "step": event.kind.step(),
                "subject": &*event.subject, "text": event.kind.to_string(), "epoch": event.epoch,
                "version": format!("r{}", event.version) })
        };
        found.into_iter().map(to_json).collect()
    }

    /// How many records went to make room for others.
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
    fn a_backend_s_life_is_told_newest_first() {
        let mut event_log = EventLog::new();
        let words = [
            (Phase::Serving, false),
            (Phase::Serving, true),
            (Phase::Serving, false),
            (Phase::Draining, false),
        ];
        for (at, (phase, overdue)) in words.into_iter().chain([(Phase::Gone, false); 2]).enumerate() {
            event_log.on_backends(at as u64, &[backend(phase, overdue)], Origin::Call);
        }
        let told =
            ["gone", "drains", "heard again", "overdue, its beats are missed", "heard for the first time"];
        assert_eq!(texts(&event_log, "i"), told.map(|text| format!("backend of s: {text}")));
        assert_eq!((texts(&event_log, "s").len(), texts(&event_log, "other").len()), (5, 0));
        assert!(event_log.live_backends.is_empty(), "lives that are over take no room");
    }

    #[test]
    fn a_data_plane_comes_goes_and_returns() {
        let mut event_log = EventLog::new();
        for data_planes in [vec![("q", 1)], vec![("q", 1)], vec![("q", 2)], vec![], vec![], vec![("q", 3)]] {
            event_log.on_data_planes(1, data_planes.into_iter());
        }
        let told = ["heard again", "gone", "another life under the same name", "heard for the first time"];
        assert_eq!(texts(&event_log, "q"), told.map(|text| format!("data plane: {text}")));
    }

    #[test]
    fn a_herd_of_backends_does_not_cost_the_other_records() {
        let mut event_log = EventLog::new();
        event_log.on_leader_state(1, Some(([127, 0, 0, 1], 7).into()), 3, 2);
        for n in 0..BACKEND_EVENT_CAPACITY * 2 {
            let backend = Backend { id: n.to_string(), ..backend(Phase::Serving, false) };
            event_log.on_backends(2, &[backend], Origin::Peer("m"));
        }
        assert_eq!(texts(&event_log, "127.0.0.1:7").len(), 1);
        assert_eq!(
            (texts(&event_log, "s").len(), event_log.dropped_events()),
            (BACKEND_EVENT_CAPACITY, BACKEND_EVENT_CAPACITY as u64)
        );
    }
}
