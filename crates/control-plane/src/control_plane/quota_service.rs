//! The office of those who hold the counts: the leader, and the deputies that it makes holders beside it.

use super::*;
use quota::{Epoch, Handover, MAX_DEPUTY_LEASE};

/// A deputy asks for its lease this often, and whoever could become one offers itself this often.
const RENEW: u64 = 70;
const OFFER: u64 = 1000;
/// Offers of which an answer is still worth anything.
const OFFERS: usize = 16;

/// The log is told of another number of data planes once it is off by more than one in so many.
const FLEET_MOVES: u32 = 8;
impl ControlPlane {
    /// Whoever holds the lease of the log holds the counts, and may share them out.
    pub(super) fn tend_quota_service(&mut self, now: u64) {
        self.count_draws(now);
        let Some(node) = &self.node else { return };
        let (leads, holds, term) = (node.is_leader(), node.holds_lease(now), node.term());
        if !leads {
            // The office ends with the term: a lease that comes back within it finds its counts as they were.
            self.resign(now);
            self.offer(now);
        } else if holds && self.placer.as_ref().is_none_or(|p| p.assignment().epoch.term != term) {
            let first = term <= 1 && self.config_history.version() == 0;
            let bears = self.settings.draws_a_holder;
            let bears = if bears > 0.0 { bears } else { f64::INFINITY };
            let placer = HolderAssigner::new(&self.settings.address.to_string(), term, now as f64, bears);
            self.assignment = placer.assignment().clone();
            self.placer = Some(placer);
            self.resize_fleet(now);
            // Deputies' counts have no floors.
            if self.settings.draws_a_holder <= 0.0 {
                self.quota_service.set_floors(self.config_history.floors().clone());
            }
            self.quota_service.apply_assignment(now as f64, &self.assignment, first);
            let data_planes = self.peers.values().filter(|p| now < p.heard + PEER_SILENT);
            for (peer, hello) in data_planes.filter_map(|p| Some((p, p.hello.as_ref()?))) {
                if hello.plane == Plane::DataPlane && !self.has_departed(hello) {
                    self.quota_service.record_contact(peer.heard as f64, &hello.name, Epoch::first(term));
                }
            }
            self.watch.note(now, self.settings.address.to_string(), Happened::QuotaService(true));
        } else if holds {
            self.share_out(now);
        }
        self.renew(now);
    }

    /// The leader's office lasts as long as the lease of its log.
    fn renew(&mut self, now: u64) {
        if self.placer.is_some()
            && let Some(until) = self.node.as_ref().and_then(|node| node.lease_until(now))
        {
            self.quota_service.set_lease(until as f64);
        }
        self.tend_marks(now);
    }

    /// Has the log say what whoever holds the counts next ought to know. One entry at a time, and no more than a few a
    /// second: floors rise after seconds, and fall once for each tenant that becomes busy.
    pub(super) fn tend_marks(&mut self, now: u64) {
        if self.placer.is_none() || self.marking.is_some() {
            return;
        }
        let alone = self.settings.draws_a_holder <= 0.0;
        let floors = if alone { self.quota_service.propose_floors(now as f64) } else { Vec::new() };
        let (fleet, said) = (self.fleet_to_record(now), self.config_history.fleet());
        // A few more or less change nobody's part by much.
        let other = now >= YOUNG && fleet > 0 && fleet.abs_diff(said) * FLEET_MOVES > said;
        if floors.is_empty() && !other {
            return;
        }
        self.tokens += 1;
        self.marking = Some(self.tokens);
        let fleet = if other { fleet } else { said };
        let change = Marks { floors, fleet }.entry();
        self.log(Input::Propose { token: self.tokens, change });
    }

    pub(super) fn resign(&mut self, now: u64) {
        if self.placer.take().is_some() {
            self.quota_service.resign();
            self.watch.note(now, self.settings.address.to_string(), Happened::QuotaService(false));
        }
    }

    fn count_draws(&mut self, now: u64) {
        let (before, since, _) = self.offers.draws;
        if now >= since + 1000 {
            let draws = self.watch.counted.draws.0;
            let rate = (draws - before) as f64 * 1000.0 / (now - since) as f64;
            self.offers.draws = (draws, now, rate);
        }
    }

    fn share_out(&mut self, now: u64) {
        let Some(placer) = &mut self.placer else { return };
        if placer.update(now as f64, self.offers.draws.2) {
            self.assignment = placer.assignment().clone();
            let told = self.quota_service.apply_assignment(now as f64, &self.assignment, false);
            // The assignment goes first: a new holder has to know that it is one.
            self.to_control_planes(&Message::HolderAssignment(self.assignment.clone()));
            self.hand_over(told);
            self.next[1] = now;
        }
    }

