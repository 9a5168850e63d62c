//! The watch of one process: whom it pings, whom it suspicions, whom it holds dead.

use crate::message::{
    Identity, MemberAddr, MemberIncarnation, MemberRecord, MemberState, Message, MessageKind,
};
use crate::rendezvous::{splitmix64, watched, watchers};
use crate::view::{DIGEST_BUCKETS, TOMBSTONE_TTL_MS, View};
use crate::{Millis, WATCHERS};
use std::collections::BTreeMap;

/// How often things are looked after.
const TICK_INTERVAL_MS: Millis = 250;
/// Each of those watched is pinged this often.
const PING_INTERVAL_MS: Millis = 500;
/// Who has not answered for so long, and so many pings, is doubted.
const SUSPECT_AFTER_MS: Millis = 1500;
const SUSPECT_AFTER_PINGS: u32 = 3;
/// A process that has been asked to look at one that it does not watch asks at each step, and judges sooner.
const TEMPORARY_SUSPECT_AFTER_MS: Millis = 700;
/// ... and stops when nobody has doubted for this long.
const TEMPORARY_WATCH_TTL_MS: Millis = 3000;
/// A doubt that was not outgoing_suspicions again within this is over; a vouch weighs for longer, for it may have been lost on its way
/// when it was outgoing_suspicions again.
const SUSPICION_TTL_MS: Millis = 1200;
const ALIVE_REPORT_TTL_MS: Millis = 2000;
/// Who was heard within this is vouched for.
const ALIVE_REPORT_WINDOW_MS: Millis = 1000;
/// Who has heard nobody at all for this long suspicions itself, and nobody else.
const ISOLATION_TIMEOUT_MS: Millis = 1000;
/// A step that comes so much late has slept through what the others outgoing_suspicions: it proves nothing about them.
const MAX_TICK_DELAY_MS: Millis = 700;
/// Who has slept for very long listens to nothing for this long: what waited for it is read in that time.
const WAKE_DISCARD_MS: Millis = 500;
/// Doubts so many at least are needed, while there can be so many.
const MIN_WITNESSES: usize = 2;
/// A doubt is put to so many at most, once those that watch say nothing.
const MAX_SUSPICION_RECIPIENTS: usize = 4 * WATCHERS;
/// So many are watched at once, those included that others doubt; rendezvous hashing names about [`WATCHERS`].
const MAX_WATCHED: usize = 64;
/// A datagram holds so many records, suspicions and alive_reports of each; about 1,000 bytes.
const MAX_BATCH_ENTRIES: usize = 24;
/// One question after the differences of two views is answered with so many datagrams.
const MAX_SYNC_DATAGRAMS: usize = 6;
/// So many such questions are answered in one period.
const MAX_SYNC_REPLIES_PER_TICK: u32 = 4;
/// Views are compared no more often than this.
const MIN_SYNC_INTERVAL_MS: Millis = 750;
/// Seeds that are not known to be here are asked one at a time, this often; so is one of the dead, and one at random.
const EXTRA_PING_INTERVAL_MS: Millis = 1000;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to.
    pub to: MemberAddr,
    /// What.
    pub message: Message,
}

/// How a process stands, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DetectorStatus {
    /// Whether it hears nobody, and so judges nobody.
    pub isolated: bool,
    /// How many it holds to be here, itself included.
    pub alive_count: usize,
    /// Names of those that it watches, the time since each was heard, and whether it is doubted.
    pub watched: Vec<(String, Millis, bool)>,
}

/// What is known of one that is watched.
#[derive(Debug)]
struct WatchedMember {
    last_received: Millis,
    unanswered_pings: u32,
    next_ping: Millis,
    /// Since when it is doubted.
    suspected_since: Option<Millis>,
    /// Watched only since others doubt, and until they have not for long.
    temporary: bool,
    last_requested: Millis,
}

/// What others say of one.
#[derive(Debug, Default)]
struct Evidence {
    suspicions: BTreeMap<MemberAddr, (MemberIncarnation, Millis)>,
    alive_reports: BTreeMap<MemberAddr, (MemberIncarnation, Millis)>,
}

