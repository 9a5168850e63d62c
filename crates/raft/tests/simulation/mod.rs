//! A small world of nodes with drawn delays and losses. What must never be is checked after each step.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use raft::{
    Entry, Faults, Input, Message, Millis, Node, Output, Payload, PersistentState, RetirementPolicy, Save,
    Snapshot, Timing, TransferLimits, VoterId,
};

use crate::fake_disk::{apply, empty};

/// How many entries a voter may lack when it is added to a list, beside those that are on their way to its disk.
const MOST_LACKING: u64 = 64;

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
    life: u64,
    pub frozen_until: Millis,
    inbox: Vec<Input>,
    /// Up to where the host has the state, and the state: a digest of all entries.
    pub applied: u64,
    state: u64,
}

impl Host {
    fn with(disk: PersistentState) -> Host {
        Host {
            disk,
            node: None,
            saves: VecDeque::new(),
            life: 0,
            frozen_until: 0,
            inbox: Vec::new(),
            applied: 0,
            state: 0,
        }
    }
}

enum Event {
    Input { host: usize, life: Option<u64>, input: Input },
    Restart { host: usize },
}

pub struct World {
    pub now: Millis,
    pub hosts: Vec<Host>,
    pub rng: Rng,
    pub cut: Vec<Vec<bool>>,
    pub lossy: bool,
    /// How many saves, and messages, of a hundred take long.
    pub slow: (u64, u64),
    /// No save of these hosts' disks ends before.
    pub hung_until: BTreeMap<usize, Millis>,
    pub policy: RetirementPolicy,
    faults: Faults,
    limits: TransferLimits,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    count: u64,
    leaders: BTreeMap<u64, VoterId>,
    /// All that anybody was told as committed, and the state after it.
    pub committed: BTreeMap<u64, (Entry, u64)>,
    /// What leaders have accepted: host, index and term of each, until somebody takes them.
    pub accepted: Vec<(usize, u64, u64)>,
    pub leases: u64,
    pub sent: u64,
}

