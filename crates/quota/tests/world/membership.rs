//! Gateways that come and go in a drawn world: who knows of it, by which messages, and what follows for the counts.
//! It follows `control-plane`, whose own tests show that it does the same.

use super::{Event, Said, Who, World, name};
use protocol::Departure;
use registry::{Fleet, FleetFaults, SILENT_DATA_PLANE_TIMEOUT_MS};
use std::collections::{BTreeMap, BTreeSet};

/// Processes that serve control tell each other this often whom they hear.
const ROUND: f64 = 400.0;
/// A gateway that has said nothing for this long is not heard; nor is the word of a process that has said nothing.
const GATEWAY_TIMEOUT: f64 = 2500.0;
/// A process this old has heard of all gateways, or they count no more.
const SETTLED: f64 = 30_000.0;
/// The log is told of a smaller fleet after this long.
const SETTLES: u64 = 5000;
/// A process that has just started has read its log after this.
const LOG_READ: f64 = 300.0;
/// A leaving gateway says so again after this, and ends without an answer after that.
const LEAVE_AGAIN: f64 = 50.0;
const LEAVE_WAIT: f64 = 400.0;
/// Of the messages of an unruly network so many come twice, and so many late by up to this.
const TWICE: f64 = 0.2;
const LATE: f64 = 0.2;
const LATE_MOST: f64 = 3000.0;

#[derive(Debug, Clone)]
pub(super) enum Word {
    Hello { incarnation: u64 },
    Leave { incarnation: u64 },
    LeaveAccepted,
    Departed(Vec<Departure>),
    Present(Vec<(String, u64)>),
}

/// What goes wrong on purpose.
#[derive(Debug, Clone, Copy, Default)]
pub struct MembershipFaults {
    pub fleet: FleetFaults,
    /// A gateway says that it has ended, and goes on admitting requests for so long.
    pub admits_after_leave: f64,
}

/// What a process that serves control knows of gateways.
#[derive(Default)]
struct Knows {
    fleet: Fleet,
    started: f64,
    /// Gateways that it hears itself, by name: incarnation, and when.
    hears: BTreeMap<String, (u64, f64)>,
    /// What others said that they hear, and when.
    told: BTreeMap<usize, (f64, Vec<(String, u64)>)>,
    next_round: f64,
}

struct Leaving {
    since: f64,
    next: f64,
    accepted: BTreeSet<usize>,
}

pub struct Membership {
    knows: Vec<Knows>,
    leaving: BTreeMap<usize, Leaving>,
    /// The number of gateways by the log.
    logged: u32,
    faults: MembershipFaults,
    /// Messages about gateways come twice, late and in another order.
    pub unruly: bool,
    /// All words of leaving gateways are late by this.
    pub leaves_late: f64,
}

impl World {
    /// Gateways may come and go from now on.
    pub fn with_membership(mut self, faults: MembershipFaults) -> Self {
        let knows = (0..self.control_planes.len()).map(|_| Knows::new(0.0, faults)).collect();
        let leaving = BTreeMap::new();
        let (unruly, leaves_late) = (false, 0.0);
        self.membership = Some(Membership { knows, leaving, logged: 0, faults, unruly, leaves_late });
        (0..self.gateways.len()).for_each(|place| self.says_hello(place));
        self
    }

    pub fn membership(&mut self) -> &mut Membership {
        self.membership.as_mut().expect("a world with membership")
    }

    /// The number of gateways by which the leader holds back slices.
    pub fn counted(&self) -> u32 {
        self.leader.map_or(0, |leader| self.counted_at(leader))
    }

    /// A gateway has served its last request, says so, and ends. It starts again after a pause, if one is given.
    pub fn leave(&mut self, place: usize, again_after: Option<f64>) {
        let now = self.now;
        let mut refused = Vec::new();
        let admits = self.membership().faults.admits_after_leave;
        if admits == 0.0 {
            self.gateways[place].cache.close(now, &mut refused);
        }
        self.verdicts(place, refused);
        let leaving = Leaving { since: now, next: now, accepted: BTreeSet::new() };
        self.membership().leaving.insert(place, leaving);
        if let Some(pause) = again_after {
            self.at(now + LEAVE_WAIT + admits + pause, Event::Starts(place));
        }
        self.tend_leaving(place);
    }

    pub(super) fn says_hello(&mut self, place: usize) {
        if self.membership.is_none() {
            return;
        }
        let incarnation = incarnation(place, self.gateways[place].life);
        for to in self.spoken_to(place) {
            self.send_word(Who::Q(place), Who::M(to), Word::Hello { incarnation });
        }
    }

    /// Whom a gateway has connections with.
    fn spoken_to(&self, place: usize) -> Vec<usize> {
        let (assignment, follows) = (self.assignment_at(place), self.gateways[place].follows);
        (0..self.control_planes.len())
            .filter(|to| *to == follows || assignment.contains(&name(*to)))
            .collect()
    }

