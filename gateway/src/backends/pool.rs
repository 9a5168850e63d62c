//! The backends' side: where they listen, the connections to them, attempts and probes and how they end.

use crate::backends::list::{Host, List};
use crate::observe::cost::{Cost, Use};
use crate::time::budget::Budget;
use crate::time::clock::millis;
use crate::wire::body::{Cut, Download, HELD, Outgoing, Piece, Upload, download};
use crate::wire::link::{Link, Progress, Trace};
use bytes::{Bytes, BytesMut};
use doorcourse::{BackendState, LoadReport, Name, Outcome, Reports};
use doorcourse_simhost::set_load;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::{Method, Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// An answer of unknown length is passed on as it comes once it has lasted this long, however short it is so far.
const HOLD_BACK: Duration = Duration::from_millis(400);
/// In the middle of a long answer a backend may be silent for this long, and a client may stop reading.
const SILENT: Duration = Duration::from_secs(8);
const STALLED: Duration = Duration::from_secs(20);
/// Idle connections are looked after this often.
const ROUND: Duration = Duration::from_secs(1);
/// A connection is kept idle for this share of the time after which backends close it: well before.
const IDLE_SHARE: f64 = 0.5;
/// The word of a backend that never began with a request.
const DECLINED: &str = "srv-declined";
/// The load report that comes with answers.
const LOAD: &str = "srv-load";

/// What a client asked, as far as it goes on to a backend.
#[derive(Clone)]
pub struct Message {
    /// The method.
    pub method: Method,
    /// Path and query, as they came.
    pub target: hyper::http::uri::PathAndQuery,
    /// `Req-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`.
    pub key: Option<HeaderValue>,
    /// `Content-Type`.
    pub kind: Option<HeaderValue>,
    /// The body, or the start of a long one.
    pub body: Bytes,
    /// The rest of a long one.
    pub rest: Option<Rc<Upload>>,
    /// What its client has left.
    pub budget: Budget,
}

impl Message {
    /// Whether some of its body is gone.
    pub fn is_spent(&self) -> bool {
        self.rest.as_ref().is_some_and(|rest| rest.is_drawn())
    }

    /// How long an answer has been waited for that was asked for at this time or, if the request was whole only
    /// later, since then.
    pub fn waited(&self, begun: Instant) -> Duration {
        let whole = self.rest.as_ref().map_or(Some(begun), |rest| rest.over_at());
        whole.map_or(Duration::ZERO, |at| at.max(begun).elapsed())
    }

    /// Waits until its budget is used up, or so much of it as is given, and the grace after that. The time of a long
    /// body begins with its last byte.
    pub async fn expires(&self, most: Option<Duration>, grace: Duration) {
        match &self.rest {
            Some(rest) => tokio::select! {
                at = rest.ended() => {
                    let span = self.budget.span();
                    sleep_until(at + most.map_or(span, |most| most.min(span)) + grace).await;
                }
                () = rest.stalls() => {}
            },
            None => sleep_until(self.ends(most) + grace).await,
        }
    }

    /// When an attempt that begins now and may take so long has to be over.
    pub fn ends(&self, most: Option<Duration>) -> Instant {
        let end = self.budget.answer_by();
        most.map_or(end, |most| end.min(Instant::now() + most))
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum Payload {
    /// It is here.
    Whole(Bytes),
    /// It is still coming.
    Stream(Download),
}

/// A backend's 200 answer.
#[derive(Debug)]
pub struct Answer {
    /// Its headers, without those that belong to the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Payload,
}

/// An answer whose head and first bytes have come, and what is needed for the rest if there is one.
struct Opened {
    head: response::Parts,
    start: Bytes,
    rest: Option<(Link, Incoming, Slot, SocketAddr)>,
}

/// Why an attempt is called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOff {
    /// Its client is gone: nothing speaks against the backend.
    Left,
    /// It has used up its share of the time.
    Stalled,
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// Whether its time, or its share of it, was over.
    pub cut: bool,
    /// What was served.
    pub answer: Option<Answer>,
    /// The load report that came along.
    pub load: Option<LoadReport>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, cut: false, answer: None, load: None }
    }
}

