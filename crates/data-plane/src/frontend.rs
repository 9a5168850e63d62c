//! The client side: accepts connections, applies admission, forwards requests through the engines, writes the answers,
//! and drains connections at shutdown.
//!
//! Admission takes one unit of the tenant's quota for each request. A route's latency goal is the configured response
//! time up to which an answer has its full value for the client.

use crate::backend_protocol::BackendProtocol;
use crate::data_plane::{DataPlane, PLAN_NAME, Service};
use crate::headers::ATTEMPT_ID;
use crate::headers::KEEP_ALIVE;
use crate::recorder::{RequestOutcome, RequestTracker};
use crate::routing::{Rejection, RoutedRequest};
use crate::{Admission, AdmissionDecision, GatewayConfig};
use bytes::{Bytes, BytesMut};
use config::Route;
use doorcourse::{Arrival, Name, RequestId};
use http_proxy::clients::{self, CLOSE_GRACE, ClientConnection, ClientConnections};
use http_proxy::engine::{Engine, Reply, RequestGuard};
use http_proxy::observe::metrics::{Metrics, RequestResult};
use http_proxy::pool::{Answer, ForwardedRequest, Payload, spawn};
use http_proxy::time::budget::Budget;
use http_proxy::time::clock::to_duration;
use http_proxy::wire::body::{AnswerBody, BodyError, ClientBody, Upload};
use http_proxy::wire::connection::set_user_timeout;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Bodies of up to this many bytes are buffered whole, so that they can be sent again.
const MAX_BUFFERED_BODY: usize = 256 * 1024;
/// A client whose machine acknowledges no data for this long is considered dead.
const CLIENT_DEAD_AFTER: Duration = Duration::from_secs(10);
/// A request waits for a unit of its tenant's quota for at most this share of the route's latency goal.
const QUOTA_WAIT_RATIO: f64 = 0.12;
/// A request waits for a backend with free capacity until this share of the route's latency goal has passed since its
/// arrival. A refusal that reaches the client later than a quarter of the goal counts against the service level.
const CAPACITY_WAIT_RATIO: f64 = 0.2;
/// The range of the retry delay after a refusal for lack of capacity, as shares of the route's latency goal.
const RETRY_AFTER_GOAL_RATIO: (f64, f64) = (0.2, 0.6);
/// The longest retry delay after a refusal for lack of capacity, as a share of the request's timeout at its arrival.
/// Clients honour `Retry-After` only up to a third of the time until their deadline.
const MAX_RETRY_AFTER_TIMEOUT_RATIO: f64 = 0.33;
/// How long a request waits for the first configuration. A process that has just started receives the configuration
/// within moments if there is a leader. A refusal after more than a quarter of the route's goal counts against the
/// service level; the goal is not known at that point, but few goals are shorter than four times this value.
const CONFIG_WAIT: Duration = Duration::from_millis(100);
/// The range of the retry delay while there is no configuration. If all processes were down, a leader has to be elected
/// first, and clients give up after a few retries.
const UNCONFIGURED_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(500));
/// The retry delay if the decision on a quota unit does not arrive in time.
const QUOTA_TIMEOUT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The minimum and maximum size of a read buffer, in bytes. `max_header_bytes` is clamped to this range, as the buffer
/// holds the head of one request.
const READ_BUFFER_BYTES: (u64, u64) = (8 * 1024, 256 * 1024);
/// The idle timeout and the header timeout of a client connection before the first configuration.
const UNCONFIGURED_TIMEOUT: Duration = Duration::from_secs(3);
/// The upper limit of configured timeouts. A longer timeout has no practical effect.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// The `Keep-Alive` timeout announced to clients is shorter than the actual idle timeout by this many seconds.
const KEEP_ALIVE_MARGIN_SECS: u64 = 1;
/// How often idle connections are closed during shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The part of the grace period that is reserved for writing the last answers.
const FINAL_ANSWER_RESERVE: Duration = Duration::from_millis(300);
/// How long connections may stay open after the last answer before the shutdown completes anyway.
const IDLE_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Kept until an answer has been written completely.
pub type ResponseGuard = clients::ResponseGuard<BackendProtocol>;
type ClientResponse = Response<AnswerBody<ResponseGuard>>;

/// Accepts client connections and forwards their requests.
pub struct Frontend {
    connections: Rc<ClientConnections>,
    rng_state: Cell<u64>,
    plan: Name,
}

