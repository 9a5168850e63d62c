//! Control planes that are cut off, frozen, or whose disk hangs: what they may still say.
//!
//! Operators call all processes all the time, a data plane follows each from its own machine, and a backend asks each
//! for leave to end. Checked are the operators' history (linearizable), that nobody who is cut off gives a clear answer,
//! that news marked as of this moment are, and that the others serve on.

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

/// How long a trouble lasts.
const TROUBLE: Duration = Duration::from_secs(20);
/// What holds by then, before it and after it: the pages' `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3000);
/// What is told as of this moment may be older by this: the span for which the leader's answer counts.
const AGE: Duration = Duration::from_millis(800);
/// Who is cut off may give a clear answer for so long: what was on its way, and a lease that runs out.
const LEEWAY: Duration = Duration::from_millis(1000);
/// An operator waits for an answer as long as it does on the control socket.
const READ_WITHIN: Duration = Duration::from_millis(900);
const CHANGE_WITHIN: Duration = Duration::from_millis(2500);
const OPERATORS: usize = 4;

/// What comes over a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    CutIn,
    CutOut,
    CutBoth,
    HeldIn,
    HeldBoth,
    Frozen,
    DiskHangs,
}

const TROUBLES: [Trouble; 7] = [
    Trouble::CutIn,
    Trouble::CutOut,
    Trouble::CutBoth,
    Trouble::HeldIn,
    Trouble::HeldBoth,
    Trouble::Frozen,
    Trouble::DiskHangs,
];

/// Whom it comes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victims {
    Leader,
    Follower,
    WithoutLog,
    /// A minority of five voters, which keep each other's company.
    LeaderAndFollower,
}

/// What was seen.
#[derive(Default)]
struct Seen {
    history: History<Order, Answer>,
    bodies: HashMap<Vec<u8>, (u64, u64)>,
    /// Versions and when they were acknowledged.
    acknowledged: Vec<(Instant, u64)>,
    /// Since when processes hear no majority, or are heard by none.
    cut_off: BTreeMap<usize, Instant>,
    contents: u64,
    /// When processes last had news of that moment, and gave a backend leave to end.
    news: BTreeMap<usize, Instant>,
    leaves: BTreeMap<usize, Instant>,
    wrong: Vec<String>,
}

impl Seen {
    /// A process has said something that only one in touch with a majority may say.
    fn clear_answer(&mut self, process: usize, what: &str) {
        if let Some(since) = self.cut_off.get(&process).filter(|since| since.elapsed() > LEEWAY) {
            self.wrong.push(format!("{what} by process {process}, cut off for {:?}", since.elapsed()));
        }
    }
}

struct World {
    simulation: Simulation,
    seen: RefCell<Seen>,
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
    /// One call of an operator; the answer if it was a clear one.
    async fn order(&self, process: usize, order: Order) -> Option<Answer> {
        let (call, within) = match &order {
            Order::Read => (protocol::LeaderCall::Read, READ_WITHIN),
            Order::Replace { base, version, content } => {
                let body = config(*version, *content);
                self.seen.borrow_mut().bodies.insert(body.clone(), (*version, *content));
                (protocol::LeaderCall::Replace { base: *base, body }, CHANGE_WITHIN)
            }
        };
        let number = self.seen.borrow_mut().history.invoke(order.clone());
        let reply = self.simulation.call(process, Call::Order(call), within).await?;
        let mut seen = self.seen.borrow_mut();
        let answer = match (reply.status, &order) {
            (200, Order::Read) => Answer::Newest(Some(seen.bodies[&reply.body])),
            (404, Order::Read) => Answer::Newest(None),
            (200, Order::Replace { version, .. }) => {
                seen.acknowledged.push((Instant::now(), *version));
                Answer::Taken
            }
            (409 | 412, _) => Answer::Refused,
            _ => return None,
        };
        seen.history.answer(number, answer.clone());
        seen.clear_answer(process, &format!("{order:?} {answer:?}"));
        Some(answer)
    }

