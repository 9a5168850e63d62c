//! Up to which point a request that may not be repeated has surely not run: a backend ends at that byte, and the test
//! looks at what the client is promised and whether the request is sent again. The table of `docs/control-review.md`.

mod helper;

use helper::script::Pair;
use helper::script::Step::{self, Close, Read, ReadHead, ReadRequest, Reset, Stall, Write};
use helper::{Client, ScriptedBackend, World, hear, on_one_thread, request, until, usual};
use protocol::Backend;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};

/// Served by the other backend or connection: nothing of it ran before.
const ELSEWHERE: u16 = 200;
/// Its own failure: it may have run, and is not sent again.
const DOUBT: u16 = 502;
/// No answer in time: it may have run, and is not sent again.
const SILENCE: u16 = 504;

const GOOD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nfine";
const FULL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FULL_OF_OTHER: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7e\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FULL_OF_NOBODY: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FULL_OF_TWO: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7f\r\nX-Attempt-Id: 7e\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FULL_CUT: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nno ";
const QUOTA: &str =
    "HTTP/1.1 429 Too Many Requests\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const FAILED_UNRUN: &str =
    "HTTP/1.1 500 Oh\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const OTHER_INSTANCE: &str =
    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: 7f\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n";
const BARE_503: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: 7f\r\nContent-Length: 0\r\n\r\n";
const BARE_429: &str = "HTTP/1.1 429 Too Many Requests\r\nX-Attempt-Id: 7f\r\nContent-Length: 0\r\n\r\n";
const BARE_408: &str = "HTTP/1.1 408 Request Timeout\r\nX-Attempt-Id: 7f\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Oh\r\nX-Attempt-Id: 7f\r\nContent-Length: 0\r\n\r\n";
const UNFRAMED_404: &str = "HTTP/1.1 404 Not Found\r\nX-Attempt-Id: 7f\r\n\r\nhalf of wh";
const ODD_CODING: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nTransfer-Encoding: xchunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n";
const TWO_LENGTHS: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfine";
const LENGTH_AND_CHUNKS: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n";
const CHUNKS_CUT: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n";
const SWITCHING: &str =
    "HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: 7f\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n";
const INTERIM: &str =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Attempt-Id: 7e\r\nX-Not-Executed: 1\r\n\r\n";

