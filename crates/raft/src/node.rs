//! The Raft state machine: state and rules common to all roles, and the deferral of messages until saves are durable.

use std::collections::VecDeque;

use crate::campaign::Campaign;
use crate::leader_state::LeaderState;
use crate::log::Log;
use crate::tolerance::{RetirementPolicy, departure_helps, min_voters};
use crate::transfer::{IncomingTransfer, TransferLimits};
use crate::types::{
    Entry, Input, Message, Millis, Output, Payload, PersistentState, Role, Save, Timing, VoterId,
};

/// Faults that tests inject to verify that the checks detect them. All are off in production.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
#[cfg_attr(test, derive(Hash))]
pub struct Faults {
    /// Votes are not written to disk.
    pub unsaved_votes: bool,
    /// Entries of older terms count as committed once a majority has them.
    pub commit_old_terms: bool,
    /// A voter that lost its disk is treated as the voter with the former incarnation.
    pub any_incarnation: bool,
    /// Voters grant votes while they receive heartbeats from a leader, and right after a start.
    pub vote_despite_leader: bool,
    /// Responses do not wait until the save is durable.
    pub reply_before_sync: bool,
    /// Elections start without a pre-vote. Raft is safe without the pre-vote, but the pre-vote would keep tests from
    /// detecting other faults.
    pub skip_pre_vote: bool,
    /// A chunked transfer restarts from its first byte whenever a chunk is lost.
    pub restart_transfers: bool,
    /// Chunks of different transfers are assembled into one payload, without a checksum check.
    pub mix_transfers: bool,
    /// A compaction aborts transfers of the previous snapshot.
    pub compaction_aborts_transfers: bool,
    /// Entries covered by a snapshot are not retained in memory.
    pub retain_no_entries: bool,
    /// Entries and chunks count as lost after a fixed time, even on a slow link.
    pub fixed_loss_timeout: bool,
    /// The leader and its followers serve requests before an entry of the leader's term is committed.
    pub serve_before_own_commit: bool,
    /// A learner becomes a voter before it has caught up.
    pub promote_lagging_learners: bool,
    /// A silent voter is removed even if its removal does not increase the tolerated losses.
    pub retire_unconditionally: bool,
    /// The list of voters is changed while the previous change is not committed.
    pub overlapping_list_changes: bool,
    /// A leader continues to lead after a leadership transfer.
    pub keep_leading_after_transfer: bool,
}

impl Faults {
    /// No faults, as in production.
    pub const NONE: Faults = Faults {
        unsaved_votes: false,
        commit_old_terms: false,
        any_incarnation: false,
        vote_despite_leader: false,
        reply_before_sync: false,
        skip_pre_vote: false,
        restart_transfers: false,
        mix_transfers: false,
        compaction_aborts_transfers: false,
        retain_no_entries: false,
        fixed_loss_timeout: false,
        serve_before_own_commit: false,
        promote_lagging_learners: false,
        retire_unconditionally: false,
        overlapping_list_changes: false,
        keep_leading_after_transfer: false,
    };
}

/// After each start a node numbers its pre-vote rounds from a random value up to this maximum.
const MAX_INITIAL_PRE_VOTE_ROUND: u64 = (1 << 48) - 1;

/// A save that is not durable yet, and the messages that wait for the save.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct PendingSave {
    ticket: u64,
    /// The last log index on disk once the save is durable.
    last_index: u64,
    /// The term on disk once the save is durable.
    term: u64,
    /// Messages that are sent once the save is durable.
    replies: Vec<Output>,
    /// The term of the node's vote for itself, if the save contains that vote.
    own_vote: Option<u64>,
}

/// The changes of one input that must be written to disk.
#[derive(Debug, Default)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct UnsavedChanges {
    /// Whether the term or the vote has changed.
    pub(crate) hard_state: bool,
    /// Index from which on entries are removed.
    pub(crate) truncate: Option<u64>,
    /// Index of the first appended entry.
    pub(crate) first_entry: Option<u64>,
    /// Whether the snapshot has changed.
    pub(crate) snapshot: bool,
    /// The term in which this node voted for itself.
    pub(crate) own_vote: Option<u64>,
}

