//! Requests from clients: which are accepted, which are rejected, and what is forwarded to backends.

mod helper;

use helper::{Action, Backend, TestEnv, ok, request, sleep_ms};

#[tokio::test(flavor = "multi_thread")]
async fn request_and_answer_are_forwarded_unchanged() {
    let answer = "HTTP/1.1 200 OK\r\nX-Note: n\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n\
                  3\r\nab\n\r\n2\r\ncd\r\n0\r\n\r\n";
    let backend = Backend::start(&[Action::Write(answer.into())]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let mut client = env.gateway.client().await;
    let reply = client.exchange(&request("save", 900, "Content-Type: x/y\r\n", "the body")).await;
    assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"ab\ncd"[..]));
    assert_eq!((reply.headers["x-note"].as_str(), reply.headers["content-type"].as_str()), ("n", "a/b"));
    client.expect_silence().await;
    let received = backend.received.lock().expect("lock").clone();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].line, "POST /save/a%20b?c=d HTTP/1.1");
    assert_eq!(received[0].body, b"the body");
    assert!(received[0].headers["req-id"].starts_with("id-"));
    assert!(received[0].headers["idempotency-key"].starts_with("key-"));
    assert_eq!(received[0].headers["content-type"], "x/y");
    let left: u64 = received[0].headers["req-deadline-ms"].parse().expect("integer");
    assert!((1..900).contains(&left), "{left}");
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_are_reused_on_both_sides() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let mut client = env.gateway.client().await;
    for _ in 0..20 {
        assert_eq!(client.exchange(&request("order", 900, "", "b")).await.status(), 200);
    }
    assert_eq!((backend.attempts(), backend.opened(), backend.open_connections()), (20, 1, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_gets_400_or_404_and_is_not_forwarded() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let valid = request("look", 900, "", "");
    let post = request("order", 900, "", "");
    let cases = [
        (400, valid.replace("/look/", "/unheard/")),
        (404, valid.replace("/look/a%20b?c=d", "/")),
        (400, valid.replace("GET", "POST")),
        (400, post.replace("POST", "GET")),
        (400, request("save", 900, "", "").replace("Idempotency-Key", "X-Key")),
        (400, request("order", 900, "Idempotency-Key: k\r\n", "")),
        (400, request("save", 900, "Idempotency-Key: again\r\n", "")),
        (400, valid.replace("Req-Id: ", "Req-Id: a b")),
        (400, valid.replace("Req-Id", "X-Id")),
        (400, valid.replace("Api-Plan: p", "Api-Plan: q")),
        (400, valid.replace("Api-Plan", "X-Plan")),
        (400, valid.replace("00000000b4d65521", "b4d65521")),
        (400, valid.replace("00000000b4d65521", "00000002b4d65521")),
        (400, valid.replace("00000000b4d65521", "00000000b4d6552x")),
        (400, valid.replace("Api-Customer", "X-Customer")),
        (400, valid.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 0")),
        (400, valid.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: -1")),
        (400, valid.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 1e99")),
        (400, valid.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 99999999999")),
        (400, valid.replace("Req-Deadline-Ms", "X-Deadline-Ms")),
        (400, valid.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms:")),
        (400, valid.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: soon")),
        (400, valid.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 900.5")),
        (400, valid.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: +900")),
        (400, valid.replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 900\r\nReq-Deadline-Ms: 900")),
        (400, valid.replace("900", &"9".repeat(400))),
        (400, valid.replace("Api-Terms", "X-Terms")),
        (400, valid.replace("units=1", "units=NaN")),
        (400, valid.replace("units=1", "units=-1")),
        (400, valid.replace("units=1", "units=1e300")),
        (400, valid.replace("spread=1", "spread=0")),
        (400, valid.replace("spread=1,", "")),
        (400, valid.replace("first=0", "first=x")),
        (400, request("look", 900, "Req-Retry: maybe\r\n", "")),
        (400, request("look", 900, "Content-Length: 1\r\n", "x")),
        (400, "what is this\r\n\r\n".into()),
        (400, post.replace("Content-Length: 0", "Content-Length: x")),
    ];
    for (status, text) in cases {
        let reply = env.gateway.client().await.exchange(&text).await;
        assert_eq!(reply.status(), status, "{text}");
    }
    assert_eq!(backend.attempts(), 0);
    assert_eq!(env.gateway.client().await.exchange(&valid).await.status(), 200);
    assert_eq!(backend.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn attempt_of_a_client_that_left_is_cancelled_and_not_retried() {
    let backend = Backend::start(&[Action::Hang, Action::Write(ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let mut client = env.gateway.client().await;
    client.write(&request("look", 50_000, "", "")).await;
    helper::wait_until("attempt", || backend.attempts() == 1).await;
    drop(client);
    helper::wait_until("close of the attempt's connection", || backend.closed() == 1).await;
    sleep_ms(300).await;
    assert_eq!(backend.attempts(), 1);
    assert_eq!(env.gateway.client().await.exchange(&request("look", 900, "", "")).await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn client_gets_one_timeout_before_its_deadline() {
    let backend = Backend::start(&[Action::Hang]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    for class in ["look", "save", "order"] {
        let (before, closed) = (backend.attempts(), backend.closed());
        let mut client = env.gateway.client().await;
        let reply = client.exchange(&request(class, 700, "", "")).await;
        assert_eq!(reply.status(), 504, "{class}");
        client.expect_silence().await;
        assert_eq!(backend.attempts(), before + 1, "{class}");
        helper::wait_until("cancelled attempt", || backend.closed() == closed + 1).await;
        // The decision engine ejects a backend without an answer for as long as the attempt took.
        sleep_ms(900).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn client_that_left_does_not_count_against_the_backend() {
    let backend = Backend::start(&[Action::Hang, Action::Write(ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let mut client = env.gateway.client().await;
    client.write(&request("order", 50_000, "", "b")).await;
    helper::wait_until("attempt", || backend.attempts() == 1).await;
    // Longer than a request is queued for a backend: an ejection for that long would fail the next request.
    sleep_ms(1000).await;
    drop(client);
    helper::wait_until("close of the attempt's connection", || backend.closed() == 1).await;
    let reply = env.gateway.client().await.exchange(&request("order", 900, "", "b")).await;
    assert_eq!((reply.status(), backend.attempts()), (200, 2));
}
