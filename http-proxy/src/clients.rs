//! Clients' connections: what each of them is at, and its socket.

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

/// A failed accept is tried again after this: descriptors may have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Who is asked to leave has this long for a request that crosses the word.
pub const CLOSE_GRACE: Duration = Duration::from_millis(50);

/// One client's connection.
pub struct ClientConnection {
    /// It may stand idle for so long, and be in the middle of a head.
    idle_timeout: Duration,
    head_timeout: Duration,
    busy: Cell<bool>,
    /// When it came or was last answered, and when the first byte of the next request came, if any has.
    idle_since: Cell<Instant>,
    head_started_at: Cell<Option<Instant>>,
    has_been_answered: Cell<bool>,
    /// Its answer has been handed out, but is not written yet: a client that reads slowly is busy still.
    handed_out: Cell<bool>,
    /// When bytes last came from it, and since when an answer to a request of a class goes out to it.
    read_at: Cell<Instant>,
    writing: Cell<Option<(Name, Instant)>>,
    close_requested: Notify,
}

impl ClientConnection {
    /// A client that came just now.
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

    /// A request is here; the guest is busy until its answer has been handed out and written.
    pub fn request_started(self: &Rc<Self>) -> BusyGuard {
        self.busy.set(true);
        self.head_started_at.set(None);
        self.handed_out.set(false);
        BusyGuard(self.clone())
    }

    /// Whether it asks nothing.
    pub fn is_idle(&self) -> bool {
        !self.busy.get() && self.head_started_at.get().is_none()
    }

    /// Whether its request is not answered yet.
    pub fn is_busy(&self) -> bool {
        self.busy.get()
    }

    /// Whether it has had an answer.
    pub fn has_been_answered(&self) -> bool {
        self.has_been_answered.get()
    }

    /// When it came or was last answered.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// When bytes last came from it.
    pub fn read_at(&self) -> Instant {
        self.read_at.get()
    }

    /// An answer to a request of this class goes out to it.
    pub fn answer_started(&self, class: Name) {
        self.writing.set(Some((class, Instant::now())));
    }

    /// Asks it to leave.
    pub fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits until its time for the next request is over. It goes by progress: a head has time of its own, but no
    /// more than an idle connection before the first one, or a peer could stay twice as long and send nothing proper.
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

/// Lasts until a guest's answer has been handed out whole.
pub struct BusyGuard(Rc<ClientConnection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.handed_out.set(true);
    }
}

/// A guest's socket; it notes when a request begins and when its answer has been written.
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

    /// The HTTP library flushes once all that it holds has been written.
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

/// What lasts until an answer has been handed out whole.
pub struct ResponseGuard<P: Protocol> {
    /// Its guest is busy so long.
    pub busy: Option<BusyGuard>,
    /// Of a long answer: the request, which ends with it.
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

/// Where guests are: so many at most at once.
pub struct ClientConnections {
    clients: RefCell<Vec<Rc<ClientConnection>>>,
    max_clients: Cell<usize>,
    closed: Notify,
    metrics: Rc<Metrics>,
}

impl ClientConnections {
    /// Nobody is here yet.
    pub fn new(max_clients: usize, metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(Self {
            clients: RefCell::default(),
            max_clients: Cell::new(max_clients),
            closed: Notify::new(),
            metrics,
        })
    }

    /// How many are here.
    pub fn count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// No more than so many are let in from now on.
    pub fn set_max_clients(&self, max_clients: usize) {
        self.max_clients.set(max_clients);
        self.closed.notify_one();
    }

    /// Waits until one has left.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Whether nobody else is let in.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max_clients.get()
    }

    /// Closes the connections that have stood idle for this long. Who is in the middle of a head is not idle: its
    /// time is bounded, and its answer closes the connection.
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

    /// The next connection, once there is room.
    pub async fn accept(&self, listener: &TcpListener) -> TcpStream {
        loop {
            // Guards the descriptors: who finds no room waits in the machine's line, and guards those who wait
            // there against clients that keep a connection and say nothing.
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

    /// Serves a guest until it leaves or is asked to. `buffer` holds one request's head.
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
            // Dropped after the connection, which is made later.
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
                    // A request that came just now is answered still.
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
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let stream =
            TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
        let client = ClientConnection::new(IDLE_TIMEOUT, IDLE_TIMEOUT);
        let metrics = Metrics::new(&Settings::default());
        let mut socket = ClientSocket { stream, client: client.clone(), metrics };
        let busy = client.request_started();
        let mut flush = async || poll_fn(|cx| Pin::new(&mut socket).poll_flush(cx)).await.expect("flushed");
        flush().await;
        assert!(client.busy.get(), "its answer is still coming");
        drop(busy);
        // What has been handed out may wait for a client that reads slowly.
        assert!(client.busy.get(), "its answer is still to be written");
        assert!(
            timeout(IDLE_TIMEOUT + IDLE_TIMEOUT / 2, client.timed_out()).await.is_err(),
            "no guest has to leave before that"
        );
        flush().await;
        assert!(!client.busy.get() && client.has_been_answered.get());
        // Of a pipeline the next one may be here before the flush, which is not its own.
        drop(client.request_started());
        let next = client.request_started();
        flush().await;
        assert!(client.busy.get());
        drop(next);
        flush().await;
        assert!(!client.busy.get());
    }
}
