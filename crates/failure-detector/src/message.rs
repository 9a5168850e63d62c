//! What processes that watch each other say.

use crate::ranks::mix;
use bitcode::{Decode, Encode};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Where a process takes datagrams; it names the process among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Mark(u64);

impl Mark {
    /// A number that looks like chance.
    pub(crate) fn hash(self) -> u64 {
        mix(self.0)
    }
}

impl From<SocketAddrV4> for Mark {
    fn from(at: SocketAddrV4) -> Self {
        Self(u64::from(at.ip().to_bits()) << 16 | u64::from(at.port()))
    }
}

impl From<Mark> for SocketAddrV4 {
    fn from(mark: Mark) -> Self {
        Self::new(Ipv4Addr::from_bits((mark.0 >> 16) as u32), mark.0 as u16)
    }
}

/// What is held of a process; of words that are equal but for this the later state stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum State {
    /// It answers.
    Here,
    /// Several witnesses hear it no more.
    Dead,
    /// It said that it ends.
    Left,
}

/// Who a process is.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Card {
    /// Where it takes datagrams.
    pub at: Mark,
    /// The name of its machine.
    pub name: String,
    /// Whether it carries requests.
    pub data_plane: bool,
    /// Drawn at its start: tells one life of a process from the next.
    pub life: u64,
}

/// What is held of one process.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Word {
    /// Who it is.
    pub card: Card,
    /// Raised by the process itself, and by nobody else, above any word that it finds wrong; a new life of it goes
    /// above what is left of the old one in the same way.
    pub incarnation: u32,
    /// What is held of it.
    pub state: State,
}

impl Word {
    /// Of two words about one process the one with the greater rank stands.
    pub fn rank(&self) -> (u32, u64, State) {
        (self.incarnation, self.card.life, self.state)
    }

    /// The life and incarnation that a doubt or a vouch is about.
    pub(crate) fn about(&self) -> About {
        About { at: self.card.at, incarnation: self.incarnation, life: self.card.life }
    }
}

/// One incarnation of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct About {
    /// Where it takes datagrams.
    pub at: Mark,
    /// Its incarnation.
    pub incarnation: u32,
    /// Its life.
    pub life: u64,
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Kind {
    /// Wants an answer.
    Ping,
    /// The answer.
    Answer,
    /// Wants none.
    Note,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Message {
    /// What it is for.
    pub kind: Kind,
    /// The sender, as it knows itself.
    pub from: Word,
    /// The digest of all that the sender holds to be here.
    pub digest: u64,
    /// What it passes on.
    pub words: Vec<Word>,
    /// Whom it pings without an answer: the receiver is to say what it knows.
    pub doubts: Vec<About>,
    /// Whom it has just heard, though the receiver doubts.
    pub vouches: Vec<About>,
    /// The digests of the parts of its view, when the receiver is to tell where its own differ; else empty.
    pub parts: Vec<u32>,
}

impl Message {
    /// As a datagram.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// Reads a datagram; nothing when it is none of this version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        bitcode::decode(bytes).ok()
    }
}
