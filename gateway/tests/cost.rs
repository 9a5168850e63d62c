//! What a gateway says of its cost, held against what its peers saw and the kernel's own accounts.

mod helper;

use helper::{Backend, Do, Mood, Setup, World, ok, request, row, soon, until};
use serde_json::Value;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

async fn world(backend: &Backend) -> World {
    World::set(&Setup::operated(&[row("b", backend.at, "in_service")]), Mood::Adds).await
}

async fn cost(world: &World) -> Value {
    world.gateway.figures().await["cost"].take()
}

fn number(value: &Value, pointer: &str) -> u64 {
    value.pointer(pointer).and_then(Value::as_u64).unwrap_or_else(|| panic!("{pointer} in {value}"))
}

/// The figure under a key of the kernel's status, in kB.
fn size(world: &World, key: &str) -> u64 {
    let status = world.gateway.kernel("status");
    let line = status.lines().find_map(|line| line.strip_prefix(key)).expect("a line");
    line.split_ascii_whitespace().next().and_then(|n| n.parse().ok()).expect("a number")
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_calls_and_requests_are_what_peers_saw() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = world(&backend).await;
    let mut client = world.gateway.client().await;
    for _ in 0..10 {
        assert_eq!(client.ask(&request("order", 5000, "", "b")).await.status(), 200);
    }
    assert_eq!(client.ask(UP).await.status(), 200);
    assert_eq!(client.ask(&request("order", 0, "", "b")).await.status(), 400);
    let told = cost(&world).await;
    assert_eq!(number(&told, "/requests"), 12);
    assert_eq!((number(&told, "/opened/backends"), number(&told, "/reused")), (1, 9));
    assert_eq!((number(&told, "/opened/clients"), number(&told, "/descriptors/clients")), (1, 1));
    assert_eq!(number(&told, "/descriptors/backends"), 1);
    assert_eq!(number(&told, "/descriptors/console"), 1, "the one that asks");
    drop(client);
    soon("the client's end", async { while number(&cost(&world).await, "/descriptors/clients") > 0 {} })
        .await;
    assert_eq!(number(&cost(&world).await, "/opened/clients"), 1);
    let calls = world.counter.calls.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(number(&cost(&world).await, "/counter_calls"), u64::from(calls));
    // A backend that drains has its free connections closed, which the figures follow.
    world.discovery.asked_again(0).await;
    world.discovery.tell(helper::list(2, false, &[row("b", backend.at, "terminating")]));
    until("the close", || backend.closed() == 1).await;
    assert_eq!(number(&cost(&world).await, "/descriptors/backends"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_descriptor_is_counted_once() {
    let backend = Backend::start(&[Do::Hang]).await;
    let world = world(&backend).await;
    let mut clients = Vec::new();
    for n in 0..7 {
        let mut client = world.gateway.client().await;
        match n {
            0..3 => client.write(&request("order", 60_000, "", "b")).await,
            _ => client.write("GET /up HTT").await,
        }
        clients.push(client);
    }
    until("the attempts", || backend.attempts() == 3).await;
    soon("figures that agree", async {
        loop {
            let told = cost(&world).await;
            let sum: u64 =
                told["descriptors"].as_object().expect("uses").values().filter_map(Value::as_u64).sum();
            // The connection that asked has gone since, or is about to.
            let steady =
                number(&told, "/descriptors/counter") == 2 && number(&told, "/descriptors/discovery") == 1;
            if steady && sum - 1 == world.gateway.descriptors() {
                assert_eq!(number(&told, "/descriptors/clients"), 7);
                assert_eq!(number(&told, "/descriptors/backends"), 3);
                assert!((5..20).contains(&number(&told, "/descriptors/other")), "{told}");
                return;
            }
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn processor_time_and_memory_agree_with_the_kernel() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = world(&backend).await;
    let ticks = || {
        let stat = world.gateway.kernel("stat");
        let words: Vec<_> = stat.rsplit_once(')').expect("a name").1.split_ascii_whitespace().collect();
        [11, 12].map(|at: usize| words[at].parse::<u64>().expect("ticks") * 10)
    };
    let mut client = world.gateway.client().await;
    // Some work, so that there is something to agree on.
    soon("some processor time", async {
        while ticks().iter().sum::<u64>() < 50 {
            assert_eq!(client.ask(UP).await.status(), 200);
        }
    })
    .await;
    let before = ticks();
    let told = cost(&world).await;
    let after = ticks();
    for (at, name) in ["/user_ms", "/system_ms"].into_iter().enumerate() {
        assert!(
            (before[at]..=after[at]).contains(&number(&told, name)),
            "{name}: {before:?} {told} {after:?}"
        );
    }
    let (resident, peak) = (number(&told, "/resident_kb"), number(&told, "/peak_kb"));
    assert!(resident > 1000 && peak >= resident, "{told}");
    assert!(size(&world, "VmHWM:") >= peak, "{told}");
    assert!(size(&world, "VmRSS:").abs_diff(resident) < 1024, "{told}");
}
