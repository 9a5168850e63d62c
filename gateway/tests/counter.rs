//! Quotas on the shared counter, and what is left of them when it fails.

mod helper;

use doorcourse::CountOutcome;
use helper::{Backend, Counter, Discovery, Do, Gateway, Mood, Setup, World, ok, pause, request, row, soon};
use http_proxy::engine::Counter as _;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

async fn statuses(gateway: &Gateway, count: usize) -> Vec<u16> {
    let (mut client, mut statuses) = (gateway.client().await, Vec::new());
    for _ in 0..count {
        let reply = client.ask(&request("look", 900, "", "")).await;
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

/// A plan of ten units at once that fills in a quarter of an hour.
fn small(backend: &Backend) -> Setup {
    Setup { rate: 0.01, burst: 10.0, ..Setup::knowing(&[row("b", backend.at, "in_service")]) }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_gateways_share_one_quota() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let (discovery, counter) = (Discovery::start().await, Counter::start(Mood::Adds).await);
    let mut sum = 0;
    for number in 0..2 {
        let setup = Setup { gateways: 2, number, ..small(&backend) };
        let gateway = Gateway::start(discovery.at, counter.at, &setup).await;
        let said = statuses(&gateway, 15).await;
        sum += served(&said);
    }
    assert_eq!(sum, 10);
    assert_eq!(backend.attempts(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_counter_that_fails_in_any_way_leaves_the_even_slice() {
    for mood in [Mood::Silent, Mood::Busy, Mood::Babbles, Mood::Late(200)] {
        let backend = Backend::start(&[Do::Say(ok("x"))]).await;
        let world = World::set(&small(&backend), mood).await;
        let said = statuses(&world.gateway, 15).await;
        assert_eq!(served(&said), 10, "{mood:?}");
        assert_eq!(backend.attempts(), 10, "{mood:?}");
        assert!(world.counter.calls.load(Ordering::SeqCst) > 0, "{mood:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_read_off_and_not_taken_for_that_of_the_next_call() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::set(&small(&backend), Mood::Late(150)).await;
    assert_eq!(served(&statuses(&world.gateway, 1).await), 1);
    *world.counter.mood.lock().expect("lock") = Mood::Adds;
    pause(400).await;
    // Another customer on any line: its own total, so its whole quota, no more.
    let (mut client, mut count) = (world.gateway.client().await, 0);
    for _ in 0..15 {
        let text = request("look", 900, "", "").replace("b4d65521", "b4d65522");
        count += usize::from(client.ask(&text).await.status() == 200);
    }
    assert_eq!(count, 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_counter_that_comes_back_is_called_again() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let world = World::set(&Setup { rate: 50.0, burst: 50.0, ..small(&backend) }, Mood::Babbles).await;
    served(&statuses(&world.gateway, 5).await);
    *world.counter.mood.lock().expect("lock") = Mood::Adds;
    helper::soon("a total", async {
        while world.counter.totals.lock().expect("lock").is_empty() {
            statuses(&world.gateway, 1).await;
            pause(50).await;
        }
    })
    .await;
}

/// The gateway's own side of the counter, and all that it tells.
fn lanes(
    at: std::net::SocketAddr, patience: Duration,
) -> (fennelscale::control::counter::CounterClient, mpsc::UnboundedReceiver<(u64, CountOutcome)>) {
    let (tell, told) = mpsc::unbounded_channel();
    let report = move |name, outcome, _| tell.send((name, outcome)).expect("a listener");
    (fennelscale::control::counter::CounterClient::start(at, patience, Rc::new(report), Rc::default()), told)
}

/// The counter's end of all lanes.
struct Peer {
    streams: Vec<TcpStream>,
    texts: Vec<Vec<u8>>,
}

impl Peer {
    async fn accept(listener: &TcpListener) -> Self {
        let mut streams = Vec::new();
        for _ in 0..fennelscale::control::counter::CONNECTIONS {
            streams.push(soon("a lane", listener.accept()).await.expect("a connection").0);
        }
        let texts = vec![Vec::new(); streams.len()];
        Self { streams, texts }
    }

    /// Waits for a further whole call and tells on which lane it came.
    async fn heard(&mut self) -> usize {
        let mut bytes = [0; 1024];
        loop {
            for (stream, text) in self.streams.iter_mut().zip(&mut self.texts) {
                let read = tokio::time::timeout(Duration::from_millis(1), stream.read(&mut bytes)).await;
                if let Ok(Ok(read)) = read {
                    text.extend_from_slice(&bytes[..read]);
                }
            }
            // Four words, each with its length, after their number.
            let whole = |text: &Vec<u8>| text.iter().filter(|b| **b == b'\n').count() == 9;
            if let Some(lane) = self.texts.iter().position(whole) {
                self.texts[lane].clear();
                return lane;
            }
        }
    }
}

/// Makes a call that gets no answer. A lane may not have noticed yet that it is up: such a call is told as not
/// added, and made again.
async fn call_in_vain(
    counter: &fennelscale::control::counter::CounterClient,
    told: &mut mpsc::UnboundedReceiver<(u64, CountOutcome)>,
) {
    loop {
        counter.add(7, 5.0, 1000.0);
        match soon("word of the call", told.recv()).await {
            Some((7, CountOutcome::NotAdded)) => tokio::task::yield_now().await,
            word => return assert_eq!(word, Some((7, CountOutcome::Unknown))),
        }
    }
}

#[tokio::test]
async fn an_answer_after_the_patience_is_told_as_late_with_what_it_added() {
    let scene = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (counter, mut told) =
            lanes(listener.local_addr().expect("an address"), Duration::from_millis(20));
        let mut peer = Peer::accept(&listener).await;
        call_in_vain(&counter, &mut told).await;
        // Only now, after the patience is over, does the counter answer.
        let lane = soon("the call", peer.heard()).await;
        peer.streams[lane].write_all(b"$2\r\n12\r\n").await.expect("written");
        let late = CountOutcome::Late { total: 12.0, amount: 5.0 };
        assert_eq!(soon("the late word", told.recv()).await, Some((7, late)));
    };
    LocalSet::new().run_until(scene).await;
}

#[tokio::test]
async fn a_call_passes_over_a_lane_that_has_gone_blind() {
    let scene = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (counter, mut told) =
            lanes(listener.local_addr().expect("an address"), Duration::from_millis(20));
        let mut peer = Peer::accept(&listener).await;
        call_in_vain(&counter, &mut told).await;
        let blind = soon("the call", peer.heard()).await;
        counter.add(7, 1.0, 1000.0);
        let lane = soon("the next call", peer.heard()).await;
        assert_ne!(lane, blind, "the same name, but the lane that answers nothing is passed over");
        peer.streams[lane].write_all(b"$1\r\n1\r\n").await.expect("written");
        // The patience of 20 ms may be over by now: the answer counts either way.
        let word = soon("word of the call", told.recv()).await;
        let late = CountOutcome::Late { total: 1.0, amount: 1.0 };
        if word == Some((7, CountOutcome::Unknown)) {
            assert_eq!(soon("the late word", told.recv()).await, Some((7, late)));
        } else {
            assert_eq!(word, Some((7, CountOutcome::Total(1.0))));
        }
    };
    LocalSet::new().run_until(scene).await;
}

/// The processor time of this thread, on which both ends of the lanes run.
fn processor_time() -> Duration {
    let spent = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(spent.tv_sec.unsigned_abs(), u32::try_from(spent.tv_nsec).expect("below a second"))
}

#[tokio::test]
async fn waiting_for_a_counter_that_says_nothing_takes_no_processor_time() {
    let scene = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (counter, mut told) =
            lanes(listener.local_addr().expect("an address"), Duration::from_millis(20));
        let _peer = Peer::accept(&listener).await;
        // The lanes have heard nothing for longer than a silence may last, as there was nothing to hear.
        pause(300).await;
        call_in_vain(&counter, &mut told).await;
        // The call was given up, and its lane waits for the end of the silence, for some 230 ms.
        let before = processor_time();
        pause(150).await;
        let spent = processor_time() - before;
        assert!(spent < Duration::from_millis(50), "{spent:?} of 150 ms");
    };
    LocalSet::new().run_until(scene).await;
}
