//! Calls of backends and operators, at the leader and at the processes that forward calls to the leader.
//!
//! An order is a call that only the leader can handle ([`LeaderCall`]): reading or replacing the configuration,
//! recording the drain of a backend, or removing a voter. A process that does not lead forwards the order to the
//! leader and passes the reply to the caller.

use super::drains::{DRAIN_FORWARD_TIMEOUT_MS, MAX_PENDING_DRAINS};
use super::*;
use crate::admission::{Decision, decide};

impl ControlPlane {
    pub(super) fn on_call(&mut self, call: Call, reply: oneshot::Sender<Reply>) {
        let now = self.now();
        *self.event_log.counters.calls.entry(call.kind()).or_default() += 1;
        match call {
            Call::Heartbeat(backend) => {
                let draining = (backend.phase == Phase::Draining).then(|| backend.id.clone());
                let outcome = self.register.record_heartbeat(now, backend);
                self.publish_merge_outcome(outcome);
                match draining {
                    Some(id) => self.on_drain_call(id, reply, now),
                    None => drop(reply.send(self.heartbeat_reply(now))),
                }
            }
            Call::Departure(id) => {
                let outcome = self.register.record_departure(now, &id);
                self.publish_merge_outcome(outcome);
                self.on_drain_call(id, reply, now);
            }
            Call::Order(order) => self.on_local_leader_call(order, reply, now),
            Call::Status => drop(reply.send(self.status(now))),
            Call::History => drop(reply.send(self.history(now))),
            Call::VersionBody(version) => drop(reply.send(self.version_body(version))),
            Call::Events(about) => drop(reply.send(self.events(now, about.as_deref()))),
            Call::Metrics => drop(reply.send(self.metrics(now))),
        }
    }

    /// An isolated process refuses a heartbeat, so that the backend calls another process: an update from here would
    /// reach few others, and other processes would consider the backend overdue.
    fn heartbeat_reply(&self, now: u64) -> Reply {
        let (.., current) = self.leader(now);
        if current || now < self.last_current_at + ISOLATION_GRACE_MS {
            Reply::ok()
        } else {
            Reply::error(503, "this process is cut off: call another one")
        }
    }

    pub(super) fn publish_merge_outcome(&mut self, outcome: MergeOutcome) {
        if let MergeOutcome::Changed(backends) = outcome {
            self.publish_called_backends(backends);
        }
    }

    pub(super) fn on_local_leader_call(
        &mut self, order: LeaderCall, reply: oneshot::Sender<Reply>, now: u64,
    ) {
        if self.accepts_leader_calls() {
            return self.on_leader_call(Requester::Local(reply), order, now);
        }
        let max_pending =
            if matches!(order, LeaderCall::Drain(_)) { MAX_PENDING_DRAINS } else { MAX_PENDING_CALLS };
        if self.pending_calls.len() >= max_pending {
            let _ = reply.send(Reply::error(503, "too many calls wait"));
            return;
        }
        self.last_token += 1;
        let token = self.last_token;
        self.pending_calls.insert(token, PendingCall { reply, since: now, order, forwarded_on: None });
        self.forward_pending(now);
    }

    /// Forwards pending calls as soon as a leader is known.
    pub(super) fn forward_pending(&mut self, now: u64) {
        let (leader, _, current) = self.leader(now);
        let accepts_leader_calls = self.accepts_leader_calls();
        self.requeue_stranded(leader.filter(|_| current));
        let ready: Vec<u64> = self
            .pending_calls
            .iter()
            .filter(|(_, pending)| pending.forwarded_on.is_none())
            .map(|(t, _)| *t)
            .collect();
        for token in ready {
            if accepts_leader_calls {
                if let Some(pending) = self.pending_calls.remove(&token) {
                    self.on_leader_call(Requester::Local(pending.reply), pending.order, now);
                }
            } else if let Some(to) = leader.filter(|to| *to != self.settings.address)
                && self.leader_supports(&to, token)
                && let Some((connection, line)) = self.dialed_connection(&to)
                && let Some(pending) = self.pending_calls.get_mut(&token)
                && line.send(&Message::ForwardedCall { token, call: pending.order.clone() })
            {
                pending.forwarded_on = Some(connection);
            }
        }
    }

