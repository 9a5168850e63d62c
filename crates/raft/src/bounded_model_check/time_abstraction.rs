//! States of the search, without what only depends on time.

use super::world::NOW;
use crate::node::Node;
use crate::types::{Millis, Role};

impl Node {
    /// Sets all that only depends on time, or is only told, to one value, so that states that differ in nothing else
    /// are one. The search says when a timer fires.
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
            // Voters are silent, so that no lease binds anybody; learners are heard, so that they can be added.
            peer.answered_heartbeat_at = (!members.contains(&peer.id)).then_some(NOW);
            (peer.expires_at, peer.unanswered_chunk_attempts) = (Millis::MAX, 0);
            // Whatever is not answered when a heartbeat is counts as lost.
            peer.in_flight.iter_mut().for_each(|message| message.presumed_lost_at = 0);
            peer.transfer.iter_mut().for_each(|transfer| transfer.forget_time(self.limits));
        }
    }
}
