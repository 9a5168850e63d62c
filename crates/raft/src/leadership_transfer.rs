//! A leader that is about to end hands its lead to another voter (section 3.10 of Ongaro's dissertation on Raft).
//!
//! Without it the others find out by silence, and nobody orders changes or holds counts for an election. The leader gives
//! up its lead, and with it its lease, before it says so; it leads no more in this term. That is why voters may elect
//! the successor at once, though they have just answered heartbeats of the leader: no lease rests on those any more.

use crate::node::Node;
use crate::types::{Message, Millis, Output, VoterId};

impl Node {
    /// Gives up the lead to a voter that has the whole log. Nothing happens while entries wait for their commitment, or
    /// while there is no such voter: the host repeats it.
    pub(crate) fn transfer_leadership(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(to) = self.successor(now) else { return };
        out.push(Output::Send { to, message: Message::TimeoutNow { term: self.term } });
        if !self.faults.keep_leading_after_transfer {
            self.step_down(now, out);
        }
    }

    /// Of the voters that have all entries, the one that was heard last.
    fn successor(&self, now: Millis) -> Option<VoterId> {
        let last = self.log.last();
        let leader = self.leader_state.as_ref().filter(|_| self.commit == last)?;
        let is_recent = |at: Millis| at.saturating_add(self.timing.election) > now;
        let up_to_date =
            leader.peers.iter().filter(|peer| peer.match_index >= last && self.is_member(&peer.id));
        let responsive = up_to_date
            .filter_map(|peer| Some((peer.answered_heartbeat_at.filter(|at| is_recent(*at))?, &peer.id)));
        responsive.max_by_key(|(at, _)| *at).map(|(_, id)| id.clone())
    }

    /// The leader of this term has given up its lead to this node.
    pub(crate) fn on_timeout_now(&mut self, now: Millis, from: &VoterId, term: u64) {
        if term == self.term && self.leader.as_ref() == Some(from) && self.is_voter() {
            self.leader = None;
            self.start_election_after_transfer(now);
        }
    }
}
