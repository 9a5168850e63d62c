//! The state machine: what is common to all roles, and how what depends on the disk is held back.

use std::collections::VecDeque;

use crate::campaign::Campaign;
use crate::leader_state::LeaderState;
use crate::log::Log;
use crate::tolerance::{RetirementPolicy, departure_helps, min_voters};
use crate::transfer::{IncomingTransfer, TransferLimits};
use crate::types::{
    Entry, Input, Message, Millis, Output, Payload, PersistentState, Role, Save, Timing, VoterId,
};

/// Faults that tests plant to see that they are found. All off in service.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
#[cfg_attr(test, derive(Hash))]
pub struct Faults {
    /// Votes are not written to disk.
    pub unsaved_votes: bool,
    /// Entries of older terms count as committed once a majority has them.
    pub commit_old_terms: bool,
    /// A voter that lost its disk is taken for the one that it was.
    pub any_incarnation: bool,
    /// Voters vote although they hear a leader, and right after a start.
    pub vote_despite_leader: bool,
    /// Answers do not wait for the disk.
    pub reply_before_sync: bool,
    /// Elections without a sounding before them. Not wrong in itself, but it hides other faults.
    pub skip_pre_vote: bool,
    /// A transfer in pieces starts from its first byte whenever a piece is lost.
    pub restart_transfers: bool,
    /// Pieces of several transfers are put together, without a look at their checksum.
    pub mix_transfers: bool,
    /// A compaction ends transfers of the snapshot before.
    pub compaction_aborts_transfers: bool,
    /// No entry that a snapshot stands for is retained.
    pub retain_no_entries: bool,
    /// Entries and pieces count as lost after a fixed time, however slow the link is.
    pub fixed_loss_timeout: bool,
    /// Leader and followers answer before an entry of the leader's term is committed.
    pub serve_before_own_commit: bool,
    /// A learner is added to the list whatever it lacks.
    pub promote_lagging_learners: bool,
    /// A silent voter is taken off the list whether or not that helps.
    pub retire_unconditionally: bool,
    /// A list is changed while the change before it is not committed.
    pub overlapping_list_changes: bool,
    /// A leader goes on leading after it has handed its lead to another voter.
    pub keep_leading_after_transfer: bool,
}

impl Faults {
    /// As in service.
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

/// Each life of a node begins to number its rounds of pre-votes somewhere below this.
const MAX_INITIAL_PRE_VOTE_ROUND: u64 = (1 << 48) - 1;

/// What waits for a save.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct PendingSave {
    ticket: u64,
    /// Up to where the log is on disk with it.
    last_index: u64,
    term: u64,
    replies: Vec<Output>,
    /// The term in which the own vote for itself is on disk with it.
    own_vote: Option<u64>,
}

/// What one input has changed of what must be on disk.
#[derive(Debug, Default)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct UnsavedChanges {
    pub(crate) hard_state: bool,
    pub(crate) truncate: Option<u64>,
    pub(crate) first_entry: Option<u64>,
    pub(crate) snapshot: bool,
    pub(crate) own_vote: Option<u64>,
}

/// One voter, or one that wants to become one.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub struct Node {
    pub(crate) me: VoterId,
    pub(crate) timing: Timing,
    pub(crate) retirement: RetirementPolicy,
    pub(crate) faults: Faults,
    pub(crate) term: u64,
    pub(crate) vote: Option<VoterId>,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    /// Up to where a leader has said that the log is committed.
    pub(crate) leader_commit: u64,
    pub(crate) leader: Option<VoterId>,
    /// Present while this node leads.
    pub(crate) leader_state: Option<LeaderState>,
    /// Present while it asks for votes.
    pub(crate) campaign: Option<Campaign>,
    pub(crate) pre_vote_round: u64,
    pub(crate) election_deadline: Millis,
    /// Elections in a row that ended without a leader.
    pub(crate) failed_elections: u32,
    /// Until then no vote is given: a leader's lease may rest on what this node answered.
    pub(crate) votes_withheld_until: Millis,
    /// Up to where the log is surely that of this term's leader.
    pub(crate) verified_index: u64,
    /// Up to where the log is on disk.
    pub(crate) durable_index: u64,
    pub(crate) durable_term: u64,
    pub(crate) last_ticket: u64,
    pub(crate) pending_saves: VecDeque<PendingSave>,
    pub(crate) unsaved: UnsavedChanges,
    replies: Vec<Output>,
    /// A payload whose pieces are coming in.
    pub(crate) incoming: Option<IncomingTransfer>,
    pub(crate) limits: TransferLimits,
    pub(crate) reported_role: Role,
    pub(crate) rng_state: u64,
}

impl Node {
    /// A node with what its disk has. The host has restored its own state from the snapshot.
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
            // Late answers to rounds of an earlier life of this node are to none of this one.
            pre_vote_round: seed & MAX_INITIAL_PRE_VOTE_ROUND,
            election_deadline: 0,
            failed_elections: 0,
            // What it answered before it went down is forgotten, so it keeps still for as long as that could count.
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