struct Backend {
    host: Host,
    /// When it last answered anything.
    heard: Instant,
    /// Free connections, the one used last at the end, and since when.
    idle: Vec<(Link, Instant)>,
}

impl Backend {
    fn ready(&self) -> bool {
        self.host.entry.state == BackendState::Ready
    }
}

/// Counts an open connection for as long as it lives.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// All backends that this gateway knows.
pub struct Backends {
    known: RefCell<HashMap<Name, Backend>>,
    seq: Cell<u64>,
    connect_timeout: Duration,
    longest_idle: Duration,
    reports: Reports,
    most_open: Cell<usize>,
    busy: Rc<Cell<usize>>,
    cost: Rc<Cost>,
}

impl Backends {
    /// No backends yet; at most `most_open` connections to all of them together.
    pub fn new(
        connect_timeout: Duration, backend_idle: Duration, reports: Reports, most_open: usize, cost: Rc<Cost>,
    ) -> Rc<Self> {
        Rc::new(Self {
            known: RefCell::default(),
            seq: Cell::default(),
            connect_timeout,
            longest_idle: backend_idle.mul_f64(IDLE_SHARE),
            reports,
            most_open: Cell::new(most_open),
            busy: Rc::default(),
            cost,
        })
    }

    /// Whether the list names a backend.
    pub fn has(&self, name: &str) -> bool {
        self.known.borrow().contains_key(name)
    }

    /// Drops the free connections to a backend that operators take out.
    pub fn let_go(&self, name: &str) {
        if let Some(backend) = self.known.borrow_mut().get_mut(name) {
            backend.idle.clear();
        }
    }

    /// Takes in a list. Free connections to what drains, is gone or listens elsewhere now are dropped.
    pub fn update(&self, list: &List) {
        let mut known = self.known.borrow_mut();
        self.seq.set(list.seq);
        if list.whole {
            known.retain(|name, _| list.hosts.iter().any(|h| h.entry.name == *name));
        }
        for host in &list.hosts {
            if host.entry.state == BackendState::Gone {
                known.remove(&host.entry.name);
                continue;
            }
            let name = host.entry.name.clone();
            let fresh = || Backend { host: host.clone(), heard: Instant::now(), idle: Vec::new() };
            let backend = known.entry(name).or_insert_with(fresh);
            if host.entry.state != BackendState::Ready || backend.host.dial != host.dial {
                backend.idle.clear();
            }
            backend.host = host.clone();
        }
    }

    /// The version of the list.
    pub fn seq(&self) -> u64 {
        self.seq.get()
    }

    /// The list as it stands.
    pub fn list(&self) -> List {
        let hosts = self.known.borrow().values().map(|b| b.host.clone()).collect();
        List { seq: self.seq.get(), whole: true, hosts }
    }

    /// Keeps no more than this many connections from now on.
    pub fn limit(&self, most_open: usize) {
        self.most_open.set(most_open);
    }

    /// Closes all free connections: none will be used again.
    pub fn close_idle(&self) {
        self.known.borrow_mut().values_mut().for_each(|b| b.idle.clear());
    }

    /// Drops free connections that have stood too long or have been closed, for ever.
    pub async fn keep_tidy(self: Rc<Self>) {
        loop {
            sleep(ROUND).await;
            for backend in self.known.borrow_mut().values_mut() {
                backend.idle.retain(|(link, since)| since.elapsed() < self.longest_idle && link.stands());
            }
        }
    }

