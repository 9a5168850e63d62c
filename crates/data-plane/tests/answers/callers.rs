//! Clients that send requests on new and reused connections, one at a time or two at once, determined by a seed.

use crate::helper::{Client, HttpMessage};
use crate::history::{History, body_for};
use fault_injection::Random;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, yield_now};
use tokio::time::{sleep, timeout};

const CALLERS: u64 = 16;
/// The number of rounds of each caller. Some rounds have two requests.
const ROUNDS: u64 = 16;
/// How much longer a client waits than its announced deadline.
const EXTRA_WAIT: Duration = Duration::from_millis(100);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub effectful: bool,
    length: usize,
    deadline: Duration,
    chunked: bool,
}

impl Call {
    fn new(id: String, random: &mut Random) -> Self {
        let length = if random.happens(0.05) { 300_000 } else { random.below(300) };
        let deadline = Duration::from_millis(40 + random.below(120) as u64);
        Self { id, effectful: random.happens(0.7), length, deadline, chunked: random.happens(0.2) }
    }

    pub fn path(&self) -> String {
        format!("/{}/{}", if self.effectful { 'e' } else { 'p' }, self.id)
    }

    pub fn body(&self) -> Vec<u8> {
        body_for(&self.id, self.length)
    }

    fn text(&self) -> String {
        let (id, deadline) = (&self.id, self.deadline.as_millis());
        let body = String::from_utf8(self.body()).expect("the id is UTF-8");
        let (framing, body) = if self.chunked && self.length > 0 {
            ("Transfer-Encoding: chunked".to_owned(), format!("{:x}\r\n{body}\r\n0\r\n\r\n", self.length))
        } else {
            (format!("Content-Length: {}", self.length), body)
        };
        format!(
            "POST {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Left: {deadline}\r\n\
             Authorization: Bearer k1\r\n{framing}\r\n\r\n{body}",
            self.path()
        )
    }
}

/// Runs all callers concurrently.
pub async fn run_callers(seed: u64, front: SocketAddr, history: &Rc<History>) {
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let random = Random::new(seed, "caller", number);
        callers.spawn_local(call(number, random, front, history.clone()));
    }
    while let Some(done) = callers.join_next().await {
        done.expect("the caller finishes");
    }
}

async fn call(number: u64, mut random: Random, front: SocketAddr, history: Rc<History>) {
    let mut client = None;
    for round in 0..ROUNDS {
        sleep(Duration::from_millis(random.below(20) as u64)).await;
        let count = if random.happens(0.1) { 2 } else { 1 };
        let calls: Vec<_> = (0..count)
            .map(|which| Call::new(format!("{:08x}", (number << 16) + round * 16 + which + 1), &mut random))
            .collect();
        let text: String = calls.iter().map(Call::text).collect();
        for call in &calls {
            history.calls.borrow_mut().insert(call.id.clone(), call.clone());
        }
        let mut connection = match client.take().filter(|_| random.happens(0.7)) {
            Some(connection) => connection,
            None => Client::connect(front).await,
        };
        if !connection.try_send(&text).await {
            continue;
        }
        if random.happens(0.08) {
            // The client disconnects before its answer arrives.
            for _ in 0..random.below(60) {
                yield_now().await;
            }
            continue;
        }
        client = answers(&calls, connection, &history).await;
    }
}

/// Receives the answers to `calls`, and returns the connection if it can be reused.
async fn answers(calls: &[Call], mut connection: Client, history: &History) -> Option<Client> {
    for call in calls {
        let answer: Option<HttpMessage> =
            timeout(call.deadline + EXTRA_WAIT, connection.receive()).await.ok().flatten();
        let kept = answer.as_ref().is_some_and(|a| a.whole && a.header("connection") != Some("close"));
        history.record_answer(&call.id, answer);
        if !kept {
            return None;
        }
    }
    Some(connection)
}