    /// Whether the leader understands the order of a pending call.
    fn leader_supports(&self, leader: &SocketAddr, token: u64) -> bool {
        let is_drain = |pending: &PendingCall| matches!(pending.order, LeaderCall::Drain(_));
        self.drains_supported_by.contains(leader) || !self.pending_calls.get(&token).is_some_and(is_drain)
    }

    /// Handles the leader's reply to a forwarded call. A reply on any connection but the one of the call is ignored.
    pub(super) fn on_forwarded_reply(&mut self, connection: u64, token: u64, reply: Reply) {
        let was_forwarded_here = |pending: &PendingCall| pending.forwarded_on == Some(connection);
        if self.pending_calls.get(&token).is_some_and(was_forwarded_here)
            && let Some(pending) = self.pending_calls.remove(&token)
        {
            self.reply_to_pending(pending, reply);
        }
    }

    fn reply_to_pending(&mut self, pending: PendingCall, reply: Reply) {
        let now = self.now();
        match pending.order {
            LeaderCall::Drain(id) => self.reply_to_drain_call(&id, pending.reply, reply, now),
            _ => drop(pending.reply.send(reply)),
        }
    }

    /// Requeues calls whose connection is lost or whose receiver stopped leading. Forwarding an order again is safe:
    /// an order that is already in the log is acknowledged, not accepted twice. Each call gets a new token, so that a
    /// late reply of the former leader is ignored.
    fn requeue_stranded(&mut self, current_leader: Option<SocketAddr>) {
        let is_stale = |connection: u64| match self.peers.get(&connection).filter(|peer| !peer.line.is_lost())
        {
            Some(peer) => current_leader.is_some_and(|leader| peer.dialed != Some(leader)),
            None => true,
        };
        let stranded: Vec<u64> = self
            .pending_calls
            .iter()
            .filter(|(_, pending)| pending.forwarded_on.is_some_and(is_stale))
            .map(|(t, _)| *t)
            .collect();
        for token in stranded {
            if let Some(pending) = self.pending_calls.remove(&token) {
                self.last_token += 1;
                self.pending_calls.insert(self.last_token, PendingCall { forwarded_on: None, ..pending });
            }
        }
    }

    /// Whether this process leads but has not held a lease yet. Before its first lease a leader does not know all
    /// entries that its predecessors committed.
    fn awaits_lease(&self, now: u64) -> bool {
        let lacks_lease = |node: &Node| node.is_leader() && node.lease_until(now).is_none();
        self.node.as_ref().is_some_and(lacks_lease) && !self.faults.ignores_lease
    }

    /// Handles the deferred orders once the new leader holds its first lease or stops leading.
    pub(super) fn process_leader_calls_awaiting_lease(&mut self, now: u64) {
        if self.leader_calls_awaiting_lease.is_empty() || self.awaits_lease(now) {
            return;
        }
        for (requester, order) in std::mem::take(&mut self.leader_calls_awaiting_lease) {
            self.on_leader_call(requester, order, now);
        }
    }

    pub(super) fn expire_calls(&mut self, now: u64) {
        self.forward_pending(now);
        let timeout = |pending: &PendingCall| match pending {
            PendingCall { order: LeaderCall::Drain(_), .. } => DRAIN_FORWARD_TIMEOUT_MS,
            PendingCall { forwarded_on: Some(_), .. } => FORWARD_TIMEOUT_MS,
            PendingCall { forwarded_on: None, .. } => LEADER_WAIT_TIMEOUT_MS,
        };
        let is_expired = |pending: &PendingCall| now > pending.since + timeout(pending);
        let expired: Vec<u64> =
            self.pending_calls.iter().filter(|(_, pending)| is_expired(pending)).map(|(t, _)| *t).collect();
        for token in expired {
            if let Some(pending) = self.pending_calls.remove(&token) {
                let why = if pending.forwarded_on.is_some() {
                    "the leader gave no answer"
                } else {
                    "no leader is known"
                };
                self.reply_to_pending(pending, Reply::error(503, why));
            }
        }
        let expired: Vec<u64> = self
            .pending_proposals
            .iter()
            .filter(|(_, proposal)| now > proposal.since + FORWARD_TIMEOUT_MS)
            .map(|(token, _)| *token)
            .collect();
        for token in expired {
            self.reply_to_proposal(token, Reply::error(503, "no majority has it on disk yet"));
        }
    }

