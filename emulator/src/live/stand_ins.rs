//! Stand-ins for the services that a gateway uses, on loopback sockets: backends, discovery and counter. They
//! implement the gateway's external protocol. Each can inject faults while it runs. They support functional trials
//! and do not measure performance. A slot of a backend processes one request at a time. A cold backend has restarted
//! recently and works below its full speed.

use crate::live::history::{Entry, History, Seen, gateway_at};
use bytes::Bytes;
use fault_injection::Random;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

/// Maximum size of a request body at a backend, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a counter call, in bytes.
const MAX_CALL_BYTES: usize = 4096;
/// Maximum number of concurrent connections of one stand-in.
const MAX_CONNECTIONS: usize = 512;

/// Accepts connections and serves each on its own task, at most [`MAX_CONNECTIONS`] at once.
fn serve<F>(listener: TcpListener, handle: impl Fn(TcpStream) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    tokio::spawn(async move {
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handler = handle(stream);
            tokio::spawn(async move {
                handler.await;
                drop(permit);
            });
        }
    });
}

async fn bind_loopback() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// A backend with a fixed number of slots, random service times, a bounded queue and injectable faults.
pub struct Backend {
    /// Name of the backend.
    pub name: String,
    /// Zone of the backend.
    pub zone: String,
    /// Listening address.
    pub address: SocketAddr,
    /// Whether the backend accepts requests but never answers.
    pub silent: AtomicBool,
    /// Whether the backend declines new requests.
    pub draining: AtomicBool,
    /// Share of requests that the backend answers with an error, in thousandths.
    pub failing: AtomicU64,
    /// Number of served requests.
    pub served: AtomicU64,
    number: usize,
    history: Option<Arc<History>>,
    born: Mutex<Option<(Instant, u64)>>,
    slots: Semaphore,
    queued: AtomicUsize,
    random: Mutex<Random>,
}

/// Maximum number of requests that wait for a slot.
const MAX_QUEUED_REQUESTS: usize = 40;
/// Warm-up of a restarted ("cold") backend: the initial share of its full speed, and the time until full speed.
pub const WARM_UP: (f64, Duration) = (0.2, Duration::from_secs(10));

/// Returns the share of its full speed that a backend has reached at this time after its start.
pub fn warmth(age: Duration) -> f64 {
    let (share, warm) = WARM_UP;
    share + (1.0 - share) * (age.as_secs_f64() / warm.as_secs_f64()).min(1.0)
}

impl Backend {
    /// Starts a backend.
    ///
    /// # Errors
    /// When the backend cannot bind an address.
    pub async fn start(
        number: usize, zone: &str, slots: usize, history: Option<Arc<History>>,
    ) -> io::Result<Arc<Self>> {
        let (listener, address) = bind_loopback().await?;
        let backend = Arc::new(Self {
            name: format!("b{number}"),
            zone: zone.into(),
            address,
            silent: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            failing: AtomicU64::new(0),
            served: AtomicU64::new(0),
            number,
            history,
            born: Mutex::new(None),
            slots: Semaphore::new(slots),
            queued: AtomicUsize::new(0),
            random: Mutex::new(Random::new(number as u64, "backend", 0)),
        });
        let shared = backend.clone();
        serve(listener, move |stream| {
            let shared = shared.clone();
            async move {
                let from = stream.peer_addr().ok().map(|address| address.ip());
                let service = service_fn(move |request| shared.clone().answer(request, from));
                let connection = hyper::server::conn::http1::Builder::new();
                // The client handles a broken connection; the backend needs no error handling.
                let _ = connection.serve_connection(TokioIo::new(stream), service).await;
            }
        });
        Ok(backend)
    }

    /// Simulates a restart of the process: the backend is cold from now on.
    pub fn restart(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        if let Ok(mut born) = self.born.lock() {
            *born = Some((Instant::now(), unix));
        }
        self.note(Seen::Born { backend: self.number, born_ms: unix });
    }

