//! What the leader says to the group's questions, and what it ends by itself.

use super::Voter;
use super::words::{Answer, Ask, Node, Passed, Who};
use crate::machine::{Command, Reply, SessionId};
use crate::member::CHANGE;
use crate::store::{name, voter};
use crate::wire::Kind;
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
    async fn renewed(&self, session: SessionId) -> Answer {
        if !self.surely_leads().await {
            return Answer::Nobody;
        }
        self.note(self.leads());
        if !self.core.borrow().applied.state.sessions.contains_key(&session) {
            return Answer::Gone;
        }
        if self.deadlines.borrow_mut().renewed(self.clock.now(), session) {
            Answer::Renewed
        } else {
            Answer::Gone
        }
    }

    fn note(&self, leads: Option<u64>) {
        let core = self.core.borrow();
        let sessions = core.applied.state.sessions.keys().copied();
        self.deadlines.borrow_mut().note(self.clock.now(), leads, sessions);
    }

    /// Ends what is over, while this voter leads.
    pub(super) async fn reckon(self: Rc<Self>) {
        loop {
            sleep((self.times.life / 30).clamp(Duration::from_millis(10), Duration::from_millis(200))).await;
            self.note(self.leads());
            let Some((term, over)) = self.deadlines.borrow().over(self.clock.now()) else {
                self.turns.borrow_mut().clear();
                self.notes.borrow_mut().clear();
                continue;
            };
            let mut ends: Vec<Command> =
                over.into_iter().map(|session| Command::Expire { session, term }).collect();
            {
                let (now, core) = (self.clock.now(), self.core.borrow());
                let mut turns = self.turns.borrow_mut();
                turns.retain(|name, _| core.applied.state.turns.contains_key(name));
                for name in core.applied.state.turns.keys() {
                    let since = *turns.entry(name.clone()).or_insert(now);
                    if now.saturating_sub(since) >= TURN {
                        ends.push(Command::Lapse { name: name.clone(), term });
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
            let _ = timeout(self.times.life / 3, all).await;
        }
    }

    /// What the group says to a question, within a time that is well inside a session's life.
    pub async fn ask(self: &Rc<Self>, ask: Ask, passed: bool) -> Answer {
        let change = matches!(ask, Ask::Add(_) | Ask::Remove(_));
        let within = if change { CHANGE } else { self.times.life / 3 };
        if self.leads().is_some() {
            return timeout(within, self.decide(ask)).await.unwrap_or(Answer::Nobody);
        }
        let leader = self.core.borrow().node.leader().filter(|leader| leader.incarnation != self.id).cloned();
        let way = leader.and_then(|leader| Some((leader.incarnation, self.way(name(&leader))?)));
        match way {
            Some((id, way)) if !passed => {
                let answer = way.call(Kind::Ask, id, &Passed(ask, true), within).await;
                answer.unwrap_or(Answer::Nobody)
            }
            _ => Answer::Nobody,
        }
    }

    async fn decide(self: &Rc<Self>, ask: Ask) -> Answer {
        match ask {
            Ask::Renew(session) => self.renewed(session).await,
            Ask::Do(command) => {
                // A duty that is held needs no entry to be refused: what is known here was committed.
                if let Command::Claim { session, duty } = &command
                    && let Some(held) = self.core.borrow().applied.state.duties.get(duty)
                    && held.holder.is_some_and(|holder| holder != *session)
                {
                    return Answer::Reply(Reply::NotHeld { holder: held.holder, fence: held.fence });
                }
                self.write(&command).await.map_or(Answer::Nobody, Answer::Reply)
            }
            Ask::Report { session, duty, note } => self.noted(session, duty, note),
            Ask::Collect { session, duty, fence } => {
                let held = self.core.borrow().applied.state.duties.get(&duty).cloned().unwrap_or_default();
                if held.holder != Some(session) || held.fence != fence {
                    return Answer::No(format!("{duty} is not held under fence {fence}"));
                }
                let notes = self.notes.borrow_mut().remove(&duty).unwrap_or_default();
                Answer::Notes(notes.into())
            }
            Ask::Add(node) => self.add(node).await,
            Ask::Remove(name) => self.remove(&name).await,
        }
    }

    /// Keeps a note; of too many the oldest go.
    fn noted(&self, session: SessionId, duty: String, note: Vec<u8>) -> Answer {
        let core = self.core.borrow();
        let state = &core.applied.state;
        let held = state.duties.get(&duty).is_some_and(|duty| duty.holder.is_some());
        if !state.sessions.contains_key(&session) {
            return Answer::Gone;
        }
        if !held || note.len() > LONGEST_NOTE {
            return Answer::No("nobody has that duty, or the note is too long".into());
        }
        let mut notes = self.notes.borrow_mut();
        let line = notes.entry(duty).or_default();
        if line.len() >= MOST_NOTES {
            line.pop_front();
        }
        line.push_back(note);
        Answer::Done
    }

    async fn add(self: &Rc<Self>, node: Node) -> Answer {
        let address = self.own.get(&node.name).unwrap_or(&node.address);
        let Some(way) = self.way_to(address) else { return Answer::No("no usable address".into()) };
        let who = match way.call::<_, Who>(Kind::Who, 0, &(), self.times.life / 6).await {
            Ok(who) if who.name == node.name => who,
            Ok(who) => return Answer::No(format!("{} listens there", who.name)),
            Err(error) => return Answer::No(format!("{}: {error}", node.address)),
        };
        self.hear_of(&node.name, node.address.clone());
        let new = voter(&self.group, &node.name, who.id);
        if !self.change(Input::AddVoter(new.clone()), |voters| voters.contains(&new)).await {
            return Answer::Nobody;
        }
        // It is in whether or not the others hear where: they have its word for that.
        match self.write(&Command::Place { name: node.name, address: node.address }).await {
            Some(Reply::Done) => Answer::Done,
            Some(_) => Answer::No("its address or its name is too long".into()),
            None => Answer::Nobody,
        }
    }

    async fn remove(self: &Rc<Self>, gone: &str) -> Answer {
        let voters = self.core.borrow().applied.voters.clone();
        let Some(old) = voters.iter().find(|voter| name(voter) == gone) else {
            return Answer::No(format!("{gone} is no voter"));
        };
        if voters.len() == 1 {
            return Answer::No("it is the last voter".into());
        }
        if self.change(Input::RemoveVoter(old.clone()), |voters| !voters.contains(old)).await {
            Answer::Done
        } else {
            Answer::Nobody
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
            let _ = timeout(self.times.beat, changed.changed()).await;
        }
    }
}
