//! Calls forwarded to the leader: a reply counts only on the connection that carried the call.

use control_plane::{ControlPlane, ControlPlaneSettings, Tolerance};
use protocol::{Heartbeat, Hello, Message, Plane};
use raft::Timing;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use transport::{FrameReader, FrameSender, attach, dial};

/// Time limit that only a hanging test reaches.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn hello(name: &str, address: SocketAddr) -> Hello {
    Hello {
        name: name.into(),
        process_incarnation: 1,
        plane: Plane::ControlPlane,
        address: address.to_string(),
        zone: "a".into(),
        quorum: false,
        voter_incarnation: None,
    }
}

/// Starts a process without a Raft log that knows one leader. Returns its addresses for processes and for calls.
async fn start_non_voter(leader: SocketAddr) -> (SocketAddr, SocketAddr) {
    let (peers, calls) = (bind().await, bind().await);
    let addresses = (peers.local_addr().expect("an address"), calls.local_addr().expect("an address"));
    let settings = ControlPlaneSettings {
        me: hello("m1", addresses.0),
        address: addresses.0,
        seeds: vec![leader],
        heartbeat_interval_ms: 500,
        timing: Timing { heartbeat: 40, election: 300, lease: 200 },
        tolerance: Tolerance::default(),
        retire_after_ms: 2000,
        max_lease_requests_per_holder: 0.0,
        seed: 5,
        detours: config::Detours::default(),
    };
    let (commands, queue) = mpsc::channel(64);
    let connection_ids = Rc::new(Cell::new(0));
    let connection_ids: Rc<dyn Fn() -> u64> = Rc::new(move || {
        connection_ids.set(connection_ids.get() + 1);
        connection_ids.get()
    });
    let control_plane = ControlPlane::new(settings, None, commands.clone(), connection_ids.clone());
    spawn_local(control_plane::listen(peers, commands.clone(), move || connection_ids()));
    spawn_local(control_plane::serve(calls, commands, 16));
    spawn_local(control_plane.run(queue));
    addresses
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}

/// Accepts the connection from the process as the leader, and announces the leadership.
async fn accept_as_leader(leader: &TcpListener) -> (FrameSender, FrameReader) {
    let (stream, peer) = leader.accept().await.expect("a connection");
    let (line, reader) = attach(stream, peer);
    let address = leader.local_addr().expect("an address").to_string();
    line.send(&Message::Heartbeat(Heartbeat {
        leader: Some(address),
        term: 1,
        fresh: true,
        ..Heartbeat::default()
    }));
    (line, reader)
}

async fn next_forwarded_token(from: &mut FrameReader) -> u64 {
    loop {
        if let Message::ForwardedCall { token, .. } = from.next().await.expect("a message") {
            return token;
        }
    }
}

fn reply(token: u64, body: &str) -> Message {
    Message::ForwardedReply { token, status: 200, body: body.into() }
}

async fn read_config(calls: SocketAddr) -> String {
    let mut stream = TcpStream::connect(calls).await.expect("a connection");
    let request = b"GET /Config.Read HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.expect("cannot write to the stream");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

#[test]
fn a_reply_counts_only_on_the_connection_that_carried_the_call() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async {
        let leader = bind().await;
        let (peers, calls) = start_non_voter(leader.local_addr().expect("an address")).await;
        let (line, mut reader) = accept_as_leader(&leader).await;
        let call = spawn_local(read_config(calls));
        let token = next_forwarded_token(&mut reader).await;
        // Another process, perhaps a former leader, replies with the same token. The leader replies with other
        // tokens.
        let (other, mut answers) = dial(peers, &config::Detours::default()).await.expect("a connection");
        other.send(&reply(token, "of another connection"));
        // Once this hello is answered, the message sent before it has been handled.
        other.send(&Message::Hello(hello("m2", peers)));
        assert!(matches!(answers.next().await, Ok(Message::Welcome(_))));
        line.send(&reply(token + 1, "of another call"));
        let second = spawn_local(read_config(calls));
        let next = next_forwarded_token(&mut reader).await;
        assert!(next > token, "no token is used twice");
        line.send(&reply(next, "the second"));
        line.send(&reply(token, "the first"));
        line.send(&reply(token, "the first once more"));
        assert!(call.await.expect("an answer").ends_with("\r\n\r\nthe first"));
        assert!(second.await.expect("an answer").ends_with("\r\n\r\nthe second"));
    };
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test).await.expect("a test that ends");
    });
}
