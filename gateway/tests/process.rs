//! Start, shutdown and limits of the process.

mod helper;

use helper::{
    Action, Backend, Counter, CounterMode, Discovery, Setup, TestEnv, host_entry, host_list, ok, request,
};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_answers_pending_and_late_requests_and_exits_with_status_0() {
    let backend = Backend::start(&[Action::Hang, Action::Write(ok("x"))]).await;
    let mut env = TestEnv::with_backends(&[&backend]).await;
    let (mut early, mut free) = (env.gateway.client().await, env.gateway.client().await);
    assert_eq!(free.exchange(UP).await.status(), 200);
    early.write(&request("order", 2000, "", "b")).await;
    helper::wait_until("attempt", || backend.attempts() == 1).await;
    env.gateway.terminate();
    helper::wait_for("lame-duck answer", async {
        loop {
            let reply = env.gateway.client().await.exchange(UP).await;
            if reply.status() == 503 {
                break assert_eq!(reply.headers["connection"], "close");
            }
        }
    })
    .await;
    for client in [&mut env.gateway.client().await, &mut free] {
        let reply = client.exchange(&request("look", 900, "", "")).await;
        assert_eq!((reply.status(), reply.headers["connection"].as_str()), (200, "close"));
    }
    // A pending request waits for its backend until its deadline and then gets a timeout.
    let reply = early.read().await;
    assert_eq!((reply.status(), reply.headers["connection"].as_str()), (504, "close"));
    let mut rest = Vec::new();
    helper::wait_for("close of the connection", early.0.read_to_end(&mut rest)).await.expect("clean close");
    assert_eq!(rest, b"");
    assert_eq!(env.gateway.wait_exit().await.code(), Some(0));
    assert_eq!(backend.attempts(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn sighup_moves_discovery_and_counter_without_dropping_clients() {
    let (old, new) =
        (Backend::start(&[Action::Hang]).await, Backend::start(&[Action::Write(ok("new"))]).await);
    let setup = Setup {
        rate: 1.0,
        burst: 1.0,
        ..Setup::with_backends(&[host_entry("old", old.address, "in_service")])
    };
    let mut env = TestEnv::start(&setup, CounterMode::Normal).await;
    let mut early = env.gateway.client().await;
    early.write(&request("order", 5000, "", "b")).await;
    helper::wait_until("attempt", || old.attempts() == 1).await;
    let (discovery, counter) = (Discovery::start().await, Counter::start(CounterMode::Normal).await);
    env.gateway.reload(discovery.address, counter.address, &setup);
    discovery.publish(host_list(2, true, &[host_entry("new", new.address, "in_service")]));
    discovery.polled_again(1).await;
    // Other customers, whose leases have to come from the counter.
    helper::wait_for("call of the new counter", async {
        for customer in 100..1000 {
            let text = request("look", 900, "", "").replace("b4d65521", &format!("b4d65{customer}"));
            let reply = env.gateway.client().await.exchange(&text).await;
            assert_eq!((reply.status(), reply.body.as_slice()), (200, b"new".as_slice()));
            if counter.calls.load(Ordering::SeqCst) > 0 {
                return;
            }
        }
        panic!("the counter was not called at its new address");
    })
    .await;
    // An invalid file changes nothing.
    env.gateway.reload_text("{");
    assert_eq!(early.read().await.status(), 504, "the pending request is answered");
    assert_eq!(env.gateway.client().await.exchange(UP).await.status(), 200);
    env.gateway.terminate();
    assert_eq!(env.gateway.wait_exit().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_closes_idle_connections_while_new_ones_are_accepted() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let mut env = TestEnv::with_backends(&[&backend]).await;
    let mut idle = env.gateway.client().await;
    assert_eq!(idle.exchange(UP).await.status(), 200);
    env.gateway.terminate();
    // A client would resend a request that crossed this close on a new connection.
    let mut rest = Vec::new();
    helper::wait_for("close of the connection", idle.0.read_to_end(&mut rest)).await.expect("clean close");
    assert_eq!(rest, b"");
    let reply = env.gateway.client().await.exchange(&request("order", 900, "", "b")).await;
    assert_eq!((reply.status(), reply.headers["connection"].as_str()), (200, "close"));
    assert_eq!(env.gateway.wait_exit().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_head_does_not_delay_the_shutdown() {
    let mut env = TestEnv::with_backends(&[]).await;
    let mut slow = env.gateway.client().await;
    slow.write("GET /up HTTP/1.1\r\nHo").await;
    assert_eq!(env.gateway.client().await.exchange(UP).await.status(), 200);
    env.gateway.terminate();
    // Far below the timeout for a head.
    let end = tokio::time::timeout(Duration::from_secs(30), env.gateway.wait_exit()).await;
    assert_eq!(end.expect("the process exits in time").code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_request_soon_gets_an_error_or_a_close() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let whole = request("order", 900, "", "body");
    let cases = ["", "GET /up HTTP/1.1\r\nHo", whole.strip_suffix("dy").expect("body")];
    let mut peers = Vec::new();
    for text in cases {
        let mut peer = env.gateway.client().await;
        peer.write(text).await;
        peers.push(peer);
    }
    // The protocol requires three seconds; the margin is for a busy machine.
    let deadline = tokio::time::Instant::now() + Duration::from_secs(6);
    for (text, mut peer) in cases.iter().zip(peers) {
        let mut rest = String::new();
        let end = tokio::time::timeout_at(deadline, peer.0.read_to_string(&mut rest)).await;
        assert!(end.is_ok(), "neither error nor close after {text:?}: {rest:?}");
        assert!(rest.is_empty() || rest.starts_with("HTTP/1.1 4"), "{rest:?}");
    }
    assert_eq!(backend.attempts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_clients_above_the_limit_are_closed_for_new_ones() {
    let backend = Backend::start(&[Action::WriteAfter(1500, ok("x"))]).await;
    let setup =
        Setup { sockets: 52, ..Setup::with_backends(&[host_entry("b", backend.address, "in_service")]) };
    let env = TestEnv::start(&setup, helper::CounterMode::Normal).await;
    let mut busy = env.gateway.client().await;
    busy.write(&request("look", 50_000, "", "")).await;
    helper::wait_until("attempt", || backend.attempts() == 1).await;
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = env.gateway.client().await;
        assert_eq!(client.exchange(UP).await.status(), 200);
        clients.push(client);
    }
    // The busy connection was not among the closed ones.
    assert_eq!(busy.read().await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_clients_do_not_exclude_others() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let setup =
        Setup { sockets: 52, ..Setup::with_backends(&[host_entry("b", backend.address, "in_service")]) };
    let env = TestEnv::start(&setup, helper::CounterMode::Normal).await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut client = env.gateway.client().await;
        // Half of the clients have started a request that they never complete.
        if n % 2 == 0 {
            client.write("GET /up HTTP/1.1\r\nHo").await;
        }
        silent.push(client);
    }
    let mut client = env.gateway.client().await;
    client.write(&request("look", 5000, "", "")).await;
    // Far below the timeout for a head.
    let reply = tokio::time::timeout(Duration::from_secs(30), client.read()).await;
    assert_eq!(reply.expect("answer").status(), 200);
}

#[test]
fn invalid_configuration_is_reported_in_one_line_with_status_2() {
    let end = r#""seed":"1","settings":{"fleet-size":1,"classes":[{"name":"a","effect":"idempotent"}]}}"#;
    let texts = [
        String::new(),
        "{}".into(),
        r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","settings":{}}"#.into(),
        format!(r#"{{"discovery":"127.0.0.1:9",{end}"#),
        format!(r#"{{"listen":"here","discovery":"127.0.0.1:9",{end}"#),
        format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","known":{{"seq":1}},{end}"#),
        format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9",{end}"#).replace("\"1\"", "\"z\""),
    ];
    for text in texts {
        let (status, stderr) = helper::failed_start(&text);
        assert_eq!(status, Some(2), "{text}");
        assert_eq!(stderr.lines().count(), 1, "{text}");
    }
}
