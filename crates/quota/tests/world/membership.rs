//! Simulated fleet membership: gateways that join and leave, the messages about them, and the fleet size that
//! results.
//!
//! The model follows `control-plane`, whose own tests cover the real implementation.

use super::{Event, Message, Node, World, control_plane_name};
use protocol::Departure;
use registry::{Fleet, FleetFaults, SILENT_DATA_PLANE_TIMEOUT_MS};
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which control planes send each other the gateways they are in contact with.
const BROADCAST_INTERVAL: f64 = 400.0;
/// A gateway counts as in contact for this long after its last message. The same applies to the report of a control
/// plane.
const CONTACT_TIMEOUT: f64 = 2500.0;
/// A control plane uses the fleet size of the log until this long after its start. By then it has received messages
/// from all gateways, or silent gateways no longer count.
const FLEET_LEARNING_TIME: f64 = 30_000.0;
/// The log records a smaller fleet only after this delay.
const SHRINK_DELAY: u64 = 5000;
/// A restarted control plane has replayed its log after this time.
const LOG_REPLAY_TIME: f64 = 300.0;
/// A departing gateway repeats its leave message at this interval, and shuts down without an answer after the
/// timeout.
const LEAVE_RETRY_INTERVAL: f64 = 50.0;
const LEAVE_TIMEOUT: f64 = 400.0;
/// In an unreliable network, a message is duplicated with the first probability, and delayed by up to `MAX_DELAY`
/// with the second.
const DUPLICATE_PROBABILITY: f64 = 0.2;
const DELAY_PROBABILITY: f64 = 0.2;
const MAX_DELAY: f64 = 3000.0;

#[derive(Debug, Clone)]
pub(super) enum MembershipMessage {
    Hello { incarnation: u64 },
    Leave { incarnation: u64 },
    LeaveAccepted,
    Departed(Vec<Departure>),
    Present(Vec<(String, u64)>),
}

/// Faults injected into the membership.
#[derive(Debug, Clone, Copy, Default)]
pub struct MembershipFaults {
    pub fleet: FleetFaults,
    /// The gateway announces its departure but admits requests for this much longer.
    pub admits_after_leave: f64,
}

/// The knowledge of one control plane about the gateways.
#[derive(Default)]
struct View {
    fleet: Fleet,
    started_at: f64,
    /// Gateways in direct contact, by name, with their incarnation and the time of their last message.
    local_contacts: BTreeMap<String, (u64, f64)>,
    /// The latest report of each other control plane and the time of its arrival.
    reported: BTreeMap<usize, (f64, Vec<(String, u64)>)>,
    next_broadcast: f64,
}

struct Leaving {
    started_at: f64,
    next_attempt: f64,
    accepted_by: BTreeSet<usize>,
}

pub struct Membership {
    views: Vec<View>,
    leaving: BTreeMap<usize, Leaving>,
    /// The fleet size recorded in the log.
    logged_fleet_size: u32,
    faults: MembershipFaults,
    /// Messages about gateways are duplicated, delayed and reordered.
    pub unreliable: bool,
    /// Delay of every leave message.
    pub leave_delay: f64,
}

impl World {
    /// Enables membership: gateways can join and leave.
    pub fn with_membership(mut self, faults: MembershipFaults) -> Self {
        let views = (0..self.control_planes.len()).map(|_| View::new(0.0, faults)).collect();
        let leaving = BTreeMap::new();
        let (unreliable, leave_delay) = (false, 0.0);
        self.membership =
            Some(Membership { views, leaving, logged_fleet_size: 0, faults, unreliable, leave_delay });
        (0..self.gateways.len()).for_each(|index| self.send_hello(index));
        self
    }

    pub fn membership(&mut self) -> &mut Membership {
        self.membership.as_mut().expect("a world with membership")
    }

    /// The fleet size by which the leader reserves fallback slices.
    pub fn counted_fleet_size(&self) -> u32 {
        self.leader.map_or(0, |leader| self.fleet_size_at(leader))
    }

