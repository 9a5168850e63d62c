//! The backends' side: where they listen, the connections to them, attempts and probes and how they end.

pub use crate::message::Message;
use crate::observe::cost::{Cost, Use};
use crate::planted::{Faults, Planted};
use crate::wire::body::{Cut, Download, HELD, Outgoing, Piece, download};
use crate::wire::link::{Carriers, Link, Progress, Trace};
use bytes::{Bytes, BytesMut};
use doorcourse::{BackendEntry, BackendState, LoadReport, Name, Outcome};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// An answer of unknown length is passed on as it comes once it has lasted this long, however short it is so far.
const HOLD_BACK: Duration = Duration::from_millis(400);
/// In the middle of a long answer a client may stop reading for this long.
const STALLED: Duration = Duration::from_secs(20);
/// Idle connections are looked after this often.
const ROUND: Duration = Duration::from_secs(1);
/// A connection is kept idle for this share of the time after which backends close it: well before.
const IDLE_SHARE: f64 = 0.5;

/// One backend and where it listens.
#[derive(Clone, Debug)]
pub struct Host {
    /// What the decisions need to know.
    pub entry: BackendEntry,
    /// Where it listens.
    pub dial: SocketAddr,
}

/// What a program speaks with its backends: how a request is put to one, and what an answer's head says.
pub trait Dialect: 'static {
    /// What a client asked, but for its body.
    type Ask: Clone + 'static;
    /// In the middle of a long answer a backend may be silent for this long.
    const SILENT: Duration = Duration::from_secs(8);
    /// Whether a request may run of which a part was written, or only one that was written whole.
    const PART_MAY_RUN: bool = false;
    /// A connection whose peer's machine acknowledges nothing for this long is given up by the kernel.
    const DEAD_AFTER: Option<Duration> = None;
    /// Whether a backend may answer twice, the second time late: another attempt of a request then goes over another
    /// connection, as no id would tell the second answer to the first attempt from its own.
    const ANSWERS_TWICE: bool = false;

    /// The request as it goes to a backend that has this much time for it.
    fn request(&self, ask: &Self::Ask, to: &Name, dial: SocketAddr, left: Duration) -> request::Builder;

    /// Whether an answer belongs to the request. Its connection is spoilt otherwise.
    fn belongs(&self, ask: &Self::Ask, head: &response::Parts) -> bool;

    /// How long the connection of an answer may stand idle, where that goes by the answer.
    fn keeps(&self, head: &HeaderMap) -> Option<Duration>;

    /// What an answer means, and what of it goes to the client.
    fn judge(&self, ask: &Self::Ask, from: &Name, head: response::Parts, body: Payload) -> End;

    /// Asks a backend for its load, or for a sign of life.
    fn probe(&self, dial: SocketAddr) -> request::Builder;

    /// The load that an answer to a probe tells.
    fn probed(&self, body: &[u8]) -> Option<LoadReport>;

    /// Hears what the log ought to say of a request, given by its ask if there is one.
    fn log(&self, ask: Option<&Self::Ask>, text: fmt::Arguments<'_>);

    /// Hears how an attempt of a request ended, and with whom.
    fn ended(&self, _: &Self::Ask, _: &Name, _: Outcome) {}
}

/// The body of an answer.
#[derive(Debug)]
pub enum Payload {
    /// It is here.
    Whole(Bytes),
    /// It is still coming.
    Stream(Download),
}

/// A backend's answer, as far as it goes on to a client.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
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
    /// What was served. With another outcome it is the client's if there is no further attempt.
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
    /// Free connections, the one used last at the end, and until when they may be used.
    idle: Vec<(Link, Instant)>,
    /// Connections in use.
    busy: Rc<Cell<usize>>,
}

impl Backend {
    fn ready(&self) -> bool {
        self.host.entry.state == BackendState::Ready
    }
}

/// Counts a connection in use for as long as it lives, among all and among those of its backend.
struct Slot([Rc<Cell<usize>>; 2]);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.iter().for_each(|count| count.set(count.get() - 1));
    }
}

