//! The operators' console: commands and replies, metrics, detached backends and lame-duck mode.

mod helper;

use helper::{
    Action, Backend, CounterMode, Setup, TestEnv, host_entry, host_list, ok, request, sleep_ms, wait_until,
};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

async fn with_console(backends: &[&Backend]) -> (TestEnv, Setup) {
    let host_entries: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(i, b)| host_entry(&format!("b{i}"), b.address, "in_service"))
        .collect();
    let setup = Setup::with_console(&host_entries);
    (TestEnv::start(&setup, CounterMode::Normal).await, setup)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_command_gets_a_reply_and_invalid_commands_a_reason() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let (env, _setup) = with_console(&[&backend]).await;
    let long_line = "DETACH ".to_owned() + &"x".repeat(5000) + "\n";
    let cases = [
        ("PING\n", "YES"),
        ("PING\r\n", "YES"),
        ("DETACH b0\n", "YES"),
        ("DETACH b0\n", "YES"),
        ("ATTACH b0\n", "YES"),
        ("ATTACH b0\n", "YES"),
        ("LAMEDUCK\n", "YES"),
        ("REJOIN\n", "YES"),
        ("DETACH\n", "NO the backend's ID is missing"),
        ("ATTACH \n", "NO the backend's ID is missing"),
        ("DETACH b1\n", "NO backend has this ID"),
        ("ATTACH b1\n", "NO backend has this ID"),
        ("DETACH b0 b0\n", "NO too many words"),
        ("PONG\n", "NO such call"),
        ("\n", "NO call came"),
        (&long_line, "NO the line is too long"),
    ];
    for (call, start) in cases {
        let reply = env.gateway.command(call).await;
        assert!(reply.starts_with(start), "{call:?}: {reply:?}");
        assert_eq!((reply.lines().count(), reply.ends_with('\n')), (1, true), "{call:?}: {reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_console_connections_do_not_block_others() {
    let (env, _setup) = with_console(&[]).await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut caller =
            TcpStream::connect(env.gateway.console.expect("console address")).await.expect("connect");
        if n % 2 == 0 {
            caller.write_all(b"PIN").await.expect("write");
        }
        silent.push(caller);
    }
    let started = Instant::now();
    assert!(env.gateway.command("PING\n").await.starts_with("YES"));
    // Far below the read timeout of a silent connection; the margin is for a busy machine.
    assert!(started.elapsed() < Duration::from_secs(8), "{:?}", started.elapsed());
    // The oldest connections were closed, which bounds the file descriptors.
    let mut closed_connections = 0;
    for mut caller in silent {
        let closed = tokio::time::timeout(Duration::from_millis(200), caller.read(&mut [0; 8])).await;
        closed_connections += usize::from(closed.is_ok());
    }
    assert!(closed_connections >= 30, "{closed_connections}");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_match_what_peers_saw() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let (env, _setup) = with_console(&[&backend]).await;
    let fresh = env.gateway.metrics().await;
    for name in ["ok", "shed", "errors"] {
        assert_eq!(fresh[name], serde_json::json!({"look": 0, "save": 0, "order": 0}), "{name}");
    }
    for (name, value) in [("tries", 0), ("active", 0), ("pool_size", 1), ("pool_ejected", 0)] {
        assert_eq!(fresh[name], value, "{name}");
    }
    let mut client = env.gateway.client().await;
    for _ in 0..3 {
        assert_eq!(client.exchange(&request("look", 900, "", "")).await.status(), 200);
    }
    assert_eq!(client.exchange(&request("order", 900, "", "b")).await.status(), 200);
    assert_eq!(client.exchange(UP).await.status(), 200);
    assert_eq!(client.exchange("GET /unheard HTTP/1.1\r\nHost: x\r\n\r\n").await.status(), 400);
    *backend.actions.lock().expect("lock") = vec![Action::Write(ERROR.into()), Action::Hang];
    assert_eq!(env.gateway.client().await.exchange(&request("order", 900, "", "b")).await.status(), 502);
    // The failed backend is ejected for a while, and the decision engine queues a request for a shorter time.
    let mut shed = 0;
    while backend.attempts() < 6 {
        let mut client = env.gateway.client().await;
        client.write(&request("look", 60_000, "", "")).await;
        tokio::select! {
            reply = client.read() => {
                assert_eq!(reply.status(), 429);
                shed += 1;
            }
            () = wait_until("attempt that hangs", || backend.attempts() == 6) => {
                env.gateway.wait_for_metric("/active", 1).await;
                assert_eq!(env.gateway.metrics().await["tries"], 6);
            }
        }
    }
    // The client has left.
    env.gateway.wait_for_metric("/active", 0).await;
    let end = env.gateway.metrics().await;
    assert_eq!(end["ok"], serde_json::json!({"look": 3, "save": 0, "order": 1}));
    assert_eq!(end["shed"], serde_json::json!({"look": shed, "save": 0, "order": 0}));
    assert_eq!(end["errors"], serde_json::json!({"look": 0, "save": 0, "order": 1}));
    assert_eq!(end["tries"], backend.attempts());
}

