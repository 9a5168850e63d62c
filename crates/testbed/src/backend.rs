//! A simulated backend with a fixed number of slots, a bounded queue, random service times and the answers that the
//! protocol requires. Each slot processes one request at a time. A backend is cold during the warm-up after its start.

use crate::behavior::{Behavior, Body};
use crate::control::Control;
use crate::error::TestbedError;
use crate::heartbeats::{BackendInfo, HeartbeatSender};
use crate::history::{Event, History};
use crate::plan::SERVICES;
use crate::random::{SeededRandom, mix};
use crate::site::source_machine;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// Number of requests processed concurrently.
const SLOTS: usize = 6;
/// Maximum number of queued requests.
const QUEUE_CAPACITY: usize = 12;
/// Maximum number of connections; equals `max_conns` in the configuration.
const MAX_CONNECTIONS: usize = 130;
/// Maximum length of a request body in bytes.
const MAX_BODY_LEN: usize = 1 << 20;
/// Duration of the warm-up: a backend is cold for this time after its start.
const WARMUP: Duration = Duration::from_secs(2);
/// Factor by which a backend is slower at the beginning of its warm-up.
const COLD_FACTOR: f64 = 2.0;
/// Time for which a drained backend keeps serving after the drain deadline, so that late requests are detected.
const POST_DRAIN_SERVICE: Duration = Duration::from_millis(700);

/// Request body that a client sends for an attempt id.
pub fn request_body(id: u64) -> Bytes {
    Bytes::from(format!("{:016x}", mix(id)).repeat(1 + (id % 8) as usize))
}

/// Answer body that a backend sends for an attempt id.
pub fn answer_body(id: u64) -> Bytes {
    Bytes::from(format!("{:016x}", mix(!id)).repeat(4 + (id % 60) as usize))
}

/// Request path for an attempt id, below the prefix of its route.
pub fn request_path(prefix: &str, id: u64) -> String {
    format!("{prefix}{:08x}?of={}", mix(id) >> 32, id % 97)
}

/// Seal by which an instance proves that it answered an attempt.
pub fn seal(instance: &str, id: u64) -> String {
    let sum = instance.bytes().fold(id, |sum, byte| mix(sum ^ u64::from(byte)));
    format!("{instance}.{sum:016x}")
}

/// Whether a seal was made by the instance that it names, for this attempt.
pub fn is_valid_seal(text: &str, id: u64) -> bool {
    text.rsplit_once('.').is_some_and(|(instance, _)| seal(instance, id) == text)
}

/// A running simulated backend.
pub struct StandInBackend {
    /// Service of the backend.
    pub service: String,
    /// Zone of the backend.
    pub zone: String,
    /// Instance id of the backend.
    pub id: String,
    /// Listening address of the backend.
    pub address: SocketAddr,
    mean_service_time: Duration,
    started: Instant,
    slots: Semaphore,
    waiting: AtomicUsize,
    leaving: AtomicBool,
    random: Mutex<SeededRandom>,
    /// Number of the backend in the history.
    pub number: u32,
    history: Option<Arc<History>>,
    behavior: Mutex<Behavior>,
    heartbeats: Arc<HeartbeatSender>,
    tasks: Mutex<Vec<AbortHandle>>,
}

/// Start options of a backend.
#[derive(Clone)]
pub struct BackendOptions {
    /// Service of the backend.
    pub service: String,
    /// Zone of the backend.
    pub zone: String,
    /// Listening address; port 0 selects a free port.
    pub at: SocketAddr,
    /// Seed of the random service times.
    pub seed: u64,
    /// Whether the backend starts without a warm-up.
    pub warm: bool,
    /// Client for the control planes that receive the backend's heartbeats.
    pub control: Control,
    /// History that the backend's events are recorded in.
    pub history: Option<Arc<History>>,
}

