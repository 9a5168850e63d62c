//! One state of the search: some nodes, their disks and all messages sent so far, and the events that may happen next.
//!
//! The search controls the clock: a timer fires when the search decides, and nothing else depends on time. A message
//! can be delivered at any time, any number of times, or never.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use super::fake_disk::{apply, empty};
use super::search::Reach;
use crate::node::Node;
use crate::tolerance::RetirementPolicy;
use crate::transfer::TransferLimits;
use crate::types::{
    Entry, Input, Message, Millis, Output, Payload, PersistentState, Save, Snapshot, Timing, VoterId,
};

/// The fixed current time: election timeouts and leases have expired, but a leader does not step down yet.
pub(super) const NOW: Millis = 150;
/// A time at which a leader without contact to a majority has stepped down.
const LATE: Millis = 1_000;
const TIMING: Timing = Timing { heartbeat: 8, election: 100, lease: 50 };

/// A fault that the search must detect. The faults are not in the node; they alter its inputs and outputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Saves of the hard state are reported as durable too early.
    VoteBeforeSync,
    /// Saves of entries are reported as durable too early.
    EntriesBeforeSync,
    /// Entries of older terms count as committed once a majority has them on disk.
    OldTermCounts,
    /// Messages from a wiped voter carry its former incarnation.
    WipedVoterCounts,
    /// A proposal changes the list of voters while another change may be pending.
    OverlappingListChanges,
    /// Messages from a node that is not on the receiver's list count as messages of a member.
    RemovedVoterCounts,
}

/// An event that may happen next. Numbers are indexes of messages or hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Deliver(usize),
    /// A node that is not the leader starts an election; all pre-votes are granted.
    RequestVote(usize),
    Heartbeat(usize),
    /// A leader without contact to a majority steps down.
    StepDown(usize),
    Sync(usize),
    Propose(usize),
    Add(usize, VoterId),
    Remove(usize, VoterId),
    Compact(usize),
    /// A host restarts after a power loss with the given number of pending saves on disk.
    Restart(usize, usize),
    /// A host loses its disk.
    Wipe(usize),
}

/// How often each kind of rare event may still happen.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct Budget {
    /// The highest term in which a node may start an election.
    pub term: u64,
    /// The number of events after which the save of the event may remain pending.
    pub slow_syncs: u8,
    pub restarts: u8,
    /// Losses of a disk.
    pub wipes: u8,
    pub proposals: u8,
    pub joins: u8,
    pub leaves: u8,
    pub compactions: u8,
    pub step_downs: u8,
}

/// A message in the simulated network.
struct Sent {
    from: VoterId,
    to: VoterId,
    message: Message,
    digest: u64,
}

#[derive(Clone)]
struct Host {
    disk: Rc<PersistentState>,
    node: Rc<Node>,
    saves: VecDeque<Save>,
    digest: u64,
}

/// The facts that later events must not contradict.
#[derive(Clone, Default, Hash)]
struct History {
    /// The committed entries, each with the term of the node that committed the entry first.
    committed: Vec<(Entry, u64)>,
    leaders: BTreeMap<u64, VoterId>,
    /// The candidate that received the vote of each voter in each term.
    votes: BTreeMap<(u64, VoterId), VoterId>,
}

/// One state of the search.
#[derive(Clone)]
pub struct World {
    hosts: Vec<Host>,
    /// All messages sent so far; each may be delivered repeatedly or never.
    net: Rc<Vec<Rc<Sent>>>,
    /// Committed entries, leaders and votes that later events must not contradict.
    history: Rc<History>,
    /// Digest of `history`, so that equal states are recognized.
    history_digest: u64,
    /// How many of the limited events may still happen.
    pub budget: Budget,
    limits: TransferLimits,
    fault: Fault,
}

pub fn voter(host: usize, incarnation: u64) -> VoterId {
    VoterId { address: format!("n{host}"), incarnation }
}

