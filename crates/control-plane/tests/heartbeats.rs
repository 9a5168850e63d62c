//! Heartbeats of backends at isolated processes, and which processes know these backends then.
//!
//! An isolated process has no contact to the leader. The process refuses heartbeats, so that the backends call
//! another process, whose updates reach the data planes.

#[path = "support/simulation.rs"]
#[allow(dead_code)] // These tests freeze no processes and hang no disks.
mod simulation;

use control_plane::{Call, Faults};
use protocol::{Backend, Message, Phase};
use simulation::{Link, Simulation};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout_at};

const VOTERS: usize = 3;
const NON_VOTERS: usize = 2;
/// Time until all processes are connected and know the leader.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Timeout after which a backend calls another process.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// An isolated process still accepts heartbeats for [`MAX_ELECTION_TIME`] after the cut, because the cause may be an
/// election, and refuses heartbeats after [`ISOLATION_NOTICE_TIME`].
const MAX_ELECTION_TIME: Duration = Duration::from_millis(1400);
const ISOLATION_NOTICE_TIME: Duration = Duration::from_millis(2500);
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(100);

fn heartbeat(id: &str, capacity: u32, call_count: u64) -> Call {
    Call::Heartbeat(Backend {
        service: "s".into(),
        // Each backend needs its own address: a new backend replaces the former one at the same address.
        address: format!(
            "10.1.0.1:{}",
            1000 + id.bytes().fold(0u32, |sum, byte| (sum * 31 + u32::from(byte)) % 60_000)
        ),
        zone: "a".into(),
        capacity,
        phase: Phase::Serving,
        call_count,
        ..Backend::draining(id.into())
    })
}

fn cut(
    simulation: &Simulation, isolated: usize, others: impl IntoIterator<Item = usize>, link: Option<Link>,
) {
    for other in others.into_iter().filter(|other| *other != isolated) {
        simulation.link(isolated, other, link);
        simulation.link(other, isolated, link);
    }
}

async fn acknowledges(simulation: &Simulation, process: usize, call: Call) -> bool {
    simulation.call(process, call, CALL_TIMEOUT).await.is_some_and(|reply| reply.status == 200)
}

/// The leader: the process whose status reports that it holds the leader lease.
async fn leader(simulation: &Simulation) -> usize {
    for process in 0..VOTERS {
        let status = simulation.call(process, Call::Status, CALL_TIMEOUT).await;
        let body = status.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
        if body.is_some_and(|body| body.contains(r#""holds_lease":true"#)) {
            return process;
        }
    }
    unreachable!("a settled system has a leader")
}

/// The capacity of a backend, as a process sends it to a new subscriber.
async fn published_capacity(simulation: &Simulation, process: usize, id: &str) -> Option<u32> {
    let (_, mut frames) = simulation.subscribe(process).await;
    while let Some(frame) = frames.recv().await {
        if let Ok(Some((Message::Backends { backends, .. }, _))) = protocol::unframe::<Message>(&frame) {
            return backends.into_iter().find(|backend| backend.id == id).map(|backend| backend.capacity);
        }
    }
    None
}

fn run<F: Future>(scenario: impl FnOnce(Simulation) -> F) {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async move {
        let simulation = Simulation::start(VOTERS, NON_VOTERS, 3, Faults::default());
        sleep(SETTLE_TIME).await;
        scenario(simulation).await;
    });
}

/// A voter and a process without a Raft log are isolated from all processes, or from the voters only.
#[test]
fn an_isolated_process_refuses_heartbeats_and_the_others_learn_of_changes() {
    for (isolated, from) in
        [(2, 0..VOTERS + NON_VOTERS), (2, 0..VOTERS), (3, 0..VOTERS), (4, 0..VOTERS + NON_VOTERS)]
    {
        run(|simulation| async move {
            assert!(acknowledges(&simulation, isolated, heartbeat("b", 4, 1)).await);
            sleep(SETTLE_TIME).await;
            cut(&simulation, isolated, from.clone(), Some(Link::Cut));
            let began = Instant::now();
            let mut call_count = 2;
            while acknowledges(&simulation, isolated, heartbeat("b", 9, call_count)).await {
                assert!(
                    began.elapsed() < ISOLATION_NOTICE_TIME,
                    "{isolated} acknowledges {:?} after the cut",
                    began.elapsed()
                );
                call_count += 1;
                sleep(HEARTBEAT_PAUSE).await;
            }
            // The refused backend calls another process, which publishes its new capacity.
            let other = (0..VOTERS).find(|at| *at != isolated).expect("another one");
            assert!(acknowledges(&simulation, other, heartbeat("b", 9, call_count + 1)).await);
            for process in (0..VOTERS).filter(|at| *at != isolated) {
                sleep(HEARTBEAT_PAUSE).await;
                assert_eq!(
                    published_capacity(&simulation, process, "b").await,
                    Some(9),
                    "{isolated}, {process}"
                );
            }
            cut(&simulation, isolated, from, None);
            sleep(SETTLE_TIME).await;
            assert!(
                acknowledges(&simulation, isolated, heartbeat("b", 9, call_count + 2)).await,
                "after the isolation"
            );
        });
    }
}

