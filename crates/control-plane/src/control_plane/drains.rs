//! Backends that drain or depart.
//!
//! A backend exits soon after its drain is acknowledged. From a deadline on no request may reach the backend, even if
//! a process fails or is isolated meanwhile. Sending an update about the drain is not enough, since the update may
//! reach no other process. So a drain is acknowledged only once its record (the id of the backend) is committed in the
//! Raft log. A process counts as current only with all records that the leader had at its last response (see
//! `contact`), and a data plane must receive an answer of a current process before the state of the data plane reaches
//! its maximum age (see `transport::freshness`).

use super::*;
use crate::drain_entry::DrainEntry;
use protocol::UNDERSTANDS_DRAINS;
use registry::{DrainOutcome, DrainRun};

/// Maximum number of backend ids in one log entry.
const MAX_IDS_PER_ENTRY: usize = 256;
/// Maximum number of calls that wait for an entry: all backends of a zone that are shut down at once fit.
const MAX_QUEUED_DRAINS: usize = 4096;
/// Maximum number of drain calls that wait for the leader. The rest of [`MAX_PENDING_CALLS`] is left to operators.
pub(super) const MAX_PENDING_DRAINS: usize = MAX_PENDING_CALLS / 2;

/// If the leader has not replied to a forwarded drain call within this time, the reply tells the backend to call
/// another process: this process may be isolated without having noticed yet.
pub(super) const DRAIN_FORWARD_TIMEOUT_MS: u64 = 450;

/// A call that waits until the drain of a backend is recorded in the log.
struct PendingDrain {
    /// Receives the reply.
    requester: Requester,
    /// Id of the backend.
    id: String,
}

/// Drain calls at the leader. At most one log entry is in flight.
#[derive(Default)]
pub(super) struct DrainProposals {
    /// Calls for which no entry has been proposed yet.
    queued: Vec<PendingDrain>,
    /// Calls whose backends are in the proposed entry.
    in_flight: Vec<PendingDrain>,
    /// Token of the proposed entry; `None` while no entry is in flight.
    token: Option<u64>,
}

impl DrainProposals {
    /// Whether no call waits.
    pub(super) fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.token.is_none()
    }

    /// The next entry to propose: none while an entry is in flight or no call is queued.
    fn next(&mut self, token: u64) -> Option<DrainEntry> {
        if self.token.is_some() || self.queued.is_empty() {
            return None;
        }
        let count = self.queued.len().min(MAX_IDS_PER_ENTRY);
        self.in_flight = self.queued.drain(..count).collect();
        self.token = Some(token);
        let ids: BTreeSet<&String> = self.in_flight.iter().map(|drain| &drain.id).collect();
        Some(DrainEntry { ids: ids.into_iter().cloned().collect() })
    }

    /// The calls of the entry in flight once the entry is decided; none if `token` is not its token.
    fn take_decided(&mut self, token: u64) -> Vec<PendingDrain> {
        if self.token.take_if(|pending| *pending == token).is_none() {
            return Vec::new();
        }
        std::mem::take(&mut self.in_flight)
    }

    /// Removes and returns all waiting calls.
    fn take_all(&mut self) -> Vec<PendingDrain> {
        self.token = None;
        let mut all = std::mem::take(&mut self.in_flight);
        all.append(&mut self.queued);
        all
    }
}

impl ControlPlane {
    /// A backend reports that it drains or that it has departed.
    pub(super) fn on_drain_call(&mut self, id: String, reply: oneshot::Sender<Reply>, now: u64) {
        if self.faults.acknowledges_drains_locally {
            return self.reply_to_drain_call(&id, reply, Reply::ok(), now);
        }
        // If this process may be isolated, the reply tells the backend at once to call another process.
        let (.., current) = self.leader(now);
        if !current {
            let refused = Reply::error(503, "this process may be cut off: ask another one");
            return self.reply_to_drain_call(&id, reply, refused, now);
        }
        self.on_local_leader_call(LeaderCall::Drain(id), reply, now);
    }

    /// Replies to the drain call of a backend.
    pub(super) fn reply_to_drain_call(
        &mut self, id: &str, to: oneshot::Sender<Reply>, reply: Reply, now: u64,
    ) {
        self.event_log.on_drain_reply(now, id, reply.status == 200);
        let _ = to.send(reply);
    }

