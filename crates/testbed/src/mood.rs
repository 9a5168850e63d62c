//! How a backend behaves when it is not well.

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// A behaviour.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    /// As it should.
    #[default]
    Well,
    /// It takes requests and says nothing.
    Silent,
    /// It works so many times longer.
    Slow(f64),
    /// It breaks answers off, and on new connections it talks what is no HTTP.
    Garbles,
    /// It runs this share of its requests and answers 500.
    Fails(f64),
    /// It runs this share of its requests and closes the connection without an answer.
    Loses(f64),
}

/// Reads what comes first and answers what is no HTTP.
pub async fn babble(mut stream: TcpStream) {
    let mut first = [0; 1024];
    if stream.read(&mut first).await.is_ok_and(|read| read > 0) {
        let _ = stream.write_all(b"HTTP/1.1 2OO \xff\xfe fine\r\nContent-Length: -7\r\n\r\nfine").await;
    }
}

/// The body of an answer: whole, or broken off in its midst.
#[derive(Default)]
pub struct Body {
    left: Option<Bytes>,
    length: u64,
    breaks: bool,
}

impl Body {
    /// One that tells its length, and breaks off after the half of it if it is to.
    pub fn new(bytes: Bytes, breaks: bool) -> Self {
        let (length, half) = (bytes.len() as u64, bytes.len() / 2);
        Self { left: Some(if breaks { bytes.slice(..half) } else { bytes }), length, breaks }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = self.left.take().filter(|left| !left.is_empty()).map(|left| Ok(Frame::data(left)));
        let broken = || Err(io::ErrorKind::ConnectionAborted.into());
        Poll::Ready(next.or_else(|| self.breaks.then(broken)))
    }

    fn is_end_stream(&self) -> bool {
        !self.breaks && self.left.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}
