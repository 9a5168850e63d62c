//! The wire protocol between control planes and data planes: messages and their framing.
//!
//! A frame is a four-byte big-endian length followed by one `bitcode`-encoded message of that length. A receiver
//! closes the connection on a frame that is too long or that it cannot decode: all processes of a deployment run the
//! same version or adjacent versions. Messages carry durations in milliseconds, never timestamps, because machines do
//! not share a clock.
//!
//! A voter is a control plane that votes in Raft, and the leader is the elected one. A quota holder is a control
//! plane that keeps quota counters and grants leases (temporary rights to spend quota) to data planes: the leader,
//! and the deputies that it appoints by a numbered assignment. A data plane without a lease spends fallback slices:
//! its share of each quota, which is the quota divided by the fleet size. A process incarnation identifies one run
//! of a process. A drain record is a numbered entry in the leader's list of draining backends.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod freshness;

use bitcode::{Decode, DecodeOwned, Encode};
pub use freshness::{FreshnessAnswer, FreshnessQuery};

/// Maximum size of a frame body, in bytes. A complete configuration with several thousand routes fits.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of the first frame body on an accepted connection, in bytes. A [`Hello`] fits with the longest names
/// in use.
pub const MAX_HELLO_BYTES: usize = 4096;

/// Lifecycle phase that a backend reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Phase {
    /// The backend accepts requests.
    Serving,
    /// The backend finishes its running requests and must receive no new ones.
    Draining,
    /// The backend instance has ended: it announced its departure, or another instance has its address.
    Gone,
}

/// One instance of a backend, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Backend {
    /// The `instance_id` of the backend.
    pub id: String,
    /// The service that the backend belongs to.
    pub service: String,
    /// The address that the backend listens on, `ip:port`.
    pub address: String,
    /// The availability zone of the backend.
    pub zone: String,
    /// The software version of the backend.
    pub generation: String,
    /// Maximum number of requests that the backend processes concurrently.
    pub capacity: u32,
    /// The lifecycle phase of the backend.
    pub phase: Phase,
    /// Remaining warm-up time in ms, counted from when the backend sent this state.
    pub warmup_left_ms: u32,
    /// Number of calls that the backend has made to the control plane. Of two states of one instance, the one with
    /// the higher count is newer.
    pub call_count: u64,
    /// Whether heartbeats of the backend are overdue: it may be dead or isolated. The next heartbeat clears the flag.
    pub overdue: bool,
}