impl Frontend {
    pub fn new(max_clients: usize, seed: u64, figures: Rc<Metrics>) -> Self {
        Self {
            connections: ClientConnections::new(max_clients, figures),
            rng_state: Cell::new(seed),
            plan: PLAN_NAME.into(),
        }
    }

    /// A pseudo-random number from 0 up to, but not including, 1.
    fn random_fraction(&self) -> f64 {
        let mut x = self.rng_state.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.rng_state.set(x);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Serves clients until `end` resolves, and then until the open requests are answered.
    pub async fn serve(data_plane: &Rc<DataPlane>, listener: TcpListener, end: impl Future<Output = ()>) {
        let connections = data_plane.frontend().connections.clone();
        let shutdown = async {
            end.await;
            let (settings, now) = (data_plane.settings(), Instant::now());
            let deadline = now + settings.grace_period - FINAL_ANSWER_RESERVE.min(settings.grace_period / 4);
            let delay = settings.shutdown_delay.min(settings.grace_period / 2);
            data_plane.begin_shutdown(deadline);
            data_plane.recorder().record_event(
                "end",
                format_args!("shutting down: accepting clients for another {} ms", delay.as_millis()),
            );
            // The platform sends clients here until two readiness checks have failed. Connections that are idle for
            // half of the delay are closed, as their clients may never use them again.
            sleep(delay / 2).await;
            connections.close_idle(delay / 2);
            sleep(delay / 2).await;
            connections.close_idle(Duration::ZERO);
            deadline
        };
        let mut shutdown = pin!(shutdown);
        let deadline = loop {
            tokio::select! {
                deadline = shutdown.as_mut() => break deadline,
                stream = connections.accept(&listener) => serve_connection(data_plane, stream),
            }
        };
        // Connections that the kernel has already accepted are served too.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            serve_connection(data_plane, stream);
        }
        drop(listener);
        let mut last_active = Instant::now();
        while connections.count() > 0
            && last_active.elapsed() < IDLE_SHUTDOWN_TIMEOUT
            && Instant::now() < deadline + FINAL_ANSWER_RESERVE / 2
        {
            let _ = timeout(SHUTDOWN_POLL_INTERVAL, connections.closed()).await;
            connections.close_idle(CLOSE_GRACE);
            if data_plane.active_requests() > 0 {
                last_active = Instant::now();
            }
        }
        data_plane.recorder().record_event(
            "end",
            format_args!("shutdown complete, {} client connections still open", connections.count()),
        );
    }
}

/// Serves the requests of a client connection in a task of its own.
fn serve_connection(data_plane: &Rc<DataPlane>, stream: TcpStream) {
    let config = data_plane.config();
    let limits = config.as_ref().map(|config| &config.limits);
    let (idle, head) =
        limits.map_or((UNCONFIGURED_TIMEOUT, UNCONFIGURED_TIMEOUT), |l| (l.idle_timeout, l.header_wait));
    let (idle, head) = (idle.min(MAX_TIMEOUT), head.min(MAX_TIMEOUT));
    let buffer = limits
        .map_or(READ_BUFFER_BYTES.0, |l| l.max_header_bytes)
        .clamp(READ_BUFFER_BYTES.0, READ_BUFFER_BYTES.1) as usize;
    let keep_alive = idle.as_secs().saturating_sub(KEEP_ALIVE_MARGIN_SECS);
    let keep_alive =
        (keep_alive > 0).then(|| HeaderValue::from_str(&format!("timeout={keep_alive}")).ok()).flatten();
    set_user_timeout(&stream, CLIENT_DEAD_AFTER);
    let (client_connection, connections) =
        (ClientConnection::new(idle, head), data_plane.frontend().connections.clone());
    let service = service_fn({
        let (data_plane, client_connection) = (data_plane.clone(), client_connection.clone());
        move |request| {
            let (data_plane, client_connection, keep_alive) =
                (data_plane.clone(), client_connection.clone(), keep_alive.clone());
            async move {
                let busy = client_connection.request_started();
                let arrived = client_connection.read_at();
                data_plane.figures().usage().request_received();
                let mut response = data_plane.handle(request, arrived).await;
                let headers = response.headers_mut();
                // Closing makes the client reconnect, to another gateway during a shutdown, or frees a place here.
                if data_plane.is_shutting_down() || data_plane.frontend().connections.is_full() {
                    headers.insert(CONNECTION, HeaderValue::from_static("close"));
                } else if let Some(keep_alive) = keep_alive.filter(|_| !headers.contains_key(CONNECTION)) {
                    headers.insert(KEEP_ALIVE, keep_alive);
                }
                response.body_mut().guard.busy = Some(busy);
                Ok::<_, Infallible>(response)
            }
        }
    });
    connections.serve(stream, client_connection, buffer, service);
}

