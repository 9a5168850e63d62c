//! The HTTP conventions between gateway and backends, and the interpretation of backend answers.
//!
//! A sealed answer carries a header by which the backend itself, and no intermediary, marks the answer as its own. An
//! answer also echoes the id of its request. A framed answer has a `Content-Length`, chunked encoding or no body.

use crate::headers::{
    ATTEMPT_ID, DEADLINE_LEFT, INSTANCE_ID, NOT_EXECUTED, SEAL, TARGET_INSTANCE, TENANT, keep_alive_timeout,
    strip_hop_by_hop,
};
use crate::recorder::{Attempt, Recorder};
use doorcourse::{LoadReport, Name, Outcome};
use http_proxy::pool::{Answer, AttemptResult, Payload, Protocol};
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::http::{request, response};
use hyper::{Method, Request, StatusCode};
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The gateway keeps an idle connection for at most this share of the backend's own idle timeout, so that the backend
/// does not close a connection while the gateway sends a request on it.
const IDLE_TIMEOUT_RATIO: f64 = 0.5;

/// The longest idle timeout of a connection to a backend, since unused connections cost both sides resources.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A client's request without its body.
pub struct ClientRequest {
    pub method: Method,
    pub target: PathAndQuery,
    /// The headers to forward, including the tenant's name.
    pub headers: HeaderMap,
    /// The attempt id, which answers have to echo.
    pub id: Option<HeaderValue>,
    /// The label of the route.
    pub route: Arc<str>,
    /// The label of the tenant.
    pub tenant: Option<Arc<str>>,
    /// The attempts so far. Empty if the first attempt was successful.
    pub attempts: RefCell<Vec<Attempt>>,
}

/// The dialect of HTTP that gateways and backends speak.
pub struct BackendProtocol {
    pub recorder: Rc<Recorder>,
    /// Called when a backend's address is answered by another instance.
    pub on_misdirected: Box<dyn Fn(&Name)>,
}

impl BackendProtocol {
    /// Whether the end of the answer's body is defined in exactly one way, or the answer has no body.
    fn is_framed(request: &ClientRequest, head: &response::Parts) -> bool {
        let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body || request.method == Method::HEAD {
            return true;
        }
        let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        match (codings.next(), codings.next()) {
            // The HTTP library rejects answers with differing `Content-Length` values.
            (None, _) => head.headers.contains_key(CONTENT_LENGTH),
            (Some(coding), None) => {
                coding.as_bytes().eq_ignore_ascii_case(b"chunked")
                    && !head.headers.contains_key(CONTENT_LENGTH)
            }
            (Some(_), Some(_)) => false,
        }
    }

    /// Whether the answer carries the id of the request and no other id.
    fn echoes_id(request: &ClientRequest, head: &response::Parts) -> bool {
        let mut ids = head.headers.get_all(ATTEMPT_ID).iter();
        ids.next() == request.id.as_ref() && ids.next().is_none()
    }

    /// Whether a successful answer was written by the backend itself and defines the end of its body.
    fn is_sealed_success(request: &ClientRequest, head: &response::Parts) -> bool {
        Self::is_framed(request, head)
            && head.headers.contains_key(SEAL)
            && !head.headers.contains_key(CONTENT_ENCODING)
            && !head.headers.contains_key(NOT_EXECUTED)
    }
}

impl Protocol for BackendProtocol {
    type RequestHead = Rc<ClientRequest>;

    /// How long a backend may be silent while it sends an answer. The value is long because the deadline of the request
    /// ends the wait, not the backend's silence.
    const ANSWER_STALL_TIMEOUT: Duration = Duration::from_secs(60);
    /// A backend may run a request although the gateway has written only a part of the request.
    const PARTIAL_REQUEST_MAY_RUN: bool = true;
    /// The kernel gives up a connection whose peer acknowledges no data for this long.
    const TCP_USER_TIMEOUT: Option<Duration> = Some(Duration::from_secs(4));
    /// A backend may answer a request twice, the second time late.
    const MAY_ANSWER_TWICE: bool = true;

