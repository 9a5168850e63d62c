//! Handover under load between two processes of one gateway.

mod helper;

use helper::{Action, Backend, CounterMode, Setup, TestEnv, host_entry, ok, request, sleep_ms, wait_until};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

async fn env(setup: &Setup) -> TestEnv {
    TestEnv::start(setup, CounterMode::Normal).await
}

#[tokio::test(flavor = "multi_thread")]
async fn no_connection_fails_during_a_handover() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let setup = Setup {
        rate: 1e6,
        burst: 1e6,
        ..Setup::with_console(&[host_entry("b", backend.address, "in_service")])
    };
    let mut env = env(&setup).await;
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let mut load = Vec::new();
    for _ in 0..8 {
        let (at, stop, answered) = (env.gateway.address, stop.clone(), answered.clone());
        load.push(tokio::spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                // One connection per request, so that every request passes the listener.
                let stream = tokio::net::TcpStream::connect(at).await.expect("connect");
                let mut client = helper::Client(tokio::io::BufReader::new(stream));
                let reply = client.exchange(UP).await;
                assert_eq!(reply.status(), 200, "the health check is up");
                if reply.headers.contains_key("connection") {
                    continue;
                }
                // A refusal comes from the decision engine, not from the listener.
                let status = client.exchange(&request("look", 5000, "", "")).await.status();
                assert!([200, 429].contains(&status), "{status}");
                answered.fetch_add(1, Ordering::SeqCst);
            }
        }));
    }
    wait_until("requests", || answered.load(Ordering::SeqCst) > 50).await;
    let (mut open, mut idle) = (env.gateway.client().await, env.gateway.client().await);
    assert_eq!(open.exchange(UP).await.status(), 200);
    assert_eq!(idle.exchange(UP).await.status(), 200);
    let mut second = env.start_second(&setup).await;
    assert!(env.gateway.command("PING\n").await.starts_with("NO"));
    // Open connections close with their next answer, or after an idle timeout.
    let reply = open.exchange(&request("order", 5000, "", "b")).await;
    assert!([200, 429].contains(&reply.status()), "{}", reply.status());
    assert_eq!(reply.headers["connection"], "close");
    env.gateway.terminate();
    let mut rest = Vec::new();
    helper::wait_for("close of the connection", idle.0.read_to_end(&mut rest)).await.expect("clean close");
    assert_eq!(env.gateway.wait_exit().await.code(), Some(0));
    let before = answered.load(Ordering::SeqCst);
    wait_until("requests at the second process alone", || answered.load(Ordering::SeqCst) > before + 50)
        .await;
    stop.store(true, Ordering::SeqCst);
    for client in load {
        client.await.expect("all requests answered");
    }
    assert!(second.metrics().await.pointer("/ok/look").and_then(|n| n.as_u64()) >= Some(50));
    second.terminate();
    assert_eq!(second.wait_exit().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn two_processes_share_the_quota_of_one_gateway() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    // The rate is so low that nothing is refilled during the test.
    let host_entries = [host_entry("b", backend.address, "in_service")];
    let setup = Setup { rate: 0.001, burst: 20.0, ..Setup::with_console(&host_entries) };
    let env = env(&setup).await;
    let mut client = env.gateway.client().await;
    for _ in 0..5 {
        assert_eq!(client.exchange(&request("look", 5000, "", "")).await.status(), 200);
    }
    let second = env.start_second(&setup).await;
    let mut served = 0;
    for _ in 0..30 {
        served +=
            usize::from(second.client().await.exchange(&request("look", 5000, "", "")).await.status() == 200);
    }
    assert_eq!(served, 15, "exactly the rest of the first process's quota");
    let reply = client.exchange(&request("look", 5000, "", "")).await;
    assert_eq!(reply.status(), 429, "the first process has no quota left");
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_commands_to_one_process_apply_to_the_other() {
    let (a, b) =
        (Backend::start(&[Action::Write(ok("a"))]).await, Backend::start(&[Action::Write(ok("b"))]).await);
    let setup = Setup::with_console(&[
        host_entry("b0", a.address, "in_service"),
        host_entry("b1", b.address, "in_service"),
    ]);
    let env = env(&setup).await;
    let mut long = env.gateway.client().await;
    assert!(env.gateway.command("DETACH b0\n").await.starts_with("YES"));
    assert!(env.gateway.command("LAMEDUCK\n").await.starts_with("YES"));
    // A pending request keeps the first process alive.
    *b.actions.lock().expect("lock") = vec![Action::Hang, Action::Write(ok("b"))];
    long.write(&request("order", 20_000, "", "b")).await;
    wait_until("attempt", || b.attempts() == 1).await;
    let second = env.start_second(&setup).await;
    assert_eq!(second.metrics().await["pool_ejected"], 1);
    assert_eq!(second.client().await.exchange(UP).await.status(), 503, "lame-duck mode is handed over");
    assert!(second.command("REJOIN\n").await.starts_with("YES"));
    for _ in 0..20 {
        assert_eq!(second.client().await.exchange(&request("look", 5000, "", "")).await.body, b"b");
    }
    assert_eq!(a.attempts(), 0);
    assert!(second.command("ATTACH b0\n").await.starts_with("YES"));
    env.gateway.wait_for_metric("/pool_ejected", 0).await;
    assert!(env.gateway.command("DETACH b1\n").await.starts_with("YES"));
    second.wait_for_metric("/pool_ejected", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_handover_changes_nothing() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let setup = Setup::with_console(&[host_entry("b", backend.address, "in_service")]);
    let env = env(&setup).await;
    let path = setup.dir.as_ref().expect("directory").0.join("fennelscale-t.handover");
    for partial_message in ["", "ta"] {
        let mut other = UnixStream::connect(&path).await.expect("handover socket");
        helper::wait_for("listener's byte", other.read_u8()).await.expect("byte");
        tokio::io::AsyncWriteExt::write_all(&mut other, partial_message.as_bytes()).await.expect("write");
    }
    let mut client = env.gateway.client().await;
    let reply = client.exchange(&request("look", 900, "", "")).await;
    assert_eq!((reply.status(), reply.headers.contains_key("connection")), (200, false));
    assert!(env.gateway.command("PING\n").await.starts_with("YES"));
    // The next successor takes over as usual.
    let second = env.start_second(&setup).await;
    assert_eq!(second.client().await.exchange(&request("look", 900, "", "")).await.status(), 200);
    // The socket file of a killed process does not prevent a start.
    drop((second, env));
    sleep_ms(100).await;
    std::fs::write(&path, "").unwrap_or(());
    let env = TestEnv::start(&setup, CounterMode::Normal).await;
    let answer = tokio::time::timeout(Duration::from_secs(30), env.gateway.command("PING\n")).await;
    assert!(answer.expect("reply").starts_with("YES"));
}