pub fn host_of(voter: &VoterId) -> usize {
    voter.address[1..].parse().expect("an address of a simulated host")
}

impl World {
    /// Creates founding voters, and hosts that are not voters yet.
    pub fn new(founders: usize, learners: usize, fault: Fault) -> World {
        let list: Vec<VoterId> = (0..founders).map(|at| voter(at, 0)).collect();
        let hosts = (0..founders + learners).map(|at| {
            let founders = if at < founders { list.clone() } else { Vec::new() };
            let me = voter(at, if founders.is_empty() { 9 } else { 0 });
            Host::start(empty(me, founders), TransferLimits::PRODUCTION)
        });
        World {
            hosts: hosts.collect(),
            net: Rc::default(),
            history: Rc::default(),
            history_digest: 0,
            budget: Budget::default(),
            limits: TransferLimits::PRODUCTION,
            fault,
        }
    }

    pub fn digest(&self) -> u64 {
        // The order in which messages were sent is irrelevant.
        let net = self.net.iter().fold(0, |sum: u64, sent| sum.wrapping_add(sent.digest));
        let hosts = self.hosts.iter().map(|host| host.digest).collect::<Vec<_>>();
        digest(&(hosts, net, self.history_digest, self.budget))
    }

    /// Updates the extent of the search with the committed entries and the lists of voters of this state.
    pub fn measure(&self, reach: &mut Reach) {
        reach.committed = reach.committed.max(self.history.committed.len());
        let lists = self.hosts.iter().map(|host| host.node.members().len());
        // A host that has not joined yet has an empty list.
        for length in lists.filter(|length| *length > 0) {
            reach.list_lengths = (reach.list_lengths.0.min(length), reach.list_lengths.1.max(length));
        }
    }

    /// All events that may happen next.
    pub fn events(&self) -> Vec<Event> {
        let left = &self.budget;
        let mut events: Vec<Event> = (0..self.net.len()).map(Event::Deliver).collect();
        for (at, host) in self.hosts.iter().enumerate() {
            let node = &host.node;
            if node.is_leader() {
                events.push(Event::Heartbeat(at));
                let some = |count: u8, event: Event| (count > 0).then_some(event);
                events.extend(some(left.step_downs, Event::StepDown(at)));
                events.extend(some(left.proposals, Event::Propose(at)));
                let leaves = node.members().iter().map(|member| Event::Remove(at, member.clone()));
                events.extend(leaves.filter(|_| left.leaves > 0));
                let others = self.hosts.iter().map(|host| host.node.me());
                let joins = others.filter(|me| left.joins > 0 && !node.members().contains(me));
                events.extend(joins.map(|me| Event::Add(at, me.clone())));
            } else if node.is_voter() && node.term() < left.term {
                events.push(Event::RequestVote(at));
            }
            if left.compactions > 0 && node.commit() > node.log.base() {
                events.push(Event::Compact(at));
            }
            if !host.saves.is_empty() {
                events.push(Event::Sync(at));
            }
            if left.restarts > 0 {
                events.extend((0..=host.saves.len()).map(|kept| Event::Restart(at, kept)));
            }
            if left.wipes > 0 {
                events.push(Event::Wipe(at));
            }
        }
        events
    }

    /// The state after an event once its save is durable and, if the budget allows, the state with the save still
    /// pending. An error describes a violated property.
    pub fn after(&self, event: &Event) -> Result<(World, Option<World>), String> {
        let at = event.host(self);
        let mut world = self.clone();
        world.apply_event(event)?;
        let mut sync_pending = None;
        if world.hosts[at].saves.len() > self.hosts[at].saves.len() {
            if world.budget.slow_syncs > 0 {
                let mut later = world.clone();
                later.budget.slow_syncs -= 1;
                sync_pending = Some(later.with_updated_digest(at));
            }
            world.sync(at)?;
        }
        Ok((world.with_updated_digest(at), sync_pending))
    }

