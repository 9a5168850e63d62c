//! The replicated state: sessions, duties with fencing tokens, planned absences, and records written under a fence.
//! The state is a pure function of the log, without clocks or randomness, so all voters compute the same state.
//!
//! A session registers one process in the group. A duty is a named role that at most one session holds at a time. The
//! fence of a duty is a fencing token that rises with every grant. A planned absence is, for example, a restart.
//!
//! Invariants:
//! - A duty has at most one holder, and the holder has an open session.
//! - Each grant of a duty has a higher fence than every earlier grant. This includes fences that members remember from
//!   a group whose state was lost.
//! - A record is written only under the current fence of its duty.
//! - The number of planned absences never exceeds the limit given in the request, and each absence has a distinct
//!   name.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The ID of a session, chosen at random by the process that opens the session.
pub type SessionId = u64;

/// Maximum number of open sessions.
pub const MAX_SESSIONS: usize = 1000;
/// Maximum number of duties in the replicated state.
const MAX_DUTIES: usize = crate::lease::MAX_DUTIES;
/// Maximum number of records in the replicated state.
const MAX_RECORDS: usize = 256;
/// Maximum length of a record's value.
const MAX_VALUE_BYTES: usize = 8 * 1024;
/// Maximum length of each name, zone, version, address and record key.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of voter addresses in the replicated state.
const MAX_VOTER_ADDRESSES: usize = 64;

/// The session of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The process name, which stays the same across restarts.
    pub name: String,
    /// The zone of the process.
    pub zone: String,
    /// The program version of the process.
    pub version: String,
}

/// A named role that at most one session holds at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The fence (fencing token) of the latest grant.
    pub fence: u64,
    /// The session that holds the duty.
    pub holder: Option<SessionId>,
}

/// A value written under the fence of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The duty that authorized the write.
    pub duty: String,
    /// The fence under which the record was written.
    pub fence: u64,
    /// The stored value.
    pub value: Vec<u8>,
}

/// The complete replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Increases with every change that a view shows, except a change of the session count alone.
    pub revision: u64,
    /// Open sessions by session ID.
    pub sessions: BTreeMap<SessionId, Session>,
    /// All duties that were ever claimed or reported by a member, by name.
    pub duties: BTreeMap<String, Duty>,
    /// Records by key.
    pub records: BTreeMap<String, Record>,
    /// Planned absences: the process name and the session that requested the absence.
    pub absences: BTreeMap<String, SessionId>,
    /// Listen addresses of voters, by voter name.
    pub voter_addresses: BTreeMap<String, String>,
}

