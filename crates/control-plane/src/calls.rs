//! The calls of backends and operators as a table of endpoints, and the HTTP server of the control socket.

use crate::call::{Call, Reply};
use crate::command::Command;
use bytes::{Bytes, BytesMut};
use config::Version;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use observability::LogRateLimiter;
use protocol::{Backend, LeaderCall, Phase};
use serde::Deserialize;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Callers try another process after one second without a response, so a timeout is answered explicitly before that.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for each part of a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Response timeout of changes: an operator's change may be large, and the response waits for the disks of a majority.
const CHANGE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Pause after a failed accept, since the process may be out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

const JSON: &str = "application/json";
/// Maximum length of a backend id in bytes: the ids of draining backends are stored in the log.
const MAX_ID_BYTES: usize = 256;
/// Maximum body of an order in bytes: a configuration at the design size has 5.1 MB.
const MAX_ORDER_BYTES: usize = 6 << 20;
/// Maximum total size of bodies being read, in bytes: three of the largest orders. Many orders may arrive at once, and
/// memory is limited.
const MAX_BUFFERED_BODY_BYTES: usize = 3 * MAX_ORDER_BYTES;
/// Endpoints whose body limit is at most this are exempt from [`MAX_BUFFERED_BODY_BYTES`], so that backends never wait
/// for orders.
const MAX_UNBUDGETED_BODY_BYTES: usize = 16 * 1024;
/// Header with the version that an order builds on.
const BASE_VERSION: &str = "x-base-version";

/// One endpoint of the control socket.
pub struct Endpoint {
    /// HTTP method.
    pub method: Method,
    /// Path; followed by an id if `takes_id` is set.
    pub path: &'static str,
    /// Whether an id follows the path.
    pub takes_id: bool,
    /// Maximum length of the body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for the response, from when the request has been read completely.
    pub response_timeout: Duration,
    /// Content type of a successful response.
    pub content_type: &'static str,
    /// Parses a request, given the id (or the query if no id is taken), the headers and the body.
    pub parse: fn(&str, &HeaderMap, &[u8]) -> Result<Call, Reply>,
}

/// All endpoints.
pub const ENDPOINTS: [Endpoint; 10] = [
    Endpoint {
        method: Method::POST,
        path: "/Backends.Heartbeat/",
        takes_id: true,
        max_body_bytes: 16 * 1024,
        response_timeout: RESPONSE_TIMEOUT,
        content_type: JSON,
        parse: parse_heartbeat,
    },
    Endpoint {
        method: Method::POST,
        path: "/Backends.Departure/",
        takes_id: true,
        max_body_bytes: 16 * 1024,
        response_timeout: RESPONSE_TIMEOUT,
        content_type: JSON,
        parse: |id, _, _| Ok(Call::Departure(check_backend_id(id)?)),
    },
    Endpoint {
        method: Method::POST,
        path: "/Config.Replace",
        takes_id: false,
        max_body_bytes: MAX_ORDER_BYTES,
        response_timeout: CHANGE_RESPONSE_TIMEOUT,
        content_type: JSON,
        parse: parse_replace,
    },
    Endpoint {
        method: Method::GET,
        path: "/Config.Read",
        takes_id: false,
        max_body_bytes: 0,
        response_timeout: RESPONSE_TIMEOUT,
        content_type: JSON,
        parse: |_, _, _| Ok(Call::Order(LeaderCall::Read)),
    },
    Endpoint {
        method: Method::POST,
        path: "/Voters.Remove/",
        takes_id: true,
        max_body_bytes: 0,
        response_timeout: CHANGE_RESPONSE_TIMEOUT,
        content_type: JSON,
        parse: |id, _, _| match id.parse::<std::net::SocketAddr>() {
            Ok(address) => Ok(Call::Order(LeaderCall::Remove(address.to_string()))),
            Err(_) => Err(Reply::error(400, &format!("{id:?} is no ip:port"))),
        },
    },
    Endpoint {
        method: Method::GET,
        path: "/Harbour.Status",
        takes_id: false,
        max_body_bytes: 0,
        response_timeout: RESPONSE_TIMEOUT,
        content_type: JSON,
        parse: |_, _, _| Ok(Call::Status),
    },
    Endpoint {
        method: Method::GET,
        path: "/Config.History",
        takes_id: false,
        max_body_bytes: 0,
        response_timeout: RESPONSE_TIMEOUT,
        content_type: JSON,
        parse: |_, _, _| Ok(Call::History),
    },
    Endpoint {
        method: Method::GET,
        path: "/Config.History/",
        takes_id: true,
        max_body_bytes: 0,
        response_timeout: RESPONSE_TIMEOUT,
        content_type: JSON,
        parse: |id, _, _| {
            let version = id.parse::<Version>().map_err(|fault| Reply::error(400, &fault.to_string()))?;
            Ok(Call::VersionBody(version.0))
        },
    },
    Endpoint {
        method: Method::GET,
        path: "/Harbour.Events",
        takes_id: false,
        max_body_bytes: 0,
        response_timeout: RESPONSE_TIMEOUT,
        content_type: JSON,
        parse: |query, _, _| Ok(Call::Events(query.strip_prefix("about=").map(unescape))),
    },
    Endpoint {
        method: Method::GET,
        path: "/metrics",
        takes_id: false,
        max_body_bytes: 0,
        response_timeout: RESPONSE_TIMEOUT,
        content_type: observability::METRICS_CONTENT_TYPE,
        parse: |_, _, _| Ok(Call::Metrics),
    },
];