    /// Sends a request to a backend and tells how that ended, once its connection is closed or free again. It has
    /// to answer within `limit` and its client's budget, and before `called_off` resolves. A long answer is given to `begin` with its first bytes;
    /// it is the client's from then on, and ends by itself.
    pub async fn attempt(
        &self, name: &Name, message: &Message, limit: Duration, trace: &Rc<Trace>,
        called_off: oneshot::Receiver<CallOff>, begin: impl FnOnce(Answer),
    ) -> End {
        let until = message.ends(Some(limit));
        let build = |dial: SocketAddr| {
            let left = until.saturating_duration_since(Instant::now());
            // What is over before it is written need not be begun.
            if left.as_millis() == 0 && message.rest.is_none() {
                return None;
            }
            let mut builder = Request::builder()
                .method(message.method.clone())
                .uri(message.target.clone())
                .header("Host", dial.to_string())
                .header("Req-Id", message.id.clone())
                .header("Req-Deadline-Ms", millis(left).floor().to_string());
            for (key, value) in [("Idempotency-Key", &message.key), (CONTENT_TYPE.as_str(), &message.kind)] {
                if let Some(value) = value {
                    builder = builder.header(key, value.clone());
                }
            }
            builder.body(Outgoing::new(message.body.clone(), message.rest.clone())).ok()
        };
        let begun = Instant::now();
        // Each arm ends the exchange, which closes its connection, before the end is told.
        let mut cut = false;
        let opened = tokio::select! {
            biased;
            opened = self.exchange(name, || message.is_spent(), build, trace) => opened,
            why = called_off => {
                cut = why == Ok(CallOff::Stalled);
                Err(Outcome::CalledOff)
            }
            () = message.expires(Some(limit), Duration::ZERO) => {
                cut = true;
                // Closed on before its last byte was written: no backend has begun with it.
                Err(if trace.whole.get() { Outcome::TimedOut } else { Outcome::ConnectFailed })
            }
        };
        match opened {
            Ok(Opened { head, start, rest: None }) => self.judge(head, Payload::Whole(start)),
            Ok(Opened { head, start, rest: Some((link, body, _slot, dial)) }) => {
                let length = body.size_hint().exact().map(|rest| rest + start.len() as u64);
                let (sender, stream) = download(length);
                let End { outcome, answer, load, .. } = self.judge(head, Payload::Stream(stream));
                // What else was said at length can wait for nobody: its connection closes.
                let Some(answer) = answer else { return outcome.into() };
                begin(answer);
                let (since, outcome) =
                    (Instant::now(), self.pass_on(name, dial, link, body, start, sender).await);
                if outcome != Outcome::Served {
                    let (id, after) = (message.id.to_str().unwrap_or_default(), since.elapsed().as_millis());
                    eprintln!(
                        "request {id}: its long answer from {name} ended after {after} ms: {outcome:?}"
                    );
                }
                End { load, ..outcome.into() }
            }
            Err(_) if message.rest.as_ref().is_some_and(|rest| rest.cut().is_some()) => {
                // The backend is not to blame for what its client did not send.
                Outcome::CalledOff.into()
            }
            Err(outcome) => {
                if cut {
                    self.doubt(name, begun);
                }
                End { cut, ..outcome.into() }
            }
        }
    }

    /// Passes on a long answer as fast as its client reads, and tells how that ended.
    async fn pass_on(
        &self, name: &Name, dial: SocketAddr, mut link: Link, mut body: Incoming, start: Bytes,
        sender: mpsc::Sender<Piece>,
    ) -> Outcome {
        let mut next = Ok(Some(start));
        loop {
            let last = !matches!(next, Ok(Some(_)));
            let broken = next.is_err();
            match timeout(STALLED, sender.send(next)).await {
                Ok(_) if broken => return Outcome::Broken,
                // By its length its client knows already that it has it all.
                Ok(_) if last => break,
                Ok(Ok(())) => {}
                // Its client has left, or reads no more.
                Ok(Err(_)) | Err(_) => return Outcome::CalledOff,
            }
            next = tokio::select! {
                // The end goes first: a client that has it all by its length has let go already.
                biased;
                next = timeout(SILENT, link.bytes(&mut body)) => match next {
                    Ok(Some(bytes)) => bytes.map(Some).map_err(|_| Cut::Broken),
                    Ok(None) => Ok(None),
                    Err(_) => Err(Cut::TooSlow),
                },
                () = sender.closed() => return Outcome::CalledOff,
            };
        }
        drop((sender, body));
        let link = link.is_free().await.then_some(link);
        self.answered(name, dial, link);
        Outcome::Served
    }

