//! The backends' side: where they listen, the connections to them, attempts and probes and how they end.

use crate::fault_injection::{FaultInjector, Faults};
pub use crate::message::ForwardedRequest;
use crate::observe::usage::{ConnectionUse, ResourceUsage};
use crate::wire::body::{AnswerChunk, BodyError, Download, MAX_BUFFERED_BODY, OutgoingBody, download};
use crate::wire::connection::{AttemptTrace, Connection, UsedConnections, WriteProgress};
use bytes::{Bytes, BytesMut};
use doorcourse::{BackendEntry, BackendState, LoadReport, Name, Outcome};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// An answer of unknown length is passed on as it comes once it has lasted this long, however short it is so far.
const MAX_ANSWER_BUFFERING: Duration = Duration::from_millis(400);
/// In the middle of a long answer a client may stop reading for this long.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle connections are looked after this often.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection is kept idle for this share of the time after which backends close it: well before.
const IDLE_TIMEOUT_RATIO: f64 = 0.5;

/// One backend and where it listens.
#[derive(Clone, Debug)]
pub struct Host {
    /// What the decisions need to know.
    pub entry: BackendEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What a program speaks with its backends: how a request is put to one, and what an answer's head says.
pub trait Protocol: 'static {
    /// What a client asked, but for its body.
    type RequestHead: Clone + 'static;
    /// In the middle of a long answer a backend may be silent for this long.
    const ANSWER_STALL_TIMEOUT: Duration = Duration::from_secs(8);
    /// Whether a request may run of which a part was written, or only one that was written whole.
    const PARTIAL_REQUEST_MAY_RUN: bool = false;
    /// A connection whose peer's machine acknowledges nothing for this long is given up by the kernel.
    const TCP_USER_TIMEOUT: Option<Duration> = None;
    /// Whether a backend may answer twice, the second time late: another attempt of a request then goes over another
    /// connection, as no id would tell the second answer to the first attempt from its own.
    const MAY_ANSWER_TWICE: bool = false;

    /// The request as it goes to a backend that has this much time for it.
    fn request(
        &self, request: &Self::RequestHead, to: &Name, address: SocketAddr, left: Duration,
    ) -> request::Builder;

    /// Whether an answer belongs to the request. Its connection is spoilt otherwise.
    fn matches_request(&self, request: &Self::RequestHead, head: &response::Parts) -> bool;

    /// How long the connection of an answer may stand idle, where that goes by the answer.
    fn idle_timeout(&self, head: &HeaderMap) -> Option<Duration>;

    /// What an answer means, and what of it goes to the client.
    fn classify(
        &self, request: &Self::RequestHead, from: &Name, head: response::Parts, body: Payload,
    ) -> AttemptResult;

    /// Asks a backend for its load, or for a sign of life.
    fn probe_request(&self, address: SocketAddr) -> request::Builder;

    /// The load that an answer to a probe tells.
    fn parse_probe(&self, body: &[u8]) -> Option<LoadReport>;

    /// Hears what the log ought to say of a request, given by its ask if there is one.
    fn log(&self, request: Option<&Self::RequestHead>, text: fmt::Arguments<'_>);

    /// Hears how an attempt of a request ended, and with whom.
    fn on_attempt_ended(&self, _: &Self::RequestHead, _: &Name, _: Outcome) {}
}

/// The body of an answer.
#[derive(Debug)]
pub enum Payload {
    /// It is here.
    Whole(Bytes),
    /// It is still coming.
    Stream(Download),
}

/// A backend's answer, as far as it goes on to a client.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those that belong to the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Payload,
}

/// An answer whose head and first bytes have come, and what is needed for the rest if there is one.
struct OpenedAnswer {
    head: response::Parts,
    start: Bytes,
    rest: Option<(Connection, Incoming, Slot, SocketAddr)>,
}

/// Why an attempt is called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Its client is gone: nothing speaks against the backend.
    ClientLeft,
    /// It has used up its share of the time.
    Stalled,
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Whether its time, or its share of it, was over.
    pub timed_out: bool,
    /// What was served. With another outcome it is the client's if there is no further attempt.
    pub answer: Option<Answer>,
    /// The load report that came along.
    pub load: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, timed_out: false, answer: None, load: None }
    }
}

struct Backend {
    host: Host,
    /// When it last answered anything.
    last_answer_at: Instant,
    /// Free connections, the one used last at the end, and until when they may be used.
    idle: Vec<(Connection, Instant)>,
    /// Connections in use.
    in_use: Rc<Cell<usize>>,
}

