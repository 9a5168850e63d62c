//! One voter: consensus on the log of [`crate::machine`], the leader's reckoning of sessions ([`crate::lease`]), and
//! answers to members. Whoever is not the leader passes questions on to it.

use crate::clock::{Clock, Moment};
use crate::lease::{Deadlines, drift};
use crate::machine::{Command, Reply, SessionId};
use crate::member::CHANGE;
use crate::store::{Applied, NodeId, Store, StoreError, name, voter};
use crate::wire::{self, Answered, Answers, CallError, Kind, Way, read, written};
use bytes::Bytes;
use hyper::StatusCode;
use logbook::{Entry, Input, Message, Millis, Output, Snapshot, Timing, VoterId, Writer};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

/// A voter as the others know it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The process's name.
    pub name: String,
    /// Where it listens.
    pub address: String,
}

/// Entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 2000;
/// The longest entry: no command that can be of use is longer, and what is in the log has to fit a call.
const LONGEST_ENTRY: usize = 64 * 1024;
/// Messages that wait for one voter, of which the oldest go, and the bytes of one call of several.
const MOST_MAIL: usize = 64;
const MOST_CALL: usize = 1 << 20;
/// Mail that is longer than this gets more time.
const LONG_MAIL: usize = 64 * 1024;
/// Senders whose address is remembered.
const MOST_HEARD: usize = 64;
/// Notes kept for one duty, and the longest of them.
const MOST_NOTES: usize = 512;
const LONGEST_NOTE: usize = 256;
/// The longest wait of a watch.
const LONGEST_WATCH: Duration = Duration::from_secs(20);
/// A turn whose asker is not back after this is over.
const TURN: Duration = Duration::from_secs(60);

/// A question to the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// An entry for the log.
    Do(Command),
    /// A session goes on.
    Renew(SessionId),
    /// A note for whoever has a duty. It is kept by the leader alone, for a while, and may be lost.
    Report {
        /// Who says it.
        session: SessionId,
        /// For which duty's holder.
        duty: String,
        /// What.
        note: Vec<u8>,
    },
    /// The notes for a duty, to its holder.
    Collect {
        /// Who has the duty.
        session: SessionId,
        /// The duty.
        duty: String,
        /// Under which fence.
        fence: u64,
    },
    /// A voter is taken in: its name and address. One of that name that is a voter already goes.
    Add(Node),
    /// A voter is let go.
    Remove(String),
}

/// A question as it travels: whether it was passed on by a voter already.
#[derive(Serialize, Deserialize)]
struct Passed(Ask, bool);

/// What the group says to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// What came of an entry.
    Reply(Reply),
    /// The session goes on.
    Renewed,
    /// The session has ended.
    Gone,
    /// It was done.
    Done,
    /// Notes, the oldest first.
    Notes(Vec<Vec<u8>>),
    /// There is no leader, or no majority, within reach: it may have been done or not.
    Nobody,
    /// It cannot be done.
    No(String),
}

/// What members are told of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Raised with each change.
    pub revision: u64,
    /// The leader's name, as the voter knows it.
    pub leader: Option<String>,
    /// The term of consensus.
    pub term: u64,
    /// How many sessions there are.
    pub sessions: usize,
    /// The voters' names.
    pub voters: Vec<String>,
    /// Duties with their fence, and the holder's session and name.
    pub duties: BTreeMap<String, (u64, Option<(SessionId, String)>)>,
    /// Records by name: the duty, the fence, the value.
    pub records: BTreeMap<String, (String, u64, Vec<u8>)>,
    /// The names of those away by leave.
    pub away: Vec<String>,
}

/// Waiting for a view newer than this, for so many ms.
#[derive(Serialize, Deserialize)]
pub struct Watching {
    /// The revision that is known.
    pub after: u64,
    /// How long to wait.
    pub wait_ms: u64,
}

/// Who a voter is, as it answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Who {
    /// Its number.
    pub id: NodeId,
    /// Its name.
    pub name: String,
    /// Whether it belongs to no group yet.
    pub new: bool,
}

