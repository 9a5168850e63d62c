//! Retries: which requests may be sent to a second backend, and which must not.

mod helper;

use helper::{
    Action, Client, HttpMessage, ScriptedBackend, TestGateway, config, default_config, request, respond_ok,
    route, run_on_one_thread, status_only, success, wait_until,
};
use protocol::Phase;
use std::rc::Rc;
use tokio::sync::Notify;

/// Two backends. `faulty_response` handles the first request that either of them receives; all others succeed.
async fn backend_pair(faulty_response: fn(&HttpMessage) -> Action) -> [ScriptedBackend; 2] {
    let first = Rc::new(std::cell::Cell::new(true));
    let respond = move |first: Rc<std::cell::Cell<bool>>| {
        move |request: &HttpMessage| {
            if first.replace(false) { faulty_response(request) } else { respond_ok(request) }
        }
    };
    [
        ScriptedBackend::start("i-1", "one", respond(first.clone())).await,
        ScriptedBackend::start("i-2", "one", respond(first)).await,
    ]
}

fn wrong_id(request: &HttpMessage) -> Action {
    Action::Respond(success(request, "", "b").replace("X-Attempt-Id: 7f", "X-Attempt-Id: 7e"))
}
fn no_id(request: &HttpMessage) -> Action {
    Action::Respond(success(request, "", "b").replace("X-Attempt-Id: 7f\r\n", ""))
}
fn no_seal(request: &HttpMessage) -> Action {
    Action::Respond(success(request, "", "b").replace("X-Server-Seal: s\r\n", ""))
}
fn encoded(request: &HttpMessage) -> Action {
    Action::Respond(success(request, "Content-Encoding: gzip\r\n", "b"))
}
fn truncated(request: &HttpMessage) -> Action {
    Action::RespondAndClose(success(request, "", "b").replace("Content-Length: 1", "Content-Length: 9"))
}
fn unframed(request: &HttpMessage) -> Action {
    Action::RespondAndClose(success(request, "", "b").replace("Content-Length: 1\r\n", ""))
}
fn garbage(_: &HttpMessage) -> Action {
    Action::RespondAndClose("not HTTP at all\r\n\r\n".into())
}
fn silence(_: &HttpMessage) -> Action {
    Action::RespondAndClose(String::new())
}
fn failed(request: &HttpMessage) -> Action {
    Action::Respond(status_only(request, "503 Service Unavailable", ""))
}

#[yare::parameterized(
    wrong_id = { crate::wrong_id }, no_id = { crate::no_id }, no_seal = { crate::no_seal }, encoded = { crate::encoded }, truncated = { crate::truncated },
    unframed = { crate::unframed }, garbage = { crate::garbage }, silence = { crate::silence }, failed = { crate::failed },
)]
fn a_request_that_may_have_run_fails_unless_it_is_pure_and_can_be_retried(
    faulty_response: fn(&HttpMessage) -> Action,
) {
    run_on_one_thread(async move {
        let backends = backend_pair(faulty_response).await;
        let gateway = TestGateway::start(default_config(), &[&backends[0], &backends[1]]).await;
        let reply = gateway.exchange(&request("POST", "/e/x", "", "b")).await;
        assert_eq!((reply.status(), reply.retry_after()), (502, None));
        assert_eq!(
            backends.iter().map(ScriptedBackend::request_count).sum::<usize>(),
            1,
            "the request reaches one backend only"
        );

        let backends = backend_pair(faulty_response).await;
        let gateway = TestGateway::start(default_config(), &[&backends[0], &backends[1]]).await;
        let reply = gateway.exchange(&request("POST", "/p/x", "", "b")).await;
        assert_eq!((reply.status(), &*reply.body), (200, &b"fine"[..]));
        assert_eq!(backends.iter().map(ScriptedBackend::request_count).collect::<Vec<_>>(), [1, 1]);
    });
}

