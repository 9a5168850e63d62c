//! Request and response bodies. Short bodies are buffered whole and can be sent again. Long bodies are streamed through
//! bounded buffers with backpressure: a stalled reader stops the writer.

use crate::time::clock::to_duration;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// Bodies of up to this many bytes are buffered whole.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Maximum size of a request body.
pub const MAX_REQUEST_BODY: u64 = 34 << 20;
/// Queue capacity of a streamed answer, in frames.
const ANSWER_QUEUE_FRAMES: usize = 2;
/// Maximum time without new bytes while at most [`MAX_BUFFERED_BODY`] bytes of the body have arrived.
const SHORT_BODY_GAP_TIMEOUT: Duration = Duration::from_millis(2300);
/// Maximum time without new bytes once more than [`MAX_BUFFERED_BODY`] bytes of the body have arrived.
const LONG_BODY_GAP_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum total time waiting for the bytes of a client's body, in addition to the time that the received bytes take at
/// [`MIN_BYTES_PER_SECOND`].
const TOTAL_WAIT_BASE: Duration = Duration::from_millis(2500);
/// Minimum rate of a client's body. Half of the slowest rate that clients are guaranteed, since bytes arrive in bursts.
const MIN_BYTES_PER_SECOND: f64 = 32_000.0;

/// Maximum time in which a backend reads none of the available bytes of a long body.
const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval for checking whether an attempt still holds an upload that is to be drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why a body ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The sender aborted the body.
    Broken,
    /// The sender sent nothing, or too little, for too long.
    TooSlow,
    /// The body exceeds the maximum size.
    TooLarge,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "the body was aborted",
            Self::TooSlow => "the body arrived too slowly",
            Self::TooLarge => "the body is too large",
        })
    }
}

impl std::error::Error for BodyError {}

/// A client's body with a progress timeout: time spent waiting for the client counts, backpressure does not.
pub struct ClientBody {
    body: Incoming,
    timer: Pin<Box<Sleep>>,
    /// Deadline for the first bytes.
    first_bytes_deadline: Option<Instant>,
    /// Start of the current wait for the client; `None` while no wait is in progress.
    waiting_since: Option<Instant>,
    /// Sum of all completed waits for the client.
    total_wait: Duration,
    /// Number of bytes received so far, and its maximum.
    bytes: u64,
    max_bytes: u64,
}

impl ClientBody {
    /// Wraps a body of which nothing has been read.
    pub fn new(body: Incoming, first_bytes_deadline: Instant) -> Self {
        let timer = Box::pin(sleep_until(first_bytes_deadline));
        Self {
            body,
            timer,
            first_bytes_deadline: Some(first_bytes_deadline),
            waiting_since: None,
            total_wait: Duration::ZERO,
            bytes: 0,
            max_bytes: MAX_REQUEST_BODY,
        }
    }

    /// Sets another maximum size.
    pub fn with_max_bytes(mut self, max_bytes: u64) -> Self {
        self.max_bytes = max_bytes;
        self
    }

    /// The number of bytes still to come, if known.
    pub fn remaining(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Whether the body has been read to its end.
    pub fn is_at_end(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Polls for the next bytes; `None` at the end.
    pub fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are not forwarded.
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.total_wait +=
                        self.waiting_since.take().map_or(Duration::ZERO, |since| since.elapsed());
                    self.first_bytes_deadline = None;
                    self.bytes += bytes.len() as u64;
                    let fits = self.bytes <= self.max_bytes;
                    return Poll::Ready(Some(if fits { Ok(bytes) } else { Err(BodyError::TooLarge) }));
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError::Broken))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => {}
            }
            if self.waiting_since.is_none() {
                let now = Instant::now();
                let gap = now
                    + if self.bytes > MAX_BUFFERED_BODY as u64 {
                        LONG_BODY_GAP_TIMEOUT
                    } else {
                        SHORT_BODY_GAP_TIMEOUT
                    };
                let allowed =
                    TOTAL_WAIT_BASE + to_duration(self.bytes as f64 / MIN_BYTES_PER_SECOND * 1000.0);
                let due = self
                    .first_bytes_deadline
                    .unwrap_or(gap)
                    .min(now + allowed.saturating_sub(self.total_wait));
                self.timer.as_mut().reset(due);
                self.waiting_since = Some(now);
            }
            ready!(self.timer.as_mut().poll(cx));
            return Poll::Ready(Some(Err(BodyError::TooSlow)));
        }
    }

    /// Reads the next bytes; `None` at the end.
    pub async fn next_bytes(&mut self) -> Option<Result<Bytes, BodyError>> {
        std::future::poll_fn(|cx| self.poll_bytes(cx)).await
    }
}

