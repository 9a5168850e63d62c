//! An open-loop load on gateways: requests leave at drawn times whatever the answers do, and each is timed from
//! the moment at which it should have left. So a gateway that stalls cannot hide by keeping its clients waiting
//! (coordinated omission). Bounded in rate, time and requests out; loopback addresses only.

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

/// The most requests a second.
pub const MOST_RATE: f64 = 5000.0;
/// The longest load, in seconds.
pub const MOST_SECONDS: u64 = 600;
/// The most requests out at once; those beyond are counted as not sent.
const MOST_OUT: usize = 2000;
/// A gateway that could not be reached gets nothing for so long.
const DOWN_FOR: Duration = Duration::from_millis(500);
/// A client that has no answer in its time takes one for so much longer.
const HALF: Duration = Duration::from_millis(500);
/// Free connections kept to a gateway.
const KEPT: usize = 64;

/// A class of requests that the load is made of.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name: the first part of the path.
    pub name: String,
    /// Whether it may be repeated: GET, else POST.
    pub safe: bool,
    /// Its part of the load.
    pub share: f64,
    /// The time its clients give it, in ms.
    pub deadline_ms: u64,
}

/// What load, on whom.
#[derive(Clone, Debug)]
pub struct Load {
    /// The gateways.
    pub to: Vec<SocketAddr>,
    /// Requests a second.
    pub rate: f64,
    /// For how long, in seconds.
    pub seconds: u64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The plans; customer n has plan n modulo their number.
    pub plans: Vec<String>,
    /// Customers.
    pub customers: u64,
    /// The gateways of a customer's set; 0: all of them.
    pub spread: usize,
    /// Whether the first customers ask for far more than the last ones, instead of all for the same.
    pub skewed: bool,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Who writes down what becomes of each request, if anybody does.
    pub watch: Option<Watch>,
}

/// What a load that is watched needs.
#[derive(Clone)]
pub struct Watch {
    /// Where it is written down.
    pub history: Arc<History>,
    /// Whether the front sends to a gateway, by its place in [`Load::to`].
    pub admitted: Arc<Vec<AtomicBool>>,
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Watch")
    }
}

