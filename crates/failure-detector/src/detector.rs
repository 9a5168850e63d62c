//! The failure detector of one process: pings watched members, collects suspicions and declares deaths.
//!
//! The watch set of a process holds the members that rendezvous hashing assigns to the process as a regular watcher. A
//! process that receives a suspicion about another member becomes a temporary watcher of the suspect for a while. A
//! process that has recently received a datagram from the suspect replies with an alive report, which outweighs all
//! suspicions. Members spread records of each other's state by gossip. A sync compares the whole views of two members.

use crate::message::{
    Identity, MemberAddr, MemberIncarnation, MemberRecord, MemberState, Message, MessageKind,
};
use crate::rendezvous::{splitmix64, watched, watchers};
use crate::view::{DIGEST_BUCKETS, TOMBSTONE_TTL_MS, View};
use crate::{Millis, WATCHERS};
use std::collections::BTreeMap;

/// Interval between two calls of [`FailureDetector::tick`] that do work.
const TICK_INTERVAL_MS: Millis = 250;
/// Interval between two pings of a watched member that answers.
const PING_INTERVAL_MS: Millis = 500;
/// A watched member is suspected after this silence, if it also left [`SUSPECT_AFTER_PINGS`] pings unanswered.
const SUSPECT_AFTER_MS: Millis = 1500;
/// Number of unanswered pings before a suspicion, not counting the last ping, which may still be answered.
const SUSPECT_AFTER_PINGS: u32 = 3;
/// Silence after which a temporary watcher suspects a member. Temporary watchers ping at every tick, and so suspect
/// sooner.
const TEMPORARY_SUSPECT_AFTER_MS: Millis = 700;
/// A temporary watch ends when no suspicion has arrived for this long.
const TEMPORARY_WATCH_TTL_MS: Millis = 3000;
/// A suspicion expires unless it is repeated within this time.
const SUSPICION_TTL_MS: Millis = 1200;
/// An alive report counts for longer than a suspicion, because its next repetition may get lost on the way.
const ALIVE_REPORT_TTL_MS: Millis = 2000;
/// A watcher reports a suspected member as alive if it received a datagram from that member within this time.
const ALIVE_REPORT_WINDOW_MS: Millis = 1000;
/// A process that has received no datagram from any member for this long considers itself isolated and suspects no
/// one.
const ISOLATION_TIMEOUT_MS: Millis = 1000;
/// A tick that is late by more than this shows that the process was paused and missed datagrams, so the silence of
/// members proves nothing.
const MAX_TICK_DELAY_MS: Millis = 700;
/// After a very long pause, datagrams are discarded for this long: those waiting in the socket are as old as the
/// pause.
const WAKE_DISCARD_MS: Millis = 500;
/// Minimum number of members that must suspect a member before it is declared dead. With fewer other members, all of
/// them must suspect it.
const MIN_WITNESSES: usize = 2;
/// Maximum number of members that a suspicion is sent to while the regular watchers do not report the suspect as
/// alive.
const MAX_SUSPICION_RECIPIENTS: usize = 4 * WATCHERS;
/// Maximum number of members watched at once, including temporary watches; rendezvous hashing selects about
/// [`WATCHERS`].
const MAX_WATCHED: usize = 64;
/// Maximum number of records, of suspicions and of alive reports in one datagram, which keeps it at about 1,000
/// bytes.
const MAX_BATCH_ENTRIES: usize = 24;
/// Maximum number of datagrams sent in reply to one sync request, which carries the bucket digests of a view.
const MAX_SYNC_DATAGRAMS: usize = 6;
/// Maximum number of sync requests answered between two ticks.
const MAX_SYNC_REPLIES_PER_TICK: u32 = 4;
/// Minimum interval between two sync requests.
const MIN_SYNC_INTERVAL_MS: Millis = 750;
/// Interval between pings beyond the watch set: one seed not known to be alive, one dead member and one random member
/// each time.
const EXTRA_PING_INTERVAL_MS: Millis = 1000;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination.
    pub to: MemberAddr,
    /// Payload.
    pub message: Message,
}