/// The rest of a client's long body. Each byte can be read only once.
pub struct Upload {
    body: RefCell<ClientBody>,
    consumed: Cell<bool>,
    /// When the body was last polled, and whether that poll is waiting for the client.
    last_poll: Cell<(Instant, bool)>,
    end: Cell<Option<(Instant, Option<BodyError>)>>,
    end_notify: Notify,
}

impl Upload {
    /// Wraps the rest of a body whose start is buffered.
    pub fn new(body: ClientBody) -> Rc<Self> {
        let (consumed, last_poll) = (Cell::new(false), Cell::new((Instant::now(), false)));
        let (body, end, end_notify) = (RefCell::new(body), Cell::new(None), Notify::new());
        Rc::new(Self { body, consumed, last_poll, end, end_notify })
    }

    /// Whether part of the body has been read, so that it cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// The error by which the client ended the body, if any.
    pub fn error(&self) -> Option<BodyError> {
        self.end.get().and_then(|(_, error)| error)
    }

    /// When the last byte arrived or the body failed.
    pub fn ended_at(&self) -> Option<Instant> {
        self.end.get().map(|(at, _)| at)
    }

    /// Waits for the end of the body and returns its time.
    pub async fn wait_end(&self) -> Instant {
        loop {
            let end_notify = self.end_notify.notified();
            if let Some((at, _)) = self.end.get() {
                return at;
            }
            end_notify.await;
        }
    }

    /// Waits until the backend has not read available bytes for `UPLOAD_STALL_TIMEOUT`. Waiting for a slow client does
    /// not count.
    pub async fn wait_stalled(&self) {
        loop {
            let (at, waiting) = self.last_poll.get();
            if !waiting && at.elapsed() >= UPLOAD_STALL_TIMEOUT {
                return;
            }
            sleep(UPLOAD_STALL_TIMEOUT / 8).await;
        }
    }

    fn poll_bytes(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some((_, error)) = self.end.get() {
            return Poll::Ready(error.map(Err));
        }
        let mut body = self.body.borrow_mut();
        let next = body.poll_bytes(cx);
        self.last_poll.set((Instant::now(), next.is_pending()));
        let next = ready!(next);
        self.consumed.set(true);
        let error = match &next {
            Some(Err(error)) => Some(*error),
            Some(Ok(_)) if !body.is_at_end() => return Poll::Ready(next),
            _ => None,
        };
        self.end.set(Some((Instant::now(), error)));
        self.end_notify.notify_waiters();
        Poll::Ready(next)
    }

    /// Drains the body as soon as this is the only reference to it.
    pub async fn drain_when_unshared(self: Rc<Self>) {
        while Rc::strong_count(&self) > 1 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.drain().await;
    }

    /// Reads and discards the rest. Closing the connection with unread bytes would reset it, and the answer would be
    /// lost.
    pub async fn drain(&self) {
        while let Some(Ok(_)) = std::future::poll_fn(|cx| self.poll_bytes(cx)).await {}
    }
}

/// The body of a request to a backend.
pub struct OutgoingBody {
    start: Bytes,
    rest: Option<Rc<Upload>>,
    handed_out: Rc<Cell<bool>>,
}

