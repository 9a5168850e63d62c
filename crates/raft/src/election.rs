//! Elections: a round that binds nobody, then votes that do.

use crate::campaign::Campaign;
use crate::leader_state::LeaderState;
use crate::node::Node;
use crate::types::{Message, Millis, Output, Payload, VoterId};

/// Elections lost in a row that make the next one wait for longer, twice as long each: two syncs of a second fit then.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// An election that another one split is held again after one to three of so many parts of the time that a leader may be
/// silent.
const SPLIT_VOTE_RETRY_DIVISOR: Millis = 4;

impl Node {
    /// Nothing was heard of a leader for too long.
    pub(crate) fn start_pre_vote(&mut self, now: Millis, out: &mut Vec<Output>) {
        // Votes were not there in time: on slow disks the next election has to wait for longer, or none is ever won. Where
        // several stood in the same moment that would only hold up the next one.
        let lost = self.campaign.as_ref().is_some_and(|campaign| campaign.is_election && !campaign.refused);
        self.failed_elections =
            if lost { (self.failed_elections + 1).min(MAX_BACKOFF_DOUBLINGS) } else { self.failed_elections };
        self.reset_election_deadline(now);
        self.leader = None;
        self.campaign = None;
        // Who is not on the list would only disturb those who are.
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

    /// The leader of this term has said that it gave up its lead to this node.
    pub(crate) fn start_election_after_transfer(&mut self, now: Millis) {
        let (term, last_index, last_term) = self.become_candidate(now);
        self.request_votes(Message::RequestVoteAfterTransfer { term, last_index, last_term });
    }

    /// Begins the next term with a vote for itself. Gives that term, and index and term of the last entry.
    fn become_candidate(&mut self, now: Millis) -> (u64, u64, u64) {
        self.reset_election_deadline(now);
        let longer = (self.election_deadline - now).saturating_mul((1 << self.failed_elections) - 1);
        self.election_deadline = self.election_deadline.saturating_add(longer);
        self.term += 1;
        self.vote = Some(self.me.clone());
        self.verified_index = 0;
        self.unsaved.hard_state = true;
        // The own vote counts like any other: once it is on disk.
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

    /// Whether a vote now could break a lease that a leader may still count on.
    fn withholds_vote(&self, now: Millis) -> bool {
        if self.faults.vote_despite_leader {
            return false;
        }
        match &self.leader_state {
            Some(_) => self.last_quorum_contact(now).saturating_add(self.timing.election) > now,
            None => now < self.votes_withheld_until,
        }
    }

    /// Whether a log that ends there has all that could be committed in this one.
    fn is_up_to_date(&self, (term, index): (u64, u64)) -> bool {
        (term, index) >= (self.log.last_term(), self.log.last())
    }

    /// The asker need not be on the list known here: this list may be the older one.
    pub(crate) fn on_pre_vote(
        &mut self, now: Millis, from: VoterId, round: u64, term: u64, end: (u64, u64), out: &mut Vec<Output>,
    ) {
        let granted = term > self.term && self.is_up_to_date(end) && !self.withholds_vote(now);
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
        &mut self, now: Millis, from: VoterId, term: u64, end: (u64, u64), out: &mut Vec<Output>,
    ) {
        // Whoever is bound does not even take the newer term: that would end a leader that works.
        if self.withholds_vote(now) {
            self.reply_after_sync(from, Message::VoteAnswer { term: self.term, granted: false });
            return;
        }
        self.decide_vote(now, from, term, end, out);
    }

    /// The leader of the term before has given up its lead to the one that asks: what this node is bound to is over.
    pub(crate) fn on_request_vote_after_transfer(
        &mut self, now: Millis, from: VoterId, term: u64, end: (u64, u64), out: &mut Vec<Output>,
    ) {
        self.decide_vote(now, from, term, end, out);
    }

    /// Votes if it may: once a term, and for nobody whose log lacks what could be committed here.
    fn decide_vote(&mut self, now: Millis, from: VoterId, term: u64, end: (u64, u64), out: &mut Vec<Output>) {
        self.observe_term(now, term, out);
        let free = self.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = term == self.term && free && self.is_up_to_date(end) && self.leader_state.is_none();
        if granted && self.vote.is_none() {
            self.vote = Some(from.clone());
            self.unsaved.hard_state = true;
            // Gives the one voted for the time to win.
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

    /// Another one stands in the same moment. If neither wins, both wait for as long as for a leader that is silent, unless one
    /// of them stands again before: whoever has its own vote on disk does so after a part of that which is drawn. A winner's
    /// heartbeat comes sooner.
    fn retry_election_soon(&mut self, now: Millis) {
        let is_saved = self.campaign.as_ref().is_some_and(|campaign| campaign.granted.contains(&self.me));
        if !is_saved || self.failed_elections > 0 {
            return;
        }
        let part = self.timing.election / SPLIT_VOTE_RETRY_DIVISOR;
        let again = now + part + self.random_below(part * 2);
        self.election_deadline = self.election_deadline.min(again);
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
            .filter(|member| granted.iter().any(|one| self.is_same_voter(member, one)))
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
