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
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 2000;
/// The longest entry: no command that can be of use is longer, and what is in the log has to fit a call.
const MAX_ENTRY_BYTES: usize = 64 * 1024;

/// The log on this voter, and what it makes.
pub(super) struct Core {
    pub(super) node: raft::Node,
    /// None once the disk has failed: the voter is silent from then on.
    pub(super) writer: Option<Writer>,
    /// Rises with each writer: what an older one still tells is not of this log.
    pub(super) writer_generation: u64,
    pub(super) applied: Applied,
    pub(super) snapshot_index: u64,
    pub(super) last_token: u64,
    /// Who waits for what comes of an entry, by its token.
    pub(super) waiters: HashMap<u64, oneshot::Sender<Reply>>,
    /// Where such an entry stands: its term and token by its index.
    pub(super) proposals: HashMap<u64, (u64, u64)>,
}

impl Core {
    fn committed(&mut self, entry: &Entry) {
        let reply = self.applied.apply(entry);
        if let Some((term, token)) = self.proposals.remove(&entry.index)
            && let Some(responder) = self.waiters.remove(&token)
            && term == entry.term
        {
            let _ = responder.send(reply);
        }
    }

    /// A snapshot when one is due.
    fn compact(&mut self) -> Option<Input> {
        if self.applied.index < self.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES {
            return None;
        }
        self.snapshot_index = self.applied.index;
        let Snapshot { index, state, .. } = self.applied.to_snapshot()?;
        Some(Input::Compact { index, state })
    }
}

/// How a voter stands in its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Leadership {
    /// The term in which it leads, if it does.
    pub(super) leader_term: Option<u64>,
    /// Whether nobody else could when it last looked.
    pub(super) lease_valid: bool,
}

impl Voter {
    /// From now on this voter's saves go there.
    pub(super) fn attach_disk(self: &Rc<Self>, disk: raft::store::Store) -> Result<(), VoterError> {
        let (event_sender, mut events) = mpsc::unbounded_channel();
        let mut core = self.core.borrow_mut();
        let writer = Writer::start(disk, core.node.me().clone(), move |event| drop(event_sender.send(event)))
            .map_err(VoterError::Thread)?;
        core.writer_generation += 1;
        core.writer = Some(writer);
        let (voter, generation) = (self.clone(), core.writer_generation);
        tokio::task::spawn_local(async move {
            while let Some(event) = events.recv().await {
                if voter.core.borrow().writer_generation != generation {
                    return;
                }
                match event {
                    WriterEvent::Saved(ticket) => voter.handle_input(Input::Saved { ticket }),
                    WriterEvent::WriteFailed(error) => (voter.log)(format!(
                        "group {}: voter {} votes and acknowledges nothing until its disk takes writes: {error}",
                        voter.group, voter.endpoint.name
                    )),
                    WriterEvent::StoreLost(error) => voter.halt(&error),
                }
            }
        });
        Ok(())
    }

    /// What cannot be written down cannot be promised: the others have to see that this voter is gone.
    pub(super) fn halt(&self, reason: &dyn fmt::Display) {
        {
            let mut core = self.core.borrow_mut();
            core.writer = None;
            core.waiters.clear();
        }
        self.leadership.send_replace(Leadership::default());
        (self.log)(format!("group {}: voter {} falls silent: {reason}", self.group, self.endpoint.name));
    }

    pub(super) fn is_halted(&self) -> bool {
        self.core.borrow().writer.is_none()
    }

    /// Hands the log what happened, and does what it says.
    pub(super) fn handle_input(self: &Rc<Self>, input: Input) {
        let mut pending_input = Some(input);
        let mut state_changed = false;
        while let Some(input) = pending_input.take() {
            let mut core = self.core.borrow_mut();
            if core.writer.is_none() {
                return;
            }
            let mut outputs = Vec::new();
            core.node.handle(millis(&self.clock), input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Send { to, message } => self.queue_message(to, &message),
                    Output::Save(save) => core.writer.iter().for_each(|writer| writer.save(save.clone())),
                    Output::Committed { entry } => {
                        core.committed(&entry);
                        state_changed = true;
                    }
                    Output::Install { snapshot } => {
                        // A state that cannot be read is of another version of this program, which goes on leading.
                        let Some(applied) = Applied::from_snapshot(&snapshot) else {
                            drop(core);
                            return self.halt(&StoreError::UnreadableState);
                        };
                        core.snapshot_index = applied.index;
                        core.applied = applied;
                        state_changed = true;
                    }
                    Output::Accepted { token, index, term } => {
                        core.proposals.insert(index, (term, token));
                    }
                    Output::Refused { token, .. } | Output::OutcomeUnknown { token } => {
                        core.waiters.remove(&token);
                    }
                    Output::Role(_) => {
                        if !core.node.is_leader() {
                            core.proposals.clear();
                        }
                    }
                }
            }
            pending_input = core.compact();
        }
        self.publish_leadership();
        if state_changed {
            self.applied_changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Tells what waits for it how the voter stands now.
    fn publish_leadership(&self) {
        let core = self.core.borrow();
        let leadership = Leadership {
            leader_term: core.node.is_leader().then(|| core.node.term()),
            lease_valid: core.node.holds_lease(millis(&self.clock)),
        };
        let next_due = core.node.next_due();
        if next_due < self.next_due.replace(next_due) {
            self.due_moved_earlier.notify_one();
        }
        self.leadership.send_if_modified(|current| std::mem::replace(current, leadership) != leadership);
    }

    /// Lets time pass for the log.
    pub(super) async fn run_timer(self: Rc<Self>) {
        while !self.is_halted() {
            let wait_ms = self.next_due.get().saturating_sub(millis(&self.clock)).max(1);
            tokio::select! {
                () = sleep(Duration::from_millis(wait_ms)) => self.handle_input(Input::Tick),
                () = self.due_moved_earlier.notified() => {}
            }
        }
    }

    /// Puts an entry into the log, and waits for what comes of it; none if that cannot be told.
    pub(super) async fn propose_and_wait(self: &Rc<Self>, command: &Command) -> Option<Reply> {
        self.propose(command)?.await.ok()
    }

    pub(super) fn propose(self: &Rc<Self>, command: &Command) -> Option<oneshot::Receiver<Reply>> {
        if self.is_halted() {
            return None;
        }
        let change = postcard::to_stdvec(command).ok()?;
        let (responder, response) = oneshot::channel();
        if change.len() > MAX_ENTRY_BYTES {
            let _ = responder.send(Reply::LimitExceeded);
            return Some(response);
        }
        let token = {
            let mut core = self.core.borrow_mut();
            core.last_token += 1;
            let token = core.last_token;
            core.waiters.insert(token, responder);
            token
        };
        self.handle_input(Input::Propose { token, change });
        Some(response)
    }

    /// Waits until it is sure that at this moment nobody else leads. False if this voter does not.
    pub(super) async fn confirm_leadership(&self) -> bool {
        let mut leadership = self.leadership.subscribe();
        loop {
            // The one in the office is as old as the last thing that happened.
            let lease_valid = {
                let core = self.core.borrow();
                core.writer.is_some() && core.node.holds_lease(millis(&self.clock))
            };
            if lease_valid {
                return true;
            }
            if self.leader_term().is_none() || leadership.changed().await.is_err() {
                return false;
            }
        }
    }
}
