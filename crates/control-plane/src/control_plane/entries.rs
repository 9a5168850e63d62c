//! Handles the outputs of the Raft node and applies committed log entries.

use super::*;
use crate::admission::reply_to;
use crate::drain_entry::DrainEntry;

impl ControlPlane {
    pub(super) fn step_raft(&mut self, input: Input) {
        let now = self.now();
        let Some(node) = &mut self.node else { return };
        node.handle(now, input, &mut self.outputs);
        // Handling an output may produce another input for the Raft node. The outputs of that input are handled after
        // all earlier outputs. Otherwise a compaction caused by a committed entry would be written to disk before the
        // entry itself, and the entry would lie below the snapshot.
        if std::mem::replace(&mut self.handling_outputs, true) {
            return;
        }
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.on_output(output);
            }
        }
        self.handling_outputs = false;
    }

    pub(super) fn on_output(&mut self, output: Output) {
        // A process that failed to restore a snapshot has dropped its Raft node, and neither writes nor answers.
        if self.node.is_none() {
            return;
        }
        match output {
            Output::Send { to, message } => {
                let incarnation = self.node.as_ref().map_or(0, |node| node.me().incarnation);
                if let Ok(address) = to.address.parse()
                    && let Some(line) = self.line_to(&address)
                {
                    line.send(&Message::Log { incarnation, message: bitcode::encode(&message) });
                }
            }
            Output::Save(save) => {
                if let Some(disk) = &self.disk {
                    disk.save(save);
                }
            }
            Output::Committed { entry } => {
                let at = LogPosition { index: entry.index, epoch: entry.term };
                self.on_committed(at, entry.payload);
            }
            Output::Install { snapshot } => self.install_snapshot(&snapshot),
            Output::Accepted { token, index, .. } => {
                self.tokens_by_index.insert(index, token);
            }
            Output::Refused { token, .. } => {
                self.checkpoint_token.take_if(|pending| *pending == token);
                let refused = Reply::error(503, "this process does not lead");
                self.fail_drains(token, &refused);
                self.reply_to_proposal(token, refused);
            }
            Output::OutcomeUnknown { token } => {
                let unclear = Reply::error(503, "another process leads now: ask again");
                self.fail_drains(token, &unclear);
                self.reply_to_proposal(token, unclear);
            }
            Output::Role(role) => self.on_role(role),
        }
    }

    /// Replaces the state by the leader's snapshot. If this version cannot read the snapshot, the process stops
    /// taking part in the log and writes nothing of the snapshot. Otherwise the process would decide on changes, and
    /// might lead, with a state behind its log.
    fn install_snapshot(&mut self, snapshot: &Snapshot) {
        match SnapshotState::restore(&snapshot.state) {
            Ok(SnapshotState { config_history, drains }) => {
                self.config_changed |= config_history.version() > self.config_history.version();
                self.config_history = config_history;
                (self.changes_since_compaction, self.bytes_since_compaction) = (0.0, 0);
                let drained = self.register.restore_drains(&drains);
                self.publish_drained(drained);
            }
            Err(error) => {
                let (index, epoch) = (snapshot.index, snapshot.term);
                spdlog::error!(
                    "cannot read the leader's snapshot, this voter stops taking part in the log: {}", error,
                    kv: { step = "install", index, epoch });
                self.on_role(Role::Follower { term: epoch, leader: None });
                self.node = None;
            }
        }
    }

    pub(super) fn on_role(&mut self, role: Role) {
        let now = self.now();
        if let Role::Candidate { term } = role {
            self.event_log.on_candidacy(now, term);
        }
        if !matches!(role, Role::Leader { .. }) {
            self.resign_quota_holder(now);
            self.tokens_by_index.clear();
            self.checkpoint_token = None;
            self.abort_drains();
        }
    }

    pub(super) fn on_committed(&mut self, at: LogPosition, what: Payload) {
        let (now, index) = (self.now(), at.index);
        let change = match what {
            Payload::Change(change) => change,
            Payload::Members(voters) => {
                let list = voters.iter().map(|voter| voter.address.clone().into()).collect();
                return self.event_log.record(now, "voters", Recorded::Voters(list));
            }
            // The first entry of this leader's own term is committed. All entries of former leaders are applied, so
            // this process can become a quota holder.
            Payload::Noop if self.node.as_ref().is_some_and(|node| node.term() == at.epoch) => {
                return self.maintain_quota_service(now);
            }
            Payload::Noop => return,
        };
        self.bytes_since_compaction += change.len();
        if let Some(checkpoint) = QuotaCheckpoint::decode(&change) {
            return self.on_checkpoint(index, checkpoint.ok());
        }
        if let Some(entry) = DrainEntry::decode(&change) {
            self.on_drain_entry(index, entry.ok());
            return self.track_compaction(index, SMALL_ENTRY_WEIGHT);
        }
        let Ok(change) = Change::decode(&change) else { return };
        let version = change.version;
        let verdict = self.config_history.apply(at, change);
        self.event_log.on_verdict(now, version, verdict);
        self.config_changed |= verdict == Verdict::Accepted;
        if let Some(token) = self.tokens_by_index.remove(&index) {
            self.reply_to_proposal(token, reply_to(verdict));
        }
        self.track_compaction(index, 1.0);
    }

    /// Applies a committed quota checkpoint.
    fn on_checkpoint(&mut self, index: u64, checkpoint: Option<QuotaCheckpoint>) {
        if let Some(checkpoint) = checkpoint {
            self.config_history.apply_checkpoint(checkpoint);
        }
        let token = self.tokens_by_index.remove(&index);
        if token.is_some() && token == self.checkpoint_token.take_if(|pending| Some(*pending) == token) {
            self.quota_service.commit_floors();
        }
        self.track_compaction(index, SMALL_ENTRY_WEIGHT);
    }

    /// Counts an applied entry, with a weight relative to a change, and compacts the log when a limit is reached.
    fn track_compaction(&mut self, index: u64, weight: f64) {
        self.changes_since_compaction += weight;
        if self.changes_since_compaction >= COMPACT_AFTER_CHANGES
            || self.bytes_since_compaction >= COMPACT_AFTER_BYTES
        {
            (self.changes_since_compaction, self.bytes_since_compaction) = (0.0, 0);
            let state = SnapshotState::snapshot(&self.config_history, self.drains_for_snapshot());
            self.step_raft(Input::Compact { index, state });
        }
    }
}
