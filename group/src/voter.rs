//! One voter: consensus on the log of [`crate::machine`], the leader's reckoning of sessions ([`crate::lease`]), and
//! answers to members. Whoever is not the leader passes questions on to it.

use crate::clock::{Clock, Moment};
use crate::lease::Deadlines;
use crate::machine::{Command, Reply, SessionId, State};
use crate::member::CHANGE;
use crate::store::{Kept, Store};
use crate::wire::{self, Answered, Answers, CallError, Kind, Way, read, written};
use bytes::Bytes;
use hyper::StatusCode;
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, Unreachable};
use openraft::network::RPCOption;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::storage::RaftStateMachine;
use openraft::{
    AnyError, ChangeMembers, Entry, EntryPayload, LogId, OptionalSend, Raft, RaftNetwork, RaftNetworkFactory,
    RaftSnapshotBuilder, ServerState, Snapshot, SnapshotMeta, SnapshotPolicy, StorageError, StorageIOError,
    StoredMembership,
};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::Cursor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{sleep, timeout};

/// The number that a voter's votes are counted under.
pub type NodeId = u64;

/// A voter as the others know it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The process's name.
    pub name: String,
    /// Where it listens.
    pub address: String,
}

openraft::declare_raft_types!(
    /// The types that consensus is run with.
    pub Types:
        D = Command,
        R = Reply,
        NodeId = NodeId,
        Node = Node,
        Entry = Entry<Types>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = openraft::TokioRuntime,
);

/// Entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 2000;
/// Renewals that wait for one confirmation: each session's one.
const MOST_WAITING: usize = crate::machine::MOST_SESSIONS;
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

/// What has been applied.
#[derive(Default)]
struct Applied {
    state: State,
    last: Option<LogId<NodeId>>,
    membership: StoredMembership<NodeId, Node>,
}

impl Applied {
    fn kept(&self) -> Kept {
        let snapshot_id =
            self.last.map_or("0".into(), |last| format!("{}-{}", last.leader_id.term, last.index));
        let meta =
            SnapshotMeta { last_log_id: self.last, last_membership: self.membership.clone(), snapshot_id };
        Kept { meta, state: self.state.clone() }
    }

    fn put(&mut self, kept: Kept) {
        self.last = kept.meta.last_log_id;
        self.membership = kept.meta.last_membership;
        self.state = kept.state;
    }
}

/// The state machine as consensus knows it.
#[derive(Clone)]
struct Machine {
    applied: Rc<RefCell<Applied>>,
    changed: Rc<watch::Sender<u64>>,
    store: Store,
}

fn unreadable(error: &(impl std::error::Error + 'static)) -> StorageError<NodeId> {
    StorageIOError::read_snapshot(None, AnyError::new(error)).into()
}

impl RaftSnapshotBuilder<Types> for Machine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError<NodeId>> {
        let kept = self.applied.borrow().kept();
        self.keep(kept).await
    }
}

