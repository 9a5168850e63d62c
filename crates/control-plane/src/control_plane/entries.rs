//! The log at work: what its state machine asks for, and what its entries change.

use super::*;
use crate::admission::reply_to;
use crate::drain_entry::DrainEntry;

impl ControlPlane {
    pub(super) fn log(&mut self, input: Input) {
        let now = self.now();
        let Some(node) = &mut self.node else { return };
        node.handle(now, input, &mut self.outputs);
        // What an output asks of the log takes its turn behind all outputs before it. Otherwise a compaction that a
        // committed entry causes would be on disk before that entry, which would then stand below the snapshot.
        if std::mem::replace(&mut self.handles_outputs, true) {
            return;
        }
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.on_output(output);
            }
        }
        self.handles_outputs = false;
    }

    pub(super) fn on_output(&mut self, output: Output) {
        // A process that has fallen silent neither writes nor answers.
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
                let at = Place { index: entry.index, epoch: entry.term };
                self.on_committed(at, entry.what);
            }
            Output::Install { snapshot } => self.install(&snapshot),
            Output::Accepted { token, index, .. } => {
                self.accepted.insert(index, token);
            }
            Output::Refused { token, .. } => {
                self.marking.take_if(|marking| *marking == token);
                let refused = Reply::why(503, "this process does not lead");
                self.drains_undecided(token, &refused);
                self.answer_proposed(token, refused);
            }
            Output::Unclear { token } => {
                let unclear = Reply::why(503, "another process leads now: ask again");
                self.drains_undecided(token, &unclear);
                self.answer_proposed(token, unclear);
            }
            Output::Role(role) => self.on_role(role),
        }
    }

    /// Takes over the leader's state. If it can't be read, this process takes no part in the log any more, and writes
    /// nothing of it: it would judge changes, and lead, by a state that is behind its log.
    fn install(&mut self, snapshot: &Snapshot) {
        match State::restore(&snapshot.state) {
            Ok(State { config_history, drains }) => {
                self.changed |= config_history.version() > self.config_history.version();
                self.config_history = config_history;
                (self.changes, self.change_bytes) = (0.0, 0);
                let drained = self.register.restore_drains(&drains);
                self.tell_drained(drained);
            }
            Err(error) => {
                let (index, epoch) = (snapshot.index, snapshot.term);
                spdlog::error!(
                    "the leader's snapshot is of no version known here, and this voter falls silent: {}", error,
                    kv: { step = "install", index, epoch });
                self.on_role(Role::Follower { term: epoch, leader: None });
                self.node = None;
            }
        }
    }

    pub(super) fn on_role(&mut self, role: Role) {
        let now = self.now();
        if let Role::Candidate { term } = role {
            self.watch.candidate(now, term);
        }
        if !matches!(role, Role::Leader { .. }) {
            self.resign(now);
            self.accepted.clear();
            self.marking = None;
            self.give_up_drains();
        }
    }

    pub(super) fn on_committed(&mut self, at: Place, what: What) {
        let (now, index) = (self.now(), at.index);
        let change = match what {
            What::Change(change) => change,
            What::Members(voters) => {
                let list = voters.iter().map(|voter| voter.address.clone().into()).collect();
                return self.watch.note(now, "voters", Happened::Voters(list));
            }
            // The first entry of this leader: all that others left in the log has been taken in, so that the counts can
            // be held from here on.
            What::Nothing if self.node.as_ref().is_some_and(|node| node.term() == at.epoch) => {
                return self.tend_quota_service(now);
            }
            What::Nothing => return,
        };
        self.change_bytes += change.len();
        if let Some(marks) = Marks::read(&change) {
            return self.on_marks(index, marks.ok());
        }
        if let Some(entry) = DrainEntry::read(&change) {
            self.on_drain_entry(index, entry.ok());
            return self.written(index, MARKS_WEIGH);
        }
        let Ok(change) = Change::read(&change) else { return };
        let version = change.version;
        let verdict = self.config_history.apply(at, change);
        self.watch.change(now, version, verdict);
        self.changed |= verdict == Verdict::Taken;
        if let Some(token) = self.accepted.remove(&index) {
            self.answer_proposed(token, reply_to(verdict));
        }
        self.written(index, 1.0);
    }

    /// Marks are decided.
    fn on_marks(&mut self, index: u64, marks: Option<Marks>) {
        if let Some(marks) = marks {
            self.config_history.mark(marks);
        }
        let token = self.accepted.remove(&index);
        if token.is_some() && token == self.marking.take_if(|marking| Some(*marking) == token) {
            self.quota_service.commit_floors();
        }
        self.written(index, MARKS_WEIGH);
    }

    /// Another entry is in the log, which weighs so much of a change.
    fn written(&mut self, index: u64, weight: f64) {
        self.changes += weight;
        if self.changes >= COMPACT_AFTER || self.change_bytes >= COMPACT_BYTES {
            (self.changes, self.change_bytes) = (0.0, 0);
            let state = State::snapshot(&self.config_history, self.drains_for_snapshot());
            self.log(Input::Compact { index, state });
        }
    }
}
