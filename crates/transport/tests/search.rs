//! The search of a data plane while many control planes are isolated from the leader: the data plane finds the one
//! that is not isolated, regardless of how many isolated ones it queries first.

#[path = "support/data_plane.rs"]
mod data_plane;
#[path = "support/paused_clock.rs"]
mod paused_clock;

use data_plane::hello;
use paused_clock::with_paused_clock;
use protocol::{Backend, ControlPlaneAddress, FreshnessAnswer, Heartbeat, Message, Phase};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};
use transport::{ControlFollower, FollowerSettings, FrameReader, FrameSender, Update, attach, freshness};

const CLOCK_STEP: Duration = Duration::from_millis(10);
/// The shortest `drain_ms` bound of any deployment.
const BOUND_MS: u64 = 2000;

/// Interval at which control planes send heartbeats to their followers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(350);
/// How long an isolated control plane that has not noticed its isolation still reports its state as fresh.
const FALSELY_FRESH_TIME: Duration = Duration::from_millis(800);

/// Time for the data plane to connect and get fresh answers before the fault.
const WARMUP_TIME: Duration = Duration::from_secs(3);

/// How a control plane behaves while isolated from the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Isolation {
    /// Reports its isolation in heartbeats and answers.
    Admits,
    /// Has not noticed its isolation: reports its state as confirmed by a leader response of increasing age.
    Unaware,
    /// Sends nothing.
    Silent,
    /// Reports its isolation only in answers. Its heartbeats remain fresh, so followers do not abandon it because of
    /// them.
    AdmitsWhenQueried,
}

/// A simulated control plane.
struct FakeControlPlane {
    isolation: Cell<Option<(Isolation, Instant)>>,
    /// Whether the control plane has the drain record of the backend.
    has_drain_record: Cell<bool>,
    has_follower: Cell<bool>,
}

struct World {
    control_planes: Vec<Rc<FakeControlPlane>>,
    addresses: Vec<SocketAddr>,
    /// When the data plane learned that the backend drains.
    drain_received_at: Rc<Cell<Option<Instant>>>,
    /// Whether the newest heartbeat update at the data plane is marked as fresh.
    is_fresh: Rc<Cell<bool>>,
    _follower: ControlFollower,
}

impl FakeControlPlane {
    fn is_silent(&self) -> bool {
        matches!(self.isolation.get(), Some((Isolation::Silent, _)))
    }

    fn answer(&self, number: u64, drains: u64) -> FreshnessAnswer {
        let has_drain_record = self.has_drain_record.get();
        let age_ms = match self.isolation.get() {
            Some((Isolation::Unaware, since)) => Some(since.elapsed().as_millis() as u32),
            Some(_) => None,
            None => Some(0),
        };
        let missing = if has_drain_record && drains == 0 { vec!["b".to_owned()] } else { Vec::new() };
        FreshnessAnswer { number, age_ms, last_drain: u64::from(has_drain_record), missing_after: 0, missing }
    }

    fn heartbeat(&self) -> Message {
        let fresh = match self.isolation.get() {
            Some((Isolation::Unaware, since)) => since.elapsed() < FALSELY_FRESH_TIME,
            Some((Isolation::AdmitsWhenQueried, _)) => true,
            isolation => isolation.is_none(),
        };
        Message::Heartbeat(Heartbeat { leader: None, term: 1, fresh, fleet_size: 1, ..Heartbeat::default() })
    }

    fn backend(&self) -> Backend {
        let phase = if self.has_drain_record.get() { Phase::Draining } else { Phase::Serving };
        Backend { address: "10.0.0.1:80".into(), phase, ..Backend::draining("b".into()) }
    }

    /// Sends heartbeats to a follower periodically.
    async fn send_heartbeats(self: Rc<Self>, sender: FrameSender) {
        while !sender.is_lost() {
            sleep(HEARTBEAT_INTERVAL).await;
            if !self.is_silent() {
                sender.send(&self.heartbeat());
            }
        }
    }

