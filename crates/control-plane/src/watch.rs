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
const OF_BACKENDS: usize = 384;
/// All other records.
const OF_OTHERS: usize = 128;
/// DataPlanes that are gone are known by name up to so many, to tell a return from a first word.
const MOST_DATA_PLANES: usize = 4096;

/// So many lines of one kind go to the log in so many ms; what is left out there is among the records.
const LINES: (u32, u64) = (20, 10_000);
/// The kinds of lines.
const STEPS: [&str; 7] = ["leader", "quota_service", "config", "data_plane", "voters", "dial", "drain"];

/// What happened.
#[derive(Clone, Debug)]
pub enum What {
    /// Another leader, or none.
    Leader(Option<SocketAddr>),
    /// This process holds the counts, or does no more.
    QuotaService(bool),
    /// A change was decided on.
    Change(Verdict),
    /// A configuration that can't be read.
    Unread(Box<str>),
    /// A backend of a service.
    Backend(Rc<str>, Seen),
    /// The leaving of a backend was acknowledged or refused.
    LeavingAnswered {
        /// Whether it was acknowledged.
        acknowledged: bool,
    },
    /// A data plane.
    DataPlane(Seen),
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

/// What became of somebody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
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
    what: What,
    epoch: u64,
    version: u64,
}

impl What {
    fn step(&self) -> &'static str {
        match self {
            Self::Leader(_) => "leader",
            Self::QuotaService(_) => "quota_service",
            Self::Change(_) | Self::Unread(_) => "config",
            Self::Backend(..) => "backend",
            Self::LeavingAnswered { .. } => "drain",
            Self::DataPlane(_) => "data_plane",
            Self::Voters(_) => "voters",
        }
    }
}

impl fmt::Display for What {
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
            Self::Unread(why) => write!(f, "refused: {why}"),
            Self::Backend(service, seen) => write!(f, "backend of {service}: {seen}"),
            Self::LeavingAnswered { acknowledged: true } => write!(f, "its leaving is acknowledged"),
            Self::LeavingAnswered { acknowledged: false } => {
                write!(f, "its leaving is not acknowledged here")
            }
            Self::DataPlane(seen) => write!(f, "data plane: {seen}"),
            Self::Voters(list) => write!(f, "the voters are {}", list.join(", ")),
        }
    }
}

impl fmt::Display for Seen {
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

/// What is counted since the start, for metrics.
#[derive(Debug, Default)]
pub struct Counted {
    /// Calls by kind.
    pub calls: BTreeMap<&'static str, u64>,
    /// Changes by what became of them here.
    pub changes: BTreeMap<&'static str, u64>,
    /// Other leaders than before.
    pub leaders: u64,
    /// Calls of backends that leave, acknowledged and refused.
    pub leavings: (u64, u64),
    /// Draws that this process answered as the holder, and others.
    pub draws: (u64, u64),
}

/// Keeps the records.
#[derive(Debug)]
pub struct Watch {
    backends: Ring<Event>,
    others: Ring<Event>,
    epoch: u64,
    version: u64,
    leader: Option<SocketAddr>,
    /// Backends that are not over, as they were told of last.
    known: HashMap<Rc<str>, (Phase, bool)>,
    /// Services by name, so that records share it.
    services: HashSet<Rc<str>>,
    /// The life of each data plane; none once it counts no more.
    data_planes: BTreeMap<Rc<str>, Option<u64>>,
    limits: [Seldom; STEPS.len()],
    candidacies: Seldom,
    pub counted: Counted,
}

impl Watch {
    pub fn new() -> Self {
        Self {
            backends: Ring::new(OF_BACKENDS),
            others: Ring::new(OF_OTHERS),
            epoch: 0,
            version: 0,
            leader: None,
            known: HashMap::new(),
            services: HashSet::new(),
            data_planes: BTreeMap::new(),
            limits: STEPS.map(|_| Seldom::new(LINES.0, LINES.1)),
            // Without a majority there is one after each wait.
            candidacies: Seldom::new(1, LINES.1),
            counted: Counted::default(),
        }
    }

    /// Something happened to somebody.
    pub fn note(&mut self, at: u64, subject: impl Into<Rc<str>>, what: What) {
        let (subject, epoch, version) = (subject.into(), self.epoch, self.version);
        let (step, peer) = (what.step(), &*subject);
        if let What::Backend(..) = what {
            spdlog::debug!("{}", what, kv: { step, peer, version, epoch });
        } else if let Some(left_out) = self.pass(step, at) {
            spdlog::info!("{}", what, kv: { step, peer, version, epoch, left_out });
        }
        let of_backend = matches!(what, What::Backend(..) | What::LeavingAnswered { .. });
        let ring = if of_backend { &mut self.backends } else { &mut self.others };
        ring.push(Event { at, subject, what, epoch, version });
    }

