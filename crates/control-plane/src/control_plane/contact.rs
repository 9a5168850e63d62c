//! Contact with the leader: whether what this process tells is of this moment.

use super::*;

impl ControlPlane {
    /// The leader of the log as this process knows it, its term, and whether that is of this moment.
    pub(super) fn leader(&self, now: u64) -> (Option<SocketAddr>, u64, bool) {
        match &self.node {
            Some(node) if node.is_leader() => {
                (Some(self.settings.address), node.term(), node.holds_lease(now))
            }
            Some(node) => {
                let leader = self.leader_address();
                (leader, node.term(), leader.is_some() && self.follows_closely(node, now))
            }
            None => self.leader_of_news(now),
        }
    }

    /// Whether a voter has all that was committed when the leader was asked last.
    fn follows_closely(&self, node: &Node, now: u64) -> bool {
        if node.commit() == 0 || node.lags() {
            return false;
        }
        let close = |newest: Confirmation| newest.term == node.term() && newest.commit <= node.commit();
        self.contact.newest(now).is_some_and(close) || self.faults.trusts_heartbeats
    }

    /// A process without a log goes by the leader's own word, and names whom voters told of while there is none.
    fn leader_of_news(&self, now: u64) -> (Option<SocketAddr>, u64, bool) {
        if self.faults.trusts_heartbeats {
            let current = self.told.fresh && now < self.told_at + WORD;
            return (self.leader_address(), self.told.epoch, current);
        }
        match self.contact.newest(now) {
            Some(newest) if newest.term >= self.told.epoch => {
                (Some(newest.leader), newest.term, newest.version <= self.config_history.version())
            }
            _ => (self.leader_address(), self.told.epoch, false),
        }
    }

    /// Whom to ask: the leader that this voter follows, or the one that voters tell of.
    fn leader_address(&self) -> Option<SocketAddr> {
        match &self.node {
            Some(node) => node.leader().and_then(|voter| voter.address.parse().ok()),
            None => self.told.leader.as_ref().and_then(|leader| leader.parse().ok()),
        }
    }

    /// Asks the leader, when it is time to.
    pub(super) fn tend_contact(&mut self, now: u64) {
        let Some(leader) = self.leader_address().filter(|leader| *leader != self.settings.address) else {
            return;
        };
        let Some(line) = self.line_to(&leader).cloned() else { return };
        if let Some(question) = self.contact.question(now, leader) {
            line.send(&contact_message(&question));
        }
    }

    /// A question is answered by a leader that holds its lease, and by nobody else.
    pub(super) fn on_contact(&mut self, number: u64, message: &ContactMessage) {
        let now = self.now();
        let Some(peer) = self.peers.get(&number) else { return };
        let ContactMessage::Question { number } = *message else {
            if let Some(leader) = peer.dialed {
                self.contact.answered(leader, message);
            }
            return;
        };
        if let Some(node) = self.node.as_ref().filter(|node| node.holds_lease(now)) {
            let (term, commit, version) = (node.term(), node.commit(), self.config_history.version());
            let answer = ContactMessage::Answer { number, term, commit, version };
            peer.line.send(&contact_message(&answer));
        }
    }
}

fn contact_message(message: &ContactMessage) -> Message {
    Message::Log { incarnation: 0, message: message.encoded() }
}
