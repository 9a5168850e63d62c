//! Stand-ins for what a gateway meets, by the protocol's page, on loopback sockets: backends, discovery, counter.
//! Each can be put in trouble while it runs. They are for trying the program out, and measure nothing.

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

/// The longest request body that a backend reads.
const LONGEST_BODY: usize = 64 * 1024;
/// The longest call of the counter.
const LONGEST_CALL: usize = 4096;
/// Connections that one stand-in holds.
const CONNECTIONS: usize = 512;

/// Accepts connections and serves each on a task of its own, up to a bound.
fn serve<F>(listener: TcpListener, each: impl Fn(TcpStream) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    let free = Arc::new(Semaphore::new(CONNECTIONS));
    tokio::spawn(async move {
        loop {
            let Ok(place) = free.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let served = each(stream);
            tokio::spawn(async move {
                served.await;
                drop(place);
            });
        }
    });
}

async fn loopback() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// A backend: so many requests in work at once, each for a drawn time, a bounded line, and a state.
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// It takes requests and says nothing.
    pub silent: AtomicBool,
    /// It turns new requests away.
    pub draining: AtomicBool,
    /// It fails this share of what it is sent, in thousandths.
    pub failing: AtomicU64,
    /// Answers given.
    pub served: AtomicU64,
    number: usize,
    history: Option<Arc<History>>,
    born: Mutex<Option<(Instant, u64)>>,
    slots: Semaphore,
    waiting: AtomicUsize,
    chance: Mutex<Random>,
}

/// Requests that wait.
const LINE: usize = 40;
/// The share of its pace that a backend starts with, and how long it takes to reach all of it.
pub const COLD: (f64, Duration) = (0.2, Duration::from_secs(10));

/// The share of its pace that a backend has this long after its start.
pub fn warmth(age: Duration) -> f64 {
    let (share, warm) = COLD;
    share + (1.0 - share) * (age.as_secs_f64() / warm.as_secs_f64()).min(1.0)
}

impl Backend {
    /// Starts one.
    ///
    /// # Errors
    /// When there is no address for it.
    pub async fn start(
        number: usize, zone: &str, slots: usize, history: Option<Arc<History>>,
    ) -> io::Result<Arc<Self>> {
        let (listener, address) = loopback().await?;
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
            waiting: AtomicUsize::new(0),
            chance: Mutex::new(Random::new(number as u64, "backend", 0)),
        });
        let of = backend.clone();
        serve(listener, move |stream| {
            let of = of.clone();
            async move {
                let from = stream.peer_addr().ok().map(|address| address.ip());
                let service = service_fn(move |request| of.clone().answer(request, from));
                let connection = hyper::server::conn::http1::Builder::new();
                // A connection that breaks is its client's affair.
                let _ = connection.serve_connection(TokioIo::new(stream), service).await;
            }
        });
        Ok(backend)
    }

    /// Its process starts anew: it is cold.
    pub fn starts(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        if let Ok(mut born) = self.born.lock() {
            *born = Some((Instant::now(), unix));
        }
        self.note(Seen::Born { backend: self.number, born_ms: unix });
    }

    /// Its last start, in ms of Unix time; 0: long ago.
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
            return Ok(told(StatusCode::NOT_FOUND, ""));
        };
        let id = id.to_str().unwrap_or("?").to_owned();
        let mean = if request.method() == Method::GET { 20.0 } else { 45.0 };
        if Limited::new(request.into_body(), LONGEST_BODY).collect().await.is_err() {
            return Ok(told(StatusCode::PAYLOAD_TOO_LARGE, ""));
        }
        let silent = self.silent.load(Ordering::Relaxed);
        let full = self.waiting.load(Ordering::Relaxed) >= LINE;
        let declines = !silent && (full || self.draining.load(Ordering::Relaxed));
        let lot = |chance: &Mutex<Random>| {
            chance.lock().map_or((1.0, 1.0), |mut chance| (chance.exponential(), chance.unit()))
        };
        let (work, luck) = lot(&self.chance);
        let work_ms = work * mean;
        let gateway = from.and_then(gateway_at);
        let arrived =
            Seen::Arrived { id: id.clone(), backend: self.number, gateway, work_ms, ran: !declines };
        self.note(arrived);
        if silent {
            std::future::pending::<()>().await;
        }
        if declines {
            let mut declined = told(StatusCode::SERVICE_UNAVAILABLE, "");
            declined.headers_mut().insert("Srv-Declined", hyper::header::HeaderValue::from_static("1"));
            return Ok(declined);
        }
        if luck * 1000.0 < self.failing.load(Ordering::Relaxed) as f64 {
            return Ok(told(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        let place = Place::take(&self.waiting);
        let slot = self.slots.acquire().await;
        drop(place);
        sleep(Duration::from_secs_f64(work_ms / 1000.0 / self.warmth())).await;
        drop(slot);
        self.served.fetch_add(1, Ordering::Relaxed);
        self.note(Seen::Served { id: id.clone(), backend: self.number });
        Ok(told(StatusCode::OK, &format!("{id} by {}\n", self.name)))
    }
}

/// A place in a line, given back also when whoever holds it is dropped: its connection may break while it waits.
struct Place<'a>(&'a AtomicUsize);

