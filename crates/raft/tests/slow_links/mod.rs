//! Nodes over links with a bandwidth, in simulated time: what is sent takes its turn behind what was sent before.
//!
//! Hosts compact as the control plane does, and their state has the size that its state would have. After each step the
//! world checks that no leader that may answer is behind its log, nor behind what was acknowledged.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::LazyLock;

use raft::{
    Entry, Faults, Input, Message, Millis, Node, Output, Payload, PersistentState, Save, Snapshot, Timing,
    TransferLimits, VoterId,
};

use crate::fake_disk::{apply, empty};

/// As in service.
pub const TIMING: Timing = Timing { heartbeat: 60, election: 320, lease: 230 };
/// A change compacts the log after so many others, or so many bytes, as in the control plane.
const COMPACT_AFTER: u64 = 16;
const COMPACT_BYTES: usize = 4_000_000;
/// What the control plane keeps of a version beside its body, in bytes, and of how many.
const REMEMBERED_BYTES: usize = 40;
const REMEMBERED: usize = 4096;
/// What it keeps of bodies before the newest, in bytes and in number.
const FORMER_BODIES_BYTES: usize = 1 << 20;
const FORMER_BODIES: usize = 7;
/// What a message takes beside its entries, state or piece, in bytes.
const HEADER_BYTES: usize = 64;
/// A connection that broke is there again after this.
const RECONNECT: Millis = 100;
/// Messages that wait for one connection; more are lost.
const MOST_WAITING: usize = 512;

/// The longest configuration, its predecessors and what is remembered, and some room to begin at several places.
const NOISE_BYTES: usize = 8 << 20;

/// Bytes that `bitcode` can't pack, other ones for each number.
fn noise(number: u64, length: usize) -> &'static [u8] {
    static NOISE: LazyLock<Vec<u8>> = LazyLock::new(|| {
        let words =
            (1..=NOISE_BYTES as u64 / 8).map(|at| at.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29));
        words.flat_map(|word| word.wrapping_mul(0x94d0_49bb_1331_11eb).to_be_bytes()).collect()
    });
    let from = number as usize % 1000;
    &NOISE[from..from + length]
}

/// What a host has made of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    pub changes: u64,
    pub digest: u64,
    pub newest_bytes: usize,
}

impl State {
    fn apply(&mut self, change: &[u8]) {
        self.changes += 1;
        self.newest_bytes = change.len();
        // The first bytes tell changes apart.
        let mark =
            change.iter().take(16).fold(self.digest, |sum, byte| sum.wrapping_mul(31) + u64::from(*byte));
        self.digest = mark.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }

    /// The bytes that the control plane's state would have.
    pub fn size(&self) -> usize {
        let former = (self.newest_bytes * FORMER_BODIES).min(FORMER_BODIES_BYTES);
        24 + self.newest_bytes + former + REMEMBERED_BYTES * REMEMBERED.min(self.changes as usize)
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = [self.changes, self.digest, self.newest_bytes as u64].map(u64::to_be_bytes).concat();
        bytes.extend_from_slice(noise(self.changes, self.size() - bytes.len()));
        bytes
    }

    /// None unless all bytes are those of one state.
    fn decode(bytes: &[u8]) -> Option<State> {
        let word = |at: usize| Some(u64::from_be_bytes(bytes.get(at * 8..at * 8 + 8)?.try_into().ok()?));
        let state = State { changes: word(0)?, digest: word(1)?, newest_bytes: word(2)? as usize };
        (state.encode() == bytes).then_some(state)
    }
}

struct Host {
    disk: PersistentState,
    node: Option<Node>,
    saves: VecDeque<Save>,
    disk_free_at: Millis,
    incarnation: u64,
    state: State,
    applied: u64,
    since_compaction: (u64, usize),
}

/// One way between two hosts.
#[derive(Clone)]
struct Link {
    /// Bytes a millisecond that other traffic leaves.
    bandwidth: usize,
    delay: Millis,
    free_at: Millis,
    /// Counts connections: what was on its way when one broke is lost.
    connection: u64,
    waiting: usize,
}

