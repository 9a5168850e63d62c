//! A member: one session after another, kept alive through whichever voter answers, the view of the group, and the
//! duties that this process holds.
//!
//! Invariants: a guard is made only for a duty whose fence the group granted to the present session, and never again
//! for one that was given away; a session that the group says is gone takes its guards with it; nothing here waits
//! for the group on anybody else's behalf: whoever asks gets an answer within a third of a session's life.

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

/// A change of the voters may take so long: a new one gets the whole log first.
pub const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// How often the pause between two tries to open a session doubles at most.
const MOST_DOUBLINGS: u32 = 2;

/// One duty that a process would do, and how gladly: of those that can, the lower rank comes first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateDuty {
    /// The duty.
    pub duty: String,
    /// 0: at once.
    pub rank: u32,
}

/// Who a member is and what it wants.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The session as it is opened.
    pub session: Session,
    /// The duties it would do.
    pub candidate_duties: Vec<CandidateDuty>,
    /// The voters to ask, its own first if it is one.
    pub voters: Vec<VoterEndpoint>,
    /// The life of a session.
    pub session_ttl: Duration,
}

/// The duties held now; read by any thread of the process.
#[derive(Clone, Debug, Default)]
pub struct HeldDuties(Arc<Mutex<BTreeMap<String, Guard>>>);

