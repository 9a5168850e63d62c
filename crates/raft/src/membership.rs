//! Membership changes: one voter at a time, so that the majorities before and after a change overlap.

use crate::leader_state::{LeaderState, Peer};
use crate::node::Node;
use crate::tolerance::{
    Learner, MembershipStatus, RetirementPolicy, departure_helps, further_losses, promotion_helps,
    retirement_helps,
};
use crate::types::{Millis, Output, Payload, VoterId};

/// The maximum lag of a node that counts as caught up, in entries. While changes continue, some entries are always in
/// flight, so a lag of zero would never be observed.
const MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 8;
/// The maximum lag of a node that counts as caught up, in bytes: what a 2 Mbit/s link carries in half a second.
const MAX_CAUGHT_UP_LAG_BYTES: usize = 128 << 10;
/// The maximum number of learners.
const MAX_LEARNERS: usize = 8;
/// How long the leader keeps sending to a peer that is not a member, in election timeouts.
const PEER_RETENTION_ELECTIONS: u64 = 10;

impl Node {
    /// Tracks a peer for each member. A removed member remains a peer for a while so that it learns of its removal.
    pub(crate) fn sync_peers_with_members(&mut self, now: Millis) {
        let next = self.log.last() + 1;
        let expires_at = now + self.timing.election * PEER_RETENTION_ELECTIONS;
        let (me, members) = (self.me.clone(), self.members().to_vec());
        let Some(leader) = &mut self.leader_state else { return };
        for member in &members {
            if *member != me && leader.peer(member).is_none() {
                leader.peers.push(Peer::new(member.clone(), next));
            }
        }
        for peer in &mut leader.peers {
            if members.contains(&peer.id) {
                peer.promotion_requested = false;
                peer.expires_at = expires_at;
            }
        }
    }

    pub(crate) fn drop_expired_peers(&mut self, now: Millis) {
        let members = self.members().to_vec();
        let expires_at = now + self.timing.election * PEER_RETENTION_ELECTIONS;
        let Some(leader) = &mut self.leader_state else { return };
        for peer in leader.peers.iter_mut().filter(|peer| members.contains(&peer.id)) {
            peer.expires_at = expires_at;
        }
        leader.peers.retain(|peer| peer.expires_at > now);
    }

    pub(crate) fn add_voter(&mut self, now: Millis, voter: VoterId, out: &mut Vec<Output>) {
        if voter == self.me || self.members().contains(&voter) {
            return;
        }
        let next = self.log.last() + 1;
        let expires_at = now + self.timing.election * PEER_RETENTION_ELECTIONS;
        let learners = self.leader_state.iter().flat_map(|leader| &leader.peers);
        let learners = learners.filter(|peer| !self.members().contains(&peer.id)).count();
        let Some(leader) = &mut self.leader_state else { return };
        if leader.peer(&voter).is_none() {
            if learners >= MAX_LEARNERS {
                return;
            }
            leader.peers.push(Peer::new(voter.clone(), next));
        }
        if let Some(peer) = leader.peer(&voter) {
            peer.expires_at = expires_at;
            peer.promotion_requested = true;
        }
        self.replicate_to(now, &voter, out);
        self.promote_learner(now, &voter, out);
    }

    pub(crate) fn remove_voter(&mut self, now: Millis, voter: &VoterId, out: &mut Vec<Output>) {
        if self.members().contains(voter) && self.members().len() > 1 && self.may_change_members() {
            let list = self.members().iter().filter(|member| *member != voter).cloned().collect();
            self.append_members(now, list, out);
        }
    }

    /// Removes a voter that is about to shut down, if the number of voters is even. Removing it keeps the number of
    /// tolerated losses, without waiting for the silence timeout.
    pub(crate) fn on_voter_shutdown(&mut self, now: Millis, voter: &VoterId, out: &mut Vec<Output>) {
        let helps = departure_helps(self.members().len(), self.retirement.min_voters);
        if helps && self.holds_lease(now) {
            self.remove_voter(now, voter, out);
        }
    }

