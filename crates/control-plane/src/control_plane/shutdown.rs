//! The orderly end of a process of control: its lead goes to another voter before it ends, it leaves an even list of voters,
//! and calls that wait here are answered. Without that the others would find out by silence, for which no change is ordered
//! and no unit granted, and the list would bear one loss less meanwhile.

use super::*;

impl ControlPlane {
    /// Whether this process leads and goes on to: one that ends takes no further order into its log.
    pub(super) fn accepts_orders(&self) -> bool {
        !self.is_shutting_down && self.is_leader()
    }

    fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.is_leader())
    }

    /// Orders that are in the log are answered first. Deputies hold counts by leases that rest on the leader's, and that
    /// it can't call back: with them the lead is not handed over, so that these have ended when another one leads.
    fn transfer_leadership(&mut self) {
        if !self.pending_proposals.is_empty()
            || !self.drain_proposals.is_empty()
            || self.settings.max_lease_requests_per_holder > 0.0
        {
            return;
        }
        // The counts are given up with the lead, before anything else is worked through (`on_role`).
        self.step_raft(Input::TransferLeadership);
    }

    /// Asks the leader to go on without this voter.
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

    /// Hands over the lead as soon as that is possible, and tells who waits for the end when nothing is left to do.
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
            && self.orders_awaiting_lease.is_empty()
            && let Some(ended) = self.shutdown_done.take()
        {
            let _ = ended.send(());
        }
    }
}