/// What a client with a short body is answered, and whether its request was sent again.
#[yare::parameterized(
    at_the_first_byte_by_a_reset = { &[Read(1), Reset], DOUBT },
    at_the_first_byte_by_a_close = { &[Read(1), Close], DOUBT },
    in_the_head_by_a_reset = { &[Read(40), Reset], DOUBT },
    in_the_head_by_a_close = { &[Read(40), Close], DOUBT },
    in_the_head_by_silence = { &[Read(40), Stall], SILENCE },
    after_the_head_by_a_reset = { &[ReadHead, Reset], DOUBT },
    after_the_head_by_a_close = { &[ReadHead, Close], DOUBT },
    in_the_body_by_a_reset = { &[ReadHead, Read(2), Reset], DOUBT },
    after_the_request_by_a_reset = { &[ReadRequest, Reset], DOUBT },
    after_the_request_by_a_close = { &[ReadRequest, Close], DOUBT },
    after_the_request_by_silence = { &[ReadRequest, Stall], SILENCE },
    after_interim_answers_by_a_close = { &[ReadRequest, Write(INTERIM), Close], DOUBT },
    in_the_status_by_a_reset = { &[ReadRequest, Write("HTTP/1.1 5"), Reset], DOUBT },
    in_the_answer_s_head_by_a_close = { &[ReadRequest, Write("HTTP/1.1 503 Full\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\n"), Close], DOUBT },
    in_the_answer_s_head_by_silence = { &[ReadRequest, Write("HTTP/1.1 503 Full\r\nX-Attempt-Id: 7f\r\nX-Not-Executed: 1\r\n"), Stall], SILENCE },
    in_the_answer_s_body = { &[ReadRequest, Write(FULL_CUT), Close], DOUBT },
    in_the_answer_s_chunks = { &[ReadRequest, Write(CHUNKS_CUT), Close], DOUBT },
    before_any_request = { &[Write(FULL_OF_NOBODY), Stall], DOUBT },
    by_garbage = { &[ReadRequest, Write("no answer at all\r\n\r\n"), Stall], DOUBT },
    by_a_word_that_it_did_not_run = { &[ReadRequest, Write(FULL), Stall], ELSEWHERE },
    by_that_word_before_the_body = { &[ReadHead, Write(FULL), Stall], ELSEWHERE },
    by_that_word_with_429 = { &[ReadRequest, Write(QUOTA), Stall], ELSEWHERE },
    by_that_word_with_500 = { &[ReadRequest, Write(FAILED_UNRUN), Stall], ELSEWHERE },
    by_that_word_after_interim_answers = { &[ReadRequest, Write(INTERIM), Write(FULL), Stall], ELSEWHERE },
    by_that_word_of_another_request = { &[ReadRequest, Write(FULL_OF_OTHER), Stall], DOUBT },
    by_that_word_of_no_request = { &[ReadRequest, Write(FULL_OF_NOBODY), Stall], DOUBT },
    by_that_word_of_two_requests = { &[ReadRequest, Write(FULL_OF_TWO), Stall], DOUBT },
    by_another_instance = { &[ReadRequest, Write(OTHER_INSTANCE), Stall], ELSEWHERE },
    by_503_without_the_word = { &[ReadRequest, Write(BARE_503), Stall], DOUBT },
    by_429_without_the_word = { &[ReadRequest, Write(BARE_429), Stall], DOUBT },
    by_408_without_the_word = { &[ReadRequest, Write(BARE_408), Stall], DOUBT },
    by_a_failure_of_its_own = { &[ReadRequest, Write(FAILED), Stall], 500 },
    by_a_failure_without_a_length = { &[ReadRequest, Write(UNFRAMED_404), Close], DOUBT },
    by_an_unknown_coding = { &[ReadRequest, Write(ODD_CODING), Close], DOUBT },
    by_two_lengths = { &[ReadRequest, Write(TWO_LENGTHS), Close], DOUBT },
    by_a_length_and_chunks = { &[ReadRequest, Write(LENGTH_AND_CHUNKS), Stall], DOUBT },
    by_another_protocol = { &[ReadRequest, Write(SWITCHING), Stall], DOUBT },
)]
fn an_effectful_request_ends(script: &'static [Step], status: u16) {
    on_one_thread(async move {
        let pair = Pair::start(script).await;
        let world = World::start(usual(), &[&pair.backends[0], &pair.backends[1]]).await;
        let asked = request("POST", "/e/x", "", "four").replace("Left: 2000", "Left: 150");
        let reply = world.ask(&asked).await;
        assert_eq!((reply.status(), reply.wait(), reply.whole), (status, None, true));
        let again = usize::from(status == ELSEWHERE);
        assert_eq!((pair.served(), pair.connections()), (again, 1 + again), "sent again or not");
        // A connection on which anything odd came is closed at once.
        if script.last() == Some(&Stall) && !ends_in_order(script) {
            until(|| pair.progress.steps() == script.len()).await;
        }
    });
}

/// Whether the answer was whole, proper and its request's, and came after the whole request.
fn ends_in_order(script: &[Step]) -> bool {
    script.first() == Some(&ReadRequest)
        && [FULL, QUOTA, FAILED_UNRUN, OTHER_INSTANCE, BARE_503, BARE_429, BARE_408, FAILED]
            .iter()
            .any(|proper| script.contains(&Write(proper)))
}

/// A kept connection that ended, or on which something came, before the next request: not a byte of that was written.
#[yare::parameterized(
    by_a_close = { &[ReadRequest, Write(GOOD), Close] },
    by_a_reset = { &[ReadRequest, Write(GOOD), Reset] },
    by_a_second_answer = { &[ReadRequest, Write(GOOD), Write(GOOD), Stall] },
    by_a_word_that_it_did_not_run = { &[ReadRequest, Write(GOOD), Write(FULL), Stall] },
    by_one_byte = { &[ReadRequest, Write(GOOD), Write("\r"), Stall] },
)]
fn a_kept_connection_is_left_before_a_byte_is_written(script: &'static [Step]) {
    on_one_thread(async move {
        let pair = Pair::start(script).await;
        let world = World::start(usual(), &[&pair.backends[0], &pair.backends[1]]).await;
        let asked = request("POST", "/e/x", "", "four");
        assert_eq!(world.ask(&asked).await.status(), 200);
        let ended = if script.last() == Some(&Stall) { script.len() - 1 } else { script.len() };
        until(|| pair.progress.steps() >= ended).await;
        assert_eq!((world.ask(&asked).await.status(), pair.served()), (200, 1));
        assert_eq!(pair.connections(), 2);
    });
}