    pub(super) fn tend_leaving(&mut self, place: usize) {
        let now = self.now;
        let Some(membership) = &mut self.membership else { return };
        let admits = membership.faults.admits_after_leave;
        let Some(leaving) = membership.leaving.get_mut(&place) else { return };
        let since = leaving.since;
        let accepted = leaving.accepted.clone();
        if now >= leaving.next {
            leaving.next = now + LEAVE_AGAIN;
            let incarnation = incarnation(place, self.gateways[place].life);
            for to in self.spoken_to(place) {
                if !accepted.contains(&to) {
                    self.send_word(Who::Q(place), Who::M(to), Word::Leave { incarnation });
                }
            }
        }
        let all = self.spoken_to(place).iter().all(|to| accepted.contains(to));
        if (all || now > since + LEAVE_WAIT) && now >= since + admits {
            self.membership().leaving.remove(&place);
            self.kill(Who::Q(place));
        }
    }

    pub(super) fn hear_word(&mut self, from: Who, to: Who, word: Word) {
        match (to, from) {
            (Who::M(place), Who::Q(gateway)) => self.hear_gateway_word(place, gateway, word),
            (Who::M(place), Who::M(other)) => self.hear_control_word(place, other, word),
            (Who::Q(place), Who::M(other)) => {
                if let Some(leaving) = self.membership().leaving.get_mut(&place) {
                    leaving.accepted.insert(other);
                }
            }
            (Who::Q(_), Who::Q(_)) => {}
        }
    }

    fn hear_gateway_word(&mut self, place: usize, gateway: usize, word: Word) {
        let (now, gateway_name) = (self.now, gateway_name(gateway));
        match word {
            Word::Hello { incarnation } => {
                let knows = &mut self.membership().knows[place];
                knows.fleet.record_contact(now as u64, &gateway_name, incarnation);
                knows.hears.insert(gateway_name.clone(), (incarnation, now));
                let counts = !knows.fleet.has_departed(&gateway_name, incarnation);
                self.resize(place);
                if counts {
                    let epoch = quota::Epoch::default();
                    self.control_planes[place].quota_service.record_contact(now, &gateway_name, epoch);
                }
            }
            Word::Leave { incarnation } => {
                let departure = Departure { name: gateway_name, incarnation, ago_ms: 0 };
                self.take_departures(place, vec![departure]);
                self.send_word(Who::M(place), Who::Q(gateway), Word::LeaveAccepted);
            }
            _ => {}
        }
    }

    fn hear_control_word(&mut self, place: usize, other: usize, word: Word) {
        let now = self.now;
        match word {
            Word::Departed(departures) => self.take_departures(place, departures),
            Word::Present(present) => {
                let knows = &mut self.membership().knows[place];
                present
                    .iter()
                    .for_each(|(name, number)| knows.fleet.record_contact(now as u64, name, *number));
                knows.told.insert(other, (now, present));
                self.resize(place);
            }
            _ => {}
        }
    }

    fn take_departures(&mut self, place: usize, mut departures: Vec<Departure>) {
        let now = self.now as u64;
        let fleet = &mut self.membership().knows[place].fleet;
        departures.retain(|departure| fleet.record_departure(now, departure));
        let gone = |departure: &&Departure| !fleet.is_present(&departure.name);
        let gone: Vec<String> = departures.iter().filter(gone).map(|one| one.name.clone()).collect();
        gone.iter().for_each(|name| self.control_planes[place].quota_service.remove_gateway(name));
        self.resize(place);
        if !departures.is_empty() {
            self.tell_control(place, &Word::Departed(departures));
        }
    }

    fn tell_control(&mut self, place: usize, word: &Word) {
        for other in (0..self.control_planes.len()).filter(|other| *other != place) {
            self.send_word(Who::M(place), Who::M(other), word.clone());
        }
    }

    /// A connection between two processes that serve control has come up.
    pub(super) fn tell_all(&mut self, place: usize, other: usize) {
        let now = self.now as u64;
        if self.membership.is_none() || place == other {
            return;
        }
        let departures = self.membership().knows[place].fleet.departures(now);
        let present = self.present(place);
        self.send_word(Who::M(place), Who::M(other), Word::Departed(departures));
        self.send_word(Who::M(place), Who::M(other), Word::Present(present));
    }

    fn present(&mut self, place: usize) -> Vec<(String, u64)> {
        let now = self.now;
        let knows = &self.membership().knows[place];
        let heard = knows.hears.iter().filter(|(_, (_, at))| now < at + GATEWAY_TIMEOUT);
        let heard = heard.map(|(name, (incarnation, _))| (name.clone(), *incarnation));
        heard.filter(|(name, incarnation)| !knows.fleet.has_departed(name, *incarnation)).collect()
    }

