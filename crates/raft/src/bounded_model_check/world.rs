//! Some voters, their disks and all that was ever sent: one state of the search, and what may happen next.
//!
//! Each node's clock is the search's: a timer fires when it says so, and nothing else is bound by time. What was sent can
//! be delivered at any time and any number of times, or never.

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

/// Elections are over, leases have ended, and a leader's own patience has not.
pub(super) const NOW: Millis = 150;
/// Far behind a leader's patience.
const LATE: Millis = 1_000;
const TIMING: Timing = Timing { heartbeat: 8, election: 100, lease: 50 };

/// A fault that the search has to find. None of them is in the node: they change what goes in and comes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    Nothing,
    /// Saves of a hard state count as on disk before they are.
    VoteBeforeSync,
    /// So do saves of entries.
    EntriesBeforeSync,
    /// What a majority has on disk is taken for committed, of whatever term it is.
    OldTermCounts,
    /// Messages from a wiped voter bear its former number.
    WipedCounts,
    /// What is proposed is a list of voters: it goes past the rule of one at a time.
    SecondList,
    /// Messages from a voter that is off the receiver's list count as those of one that is on it.
    RemovedCounts,
}

/// What may happen next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Deliver(usize),
    /// A node that leads not stands for election; those it sounds out say yes.
    RequestVote(usize),
    Heartbeat(usize),
    /// A leader reaches no majority.
    GiveWay(usize),
    Sync(usize),
    Propose(usize),
    Add(usize, VoterId),
    Remove(usize, VoterId),
    Compact(usize),
    /// Power goes; so many of the saves under way are on disk.
    Restart(usize, usize),
    /// The disk is lost.
    Wipe(usize),
}

/// How often what is rare may happen, and up to which term anybody stands.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct Budget {
    pub term: u64,
    /// Steps after which a disk is still busy.
    pub lazy: u8,
    pub restarts: u8,
    pub wipes: u8,
    pub proposals: u8,
    pub joins: u8,
    pub leaves: u8,
    pub compactions: u8,
    pub give_ways: u8,
}

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

/// What happened and must not happen otherwise again.
#[derive(Clone, Default, Hash)]
struct Past {
    /// What was committed, and in the term of which leader.
    committed: Vec<(Entry, u64)>,
    leaders: BTreeMap<u64, VoterId>,
    /// Who was told by whom in which term that it has the vote.
    votes: BTreeMap<(u64, VoterId), VoterId>,
}

#[derive(Clone)]
pub struct World {
    hosts: Vec<Host>,
    net: Rc<Vec<Rc<Sent>>>,
    past: Rc<Past>,
    past_digest: u64,
    pub budget: Budget,
    limits: TransferLimits,
    plant: Plant,
}

pub fn voter(host: usize, incarnation: u64) -> VoterId {
    VoterId { address: format!("n{host}"), incarnation }
}

pub fn host_of(voter: &VoterId) -> usize {
    voter.address[1..].parse().expect("a host's address")
}

impl World {
    /// founding voters, and hosts that are no voters yet.
    pub fn new(founders: usize, learners: usize, plant: Plant) -> World {
        let list: Vec<VoterId> = (0..founders).map(|at| voter(at, 0)).collect();
        let hosts = (0..founders + learners).map(|at| {
            let founders = if at < founders { list.clone() } else { Vec::new() };
            let me = voter(at, if founders.is_empty() { 9 } else { 0 });
            Host::start(empty(me, founders), TransferLimits::PRODUCTION)
        });
        World {
            hosts: hosts.collect(),
            net: Rc::default(),
            past: Rc::default(),
            past_digest: 0,
            budget: Budget::default(),
            limits: TransferLimits::PRODUCTION,
            plant,
        }
    }

    pub fn digest(&self) -> u64 {
        // In which order they were sent makes no difference.
        let net = self.net.iter().fold(0, |sum: u64, sent| sum.wrapping_add(sent.digest));
        let hosts = self.hosts.iter().map(|host| host.digest).collect::<Vec<_>>();
        digest(&(hosts, net, self.past_digest, self.budget))
    }

    /// Adds to what a search has reached: entries that are committed, and lists of voters that nodes go by.
    pub fn measure(&self, reach: &mut Reach) {
        reach.committed = reach.committed.max(self.past.committed.len());
        let lists = self.hosts.iter().map(|host| host.node.members().len());
        // A host that is no voter yet has no list.
        for length in lists.filter(|length| *length > 0) {
            reach.list_lengths = (reach.list_lengths.0.min(length), reach.list_lengths.1.max(length));
        }
    }