/// Messages of the log, of one voter to another.
#[derive(Serialize, Deserialize)]
struct Mail {
    /// The sender, as the log names it.
    from: (String, NodeId),
    /// Where it listens: one that was just taken in knows it from nowhere else.
    at: String,
    /// The messages in the log's own form.
    messages: Vec<Vec<u8>>,
}

/// The times of a group. All of its processes hold the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The life of a session.
    pub life: Duration,
    /// Between two words of the leader to the other voters.
    pub beat: Duration,
    /// A voter that has not heard of a leader for a time drawn between these stands for election.
    pub election: (Duration, Duration),
}

impl Times {
    /// The usual ones for a life: an election is over well before a session is.
    pub fn of_life(life: Duration) -> Self {
        Self { life, beat: life / 30, election: (life / 6, life / 3) }
    }

    /// The log's: a vote binds for `election` at the least, and a lease ends well before, also by a clock that runs
    /// apart.
    fn timing(&self) -> Timing {
        let ms = |time: Duration| (time.as_millis() as Millis).max(1);
        let lease = self.election.0.saturating_sub(drift(self.election.0) * 2);
        Timing { pulse: ms(self.beat), election: ms(self.election.0), lease: ms(lease) }
    }
}

/// A voter that cannot run.
#[derive(Debug)]
pub enum VoterError {
    /// Its disk.
    Store(StoreError),
    /// There is no thread for the disk.
    Thread(io::Error),
    /// The state cannot be written.
    State,
}

impl fmt::Display for VoterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "{error}"),
            Self::Thread(error) => write!(f, "no thread for the disk: {error}"),
            Self::State => f.write_str("the state cannot be written"),
        }
    }
}

impl std::error::Error for VoterError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Store(error) => Some(error),
            Self::Thread(error) => Some(error),
            Self::State => None,
        }
    }
}

/// The log on this voter, and what it makes.
struct Core {
    node: logbook::Node,
    /// None once the disk has failed: the voter is silent from then on.
    writer: Option<Writer>,
    /// Rises with each writer: what an older one still tells is not of this log.
    writers: u64,
    applied: Applied,
    snapshot_at: u64,
    tokens: u64,
    /// Who waits for what comes of an entry, by its token.
    asked: HashMap<u64, oneshot::Sender<Reply>>,
    /// Where such an entry stands: its term and token by its index.
    accepted: HashMap<u64, (u64, u64)>,
}

impl Core {
    fn committed(&mut self, entry: &Entry) {
        let reply = self.applied.take(entry);
        if let Some((term, token)) = self.accepted.remove(&entry.index)
            && let Some(asker) = self.asked.remove(&token)
            && term == entry.term
        {
            let _ = asker.send(reply);
        }
    }

    /// A snapshot when one is due.
    fn compact(&mut self) -> Option<Input> {
        if self.applied.index < self.snapshot_at + SNAPSHOT_EVERY {
            return None;
        }
        self.snapshot_at = self.applied.index;
        let Snapshot { index, state, .. } = self.applied.snapshot()?;
        Some(Input::Compact { index, state })
    }
}

/// How a voter stands in its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Office {
    /// The term in which it leads, if it does.
    leads: Option<u64>,
    /// Whether nobody else could when it last looked.
    surely: bool,
}

/// A voter.
pub struct Voter {
    id: NodeId,
    me: Node,
    group: Rc<str>,
    times: Times,
    clock: Clock,
    tell: Box<dyn Fn(String)>,
    core: RefCell<Core>,
    /// When the log wants to be looked after, and that this became sooner.
    due: Cell<Millis>,
    sooner: Notify,
    changed: watch::Sender<u64>,
    office: watch::Sender<Office>,
    /// Where this process's own settings find voters: that goes before what the group agreed on, since from one process
    /// to the next it may differ.
    own: BTreeMap<String, String>,
    /// Where those were that were heard of last: for who is not in the settings, before the group has told.
    heard: RefCell<BTreeMap<String, String>>,
    ways: RefCell<HashMap<String, Rc<Way>>>,
    /// Messages that wait, for each voter that a task is carrying them to.
    mail: RefCell<HashMap<VoterId, VecDeque<Vec<u8>>>>,
    deadlines: RefCell<Deadlines>,
    turns: RefCell<BTreeMap<String, Moment>>,
    /// Notes by duty, while this voter leads.
    notes: RefCell<BTreeMap<String, VecDeque<Vec<u8>>>>,
}

