//! The time of a request, from the door to its answer: what backends are told of it, and who gets what is left.

mod helper;

use helper::{Backend, Client, Do, Heard, Mood, Setup, World, hear, ok, pause, request, row, soon, until};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use std::collections::HashMap;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UnixListener};

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

/// What a backend was told that it has, of all that it heard.
fn deadlines(backend: &Backend) -> Vec<u64> {
    let heard = backend.heard.lock().expect("lock");
    heard.iter().map(|h| h.headers["req-deadline-ms"].parse().expect("a whole number")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_safe_request_at_a_stalled_backend_is_answered_by_the_good_one_in_time() {
    let (silent, good) = (Backend::start(&[Do::Hang]).await, Backend::start(&[Do::Say(ok("good"))]).await);
    let rows = [row("b0", silent.at, "in_service"), row("b1", good.at, "in_service")];
    let world = World::set(&Setup::operated(&rows), Mood::Adds).await;
    let mut stalled = 0;
    // Which one is asked first is a matter of chance.
    for _ in 0..12 {
        let before = silent.attempts();
        let reply = world.gateway.client().await.ask(&request("look", 3000, "", "")).await;
        assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"good"[..]));
        if silent.attempts() > before {
            stalled += 1;
            let (first, second) = (deadlines(&silent), deadlines(&good));
            let (first, second) = (first.last().expect("told"), second.last().expect("told"));
            // Half of the aim is 400 ms, and the reserve of 25 ms is never told to anyone. Both hold from when the
            // request came, however long its first connection took.
            assert!(*first <= 3000 - 25 && *second <= 3000 - 25 - 400, "{first}, then {second}");
        }
    }
    assert!(stalled > 0);
    let figures = world.gateway.figures().await;
    assert_eq!(figures["tries_cut"]["look"], stalled);
    assert_eq!(figures["tries_used_up"]["look"], 0);
    let backend = &figures["time_ms"]["look"]["backend"];
    assert_eq!(backend[0], 12 + stalled);
    assert!(backend[1].as_f64() >= Some(400.0 * stalled as f64), "{figures}");
    assert_eq!(figures["time_ms"]["look"]["block"][0], 12);
    assert_eq!(figures["time_ms"]["look"]["pass_on"][0], 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsafe_request_at_a_stalled_backend_is_answered_before_its_client_gives_up_and_sent_once() {
    let (one, two) = (Backend::start(&[Do::Hang]).await, Backend::start(&[Do::Hang]).await);
    let world = World::with(&[&one, &two]).await;
    let begun = Instant::now();
    let reply = world.gateway.client().await.ask(&request("order", 1500, "", "b")).await;
    assert_eq!(reply.status(), 504);
    // Of a timer that must not run late on any machine only the near side can be asked exactly.
    assert!(begun.elapsed() >= Duration::from_millis(1400), "{:?}", begun.elapsed());
    pause(300).await;
    assert_eq!(one.attempts() + two.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_was_waited_for_a_block_is_not_told_to_the_backend_again() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::set(&Setup::knowing(&[row("b", backend.at, "in_service")]), Mood::Late(45)).await;
    assert_eq!(world.gateway.client().await.ask(&request("order", 900, "", "b")).await.status(), 200);
    let told = deadlines(&backend)[0];
    assert!(told <= 900 - 25 - 45, "{told}");
}

/// A listener that lets nobody in: its line is full, and what comes further is not even refused.
async fn shut() -> (SocketAddr, Vec<TcpStream>, TcpListener) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let at = listener.local_addr().expect("an address");
    let mut line = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(at)).await
    {
        line.push(stream);
        assert!(line.len() < 100, "everybody is let in");
    }
    (at, line, listener)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_that_lets_nobody_in_never_ran_and_leaves_the_rest_to_the_next() {
    let (at, _line, _listener) = shut().await;
    let good = Backend::start(&[Do::Say(ok("good"))]).await;
    let rows = [row("b0", at, "in_service"), row("b1", good.at, "in_service")];
    let world = World::set(&Setup::knowing(&rows), Mood::Adds).await;
    for _ in 0..10 {
        let reply = world.gateway.client().await.ask(&request("order", 2000, "", "b")).await;
        assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"good"[..]));
    }
    let told = deadlines(&good);
    // Some were held up by the other one for the 250 ms that a connection may take.
    assert!(told.len() == 10 && told.iter().any(|ms| *ms <= 1975 - 250), "{told:?}");
    // With nobody else there, and less time than a connection may take: refused, as it never ran.
    let world = World::set(&Setup::knowing(&rows[..1]), Mood::Adds).await;
    let reply = world.gateway.client().await.ask(&request("order", 200, "", "b")).await;
    assert_eq!(reply.status(), 429);
    assert!(reply.headers.contains_key("retry-after"));
}

