//! Stand-in clients with persistent connections; they retry according to the protocol.

use crate::backend::{answer_to, path_of, question, sealed};
use crate::chance::{Chance, mix};
use crate::history::{End, Event, History};
use crate::plan::HOST;
use crate::wire::{Connection, LONGEST, connect};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Connect timeout.
const COMES_UP: Duration = Duration::from_secs(1);
/// Maximum number of attempts of one request.
const MOST_TRIES: u32 = 4;
/// Failed readiness checks after which a gateway gets no new connections.
const MISSES: u32 = 2;
/// Interval and timeout of readiness checks.
const ASKS: Duration = Duration::from_secs(1);
/// Maximum number of idle connections per client.
const KEPT: usize = 8;
/// Idle timeout of a connection whose gateway did not state one.
const KEEP: Duration = Duration::from_secs(10);
/// Minimum remaining time for another attempt.
const WORTH: Duration = Duration::from_millis(20);

/// Stand-in for the load balancer: checks the readiness of gateways and assigns new connections to ready ones.
pub struct Platform {
    fronts: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    missed: Vec<AtomicU32>,
}

impl Platform {
    /// All gateways are considered ready initially.
    pub fn new(fronts: Vec<SocketAddr>, readiness: Vec<SocketAddr>) -> Self {
        let missed = fronts.iter().map(|_| AtomicU32::new(0)).collect();
        Self { fronts, readiness, missed }
    }

    /// Checks the readiness of one gateway.
    pub async fn ready(address: SocketAddr) -> bool {
        let answer = crate::wire::call(address, "GET", "/readiness", &[], Bytes::new(), ASKS).await;
        answer.is_some_and(|answer| answer.status.as_u16() == 200)
    }

    /// Number of gateways that are ready now.
    pub async fn count_ready(&self) -> usize {
        let mut count = 0;
        for address in &self.readiness {
            count += usize::from(Self::ready(*address).await);
        }
        count
    }

    /// Checks the readiness of all gateways periodically; never returns.
    pub async fn poll_readiness(&self) {
        loop {
            let mut asks = tokio::task::JoinSet::new();
            for (index, address) in self.readiness.iter().copied().enumerate() {
                asks.spawn(async move { (index, Self::ready(address).await) });
            }
            let pause = sleep(ASKS);
            while let Some(asked) = asks.join_next().await {
                let Ok((index, ready)) = asked else { continue };
                if ready {
                    self.missed[index].store(0, Ordering::Relaxed);
                } else {
                    self.missed[index].fetch_add(1, Ordering::Relaxed);
                }
            }
            pause.await;
        }
    }

    /// Selects the gateway of a new connection. If fewer than half are ready, all gateways are candidates.
    fn pick(&self, lot: u64) -> usize {
        let is_in = |index: &usize| self.missed[*index].load(Ordering::Relaxed) < MISSES;
        let all = 0..self.fronts.len();
        let ready: Vec<_> = all.clone().filter(is_in).collect();
        let among: Vec<_> = if ready.len() * 2 < self.fronts.len() { all.collect() } else { ready };
        among[(lot % among.len() as u64) as usize]
    }
}

/// A request that a client has to send.
pub struct Wish {
    /// Index of its kind.
    pub kind: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// Whether the request is pure, so that it may run more than once.
    pub pure: bool,
    /// Prefix of its path.
    pub prefix: Arc<str>,
    /// API key.
    pub key: Option<&'static str>,
    /// Timeout of the client.
    pub deadline: Duration,
    /// When the request was due. Latency counts from this time, even if the testbed sends late: a user who waits behind
    /// a slow answer also waits for the next one.
    pub due: Instant,
}

/// Result of an attempt.
enum Tried {
    Served,
    Refused {
        after: Option<Duration>,
    },
    Final(u16),
    /// An error answer or none. The request may have run, unless `unread` says that it was certainly not sent.
    Failed {
        status: Option<u16>,
        unread: bool,
    },
}

struct Kept {
    machine: usize,
    connection: Connection,
    until: Instant,
}

/// One client.
pub struct Client {
    number: u64,
    platform: Arc<Platform>,
    history: Arc<History>,
    ids: Arc<Ids>,
    idle: Mutex<Vec<Kept>>,
    chance: Mutex<Chance>,
}

/// Generator of unique attempt ids.
pub struct Ids {
    next: AtomicU64,
}

impl Ids {
    /// Starts a sequence from a seed.
    pub fn new(seed: u64) -> Self {
        Self { next: AtomicU64::new(mix(seed)) }
    }

    fn draw(&self) -> u64 {
        mix(self.next.fetch_add(1, Ordering::Relaxed))
    }
}

impl Client {
    /// Creates a client without connections.
    pub fn new(
        number: u64, seed: u64, platform: Arc<Platform>, history: Arc<History>, ids: Arc<Ids>,
    ) -> Self {
        let chance = Mutex::new(Chance::new(seed, 1000 + number));
        Self { number, platform, history, ids, idle: Mutex::default(), chance }
    }

    fn unit(&self) -> f64 {
        self.chance.lock().unwrap_or_else(PoisonError::into_inner).unit()
    }

