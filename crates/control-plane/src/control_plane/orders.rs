//! Calls of backends and of the operator, at the leader and on their way to it.

use super::drains::{LEAVING_PASSED, LEAVINGS_WAITING};
use super::*;
use crate::admission::{Decision, decide};

impl ControlPlane {
    pub(super) fn on_call(&mut self, call: Call, reply: oneshot::Sender<Reply>) {
        let now = self.now();
        *self.watch.counted.calls.entry(call.kind()).or_default() += 1;
        match call {
            Call::Heartbeat(backend) => {
                let leaving = (backend.phase == Phase::Draining).then(|| backend.id.clone());
                let judgement = self.register.beat(now, backend);
                self.on_judgement(judgement);
                match leaving {
                    Some(id) => self.on_leaving(id, reply, now),
                    None => drop(reply.send(self.answer_beat(now))),
                }
            }
            Call::Departure(id) => {
                let judgement = self.register.departed(now, &id);
                self.on_judgement(judgement);
                self.on_leaving(id, reply, now);
            }
            Call::Order(order) => self.on_order_here(order, reply, now),
            Call::Status => drop(reply.send(self.status(now))),
            Call::History => drop(reply.send(self.history(now))),
            Call::VersionBody(version) => drop(reply.send(self.past(version))),
            Call::Events(about) => drop(reply.send(self.events(now, about.as_deref()))),
            Call::Metrics => drop(reply.send(self.metrics(now))),
        }
    }

    /// Whoever is cut off sends a backend on to another process: what it says would reach few, and it would count as overdue
    /// elsewhere.
    fn answer_beat(&self, now: u64) -> Reply {
        let (.., current) = self.leader(now);
        if current || now < self.current_at + CUT_OFF {
            Reply::ok()
        } else {
            Reply::error(503, "this process is cut off: call another one")
        }
    }

    pub(super) fn on_judgement(&mut self, judgement: Judgement) {
        if let Judgement::Changed(backends) = judgement {
            self.tell_called_backends(backends);
        }
    }

    pub(super) fn on_order_here(&mut self, order: Order, reply: oneshot::Sender<Reply>, now: u64) {
        if self.takes_orders() {
            return self.on_order(Asker::Here(reply), order, now);
        }
        let most = if matches!(order, Order::Drain(_)) { LEAVINGS_WAITING } else { CALLS_WAITING };
        if self.waiting.len() >= most {
            let _ = reply.send(Reply::error(503, "too many calls wait"));
            return;
        }
        self.tokens += 1;
        let token = self.tokens;
        self.waiting.insert(token, Waiting { reply, since: now, order, passed: None });
        self.pass_on(now);
    }

    /// Calls that wait for a leader go to it as soon as it is known.
    pub(super) fn pass_on(&mut self, now: u64) {
        let (leader, _, current) = self.leader(now);
        let leads = self.takes_orders();
        self.take_back(leader.filter(|_| current));
        let ready: Vec<u64> =
            self.waiting.iter().filter(|(_, w)| w.passed.is_none()).map(|(t, _)| *t).collect();
        for token in ready {
            if leads {
                if let Some(waiting) = self.waiting.remove(&token) {
                    self.on_order(Asker::Here(waiting.reply), waiting.order, now);
                }
            } else if let Some(to) = leader.filter(|to| *to != self.settings.address)
                && self.may_be_asked(&to, token)
                && let Some((number, line)) = self.connection_to(&to)
                && let Some(waiting) = self.waiting.get_mut(&token)
                && line.send(&Message::Ask { token, order: waiting.order.clone() })
            {
                waiting.passed = Some(number);
            }
        }
    }

    /// Whether a leader reads the order of a call that waits.
    fn may_be_asked(&self, leader: &SocketAddr, token: u64) -> bool {
        let drains = |waiting: &Waiting| matches!(waiting.order, Order::Drain(_));
        self.understand_drains.contains(leader) || !self.waiting.get(&token).is_some_and(drains)
    }

    /// The leader's answer to a call. It comes on the connection that carried the call, or it is nobody's.
    pub(super) fn on_told(&mut self, number: u64, token: u64, reply: Reply) {
        let asked = |waiting: &Waiting| waiting.passed == Some(number);
        if self.waiting.get(&token).is_some_and(asked)
            && let Some(waiting) = self.waiting.remove(&token)
        {
            self.answer_waiting(waiting, reply);
        }
    }

    fn answer_waiting(&mut self, waiting: Waiting, reply: Reply) {
        let now = self.now();
        match waiting.order {
            Order::Drain(id) => self.answer_leaving(&id, waiting.reply, reply, now),
            _ => drop(waiting.reply.send(reply)),
        }
    }

    /// Orders whose connection is lost, or whose leader leads no more, are passed on anew: an order that the log has
    /// already is acknowledged, not taken twice. Each gets another token, so that the former leader's answer does not
    /// count.
    fn take_back(&mut self, current_leader: Option<SocketAddr>) {
        let gone = |number: u64| match self.peers.get(&number).filter(|peer| !peer.line.is_lost()) {
            Some(peer) => current_leader.is_some_and(|leader| peer.dialed != Some(leader)),
            None => true,
        };
        let stranded: Vec<u64> =
            self.waiting.iter().filter(|(_, w)| w.passed.is_some_and(gone)).map(|(t, _)| *t).collect();
        for token in stranded {
            if let Some(waiting) = self.waiting.remove(&token) {
                self.tokens += 1;
                self.waiting.insert(self.tokens, Waiting { passed: None, ..waiting });
            }
        }
    }

