//! Simulated clients with persistent connections, which retry according to the protocol. In this module, a gateway is a
//! data plane of the fleet, and an attempt is one sending of a request to a gateway.

use crate::backend::{answer_body, is_valid_seal, request_body, request_path};
use crate::history::{End, Event, History};
use crate::http::{Connection, MAX_ANSWER_LEN, connect};
use crate::plan::HOST;
use crate::random::{SeededRandom, mix};
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
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;
/// Failed readiness checks after which a gateway gets no new connections.
const MAX_FAILED_CHECKS: u32 = 2;
/// Interval and timeout of readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of idle connections per client.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Idle timeout of a connection whose gateway did not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum remaining time for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Simulated load balancer: checks the readiness of gateways and assigns new connections to ready ones.
pub struct Platform {
    fronts: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    failed_checks: Vec<AtomicU32>,
}

impl Platform {
    /// All gateways are considered ready initially.
    pub fn new(fronts: Vec<SocketAddr>, readiness: Vec<SocketAddr>) -> Self {
        let failed_checks = fronts.iter().map(|_| AtomicU32::new(0)).collect();
        Self { fronts, readiness, failed_checks }
    }

    /// Checks the readiness of one gateway.
    pub async fn ready(address: SocketAddr) -> bool {
        let answer =
            crate::http::call(address, "GET", "/readiness", &[], Bytes::new(), READINESS_INTERVAL).await;
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
            let mut checks = tokio::task::JoinSet::new();
            for (index, address) in self.readiness.iter().copied().enumerate() {
                checks.spawn(async move { (index, Self::ready(address).await) });
            }
            let pause = sleep(READINESS_INTERVAL);
            while let Some(checked) = checks.join_next().await {
                let Ok((index, ready)) = checked else { continue };
                if ready {
                    self.failed_checks[index].store(0, Ordering::Relaxed);
                } else {
                    self.failed_checks[index].fetch_add(1, Ordering::Relaxed);
                }
            }
            pause.await;
        }
    }

    /// Selects the gateway of a new connection. If fewer than half are ready, all gateways are candidates.
    fn select_gateway(&self, hash: u64) -> usize {
        let is_ready = |index: &usize| self.failed_checks[*index].load(Ordering::Relaxed) < MAX_FAILED_CHECKS;
        let all = 0..self.fronts.len();
        let ready: Vec<_> = all.clone().filter(is_ready).collect();
        let candidates: Vec<_> = if ready.len() * 2 < self.fronts.len() { all.collect() } else { ready };
        candidates[(hash % candidates.len() as u64) as usize]
    }
}

/// A request that a client has to send.
pub struct ClientRequest {
    /// Index of the request's kind.
    pub kind: usize,
    /// Index of the request's tenant.
    pub tenant: Option<usize>,
    /// Whether the request is pure, so that it may run more than once.
    pub pure: bool,
    /// Path prefix of the request's route.
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
enum AttemptResult {
    Served,
    Refused {
        after: Option<Duration>,
    },
    Final(u16),
    /// An error answer or none. The request may have run, unless `unsent` says that nothing was sent.
    Failed {
        status: Option<u16>,
        unsent: bool,
    },
}

struct IdleConnection {
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
    idle: Mutex<Vec<IdleConnection>>,
    random: Mutex<SeededRandom>,
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

    fn next_id(&self) -> u64 {
        mix(self.next.fetch_add(1, Ordering::Relaxed))
    }
}

impl Client {
    /// Creates a client without connections.
    pub fn new(
        number: u64, seed: u64, platform: Arc<Platform>, history: Arc<History>, ids: Arc<Ids>,
    ) -> Self {
        let random = Mutex::new(SeededRandom::new(seed, 1000 + number));
        Self { number, platform, history, ids, idle: Mutex::default(), random }
    }

    fn unit(&self) -> f64 {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).unit()
    }

