//! Randomized simulation of a fleet: control planes that hold quota counters, gateways with lease caches, failing
//! links and machines, and clients.
//!
//! The simulation has its own clock. The replicated log is modelled only by its leader lease and its elections.

#![allow(dead_code)]

use quota::{
    Epoch, Faults, Grant, Handover, HolderAssigner, HolderAssignment, LeaseCache, LeaseRequest,
    MAX_DEPUTY_LEASE, Quota, QuotaService, Verdict,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

pub mod load_metrics;
pub mod membership;
mod node_faults;
mod table;
use load_metrics::LoadMetrics;

const LOG_LEASE: f64 = 230.0;
const ELECTION_TIMEOUT: f64 = 320.0;
const HEARTBEAT_INTERVAL: f64 = 350.0;
const CONTACT_INTERVAL: f64 = 800.0;
const REQUEST_TIMEOUT: f64 = 400.0;
const HEARTBEAT_TIMEOUT: f64 = 1300.0;
const LEASE_RENEWAL_INTERVAL: f64 = 70.0;

/// Random number generator (splitmix64).
pub struct Rng(pub u64);

impl Rng {
    pub fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, limit: usize) -> usize {
        ((self.uniform() * limit as f64) as usize).min(limit.saturating_sub(1))
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }
}

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    Control(usize),
    Gateway(usize),
}

#[derive(Debug, Clone)]
enum Message {
    LeaseRequest(LeaseRequest),
    Grant(Grant),
    NotHolder(u64),
    Offer { number: u64, last_answered_offer: u64, request_rate: f64 },
    Lease { number: u64, assignment: HolderAssignment, ends_in: f64 },
    HolderAssignment(HolderAssignment),
    Handover(Handover),
    Heartbeat { assignment: HolderAssignment, fresh: bool, gateways: Option<u32> },
    Contact(Epoch),
    Membership(membership::MembershipMessage),
}

#[derive(Debug, Clone)]
enum Event {
    Delivery { from: Node, from_generation: u64, to: Node, generation: u64, message: Message },
    Tick(Node),
    Restart(usize),
    ContactTimer(usize),
    HeartbeatTimer(usize),
    ClientRequest(usize),
    TableUpdate(Node),
}

