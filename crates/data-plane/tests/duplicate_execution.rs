//! Guards against duplicate execution of requests that must not be repeated. A backend breaks the exchange at a given
//! byte; the tests check which status the client receives and whether the request is sent again. The table of cases is
//! in `docs/control-review.md`.

mod helper;

use helper::script::ScriptedPair;
use helper::script::Step::{self, Close, Read, ReadHead, ReadRequest, Reset, Stall, Write};
use helper::{
    Client, ScriptedBackend, TestGateway, default_config, read_message, request, run_on_one_thread,
    wait_until,
};
use protocol::Backend;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};

/// Another backend or connection served the request, because the first attempt certainly did not run.
const RETRIED: u16 = 200;
/// The attempt failed. The request may have run and is not sent again.
const MAY_HAVE_RUN: u16 = 502;
/// No answer arrived in time. The request may have run and is not sent again.
const TIMED_OUT: u16 = 504;

const GOOD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nfine";
const FULL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FULL_OF_OTHER_REQUEST: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7e\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FULL_WITHOUT_ID: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FULL_WITH_TWO_IDS: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7f\r\nX-Attempt-Id: 7e\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FULL_CUT: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nno ";
const QUOTA: &str =
    "HTTP/1.1 429 Too Many Requests\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FAILED_NOT_RUN: &str =
    "HTTP/1.1 500 Oh\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const OTHER_INSTANCE: &str =
    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: 7f\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n";
const PLAIN_503: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7f\r\nContent-Length: 0\r\n\r\n";
const PLAIN_429: &str = "HTTP/1.1 429 Too Many Requests\r\nX-Attempt-Id: 7f\r\nContent-Length: 0\r\n\r\n";
const PLAIN_408: &str = "HTTP/1.1 408 Request Timeout\r\nX-Attempt-Id: 7f\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Oh\r\nX-Attempt-Id: 7f\r\nContent-Length: 0\r\n\r\n";
const UNFRAMED_404: &str = "HTTP/1.1 404 Not Found\r\nX-Attempt-Id: 7f\r\n\r\nhalf of wh";
const UNKNOWN_CODING: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nTransfer-Encoding: xchunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n";
const TWO_LENGTHS: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfine";
const LENGTH_AND_CHUNKS: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n";
const CHUNKS_CUT: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n";
const SWITCHING: &str =
    "HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: 7f\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n";
const INTERIM: &str =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Attempt-Id: 7e\r\nX-Not-Executed: 1\r\n\r\n";

