//! Clients' connections: what each of them is at, and its socket.

use crate::engine::Waiting;
use crate::observe::cost::Use;
use crate::observe::figures::{Ending, Figures, Stage, Taken};
use crate::pool::{Dialect, spawn};
use crate::wire::body::Ended;
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
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Who is asked to leave has this long for a request that crosses the word.
pub const LAST_CALL: Duration = Duration::from_millis(50);

/// One client's connection.
pub struct Guest {
    /// It may stand idle for so long, and be in the middle of a head.
    idle: Duration,
    head: Duration,
    busy: Cell<bool>,
    /// When it came or was last answered, and when the first byte of the next request came, if any has.
    since: Cell<Instant>,
    begun: Cell<Option<Instant>>,
    answered: Cell<bool>,
    /// Its answer has been handed out, but is not written yet: a client that reads slowly is busy still.
    handed: Cell<bool>,
    /// When bytes last came from it, and since when an answer to a request of a class goes out to it.
    read_at: Cell<Instant>,
    passing: Cell<Option<(Name, Instant)>>,
    leave: Notify,
}

impl Guest {
    /// A client that came just now.
    pub fn new(idle: Duration, head: Duration) -> Rc<Self> {
        Rc::new(Self {
            idle,
            head,
            busy: Cell::new(false),
            since: Cell::new(Instant::now()),
            begun: Cell::new(None),
            answered: Cell::new(false),
            handed: Cell::new(false),
            read_at: Cell::new(Instant::now()),
            passing: Cell::default(),
            leave: Notify::new(),
        })
    }

    /// A request is here; the guest is busy until its answer has been handed out and written.
    pub fn asks(self: &Rc<Self>) -> Busy {
        self.busy.set(true);
        self.begun.set(None);
        self.handed.set(false);
        Busy(self.clone())
    }

    /// Whether it asks nothing.
    pub fn is_idle(&self) -> bool {
        !self.busy.get() && self.begun.get().is_none()
    }

    /// Whether its request is not answered yet.
    pub fn busy(&self) -> bool {
        self.busy.get()
    }

    /// Whether it has had an answer.
    pub fn answered(&self) -> bool {
        self.answered.get()
    }

    /// When it came or was last answered.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    /// When bytes last came from it.
    pub fn read_at(&self) -> Instant {
        self.read_at.get()
    }

    /// An answer to a request of this class goes out to it.
    pub fn is_passed(&self, class: Name) {
        self.passing.set(Some((class, Instant::now())));
    }

    /// Asks it to leave.
    pub fn leaves(&self) {
        self.leave.notify_one();
    }

    /// Waits until its time for the next request is over. It goes by progress: a head has time of its own, but no
    /// more than an idle connection before the first one, or a peer could stay twice as long and send nothing proper.
    async fn outstays(&self) {
        loop {
            let (idle_by, begun) = (self.since.get() + self.idle, self.begun.get());
            let by = match begun.map(|begun| begun + self.head) {
                Some(by) if self.answered.get() => by,
                Some(by) => by.min(idle_by),
                None => idle_by,
            };
            if self.busy.get() {
                sleep(self.head / 2).await;
            } else if Instant::now() >= by {
                return;
            } else {
                sleep_until(by.min(Instant::now() + self.head)).await;
            }
        }
    }
}

/// Lasts until a guest's answer has been handed out whole.
pub struct Busy(Rc<Guest>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.handed.set(true);
    }
}

/// A guest's socket; it notes when a request begins and when its answer has been written.
struct Seat {
    stream: TcpStream,
    guest: Rc<Guest>,
    figures: Rc<Figures>,
}

impl AsyncRead for Seat {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled {
            let now = Instant::now();
            self.guest.read_at.set(now);
            if !self.guest.busy.get() && self.guest.begun.get().is_none() {
                self.guest.begun.set(Some(now));
            }
        }
        read
    }
}

