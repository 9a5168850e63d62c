//! The clients' side: takes requests in, reads their headers, writes their answers, drains at the end.

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

/// No client waits longer than this; who claims so is not believed.
const MAX_DEADLINE_MS: u64 = 600_000;
/// A connection may stand idle, or be in the middle of the head of its first request, for this long, and of a later
/// one for as long again: a peer that sends nothing proper is owed an error or the close within 3 s, and no idle
/// connection may be closed within 2.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2300);
/// The first bytes of a body whose head came late in that time have this long all the same.
const BODY_START_TIMEOUT: Duration = Duration::from_millis(600);
/// A client's patience begins with the last byte of its request. The decisions are asked before a long body is here:
/// they are told of a deadline so much later, which is what the slowest client needs for the longest body.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(600);
/// After the signal to end new connections are taken for this long. Halfway idle ones are closed, and so are those
/// idle for half of it while clients are sent away ...
const SHUTDOWN_DELAY: Duration = Duration::from_millis(500);
/// ... which is looked after this often.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Clients that another process takes over may keep an idle connection for this long.
const HANDOVER_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// After the last final answer connections have this long to be done with.
const FINAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Of the time that the process has to end in, what is kept for the last answers, at most this share.
const FINAL_ANSWER_RESERVE: Duration = Duration::from_millis(300);
const FINAL_ANSWER_RESERVE_RATIO: f64 = 0.25;
/// Read buffers hold one request's headers.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A request that is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejection {
    /// There is no such path.
    NotFound,
    /// Something in it is missing, malformed or absurd.
    Malformed(&'static str),
    /// The body is too large.
    TooLarge,
    /// The body did not come in time.
    TooSlow,
}

/// What a request says of itself.
struct ParsedRequest {
    class: Name,
    plan: Name,
    customer: Name,
    units: f64,
    spread: u32,
    first: u32,
    repeat: bool,
    patience: Duration,
    method: Method,
    target: PathAndQuery,
    id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    content_type: Option<HeaderValue>,
    body: Bytes,
    rest: Option<Rc<Upload>>,
}

/// The front side of one gateway.
pub struct Frontend {
    engine: Rc<Engine>,
    classes: Vec<(Name, Idempotency)>,
    plans: Vec<Name>,
    max_units: f64,
    grace: Duration,
    connections: Rc<ClientConnections>,
    metrics: Rc<Metrics>,
    /// Operators send clients away; the process is about to end.
    lame_duck: watch::Sender<bool>,
    shutting_down: Cell<bool>,
    /// Clients are being served; another process takes the new ones from now on.
    serving: Cell<bool>,
    handed_over: Cell<bool>,
    hand_over: Notify,
}

type ResponseGuard = http_proxy::clients::ResponseGuard<BackendProtocol>;
type ClientResponse = Response<AnswerBody<ResponseGuard>>;

impl Frontend {
    /// A front side that takes at most `most_clients` connections at once.
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

    /// Sends clients away or takes them again: the process keeps running either way.
    pub fn set_lame_duck(&self, on: bool) {
        self.lame_duck.send_replace(on);
    }

    /// Whether clients are sent away.
    pub fn is_lame_duck(&self) -> bool {
        *self.lame_duck.borrow()
    }

    /// Whether new clients are taken by this process.
    pub fn is_ready(&self) -> bool {
        self.serving.get() && !self.shutting_down.get() && !self.handed_over.get()
    }

    /// Takes no new clients any more: another process of this gateway does, at the same listener. Gives the number
    /// of those that are still here.
    pub fn hand_over(&self) -> usize {
        self.handed_over.set(true);
        self.hand_over.notify_one();
        self.connections.count()
    }

    /// Takes no more than this many clients at once from now on.
    pub fn set_max_clients(&self, max_clients: usize) {
        self.connections.set_max_clients(max_clients);
    }

    /// Whether clients ought to come on other connections.
    fn draining(&self) -> bool {
        self.is_lame_duck() || self.shutting_down.get() || self.handed_over.get()
    }

