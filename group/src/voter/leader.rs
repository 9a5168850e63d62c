//! Request handling on the leader, and expiry of sessions and absences.

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

/// Maximum number of notes (see [`GroupRequest`]) that the leader keeps per duty.
const MAX_NOTES_PER_DUTY: usize = 512;
/// Maximum size of a note.
const MAX_NOTE_BYTES: usize = 256;
/// A planned absence ends after this time if its process has not returned.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(60);

impl Voter {
    /// Renews a session if this voter confirms its leadership after the request arrived. A later leader gives the
    /// session a full TTL from a later moment, so a successful renewal remains valid.
    async fn renew_session(&self, session: SessionId) -> GroupResponse {
        if !self.confirm_leadership().await {
            return GroupResponse::Unavailable;
        }
        self.update_deadlines(self.leader_term());
        if !self.core.borrow().applied.state.sessions.contains_key(&session) {
            return GroupResponse::SessionEnded;
        }
        if self.session_deadlines.borrow_mut().renew(self.clock.now(), session) {
            GroupResponse::Renewed
        } else {
            GroupResponse::SessionEnded
        }
    }

    fn update_deadlines(&self, leader_term: Option<u64>) {
        let core = self.core.borrow();
        let sessions = core.applied.state.sessions.keys().copied();
        self.session_deadlines.borrow_mut().update(self.clock.now(), leader_term, sessions);
    }

    /// Expires sessions and planned absences while this voter leads.
    pub(super) async fn expire_sessions(self: Rc<Self>) {
        loop {
            sleep(
                (self.timeouts.session_ttl / 30).clamp(Duration::from_millis(10), Duration::from_millis(200)),
            )
            .await;
            self.update_deadlines(self.leader_term());
            let Some((term, expired)) = self.session_deadlines.borrow().expired(self.clock.now()) else {
                self.absence_first_seen.borrow_mut().clear();
                self.notes.borrow_mut().clear();
                continue;
            };
            let mut expirations: Vec<Command> =
                expired.into_iter().map(|session| Command::ExpireSession { session, term }).collect();
            {
                let (now, core) = (self.clock.now(), self.core.borrow());
                let mut first_seen = self.absence_first_seen.borrow_mut();
                first_seen.retain(|name, _| core.applied.state.absences.contains_key(name));
                for name in core.applied.state.absences.keys() {
                    let since = *first_seen.entry(name.clone()).or_insert(now);
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
            // The next round, or the next leader, repeats expirations that are not finished within the time limit.
            let _ = timeout(self.timeouts.session_ttl / 3, all_replies).await;
        }
    }

    /// Handles a request within a time well below the session TTL, except for a change of the voters. A follower
    /// forwards the request to the leader, unless the request was already forwarded.
    pub async fn handle_request(self: &Rc<Self>, request: GroupRequest, forwarded: bool) -> GroupResponse {
        let is_membership_change =
            matches!(request, GroupRequest::AddVoter(_) | GroupRequest::RemoveVoter(_));
        let time_limit =
            if is_membership_change { MEMBERSHIP_CHANGE_TIMEOUT } else { self.timeouts.session_ttl / 3 };
        if self.leader_term().is_some() {
            return timeout(time_limit, self.execute_request(request))
                .await
                .unwrap_or(GroupResponse::Unavailable);
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

    async fn execute_request(self: &Rc<Self>, request: GroupRequest) -> GroupResponse {
        match request {
            GroupRequest::RenewSession(session) => self.renew_session(session).await,
            GroupRequest::Propose(command) => {
                // A claim for a held duty is refused without a log entry, because the local state contains only
                // committed entries.
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

    /// Stores a note, and drops the oldest note if there are too many.
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
        // The voter has been added even if its address is not replicated: the other voters learn the address
        // from the new voter's messages.
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

    /// Requests a change of the voters until the change is committed. Returns `false` if this voter loses its
    /// leadership before that.
    async fn change_voters(self: &Rc<Self>, input: Input, done: impl Fn(&[VoterId]) -> bool) -> bool {
        let mut changes = self.applied_changes.subscribe();
        loop {
            self.handle_input(input.clone());
            // Check for the committed change first: a leader that has removed itself no longer leads.
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