    /// Whether a line of this kind may go to the log, and how many were left out before it.
    pub fn pass(&mut self, step: &str, at: u64) -> Option<u64> {
        let kind = STEPS.iter().position(|known| *known == step);
        kind.map_or(Some(0), |kind| self.limits[kind].pass(at))
    }

    /// This process stands for election, again and again where there is no majority.
    pub fn candidate(&mut self, at: u64, epoch: u64) {
        if let Some(left_out) = self.candidacies.pass(at) {
            let version = self.version;
            spdlog::info!("stands for election", kv: { step = "election", version, epoch, left_out });
        }
    }

    /// How things stand now.
    pub fn stands(&mut self, at: u64, leader: Option<SocketAddr>, epoch: u64, version: u64) {
        (self.epoch, self.version) = (epoch, version);
        if leader != self.leader {
            let subject = leader.or(self.leader).map_or_else(String::new, |who| who.to_string());
            self.leader = leader;
            self.counted.leaders += u64::from(leader.is_some());
            self.note(at, subject, What::Leader(leader));
        }
    }

    /// A change was decided on.
    pub fn change(&mut self, at: u64, version: u64, verdict: Verdict) {
        let outcome = match verdict {
            Verdict::Accepted => "taken",
            Verdict::AlreadyAccepted => "taken_before",
            Verdict::Stale { .. } => "stale",
            Verdict::VersionNotHigher { .. } => "not_above",
            Verdict::BaseAhead { .. } => "ahead",
            Verdict::DigestEvicted { .. } => "forgotten",
        };
        *self.counted.changes.entry(outcome).or_default() += 1;
        self.note(at, format!("r{version}"), What::Change(verdict));
    }

    /// An order came to this leader. What is proposed is told once the log has decided.
    pub fn decided(&mut self, at: u64, decision: &Decision) {
        match decision {
            Decision::Propose(_) => {}
            Decision::Decided { version, verdict } => self.change(at, *version, *verdict),
            Decision::Invalid(why) => self.unread(at, why),
        }
    }

    /// A configuration came that can't be read.
    pub fn unread(&mut self, at: u64, why: &str) {
        *self.counted.changes.entry("unread").or_default() += 1;
        self.note(at, "unread", What::Unread(why.chars().take(200).collect::<String>().into()));
    }

    /// A call of a backend that leaves got its answer.
    pub fn leaving_answered(&mut self, at: u64, id: &str, acknowledged: bool) {
        let (done, refused) = &mut self.counted.leavings;
        *if acknowledged { done } else { refused } += 1;
        self.note(at, id, What::LeavingAnswered { acknowledged });
    }

    /// A line of the log that says who told this process that a backend drains.
    fn log_drain(&mut self, at: u64, id: &str, origin: Origin<'_>) {
        if let Some(left_out) = self.pass("drain", at) {
            let (version, epoch) = (self.version, self.epoch);
            spdlog::info!("drains, by {}", origin, kv: { step = "drain", peer = id, version, epoch, left_out });
        }
    }

    /// These backends are told otherwise from now on.
    pub fn backends(&mut self, at: u64, backends: &[Backend], origin: Origin<'_>) {
        for backend in backends {
            let known = self.known.get(&*backend.id).copied();
            let seen = match (known, backend.phase) {
                (None, Phase::Gone) => continue,
                (Some(_), Phase::Gone) => Seen::Gone,
                (None, Phase::Serving) => Seen::First,
                (Some((Phase::Serving, _)) | None, Phase::Draining) => Seen::Draining,
                (Some((_, false)), _) if backend.overdue => Seen::Overdue,
                (Some((_, true)), _) if !backend.overdue => Seen::Back,
                // Its address, its room or its zone is another one.
                _ => continue,
            };
            let id = match self.known.get_key_value(&*backend.id) {
                Some((id, _)) => id.clone(),
                None => Rc::from(&*backend.id),
            };
            if backend.phase == Phase::Gone {
                self.known.remove(&id);
            } else {
                self.known.insert(id.clone(), (backend.phase, backend.overdue));
            }
            let service = self.service(&backend.service);
            if seen == Seen::Draining {
                self.log_drain(at, &id, origin);
            }
            self.note(at, id, What::Backend(service, seen));
        }
    }

