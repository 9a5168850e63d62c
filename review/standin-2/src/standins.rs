//! Stand-ins for backends and for the operator, as `PROTOCOL.md` has them.

use crate::fleet::Record;
use crate::http::{Message, once, read_body, read_head};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Requests that wait for a slot of a backend, at most.
const QUEUE: usize = 24;

/// A request that a backend has run.
#[derive(Clone, Debug)]
pub struct Run {
    /// When its work began, and when it arrived.
    pub at: u64,
    pub arrived: u64,
    pub id: String,
}

/// A backend: answers requests and sends beats.
pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: &'static str,
    work: Duration,
    pub runs: Mutex<Vec<Run>>,
    /// How many requests are worked on at once; 0 for any number.
    slots: AtomicUsize,
    /// Requests at work, and requests that wait for a slot.
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
    calls: AtomicU64,
    beating: AtomicBool,
    ended: AtomicBool,
    record: Arc<Record>,
    controls: Vec<SocketAddr>,
}

impl Backend {
    /// Starts a backend on a free port of this address. It beats every 1.3 s.
    pub fn start(
        ip: &str, id: &str, service: &str, zone: &'static str, work: Duration, controls: Vec<SocketAddr>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let backend = Self::prepare(ip, id, service, zone, work, controls, record);
        backend.start_beating();
        backend
    }

    /// The same without beats.
    pub fn prepare(
        ip: &str, id: &str, service: &str, zone: &'static str, work: Duration, controls: Vec<SocketAddr>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("backend's socket");
        let backend = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("backend's address"),
            zone,
            work,
            runs: Mutex::default(),
            slots: AtomicUsize::new(0),
            busy: Mutex::default(),
            freed: Condvar::new(),
            calls: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            record,
            controls,
        });
        let accepting = backend.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(SeqCst) {
                    return;
                }
                let backend = accepting.clone();
                spawn(move || backend.serve(stream));
            }
        });
        backend
    }

    /// Beats every 1.3 s from now on.
    pub fn start_beating(self: &Arc<Self>) {
        let beats = self.clone();
        spawn(move || {
            let mut next = beats.calls.load(SeqCst) as usize;
            while !beats.ended.load(SeqCst) {
                if beats.beating.load(SeqCst) {
                    let (path, body) = beats.beat();
                    next = beats.call(&path, &body, next).unwrap_or(next);
                }
                sleep(Duration::from_millis(1300));
            }
        });
    }

    /// Path and body of the next beat.
    pub fn beat(&self) -> (String, String) {
        let count = self.calls.fetch_add(1, SeqCst) + 1;
        (format!("/Backends.Heartbeat/{}", self.id), self.beat_of(&self.service, count))
    }

    /// Body of a beat from this address.
    pub fn beat_of(&self, service: &str, count: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"summary\":{{\"target\":\"{service}\",\"generation\":\"v1\",\"zone\":\"{}\",\
             \"capacity\":6}},\"condition\":{{\"phase\":\"serving\",\"call_count\":{count},\"warmup_left_ms\":0}}}}",
            self.address, self.zone
        )
    }

    /// Makes a call at one control plane after another; returns the one that acknowledged it.
    pub fn call(&self, path: &str, body: &str, first: usize) -> Option<usize> {
        (first..first + self.controls.len()).map(|index| index % self.controls.len()).find(|index| {
            let answer = post(self.controls[*index], path, "", body, Duration::from_secs(1));
            answer.is_some_and(|answer| (200..300).contains(&answer.status))
        })
    }

    /// Sends the departure until it is acknowledged; beats end. Returns the time of the acknowledgement.
    pub fn depart(&self) -> Option<u64> {
        self.beating.store(false, SeqCst);
        self.calls.fetch_add(1, SeqCst);
        for first in 0..20 {
            if self.call(&format!("/Backends.Departure/{}", self.id), "{}", first).is_some() {
                self.record.line(format!("departure of {} acknowledged", self.id));
                return Some(self.record.now());
            }
            sleep(Duration::from_millis(200));
        }
        None
    }

    /// Sets how many requests are worked on at once; a few more wait.
    pub fn set_slots(&self, slots: usize) {
        self.slots.store(slots, SeqCst);
    }

    /// Waits for a slot; false if there is no room or the deadline passes meanwhile.
    fn take_slot(&self, left: Duration) -> bool {
        let (slots, until) = (self.slots.load(SeqCst), Instant::now() + left);
        let mut busy = self.busy.lock().unwrap();
        if slots > 0 && busy.0 >= slots && busy.1 >= QUEUE {
            return false;
        }
        busy.1 += 1;
        while slots > 0 && busy.0 >= slots {
            let wait = until.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                busy.1 -= 1;
                return false;
            }
            busy = self.freed.wait_timeout(busy, wait).unwrap().0;
        }
        *busy = (busy.0 + 1, busy.1 - 1);
        true
    }

    pub fn run_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    pub fn end(&self) {
        self.ended.store(true, SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if !read_body(&mut reader, &mut request).unwrap_or(false) || self.ended.load(SeqCst) {
                return;
            }
            let answer = self.answer(&request);
            if out.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request.header("x-target-instance").is_some_and(|target| target != self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.id
            )
            .into_bytes();
        }
        let path = request.first.split(' ').nth(1).unwrap_or("");
        let arrived = self.record.now();
        let left = request.header("x-deadline-left").and_then(|text| text.parse().ok()).unwrap_or(10_000);
        if !self.take_slot(Duration::from_millis(left)) {
            self.record.line(format!("backend {} turns {id} away", self.id));
            return format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        self.record.line(format!("backend {} runs {id} {path}", self.id));
        self.runs.lock().unwrap().push(Run { at: self.record.now(), arrived, id: id.clone() });
        // A path `/prefix/WORK_MS/BYTES` sets the time of the work and the length of the answer.
        let parts: Vec<u64> = request.first.split(['/', ' ']).filter_map(|part| part.parse().ok()).collect();
        let (work, length) = match parts[..] {
            [work, length, ..] => (Duration::from_millis(work), length as usize),
            _ => (self.work, 0),
        };
        sleep(work);
        self.busy.lock().unwrap().0 -= 1;
        self.freed.notify_one();
        let mut body = format!("done {id} at {}\n", self.id);
        body.push_str(&"x".repeat(length.saturating_sub(body.len())));
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }
}

/// Makes a call on the control socket.
pub fn post(to: SocketAddr, path: &str, headers: &str, body: &str, limit: Duration) -> Option<Message> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n{headers}Connection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    once(to, request.as_bytes(), limit)
}

/// The operator: sends a configuration until it is acknowledged, at one control plane after another.
pub fn replace(record: &Record, controls: &[SocketAddr], base: u64, version: u64, body: &str) -> Option<u64> {
    for attempt in 0..60 {
        let to = controls[attempt % controls.len()];
        let header = format!("X-Base-Version: {}\r\n", if base == 0 { "0".into() } else { format!("r{base}") });
        let answer = post(to, "/Config.Replace", &header, body, Duration::from_secs(2));
        match answer.map(|answer| answer.status) {
            Some(200) => {
                record.line(format!("configuration r{version} acknowledged by {to}"));
                return Some(record.now());
            }
            Some(status @ (400 | 409 | 412 | 413 | 422)) => {
                record.line(format!("configuration r{version} refused by {to}: {status}"));
                return None;
            }
            _ => sleep(Duration::from_millis(150)),
        }
    }
    None
}