    pub(super) fn reply_to(&self, requester: Requester, reply: Reply) {
        match requester {
            Requester::Local(to) => drop(to.send(reply)),
            Requester::Remote { peer, token } => {
                if let Some(peer) = self.peers.get(&peer) {
                    let Reply { status, body } = reply;
                    peer.line.send(&Message::ForwardedReply { token, status, body });
                }
            }
        }
    }

    pub(super) fn reply_to_proposal(&mut self, token: u64, reply: Reply) {
        if let Some(proposed) = self.pending_proposals.remove(&token) {
            self.reply_to(proposed.requester, reply);
        }
    }

    /// Handles an order at the leader.
    pub(super) fn on_leader_call(&mut self, requester: Requester, order: LeaderCall, now: u64) {
        // The process that forwarded the order forwards it again once another process leads.
        if self.is_shutting_down && matches!(requester, Requester::Remote { .. }) {
            return;
        }
        if self.awaits_lease(now) && self.leader_calls_awaiting_lease.len() < MAX_PENDING_CALLS {
            return self.leader_calls_awaiting_lease.push((requester, order));
        }
        let leads = self
            .node
            .as_ref()
            .is_some_and(|node| node.is_leader() && (node.holds_lease(now) || self.faults.ignores_lease));
        if !leads {
            return self.reply_to(requester, Reply::error(503, "this process does not lead"));
        }
        match order {
            LeaderCall::Read => {
                let reply = match self.config_history.body() {
                    Some(body) => Reply { status: 200, body: body.to_vec() },
                    None => Reply::error(404, "no configuration was taken yet"),
                };
                self.reply_to(requester, reply);
            }
            LeaderCall::Remove(address) => {
                let reply = self.remove_voter(&address, now);
                self.reply_to(requester, reply);
            }
            LeaderCall::Drain(id) => self.on_drain(requester, id, now),
            LeaderCall::Replace { base, body } => {
                let decision = decide(&self.config_history, base, body);
                self.event_log.on_decision(now, &decision);
                if let Some(reply) = decision.reply() {
                    return self.reply_to(requester, reply);
                }
                if let Decision::Propose(change) = decision {
                    self.propose(requester, &change, now);
                }
            }
        }
    }
}

impl ControlPlane {
    /// Proposes a change. The reply is sent once the log has decided.
    fn propose(&mut self, requester: Requester, change: &Change, now: u64) {
        self.last_token += 1;
        let token = self.last_token;
        self.pending_proposals.insert(token, PendingProposal { requester, since: now });
        self.step_raft(Input::Propose { token, change: bitcode::encode(change) });
        if self.faults.acknowledges_early {
            self.reply_to_proposal(token, Reply::ok());
        }
    }

    /// Removes a voter. The Raft node completes a removal only if the request is repeated until a majority of the
    /// other voters has the new list, so the caller repeats the call: 202 means in progress, 404 means that no voter
    /// has this address. The removal is safe: a leader with a lease is in contact with a majority of the voters, and
    /// only an unresponsive voter is removed, so the responsive majority remains.
    fn remove_voter(&mut self, address: &str, now: u64) -> Reply {
        let Some(node) = &self.node else { return Reply::error(503, "this process does not lead") };
        let in_progress = Reply::error(202, "under way: ask again");
        let Some(voter) = node.members().iter().find(|voter| voter.address == address).cloned() else {
            let voters: Vec<_> = node.members().iter().map(|voter| voter.address.as_str()).collect();
            let why = format!("{address} is no voter; the voters are {}", voters.join(", "));
            return if node.membership_committed() { Reply::error(404, &why) } else { in_progress };
        };
        if voter == *node.me() {
            return Reply::error(
                409,
                &format!("{address} leads: end its process first, then another one does"),
            );
        }
        // A running process would become a voter again after its removal, so only an unresponsive voter is removed.
        if !node.has_led_for_election_timeout(now) {
            return in_progress;
        }
        if node.is_responsive(&voter, now) {
            return Reply::error(409, &format!("{address} lives: end its process first"));
        }
        self.step_raft(Input::RemoveVoter(voter));
        in_progress
    }
}
