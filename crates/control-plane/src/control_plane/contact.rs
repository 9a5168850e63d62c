//! Whether the state of this process is confirmed as current by the leader.

use super::*;
use protocol::{FreshnessAnswer, FreshnessQuery, UNDERSTANDS_FRESHNESS};

/// Maximum number of drain records in one response.
const MAX_RECORDS_PER_RESPONSE: usize = 512;

impl ControlPlane {
    /// The leader as known to this process, its term, and whether the state of this process is confirmed as current.
    pub(super) fn leader(&self, now: u64) -> (Option<SocketAddr>, u64, bool) {
        match &self.node {
            Some(node) if node.is_leader() => {
                (Some(self.settings.address), node.term(), node.holds_lease(now))
            }
            Some(node) => {
                let leader = self.leader_address();
                (leader, node.term(), leader.is_some() && self.is_caught_up(node, now))
            }
            None => self.leader_without_log(now),
        }
    }

    /// Whether this voter has all entries that were committed when the leader last responded.
    fn is_caught_up(&self, node: &Node, now: u64) -> bool {
        if node.commit() == 0 || node.lags() {
            return false;
        }
        let covers = |newest: Confirmation| newest.term == node.term() && newest.commit <= node.commit();
        self.leader_contact.newest(now).is_some_and(covers) || self.faults.trusts_heartbeats
    }

    /// Same as [`Self::leader`] for a process without a Raft log. Such a process relies on the leader's own
    /// responses. Without a valid response it names the leader from the voters' heartbeats, as not current.
    fn leader_without_log(&self, now: u64) -> (Option<SocketAddr>, u64, bool) {
        if self.faults.trusts_heartbeats {
            let current = self.last_heartbeat.fresh && now < self.last_heartbeat_at + LEADER_REPORT_TTL_MS;
            return (self.leader_address(), self.last_heartbeat.term, current);
        }
        match self.leader_contact.newest(now) {
            Some(newest) if newest.term >= self.last_heartbeat.term => {
                // A leader of the previous version does not report drain records and has none.
                let has_versions = newest.version <= self.config_history.version();
                let has_drains = newest.drains <= self.register.drains().last();
                (Some(newest.leader), newest.term, has_versions && has_drains)
            }
            _ => (self.leader_address(), self.last_heartbeat.term, false),
        }
    }

    /// The leader that this voter follows, or, without a Raft log, the leader that heartbeats name.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        match &self.node {
            Some(node) => node.leader().and_then(|voter| voter.address.parse().ok()),
            None => self.last_heartbeat.leader.as_ref().and_then(|leader| leader.parse().ok()),
        }
    }

    /// Sends the leader a query if one is due.
    pub(super) fn query_leader(&mut self, now: u64) {
        let Some(leader) = self.leader_address().filter(|leader| *leader != self.settings.address) else {
            return;
        };
        let Some((connection, line)) = self.dialed_connection(&leader) else { return };
        // The leader announces the features of its version first on each connection.
        let supports_records = self.drains_supported_by.contains(&leader);
        let is_earlier_version =
            !supports_records && self.peers.get(&connection).is_some_and(|peer| peer.supports_departures);
        if !supports_records && !is_earlier_version {
            return;
        }
        if let Some(number) = self.leader_contact.next_query(now, leader) {
            let query = if supports_records {
                ContactMessage::DrainSyncRequest { number, drains: self.register.drains().last() }
            } else {
                ContactMessage::ReadIndexRequest { number }
            };
            line.send(&wrap_contact_message(&query));
        }
    }

    /// Age of the leader's confirmation of the state of this process; `None` if this process may be isolated.
    fn confirmation_age(&self, now: u64) -> Option<u64> {
        let (.., current) = self.leader(now);
        if !current {
            return None;
        }
        let leads = self.node.as_ref().is_some_and(Node::is_leader);
        if leads || self.faults.trusts_heartbeats || self.faults.reports_zero_age {
            return Some(0);
        }
        self.leader_contact.newest(now).map(|newest| now.saturating_sub(newest.sent_at))
    }

    /// Handles a freshness query of a data plane: replies with the age of the state here and the drain records that the
    /// data plane lacks.
    pub(super) fn on_freshness_question(&mut self, connection: u64, question: FreshnessQuery, now: u64) {
        let FreshnessQuery { number, last_drain: known } = question;
        let age_ms = self.confirmation_age(now).map(|age| u32::try_from(age).unwrap_or(u32::MAX));
        let table = self.register.drains();
        // The data plane has a newer drain record than this process, so the answer contains no records.
        let max_records = if known > table.last() { 0 } else { MAX_RECORDS_PER_RESPONSE };
        let run = table.run_after(known, max_records);
        let answer = FreshnessAnswer {
            number,
            age_ms,
            last_drain: table.last(),
            missing_after: run.after,
            missing: run.ids,
        };
        if let Some(peer) = self.peers.get(&connection) {
            peer.line.send(&Message::FreshnessAnswer(answer));
        }
    }

    /// Announces to a data plane that it may send [`Message::FreshnessQuery`].
    pub(super) fn freshness_support() -> Message {
        Message::NotHolder { number: UNDERSTANDS_FRESHNESS }
    }

    /// Queries are answered only by a leader that holds its lease.
    pub(super) fn on_contact_message(&mut self, connection: u64, message: &ContactMessage) {
        let now = self.now();
        let Some(peer) = self.peers.get(&connection) else { return };
        match message {
            ContactMessage::ReadIndexRequest { number } => {
                if let Some(response) = self.read_index_response(*number, now) {
                    peer.line.send(&wrap_contact_message(&response));
                }
            }
            ContactMessage::DrainSyncRequest { number: query, drains } => {
                let has_log = peer.hello.as_ref().is_some_and(|hello| hello.quorum);
                let max_records = if has_log { 0 } else { MAX_RECORDS_PER_RESPONSE };
                if let Some(response) = self.drain_sync_response(*query, *drains, max_records, now) {
                    peer.line.send(&wrap_contact_message(&response));
                }
            }
            ContactMessage::ReadIndexResponse { .. } | ContactMessage::DrainSyncResponse { .. } => {
                if let Some(leader) = peer.dialed {
                    self.on_contact_response(leader, message);
                }
            }
        }
    }

    /// The Raft node, while this process leads and holds its lease.
    fn leased_node(&self, now: u64) -> Option<&Node> {
        self.node.as_ref().filter(|node| node.holds_lease(now))
    }

    fn read_index_response(&self, number: u64, now: u64) -> Option<ContactMessage> {
        let node = self.leased_node(now)?;
        let (term, commit, version) = (node.term(), node.commit(), self.config_history.version());
        Some(ContactMessage::ReadIndexResponse { number, term, commit, version })
    }

    fn drain_sync_response(
        &self, number: u64, known: u64, max_records: usize, now: u64,
    ) -> Option<ContactMessage> {
        let node = self.leased_node(now)?;
        let (term, commit, version) = (node.term(), node.commit(), self.config_history.version());
        let table = self.register.drains();
        let (drains, missing) = (table.last(), table.run_after(known, max_records));
        Some(ContactMessage::DrainSyncResponse { number, term, commit, version, drains, missing })
    }

    fn on_contact_response(&mut self, leader: SocketAddr, message: &ContactMessage) {
        let is_newer = self.leader_contact.on_response(leader, message);
        if let ContactMessage::DrainSyncResponse { drains, missing, .. } = message
            && is_newer
        {
            self.sync_drains(missing, *drains);
        }
    }
}

fn wrap_contact_message(message: &ContactMessage) -> Message {
    Message::Log { incarnation: 0, message: message.encode() }
}
