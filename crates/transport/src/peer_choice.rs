//! Whom to follow: a state machine without I/O or clock.

use protocol::Heartbeat;
use quota::{Epoch, HolderAssignment};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Milliseconds of the host's steady clock.
pub type Millis = u64;

/// Who is followed says something at least this often; a silence of that long is the end of it.
const SILENT: Millis = 1300;
/// Who has lost the leader is left after this long, if there is anybody else.
const BEHIND: Millis = 900;
/// Who was chosen just now and has said nothing is left sooner, by whoever had a word of this moment from another one
/// before: a connection comes up and a first word comes within this, also between regions.
const FIRST_WORD: Millis = 650;
/// ... and so is one whose words so far were not of this moment: another one's may be.
const FIRST_FRESH_WORD: Millis = 400;
/// Who failed is not asked again for this long, while others are there.
const AVOIDED: Millis = 1500;
/// While all have failed, each is asked again after this long: whoever is dead refuses at once, and asking in a circle
/// would cost the processor time that its return needs.
const AGAIN: Millis = 200;
/// A process that knows nothing takes what is perhaps not the newest only after this long.
const PATIENCE: Millis = 8000;
/// Processes that serve control are some dozens; more are somebody's fault.
const MOST: usize = 256;

/// The one that is followed.
#[derive(Clone, Debug)]
struct Leading {
    to: SocketAddr,
    heard: Millis,
    fresh_at: Millis,
    /// When it answered last that it is in touch with the leader.
    answered_at: Millis,
    fresh: bool,
    /// Whether it has said anything, and whether that was ever of this moment.
    has_spoken: bool,
    was_fresh: bool,
    /// The version that it said it has, when it last said that it is of this moment.
    version: u64,
}

/// What a follower knows of those that serve control, and whom it follows.
#[derive(Debug)]
pub struct PeerChoice {
    name: String,
    zone: String,
    own: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    control_planes: BTreeMap<SocketAddr, String>,
    /// When those failed that are not to be asked again yet.
    failed: BTreeMap<SocketAddr, Millis>,
    following: Option<Leading>,
    /// Whether anybody has had a word of this moment for this process. After a start of the whole system nobody has one.
    had_fresh_word: bool,
    leader: Option<SocketAddr>,
    /// Who holds the counts.
    assignment: HolderAssignment,
    started: Millis,
}

