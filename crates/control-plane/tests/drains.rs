//! Backends that leave while links between control planes are cut.
//!
//! A leaving that was acknowledged has been told to each data plane that has an answer dated later than the
//! acknowledgement, whomever it asked.

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
/// Processes without a log.
const OTHERS: usize = 3;
/// Until all have met and a leader is known everywhere.
const SETTLED: Duration = Duration::from_secs(6);
/// Data planes ask this often.
const ASK_EVERY: Duration = Duration::from_millis(40);
/// Whoever is cut off says nothing of the leader any more after this.
const LONG: Duration = Duration::from_millis(3200);
/// A caller goes on to another process after this.
const CALLER_WAITS: Duration = Duration::from_secs(1);
/// ... and pauses before that: what it said has reached other processes meanwhile.
const CALLER_PAUSES: Duration = Duration::from_millis(25);

/// What the follower of one process has been told, and what it asked.
#[derive(Default)]
struct Told {
    leaving: BTreeSet<String>,
    drains: u64,
    asked: Vec<Instant>,
    answered_at: Option<Instant>,
}

struct World {
    simulation: Simulation,
    told: RefCell<BTreeMap<usize, Told>>,
    /// Backends whose leaving was acknowledged, and when.
    acknowledged: RefCell<BTreeMap<String, Instant>>,
    wrong: RefCell<Vec<String>>,
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
    /// A data plane on the machine of a process, and what it must have been told.
    async fn follow(&self, process: usize) {
        let (connection, mut frames) = self.simulation.follow(process).await;
        let mut ask = interval(ASK_EVERY);
        loop {
            tokio::select! {
                frame = frames.recv() => match frame {
                    Some(frame) => self.on_frame(process, &frame),
                    None => return,
                },
                _ = ask.tick() => self.ask(process, connection).await,
            }
        }
    }

    async fn ask(&self, process: usize, connection: u64) {
        let question = {
            let mut told = self.told.borrow_mut();
            let told = told.entry(process).or_default();
            told.asked.push(Instant::now());
            FreshnessQuery { number: told.asked.len() as u64 - 1, last_drain: told.drains }
        };
        self.simulation.say(process, connection, Message::FreshnessQuery(question)).await;
    }

    fn on_frame(&self, process: usize, frame: &[u8]) {
        match protocol::unframe::<Message>(frame) {
            Ok(Some((Message::Backends { backends, .. }, _))) => {
                let leaving = backends.into_iter().filter(|backend| backend.phase != Phase::Serving);
                let ids = leaving.map(|backend| backend.id);
                self.told.borrow_mut().entry(process).or_default().leaving.extend(ids);
            }
            Ok(Some((Message::FreshnessAnswer(answer), _))) => self.on_answer(process, answer),
            _ => {}
        }
    }

    /// A process dates what it has told: whatever was acknowledged before is among it.
    fn on_answer(&self, process: usize, answer: FreshnessAnswer) {
        let Some(age) = answer.age_ms else { return };
        let mut told = self.told.borrow_mut();
        let told = told.entry(process).or_default();
        told.drains = answer.missing_after + answer.missing.len() as u64;
        told.leaving.extend(answer.missing);
        told.answered_at = Some(Instant::now());
        let Some(as_of) = told.asked[answer.number as usize].checked_sub(Duration::from_millis(age.into()))
        else {
            return;
        };
        for (id, at) in self.acknowledged.borrow().iter().filter(|(_, at)| **at <= as_of) {
            if !told.leaving.contains(id) {
                let late = as_of - *at;
                self.wrong
                    .borrow_mut()
                    .push(format!("process {process} dates a list in which {id} serves, {late:?} on"));
            }
        }
    }

    /// A call of a backend; whether it was acknowledged.
    async fn call(&self, process: usize, call: Call) -> bool {
        let reply = self.simulation.call(process, call, CALLER_WAITS).await;
        reply.is_some_and(|reply| reply.status == 200)
    }

