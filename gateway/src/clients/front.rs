//! The clients' side: takes requests in, reads their headers, writes their answers, drains at the end.

use crate::backends::pool::{Ask, Message, Speech, spawn};
use crate::control::engine::{Engine, Reply, Waiting};
use crate::observe::figures::{Ending, Figures, Stage};
use crate::time::budget::Budget;
use crate::wire::body::{ClientBody, Content, Cut, HELD, LARGEST, Upload};
use bytes::{Bytes, BytesMut};
use doorcourse::{Arrival, Idempotency, Name, Settings};
use http_proxy::guest::{Guest, Hall, LAST_CALL};
use http_proxy::pool::{Answer, Payload};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::uri::PathAndQuery;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// No client waits longer than this; who claims so is not believed.
const LONGEST_PATIENCE: u64 = 600_000;
/// A connection may stand idle, or be in the middle of the head of its first request, for this long, and of a later
/// one for as long again: a peer that sends nothing proper is owed an error or the close within 3 s, and no idle
/// connection may be closed within 2.
const IDLE: Duration = Duration::from_millis(2300);
/// The first bytes of a body whose head came late in that time have this long all the same.
const BODY: Duration = Duration::from_millis(600);
/// A client's patience begins with the last byte of its request. The decisions are asked before a long body is here:
/// they are told of a deadline so much later, which is what the slowest client needs for the longest body.
const UPLOAD: Duration = Duration::from_secs(600);
/// After the signal to end new connections are taken for this long. Halfway idle ones are closed, and so are those
/// idle for half of it while clients are sent away ...
const LINGER: Duration = Duration::from_millis(500);
/// ... which is looked after this often.
const SEE_OFF: Duration = Duration::from_millis(50);
/// Clients that another process takes over may keep an idle connection for this long.
const LEAVE: Duration = Duration::from_millis(1000);
/// After the last final answer connections have this long to be done with.
const LAST_WORDS: Duration = Duration::from_millis(500);
/// Of the time that the process has to end in, what is kept for the last answers, at most this share.
const ENDING: Duration = Duration::from_millis(300);
const ENDING_SHARE: f64 = 0.25;
/// Read buffers hold one request's headers.
const BUFFER: usize = 16 * 1024;

/// A request that is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// There is no such path.
    NoPath,
    /// Something in it is missing, malformed or absurd.
    Bad(&'static str),
    /// The body is too large.
    TooLarge,
    /// The body did not come in time.
    TooSlow,
}

/// What a request says of itself.
struct Ticket {
    class: Name,
    plan: Name,
    customer: Name,
    units: f64,
    spread: u32,
    first: u32,
    repeat: bool,
    patience: Duration,
    method: Method,
    target: PathAndQuery,
    id: HeaderValue,
    key: Option<HeaderValue>,
    kind: Option<HeaderValue>,
    body: Bytes,
    rest: Option<Rc<Upload>>,
}

/// The front side of one gateway.
pub struct Front {
    engine: Rc<Engine>,
    classes: Vec<(Name, Idempotency)>,
    plans: Vec<Name>,
    most_units: f64,
    grace: Duration,
    hall: Rc<Hall>,
    figures: Rc<Figures>,
    /// Operators send clients away; the process is about to end.
    lame_duck: watch::Sender<bool>,
    ending: Cell<bool>,
    /// Clients are being served; another process takes the new ones from now on.
    serving: Cell<bool>,
    handed_over: Cell<bool>,
    hand_over: Notify,
}

type Keep = http_proxy::guest::Keep<Speech>;
type Reaction = Response<Content<Keep>>;

impl Front {
    /// A front side that takes at most `most_clients` connections at once.
    pub fn new(
        engine: Rc<Engine>, settings: &Settings, most_clients: usize, grace: Duration, figures: Rc<Figures>,
    ) -> Rc<Self> {
        Rc::new(Self {
            engine,
            classes: settings.classes.iter().map(|c| (c.name.clone(), c.idempotency)).collect(),
            plans: settings.plans.iter().map(|p| p.name.clone()).collect(),
            most_units: settings.max_units,
            grace,
            hall: Hall::new(most_clients, figures.clone()),
            figures,
            lame_duck: watch::Sender::new(false),
            ending: Cell::new(false),
            serving: Cell::new(false),
            handed_over: Cell::new(false),
            hand_over: Notify::new(),
        })
    }