impl<'a> Place<'a> {
    fn take(line: &'a AtomicUsize) -> Self {
        line.fetch_add(1, Ordering::Relaxed);
        Self(line)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn told(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Where backends listen themselves.
pub fn addresses_of(backends: &[Arc<Backend>]) -> Vec<SocketAddr> {
    backends.iter().map(|backend| backend.address).collect()
}

/// The list of backends, each at the address where whoever is told finds it.
pub fn hosts(backends: &[Arc<Backend>], dials: &[SocketAddr]) -> Vec<Value> {
    let entry = |(number, (backend, dial)): (usize, (&Arc<Backend>, &SocketAddr))| {
        let health = if backend.draining.load(Ordering::Relaxed) { "terminating" } else { "in_service" };
        json!({"host": backend.name, "dial": dial.to_string(), "site": backend.zone, "class": "stand-in",
            "block": number / 3, "health": health, "share": 1.0, "born_ms": backend.born_ms()})
    };
    backends.iter().zip(dials).enumerate().map(entry).collect()
}

/// Discovery: the whole list, and watches that answer when it changes.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: watch::Sender<(u64, Vec<Value>)>,
}

impl Discovery {
    /// Starts it with a list; it may be one gateway's alone, and write down what it tells it.
    ///
    /// # Errors
    /// When there is no address for it.
    pub async fn start(hosts: Vec<Value>, watched: Option<(usize, Arc<History>)>) -> io::Result<Self> {
        let (listener, address) = loopback().await?;
        let (list, listed) = watch::channel((1, hosts));
        serve(listener, move |stream| {
            let (listed, watched) = (listed.clone(), watched.clone());
            async move {
                let service =
                    service_fn(move |request| answer_list(listed.clone(), watched.clone(), request));
                let connection = hyper::server::conn::http1::Builder::new();
                let _ = connection.serve_connection(TokioIo::new(stream), service).await;
            }
        });
        Ok(Self { address, list })
    }

    /// The list changes.
    pub fn change(&self, hosts: Vec<Value>) {
        self.list.send_modify(|list| *list = (list.0 + 1, hosts));
    }

    /// The list as a configuration knows it.
    pub fn known(&self) -> Value {
        let list = self.list.borrow();
        json!({"seq": list.0, "whole": true, "hosts": list.1})
    }
}

async fn answer_list(
    mut listed: watch::Receiver<(u64, Vec<Value>)>, watched: Option<(usize, Arc<History>)>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() != "/discovery/hosts" {
        return Ok(told(StatusCode::NOT_FOUND, ""));
    }
    let query = request.uri().query().unwrap_or_default();
    let figure = |name: &str| -> Option<u64> {
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let note = |seen: &dyn Fn(usize) -> Seen| {
        watched.iter().for_each(|(gateway, history)| history.note(seen(*gateway)));
    };
    if let Some(after) = figure("after") {
        note(&|gateway| Seen::Asked { gateway, after });
        let wait = Duration::from_millis(figure("wait_ms").unwrap_or(0).min(60_000));
        let newer = timeout(wait, listed.wait_for(|list| list.0 > after)).await;
        if newer.is_err() {
            return Ok(told(StatusCode::OK, &json!({"seq": after, "whole": false, "hosts": []}).to_string()));
        }
    }
    let list = listed.borrow();
    note(&|gateway| Seen::Told { gateway, seq: list.0, hosts: entries(&list.1) });
    Ok(told(StatusCode::OK, &json!({"seq": list.0, "whole": true, "hosts": list.1}).to_string()))
}

fn entries(hosts: &[Value]) -> Vec<Entry> {
    let entry = |host: &Value| {
        let backend = host["host"].as_str()?.strip_prefix('b')?.parse().ok()?;
        let usable = host["health"].as_str() == Some("in_service");
        Some(Entry { backend, usable, born_ms: host["born_ms"].as_u64()? })
    };
    hosts.iter().filter_map(entry).collect()
}

/// The counter.
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    /// It takes calls and says nothing.
    pub silent: AtomicBool,
    /// Calls answered.
    pub calls: AtomicU64,
    /// How many of its parts, from the first one on, turn calls away.
    pub busy: AtomicUsize,
    parts: usize,
    history: Option<Arc<History>>,
    numbers: Mutex<HashMap<Vec<u8>, (f64, Instant)>>,
}

impl Counter {
    /// Starts it, empty, with so many parts.
    ///
    /// # Errors
    /// When there is no address for it.
    pub async fn start(parts: usize, history: Option<Arc<History>>) -> io::Result<Arc<Self>> {
        let (listener, address) = loopback().await?;
        let counter = Arc::new(Self {
            address,
            silent: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            busy: AtomicUsize::new(0),
            parts: parts.max(1),
            history,
            numbers: Mutex::default(),
        });
        let of = counter.clone();
        serve(listener, move |stream| of.clone().converse(stream));
        Ok(counter)
    }

    /// How many parts it has.
    pub fn parts(&self) -> usize {
        self.parts
    }

    /// The part that holds a name: names are spread over all of them.
    fn part(&self, name: &[u8]) -> usize {
        let sum =
            name.iter().fold(0, |sum: u64, byte| crate::draw::mix(sum ^ u64::from(*byte)).wrapping_add(1));
        (sum % self.parts as u64) as usize
    }

    /// Its first so many parts lose all numbers.
    pub fn forget(&self, parts: usize) {
        if let Ok(mut numbers) = self.numbers.lock() {
            numbers.retain(|name, _| self.part(name) >= parts);
        }
    }

    async fn converse(self: Arc<Self>, mut stream: TcpStream) {
        let gateway = stream.peer_addr().ok().and_then(|address| gateway_at(address.ip()));
        let mut held = Vec::new();
        let mut part = [0; 4096];
        while let Ok(count @ 1..) = stream.read(&mut part).await {
            held.extend_from_slice(&part[..count]);
            let mut replies = Vec::new();
            loop {
                match decode(&held) {
                    Ok(Some((frame, used))) => {
                        held.drain(..used);
                        self.answer(&frame, gateway, &mut replies);
                    }
                    Ok(None) if held.len() <= LONGEST_CALL => break,
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
        let OwnedFrame::Array(words) = frame else {
            return replies.extend_from_slice(b"-ERR no such call\r\n");
        };
        let word = |at: usize| match words.get(at) {
            Some(OwnedFrame::BulkString(bytes)) => bytes.as_slice(),
            _ => &[],
        };
        let figure = |at| std::str::from_utf8(word(at)).ok()?.parse::<f64>().ok().filter(|f| f.is_finite());
        match word(0).to_ascii_uppercase().as_slice() {
            b"PING" => replies.extend_from_slice(b"+PONG\r\n"),
            b"CLIENT" | b"SELECT" => replies.extend_from_slice(b"+OK\r\n"),
            b"ADDGET" => {
                let (Some(amount), Some(life), Ok(mut numbers)) = (figure(2), figure(3), self.numbers.lock())
                else {
                    return replies.extend_from_slice(b"-ERR no number\r\n");
                };
                self.calls.fetch_add(1, Ordering::Relaxed);
                if self.part(word(1)) < self.busy.load(Ordering::Relaxed) {
                    return replies.extend_from_slice(b"-BUSY\r\n");
                }
                let now = Instant::now();
                numbers.retain(|_, (_, until)| *until > now);
                let until = now + Duration::from_millis(life.clamp(1.0, 60_000.0) as u64);
                let (total, _) = numbers.entry(word(1).to_vec()).or_insert((0.0, until));
                *total += amount;
                let text = total.to_string();
                if let Some(history) = &self.history {
                    let name = String::from_utf8_lossy(word(1)).into_owned();
                    history.note(Seen::Added { name, amount, total: *total, gateway });
                }
                replies.extend_from_slice(format!("${}\r\n{text}\r\n", text.len()).as_bytes());
            }
            _ => replies.extend_from_slice(b"-ERR no such call\r\n"),
        }
    }
}
