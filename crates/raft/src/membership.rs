//! Who votes: one change at a time, so that the majorities before and after it overlap.

use crate::leader_state::{LeaderState, Peer};
use crate::node::Node;
use crate::tolerance::{
    Learner, MembershipStatus, RetirementPolicy, departure_helps, further_losses, promotion_helps,
    retirement_helps,
};
use crate::types::{Millis, Output, Payload, VoterId};

/// How many entries a node that has caught up may lack, and how many bytes of them: what is under way while changes
/// go on, and what a link of 2 Mbit/s carries in half a second.
const MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 8;
const MAX_CAUGHT_UP_LAG_BYTES: usize = 128 << 10;
/// How many of those that are not on the list are kept in mind, and for how many elections.
const MAX_LEARNERS: usize = 8;
const PEER_RETENTION_ELECTIONS: u64 = 10;

impl Node {
    /// Keeps in mind who is on the list, and for a while who has left it: it is to learn that.
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

    /// A voter is about to end. Off an even list it leaves what is borne as it is, without waiting for its silence.
    pub(crate) fn on_voter_shutdown(&mut self, now: Millis, voter: &VoterId, out: &mut Vec<Output>) {
        let helps = departure_helps(self.members().len(), self.retirement.min_voters);
        if helps && self.holds_lease(now) {
            self.remove_voter(now, voter, out);
        }
    }

    /// Adds a learner to the list, if it has caught up, no other change is under way and the list bears no less with
    /// it. Whoever was at its address goes first, in an entry of its own: a list with one voter exchanged may have a
    /// majority that the old list lacks. That voter never comes back, so the list loses nothing without it.
    pub(crate) fn promote_learner(&mut self, now: Millis, voter: &VoterId, out: &mut Vec<Output>) {
        if !self.is_ready_to_join(voter, now) || !self.may_change_members() {
            return;
        }
        if let Some(predecessor) = self.predecessor_of(voter).cloned() {
            // With several lost disks at once the list would shrink by all of them before it grows again.
            if !self.other_learner_joins_first(voter, now) {
                self.remove_voter(now, &predecessor, out);
            }
        } else if self.can_add_voter(now) {
            let mut list = self.members().to_vec();
            list.push(voter.clone());
            self.append_members(now, list, out);
        }
    }

    /// Whether a node wants to be a voter, has caught up and has answered a heartbeat lately: one that is silent would
    /// take the majority with it from a leader that has few others.
    fn is_ready_to_join(&self, learner: &VoterId, now: Millis) -> bool {
        let peer = self.leader_state.iter().flat_map(|leader| &leader.peers).find(|peer| peer.id == *learner);
        let requested = peer.is_some_and(|peer| peer.promotion_requested && self.has_caught_up(peer));
        requested && !self.members().contains(learner) && self.is_responsive(learner, now)
    }

    /// The voter whose disk this one's address had before.
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

    /// Sets when silent voters are taken off the list.
    pub fn set_retirement_policy(&mut self, policy: RetirementPolicy) {
        self.retirement = policy;
    }

    /// Notes whether this leader has led without a break. Only while it does is a voter's silence the voter's own: a
    /// leader that was frozen, or cut off from a majority, hears all others late.
    pub(crate) fn update_stable_since(&mut self, now: Millis) {
        let holds = self.holds_lease(now);
        let max_gap = self.timing.lease;
        let Some(leader) = &mut self.leader_state else { return };
        if !holds || leader.stability_checked_at.saturating_add(max_gap) < now {
            leader.stable_since = now;
        }
        leader.stability_checked_at = now;
    }

    /// Voters that have answered nothing for as long as the policy says, the one that is silent longest first.
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

    /// Takes a silent voter off the list, if the list then bears one more loss than with it.
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

    /// What this leader knows of its voters; nothing if it does not hold the lease.
    pub fn membership_status(&self, now: Millis) -> Option<MembershipStatus> {
        let leader = self.leader_state.as_ref().filter(|_| self.holds_lease(now))?;
        let (voters, healthy) = (self.members(), self.healthy_voters(self.members(), now));
        let mut losses = further_losses(voters.len(), healthy.len());
        if !self.membership_committed() {
            // If the leader is lost now, the list before this one may be in force again.
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

    /// Those of these voters that are heard and have caught up.
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

    /// Two leaders could each make a change that overlaps with the old list but not with the other's, unless the later
    /// one has an entry of its own term committed first.
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
        // The new list counts at once: without a lost voter what was written may be committed already.
        self.advance_commit(now, out);
    }
}

impl LeaderState {
    /// When the newest heartbeat was sent that this voter has answered; 0 if none was.
    fn answered_heartbeat_at(&self, voter: &VoterId) -> Millis {
        self.peers
            .iter()
            .find(|peer| peer.id == *voter)
            .and_then(|peer| peer.answered_heartbeat_at)
            .unwrap_or(0)
    }
}
