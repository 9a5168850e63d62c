//! The quota holder role: the leader holds the quota counters, alone or together with deputies that it appoints.
//!
//! A holder keeps its role only while it has a lease: the leader by its Raft lease, a deputy by a lease that it
//! requests from the leader. A voter offers itself as a deputy, and the leader publishes the current deputies as a
//! numbered assignment. A checkpoint is a log entry with the fleet size and the quota floors (see [`quota::Floor`])
//! that the next holder starts from.

use super::*;
use quota::{Epoch, Handover, MAX_DEPUTY_LEASE};

/// Interval at which a deputy renews its lease. Other voters offer themselves every [`OFFER_INTERVAL_MS`].
const LEASE_RENEWAL_INTERVAL_MS: u64 = 70;
const OFFER_INTERVAL_MS: u64 = 1000;
/// Maximum number of outstanding offers; a response to an older offer is ignored.
const MAX_OUTSTANDING_OFFERS: usize = 16;

/// A new fleet size is recorded in the log once the difference exceeds the recorded size divided by this.
const FLEET_CHANGE_DIVISOR: u32 = 8;
impl ControlPlane {
    /// The leader holds the quota counters while it holds its Raft lease, and may share them with deputies.
    pub(super) fn maintain_quota_service(&mut self, now: u64) {
        self.measure_request_rate(now);
        let Some(node) = &self.node else { return };
        let (is_leader, has_lease, term) = (node.is_leader(), node.holds_lease(now), node.term());
        if !is_leader {
            // A leader that only loses its lease keeps the holder role, since a term has at most one leader: if the
            // lease is regained within the term, the counters are still valid.
            self.resign_quota_holder(now);
            self.send_holder_lease_request(now);
        } else if has_lease && self.placer.as_ref().is_none_or(|p| p.assignment().epoch.term != term) {
            let is_first_term = term <= 1 && self.config_history.version() == 0;
            let max_requests = self.settings.max_lease_requests_per_holder;
            let max_requests = if max_requests > 0.0 { max_requests } else { f64::INFINITY };
            let placer =
                HolderAssigner::new(&self.settings.address.to_string(), term, now as f64, max_requests);
            self.assignment = placer.assignment().clone();
            self.placer = Some(placer);
            self.resize_fleet(now);
            // Checkpoints contain quota floors (see [`quota::Floor`]) only while the leader is the sole holder.
            if self.settings.max_lease_requests_per_holder <= 0.0 {
                self.quota_service.set_floors(self.config_history.floors().clone());
            }
            self.quota_service.apply_assignment(now as f64, &self.assignment, is_first_term);
            let data_planes = self.peers.values().filter(|p| now < p.last_received_at + PEER_TIMEOUT_MS);
            for (peer, hello) in data_planes.filter_map(|p| Some((p, p.hello.as_ref()?))) {
                if hello.plane == Plane::DataPlane && !self.has_departed(hello) {
                    self.quota_service.record_contact(
                        peer.last_received_at as f64,
                        &hello.name,
                        Epoch::first(term),
                    );
                }
            }
            self.event_log.record(now, self.settings.address.to_string(), Recorded::QuotaService(true));
        } else if has_lease {
            self.rebalance_holders(now);
        }
        self.renew_quota_lease(now);
    }

    /// Extends the quota holder role of the leader to the end of its Raft lease.
    fn renew_quota_lease(&mut self, now: u64) {
        if self.placer.is_some()
            && let Some(until) = self.node.as_ref().and_then(|node| node.lease_until(now))
        {
            self.quota_service.set_lease(until as f64);
        }
        self.propose_checkpoint(now);
    }