/// A load that must not be made.
#[derive(Debug, PartialEq, Eq)]
pub enum LoadError {
    /// The address is not one of this machine's own.
    NotLoopback(SocketAddr),
    /// There is no gateway, class or plan.
    Nothing(&'static str),
    /// The rate or the time is out of bounds.
    Bounds(String),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLoopback(address) => {
                write!(f, "{address} is no loopback address: no load is sent there")
            }
            Self::Nothing(what) => write!(f, "there is no {what}"),
            Self::Bounds(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for LoadError {}

/// What became of one class's requests.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Answered 200.
    pub served: u64,
    /// Answered 429 or 503.
    pub refused: u64,
    /// Anything else that was answered, or nothing in time.
    pub failed: u64,
    /// No gateway could be reached, or too many were out.
    pub unsent: u64,
    /// Times of what was served, in microseconds, from when each request was due.
    pub times: Histogram<u64>,
}

impl Tally {
    /// Times are kept to three digits, up to ten minutes.
    fn new() -> Result<Self, LoadError> {
        let times = Histogram::new_with_bounds(1, MOST_SECONDS * 1_000_000, 3);
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

    /// All requests of the class.
    pub fn all(&self) -> u64 {
        self.served + self.refused + self.failed + self.unsent
    }
}

type Sender = SendRequest<Empty<Bytes>>;

struct Target {
    address: SocketAddr,
    free: Mutex<Vec<Sender>>,
    down_until: Mutex<Option<Instant>>,
}

impl Target {
    fn is_down(&self) -> bool {
        let now = Instant::now();
        self.down_until.lock().is_ok_and(|until| until.is_some_and(|until| now < until))
    }

    /// A free connection, or a new one, and whether it is new.
    async fn connection(&self) -> Option<(Sender, bool)> {
        loop {
            let Some(free) = self.free.lock().ok()?.pop() else { break };
            if free.is_ready() {
                return Some((free, false));
            }
        }
        let connect = timeout(Duration::from_secs(1), TcpStream::connect(self.address));
        let stream = connect.await.ok().and_then(Result::ok);
        let Some(stream) = stream else {
            if let Ok(mut until) = self.down_until.lock() {
                *until = Some(Instant::now() + DOWN_FOR);
            }
            return None;
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some((sender, true))
    }

    /// Asks, and waits for the answer as long as a client does and half a second more. `sent` hears of each time
    /// that the request is about to be written.
    async fn ask(&self, mut request: Request<Empty<Bytes>>, waits: Duration, sent: impl Fn()) -> Ended {
        loop {
            let Some((mut connection, fresh)) = self.connection().await else { return Ended::Unsent };
            sent();
            let until = Instant::now() + waits + HALF;
            let answer = match timeout_at(until, connection.try_send_request(request)).await {
                Err(_) => return Ended::Silent,
                Ok(Ok(answer)) => answer,
                // Closed while nothing was written on it: another connection will do.
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
            if let Ok(mut free) = self.free.lock()
                && free.len() < KEPT
            {
                free.push(connection);
            }
            return Ended::Answered { status, body };
        }
    }
}

impl Load {
    /// Whether the load may be made.
    ///
    /// # Errors
    /// When a bound is passed or an address is not this machine's.
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
                return Err(LoadError::Nothing(what));
            }
        }
        if !(self.rate > 0.0 && self.rate <= MOST_RATE) {
            return Err(LoadError::Bounds(format!(
                "the rate must be above 0 and at most {MOST_RATE} a second"
            )));
        }
        if self.seconds == 0 || self.seconds > MOST_SECONDS {
            return Err(LoadError::Bounds(format!("the time must be 1 to {MOST_SECONDS} seconds")));
        }
        Ok(())
    }

    /// Makes the load and waits for its last answers. `told` hears of each request that was due.
    ///
    /// # Errors
    /// When it must not be made.
    pub async fn run(&self, told: impl Fn()) -> Result<Vec<(String, Tally)>, LoadError> {
        self.check()?;
        let new = |address: &SocketAddr| {
            Arc::new(Target { address: *address, free: Mutex::default(), down_until: Mutex::default() })
        };
        let targets: Vec<Arc<Target>> = self.to.iter().map(new).collect();
        let tallies = self.classes.iter().map(|_| Tally::new().map(Mutex::new));
        let tallies: Arc<Vec<Mutex<Tally>>> = Arc::new(tallies.collect::<Result<_, _>>()?);
        let out = Arc::new(tokio::sync::Semaphore::new(MOST_OUT));
        let mut random = Random::new(self.seed, "load", 0);
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let begun = Instant::now();
        let (mut due, mut number) = (begun, 0u64);
        loop {
            due += Duration::from_secs_f64(random.exponential() / self.rate);
            if due >= begun + Duration::from_secs(self.seconds) {
                break;
            }
            sleep_until(due).await;
            number += 1;
            told();
            let mut lot = random.unit() * shares;
            let class = self.classes.iter().position(|class| {
                lot -= class.share;
                lot < 0.0
            });
            let class = class.unwrap_or(0);
            let lot = random.unit();
            let lot = if self.skewed { lot * lot } else { lot };
            let customer = (lot * self.customers as f64) as usize;
            let spread = if self.spread == 0 { targets.len() } else { self.spread.min(targets.len()) };
            let first = if self.spread == 0 { 0 } else { customer % targets.len() };
            let begin = random.below(spread);
            // The front passes over a gateway that could not be reached just now, or that is on its way out.
            let set = (0..spread).map(|n| (first + (begin + n) % spread) % targets.len());
            let open = |at: &usize| {
                let watch = self.watch.as_ref();
                !targets[*at].is_down() && watch.is_none_or(|w| w.admitted[*at].load(Ordering::Relaxed))
            };
            let target = set.into_iter().find(open);
            let place = out.clone().try_acquire_owned();
            let id = format!("{:08x}{number:08x}", self.seed as u32);
            if let Some(watch) = &self.watch {
                watch.history.note_at(due.into_std(), Seen::Due { id: id.clone(), class });
            }
            let (Some(gateway), Ok(place)) = (target, place) else {
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
                let end = target.ask(request, Duration::from_millis(deadline_ms), sent).await;
                if let Ok(mut tally) = tallies[class].lock() {
                    tally.add(&end, due.elapsed());
                }
                if let Some(watch) = &watch {
                    watch.history.note(Seen::Ended { id, how: end });
                }
                drop(place);
            });
        }
        // Each request ends by itself: its deadline bounds it.
        let _ = out.acquire_many(MOST_OUT as u32).await;
        let names = self.classes.iter().map(|class| class.name.clone());
        let tally =
            |of: &Mutex<Tally>| of.lock().map_or_else(|held| held.into_inner().clone(), |of| of.clone());
        Ok(names.zip(tallies.iter().map(tally)).collect())
    }

    fn request(
        &self, class: usize, id: &str, customer: usize, set: (usize, usize),
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
            .header("Api-Terms", format!("units=1,spread={},first={}", set.0, set.1))
            .body(Empty::new())
            .ok()
    }
}
