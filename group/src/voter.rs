//! One voter: consensus on the log of [`crate::machine`], the leader's reckoning of sessions ([`crate::lease`]), and
//! answers to members. Whoever is not the leader passes questions on to it.

mod driver;
mod leader;
mod messages;
mod raft_transport;

use crate::clock::{Clock, Moment};
use crate::lease::SessionDeadlines;
use crate::state_machine::SessionId;
use crate::store::{Applied, Incarnation, Store, voter_id, voter_name};
use crate::wire::{CallError, CallHandler, CallKind, ResponseFuture, VoterClient, decode, encode};
use bytes::Bytes;
use driver::{Core, Leadership};
use hyper::StatusCode;
use messages::RequestEnvelope;
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
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);

/// A voter.
pub struct Voter {
    incarnation: Incarnation,
    endpoint: VoterEndpoint,
    group: Rc<str>,
    timeouts: Timeouts,
    clock: Clock,
    log: Box<dyn Fn(String)>,
    core: RefCell<Core>,
    /// When the log wants to be looked after, and that this became sooner.
    next_due: Cell<Millis>,
    due_moved_earlier: Notify,
    applied_changes: watch::Sender<u64>,
    leadership: watch::Sender<Leadership>,
    /// Where this process's own settings find voters: that goes before what the group agreed on, since from one process
    /// to the next it may differ.
    configured_addresses: BTreeMap<String, String>,
    /// Where those were that were heard of last: for who is not in the settings, before the group has told.
    learned_addresses: RefCell<BTreeMap<String, String>>,
    clients: RefCell<HashMap<String, Rc<VoterClient>>>,
    /// Messages that wait, for each voter that a task is carrying them to.
    outgoing: RefCell<HashMap<VoterId, VecDeque<Vec<u8>>>>,
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
        store: Store, endpoint: VoterEndpoint, group: &str, timeouts: Timeouts, clock: Clock,
        configured_voters: &[VoterEndpoint], log: impl Fn(String) + 'static,
    ) -> Result<Rc<Self>, VoterError> {
        let Store { disk, saved, applied } = store;
        let incarnation = saved.me.incarnation;
        let now = millis(&clock);
        let node = raft::Node::start(saved, timeouts.timing(), rand::random(), now);
        let next_due = node.next_due();
        let core = Core {
            node,
            writer: None,
            writer_generation: 0,
            snapshot_index: applied.index,
            applied,
            last_token: 0,
            waiters: HashMap::new(),
            proposals: HashMap::new(),
        };
        let voter = Rc::new(Self {
            incarnation,
            endpoint,
            group: group.into(),
            timeouts,
            clock,
            log: Box::new(log),
            core: RefCell::new(core),
            next_due: Cell::new(next_due),
            due_moved_earlier: Notify::new(),
            applied_changes: watch::Sender::new(0),
            leadership: watch::Sender::default(),
            configured_addresses: configured_voters
                .iter()
                .map(|voter| (voter.name.clone(), voter.address.clone()))
                .collect(),
            learned_addresses: RefCell::default(),
            clients: RefCell::default(),
            outgoing: RefCell::default(),
            deadlines: RefCell::new(SessionDeadlines::new(timeouts.session_ttl)),
            absences: RefCell::default(),
            notes: RefCell::default(),
        });
        voter.attach_disk(disk)?;
        tokio::task::spawn_local(voter.clone().run_timer());
        tokio::task::spawn_local(voter.clone().expire_sessions());
        Ok(voter)
    }

    /// Its number.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The term in which this voter leads, if it does.
    fn leader_term(&self) -> Option<u64> {
        self.leadership.borrow().leader_term
    }

    /// What this voter knows, without asking the others.
    pub fn view(&self) -> View {
        let core = self.core.borrow();
        let halted = core.writer.is_none();
        let leader = core.node.leader().filter(|_| !halted).map(|leader| voter_name(leader).to_owned());
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
        let (mut logged, mut formed_at) = (false, None);
        while self.is_new() && !self.is_halted() {
            let mut candidates = vec![(self.incarnation, self.endpoint.clone())];
            let mut formed_by = None;
            for endpoint in voters.iter().filter(|endpoint| endpoint.name != self.endpoint.name) {
                let Some(client) = self.client_for(&endpoint.name) else { continue };
                match client.call::<_, VoterInfo>(CallKind::Info, 0, &(), self.timeouts.election.0).await {
                    Ok(info) if info.is_new => candidates.push((info.incarnation, endpoint.clone())),
                    Ok(info) => formed_by = Some(info.name),
                    Err(_) => {}
                }
            }
            let is_first = voters.first().is_some_and(|first| first.name == self.endpoint.name);
            if let Some(member) = formed_by {
                // The group lives; this voter's part of it was lost, or it never was a voter. Or the group has just been
                // formed with it: then it hears of that from the first leader, well within a life.
                let since = *formed_at.get_or_insert_with(|| self.clock.now());
                let waited_long = self.clock.now().saturating_sub(since) >= self.timeouts.session_ttl;
                if waited_long && !std::mem::replace(&mut logged, true) {
                    (self.log)(format!(
                        "group {}: {} has no vote: {member} is in the group already. GROUP ADD {} {} takes it in",
                        self.group, self.endpoint.name, self.endpoint.name, self.endpoint.address
                    ));
                }
            } else if is_first && candidates.len() == voters.len() && self.is_new() {
                if let Err(error) = self.form_group(&candidates) {
                    self.halt(&error);
                }
                return;
            }
            sleep(self.timeouts.election.0).await;
        }
    }

    /// Begins the group's log: its first entry is who the voters are. They hear of it from their first leader.
    fn form_group(self: &Rc<Self>, candidates: &[(Incarnation, VoterEndpoint)]) -> Result<(), VoterError> {
        let disk = {
            let mut core = self.core.borrow_mut();
            let voters =
                candidates.iter().map(|(id, endpoint)| voter_id(&self.group, &endpoint.name, *id)).collect();
            let mut applied = Applied { voters, index: 1, term: 1, ..Applied::default() };
            let addresses =
                candidates.iter().map(|(_, endpoint)| (endpoint.name.clone(), endpoint.address.clone()));
            applied.state.voter_addresses = addresses.collect();
            let snapshot = applied.to_snapshot().ok_or(VoterError::State)?;
            let disk = core.writer.take().and_then(Writer::stop).ok_or(VoterError::State)?;
            let term = core.node.term().max(1);
            let created = disk.create_from_snapshot(core.node.me().clone(), term, snapshot);
            let saved = created.map_err(|error| VoterError::Store(error.into()))?;
            // Nobody can lead a group that did not exist, so nobody is bound to one: it may stand as if it had waited.
            let timing = self.timeouts.timing();
            let last_contact = millis(&self.clock).saturating_sub(timing.election);
            core.node = raft::Node::start(saved, timing, rand::random(), last_contact);
            core.snapshot_index = applied.index;
            core.applied = applied;
            disk
        };
        self.attach_disk(disk)?;
        self.handle_input(Input::Tick);
        self.applied_changes.send_modify(|changes| *changes += 1);
        Ok(())
    }

    async fn wait_for_view(&self, request: WatchRequest) -> View {
        let mut changes = self.applied_changes.subscribe();
        let newer_view = async {
            while self.core.borrow().applied.state.revision <= request.known_revision {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(Duration::from_millis(request.wait_ms).min(MAX_WATCH_WAIT), newer_view).await;
        self.view()
    }
}

impl CallHandler for Voter {
    fn group(&self) -> &str {
        &self.group
    }

    fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn handle(self: Rc<Self>, kind: CallKind, body: Bytes) -> ResponseFuture {
        Box::pin(async move {
            match kind {
                CallKind::Raft => {
                    self.receive_raft_messages(decode(&body)?)?;
                    encode(&())
                }
                CallKind::Request => {
                    let RequestEnvelope(request, forwarded) = decode(&body)?;
                    encode(&self.handle_request(request, forwarded).await)
                }
                CallKind::Watch => encode(&self.wait_for_view(decode(&body)?).await),
                CallKind::Info => {
                    if self.is_halted() {
                        return Err(StatusCode::SERVICE_UNAVAILABLE);
                    }
                    encode(&VoterInfo {
                        incarnation: self.incarnation,
                        name: self.endpoint.name.clone(),
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
    client.call(CallKind::Request, 0, &RequestEnvelope(request, false), time_limit).await
}
