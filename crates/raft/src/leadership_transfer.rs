//! Leadership transfer before a shutdown (section 3.10 of Ongaro's dissertation on Raft).
//!
//! Without a transfer the followers notice the loss of the leader only after an election timeout, during which
//! no node accepts changes and no host grants quota. The leader steps down, and thus gives up its lease, before it
//! sends `TimeoutNow`, and does not lead again in this term. Voters may therefore elect the successor at once, even if
//! they have just answered a heartbeat of the former leader: no lease depends on that response any more.

use crate::node::Node;
use crate::types::{Message, Millis, Output, VoterId};

impl Node {
    /// Steps down in favor of a voter that has the whole log. Does nothing while entries are uncommitted or no voter
    /// qualifies; the host repeats the request.
    pub(crate) fn transfer_leadership(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(to) = self.successor(now) else { return };
        out.push(Output::Send { to, message: Message::TimeoutNow { term: self.term } });
        if !self.faults.keep_leading_after_transfer {
            self.step_down(now, out);
        }
    }

    /// The voter with the most recent heartbeat response among the responsive voters that have all entries.
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

    /// Starts an election if the leader of this term has transferred its leadership to this node.
    pub(crate) fn on_timeout_now(&mut self, now: Millis, from: &VoterId, term: u64) {
        if term == self.term && self.leader.as_ref() == Some(from) && self.is_voter() {
            self.leader = None;
            self.start_election_after_transfer(now);
        }
    }
}
