//! The client side: accepts connections, applies admission, forwards requests through the engines, writes the answers,
//! and drains connections at shutdown.

use crate::data_plane::{DataPlane, PLAN, Service};
use crate::headers::ATTEMPT_ID;
use crate::headers::KEEP_ALIVE;
use crate::order::{Fault, Order};
use crate::speech::Speech;
use crate::watch::{Trail, Why};
use crate::{Admission, AdmissionDecision, GatewayConfig};
use bytes::{Bytes, BytesMut};
use config::Route;
use doorcourse::{Arrival, Name, RequestId};
use http_proxy::engine::{Engine, Reply, Waiting};
use http_proxy::guest::{self, Guest, Hall, LAST_CALL};
use http_proxy::observe::figures::{Ending, Figures};
use http_proxy::pool::{Answer, Message, Payload, spawn};
use http_proxy::time::budget::Budget;
use http_proxy::time::clock::span;
use http_proxy::wire::body::{ClientBody, Content, Cut, Upload};
use http_proxy::wire::link::give_up_after;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Bodies of up to this many bytes are buffered whole, so that they can be sent again.
const HELD: usize = 256 * 1024;
/// A client whose machine acknowledges no data for this long is considered dead.
const CLIENT_DEAD_AFTER: Duration = Duration::from_secs(10);
/// A request waits for a unit of its tenant's quota for at most this share of the route's goal.
const UNIT_WAIT: f64 = 0.12;
/// A request waits for a backend with free capacity until this share of the route's goal has passed since its arrival,
/// because later refusals are penalised.
const ROOM_WAIT: f64 = 0.2;
/// The range of the retry delay after a refusal for lack of capacity, as shares of the route's goal.
const ADVICE: (f64, f64) = (0.2, 0.6);
/// The longest such retry delay, as a share of the client's deadline: no client follows a longer delay.
const ADVICE_MOST: f64 = 0.33;
/// How long a request waits for the first configuration. A process that has just started receives the configuration
/// within moments if there is a leader, and a refusal after more than a quarter of the route's goal is penalised. The
/// goal is not known at that point, but few goals are shorter than four times this value.
const UNCONFIGURED: Duration = Duration::from_millis(100);
/// The range of the retry delay while there is no configuration. If all processes were down, a leader has to be elected
/// first, and clients retry only a few times.
const NOT_YET: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(500));
/// The retry delay if the decision on a quota unit does not arrive in time.
const NO_WORD: Duration = Duration::from_millis(300);
/// The minimum and maximum size of a read buffer, in bytes. `max_header_bytes` is clamped to this range, as the buffer
/// holds the head of one request.
const BUFFERS: (u64, u64) = (8 * 1024, 256 * 1024);
/// The idle timeout and the header timeout of a client connection before the first configuration.
const EARLY_LIMIT: Duration = Duration::from_secs(3);
/// The upper limit of configured timeouts. A longer timeout has no practical effect.
const LONGEST_LIMIT: Duration = Duration::from_secs(3600);
/// The `Keep-Alive` timeout announced to clients is shorter than the actual idle timeout by this many seconds.
const TOLD_LESS: u64 = 1;
/// How often idle connections are closed during shutdown.
const SEE_OFF: Duration = Duration::from_millis(50);
/// The part of the grace period that is reserved for writing the last answers.
const LAST_ANSWERS: Duration = Duration::from_millis(300);
/// How long connections may stay open after the last answer before the shutdown completes anyway.
const LAST_WORDS: Duration = Duration::from_millis(500);

pub type Keep = guest::Keep<Speech>;
type Reaction = Response<Content<Keep>>;

/// Accepts client connections and forwards their requests.
pub struct Front {
    hall: Rc<Hall>,
    random: Cell<u64>,
    plan: Name,
}

impl Front {
    pub fn new(most_clients: usize, seed: u64, figures: Rc<Figures>) -> Self {
        Self { hall: Hall::new(most_clients, figures), random: Cell::new(seed), plan: PLAN.into() }
    }

