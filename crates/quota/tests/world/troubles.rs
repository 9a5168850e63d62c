//! What happens to machines and links, and who there is to be struck.

use super::{Who, World, name};

impl World {
    pub fn cut(&mut self, from: Who, to: Who) {
        self.cuts.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        for from in 0..self.control_planes.len() {
            (0..self.control_planes.len()).for_each(|to| self.tell_all(from, to));
        }
    }

    pub fn freeze(&mut self, who: Who, span: f64) {
        self.frozen.insert(who, self.now + span);
    }

    pub fn kill(&mut self, who: Who) {
        match who {
            Who::M(place) => {
                if let Some(m) = self.control_planes.get_mut(place) {
                    m.up = false;
                    m.life += 1;
                }
            }
            Who::Q(place) => {
                if let Some(g) = self.gateways.get_mut(place) {
                    g.up = false;
                    g.life += 1;
                }
            }
        }
    }

    pub fn start(&mut self, who: Who) {
        let (quotas, size) = (self.quotas(), self.gateways.len());
        match who {
            Who::M(place) if !self.control_planes[place].up => {
                let life = self.control_planes[place].life;
                self.control_planes[place] = self.control_plane(place, life, &quotas, size);
                self.starts_anew(place);
            }
            Who::Q(place) if !self.gateways[place].up => {
                let life = self.gateways[place].life;
                self.gateways[place] = self.gateway(place, life, &quotas, size);
                self.says_hello(place);
            }
            _ => {}
        }
    }

    /// A holder beside the leader that has counts, if there is one.
    pub fn deputy(&mut self) -> Option<usize> {
        let leader = self.leader?;
        let assignment = self.control_planes[leader].placer.as_ref()?.assignment().clone();
        let others: Vec<usize> = (0..self.control_planes.len())
            .filter(|place| *place != leader && assignment.contains(&name(*place)))
            .collect();
        (!others.is_empty()).then(|| others[self.lots.below(others.len())])
    }

    pub fn holders(&self) -> usize {
        let placer = self.leader.and_then(|leader| self.control_planes[leader].placer.as_ref());
        placer.map_or(0, |placer| placer.assignment().holders.len())
    }
}
