//! A simulation of nodes over links with limited bandwidth: messages on a link queue behind earlier messages.
//!
//! Hosts compact their logs as the control plane does, and their state has the size of the control plane's state.
//! After each step the simulation checks that a leader that may serve requests has applied its log and all
//! acknowledged changes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::LazyLock;

use raft::{
    Entry, Faults, Input, Message, Millis, Node, Output, Payload, PersistentState, Save, Snapshot, Timing,
    TransferLimits, VoterId,
};

use crate::fake_disk::{apply, empty};

/// The production timing.
pub const TIMING: Timing = Timing { heartbeat: 60, election: 320, lease: 230 };
/// The number of changes, or the bytes of changes, after which the log is compacted, as in the control plane.
const COMPACT_AFTER_CHANGES: u64 = 16;
const COMPACT_AFTER_BYTES: usize = 4_000_000;
/// The bytes that the control plane keeps for each remembered version, and the number of remembered versions.
const VERSION_BYTES: usize = 40;
const MAX_VERSIONS: usize = 4096;
/// The maximum bytes and the maximum number of earlier bodies that the control plane keeps.
const MAX_EARLIER_BODIES_BYTES: usize = 1 << 20;
const MAX_EARLIER_BODIES: usize = 7;
/// The size of a message without its entries, state or chunk, in bytes.
const HEADER_BYTES: usize = 64;
/// The time until a broken connection is re-established.
const RECONNECT_DELAY: Millis = 100;
/// The maximum number of messages queued on one connection; further messages are dropped.
const MAX_QUEUED_MESSAGES: usize = 512;

/// The size of the noise buffer, in bytes: the largest state plus some space for different start offsets.
const NOISE_BYTES: usize = 8 << 20;

/// Bytes that `bitcode` cannot compress, different for each number.
fn noise(number: u64, length: usize) -> &'static [u8] {
    static NOISE: LazyLock<Vec<u8>> = LazyLock::new(|| {
        let words =
            (1..=NOISE_BYTES as u64 / 8).map(|at| at.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29));
        words.flat_map(|word| word.wrapping_mul(0x94d0_49bb_1331_11eb).to_be_bytes()).collect()
    });
    let from = number as usize % 1000;
    &NOISE[from..from + length]
}

/// The state of a host after applying its log.
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
        // The first bytes distinguish changes.
        let digest =
            change.iter().take(16).fold(self.digest, |sum, byte| sum.wrapping_mul(31) + u64::from(*byte));
        self.digest = digest.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }

    /// The size of the corresponding state of the control plane, in bytes.
    pub fn size(&self) -> usize {
        let earlier_bodies = (self.newest_bytes * MAX_EARLIER_BODIES).min(MAX_EARLIER_BODIES_BYTES);
        24 + self.newest_bytes + earlier_bodies + VERSION_BYTES * MAX_VERSIONS.min(self.changes as usize)
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = [self.changes, self.digest, self.newest_bytes as u64].map(u64::to_be_bytes).concat();
        bytes.extend_from_slice(noise(self.changes, self.size() - bytes.len()));
        bytes
    }

    /// Decodes a state; `None` unless all bytes belong to the same state.
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

/// One direction of a link between two hosts.
#[derive(Clone)]
struct Link {
    /// The available bandwidth in bytes per millisecond.
    bandwidth: usize,
    delay: Millis,
    free_at: Millis,
    /// The number of the current connection. Messages of an earlier connection are lost.
    connection: u64,
    queued: usize,
}

enum Event {
    Arrival { from: usize, to: usize, connection: u64, sender: VoterId, message: Message },
    Saved { host: usize, incarnation: u64, ticket: u64 },
}

/// A simulated cluster: its hosts, the messages in flight and the properties checked so far.
pub struct World {
    pub now: Millis,
    hosts: Vec<Host>,
    links: Vec<Vec<Link>>,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    count: u64,
    faults: Faults,
    limits: TransferLimits,
    /// A host that runs the previous release, which does not support chunked transfers.
    pub without_chunk_support: Option<usize>,
    proposals: u64,
    /// The state after each committed entry.
    committed: BTreeMap<u64, State>,
    /// The number of the newest acknowledged change.
    pub acknowledged: u64,
    accepted: BTreeMap<(u64, u64), u64>,
    /// For each term, the newest acknowledged change when its leader was elected.
    acknowledged_before: BTreeMap<u64, u64>,
    pub sent_bytes: usize,
    /// The number of steps in which a leader was allowed to serve requests.
    pub serving_steps: u64,
}

pub fn voter(host: usize) -> VoterId {
    VoterId { address: format!("n{host}"), incarnation: 0 }
}

fn host_of(voter: &VoterId) -> usize {
    voter.address[1..].parse().expect("an address of a simulated host")
}

