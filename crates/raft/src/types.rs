//! Inputs, outputs, messages and persistent data of the state machine.

use bitcode::{Decode, Encode};

/// A point in time of the host's monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;

/// Identifies a voter by its peer address and an incarnation, which is drawn at random when the voter starts with an
/// empty disk (0 for founding voters).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct VoterId {
    /// The address on which peers reach the voter.
    pub address: String,
    /// A node that returns with an empty disk gets another incarnation, because it no longer knows its votes and
    /// acknowledgements.
    pub incarnation: u64,
}

impl std::fmt::Display for VoterId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{:x}", self.address, self.incarnation)
    }
}

/// Timing parameters, the same on all voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct Timing {
    /// The interval between heartbeats of a leader.
    pub heartbeat: Millis,
    /// The minimum election timeout. The actual timeout is drawn at random between this value and twice this value.
    pub election: Millis,
    /// The duration of the leader lease, from the sending of a heartbeat that a majority has answered. Shorter
    /// than `election` by more than the clocks of two machines can drift apart during `election`.
    pub lease: Millis,
}

/// The state on disk when a node starts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct PersistentState {
    /// The identity of this node.
    pub me: VoterId,
    /// The highest term seen.
    pub term: u64,
    /// The candidate that this node voted for in that term.
    pub vote: Option<VoterId>,
    /// The snapshot that replaces all entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The founding voters; empty for a node that joins an existing cluster.
    pub founders: Vec<VoterId>,
}

/// Replaces all log entries up to an index.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub struct Snapshot {
    /// The index of the last entry that the snapshot covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members as of that entry.
    pub members: Vec<VoterId>,
    /// The state of the host's state machine, opaque to this crate.
    pub state: Vec<u8>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub struct Entry {
    /// The index in the log, counted from 1 without gaps.
    pub index: u64,
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// The payload.
    pub payload: Payload,
}

/// The payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub enum Payload {
    /// The first entry of a new leader. Committing it commits the entries of earlier terms.
    Noop,
    /// A command for the host's state machine, opaque to this crate.
    Change(Vec<u8>),
    /// The list of voters from this entry on. A node uses the list as soon as the entry is in its log.
    Members(Vec<VoterId>),
}

impl Payload {
    pub(crate) fn size(&self) -> usize {
        match self {
            Payload::Noop => 16,
            Payload::Change(bytes) => 16 + bytes.len(),
            Payload::Members(list) => 16 + list.iter().map(|voter| voter.address.len() + 16).sum::<usize>(),
        }
    }
}

/// The kind of payload that a chunked transfer carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub enum TransferKind {
    /// A snapshot.
    Snapshot,
    /// One entry of the log.
    Entry,
}

/// Identifies a chunked transfer, so that a receiver never assembles chunks of different transfers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub struct TransferId {
    /// The kind of payload.
    pub kind: TransferKind,
    /// The index of the last entry that the payload covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The length of the payload in bytes.
    pub length: u64,
    /// The checksum of the payload.
    pub checksum: u64,
}

impl TransferId {
    /// Whether the transfer carries the single entry that directly follows `prev_index`.
    pub(crate) fn directly_follows(&self, prev_index: u64) -> bool {
        self.kind == TransferKind::Entry && prev_index.checked_add(1) == Some(self.index)
    }
}

