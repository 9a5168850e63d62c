//! Log replication from the leader to its peers, and the leader lease.

use crate::leader_state::{InFlightMessage, Peer, PendingProposal};
use crate::node::Node;
use crate::transfer::{HEARTBEATS_UNTIL_LOST, HEARTBEATS_UNTIL_SNAPSHOT_LOST};
use crate::types::{Entry, Message, Millis, Output, Payload, Snapshot, TransferKind, VoterId};

/// The maximum number of entries in one `Append`. The transfer window limits the bytes of these entries.
const MAX_ENTRIES_PER_APPEND: usize = 64;
/// The maximum number of uncommitted entries.
const MAX_UNCOMMITTED_ENTRIES: u64 = 1024;
/// The maximum total size of uncommitted changes, in bytes.
const MAX_UNCOMMITTED_BYTES: usize = 7 << 20;
/// The largest change that a leader accepts, in bytes: a configuration of 6 MiB plus the encoding overhead of the host.
pub const MAX_CHANGE_BYTES: usize = (6 << 20) + (4 << 10);
/// The number of heartbeats whose send times the leader remembers. Responses to older heartbeats are ignored.
const MAX_TRACKED_HEARTBEATS: usize = 256;

/// The highest value that more than half of the voters have reached.
fn majority_value<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(values.len() / 2).copied()
}