struct Scheduled {
    at: f64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

struct ControlPlane {
    quota_service: QuotaService,
    assigner: Option<HolderAssigner>,
    assignment: HolderAssignment,
    /// Number and time of each recent offer to the leader.
    offers: VecDeque<(u64, f64)>,
    last_answered_offer: u64,
    offer_at: f64,
    next_broadcast: f64,
    /// Start of the current measuring interval, lease requests since then, and the last measured rate per second.
    request_counter: (f64, u64, f64),
    /// Number of crashes. Messages to an earlier generation are dropped.
    generation: u64,
    up: bool,
}

struct Gateway {
    cache: LeaseCache,
    /// The control plane whose heartbeats the gateway receives.
    follows: usize,
    last_heartbeat: f64,
    /// Lease requests in flight and when they were sent.
    in_flight: BTreeMap<u64, f64>,
    /// Requests that wait for a decision, with their tenant and their time of arrival.
    waiting: HashMap<u64, (usize, f64)>,
    /// Number of crashes. Messages to an earlier generation are dropped.
    generation: u64,
    up: bool,
}

/// The quota of a tenant and the load of its clients.
#[derive(Clone, Debug)]
pub struct Load {
    pub quota: Quota,
    /// Average request rate of the clients, relative to the quota's rate.
    pub demand_ratio: f64,
    /// Start and end of a load peak within each period, and the factor by which the request rate rises.
    pub peak: (f64, f64, f64),
    /// Time after which the load peak repeats.
    pub period: f64,
}

impl Load {
    pub fn new(index: usize, rate: f64, burst: f64, demand_ratio: f64) -> Self {
        let quota = Quota { tenant: format!("tenant-{index}"), rate_per_s: rate, burst };
        Self { quota, demand_ratio, peak: (0.0, 0.0, 1.0), period: f64::INFINITY }
    }
}

/// The simulated fleet and its clients. All times are in milliseconds.
pub struct World {
    pub now: f64,
    pub rng: Rng,
    /// Random numbers of the clients, separate so that the client load does not depend on the other random events.
    client_rng: Rng,
    pub metrics: LoadMetrics,
    loads: Vec<Load>,
    /// Tenants that the configuration does not name, as indexes of `loads`.
    absent_tenants: BTreeSet<usize>,
    control_planes: Vec<ControlPlane>,
    gateways: Vec<Gateway>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    request_count: u64,
    frozen_until: BTreeMap<Node, f64>,
    cut_links: BTreeSet<(Node, Node)>,
    pub leader: Option<usize>,
    term: u64,
    lease_until: f64,
    election_at: f64,
    faults: Faults,
    multi_holder: bool,
    /// Lease requests per second that one holder can serve.
    requests_per_holder: f64,
    /// Fraction of the gateways that receive requests of a given tenant.
    pub gateway_fraction: f64,
    /// Maximum time that a request waits for a block.
    pub max_wait: f64,
    /// Fleet membership, in simulations where gateways join and leave.
    membership: Option<membership::Membership>,
}

impl World {
    pub fn new(
        seed: u64, control_planes: usize, gateways: usize, loads: Vec<Load>,
        requests_per_holder: Option<f64>, faults: Faults,
    ) -> Self {
        let metrics = LoadMetrics::new(&loads);
        let quotas: Vec<Quota> = loads.iter().map(|load| load.quota.clone()).collect();
        let mut world = Self {
            now: 0.0,
            rng: Rng(seed),
            client_rng: Rng(seed ^ 0x5eed),
            metrics,
            loads,
            absent_tenants: BTreeSet::new(),
            control_planes: Vec::new(),
            gateways: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            request_count: 0,
            frozen_until: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            leader: None,
            term: 0,
            lease_until: 0.0,
            election_at: 0.0,
            faults,
            multi_holder: requests_per_holder.is_some(),
            requests_per_holder: requests_per_holder.unwrap_or(f64::INFINITY),
            gateway_fraction: 1.0,
            max_wait: 72.0,
            membership: None,
        };
        for index in 0..control_planes {
            let control_plane = world.new_control_plane(index, 0, &quotas, gateways);
            world.control_planes.push(control_plane);
            let (tick, heartbeat) = (world.rng.uniform() * 50.0, world.rng.uniform() * HEARTBEAT_INTERVAL);
            world.schedule(tick, Event::Tick(Node::Control(index)));
            world.schedule(heartbeat, Event::HeartbeatTimer(index));
        }
        for index in 0..gateways {
            let gateway = world.new_gateway(index, 0, &quotas, gateways);
            world.gateways.push(gateway);
            let (tick, contact) = (world.rng.uniform() * 10.0, world.rng.uniform() * CONTACT_INTERVAL);
            world.schedule(tick, Event::Tick(Node::Gateway(index)));
            world.schedule(contact, Event::ContactTimer(index));
        }
        for tenant in 0..world.loads.len() {
            world.schedule_request(tenant, 2000.0);
        }
        world
    }

    fn new_control_plane(
        &mut self, index: usize, generation: u64, quotas: &[Quota], gateways: usize,
    ) -> ControlPlane {
        let mut quota_service = QuotaService::new(&control_plane_name(index));
        quota_service.inject_faults(self.faults);
        quota_service.set_fleet_size(self.now, gateways as u32);
        quota_service.set_quotas(self.now, quotas.to_vec());
        ControlPlane {
            quota_service,
            assigner: None,
            assignment: HolderAssignment::default(),
            offers: VecDeque::new(),
            last_answered_offer: 0,
            offer_at: 0.0,
            next_broadcast: 0.0,
            request_counter: (self.now, 0, 0.0),
            generation,
            up: true,
        }
    }

