//! A fleet of relays in one thread: links with a width and a delay, processes that die, freeze or are cut off, all
//! drawn from a seed, on a clock of its own.

use protocol::relay::{Mark, Word};
use protocol::{Backend, ConfigSnapshot, Heartbeat, Phase};
use relay_tree::{DEEPEST, Input, Output, Relay, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

/// Microseconds of the world's clock.
type Micros = u64;

/// What is done wrong on purpose, to see it found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// Nobody sees where a batch belongs: each looks like the next one.
    Sequence,
}

/// A process as the world draws it.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub mbps: f64,
    pub root: bool,
}

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Arrive { from: usize, to: usize, line: u64, word: Word, bytes: u64 },
    Take { from: usize, to: usize, line: u64, word: Word },
    Lost { at: usize, of: usize },
    Thaw(usize),
    Heal(usize),
    Start(usize),
}

struct Node {
    kind: Kind,
    relay: Option<Relay>,
    /// Rises with each start.
    life: u64,
    frozen: bool,
    /// What it says gets nowhere, or nothing gets to it.
    mute: bool,
    deaf: bool,
    stored: Vec<(usize, u64, Word)>,
    up_busy: Micros,
    down_busy: Micros,
    table: BTreeMap<String, Backend>,
    mark: Mark,
    version: u64,
    pub sent: u64,
}

pub struct World {
    pub now: Micros,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    counter: u64,
    random: u64,
    planted: Planted,
    /// Whoever finds no room is named anybody at all, also those that follow him.
    pub misnamed: bool,
    /// The line of a follower to the one that it follows or asks.
    lines: BTreeMap<(usize, usize), u64>,
    calls: u64,
    truth: BTreeMap<String, Backend>,
    born: BTreeMap<u64, Micros>,
    /// For each change the time until each process knew.
    pub delays: Vec<Micros>,
    pub last: BTreeMap<u64, Micros>,
    config_snapshots: BTreeMap<u64, Micros>,
    pub config_snapshot_delays: Vec<Micros>,
    pub wrong: Vec<String>,
    circle_since: Option<Micros>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, (node >> 8) as u8, node as u8, 1).into(), 7000)
}

fn number(address: &SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { panic!("only these are used") };
    let [_, high, low, _] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Bytes that a message can't be made shorter by.
fn body(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|n| (n * 167 + n / 7) as u8).collect()
}

impl World {
    pub fn new(seed: u64, kinds: &[Kind], planted: Planted) -> Self {
        let node = |kind: &Kind| Node {
            kind: *kind,
            relay: None,
            life: 0,
            frozen: false,
            mute: false,
            deaf: false,
            stored: Vec::new(),
            up_busy: 0,
            down_busy: 0,
            table: BTreeMap::new(),
            mark: Mark::default(),
            version: 0,
            sent: 0,
        };
        let mut world = Self {
            now: 0,
            nodes: kinds.iter().map(node).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            counter: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            planted,
            misnamed: false,
            lines: BTreeMap::new(),
            calls: 0,
            truth: BTreeMap::new(),
            born: BTreeMap::new(),
            delays: Vec::new(),
            last: BTreeMap::new(),
            config_snapshots: BTreeMap::new(),
            config_snapshot_delays: Vec::new(),
            wrong: Vec::new(),
            circle_since: None,
        };
        for at in 0..kinds.len() {
            let late = world.below(200_000);
            world.at(late, Event::Start(at));
        }
        world
    }

    pub fn below(&mut self, most: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % most.max(1)
    }

    fn at(&mut self, time: Micros, event: Event) {
        self.counter += 1;
        self.events.insert(self.counter, event);
        self.queue.push(Reverse((time.max(self.now), self.counter)));
    }

    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    fn roots(&self) -> Vec<usize> {
        (0..self.size()).filter(|at| self.nodes[*at].kind.root).collect()
    }

