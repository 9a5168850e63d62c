//! What control planes may answer while they are isolated, frozen, or waiting for a hanging disk.
//!
//! Operators call all processes continuously, a data plane subscribes to each process from the same machine, and a
//! backend asks each process to acknowledge its drain. The tests check that the operators' history is linearizable,
//! that an isolated process gives no definite answer, that updates marked as current are current, and that the other
//! processes keep serving.
//!
//! A definite answer is one that the caller may rely on: an accepted or refused change, or a read. An update is
//! current if its sender marks its state as recently confirmed by the leader.

#[path = "support/linearizability.rs"]
mod linearizability;
#[path = "support/simulation.rs"]
mod simulation;

use control_plane::{Call, Faults};
use linearizability::{Answer, ConfigRegister, History, Order, check};
use protocol::{Backend, Message, Phase};
use simulation::{Link, Random, Simulation};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Duration of a disruption.
const DISRUPTION_TIME: Duration = Duration::from_secs(20);
/// Time by which the processes agree again after a disruption begins or ends: the bound `contact_ms`.
const RECOVERY_TIME: Duration = Duration::from_millis(3000);
/// Maximum age of an update that is marked as current: the time for which the leader's confirmation is valid.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(800);
/// How long an isolated process may still give definite answers: messages in transit, and the rest of a lease.
const ISOLATION_LEEWAY: Duration = Duration::from_millis(1000);
/// Timeouts of an operator's calls, as on the control socket.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2500);
const OPERATORS: usize = 4;

/// A disruption of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disruption {
    /// All frames to the process are lost.
    CutIn,
    /// All frames from the process are lost.
    CutOut,
    /// All frames to and from the process are lost.
    CutBoth,
    /// Frames to the process are acknowledged by a relay, but delivered only after the disruption.
    HeldIn,
    /// Frames in both directions are held in the same way.
    HeldBoth,
    /// The process does not run.
    Frozen,
    /// The disk completes no write.
    DiskHangs,
}

const DISRUPTIONS: [Disruption; 7] = [
    Disruption::CutIn,
    Disruption::CutOut,
    Disruption::CutBoth,
    Disruption::HeldIn,
    Disruption::HeldBoth,
    Disruption::Frozen,
    Disruption::DiskHangs,
];

/// The processes to which a disruption happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Targets {
    Leader,
    Follower,
    /// A process without a Raft log.
    WithoutLog,
    /// A minority of five voters, which stay connected to each other.
    LeaderAndFollower,
}

/// What the simulated operators, data planes and backends have observed.
#[derive(Default)]
struct Observations {
    history: History<Order, Answer>,
    bodies: HashMap<Vec<u8>, (u64, u64)>,
    /// Acknowledged versions with the time of the acknowledgement.
    acknowledged: Vec<(Instant, u64)>,
    /// Processes that receive from no majority or reach no majority, and since when.
    isolated_since: BTreeMap<usize, Instant>,
    contents: u64,
    /// When each process last sent a current update, and last acknowledged a drain.
    updates: BTreeMap<usize, Instant>,
    drains: BTreeMap<usize, Instant>,
    violations: Vec<String>,
}

impl Observations {
    /// Checks a definite answer of a process: only a process in contact with a majority may give one.
    fn check_definite_answer(&mut self, process: usize, what: &str) {
        if let Some(since) =
            self.isolated_since.get(&process).filter(|since| since.elapsed() > ISOLATION_LEEWAY)
        {
            self.violations.push(format!("{what} by process {process}, isolated for {:?}", since.elapsed()));
        }
    }
}

struct World {
    simulation: Simulation,
    observed: RefCell<Observations>,
}

fn config(version: u64, content: u64) -> Vec<u8> {
    format!(
        r#"{{"generation":"r{version}","route_table":{{"r":{{"authority":"h{content}.example","path_prefix":"/",
        "variant":"pure","deadline_ms":1000,"goal_ms":500,"rank":1,"target":"s","max_tries":2,"public":true}}}},
        "service_table":{{"s":{{"health_path":"/h","max_conns":10,"protocol":"h1","tls_mode":false}}}},
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1000000,"header_wait_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
    .into_bytes()
}