    fn new_gateway(&mut self, index: usize, generation: u64, quotas: &[Quota], gateways: usize) -> Gateway {
        let mut cache = LeaseCache::new(index as u64 + 77 + generation * 1000);
        cache.set_quotas(self.now, quotas.to_vec(), &mut Vec::new());
        cache.set_fleet_size(gateways as u32);
        let follows = index % self.control_planes.len().max(1);
        let (in_flight, waiting) = (BTreeMap::new(), HashMap::new());
        Gateway { cache, follows, last_heartbeat: self.now, in_flight, waiting, generation, up: true }
    }

    fn quotas(&self) -> Vec<Quota> {
        let present =
            self.loads.iter().enumerate().filter(|(tenant, _)| !self.absent_tenants.contains(tenant));
        present.map(|(_, load)| load.quota.clone()).collect()
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    fn schedule_request(&mut self, tenant: usize, from: f64) {
        let Some(load) = self.loads.get(tenant) else { return };
        let (phase, rate) = (from % load.period, load.quota.rate_per_s * load.demand_ratio / 1000.0);
        let (peak_offset, peak_factor) = (load.peak.0, load.peak.2);
        let rate_factor = if (peak_offset..load.peak.1).contains(&phase) { peak_factor } else { 1.0 };
        let peak_start = from - phase + peak_offset;
        let at = from + self.client_rng.exponential(1.0 / (rate * rate_factor).max(1e-9));
        // A request time drawn for the low rate must not skip the start of the peak.
        let reaches_peak = phase < peak_offset && at > peak_start;
        let at = if reaches_peak {
            peak_start + self.client_rng.exponential(1.0 / (rate * peak_factor).max(1e-9))
        } else {
            at
        };
        self.schedule(at, Event::ClientRequest(tenant));
    }

    fn is_running(&self, node: Node) -> bool {
        let up = match node {
            Node::Control(index) => self.control_planes[index].up,
            Node::Gateway(index) => self.gateways[index].up,
        };
        up && self.frozen_until.get(&node).is_none_or(|until| self.now >= *until)
    }

    fn generation(&self, node: Node) -> u64 {
        match node {
            Node::Control(index) => self.control_planes[index].generation,
            Node::Gateway(index) => self.gateways[index].generation,
        }
    }

    pub fn run_until(&mut self, end: f64) -> Result<(), String> {
        while self.queue.peek().is_some_and(|Reverse(scheduled)| scheduled.at <= end) {
            let Some(Reverse(scheduled)) = self.queue.pop() else { break };
            self.now = self.now.max(scheduled.at);
            self.handle_event(scheduled.event)?;
        }
        self.now = end;
        Ok(())
    }

    fn handle_event(&mut self, event: Event) -> Result<(), String> {
        let now = self.now;
        match event {
            Event::Delivery { from, from_generation, to, generation, message } => {
                let frozen_until = self.frozen_until.get(&to).copied().filter(|until| now < *until);
                if let Some(until) = frozen_until {
                    self.schedule(until, Event::Delivery { from, from_generation, to, generation, message });
                } else if self.is_running(to) && self.generation(to) == generation {
                    self.deliver(from, from_generation, to, message);
                }
            }
            Event::Restart(index) => self.start(Node::Gateway(index)),
            Event::Tick(node) => {
                if self.is_running(node) {
                    match node {
                        Node::Control(index) => self.tick_control_plane(index),
                        Node::Gateway(index) => self.tick_gateway(index),
                    }
                }
                let pause = if matches!(node, Node::Control(_)) { 25.0 } else { 4.0 };
                self.schedule(now + pause, Event::Tick(node));
                if node == Node::Control(0) {
                    self.simulate_log();
                    self.check_single_holder()?;
                }
            }
            Event::ContactTimer(index) => {
                if self.is_running(Node::Gateway(index)) {
                    for to in 0..self.control_planes.len() {
                        let assignment = self.gateway_assignment(index);
                        if assignment.contains(&control_plane_name(to)) {
                            self.send(
                                Node::Gateway(index),
                                Node::Control(to),
                                Message::Contact(assignment.epoch),
                            );
                        }
                    }
                    self.send_hello(index);
                }
                self.schedule(now + CONTACT_INTERVAL, Event::ContactTimer(index));
            }
            Event::HeartbeatTimer(index) => {
                self.send_heartbeats(index);
                self.schedule(now + HEARTBEAT_INTERVAL, Event::HeartbeatTimer(index));
            }
            Event::TableUpdate(node) => self.update_table(node),
            Event::ClientRequest(tenant) => {
                self.handle_client_request(tenant);
                self.schedule_request(tenant, now);
            }
        }
        Ok(())
    }

    /// Models the replicated log: a leader lease needs a majority and expires before another leader is elected.
    fn simulate_log(&mut self) {
        let now = self.now;
        let has_majority = |world: &Self, index: usize| {
            let me = Node::Control(index);
            let connected = |other: usize| {
                let other = Node::Control(other);
                other == me
                    || world.is_running(other)
                        && !world.cut_links.contains(&(me, other))
                        && !world.cut_links.contains(&(other, me))
            };
            world.is_running(me)
                && (0..world.control_planes.len()).filter(|o| connected(*o)).count() * 2
                    > world.control_planes.len()
        };
        if let Some(leader) = self.leader
            && has_majority(self, leader)
            && now < self.lease_until + ELECTION_TIMEOUT - LOG_LEASE
        {
            self.lease_until = now + LOG_LEASE - 5.0;
            self.election_at = now + ELECTION_TIMEOUT + self.rng.uniform() * ELECTION_TIMEOUT;
            let lease_until = self.lease_until;
            self.control_planes[leader].quota_service.set_lease(lease_until);
            return;
        }
        if now >= self.election_at {
            let candidates: Vec<usize> =
                (0..self.control_planes.len()).filter(|index| has_majority(self, *index)).collect();
            if candidates.is_empty() {
                return;
            }
            let next = candidates[self.rng.below(candidates.len())];
            let first = self.term == 0;
            self.term += 1;
            self.leader = Some(next);
            self.lease_until = now + LOG_LEASE - 5.0;
            let assigner =
                HolderAssigner::new(&control_plane_name(next), self.term, now, self.requests_per_holder);
            let assignment = assigner.assignment().clone();
            let lease_until = self.lease_until;
            let control_plane = &mut self.control_planes[next];
            control_plane.assigner = Some(assigner);
            control_plane.quota_service.apply_assignment(now, &assignment, first);
            control_plane.quota_service.set_lease(lease_until);
            control_plane.assignment = assignment;
            self.broadcast_assignment(next);
        }
    }

    fn broadcast_assignment(&mut self, leader: usize) {
        let assignment = self.control_planes[leader].assignment.clone();
        for other in (0..self.control_planes.len()).filter(|other| *other != leader) {
            self.send(
                Node::Control(leader),
                Node::Control(other),
                Message::HolderAssignment(assignment.clone()),
            );
        }
        self.send_heartbeats(leader);
    }

    /// Checks that at most one control plane grants units of each tenant.
    fn check_single_holder(&self) -> Result<(), String> {
        for load in &self.loads {
            let tenant = &load.quota.tenant;
            let holds = |c: &&ControlPlane| c.up && c.quota_service.may_grant_for(self.now, tenant);
            if self.control_planes.iter().filter(holds).count() > 1 {
                return Err(format!("{tenant} has more than one holder at {:.0} ms", self.now));
            }
        }
        Ok(())
    }

    fn tick_control_plane(&mut self, index: usize) {
        let now = self.now;
        self.tick_membership(index);
        let control_plane = &mut self.control_planes[index];
        if now >= control_plane.request_counter.0 + 1000.0 {
            control_plane.request_counter = (
                now,
                0,
                control_plane.request_counter.1 as f64 * 1000.0 / (now - control_plane.request_counter.0),
            );
        }
        if self.leader != Some(index) && control_plane.assigner.take().is_some() {
            control_plane.quota_service.resign();
        }
        if let Some(assigner) = &mut control_plane.assigner {
            if self.multi_holder
                && now < control_plane.quota_service.lease_until()
                && assigner.update(now, control_plane.request_counter.2)
            {
                let assignment = assigner.assignment().clone();
                control_plane.assignment = assignment.clone();
                let handovers = control_plane.quota_service.apply_assignment(now, &assignment, false);
                self.send_handovers(index, handovers);
                self.broadcast_assignment(index);
            } else if now >= control_plane.next_broadcast {
                control_plane.next_broadcast = now + 400.0;
                self.broadcast_assignment(index);
            }
            return;
        }
        self.send_offer(index);
    }

    /// Requests a lease renewal, or offers to hold counters.
    fn send_offer(&mut self, index: usize) {
        let (now, me) = (self.now, control_plane_name(index));
        let node = &mut self.control_planes[index];
        let Some(leader) = self.leader.filter(|_| self.multi_holder && now >= node.offer_at) else { return };
        node.offer_at = now + if node.assignment.contains(&me) { LEASE_RENEWAL_INTERVAL } else { 1000.0 };
        let number = node.offers.back().map_or(1, |(number, _)| number + 1);
        node.offers.push_back((number, now));
        while node.offers.len() > 32 {
            node.offers.pop_front();
        }
        let (request_rate, last_answered_offer) = (node.request_counter.2, node.last_answered_offer);
        self.send(
            Node::Control(index),
            Node::Control(leader),
            Message::Offer { number, last_answered_offer, request_rate },
        );
    }

    fn send_handovers(&mut self, index: usize, handovers: Vec<(String, Handover)>) {
        for (to, handover) in handovers {
            let to = (0..self.control_planes.len()).find(|other| control_plane_name(*other) == to);
            if let Some(to) = to {
                self.send(Node::Control(index), Node::Control(to), Message::Handover(handover));
            }
        }
    }

    fn apply_assignment(&mut self, index: usize, assignment: &HolderAssignment) {
        let now = self.now;
        let control_plane = &mut self.control_planes[index];
        if assignment.epoch <= control_plane.assignment.epoch {
            return;
        }
        control_plane.assignment = assignment.clone();
        control_plane.offer_at = 0.0;
        let handovers = control_plane.quota_service.apply_assignment(now, assignment, false);
        self.send_handovers(index, handovers);
        self.send_offer(index);
        self.send_heartbeats(index);
    }

    fn send_heartbeats(&mut self, index: usize) {
        if !self.is_running(Node::Control(index)) {
            return;
        }
        let assignment = self.control_planes[index].assignment.clone();
        let fresh = self.is_fresh(index);
        let gateways = self.divisor(index);
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].follows == index {
                let heartbeat = Message::Heartbeat { assignment: assignment.clone(), fresh, gateways };
                self.send(Node::Control(index), Node::Gateway(gateway), heartbeat);
            }
        }
    }

