//! Orders on the control socket: the header with their base version, and the limits of their bodies.

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
    ENDPOINTS.iter().find(|endpoint| endpoint.path == "/Config.Replace").expect("the endpoint exists")
}

#[parameterized(
    with_letter = { &["r12"], Ok(12) },
    without_letter = { &["0"], Ok(0) },
    with_spaces = { &[" r5 "], Ok(5) },
    missing = { &[], Ok(0) },
    twice_the_same = { &["r5", "5"], Ok(5) },
    two_different = { &["r5", "r6"], Err(400) },
    empty = { &[""], Err(400) },
    plus_sign = { &["+5"], Err(400) },
    plus_sign_after_letter = { &["r+5"], Err(400) },
    two_letters = { &["rr5"], Err(400) },
    quoted = { &["\"r5\""], Err(400) },
    too_large = { &["r18446744073709551616"], Err(400) },
    not_ascii = { &["r\u{ff}"], Err(400) },
)]
fn the_base_version_of_an_order_is_valid_or_the_order_is_refused(values: &[&str], base: Result<u64, u16>) {
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
fn an_order_of_maximum_length_fits_into_a_log_entry() {
    // Distinct bytes, since repeated ones would be compressed.
    let body = (0..replace().max_body_bytes).map(|at| at as u8).collect();
    let change = Change { base: u64::MAX - 1, version: u64::MAX, digest: [7; 32], body };
    let bytes = bitcode::encode(&change).len();
    assert!(bytes <= raft::MAX_CHANGE_BYTES, "{bytes} bytes");
}

/// Duration of an upload that is longer than the response timeout, which starts only after the body.
const SLOW_UPLOAD: Duration = Duration::from_millis(2_900);

/// Starts a process that acknowledges every order and accepts this many connections.
async fn acknowledging_process(max_connections: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (commands, mut queue) = mpsc::channel(1);
    tokio::task::spawn_local(serve(listener, commands, max_connections));
    tokio::task::spawn_local(async move {
        while let Some(command) = queue.recv().await {
            let Command::Call { reply, .. } = command else { continue };
            // The event loop may be busy with other commands first.
            tokio::task::yield_now().await;
            drop(reply.send(Reply::ok()));
        }
    });
    address
}

/// Starts an order of this length and withholds its last byte.
async fn begin_upload(address: SocketAddr, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "POST /Config.Replace HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("cannot write to the stream");
    stream.write_all(&vec![b' '; length - 1]).await.expect("cannot write to the stream");
    stream
}

/// Sends the last byte and returns the status.
async fn end_upload(mut stream: TcpStream, last: &[u8]) -> u16 {
    // If the order was refused meanwhile, the response has arrived already.
    let _ = stream.write_all(last).await;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
}

/// Sends an order in two parts and returns the status.
async fn upload_in_two_parts() -> u16 {
    let stream = begin_upload(acknowledging_process(1).await, 2).await;
    tokio::time::sleep(SLOW_UPLOAD).await;
    end_upload(stream, b" ").await
}

/// While three orders of maximum length are being read, another order is refused with 503; it is accepted afterwards.
async fn upload_four_large_orders() {
    let address = acknowledging_process(8).await;
    let max_bytes = replace().max_body_bytes;
    let mut uploads = Vec::new();
    for _ in 0..3 {
        uploads.push(begin_upload(address, max_bytes).await);
    }
    // The refusal begins once all sent bytes have been read, which takes time on a busy machine.
    let mut attempts = 0;
    while end_upload(begin_upload(address, SMALL_ORDER).await, b" ").await != 503 {
        attempts += 1;
        assert!(attempts < MAX_ATTEMPTS, "a fourth body is accepted");
    }
    assert_eq!(depart(address).await, 200, "the drain of a backend does not wait for orders");
    for stream in uploads {
        assert_eq!(end_upload(stream, b" ").await, 200);
    }
    assert_eq!(
        end_upload(begin_upload(address, SMALL_ORDER).await, b" ").await,
        200,
        "after the large orders"
    );
}

/// Reports the departure of a backend and returns the status.
async fn depart(address: SocketAddr) -> u16 {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = "POST /Backends.Departure/i-1 HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: 100\r\n\r\n";
    let head = format!("{head}{{{}", " ".repeat(98));
    stream.write_all(head.as_bytes()).await.expect("cannot write to the stream");
    end_upload(stream, b"}").await
}

const MAX_ATTEMPTS: usize = 10_000;

/// Size in bytes of an order that no longer fits into the body budget while three orders of maximum length are being
/// read, but fits into the socket buffers.
const SMALL_ORDER: usize = 64 * 1024;

#[test]
fn the_total_size_of_large_bodies_is_bounded() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), upload_four_large_orders());
}

#[test]
fn a_slow_upload_is_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let answer = tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), upload_in_two_parts());
    assert_eq!(answer, 200);
}

#[test]
fn backend_ids_are_bounded() {
    let departure = ENDPOINTS
        .iter()
        .find(|endpoint| endpoint.path == "/Backends.Departure/")
        .expect("the endpoint exists");
    let status = |length: usize| {
        let read = (departure.parse)(&"i".repeat(length), &HeaderMap::new(), b"");
        read.map_err(|reply| reply.status).map(|call| matches!(call, Call::Departure(_)))
    };
    assert_eq!((status(256), status(257)), (Ok(true), Err(400)));
}