    /// A backend says that it drains, or that it departs, until it is acknowledged.
    async fn leave(
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
            sleep(CALLER_PAUSES).await;
        }
        None
    }

    /// Who leads, by its own word.
    async fn leader(&self) -> usize {
        for process in (0..VOTERS).cycle() {
            let status = self.simulation.call(process, Call::Status, CALLER_WAITS).await;
            let body = status.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
            if body.is_some_and(|body| body.contains(r#""holds_lease":true"#)) {
                return process;
            }
            sleep(Duration::from_millis(20)).await;
        }
        unreachable!("processes go round")
    }

    /// Cuts both directions between two processes, or joins them.
    fn cut(&self, one: usize, other: usize, cut: bool) {
        let link = cut.then_some(Link::Cut);
        self.simulation.link(one, other, link);
        self.simulation.link(other, one, link);
    }

    fn cut_from(&self, one: usize, others: impl IntoIterator<Item = usize>, cut: bool) {
        others.into_iter().filter(|other| *other != one).for_each(|other| self.cut(one, other, cut));
    }

    /// How many followers have had a dated answer within the last second.
    fn in_touch(&self) -> usize {
        let recently =
            |told: &&Told| told.answered_at.is_some_and(|at| at.elapsed() < Duration::from_secs(1));
        self.told.borrow().values().filter(recently).count()
    }
}

fn run<F: Future>(seed: u64, story: impl FnOnce(Rc<World>) -> F) -> Vec<String> {
    run_with(Faults::default(), seed, story)
}

fn run_with<F: Future>(faults: Faults, seed: u64, story: impl FnOnce(Rc<World>) -> F) -> Vec<String> {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async move {
        let world = Rc::new(World {
            simulation: Simulation::start(VOTERS, OTHERS, seed, faults),
            told: RefCell::default(),
            acknowledged: RefCell::default(),
            wrong: RefCell::default(),
        });
        for process in 0..world.simulation.size() {
            let follower = world.clone();
            spawn_local(async move { follower.follow(process).await });
        }
        sleep(SETTLED).await;
        story(world.clone()).await;
        world.wrong.take()
    })
}

/// The recorded incident: a backend calls a voter first that is cut off from the other voters only.
#[test]
fn a_leaving_that_others_know_by_hearsay_is_told_to_all_before_it_is_acknowledged() {
    for departs in [false, true] {
        let wrong = run(1, |world| async move {
            assert!(world.call(VOTERS, Call::Heartbeat(backend("b", Phase::Serving, 1))).await);
            sleep(SETTLED).await;
            let victim = (world.leader().await + 1) % VOTERS;
            world.cut_from(victim, 0..VOTERS, true);
            sleep(SETTLED).await;
            let by = world.leave("b", departs, [victim, VOTERS, VOTERS + 1]).await;
            assert_eq!(by, Some(VOTERS), "who acknowledges");
            sleep(LONG).await;
            assert_eq!(world.in_touch(), VOTERS + OTHERS - 1, "all but the one that is cut off");
        });
        assert!(wrong.is_empty(), "departs: {departs}: {wrong:#?}");
    }
}

/// A process is lost in the moment in which it acknowledges: what it sent just before is on its way to nobody.
#[test]
fn a_leaving_is_known_to_others_before_the_process_that_acknowledges_it_is_lost() {
    for (seed, departs) in [(2, false), (3, true)] {
        let wrong = run(seed, |world| async move {
            assert!(world.call(VOTERS, Call::Heartbeat(backend("b", Phase::Serving, 1))).await);
            sleep(SETTLED).await;
            let by = world.leave("b", departs, [VOTERS]).await;
            assert_eq!(by, Some(VOTERS), "who acknowledges");
            world.cut_from(VOTERS, 0..VOTERS + OTHERS, true);
            sleep(LONG).await;
            assert_eq!(world.in_touch(), VOTERS + OTHERS - 1, "all but the one that is lost");
        });
        assert!(wrong.is_empty(), "departs: {departs}: {wrong:#?}");
    }
}