    fn kept(&self) -> Option<(usize, Connection)> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        idle.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
        idle.pop().map(|kept| (kept.machine, kept.connection))
    }

    fn keep(&self, machine: usize, connection: Connection, headers: &HeaderMap) {
        let closes = headers.get("Connection").is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let stated = headers
            .get("Keep-Alive")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.split(',').find_map(|word| word.trim().strip_prefix("timeout=")?.parse().ok()));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !closes && idle.len() < KEPT {
            // End one second early, to avoid writing while the gateway closes the connection.
            let keep = stated.map_or(KEEP, |s: u64| Duration::from_secs(s.saturating_sub(1)));
            idle.push(Kept { machine, connection, until: Instant::now() + keep });
        }
    }

    /// Sends attempts until the request is served, may not be retried, or runs out of time. Returns the outcome and the
    /// number of attempts.
    pub async fn ask(&self, wish: &Wish) -> (End, u32) {
        let (mut end, mut tries) = (End::Failed(None), 0);
        for turn in 0..MOST_TRIES {
            let left = wish.deadline.saturating_sub(wish.due.elapsed());
            if left < WORTH {
                break;
            }
            let id = self.ids.draw();
            let (kind, tenant, pure) = (Some(wish.kind), wish.tenant, wish.pure);
            if !self.history.note(Event::Sent { id, kind, tenant, pure }) {
                break;
            }
            tries += 1;
            // A pure request that gets no answer is abandoned early, to retry it at another gateway.
            let patience = if wish.pure && turn + 1 < MOST_TRIES { (left / 3).max(WORTH) } else { left };
            let tried = timeout(patience, self.attempt(wish, id, left, turn)).await;
            let tried = tried.unwrap_or(Tried::Failed { status: None, unread: false });
            let pause = match tried {
                Tried::Served => return (End::Served, tries),
                Tried::Final(status) => return (End::Failed(Some(status)), tries),
                Tried::Refused { after } => {
                    end = End::Refused;
                    after.map(|after| after.min(left / 3))
                }
                Tried::Failed { status, unread } => {
                    end = End::Failed(status);
                    if !(wish.pure || unread) {
                        return (end, tries);
                    }
                    None
                }
            };
            sleep(pause.unwrap_or_else(|| Duration::from_secs_f64(0.02 + 0.06 * self.unit()))).await;
        }
        (end, tries)
    }

    async fn attempt(&self, wish: &Wish, id: u64, left: Duration, turn: u32) -> Tried {
        let kept = if turn == 0 { self.kept() } else { None };
        let connection = match kept {
            Some(kept) => Some(kept),
            // The first attempt goes to the gateway given by the client's hash, retries to the following ones.
            None => {
                let machine = self.platform.pick(mix(self.number) + u64::from(turn));
                let connection = connect(self.platform.fronts[machine], COMES_UP).await;
                connection.map(|connection| (machine, connection))
            }
        };
        let unread = Tried::Failed { status: None, unread: true };
        let Some((machine, mut connection)) = connection else { return unread };
        let Some(request) = request(wish, id, left) else { return unread };
        self.history.note(Event::Connected { id, machine });
        let answer = match connection.sender.send_request(request).await {
            Ok(answer) => answer,
            // Only `is_canceled` guarantees that nothing was written.
            Err(error) => {
                if !error.is_canceled() {
                    self.history.note(Event::Cut { id });
                }
                return Tried::Failed { status: None, unread: error.is_canceled() };
            }
        };
        let (head, body) = answer.into_parts();
        let status = head.status.as_u16();
        let Ok(body) = Limited::new(body, LONGEST).collect().await else {
            self.history.note(Event::Cut { id });
            return Tried::Failed { status: Some(status), unread: false };
        };
        let body = body.to_bytes();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let echoed = text("X-Attempt-Id").is_some_and(|text| text == format!("{id:016x}"));
        let (seal, whole) = (text("X-Server-Seal").map(str::to_owned), body == answer_to(id));
        let own = echoed && whole && seal.as_deref().is_some_and(|seal| sealed(seal, id));
        self.history.note(Event::Answered { id, status, seal, echoed, whole });
        let tried = match status {
            200..=299 if own => Tried::Served,
            200..=299 => Tried::Final(status),
            408 | 421 | 429 | 503 => {
                let after = text("Retry-After").and_then(|after| after.trim().parse().ok());
                Tried::Refused { after: after.and_then(|after| Duration::try_from_secs_f64(after).ok()) }
            }
            300..=499 => Tried::Final(status),
            _ => Tried::Failed { status: Some(status), unread: false },
        };
        self.keep(machine, connection, &head.headers);
        tried
    }
}

fn request(wish: &Wish, id: u64, left: Duration) -> Option<Request<Full<Bytes>>> {
    // Some clients send an X-Tenant header, which must not reach a backend.
    let claims = wish.key.is_some() && id.is_multiple_of(16);
    let method = if wish.pure { Method::GET } else { Method::POST };
    let body = if wish.pure { Bytes::new() } else { question(id) };
    let mut request = Request::builder()
        .method(method)
        .uri(path_of(&wish.prefix, id))
        .header("Host", HOST)
        .header("X-Attempt-Id", format!("{id:016x}"))
        .header("X-Deadline-Left", left.as_millis().to_string());
    if let Some(key) = wish.key {
        request = request.header("Authorization", format!("Bearer {key}"));
    }
    if claims {
        request = request.header("X-Tenant", "somebody-else");
    }
    request.body(Full::new(body)).ok()
}
