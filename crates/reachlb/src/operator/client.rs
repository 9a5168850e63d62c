//! HTTP calls to processes of the fleet. Each call uses a connection of its own and has limits for time and response
//! size.

use super::CommandError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for connecting to a process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the response. The slowest calls wait for disk writes of a quorum.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Response of a process.
pub struct Response {
    /// Address of the process.
    pub peer: String,
    pub status: u16,
    pub body: Bytes,
}

impl Response {
    /// Returns the response if its status is 200, otherwise the error that the process reported.
    pub fn success(self, step: &'static str) -> Result<Self, CommandError> {
        if self.status == 200 { Ok(self) } else { Err(self.into_error(step)) }
    }

    /// Converts the response into an error with the reason that the process gave.
    pub fn into_error(self, step: &'static str) -> CommandError {
        let parsed = serde_json::from_slice::<Value>(&self.body).ok();
        let reason = parsed.and_then(|body| Some(body.get("error")?.as_str()?.to_owned()));
        let reason =
            reason.unwrap_or_else(|| String::from_utf8_lossy(&self.body).chars().take(400).collect());
        CommandError::Rejected { step, peer: self.peer, status: self.status, reason }
    }

    /// Parses the body of a successful response as JSON.
    pub fn json(self, step: &'static str) -> Result<Value, CommandError> {
        let response = self.success(step)?;
        serde_json::from_slice(&response.body).map_err(|error| CommandError::NoResponse {
            step,
            peer: response.peer,
            reason: error.to_string(),
        })
    }
}

/// Sends a GET request to the first address that responds. `addresses` is separated by commas.
pub async fn get(addresses: &str, step: &'static str, path: &str) -> Result<Response, CommandError> {
    call(addresses, step, Method::GET, path, None, Bytes::new()).await
}

/// Sends a request to the first address that responds. `addresses` is separated by commas. `base_version` is the
/// configuration version that a replacement builds on.
pub async fn call(
    addresses: &str, step: &'static str, method: Method, path: &str, base_version: Option<u64>, body: Bytes,
) -> Result<Response, CommandError> {
    let mut last_error = "no address".to_owned();
    for peer in addresses.split(',').map(str::trim).filter(|peer| !peer.is_empty()) {
        match exchange(peer, method.clone(), path, base_version, body.clone()).await {
            Ok((status, body)) => return Ok(Response { peer: peer.to_owned(), status, body }),
            Err(error) => last_error = error,
        }
    }
    Err(CommandError::NoResponse { step, peer: addresses.to_owned(), reason: last_error })
}

async fn exchange(
    peer: &str, method: Method, path: &str, base_version: Option<u64>, body: Bytes,
) -> Result<(u16, Bytes), String> {
    let timed_out = |operation: &str| format!("{operation}: timed out");
    let stream =
        timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await.map_err(|_| timed_out("connect"))?;
    let stream = stream.map_err(|error| format!("connect: {error}"))?;
    let mut request =
        Request::builder().method(method).uri(path).header(HOST, peer).header(CONNECTION, "close");
    if let Some(version) = base_version {
        request = request.header("X-Base-Version", format!("r{version}"));
    }
    let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
    let send = async {
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
        let receive = async {
            let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            Ok((status, body.map_err(|error| error.to_string())?.to_bytes()))
        };
        // The connection makes progress only while polled. The connection may end before the response is read, so its
        // future must not complete the select.
        let drive = async {
            let _ = connection.await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            response = receive => response,
            () = drive => Err("connection closed".to_owned()),
        }
    };
    timeout(RESPONSE_TIMEOUT, send).await.map_err(|_| timed_out("response"))?
}

/// Percent-encodes text for use in a path or a query.
pub fn percent_encode(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte);
    text.bytes()
        .map(|byte| if is_unreserved(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") })
        .collect()
}
