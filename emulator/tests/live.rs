//! Tests of the live parts: the load generator is restricted to loopback addresses and its bounds and measures
//! latency from the scheduled time of each request; the stand-ins implement the protocol.

use fennelscale_lab::live::load::{Class, Load, LoadError};
use fennelscale_lab::live::stand_ins::{Backend, Counter, Discovery};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn load(to: &[&str]) -> Load {
    Load {
        to: to.iter().map(|at| at.parse().expect("valid address")).collect(),
        rate: 50.0,
        seconds: 1,
        classes: vec![Class { name: "reading".into(), safe: true, share: 1.0, deadline_ms: 1000 }],
        plans: vec!["basic".into()],
        customers: 3,
        spread: 0,
        skewed: false,
        seed: 7,
        watch: None,
    }
}

#[test]
fn load_is_restricted_to_loopback_and_bounds() {
    let error = load(&["127.0.0.1:1", "10.0.0.1:80"]).check().expect_err("an address is not loopback");
    assert_eq!(error.to_string(), "10.0.0.1:80 is no loopback address: no load is sent there");
    assert_eq!(load(&[]).check(), Err(LoadError::Missing("gateway")));
    let valid = load(&["127.0.0.1:1", "[::1]:2"]);
    assert_eq!(valid.check(), Ok(()));
    for (rate, seconds) in [(0.0, 1), (f64::NAN, 1), (5001.0, 1), (1.0, 0), (1.0, 601)] {
        assert!(Load { rate, seconds, ..valid.clone() }.check().is_err(), "{rate} {seconds}");
    }
    assert!(Load { customers: 0, ..valid.clone() }.check().is_err());
    assert!(Load { classes: Vec::new(), ..valid }.check().is_err());
}

/// Sends `text` on a new connection and reads until the received data contains `until`.
async fn exchange(at: SocketAddr, text: &str, until: &str) -> String {
    let mut stream = TcpStream::connect(at).await.expect("connect");
    stream.write_all(text.as_bytes()).await.expect("write");
    read_until(&mut stream, until).await
}

