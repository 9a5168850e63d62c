//! The operators' view of requests that failed or were retried, and the readiness check on the same listener.

mod helper;

use helper::{
    Action, Client, ScriptedBackend, TestGateway, default_config, request, respond_ok, run_on_one_thread,
    status_only,
};
use protocol::Phase;

async fn get(gateway: &TestGateway, path: &str) -> (u16, String) {
    let mut client = Client::connect(gateway.readiness_address).await;
    let reply = client
        .exchange(&format!("GET {path} HTTP/1.1\r\nHost: r\r\n\r\n"))
        .await
        .expect("the gateway answers");
    (reply.status(), String::from_utf8(reply.body).expect("the body is UTF-8"))
}

#[test]
fn only_failed_or_retried_requests_are_recorded() {
    run_on_one_thread(async {
        let full = ScriptedBackend::start("i-1", "one", |request| {
            Action::Respond(status_only(request, "503 Service Unavailable", "X-Not-Executed: 1\r\n"))
        });
        let (full, healthy) = (full.await, ScriptedBackend::start("i-2", "one", respond_ok).await);
        let gateway = TestGateway::start(default_config(), &[&healthy]).await;
        assert_eq!(gateway.exchange(&request("GET", "/p/x", "", "")).await.status(), 200);
        let served = get(&gateway, "/requests/7f").await;
        assert_eq!(served, (200, r#"{"name":"q1","requests":[]}"#.to_owned()));
        assert_eq!(
            gateway.exchange(&request("GET", "/none/", "", "").replace("7f", "8f")).await.status(),
            404
        );
        gateway.data_plane.update_backends(
            &[healthy.with_phase(Phase::Gone, 2), full.with_phase(Phase::Serving, 2)],
            false,
        );
        assert_eq!(gateway.exchange(&request("GET", "/p/x", "", "").replace("7f", "9f")).await.status(), 503);
        let (_, unrouted) = get(&gateway, "/requests/8f").await;
        assert!(
            unrouted.contains(r#""outcome":"no_route""#) && unrouted.contains(r#""status":404"#),
            "{unrouted}"
        );
        let (_, refused) = get(&gateway, "/requests/9f").await;
        for part in
            [r#""route":"p""#, r#""tenant":"mira""#, r#"{"backend":"i-1","outcome":"full"}"#, "no_room"]
        {
            assert!(refused.contains(part), "{part} is missing in {refused}");
        }
        let (_, metrics) = get(&gateway, "/metrics").await;
        for part in [
            r#"reachlb_requests_total{plane="data-plane",service="one",outcome="served"} 1"#,
            r#"reachlb_requests_total{plane="data-plane",service="",outcome="no_route"} 1"#,
            r#"reachlb_answer_seconds_count{plane="data-plane"} 1"#,
        ] {
            assert!(metrics.contains(part), "{part} is missing in {metrics}");
        }
        assert!(
            !metrics.contains("mira") && !metrics.contains("9f"),
            "metrics name neither tenants nor request ids"
        );
    });
}

#[test]
fn any_other_path_is_a_readiness_check() {
    run_on_one_thread(async {
        let gateway = TestGateway::start(default_config(), &[]).await;
        for path in ["/readiness", "/", "/requests", "/other"] {
            assert_eq!(get(&gateway, path).await, (503, String::new()), "{path}");
        }
        let backend = ScriptedBackend::start("i-1", "one", respond_ok).await;
        gateway.data_plane.update_backends(std::slice::from_ref(&backend.backend), false);
        assert_eq!(get(&gateway, "/readiness").await, (200, String::new()));
    });
}