impl Node {
    /// Whether this node holds the leader lease, so that no other leader can exist now: a majority including itself has
    /// answered a heartbeat sent within `lease` before `now`, and an entry of its own term is committed.
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until(now).is_some_and(|until| until > now)
    }

    /// When the lease of this leader expires or expired; `None` if this node has never held a lease in this term.
    pub fn lease_until(&self, now: Millis) -> Option<Millis> {
        let own_term_committed =
            self.log.term_at(self.commit) == Some(self.term) || self.faults.serve_before_own_commit;
        let quorum_contact = self.quorum_heartbeat_at(now).filter(|_| own_term_committed);
        quorum_contact.map(|at| at.saturating_add(self.timing.lease))
    }

    /// The send time of the newest heartbeat that a majority has answered.
    fn quorum_heartbeat_at(&self, now: Millis) -> Option<Millis> {
        let leader = self.leader_state.as_ref()?;
        let heartbeat_at = |member: &VoterId| {
            if *member == self.me {
                return Some(now);
            }
            leader
                .peers
                .iter()
                .filter(|peer| self.is_same_voter(&peer.id, member))
                .map(|peer| peer.answered_heartbeat_at)
                .max()
                .flatten()
        };
        majority_value(self.members().iter().map(heartbeat_at).collect()).flatten()
    }

    /// The send time of the newest heartbeat that a majority has answered, or the time of the election if that is
    /// later.
    pub(crate) fn last_quorum_contact(&self, now: Millis) -> Millis {
        let elected_at = self.leader_state.as_ref().map_or(0, |leader| leader.elected_at);
        self.quorum_heartbeat_at(now).unwrap_or(0).max(elected_at)
    }

    pub(crate) fn tick_leader(&mut self, now: Millis, out: &mut Vec<Output>) {
        // A leader without contact to a majority steps down, so that its clients turn to another node.
        if self.last_quorum_contact(now).saturating_add(self.timing.election * 2) < now {
            self.step_down(now, out);
            return;
        }
        if self.leader_state.as_ref().is_some_and(|leader| now >= leader.next_heartbeat_at) {
            self.drop_expired_peers(now);
            self.update_stable_since(now);
            self.retire_silent_voter(now, out);
            self.send_heartbeats(now, out);
        }
    }

    pub(crate) fn send_heartbeats(&mut self, now: Millis, out: &mut Vec<Output>) {
        let (term, commit) = (self.term, self.commit);
        let Some(leader) = &mut self.leader_state else { return };
        leader.next_heartbeat_at = now + self.timing.heartbeat.max(1);
        leader.last_echo += 1;
        leader.sent_heartbeats.push_back((leader.last_echo, now));
        if leader.sent_heartbeats.len() > MAX_TRACKED_HEARTBEATS {
            leader.sent_heartbeats.pop_front();
        }
        for peer in &leader.peers {
            let message = Message::Heartbeat { term, echo: leader.last_echo, commit };
            out.push(Output::Send { to: peer.id.clone(), message });
        }
    }

    pub(crate) fn propose(&mut self, now: Millis, token: u64, change: Vec<u8>, out: &mut Vec<Output>) {
        let size = change.len();
        let bytes: usize = self
            .leader_state
            .iter()
            .flat_map(|leader| &leader.pending_proposals)
            .map(|proposal| proposal.size)
            .sum();
        let full = self.log.last() - self.commit >= MAX_UNCOMMITTED_ENTRIES
            || size > MAX_CHANGE_BYTES
            || bytes + size > MAX_UNCOMMITTED_BYTES;
        if self.leader_state.is_none() || full {
            out.push(Output::Refused { token, leader: self.leader.clone() });
            return;
        }
        let index = self.append(Payload::Change(change));
        if let Some(leader) = &mut self.leader_state {
            leader.pending_proposals.push_back(PendingProposal { index, token, size });
        }
        out.push(Output::Accepted { token, index, term: self.term });
        self.replicate_to_all(now, out);
    }

    pub(crate) fn replicate_to_all(&mut self, now: Millis, out: &mut Vec<Output>) {
        let ids: Vec<VoterId> =
            self.leader_state.iter().flat_map(|leader| &leader.peers).map(|peer| peer.id.clone()).collect();
        for id in ids {
            self.replicate_to(now, &id, out);
        }
    }

    /// Sends a peer the log data that it lacks, as far as its window allows.
    pub(crate) fn replicate_to(&mut self, now: Millis, id: &VoterId, out: &mut Vec<Output>) {
        let last = self.log.last();
        loop {
            if self.continue_transfer(now, id, out) {
                return;
            }
            let Some(peer) = self.leader_state.as_mut().and_then(|leader| leader.peer(id)) else { return };
            if !peer.can_send(last) {
                return;
            }
            let (previous, probing) = (peer.next_index - 1, peer.probing);
            let window_left = self.limits.min_window_bytes.saturating_sub(peer.bytes_in_flight());
            let was_sent = match self.log.term_at(previous) {
                Some(term) => self.send_entries(now, id, (previous, term), probing, window_left, out),
                None => self.send_snapshot(now, id, previous, out),
            };
            if !was_sent {
                return;
            }
        }
    }

    /// Sends the entries after `prev_index`, as many as fit; returns false if the window has no room for them now.
    fn send_entries(
        &mut self, now: Millis, id: &VoterId, (prev_index, prev_term): (u64, u64), probing: bool,
        window_left: usize, out: &mut Vec<Output>,
    ) -> bool {
        let (term, commit) = (self.term, self.commit);
        let mut entries = self.log.slice(prev_index + 1, MAX_ENTRIES_PER_APPEND, window_left);
        let mut bytes: usize = entries.iter().map(|entry| entry.payload.size()).sum();
        let window_is_empty = window_left == self.limits.min_window_bytes;
        if bytes > window_left && !window_is_empty {
            return false;
        }
        if self.needs_chunking(id, bytes) {
            match entries.pop() {
                Some(entry) if !probing => {
                    self.transfer_entry(id, prev_term, entry);
                    return true;
                }
                // Probes with an empty message first whether the logs match.
                _ => (entries, bytes) = (Vec::new(), 0),
            }
        }
        let last_index = prev_index + entries.len() as u64;
        let message = Message::Append { term, prev_index, prev_term, entries, commit };
        self.send_tracked(now, id, message, (prev_index, last_index), bytes, HEARTBEATS_UNTIL_LOST, out);
        true
    }

    /// Sends the snapshot in place of entries that have been compacted.
    fn send_snapshot(&mut self, now: Millis, id: &VoterId, previous: u64, out: &mut Vec<Output>) -> bool {
        let Some(snapshot) = self.log.snapshot().cloned() else { return false };
        let (term, index, bytes) = (self.term, snapshot.index, snapshot.state.len());
        if let Some(peer) = self.leader_state.as_mut().and_then(|leader| leader.peer(id)) {
            peer.probing = true;
        }
        if self.needs_chunking(id, bytes) {
            self.transfer_snapshot(id, snapshot);
            return true;
        }
        let message = Message::InstallSnapshot { term, snapshot };
        let loss_heartbeats = HEARTBEATS_UNTIL_SNAPSHOT_LOST;
        self.send_tracked(now, id, message, (previous, index), bytes, loss_heartbeats, out);
        true
    }

    #[allow(clippy::too_many_arguments)] // The fields of one in-flight message.
    fn send_tracked(
        &mut self, now: Millis, id: &VoterId, message: Message, (prev_index, last_index): (u64, u64),
        bytes: usize, loss_heartbeats: u64, out: &mut Vec<Output>,
    ) {
        let presumed_lost_at = now + self.timing.heartbeat.max(1) * loss_heartbeats;
        let Some(peer) = self.leader_state.as_mut().and_then(|leader| leader.peer(id)) else { return };
        peer.in_flight.push_back(InFlightMessage { prev_index, last_index, bytes, presumed_lost_at });
        peer.next_index = last_index + 1;
        out.push(Output::Send { to: id.clone(), message });
    }

    pub(crate) fn on_heartbeat_answer(
        &mut self, now: Millis, from: VoterId, term: u64, echo: u64, matched: u64, out: &mut Vec<Output>,
    ) {
        if !self.accept_answer(now, &from, term, out) {
            return;
        }
        let faults = self.faults;
        let matched = matched.min(self.log.last());
        let Some(leader) = &mut self.leader_state else { return };
        let sent_at =
            leader.sent_heartbeats.iter().find(|(number, _)| *number == echo).map(|(_, sent_at)| *sent_at);
        let is_sender =
            |peer: &&mut Peer| peer.id == from || (faults.any_incarnation && peer.id.address == from.address);
        let Some(peer) = leader.peers.iter_mut().find(is_sender) else { return };
        peer.answered_heartbeat_at = peer.answered_heartbeat_at.max(sent_at);
        let id = peer.id.clone();
        // The peer has answered a heartbeat that was sent later than an unanswered message, so that message was lost.
        // Messages are not repeated to a silent peer, nor merely because a link is slow.
        let heartbeat_sent_at = if faults.fixed_loss_timeout { now } else { sent_at.unwrap_or(0) };
        if peer.in_flight.front().is_some_and(|first| first.presumed_lost_at <= heartbeat_sent_at) {
            peer.in_flight.clear();
            // A chunked entry that follows lost entries can no longer be appended, so its transfer ends.
            peer.transfer.take_if(|transfer| transfer.id.kind == TransferKind::Entry);
            peer.probing = true;
            peer.next_index = peer.match_index.max(matched) + 1;
        }
        self.resume_transfer(&id, heartbeat_sent_at);
        self.record_match(now, &id, matched, out);
    }

    pub(crate) fn on_append_accepted(
        &mut self, now: Millis, from: VoterId, term: u64, index: u64, out: &mut Vec<Output>,
    ) {
        if self.accept_answer(now, &from, term, out) {
            if let Some(peer) = self.leader_state.as_mut().and_then(|leader| leader.peer(&from)) {
                peer.probing = false;
            }
            self.record_match(now, &from, index, out);
        }
    }

    fn record_match(&mut self, now: Millis, id: &VoterId, index: u64, out: &mut Vec<Output>) {
        if index > self.log.last() {
            return;
        }
        let Some(peer) = self.leader_state.as_mut().and_then(|leader| leader.peer(id)) else { return };
        peer.match_index = peer.match_index.max(index);
        peer.next_index = peer.next_index.max(peer.match_index + 1);
        peer.in_flight.retain(|message| message.last_index > peer.match_index);
        peer.transfer.take_if(|transfer| transfer.id.index <= peer.match_index);
        let promotion_requested = peer.promotion_requested;
        self.replicate_to(now, id, out);
        self.advance_commit(now, out);
        if promotion_requested {
            self.promote_learner(now, id, out);
        }
    }

    pub(crate) fn on_append_rejected(
        &mut self, now: Millis, from: VoterId, term: u64, prev_index: u64, hint: u64, out: &mut Vec<Output>,
    ) {
        if !self.accept_answer(now, &from, term, out) {
            return;
        }
        let Some(peer) = self.leader_state.as_mut().and_then(|leader| leader.peer(&from)) else { return };
        // If several in-flight messages do not match, only the first rejection triggers a retry.
        let in_chunks =
            peer.transfer.as_ref().is_some_and(|transfer| transfer.id.directly_follows(prev_index));
        if !in_chunks && !peer.in_flight.iter().any(|message| message.prev_index == prev_index) {
            return;
        }
        peer.in_flight.clear();
        peer.transfer = None;
        peer.probing = true;
        peer.next_index = hint.saturating_add(1).min(prev_index).max(peer.match_index + 1);
        self.replicate_to(now, &from, out);
    }

    /// Whether a response comes from a known peer and belongs to this leader's current term. Adopts a higher term.
    pub(crate) fn accept_answer(
        &mut self, now: Millis, from: &VoterId, term: u64, out: &mut Vec<Output>,
    ) -> bool {
        let is_known = self.is_member(from)
            || self
                .leader_state
                .as_ref()
                .is_some_and(|leader| leader.peers.iter().any(|peer| peer.id == *from));
        if !is_known {
            return false;
        }
        self.observe_term(now, term, out);
        term == self.term && self.leader_state.is_some()
    }

    pub(crate) fn advance_commit(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(leader) = &self.leader_state else { return };
        let match_index = |member: &VoterId| {
            if *member == self.me {
                return self.durable_index;
            }
            let progress = leader.peers.iter().filter(|peer| peer.id == *member);
            progress.map(|peer| peer.match_index).max().unwrap_or(0)
        };
        let Some(index) = majority_value(self.members().iter().map(match_index).collect()) else { return };
        // An entry of an older term can be on a majority and still be overwritten. Such an entry is committed only
        // together with an entry of the current term.
        let own_term_committed = self.log.term_at(index) == Some(self.term) || self.faults.commit_old_terms;
        if index <= self.commit || !own_term_committed {
            return;
        }
        self.mark_committed(index, out);
        if let Some(leader) = &mut self.leader_state {
            // Followers learn the commit index from heartbeats, so the next one is sent early. The short delay lets one
            // heartbeat announce several commits.
            leader.next_heartbeat_at = leader.next_heartbeat_at.min(now + self.timing.heartbeat / 8);
            while leader.pending_proposals.front().is_some_and(|proposal| proposal.index <= index) {
                leader.pending_proposals.pop_front();
            }
        }
        // A leader that is no longer a voter steps down once its removal is committed.
        if !self.is_voter() && self.log.members_index() <= self.commit {
            self.step_down(now, out);
        }
    }

    /// Follows the sender if it is the leader of the current or a higher term; returns whether this node follows.
    pub(crate) fn accept_leader(
        &mut self, now: Millis, from: &VoterId, term: u64, out: &mut Vec<Output>,
    ) -> bool {
        if term < self.term {
            return false;
        }
        self.observe_term(now, term, out);
        if self.leader_state.is_some() {
            return false;
        }
        self.campaign = None;
        self.failed_elections = 0;
        self.leader = Some(from.clone());
        self.votes_withheld_until = self.votes_withheld_until.max(now.saturating_add(self.timing.election));
        self.reset_election_deadline(now);
        true
    }

    pub(crate) fn on_heartbeat(
        &mut self, now: Millis, from: VoterId, term: u64, echo: u64, commit: u64, out: &mut Vec<Output>,
    ) {
        if self.accept_leader(now, &from, term, out) {
            self.observe_leader_commit(commit, out);
        } else if term >= self.term {
            return;
        }
        // This response does not wait for the disk. The promise not to vote is kept in memory; after a restart the node
        // withholds votes for just as long. The response therefore reports only log entries that are already on disk.
        let is_durable = self.durable_term == self.term;
        let matched = if is_durable { self.verified_index.min(self.durable_index) } else { 0 };
        out.push(Output::Send {
            to: from,
            message: Message::HeartbeatAnswer { term: self.term, echo, matched },
        });
    }

    #[allow(clippy::too_many_arguments)] // The fields of one message.
    pub(crate) fn on_append(
        &mut self, now: Millis, from: &VoterId, term: u64, (prev_index, prev_term): (u64, u64),
        entries: Vec<Entry>, commit: u64, out: &mut Vec<Output>,
    ) -> Option<Message> {
        if !self.accept_leader(now, from, term, out) {
            return (term < self.term).then_some(Message::AppendRejected {
                term: self.term,
                prev_index,
                hint: 0,
            });
        }
        if !well_formed(prev_index, prev_term, &entries, term) {
            return None;
        }
        // Committed entries are in every leader's log, so the log matches up to the snapshot without a check.
        let base = self.log.base();
        let matches = prev_index < base || self.log.term_at(prev_index) == Some(prev_term);
        if !matches {
            let hint = self.conflict_hint(prev_index);
            return Some(Message::AppendRejected { term: self.term, prev_index, hint });
        }
        let last_index = prev_index + entries.len() as u64;
        for entry in entries.into_iter().filter(|entry| entry.index > base) {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                // Cannot happen: a candidate whose log lacks a committed entry is not elected. Ignores such a message.
                Some(_) if entry.index <= self.commit => return None,
                Some(_) => self.truncate_log(entry.index),
                None => {}
            }
            self.unsaved.first_entry.get_or_insert(entry.index);
            self.log.push(entry);
        }
        self.verified_index = self.verified_index.max(last_index);
        self.drop_incoming(last_index);
        self.observe_leader_commit(commit, out);
        Some(Message::AppendAccepted { term: self.term, index: last_index })
    }

    fn observe_leader_commit(&mut self, commit: u64, out: &mut Vec<Output>) {
        self.leader_commit = self.leader_commit.max(commit);
        self.mark_committed(commit.min(self.verified_index), out);
    }

    /// The highest index at which this log may match the leader's log. Skips all entries of the conflicting term.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let mut hint = prev_index.saturating_sub(1).min(self.log.last());
        if let Some(conflicting_term) = self.log.term_at(prev_index) {
            while hint > self.commit && self.log.term_at(hint) == Some(conflicting_term) {
                hint -= 1;
            }
        }
        hint
    }

    pub(crate) fn on_snapshot(
        &mut self, now: Millis, from: VoterId, term: u64, snapshot: Snapshot, out: &mut Vec<Output>,
    ) {
        if !self.accept_leader(now, &from, term, out) {
            if term < self.term {
                let prev_index = snapshot.index;
                self.reply_after_sync(from, Message::AppendRejected { term: self.term, prev_index, hint: 0 });
            }
            return;
        }
        let index = snapshot.index;
        // No log grows this long; incrementing such an index could overflow.
        if index > u64::MAX / 2 {
            return;
        }
        if index > self.commit {
            if self.log.term_at(index) != Some(snapshot.term) {
                self.truncate_log(self.log.base() + 1);
            }
            self.log.replace_with_snapshot(snapshot.clone());
            self.unsaved.snapshot = true;
            self.commit = index;
            out.push(Output::Install { snapshot });
        }
        self.verified_index = self.verified_index.max(index);
        self.reply_after_sync(from, Message::AppendAccepted { term: self.term, index });
    }
}

/// Whether the entries can follow the entry at `prev_index` in a log of this term: indexes are consecutive, and terms
/// neither decrease nor exceed `term`.
fn well_formed(prev_index: u64, prev_term: u64, entries: &[Entry], term: u64) -> bool {
    let mut previous = (prev_index, prev_term);
    entries.iter().all(|entry| {
        let follows =
            previous.0.checked_add(1) == Some(entry.index) && entry.term >= previous.1 && entry.term <= term;
        previous = (entry.index, entry.term);
        follows
    })
}
