//! Backends that misbehave by a seed.

use crate::helper::script::reset;
use crate::helper::{Heard, ScriptedBackend, hear_body, hear_head};
use crate::history::{History, Violation, body_of};
use fault_injection::Random;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The body of a long answer.
const LONG: usize = 150_000;

/// What a backend does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Good,
    Chunked,
    Slow,
    Long,
    Interim,
    OwnFailure,
    Full,
    FullEarly,
    FullBare,
    Misdirected,
    Last,
    GoodTwice,
    FullTwice,
    GoodThenLate,
    FullThenLate,
    WrongId,
    FullWithoutId,
    NoSeal,
    Encoded,
    TwoFramings,
    OldVersion,
    Switching,
    Garbage,
    Silent,
    SilentUnrun,
    Cut,
    ChunksCut,
    LongCut,
    ResetInHead,
    ResetAfterHead,
    ResetAfter,
    CloseAfter,
}

/// All that is odd, or no success.
const ODD: [Act; 28] = [
    Act::OwnFailure,
    Act::CloseAfter,
    Act::Full,
    Act::FullEarly,
    Act::FullBare,
    Act::Misdirected,
    Act::Last,
    Act::GoodTwice,
    Act::FullTwice,
    Act::GoodThenLate,
    Act::FullThenLate,
    Act::FullThenLate,
    Act::WrongId,
    Act::FullWithoutId,
    Act::NoSeal,
    Act::Encoded,
    Act::TwoFramings,
    Act::OldVersion,
    Act::Switching,
    Act::Garbage,
    Act::Silent,
    Act::SilentUnrun,
    Act::Cut,
    Act::ChunksCut,
    Act::LongCut,
    Act::ResetInHead,
    Act::ResetAfterHead,
    Act::ResetAfter,
];
const PROPER: [Act; 6] = [Act::Good, Act::Good, Act::Chunked, Act::Slow, Act::Long, Act::Interim];
/// How often something odd happens.
const OFTEN: f64 = 0.4;

/// What is to come of a connection.
enum Next {
    /// It may be used again.
    Kept,
    /// It must not.
    Odd,
    /// It is over.
    Over,
}

/// One backend.
pub struct Unruly {
    id: String,
    random: RefCell<Random>,
    history: Rc<History>,
    /// The request that came last, to any connection.
    last: RefCell<String>,
}

impl Unruly {
    pub async fn start(id: &str, random: Random, history: Rc<History>) -> ScriptedBackend {
        let unruly = Rc::new(Self {
            id: id.to_owned(),
            random: RefCell::new(random),
            history,
            last: RefCell::default(),
        });
        ScriptedBackend::on_streams(id, "one", move |stream, _| unruly.clone().serve(stream)).await
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let (mut odd, mut late, mut served) = (None, None, false);
        while stream.fill_buf().await.is_ok_and(|bytes| !bytes.is_empty()) {
            if let Some(act) = odd {
                self.history.found.borrow_mut().push(Violation::OddReused { act });
                return;
            }
            if served {
                self.history.reused.set(self.history.reused.get() + 1);
            }
            let act = self.draw();
            if let Some(late) = late.take() {
                // In the place of the next answer comes one more of the last.
                if !self.follows_late(&mut stream, late).await {
                    return;
                }
                odd = Some(Act::GoodThenLate);
                continue;
            }
            match self.act(act, &mut stream, &mut late).await {
                Next::Kept => served = true,
                Next::Odd => odd = Some(act),
                Next::Over => return,
            }
        }
    }

    fn draw(&self) -> Act {
        let mut random = self.random.borrow_mut();
        if random.happens(OFTEN) { *random.one_of(&ODD) } else { *random.one_of(&PROPER) }
    }

    async fn head(&self, stream: &mut BufReader<TcpStream>) -> Option<(Heard, String)> {
        let heard = hear_head(stream).await?;
        let id = heard.header("x-attempt-id").unwrap_or_default().to_owned();
        self.history.arrives(&id, &self.id);
        Some((heard, id))
    }

    async fn whole(&self, stream: &mut BufReader<TcpStream>) -> Option<(Heard, String)> {
        let (mut heard, id) = self.head(stream).await?;
        hear_body(stream, &mut heard).await;
        heard.whole.then_some((heard, id))
    }

    async fn follows_late(&self, stream: &mut BufReader<TcpStream>, late: String) -> bool {
        let Some((heard, id)) = self.whole(stream).await else { return false };
        let _ = stream.write_all(late.as_bytes()).await;
        self.history.runs(Act::Good, &id, &heard);
        stream.write_all(good(&id, 40, "").as_bytes()).await.is_ok()
    }

