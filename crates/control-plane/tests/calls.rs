//! Orders as they come on the socket: the header that names their base, and how long they may be.

use control_plane::{Call, Change, Command, ENDPOINTS, Endpoint, Reply, serve};
use hyper::header::{HeaderMap, HeaderValue};
use protocol::LeaderCall;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use yare::parameterized;

fn replace() -> &'static Endpoint {
    ENDPOINTS.iter().find(|call| call.path == "/Config.Replace").expect("it is declared")
}

#[parameterized(
    written = { &["r12"], Ok(12) },
    bare = { &["0"], Ok(0) },
    with_spaces = { &[" r5 "], Ok(5) },
    left_out = { &[], Ok(0) },
    twice_the_same = { &["r5", "5"], Ok(5) },
    two_that_differ = { &["r5", "r6"], Err(400) },
    empty = { &[""], Err(400) },
    sign = { &["+5"], Err(400) },
    sign_behind_the_letter = { &["r+5"], Err(400) },
    two_letters = { &["rr5"], Err(400) },
    quoted = { &["\"r5\""], Err(400) },
    too_large = { &["r18446744073709551616"], Err(400) },
    no_text = { &["r\u{ff}"], Err(400) },
)]
fn the_base_of_an_order_is_read_or_the_order_is_not(values: &[&str], base: Result<u64, u16>) {
    let mut headers = HeaderMap::new();
    for value in values {
        let latin: Vec<u8> = value.chars().map(|letter| letter as u8).collect();
        headers.append("x-base-version", HeaderValue::from_bytes(&latin).expect("a value"));
    }
    let read = match (replace().parse)("", &headers, b"{}") {
        Ok(Call::Order(LeaderCall::Replace { base, .. })) => Ok(base),
        Ok(other) => panic!("{other:?}"),
        Err(reply) => Err(reply.status),
    };
    assert_eq!(read, base);
}

#[test]
fn the_longest_order_fits_into_the_log() {
    // Bytes that are all alike would be written shorter.
    let body = (0..replace().max_body_bytes).map(|at| at as u8).collect();
    let change = Change { base: u64::MAX - 1, version: u64::MAX, digest: [7; 32], body };
    let bytes = bitcode::encode(&change).len();
    assert!(bytes <= raft::MAX_CHANGE_BYTES, "{bytes} bytes");
}

/// Longer than an answer may take.
const SLOW_UPLOAD: Duration = Duration::from_millis(2_900);

/// A process that acknowledges each order and takes so many callers at a time.
async fn acknowledging_process(callers: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (commands, mut queue) = mpsc::channel(1);
    tokio::task::spawn_local(serve(listener, commands, callers));
    tokio::task::spawn_local(async move {
        while let Some(command) = queue.recv().await {
            let Command::Call { reply, .. } = command else { continue };
            // Whoever owns the tables has other things to do before.
            tokio::task::yield_now().await;
            drop(reply.send(Reply::ok()));
        }
    });
    address
}

/// An order of this length, of which the last byte is yet to be sent.
async fn begin_upload(address: SocketAddr, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "POST /Config.Replace HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(&vec![b' '; length - 1]).await.expect("sent");
    stream
}

/// Sends the last byte; gives the status.
async fn end_upload(mut stream: TcpStream, last: &[u8]) -> u16 {
    // Whoever was refused meanwhile has its answer already.
    let _ = stream.write_all(last).await;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
}

/// Sends an order in two parts, and gives the status of the answer.
async fn upload_in_two_parts() -> u16 {
    let stream = begin_upload(acknowledging_process(1).await, 2).await;
    tokio::time::sleep(SLOW_UPLOAD).await;
    end_upload(stream, b" ").await
}

/// Three orders of the longest kind are on their way; another one is asked to come again, and is taken when it does.
async fn four_large_orders() {
    let address = acknowledging_process(8).await;
    let longest = replace().max_body_bytes;
    let mut under_way = Vec::new();
    for _ in 0..3 {
        under_way.push(begin_upload(address, longest).await);
    }
    // Once all that was sent of them has been read, which takes its time on a busy machine.
    let mut tries = 0;
    while end_upload(begin_upload(address, SMALL_ORDER).await, b" ").await != 503 {
        tries += 1;
        assert!(tries < MOST_TRIES, "a fourth body is taken");
    }
    assert_eq!(depart(address).await, 200, "a backend that leaves waits for no order");
    for stream in under_way {
        assert_eq!(end_upload(stream, b" ").await, 200);
    }
    assert_eq!(end_upload(begin_upload(address, SMALL_ORDER).await, b" ").await, 200, "once more");
}

/// A backend says that it has departed; gives the status.
async fn depart(address: SocketAddr) -> u16 {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = "POST /Backends.Departure/i-1 HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: 100\r\n\r\n";
    let head = format!("{head}{{{}", " ".repeat(98));
    stream.write_all(head.as_bytes()).await.expect("sent");
    end_upload(stream, b"}").await
}

const MOST_TRIES: usize = 10_000;

/// Longer than what three of the longest orders leave, and short enough for the sockets between.
const SMALL_ORDER: usize = 64 * 1024;

#[test]
fn the_bodies_of_many_large_orders_are_bounded_together() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), four_large_orders());
}

#[test]
fn an_order_that_takes_long_to_come_is_answered_all_the_same() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let answer = tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), upload_in_two_parts());
    assert_eq!(answer, 200);
}

#[test]
fn ids_of_backends_are_bounded() {
    let departure =
        ENDPOINTS.iter().find(|call| call.path == "/Backends.Departure/").expect("it is declared");
    let status = |length: usize| {
        let read = (departure.parse)(&"i".repeat(length), &HeaderMap::new(), b"");
        read.map_err(|reply| reply.status).map(|call| matches!(call, Call::Departure(_)))
    };
    assert_eq!((status(256), status(257)), (Ok(true), Err(400)));
}