    fn start(&mut self, at: usize) {
        let seed = self.below(u64::MAX >> 33) + 1;
        let roots: Vec<_> = self.roots().into_iter().map(address).collect();
        let node = &mut self.nodes[at];
        node.life += 1;
        (node.frozen, node.version, node.mark) = (false, 0, Mark::default());
        node.table.clear();
        node.stored.clear();
        let epoch = node.kind.root.then_some(seed << 8 | at as u64);
        let room = relay_tree::room(node.kind.mbps, 10.0);
        node.relay = Some(Relay::new(Settings { me: address(at), room, epoch, roots, seed }));
        let life = node.life;
        if node.kind.root {
            self.work(at, Input::Told(Heartbeat { fresh: true, ..Heartbeat::default() }));
            // A root that starts hears from the others what there is.
            let all: Vec<_> = self.truth.values().cloned().collect();
            self.work(at, Input::Change(all));
            if let Some((version, _)) = self.config_snapshots.last_key_value() {
                self.work(at, Input::ConfigSnapshot(ConfigSnapshot { version: *version, body: body(500) }));
            }
        }
        let first = self.now + self.below(100_000);
        self.at(first, Event::Tick(at, life));
    }

    fn work(&mut self, at: usize, input: Input) {
        let Some(relay) = self.nodes[at].relay.as_mut() else { return };
        let mut outputs = Vec::new();
        relay.handle(self.now / 1000, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, word } => self.send(at, number(&to), word),
                Output::Backends { whole, mark, backends } => self.told(at, whole, mark, &backends),
                Output::Heartbeat(_) => {}
                Output::ConfigSnapshot(config_snapshot) => {
                    if config_snapshot.version <= self.nodes[at].version {
                        self.wrong.push(format!("{at} goes back to r{}", config_snapshot.version));
                    }
                    self.nodes[at].version = config_snapshot.version;
                    if let Some(born) = self.config_snapshots.get(&config_snapshot.version) {
                        self.config_snapshot_delays.push(self.now - born);
                    }
                }
            }
        }
    }

    /// What the process does with its news, and whether that is what it should get.
    fn told(&mut self, at: usize, whole: bool, mark: Mark, backends: &[Backend]) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if whole {
            node.table.clear();
        } else if mark.epoch != node.mark.epoch {
            self.wrong.push(format!("{at} takes changes of an epoch whose list it has not"));
        }
        node.mark = mark;
        if !whole && !backends.is_sorted_by_key(|backend| backend.phase == Phase::Serving) {
            self.wrong.push(format!("{at} hears of drains behind others"));
        }
        for backend in backends {
            let before = node.table.insert(backend.id.clone(), backend.clone());
            if let Some(before) = before.filter(|before| before.call_count >= backend.call_count) {
                let (id, old, new) = (&backend.id, before.call_count, backend.call_count);
                self.wrong.push(format!("{at} hears {new} of {id} after {old}"));
            }
            if !whole && let Some(born) = self.born.get(&backend.call_count) {
                self.delays.push(now - born);
                let last = self.last.entry(backend.call_count).or_default();
                *last = (*last).max(now - born);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, word: Word) {
        let pair = if word.is_up() { (from, to) } else { (to, from) };
        if matches!(word, Word::Join { .. }) {
            // A new connection; what was on an old one is lost.
            self.counter += 1;
            self.lines.insert(pair, self.counter);
        }
        let Some(line) = self.lines.get(&pair).copied() else { return };
        // Headers of the segment and of the frame.
        let bytes = protocol::frame(&word).len() as u64 + 52;
        let node = &mut self.nodes[from];
        node.sent += bytes;
        let span = (bytes as f64 * 8.0 / node.kind.mbps) as Micros;
        node.up_busy = node.up_busy.max(self.now) + span;
        let delay = 500 + (from * 31 + to * 17) as u64 % 2500;
        let time = node.up_busy + delay;
        self.at(time, Event::Arrive { from, to, line, word, bytes });
    }

    fn arrive(&mut self, from: usize, to: usize, line: u64, word: Word, bytes: u64) {
        let node = &mut self.nodes[to];
        node.down_busy = node.down_busy.max(self.now) + (bytes as f64 * 8.0 / node.kind.mbps) as Micros;
        let time = node.down_busy;
        self.at(time, Event::Take { from, to, line, word });
    }

    fn take(&mut self, from: usize, to: usize, line: u64, mut word: Word) {
        if self.nodes[from].mute || self.nodes[to].deaf {
            return;
        }
        if self.nodes[to].frozen {
            self.nodes[to].stored.push((from, line, word));
            return;
        }
        let pair = if word.is_up() { (from, to) } else { (to, from) };
        if self.lines.get(&pair) != Some(&line) {
            return;
        }
        if let Word::Refer { to } = &mut word
            && self.misnamed
        {
            *to = (0..3).map(|_| address(self.below(self.size() as u64) as usize).to_string()).collect();
        }
        let Some(relay) = &self.nodes[to].relay else { return };
        if let (Word::Batch(batch), Planted::Sequence) = (&mut word, self.planted) {
            let (mark, _) = relay.stands();
            batch.mark = Mark { sequence: mark.sequence + 1, ..mark };
        }
        self.work(to, Input::Heard { from: address(from), word });
    }

    /// Plays until a time.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((time, key))) = self.queue.peek().copied() {
            if time > until {
                break;
            }
            self.queue.pop();
            self.now = time;
            match self.events.remove(&key).expect("queued with it") {
                Event::Tick(at, life) => {
                    if self.nodes[at].relay.is_none() || self.nodes[at].life != life {
                        continue;
                    }
                    if !self.nodes[at].frozen {
                        self.work(at, Input::Tick);
                    }
                    self.at(time + 100_000, Event::Tick(at, life));
                    if at == 0 {
                        self.look();
                    }
                }
                Event::Arrive { from, to, line, word, bytes } => self.arrive(from, to, line, word, bytes),
                Event::Take { from, to, line, word } => self.take(from, to, line, word),
                Event::Lost { at, of } => self.work(at, Input::Lost(address(of))),
                Event::Thaw(at) => {
                    self.nodes[at].frozen = false;
                    for (from, line, word) in std::mem::take(&mut self.nodes[at].stored) {
                        self.take(from, at, line, word);
                    }
                }
                Event::Heal(at) => (self.nodes[at].mute, self.nodes[at].deaf) = (false, false),
                Event::Start(at) => self.start(at),
            }
        }
        self.now = until;
    }

    /// Backends change, as every root hears.
    pub fn change(&mut self, how_many: u64) {
        let mut backends = Vec::new();
        for _ in 0..how_many {
            let id = format!("i-{:010}", self.below(231));
            if backends.iter().any(|backend: &Backend| backend.id == id) {
                continue;
            }
            self.calls += 1;
            let phase = if self.below(3) == 0 { Phase::Draining } else { Phase::Serving };
            let backend = Backend {
                id: id.clone(),
                service: "service-a".into(),
                address: "10.200.100.50:8000".into(),
                zone: "western-hall".into(),
                generation: "v1".into(),
                capacity: 6,
                phase,
                warmup_left_ms: 0,
                call_count: self.calls,
                overdue: false,
            };
            self.born.insert(self.calls, self.now);
            self.truth.insert(id, backend.clone());
            backends.push(backend);
        }
        for root in self.roots() {
            // A frozen one hears it when it wakes; that it does so at once here makes its followers' gap no smaller.
            self.work(root, Input::Change(backends.clone()));
        }
    }

    /// The operator's configuration, of so many bytes on the way.
    pub fn configure(&mut self, version: u64, bytes: usize) {
        self.config_snapshots.insert(version, self.now);
        for root in self.roots() {
            self.work(root, Input::ConfigSnapshot(ConfigSnapshot { version, body: body(bytes) }));
        }
    }

    /// A trouble that ends by itself.
    pub fn trouble(&mut self) {
        let at = self.below(self.size() as u64) as usize;
        if self.nodes[at].relay.is_none() || self.nodes[at].frozen {
            return;
        }
        // Half of them end before anybody can have noticed: words are lost on a line that stands.
        let longest = if self.below(2) == 0 { 1_000_000 } else { 6_000_000 };
        let span = 200_000 + self.below(longest);
        let end = self.now + span;
        match self.below(4) {
            0 => {
                // Killed: the kernel resets its connections; or without power: nobody says anything.
                self.nodes[at].relay = None;
                let resets = self.below(2) == 0;
                let peers: Vec<_> =
                    self.lines.keys().filter(|(a, b)| *a == at || *b == at).copied().collect();
                for pair in peers {
                    self.lines.remove(&pair);
                    if resets {
                        let peer = if pair.0 == at { pair.1 } else { pair.0 };
                        self.at(self.now + 2000, Event::Lost { at: peer, of: at });
                    }
                }
                self.at(end, Event::Start(at));
            }
            1 => {
                self.nodes[at].frozen = true;
                self.at(end, Event::Thaw(at));
            }
            2 => {
                self.nodes[at].mute = true;
                self.at(end, Event::Heal(at));
            }
            _ => {
                self.nodes[at].deaf = true;
                self.at(end, Event::Heal(at));
            }
        }
    }

    /// How many relays are between each process and its root; none where it has no root, in a circle or alone.
    pub fn level(&self, at: usize) -> Option<usize> {
        let mut here = at;
        for level in 0..=self.size() {
            let relay = self.nodes[here].relay.as_ref()?;
            if relay.is_root() {
                return Some(level);
            }
            here = number(&relay.following()?);
        }
        None
    }

    fn in_circle(&self) -> bool {
        let next = |at: usize| {
            let relay = self.nodes[at].relay.as_ref()?;
            relay.following().map(|to| number(&to))
        };
        // Whoever takes more steps than there are processes has been somewhere twice.
        (0..self.size()).any(|at| {
            let mut here = Some(at);
            (0..self.size().min(40)).all(|_| {
                here = here.and_then(next);
                here.is_some()
            })
        })
    }

    /// What must hold at each moment.
    fn look(&mut self) {
        if self.in_circle() {
            let since = *self.circle_since.get_or_insert(self.now);
            if self.now > since + 500_000 {
                self.wrong.push(format!("a circle since {} ms", (self.now - since) / 1000));
            }
        } else {
            self.circle_since = None;
        }
    }

    /// How many follow the busiest process, against its room.
    pub fn fan_out(&self) -> (usize, usize) {
        let relays = self.nodes.iter().filter_map(|node| Some((node, node.relay.as_ref()?)));
        let most =
            relays.map(|(node, relay)| (relay.followers().count(), relay_tree::room(node.kind.mbps, 10.0)));
        most.max().unwrap_or_default()
    }

    pub fn deepest(&self) -> usize {
        (0..self.size()).filter_map(|at| self.level(at)).max().unwrap_or(0)
    }

    /// Bytes that each process has sent since the last look, those of roots and of others: the most, and in all.
    pub fn sent(&mut self) -> [(u64, u64); 2] {
        let mut sums = [(0, 0); 2];
        for node in &mut self.nodes {
            let sent = std::mem::take(&mut node.sent);
            let sum = &mut sums[usize::from(!node.kind.root)];
            *sum = (sum.0.max(sent), sum.1 + sent);
        }
        sums
    }

    /// What must hold once all is well.
    pub fn settled(&mut self) {
        let version = self.config_snapshots.last_key_value().map_or(0, |(version, _)| *version);
        for at in 0..self.size() {
            let level = self.level(at);
            if level.is_none_or(|level| level > DEEPEST) {
                self.wrong.push(format!("{at} is at level {level:?}"));
            }
            let node = &self.nodes[at];
            if node.kind.root {
                continue;
            }
            if node.table != self.truth {
                let differ =
                    self.truth.iter().filter(|(id, backend)| node.table.get(*id) != Some(*backend)).count();
                self.wrong.push(format!("{at} is wrong about {differ} backends"));
            }
            if node.version != version {
                self.wrong.push(format!("{at} has r{} in place of r{version}", node.version));
            }
        }
    }
}