    /// Returns the last start of the backend, in ms of Unix time; 0 if the backend started long ago.
    pub fn born_ms(&self) -> u64 {
        self.born.lock().ok().and_then(|born| *born).map_or(0, |(_, unix)| unix)
    }

    fn warmth(&self) -> f64 {
        self.born.lock().ok().and_then(|born| *born).map_or(1.0, |(at, _)| warmth(at.elapsed()))
    }

    fn note(&self, seen: Seen) {
        self.history.iter().for_each(|history| history.note(seen.clone()));
    }

    async fn answer(
        self: Arc<Self>, request: Request<Incoming>, from: Option<IpAddr>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let Some(id) = request.headers().get("Req-Id").cloned() else {
            return Ok(response(StatusCode::NOT_FOUND, ""));
        };
        let id = id.to_str().unwrap_or("?").to_owned();
        let mean = if request.method() == Method::GET { 20.0 } else { 45.0 };
        if Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.is_err() {
            return Ok(response(StatusCode::PAYLOAD_TOO_LARGE, ""));
        }
        let silent = self.silent.load(Ordering::Relaxed);
        let full = self.queued.load(Ordering::Relaxed) >= MAX_QUEUED_REQUESTS;
        let declined_now = !silent && (full || self.draining.load(Ordering::Relaxed));
        let draw = |random: &Mutex<Random>| {
            random.lock().map_or((1.0, 1.0), |mut random| (random.exponential(), random.unit()))
        };
        let (work, failure_draw) = draw(&self.random);
        let work_ms = work * mean;
        let gateway = from.and_then(gateway_at);
        let arrived =
            Seen::Arrived { id: id.clone(), backend: self.number, gateway, work_ms, ran: !declined_now };
        self.note(arrived);
        if silent {
            std::future::pending::<()>().await;
        }
        if declined_now {
            let mut declined = response(StatusCode::SERVICE_UNAVAILABLE, "");
            declined.headers_mut().insert("Srv-Declined", hyper::header::HeaderValue::from_static("1"));
            return Ok(declined);
        }
        if failure_draw * 1000.0 < self.failing.load(Ordering::Relaxed) as f64 {
            return Ok(response(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        let place = QueuePlace::take(&self.queued);
        let slot = self.slots.acquire().await;
        drop(place);
        sleep(Duration::from_secs_f64(work_ms / 1000.0 / self.warmth())).await;
        drop(slot);
        self.served.fetch_add(1, Ordering::Relaxed);
        self.note(Seen::Served { id: id.clone(), backend: self.number });
        Ok(response(StatusCode::OK, &format!("{id} by {}\n", self.name)))
    }
}

/// A place in the queue. Dropping the place releases it, also when the connection breaks while the request waits.
struct QueuePlace<'a>(&'a AtomicUsize);

impl<'a> QueuePlace<'a> {
    fn take(queue: &'a AtomicUsize) -> Self {
        queue.fetch_add(1, Ordering::Relaxed);
        Self(queue)
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns the addresses that the backends listen on, without relays.
pub fn addresses_of(backends: &[Arc<Backend>]) -> Vec<SocketAddr> {
    backends.iter().map(|backend| backend.address).collect()
}

/// Builds the discovery list of the backends, with the addresses at which the receiving gateway reaches them.
pub fn hosts(backends: &[Arc<Backend>], dials: &[SocketAddr]) -> Vec<Value> {
    let entry = |(number, (backend, dial)): (usize, (&Arc<Backend>, &SocketAddr))| {
        let health = if backend.draining.load(Ordering::Relaxed) { "terminating" } else { "in_service" };
        json!({"host": backend.name, "dial": dial.to_string(), "site": backend.zone, "class": "stand-in",
            "block": number / 3, "health": health, "share": 1.0, "born_ms": backend.born_ms()})
    };
    backends.iter().zip(dials).enumerate().map(entry).collect()
}

/// Discovery service: serves the complete list, and long polls that return when the list changes.
pub struct Discovery {
    /// Listening address.
    pub address: SocketAddr,
    list: watch::Sender<(u64, Vec<Value>)>,
}

impl Discovery {
    /// Starts discovery with a list. With `watched`, the service belongs to one gateway and records the queries of
    /// and the answers to that gateway.
    ///
    /// # Errors
    /// When discovery cannot bind an address.
    pub async fn start(hosts: Vec<Value>, watched: Option<(usize, Arc<History>)>) -> io::Result<Self> {
        let (listener, address) = bind_loopback().await?;
        let (list, list_receiver) = watch::channel((1, hosts));
        serve(listener, move |stream| {
            let (list_receiver, watched) = (list_receiver.clone(), watched.clone());
            async move {
                let service =
                    service_fn(move |request| answer_query(list_receiver.clone(), watched.clone(), request));
                let connection = hyper::server::conn::http1::Builder::new();
                let _ = connection.serve_connection(TokioIo::new(stream), service).await;
            }
        });
        Ok(Self { address, list })
    }

    /// Replaces the list and increments its version.
    pub fn change(&self, hosts: Vec<Value>) {
        self.list.send_modify(|list| *list = (list.0 + 1, hosts));
    }

    /// Returns the current list in the form of the configuration's `known` field.
    pub fn known(&self) -> Value {
        let list = self.list.borrow();
        json!({"seq": list.0, "whole": true, "hosts": list.1})
    }
}

async fn answer_query(
    mut list_receiver: watch::Receiver<(u64, Vec<Value>)>, watched: Option<(usize, Arc<History>)>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() != "/discovery/hosts" {
        return Ok(response(StatusCode::NOT_FOUND, ""));
    }
    let query = request.uri().query().unwrap_or_default();
    let number = |name: &str| -> Option<u64> {
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let note = |seen: &dyn Fn(usize) -> Seen| {
        watched.iter().for_each(|(gateway, history)| history.note(seen(*gateway)));
    };
    if let Some(after) = number("after") {
        note(&|gateway| Seen::Asked { gateway, after });
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
        let newer = timeout(wait, list_receiver.wait_for(|list| list.0 > after)).await;
        if newer.is_err() {
            return Ok(response(
                StatusCode::OK,
                &json!({"seq": after, "whole": false, "hosts": []}).to_string(),
            ));
        }
    }
    let list = list_receiver.borrow();
    note(&|gateway| Seen::Told { gateway, seq: list.0, hosts: entries(&list.1) });
    Ok(response(StatusCode::OK, &json!({"seq": list.0, "whole": true, "hosts": list.1}).to_string()))
}

fn entries(hosts: &[Value]) -> Vec<Entry> {
    let entry = |host: &Value| {
        let backend = host["host"].as_str()?.strip_prefix('b')?.parse().ok()?;
        let usable = host["health"].as_str() == Some("in_service");
        Some(Entry { backend, usable, born_ms: host["born_ms"].as_u64()? })
    };
    hosts.iter().filter_map(entry).collect()
}

/// Counter service with the `ADDGET` command.
pub struct Counter {
    /// Listening address.
    pub address: SocketAddr,
    /// Whether the counter accepts calls but never answers.
    pub silent: AtomicBool,
    /// Number of `ADDGET` calls, including rejected ones.
    pub calls: AtomicU64,
    /// Number of shards, counted from the first, that reject calls as busy.
    pub busy: AtomicUsize,
    shards: usize,
    history: Option<Arc<History>>,
    values: Mutex<HashMap<Vec<u8>, (f64, Instant)>>,
}

impl Counter {
    /// Starts an empty counter with a number of shards.
    ///
    /// # Errors
    /// When the counter cannot bind an address.
    pub async fn start(shards: usize, history: Option<Arc<History>>) -> io::Result<Arc<Self>> {
        let (listener, address) = bind_loopback().await?;
        let counter = Arc::new(Self {
            address,
            silent: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            busy: AtomicUsize::new(0),
            shards: shards.max(1),
            history,
            values: Mutex::default(),
        });
        let shared = counter.clone();
        serve(listener, move |stream| shared.clone().serve_calls(stream));
        Ok(counter)
    }

    /// Returns the number of shards.
    pub fn shards(&self) -> usize {
        self.shards
    }

    /// Returns the index of the shard that holds a name, by a hash of the name.
    fn shard_of(&self, name: &[u8]) -> usize {
        let sum =
            name.iter().fold(0, |sum: u64, byte| crate::draw::mix(sum ^ u64::from(*byte)).wrapping_add(1));
        (sum % self.shards as u64) as usize
    }

    /// Removes all values of the first `shards` shards.
    pub fn forget(&self, shards: usize) {
        if let Ok(mut values) = self.values.lock() {
            values.retain(|name, _| self.shard_of(name) >= shards);
        }
    }

    async fn serve_calls(self: Arc<Self>, mut stream: TcpStream) {
        let gateway = stream.peer_addr().ok().and_then(|address| gateway_at(address.ip()));
        let mut buffer = Vec::new();
        let mut chunk = [0; 4096];
        while let Ok(count @ 1..) = stream.read(&mut chunk).await {
            buffer.extend_from_slice(&chunk[..count]);
            let mut replies = Vec::new();
            loop {
                match decode(&buffer) {
                    Ok(Some((frame, used))) => {
                        buffer.drain(..used);
                        self.answer(&frame, gateway, &mut replies);
                    }
                    Ok(None) if buffer.len() <= MAX_CALL_BYTES => break,
                    _ => return,
                }
            }
            if self.silent.load(Ordering::Relaxed) {
                continue;
            }
            if stream.write_all(&replies).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, frame: &OwnedFrame, gateway: Option<usize>, replies: &mut Vec<u8>) {
        let OwnedFrame::Array(arguments) = frame else {
            return replies.extend_from_slice(b"-ERR no such call\r\n");
        };
        let argument = |at: usize| match arguments.get(at) {
            Some(OwnedFrame::BulkString(bytes)) => bytes.as_slice(),
            _ => &[],
        };
        let number =
            |at| std::str::from_utf8(argument(at)).ok()?.parse::<f64>().ok().filter(|f| f.is_finite());
        match argument(0).to_ascii_uppercase().as_slice() {
            b"PING" => replies.extend_from_slice(b"+PONG\r\n"),
            b"CLIENT" | b"SELECT" => replies.extend_from_slice(b"+OK\r\n"),
            b"ADDGET" => {
                let (Some(amount), Some(ttl_ms), Ok(mut values)) = (number(2), number(3), self.values.lock())
                else {
                    return replies.extend_from_slice(b"-ERR no number\r\n");
                };
                self.calls.fetch_add(1, Ordering::Relaxed);
                if self.shard_of(argument(1)) < self.busy.load(Ordering::Relaxed) {
                    return replies.extend_from_slice(b"-BUSY\r\n");
                }
                let now = Instant::now();
                values.retain(|_, (_, expires_at)| *expires_at > now);
                let expires_at = now + Duration::from_millis(ttl_ms.clamp(1.0, 60_000.0) as u64);
                let (total, _) = values.entry(argument(1).to_vec()).or_insert((0.0, expires_at));
                *total += amount;
                let text = total.to_string();
                if let Some(history) = &self.history {
                    let name = String::from_utf8_lossy(argument(1)).into_owned();
                    history.note(Seen::Added { name, amount, total: *total, gateway });
                }
                replies.extend_from_slice(format!("${}\r\n{text}\r\n", text.len()).as_bytes());
            }
            _ => replies.extend_from_slice(b"-ERR no such call\r\n"),
        }
    }
}
