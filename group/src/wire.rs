//! What the processes of a group say to each other: HTTP/1.1, bodies in `postcard`. Each call names the form, the
//! group and, for consensus, the voter it is meant for; anything else is answered 4xx and closed. Bounded in bytes,
//! connections and time.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// The form of the calls.
const PROTOCOL_VERSION: &str = "2";
const HEADERS: [&str; 3] = ["group-form", "group-name", "group-target"];
/// The longest body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Connections held at once: every member's two, and the other voters'.
const MAX_CONNECTIONS: usize = 1024;
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Free connections kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Messages of the log, of one voter to another. They are answered by others, not by this call.
    Raft,
    /// A member's question, or another voter's on its behalf.
    Request,
    /// Waiting for news.
    Watch,
    /// Who a voter is.
    Info,
}

const PATHS: [(CallKind, &str); 4] = [
    (CallKind::Raft, "/log"),
    (CallKind::Request, "/ask"),
    (CallKind::Watch, "/watch"),
    (CallKind::Info, "/who"),
];

/// A call without a usable answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection, or it broke: the call may have arrived or not.
    Connection(String),
    /// No answer in time: it may have arrived or not.
    TimedOut,
    /// It was refused.
    Refused(StatusCode),
    /// The answer cannot be read.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(reason) => f.write_str(reason),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::Refused(status) => write!(f, "refused: {status}"),
            Self::Malformed => f.write_str("an answer that cannot be read"),
        }
    }
}

impl std::error::Error for CallError {}

/// The way to one address.
pub struct VoterClient {
    address: SocketAddr,
    group: Rc<str>,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl VoterClient {
    /// A way without a connection yet.
    pub fn new(address: SocketAddr, group: Rc<str>) -> Self {
        Self { address, group, idle: RefCell::default() }
    }

    /// Calls, and waits for the answer. `target` is the voter meant, 0 for whoever is there.
    ///
    /// # Errors
    /// When there is no usable answer in time.
    pub async fn call<Req: Serialize, Resp: DeserializeOwned>(
        &self, kind: CallKind, target: u64, request: &Req, time_limit: Duration,
    ) -> Result<Resp, CallError> {
        let body = postcard::to_stdvec(request).map_err(|_| CallError::Malformed)?;
        timeout(time_limit, self.exchange(kind, target, body))
            .await
            .unwrap_or(Err(CallError::TimedOut))
            .and_then(|bytes| postcard::from_bytes(&bytes).map_err(|_| CallError::Malformed))
    }

    async fn exchange(&self, kind: CallKind, target: u64, body: Vec<u8>) -> Result<Bytes, CallError> {
        let connection_error = |error: &dyn fmt::Display| CallError::Connection(error.to_string());
        let pooled = {
            let mut idle = self.idle.borrow_mut();
            idle.retain(SendRequest::is_ready);
            idle.pop()
        };
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect(self.address).await.map_err(|e| connection_error(&e))?;
                stream.set_nodelay(true).map_err(|e| connection_error(&e))?;
                let io = TokioIo::new(stream);
                let (sender, connection) =
                    hyper::client::conn::http1::handshake(io).await.map_err(|e| connection_error(&e))?;
                tokio::task::spawn_local(async move {
                    // Whoever waits for its answer hears of the end.
                    let _ = connection.await;
                });
                sender
            }
        };
        let path = PATHS.iter().find(|(entry, _)| *entry == kind).map_or("/", |(_, path)| path);
        let [version_header, group_header, target_header] = HEADERS;
        let request = Request::post(path)
            .header("Host", self.address.to_string())
            .header(version_header, PROTOCOL_VERSION)
            .header(group_header, &*self.group)
            .header(target_header, target)
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| connection_error(&e))?;
        let response = connection.send_request(request).await.map_err(|e| connection_error(&e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|e| connection_error(&e))?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
        if status == StatusCode::OK { Ok(body.to_bytes()) } else { Err(CallError::Refused(status)) }
    }
}

/// What a call is answered: bytes, or a status.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Result<Vec<u8>, StatusCode>>>>;

/// Who answers calls.
pub trait CallHandler: 'static {
    /// The group's name.
    fn group(&self) -> &str;
    /// The number of this voter.
    fn incarnation(&self) -> u64;
    /// The answer to one call.
    fn handle(self: Rc<Self>, kind: CallKind, body: Bytes) -> ResponseFuture;
}

/// Reads a question.
///
/// # Errors
/// A status that says so, when it cannot be read.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StatusCode> {
    postcard::from_bytes(body).map_err(|_| StatusCode::BAD_REQUEST)
}

/// Writes an answer.
///
/// # Errors
/// A status that says so, when it cannot be written.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StatusCode> {
    postcard::to_stdvec(value).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Answers calls at a listener, for ever.
pub async fn serve(listener: TcpListener, handler: Rc<impl CallHandler>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| serve_request(handler.clone(), request));
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
            // A connection that breaks is its caller's affair.
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
            drop(permit);
        });
    }
}

async fn serve_request(
    handler: Rc<impl CallHandler>, request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let result = match validate_request(&*handler, &request) {
        Err(status) => Err(status),
        Ok(kind) => match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
            Err(_) => Err(StatusCode::PAYLOAD_TOO_LARGE),
            Ok(body) => handler.handle(kind, body.to_bytes()).await,
        },
    };
    let mut response = Response::new(Full::default());
    match result {
        Ok(bytes) => *response.body_mut() = Full::new(Bytes::from(bytes)),
        Err(status) => {
            *response.status_mut() = status;
            // Who says what is not understood is not listened to any longer.
            if status.is_client_error() {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
        }
    }
    Ok(response)
}

/// What a call is for, if it is one of this group's and meant for this voter.
fn validate_request(handler: &impl CallHandler, request: &Request<Incoming>) -> Result<CallKind, StatusCode> {
    let header = |index: usize| request.headers().get(HEADERS[index]).and_then(|value| value.to_str().ok());
    let kind = PATHS.iter().find(|(_, path)| *path == request.uri().path());
    let (kind, _) = kind.ok_or(StatusCode::NOT_FOUND)?;
    if request.method() != hyper::Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    if header(0) != Some(PROTOCOL_VERSION) || header(1) != Some(handler.group()) {
        return Err(StatusCode::FORBIDDEN);
    }
    let target: u64 = header(2).and_then(|id| id.parse().ok()).ok_or(StatusCode::BAD_REQUEST)?;
    // A voter that lost its disk is not the one that was elected or that has the log.
    if (*kind == CallKind::Raft || target != 0) && target != handler.incarnation() {
        return Err(StatusCode::CONFLICT);
    }
    Ok(*kind)
}