/// Backends come and leave at processes drawn by lot while links between pairs are cut, processes stand still and disks
/// hang, and who acknowledged is cut off.
async fn drawn_story(world: Rc<World>, seed: u64) {
    let mut random = Random::new(seed);
    let size = (VOTERS + OTHERS) as u64;
    let mut draw = move |below: u64| random.below(below);
    for round in 0..12 {
        let pair = (draw(size) as usize, draw(size) as usize);
        match draw(6) {
            0 => world.simulation.freeze(pair.0),
            1 => world.simulation.hang_disk(pair.0, true),
            _ => world.cut_from(pair.0, [pair.1], true),
        }
        let id = format!("b-{round}");
        let born_at = draw(size) as usize;
        world.call(born_at, Call::Heartbeat(backend(&id, Phase::Serving, 1))).await;
        // Some depart before anybody else has heard of them.
        sleep(Duration::from_millis([0, 40, 1500][draw(3) as usize])).await;
        let departs = draw(2) == 0;
        let order: Vec<usize> = (0..4).map(|_| draw(size) as usize).collect();
        let by = world.leave(&id, departs, order).await;
        let struck = by.filter(|_| draw(3) == 0);
        struck.into_iter().for_each(|process| world.cut_from(process, 0..size as usize, true));
        sleep(Duration::from_millis(300 + draw(3000))).await;
        (0..size as usize).for_each(|one| world.cut_from(one, 0..size as usize, false));
        world.simulation.thaw(pair.0);
        world.simulation.hang_disk(pair.0, false);
        sleep(Duration::from_millis(draw(2500))).await;
    }
    sleep(SETTLED).await;
    let at = draw(size) as usize;
    world.call(at, Call::Heartbeat(backend("last", Phase::Serving, 1))).await;
    assert!(world.leave("last", false, [at]).await.is_some(), "seed {seed}: not acknowledged in calm times");
}

/// The longest that a backend waits in calm times: a hop to the leader, a round between voters, two disks.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_millis(60);

#[test]
fn in_calm_times_a_leaving_is_acknowledged_soon_at_each_process() {
    let wrong = run(4, |world| async move {
        for process in 0..VOTERS + OTHERS {
            let id = format!("b-{process}");
            world.call(process, Call::Heartbeat(backend(&id, Phase::Serving, 1))).await;
            sleep(Duration::from_millis(70)).await;
            for repeated in [false, true] {
                let asked = Instant::now();
                assert_eq!(world.leave(&id, repeated, [process]).await, Some(process));
                assert!(asked.elapsed() < ACKNOWLEDGED_WITHIN, "process {process}: {:?}", asked.elapsed());
            }
        }
    });
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Another process was cut off just before: nobody waits for it.
async fn cut_off_story(world: Rc<World>, victim: usize) {
    assert!(world.call(VOTERS, Call::Heartbeat(backend("b", Phase::Serving, 1))).await);
    sleep(SETTLED).await;
    world.cut_from(victim, 0..VOTERS + OTHERS, true);
    let asked = Instant::now();
    assert_eq!(world.leave("b", false, [VOTERS]).await, Some(VOTERS));
    assert!(asked.elapsed() < ACKNOWLEDGED_WITHIN, "{:?}", asked.elapsed());
    sleep(LONG).await;
}

#[test]
fn an_acknowledgement_waits_for_no_process_that_is_cut_off() {
    for is_voter in [true, false] {
        let victim = |leader: usize| if is_voter { (leader + 1) % VOTERS } else { VOTERS + 1 };
        let story = |world: Rc<World>| async move {
            let victim = victim(world.leader().await);
            cut_off_story(world, victim).await;
        };
        let wrong = run(5, story);
        assert!(wrong.is_empty(), "voter: {is_voter}: {wrong:#?}");
        let faults = Faults { reports_zero_age: true, ..Faults::default() };
        assert!(!run_with(faults, 5, story).is_empty(), "voter: {is_voter}: the planted fault is not found");
    }
}

/// An election, the first lease, and the call: within the second in which an acknowledgement counts, from when the
/// backend first calls a process that has heard of the new leader.
const AFTER_AN_ELECTION: Duration = Duration::from_millis(1500);

#[test]
fn after_an_election_a_leaving_is_acknowledged_within_a_second_and_a_half_of_the_cut() {
    for seed in 6..12 {
        let wrong = run(seed, |world| async move {
            assert!(world.call(VOTERS, Call::Heartbeat(backend("b", Phase::Serving, 1))).await);
            sleep(SETTLED).await;
            world.cut_from(world.leader().await, 0..VOTERS + OTHERS, true);
            let cut = Instant::now();
            while world.leave("b", false, VOTERS..VOTERS + OTHERS).await.is_none() {
                assert!(cut.elapsed() < AFTER_AN_ELECTION, "not acknowledged after {:?}", cut.elapsed());
            }
            sleep(LONG).await;
        });
        assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
    }
}

#[test]
fn leavings_are_told_to_all_through_drawn_cuts() {
    for seed in 1..=4 {
        let wrong = run(seed, |world| drawn_story(world, seed));
        assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
    }
}
