//! Elections: a non-binding pre-vote, followed by the vote.

use crate::campaign::Campaign;
use crate::leader_state::LeaderState;
use crate::node::Node;
use crate::types::{Message, Millis, Output, Payload, VoterId};

/// The maximum number of times that lost elections double the next election timeout. With three doublings, two disk
/// syncs of one second each fit into an election.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// After a split vote the next election starts after one to three times the minimum election timeout divided by this
/// value.
const SPLIT_VOTE_RETRY_DIVISOR: Millis = 4;

impl Node {
    /// Starts a pre-vote after an election timeout without a leader.
    pub(crate) fn start_pre_vote(&mut self, now: Millis, out: &mut Vec<Output>) {
        // `timed_out`: votes did not arrive in time. With slow disks the next election needs a longer timeout, or no
        // election ever succeeds. After a split vote (`refused`) a longer timeout would only delay the next election.
        let timed_out =
            self.campaign.as_ref().is_some_and(|campaign| campaign.is_election && !campaign.refused);
        self.failed_elections = if timed_out {
            (self.failed_elections + 1).min(MAX_BACKOFF_DOUBLINGS)
        } else {
            self.failed_elections
        };
        self.reset_election_deadline(now);
        self.leader = None;
        self.campaign = None;
        // An election started by a node that is not a voter would only disrupt the voters.
        if !self.is_voter() {
            return;
        }
        if self.faults.skip_pre_vote {
            return self.start_election(now);
        }
        self.pre_vote_round += 1;
        self.campaign = Some(Campaign { is_election: false, granted: Vec::new(), refused: false });
        let message = Message::PreVote {
            round: self.pre_vote_round,
            term: self.term + 1,
            last_index: self.log.last(),
            last_term: self.log.last_term(),
        };
        for to in self.other_members() {
            out.push(Output::Send { to, message: message.clone() });
        }
        self.count_vote(now, self.me.clone(), out);
    }

    fn start_election(&mut self, now: Millis) {
        let (term, last_index, last_term) = self.become_candidate(now);
        self.request_votes(Message::RequestVote { term, last_index, last_term });
    }

    /// Starts an election after the leader of this term has transferred its leadership to this node.
    pub(crate) fn start_election_after_transfer(&mut self, now: Millis) {
        let (term, last_index, last_term) = self.become_candidate(now);
        self.request_votes(Message::RequestVoteAfterTransfer { term, last_index, last_term });
    }

    /// Enters the next term and votes for itself. Returns the new term, and the index and term of the last log entry.
    fn become_candidate(&mut self, now: Millis) -> (u64, u64, u64) {
        self.reset_election_deadline(now);
        let extension = (self.election_deadline - now).saturating_mul((1 << self.failed_elections) - 1);
        self.election_deadline = self.election_deadline.saturating_add(extension);
        self.term += 1;
        self.vote = Some(self.me.clone());
        self.verified_index = 0;
        self.unsaved.hard_state = true;
        // A vote for itself counts only once it is on disk, like any other vote.
        self.unsaved.own_vote = Some(self.term);
        self.campaign = Some(Campaign { is_election: true, granted: Vec::new(), refused: false });
        (self.term, self.log.last(), self.log.last_term())
    }

    fn request_votes(&mut self, message: Message) {
        for to in self.other_members() {
            self.reply_after_sync(to, message.clone());
        }
    }

    fn other_members(&self) -> Vec<VoterId> {
        self.members().iter().filter(|member| **member != self.me).cloned().collect()
    }

    /// Whether granting a vote now could violate a leader's lease.
    fn withholds_vote(&self, now: Millis) -> bool {
        if self.faults.vote_despite_leader {
            return false;
        }
        match &self.leader_state {
            Some(_) => self.last_quorum_contact(now).saturating_add(self.timing.election) > now,
            None => now < self.votes_withheld_until,
        }
    }

    /// Whether a log with the given last term and index is at least as up to date as this log.
    fn is_up_to_date(&self, (term, index): (u64, u64)) -> bool {
        (term, index) >= (self.log.last_term(), self.log.last())
    }

    /// Answers a pre-vote request. The sender need not be on this node's list of members, which may be outdated.
    pub(crate) fn on_pre_vote(
        &mut self, now: Millis, from: VoterId, round: u64, term: u64, log_end: (u64, u64),
        out: &mut Vec<Output>,
    ) {
        let granted = term > self.term && self.is_up_to_date(log_end) && !self.withholds_vote(now);
        let message = Message::PreVoteAnswer { round, term: self.term, granted };
        out.push(Output::Send { to: from, message });
    }