/// Decodes percent escapes in a query. A malformed escape is kept as it is.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let escaped = match (first, after) {
            (b'%', [high, low, after @ ..]) => {
                let digit = |byte: &u8| char::from(*byte).to_digit(16);
                digit(high).zip(digit(low)).map(|(high, low)| ((high * 16 + low) as u8, after))
            }
            _ => None,
        };
        let (byte, after) = escaped.unwrap_or((*first, after));
        bytes.push(byte);
        rest = after;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[derive(Deserialize)]
struct HeartbeatBody {
    address: String,
    summary: Summary,
    condition: Condition,
}

#[derive(Deserialize)]
struct Summary {
    target: String,
    #[serde(default)]
    generation: String,
    #[serde(default)]
    zone: String,
    capacity: u32,
}

#[derive(Deserialize)]
struct Condition {
    phase: String,
    call_count: u64,
    #[serde(default)]
    warmup_left_ms: f64,
}

fn check_backend_id(id: &str) -> Result<String, Reply> {
    if id.len() > MAX_ID_BYTES {
        return Err(Reply::error(400, &format!("an id of {} bytes, at most {MAX_ID_BYTES}", id.len())));
    }
    Ok(id.to_owned())
}

fn parse_heartbeat(id: &str, _: &HeaderMap, body: &[u8]) -> Result<Call, Reply> {
    let backend_id = check_backend_id(id)?;
    let invalid = |why: String| Reply::error(400, &format!("beat of {id}: {why}"));
    let heartbeat: HeartbeatBody =
        serde_json::from_slice(body).map_err(|error| invalid(error.to_string()))?;
    let phase = match heartbeat.condition.phase.as_str() {
        "serving" => Phase::Serving,
        "draining" => Phase::Draining,
        other => return Err(invalid(format!("condition.phase: {other:?} is neither serving nor draining"))),
    };
    if heartbeat.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(invalid(format!("address: {:?} is no ip:port", heartbeat.address)));
    }
    Ok(Call::Heartbeat(Backend {
        id: backend_id,
        service: heartbeat.summary.target,
        address: heartbeat.address,
        zone: heartbeat.summary.zone,
        generation: heartbeat.summary.generation,
        capacity: heartbeat.summary.capacity.max(1),
        phase,
        warmup_left_ms: heartbeat.condition.warmup_left_ms.clamp(0.0, 600_000.0) as u32,
        call_count: heartbeat.condition.call_count,
        overdue: false,
    }))
}

fn parse_replace(_: &str, headers: &HeaderMap, body: &[u8]) -> Result<Call, Reply> {
    let base = base_version(headers)?;
    Ok(Call::Order(LeaderCall::Replace { base: base.0, body: body.to_vec() }))
}

/// The version that an order builds on. An order without the header builds on no version, as the first order does. A
/// value that cannot be parsed, or two different values, are an error.
fn base_version(headers: &HeaderMap) -> Result<Version, Reply> {
    let mut base = None;
    for value in headers.get_all(BASE_VERSION) {
        let text = String::from_utf8_lossy(value.as_bytes());
        let invalid = |why: &str| Reply::error(400, &format!("X-Base-Version: {text:?}: {why}"));
        let read = text.trim().parse::<Version>().map_err(|fault| invalid(&fault.to_string()))?;
        if base.replace(read).is_some_and(|other| other != read) {
            return Err(invalid("another one stands before it"));
        }
    }
    Ok(base.unwrap_or_default())
}

/// Total size of all bodies being read or waiting to be handled.
#[derive(Clone, Default)]
struct BodyBudget(Rc<Cell<usize>>);

