//! The quota gateway's protocol with its backends. Connection handling is shared with the data plane (`http_proxy`).

use crate::time::clock::millis;
use doorcourse::{LoadReport, Name, Outcome, Reports};
use doorcourse_simhost::set_load;
pub use http_proxy::pool::spawn;
use http_proxy::pool::{Answer, AttemptResult, Payload, Protocol};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::http::{request, response};
use hyper::{Method, Request, StatusCode};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Header by which a backend declares that it did not start the request.
const DECLINED_HEADER: &str = "srv-declined";
/// Header with the load report of a backend.
const LOAD_HEADER: &str = "srv-load";

/// The backends that this gateway knows, and the connections to them.
pub type Backends = http_proxy::pool::Backends<BackendProtocol>;
/// A client's request as it is forwarded to backends.
pub type ForwardedRequest = http_proxy::pool::ForwardedRequest<RequestHead>;

/// A client's request without its body.
#[derive(Clone)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: PathAndQuery,
    /// `Req-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
    /// `Content-Type`.
    pub content_type: Option<HeaderValue>,
}

/// The protocol spoken with the backends.
pub struct BackendProtocol {
    /// The source of load reports.
    pub reports: Reports,
}

impl Protocol for BackendProtocol {
    type RequestHead = RequestHead;

    fn request(
        &self, request: &RequestHead, _: &Name, address: SocketAddr, left: Duration,
    ) -> request::Builder {
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(request.target.clone())
            .header("Host", address.to_string())
            .header("Req-Id", request.id.clone())
            .header("Req-Deadline-Ms", millis(left).floor().to_string());
        for (key, value) in
            [("Idempotency-Key", &request.idempotency_key), (CONTENT_TYPE.as_str(), &request.content_type)]
        {
            if let Some(value) = value {
                builder = builder.header(key, value.clone());
            }
        }
        builder
    }

    fn matches_request(&self, _: &RequestHead, _: &response::Parts) -> bool {
        true
    }

    fn idle_timeout(&self, _: &HeaderMap) -> Option<Duration> {
        None
    }

    fn classify(&self, _: &RequestHead, _: &Name, mut head: response::Parts, body: Payload) -> AttemptResult {
        let declined = head.headers.get(DECLINED_HEADER).is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Full,
            // Any other answer leaves open whether the request was executed.
            _ => Outcome::Error,
        };
        let report = head.headers.remove(LOAD_HEADER).filter(|_| self.reports == Reports::Answers);
        let load = report.as_ref().and_then(|r| r.to_str().ok()).and_then(parse_load);
        let answer = (outcome == Outcome::Served).then(|| {
            for name in
                ["connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer"]
            {
                head.headers.remove(name);
            }
            Answer { status: head.status, headers: head.headers, body }
        });
        AttemptResult { answer, load, ..outcome.into() }
    }

    fn probe_request(&self, address: SocketAddr) -> request::Builder {
        let path = if self.reports == Reports::None { "/alive" } else { "/metrics/load" };
        Request::get(path).header("Host", address.to_string())
    }

    fn parse_probe(&self, body: &[u8]) -> Option<LoadReport> {
        std::str::from_utf8(body).ok().and_then(parse_load)
    }

    fn log(&self, request: Option<&RequestHead>, text: fmt::Arguments<'_>) {
        match request.map(|request| request.id.to_str().unwrap_or_default()) {
            Some(id) => eprintln!("request {id}: {text}"),
            None => eprintln!("{text}"),
        }
    }
}

/// Parses a load report like `TEXT inflight=7, queue=2`, skipping entries that are invalid.
fn parse_load(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().strip_prefix("TEXT")?.split(',') {
        if let Some((key, value)) = pair.split_once('=')
            && let Ok(value) = value.trim().parse::<f64>()
            && value.is_finite()
        {
            set_load(&mut report, key.trim(), value);
        }
    }
    Some(report)
}
