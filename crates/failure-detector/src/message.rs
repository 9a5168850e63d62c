//! What processes that watch each other say.

use crate::rendezvous::splitmix64;
use bitcode::{Decode, Encode};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Where a process takes datagrams; it names the process among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct MemberAddr(u64);

impl MemberAddr {
    /// A number that looks like chance.
    pub(crate) fn hash(self) -> u64 {
        splitmix64(self.0)
    }
}

impl From<SocketAddrV4> for MemberAddr {
    fn from(at: SocketAddrV4) -> Self {
        Self(u64::from(at.ip().to_bits()) << 16 | u64::from(at.port()))
    }
}

impl From<MemberAddr> for SocketAddrV4 {
    fn from(addr: MemberAddr) -> Self {
        Self::new(Ipv4Addr::from_bits((addr.0 >> 16) as u32), addr.0 as u16)
    }
}

/// What is held of a process; of records that are equal but for this the later state stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// Several witnesses hear it no more.
    Dead,
    /// It said that it ends.
    Left,
}

/// Who a process is.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Identity {
    /// Where it takes datagrams.
    pub addr: MemberAddr,
    /// The name of its machine.
    pub name: String,
    /// Whether it carries requests.
    pub data_plane: bool,
    /// Drawn at its start: tells one start_id of a process from the next.
    pub start_id: u64,
}

/// What is held of one process.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberRecord {
    /// Who it is.
    pub identity: Identity,
    /// Raised by the process itself, and by nobody else, above any record that it finds wrong; a new start_id of it goes
    /// above what is left of the old one in the same way.
    pub incarnation: u32,
    /// What is held of it.
    pub state: MemberState,
}

impl MemberRecord {
    /// Of two records about one process the one with the greater rank stands.
    pub fn rank(&self) -> (u32, u64, MemberState) {
        (self.incarnation, self.identity.start_id, self.state)
    }

    /// The start_id and incarnation that a doubt or a vouch is about.
    pub(crate) fn member_incarnation(&self) -> MemberIncarnation {
        MemberIncarnation {
            addr: self.identity.addr,
            incarnation: self.incarnation,
            start_id: self.identity.start_id,
        }
    }
}

/// One incarnation of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberIncarnation {
    /// Where it takes datagrams.
    pub addr: MemberAddr,
    /// Its incarnation.
    pub incarnation: u32,
    /// Its start_id.
    pub start_id: u64,
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum MessageKind {
    /// Wants an answer.
    Ping,
    /// The answer.
    Ack,
    /// Wants none.
    Gossip,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Message {
    /// What it is for.
    pub kind: MessageKind,
    /// The sender, as it knows itself.
    pub from: MemberRecord,
    /// The digest of all that the sender holds to be here.
    pub digest: u64,
    /// What it passes on.
    pub records: Vec<MemberRecord>,
    /// Whom it pings without an answer: the receiver is to say what it knows.
    pub suspicions: Vec<MemberIncarnation>,
    /// Whom it has just heard, though the receiver suspicions.
    pub alive_reports: Vec<MemberIncarnation>,
    /// The digests of the bucket_digests of its view, when the receiver is to tell where its own differ; else empty.
    pub bucket_digests: Vec<u32>,
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
