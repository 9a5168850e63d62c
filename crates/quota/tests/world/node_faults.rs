//! Failures of machines and links, and the choice of their targets.

use super::{Node, World, control_plane_name};

impl World {
    pub fn cut_link(&mut self, from: Node, to: Node) {
        self.cut_links.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
        for from in 0..self.control_planes.len() {
            (0..self.control_planes.len()).for_each(|to| self.send_full_state(from, to));
        }
    }

    pub fn freeze(&mut self, node: Node, duration: f64) {
        self.frozen_until.insert(node, self.now + duration);
    }

    pub fn kill(&mut self, node: Node) {
        match node {
            Node::Control(index) => {
                if let Some(control_plane) = self.control_planes.get_mut(index) {
                    control_plane.up = false;
                    control_plane.generation += 1;
                }
            }
            Node::Gateway(index) => {
                if let Some(gateway) = self.gateways.get_mut(index) {
                    gateway.up = false;
                    gateway.generation += 1;
                }
            }
        }
    }

    pub fn start(&mut self, node: Node) {
        let (quotas, fleet_size) = (self.quotas(), self.gateways.len());
        match node {
            Node::Control(index) if !self.control_planes[index].up => {
                let generation = self.control_planes[index].generation;
                self.control_planes[index] = self.new_control_plane(index, generation, &quotas, fleet_size);
                self.restart_control_plane(index);
            }
            Node::Gateway(index) if !self.gateways[index].up => {
                let generation = self.gateways[index].generation;
                self.gateways[index] = self.new_gateway(index, generation, &quotas, fleet_size);
                self.send_hello(index);
            }
            _ => {}
        }
    }

    /// A random deputy (a holder other than the leader), if there is one.
    pub fn random_deputy(&mut self) -> Option<usize> {
        let leader = self.leader?;
        let assignment = self.control_planes[leader].assigner.as_ref()?.assignment().clone();
        let deputies: Vec<usize> = (0..self.control_planes.len())
            .filter(|index| *index != leader && assignment.contains(&control_plane_name(*index)))
            .collect();
        (!deputies.is_empty()).then(|| deputies[self.rng.below(deputies.len())])
    }

    pub fn holder_count(&self) -> usize {
        let assigner = self.leader.and_then(|leader| self.control_planes[leader].assigner.as_ref());
        assigner.map_or(0, |assigner| assigner.assignment().holders.len())
    }
}
