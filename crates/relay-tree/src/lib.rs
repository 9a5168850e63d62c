//! The tree of relays that news goes down: a state machine without I/O or clock.
//!
//! Each process follows one other, from which it hears everything and to which it gives a sign of life; it passes on
//! what it hears to those that follow it. Roots follow nobody. A process takes as many followers as its link bears and
//! names others to those beyond. `docs/relays.md` says what holds, what it costs and what it was weighed against.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod above;
mod below;
mod chart;

use chart::Chart;
use protocol::relay::{Mark, Word};
use protocol::{Backend, ConfigSnapshot, Heartbeat};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Milliseconds of the host's steady clock.
pub type Millis = u64;

/// A root gives a sign of life this often.
pub const HEARTBEAT: Millis = 350;
/// A follower does.
pub const SIGN: Millis = 800;
/// ... and no more often than this, when there is room where there was none, or none any more.
const SOON: Millis = 200;
/// Whoever is followed has lost the root when no heartbeat comes for this long.
pub const SILENT: Millis = 1300;
/// ... and so much longer for each relay between: who is nearer to the trouble mends it, with all below.
const LATER: Millis = 100;
/// A root that has not heard the leader for this long is left.
const BEHIND: Millis = 900;
/// A relay that looks for another place is given so much longer by those below it.
const ISOLATED: Millis = 1500;
/// A follower that says nothing for this long is none any more.
const GONE: Millis = 2500;
/// Whoever is asked answers by then or is passed over.
const ANSWER: Millis = 400;
/// Whoever failed is not asked for this long while there are others.
const AVOIDED: Millis = 3000;
/// A pause before the roots are asked again, drawn up to twice as long.
const AGAIN: Millis = 150;
/// What was missed is asked for no more often than this.
const ASK: Millis = 400;
/// Relays between a root and the last follower at most.
pub const DEEPEST: usize = 8;
/// So many places with room are named at once.
const NAMED: usize = 4;
/// So often in a row nobody is named until a root takes the asker beyond its room.
const PATIENT: u8 = 6;
/// Roots are some dozens; more are somebody's fault.
const MOST_ROOTS: usize = 256;
/// A root takes so many times its room then, at least so many.
const PRESSED: usize = 4;

/// What a relay is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it takes connections.
    pub me: SocketAddr,
    /// How many may follow it.
    pub room: usize,
    /// The epoch of its changes, if it is a root: drawn at its start, not 0.
    pub epoch: Option<u64>,
    /// Where roots take connections.
    pub roots: Vec<SocketAddr>,
    /// A number drawn at its start.
    pub seed: u64,
}

/// How many may follow a process with such a link: one for each share of it, 16 at most. Below that it is a leaf.
pub fn room(link_mbps: f64, share_mbps: f64) -> usize {
    (link_mbps / share_mbps).clamp(0.0, 16.0) as usize
}

/// What happens to a relay.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; wanted every 100 ms or so.
    Tick,
    /// A word came.
    Heard {
        /// Who said it.
        from: SocketAddr,
        /// What.
        word: Word,
    },
    /// The connection with a process is lost, or none came up.
    Lost(SocketAddr),
    /// The connection on which it followed is over.
    Left(SocketAddr),
    /// Backends changed; of a root.
    Change(Vec<Backend>),
    /// A configuration is in force; of a root.
    ConfigSnapshot(ConfigSnapshot),
    /// What goes with the next heartbeats; of a root.
    Told(Heartbeat),
    /// These are the roots from now on; those that follow hear it.
    Roots(Vec<SocketAddr>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Say this. A [`Word::Join`] goes over a new connection, which ends one that stands.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        word: Word,
    },
    /// Backends changed, or with `whole` these are all.
    Backends {
        /// Whether there are no others.
        whole: bool,
        /// How far this process is with them.
        mark: Mark,
        /// The backends.
        backends: Vec<Backend>,
    },
    /// A configuration newer than all before.
    ConfigSnapshot(ConfigSnapshot),
    /// A root lives, and says this of the fleet.
    Heartbeat(Heartbeat),
}

