//! States of the search, without what only depends on time.

use super::world::NOW;
use crate::node::Node;
use crate::types::{Millis, Role};

impl Node {
    /// Sets all that only depends on time, or is only told, to one value, so that states that differ in nothing else
    /// are one. The search says when a timer fires.
    pub(super) fn forget_time(&mut self) {
        self.election_due = Millis::MAX;
        self.bound_until = 0;
        self.lost_elections = 0;
        self.rounds = 0;
        self.leader = None;
        self.random = 0;
        self.told = Role::Follower { term: 0, leader: None };
        let members = self.members().to_vec();
        let Some(lead) = &mut self.lead else { return };
        (lead.since, lead.heartbeat_due, lead.echo) = (0, Millis::MAX, 0);
        (lead.steady_since, lead.watched_at) = (0, NOW);
        lead.echoes.clear();
        lead.tokens.clear();
        for peer in &mut lead.peers {
            // Voters are silent, so that no lease binds anybody; learners are heard, so that they can be added.
            peer.answered = (!members.contains(&peer.id)).then_some(NOW);
            (peer.until, peer.piece_attempts) = (Millis::MAX, 0);
            // Whatever is not answered when a heartbeat is counts as lost.
            peer.under_way.iter_mut().for_each(|one| one.lost_at = 0);
            peer.transfer.iter_mut().for_each(|transfer| transfer.forget_time(self.limits));
        }
    }
}