    /// Proposes a checkpoint with the quota floors and the fleet size for the next quota holder. One checkpoint is in
    /// flight at a time. Checkpoints stay rare, at most a few per second: the floor of a tenant rises only after
    /// seconds, and falls once when the tenant becomes busy.
    pub(super) fn propose_checkpoint(&mut self, now: u64) {
        if self.placer.is_none() || self.checkpoint_token.is_some() {
            return;
        }
        let is_sole_holder = self.settings.max_lease_requests_per_holder <= 0.0;
        let floors = if is_sole_holder { self.quota_service.propose_floors(now as f64) } else { Vec::new() };
        let (fleet_size, recorded) = (self.fleet_size_to_record(now), self.config_history.fleet_size());
        // A small difference in the fleet size is not recorded, since it hardly changes the slice of a data plane.
        let fleet_changed = now >= WARMUP_MS
            && fleet_size > 0
            && fleet_size.abs_diff(recorded) * FLEET_CHANGE_DIVISOR > recorded;
        if floors.is_empty() && !fleet_changed {
            return;
        }
        self.last_token += 1;
        self.checkpoint_token = Some(self.last_token);
        let fleet_size = if fleet_changed { fleet_size } else { recorded };
        let change = QuotaCheckpoint { floors, fleet_size }.to_entry();
        self.step_raft(Input::Propose { token: self.last_token, change });
    }

    pub(super) fn resign_quota_holder(&mut self, now: u64) {
        if self.placer.take().is_some() {
            self.quota_service.resign();
            self.event_log.record(now, self.settings.address.to_string(), Recorded::QuotaService(false));
        }
    }

    fn measure_request_rate(&mut self, now: u64) {
        let (before, since, _) = self.offers.request_rate;
        if now >= since + 1000 {
            let requests = self.event_log.counters.lease_requests.0;
            let rate = (requests - before) as f64 * 1000.0 / (now - since) as f64;
            self.offers.request_rate = (requests, now, rate);
        }
    }

    fn rebalance_holders(&mut self, now: u64) {
        let Some(placer) = &mut self.placer else { return };
        if placer.update(now as f64, self.offers.request_rate.2) {
            self.assignment = placer.assignment().clone();
            let handovers = self.quota_service.apply_assignment(now as f64, &self.assignment, false);
            // The assignment goes first, so that a new holder knows its role before it receives a handover.
            self.send_to_control_planes(&Message::HolderAssignment(self.assignment.clone()));
            self.send_handovers(handovers);
            self.next_due[1] = now;
        }
    }

    /// Requests a quota lease from the leader: renews the lease of a deputy, or offers this voter as a new deputy.
    fn send_holder_lease_request(&mut self, now: u64) {
        if self.settings.max_lease_requests_per_holder <= 0.0 || now < self.offers.next_at {
            return;
        }
        let (Some(leader), ..) = self.leader(now) else { return };
        let is_deputy = self.assignment.contains(&self.settings.address.to_string());
        self.offers.next_at = now + if is_deputy { LEASE_RENEWAL_INTERVAL_MS } else { OFFER_INTERVAL_MS };
        let number = self.offers.sent.back().map_or(1, |(number, _)| number + 1);
        let Some(line) = self.line_to(&leader) else { return };
        line.send(&Message::HolderLeaseRequest {
            number,
            answered: self.offers.last_answered,
            request_rate: self.offers.request_rate.2,
        });
        self.offers.sent.push_back((number, now));
        if self.offers.sent.len() > MAX_OUTSTANDING_OFFERS {
            self.offers.sent.pop_front();
        }
    }

    pub(super) fn on_holder_lease_request(
        &mut self, connection: u64, offer: u64, answered: u64, request_rate: f64, now: u64,
    ) {
        let until = self.node.as_ref().and_then(|node| node.lease_until(now)).filter(|until| *until > now);
        let (Some(placer), Some(until), Some(peer)) = (&mut self.placer, until, self.peers.get(&connection))
        else {
            return;
        };
        let Some(hello) =
            peer.hello.as_ref().filter(|hello| hello.plane == Plane::ControlPlane && hello.quorum)
        else {
            return;
        };
        let request_rate = if request_rate.is_finite() { request_rate.max(0.0) } else { 0.0 };
        let is_deputy = placer.record_offer(now as f64, &hello.address, answered, request_rate);
        let lease_ms = if is_deputy { (until - now) as f64 } else { 0.0 };
        peer.line.send(&Message::HolderLease {
            number: offer,
            assignment: placer.assignment().clone(),
            lease_ms,
        });
    }