    fn with_updated_digest(mut self, at: usize) -> World {
        self.hosts[at].update_digest();
        self.history_digest = digest(&self.history);
        self
    }

    fn apply_event(&mut self, event: &Event) -> Result<(), String> {
        match event {
            Event::Deliver(number) => {
                let sent = self.net[*number].clone();
                let (from, message) = (sent.from.clone(), sent.message.clone());
                self.input(host_of(&sent.to), NOW, Input::Received { from, message })
            }
            Event::RequestVote(at) => {
                self.node_mut(*at).election_deadline = 0;
                self.input(*at, NOW, Input::Tick)
            }
            Event::Heartbeat(at) => {
                self.node_mut(*at).leader_state.iter_mut().for_each(|leader| leader.next_heartbeat_at = 0);
                self.input(*at, NOW, Input::Tick)
            }
            Event::StepDown(at) => {
                self.budget.step_downs -= 1;
                self.input(*at, LATE, Input::Tick)
            }
            Event::Sync(at) => self.sync(*at),
            Event::Propose(at) if self.fault == Fault::OverlappingListChanges => {
                self.budget.proposals -= 1;
                let node = self.node_mut(*at);
                node.append(Payload::Members(vec![voter(0, 0), voter(1, 0)]));
                self.input(*at, NOW, Input::Tick)
            }
            Event::Propose(at) => {
                self.budget.proposals -= 1;
                self.input(*at, NOW, Input::Propose { token: 0, change: vec![self.budget.proposals] })
            }
            Event::Add(at, who) => {
                self.budget.joins -= 1;
                self.input(*at, NOW, Input::AddVoter(who.clone()))
            }
            Event::Remove(at, who) => {
                self.budget.leaves -= 1;
                self.input(*at, NOW, Input::RemoveVoter(who.clone()))
            }
            Event::Compact(at) => {
                self.budget.compactions -= 1;
                let index = self.hosts[*at].node.commit();
                self.input(*at, NOW, Input::Compact { index, state: index.to_be_bytes().to_vec() })
            }
            Event::Restart(at, kept) => {
                self.budget.restarts -= 1;
                let host = &mut self.hosts[*at];
                let saves = std::mem::take(&mut host.saves);
                saves.iter().take(*kept).for_each(|save| apply(Rc::make_mut(&mut host.disk), save));
                *host = Host::start(PersistentState::clone(&host.disk), self.limits);
                Ok(())
            }
            Event::Wipe(at) => {
                self.budget.wipes -= 1;
                let host = &mut self.hosts[*at];
                let me = voter(*at, host.disk.me.incarnation + 1);
                *host = Host::start(empty(me, Vec::new()), self.limits);
                Ok(())
            }
        }
    }

    fn node_mut(&mut self, at: usize) -> &mut Node {
        Rc::make_mut(&mut self.hosts[at].node)
    }

    /// Completes all pending saves of a host and processes the results.
    fn sync(&mut self, at: usize) -> Result<(), String> {
        while let Some(save) = self.hosts[at].saves.pop_front() {
            apply(Rc::make_mut(&mut self.hosts[at].disk), &save);
            self.input(at, NOW, Input::Saved { ticket: save.ticket })?;
        }
        if self.hosts[at].node.last_ticket > 0 {
            self.node_mut(at).last_ticket = 0;
        }
        Ok(())
    }