    /// Shuts down a gateway in order: it stops admitting requests, announces its departure and ends. With
    /// `restart_delay`, the gateway starts again after that delay.
    pub fn leave(&mut self, index: usize, restart_delay: Option<f64>) {
        let now = self.now;
        let mut refused = Vec::new();
        let admits = self.membership().faults.admits_after_leave;
        if admits == 0.0 {
            self.gateways[index].cache.close(now, &mut refused);
        }
        self.apply_verdicts(index, refused);
        let leaving = Leaving { started_at: now, next_attempt: now, accepted_by: BTreeSet::new() };
        self.membership().leaving.insert(index, leaving);
        if let Some(pause) = restart_delay {
            self.schedule(now + LEAVE_TIMEOUT + admits + pause, Event::Restart(index));
        }
        self.advance_leaving(index);
    }

    pub(super) fn send_hello(&mut self, index: usize) {
        if self.membership.is_none() {
            return;
        }
        let incarnation = incarnation(index, self.gateways[index].generation);
        for to in self.connected_control_planes(index) {
            self.send_membership(
                Node::Gateway(index),
                Node::Control(to),
                MembershipMessage::Hello { incarnation },
            );
        }
    }

    /// The control planes that a gateway is connected to.
    fn connected_control_planes(&self, index: usize) -> Vec<usize> {
        let (assignment, follows) = (self.gateway_assignment(index), self.gateways[index].follows);
        (0..self.control_planes.len())
            .filter(|to| *to == follows || assignment.contains(&control_plane_name(*to)))
            .collect()
    }

    pub(super) fn advance_leaving(&mut self, index: usize) {
        let now = self.now;
        let Some(membership) = &mut self.membership else { return };
        let admits = membership.faults.admits_after_leave;
        let Some(leaving) = membership.leaving.get_mut(&index) else { return };
        let since = leaving.started_at;
        let accepted_by = leaving.accepted_by.clone();
        if now >= leaving.next_attempt {
            leaving.next_attempt = now + LEAVE_RETRY_INTERVAL;
            let incarnation = incarnation(index, self.gateways[index].generation);
            for to in self.connected_control_planes(index) {
                if !accepted_by.contains(&to) {
                    self.send_membership(
                        Node::Gateway(index),
                        Node::Control(to),
                        MembershipMessage::Leave { incarnation },
                    );
                }
            }
        }
        let all_accepted = self.connected_control_planes(index).iter().all(|to| accepted_by.contains(to));
        if (all_accepted || now > since + LEAVE_TIMEOUT) && now >= since + admits {
            self.membership().leaving.remove(&index);
            self.kill(Node::Gateway(index));
        }
    }

    pub(super) fn handle_membership_message(&mut self, from: Node, to: Node, message: MembershipMessage) {
        match (to, from) {
            (Node::Control(index), Node::Gateway(other)) => self.gateway_membership(index, other, message),
            (Node::Control(index), Node::Control(other)) => self.peer_membership(index, other, message),
            (Node::Gateway(index), Node::Control(other)) => {
                if let Some(leaving) = self.membership().leaving.get_mut(&index) {
                    leaving.accepted_by.insert(other);
                }
            }
            (Node::Gateway(_), Node::Gateway(_)) => {}
        }
    }

    fn gateway_membership(&mut self, index: usize, gateway: usize, message: MembershipMessage) {
        let (now, gateway_name) = (self.now, gateway_name(gateway));
        match message {
            MembershipMessage::Hello { incarnation } => {
                let view = &mut self.membership().views[index];
                view.fleet.record_contact(now as u64, &gateway_name, incarnation);
                view.local_contacts.insert(gateway_name.clone(), (incarnation, now));
                let counts = !view.fleet.has_departed(&gateway_name, incarnation);
                self.update_fleet_size(index);
                if counts {
                    let epoch = quota::Epoch::default();
                    self.control_planes[index].quota_service.record_contact(now, &gateway_name, epoch);
                }
            }
            MembershipMessage::Leave { incarnation } => {
                let departure = Departure { name: gateway_name, incarnation, ago_ms: 0 };
                self.apply_departures(index, vec![departure]);
                self.send_membership(
                    Node::Control(index),
                    Node::Gateway(gateway),
                    MembershipMessage::LeaveAccepted,
                );
            }
            _ => {}
        }
    }