    /// A pseudo-random number from 0 up to, but not including, 1.
    fn chance(&self) -> f64 {
        let mut x = self.random.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.random.set(x);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Serves clients until `end` resolves, and then until the open requests are answered.
    pub async fn serve(data_plane: &Rc<DataPlane>, listener: TcpListener, end: impl Future<Output = ()>) {
        let hall = data_plane.front().hall.clone();
        let ended = async {
            end.await;
            let (settings, now) = (data_plane.settings(), Instant::now());
            let by = now + settings.grace_period - LAST_ANSWERS.min(settings.grace_period / 4);
            let linger = settings.shutdown_delay.min(settings.grace_period / 2);
            data_plane.ending(by);
            data_plane
                .watch()
                .note("end", format_args!("ending: takes clients for {} ms more", linger.as_millis()));
            // The platform sends clients here until two readiness checks have failed. Connections that are idle for half
            // of the delay are closed, as their clients may never use them again.
            sleep(linger / 2).await;
            hall.see_off(linger / 2);
            sleep(linger / 2).await;
            hall.see_off(Duration::ZERO);
            by
        };
        let mut ended = pin!(ended);
        let by = loop {
            tokio::select! {
                by = ended.as_mut() => break by,
                stream = hall.accept(&listener) => welcome(data_plane, stream),
            }
        };
        // Connections that the kernel has already accepted are served too.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            welcome(data_plane, stream);
        }
        drop(listener);
        let mut quiet = Instant::now();
        while hall.guests() > 0 && quiet.elapsed() < LAST_WORDS && Instant::now() < by + LAST_ANSWERS / 2 {
            let _ = timeout(SEE_OFF, hall.left()).await;
            hall.see_off(LAST_CALL);
            if data_plane.active_requests() > 0 {
                quiet = Instant::now();
            }
        }
        data_plane.watch().note("end", format_args!("ended with {} connections left", hall.guests()));
    }
}

fn welcome(data_plane: &Rc<DataPlane>, stream: TcpStream) {
    let conf = data_plane.conf();
    let limits = conf.as_ref().map(|conf| &conf.limits);
    let (idle, head) = limits.map_or((EARLY_LIMIT, EARLY_LIMIT), |l| (l.idle_timeout, l.header_wait));
    let (idle, head) = (idle.min(LONGEST_LIMIT), head.min(LONGEST_LIMIT));
    let buffer = limits.map_or(BUFFERS.0, |l| l.max_header_bytes).clamp(BUFFERS.0, BUFFERS.1) as usize;
    let keeps = idle.as_secs().saturating_sub(TOLD_LESS);
    let keeps = (keeps > 0).then(|| HeaderValue::from_str(&format!("timeout={keeps}")).ok()).flatten();
    give_up_after(&stream, CLIENT_DEAD_AFTER);
    let (guest, hall) = (Guest::new(idle, head), data_plane.front().hall.clone());
    let service = service_fn({
        let (data_plane, guest) = (data_plane.clone(), guest.clone());
        move |request| {
            let (data_plane, guest, keeps) = (data_plane.clone(), guest.clone(), keeps.clone());
            async move {
                let busy = guest.asks();
                let arrived = guest.read_at();
                data_plane.figures().cost().asked();
                let mut response = data_plane.answer(request, arrived).await;
                let headers = response.headers_mut();
                // Closing sends the client to another gateway, or makes room for other clients on this one.
                if data_plane.is_ending() || data_plane.front().hall.is_full() {
                    headers.insert(CONNECTION, HeaderValue::from_static("close"));
                } else if let Some(keeps) = keeps.filter(|_| !headers.contains_key(CONNECTION)) {
                    headers.insert(KEEP_ALIVE, keeps);
                }
                response.body_mut().keep.busy = Some(busy);
                Ok::<_, Infallible>(response)
            }
        }
    });
    hall.welcome(stream, guest, buffer, service);
}

impl DataPlane {
    /// Handles a request whose head was received at `arrived`.
    async fn answer(&self, request: Request<Incoming>, arrived: Instant) -> Reaction {
        let mut trail = Trail::new(self, arrived, request.headers().get(ATTEMPT_ID).cloned());
        let taken = self.take(request, arrived, &mut trail).await;
        let fault = taken.as_ref().err().map(Why::from);
        let reaction = taken.unwrap_or_else(|fault| refuse(fault, self.front().chance()));
        trail.answered(reaction.status().as_u16(), fault);
        reaction
    }

    async fn take(
        &self, request: Request<Incoming>, arrived: Instant, trail: &mut Trail<'_>,
    ) -> Result<Reaction, Fault> {
        let (head, body) = request.into_parts();
        let knows_chunks = head.version >= Version::HTTP_11;
        let conf = match self.conf() {
            None => self.configured_within(UNCONFIGURED).await,
            conf => conf,
        };
        let order = conf.as_ref().ok_or(Fault::NotYet).and_then(|conf| Order::read(conf, head));
        // The body of a rejected request is read too, up to the limit for buffering. Closing a connection with unread
        // data would reset the connection, and the client would lose the answer.
        let body = match &conf {
            _ if body.is_end_stream() => Ok((Bytes::new(), None)),
            Some(conf) => read(body, conf).await,
            None => Err(Fault::NotYet),
        };
        let order = order?;
        trail.ask = Some(order.ask.clone());
        let (body, rest) = body?;
        let unit = match order.tenant.filter(|tenant| tenant.rate_per_s > 0.0) {
            Some(tenant) => Some(self.admit(&tenant.label, order.route.goal).await.map_err(Fault::Quota)?),
            None => None,
        };
        let reaction = self.forward(&order, body, rest.clone(), arrived, unit, trail).await;
        rest.into_iter().for_each(|rest| spawn(rest.drain_once_left()));
        let reaction = reaction?;
        if knows_chunks || reaction.body().size_hint().exact().is_some() {
            return Ok(reaction);
        }
        // To an HTTP/1.0 client, an answer without a length ends with the connection, so that a truncated answer would
        // look complete.
        trail.why = Some(Why::NoAnswer);
        Ok(plain(StatusCode::BAD_GATEWAY, "the answer has no length\n"))
    }