#[tokio::test(flavor = "multi_thread")]
async fn detached_backend_stays_detached_after_updates_sighup_and_restart() {
    let (a, b) =
        (Backend::start(&[Action::Write(ok("a"))]).await, Backend::start(&[Action::Write(ok("b"))]).await);
    let (mut env, setup) = with_console(&[&a, &b]).await;
    let host_entries = [host_entry("b0", a.address, "in_service"), host_entry("b1", b.address, "in_service")];
    let mut client = env.gateway.client().await;
    for _ in 0..2 {
        assert!(env.gateway.command("DETACH b0\n").await.starts_with("YES"));
    }
    let metrics = env.gateway.metrics().await;
    assert_eq!((&metrics["pool_size"], &metrics["pool_ejected"]), (&2.into(), &1.into()));
    let before = env.discovery.calls.load(Ordering::SeqCst);
    env.discovery.publish(host_list(2, true, &host_entries));
    env.discovery.polled_again(before).await;
    env.gateway.reload(env.discovery.address, env.counter.address, &setup);
    env.gateway.wait_for_metric("/config_applied", 1).await;
    let attempts_before = a.attempts();
    for _ in 0..20 {
        assert_eq!(client.exchange(&request("look", 900, "", "")).await.body, b"b");
    }
    // A new process reads the detached backends from the file and ignores a damaged file.
    env.gateway.terminate();
    assert_eq!(env.gateway.wait_exit().await.code(), Some(0));
    env = TestEnv::start(&setup, CounterMode::Normal).await;
    env.gateway.wait_for_metric("/pool_ejected", 1).await;
    let mut client = env.gateway.client().await;
    for _ in 0..20 {
        assert_eq!(client.exchange(&request("look", 900, "", "")).await.body, b"b");
    }
    assert_eq!(a.attempts(), attempts_before);
    assert!(env.gateway.command("ATTACH b0\n").await.starts_with("YES"));
    env.gateway.wait_for_metric("/pool_ejected", 0).await;
    helper::wait_for("request at the attached backend", async {
        while a.attempts() == attempts_before {
            assert_eq!(client.exchange(&request("look", 900, "", "")).await.status(), 200);
        }
    })
    .await;
    let dir = &setup.dir.as_ref().expect("directory").0;
    std::fs::write(dir.join("fennelscale-t.detached"), "[\"b0").expect("write damaged file");
    env = TestEnv::start(&setup, CounterMode::Normal).await;
    assert_eq!(env.gateway.metrics().await["pool_ejected"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn lame_duck_mode_finishes_requests_and_closes_connections_until_rejoin() {
    let backend = Backend::start(&[Action::Write(ok("x")), Action::WriteAfter(600, ok("late"))]).await;
    let (env, _setup) = with_console(&[&backend]).await;
    let (mut idle, mut busy) = (env.gateway.client().await, env.gateway.client().await);
    assert_eq!(idle.exchange(&request("look", 900, "", "")).await.status(), 200);
    busy.write(&request("order", 5000, "", "b")).await;
    wait_until("attempt", || backend.attempts() == 2).await;
    // A client that is sending its head when the drain begins.
    let mut slow = env.gateway.client().await;
    let text = request("look", 5000, "", "");
    slow.write(&text[..40]).await;
    sleep_ms(50).await;
    assert!(env.gateway.command("LAMEDUCK\n").await.starts_with("YES"));
    let reply = env.gateway.client().await.exchange(UP).await;
    assert_eq!((reply.status(), reply.headers["connection"].as_str()), (503, "close"));
    let mut rest = Vec::new();
    helper::wait_for("close of the idle connection", idle.0.read_to_end(&mut rest))
        .await
        .expect("clean close");
    assert_eq!(rest, b"");
    let reply = busy.read().await;
    assert_eq!((reply.status(), reply.body.as_slice()), (200, b"late".as_slice()));
    assert_eq!(reply.headers["connection"], "close");
    // Requests that arrive nevertheless are served, and their connections are closed.
    *backend.actions.lock().expect("lock") = vec![Action::Write(ok("x"))];
    slow.write(&text[40..]).await;
    let reply = slow.read().await;
    assert_eq!((reply.status(), reply.headers["connection"].as_str()), (200, "close"));
    let reply = env.gateway.client().await.exchange(&request("look", 900, "", "")).await;
    assert_eq!((reply.status(), reply.headers["connection"].as_str()), (200, "close"));
    assert!(env.gateway.command("REJOIN\n").await.starts_with("YES"));
    let mut client = env.gateway.client().await;
    let reply = client.exchange(UP).await;
    assert_eq!((reply.status(), reply.headers.contains_key("connection")), (200, false));
    // Longer than the lame-duck mode keeps an idle connection.
    sleep_ms(600).await;
    assert_eq!(client.exchange(&request("look", 900, "", "")).await.status(), 200);
}
