//! What operators see of requests that did not go smoothly, and that the platform sees what it always saw.

mod helper;

use helper::{Client, Do, ScriptedBackend, World, on_one_thread, other, request, says_good, usual};
use protocol::Phase;

async fn got(world: &World, path: &str) -> (u16, String) {
    let mut client = Client::connect(world.readiness).await;
    let heard = client.ask(&format!("GET {path} HTTP/1.1\r\nHost: r\r\n\r\n")).await.expect("an answer");
    (heard.status(), String::from_utf8(heard.body).expect("text"))
}

#[test]
fn only_requests_that_did_not_go_smoothly_are_kept() {
    on_one_thread(async {
        let full = ScriptedBackend::start("i-1", "one", |heard| {
            Do::Say(other(heard, "503 Service Unavailable", "X-Not-Executed: 1\r\n"))
        });
        let (full, good) = (full.await, ScriptedBackend::start("i-2", "one", says_good).await);
        let world = World::start(usual(), &[&good]).await;
        assert_eq!(world.ask(&request("GET", "/p/x", "", "")).await.status(), 200);
        let smooth = got(&world, "/requests/7f").await;
        assert_eq!(smooth, (200, r#"{"name":"q1","requests":[]}"#.to_owned()));
        assert_eq!(world.ask(&request("GET", "/none/", "", "").replace("7f", "8f")).await.status(), 404);
        world.data_plane.update_backends(&[good.told(Phase::Gone, 2), full.told(Phase::Serving, 2)], false);
        assert_eq!(world.ask(&request("GET", "/p/x", "", "").replace("7f", "9f")).await.status(), 503);
        let (_, lost) = got(&world, "/requests/8f").await;
        assert!(lost.contains(r#""outcome":"no_route""#) && lost.contains(r#""status":404"#), "{lost}");
        let (_, refused) = got(&world, "/requests/9f").await;
        for part in
            [r#""route":"p""#, r#""tenant":"mira""#, r#"{"backend":"i-1","outcome":"full"}"#, "no_room"]
        {
            assert!(refused.contains(part), "{part} in {refused}");
        }
        let (_, metrics) = got(&world, "/metrics").await;
        for part in [
            r#"reachlb_requests_total{plane="data-plane",service="one",outcome="served"} 1"#,
            r#"reachlb_requests_total{plane="data-plane",service="",outcome="no_route"} 1"#,
            r#"reachlb_answer_seconds_count{plane="data-plane"} 1"#,
        ] {
            assert!(metrics.contains(part), "{part} in {metrics}");
        }
        assert!(!metrics.contains("mira") && !metrics.contains("9f"), "neither tenants nor requests");
    });
}

#[test]
fn whoever_asks_for_anything_else_asks_for_readiness() {
    on_one_thread(async {
        let world = World::start(usual(), &[]).await;
        for path in ["/readiness", "/", "/requests", "/other"] {
            assert_eq!(got(&world, path).await, (503, String::new()), "{path}");
        }
        let backend = ScriptedBackend::start("i-1", "one", says_good).await;
        world.data_plane.update_backends(std::slice::from_ref(&backend.backend), false);
        assert_eq!(got(&world, "/readiness").await, (200, String::new()));
    });
}
