//! What goes into the state machine, what comes out of it, and what is kept.

use bitcode::{Decode, Encode};

/// A point of the host's steady clock, or a span of it, in milliseconds.
pub type Millis = u64;

/// A voter: its peer address and a number drawn when its disk was empty (0 for founding voters).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct VoterId {
    /// Where it is reached by its peers.
    pub address: String,
    /// Whoever comes back with an empty disk has another number: it has forgotten what it promised.
    pub incarnation: u64,
}

impl std::fmt::Display for VoterId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{:x}", self.address, self.incarnation)
    }
}

/// Spans that all voters share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct Timing {
    /// How often a leader tells that it lives.
    pub heartbeat: Millis,
    /// The least silence after which a voter looks for another leader; drawn from this to twice this.
    pub election: Millis,
    /// For how long an answered heartbeat proves that no other leader can be; shorter than `election` by more than the
    /// clocks of two machines can drift apart in it.
    pub lease: Millis,
}

/// What is on disk when a node starts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct PersistentState {
    /// Who this node is.
    pub me: VoterId,
    /// The newest term seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<VoterId>,
    /// What stands for all entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The founding voters; empty for a node that joins.
    pub founders: Vec<VoterId>,
}

/// What stands for all entries up to an index.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub struct Snapshot {
    /// The last entry that it contains.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The voters as of that entry.
    pub members: Vec<VoterId>,
    /// The host's state, opaque here.
    pub state: Vec<u8>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub struct Entry {
    /// Its place, from 1 on without gaps.
    pub index: u64,
    /// The term of the leader that wrote it.
    pub term: u64,
    /// What it holds.
    pub payload: Payload,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub enum Payload {
    /// A new leader's first: with it the entries of former terms are committed.
    Noop,
    /// A change of the host's state, opaque here.
    Change(Vec<u8>),
    /// The voters from this entry on, in force as soon as it is in a log.
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

/// What a transfer in pieces carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub enum TransferKind {
    /// A snapshot.
    Snapshot,
    /// One entry of the log.
    Entry,
}

/// Tells one transfer in pieces from all others: pieces of two are never put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub struct TransferId {
    /// What it carries.
    pub kind: TransferKind,
    /// The last entry that the payload holds.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The bytes of the payload.
    pub length: u64,
    /// Their checksum.
    pub checksum: u64,
}

impl TransferId {
    /// Whether it carries the entry right after that one.
    pub(crate) fn follows_on(&self, prev_index: u64) -> bool {
        self.kind == TransferKind::Entry && prev_index.checked_add(1) == Some(self.index)
    }
}

