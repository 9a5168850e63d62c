//! Messages between the failure detectors of a fleet.

use crate::rendezvous::splitmix64;
use bitcode::{Decode, Encode};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Address at which a process receives datagrams, packed into an integer. Identifies the process among the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct MemberAddr(u64);

impl MemberAddr {
    /// Pseudo-random hash for rendezvous hashing and for view digests.
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

/// State of a member. Of two records that are otherwise equal, the one with the later state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum MemberState {
    /// The member answers pings.
    Alive,
    /// Several watchers receive no answer from the member.
    Dead,
    /// The member announced its shutdown.
    Left,
}

/// Identity of a process.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Identity {
    /// Address at which the process receives datagrams.
    pub addr: MemberAddr,
    /// Name of the machine.
    pub name: String,
    /// Whether the process is a data plane.
    pub data_plane: bool,
    /// Random number drawn at the process start. Tells a restarted process from its predecessor at the same address.
    pub start_id: u64,
}

/// Record of one member, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberRecord {
    /// The member.
    pub identity: Identity,
    /// Only the member itself raises its incarnation, to override a record that is wrong. A restarted process
    /// overrides records of its predecessor in the same way.
    pub incarnation: u32,
    /// State of the member.
    pub state: MemberState,
}

impl MemberRecord {
    /// Precedence: of two records about one member, the one with the greater rank wins.
    pub fn rank(&self) -> (u32, u64, MemberState) {
        (self.incarnation, self.identity.start_id, self.state)
    }

    /// The incarnation that a suspicion or alive report about this record refers to.
    pub(crate) fn member_incarnation(&self) -> MemberIncarnation {
        MemberIncarnation {
            addr: self.identity.addr,
            incarnation: self.incarnation,
            start_id: self.identity.start_id,
        }
    }
}

/// One incarnation of a member, the subject of a suspicion or alive report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberIncarnation {
    /// Address of the member.
    pub addr: MemberAddr,
    /// Incarnation number of the member.
    pub incarnation: u32,
    /// Start ID of the member.
    pub start_id: u64,
}

/// Purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum MessageKind {
    /// Requests an [`MessageKind::Ack`].
    Ping,
    /// Answers a ping.
    Ack,
    /// Carries records, suspicions or alive reports and expects no answer.
    Gossip,
}

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Message {
    /// Purpose of the datagram.
    pub kind: MessageKind,
    /// The sender's own record.
    pub from: MemberRecord,
    /// Digest of the members that the sender considers alive.
    pub digest: u64,
    /// Records to gossip.
    pub records: Vec<MemberRecord>,
    /// Members that the sender suspects. The receiver replies with its records of these members.
    pub suspicions: Vec<MemberIncarnation>,
    /// Members that the receiver suspects and that the sender received a datagram from recently.
    pub alive_reports: Vec<MemberIncarnation>,
    /// Sync request: digests of the buckets of the sender's view. The receiver replies with its records in buckets
    /// that differ. Empty unless the sender requests a sync.
    pub bucket_digests: Vec<u32>,
}

impl Message {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// Decodes a datagram; `None` if the datagram does not have this format.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        bitcode::decode(bytes).ok()
    }
}
