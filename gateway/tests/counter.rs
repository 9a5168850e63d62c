//! Quotas on the shared counter, and the quota that is left when the counter fails.

mod helper;

use doorcourse::CountOutcome;
use helper::{
    Action, Backend, Counter, CounterMode, Discovery, Gateway, Setup, TestEnv, host_entry, ok, request,
    sleep_ms, wait_for,
};
use http_proxy::engine::Counter as _;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

async fn request_statuses(gateway: &Gateway, count: usize) -> Vec<u16> {
    let (mut client, mut statuses) = (gateway.client().await, Vec::new());
    for _ in 0..count {
        let reply = client.exchange(&request("look", 900, "", "")).await;
        if reply.status() == 429 {
            let wait: f64 = reply.headers["retry-after"].parse().expect("seconds");
            assert!((0.0..=1.0).contains(&wait));
        }
        statuses.push(reply.status());
    }
    statuses
}

fn served(statuses: &[u16]) -> usize {
    assert!(statuses.iter().all(|s| [200, 429].contains(s)), "{statuses:?}");
    statuses.iter().filter(|s| **s == 200).count()
}

/// A plan with a burst of ten units that refills in a quarter of an hour.
fn small_plan(backend: &Backend) -> Setup {
    Setup {
        rate: 0.01,
        burst: 10.0,
        ..Setup::with_backends(&[host_entry("b", backend.address, "in_service")])
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_gateways_share_one_quota() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let (discovery, counter) = (Discovery::start().await, Counter::start(CounterMode::Normal).await);
    let mut sum = 0;
    for number in 0..2 {
        let setup = Setup { gateways: 2, number, ..small_plan(&backend) };
        let gateway = Gateway::start(discovery.address, counter.address, &setup).await;
        let statuses = request_statuses(&gateway, 15).await;
        sum += served(&statuses);
    }
    assert_eq!(sum, 10);
    assert_eq!(backend.attempts(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_counter_leaves_the_even_slice() {
    for mode in [CounterMode::Silent, CounterMode::Busy, CounterMode::Malformed, CounterMode::Delayed(200)] {
        let backend = Backend::start(&[Action::Write(ok("x"))]).await;
        let env = TestEnv::start(&small_plan(&backend), mode).await;
        let statuses = request_statuses(&env.gateway, 15).await;
        assert_eq!(served(&statuses), 10, "{mode:?}");
        assert_eq!(backend.attempts(), 10, "{mode:?}");
        assert!(env.counter.calls.load(Ordering::SeqCst) > 0, "{mode:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_is_not_taken_for_the_answer_of_the_next_call() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env = TestEnv::start(&small_plan(&backend), CounterMode::Delayed(150)).await;
    assert_eq!(served(&request_statuses(&env.gateway, 1).await), 1);
    *env.counter.mode.lock().expect("lock") = CounterMode::Normal;
    sleep_ms(400).await;
    // Another customer, on either connection, gets its own total: its whole quota and no more.
    let (mut client, mut count) = (env.gateway.client().await, 0);
    for _ in 0..15 {
        let text = request("look", 900, "", "").replace("b4d65521", "b4d65522");
        count += usize::from(client.exchange(&text).await.status() == 200);
    }
    assert_eq!(count, 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn recovered_counter_is_called_again() {
    let backend = Backend::start(&[Action::Write(ok("x"))]).await;
    let env =
        TestEnv::start(&Setup { rate: 50.0, burst: 50.0, ..small_plan(&backend) }, CounterMode::Malformed)
            .await;
    served(&request_statuses(&env.gateway, 5).await);
    *env.counter.mode.lock().expect("lock") = CounterMode::Normal;
    helper::wait_for("total", async {
        while env.counter.totals.lock().expect("lock").is_empty() {
            request_statuses(&env.gateway, 1).await;
            sleep_ms(50).await;
        }
    })
    .await;
}

/// The gateway's counter client, and the outcomes that it reports.
fn connect_client(
    at: std::net::SocketAddr, call_timeout: Duration,
) -> (fennelscale::control::counter::CounterClient, mpsc::UnboundedReceiver<(u64, CountOutcome)>) {
    let (sender, outcomes) = mpsc::unbounded_channel();
    let callback = move |name, outcome, _| sender.send((name, outcome)).expect("listener");
    (
        fennelscale::control::counter::CounterClient::start(
            at,
            call_timeout,
            Rc::new(callback),
            Rc::default(),
        ),
        outcomes,
    )
}

/// The counter's side of all connections.
struct Peer {
    streams: Vec<TcpStream>,
    texts: Vec<Vec<u8>>,
}

impl Peer {
    async fn accept(listener: &TcpListener) -> Self {
        let mut streams = Vec::new();
        for _ in 0..fennelscale::control::counter::CONNECTIONS {
            streams.push(wait_for("counter connection", listener.accept()).await.expect("connection").0);
        }
        let texts = vec![Vec::new(); streams.len()];
        Self { streams, texts }
    }

    /// Waits for a complete call and returns the index of its connection.
    async fn next_call(&mut self) -> usize {
        let mut bytes = [0; 1024];
        loop {
            for (stream, text) in self.streams.iter_mut().zip(&mut self.texts) {
                let read = tokio::time::timeout(Duration::from_millis(1), stream.read(&mut bytes)).await;
                if let Ok(Ok(read)) = read {
                    text.extend_from_slice(&bytes[..read]);
                }
            }
            // Four arguments, each with its length, after their number.
            let whole = |text: &Vec<u8>| text.iter().filter(|b| **b == b'\n').count() == 9;
            if let Some(connection) = self.texts.iter().position(whole) {
                self.texts[connection].clear();
                return connection;
            }
        }
    }
}

/// Makes a call that gets no answer. A connection that is not established yet reports the call as not added; then the
/// call is repeated.
async fn call_without_answer(
    counter: &fennelscale::control::counter::CounterClient,
    outcomes: &mut mpsc::UnboundedReceiver<(u64, CountOutcome)>,
) {
    loop {
        counter.add(7, 5.0, 1000.0);
        match wait_for("outcome of the call", outcomes.recv()).await {
            Some((7, CountOutcome::NotAdded)) => tokio::task::yield_now().await,
            outcome => return assert_eq!(outcome, Some((7, CountOutcome::Unknown))),
        }
    }
}

#[tokio::test]
async fn answer_after_the_timeout_is_reported_as_late_with_its_amount() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let (counter, mut outcomes) =
            connect_client(listener.local_addr().expect("address"), Duration::from_millis(20));
        let mut peer = Peer::accept(&listener).await;
        call_without_answer(&counter, &mut outcomes).await;
        // The counter answers only after the call has timed out.
        let connection = wait_for("call", peer.next_call()).await;
        peer.streams[connection].write_all(b"$2\r\n12\r\n").await.expect("write");
        let late = CountOutcome::Late { total: 12.0, amount: 5.0 };
        assert_eq!(wait_for("late outcome", outcomes.recv()).await, Some((7, late)));
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test]
async fn call_avoids_an_unresponsive_connection() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let (counter, mut outcomes) =
            connect_client(listener.local_addr().expect("address"), Duration::from_millis(20));
        let mut peer = Peer::accept(&listener).await;
        call_without_answer(&counter, &mut outcomes).await;
        let unresponsive = wait_for("call", peer.next_call()).await;
        counter.add(7, 1.0, 1000.0);
        let connection = wait_for("next call", peer.next_call()).await;
        assert_ne!(connection, unresponsive, "the unresponsive connection is avoided for the same name");
        peer.streams[connection].write_all(b"$1\r\n1\r\n").await.expect("write");
        // The timeout of 20 ms may have elapsed by now; the answer counts in either case.
        let outcome = wait_for("outcome of the call", outcomes.recv()).await;
        let late = CountOutcome::Late { total: 1.0, amount: 1.0 };
        if outcome == Some((7, CountOutcome::Unknown)) {
            assert_eq!(wait_for("late outcome", outcomes.recv()).await, Some((7, late)));
        } else {
            assert_eq!(outcome, Some((7, CountOutcome::Total(1.0))));
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// The CPU time of this thread, which runs both sides of the connections.
fn cpu_time() -> Duration {
    let used = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(
        used.tv_sec.unsigned_abs(),
        u32::try_from(used.tv_nsec).expect("nanoseconds below one second"),
    )
}

#[tokio::test]
async fn waiting_for_a_silent_counter_uses_no_cpu_time() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let (counter, mut outcomes) =
            connect_client(listener.local_addr().expect("address"), Duration::from_millis(20));
        let _peer = Peer::accept(&listener).await;
        // The connections have received nothing for longer than the response timeout, since there were no calls.
        sleep_ms(300).await;
        call_without_answer(&counter, &mut outcomes).await;
        // The call has timed out, and its connection waits for about 230 ms more until it counts as unresponsive.
        let before = cpu_time();
        sleep_ms(150).await;
        let used = cpu_time() - before;
        assert!(used < Duration::from_millis(50), "{used:?} of 150 ms");
    };
    LocalSet::new().run_until(scenario).await;
}