impl Voter {
    /// Starts one on its store; `known` are other voters, where this process finds them, and `tell` hears what belongs
    /// in the log. It has to be called on the thread and the local set that it lives on.
    ///
    /// # Errors
    /// When it cannot go on from what the store holds.
    pub fn start(
        store: Store, me: Node, group: &str, times: Times, clock: Clock, known: &[Node],
        tell: impl Fn(String) + 'static,
    ) -> Result<Rc<Self>, VoterError> {
        let Store { disk, saved, applied } = store;
        let id = saved.me.birth;
        let now = millis(&clock);
        let node = logbook::Node::start(saved, times.timing(), rand::random(), now);
        let due = node.next_due();
        let core = Core {
            node,
            writer: None,
            writers: 0,
            snapshot_at: applied.index,
            applied,
            tokens: 0,
            asked: HashMap::new(),
            accepted: HashMap::new(),
        };
        let voter = Rc::new(Self {
            id,
            me,
            group: group.into(),
            times,
            clock,
            tell: Box::new(tell),
            core: RefCell::new(core),
            due: Cell::new(due),
            sooner: Notify::new(),
            changed: watch::Sender::new(0),
            office: watch::Sender::default(),
            own: known.iter().map(|node| (node.name.clone(), node.address.clone())).collect(),
            heard: RefCell::default(),
            ways: RefCell::default(),
            mail: RefCell::default(),
            deadlines: RefCell::new(Deadlines::new(times.life)),
            turns: RefCell::default(),
            notes: RefCell::default(),
        });
        voter.write_to(disk)?;
        tokio::task::spawn_local(voter.clone().look_after());
        tokio::task::spawn_local(voter.clone().reckon());
        Ok(voter)
    }

    /// Its number.
    pub fn number(&self) -> NodeId {
        self.id
    }

    /// The term in which this voter leads, if it does.
    fn leads(&self) -> Option<u64> {
        self.office.borrow().leads
    }

    // ---- the log ----

    /// From now on this voter's saves go there.
    fn write_to(self: &Rc<Self>, disk: logbook::store::Store) -> Result<(), VoterError> {
        let (told, mut tickets) = mpsc::unbounded_channel();
        let writer = Writer::start(disk, move |saved| drop(told.send(saved))).map_err(VoterError::Thread)?;
        let mut core = self.core.borrow_mut();
        core.writers += 1;
        core.writer = Some(writer);
        let (voter, number) = (self.clone(), core.writers);
        tokio::task::spawn_local(async move {
            while let Some(saved) = tickets.recv().await {
                if voter.core.borrow().writers != number {
                    return;
                }
                match saved {
                    Ok(ticket) => voter.feed(Input::Saved { ticket }),
                    Err(error) => voter.fall_silent(&error),
                }
            }
        });
        Ok(())
    }

    /// What cannot be written down cannot be promised: the others have to see that this voter is gone.
    fn fall_silent(&self, why: &dyn fmt::Display) {
        {
            let mut core = self.core.borrow_mut();
            core.writer = None;
            core.asked.clear();
        }
        self.office.send_replace(Office::default());
        (self.tell)(format!("group {}: voter {} falls silent: {why}", self.group, self.me.name));
    }

    fn is_silent(&self) -> bool {
        self.core.borrow().writer.is_none()
    }