    fn gateway_assignment(&self, index: usize) -> HolderAssignment {
        self.gateways[index].cache.assignment().clone()
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        self.send_delayed(from, to, message, 0.0);
    }

    fn send_delayed(&mut self, from: Node, to: Node, message: Message, delay: f64) {
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        self.metrics.record_message(match &message {
            Message::LeaseRequest(request) => Some(bitcode::encode(request).len() + 5),
            Message::Grant(grant) => Some(bitcode::encode(grant).len() + 5),
            _ => None,
        });
        let at = self.now + delay + 0.7 + self.rng.exponential(0.8);
        let (from_generation, generation) = (self.generation(from), self.generation(to));
        self.schedule(at, Event::Delivery { from, from_generation, to, generation, message });
    }

    fn deliver(&mut self, from: Node, from_generation: u64, to: Node, message: Message) {
        if let Message::Membership(inner) = message {
            return self.handle_membership_message(from, to, inner);
        }
        match (to, from) {
            (Node::Control(index), Node::Gateway(gateway)) => {
                if !self.has_departed(index, gateway, from_generation) {
                    self.handle_gateway_message(index, gateway, message);
                }
            }
            (Node::Control(index), Node::Control(other)) => self.handle_peer_message(index, other, message),
            (Node::Gateway(index), _) => self.handle_message_to_gateway(index, message),
        }
    }

