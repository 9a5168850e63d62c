//! Clients: kept connections, an id of its own for each try.

use crate::backend::body_of;
use crate::http::Conn;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How a try ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A whole answer: its status, and whether a success was sealed with the right body.
    Answer(u16, bool),
    /// The whole request was sent, and the connection ended without a whole answer.
    Cut,
    /// The connection could not be opened, or the request not be sent whole.
    Unsent,
    /// The client's deadline passed.
    Deadline,
}

pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    pub answer: usize,
}

/// Sends a request on a kept connection, or on a new one.
pub fn send(kept: &mut Option<Conn>, to: SocketAddr, request: &Request<'_>) -> Outcome {
    let by = Instant::now() + request.deadline;
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => match Conn::connect(to, Duration::from_secs(1)) {
            Ok(conn) => conn,
            Err(_) => return Outcome::Unsent,
        },
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: meter.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Left: {}\r\nAuthorization: Bearer {}\r\nContent-Length: 0\r\n\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline.as_millis(),
        request.key
    );
    if conn.write(head.as_bytes()).is_err() {
        return Outcome::Unsent;
    }
    let answer = conn.head(by).and_then(|head| conn.body(&head, by).map(|body| (head, body)));
    match answer {
        Ok((head, body)) => {
            let good = head.get("x-server-seal").is_some() && body == body_of(request.id, request.answer);
            if !head.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
                *kept = Some(conn);
            }
            Outcome::Answer(head.status(), good)
        }
        Err(error) if error.kind() == io::ErrorKind::TimedOut => Outcome::Deadline,
        Err(_) => Outcome::Cut,
    }
}

/// Random numbers (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, below: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % below.max(1) as u64) as usize
    }
}
