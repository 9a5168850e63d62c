//! What the system's own processes say to each other: messages and their frames.
//!
//! A frame is four bytes of length (big-endian, of what follows) and one message in `bitcode`. Whoever reads one that is
//! too long or can't be decoded closes the connection: all processes of a fleet run one version or its neighbours.
//! Times in messages are spans in milliseconds, never points of a clock: no two machines share one.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod freshness;

use bitcode::{Decode, DecodeOwned, Encode};
pub use freshness::{FreshnessAnswer, FreshnessQuestion};

/// The longest frame that is read, in bytes: a whole configuration of some thousand routes fits.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// The longest first frame of a connection that came, in bytes: a [`Hello`] with names as long as any that are in use.
pub const MAX_HELLO_BYTES: usize = 4096;

/// What a backend says it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It finishes its work and must be sent nothing new.
    Draining,
    /// It has left, or nobody has heard of it for long: this life is over.
    Gone,
}

/// One life of a backend.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Backend {
    /// Its `instance_id`.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub generation: String,
    /// How many requests it works on at once.
    pub capacity: u32,
    /// What it does.
    pub phase: Phase,
    /// For how long it remains slow, in ms from when this was said.
    pub warmup_left_ms: u32,
    /// Rises with each of its calls: of two words the one with more calls is newer.
    pub call_count: u64,
    /// Whether its beats are overdue: it may be dead or cut off. Not a phase: a beat ends it.
    pub overdue: bool,
}

impl Backend {
    /// A backend of which nothing is known but that it leaves. Whoever does not know it either can't send to it.
    pub fn leaving(id: String) -> Self {
        Self {
            id,
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            generation: String::new(),
            capacity: 1,
            phase: Phase::Draining,
            warmup_left_ms: 0,
            call_count: 0,
            overdue: false,
        }
    }
}

/// Frames a message.
pub fn frame<M: Encode>(message: &M) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// A frame announces more than is read, [`MAX_FRAME_BYTES`] at most.
    TooLong(usize),
    /// A frame holds something else.
    Undecodable,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLong(length) => write!(f, "a frame of {length} bytes, which is more than is read here"),
            Self::Undecodable => write!(f, "a frame that holds no message of this version"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Takes the first whole frame off the front of what has been read, if there is one; gives what it took as well.
///
/// # Errors
/// When the bytes can't be a frame, or the frame no message.
pub fn unframe<M: DecodeOwned>(bytes: &[u8]) -> Result<Option<(M, usize)>, FrameError> {
    unframe_with_limit(bytes, MAX_FRAME_BYTES)
}

/// As [`unframe`], where frames of more than `longest` bytes are not read. A short frame can announce many empty elements
/// and take a hundred times its length once it is decoded, so that little is read of whoever is not known yet.
///
/// # Errors
/// As there.
pub fn unframe_with_limit<M: DecodeOwned>(
    bytes: &[u8], longest: usize,
) -> Result<Option<(M, usize)>, FrameError> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > longest {
        return Err(FrameError::TooLong(length));
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let message = bitcode::decode(body).map_err(|_| FrameError::Undecodable)?;
    Ok(Some((message, length + 4)))
}

/// What kind of process speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Plane {
    /// It carries requests.
    DataPlane,
    /// It serves control.
    ControlPlane,
}

/// The first message on each connection: who has connected.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// The name of its machine.
    pub name: String,
    /// Drawn at its start: tells one life of a process from the next.
    pub process_incarnation: u64,
    /// What it does.
    pub plane: Plane,
    /// Where it takes the connections of other processes, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it has a disk that counts.
    pub quorum: bool,
    /// The number drawn when its disk was empty, once it is known; of a process with a disk that counts.
    pub voter_incarnation: Option<u64>,
}

/// An incarnation of a data plane that has said itself that it ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Departure {
    /// The name of its machine.
    pub name: String,
    /// Drawn at its start, as [`Hello::process_incarnation`].
    pub incarnation: u64,
    /// How long ago it said so, in ms.
    pub ago_ms: u64,
}

/// The number of a [`Message::NotHolder`] by which a process that serves control tells another one, as the answer to its
/// [`Message::Hello`], that it reads [`Message::Departures`]. A process of an earlier version would close the connection on
/// such a message, and ignores this one; no lease request has this number.
pub const UNDERSTANDS_DEPARTURES: u64 = u64::MAX;

/// As [`UNDERSTANDS_DEPARTURES`], of [`OperatorCall::Drain`] and of entries of the log that record backends that leave.
pub const UNDERSTANDS_DRAINS: u64 = u64::MAX - 1;

/// As [`UNDERSTANDS_DEPARTURES`], to a data plane: it may send a [`Message::FreshnessQuestion`].
pub const UNDERSTANDS_FRESHNESS: u64 = u64::MAX - 2;

/// A process that serves control, as others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ControlPlaneAddress {
    /// Where it takes the connections of other processes, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
}

/// A configuration as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigSnapshot {
    /// Its version.
    pub version: u64,
    /// The operator's body, byte for byte.
    pub body: Vec<u8>,
}

/// Which configuration a process has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ConfigId {
    /// Its version; 0 for none.
    pub version: u64,
    /// The first eight bytes of its body's SHA-256, as a number: another body may have borne the same version.
    pub digest_prefix: u64,
}

