//! Drains of backends while links between control planes are cut.
//!
//! Every data plane whose confirmation dates from after the acknowledgement of a drain must know of that drain,
//! whichever process the data plane follows.
//!
//! A confirmation is a control plane's answer to a freshness query of a data plane. Its date is the time up to
//! which the state that the data plane has received is complete. A drain is acknowledged once it is recorded in the
//! Raft log; the backend then exits soon, so no data plane may send requests to it any more.

#[path = "support/simulation.rs"]
mod simulation;

use control_plane::{Call, Faults};
use protocol::{Backend, FreshnessAnswer, FreshnessQuery, Message, Phase};
use simulation::{Link, Random, Simulation};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, interval, sleep};

const VOTERS: usize = 3;
/// Number of processes without a Raft log.
const NON_VOTERS: usize = 3;
/// Time until all processes are connected and know the leader.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Interval at which data planes query for a confirmation.
const QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which an isolated process no longer confirms anything.
const ISOLATION_TIME: Duration = Duration::from_millis(3200);
/// Timeout after which a backend calls another process.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a backend calls another process, in which updates of the first process reach others.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// What the data plane at one process has received, and when it sent its queries.
#[derive(Default)]
struct Received {
    draining: BTreeSet<String>,
    drains: u64,
    queried_at: Vec<Instant>,
    answered_at: Option<Instant>,
}

struct World {
    simulation: Simulation,
    received: RefCell<BTreeMap<usize, Received>>,
    /// Backends whose drain was acknowledged, and when.
    acknowledged: RefCell<BTreeMap<String, Instant>>,
    violations: RefCell<Vec<String>>,
}

fn backend(id: &str, phase: Phase, call_count: u64) -> Backend {
    Backend {
        id: id.into(),
        service: "s".into(),
        address: format!("10.1.0.1:{}", 8000 + id.len()),
        zone: "a".into(),
        generation: "1".into(),
        capacity: 1,
        phase,
        warmup_left_ms: 0,
        call_count,
        overdue: false,
    }
}

impl World {
    /// Acts as a data plane on the machine of a process, and checks the updates that the data plane receives.
    async fn observe_updates(&self, process: usize) {
        let (connection, mut frames) = self.simulation.subscribe(process).await;
        let mut query = interval(QUERY_INTERVAL);
        loop {
            tokio::select! {
                frame = frames.recv() => match frame {
                    Some(frame) => self.on_frame(process, &frame),
                    None => return,
                },
                _ = query.tick() => self.query(process, connection).await,
            }
        }
    }

    async fn query(&self, process: usize, connection: u64) {
        let query = {
            let mut received = self.received.borrow_mut();
            let received = received.entry(process).or_default();
            received.queried_at.push(Instant::now());
            FreshnessQuery { number: received.queried_at.len() as u64 - 1, last_drain: received.drains }
        };
        self.simulation.send(process, connection, Message::FreshnessQuery(query)).await;
    }

    fn on_frame(&self, process: usize, frame: &[u8]) {
        match protocol::unframe::<Message>(frame) {
            Ok(Some((Message::Backends { backends, .. }, _))) => {
                let draining = backends.into_iter().filter(|backend| backend.phase != Phase::Serving);
                let ids = draining.map(|backend| backend.id);
                self.received.borrow_mut().entry(process).or_default().draining.extend(ids);
            }
            Ok(Some((Message::FreshnessAnswer(answer), _))) => self.on_answer(process, answer),
            _ => {}
        }
    }

    /// Checks a confirmation: every drain acknowledged before its date must have been received.
    fn on_answer(&self, process: usize, answer: FreshnessAnswer) {
        let Some(age) = answer.age_ms else { return };
        let mut received = self.received.borrow_mut();
        let received = received.entry(process).or_default();
        received.drains = answer.missing_after + answer.missing.len() as u64;
        received.draining.extend(answer.missing);
        received.answered_at = Some(Instant::now());
        let Some(as_of) =
            received.queried_at[answer.number as usize].checked_sub(Duration::from_millis(age.into()))
        else {
            return;
        };
        for (id, at) in self.acknowledged.borrow().iter().filter(|(_, at)| **at <= as_of) {
            if !received.draining.contains(id) {
                let late = as_of - *at;
                self.violations
                    .borrow_mut()
                    .push(format!("process {process} confirms {id} as serving {late:?} after its drain"));
            }
        }
    }

    /// Makes a call as a backend; returns whether it was acknowledged.
    async fn call(&self, process: usize, call: Call) -> bool {
        let reply = self.simulation.call(process, call, CALL_TIMEOUT).await;
        reply.is_some_and(|reply| reply.status == 200)
    }

