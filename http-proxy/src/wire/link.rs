//! One HTTP/1.1 connection to a server. Whoever uses it drives it: it does nothing by itself, sends nothing
//! twice, and is closed for certain the moment it is dropped.

use crate::observe::cost::{Cost, Held, Use};
use crate::observe::figures::Figures;
use crate::wire::body::Outgoing;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::http::response;
use hyper::{Request, Version};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The most that is held of what comes in: heads, and a long body's next bytes.
const BUFFER: usize = 64 * 1024;

/// The number of the next connection.
static NUMBERS: AtomicU64 = AtomicU64::new(0);

/// How far a request had got when its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Not one byte of it was written.
    Unsent,
    /// Its last byte was not written.
    Partly,
    /// It was written whole.
    Whole,
}

/// What is known of an attempt while it is out, and still when it has been dropped half-way.
#[derive(Default)]
pub struct Trace {
    /// Where it is counted once it is written whole.
    pub figures: Option<Rc<Figures>>,
    /// When its connection stood: a new one, or a free one that was there.
    pub connected: Cell<Option<Instant>>,
    /// Whether any byte of it was written.
    pub begun: Cell<bool>,
    /// Whether its last byte was written.
    pub whole: Cell<bool>,
    /// The connections that carried an attempt of its request, this one included.
    pub carriers: Rc<Carriers>,
}

/// The connections that carried one request, by their numbers. A second answer to an earlier attempt may still come on
/// one of them, and its id would not tell it from the answer to the present one.
#[derive(Default)]
pub struct Carriers(RefCell<Vec<u64>>);

impl Carriers {
    /// Whether a connection carried the request.
    pub fn has(&self, link: &Link) -> bool {
        self.0.borrow().contains(&link.number)
    }

    /// The one that carried it last.
    pub(crate) fn last(&self) -> Option<u64> {
        self.0.borrow().last().copied()
    }

    /// A connection carries the request from now on.
    pub fn add(&self, link: &Link) {
        self.0.borrow_mut().push(link.number);
    }
}

/// How far the present request has been written, and who is told once it is whole.
struct Sent {
    progress: Cell<Progress>,
    /// Whether the HTTP library has got its last byte.
    handed: RefCell<Rc<Cell<bool>>>,
    trace: RefCell<Rc<Trace>>,
}

