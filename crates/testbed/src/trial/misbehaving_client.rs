//! Misbehaving clients: they send slowly, disconnect, send invalid HTTP or attempt request smuggling.

use crate::backend::{request_body, request_path};
use crate::history::{Event, History};
use crate::plan::{HOST, KINDS, TENANTS};
use crate::random::{SeededRandom, mix};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Maximum duration of one connection.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(2);

/// Runs one misbehaving client until a deadline. Complete requests are recorded. Smuggled requests are not recorded, so
/// the judge reports a violation if a backend runs one.
pub async fn run_rude_client(
    number: u64, seed: u64, fronts: Arc<[SocketAddr]>, history: Arc<History>, until: Instant,
) {
    let mut random = SeededRandom::new(seed, 5000 + number);
    while Instant::now() < until {
        let front = fronts[random.below(fronts.len())];
        let behavior = random.below(5);
        let id = mix(seed ^ mix(number) ^ (random.unit() * 1e15) as u64);
        let connection = misbehave(behavior, id, front, &history, &mut random);
        let _ = timeout(MAX_CONNECTION_TIME.min(until.saturating_duration_since(Instant::now())), connection)
            .await;
        sleep(Duration::from_millis(20 + random.below(200) as u64)).await;
    }
}

fn head(method: &str, id: u64, more: &str) -> String {
    // Kind 3 is the effectful kind; tenant 2 is the third tenant.
    let path = request_path(KINDS[3].prefix, id);
    let key = TENANTS[2].key;
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id:016x}\r\nX-Deadline-Left: 1500\r\n\
         Authorization: Bearer {key}\r\n{more}\r\n"
    )
}

async fn misbehave(
    behavior: usize, id: u64, front: SocketAddr, history: &History, random: &mut SeededRandom,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(front).await?;
    let body = request_body(id);
    let length = format!("Content-Length: {}\r\n", body.len());
    match behavior {
        // Sends the head byte by byte and never completes the request.
        0 => {
            for byte in head("POST", id, &length).bytes() {
                stream.write_all(&[byte]).await?;
                sleep(Duration::from_millis(5)).await;
            }
        }
        // Sends a complete request and resets the connection before the answer.
        1 => {
            history.record(Event::Sent { id, kind: Some(3), tenant: Some(2), pure: false });
            stream.write_all(head("POST", id, &length).as_bytes()).await?;
            stream.write_all(&body).await?;
            sleep(Duration::from_millis(random.below(20) as u64)).await;
            stream.set_zero_linger()?;
        }
        // Sends a body that is shorter than its Content-Length.
        2 => {
            stream.write_all(head("POST", id, "Content-Length: 100000\r\n").as_bytes()).await?;
            stream.write_all(&body).await?;
        }
        // Sends random bytes instead of HTTP.
        3 => {
            let noise: Vec<u8> = (0..400).map(|_| random.below(256) as u8).collect();
            stream.write_all(&noise).await?;
            let mut answer = Vec::new();
            stream.take(10_000).read_to_end(&mut answer).await?;
        }
        // Sends both Content-Length and chunked encoding. The bytes after the last chunk must not run as a request.
        _ => {
            let hidden = head("POST", mix(id), &length);
            let mut chunks = format!("{:x}\r\n", body.len()).into_bytes();
            chunks.extend_from_slice(&body);
            chunks.extend_from_slice(b"\r\n0\r\n\r\n");
            let longer = chunks.len() + hidden.len() + body.len();
            let more = format!("Content-Length: {longer}\r\nTransfer-Encoding: chunked\r\n");
            history.record(Event::Sent { id, kind: Some(3), tenant: Some(2), pure: false });
            stream.write_all(head("POST", id, &more).as_bytes()).await?;
            stream.write_all(&chunks).await?;
            stream.write_all(hidden.as_bytes()).await?;
            stream.write_all(&body).await?;
            let mut answer = Vec::new();
            stream.take(10_000).read_to_end(&mut answer).await?;
        }
    }
    Ok(())
}