    /// Guards against machines that vanish: connections to one stay open and silent, and each would take a
    /// request into doubt until its time is over. A new one fails soon and for certain. A backend that has
    /// answered anything since is merely slow.
    fn doubt(&self, name: &Name, since: Instant) {
        let mut known = self.known.borrow_mut();
        if let Some(backend) = known.get_mut(name).filter(|b| b.heard < since) {
            backend.idle.clear();
        }
    }

    /// Asks a backend for its load, or where there are no reports for a sign of life.
    pub async fn probe(&self, name: &Name) -> End {
        let path = if self.reports == Reports::None { "/alive" } else { "/metrics/load" };
        let build = |dial: SocketAddr| {
            let body = Outgoing::new(Bytes::new(), None);
            Request::get(path).header("Host", dial.to_string()).body(body).ok()
        };
        let trace = Rc::default();
        match timeout(self.connect_timeout, self.exchange(name, || false, build, &trace)).await {
            Ok(Ok(Opened { head, start, .. })) if head.status == StatusCode::OK => {
                let load = std::str::from_utf8(&start).ok().and_then(load);
                End { load, ..Outcome::Served.into() }
            }
            Ok(Ok(_)) => Outcome::Error.into(),
            Ok(Err(outcome)) => outcome.into(),
            Err(_) => Outcome::TimedOut.into(),
        }
    }

    async fn exchange(
        &self, name: &Name, is_spent: impl Fn() -> bool,
        build: impl Fn(SocketAddr) -> Option<Request<Outgoing>>, trace: &Rc<Trace>,
    ) -> Result<Opened, Outcome> {
        loop {
            let (dial, pooled) = self.free_link(name).ok_or(Outcome::NeverSent)?;
            let from_pool = pooled.is_some();
            let slot = self.slot().ok_or(Outcome::NeverSent)?;
            let mut link = match pooled {
                Some(link) => {
                    self.cost.reused();
                    link
                }
                None => {
                    let link = Link::connect(dial, self.connect_timeout, &self.cost, Use::Backend).await;
                    link.map_err(|_| Outcome::ConnectFailed)?
                }
            };
            // Guards drains: while the connection came up the list may have changed.
            if self.dial(name) != Some(dial) {
                return Err(Outcome::NeverSent);
            }
            trace.connected.set(Some(Instant::now()));
            let request = build(dial).ok_or(Outcome::NeverSent)?;
            match Self::open(&mut link, request, trace.clone()).await {
                Ok((head, start, None)) => {
                    let link = link.is_free().await.then_some(link);
                    self.answered(name, dial, link);
                    return Ok(Opened { head, start, rest: None });
                }
                Ok((head, start, Some(body))) => {
                    return Ok(Opened { head, start, rest: Some((link, body, slot, dial)) });
                }
                // Guards against a free connection that its backend closed just now: nothing was written,
                // so this is no second send, and the backend is not to blame.
                Err(Progress::Unsent) if from_pool && !is_spent() => {}
                Err(Progress::Unsent | Progress::Partly) => return Err(Outcome::ConnectFailed),
                Err(Progress::Whole) => return Err(Outcome::Broken),
            }
        }
    }