    fn service(&mut self, name: &str) -> Rc<str> {
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
    pub fn data_planes<'a>(&mut self, at: u64, now: impl Iterator<Item = (&'a str, u64)>) {
        let now: BTreeMap<&str, u64> = now.collect();
        let mut changed: Vec<(Rc<str>, Option<u64>, Seen)> = Vec::new();
        for (name, life) in &now {
            let seen = match self.data_planes.get(*name) {
                Some(Some(known)) if known == life => continue,
                Some(Some(_)) => Seen::Restarted,
                Some(None) => Seen::Back,
                None if self.data_planes.len() >= MOST_DATA_PLANES => continue,
                None => Seen::First,
            };
            changed.push((Rc::from(*name), Some(*life), seen));
        }
        let lost =
            self.data_planes.iter().filter(|(name, life)| life.is_some() && !now.contains_key(&***name));
        changed.extend(lost.map(|(name, _)| (name.clone(), None, Seen::Gone)));
        for (name, life, seen) in changed {
            self.data_planes.insert(name.clone(), life);
            self.note(at, name, What::DataPlane(seen));
        }
    }

    /// All records about something, the newest first: `wanted` knows its names.
    pub fn about(&self, now: u64, wanted: impl Fn(&str) -> bool) -> Vec<Value> {
        let hits = |event: &&Event| {
            wanted(&event.subject)
                || match &event.what {
                    What::Backend(service, _) => wanted(service),
                    What::Voters(list) => list.iter().any(|voter| wanted(voter)),
                    _ => false,
                }
        };
        let mut found: Vec<_> = self.backends.newest().chain(self.others.newest()).filter(hits).collect();
        found.sort_by_key(|event| std::cmp::Reverse(event.at));
        let told = |event: &Event| {
            json!({ "age_ms": now.saturating_sub(event.at), "step": event.what.step(),
                "subject": &*event.subject, "text": event.what.to_string(), "epoch": event.epoch,
                "version": format!("r{}", event.version) })
        };
        found.into_iter().map(told).collect()
    }

    /// How many records went to make room for others.
    pub fn dropped(&self) -> u64 {
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

    fn texts(watch: &Watch, about: &str) -> Vec<String> {
        let text = |event: Value| event["text"].as_str().unwrap_or_default().to_owned();
        watch.about(99, |name| name == about).into_iter().map(text).collect()
    }

    #[test]
    fn a_backend_s_life_is_told_newest_first() {
        let mut watch = Watch::new();
        let words = [
            (Phase::Serving, false),
            (Phase::Serving, true),
            (Phase::Serving, false),
            (Phase::Draining, false),
        ];
        for (at, (phase, overdue)) in words.into_iter().chain([(Phase::Gone, false); 2]).enumerate() {
            watch.backends(at as u64, &[backend(phase, overdue)], Origin::Call);
        }
        let told =
            ["gone", "drains", "heard again", "overdue, its beats are missed", "heard for the first time"];
        assert_eq!(texts(&watch, "i"), told.map(|text| format!("backend of s: {text}")));
        assert_eq!((texts(&watch, "s").len(), texts(&watch, "other").len()), (5, 0));
        assert!(watch.known.is_empty(), "lives that are over take no room");
    }

    #[test]
    fn a_data_plane_comes_goes_and_returns() {
        let mut watch = Watch::new();
        for data_planes in [vec![("q", 1)], vec![("q", 1)], vec![("q", 2)], vec![], vec![], vec![("q", 3)]] {
            watch.data_planes(1, data_planes.into_iter());
        }
        let told = ["heard again", "gone", "another life under the same name", "heard for the first time"];
        assert_eq!(texts(&watch, "q"), told.map(|text| format!("data plane: {text}")));
    }

    #[test]
    fn a_herd_of_backends_does_not_cost_the_other_records() {
        let mut watch = Watch::new();
        watch.stands(1, Some(([127, 0, 0, 1], 7).into()), 3, 2);
        for n in 0..OF_BACKENDS * 2 {
            let backend = Backend { id: n.to_string(), ..backend(Phase::Serving, false) };
            watch.backends(2, &[backend], Origin::Peer("m"));
        }
        assert_eq!(texts(&watch, "127.0.0.1:7").len(), 1);
        assert_eq!((texts(&watch, "s").len(), watch.dropped()), (OF_BACKENDS, OF_BACKENDS as u64));
    }
}