/// A backend that breaks each connection after so many bytes of the request, or after all of it and so many bytes
/// of the answer, and counts the requests that came whole by their id.
async fn breaking(at: Arc<Mutex<usize>>, whole: Arc<Mutex<HashMap<String, u32>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (at, whole) = (*at.lock().expect("lock"), whole.clone());
            tokio::spawn(async move {
                let (mut text, mut byte) = (Vec::new(), [0]);
                while text.len() < at && stream.read(&mut byte).await.is_ok_and(|n| n == 1) {
                    text.push(byte[0]);
                    if text.ends_with(b"\r\n\r\nbody") {
                        let text_so_far = String::from_utf8_lossy(&text).into_owned();
                        let id = text_so_far.lines().find_map(|l| l.strip_prefix("req-id: ")).expect("an id");
                        *whole.lock().expect("lock").entry(id.to_owned()).or_default() += 1;
                        let answer = ok("done");
                        let most = (at - text.len()).min(answer.len());
                        stream.write_all(&answer.as_bytes()[..most]).await.unwrap_or(());
                        return;
                    }
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsafe_request_runs_once_at_most_wherever_its_connection_breaks() {
    let at = Arc::new(Mutex::new(usize::MAX));
    let whole = Arc::<Mutex<HashMap<String, u32>>>::default();
    let rows = [
        row("b0", breaking(at.clone(), whole.clone()).await, "in_service"),
        row("b1", breaking(at.clone(), whole.clone()).await, "in_service"),
    ];
    let world = World::set(&Setup::knowing(&rows), Mood::Adds).await;
    let ran = || whole.lock().expect("lock").len();
    let (mut bytes, mut answered, mut broken) = (0, 0, 0);
    // Until all of the request has come and all of the answer is given.
    while answered < 3 {
        *at.lock().expect("lock") = bytes;
        let before = ran();
        let status = world.gateway.client().await.ask(&request("order", 3000, "", "body")).await.status();
        match (ran() - before, status) {
            (1, 200) => answered += 1,
            // What came whole and was not answered whole is no refusal.
            (1, 502) => broken += 1,
            // What did not come whole may be told as either: all of it may have been on its way.
            (0, 429 | 502) => {}
            other => panic!("{other:?} at byte {bytes}"),
        }
        // Both are well again, or they would be left alone for ever longer.
        *at.lock().expect("lock") = usize::MAX;
        for _ in 0..2 {
            world.gateway.client().await.ask(&request("order", 3000, "", "body")).await;
        }
        bytes += 1;
    }
    assert!(bytes > 150 && broken == ok("done").len(), "{bytes} bytes, broken off {broken} times");
    assert!(whole.lock().expect("lock").values().all(|runs| *runs == 1), "run twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_part_of_the_backends_does_not_double_the_load() {
    let (bad, worse) =
        (Backend::start(&[Do::Say(ERROR.into())]).await, Backend::start(&[Do::Say(ERROR.into())]).await);
    let world = World::set(
        &Setup {
            gateways: 30,
            ..Setup::operated(&[row("b0", bad.at, "in_service"), row("b1", worse.at, "in_service")])
        },
        Mood::Adds,
    )
    .await;
    let mut fresh = 0;
    for _ in 0..40 {
        let before = bad.attempts() + worse.attempts();
        let mut client = world.gateway.client().await;
        assert_eq!(client.ask(&request("look", 900, "", "")).await.status(), 429);
        fresh += usize::from(bad.attempts() + worse.attempts() > before);
    }
    let further = bad.attempts() + worse.attempts() - fresh;
    assert!(further as f64 <= 2.0 + 0.2 * fresh as f64, "{further} after {fresh}");
    assert!(world.gateway.figures().await["retries_denied"].as_u64() > Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_outlives_the_process_that_holds_it() {
    let backend = Backend::start(&[Do::Hang]).await;
    let setup = Setup { grace_ms: 1000, ..Setup::knowing(&[row("b", backend.at, "in_service")]) };
    let mut world = World::set(&setup, Mood::Adds).await;
    let mut held: Vec<Client> = Vec::new();
    for class in ["look", "order"] {
        let mut client = world.gateway.client().await;
        client.write(&request(class, 500_000, "", "")).await;
        held.push(client);
    }
    until("both attempts", || backend.attempts() == 2).await;
    world.gateway.terminate();
    let statuses = [held[0].read().await.status(), held[1].read().await.status()];
    assert!(statuses == [502, 502] || statuses == [504, 504], "{statuses:?}");
    assert_eq!(world.gateway.ended().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_the_old_process_holds_keeps_its_time_while_a_new_one_serves() {
    let (silent, good) = (Backend::start(&[Do::Hang]).await, Backend::start(&[Do::Say(ok("good"))]).await);
    let setup = Setup::operated(&[row("b0", silent.at, "in_service")]);
    let mut world = World::set(&setup, Mood::Adds).await;
    let mut held = world.gateway.client().await;
    let begun = Instant::now();
    held.write(&request("order", 2500, "", "b")).await;
    until("the attempt", || silent.attempts() == 1).await;
    let rows = [row("b0", silent.at, "in_service"), row("b1", good.at, "in_service")];
    let known = helper::list(2, true, &rows);
    world.discovery.asked_again(0).await;
    world.discovery.tell(known);
    world.discovery.asked_again(1).await;
    let second = world.beside(&setup).await;
    world.gateway.terminate();
    for _ in 0..6 {
        let reply = second.client().await.ask(&request("look", 3000, "", "")).await;
        assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"good"[..]));
    }
    assert_eq!(held.read().await.status(), 504);
    assert!(begun.elapsed() >= Duration::from_millis(2400), "{:?}", begun.elapsed());
    assert_eq!(world.gateway.ended().await.code(), Some(0));
    let orders = |b: &Backend| {
        b.heard.lock().expect("lock").iter().filter(|h: &&Heard| h.line.starts_with("POST")).count()
    };
    assert_eq!((orders(&silent), orders(&good)), (1, 0), "the new process knows nothing of it");
}

/// Gives a listener to the process that asks for it, and an estate in the time of a clock that is an hour behind.
async fn predecessor(path: std::path::PathBuf, listener: std::net::TcpListener, list: String) {
    let socket = UnixListener::bind(path).expect("a socket");
    let (stream, _) = socket.accept().await.expect("the new process");
    stream.writable().await.expect("writable");
    {
        let fds = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        assert!(control.push(SendAncillaryMessage::ScmRights(&fds)));
        sendmsg(&stream, &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL).expect("sent");
    }
    drop(listener);
    let mut stream = BufReader::new(stream);
    let mut said = String::new();
    stream.read_line(&mut said).await.expect("a line");
    assert_eq!(said, "take\n");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_secs_f64() * 1000.0;
    let now = unix - 3_600_000.0;
    // A turn of 10,000 s: the window at that time, with what is left of its block and nothing in the store.
    let length = 10_000_000.0;
    let salt = 7;
    let window = ((now + f64::from(salt) / 1024.0 * length) / length).floor() as u64;
    let text = format!(
        r#"{{"estate":{{"customers":{{"00000000b4d65521":{{"plan":0,"spread":1.0,"place":0,"salt":{salt},
        "window":{window},"lease":3.0,"added":10.0,"seen":10.0,"store":0.0,"store_at":{now},"known":true,
        "heard":{now},"demand":0.001,"demand_at":{now},"ask_from":{now}}}}},"ease":1.0}},
        "now":{now},"list":{list},"lame_duck":false,"guests":0}}"#
    );
    let text = text.replace('\n', "") + "\n";
    stream.write_all(text.as_bytes()).await.expect("handed over");
    std::future::pending().await
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_handed_over_holds_although_the_system_s_clock_was_set_meanwhile() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let rows = [row("b", backend.at, "in_service")];
    let setup = Setup { rate: 0.001, burst: 10.0, ..Setup::operated(&rows) };
    let path = setup.place.as_ref().expect("a place").0.join("fennelscale-t.handover");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    listener.set_nonblocking(true).expect("set");
    let other = tokio::spawn(predecessor(path.clone(), listener, helper::list(1, true, &rows)));
    until("the other process", || path.exists()).await;
    let world = World::set(&setup, Mood::Busy).await;
    let mut served = 0;
    for _ in 0..8 {
        let reply = world.gateway.client().await.ask(&request("look", 5000, "", "")).await;
        served += usize::from(reply.status() == 200);
    }
    // In its own time the block would belong to a window long past, and a whole hour's fill would have come in.
    assert_eq!(served, 3, "the three units handed over, and no more");
    other.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unusable_time_to_end_in_is_named() {
    for value in ["0", "-1", "1e99", "\"soon\""] {
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{{"grace_ms":{value}}},
            "settings":{{"fleet-size":1,"classes":[{{"name":"a","effect":"idempotent"}}]}}}}"#
        );
        let (status, said) = helper::refused_start(&text);
        assert_eq!((status, said.lines().count()), (Some(2), 1), "{value}: {said}");
        assert!(said.contains("grace_ms"), "{said}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pipelined_request_has_waited_since_it_came() {
    let backend = Backend::start(&[Do::SayLater(400, ok("x")), Do::Say(ok("y"))]).await;
    let world = World::with(&[&backend]).await;
    let mut client = world.gateway.client().await;
    client.write(&(request("order", 2000, "", "a") + &request("order", 2000, "", "b"))).await;
    assert_eq!(client.read().await.body, b"x");
    let reply = soon("the second answer", hear(&mut client.0)).await.expect("an answer");
    assert_eq!(reply.body, b"y");
    let told = deadlines(&backend);
    assert!(told[1] <= 2000 - 25 - 400, "{told:?}");
}