    /// While operators send clients away, closes on those that keep a connection and ask nothing, for ever.
    async fn close_idle_while_lame_duck(self: Rc<Self>) {
        let mut lame_duck = self.lame_duck.subscribe();
        while lame_duck.wait_for(|on| *on).await.map(drop).is_ok() {
            self.connections.close_idle(SHUTDOWN_DELAY / 2);
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }

    /// Serves clients until `end` resolves or another process takes over, then lets those finish that are there.
    /// Returns when the last one has gone.
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
            // Guards requests that cross the close of an idle connection: these are sent once more on a new
            // one, so new ones must still be taken.
            self.connections.close_idle(Duration::ZERO);
            sleep(SHUTDOWN_DELAY / 2).await;
        };
        let mut shutdown = pin!(shutdown);
        loop {
            tokio::select! {
                () = shutdown.as_mut() => break,
                () = self.hand_over.notified() => {
                    drop(listener);
                    // Each leaves with its next answer, as nobody reads what crosses a close; the others when they
                    // have been idle for long.
                    while self.connections.count() > 0 {
                        let _ = timeout(SHUTDOWN_POLL_INTERVAL, self.connections.closed()).await;
                        self.connections.close_idle(HANDOVER_IDLE_TIMEOUT);
                    }
                    return;
                }
                stream = self.connections.accept(&listener) => self.clone().serve_client(stream),
            }
        }
        // What the machine has accepted for us already is ours to answer.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.clone().serve_client(stream);
        }
        drop(listener);
        // Guards the end against clients that stop half-way: once nothing that was taken waits for its answer,
        // the last answers and the last bodies have this long.
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

    /// The one answer to a request.
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
        // So that clients find another gateway, or make room for others here.
        if self.draining() || self.connections.is_full() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Whether new clients should come here.
    fn health(&self, method: &Method) -> ClientResponse {
        match *method {
            Method::GET | Method::HEAD if self.is_lame_duck() || self.shutting_down.get() => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "sending clients away\n")
            }
            Method::GET | Method::HEAD => text_response(StatusCode::OK, "up\n"),
            _ => reject(Rejection::Malformed("method")),
        }
    }

    /// Reads a request whole, or with the start of a long body.
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
        // One customer, one name: its quota does not double with the case of its digits.
        let customer = Name::from(customer.to_ascii_lowercase());
        let patience = header_text(headers, "req-deadline-ms")?
            .filter(|t| t.bytes().all(|b| b.is_ascii_digit()))
            .and_then(|t| t.parse::<u64>().ok())
            .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms))
            .ok_or(Rejection::Malformed("Req-Deadline-Ms"))?;
        let patience = Duration::from_millis(patience);
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
            patience,
            method,
            target,
            id,
            idempotency_key,
            content_type,
            body,
            rest,
        })
    }

    /// Reads `units=2,spread=3,first=1`; a request of no said units is one unit.
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

    /// Has the decisions answer a request whose last byte was read at this time.
    async fn process(&self, parsed: ParsedRequest, read_at: Instant) -> ClientResponse {
        let ParsedRequest { class, plan, customer, units, spread, first, repeat, patience, .. } = parsed;
        let ParsedRequest { method, target, id, idempotency_key, content_type, body, rest, .. } = parsed;
        let budget = Budget::on_arrival(read_at, patience, self.engine.event_loop_lag());
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
        // Guards the one final answer: should the decisions forget a request, it still gets one in time.
        let reply = tokio::select! {
            biased;
            reply = reply => reply.ok(),
            () = forwarded.expired(None, forwarded.budget.grace()) => None,
        };
        let reply = reply.unwrap_or(Reply::Failed(true));
        match reply {
            Reply::Served(Answer { headers, body: Payload::Stream(stream), .. }) => {
                // It has not ended yet, and ends when its client has it all, or leaves.
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

/// The only value of a header; a header given twice may be read differently by others.
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
