//! Long bodies and slow peers: what streams, what stops whom, what is cut and who can tell.

mod helper;

use helper::{Backend, Client, Do, Mood, Setup, World, ok, pause, request, row, until};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

const MIB: usize = 1 << 20;
const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

/// Bytes that differ from place to place.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i / 7 + i / 4096) as u8).collect()
}

/// A backend whose one connection is driven by the test.
async fn driven() -> (TcpListener, World) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    (listener, World::set(&Setup::knowing(&[row("b", at, "in_service")]), Mood::Adds).await)
}

async fn taken(listener: &TcpListener) -> BufReader<TcpStream> {
    let accepted = helper::soon("a connection", listener.accept()).await;
    BufReader::new(accepted.expect("a connection").0)
}

/// Reads a head; the body stays where it is.
async fn head(stream: &mut BufReader<TcpStream>) -> Vec<String> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        assert!(helper::soon("a line", stream.read_line(&mut line)).await.expect("a line") > 0, "the end");
        if line.trim_end().is_empty() {
            return lines;
        }
        lines.push(line.trim_end().to_ascii_lowercase());
    }
}

fn chunked(body: &[u8], piece: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for piece in body.chunks(piece) {
        text.extend_from_slice(format!("{:x};why=not\r\n", piece.len()).as_bytes());
        text.extend_from_slice(piece);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
    text
}

async fn unchunk(stream: &mut BufReader<TcpStream>) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.expect("a chunk");
        let length = usize::from_str_radix(line.trim_end(), 16).expect("a length");
        let mut chunk = vec![0; length + 2];
        stream.read_exact(&mut chunk).await.expect("a chunk");
        if length == 0 {
            return body;
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_body_passes_whole_with_its_length_or_in_chunks() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let body = String::from_utf8(pattern(5 * MIB).iter().map(|b| b'a' + b % 26).collect()).expect("text");
    let mut client = world.gateway.client().await;
    for _ in 0..2 {
        let reply = client.ask(&request("order", 900, "", &body)).await;
        assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"x"[..]));
    }
    let heard = backend.heard.lock().expect("lock").clone();
    assert!(heard.len() == 2 && heard.iter().all(|h| h.body == body.as_bytes()));
    assert_eq!(backend.opened(), 1, "the connections are kept on both sides");

    let (listener, world) = driven().await;
    let mut client = world.gateway.client().await;
    let start =
        request("order", 900, "Transfer-Encoding: chunked\r\n", "").replace("Content-Length: 0\r\n", "");
    let sent = [start.as_bytes(), &chunked(body.as_bytes(), 3000)].concat();
    let sending = tokio::spawn(async move {
        client.0.write_all(&sent).await.expect("written");
        client.read().await
    });
    let mut stream = taken(&listener).await;
    assert!(head(&mut stream).await.contains(&"transfer-encoding: chunked".to_owned()));
    assert!(unchunk(&mut stream).await == body.as_bytes());
    stream.write_all(ok("y").as_bytes()).await.expect("written");
    assert_eq!(sending.await.expect("an answer").body, b"y");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_comes_as_it_is_given_and_is_not_cut_by_the_deadline() {
    let body = pattern(3 * MIB);
    for in_chunks in [false, true] {
        let (listener, world) = driven().await;
        let mut client = world.gateway.client().await;
        client.write(&request("look", 500, "", "")).await;
        let mut stream = taken(&listener).await;
        head(&mut stream).await;
        let framing = if in_chunks {
            "Transfer-Encoding: chunked".into()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let text = if in_chunks { chunked(&body, 100_000) } else { body.clone() };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).await.expect("written");
        let (first, rest) = text.split_at(MIB);
        stream.write_all(first).await.expect("written");
        // The first bytes are here before the backend has given the last one ...
        let lines = helper::soon("the head", head(&mut client.0)).await;
        assert_eq!(lines[0], "http/1.1 200 ok");
        assert!(lines.contains(&framing.to_ascii_lowercase()), "{lines:?}");
        // ... which it does long after the client's deadline.
        pause(900).await;
        stream.write_all(rest).await.expect("written");
        let whole = if in_chunks {
            helper::soon("the body", unchunk(&mut client.0)).await
        } else {
            let mut whole = vec![0; body.len()];
            helper::soon("the body", client.0.read_exact(&mut whole)).await.expect("all of it");
            whole
        };
        assert!(whole == body);
        // Both connections are used again.
        client.write(&request("look", 5000, "", "")).await;
        head(&mut stream).await;
        stream.write_all(ok("z").as_bytes()).await.expect("written");
        assert_eq!(client.read().await.body, b"z");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_reads_slowly_stops_its_backend_and_not_the_memory() {
    let (listener, world) = driven().await;
    let mut client = world.gateway.client().await;
    client.write(&request("look", 5000, "", "")).await;
    let mut stream = taken(&listener).await;
    head(&mut stream).await;
    let written = Arc::new(AtomicUsize::new(0));
    let (count, length) = (written.clone(), 64 * MIB);
    let giving = tokio::spawn(async move {
        let start = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(start.as_bytes()).await.expect("written");
        let piece = vec![b'x'; 64 * 1024];
        for _ in 0..length / piece.len() {
            stream.write_all(&piece).await.expect("written");
            count.fetch_add(piece.len(), Ordering::SeqCst);
        }
    });
    head(&mut client.0).await;
    let mut before = usize::MAX;
    // What fits into the sockets' buffers, and then no more.
    helper::soon("the writer's stop", async {
        while std::mem::replace(&mut before, written.load(Ordering::SeqCst)) != before || before == 0 {
            pause(500).await;
        }
    })
    .await;
    assert!(before < length / 2, "{before} bytes are held somewhere");
    let mut left = length;
    let mut bytes = vec![0; MIB];
    while left > 0 {
        let read = helper::soon("bytes", client.0.read(&mut bytes)).await.expect("bytes");
        assert!(read > 0, "cut with {left} bytes to come");
        left -= read;
    }
    giving.await.expect("all given");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_that_breaks_is_seen_to_be_broken_and_counts_as_failed() {
    for in_chunks in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let setup = Setup::operated(&[row("b", at, "in_service")]);
        let world = World::set(&setup, Mood::Adds).await;
        let mut client = world.gateway.client().await;
        client.write(&request("look", 5000, "", "")).await;
        let mut stream = taken(&listener).await;
        head(&mut stream).await;
        let framing = if in_chunks { "Transfer-Encoding: chunked" } else { "Content-Length: 1000000" };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).await.expect("written");
        let mut text = chunked(&pattern(500_000), 1000);
        text.truncate(400_000);
        stream.write_all(&text).await.expect("written");
        drop(stream);
        let mut all = Vec::new();
        let end = helper::soon("the end", client.0.read_to_end(&mut all)).await;
        assert!(end.is_err() || !all.ends_with(b"0\r\n\r\n"));
        world.gateway.shows("/errors/look", 1).await;
        world.gateway.shows("/active", 0).await;
        assert_eq!(world.gateway.figures().await["ok"]["look"], 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_sent_again_only_while_its_body_can_be() {
    let long = "y".repeat(2 * MIB);
    // Nothing of it was drawn when the first backend refused the connection: the other one gets it.
    let refusing = tokio::net::TcpSocket::new_v4().expect("a socket");
    refusing.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let rows = [
        row("b0", refusing.local_addr().expect("an address"), "in_service"),
        row("b1", backend.at, "in_service"),
    ];
    let world = World::set(&Setup::knowing(&rows), Mood::Adds).await;
    for _ in 0..6 {
        assert_eq!(world.gateway.client().await.ask(&request("order", 5000, "", &long)).await.status(), 200);
    }
    assert!(backend.heard.lock().expect("lock").iter().all(|h| h.body == long.as_bytes()));
    // Turned away with its body gone it is refused, which is harmless, and not sent a second time.
    for (body, attempts, status) in [("short", 2, 200), (long.as_str(), 1, 429)] {
        let turning = [Do::Say(FULL.into()), Do::Say(ok("second"))];
        let (a, b) = (Backend::start(&turning).await, Backend::start(&turning).await);
        let world = World::with(&[&a, &b]).await;
        for backend in [&a, &b] {
            *backend.deeds.lock().expect("lock") = vec![Do::Say(FULL.into())];
        }
        let mut client = world.gateway.client().await;
        if status == 200 {
            *a.deeds.lock().expect("lock") = vec![Do::Say(ok("second"))];
        }
        let reply = client.ask(&request("order", 5000, "", body)).await;
        assert_eq!(reply.status(), status);
        assert!((1..=attempts).contains(&(a.attempts() + b.attempts())));
        // Nothing of the body is left in the connection.
        *a.deeds.lock().expect("lock") = vec![Do::Say(ok("x"))];
        *b.deeds.lock().expect("lock") = vec![Do::Say(ok("x"))];
        assert_eq!(client.ask(&request("look", 5000, "", "")).await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_client_is_served_and_its_time_begins_with_the_last_byte() {
    let backend = Backend::start(&[Do::SayLater(200, ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    for round in 0..2 {
        let text = request("order", 900, "", &"z".repeat(200_000));
        let (head, body) = text.split_at(text.find("\r\n\r\n").expect("a head") + 4);
        // Two seconds for the head, and then the body at 64 kB a second.
        let half = head.len() / 2;
        client.write(&head[..half]).await;
        pause(1800).await;
        client.write(&head[half..]).await;
        for piece in body.as_bytes().chunks(32_000) {
            client.0.write_all(piece).await.expect("still open");
            pause(500).await;
        }
        assert_eq!(client.read().await.status(), 200, "request {round} on this connection");
        // Idle for a while: the next head has its time all the same.
        pause(1200).await;
    }
    assert!(backend.heard.lock().expect("lock").iter().all(|h| h.body.len() == 200_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_stops_in_the_middle_of_a_long_body_is_not_waited_for() {
    let (listener, world) = driven().await;
    let mut client = world.gateway.client().await;
    let text = request("order", 900, "", &"z".repeat(MIB));
    client.write(&text[..MIB / 2]).await;
    let mut stream = taken(&listener).await;
    let (gone, heard) = oneshot::channel();
    tokio::spawn(async move {
        let read = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
        let _ = gone.send(read.is_ok());
    });
    let reply = client.read().await;
    assert!([408, 502, 504].contains(&reply.status()), "{}", reply.status());
    helper::soon("the end of the attempt", heard).await.expect("an end");
    // The backend is not to blame: the next request goes there at once.
    let mut next = world.gateway.client().await;
    next.write(&request("look", 5000, "", "")).await;
    let mut stream = taken(&listener).await;
    head(&mut stream).await;
    stream.write_all(ok("x").as_bytes()).await.expect("written");
    assert_eq!(next.read().await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_of_http_1_1_is_taken_continue_and_pipelines_and_pieces_of_any_size() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    for size in [10, 300_000] {
        let text = request("order", 5000, "Expect: 100-continue\r\n", &"z".repeat(size));
        let (start, body) = text.split_at(text.find("\r\n\r\n").expect("a head") + 4);
        client.write(start).await;
        assert_eq!(head(&mut client.0).await, ["http/1.1 100 continue"]);
        client.write(body).await;
        assert_eq!(client.read().await.status(), 200);
    }
    // Three requests at once, the second one with a long body.
    let long = "z".repeat(300_000);
    let three =
        [request("look", 5000, "", ""), request("order", 5000, "", &long), request("look", 5000, "", "")];
    client.write(&three.concat()).await;
    for _ in 0..3 {
        assert_eq!(client.read().await.status(), 200);
    }
    // Byte by byte.
    let mut client =
        Client(BufReader::new(TcpStream::connect(world.gateway.at).await.expect("a connection")));
    client.0.get_ref().set_nodelay(true).expect("an option");
    for byte in request("order", 5000, "", "body").bytes() {
        client.0.write_all(&[byte]).await.expect("written");
    }
    assert_eq!(client.read().await.status(), 200);
    until("six attempts", || backend.attempts() == 6).await;
    // More than is ever taken is said so at once, whatever is still to come.
    let vast = request("order", 5000, "", "").replace("Content-Length: 0", "Content-Length: 60000000");
    let mut client = world.gateway.client().await;
    client.write(&vast).await;
    let reply = tokio::time::timeout(Duration::from_secs(20), client.read()).await.expect("an answer");
    assert_eq!((reply.status(), backend.attempts()), (413, 6));
}
