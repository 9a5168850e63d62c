//! Selection of the control plane to follow: a state machine without I/O or a clock.
//!
//! A heartbeat is fresh if its sender marks its own state as confirmed by the leader.

use protocol::Heartbeat;
use quota::{Epoch, HolderAssignment};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Milliseconds of the host's monotonic clock.
pub type Millis = u64;

/// The followed control plane is abandoned if it sends nothing for this long.
const SILENCE_TIMEOUT_MS: Millis = 1300;
/// The followed control plane is abandoned if its state has not been confirmed by the leader for this long and an
/// alternative exists.
const STALE_TIMEOUT_MS: Millis = 900;
/// Silence timeout of a newly chosen control plane that has not sent a message yet, if this process has received a
/// fresh heartbeat before and an alternative exists. Connecting and receiving the first message take less time, even
/// between regions.
const FIRST_MESSAGE_TIMEOUT_MS: Millis = 650;
/// Stale timeout of a control plane that has sent messages but no fresh heartbeat, if this process has received a
/// fresh heartbeat before and an alternative exists. The alternative may send fresh heartbeats.
const FIRST_FRESH_HEARTBEAT_TIMEOUT_MS: Millis = 400;
/// A failed control plane ranks behind the others for this long.
const FAILED_PEER_PENALTY_MS: Millis = 1500;
/// Minimum time before a failed control plane is dialed again while all have failed. Dead processes refuse
/// connections immediately, and dialing in a tight loop would take CPU time that restarting processes need.
const RETRY_INTERVAL_MS: Millis = 200;
/// A process without a configuration adopts a possibly outdated one only after this long.
const STALE_CONFIG_DELAY_MS: Millis = 8000;
/// Maximum number of known control planes. A deployment has several dozen; a longer list indicates a fault.
const MAX_CONTROL_PLANES: usize = 256;

/// The followed control plane.
#[derive(Clone, Debug)]
struct Followed {
    address: SocketAddr,
    last_message_at: Millis,
    fresh_at: Millis,
    /// Time of the last answer in which the control plane reported that the leader confirms its state.
    answered_at: Millis,
    fresh: bool,
    /// Whether the control plane has sent any message.
    has_sent_message: bool,
    /// Whether the state of the control plane has ever been confirmed as current.
    was_fresh: bool,
    /// Configuration version in the last fresh heartbeat.
    version: u64,
}

/// The control planes that a follower knows, and the one that it follows.
#[derive(Debug)]
pub struct PeerChoice {
    /// Name of this process.
    name: String,
    /// Zone of this process.
    zone: String,
    /// Address of this process if it is a control plane.
    own: Option<SocketAddr>,
    /// Addresses from the settings.
    seeds: Vec<SocketAddr>,
    /// Known control planes and their zones.
    control_planes: BTreeMap<SocketAddr, String>,
    /// Times of recent failures by address.
    failed: BTreeMap<SocketAddr, Millis>,
    following: Option<Followed>,
    /// Whether this process has received a fresh heartbeat from any control plane. After a start of the whole
    /// deployment no control plane sends one at first.
    has_seen_fresh_heartbeat: bool,
    leader: Option<SocketAddr>,
    /// The holders of the quota counters.
    assignment: HolderAssignment,
    started_at: Millis,
}

