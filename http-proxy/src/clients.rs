//! Client connections: the state of each, its socket, and the limit on all of them.

use crate::engine::RequestGuard;
use crate::observe::metrics::{ActiveRequest, Metrics, RequestResult, Stage};
use crate::observe::usage::ConnectionUse;
use crate::pool::{Protocol, spawn};
use crate::wire::body::OnBodyEnd;
use doorcourse::Name;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Delay before the next accept after a failed one, for instance when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// A connection that is asked to close has this long to finish a request that arrives at the same time.
pub const CLOSE_GRACE: Duration = Duration::from_millis(50);

/// The state of one client connection.
pub struct ClientConnection {
    idle_timeout: Duration,
    /// Timeout for receiving the head of a request.
    head_timeout: Duration,
    /// Whether a request is being processed or its answer is not yet handed out.
    busy: Cell<bool>,
    /// When the connection was accepted or last answered.
    idle_since: Cell<Instant>,
    /// When the first byte of the next request arrived.
    head_started_at: Cell<Option<Instant>>,
    has_been_answered: Cell<bool>,
    /// Whether an answer has been handed to the HTTP library but is not yet written. The connection of a client that
    /// reads slowly is not idle.
    handed_out: Cell<bool>,
    /// When bytes were last received.
    read_at: Cell<Instant>,
    /// The class of the request whose answer is being written, and when the writing began.
    writing: Cell<Option<(Name, Instant)>>,
    close_requested: Notify,
}

impl ClientConnection {
    /// A connection that was accepted just now.
    pub fn new(idle_timeout: Duration, head_timeout: Duration) -> Rc<Self> {
        Rc::new(Self {
            idle_timeout,
            head_timeout,
            busy: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            head_started_at: Cell::new(None),
            has_been_answered: Cell::new(false),
            handed_out: Cell::new(false),
            read_at: Cell::new(Instant::now()),
            writing: Cell::default(),
            close_requested: Notify::new(),
        })
    }

    /// Marks the connection as busy until the answer to the request has been handed out and written.
    pub fn request_started(self: &Rc<Self>) -> BusyGuard {
        self.busy.set(true);
        self.head_started_at.set(None);
        self.handed_out.set(false);
        BusyGuard(self.clone())
    }

    /// Whether no request is being received or processed.
    pub fn is_idle(&self) -> bool {
        !self.busy.get() && self.head_started_at.get().is_none()
    }

    /// Whether a request is without a written answer.
    pub fn is_busy(&self) -> bool {
        self.busy.get()
    }

    /// Whether any answer has been written.
    pub fn has_been_answered(&self) -> bool {
        self.has_been_answered.get()
    }

    /// When the connection was accepted or last answered.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// When bytes were last received.
    pub fn read_at(&self) -> Instant {
        self.read_at.get()
    }

    /// Records that an answer to a request of this class is being written.
    pub fn answer_started(&self, class: Name) {
        self.writing.set(Some((class, Instant::now())));
    }

    /// Asks the connection to close.
    pub fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits until the timeout for the next request has elapsed. Receiving a head has a timeout of its own, but the
    /// first head has to arrive within the idle timeout as well: otherwise a peer that never completes a request could
    /// stay twice as long.
    async fn timed_out(&self) {
        loop {
            let (idle_by, head_started_at) =
                (self.idle_since.get() + self.idle_timeout, self.head_started_at.get());
            let by = match head_started_at.map(|head_started_at| head_started_at + self.head_timeout) {
                Some(by) if self.has_been_answered.get() => by,
                Some(by) => by.min(idle_by),
                None => idle_by,
            };
            if self.busy.get() {
                sleep(self.head_timeout / 2).await;
            } else if Instant::now() >= by {
                return;
            } else {
                sleep_until(by.min(Instant::now() + self.head_timeout)).await;
            }
        }
    }
}

/// Exists until the answer to a request has been handed out whole.
pub struct BusyGuard(Rc<ClientConnection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.handed_out.set(true);
    }
}