fn after(state: u64, entry: &Entry) -> u64 {
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
            cut: vec![vec![false; size]; size],
            lossy: true,
            slow: (2, 3),
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
            leases: 0,
            sent: 0,
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

    /// Power goes: of what was being saved, some first part may be on disk.
    pub fn kill(&mut self, at: usize, back_after: Millis) {
        let kept = self.rng.below(self.hosts[at].saves.len() as u64 + 1);
        let host = &mut self.hosts[at];
        if host.node.take().is_none() {
            return;
        }
        for save in host.saves.drain(..).take(kept as usize) {
            apply(&mut host.disk, &save);
        }
        host.life += 1;
        host.inbox.clear();
        self.schedule(self.now + back_after, Event::Restart { host: at });
    }

    pub fn wipe(&mut self, at: usize, back_after: Millis) {
        self.kill(at, back_after);
        let incarnation = 1 + self.rng.below(1 << 40);
        let host = &mut self.hosts[at];
        host.disk = empty(voter(at, incarnation), Vec::new());
    }

    /// Never comes back.
    #[allow(dead_code)] // Not all that share this world replace hosts.
    pub fn lose(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.node = None;
        host.life += 1;
        host.inbox.clear();
        host.saves.clear();
    }

    /// Another host with an empty disk, at an address of its own, that starts after a while.
    #[allow(dead_code)] // As above.
    pub fn newcomer(&mut self, after: Millis) -> usize {
        let at = self.hosts.len();
        let incarnation = 1 + self.rng.below(1 << 40);
        self.hosts.push(Host::with(empty(voter(at, incarnation), Vec::new())));
        self.cut.iter_mut().for_each(|row| row.push(false));
        self.cut.push(vec![false; at + 1]);
        self.schedule(self.now + after, Event::Restart { host: at });
        at
    }

    #[allow(dead_code)] // As above.
    pub fn freeze(&mut self, at: usize, span: Millis) {
        self.hosts[at].frozen_until = self.now + span;
    }

    pub fn leader(&self) -> Option<usize> {
        let nodes = self.hosts.iter().enumerate().filter(|(_, host)| host.frozen_until <= self.now);
        let leaders = nodes.filter_map(|(at, host)| Some((host.node.as_ref()?, at)));
        leaders.filter(|(node, _)| node.is_leader()).max_by_key(|(node, _)| node.term()).map(|(_, at)| at)
    }

    /// Whether all are up, on the list, and have what is committed: only then has a lost disk been made up for.
    pub fn settled(&self) -> bool {
        let Some(leader) = self.leader().and_then(|at| self.hosts[at].node.as_ref()) else { return false };
        leader.holds_lease(self.now)
            && self.hosts.iter().all(|host| {
                let Some(node) = &host.node else { return false };
                node.term() == leader.term() && node.is_voter() && node.commit() == leader.commit()
            })
    }

    /// Hosts that are up and not on the newest leader's list.
    pub fn learners(&self) -> Vec<VoterId> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let Some(node) = &self.hosts[leader].node else { return Vec::new() };
        let up = self.hosts.iter().filter(|host| host.node.is_some()).map(|host| host.disk.me.clone());
        up.filter(|me| !node.members().contains(me)).collect()
    }

    pub fn input(&mut self, at: usize, input: Input) -> Result<(), String> {
        if self.hosts[at].frozen_until > self.now {
            // Messages wait in the sockets of a frozen process.
            self.hosts[at].inbox.push(input);
            return Ok(());
        }
        let mut out = Vec::new();
        let now = self.now;
        let Some(node) = &mut self.hosts[at].node else { return Ok(()) };
        let led =
            node.is_leader().then(|| (node.term(), node.members().to_vec(), node.membership_committed()));
        node.handle(now, input, &mut out);
        if node.is_leader() {
            let (term, me) = (node.term(), node.me().clone());
            let first = self.leaders.entry(term).or_insert_with(|| me.clone());
            if *first != me {
                return Err(format!("term {term} is led by {first} and {me}"));
            }
        }
        if let Some((term, list, settled)) = led {
            let settled = settled
                || out.iter().any(|output| {
                    matches!(output, Output::Committed { entry } if entry.payload == Payload::Members(list.clone()))
                });
            self.list_changes_by_the_rules(at, term, &list, settled)?;
        }
        for output in out {
            self.output(at, output)?;
        }
        let holders = self
            .hosts
            .iter()
            .filter(|host| host.node.as_ref().is_some_and(|node| node.holds_lease(now)))
            .count();
        self.leases += holders as u64;
        if holders > 1 {
            return Err(format!("{holders} hold the lease at {now}"));
        }
        Ok(())
    }

    /// A leader changes its list by one voter at a time. One that it adds has caught up; one that it takes off leaves
    /// a list that is long enough, unless somebody with an empty disk has its address.
    fn list_changes_by_the_rules(
        &self, at: usize, term: u64, list: &[VoterId], settled: bool,
    ) -> Result<(), String> {
        let Some(node) = self.hosts[at].node.as_ref().filter(|node| node.is_leader() && node.term() == term)
        else {
            return Ok(());
        };
        let added: Vec<_> = node.members().iter().filter(|voter| !list.contains(voter)).collect();
        let removed: Vec<_> = list.iter().filter(|voter| !node.members().contains(voter)).collect();
        let changes = added.len() + removed.len();
        if changes > 1 || changes == 1 && !settled {
            return Err(format!("two changes of the list are pending with {}", node.me()));
        }
        for voter in added {
            let host = self.hosts.iter().find(|host| host.disk.me == *voter);
            let on_disk = host.map_or(0, |host| {
                let base = host.disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
                base + host.disk.entries.len() as u64
            });
            if on_disk + MOST_LACKING < node.commit() {
                return Err(format!("{voter} is added with {on_disk} entries of {}", node.commit()));
            }
        }
        for voter in removed {
            let exchanged = self.hosts.iter().any(|host| {
                host.disk.me.address == voter.address && host.disk.me.incarnation != voter.incarnation
            });
            if !exchanged && node.members().len() < self.policy.min_voters {
                return Err(format!("{voter} is taken off a list that is too short without it"));
            }
        }
        Ok(())
    }

    fn output(&mut self, at: usize, output: Output) -> Result<(), String> {
        match output {
            Output::Send { to, message } => self.send(at, &to, message),
            Output::Save(save) => {
                let slow = if self.rng.chance(self.slow.0) { 300 } else { 15 };
                // The disk does one after the other.
                let ticket = save.ticket;
                self.hosts[at].saves.push_back(save);
                let hung_until = self.hung_until.get(&at).copied().unwrap_or(0);
                let at_time = (self.now + 1 + self.rng.below(slow)).max(hung_until);
                let life = self.hosts[at].life;
                self.schedule(
                    at_time,
                    Event::Input { host: at, life: Some(life), input: Input::Saved { ticket } },
                );
            }
            Output::Committed { entry } => {
                let host = &mut self.hosts[at];
                if entry.index != host.applied + 1 {
                    return Err(format!("n{at} is told {} after {}", entry.index, host.applied));
                }
                host.applied = entry.index;
                host.state = after(host.state, &entry);
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
                    return Err(format!("n{at} got a strange snapshot of {index}"));
                }
                (self.hosts[at].applied, self.hosts[at].state) = (index, state);
            }
            Output::Accepted { index, term, .. } => self.accepted.push((at, index, term)),
            Output::Refused { .. } | Output::OutcomeUnknown { .. } | Output::Role(_) => {}
        }
        Ok(())
    }

    fn send(&mut self, from: usize, to: &VoterId, message: Message) {
        self.sent += 1;
        let to: usize = to.address[1..].parse().unwrap();
        let copies = match self.rng.below(100) {
            0..4 if self.lossy => 0,
            4..7 if self.lossy => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = if self.lossy && self.rng.chance(self.slow.1) { 400 } else { 20 };
            let at = self.now + 1 + self.rng.below(slow);
            if !self.cut[from][to] {
                let from = self.hosts[from].disk.me.clone();
                let input = Input::Received { from, message: message.clone() };
                self.schedule(at, Event::Input { host: to, life: None, input });
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
            for waking in 0..self.hosts.len() {
                if self.hosts[waking].frozen_until <= self.now {
                    for input in std::mem::take(&mut self.hosts[waking].inbox) {
                        self.input(waking, input)?;
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
                Some(Event::Input { host, life, input })
                    if life.is_none_or(|life| life == self.hosts[host].life) =>
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

    /// What the hosts do by themselves: the leader's takes in learners, all of them compact.
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