    /// All that may happen.
    pub fn events(&self) -> Vec<Event> {
        let left = &self.budget;
        let mut events: Vec<Event> = (0..self.net.len()).map(Event::Deliver).collect();
        for (at, host) in self.hosts.iter().enumerate() {
            let node = &host.node;
            if node.is_leader() {
                events.push(Event::Heartbeat(at));
                let some = |count: u8, event: Event| (count > 0).then_some(event);
                events.extend(some(left.give_ways, Event::GiveWay(at)));
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

    /// What comes of an event, with what its disk was asked for done, and (if it may still be busy) not done yet. An
    /// error says what must never be.
    pub fn after(&self, event: &Event) -> Result<(World, Option<World>), String> {
        let at = event.host(self);
        let mut world = self.clone();
        world.happen(event)?;
        let mut busy = None;
        if world.hosts[at].saves.len() > self.hosts[at].saves.len() {
            if world.budget.lazy > 0 {
                let mut later = world.clone();
                later.budget.lazy -= 1;
                busy = Some(later.counted(at));
            }
            world.sync(at)?;
        }
        Ok((world.counted(at), busy))
    }

    fn counted(mut self, at: usize) -> World {
        self.hosts[at].counts();
        self.past_digest = digest(&self.past);
        self
    }

    fn happen(&mut self, event: &Event) -> Result<(), String> {
        match event {
            Event::Deliver(number) => {
                let sent = self.net[*number].clone();
                let (from, message) = (sent.from.clone(), sent.message.clone());
                self.give(host_of(&sent.to), NOW, Input::Received { from, message })
            }
            Event::RequestVote(at) => {
                self.change(*at).election_deadline = 0;
                self.give(*at, NOW, Input::Tick)
            }
            Event::Heartbeat(at) => {
                self.change(*at).leader_state.iter_mut().for_each(|leader| leader.next_heartbeat_at = 0);
                self.give(*at, NOW, Input::Tick)
            }
            Event::GiveWay(at) => {
                self.budget.give_ways -= 1;
                self.give(*at, LATE, Input::Tick)
            }
            Event::Sync(at) => self.sync(*at),
            Event::Propose(at) if self.plant == Plant::SecondList => {
                self.budget.proposals -= 1;
                let node = self.change(*at);
                node.append(Payload::Members(vec![voter(0, 0), voter(1, 0)]));
                self.give(*at, NOW, Input::Tick)
            }
            Event::Propose(at) => {
                self.budget.proposals -= 1;
                self.give(*at, NOW, Input::Propose { token: 0, change: vec![self.budget.proposals] })
            }
            Event::Add(at, who) => {
                self.budget.joins -= 1;
                self.give(*at, NOW, Input::AddVoter(who.clone()))
            }
            Event::Remove(at, who) => {
                self.budget.leaves -= 1;
                self.give(*at, NOW, Input::RemoveVoter(who.clone()))
            }
            Event::Compact(at) => {
                self.budget.compactions -= 1;
                let index = self.hosts[*at].node.commit();
                self.give(*at, NOW, Input::Compact { index, state: index.to_be_bytes().to_vec() })
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

    fn change(&mut self, at: usize) -> &mut Node {
        Rc::make_mut(&mut self.hosts[at].node)
    }

    /// The disk does all it was asked for, and what comes of that.
    fn sync(&mut self, at: usize) -> Result<(), String> {
        while let Some(save) = self.hosts[at].saves.pop_front() {
            apply(Rc::make_mut(&mut self.hosts[at].disk), &save);
            self.give(at, NOW, Input::Saved { ticket: save.ticket })?;
        }
        if self.hosts[at].node.last_ticket > 0 {
            self.change(at).last_ticket = 0;
        }
        Ok(())
    }

    fn give(&mut self, at: usize, now: Millis, input: Input) -> Result<(), String> {
        let input = self.hurt_input(at, input)?;
        let led = self.hosts[at].node.is_leader();
        let mut out = Vec::new();
        let node = self.change(at);
        node.handle(now, input, &mut out);
        node.forget_time();
        if !led && node.is_leader() {
            self.elected(at)?;
        }
        let mut early = Vec::new();
        let mut soundings = Vec::new();
        for output in out {
            match output {
                Output::Send { to, message: Message::PreVote { round, .. } } => soundings.push((to, round)),
                Output::Send { to, message } => self.send(at, to, message)?,
                Output::Save(save) => {
                    let hard_state =
                        save.entries.is_empty() && save.snapshot.is_none() && save.truncate.is_none();
                    let plant = if hard_state { Plant::VoteBeforeSync } else { Plant::EntriesBeforeSync };
                    if self.plant == plant {
                        early.push(save.ticket);
                    }
                    self.hosts[at].saves.push_back(save);
                }
                Output::Committed { entry } => self.commit(at, entry)?,
                Output::Install { snapshot } => self.install(&snapshot)?,
                _ => {}
            }
        }
        self.logs_match(at)?;
        for (from, round) in soundings {
            if self.hosts[at].node.campaign.as_ref().is_some_and(|campaign| !campaign.is_election) {
                let term = self.hosts[at].node.term();
                let message = Message::PreVoteAnswer { round, term, granted: true };
                self.change(at).pre_vote_round = round;
                self.give(at, NOW, Input::Received { from, message })?;
            }
        }
        early.into_iter().try_for_each(|ticket| self.give(at, NOW, Input::Saved { ticket }))
    }

    fn send(&mut self, at: usize, to: VoterId, message: Message) -> Result<(), String> {
        let from = self.hosts[at].node.me().clone();
        match &message {
            Message::VoteAnswer { term, granted: true } => {
                self.vote(*term, &from, &to)?;
            }
            Message::AppendAccepted { term, index } if *term == self.hosts[at].node.term() => {
                let disk = &self.hosts[at].disk;
                let last = last(disk);
                if last < *index {
                    return Err(format!("{from} says that it has {index} entries on disk, which has {last}"));
                }
            }
            _ => {}
        }
        for message in self.hurt_message(message) {
            let digest = digest(&(&from, &to, &message));
            if !self.net.iter().any(|sent| sent.digest == digest) {
                let sent = Sent { from: from.clone(), to: to.clone(), message, digest };
                Rc::make_mut(&mut self.net).push(Rc::new(sent));
            }
        }
        Ok(())
    }

    fn vote(&mut self, term: u64, from: &VoterId, to: &VoterId) -> Result<(), String> {
        let first = Rc::make_mut(&mut self.past).votes.entry((term, from.clone())).or_insert(to.clone());
        if first == to {
            Ok(())
        } else {
            Err(format!("{from} votes in term {term} for {first} and for {to}"))
        }
    }

    /// One leader a term, chosen by a majority of its list, with all that was committed before.
    fn elected(&mut self, at: usize) -> Result<(), String> {
        let node = self.hosts[at].node.clone();
        let (term, me) = (node.term(), node.me().clone());
        let first = Rc::make_mut(&mut self.past).leaders.entry(term).or_insert(me.clone());
        if *first != me {
            return Err(format!("term {term} is led by {first} and by {me}"));
        }
        self.vote(term, &me, &me)?;
        let votes = node
            .members()
            .iter()
            .filter(|member| self.past.votes.get(&(term, (*member).clone())) == Some(&me));
        let (votes, members) = (votes.count(), node.members().len());
        if votes <= members / 2 {
            return Err(format!("{me} leads in term {term} with {votes} votes of {members}"));
        }
        self.past
            .committed
            .iter()
            .filter(|(_, when)| *when < term)
            .try_for_each(|(entry, _)| holds(&node, entry))
    }

    fn commit(&mut self, at: usize, entry: Entry) -> Result<(), String> {
        let node = &self.hosts[at].node;
        let index = entry.index as usize;
        match self.past.committed.get(index - 1) {
            Some((first, _)) if *first == entry => return Ok(()),
            Some((first, _)) => {
                return Err(format!("entry {index} is committed as {first:?} and as {entry:?}"));
            }
            None if index > self.past.committed.len() + 1 => {
                return Err(format!("entry {index} is committed before those before it"));
            }
            None => {}
        }
        let term = node.term();
        for host in self.hosts.iter().filter(|host| host.node.is_leader() && host.node.term() > term) {
            holds(&host.node, &entry)?;
        }
        Rc::make_mut(&mut self.past).committed.push((entry, term));
        Ok(())
    }

    fn install(&self, snapshot: &Snapshot) -> Result<(), String> {
        let known = self.past.committed.get(snapshot.index as usize - 1).map(|(entry, _)| entry.term);
        if known != Some(snapshot.term) || snapshot.state != snapshot.index.to_be_bytes() {
            return Err(format!("the snapshot up to entry {} holds what was not committed", snapshot.index));
        }
        Ok(())
    }

    /// Two logs with one entry in common are the same up to it, and at most one change of the list is pending.
    fn logs_match(&self, at: usize) -> Result<(), String> {
        let mine = &self.hosts[at].node.log;
        for host in self.hosts.iter().filter(|host| host.node.me() != self.hosts[at].node.me()) {
            let other = &host.node.log;
            let base = mine.base().max(other.base());
            let end = mine.last().min(other.last());
            let common = (base + 1..=end).rev().find(|index| mine.term_at(*index) == other.term_at(*index));
            for index in base + 1..=common.unwrap_or(0) {
                if mine.get(index) != other.get(index) {
                    return Err(format!(
                        "entry {index} is not the same in two logs that have a later one in common"
                    ));
                }
            }
        }
        let node = &self.hosts[at].node;
        let pending = (self.past.committed.len() as u64 + 1..=mine.last())
            .filter(|index| matches!(mine.get(*index), Some(Entry { payload: Payload::Members(_), .. })));
        if pending.count() > 1 {
            return Err(format!("two changes of the list are pending with {}", node.me()));
        }
        Ok(())
    }

    fn hurt_input(&mut self, at: usize, input: Input) -> Result<Input, String> {
        let Input::Received { mut from, message } = input else { return Ok(input) };
        if self.plant == Plant::OldTermCounts
            && let Message::AppendAccepted { term, index } = &message
            && let Some(leader) =
                self.hosts.iter().position(|host| host.node.is_leader() && host.node.term() == *term)
            && last(&self.hosts[leader].disk) >= *index
        {
            let entries: Vec<Entry> =
                (1..=*index).filter_map(|index| self.hosts[leader].node.log.get(index).cloned()).collect();
            entries.into_iter().try_for_each(|entry| self.commit(leader, entry))?;
        }
        if self.plant == Plant::WipedCounts {
            from.incarnation = 0;
        }
        let members = self.hosts[at].node.members();
        if self.plant == Plant::RemovedCounts && !members.contains(&from) {
            let me = self.hosts[at].node.me();
            from = members.iter().find(|member| *member != me).cloned().unwrap_or(from);
        }
        Ok(Input::Received { from, message })
    }

    /// A leader may send entries one by one; with a planted fault it does.
    fn hurt_message(&self, message: Message) -> Vec<Message> {
        match message {
            Message::Append { term, mut prev_index, mut prev_term, entries, commit }
                if self.plant == Plant::OldTermCounts && entries.len() > 1 =>
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

    /// Delivers what was sent last from one host to another.
    pub fn hear(self, to: usize, from: usize) -> World {
        let number = self.net.iter().rposition(|sent| host_of(&sent.to) == to && host_of(&sent.from) == from);
        self.then(Event::Deliver(number.expect("a message")))
    }

    /// Delivers all that is sent among these hosts, and what comes of it.
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
        self.after(&event).expect("a start").0
    }

    /// Forgets what is still under way: lost.
    pub fn lose(mut self) -> World {
        self.net = Rc::default();
        self
    }

    /// All that is longer than a few bytes goes in pieces from here on.
    pub fn in_chunks(mut self) -> World {
        self.limits = TransferLimits { chunk_bytes: 24, min_window_bytes: 4, max_window_bytes: 100 };
        for host in &mut self.hosts {
            Rc::make_mut(&mut host.node).set_transfer_limits(self.limits);
            host.counts();
        }
        self
    }

    pub fn with(self, budget: Budget) -> World {
        World { budget, ..self }
    }

    /// What an event is, told.
    pub fn describe(&self, event: &Event, busy: bool) -> String {
        let what = match event {
            Event::Deliver(number) => {
                let Sent { from, to, message, .. } = &*self.net[*number];
                format!("{to} hears from {from}: {message:?}")
            }
            event => format!("{event:?}"),
        };
        if busy { format!("{what}, its disk is busy") } else { what }
    }
}

impl Event {
    fn host(&self, world: &World) -> usize {
        match self {
            Event::Deliver(number) => host_of(&world.net[*number].to),
            Event::RequestVote(at) | Event::Heartbeat(at) | Event::GiveWay(at) | Event::Propose(at) => *at,
            Event::Add(at, _) | Event::Remove(at, _) | Event::Compact(at) => *at,
            Event::Sync(at) | Event::Restart(at, _) | Event::Wipe(at) => *at,
        }
    }
}

impl Host {
    fn counts(&mut self) {
        self.digest = digest(&(&self.disk, &self.node, &self.saves));
    }

    fn start(disk: PersistentState, limits: TransferLimits) -> Host {
        let mut node = Node::start(disk.clone(), TIMING, 0, NOW);
        node.set_transfer_limits(limits);
        // Whoever is silent is so for long enough; who is taken off a list, and when, is the search's choice.
        node.set_retirement_policy(RetirementPolicy { silence_timeout: 0, min_voters: 1 });
        node.forget_time();
        let mut host = Host { disk: Rc::new(disk), node: Rc::new(node), saves: VecDeque::new(), digest: 0 };
        host.counts();
        host
    }
}

fn digest(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

fn last(disk: &PersistentState) -> u64 {
    disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index) + disk.entries.len() as u64
}

/// Whether a leader's log has what was committed.
fn holds(node: &Node, entry: &Entry) -> Result<(), String> {
    let compacted = entry.index <= node.log.base();
    if compacted || node.log.get(entry.index) == Some(entry) {
        return Ok(());
    }
    Err(format!("{} leads in term {} without entry {entry:?}, which was committed", node.me(), node.term()))
}
