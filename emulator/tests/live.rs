//! The load keeps to loopback and to its bounds, times requests from when they were due, and the stand-ins speak
//! by the protocol.

use fennelscale_lab::live::load::{Class, Load, LoadError};
use fennelscale_lab::live::stand_ins::{Backend, Counter, Discovery};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(60);

fn load(to: &[&str]) -> Load {
    Load {
        to: to.iter().map(|at| at.parse().expect("an address")).collect(),
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
fn load_goes_to_loopback_only_and_within_bounds() {
    let refused = load(&["127.0.0.1:1", "10.0.0.1:80"]).check().expect_err("not loopback");
    assert_eq!(refused.to_string(), "10.0.0.1:80 is no loopback address: no load is sent there");
    assert_eq!(load(&[]).check(), Err(LoadError::Missing("gateway")));
    let sound = load(&["127.0.0.1:1", "[::1]:2"]);
    assert_eq!(sound.check(), Ok(()));
    for (rate, seconds) in [(0.0, 1), (f64::NAN, 1), (5001.0, 1), (1.0, 0), (1.0, 601)] {
        assert!(Load { rate, seconds, ..sound.clone() }.check().is_err(), "{rate} {seconds}");
    }
    assert!(Load { customers: 0, ..sound.clone() }.check().is_err());
    assert!(Load { classes: Vec::new(), ..sound }.check().is_err());
}

/// Sends what a client or gateway would, and reads until what came contains a text.
async fn say(at: SocketAddr, text: &str, until: &str) -> String {
    let mut stream = TcpStream::connect(at).await.expect("connected");
    stream.write_all(text.as_bytes()).await.expect("written");
    heard(&mut stream, until).await
}

async fn heard(stream: &mut TcpStream, until: &str) -> String {
    let mut held = Vec::new();
    let mut bytes = [0; 4096];
    while !String::from_utf8_lossy(&held).contains(until) {
        let count = timeout(LONG, stream.read(&mut bytes)).await.expect("in time").expect("read");
        assert!(count > 0, "ended: {}", String::from_utf8_lossy(&held));
        held.extend_from_slice(&bytes[..count]);
    }
    String::from_utf8(held).expect("text")
}

#[tokio::test]
async fn backends_serve_decline_and_fall_silent() {
    let backend = Backend::start(1, "north", 4, None).await.expect("started");
    let request = "GET /reading HTTP/1.1\r\nHost: b\r\nReq-Id: abc\r\n\r\n";
    let served = say(backend.address, request, "abc by b1").await;
    assert!(served.starts_with("HTTP/1.1 200 OK"), "{served}");
    let nameless = say(backend.address, "GET /reading HTTP/1.1\r\nHost: b\r\n\r\n", "\r\n\r\n").await;
    assert!(nameless.starts_with("HTTP/1.1 404"), "{nameless}");
    backend.draining.store(true, Ordering::Relaxed);
    let declined = say(backend.address, request, "\r\n\r\n").await;
    assert!(declined.starts_with("HTTP/1.1 503") && declined.contains("srv-declined: 1"), "{declined}");
    backend.draining.store(false, Ordering::Relaxed);
    backend.silent.store(true, Ordering::Relaxed);
    let mut stream = TcpStream::connect(backend.address).await.expect("connected");
    stream.write_all(request.as_bytes()).await.expect("written");
    let nothing = timeout(Duration::from_millis(150), stream.read(&mut [0; 16])).await;
    assert!(nothing.is_err(), "it said something");
    assert_eq!(backend.served.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn discovery_answers_watches_when_the_list_changes() {
    let discovery = Discovery::start(vec![json!({"host": "b1"})], None).await.expect("started");
    let ask = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n");
    let whole = say(discovery.address, &ask("/discovery/hosts"), "true}").await;
    assert!(whole.contains("\"seq\":1") && whole.contains("\"b1\""), "{whole}");
    let idle = say(discovery.address, &ask("/discovery/hosts?after=1&wait_ms=20"), "false}").await;
    assert!(idle.contains("\"whole\":false") && idle.contains("\"hosts\":[]"), "{idle}");
    let mut watch = TcpStream::connect(discovery.address).await.expect("connected");
    watch.write_all(ask("/discovery/hosts?after=1&wait_ms=60000").as_bytes()).await.expect("written");
    discovery.change(vec![json!({"host": "b2"})]);
    let told = heard(&mut watch, "true}").await;
    assert!(told.contains("\"seq\":2") && told.contains("\"b2\""), "{told}");
    let known: Value = discovery.known();
    assert_eq!((&known["seq"], &known["hosts"][0]["host"]), (&json!(2), &json!("b2")));
}

#[tokio::test]
async fn the_counter_adds_and_answers_in_order() {
    let counter = Counter::start(1, None).await.expect("started");
    let call = |name: &str, amount: &str| {
        format!(
            "*4\r\n$6\r\nADDGET\r\n${}\r\n{name}\r\n${}\r\n{amount}\r\n$4\r\n4000\r\n",
            name.len(),
            amount.len()
        )
    };
    let calls = [call("a", "2.5"), call("b", "1"), call("a", "-1"), "*1\r\n$4\r\nPING\r\n".into()].concat();
    // In two parts, cut in the midst of a call.
    let mut stream = TcpStream::connect(counter.address).await.expect("connected");
    let (first, rest) = calls.split_at(20);
    stream.write_all(first.as_bytes()).await.expect("written");
    tokio::task::yield_now().await;
    stream.write_all(rest.as_bytes()).await.expect("written");
    assert_eq!(heard(&mut stream, "PONG\r\n").await, "$3\r\n2.5\r\n$1\r\n1\r\n$3\r\n1.5\r\n+PONG\r\n");
    assert_eq!(counter.calls.load(Ordering::Relaxed), 3);
    let odd = say(counter.address, "*2\r\n$3\r\nGET\r\n$1\r\na\r\n", "\r\n").await;
    assert!(odd.starts_with("-ERR"), "{odd}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stall_shows_in_the_times_of_all_that_were_due_in_it() {
    // Serves one request after the other, on one connection at a time: the first takes half a second.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let begun = Instant::now();
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut bytes = [0; 2048];
            if let Ok(1..) = stream.read(&mut bytes).await {
                if begun.elapsed() < Duration::from_millis(500) {
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
                let answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                // A client that has left by now is no fault of this one.
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    let told = AtomicU64::new(0);
    let load = Load { to: vec![at], ..load(&[]) };
    let counted = || {
        told.fetch_add(1, Ordering::Relaxed);
    };
    let classes = timeout(LONG, load.run(counted)).await.expect("in time");
    let (name, tally) = &classes.expect("made")[0];
    assert_eq!(name, "reading");
    assert_eq!(tally.total(), told.load(Ordering::Relaxed));
    assert!(tally.served > 10, "{tally:?}");
    // A quarter of the requests at least was due while it stalled, and waited for a tenth of a second or more.
    let slow = tally.times.count_between(100_000, u64::MAX);
    assert!(slow * 4 >= tally.served, "{slow} of {}", tally.served);
}

#[tokio::test]
async fn a_gateway_that_cannot_be_reached_counts_as_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    drop(listener);
    let load = Load { to: vec![at], ..load(&[]) };
    let classes = timeout(LONG, load.run(|| {})).await.expect("in time").expect("made");
    let tally = &classes[0].1;
    assert!(tally.unsent > 0 && tally.unsent == tally.total(), "{tally:?}");
}