/// What is said after the request was written on a kept connection is in doubt like on a new one.
#[yare::parameterized(
    by_a_reset = { &[ReadRequest, Write(GOOD), Read(1), Reset], DOUBT },
    by_a_close = { &[ReadRequest, Write(GOOD), ReadRequest, Close], DOUBT },
    by_silence = { &[ReadRequest, Write(GOOD), ReadRequest, Stall], SILENCE },
    by_a_late_second_answer = { &[ReadRequest, Write(GOOD), ReadRequest, Write(GOOD), Write(GOOD), Stall], DOUBT },
    by_a_late_word_that_the_other_did_not_run = { &[ReadRequest, Write(GOOD), ReadRequest, Write(FULL), Write(GOOD), Stall], DOUBT },
    by_a_word_that_it_did_not_run = { &[ReadRequest, Write(GOOD), ReadRequest, Write(FULL_OF_OTHER), Stall], ELSEWHERE },
)]
fn on_a_kept_connection_the_second_request_ends(script: &'static [Step], status: u16) {
    on_one_thread(async move {
        let pair = Pair::start(script).await;
        // Only the backend with the script is known until its connection is kept.
        let world = World::start(usual(), &[&pair.backends[0]]).await;
        assert_eq!(world.ask(&request("POST", "/e/x", "", "four")).await.status(), 200);
        let second = request("POST", "/e/x", "", "four").replace("Id: 7f", "Id: 7e");
        let left = if status == SILENCE { "Left: 150" } else { "Left: 2000" };
        let reply = world.ask(&second.replace("Left: 2000", left)).await;
        assert_eq!(reply.status(), status);
        assert_eq!(pair.served(), usize::from(status == ELSEWHERE));
    });
}

/// A refusal that comes twice, the second time late, must not count for the next attempt of the same request.
#[test]
fn a_second_refusal_does_not_speak_for_the_next_attempt() {
    on_one_thread(async {
        let script = &[ReadRequest, Write(FULL), ReadRequest, Write(FULL), Write(GOOD), Stall];
        let pair = Pair::start(script).await;
        // The only backend: the next attempt goes to it again.
        let world = World::start(usual(), &[&pair.backends[0]]).await;
        let reply = world.ask(&request("POST", "/e/x", "", "four")).await;
        assert_eq!((reply.status(), pair.served(), pair.connections()), (200, 1, 2));
        assert!(pair.progress.steps() <= 2, "the first connection carried it once");
    });
}