    /// A voter asks the leader for its lease, or offers itself.
    fn offer(&mut self, now: u64) {
        if self.settings.draws_a_holder <= 0.0 || now < self.offers.next {
            return;
        }
        let (Some(leader), ..) = self.leader(now) else { return };
        let deputy = self.assignment.contains(&self.settings.address.to_string());
        self.offers.next = now + if deputy { RENEW } else { OFFER };
        let number = self.offers.sent.back().map_or(1, |(number, _)| number + 1);
        let Some(line) = self.line_to(&leader) else { return };
        line.send(&Message::Offer { number, answered: self.offers.answered, draws: self.offers.draws.2 });
        self.offers.sent.push_back((number, now));
        if self.offers.sent.len() > OFFERS {
            self.offers.sent.pop_front();
        }
    }

    pub(super) fn on_offer(&mut self, number: u64, offer: u64, answered: u64, draws: f64, now: u64) {
        let until = self.node.as_ref().and_then(|node| node.lease_until(now)).filter(|until| *until > now);
        let (Some(placer), Some(until), Some(peer)) = (&mut self.placer, until, self.peers.get(&number))
        else {
            return;
        };
        let Some(hello) =
            peer.hello.as_ref().filter(|hello| hello.plane == Plane::ControlPlane && hello.quorum)
        else {
            return;
        };
        let draws = if draws.is_finite() { draws.max(0.0) } else { 0.0 };
        let deputy = placer.record_offer(now as f64, &hello.address, answered, draws);
        let ends_in = if deputy { (until - now) as f64 } else { 0.0 };
        peer.line.send(&Message::Lease { number: offer, assignment: placer.assignment().clone(), ends_in });
    }

    pub(super) fn on_lease(&mut self, offer: u64, assignment: &HolderAssignment, ends_in: f64, now: u64) {
        self.on_assignment(assignment, now);
        self.offers.answered = self.offers.answered.max(offer);
        let sent = self.offers.sent.iter().find(|(number, _)| *number == offer).map(|(_, sent)| *sent);
        if let Some(sent) = sent
            && self.placer.is_none()
            && self.quota_service.assignment().epoch == assignment.epoch
            && ends_in > 0.0
        {
            let until = sent as f64 + ends_in.min(MAX_DEPUTY_LEASE);
            let until = until.max(self.quota_service.lease_until());
            self.quota_service.set_lease(until);
        }
    }

    /// Another process, the leader as a rule, tells of an assignment.
    pub(super) fn on_assignment(&mut self, assignment: &HolderAssignment, now: u64) {
        // A voter that knows of a newer term expects nothing from the leader of an old one.
        if assignment.epoch <= self.assignment.epoch
            || self.node.as_ref().is_none_or(|n| assignment.epoch.term < n.term())
        {
            return;
        }
        self.assignment = assignment.clone();
        let told = self.quota_service.apply_assignment(now as f64, assignment, false);
        self.hand_over(told);
        self.assigned(now);
    }

    pub(super) fn on_handover(&mut self, handover: Handover, now: u64) {
        if self.node.as_ref().is_none_or(|node| handover.assignment.epoch.term < node.term()) {
            return;
        }
        let newer = handover.assignment.epoch > self.assignment.epoch;
        if newer {
            self.assignment = handover.assignment.clone();
        }
        let told = self.quota_service.accept_handover(now as f64, handover);
        self.silence_departed();
        self.hand_over(told);
        if newer {
            self.assigned(now);
        }
    }

    /// A new holder needs its lease, and followers are to hear of a new assignment at once.
    fn assigned(&mut self, now: u64) {
        self.offers.next = now;
        self.offer(now);
        self.next[1] = now;
    }

    fn hand_over(&self, told: Vec<(String, Handover)>) {
        for (to, handover) in told {
            if let Some(line) = to.parse().ok().and_then(|to| self.line_to(&to)) {
                line.send(&Message::Handover(handover));
            }
        }
    }

    /// What followers are told of the assignment of a term: nothing while the leader holds all counts alone.
    pub(super) fn deputies(&self, term: u64) -> (u32, Vec<String>) {
        if self.node.is_none() {
            let known = self.told.epoch == term;
            return if known { (self.told.assignment, self.told.deputies.clone()) } else { (0, Vec::new()) };
        }
        let Epoch { term: of, number } = self.assignment.epoch;
        if of != term || number <= 1 {
            return (0, Vec::new());
        }
        let leader = self.leader(self.now()).0.map(|leader| leader.to_string());
        let others = self.assignment.holders.iter().filter(|holder| Some(*holder) != leader.as_ref());
        (number, others.cloned().collect())
    }

    pub(super) fn on_draw(&mut self, number: u64, draw: quota::LeaseRequest, now: u64) {
        self.renew(now);
        let Some(peer) = self.peers.get(&number) else { return };
        let Some(hello) = &peer.hello else { return };
        if self.fleet.has_departed(&hello.name, hello.life) {
            return;
        }
        self.fleet.heard(now, &hello.name, hello.life);
        let message = match self.quota_service.handle_request(now as f64, &hello.name, &draw) {
            Some(grant) => {
                self.watch.counted.draws.0 += 1;
                Message::Grant(grant)
            }
            None => {
                self.watch.counted.draws.1 += 1;
                Message::NotHolder { number: draw.number }
            }
        };
        peer.line.send(&message);
        if self.quota_service.needs_lower_floor() {
            self.tend_marks(now);
        }
    }
}