    fn handle_gateway_message(&mut self, index: usize, gateway: usize, message: Message) {
        let (now, data_plane) = (self.now, membership::gateway_name(gateway));
        let control_plane = &mut self.control_planes[index];
        match message {
            Message::Contact(epoch) => control_plane.quota_service.record_contact(now, &data_plane, epoch),
            Message::LeaseRequest(request) => {
                control_plane.request_counter.1 += 1;
                let answer = match control_plane.quota_service.handle_request(now, &data_plane, &request) {
                    Some(grant) => Message::Grant(grant),
                    None => Message::NotHolder(request.number),
                };
                if let Message::Grant(grant) = &answer {
                    self.metrics.record_grant(grant);
                }
                self.send(Node::Control(index), Node::Gateway(gateway), answer);
            }
            _ => {}
        }
    }

    fn handle_peer_message(&mut self, index: usize, other: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Offer { number, last_answered_offer, request_rate } => {
                let control_plane = &mut self.control_planes[index];
                let lease_until = control_plane.quota_service.lease_until();
                let Some(assigner) = &mut control_plane.assigner else { return };
                let member =
                    assigner.record_offer(now, &control_plane_name(other), last_answered_offer, request_rate);
                if now < lease_until {
                    let (assignment, ends_in) =
                        (assigner.assignment().clone(), if member { lease_until - now } else { 0.0 });
                    self.send(
                        Node::Control(index),
                        Node::Control(other),
                        Message::Lease { number, assignment, ends_in },
                    );
                }
            }
            Message::Lease { number, assignment, ends_in } => {
                self.apply_assignment(index, &assignment);
                let control_plane = &mut self.control_planes[index];
                control_plane.last_answered_offer = control_plane.last_answered_offer.max(number);
                if let Some((_, sent)) = control_plane.offers.iter().find(|(n, _)| *n == number)
                    && control_plane.quota_service.assignment().epoch == assignment.epoch
                {
                    let until = sent + ends_in.min(MAX_DEPUTY_LEASE);
                    let until = until.max(control_plane.quota_service.lease_until());
                    control_plane.quota_service.set_lease(until);
                }
            }
            Message::HolderAssignment(assignment) => self.apply_assignment(index, &assignment),
            Message::Handover(handover) => {
                let control_plane = &mut self.control_planes[index];
                if handover.assignment.epoch > control_plane.assignment.epoch {
                    control_plane.assignment = handover.assignment.clone();
                }
                control_plane.offer_at = 0.0;
                let handovers = control_plane.quota_service.accept_handover(now, handover);
                self.send_handovers(index, handovers);
                self.send_offer(index);
            }
            _ => {}
        }
    }

    fn handle_message_to_gateway(&mut self, index: usize, message: Message) {
        let now = self.now;
        let g = &mut self.gateways[index];
        let mut verdicts = Vec::new();
        match message {
            Message::Heartbeat { assignment, fresh, gateways } => {
                g.last_heartbeat = now;
                match gateways {
                    Some(gateways) => g.cache.update_fleet_size(now, gateways, fresh),
                    None if fresh => g.cache.record_contact(now),
                    None => {}
                }
                let previous = g.cache.assignment().clone();
                g.cache.set_assignment(&assignment);
                let current = g.cache.assignment().clone();
                // A gateway that connects to a holder sends a message at once.
                for to in 0..self.control_planes.len() {
                    if current.contains(&control_plane_name(to))
                        && (!previous.contains(&control_plane_name(to))
                            || previous.epoch.term < current.epoch.term)
                    {
                        self.send(Node::Gateway(index), Node::Control(to), Message::Contact(current.epoch));
                    }
                }
            }
            Message::Grant(grant) => {
                g.in_flight.remove(&grant.number);
                g.cache.handle_grant(now, grant, &mut verdicts);
            }
            Message::NotHolder(number) => {
                g.in_flight.remove(&number);
                g.cache.request_failed(now, number);
            }
            _ => {}
        }
        self.apply_verdicts(index, verdicts);
        self.send_lease_requests(index);
    }

    fn tick_gateway(&mut self, index: usize) {
        let now = self.now;
        self.advance_leaving(index);
        let control_planes = self.control_planes.len();
        let new_index = self.rng.below(control_planes);
        let g = &mut self.gateways[index];
        if now > g.last_heartbeat + HEARTBEAT_TIMEOUT {
            (g.follows, g.last_heartbeat) = (new_index, now);
        }
        let timed_out: Vec<u64> =
            g.in_flight.iter().filter(|(_, at)| now > **at + REQUEST_TIMEOUT).map(|(n, _)| *n).collect();
        for number in timed_out {
            g.in_flight.remove(&number);
            g.cache.request_failed(now, number);
        }
        let mut verdicts = Vec::new();
        if g.cache.next_deadline().is_some_and(|scheduled| now >= scheduled) {
            g.cache.tick(now, &mut verdicts);
        }
        self.apply_verdicts(index, verdicts);
        self.send_lease_requests(index);
    }

    fn send_lease_requests(&mut self, index: usize) {
        let now = self.now;
        for (to, request) in self.gateways[index].cache.lease_requests(now) {
            self.metrics.record_lease_request();
            let to = (0..self.control_planes.len()).find(|other| *control_plane_name(*other) == *to);
            match to {
                Some(to) => {
                    self.gateways[index].in_flight.insert(request.number, now);
                    self.send(Node::Gateway(index), Node::Control(to), Message::LeaseRequest(request));
                }
                None => self.gateways[index].cache.request_failed(now, request.number),
            }
        }
    }

    fn handle_client_request(&mut self, tenant: usize) {
        let (now, number) = (self.now, self.request_count);
        self.request_count += 1;
        let Some(index) = self.choose_gateway(tenant) else { return };
        self.metrics.record_request(now, tenant);
        if !self.is_running(Node::Gateway(index)) {
            return;
        }
        let max_wait = self.max_wait;
        let g = &mut self.gateways[index];
        match g.cache.admit(now, number, &self.loads[tenant].quota.tenant, max_wait) {
            Verdict::Granted => self.record_run(tenant, 0.0),
            Verdict::Refused { .. } => self.metrics.record_refusal(tenant),
            Verdict::Wait { .. } => {
                g.waiting.insert(number, (tenant, now));
            }
        }
        self.send_lease_requests(index);
    }

    /// Selects the gateway for a client request of a tenant.
    fn choose_gateway(&mut self, tenant: usize) -> Option<usize> {
        if self.membership.is_some() {
            let open = self.admitting_gateways();
            let choice = self.client_rng.below(open.len());
            return open.get(choice).copied();
        }
        let count = ((self.gateways.len() as f64 * self.gateway_fraction).ceil() as usize)
            .clamp(1, self.gateways.len());
        let index = (self.client_rng.below(count) + tenant * 7) % self.gateways.len();
        self.gateways[index].up.then_some(index)
    }

    fn record_run(&mut self, tenant: usize, waited: f64) {
        let dispatch_delay = self.rng.uniform() * 100.0;
        self.metrics.record_run(self.now + dispatch_delay, tenant, waited);
    }

    fn apply_verdicts(&mut self, index: usize, verdicts: Vec<(u64, Verdict)>) {
        for (request, verdict) in verdicts {
            let Some((tenant, since)) = self.gateways[index].waiting.remove(&request) else { continue };
            match verdict {
                Verdict::Granted => self.record_run(tenant, self.now - since),
                _ => self.metrics.record_refusal(tenant),
            }
        }
    }

    /// Injects a fault: the gateways accept grants of older epochs.
    pub fn inject_ignored_epoch(&mut self) {
        self.gateways.iter_mut().for_each(|g| g.cache.inject_ignored_epoch());
    }

    /// Units spent from fallback slices.
    pub fn granted_by_slice(&self) -> u64 {
        self.gateways.iter().flat_map(|g| g.cache.stats()).map(|f| f.granted_by_slice).sum()
    }
}

fn control_plane_name(index: usize) -> String {
    format!("10.0.{index}.1:7000")
}
