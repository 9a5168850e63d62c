//! A stand-in backend with a fixed number of slots, a bounded queue, random service times and the answers that the
//! protocol requires.

use crate::beats::{About, Voice};
use crate::chance::{Chance, mix};
use crate::control::Control;
use crate::fault::Fault;
use crate::history::{Event, History};
use crate::mood::{Body, Mood};
use crate::plan::SERVICES;
use crate::site::sender;
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
const LINE: usize = 12;
/// Maximum number of connections; equals `max_conns` in the configuration.
const CONNECTIONS: usize = 130;
/// Maximum length of a request body in bytes.
const LONGEST: usize = 1 << 20;
/// Duration of the warm-up, and the initial slowdown factor of a cold backend.
const WARMUP: Duration = Duration::from_secs(2);
const COLD: f64 = 2.0;
/// Time for which a drained backend keeps serving after the drain deadline, so that late requests are detected.
const BEYOND: Duration = Duration::from_millis(700);

/// Request body that a client sends for an attempt id.
pub fn question(id: u64) -> Bytes {
    Bytes::from(format!("{:016x}", mix(id)).repeat(1 + (id % 8) as usize))
}

/// Answer body that a backend sends for an attempt id.
pub fn answer_to(id: u64) -> Bytes {
    Bytes::from(format!("{:016x}", mix(!id)).repeat(4 + (id % 60) as usize))
}

/// Request path for an attempt id, below the prefix of its route.
pub fn path_of(prefix: &str, id: u64) -> String {
    format!("{prefix}{:08x}?of={}", mix(id) >> 32, id % 97)
}

/// Seal by which an instance proves that it answered an attempt.
pub fn seal(instance: &str, id: u64) -> String {
    let sum = instance.bytes().fold(id, |sum, byte| mix(sum ^ u64::from(byte)));
    format!("{instance}.{sum:016x}")
}

/// Whether a seal was made by the instance that it names, for this attempt.
pub fn sealed(text: &str, id: u64) -> bool {
    text.rsplit_once('.').is_some_and(|(instance, _)| seal(instance, id) == text)
}

/// A running stand-in backend.
pub struct StandInBackend {
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Its instance id.
    pub id: String,
    /// Its listening address.
    pub address: SocketAddr,
    mean: Duration,
    born: Instant,
    slots: Semaphore,
    waiting: AtomicUsize,
    leaving: AtomicBool,
    chance: Mutex<Chance>,
    /// Its number in the history.
    pub number: u32,
    history: Option<Arc<History>>,
    mood: Mutex<Mood>,
    voice: Arc<Voice>,
    tasks: Mutex<Vec<AbortHandle>>,
}

/// Start options of a backend.
#[derive(Clone)]
pub struct Cradle {
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Listening address; port 0 selects a free port.
    pub at: SocketAddr,
    /// Seed of its service times.
    pub seed: u64,
    /// Whether it skips the warm-up.
    pub warm: bool,
    /// Client for the control planes that receive its heartbeats.
    pub control: Control,
    /// History that its events are recorded in.
    pub history: Option<Arc<History>>,
}

impl StandInBackend {
    /// Starts a backend, which sends heartbeats immediately.
    ///
    /// # Errors
    /// Returns an error when the address cannot be bound.
    pub fn start(cradle: Cradle) -> Result<Arc<Self>, Fault> {
        static NUMBERS: AtomicU32 = AtomicU32::new(0);
        let Cradle { service, zone, at, seed, warm, control, history } = cradle;
        let failed = |error| Fault::Socket { what: "a backend's address", error };
        let listener = listen(at).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let mut chance = Chance::new(seed, 7);
        let mean = SERVICES.iter().find(|(label, _)| *label == service).map_or(10.0, |(_, mean)| *mean);
        // Backends of one service differ in speed.
        let mean = Duration::from_secs_f64(mean / 1000.0 * (0.8 + 0.5 * chance.unit()));
        let id = format!("i-{:08x}", mix(mix(seed) ^ u64::from(std::process::id())) as u32);
        let now = Instant::now();
        let warmup = if warm { Duration::ZERO } else { WARMUP };
        let about = About {
            id: id.clone(),
            service: service.clone(),
            address,
            zone: zone.clone(),
            capacity: SLOTS,
            born: now,
            warmup,
        };
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        if let Some(history) = &history {
            history.note(Event::BackendStarted { backend: number, id: id.clone(), service: service.clone() });
        }
        let backend = Arc::new(Self {
            service,
            zone,
            id,
            address,
            mean,
            born: now - (WARMUP - warmup).min(WARMUP),
            slots: Semaphore::new(SLOTS),
            waiting: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            chance: Mutex::new(chance),
            number,
            history,
            mood: Mutex::default(),
            voice: Voice::new(about, control),
            tasks: Mutex::default(),
        });
        let serves = tokio::spawn(backend.clone().serve(listener)).abort_handle();
        let beats = tokio::spawn(backend.voice.clone().beat()).abort_handle();
        backend.tasks().extend([serves, beats]);
        Ok(backend)
    }

    fn tasks(&self) -> std::sync::MutexGuard<'_, Vec<AbortHandle>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the backend's behavior.
    pub fn feels(&self, mood: Mood) {
        *self.mood.lock().unwrap_or_else(PoisonError::into_inner) = mood;
    }