/// A configuration as what makes it out of another one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigDelta {
    /// Its version.
    pub version: u64,
    /// The version that it is made from; 0 for an empty body.
    pub base: u64,
    /// The SHA-256 of its body.
    pub digest: [u8; 32],
    /// The bytes of its body.
    pub length: u32,
    /// A `zstd` frame with the base's body as its dictionary.
    pub bytes: Vec<u8>,
}

/// What a process that serves control says of the fleet at this moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Where the leader of the log takes connections, as far as the sender knows.
    pub leader: Option<String>,
    /// The leader's term.
    pub term: u64,
    /// The number of the leader's assignment of counts; 0 for its first, of which nobody needs to be told.
    pub assignment: u32,
    /// Who holds counts beside the leader.
    pub other_holders: Vec<String>,
    /// Whether the sender has heard the leader just now: what it tells is the newest then.
    pub fresh: bool,
    /// The newest version that the sender has.
    pub version: u64,
    /// How many data planes there are.
    pub fleet_size: u32,
    /// Which of them, from 0, the receiver is.
    pub data_plane_index: u32,
}

/// A call of the operator on its way to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OperatorCall {
    /// Take a configuration that was made on top of a version.
    Replace {
        /// The version that it builds on.
        base: u64,
        /// The body.
        body: Vec<u8>,
    },
    /// Give the newest one.
    Read,
    /// Take a voter that is gone for good off the list, by its address.
    Remove(String),
    /// Record that a backend leaves, by its id. It goes only to those that have sent [`UNDERSTANDS_DRAINS`].
    Drain(String),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// Who speaks; the first on each connection.
    Hello(Hello),
    /// The answer to it by a process that serves control, who it is itself.
    Welcome(Hello),
    /// Between voters: a message of the log, encoded, and the sender's incarnation.
    Log {
        /// The sender's incarnation.
        incarnation: u64,
        /// The message.
        message: Vec<u8>,
    },
    /// The processes that serve control, as far as the sender knows.
    ControlPlanes(Vec<ControlPlaneAddress>),
    /// Asks for all news from now on.
    Follow {
        /// The newest configuration that the asker has.
        have: ConfigId,
    },
    /// A configuration.
    ConfigSnapshot(ConfigSnapshot),
    /// Backends: what changed, or with `is_complete` all there are.
    Backends {
        /// Whether there are no others.
        is_complete: bool,
        /// The backends.
        backends: Vec<Backend>,
    },
    /// Backends that have been heard since the last such word: id and number of calls.
    BackendHeartbeats(Vec<(String, u64)>),
    /// DataPlanes that the sender hears: name and life.
    DataPlanes(Vec<(String, u64)>),
    /// How things stand.
    Heartbeat(Heartbeat),
    /// A data plane can reach a holder of counts, and has nothing to ask.
    QuotaKeepalive {
        /// The newest assignment that it has heard of.
        epoch: quota::Epoch,
    },
    /// A data plane wants units of tenants.
    LeaseRequest(quota::LeaseRequest),
    /// It gets them.
    Grant(quota::Grant),
    /// The holder of the counts is another process.
    NotHolder {
        /// The number of the draw.
        number: u64,
    },
    /// A control plane asks the leader for a lease of its counts, or offers to hold some.
    HolderLeaseRequest {
        /// Chosen by the asker, each higher than the last.
        number: u64,
        /// The highest number of its offers that was answered.
        answered: u64,
        /// Draws that it answers a second.
        request_rate: f64,
    },
    /// The leader's answer.
    HolderLease {
        /// The offer's number.
        number: u64,
        /// The assignment.
        assignment: quota::HolderAssignment,
        /// The span of the lease, in ms from when the offer was sent; 0 for none.
        lease_ms: f64,
    },
    /// The leader has made an assignment.
    HolderAssignment(quota::HolderAssignment),
    /// A control plane gives counts up to another one.
    Handover(quota::Handover),
    /// A call of the operator for the leader.
    ForwardedCall {
        /// Chosen by the asker.
        token: u64,
        /// The call.
        call: OperatorCall,
    },
    /// The leader's answer.
    ForwardedReply {
        /// The asker's token.
        token: u64,
        /// The status for the operator.
        status: u16,
        /// The body of the answer.
        body: Vec<u8>,
    },
    /// A configuration as a difference.
    ConfigDelta(ConfigDelta),
    /// Asks for the newest configuration whole: what came made none.
    SnapshotRequest,
    /// The place of a message that is spoken no more: `bitcode` goes by the order of variants.
    Reserved,
    /// A data plane says that it has ended: it admits no request and spends nothing from now on. A process that serves
    /// control says that it is about to end: a leader takes it off an even list of voters.
    Leave,
    /// The answer to it: the sender counts it no more, and has passed that on.
    LeaveAccepted,
    /// Between processes that serve control: data planes that have said that they ended. It goes only to those that
    /// have sent [`UNDERSTANDS_DEPARTURES`].
    Departures(Vec<Departure>),
    /// A data plane asks how old what it is told may be. It goes only to those that have sent [`UNDERSTANDS_FRESHNESS`].
    FreshnessQuestion(FreshnessQuestion),
    /// The answer to it.
    FreshnessAnswer(FreshnessAnswer),
}