async fn read_until(stream: &mut TcpStream, until: &str) -> String {
    let mut received = Vec::new();
    let mut bytes = [0; 4096];
    while !String::from_utf8_lossy(&received).contains(until) {
        let count =
            timeout(TEST_TIMEOUT, stream.read(&mut bytes)).await.expect("no timeout").expect("read data");
        assert!(count > 0, "connection closed after: {}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&bytes[..count]);
    }
    String::from_utf8(received).expect("valid UTF-8")
}

#[tokio::test]
async fn backends_serve_decline_and_stop_answering() {
    let backend = Backend::start(1, "north", 4, None).await.expect("start");
    let request = "GET /reading HTTP/1.1\r\nHost: b\r\nReq-Id: abc\r\n\r\n";
    let served = exchange(backend.address, request, "abc by b1").await;
    assert!(served.starts_with("HTTP/1.1 200 OK"), "{served}");
    let without_id = exchange(backend.address, "GET /reading HTTP/1.1\r\nHost: b\r\n\r\n", "\r\n\r\n").await;
    assert!(without_id.starts_with("HTTP/1.1 404"), "{without_id}");
    backend.draining.store(true, Ordering::Relaxed);
    let declined = exchange(backend.address, request, "\r\n\r\n").await;
    assert!(declined.starts_with("HTTP/1.1 503") && declined.contains("srv-declined: 1"), "{declined}");
    backend.draining.store(false, Ordering::Relaxed);
    backend.silent.store(true, Ordering::Relaxed);
    let mut stream = TcpStream::connect(backend.address).await.expect("connect");
    stream.write_all(request.as_bytes()).await.expect("write");
    let nothing = timeout(Duration::from_millis(150), stream.read(&mut [0; 16])).await;
    assert!(nothing.is_err(), "the silent backend answered");
    assert_eq!(backend.served.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn discovery_answers_long_polls_when_the_list_changes() {
    let discovery = Discovery::start(vec![json!({"host": "b1"})], None).await.expect("start");
    let request = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n");
    let whole = exchange(discovery.address, &request("/discovery/hosts"), "true}").await;
    assert!(whole.contains("\"seq\":1") && whole.contains("\"b1\""), "{whole}");
    let idle = exchange(discovery.address, &request("/discovery/hosts?after=1&wait_ms=20"), "false}").await;
    assert!(idle.contains("\"whole\":false") && idle.contains("\"hosts\":[]"), "{idle}");
    let mut long_poll = TcpStream::connect(discovery.address).await.expect("connect");
    long_poll.write_all(request("/discovery/hosts?after=1&wait_ms=60000").as_bytes()).await.expect("write");
    discovery.change(vec![json!({"host": "b2"})]);
    let update = read_until(&mut long_poll, "true}").await;
    assert!(update.contains("\"seq\":2") && update.contains("\"b2\""), "{update}");
    let known: Value = discovery.known();
    assert_eq!((&known["seq"], &known["hosts"][0]["host"]), (&json!(2), &json!("b2")));
}

#[tokio::test]
async fn the_counter_adds_and_answers_in_order() {
    let counter = Counter::start(1, None).await.expect("start");
    let call = |name: &str, amount: &str| {
        format!(
            "*4\r\n$6\r\nADDGET\r\n${}\r\n{name}\r\n${}\r\n{amount}\r\n$4\r\n4000\r\n",
            name.len(),
            amount.len()
        )
    };
    let calls = [call("a", "2.5"), call("b", "1"), call("a", "-1"), "*1\r\n$4\r\nPING\r\n".into()].concat();
    // Send the calls in two pieces, split within the first call.
    let mut stream = TcpStream::connect(counter.address).await.expect("connect");
    let (first, rest) = calls.split_at(20);
    stream.write_all(first.as_bytes()).await.expect("write");
    tokio::task::yield_now().await;
    stream.write_all(rest.as_bytes()).await.expect("write");
    assert_eq!(read_until(&mut stream, "PONG\r\n").await, "$3\r\n2.5\r\n$1\r\n1\r\n$3\r\n1.5\r\n+PONG\r\n");
    assert_eq!(counter.calls.load(Ordering::Relaxed), 3);
    let odd = exchange(counter.address, "*2\r\n$3\r\nGET\r\n$1\r\na\r\n", "\r\n").await;
    assert!(odd.starts_with("-ERR"), "{odd}");
}

#[tokio::test(flavor = "multi_thread")]
async fn latency_includes_the_wait_during_a_gateway_stall() {
    // Serves one connection and one request at a time. Stalls for half a second on the first request.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let at = listener.local_addr().expect("valid address");
    tokio::spawn(async move {
        let begun = Instant::now();
        loop {
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let mut bytes = [0; 2048];
            if let Ok(1..) = stream.read(&mut bytes).await {
                if begun.elapsed() < Duration::from_millis(500) {
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
                let answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                // Ignore errors: the client may have closed the connection.
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    let due_count = AtomicU64::new(0);
    let load = Load { to: vec![at], ..load(&[]) };
    let count_due = || {
        due_count.fetch_add(1, Ordering::Relaxed);
    };
    let classes = timeout(TEST_TIMEOUT, load.run(count_due)).await.expect("no timeout");
    let (name, tally) = &classes.expect("valid load")[0];
    assert_eq!(name, "reading");
    assert_eq!(tally.total(), due_count.load(Ordering::Relaxed));
    assert!(tally.served > 10, "{tally:?}");
    // At least a quarter of the served requests were due during the stall and waited for 100 ms or more.
    let slow = tally.times.count_between(100_000, u64::MAX);
    assert!(slow * 4 >= tally.served, "{slow} of {}", tally.served);
}

#[tokio::test]
async fn a_gateway_that_cannot_be_reached_counts_as_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let at = listener.local_addr().expect("valid address");
    drop(listener);
    let load = Load { to: vec![at], ..load(&[]) };
    let classes = timeout(TEST_TIMEOUT, load.run(|| {})).await.expect("no timeout").expect("valid load");
    let tally = &classes[0].1;
    assert!(tally.unsent > 0 && tally.unsent == tally.total(), "{tally:?}");
}
