//! How the leader's log gets to the others, and how a leader knows that it still is one.

use crate::lead::{Accepted, Peer, UnderWay};
use crate::node::Node;
use crate::transfer::{HEARTBEATS_UNTIL_LOST, HEARTBEATS_UNTIL_SNAPSHOT_LOST};
use crate::types::{Entry, Message, Millis, Output, Payload, Snapshot, TransferKind, VoterId};

/// How many entries one `Append` holds at most; their bytes are bounded by the window.
const MOST_ENTRIES: usize = 64;
/// How many accepted entries may wait for their commitment, and how many bytes of changes.
const MOST_UNCOMMITTED: u64 = 1024;
const MOST_UNCOMMITTED_BYTES: usize = 7 << 20;
/// The largest change that a leader accepts, in bytes: a body of 6 MiB, and what its host writes around it.
pub const MAX_CHANGE_BYTES: usize = (6 << 20) + (4 << 10);
/// How many of the newest heartbeats can still be answered.
const MOST_ECHOES: usize = 256;

/// What a majority has reached: of each voter's figure, the highest that more than half have.
fn majority<T: Ord + Copy>(mut figures: Vec<T>) -> Option<T> {
    figures.sort_unstable_by(|one, other| other.cmp(one));
    figures.get(figures.len() / 2).copied()
}

