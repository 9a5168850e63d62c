//! The backend side of the proxy: known backends, connection pools, attempts, probes and their outcomes.
//!
//! An attempt is one transmission of a request to one backend; a retry is a further attempt. A probe is a request by
//! which the proxy itself queries the load or health of a backend. A draining backend finishes open requests and
//! accepts no new ones.

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

/// An answer of unknown length is buffered for at most this long before it is streamed to the client.
const MAX_ANSWER_BUFFERING: Duration = Duration::from_millis(400);
/// A streamed answer is aborted when the client reads nothing for this long.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which expired and closed idle connections are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle connections are kept for this share of the backends' idle timeout, so that a request does not race with the
/// backend closing the connection.
const IDLE_TIMEOUT_RATIO: f64 = 0.5;

/// A backend and its address.
#[derive(Clone, Debug)]
pub struct Host {
    /// The backend as the decision engine knows it.
    pub entry: BackendEntry,
    /// The address that the backend listens on.
    pub address: SocketAddr,
}

/// The application protocol between proxy and backends: builds requests and interprets the heads of answers.
pub trait Protocol: 'static {
    /// A client's request without its body.
    type RequestHead: Clone + 'static;
    /// Maximum time without new bytes in the middle of a streamed answer.
    const ANSWER_STALL_TIMEOUT: Duration = Duration::from_secs(8);
    /// Whether a backend may execute a request that was only partly written.
    const PARTIAL_REQUEST_MAY_RUN: bool = false;
    /// TCP user timeout: the kernel closes a connection whose peer acknowledges nothing for this long.
    const TCP_USER_TIMEOUT: Option<Duration> = None;
    /// Whether a backend may answer a request twice. If so, retries of a request use other connections, since the
    /// request id does not tell a late second answer to an earlier attempt from the answer to the present one.
    const MAY_ANSWER_TWICE: bool = false;

    /// Builds the request to a backend that has the time `left` to answer.
    fn request(
        &self, request: &Self::RequestHead, to: &Name, address: SocketAddr, left: Duration,
    ) -> request::Builder;

    /// Whether an answer belongs to the request. An answer to another request closes the connection.
    fn matches_request(&self, request: &Self::RequestHead, head: &response::Parts) -> bool;

    /// The idle timeout that the answer announces for its connection, if any.
    fn idle_timeout(&self, head: &HeaderMap) -> Option<Duration>;

    /// Derives the outcome of an attempt from the answer, and the part of the answer that the client receives.
    fn classify(
        &self, request: &Self::RequestHead, from: &Name, head: response::Parts, body: Payload,
    ) -> AttemptResult;

    /// Builds a probe for the load, or for the health, of a backend.
    fn probe_request(&self, address: SocketAddr) -> request::Builder;

    /// Parses the load report in the answer to a probe.
    fn parse_probe(&self, body: &[u8]) -> Option<LoadReport>;

    /// Logs a line, for the given request if there is one.
    fn log(&self, request: Option<&Self::RequestHead>, text: fmt::Arguments<'_>);

    /// Called when an attempt of a request at a backend has ended.
    fn on_attempt_ended(&self, _: &Self::RequestHead, _: &Name, _: Outcome) {}
}

/// The body of an answer.
#[derive(Debug)]
pub enum Payload {
    /// A body that was received whole.
    Whole(Bytes),
    /// A body that is still being received.
    Stream(Download),
}

/// A backend's answer as the client receives it.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers: hop-by-hop headers are removed.
    pub headers: HeaderMap,
    /// The body.
    pub body: Payload,
}

/// An answer whose head and first bytes have arrived, with the connection for the rest of a long body.
struct OpenedAnswer {
    head: response::Parts,
    start: Bytes,
    rest: Option<(Connection, Incoming, Slot, SocketAddr)>,
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The client has left; the backend is not to blame.
    ClientLeft,
    /// The attempt has used up its share of the time budget.
    Stalled,
}

/// The result of an attempt or a probe.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome for the decision engine.
    pub outcome: Outcome,
    /// Whether the attempt used up its share of the time budget, or all of it.
    pub timed_out: bool,
    /// The answer. With an outcome other than `Served` the client receives it only if no further attempt is made.
    pub answer: Option<Answer>,
    /// The load report that came with the answer.
    pub load: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, timed_out: false, answer: None, load: None }
    }
}

struct Backend {
    host: Host,
    /// When the backend last answered anything.
    last_answer_at: Instant,
    /// Idle connections, the most recently used last, each with the time when it expires.
    idle: Vec<(Connection, Instant)>,
    /// Number of connections in use.
    in_use: Rc<Cell<usize>>,
}

impl Backend {
    fn ready(&self) -> bool {
        self.host.entry.state == BackendState::Ready
    }
}

/// Counts a connection as in use, in total and for its backend, until dropped.
struct Slot([Rc<Cell<usize>>; 2]);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.iter().for_each(|count| count.set(count.get() - 1));
    }
}

/// The backends that this gateway knows, and the connections to them.
pub struct Backends<P: Protocol> {
    protocol: P,
    backends: RefCell<HashMap<Name, Backend>>,
    /// The version of the list of backends.
    seq: Cell<u64>,
    connect_timeout: Duration,
    max_idle_time: Duration,
    /// Maximum number of connections to all backends together, and to each backend.
    max_connections: Cell<usize>,
    max_per_backend: Cell<usize>,
    /// Number of connections in use, to all backends together.
    in_use: Rc<Cell<usize>>,
    usage: Rc<ResourceUsage>,
    pub(crate) fault_injector: FaultInjector,
}