    fn request(
        &self, request: &Rc<ClientRequest>, to: &Name, _: SocketAddr, left: Duration,
    ) -> request::Builder {
        let mut builder = Request::builder().method(request.method.clone()).uri(request.target.clone());
        if let Some(headers) = builder.headers_mut() {
            headers.clone_from(&request.headers);
            if let Ok(id) = HeaderValue::from_str(to) {
                headers.insert(TARGET_INSTANCE, id);
            }
            headers.insert(DEADLINE_LEFT, HeaderValue::from(left.as_millis() as u64));
        }
        builder
    }

    /// Whether an answer belongs to the request. An answer without an id may belong to another request, so that even a
    /// refusal without an id is not accepted. A request without an id accepts only failures without an id.
    fn matches_request(&self, request: &Rc<ClientRequest>, head: &response::Parts) -> bool {
        let is_valid = match head.status {
            // The request asked for no upgrade, so that an informational status cannot answer the request.
            status if status.is_informational() => false,
            status if status.is_success() => request.id.is_some() && Self::is_sealed_success(request, head),
            _ => true,
        };
        is_valid && Self::echoes_id(request, head)
    }

    fn idle_timeout(&self, head: &HeaderMap) -> Option<Duration> {
        keep_alive_timeout(head).map(|timeout| timeout.mul_f64(IDLE_TIMEOUT_RATIO).min(MAX_IDLE_TIMEOUT))
    }

    fn classify(
        &self, request: &Rc<ClientRequest>, from: &Name, mut head: response::Parts, body: Payload,
    ) -> AttemptResult {
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if misdirected && head.headers.get(INSTANCE_ID).is_none_or(|id| id.as_bytes() != from.as_bytes()) {
            (self.on_misdirected)(from);
        }
        let not_run = misdirected || head.headers.contains_key(NOT_EXECUTED);
        let (outcome, forwarded) = match head.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if not_run => {
                (Outcome::Full, false)
            }
            _ if misdirected => (Outcome::Full, false),
            // Clients read these statuses as "did not run", but the backend's `NOT_EXECUTED` header is missing.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT
                if !not_run =>
            {
                (Outcome::Error, false)
            }
            status if status.is_success() => (Outcome::Served, true),
            status if status.is_server_error() && not_run => (Outcome::Full, true),
            status if status.is_server_error() => (Outcome::Error, true),
            _ => (Outcome::Served, true),
        };
        // Without a defined end, a truncated answer would look complete.
        if forwarded && !Self::is_framed(request, &head) {
            return if not_run { Outcome::Full } else { Outcome::Broken }.into();
        }
        let answer = forwarded.then(|| {
            let length = head.headers.remove(CONTENT_LENGTH).filter(|_| request.method == Method::HEAD);
            strip_hop_by_hop(&mut head.headers);
            length.into_iter().for_each(|length| drop(head.headers.insert(CONTENT_LENGTH, length)));
            Answer { status: head.status, headers: head.headers, body }
        });
        AttemptResult { answer, ..outcome.into() }
    }

    fn probe_request(&self, _: SocketAddr) -> request::Builder {
        // Probing is switched off in the engine: a probe would take up a slot of the backend, as a request does.
        Request::get("/")
    }

    fn parse_probe(&self, _: &[u8]) -> Option<LoadReport> {
        None
    }

    fn log(&self, request: Option<&Rc<ClientRequest>>, text: fmt::Arguments<'_>) {
        match request {
            // An answer broke off. A log line for each such request would be unbounded, so a request record is kept.
            Some(request) => self.recorder.record_broken_answer(request),
            None => self.recorder.record_event("decision", text),
        }
    }

    fn on_attempt_ended(&self, request: &Rc<ClientRequest>, with: &Name, outcome: Outcome) {
        self.recorder.record_attempt(request, with, outcome);
    }
}

/// Sets the header with the tenant's name, and discards any value that the client sent.
pub fn set_tenant_header(headers: &mut HeaderMap, tenant: Option<&str>) {
    match tenant.and_then(|tenant| HeaderValue::from_str(tenant).ok()) {
        Some(tenant) => drop(headers.insert(TENANT, tenant)),
        None => drop(headers.remove(TENANT)),
    }
}
