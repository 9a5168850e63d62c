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
pub(crate) const CONTACT_SPAN: Millis = 800;
/// While contact is proved, the leader is asked this often: three answers may be lost.
const ASK_EVERY: Millis = 200;
/// ... and this often while it is not.
const ASK_AGAIN: Millis = 50;
/// Of so many questions the answer still counts: more than are asked within the span.
const QUESTIONS: usize = 32;

/// What such messages begin with: they travel where messages of the log do, and no message of the log begins so.
const MARK: &[u8] = b"\xffcontact 1\n";

/// What the leader and those that ask it say.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum ContactMessage {
    /// How far is the leader?
    Question {
        /// Chosen by the asker, each higher than the last.
        number: u64,
    },
    /// The answer of a leader that holds its lease.
    Answer {
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
    RecordsQuestion {
        /// Chosen by the asker, each higher than the last.
        number: u64,
        /// The number of the newest record of a backend that leaves, as the asker has them.
        drains: u64,
    },
    /// The answer to it.
    RecordsAnswer {
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
        let mut bytes = MARK.to_vec();
        bytes.extend_from_slice(&bitcode::encode(self));
        bytes
    }

    /// Reads such a message; none for others.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        bitcode::decode(bytes.strip_prefix(MARK)?).ok()
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
    pub(crate) asked_at: Millis,
}

/// The questions of one process, and the newest answer.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    asked: VecDeque<(u64, Millis)>,
    last_asked: Option<SocketAddr>,
    newest: Option<Confirmation>,
}

impl Contact {
    /// The number of a question for this leader, if one is due.
    pub(crate) fn question(&mut self, now: Millis, leader: SocketAddr) -> Option<u64> {
        let proved = self.newest(now).is_some_and(|newest| newest.leader == leader);
        let pause = if proved { ASK_EVERY } else { ASK_AGAIN };
        let last = self.asked.back().copied();
        let waits = last.is_some_and(|(_, at)| now < at + pause);
        if waits && self.last_asked == Some(leader) {
            return None;
        }
        let number = last.map_or(1, |(number, _)| number + 1);
        self.asked.push_back((number, now));
        self.last_asked = Some(leader);
        if self.asked.len() > QUESTIONS {
            self.asked.pop_front();
        }
        Some(number)
    }

    /// An answer came from this process. It counts once, and from when its question was sent; whether it does.
    pub(crate) fn answered(&mut self, leader: SocketAddr, answer: &ContactMessage) -> bool {
        let (number, term, commit, version, drains) = match answer {
            ContactMessage::Answer { number, term, commit, version } => (number, term, *commit, version, 0),
            ContactMessage::RecordsAnswer { number, term, commit, version, drains, .. } => {
                (number, term, *commit, version, *drains)
            }
            ContactMessage::Question { .. } | ContactMessage::RecordsQuestion { .. } => return false,
        };
        let Some((_, asked_at)) = self.asked.iter().find(|(asked, _)| asked == number).copied() else {
            return false;
        };
        let (term, version) = (*term, *version);
        let newer = self.newest.is_none_or(|newest| (term, asked_at) > (newest.term, newest.asked_at));
        if newer {
            self.newest = Some(Confirmation { leader, term, commit, version, drains, asked_at });
        }
        newer
    }

    /// The newest answer, while it proves contact.
    pub(crate) fn newest(&self, now: Millis) -> Option<Confirmation> {
        self.newest.filter(|newest| now < newest.asked_at + CONTACT_SPAN)
    }
}