/// Bytes reserved from the budget; released on drop.
struct Reservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    fn reserve(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Reserves further bytes; returns false if the budget does not allow them.
    fn grow(&mut self, bytes: usize) -> bool {
        let in_use = self.budget.0.get() + bytes;
        let fits = in_use <= MAX_BUFFERED_BODY_BYTES;
        if fits {
            self.budget.0.set(in_use);
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.set(self.budget.0.get() - self.bytes);
    }
}

/// Serves the control socket until the program ends.
pub async fn serve(listener: TcpListener, commands: mpsc::Sender<Command>, max_connections: usize) {
    let open_connections = Rc::new(Cell::new(0usize));
    let budget = BodyBudget::default();
    let (started_at, mut accept_failures, mut rejections) =
        (Instant::now(), LogRateLimiter::new(1, 10_000), LogRateLimiter::new(1, 10_000));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open_connections.get() < max_connections => {
                let (commands, open_connections, budget) =
                    (commands.clone(), open_connections.clone(), budget.clone());
                transport::spawn(async move {
                    open_connections.set(open_connections.get() + 1);
                    serve_connection(stream, commands, budget).await;
                    open_connections.set(open_connections.get() - 1);
                });
            }
            // A connection beyond the limit is closed at once, so that the caller tries another control plane.
            Ok((_, peer)) => {
                if let Some(left_out) = rejections.try_acquire(started_at.elapsed().as_millis() as u64) {
                    let peer = peer.to_string();
                    spdlog::warn!("connection limit of {} reached, connection rejected", max_connections,
                        kv: { step = "call", peer = peer.as_str(), left_out });
                }
            }
            Err(error) => {
                if let Some(left_out) = accept_failures.try_acquire(started_at.elapsed().as_millis() as u64) {
                    spdlog::warn!("cannot accept a connection: {}", error, kv: { step = "accept", left_out });
                }
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, commands: mpsc::Sender<Command>, budget: BodyBudget) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (commands, reservation) = (commands.clone(), budget.reserve());
        async move { Ok::<_, Infallible>(handle_request(request, commands, reservation).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(Duration::from_secs(20)).max_buf_size(32 * 1024);
    // An error on one caller's connection concerns that caller only.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

async fn handle_request(
    request: Request<Incoming>, commands: mpsc::Sender<Command>, mut reservation: Reservation,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let matches = |endpoint: &&Endpoint| {
        if endpoint.takes_id {
            path.len() > endpoint.path.len() && path.starts_with(endpoint.path)
        } else {
            path == endpoint.path
        }
    };
    let Some(endpoint) = ENDPOINTS.iter().find(matches) else {
        return respond(Reply::error(404, "no such call"));
    };
    if head.method != endpoint.method {
        return respond(Reply::error(405, "another method is wanted"));
    }
    let body = match read_body(body, endpoint.max_body_bytes, &mut reservation).await {
        Ok(body) => body,
        Err(reply) => return respond(reply),
    };
    // The timeout starts after the body: a large body may take longer to arrive than the response may.
    let deadline = Instant::now() + endpoint.response_timeout;
    let id = if endpoint.takes_id {
        path.strip_prefix(endpoint.path).unwrap_or_default()
    } else {
        head.uri.query().unwrap_or_default()
    };
    let parsed_call = match (endpoint.parse)(id, &head.headers, &body) {
        Ok(read) => read,
        Err(reply) => return respond(reply),
    };
    let (reply, response) = oneshot::channel();
    if commands.send(Command::Call { call: parsed_call, reply }).await.is_err() {
        return respond(Reply::error(503, "this process ends"));
    }
    match timeout_at(deadline, response).await {
        Ok(Ok(reply)) => respond_as(if reply.status == 200 { endpoint.content_type } else { JSON }, reply),
        _ => respond(Reply::error(503, "no answer in time: ask again, here or at another gateway")),
    }
}

async fn read_body(
    mut body: Incoming, max_bytes: usize, reservation: &mut Reservation,
) -> Result<Bytes, Reply> {
    let mut whole = BytesMut::new();
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Reply::error(413, "the body is too long"));
    }
    while !body.is_end_stream() {
        match timeout(BODY_READ_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    if max_bytes > MAX_UNBUDGETED_BODY_BYTES && !reservation.grow(data.len()) {
                        return Err(Reply::error(503, "too many large bodies at a time: ask again"));
                    }
                    whole.extend_from_slice(data);
                }
            }
            Ok(None) => break,
            // The same order may be accepted when sent completely, so a final error status would be wrong.
            Ok(Some(Err(_))) => return Err(Reply::error(408, "the body broke off")),
            Err(_) => return Err(Reply::error(408, "the body did not come in time")),
        }
        if whole.len() > max_bytes {
            return Err(Reply::error(413, "the body is too long"));
        }
    }
    Ok(whole.freeze())
}

fn respond(reply: Reply) -> Response<Full<Bytes>> {
    respond_as(JSON, reply)
}

fn respond_as(content_type: &'static str, reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn percent_escapes_are_decoded_and_malformed_ones_kept() {
        for (text, read) in
            [("m-1", "m-1"), ("10.0.0.1%3A7%2f", "10.0.0.1:7/"), ("%", "%"), ("%4", "%4"), ("%zz", "%zz")]
        {
            assert_eq!(unescape(text), read);
        }
    }
}