    /// Promotes a learner to a voter if the learner has caught up, no other change is pending and the promotion does
    /// not reduce the number of tolerated losses. A voter with the same address and another incarnation is removed
    /// first, in a separate entry: replacing a voter in one step may form a majority that does not overlap with an
    /// old majority. The replaced voter has lost its disk and never returns, so its removal loses no live voter.
    pub(crate) fn promote_learner(&mut self, now: Millis, voter: &VoterId, out: &mut Vec<Output>) {
        if !self.is_ready_to_join(voter, now) || !self.may_change_members() {
            return;
        }
        if let Some(predecessor) = self.predecessor_of(voter).cloned() {
            // After several simultaneous disk losses the list would otherwise shrink by all of them before it grows
            // again.
            if !self.other_learner_joins_first(voter, now) {
                self.remove_voter(now, &predecessor, out);
            }
        } else if self.can_add_voter(now) {
            let mut list = self.members().to_vec();
            list.push(voter.clone());
            self.append_members(now, list, out);
        }
    }

    /// Whether a learner has requested promotion, has caught up and is responsive. Adding an unresponsive voter
    /// could cost the leader of a small list its majority.
    fn is_ready_to_join(&self, learner: &VoterId, now: Millis) -> bool {
        let peer = self.leader_state.iter().flat_map(|leader| &leader.peers).find(|peer| peer.id == *learner);
        let requested = peer.is_some_and(|peer| peer.promotion_requested && self.has_caught_up(peer));
        requested && !self.members().contains(learner) && self.is_responsive(learner, now)
    }

    /// The current voter at the same address, whose disk was replaced.
    fn predecessor_of(&self, voter: &VoterId) -> Option<&VoterId> {
        self.members().iter().find(|member| member.address == voter.address)
    }

    fn other_learner_joins_first(&self, voter: &VoterId, now: Millis) -> bool {
        let learners = self.leader_state.iter().flat_map(|leader| &leader.peers).map(|peer| &peer.id);
        let mut others = learners.filter(|id| *id != voter && self.predecessor_of(id).is_none());
        others.any(|id| self.is_ready_to_join(id, now)) && self.can_add_voter(now)
    }

    fn can_add_voter(&self, now: Millis) -> bool {
        let unresponsive = self.other_voters().filter(|voter| !self.is_responsive(voter, now)).count();
        promotion_helps(self.members().len(), unresponsive, self.silent_voters(now).len())
    }

    fn has_caught_up(&self, peer: &Peer) -> bool {
        if self.faults.promote_lagging_learners {
            return true;
        }
        let last = self.log.last();
        if peer.match_index == 0 || peer.match_index + MAX_CAUGHT_UP_LAG_ENTRIES < last {
            return false;
        }
        let missing_entries = (peer.match_index + 1..=last).filter_map(|index| self.log.get(index));
        missing_entries.map(|entry| entry.payload.size()).sum::<usize>() <= MAX_CAUGHT_UP_LAG_BYTES
    }

    fn other_voters(&self) -> impl Iterator<Item = &VoterId> {
        self.members().iter().filter(|member| **member != self.me)
    }

    /// Sets the policy for removing silent voters.
    pub fn set_retirement_policy(&mut self, policy: RetirementPolicy) {
        self.retirement = policy;
    }

    /// Records whether the leader has held its lease without a gap. Only then does a voter's silence indicate a
    /// problem of the voter: a leader that was frozen, or partitioned from a majority, receives all responses late.
    pub(crate) fn update_stable_since(&mut self, now: Millis) {
        let holds = self.holds_lease(now);
        let max_gap = self.timing.lease;
        let Some(leader) = &mut self.leader_state else { return };
        if !holds || leader.stability_checked_at.saturating_add(max_gap) < now {
            leader.stable_since = now;
        }
        leader.stability_checked_at = now;
    }

