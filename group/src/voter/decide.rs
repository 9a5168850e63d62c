//! What the leader says to the group's questions, and what it ends by itself.

use super::Voter;
use super::messages::{GroupRequest, GroupResponse, Passed, VoterEndpoint, VoterInfo};
use crate::member::MEMBERSHIP_CHANGE_TIMEOUT;
use crate::state_machine::{Command, Reply, SessionId};
use crate::store::{voter_id, voter_name};
use crate::wire::CallKind;
use raft::{Input, VoterId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Notes kept for one duty, and the longest of them.
const MOST_NOTES: usize = 512;
const LONGEST_NOTE: usize = 256;
/// A turn whose asker is not back after this is over.
const TURN: Duration = Duration::from_secs(60);

impl Voter {
    /// A session goes on if this voter surely led after it was asked. Whoever leads later gives the session its whole
    /// life from a later moment.
    async fn renewed(&self, session: SessionId) -> GroupResponse {
        if !self.surely_leads().await {
            return GroupResponse::Unavailable;
        }
        self.note(self.leads());
        if !self.core.borrow().applied.state.sessions.contains_key(&session) {
            return GroupResponse::SessionEnded;
        }
        if self.deadlines.borrow_mut().renew(self.clock.now(), session) {
            GroupResponse::Renewed
        } else {
            GroupResponse::SessionEnded
        }
    }

    fn note(&self, leads: Option<u64>) {
        let core = self.core.borrow();
        let sessions = core.applied.state.sessions.keys().copied();
        self.deadlines.borrow_mut().update(self.clock.now(), leads, sessions);
    }

    /// Ends what is over, while this voter leads.
    pub(super) async fn reckon(self: Rc<Self>) {
        loop {
            sleep((self.times.session_ttl / 30).clamp(Duration::from_millis(10), Duration::from_millis(200)))
                .await;
            self.note(self.leads());
            let Some((term, over)) = self.deadlines.borrow().expired(self.clock.now()) else {
                self.absences.borrow_mut().clear();
                self.notes.borrow_mut().clear();
                continue;
            };
            let mut ends: Vec<Command> =
                over.into_iter().map(|session| Command::ExpireSession { session, term }).collect();
            {
                let (now, core) = (self.clock.now(), self.core.borrow());
                let mut absences = self.absences.borrow_mut();
                absences.retain(|name, _| core.applied.state.absences.contains_key(name));
                for name in core.applied.state.absences.keys() {
                    let since = *absences.entry(name.clone()).or_insert(now);
                    if now.saturating_sub(since) >= TURN {
                        ends.push(Command::ExpireAbsence { name: name.clone(), term });
                    }
                }
            }
            let ends: Vec<_> = ends.iter().filter_map(|end| self.propose(end)).collect();
            let all = async {
                for end in ends {
                    let _ = end.await;
                }
            };
            // What is not done now is done with the next look, or by the next leader.
            let _ = timeout(self.times.session_ttl / 3, all).await;
        }
    }

    /// What the group says to a question, within a time that is well inside a session's life.
    pub async fn handle_request(self: &Rc<Self>, ask: GroupRequest, passed: bool) -> GroupResponse {
        let change = matches!(ask, GroupRequest::AddVoter(_) | GroupRequest::RemoveVoter(_));
        let within = if change { MEMBERSHIP_CHANGE_TIMEOUT } else { self.times.session_ttl / 3 };
        if self.leads().is_some() {
            return timeout(within, self.decide(ask)).await.unwrap_or(GroupResponse::Unavailable);
        }
        let leader = self.core.borrow().node.leader().filter(|leader| leader.incarnation != self.id).cloned();
        let way = leader.and_then(|leader| Some((leader.incarnation, self.way(voter_name(&leader))?)));
        match way {
            Some((id, way)) if !passed => {
                let answer = way.call(CallKind::Request, id, &Passed(ask, true), within).await;
                answer.unwrap_or(GroupResponse::Unavailable)
            }
            _ => GroupResponse::Unavailable,
        }
    }

    async fn decide(self: &Rc<Self>, ask: GroupRequest) -> GroupResponse {
        match ask {
            GroupRequest::RenewSession(session) => self.renewed(session).await,
            GroupRequest::Propose(command) => {
                // A duty that is held needs no entry to be refused: what is known here was committed.
                if let Command::ClaimDuty { session, duty } = &command
                    && let Some(held) = self.core.borrow().applied.state.duties.get(duty)
                    && held.holder.is_some_and(|holder| holder != *session)
                {
                    return GroupResponse::Reply(Reply::NotHeld { holder: held.holder, fence: held.fence });
                }
                self.write(&command).await.map_or(GroupResponse::Unavailable, GroupResponse::Reply)
            }
            GroupRequest::SendNote { session, duty, note } => self.noted(session, duty, note),
            GroupRequest::CollectNotes { session, duty, fence } => {
                let held = self.core.borrow().applied.state.duties.get(&duty).cloned().unwrap_or_default();
                if held.holder != Some(session) || held.fence != fence {
                    return GroupResponse::Refused(format!("{duty} is not held under fence {fence}"));
                }
                let notes = self.notes.borrow_mut().remove(&duty).unwrap_or_default();
                GroupResponse::Notes(notes.into())
            }
            GroupRequest::AddVoter(node) => self.add(node).await,
            GroupRequest::RemoveVoter(name) => self.remove(&name).await,
        }
    }

    /// Keeps a note; of too many the oldest go.
    fn noted(&self, session: SessionId, duty: String, note: Vec<u8>) -> GroupResponse {
        let core = self.core.borrow();
        let state = &core.applied.state;
        let held = state.duties.get(&duty).is_some_and(|duty| duty.holder.is_some());
        if !state.sessions.contains_key(&session) {
            return GroupResponse::SessionEnded;
        }
        if !held || note.len() > LONGEST_NOTE {
            return GroupResponse::Refused("nobody has that duty, or the note is too long".into());
        }
        let mut notes = self.notes.borrow_mut();
        let line = notes.entry(duty).or_default();
        if line.len() >= MOST_NOTES {
            line.pop_front();
        }
        line.push_back(note);
        GroupResponse::Done
    }

    async fn add(self: &Rc<Self>, node: VoterEndpoint) -> GroupResponse {
        let address = self.own.get(&node.name).unwrap_or(&node.address);
        let Some(way) = self.way_to(address) else {
            return GroupResponse::Refused("no usable address".into());
        };
        let who = match way.call::<_, VoterInfo>(CallKind::Info, 0, &(), self.times.session_ttl / 6).await {
            Ok(who) if who.name == node.name => who,
            Ok(who) => return GroupResponse::Refused(format!("{} listens there", who.name)),
            Err(error) => return GroupResponse::Refused(format!("{}: {error}", node.address)),
        };
        self.hear_of(&node.name, node.address.clone());
        let new = voter_id(&self.group, &node.name, who.incarnation);
        if !self.change(Input::AddVoter(new.clone()), |voters| voters.contains(&new)).await {
            return GroupResponse::Unavailable;
        }
        // It is in whether or not the others hear where: they have its word for that.
        match self.write(&Command::SetVoterAddress { name: node.name, address: node.address }).await {
            Some(Reply::Done) => GroupResponse::Done,
            Some(_) => GroupResponse::Refused("its address or its name is too long".into()),
            None => GroupResponse::Unavailable,
        }
    }

    async fn remove(self: &Rc<Self>, gone: &str) -> GroupResponse {
        let voters = self.core.borrow().applied.voters.clone();
        let Some(old) = voters.iter().find(|voter| voter_name(voter) == gone) else {
            return GroupResponse::Refused(format!("{gone} is no voter"));
        };
        if voters.len() == 1 {
            return GroupResponse::Refused("it is the last voter".into());
        }
        if self.change(Input::RemoveVoter(old.clone()), |voters| !voters.contains(old)).await {
            GroupResponse::Done
        } else {
            GroupResponse::Unavailable
        }
    }

    /// Asks for a change of the voters until it is committed. False if this voter leads no more before that.
    async fn change(self: &Rc<Self>, how: Input, done: impl Fn(&[VoterId]) -> bool) -> bool {
        let mut changed = self.changed.subscribe();
        loop {
            self.feed(how.clone());
            // One that has let itself go leads no more by then.
            if done(&self.core.borrow().applied.voters) {
                return true;
            }
            if self.leads().is_none() {
                return false;
            }
            let _ = timeout(self.times.heartbeat_interval, changed.changed()).await;
        }
    }
}