impl PeerChoice {
    /// Creates the state of a follower with this name and zone that knows some seeds. `own` is the address of the
    /// process itself if it is a control plane.
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
            started_at: now,
        }
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Replaces the known control planes and their zones.
    pub fn set_control_planes(&mut self, control_planes: impl IntoIterator<Item = (SocketAddr, String)>) {
        self.control_planes = control_planes.into_iter().take(MAX_CONTROL_PLANES).collect();
    }

    /// The address of the followed control plane.
    pub fn following(&self) -> Option<SocketAddr> {
        self.following.as_ref().map(|followed| followed.address)
    }

    /// The newest known assignment of quota counters to holders.
    pub fn assignment(&self) -> &HolderAssignment {
        &self.assignment
    }

    /// The address of the leader, if known. The leader is always one of the quota holders.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// The addresses of the quota holders.
    pub fn holders(&self) -> impl Iterator<Item = SocketAddr> {
        let all = self.assignment.holders.iter().filter_map(|holder| holder.parse().ok());
        all.filter(|_| self.leader.is_some())
    }

    /// The control plane to dial and follow now, if none is followed.
    pub fn next_to_dial(&mut self, now: Millis) -> Option<SocketAddr> {
        if self.following.is_some() {
            return None;
        }
        let to = self.best(now)?;
        self.start_following(now, to);
        Some(to)
    }

    /// Switches to another control plane and marks the previous one as failed.
    pub fn follow(&mut self, now: Millis, to: SocketAddr) {
        self.mark_failed(now);
        self.start_following(now, to);
    }

    fn start_following(&mut self, now: Millis, address: SocketAddr) {
        self.following = Some(Followed {
            address,
            last_message_at: now,
            fresh_at: now,
            answered_at: now,
            fresh: false,
            has_sent_message: false,
            was_fresh: false,
            version: 0,
        });
    }

    /// All control planes in order of preference: first those without a recent failure, then those of the own zone,
    /// then by a hash of the follower's name and the address. The hash gives each follower its own order and spreads
    /// followers evenly.
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

    /// All control planes except the followed one, in order of preference.
    pub fn others(&self, now: Millis) -> Vec<SocketAddr> {
        let following = self.following();
        self.ranked(now).into_iter().filter(|address| Some(*address) != following).collect()
    }

    fn best(&self, now: Millis) -> Option<SocketAddr> {
        let best = *self.ranked(now).first()?;
        self.failed_at(&best, now).is_none_or(|at| now >= at + RETRY_INTERVAL_MS).then_some(best)
    }

    fn failed_at(&self, address: &SocketAddr, now: Millis) -> Option<Millis> {
        self.failed.get(address).copied().filter(|at| now < at + FAILED_PEER_PENALTY_MS)
    }

    /// Marks the followed control plane as failed and stops following it.
    pub fn mark_failed(&mut self, now: Millis) {
        if let Some(following) = self.following.take() {
            self.failed.insert(following.address, now);
            self.failed.retain(|_, at| now < *at + FAILED_PEER_PENALTY_MS);
        }
    }

    /// Records that a message of the followed control plane has arrived.
    pub fn record_message(&mut self, now: Millis) {
        if let Some(following) = &mut self.following {
            following.last_message_at = now;
            following.has_sent_message = true;
        }
    }

    /// Handles a heartbeat of the followed control plane.
    pub fn on_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let leader = heartbeat.leader.as_ref().and_then(|l| l.parse().ok());
        // An isolated control plane may still name a former leader.
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

    /// The followed control plane has answered a freshness query: the leader confirms its state. The answer counts like
    /// a fresh heartbeat until the next heartbeat arrives.
    pub fn on_fresh_answer(&mut self, now: Millis) {
        if let Some(following) = &mut self.following {
            following.answered_at = now;
            following.was_fresh = true;
        }
    }

    /// Whether the followed control plane should be abandoned.
    pub fn should_leave(&self, now: Millis) -> bool {
        let Some(following) = &self.following else { return false };
        let is_available = |address: &SocketAddr| self.failed_at(address, now).is_none();
        let others = self.control_planes.keys().chain(&self.seeds);
        let has_alternative =
            others.filter(|a| **a != following.address && Some(**a) != self.own).any(is_available);
        let shortens_timeouts = self.has_seen_fresh_heartbeat && has_alternative;
        let stale_after = if following.was_fresh || !following.has_sent_message || !shortens_timeouts {
            STALE_TIMEOUT_MS
        } else {
            FIRST_FRESH_HEARTBEAT_TIMEOUT_MS
        };
        let fresh_at = following.fresh_at.max(following.answered_at);
        let is_stale = !following.fresh && now > fresh_at + stale_after;
        let silence_timeout = if following.has_sent_message || !shortens_timeouts {
            SILENCE_TIMEOUT_MS
        } else {
            FIRST_MESSAGE_TIMEOUT_MS
        };
        now > following.last_message_at + silence_timeout || is_stale && has_alternative
    }

    /// Whether a process without a configuration may adopt a received configuration of this version. A control plane
    /// whose state is not confirmed by the leader may send an outdated one. The version must also be at least that of
    /// the last fresh heartbeat: a control plane sends its heartbeat before its configuration, so a configuration with
    /// a lower version comes from a previously followed control plane.
    pub fn may_adopt_first_config(&self, now: Millis, version: u64) -> bool {
        let is_confirmed = |followed: &Followed| followed.fresh && version >= followed.version;
        self.following.as_ref().is_some_and(is_confirmed) || now > self.started_at + STALE_CONFIG_DELAY_MS
    }
}