impl DataPlane {
    /// Handles a request whose head was received at `arrived`.
    async fn handle(&self, request: Request<Incoming>, arrived: Instant) -> ClientResponse {
        let mut tracker = RequestTracker::new(self, arrived, request.headers().get(ATTEMPT_ID).cloned());
        let result = self.process(request, arrived, &mut tracker).await;
        let outcome = result.as_ref().err().map(RequestOutcome::from);
        let response = result
            .unwrap_or_else(|rejection| rejection_response(rejection, self.frontend().random_fraction()));
        tracker.finish(response.status().as_u16(), outcome);
        response
    }

    /// Parses and admits a request, and forwards the request to a backend.
    async fn process(
        &self, request: Request<Incoming>, arrived: Instant, tracker: &mut RequestTracker<'_>,
    ) -> Result<ClientResponse, Rejection> {
        let (head, body) = request.into_parts();
        let accepts_chunked = head.version >= Version::HTTP_11;
        let config = match self.config() {
            None => self.wait_for_config(CONFIG_WAIT).await,
            config => config,
        };
        let routed = config
            .as_ref()
            .ok_or(Rejection::NotConfigured)
            .and_then(|config| RoutedRequest::from_head(config, head));
        // The body of a rejected request is read too, up to the limit for buffering. Closing a connection with unread
        // data would reset the connection, and the client would lose the answer.
        let body = match &config {
            _ if body.is_end_stream() => Ok((Bytes::new(), None)),
            Some(config) => read_body(body, config).await,
            None => Err(Rejection::NotConfigured),
        };
        let routed = routed?;
        tracker.request = Some(routed.request.clone());
        let (body, rest) = body?;
        let unit = match routed.tenant.filter(|tenant| tenant.rate_per_s > 0.0) {
            Some(tenant) => {
                Some(self.admit(&tenant.label, routed.route.goal).await.map_err(Rejection::QuotaExhausted)?)
            }
            None => None,
        };
        let response = self.forward(&routed, body, rest.clone(), arrived, unit, tracker).await;
        rest.into_iter().for_each(|rest| spawn(rest.drain_when_unshared()));
        let response = response?;
        if accepts_chunked || response.body().size_hint().exact().is_some() {
            return Ok(response);
        }
        // To an HTTP/1.0 client, an answer without a length ends with the connection, so that a truncated answer would
        // look complete.
        tracker.outcome = Some(RequestOutcome::NoAnswer);
        Ok(plain_text(StatusCode::BAD_GATEWAY, "the answer has no length\n"))
    }

    /// Waits for a unit of the tenant's quota. Fails with the time after which to retry.
    async fn admit(&self, tenant: &Name, goal: Duration) -> Result<QuotaUnit, Duration> {
        let wait = goal.mul_f64(QUOTA_WAIT_RATIO);
        match self.admission().acquire(tenant, wait) {
            AdmissionDecision::Granted => {}
            AdmissionDecision::Refused { retry_after } => return Err(retry_after),
            // The host decides within `wait`; the timeout guards against a host that does not.
            AdmissionDecision::Pending(unit) => match timeout(wait * 2, unit).await {
                Ok(Ok(unit)) => unit?,
                Ok(Err(_)) | Err(_) => return Err(QUOTA_TIMEOUT_RETRY_AFTER),
            },
        }
        Ok(QuotaUnit { admission: self.admission().clone(), tenant: tenant.clone(), request: None })
    }

    /// Picks one of the route's services at random by their shares, out of the services with serving backends.
    fn pick_service(&self, route: &Route) -> Option<Rc<Service>> {
        let serving = |name: &str| route.targets.len() == 1 || self.has_serving_backend(name);
        let targets = route.targets.iter().filter(|(name, share)| *share > 0 && serving(name));
        let sum: f64 = targets.clone().map(|(_, share)| f64::from(*share)).sum();
        let mut point = if route.targets.len() > 1 { self.frontend().random_fraction() * sum } else { 0.0 };
        for (name, share) in targets {
            point -= f64::from(*share);
            if point < 0.0 {
                return self.service(name).filter(|_| self.has_serving_backend(name));
            }
        }
        None
    }

