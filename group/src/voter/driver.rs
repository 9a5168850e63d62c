//! Drives the Raft node of a voter: passes inputs to the node and carries out its outputs.

use super::messages::VoterError;
use super::{Voter, millis};
use crate::state_machine::{Command, Reply};
use crate::store::{AppliedState, StoreError};
use raft::{Entry, Input, Output, Snapshot, Writer, WriterEvent};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// Number of entries between two snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 2000;
/// Maximum size of an encoded entry. No useful command is longer, and entries must fit into a call.
const MAX_ENTRY_BYTES: usize = 64 * 1024;

/// The Raft node of this voter and the state built from its log.
pub(super) struct Core {
    pub(super) node: raft::Node,
    /// The disk writer, or `None` once the disk has failed or the voter is halted for another reason.
    pub(super) writer: Option<Writer>,
    /// Increases with each new writer. Events of an older writer do not belong to the current log.
    pub(super) writer_generation: u64,
    pub(super) applied: AppliedState,
    /// Index of the last entry that the latest snapshot contains.
    pub(super) snapshot_index: u64,
    /// The token given to the latest proposal; tokens identify proposals on this voter.
    pub(super) last_token: u64,
    /// Callers waiting for the result of their proposal, by token.
    pub(super) waiters: HashMap<u64, oneshot::Sender<Reply>>,
    /// Accepted proposals by log index: term and token.
    pub(super) proposals: HashMap<u64, (u64, u64)>,
}

impl Core {
    fn apply_committed(&mut self, entry: &Entry) {
        let reply = self.applied.apply(entry);
        if let Some((term, token)) = self.proposals.remove(&entry.index)
            && let Some(responder) = self.waiters.remove(&token)
            && term == entry.term
        {
            let _ = responder.send(reply);
        }
    }

    /// Returns a compaction input if a snapshot is due.
    fn compact(&mut self) -> Option<Input> {
        if self.applied.index < self.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES {
            return None;
        }
        self.snapshot_index = self.applied.index;
        let Snapshot { index, state, .. } = self.applied.to_snapshot()?;
        Some(Input::Compact { index, state })
    }
}

/// The leadership of a voter as last published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Leadership {
    /// The term in which this voter leads, if it does.
    pub(super) leader_term: Option<u64>,
    /// Whether the leader lease was valid at the last update, so that no other voter could lead.
    pub(super) lease_valid: bool,
}

impl Voter {
    /// Starts a writer for `disk` and uses it for all further saves.
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
                        "group {}: voter {} neither votes nor acknowledges until its disk accepts writes: {error}",
                        voter.group, voter.endpoint.name
                    )),
                    WriterEvent::StoreLost(error) => voter.halt(&error),
                }
            }
        });
        Ok(())
    }

    /// Stops taking part in the group. A voter that cannot persist its votes and log entries must not vote or
    /// acknowledge, so it falls silent and the other voters treat it as failed.
    pub(super) fn halt(&self, reason: &dyn fmt::Display) {
        {
            let mut core = self.core.borrow_mut();
            core.writer = None;
            core.waiters.clear();
        }
        self.leadership.send_replace(Leadership::default());
        (self.log)(format!(
            "group {}: voter {} stops taking part in the group: {reason}",
            self.group, self.endpoint.name
        ));
    }

    pub(super) fn is_halted(&self) -> bool {
        self.core.borrow().writer.is_none()
    }

    /// Passes an input to the Raft node and carries out the resulting outputs.
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
                        core.apply_committed(&entry);
                        state_changed = true;
                    }
                    Output::Install { snapshot } => {
                        // A different program version wrote the snapshot. This voter stops; the other voters continue.
                        let Some(applied) = AppliedState::from_snapshot(&snapshot) else {
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

    /// Publishes the leadership and the time of the next Raft timer.
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

    /// Passes a tick to the Raft node whenever its timer is due.
    pub(super) async fn run_timer(self: Rc<Self>) {
        while !self.is_halted() {
            let wait_ms = self.next_due.get().saturating_sub(millis(&self.clock)).max(1);
            tokio::select! {
                () = sleep(Duration::from_millis(wait_ms)) => self.handle_input(Input::Tick),
                () = self.due_moved_earlier.notified() => {}
            }
        }
    }

    /// Proposes a command and waits for its result. Returns `None` if the outcome is unknown.
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

    /// Waits until the leader lease proves that no other voter leads at this moment. Returns `false` if this voter
    /// does not lead.
    pub(super) async fn confirm_leadership(&self) -> bool {
        let mut leadership = self.leadership.subscribe();
        loop {
            // The published lease is only as recent as the last input, so check the lease at the current time.
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