/// The socket of a client connection. Records when a request begins and when its answer has been written.
struct ClientSocket {
    stream: TcpStream,
    client: Rc<ClientConnection>,
    metrics: Rc<Metrics>,
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled {
            let now = Instant::now();
            self.client.read_at.set(now);
            if !self.client.busy.get() && self.client.head_started_at.get().is_none() {
                self.client.head_started_at.set(Some(now));
            }
        }
        read
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once it has written all buffered data.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.client.handed_out.replace(false) {
            self.client.busy.set(false);
            self.client.idle_since.set(Instant::now());
            self.client.has_been_answered.set(true);
            if let Some((class, started)) = self.client.writing.take() {
                self.metrics.record_stage(&class, Stage::WriteAnswer, started.elapsed());
            }
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Guards that are held until an answer has been handed out whole.
pub struct ResponseGuard<P: Protocol> {
    /// Keeps the connection busy.
    pub busy: Option<BusyGuard>,
    /// For a long answer: guards of the request, which counts as active until the answer ends.
    pub streamed: Option<(ActiveRequest, RequestGuard<P>)>,
}

impl<P: Protocol> Default for ResponseGuard<P> {
    fn default() -> Self {
        Self { busy: None, streamed: None }
    }
}

impl<P: Protocol> OnBodyEnd for ResponseGuard<P> {
    fn body_ended(&mut self, complete: bool) {
        if let Some((active, request)) = self.streamed.take() {
            active.finish(if complete { RequestResult::Served } else { RequestResult::Failed });
            drop(request);
        }
    }
}

/// All client connections, up to a maximum.
pub struct ClientConnections {
    clients: RefCell<Vec<Rc<ClientConnection>>>,
    max_clients: Cell<usize>,
    closed: Notify,
    metrics: Rc<Metrics>,
}

impl ClientConnections {
    /// Creates an empty set of connections.
    pub fn new(max_clients: usize, metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(Self {
            clients: RefCell::default(),
            max_clients: Cell::new(max_clients),
            closed: Notify::new(),
            metrics,
        })
    }

    /// The number of connections.
    pub fn count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Sets the maximum number of connections.
    pub fn set_max_clients(&self, max_clients: usize) {
        self.max_clients.set(max_clients);
        self.closed.notify_one();
    }

    /// Waits until a connection has closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Whether the maximum number of connections is reached.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max_clients.get()
    }

    /// Closes connections that have been idle for at least `min_idle`. A connection that is receiving a head is not idle;
    /// the head has a timeout, and the answer closes the connection.
    pub fn close_idle(&self, min_idle: Duration) {
        let clients = self.clients.borrow();
        let idle_clients =
            clients.iter().filter(|client| client.is_idle() && client.idle_since().elapsed() >= min_idle);
        idle_clients.for_each(|client| client.request_close());
    }

    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        if let Some(client) =
            clients.iter().filter(|client| !client.is_busy()).min_by_key(|client| client.idle_since())
        {
            client.request_close();
        }
    }

    /// Accepts the next connection as soon as the limit allows it.
    pub async fn accept(&self, listener: &TcpListener) -> TcpStream {
        loop {
            // Protects the file descriptors: further clients wait in the kernel's accept queue. Closing the
            // connection that has been idle longest protects waiting clients from peers that hold connections
            // without using them.
            while self.is_full() {
                self.close_longest_idle();
                self.closed.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Serves a connection until the client closes it or it is asked to close. `buffer` bounds the head of a request.
    pub fn serve<S, B>(
        self: Rc<Self>, stream: TcpStream, client: Rc<ClientConnection>, buffer: usize, service: S,
    ) where
        S: HttpService<Incoming, ResBody = B> + 'static,
        S::Error: Into<Box<dyn Error + Send + Sync>>,
        S::Future: 'static,
        B: Body + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        self.clients.borrow_mut().push(client.clone());
        let open = self.metrics.usage().connection_opened(ConnectionUse::Client);
        spawn(async move {
            // `_open` is declared before `connection`, so `_open` is dropped after `connection`.
            let _open = open;
            let _ = stream.set_nodelay(true);
            let socket = ClientSocket { stream, client: client.clone(), metrics: self.metrics.clone() };
            let builder = http1::Builder::new().max_buf_size(buffer).clone();
            let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = async {
                    tokio::select! { () = client.close_requested.notified() => {} () = client.timed_out() => {} }
                } => {
                    connection.as_mut().graceful_shutdown();
                    // A request that arrived at the same time is still answered.
                    let finished = timeout(CLOSE_GRACE, connection.as_mut()).await.is_ok();
                    if !finished && client.busy.get() {
                        let _ = connection.await;
                    }
                }
            }
            self.clients.borrow_mut().retain(|other| !Rc::ptr_eq(other, &client));
            self.closed.notify_one();
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use doorcourse::Settings;
    use std::future::poll_fn;

    const IDLE_TIMEOUT: Duration = Duration::from_millis(200);

    #[tokio::test]
    async fn connection_is_busy_until_the_answer_is_written() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let stream =
            TcpStream::connect(listener.local_addr().expect("local address")).await.expect("connect");
        let client = ClientConnection::new(IDLE_TIMEOUT, IDLE_TIMEOUT);
        let metrics = Metrics::new(&Settings::default());
        let mut socket = ClientSocket { stream, client: client.clone(), metrics };
        let busy = client.request_started();
        let mut flush = async || poll_fn(|cx| Pin::new(&mut socket).poll_flush(cx)).await.expect("flush");
        flush().await;
        assert!(client.busy.get(), "the answer is not handed out yet");
        drop(busy);
        // The answer may wait in the buffer for a slow client.
        assert!(client.busy.get(), "the answer is not written yet");
        assert!(
            timeout(IDLE_TIMEOUT + IDLE_TIMEOUT / 2, client.timed_out()).await.is_err(),
            "a busy connection does not time out"
        );
        flush().await;
        assert!(!client.busy.get() && client.has_been_answered.get());
        // With pipelining the next request may arrive before the flush of the previous answer.
        drop(client.request_started());
        let next = client.request_started();
        flush().await;
        assert!(client.busy.get());
        drop(next);
        flush().await;
        assert!(!client.busy.get());
    }
}
