//! Calls that go on to the leader: their answers come on the connection that carried them, or not at all.

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

/// Only a hang takes as long.
const LONG: Duration = Duration::from_secs(20);

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

/// A process without a log that knows of one leader. Gives where it takes connections and calls.
async fn follower(leader: SocketAddr) -> (SocketAddr, SocketAddr) {
    let (peers, calls) = (listener().await, listener().await);
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
    let numbers = Rc::new(Cell::new(0));
    let numbers: Rc<dyn Fn() -> u64> = Rc::new(move || {
        numbers.set(numbers.get() + 1);
        numbers.get()
    });
    let control_plane = ControlPlane::new(settings, None, commands.clone(), numbers.clone());
    spawn_local(control_plane::listen(peers, commands.clone(), move || numbers()));
    spawn_local(control_plane::serve(calls, commands, 16));
    spawn_local(control_plane.run(queue));
    addresses
}

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}

/// The leader's side of the connection that the process made to it, told that it leads.
async fn led(leader: &TcpListener) -> (FrameSender, FrameReader) {
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

async fn asked(from: &mut FrameReader) -> u64 {
    loop {
        if let Message::ForwardedCall { token, .. } = from.next().await.expect("a message") {
            return token;
        }
    }
}

fn told(token: u64, body: &str) -> Message {
    Message::ForwardedReply { token, status: 200, body: body.into() }
}

async fn read(calls: SocketAddr) -> String {
    let mut stream = TcpStream::connect(calls).await.expect("a connection");
    let request = b"GET /Config.Read HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

#[test]
fn an_answer_counts_only_on_the_connection_that_carried_the_call() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async {
        let leader = listener().await;
        let (peers, calls) = follower(leader.local_addr().expect("an address")).await;
        let (line, mut reader) = led(&leader).await;
        let call = spawn_local(read(calls));
        let token = asked(&mut reader).await;
        // Somebody else, an earlier leader perhaps, answers under the same number; so does this one under others.
        let (other, mut answers) = dial(peers, &config::Detours::default()).await.expect("a connection");
        other.send(&told(token, "of another connection"));
        // Once this is answered, what was sent before has been read.
        other.send(&Message::Hello(hello("m2", peers)));
        assert!(matches!(answers.next().await, Ok(Message::Welcome(_))));
        line.send(&told(token + 1, "of another call"));
        let second = spawn_local(read(calls));
        let next = asked(&mut reader).await;
        assert!(next > token, "no number is used twice");
        line.send(&told(next, "the second"));
        line.send(&told(token, "the first"));
        line.send(&told(token, "the first once more"));
        assert!(call.await.expect("an answer").ends_with("\r\n\r\nthe first"));
        assert!(second.await.expect("an answer").ends_with("\r\n\r\nthe second"));
    };
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(LONG, test).await.expect("a test that ends");
    });
}