/// A command in a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session. A process also reports the fences that it has seen, including fences of an earlier group whose
    /// state was lost.
    OpenSession {
        /// The session ID chosen by the process.
        session: SessionId,
        /// The name, zone and version of the process.
        info: Session,
        /// The highest fence that the process has seen for each duty.
        seen_fences: Vec<(String, u64)>,
    },
    /// Closes a session at the request of its process.
    CloseSession {
        /// The session to close.
        session: SessionId,
    },
    /// Expires a session by decision of the leader. The command has no effect when committed in another term, because
    /// a leader in between may have renewed the session.
    ExpireSession {
        /// The session to expire.
        session: SessionId,
        /// The term of the leader that proposed the expiry.
        term: u64,
    },
    /// Claims a duty for a session.
    ClaimDuty {
        /// The claiming session.
        session: SessionId,
        /// The claimed duty.
        duty: String,
    },
    /// Releases a duty, or transfers the duty directly to another session.
    ReleaseDuty {
        /// The holder's session.
        session: SessionId,
        /// The duty to release.
        duty: String,
        /// The fence under which the session holds the duty.
        fence: u64,
        /// The name of the process that receives the duty. `None` leaves the duty without a holder.
        to: Option<String>,
    },
    /// Writes a record under a held duty.
    WriteRecord {
        /// The holder's session.
        session: SessionId,
        /// The duty that authorizes the write.
        duty: String,
        /// The fence under which the session holds the duty.
        fence: u64,
        /// The key of the record.
        key: String,
        /// The value of the record.
        value: Vec<u8>,
    },
    /// Requests a planned absence, for example a restart. The request is refused while `max_absent` processes are
    /// absent.
    RequestAbsence {
        /// The requesting session.
        session: SessionId,
        /// The maximum number of processes that may be absent at the same time.
        max_absent: u32,
    },
    /// Ends a planned absence whose process did not return in time. The command has no effect when committed in
    /// another term.
    ExpireAbsence {
        /// The name of the absent process.
        name: String,
        /// The term of the leader that proposed the expiry.
        term: u64,
    },
    /// Records the listen address of a voter.
    SetVoterAddress {
        /// The name of the voter.
        name: String,
        /// The listen address of the voter.
        address: String,
    },
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command succeeded.
    Done,
    /// The session holds the duty under this fence.
    Held(u64),
    /// Another session holds the duty, the duty has no holder, or the fence is outdated.
    NotHeld {
        /// The current holder.
        holder: Option<SessionId>,
        /// The current fence.
        fence: u64,
    },
    /// The session, or a session of the named process, does not exist: it has ended or was never opened.
    NoSession,
    /// The limit on planned absences is reached; contains the number of absent processes.
    AbsenceLimitReached(u32),
    /// A limit of the state is reached, or a name or value is too long.
    LimitExceeded,
}

impl State {
    /// Applies a command that was committed in `term`.
    pub fn apply(&mut self, term: u64, command: &Command) -> Reply {
        match command {
            Command::OpenSession { session, info, seen_fences } => {
                self.open_session(*session, info, seen_fences)
            }
            Command::CloseSession { session } => self.end_session(*session),
            Command::ExpireSession { session, term: expected_term } if *expected_term == term => {
                self.end_session(*session)
            }
            Command::ExpireAbsence { name, term: expected_term } if *expected_term == term => {
                self.revision += u64::from(self.absences.remove(name).is_some());
                Reply::Done
            }
            Command::ExpireSession { .. } | Command::ExpireAbsence { .. } => Reply::Done,
            Command::ClaimDuty { session, duty } => self.claim_duty(*session, duty),
            Command::ReleaseDuty { session, duty, fence, to } => {
                self.release_duty(*session, duty, *fence, to.as_deref())
            }
            Command::WriteRecord { session, duty, fence, key, value } => {
                self.write_record(*session, duty, *fence, key, value)
            }
            Command::RequestAbsence { session, max_absent } => self.request_absence(*session, *max_absent),
            Command::SetVoterAddress { name, address } => self.set_voter_address(name, address),
        }
    }

    /// Drops the addresses of processes that are no longer voters. `names` lists the current voters.
    pub fn set_voters(&mut self, names: &[&str]) {
        self.voter_addresses.retain(|name, _| names.contains(&name.as_str()));
        self.revision += 1;
    }

    fn set_voter_address(&mut self, name: &str, address: &str) -> Reply {
        let full =
            self.voter_addresses.len() >= MAX_VOTER_ADDRESSES && !self.voter_addresses.contains_key(name);
        if full || name.len() > MAX_NAME_BYTES || address.len() > MAX_NAME_BYTES {
            return Reply::LimitExceeded;
        }
        self.voter_addresses.insert(name.to_owned(), address.to_owned());
        Reply::Done
    }

