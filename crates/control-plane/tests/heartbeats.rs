//! Ordinary heartbeats of backends at processes that are cut off, and who knows of these backends then.

#[path = "support/simulation.rs"]
#[allow(dead_code)] // Not all that share this simulation freeze processes or hang disks.
mod simulation;

use control_plane::{Call, Faults};
use protocol::{Backend, Message, Phase};
use simulation::{Link, Simulation};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout_at};

const VOTERS: usize = 3;
const OTHERS: usize = 2;
/// Until all have met and a leader is known everywhere.
const SETTLED: Duration = Duration::from_secs(6);
/// A caller goes on to another process after this.
const CALLER_WAITS: Duration = Duration::from_secs(1);
/// Who is cut off does not say so sooner than this after the cut, and does after the second one.
const ELECTION: Duration = Duration::from_millis(1400);
const NOTICED: Duration = Duration::from_millis(2500);
const STEP: Duration = Duration::from_millis(100);

fn heartbeat(id: &str, capacity: u32, call_count: u64) -> Call {
    Call::Heartbeat(Backend {
        service: "s".into(),
        // Each at an address of its own, or the next one at it would end the one before.
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

fn cut(simulation: &Simulation, victim: usize, others: impl IntoIterator<Item = usize>, link: Option<Link>) {
    for other in others.into_iter().filter(|other| *other != victim) {
        simulation.link(victim, other, link);
        simulation.link(other, victim, link);
    }
}

async fn acknowledges(simulation: &Simulation, process: usize, call: Call) -> bool {
    simulation.call(process, call, CALLER_WAITS).await.is_some_and(|reply| reply.status == 200)
}

/// Who leads, by its own word.
async fn leader(simulation: &Simulation) -> usize {
    for process in 0..VOTERS {
        let status = simulation.call(process, Call::Status, CALLER_WAITS).await;
        let body = status.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
        if body.is_some_and(|body| body.contains(r#""holds_lease":true"#)) {
            return process;
        }
    }
    unreachable!("a settled system has a leader")
}

/// The capacity of a backend, as a process tells a follower that has just come.
async fn capacity_told(simulation: &Simulation, process: usize, id: &str) -> Option<u32> {
    let (_, mut frames) = simulation.follow(process).await;
    while let Some(frame) = frames.recv().await {
        if let Ok(Some((Message::Backends { backends, .. }, _))) = protocol::unframe::<Message>(&frame) {
            return backends.into_iter().find(|backend| backend.id == id).map(|backend| backend.capacity);
        }
    }
    None
}

fn run<F: Future>(story: impl FnOnce(Simulation) -> F) {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async move {
        let simulation = Simulation::start(VOTERS, OTHERS, 3, Faults::default());
        sleep(SETTLED).await;
        story(simulation).await;
    });
}

/// A voter and a process without a log: cut off from all, or from the voters only.
#[test]
fn who_is_cut_off_sends_backends_on_and_the_others_learn_what_is_new() {
    for (victim, from) in [(2, 0..VOTERS + OTHERS), (2, 0..VOTERS), (3, 0..VOTERS), (4, 0..VOTERS + OTHERS)] {
        run(|simulation| async move {
            assert!(acknowledges(&simulation, victim, heartbeat("b", 4, 1)).await);
            sleep(SETTLED).await;
            cut(&simulation, victim, from.clone(), Some(Link::Cut));
            let began = Instant::now();
            let mut call_count = 2;
            while acknowledges(&simulation, victim, heartbeat("b", 9, call_count)).await {
                assert!(
                    began.elapsed() < NOTICED,
                    "{victim} acknowledges {:?} after the cut",
                    began.elapsed()
                );
                call_count += 1;
                sleep(STEP).await;
            }
            // Sent on, the backend calls another process: its new room is known there.
            let other = (0..VOTERS).find(|at| *at != victim).expect("another one");
            assert!(acknowledges(&simulation, other, heartbeat("b", 9, call_count + 1)).await);
            for process in (0..VOTERS).filter(|at| *at != victim) {
                sleep(STEP).await;
                assert_eq!(capacity_told(&simulation, process, "b").await, Some(9), "{victim}, {process}");
            }
            cut(&simulation, victim, from, None);
            sleep(SETTLED).await;
            assert!(acknowledges(&simulation, victim, heartbeat("b", 9, call_count + 2)).await, "it is back");
        });
    }
}

/// What a follower of a process is told of backends in this time: messages, and the ids of those that serve and that leave.
async fn told(simulation: &Simulation, process: usize, span: Duration) -> impl Future<Output = Told> + use<> {
    let (_, mut frames) = simulation.follow(process).await;
    async move {
        let mut told = Told::default();
        let until = Instant::now() + span;
        while let Ok(Some(frame)) = timeout_at(until, frames.recv()).await {
            if let Ok(Some((Message::Backends { is_complete: false, backends }, _))) =
                protocol::unframe::<Message>(&frame)
            {
                told.messages += 1;
                for backend in backends {
                    match backend.phase {
                        Phase::Serving => told.serving.insert(backend.id),
                        _ => told.leaving.insert(backend.id),
                    };
                }
            }
        }
        told
    }
}

#[derive(Debug, Default)]
struct Told {
    messages: usize,
    serving: BTreeSet<String>,
    leaving: BTreeSet<String>,
}

/// Hundreds of backends come within moments: few messages tell of them, here and elsewhere, and none is left out. Who leaves
/// is told of at once.
#[test]
fn many_that_come_at_once_are_told_of_together_and_who_leaves_at_once() {
    run(|simulation| async move {
        assert!(acknowledges(&simulation, 0, heartbeat("old", 4, 1)).await);
        sleep(SETTLED).await;
        for process in [0, 1, VOTERS] {
            let prefix = format!("b-{process}");
            let hears = told(&simulation, process, Duration::from_millis(300)).await;
            for number in 0..HERD {
                assert!(acknowledges(&simulation, 0, heartbeat(&format!("{prefix}-{number}"), 4, 1)).await);
            }
            let told = hears.await;
            let heard = told.serving.iter().filter(|id| id.starts_with(&prefix)).count();
            assert_eq!(heard, HERD as usize, "process {process}");
            assert!(told.messages <= MOST_MESSAGES, "process {process}: {} messages", told.messages);
        }
        let hears = told(&simulation, 0, Duration::from_millis(10)).await;
        let leaving = Backend { call_count: 2, ..Backend::draining("old".into()) };
        let leaving = Backend { address: "10.1.0.1:80".into(), service: "s".into(), ..leaving };
        let _ = simulation.call(0, Call::Heartbeat(leaving), Duration::from_millis(1)).await;
        assert!(hears.await.leaving.contains("old"));
    });
}

const HERD: u32 = 200;
/// Within 300 ms: a message for each 50 ms, and some.
const MOST_MESSAGES: usize = 12;

#[test]
fn an_election_sends_no_backend_on() {
    run(|simulation| async move {
        let mut call_count = 1;
        let leader = leader(&simulation).await;
        cut(&simulation, leader, 0..VOTERS + OTHERS, Some(Link::Cut));
        let others = || (0..VOTERS + OTHERS).filter(|process| *process != leader);
        let began = Instant::now();
        while began.elapsed() < ELECTION {
            for process in others() {
                assert!(acknowledges(&simulation, process, heartbeat("b", 4, call_count)).await, "{process}");
                call_count += 1;
            }
            sleep(STEP).await;
        }
        sleep(SETTLED).await;
        for process in others() {
            assert!(acknowledges(&simulation, process, heartbeat("b", 4, call_count)).await, "{process}");
            call_count += 1;
        }
    });
}