    /// The head of an answer and its whole body, or the start of a long one. Until its first bytes are here an
    /// answer can still break and be had elsewhere.
    async fn open(
        link: &mut Link, request: Request<Outgoing>, trace: Rc<Trace>,
    ) -> Result<(response::Parts, Bytes, Option<Incoming>), Progress> {
        let (head, mut body) = link.send(request, trace).await?;
        let hold_until = Instant::now() + HOLD_BACK;
        let (announced, mut start) = (body.size_hint().exact(), BytesMut::new());
        loop {
            let long = announced.map_or(start.len() > HELD, |length| length > HELD as u64);
            if long && !start.is_empty() {
                return Ok((head, start.freeze(), Some(body)));
            }
            let next = tokio::select! {
                biased;
                next = link.bytes(&mut body) => next,
                () = sleep_until(hold_until), if announced.is_none() && !start.is_empty() => {
                    return Ok((head, start.freeze(), Some(body)));
                }
            };
            match next {
                Some(bytes) => start.extend_from_slice(&bytes?),
                None => return Ok((head, start.freeze(), None)),
            }
        }
    }

    /// Where a backend listens that may be sent something new.
    fn dial(&self, name: &Name) -> Option<SocketAddr> {
        self.known.borrow().get(name).filter(|b| b.ready()).map(|b| b.host.dial)
    }

    /// A backend that may be sent something new, with a free connection that stands if there is one.
    fn free_link(&self, name: &Name) -> Option<(SocketAddr, Option<Link>)> {
        let mut known = self.known.borrow_mut();
        let backend = known.get_mut(name).filter(|b| b.ready())?;
        while let Some((link, since)) = backend.idle.pop() {
            // Guards unsafe requests: one written to a connection that is closed or about to be is lost in
            // doubt.
            if since.elapsed() < self.longest_idle && link.stands() {
                return Some((backend.host.dial, Some(link)));
            }
        }
        Some((backend.host.dial, None))
    }

    /// Room for one more busy connection; free ones give way.
    fn slot(&self) -> Option<Slot> {
        let (busy, most_open) = (self.busy.get(), self.most_open.get());
        if busy >= most_open {
            return None;
        }
        self.busy.set(busy + 1);
        let mut known = self.known.borrow_mut();
        let idle: usize = known.values().map(|b| b.idle.len()).sum();
        for _ in most_open..busy + 1 + idle {
            let fullest = known.values_mut().max_by_key(|b| b.idle.len());
            if let Some(fullest) = fullest.filter(|b| !b.idle.is_empty()) {
                fullest.idle.remove(0);
            }
        }
        Some(Slot(self.busy.clone()))
    }

    /// Notes that a backend answered, and keeps the connection if it is free again.
    fn answered(&self, name: &Name, dial: SocketAddr, link: Option<Link>) {
        let mut known = self.known.borrow_mut();
        if let Some(backend) = known.get_mut(name).filter(|b| b.host.dial == dial) {
            backend.heard = Instant::now();
            backend.idle.extend(link.filter(|_| backend.ready()).map(|link| (link, backend.heard)));
        }
    }

    fn judge(&self, mut head: response::Parts, body: Payload) -> End {
        let declined = head.headers.get(DECLINED).is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Full,
            // Whatever else it says, it may have run.
            _ => Outcome::Error,
        };
        let report = head.headers.remove(LOAD).filter(|_| self.reports == Reports::Answers);
        let load = report.as_ref().and_then(|r| r.to_str().ok()).and_then(load);
        let answer = (outcome == Outcome::Served).then(|| {
            for name in
                ["connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer"]
            {
                head.headers.remove(name);
            }
            Answer { headers: head.headers, body }
        });
        End { answer, load, ..outcome.into() }
    }
}

/// Reads a report like `TEXT inflight=7, queue=2`; what it cannot read it leaves out.
fn load(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().strip_prefix("TEXT")?.split(',') {
        if let Some((key, value)) = pair.split_once('=')
            && let Ok(value) = value.trim().parse::<f64>()
            && value.is_finite()
        {
            set_load(&mut report, key.trim(), value);
        }
    }
    Some(report)
}

/// Runs a task for as long as the program runs.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