    /// Whether this process leads and has yet to get its first lease: until then it does not know all that its
    /// predecessors had committed.
    fn awaits_lease(&self, now: u64) -> bool {
        let awaits = |node: &Node| node.is_leader() && node.lease_until(now).is_none();
        self.node.as_ref().is_some_and(awaits) && !self.faults.ignores_lease
    }

    /// Orders that came to a new leader are worked through once it has its first lease, or leads no more.
    pub(super) fn tend_early_orders(&mut self, now: u64) {
        if self.early_orders.is_empty() || self.awaits_lease(now) {
            return;
        }
        for (asker, order) in std::mem::take(&mut self.early_orders) {
            self.on_order(asker, order, now);
        }
    }

    pub(super) fn tend_calls(&mut self, now: u64) {
        self.pass_on(now);
        let may_wait = |waiting: &Waiting| match waiting {
            Waiting { order: Order::Drain(_), .. } => LEAVING_PASSED,
            Waiting { passed: Some(_), .. } => PASSED,
            Waiting { passed: None, .. } => LEADERLESS,
        };
        let over = |waiting: &Waiting| now > waiting.since + may_wait(waiting);
        let late: Vec<u64> = self.waiting.iter().filter(|(_, w)| over(w)).map(|(t, _)| *t).collect();
        for token in late {
            if let Some(waiting) = self.waiting.remove(&token) {
                let why =
                    if waiting.passed.is_some() { "the leader gave no answer" } else { "no leader is known" };
                self.answer_waiting(waiting, Reply::error(503, why));
            }
        }
        let late: Vec<u64> =
            self.proposed.iter().filter(|(_, p)| now > p.since + PASSED).map(|(token, _)| *token).collect();
        for token in late {
            self.answer_proposed(token, Reply::error(503, "no majority has it on disk yet"));
        }
    }

    pub(super) fn answer(&self, asker: Asker, reply: Reply) {
        match asker {
            Asker::Here(to) => drop(to.send(reply)),
            Asker::There { peer, token } => {
                if let Some(peer) = self.peers.get(&peer) {
                    let Reply { status, body } = reply;
                    peer.line.send(&Message::Told { token, status, body });
                }
            }
        }
    }

    pub(super) fn answer_proposed(&mut self, token: u64, reply: Reply) {
        if let Some(proposed) = self.proposed.remove(&token) {
            self.answer(proposed.asker, reply);
        }
    }

    /// A call of the operator at the leader.
    pub(super) fn on_order(&mut self, asker: Asker, order: Order, now: u64) {
        // Whoever passed it on does so anew once another one leads.
        if self.is_ending && matches!(asker, Asker::There { .. }) {
            return;
        }
        if self.awaits_lease(now) && self.early_orders.len() < CALLS_WAITING {
            return self.early_orders.push((asker, order));
        }
        let leads = self
            .node
            .as_ref()
            .is_some_and(|node| node.is_leader() && (node.holds_lease(now) || self.faults.ignores_lease));
        if !leads {
            return self.answer(asker, Reply::error(503, "this process does not lead"));
        }
        match order {
            Order::Read => {
                let reply = match self.config_history.body() {
                    Some(body) => Reply { status: 200, body: body.to_vec() },
                    None => Reply::error(404, "no configuration was taken yet"),
                };
                self.answer(asker, reply);
            }
            Order::Remove(address) => {
                let reply = self.remove(&address, now);
                self.answer(asker, reply);
            }
            Order::Drain(id) => self.on_drain(asker, id, now),
            Order::Replace { base, body } => {
                let decision = decide(&self.config_history, base, body);
                self.watch.decided(now, &decision);
                if let Some(reply) = decision.reply() {
                    return self.answer(asker, reply);
                }
                if let Decision::Propose(change) = decision {
                    self.propose(asker, &change, now);
                }
            }
        }
    }
}

impl ControlPlane {
    /// Its answer waits until the log has decided.
    fn propose(&mut self, asker: Asker, change: &Change, now: u64) {
        self.tokens += 1;
        let token = self.tokens;
        self.proposed.insert(token, Proposed { asker, since: now });
        self.log(Input::Propose { token, change: bitcode::encode(change) });
        if self.faults.acknowledges_early {
            self.answer_proposed(token, Reply::ok());
        }
    }

    /// Takes a voter off the list. The log wants to be asked until a majority of the others has the new list, so the
    /// caller repeats the call until it is told so: 202 is "under way", 404 "nobody of that address votes". Whoever holds
    /// the lease hears a majority of the list; one that it does not hear leaves a shorter list with the same voters heard.
    fn remove(&mut self, address: &str, now: u64) -> Reply {
        let Some(node) = &self.node else { return Reply::error(503, "this process does not lead") };
        let under_way = Reply::error(202, "under way: ask again");
        let Some(voter) = node.members().iter().find(|voter| voter.address == address).cloned() else {
            let voters: Vec<_> = node.members().iter().map(|voter| voter.address.as_str()).collect();
            let why = format!("{address} is no voter; the voters are {}", voters.join(", "));
            return if node.voters_settled() { Reply::error(404, &why) } else { under_way };
        };
        if voter == *node.me() {
            return Reply::error(
                409,
                &format!("{address} leads: end its process first, then another one does"),
            );
        }
        // It would join again by itself as long as it runs.
        if !node.has_listened(now) {
            return under_way;
        }
        if node.hears(&voter, now) {
            return Reply::error(409, &format!("{address} lives: end its process first"));
        }
        self.log(Input::RemoveVoter(voter));
        under_way
    }
}
