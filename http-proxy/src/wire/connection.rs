//! A connection to an HTTP/1.1 server. The connection makes progress only while its owner awaits a future of the
//! connection, never resends a request, and closes when dropped.

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

/// Maximum size of the read buffer, for heads and for the next bytes of a long body.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The id of the next connection.
static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// How much of a request had been written when its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// No byte was written.
    Unsent,
    /// Some bytes, but not the last one, were written.
    Partly,
    /// The last byte was written.
    Whole,
}

/// Progress of an attempt, readable during the attempt and after it has been dropped.
#[derive(Default)]
pub struct AttemptTrace {
    /// Where the attempt is counted once it is written whole.
    pub metrics: Option<Rc<Metrics>>,
    /// When the attempt obtained a connection, new or idle.
    pub connected: Cell<Option<Instant>>,
    /// Whether any byte of the request was written.
    pub write_started: Cell<bool>,
    /// Whether the last byte of the request was written.
    pub fully_written: Cell<bool>,
    /// The connections used by attempts of the same request, including this one.
    pub used_connections: Rc<UsedConnections>,
}

/// The ids of the connections that carried attempts of one request. A late second answer to an earlier attempt may
/// still arrive on one of them, and its request id would match the present attempt as well.
#[derive(Default)]
pub struct UsedConnections(RefCell<Vec<u64>>);

impl UsedConnections {
    /// Whether a connection carried the request.
    pub fn contains(&self, connection: &Connection) -> bool {
        self.0.borrow().contains(&connection.id)
    }

    /// The connection that carried the request last.
    pub(crate) fn last(&self) -> Option<u64> {
        self.0.borrow().last().copied()
    }

    /// Records that a connection carries the request.
    pub fn add(&self, connection: &Connection) {
        self.0.borrow_mut().push(connection.id);
    }
}

/// How much of the present request has been written, and its trace.
struct WriteState {
    progress: Cell<WriteProgress>,
    /// Whether the HTTP library has received the last byte of the request.
    handed_out: RefCell<Rc<Cell<bool>>>,
    trace: RefCell<Rc<AttemptTrace>>,
}

/// The socket as the HTTP library uses it. Records how much of the present request has been written.
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

    /// The HTTP library flushes once it has written all buffered data.
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

/// One HTTP/1.1 client connection.
pub struct Connection {
    id: u64,
    /// Whether every answer used HTTP/1.1 and came after its request had been written whole.
    reusable: bool,
    sender: http1::SendRequest<OutgoingBody>,
    /// `None` once the connection has ended.
    driver: Driver,
    stream: Rc<TcpStream>,
    write_state: Rc<WriteState>,
    _open: OpenConnection,
}

impl Connection {
    /// Connects. The connection is counted for as long as it is open.
    ///
    /// # Errors
    /// When the connection is not established within the timeout.
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

    /// The id, unique within the process.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// A duplicate of the connection without a pending request. Used only for fault injection.
    pub(crate) async fn duplicate(&self) -> io::Result<Self> {
        Self::from_stream(self.stream.clone(), self._open.another()).await
    }

    /// Has the kernel close the connection when the peer has acknowledged nothing for `silence`, during a request or
    /// while idle. A machine that vanishes sends neither a FIN nor a reset.
    pub fn set_user_timeout(&self, silence: Duration) {
        set_user_timeout(&self.stream, silence);
    }

    /// Whether an idle connection is still open and has received nothing. Peeks at the socket, since the state known to
    /// the event loop may be stale. Unsolicited data makes the connection unusable.
    pub fn is_open(&self) -> bool {
        let peeked = socket2::SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.driver.is_some() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the head of the answer. `trace` records the progress.
    ///
    /// # Errors
    /// When the connection fails first or the answer is invalid; the error says how much of the request was written.
    pub async fn send(
        &mut self, request: Request<OutgoingBody>, trace: Rc<AttemptTrace>,
    ) -> Result<(response::Parts, Incoming), WriteProgress> {
        self.write_state.progress.set(WriteProgress::Unsent);
        self.write_state.trace.replace(trace);
        self.write_state.handed_out.replace(request.body().handed_out());
        let answer = self.sender.send_request(request);
        let answer = drive(&mut self.driver, answer).await;
        let answer = answer.map_err(|_| self.write_state.progress.get())?;
        // A server that answers before it has the whole request may parse the rest as a new request. After an answer
        // of an older HTTP version the library would send the next request in that version.
        self.reusable &=
            self.write_state.progress.get() == WriteProgress::Whole && answer.version() == Version::HTTP_11;
        Ok(answer.into_parts())
    }

    /// Reads the next bytes of an answer's body; `None` at the end.
    pub async fn next_bytes(&mut self, body: &mut Incoming) -> Option<Result<Bytes, WriteProgress>> {
        let next = poll_fn(|cx| {
            loop {
                match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                    // Trailers are not forwarded.
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

    /// Sends a request and reads the whole answer, with a body of at most `max_body` bytes.
    ///
    /// # Errors
    /// When the connection fails first or the answer is invalid; the error says how much of the request was written.
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

    /// Whether the connection can carry another request.
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

/// Has the kernel close a connection whose peer has acknowledged nothing for `silence`. If the options cannot be set,
/// the connection stays usable without them.
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

/// Awaits a future of the connection while driving the connection's I/O.
async fn drive<T>(driver: &mut Driver, wanted: impl Future<Output = T>) -> T {
    let mut wanted = pin!(wanted);
    poll_fn(|cx| {
        poll_driver(driver, cx);
        wanted.as_mut().poll(cx)
    })
    .await
}
