//! What the group agrees on: sessions, duties with their fences, turns, and records written under fences. A pure
//! function of the log: it has no clock and no chance, so that every voter comes to the same state.
//!
//! Invariants: a duty has one holder at most, and that has a session; each grant of a duty has a higher fence than
//! every one before, also than those that members remember of a group that was lost; a record is written only under
//! its duty's present fence; turns are at most as many as was asked for, each of a different name.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of a session, drawn by who opens it.
pub type SessionId = u64;

/// Bounds of the state: sessions, duties, records and their bytes, letters of a name.
pub const MAX_SESSIONS: usize = 1000;
const MAX_DUTIES: usize = crate::lease::MAX_DUTIES;
const MAX_RECORDS: usize = 256;
const MAX_VALUE_BYTES: usize = 8 * 1024;
const MAX_NAME_BYTES: usize = 64;
const MAX_VOTER_ADDRESSES: usize = 64;

/// One process's presence in the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The process's name, the same after a restart.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The version of its program.
    pub version: String,
}

/// A duty that one session holds at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The fence of the last grant.
    pub fence: u64,
    /// Who holds it.
    pub holder: Option<SessionId>,
}

/// A value written under a duty's fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The duty.
    pub duty: String,
    /// The fence that it was written under.
    pub fence: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Raised with each change but that of a session alone.
    pub revision: u64,
    /// Who is there.
    pub sessions: BTreeMap<SessionId, Session>,
    /// The duties that were ever asked for.
    pub duties: BTreeMap<String, Duty>,
    /// What was written.
    pub records: BTreeMap<String, Record>,
    /// Who is away by leave: names, with the session that asked.
    pub absences: BTreeMap<String, SessionId>,
    /// Where voters listen, by name.
    pub voter_addresses: BTreeMap<String, String>,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A process comes. `seen` are the fences that it has seen, of whatever group.
    OpenSession {
        /// The number it drew.
        session: SessionId,
        /// Who it is.
        info: Session,
        /// Fences by duty.
        seen_fences: Vec<(String, u64)>,
    },
    /// A process goes, by its own word.
    CloseSession {
        /// Which session.
        session: SessionId,
    },
    /// The leader ends a session. Void in another term: whoever led in between may have renewed it.
    ExpireSession {
        /// Which session.
        session: SessionId,
        /// The leader's term.
        term: u64,
    },
    /// A session wants a duty.
    ClaimDuty {
        /// Who.
        session: SessionId,
        /// Which duty.
        duty: String,
    },
    /// A holder gives a duty up, or to another session at once.
    ReleaseDuty {
        /// Who.
        session: SessionId,
        /// Which duty.
        duty: String,
        /// The fence that it holds it under.
        fence: u64,
        /// To the process of this name; none, and it is free.
        to: Option<String>,
    },
    /// A holder writes a record.
    WriteRecord {
        /// Who.
        session: SessionId,
        /// For which duty.
        duty: String,
        /// Under which fence.
        fence: u64,
        /// The record's name.
        key: String,
        /// Its value.
        value: Vec<u8>,
    },
    /// A process wants to be away for a while, with at most so many others.
    RequestAbsence {
        /// Who.
        session: SessionId,
        /// The most that are away at once.
        max_absent: u32,
    },
    /// The time of a turn is over although its asker did not come back. Void in another term.
    ExpireAbsence {
        /// Whose.
        name: String,
        /// The leader's term.
        term: u64,
    },
    /// A voter listens there.
    SetVoterAddress {
        /// Its name.
        name: String,
        /// Its address.
        address: String,
    },
}

/// What came of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It was done.
    Done,
    /// The duty is held under this fence.
    Held(u64),
    /// Another one holds it, or nobody does.
    NotHeld {
        /// Who.
        holder: Option<SessionId>,
        /// The present fence.
        fence: u64,
    },
    /// There is no such session, or none of that name: it has ended, or never was.
    NoSession,
    /// So many are away already.
    AbsenceLimitReached(u32),
    /// A bound of the state is reached, or a name is too long.
    LimitExceeded,
}

impl State {
    /// Applies one entry of the log, committed in a term.
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

    /// Other processes are the voters now, by these names.
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
        // Who is back has no turn any more.
        if self.absences.get(&info.name).is_some_and(|requester| *requester != session) {
            self.absences.remove(&info.name);
            self.revision += 1;
        }
        // A group that lost its state goes on above what its members remember. Whoever holds a duty lower goes on
        // holding it, higher: it may still be acting, so nobody else can have it.
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
            // Asked again, because the first answer was lost.
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
