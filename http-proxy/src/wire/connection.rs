//! One HTTP/1.1 connection to a server. Whoever uses it drives it: it does nothing by itself, sends nothing
//! twice, and is closed for certain the moment it is dropped.

use crate::observe::metrics::Metrics;
use crate::observe::usage::{ConnectionUse, OpenConnection, ResourceUsage};
use crate::wire::body::OutgoingBody;
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
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The number of the next connection.
static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// How far a request had got when its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// Not one byte of it was written.
    Unsent,
    /// Its last byte was not written.
    Partly,
    /// It was written whole.
    Whole,
}

/// What is known of an attempt while it is out, and still when it has been dropped half-way.
#[derive(Default)]
pub struct AttemptTrace {
    /// Where it is counted once it is written whole.
    pub metrics: Option<Rc<Metrics>>,
    /// When its connection stood: a new one, or a free one that was there.
    pub connected: Cell<Option<Instant>>,
    /// Whether any byte of it was written.
    pub write_started: Cell<bool>,
    /// Whether its last byte was written.
    pub fully_written: Cell<bool>,
    /// The connections that carried an attempt of its request, this one included.
    pub used_connections: Rc<UsedConnections>,
}

/// The connections that carried one request, by their numbers. A second answer to an earlier attempt may still come on
/// one of them, and its id would not tell it from the answer to the present one.
#[derive(Default)]
pub struct UsedConnections(RefCell<Vec<u64>>);

impl UsedConnections {
    /// Whether a connection carried the request.
    pub fn contains(&self, connection: &Connection) -> bool {
        self.0.borrow().contains(&connection.id)
    }

    /// The one that carried it last.
    pub(crate) fn last(&self) -> Option<u64> {
        self.0.borrow().last().copied()
    }

    /// A connection carries the request from now on.
    pub fn add(&self, connection: &Connection) {
        self.0.borrow_mut().push(connection.id);
    }
}

/// How far the present request has been written, and who is told once it is whole.
struct WriteState {
    progress: Cell<WriteProgress>,
    /// Whether the HTTP library has got its last byte.
    handed_out: RefCell<Rc<Cell<bool>>>,
    trace: RefCell<Rc<AttemptTrace>>,
}

/// The socket as the HTTP library sees it; it notes how far the present request has been written.
struct TracedSocket {
    stream: Rc<TcpStream>,
    write_state: Rc<WriteState>,
}

