//! Whom to follow: a state machine without I/O or clock.

use protocol::Heartbeat;
use quota::{Epoch, HolderAssignment};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Milliseconds of the host's steady clock.
pub type Millis = u64;

/// Who is followed says something at least this often; a silence of that long is the end of it.
const SILENCE_TIMEOUT: Millis = 1300;
/// Who has lost the leader is left after this long, if there is anybody else.
const STALE_TIMEOUT: Millis = 900;
/// Who was chosen just now and has said nothing is left sooner, by whoever had a word of this moment from another one
/// before: a connection comes up and a first word comes within this, also between regions.
const FIRST_MESSAGE_TIMEOUT: Millis = 650;
/// ... and so is one whose words so far were not of this moment: another one's may be.
const FIRST_FRESH_HEARTBEAT_TIMEOUT: Millis = 400;
/// Who failed is not asked again for this long, while others are there.
const FAILED_PEER_PENALTY: Millis = 1500;
/// While all have failed, each is asked again after this long: whoever is dead refuses at once, and asking in a circle
/// would cost the processor time that its return needs.
const RETRY_INTERVAL: Millis = 200;
/// A process that knows nothing takes what is perhaps not the newest only after this long.
const STALE_CONFIG_DELAY: Millis = 8000;
/// Processes that serve control are some dozens; more are somebody's fault.
const MAX_CONTROL_PLANES: usize = 256;

/// The one that is followed.
#[derive(Clone, Debug)]
struct Followed {
    to: SocketAddr,
    last_message_at: Millis,
    fresh_at: Millis,
    /// When it answered last that it is in touch with the leader.
    answered_at: Millis,
    fresh: bool,
    /// Whether it has said anything, and whether that was ever of this moment.
    has_sent_message: bool,
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
    following: Option<Followed>,
    /// Whether anybody has had a word of this moment for this process. After a start of the whole system nobody has one.
    has_seen_fresh_heartbeat: bool,
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
            has_seen_fresh_heartbeat: false,
            leader: None,
            assignment: HolderAssignment::default(),
            started: now,
        }
    }

    /// The settings name other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Who serves control, and in which zone.
    pub fn set_control_planes(&mut self, control_planes: impl IntoIterator<Item = (SocketAddr, String)>) {
        self.control_planes = control_planes.into_iter().take(MAX_CONTROL_PLANES).collect();
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
    pub fn next_to_dial(&mut self, now: Millis) -> Option<SocketAddr> {
        if self.following.is_some() {
            return None;
        }
        let to = self.best(now)?;
        self.start_following(now, to);
        Some(to)
    }

    /// This one is followed from now on, and whoever was followed has failed.
    pub fn follow(&mut self, now: Millis, to: SocketAddr) {
        self.mark_failed(now);
        self.start_following(now, to);
    }

    fn start_following(&mut self, now: Millis, to: SocketAddr) {
        self.following = Some(Followed {
            to,
            last_message_at: now,
            fresh_at: now,
            answered_at: now,
            fresh: false,
            has_sent_message: false,
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
        self.failed_at(&best, now).is_none_or(|at| now >= at + RETRY_INTERVAL).then_some(best)
    }

    fn failed_at(&self, address: &SocketAddr, now: Millis) -> Option<Millis> {
        self.failed.get(address).copied().filter(|at| now < at + FAILED_PEER_PENALTY)
    }

    /// Nothing was to be had from the one that is followed.
    pub fn mark_failed(&mut self, now: Millis) {
        if let Some(following) = self.following.take() {
            self.failed.insert(following.to, now);
            self.failed.retain(|_, at| now < *at + FAILED_PEER_PENALTY);
        }
    }

    /// The one that is followed said something.
    pub fn record_message(&mut self, now: Millis) {
        if let Some(following) = &mut self.following {
            following.last_message_at = now;
            following.has_sent_message = true;
        }
    }

    /// The one that is followed says how things stand.
    pub fn on_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let leader = heartbeat.leader.as_ref().and_then(|l| l.parse().ok());
        // One that is cut off may go on naming a leader of old.
        let epoch = Epoch { term: heartbeat.term, number: heartbeat.assignment.max(1) };
        if heartbeat.fresh && epoch >= self.assignment.epoch || self.leader.is_none() {
            self.leader = leader;
            if let Some(leader) = &heartbeat.leader
                && epoch >= self.assignment.epoch
            {
                let holders = std::iter::once(leader).chain(&heartbeat.other_holders).cloned().collect();
                self.assignment = HolderAssignment { epoch, holders };
            }
        }
        self.has_seen_fresh_heartbeat |= heartbeat.fresh;
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
    pub fn on_fresh_answer(&mut self, now: Millis) {
        if let Some(following) = &mut self.following {
            following.answered_at = now;
            following.was_fresh = true;
        }
    }

    /// Whether the one that is followed is to be left.
    pub fn should_leave(&self, now: Millis) -> bool {
        let Some(following) = &self.following else { return false };
        let is_available = |address: &SocketAddr| self.failed_at(address, now).is_none();
        let others = self.control_planes.keys().chain(&self.seeds);
        let others = others.filter(|a| **a != following.to && Some(**a) != self.own).any(is_available);
        let has_alternative = self.has_seen_fresh_heartbeat && others;
        let stale_after = if following.was_fresh || !following.has_sent_message || !has_alternative {
            STALE_TIMEOUT
        } else {
            FIRST_FRESH_HEARTBEAT_TIMEOUT
        };
        let fresh_at = following.fresh_at.max(following.answered_at);
        let is_stale = !following.fresh && now > fresh_at + stale_after;
        let silence_timeout = if following.has_sent_message || !has_alternative {
            SILENCE_TIMEOUT
        } else {
            FIRST_MESSAGE_TIMEOUT
        };
        now > following.last_message_at + silence_timeout || is_stale && others
    }

    /// Whether a configuration that comes now may be taken by a process that has none yet: one that is behind would
    /// bring an old one into force again. What came from a former one is not is_confirmed for by the present one, whose word
    /// comes before its configuration.
    pub fn may_adopt_first_config(&self, now: Millis, version: u64) -> bool {
        let is_confirmed = |followed: &Followed| followed.fresh && version >= followed.version;
        self.following.as_ref().is_some_and(is_confirmed) || now > self.started + STALE_CONFIG_DELAY
    }
}
