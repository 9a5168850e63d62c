//! Removes time-dependent values from the states of the search.

use super::world::NOW;
use crate::node::Node;
use crate::types::{Millis, Role};

impl Node {
    /// Resets every value that depends on time or is only reported, so that states that differ in nothing else are
    /// equal. The search itself decides when a timer fires.
    pub(super) fn forget_time(&mut self) {
        self.election_deadline = Millis::MAX;
        self.votes_withheld_until = 0;
        self.failed_elections = 0;
        self.pre_vote_round = 0;
        self.leader = None;
        self.rng_state = 0;
        self.reported_role = Role::Follower { term: 0, leader: None };
        let members = self.members().to_vec();
        let Some(leader) = &mut self.leader_state else { return };
        (leader.elected_at, leader.next_heartbeat_at, leader.last_echo) = (0, Millis::MAX, 0);
        (leader.stable_since, leader.stability_checked_at) = (0, NOW);
        leader.sent_heartbeats.clear();
        leader.pending_proposals.clear();
        for peer in &mut leader.peers {
            // Voters count as silent, so that no lease blocks an election. Learners count as responsive, so that
            // they can be promoted.
            peer.answered_heartbeat_at = (!members.contains(&peer.id)).then_some(NOW);
            (peer.expires_at, peer.unanswered_chunk_attempts) = (Millis::MAX, 0);
            // Any message that is unanswered when a heartbeat is answered counts as lost.
            peer.in_flight.iter_mut().for_each(|message| message.presumed_lost_at = 0);
            peer.transfer.iter_mut().for_each(|transfer| transfer.forget_time(self.limits));
        }
    }
}