    /// Reports a drain or a departure to one process after the other until it is acknowledged.
    async fn drain(
        &self, id: &str, departs: bool, processes: impl IntoIterator<Item = usize>,
    ) -> Option<usize> {
        for (process, call_count) in processes.into_iter().zip(100..) {
            let call = match departs {
                true => Call::Departure(id.into()),
                false => Call::Heartbeat(backend(id, Phase::Draining, call_count)),
            };
            if self.call(process, call).await {
                self.acknowledged.borrow_mut().entry(id.into()).or_insert_with(Instant::now);
                return Some(process);
            }
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// The leader: the process whose status reports that it holds the leader lease.
    async fn leader(&self) -> usize {
        for process in (0..VOTERS).cycle() {
            let status = self.simulation.call(process, Call::Status, CALL_TIMEOUT).await;
            let body = status.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
            if body.is_some_and(|body| body.contains(r#""holds_lease":true"#)) {
                return process;
            }
            sleep(Duration::from_millis(20)).await;
        }
        unreachable!("the loop over processes is endless")
    }

    /// Cuts or restores the links between two processes in both directions.
    fn cut(&self, one: usize, other: usize, cut: bool) {
        let link = cut.then_some(Link::Cut);
        self.simulation.link(one, other, link);
        self.simulation.link(other, one, link);
    }

    fn cut_from(&self, one: usize, others: impl IntoIterator<Item = usize>, cut: bool) {
        others.into_iter().filter(|other| *other != one).for_each(|other| self.cut(one, other, cut));
    }

    /// Number of data planes with a confirmation within the last second.
    fn confirmed_data_planes(&self) -> usize {
        let recently = |received: &&Received| {
            received.answered_at.is_some_and(|at| at.elapsed() < Duration::from_secs(1))
        };
        self.received.borrow().values().filter(recently).count()
    }
}

fn run<F: Future>(seed: u64, scenario: impl FnOnce(Rc<World>) -> F) -> Vec<String> {
    run_with(Faults::default(), seed, scenario)
}

fn run_with<F: Future>(faults: Faults, seed: u64, scenario: impl FnOnce(Rc<World>) -> F) -> Vec<String> {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async move {
        let world = Rc::new(World {
            simulation: Simulation::start(VOTERS, NON_VOTERS, seed, faults),
            received: RefCell::default(),
            acknowledged: RefCell::default(),
            violations: RefCell::default(),
        });
        for process in 0..world.simulation.size() {
            let subscriber = world.clone();
            spawn_local(async move { subscriber.observe_updates(process).await });
        }
        sleep(SETTLE_TIME).await;
        scenario(world.clone()).await;
        world.violations.take()
    })
}

/// Reproduces an incident: a backend first calls a voter that is isolated from the other voters only.
#[test]
fn a_drain_first_reported_to_an_isolated_voter_reaches_all_data_planes() {
    for departs in [false, true] {
        let violations = run(1, |world| async move {
            assert!(world.call(VOTERS, Call::Heartbeat(backend("b", Phase::Serving, 1))).await);
            sleep(SETTLE_TIME).await;
            let isolated = (world.leader().await + 1) % VOTERS;
            world.cut_from(isolated, 0..VOTERS, true);
            sleep(SETTLE_TIME).await;
            let acknowledged_by = world.drain("b", departs, [isolated, VOTERS, VOTERS + 1]).await;
            assert_eq!(acknowledged_by, Some(VOTERS), "acknowledging process");
            sleep(ISOLATION_TIME).await;
            assert_eq!(
                world.confirmed_data_planes(),
                VOTERS + NON_VOTERS - 1,
                "all but the isolated process"
            );
        });
        assert!(violations.is_empty(), "departs: {departs}: {violations:#?}");
    }
}

/// A process is lost at the moment of its acknowledgement, so that its latest updates reach no other process.
#[test]
fn an_acknowledged_drain_survives_the_loss_of_the_acknowledging_process() {
    for (seed, departs) in [(2, false), (3, true)] {
        let violations = run(seed, |world| async move {
            assert!(world.call(VOTERS, Call::Heartbeat(backend("b", Phase::Serving, 1))).await);
            sleep(SETTLE_TIME).await;
            let acknowledged_by = world.drain("b", departs, [VOTERS]).await;
            assert_eq!(acknowledged_by, Some(VOTERS), "acknowledging process");
            world.cut_from(VOTERS, 0..VOTERS + NON_VOTERS, true);
            sleep(ISOLATION_TIME).await;
            assert_eq!(world.confirmed_data_planes(), VOTERS + NON_VOTERS - 1, "all but the lost process");
        });
        assert!(violations.is_empty(), "departs: {departs}: {violations:#?}");
    }
}

/// Backends start and drain at random processes while links are cut, processes freeze and disks hang. Sometimes the
/// process that acknowledged a drain is isolated afterwards.
async fn random_scenario(world: Rc<World>, seed: u64) {
    let mut random = Random::new(seed);
    let size = (VOTERS + NON_VOTERS) as u64;
    let mut draw = move |below: u64| random.below(below);
    for round in 0..12 {
        let pair = (draw(size) as usize, draw(size) as usize);
        match draw(6) {
            0 => world.simulation.freeze(pair.0),
            1 => world.simulation.hang_disk(pair.0, true),
            _ => world.cut_from(pair.0, [pair.1], true),
        }
        let id = format!("b-{round}");
        let first_process = draw(size) as usize;
        world.call(first_process, Call::Heartbeat(backend(&id, Phase::Serving, 1))).await;
        // Some backends drain before any other process knows them.
        sleep(Duration::from_millis([0, 40, 1500][draw(3) as usize])).await;
        let departs = draw(2) == 0;
        let order: Vec<usize> = (0..4).map(|_| draw(size) as usize).collect();
        let acknowledged_by = world.drain(&id, departs, order).await;
        let isolated = acknowledged_by.filter(|_| draw(3) == 0);
        isolated.into_iter().for_each(|process| world.cut_from(process, 0..size as usize, true));
        sleep(Duration::from_millis(300 + draw(3000))).await;
        (0..size as usize).for_each(|one| world.cut_from(one, 0..size as usize, false));
        world.simulation.thaw(pair.0);
        world.simulation.hang_disk(pair.0, false);
        sleep(Duration::from_millis(draw(2500))).await;
    }
    sleep(SETTLE_TIME).await;
    let at = draw(size) as usize;
    world.call(at, Call::Heartbeat(backend("last", Phase::Serving, 1))).await;
    assert!(
        world.drain("last", false, [at]).await.is_some(),
        "seed {seed}: not acknowledged after the faults"
    );
}

/// Time limit for an acknowledgement without faults: a hop to the leader, a round trip between voters, and two disks.
const MAX_ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(60);

#[test]
fn every_process_acknowledges_a_drain_quickly_without_faults() {
    let violations = run(4, |world| async move {
        for process in 0..VOTERS + NON_VOTERS {
            let id = format!("b-{process}");
            world.call(process, Call::Heartbeat(backend(&id, Phase::Serving, 1))).await;
            sleep(Duration::from_millis(70)).await;
            for repeated in [false, true] {
                let sent_at = Instant::now();
                assert_eq!(world.drain(&id, repeated, [process]).await, Some(process));
                assert!(
                    sent_at.elapsed() < MAX_ACKNOWLEDGEMENT_TIME,
                    "process {process}: {:?}",
                    sent_at.elapsed()
                );
            }
        }
    });
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Another process was isolated just before; the acknowledgement must not wait for it.
async fn isolated_process_scenario(world: Rc<World>, isolated: usize) {
    assert!(world.call(VOTERS, Call::Heartbeat(backend("b", Phase::Serving, 1))).await);
    sleep(SETTLE_TIME).await;
    world.cut_from(isolated, 0..VOTERS + NON_VOTERS, true);
    let sent_at = Instant::now();
    assert_eq!(world.drain("b", false, [VOTERS]).await, Some(VOTERS));
    assert!(sent_at.elapsed() < MAX_ACKNOWLEDGEMENT_TIME, "{:?}", sent_at.elapsed());
    sleep(ISOLATION_TIME).await;
}

#[test]
fn an_acknowledgement_does_not_wait_for_an_isolated_process() {
    for is_voter in [true, false] {
        let isolated = |leader: usize| if is_voter { (leader + 1) % VOTERS } else { VOTERS + 1 };
        let scenario = |world: Rc<World>| async move {
            let isolated = isolated(world.leader().await);
            isolated_process_scenario(world, isolated).await;
        };
        let violations = run(5, scenario);
        assert!(violations.is_empty(), "voter: {is_voter}: {violations:#?}");
        let faults = Faults { reports_zero_age: true, ..Faults::default() };
        assert!(
            !run_with(faults, 5, scenario).is_empty(),
            "voter: {is_voter}: the injected fault is not detected"
        );
    }
}

/// Time limit for an acknowledgement after a cut: an election, the first lease, and the call. A process that already
/// knows the new leader acknowledges a drain in less than the one second after which a backend calls another process.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(1500);

#[test]
fn a_drain_is_acknowledged_within_a_second_and_a_half_of_the_loss_of_the_leader() {
    for seed in 6..12 {
        let violations = run(seed, |world| async move {
            assert!(world.call(VOTERS, Call::Heartbeat(backend("b", Phase::Serving, 1))).await);
            sleep(SETTLE_TIME).await;
            world.cut_from(world.leader().await, 0..VOTERS + NON_VOTERS, true);
            let cut = Instant::now();
            while world.drain("b", false, VOTERS..VOTERS + NON_VOTERS).await.is_none() {
                assert!(cut.elapsed() < MAX_RECOVERY_TIME, "not acknowledged after {:?}", cut.elapsed());
            }
            sleep(ISOLATION_TIME).await;
        });
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

#[test]
fn drains_reach_all_data_planes_under_random_cuts() {
    for seed in 1..=4 {
        let violations = run(seed, |world| random_scenario(world, seed));
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
