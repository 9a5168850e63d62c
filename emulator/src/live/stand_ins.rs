//! Stand-ins for what a gateway meets, by the protocol's page, on loopback sockets: backends, discovery, counter.
//! Each can be put in trouble while it runs. They are for trying the program out, and measure nothing.

use crate::random::Random;
use bytes::Bytes;
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
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
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
    pub zone: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    /// It takes requests and says nothing.
    pub silent: AtomicBool,
    /// It turns new requests away.
    pub draining: AtomicBool,
    /// Answers given.
    pub served: AtomicU64,
    slots: Semaphore,
    waiting: AtomicUsize,
    chance: Mutex<Random>,
}

/// Requests in work at once; and those that wait.
const SLOTS: usize = 4;
const LINE: usize = 40;

impl Backend {
    /// Starts one.
    ///
    /// # Errors
    /// When there is no address for it.
    pub async fn start(number: usize, zone: &'static str) -> io::Result<Arc<Self>> {
        let (listener, address) = loopback().await?;
        let backend = Arc::new(Self {
            name: format!("b{number}"),
            zone,
            address,
            silent: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            served: AtomicU64::new(0),
            slots: Semaphore::new(SLOTS),
            waiting: AtomicUsize::new(0),
            chance: Mutex::new(Random::new(number as u64, "backend", 0)),
        });
        let of = backend.clone();
        serve(listener, move |stream| {
            let of = of.clone();
            async move {
                let service = service_fn(move |request| of.clone().answer(request));
                let connection = hyper::server::conn::http1::Builder::new();
                // A connection that breaks is its client's affair.
                let _ = connection.serve_connection(TokioIo::new(stream), service).await;
            }
        });
        Ok(backend)
    }

    async fn answer(
        self: Arc<Self>, request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let Some(id) = request.headers().get("Req-Id").cloned() else {
            return Ok(told(StatusCode::NOT_FOUND, ""));
        };
        let mean = if request.method() == Method::GET { 20.0 } else { 45.0 };
        if Limited::new(request.into_body(), LONGEST_BODY).collect().await.is_err() {
            return Ok(told(StatusCode::PAYLOAD_TOO_LARGE, ""));
        }
        if self.silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let full = self.waiting.load(Ordering::Relaxed) >= LINE;
        if full || self.draining.load(Ordering::Relaxed) {
            let mut declined = told(StatusCode::SERVICE_UNAVAILABLE, "");
            declined.headers_mut().insert("Srv-Declined", hyper::header::HeaderValue::from_static("1"));
            return Ok(declined);
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let work = self.chance.lock().map_or(1.0, |mut chance| chance.exponential()) * mean;
        sleep(Duration::from_micros((work * 1000.0) as u64)).await;
        drop(slot);
        self.served.fetch_add(1, Ordering::Relaxed);
        Ok(told(StatusCode::OK, &format!("{} by {}\n", id.to_str().unwrap_or("?"), self.name)))
    }
}

fn told(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Discovery: the whole list, and watches that answer when it changes.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: watch::Sender<(u64, Vec<Value>)>,
}

impl Discovery {
    /// Starts it with a list.
    ///
    /// # Errors
    /// When there is no address for it.
    pub async fn start(hosts: Vec<Value>) -> io::Result<Self> {
        let (listener, address) = loopback().await?;
        let (list, listed) = watch::channel((1, hosts));
        serve(listener, move |stream| {
            let listed = listed.clone();
            async move {
                let service = service_fn(move |request| answer_list(listed.clone(), request));
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
    mut listed: watch::Receiver<(u64, Vec<Value>)>, request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() != "/discovery/hosts" {
        return Ok(told(StatusCode::NOT_FOUND, ""));
    }
    let query = request.uri().query().unwrap_or_default();
    let figure = |name: &str| -> Option<u64> {
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    if let Some(after) = figure("after") {
        let wait = Duration::from_millis(figure("wait_ms").unwrap_or(0).min(60_000));
        let newer = timeout(wait, listed.wait_for(|list| list.0 > after)).await;
        if newer.is_err() {
            return Ok(told(StatusCode::OK, &json!({"seq": after, "whole": false, "hosts": []}).to_string()));
        }
    }
    let list = listed.borrow();
    Ok(told(StatusCode::OK, &json!({"seq": list.0, "whole": true, "hosts": list.1}).to_string()))
}

/// The counter.
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    /// It takes calls and says nothing.
    pub silent: AtomicBool,
    /// Calls answered.
    pub calls: AtomicU64,
    numbers: Mutex<HashMap<Vec<u8>, (f64, Instant)>>,
}

impl Counter {
    /// Starts it, empty.
    ///
    /// # Errors
    /// When there is no address for it.
    pub async fn start() -> io::Result<Arc<Self>> {
        let (listener, address) = loopback().await?;
        let counter = Arc::new(Self {
            address,
            silent: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            numbers: Mutex::default(),
        });
        let of = counter.clone();
        serve(listener, move |stream| of.clone().converse(stream));
        Ok(counter)
    }

    async fn converse(self: Arc<Self>, mut stream: TcpStream) {
        let mut held = Vec::new();
        let mut part = [0; 4096];
        while let Ok(count @ 1..) = stream.read(&mut part).await {
            held.extend_from_slice(&part[..count]);
            let mut replies = Vec::new();
            loop {
                match decode(&held) {
                    Ok(Some((frame, used))) => {
                        held.drain(..used);
                        self.answer(&frame, &mut replies);
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

    fn answer(&self, frame: &OwnedFrame, replies: &mut Vec<u8>) {
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
                let now = Instant::now();
                numbers.retain(|_, (_, until)| *until > now);
                let until = now + Duration::from_millis(life.clamp(1.0, 60_000.0) as u64);
                let (total, _) = numbers.entry(word(1).to_vec()).or_insert((0.0, until));
                *total += amount;
                let text = total.to_string();
                replies.extend_from_slice(format!("${}\r\n{text}\r\n", text.len()).as_bytes());
            }
            _ => replies.extend_from_slice(b"-ERR no such call\r\n"),
        }
    }
}
