//! Whom a data plane follows while many processes of control are cut off from the leader: it finds the one that is not,
//! however many it has asked before.

#[path = "support/data_plane.rs"]
mod data_plane;
#[path = "support/held_clock.rs"]
mod held_clock;

use data_plane::hello;
use held_clock::on_held_clock;
use protocol::{Backend, ControlPlaneAddress, FreshnessAnswer, Heartbeat, Message, Phase};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};
use transport::{ControlFollower, FollowerSettings, FrameReader, FrameSender, Update, attach, freshness};

const STEP: Duration = Duration::from_millis(10);
/// The least bound of any deployment.
const BOUND: u64 = 2000;

/// Processes of control tell their followers how things stand this often.
const HEARTBEAT: Duration = Duration::from_millis(350);
/// ... and take themselves for being in touch for this long after a cut.
const VOUCHES: Duration = Duration::from_millis(800);

/// Before that the data plane has long been in touch.
const IN_TOUCH: Duration = Duration::from_secs(3);

/// What a process of control does once the others are cut off from the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    /// It says that it is.
    Admits,
    /// It goes on saying that it is in touch, by a word that grows older.
    KnowsNothing,
    /// It says nothing more.
    Silent,
    /// It says that it is when it is asked, and its heartbeats are as before: nobody is left for those.
    AdmitsIfAsked,
}

/// A process of control.
struct Control {
    cut: Cell<Option<(Cut, Instant)>>,
    /// Whether it knows that the backend leaves.
    knows: Cell<bool>,
    followed: Cell<bool>,
}

struct World {
    controls: Vec<Rc<Control>>,
    addresses: Vec<SocketAddr>,
    /// When the data plane was told that the backend leaves.
    leaving_at: Rc<Cell<Option<Instant>>>,
    /// Whether the newest heartbeat that the data plane was given is of its moment.
    is_fresh: Rc<Cell<bool>>,
    _follower: ControlFollower,
}

impl Control {
    fn is_silent(&self) -> bool {
        matches!(self.cut.get(), Some((Cut::Silent, _)))
    }

    fn answer(&self, number: u64, drains: u64) -> FreshnessAnswer {
        let knows = self.knows.get();
        let age_ms = match self.cut.get() {
            Some((Cut::KnowsNothing, since)) => Some(since.elapsed().as_millis() as u32),
            Some(_) => None,
            None => Some(0),
        };
        let missing = if knows && drains == 0 { vec!["b".to_owned()] } else { Vec::new() };
        FreshnessAnswer { number, age_ms, last_drain: u64::from(knows), missing_after: 0, missing }
    }

    fn heartbeat(&self) -> Message {
        let fresh = match self.cut.get() {
            Some((Cut::KnowsNothing, since)) => since.elapsed() < VOUCHES,
            Some((Cut::AdmitsIfAsked, _)) => true,
            cut => cut.is_none(),
        };
        Message::Heartbeat(Heartbeat { leader: None, term: 1, fresh, fleet_size: 1, ..Heartbeat::default() })
    }

    fn backend(&self) -> Backend {
        let phase = if self.knows.get() { Phase::Draining } else { Phase::Serving };
        Backend { address: "10.0.0.1:80".into(), phase, ..Backend::leaving("b".into()) }
    }

    /// Tells a follower how things stand, again and again.
    async fn tell(self: Rc<Self>, line: FrameSender) {
        while !line.is_lost() {
            sleep(HEARTBEAT).await;
            if !self.is_silent() {
                line.send(&self.heartbeat());
            }
        }
    }

    /// Works through what comes on one connection.
    async fn serve(
        self: Rc<Self>, line: FrameSender, mut reader: FrameReader, cards: Vec<ControlPlaneAddress>,
    ) {
        while let Ok(message) = reader.next().await {
            if self.is_silent() {
                continue;
            }
            match message {
                Message::Hello(_) => {
                    line.send(&Message::NotHolder { number: protocol::UNDERSTANDS_FRESHNESS });
                }
                Message::Follow { .. } => {
                    self.followed.set(true);
                    line.send(&self.heartbeat());
                    line.send(&Message::Backends { is_complete: true, backends: vec![self.backend()] });
                    line.send(&Message::ControlPlanes(cards.clone()));
                    spawn_local(self.clone().tell(line.clone()));
                }
                Message::FreshnessQuestion(question) => {
                    line.send(&Message::FreshnessAnswer(self.answer(question.number, question.last_drain)));
                }
                _ => {}
            }
        }
        self.followed.set(false);
    }
}

