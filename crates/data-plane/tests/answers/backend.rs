//! Backends that misbehave at random, determined by a seed.

use crate::helper::script::reset;
use crate::helper::{HttpMessage, ScriptedBackend, read_body, read_head};
use crate::history::{History, Violation, body_for};
use fault_injection::Random;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The length of the body of a long answer, in bytes.
const LONG_BODY: usize = 150_000;

/// The behavior of a backend towards one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Success,
    Chunked,
    Slow,
    Long,
    Interim,
    Failure,
    Full,
    FullEarly,
    Plain503,
    Misdirected,
    ConnectionClose,
    SuccessTwice,
    FullTwice,
    SuccessThenLate,
    FullThenLate,
    WrongId,
    FullWithoutId,
    NoSeal,
    Encoded,
    TwoFramings,
    Http10,
    Switching,
    Garbage,
    Silent,
    SilentNotRun,
    Truncated,
    TruncatedChunks,
    TruncatedLong,
    ResetInRequestHead,
    ResetAfterRequestHead,
    ResetAfterRequest,
    CloseAfterRequest,
}

/// Faulty behaviors, and valid ones that report a failure.
const FAULTY: [Behavior; 28] = [
    Behavior::Failure,
    Behavior::CloseAfterRequest,
    Behavior::Full,
    Behavior::FullEarly,
    Behavior::Plain503,
    Behavior::Misdirected,
    Behavior::ConnectionClose,
    Behavior::SuccessTwice,
    Behavior::FullTwice,
    Behavior::SuccessThenLate,
    Behavior::FullThenLate,
    Behavior::FullThenLate,
    Behavior::WrongId,
    Behavior::FullWithoutId,
    Behavior::NoSeal,
    Behavior::Encoded,
    Behavior::TwoFramings,
    Behavior::Http10,
    Behavior::Switching,
    Behavior::Garbage,
    Behavior::Silent,
    Behavior::SilentNotRun,
    Behavior::Truncated,
    Behavior::TruncatedChunks,
    Behavior::TruncatedLong,
    Behavior::ResetInRequestHead,
    Behavior::ResetAfterRequestHead,
    Behavior::ResetAfterRequest,
];
const VALID: [Behavior; 6] = [
    Behavior::Success,
    Behavior::Success,
    Behavior::Chunked,
    Behavior::Slow,
    Behavior::Long,
    Behavior::Interim,
];
/// The probability of a behavior from [`FAULTY`].
const FAULT_PROBABILITY: f64 = 0.4;

/// The state of a connection after an exchange.
enum ConnectionState {
    /// The connection may be reused.
    Reusable,
    /// The connection must not be reused.
    Invalid,
    /// The backend has closed the connection, or will.
    Closed,
}

/// A backend that misbehaves.
pub struct FaultyBackend {
    id: String,
    random: RefCell<Random>,
    history: Rc<History>,
    /// The id of the last request on any connection of the backend.
    last: RefCell<String>,
}

impl FaultyBackend {
    pub async fn start(id: &str, random: Random, history: Rc<History>) -> ScriptedBackend {
        let faulty_backend = Rc::new(Self {
            id: id.to_owned(),
            random: RefCell::new(random),
            history,
            last: RefCell::default(),
        });
        ScriptedBackend::on_streams(id, "one", move |stream, _| faulty_backend.clone().serve(stream)).await
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let (mut invalid_after, mut late, mut served) = (None, None, false);
        while stream.fill_buf().await.is_ok_and(|bytes| !bytes.is_empty()) {
            if let Some(behavior) = invalid_after {
                self.history.violations.borrow_mut().push(Violation::InvalidConnectionReused { behavior });
                return;
            }
            if served {
                self.history.reused.set(self.history.reused.get() + 1);
            }
            let behavior = self.pick_behavior();
            if let Some(late) = late.take() {
                // A second answer to the previous request comes before the answer to this request.
                if !self.respond_after_late_answer(&mut stream, late).await {
                    return;
                }
                invalid_after = Some(Behavior::SuccessThenLate);
                continue;
            }
            match self.respond(behavior, &mut stream, &mut late).await {
                ConnectionState::Reusable => served = true,
                ConnectionState::Invalid => invalid_after = Some(behavior),
                ConnectionState::Closed => return,
            }
        }
    }

    fn pick_behavior(&self) -> Behavior {
        let mut random = self.random.borrow_mut();
        if random.happens(FAULT_PROBABILITY) { *random.one_of(&FAULTY) } else { *random.one_of(&VALID) }
    }

    async fn request_head(&self, stream: &mut BufReader<TcpStream>) -> Option<(HttpMessage, String)> {
        let request = read_head(stream).await?;
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        self.history.record_arrival(&id, &self.id);
        Some((request, id))
    }

    async fn whole_request(&self, stream: &mut BufReader<TcpStream>) -> Option<(HttpMessage, String)> {
        let (mut request, id) = self.request_head(stream).await?;
        read_body(stream, &mut request).await;
        request.whole.then_some((request, id))
    }

    async fn respond_after_late_answer(&self, stream: &mut BufReader<TcpStream>, late: String) -> bool {
        let Some((request, id)) = self.whole_request(stream).await else { return false };
        let _ = stream.write_all(late.as_bytes()).await;
        self.history.record_run(Behavior::Success, &id, &request);
        stream.write_all(success(&id, 40, "").as_bytes()).await.is_ok()
    }

