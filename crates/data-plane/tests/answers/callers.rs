//! Clients that call by a seed, on kept connections and new ones, one request after the other or two at once.

use crate::helper::{Client, Heard};
use crate::history::{History, body_of};
use fault_injection::Random;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, yield_now};
use tokio::time::{sleep, timeout};

const CALLERS: u64 = 16;
/// Rounds of each; some have two requests.
const ROUNDS: u64 = 16;
/// Clients wait a little longer than they say.
const PATIENCE: Duration = Duration::from_millis(100);

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub effectful: bool,
    length: usize,
    left: Duration,
    chunked: bool,
}

impl Call {
    fn draw(id: String, random: &mut Random) -> Self {
        let length = if random.happens(0.05) { 300_000 } else { random.below(300) };
        let left = Duration::from_millis(40 + random.below(120) as u64);
        Self { id, effectful: random.happens(0.7), length, left, chunked: random.happens(0.2) }
    }

    pub fn path(&self) -> String {
        format!("/{}/{}", if self.effectful { 'e' } else { 'p' }, self.id)
    }

    pub fn body(&self) -> Vec<u8> {
        body_of(&self.id, self.length)
    }

    fn text(&self) -> String {
        let (id, left) = (&self.id, self.left.as_millis());
        let body = String::from_utf8(self.body()).expect("ids are text");
        let (framing, body) = if self.chunked && self.length > 0 {
            ("Transfer-Encoding: chunked".to_owned(), format!("{:x}\r\n{body}\r\n0\r\n\r\n", self.length))
        } else {
            (format!("Content-Length: {}", self.length), body)
        };
        format!(
            "POST {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Left: {left}\r\n\
             Authorization: Bearer k1\r\n{framing}\r\n\r\n{body}",
            self.path()
        )
    }
}

/// Has all callers call, each for itself.
pub async fn call_all(seed: u64, front: SocketAddr, history: &Rc<History>) {
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let random = Random::new(seed, "caller", number);
        callers.spawn_local(call(number, random, front, history.clone()));
    }
    while let Some(done) = callers.join_next().await {
        done.expect("a caller that ends");
    }
}

async fn call(number: u64, mut random: Random, front: SocketAddr, history: Rc<History>) {
    let mut client = None;
    for round in 0..ROUNDS {
        sleep(Duration::from_millis(random.below(20) as u64)).await;
        let together = if random.happens(0.1) { 2 } else { 1 };
        let calls: Vec<_> = (0..together)
            .map(|which| Call::draw(format!("{:08x}", (number << 16) + round * 16 + which + 1), &mut random))
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
            // It leaves before its answer.
            for _ in 0..random.below(60) {
                yield_now().await;
            }
            continue;
        }
        client = answers(&calls, connection, &history).await;
    }
}

/// Takes the answers, and gives the connection back if it can be used again.
async fn answers(calls: &[Call], mut connection: Client, history: &History) -> Option<Client> {
    for call in calls {
        let answer: Option<Heard> = timeout(call.left + PATIENCE, connection.hear()).await.ok().flatten();
        let kept = answer.as_ref().is_some_and(|a| a.whole && a.header("connection") != Some("close"));
        history.answered(&call.id, answer);
        if !kept {
            return None;
        }
    }
    Some(connection)
}
