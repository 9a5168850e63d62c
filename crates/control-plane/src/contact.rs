//! Whether what a process tells is of this moment: the leader has said so after it was asked.
//!
//! Hearing from a leader proves nothing: heartbeats and news may have lain in a socket while this process was frozen or
//! while the link was held, and their sender may have lost its majority. So each process that does not lead asks the
//! leader for its read index (section 6.4 of Ongaro's dissertation on Raft, for a lease instead of one read): only a
//! leader that holds its lease answers, and the answer counts from when the question was sent, by the asker's steady
//! clock. No delay on the way can make it younger than it is.

use bitcode::{Decode, Encode};
use registry::DrainRun;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Milliseconds of the host's steady clock.
type Millis = u64;

/// An answer proves contact for so long after its question was sent.
pub(crate) const CONFIRMATION_TTL: Millis = 800;
/// While contact is proved, the leader is asked this often: three answers may be lost.
const CONFIRMED_QUERY_INTERVAL: Millis = 200;
/// ... and this often while it is not.
const QUERY_RETRY_INTERVAL: Millis = 50;
/// Of so many questions the answer still counts: more than are asked within the span.
const MAX_OUTSTANDING_QUERIES: usize = 32;

/// What such messages begin with: they travel where messages of the log do, and no message of the log begins so.
const MESSAGE_TAG: &[u8] = b"\xffcontact 1\n";

/// What the leader and those that ask it say.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum ContactMessage {
    /// How far is the leader?
    ReadIndexRequest {
        /// Chosen by the asker, each higher than the last.
        number: u64,
    },
    /// The answer of a leader that holds its lease.
    ReadIndexResponse {
        /// The question's number.
        number: u64,
        /// The leader's term.
        term: u64,
        /// Up to where its log is committed.
        commit: u64,
        /// The newest version that it has taken.
        version: u64,
    },
    /// The question of a process that says which records of backends that leave it has.
    DrainSyncRequest {
        /// Chosen by the asker, each higher than the last.
        number: u64,
        /// The number of the newest record of a backend that leaves, as the asker has them.
        drains: u64,
    },
    /// The answer to it.
    DrainSyncResponse {
        /// The question's number.
        number: u64,
        /// The leader's term.
        term: u64,
        /// Up to where its log is committed.
        commit: u64,
        /// The newest version that it has taken.
        version: u64,
        /// The number of its newest record of a backend that leaves.
        drains: u64,
        /// Records that the asker lacks, if it has no log; more of them follow its next question.
        missing: DrainRun,
    },
}

impl ContactMessage {
    /// The message as bytes.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = MESSAGE_TAG.to_vec();
        bytes.extend_from_slice(&bitcode::encode(self));
        bytes
    }

    /// Reads such a message; none for others.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        bitcode::decode(bytes.strip_prefix(MESSAGE_TAG)?).ok()
    }
}

/// What the newest answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Confirmation {
    /// Who leads.
    pub(crate) leader: SocketAddr,
    /// The leader's term.
    pub(crate) term: u64,
    /// Up to where its log was committed.
    pub(crate) commit: u64,
    /// The newest version that it had taken.
    pub(crate) version: u64,
    /// The number of its newest record of a backend that leaves; 0 if it did not say.
    pub(crate) drains: u64,
    /// When the question was sent.
    pub(crate) sent_at: Millis,
}

/// The questions of one process, and the newest answer.
#[derive(Debug, Default)]
pub(crate) struct LeaderContact {
    sent: VecDeque<(u64, Millis)>,
    last_queried: Option<SocketAddr>,
    newest: Option<Confirmation>,
}

impl LeaderContact {
    /// The number of a question for this leader, if one is due.
    pub(crate) fn next_query(&mut self, now: Millis, leader: SocketAddr) -> Option<u64> {
        let proved = self.newest(now).is_some_and(|newest| newest.leader == leader);
        let pause = if proved { CONFIRMED_QUERY_INTERVAL } else { QUERY_RETRY_INTERVAL };
        let last = self.sent.back().copied();
        let waits = last.is_some_and(|(_, at)| now < at + pause);
        if waits && self.last_queried == Some(leader) {
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

    /// An answer came from this process. It counts once, and from when its question was sent; whether it does.
    pub(crate) fn on_response(&mut self, leader: SocketAddr, answer: &ContactMessage) -> bool {
        let (number, term, commit, version, drains) = match answer {
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
        let newer = self.newest.is_none_or(|newest| (term, sent_at) > (newest.term, newest.sent_at));
        if newer {
            self.newest = Some(Confirmation { leader, term, commit, version, drains, sent_at });
        }
        newer
    }

    /// The newest answer, while it proves contact.
    pub(crate) fn newest(&self, now: Millis) -> Option<Confirmation> {
        self.newest.filter(|newest| now < newest.sent_at + CONFIRMATION_TTL)
    }
}
