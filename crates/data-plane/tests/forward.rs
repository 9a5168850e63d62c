//! Forwarding of requests and answers: what is passed on, what is removed, and what is rejected.

mod helper;

use helper::{
    Action, Client, ScriptedBackend, TestGateway, config, default_config, request, respond_ok, route,
    run_on_one_thread, status_only, success, wait_until,
};
use std::time::Duration;

#[test]
fn requests_and_answers_are_forwarded_without_hop_by_hop_headers() {
    run_on_one_thread(async {
        let respond = |request: &helper::HttpMessage| {
            Action::Respond(success(
                request,
                "X-Other: 1\r\nKeep-Alive: timeout=5\r\nConnection: X-Hop\r\nX-Hop: 1\r\n",
                "b",
            ))
        };
        let backend = ScriptedBackend::start("i-1", "one", respond).await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        let extra = "X-Mine: 2\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 3\r\nTE: trailers\r\nX-Tenant: other\r\n\
                    X-Target-Instance: i-9\r\nProxy-Authorization: p\r\nCookie: c\r\n";
        let reply = gateway.exchange(&request("PUT", "/e/x%2f?q=a%20b", extra, "the body")).await;
        assert_eq!((reply.status(), &*reply.body), (200, &b"b"[..]));
        assert_eq!((reply.header("x-server-seal"), reply.header("x-other")), (Some("s"), Some("1")));
        assert_eq!((reply.header("x-hop"), reply.header("keep-alive")), (None, Some("timeout=14")));
        let request = backend.last_request();
        assert_eq!((&*request.line, &*request.body), ("PUT /e/x%2f?q=a%20b HTTP/1.1", &b"the body"[..]));
        for (name, value) in [
            ("host", Some("a.example")),
            ("x-attempt-id", Some("7f")),
            ("x-mine", Some("2")),
            ("cookie", Some("c")),
            ("x-tenant", Some("mira")),
            ("x-target-instance", Some("i-1")),
            ("authorization", None),
            ("x-hop", None),
            ("te", None),
            ("proxy-authorization", None),
            ("connection", None),
        ] {
            assert_eq!(request.header(name), value, "{name}");
        }
        assert_eq!(request.headers.iter().filter(|(name, _)| name == "x-tenant").count(), 1);
        let left: u64 = request
            .header("x-deadline-left")
            .and_then(|ms| ms.parse().ok())
            .expect("the deadline is a number");
        assert!((1000..2000).contains(&left), "{left}");
    });
}

#[test]
fn chunked_bodies_are_forwarded_whole_and_backend_connections_are_reused() {
    run_on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", respond_ok).await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        let mut client = Client::connect(gateway.client_address).await;
        for _ in 0..3 {
            let chunked = request("POST", "/p/x", "Transfer-Encoding: chunked\r\n", "")
                .replace("Content-Length: 0\r\n", "")
                + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
            assert_eq!(client.exchange(&chunked).await.expect("the gateway answers").status(), 200);
            assert_eq!(backend.last_request().body, b"abcde");
        }
        let long = "x".repeat(600_000);
        assert_eq!(
            client.exchange(&request("POST", "/p/x", "", &long)).await.expect("the gateway answers").status(),
            200
        );
        assert_eq!(backend.last_request().body.len(), long.len());
        assert_eq!(backend.connections.get(), 1);
    });
}

#[yare::parameterized(
    no_such_path = { request("GET", "/x/", "", ""), 404 },
    no_such_host = { request("GET", "/p/x", "", "").replace("a.example", "b.example"), 404 },
    no_key = { request("GET", "/p/x", "", "").replace("Authorization: Bearer k1\r\n", ""), 401 },
    unknown_key = { request("GET", "/p/x", "", "").replace("k1", "k2"), 401 },
    differing_lengths = { request("POST", "/p/x", "Content-Length: 3\r\n", ""), 400 },
    folded_header = { request("GET", "/p/x", "X-Long: a\r\n b\r\n", ""), 400 },
    no_host = { request("GET", "/p/x", "", "").replace("Host: a.example\r\n", ""), 400 },
    two_hosts = { request("GET", "/p/x", "Host: b.example\r\n", ""), 400 },
    two_keys = { request("GET", "/p/x", "Authorization: Bearer k2\r\n", ""), 400 },
    too_large = { request("POST", "/p/x", "", "").replace("Length: 0", "Length: 1000001"), 413 },
    oversized_head = { request("GET", "/p/x", &format!("X-Long: {}\r\n", "x".repeat(20_000)), ""), 431 },
)]
fn rejected_requests_reach_no_backend(request: String, status: u16) {
    run_on_one_thread(async move {
        let backend = ScriptedBackend::start("i-1", "one", respond_ok).await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        assert_eq!((gateway.exchange(&request).await.status(), backend.request_count()), (status, 0));
        assert_eq!(gateway.admission.acquired.get(), 0, "no quota unit was requested");
    });
}