/// The first attempt of an effectful request with a short body breaks at every point of the exchange.
#[yare::parameterized(
    at_the_first_byte_by_a_reset = { &[Read(1), Reset], MAY_HAVE_RUN },
    at_the_first_byte_by_a_close = { &[Read(1), Close], MAY_HAVE_RUN },
    in_the_head_by_a_reset = { &[Read(40), Reset], MAY_HAVE_RUN },
    in_the_head_by_a_close = { &[Read(40), Close], MAY_HAVE_RUN },
    in_the_head_by_silence = { &[Read(40), Stall], TIMED_OUT },
    after_the_head_by_a_reset = { &[ReadHead, Reset], MAY_HAVE_RUN },
    after_the_head_by_a_close = { &[ReadHead, Close], MAY_HAVE_RUN },
    in_the_body_by_a_reset = { &[ReadHead, Read(2), Reset], MAY_HAVE_RUN },
    after_the_request_by_a_reset = { &[ReadRequest, Reset], MAY_HAVE_RUN },
    after_the_request_by_a_close = { &[ReadRequest, Close], MAY_HAVE_RUN },
    after_the_request_by_silence = { &[ReadRequest, Stall], TIMED_OUT },
    after_interim_answers_by_a_close = { &[ReadRequest, Write(INTERIM), Close], MAY_HAVE_RUN },
    in_the_status_by_a_reset = { &[ReadRequest, Write("HTTP/1.1 5"), Reset], MAY_HAVE_RUN },
    in_the_answer_head_by_a_close = { &[ReadRequest, Write("HTTP/1.1 503 Full\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\n"), Close], MAY_HAVE_RUN },
    in_the_answer_head_by_silence = { &[ReadRequest, Write("HTTP/1.1 503 Full\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\n"), Stall], TIMED_OUT },
    in_the_answer_body = { &[ReadRequest, Write(FULL_CUT), Close], MAY_HAVE_RUN },
    in_the_answer_chunks = { &[ReadRequest, Write(CHUNKS_CUT), Close], MAY_HAVE_RUN },
    before_any_request = { &[Write(FULL_WITHOUT_ID), Stall], MAY_HAVE_RUN },
    by_garbage = { &[ReadRequest, Write("no answer at all\r\n\r\n"), Stall], MAY_HAVE_RUN },
    by_a_not_executed_answer = { &[ReadRequest, Write(FULL), Stall], RETRIED },
    by_a_not_executed_answer_before_the_body = { &[ReadHead, Write(FULL), Stall], RETRIED },
    by_a_not_executed_429 = { &[ReadRequest, Write(QUOTA), Stall], RETRIED },
    by_a_not_executed_500 = { &[ReadRequest, Write(FAILED_NOT_RUN), Stall], RETRIED },
    by_a_not_executed_answer_after_interim_answers = { &[ReadRequest, Write(INTERIM), Write(FULL), Stall], RETRIED },
    by_a_not_executed_answer_to_another_request = { &[ReadRequest, Write(FULL_OF_OTHER_REQUEST), Stall], MAY_HAVE_RUN },
    by_a_not_executed_answer_without_an_id = { &[ReadRequest, Write(FULL_WITHOUT_ID), Stall], MAY_HAVE_RUN },
    by_a_not_executed_answer_with_two_ids = { &[ReadRequest, Write(FULL_WITH_TWO_IDS), Stall], MAY_HAVE_RUN },
    by_another_instance = { &[ReadRequest, Write(OTHER_INSTANCE), Stall], RETRIED },
    by_a_503_without_not_executed = { &[ReadRequest, Write(PLAIN_503), Stall], MAY_HAVE_RUN },
    by_a_429_without_not_executed = { &[ReadRequest, Write(PLAIN_429), Stall], MAY_HAVE_RUN },
    by_a_408_without_not_executed = { &[ReadRequest, Write(PLAIN_408), Stall], MAY_HAVE_RUN },
    by_a_failure_status = { &[ReadRequest, Write(FAILED), Stall], 500 },
    by_a_failure_without_a_length = { &[ReadRequest, Write(UNFRAMED_404), Close], MAY_HAVE_RUN },
    by_an_unknown_coding = { &[ReadRequest, Write(UNKNOWN_CODING), Close], MAY_HAVE_RUN },
    by_two_lengths = { &[ReadRequest, Write(TWO_LENGTHS), Close], MAY_HAVE_RUN },
    by_a_length_and_chunks = { &[ReadRequest, Write(LENGTH_AND_CHUNKS), Stall], MAY_HAVE_RUN },
    by_another_protocol = { &[ReadRequest, Write(SWITCHING), Stall], MAY_HAVE_RUN },
)]
fn an_effectful_request_is_retried_only_if_it_certainly_did_not_run(script: &'static [Step], status: u16) {
    run_on_one_thread(async move {
        let pair = ScriptedPair::start(script).await;
        let gateway = TestGateway::start(default_config(), &[&pair.backends[0], &pair.backends[1]]).await;
        let request_text = request("POST", "/e/x", "", "four").replace("Left: 2000", "Left: 150");
        let reply = gateway.exchange(&request_text).await;
        assert_eq!((reply.status(), reply.retry_after(), reply.whole), (status, None, true));
        let retries = usize::from(status == RETRIED);
        assert_eq!(
            (pair.served(), pair.connections()),
            (retries, 1 + retries),
            "the number of retries and of connections"
        );
        // After an invalid answer, the connection is closed at once.
        if script.last() == Some(&Stall) && !sends_valid_answer(script) {
            wait_until(|| pair.progress.steps() == script.len()).await;
        }
    });
}