    fn mood(&self) -> Mood {
        *self.mood.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, event: Event) {
        if let Some(history) = &self.history {
            history.note(event);
        }
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            let accepted = listener.accept().await;
            while connections.try_join_next().is_some() {}
            match accepted {
                // Above the connection limit the backend resets connections, as real ones do: linger of zero.
                Ok((stream, _)) if connections.len() >= CONNECTIONS => drop(stream.set_zero_linger()),
                Ok((stream, _)) if self.mood() == Mood::Garbles => {
                    connections.spawn(crate::mood::babble(stream));
                }
                Ok((stream, from)) => {
                    let _ = stream.set_nodelay(true);
                    let (of, machine) = (self.clone(), sender(from.ip()));
                    connections.spawn(async move {
                        let service = service_fn(|request| of.clone().answer(request, machine));
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
        let told = self.voice.drains().await;
        if told.is_some() {
            self.note(Event::Drained { backend: self.number });
        }
        self.leaving.store(true, Ordering::Relaxed);
        if let Some(moment) = told {
            sleep(moment.saturating_duration_since(Instant::now()) + BEYOND).await;
        }
        let departed = self.voice.departs().await;
        self.end();
        told.is_some() && departed
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
            return Ok(not_run(StatusCode::MISDIRECTED_REQUEST));
        }
        let Some(id) = text("X-Attempt-Id") else { return Ok(not_run(StatusCode::BAD_REQUEST)) };
        let number = u64::from_str_radix(id, 16).ok();
        let backend = self.number;
        self.note(Event::Arrived { id: number, backend, machine });
        let mood = self.mood();
        if mood == Mood::Silent {
            self.note(Event::AnswerWithheld { id: number.unwrap_or_default() });
            std::future::pending::<()>().await;
        }
        let Ok(body) = Limited::new(body, LONGEST).collect().await else {
            return Ok(not_run(StatusCode::BAD_REQUEST));
        };
        let body = body.to_bytes();
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        let unchanged = number.is_some_and(|id| {
            let due = if head.method == Method::GET { Bytes::new() } else { question(id) };
            body == due && path.ends_with(path_of("/", id).as_str())
        });
        let left = text("X-Deadline-Left").and_then(|left| left.parse().ok()).map(Duration::from_millis);
        let left = |longest: Duration| left.unwrap_or(longest).saturating_sub(arrived.elapsed());
        let Some(place) = Place::take(&self.waiting) else {
            return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE));
        };
        let longest = Duration::from_secs(30);
        let Ok(Ok(slot)) = timeout(left(longest), self.slots.acquire()).await else {
            return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE));
        };
        drop(place);
        if left(longest).is_zero() {
            return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        if let Some(history) = &self.history {
            let (tenant, arrived) = (text("X-Tenant").map(str::to_owned), history.at(arrived));
            let key = head.headers.contains_key("Authorization");
            history.note(Event::Ran { id: number, backend, arrived, tenant, key, unchanged });
        }
        let takes = if let Mood::Slow(factor) = mood { self.takes().mul_f64(factor) } else { self.takes() };
        let done = timeout(left(longest), sleep(takes)).await.is_ok();
        drop(slot);
        if !done {
            return Ok(plain(StatusCode::GATEWAY_TIMEOUT));
        }
        match mood {
            Mood::Fails(share) if self.unit() < share => {
                return Ok(plain(StatusCode::INTERNAL_SERVER_ERROR));
            }
            Mood::Loses(share) if self.unit() < share => {
                self.note(Event::AnswerWithheld { id: number.unwrap_or_default() });
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            _ => {}
        }
        let answer = match (number, &self.history) {
            (Some(id), Some(_)) => answer_to(id),
            // Without a history the answer is not checked, so it is readable text.
            _ => Bytes::from(format!("done by {} of {} in {}\n", self.id, self.service, self.zone)),
        };
        let breaks = mood == Mood::Garbles;
        if breaks {
            self.note(Event::AnswerWithheld { id: number.unwrap_or_default() });
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
        self.chance.lock().unwrap_or_else(PoisonError::into_inner).unit()
    }

    async fn health(&self) -> Response<Body> {
        let Some(_place) = Place::take(&self.waiting) else {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        };
        let Ok(_slot) = self.slots.acquire().await else { return not_run(StatusCode::SERVICE_UNAVAILABLE) };
        let leaving = self.leaving.load(Ordering::Relaxed);
        let mut response = plain(if leaving { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK });
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            response.headers_mut().insert("X-Instance-Id", id);
        }
        response
    }

    /// Random service time of the next request; longer while the backend is cold or all slots are in use.
    fn takes(&self) -> Duration {
        let drawn = self.chance.lock().unwrap_or_else(PoisonError::into_inner).exponential();
        let warm = (self.born.elapsed().as_secs_f64() / WARMUP.as_secs_f64()).min(1.0);
        let cold = COLD - (COLD - 1.0) * warm;
        let full = if self.slots.available_permits() == 0 { 1.3 } else { 1.0 };
        // Limit the draw: extreme service times would say more about the random numbers than about the fleet.
        self.mean.mul_f64((0.3 + 0.7 * drawn).min(6.0) * cold * full)
    }
}

/// A place in the queue. Dropping it frees the place, also when the connection of a waiting request breaks.
struct Place<'a>(&'a AtomicUsize);

impl<'a> Place<'a> {
    fn take(line: &'a AtomicUsize) -> Option<Self> {
        let room = line.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n < LINE).then_some(n + 1));
        room.ok().map(|_| Self(line))
    }
}

impl Drop for Place<'_> {
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

fn not_run(status: StatusCode) -> Response<Body> {
    let mut response = plain(status);
    response.headers_mut().insert("X-Not-Executed", HeaderValue::from_static("1"));
    response
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seal_is_of_one_instance_and_one_try() {
        let mine = seal("i-1", 5);
        assert!(sealed(&mine, 5));
        assert!(!sealed(&mine, 6));
        assert!(!sealed(&mine.replace("i-1", "i-2"), 5));
        assert!(!sealed("", 5));
    }
}
