//! Calls to processes: one connection each, a bounded time, a bounded answer.

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

/// Somebody who is there accepts within this time.
const CONNECT: Duration = Duration::from_secs(2);
/// The slowest call waits for disks.
const ANSWER: Duration = Duration::from_secs(5);
/// The longest answer that is read.
const LONGEST: usize = 32 * 1024 * 1024;

/// An answer.
pub struct Answer {
    /// Who gave it.
    pub peer: String,
    pub status: u16,
    pub body: Bytes,
}

impl Answer {
    /// The answer, unless it is a refusal.
    pub fn granted(self, step: &'static str) -> Result<Self, CommandError> {
        if self.status == 200 { Ok(self) } else { Err(self.refused(step)) }
    }

    /// The answer as a refusal, with its reason.
    pub fn refused(self, step: &'static str) -> CommandError {
        let read = serde_json::from_slice::<Value>(&self.body).ok();
        let why = read.and_then(|body| Some(body.get("error")?.as_str()?.to_owned()));
        let why = why.unwrap_or_else(|| String::from_utf8_lossy(&self.body).chars().take(400).collect());
        CommandError::Refused { step, peer: self.peer, status: self.status, why }
    }

    /// The answer read.
    pub fn json(self, step: &'static str) -> Result<Value, CommandError> {
        let answer = self.granted(step)?;
        serde_json::from_slice(&answer.body).map_err(|error| CommandError::Unanswered {
            step,
            peer: answer.peer,
            why: error.to_string(),
        })
    }
}

/// Asks the first of some addresses (separated by commas) that answers at all.
pub async fn get(at: &str, step: &'static str, path: &str) -> Result<Answer, CommandError> {
    call(at, step, Method::GET, path, None, Bytes::new()).await
}

/// Calls the first of some addresses that answers at all.
pub async fn call(
    at: &str, step: &'static str, method: Method, path: &str, base: Option<u64>, body: Bytes,
) -> Result<Answer, CommandError> {
    let mut last = "no address".to_owned();
    for peer in at.split(',').map(str::trim).filter(|peer| !peer.is_empty()) {
        match one(peer, method.clone(), path, base, body.clone()).await {
            Ok((status, body)) => return Ok(Answer { peer: peer.to_owned(), status, body }),
            Err(why) => last = why,
        }
    }
    Err(CommandError::Unanswered { step, peer: at.to_owned(), why: last })
}

async fn one(
    peer: &str, method: Method, path: &str, base: Option<u64>, body: Bytes,
) -> Result<(u16, Bytes), String> {
    let late = |what: &str| format!("{what}: not in time");
    let stream = timeout(CONNECT, TcpStream::connect(peer)).await.map_err(|_| late("connect"))?;
    let stream = stream.map_err(|error| format!("connect: {error}"))?;
    let mut request =
        Request::builder().method(method).uri(path).header(HOST, peer).header(CONNECTION, "close");
    if let Some(base) = base {
        request = request.header("X-Base-Version", format!("r{base}"));
    }
    let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
    let exchange = async {
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
        let answered = async {
            let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), LONGEST).collect().await;
            Ok((status, body.map_err(|error| error.to_string())?.to_bytes()))
        };
        // The connection moves only while it is polled; it may end before the answer has been read.
        let moved = async {
            let _ = connection.await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            answer = answered => answer,
            () = moved => Err("closed".to_owned()),
        }
    };
    timeout(ANSWER, exchange).await.map_err(|_| late("answer"))?
}

/// A word as it may stand in a path or a query.
pub fn escape(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte);
    text.bytes()
        .map(|byte| if plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") })
        .collect()
}
