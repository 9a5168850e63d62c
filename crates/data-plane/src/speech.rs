//! What is spoken with backends, and what their answers mean.

use crate::headers::{
    ATTEMPT_ID, DEADLINE_LEFT, INSTANCE_ID, NOT_EXECUTED, SEAL, TARGET_INSTANCE, TENANT, kept, strip,
};
use crate::watch::{Try, Watch};
use doorcourse::{LoadReport, Name, Outcome};
use http_proxy::pool::{Answer, Dialect, End, Payload};
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

/// A connection is kept idle for at most this share of the time after which its backend closes it: a request must
/// never cross a close.
const KEPT_SHARE: f64 = 0.5;

/// Connections that nobody used for so long are a burden to both sides.
const KEPT_MOST: Duration = Duration::from_secs(60);

/// A client's request, but for its body.
pub struct Asking {
    pub method: Method,
    pub target: PathAndQuery,
    /// What goes on of its headers, and the tenant's name.
    pub headers: HeaderMap,
    /// Its id, which answers have to echo.
    pub id: Option<HeaderValue>,
    /// Its route and its tenant, by name.
    pub route: Arc<str>,
    pub tenant: Option<Arc<str>>,
    /// Its attempts, unless the first one served it.
    pub tries: RefCell<Vec<Try>>,
}

/// The system's protocol.
pub struct Speech {
    pub watch: Rc<Watch>,
    /// Hears that a backend is not at its address any more.
    pub gone: Box<dyn Fn(&Name)>,
}

impl Speech {
    /// Whether the answer says, in one way only, where its body ends, or need not say.
    fn is_framed(ask: &Asking, head: &response::Parts) -> bool {
        let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if bodiless || ask.method == Method::HEAD {
            return true;
        }
        let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        match (codings.next(), codings.next()) {
            // The HTTP library refuses lengths that differ.
            (None, _) => head.headers.contains_key(CONTENT_LENGTH),
            (Some(coding), None) => {
                coding.as_bytes().eq_ignore_ascii_case(b"chunked")
                    && !head.headers.contains_key(CONTENT_LENGTH)
            }
            (Some(_), Some(_)) => false,
        }
    }

    /// Whether the answer names the request, and no other.
    fn echoes_id(ask: &Asking, head: &response::Parts) -> bool {
        let mut ids = head.headers.get_all(ATTEMPT_ID).iter();
        ids.next() == ask.id.as_ref() && ids.next().is_none()
    }

    /// Whether a success is the backend's own, and whole if its body is.
    fn is_own_success(ask: &Asking, head: &response::Parts) -> bool {
        Self::is_framed(ask, head)
            && head.headers.contains_key(SEAL)
            && !head.headers.contains_key(CONTENT_ENCODING)
            && !head.headers.contains_key(NOT_EXECUTED)
    }
}

impl Dialect for Speech {
    type Ask = Rc<Asking>;

    // A backend's silence is no reason to end an answer: only its request's own time is.
    const SILENT: Duration = Duration::from_secs(60);
    const PART_MAY_RUN: bool = true;
    const DEAD_AFTER: Option<Duration> = Some(Duration::from_secs(4));
    const ANSWERS_TWICE: bool = true;

    fn request(&self, ask: &Rc<Asking>, to: &Name, _: SocketAddr, left: Duration) -> request::Builder {
        let mut builder = Request::builder().method(ask.method.clone()).uri(ask.target.clone());
        if let Some(headers) = builder.headers_mut() {
            headers.clone_from(&ask.headers);
            if let Ok(id) = HeaderValue::from_str(to) {
                headers.insert(TARGET_INSTANCE, id);
            }
            headers.insert(DEADLINE_LEFT, HeaderValue::from(left.as_millis() as u64));
        }
        builder
    }

    /// Whoever names no request may have been asked by another one: not even a refusal counts then. A request without
    /// an id gets no more than its refusal, which names none either.
    fn belongs(&self, ask: &Rc<Asking>, head: &response::Parts) -> bool {
        let sound = match head.status {
            // Nothing was asked for that such an answer could begin.
            status if status.is_informational() => false,
            status if status.is_success() => ask.id.is_some() && Self::is_own_success(ask, head),
            _ => true,
        };
        sound && Self::echoes_id(ask, head)
    }

    fn keeps(&self, head: &HeaderMap) -> Option<Duration> {
        kept(head).map(|time| time.mul_f64(KEPT_SHARE).min(KEPT_MOST))
    }

    fn judge(&self, ask: &Rc<Asking>, from: &Name, mut head: response::Parts, body: Payload) -> End {
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if misdirected && head.headers.get(INSTANCE_ID).is_none_or(|id| id.as_bytes() != from.as_bytes()) {
            (self.gone)(from);
        }
        let not_run = misdirected || head.headers.contains_key(NOT_EXECUTED);
        let (outcome, passed_on) = match head.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if not_run => {
                (Outcome::Full, false)
            }
            _ if misdirected => (Outcome::Full, false),
            // These promise what this backend has not promised.
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
        // Where nobody says how long it is, what breaks off looks whole.
        if passed_on && !Self::is_framed(ask, &head) {
            return if not_run { Outcome::Full } else { Outcome::Broken }.into();
        }
        let answer = passed_on.then(|| {
            let length = head.headers.remove(CONTENT_LENGTH).filter(|_| ask.method == Method::HEAD);
            strip(&mut head.headers);
            length.into_iter().for_each(|length| drop(head.headers.insert(CONTENT_LENGTH, length)));
            Answer { status: head.status, headers: head.headers, body }
        });
        End { answer, ..outcome.into() }
    }

    fn probe(&self, _: SocketAddr) -> request::Builder {
        // The decisions are told not to: a probe takes a slot as a request does.
        Request::get("/")
    }

    fn probed(&self, _: &[u8]) -> Option<LoadReport> {
        None
    }

    fn log(&self, ask: Option<&Rc<Asking>>, text: fmt::Arguments<'_>) {
        match ask {
            // One line for each would be without bound: it is kept among the requests.
            Some(ask) => self.watch.broke_off(ask),
            None => self.watch.note("decision", text),
        }
    }

    fn ended(&self, ask: &Rc<Asking>, with: &Name, outcome: Outcome) {
        self.watch.tried(ask, with, outcome);
    }
}

/// Sets the tenant's name, whatever the client said.
pub fn name_tenant(headers: &mut HeaderMap, tenant: Option<&str>) {
    match tenant.and_then(|tenant| HeaderValue::from_str(tenant).ok()) {
        Some(tenant) => drop(headers.insert(TENANT, tenant)),
        None => drop(headers.remove(TENANT)),
    }
}
