//! The follower: answers to lease requests count only on the connection of their request, and a slowly arriving
//! message keeps its connection.

#[path = "support/data_plane.rs"]
mod data_plane;
#[path = "support/paused_clock.rs"]
mod paused_clock;

use data_plane::hello;
use paused_clock::with_paused_clock;
use protocol::{ConfigSnapshot, Heartbeat, Message};
use quota::{Epoch, Grant, LeaseRequest};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::yield_now;
use transport::{ControlFollower, FollowerSettings, FrameReader, FrameSender, Update, attach};

/// Number of steps that together exceed the lease request timeout. Each step is shorter than the silence timeout of a
/// connection.
const STEPS_BEYOND_TIMEOUT: u32 = 4;
const STEP: Duration = Duration::from_millis(150);
/// Number of yields to the event loop after which a wait ends.
const MAX_YIELDS: u32 = 200_000;

/// The updates that these tests check.
#[derive(Debug, PartialEq)]
enum ReceivedUpdate {
    Granted(u64),
    Unanswered(u64),
    Configuration { version: u64 },
}

/// A control plane that holds all quota counters, and a follower of it.
struct World {
    listener: TcpListener,
    address: SocketAddr,
    follower: ControlFollower,
    received: Rc<RefCell<Vec<ReceivedUpdate>>>,
}

impl World {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let me = hello("q");
        let received = Rc::<RefCell<Vec<ReceivedUpdate>>>::default();
        let log = received.clone();
        let on_update = move |update| match update {
            Update::Grant(grant) => log.borrow_mut().push(ReceivedUpdate::Granted(grant.number)),
            Update::Unanswered { number } => log.borrow_mut().push(ReceivedUpdate::Unanswered(number)),
            Update::ConfigSnapshot(config_snapshot) => {
                log.borrow_mut().push(ReceivedUpdate::Configuration { version: config_snapshot.version });
            }
            _ => {}
        };
        let detours = config::Detours::default();
        let settings = FollowerSettings { me, seeds: vec![address], detours, stale_after: 900 };
        let follower = ControlFollower::start(settings, on_update);
        Self { listener, address, follower, received }
    }

    async fn accept(&self) -> (FrameSender, FrameReader) {
        let (stream, peer) = self.listener.accept().await.expect("a connection");
        attach(stream, peer)
    }

    fn heartbeat(&self) -> Message {
        let leader = Some(self.address.to_string());
        Message::Heartbeat(Heartbeat { leader, term: 1, fresh: true, fleet_size: 1, ..Heartbeat::default() })
    }

    fn request_lease(&self, number: u64) {
        let request = LeaseRequest { number, epoch: Epoch::first(1), demands: Vec::new() };
        assert!(self.follower.request_lease(&self.address.to_string(), request));
    }

    /// Lets the other tasks run without advancing the clock.
    async fn settle(&self) {
        for _ in 0..200 {
            yield_now().await;
        }
    }

    /// Waits for an update that was sent over a real socket, which may take long on a busy machine.
    async fn wait_for_update(&self) {
        for _ in 0..MAX_YIELDS {
            if !self.received.borrow().is_empty() {
                return;
            }
            yield_now().await;
        }
    }
}

fn grant(number: u64) -> Message {
    Message::Grant(Grant { number, epoch: Epoch::first(1), grants: Vec::new() })
}

async fn next_lease_request(reader: &mut FrameReader) -> u64 {
    loop {
        if let Message::LeaseRequest(request) = reader.next().await.expect("a message") {
            return request.number;
        }
    }
}

#[test]
fn answers_count_only_for_a_pending_request_on_the_same_connection() {
    with_paused_clock(async {
        let world = World::start().await;
        let (followed, _reader) = world.accept().await;
        followed.send(&world.heartbeat());
        let (holder, mut requests) = world.accept().await;
        world.settle().await;
        world.request_lease(1);
        world.request_lease(2);
        assert_eq!(
            (next_lease_request(&mut requests).await, next_lease_request(&mut requests).await),
            (1, 2)
        );
        // An answer without a request, then the answer to the older of two requests.
        holder.send(&grant(9));
        holder.send(&grant(1));
        world.settle().await;
        assert_eq!(*world.received.borrow(), [ReceivedUpdate::Granted(1)]);
        // The other request fails together with its connection.
        for _ in 0..STEPS_BEYOND_TIMEOUT {
            tokio::time::advance(STEP).await;
            followed.send(&world.heartbeat());
            world.settle().await;
        }
        assert_eq!(*world.received.borrow(), [ReceivedUpdate::Granted(1), ReceivedUpdate::Unanswered(2)]);
        // A late answer to the failed request is ignored on the old and on the new connection.
        let (new_holder, mut requests) = world.accept().await;
        holder.send(&grant(2));
        new_holder.send(&grant(2));
        world.settle().await;
        world.request_lease(3);
        assert_eq!(next_lease_request(&mut requests).await, 3);
        new_holder.send(&grant(3));
        new_holder.send(&grant(3));
        world.settle().await;
        assert_eq!(
            *world.received.borrow(),
            [ReceivedUpdate::Granted(1), ReceivedUpdate::Unanswered(2), ReceivedUpdate::Granted(3)]
        );
    });
}

/// A configuration takes 6 s to arrive, more than four times the silence timeout. The follower must not abandon the
/// sender.
#[test]
fn a_slowly_arriving_message_does_not_count_as_silence() {
    with_paused_clock(async {
        let world = World::start().await;
        let (mut link, _) = world.listener.accept().await.expect("a connection");
        let body = (0..40_000u32).flat_map(u32::to_le_bytes).collect();
        let mut bytes = protocol::frame(&world.heartbeat());
        bytes.extend(protocol::frame(&Message::ConfigSnapshot(ConfigSnapshot { version: 1, body })));
        let parts = 40;
        for part in bytes.chunks(bytes.len().div_ceil(parts)) {
            link.write_all(part).await.expect("the follower is connected");
            world.settle().await;
            tokio::time::advance(STEP).await;
            world.settle().await;
        }
        world.wait_for_update().await;
        assert_eq!(*world.received.borrow(), [ReceivedUpdate::Configuration { version: 1 }]);
    });
}
