//! Backends as the protocol describes them: they beat, check the instance that a request is meant for, run requests in
//! slots, and seal their answers.

use crate::fleet::{Fleet, ZONES};
use crate::http::{call, Conn};
use crate::record::Record;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What backends have run: id of the request, and when.
#[derive(Default)]
pub struct Runs(pub Mutex<HashMap<String, Vec<u64>>>);

pub struct Backend {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub capacity: usize,
    pub work: Duration,
    /// Length of the answer's body in bytes.
    pub answer: usize,
    beats: AtomicU64,
    at_work: AtomicUsize,
    over: AtomicBool,
}

impl Backend {
    pub fn start(
        fleet: &Fleet, n: usize, service: &'static str, capacity: usize, work: Duration, answer: usize,
        runs: &Arc<Runs>,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind((fleet.backend_ip(n), 8080)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let backend = Arc::new(Self {
            id: format!("i-{:04x}{n:02x}", std::process::id() & 0xffff),
            service,
            address,
            zone: ZONES[n % 3],
            capacity,
            work,
            answer,
            beats: AtomicU64::new(0),
            at_work: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        });
        let (server, runs, record) = (backend.clone(), runs.clone(), fleet.record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, runs, record) = (server.clone(), runs.clone(), record.clone());
                let serve = move || server.serve(Conn::new(stream), &runs, &record);
                let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(serve);
            }
        });
        let (beating, controls) = (backend.clone(), fleet.controls());
        std::thread::spawn(move || {
            let mut first = n;
            while !beating.over.load(Ordering::SeqCst) {
                let due = Instant::now() + Duration::from_millis(1300);
                beating.beat(&controls, first);
                first += 1;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
        Ok(backend)
    }

    /// Sends a beat to one process that serves control, and to the next one if that gives no acknowledgement.
    fn beat(&self, controls: &[SocketAddr], first: usize) -> bool {
        let Self { id, service, address, zone, capacity, .. } = self;
        for n in 0..controls.len() {
            let calls = self.beats.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                r#"{{"address":"{address}","summary":{{"target":"{service}","generation":"v1","zone":"{zone}","capacity":{capacity}}},"condition":{{"phase":"serving","call_count":{calls},"warmup_left_ms":0}}}}"#
            );
            let to = controls[(first + n) % controls.len()];
            let path = format!("/Backends.Heartbeat/{id}");
            let json = "Content-Type: application/json\r\n";
            if let Ok((200..=299, _)) = call(to, "POST", &path, json, body.as_bytes(), Duration::from_secs(1))
            {
                return true;
            }
        }
        false
    }

    fn serve(&self, mut conn: Conn, runs: &Runs, record: &Record) {
        loop {
            let by = Instant::now() + Duration::from_secs(10);
            let Ok(head) = conn.head(by) else { return };
            let Ok(_) = conn.body(&head, by) else { return };
            let id = head.get("x-attempt-id").unwrap_or("").to_owned();
            let refused = if head.get("x-target-instance").is_some_and(|target| target != self.id) {
                Some("421 Misdirected Request")
            } else if id.is_empty() {
                Some("400 Bad Request")
            } else if self.at_work.fetch_add(1, Ordering::SeqCst) >= self.capacity * 5 {
                self.at_work.fetch_sub(1, Ordering::SeqCst);
                Some("503 Service Unavailable")
            } else {
                None
            };
            if let Some(status) = refused {
                let answer = format!(
                    "HTTP/1.1 {status}\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if conn.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let at = record.now();
            runs.0.lock().unwrap().entry(id.clone()).or_default().push(at);
            record.line(format!("run {id} at {}", self.id));
            std::thread::sleep(self.work);
            self.at_work.fetch_sub(1, Ordering::SeqCst);
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: {}.{id}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
                self.id, self.answer
            )
            .into_bytes();
            answer.extend(body_of(&id, self.answer));
            if conn.write(&answer).is_err() {
                return;
            }
        }
    }
}

/// The body of the answer to a request.
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    format!("{id};").into_bytes().into_iter().cycle().take(length).collect()
}
