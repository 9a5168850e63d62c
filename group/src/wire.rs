//! The protocol between the processes of a group: HTTP/1.1 with bodies encoded by `postcard`. Each call names the
//! protocol version, the group and the target voter. Raft calls must name a target; other calls may address any voter.
//! A mismatch is answered with a 4xx status and closes the connection. Body size, number of connections and waiting
//! time are bounded.

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

/// The protocol version; both sides of a call must use the same version.
const PROTOCOL_VERSION: &str = "2";
const HEADERS: [&str; 3] = ["group-form", "group-name", "group-target"];
/// Maximum size of a request or response body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum number of open incoming connections: two from each member plus those of the other voters.
const MAX_CONNECTIONS: usize = 1024;
/// An incoming connection without a request is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of idle connections kept per address.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// The kind of a call, which determines its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Raft messages from one voter to another. Raft replies are sent in separate calls, so the response is empty.
    Raft,
    /// A request of a member, sent directly or forwarded by another voter.
    Request,
    /// A long poll for a newer view of the group.
    Watch,
    /// A query for the identity of a voter.
    Info,
}

const PATHS: [(CallKind, &str); 4] = [
    (CallKind::Raft, "/log"),
    (CallKind::Request, "/ask"),
    (CallKind::Watch, "/watch"),
    (CallKind::Info, "/who"),
];

/// The reason why a call has no usable response.
#[derive(Debug)]
pub enum CallError {
    /// The connection could not be opened or broke. The call may or may not have arrived.
    Connection(String),
    /// No response arrived in time. The call may or may not have arrived.
    TimedOut,
    /// The voter answered with an error status.
    Refused(StatusCode),
    /// The request cannot be encoded or the response cannot be decoded.
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

/// An HTTP client for one address, with a pool of idle connections.
pub struct VoterClient {
    address: SocketAddr,
    group: Rc<str>,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl VoterClient {
    /// Creates a client without connecting.
    pub fn new(address: SocketAddr, group: Rc<str>) -> Self {
        Self { address, group, idle: RefCell::default() }
    }

    /// Sends a request and waits for the response. `target` is the incarnation of the intended voter; 0 means any
    /// voter at the address.
    ///
    /// # Errors
    /// If no usable response arrives within `time_limit`.
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
                    // The pending request receives the connection error.
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

/// The response to a call: an encoded body or an error status.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Result<Vec<u8>, StatusCode>>>>;

/// Handles incoming calls.
pub trait CallHandler: 'static {
    /// Returns the group name.
    fn group(&self) -> &str;
    /// Returns the incarnation of this voter.
    fn incarnation(&self) -> u64;
    /// Handles one call.
    fn handle(self: Rc<Self>, kind: CallKind, body: Bytes) -> ResponseFuture;
}

/// Decodes a request body.
///
/// # Errors
/// Returns status 400 if the body cannot be decoded.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StatusCode> {
    postcard::from_bytes(body).map_err(|_| StatusCode::BAD_REQUEST)
}

/// Encodes a response body.
///
/// # Errors
/// Returns status 500 if the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StatusCode> {
    postcard::to_stdvec(value).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Accepts connections on `listener` and serves calls indefinitely.
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
            // The caller notices a broken connection and handles it.
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
            // Close the connection: the client may speak another protocol or belong to another group.
            if status.is_client_error() {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
        }
    }
    Ok(response)
}

/// Checks method, path and headers of a call and returns its kind.
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
    // A voter that lost its disk has a new incarnation: it neither is the elected leader nor has the log that the
    // caller expects.
    if (*kind == CallKind::Raft || target != 0) && target != handler.incarnation() {
        return Err(StatusCode::CONFLICT);
    }
    Ok(*kind)
}