fn size_of_message(message: &Message) -> usize {
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
    /// Creates hosts with fast links between them.
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
        let link = Link { bandwidth: 100_000, delay: 1, free_at: 0, connection: 0, queued: 0 };
        let mut world = World {
            now: 1000,
            hosts: founders.iter().map(host).collect(),
            links: vec![vec![link; size]; size],
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            count: 0,
            faults,
            limits,
            without_chunk_support: None,
            proposals: 0,
            committed: BTreeMap::new(),
            acknowledged: 0,
            accepted: BTreeMap::new(),
            acknowledged_before: BTreeMap::new(),
            sent_bytes: 0,
            serving_steps: 0,
        };
        (0..size).for_each(|host| world.start(host));
        world
    }

    pub fn set_link_speed(&mut self, host: usize, bandwidth: usize, delay: Millis) {
        for other in 0..self.hosts.len() {
            for (from, to) in [(host, other), (other, host)] {
                (self.links[from][to].bandwidth, self.links[from][to].delay) = (bandwidth, delay);
            }
        }
    }

    /// Breaks all connections of a host, which loses the messages in flight.
    pub fn break_connections(&mut self, host: usize) {
        for other in 0..self.hosts.len() {
            for (from, to) in [(host, other), (other, host)] {
                let link = &mut self.links[from][to];
                link.connection += 1;
                (link.free_at, link.queued) = (self.now + RECONNECT_DELAY, 0);
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
            Some(snapshot) => (snapshot.index, State::decode(&snapshot.state).expect("a valid state")),
            None => (0, State::default()),
        };
    }

    /// Stops a host by a power loss. The first `kept` pending saves reach the disk.
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

    /// Proposes a change of the given length to the leader, if there is one.
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
                self.apply_event(event)?;
            }
        }
    }

    fn apply_event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Arrival { from, to, connection, sender, message } => {
                let link = &mut self.links[from][to];
                if link.connection != connection {
                    return Ok(());
                }
                link.queued -= 1;
                if self.without_chunk_support == Some(to) && matches!(message, Message::Chunk { .. }) {
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
        let bytes = size_of_message(&message);
        let link = &mut self.links[from][to];
        if link.queued >= MAX_QUEUED_MESSAGES {
            return;
        }
        link.queued += 1;
        link.free_at = link.free_at.max(self.now) + (bytes / link.bandwidth) as Millis;
        let (at, connection) = (link.free_at + link.delay, link.connection);
        self.sent_bytes += bytes;
        let sender = voter(from);
        self.schedule(at, Event::Arrival { from, to, connection, sender, message });
    }

    /// Schedules a save: a sync takes 5 ms, plus 20 ms per megabyte.
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
            return Err(format!("n{at} committed entry {} after entry {}", entry.index, host.applied));
        }
        host.applied = entry.index;
        if let Payload::Change(change) = &entry.payload {
            host.state.apply(change);
            host.since_compaction.0 += 1;
            host.since_compaction.1 += change.len();
        }
        let state = host.state;
        if *self.committed.entry(entry.index).or_insert(state) != state {
            return Err(format!("n{at} has a different state than other hosts after entry {}", entry.index));
        }
        if self.accepted.remove(&(entry.index, entry.term)).is_some() {
            self.acknowledged = self.acknowledged.max(state.changes);
        }
        Ok(())
    }

    fn install(&mut self, at: usize, snapshot: &Snapshot) -> Result<(), String> {
        let state =
            State::decode(&snapshot.state).ok_or(format!("n{at} installed a snapshot with mixed bytes"))?;
        if self.committed.get(&snapshot.index) != Some(&state) {
            return Err(format!(
                "n{at} installed a state that differs from the committed state at entry {}",
                snapshot.index
            ));
        }
        let host = &mut self.hosts[at];
        (host.applied, host.state, host.since_compaction) = (snapshot.index, state, (0, 0));
        Ok(())
    }

    fn compact_if_due(&mut self, at: usize) -> Result<(), String> {
        let host = &mut self.hosts[at];
        if host.since_compaction.0 < COMPACT_AFTER_CHANGES && host.since_compaction.1 < COMPACT_AFTER_BYTES {
            return Ok(());
        }
        host.since_compaction = (0, 0);
        let (index, state) = (host.applied, host.state.encode());
        self.input(at, Input::Compact { index, state })
    }

    /// Checks that a leader with a lease has applied all entries that it committed, and all acknowledged changes.
    fn check_leader(&mut self, at: usize) -> Result<(), String> {
        let host = &self.hosts[at];
        let Some(node) = host.node.as_ref().filter(|node| node.holds_lease(self.now)) else { return Ok(()) };
        self.serving_steps += 1;
        let (has, acknowledged) = (host.state.changes, self.acknowledged);
        if host.applied != node.commit() || has < acknowledged {
            return Err(format!(
                "n{at} may serve requests with {has} of {acknowledged} acknowledged changes"
            ));
        }
        Ok(())
    }

    /// Checks that a follower that does not report itself as lagging has all changes acknowledged before its
    /// leader's term.
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
            Some(acknowledged) if has < *acknowledged => {
                Err(format!("n{at} follows with {has} of {acknowledged} acknowledged changes of older terms"))
            }
            _ => Ok(()),
        }
    }
}
