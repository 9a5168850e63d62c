//! A voter: runs Raft on the log of [`crate::state_machine`], tracks session expiry while it leads ([`crate::lease`]),
//! and answers members. A follower forwards requests to the leader.
//!
//! An incarnation identifies one lifetime of a voter's state: a voter that lost its disk gets a new incarnation. A note
//! is a message to the holder of a duty that only the leader keeps, for a limited time.

mod driver;
mod leader;
mod messages;
mod raft_transport;

use crate::clock::{Clock, Moment};
use crate::lease::SessionDeadlines;
use crate::state_machine::SessionId;
use crate::store::{AppliedState, Incarnation, Store, voter_id, voter_name};
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

/// Maximum time that a long poll for a newer view waits.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);

/// A voter of the group.
pub struct Voter {
    incarnation: Incarnation,
    endpoint: VoterEndpoint,
    group: Rc<str>,
    timeouts: Timeouts,
    clock: Clock,
    log: Box<dyn Fn(String)>,
    core: RefCell<Core>,
    /// The time of the next Raft timer, and a signal that this time has moved earlier.
    next_due: Cell<Millis>,
    due_moved_earlier: Notify,
    /// Number of times that committed entries were applied; a change wakes the tasks that wait for a newer state.
    applied_changes: watch::Sender<u64>,
    leadership: watch::Sender<Leadership>,
    /// Addresses of voters from the settings of this process. They take precedence over the replicated addresses,
    /// because the address of a voter may differ between processes.
    configured_addresses: BTreeMap<String, String>,
    /// Addresses learned from incoming messages. Used for voters that are not in the settings, until the group has
    /// replicated their addresses.
    learned_addresses: RefCell<BTreeMap<String, String>>,
    clients: RefCell<HashMap<String, Rc<VoterClient>>>,
    /// Queued Raft messages per voter. An entry exists while a task delivers messages to that voter.
    outgoing: RefCell<HashMap<VoterId, VecDeque<Vec<u8>>>>,
    session_deadlines: RefCell<SessionDeadlines>,
    /// When this voter, while it leads, first saw each planned absence; used to expire absences.
    absence_first_seen: RefCell<BTreeMap<String, Moment>>,
    /// Notes by duty. Kept only while this voter leads.
    notes: RefCell<BTreeMap<String, VecDeque<Vec<u8>>>>,
}

impl Voter {
    /// Starts a voter from its store. `configured_voters` are the voter addresses from the settings of this process,
    /// and `log` receives log messages. Must be called on the thread and in the local task set that the voter runs on.
    ///
    /// # Errors
    /// If the voter cannot resume from the stored state.
    pub fn start(
        store: Store, endpoint: VoterEndpoint, group: &str, timeouts: Timeouts, clock: Clock,
        configured_voters: &[VoterEndpoint], log: impl Fn(String) + 'static,
    ) -> Result<Rc<Self>, VoterError> {
        let Store { disk, saved, applied } = store;
        let incarnation = saved.me.incarnation;
        let now = millis(&clock);
        let node = raft::Node::start(saved, timeouts.raft_timing(), rand::random(), now);
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
            session_deadlines: RefCell::new(SessionDeadlines::new(timeouts.session_ttl)),
            absence_first_seen: RefCell::default(),
            notes: RefCell::default(),
        });
        voter.attach_disk(disk)?;
        tokio::task::spawn_local(voter.clone().run_timer());
        tokio::task::spawn_local(voter.clone().expire_sessions());
        Ok(voter)
    }

    /// Returns the incarnation of this voter.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the term in which this voter leads, or `None` if it does not lead.
    fn leader_term(&self) -> Option<u64> {
        self.leadership.borrow().leader_term
    }

    /// Returns the local view of this voter without contacting the other voters.
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

    /// Returns whether this voter does not belong to a group yet.
    fn is_new(&self) -> bool {
        self.core.borrow().node.members().is_empty()
    }

    /// Forms the group if this voter is the first in `voters` and no reachable voter belongs to a group yet. Otherwise
    /// waits to be added, and logs once what it is waiting for.
    pub async fn join(self: Rc<Self>, voters: &[VoterEndpoint]) {
        let (mut logged, mut group_seen_at) = (false, None);
        while self.is_new() && !self.is_halted() {
            let mut candidates = vec![(self.incarnation, self.endpoint.clone())];
            let mut existing_member = None;
            for endpoint in voters.iter().filter(|endpoint| endpoint.name != self.endpoint.name) {
                let Some(client) = self.client_for(&endpoint.name) else { continue };
                match client.call::<_, VoterInfo>(CallKind::Info, 0, &(), self.timeouts.election.0).await {
                    Ok(info) if info.is_new => candidates.push((info.incarnation, endpoint.clone())),
                    Ok(info) => existing_member = Some(info.name),
                    Err(_) => {}
                }
            }
            let is_first = voters.first().is_some_and(|first| first.name == self.endpoint.name);
            if let Some(member) = existing_member {
                // The group exists, and this voter lost its state or was never a voter. The group may also have just
                // been formed with this voter: then the first leader contacts it well within one session TTL.
                let seen_at = *group_seen_at.get_or_insert_with(|| self.clock.now());
                let waited_long = self.clock.now().saturating_sub(seen_at) >= self.timeouts.session_ttl;
                if waited_long && !std::mem::replace(&mut logged, true) {
                    (self.log)(format!(
                        "group {}: {} has no vote: {member} is already in the group; use GROUP ADD {} {} to join",
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

    /// Creates the log of the group, starting from a snapshot that lists the voters. The other voters receive the
    /// snapshot from their first leader.
    fn form_group(self: &Rc<Self>, candidates: &[(Incarnation, VoterEndpoint)]) -> Result<(), VoterError> {
        let disk = {
            let mut core = self.core.borrow_mut();
            let voters =
                candidates.iter().map(|(id, endpoint)| voter_id(&self.group, &endpoint.name, *id)).collect();
            let mut applied = AppliedState { voters, index: 1, term: 1, ..AppliedState::default() };
            let addresses =
                candidates.iter().map(|(_, endpoint)| (endpoint.name.clone(), endpoint.address.clone()));
            applied.state.voter_addresses = addresses.collect();
            let snapshot = applied.to_snapshot().ok_or(VoterError::State)?;
            let disk = core.writer.take().and_then(Writer::stop).ok_or(VoterError::State)?;
            let term = core.node.term().max(1);
            let created = disk.create_from_snapshot(core.node.me().clone(), term, snapshot);
            let saved = created.map_err(|error| VoterError::Store(error.into()))?;
            // No vote can bind this voter before the group exists, so start as if the election timeout had already
            // elapsed.
            let timing = self.timeouts.raft_timing();
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

/// Returns the current time in Raft's unit.
fn millis(clock: &Clock) -> Millis {
    clock.now().as_millis() as Millis
}

/// Sends a member's request to a voter.
///
/// # Errors
/// If the voter does not return a usable response in time.
pub async fn send_request(
    client: &VoterClient, request: GroupRequest, time_limit: Duration,
) -> Result<GroupResponse, CallError> {
    client.call(CallKind::Request, 0, &RequestEnvelope(request, false), time_limit).await
}
