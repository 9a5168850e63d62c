//! The last word of a data plane: said on every connection, again on the next one, until it is accepted.

#[path = "support/data_plane.rs"]
mod data_plane;

use config::Detours;
use data_plane::hello;
use protocol::{Heartbeat, Message};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::timeout;
use transport::{ControlFollower, FollowerSettings, FrameReader, FrameSender, attach};

/// Whatever is waited for comes much sooner.
const PATIENCE: Duration = Duration::from_secs(30);
/// Longer than a connection needs to come up again.
const AWHILE: Duration = Duration::from_millis(300);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn follower(seed: SocketAddr) -> ControlFollower {
    let me = hello("a");
    ControlFollower::start(
        FollowerSettings { me, seeds: vec![seed], detours: Detours::default(), stale_after: 900 },
        |_| {},
    )
}

async fn accept(listener: &TcpListener) -> (FrameSender, FrameReader) {
    let (stream, peer) = timeout(PATIENCE, listener.accept()).await.expect("a connection").expect("sound");
    attach(stream, peer)
}

/// Reads until this message comes.
async fn until(reader: &mut FrameReader, wanted: &Message) {
    let read = async { while reader.next().await.expect("a message") != *wanted {} };
    timeout(PATIENCE, read).await.expect("the message");
}

#[test]
fn a_departure_is_said_to_the_one_that_is_followed_and_to_the_holder_and_both_have_to_accept_it() {
    run(async {
        let ((followed, to), (holder, leader)) = (listener().await, listener().await);
        let follower = follower(to);
        let (line, mut reader) = accept(&followed).await;
        let leader = Some(leader.to_string());
        line.send(&Message::Heartbeat(Heartbeat { leader, term: 1, fresh: true, ..Heartbeat::default() }));
        let (holder_line, mut holder_reader) = accept(&holder).await;
        let mut left = Box::pin(follower.leave());
        assert!(timeout(AWHILE, &mut left).await.is_err(), "nobody has accepted it");
        until(&mut reader, &Message::Leave).await;
        until(&mut holder_reader, &Message::Leave).await;
        line.send(&Message::LeaveAccepted);
        assert!(timeout(AWHILE, &mut left).await.is_err(), "the holder has not accepted it");
        holder_line.send(&Message::LeaveAccepted);
        timeout(PATIENCE, left).await.expect("accepted");
    });
}

#[test]
fn a_departure_is_said_again_on_the_next_connection() {
    run(async {
        let (listener, to) = listener().await;
        let follower = follower(to);
        let first = accept(&listener).await;
        let mut left = Box::pin(follower.leave());
        assert!(timeout(AWHILE, &mut left).await.is_err());
        // It ends at the same moment.
        drop(first);
        let again = async {
            let (line, mut reader) = accept(&listener).await;
            until(&mut reader, &Message::Leave).await;
            line.send(&Message::LeaveAccepted);
            // The connection lasts until the other end has read it.
            let _ = timeout(AWHILE, reader.next()).await;
        };
        let (left, _) = tokio::join!(timeout(PATIENCE, left), timeout(PATIENCE, again));
        left.expect("accepted");
    });
}