/// What voters say to each other. Processes of the version before know the variants up to `AppendRejected`, and ignore messages
/// of the later ones. New variants go to the end: `bitcode` tells them by their order.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cfg_attr(test, derive(Hash))]
pub enum Message {
    /// Would you vote for me in this term? Binds nobody and changes no term.
    PreVote {
        /// Which of the asker's rounds this is.
        round: u64,
        /// The term that it would stand in.
        term: u64,
        /// Its last entry's index.
        last_index: u64,
        /// Its last entry's term.
        last_term: u64,
    },
    /// The answer to `PreVote`.
    PreVoteAnswer {
        /// The asker's round.
        round: u64,
        /// The answerer's own term.
        term: u64,
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me.
    RequestVote {
        /// The term that it stands in.
        term: u64,
        /// Its last entry's index.
        last_index: u64,
        /// Its last entry's term.
        last_term: u64,
    },
    /// The answer to `RequestVote`, sent once the vote is on disk.
    VoteAnswer {
        /// The answerer's own term.
        term: u64,
        /// Whether the vote was given.
        granted: bool,
    },
    /// The leader lives.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// Comes back in the answer: the leader knows when it sent it.
        echo: u64,
        /// Up to where its log is committed.
        commit: u64,
    },
    /// The answer to `Heartbeat`.
    HeartbeatAnswer {
        /// The answerer's own term.
        term: u64,
        /// The heartbeat's number.
        echo: u64,
        /// Up to where the answerer's disk surely has the leader's log: makes up for lost answers to `Append`.
        matched: u64,
    },
    /// Entries.
    Append {
        /// The leader's term.
        term: u64,
        /// The entry before the first of them.
        prev_index: u64,
        /// Its term.
        prev_term: u64,
        /// Consecutive entries; none is a probe.
        entries: Vec<Entry>,
        /// Up to where the leader's log is committed.
        commit: u64,
    },
    /// Instead of entries that the leader no longer has.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// What stands for them.
        snapshot: Snapshot,
    },
    /// The log up to this index is the leader's and on disk.
    AppendAccepted {
        /// The answerer's own term.
        term: u64,
        /// Up to where.
        index: u64,
    },
    /// The entry before the first does not fit, or the leader's term is over.
    AppendRejected {
        /// The answerer's own term.
        term: u64,
        /// The `prev_index` that did not fit.
        prev_index: u64,
        /// Up to where the logs may agree.
        hint: u64,
    },
    /// A piece of a snapshot or an entry that is too long for one message.
    Chunk {
        /// The leader's term.
        term: u64,
        /// Of which transfer.
        transfer: TransferId,
        /// Where in the payload it begins, in bytes.
        offset: u64,
        /// The piece.
        bytes: Vec<u8>,
    },
    /// The answer to `Chunk`. It promises nothing: pieces are not on disk.
    ChunkReceived {
        /// The answerer's own term.
        term: u64,
        /// Of which transfer.
        transfer: TransferId,
        /// The offset of the piece that is answered.
        offset: u64,
        /// So many bytes of the payload are there, from the first on.
        received: u64,
    },
    /// The leader has given up its lead to the one that is told so.
    TimeoutNow {
        /// The term that it led in.
        term: u64,
    },
    /// Vote for me: the leader of the term before has given up its lead, so that no lease of it stands any more.
    RequestVoteAfterTransfer {
        /// The term that it stands in.
        term: u64,
        /// Its last entry's index.
        last_index: u64,
        /// Its last entry's term.
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

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message came in.
    Received {
        /// Who sent it.
        from: VoterId,
        /// What it says.
        message: Message,
    },
    /// Time has passed.
    Tick,
    /// The host wants a change in the log.
    Propose {
        /// The host's name for it in `Accepted`, `Refused` and `OutcomeUnknown`.
        token: u64,
        /// The change.
        change: Vec<u8>,
    },
    /// This node asks to be a voter; the host repeats it until the list has it.
    AddVoter(VoterId),
    /// This voter is to go; the host repeats it until the list is without it.
    RemoveVoter(VoterId),
    /// This voter is about to end: it goes off the list if what is left bears more without it. The host repeats it until it
    /// has ended.
    VoterShuttingDown(VoterId),
    /// This node is about to end: if it leads, another one is to. The host repeats it until it leads no more.
    TransferLeadership,
    /// The save with this ticket, and all before it, are on disk.
    Saved {
        /// The ticket.
        ticket: u64,
    },
    /// The host's state after this committed entry stands for all entries up to it.
    Compact {
        /// The entry.
        index: u64,
        /// The state.
        state: Vec<u8>,
    },
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: VoterId,
        /// What.
        message: Message,
    },
    /// Write this to disk, after all former ones.
    Save(Save),
    /// An entry is committed: in order, each once in a life.
    Committed {
        /// The entry.
        entry: Entry,
    },
    /// The host's state is to be replaced.
    Install {
        /// By this.
        snapshot: Snapshot,
    },
    /// A proposal is in the leader's log, and not committed yet.
    Accepted {
        /// The host's name for it.
        token: u64,
        /// Where it will be told as committed, if it is.
        index: u64,
        /// With which term: another one at this index means that it was lost.
        term: u64,
    },
    /// A proposal was not taken and never will be: not the leader, or its queue is full.
    Refused {
        /// The host's name for it.
        token: u64,
        /// Who leads, as far as known; this node itself when its queue is full.
        leader: Option<VoterId>,
    },
    /// The leader lost its place before an accepted proposal was committed: it may still come or never.
    OutcomeUnknown {
        /// The host's name for it.
        token: u64,
    },
    /// The role has changed.
    Role(Role),
}

/// What a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub enum Role {
    /// It follows, or waits for a leader.
    Follower {
        /// Its term.
        term: u64,
        /// Whom it follows.
        leader: Option<VoterId>,
    },
    /// It stands for election.
    Candidate {
        /// Its term.
        term: u64,
    },
    /// It leads; whether it still does is told by [`crate::Node::holds_lease`] alone.
    Leader {
        /// Its term.
        term: u64,
    },
}

/// What goes to disk, in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct Save {
    /// Rises with each save.
    pub ticket: u64,
    /// The term.
    pub term: u64,
    /// The vote in that term.
    pub vote: Option<VoterId>,
    /// First, all entries from this index on go away.
    pub truncate: Option<u64>,
    /// Then these are appended.
    pub entries: Vec<Entry>,
    /// Then this replaces the former one, and the entries up to its index go away.
    pub snapshot: Option<Snapshot>,
}

impl Save {
    /// Makes one save of two, of which the other is the later one: the same is on disk after it as after both.
    pub fn join(&mut self, later: Save) {
        let Save { ticket, term, vote, truncate, entries, snapshot } = later;
        (self.ticket, self.term, self.vote) = (ticket, term, vote);
        if let Some(from) = truncate {
            self.entries.retain(|entry| entry.index < from);
            self.truncate = Some(self.truncate.map_or(from, |before| before.min(from)));
        }
        self.entries.extend(entries);
        if let Some(snapshot) = snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
    }
}
