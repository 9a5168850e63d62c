//! Answers to lease requests: each goes to its own request, on the connection that carried it.

#[path = "support/data_plane.rs"]
mod data_plane;
#[path = "support/held_clock.rs"]
mod held_clock;

use data_plane::hello;
use held_clock::on_held_clock;
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

/// Longer than a request waits for its answer, in steps shorter than the silence that ends a connection.
const LONG: u32 = 4;
const STEP: Duration = Duration::from_millis(150);
/// Turns of the event loop after which nothing more is expected.
const MOST_YIELDS: u32 = 200_000;

/// What is heard of lease requests.
#[derive(Debug, PartialEq)]
enum Heard {
    Granted(u64),
    Unanswered(u64),
    Configuration { version: u64 },
}

/// A control plane that holds all counts, and one that follows it.
struct World {
    listener: TcpListener,
    address: SocketAddr,
    follower: ControlFollower,
    heard: Rc<RefCell<Vec<Heard>>>,
}

impl World {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let me = hello("q");
        let heard = Rc::<RefCell<Vec<Heard>>>::default();
        let noted = heard.clone();
        let news = move |news| match news {
            Update::Grant(grant) => noted.borrow_mut().push(Heard::Granted(grant.number)),
            Update::Unanswered { number } => noted.borrow_mut().push(Heard::Unanswered(number)),
            Update::ConfigSnapshot(config_snapshot) => {
                noted.borrow_mut().push(Heard::Configuration { version: config_snapshot.version });
            }
            _ => {}
        };
        let detours = config::Detours::default();
        let settings = FollowerSettings { me, seeds: vec![address], detours, stale_after: 900 };
        let follower = ControlFollower::start(settings, news);
        Self { listener, address, follower, heard }
    }

    async fn accept(&self) -> (FrameSender, FrameReader) {
        let (stream, peer) = self.listener.accept().await.expect("a connection");
        attach(stream, peer)
    }

    fn heartbeat(&self) -> Message {
        let leader = Some(self.address.to_string());
        Message::Heartbeat(Heartbeat { leader, term: 1, fresh: true, fleet_size: 1, ..Heartbeat::default() })
    }

    fn draw(&self, number: u64) {
        let draw = LeaseRequest { number, epoch: Epoch::first(1), demands: Vec::new() };
        assert!(self.follower.request_lease(&self.address.to_string(), draw));
    }

    /// Lets the others work; time goes on only where the test says so.
    async fn settle(&self) {
        for _ in 0..200 {
            yield_now().await;
        }
    }

    /// What was written has yet to come through the sockets, however busy the machine is.
    async fn until_something_is_heard(&self) {
        for _ in 0..MOST_YIELDS {
            if !self.heard.borrow().is_empty() {
                return;
            }
            yield_now().await;
        }
    }
}

fn grant(number: u64) -> Message {
    Message::Grant(Grant { number, epoch: Epoch::first(1), grants: Vec::new() })
}

async fn drawn(from: &mut FrameReader) -> u64 {
    loop {
        if let Message::LeaseRequest(draw) = from.next().await.expect("a message") {
            return draw.number;
        }
    }
}

#[test]
fn each_answer_is_its_own_request_s_and_none_outlives_its_connection() {
    on_held_clock(async {
        let world = World::start().await;
        let (news, _followed) = world.accept().await;
        news.send(&world.heartbeat());
        let (holder, mut requests) = world.accept().await;
        world.settle().await;
        world.draw(1);
        world.draw(2);
        assert_eq!((drawn(&mut requests).await, drawn(&mut requests).await), (1, 2));
        // An answer that nobody asked for, then that to the older of two requests.
        holder.send(&grant(9));
        holder.send(&grant(1));
        world.settle().await;
        assert_eq!(*world.heard.borrow(), [Heard::Granted(1)]);
        // The other one is given up with its connection.
        for _ in 0..LONG {
            tokio::time::advance(STEP).await;
            news.send(&world.heartbeat());
            world.settle().await;
        }
        assert_eq!(*world.heard.borrow(), [Heard::Granted(1), Heard::Unanswered(2)]);
        // Its answer is nobody's, neither on the old connection nor on the next one.
        let (next, mut requests) = world.accept().await;
        holder.send(&grant(2));
        next.send(&grant(2));
        world.settle().await;
        world.draw(3);
        assert_eq!(drawn(&mut requests).await, 3);
        next.send(&grant(3));
        next.send(&grant(3));
        world.settle().await;
        assert_eq!(*world.heard.borrow(), [Heard::Granted(1), Heard::Unanswered(2), Heard::Granted(3)]);
    });
}

/// A configuration takes 6 s to come: four times the silence that ends a connection. Its sender is not left.
#[test]
fn a_message_that_comes_slowly_is_no_silence() {
    on_held_clock(async {
        let world = World::start().await;
        let (mut link, _) = world.listener.accept().await.expect("a connection");
        let body = (0..40_000u32).flat_map(u32::to_le_bytes).collect();
        let mut bytes = protocol::frame(&world.heartbeat());
        bytes.extend(protocol::frame(&Message::ConfigSnapshot(ConfigSnapshot { version: 1, body })));
        let parts = 40;
        for part in bytes.chunks(bytes.len().div_ceil(parts)) {
            link.write_all(part).await.expect("the follower is there");
            world.settle().await;
            tokio::time::advance(STEP).await;
            world.settle().await;
        }
        world.until_something_is_heard().await;
        assert_eq!(*world.heard.borrow(), [Heard::Configuration { version: 1 }]);
    });
}
