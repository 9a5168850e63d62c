//! Bodies, both ways. What is short is held whole and can be sent again; what is long streams through bounded
//! buffers: a reader that stalls stops the writer.

use crate::time::clock::span;
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

/// A body of up to this many bytes is held whole.
pub const HELD: usize = 64 * 1024;
/// The largest body that is taken from a client.
pub const LARGEST: u64 = 34 << 20;
/// Frames of a long answer that wait for their reader.
const FRAMES: usize = 2;
/// A client that is silent in the middle of a short body for this long, or of a long one, sends no proper request.
const GAP: Duration = Duration::from_millis(2300);
const LONG_GAP: Duration = Duration::from_secs(6);
/// All the waiting for a client must stay within this much and what its bytes give at so many a second: half of
/// what slow clients are allowed, as their bytes come in pieces.
const SLACK: Duration = Duration::from_millis(2500);
const SLOWEST: f64 = 32_000.0;

/// A backend may leave what is there of a long body for this long.
const STALLED: Duration = Duration::from_secs(8);

/// Whether an attempt still draws on a body that is no longer wanted is looked after this often.
const DRAIN: Duration = Duration::from_millis(10);

/// Why a body ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Its sender broke it off.
    Broken,
    /// Its sender was silent or slow for too long.
    TooSlow,
    /// It is larger than what is taken.
    TooLarge,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "the body broke off",
            Self::TooSlow => "the body came too slowly",
            Self::TooLarge => "the body is too large",
        })
    }
}

impl std::error::Error for Cut {}

/// A client's body. Its time goes by progress: waiting counts, being read slowly does not.
pub struct ClientBody {
    body: Incoming,
    timer: Pin<Box<Sleep>>,
    /// The first bytes come by this time.
    first_by: Option<Instant>,
    waiting_since: Option<Instant>,
    waited: Duration,
    bytes: u64,
    most: u64,
}

impl ClientBody {
    /// A body that has brought nothing yet.
    pub fn new(body: Incoming, first_by: Instant) -> Self {
        let timer = Box::pin(sleep_until(first_by));
        Self {
            body,
            timer,
            first_by: Some(first_by),
            waiting_since: None,
            waited: Duration::ZERO,
            bytes: 0,
            most: LARGEST,
        }
    }

    /// It may be so large instead.
    pub fn at_most(mut self, most: u64) -> Self {
        self.most = most;
        self
    }

    /// How much is still to come, where that was said.
    pub fn left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Whether nothing more comes.
    pub fn is_over(&self) -> bool {
        self.body.is_end_stream()
    }

    /// The next bytes; none at the end.
    pub fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers say nothing that goes on to a backend.
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.waited += self.waiting_since.take().map_or(Duration::ZERO, |since| since.elapsed());
                    self.first_by = None;
                    self.bytes += bytes.len() as u64;
                    let fits = self.bytes <= self.most;
                    return Poll::Ready(Some(if fits { Ok(bytes) } else { Err(Cut::TooLarge) }));
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(Cut::Broken))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => {}
            }
            if self.waiting_since.is_none() {
                let now = Instant::now();
                let gap = now + if self.bytes > HELD as u64 { LONG_GAP } else { GAP };
                let allowed = SLACK + span(self.bytes as f64 / SLOWEST * 1000.0);
                let due = self.first_by.unwrap_or(gap).min(now + allowed.saturating_sub(self.waited));
                self.timer.as_mut().reset(due);
                self.waiting_since = Some(now);
            }
            ready!(self.timer.as_mut().poll(cx));
            return Poll::Ready(Some(Err(Cut::TooSlow)));
        }
    }

    /// The next bytes; none at the end.
    pub async fn bytes(&mut self) -> Option<Result<Bytes, Cut>> {
        std::future::poll_fn(|cx| self.poll_bytes(cx)).await
    }
}

/// What is still to come of a client's long body. It passes once: what an attempt has drawn is gone.
pub struct Upload {
    body: RefCell<ClientBody>,
    drawn: Cell<bool>,
    /// When it last moved, and whether it is waited for since.
    moved: Cell<(Instant, bool)>,
    over: Cell<Option<(Instant, Option<Cut>)>>,
    end: Notify,
}

impl Upload {
    /// The rest of a body whose start is held.
    pub fn new(body: ClientBody) -> Rc<Self> {
        let (drawn, moved) = (Cell::new(false), Cell::new((Instant::now(), false)));
        let (body, over, end) = (RefCell::new(body), Cell::new(None), Notify::new());
        Rc::new(Self { body, drawn, moved, over, end })
    }

    /// Whether some of it is gone: it cannot be sent a second time.
    pub fn is_drawn(&self) -> bool {
        self.drawn.get()
    }

    /// Why its client is to blame for its end, if it is.
    pub fn cut(&self) -> Option<Cut> {
        self.over.get().and_then(|(_, cut)| cut)
    }

    /// When its last byte came.
    pub fn over_at(&self) -> Option<Instant> {
        self.over.get().map(|(at, _)| at)
    }

    /// Waits until it is over, and tells since when.
    pub async fn ended(&self) -> Instant {
        loop {
            let end = self.end.notified();
            if let Some((at, _)) = self.over.get() {
                return at;
            }
            end.await;
        }
    }

