//! Configurations that take tenants away and bring them back.

use super::{Event, Node, World};
use std::collections::BTreeSet;

/// Every process applies a configuration within this time (ms).
const MAX_UPDATE_DELAY: f64 = 200.0;

impl World {
    /// Changes the configuration: these tenants are absent from it, all others are present.
    pub fn set_absent_tenants(&mut self, tenants: BTreeSet<usize>) {
        self.absent_tenants = tenants;
        let control_planes = (0..self.control_planes.len()).map(Node::Control);
        let nodes: Vec<Node> = control_planes.chain((0..self.gateways.len()).map(Node::Gateway)).collect();
        for node in nodes {
            let at = self.now + self.rng.uniform() * MAX_UPDATE_DELAY;
            self.schedule(at, Event::TableUpdate(node));
        }
    }

    /// Applies the newest configuration at a process. A process that does not run reads it at its start.
    pub(super) fn update_table(&mut self, node: Node) {
        if !self.is_running(node) {
            return;
        }
        let (now, quotas) = (self.now, self.quotas());
        match node {
            Node::Control(index) => self.control_planes[index].quota_service.set_quotas(now, quotas),
            Node::Gateway(index) => {
                let mut verdicts = Vec::new();
                self.gateways[index].cache.set_quotas(now, quotas, &mut verdicts);
                self.apply_verdicts(index, verdicts);
            }
        }
    }
}