/// Whether the script sends a complete, valid answer with the id of the request, after reading the whole request.
fn sends_valid_answer(script: &[Step]) -> bool {
    script.first() == Some(&ReadRequest)
        && [FULL, QUOTA, FAILED_NOT_RUN, OTHER_INSTANCE, PLAIN_503, PLAIN_429, PLAIN_408, FAILED]
            .iter()
            .any(|answer| script.contains(&Write(answer)))
}

/// The backend closes an idle connection, or sends bytes on the connection, before the next request. No byte of that
/// request may be written.
#[yare::parameterized(
    by_a_close = { &[ReadRequest, Write(GOOD), Close] },
    by_a_reset = { &[ReadRequest, Write(GOOD), Reset] },
    by_a_second_answer = { &[ReadRequest, Write(GOOD), Write(GOOD), Stall] },
    by_a_not_executed_answer = { &[ReadRequest, Write(GOOD), Write(FULL), Stall] },
    by_one_byte = { &[ReadRequest, Write(GOOD), Write("\r"), Stall] },
)]
fn a_closed_or_dirty_idle_connection_is_not_reused(script: &'static [Step]) {
    run_on_one_thread(async move {
        let pair = ScriptedPair::start(script).await;
        let gateway = TestGateway::start(default_config(), &[&pair.backends[0], &pair.backends[1]]).await;
        let request_text = request("POST", "/e/x", "", "four");
        assert_eq!(gateway.exchange(&request_text).await.status(), 200);
        let ended = if script.last() == Some(&Stall) { script.len() - 1 } else { script.len() };
        wait_until(|| pair.progress.steps() >= ended).await;
        assert_eq!((gateway.exchange(&request_text).await.status(), pair.served()), (200, 1));
        assert_eq!(pair.connections(), 2);
    });
}

/// A failure after the request was written on a reused connection may have run the request, as on a new connection.
#[yare::parameterized(
    by_a_reset = { &[ReadRequest, Write(GOOD), Read(1), Reset], MAY_HAVE_RUN },
    by_a_close = { &[ReadRequest, Write(GOOD), ReadRequest, Close], MAY_HAVE_RUN },
    by_silence = { &[ReadRequest, Write(GOOD), ReadRequest, Stall], TIMED_OUT },
    by_a_late_second_answer = { &[ReadRequest, Write(GOOD), ReadRequest, Write(GOOD), Write(GOOD), Stall], MAY_HAVE_RUN },
    by_a_late_not_executed_answer_to_the_first_request = { &[ReadRequest, Write(GOOD), ReadRequest, Write(FULL), Write(GOOD), Stall], MAY_HAVE_RUN },
    by_a_not_executed_answer = { &[ReadRequest, Write(GOOD), ReadRequest, Write(FULL_OF_OTHER_REQUEST), Stall], RETRIED },
)]
fn a_request_on_a_reused_connection_is_retried_only_if_it_certainly_did_not_run(
    script: &'static [Step], status: u16,
) {
    run_on_one_thread(async move {
        let pair = ScriptedPair::start(script).await;
        // The data plane knows only the scripted backend, so that its connection is reused.
        let gateway = TestGateway::start(default_config(), &[&pair.backends[0]]).await;
        assert_eq!(gateway.exchange(&request("POST", "/e/x", "", "four")).await.status(), 200);
        let second = request("POST", "/e/x", "", "four").replace("Id: 7f", "Id: 7e");
        let left = if status == TIMED_OUT { "Left: 150" } else { "Left: 2000" };
        let reply = gateway.exchange(&second.replace("Left: 2000", left)).await;
        assert_eq!(reply.status(), status);
        assert_eq!(pair.served(), usize::from(status == RETRIED));
    });
}