impl Backend {
    fn ready(&self) -> bool {
        self.host.entry.state == BackendState::Ready
    }
}

/// Counts a connection in use for as long as it lives, among all and among those of its backend.
struct Slot([Rc<Cell<usize>>; 2]);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.iter().for_each(|count| count.set(count.get() - 1));
    }
}

/// All backends that this gateway knows.
pub struct Backends<P: Protocol> {
    protocol: P,
    backends: RefCell<HashMap<Name, Backend>>,
    seq: Cell<u64>,
    connect_timeout: Duration,
    max_idle_time: Duration,
    max_connections: Cell<usize>,
    max_per_backend: Cell<usize>,
    in_use: Rc<Cell<usize>>,
    usage: Rc<ResourceUsage>,
    pub(crate) fault_injector: FaultInjector,
}

impl<P: Protocol> Backends<P> {
    /// No backends yet; at most `most_open` connections to all of them together.
    pub fn new(
        protocol: P, connect_timeout: Duration, backend_idle_timeout: Duration, max_connections: usize,
        usage: Rc<ResourceUsage>,
    ) -> Rc<Self> {
        Rc::new(Self {
            protocol,
            backends: RefCell::default(),
            seq: Cell::default(),
            connect_timeout,
            max_idle_time: backend_idle_timeout.mul_f64(IDLE_TIMEOUT_RATIO),
            max_connections: Cell::new(max_connections),
            max_per_backend: Cell::new(usize::MAX),
            in_use: Rc::default(),
            usage,
            fault_injector: FaultInjector::default(),
        })
    }

    #[doc(hidden)]
    pub fn inject_faults(&self, faults: Faults) {
        self.fault_injector.faults.set(faults);
    }

    /// What is spoken with them.
    pub fn protocol(&self) -> &P {
        &self.protocol
    }

    /// Whether the list names a backend.
    pub fn contains(&self, name: &str) -> bool {
        self.backends.borrow().contains_key(name)
    }