    /// A round of a process that serves control.
    pub(super) fn tend_membership(&mut self, place: usize) {
        let now = self.now;
        match &mut self.membership {
            Some(membership) if now >= membership.knows[place].next_round => {
                membership.knows[place].next_round = now + ROUND;
            }
            _ => return,
        }
        let present = self.present(place);
        let leads = self.leader == Some(place);
        let membership = self.membership();
        let knows = &mut membership.knows[place];
        let told = knows.told.values().filter(|(at, _)| now < at + GATEWAY_TIMEOUT);
        let all = present.iter().chain(told.flat_map(|(_, told)| told));
        all.for_each(|(name, incarnation)| knows.fleet.record_contact(now as u64, name, *incarnation));
        knows.fleet.sweep(now as u64);
        let settled = knows.fleet.size_within(now as u64, SETTLES);
        if leads && settled > 0 && settled.abs_diff(membership.logged) * 8 > membership.logged {
            membership.logged = settled;
        }
        self.tell_control(place, &Word::Present(present));
        if let Some(divisor) = self.divisor(place).filter(|_| self.is_current(place)) {
            self.membership().knows[place].fleet.set_slice_divisor(now as u64, divisor);
        }
        self.resize(place);
    }

    fn resize(&mut self, place: usize) {
        let (now, counted) = (self.now, self.counted_at(place));
        self.control_planes[place].quota_service.set_fleet_size(now, counted);
        let Some(membership) = &self.membership else { return };
        let wide = membership.knows[place].fleet.oversized_slices(counted);
        self.control_planes[place].quota_service.set_oversized_slices(wide);
    }

    fn counted_at(&self, place: usize) -> u32 {
        let Some(membership) = &self.membership else { return self.gateways.len() as u32 };
        membership.knows[place].fleet.size().max(self.logged_at(place)).max(1)
    }

    fn logged_at(&self, place: usize) -> u32 {
        let Some(membership) = &self.membership else { return 0 };
        let age = self.now - membership.knows[place].started;
        if (LOG_READ..SETTLED).contains(&age) { membership.logged } else { 0 }
    }

    /// Whether what a process says is of this moment: it has heard the leader just now, and has read its log.
    pub(super) fn is_current(&self, place: usize) -> bool {
        let hears = self.leader.is_some_and(|leader| {
            self.now < self.lease && !self.cuts.contains(&(Who::M(leader), Who::M(place)))
        });
        let started = self.membership.as_ref().map_or(f64::NEG_INFINITY, |all| all.knows[place].started);
        hears && (started == 0.0 || self.now >= started + LOG_READ)
    }

    /// By what gateways divide their slices, as this process tells them.
    pub(super) fn divisor(&self, place: usize) -> Option<u32> {
        let membership = self.membership.as_ref()?;
        let size = membership.knows[place].fleet.size_within(self.now as u64, SILENT_DATA_PLANE_TIMEOUT_MS);
        Some(size.max(self.logged_at(place)).max(1))
    }

    pub(super) fn has_departed(&self, place: usize, gateway: usize, life: u64) -> bool {
        let Some(membership) = &self.membership else { return false };
        membership.knows[place].fleet.has_departed(&gateway_name(gateway), incarnation(gateway, life))
    }

    /// A process that serves control starts with nothing but its disk.
    pub(super) fn starts_anew(&mut self, place: usize) {
        let now = self.now;
        let Some(membership) = &mut self.membership else { return };
        membership.knows[place] = Knows::new(now, membership.faults);
        self.resize(place);
        (0..self.control_planes.len()).for_each(|other| {
            self.tell_all(other, place);
        });
    }

    fn send_word(&mut self, from: Who, to: Who, word: Word) {
        let leave = matches!(word, Word::Leave { .. });
        let (unruly, leaves_late) = (self.membership().unruly, self.membership().leaves_late);
        let twice = unruly && self.lots.unit() < TWICE;
        for _ in 0..1 + usize::from(twice) {
            let late = unruly && self.lots.unit() < LATE;
            let late = if late { self.lots.unit() * LATE_MOST } else { 0.0 };
            let late = late + if leave { leaves_late } else { 0.0 };
            self.send_later(from, to, Said::Word(word.clone()), late);
        }
    }

    /// The gateways that clients find.
    pub fn open_gateways(&self) -> Vec<usize> {
        let leaving = |place: &usize| {
            self.membership.as_ref().is_some_and(|membership| {
                membership.faults.admits_after_leave == 0.0 && membership.leaving.contains_key(place)
            })
        };
        (0..self.gateways.len()).filter(|place| self.gateways[*place].up && !leaving(place)).collect()
    }
}

impl Knows {
    fn new(started: f64, faults: MembershipFaults) -> Self {
        let mut fleet = Fleet::default();
        fleet.inject_faults(faults.fleet);
        Self { fleet, started, ..Self::default() }
    }
}

fn incarnation(gateway: usize, life: u64) -> u64 {
    life << 8 | gateway as u64
}

pub(super) fn gateway_name(place: usize) -> String {
    format!("data plane-{place:02}")
}