impl OutgoingBody {
    /// A buffered start, followed by the streamed rest if there is one.
    pub fn new(start: Bytes, rest: Option<Rc<Upload>>) -> Self {
        let handed_out = Rc::new(Cell::new(start.is_empty() && rest.is_none()));
        Self { start, rest, handed_out }
    }

    /// A flag that becomes true once the last byte has been handed to the HTTP library.
    pub fn handed_out(&self) -> Rc<Cell<bool>> {
        self.handed_out.clone()
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let next = if self.start.is_empty() {
            match &self.rest {
                Some(rest) => ready!(rest.poll_bytes(cx)),
                None => None,
            }
        } else {
            Some(Ok(std::mem::take(&mut self.start)))
        };
        self.handed_out.set(next.is_none() || self.is_end_stream());
        Poll::Ready(next.map(|bytes| bytes.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_empty()
            && self.rest.as_ref().is_none_or(|rest| rest.end.get().is_some_and(|end| end.1.is_none()))
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.start.len() as u64;
        match &self.rest {
            None => SizeHint::with_exact(start),
            Some(rest) if rest.end.get().is_some() => SizeHint::with_exact(start),
            Some(rest) => {
                rest.body.borrow().remaining().map_or_else(SizeHint::new, |n| SizeHint::with_exact(start + n))
            }
        }
    }
}

/// An item of a streamed answer: bytes, or `None` at the end. A stream without the end marker was truncated.
pub type AnswerChunk = Result<Option<Bytes>, BodyError>;

/// The body of a streamed answer as the client receives it.
#[derive(Debug)]
pub struct Download {
    frames: mpsc::Receiver<AnswerChunk>,
    remaining: Option<u64>,
}

/// Creates a streamed answer of known or unknown length, with the sender for its chunks.
pub fn download(length: Option<u64>) -> (mpsc::Sender<AnswerChunk>, Download) {
    let (sender, frames) = mpsc::channel(ANSWER_QUEUE_FRAMES);
    (sender, Download { frames, remaining: length })
}

/// The body of an answer to a client. `T` is held until the body has ended.
pub struct AnswerBody<T> {
    source: Source,
    /// Notified of the end of the body, and dropped with it.
    pub guard: T,
}

enum Source {
    Whole(Full<Bytes>),
    Stream(Download),
}

/// Receives the end of an answer's body.
pub trait OnBodyEnd {
    /// Called when the body has ended, completely or not.
    fn body_ended(&mut self, complete: bool);
}

impl<T> AnswerBody<T> {
    /// A buffered body.
    pub fn whole(bytes: Bytes, guard: T) -> Self {
        Self { source: Source::Whole(Full::new(bytes)), guard }
    }

    /// A streamed body.
    pub fn stream(download: Download, guard: T) -> Self {
        Self { source: Source::Stream(download), guard }
    }
}

impl<T: OnBodyEnd + Unpin> Body for AnswerBody<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let download = match &mut this.source {
            Source::Whole(body) => {
                return Pin::new(body).poll_frame(cx).map_err(|never| match never {});
            }
            Source::Stream(download) => download,
        };
        if download.remaining == Some(0) {
            return Poll::Ready(None);
        }
        let next = match ready!(download.frames.poll_recv(cx)) {
            Some(Ok(Some(bytes))) => {
                download.remaining =
                    download.remaining.map(|remaining| remaining.saturating_sub(bytes.len() as u64));
                if download.remaining == Some(0) {
                    this.guard.body_ended(true);
                }
                Some(Ok(Frame::data(bytes)))
            }
            Some(Ok(None)) if download.remaining.is_none() => {
                this.guard.body_ended(true);
                None
            }
            Some(Err(error)) => Some(Err(error)),
            _ => Some(Err(BodyError::Broken)),
        };
        if matches!(next, Some(Err(_))) {
            this.guard.body_ended(false);
        }
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(body) => body.is_end_stream(),
            Source::Stream(download) => download.remaining == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(body) => body.size_hint(),
            Source::Stream(download) => download.remaining.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}