    /// Waits for a unit of the tenant's quota. Fails with the time after which to retry.
    async fn admit(&self, tenant: &Name, goal: Duration) -> Result<Unit, Duration> {
        let wait = goal.mul_f64(UNIT_WAIT);
        match self.admission().acquire(tenant, wait) {
            AdmissionDecision::Granted => {}
            AdmissionDecision::Refused { retry_after } => return Err(retry_after),
            // The host decides within `wait`; the timeout guards against a host that does not.
            AdmissionDecision::Pending(unit) => match timeout(wait * 2, unit).await {
                Ok(Ok(unit)) => unit?,
                Ok(Err(_)) | Err(_) => return Err(NO_WORD),
            },
        }
        Ok(Unit { admission: self.admission().clone(), tenant: tenant.clone(), request: None })
    }

    /// Picks one of the route's services at random by their shares, out of the services with serving backends.
    fn draw(&self, route: &Route) -> Option<Rc<Service>> {
        let serving = |name: &str| route.targets.len() == 1 || self.serves(name);
        let targets = route.targets.iter().filter(|(name, share)| *share > 0 && serving(name));
        let sum: f64 = targets.clone().map(|(_, share)| f64::from(*share)).sum();
        let mut lot = if route.targets.len() > 1 { self.front().chance() * sum } else { 0.0 };
        for (name, share) in targets {
            lot -= f64::from(*share);
            if lot < 0.0 {
                return self.service(name).filter(|_| self.serves(name));
            }
        }
        None
    }

    /// The retry delay after a refusal for lack of capacity.
    fn advice(&self, order: &Order<'_>) -> Duration {
        let share = ADVICE.0 + (ADVICE.1 - ADVICE.0) * self.front().chance();
        order.route.goal.mul_f64(share).min(order.patience.mul_f64(ADVICE_MOST))
    }