    fn input(&mut self, at: usize, now: Millis, input: Input) -> Result<(), String> {
        let input = self.corrupt_input(at, input)?;
        let was_leader = self.hosts[at].node.is_leader();
        let mut out = Vec::new();
        let node = self.node_mut(at);
        node.handle(now, input, &mut out);
        node.forget_time();
        if !was_leader && node.is_leader() {
            self.check_elected(at)?;
        }
        let mut early_tickets = Vec::new();
        let mut pre_votes = Vec::new();
        for output in out {
            match output {
                Output::Send { to, message: Message::PreVote { round, .. } } => pre_votes.push((to, round)),
                Output::Send { to, message } => self.send(at, to, message)?,
                Output::Save(save) => {
                    let hard_state =
                        save.entries.is_empty() && save.snapshot.is_none() && save.truncate.is_none();
                    let fault = if hard_state { Fault::VoteBeforeSync } else { Fault::EntriesBeforeSync };
                    if self.fault == fault {
                        early_tickets.push(save.ticket);
                    }
                    self.hosts[at].saves.push_back(save);
                }
                Output::Committed { entry } => self.record_commit(at, entry)?,
                Output::Install { snapshot } => self.check_installed(&snapshot)?,
                _ => {}
            }
        }
        self.check_logs_match(at)?;
        for (from, round) in pre_votes {
            if self.hosts[at].node.campaign.as_ref().is_some_and(|campaign| !campaign.is_election) {
                let term = self.hosts[at].node.term();
                let message = Message::PreVoteAnswer { round, term, granted: true };
                self.node_mut(at).pre_vote_round = round;
                self.input(at, NOW, Input::Received { from, message })?;
            }
        }
        early_tickets.into_iter().try_for_each(|ticket| self.input(at, NOW, Input::Saved { ticket }))
    }

    fn send(&mut self, at: usize, to: VoterId, message: Message) -> Result<(), String> {
        let from = self.hosts[at].node.me().clone();
        match &message {
            Message::VoteAnswer { term, granted: true } => {
                self.record_vote(*term, &from, &to)?;
            }
            Message::AppendAccepted { term, index } if *term == self.hosts[at].node.term() => {
                let disk = &self.hosts[at].disk;
                let last = last_index(disk);
                if last < *index {
                    return Err(format!(
                        "{from} acknowledges entry {index}, but its disk ends at entry {last}"
                    ));
                }
            }
            _ => {}
        }
        for message in self.corrupt_message(message) {
            let digest = digest(&(&from, &to, &message));
            if !self.net.iter().any(|sent| sent.digest == digest) {
                let sent = Sent { from: from.clone(), to: to.clone(), message, digest };
                Rc::make_mut(&mut self.net).push(Rc::new(sent));
            }
        }
        Ok(())
    }

    fn record_vote(&mut self, term: u64, from: &VoterId, to: &VoterId) -> Result<(), String> {
        let first = Rc::make_mut(&mut self.history).votes.entry((term, from.clone())).or_insert(to.clone());
        if first == to {
            Ok(())
        } else {
            Err(format!("{from} votes in term {term} for {first} and for {to}"))
        }
    }

    /// Checks that a term has one leader, elected by a majority of its list, whose log has all entries committed
    /// before.
    fn check_elected(&mut self, at: usize) -> Result<(), String> {
        let node = self.hosts[at].node.clone();
        let (term, me) = (node.term(), node.me().clone());
        let first = Rc::make_mut(&mut self.history).leaders.entry(term).or_insert(me.clone());
        if *first != me {
            return Err(format!("term {term} has two leaders: {first} and {me}"));
        }
        self.record_vote(term, &me, &me)?;
        let votes = node
            .members()
            .iter()
            .filter(|member| self.history.votes.get(&(term, (*member).clone())) == Some(&me));
        let (votes, members) = (votes.count(), node.members().len());
        if votes <= members / 2 {
            return Err(format!("{me} was elected in term {term} with {votes} votes of {members}"));
        }
        self.history
            .committed
            .iter()
            .filter(|(_, when)| *when < term)
            .try_for_each(|(entry, _)| check_has_entry(&node, entry))
    }