    fn peer_membership(&mut self, index: usize, other: usize, message: MembershipMessage) {
        let now = self.now;
        match message {
            MembershipMessage::Departed(departures) => self.apply_departures(index, departures),
            MembershipMessage::Present(present) => {
                let view = &mut self.membership().views[index];
                present
                    .iter()
                    .for_each(|(name, number)| view.fleet.record_contact(now as u64, name, *number));
                view.reported.insert(other, (now, present));
                self.update_fleet_size(index);
            }
            _ => {}
        }
    }

    fn apply_departures(&mut self, index: usize, mut departures: Vec<Departure>) {
        let now = self.now as u64;
        let fleet = &mut self.membership().views[index].fleet;
        departures.retain(|departure| fleet.record_departure(now, departure));
        let departed_names = |departure: &&Departure| !fleet.is_present(&departure.name);
        let departed_names: Vec<String> =
            departures.iter().filter(departed_names).map(|one| one.name.clone()).collect();
        departed_names.iter().for_each(|name| self.control_planes[index].quota_service.remove_gateway(name));
        self.update_fleet_size(index);
        if !departures.is_empty() {
            self.broadcast_membership(index, &MembershipMessage::Departed(departures));
        }
    }

    fn broadcast_membership(&mut self, index: usize, message: &MembershipMessage) {
        for other in (0..self.control_planes.len()).filter(|other| *other != index) {
            self.send_membership(Node::Control(index), Node::Control(other), message.clone());
        }
    }

    /// Sends all departures and all gateways in contact over a new connection between two control planes.
    pub(super) fn send_full_state(&mut self, index: usize, other: usize) {
        let now = self.now as u64;
        if self.membership.is_none() || index == other {
            return;
        }
        let departures = self.membership().views[index].fleet.departures(now);
        let present = self.present_gateways(index);
        self.send_membership(
            Node::Control(index),
            Node::Control(other),
            MembershipMessage::Departed(departures),
        );
        self.send_membership(Node::Control(index), Node::Control(other), MembershipMessage::Present(present));
    }

    fn present_gateways(&mut self, index: usize) -> Vec<(String, u64)> {
        let now = self.now;
        let view = &self.membership().views[index];
        let contacts = view.local_contacts.iter().filter(|(_, (_, at))| now < at + CONTACT_TIMEOUT);
        let contacts = contacts.map(|(name, (incarnation, _))| (name.clone(), *incarnation));
        contacts.filter(|(name, incarnation)| !view.fleet.has_departed(name, *incarnation)).collect()
    }

    /// Runs a control plane's periodic membership broadcast.
    pub(super) fn tick_membership(&mut self, index: usize) {
        let now = self.now;
        match &mut self.membership {
            Some(membership) if now >= membership.views[index].next_broadcast => {
                membership.views[index].next_broadcast = now + BROADCAST_INTERVAL;
            }
            _ => return,
        }
        let present = self.present_gateways(index);
        let leads = self.leader == Some(index);
        let membership = self.membership();
        let view = &mut membership.views[index];
        let reported = view.reported.values().filter(|(at, _)| now < at + CONTACT_TIMEOUT);
        let known = present.iter().chain(reported.flat_map(|(_, reported)| reported));
        known.for_each(|(name, incarnation)| view.fleet.record_contact(now as u64, name, *incarnation));
        view.fleet.sweep(now as u64);
        let settled_size = view.fleet.size_within(now as u64, SHRINK_DELAY);
        if leads
            && settled_size > 0
            && settled_size.abs_diff(membership.logged_fleet_size) * 8 > membership.logged_fleet_size
        {
            membership.logged_fleet_size = settled_size;
        }
        self.broadcast_membership(index, &MembershipMessage::Present(present));
        if let Some(divisor) = self.divisor(index).filter(|_| self.is_fresh(index)) {
            self.membership().views[index].fleet.set_slice_divisor(now as u64, divisor);
        }
        self.update_fleet_size(index);
    }