/// The socket as the HTTP library sees it; it notes how far the present request has been written.
struct Wire {
    stream: Rc<TcpStream>,
    sent: Rc<Sent>,
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Ok(written) => {
                    if written > 0 {
                        self.sent.progress.set(Progress::Partly);
                        self.sent.trace.borrow().begun.set(true);
                    }
                    return Poll::Ready(Ok(written));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The HTTP library flushes once all that it holds has been written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.sent.progress.get() == Progress::Partly && self.sent.handed.borrow().get() {
            self.sent.progress.set(Progress::Whole);
            let trace = self.sent.trace.take();
            trace.whole.set(true);
            if let Some(figures) = &trace.figures {
                figures.tried();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// One connection.
pub struct Link {
    number: u64,
    /// Whether all answers came as they should: after whole requests, in the protocol's present version.
    orderly: bool,
    sender: http1::SendRequest<Outgoing>,
    /// Gone once it has ended.
    driver: Driver,
    stream: Rc<TcpStream>,
    sent: Rc<Sent>,
    _held: Held,
}

impl Link {
    /// Connects; it is counted as long as it is open.
    ///
    /// # Errors
    /// When no connection comes up in time.
    pub async fn connect(to: SocketAddr, timeout: Duration, cost: &Rc<Cost>, of: Use) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(to)).await??;
        let _held = cost.holds(of);
        stream.set_nodelay(true)?;
        Self::over(Rc::new(stream), _held).await
    }

    async fn over(stream: Rc<TcpStream>, _held: Held) -> io::Result<Self> {
        let progress = Cell::new(Progress::Unsent);
        let sent = Rc::new(Sent { progress, handed: RefCell::default(), trace: RefCell::default() });
        let wire = Wire { stream: stream.clone(), sent: sent.clone() };
        let builder = http1::Builder::new().max_buf_size(BUFFER).clone();
        let (sender, driver) = builder.handshake(TokioIo::new(wire)).await.map_err(io::Error::other)?;
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        Ok(Self { number, orderly: true, sender, driver: Some(Box::pin(driver)), stream, sent, _held })
    }

    /// Its number, which no other connection of this process has.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// The same connection once more, as if nothing had been asked on it. Only planted faults do so.
    pub(crate) async fn twin(&self) -> io::Result<Self> {
        Self::over(self.stream.clone(), self._held.again()).await
    }

    /// Has the kernel break the connection once the other machine has acknowledged nothing for so long, in the middle
    /// of a request or idle. A machine that vanishes says nothing.
    pub fn give_up_after(&self, silence: Duration) {
        give_up_after(&self.stream, silence);
    }

    /// Whether the idle connection still stands, by the kernel's newest word: asks the socket itself, since
    /// what the event loop has heard so far may be old. Data that nobody asked for is a fault too.
    pub fn stands(&self) -> bool {
        let peeked = socket2::SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.driver.is_some() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the head of the answer. `trace` hears when the request is written whole.
    ///
    /// # Errors
    /// When the connection fails first or the answer cannot be read; says how far the request got.
    pub async fn send(
        &mut self, request: Request<Outgoing>, trace: Rc<Trace>,
    ) -> Result<(response::Parts, Incoming), Progress> {
        self.sent.progress.set(Progress::Unsent);
        self.sent.trace.replace(trace);
        self.sent.handed.replace(request.body().handed());
        let answer = self.sender.send_request(request);
        let answer = drive(&mut self.driver, answer).await;
        let answer = answer.map_err(|_| self.sent.progress.get())?;
        // Whoever answers before it has the request may take the rest for another one, and to an older version of the
        // protocol the library would write the next request otherwise.
        self.orderly &= self.sent.progress.get() == Progress::Whole && answer.version() == Version::HTTP_11;
        Ok(answer.into_parts())
    }

    /// The next bytes of an answer's body; none at its end.
    pub async fn bytes(&mut self, body: &mut Incoming) -> Option<Result<Bytes, Progress>> {
        let next = poll_fn(|cx| {
            loop {
                match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                    // Trailers say nothing that is passed on.
                    Some(Ok(frame)) if frame.is_trailers() => {}
                    next => return Poll::Ready(next),
                }
            }
        });
        let next = drive(&mut self.driver, next).await?;
        Some(next.map_err(|_| self.sent.progress.get()).map(|frame| frame.into_data().unwrap_or_default()))
    }

    /// Sends a request and waits for the whole answer, its body no larger than `most`.
    ///
    /// # Errors
    /// When the connection fails first or the answer cannot be read; says how far the request got.
    pub async fn exchange(
        &mut self, request: Request<Outgoing>, most: usize,
    ) -> Result<(response::Parts, Bytes), Progress> {
        let (head, mut body) = self.send(request, Rc::default()).await?;
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.bytes(&mut body).await {
            whole.extend_from_slice(&bytes?);
            if whole.len() > most {
                return Err(Progress::Whole);
            }
        }
        Ok((head, whole.freeze()))
    }

    /// Whether the connection can carry another request now.
    pub async fn is_free(&mut self) -> bool {
        let (driver, sender) = (&mut self.driver, &mut self.sender);
        poll_fn(|cx| {
            poll_driver(driver, cx);
            Poll::Ready(matches!(sender.poll_ready(cx), Poll::Ready(Ok(()))))
        })
        .await
            && self.driver.is_some()
            && self.orderly
    }
}

/// Has the kernel break a connection whose other machine has acknowledged nothing for so long. Where that can't be had
/// the connection goes on without.
pub fn give_up_after(stream: &TcpStream, silence: Duration) {
    let socket = socket2::SockRef::from(stream);
    let probes =
        socket2::TcpKeepalive::new().with_time(silence / 2).with_interval(silence / 2).with_retries(2);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(silence));
}

type Driver = Option<Pin<Box<http1::Connection<TokioIo<Wire>, Outgoing>>>>;

fn poll_driver(driver: &mut Driver, cx: &mut Context<'_>) {
    if driver.as_mut().is_some_and(|d| d.as_mut().poll(cx).is_ready()) {
        *driver = None;
    }
}

/// Waits for what the connection brings, and moves the connection's bytes meanwhile.
async fn drive<T>(driver: &mut Driver, wanted: impl Future<Output = T>) -> T {
    let mut wanted = pin!(wanted);
    poll_fn(|cx| {
        poll_driver(driver, cx);
        wanted.as_mut().poll(cx)
    })
    .await
}