    fn record_commit(&mut self, at: usize, entry: Entry) -> Result<(), String> {
        let node = &self.hosts[at].node;
        let index = entry.index as usize;
        match self.history.committed.get(index - 1) {
            Some((first, _)) if *first == entry => return Ok(()),
            Some((first, _)) => {
                return Err(format!("entry {index} is committed as {first:?} and as {entry:?}"));
            }
            None if index > self.history.committed.len() + 1 => {
                return Err(format!("entry {index} is committed before its predecessors"));
            }
            None => {}
        }
        let term = node.term();
        for host in self.hosts.iter().filter(|host| host.node.is_leader() && host.node.term() > term) {
            check_has_entry(&host.node, &entry)?;
        }
        Rc::make_mut(&mut self.history).committed.push((entry, term));
        Ok(())
    }

    fn check_installed(&self, snapshot: &Snapshot) -> Result<(), String> {
        let known = self.history.committed.get(snapshot.index as usize - 1).map(|(entry, _)| entry.term);
        if known != Some(snapshot.term) || snapshot.state != snapshot.index.to_be_bytes() {
            return Err(format!("the snapshot up to entry {} contains uncommitted state", snapshot.index));
        }
        Ok(())
    }

    /// Checks that two logs with a common entry match up to that entry, and that at most one membership change is
    /// pending.
    fn check_logs_match(&self, at: usize) -> Result<(), String> {
        let own_log = &self.hosts[at].node.log;
        for host in self.hosts.iter().filter(|host| host.node.me() != self.hosts[at].node.me()) {
            let other = &host.node.log;
            let base = own_log.base().max(other.base());
            let end = own_log.last().min(other.last());
            let common =
                (base + 1..=end).rev().find(|index| own_log.term_at(*index) == other.term_at(*index));
            for index in base + 1..=common.unwrap_or(0) {
                if own_log.get(index) != other.get(index) {
                    return Err(format!("entry {index} differs in two logs that share a later entry"));
                }
            }
        }
        let node = &self.hosts[at].node;
        let pending = (self.history.committed.len() as u64 + 1..=own_log.last())
            .filter(|index| matches!(own_log.get(*index), Some(Entry { payload: Payload::Members(_), .. })));
        if pending.count() > 1 {
            return Err(format!("two membership changes are pending on {}", node.me()));
        }
        Ok(())
    }

    fn corrupt_input(&mut self, at: usize, input: Input) -> Result<Input, String> {
        let Input::Received { mut from, message } = input else { return Ok(input) };
        if self.fault == Fault::OldTermCounts
            && let Message::AppendAccepted { term, index } = &message
            && let Some(leader) =
                self.hosts.iter().position(|host| host.node.is_leader() && host.node.term() == *term)
            && last_index(&self.hosts[leader].disk) >= *index
        {
            let entries: Vec<Entry> =
                (1..=*index).filter_map(|index| self.hosts[leader].node.log.get(index).cloned()).collect();
            entries.into_iter().try_for_each(|entry| self.record_commit(leader, entry))?;
        }
        if self.fault == Fault::WipedVoterCounts {
            from.incarnation = 0;
        }
        let members = self.hosts[at].node.members();
        if self.fault == Fault::RemovedVoterCounts && !members.contains(&from) {
            let me = self.hosts[at].node.me();
            from = members.iter().find(|member| *member != me).cloned().unwrap_or(from);
        }
        Ok(Input::Received { from, message })
    }

    /// Splits an `Append` into single entries for the fault `OldTermCounts`, which a leader is free to do, and
    /// resets the heartbeat numbers.
    fn corrupt_message(&self, message: Message) -> Vec<Message> {
        match message {
            Message::Append { term, mut prev_index, mut prev_term, entries, commit }
                if self.fault == Fault::OldTermCounts && entries.len() > 1 =>
            {
                let one = |entry: Entry| {
                    let (index, of) = (entry.index, entry.term);
                    let message =
                        Message::Append { term, prev_index, prev_term, entries: vec![entry], commit };
                    (prev_index, prev_term) = (index, of);
                    message
                };
                entries.into_iter().map(one).collect()
            }
            Message::Heartbeat { term, commit, .. } => vec![Message::Heartbeat { term, echo: 0, commit }],
            Message::HeartbeatAnswer { term, matched, .. } => {
                vec![Message::HeartbeatAnswer { term, echo: 0, matched }]
            }
            message => vec![message],
        }
    }