impl Backend {
    /// A draining backend of which only the id is known. A receiver that does not know the backend's address ignores
    /// it, since it cannot send requests to the backend anyway.
    pub fn draining(id: String) -> Self {
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

/// Encodes a message as a frame.
pub fn frame<M: Encode>(message: &M) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Why received bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The announced length, which exceeds the limit for this frame, [`MAX_FRAME_BYTES`] at most.
    TooLong(usize),
    /// The frame body is not a message of this version.
    Undecodable,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLong(length) => write!(f, "frame of {length} bytes exceeds the size limit"),
            Self::Undecodable => write!(f, "frame does not contain a message of this protocol version"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Decodes the first frame in `bytes`. Returns the message and the number of bytes of the frame, or `None` while the
/// frame is incomplete.
///
/// # Errors
/// When the frame is too long or its body is not a message.
pub fn unframe<M: DecodeOwned>(bytes: &[u8]) -> Result<Option<(M, usize)>, FrameError> {
    unframe_with_limit(bytes, MAX_FRAME_BYTES)
}

/// Same as [`unframe`], with a limit of `max_bytes` for the frame body. A short frame can announce many empty
/// elements and occupy a hundred times its size once decoded, so peers that have not identified themselves get a low
/// limit.
///
/// # Errors
/// Same as [`unframe`].
pub fn unframe_with_limit<M: DecodeOwned>(
    bytes: &[u8], max_bytes: usize,
) -> Result<Option<(M, usize)>, FrameError> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > max_bytes {
        return Err(FrameError::TooLong(length));
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let message = bitcode::decode(body).map_err(|_| FrameError::Undecodable)?;
    Ok(Some((message, length + 4)))
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Plane {
    /// A data plane, which proxies requests to backends.
    DataPlane,
    /// A control plane, which agrees on configurations and tracks backends.
    ControlPlane,
}

/// Identity of a process, sent as the first message on each connection.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// The name of the machine.
    pub name: String,
    /// Random number drawn when the process starts. Distinguishes a restarted process from its predecessor.
    pub process_incarnation: u64,
    /// The role of the process.
    pub plane: Plane,
    /// The address on which the process accepts connections of other processes, `ip:port`.
    pub address: String,
    /// The availability zone of the process.
    pub zone: String,
    /// Whether the process keeps a Raft log on disk and may become a voter.
    pub quorum: bool,
    /// Random number drawn when the Raft log on disk was created. `None` for a process without a Raft log, or while
    /// the number is not known yet.
    pub voter_incarnation: Option<u64>,
}

/// An announcement by one incarnation of a data plane that it has ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Departure {
    /// The name of the data plane's machine.
    pub name: String,
    /// Random number drawn when the data plane started, same as [`Hello::process_incarnation`].
    pub incarnation: u64,
    /// Time since the announcement, in ms.
    pub ago_ms: u64,
}

/// Feature flag for [`Message::Departures`], sent as the number of a [`Message::NotHolder`]. A control plane answers
/// the [`Message::Hello`] of another control plane with it to announce that it understands [`Message::Departures`]. A
/// process of an earlier version would close the connection on [`Message::Departures`], but ignores the flag. No
/// lease request has this number.
pub const UNDERSTANDS_DEPARTURES: u64 = u64::MAX;

/// Same as [`UNDERSTANDS_DEPARTURES`], for [`LeaderCall::Drain`] and for log entries that record draining backends.
pub const UNDERSTANDS_DRAINS: u64 = u64::MAX - 1;

/// Same as [`UNDERSTANDS_DEPARTURES`], sent to a data plane: the data plane may send a
/// [`Message::FreshnessQuery`].
pub const UNDERSTANDS_FRESHNESS: u64 = u64::MAX - 2;

/// The address of a control plane, as other processes know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ControlPlaneAddress {
    /// The address on which the control plane accepts connections of other processes, `ip:port`.
    pub address: String,
    /// The availability zone of the control plane.
    pub zone: String,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigSnapshot {
    /// The version of the configuration.
    pub version: u64,
    /// The body as the operator submitted it, byte for byte.
    pub body: Vec<u8>,
}

/// Identifies the configuration that a process has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ConfigId {
    /// The version of the configuration; 0 if the process has none.
    pub version: u64,
    /// The first eight bytes of the body's SHA-256, big-endian. Two bodies may have had the same version number.
    pub digest_prefix: u64,
}

/// A configuration encoded as a difference from another version.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigDelta {
    /// The version of the configuration.
    pub version: u64,
    /// The version of the base; 0 for an empty body.
    pub base: u64,
    /// The SHA-256 of the body.
    pub digest: [u8; 32],
    /// The size of the body in bytes.
    pub length: u32,
    /// The body as a `zstd` frame, compressed with the body of the base as dictionary.
    pub bytes: Vec<u8>,
}

/// The current state of the fleet, sent periodically by a control plane to its followers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The address on which the Raft leader accepts connections, if the sender knows the leader.
    pub leader: Option<String>,
    /// The Raft term of the leader.
    pub term: u64,
    /// Number of the leader's assignment of quota counters within the term; 0 for the first assignment, in which the
    /// leader holds all counters.
    pub assignment: u32,
    /// Addresses of the quota holders other than the leader.
    pub other_holders: Vec<String>,
    /// Whether the leader has recently confirmed the sender's state as current.
    pub fresh: bool,
    /// The newest configuration version of the sender.
    pub version: u64,
    /// The number of data planes, by which each data plane divides its fallback slices.
    pub fleet_size: u32,
    /// The index of the receiver among the data planes, counted from 0.
    pub data_plane_index: u32,
}