    /// Records the drain of a backend at the leader, unless the drain is recorded already.
    pub(super) fn on_drain(&mut self, requester: Requester, id: String, now: u64) {
        if self.drain_proposals.queued.len() >= MAX_QUEUED_DRAINS {
            let full = Reply::error(503, "too many backends leave at once: ask again");
            return self.reply_to_drain(PendingDrain { requester, id }, full, now);
        }
        // Drain records in this table come from committed entries, so the drain can be acknowledged at once.
        if self.register.drains().contains(&id) {
            return self.reply_to_drain(PendingDrain { requester, id }, Reply::ok(), now);
        }
        self.drain_proposals.queued.push(PendingDrain { requester, id });
        self.propose_drains();
    }

    fn propose_drains(&mut self) {
        self.last_token += 1;
        if let Some(entry) = self.drain_proposals.next(self.last_token) {
            self.step_raft(Input::Propose { token: self.last_token, change: entry.encode() });
        }
    }

    fn reply_to_drain(&mut self, drain: PendingDrain, reply: Reply, now: u64) {
        let PendingDrain { requester, id } = drain;
        match requester {
            Requester::Local(to) => self.reply_to_drain_call(&id, to, reply, now),
            there @ Requester::Remote { .. } => self.reply_to(there, reply),
        }
    }

    /// Applies a committed drain entry.
    pub(super) fn on_drain_entry(&mut self, index: u64, entry: Option<DrainEntry>) {
        if let Some(entry) = entry {
            let drained = self.register.record_drains(&entry.ids);
            self.publish_drained(drained);
        }
        if let Some(token) = self.tokens_by_index.remove(&index) {
            let now = self.now();
            for drain in self.drain_proposals.take_decided(token) {
                self.reply_to_drain(drain, Reply::ok(), now);
            }
            self.propose_drains();
        }
    }

    /// Replies to the calls of a drain entry that was refused, or whose outcome is unknown.
    pub(super) fn fail_drains(&mut self, token: u64, reply: &Reply) {
        let now = self.now();
        for drain in self.drain_proposals.take_decided(token) {
            self.reply_to_drain(drain, reply.clone(), now);
        }
        self.propose_drains();
    }

    /// This process stopped leading. The entry in flight may still be committed, so every reply requests a retry.
    pub(super) fn abort_drains(&mut self) {
        let now = self.now();
        for drain in self.drain_proposals.take_all() {
            self.reply_to_drain(drain, Reply::error(503, "another process leads now: ask again"), now);
        }
    }

    /// Merges drain records of the leader into those of a process without a Raft log.
    pub(super) fn sync_drains(&mut self, run: &DrainRun, last: u64) {
        if self.node.is_none() {
            let drained = self.register.sync_drains(run, last);
            self.publish_drained(drained);
        }
    }

    /// Sends newly recorded backends to subscribers, including backends that only the subscribers may know.
    pub(super) fn publish_drained(&mut self, drained: DrainOutcome) {
        self.publish_backends(drained.changed, Origin::Log);
        if !drained.unknown.is_empty() {
            let backends = drained.unknown.into_iter().map(Backend::draining).collect();
            self.send_to_subscribers(&Message::Backends { is_complete: false, backends });
        }
    }

    /// Backends that have a drain record but are otherwise unknown here, for a subscriber that may know these backends.
    pub(super) fn drained_unknown(&self) -> Vec<Backend> {
        self.register.unknown_draining().into_iter().map(Backend::draining).collect()
    }

    /// The drain records for a snapshot; `None` while some voter may run a version that cannot read drain records.
    pub(super) fn drains_for_snapshot(&self) -> Option<DrainRun> {
        let me = self.settings.address.to_string();
        let mut others = self.node.iter().flat_map(|node| node.members()).filter(|voter| voter.address != me);
        let supported_by_all = others.all(|voter| {
            voter.address.parse().is_ok_and(|address| self.drains_supported_by.contains(&address))
        });
        supported_by_all.then(|| self.register.drains().run())
    }

    /// The peer announces that it understands [`LeaderCall::Drain`].
    pub(super) fn on_drains_supported(&mut self, connection: u64) {
        if let Some(address) = self.peers.get(&connection).and_then(|peer| peer.dialed) {
            self.drains_supported_by.insert(address);
        }
    }

    /// Announces to another control plane that it may send [`LeaderCall::Drain`] to this process.
    pub(super) fn drains_support() -> Message {
        Message::NotHolder { number: UNDERSTANDS_DRAINS }
    }
}
