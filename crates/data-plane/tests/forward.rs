//! What goes on to backends and back, and what does not.

mod helper;

use helper::{
    Client, Do, ScriptedBackend, World, conf, good, on_one_thread, other, request, route, says_good, until,
    usual,
};
use std::time::Duration;

#[test]
fn a_request_and_its_answer_pass_unchanged_but_for_what_is_of_one_connection() {
    on_one_thread(async {
        let does = |heard: &helper::Heard| {
            Do::Say(good(
                heard,
                "X-Other: 1\r\nKeep-Alive: timeout=5\r\nConnection: X-Hop\r\nX-Hop: 1\r\n",
                "b",
            ))
        };
        let backend = ScriptedBackend::start("i-1", "one", does).await;
        let world = World::start(usual(), &[&backend]).await;
        let more = "X-Mine: 2\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 3\r\nTE: trailers\r\nX-Tenant: other\r\n\
                    X-Target-Instance: i-9\r\nProxy-Authorization: p\r\nCookie: c\r\n";
        let reply = world.ask(&request("PUT", "/e/x%2f?q=a%20b", more, "the body")).await;
        assert_eq!((reply.status(), &*reply.body), (200, &b"b"[..]));
        assert_eq!((reply.header("x-server-seal"), reply.header("x-other")), (Some("s"), Some("1")));
        assert_eq!((reply.header("x-hop"), reply.header("keep-alive")), (None, Some("timeout=14")));
        let heard = backend.last();
        assert_eq!((&*heard.line, &*heard.body), ("PUT /e/x%2f?q=a%20b HTTP/1.1", &b"the body"[..]));
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
            assert_eq!(heard.header(name), value, "{name}");
        }
        assert_eq!(heard.headers.iter().filter(|(name, _)| name == "x-tenant").count(), 1);
        let left: u64 = heard.header("x-deadline-left").and_then(|ms| ms.parse().ok()).expect("a number");
        assert!((1000..2000).contains(&left), "{left}");
    });
}

#[test]
fn bodies_in_chunks_come_whole_and_connections_serve_again() {
    on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", says_good).await;
        let world = World::start(usual(), &[&backend]).await;
        let mut client = Client::connect(world.front).await;
        for _ in 0..3 {
            let chunked = request("POST", "/p/x", "Transfer-Encoding: chunked\r\n", "")
                .replace("Content-Length: 0\r\n", "")
                + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
            assert_eq!(client.ask(&chunked).await.expect("an answer").status(), 200);
            assert_eq!(backend.last().body, b"abcde");
        }
        let long = "x".repeat(600_000);
        assert_eq!(client.ask(&request("POST", "/p/x", "", &long)).await.expect("an answer").status(), 200);
        assert_eq!(backend.last().body.len(), long.len());
        assert_eq!(backend.connections.get(), 1);
    });
}

#[yare::parameterized(
    no_such_path = { request("GET", "/x/", "", ""), 404 },
    no_such_host = { request("GET", "/p/x", "", "").replace("a.example", "b.example"), 404 },
    no_key = { request("GET", "/p/x", "", "").replace("Authorization: Bearer k1\r\n", ""), 401 },
    unknown_key = { request("GET", "/p/x", "", "").replace("k1", "k2"), 401 },
    other_lengths = { request("POST", "/p/x", "Content-Length: 3\r\n", ""), 400 },
    folded = { request("GET", "/p/x", "X-Long: a\r\n b\r\n", ""), 400 },
    no_host = { request("GET", "/p/x", "", "").replace("Host: a.example\r\n", ""), 400 },
    two_hosts = { request("GET", "/p/x", "Host: b.example\r\n", ""), 400 },
    two_keys = { request("GET", "/p/x", "Authorization: Bearer k2\r\n", ""), 400 },
    too_large = { request("POST", "/p/x", "", "").replace("Length: 0", "Length: 1000001"), 413 },
    long_head = { request("GET", "/p/x", &format!("X-Long: {}\r\n", "x".repeat(20_000)), ""), 431 },
)]
fn what_is_not_taken_reaches_nobody(request: String, status: u16) {
    on_one_thread(async move {
        let backend = ScriptedBackend::start("i-1", "one", says_good).await;
        let world = World::start(usual(), &[&backend]).await;
        assert_eq!((world.ask(&request).await.status(), backend.count()), (status, 0));
        assert_eq!(world.lease_client.asked.get(), 0, "nobody was asked for a unit");
    });
}