impl StandInBackend {
    /// Starts a backend, which sends heartbeats immediately.
    ///
    /// # Errors
    /// Returns an error when the address cannot be bound.
    pub fn start(options: BackendOptions) -> Result<Arc<Self>, TestbedError> {
        static NUMBERS: AtomicU32 = AtomicU32::new(0);
        let BackendOptions { service, zone, at, seed, warm, control, history } = options;
        let failed = |error| TestbedError::Socket { what: "a backend's address", error };
        let listener = listen(at).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let mut random = SeededRandom::new(seed, 7);
        let mean_service_time = SERVICES
            .iter()
            .find(|(label, _)| *label == service)
            .map_or(10.0, |(_, mean_service_time)| *mean_service_time);
        // Backends of one service differ in speed.
        let mean_service_time =
            Duration::from_secs_f64(mean_service_time / 1000.0 * (0.8 + 0.5 * random.unit()));
        let id = format!("i-{:08x}", mix(mix(seed) ^ u64::from(std::process::id())) as u32);
        let now = Instant::now();
        let warmup = if warm { Duration::ZERO } else { WARMUP };
        let info = BackendInfo {
            id: id.clone(),
            service: service.clone(),
            address,
            zone: zone.clone(),
            capacity: SLOTS,
            started: now,
            warmup,
        };
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        if let Some(history) = &history {
            history.record(Event::BackendStarted {
                backend: number,
                id: id.clone(),
                service: service.clone(),
            });
        }
        let backend = Arc::new(Self {
            service,
            zone,
            id,
            address,
            mean_service_time,
            started: now - (WARMUP - warmup).min(WARMUP),
            slots: Semaphore::new(SLOTS),
            waiting: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            random: Mutex::new(random),
            number,
            history,
            behavior: Mutex::default(),
            heartbeats: HeartbeatSender::new(info, control),
            tasks: Mutex::default(),
        });
        let serves = tokio::spawn(backend.clone().serve(listener)).abort_handle();
        let heartbeats = tokio::spawn(backend.heartbeats.clone().run()).abort_handle();
        backend.tasks().extend([serves, heartbeats]);
        Ok(backend)
    }

