//! Attempts at backends: exactly which attempts are made and what the client receives.

mod helper;

use fennelscale::observe::usage::ConnectionUse;
use fennelscale::wire::body::OutgoingBody;
use fennelscale::wire::connection::{Connection, WriteProgress};
use helper::{
    Action, Backend, CounterMode, Gateway, Setup, TestEnv, host_entry, host_list, ok, request, sleep_ms,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket};

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const UNCLEAR: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const CUT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this";
const GARBAGE: &str = "MUMBLE 7 FOO\r\n\r\n";

/// A port that is bound but not listened on: connections are refused, and no other process can bind the port.
fn refusing_port() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind("127.0.0.1:0".parse().expect("address")).expect("bind");
    let address = socket.local_addr().expect("address");
    (socket, address)
}

#[tokio::test(flavor = "multi_thread")]
async fn unsafe_request_that_may_have_run_fails_without_retry() {
    for action in [
        Action::Write(ERROR.into()),
        Action::Write(UNCLEAR.into()),
        Action::WriteAndClose(String::new()),
        Action::WriteAndClose(CUT.into()),
        Action::WriteAndClose(GARBAGE.into()),
    ] {
        let (a, b) = (
            Backend::start(std::slice::from_ref(&action)).await,
            Backend::start(std::slice::from_ref(&action)).await,
        );
        let env = TestEnv::with_backends(&[&a, &b]).await;
        let mut client = env.gateway.client().await;
        assert_eq!(client.exchange(&request("order", 900, "", "b")).await.status(), 502, "{action:?}");
        client.expect_silence().await;
        assert_eq!(a.attempts() + b.attempts(), 1, "{action:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn safe_request_is_retried_once_after_any_failure() {
    for action in
        [Action::Write(ERROR.into()), Action::WriteAndClose(String::new()), Action::WriteAndClose(CUT.into())]
    {
        let (a, b) = (
            Backend::start(std::slice::from_ref(&action)).await,
            Backend::start(std::slice::from_ref(&action)).await,
        );
        let env = TestEnv::with_backends(&[&a, &b]).await;
        let mut client = env.gateway.client().await;
        let reply = client.exchange(&request("look", 900, "", "")).await;
        assert_eq!(reply.status(), 429, "{action:?}");
        assert!(reply.headers.contains_key("retry-after"));
        client.expect_silence().await;
        assert_eq!(a.attempts() + b.attempts(), 2, "{action:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn declined_unsafe_request_is_sent_to_another_backend() {
    let full = [Action::Write(FULL.into()), Action::Write(ok("second"))];
    let (a, b) = (Backend::start(&full).await, Backend::start(&[Action::Write(ok("first"))]).await);
    let env = TestEnv::with_backends(&[&a, &b]).await;
    let mut client = env.gateway.client().await;
    for _ in 0..10 {
        assert_eq!(client.exchange(&request("order", 900, "", "b")).await.status(), 200);
    }
    assert_eq!(a.attempts() + b.attempts(), if a.attempts() > 0 { 11 } else { 10 });
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_that_refuses_connections_fails_no_request() {
    let (_socket, refusing_address) = refusing_port();
    let live = Backend::start(&[Action::Write(ok("x"))]).await;
    let host_entries =
        [host_entry("a", refusing_address, "in_service"), host_entry("b", live.address, "in_service")];
    let env = TestEnv::start(&Setup::with_backends(&host_entries), CounterMode::Normal).await;
    let mut client = env.gateway.client().await;
    for _ in 0..10 {
        assert_eq!(client.exchange(&request("order", 900, "", "b")).await.status(), 200);
    }
    assert_eq!(live.attempts(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_closed_by_the_backend_is_not_used() {
    let backend = Backend::start(&[Action::WriteAndClose(ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let mut client = env.gateway.client().await;
    for n in 1..=10 {
        assert_eq!(client.exchange(&request("order", 900, "", "b")).await.status(), 200);
        helper::wait_until("backend's close", || backend.closed() == n).await;
        helper::wait_until("close at the gateway", || backend.open_connections() == 0).await;
    }
    assert_eq!(backend.attempts(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_or_gone_backend_gets_no_new_requests() {
    let gone_update = |address| host_list(2, false, &[host_entry("b0", address, "terminated")]);
    let draining_update = |address| host_list(2, false, &[host_entry("b0", address, "terminating")]);
    let missing_list = |_| host_list(2, true, &[]);
    for update in [&draining_update as &dyn Fn(_) -> String, &gone_update, &missing_list] {
        let backend = Backend::start(&[Action::Write(ok("x"))]).await;
        let env = TestEnv::with_backends(&[&backend]).await;
        let mut client = env.gateway.client().await;
        assert_eq!(client.exchange(&request("look", 900, "", "")).await.status(), 200);
        env.discovery.polled_again(0).await;
        env.discovery.publish(update(backend.address));
        env.discovery.polled_again(1).await;
        helper::wait_until("close of the idle connection", || backend.closed() == 1).await;
        let reply = client.exchange(&request("look", 900, "", "")).await;
        assert_eq!(reply.status(), 429);
        assert_eq!(backend.attempts(), 1);
        // A backend that is back in service is used again.
        env.discovery.publish(host_list(3, false, &[host_entry("b0", backend.address, "in_service")]));
        env.discovery.polled_again(2).await;
        assert_eq!(client.exchange(&request("look", 900, "", "")).await.status(), 200);
        assert_eq!(backend.attempts(), 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_list_changes_nothing_and_polling_continues() {
    let (old, new) = (
        Backend::start(&[Action::Write(ok("old"))]).await,
        Backend::start(&[Action::Write(ok("new"))]).await,
    );
    let env = TestEnv::with_backends(&[&old]).await;
    let mut client = env.gateway.client().await;
    let calls = || env.discovery.calls.load(Ordering::SeqCst);
    for text in
        ["no list", "{}", r#"{"seq":9,"whole":true,"hosts":[{"host":"x","dial":"y","health":"in_service"}]}"#]
    {
        env.discovery.polled_again(0).await;
        let before = calls();
        env.discovery.publish(text.into());
        env.discovery.polled_again(before).await;
        assert_eq!(client.exchange(&request("look", 900, "", "")).await.body, b"old");
    }
    let before = calls();
    env.discovery.publish(host_list(5, true, &[host_entry("n", new.address, "in_service")]));
    env.discovery.polled_again(before).await;
    assert_eq!(client.exchange(&request("look", 900, "", "")).await.body, b"new");
}

#[tokio::test(flavor = "multi_thread")]
async fn known_backends_are_served_without_discovery_and_counter() {
    let (_socket, unused_address) = refusing_port();
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let setup = Setup::with_backends(&[host_entry("b", backend.address, "in_service")]);
    let gateway = Gateway::start(unused_address, unused_address, &setup).await;
    let mut client = gateway.client().await;
    assert_eq!(client.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.status(), 200);
    for _ in 0..5 {
        assert_eq!(client.exchange(&request("order", 900, "", "b")).await.status(), 200);
    }
    assert_eq!(backend.attempts(), 5);
}

#[tokio::test]
async fn broken_connection_reports_how_much_was_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    // A request larger than all socket buffers, to a peer that reads little and closes, is not written whole.
    for (size, read_bytes, progress) in
        [(64 << 20, 10, WriteProgress::Partly), (10, 40, WriteProgress::Whole)]
    {
        let mut connection =
            Connection::connect(address, Duration::from_secs(60), &Rc::default(), ConnectionUse::Backend)
                .await
                .expect("connection");
        let (mut peer, _) = listener.accept().await.expect("connection");
        let request = hyper::Request::post("/x")
            .body(OutgoingBody::new(vec![b'x'; size].into(), None))
            .expect("request");
        let close = async move {
            let mut bytes = vec![0; read_bytes];
            peer.read_exact(&mut bytes).await.expect("bytes");
            sleep_ms(100).await;
        };
        let (result, ()) = tokio::join!(connection.exchange(request, 100), close);
        assert_eq!(result.expect_err("connection error"), progress);
        assert!(!connection.is_open());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn timeout_closes_the_idle_connections_to_the_backend() {
    let backend = Backend::start(&[Action::WriteAfter(300, ok("x"))]).await;
    let env = TestEnv::with_backends(&[&backend]).await;
    let (mut one, mut two) = (env.gateway.client().await, env.gateway.client().await);
    let (first, second) = (request("look", 900, "", ""), request("look", 900, "", ""));
    let (first, second) = tokio::join!(one.exchange(&first), two.exchange(&second));
    assert_eq!((first.status(), second.status(), backend.opened(), backend.closed()), (200, 200, 2, 0));
    *backend.actions.lock().expect("lock") = vec![Action::Hang];
    assert_eq!(one.exchange(&request("order", 700, "", "b")).await.status(), 504);
    helper::wait_until("end of both connections", || backend.closed() == 2).await;
    assert_eq!(backend.attempts(), 3);
}
