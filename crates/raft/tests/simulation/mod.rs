//! A simulated cluster with random delays and message losses. Checks the safety properties after each step.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use raft::{
    Entry, Faults, Input, Message, Millis, Node, Output, Payload, PersistentState, RetirementPolicy, Save,
    Snapshot, Timing, TransferLimits, VoterId,
};

use crate::fake_disk::{apply, empty};

/// The maximum number of entries that a voter may lack on disk when it is added to the list.
const MAX_MISSING_ENTRIES: u64 = 64;

pub const TIMING: Timing = Timing { heartbeat: 50, election: 300, lease: 220 };

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit.max(1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

pub struct Host {
    pub disk: PersistentState,
    pub node: Option<Node>,
    saves: VecDeque<Save>,
    generation: u64,
    pub frozen_until: Millis,
    inbox: Vec<Input>,
    /// The last applied entry, and the state after it: a digest of all applied entries.
    pub applied: u64,
    state: u64,
}

impl Host {
    fn with(disk: PersistentState) -> Host {
        Host {
            disk,
            node: None,
            saves: VecDeque::new(),
            generation: 0,
            frozen_until: 0,
            inbox: Vec::new(),
            applied: 0,
            state: 0,
        }
    }
}

enum Event {
    Input { host: usize, generation: Option<u64>, input: Input },
    Restart { host: usize },
}

/// A simulated cluster: its hosts, the messages in flight and the properties checked so far.
pub struct World {
    pub now: Millis,
    pub hosts: Vec<Host>,
    pub rng: Rng,
    pub partitioned: Vec<Vec<bool>>,
    pub lossy: bool,
    /// The percentages of saves and of messages that are slow.
    pub slow_percent: (u64, u64),
    /// For hosts with a hung disk, the time before which no save completes.
    pub hung_until: BTreeMap<usize, Millis>,
    pub policy: RetirementPolicy,
    faults: Faults,
    limits: TransferLimits,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    count: u64,
    leaders: BTreeMap<u64, VoterId>,
    /// All entries that any node reported as committed, and the state after each.
    pub committed: BTreeMap<u64, (Entry, u64)>,
    /// The proposals that leaders have accepted (host, index and term), until a test removes them.
    pub accepted: Vec<(usize, u64, u64)>,
    pub lease_steps: u64,
    pub sent_messages: u64,
}

fn apply_entry(state: u64, entry: &Entry) -> u64 {
    let bytes = match &entry.payload {
        Payload::Change(bytes) => bytes.as_slice(),
        _ => &[],
    };
    bytes.iter().fold(state ^ entry.index, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

pub fn voter(host: usize, incarnation: u64) -> VoterId {
    VoterId { address: format!("n{host}"), incarnation }
}

impl World {
    pub fn new(seed: u64, size: usize, faults: Faults) -> World {
        World::with_limits(seed, size, faults, TransferLimits::default())
    }

    pub fn with_limits(seed: u64, size: usize, faults: Faults, limits: TransferLimits) -> World {
        let founders: Vec<VoterId> = (0..size).map(|host| voter(host, 0)).collect();
        let host = |me: &VoterId| Host::with(empty(me.clone(), founders.clone()));
        let mut world = World {
            now: 1000,
            hosts: founders.iter().map(host).collect(),
            rng: Rng::new(seed + 1),
            partitioned: vec![vec![false; size]; size],
            lossy: true,
            slow_percent: (2, 3),
            hung_until: BTreeMap::new(),
            policy: RetirementPolicy { silence_timeout: 6 * TIMING.election, min_voters: size },
            faults,
            limits,
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            count: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            accepted: Vec::new(),
            lease_steps: 0,
            sent_messages: 0,
        };
        (0..size).for_each(|host| world.restart(host));
        world
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((at, self.count)));
    }

    fn restart(&mut self, at: usize) {
        let seed = self.rng.below(1 << 40);
        let (now, faults, limits, policy) = (self.now, self.faults, self.limits, self.policy);
        let host = &mut self.hosts[at];
        let mut node = Node::start(host.disk.clone(), TIMING, seed, now);
        node.inject_faults(faults);
        node.set_transfer_limits(limits);
        node.set_retirement_policy(policy);
        host.node = Some(node);
        host.frozen_until = 0;
        (host.applied, host.state) = match &host.disk.snapshot {
            Some(snapshot) => (snapshot.index, u64::from_be_bytes(snapshot.state[..].try_into().unwrap())),
            None => (0, 0),
        };
    }

    /// Stops a host by a power loss. A random number of its pending saves reach the disk.
    pub fn kill(&mut self, at: usize, restart_after: Millis) {
        let durable_saves = self.rng.below(self.hosts[at].saves.len() as u64 + 1);
        let host = &mut self.hosts[at];
        if host.node.take().is_none() {
            return;
        }
        for save in host.saves.drain(..).take(durable_saves as usize) {
            apply(&mut host.disk, &save);
        }
        host.generation += 1;
        host.inbox.clear();
        self.schedule(self.now + restart_after, Event::Restart { host: at });
    }

    pub fn wipe(&mut self, at: usize, restart_after: Millis) {
        self.kill(at, restart_after);
        let incarnation = 1 + self.rng.below(1 << 40);
        let host = &mut self.hosts[at];
        host.disk = empty(voter(at, incarnation), Vec::new());
    }

    /// Removes a host for good.
    #[allow(dead_code)] // Only some tests that share this module replace hosts.
    pub fn remove_host(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.node = None;
        host.generation += 1;
        host.inbox.clear();
        host.saves.clear();
    }

    /// Adds a host with an empty disk and a new address, which starts after a delay.
    #[allow(dead_code)] // Only some tests that share this module use it.
    pub fn add_host(&mut self, after: Millis) -> usize {
        let at = self.hosts.len();
        let incarnation = 1 + self.rng.below(1 << 40);
        self.hosts.push(Host::with(empty(voter(at, incarnation), Vec::new())));
        self.partitioned.iter_mut().for_each(|row| row.push(false));
        self.partitioned.push(vec![false; at + 1]);
        self.schedule(self.now + after, Event::Restart { host: at });
        at
    }

    #[allow(dead_code)] // Only some tests that share this module use it.
    pub fn freeze(&mut self, at: usize, span: Millis) {
        self.hosts[at].frozen_until = self.now + span;
    }

    pub fn leader(&self) -> Option<usize> {
        let nodes = self.hosts.iter().enumerate().filter(|(_, host)| host.frozen_until <= self.now);
        let leaders = nodes.filter_map(|(at, host)| Some((host.node.as_ref()?, at)));
        leaders.filter(|(node, _)| node.is_leader()).max_by_key(|(node, _)| node.term()).map(|(_, at)| at)
    }

    /// Whether all hosts are up, are voters and have all committed entries. Only then has the cluster fully
    /// recovered from a lost disk.
    pub fn is_settled(&self) -> bool {
        let Some(leader) = self.leader().and_then(|at| self.hosts[at].node.as_ref()) else { return false };
        leader.holds_lease(self.now)
            && self.hosts.iter().all(|host| {
                let Some(node) = &host.node else { return false };
                node.term() == leader.term() && node.is_voter() && node.commit() == leader.commit()
            })
    }

    /// Hosts that are up and not on the newest leader's list of voters.
    pub fn learners(&self) -> Vec<VoterId> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let Some(node) = &self.hosts[leader].node else { return Vec::new() };
        let up = self.hosts.iter().filter(|host| host.node.is_some()).map(|host| host.disk.me.clone());
        up.filter(|me| !node.members().contains(me)).collect()
    }

    pub fn input(&mut self, at: usize, input: Input) -> Result<(), String> {
        if self.hosts[at].frozen_until > self.now {
            // Messages queue in the sockets of a frozen process.
            self.hosts[at].inbox.push(input);
            return Ok(());
        }
        let mut out = Vec::new();
        let now = self.now;
        let Some(node) = &mut self.hosts[at].node else { return Ok(()) };
        let leadership =
            node.is_leader().then(|| (node.term(), node.members().to_vec(), node.membership_committed()));
        node.handle(now, input, &mut out);
        if node.is_leader() {
            let (term, me) = (node.term(), node.me().clone());
            let first = self.leaders.entry(term).or_insert_with(|| me.clone());
            if *first != me {
                return Err(format!("term {term} has two leaders: {first} and {me}"));
            }
        }
        if let Some((term, list, list_committed)) = leadership {
            let list_committed = list_committed
                || out.iter().any(|output| {
                    matches!(output, Output::Committed { entry } if entry.payload == Payload::Members(list.clone()))
                });
            self.check_list_change(at, term, &list, list_committed)?;
        }
        for output in out {
            self.output(at, output)?;
        }
        let holders = self
            .hosts
            .iter()
            .filter(|host| host.node.as_ref().is_some_and(|node| node.holds_lease(now)))
            .count();
        self.lease_steps += holders as u64;
        if holders > 1 {
            return Err(format!("{holders} nodes hold the lease at {now}"));
        }
        Ok(())
    }

    /// Checks that a leader changes its list by one voter at a time, that an added voter has caught up, and that a
    /// removal does not leave too few voters, unless the address of the removed voter now has an empty disk.
    fn check_list_change(
        &self, at: usize, term: u64, list: &[VoterId], list_committed: bool,
    ) -> Result<(), String> {
        let Some(node) = self.hosts[at].node.as_ref().filter(|node| node.is_leader() && node.term() == term)
        else {
            return Ok(());
        };
        let added: Vec<_> = node.members().iter().filter(|voter| !list.contains(voter)).collect();
        let removed: Vec<_> = list.iter().filter(|voter| !node.members().contains(voter)).collect();
        let changes = added.len() + removed.len();
        if changes > 1 || changes == 1 && !list_committed {
            return Err(format!("two membership changes are pending on {}", node.me()));
        }
        for voter in added {
            let host = self.hosts.iter().find(|host| host.disk.me == *voter);
            let on_disk = host.map_or(0, |host| {
                let base = host.disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
                base + host.disk.entries.len() as u64
            });
            if on_disk + MAX_MISSING_ENTRIES < node.commit() {
                return Err(format!("{voter} is added with {on_disk} entries of {}", node.commit()));
            }
        }
        for voter in removed {
            let disk_replaced = self.hosts.iter().any(|host| {
                host.disk.me.address == voter.address && host.disk.me.incarnation != voter.incarnation
            });
            if !disk_replaced && node.members().len() < self.policy.min_voters {
                return Err(format!("{voter} is removed although the list is too short without it"));
            }
        }
        Ok(())
    }

    fn output(&mut self, at: usize, output: Output) -> Result<(), String> {
        match output {
            Output::Send { to, message } => self.send(at, &to, message),
            Output::Save(save) => {
                let max_delay = if self.rng.chance(self.slow_percent.0) { 300 } else { 15 };
                // Saves of a disk complete in order.
                let ticket = save.ticket;
                self.hosts[at].saves.push_back(save);
                let hung_until = self.hung_until.get(&at).copied().unwrap_or(0);
                let done_at = (self.now + 1 + self.rng.below(max_delay)).max(hung_until);
                let generation = self.hosts[at].generation;
                self.schedule(
                    done_at,
                    Event::Input { host: at, generation: Some(generation), input: Input::Saved { ticket } },
                );
            }
            Output::Committed { entry } => {
                let host = &mut self.hosts[at];
                if entry.index != host.applied + 1 {
                    return Err(format!(
                        "n{at} committed entry {} after entry {}",
                        entry.index, host.applied
                    ));
                }
                host.applied = entry.index;
                host.state = apply_entry(host.state, &entry);
                let state = host.state;
                let index = entry.index;
                let first = self.committed.entry(index).or_insert_with(|| (entry.clone(), state));
                if first.0 != entry || first.1 != state {
                    return Err(format!("entry {index} was committed as {:?} and as {entry:?}", first.0));
                }
            }
            Output::Install { snapshot: Snapshot { index, state, .. } } => {
                let state = u64::from_be_bytes(state[..].try_into().unwrap());
                if self.committed.get(&index).map(|(_, state)| *state) != Some(state) {
                    return Err(format!("n{at} installed a snapshot of entry {index} with the wrong state"));
                }
                (self.hosts[at].applied, self.hosts[at].state) = (index, state);
            }
            Output::Accepted { index, term, .. } => self.accepted.push((at, index, term)),
            Output::Refused { .. } | Output::OutcomeUnknown { .. } | Output::Role(_) => {}
        }
        Ok(())
    }

    fn send(&mut self, from: usize, to: &VoterId, message: Message) {
        self.sent_messages += 1;
        let to: usize = to.address[1..].parse().unwrap();
        let copies = match self.rng.below(100) {
            0..4 if self.lossy => 0,
            4..7 if self.lossy => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let max_delay = if self.lossy && self.rng.chance(self.slow_percent.1) { 400 } else { 20 };
            let at = self.now + 1 + self.rng.below(max_delay);
            if !self.partitioned[from][to] {
                let from = self.hosts[from].disk.me.clone();
                let input = Input::Received { from, message: message.clone() };
                self.schedule(at, Event::Input { host: to, generation: None, input });
            }
        }
    }

    pub fn run_until(&mut self, end: Millis) -> Result<(), String> {
        loop {
            let event_at = self.queue.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let due = |host: &Host| host.node.as_ref().map(|node| node.next_due().max(host.frozen_until));
            let dues = self.hosts.iter().enumerate().filter_map(|(at, host)| Some((due(host)?, at)));
            let (tick_at, at) = dues.min().unwrap_or((u64::MAX, 0));
            let next = event_at.min(tick_at).max(self.now);
            if next > end {
                self.now = end;
                return Ok(());
            }
            self.now = next;
            for resumed in 0..self.hosts.len() {
                if self.hosts[resumed].frozen_until <= self.now {
                    for input in std::mem::take(&mut self.hosts[resumed].inbox) {
                        self.input(resumed, input)?;
                    }
                }
            }
            if tick_at < event_at {
                self.input(at, Input::Tick)?;
                continue;
            }
            let Some(Reverse((_, id))) = self.queue.pop() else { continue };
            match self.events.remove(&id) {
                Some(Event::Restart { host }) => self.restart(host),
                Some(Event::Input { host, generation, input })
                    if generation.is_none_or(|generation| generation == self.hosts[host].generation) =>
                {
                    if let Input::Saved { ticket } = input {
                        let host = &mut self.hosts[host];
                        while host.saves.front().is_some_and(|save| save.ticket <= ticket) {
                            let save = host.saves.pop_front().unwrap();
                            apply(&mut host.disk, &save);
                        }
                    }
                    self.input(host, input)?;
                }
                _ => {}
            }
        }
    }

    /// Runs the periodic duties of the hosts: the leader's host adds learners, and all hosts compact their logs.
    pub fn run_maintenance(&mut self) -> Result<(), String> {
        if let Some(leader) = self.leader() {
            for learner in self.learners() {
                self.input(leader, Input::AddVoter(learner))?;
            }
        }
        for at in 0..self.hosts.len() {
            let host = &self.hosts[at];
            let base = host.disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            if host.node.is_some() && host.applied > base + 40 && self.rng.chance(30) {
                let (index, state) = (host.applied, host.state.to_be_bytes().to_vec());
                self.input(at, Input::Compact { index, state })?;
            }
        }
        Ok(())
    }
}