/// A message between nodes. The previous release knows the variants up to `AppendRejected` and ignores messages of
/// later variants. Add new variants at the end: `bitcode` encodes a variant by its position.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in `term`. Changes neither the vote nor the term of the
    /// receiver.
    PreVote {
        /// The number of the sender's pre-vote round.
        round: u64,
        /// The term in which the sender would be a candidate.
        term: u64,
        /// The index of the sender's last log entry.
        last_index: u64,
        /// The term of the sender's last log entry.
        last_term: u64,
    },
    /// The response to `PreVote`.
    PreVoteAnswer {
        /// The round that the message answers.
        round: u64,
        /// The responder's term.
        term: u64,
        /// Whether the responder would grant its vote.
        granted: bool,
    },
    /// Requests a vote in an election.
    RequestVote {
        /// The term of the election.
        term: u64,
        /// The index of the sender's last log entry.
        last_index: u64,
        /// The term of the sender's last log entry.
        last_term: u64,
    },
    /// The response to `RequestVote`, sent once the vote is on disk.
    VoteAnswer {
        /// The responder's term.
        term: u64,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Announces that the leader is alive.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// The number of the heartbeat, returned in the response. The leader records when it sent each number.
        echo: u64,
        /// The commit index of the leader.
        commit: u64,
    },
    /// The response to `Heartbeat`.
    HeartbeatAnswer {
        /// The responder's term.
        term: u64,
        /// The number of the heartbeat that the message answers.
        echo: u64,
        /// The highest index up to which the responder's disk is known to match the leader's log. Compensates for
        /// lost responses to `Append`.
        matched: u64,
    },
    /// Replicates log entries.
    Append {
        /// The leader's term.
        term: u64,
        /// The index of the entry before the first one in `entries`.
        prev_index: u64,
        /// The term of the entry at `prev_index`.
        prev_term: u64,
        /// Consecutive entries. An empty list probes whether the logs match at `prev_index`.
        entries: Vec<Entry>,
        /// The commit index of the leader.
        commit: u64,
    },
    /// Sends a snapshot in place of entries that the leader has compacted.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The snapshot that covers the missing entries.
        snapshot: Snapshot,
    },
    /// The log up to `index` matches the leader's log and is on disk.
    AppendAccepted {
        /// The responder's term.
        term: u64,
        /// The highest matching index.
        index: u64,
    },
    /// The entry at `prev_index` does not match, or the leader's term is outdated.
    AppendRejected {
        /// The responder's term.
        term: u64,
        /// The `prev_index` of the rejected message.
        prev_index: u64,
        /// The highest index at which the logs may still match.
        hint: u64,
    },
    /// One chunk of a snapshot or an entry that is too long for a single message.
    Chunk {
        /// The leader's term.
        term: u64,
        /// The transfer to which the chunk belongs.
        transfer: TransferId,
        /// The offset of the chunk in the payload, in bytes.
        offset: u64,
        /// The bytes of the chunk.
        bytes: Vec<u8>,
    },
    /// The response to `Chunk`. Not a durability guarantee: the receiver keeps chunks in memory only.
    ChunkReceived {
        /// The responder's term.
        term: u64,
        /// The transfer to which the chunk belongs.
        transfer: TransferId,
        /// The offset of the chunk that the message answers.
        offset: u64,
        /// The number of contiguous payload bytes received, counted from the start.
        received: u64,
    },
    /// The leader has stepped down in favor of the receiver, which starts an election at once.
    TimeoutNow {
        /// The term in which the sender was the leader.
        term: u64,
    },
    /// Requests a vote in an election that follows a leadership transfer. The leader of the previous term has stepped
    /// down, so its lease no longer holds and voters need not wait for the election timeout.
    RequestVoteAfterTransfer {
        /// The term of the election.
        term: u64,
        /// The index of the sender's last log entry.
        last_index: u64,
        /// The term of the sender's last log entry.
        last_term: u64,
    },
}

impl Message {
    pub(crate) fn term(&self) -> u64 {
        match self {
            Message::PreVote { term, .. }
            | Message::PreVoteAnswer { term, .. }
            | Message::RequestVote { term, .. }
            | Message::VoteAnswer { term, .. }
            | Message::Heartbeat { term, .. }
            | Message::HeartbeatAnswer { term, .. }
            | Message::Append { term, .. }
            | Message::InstallSnapshot { term, .. }
            | Message::AppendAccepted { term, .. }
            | Message::AppendRejected { term, .. }
            | Message::Chunk { term, .. }
            | Message::ChunkReceived { term, .. }
            | Message::TimeoutNow { term }
            | Message::RequestVoteAfterTransfer { term, .. } => *term,
        }
    }
}

