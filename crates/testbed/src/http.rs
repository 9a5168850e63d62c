//! Single HTTP calls, each on its own connection.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Maximum length of an answer in bytes.
pub const MAX_ANSWER_LEN: usize = 8 << 20;

/// A connection that is closed when dropped.
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection with a timeout.
pub async fn connect(address: SocketAddr, within: Duration) -> Option<Connection> {
    let stream = timeout(within, TcpStream::connect(address)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(async move {
        // Connection errors are reported through the pending request.
        let _ = driver.await;
    });
    Some(Connection { sender, driver: driver.abort_handle() })
}

/// A complete answer.
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
    /// Value of the Location header.
    pub location: Option<String>,
}

/// Makes a call; returns `None` without a complete answer within the timeout.
pub async fn call(
    address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: Bytes, within: Duration,
) -> Option<Answer> {
    let exchange = async {
        let mut connection = connect(address, within).await?;
        let mut request = Request::builder().method(method).uri(path);
        if !headers.iter().any(|(name, _)| *name == "Host") {
            request = request.header("Host", address.to_string());
        }
        if !body.is_empty() {
            request = request.header("Content-Type", "application/json");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let answer = connection.sender.send_request(request.body(Full::new(body)).ok()?).await.ok()?;
        let (head, body) = answer.into_parts();
        let location = head.headers.get("Location").and_then(|l| l.to_str().ok()).map(str::to_owned);
        let body = Limited::new(body, MAX_ANSWER_LEN).collect().await.ok()?.to_bytes();
        Some(Answer { status: head.status, body, location })
    };
    timeout(within, exchange).await.ok()?
}