/// A call that only the leader can handle: a call of an operator, or the drain call of a backend.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LeaderCall {
    /// Replace the configuration if its version is still `base`.
    Replace {
        /// The version that the new configuration is based on.
        base: u64,
        /// The body of the new configuration.
        body: Vec<u8>,
    },
    /// Read the newest configuration.
    Read,
    /// Remove a permanently lost voter, by its address.
    Remove(String),
    /// Record in the log that a backend drains, by its id. Sent only to processes that have sent
    /// [`UNDERSTANDS_DRAINS`].
    Drain(String),
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// Identity of the process that opened the connection; the first message on each connection.
    Hello(Hello),
    /// A control plane's answer to [`Message::Hello`], with its own identity.
    Welcome(Hello),
    /// Between control planes: an encoded Raft message.
    Log {
        /// The voter incarnation of the sender.
        incarnation: u64,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// The control planes known to the sender.
    ControlPlanes(Vec<ControlPlaneAddress>),
    /// Subscribes to updates. Repeated as a keepalive.
    Follow {
        /// The newest configuration that the subscriber has.
        have: ConfigId,
    },
    /// A complete configuration.
    ConfigSnapshot(ConfigSnapshot),
    /// Backends that changed, or all backends if `is_complete` is set.
    Backends {
        /// Whether backends that are not listed do not exist.
        is_complete: bool,
        /// The listed backends.
        backends: Vec<Backend>,
    },
    /// Backends whose heartbeats the sender has received since its last message of this kind: id and call count.
    BackendHeartbeats(Vec<(String, u64)>),
    /// Data planes that are connected to the sender: name and process incarnation.
    DataPlanes(Vec<(String, u64)>),
    /// The current state of the fleet.
    Heartbeat(Heartbeat),
    /// A data plane's keepalive to a quota holder.
    QuotaKeepalive {
        /// The epoch of the newest assignment that the data plane has received.
        epoch: quota::Epoch,
    },
    /// A data plane requests quota units of tenants.
    LeaseRequest(quota::LeaseRequest),
    /// The holder's answer to a lease request.
    Grant(quota::Grant),
    /// The receiver of a lease request does not hold the counters. Also carries feature flags such as
    /// [`UNDERSTANDS_DEPARTURES`].
    NotHolder {
        /// The number of the lease request, or a feature flag.
        number: u64,
    },
    /// A control plane requests the lease that permits it to grant from its quota counters, or offers to become a
    /// holder.
    HolderLeaseRequest {
        /// Request number, chosen by the sender in ascending order.
        number: u64,
        /// The highest number of the sender's requests that has been answered.
        answered: u64,
        /// Number of lease requests that the sender answers per second.
        request_rate: f64,
    },
    /// The leader's answer to [`Message::HolderLeaseRequest`].
    HolderLease {
        /// Number of the answered request.
        number: u64,
        /// The current assignment of quota counters.
        assignment: quota::HolderAssignment,
        /// Duration of the lease in ms, counted from when the request was sent; 0 if no lease is granted.
        lease_ms: f64,
    },
    /// The leader has made a new assignment of quota counters.
    HolderAssignment(quota::HolderAssignment),
    /// A control plane hands quota counters over to another one.
    Handover(quota::Handover),
    /// A call forwarded to the leader.
    ForwardedCall {
        /// Chosen by the sender; the reply repeats it.
        token: u64,
        /// The forwarded call.
        call: LeaderCall,
    },
    /// The leader's reply to a forwarded call.
    ForwardedReply {
        /// The token of the call.
        token: u64,
        /// HTTP status for the caller.
        status: u16,
        /// Body of the HTTP response.
        body: Vec<u8>,
    },
    /// A configuration encoded as a difference.
    ConfigDelta(ConfigDelta),
    /// Requests the complete newest configuration, because a received difference could not be applied.
    SnapshotRequest,
    /// Placeholder of a removed message: `bitcode` encodes variants by position.
    Reserved,
    /// A data plane announces that it has ended: it admits no more requests and spends no more quota. A control plane
    /// announces that it is about to shut down: the leader removes it if the number of voters is even.
    Leave,
    /// Answer to [`Message::Leave`]: the sender no longer counts the data plane and has forwarded its departure.
    LeaveAccepted,
    /// Between control planes: data planes that have announced their end. Sent only to processes that have sent
    /// [`UNDERSTANDS_DEPARTURES`].
    Departures(Vec<Departure>),
    /// A data plane queries the maximum age of the state that it receives. Sent only to processes that have sent
    /// [`UNDERSTANDS_FRESHNESS`].
    FreshnessQuery(FreshnessQuery),
    /// Answer to [`Message::FreshnessQuery`].
    FreshnessAnswer(FreshnessAnswer),
}