    /// Waits until the backend that should draw on it has not done so for too long. That the client is slow is
    /// another matter.
    pub async fn stalls(&self) {
        loop {
            let (at, waiting) = self.moved.get();
            if !waiting && at.elapsed() >= STALLED {
                return;
            }
            sleep(STALLED / 8).await;
        }
    }

    fn poll_bytes(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        if let Some((_, cut)) = self.over.get() {
            return Poll::Ready(cut.map(Err));
        }
        let mut body = self.body.borrow_mut();
        let next = body.poll_bytes(cx);
        self.moved.set((Instant::now(), next.is_pending()));
        let next = ready!(next);
        self.drawn.set(true);
        let cut = match &next {
            Some(Err(cut)) => Some(*cut),
            Some(Ok(_)) if !body.is_over() => return Poll::Ready(next),
            _ => None,
        };
        self.over.set(Some((Instant::now(), cut)));
        self.end.notify_waiters();
        Poll::Ready(next)
    }

    /// Reads what is left once nobody else holds it.
    pub async fn drain_once_left(self: Rc<Self>) {
        while Rc::strong_count(&self) > 1 {
            sleep(DRAIN).await;
        }
        self.drain().await;
    }

    /// Reads what nobody wants any more: closing on it unread would reset the connection, and the answer with it.
    pub async fn drain(&self) {
        while let Some(Ok(_)) = std::future::poll_fn(|cx| self.poll_bytes(cx)).await {}
    }
}

/// The body of a request on its way to a server.
pub struct Outgoing {
    start: Bytes,
    rest: Option<Rc<Upload>>,
    handed: Rc<Cell<bool>>,
}

impl Outgoing {
    /// What is held, and then the rest if there is one.
    pub fn new(start: Bytes, rest: Option<Rc<Upload>>) -> Self {
        let handed = Rc::new(Cell::new(start.is_empty() && rest.is_none()));
        Self { start, rest, handed }
    }

    /// Turns true once the last byte has been handed out.
    pub fn handed(&self) -> Rc<Cell<bool>> {
        self.handed.clone()
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let next = if self.start.is_empty() {
            match &self.rest {
                Some(rest) => ready!(rest.poll_bytes(cx)),
                None => None,
            }
        } else {
            Some(Ok(std::mem::take(&mut self.start)))
        };
        self.handed.set(next.is_none() || self.is_end_stream());
        Poll::Ready(next.map(|bytes| bytes.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_empty()
            && self.rest.as_ref().is_none_or(|rest| rest.over.get().is_some_and(|o| o.1.is_none()))
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.start.len() as u64;
        match &self.rest {
            None => SizeHint::with_exact(start),
            Some(rest) if rest.over.get().is_some() => SizeHint::with_exact(start),
            Some(rest) => {
                rest.body.borrow().left().map_or_else(SizeHint::new, |n| SizeHint::with_exact(start + n))
            }
        }
    }
}

/// What comes of a long answer: bytes or the word that they were all. Without that word it is cut, whatever came.
pub type Piece = Result<Option<Bytes>, Cut>;

/// A long answer's body as its client gets it.
#[derive(Debug)]
pub struct Download {
    frames: mpsc::Receiver<Piece>,
    left: Option<u64>,
}

/// A long answer whose length may be known, and where its bytes go.
pub fn download(length: Option<u64>) -> (mpsc::Sender<Piece>, Download) {
    let (sender, frames) = mpsc::channel(FRAMES);
    (sender, Download { frames, left: length })
}

/// The body of an answer to a client. `T` is what lasts until the client has it all.
pub struct Content<T> {
    kind: Kind,
    /// Told how the body ended, and dropped with it.
    pub keep: T,
}

enum Kind {
    Whole(Full<Bytes>),
    Stream(Download),
}

/// Hears of the end of an answer's body.
pub trait Ended {
    /// It ended, whole or not.
    fn ended(&mut self, whole: bool);
}

impl<T> Content<T> {
    /// A body that is here.
    pub fn whole(bytes: Bytes, keep: T) -> Self {
        Self { kind: Kind::Whole(Full::new(bytes)), keep }
    }

    /// A body that is still coming.
    pub fn stream(download: Download, keep: T) -> Self {
        Self { kind: Kind::Stream(download), keep }
    }
}

impl<T: Ended + Unpin> Body for Content<T> {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let this = &mut *self;
        let download = match &mut this.kind {
            Kind::Whole(body) => {
                return Pin::new(body).poll_frame(cx).map_err(|never| match never {});
            }
            Kind::Stream(download) => download,
        };
        if download.left == Some(0) {
            return Poll::Ready(None);
        }
        let next = match ready!(download.frames.poll_recv(cx)) {
            Some(Ok(Some(bytes))) => {
                download.left = download.left.map(|left| left.saturating_sub(bytes.len() as u64));
                if download.left == Some(0) {
                    this.keep.ended(true);
                }
                Some(Ok(Frame::data(bytes)))
            }
            Some(Ok(None)) if download.left.is_none() => {
                this.keep.ended(true);
                None
            }
            Some(Err(cut)) => Some(Err(cut)),
            _ => Some(Err(Cut::Broken)),
        };
        if matches!(next, Some(Err(_))) {
            this.keep.ended(false);
        }
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Whole(body) => body.is_end_stream(),
            Kind::Stream(download) => download.left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Whole(body) => body.size_hint(),
            Kind::Stream(download) => download.left.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}