    /// Takes one input and says what is to be done.
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

    /// Whether this node leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.leader_state.is_some()
    }

    /// Who leads, as far as known.
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// The newest term seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Up to where the log is committed, as far as known.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Whether entries are committed that this node lacks. A leader sends no more of them than its window holds to one
    /// whose answers do not reach it; its heartbeats still come, so that hearing them proves nothing about the log here.
    ///
    /// So does a node that has not committed an entry of this term: a new leader does not know yet what its predecessors
    /// had committed, and names its snapshot only. With its own first entry all of that is applied here.
    pub fn lags(&self) -> bool {
        let of_this_term = self.log.term_at(self.commit) == Some(self.term);
        self.leader_commit > self.commit || !(of_this_term || self.faults.serve_before_own_commit)
    }

    /// The voters, as of the newest list in the log.
    pub fn members(&self) -> &[VoterId] {
        self.log.members()
    }

    /// Who this node is.
    pub fn me(&self) -> &VoterId {
        &self.me
    }

    /// Whether it is a voter itself.
    pub fn is_voter(&self) -> bool {
        self.is_member(&self.me)
    }

    /// Whether it had better leave the list before it ends: what is left then bears more.
    pub fn should_leave(&self) -> bool {
        self.is_voter() && departure_helps(self.members().len(), self.retirement.min_voters)
    }

    /// Whether the newest list of voters is committed.
    pub fn membership_committed(&self) -> bool {
        self.log.members_index() <= self.commit
    }

    /// Whether this leader has heard a voter: it has answered a heartbeat that was sent within an election before now.
    pub fn is_responsive(&self, voter: &VoterId, now: Millis) -> bool {
        let answered =
            |leader: &LeaderState| leader.peers.iter().find(|peer| peer.id == *voter)?.answered_heartbeat_at;
        let answered = self.leader_state.as_ref().and_then(answered);
        answered.is_some_and(|at| at.saturating_add(self.timing.election) > now)
    }

    /// Whether this leader has led for an election without a break: before, who is not heard may not have been asked yet.
    pub fn has_led_for_election_timeout(&self, now: Millis) -> bool {
        self.leader_state
            .as_ref()
            .is_some_and(|leader| leader.stable_since.saturating_add(self.timing.election) <= now)
    }

    /// When `Tick` is wanted next.
    pub fn next_due(&self) -> Millis {
        self.leader_state.as_ref().map_or(self.election_deadline, |leader| leader.next_heartbeat_at)
    }

    fn receive(&mut self, now: Millis, from: VoterId, message: Message, out: &mut Vec<Output>) {
        // No fleet gets to such a term; counting on from there would overflow.
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

    /// An answer that depends on what this node has promised: it leaves once all of that is on disk.
    pub(crate) fn reply_after_sync(&mut self, to: VoterId, message: Message) {
        self.replies.push(Output::Send { to, message });
    }

    /// One save for all that an input has changed, and what waits for it.
    fn flush(&mut self, out: &mut Vec<Output>) {
        let replies = std::mem::take(&mut self.replies);
        let unsaved = std::mem::take(&mut self.unsaved);
        let any = unsaved.hard_state
            || unsaved.truncate.is_some()
            || unsaved.first_entry.is_some()
            || unsaved.snapshot;
        if any {
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
            // A stuck disk must not make an endless queue; who asks again is answered again.
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

    /// A newer term ends whatever this node was in the old one.
    pub(crate) fn observe_term(&mut self, now: Millis, term: u64, out: &mut Vec<Output>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.verified_index = 0;
            self.unsaved.hard_state = true;
            self.step_down(now, out);
        }
    }

    /// Neither leads nor stands any longer, and knows of no leader.
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

    /// Entries from this index on go away, in memory and on disk.
    pub(crate) fn truncate_log(&mut self, from: u64) {
        self.log.truncate(from);
        let last = from.saturating_sub(1);
        self.durable_index = self.durable_index.min(last);
        // A save under way may still bring entries to disk that the one after it takes away.
        self.pending_saves.iter_mut().for_each(|pending| pending.last_index = pending.last_index.min(last));
        self.unsaved.truncate = Some(self.unsaved.truncate.map_or(from, |before| before.min(from)));
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

    pub(crate) fn is_same_voter(&self, one: &VoterId, other: &VoterId) -> bool {
        one == other || (self.faults.any_incarnation && one.address == other.address)
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Millis) {
        let least = self.timing.election;
        self.election_deadline = now.saturating_add(least).saturating_add(self.random_below(least));
    }

    /// A number below `limit` (splitmix64): all it must do is to differ between nodes.
    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.rng_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit.max(1)
    }
}

const MAX_DEFERRED_REPLIES: usize = 256;
/// A voter counts as gone after a silence of so many elections, unless the host says otherwise.
const DEFAULT_SILENCE_ELECTIONS: u64 = 6;