impl AsyncRead for TracedSocket {
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

impl AsyncWrite for TracedSocket {
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
                        self.write_state.progress.set(WriteProgress::Partly);
                        self.write_state.trace.borrow().write_started.set(true);
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
        if self.write_state.progress.get() == WriteProgress::Partly
            && self.write_state.handed_out.borrow().get()
        {
            self.write_state.progress.set(WriteProgress::Whole);
            let trace = self.write_state.trace.take();
            trace.fully_written.set(true);
            if let Some(metrics) = &trace.metrics {
                metrics.attempt_written();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// One connection.
pub struct Connection {
    id: u64,
    /// Whether all answers came as they should: after whole requests, in the protocol's present version.
    reusable: bool,
    sender: http1::SendRequest<OutgoingBody>,
    /// Gone once it has ended.
    driver: Driver,
    stream: Rc<TcpStream>,
    write_state: Rc<WriteState>,
    _open: OpenConnection,
}

impl Connection {
    /// Connects; it is counted as long as it is open.
    ///
    /// # Errors
    /// When no connection comes up in time.
    pub async fn connect(
        address: SocketAddr, timeout: Duration, usage: &Rc<ResourceUsage>, purpose: ConnectionUse,
    ) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
        let _open = usage.connection_opened(purpose);
        stream.set_nodelay(true)?;
        Self::from_stream(Rc::new(stream), _open).await
    }

    async fn from_stream(stream: Rc<TcpStream>, _open: OpenConnection) -> io::Result<Self> {
        let progress = Cell::new(WriteProgress::Unsent);
        let write_state =
            Rc::new(WriteState { progress, handed_out: RefCell::default(), trace: RefCell::default() });
        let socket = TracedSocket { stream: stream.clone(), write_state: write_state.clone() };
        let builder = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).clone();
        let (sender, driver) = builder.handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        Ok(Self { id, reusable: true, sender, driver: Some(Box::pin(driver)), stream, write_state, _open })
    }

    /// Its number, which no other connection of this process has.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// The same connection once more, as if nothing had been asked on it. Only planted faults do so.
    pub(crate) async fn duplicate(&self) -> io::Result<Self> {
        Self::from_stream(self.stream.clone(), self._open.another()).await
    }

    /// Has the kernel break the connection once the other machine has acknowledged nothing for so long, in the middle
    /// of a request or idle. A machine that vanishes says nothing.
    pub fn set_user_timeout(&self, silence: Duration) {
        set_user_timeout(&self.stream, silence);
    }

    /// Whether the idle connection still stands, by the kernel's newest word: asks the socket itself, since
    /// what the event loop has heard so far may be old. Data that nobody asked for is a fault too.
    pub fn is_open(&self) -> bool {
        let peeked = socket2::SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.driver.is_some() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the head of the answer. `trace` hears when the request is written whole.
    ///
    /// # Errors
    /// When the connection fails first or the answer cannot be read; says how far the request got.
    pub async fn send(
        &mut self, request: Request<OutgoingBody>, trace: Rc<AttemptTrace>,
    ) -> Result<(response::Parts, Incoming), WriteProgress> {
        self.write_state.progress.set(WriteProgress::Unsent);
        self.write_state.trace.replace(trace);
        self.write_state.handed_out.replace(request.body().handed_out());
        let answer = self.sender.send_request(request);
        let answer = drive(&mut self.driver, answer).await;
        let answer = answer.map_err(|_| self.write_state.progress.get())?;
        // Whoever answers before it has the request may take the rest for another one, and to an older version of the
        // protocol the library would write the next request otherwise.
        self.reusable &=
            self.write_state.progress.get() == WriteProgress::Whole && answer.version() == Version::HTTP_11;
        Ok(answer.into_parts())
    }

    /// The next bytes of an answer's body; none at its end.
    pub async fn next_bytes(&mut self, body: &mut Incoming) -> Option<Result<Bytes, WriteProgress>> {
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
        Some(
            next.map_err(|_| self.write_state.progress.get())
                .map(|frame| frame.into_data().unwrap_or_default()),
        )
    }

    /// Sends a request and waits for the whole answer, its body no larger than `most`.
    ///
    /// # Errors
    /// When the connection fails first or the answer cannot be read; says how far the request got.
    pub async fn exchange(
        &mut self, request: Request<OutgoingBody>, max_body: usize,
    ) -> Result<(response::Parts, Bytes), WriteProgress> {
        let (head, mut body) = self.send(request, Rc::default()).await?;
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.next_bytes(&mut body).await {
            whole.extend_from_slice(&bytes?);
            if whole.len() > max_body {
                return Err(WriteProgress::Whole);
            }
        }
        Ok((head, whole.freeze()))
    }

    /// Whether the connection can carry another request now.
    pub async fn is_reusable(&mut self) -> bool {
        let (driver, sender) = (&mut self.driver, &mut self.sender);
        poll_fn(|cx| {
            poll_driver(driver, cx);
            Poll::Ready(matches!(sender.poll_ready(cx), Poll::Ready(Ok(()))))
        })
        .await
            && self.driver.is_some()
            && self.reusable
    }
}

/// Has the kernel break a connection whose other machine has acknowledged nothing for so long. Where that can't be had
/// the connection goes on without.
pub fn set_user_timeout(stream: &TcpStream, silence: Duration) {
    let socket = socket2::SockRef::from(stream);
    let probes =
        socket2::TcpKeepalive::new().with_time(silence / 2).with_interval(silence / 2).with_retries(2);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(silence));
}

type Driver = Option<Pin<Box<http1::Connection<TokioIo<TracedSocket>, OutgoingBody>>>>;

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