    /// Sends clients away or takes them again: the process keeps running either way.
    pub fn set_lame_duck(&self, on: bool) {
        self.lame_duck.send_replace(on);
    }

    /// Whether clients are sent away.
    pub fn is_lame_duck(&self) -> bool {
        *self.lame_duck.borrow()
    }

    /// Whether new clients are taken by this process.
    pub fn is_ready(&self) -> bool {
        self.serving.get() && !self.ending.get() && !self.handed_over.get()
    }

    /// Takes no new clients any more: another process of this gateway does, at the same listener. Gives the number
    /// of those that are still here.
    pub fn hand_over(&self) -> usize {
        self.handed_over.set(true);
        self.hand_over.notify_one();
        self.hall.guests()
    }

    /// Takes no more than this many clients at once from now on.
    pub fn limit(&self, most_clients: usize) {
        self.hall.limit(most_clients);
    }

    /// Whether clients ought to come on other connections.
    fn draining(&self) -> bool {
        self.is_lame_duck() || self.ending.get() || self.handed_over.get()
    }

    /// While operators send clients away, closes on those that keep a connection and ask nothing, for ever.
    async fn tend(self: Rc<Self>) {
        let mut lame_duck = self.lame_duck.subscribe();
        while lame_duck.wait_for(|on| *on).await.map(drop).is_ok() {
            self.hall.see_off(LINGER / 2);
            sleep(SEE_OFF).await;
        }
    }