enum Event {
    Arrives { from: usize, to: usize, connection: u64, sender: VoterId, message: Message },
    Saved { host: usize, incarnation: u64, ticket: u64 },
}

pub struct World {
    pub now: Millis,
    hosts: Vec<Host>,
    links: Vec<Vec<Link>>,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    count: u64,
    faults: Faults,
    limits: TransferLimits,
    /// A host that is a process of the version before pieces.
    pub knows_no_pieces: Option<usize>,
    proposals: u64,
    /// The state after each committed entry.
    committed: BTreeMap<u64, State>,
    /// The newest change that somebody was told of.
    pub acknowledged: u64,
    accepted: BTreeMap<(u64, u64), u64>,
    /// What was acknowledged when somebody first led in a term.
    acknowledged_before: BTreeMap<u64, u64>,
    pub sent_bytes: usize,
    /// Steps in which a leader could answer.
    pub answerable: u64,
}

pub fn voter(host: usize) -> VoterId {
    VoterId { address: format!("n{host}"), incarnation: 0 }
}

fn host_of(voter: &VoterId) -> usize {
    voter.address[1..].parse().expect("a host's address")
}

fn bytes_of(message: &Message) -> usize {
    let entry = |entry: &Entry| match &entry.payload {
        Payload::Change(bytes) => bytes.len() + 24,
        _ => 64,
    };
    HEADER_BYTES
        + match message {
            Message::Append { entries, .. } => entries.iter().map(entry).sum(),
            Message::InstallSnapshot { snapshot, .. } => snapshot.state.len(),
            Message::Chunk { bytes, .. } => bytes.len(),
            _ => 0,
        }
}

impl World {
    /// Hosts that have fast links among them.
    pub fn new(size: usize, faults: Faults, limits: TransferLimits) -> World {
        let founders: Vec<VoterId> = (0..size).map(voter).collect();
        let host = |me: &VoterId| Host {
            disk: empty(me.clone(), founders.clone()),
            node: None,
            saves: VecDeque::new(),
            disk_free_at: 0,
            incarnation: 0,
            state: State::default(),
            applied: 0,
            since_compaction: (0, 0),
        };
        let link = Link { bandwidth: 100_000, delay: 1, free_at: 0, connection: 0, waiting: 0 };
        let mut world = World {
            now: 1000,
            hosts: founders.iter().map(host).collect(),
            links: vec![vec![link; size]; size],
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            count: 0,
            faults,
            limits,
            knows_no_pieces: None,
            proposals: 0,
            committed: BTreeMap::new(),
            acknowledged: 0,
            accepted: BTreeMap::new(),
            acknowledged_before: BTreeMap::new(),
            sent_bytes: 0,
            answerable: 0,
        };
        (0..size).for_each(|host| world.start(host));
        world
    }

    pub fn slow_down(&mut self, host: usize, bandwidth: usize, delay: Millis) {
        for other in 0..self.hosts.len() {
            for (from, to) in [(host, other), (other, host)] {
                (self.links[from][to].bandwidth, self.links[from][to].delay) = (bandwidth, delay);
            }
        }
    }

    /// The connections of a host break, with all that is on its way.
    pub fn break_connections(&mut self, host: usize) {
        for other in 0..self.hosts.len() {
            for (from, to) in [(host, other), (other, host)] {
                let link = &mut self.links[from][to];
                link.connection += 1;
                (link.free_at, link.waiting) = (self.now + RECONNECT, 0);
            }
        }
    }

    pub fn start(&mut self, at: usize) {
        let (faults, limits, now) = (self.faults, self.limits, self.now);
        let host = &mut self.hosts[at];
        let mut node = Node::start(host.disk.clone(), TIMING, now * 7 + at as u64, now);
        node.inject_faults(faults);
        node.set_transfer_limits(limits);
        host.node = Some(node);
        (host.disk_free_at, host.since_compaction) = (now, (0, 0));
        (host.applied, host.state) = match &host.disk.snapshot {
            Some(snapshot) => (snapshot.index, State::decode(&snapshot.state).expect("a state")),
            None => (0, State::default()),
        };
    }