#[test]
fn an_effectful_request_is_retried_if_the_backend_states_that_it_did_not_run() {
    run_on_one_thread(async {
        let full = |request: &HttpMessage| {
            Action::Respond(status_only(request, "503 Service Unavailable", "X-Not-Executed: 1\r\n"))
        };
        let backends = backend_pair(full).await;
        let gateway = TestGateway::start(default_config(), &[&backends[0], &backends[1]]).await;
        assert_eq!(gateway.exchange(&request("POST", "/e/x", "", "b")).await.status(), 200);
        assert_eq!(backends.iter().map(ScriptedBackend::request_count).collect::<Vec<_>>(), [1, 1]);
        assert!(backends.iter().all(|backend| backend.last_request().body == b"b"));
    });
}

#[test]
fn bytes_after_a_complete_answer_are_discarded_with_the_connection() {
    run_on_one_thread(async {
        let twice = |request: &HttpMessage| {
            Action::Respond(success(request, "", "one") + &success(request, "", "two"))
        };
        let backend = ScriptedBackend::start("i-1", "one", twice).await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        let mut client = Client::connect(gateway.client_address).await;
        for n in 1..=3 {
            let reply =
                client.exchange(&request("POST", "/e/x", "", "b")).await.expect("the gateway answers");
            assert_eq!((reply.status(), &*reply.body, backend.connections.get()), (200, &b"one"[..], n));
        }
    });
}