/// A Raft node: a voter or a learner.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub struct Node {
    pub(crate) me: VoterId,
    pub(crate) timing: Timing,
    pub(crate) retirement: RetirementPolicy,
    pub(crate) faults: Faults,
    /// The highest term seen.
    pub(crate) term: u64,
    /// The candidate that received this node's vote in `term`.
    pub(crate) vote: Option<VoterId>,
    pub(crate) log: Log,
    /// The commit index known to this node.
    pub(crate) commit: u64,
    /// The highest commit index received from a leader.
    pub(crate) leader_commit: u64,
    pub(crate) leader: Option<VoterId>,
    /// Present while this node is the leader.
    pub(crate) leader_state: Option<LeaderState>,
    /// Present while this node requests pre-votes or votes.
    pub(crate) campaign: Option<Campaign>,
    /// The number of the newest pre-vote round.
    pub(crate) pre_vote_round: u64,
    /// When the election timeout ends.
    pub(crate) election_deadline: Millis,
    /// The elections that this node lost since it last knew a leader, except those in which a vote was refused.
    pub(crate) failed_elections: u32,
    /// The node grants no vote before this time, because a leader's lease may depend on a heartbeat response of this
    /// node.
    pub(crate) votes_withheld_until: Millis,
    /// The highest index up to which the log is known to match the log of this term's leader.
    pub(crate) verified_index: u64,
    /// The last log index on disk.
    pub(crate) durable_index: u64,
    /// The term on disk.
    pub(crate) durable_term: u64,
    /// The ticket of the newest save.
    pub(crate) last_ticket: u64,
    /// Saves that are not durable yet, oldest first.
    pub(crate) pending_saves: VecDeque<PendingSave>,
    /// What the current input has changed and the next save must contain.
    pub(crate) unsaved: UnsavedChanges,
    /// Messages of the current input that depend on unsaved state.
    replies: Vec<Output>,
    /// The chunked payload that is being received.
    pub(crate) incoming: Option<IncomingTransfer>,
    pub(crate) limits: TransferLimits,
    /// The role in the last [`Output::Role`].
    pub(crate) reported_role: Role,
    pub(crate) rng_state: u64,
}

impl Node {
    /// Creates a node from the state on its disk. The host has already restored its own state from the snapshot.
    pub fn start(saved: PersistentState, timing: Timing, seed: u64, now: Millis) -> Node {
        let PersistentState { me, term, vote, snapshot, entries, founders } = saved;
        let first_start = term == 0 && entries.is_empty() && snapshot.is_none() && !founders.is_empty();
        let log = Log::new(founders, snapshot, entries);
        let mut node = Node {
            me,
            timing,
            retirement: RetirementPolicy {
                silence_timeout: timing.election.saturating_mul(DEFAULT_SILENCE_ELECTIONS),
                min_voters: min_voters(1),
            },
            faults: Faults::default(),
            term,
            vote,
            commit: log.base(),
            leader_commit: 0,
            leader: None,
            leader_state: None,
            campaign: None,
            // A random start keeps late responses to rounds before a restart from matching a new round.
            pre_vote_round: seed & MAX_INITIAL_PRE_VOTE_ROUND,
            election_deadline: 0,
            failed_elections: 0,
            // Heartbeat responses sent before the restart are forgotten, so the node withholds votes for as long as a
            // lease could depend on them.
            votes_withheld_until: if first_start { now } else { now.saturating_add(timing.election) },
            verified_index: 0,
            durable_index: log.last(),
            durable_term: term,
            log,
            last_ticket: 0,
            pending_saves: VecDeque::new(),
            unsaved: UnsavedChanges::default(),
            replies: Vec::new(),
            incoming: None,
            limits: TransferLimits::default(),
            reported_role: Role::Follower { term, leader: None },
            rng_state: seed,
        };
        node.reset_election_deadline(now);
        if first_start {
            let half = timing.election / 2;
            node.election_deadline = now + half / 4 + node.random_below(half - half / 4);
        }
        node
    }