/// The watch of one process.
#[derive(Debug)]
pub struct FailureDetector {
    own_record: MemberRecord,
    view: View,
    seeds: Vec<MemberAddr>,
    watched: BTreeMap<MemberAddr, WatchedMember>,
    evidence: BTreeMap<MemberAddr, Evidence>,
    /// The change of the view for which the watched were named.
    watched_at_change: Option<u64>,
    started_at: Millis,
    last_tick: Millis,
    last_received: Millis,
    last_other_contact: Option<Millis>,
    isolated_since: Option<Millis>,
    last_extra_ping: Millis,
    /// Datagrams are not listened to before.
    discard_until: Millis,
    last_agreement: Millis,
    /// When a record last changed anything here.
    last_change: Millis,
    last_sync: Millis,
    sync_replies: u32,
    rng_state: u64,
    outbox: Vec<Outgoing>,
    #[cfg(test)]
    pub(crate) faults: crate::simulation::InjectedFaults,
}

impl FailureDetector {
    /// A process that knows nobody but some seeds; `seed` is drawn for this start_id.
    pub fn new(identity: Identity, seeds: Vec<MemberAddr>, seed: u64, now: Millis) -> Self {
        let own_record = MemberRecord { identity, incarnation: 0, state: MemberState::Alive };
        let mut view = View::default();
        view.apply(own_record.clone(), now);
        // Steps of processes that start together are spread.
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

    /// When [`FailureDetector::step`] is to be called at the latest.
    pub fn next_tick(&self) -> Millis {
        self.last_tick + TICK_INTERVAL_MS
    }

    /// What is held of all processes, the own one and those that ended lately included.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.view.records()
    }

    /// Rises whenever somebody comes or goes.
    pub fn membership_changes(&self) -> u64 {
        self.view.changes
    }