impl World {
    /// Makes one call as an operator; returns the answer if it is definite.
    async fn order(&self, process: usize, order: Order) -> Option<Answer> {
        let (call, within) = match &order {
            Order::Read => (protocol::LeaderCall::Read, READ_TIMEOUT),
            Order::Replace { base, version, content } => {
                let body = config(*version, *content);
                self.observed.borrow_mut().bodies.insert(body.clone(), (*version, *content));
                (protocol::LeaderCall::Replace { base: *base, body }, CHANGE_TIMEOUT)
            }
        };
        let number = self.observed.borrow_mut().history.invoke(order.clone());
        let reply = self.simulation.call(process, Call::Order(call), within).await?;
        let mut observed = self.observed.borrow_mut();
        let answer = match (reply.status, &order) {
            (200, Order::Read) => Answer::Newest(Some(observed.bodies[&reply.body])),
            (404, Order::Read) => Answer::Newest(None),
            (200, Order::Replace { version, .. }) => {
                observed.acknowledged.push((Instant::now(), *version));
                Answer::Accepted
            }
            (409 | 412, _) => Answer::Refused,
            _ => return None,
        };
        observed.history.answer(number, answer.clone());
        observed.check_definite_answer(process, &format!("{order:?} {answer:?}"));
        Some(answer)
    }

    /// Reads, builds a change on the result, and sends the change until there is a definite answer.
    async fn operate(&self, mut random: Random) {
        loop {
            sleep(Duration::from_millis(100 + random.below(500))).await;
            let any = |random: &mut Random| random.below(self.simulation.size() as u64) as usize;
            let Some(Answer::Newest(newest)) = self.order(any(&mut random), Order::Read).await else {
                continue;
            };
            let base = newest.map_or(0, |(version, _)| version);
            let content = {
                let mut observed = self.observed.borrow_mut();
                observed.contents += 1;
                observed.contents
            };
            let order = Order::Replace { base, version: base + 1, content };
            let mut tries = 0;
            while self.order(any(&mut random), order.clone()).await.is_none() && tries < 20 {
                tries += 1;
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Acts as a data plane on the machine of a process.
    async fn observe_updates(&self, process: usize) {
        let (_, mut frames) = self.simulation.subscribe(process).await;
        while let Some(frame) = frames.recv().await {
            let Ok(Some((Message::Heartbeat(heartbeat), _))) = protocol::unframe::<Message>(&frame) else {
                continue;
            };
            let mut observed = self.observed.borrow_mut();
            let known = observed.acknowledged.iter().filter(|(at, _)| at.elapsed() > MAX_CONFIRMATION_AGE);
            let newest = known.map(|(_, version)| *version).max().unwrap_or(0);
            if heartbeat.fresh && heartbeat.version < newest {
                let version = heartbeat.version;
                observed
                    .violations
                    .push(format!("process {process} reports r{version} as the newest, not r{newest}"));
            }
            if heartbeat.fresh {
                observed.check_definite_answer(process, "current update");
                observed.updates.insert(process, Instant::now());
            }
        }
    }

    /// Acts as draining backends that each call one process only.
    async fn drain(&self, process: usize) {
        for number in 1.. {
            sleep(Duration::from_millis(200)).await;
            let draining = Backend {
                id: format!("b-{process}"),
                service: "s".into(),
                address: "10.1.0.1:80".into(),
                zone: "a".into(),
                generation: "1".into(),
                capacity: 1,
                phase: Phase::Draining,
                warmup_left_ms: 0,
                call_count: number,
                overdue: false,
            };
            let reply = self.simulation.call(process, Call::Heartbeat(draining), READ_TIMEOUT).await;
            if reply.is_some_and(|reply| reply.status == 200) {
                let mut observed = self.observed.borrow_mut();
                observed.check_definite_answer(process, "drain acknowledgement");
                observed.drains.insert(process, Instant::now());
            }
        }
    }

    /// The leader: the process whose status reports that it holds the leader lease.
    async fn leader(&self) -> usize {
        for process in (0..self.simulation.size()).cycle() {
            let status = self.simulation.call(process, Call::Status, READ_TIMEOUT).await;
            let body = status.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
            if body.is_some_and(|body| body.contains(r#""holds_lease":true"#)) {
                return process;
            }
            sleep(Duration::from_millis(20)).await;
        }
        unreachable!("the loop over processes is endless")
    }

    fn apply(&self, disruption: Disruption, targets: &[usize], begins: bool) {
        let simulation = &self.simulation;
        let others = || (0..simulation.size()).filter(|process| !targets.contains(process));
        let link = match disruption {
            Disruption::CutIn | Disruption::CutOut | Disruption::CutBoth => Some(Link::Cut),
            Disruption::HeldIn | Disruption::HeldBoth => Some(Link::Held),
            Disruption::Frozen | Disruption::DiskHangs => None,
        };
        for target in targets {
            match disruption {
                Disruption::Frozen if begins => simulation.freeze(*target),
                Disruption::Frozen => simulation.thaw(*target),
                Disruption::DiskHangs => simulation.hang_disk(*target, begins),
                _ => {}
            }
            for other in others().filter(|_| link.is_some()) {
                if disruption != Disruption::CutOut {
                    simulation.link(other, *target, link.filter(|_| begins));
                }
                if !matches!(disruption, Disruption::CutIn | Disruption::HeldIn) {
                    simulation.link(*target, other, link.filter(|_| begins));
                }
            }
        }
    }

    async fn disrupt(&self, disruption: Disruption, targets: &[usize], span: Duration) {
        self.apply(disruption, targets, true);
        if disruption != Disruption::DiskHangs {
            let since = Instant::now();
            self.observed.borrow_mut().isolated_since.extend(targets.iter().map(|target| (*target, since)));
        }
        sleep(span).await;
        self.apply(disruption, targets, false);
        // A thawed process first handles what waits in its sockets, at the same instant.
        sleep(Duration::from_micros(100)).await;
        self.observed.borrow_mut().isolated_since.retain(|process, _| !targets.contains(process));
    }
}

/// Reads continuously from a disrupted process in the first moments, while another process accepts changes: the time
/// in which a replaced leader does not yet know of its successor is short.
fn load_first_moments(world: &Rc<World>, disrupted: usize, other: usize) {
    for at in 0..150 {
        let world = world.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(at * 10)).await;
            world.order(disrupted, Order::Read).await;
        });
    }
    let world = world.clone();
    spawn_local(async move {
        for content in (1 << 32)..(1 << 32) + 100 {
            sleep(Duration::from_millis(15)).await;
            if let Some(Answer::Newest(newest)) = world.order(other, Order::Read).await {
                let base = newest.map_or(0, |(version, _)| version);
                world.order(other, Order::Replace { base, version: base + 1, content }).await;
            }
        }
    });
}

fn run<F: Future>(
    voters: usize, others: usize, seed: u64, faults: Faults, scenario: impl FnOnce(Rc<World>) -> F,
) -> Vec<String> {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async move {
        let simulation = Simulation::start(voters, others, seed, faults);
        let world = Rc::new(World { simulation, observed: RefCell::default() });
        for process in 0..world.simulation.size() {
            let (subscriber, backend) = (world.clone(), world.clone());
            spawn_local(async move { subscriber.observe_updates(process).await });
            spawn_local(async move { backend.drain(process).await });
        }
        for operator in 0..OPERATORS {
            let (world, random) = (world.clone(), Random::new(seed * 100 + operator as u64));
            spawn_local(async move { world.operate(random).await });
        }
        scenario(world.clone()).await;
        let mut observed = world.observed.borrow_mut();
        let mut violations = std::mem::take(&mut observed.violations);
        violations
            .extend(check(&ConfigRegister, &observed.history).err().map(|violation| violation.to_string()));
        violations
    })
}