    /// Hands the log what happened, and does what it says.
    fn feed(self: &Rc<Self>, input: Input) {
        let mut next = Some(input);
        let mut news = false;
        while let Some(input) = next.take() {
            let mut core = self.core.borrow_mut();
            if core.writer.is_none() {
                return;
            }
            let mut outputs = Vec::new();
            core.node.handle(millis(&self.clock), input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Send { to, message } => self.post(to, &message),
                    Output::Save(save) => core.writer.iter().for_each(|writer| writer.save(save.clone())),
                    Output::Committed { entry } => {
                        core.committed(&entry);
                        news = true;
                    }
                    Output::Install { snapshot } => {
                        // A state that cannot be read is of another version of this program, which goes on leading.
                        let Some(applied) = Applied::restored(&snapshot) else {
                            drop(core);
                            return self.fall_silent(&StoreError::State);
                        };
                        core.snapshot_at = applied.index;
                        core.applied = applied;
                        news = true;
                    }
                    Output::Accepted { token, index, term } => {
                        core.accepted.insert(index, (term, token));
                    }
                    Output::Refused { token, .. } | Output::Unclear { token } => {
                        core.asked.remove(&token);
                    }
                    Output::Role(_) => {
                        if !core.node.is_leader() {
                            core.accepted.clear();
                        }
                    }
                }
            }
            next = core.compact();
        }
        self.look_up();
        if news {
            self.changed.send_modify(|changes| *changes += 1);
        }
    }

    /// Tells what waits for it how the voter stands now.
    fn look_up(&self) {
        let core = self.core.borrow();
        let office = Office {
            leads: core.node.is_leader().then(|| core.node.term()),
            surely: core.node.holds_lease(millis(&self.clock)),
        };
        let due = core.node.next_due();
        if due < self.due.replace(due) {
            self.sooner.notify_one();
        }
        self.office.send_if_modified(|known| std::mem::replace(known, office) != office);
    }

    /// Lets time pass for the log.
    async fn look_after(self: Rc<Self>) {
        while !self.is_silent() {
            let left = self.due.get().saturating_sub(millis(&self.clock)).max(1);
            tokio::select! {
                () = sleep(Duration::from_millis(left)) => self.feed(Input::Tick),
                () = self.sooner.notified() => {}
            }
        }
    }

    /// Puts an entry into the log, and waits for what comes of it; none if that cannot be told.
    async fn write(self: &Rc<Self>, command: &Command) -> Option<Reply> {
        self.propose(command)?.await.ok()
    }

    fn propose(self: &Rc<Self>, command: &Command) -> Option<oneshot::Receiver<Reply>> {
        if self.is_silent() {
            return None;
        }
        let change = postcard::to_stdvec(command).ok()?;
        let (asker, answer) = oneshot::channel();
        if change.len() > LONGEST_ENTRY {
            let _ = asker.send(Reply::Full);
            return Some(answer);
        }
        let token = {
            let mut core = self.core.borrow_mut();
            core.tokens += 1;
            let token = core.tokens;
            core.asked.insert(token, asker);
            token
        };
        self.feed(Input::Propose { token, change });
        Some(answer)
    }

    /// Waits until it is sure that at this moment nobody else leads. False if this voter does not.
    async fn surely_leads(&self) -> bool {
        let mut office = self.office.subscribe();
        loop {
            // The one in the office is as old as the last thing that happened.
            let surely = {
                let core = self.core.borrow();
                core.writer.is_some() && core.node.holds_lease(millis(&self.clock))
            };
            if surely {
                return true;
            }
            if self.leads().is_none() || office.changed().await.is_err() {
                return false;
            }
        }
    }

    // ---- the ways to other voters ----

    fn way(&self, name: &str) -> Option<Rc<Way>> {
        let address = self.own.get(name).cloned();
        let address = address.or_else(|| self.core.borrow().applied.state.places.get(name).cloned());
        self.way_to(&address.or_else(|| self.heard.borrow().get(name).cloned())?)
    }

    fn way_to(&self, address: &str) -> Option<Rc<Way>> {
        let mut ways = self.ways.borrow_mut();
        if let Some(way) = ways.get(address) {
            return Some(way.clone());
        }
        let way = Rc::new(Way::new(address.parse::<SocketAddr>().ok()?, self.group.clone()));
        ways.insert(address.to_owned(), way.clone());
        Some(way)
    }

    /// Remembers where a voter listens.
    fn hear_of(&self, name: &str, address: String) {
        let mut heard = self.heard.borrow_mut();
        if heard.len() < MOST_HEARD || heard.contains_key(name) {
            heard.insert(name.to_owned(), address);
        }
    }

    /// Where others find this voter.
    fn place(&self) -> String {
        let own = self.own.get(&self.me.name).cloned();
        let agreed = || self.core.borrow().applied.state.places.get(&self.me.name).cloned();
        own.or_else(agreed).unwrap_or_else(|| self.me.address.clone())
    }

    /// Queues a message. All to one voter go one call after the other, so that they arrive in order.
    fn post(self: &Rc<Self>, to: VoterId, message: &Message) {
        let mut mail = self.mail.borrow_mut();
        let idle = !mail.contains_key(&to);
        let waiting = mail.entry(to.clone()).or_default();
        // It is silent: what is old is of no use to it any more.
        if waiting.len() >= MOST_MAIL {
            waiting.pop_front();
        }
        waiting.push_back(bitcode::encode(message));
        if idle {
            tokio::task::spawn_local(self.clone().carry(to));
        }
    }

    /// Carries messages to one voter until there are none.
    async fn carry(self: Rc<Self>, to: VoterId) {
        let election = self.times.election.0;
        loop {
            let messages = {
                let mut mail = self.mail.borrow_mut();
                let Some(waiting) = mail.get_mut(&to).filter(|waiting| !waiting.is_empty()) else {
                    mail.remove(&to);
                    return;
                };
                let mut room = MOST_CALL;
                let mut messages = Vec::new();
                while let Some(next) = waiting.front()
                    && (messages.is_empty() || next.len() <= room)
                    && let Some(next) = waiting.pop_front()
                {
                    room = room.saturating_sub(next.len());
                    messages.push(next);
                }
                messages
            };
            let long = messages.iter().map(Vec::len).sum::<usize>() > LONG_MAIL;
            let from = (voter(&self.group, &self.me.name, self.id).address, self.id);
            let mail = Mail { from, at: self.place(), messages };
            let carried = match self.way(name(&to)) {
                Some(way) => {
                    // Whatever gets no answer by then is lost; the next call goes by another connection.
                    let within = if long { self.times.life } else { election / 2 };
                    way.call::<_, ()>(Kind::Log, to.birth, &mail, within).await.is_ok()
                }
                None => false,
            };
            if !carried {
                sleep(self.times.beat).await;
            }
        }
    }

    fn take_in(self: &Rc<Self>, mail: Mail) -> Result<(), StatusCode> {
        if self.is_silent() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let from = VoterId { address: mail.from.0, birth: mail.from.1 };
        self.hear_of(name(&from), mail.at);
        for bytes in mail.messages {
            let message = bitcode::decode(&bytes).map_err(|_| StatusCode::BAD_REQUEST)?;
            self.feed(Input::Heard { from: from.clone(), message });
        }
        Ok(())
    }

    // ---- the group ----

    /// What this voter knows, without asking the others.
    pub fn view(&self) -> View {
        let core = self.core.borrow();
        let silent = core.writer.is_none();
        let leader = core.node.leader().filter(|_| !silent).map(|leader| name(leader).to_owned());
        let mut voters: Vec<String> = core.applied.voters.iter().map(|v| name(v).to_owned()).collect();
        voters.sort();
        let state = &core.applied.state;
        let holder = |id: SessionId| Some((id, state.sessions.get(&id)?.name.clone()));
        let duties = state.duties.iter();
        let records = state.records.iter();
        View {
            revision: state.revision,
            leader,
            term: core.node.term(),
            sessions: state.sessions.len(),
            voters,
            duties: duties.map(|(name, d)| (name.clone(), (d.fence, d.holder.and_then(holder)))).collect(),
            records: records
                .map(|(key, r)| (key.clone(), (r.duty.clone(), r.fence, r.value.clone())))
                .collect(),
            away: state.turns.keys().cloned().collect(),
        }
    }

    /// Whether it belongs to no group yet.
    fn is_new(&self) -> bool {
        self.core.borrow().node.members().is_empty()
    }

    /// Forms the group if it is this voter's part and nobody belongs to one yet; else waits to be taken in. `tell`
    /// hears once what it waits for.
    pub async fn join(self: Rc<Self>, voters: &[Node]) {
        let (mut told, mut formed_at) = (false, None);
        while self.is_new() && !self.is_silent() {
            let mut all = vec![(self.id, self.me.clone())];
            let mut formed = None;
            for node in voters.iter().filter(|node| node.name != self.me.name) {
                let Some(way) = self.way(&node.name) else { continue };
                match way.call::<_, Who>(Kind::Who, 0, &(), self.times.election.0).await {
                    Ok(who) if who.new => all.push((who.id, node.clone())),
                    Ok(who) => formed = Some(who.name),
                    Err(_) => {}
                }
            }
            let first = voters.first().is_some_and(|first| first.name == self.me.name);
            if let Some(by) = formed {
                // The group lives; this voter's part of it was lost, or it never was a voter. Or the group has just been
                // formed with it: then it hears of that from the first leader, well within a life.
                let since = *formed_at.get_or_insert_with(|| self.clock.now());
                let long = self.clock.now().saturating_sub(since) >= self.times.life;
                if long && !std::mem::replace(&mut told, true) {
                    (self.tell)(format!(
                        "group {}: {} has no vote: {by} is in the group already. GROUP ADD {} {} takes it in",
                        self.group, self.me.name, self.me.name, self.me.address
                    ));
                }
            } else if first && all.len() == voters.len() && self.is_new() {
                if let Err(error) = self.form(&all) {
                    self.fall_silent(&error);
                }
                return;
            }
            sleep(self.times.election.0).await;
        }
    }

    /// Begins the group's log: its first entry is who the voters are. They hear of it from their first leader.
    fn form(self: &Rc<Self>, all: &[(NodeId, Node)]) -> Result<(), VoterError> {
        let disk = {
            let mut core = self.core.borrow_mut();
            let voters = all.iter().map(|(id, node)| voter(&self.group, &node.name, *id)).collect();
            let mut applied = Applied { voters, index: 1, term: 1, ..Applied::default() };
            let places = all.iter().map(|(_, node)| (node.name.clone(), node.address.clone()));
            applied.state.places = places.collect();
            let snapshot = applied.snapshot().ok_or(VoterError::State)?;
            let disk = core.writer.take().and_then(Writer::stop).ok_or(VoterError::State)?;
            let term = core.node.term().max(1);
            let begun = disk.begin(core.node.me().clone(), term, snapshot);
            let saved = begun.map_err(|error| VoterError::Store(error.into()))?;
            // Nobody can lead a group that did not exist, so nobody is bound to one: it may stand as if it had waited.
            let timing = self.times.timing();
            let waited = millis(&self.clock).saturating_sub(timing.election);
            core.node = logbook::Node::start(saved, timing, rand::random(), waited);
            core.snapshot_at = applied.index;
            core.applied = applied;
            disk
        };
        self.write_to(disk)?;
        self.feed(Input::Tick);
        self.changed.send_modify(|changes| *changes += 1);
        Ok(())
    }

    /// A session goes on if this voter surely led after it was asked. Whoever leads later gives the session its whole
    /// life from a later moment.
    async fn renewed(&self, session: SessionId) -> Answer {
        if !self.surely_leads().await {
            return Answer::Nobody;
        }
        self.note(self.leads());
        if !self.core.borrow().applied.state.sessions.contains_key(&session) {
            return Answer::Gone;
        }
        if self.deadlines.borrow_mut().renewed(self.clock.now(), session) {
            Answer::Renewed
        } else {
            Answer::Gone
        }
    }

    fn note(&self, leads: Option<u64>) {
        let core = self.core.borrow();
        let sessions = core.applied.state.sessions.keys().copied();
        self.deadlines.borrow_mut().note(self.clock.now(), leads, sessions);
    }

    /// Ends what is over, while this voter leads.
    async fn reckon(self: Rc<Self>) {
        loop {
            sleep((self.times.life / 30).clamp(Duration::from_millis(10), Duration::from_millis(200))).await;
            self.note(self.leads());
            let Some((term, over)) = self.deadlines.borrow().over(self.clock.now()) else {
                self.turns.borrow_mut().clear();
                self.notes.borrow_mut().clear();
                continue;
            };
            let mut ends: Vec<Command> =
                over.into_iter().map(|session| Command::Expire { session, term }).collect();
            {
                let (now, core) = (self.clock.now(), self.core.borrow());
                let mut turns = self.turns.borrow_mut();
                turns.retain(|name, _| core.applied.state.turns.contains_key(name));
                for name in core.applied.state.turns.keys() {
                    let since = *turns.entry(name.clone()).or_insert(now);
                    if now.saturating_sub(since) >= TURN {
                        ends.push(Command::Lapse { name: name.clone(), term });
                    }
                }
            }
            let ends: Vec<_> = ends.iter().filter_map(|end| self.propose(end)).collect();
            let all = async {
                for end in ends {
                    let _ = end.await;
                }
            };
            // What is not done now is done with the next look, or by the next leader.
            let _ = timeout(self.times.life / 3, all).await;
        }
    }

    /// What the group says to a question, within a time that is well inside a session's life.
    pub async fn ask(self: &Rc<Self>, ask: Ask, passed: bool) -> Answer {
        let change = matches!(ask, Ask::Add(_) | Ask::Remove(_));
        let within = if change { CHANGE } else { self.times.life / 3 };
        if self.leads().is_some() {
            return timeout(within, self.decide(ask)).await.unwrap_or(Answer::Nobody);
        }
        let leader = self.core.borrow().node.leader().filter(|leader| leader.birth != self.id).cloned();
        let way = leader.and_then(|leader| Some((leader.birth, self.way(name(&leader))?)));
        match way {
            Some((id, way)) if !passed => {
                let answer = way.call(Kind::Ask, id, &Passed(ask, true), within).await;
                answer.unwrap_or(Answer::Nobody)
            }
            _ => Answer::Nobody,
        }
    }

    async fn decide(self: &Rc<Self>, ask: Ask) -> Answer {
        match ask {
            Ask::Renew(session) => self.renewed(session).await,
            Ask::Do(command) => {
                // A duty that is held needs no entry to be refused: what is known here was committed.
                if let Command::Claim { session, duty } = &command
                    && let Some(held) = self.core.borrow().applied.state.duties.get(duty)
                    && held.holder.is_some_and(|holder| holder != *session)
                {
                    return Answer::Reply(Reply::NotHeld { holder: held.holder, fence: held.fence });
                }
                self.write(&command).await.map_or(Answer::Nobody, Answer::Reply)
            }
            Ask::Report { session, duty, note } => self.noted(session, duty, note),
            Ask::Collect { session, duty, fence } => {
                let held = self.core.borrow().applied.state.duties.get(&duty).cloned().unwrap_or_default();
                if held.holder != Some(session) || held.fence != fence {
                    return Answer::No(format!("{duty} is not held under fence {fence}"));
                }
                let notes = self.notes.borrow_mut().remove(&duty).unwrap_or_default();
                Answer::Notes(notes.into())
            }
            Ask::Add(node) => self.add(node).await,
            Ask::Remove(name) => self.remove(&name).await,
        }
    }

    /// Keeps a note; of too many the oldest go.
    fn noted(&self, session: SessionId, duty: String, note: Vec<u8>) -> Answer {
        let core = self.core.borrow();
        let state = &core.applied.state;
        let held = state.duties.get(&duty).is_some_and(|duty| duty.holder.is_some());
        if !state.sessions.contains_key(&session) {
            return Answer::Gone;
        }
        if !held || note.len() > LONGEST_NOTE {
            return Answer::No("nobody has that duty, or the note is too long".into());
        }
        let mut notes = self.notes.borrow_mut();
        let line = notes.entry(duty).or_default();
        if line.len() >= MOST_NOTES {
            line.pop_front();
        }
        line.push_back(note);
        Answer::Done
    }

    async fn add(self: &Rc<Self>, node: Node) -> Answer {
        let address = self.own.get(&node.name).unwrap_or(&node.address);
        let Some(way) = self.way_to(address) else { return Answer::No("no usable address".into()) };
        let who = match way.call::<_, Who>(Kind::Who, 0, &(), self.times.life / 6).await {
            Ok(who) if who.name == node.name => who,
            Ok(who) => return Answer::No(format!("{} listens there", who.name)),
            Err(error) => return Answer::No(format!("{}: {error}", node.address)),
        };
        self.hear_of(&node.name, node.address.clone());
        let new = voter(&self.group, &node.name, who.id);
        if !self.change(Input::AddVoter(new.clone()), |voters| voters.contains(&new)).await {
            return Answer::Nobody;
        }
        // It is in whether or not the others hear where: they have its word for that.
        match self.write(&Command::Place { name: node.name, address: node.address }).await {
            Some(Reply::Done) => Answer::Done,
            Some(_) => Answer::No("its address or its name is too long".into()),
            None => Answer::Nobody,
        }
    }

    async fn remove(self: &Rc<Self>, gone: &str) -> Answer {
        let voters = self.core.borrow().applied.voters.clone();
        let Some(old) = voters.iter().find(|voter| name(voter) == gone) else {
            return Answer::No(format!("{gone} is no voter"));
        };
        if voters.len() == 1 {
            return Answer::No("it is the last voter".into());
        }
        if self.change(Input::RemoveVoter(old.clone()), |voters| !voters.contains(old)).await {
            Answer::Done
        } else {
            Answer::Nobody
        }
    }

    /// Asks for a change of the voters until it is committed. False if this voter leads no more before that.
    async fn change(self: &Rc<Self>, how: Input, done: impl Fn(&[VoterId]) -> bool) -> bool {
        let mut changed = self.changed.subscribe();
        loop {
            self.feed(how.clone());
            // One that has let itself go leads no more by then.
            if done(&self.core.borrow().applied.voters) {
                return true;
            }
            if self.leads().is_none() {
                return false;
            }
            let _ = timeout(self.times.beat, changed.changed()).await;
        }
    }

    async fn watched(&self, watching: Watching) -> View {
        let mut changed = self.changed.subscribe();
        let news = async {
            while self.core.borrow().applied.state.revision <= watching.after {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(Duration::from_millis(watching.wait_ms).min(LONGEST_WATCH), news).await;
        self.view()
    }
}

impl Answers for Voter {
    fn group(&self) -> &str {
        &self.group
    }

    fn id(&self) -> u64 {
        self.id
    }

    fn answer(self: Rc<Self>, kind: Kind, body: Bytes) -> Answered {
        Box::pin(async move {
            match kind {
                Kind::Log => {
                    self.take_in(read(&body)?)?;
                    written(&())
                }
                Kind::Ask => {
                    let Passed(ask, passed) = read(&body)?;
                    written(&self.ask(ask, passed).await)
                }
                Kind::Watch => written(&self.watched(read(&body)?).await),
                Kind::Who => {
                    if self.is_silent() {
                        return Err(StatusCode::SERVICE_UNAVAILABLE);
                    }
                    written(&Who { id: self.id, name: self.me.name.clone(), new: self.is_new() })
                }
            }
        })
    }
}

/// The time now, as the log counts it.
fn millis(clock: &Clock) -> Millis {
    clock.now().as_millis() as Millis
}

/// A member's question to a voter that it has a way to.
///
/// # Errors
/// When the voter gives no usable answer in time.
pub async fn ask(way: &Way, ask: Ask, within: Duration) -> Result<Answer, CallError> {
    way.call(wire::Kind::Ask, 0, &Passed(ask, false), within).await
}
