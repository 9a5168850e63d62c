//! One voter: consensus on the log of [`crate::machine`], the leader's reckoning of sessions ([`crate::lease`]), and
//! answers to members. Whoever is not the leader passes questions on to it.

mod decide;
mod driver;
mod mail;
mod messages;

use crate::clock::{Clock, Moment};
use crate::lease::SessionDeadlines;
use crate::state_machine::SessionId;
use crate::store::{Applied, Incarnation, Store, voter_id, voter_name};
use crate::wire::{CallError, CallHandler, CallKind, ResponseFuture, VoterClient, decode, encode};
use bytes::Bytes;
use driver::{Core, Office};
use hyper::StatusCode;
use messages::Passed;
pub use messages::{
    GroupRequest, GroupResponse, Timeouts, View, VoterEndpoint, VoterError, VoterInfo, WatchRequest,
};
use raft::{Input, Millis, VoterId, Writer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

/// The longest wait of a watch.
const LONGEST_WATCH: Duration = Duration::from_secs(20);

/// A voter.
pub struct Voter {
    id: Incarnation,
    me: VoterEndpoint,
    group: Rc<str>,
    times: Timeouts,
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
    ways: RefCell<HashMap<String, Rc<VoterClient>>>,
    /// Messages that wait, for each voter that a task is carrying them to.
    mail: RefCell<HashMap<VoterId, VecDeque<Vec<u8>>>>,
    deadlines: RefCell<SessionDeadlines>,
    absences: RefCell<BTreeMap<String, Moment>>,
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
        store: Store, me: VoterEndpoint, group: &str, times: Timeouts, clock: Clock, known: &[VoterEndpoint],
        tell: impl Fn(String) + 'static,
    ) -> Result<Rc<Self>, VoterError> {
        let Store { disk, saved, applied } = store;
        let id = saved.me.incarnation;
        let now = millis(&clock);
        let node = raft::Node::start(saved, times.timing(), rand::random(), now);
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
            deadlines: RefCell::new(SessionDeadlines::new(times.session_ttl)),
            absences: RefCell::default(),
            notes: RefCell::default(),
        });
        voter.write_to(disk)?;
        tokio::task::spawn_local(voter.clone().look_after());
        tokio::task::spawn_local(voter.clone().reckon());
        Ok(voter)
    }

    /// Its number.
    pub fn incarnation(&self) -> Incarnation {
        self.id
    }

    /// The term in which this voter leads, if it does.
    fn leads(&self) -> Option<u64> {
        self.office.borrow().leads
    }

    /// What this voter knows, without asking the others.
    pub fn view(&self) -> View {
        let core = self.core.borrow();
        let silent = core.writer.is_none();
        let leader = core.node.leader().filter(|_| !silent).map(|leader| voter_name(leader).to_owned());
        let mut voters: Vec<String> = core.applied.voters.iter().map(|v| voter_name(v).to_owned()).collect();
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
            absent: state.absences.keys().cloned().collect(),
        }
    }

    /// Whether it belongs to no group yet.
    fn is_new(&self) -> bool {
        self.core.borrow().node.members().is_empty()
    }

    /// Forms the group if it is this voter's part and nobody belongs to one yet; else waits to be taken in. `tell`
    /// hears once what it waits for.
    pub async fn join(self: Rc<Self>, voters: &[VoterEndpoint]) {
        let (mut told, mut formed_at) = (false, None);
        while self.is_new() && !self.is_silent() {
            let mut all = vec![(self.id, self.me.clone())];
            let mut formed = None;
            for node in voters.iter().filter(|node| node.name != self.me.name) {
                let Some(way) = self.way(&node.name) else { continue };
                match way.call::<_, VoterInfo>(CallKind::Info, 0, &(), self.times.election.0).await {
                    Ok(who) if who.is_new => all.push((who.incarnation, node.clone())),
                    Ok(who) => formed = Some(who.name),
                    Err(_) => {}
                }
            }
            let first = voters.first().is_some_and(|first| first.name == self.me.name);
            if let Some(by) = formed {
                // The group lives; this voter's part of it was lost, or it never was a voter. Or the group has just been
                // formed with it: then it hears of that from the first leader, well within a life.
                let since = *formed_at.get_or_insert_with(|| self.clock.now());
                let long = self.clock.now().saturating_sub(since) >= self.times.session_ttl;
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
    fn form(self: &Rc<Self>, all: &[(Incarnation, VoterEndpoint)]) -> Result<(), VoterError> {
        let disk = {
            let mut core = self.core.borrow_mut();
            let voters = all.iter().map(|(id, node)| voter_id(&self.group, &node.name, *id)).collect();
            let mut applied = Applied { voters, index: 1, term: 1, ..Applied::default() };
            let places = all.iter().map(|(_, node)| (node.name.clone(), node.address.clone()));
            applied.state.voter_addresses = places.collect();
            let snapshot = applied.to_snapshot().ok_or(VoterError::State)?;
            let disk = core.writer.take().and_then(Writer::stop).ok_or(VoterError::State)?;
            let term = core.node.term().max(1);
            let begun = disk.create_from_snapshot(core.node.me().clone(), term, snapshot);
            let saved = begun.map_err(|error| VoterError::Store(error.into()))?;
            // Nobody can lead a group that did not exist, so nobody is bound to one: it may stand as if it had waited.
            let timing = self.times.timing();
            let waited = millis(&self.clock).saturating_sub(timing.election);
            core.node = raft::Node::start(saved, timing, rand::random(), waited);
            core.snapshot_at = applied.index;
            core.applied = applied;
            disk
        };
        self.write_to(disk)?;
        self.feed(Input::Tick);
        self.changed.send_modify(|changes| *changes += 1);
        Ok(())
    }

    async fn watched(&self, watching: WatchRequest) -> View {
        let mut changed = self.changed.subscribe();
        let news = async {
            while self.core.borrow().applied.state.revision <= watching.known_revision {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(Duration::from_millis(watching.wait_ms).min(LONGEST_WATCH), news).await;
        self.view()
    }
}

impl CallHandler for Voter {
    fn group(&self) -> &str {
        &self.group
    }

    fn id(&self) -> u64 {
        self.id
    }

    fn handle(self: Rc<Self>, kind: CallKind, body: Bytes) -> ResponseFuture {
        Box::pin(async move {
            match kind {
                CallKind::Raft => {
                    self.take_in(decode(&body)?)?;
                    encode(&())
                }
                CallKind::Request => {
                    let Passed(ask, passed) = decode(&body)?;
                    encode(&self.handle_request(ask, passed).await)
                }
                CallKind::Watch => encode(&self.watched(decode(&body)?).await),
                CallKind::Info => {
                    if self.is_silent() {
                        return Err(StatusCode::SERVICE_UNAVAILABLE);
                    }
                    encode(&VoterInfo {
                        incarnation: self.id,
                        name: self.me.name.clone(),
                        is_new: self.is_new(),
                    })
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
pub async fn send_request(
    client: &VoterClient, request: GroupRequest, time_limit: Duration,
) -> Result<GroupResponse, CallError> {
    client.call(CallKind::Request, 0, &Passed(request, false), time_limit).await
}