impl Machine {
    /// Writes a snapshot down, and gives it as it travels.
    async fn keep(&self, kept: Kept) -> Result<Snapshot<Types>, StorageError<NodeId>> {
        let bytes = postcard::to_stdvec(&kept.state).map_err(|e| unreadable(&e))?;
        let (store, meta) = (self.store.clone(), kept.meta.clone());
        let done = tokio::task::spawn_blocking(move || store.keep(&kept)).await;
        done.map_err(|e| unreadable(&e))?.map_err(|e| unreadable(&e))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) })
    }

    fn told(&self) {
        self.changed.send_modify(|changes| *changes += 1);
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Self;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<NodeId>>, StoredMembership<NodeId, Node>), StorageError<NodeId>> {
        let applied = self.applied.borrow();
        Ok((applied.last, applied.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Reply>, StorageError<NodeId>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut applied = self.applied.borrow_mut();
        let mut replies = Vec::new();
        for entry in entries {
            applied.last = Some(entry.log_id);
            replies.push(match entry.payload {
                EntryPayload::Blank => Reply::Done,
                EntryPayload::Normal(command) => applied.state.apply(entry.log_id.leader_id.term, &command),
                EntryPayload::Membership(membership) => {
                    applied.membership = StoredMembership::new(Some(entry.log_id), membership);
                    applied.state.revision += 1;
                    Reply::Done
                }
            });
        }
        drop(applied);
        self.told();
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> Self {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<NodeId>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self, meta: &SnapshotMeta<NodeId, Node>, snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<NodeId>> {
        let state = postcard::from_bytes(snapshot.get_ref()).map_err(|e| unreadable(&e))?;
        let kept = Kept { meta: meta.clone(), state };
        self.keep(kept.clone()).await?;
        self.applied.borrow_mut().put(kept);
        self.told();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError<NodeId>> {
        let store = self.store.clone();
        let found = tokio::task::spawn_blocking(move || store.snapshot()).await;
        let Some(kept) = found.map_err(|e| unreadable(&e))?.map_err(|e| unreadable(&e))? else {
            return Ok(None);
        };
        let bytes = postcard::to_stdvec(&kept.state).map_err(|e| unreadable(&e))?;
        Ok(Some(Snapshot { meta: kept.meta, snapshot: Box::new(Cursor::new(bytes)) }))
    }
}

/// The ways to other voters. Where this process's own settings name an address for one, that one goes before what
/// the group agreed on: from one process to the next it may differ.
#[derive(Clone)]
struct Ways {
    group: Rc<str>,
    own: Rc<BTreeMap<String, String>>,
    known: Rc<RefCell<HashMap<String, Rc<Way>>>>,
}

impl Ways {
    fn to(&self, node: &Node) -> Option<Rc<Way>> {
        let address = self.own.get(&node.name).unwrap_or(&node.address);
        let mut known = self.known.borrow_mut();
        if let Some(way) = known.get(address) {
            return Some(way.clone());
        }
        let way = Rc::new(Way::new(address.parse::<SocketAddr>().ok()?, self.group.clone()));
        known.insert(address.clone(), way.clone());
        Some(way)
    }
}

/// Consensus's way to one voter.
struct Link {
    target: NodeId,
    way: Option<Rc<Way>>,
}

impl RaftNetworkFactory<Types> for Ways {
    type Network = Link;

    async fn new_client(&mut self, target: NodeId, node: &Node) -> Link {
        Link { target, way: self.to(node) }
    }
}

/// What consensus hears of a call that failed: it waits a while before the next one to a voter that is not there.
fn failed<E: std::error::Error>(error: &CallError) -> RPCError<NodeId, Node, E> {
    match error {
        CallError::Late => RPCError::Network(NetworkError::new(error)),
        _ => RPCError::Unreachable(Unreachable::new(error)),
    }
}

impl Link {
    async fn call<Q: Serialize, A: serde::de::DeserializeOwned, E: std::error::Error>(
        &self, kind: Kind, question: &Q, option: &RPCOption,
    ) -> Result<A, RPCError<NodeId, Node, E>> {
        let none = CallError::Broken("no address".into());
        let way = self.way.as_ref().ok_or_else(|| failed(&none))?;
        way.call(kind, self.target, question, option.hard_ttl()).await.map_err(|error| failed(&error))
    }
}

impl RaftNetwork<Types> for Link {
    async fn append_entries(
        &mut self, rpc: AppendEntriesRequest<Types>, option: RPCOption,
    ) -> Result<AppendEntriesResponse<NodeId>, RPCError<NodeId, Node, RaftError<NodeId>>> {
        self.call(Kind::Append, &rpc, &option).await
    }

    async fn install_snapshot(
        &mut self, rpc: InstallSnapshotRequest<Types>, option: RPCOption,
    ) -> Result<
        InstallSnapshotResponse<NodeId>,
        RPCError<NodeId, Node, RaftError<NodeId, InstallSnapshotError>>,
    > {
        self.call(Kind::Snapshot, &rpc, &option).await
    }

    async fn vote(
        &mut self, rpc: VoteRequest<NodeId>, option: RPCOption,
    ) -> Result<VoteResponse<NodeId>, RPCError<NodeId, Node, RaftError<NodeId>>> {
        self.call(Kind::Vote, &rpc, &option).await
    }

    fn backoff(&self) -> openraft::network::Backoff {
        openraft::network::Backoff::new(std::iter::repeat(Duration::from_millis(100)))
    }
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

    fn config(&self, group: &str) -> openraft::Config {
        let ms = |time: Duration| (time.as_millis() as u64).max(1);
        openraft::Config {
            cluster_name: group.into(),
            heartbeat_interval: ms(self.beat),
            election_timeout_min: ms(self.election.0),
            election_timeout_max: ms(self.election.1),
            install_snapshot_timeout: ms(self.life),
            snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_EVERY),
            max_in_snapshot_log_to_keep: SNAPSHOT_EVERY / 4,
            ..openraft::Config::default()
        }
    }
}

type Renewal = (SessionId, oneshot::Sender<Answer>);

/// A voter.
pub struct Voter {
    id: NodeId,
    me: Node,
    group: Rc<str>,
    times: Times,
    clock: Clock,
    raft: Raft<Types>,
    applied: Rc<RefCell<Applied>>,
    changed: watch::Receiver<u64>,
    ways: Ways,
    deadlines: RefCell<Deadlines>,
    turns: RefCell<BTreeMap<String, Moment>>,
    renewals: RefCell<Vec<Renewal>>,
    renew: Notify,
    /// Notes by duty, while this voter leads.
    notes: RefCell<BTreeMap<String, VecDeque<Vec<u8>>>>,
}

/// A voter that cannot run.
pub type VoterError = Box<dyn std::error::Error + Send + Sync>;

impl Voter {
    /// Starts one on its store; `known` are other voters, where this process finds them. It has to be called on the thread and the local set that it lives on.
    ///
    /// # Errors
    /// When consensus cannot go on from what the store holds.
    pub async fn start(
        store: Store, me: Node, group: &str, times: Times, clock: Clock, known: &[Node],
    ) -> Result<Rc<Self>, VoterError> {
        let mut first = Applied::default();
        if let Some(kept) = store.snapshot()? {
            first.put(kept);
        }
        let applied = Rc::new(RefCell::new(first));
        let (changed, changes) = watch::channel(0);
        let group: Rc<str> = group.into();
        let own = known.iter().map(|node| (node.name.clone(), node.address.clone())).collect();
        let ways = Ways { group: group.clone(), own: Rc::new(own), known: Rc::default() };
        let machine = Machine { applied: applied.clone(), changed: Rc::new(changed), store: store.clone() };
        let config = Arc::new(times.config(&group).validate()?);
        let id = store.identity.id;
        let raft = Raft::new(id, config, ways.clone(), store, machine).await?;
        let voter = Rc::new(Self {
            id,
            me,
            group,
            times,
            clock,
            raft,
            applied,
            changed: changes,
            ways,
            deadlines: RefCell::new(Deadlines::new(times.life)),
            turns: RefCell::default(),
            renewals: RefCell::default(),
            renew: Notify::new(),
            notes: RefCell::default(),
        });
        tokio::task::spawn_local(voter.clone().confirm());
        tokio::task::spawn_local(voter.clone().reckon());
        Ok(voter)
    }

    /// Its number.
    pub fn number(&self) -> NodeId {
        self.id
    }

    /// The term in which this voter leads, if it does.
    fn leads(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    /// What this voter knows, without asking the others.
    pub fn view(&self) -> View {
        let (leader, term) = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            let leader = metrics.current_leader;
            let node = leader.and_then(|id| metrics.membership_config.membership().get_node(&id).cloned());
            (node.map(|node| node.name), metrics.current_term)
        };
        let applied = self.applied.borrow();
        let state = &applied.state;
        let holder = |id: SessionId| Some((id, state.sessions.get(&id)?.name.clone()));
        let duties = state.duties.iter();
        let records = state.records.iter();
        View {
            revision: state.revision,
            leader,
            term,
            sessions: state.sessions.len(),
            voters: applied.membership.membership().nodes().map(|(_, node)| node.name.clone()).collect(),
            duties: duties.map(|(name, d)| (name.clone(), (d.fence, d.holder.and_then(holder)))).collect(),
            records: records
                .map(|(key, r)| (key.clone(), (r.duty.clone(), r.fence, r.value.clone())))
                .collect(),
            away: state.turns.keys().cloned().collect(),
        }
    }

    /// Forms the group if it is this voter's part and nobody belongs to one yet; else waits to be taken in. `tell`
    /// hears once what it waits for.
    pub async fn join(&self, voters: &[Node], tell: impl Fn(String)) {
        let mut told = false;
        loop {
            if self.raft.is_initialized().await.unwrap_or(true) {
                return;
            }
            let mut all = BTreeMap::from([(self.id, self.me.clone())]);
            let (mut others, mut formed) = (0, None);
            for node in voters.iter().filter(|node| node.name != self.me.name) {
                let Some(way) = self.ways.to(node) else { continue };
                match way.call::<_, Who>(Kind::Who, 0, &(), self.times.election.0).await {
                    Ok(who) if who.new => {
                        others += 1;
                        all.insert(who.id, node.clone());
                    }
                    Ok(who) => formed = Some(who.name),
                    Err(_) => {}
                }
            }
            if let Some(by) = formed {
                // The group lives; this voter's part of it was lost, or it never was a voter.
                if !std::mem::replace(&mut told, true) {
                    tell(format!(
                        "group {}: {} has no vote: {by} is in the group already. GROUP ADD {} {} takes it in",
                        self.group, self.me.name, self.me.name, self.me.address
                    ));
                }
            } else if others + 1 == voters.len() && voters.first().is_some_and(|v| v.name == self.me.name) {
                let _ = self.raft.initialize(all).await;
            }
            sleep(self.times.election.1).await;
        }
    }

    /// Answers renewals, all that wait with one confirmation.
    async fn confirm(self: Rc<Self>) {
        loop {
            self.renew.notified().await;
            let waiting = std::mem::take(&mut *self.renewals.borrow_mut());
            if waiting.is_empty() {
                continue;
            }
            let confirmed = timeout(self.times.life / 3, self.raft.ensure_linearizable()).await;
            let leads = matches!(confirmed, Ok(Ok(_))).then(|| self.leads()).flatten();
            self.note(leads);
            for (session, asker) in waiting {
                let answer = if leads.is_none() {
                    Answer::Nobody
                } else if !self.applied.borrow().state.sessions.contains_key(&session) {
                    Answer::Gone
                } else if self.deadlines.borrow_mut().renewed(self.clock.now(), session) {
                    Answer::Renewed
                } else {
                    Answer::Gone
                };
                let _ = asker.send(answer);
            }
        }
    }

    fn note(&self, leads: Option<u64>) {
        let applied = self.applied.borrow();
        self.deadlines.borrow_mut().note(self.clock.now(), leads, applied.state.sessions.keys().copied());
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
                let (now, applied) = (self.clock.now(), self.applied.borrow());
                let mut turns = self.turns.borrow_mut();
                turns.retain(|name, _| applied.state.turns.contains_key(name));
                for name in applied.state.turns.keys() {
                    let since = *turns.entry(name.clone()).or_insert(now);
                    if now.saturating_sub(since) >= TURN {
                        ends.push(Command::Lapse { name: name.clone(), term });
                    }
                }
            }
            for end in ends {
                // One that is not done now is done with the next look, or by the next leader.
                let _ = timeout(self.times.life / 3, self.raft.client_write(end)).await;
            }
        }
    }

    /// What the group says to a question, within a time that is well inside a session's life.
    pub async fn ask(&self, ask: Ask, passed: bool) -> Answer {
        let change = matches!(ask, Ask::Add(_) | Ask::Remove(_));
        let within = if change { CHANGE } else { self.times.life / 3 };
        if self.leads().is_some() {
            return timeout(within, self.decide(ask)).await.unwrap_or(Answer::Nobody);
        }
        let leader = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            let id = metrics.current_leader.filter(|id| *id != self.id);
            id.and_then(|id| Some((id, metrics.membership_config.membership().get_node(&id)?.clone())))
        };
        let way = leader.and_then(|(id, node)| Some((id, self.ways.to(&node)?)));
        match way {
            Some((id, way)) if !passed => {
                let answer = way.call(Kind::Ask, id, &Passed(ask, true), within).await;
                answer.unwrap_or(Answer::Nobody)
            }
            _ => Answer::Nobody,
        }
    }

    async fn decide(&self, ask: Ask) -> Answer {
        match ask {
            Ask::Renew(session) => {
                let (asker, answer) = oneshot::channel();
                {
                    let mut renewals = self.renewals.borrow_mut();
                    if renewals.len() >= MOST_WAITING {
                        return Answer::Nobody;
                    }
                    renewals.push((session, asker));
                }
                self.renew.notify_one();
                answer.await.unwrap_or(Answer::Nobody)
            }
            Ask::Do(command) => {
                // A duty that is held needs no entry to be refused: what is known here was committed.
                if let Command::Claim { session, duty } = &command
                    && let Some(held) = self.applied.borrow().state.duties.get(duty)
                    && held.holder.is_some_and(|holder| holder != *session)
                {
                    return Answer::Reply(Reply::NotHeld { holder: held.holder, fence: held.fence });
                }
                match self.raft.client_write(command).await {
                    Ok(written) => Answer::Reply(written.data),
                    Err(_) => Answer::Nobody,
                }
            }
            Ask::Report { session, duty, note } => self.noted(session, duty, note),
            Ask::Collect { session, duty, fence } => {
                let held = self.applied.borrow().state.duties.get(&duty).cloned().unwrap_or_default();
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
        let applied = self.applied.borrow();
        let held = applied.state.duties.get(&duty).is_some_and(|duty| duty.holder.is_some());
        if !applied.state.sessions.contains_key(&session) {
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

    fn voters(&self) -> Vec<(NodeId, Node)> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let membership = metrics.membership_config.membership();
        let voters: BTreeSet<NodeId> = membership.voter_ids().collect();
        membership.nodes().filter(|(id, _)| voters.contains(id)).map(|(id, n)| (*id, n.clone())).collect()
    }

    async fn add(&self, node: Node) -> Answer {
        let Some(way) = self.ways.to(&node) else { return Answer::No("no usable address".into()) };
        let who = match way.call::<_, Who>(Kind::Who, 0, &(), self.times.life / 6).await {
            Ok(who) if who.name == node.name => who,
            Ok(who) => return Answer::No(format!("{} listens there", who.name)),
            Err(error) => return Answer::No(format!("{}: {error}", node.address)),
        };
        let mut ids: BTreeSet<NodeId> = self
            .voters()
            .into_iter()
            .filter(|(_, known)| known.name != node.name)
            .map(|(id, _)| id)
            .collect();
        ids.insert(who.id);
        if let Err(error) = self.raft.add_learner(who.id, node, true).await {
            return Answer::No(error.to_string());
        }
        self.change(ids).await
    }

    async fn remove(&self, name: &str) -> Answer {
        let voters = self.voters();
        let ids: BTreeSet<NodeId> =
            voters.iter().filter(|(_, node)| node.name != name).map(|(id, _)| *id).collect();
        if ids.len() == voters.len() {
            return Answer::No(format!("{name} is no voter"));
        }
        if ids.is_empty() {
            return Answer::No("it is the last voter".into());
        }
        self.change(ids).await
    }

    async fn change(&self, ids: BTreeSet<NodeId>) -> Answer {
        match self.raft.change_membership(ChangeMembers::ReplaceAllVoters(ids), false).await {
            Ok(_) => Answer::Done,
            Err(error) => Answer::No(error.to_string()),
        }
    }

    async fn watched(&self, watching: Watching) -> View {
        let mut changed = self.changed.clone();
        let news = async {
            while self.applied.borrow().state.revision <= watching.after {
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
        let broken = |_| StatusCode::SERVICE_UNAVAILABLE;
        Box::pin(async move {
            match kind {
                Kind::Append => {
                    let done = self.raft.append_entries(read(&body)?).await;
                    written(&done.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?)
                }
                Kind::Vote => {
                    let done = self.raft.vote(read(&body)?).await;
                    written(&done.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?)
                }
                Kind::Snapshot => {
                    let done = self.raft.install_snapshot(read(&body)?).await;
                    written(&done.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?)
                }
                Kind::Ask => {
                    let Passed(ask, passed) = read(&body)?;
                    written(&self.ask(ask, passed).await)
                }
                Kind::Watch => written(&self.watched(read(&body)?).await),
                Kind::Who => {
                    let new = !self.raft.is_initialized().await.map_err(broken)?;
                    written(&Who { id: self.id, name: self.me.name.clone(), new })
                }
            }
        })
    }
}

/// A member's question to a voter that it has a way to.
///
/// # Errors
/// When the voter gives no usable answer in time.
pub async fn ask(way: &Way, ask: Ask, within: Duration) -> Result<Answer, CallError> {
    way.call(wire::Kind::Ask, 0, &Passed(ask, false), within).await
}
