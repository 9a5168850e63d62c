//! Long bodies and slow peers: streaming, backpressure, truncation and how each side notices.

mod helper;

use helper::{
    Action, Backend, Client, CounterMode, Setup, TestEnv, host_entry, ok, request, sleep_ms, wait_until,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

const MIB: usize = 1 << 20;
const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

/// Bytes that vary with their position.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i / 7 + i / 4096) as u8).collect()
}

/// A gateway with one backend whose connections the test handles itself.
async fn manual_backend() -> (TcpListener, TestEnv) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let at = listener.local_addr().expect("address");
    (
        listener,
        TestEnv::start(&Setup::with_backends(&[host_entry("b", at, "in_service")]), CounterMode::Normal)
            .await,
    )
}

async fn accept(listener: &TcpListener) -> BufReader<TcpStream> {
    let accepted = helper::wait_for("connection", listener.accept()).await;
    BufReader::new(accepted.expect("connection").0)
}

/// Reads a head and leaves the body in the stream.
async fn read_head(stream: &mut BufReader<TcpStream>) -> Vec<String> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        assert!(
            helper::wait_for("line", stream.read_line(&mut line)).await.expect("line") > 0,
            "unexpected end"
        );
        if line.trim_end().is_empty() {
            return lines;
        }
        lines.push(line.trim_end().to_ascii_lowercase());
    }
}

fn chunked(body: &[u8], chunk_size: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for chunk in body.chunks(chunk_size) {
        text.extend_from_slice(format!("{:x};why=not\r\n", chunk.len()).as_bytes());
        text.extend_from_slice(chunk);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
    text
}

async fn unchunk(stream: &mut BufReader<TcpStream>) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.expect("chunk");
        let length = usize::from_str_radix(line.trim_end(), 16).expect("chunk length");
        let mut chunk = vec![0; length + 2];
        stream.read_exact(&mut chunk).await.expect("chunk");
        if length == 0 {
            return body;
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_body_is_forwarded_with_content_length_or_in_chunks() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let body =
        String::from_utf8(pattern(5 * MIB).iter().map(|b| b'a' + b % 26).collect()).expect("UTF-8 text");
    let mut client = env.gateway.client().await;
    for _ in 0..2 {
        let reply = client.exchange(&request("order", 900, "", &body)).await;
        assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"x"[..]));
    }
    let received = backend.received.lock().expect("lock").clone();
    assert!(received.len() == 2 && received.iter().all(|h| h.body == body.as_bytes()));
    assert_eq!(backend.opened(), 1, "the connections are reused on both sides");

    let (listener, env) = manual_backend().await;
    let mut client = env.gateway.client().await;
    let start =
        request("order", 900, "Transfer-Encoding: chunked\r\n", "").replace("Content-Length: 0\r\n", "");
    let sent = [start.as_bytes(), &chunked(body.as_bytes(), 3000)].concat();
    let sending = tokio::spawn(async move {
        client.0.write_all(&sent).await.expect("write");
        client.read().await
    });
    let mut stream = accept(&listener).await;
    assert!(read_head(&mut stream).await.contains(&"transfer-encoding: chunked".to_owned()));
    assert!(unchunk(&mut stream).await == body.as_bytes());
    stream.write_all(ok("y").as_bytes()).await.expect("write");
    assert_eq!(sending.await.expect("answer").body, b"y");
}