    #[doc(hidden)]
    pub fn inject_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Processes one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Received { from, message } => self.receive(now, from, message, out),
            Input::Tick => {}
            Input::Propose { token, change } => self.propose(now, token, change, out),
            Input::AddVoter(voter) => self.add_voter(now, voter, out),
            Input::RemoveVoter(voter) => self.remove_voter(now, &voter, out),
            Input::VoterShuttingDown(voter) => self.on_voter_shutdown(now, &voter, out),
            Input::TransferLeadership => self.transfer_leadership(now, out),
            Input::Saved { ticket } => self.on_saved(now, ticket, out),
            Input::Compact { index, state } => self.compact(index, state),
        }
        self.tick(now, out);
        self.flush(out);
        self.report_role(out);
    }

    /// Whether this node considers itself the leader.
    pub fn is_leader(&self) -> bool {
        self.leader_state.is_some()
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// The highest term seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The commit index known to this node.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Whether this node may lack committed entries. Receiving heartbeats does not prove that the log is current: if
    /// the responses of this node do not reach the leader, the leader stops sending entries once its window is full,
    /// but continues to send heartbeats.
    ///
    /// A node that has not committed an entry of the current term also counts as lagging: a new leader does not know
    /// yet which entries its predecessors committed, and announces only the index of its snapshot. Once the leader's
    /// first entry is committed, this node has applied all those entries.
    pub fn lags(&self) -> bool {
        let current_term_committed = self.log.term_at(self.commit) == Some(self.term);
        self.leader_commit > self.commit || !(current_term_committed || self.faults.serve_before_own_commit)
    }

    /// The members according to the newest list in the log, committed or not.
    pub fn members(&self) -> &[VoterId] {
        self.log.members()
    }

    /// The identity of this node.
    pub fn me(&self) -> &VoterId {
        &self.me
    }

    /// Whether this node is a voter.
    pub fn is_voter(&self) -> bool {
        self.is_member(&self.me)
    }

    /// Whether this node should leave the list of voters before a shutdown, because the remaining voters then tolerate
    /// more losses.
    pub fn should_leave(&self) -> bool {
        self.is_voter() && departure_helps(self.members().len(), self.retirement.min_voters)
    }

    /// Whether the newest list of voters is committed.
    pub fn membership_committed(&self) -> bool {
        self.log.members_index() <= self.commit
    }

    /// Whether `voter` has answered a heartbeat that this leader sent within the last election timeout.
    pub fn is_responsive(&self, voter: &VoterId, now: Millis) -> bool {
        let answered_at =
            |leader: &LeaderState| leader.peers.iter().find(|peer| peer.id == *voter)?.answered_heartbeat_at;
        let answered_at = self.leader_state.as_ref().and_then(answered_at);
        answered_at.is_some_and(|at| at.saturating_add(self.timing.election) > now)
    }

    /// Whether this leader has held its lease without a gap for an election timeout. Earlier, an unresponsive voter may
    /// simply not have received a heartbeat yet.
    pub fn has_led_for_election_timeout(&self, now: Millis) -> bool {
        self.leader_state
            .as_ref()
            .is_some_and(|leader| leader.stable_since.saturating_add(self.timing.election) <= now)
    }

    /// The time of the next required `Tick`.
    pub fn next_due(&self) -> Millis {
        self.leader_state.as_ref().map_or(self.election_deadline, |leader| leader.next_heartbeat_at)
    }

    fn receive(&mut self, now: Millis, from: VoterId, message: Message, out: &mut Vec<Output>) {
        // Terms never get this high in practice; incrementing such a term could overflow.
        if from == self.me || message.term() > u64::MAX / 2 {
            return;
        }
        match message {
            Message::PreVote { round, term, last_index, last_term } => {
                self.on_pre_vote(now, from, round, term, (last_term, last_index), out);
            }
            Message::PreVoteAnswer { round, term, granted } => {
                self.on_pre_vote_answer(now, from, round, term, granted, out)
            }
            Message::RequestVote { term, last_index, last_term } => {
                self.on_request_vote(now, from, term, (last_term, last_index), out);
            }
            Message::RequestVoteAfterTransfer { term, last_index, last_term } => {
                self.on_request_vote_after_transfer(now, from, term, (last_term, last_index), out);
            }
            Message::VoteAnswer { term, granted } => self.on_vote_answer(now, from, term, granted, out),
            Message::Heartbeat { term, echo, commit } => {
                self.on_heartbeat(now, from, term, echo, commit, out)
            }
            Message::HeartbeatAnswer { term, echo, matched } => {
                self.on_heartbeat_answer(now, from, term, echo, matched, out)
            }
            Message::Append { term, prev_index, prev_term, entries, commit } => {
                if let Some(matched) =
                    self.on_append(now, &from, term, (prev_index, prev_term), entries, commit, out)
                {
                    self.reply_after_sync(from, matched);
                }
            }
            Message::InstallSnapshot { term, snapshot } => self.on_snapshot(now, from, term, snapshot, out),
            Message::AppendAccepted { term, index } => self.on_append_accepted(now, from, term, index, out),
            Message::AppendRejected { term, prev_index, hint } => {
                self.on_append_rejected(now, from, term, prev_index, hint, out)
            }
            Message::Chunk { term, transfer, offset, bytes } => {
                self.on_chunk(now, from, term, (transfer, offset, bytes), out);
            }
            Message::ChunkReceived { term, transfer, offset, received } => {
                self.on_chunk_received(now, &from, term, (transfer, offset, received), out);
            }
            Message::TimeoutNow { term } => self.on_timeout_now(now, &from, term),
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.leader_state.is_some() {
            self.tick_leader(now, out);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now, out);
        }
    }

    fn on_saved(&mut self, now: Millis, ticket: u64, out: &mut Vec<Output>) {
        while self.pending_saves.front().is_some_and(|pending| pending.ticket <= ticket) {
            let Some(pending) = self.pending_saves.pop_front() else { break };
            self.durable_index = self.durable_index.max(pending.last_index);
            self.durable_term = self.durable_term.max(pending.term);
            out.extend(pending.replies);
            if pending.own_vote.is_some_and(|term| term == self.term) {
                self.count_vote(now, self.me.clone(), out);
            }
        }
        self.advance_commit(now, out);
    }

    fn compact(&mut self, index: u64, state: Vec<u8>) {
        if index <= self.log.base() || index > self.commit {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let (members, _) = self.log.members_as_of(index);
        self.log.replace_with_snapshot(crate::types::Snapshot { index, term, members, state });
        self.unsaved.snapshot = true;
        if self.faults.retain_no_entries {
            self.log.clear_retained();
        }
        if self.faults.compaction_aborts_transfers {
            self.leader_state
                .iter_mut()
                .flat_map(|leader| &mut leader.peers)
                .for_each(|peer| peer.transfer = None);
        }
    }

    /// Queues a message that depends on unsaved state. The message is sent once that state is on disk.
    pub(crate) fn reply_after_sync(&mut self, to: VoterId, message: Message) {
        self.replies.push(Output::Send { to, message });
    }

    /// Emits one save for all changes of an input, and queues the replies that depend on pending saves.
    fn flush(&mut self, out: &mut Vec<Output>) {
        let replies = std::mem::take(&mut self.replies);
        let unsaved = std::mem::take(&mut self.unsaved);
        let has_changes = unsaved.hard_state
            || unsaved.truncate.is_some()
            || unsaved.first_entry.is_some()
            || unsaved.snapshot;
        if has_changes {
            self.last_ticket += 1;
            let entries = unsaved
                .first_entry
                .map(|from| self.log.slice(from, usize::MAX, usize::MAX))
                .unwrap_or_default();
            let vote = if self.faults.unsaved_votes { None } else { self.vote.clone() };
            out.push(Output::Save(Save {
                ticket: self.last_ticket,
                term: self.term,
                vote,
                truncate: unsaved.truncate,
                entries,
                snapshot: if unsaved.snapshot { self.log.snapshot().cloned() } else { None },
            }));
            self.pending_saves.push_back(PendingSave {
                ticket: self.last_ticket,
                last_index: self.log.last(),
                term: self.term,
                replies: Vec::new(),
                own_vote: unsaved.own_vote,
            });
        }
        match self.pending_saves.back_mut() {
            // Bounds the queue while the disk is stuck. A peer that repeats its request gets another reply.
            Some(pending) if !self.faults.reply_before_sync => {
                pending.replies.extend(replies);
                let surplus = pending.replies.len().saturating_sub(MAX_DEFERRED_REPLIES);
                pending.replies.drain(..surplus);
            }
            _ => out.extend(replies),
        }
    }

    fn report_role(&mut self, out: &mut Vec<Output>) {
        let term = self.term;
        let role = if self.leader_state.is_some() {
            Role::Leader { term }
        } else if self.campaign.as_ref().is_some_and(|campaign| campaign.is_election) {
            Role::Candidate { term }
        } else {
            Role::Follower { term, leader: self.leader.clone() }
        };
        if role != self.reported_role {
            self.reported_role = role.clone();
            out.push(Output::Role(role));
        }
    }

    /// Adopts a higher term, which ends the role of this node in the old term.
    pub(crate) fn observe_term(&mut self, now: Millis, term: u64, out: &mut Vec<Output>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.verified_index = 0;
            self.unsaved.hard_state = true;
            self.step_down(now, out);
        }
    }

    /// Stops leading or campaigning and forgets the known leader.
    pub(crate) fn step_down(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.campaign = None;
        self.leader = None;
        if let Some(leader) = self.leader_state.take() {
            out.extend(
                leader
                    .pending_proposals
                    .into_iter()
                    .map(|proposal| Output::OutcomeUnknown { token: proposal.token }),
            );
            self.reset_election_deadline(now);
        }
    }

    pub(crate) fn append(&mut self, payload: Payload) -> u64 {
        let index = self.log.last() + 1;
        self.unsaved.first_entry.get_or_insert(index);
        self.log.push(Entry { index, term: self.term, payload });
        index
    }

    /// Removes the entries from this index on, in memory and on disk.
    pub(crate) fn truncate_log(&mut self, from: u64) {
        self.log.truncate(from);
        let last = from.saturating_sub(1);
        self.durable_index = self.durable_index.min(last);
        // A pending save may still write entries that the next save removes.
        self.pending_saves.iter_mut().for_each(|pending| pending.last_index = pending.last_index.min(last));
        self.unsaved.truncate = Some(self.unsaved.truncate.map_or(from, |earlier| earlier.min(from)));
    }

    pub(crate) fn mark_committed(&mut self, index: u64, out: &mut Vec<Output>) {
        while self.commit < index {
            let Some(entry) = self.log.get(self.commit + 1) else { return };
            self.commit += 1;
            out.push(Output::Committed { entry: entry.clone() });
        }
    }

    pub(crate) fn is_member(&self, voter: &VoterId) -> bool {
        self.members().iter().any(|member| self.is_same_voter(member, voter))
    }

    pub(crate) fn is_same_voter(&self, voter: &VoterId, other: &VoterId) -> bool {
        voter == other || (self.faults.any_incarnation && voter.address == other.address)
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Millis) {
        let min_timeout = self.timing.election;
        self.election_deadline =
            now.saturating_add(min_timeout).saturating_add(self.random_below(min_timeout));
    }

    /// A pseudo-random number below `limit` (splitmix64). The numbers only need to differ between nodes.
    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.rng_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit.max(1)
    }
}

/// The maximum number of replies that wait for one save; older replies are dropped.
const MAX_DEFERRED_REPLIES: usize = 256;
/// The default silence timeout of the retirement policy, in election timeouts.
const DEFAULT_SILENCE_ELECTIONS: u64 = 6;
