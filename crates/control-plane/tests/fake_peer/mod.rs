//! A peer process simulated by a test over a real connection.

use protocol::{ConfigId, Hello, Message, Plane};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A connection on which the test acts as another process.
pub struct FakePeer {
    pub stream: TcpStream,
    read: Vec<u8>,
}

impl FakePeer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(super::WAIT_TIMEOUT)).expect("a read timeout");
        Self { stream, read: Vec::new() }
    }

    /// Connects as a data plane.
    pub fn data_plane(to: SocketAddr, name: &str, incarnation: u64) -> Self {
        let mut peer = Self::new(super::wait_for(|| TcpStream::connect(to).ok()));
        peer.send(&Message::Hello(hello(name, incarnation, Plane::DataPlane)));
        peer.send(&Message::Follow { have: ConfigId::default() });
        peer
    }

    pub fn send(&mut self, message: &Message) {
        self.stream.write_all(&protocol::frame(message)).expect("cannot write to the stream");
    }

    pub fn next(&mut self) -> Message {
        loop {
            if let Some((message, length)) = protocol::unframe::<Message>(&self.read).expect("a frame") {
                self.read.drain(..length);
                return message;
            }
            let mut bytes = [0; 4096];
            let length = self.stream.read(&mut bytes).expect("the next bytes");
            assert!(length > 0, "the connection is closed");
            self.read.extend_from_slice(&bytes[..length]);
        }
    }

    pub fn leave(&mut self) {
        self.send(&Message::Leave);
        while self.next() != Message::LeaveAccepted {}
    }
}

/// The identity of a peer.
pub fn hello(name: &str, incarnation: u64, plane: Plane) -> Hello {
    Hello {
        name: name.into(),
        process_incarnation: incarnation,
        plane,
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        quorum: false,
        voter_incarnation: None,
    }
}