    async fn respond(
        &self, behavior: Behavior, stream: &mut BufReader<TcpStream>, late: &mut Option<String>,
    ) -> ConnectionState {
        match behavior {
            Behavior::ResetInRequestHead => {
                let _ = stream.read_exact(&mut [0; 10]).await;
                reset(stream.get_ref());
                return ConnectionState::Closed;
            }
            Behavior::ResetAfterRequestHead => {
                if let Some((request, id)) = self.request_head(stream).await {
                    self.history.record_run(behavior, &id, &request);
                }
                reset(stream.get_ref());
                return ConnectionState::Closed;
            }
            Behavior::FullEarly => {
                let Some((mut request, id)) = self.request_head(stream).await else {
                    return ConnectionState::Closed;
                };
                let _ = stream.write_all(full(&id).as_bytes()).await;
                read_body(stream, &mut request).await;
                return ConnectionState::Reusable;
            }
            _ => {}
        }
        let Some((request, id)) = self.whole_request(stream).await else {
            return ConnectionState::Closed;
        };
        let previous = self.last.replace(id.clone());
        let not_run = matches!(
            behavior,
            Behavior::Full
                | Behavior::FullTwice
                | Behavior::FullThenLate
                | Behavior::Misdirected
                | Behavior::SilentNotRun
        );
        if !not_run {
            self.history.record_run(behavior, &id, &request);
        }
        if behavior == Behavior::Slow {
            sleep(Duration::from_millis(30)).await;
        }
        if matches!(behavior, Behavior::SuccessThenLate | Behavior::FullThenLate) {
            *late =
                Some(if behavior == Behavior::SuccessThenLate { success(&id, 40, "") } else { full(&id) });
        }
        let text = response_text(behavior, &id, &previous);
        if stream.write_all(text.as_bytes()).await.is_err() {
            return ConnectionState::Closed;
        }
        if behavior == Behavior::ResetAfterRequest {
            reset(stream.get_ref());
        }
        state_after(behavior)
    }
}

/// The state of a connection after this behavior.
fn state_after(behavior: Behavior) -> ConnectionState {
    match behavior {
        Behavior::Success
        | Behavior::Chunked
        | Behavior::Slow
        | Behavior::Long
        | Behavior::Interim
        | Behavior::Failure => ConnectionState::Reusable,
        Behavior::Full | Behavior::FullEarly | Behavior::Plain503 | Behavior::Misdirected => {
            ConnectionState::Reusable
        }
        Behavior::SuccessThenLate | Behavior::FullThenLate => ConnectionState::Reusable,
        Behavior::Truncated
        | Behavior::TruncatedChunks
        | Behavior::TruncatedLong
        | Behavior::ResetAfterRequest
        | Behavior::CloseAfterRequest => ConnectionState::Closed,
        Behavior::ResetInRequestHead | Behavior::ResetAfterRequestHead => ConnectionState::Closed,
        _ => ConnectionState::Invalid,
    }
}

fn response_text(behavior: Behavior, id: &str, previous_id: &str) -> String {
    let with_length = |length: usize| success(id, length, "");
    match behavior {
        Behavior::Success | Behavior::Slow | Behavior::SuccessThenLate => with_length(40),
        Behavior::Long => with_length(LONG_BODY),
        Behavior::Chunked => chunked(id),
        Behavior::Interim => {
            format!(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Attempt-Id: {previous_id}\r\n\r\n{}",
                with_length(40)
            )
        }
        Behavior::Failure => format!("HTTP/1.1 500 Oh\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"),
        Behavior::Full | Behavior::FullEarly | Behavior::FullThenLate => full(id),
        Behavior::Plain503 => full(id).replace("X-Not-Executed: 1\r\n", ""),
        Behavior::Misdirected => {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n"
            )
        }
        Behavior::ConnectionClose => success(id, 40, "Connection: close\r\n"),
        Behavior::SuccessTwice => with_length(40) + &with_length(40),
        Behavior::FullTwice => full(id) + &full(id),
        // On another connection, the last request may have had the same id.
        Behavior::WrongId => {
            success(if previous_id.is_empty() || previous_id == id { "0000" } else { previous_id }, 40, "")
        }
        Behavior::FullWithoutId => full(id).replace(&format!("X-Attempt-Id: {id}\r\n"), ""),
        Behavior::NoSeal => with_length(40).replace("X-Server-Seal", "X-Seal"),
        Behavior::Encoded => success(id, 40, "Content-Encoding: gzip\r\n"),
        Behavior::TwoFramings => chunked(id).replace("\r\n\r\n28", "\r\nContent-Length: 40\r\n\r\n28"),
        Behavior::Http10 => success(id, 40, "Connection: keep-alive\r\n").replace("HTTP/1.1", "HTTP/1.0"),
        Behavior::Switching => {
            format!("HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: {id}\r\nUpgrade: x\r\n\r\n")
        }
        Behavior::Garbage => "this is no answer\r\n\r\n".to_owned(),
        Behavior::Truncated => with_length(40)[..with_length(40).len() - 7].to_owned(),
        Behavior::TruncatedChunks => chunked(id).replace("0\r\n\r\n", ""),
        Behavior::TruncatedLong => with_length(LONG_BODY)[..LONG_BODY / 2].to_owned(),
        Behavior::Silent
        | Behavior::SilentNotRun
        | Behavior::ResetInRequestHead
        | Behavior::ResetAfterRequestHead => String::new(),
        Behavior::ResetAfterRequest | Behavior::CloseAfterRequest => String::new(),
    }
}

fn success(id: &str, length: usize, extra: &str) -> String {
    let body = String::from_utf8(body_for(id, length)).expect("the id is UTF-8");
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s-{id}\r\nX-Length: {length}\r\n{extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn chunked(id: &str) -> String {
    let body = String::from_utf8(body_for(id, 40)).expect("the id is UTF-8");
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s-{id}\r\nX-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n{body}\r\n0\r\n\r\n"
    )
}

fn full(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}