    /// A digest of who is here: equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.view.digest()
    }

    /// Whether this process hears nobody, and so judges nobody.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// How it stands, for operators.
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

    /// The settings name other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<MemberAddr>) {
        self.seeds = seeds;
    }

    /// The host has heard another machine by other means: a process that is the last of two may judge then.
    pub fn record_other_contact(&mut self, now: Millis) {
        self.last_other_contact = Some(now);
    }

    /// The process ends: says so to those that watch it and those it watches.
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

    /// Time has passed.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Outgoing>) {
        self.detect_late_tick(now);
        if now < self.last_tick + TICK_INTERVAL_MS {
            return;
        }
        // Steps keep their phase, as far as the host does.
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

    /// A step that comes late, and a datagram that waited through it, find a process that has slept.
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
                // What waited in the socket is as old.
                self.discard_until = now + WAKE_DISCARD_MS;
            }
        }
    }

    /// All silences begin anew.
    fn reset_silences(&mut self, now: Millis) {
        self.last_received = now;
        self.evidence.clear();
        for member in self.watched.values_mut() {
            (member.last_received, member.unanswered_pings, member.next_ping) =
                (initial_last_received(now), 0, now);
            member.suspected_since = None;
        }
    }

    /// What is held is as old as what others have forgotten: it would bring back the dead.
    fn reset_view(&mut self, now: Millis) {
        self.view.reset_to(self.own_record.clone(), now);
        self.watched.clear();
        self.evidence.clear();
    }

    fn update_isolation(&mut self, now: Millis) {
        let silent = now > self.last_received + ISOLATION_TIMEOUT_MS && self.view.alive_count() > 1;
        let in_contact = self.view.alive_count() == 2
            && self.last_other_contact.is_some_and(|at| now < at + ISOLATION_TIMEOUT_MS);
        match self.isolated_since {
            None if silent && !in_contact => self.isolated_since = Some(now),
            Some(isolated_since) if !silent => {
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
        let me = self.own_record.identity.addr;
        let watch_set = watched(&self.view.hashed_alive(), (me, me.hash()), WATCHERS);
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

    /// Pings beyond the watch: seeds while they are not known, the dead, whom a cut may have hidden, and anybody. They
    /// join what was apart, and let a process whose neighbours are all dead hear somebody.
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
        let me = self.own_record.identity.addr;
        let unknown: Vec<_> =
            self.seeds.iter().copied().filter(|seed| *seed != me && !self.view.is_alive(*seed)).collect();
        let dead: Vec<_> = self
            .view
            .records()
            .filter(|record| record.state == MemberState::Dead)
            .map(|record| record.identity.addr)
            .collect();
        let alive = self
            .view
            .records()
            .filter(|record| record.state == MemberState::Alive && record.identity.addr != me);
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

    fn pick_random(&mut self, among: &[MemberAddr]) -> Option<MemberAddr> {
        self.rng_state = splitmix64(self.rng_state);
        among.get((self.rng_state % among.len().max(1) as u64) as usize).copied()
    }

    fn is_suspected(&self, member: &WatchedMember, now: Millis) -> bool {
        let silent = if member.temporary { TEMPORARY_SUSPECT_AFTER_MS } else { SUSPECT_AFTER_MS };
        #[cfg(test)]
        if self.faults.suspects_after_late_tick {
            return now >= member.last_received + silent;
        }
        // The newest ping has had no time yet.
        member.unanswered_pings > SUSPECT_AFTER_PINGS && now >= member.last_received + silent
    }

    /// Says its suspicions to the others that watch, alive_reports for those it hears, and pronounces the deaths it has proof of.
    fn evaluate_suspicions(&mut self, now: Millis) {
        let me = self.own_record.identity.addr;
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
            evidence.suspicions.insert(me, (incarnation, now));
            let is_proven = self.is_proven_dead(addr);
            let Some(member) = self.watched.get_mut(&addr) else { continue };
            // Those that watch it have been asked, and could have vouched; and two more pings have gone out.
            let suspected_since = *member.suspected_since.get_or_insert(now);
            if is_proven && !member.temporary && now >= suspected_since + PING_INTERVAL_MS {
                self.declare_dead(addr, now);
                continue;
            }
            let temporary = member.temporary;
            let evidence = self.evidence.entry(addr).or_default();
            if !temporary {
                // Those that watch it may be dead themselves: where they are silent others are asked.
                let extra_rounds = if evidence.alive_reports.is_empty() {
                    ((now - suspected_since) / TICK_INTERVAL_MS) as usize
                } else {
                    0
                };
                let recipients = (WATCHERS + extra_rounds * WATCHERS).min(MAX_SUSPICION_RECIPIENTS);
                for to in self.watchers_of(addr, recipients).into_iter().filter(|to| *to != me) {
                    outgoing_suspicions.entry(to).or_default().push(incarnation);
                }
            } else {
                for to in evidence.suspicions.keys().copied().filter(|to| *to != me) {
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

    /// Whether the suspicions that this process has heard, its own among them, are proof: a vouch outweighs them all.
    fn is_proven_dead(&self, addr: MemberAddr) -> bool {
        let (Some(record), Some(evidence)) = (self.view.get(addr), self.evidence.get(&addr)) else {
            return false;
        };
        let incarnation = record.member_incarnation();
        let count = |records: &BTreeMap<MemberAddr, (MemberIncarnation, Millis)>| {
            records.iter().filter(|(by, (of, _))| *of == incarnation && self.view.is_alive(**by)).count()
        };
        // All but the one that is judged.
        let max_witnesses = self.view.alive_count().saturating_sub(1);
        let suspicions = count(&evidence.suspicions);
        #[cfg(test)]
        if self.faults.single_witness {
            return suspicions > 0;
        }
        // Whoever answers anybody is alive.
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

    /// A datagram came from the process that it names.
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
        let me = self.own_record.identity.addr;
        if let Some(evidence) = self.evidence.get_mut(&from) {
            evidence.suspicions.remove(&me);
        }
        let mut corrections = Vec::new();
        let sender = message.from.clone();
        // The sender has to be corrections when others hold it dead: it is the only one that can say otherwise.
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
        // What has changed just now travels by itself. Two that lack the same agree, and others don't with them.
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
            let mut answer = self.new_message(kind);
            answer.records.splice(0..0, corrections);
            answer.records.truncate(MAX_BATCH_ENTRIES);
            answer.alive_reports = alive_reports;
            if requests_sync {
                self.last_sync = now;
                answer.bucket_digests = self.view.bucket_digests();
            }
            self.outbox.push(Outgoing { to: from, message: answer });
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
            // Where not all fit, another time others go first.
            let first = (self.rng_state % batches.max(1) as u64) as usize;
            for batch in
                records.chunks(MAX_BATCH_ENTRIES).cycle().skip(first).take(batches.min(MAX_SYNC_DATAGRAMS))
            {
                let mut note = self.new_message(MessageKind::Gossip);
                note.records = batch.to_vec();
                self.outbox.push(Outgoing { to: from, message: note });
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
            // The doubter has not heard the newest.
            corrections.push(record.clone());
            return;
        }
        if incarnation.addr == self.own_record.identity.addr {
            // The doubter has just heard otherwise, by this process's answer.
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

    /// Knows these from the start, with nothing left to pass on.
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

/// From when the silence of one counts that has not been asked yet: nobody alive_reports for it, and the pings that it has to
/// leave without an answer take longest.
fn initial_last_received(now: Millis) -> Millis {
    now.saturating_sub(ALIVE_REPORT_WINDOW_MS)
}
