//! Open-loop load generator for gateways. Requests are sent at random times independently of the answers, and the
//! latency of each request counts from its scheduled time. This avoids coordinated omission: a stalled gateway cannot
//! hide its latency by slowing its clients down. Rate, duration and the number of outstanding requests are bounded.
//! The generator sends to loopback addresses only.

use crate::live::history::{Ended, History, Seen};
use bytes::Bytes;
use fault_injection::Random;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Empty};
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// Maximum request rate, per second.
pub const MAX_RATE: f64 = 5000.0;
/// Maximum duration of a load, in seconds.
pub const MAX_SECONDS: u64 = 600;
/// Maximum number of outstanding requests; requests that exceed the limit count as unsent.
const MAX_OUTSTANDING: usize = 2000;
/// Time for which an unreachable gateway receives no requests.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);
/// Time after the client deadline for which a client still accepts an answer.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to a gateway.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A request class of the load.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class, and path of its requests.
    pub name: String,
    /// Whether requests are idempotent; they use GET if so and POST otherwise.
    pub safe: bool,
    /// Share of the class in the load, relative to the shares of the other classes.
    pub share: f64,
    /// Client deadline, in ms.
    pub deadline_ms: u64,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses of the gateways.
    pub to: Vec<SocketAddr>,
    /// Request rate, per second.
    pub rate: f64,
    /// Duration, in seconds.
    pub seconds: u64,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans; customer n has plan n modulo the number of plans.
    pub plans: Vec<String>,
    /// Number of customers.
    pub customers: u64,
    /// Number of gateways that serve each customer; 0 means all.
    pub spread: usize,
    /// Whether the first customers send far more requests than the last ones; otherwise all send equally many.
    pub skewed: bool,
    /// Seed of all random draws.
    pub seed: u64,
    /// Recording of each request, if enabled.
    pub watch: Option<Watch>,
}

/// Recording of the requests of a load.
#[derive(Clone)]
pub struct Watch {
    /// History that receives the events.
    pub history: Arc<History>,
    /// Whether the load balancer sends requests to a gateway, by index in [`Load::to`].
    pub admitted: Arc<Vec<AtomicBool>>,
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Watch")
    }
}

