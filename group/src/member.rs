//! A member of the group. It keeps a session alive through any voter that responds, opens a new session when the old
//! one ends, follows the view of the group, and holds duties for this process.
//!
//! A duty is a named role that at most one session holds at a time. Each grant of a duty has a fence, a fencing token
//! that rises with every grant. A guard is the local permission to perform a held duty, see [`crate::lease`].
//!
//! Invariants:
//! - A guard is created only for a duty whose fence the group granted to the current session, and never again for a
//!   fence that was released.
//! - When the group reports that a session has ended, its guards become invalid.
//! - Callers never wait indefinitely for the group: a request gets its response within a third of the session TTL,
//!   except for a change of the voters.

use crate::clock::{Clock, Moment};
use crate::lease::{Guard, Lease, SeenFences};
use crate::state_machine::{Command, Reply, Session, SessionId};
use crate::voter::{GroupRequest, GroupResponse, View, VoterEndpoint, WatchRequest, send_request};
use crate::wire::{CallError, CallKind, VoterClient};
use rand::RngExt as _;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time limit for a change of the voters. A new voter first receives the complete log.
pub const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of times that the delay between attempts to open a session doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// A duty that this process is willing to hold. Among the candidates, the one with the lowest rank claims first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateDuty {
    /// The name of the duty.
    pub duty: String,
    /// The rank; 0 claims without a rank delay.
    pub rank: u32,
}

/// The settings of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The session information of this process.
    pub session: Session,
    /// The duties that this process claims when they are free.
    pub candidate_duties: Vec<CandidateDuty>,
    /// The voters that receive requests; the voter of this process comes first, if there is one.
    pub voters: Vec<VoterEndpoint>,
    /// The time-to-live of a session.
    pub session_ttl: Duration,
}

/// The currently held duties, shared between the threads of the process.
#[derive(Clone, Debug, Default)]
pub struct HeldDuties(Arc<Mutex<BTreeMap<String, Guard>>>);