/// All backends that this gateway knows.
pub struct Backends<D: Dialect> {
    dialect: D,
    known: RefCell<HashMap<Name, Backend>>,
    seq: Cell<u64>,
    connect_timeout: Duration,
    longest_idle: Duration,
    most_open: Cell<usize>,
    most_each: Cell<usize>,
    busy: Rc<Cell<usize>>,
    cost: Rc<Cost>,
    pub(crate) planted: Planted,
}

impl<D: Dialect> Backends<D> {
    /// No backends yet; at most `most_open` connections to all of them together.
    pub fn new(
        dialect: D, connect_timeout: Duration, backend_idle: Duration, most_open: usize, cost: Rc<Cost>,
    ) -> Rc<Self> {
        Rc::new(Self {
            dialect,
            known: RefCell::default(),
            seq: Cell::default(),
            connect_timeout,
            longest_idle: backend_idle.mul_f64(IDLE_SHARE),
            most_open: Cell::new(most_open),
            most_each: Cell::new(usize::MAX),
            busy: Rc::default(),
            cost,
            planted: Planted::default(),
        })
    }

    #[doc(hidden)]
    pub fn plant(&self, faults: Faults) {
        self.planted.faults.set(faults);
    }

    /// What is spoken with them.
    pub fn dialect(&self) -> &D {
        &self.dialect
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
    pub fn update(&self, seq: u64, whole: bool, hosts: &[Host]) {
        let mut known = self.known.borrow_mut();
        self.seq.set(seq);
        if whole {
            known.retain(|name, _| hosts.iter().any(|h| h.entry.name == *name));
        }
        for host in hosts {
            if host.entry.state == BackendState::Gone {
                known.remove(&host.entry.name);
                continue;
            }
            let name = host.entry.name.clone();
            let backend = known.entry(name).or_insert_with(|| Backend {
                host: host.clone(),
                heard: Instant::now(),
                idle: Vec::new(),
                busy: Rc::default(),
            });
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
    pub fn hosts(&self) -> Vec<Host> {
        self.known.borrow().values().map(|b| b.host.clone()).collect()
    }

    /// Keeps no more than this many connections to any one backend from now on.
    pub fn limit_each(&self, most_each: usize) {
        self.most_each.set(most_each);
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
                backend.idle.retain(|(link, until)| Instant::now() < *until && link.stands());
                backend.idle.shrink_to(4);
            }
        }
    }

    /// Sends a request to a backend and tells how that ended, once its connection is closed or free again. It has
    /// to answer within `limit` and its client's budget, and before `called_off` resolves. A long answer is given to `begin` with its first bytes;
    /// it is the client's from then on, and ends by itself.
    pub async fn attempt(
        &self, name: &Name, message: &Message<D::Ask>, limit: Duration, trace: &Rc<Trace>,
        called_off: oneshot::Receiver<CallOff>, begin: impl FnOnce(Answer),
    ) -> End {
        let until = message.ends(Some(limit));
        let build = |dial: SocketAddr| {
            let left = until.saturating_duration_since(Instant::now());
            // What is over before it is written need not be begun.
            if left.as_millis() == 0 && message.rest.is_none() {
                return None;
            }
            let request = self.dialect.request(&message.ask, name, dial, left);
            request.body(Outgoing::new(message.body.clone(), message.rest.clone())).ok()
        };
        let belongs = |head: &response::Parts| self.dialect.belongs(&message.ask, head);
        let begun = Instant::now();
        // Each arm ends the exchange, which closes its connection, before the end is told.
        let mut cut = false;
        let opened = tokio::select! {
            biased;
            opened = self.exchange(name, || message.is_spent(), build, belongs, trace) => opened,
            why = called_off => {
                cut = why == Ok(CallOff::Stalled);
                Err(Outcome::CalledOff)
            }
            () = message.expires(Some(limit), Duration::ZERO) => {
                cut = true;
                let back = |link, dial| self.answered(name, dial, None, Some(link));
                self.planted.give_back(trace.carriers.last(), back);
                // Closed on before so much was written: no backend has begun with it.
                let may_run = if D::PART_MAY_RUN { trace.begun.get() } else { trace.whole.get() };
                let may_run = may_run && !self.planted.faults.get().silence_is_unsent;
                Err(if may_run { Outcome::TimedOut } else { Outcome::ConnectFailed })
            }
        };
        match opened {
            Ok(Opened { head, start, rest: None }) => {
                self.dialect.judge(&message.ask, name, head, Payload::Whole(start))
            }
            Ok(Opened { head, start, rest: Some((link, body, _slot, dial)) }) => {
                let length = body.size_hint().exact().map(|rest| rest + start.len() as u64);
                let (sender, stream) = download(length);
                let keeps = self.dialect.keeps(&head.headers);
                let judged = self.dialect.judge(&message.ask, name, head, Payload::Stream(stream));
                let End { outcome, answer, load, .. } = judged;
                // What else was said at length can wait for nobody: its connection closes.
                let Some(answer) = answer else { return outcome.into() };
                begin(answer);
                let (since, ended) =
                    (Instant::now(), self.pass_on(name, dial, keeps, link, body, start, sender).await);
                if ended != Outcome::Served {
                    let after = since.elapsed().as_millis();
                    let text = format_args!("its long answer from {name} ended after {after} ms: {ended:?}");
                    self.dialect.log(Some(&message.ask), text);
                }
                End { load, ..if ended == Outcome::Served { outcome } else { ended }.into() }
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
    #[allow(clippy::too_many_arguments, reason = "what an answer consists of, taken apart")]
    async fn pass_on(
        &self, name: &Name, dial: SocketAddr, keeps: Option<Duration>, mut link: Link, mut body: Incoming,
        start: Bytes, sender: mpsc::Sender<Piece>,
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
                next = timeout(D::SILENT, link.bytes(&mut body)) => match next {
                    Ok(Some(bytes)) => bytes.map(Some).map_err(|_| Cut::Broken),
                    Ok(None) => Ok(None),
                    Err(_) => Err(Cut::TooSlow),
                },
                () = sender.closed() => return Outcome::CalledOff,
            };
        }
        drop((sender, body));
        let link = link.is_free().await.then_some(link);
        self.answered(name, dial, keeps, link);
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
        let build = |dial: SocketAddr| self.dialect.probe(dial).body(Outgoing::new(Bytes::new(), None)).ok();
        let trace = Rc::default();
        match timeout(self.connect_timeout, self.exchange(name, || false, build, |_| true, &trace)).await {
            Ok(Ok(Opened { head, start, .. })) if head.status == StatusCode::OK => {
                End { load: self.dialect.probed(&start), ..Outcome::Served.into() }
            }
            Ok(Ok(_)) => Outcome::Error.into(),
            Ok(Err(outcome)) => outcome.into(),
            Err(_) => Outcome::TimedOut.into(),
        }
    }

    async fn exchange(
        &self, name: &Name, is_spent: impl Fn() -> bool,
        build: impl Fn(SocketAddr) -> Option<Request<Outgoing>>, belongs: impl Fn(&response::Parts) -> bool,
        trace: &Rc<Trace>,
    ) -> Result<Opened, Outcome> {
        loop {
            let (dial, pooled) = self.free_link(name, &trace.carriers).ok_or(Outcome::NeverSent)?;
            let from_pool = pooled.is_some();
            let slot = self.slot(name).ok_or(Outcome::NeverSent)?;
            let mut link = match pooled {
                Some(link) => {
                    self.cost.reused();
                    link
                }
                None => {
                    let link = Link::connect(dial, self.connect_timeout, &self.cost, Use::Backend).await;
                    let link = link.map_err(|_| Outcome::ConnectFailed)?;
                    D::DEAD_AFTER.into_iter().for_each(|after| link.give_up_after(after));
                    link
                }
            };
            // Guards drains: while the connection came up the list may have changed.
            if self.dial(name) != Some(dial) {
                return Err(Outcome::NeverSent);
            }
            trace.connected.set(Some(Instant::now()));
            let request = build(dial).ok_or(Outcome::NeverSent)?;
            trace.carriers.add(&link);
            self.planted.keep(&link, dial).await;
            let opened = Self::open(&mut link, request, trace.clone()).await;
            self.planted.forget(link.number());
            let faults = self.planted.faults.get();
            match opened {
                // Whose request this answers nobody knows, nor what comes next.
                Ok((head, ..)) if !faults.any_answer && !belongs(&head) => {
                    if faults.keeps_odd && link.is_free().await {
                        self.answered(name, dial, None, Some(link));
                    }
                    return Err(Outcome::Broken);
                }
                Ok((head, start, None)) => {
                    let link = link.is_free().await.then_some(link);
                    self.answered(name, dial, self.dialect.keeps(&head.headers), link);
                    return Ok(Opened { head, start, rest: None });
                }
                Ok((head, start, Some(body))) => {
                    return Ok(Opened { head, start, rest: Some((link, body, slot, dial)) });
                }
                // Guards against a free connection that its backend closed just now: nothing was written,
                // so this is no second send, and the backend is not to blame.
                Err(Progress::Unsent) if from_pool && !is_spent() => {}
                Err(_) if faults.repeats_broken => {}
                Err(Progress::Unsent) => return Err(Outcome::ConnectFailed),
                Err(Progress::Partly) if !D::PART_MAY_RUN => return Err(Outcome::ConnectFailed),
                Err(Progress::Partly | Progress::Whole) => return Err(Outcome::Broken),
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
    fn free_link(&self, name: &Name, carriers: &Carriers) -> Option<(SocketAddr, Option<Link>)> {
        let mut known = self.known.borrow_mut();
        let backend = known.get_mut(name).filter(|b| b.ready())?;
        let any = !D::ANSWERS_TWICE || self.planted.faults.get().any_carrier;
        let may_carry = |(link, _): &(Link, Instant)| any || !carriers.has(link);
        while let Some(at) = backend.idle.iter().rposition(may_carry) {
            let (link, until) = backend.idle.remove(at);
            // Guards unsafe requests: one written to a connection that is closed or about to be is lost in
            // doubt.
            if Instant::now() < until && link.stands() {
                return Some((backend.host.dial, Some(link)));
            }
        }
        Some((backend.host.dial, None))
    }

    /// Room for one more busy connection; free ones give way.
    fn slot(&self, name: &Name) -> Option<Slot> {
        let (busy, most_open) = (self.busy.get(), self.most_open.get());
        let mut known = self.known.borrow_mut();
        let own = known.get(name)?.busy.clone();
        if busy >= most_open || own.get() >= self.most_each.get() {
            return None;
        }
        self.busy.set(busy + 1);
        own.set(own.get() + 1);
        let idle: usize = known.values().map(|b| b.idle.len()).sum();
        for _ in most_open..busy + 1 + idle {
            let fullest = known.values_mut().max_by_key(|b| b.idle.len());
            if let Some(fullest) = fullest.filter(|b| !b.idle.is_empty()) {
                fullest.idle.remove(0);
            }
        }
        Some(Slot([self.busy.clone(), own]))
    }

    /// Notes that a backend answered, and keeps the connection if it is free again.
    fn answered(&self, name: &Name, dial: SocketAddr, keeps: Option<Duration>, link: Option<Link>) {
        let mut known = self.known.borrow_mut();
        if let Some(backend) = known.get_mut(name).filter(|b| b.host.dial == dial) {
            backend.heard = Instant::now();
            let until = backend.heard + keeps.unwrap_or(self.longest_idle);
            let room = backend.idle.len() + backend.busy.get() <= self.most_each.get();
            backend.idle.extend(link.filter(|_| backend.ready() && room).map(|link| (link, until)));
        }
    }
}

/// Runs a task for as long as the program runs.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