#[test]
fn no_request_is_smuggled_behind_a_body_with_two_lengths() {
    run_on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", respond_ok).await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        let mut client = Client::connect(gateway.client_address).await;
        // By `Content-Length`, the second request would be a part of the body of the first request.
        let inner = format!("0\r\n\r\n{}", request("GET", "/p/inner", "", ""));
        client.send(&request("POST", "/p/outer", "Transfer-Encoding: chunked\r\n", &inner)).await;
        assert_eq!(client.receive().await.expect("the gateway answers").status(), 200);
        assert!(client.receive().await.is_none(), "the gateway closes the connection");
        let request = backend.last_request();
        assert_eq!(
            (backend.request_count(), &*request.line, &*request.body),
            (1, "POST /p/outer HTTP/1.1", &b""[..])
        );
        assert_eq!(request.header("transfer-encoding"), None);
    });
}

#[test]
fn a_public_route_needs_no_key_and_discards_the_tenant_named_by_the_client() {
    run_on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", respond_ok).await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        let request_text = request("GET", "/open/x", "X-Tenant: mira\r\n", "").replace("k1", "k2");
        assert_eq!(gateway.exchange(&request_text).await.status(), 200);
        assert_eq!(
            (backend.last_request().header("x-tenant"), backend.last_request().header("authorization")),
            (None, None)
        );
    });
}

#[test]
fn admission_precedes_forwarding_and_units_of_unsent_requests_are_refunded() {
    run_on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", |request| {
            Action::Respond(status_only(request, "503 Service Unavailable", "X-Not-Executed: 1\r\n"))
        });
        let backend = backend.await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        gateway.admission.refuse_with.set(Some(Duration::from_millis(250)));
        let reply = gateway.exchange(&request("GET", "/p/x", "", "")).await;
        assert_eq!((reply.status(), reply.retry_after(), backend.request_count()), (429, Some(0.25), 0));
        gateway.admission.delayed_result.set(Some(Err(Duration::from_millis(125))));
        assert_eq!(gateway.exchange(&request("GET", "/p/x", "", "")).await.retry_after(), Some(0.125));
        gateway.admission.delayed_result.set(Some(Ok(())));
        let reply = gateway.exchange(&request("GET", "/p/x", "", "")).await;
        assert_eq!(
            (reply.status(), gateway.admission.refunded.get()),
            (503, 1),
            "the unit of a request that never ran is refunded"
        );
        assert!(reply.retry_after().is_some_and(|wait| (0.05..0.7).contains(&wait)), "{reply:?}");
    });
}

#[test]
fn a_request_without_a_backend_is_refused_at_once() {
    run_on_one_thread(async {
        let gateway = TestGateway::start(default_config(), &[]).await;
        let reply = gateway.exchange(&request("GET", "/p/x", "", "")).await;
        assert!(reply.status() == 503 && reply.retry_after().is_some(), "{reply:?}");
        let mut platform = Client::connect(gateway.readiness_address).await;
        let ready = platform
            .exchange("GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            .await
            .expect("the gateway answers");
        assert_eq!(ready.status(), 503);
    });
}

#[test]
fn a_backend_failure_is_passed_on_unless_its_status_promises_that_nothing_ran() {
    run_on_one_thread(async {
        for (status_line, status) in
            [("404 Not Found", 404), ("500 Oh", 500), ("503 Service Unavailable", 502)]
        {
            let backend = ScriptedBackend::start("i-1", "one", |request| {
                Action::Respond(status_only(request, status_line, "X-Why: w\r\n"))
            })
            .await;
            let gateway = TestGateway::start(default_config(), &[&backend]).await;
            let reply = gateway.exchange(&request("POST", "/e/x", "", "")).await;
            assert_eq!((reply.status(), backend.request_count()), (status, 1), "{status_line}");
            assert_eq!(reply.header("x-why").is_some(), status != 502);
        }
    });
}

#[test]
fn long_answers_are_streamed_and_truncated_answers_never_look_complete() {
    run_on_one_thread(async {
        let body = "y".repeat(300_000);
        let respond = |request: &helper::HttpMessage, body: &str| match &*request.line {
            "GET /p/whole HTTP/1.1" => Action::Respond(success(request, "", body)),
            "GET /p/cut HTTP/1.1" => Action::RespondAndClose(success(request, "", body)[..200_000].into()),
            _ => {
                let head = success(request, "Transfer-Encoding: chunked\r\n", "");
                let head = head.replace("Content-Length: 0\r\n", "");
                Action::RespondAndClose(format!("{head}30d40\r\n{}", &body[..200_000]))
            }
        };
        for path in ["/p/whole", "/p/cut", "/p/chunks"] {
            let body = body.clone();
            let backend = ScriptedBackend::start("i-1", "one", move |request| respond(request, &body)).await;
            let gateway = TestGateway::start(default_config(), &[&backend]).await;
            let reply = gateway.exchange(&request("GET", path, "", "")).await;
            let observed = (reply.status(), reply.whole);
            // An answer that breaks off early, before the gateway has sent its head, is replaced by a 502.
            let is_valid = if path == "/p/whole" {
                observed == (200, true)
            } else {
                [(200, false), (502, true)].contains(&observed)
            };
            assert!(is_valid, "{path}: {observed:?}");
        }
    });
}

#[test]
fn an_http_1_0_client_gets_502_instead_of_an_answer_without_a_length() {
    run_on_one_thread(async {
        let body = "y".repeat(300_000);
        let respond = move |request: &helper::HttpMessage| {
            let head =
                success(request, "Transfer-Encoding: chunked\r\n", "").replace("Content-Length: 0\r\n", "");
            Action::RespondAndClose(format!("{head}30d40\r\n{}", &body[..200_000]))
        };
        let backend = ScriptedBackend::start("i-1", "one", respond).await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        let request_text = request("GET", "/p/x", "", "").replace("HTTP/1.1", "HTTP/1.0");
        let reply = gateway.exchange(&request_text).await;
        assert_eq!((reply.status(), reply.whole), (502, true));
        assert!(reply.body.len() < 100, "the body contains nothing from the backend");
    });
}

#[test]
fn a_request_past_the_client_deadline_gets_504() {
    run_on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", |_| Action::Hang).await;
        let gateway = TestGateway::start(default_config(), &[&backend]).await;
        let request_text = request("POST", "/e/x", "", "").replace("Left: 2000", "Left: 120");
        assert_eq!((gateway.exchange(&request_text).await.status(), backend.request_count()), (504, 1));
    });
}