#[test]
fn behind_a_body_with_two_lengths_nothing_is_smuggled() {
    on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", says_good).await;
        let world = World::start(usual(), &[&backend]).await;
        let mut client = Client::connect(world.front).await;
        // By its length the second request is a part of the first one's body.
        let inner = format!("0\r\n\r\n{}", request("GET", "/p/inner", "", ""));
        client.send(&request("POST", "/p/outer", "Transfer-Encoding: chunked\r\n", &inner)).await;
        assert_eq!(client.hear().await.expect("an answer").status(), 200);
        assert!(client.hear().await.is_none(), "the connection ends");
        let heard = backend.last();
        assert_eq!((backend.count(), &*heard.line, &*heard.body), (1, "POST /p/outer HTTP/1.1", &b""[..]));
        assert_eq!(heard.header("transfer-encoding"), None);
    });
}

#[test]
fn a_public_route_needs_no_key_and_names_no_tenant_of_the_client_s_choice() {
    on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", says_good).await;
        let world = World::start(usual(), &[&backend]).await;
        let asked = request("GET", "/open/x", "X-Tenant: mira\r\n", "").replace("k1", "k2");
        assert_eq!(world.ask(&asked).await.status(), 200);
        assert_eq!((backend.last().header("x-tenant"), backend.last().header("authorization")), (None, None));
    });
}

#[test]
fn admission_decides_before_any_backend_and_hears_of_what_never_ran() {
    on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", |heard| {
            Do::Say(other(heard, "503 Service Unavailable", "X-Not-Executed: 1\r\n"))
        });
        let backend = backend.await;
        let world = World::start(usual(), &[&backend]).await;
        world.lease_client.refuses.set(Some(Duration::from_millis(250)));
        let reply = world.ask(&request("GET", "/p/x", "", "")).await;
        assert_eq!((reply.status(), reply.wait(), backend.count()), (429, Some(0.25), 0));
        world.lease_client.later.set(Some(Err(Duration::from_millis(125))));
        assert_eq!(world.ask(&request("GET", "/p/x", "", "")).await.wait(), Some(0.125));
        world.lease_client.later.set(Some(Ok(())));
        let reply = world.ask(&request("GET", "/p/x", "", "")).await;
        assert_eq!((reply.status(), world.lease_client.back.get()), (503, 1), "it never ran");
        assert!(reply.wait().is_some_and(|wait| (0.05..0.7).contains(&wait)), "{reply:?}");
    });
}

#[test]
fn without_a_backend_the_refusal_comes_at_once() {
    on_one_thread(async {
        let world = World::start(usual(), &[]).await;
        let reply = world.ask(&request("GET", "/p/x", "", "")).await;
        assert!(reply.status() == 503 && reply.wait().is_some(), "{reply:?}");
        let mut asked = Client::connect(world.readiness).await;
        let ready = asked.ask("GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n").await.expect("an answer");
        assert_eq!(ready.status(), 503);
    });
}

#[test]
fn a_backend_s_own_failure_is_passed_on_unless_its_status_would_promise_too_much() {
    on_one_thread(async {
        for (said, status) in [("404 Not Found", 404), ("500 Oh", 500), ("503 Service Unavailable", 502)] {
            let backend =
                ScriptedBackend::start("i-1", "one", |heard| Do::Say(other(heard, said, "X-Why: w\r\n")))
                    .await;
            let world = World::start(usual(), &[&backend]).await;
            let reply = world.ask(&request("POST", "/e/x", "", "")).await;
            assert_eq!((reply.status(), backend.count()), (status, 1), "{said}");
            assert_eq!(reply.header("x-why").is_some(), status != 502);
        }
    });
}

#[test]
fn long_answers_stream_and_one_that_breaks_never_looks_whole() {
    on_one_thread(async {
        let body = "y".repeat(300_000);
        let does = |heard: &helper::Heard, body: &str| match &*heard.line {
            "GET /p/whole HTTP/1.1" => Do::Say(good(heard, "", body)),
            "GET /p/cut HTTP/1.1" => Do::Break(good(heard, "", body)[..200_000].into()),
            _ => {
                let head = good(heard, "Transfer-Encoding: chunked\r\n", "");
                let head = head.replace("Content-Length: 0\r\n", "");
                Do::Break(format!("{head}30d40\r\n{}", &body[..200_000]))
            }
        };
        for path in ["/p/whole", "/p/cut", "/p/chunks"] {
            let body = body.clone();
            let backend = ScriptedBackend::start("i-1", "one", move |heard| does(heard, &body)).await;
            let world = World::start(usual(), &[&backend]).await;
            let reply = world.ask(&request("GET", path, "", "")).await;
            let told = (reply.status(), reply.whole);
            // What breaks before much of it was here is no success at all.
            let proper = if path == "/p/whole" {
                told == (200, true)
            } else {
                [(200, false), (502, true)].contains(&told)
            };
            assert!(proper, "{path}: {told:?}");
        }
    });
}