    async fn act(&self, act: Act, stream: &mut BufReader<TcpStream>, late: &mut Option<String>) -> Next {
        match act {
            Act::ResetInHead => {
                let _ = stream.read_exact(&mut [0; 10]).await;
                reset(stream.get_ref());
                return Next::Over;
            }
            Act::ResetAfterHead => {
                if let Some((heard, id)) = self.head(stream).await {
                    self.history.runs(act, &id, &heard);
                }
                reset(stream.get_ref());
                return Next::Over;
            }
            Act::FullEarly => {
                let Some((mut heard, id)) = self.head(stream).await else { return Next::Over };
                let _ = stream.write_all(full(&id).as_bytes()).await;
                hear_body(stream, &mut heard).await;
                return Next::Kept;
            }
            _ => {}
        }
        let Some((heard, id)) = self.whole(stream).await else { return Next::Over };
        let before = self.last.replace(id.clone());
        let unrun = matches!(
            act,
            Act::Full | Act::FullTwice | Act::FullThenLate | Act::Misdirected | Act::SilentUnrun
        );
        if !unrun {
            self.history.runs(act, &id, &heard);
        }
        if act == Act::Slow {
            sleep(Duration::from_millis(30)).await;
        }
        if matches!(act, Act::GoodThenLate | Act::FullThenLate) {
            *late = Some(if act == Act::GoodThenLate { good(&id, 40, "") } else { full(&id) });
        }
        let text = said(act, &id, &before);
        if stream.write_all(text.as_bytes()).await.is_err() {
            return Next::Over;
        }
        if act == Act::ResetAfter {
            reset(stream.get_ref());
        }
        after(act)
    }
}

/// What becomes of a connection on which this was said.
fn after(act: Act) -> Next {
    match act {
        Act::Good | Act::Chunked | Act::Slow | Act::Long | Act::Interim | Act::OwnFailure => Next::Kept,
        Act::Full | Act::FullEarly | Act::FullBare | Act::Misdirected => Next::Kept,
        Act::GoodThenLate | Act::FullThenLate => Next::Kept,
        Act::Cut | Act::ChunksCut | Act::LongCut | Act::ResetAfter | Act::CloseAfter => Next::Over,
        Act::ResetInHead | Act::ResetAfterHead => Next::Over,
        _ => Next::Odd,
    }
}

fn said(act: Act, id: &str, other: &str) -> String {
    let framed = |length: usize| good(id, length, "");
    match act {
        Act::Good | Act::Slow | Act::GoodThenLate => framed(40),
        Act::Long => framed(LONG),
        Act::Chunked => chunked(id),
        Act::Interim => {
            format!(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Attempt-Id: {other}\r\n\r\n{}",
                framed(40)
            )
        }
        Act::OwnFailure => format!("HTTP/1.1 500 Oh\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"),
        Act::Full | Act::FullEarly | Act::FullThenLate => full(id),
        Act::FullBare => full(id).replace("X-Not-Executed: 1\r\n", ""),
        Act::Misdirected => {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n"
            )
        }
        Act::Last => good(id, 40, "Connection: close\r\n"),
        Act::GoodTwice => framed(40) + &framed(40),
        Act::FullTwice => full(id) + &full(id),
        // The last one may have been this request as well, on another connection.
        Act::WrongId => good(if other.is_empty() || other == id { "0000" } else { other }, 40, ""),
        Act::FullWithoutId => full(id).replace(&format!("X-Attempt-Id: {id}\r\n"), ""),
        Act::NoSeal => framed(40).replace("X-Server-Seal", "X-Seal"),
        Act::Encoded => good(id, 40, "Content-Encoding: gzip\r\n"),
        Act::TwoFramings => chunked(id).replace("\r\n\r\n28", "\r\nContent-Length: 40\r\n\r\n28"),
        Act::OldVersion => good(id, 40, "Connection: keep-alive\r\n").replace("HTTP/1.1", "HTTP/1.0"),
        Act::Switching => {
            format!("HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: {id}\r\nUpgrade: x\r\n\r\n")
        }
        Act::Garbage => "this is no answer\r\n\r\n".to_owned(),
        Act::Cut => framed(40)[..framed(40).len() - 7].to_owned(),
        Act::ChunksCut => chunked(id).replace("0\r\n\r\n", ""),
        Act::LongCut => framed(LONG)[..LONG / 2].to_owned(),
        Act::Silent | Act::SilentUnrun | Act::ResetInHead | Act::ResetAfterHead => String::new(),
        Act::ResetAfter | Act::CloseAfter => String::new(),
    }
}

fn good(id: &str, length: usize, more: &str) -> String {
    let body = String::from_utf8(body_of(id, length)).expect("ids are text");
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s-{id}\r\nX-Length: {length}\r\n{more}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn chunked(id: &str) -> String {
    let body = String::from_utf8(body_of(id, 40)).expect("ids are text");
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s-{id}\r\nX-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n{body}\r\n0\r\n\r\n"
    )
}

fn full(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}