    /// Sends a request through the engine to a backend and waits for the answer.
    async fn forward(
        &self, order: &Order<'_>, body: Bytes, rest: Option<Rc<Upload>>, arrived: Instant,
        unit: Option<Unit>, trail: &mut Trail<'_>,
    ) -> Result<Reaction, Fault> {
        let route = order.route;
        let Some(service) = self.draw(route) else { return Err(Fault::NoRoom(self.advice(order))) };
        trail.service = Some(service.clone());
        let engine = &service.engine;
        let class = service.class(route.pure, route.goal, order.rank());
        let budget = Budget::at_the_door(arrived, order.patience, engine.lateness());
        let message = Message { ask: order.ask.clone(), body, rest, budget };
        let taken = self.figures().taken(&class);
        let plan = &self.front().plan;
        let (customer, plan, deadline) = (plan.clone(), plan.clone(), engine.at(budget.answer_by()));
        let arrival = |id| Arrival {
            id,
            customer,
            plan,
            class,
            units: 1.0,
            repeat: false,
            deadline,
            first: 0,
            spread: 1,
        };
        let (id, reply) = engine.open(arrival, message.clone(), route.max_tries);
        let waiting = Waiting::new(engine.clone(), id);
        // Locals drop in reverse order: the unit drops before `waiting` withdraws the request, while the engine still
        // knows whether the request was sent.
        let mut unit = unit;
        unit.iter_mut().for_each(|unit| unit.request = Some((engine.clone(), id)));
        let mut reply = pin!(reply);
        let room_by = arrived + route.goal.mul_f64(ROOM_WAIT);
        let mut unsent = engine.is_unsent(id);
        // The timer guarantees a final answer in time even if the engine loses the request.
        let reply = loop {
            tokio::select! {
                biased;
                reply = reply.as_mut() => break reply.unwrap_or(Reply::Failed(true)),
                () = sleep_until(room_by), if unsent => {
                    unsent = false;
                    if engine.is_unsent(id) {
                        break Reply::Refused { wait: 0.0, may_have_run: false };
                    }
                }
                () = message.expires(None, budget.backstop()) => {
                    let unsent = engine.is_unsent(id);
                    break if unsent {
                        Reply::Refused { wait: 0.0, may_have_run: false }
                    } else {
                        Reply::Failed(true)
                    };
                }
            }
        };
        match reply {
            Reply::Served(Answer { status, headers, body }) => {
                let mut response = Response::new(match body {
                    // The request ends when the client has received the whole answer or disconnects.
                    Payload::Stream(stream) => {
                        Content::stream(stream, Keep { busy: None, served: Some((taken, waiting)) })
                    }
                    Payload::Whole(body) => {
                        taken.ended(Ending::Served);
                        Content::whole(body, Keep::default())
                    }
                });
                (*response.status_mut(), *response.headers_mut()) = (status, headers);
                Ok(response)
            }
            Reply::Refused { may_have_run: false, wait } => {
                taken.ended(Ending::Refused);
                unit.iter_mut().for_each(|unit| unit.request = None);
                // The engine suggests a shorter delay if a retry can succeed at once; the shorter delay wins.
                let advice = self.advice(order);
                Err(Fault::NoRoom(if wait > 0.0 { advice.min(span(wait)) } else { advice }))
            }
            // A request that may have run must not get a status which promises that it did not run.
            Reply::Refused { .. } | Reply::Failed(false) => {
                taken.ended(Ending::Failed);
                match message.rest.as_ref().and_then(|rest| rest.cut()) {
                    Some(Cut::TooLarge) => Err(Fault::TooLarge),
                    Some(Cut::Broken | Cut::TooSlow) => Err(Fault::Bad("the body broke off")),
                    None => {
                        trail.why = Some(Why::NoAnswer);
                        Ok(plain(StatusCode::BAD_GATEWAY, "the backend's answer did not come\n"))
                    }
                }
            }
            Reply::Failed(true) => {
                taken.ended(Ending::Failed);
                trail.why = Some(Why::Late);
                Ok(plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"))
            }
        }
    }
}

/// A unit of a tenant's quota. If dropped before its request was sent, for example because the client disconnected,
/// the unit is refunded.
struct Unit {
    admission: Rc<dyn Admission>,
    tenant: Name,
    /// The request and its engine, once the engine may send the request.
    request: Option<(Rc<Engine<Speech>>, RequestId)>,
}

impl Drop for Unit {
    fn drop(&mut self) {
        if self.request.as_ref().is_none_or(|(engine, id)| engine.is_unsent(*id)) {
            self.admission.refund(&self.tenant);
        }
    }
}

/// Reads a body whole, or the start of a body that is too long to be buffered.
async fn read(body: Incoming, conf: &GatewayConfig) -> Result<(Bytes, Option<Rc<Upload>>), Fault> {
    let limits = &conf.limits;
    if body.size_hint().lower() > limits.max_body_bytes {
        return Err(Fault::TooLarge);
    }
    let mut start = BytesMut::with_capacity(body.size_hint().lower().min(HELD as u64) as usize);
    let mut body = ClientBody::new(body, Instant::now() + limits.header_wait.min(LONGEST_LIMIT))
        .at_most(limits.max_body_bytes);
    while let Some(bytes) = body.bytes().await {
        start.extend_from_slice(&bytes.map_err(|cut| match cut {
            Cut::TooLarge => Fault::TooLarge,
            Cut::TooSlow => Fault::TooSlow,
            Cut::Broken => Fault::Bad("the body broke off"),
        })?);
        if start.len() > HELD && !body.is_over() {
            return Ok((start.freeze(), Some(Upload::new(body))));
        }
    }
    Ok((start.freeze(), None))
}

/// The answer to a request that did not run. `lot`, from 0 to 1, spreads the retries of requests that fail together.
fn refuse(fault: Fault, lot: f64) -> Reaction {
    let (mut response, wait, closes) = match fault {
        Fault::NotYet => {
            let wait = NOT_YET.0 + (NOT_YET.1 - NOT_YET.0).mul_f64(lot);
            (plain(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"), Some(wait), true)
        }
        Fault::Bad(what) => (plain(StatusCode::BAD_REQUEST, what), None, true),
        Fault::NoRoute => (plain(StatusCode::NOT_FOUND, "no such route\n"), None, false),
        Fault::NoKey => (plain(StatusCode::UNAUTHORIZED, "no known key\n"), None, false),
        Fault::TooLarge => (plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"), None, true),
        Fault::TooSlow => (plain(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"), None, true),
        Fault::Quota(wait) => {
            (plain(StatusCode::TOO_MANY_REQUESTS, "the quota is used up\n"), Some(wait), false)
        }
        Fault::NoRoom(wait) => (plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n"), Some(wait), false),
    };
    let headers = response.headers_mut();
    if let Some(wait) = wait.and_then(|w| HeaderValue::from_str(&format!("{:.3}", w.as_secs_f64())).ok()) {
        headers.insert(RETRY_AFTER, wait);
    }
    if closes {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn plain(status: StatusCode, text: &'static str) -> Reaction {
    let mut response = Response::new(Content::whole(Bytes::from_static(text.as_bytes()), Keep::default()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
