//! Graceful shutdown of a control plane: the process transfers leadership to another voter, leaves a voter list of even
//! size, and answers the pending calls. Otherwise the other voters would notice the loss only by the silence of the
//! process. Until then no change would be accepted and no quota granted if the process was the leader, and the voter
//! list would tolerate one loss less.

use super::*;

impl ControlPlane {
    /// Whether this process leads and keeps leading: a process that is shutting down proposes no further orders.
    pub(super) fn accepts_leader_calls(&self) -> bool {
        !self.is_shutting_down && self.is_leader()
    }

    fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.is_leader())
    }

    /// Transfers leadership once all proposed orders are answered. With deputy quota holders enabled, leadership is
    /// not transferred: deputies' leases derive from the leader's lease and cannot be revoked, so these leases must
    /// expire before another process leads.
    fn transfer_leadership(&mut self) {
        if !self.pending_proposals.is_empty()
            || !self.drain_proposals.is_empty()
            || self.settings.max_lease_requests_per_holder > 0.0
        {
            return;
        }
        // The quota holder role ends together with leadership, before any other command is handled (see `on_role`).
        self.step_raft(Input::TransferLeadership);
    }

    /// Requests that the leader remove this voter.
    fn request_removal(&mut self) {
        let now = self.now();
        if now < self.next_leave_at {
            return;
        }
        if let Some(line) = self.leader_address().and_then(|leader| self.line_to(&leader)) {
            line.send(&Message::Leave);
            self.next_leave_at = now + TICK_INTERVAL_MS;
        }
    }

    fn should_leave_voters(&self) -> bool {
        self.node.as_ref().is_some_and(Node::should_leave)
    }

    /// Transfers leadership as soon as possible, and reports the end of the shutdown once nothing is left to wait
    /// for.
    pub(super) fn progress_shutdown(&mut self) {
        if self.shutdown_done.is_none() {
            return;
        }
        if self.is_leader() {
            self.transfer_leadership();
        }
        if self.is_leader() {
            return;
        }
        if self.should_leave_voters() {
            return self.request_removal();
        }
        if self.pending_calls.is_empty()
            && self.pending_proposals.is_empty()
            && self.drain_proposals.is_empty()
            && self.leader_calls_awaiting_lease.is_empty()
            && let Some(done) = self.shutdown_done.take()
        {
            let _ = done.send(());
        }
    }
}
