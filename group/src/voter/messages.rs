//! Messages between voters and members, and the timeouts of a group.

use crate::lease::drift_allowance;
use crate::state_machine::{Command, Reply, SessionId};
use crate::store::{Incarnation, StoreError};
use raft::{Millis, Timing};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::time::Duration;

/// The name and address of a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterEndpoint {
    /// The process name of the voter.
    pub name: String,
    /// The address on which the voter listens.
    pub address: String,
}

/// A request to the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum GroupRequest {
    /// Appends a command to the log.
    Propose(Command),
    /// Renews a session.
    RenewSession(SessionId),
    /// Sends a note to the holder of a duty. Only the leader keeps the note, for a limited time, and the note may be
    /// lost.
    SendNote {
        /// The session of the sender.
        session: SessionId,
        /// The duty whose holder receives the note.
        duty: String,
        /// The content of the note.
        note: Vec<u8>,
    },
    /// Collects the notes for a duty on behalf of its holder.
    CollectNotes {
        /// The holder's session.
        session: SessionId,
        /// The duty.
        duty: String,
        /// The fence under which the session holds the duty.
        fence: u64,
    },
    /// Adds a voter by name and address. Replaces a voter with the same name.
    AddVoter(VoterEndpoint),
    /// Removes a voter by name.
    RemoveVoter(String),
}

/// A request as sent to a voter. The flag tells whether another voter has forwarded the request.
#[derive(Serialize, Deserialize)]
pub(super) struct RequestEnvelope(pub(super) GroupRequest, pub(super) bool);

/// The response of the group to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupResponse {
    /// The result of applying a command.
    Reply(Reply),
    /// The session was renewed.
    Renewed,
    /// The session has ended.
    SessionEnded,
    /// The request succeeded.
    Done,
    /// The collected notes, oldest first.
    Notes(Vec<Vec<u8>>),
    /// No leader or no quorum is reachable. The request may or may not have taken effect.
    Unavailable,
    /// The request is refused; contains the reason.
    Refused(String),
}

/// The view of the group that members receive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The revision of the state.
    pub revision: u64,
    /// The name of the leader known to the voter.
    pub leader: Option<String>,
    /// The Raft term known to the voter.
    pub term: u64,
    /// The number of open sessions.
    pub sessions: usize,
    /// The names of the voters.
    pub voters: Vec<String>,
    /// Duties by name: the fence, and the holder's session and process name.
    pub duties: BTreeMap<String, (u64, Option<(SessionId, String)>)>,
    /// Records by key: the duty, the fence and the value.
    pub records: BTreeMap<String, (String, u64, Vec<u8>)>,
    /// The names of processes with a planned absence.
    pub absent: Vec<String>,
}

/// A long poll for a view newer than the known revision.
#[derive(Serialize, Deserialize)]
pub struct WatchRequest {
    /// The revision that the member already has.
    pub known_revision: u64,
    /// Maximum time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// The identity of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterInfo {
    /// The incarnation of the voter.
    pub incarnation: Incarnation,
    /// The name of the voter.
    pub name: String,
    /// Whether the voter does not belong to a group yet.
    pub is_new: bool,
}

/// The timeouts of a group. All processes of a group must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// The time-to-live of a session.
    pub session_ttl: Duration,
    /// The interval between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Minimum and maximum election timeout. A follower that receives nothing from a leader for a random time in this
    /// range starts an election.
    pub election: (Duration, Duration),
}

impl Timeouts {
    /// Derives the timeouts from a session TTL such that an election finishes well before a session expires.
    pub fn from_session_ttl(session_ttl: Duration) -> Self {
        Self {
            session_ttl,
            heartbeat_interval: session_ttl / 30,
            election: (session_ttl / 6, session_ttl / 3),
        }
    }

    /// Returns the timing of Raft. A vote is binding for at least `election`, and the leader lease ends well before
    /// that, even if clocks drift.
    pub(super) fn raft_timing(&self) -> Timing {
        let ms = |time: Duration| (time.as_millis() as Millis).max(1);
        let lease = self.election.0.saturating_sub(drift_allowance(self.election.0) * 2);
        Timing { heartbeat: ms(self.heartbeat_interval), election: ms(self.election.0), lease: ms(lease) }
    }
}

/// The reason why a voter cannot run.
#[derive(Debug)]
pub enum VoterError {
    /// The voter's file cannot be used.
    Store(StoreError),
    /// The thread that writes to the disk cannot be started.
    Thread(io::Error),
    /// The state cannot be written.
    State,
}

impl fmt::Display for VoterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "{error}"),
            Self::Thread(error) => write!(f, "cannot start the disk writer thread: {error}"),
            Self::State => f.write_str("the state cannot be written"),
        }
    }
}

impl std::error::Error for VoterError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Store(error) => Some(error),
            Self::Thread(error) => Some(error),
            Self::State => None,
        }
    }
}