    pub(super) fn on_holder_lease(
        &mut self, offer: u64, assignment: &HolderAssignment, lease_ms: f64, now: u64,
    ) {
        self.on_assignment(assignment, now);
        self.offers.last_answered = self.offers.last_answered.max(offer);
        let sent = self.offers.sent.iter().find(|(number, _)| *number == offer).map(|(_, sent)| *sent);
        if let Some(sent) = sent
            && self.placer.is_none()
            && self.quota_service.assignment().epoch == assignment.epoch
            && lease_ms > 0.0
        {
            let until = sent as f64 + lease_ms.min(MAX_DEPUTY_LEASE);
            let until = until.max(self.quota_service.lease_until());
            self.quota_service.set_lease(until);
        }
    }

    /// Handles an assignment from another process, usually the leader.
    pub(super) fn on_assignment(&mut self, assignment: &HolderAssignment, now: u64) {
        // An assignment that is not newer, such as one of an older term's leader, is ignored.
        if assignment.epoch <= self.assignment.epoch
            || self.node.as_ref().is_none_or(|n| assignment.epoch.term < n.term())
        {
            return;
        }
        self.assignment = assignment.clone();
        let handovers = self.quota_service.apply_assignment(now as f64, assignment, false);
        self.send_handovers(handovers);
        self.on_assignment_changed(now);
    }

    pub(super) fn on_handover(&mut self, handover: Handover, now: u64) {
        if self.node.as_ref().is_none_or(|node| handover.assignment.epoch.term < node.term()) {
            return;
        }
        let is_newer = handover.assignment.epoch > self.assignment.epoch;
        if is_newer {
            self.assignment = handover.assignment.clone();
        }
        let handovers = self.quota_service.accept_handover(now as f64, handover);
        self.exclude_departed();
        self.send_handovers(handovers);
        if is_newer {
            self.on_assignment_changed(now);
        }
    }

    /// Requests a lease if this process is a new holder, and sends the new assignment to subscribers immediately.
    fn on_assignment_changed(&mut self, now: u64) {
        self.offers.next_at = now;
        self.send_holder_lease_request(now);
        self.next_due[1] = now;
    }

    fn send_handovers(&self, handovers: Vec<(String, Handover)>) {
        for (to, handover) in handovers {
            if let Some(line) = to.parse().ok().and_then(|to| self.line_to(&to)) {
                line.send(&Message::Handover(handover));
            }
        }
    }

    /// The number of the assignment in a term and its deputies; empty while the leader is the sole holder.
    pub(super) fn deputies(&self, term: u64) -> (u32, Vec<String>) {
        if self.node.is_none() {
            let is_same_term = self.last_heartbeat.term == term;
            return if is_same_term {
                (self.last_heartbeat.assignment, self.last_heartbeat.other_holders.clone())
            } else {
                (0, Vec::new())
            };
        }
        let Epoch { term: assigned_in, number } = self.assignment.epoch;
        if assigned_in != term || number <= 1 {
            return (0, Vec::new());
        }
        let leader = self.leader(self.now()).0.map(|leader| leader.to_string());
        let others = self.assignment.holders.iter().filter(|holder| Some(*holder) != leader.as_ref());
        (number, others.cloned().collect())
    }

    pub(super) fn on_lease_request(&mut self, connection: u64, request: quota::LeaseRequest, now: u64) {
        self.renew_quota_lease(now);
        let Some(peer) = self.peers.get(&connection) else { return };
        let Some(hello) = &peer.hello else { return };
        if self.fleet.has_departed(&hello.name, hello.process_incarnation) {
            return;
        }
        self.fleet.record_contact(now, &hello.name, hello.process_incarnation);
        let message = match self.quota_service.handle_request(now as f64, &hello.name, &request) {
            Some(grant) => {
                self.event_log.counters.lease_requests.0 += 1;
                Message::Grant(grant)
            }
            None => {
                self.event_log.counters.lease_requests.1 += 1;
                Message::NotHolder { number: request.number }
            }
        };
        peer.line.send(&message);
        if self.quota_service.needs_lower_floor() {
            self.propose_checkpoint(now);
        }
    }
}