/// Runs one disruption of twenty seconds, during which the other processes must keep serving.
fn run_disruption(disruption: Disruption, targets: Targets, seed: u64, faults: Faults) -> Vec<String> {
    let voters = if targets == Targets::LeaderAndFollower { 5 } else { 3 };
    run(voters, 2, seed, faults, |world| async move {
        sleep(RECOVERY_TIME * 2).await;
        let leader = world.leader().await;
        let follower = (leader + 1) % voters;
        let disrupted = match targets {
            Targets::Leader => vec![leader],
            Targets::Follower => vec![follower],
            Targets::WithoutLog => vec![voters],
            Targets::LeaderAndFollower => vec![leader, follower],
        };
        let begun = Instant::now();
        load_first_moments(&world, disrupted[0], (leader + 2) % voters);
        world.disrupt(disruption, &disrupted, DISRUPTION_TIME).await;
        let healed = Instant::now();
        sleep(RECOVERY_TIME).await;
        let mut unread = Vec::new();
        for process in 0..world.simulation.size() {
            if world.order(process, Order::Read).await.is_none() {
                unread.push(process);
            }
        }
        sleep(RECOVERY_TIME).await;
        let mut observed = world.observed.borrow_mut();
        let served =
            |from: Instant, to: Instant| observed.acknowledged.iter().any(|(at, _)| *at > from && *at < to);
        // Checks each interval of the disruption after its first `RECOVERY_TIME`, and after the disruption.
        let calm = (begun + RECOVERY_TIME, healed + RECOVERY_TIME * 2);
        let mut at = calm.0;
        let mut idle = Vec::new();
        while at + RECOVERY_TIME < calm.1 {
            if !served(at, at + RECOVERY_TIME) {
                idle.push(at - begun);
            }
            at += RECOVERY_TIME;
        }
        let late = |what: &BTreeMap<usize, Instant>| {
            let all = 0..world.simulation.size();
            let late = |one: &usize| what.get(one).is_none_or(|at| *at < healed + RECOVERY_TIME);
            all.filter(late).collect::<Vec<_>>()
        };
        let silent = [unread, late(&observed.updates), late(&observed.drains)];
        observed.violations.extend(idle.iter().map(|at| format!("no change was acknowledged from {at:?}")));
        if silent.iter().any(|late| !late.is_empty()) {
            let [reads, updates, drains] = silent;
            observed.violations.push(format!(
                "after the recovery: no reads at {reads:?}, no updates at {updates:?}, no drains at {drains:?}"
            ));
        }
    })
}