    /// Delivers the last message sent from one host to another.
    pub fn deliver_last(self, to: usize, from: usize) -> World {
        let number = self.net.iter().rposition(|sent| host_of(&sent.to) == to && host_of(&sent.from) == from);
        self.then(Event::Deliver(number.expect("a message between the two hosts")))
    }

    /// Delivers all messages among these hosts, including messages sent in response.
    pub fn settle(mut self, hosts: &[usize]) -> World {
        let mut number = 0;
        while number < self.net.len() {
            let Sent { from, to, .. } = &*self.net[number];
            let to = host_of(to);
            if hosts.contains(&host_of(from)) && hosts.contains(&to) {
                self = self.then(Event::Deliver(number));
            }
            number += 1;
        }
        self
    }

    pub fn then(self, event: Event) -> World {
        self.after(&event).expect("the setup must not violate a property").0
    }

    /// Drops all undelivered messages.
    pub fn drop_messages(mut self) -> World {
        self.net = Rc::default();
        self
    }

    /// Sends payloads longer than a few bytes in chunks from here on.
    pub fn with_chunked_transfers(mut self) -> World {
        self.limits = TransferLimits { chunk_bytes: 24, min_window_bytes: 4, max_window_bytes: 100 };
        for host in &mut self.hosts {
            Rc::make_mut(&mut host.node).set_transfer_limits(self.limits);
            host.update_digest();
        }
        self
    }

    pub fn with(self, budget: Budget) -> World {
        World { budget, ..self }
    }

    /// Describes an event.
    pub fn describe(&self, event: &Event, sync_pending: bool) -> String {
        let description = match event {
            Event::Deliver(number) => {
                let Sent { from, to, message, .. } = &*self.net[*number];
                format!("{to} receives from {from}: {message:?}")
            }
            event => format!("{event:?}"),
        };
        if sync_pending { format!("{description}, its save is pending") } else { description }
    }
}

impl Event {
    fn host(&self, world: &World) -> usize {
        match self {
            Event::Deliver(number) => host_of(&world.net[*number].to),
            Event::RequestVote(at) | Event::Heartbeat(at) | Event::StepDown(at) | Event::Propose(at) => *at,
            Event::Add(at, _) | Event::Remove(at, _) | Event::Compact(at) => *at,
            Event::Sync(at) | Event::Restart(at, _) | Event::Wipe(at) => *at,
        }
    }
}

impl Host {
    fn update_digest(&mut self) {
        self.digest = digest(&(&self.disk, &self.node, &self.saves));
    }

    fn start(disk: PersistentState, limits: TransferLimits) -> Host {
        let mut node = Node::start(disk.clone(), TIMING, 0, NOW);
        node.set_transfer_limits(limits);
        // Any silent voter counts as silent for long enough; the search decides which voter is removed and when.
        node.set_retirement_policy(RetirementPolicy { silence_timeout: 0, min_voters: 1 });
        node.forget_time();
        let mut host = Host { disk: Rc::new(disk), node: Rc::new(node), saves: VecDeque::new(), digest: 0 };
        host.update_digest();
        host
    }
}

fn digest(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

fn last_index(disk: &PersistentState) -> u64 {
    disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index) + disk.entries.len() as u64
}

/// Checks that a leader's log has a committed entry.
fn check_has_entry(node: &Node, entry: &Entry) -> Result<(), String> {
    let compacted = entry.index <= node.log.base();
    if compacted || node.log.get(entry.index) == Some(entry) {
        return Ok(());
    }
    Err(format!("{} leads in term {} without committed entry {entry:?}", node.me(), node.term()))
}