    pub(crate) fn on_pre_vote_answer(
        &mut self, now: Millis, from: VoterId, round: u64, term: u64, granted: bool, out: &mut Vec<Output>,
    ) {
        if !self.is_member(&from) || round != self.pre_vote_round {
            return;
        }
        let is_pre_vote = self.campaign.as_ref().is_some_and(|campaign| !campaign.is_election);
        if granted && is_pre_vote {
            self.count_vote(now, from, out);
        } else if is_pre_vote {
            self.observe_term(now, term, out);
        }
    }

    pub(crate) fn on_request_vote(
        &mut self, now: Millis, from: VoterId, term: u64, log_end: (u64, u64), out: &mut Vec<Output>,
    ) {
        // A node that withholds its vote does not adopt the higher term either, since that would depose a working
        // leader.
        if self.withholds_vote(now) {
            self.reply_after_sync(from, Message::VoteAnswer { term: self.term, granted: false });
            return;
        }
        self.decide_vote(now, from, term, log_end, out);
    }

    /// Answers a vote request after a leadership transfer. The leader of the previous term has stepped down in favor
    /// of the sender, so the lease that this node may have granted is void.
    pub(crate) fn on_request_vote_after_transfer(
        &mut self, now: Millis, from: VoterId, term: u64, log_end: (u64, u64), out: &mut Vec<Output>,
    ) {
        self.decide_vote(now, from, term, log_end, out);
    }

    /// Grants a vote at most once per term, and only to a candidate whose log is at least as up to date as this log.
    fn decide_vote(
        &mut self, now: Millis, from: VoterId, term: u64, log_end: (u64, u64), out: &mut Vec<Output>,
    ) {
        self.observe_term(now, term, out);
        let can_vote = self.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted =
            term == self.term && can_vote && self.is_up_to_date(log_end) && self.leader_state.is_none();
        if granted && self.vote.is_none() {
            self.vote = Some(from.clone());
            self.unsaved.hard_state = true;
            // Gives the candidate time to win the election.
            self.campaign = None;
            self.reset_election_deadline(now);
        }
        self.reply_after_sync(from, Message::VoteAnswer { term: self.term, granted });
    }

    pub(crate) fn on_vote_answer(
        &mut self, now: Millis, from: VoterId, term: u64, granted: bool, out: &mut Vec<Output>,
    ) {
        if !self.is_member(&from) {
            return;
        }
        self.observe_term(now, term, out);
        let Some(campaign) =
            self.campaign.as_mut().filter(|campaign| campaign.is_election && term == self.term)
        else {
            return;
        };
        if granted {
            self.count_vote(now, from, out);
        } else if !std::mem::replace(&mut campaign.refused, true) {
            self.retry_election_soon(now);
        }
    }

    /// Retries soon after a split vote. If neither of two concurrent candidates wins, both would wait for a whole
    /// election timeout. A candidate whose own vote is on disk retries after a random fraction of the timeout
    /// instead. If another candidate wins, its heartbeat arrives before the retry.
    fn retry_election_soon(&mut self, now: Millis) {
        let own_vote_saved =
            self.campaign.as_ref().is_some_and(|campaign| campaign.granted.contains(&self.me));
        if !own_vote_saved || self.failed_elections > 0 {
            return;
        }
        let step = self.timing.election / SPLIT_VOTE_RETRY_DIVISOR;
        let retry_at = now + step + self.random_below(step * 2);
        self.election_deadline = self.election_deadline.min(retry_at);
    }

    pub(crate) fn count_vote(&mut self, now: Millis, from: VoterId, out: &mut Vec<Output>) {
        let Some(campaign) = &mut self.campaign else { return };
        if !campaign.granted.contains(&from) {
            campaign.granted.push(from);
        }
        let is_election = campaign.is_election;
        let granted = &self.campaign.as_ref().map(|campaign| campaign.granted.clone()).unwrap_or_default();
        let votes = self
            .members()
            .iter()
            .filter(|member| granted.iter().any(|voter| self.is_same_voter(member, voter)))
            .count();
        if votes <= self.members().len() / 2 {
            return;
        }
        if is_election {
            self.become_leader(now, out);
        } else {
            self.start_election(now);
        }
    }

    fn become_leader(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.campaign = None;
        self.leader = Some(self.me.clone());
        self.failed_elections = 0;
        self.leader_state = Some(LeaderState::new(now));
        self.sync_peers_with_members(now);
        self.append(Payload::Noop);
        self.send_heartbeats(now, out);
        self.replicate_to_all(now, out);
    }
}
