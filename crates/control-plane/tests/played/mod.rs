//! Other processes as a process of control meets them, played by a test.

use protocol::{ConfigId, Hello, Message, Plane};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A connection of another process, played by the test.
pub struct Played {
    pub stream: TcpStream,
    read: Vec<u8>,
}

impl Played {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(super::PATIENCE)).expect("a limit");
        Self { stream, read: Vec::new() }
    }

    /// Connects as a data plane.
    pub fn data_plane(to: SocketAddr, name: &str, incarnation: u64) -> Self {
        let mut played = Self::new(super::until(|| TcpStream::connect(to).ok()));
        played.say(&Message::Hello(hello(name, incarnation, Plane::DataPlane)));
        played.say(&Message::Follow { have: ConfigId::default() });
        played
    }

    pub fn say(&mut self, message: &Message) {
        self.stream.write_all(&protocol::frame(message)).expect("sent");
    }

    pub fn next(&mut self) -> Message {
        loop {
            if let Some((message, length)) = protocol::unframe::<Message>(&self.read).expect("a frame") {
                self.read.drain(..length);
                return message;
            }
            let mut bytes = [0; 4096];
            let length = self.stream.read(&mut bytes).expect("the next bytes");
            assert!(length > 0, "the connection is over");
            self.read.extend_from_slice(&bytes[..length]);
        }
    }

    pub fn leave(&mut self) {
        self.say(&Message::Leave);
        while self.next() != Message::LeaveAccepted {}
    }
}

/// Who says that it connects.
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