    /// Power goes: of what is being saved the first `kept` are on disk.
    pub fn kill(&mut self, at: usize, kept: usize) {
        let host = &mut self.hosts[at];
        host.node = None;
        host.incarnation += 1;
        let saves = std::mem::take(&mut host.saves);
        saves.iter().take(kept).for_each(|save| apply(&mut host.disk, save));
        self.break_connections(at);
    }

    pub fn leader(&self) -> Option<usize> {
        let nodes = self.hosts.iter().enumerate().filter_map(|(at, host)| Some((host.node.as_ref()?, at)));
        nodes.filter(|(node, _)| node.is_leader()).max_by_key(|(node, _)| node.term()).map(|(_, at)| at)
    }

    pub fn node(&self, at: usize) -> Option<&Node> {
        self.hosts[at].node.as_ref()
    }

    pub fn applied(&self, at: usize) -> u64 {
        self.hosts[at].applied
    }

    pub fn state(&self, at: usize) -> State {
        self.hosts[at].state
    }

    /// The leader is given a change of this length.
    pub fn propose(&mut self, bytes: usize) -> Result<(), String> {
        let Some(leader) = self.leader() else { return Ok(()) };
        self.proposals += 1;
        let mut change = noise(self.proposals, bytes.max(8)).to_vec();
        change[..8].copy_from_slice(&self.proposals.to_be_bytes());
        self.input(leader, Input::Propose { token: self.proposals, change })
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((at, self.count)));
    }

    pub fn run_until(&mut self, end: Millis) -> Result<(), String> {
        loop {
            let event_at = self.queue.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let dues = self.hosts.iter().enumerate();
            let dues = dues.filter_map(|(at, host)| Some((host.node.as_ref()?.next_due(), at)));
            let (tick_at, at) = dues.min().unwrap_or((u64::MAX, 0));
            let next = event_at.min(tick_at).max(self.now);
            if next > end {
                self.now = end;
                return Ok(());
            }
            self.now = next;
            if tick_at < event_at {
                self.input(at, Input::Tick)?;
                continue;
            }
            let Some(Reverse((_, id))) = self.queue.pop() else { continue };
            if let Some(event) = self.events.remove(&id) {
                self.happen(event)?;
            }
        }
    }

    fn happen(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Arrives { from, to, connection, sender, message } => {
                let link = &mut self.links[from][to];
                if link.connection != connection {
                    return Ok(());
                }
                link.waiting -= 1;
                if self.knows_no_pieces == Some(to) && matches!(message, Message::Chunk { .. }) {
                    return Ok(());
                }
                self.input(to, Input::Received { from: sender, message })
            }
            Event::Saved { host: at, incarnation, ticket } => {
                let host = &mut self.hosts[at];
                if host.incarnation != incarnation {
                    return Ok(());
                }
                while host.saves.front().is_some_and(|save| save.ticket <= ticket)
                    && let Some(save) = host.saves.pop_front()
                {
                    apply(&mut host.disk, &save);
                }
                self.input(at, Input::Saved { ticket })
            }
        }
    }

    fn input(&mut self, at: usize, input: Input) -> Result<(), String> {
        let mut out = Vec::new();
        let Some(node) = &mut self.hosts[at].node else { return Ok(()) };
        node.handle(self.now, input, &mut out);
        for output in out {
            self.output(at, output)?;
        }
        self.compact_if_due(at)?;
        self.check_leader(at)?;
        self.check_follower(at)
    }

    fn output(&mut self, at: usize, output: Output) -> Result<(), String> {
        match output {
            Output::Send { to, message } => self.send(at, host_of(&to), message),
            Output::Save(save) => self.save(at, save),
            Output::Committed { entry } => return self.commit(at, &entry),
            Output::Install { snapshot } => return self.install(at, &snapshot),
            Output::Accepted { token, index, term } => {
                self.accepted.insert((index, term), token);
            }
            Output::Refused { .. } | Output::OutcomeUnknown { .. } | Output::Role(_) => {}
        }
        Ok(())
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = bytes_of(&message);
        let link = &mut self.links[from][to];
        if link.waiting >= MOST_WAITING {
            return;
        }
        link.waiting += 1;
        link.free_at = link.free_at.max(self.now) + (bytes / link.bandwidth) as Millis;
        let (at, connection) = (link.free_at + link.delay, link.connection);
        self.sent_bytes += bytes;
        let sender = voter(from);
        self.schedule(at, Event::Arrives { from, to, connection, sender, message });
    }

    /// A sync takes 5 ms, and a megabyte 20 ms more.
    fn save(&mut self, at: usize, save: Save) {
        let entries = save.entries.iter().map(|entry| match &entry.payload {
            Payload::Change(bytes) => bytes.len(),
            _ => 16,
        });
        let bytes =
            entries.sum::<usize>() + save.snapshot.as_ref().map_or(0, |snapshot| snapshot.state.len());
        let (ticket, now) = (save.ticket, self.now);
        let host = &mut self.hosts[at];
        host.saves.push_back(save);
        host.disk_free_at = host.disk_free_at.max(now) + 5 + (bytes / 50_000) as Millis;
        let (done_at, incarnation) = (host.disk_free_at, host.incarnation);
        self.schedule(done_at, Event::Saved { host: at, incarnation, ticket });
    }

    fn commit(&mut self, at: usize, entry: &Entry) -> Result<(), String> {
        let host = &mut self.hosts[at];
        if entry.index != host.applied + 1 {
            return Err(format!("n{at} is told entry {} after {}", entry.index, host.applied));
        }
        host.applied = entry.index;
        if let Payload::Change(change) = &entry.payload {
            host.state.apply(change);
            host.since_compaction.0 += 1;
            host.since_compaction.1 += change.len();
        }
        let state = host.state;
        if *self.committed.entry(entry.index).or_insert(state) != state {
            return Err(format!("n{at} has another state than others after entry {}", entry.index));
        }
        if self.accepted.remove(&(entry.index, entry.term)).is_some() {
            self.acknowledged = self.acknowledged.max(state.changes);
        }
        Ok(())
    }

    fn install(&mut self, at: usize, snapshot: &Snapshot) -> Result<(), String> {
        let state = State::decode(&snapshot.state).ok_or(format!("n{at} is given a state of mixed bytes"))?;
        if self.committed.get(&snapshot.index) != Some(&state) {
            return Err(format!("n{at} is given another state than was committed at {}", snapshot.index));
        }
        let host = &mut self.hosts[at];
        (host.applied, host.state, host.since_compaction) = (snapshot.index, state, (0, 0));
        Ok(())
    }

    fn compact_if_due(&mut self, at: usize) -> Result<(), String> {
        let host = &mut self.hosts[at];
        if host.since_compaction.0 < COMPACT_AFTER && host.since_compaction.1 < COMPACT_BYTES {
            return Ok(());
        }
        host.since_compaction = (0, 0);
        let (index, state) = (host.applied, host.state.encode());
        self.input(at, Input::Compact { index, state })
    }

    /// Whoever may answer has applied all that is committed in its log, and all that anybody was told of.
    fn check_leader(&mut self, at: usize) -> Result<(), String> {
        let host = &self.hosts[at];
        let Some(node) = host.node.as_ref().filter(|node| node.holds_lease(self.now)) else { return Ok(()) };
        self.answerable += 1;
        let (has, told) = (host.state.changes, self.acknowledged);
        if host.applied != node.commit() || has < told {
            return Err(format!("n{at} may answer with {has} changes, of {told} that were acknowledged"));
        }
        Ok(())
    }

    /// Whoever follows a leader and says that it lags behind nobody has what was acknowledged before that leader's term.
    fn check_follower(&mut self, at: usize) -> Result<(), String> {
        let host = &self.hosts[at];
        let Some(node) = &host.node else { return Ok(()) };
        if node.is_leader() {
            self.acknowledged_before.entry(node.term()).or_insert(self.acknowledged);
            return Ok(());
        }
        if node.leader().is_none() || node.commit() == 0 || node.lags() {
            return Ok(());
        }
        let has = host.state.changes;
        match self.acknowledged_before.get(&node.term()) {
            Some(told) if has < *told => {
                Err(format!("n{at} follows with {has} changes, of {told} that were acknowledged before"))
            }
            _ => Ok(()),
        }
    }
}