    /// The retry delay after a refusal for lack of capacity.
    fn retry_after(&self, routed: &RoutedRequest<'_>) -> Duration {
        let share = RETRY_AFTER_GOAL_RATIO.0
            + (RETRY_AFTER_GOAL_RATIO.1 - RETRY_AFTER_GOAL_RATIO.0) * self.frontend().random_fraction();
        routed.route.goal.mul_f64(share).min(routed.timeout.mul_f64(MAX_RETRY_AFTER_TIMEOUT_RATIO))
    }

    /// Sends a request through the engine to a backend and waits for the answer.
    async fn forward(
        &self, routed: &RoutedRequest<'_>, body: Bytes, rest: Option<Rc<Upload>>, arrived: Instant,
        unit: Option<QuotaUnit>, tracker: &mut RequestTracker<'_>,
    ) -> Result<ClientResponse, Rejection> {
        let route = routed.route;
        let Some(service) = self.pick_service(route) else {
            return Err(Rejection::NoCapacity(self.retry_after(routed)));
        };
        tracker.service = Some(service.clone());
        let engine = &service.engine;
        let class = service.class(route.pure, route.goal, routed.rank());
        let budget = Budget::on_arrival(arrived, routed.timeout, engine.event_loop_lag());
        let message = ForwardedRequest { head: routed.request.clone(), body, rest, budget };
        let active = self.figures().start_request(&class);
        let plan = &self.frontend().plan;
        let (customer, plan, deadline) = (plan.clone(), plan.clone(), engine.timestamp(budget.deadline()));
        let arrival = |id| Arrival {
            id,
            customer,
            plan,
            class,
            units: 1.0,
            repeat: false,
            deadline,
            first_gateway: 0,
            spread: 1,
        };
        let (id, reply) = engine.submit(arrival, message.clone(), route.max_tries);
        let waiting = RequestGuard::new(engine.clone(), id);
        // Locals drop in reverse order: the unit drops before `waiting` withdraws the request, while the engine still
        // knows whether the request was sent.
        let mut unit = unit;
        unit.iter_mut().for_each(|unit| unit.request = Some((engine.clone(), id)));
        let mut reply = pin!(reply);
        let capacity_deadline = arrived + route.goal.mul_f64(CAPACITY_WAIT_RATIO);
        let mut unsent = engine.is_unsent(id);
        // The timer guarantees a final answer in time even if the engine loses the request.
        let reply = loop {
            tokio::select! {
                biased;
                reply = reply.as_mut() => break reply.unwrap_or(Reply::Failed(true)),
                () = sleep_until(capacity_deadline), if unsent => {
                    unsent = false;
                    if engine.is_unsent(id) {
                        break Reply::Refused { retry_after: 0.0, may_have_run: false };
                    }
                }
                () = message.expired(None, budget.grace()) => {
                    let unsent = engine.is_unsent(id);
                    break if unsent {
                        Reply::Refused { retry_after: 0.0, may_have_run: false }
                    } else {
                        Reply::Failed(true)
                    };
                }
            }
        };
        match reply {
            Reply::Served(Answer { status, headers, body }) => {
                let mut response = Response::new(match body {
                    // The request ends when the client has received the whole answer or disconnects.
                    Payload::Stream(stream) => AnswerBody::stream(
                        stream,
                        ResponseGuard { busy: None, streamed: Some((active, waiting)) },
                    ),
                    Payload::Whole(body) => {
                        active.finish(RequestResult::Served);
                        AnswerBody::whole(body, ResponseGuard::default())
                    }
                });
                (*response.status_mut(), *response.headers_mut()) = (status, headers);
                Ok(response)
            }
            Reply::Refused { may_have_run: false, retry_after: wait } => {
                active.finish(RequestResult::Refused);
                unit.iter_mut().for_each(|unit| unit.request = None);
                // The engine suggests a shorter delay if a retry can succeed at once; the shorter delay wins.
                let retry_after = self.retry_after(routed);
                Err(Rejection::NoCapacity(if wait > 0.0 {
                    retry_after.min(to_duration(wait))
                } else {
                    retry_after
                }))
            }
            // A request that may have run must not get status 429 or 503, which promise that it did not run.
            Reply::Refused { .. } | Reply::Failed(false) => {
                active.finish(RequestResult::Failed);
                match message.rest.as_ref().and_then(|rest| rest.error()) {
                    Some(BodyError::TooLarge) => Err(Rejection::BodyTooLarge),
                    Some(BodyError::Broken | BodyError::TooSlow) => {
                        Err(Rejection::Malformed("the body broke off"))
                    }
                    None => {
                        tracker.outcome = Some(RequestOutcome::NoAnswer);
                        Ok(plain_text(StatusCode::BAD_GATEWAY, "the backend's answer did not come\n"))
                    }
                }
            }
            Reply::Failed(true) => {
                active.finish(RequestResult::Failed);
                tracker.outcome = Some(RequestOutcome::DeadlineExceeded);
                Ok(plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"))
            }
        }
    }
}

/// A unit of a tenant's quota. If dropped before its request was sent, for example because the client disconnected,
/// the unit is refunded.
struct QuotaUnit {
    admission: Rc<dyn Admission>,
    tenant: Name,
    /// The request and its engine, once the engine may send the request.
    request: Option<(Rc<Engine<BackendProtocol>>, RequestId)>,
}

impl Drop for QuotaUnit {
    fn drop(&mut self) {
        if self.request.as_ref().is_none_or(|(engine, id)| engine.is_unsent(*id)) {
            self.admission.refund(&self.tenant);
        }
    }
}

/// Reads a body whole, or the start of a body that is too long to be buffered.
async fn read_body(body: Incoming, config: &GatewayConfig) -> Result<(Bytes, Option<Rc<Upload>>), Rejection> {
    let limits = &config.limits;
    if body.size_hint().lower() > limits.max_body_bytes {
        return Err(Rejection::BodyTooLarge);
    }
    let mut start = BytesMut::with_capacity(body.size_hint().lower().min(MAX_BUFFERED_BODY as u64) as usize);
    let mut body = ClientBody::new(body, Instant::now() + limits.header_wait.min(MAX_TIMEOUT))
        .with_max_bytes(limits.max_body_bytes);
    while let Some(bytes) = body.next_bytes().await {
        start.extend_from_slice(&bytes.map_err(|cut| match cut {
            BodyError::TooLarge => Rejection::BodyTooLarge,
            BodyError::TooSlow => Rejection::BodyTimeout,
            BodyError::Broken => Rejection::Malformed("the body broke off"),
        })?);
        if start.len() > MAX_BUFFERED_BODY && !body.is_at_end() {
            return Ok((start.freeze(), Some(Upload::new(body))));
        }
    }
    Ok((start.freeze(), None))
}

/// The answer to a request that did not run. `spread`, from 0 to 1, spreads the retries of requests that fail together.
fn rejection_response(rejection: Rejection, spread: f64) -> ClientResponse {
    let (mut response, wait, close) = match rejection {
        Rejection::NotConfigured => {
            let wait = UNCONFIGURED_RETRY_AFTER.0
                + (UNCONFIGURED_RETRY_AFTER.1 - UNCONFIGURED_RETRY_AFTER.0).mul_f64(spread);
            (plain_text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"), Some(wait), true)
        }
        Rejection::Malformed(reason) => (plain_text(StatusCode::BAD_REQUEST, reason), None, true),
        Rejection::NoRoute => (plain_text(StatusCode::NOT_FOUND, "no such route\n"), None, false),
        Rejection::Unauthenticated => (plain_text(StatusCode::UNAUTHORIZED, "no known key\n"), None, false),
        Rejection::BodyTooLarge => {
            (plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"), None, true)
        }
        Rejection::BodyTimeout => {
            (plain_text(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"), None, true)
        }
        Rejection::QuotaExhausted(wait) => {
            (plain_text(StatusCode::TOO_MANY_REQUESTS, "the quota is used up\n"), Some(wait), false)
        }
        Rejection::NoCapacity(wait) => {
            (plain_text(StatusCode::SERVICE_UNAVAILABLE, "no room\n"), Some(wait), false)
        }
    };
    let headers = response.headers_mut();
    if let Some(wait) = wait.and_then(|w| HeaderValue::from_str(&format!("{:.3}", w.as_secs_f64())).ok()) {
        headers.insert(RETRY_AFTER, wait);
    }
    if close {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// An answer with a plain text body.
fn plain_text(status: StatusCode, text: &'static str) -> ClientResponse {
    let mut response =
        Response::new(AnswerBody::whole(Bytes::from_static(text.as_bytes()), ResponseGuard::default()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
