//! Gateways of one group as processes: health reports of one gateway spare the others failed attempts, and operators
//! transfer duties.

mod helper;

use helper::{
    Action, Backend, Counter, CounterMode, Discovery, Gateway, Setup, host_entry, ok, request, wait_for,
    wait_until,
};
use std::sync::atomic::Ordering;

/// Three gateways, each with a console. Only the first one is a voter.
async fn fleet(host_entries: &[String], duties: &str) -> Vec<(Gateway, Setup)> {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = probe.local_addr().expect("address");
    drop(probe);
    let (discovery, counter) = (Discovery::start().await, Counter::start(CounterMode::Normal).await);
    let mut gateways = Vec::new();
    for number in 0..3 {
        let setup = Setup {
            gateways: 3,
            number,
            rate: 1e6,
            burst: 1e6,
            cold_ms: 30_000,
            ..Setup::with_console(host_entries)
        };
        let disk = setup.dir.as_ref().expect("directory").0.join("disk");
        let voter = format!(r#""listen":"{address}","dir":"{}","#, disk.display());
        let voter = if number == 0 { voter } else { String::new() };
        let group = format!(
            r#"{{"name":"f","voters":[{{"name":"g0","address":"{address}"}}],{voter}"life_ms":3000,"duties":{duties}}}"#
        );
        let setup = Setup { group, ..setup };
        gateways.push((Gateway::start(discovery.address, counter.address, &setup).await, setup));
    }
    gateways
}

async fn holds_duty(gateway: &Gateway, duty: &str) -> bool {
    gateway.metrics().await["group"]["held"][duty]["left_ms"].as_u64().unwrap_or(0) > 0
}

/// The reply to a console command, repeated while the group does not answer in time, as on a busy machine.
async fn command_until_answered(gateway: &Gateway, call: &str) -> String {
    wait_for("answer of the group", async {
        loop {
            let answer = gateway.command(call).await;
            if !answer.starts_with("NO answer from the group") {
                return answer;
            }
        }
    })
    .await
}

/// The index of the gateway that holds a duty.
async fn find_holder(gateways: &[(Gateway, Setup)], duty: &str) -> usize {
    wait_for("holder of the duty", async {
        loop {
            for (index, (gateway, _)) in gateways.iter().enumerate() {
                if holds_duty(gateway, duty).await {
                    return index;
                }
            }
        }
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_reported_down_is_avoided_by_other_gateways_until_reported_up() {
    // The failed backend accepts connections and closes them, so that attempts are counted.
    let failing = Backend::start(&[Action::WriteAndClose(String::new())]).await;
    let healthy = Backend::start(&[Action::Write(ok("x"))]).await;
    let other_healthy = Backend::start(&[Action::Write(ok("x"))]).await;
    let host_entries = [("b0", &failing), ("b1", &healthy), ("b2", &other_healthy)]
        .map(|(name, b)| host_entry(name, b.address, "in_service"));
    let gateways = fleet(&host_entries, "[]").await;
    find_holder(&gateways, "scout:z").await;
    let (first, second) = (&gateways[1].0, &gateways[2].0);
    for gateway in [first, second] {
        gateway.wait_for_metric("/group/sessions", 3).await;
    }
    // The first gateway reports the backend after two failures in a row.
    let mut client = first.client().await;
    let report_sent = async {
        while first.metrics().await["group"]["reports"].as_u64() == Some(0) {
            client.exchange(&request("look", 2000, "", "")).await;
        }
    };
    wait_for("sent report", report_sent).await;
    let report_received = async { while second.metrics().await["group"]["words"].as_u64() == Some(0) {} };
    wait_for("received report", report_received).await;
    let attempts_before = failing.opened.load(Ordering::SeqCst);
    let mut other = second.client().await;
    // The report is valid for a fifth of the warm-up time: 6 s.
    let (started, mut served) = (std::time::Instant::now(), 0);
    while started.elapsed() < std::time::Duration::from_millis(100) {
        served += u32::from(other.exchange(&request("look", 2000, "", "")).await.status() == 200);
    }
    assert!(served > 10, "{served}");
    assert_eq!(
        failing.opened.load(Ordering::SeqCst),
        attempts_before,
        "the other gateway tried the failing backend"
    );
    // After the repair one gateway finds the backend healthy and reports it to the others.
    *failing.actions.lock().expect("lock") = vec![Action::Write(ok("x"))];
    let reports_before = second.metrics().await["group"]["words"].as_u64().expect("metric");
    let served = failing.received.lock().expect("lock").len();
    let recovery = async {
        while second.metrics().await["group"]["words"].as_u64() == Some(reports_before) {
            client.exchange(&request("look", 2000, "", "")).await;
        }
    };
    wait_for("report of the recovery", recovery).await;
    wait_until("requests at the recovered backend", || failing.received.lock().expect("lock").len() > served)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_transfer_a_duty_and_request_a_turn() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let gateways = fleet(&[host_entry("b0", backend.address, "in_service")], r#"["lamp"]"#).await;
    let index = find_holder(&gateways, "lamp").await;
    let target = (index + 1) % 3;
    gateways[target].0.wait_for_metric("/group/sessions", 3).await;
    assert_eq!(gateways[target].0.command("GROUP GIVE lamp\n").await, "NO lamp is not held here\n");
    // A command without an answer may have been executed; then the duty is no longer held.
    let given = command_until_answered(&gateways[index].0, &format!("GROUP GIVE lamp g{target}\n")).await;
    assert!(["YES it is done\n", "NO lamp is not held here\n"].contains(&given.as_str()), "{given}");
    wait_for("next holder", async { while !holds_duty(&gateways[target].0, "lamp").await {} }).await;
    assert!(!holds_duty(&gateways[index].0, "lamp").await);
    assert_eq!(command_until_answered(&gateways[0].0, "GROUP TURN\n").await, "YES it is done\n");
    assert_eq!(command_until_answered(&gateways[1].0, "GROUP TURN\n").await, "NO 1 are away already\n");
    assert!(gateways[0].0.command("GROUP WHAT\n").await.starts_with("NO such call"));
    let status = gateways[2].0.command("GROUP STATUS\n").await;
    assert!(status.contains("\"leader\":\"g0\"") && status.ends_with("END\n"), "{status}");
    // A gateway that shuts down releases its duty at once.
    let mut gateways = gateways;
    let (mut leaving, _setup) = gateways.remove(target);
    leaving.terminate();
    assert_eq!(leaving.wait_exit().await.code(), Some(0));
    find_holder(&gateways, "lamp").await;
}