#[tokio::test(flavor = "multi_thread")]
async fn long_answer_is_streamed_and_may_outlast_the_deadline() {
    let body = pattern(3 * MIB);
    for in_chunks in [false, true] {
        let (listener, env) = manual_backend().await;
        let mut client = env.gateway.client().await;
        client.write(&request("look", 500, "", "")).await;
        let mut stream = accept(&listener).await;
        read_head(&mut stream).await;
        let framing = if in_chunks {
            "Transfer-Encoding: chunked".into()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let text = if in_chunks { chunked(&body, 100_000) } else { body.clone() };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).await.expect("write");
        let (first, rest) = text.split_at(MIB);
        stream.write_all(first).await.expect("write");
        // The first bytes arrive before the backend has written the last one ...
        let lines = helper::wait_for("head", read_head(&mut client.0)).await;
        assert_eq!(lines[0], "http/1.1 200 ok");
        assert!(lines.contains(&framing.to_ascii_lowercase()), "{lines:?}");
        // ... which the backend writes long after the client's deadline.
        sleep_ms(900).await;
        stream.write_all(rest).await.expect("write");
        let received_body = if in_chunks {
            helper::wait_for("body", unchunk(&mut client.0)).await
        } else {
            let mut received_body = vec![0; body.len()];
            helper::wait_for("body", client.0.read_exact(&mut received_body)).await.expect("whole body");
            received_body
        };
        assert!(received_body == body);
        // Both connections are reused.
        client.write(&request("look", 5000, "", "")).await;
        read_head(&mut stream).await;
        stream.write_all(ok("z").as_bytes()).await.expect("write");
        assert_eq!(client.read().await.body, b"z");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_causes_backpressure_instead_of_buffering() {
    let (listener, env) = manual_backend().await;
    let mut client = env.gateway.client().await;
    client.write(&request("look", 5000, "", "")).await;
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    let written = Arc::new(AtomicUsize::new(0));
    let (count, length) = (written.clone(), 64 * MIB);
    let writer = tokio::spawn(async move {
        let start = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(start.as_bytes()).await.expect("write");
        let chunk = vec![b'x'; 64 * 1024];
        for _ in 0..length / chunk.len() {
            stream.write_all(&chunk).await.expect("write");
            count.fetch_add(chunk.len(), Ordering::SeqCst);
        }
    });
    read_head(&mut client.0).await;
    let mut before = usize::MAX;
    // The writer stops once the socket buffers are full.
    helper::wait_for("writer to stop", async {
        while std::mem::replace(&mut before, written.load(Ordering::SeqCst)) != before || before == 0 {
            sleep_ms(500).await;
        }
    })
    .await;
    assert!(before < length / 2, "{before} bytes are buffered");
    let mut left = length;
    let mut bytes = vec![0; MIB];
    while left > 0 {
        let read = helper::wait_for("bytes", client.0.read(&mut bytes)).await.expect("bytes");
        assert!(read > 0, "truncated with {left} bytes missing");
        left -= read;
    }
    writer.await.expect("writer");
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_long_answer_is_detectable_and_counts_as_error() {
    for in_chunks in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let at = listener.local_addr().expect("address");
        let setup = Setup::with_console(&[host_entry("b", at, "in_service")]);
        let env = TestEnv::start(&setup, CounterMode::Normal).await;
        let mut client = env.gateway.client().await;
        client.write(&request("look", 5000, "", "")).await;
        let mut stream = accept(&listener).await;
        read_head(&mut stream).await;
        let framing = if in_chunks { "Transfer-Encoding: chunked" } else { "Content-Length: 1000000" };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).await.expect("write");
        let mut text = chunked(&pattern(500_000), 1000);
        text.truncate(400_000);
        stream.write_all(&text).await.expect("write");
        drop(stream);
        let mut all = Vec::new();
        let end = helper::wait_for("end", client.0.read_to_end(&mut all)).await;
        assert!(end.is_err() || !all.ends_with(b"0\r\n\r\n"));
        env.gateway.wait_for_metric("/errors/look", 1).await;
        env.gateway.wait_for_metric("/active", 0).await;
        assert_eq!(env.gateway.metrics().await["ok"]["look"], 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_retried_only_while_its_body_is_available() {
    let long = "y".repeat(2 * MIB);
    // The first backend refused the connection before any of the body was consumed: the other backend gets it.
    let refusing = tokio::net::TcpSocket::new_v4().expect("socket");
    refusing.bind("127.0.0.1:0".parse().expect("address")).expect("bind");
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let host_entries = [
        host_entry("b0", refusing.local_addr().expect("address"), "in_service"),
        host_entry("b1", backend.address, "in_service"),
    ];
    let env = TestEnv::start(&Setup::with_backends(&host_entries), CounterMode::Normal).await;
    for _ in 0..6 {
        assert_eq!(
            env.gateway.client().await.exchange(&request("order", 5000, "", &long)).await.status(),
            200
        );
    }
    assert!(backend.received.lock().expect("lock").iter().all(|h| h.body == long.as_bytes()));
    // Declined after its body was consumed, the request is refused as safe to retry and not sent again.
    for (body, attempts, status) in [("short", 2, 200), (long.as_str(), 1, 429)] {
        let declining = [Action::Write(FULL.into()), Action::Write(ok("second"))];
        let (a, b) = (Backend::start(&declining).await, Backend::start(&declining).await);
        let env = TestEnv::with_backends(&[&a, &b]).await;
        for backend in [&a, &b] {
            *backend.actions.lock().expect("lock") = vec![Action::Write(FULL.into())];
        }
        let mut client = env.gateway.client().await;
        if status == 200 {
            *a.actions.lock().expect("lock") = vec![Action::Write(ok("second"))];
        }
        let reply = client.exchange(&request("order", 5000, "", body)).await;
        assert_eq!(reply.status(), status);
        assert!((1..=attempts).contains(&(a.attempts() + b.attempts())));
        // No byte of the body is left in the connection.
        *a.actions.lock().expect("lock") = vec![Action::Write(ok("x"))];
        *b.actions.lock().expect("lock") = vec![Action::Write(ok("x"))];
        assert_eq!(client.exchange(&request("look", 5000, "", "")).await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_client_is_served_and_its_budget_starts_with_the_last_byte() {
    let backend = Backend::start(&[Action::WriteAfter(200, ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let mut client = env.gateway.client().await;
    for round in 0..2 {
        let text = request("order", 900, "", &"z".repeat(200_000));
        let (head, body) = text.split_at(text.find("\r\n\r\n").expect("end of head") + 4);
        // 1.8 s for the head, then the body at 64 kB per second.
        let half = head.len() / 2;
        client.write(&head[..half]).await;
        sleep_ms(1800).await;
        client.write(&head[half..]).await;
        for chunk in body.as_bytes().chunks(32_000) {
            client.0.write_all(chunk).await.expect("still open");
            sleep_ms(500).await;
        }
        assert_eq!(client.read().await.status(), 200, "request {round} on this connection");
        // The timeout of the next head starts anew after an idle time.
        sleep_ms(1200).await;
    }
    assert!(backend.received.lock().expect("lock").iter().all(|h| h.body.len() == 200_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_upload_ends_the_request() {
    let (listener, env) = manual_backend().await;
    let mut client = env.gateway.client().await;
    let text = request("order", 900, "", &"z".repeat(MIB));
    client.write(&text[..MIB / 2]).await;
    let mut stream = accept(&listener).await;
    let (ended_sender, ended) = oneshot::channel();
    tokio::spawn(async move {
        let read = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
        let _ = ended_sender.send(read.is_ok());
    });
    let reply = client.read().await;
    assert!([408, 502, 504].contains(&reply.status()), "{}", reply.status());
    helper::wait_for("end of the attempt", ended).await.expect("the attempt ends");
    // The backend is not ejected: the next request is sent to it at once.
    let mut next = env.gateway.client().await;
    next.write(&request("look", 5000, "", "")).await;
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    stream.write_all(ok("x").as_bytes()).await.expect("write");
    assert_eq!(next.read().await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn expect_continue_pipelining_and_single_byte_writes_are_accepted() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let mut client = env.gateway.client().await;
    for size in [10, 300_000] {
        let text = request("order", 5000, "Expect: 100-continue\r\n", &"z".repeat(size));
        let (start, body) = text.split_at(text.find("\r\n\r\n").expect("end of head") + 4);
        client.write(start).await;
        assert_eq!(read_head(&mut client.0).await, ["http/1.1 100 continue"]);
        client.write(body).await;
        assert_eq!(client.read().await.status(), 200);
    }
    // Three pipelined requests, the second one with a long body.
    let long = "z".repeat(300_000);
    let three =
        [request("look", 5000, "", ""), request("order", 5000, "", &long), request("look", 5000, "", "")];
    client.write(&three.concat()).await;
    for _ in 0..3 {
        assert_eq!(client.read().await.status(), 200);
    }
    // One byte per write.
    let mut client =
        Client(BufReader::new(TcpStream::connect(env.gateway.address).await.expect("connection")));
    client.0.get_ref().set_nodelay(true).expect("set option");
    for byte in request("order", 5000, "", "body").bytes() {
        client.0.write_all(&[byte]).await.expect("write");
    }
    assert_eq!(client.read().await.status(), 200);
    wait_until("six attempts", || backend.attempts() == 6).await;
    // A body above the maximum is rejected at once, before it arrives.
    let oversized_request =
        request("order", 5000, "", "").replace("Content-Length: 0", "Content-Length: 60000000");
    let mut client = env.gateway.client().await;
    client.write(&oversized_request).await;
    let reply = tokio::time::timeout(Duration::from_secs(20), client.read()).await.expect("answer");
    assert_eq!((reply.status(), backend.attempts()), (413, 6));
}