    /// Handles the messages of one connection.
    async fn serve(
        self: Rc<Self>, sender: FrameSender, mut reader: FrameReader, all_addresses: Vec<ControlPlaneAddress>,
    ) {
        while let Ok(message) = reader.next().await {
            if self.is_silent() {
                continue;
            }
            match message {
                Message::Hello(_) => {
                    sender.send(&Message::NotHolder { number: protocol::UNDERSTANDS_FRESHNESS });
                }
                Message::Follow { .. } => {
                    self.has_follower.set(true);
                    sender.send(&self.heartbeat());
                    sender.send(&Message::Backends { is_complete: true, backends: vec![self.backend()] });
                    sender.send(&Message::ControlPlanes(all_addresses.clone()));
                    spawn_local(self.clone().send_heartbeats(sender.clone()));
                }
                Message::FreshnessQuery(query) => {
                    sender.send(&Message::FreshnessAnswer(self.answer(query.number, query.last_drain)));
                }
                _ => {}
            }
        }
        self.has_follower.set(false);
    }
}

impl World {
    /// Starts control planes that are all in contact with the leader, and a data plane that follows one of them.
    async fn start(count: usize) -> Self {
        let (mut control_planes, mut addresses, mut listeners) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            addresses.push(listener.local_addr().expect("an address"));
            listeners.push(listener);
            control_planes.push(Rc::new(FakeControlPlane {
                isolation: Cell::default(),
                has_drain_record: Cell::default(),
                has_follower: Cell::default(),
            }));
        }
        let describe =
            |address: &SocketAddr| ControlPlaneAddress { address: address.to_string(), zone: "z".into() };
        let all_addresses: Vec<_> = addresses.iter().map(describe).collect();
        for (control_plane, listener) in control_planes.iter().zip(listeners) {
            let (control_plane, all_addresses) = (control_plane.clone(), all_addresses.clone());
            spawn_local(async move {
                while let Ok((stream, peer)) = listener.accept().await {
                    let (sender, reader) = attach(stream, peer);
                    spawn_local(control_plane.clone().serve(sender, reader, all_addresses.clone()));
                }
            });
        }
        let drain_received_at = Rc::<Cell<Option<Instant>>>::default();
        let received_at = drain_received_at.clone();
        let is_fresh = Rc::<Cell<bool>>::default();
        let fresh = is_fresh.clone();
        let phase = RefCell::new(Phase::Serving);
        let on_update = move |update| {
            if let Update::Heartbeat(heartbeat) = &update {
                fresh.set(heartbeat.fresh);
            }
            if let Update::Backends { backends, .. } = update {
                let newest = backends.iter().map(|backend| backend.phase).max().unwrap_or(Phase::Serving);
                let mut phase = phase.borrow_mut();
                *phase = newest.max(*phase);
                if *phase == Phase::Draining && received_at.get().is_none() {
                    received_at.set(Some(Instant::now()));
                }
            }
        };
        let me = hello("q");
        let (seeds, detours) = (addresses.clone(), config::Detours::default());
        let stale_after = freshness::stale_after(BOUND_MS);
        let follower =
            ControlFollower::start(FollowerSettings { me, seeds, detours, stale_after }, on_update);
        Self { control_planes, addresses, drain_received_at, is_fresh, _follower: follower }
    }

    /// Advances the clock by `span` in small steps and lets data pass through the sockets in between.
    async fn advance(&self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            tokio::time::advance(CLOCK_STEP).await;
            for _ in 0..60 {
                yield_now().await;
            }
        }
    }

    fn followed(&self) -> Vec<usize> {
        (0..self.control_planes.len())
            .filter(|index| self.control_planes[*index].has_follower.get())
            .collect()
    }
}

