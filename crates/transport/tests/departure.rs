//! The departure announcement of a data plane: sent on every connection, and again after a reconnect, until accepted.

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

/// Timeout of all waits; expected events arrive much sooner.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than a reconnect takes.
const RECONNECT_TIME: Duration = Duration::from_millis(300);

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
    let (stream, peer) =
        timeout(TIMEOUT, listener.accept()).await.expect("no connection in time").expect("accept failed");
    attach(stream, peer)
}

/// Reads messages until `expected` arrives.
async fn until(reader: &mut FrameReader, expected: &Message) {
    let read = async { while reader.next().await.expect("a message") != *expected {} };
    timeout(TIMEOUT, read).await.expect("the expected message did not arrive");
}

#[test]
fn the_followed_control_plane_and_the_quota_holder_must_both_accept_a_departure() {
    run(async {
        let ((followed, to), (holder, leader)) = (listener().await, listener().await);
        let follower = follower(to);
        let (sender, mut reader) = accept(&followed).await;
        let leader = Some(leader.to_string());
        sender.send(&Message::Heartbeat(Heartbeat { leader, term: 1, fresh: true, ..Heartbeat::default() }));
        let (holder_sender, mut holder_reader) = accept(&holder).await;
        let mut leave = Box::pin(follower.leave());
        assert!(timeout(RECONNECT_TIME, &mut leave).await.is_err(), "no peer has accepted the departure");
        until(&mut reader, &Message::Leave).await;
        until(&mut holder_reader, &Message::Leave).await;
        sender.send(&Message::LeaveAccepted);
        assert!(
            timeout(RECONNECT_TIME, &mut leave).await.is_err(),
            "the holder has not accepted the departure"
        );
        holder_sender.send(&Message::LeaveAccepted);
        timeout(TIMEOUT, leave).await.expect("the departure was not accepted in time");
    });
}

#[test]
fn a_departure_is_announced_again_after_a_reconnect() {
    run(async {
        let (listener, to) = listener().await;
        let follower = follower(to);
        let first = accept(&listener).await;
        let mut leave = Box::pin(follower.leave());
        assert!(timeout(RECONNECT_TIME, &mut leave).await.is_err());
        // The followed control plane shuts down at the same time.
        drop(first);
        let again = async {
            let (sender, mut reader) = accept(&listener).await;
            until(&mut reader, &Message::Leave).await;
            sender.send(&Message::LeaveAccepted);
            // Keeps the connection open until the follower has read the answer.
            let _ = timeout(RECONNECT_TIME, reader.next()).await;
        };
        let (result, _) = tokio::join!(timeout(TIMEOUT, leave), timeout(TIMEOUT, again));
        result.expect("the departure was not accepted in time");
    });
}
