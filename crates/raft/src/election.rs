//! Elections: a round that binds nobody, then votes that do.

use crate::campaign::Campaign;
use crate::lead::Lead;
use crate::node::Node;
use crate::types::{Message, Millis, Output, Payload, VoterId};

/// Elections lost in a row that make the next one wait for longer, twice as long each: two syncs of a second fit then.
const MOST_LOST: u32 = 3;

/// An election that another one split is held again after one to three of so many parts of the time that a leader may be
/// silent.
const SOON_PARTS: Millis = 4;

impl Node {
    /// Nothing was heard of a leader for too long.
    pub(crate) fn look_for_leader(&mut self, now: Millis, out: &mut Vec<Output>) {
        // Votes were not there in time: on slow disks the next election has to wait for longer, or none is ever won. Where
        // several stood in the same moment that would only hold up the next one.
        let lost = self.campaign.as_ref().is_some_and(|campaign| campaign.binding && !campaign.refused);
        self.lost_elections =
            if lost { (self.lost_elections + 1).min(MOST_LOST) } else { self.lost_elections };
        self.draw_election(now);
        self.leader = None;
        self.campaign = None;
        // Who is not on the list would only disturb those who are.
        if !self.is_voter() {
            return;
        }
        if self.faults.skip_pre_vote {
            return self.stand(now);
        }
        self.rounds += 1;
        self.campaign = Some(Campaign { binding: false, granted: Vec::new(), refused: false });
        let message = Message::PreVote {
            round: self.rounds,
            term: self.term + 1,
            last_index: self.log.last(),
            last_term: self.log.last_term(),
        };
        for to in self.others() {
            out.push(Output::Send { to, message: message.clone() });
        }
        self.count_vote(now, self.me.clone(), out);
    }

    fn stand(&mut self, now: Millis) {
        let (term, last_index, last_term) = self.become_candidate(now);
        self.ask_for_votes(Message::RequestVote { term, last_index, last_term });
    }

    /// The leader of this term has said that it gave up its lead to this node.
    pub(crate) fn stand_as_successor(&mut self, now: Millis) {
        let (term, last_index, last_term) = self.become_candidate(now);
        self.ask_for_votes(Message::RequestVoteAfterTransfer { term, last_index, last_term });
    }

    /// Begins the next term with a vote for itself. Gives that term, and index and term of the last entry.
    fn become_candidate(&mut self, now: Millis) -> (u64, u64, u64) {
        self.draw_election(now);
        let longer = (self.election_due - now).saturating_mul((1 << self.lost_elections) - 1);
        self.election_due = self.election_due.saturating_add(longer);
        self.term += 1;
        self.vote = Some(self.me.clone());
        self.verified = 0;
        self.unsaved.hard_state = true;
        // The own vote counts like any other: once it is on disk.
        self.unsaved.own_vote = Some(self.term);
        self.campaign = Some(Campaign { binding: true, granted: Vec::new(), refused: false });
        (self.term, self.log.last(), self.log.last_term())
    }

    fn ask_for_votes(&mut self, message: Message) {
        for to in self.others() {
            self.answer(to, message.clone());
        }
    }

    fn others(&self) -> Vec<VoterId> {
        self.members().iter().filter(|member| **member != self.me).cloned().collect()
    }

    /// Whether a vote now could break a lease that a leader may still count on.
    fn bound(&self, now: Millis) -> bool {
        if self.faults.vote_despite_leader {
            return false;
        }
        match &self.lead {
            Some(_) => self.quorum_at(now).saturating_add(self.timing.election) > now,
            None => now < self.bound_until,
        }
    }

    /// Whether a log that ends there has all that could be committed in this one.
    fn as_new(&self, (term, index): (u64, u64)) -> bool {
        (term, index) >= (self.log.last_term(), self.log.last())
    }

    /// The asker need not be on the list known here: this list may be the older one.
    pub(crate) fn pre_vote_requested(
        &mut self, now: Millis, from: VoterId, round: u64, term: u64, end: (u64, u64), out: &mut Vec<Output>,
    ) {
        let granted = term > self.term && self.as_new(end) && !self.bound(now);
        let message = Message::PreVoteAnswer { round, term: self.term, granted };
        out.push(Output::Send { to: from, message });
    }