    fn open_session(&mut self, session: SessionId, info: &Session, seen_fences: &[(String, u64)]) -> Reply {
        let too_long = [&info.name, &info.zone, &info.version].iter().any(|text| text.len() > MAX_NAME_BYTES);
        let is_new = !self.sessions.contains_key(&session);
        if too_long || (is_new && self.sessions.len() >= MAX_SESSIONS) {
            return Reply::LimitExceeded;
        }
        self.sessions.insert(session, info.clone());
        // A process that opened a new session has returned from its planned absence.
        if self.absences.get(&info.name).is_some_and(|requester| *requester != session) {
            self.absences.remove(&info.name);
            self.revision += 1;
        }
        // A group that lost its state continues above the fences that its members remember. If a session holds the
        // duty under a lower fence, it keeps the duty under a higher one: the holder may still be acting, so no other
        // session may get the duty.
        for (duty, fence) in seen_fences {
            let full = self.duties.len() >= MAX_DUTIES && !self.duties.contains_key(duty);
            if full || duty.len() > MAX_NAME_BYTES {
                continue;
            }
            let duty_state = self.duties.entry(duty.clone()).or_default();
            if duty_state.fence < *fence {
                duty_state.fence = fence.saturating_add(u64::from(duty_state.holder.is_some()));
                self.revision += 1;
            }
        }
        Reply::Done
    }

    fn end_session(&mut self, session: SessionId) -> Reply {
        if self.sessions.remove(&session).is_none() {
            return Reply::NoSession;
        }
        for duty in self.duties.values_mut().filter(|duty| duty.holder == Some(session)) {
            duty.holder = None;
            self.revision += 1;
        }
        Reply::Done
    }

    fn claim_duty(&mut self, session: SessionId, name: &str) -> Reply {
        if !self.sessions.contains_key(&session) {
            return Reply::NoSession;
        }
        if name.len() > MAX_NAME_BYTES || (self.duties.len() >= MAX_DUTIES && !self.duties.contains_key(name))
        {
            return Reply::LimitExceeded;
        }
        let duty = self.duties.entry(name.to_owned()).or_default();
        match duty.holder {
            // The claim is a retry after a lost response.
            Some(holder) if holder == session => Reply::Held(duty.fence),
            Some(_) => Reply::NotHeld { holder: duty.holder, fence: duty.fence },
            None => {
                duty.fence += 1;
                duty.holder = Some(session);
                self.revision += 1;
                Reply::Held(duty.fence)
            }
        }
    }

    fn release_duty(&mut self, session: SessionId, name: &str, fence: u64, to: Option<&str>) -> Reply {
        let to = to.map(|to| self.sessions.iter().find(|(id, info)| info.name == to && **id != session));
        if to == Some(None) {
            return Reply::NoSession;
        }
        let to = to.flatten().map(|(id, _)| *id);
        let Some(duty) = self.duties.get_mut(name) else { return Reply::NotHeld { holder: None, fence: 0 } };
        if duty.holder != Some(session) || duty.fence != fence {
            return Reply::NotHeld { holder: duty.holder, fence: duty.fence };
        }
        duty.holder = to;
        duty.fence += u64::from(to.is_some());
        self.revision += 1;
        Reply::Done
    }

    fn write_record(&mut self, session: SessionId, name: &str, fence: u64, key: &str, value: &[u8]) -> Reply {
        let duty = self.duties.get(name).cloned().unwrap_or_default();
        if duty.holder != Some(session) || duty.fence != fence {
            return Reply::NotHeld { holder: duty.holder, fence: duty.fence };
        }
        let full = self.records.len() >= MAX_RECORDS && !self.records.contains_key(key);
        if full || value.len() > MAX_VALUE_BYTES || key.len() > MAX_NAME_BYTES {
            return Reply::LimitExceeded;
        }
        let record = Record { duty: name.to_owned(), fence, value: value.to_vec() };
        self.records.insert(key.to_owned(), record);
        self.revision += 1;
        Reply::Done
    }

    fn request_absence(&mut self, session: SessionId, max_absent: u32) -> Reply {
        let Some(info) = self.sessions.get(&session) else { return Reply::NoSession };
        let absent = self.absences.len() as u32;
        if self.absences.contains_key(&info.name) {
            return Reply::Done;
        }
        if absent >= max_absent {
            return Reply::AbsenceLimitReached(absent);
        }
        self.absences.insert(info.name.clone(), session);
        self.revision += 1;
        Reply::Done
    }
}
