//! The client side of the gateway: accepts requests, parses their heads, writes answers and drains at shutdown.
//!
//! To drain means to answer the open requests and to close each client connection after its last answer. A class is the
//! kind of a request, named by its path. A customer has a quota, counted in units.

use crate::backends::pool::{BackendProtocol, ForwardedRequest, RequestHead, spawn};
use crate::control::engine::{Engine, Reply, RequestGuard};
use crate::observe::metrics::{Metrics, RequestResult, Stage};
use crate::time::budget::Budget;
use crate::wire::body::{AnswerBody, BodyError, ClientBody, MAX_BUFFERED_BODY, MAX_REQUEST_BODY, Upload};
use bytes::{Bytes, BytesMut};
use doorcourse::{Arrival, Idempotency, Name, Settings};
use http_proxy::clients::{CLOSE_GRACE, ClientConnection, ClientConnections};
use http_proxy::pool::{Answer, Payload};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::uri::PathAndQuery;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// Maximum value of `Req-Deadline-Ms`; larger values are rejected.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Idle timeout of a client connection, and timeout for the first request head on a connection. A later head must be
/// complete within the same time after its first byte. The value lies between two requirements of the protocol: a peer
/// that sends no valid request gets an error or a close within 3 s, and an idle connection stays open for at least 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2300);
/// Minimum time for the first bytes of a body, however long the head of its request took to arrive.
const BODY_START_TIMEOUT: Duration = Duration::from_millis(600);
/// A client's timeout starts with the last byte of its request, but the decision engine decides before a long body is
/// complete. The deadline for the engine is extended by this much: the time of the slowest client for the longest body.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(600);
/// How long new connections are accepted after the shutdown signal. Idle connections are closed once half of this time
/// has passed since the signal. In lame-duck mode, connections that have been idle for half of this time are closed.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(500);
/// Interval for checking idle connections during shutdown and in lame-duck mode.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Idle timeout for connections of clients after a handover to another process.
const HANDOVER_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long connections may stay open at shutdown after the last final answer.
const FINAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// The part of the grace period (from the shutdown signal to the kill) that is reserved for writing the last answers.
const FINAL_ANSWER_RESERVE: Duration = Duration::from_millis(300);
/// Maximum share of the grace period that [`FINAL_ANSWER_RESERVE`] may take.
const FINAL_ANSWER_RESERVE_RATIO: f64 = 0.25;
/// Size of the read buffer, which holds the head of one request.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why a request is rejected before it reaches the decision engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejection {
    /// The path names no class.
    NotFound,
    /// A header or parameter is missing, malformed or out of range.
    Malformed(&'static str),
    /// The body is too large.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
}

/// A request with its parsed head.
struct ParsedRequest {
    class: Name,
    plan: Name,
    customer: Name,
    units: f64,
    spread: u32,
    first: u32,
    repeat: bool,
    client_timeout: Duration,
    method: Method,
    target: PathAndQuery,
    id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    content_type: Option<HeaderValue>,
    body: Bytes,
    rest: Option<Rc<Upload>>,
}

/// The client side of one gateway.
pub struct Frontend {
    engine: Rc<Engine>,
    classes: Vec<(Name, Idempotency)>,
    plans: Vec<Name>,
    max_units: f64,
    /// Time between the shutdown signal and the earliest kill of the process.
    grace: Duration,
    connections: Rc<ClientConnections>,
    metrics: Rc<Metrics>,
    /// Whether lame-duck mode is on: operators have this gateway send its clients to other gateways.
    lame_duck: watch::Sender<bool>,
    shutting_down: Cell<bool>,
    /// Whether clients are served.
    serving: Cell<bool>,
    /// Whether another process of this gateway has taken over the listener and accepts the new clients.
    handed_over: Cell<bool>,
    /// Signals that another process takes over.
    hand_over: Notify,
}

type ResponseGuard = http_proxy::clients::ResponseGuard<BackendProtocol>;
type ClientResponse = Response<AnswerBody<ResponseGuard>>;