/// If a backend sends a refusal twice, the second and late one must not count for the next attempt of the same request.
#[test]
fn a_repeated_refusal_does_not_count_for_the_next_attempt() {
    run_on_one_thread(async {
        let script = &[ReadRequest, Write(FULL), ReadRequest, Write(FULL), Write(GOOD), Stall];
        let pair = ScriptedPair::start(script).await;
        // There is only one backend, so that the next attempt goes to the same backend.
        let gateway = TestGateway::start(default_config(), &[&pair.backends[0]]).await;
        let reply = gateway.exchange(&request("POST", "/e/x", "", "four")).await;
        assert_eq!((reply.status(), pair.served(), pair.connections()), (200, 1, 2));
        assert!(pair.progress.steps() <= 2, "the first connection carries the request only once");
    });
}

/// A connection is never reused after an invalid answer, or after an answer that announces the close.
#[yare::parameterized(
    no_seal = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nContent-Length: 4\r\n\r\nfine" },
    a_content_encoding = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfine" },
    a_not_executed_success = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfine" },
    a_failure_without_an_id = { "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" },
    a_failure_with_another_id = { "HTTP/1.1 500 Oh\r\nX-Attempt-Id: 7e\r\nContent-Length: 0\r\n\r\n" },
    a_length_and_chunks = { LENGTH_AND_CHUNKS },
    a_body_with_status_204 = { "HTTP/1.1 204 No Content\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nfine" },
    bytes_after_the_body = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nfiner" },
    bytes_after_the_last_chunk = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n\r\n" },
    http_1_0 = { "HTTP/1.0 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nfine" },
    connection_close = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfine" },
    a_keep_alive_timeout_of_zero = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nKeep-Alive: timeout=0\r\nContent-Length: 4\r\n\r\nfine" },
)]
fn a_connection_with_an_invalid_or_final_answer_is_not_reused(answer: &'static str) {
    run_on_one_thread(async move {
        let connections = Rc::new(Cell::new(0));
        let counted = connections.clone();
        let backend = ScriptedBackend::on_streams("i-1", "one", move |stream, _| {
            counted.set(counted.get() + 1);
            async move {
                let mut stream = BufReader::new(stream);
                while read_message(&mut stream).await.is_some() {
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            }
        });
        let backend = backend.await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        for sent in 1..=3 {
            gateway.exchange(&request("POST", "/e/x", "", "four")).await;
            assert_eq!(connections.get(), sent, "each request uses a new connection");
            // A failed backend is ejected for a while, unless the control plane reports its recovery.
            for (call_count, overdue) in [(2 * sent, true), (2 * sent + 1, false)] {
                let backend = Backend { call_count, overdue, ..backend.backend.clone() };
                gateway.data_plane.update_backends(&[backend], false);
            }
        }
    });
}

/// After an early answer, a part of the request is still to be written on the connection.
#[test]
fn a_connection_with_an_early_answer_is_not_reused() {
    run_on_one_thread(async {
        let pair = ScriptedPair::start(&[ReadHead, Write(GOOD), Stall]).await;
        let gateway = TestGateway::start(default_config(), &[&pair.backends[0], &pair.backends[1]]).await;
        let long = "x".repeat(900_000);
        let mut client = Client::connect(gateway.client_address).await;
        client.send(&request("POST", "/e/x", "", &long)).await;
        let reply = client.receive().await.expect("the gateway answers");
        assert_eq!((reply.status(), &*reply.body), (200, &b"fine"[..]));
        assert_eq!(gateway.exchange(&request("POST", "/e/x", "", "four")).await.status(), 200);
        assert_eq!((pair.served(), pair.connections()), (1, 2));
    });
}

/// A request may have run even if its body was not written completely.
#[test]
fn a_partly_written_request_may_have_run() {
    run_on_one_thread(async {
        let pair = ScriptedPair::start(&[Read(1), Reset]).await;
        let gateway = TestGateway::start(default_config(), &[&pair.backends[0], &pair.backends[1]]).await;
        let reply = gateway.exchange(&request("POST", "/e/x", "", &"x".repeat(200_000))).await;
        assert_eq!((reply.status(), pair.served(), pair.connections()), (MAY_HAVE_RUN, 0, 1));
    });
}

/// A client body that breaks off must never look complete to a backend.
#[yare::parameterized(
    with_a_length = { "Content-Length: 900000", String::new(), "" },
    in_chunks = { "Transfer-Encoding: chunked", format!("{:x}\r\n", 400_000), "\r\n" },
)]
fn a_truncated_client_body_never_looks_complete(framing: &str, before: String, after: &str) {
    let body = format!("{before}{}{after}", "x".repeat(400_000));
    let request_text = request("POST", "/e/x", "", "").replace("Content-Length: 0", framing) + &body;
    run_on_one_thread(async move {
        let (received, is_closed) = (Rc::<RefCell<Vec<u8>>>::default(), Rc::<Cell<bool>>::default());
        let (bytes, closed) = (received.clone(), is_closed.clone());
        let backend = ScriptedBackend::on_streams("i-1", "one", move |mut stream, _| {
            let (bytes, closed) = (bytes.clone(), closed.clone());
            async move {
                let mut part = vec![0; 64 * 1024];
                while let Ok(length) = stream.read(&mut part).await
                    && length > 0
                {
                    bytes.borrow_mut().extend_from_slice(&part[..length]);
                }
                closed.set(true);
            }
        });
        let backend = backend.await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        let mut client = Client::connect(gateway.client_address).await;
        client.send(&request_text).await;
        wait_until(|| !received.borrow().is_empty()).await;
        drop(client);
        wait_until(|| is_closed.get()).await;
        let received = received.borrow();
        assert!(
            received.starts_with(b"POST /e/x")
                && received.len() < 800_000
                && !received.ends_with(b"0\r\n\r\n")
        );
        assert_eq!(backend.connections.get(), 1);
    });
}