impl AsyncWrite for Seat {
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
        if self.guest.handed.replace(false) {
            self.guest.busy.set(false);
            self.guest.since.set(Instant::now());
            self.guest.answered.set(true);
            if let Some((class, since)) = self.guest.passing.take() {
                self.figures.spent(&class, Stage::PassOn, since.elapsed());
            }
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// What lasts until an answer has been handed out whole.
pub struct Keep<D: Dialect> {
    /// Its guest is busy so long.
    pub busy: Option<Busy>,
    /// Of a long answer: the request, which ends with it.
    pub served: Option<(Taken, Waiting<D>)>,
}

impl<D: Dialect> Default for Keep<D> {
    fn default() -> Self {
        Self { busy: None, served: None }
    }
}

impl<D: Dialect> Ended for Keep<D> {
    fn ended(&mut self, whole: bool) {
        if let Some((taken, waiting)) = self.served.take() {
            taken.ended(if whole { Ending::Served } else { Ending::Failed });
            drop(waiting);
        }
    }
}

/// Where guests are: so many at most at once.
pub struct Hall {
    guests: RefCell<Vec<Rc<Guest>>>,
    most: Cell<usize>,
    left: Notify,
    figures: Rc<Figures>,
}

impl Hall {
    /// Nobody is here yet.
    pub fn new(most: usize, figures: Rc<Figures>) -> Rc<Self> {
        Rc::new(Self { guests: RefCell::default(), most: Cell::new(most), left: Notify::new(), figures })
    }

    /// How many are here.
    pub fn guests(&self) -> usize {
        self.guests.borrow().len()
    }

    /// No more than so many are let in from now on.
    pub fn limit(&self, most: usize) {
        self.most.set(most);
        self.left.notify_one();
    }

    /// Waits until one has left.
    pub async fn left(&self) {
        self.left.notified().await;
    }

    /// Whether nobody else is let in.
    pub fn is_full(&self) -> bool {
        self.guests() >= self.most.get()
    }

    /// Closes the connections that have stood idle for this long. Who is in the middle of a head is not idle: its
    /// time is bounded, and its answer closes the connection.
    pub fn see_off(&self, idle: Duration) {
        let guests = self.guests.borrow();
        let idle = guests.iter().filter(|g| g.is_idle() && g.since().elapsed() >= idle);
        idle.for_each(|guest| guest.leaves());
    }

    fn make_room(&self) {
        let guests = self.guests.borrow();
        if let Some(guest) = guests.iter().filter(|g| !g.busy()).min_by_key(|g| g.since()) {
            guest.leaves();
        }
    }

    /// The next connection, once there is room.
    pub async fn accept(&self, listener: &TcpListener) -> TcpStream {
        loop {
            // Guards the descriptors: who finds no room waits in the machine's line, and guards those who wait
            // there against clients that keep a connection and say nothing.
            while self.is_full() {
                self.make_room();
                self.left.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// Serves a guest until it leaves or is asked to. `buffer` holds one request's head.
    pub fn welcome<S, B>(self: Rc<Self>, stream: TcpStream, guest: Rc<Guest>, buffer: usize, service: S)
    where
        S: HttpService<Incoming, ResBody = B> + 'static,
        S::Error: Into<Box<dyn Error + Send + Sync>>,
        S::Future: 'static,
        B: Body + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        self.guests.borrow_mut().push(guest.clone());
        let held = self.figures.cost().holds(Use::Client);
        spawn(async move {
            // Dropped after the connection, which is made later.
            let _held = held;
            let _ = stream.set_nodelay(true);
            let seat = Seat { stream, guest: guest.clone(), figures: self.figures.clone() };
            let builder = http1::Builder::new().max_buf_size(buffer).clone();
            let mut connection = pin!(builder.serve_connection(TokioIo::new(seat), service));
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = async { tokio::select! { () = guest.leave.notified() => {} () = guest.outstays() => {} } } => {
                    connection.as_mut().graceful_shutdown();
                    // A request that came just now is answered still.
                    let over = timeout(LAST_CALL, connection.as_mut()).await.is_ok();
                    if !over && guest.busy.get() {
                        let _ = connection.await;
                    }
                }
            }
            self.guests.borrow_mut().retain(|g| !Rc::ptr_eq(g, &guest));
            self.left.notify_one();
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use doorcourse::Settings;
    use std::future::poll_fn;

    const IDLE: Duration = Duration::from_millis(200);

    #[tokio::test]
    async fn a_guest_is_busy_until_its_answer_is_written() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let stream =
            TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
        let guest = Guest::new(IDLE, IDLE);
        let figures = Figures::new(&Settings::default());
        let mut seat = Seat { stream, guest: guest.clone(), figures };
        let busy = guest.asks();
        let mut flush = async || poll_fn(|cx| Pin::new(&mut seat).poll_flush(cx)).await.expect("flushed");
        flush().await;
        assert!(guest.busy.get(), "its answer is still coming");
        drop(busy);
        // What has been handed out may wait for a client that reads slowly.
        assert!(guest.busy.get(), "its answer is still to be written");
        assert!(
            timeout(IDLE + IDLE / 2, guest.outstays()).await.is_err(),
            "no guest has to leave before that"
        );
        flush().await;
        assert!(!guest.busy.get() && guest.answered.get());
        // Of a pipeline the next one may be here before the flush, which is not its own.
        drop(guest.asks());
        let next = guest.asks();
        flush().await;
        assert!(guest.busy.get());
        drop(next);
        flush().await;
        assert!(!guest.busy.get());
    }
}