/// Why a load is not permitted.
#[derive(Debug, PartialEq, Eq)]
pub enum LoadError {
    /// An address is not a loopback address.
    NotLoopback(SocketAddr),
    /// The load has no gateway, class or customer.
    Missing(&'static str),
    /// The rate or the duration is out of bounds.
    Bounds(String),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLoopback(address) => {
                write!(f, "{address} is no loopback address: no load is sent there")
            }
            Self::Missing(what) => write!(f, "the load has no {what}"),
            Self::Bounds(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for LoadError {}

/// Request counts and latencies of one class.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests answered with 200.
    pub served: u64,
    /// Requests answered with 429 or 503.
    pub refused: u64,
    /// Requests with another status, a broken connection, or no answer in time.
    pub failed: u64,
    /// Requests that were not sent: no gateway was reachable, or too many requests were outstanding.
    pub unsent: u64,
    /// Latencies of served requests, in microseconds from the scheduled time of each request.
    pub times: Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally. Latencies keep three significant digits, up to ten minutes.
    fn new() -> Result<Self, LoadError> {
        let times = Histogram::new_with_bounds(1, MAX_SECONDS * 1_000_000, 3);
        let times = times.map_err(|error| LoadError::Bounds(error.to_string()))?;
        Ok(Self { served: 0, refused: 0, failed: 0, unsent: 0, times })
    }
}

impl Tally {
    fn add(&mut self, end: &Ended, took: Duration) {
        match end {
            Ended::Answered { status: 200, .. } => {
                self.served += 1;
                self.times.saturating_record(took.as_micros() as u64);
            }
            Ended::Answered { status: 429 | 503, .. } => self.refused += 1,
            Ended::Answered { .. } | Ended::Broken { .. } | Ended::Silent => self.failed += 1,
            Ended::Unsent => self.unsent += 1,
        }
    }

    /// Returns the number of all requests of the class.
    pub fn total(&self) -> u64 {
        self.served + self.refused + self.failed + self.unsent
    }
}

type Sender = SendRequest<Empty<Bytes>>;

struct Target {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
    down_until: Mutex<Option<Instant>>,
}

impl Target {
    fn is_down(&self) -> bool {
        let now = Instant::now();
        self.down_until.lock().is_ok_and(|until| until.is_some_and(|until| now < until))
    }

    /// Returns an idle or a new connection, and whether the connection is new.
    async fn connection(&self) -> Option<(Sender, bool)> {
        loop {
            let Some(idle) = self.idle.lock().ok()?.pop() else { break };
            if idle.is_ready() {
                return Some((idle, false));
            }
        }
        let connect = timeout(Duration::from_secs(1), TcpStream::connect(self.address));
        let stream = connect.await.ok().and_then(Result::ok);
        let Some(stream) = stream else {
            if let Ok(mut until) = self.down_until.lock() {
                *until = Some(Instant::now() + UNREACHABLE_PAUSE);
            }
            return None;
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some((sender, true))
    }

    /// Sends a request and waits for the answer until half a second after the client deadline. Calls `sent` each time
    /// before the request is written.
    async fn send(&self, mut request: Request<Empty<Bytes>>, deadline: Duration, sent: impl Fn()) -> Ended {
        loop {
            let Some((mut connection, fresh)) = self.connection().await else { return Ended::Unsent };
            sent();
            let until = Instant::now() + deadline + LATE_ANSWER_WAIT;
            let answer = match timeout_at(until, connection.try_send_request(request)).await {
                Err(_) => return Ended::Silent,
                Ok(Ok(answer)) => answer,
                // The reused connection closed before the request was written: retry on another connection.
                Ok(Err(mut error)) => match error.take_message() {
                    Some(unwritten) if !fresh => {
                        request = unwritten;
                        continue;
                    }
                    _ => return Ended::Broken { fresh },
                },
            };
            let status = answer.status().as_u16();
            let body = match timeout_at(until, answer.into_body().collect()).await {
                Err(_) => return Ended::Silent,
                Ok(Err(_)) => return Ended::Broken { fresh },
                Ok(Ok(body)) if status == 200 => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
                Ok(Ok(_)) => String::new(),
            };
            if let Ok(mut idle) = self.idle.lock()
                && idle.len() < MAX_IDLE_CONNECTIONS
            {
                idle.push(connection);
            }
            return Ended::Answered { status, body };
        }
    }
}

impl Load {
    /// Validates the load.
    ///
    /// # Errors
    /// When a value is out of bounds or an address is not a loopback address.
    pub fn check(&self) -> Result<(), LoadError> {
        if let Some(address) = self.to.iter().find(|address| !address.ip().is_loopback()) {
            return Err(LoadError::NotLoopback(*address));
        }
        for (empty, what) in [
            (self.to.is_empty(), "gateway"),
            (self.classes.is_empty(), "class"),
            (self.plans.is_empty() || self.customers == 0, "customer"),
        ] {
            if empty {
                return Err(LoadError::Missing(what));
            }
        }
        if !(self.rate > 0.0 && self.rate <= MAX_RATE) {
            return Err(LoadError::Bounds(format!(
                "the rate must be above 0 and at most {MAX_RATE} per second"
            )));
        }
        if self.seconds == 0 || self.seconds > MAX_SECONDS {
            return Err(LoadError::Bounds(format!("the duration must be 1 to {MAX_SECONDS} seconds")));
        }
        Ok(())
    }

    /// Runs the load and waits for the last answers. Calls `on_due` for each request that is due.
    ///
    /// # Errors
    /// When the load is not valid.
    pub async fn run(&self, on_due: impl Fn()) -> Result<Vec<(String, Tally)>, LoadError> {
        self.check()?;
        let new = |address: &SocketAddr| {
            Arc::new(Target { address: *address, idle: Mutex::default(), down_until: Mutex::default() })
        };
        let targets: Vec<Arc<Target>> = self.to.iter().map(new).collect();
        let tallies = self.classes.iter().map(|_| Tally::new().map(Mutex::new));
        let tallies: Arc<Vec<Mutex<Tally>>> = Arc::new(tallies.collect::<Result<_, _>>()?);
        let outstanding = Arc::new(tokio::sync::Semaphore::new(MAX_OUTSTANDING));
        let mut random = Random::new(self.seed, "load", 0);
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let started_at = Instant::now();
        let (mut due, mut number) = (started_at, 0u64);
        loop {
            due += Duration::from_secs_f64(random.exponential() / self.rate);
            if due >= started_at + Duration::from_secs(self.seconds) {
                break;
            }
            sleep_until(due).await;
            number += 1;
            on_due();
            let mut draw = random.unit() * shares;
            let class = self.classes.iter().position(|class| {
                draw -= class.share;
                draw < 0.0
            });
            let class = class.unwrap_or(0);
            let draw = random.unit();
            let draw = if self.skewed { draw * draw } else { draw };
            let customer = (draw * self.customers as f64) as usize;
            let spread = if self.spread == 0 { targets.len() } else { self.spread.min(targets.len()) };
            let first = if self.spread == 0 { 0 } else { customer % targets.len() };
            let begin = random.below(spread);
            // The load balancer skips gateways that were unreachable recently or that are shutting down.
            let candidates = (0..spread).map(|n| (first + (begin + n) % spread) % targets.len());
            let admitted = |at: &usize| {
                let watch = self.watch.as_ref();
                !targets[*at].is_down() && watch.is_none_or(|w| w.admitted[*at].load(Ordering::Relaxed))
            };
            let target = candidates.into_iter().find(admitted);
            let permit = outstanding.clone().try_acquire_owned();
            let id = format!("{:08x}{number:08x}", self.seed as u32);
            if let Some(watch) = &self.watch {
                watch.history.note_at(due.into_std(), Seen::Due { id: id.clone(), class });
            }
            let (Some(gateway), Ok(permit)) = (target, permit) else {
                if let Ok(mut tally) = tallies[class].lock() {
                    tally.add(&Ended::Unsent, Duration::ZERO);
                }
                continue;
            };
            let Some(request) = self.request(class, &id, customer, (spread, first)) else { continue };
            let (tallies, target, watch) = (tallies.clone(), targets[gateway].clone(), self.watch.clone());
            let (deadline_ms, plans) = (self.classes[class].deadline_ms, self.plans.len());
            tokio::spawn(async move {
                let sent = || {
                    if let Some(watch) = &watch {
                        let (id, customer) = (id.clone(), (customer, customer % plans));
                        watch.history.note(Seen::Sent { id, gateway, class, customer, deadline_ms });
                    }
                };
                let end = target.send(request, Duration::from_millis(deadline_ms), sent).await;
                if let Ok(mut tally) = tallies[class].lock() {
                    tally.add(&end, due.elapsed());
                }
                if let Some(watch) = &watch {
                    watch.history.note(Seen::Ended { id, how: end });
                }
                drop(permit);
            });
        }
        // Wait for all outstanding requests. The client deadline bounds each of them.
        let _ = outstanding.acquire_many(MAX_OUTSTANDING as u32).await;
        let names = self.classes.iter().map(|class| class.name.clone());
        let tally = |of: &Mutex<Tally>| {
            of.lock().map_or_else(|poisoned| poisoned.into_inner().clone(), |of| of.clone())
        };
        Ok(names.zip(tallies.iter().map(tally)).collect())
    }

    fn request(
        &self, class: usize, id: &str, customer: usize, gateway_set: (usize, usize),
    ) -> Option<Request<Empty<Bytes>>> {
        let class = &self.classes[class];
        Request::builder()
            .method(if class.safe { Method::GET } else { Method::POST })
            .uri(format!("/{}", class.name))
            .header("Host", "service.internal")
            .header("Req-Id", id)
            .header("Api-Plan", &self.plans[customer % self.plans.len()])
            .header("Api-Customer", format!("{:016x}", crate::draw::mix(customer as u64) % (1 << 33)))
            .header("Req-Deadline-Ms", class.deadline_ms)
            .header("Api-Terms", format!("units=1,spread={},first={}", gateway_set.0, gateway_set.1))
            .body(Empty::new())
            .ok()
    }
}
