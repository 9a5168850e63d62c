//! Deterministic simulation of a fleet of failure detectors, driven by a seed and without real time.

use crate::message::{Identity, MemberAddr, MemberRecord, MemberState, Message};
use crate::rendezvous::splitmix64;
use crate::{FailureDetector, Millis, Outgoing};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;

/// Faults injected into the detector, to check that the simulations find them.
#[derive(Clone, Copy, Debug, Default)]
pub struct InjectedFaults {
    pub single_witness: bool,
    pub accepts_stale: bool,
    pub suspects_after_late_tick: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Tick,
    /// Delivery of the datagram with this number.
    Deliver(usize),
}

/// A simulated node.
pub struct Node {
    pub detector: FailureDetector,
    pub up: bool,
    /// The node runs no code before this time.
    pub frozen_until: Millis,
    pub zone: usize,
    /// Nodes that this node cannot exchange datagrams with, in either direction.
    pub unreachable: Vec<usize>,
    pub sent: u64,
    pub bytes: u64,
    pub received_bytes: u64,
}

pub struct Simulation {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Zone partition: zones below this number cannot reach zones at or above it.
    pub zone_cut: Option<usize>,
    pub faults: InjectedFaults,
    /// Nodes declared dead while running: the declaring node, the node declared dead, and the time.
    pub false_deaths: Vec<(usize, usize, Millis)>,
    /// Suspicions sent about nodes that were running and not frozen: the suspecting node and the suspect.
    pub false_suspicions: Vec<(usize, usize)>,
    /// For each node, whether other nodes may declare the node dead without a fault of the detector.
    pub may_be_declared_dead: Vec<bool>,
    rng_state: u64,
    queue: BinaryHeap<Reverse<(Millis, u64, usize, SimEvent)>>,
    last_event_number: u64,
    in_flight: BTreeMap<usize, Message>,
    datagrams: usize,
    seen_changes: Vec<u64>,
    /// One datagram in this many is encoded to measure its size.
    size_sample_interval: u64,
}

pub fn addr(number: usize) -> MemberAddr {
    SocketAddrV4::new([10, 1, (number >> 8) as u8, number as u8].into(), 7660).into()
}