/// An event that the host reports to the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message has arrived.
    Received {
        /// The sender.
        from: VoterId,
        /// The message.
        message: Message,
    },
    /// Time has passed.
    Tick,
    /// The host proposes a change for the log.
    Propose {
        /// Identifies the proposal in `Accepted`, `Refused` and `OutcomeUnknown`.
        token: u64,
        /// The encoded change.
        change: Vec<u8>,
    },
    /// Requests that the given node become a voter. The host repeats the request until the node is a member.
    AddVoter(VoterId),
    /// Requests the removal of the given voter. The host repeats the request until the voter is no longer a member.
    RemoveVoter(VoterId),
    /// The given voter is about to shut down. The leader removes the voter from the list if the remaining voters then
    /// tolerate more losses. The host repeats the input until the voter has shut down.
    VoterShuttingDown(VoterId),
    /// This node is about to shut down and hands over its leadership, if it has any. The host repeats the input until
    /// this node is no longer the leader.
    TransferLeadership,
    /// The save with this ticket and all earlier saves are on disk.
    Saved {
        /// The ticket of the save.
        ticket: u64,
    },
    /// The host's state after the given committed entry, which replaces all entries up to that entry.
    Compact {
        /// The index of the entry.
        index: u64,
        /// The encoded state.
        state: Vec<u8>,
    },
}

/// An action that the host must carry out, in the order of the output list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub enum Output {
    /// Send a message. Delivery is not guaranteed.
    Send {
        /// The recipient.
        to: VoterId,
        /// The message.
        message: Message,
    },
    /// Write this save to disk, after all earlier saves.
    Save(Save),
    /// An entry is committed. Reported in log order, once per entry between two starts of the node.
    Committed {
        /// The committed entry.
        entry: Entry,
    },
    /// Replace the host's state with a snapshot.
    Install {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// A proposal is in the leader's log but not committed yet.
    Accepted {
        /// The token of the proposal.
        token: u64,
        /// The index of the entry that holds the proposal.
        index: u64,
        /// The term of that entry. A committed entry of another term at this index means that the proposal was lost.
        term: u64,
    },
    /// A proposal was rejected and will never be committed: this node is not the leader, or the queue is full.
    Refused {
        /// The token of the proposal.
        token: u64,
        /// The current leader, if known; this node itself when its queue is full.
        leader: Option<VoterId>,
    },
    /// This node stopped leading before an accepted proposal was committed. The proposal may still be committed later.
    OutcomeUnknown {
        /// The token of the proposal.
        token: u64,
    },
    /// The role of this node has changed.
    Role(Role),
}

/// The role of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub enum Role {
    /// The node follows a leader or waits for one.
    Follower {
        /// The current term of the node.
        term: u64,
        /// The leader that the node follows, if known.
        leader: Option<VoterId>,
    },
    /// The node is a candidate in an election.
    Candidate {
        /// The current term of the node.
        term: u64,
    },
    /// The node was elected leader. Only [`crate::Node::holds_lease`] tells whether the leadership is still valid.
    Leader {
        /// The current term of the node.
        term: u64,
    },
}

/// The changes that one disk transaction writes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct Save {
    /// A number that increases with each save.
    pub ticket: u64,
    /// The current term.
    pub term: u64,
    /// The vote in that term, if any.
    pub vote: Option<VoterId>,
    /// First, remove all entries from this index on.
    pub truncate: Option<u64>,
    /// Then append these entries.
    pub entries: Vec<Entry>,
    /// Then replace the stored snapshot with this one and remove the entries up to its index.
    pub snapshot: Option<Snapshot>,
}

impl Save {
    /// Merges a later save into this one. Writing the merged save leaves the same state on disk as writing both.
    pub fn join(&mut self, later: Save) {
        let Save { ticket, term, vote, truncate, entries, snapshot } = later;
        (self.ticket, self.term, self.vote) = (ticket, term, vote);
        if let Some(from) = truncate {
            self.entries.retain(|entry| entry.index < from);
            self.truncate = Some(self.truncate.map_or(from, |earlier| earlier.min(from)));
        }
        self.entries.extend(entries);
        if let Some(snapshot) = snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
    }
}
