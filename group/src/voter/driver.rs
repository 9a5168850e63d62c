//! The log on a voter: what happened goes in, and what it says is done.

use super::messages::VoterError;
use super::{Voter, millis};
use crate::state_machine::{Command, Reply};
use crate::store::{Applied, StoreError};
use raft::{Entry, Input, Output, Snapshot, Writer, WriterEvent};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// Entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 2000;
/// The longest entry: no command that can be of use is longer, and what is in the log has to fit a call.
const LONGEST_ENTRY: usize = 64 * 1024;

/// The log on this voter, and what it makes.
pub(super) struct Core {
    pub(super) node: raft::Node,
    /// None once the disk has failed: the voter is silent from then on.
    pub(super) writer: Option<Writer>,
    /// Rises with each writer: what an older one still tells is not of this log.
    pub(super) writers: u64,
    pub(super) applied: Applied,
    pub(super) snapshot_at: u64,
    pub(super) tokens: u64,
    /// Who waits for what comes of an entry, by its token.
    pub(super) asked: HashMap<u64, oneshot::Sender<Reply>>,
    /// Where such an entry stands: its term and token by its index.
    pub(super) accepted: HashMap<u64, (u64, u64)>,
}

impl Core {
    fn committed(&mut self, entry: &Entry) {
        let reply = self.applied.apply(entry);
        if let Some((term, token)) = self.accepted.remove(&entry.index)
            && let Some(asker) = self.asked.remove(&token)
            && term == entry.term
        {
            let _ = asker.send(reply);
        }
    }

    /// A snapshot when one is due.
    fn compact(&mut self) -> Option<Input> {
        if self.applied.index < self.snapshot_at + SNAPSHOT_EVERY {
            return None;
        }
        self.snapshot_at = self.applied.index;
        let Snapshot { index, state, .. } = self.applied.to_snapshot()?;
        Some(Input::Compact { index, state })
    }
}

/// How a voter stands in its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Office {
    /// The term in which it leads, if it does.
    pub(super) leads: Option<u64>,
    /// Whether nobody else could when it last looked.
    pub(super) surely: bool,
}

impl Voter {
    /// From now on this voter's saves go there.
    pub(super) fn write_to(self: &Rc<Self>, disk: raft::store::Store) -> Result<(), VoterError> {
        let (told, mut tickets) = mpsc::unbounded_channel();
        let mut core = self.core.borrow_mut();
        let writer = Writer::start(disk, core.node.me().clone(), move |saved| drop(told.send(saved)))
            .map_err(VoterError::Thread)?;
        core.writers += 1;
        core.writer = Some(writer);
        let (voter, number) = (self.clone(), core.writers);
        tokio::task::spawn_local(async move {
            while let Some(saved) = tickets.recv().await {
                if voter.core.borrow().writers != number {
                    return;
                }
                match saved {
                    WriterEvent::Saved(ticket) => voter.feed(Input::Saved { ticket }),
                    WriterEvent::WriteFailed(error) => (voter.tell)(format!(
                        "group {}: voter {} votes and acknowledges nothing until its disk takes writes: {error}",
                        voter.group, voter.me.name
                    )),
                    WriterEvent::StoreLost(error) => voter.fall_silent(&error),
                }
            }
        });
        Ok(())
    }

    /// What cannot be written down cannot be promised: the others have to see that this voter is gone.
    pub(super) fn fall_silent(&self, why: &dyn fmt::Display) {
        {
            let mut core = self.core.borrow_mut();
            core.writer = None;
            core.asked.clear();
        }
        self.office.send_replace(Office::default());
        (self.tell)(format!("group {}: voter {} falls silent: {why}", self.group, self.me.name));
    }

    pub(super) fn is_silent(&self) -> bool {
        self.core.borrow().writer.is_none()
    }

    /// Hands the log what happened, and does what it says.
    pub(super) fn feed(self: &Rc<Self>, input: Input) {
        let mut next = Some(input);
        let mut news = false;
        while let Some(input) = next.take() {
            let mut core = self.core.borrow_mut();
            if core.writer.is_none() {
                return;
            }
            let mut outputs = Vec::new();
            core.node.handle(millis(&self.clock), input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Send { to, message } => self.post(to, &message),
                    Output::Save(save) => core.writer.iter().for_each(|writer| writer.save(save.clone())),
                    Output::Committed { entry } => {
                        core.committed(&entry);
                        news = true;
                    }
                    Output::Install { snapshot } => {
                        // A state that cannot be read is of another version of this program, which goes on leading.
                        let Some(applied) = Applied::from_snapshot(&snapshot) else {
                            drop(core);
                            return self.fall_silent(&StoreError::UnreadableState);
                        };
                        core.snapshot_at = applied.index;
                        core.applied = applied;
                        news = true;
                    }
                    Output::Accepted { token, index, term } => {
                        core.accepted.insert(index, (term, token));
                    }
                    Output::Refused { token, .. } | Output::OutcomeUnknown { token } => {
                        core.asked.remove(&token);
                    }
                    Output::Role(_) => {
                        if !core.node.is_leader() {
                            core.accepted.clear();
                        }
                    }
                }
            }
            next = core.compact();
        }
        self.look_up();
        if news {
            self.changed.send_modify(|changes| *changes += 1);
        }
    }

    /// Tells what waits for it how the voter stands now.
    fn look_up(&self) {
        let core = self.core.borrow();
        let office = Office {
            leads: core.node.is_leader().then(|| core.node.term()),
            surely: core.node.holds_lease(millis(&self.clock)),
        };
        let due = core.node.next_due();
        if due < self.due.replace(due) {
            self.sooner.notify_one();
        }
        self.office.send_if_modified(|known| std::mem::replace(known, office) != office);
    }

    /// Lets time pass for the log.
    pub(super) async fn look_after(self: Rc<Self>) {
        while !self.is_silent() {
            let left = self.due.get().saturating_sub(millis(&self.clock)).max(1);
            tokio::select! {
                () = sleep(Duration::from_millis(left)) => self.feed(Input::Tick),
                () = self.sooner.notified() => {}
            }
        }
    }

    /// Puts an entry into the log, and waits for what comes of it; none if that cannot be told.
    pub(super) async fn write(self: &Rc<Self>, command: &Command) -> Option<Reply> {
        self.propose(command)?.await.ok()
    }

    pub(super) fn propose(self: &Rc<Self>, command: &Command) -> Option<oneshot::Receiver<Reply>> {
        if self.is_silent() {
            return None;
        }
        let change = postcard::to_stdvec(command).ok()?;
        let (asker, answer) = oneshot::channel();
        if change.len() > LONGEST_ENTRY {
            let _ = asker.send(Reply::LimitExceeded);
            return Some(answer);
        }
        let token = {
            let mut core = self.core.borrow_mut();
            core.tokens += 1;
            let token = core.tokens;
            core.asked.insert(token, asker);
            token
        };
        self.feed(Input::Propose { token, change });
        Some(answer)
    }

    /// Waits until it is sure that at this moment nobody else leads. False if this voter does not.
    pub(super) async fn surely_leads(&self) -> bool {
        let mut office = self.office.subscribe();
        loop {
            // The one in the office is as old as the last thing that happened.
            let surely = {
                let core = self.core.borrow();
                core.writer.is_some() && core.node.holds_lease(millis(&self.clock))
            };
            if surely {
                return true;
            }
            if self.leads().is_none() || office.changed().await.is_err() {
                return false;
            }
        }
    }
}
