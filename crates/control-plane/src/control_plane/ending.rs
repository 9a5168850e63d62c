//! The orderly end of a process of control: its lead goes to another voter before it ends, and calls that wait here are
//! answered. Without that the others would find out by silence, for which no change is ordered and no unit granted.

use super::*;

impl ControlPlane {
    /// Whether this process leads and goes on to: one that ends takes no further order into its log.
    pub(super) fn takes_orders(&self) -> bool {
        !self.is_ending && self.node.as_ref().is_some_and(|node| node.is_leader())
    }

    /// Hands over the lead as soon as that is possible, and tells who waits for the end when nothing is left to do.
    pub(super) fn tend_end(&mut self) {
        if self.ended.is_none() {
            return;
        }
        // Orders that are in the log are answered first.
        if self.node.as_ref().is_some_and(|node| node.is_leader()) {
            if self.proposed.is_empty() {
                self.log(Input::TransferLeadership);
            }
            return;
        }
        if self.waiting.is_empty()
            && self.proposed.is_empty()
            && let Some(ended) = self.ended.take()
        {
            let _ = ended.send(());
        }
    }
}
