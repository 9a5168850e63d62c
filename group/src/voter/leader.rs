//! What the leader says to the group's questions, and what it ends by itself.

use super::Voter;
use super::messages::{GroupRequest, GroupResponse, RequestEnvelope, VoterEndpoint, VoterInfo};
use crate::member::MEMBERSHIP_CHANGE_TIMEOUT;
use crate::state_machine::{Command, Reply, SessionId};
use crate::store::{voter_id, voter_name};
use crate::wire::CallKind;
use raft::{Input, VoterId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Notes kept for one duty, and the longest of them.
const MAX_NOTES_PER_DUTY: usize = 512;
const MAX_NOTE_BYTES: usize = 256;
/// A turn whose asker is not back after this is over.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(60);

impl Voter {
    /// A session goes on if this voter surely led after it was asked. Whoever leads later gives the session its whole
    /// life from a later moment.
    async fn renew_session(&self, session: SessionId) -> GroupResponse {
        if !self.confirm_leadership().await {
            return GroupResponse::Unavailable;
        }
        self.update_deadlines(self.leader_term());
        if !self.core.borrow().applied.state.sessions.contains_key(&session) {
            return GroupResponse::SessionEnded;
        }
        if self.deadlines.borrow_mut().renew(self.clock.now(), session) {
            GroupResponse::Renewed
        } else {
            GroupResponse::SessionEnded
        }
    }

    fn update_deadlines(&self, leader_term: Option<u64>) {
        let core = self.core.borrow();
        let sessions = core.applied.state.sessions.keys().copied();
        self.deadlines.borrow_mut().update(self.clock.now(), leader_term, sessions);
    }

    /// Ends what is over, while this voter leads.
    pub(super) async fn expire_sessions(self: Rc<Self>) {
        loop {
            sleep(
                (self.timeouts.session_ttl / 30).clamp(Duration::from_millis(10), Duration::from_millis(200)),
            )
            .await;
            self.update_deadlines(self.leader_term());
            let Some((term, expired)) = self.deadlines.borrow().expired(self.clock.now()) else {
                self.absences.borrow_mut().clear();
                self.notes.borrow_mut().clear();
                continue;
            };
            let mut expirations: Vec<Command> =
                expired.into_iter().map(|session| Command::ExpireSession { session, term }).collect();
            {
                let (now, core) = (self.clock.now(), self.core.borrow());
                let mut absences = self.absences.borrow_mut();
                absences.retain(|name, _| core.applied.state.absences.contains_key(name));
                for name in core.applied.state.absences.keys() {
                    let since = *absences.entry(name.clone()).or_insert(now);
                    if now.saturating_sub(since) >= ABSENCE_TIMEOUT {
                        expirations.push(Command::ExpireAbsence { name: name.clone(), term });
                    }
                }
            }
            let replies: Vec<_> = expirations.iter().filter_map(|command| self.propose(command)).collect();
            let all_replies = async {
                for reply in replies {
                    let _ = reply.await;
                }
            };
            // What is not done now is done with the next look, or by the next leader.
            let _ = timeout(self.timeouts.session_ttl / 3, all_replies).await;
        }
    }

    /// What the group says to a question, within a time that is well inside a session's life.
    pub async fn handle_request(self: &Rc<Self>, request: GroupRequest, forwarded: bool) -> GroupResponse {
        let is_membership_change =
            matches!(request, GroupRequest::AddVoter(_) | GroupRequest::RemoveVoter(_));
        let time_limit =
            if is_membership_change { MEMBERSHIP_CHANGE_TIMEOUT } else { self.timeouts.session_ttl / 3 };
        if self.leader_term().is_some() {
            return timeout(time_limit, self.decide(request)).await.unwrap_or(GroupResponse::Unavailable);
        }
        let leader =
            self.core.borrow().node.leader().filter(|leader| leader.incarnation != self.incarnation).cloned();
        let client =
            leader.and_then(|leader| Some((leader.incarnation, self.client_for(voter_name(&leader))?)));
        match client {
            Some((id, client)) if !forwarded => {
                let response =
                    client.call(CallKind::Request, id, &RequestEnvelope(request, true), time_limit).await;
                response.unwrap_or(GroupResponse::Unavailable)
            }
            _ => GroupResponse::Unavailable,
        }
    }

    async fn decide(self: &Rc<Self>, request: GroupRequest) -> GroupResponse {
        match request {
            GroupRequest::RenewSession(session) => self.renew_session(session).await,
            GroupRequest::Propose(command) => {
                // A duty that is held needs no entry to be refused: what is known here was committed.
                if let Command::ClaimDuty { session, duty } = &command
                    && let Some(duty_state) = self.core.borrow().applied.state.duties.get(duty)
                    && duty_state.holder.is_some_and(|holder| holder != *session)
                {
                    return GroupResponse::Reply(Reply::NotHeld {
                        holder: duty_state.holder,
                        fence: duty_state.fence,
                    });
                }
                self.propose_and_wait(&command).await.map_or(GroupResponse::Unavailable, GroupResponse::Reply)
            }
            GroupRequest::SendNote { session, duty, note } => self.store_note(session, duty, note),
            GroupRequest::CollectNotes { session, duty, fence } => {
                let duty_state =
                    self.core.borrow().applied.state.duties.get(&duty).cloned().unwrap_or_default();
                if duty_state.holder != Some(session) || duty_state.fence != fence {
                    return GroupResponse::Refused(format!("{duty} is not held under fence {fence}"));
                }
                let notes = self.notes.borrow_mut().remove(&duty).unwrap_or_default();
                GroupResponse::Notes(notes.into())
            }
            GroupRequest::AddVoter(endpoint) => self.add_voter(endpoint).await,
            GroupRequest::RemoveVoter(name) => self.remove_voter(&name).await,
        }
    }

    /// Keeps a note; of too many the oldest go.
    fn store_note(&self, session: SessionId, duty: String, note: Vec<u8>) -> GroupResponse {
        let core = self.core.borrow();
        let state = &core.applied.state;
        let is_held = state.duties.get(&duty).is_some_and(|duty| duty.holder.is_some());
        if !state.sessions.contains_key(&session) {
            return GroupResponse::SessionEnded;
        }
        if !is_held || note.len() > MAX_NOTE_BYTES {
            return GroupResponse::Refused("nobody has that duty, or the note is too long".into());
        }
        let mut notes = self.notes.borrow_mut();
        let queue = notes.entry(duty).or_default();
        if queue.len() >= MAX_NOTES_PER_DUTY {
            queue.pop_front();
        }
        queue.push_back(note);
        GroupResponse::Done
    }

    async fn add_voter(self: &Rc<Self>, endpoint: VoterEndpoint) -> GroupResponse {
        let address = self.configured_addresses.get(&endpoint.name).unwrap_or(&endpoint.address);
        let Some(client) = self.client_for_address(address) else {
            return GroupResponse::Refused("no usable address".into());
        };
        let info =
            match client.call::<_, VoterInfo>(CallKind::Info, 0, &(), self.timeouts.session_ttl / 6).await {
                Ok(info) if info.name == endpoint.name => info,
                Ok(info) => return GroupResponse::Refused(format!("{} listens there", info.name)),
                Err(error) => return GroupResponse::Refused(format!("{}: {error}", endpoint.address)),
            };
        self.learn_address(&endpoint.name, endpoint.address.clone());
        let added = voter_id(&self.group, &endpoint.name, info.incarnation);
        if !self.change_voters(Input::AddVoter(added.clone()), |voters| voters.contains(&added)).await {
            return GroupResponse::Unavailable;
        }
        // It is in whether or not the others hear where: they have its word for that.
        match self
            .propose_and_wait(&Command::SetVoterAddress { name: endpoint.name, address: endpoint.address })
            .await
        {
            Some(Reply::Done) => GroupResponse::Done,
            Some(_) => GroupResponse::Refused("its address or its name is too long".into()),
            None => GroupResponse::Unavailable,
        }
    }

    async fn remove_voter(self: &Rc<Self>, removed_name: &str) -> GroupResponse {
        let voters = self.core.borrow().applied.voters.clone();
        let Some(removed) = voters.iter().find(|voter| voter_name(voter) == removed_name) else {
            return GroupResponse::Refused(format!("{removed_name} is no voter"));
        };
        if voters.len() == 1 {
            return GroupResponse::Refused("it is the last voter".into());
        }
        if self.change_voters(Input::RemoveVoter(removed.clone()), |voters| !voters.contains(removed)).await {
            GroupResponse::Done
        } else {
            GroupResponse::Unavailable
        }
    }

    /// Asks for a change of the voters until it is committed. False if this voter leads no more before that.
    async fn change_voters(self: &Rc<Self>, input: Input, done: impl Fn(&[VoterId]) -> bool) -> bool {
        let mut changes = self.applied_changes.subscribe();
        loop {
            self.handle_input(input.clone());
            // One that has let itself go leads no more by then.
            if done(&self.core.borrow().applied.voters) {
                return true;
            }
            if self.leader_term().is_none() {
                return false;
            }
            let _ = timeout(self.timeouts.heartbeat_interval, changes.changed()).await;
        }
    }
}