/// A client disconnects during an attempt: the request is not sent again.
#[test]
fn a_request_of_a_disconnected_client_is_not_sent_again() {
    run_on_one_thread(async {
        let pair = ScriptedPair::start(&[ReadRequest, Stall]).await;
        let gateway = TestGateway::start(default_config(), &[&pair.backends[0], &pair.backends[1]]).await;
        let mut client = Client::connect(gateway.client_address).await;
        client.send(&request("POST", "/e/x", "", "four")).await;
        wait_until(|| pair.progress.steps() == 1).await;
        drop(client);
        // The connection to the backend is closed together with the client connection.
        wait_until(|| pair.progress.steps() == 2).await;
        assert_eq!((pair.served(), pair.connections()), (0, 1));
    });
}

/// At the end of the process, requests that still run get no status which promises that they did not run.
#[test]
fn at_shutdown_open_requests_get_no_promise() {
    run_on_one_thread(async {
        let pair = ScriptedPair::start(&[ReadRequest, Stall]).await;
        let mut gateway = TestGateway::start(default_config(), &[&pair.backends[0], &pair.backends[1]]).await;
        let mut client = Client::connect(gateway.client_address).await;
        client.send(&request("POST", "/e/x", "", "four").replace("Left: 2000", "Left: 300")).await;
        wait_until(|| pair.progress.steps() == 1).await;
        drop(gateway.shutdown.take());
        let status = client.receive().await.map(|reply| reply.status());
        assert!(status.is_none_or(|status| [502, 504].contains(&status)), "{status:?}");
        assert_eq!((pair.served(), pair.connections()), (0, 1));
        gateway.server.await.expect("the server stops");
    });
}
