//! Behavior of simulated backends, including failures.

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Behavior of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behavior {
    /// Serves normally.
    #[default]
    Well,
    /// Accepts requests and never answers.
    Silent,
    /// Takes longer by a factor.
    Slow(f64),
    /// Breaks off answers, and sends invalid HTTP on new connections.
    SendsGarbage,
    /// Runs this share of its requests and answers 500.
    Fails(f64),
    /// Runs this share of its requests and closes the connection without an answer.
    Loses(f64),
}

/// Reads the first bytes of a connection and answers with invalid HTTP.
pub async fn send_invalid_http(mut stream: TcpStream) {
    let mut first = [0; 1024];
    if stream.read(&mut first).await.is_ok_and(|read| read > 0) {
        let _ = stream.write_all(b"HTTP/1.1 2OO \xff\xfe fine\r\nContent-Length: -7\r\n\r\nfine").await;
    }
}

/// Body of an answer, complete or truncated.
#[derive(Default)]
pub struct Body {
    remaining: Option<Bytes>,
    length: u64,
    truncated: bool,
}

impl Body {
    /// Creates a body that announces its full length, and that is cut after half of it if `truncated` is set.
    pub fn new(bytes: Bytes, truncated: bool) -> Self {
        let (length, half) = (bytes.len() as u64, bytes.len() / 2);
        Self { remaining: Some(if truncated { bytes.slice(..half) } else { bytes }), length, truncated }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = self
            .remaining
            .take()
            .filter(|remaining| !remaining.is_empty())
            .map(|remaining| Ok(Frame::data(remaining)));
        let broken = || Err(io::ErrorKind::ConnectionAborted.into());
        Poll::Ready(next.or_else(|| self.truncated.then(broken)))
    }

    fn is_end_stream(&self) -> bool {
        !self.truncated && self.remaining.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}