fn run_each_disruption(targets: Targets) {
    for (seed, disruption) in DISRUPTIONS.into_iter().enumerate() {
        let violations = run_disruption(disruption, targets, seed as u64 + 1, Faults::default());
        assert!(violations.is_empty(), "{disruption:?} at {targets:?}: {violations:#?}");
    }
}

#[test]
fn a_disrupted_leader_gives_no_definite_answer_and_the_others_serve() {
    run_each_disruption(Targets::Leader);
}

#[test]
fn a_disrupted_follower_gives_no_definite_answer_and_the_others_serve() {
    run_each_disruption(Targets::Follower);
}

#[test]
fn a_disrupted_process_without_a_log_gives_no_definite_answer_and_the_others_serve() {
    run_each_disruption(Targets::WithoutLog);
}

#[test]
fn a_disrupted_minority_of_voters_gives_no_definite_answer_and_the_others_serve() {
    run_each_disruption(Targets::LeaderAndFollower);
}

/// Runs disruptions of random processes for random times, two processes at a time at most.
fn run_random_disruptions(seed: u64, faults: Faults) -> Vec<String> {
    run(5, 2, seed, faults, |world| async move {
        sleep(RECOVERY_TIME).await;
        let mut random = Random::new(seed);
        for _ in 0..4 {
            let disruption = DISRUPTIONS[random.below(DISRUPTIONS.len() as u64) as usize];
            let first = random.below(5) as usize;
            let pair = [first, (first + 1 + random.below(4) as usize) % 5];
            let disrupted = if random.below(2) == 0 { &pair[..1] } else { &pair[..] };
            world.disrupt(disruption, disrupted, Duration::from_millis(200 + random.below(6000))).await;
            sleep(Duration::from_millis(random.below(2000))).await;
        }
        sleep(RECOVERY_TIME).await;
    })
}

#[test]
fn histories_stay_linearizable_under_random_disruptions() {
    for seed in 1..=4 {
        let violations = run_random_disruptions(seed, Faults::default());
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// Checks that an injected fault is detected with a message like this by one of a few seeds; the calls are random.
fn assert_detected(faults: Faults, disruption: Disruption, targets: Targets, expected: &str) {
    let mut runs = (1..=6).map(|seed| run_disruption(disruption, targets, seed, faults).join("\n"));
    assert!(
        runs.any(|violations| violations.contains(expected)),
        "{faults:?} by {disruption:?} at {targets:?}: no {expected:?}"
    );
}

#[test]
fn a_leader_that_answers_without_its_lease_is_detected() {
    let faults = Faults { ignores_lease: true, ..Faults::default() };
    assert_detected(faults, Disruption::CutBoth, Targets::Leader, "no linearization found");
}

#[test]
fn an_acknowledgement_before_a_majority_has_the_change_is_detected() {
    let faults = Faults { acknowledges_early: true, ..Faults::default() };
    assert_detected(faults, Disruption::CutBoth, Targets::Leader, "no linearization found");
}

#[test]
fn delayed_updates_that_are_marked_as_current_are_detected() {
    let faults = Faults { trusts_heartbeats: true, ..Faults::default() };
    for targets in [Targets::Follower, Targets::WithoutLog] {
        assert_detected(faults, Disruption::HeldIn, targets, "as the newest, not");
    }
}

#[test]
fn a_drain_acknowledged_by_an_isolated_process_is_detected() {
    let faults = Faults { acknowledges_drains_locally: true, ..Faults::default() };
    assert_detected(faults, Disruption::CutBoth, Targets::WithoutLog, "drain acknowledgement by process");
}

#[test]
fn an_order_forwarded_to_a_lost_leader_reaches_the_next_one() {
    let violations = run(3, 2, 7, Faults::default(), |world| async move {
        sleep(RECOVERY_TIME * 2).await;
        let leader = world.leader().await;
        world.apply(Disruption::CutBoth, &[leader], true);
        // The order builds on a version that was replaced long ago, so the answer is definite whatever else is
        // accepted.
        let stale = Order::Replace { base: 1, version: 2, content: 1 << 40 };
        for process in [(leader + 1) % 3, 3] {
            let answer = world.order(process, stale.clone()).await;
            assert_eq!(answer, Some(Answer::Refused), "process {process}");
        }
    });
    assert!(violations.is_empty(), "{violations:#?}");
}