    pub(crate) fn pre_vote_answered(
        &mut self, now: Millis, from: VoterId, round: u64, term: u64, granted: bool, out: &mut Vec<Output>,
    ) {
        if !self.is_member(&from) || round != self.rounds {
            return;
        }
        let sounding = self.campaign.as_ref().is_some_and(|campaign| !campaign.binding);
        if granted && sounding {
            self.count_vote(now, from, out);
        } else if sounding {
            self.see_term(now, term, out);
        }
    }

    pub(crate) fn vote_requested(
        &mut self, now: Millis, from: VoterId, term: u64, end: (u64, u64), out: &mut Vec<Output>,
    ) {
        // Whoever is bound does not even take the newer term: that would end a leader that works.
        if self.bound(now) {
            self.answer(from, Message::VoteAnswer { term: self.term, granted: false });
            return;
        }
        self.give_vote(now, from, term, end, out);
    }

    /// The leader of the term before has given up its lead to the one that asks: what this node is bound to is over.
    pub(crate) fn successor_requested(
        &mut self, now: Millis, from: VoterId, term: u64, end: (u64, u64), out: &mut Vec<Output>,
    ) {
        self.give_vote(now, from, term, end, out);
    }

    /// Votes if it may: once a term, and for nobody whose log lacks what could be committed here.
    fn give_vote(&mut self, now: Millis, from: VoterId, term: u64, end: (u64, u64), out: &mut Vec<Output>) {
        self.see_term(now, term, out);
        let free = self.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = term == self.term && free && self.as_new(end) && self.lead.is_none();
        if granted && self.vote.is_none() {
            self.vote = Some(from.clone());
            self.unsaved.hard_state = true;
            // Gives the one voted for the time to win.
            self.campaign = None;
            self.draw_election(now);
        }
        self.answer(from, Message::VoteAnswer { term: self.term, granted });
    }

    pub(crate) fn vote_answered(
        &mut self, now: Millis, from: VoterId, term: u64, granted: bool, out: &mut Vec<Output>,
    ) {
        if !self.is_member(&from) {
            return;
        }
        self.see_term(now, term, out);
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.binding && term == self.term)
        else {
            return;
        };
        if granted {
            self.count_vote(now, from, out);
        } else if !std::mem::replace(&mut campaign.refused, true) {
            self.stand_again_soon(now);
        }
    }

    /// Another one stands in the same moment. If neither wins, both wait for as long as for a leader that is silent, unless one
    /// of them stands again before: whoever has its own vote on disk does so after a part of that which is drawn. A winner's
    /// heartbeat comes sooner.
    fn stand_again_soon(&mut self, now: Millis) {
        let is_saved = self.campaign.as_ref().is_some_and(|campaign| campaign.granted.contains(&self.me));
        if !is_saved || self.lost_elections > 0 {
            return;
        }
        let part = self.timing.election / SOON_PARTS;
        let again = now + part + self.draw(part * 2);
        self.election_due = self.election_due.min(again);
    }

    pub(crate) fn count_vote(&mut self, now: Millis, from: VoterId, out: &mut Vec<Output>) {
        let Some(campaign) = &mut self.campaign else { return };
        if !campaign.granted.contains(&from) {
            campaign.granted.push(from);
        }
        let binding = campaign.binding;
        let granted = &self.campaign.as_ref().map(|campaign| campaign.granted.clone()).unwrap_or_default();
        let votes =
            self.members().iter().filter(|member| granted.iter().any(|one| self.same(member, one))).count();
        if votes <= self.members().len() / 2 {
            return;
        }
        if binding {
            self.take_the_lead(now, out);
        } else {
            self.stand(now);
        }
    }

    fn take_the_lead(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.campaign = None;
        self.leader = Some(self.me.clone());
        self.lost_elections = 0;
        self.lead = Some(Lead::new(now));
        self.follow_members(now);
        self.write(Payload::Noop);
        self.heartbeat(now, out);
        self.pump_all(now, out);
    }
}