    fn idle_connection(&self) -> Option<(usize, Connection)> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        idle.retain(|idle_connection| {
            idle_connection.until > now && !idle_connection.connection.sender.is_closed()
        });
        idle.pop().map(|idle_connection| (idle_connection.machine, idle_connection.connection))
    }

    fn store_idle(&self, machine: usize, connection: Connection, headers: &HeaderMap) {
        let closes = headers.get("Connection").is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let stated = headers
            .get("Keep-Alive")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.split(',').find_map(|word| word.trim().strip_prefix("timeout=")?.parse().ok()));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !closes && idle.len() < MAX_IDLE_CONNECTIONS {
            // End one second early, to avoid writing while the gateway closes the connection.
            let idle_timeout =
                stated.map_or(DEFAULT_IDLE_TIMEOUT, |s: u64| Duration::from_secs(s.saturating_sub(1)));
            idle.push(IdleConnection { machine, connection, until: Instant::now() + idle_timeout });
        }
    }

    /// Sends attempts until the request is served, may not be retried, or runs out of time. Returns the outcome and the
    /// number of attempts.
    pub async fn execute(&self, client_request: &ClientRequest) -> (End, u32) {
        let (mut end, mut tries) = (End::Failed(None), 0);
        for attempt_index in 0..MAX_ATTEMPTS {
            let remaining = client_request.deadline.saturating_sub(client_request.due.elapsed());
            if remaining < MIN_ATTEMPT_TIME {
                break;
            }
            let id = self.ids.next_id();
            let (kind, tenant, pure) =
                (Some(client_request.kind), client_request.tenant, client_request.pure);
            if !self.history.record(Event::Sent { id, kind, tenant, pure }) {
                break;
            }
            tries += 1;
            // A client abandons an attempt of a pure request early if no answer arrives, and retries at another
            // gateway.
            let attempt_timeout = if client_request.pure && attempt_index + 1 < MAX_ATTEMPTS {
                (remaining / 3).max(MIN_ATTEMPT_TIME)
            } else {
                remaining
            };
            let result =
                timeout(attempt_timeout, self.attempt(client_request, id, remaining, attempt_index)).await;
            let result = result.unwrap_or(AttemptResult::Failed { status: None, unsent: false });
            let pause = match result {
                AttemptResult::Served => return (End::Served, tries),
                AttemptResult::Final(status) => return (End::Failed(Some(status)), tries),
                AttemptResult::Refused { after } => {
                    end = End::Refused;
                    after.map(|after| after.min(remaining / 3))
                }
                AttemptResult::Failed { status, unsent } => {
                    end = End::Failed(status);
                    if !(client_request.pure || unsent) {
                        return (end, tries);
                    }
                    None
                }
            };
            sleep(pause.unwrap_or_else(|| Duration::from_secs_f64(0.02 + 0.06 * self.unit()))).await;
        }
        (end, tries)
    }

    async fn attempt(
        &self, client_request: &ClientRequest, id: u64, remaining: Duration, attempt_index: u32,
    ) -> AttemptResult {
        let idle_connection = if attempt_index == 0 { self.idle_connection() } else { None };
        let connection = match idle_connection {
            Some(idle_connection) => Some(idle_connection),
            // The first attempt goes to the gateway given by the client's hash, retries to the following ones.
            None => {
                let machine = self.platform.select_gateway(mix(self.number) + u64::from(attempt_index));
                let connection = connect(self.platform.fronts[machine], CONNECT_TIMEOUT).await;
                connection.map(|connection| (machine, connection))
            }
        };
        let unsent = AttemptResult::Failed { status: None, unsent: true };
        let Some((machine, mut connection)) = connection else { return unsent };
        let Some(request) = request(client_request, id, remaining) else { return unsent };
        self.history.record(Event::Connected { id, machine });
        let answer = match connection.sender.send_request(request).await {
            Ok(answer) => answer,
            // Only `is_canceled` guarantees that nothing was written.
            Err(error) => {
                if !error.is_canceled() {
                    self.history.record(Event::Cut { id });
                }
                return AttemptResult::Failed { status: None, unsent: error.is_canceled() };
            }
        };
        let (head, body) = answer.into_parts();
        let status = head.status.as_u16();
        let Ok(body) = Limited::new(body, MAX_ANSWER_LEN).collect().await else {
            self.history.record(Event::Cut { id });
            return AttemptResult::Failed { status: Some(status), unsent: false };
        };
        let body = body.to_bytes();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let echoed = text("X-Attempt-Id").is_some_and(|text| text == format!("{id:016x}"));
        let (seal, whole) = (text("X-Server-Seal").map(str::to_owned), body == answer_body(id));
        let own = echoed && whole && seal.as_deref().is_some_and(|seal| is_valid_seal(seal, id));
        self.history.record(Event::Answered { id, status, seal, echoed, whole });
        let result = match status {
            200..=299 if own => AttemptResult::Served,
            200..=299 => AttemptResult::Final(status),
            408 | 421 | 429 | 503 => {
                let after = text("Retry-After").and_then(|after| after.trim().parse().ok());
                AttemptResult::Refused {
                    after: after.and_then(|after| Duration::try_from_secs_f64(after).ok()),
                }
            }
            300..=499 => AttemptResult::Final(status),
            _ => AttemptResult::Failed { status: Some(status), unsent: false },
        };
        self.store_idle(machine, connection, &head.headers);
        result
    }
}

fn request(client_request: &ClientRequest, id: u64, remaining: Duration) -> Option<Request<Full<Bytes>>> {
    // Some clients send an X-Tenant header, which must not reach a backend.
    let spoofs_tenant = client_request.key.is_some() && id.is_multiple_of(16);
    let method = if client_request.pure { Method::GET } else { Method::POST };
    let body = if client_request.pure { Bytes::new() } else { request_body(id) };
    let mut request = Request::builder()
        .method(method)
        .uri(request_path(&client_request.prefix, id))
        .header("Host", HOST)
        .header("X-Attempt-Id", format!("{id:016x}"))
        .header("X-Deadline-Left", remaining.as_millis().to_string());
    if let Some(key) = client_request.key {
        request = request.header("Authorization", format!("Bearer {key}"));
    }
    if spoofs_tenant {
        request = request.header("X-Tenant", "somebody-else");
    }
    request.body(Full::new(body)).ok()
}