#[test]
fn a_newer_configuration_applies_at_once_and_an_older_one_is_ignored() {
    run_on_one_thread(async {
        let (one, two) = (
            ScriptedBackend::start("i-1", "one", respond_ok),
            ScriptedBackend::start("i-2", "two", respond_ok),
        );
        let (one, two) = (one.await, two.await);
        let gateway = TestGateway::start(default_config(), &[&one, &two]).await;
        let mut client = Client::connect(gateway.client_address).await;
        let request_text = request("GET", "/p/x", "", "");
        assert_eq!(client.exchange(&request_text).await.expect("the gateway answers").status(), 200);
        gateway.data_plane.apply_config(config(5, &[route("p", "/p/", "pure", "two", "")]));
        gateway.data_plane.apply_config(default_config());
        assert_eq!(client.exchange(&request_text).await.expect("the gateway answers").status(), 200);
        assert_eq!((one.request_count(), two.request_count()), (1, 1));
        assert_eq!(
            client.exchange(&request("GET", "/e/x", "", "")).await.expect("the gateway answers").status(),
            404
        );
    });
}

#[test]
fn weighted_targets_get_their_shares_and_a_service_without_backends_gets_none() {
    run_on_one_thread(async {
        let (one, two) = (
            ScriptedBackend::start("i-1", "one", respond_ok),
            ScriptedBackend::start("i-2", "two", respond_ok),
        );
        let (one, two) = (one.await, two.await);
        let split = |version, shares: [u32; 2]| {
            let weighted = format!(
                r#""weighted":[{{"target":"one","share":{}}},{{"target":"two","share":{}}}]"#,
                shares[0], shares[1]
            );
            config(version, &[route("p", "/p/", "pure", "one", "").replace(r#""target":"one""#, &weighted)])
        };
        let gateway = TestGateway::start(split(1, [3, 1]), &[&one, &two]).await;
        let mut client = Client::connect(gateway.client_address).await;
        let request_text = request("GET", "/p/x", "", "");
        for _ in 0..200 {
            assert_eq!(client.exchange(&request_text).await.expect("the gateway answers").status(), 200);
        }
        assert!(
            (25..75).contains(&two.request_count()),
            "expected about a quarter of 200, got {}",
            two.request_count()
        );
        let before = two.request_count();
        gateway.data_plane.apply_config(split(2, [1, 0]));
        for _ in 0..10 {
            client.exchange(&request_text).await;
        }
        assert_eq!(two.request_count(), before);
        gateway.data_plane.apply_config(split(3, [1, 1]));
        gateway.data_plane.update_backends(&[one.with_phase(protocol::Phase::Gone, 2)], false);
        for _ in 0..10 {
            assert_eq!(client.exchange(&request_text).await.expect("the gateway answers").status(), 200);
        }
        assert_eq!(two.request_count(), before + 10);
    });
}

#[test]
fn requests_before_the_first_configuration_wait_briefly_and_are_then_refused() {
    run_on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", respond_ok).await;
        let gateway = TestGateway::unconfigured(&[&backend]).await;
        let mut early = Client::connect(gateway.client_address).await;
        let reply = early.exchange(&request("GET", "/p/x", "", "")).await.expect("the gateway answers");
        assert_eq!((reply.status(), reply.header("connection")), (503, Some("close")));
        assert!((0.3..=0.5).contains(&reply.retry_after().expect("the answer has Retry-After")));
        let mut client = Client::connect(gateway.client_address).await;
        client.send(&request("GET", "/p/x", "", "")).await;
        let received = || gateway.data_plane.figures().usage().to_json()["requests"].as_u64();
        wait_until(|| received() == Some(2)).await;
        gateway.data_plane.apply_config(default_config());
        assert_eq!(client.receive().await.expect("the gateway answers").status(), 200);
    });
}