    fn update_fleet_size(&mut self, index: usize) {
        let (now, counted) = (self.now, self.fleet_size_at(index));
        self.control_planes[index].quota_service.set_fleet_size(now, counted);
        let Some(membership) = &self.membership else { return };
        let oversized_slices = membership.views[index].fleet.oversized_slices(counted);
        self.control_planes[index].quota_service.set_oversized_slices(oversized_slices);
    }

    fn fleet_size_at(&self, index: usize) -> u32 {
        let Some(membership) = &self.membership else { return self.gateways.len() as u32 };
        membership.views[index].fleet.size().max(self.logged_fleet_size_at(index)).max(1)
    }

    fn logged_fleet_size_at(&self, index: usize) -> u32 {
        let Some(membership) = &self.membership else { return 0 };
        let age = self.now - membership.views[index].started_at;
        if (LOG_REPLAY_TIME..FLEET_LEARNING_TIME).contains(&age) { membership.logged_fleet_size } else { 0 }
    }

    /// Whether the reports of a control plane are current: it is in contact with the leader and has replayed its log.
    pub(super) fn is_fresh(&self, index: usize) -> bool {
        let hears_leader = self.leader.is_some_and(|leader| {
            self.now < self.lease_until
                && !self.cut_links.contains(&(Node::Control(leader), Node::Control(index)))
        });
        let started_at = self
            .membership
            .as_ref()
            .map_or(f64::NEG_INFINITY, |membership| membership.views[index].started_at);
        hears_leader && (started_at == 0.0 || self.now >= started_at + LOG_REPLAY_TIME)
    }

    /// The fleet size that a control plane tells gateways to divide the quota by.
    pub(super) fn divisor(&self, index: usize) -> Option<u32> {
        let membership = self.membership.as_ref()?;
        let size = membership.views[index].fleet.size_within(self.now as u64, SILENT_DATA_PLANE_TIMEOUT_MS);
        Some(size.max(self.logged_fleet_size_at(index)).max(1))
    }

    pub(super) fn has_departed(&self, index: usize, gateway: usize, generation: u64) -> bool {
        let Some(membership) = &self.membership else { return false };
        membership.views[index].fleet.has_departed(&gateway_name(gateway), incarnation(gateway, generation))
    }

    /// Resets a control plane's view at its restart. Only the log survives.
    pub(super) fn restart_control_plane(&mut self, index: usize) {
        let now = self.now;
        let Some(membership) = &mut self.membership else { return };
        membership.views[index] = View::new(now, membership.faults);
        self.update_fleet_size(index);
        (0..self.control_planes.len()).for_each(|other| {
            self.send_full_state(other, index);
        });
    }

    fn send_membership(&mut self, from: Node, to: Node, message: MembershipMessage) {
        let is_leave = matches!(message, MembershipMessage::Leave { .. });
        let (unreliable, leave_delay) = (self.membership().unreliable, self.membership().leave_delay);
        let duplicated = unreliable && self.rng.uniform() < DUPLICATE_PROBABILITY;
        for _ in 0..1 + usize::from(duplicated) {
            let delay = unreliable && self.rng.uniform() < DELAY_PROBABILITY;
            let delay = if delay { self.rng.uniform() * MAX_DELAY } else { 0.0 };
            let delay = delay + if is_leave { leave_delay } else { 0.0 };
            self.send_delayed(from, to, Message::Membership(message.clone()), delay);
        }
    }

    /// The gateways to which clients can send requests.
    pub fn admitting_gateways(&self) -> Vec<usize> {
        let leaving = |index: &usize| {
            self.membership.as_ref().is_some_and(|membership| {
                membership.faults.admits_after_leave == 0.0 && membership.leaving.contains_key(index)
            })
        };
        (0..self.gateways.len()).filter(|index| self.gateways[*index].up && !leaving(index)).collect()
    }
}

impl View {
    fn new(started_at: f64, faults: MembershipFaults) -> Self {
        let mut fleet = Fleet::default();
        fleet.inject_faults(faults.fleet);
        Self { fleet, started_at, ..Self::default() }
    }
}

fn incarnation(gateway: usize, generation: u64) -> u64 {
    generation << 8 | gateway as u64
}

pub(super) fn gateway_name(index: usize) -> String {
    format!("data plane-{index:02}")
}