impl<P: Protocol> Backends<P> {
    /// Creates an empty set of backends with at most `max_connections` connections to all of them together.
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

    /// The protocol spoken with the backends.
    pub fn protocol(&self) -> &P {
        &self.protocol
    }

    /// Whether the list contains the backend.
    pub fn contains(&self, name: &str) -> bool {
        self.backends.borrow().contains_key(name)
    }

    /// Closes the idle connections to a backend that an operator has detached.
    pub fn close_idle_to(&self, name: &str) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(name) {
            backend.idle.clear();
        }
    }

    /// Applies a full list or a list of changes. Closes the idle connections to backends that are draining, gone or
    /// have another address.
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

    /// The current list.
    pub fn hosts(&self) -> Vec<Host> {
        self.backends.borrow().values().map(|b| b.host.clone()).collect()
    }

    /// Sets the maximum number of connections to each backend.
    pub fn set_max_per_backend(&self, max_per_backend: usize) {
        self.max_per_backend.set(max_per_backend);
    }

    /// Sets the maximum number of connections to all backends together.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.backends.borrow_mut().values_mut().for_each(|b| b.idle.clear());
    }

    /// Removes expired and closed idle connections periodically. Never returns.
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

    /// Sends a request to a backend and returns the result once the connection is closed or idle again. The answer has
    /// to arrive within `limit` and the client's budget, and before `cancelled` resolves. A long answer is passed to
    /// `begin` with its first bytes; from then on neither the budget nor a cancellation ends the attempt.
    pub async fn attempt(
        &self, name: &Name, forwarded: &ForwardedRequest<P::RequestHead>, limit: Duration,
        trace: &Rc<AttemptTrace>, cancelled: oneshot::Receiver<CancelReason>, begin: impl FnOnce(Answer),
    ) -> AttemptResult {
        let deadline = forwarded.attempt_deadline(Some(limit));
        let build = |address: SocketAddr| {
            let left = deadline.saturating_duration_since(Instant::now());
            // No time is left to answer: the request is not sent.
            if left.as_millis() == 0 && forwarded.rest.is_none() {
                return None;
            }
            let request = self.protocol.request(&forwarded.head, name, address, left);
            request.body(OutgoingBody::new(forwarded.body.clone(), forwarded.rest.clone())).ok()
        };
        let matches_request = |head: &response::Parts| self.protocol.matches_request(&forwarded.head, head);
        let started = Instant::now();
        // Each branch drops the exchange, which closes its connection, before the result is returned.
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
                // The connection is closed before the backend could execute the request.
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
                // Without an answer to pass on, a long body stays unread and its connection closes.
                let Some(answer) = answer else { return outcome.into() };
                begin(answer);
                let (since, stream_outcome) = (
                    Instant::now(),
                    self.stream_answer(name, address, idle_timeout, connection, body, start, sender).await,
                );
                if stream_outcome != Outcome::Served {
                    let after = since.elapsed().as_millis();
                    let text = format_args!(
                        "streamed answer from {name} aborted after {after} ms: {stream_outcome:?}"
                    );
                    self.protocol.log(Some(&forwarded.head), text);
                }
                AttemptResult {
                    load,
                    ..if stream_outcome == Outcome::Served { outcome } else { stream_outcome }.into()
                }
            }
            Err(_) if forwarded.rest.as_ref().is_some_and(|rest| rest.error().is_some()) => {
                // The client's upload failed, so the backend is not to blame.
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

    /// Streams a long answer to the client at the client's pace, and returns the outcome.
    #[allow(clippy::too_many_arguments, reason = "the parts of an answer")]
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
                // The client has received `Content-Length` bytes and may have dropped the receiver.
                Ok(_) if last => break,
                Ok(Ok(())) => {}
                // The client has left or has stopped reading.
                Ok(Err(_)) | Err(_) => return Outcome::CalledOff,
            }
            next = tokio::select! {
                // Polls the body first: the receiver also closes once the client has received `Content-Length` bytes.
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

    /// Closes the idle connections to a backend that has answered nothing since `since`. Guards against machines that
    /// vanish without closing connections: a request sent on such a connection would have an unknown outcome. A new
    /// connection fails early and with a known outcome. A backend that has answered in the meantime is merely slow.
    fn close_suspect_connections(&self, name: &Name, since: Instant) {
        let mut backends = self.backends.borrow_mut();
        if let Some(backend) = backends.get_mut(name).filter(|b| b.last_answer_at < since) {
            backend.idle.clear();
        }
    }

    /// Queries a backend for its load, or for its health if load reports are off.
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
            // The backend may have started draining while the connection was being established.
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
                // The answer belongs to another request, so this connection cannot be used any further.
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
                // The backend closed the idle connection at the same time. No byte of the request was written, so the
                // request can be sent on another connection and the backend is not to blame.
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

    /// Receives the head of an answer and its whole body, or the first bytes of a long body. Before its first bytes a
    /// failed answer can still be replaced by another attempt.
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

    /// The address of a backend that accepts new requests.
    fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.backends.borrow().get(name).filter(|b| b.ready()).map(|b| b.host.address)
    }

    /// The address of a backend that accepts new requests, and an open idle connection to it if there is one.
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
            // Guards unsafe requests: the outcome of a request on a connection that is closed, or about to be closed,
            // would be unknown.
            if Instant::now() < expires_at && connection.is_open() {
                return Some((backend.host.address, Some(connection)));
            }
        }
        Some((backend.host.address, None))
    }

    /// Reserves one more connection in use, closing idle connections if the limit requires it.
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

    /// Records that a backend answered, and returns the connection to the pool if it can be reused.
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

/// Spawns a task on the local task set.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
