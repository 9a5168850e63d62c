//! Who votes: one change at a time, so that the majorities before and after it overlap.

use crate::node::Node;
use crate::replication::Peer;
use crate::types::{Millis, Output, VoterId, What};

/// How many entries a node may lack to be taken in: it has them before the next one is due.
const NEAR: u64 = 64;
/// How many of those that are not on the list are kept in mind, and for how many elections.
const MOST_LEARNERS: usize = 8;
const LEARNER_ELECTIONS: u64 = 10;

impl Node {
    /// Keeps in mind who is on the list, and for a while who has left it: it is to learn that.
    pub(crate) fn follow_members(&mut self, now: Millis) {
        let next = self.log.last() + 1;
        let until = now + self.timing.election * LEARNER_ELECTIONS;
        let (me, members) = (self.me.clone(), self.members().to_vec());
        let Some(lead) = &mut self.lead else { return };
        for member in &members {
            if *member != me && lead.peer(member).is_none() {
                lead.peers.push(Peer::new(member.clone(), next));
            }
        }
        for peer in &mut lead.peers {
            if members.contains(&peer.id) {
                peer.wanted = false;
                peer.until = until;
            }
        }
    }

    pub(crate) fn forget_learners(&mut self, now: Millis) {
        let members = self.members().to_vec();
        let until = now + self.timing.election * LEARNER_ELECTIONS;
        let Some(lead) = &mut self.lead else { return };
        for peer in lead.peers.iter_mut().filter(|peer| members.contains(&peer.id)) {
            peer.until = until;
        }
        lead.peers.retain(|peer| peer.until > now);
    }

    pub(crate) fn add_voter(&mut self, now: Millis, voter: VoterId, out: &mut Vec<Output>) {
        if voter == self.me || self.members().contains(&voter) {
            return;
        }
        let next = self.log.last() + 1;
        let until = now + self.timing.election * LEARNER_ELECTIONS;
        let learners = self.lead.iter().flat_map(|lead| &lead.peers);
        let learners = learners.filter(|peer| !self.members().contains(&peer.id)).count();
        let Some(lead) = &mut self.lead else { return };
        if lead.peer(&voter).is_none() {
            if learners >= MOST_LEARNERS {
                return;
            }
            lead.peers.push(Peer::new(voter.clone(), next));
        }
        if let Some(peer) = lead.peer(&voter) {
            peer.until = until;
            peer.wanted = true;
        }
        self.pump(now, &voter, out);
        self.promote(now, &voter, out);
    }

    pub(crate) fn remove_voter(&mut self, now: Millis, voter: &VoterId, out: &mut Vec<Output>) {
        if self.members().contains(voter) && self.members().len() > 1 && self.may_change_members() {
            let list = self.members().iter().filter(|member| *member != voter).cloned().collect();
            self.write_members(now, list, out);
        }
    }

    /// Takes in one that waits, if it has caught up and no other change is under way. Whoever was at its address goes
    /// first, in an entry of its own: a list with one voter exchanged may have a majority that the old list lacks.
    pub(crate) fn promote(&mut self, now: Millis, voter: &VoterId, out: &mut Vec<Output>) {
        let last = self.log.last();
        // One that has answered no heartbeat lately would take the majority with it from a leader that has few others.
        let lives = self.hears(voter, now);
        let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(voter)) else { return };
        let near = peer.matched > 0 && peer.matched + NEAR >= last;
        if !peer.wanted || !near || !lives || !self.may_change_members() {
            return;
        }
        let former = self.members().iter().find(|member| member.address == voter.address).cloned();
        match former {
            Some(former) => self.remove_voter(now, &former, out),
            None => {
                let mut list = self.members().to_vec();
                list.push(voter.clone());
                self.write_members(now, list, out);
            }
        }
    }

    /// Two leaders could each make a change that overlaps with the old list but not with the other's, unless the later
    /// one has an entry of its own term committed first.
    fn may_change_members(&self) -> bool {
        self.lead.is_some() && self.log.term_at(self.commit) == Some(self.term) && self.voters_settled()
    }

    fn write_members(&mut self, now: Millis, list: Vec<VoterId>, out: &mut Vec<Output>) {
        self.write(What::Members(list));
        self.follow_members(now);
        self.pump_all(now, out);
        // The new list counts at once: without a lost voter what was written may be committed already.
        self.advance_commit(now, out);
    }
}