fn number_of(addr: MemberAddr) -> usize {
    let [_, _, high, low] = SocketAddrV4::from(addr).ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn seeds() -> Vec<MemberAddr> {
    (0..3).map(addr).collect()
}

impl Simulation {
    /// A fleet of `size` nodes in `zones` zones. With `known`, all nodes know each other from the start.
    pub fn new(size: usize, zones: usize, known: bool, seed: u64, faults: InjectedFaults) -> Self {
        let mut simulation = Self {
            now: 1000,
            nodes: Vec::new(),
            loss: 0.01,
            zone_cut: None,
            faults,
            false_deaths: Vec::new(),
            false_suspicions: Vec::new(),
            may_be_declared_dead: vec![false; size],
            rng_state: splitmix64(seed),
            queue: BinaryHeap::new(),
            last_event_number: 0,
            in_flight: BTreeMap::new(),
            datagrams: 0,
            seen_changes: vec![0; size],
            size_sample_interval: if size > 200 { 32 } else { 1 },
        };
        for number in 0..size {
            let detector = simulation.new_detector(number);
            let node = Node {
                detector,
                up: true,
                frozen_until: 0,
                zone: number % zones,
                unreachable: Vec::new(),
                sent: 0,
                bytes: 0,
                received_bytes: 0,
            };
            simulation.nodes.push(node);
        }
        if known {
            let records: Vec<MemberRecord> = simulation
                .nodes
                .iter()
                .map(|node| node.detector.records().next().cloned().expect("the view has its own record"))
                .collect();
            for node in &mut simulation.nodes {
                node.detector.preload(&records, 1000);
            }
        }
        for number in 0..size {
            simulation.schedule(1000, number, SimEvent::Tick);
        }
        simulation
    }

    fn new_detector(&mut self, number: usize) -> FailureDetector {
        let start_id = self.next_random();
        let identity =
            Identity { addr: addr(number), name: format!("edge-hall-{number}"), data_plane: true, start_id };
        let mut detector = FailureDetector::new(identity, seeds(), self.next_random(), self.now);
        detector.inject(self.faults);
        detector
    }

    pub fn next_random(&mut self) -> u64 {
        self.rng_state = splitmix64(self.rng_state);
        self.rng_state
    }

    pub fn random_below(&mut self, max: usize) -> usize {
        (self.next_random() % max as u64) as usize
    }

    fn chance(&mut self, probability: f64) -> bool {
        (self.next_random() >> 11) as f64 / (1_u64 << 53) as f64 <= probability
    }

    /// Draws `count` distinct nodes.
    pub fn sample(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.nodes.len()).collect();
        (0..count)
            .map(|_| all.swap_remove((splitmix64(self.next_random()) % all.len() as u64) as usize))
            .collect()
    }

    fn schedule(&mut self, at: Millis, number: usize, event: SimEvent) {
        self.last_event_number += 1;
        self.queue.push(Reverse((at, self.last_event_number, number, event)));
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, number, event))) = self.queue.pop() else { break };
            self.now = at;
            self.process(number, event);
        }
        self.now = end;
    }

    fn process(&mut self, number: usize, event: SimEvent) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(number) else { return };
        if !node.up {
            if let SimEvent::Deliver(datagram) = event {
                self.in_flight.remove(&datagram);
            }
            return;
        }
        if now < node.frozen_until {
            // While a node is frozen, its datagrams wait in the socket and its timers are late. The order in which
            // the node handles them afterwards is unspecified.
            let at = node.frozen_until;
            return self.schedule(at, number, event);
        }
        let mut out = Vec::new();
        match event {
            SimEvent::Tick => {
                node.detector.tick(now, &mut out);
                let due = node.detector.next_tick().max(now + 1);
                let late = self.next_random() % 12;
                self.schedule(due + late, number, SimEvent::Tick);
            }
            SimEvent::Deliver(datagram) => {
                let Some(message) = self.in_flight.remove(&datagram) else { return };
                if let Some(node) = self.nodes.get_mut(number) {
                    node.detector.receive(message, now, &mut out);
                }
            }
        }
        self.send(number, out);
        self.record_false_deaths(number);
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let to = number_of(to);
            self.datagrams += 1;
            let sampled_bytes = if (self.datagrams as u64).is_multiple_of(self.size_sample_interval) {
                message.encode().len() as u64 * self.size_sample_interval
            } else {
                0
            };
            let lost = self.chance(self.loss) || !self.can_reach(from, to);
            if let Some(node) = self.nodes.get_mut(from) {
                node.sent += 1;
                node.bytes += sampled_bytes;
            }
            let awake = |m: &&Node| m.up && m.frozen_until <= self.now;
            let suspects = message.suspicions.iter().map(|about| number_of(about.addr));
            self.false_suspicions.extend(
                suspects
                    .filter(|suspect| self.nodes.get(*suspect).filter(awake).is_some())
                    .map(|suspect| (from, suspect)),
            );
            if lost {
                continue;
            }
            if let Some(node) = self.nodes.get_mut(to) {
                node.received_bytes += sampled_bytes;
            }
            let at = self.now + 1 + self.next_random() % 4;
            let datagram = self.datagrams;
            self.in_flight.insert(datagram, message);
            self.schedule(at, to, SimEvent::Deliver(datagram));
        }
    }

    pub fn can_reach(&self, a: usize, b: usize) -> bool {
        let (Some(one), Some(other)) = (self.nodes.get(a), self.nodes.get(b)) else { return false };
        let side = |node: &Node, cut| node.zone < cut;
        let partitioned = self.zone_cut.is_some_and(|cut| side(one, cut) != side(other, cut));
        one.up && other.up && !partitioned && !one.unreachable.contains(&b) && !other.unreachable.contains(&a)
    }

    /// Records nodes that are declared dead while running, after a view has changed.
    fn record_false_deaths(&mut self, by: usize) {
        let Some(node) = self.nodes.get(by) else { return };
        let changes = node.detector.membership_changes();
        if self.seen_changes.get(by) == Some(&changes) {
            return;
        }
        if let Some(seen) = self.seen_changes.get_mut(by) {
            *seen = changes;
        }
        let dead = node.detector.records().filter(|record| record.state == MemberState::Dead);
        let dead: Vec<_> = dead.map(|record| number_of(record.identity.addr)).collect();
        for of in dead {
            if self.nodes.get(of).is_some_and(|m| m.up)
                && !self.may_be_declared_dead.get(of).copied().unwrap_or(true)
            {
                self.false_deaths.push((by, of, self.now));
            }
        }
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(node) = self.nodes.get_mut(number) {
            node.up = false;
        }
        if let Some(allowed) = self.may_be_declared_dead.get_mut(number) {
            *allowed = true;
        }
    }

    /// Stops a node gracefully: the node announces its shutdown.
    pub fn stop(&mut self, number: usize) {
        let (now, mut out) = (self.now, Vec::new());
        if let Some(node) = self.nodes.get_mut(number) {
            node.detector.leave(now, &mut out);
        }
        self.send(number, out);
        self.kill(number);
    }

    /// Starts a new process at the old address that knows only its seeds.
    pub fn start(&mut self, number: usize) {
        let detector = self.new_detector(number);
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(number) {
            node.detector = detector;
            node.up = true;
            node.frozen_until = 0;
        }
        if let Some(seen) = self.seen_changes.get_mut(number) {
            *seen = 0;
        }
        self.schedule(now, number, SimEvent::Tick);
    }

    pub fn freeze(&mut self, number: usize, span: Millis) {
        let until = self.now + span;
        if let Some(node) = self.nodes.get_mut(number) {
            node.frozen_until = until;
        }
        if let Some(allowed) = self.may_be_declared_dead.get_mut(number) {
            *allowed = true;
        }
    }

    fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter(|(_, node)| node.up)
    }

    /// Whether every running node considers exactly the running nodes alive.
    pub fn views_agree(&self) -> bool {
        let mut up: Vec<MemberAddr> = self.running().map(|(number, _)| addr(number)).collect();
        up.sort_unstable();
        let mut digests = self.running().map(|(_, node)| node.detector.digest());
        let first = digests.next();
        if !digests.all(|digest| Some(digest) == first) {
            return false;
        }
        self.running().take(1).all(|(_, node)| {
            let here = node.detector.records().filter(|record| record.state == MemberState::Alive);
            here.map(|record| record.identity.addr).eq(up.iter().copied())
        })
    }

    /// Runs until all views are equal and correct. Returns the time taken, or `None` if it exceeds `max`.
    pub fn settle(&mut self, max: Millis) -> Option<Millis> {
        let began = self.now;
        while self.now <= began + max {
            if self.views_agree() {
                return Some(self.now - began);
            }
            self.run(50);
        }
        None
    }
}

impl FailureDetector {
    fn inject(&mut self, faults: InjectedFaults) {
        self.faults = faults;
        self.view_mut().accepts_stale = faults.accepts_stale;
    }
}