    /// Serves clients until `end` resolves or another process takes over, then lets those finish that are there.
    /// Returns when the last one has gone.
    pub async fn serve(self: Rc<Self>, listener: Rc<TcpListener>, end: impl Future<Output = ()>) {
        spawn(self.clone().tend());
        self.serving.set(true);
        let ended = async {
            end.await;
            self.ending.set(true);
            self.engine.ending(Instant::now() + self.grace - ENDING.min(self.grace.mul_f64(ENDING_SHARE)));
            sleep(LINGER / 2).await;
            // Guards requests that cross the close of an idle connection: these are sent once more on a new
            // one, so new ones must still be taken.
            self.hall.see_off(Duration::ZERO);
            sleep(LINGER / 2).await;
        };
        let mut ended = pin!(ended);
        loop {
            tokio::select! {
                () = ended.as_mut() => break,
                () = self.hand_over.notified() => {
                    drop(listener);
                    // Each leaves with its next answer, as nobody reads what crosses a close; the others when they
                    // have been idle for long.
                    while self.hall.guests() > 0 {
                        let _ = timeout(SEE_OFF, self.hall.left()).await;
                        self.hall.see_off(LEAVE);
                    }
                    return;
                }
                stream = self.hall.accept(&listener) => self.clone().welcome(stream),
            }
        }
        // What the machine has accepted for us already is ours to answer.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.clone().welcome(stream);
        }
        drop(listener);
        // Guards the end against clients that stop half-way: once nothing that was taken waits for its answer,
        // the last answers and the last bodies have this long.
        let mut quiet = Instant::now();
        while self.hall.guests() > 0 && quiet.elapsed() < LAST_WORDS {
            let _ = timeout(SEE_OFF, self.hall.left()).await;
            self.hall.see_off(LAST_CALL);
            if self.figures.active() > 0 {
                quiet = Instant::now();
            }
        }
    }

    fn welcome(self: Rc<Self>, stream: TcpStream) {
        let (guest, hall) = (Guest::new(IDLE, IDLE), self.hall.clone());
        let service = service_fn({
            let guest = guest.clone();
            move |request| {
                let (front, guest) = (self.clone(), guest.clone());
                async move {
                    let busy = guest.asks();
                    front.figures.cost().asked();
                    let whole_by = if guest.answered() { Instant::now() } else { guest.since() } + IDLE;
                    let mut response = front.answer(request, whole_by, &guest).await;
                    response.body_mut().keep.busy = Some(busy);
                    Ok::<_, Infallible>(response)
                }
            }
        });
        hall.welcome(stream, guest, BUFFER, service);
    }

    /// The one answer to a request.
    async fn answer(&self, request: Request<Incoming>, whole_by: Instant, guest: &Guest) -> Reaction {
        let mut response = if request.uri().path() == "/up" {
            self.up(request.method())
        } else {
            match self.take(request, whole_by).await {
                Ok(ticket) => {
                    let (rest, class) = (ticket.rest.clone(), ticket.class.clone());
                    let response = self.decide(ticket, guest.read_at()).await;
                    guest.is_passed(class);
                    if let Some(rest) = rest {
                        spawn(rest.drain_once_left());
                    }
                    response
                }
                Err(fault) => refuse(fault),
            }
        };
        // So that clients find another gateway, or make room for others here.
        if self.draining() || self.hall.is_full() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Whether new clients should come here.
    fn up(&self, method: &Method) -> Reaction {
        match *method {
            Method::GET | Method::HEAD if self.is_lame_duck() || self.ending.get() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "sending clients away\n")
            }
            Method::GET | Method::HEAD => plain(StatusCode::OK, "up\n"),
            _ => refuse(Fault::Bad("method")),
        }
    }

    /// Reads a request whole, or with the start of a long body.
    async fn take(&self, request: Request<Incoming>, whole_by: Instant) -> Result<Ticket, Fault> {
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().ok_or(Fault::NoPath)?.clone();
        let mut ticket = self.read(head.method, target, &head.headers)?;
        if body.is_end_stream() {
            return Ok(ticket);
        }
        let begun = Instant::now();
        if ticket.method == Method::GET {
            return Err(Fault::Bad("a body where none belongs"));
        }
        if body.size_hint().lower() > LARGEST {
            return Err(Fault::TooLarge);
        }
        let mut body = ClientBody::new(body, whole_by.max(Instant::now() + BODY));
        let mut start = BytesMut::new();
        while let Some(bytes) = body.bytes().await {
            start.extend_from_slice(&bytes.map_err(|cut| match cut {
                Cut::TooLarge => Fault::TooLarge,
                Cut::TooSlow => Fault::TooSlow,
                Cut::Broken => Fault::Bad("body"),
            })?);
            if start.len() > HELD && !body.is_over() {
                ticket.rest = Some(Upload::new(body));
                break;
            }
        }
        ticket.body = start.freeze();
        self.figures.spent(&ticket.class, Stage::Body, begun.elapsed());
        Ok(ticket)
    }

    fn read(&self, method: Method, target: PathAndQuery, headers: &HeaderMap) -> Result<Ticket, Fault> {
        let first = target.path().strip_prefix('/').and_then(|p| p.split('/').next());
        let class = first.filter(|c| !c.is_empty()).ok_or(Fault::NoPath)?;
        let class = self.classes.iter().find(|(name, _)| **name == *class);
        let (class, effect) = class.cloned().ok_or(Fault::Bad("class"))?;
        let key = single(headers, "idempotency-key")?;
        let fits = match effect {
            Idempotency::Safe => method == Method::GET && key.is_none(),
            Idempotency::Keyed => method == Method::POST && key.is_some_and(|k| !k.is_empty()),
            Idempotency::Unsafe => method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err(Fault::Bad("method or Idempotency-Key, for this class"));
        }
        let id = single(headers, "req-id")?.filter(|id| is_id(id.as_bytes())).ok_or(Fault::Bad("Req-Id"))?;
        let plan = text(headers, "api-plan")?.ok_or(Fault::Bad("Api-Plan"))?;
        let plan = self.plans.iter().find(|p| ***p == *plan).ok_or(Fault::Bad("Api-Plan"))?.clone();
        let customer = text(headers, "api-customer")?
            .filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()))
            .filter(|c| u64::from_str_radix(c, 16).is_ok_and(|n| n < 1 << 33))
            .ok_or(Fault::Bad("Api-Customer"))?;
        // One customer, one name: its quota does not double with the case of its digits.
        let customer = Name::from(customer.to_ascii_lowercase());
        let patience = text(headers, "req-deadline-ms")?
            .filter(|t| t.bytes().all(|b| b.is_ascii_digit()))
            .and_then(|t| t.parse::<u64>().ok())
            .filter(|ms| (1..=LONGEST_PATIENCE).contains(ms))
            .ok_or(Fault::Bad("Req-Deadline-Ms"))?;
        let patience = Duration::from_millis(patience);
        let repeat = match text(headers, "req-retry")? {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(Fault::Bad("Req-Retry")),
        };
        let terms = text(headers, "api-terms")?.ok_or(Fault::Bad("Api-Terms"))?;
        let (units, spread, first) = self.terms(terms).ok_or(Fault::Bad("Api-Terms"))?;
        let (kind, key) = (headers.get(CONTENT_TYPE).cloned(), key.cloned());
        let (body, rest, id) = (Bytes::new(), None, id.clone());
        Ok(Ticket {
            class,
            plan,
            customer,
            units,
            spread,
            first,
            repeat,
            patience,
            method,
            target,
            id,
            key,
            kind,
            body,
            rest,
        })
    }

    /// Reads `units=2,spread=3,first=1`; a request of no said units is one unit.
    fn terms(&self, text: &str) -> Option<(f64, u32, u32)> {
        let (mut units, mut spread, mut first) = (1.0, None, None);
        for pair in text.split(',') {
            match pair.trim().split_once('=')? {
                ("units", value) => units = value.parse::<f64>().ok()?,
                ("spread", value) => spread = Some(value.parse().ok()?),
                ("first", value) => first = Some(value.parse().ok()?),
                _ => {}
            }
        }
        let most = if self.most_units > 0.0 { self.most_units } else { f64::MAX };
        (units > 0.0 && units <= most).then_some((units, spread.filter(|s| *s > 0)?, first?))
    }

    /// Has the decisions answer a request whose last byte was read at this time.
    async fn decide(&self, ticket: Ticket, read_at: Instant) -> Reaction {
        let Ticket { class, plan, customer, units, spread, first, repeat, patience, .. } = ticket;
        let Ticket { method, target, id, key, kind, body, rest, .. } = ticket;
        let budget = Budget::at_the_door(read_at, patience, self.engine.lateness());
        let message = Message { ask: Ask { method, target, id, key, kind }, body, rest, budget };
        let taken = self.figures.taken(&class);
        let upload = if message.rest.is_some() { UPLOAD } else { Duration::ZERO };
        let deadline = self.engine.at(message.budget.answer_by() + upload);
        let arrival =
            |id| Arrival { id, customer, plan, class, units, repeat, deadline, first_gateway: first, spread };
        let (id, reply) = self.engine.open(arrival, message.clone(), u32::MAX);
        let waiting = Waiting::new(self.engine.clone(), id);
        // Guards the one final answer: should the decisions forget a request, it still gets one in time.
        let reply = tokio::select! {
            biased;
            reply = reply => reply.ok(),
            () = message.expires(None, message.budget.backstop()) => None,
        };
        let reply = reply.unwrap_or(Reply::Failed(true));
        match reply {
            Reply::Served(Answer { headers, body: Payload::Stream(stream), .. }) => {
                // It has not ended yet, and ends when its client has it all, or leaves.
                let keep = Keep { busy: None, served: Some((taken, waiting)) };
                let mut response = Response::new(Content::stream(stream, keep));
                *response.headers_mut() = headers;
                response
            }
            Reply::Served(Answer { headers, body: Payload::Whole(body), .. }) => {
                taken.ended(Ending::Served);
                let mut response = Response::new(Content::whole(body, Keep::default()));
                *response.headers_mut() = headers;
                response
            }
            Reply::Refused { wait, .. } => {
                taken.ended(Ending::Refused);
                let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused, try again later\n");
                if let Ok(wait) = HeaderValue::from_str(&format!("{:.3}", wait / 1000.0)) {
                    response.headers_mut().insert(RETRY_AFTER, wait);
                }
                response
            }
            Reply::Failed(late) => {
                taken.ended(Ending::Failed);
                match message.rest.as_ref().and_then(|rest| rest.cut()) {
                    Some(Cut::TooLarge) => refuse(Fault::TooLarge),
                    Some(Cut::TooSlow) => refuse(Fault::TooSlow),
                    _ if late => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
                    _ => plain(StatusCode::BAD_GATEWAY, "failed\n"),
                }
            }
        }
    }
}

/// The only value of a header; a header given twice may be read differently by others.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a HeaderValue>, Fault> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(Fault::Bad(name)) } else { Ok(value) }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Fault> {
    single(headers, name)?.map(|value| value.to_str().map_err(|_| Fault::Bad(name))).transpose()
}

fn is_id(text: &[u8]) -> bool {
    (1..=64).contains(&text.len()) && text.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(b))
}

fn refuse(fault: Fault) -> Reaction {
    match fault {
        Fault::NoPath => plain(StatusCode::NOT_FOUND, "no such path\n"),
        Fault::TooLarge => plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
        Fault::TooSlow => plain(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"),
        Fault::Bad(what) => {
            let mut response = plain(StatusCode::BAD_REQUEST, "");
            *response.body_mut() = Content::whole(format!("unusable: {what}\n").into(), Keep::default());
            response
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Reaction {
    let mut response = Response::new(Content::whole(Bytes::from_static(text.as_bytes()), Keep::default()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