impl World {
    /// Processes that all are in touch, and a data plane that follows one of them.
    async fn start(count: usize) -> Self {
        let (mut controls, mut addresses, mut listeners) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            addresses.push(listener.local_addr().expect("an address"));
            listeners.push(listener);
            controls.push(Rc::new(Control {
                cut: Cell::default(),
                knows: Cell::default(),
                followed: Cell::default(),
            }));
        }
        let card =
            |address: &SocketAddr| ControlPlaneAddress { address: address.to_string(), zone: "z".into() };
        let cards: Vec<_> = addresses.iter().map(card).collect();
        for (control, listener) in controls.iter().zip(listeners) {
            let (control, cards) = (control.clone(), cards.clone());
            spawn_local(async move {
                while let Ok((stream, peer)) = listener.accept().await {
                    let (line, reader) = attach(stream, peer);
                    spawn_local(control.clone().serve(line, reader, cards.clone()));
                }
            });
        }
        let leaving_at = Rc::<Cell<Option<Instant>>>::default();
        let noted = leaving_at.clone();
        let is_fresh = Rc::<Cell<bool>>::default();
        let fresh = is_fresh.clone();
        let phase = RefCell::new(Phase::Serving);
        let news = move |update| {
            if let Update::Heartbeat(heartbeat) = &update {
                fresh.set(heartbeat.fresh);
            }
            if let Update::Backends { backends, .. } = update {
                let newest = backends.iter().map(|backend| backend.phase).max().unwrap_or(Phase::Serving);
                let mut phase = phase.borrow_mut();
                *phase = newest.max(*phase);
                if *phase == Phase::Draining && noted.get().is_none() {
                    noted.set(Some(Instant::now()));
                }
            }
        };
        let me = hello("q");
        let (seeds, detours) = (addresses.clone(), config::Detours::default());
        let stale_after = freshness::stale_after(BOUND);
        let follower = ControlFollower::start(FollowerSettings { me, seeds, detours, stale_after }, news);
        Self { controls, addresses, leaving_at, is_fresh, _follower: follower }
    }

    /// Lets so much time pass; what is on the sockets comes through meanwhile.
    async fn pass(&self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            tokio::time::advance(STEP).await;
            for _ in 0..60 {
                yield_now().await;
            }
        }
    }

    fn followed(&self) -> Vec<usize> {
        (0..self.controls.len()).filter(|at| self.controls[*at].followed.get()).collect()
    }
}

/// All but one are cut off from the leader, and a backend's leaving is recorded at that moment.
fn all_but_one(cut: Cut, count: usize) {
    on_held_clock(async {
        let world = World::start(count).await;
        world.pass(IN_TOUCH).await;
        let followed = world.followed();
        assert_eq!(followed.len(), 1, "{cut:?}: one is followed");
        let spared = (0..count).find(|at| !followed.contains(at)).expect("another one");
        let began = Instant::now();
        for (at, control) in world.controls.iter().enumerate() {
            control.cut.set((at != spared).then_some((cut, began)));
            control.knows.set(at == spared);
        }
        world.pass(Duration::from_millis(BOUND)).await;
        let told_at = world.leaving_at.get();
        let late = told_at.unwrap_or_else(|| panic!("{cut:?}, {count}: never told")).duration_since(began);
        assert!(late < Duration::from_millis(BOUND), "{cut:?}, {count}: told {late:?} after the cut");
        world.pass(Duration::from_secs(1)).await;
        assert_eq!(world.followed(), [spared], "{cut:?}, {count}, {:?}", world.addresses);
    });
}

/// Nobody has a leader for a while. With the new one its own process answers first, and a moment later the one that is
/// followed: not all data planes go over to the leader.
#[test]
fn who_is_followed_has_a_moment_to_hear_of_a_new_leader() {
    on_held_clock(async {
        let world = World::start(5).await;
        world.pass(IN_TOUCH).await;
        let began = Instant::now();
        world.controls.iter().for_each(|control| control.cut.set(Some((Cut::AdmitsIfAsked, began))));
        world.pass(LEADERLESS).await;
        let followed = world.followed();
        assert_eq!(followed.len(), 1, "one is followed");
        let leader = (0..5).find(|at| !followed.contains(at)).expect("another one");
        world.controls[leader].cut.set(None);
        world.pass(HEARS_OF_IT).await;
        world.controls.iter().for_each(|control| control.cut.set(None));
        world.pass(Duration::from_secs(1)).await;
        assert_eq!(world.followed(), followed, "the leader is {leader}");
    });
}

/// Heartbeats that lay in a socket while this process stood still, or that one sends who does not know that it is cut off, say
/// that they are of this moment. They pass for that only while an answer says so.
#[test]
fn heartbeats_are_of_this_moment_only_while_answers_are() {
    on_held_clock(async {
        let world = World::start(2).await;
        world.pass(IN_TOUCH).await;
        assert!(world.is_fresh.get());
        let began = Instant::now();
        world.controls.iter().for_each(|control| control.cut.set(Some((Cut::AdmitsIfAsked, began))));
        world.pass(2 * LEADERLESS).await;
        assert!(!world.is_fresh.get(), "it goes by heartbeats alone");
        world.controls.iter().for_each(|control| control.cut.set(None));
        world.pass(LEADERLESS).await;
        assert!(world.is_fresh.get(), "it is in touch again");
    });
}

/// Longer than an answer may be old, and shorter than others are followed for.
const LEADERLESS: Duration = Duration::from_millis(1200);
const HEARS_OF_IT: Duration = Duration::from_millis(80);

#[test]
fn the_one_that_is_in_touch_is_found_however_many_admit_that_they_are_cut_off() {
    [2, 3, 5, 9, 13].into_iter().for_each(|count| all_but_one(Cut::Admits, count));
}

#[test]
fn the_one_that_is_in_touch_is_found_however_many_do_not_know_that_they_are_cut_off() {
    [2, 3, 5, 9, 13].into_iter().for_each(|count| all_but_one(Cut::KnowsNothing, count));
}

#[test]
fn the_one_that_is_in_touch_is_found_however_many_say_nothing() {
    [2, 3, 5, 9, 13].into_iter().for_each(|count| all_but_one(Cut::Silent, count));
}