/// Nothing odd is ever followed by another request on its connection.
#[yare::parameterized(
    no_seal = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nContent-Length: 4\r\n\r\nfine" },
    an_encoding = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfine" },
    a_success_that_did_not_run = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfine" },
    a_failure_of_nobody = { "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" },
    a_failure_of_another = { "HTTP/1.1 500 Oh\r\nX-Attempt-Id: 7e\r\nContent-Length: 0\r\n\r\n" },
    a_length_and_chunks = { LENGTH_AND_CHUNKS },
    a_body_where_none_may_be = { "HTTP/1.1 204 No Content\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nfine" },
    more_than_the_length = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nfiner" },
    more_than_the_chunks = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n\r\n" },
    an_older_version = { "HTTP/1.0 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nfine" },
    its_last = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfine" },
    no_time_to_stay = { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7f\r\nX-Server-Seal: s\r\nKeep-Alive: timeout=0\r\nContent-Length: 4\r\n\r\nfine" },
)]
fn what_came_with_a_connection_ends_it(answer: &'static str) {
    on_one_thread(async move {
        let connections = Rc::new(Cell::new(0));
        let counted = connections.clone();
        let backend = ScriptedBackend::on_streams("i-1", "one", move |stream, _| {
            counted.set(counted.get() + 1);
            async move {
                let mut stream = BufReader::new(stream);
                while hear(&mut stream).await.is_some() {
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            }
        });
        let backend = backend.await;
        let world = World::start(usual(), &[&backend]).await;
        for asked in 1..=3 {
            world.ask(&request("POST", "/e/x", "", "four")).await;
            assert_eq!(connections.get(), asked, "one connection for each request");
            // It is left out for a while after a failure, unless somebody says that it is well again.
            for (call_count, overdue) in [(2 * asked, true), (2 * asked + 1, false)] {
                let backend = Backend { call_count, overdue, ..backend.backend.clone() };
                world.data_plane.update_backends(&[backend], false);
            }
        }
    });
}

/// An early answer leaves the rest of its request on the connection.
#[test]
fn a_connection_that_answered_before_the_whole_request_is_not_kept() {
    on_one_thread(async {
        let pair = Pair::start(&[ReadHead, Write(GOOD), Stall]).await;
        let world = World::start(usual(), &[&pair.backends[0], &pair.backends[1]]).await;
        let long = "x".repeat(900_000);
        let mut client = Client::connect(world.front).await;
        client.send(&request("POST", "/e/x", "", &long)).await;
        let reply = client.hear().await.expect("an answer");
        assert_eq!((reply.status(), &*reply.body), (200, &b"fine"[..]));
        assert_eq!(world.ask(&request("POST", "/e/x", "", "four")).await.status(), 200);
        assert_eq!((pair.served(), pair.connections()), (1, 2));
    });
}

/// A request whose body the gateway could not write whole may have run all the same.
#[test]
fn a_part_that_was_written_may_have_run() {
    on_one_thread(async {
        let pair = Pair::start(&[Read(1), Reset]).await;
        let world = World::start(usual(), &[&pair.backends[0], &pair.backends[1]]).await;
        let reply = world.ask(&request("POST", "/e/x", "", &"x".repeat(200_000))).await;
        assert_eq!((reply.status(), pair.served(), pair.connections()), (DOUBT, 0, 1));
    });
}

/// A client's body that breaks off never looks whole to a backend.
#[yare::parameterized(
    with_a_length = { "Content-Length: 900000", String::new(), "" },
    in_chunks = { "Transfer-Encoding: chunked", format!("{:x}\r\n", 400_000), "\r\n" },
)]
fn a_client_s_body_that_breaks_off_reaches_nobody_whole(framing: &str, before: String, after: &str) {
    let body = format!("{before}{}{after}", "x".repeat(400_000));
    let asked = request("POST", "/e/x", "", "").replace("Content-Length: 0", framing) + &body;
    on_one_thread(async move {
        let (read, over) = (Rc::<RefCell<Vec<u8>>>::default(), Rc::<Cell<bool>>::default());
        let (bytes, closed) = (read.clone(), over.clone());
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
        let world = World::start(usual(), &[&backend]).await;
        let mut client = Client::connect(world.front).await;
        client.send(&asked).await;
        until(|| !read.borrow().is_empty()).await;
        drop(client);
        until(|| over.get()).await;
        let read = read.borrow();
        assert!(read.starts_with(b"POST /e/x") && read.len() < 800_000 && !read.ends_with(b"0\r\n\r\n"));
        assert_eq!(backend.connections.get(), 1);
    });
}

/// A client that leaves ends its request where it is: what was not sent never is, what was sent is not sent again.
#[test]
fn what_a_client_leaves_is_not_sent_again() {
    on_one_thread(async {
        let pair = Pair::start(&[ReadRequest, Stall]).await;
        let world = World::start(usual(), &[&pair.backends[0], &pair.backends[1]]).await;
        let mut client = Client::connect(world.front).await;
        client.send(&request("POST", "/e/x", "", "four")).await;
        until(|| pair.progress.steps() == 1).await;
        drop(client);
        // Its connection to the backend is closed with it.
        until(|| pair.progress.steps() == 2).await;
        assert_eq!((pair.served(), pair.connections()), (0, 1));
    });
}

/// What runs when the process has to end gets no promise.
#[test]
fn at_the_end_of_the_process_nothing_is_promised_of_what_runs() {
    on_one_thread(async {
        let pair = Pair::start(&[ReadRequest, Stall]).await;
        let mut world = World::start(usual(), &[&pair.backends[0], &pair.backends[1]]).await;
        let mut client = Client::connect(world.front).await;
        client.send(&request("POST", "/e/x", "", "four").replace("Left: 2000", "Left: 300")).await;
        until(|| pair.progress.steps() == 1).await;
        drop(world.end.take());
        let status = client.hear().await.map(|reply| reply.status());
        assert!(status.is_none_or(|status| [502, 504].contains(&status)), "{status:?}");
        assert_eq!((pair.served(), pair.connections()), (0, 1));
        world.served.await.expect("an end");
    });
}
