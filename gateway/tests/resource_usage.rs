//! The reported resource usage, compared with what the peers saw and with the kernel's figures.

mod helper;

use helper::{Action, Backend, CounterMode, Setup, TestEnv, host_entry, ok, request, wait_for, wait_until};
use serde_json::Value;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

async fn env(backend: &Backend) -> TestEnv {
    TestEnv::start(
        &Setup::with_console(&[host_entry("b", backend.address, "in_service")]),
        CounterMode::Normal,
    )
    .await
}

async fn resource_usage(env: &TestEnv) -> Value {
    env.gateway.metrics().await["cost"].take()
}

fn metric(value: &Value, pointer: &str) -> u64 {
    value.pointer(pointer).and_then(Value::as_u64).unwrap_or_else(|| panic!("{pointer} in {value}"))
}

/// The value of a key in /proc/PID/status, in kB.
fn proc_status_kb(env: &TestEnv, key: &str) -> u64 {
    let status = env.gateway.proc_file("status");
    let line = status.lines().find_map(|line| line.strip_prefix(key)).expect("line");
    line.split_ascii_whitespace().next().and_then(|n| n.parse().ok()).expect("number")
}

#[tokio::test(flavor = "multi_thread")]
async fn counts_of_connections_calls_and_requests_match_the_peers() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env = env(&backend).await;
    let mut client = env.gateway.client().await;
    for _ in 0..10 {
        assert_eq!(client.exchange(&request("order", 5000, "", "b")).await.status(), 200);
    }
    assert_eq!(client.exchange(UP).await.status(), 200);
    assert_eq!(client.exchange(&request("order", 0, "", "b")).await.status(), 400);
    let usage = resource_usage(&env).await;
    assert_eq!(metric(&usage, "/requests"), 12);
    assert_eq!((metric(&usage, "/opened/backends"), metric(&usage, "/reused")), (1, 9));
    assert_eq!((metric(&usage, "/opened/clients"), metric(&usage, "/descriptors/clients")), (1, 1));
    assert_eq!(metric(&usage, "/descriptors/backends"), 1);
    assert_eq!(metric(&usage, "/descriptors/console"), 1, "the querying connection itself");
    drop(client);
    wait_for("close of the client connection", async {
        while metric(&resource_usage(&env).await, "/descriptors/clients") > 0 {}
    })
    .await;
    assert_eq!(metric(&resource_usage(&env).await, "/opened/clients"), 1);
    let calls = env.counter.calls.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(metric(&resource_usage(&env).await, "/counter_calls"), u64::from(calls));
    // Idle connections to a draining backend are closed, and the metrics show the close.
    env.discovery.polled_again(0).await;
    env.discovery.publish(helper::host_list(2, false, &[host_entry("b", backend.address, "terminating")]));
    wait_until("close of the connection", || backend.closed() == 1).await;
    assert_eq!(metric(&resource_usage(&env).await, "/descriptors/backends"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_descriptor_is_counted_once() {
    let backend = Backend::start(&[Action::Hang]).await;
    let env = env(&backend).await;
    let mut clients = Vec::new();
    for n in 0..7 {
        let mut client = env.gateway.client().await;
        match n {
            0..3 => client.write(&request("order", 60_000, "", "b")).await,
            _ => client.write("GET /up HTT").await,
        }
        clients.push(client);
    }
    wait_until("attempts", || backend.attempts() == 3).await;
    wait_for("matching counts", async {
        loop {
            let usage = resource_usage(&env).await;
            let sum: u64 = usage["descriptors"]
                .as_object()
                .expect("descriptors by use")
                .values()
                .filter_map(Value::as_u64)
                .sum();
            // The console connection of this query has been closed since, or is about to be.
            let steady =
                metric(&usage, "/descriptors/counter") == 2 && metric(&usage, "/descriptors/discovery") == 1;
            if steady && sum - 1 == env.gateway.descriptors() {
                assert_eq!(metric(&usage, "/descriptors/clients"), 7);
                assert_eq!(metric(&usage, "/descriptors/backends"), 3);
                assert!((5..20).contains(&metric(&usage, "/descriptors/other")), "{usage}");
                return;
            }
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cpu_time_and_memory_match_the_kernel() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env = env(&backend).await;
    let ticks = || {
        let stat = env.gateway.proc_file("stat");
        let fields: Vec<_> =
            stat.rsplit_once(')').expect("program name").1.split_ascii_whitespace().collect();
        [11, 12].map(|at: usize| fields[at].parse::<u64>().expect("ticks") * 10)
    };
    let mut client = env.gateway.client().await;
    // Causes some CPU time to compare.
    wait_for("CPU time", async {
        while ticks().iter().sum::<u64>() < 50 {
            assert_eq!(client.exchange(UP).await.status(), 200);
        }
    })
    .await;
    let before = ticks();
    let usage = resource_usage(&env).await;
    let after = ticks();
    for (at, name) in ["/user_ms", "/system_ms"].into_iter().enumerate() {
        assert!(
            (before[at]..=after[at]).contains(&metric(&usage, name)),
            "{name}: {before:?} {usage} {after:?}"
        );
    }
    let (resident, peak) = (metric(&usage, "/resident_kb"), metric(&usage, "/peak_kb"));
    assert!(resident > 1000 && peak >= resident, "{usage}");
    assert!(proc_status_kb(&env, "VmHWM:") >= peak, "{usage}");
    assert!(proc_status_kb(&env, "VmRSS:").abs_diff(resident) < 1024, "{usage}");
}
