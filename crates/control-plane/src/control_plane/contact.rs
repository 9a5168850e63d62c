//! Contact with the leader: whether what this process tells is of this moment.

use super::*;
use protocol::{FreshnessAnswer, FreshnessQuestion, UNDERSTANDS_FRESHNESS};

/// So many records of backends that leave go into one answer.
const RECORDS_AN_ANSWER: usize = 512;

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
                // One of the version before says nothing of records, and has none.
                let has_versions = newest.version <= self.config_history.version();
                let has_drains = newest.drains <= self.register.drains().last();
                (Some(newest.leader), newest.term, has_versions && has_drains)
            }
            _ => (self.leader_address(), self.told.epoch, false),
        }
    }

    /// Whom to ask: the leader that this voter follows, or the one that voters tell of.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
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
        let Some((connection, line)) = self.connection_to(&leader) else { return };
        // Which version the leader is of is said first on a connection.
        let reads_records = self.understand_drains.contains(&leader);
        let is_earlier_version =
            !reads_records && self.peers.get(&connection).is_some_and(|peer| peer.understands_departures);
        if !reads_records && !is_earlier_version {
            return;
        }
        if let Some(number) = self.contact.question(now, leader) {
            let question = if reads_records {
                ContactMessage::RecordsQuestion { number, drains: self.register.drains().last() }
            } else {
                ContactMessage::Question { number }
            };
            line.send(&contact_message(&question));
        }
    }

    /// How old the leader's answer is on which this process goes; nothing if it may be cut off.
    fn confirmation_age(&self, now: u64) -> Option<u64> {
        let (.., current) = self.leader(now);
        if !current {
            return None;
        }
        let leads = self.node.as_ref().is_some_and(Node::is_leader);
        if leads || self.faults.trusts_heartbeats || self.faults.reports_zero_age {
            return Some(0);
        }
        self.contact.newest(now).map(|newest| now.saturating_sub(newest.asked_at))
    }

    /// A data plane asks how old what it is told may be, and gets the records of backends that leave which it lacks.
    pub(super) fn on_freshness_question(&mut self, connection: u64, question: FreshnessQuestion, now: u64) {
        let FreshnessQuestion { number, drains: known } = question;
        let age_ms = self.confirmation_age(now).map(|age| u32::try_from(age).unwrap_or(u32::MAX));
        let table = self.register.drains();
        // Whoever has more of them lacks none.
        let most = if known > table.last() { 0 } else { RECORDS_AN_ANSWER };
        let run = table.run_after(known, most);
        let answer = FreshnessAnswer {
            number,
            age_ms,
            drains: table.last(),
            missing_after: run.after,
            missing: run.ids,
        };
        if let Some(peer) = self.peers.get(&connection) {
            peer.line.send(&Message::FreshnessAnswer(answer));
        }
    }

    /// What a data plane is told, that it may send [`Message::FreshnessQuestion`].
    pub(super) fn understands_freshness() -> Message {
        Message::NotHolder { number: UNDERSTANDS_FRESHNESS }
    }

    /// A question is answered by a leader that holds its lease, and by nobody else.
    pub(super) fn on_contact(&mut self, number: u64, message: &ContactMessage) {
        let now = self.now();
        let Some(peer) = self.peers.get(&number) else { return };
        match message {
            ContactMessage::Question { number } => {
                if let Some(answer) = self.contact_answer(*number, now) {
                    peer.line.send(&contact_message(&answer));
                }
            }
            ContactMessage::RecordsQuestion { number: question, drains } => {
                let has_log = peer.hello.as_ref().is_some_and(|hello| hello.quorum);
                let most = if has_log { 0 } else { RECORDS_AN_ANSWER };
                if let Some(answer) = self.records_answer(*question, *drains, most, now) {
                    peer.line.send(&contact_message(&answer));
                }
            }
            ContactMessage::Answer { .. } | ContactMessage::RecordsAnswer { .. } => {
                if let Some(leader) = peer.dialed {
                    self.on_contact_answer(leader, message);
                }
            }
        }
    }

    /// The log of this process, while it leads and holds its lease.
    fn leased_node(&self, now: u64) -> Option<&Node> {
        self.node.as_ref().filter(|node| node.holds_lease(now))
    }

    fn contact_answer(&self, number: u64, now: u64) -> Option<ContactMessage> {
        let node = self.leased_node(now)?;
        let (term, commit, version) = (node.term(), node.commit(), self.config_history.version());
        Some(ContactMessage::Answer { number, term, commit, version })
    }

    fn records_answer(&self, number: u64, known: u64, most: usize, now: u64) -> Option<ContactMessage> {
        let node = self.leased_node(now)?;
        let (term, commit, version) = (node.term(), node.commit(), self.config_history.version());
        let table = self.register.drains();
        let (drains, missing) = (table.last(), table.run_after(known, most));
        Some(ContactMessage::RecordsAnswer { number, term, commit, version, drains, missing })
    }

    fn on_contact_answer(&mut self, leader: SocketAddr, message: &ContactMessage) {
        let counts = self.contact.answered(leader, message);
        if let ContactMessage::RecordsAnswer { drains, missing, .. } = message
            && counts
        {
            self.follow_drains(missing, *drains);
        }
    }
}

fn contact_message(message: &ContactMessage) -> Message {
    Message::Log { incarnation: 0, message: message.encode() }
}