impl HeldDuties {
    /// Returns the guard of a duty if the duty is held.
    pub fn guard(&self, duty: &str) -> Option<Guard> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(duty).cloned()
    }

    /// Returns the guards of all held duties.
    pub fn all(&self) -> Vec<Guard> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    fn update<T>(&self, update: impl FnOnce(&mut BTreeMap<String, Guard>) -> T) -> T {
        update(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A request of this process to the group.
#[derive(Debug)]
pub enum MemberRequest {
    /// Releases a duty to the named process, or to any candidate if no name is given.
    ReleaseDuty(String, Option<String>),
    /// Writes a record under a held duty: duty, key, value.
    WriteRecord(String, String, Vec<u8>),
    /// Sends a note to the holder of a duty. The note may be lost.
    SendNote(String, Vec<u8>),
    /// Collects the notes sent to the holder of a duty that this process holds.
    CollectNotes(String),
    /// Requests a planned absence, limited to this number of absent processes.
    RequestAbsence(u32),
    /// With `true`, claims free duties. With `false` (the process is draining or starved), releases all duties and
    /// claims none.
    SetEligible(bool),
    /// Adds or removes a voter.
    ChangeVoters(GroupRequest),
    /// Stops the member: releases all duties and closes the session.
    Close,
}

/// A request and the channel for its response.
pub type PendingRequest = (MemberRequest, oneshot::Sender<GroupResponse>);

/// The status of the member, also used for metrics.
#[derive(Clone, Debug, Default)]
pub struct MemberStatus {
    /// The latest view of the group.
    pub view: View,
    /// The current session, if one is open.
    pub session: Option<SessionId>,
    /// When the group last confirmed the session, on the local clock.
    pub last_renewal: Option<Moment>,
}

/// Takes part in the group for this process.
pub struct Member {
    settings: MemberSettings,
    clock: Clock,
    held_duties: HeldDuties,
    clients: Vec<VoterClient>,
    /// Index of the client to use for the next request; advances after a failure.
    preferred_voter: Cell<usize>,
    status: watch::Sender<MemberStatus>,
    /// Whether this process claims free duties.
    eligible: Cell<bool>,
    closed: Cell<bool>,
    lease: RefCell<Arc<Lease>>,
    /// The highest fence seen for each duty.
    seen_fences: RefCell<SeenFences>,
    /// The highest fence of each duty that this process no longer holds; no guard is created for it again.
    ended_fences: RefCell<BTreeMap<String, u64>>,
    /// Duties that this process is about to claim.
    pending_claims: RefCell<BTreeSet<String>>,
    /// Number of consecutive failures to open a session.
    failed_opens: Cell<u32>,
    renew_now: Notify,
    /// Signals that a session was opened. The view known so far may come from a group that has lost its state.
    session_opened: Notify,
}

impl Member {
    /// Creates a member that is not running yet.
    pub fn new(
        settings: MemberSettings, group: &str, clock: Clock, held_duties: HeldDuties,
    ) -> (Rc<Self>, watch::Receiver<MemberStatus>) {
        let (status, status_receiver) = watch::channel(MemberStatus::default());
        let client = |endpoint: &VoterEndpoint| {
            Some(VoterClient::new(endpoint.address.parse::<SocketAddr>().ok()?, group.into()))
        };
        let clients = settings.voters.iter().filter_map(client).collect();
        let member = Self {
            settings,
            clock,
            held_duties,
            clients,
            preferred_voter: Cell::new(0),
            status,
            eligible: Cell::new(true),
            closed: Cell::new(false),
            lease: RefCell::default(),
            seen_fences: RefCell::default(),
            ended_fences: RefCell::default(),
            pending_claims: RefCell::default(),
            failed_opens: Cell::new(0),
            renew_now: Notify::new(),
            session_opened: Notify::new(),
        };
        (Rc::new(member), status_receiver)
    }

    /// Runs the member until it receives [`MemberRequest::Close`].
    pub async fn run(self: Rc<Self>, mut requests: mpsc::Receiver<PendingRequest>) {
        tokio::task::spawn_local(self.clone().watch_views());
        let session_loop = self.clone();
        tokio::task::spawn_local(async move {
            while !session_loop.closed.get() {
                session_loop.clone().run_session().await;
            }
        });
        while let Some((request, responder)) = requests.recv().await {
            let is_close = matches!(request, MemberRequest::Close);
            let member = self.clone();
            let response_task = async move {
                let _ = responder.send(member.handle_request(request).await);
            };
            if is_close {
                return response_task.await;
            }
            tokio::task::spawn_local(response_task);
        }
    }

    fn session_id(&self) -> Option<SessionId> {
        self.status.borrow().session
    }

    /// Returns a random fraction of the session TTL, so that many members do not send requests at the same time.
    fn random_ttl_fraction(&self, min: f64, max: f64) -> Duration {
        self.settings.session_ttl.mul_f64(rand::rng().random_range(min..max))
    }

    /// Sends a request to the preferred voter. After a failure, the next request goes to the next voter.
    async fn call_voter(&self, request: GroupRequest, time_limit: Duration) -> Option<GroupResponse> {
        let index = self.preferred_voter.get() % self.clients.len().max(1);
        let client = self.clients.get(index)?;
        let response = send_request(client, request, time_limit).await;
        match response {
            Ok(GroupResponse::Unavailable) | Err(_) => {
                self.preferred_voter.set(index + 1);
                None
            }
            Ok(response) => Some(response),
        }
    }

    /// Runs one session from its opening until the group reports its end.
    async fn run_session(self: Rc<Self>) {
        let id = rand::random::<u64>() >> 11;
        let (requested_at, seen_fences) = (self.clock.now(), self.seen_fences.borrow().highest_fences());
        let open = Command::OpenSession { session: id, info: self.settings.session.clone(), seen_fences };
        let response = self.call_voter(GroupRequest::Propose(open), self.settings.session_ttl / 4).await;
        if response != Some(GroupResponse::Reply(Reply::Done)) {
            // After an outage of the voters all members try to open a session at once, so back off exponentially.
            let doublings = self.failed_opens.replace(self.failed_opens.get() + 1).min(MAX_BACKOFF_DOUBLINGS);
            return sleep(self.random_ttl_fraction(0.02, 0.2) * (1 << doublings)).await;
        }
        self.failed_opens.set(0);
        let lease = Arc::new(Lease::default());
        lease.grant(requested_at, self.settings.session_ttl);
        *self.lease.borrow_mut() = lease.clone();
        self.status.send_modify(|status| {
            (status.session, status.last_renewal) = (Some(id), Some(self.clock.now()));
            status.view.revision = 0;
        });
        self.session_opened.notify_one();
        let mut next_renewal = Instant::now() + self.random_ttl_fraction(0.25, 0.33);
        while !self.closed.get() {
            tokio::select! {
                () = sleep_until(next_renewal) => {}
                () = self.renew_now.notified() => {}
            }
            let requested_at = self.clock.now();
            match self.call_voter(GroupRequest::RenewSession(id), self.settings.session_ttl / 6).await {
                Some(GroupResponse::Renewed) => {
                    lease.grant(requested_at, self.settings.session_ttl);
                    self.status.send_modify(|status| status.last_renewal = Some(self.clock.now()));
                    next_renewal = Instant::now() + self.random_ttl_fraction(0.25, 0.33);
                }
                Some(GroupResponse::SessionEnded) => break,
                _ => next_renewal = Instant::now() + self.random_ttl_fraction(0.02, 0.08),
            }
        }
        lease.end();
        self.status.send_modify(|status| status.session = None);
        let lost_guards = self.held_duties.update(std::mem::take);
        lost_guards.into_values().for_each(|guard| self.retire(&guard));
    }

    fn retire(&self, guard: &Guard) {
        guard.release();
        let mut ended_fences = self.ended_fences.borrow_mut();
        let highest = ended_fences.entry(guard.duty.clone()).or_default();
        *highest = (*highest).max(guard.fence());
    }

    /// Follows the view of the group by long polling, and moves on to the next voter after a failure.
    async fn watch_views(self: Rc<Self>) {
        let mut index = 0;
        while !self.closed.get() {
            let Some(client) = self.clients.get(index % self.clients.len().max(1)) else { return };
            let wait = self.settings.session_ttl * 2;
            let known_revision = self.status.borrow().view.revision;
            let watch_request = WatchRequest { known_revision, wait_ms: wait.as_millis() as u64 };
            let time_limit = wait + self.settings.session_ttl / 2;
            let watched: Result<View, CallError> = tokio::select! {
                watched = client.call(CallKind::Watch, 0, &watch_request, time_limit) => watched,
                () = self.session_opened.notified() => continue,
            };
            match watched {
                Ok(view) => {
                    // A lagging voter has no newer view, and a voter without a leader may not get one: try the next
                    // voter.
                    if view.leader.is_none() || view.revision < known_revision {
                        index += 1;
                        sleep(self.random_ttl_fraction(0.02, 0.1)).await;
                    }
                    if view.revision >= known_revision {
                        self.status.send_modify(|status| status.view = view);
                        self.apply_view();
                    }
                }
                Err(_) => {
                    index += 1;
                    sleep(self.random_ttl_fraction(0.02, 0.1)).await;
                }
            }
        }
    }

    /// Applies the current view: holds duties granted to this session and claims free candidate duties.
    fn apply_view(self: &Rc<Self>) {
        let (duties, session) = {
            let status = self.status.borrow();
            (status.view.duties.clone(), status.session)
        };
        let Some(session) = session else { return };
        for (duty, (fence, holder)) in &duties {
            self.seen_fences.borrow_mut().accept(duty, *fence);
            if holder.as_ref().is_some_and(|(holder, _)| *holder == session) {
                self.record_grant(duty, *fence);
            }
        }
        for candidate in &self.settings.candidate_duties {
            let is_free = duties.get(&candidate.duty).is_none_or(|(_, holder)| holder.is_none());
            if is_free
                && self.eligible.get()
                && self.pending_claims.borrow_mut().insert(candidate.duty.clone())
            {
                tokio::task::spawn_local(self.clone().claim_duty(candidate.clone()));
            }
        }
    }

    /// Creates a guard for a duty that the group granted to the current session under this fence.
    fn record_grant(&self, duty: &str, fence: u64) {
        if self.ended_fences.borrow().get(duty).is_some_and(|ended| fence <= *ended) {
            return;
        }
        let guard = || Guard::new(duty.to_owned(), fence, self.lease.borrow().clone(), self.clock.clone());
        let replaced = self.held_duties.update(|held| match held.get(duty) {
            Some(known) if known.fence() >= fence => None,
            _ => held.insert(duty.to_owned(), guard()),
        });
        // The same session now holds the duty under a higher fence, so the lower fence is obsolete.
        replaced.iter().for_each(Guard::release);
    }

    /// Claims a free duty after a delay that depends on the rank and a random part. Stops when another session gets
    /// the duty.
    async fn claim_duty(self: Rc<Self>, candidate: CandidateDuty) {
        let delay_step = self.settings.session_ttl / 12;
        sleep(delay_step * candidate.rank + delay_step.mul_f64(rand::random::<f64>())).await;
        let if_free = |member: &Self| {
            let status = member.status.borrow();
            let duty = status.view.duties.get(&candidate.duty);
            status.session.filter(|_| duty.is_none_or(|(_, holder)| holder.is_none()))
        };
        while let Some(session) = if_free(&self).filter(|_| self.eligible.get() && !self.closed.get()) {
            let claim = Command::ClaimDuty { session, duty: candidate.duty.clone() };
            match self.call_voter(GroupRequest::Propose(claim), self.settings.session_ttl / 4).await {
                Some(GroupResponse::Reply(Reply::Held(fence))) => {
                    // The session may have ended since the claim; then the grant belongs to a past session.
                    if self.session_id() == Some(session) {
                        self.seen_fences.borrow_mut().accept(&candidate.duty, fence);
                        self.record_grant(&candidate.duty, fence);
                    }
                    break;
                }
                Some(GroupResponse::Reply(Reply::NotHeld { .. } | Reply::LimitExceeded)) => break,
                Some(GroupResponse::Reply(Reply::NoSession)) => {
                    self.renew_now.notify_one();
                    break;
                }
                _ => sleep(self.random_ttl_fraction(0.02, 0.1)).await,
            }
        }
        self.pending_claims.borrow_mut().remove(&candidate.duty);
    }

    /// Proposes a command until the group answers or the session ends. The end of a session also releases everything
    /// that the session holds.
    async fn propose_until_answered(self: Rc<Self>, session: SessionId, command: Command) -> GroupResponse {
        while self.session_id() == Some(session) {
            match self.call_voter(GroupRequest::Propose(command.clone()), self.settings.session_ttl / 4).await
            {
                Some(response) => return response,
                None => sleep(self.random_ttl_fraction(0.02, 0.1)).await,
            }
        }
        GroupResponse::SessionEnded
    }

    async fn handle_request(self: &Rc<Self>, request: MemberRequest) -> GroupResponse {
        let time_limit = self.settings.session_ttl / 3;
        let or_unavailable = |response: Option<GroupResponse>| response.unwrap_or(GroupResponse::Unavailable);
        match request {
            MemberRequest::ReleaseDuty(duty, to) => {
                let Some(guard) = self.held_duties.update(|held| held.remove(&duty)) else {
                    return GroupResponse::Refused(format!("{duty} is not held here"));
                };
                // From here on this process performs no action under the fence, whether or not the group receives the
                // release.
                self.retire(&guard);
                let Some(session) = self.session_id() else { return GroupResponse::SessionEnded };
                let release = Command::ReleaseDuty { session, duty, fence: guard.fence(), to };
                // No other session can get the duty before the group applies the release, so retry until the group
                // answers.
                let release_task =
                    tokio::task::spawn_local(self.clone().propose_until_answered(session, release));
                timeout(time_limit, release_task)
                    .await
                    .ok()
                    .and_then(Result::ok)
                    .unwrap_or(GroupResponse::Unavailable)
            }
            MemberRequest::WriteRecord(duty, key, value) => {
                let guard = self.held_duties.guard(&duty);
                let Some((fence, session)) = guard.and_then(|g| g.valid_fence()).zip(self.session_id())
                else {
                    return GroupResponse::Refused(format!("{duty} is not held here"));
                };
                or_unavailable(
                    self.call_voter(
                        GroupRequest::Propose(Command::WriteRecord { session, duty, fence, key, value }),
                        time_limit,
                    )
                    .await,
                )
            }
            MemberRequest::SendNote(duty, note) => match self.session_id() {
                Some(session) => or_unavailable(
                    self.call_voter(GroupRequest::SendNote { session, duty, note }, time_limit).await,
                ),
                None => GroupResponse::Unavailable,
            },
            MemberRequest::CollectNotes(duty) => {
                let guard = self.held_duties.guard(&duty);
                let Some((fence, session)) = guard.and_then(|g| g.valid_fence()).zip(self.session_id())
                else {
                    return GroupResponse::Refused(format!("{duty} is not held here"));
                };
                or_unavailable(
                    self.call_voter(GroupRequest::CollectNotes { session, duty, fence }, time_limit).await,
                )
            }
            MemberRequest::RequestAbsence(max_absent) => match self.session_id() {
                Some(session) => or_unavailable(
                    self.call_voter(
                        GroupRequest::Propose(Command::RequestAbsence { session, max_absent }),
                        time_limit,
                    )
                    .await,
                ),
                None => GroupResponse::Unavailable,
            },
            MemberRequest::SetEligible(eligible) => {
                self.eligible.set(eligible);
                if !eligible {
                    for guard in self.held_duties.all() {
                        Box::pin(self.handle_request(MemberRequest::ReleaseDuty(guard.duty, None))).await;
                    }
                }
                self.apply_view();
                GroupResponse::Done
            }
            MemberRequest::ChangeVoters(change) => {
                let mut response = None;
                // The request is idempotent, and the preferred voter may be the one that is not a member yet: try
                // every voter.
                for _ in 0..=self.clients.len() {
                    response = self.call_voter(change.clone(), MEMBERSHIP_CHANGE_TIMEOUT).await;
                    if response.is_some() {
                        break;
                    }
                }
                or_unavailable(response)
            }
            MemberRequest::Close => {
                self.closed.set(true);
                let held = self.held_duties.update(std::mem::take);
                held.into_values().for_each(|guard| self.retire(&guard));
                let Some(session) = self.session_id() else { return GroupResponse::Done };
                self.lease.borrow().end();
                self.renew_now.notify_one();
                or_unavailable(
                    self.call_voter(GroupRequest::Propose(Command::CloseSession { session }), time_limit)
                        .await,
                )
            }
        }
    }
}
