//! What a voter, its group and its members say to one another.

use crate::lease::drift_allowance;
use crate::state_machine::{Command, Reply, SessionId};
use crate::store::{Incarnation, StoreError};
use raft::{Millis, Timing};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::time::Duration;

/// A voter as the others know it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterEndpoint {
    /// The process's name.
    pub name: String,
    /// Where it listens.
    pub address: String,
}

/// A question to the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum GroupRequest {
    /// An entry for the log.
    Propose(Command),
    /// A session goes on.
    RenewSession(SessionId),
    /// A note for whoever has a duty. It is kept by the leader alone, for a while, and may be lost.
    SendNote {
        /// Who says it.
        session: SessionId,
        /// For which duty's holder.
        duty: String,
        /// What.
        note: Vec<u8>,
    },
    /// The notes for a duty, to its holder.
    CollectNotes {
        /// Who has the duty.
        session: SessionId,
        /// The duty.
        duty: String,
        /// Under which fence.
        fence: u64,
    },
    /// A voter is taken in: its name and address. One of that name that is a voter already goes.
    AddVoter(VoterEndpoint),
    /// A voter is let go.
    RemoveVoter(String),
}

/// A question as it travels: whether it was passed on by a voter already.
#[derive(Serialize, Deserialize)]
pub(super) struct RequestEnvelope(pub(super) GroupRequest, pub(super) bool);

/// What the group says to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupResponse {
    /// What came of an entry.
    Reply(Reply),
    /// The session goes on.
    Renewed,
    /// The session has ended.
    SessionEnded,
    /// It was done.
    Done,
    /// Notes, the oldest first.
    Notes(Vec<Vec<u8>>),
    /// There is no leader, or no majority, within reach: it may have been done or not.
    Unavailable,
    /// It cannot be done.
    Refused(String),
}

/// What members are told of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Raised with each change.
    pub revision: u64,
    /// The leader's name, as the voter knows it.
    pub leader: Option<String>,
    /// The term of consensus.
    pub term: u64,
    /// How many sessions there are.
    pub sessions: usize,
    /// The voters' names.
    pub voters: Vec<String>,
    /// Duties with their fence, and the holder's session and name.
    pub duties: BTreeMap<String, (u64, Option<(SessionId, String)>)>,
    /// Records by name: the duty, the fence, the value.
    pub records: BTreeMap<String, (String, u64, Vec<u8>)>,
    /// The names of those away by leave.
    pub absent: Vec<String>,
}

/// Waiting for a view newer than this, for so many ms.
#[derive(Serialize, Deserialize)]
pub struct WatchRequest {
    /// The revision that is known.
    pub known_revision: u64,
    /// How long to wait.
    pub wait_ms: u64,
}

/// Who a voter is, as it answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterInfo {
    /// Its number.
    pub incarnation: Incarnation,
    /// Its name.
    pub name: String,
    /// Whether it belongs to no group yet.
    pub is_new: bool,
}

/// The times of a group. All of its processes hold the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// The life of a session.
    pub session_ttl: Duration,
    /// Between two words of the leader to the other voters.
    pub heartbeat_interval: Duration,
    /// A voter that has not heard of a leader for a time drawn between these stands for election.
    pub election: (Duration, Duration),
}

impl Timeouts {
    /// The usual ones for a life: an election is over well before a session is.
    pub fn from_session_ttl(session_ttl: Duration) -> Self {
        Self {
            session_ttl,
            heartbeat_interval: session_ttl / 30,
            election: (session_ttl / 6, session_ttl / 3),
        }
    }

    /// The log's: a vote binds for `election` at the least, and a lease ends well before, also by a clock that runs
    /// apart.
    pub(super) fn timing(&self) -> Timing {
        let ms = |time: Duration| (time.as_millis() as Millis).max(1);
        let lease = self.election.0.saturating_sub(drift_allowance(self.election.0) * 2);
        Timing { heartbeat: ms(self.heartbeat_interval), election: ms(self.election.0), lease: ms(lease) }
    }
}

/// A voter that cannot run.
#[derive(Debug)]
pub enum VoterError {
    /// Its disk.
    Store(StoreError),
    /// There is no thread for the disk.
    Thread(io::Error),
    /// The state cannot be written.
    State,
}

impl fmt::Display for VoterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "{error}"),
            Self::Thread(error) => write!(f, "no thread for the disk: {error}"),
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
