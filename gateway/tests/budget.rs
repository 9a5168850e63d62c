//! The time budget of a request from its arrival to its answer: the deadlines sent to backends, and the timeouts.

mod helper;

use helper::{
    Action, Backend, Client, CounterMode, Message, Setup, TestEnv, host_entry, ok, read_message, request,
    sleep_ms, wait_for, wait_until,
};
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

/// The deadlines that a backend received, in ms.
fn deadlines(backend: &Backend) -> Vec<u64> {
    let received = backend.received.lock().expect("lock");
    received.iter().map(|h| h.headers["req-deadline-ms"].parse().expect("integer")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn safe_request_at_a_stalled_backend_is_retried_elsewhere_in_time() {
    let (silent, good) =
        (Backend::start(&[Action::Hang]).await, Backend::start(&[Action::Write(ok("good"))]).await);
    let host_entries =
        [host_entry("b0", silent.address, "in_service"), host_entry("b1", good.address, "in_service")];
    let env = TestEnv::start(&Setup::with_console(&host_entries), CounterMode::Normal).await;
    let mut stalled = 0;
    // Which backend is tried first is random.
    for _ in 0..12 {
        let before = silent.attempts();
        let reply = env.gateway.client().await.exchange(&request("look", 3000, "", "")).await;
        assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"good"[..]));
        if silent.attempts() > before {
            stalled += 1;
            let (first, second) = (deadlines(&silent), deadlines(&good));
            let (first, second) = (first.last().expect("deadline"), second.last().expect("deadline"));
            // The first attempt is cancelled after half of the latency target, 400 ms, and the reserve of 25 ms is not
            // part of any deadline. Both count from the arrival, however long the first connection took.
            assert!(*first <= 3000 - 25 && *second <= 3000 - 25 - 400, "{first}, then {second}");
        }
    }
    assert!(stalled > 0);
    let metrics = env.gateway.metrics().await;
    assert_eq!(metrics["tries_cut"]["look"], stalled);
    assert_eq!(metrics["tries_used_up"]["look"], 0);
    let backend = &metrics["time_ms"]["look"]["backend"];
    assert_eq!(backend[0], 12 + stalled);
    assert!(backend[1].as_f64() >= Some(400.0 * stalled as f64), "{metrics}");
    assert_eq!(metrics["time_ms"]["look"]["block"][0], 12);
    assert_eq!(metrics["time_ms"]["look"]["pass_on"][0], 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn unsafe_request_at_a_stalled_backend_times_out_and_is_sent_once() {
    let (one, two) = (Backend::start(&[Action::Hang]).await, Backend::start(&[Action::Hang]).await);
    let env = TestEnv::with_backends(&[&one, &two]).await;
    let started = Instant::now();
    let reply = env.gateway.client().await.exchange(&request("order", 1500, "", "b")).await;
    assert_eq!(reply.status(), 504);
    // On a busy machine a timer may fire late, so only the lower bound can be checked exactly.
    assert!(started.elapsed() >= Duration::from_millis(1400), "{:?}", started.elapsed());
    sleep_ms(300).await;
    assert_eq!(one.attempts() + two.attempts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn time_spent_waiting_for_a_lease_reduces_the_backend_deadline() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env = TestEnv::start(
        &Setup::with_backends(&[host_entry("b", backend.address, "in_service")]),
        CounterMode::Delayed(45),
    )
    .await;
    assert_eq!(env.gateway.client().await.exchange(&request("order", 900, "", "b")).await.status(), 200);
    let deadline = deadlines(&backend)[0];
    assert!(deadline <= 900 - 25 - 45, "{deadline}");
}

/// A listener with a full accept queue: further connections are neither accepted nor refused.
async fn full_listener() -> (SocketAddr, Vec<TcpStream>, TcpListener) {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind("127.0.0.1:0".parse().expect("address")).expect("bind");
    let listener = socket.listen(1).expect("listener");
    let at = listener.local_addr().expect("address");
    let mut queue = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(at)).await
    {
        queue.push(stream);
        assert!(queue.len() < 100, "the accept queue never fills");
    }
    (at, queue, listener)
}

#[tokio::test(flavor = "multi_thread")]
async fn connect_timeout_is_no_execution_and_leaves_time_for_a_retry() {
    let (at, _queue, _listener) = full_listener().await;
    let good = Backend::start(&[Action::Write(ok("good"))]).await;
    let host_entries = [host_entry("b0", at, "in_service"), host_entry("b1", good.address, "in_service")];
    let env = TestEnv::start(&Setup::with_backends(&host_entries), CounterMode::Normal).await;
    for _ in 0..10 {
        let reply = env.gateway.client().await.exchange(&request("order", 2000, "", "b")).await;
        assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"good"[..]));
    }
    let sent_deadlines = deadlines(&good);
    // Some attempts waited 250 ms, the connect timeout, for the other backend first.
    assert!(
        sent_deadlines.len() == 10 && sent_deadlines.iter().any(|ms| *ms <= 1975 - 250),
        "{sent_deadlines:?}"
    );
    // Without another backend, and with less time than the connect timeout: refused, as the request was never sent.
    let env = TestEnv::start(&Setup::with_backends(&host_entries[..1]), CounterMode::Normal).await;
    let reply = env.gateway.client().await.exchange(&request("order", 200, "", "b")).await;
    assert_eq!(reply.status(), 429);
    assert!(reply.headers.contains_key("retry-after"));
}