#[test]
fn a_client_that_knows_no_chunks_gets_no_answer_whose_end_it_could_not_tell() {
    on_one_thread(async {
        let body = "y".repeat(300_000);
        let does = move |heard: &helper::Heard| {
            let head = good(heard, "Transfer-Encoding: chunked\r\n", "").replace("Content-Length: 0\r\n", "");
            Do::Break(format!("{head}30d40\r\n{}", &body[..200_000]))
        };
        let backend = ScriptedBackend::start("i-1", "one", does).await;
        let world = World::start(usual(), &[&backend]).await;
        let asked = request("GET", "/p/x", "", "").replace("HTTP/1.1", "HTTP/1.0");
        let reply = world.ask(&asked).await;
        assert_eq!((reply.status(), reply.whole), (502, true));
        assert!(reply.body.len() < 100, "nothing of the backend's");
    });
}

#[test]
fn what_takes_longer_than_its_client_waits_ends_as_such() {
    on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", |_| Do::Hang).await;
        let world = World::start(usual(), &[&backend]).await;
        let asked = request("POST", "/e/x", "", "").replace("Left: 2000", "Left: 120");
        assert_eq!((world.ask(&asked).await.status(), backend.count()), (504, 1));
    });
}

#[test]
fn a_newer_configuration_counts_at_once_and_an_older_one_never() {
    on_one_thread(async {
        let (one, two) = (
            ScriptedBackend::start("i-1", "one", says_good),
            ScriptedBackend::start("i-2", "two", says_good),
        );
        let (one, two) = (one.await, two.await);
        let world = World::start(usual(), &[&one, &two]).await;
        let mut client = Client::connect(world.front).await;
        let asked = request("GET", "/p/x", "", "");
        assert_eq!(client.ask(&asked).await.expect("an answer").status(), 200);
        world.data_plane.apply_config(conf(5, &[route("p", "/p/", "pure", "two", "")]));
        world.data_plane.apply_config(usual());
        assert_eq!(client.ask(&asked).await.expect("an answer").status(), 200);
        assert_eq!((one.count(), two.count()), (1, 1));
        assert_eq!(client.ask(&request("GET", "/e/x", "", "")).await.expect("an answer").status(), 404);
    });
}

#[test]
fn a_route_s_services_get_their_shares_and_one_without_backends_none() {
    on_one_thread(async {
        let (one, two) = (
            ScriptedBackend::start("i-1", "one", says_good),
            ScriptedBackend::start("i-2", "two", says_good),
        );
        let (one, two) = (one.await, two.await);
        let split = |version, shares: [u32; 2]| {
            let weighted = format!(
                r#""weighted":[{{"target":"one","share":{}}},{{"target":"two","share":{}}}]"#,
                shares[0], shares[1]
            );
            conf(version, &[route("p", "/p/", "pure", "one", "").replace(r#""target":"one""#, &weighted)])
        };
        let world = World::start(split(1, [3, 1]), &[&one, &two]).await;
        let mut client = Client::connect(world.front).await;
        let asked = request("GET", "/p/x", "", "");
        for _ in 0..200 {
            assert_eq!(client.ask(&asked).await.expect("an answer").status(), 200);
        }
        assert!((25..75).contains(&two.count()), "a quarter of 200: {}", two.count());
        let before = two.count();
        world.data_plane.apply_config(split(2, [1, 0]));
        for _ in 0..10 {
            client.ask(&asked).await;
        }
        assert_eq!(two.count(), before);
        world.data_plane.apply_config(split(3, [1, 1]));
        world.data_plane.update_backends(&[one.told(protocol::Phase::Gone, 2)], false);
        for _ in 0..10 {
            assert_eq!(client.ask(&asked).await.expect("an answer").status(), 200);
        }
        assert_eq!(two.count(), before + 10);
    });
}

#[test]
fn who_comes_before_the_first_configuration_waits_for_it_a_moment_and_no_longer() {
    on_one_thread(async {
        let backend = ScriptedBackend::start("i-1", "one", says_good).await;
        let world = World::blank(&[&backend]).await;
        let mut early = Client::connect(world.front).await;
        let reply = early.ask(&request("GET", "/p/x", "", "")).await.expect("an answer");
        assert_eq!((reply.status(), reply.header("connection")), (503, Some("close")));
        assert!((0.3..=0.5).contains(&reply.wait().expect("a time to come back")));
        let mut client = Client::connect(world.front).await;
        client.send(&request("GET", "/p/x", "", "")).await;
        let asked = || world.data_plane.figures().cost().told()["requests"].as_u64();
        until(|| asked() == Some(2)).await;
        world.data_plane.apply_config(usual());
        assert_eq!(client.hear().await.expect("an answer").status(), 200);
    });
}