impl PeerChoice {
    /// A follower of this name and zone, itself at `own` if it serves control, that knows some seeds.
    pub fn new(now: Millis, name: &str, zone: &str, own: Option<SocketAddr>, seeds: Vec<SocketAddr>) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            own,
            seeds,
            control_planes: BTreeMap::new(),
            failed: BTreeMap::new(),
            following: None,
            had_fresh_word: false,
            leader: None,
            assignment: HolderAssignment::default(),
            started: now,
        }
    }

    /// The settings name other seeds.
    pub fn seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Who serves control, and in which zone.
    pub fn control_planes(&mut self, control_planes: impl IntoIterator<Item = (SocketAddr, String)>) {
        self.control_planes = control_planes.into_iter().take(MOST).collect();
    }

    /// Who is followed now.
    pub fn following(&self) -> Option<SocketAddr> {
        self.following.as_ref().map(|f| f.to)
    }

    /// Who holds the counts, as far as known.
    pub fn assignment(&self) -> &HolderAssignment {
        &self.assignment
    }

    /// Where the leader is, as far as known; it holds counts, alone or with others.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Where the holders of the counts are.
    pub fn holders(&self) -> impl Iterator<Item = SocketAddr> {
        let all = self.assignment.holders.iter().filter_map(|holder| holder.parse().ok());
        all.filter(|_| self.leader.is_some())
    }

    /// Who is to be dialed now, if nobody is followed.
    pub fn choose(&mut self, now: Millis) -> Option<SocketAddr> {
        if self.following.is_some() {
            return None;
        }
        let to = self.best(now)?;
        self.begin(now, to);
        Some(to)
    }

    /// This one is followed from now on, and whoever was followed has failed.
    pub fn follow(&mut self, now: Millis, to: SocketAddr) {
        self.failed(now);
        self.begin(now, to);
    }

    fn begin(&mut self, now: Millis, to: SocketAddr) {
        self.following = Some(Leading {
            to,
            heard: now,
            fresh_at: now,
            answered_at: now,
            fresh: false,
            has_spoken: false,
            was_fresh: false,
            version: 0,
        });
    }

    /// All that may be followed, the best one first: not one that just failed, of the own zone first, then by a hash of both
    /// names, so that each follower has an order of its own and all together spread evenly.
    fn ranked(&self, now: Millis) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().map(|seed| (*seed, ""));
        let known = self.control_planes.iter().map(|(address, zone)| (*address, zone.as_str()));
        let rank = |(address, zone): &(SocketAddr, &str)| {
            let mut hasher = DefaultHasher::new();
            (&self.name, address).hash(&mut hasher);
            (self.failed_at(address, now), *zone != self.zone, hasher.finish())
        };
        let mut others: Vec<_> =
            known.chain(seeds).filter(|(address, _)| Some(*address) != self.own).collect();
        others.sort_by_cached_key(rank);
        let mut seen = BTreeSet::new();
        others.into_iter().map(|(address, _)| address).filter(|address| seen.insert(*address)).collect()
    }

    /// All but the one that is followed, the best one first.
    pub fn others(&self, now: Millis) -> Vec<SocketAddr> {
        let following = self.following();
        self.ranked(now).into_iter().filter(|address| Some(*address) != following).collect()
    }

    fn best(&self, now: Millis) -> Option<SocketAddr> {
        let best = *self.ranked(now).first()?;
        self.failed_at(&best, now).is_none_or(|at| now >= at + AGAIN).then_some(best)
    }

    fn failed_at(&self, address: &SocketAddr, now: Millis) -> Option<Millis> {
        self.failed.get(address).copied().filter(|at| now < at + AVOIDED)
    }

    /// Nothing was to be had from the one that is followed.
    pub fn failed(&mut self, now: Millis) {
        if let Some(following) = self.following.take() {
            self.failed.insert(following.to, now);
            self.failed.retain(|_, at| now < *at + AVOIDED);
        }
    }

    /// The one that is followed said something.
    pub fn heard(&mut self, now: Millis) {
        if let Some(following) = &mut self.following {
            following.heard = now;
            following.has_spoken = true;
        }
    }

    /// The one that is followed says how things stand.
    pub fn heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let leader = heartbeat.leader.as_ref().and_then(|l| l.parse().ok());
        // One that is cut off may go on naming a leader of old.
        let epoch = Epoch { term: heartbeat.epoch, number: heartbeat.assignment.max(1) };
        if heartbeat.fresh && epoch >= self.assignment.epoch || self.leader.is_none() {
            self.leader = leader;
            if let Some(leader) = &heartbeat.leader
                && epoch >= self.assignment.epoch
            {
                let holders = std::iter::once(leader).chain(&heartbeat.deputies).cloned().collect();
                self.assignment = HolderAssignment { epoch, holders };
            }
        }
        self.had_fresh_word |= heartbeat.fresh;
        if let Some(following) = &mut self.following {
            if heartbeat.fresh {
                following.fresh_at = now;
                following.was_fresh = true;
                following.version = heartbeat.version;
            }
            following.fresh = heartbeat.fresh;
        }
    }

    /// The one that is followed has answered that it is in touch with the leader; its next heartbeat will say so.
    pub fn answered(&mut self, now: Millis) {
        if let Some(following) = &mut self.following {
            following.answered_at = now;
            following.was_fresh = true;
        }
    }

    /// Whether the one that is followed is to be left.
    pub fn is_over(&self, now: Millis) -> bool {
        let Some(following) = &self.following else { return false };
        let spared = |address: &SocketAddr| self.failed_at(address, now).is_none();
        let others = self.control_planes.keys().chain(&self.seeds);
        let others = others.filter(|a| **a != following.to && Some(**a) != self.own).any(spared);
        let hurries = self.had_fresh_word && others;
        let behind_after =
            if following.was_fresh || !following.has_spoken || !hurries { BEHIND } else { FIRST_FRESH_WORD };
        let fresh_at = following.fresh_at.max(following.answered_at);
        let behind = !following.fresh && now > fresh_at + behind_after;
        let silent_after = if following.has_spoken || !hurries { SILENT } else { FIRST_WORD };
        now > following.heard + silent_after || behind && others
    }

    /// Whether a configuration that comes now may be taken by a process that has none yet: one that is behind would
    /// bring an old one into force again. What came from a former one is not vouched for by the present one, whose word
    /// comes before its configuration.
    pub fn may_begin(&self, now: Millis, version: u64) -> bool {
        let vouched = |leading: &Leading| leading.fresh && version >= leading.version;
        self.following.as_ref().is_some_and(vouched) || now > self.started + PATIENCE
    }
}