impl Node {
    /// Whether this leader is surely the only one now: a majority, itself counted, has answered a heartbeat that was sent
    /// within `lease` before now, and an entry of its own term is committed.
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until(now).is_some_and(|until| until > now)
    }

    /// When the lease of this leader ends or has ended, unless it is renewed; nothing if it never had one.
    pub fn lease_until(&self, now: Millis) -> Option<Millis> {
        let own = self.log.term_at(self.commit) == Some(self.term) || self.faults.serve_before_own_commit;
        let answered = self.answered_at(now).filter(|_| own);
        answered.map(|at| at.saturating_add(self.timing.lease))
    }

    /// When the newest heartbeat was sent that a majority has answered.
    fn answered_at(&self, now: Millis) -> Option<Millis> {
        let lead = self.lead.as_ref()?;
        let figure = |member: &VoterId| {
            if *member == self.me {
                return Some(now);
            }
            lead.peers
                .iter()
                .filter(|peer| self.same(&peer.id, member))
                .map(|peer| peer.answered)
                .max()
                .flatten()
        };
        majority(self.members().iter().map(figure).collect()).flatten()
    }

    /// As above, but a new leader has the benefit of the doubt.
    pub(crate) fn quorum_at(&self, now: Millis) -> Millis {
        let since = self.lead.as_ref().map_or(0, |lead| lead.since);
        self.answered_at(now).unwrap_or(0).max(since)
    }

    pub(crate) fn lead_on(&mut self, now: Millis, out: &mut Vec<Output>) {
        // Whoever reaches no majority gives way, so that its clients look elsewhere.
        if self.quorum_at(now).saturating_add(self.timing.election * 2) < now {
            self.stop(now, out);
            return;
        }
        if self.lead.as_ref().is_some_and(|lead| now >= lead.heartbeat_due) {
            self.forget_learners(now);
            self.watch_voters(now);
            self.retire_silent(now, out);
            self.heartbeat(now, out);
        }
    }

    pub(crate) fn heartbeat(&mut self, now: Millis, out: &mut Vec<Output>) {
        let (term, commit) = (self.term, self.commit);
        let Some(lead) = &mut self.lead else { return };
        lead.heartbeat_due = now + self.timing.heartbeat.max(1);
        lead.echo += 1;
        lead.echoes.push_back((lead.echo, now));
        if lead.echoes.len() > MOST_ECHOES {
            lead.echoes.pop_front();
        }
        for peer in &lead.peers {
            let message = Message::Heartbeat { term, echo: lead.echo, commit };
            out.push(Output::Send { to: peer.id.clone(), message });
        }
    }

    pub(crate) fn propose(&mut self, now: Millis, token: u64, change: Vec<u8>, out: &mut Vec<Output>) {
        let size = change.len();
        let bytes: usize = self.lead.iter().flat_map(|lead| &lead.tokens).map(|accepted| accepted.size).sum();
        let full = self.log.last() - self.commit >= MOST_UNCOMMITTED
            || size > MAX_CHANGE_BYTES
            || bytes + size > MOST_UNCOMMITTED_BYTES;
        if self.lead.is_none() || full {
            out.push(Output::Refused { token, leader: self.leader.clone() });
            return;
        }
        let index = self.write(Payload::Change(change));
        if let Some(lead) = &mut self.lead {
            lead.tokens.push_back(Accepted { index, token, size });
        }
        out.push(Output::Accepted { token, index, term: self.term });
        self.pump_all(now, out);
    }

    pub(crate) fn pump_all(&mut self, now: Millis, out: &mut Vec<Output>) {
        let ids: Vec<VoterId> =
            self.lead.iter().flat_map(|lead| &lead.peers).map(|peer| peer.id.clone()).collect();
        for id in ids {
            self.pump(now, &id, out);
        }
    }

    /// Sends a follower what it lacks, as far as its window allows.
    pub(crate) fn pump(&mut self, now: Millis, id: &VoterId, out: &mut Vec<Output>) {
        let last = self.log.last();
        loop {
            if self.continue_transfer(now, id, out) {
                return;
            }
            let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(id)) else { return };
            if !peer.may_be_sent(last) {
                return;
            }
            let (previous, probing) = (peer.next - 1, peer.probing);
            let room = self.limits.min_window_bytes.saturating_sub(peer.bytes_under_way());
            let goes_on = match self.log.term_at(previous) {
                Some(term) => self.send_entries(now, id, (previous, term), probing, room, out),
                None => self.send_snapshot(now, id, previous, out),
            };
            if !goes_on {
                return;
            }
        }
    }

    /// Sends the entries that follow on one, as many as fit; false if the window has no room for them now.
    fn send_entries(
        &mut self, now: Millis, id: &VoterId, (prev_index, prev_term): (u64, u64), probing: bool,
        room: usize, out: &mut Vec<Output>,
    ) -> bool {
        let (term, commit) = (self.term, self.commit);
        let mut entries = self.log.slice(prev_index + 1, MOST_ENTRIES, room);
        let mut bytes: usize = entries.iter().map(|entry| entry.payload.size()).sum();
        let window_is_empty = room == self.limits.min_window_bytes;
        if bytes > room && !window_is_empty {
            return false;
        }
        if self.goes_in_pieces(id, bytes) {
            match entries.pop() {
                Some(entry) if !probing => {
                    self.transfer_entry(id, prev_term, entry);
                    return true;
                }
                // Whether it fits there is found out first, without it.
                _ => (entries, bytes) = (Vec::new(), 0),
            }
        }
        let upto = prev_index + entries.len() as u64;
        let message = Message::Append { term, prev_index, prev_term, entries, commit };
        self.send_counted(now, id, message, (prev_index, upto), bytes, HEARTBEATS_UNTIL_LOST, out);
        true
    }

    /// Sends the snapshot in place of entries that are not here any more.
    fn send_snapshot(&mut self, now: Millis, id: &VoterId, previous: u64, out: &mut Vec<Output>) -> bool {
        let Some(snapshot) = self.log.snapshot().cloned() else { return false };
        let (term, index, bytes) = (self.term, snapshot.index, snapshot.state.len());
        if let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(id)) {
            peer.probing = true;
        }
        if self.goes_in_pieces(id, bytes) {
            self.transfer_snapshot(id, snapshot);
            return true;
        }
        let message = Message::InstallSnapshot { term, snapshot };
        let patience = HEARTBEATS_UNTIL_SNAPSHOT_LOST;
        self.send_counted(now, id, message, (previous, index), bytes, patience, out);
        true
    }

    #[allow(clippy::too_many_arguments)] // What is remembered of one message.
    fn send_counted(
        &mut self, now: Millis, id: &VoterId, message: Message, (prev, last): (u64, u64), bytes: usize,
        heartbeats: u64, out: &mut Vec<Output>,
    ) {
        let lost_at = now + self.timing.heartbeat.max(1) * heartbeats;
        let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(id)) else { return };
        peer.under_way.push_back(UnderWay { prev, last, bytes, lost_at });
        peer.next = last + 1;
        out.push(Output::Send { to: id.clone(), message });
    }

    pub(crate) fn heartbeat_answered(
        &mut self, now: Millis, from: VoterId, term: u64, echo: u64, matched: u64, out: &mut Vec<Output>,
    ) {
        if !self.answer_counts(now, &from, term, out) {
            return;
        }
        let faults = self.faults;
        let matched = matched.min(self.log.last());
        let Some(lead) = &mut self.lead else { return };
        let sent = lead.echoes.iter().find(|(number, _)| *number == echo).map(|(_, sent)| *sent);
        let found = |peer: &&mut Peer| {
            peer.id == from || (faults.ignore_incarnation && peer.id.address == from.address)
        };
        let Some(peer) = lead.peers.iter_mut().find(found) else { return };
        peer.answered = peer.answered.max(sent);
        let id = peer.id.clone();
        // It has answered what was sent later, so what it has not answered was lost. Nothing is repeated to one that is
        // silent, nor to one whose link is slow.
        let heartbeat_sent_at = if faults.fixed_loss_timeout { now } else { sent.unwrap_or(0) };
        if peer.under_way.front().is_some_and(|first| first.lost_at <= heartbeat_sent_at) {
            peer.under_way.clear();
            // An entry that follows on lost ones fits nowhere.
            peer.transfer.take_if(|transfer| transfer.id.kind == TransferKind::Entry);
            peer.probing = true;
            peer.next = peer.matched.max(matched) + 1;
        }
        self.resume_transfer(&id, heartbeat_sent_at);
        self.has_up_to(now, &id, matched, out);
    }

    pub(crate) fn matched(
        &mut self, now: Millis, from: VoterId, term: u64, index: u64, out: &mut Vec<Output>,
    ) {
        if self.answer_counts(now, &from, term, out) {
            if let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(&from)) {
                peer.probing = false;
            }
            self.has_up_to(now, &from, index, out);
        }
    }

    fn has_up_to(&mut self, now: Millis, id: &VoterId, index: u64, out: &mut Vec<Output>) {
        if index > self.log.last() {
            return;
        }
        let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(id)) else { return };
        peer.matched = peer.matched.max(index);
        peer.next = peer.next.max(peer.matched + 1);
        peer.under_way.retain(|one| one.last > peer.matched);
        peer.transfer.take_if(|transfer| transfer.id.index <= peer.matched);
        let wanted = peer.wanted;
        self.pump(now, id, out);
        self.advance_commit(now, out);
        if wanted {
            self.promote(now, id, out);
        }
    }

    pub(crate) fn append_rejected(
        &mut self, now: Millis, from: VoterId, term: u64, prev_index: u64, hint: u64, out: &mut Vec<Output>,
    ) {
        if !self.answer_counts(now, &from, term, out) {
            return;
        }
        let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(&from)) else { return };
        // Of several messages under way that do not fit, only the first one's answer starts a new try.
        let in_pieces = peer.transfer.as_ref().is_some_and(|transfer| transfer.id.follows_on(prev_index));
        if !in_pieces && !peer.under_way.iter().any(|one| one.prev == prev_index) {
            return;
        }
        peer.under_way.clear();
        peer.transfer = None;
        peer.probing = true;
        peer.next = hint.saturating_add(1).min(prev_index).max(peer.matched + 1);
        self.pump(now, &from, out);
    }

    /// Whether an answer is meant for this leader, in this term, by one that it knows.
    pub(crate) fn answer_counts(
        &mut self, now: Millis, from: &VoterId, term: u64, out: &mut Vec<Output>,
    ) -> bool {
        let known = self.is_member(from)
            || self.lead.as_ref().is_some_and(|lead| lead.peers.iter().any(|peer| peer.id == *from));
        if !known {
            return false;
        }
        self.see_term(now, term, out);
        term == self.term && self.lead.is_some()
    }

    pub(crate) fn advance_commit(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(lead) = &self.lead else { return };
        let figure = |member: &VoterId| {
            if *member == self.me {
                return self.durable;
            }
            let same = lead.peers.iter().filter(|peer| peer.id == *member);
            same.map(|peer| peer.matched).max().unwrap_or(0)
        };
        let Some(index) = majority(self.members().iter().map(figure).collect()) else { return };
        // An entry of an older term can be on a majority and still be overwritten: it counts with one of this term.
        let own = self.log.term_at(index) == Some(self.term) || self.faults.commit_old_terms;
        if index <= self.commit || !own {
            return;
        }
        self.commit_to(index, out);
        if let Some(lead) = &mut self.lead {
            // The others learn of it soon, and of several in one go.
            lead.heartbeat_due = lead.heartbeat_due.min(now + self.timing.heartbeat / 8);
            while lead.tokens.front().is_some_and(|accepted| accepted.index <= index) {
                lead.tokens.pop_front();
            }
        }
        // A leader that is off the list has done its work once that is committed.
        if !self.is_voter() && self.log.members_index() <= self.commit {
            self.stop(now, out);
        }
    }

    /// Whether the sender leads in the term that counts here; if so, this node follows it.
    pub(crate) fn follows(&mut self, now: Millis, from: &VoterId, term: u64, out: &mut Vec<Output>) -> bool {
        if term < self.term {
            return false;
        }
        self.see_term(now, term, out);
        if self.lead.is_some() {
            return false;
        }
        self.campaign = None;
        self.lost_elections = 0;
        self.leader = Some(from.clone());
        self.bound_until = self.bound_until.max(now.saturating_add(self.timing.election));
        self.draw_election(now);
        true
    }

    pub(crate) fn heartbeat_came(
        &mut self, now: Millis, from: VoterId, term: u64, echo: u64, commit: u64, out: &mut Vec<Output>,
    ) {
        if self.follows(now, &from, term, out) {
            self.learn_commit(commit, out);
        } else if term >= self.term {
            return;
        }
        // This one does not wait for the disk: it promises only what this node keeps in mind, and after a start it
        // keeps still for as long. So it names only what is on disk already.
        let kept = self.durable_term == self.term;
        let matched = if kept { self.verified.min(self.durable) } else { 0 };
        out.push(Output::Send {
            to: from,
            message: Message::HeartbeatAnswer { term: self.term, echo, matched },
        });
    }

    #[allow(clippy::too_many_arguments)] // The fields of one message.
    pub(crate) fn append_came(
        &mut self, now: Millis, from: &VoterId, term: u64, (prev_index, prev_term): (u64, u64),
        entries: Vec<Entry>, commit: u64, out: &mut Vec<Output>,
    ) -> Option<Message> {
        if !self.follows(now, from, term, out) {
            return (term < self.term).then_some(Message::AppendRejected {
                term: self.term,
                prev_index,
                hint: 0,
            });
        }
        if !well_formed(prev_index, prev_term, &entries, term) {
            return None;
        }
        // What is committed here is in every leader's log, so all up to the snapshot fits without a look.
        let base = self.log.base();
        let fits = prev_index < base || self.log.term_at(prev_index) == Some(prev_term);
        if !fits {
            let hint = self.hint(prev_index);
            return Some(Message::AppendRejected { term: self.term, prev_index, hint });
        }
        let upto = prev_index + entries.len() as u64;
        for entry in entries.into_iter().filter(|entry| entry.index > base) {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                // Never: a leader without a committed entry can't be elected. If it does come, it is not followed.
                Some(_) if entry.index <= self.commit => return None,
                Some(_) => self.cut(entry.index),
                None => {}
            }
            self.unsaved.first_entry.get_or_insert(entry.index);
            self.log.push(entry);
        }
        self.verified = self.verified.max(upto);
        self.drop_incoming(upto);
        self.learn_commit(commit, out);
        Some(Message::AppendAccepted { term: self.term, index: upto })
    }

    fn learn_commit(&mut self, commit: u64, out: &mut Vec<Output>) {
        self.told_commit = self.told_commit.max(commit);
        self.commit_to(commit.min(self.verified), out);
    }

    /// Up to where the logs may agree: not the entries of a term that the leader has not at that place.
    fn hint(&self, prev_index: u64) -> u64 {
        let mut hint = prev_index.saturating_sub(1).min(self.log.last());
        if let Some(odd) = self.log.term_at(prev_index) {
            while hint > self.commit && self.log.term_at(hint) == Some(odd) {
                hint -= 1;
            }
        }
        hint
    }

    pub(crate) fn snapshot_came(
        &mut self, now: Millis, from: VoterId, term: u64, snapshot: Snapshot, out: &mut Vec<Output>,
    ) {
        if !self.follows(now, &from, term, out) {
            if term < self.term {
                let prev_index = snapshot.index;
                self.answer(from, Message::AppendRejected { term: self.term, prev_index, hint: 0 });
            }
            return;
        }
        let index = snapshot.index;
        // No log gets that far; counting on from there would overflow.
        if index > u64::MAX / 2 {
            return;
        }
        if index > self.commit {
            if self.log.term_at(index) != Some(snapshot.term) {
                self.cut(self.log.base() + 1);
            }
            self.log.replace(snapshot.clone());
            self.unsaved.snapshot = true;
            self.commit = index;
            out.push(Output::Install { snapshot });
        }
        self.verified = self.verified.max(index);
        self.answer(from, Message::AppendAccepted { term: self.term, index });
    }
}

/// Whether these entries can stand in a log behind that one, written in this term or before.
fn well_formed(prev_index: u64, prev_term: u64, entries: &[Entry], term: u64) -> bool {
    let mut before = (prev_index, prev_term);
    entries.iter().all(|entry| {
        let follows =
            before.0.checked_add(1) == Some(entry.index) && entry.term >= before.1 && entry.term <= term;
        before = (entry.index, entry.term);
        follows
    })
}