/// Collects the updates about backends that a process sends to a subscriber within this time.
async fn collect_updates(
    simulation: &Simulation, process: usize, span: Duration,
) -> impl Future<Output = Updates> + use<> {
    let (_, mut frames) = simulation.subscribe(process).await;
    async move {
        let mut updates = Updates::default();
        let until = Instant::now() + span;
        while let Ok(Some(frame)) = timeout_at(until, frames.recv()).await {
            if let Ok(Some((Message::Backends { is_complete: false, backends }, _))) =
                protocol::unframe::<Message>(&frame)
            {
                updates.messages += 1;
                for backend in backends {
                    match backend.phase {
                        Phase::Serving => updates.serving.insert(backend.id),
                        _ => updates.draining.insert(backend.id),
                    };
                }
            }
        }
        updates
    }
}

#[derive(Debug, Default)]
struct Updates {
    messages: usize,
    serving: BTreeSet<String>,
    draining: BTreeSet<String>,
}

/// Hundreds of new backends within moments are published in few messages, at the same process and at others, and none
/// is missing. A draining backend is published immediately.
#[test]
fn new_backends_are_published_in_batches_and_draining_ones_immediately() {
    run(|simulation| async move {
        assert!(acknowledges(&simulation, 0, heartbeat("old", 4, 1)).await);
        sleep(SETTLE_TIME).await;
        for process in [0, 1, VOTERS] {
            let prefix = format!("b-{process}");
            let collecting = collect_updates(&simulation, process, Duration::from_millis(300)).await;
            for number in 0..NEW_BACKENDS {
                assert!(acknowledges(&simulation, 0, heartbeat(&format!("{prefix}-{number}"), 4, 1)).await);
            }
            let updates = collecting.await;
            let published = updates.serving.iter().filter(|id| id.starts_with(&prefix)).count();
            assert_eq!(published, NEW_BACKENDS as usize, "process {process}");
            assert!(updates.messages <= MAX_MESSAGES, "process {process}: {} messages", updates.messages);
        }
        let collecting = collect_updates(&simulation, 0, Duration::from_millis(10)).await;
        let draining = Backend { call_count: 2, ..Backend::draining("old".into()) };
        let draining = Backend { address: "10.1.0.1:80".into(), service: "s".into(), ..draining };
        let _ = simulation.call(0, Call::Heartbeat(draining), Duration::from_millis(1)).await;
        assert!(collecting.await.draining.contains("old"));
    });
}

const NEW_BACKENDS: u32 = 200;
/// Maximum number of messages in 300 ms: one per batch interval of 50 ms, plus a margin.
const MAX_MESSAGES: usize = 12;

#[test]
fn no_heartbeat_is_refused_during_an_election() {
    run(|simulation| async move {
        let mut call_count = 1;
        let leader = leader(&simulation).await;
        cut(&simulation, leader, 0..VOTERS + NON_VOTERS, Some(Link::Cut));
        let others = || (0..VOTERS + NON_VOTERS).filter(|process| *process != leader);
        let began = Instant::now();
        while began.elapsed() < MAX_ELECTION_TIME {
            for process in others() {
                assert!(acknowledges(&simulation, process, heartbeat("b", 4, call_count)).await, "{process}");
                call_count += 1;
            }
            sleep(HEARTBEAT_PAUSE).await;
        }
        sleep(SETTLE_TIME).await;
        for process in others() {
            assert!(acknowledges(&simulation, process, heartbeat("b", 4, call_count)).await, "{process}");
            call_count += 1;
        }
    });
}