impl HeldDuties {
    /// The guard of a duty that is held.
    pub fn guard(&self, duty: &str) -> Option<Guard> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(duty).cloned()
    }

    /// All guards.
    pub fn all(&self) -> Vec<Guard> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    fn change<T>(&self, how: impl FnOnce(&mut BTreeMap<String, Guard>) -> T) -> T {
        how(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// What this process asks of the group.
#[derive(Debug)]
pub enum MemberRequest {
    /// Gives a duty to a process by name, or to whoever takes it.
    ReleaseDuty(String, Option<String>),
    /// Writes a record under a duty that is held: duty, key, value.
    WriteRecord(String, String, Vec<u8>),
    /// Tells whoever has a duty; it may be lost.
    SendNote(String, Vec<u8>),
    /// Fetches what was told to the holder of a duty that is held here.
    CollectNotes(String),
    /// Wants to be away, with at most so many others.
    RequestAbsence(u32),
    /// Takes duties, or (draining, starved) gives up those it has and takes none.
    SetEligible(bool),
    /// A voter is taken in, or let go.
    ChangeVoters(GroupRequest),
    /// The process ends: duties are given up and the session is closed.
    Close,
}

/// An order, and who waits for its answer.
pub type PendingRequest = (MemberRequest, oneshot::Sender<GroupResponse>);

/// How the member stands, for figures.
#[derive(Clone, Debug, Default)]
pub struct MemberStatus {
    /// The newest view of the group.
    pub view: View,
    /// The session, if the group knows one.
    pub session: Option<SessionId>,
    /// When the group last said that the session goes on, by the machine's clock.
    pub last_renewal: Option<Moment>,
}

/// A member.
pub struct Member {
    me: MemberSettings,
    clock: Clock,
    held: HeldDuties,
    ways: Vec<VoterClient>,
    /// The voter that answered last.
    at: Cell<usize>,
    standing: watch::Sender<MemberStatus>,
    able: Cell<bool>,
    closed: Cell<bool>,
    lease: RefCell<Arc<Lease>>,
    /// Fences seen of each duty, and the highest one of this process's own that is over.
    fences: RefCell<SeenFences>,
    over: RefCell<BTreeMap<String, u64>>,
    claiming: RefCell<BTreeSet<String>>,
    /// Sessions in a row that could not be opened.
    vain: Cell<u32>,
    gone: Notify,
    /// A session has begun: what was known before may be another group's, which lost its state.
    begun: Notify,
}

impl Member {
    /// A member that has not begun.
    pub fn new(
        me: MemberSettings, group: &str, clock: Clock, held: HeldDuties,
    ) -> (Rc<Self>, watch::Receiver<MemberStatus>) {
        let (standing, seen) = watch::channel(MemberStatus::default());
        let way = |node: &VoterEndpoint| {
            Some(VoterClient::new(node.address.parse::<SocketAddr>().ok()?, group.into()))
        };
        let ways = me.voters.iter().filter_map(way).collect();
        let member = Self {
            me,
            clock,
            held,
            ways,
            at: Cell::new(0),
            standing,
            able: Cell::new(true),
            closed: Cell::new(false),
            lease: RefCell::default(),
            fences: RefCell::default(),
            over: RefCell::default(),
            claiming: RefCell::default(),
            vain: Cell::new(0),
            gone: Notify::new(),
            begun: Notify::new(),
        };
        (Rc::new(member), seen)
    }

    /// Lives in the group until it is told to close.
    pub async fn run(self: Rc<Self>, mut orders: mpsc::Receiver<PendingRequest>) {
        tokio::task::spawn_local(self.clone().watch());
        let sessions = self.clone();
        tokio::task::spawn_local(async move {
            while !sessions.closed.get() {
                sessions.clone().session().await;
            }
        });
        while let Some((order, asker)) = orders.recv().await {
            let closes = matches!(order, MemberRequest::Close);
            let member = self.clone();
            let carried = async move {
                let _ = asker.send(member.carry_out(order).await);
            };
            if closes {
                return carried.await;
            }
            tokio::task::spawn_local(carried);
        }
    }

    fn session_id(&self) -> Option<SessionId> {
        self.standing.borrow().session
    }

    /// A part of a session's life, drawn so that many members do not come at one moment.
    fn drawn(&self, least: f64, most: f64) -> Duration {
        self.me.session_ttl.mul_f64(rand::rng().random_range(least..most))
    }

    /// Asks the voter that answered last; one that does not answer is passed over for the next.
    async fn ask(&self, question: GroupRequest, within: Duration) -> Option<GroupResponse> {
        let at = self.at.get() % self.ways.len().max(1);
        let way = self.ways.get(at)?;
        let answer = send_request(way, question, within).await;
        match answer {
            Ok(GroupResponse::Unavailable) | Err(_) => {
                self.at.set(at + 1);
                None
            }
            Ok(answer) => Some(answer),
        }
    }

    /// One session, from its opening until the group says that it is gone.
    async fn session(self: Rc<Self>) {
        let id = rand::random::<u64>() >> 11;
        let (asked, seen_fences) = (self.clock.now(), self.fences.borrow().highest_fences());
        let open = Command::OpenSession { session: id, info: self.me.session.clone(), seen_fences };
        let opened = self.ask(GroupRequest::Propose(open), self.me.session_ttl / 4).await;
        if opened != Some(GroupResponse::Reply(Reply::Done)) {
            // After the voters were away, all members are here at once: each waits longer with each time.
            let times = self.vain.replace(self.vain.get() + 1).min(MOST_DOUBLINGS);
            return sleep(self.drawn(0.02, 0.2) * (1 << times)).await;
        }
        self.vain.set(0);
        let lease = Arc::new(Lease::default());
        lease.grant(asked, self.me.session_ttl);
        *self.lease.borrow_mut() = lease.clone();
        self.standing.send_modify(|standing| {
            (standing.session, standing.last_renewal) = (Some(id), Some(self.clock.now()));
            standing.view.revision = 0;
        });
        self.begun.notify_one();
        let mut next = Instant::now() + self.drawn(0.25, 0.33);
        while !self.closed.get() {
            tokio::select! {
                () = sleep_until(next) => {}
                () = self.gone.notified() => {}
            }
            let asked = self.clock.now();
            match self.ask(GroupRequest::RenewSession(id), self.me.session_ttl / 6).await {
                Some(GroupResponse::Renewed) => {
                    lease.grant(asked, self.me.session_ttl);
                    self.standing.send_modify(|standing| standing.last_renewal = Some(self.clock.now()));
                    next = Instant::now() + self.drawn(0.25, 0.33);
                }
                Some(GroupResponse::SessionEnded) => break,
                _ => next = Instant::now() + self.drawn(0.02, 0.08),
            }
        }
        lease.end();
        self.standing.send_modify(|standing| standing.session = None);
        let lost = self.held.change(std::mem::take);
        lost.into_values().for_each(|guard| self.is_over(&guard));
    }

    fn is_over(&self, guard: &Guard) {
        guard.release();
        let mut over = self.over.borrow_mut();
        let highest = over.entry(guard.duty.clone()).or_default();
        *highest = (*highest).max(guard.fence());
    }

    /// One long wait for news after the other, at whichever voter answers.
    async fn watch(self: Rc<Self>) {
        let mut at = 0;
        while !self.closed.get() {
            let Some(way) = self.ways.get(at % self.ways.len().max(1)) else { return };
            let wait = self.me.session_ttl * 2;
            let after = self.standing.borrow().view.revision;
            let watching = WatchRequest { known_revision: after, wait_ms: wait.as_millis() as u64 };
            let within = wait + self.me.session_ttl / 2;
            let news: Result<View, CallError> = tokio::select! {
                news = way.call(CallKind::Watch, 0, &watching, within) => news,
                () = self.begun.notified() => continue,
            };
            match news {
                Ok(view) => {
                    // A voter that lags behind tells nothing that is newer; one without a leader is left.
                    if view.leader.is_none() || view.revision < after {
                        at += 1;
                        sleep(self.drawn(0.02, 0.1)).await;
                    }
                    if view.revision >= after {
                        self.standing.send_modify(|standing| standing.view = view);
                        self.take_notice();
                    }
                }
                Err(_) => {
                    at += 1;
                    sleep(self.drawn(0.02, 0.1)).await;
                }
            }
        }
    }

    /// Acts on the view: duties granted to this session are held, free ones are asked for.
    fn take_notice(self: &Rc<Self>) {
        let (duties, session) = {
            let standing = self.standing.borrow();
            (standing.view.duties.clone(), standing.session)
        };
        let Some(session) = session else { return };
        for (duty, (fence, holder)) in &duties {
            self.fences.borrow_mut().accept(duty, *fence);
            if holder.as_ref().is_some_and(|(holder, _)| *holder == session) {
                self.hold(duty, *fence);
            }
        }
        for want in &self.me.candidate_duties {
            let free = duties.get(&want.duty).is_none_or(|(_, holder)| holder.is_none());
            if free && self.able.get() && self.claiming.borrow_mut().insert(want.duty.clone()) {
                tokio::task::spawn_local(self.clone().claim(want.clone()));
            }
        }
    }

    /// The group granted a duty to the present session under this fence.
    fn hold(&self, duty: &str, fence: u64) {
        if self.over.borrow().get(duty).is_some_and(|over| fence <= *over) {
            return;
        }
        let guard = || Guard::new(duty.to_owned(), fence, self.lease.borrow().clone(), self.clock.clone());
        let before = self.held.change(|held| match held.get(duty) {
            Some(known) if known.fence() >= fence => None,
            _ => held.insert(duty.to_owned(), guard()),
        });
        // The same holder under a higher fence: the lower one is for nobody any more.
        before.iter().for_each(Guard::release);
    }

    /// Asks for a duty that is free, after a pause by its rank and by chance, unless it was taken meanwhile.
    async fn claim(self: Rc<Self>, want: CandidateDuty) {
        let step = self.me.session_ttl / 12;
        sleep(step * want.rank + step.mul_f64(rand::random::<f64>())).await;
        let free = |member: &Self| {
            let standing = member.standing.borrow();
            let duty = standing.view.duties.get(&want.duty);
            standing.session.filter(|_| duty.is_none_or(|(_, holder)| holder.is_none()))
        };
        while let Some(session) = free(&self).filter(|_| self.able.get() && !self.closed.get()) {
            let claim = Command::ClaimDuty { session, duty: want.duty.clone() };
            match self.ask(GroupRequest::Propose(claim), self.me.session_ttl / 4).await {
                Some(GroupResponse::Reply(Reply::Held(fence))) => {
                    // The session may have ended since: then the grant was another one's.
                    if self.session_id() == Some(session) {
                        self.fences.borrow_mut().accept(&want.duty, fence);
                        self.hold(&want.duty, fence);
                    }
                    break;
                }
                Some(GroupResponse::Reply(Reply::NotHeld { .. } | Reply::LimitExceeded)) => break,
                Some(GroupResponse::Reply(Reply::NoSession)) => {
                    self.gone.notify_one();
                    break;
                }
                _ => sleep(self.drawn(0.02, 0.1)).await,
            }
        }
        self.claiming.borrow_mut().remove(&want.duty);
    }

    /// Tells the group until it answers or the session is over, and with it all that the session has.
    async fn insist(self: Rc<Self>, session: SessionId, command: Command) -> GroupResponse {
        while self.session_id() == Some(session) {
            match self.ask(GroupRequest::Propose(command.clone()), self.me.session_ttl / 4).await {
                Some(answer) => return answer,
                None => sleep(self.drawn(0.02, 0.1)).await,
            }
        }
        GroupResponse::SessionEnded
    }

    async fn carry_out(self: &Rc<Self>, order: MemberRequest) -> GroupResponse {
        let within = self.me.session_ttl / 3;
        let nobody = |answer: Option<GroupResponse>| answer.unwrap_or(GroupResponse::Unavailable);
        match order {
            MemberRequest::ReleaseDuty(duty, to) => {
                let Some(guard) = self.held.change(|held| held.remove(&duty)) else {
                    return GroupResponse::Refused(format!("{duty} is not held here"));
                };
                // From here on nothing is done under it, whether or not the group hears of it.
                self.is_over(&guard);
                let Some(session) = self.session_id() else { return GroupResponse::SessionEnded };
                let give = Command::ReleaseDuty { session, duty, fence: guard.fence(), to };
                // Nobody else gets it before the group has heard, so it is told until it has.
                let telling = tokio::task::spawn_local(self.clone().insist(session, give));
                timeout(within, telling).await.ok().and_then(Result::ok).unwrap_or(GroupResponse::Unavailable)
            }
            MemberRequest::WriteRecord(duty, key, value) => {
                let guard = self.held.guard(&duty);
                let Some((fence, session)) = guard.and_then(|g| g.valid_fence()).zip(self.session_id())
                else {
                    return GroupResponse::Refused(format!("{duty} is not held here"));
                };
                nobody(
                    self.ask(
                        GroupRequest::Propose(Command::WriteRecord { session, duty, fence, key, value }),
                        within,
                    )
                    .await,
                )
            }
            MemberRequest::SendNote(duty, note) => match self.session_id() {
                Some(session) => {
                    nobody(self.ask(GroupRequest::SendNote { session, duty, note }, within).await)
                }
                None => GroupResponse::Unavailable,
            },
            MemberRequest::CollectNotes(duty) => {
                let guard = self.held.guard(&duty);
                let Some((fence, session)) = guard.and_then(|g| g.valid_fence()).zip(self.session_id())
                else {
                    return GroupResponse::Refused(format!("{duty} is not held here"));
                };
                nobody(self.ask(GroupRequest::CollectNotes { session, duty, fence }, within).await)
            }
            MemberRequest::RequestAbsence(max_absent) => match self.session_id() {
                Some(session) => nobody(
                    self.ask(GroupRequest::Propose(Command::RequestAbsence { session, max_absent }), within)
                        .await,
                ),
                None => GroupResponse::Unavailable,
            },
            MemberRequest::SetEligible(able) => {
                self.able.set(able);
                if !able {
                    for guard in self.held.all() {
                        Box::pin(self.carry_out(MemberRequest::ReleaseDuty(guard.duty, None))).await;
                    }
                }
                self.take_notice();
                GroupResponse::Done
            }
            MemberRequest::ChangeVoters(ask) => {
                let mut answer = None;
                // Harmless to ask again, and the voter asked may be the one that is not in yet.
                for _ in 0..=self.ways.len() {
                    answer = self.ask(ask.clone(), MEMBERSHIP_CHANGE_TIMEOUT).await;
                    if answer.is_some() {
                        break;
                    }
                }
                nobody(answer)
            }
            MemberRequest::Close => {
                self.closed.set(true);
                let held = self.held.change(std::mem::take);
                held.into_values().for_each(|guard| self.is_over(&guard));
                let Some(session) = self.session_id() else { return GroupResponse::Done };
                self.lease.borrow().end();
                self.gone.notify_one();
                nobody(self.ask(GroupRequest::Propose(Command::CloseSession { session }), within).await)
            }
        }
    }
}