    /// Drops the free connections to a backend that operators take out.
    pub fn close_idle_to(&self, name: &str) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(name) {
            backend.idle.clear();
        }
    }

    /// Takes in a list. Free connections to what drains, is gone or listens elsewhere now are dropped.
    pub fn update(&self, seq: u64, full: bool, hosts: &[Host]) {
        let mut backends = self.backends.borrow_mut();
        self.seq.set(seq);
        if full {
            backends.retain(|name, _| hosts.iter().any(|h| h.entry.name == *name));
        }
        for host in hosts {
            if host.entry.state == BackendState::Gone {
                backends.remove(&host.entry.name);
                continue;
            }
            let name = host.entry.name.clone();
            let backend = backends.entry(name).or_insert_with(|| Backend {
                host: host.clone(),
                last_answer_at: Instant::now(),
                idle: Vec::new(),
                in_use: Rc::default(),
            });
            if host.entry.state != BackendState::Ready || backend.host.address != host.address {
                backend.idle.clear();
            }
            backend.host = host.clone();
        }
    }

    /// The version of the list.
    pub fn seq(&self) -> u64 {
        self.seq.get()
    }

    /// The list as it stands.
    pub fn hosts(&self) -> Vec<Host> {
        self.backends.borrow().values().map(|b| b.host.clone()).collect()
    }

    /// Keeps no more than this many connections to any one backend from now on.
    pub fn set_max_per_backend(&self, max_per_backend: usize) {
        self.max_per_backend.set(max_per_backend);
    }

    /// Keeps no more than this many connections from now on.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Closes all free connections: none will be used again.
    pub fn close_idle(&self) {
        self.backends.borrow_mut().values_mut().for_each(|b| b.idle.clear());
    }

    /// Drops free connections that have stood too long or have been closed, for ever.
    pub async fn prune_idle_connections(self: Rc<Self>) {
        loop {
            sleep(PRUNE_INTERVAL).await;
            for backend in self.backends.borrow_mut().values_mut() {
                backend
                    .idle
                    .retain(|(connection, expires_at)| Instant::now() < *expires_at && connection.is_open());
                backend.idle.shrink_to(4);
            }
        }
    }

    /// Sends a request to a backend and tells how that ended, once its connection is closed or free again. It has
    /// to answer within `limit` and its client's budget, and before `called_off` resolves. A long answer is given to `begin` with its first bytes;
    /// it is the client's from then on, and ends by itself.
    pub async fn attempt(
        &self, name: &Name, forwarded: &ForwardedRequest<P::RequestHead>, limit: Duration,
        trace: &Rc<AttemptTrace>, cancelled: oneshot::Receiver<CancelReason>, begin: impl FnOnce(Answer),
    ) -> AttemptResult {
        let deadline = forwarded.attempt_deadline(Some(limit));
        let build = |address: SocketAddr| {
            let left = deadline.saturating_duration_since(Instant::now());
            // What is over before it is written need not be begun.
            if left.as_millis() == 0 && forwarded.rest.is_none() {
                return None;
            }
            let request = self.protocol.request(&forwarded.head, name, address, left);
            request.body(OutgoingBody::new(forwarded.body.clone(), forwarded.rest.clone())).ok()
        };
        let matches_request = |head: &response::Parts| self.protocol.matches_request(&forwarded.head, head);
        let started = Instant::now();
        // Each arm ends the exchange, which closes its connection, before the end is told.
        let mut timed_out = false;
        let opened = tokio::select! {
            biased;
            opened = self.exchange(name, || forwarded.is_body_consumed(), build, matches_request, trace) => opened,
            reason = cancelled => {
                timed_out = reason == Ok(CancelReason::Stalled);
                Err(Outcome::CalledOff)
            }
            () = forwarded.expired(Some(limit), Duration::ZERO) => {
                timed_out = true;
                let return_connection =
                    |connection, address| self.record_answer(name, address, None, Some(connection));
                self.fault_injector.return_duplicate(trace.used_connections.last(), return_connection);
                // Closed on before so much was written: no backend has begun with it.
                let may_run =
                    if P::PARTIAL_REQUEST_MAY_RUN { trace.write_started.get() } else { trace.fully_written.get() };
                let may_run = may_run && !self.fault_injector.faults.get().timeout_is_unsent;
                Err(if may_run { Outcome::TimedOut } else { Outcome::ConnectFailed })
            }
        };
        match opened {
            Ok(OpenedAnswer { head, start, rest: None }) => {
                self.protocol.classify(&forwarded.head, name, head, Payload::Whole(start))
            }
            Ok(OpenedAnswer { head, start, rest: Some((connection, body, _slot, address)) }) => {
                let length = body.size_hint().exact().map(|rest| rest + start.len() as u64);
                let (sender, stream) = download(length);
                let idle_timeout = self.protocol.idle_timeout(&head.headers);
                let classified = self.protocol.classify(&forwarded.head, name, head, Payload::Stream(stream));
                let AttemptResult { outcome, answer, load, .. } = classified;
                // What else was said at length can wait for nobody: its connection closes.
                let Some(answer) = answer else { return outcome.into() };
                begin(answer);
                let (since, stream_outcome) = (
                    Instant::now(),
                    self.stream_answer(name, address, idle_timeout, connection, body, start, sender).await,
                );
                if stream_outcome != Outcome::Served {
                    let after = since.elapsed().as_millis();
                    let text = format_args!(
                        "its long answer from {name} ended after {after} ms: {stream_outcome:?}"
                    );
                    self.protocol.log(Some(&forwarded.head), text);
                }
                AttemptResult {
                    load,
                    ..if stream_outcome == Outcome::Served { outcome } else { stream_outcome }.into()
                }
            }
            Err(_) if forwarded.rest.as_ref().is_some_and(|rest| rest.error().is_some()) => {
                // The backend is not to blame for what its client did not send.
                Outcome::CalledOff.into()
            }
            Err(outcome) => {
                if timed_out {
                    self.close_suspect_connections(name, started);
                }
                AttemptResult { timed_out, ..outcome.into() }
            }
        }
    }

    /// Passes on a long answer as fast as its client reads, and tells how that ended.
    #[allow(clippy::too_many_arguments, reason = "what an answer consists of, taken apart")]
    async fn stream_answer(
        &self, name: &Name, address: SocketAddr, idle_timeout: Option<Duration>, mut connection: Connection,
        mut body: Incoming, start: Bytes, sender: mpsc::Sender<AnswerChunk>,
    ) -> Outcome {
        let mut next = Ok(Some(start));
        loop {
            let last = !matches!(next, Ok(Some(_)));
            let broken = next.is_err();
            match timeout(CLIENT_STALL_TIMEOUT, sender.send(next)).await {
                Ok(_) if broken => return Outcome::Broken,
                // By its length its client knows already that it has it all.
                Ok(_) if last => break,
                Ok(Ok(())) => {}
                // Its client has left, or reads no more.
                Ok(Err(_)) | Err(_) => return Outcome::CalledOff,
            }
            next = tokio::select! {
                // The end goes first: a client that has it all by its length has let go already.
                biased;
                next = timeout(P::ANSWER_STALL_TIMEOUT, connection.next_bytes(&mut body)) => match next {
                    Ok(Some(bytes)) => bytes.map(Some).map_err(|_| BodyError::Broken),
                    Ok(None) => Ok(None),
                    Err(_) => Err(BodyError::TooSlow),
                },
                () = sender.closed() => return Outcome::CalledOff,
            };
        }
        drop((sender, body));
        let connection = connection.is_reusable().await.then_some(connection);
        self.record_answer(name, address, idle_timeout, connection);
        Outcome::Served
    }

    /// Guards against machines that vanish: connections to one stay open and silent, and each would take a
    /// request into doubt until its time is over. A new one fails soon and for certain. A backend that has
    /// answered anything since is merely slow.
    fn close_suspect_connections(&self, name: &Name, since: Instant) {
        let mut backends = self.backends.borrow_mut();
        if let Some(backend) = backends.get_mut(name).filter(|b| b.last_answer_at < since) {
            backend.idle.clear();
        }
    }

    /// Asks a backend for its load, or where there are no reports for a sign of life.
    pub async fn probe(&self, name: &Name) -> AttemptResult {
        let build = |address: SocketAddr| {
            self.protocol.probe_request(address).body(OutgoingBody::new(Bytes::new(), None)).ok()
        };
        let trace = Rc::default();
        match timeout(self.connect_timeout, self.exchange(name, || false, build, |_| true, &trace)).await {
            Ok(Ok(OpenedAnswer { head, start, .. })) if head.status == StatusCode::OK => {
                AttemptResult { load: self.protocol.parse_probe(&start), ..Outcome::Served.into() }
            }
            Ok(Ok(_)) => Outcome::Error.into(),
            Ok(Err(outcome)) => outcome.into(),
            Err(_) => Outcome::TimedOut.into(),
        }
    }

    async fn exchange(
        &self, name: &Name, is_body_consumed: impl Fn() -> bool,
        build: impl Fn(SocketAddr) -> Option<Request<OutgoingBody>>,
        matches_request: impl Fn(&response::Parts) -> bool, trace: &Rc<AttemptTrace>,
    ) -> Result<OpenedAnswer, Outcome> {
        loop {
            let (address, pooled) =
                self.take_idle(name, &trace.used_connections).ok_or(Outcome::NeverSent)?;
            let from_pool = pooled.is_some();
            let slot = self.acquire_slot(name).ok_or(Outcome::NeverSent)?;
            let mut connection = match pooled {
                Some(connection) => {
                    self.usage.connection_reused();
                    connection
                }
                None => {
                    let connection = Connection::connect(
                        address,
                        self.connect_timeout,
                        &self.usage,
                        ConnectionUse::Backend,
                    )
                    .await;
                    let connection = connection.map_err(|_| Outcome::ConnectFailed)?;
                    P::TCP_USER_TIMEOUT.into_iter().for_each(|after| connection.set_user_timeout(after));
                    connection
                }
            };
            // Guards drains: while the connection came up the list may have changed.
            if self.address(name) != Some(address) {
                return Err(Outcome::NeverSent);
            }
            trace.connected.set(Some(Instant::now()));
            let request = build(address).ok_or(Outcome::NeverSent)?;
            trace.used_connections.add(&connection);
            self.fault_injector.keep_duplicate(&connection, address).await;
            let opened = Self::receive_answer(&mut connection, request, trace.clone()).await;
            self.fault_injector.drop_duplicate(connection.id());
            let faults = self.fault_injector.faults.get();
            match opened {
                // Whose request this answers nobody knows, nor what comes next.
                Ok((head, ..)) if !faults.accept_any_answer && !matches_request(&head) => {
                    if faults.reuse_unmatched && connection.is_reusable().await {
                        self.record_answer(name, address, None, Some(connection));
                    }
                    return Err(Outcome::Broken);
                }
                Ok((head, start, None)) => {
                    let connection = connection.is_reusable().await.then_some(connection);
                    self.record_answer(name, address, self.protocol.idle_timeout(&head.headers), connection);
                    return Ok(OpenedAnswer { head, start, rest: None });
                }
                Ok((head, start, Some(body))) => {
                    return Ok(OpenedAnswer { head, start, rest: Some((connection, body, slot, address)) });
                }
                // Guards against a free connection that its backend closed just now: nothing was written,
                // so this is no second send, and the backend is not to blame.
                Err(WriteProgress::Unsent) if from_pool && !is_body_consumed() => {}
                Err(_) if faults.resend_broken => {}
                Err(WriteProgress::Unsent) => return Err(Outcome::ConnectFailed),
                Err(WriteProgress::Partly) if !P::PARTIAL_REQUEST_MAY_RUN => {
                    return Err(Outcome::ConnectFailed);
                }
                Err(WriteProgress::Partly | WriteProgress::Whole) => return Err(Outcome::Broken),
            }
        }
    }

    /// The head of an answer and its whole body, or the start of a long one. Until its first bytes are here an
    /// answer can still break and be had elsewhere.
    async fn receive_answer(
        connection: &mut Connection, request: Request<OutgoingBody>, trace: Rc<AttemptTrace>,
    ) -> Result<(response::Parts, Bytes, Option<Incoming>), WriteProgress> {
        let (head, mut body) = connection.send(request, trace).await?;
        let hold_until = Instant::now() + MAX_ANSWER_BUFFERING;
        let (announced, mut start) = (body.size_hint().exact(), BytesMut::new());
        loop {
            let long =
                announced.map_or(start.len() > MAX_BUFFERED_BODY, |length| length > MAX_BUFFERED_BODY as u64);
            if long && !start.is_empty() {
                return Ok((head, start.freeze(), Some(body)));
            }
            let next = tokio::select! {
                biased;
                next = connection.next_bytes(&mut body) => next,
                () = sleep_until(hold_until), if announced.is_none() && !start.is_empty() => {
                    return Ok((head, start.freeze(), Some(body)));
                }
            };
            match next {
                Some(bytes) => start.extend_from_slice(&bytes?),
                None => return Ok((head, start.freeze(), None)),
            }
        }
    }

    /// Where a backend listens that may be sent something new.
    fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.backends.borrow().get(name).filter(|b| b.ready()).map(|b| b.host.address)
    }

    /// A backend that may be sent something new, with a free connection that stands if there is one.
    fn take_idle(
        &self, name: &Name, used_connections: &UsedConnections,
    ) -> Option<(SocketAddr, Option<Connection>)> {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(name).filter(|b| b.ready())?;
        let any = !P::MAY_ANSWER_TWICE || self.fault_injector.faults.get().share_connection;
        let may_carry =
            |(connection, _): &(Connection, Instant)| any || !used_connections.contains(connection);
        while let Some(at) = backend.idle.iter().rposition(may_carry) {
            let (connection, expires_at) = backend.idle.remove(at);
            // Guards unsafe requests: one written to a connection that is closed or about to be is lost in
            // doubt.
            if Instant::now() < expires_at && connection.is_open() {
                return Some((backend.host.address, Some(connection)));
            }
        }
        Some((backend.host.address, None))
    }

    /// Room for one more busy connection; free ones give way.
    fn acquire_slot(&self, name: &Name) -> Option<Slot> {
        let (in_use, max_connections) = (self.in_use.get(), self.max_connections.get());
        let mut backends = self.backends.borrow_mut();
        let own = backends.get(name)?.in_use.clone();
        if in_use >= max_connections || own.get() >= self.max_per_backend.get() {
            return None;
        }
        self.in_use.set(in_use + 1);
        own.set(own.get() + 1);
        let idle: usize = backends.values().map(|b| b.idle.len()).sum();
        for _ in max_connections..in_use + 1 + idle {
            let fullest = backends.values_mut().max_by_key(|b| b.idle.len());
            if let Some(fullest) = fullest.filter(|b| !b.idle.is_empty()) {
                fullest.idle.remove(0);
            }
        }
        Some(Slot([self.in_use.clone(), own]))
    }

    /// Notes that a backend answered, and keeps the connection if it is free again.
    fn record_answer(
        &self, name: &Name, address: SocketAddr, idle_timeout: Option<Duration>,
        connection: Option<Connection>,
    ) {
        let mut backends = self.backends.borrow_mut();
        if let Some(backend) = backends.get_mut(name).filter(|b| b.host.address == address) {
            backend.last_answer_at = Instant::now();
            let expires_at = backend.last_answer_at + idle_timeout.unwrap_or(self.max_idle_time);
            let room = backend.idle.len() + backend.in_use.get() <= self.max_per_backend.get();
            backend.idle.extend(
                connection.filter(|_| backend.ready() && room).map(|connection| (connection, expires_at)),
            );
        }
    }
}

/// Runs a task for as long as the program runs.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
