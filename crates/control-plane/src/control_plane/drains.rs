//! Backends that leave.
//!
//! Once its leaving is acknowledged a backend ends soon, and no request may reach it after a while, whichever process dies
//! or is cut off meanwhile. What one process has told others proves nothing: it may have reached nobody. So a leaving is
//! acknowledged when the log has it. Who goes by an answer that the leader gave after that has the record
//! (`contact`), and a data plane looks for such an answer before its own is too old (`transport::freshness`).

use super::*;
use crate::drain_entry::DrainEntry;
use protocol::UNDERSTANDS_DRAINS;
use registry::{DrainRun, Drained};

/// So many ids go into one entry.
const MAX_IDS_PER_ENTRY: usize = 256;
/// More calls than this don't wait for an entry: a zone's backends that are taken away at once fit.
const MAX_QUEUED_DRAINS: usize = 4096;
/// So many calls of backends may wait here for the leader. The others of [`MAX_PENDING_CALLS`] are the operators'.
pub(super) const MAX_PENDING_DRAINS: usize = MAX_PENDING_CALLS / 2;

/// A backend that leaves is sent to another process when the leader has not answered within this: the process that it called
/// may be cut off and not know it yet.
pub(super) const DRAIN_FORWARD_TIMEOUT_MS: u64 = 450;

/// A call that waits until a backend is recorded.
struct PendingDrain {
    requester: Requester,
    id: String,
}

/// At the leader: what is on its way into the log, one entry at a time.
#[derive(Default)]
pub(super) struct DrainProposals {
    queued: Vec<PendingDrain>,
    in_flight: Vec<PendingDrain>,
    token: Option<u64>,
}

impl DrainProposals {
    /// Whether no call waits.
    pub(super) fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.token.is_none()
    }

    /// The ids of the next entry, if there is none on its way and something to record.
    fn next(&mut self, token: u64) -> Option<DrainEntry> {
        if self.token.is_some() || self.queued.is_empty() {
            return None;
        }
        let most = self.queued.len().min(MAX_IDS_PER_ENTRY);
        self.in_flight = self.queued.drain(..most).collect();
        self.token = Some(token);
        let ids: BTreeSet<&String> = self.in_flight.iter().map(|leaving| &leaving.id).collect();
        Some(DrainEntry { ids: ids.into_iter().cloned().collect() })
    }

    /// The calls of an entry that is decided, if this is its token.
    fn decided(&mut self, token: u64) -> Vec<PendingDrain> {
        if self.token.take_if(|known| *known == token).is_none() {
            return Vec::new();
        }
        std::mem::take(&mut self.in_flight)
    }

    /// All calls that wait.
    fn take_all(&mut self) -> Vec<PendingDrain> {
        self.token = None;
        let mut all = std::mem::take(&mut self.in_flight);
        all.append(&mut self.queued);
        all
    }
}

impl ControlPlane {
    /// A backend says that it drains, or that it has departed.
    pub(super) fn on_drain_call(&mut self, id: String, reply: oneshot::Sender<Reply>, now: u64) {
        if self.faults.acknowledges_drains_locally {
            return self.reply_to_drain_call(&id, reply, Reply::ok(), now);
        }
        // Whoever may be cut off sends the backend to another process at once.
        let (.., current) = self.leader(now);
        if !current {
            let refused = Reply::error(503, "this process may be cut off: ask another one");
            return self.reply_to_drain_call(&id, reply, refused, now);
        }
        self.on_local_order(Order::Drain(id), reply, now);
    }

    /// A backend that leaves gets its answer.
    pub(super) fn reply_to_drain_call(
        &mut self, id: &str, to: oneshot::Sender<Reply>, reply: Reply, now: u64,
    ) {
        self.event_log.on_drain_reply(now, id, reply.status == 200);
        let _ = to.send(reply);
    }

    /// The leader records a backend, unless it has.
    pub(super) fn on_drain(&mut self, requester: Requester, id: String, now: u64) {
        if self.drain_proposals.queued.len() >= MAX_QUEUED_DRAINS {
            let full = Reply::error(503, "too many backends leave at once: ask again");
            return self.reply_to_drain(PendingDrain { requester, id }, full, now);
        }
        // What is in the table is committed.
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

    fn reply_to_drain(&mut self, leaving: PendingDrain, reply: Reply, now: u64) {
        let PendingDrain { requester, id } = leaving;
        match requester {
            Requester::Local(to) => self.reply_to_drain_call(&id, to, reply, now),
            there @ Requester::Remote { .. } => self.reply_to(there, reply),
        }
    }

    /// An entry of the log records backends.
    pub(super) fn on_drain_entry(&mut self, index: u64, entry: Option<DrainEntry>) {
        if let Some(entry) = entry {
            let drained = self.register.record_drains(&entry.ids);
            self.publish_drained(drained);
        }
        if let Some(token) = self.tokens_by_index.remove(&index) {
            let now = self.now();
            for leaving in self.drain_proposals.decided(token) {
                self.reply_to_drain(leaving, Reply::ok(), now);
            }
            self.propose_drains();
        }
    }

    /// An entry that this leader proposed was refused, or its fate is not known.
    pub(super) fn fail_drains(&mut self, token: u64, reply: &Reply) {
        let now = self.now();
        for leaving in self.drain_proposals.decided(token) {
            self.reply_to_drain(leaving, reply.clone(), now);
        }
        self.propose_drains();
    }

    /// This process leads no more: an entry of its own may be decided yet, so that all may ask again.
    pub(super) fn abort_drains(&mut self) {
        let now = self.now();
        for leaving in self.drain_proposals.take_all() {
            self.reply_to_drain(leaving, Reply::error(503, "another process leads now: ask again"), now);
        }
    }

    /// A process without a log takes over the leader's records.
    pub(super) fn sync_drains(&mut self, run: &DrainRun, last: u64) {
        if self.node.is_none() {
            let drained = self.register.follow_drains(run, last);
            self.publish_drained(drained);
        }
    }

    /// Followers hear of all backends that are recorded from now on: they may know some that this process does not.
    pub(super) fn publish_drained(&mut self, drained: Drained) {
        self.publish_backends(drained.changed, Origin::Log);
        if !drained.unknown.is_empty() {
            let backends = drained.unknown.into_iter().map(Backend::leaving).collect();
            self.send_to_followers(&Message::Backends { whole: false, backends });
        }
    }

    /// Backends that are recorded and not known otherwise, for a follower that may know them.
    pub(super) fn drained_unknown(&self) -> Vec<Backend> {
        self.register.drained_unknown().into_iter().map(Backend::leaving).collect()
    }

    /// What a snapshot says of backends that leave: nothing while there may be voters that could not read it.
    pub(super) fn drains_for_snapshot(&self) -> Option<DrainRun> {
        let me = self.settings.address.to_string();
        let mut others = self.node.iter().flat_map(|node| node.members()).filter(|voter| voter.address != me);
        let read_by_all = others.all(|voter| {
            voter.address.parse().is_ok_and(|address| self.drains_supported_by.contains(&address))
        });
        read_by_all.then(|| self.register.drains().run())
    }

    /// The other end of a connection reads [`Order::Drain`].
    pub(super) fn on_drains_supported(&mut self, connection: u64) {
        if let Some(address) = self.peers.get(&connection).and_then(|peer| peer.dialed) {
            self.drains_supported_by.insert(address);
        }
    }

    /// What another process of control is told, that it may send [`Order::Drain`] here.
    pub(super) fn drains_support() -> Message {
        Message::NotHolder { number: UNDERSTANDS_DRAINS }
    }
}