#[test]
fn a_request_reaches_no_more_backends_than_max_tries() {
    run_on_one_thread(async {
        let backends = backend_pair(silence).await;
        let single_try = config(
            2,
            &[route("p", "/p/", "pure", "one", "").replace(r#""max_tries":2"#, r#""max_tries":1"#)],
        );
        let gateway = TestGateway::start(single_try, &[&backends[0], &backends[1]]).await;
        assert_eq!(gateway.exchange(&request("GET", "/p/x", "", "")).await.status(), 502);
        assert_eq!(backends.iter().map(ScriptedBackend::request_count).sum::<usize>(), 1);
    });
}

#[test]
fn a_misdirected_backend_is_excluded_until_a_newer_update() {
    run_on_one_thread(async {
        let misdirecting = ScriptedBackend::start("i-1", "one", |request| {
            Action::Respond(status_only(request, "421 Misdirected Request", "X-Instance-Id: i-7\r\n"))
        });
        let misdirecting = misdirecting.await;
        let gateway = TestGateway::start(default_config(), &[&misdirecting]).await;
        let request_text = request("POST", "/e/x", "", "b");
        assert_eq!((gateway.exchange(&request_text).await.status(), misdirecting.request_count()), (503, 1));
        let healthy = ScriptedBackend::start("i-2", "one", respond_ok).await;
        gateway.data_plane.update_backends(&[healthy.backend.clone(), misdirecting.backend.clone()], false);
        for _ in 0..4 {
            assert_eq!(gateway.exchange(&request_text).await.status(), 200);
        }
        assert_eq!(misdirecting.request_count(), 1);
        gateway.data_plane.update_backends(
            &[misdirecting.with_phase(Phase::Serving, 2), healthy.with_phase(Phase::Draining, 2)],
            false,
        );
        gateway.exchange(&request_text).await;
        assert_eq!(misdirecting.request_count(), 2);
    });
}

#[test]
fn a_draining_backend_gets_no_new_requests_and_finishes_open_ones() {
    run_on_one_thread(async {
        let release = Rc::new(Notify::new());
        let released = release.clone();
        let one = ScriptedBackend::start("i-1", "one", move |request| {
            Action::RespondAfter(released.clone(), success(request, "", "late"))
        })
        .await;
        let gateway = TestGateway::start(default_config(), &[&one]).await;
        let mut client = Client::connect(gateway.client_address).await;
        client.send(&request("POST", "/e/x", "", "b")).await;
        wait_until(|| one.request_count() == 1).await;
        let two = ScriptedBackend::start("i-2", "one", respond_ok).await;
        gateway.data_plane.update_backends(&[one.with_phase(Phase::Draining, 2), two.backend.clone()], false);
        // An outdated list does not revert the draining phase.
        gateway.data_plane.update_backends(&[one.backend.clone(), two.backend.clone()], true);
        for _ in 0..3 {
            assert_eq!(gateway.exchange(&request("POST", "/e/x", "", "b")).await.status(), 200);
        }
        assert_eq!((one.request_count(), two.request_count()), (1, 3));
        release.notify_one();
        assert_eq!(client.receive().await.expect("the gateway answers").body, b"late");
    });
}

#[test]
fn at_shutdown_connections_are_closed_and_open_requests_are_answered() {
    run_on_one_thread(async {
        let release = Rc::new(Notify::new());
        let released = release.clone();
        let backend = ScriptedBackend::start("i-1", "one", move |request| match &*request.line {
            "POST /e/slow HTTP/1.1" => Action::RespondAfter(released.clone(), success(request, "", "late")),
            _ => respond_ok(request),
        });
        let backend = backend.await;
        let mut gateway = TestGateway::start(default_config(), &[&backend]).await;
        let ready = "GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n";
        let mut platform = Client::connect(gateway.readiness_address).await;
        assert_eq!(platform.exchange(ready).await.expect("the gateway answers").status(), 200);
        let mut client = Client::connect(gateway.client_address).await;
        client.send(&request("POST", "/e/slow", "", "b")).await;
        wait_until(|| backend.request_count() == 1).await;
        drop(gateway.shutdown.take());
        wait_until(|| !gateway.data_plane.is_ready()).await;
        assert_eq!(platform.exchange(ready).await.expect("the gateway answers").status(), 503);
        let reply = gateway.exchange(&request("POST", "/e/quick", "", "b")).await;
        assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
        // The gateway accepts no connection any more, but keeps running for the open request.
        while tokio::net::TcpStream::connect(gateway.client_address).await.is_ok() {
            tokio::task::yield_now().await;
        }
        assert!(!gateway.server.is_finished());
        release.notify_one();
        let reply = client.receive().await.expect("the gateway answers");
        assert_eq!((&*reply.body, reply.header("connection")), (&b"late"[..], Some("close")));
        gateway.server.await.expect("the server stops");
    });
}

#[test]
fn a_refused_connection_means_that_the_request_did_not_run() {
    run_on_one_thread(async {
        let mut unreachable = ScriptedBackend::start("i-1", "one", respond_ok).await.backend;
        let unused = std::net::TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a free port is available");
        unreachable.address = unused.to_string();
        let gateway = TestGateway::start(default_config(), &[]).await;
        gateway.data_plane.update_backends(std::slice::from_ref(&unreachable), true);
        let reply = gateway.exchange(&request("POST", "/e/x", "", "b")).await;
        assert!(reply.status() == 503 && reply.retry_after().is_some(), "{reply:?}");
        let healthy = ScriptedBackend::start("i-2", "one", respond_ok).await;
        gateway.data_plane.update_backends(std::slice::from_ref(&healthy.backend), false);
        for _ in 0..4 {
            assert_eq!(gateway.exchange(&request("POST", "/e/x", "", "b")).await.status(), 200);
        }
    });
}

#[test]
fn without_capacity_the_refusal_comes_early_and_the_unit_is_refunded() {
    run_on_one_thread(async {
        let mut backend = ScriptedBackend::start("i-1", "one", |_| Action::Hang).await;
        backend.backend.capacity = 1;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        let mut open_clients = Vec::new();
        for n in 1..=2 {
            let mut client = Client::connect(gateway.client_address).await;
            client.send(&request("POST", "/e/x", "", "b")).await;
            wait_until(|| backend.request_count() == n).await;
            open_clients.push(client);
        }
        let started = std::time::Instant::now();
        let reply = gateway.exchange(&request("POST", "/e/x", "", "b")).await;
        assert!(reply.status() == 503 && reply.retry_after().is_some(), "{reply:?}");
        assert!(started.elapsed().as_millis() < 600, "the refusal comes well within the goal of 1,000 ms");
        assert_eq!(
            (backend.request_count(), gateway.admission.acquired.get(), gateway.admission.refunded.get()),
            (2, 3, 1)
        );
        // If a client disconnects before its request was sent, the unit is refunded. After that, the unit stays spent.
        let mut client = Client::connect(gateway.client_address).await;
        client.send(&request("POST", "/e/x", "", "b")).await;
        wait_until(|| gateway.admission.acquired.get() == 4).await;
        drop(client);
        wait_until(|| gateway.admission.refunded.get() == 2).await;
        drop(open_clients);
        wait_until(|| gateway.data_plane.active_requests() == 0).await;
        assert_eq!((backend.request_count(), gateway.admission.refunded.get()), (2, 2));
    });
}