/// State of the failure detector, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DetectorStatus {
    /// Whether this process receives no datagrams and therefore suspects no one.
    pub isolated: bool,
    /// Number of members considered alive, including this process.
    pub alive_count: usize,
    /// For each watched member: its name, the time since its last datagram, and whether it is suspected.
    pub watched: Vec<(String, Millis, bool)>,
}

/// State of the watch of one member.
#[derive(Debug)]
struct WatchedMember {
    last_received: Millis,
    unanswered_pings: u32,
    next_ping: Millis,
    /// When this process began to suspect the member.
    suspected_since: Option<Millis>,
    /// Whether the member is watched only because other members suspect it. A temporary watch ends some time after the
    /// last suspicion.
    temporary: bool,
    last_requested: Millis,
}

/// Suspicions and alive reports about one member, by reporting member.
#[derive(Debug, Default)]
struct Evidence {
    suspicions: BTreeMap<MemberAddr, (MemberIncarnation, Millis)>,
    alive_reports: BTreeMap<MemberAddr, (MemberIncarnation, Millis)>,
}

/// The failure detector of one process, without I/O or clock.
#[derive(Debug)]
pub struct FailureDetector {
    own_record: MemberRecord,
    view: View,
    seeds: Vec<MemberAddr>,
    watched: BTreeMap<MemberAddr, WatchedMember>,
    evidence: BTreeMap<MemberAddr, Evidence>,
    /// Value of [`View::changes`] for which the watch set was computed.
    watched_at_change: Option<u64>,
    started_at: Millis,
    last_tick: Millis,
    last_received: Millis,
    last_other_contact: Option<Millis>,
    isolated_since: Option<Millis>,
    last_extra_ping: Millis,
    /// Datagrams that arrive before this time are discarded.
    discard_until: Millis,
    last_agreement: Millis,
    /// When a received record last changed the view.
    last_change: Millis,
    last_sync: Millis,
    sync_replies: u32,
    rng_state: u64,
    outbox: Vec<Outgoing>,
    #[cfg(test)]
    pub(crate) faults: crate::simulation::InjectedFaults,
}

impl FailureDetector {
    /// A detector that knows only the seeds; `seed` is the random seed of this process start.
    pub fn new(identity: Identity, seeds: Vec<MemberAddr>, seed: u64, now: Millis) -> Self {
        let own_record = MemberRecord { identity, incarnation: 0, state: MemberState::Alive };
        let mut view = View::default();
        view.apply(own_record.clone(), now);
        // Spreads the ticks of processes that start at the same time.
        let started_at = now.saturating_sub(splitmix64(seed) % TICK_INTERVAL_MS);
        Self {
            own_record,
            view,
            seeds,
            watched: BTreeMap::new(),
            evidence: BTreeMap::new(),
            watched_at_change: None,
            started_at,
            last_tick: started_at,
            last_received: now,
            last_other_contact: None,
            isolated_since: None,
            last_extra_ping: 0,
            discard_until: 0,
            last_agreement: now,
            last_change: now,
            last_sync: 0,
            sync_replies: 0,
            rng_state: seed,
            outbox: Vec::new(),
            #[cfg(test)]
            faults: crate::simulation::InjectedFaults::default(),
        }
    }

    /// Latest time at which [`FailureDetector::tick`] must be called.
    pub fn next_tick(&self) -> Millis {
        self.last_tick + TICK_INTERVAL_MS
    }