/// Isolates all control planes but one from the leader. At the same time a drain is recorded, which only that one
/// knows. The data plane must learn of the drain within the bound and end up following that control plane.
fn isolate_all_but_one(isolation: Isolation, count: usize) {
    with_paused_clock(async {
        let world = World::start(count).await;
        world.advance(WARMUP_TIME).await;
        let followed = world.followed();
        assert_eq!(followed.len(), 1, "{isolation:?}: exactly one control plane is followed");
        let healthy = (0..count).find(|index| !followed.contains(index)).expect("another control plane");
        let isolated_at = Instant::now();
        for (index, control_plane) in world.control_planes.iter().enumerate() {
            control_plane.isolation.set((index != healthy).then_some((isolation, isolated_at)));
            control_plane.has_drain_record.set(index == healthy);
        }
        world.advance(Duration::from_millis(BOUND_MS)).await;
        let received_at = world.drain_received_at.get();
        let delay = received_at
            .unwrap_or_else(|| panic!("{isolation:?}, {count}: drain not received"))
            .duration_since(isolated_at);
        assert!(
            delay < Duration::from_millis(BOUND_MS),
            "{isolation:?}, {count}: drain received {delay:?} after the isolation"
        );
        world.advance(Duration::from_secs(1)).await;
        assert_eq!(world.followed(), [healthy], "{isolation:?}, {count}, {:?}", world.addresses);
    });
}

/// After a time without a leader, the new leader itself answers first, and the followed control plane a moment later.
/// The data plane must keep its control plane; otherwise all data planes would switch to the leader.
#[test]
fn the_followed_control_plane_has_time_to_find_a_new_leader() {
    with_paused_clock(async {
        let world = World::start(5).await;
        world.advance(WARMUP_TIME).await;
        let isolated_at = Instant::now();
        world
            .control_planes
            .iter()
            .for_each(|plane| plane.isolation.set(Some((Isolation::AdmitsWhenQueried, isolated_at))));
        world.advance(LEADERLESS_TIME).await;
        let followed = world.followed();
        assert_eq!(followed.len(), 1, "exactly one control plane is followed");
        let leader = (0..5).find(|index| !followed.contains(index)).expect("another control plane");
        world.control_planes[leader].isolation.set(None);
        world.advance(LEADER_DISCOVERY_TIME).await;
        world.control_planes.iter().for_each(|control_plane| control_plane.isolation.set(None));
        world.advance(Duration::from_secs(1)).await;
        assert_eq!(world.followed(), followed, "the leader is {leader}");
    });
}

/// Heartbeats that waited in a socket while the data plane was frozen, or that an isolated control plane sends before
/// it notices its isolation, claim to be fresh. The data plane must treat them as fresh only while a recent answer
/// confirms it.
#[test]
fn heartbeats_count_as_fresh_only_while_answers_are_fresh() {
    with_paused_clock(async {
        let world = World::start(2).await;
        world.advance(WARMUP_TIME).await;
        assert!(world.is_fresh.get());
        let isolated_at = Instant::now();
        world
            .control_planes
            .iter()
            .for_each(|plane| plane.isolation.set(Some((Isolation::AdmitsWhenQueried, isolated_at))));
        world.advance(2 * LEADERLESS_TIME).await;
        assert!(!world.is_fresh.get(), "the data plane relies on heartbeats alone");
        world.control_planes.iter().for_each(|control_plane| control_plane.isolation.set(None));
        world.advance(LEADERLESS_TIME).await;
        assert!(world.is_fresh.get(), "the leader confirms the state again");
    });
}

/// Longer than the stale age of answers, and too short for the data plane to abandon the followed control plane.
const LEADERLESS_TIME: Duration = Duration::from_millis(1200);
const LEADER_DISCOVERY_TIME: Duration = Duration::from_millis(80);

#[test]
fn the_healthy_control_plane_is_found_while_others_report_their_isolation() {
    [2, 3, 5, 9, 13].into_iter().for_each(|count| isolate_all_but_one(Isolation::Admits, count));
}

#[test]
fn the_healthy_control_plane_is_found_while_others_have_not_noticed_their_isolation() {
    [2, 3, 5, 9, 13].into_iter().for_each(|count| isolate_all_but_one(Isolation::Unaware, count));
}

#[test]
fn the_healthy_control_plane_is_found_while_others_are_silent() {
    [2, 3, 5, 9, 13].into_iter().for_each(|count| isolate_all_but_one(Isolation::Silent, count));
}