impl Frontend {
    /// Creates a frontend that accepts at most `max_clients` connections at once.
    pub fn new(
        engine: Rc<Engine>, settings: &Settings, max_clients: usize, grace: Duration, metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            engine,
            classes: settings.classes.iter().map(|c| (c.name.clone(), c.idempotency)).collect(),
            plans: settings.plans.iter().map(|p| p.name.clone()).collect(),
            max_units: settings.max_units,
            grace,
            connections: ClientConnections::new(max_clients, metrics.clone()),
            metrics,
            lame_duck: watch::Sender::new(false),
            shutting_down: Cell::new(false),
            serving: Cell::new(false),
            handed_over: Cell::new(false),
            hand_over: Notify::new(),
        })
    }

    /// Enters or leaves lame-duck mode. The process keeps running in either case.
    pub fn set_lame_duck(&self, on: bool) {
        self.lame_duck.send_replace(on);
    }

    /// Whether lame-duck mode is on.
    pub fn is_lame_duck(&self) -> bool {
        *self.lame_duck.borrow()
    }

    /// Whether this process accepts new clients.
    pub fn is_ready(&self) -> bool {
        self.serving.get() && !self.shutting_down.get() && !self.handed_over.get()
    }

    /// Stops accepting clients, since another process of this gateway accepts them on the same listener. Returns the
    /// number of open client connections.
    pub fn hand_over(&self) -> usize {
        self.handed_over.set(true);
        self.hand_over.notify_one();
        self.connections.count()
    }

    /// Sets the maximum number of client connections.
    pub fn set_max_clients(&self, max_clients: usize) {
        self.connections.set_max_clients(max_clients);
    }

    /// Whether answers ask clients to use another connection.
    fn draining(&self) -> bool {
        self.is_lame_duck() || self.shutting_down.get() || self.handed_over.get()
    }

    /// Closes idle connections whenever lame-duck mode is on. Never returns.
    async fn close_idle_while_lame_duck(self: Rc<Self>) {
        let mut lame_duck = self.lame_duck.subscribe();
        while lame_duck.wait_for(|on| *on).await.map(drop).is_ok() {
            self.connections.close_idle(SHUTDOWN_DELAY / 2);
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }

    /// Serves clients until `end` resolves or another process takes over, then drains. Returns when all connections
    /// have closed.
    pub async fn serve(self: Rc<Self>, listener: Rc<TcpListener>, end: impl Future<Output = ()>) {
        spawn(self.clone().close_idle_while_lame_duck());
        self.serving.set(true);
        let shutdown = async {
            end.await;
            self.shutting_down.set(true);
            self.engine.announce_shutdown(
                Instant::now() + self.grace
                    - FINAL_ANSWER_RESERVE.min(self.grace.mul_f64(FINAL_ANSWER_RESERVE_RATIO)),
            );
            sleep(SHUTDOWN_DELAY / 2).await;
            // A client whose request arrives while its idle connection closes resends it on a new connection, so new
            // connections are accepted for a while longer.
            self.connections.close_idle(Duration::ZERO);
            sleep(SHUTDOWN_DELAY / 2).await;
        };
        let mut shutdown = pin!(shutdown);
        loop {
            tokio::select! {
                () = shutdown.as_mut() => break,
                () = self.hand_over.notified() => {
                    drop(listener);
                    // Busy connections close with their next answer, since a request in transit during a close would be
                    // lost. Idle connections close after a timeout.
                    while self.connections.count() > 0 {
                        let _ = timeout(SHUTDOWN_POLL_INTERVAL, self.connections.closed()).await;
                        self.connections.close_idle(HANDOVER_IDLE_TIMEOUT);
                    }
                    return;
                }
                stream = self.connections.accept(&listener) => self.clone().serve_client(stream),
            }
        }
        // Connections that the kernel has already accepted are served too.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.clone().serve_client(stream);
        }
        drop(listener);
        // Guards the shutdown against clients that stall: once no request waits for its answer, writing the remaining
        // answers and reading the remaining bodies is bounded by this timeout.
        let mut last_active = Instant::now();
        while self.connections.count() > 0 && last_active.elapsed() < FINAL_DRAIN_TIMEOUT {
            let _ = timeout(SHUTDOWN_POLL_INTERVAL, self.connections.closed()).await;
            self.connections.close_idle(CLOSE_GRACE);
            if self.metrics.active() > 0 {
                last_active = Instant::now();
            }
        }
    }

    fn serve_client(self: Rc<Self>, stream: TcpStream) {
        let (client, connections) =
            (ClientConnection::new(IDLE_TIMEOUT, IDLE_TIMEOUT), self.connections.clone());
        let service = service_fn({
            let client = client.clone();
            move |request| {
                let (frontend, client) = (self.clone(), client.clone());
                async move {
                    let busy = client.request_started();
                    frontend.metrics.usage().request_received();
                    let body_deadline =
                        if client.has_been_answered() { Instant::now() } else { client.idle_since() }
                            + IDLE_TIMEOUT;
                    let mut response = frontend.answer(request, body_deadline, &client).await;
                    response.body_mut().guard.busy = Some(busy);
                    Ok::<_, Infallible>(response)
                }
            }
        });
        connections.serve(stream, client, READ_BUFFER_BYTES, service);
    }

    /// Produces the answer to a request.
    async fn answer(
        &self, request: Request<Incoming>, body_deadline: Instant, client: &ClientConnection,
    ) -> ClientResponse {
        let mut response = if request.uri().path() == "/up" {
            self.health(request.method())
        } else {
            match self.receive(request, body_deadline).await {
                Ok(parsed) => {
                    let (rest, class) = (parsed.rest.clone(), parsed.class.clone());
                    let response = self.process(parsed, client.read_at()).await;
                    client.answer_started(class);
                    if let Some(rest) = rest {
                        spawn(rest.drain_when_unshared());
                    }
                    response
                }
                Err(rejection) => reject(rejection),
            }
        };
        // Moves clients to another gateway, or makes room for other clients here.
        if self.draining() || self.connections.is_full() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Health check: whether new clients should use this gateway.
    fn health(&self, method: &Method) -> ClientResponse {
        match *method {
            Method::GET | Method::HEAD if self.is_lame_duck() || self.shutting_down.get() => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "sending clients away\n")
            }
            Method::GET | Method::HEAD => text_response(StatusCode::OK, "up\n"),
            _ => reject(Rejection::Malformed("method")),
        }
    }

    /// Receives a request whole, or with the start of a long body.
    async fn receive(
        &self, request: Request<Incoming>, body_deadline: Instant,
    ) -> Result<ParsedRequest, Rejection> {
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().ok_or(Rejection::NotFound)?.clone();
        let mut parsed = self.parse_head(head.method, target, &head.headers)?;
        if body.is_end_stream() {
            return Ok(parsed);
        }
        let started = Instant::now();
        if parsed.method == Method::GET {
            return Err(Rejection::Malformed("a body where none belongs"));
        }
        if body.size_hint().lower() > MAX_REQUEST_BODY {
            return Err(Rejection::TooLarge);
        }
        let mut body = ClientBody::new(body, body_deadline.max(Instant::now() + BODY_START_TIMEOUT));
        let mut start = BytesMut::new();
        while let Some(bytes) = body.next_bytes().await {
            start.extend_from_slice(&bytes.map_err(|error| match error {
                BodyError::TooLarge => Rejection::TooLarge,
                BodyError::TooSlow => Rejection::TooSlow,
                BodyError::Broken => Rejection::Malformed("body"),
            })?);
            if start.len() > MAX_BUFFERED_BODY && !body.is_at_end() {
                parsed.rest = Some(Upload::new(body));
                break;
            }
        }
        parsed.body = start.freeze();
        self.metrics.record_stage(&parsed.class, Stage::Body, started.elapsed());
        Ok(parsed)
    }

    fn parse_head(
        &self, method: Method, target: PathAndQuery, headers: &HeaderMap,
    ) -> Result<ParsedRequest, Rejection> {
        let first = target.path().strip_prefix('/').and_then(|p| p.split('/').next());
        let class = first.filter(|c| !c.is_empty()).ok_or(Rejection::NotFound)?;
        let class = self.classes.iter().find(|(name, _)| **name == *class);
        let (class, idempotency) = class.cloned().ok_or(Rejection::Malformed("class"))?;
        let idempotency_key = single_header(headers, "idempotency-key")?;
        let fits = match idempotency {
            Idempotency::Safe => method == Method::GET && idempotency_key.is_none(),
            Idempotency::Keyed => method == Method::POST && idempotency_key.is_some_and(|k| !k.is_empty()),
            Idempotency::Unsafe => method == Method::POST && idempotency_key.is_none(),
        };
        if !fits {
            return Err(Rejection::Malformed("method or Idempotency-Key, for this class"));
        }
        let id = single_header(headers, "req-id")?
            .filter(|id| is_id(id.as_bytes()))
            .ok_or(Rejection::Malformed("Req-Id"))?;
        let plan = header_text(headers, "api-plan")?.ok_or(Rejection::Malformed("Api-Plan"))?;
        let plan = self.plans.iter().find(|p| ***p == *plan).ok_or(Rejection::Malformed("Api-Plan"))?.clone();
        let customer = header_text(headers, "api-customer")?
            .filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()))
            .filter(|c| u64::from_str_radix(c, 16).is_ok_and(|n| n < 1 << 33))
            .ok_or(Rejection::Malformed("Api-Customer"))?;
        // Hex digits in upper and lower case name the same customer, who would otherwise have several quotas.
        let customer = Name::from(customer.to_ascii_lowercase());
        let client_timeout = header_text(headers, "req-deadline-ms")?
            .filter(|t| t.bytes().all(|b| b.is_ascii_digit()))
            .and_then(|t| t.parse::<u64>().ok())
            .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms))
            .ok_or(Rejection::Malformed("Req-Deadline-Ms"))?;
        let client_timeout = Duration::from_millis(client_timeout);
        let repeat = match header_text(headers, "req-retry")? {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(Rejection::Malformed("Req-Retry")),
        };
        let terms = header_text(headers, "api-terms")?.ok_or(Rejection::Malformed("Api-Terms"))?;
        let (units, spread, first) = self.terms(terms).ok_or(Rejection::Malformed("Api-Terms"))?;
        let (content_type, idempotency_key) = (headers.get(CONTENT_TYPE).cloned(), idempotency_key.cloned());
        let (body, rest, id) = (Bytes::new(), None, id.clone());
        Ok(ParsedRequest {
            class,
            plan,
            customer,
            units,
            spread,
            first,
            repeat,
            client_timeout,
            method,
            target,
            id,
            idempotency_key,
            content_type,
            body,
            rest,
        })
    }

    /// Parses `units=2,spread=3,first=1`; `units` defaults to 1.
    fn terms(&self, text: &str) -> Option<(f64, u32, u32)> {
        let (mut units, mut spread, mut first) = (1.0, None, None);
        for pair in text.split(',') {
            match pair.trim().split_once('=')? {
                ("units", value) => units = value.parse::<f64>().ok()?,
                ("spread", value) => spread = Some(value.parse().ok()?),
                ("first", value) => first = Some(value.parse().ok()?),
                _ => {}
            }
        }
        let max = if self.max_units > 0.0 { self.max_units } else { f64::MAX };
        (units > 0.0 && units <= max).then_some((units, spread.filter(|s| *s > 0)?, first?))
    }

    /// Submits a request, whose last byte was read at `read_at`, to the decision engine and awaits the answer.
    async fn process(&self, parsed: ParsedRequest, read_at: Instant) -> ClientResponse {
        let ParsedRequest { class, plan, customer, units, spread, first, repeat, client_timeout, .. } =
            parsed;
        let ParsedRequest { method, target, id, idempotency_key, content_type, body, rest, .. } = parsed;
        let budget = Budget::on_arrival(read_at, client_timeout, self.engine.event_loop_lag());
        let forwarded = ForwardedRequest {
            head: RequestHead { method, target, id, idempotency_key, content_type },
            body,
            rest,
            budget,
        };
        let active = self.metrics.start_request(&class);
        let upload = if forwarded.rest.is_some() { MAX_UPLOAD_TIME } else { Duration::ZERO };
        let deadline = self.engine.timestamp(forwarded.budget.deadline() + upload);
        let arrival =
            |id| Arrival { id, customer, plan, class, units, repeat, deadline, first_gateway: first, spread };
        let (id, reply) = self.engine.submit(arrival, forwarded.clone(), u32::MAX);
        let request_guard = RequestGuard::new(self.engine.clone(), id);
        // Guarantees a final answer in time even if the decision engine were to lose a request.
        let reply = tokio::select! {
            biased;
            reply = reply => reply.ok(),
            () = forwarded.expired(None, forwarded.budget.grace()) => None,
        };
        let reply = reply.unwrap_or(Reply::Failed(true));
        match reply {
            Reply::Served(Answer { headers, body: Payload::Stream(stream), .. }) => {
                // The request stays active until the client has received the whole body or has left.
                let guard = ResponseGuard { busy: None, streamed: Some((active, request_guard)) };
                let mut response = Response::new(AnswerBody::stream(stream, guard));
                *response.headers_mut() = headers;
                response
            }
            Reply::Served(Answer { headers, body: Payload::Whole(body), .. }) => {
                active.finish(RequestResult::Served);
                let mut response = Response::new(AnswerBody::whole(body, ResponseGuard::default()));
                *response.headers_mut() = headers;
                response
            }
            Reply::Refused { retry_after, .. } => {
                active.finish(RequestResult::Refused);
                let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "refused, try again later\n");
                if let Ok(retry_after) = HeaderValue::from_str(&format!("{:.3}", retry_after / 1000.0)) {
                    response.headers_mut().insert(RETRY_AFTER, retry_after);
                }
                response
            }
            Reply::Failed(timed_out) => {
                active.finish(RequestResult::Failed);
                match forwarded.rest.as_ref().and_then(|rest| rest.error()) {
                    Some(BodyError::TooLarge) => reject(Rejection::TooLarge),
                    Some(BodyError::TooSlow) => reject(Rejection::TooSlow),
                    _ if timed_out => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
                    _ => text_response(StatusCode::BAD_GATEWAY, "failed\n"),
                }
            }
        }
    }
}

/// The value of a header that may occur only once: duplicates could be interpreted differently by other parties.
fn single_header<'a>(
    headers: &'a HeaderMap, name: &'static str,
) -> Result<Option<&'a HeaderValue>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(Rejection::Malformed(name)) } else { Ok(value) }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Rejection> {
    single_header(headers, name)?
        .map(|value| value.to_str().map_err(|_| Rejection::Malformed(name)))
        .transpose()
}

fn is_id(text: &[u8]) -> bool {
    (1..=64).contains(&text.len()) && text.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(b))
}

fn reject(rejection: Rejection) -> ClientResponse {
    match rejection {
        Rejection::NotFound => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        Rejection::TooLarge => text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
        Rejection::TooSlow => text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"),
        Rejection::Malformed(what) => {
            let mut response = text_response(StatusCode::BAD_REQUEST, "");
            *response.body_mut() =
                AnswerBody::whole(format!("unusable: {what}\n").into(), ResponseGuard::default());
            response
        }
    }
}

fn text_response(status: StatusCode, text: &'static str) -> ClientResponse {
    let mut response =
        Response::new(AnswerBody::whole(Bytes::from_static(text.as_bytes()), ResponseGuard::default()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