    /// Records of all known members, including this process and members that died or left recently.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.view.records()
    }

    /// Counter that increases whenever a member becomes alive or stops being alive.
    pub fn membership_changes(&self) -> u64 {
        self.view.changes
    }

    /// Digest of the alive members: equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.view.digest()
    }

    /// Whether this process receives no datagrams and therefore suspects no one.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// State of the detector, for operators.
    pub fn status(&self, now: Millis) -> DetectorStatus {
        let watched = self.watched.iter().filter(|(_, member)| !member.temporary);
        let watched = watched.filter_map(|(addr, member)| {
            let name = self.view.get(*addr)?.identity.name.clone();
            Some((name, now.saturating_sub(member.last_received), self.is_suspected(member, now)))
        });
        DetectorStatus {
            isolated: self.is_isolated(),
            alive_count: self.view.alive_count(),
            watched: watched.collect(),
        }
    }

    /// Replaces the seeds, after a change of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<MemberAddr>) {
        self.seeds = seeds;
    }

    /// Records that the host received data from another machine over another connection. The last of two members may
    /// then declare the other one dead, although it receives no datagrams.
    pub fn record_other_contact(&mut self, now: Millis) {
        self.last_other_contact = Some(now);
    }

    /// Announces the shutdown of this process to its watchers and to the members it watches.
    pub fn leave(&mut self, now: Millis, out: &mut Vec<Outgoing>) {
        self.own_record.state = MemberState::Left;
        let mut to = self.watchers_of(self.own_record.identity.addr, WATCHERS);
        to.extend(self.watched.keys());
        to.sort_unstable();
        to.dedup();
        self.view.apply(self.own_record.clone(), now);
        for to in to {
            self.send(to, MessageKind::Gossip);
        }
        out.append(&mut self.outbox);
    }

    /// Does the periodic work: pings, suspicions and declarations of death. Does nothing if called before
    /// [`FailureDetector::next_tick`].
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Outgoing>) {
        self.detect_late_tick(now);
        if now < self.last_tick + TICK_INTERVAL_MS {
            return;
        }
        // Keeps the phase of the ticks as far as the host calls on time.
        self.last_tick = now - (now - self.started_at) % TICK_INTERVAL_MS;
        self.sync_replies = 0;
        self.view.expire_tombstones(now);
        self.update_watched(now);
        self.update_isolation(now);
        self.ping_watched(now);
        self.ping_others(now);
        if self.isolated_since.is_none() {
            self.evaluate_suspicions(now);
        }
        out.append(&mut self.outbox);
    }

    /// Detects that this process was paused, from a late tick or from a datagram that arrives after a missed tick.
    fn detect_late_tick(&mut self, now: Millis) {
        #[cfg(test)]
        if self.faults.suspects_after_late_tick {
            return;
        }
        let elapsed = now.saturating_sub(self.last_tick);
        if elapsed > TICK_INTERVAL_MS + MAX_TICK_DELAY_MS {
            self.last_tick = now.saturating_sub(TICK_INTERVAL_MS);
            self.reset_silences(now);
            if elapsed > TOMBSTONE_TTL_MS / 2 {
                self.reset_view(now);
                // Datagrams waiting in the socket are as old as the pause.
                self.discard_until = now + WAKE_DISCARD_MS;
            }
        }
    }

    /// Restarts the silence timers of all watched members.
    fn reset_silences(&mut self, now: Millis) {
        self.last_received = now;
        self.evidence.clear();
        for member in self.watched.values_mut() {
            (member.last_received, member.unanswered_pings, member.next_ping) =
                (initial_last_received(now), 0, now);
            member.suspected_since = None;
        }
    }

    /// Drops all records except the process's own one. Called after an interruption so long that other members may have
    /// removed tombstones (records of dead members): old `Alive` records in this view would revive these dead members.
    fn reset_view(&mut self, now: Millis) {
        self.view.reset_to(self.own_record.clone(), now);
        self.watched.clear();
        self.evidence.clear();
    }

    fn update_isolation(&mut self, now: Millis) {
        let is_silent = now > self.last_received + ISOLATION_TIMEOUT_MS && self.view.alive_count() > 1;
        let has_other_contact = self.view.alive_count() == 2
            && self.last_other_contact.is_some_and(|at| now < at + ISOLATION_TIMEOUT_MS);
        match self.isolated_since {
            None if is_silent && !has_other_contact => self.isolated_since = Some(now),
            Some(isolated_since) if !is_silent => {
                self.isolated_since = None;
                self.reset_silences(now);
                if now > isolated_since + TOMBSTONE_TTL_MS / 2 {
                    self.reset_view(now);
                }
            }
            _ => {}
        }
    }

    fn update_watched(&mut self, now: Millis) {
        if self.watched_at_change == Some(self.view.changes) {
            return;
        }
        self.watched_at_change = Some(self.view.changes);
        let own_addr = self.own_record.identity.addr;
        let watch_set = watched(&self.view.hashed_alive(), (own_addr, own_addr.hash()), WATCHERS);
        let view = &self.view;
        self.watched.retain(|addr, member| {
            member.temporary |= watch_set.binary_search(addr).is_err();
            view.is_alive(*addr)
        });
        self.evidence.retain(|addr, _| view.is_alive(*addr));
        for addr in watch_set {
            let new_member = || WatchedMember {
                last_received: initial_last_received(now),
                unanswered_pings: 0,
                next_ping: now,
                suspected_since: None,
                temporary: false,
                last_requested: 0,
            };
            self.watched.entry(addr).or_insert_with(new_member).temporary = false;
        }
    }

    fn ping_watched(&mut self, now: Millis) {
        let evidence = &self.evidence;
        self.watched.retain(|addr, member| {
            let is_suspected = || evidence.get(addr).is_some_and(|evidence| !evidence.suspicions.is_empty());
            !member.temporary || now < member.last_requested + TEMPORARY_WATCH_TTL_MS || is_suspected()
        });
        let mut due = Vec::new();
        for (addr, member) in &mut self.watched {
            if now >= member.next_ping {
                member.unanswered_pings += 1;
                let retry_soon = member.temporary || member.unanswered_pings > 1;
                member.next_ping = now + if retry_soon { TICK_INTERVAL_MS } else { PING_INTERVAL_MS };
                due.push(*addr);
            }
        }
        for to in due {
            self.send(to, MessageKind::Ping);
        }
    }

    /// Pings members outside the watch set: unknown seeds, dead members that a partition may have hidden, and random
    /// alive members. These pings reconnect partitions, and keep a process in contact whose watched members are all
    /// dead.
    fn ping_others(&mut self, now: Millis) {
        let interval = if self.isolated_since.is_some() || self.view.alive_count() == 1 {
            PING_INTERVAL_MS
        } else {
            EXTRA_PING_INTERVAL_MS
        };
        if now < self.last_extra_ping + interval {
            return;
        }
        self.last_extra_ping = now;
        let own_addr = self.own_record.identity.addr;
        let unknown: Vec<_> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own_addr && !self.view.is_alive(*seed))
            .collect();
        let dead: Vec<_> = self
            .view
            .records()
            .filter(|record| record.state == MemberState::Dead)
            .map(|record| record.identity.addr)
            .collect();
        let alive = self
            .view
            .records()
            .filter(|record| record.state == MemberState::Alive && record.identity.addr != own_addr);
        let alive: Vec<_> = alive.map(|record| record.identity.addr).collect();
        let mut to = vec![self.pick_random(&unknown), self.pick_random(&dead), self.pick_random(&alive)];
        if self.isolated_since.is_some() {
            to.extend([self.pick_random(&alive), self.pick_random(&alive)]);
        }
        to.sort_unstable();
        to.dedup();
        for to in to.into_iter().flatten() {
            if !self.watched.contains_key(&to) {
                self.send(to, MessageKind::Ping);
            }
        }
    }

    fn pick_random(&mut self, candidates: &[MemberAddr]) -> Option<MemberAddr> {
        self.rng_state = splitmix64(self.rng_state);
        candidates.get((self.rng_state % candidates.len().max(1) as u64) as usize).copied()
    }

    fn is_suspected(&self, member: &WatchedMember, now: Millis) -> bool {
        let timeout = if member.temporary { TEMPORARY_SUSPECT_AFTER_MS } else { SUSPECT_AFTER_MS };
        #[cfg(test)]
        if self.faults.suspects_after_late_tick {
            return now >= member.last_received + timeout;
        }
        // The last ping may still be answered, so it does not count.
        member.unanswered_pings > SUSPECT_AFTER_PINGS && now >= member.last_received + timeout
    }

    /// Sends suspicions to the other watchers of each suspected member, and declares members dead once their death is
    /// proven.
    fn evaluate_suspicions(&mut self, now: Millis) {
        let own_addr = self.own_record.identity.addr;
        let suspected: Vec<MemberAddr> =
            self.watched.iter().filter(|(_, c)| self.is_suspected(c, now)).map(|(addr, _)| *addr).collect();
        for evidence in self.evidence.values_mut() {
            evidence.suspicions.retain(|_, (_, at)| now < *at + SUSPICION_TTL_MS);
            evidence.alive_reports.retain(|_, (_, at)| now < *at + ALIVE_REPORT_TTL_MS);
        }
        self.evidence
            .retain(|_, evidence| !evidence.suspicions.is_empty() || !evidence.alive_reports.is_empty());
        let mut outgoing_suspicions: BTreeMap<MemberAddr, Vec<MemberIncarnation>> = BTreeMap::new();
        for addr in suspected {
            let Some(incarnation) = self.view.get(addr).map(MemberRecord::member_incarnation) else {
                continue;
            };
            let evidence = self.evidence.entry(addr).or_default();
            evidence.suspicions.insert(own_addr, (incarnation, now));
            let is_proven = self.is_proven_dead(addr);
            let Some(member) = self.watched.get_mut(&addr) else { continue };
            // A death is declared only some time after the suspicion began. Meanwhile the other watchers can report
            // the member as alive, and this process sends two more pings.
            let suspected_since = *member.suspected_since.get_or_insert(now);
            if is_proven && !member.temporary && now >= suspected_since + PING_INTERVAL_MS {
                self.declare_dead(addr, now);
                continue;
            }
            let temporary = member.temporary;
            let evidence = self.evidence.entry(addr).or_default();
            if !temporary {
                // The other watchers may be dead themselves. While no alive report arrives, the suspicion goes to
                // more members.
                let extra_rounds = if evidence.alive_reports.is_empty() {
                    ((now - suspected_since) / TICK_INTERVAL_MS) as usize
                } else {
                    0
                };
                let recipients = (WATCHERS + extra_rounds * WATCHERS).min(MAX_SUSPICION_RECIPIENTS);
                for to in self.watchers_of(addr, recipients).into_iter().filter(|to| *to != own_addr) {
                    outgoing_suspicions.entry(to).or_default().push(incarnation);
                }
            } else {
                for to in evidence.suspicions.keys().copied().filter(|to| *to != own_addr) {
                    outgoing_suspicions.entry(to).or_default().push(incarnation);
                }
            }
        }
        for (to, suspicions) in outgoing_suspicions {
            for batch in suspicions.chunks(MAX_BATCH_ENTRIES) {
                let mut message = self.new_message(MessageKind::Gossip);
                message.suspicions = batch.to_vec();
                self.outbox.push(Outgoing { to, message });
            }
        }
    }

    /// Whether the known suspicions, including this process's own, prove a death. A single alive report outweighs all
    /// suspicions.
    fn is_proven_dead(&self, addr: MemberAddr) -> bool {
        let (Some(record), Some(evidence)) = (self.view.get(addr), self.evidence.get(&addr)) else {
            return false;
        };
        let incarnation = record.member_incarnation();
        let count = |records: &BTreeMap<MemberAddr, (MemberIncarnation, Millis)>| {
            records.iter().filter(|(by, (of, _))| *of == incarnation && self.view.is_alive(**by)).count()
        };
        // Every alive member except the suspect.
        let max_witnesses = self.view.alive_count().saturating_sub(1);
        let suspicions = count(&evidence.suspicions);
        #[cfg(test)]
        if self.faults.single_witness {
            return suspicions > 0;
        }
        // A member that answers any other member is alive.
        suspicions >= MIN_WITNESSES.min(max_witnesses) && count(&evidence.alive_reports) == 0
    }

    fn declare_dead(&mut self, addr: MemberAddr, now: Millis) {
        let Some(record) = self.view.get(addr) else { return };
        let dead = MemberRecord { state: MemberState::Dead, ..record.clone() };
        self.view.apply(dead, now);
        self.watched.remove(&addr);
        self.evidence.remove(&addr);
    }

    fn watchers_of(&self, addr: MemberAddr, count: usize) -> Vec<MemberAddr> {
        watchers(&self.view.hashed_alive(), (addr, addr.hash()), count)
    }

    fn new_message(&mut self, kind: MessageKind) -> Message {
        Message {
            kind,
            from: self.own_record.clone(),
            digest: self.view.digest(),
            records: self.view.next_gossip(MAX_BATCH_ENTRIES),
            suspicions: Vec::new(),
            alive_reports: Vec::new(),
            bucket_digests: Vec::new(),
        }
    }

    fn send(&mut self, to: MemberAddr, kind: MessageKind) {
        let message = self.new_message(kind);
        self.outbox.push(Outgoing { to, message });
    }

    /// Handles a datagram. The caller has checked that it comes from the address in `message.from`.
    pub fn receive(&mut self, message: Message, now: Millis, out: &mut Vec<Outgoing>) {
        self.detect_late_tick(now);
        if self.own_record.state == MemberState::Left
            || now < self.discard_until
            || message.from.identity.addr == self.own_record.identity.addr
        {
            return;
        }
        let from = message.from.identity.addr;
        self.last_received = now;
        if let Some(member) = self.watched.get_mut(&from) {
            if member.unanswered_pings > 0 {
                member.next_ping = now + PING_INTERVAL_MS - TICK_INTERVAL_MS / 2;
            }
            (member.last_received, member.unanswered_pings, member.suspected_since) = (now, 0, None);
        }
        let own_addr = self.own_record.identity.addr;
        if let Some(evidence) = self.evidence.get_mut(&from) {
            evidence.suspicions.remove(&own_addr);
        }
        let mut corrections = Vec::new();
        let sender = message.from.clone();
        // A sender that other members consider dead must receive the record that says so: only the sender can refute
        // that record, by raising its incarnation.
        if self.view.get(from).is_some_and(|known| known.rank() > sender.rank()) {
            corrections.extend(self.view.get(from).cloned());
        }
        for record in std::iter::once(message.from).chain(message.records.into_iter().take(MAX_BATCH_ENTRIES))
        {
            self.apply_record(record, now);
        }
        let mut alive_reports = Vec::new();
        for incarnation in message.suspicions.into_iter().take(MAX_BATCH_ENTRIES) {
            self.on_suspicion(from, incarnation, now, &mut alive_reports, &mut corrections);
        }
        for incarnation in message.alive_reports.into_iter().take(MAX_BATCH_ENTRIES) {
            if self.view.is_alive(incarnation.addr) {
                self.evidence
                    .entry(incarnation.addr)
                    .or_default()
                    .alive_reports
                    .insert(from, (incarnation, now));
            }
        }
        if message.digest == self.view.digest() {
            self.last_agreement = now;
        }
        // A sync is due some time after the last message with an equal digest: gossip alone spreads recent changes. The
        // sync is also due some time after the last change of this view. Two members that lack the same records have
        // equal digests, so agreement with one member does not prove that the view is complete.
        let sync_due = now > self.last_agreement.min(self.last_change) + EXTRA_PING_INTERVAL_MS
            || self.view.alive_count() <= 2;
        let requests_sync =
            sync_due && message.digest != self.view.digest() && now >= self.last_sync + MIN_SYNC_INTERVAL_MS;
        if message.kind == MessageKind::Ping
            || requests_sync
            || !corrections.is_empty()
            || !alive_reports.is_empty()
        {
            let kind = if message.kind == MessageKind::Ping { MessageKind::Ack } else { MessageKind::Gossip };
            let mut reply = self.new_message(kind);
            reply.records.splice(0..0, corrections);
            reply.records.truncate(MAX_BATCH_ENTRIES);
            reply.alive_reports = alive_reports;
            if requests_sync {
                self.last_sync = now;
                reply.bucket_digests = self.view.bucket_digests();
            }
            self.outbox.push(Outgoing { to: from, message: reply });
        }
        if message.bucket_digests.len() == DIGEST_BUCKETS && self.sync_replies < MAX_SYNC_REPLIES_PER_TICK {
            self.sync_replies += 1;
            let records: Vec<MemberRecord> = self
                .view
                .records_in_differing_buckets(&message.bucket_digests)
                .into_iter()
                .cloned()
                .collect();
            self.rng_state = splitmix64(self.rng_state);
            let batches = records.len().div_ceil(MAX_BATCH_ENTRIES);
            // If the records exceed the datagram limit, only some batches are sent. The first one is chosen at random,
            // so that every batch is sent in some reply.
            let first = (self.rng_state % batches.max(1) as u64) as usize;
            for batch in
                records.chunks(MAX_BATCH_ENTRIES).cycle().skip(first).take(batches.min(MAX_SYNC_DATAGRAMS))
            {
                let mut gossip = self.new_message(MessageKind::Gossip);
                gossip.records = batch.to_vec();
                self.outbox.push(Outgoing { to: from, message: gossip });
            }
        }
        out.append(&mut self.outbox);
    }

    fn on_suspicion(
        &mut self, from: MemberAddr, incarnation: MemberIncarnation, now: Millis,
        alive_reports: &mut Vec<MemberIncarnation>, corrections: &mut Vec<MemberRecord>,
    ) {
        let Some(record) = self.view.get(incarnation.addr) else { return };
        let (known, alive) = (record.member_incarnation(), record.state == MemberState::Alive);
        if known != incarnation || !alive {
            // The suspicion is about another incarnation of the suspect, or about a suspect that is not alive in this
            // view. The suspecting member receives this process's record as a correction.
            corrections.push(record.clone());
            return;
        }
        if incarnation.addr == self.own_record.identity.addr {
            // The suspicion is about this process, which is evidently alive.
            alive_reports.push(known);
            return;
        }
        self.evidence.entry(incarnation.addr).or_default().suspicions.insert(from, (incarnation, now));
        let has_room = self.watched.len() < MAX_WATCHED;
        match self.watched.get_mut(&incarnation.addr) {
            Some(member)
                if member.unanswered_pings < SUSPECT_AFTER_PINGS
                    && now < member.last_received + ALIVE_REPORT_WINDOW_MS =>
            {
                alive_reports.push(known);
            }
            Some(member) if member.temporary => member.last_requested = now,
            None if has_room => {
                let member = WatchedMember {
                    last_received: initial_last_received(now),
                    unanswered_pings: 0,
                    next_ping: now,
                    suspected_since: None,
                    temporary: true,
                    last_requested: now,
                };
                self.watched.insert(incarnation.addr, member);
            }
            _ => {}
        }
    }

    #[cfg(test)]
    pub(crate) fn view_mut(&mut self) -> &mut View {
        &mut self.view
    }

    /// Applies records and drains the gossip queue, so that nothing is left to send.
    #[cfg(test)]
    pub(crate) fn preload(&mut self, records: &[MemberRecord], now: Millis) {
        records.iter().for_each(|record| self.apply_record(record.clone(), now));
        while !self.view.next_gossip(MAX_BATCH_ENTRIES).is_empty() {}
    }

    fn apply_record(&mut self, record: MemberRecord, now: Millis) {
        if record.identity.addr == self.own_record.identity.addr {
            if record.rank() > self.own_record.rank() {
                self.own_record.incarnation = record.incarnation.saturating_add(1);
                self.view.apply(self.own_record.clone(), now);
            }
            return;
        }
        let (addr, state) = (record.identity.addr, record.state);
        if !self.view.apply(record, now) {
            return;
        }
        self.last_change = now;
        if state != MemberState::Alive {
            self.watched.remove(&addr);
            self.evidence.remove(&addr);
        }
    }
}

/// Initial value of `last_received` for a member that was not pinged yet. The value is old enough that this process
/// sends no alive report for the member. The member is then suspected once enough pings are unanswered, because these
/// pings take longer than the silence that is still missing.
fn initial_last_received(now: Millis) -> Millis {
    now.saturating_sub(ALIVE_REPORT_WINDOW_MS)
}