/// A backend that breaks each connection after a number of bytes of the request, or after the whole request and a
/// number of bytes of the answer. Counts the complete requests by id.
async fn breaking_backend(
    break_at: Arc<Mutex<usize>>, complete_requests: Arc<Mutex<HashMap<String, u32>>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (break_at, complete_requests) = (*break_at.lock().expect("lock"), complete_requests.clone());
            tokio::spawn(async move {
                let (mut text, mut byte) = (Vec::new(), [0]);
                while text.len() < break_at && stream.read(&mut byte).await.is_ok_and(|n| n == 1) {
                    text.push(byte[0]);
                    if text.ends_with(b"\r\n\r\nbody") {
                        let text_so_far = String::from_utf8_lossy(&text).into_owned();
                        let id =
                            text_so_far.lines().find_map(|l| l.strip_prefix("req-id: ")).expect("request id");
                        *complete_requests.lock().expect("lock").entry(id.to_owned()).or_default() += 1;
                        let answer = ok("done");
                        let max = (break_at - text.len()).min(answer.len());
                        stream.write_all(&answer.as_bytes()[..max]).await.unwrap_or(());
                        return;
                    }
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn unsafe_request_runs_at_most_once_wherever_its_connection_breaks() {
    let break_at = Arc::new(Mutex::new(usize::MAX));
    let complete_requests = Arc::<Mutex<HashMap<String, u32>>>::default();
    let host_entries = [
        host_entry("b0", breaking_backend(break_at.clone(), complete_requests.clone()).await, "in_service"),
        host_entry("b1", breaking_backend(break_at.clone(), complete_requests.clone()).await, "in_service"),
    ];
    let env = TestEnv::start(&Setup::with_backends(&host_entries), CounterMode::Normal).await;
    let ran = || complete_requests.lock().expect("lock").len();
    let (mut bytes, mut answered, mut broken) = (0, 0, 0);
    // Break the connection one byte later in each round, until the backend reads the whole request and writes the whole
    // answer.
    while answered < 3 {
        *break_at.lock().expect("lock") = bytes;
        let before = ran();
        let status = env.gateway.client().await.exchange(&request("order", 3000, "", "body")).await.status();
        match (ran() - before, status) {
            (1, 200) => answered += 1,
            // A request that was read whole and got no whole answer must not be reported as refused.
            (1, 502) => broken += 1,
            // Either answer is correct for a request that was not read whole: all of it may have been written.
            (0, 429 | 502) => {}
            other => panic!("{other:?} at byte {bytes}"),
        }
        // Both backends answer again; otherwise they would be ejected for longer and longer.
        *break_at.lock().expect("lock") = usize::MAX;
        for _ in 0..2 {
            env.gateway.client().await.exchange(&request("order", 3000, "", "body")).await;
        }
        bytes += 1;
    }
    assert!(bytes > 150 && broken == ok("done").len(), "{bytes} bytes, {broken} truncated answers");
    assert!(
        complete_requests.lock().expect("lock").values().all(|runs| *runs == 1),
        "a request was executed twice"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_budget_limits_the_load_of_failing_backends() {
    let (bad, worse) = (
        Backend::start(&[Action::Write(ERROR.into())]).await,
        Backend::start(&[Action::Write(ERROR.into())]).await,
    );
    let env = TestEnv::start(
        &Setup {
            gateways: 30,
            ..Setup::with_console(&[
                host_entry("b0", bad.address, "in_service"),
                host_entry("b1", worse.address, "in_service"),
            ])
        },
        CounterMode::Normal,
    )
    .await;
    let mut first_attempts = 0;
    for _ in 0..40 {
        let before = bad.attempts() + worse.attempts();
        let mut client = env.gateway.client().await;
        assert_eq!(client.exchange(&request("look", 900, "", "")).await.status(), 429);
        first_attempts += usize::from(bad.attempts() + worse.attempts() > before);
    }
    let retries = bad.attempts() + worse.attempts() - first_attempts;
    assert!(retries as f64 <= 2.0 + 0.2 * first_attempts as f64, "{retries} after {first_attempts}");
    assert!(env.gateway.metrics().await["retries_denied"].as_u64() > Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn pending_requests_are_answered_before_the_process_ends() {
    let backend = Backend::start(&[Action::Hang]).await;
    let setup =
        Setup { grace_ms: 1000, ..Setup::with_backends(&[host_entry("b", backend.address, "in_service")]) };
    let mut env = TestEnv::start(&setup, CounterMode::Normal).await;
    let mut pending: Vec<Client> = Vec::new();
    for class in ["look", "order"] {
        let mut client = env.gateway.client().await;
        client.write(&request(class, 500_000, "", "")).await;
        pending.push(client);
    }
    wait_until("both attempts", || backend.attempts() == 2).await;
    env.gateway.terminate();
    let statuses = [pending[0].read().await.status(), pending[1].read().await.status()];
    assert!(statuses == [502, 502] || statuses == [504, 504], "{statuses:?}");
    assert_eq!(env.gateway.wait_exit().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn pending_request_of_the_old_process_keeps_its_deadline_after_a_handover() {
    let (silent, good) =
        (Backend::start(&[Action::Hang]).await, Backend::start(&[Action::Write(ok("good"))]).await);
    let setup = Setup::with_console(&[host_entry("b0", silent.address, "in_service")]);
    let mut env = TestEnv::start(&setup, CounterMode::Normal).await;
    let mut pending = env.gateway.client().await;
    let started = Instant::now();
    pending.write(&request("order", 2500, "", "b")).await;
    wait_until("attempt", || silent.attempts() == 1).await;
    let host_entries =
        [host_entry("b0", silent.address, "in_service"), host_entry("b1", good.address, "in_service")];
    let known_backends = helper::host_list(2, true, &host_entries);
    env.discovery.polled_again(0).await;
    env.discovery.publish(known_backends);
    env.discovery.polled_again(1).await;
    let second = env.start_second(&setup).await;
    env.gateway.terminate();
    for _ in 0..6 {
        let reply = second.client().await.exchange(&request("look", 3000, "", "")).await;
        assert_eq!((reply.status(), reply.body.as_slice()), (200, &b"good"[..]));
    }
    assert_eq!(pending.read().await.status(), 504);
    assert!(started.elapsed() >= Duration::from_millis(2400), "{:?}", started.elapsed());
    assert_eq!(env.gateway.wait_exit().await.code(), Some(0));
    let orders = |b: &Backend| {
        b.received.lock().expect("lock").iter().filter(|h: &&Message| h.line.starts_with("POST")).count()
    };
    assert_eq!((orders(&silent), orders(&good)), (1, 0), "the new process does not send the pending request");
}

/// Passes a listener to the new process, and a handover state in the time of a clock that is an hour behind.
async fn predecessor(path: std::path::PathBuf, listener: std::net::TcpListener, host_list: String) {
    let socket = UnixListener::bind(path).expect("socket");
    let (stream, _) = socket.accept().await.expect("successor");
    stream.writable().await.expect("writable");
    {
        let fds = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        assert!(control.push(SendAncillaryMessage::ScmRights(&fds)));
        sendmsg(&stream, &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL).expect("send listener");
    }
    drop(listener);
    let mut stream = BufReader::new(stream);
    let mut message = String::new();
    stream.read_line(&mut message).await.expect("line");
    assert_eq!(message, "take\n");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("system time").as_secs_f64() * 1000.0;
    let now = unix - 3_600_000.0;
    // A quota window of 10,000 s, current on the sender's clock, with three leased units left and no unused units in
    // store.
    let length = 10_000_000.0;
    let salt = 7;
    let window = ((now + f64::from(salt) / 1024.0 * length) / length).floor() as u64;
    let text = format!(
        r#"{{"estate":{{"customers":{{"00000000b4d65521":{{"plan":0,"spread":1.0,"place":0,"salt":{salt},
        "window":{window},"lease":3.0,"added":10.0,"seen":10.0,"store":0.0,"store_at":{now},"known":true,
        "heard":{now},"demand":0.001,"demand_at":{now},"ask_from":{now}}}}},"ease":1.0}},
        "now":{now},"list":{host_list},"lame_duck":false,"guests":0}}"#
    );
    let text = text.replace('\n', "") + "\n";
    stream.write_all(text.as_bytes()).await.expect("write state");
    std::future::pending().await
}

#[tokio::test(flavor = "multi_thread")]
async fn handed_over_state_stays_valid_after_a_clock_change() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let host_entries = [host_entry("b", backend.address, "in_service")];
    let setup = Setup { rate: 0.001, burst: 10.0, ..Setup::with_console(&host_entries) };
    let path = setup.dir.as_ref().expect("directory").0.join("fennelscale-t.handover");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener");
    listener.set_nonblocking(true).expect("set nonblocking");
    let other = tokio::spawn(predecessor(path.clone(), listener, helper::host_list(1, true, &host_entries)));
    wait_until("handover socket", || path.exists()).await;
    let env = TestEnv::start(&setup, CounterMode::Busy).await;
    let mut served = 0;
    for _ in 0..8 {
        let reply = env.gateway.client().await.exchange(&request("look", 5000, "", "")).await;
        served += usize::from(reply.status() == 200);
    }
    // If the new process used its own clock, the lease would belong to an earlier window, and the units refilled in an
    // hour would be available.
    assert_eq!(served, 3, "exactly the three units that were handed over");
    other.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_grace_period_is_reported() {
    for value in ["0", "-1", "1e99", "\"soon\""] {
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{{"grace_ms":{value}}},
            "settings":{{"fleet-size":1,"classes":[{{"name":"a","effect":"idempotent"}}]}}}}"#
        );
        let (status, message) = helper::failed_start(&text);
        assert_eq!((status, message.lines().count()), (Some(2), 1), "{value}: {message}");
        assert!(message.contains("grace_ms"), "{message}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn budget_of_a_pipelined_request_starts_on_arrival() {
    let backend = Backend::start(&[Action::WriteAfter(400, ok("x")), Action::Write(ok("y"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let mut client = env.gateway.client().await;
    client.write(&(request("order", 2000, "", "a") + &request("order", 2000, "", "b"))).await;
    assert_eq!(client.read().await.body, b"x");
    let reply = wait_for("second answer", read_message(&mut client.0)).await.expect("answer");
    assert_eq!(reply.body, b"y");
    let sent_deadlines = deadlines(&backend);
    assert!(sent_deadlines[1] <= 2000 - 25 - 400, "{sent_deadlines:?}");
}