    /// Voters that have answered no heartbeat for the silence timeout, the longest silent voter first.
    fn silent_voters(&self, now: Millis) -> Vec<VoterId> {
        let Some(leader) = &self.leader_state else { return Vec::new() };
        let mut silent: Vec<(Millis, &VoterId)> = self
            .other_voters()
            .map(|voter| (leader.answered_heartbeat_at(voter).max(leader.stable_since), voter))
            .filter(|(last_contact, _)| last_contact.saturating_add(self.retirement.silence_timeout) <= now)
            .collect();
        silent.sort_unstable();
        silent.into_iter().map(|(_, voter)| voter.clone()).collect()
    }

    /// Removes a silent voter if the removal increases the number of tolerated losses.
    pub(crate) fn retire_silent_voter(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.holds_lease(now) || !self.may_change_members() {
            return;
        }
        let silent = self.silent_voters(now);
        let Some(first) = silent.first() else { return };
        let min_voters = self.retirement.min_voters;
        if self.faults.retire_unconditionally
            || retirement_helps(self.members().len(), silent.len(), min_voters)
        {
            self.remove_voter(now, first, out);
        }
    }

    /// The leader's view of the membership; `None` if this node does not hold the lease.
    pub fn membership_status(&self, now: Millis) -> Option<MembershipStatus> {
        let leader = self.leader_state.as_ref().filter(|_| self.holds_lease(now))?;
        let (voters, healthy) = (self.members(), self.healthy_voters(self.members(), now));
        let mut losses = further_losses(voters.len(), healthy.len());
        if !self.membership_committed() {
            // The newest list may not be committed yet: if the leader fails now, the previous list may apply again.
            let (previous, _) = self.log.members_as_of(self.log.members_index() - 1);
            losses = losses.min(further_losses(previous.len(), self.healthy_voters(&previous, now).len()));
        }
        let learners =
            leader.peers.iter().filter(|peer| peer.promotion_requested && !voters.contains(&peer.id));
        Some(MembershipStatus {
            voters: voters.len(),
            healthy,
            further_losses: losses,
            unresponsive: self
                .other_voters()
                .filter(|voter| !self.is_responsive(voter, now))
                .cloned()
                .collect(),
            learners: learners
                .map(|peer| Learner { id: peer.id.clone(), caught_up: self.has_caught_up(peer) })
                .collect(),
        })
    }

    /// The voters that are responsive and have caught up.
    fn healthy_voters(&self, voters: &[VoterId], now: Millis) -> Vec<VoterId> {
        let caught_up = |voter: &VoterId| {
            let peer =
                self.leader_state.iter().flat_map(|leader| &leader.peers).find(|peer| peer.id == *voter);
            peer.is_some_and(|peer| self.has_caught_up(peer))
        };
        let is_healthy =
            |voter: &&VoterId| **voter == self.me || self.is_responsive(voter, now) && caught_up(voter);
        voters.iter().filter(is_healthy).cloned().collect()
    }

    /// Whether this leader may change the list of voters: the previous change and an entry of its own term must be
    /// committed. Without the latter, two successive leaders could make changes whose majorities overlap with the
    /// old list but not with each other.
    fn may_change_members(&self) -> bool {
        let committed = self.log.term_at(self.commit) == Some(self.term);
        self.leader_state.is_some()
            && committed
            && (self.membership_committed() || self.faults.overlapping_list_changes)
    }

    fn append_members(&mut self, now: Millis, list: Vec<VoterId>, out: &mut Vec<Output>) {
        self.append(Payload::Members(list));
        self.sync_peers_with_members(now);
        self.replicate_to_all(now, out);
        // The new list is effective at once. Removing a lost voter may already commit pending entries.
        self.advance_commit(now, out);
    }
}

impl LeaderState {
    /// The send time of the newest heartbeat that `voter` has answered; 0 if there is none.
    fn answered_heartbeat_at(&self, voter: &VoterId) -> Millis {
        self.peers
            .iter()
            .find(|peer| peer.id == *voter)
            .and_then(|peer| peer.answered_heartbeat_at)
            .unwrap_or(0)
    }
}
