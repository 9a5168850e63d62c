//! Confirmation that the state of a process is current: the leader has responded to a query of this process.
//!
//! Receiving messages of a leader proves nothing: they may have waited in a socket while this process was frozen or
//! the link was blocked, and the sender may have lost its majority meanwhile. So each process that does not lead
//! queries the leader for its read index (section 6.4 of Ongaro's dissertation on Raft, here for a span of time
//! instead of one read). Only a leader that holds its lease responds, and the confirmation dates from when the query
//! was sent, by the monotonic clock of the querying process. No delay on the way makes a confirmation appear newer.
//!
//! A process without a Raft log also receives the leader's drain records with the response: the numbered ids of
//! backends that must receive no more requests (see [`registry::DrainTable`]).

use bitcode::{Decode, Encode};
use registry::DrainRun;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Milliseconds of the host's monotonic clock.
type Millis = u64;

/// How long a confirmation is valid after its query was sent.
pub(crate) const CONFIRMATION_TTL: Millis = 800;
/// Query interval while a confirmation is valid: three responses in a row may be lost.
const CONFIRMED_QUERY_INTERVAL: Millis = 200;
/// Query interval while no confirmation is valid.
const QUERY_RETRY_INTERVAL: Millis = 50;
/// Number of queries whose response is still accepted: more than are sent within [`CONFIRMATION_TTL`].
const MAX_OUTSTANDING_QUERIES: usize = 32;

/// Prefix of an encoded [`ContactMessage`], which is sent in the frame of a Raft message. No encoded Raft message
/// begins with this prefix.
const MESSAGE_TAG: &[u8] = b"\xffcontact 1\n";

/// Messages between the leader and the processes that query it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum ContactMessage {
    /// Query for the leader's progress.
    ReadIndexRequest {
        /// Chosen by the querying process, in ascending order.
        number: u64,
    },
    /// Response of a leader that holds its lease.
    ReadIndexResponse {
        /// Number of the query.
        number: u64,
        /// Term of the leader.
        term: u64,
        /// Commit index of the leader.
        commit: u64,
        /// Newest configuration version at the leader.
        version: u64,
    },
    /// Query of a process that also reports its newest drain record.
    DrainSyncRequest {
        /// Chosen by the querying process, in ascending order.
        number: u64,
        /// Number of the newest drain record of the querying process.
        drains: u64,
    },
    /// Response to [`ContactMessage::DrainSyncRequest`].
    DrainSyncResponse {
        /// Number of the query.
        number: u64,
        /// Term of the leader.
        term: u64,
        /// Commit index of the leader.
        commit: u64,
        /// Newest configuration version at the leader.
        version: u64,
        /// Number of the leader's newest drain record.
        drains: u64,
        /// Drain records that the querying process lacks, if it has no Raft log. Further ones follow the next query.
        missing: DrainRun,
    },
}

impl ContactMessage {
    /// Encodes the message.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = MESSAGE_TAG.to_vec();
        bytes.extend_from_slice(&bitcode::encode(self));
        bytes
    }

    /// Decodes a `ContactMessage`; `None` if the bytes are a Raft message.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        bitcode::decode(bytes.strip_prefix(MESSAGE_TAG)?).ok()
    }
}

/// Content of the newest response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Confirmation {
    /// The leader.
    pub(crate) leader: SocketAddr,
    /// Term of the leader.
    pub(crate) term: u64,
    /// Commit index of the leader.
    pub(crate) commit: u64,
    /// Newest configuration version at the leader.
    pub(crate) version: u64,
    /// Number of the leader's newest drain record; 0 if the response contained none.
    pub(crate) drains: u64,
    /// When the query was sent.
    pub(crate) sent_at: Millis,
}

/// The outstanding queries of one process, and the newest response.
#[derive(Debug, Default)]
pub(crate) struct LeaderContact {
    /// Number and send time of each outstanding query, oldest first.
    sent: VecDeque<(u64, Millis)>,
    /// The leader that received the last query.
    last_queried: Option<SocketAddr>,
    /// Content of the newest response.
    newest: Option<Confirmation>,
}

impl LeaderContact {
    /// The number of the next query to this leader, if one is due.
    pub(crate) fn next_query(&mut self, now: Millis, leader: SocketAddr) -> Option<u64> {
        let is_confirmed = self.newest(now).is_some_and(|newest| newest.leader == leader);
        let interval = if is_confirmed { CONFIRMED_QUERY_INTERVAL } else { QUERY_RETRY_INTERVAL };
        let last = self.sent.back().copied();
        let is_early = last.is_some_and(|(_, at)| now < at + interval);
        if is_early && self.last_queried == Some(leader) {
            return None;
        }
        let number = last.map_or(1, |(number, _)| number + 1);
        self.sent.push_back((number, now));
        self.last_queried = Some(leader);
        if self.sent.len() > MAX_OUTSTANDING_QUERIES {
            self.sent.pop_front();
        }
        Some(number)
    }

    /// Handles a response. Each response counts once, dated from when its query was sent. Returns whether it is the
    /// newest.
    pub(crate) fn on_response(&mut self, leader: SocketAddr, response: &ContactMessage) -> bool {
        let (number, term, commit, version, drains) = match response {
            ContactMessage::ReadIndexResponse { number, term, commit, version } => {
                (number, term, *commit, version, 0)
            }
            ContactMessage::DrainSyncResponse { number, term, commit, version, drains, .. } => {
                (number, term, *commit, version, *drains)
            }
            ContactMessage::ReadIndexRequest { .. } | ContactMessage::DrainSyncRequest { .. } => {
                return false;
            }
        };
        let Some((_, sent_at)) = self.sent.iter().find(|(sent, _)| sent == number).copied() else {
            return false;
        };
        let (term, version) = (*term, *version);
        let is_newer = self.newest.is_none_or(|newest| (term, sent_at) > (newest.term, newest.sent_at));
        if is_newer {
            self.newest = Some(Confirmation { leader, term, commit, version, drains, sent_at });
        }
        is_newer
    }

    /// The newest confirmation, while it is valid.
    pub(crate) fn newest(&self, now: Millis) -> Option<Confirmation> {
        self.newest.filter(|newest| now < newest.sent_at + CONFIRMATION_TTL)
    }
}