/// One process of the tree.
#[derive(Debug)]
pub struct Relay {
    settings: Settings,
    random: u64,
    chart: Chart,
    above: above::Above,
    below: BTreeMap<SocketAddr, below::Follower>,
    outputs: Vec<Output>,
}

impl Relay {
    /// A process that follows nobody yet.
    pub fn new(settings: Settings) -> Self {
        let mark = Mark { epoch: settings.epoch.unwrap_or(0), sequence: 0 };
        Self {
            random: settings.seed | 1,
            chart: Chart::new(mark),
            above: above::Above::default(),
            below: BTreeMap::new(),
            outputs: Vec::new(),
            settings,
        }
    }

    /// Works something off; what is to be done is added to `outputs`, in order.
    pub fn handle(&mut self, now: Millis, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick => {
                self.tick_below(now);
                self.tick_above(now);
            }
            Input::Heard { from, word } => self.hear(now, from, word),
            Input::Lost(peer) => {
                self.below.remove(&peer);
                self.lost(now, peer);
            }
            Input::Left(peer) => {
                self.below.remove(&peer);
            }
            Input::Change(backends) if self.is_root() => {
                let batch = self.chart.change(backends);
                self.tell(&Word::Batch(batch));
            }
            Input::ConfigSnapshot(config_snapshot) if self.is_root() => {
                self.take_config_snapshot(config_snapshot)
            }
            Input::Change(_) | Input::ConfigSnapshot(_) => {}
            Input::Told(told) => self.above.told = told,
            Input::Roots(roots) => self.take_roots(roots),
        }
        outputs.append(&mut self.outputs);
    }

    fn hear(&mut self, now: Millis, from: SocketAddr, word: Word) {
        match word {
            Word::Join { mark, version, tries, .. } => self.on_join(now, from, mark, version, tries),
            Word::Sign { places } => self.on_sign(now, from, places),
            Word::Missed { mark, version } => self.on_missed(now, from, mark, version),
            Word::Leave => {
                self.below.remove(&from);
            }
            word => self.on_news(now, from, word),
        }
    }

    /// Whether it follows nobody, ever.
    pub fn is_root(&self) -> bool {
        self.settings.epoch.is_some()
    }

    /// Whom it follows.
    pub fn following(&self) -> Option<SocketAddr> {
        self.above.following()
    }

    /// Who follows it.
    pub fn followers(&self) -> impl Iterator<Item = SocketAddr> {
        self.below.keys().copied()
    }

    /// How far it is with the changes, and its newest configuration.
    pub fn stands(&self) -> (Mark, u64) {
        (self.chart.mark(), self.chart.version())
    }

    fn say(&mut self, to: SocketAddr, word: Word) {
        self.outputs.push(Output::Send { to, word });
    }

    /// Says it to all that follow.
    fn tell(&mut self, word: &Word) {
        for to in self.below.keys() {
            self.outputs.push(Output::Send { to: *to, word: word.clone() });
        }
    }

    fn take_config_snapshot(&mut self, config_snapshot: ConfigSnapshot) {
        if self.chart.config_snapshot(&config_snapshot) {
            for (to, follower) in &mut self.below {
                if follower.version < config_snapshot.version {
                    follower.version = config_snapshot.version;
                    self.outputs
                        .push(Output::Send { to: *to, word: Word::ConfigSnapshot(config_snapshot.clone()) });
                }
            }
            self.outputs.push(Output::ConfigSnapshot(config_snapshot));
        }
    }

    fn take_roots(&mut self, mut roots: Vec<SocketAddr>) {
        // Each root names them in another order, which is no news.
        roots.sort_unstable();
        roots.truncate(MOST_ROOTS);
        if !roots.is_empty() && roots != self.settings.roots {
            self.settings.roots = roots;
            let roots = self.roots();
            self.tell(&roots);
        }
    }

    fn roots(&self) -> Word {
        Word::Roots(self.settings.roots.iter().map(SocketAddr::to_string).collect())
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below.max(1)
    }
}