    fn tasks(&self) -> std::sync::MutexGuard<'_, Vec<AbortHandle>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the backend's behavior.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap_or_else(PoisonError::into_inner) = behavior;
    }

    fn behavior(&self) -> Behavior {
        *self.behavior.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, event: Event) {
        if let Some(history) = &self.history {
            history.record(event);
        }
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            let accepted = listener.accept().await;
            while connections.try_join_next().is_some() {}
            match accepted {
                // Above the connection limit the backend resets connections, as real ones do: linger of zero.
                Ok((stream, _)) if connections.len() >= MAX_CONNECTIONS => drop(stream.set_zero_linger()),
                Ok((stream, _)) if self.behavior() == Behavior::SendsGarbage => {
                    connections.spawn(crate::behavior::send_invalid_http(stream));
                }
                Ok((stream, from)) => {
                    let _ = stream.set_nodelay(true);
                    let (backend, machine) = (self.clone(), source_machine(from.ip()));
                    connections.spawn(async move {
                        let service = service_fn(|request| backend.clone().answer(request, machine));
                        let connection = hyper::server::conn::http1::Builder::new();
                        // A connection error is handled by the client; the request on the connection is dropped.
                        let _ = connection.serve_connection(TokioIo::new(stream), service).await;
                    });
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        }
    }

    /// Leaves gracefully: announces the drain, serves until the drain deadline, announces the departure and stops.
    /// Returns false when the drain or the departure was not acknowledged.
    pub async fn leave(&self) -> bool {
        let drain_deadline = self.heartbeats.announce_drain().await;
        if drain_deadline.is_some() {
            self.record(Event::Drained { backend: self.number });
        }
        self.leaving.store(true, Ordering::Relaxed);
        if let Some(moment) = drain_deadline {
            sleep(moment.saturating_duration_since(Instant::now()) + POST_DRAIN_SERVICE).await;
        }
        let departed = self.heartbeats.announce_departure().await;
        self.end();
        drain_deadline.is_some() && departed
    }

    /// Stops immediately, as in a crash.
    pub fn end(&self) {
        for task in self.tasks().drain(..) {
            task.abort();
        }
    }

    async fn answer(
        self: Arc<Self>, request: Request<Incoming>, machine: Option<usize>,
    ) -> Result<Response<Body>, io::Error> {
        let mut response = self.work(request, machine).await?;
        if self.leaving.load(Ordering::Relaxed) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn work(
        &self, request: Request<Incoming>, machine: Option<usize>,
    ) -> Result<Response<Body>, io::Error> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        if head.method == Method::GET && head.uri.path() == "/health" {
            return Ok(self.health().await);
        }
        if text("X-Target-Instance").is_some_and(|target| target != self.id) {
            return Ok(not_executed(StatusCode::MISDIRECTED_REQUEST));
        }
        let Some(id) = text("X-Attempt-Id") else { return Ok(not_executed(StatusCode::BAD_REQUEST)) };
        let number = u64::from_str_radix(id, 16).ok();
        let backend = self.number;
        self.record(Event::Arrived { id: number, backend, machine });
        let behavior = self.behavior();
        if behavior == Behavior::Silent {
            self.record(Event::AnswerWithheld { id: number.unwrap_or_default() });
            std::future::pending::<()>().await;
        }
        let Ok(body) = Limited::new(body, MAX_BODY_LEN).collect().await else {
            return Ok(not_executed(StatusCode::BAD_REQUEST));
        };
        let body = body.to_bytes();
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        let unchanged = number.is_some_and(|id| {
            let due = if head.method == Method::GET { Bytes::new() } else { request_body(id) };
            body == due && path.ends_with(request_path("/", id).as_str())
        });
        let remaining =
            text("X-Deadline-Left").and_then(|remaining| remaining.parse().ok()).map(Duration::from_millis);
        let remaining = |max_wait: Duration| remaining.unwrap_or(max_wait).saturating_sub(arrived.elapsed());
        let Some(queue_place) = QueuePlace::take(&self.waiting) else {
            return Ok(not_executed(StatusCode::SERVICE_UNAVAILABLE));
        };
        let max_wait = Duration::from_secs(30);
        let Ok(Ok(slot)) = timeout(remaining(max_wait), self.slots.acquire()).await else {
            return Ok(not_executed(StatusCode::SERVICE_UNAVAILABLE));
        };
        drop(queue_place);
        if remaining(max_wait).is_zero() {
            return Ok(not_executed(StatusCode::SERVICE_UNAVAILABLE));
        }
        if let Some(history) = &self.history {
            let (tenant, arrived) = (text("X-Tenant").map(str::to_owned), history.at(arrived));
            let key = head.headers.contains_key("Authorization");
            history.record(Event::Ran { id: number, backend, arrived, tenant, key, unchanged });
        }
        let service_time = if let Behavior::Slow(factor) = behavior {
            self.service_time().mul_f64(factor)
        } else {
            self.service_time()
        };
        let done = timeout(remaining(max_wait), sleep(service_time)).await.is_ok();
        drop(slot);
        if !done {
            return Ok(plain(StatusCode::GATEWAY_TIMEOUT));
        }
        match behavior {
            Behavior::Fails(share) if self.unit() < share => {
                return Ok(plain(StatusCode::INTERNAL_SERVER_ERROR));
            }
            Behavior::Loses(share) if self.unit() < share => {
                self.record(Event::AnswerWithheld { id: number.unwrap_or_default() });
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            _ => {}
        }
        let answer = match (number, &self.history) {
            (Some(id), Some(_)) => answer_body(id),
            // Without a history the answer is not checked, so it is readable text.
            _ => Bytes::from(format!("done by {} of {} in {}\n", self.id, self.service, self.zone)),
        };
        let breaks = behavior == Behavior::SendsGarbage;
        if breaks {
            self.record(Event::AnswerWithheld { id: number.unwrap_or_default() });
        }
        let mut response = Response::new(Body::new(answer, breaks));
        let headers = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert("X-Attempt-Id", id);
        }
        if let Ok(seal) = HeaderValue::from_str(&seal(&self.id, number.unwrap_or(0))) {
            headers.insert("X-Server-Seal", seal);
        }
        Ok(response)
    }

    fn unit(&self) -> f64 {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).unit()
    }

    async fn health(&self) -> Response<Body> {
        let Some(_place) = QueuePlace::take(&self.waiting) else {
            return not_executed(StatusCode::SERVICE_UNAVAILABLE);
        };
        let Ok(_slot) = self.slots.acquire().await else {
            return not_executed(StatusCode::SERVICE_UNAVAILABLE);
        };
        let leaving = self.leaving.load(Ordering::Relaxed);
        let mut response = plain(if leaving { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK });
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            response.headers_mut().insert("X-Instance-Id", id);
        }
        response
    }

    /// Random service time of the next request; longer while the backend is cold or all slots are in use.
    fn service_time(&self) -> Duration {
        let drawn = self.random.lock().unwrap_or_else(PoisonError::into_inner).exponential();
        let warm = (self.started.elapsed().as_secs_f64() / WARMUP.as_secs_f64()).min(1.0);
        let cold = COLD_FACTOR - (COLD_FACTOR - 1.0) * warm;
        let full = if self.slots.available_permits() == 0 { 1.3 } else { 1.0 };
        // Limits the random service time, so that single extreme values do not dominate the results.
        self.mean_service_time.mul_f64((0.3 + 0.7 * drawn).min(6.0) * cold * full)
    }
}

/// A place in the queue. Dropping it frees the place, also when the connection of a waiting request breaks.
struct QueuePlace<'a>(&'a AtomicUsize);

impl<'a> QueuePlace<'a> {
    fn take(waiting: &'a AtomicUsize) -> Option<Self> {
        let place = waiting
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n < QUEUE_CAPACITY).then_some(n + 1));
        place.ok().map(|_| Self(waiting))
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds a listener whose port is reusable as soon as the listener is closed.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(1024)
}

fn plain(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}

fn not_executed(status: StatusCode) -> Response<Body> {
    let mut response = plain(status);
    response.headers_mut().insert("X-Not-Executed", HeaderValue::from_static("1"));
    response
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn seal_is_valid_for_one_instance_and_attempt() {
        let valid = seal("i-1", 5);
        assert!(is_valid_seal(&valid, 5));
        assert!(!is_valid_seal(&valid, 6));
        assert!(!is_valid_seal(&valid.replace("i-1", "i-2"), 5));
        assert!(!is_valid_seal("", 5));
    }
}