    /// Reads, builds on what it read, and sends that until there is a clear answer.
    async fn operate(&self, mut random: Random) {
        loop {
            sleep(Duration::from_millis(100 + random.below(500))).await;
            let any = |random: &mut Random| random.below(self.simulation.size() as u64) as usize;
            let Some(Answer::Newest(newest)) = self.order(any(&mut random), Order::Read).await else {
                continue;
            };
            let base = newest.map_or(0, |(version, _)| version);
            let content = {
                let mut seen = self.seen.borrow_mut();
                seen.contents += 1;
                seen.contents
            };
            let order = Order::Replace { base, version: base + 1, content };
            let mut tries = 0;
            while self.order(any(&mut random), order.clone()).await.is_none() && tries < 20 {
                tries += 1;
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// A data plane on the machine of a process.
    async fn follow(&self, process: usize) {
        let (_, mut frames) = self.simulation.follow(process).await;
        while let Some(frame) = frames.recv().await {
            let Ok(Some((Message::Heartbeat(heartbeat), _))) = protocol::unframe::<Message>(&frame) else {
                continue;
            };
            let mut seen = self.seen.borrow_mut();
            let known = seen.acknowledged.iter().filter(|(at, _)| at.elapsed() > AGE);
            let newest = known.map(|(_, version)| *version).max().unwrap_or(0);
            if heartbeat.fresh && heartbeat.version < newest {
                let version = heartbeat.version;
                seen.wrong
                    .push(format!("process {process} tells of r{version} as the newest, not r{newest}"));
            }
            if heartbeat.fresh {
                seen.clear_answer(process, "news");
                seen.news.insert(process, Instant::now());
            }
        }
    }

    /// Backends that leave, each at one process only.
    async fn leave(&self, process: usize) {
        for number in 1.. {
            sleep(Duration::from_millis(200)).await;
            let leaving = Backend {
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
            let reply = self.simulation.call(process, Call::Heartbeat(leaving), READ_WITHIN).await;
            if reply.is_some_and(|reply| reply.status == 200) {
                let mut seen = self.seen.borrow_mut();
                seen.clear_answer(process, "leave to end");
                seen.leaves.insert(process, Instant::now());
            }
        }
    }

    /// Who leads, by its own word.
    async fn leader(&self) -> usize {
        for process in (0..self.simulation.size()).cycle() {
            let status = self.simulation.call(process, Call::Status, READ_WITHIN).await;
            let body = status.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
            if body.is_some_and(|body| body.contains(r#""holds_lease":true"#)) {
                return process;
            }
            sleep(Duration::from_millis(20)).await;
        }
        unreachable!("processes go round")
    }

    fn apply(&self, trouble: Trouble, victims: &[usize], begins: bool) {
        let simulation = &self.simulation;
        let others = || (0..simulation.size()).filter(|process| !victims.contains(process));
        let link = match trouble {
            Trouble::CutIn | Trouble::CutOut | Trouble::CutBoth => Some(Link::Cut),
            Trouble::HeldIn | Trouble::HeldBoth => Some(Link::Held),
            Trouble::Frozen | Trouble::DiskHangs => None,
        };
        for victim in victims {
            match trouble {
                Trouble::Frozen if begins => simulation.freeze(*victim),
                Trouble::Frozen => simulation.thaw(*victim),
                Trouble::DiskHangs => simulation.hang_disk(*victim, begins),
                _ => {}
            }
            for other in others().filter(|_| link.is_some()) {
                if trouble != Trouble::CutOut {
                    simulation.link(other, *victim, link.filter(|_| begins));
                }
                if !matches!(trouble, Trouble::CutIn | Trouble::HeldIn) {
                    simulation.link(*victim, other, link.filter(|_| begins));
                }
            }
        }
    }

    async fn suffer(&self, trouble: Trouble, victims: &[usize], span: Duration) {
        self.apply(trouble, victims, true);
        if trouble != Trouble::DiskHangs {
            let since = Instant::now();
            self.seen.borrow_mut().cut_off.extend(victims.iter().map(|victim| (*victim, since)));
        }
        sleep(span).await;
        self.apply(trouble, victims, false);
        // Whoever was frozen first works through what lies in its sockets, at the same moment.
        sleep(Duration::from_micros(100)).await;
        self.seen.borrow_mut().cut_off.retain(|process, _| !victims.contains(process));
    }
}

/// In the first moments of a trouble the one that it struck is read without pause, while others take changes: the time
/// in which a leader has been replaced and does not know is short.
fn crowd(world: &Rc<World>, struck: usize, other: usize) {
    for at in 0..150 {
        let world = world.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(at * 10)).await;
            world.order(struck, Order::Read).await;
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
    voters: usize, others: usize, seed: u64, faults: Faults, story: impl FnOnce(Rc<World>) -> F,
) -> Vec<String> {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async move {
        let simulation = Simulation::start(voters, others, seed, faults);
        let world = Rc::new(World { simulation, seen: RefCell::default() });
        for process in 0..world.simulation.size() {
            let (follower, backend) = (world.clone(), world.clone());
            spawn_local(async move { follower.follow(process).await });
            spawn_local(async move { backend.leave(process).await });
        }
        for operator in 0..OPERATORS {
            let (world, random) = (world.clone(), Random::new(seed * 100 + operator as u64));
            spawn_local(async move { world.operate(random).await });
        }
        story(world.clone()).await;
        let mut seen = world.seen.borrow_mut();
        let mut wrong = std::mem::take(&mut seen.wrong);
        wrong.extend(check(&ConfigRegister, &seen.history).err().map(|violation| violation.to_string()));
        wrong
    })
}

/// One trouble for twenty seconds, from which the others take no harm.
fn one_trouble(trouble: Trouble, victims: Victims, seed: u64, faults: Faults) -> Vec<String> {
    let voters = if victims == Victims::LeaderAndFollower { 5 } else { 3 };
    run(voters, 2, seed, faults, |world| async move {
        sleep(CONTACT * 2).await;
        let leader = world.leader().await;
        let follower = (leader + 1) % voters;
        let struck = match victims {
            Victims::Leader => vec![leader],
            Victims::Follower => vec![follower],
            Victims::WithoutLog => vec![voters],
            Victims::LeaderAndFollower => vec![leader, follower],
        };
        let begun = Instant::now();
        crowd(&world, struck[0], (leader + 2) % voters);
        world.suffer(trouble, &struck, TROUBLE).await;
        let healed = Instant::now();
        sleep(CONTACT).await;
        let mut unread = Vec::new();
        for process in 0..world.simulation.size() {
            if world.order(process, Order::Read).await.is_none() {
                unread.push(process);
            }
        }
        sleep(CONTACT).await;
        let mut seen = world.seen.borrow_mut();
        let served =
            |from: Instant, to: Instant| seen.acknowledged.iter().any(|(at, _)| *at > from && *at < to);
        // In each second of the trouble once contact is there, and after it.
        let calm = (begun + CONTACT, healed + CONTACT * 2);
        let mut at = calm.0;
        let mut idle = Vec::new();
        while at + CONTACT < calm.1 {
            if !served(at, at + CONTACT) {
                idle.push(at - begun);
            }
            at += CONTACT;
        }
        let late = |what: &BTreeMap<usize, Instant>| {
            let all = 0..world.simulation.size();
            let late = |one: &usize| what.get(one).is_none_or(|at| *at < healed + CONTACT);
            all.filter(late).collect::<Vec<_>>()
        };
        let silent = [unread, late(&seen.news), late(&seen.leaves)];
        seen.wrong.extend(idle.iter().map(|at| format!("nothing was acknowledged from {at:?}")));
        if silent.iter().any(|late| !late.is_empty()) {
            let [reads, news, leaves] = silent;
            seen.wrong
                .push(format!("long after: no reads at {reads:?}, news at {news:?}, leaves at {leaves:?}"));
        }
    })
}

fn each_trouble(victims: Victims) {
    for (seed, trouble) in TROUBLES.into_iter().enumerate() {
        let wrong = one_trouble(trouble, victims, seed as u64 + 1, Faults::default());
        assert!(wrong.is_empty(), "{trouble:?} at {victims:?}: {wrong:#?}");
    }
}

#[test]
fn a_leader_in_trouble_says_nothing_clear_and_the_others_serve_on() {
    each_trouble(Victims::Leader);
}

#[test]
fn a_follower_in_trouble_says_nothing_clear_and_the_others_serve_on() {
    each_trouble(Victims::Follower);
}

#[test]
fn a_process_without_a_log_in_trouble_says_nothing_clear_and_the_others_serve_on() {
    each_trouble(Victims::WithoutLog);
}

#[test]
fn a_minority_of_voters_in_trouble_says_nothing_clear_and_the_others_serve_on() {
    each_trouble(Victims::LeaderAndFollower);
}

/// Troubles at random processes for random spans, two at a time at most.
fn drawn(seed: u64, faults: Faults) -> Vec<String> {
    run(5, 2, seed, faults, |world| async move {
        sleep(CONTACT).await;
        let mut random = Random::new(seed);
        for _ in 0..4 {
            let trouble = TROUBLES[random.below(TROUBLES.len() as u64) as usize];
            let first = random.below(5) as usize;
            let pair = [first, (first + 1 + random.below(4) as usize) % 5];
            let struck = if random.below(2) == 0 { &pair[..1] } else { &pair[..] };
            world.suffer(trouble, struck, Duration::from_millis(200 + random.below(6000))).await;
            sleep(Duration::from_millis(random.below(2000))).await;
        }
        sleep(CONTACT).await;
    })
}

#[test]
fn drawn_troubles_leave_histories_linearizable() {
    for seed in 1..=4 {
        let wrong = drawn(seed, Faults::default());
        assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
    }
}

/// Of a fault that is planted something like this comes to light, by one of a few seeds: what calls meet is drawn.
fn is_found(faults: Faults, trouble: Trouble, victims: Victims, like: &str) {
    let mut runs = (1..=6).map(|seed| one_trouble(trouble, victims, seed, faults).join("\n"));
    assert!(runs.any(|wrong| wrong.contains(like)), "{faults:?} by {trouble:?} at {victims:?}: no {like:?}");
}

#[test]
fn a_leader_that_answers_without_its_lease_is_found() {
    let faults = Faults { ignores_lease: true, ..Faults::default() };
    is_found(faults, Trouble::CutBoth, Victims::Leader, "no order of all calls");
}

#[test]
fn an_acknowledgement_before_a_majority_has_the_change_is_found() {
    let faults = Faults { acknowledges_early: true, ..Faults::default() };
    is_found(faults, Trouble::CutBoth, Victims::Leader, "no order of all calls");
}

#[test]
fn news_that_lay_on_the_way_and_pass_for_new_are_found() {
    let faults = Faults { trusts_heartbeats: true, ..Faults::default() };
    for victims in [Victims::Follower, Victims::WithoutLog] {
        is_found(faults, Trouble::HeldIn, victims, "as the newest, not");
    }
}

#[test]
fn leave_to_end_from_a_process_that_is_cut_off_is_found() {
    let faults = Faults { acknowledges_drains_locally: true, ..Faults::default() };
    is_found(faults, Trouble::CutBoth, Victims::WithoutLog, "leave to end by process");
}

#[test]
fn an_order_handed_to_a_leader_that_is_lost_reaches_the_next_one() {
    let wrong = run(3, 2, 7, Faults::default(), |world| async move {
        sleep(CONTACT * 2).await;
        let leader = world.leader().await;
        world.apply(Trouble::CutBoth, &[leader], true);
        // It builds on a version that is long gone: a clear answer, whatever else is taken meanwhile.
        let stale = Order::Replace { base: 1, version: 2, content: 1 << 40 };
        for process in [(leader + 1) % 3, 3] {
            let answer = world.order(process, stale.clone()).await;
            assert_eq!(answer, Some(Answer::Refused), "process {process}");
        }
    });
    assert!(wrong.is_empty(), "{wrong:#?}");
}
