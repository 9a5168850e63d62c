//! The state of a leader: its leadership, its pending proposals and the progress of its peers.

use std::collections::VecDeque;

use crate::transfer::{ChunkSupport, OutgoingTransfer};
use crate::types::{Millis, VoterId};

/// The maximum number of unanswered `Append` or `InstallSnapshot` messages to one follower.
const MAX_IN_FLIGHT_MESSAGES: usize = 4;

/// The state of a leader.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct LeaderState {
    /// When this node was elected.
    pub(crate) elected_at: Millis,
    /// Since when the leader has held its lease without a gap.
    pub(crate) stable_since: Millis,
    /// When the leader last checked that it holds the lease.
    pub(crate) stability_checked_at: Millis,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat_at: Millis,
    /// The replication progress of each peer: members, learners, and recently removed members.
    pub(crate) peers: Vec<Peer>,
    /// Proposals that are not committed yet.
    pub(crate) pending_proposals: VecDeque<PendingProposal>,
    /// The number of the newest heartbeat. Peers echo this number in their responses.
    pub(crate) last_echo: u64,
    /// The numbers and send times of the newest heartbeats.
    pub(crate) sent_heartbeats: VecDeque<(u64, Millis)>,
}

impl LeaderState {
    pub(crate) fn new(now: Millis) -> LeaderState {
        LeaderState {
            elected_at: now,
            stable_since: now,
            stability_checked_at: now,
            next_heartbeat_at: now,
            peers: Vec::new(),
            pending_proposals: VecDeque::new(),
            last_echo: 0,
            sent_heartbeats: VecDeque::new(),
        }
    }

    pub(crate) fn peer(&mut self, id: &VoterId) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.id == *id)
    }
}

/// A proposal in the leader's log that is not committed yet.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct PendingProposal {
    /// The index of the proposal's log entry.
    pub(crate) index: u64,
    /// Identifies the proposal to the host.
    pub(crate) token: u64,
    /// The length of the change in bytes.
    pub(crate) size: usize,
}

/// The replication progress of one peer.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct Peer {
    pub(crate) id: VoterId,
    /// The highest index up to which the peer's disk is known to match this log.
    pub(crate) match_index: u64,
    /// The index of the next entry to send to the peer.
    pub(crate) next_index: u64,
    /// Whether `next_index` is a guess. While probing, the leader sends one message at a time.
    pub(crate) probing: bool,
    /// Unanswered messages with log data, oldest first.
    pub(crate) in_flight: VecDeque<InFlightMessage>,
    /// The chunked transfer in progress, if any. The leader sends no other log data to the peer meanwhile.
    pub(crate) transfer: Option<OutgoingTransfer>,
    /// Whether the peer supports chunked transfers.
    pub(crate) chunk_support: ChunkSupport,
    /// The number of chunked transfer attempts without a response while chunk support of the peer is unknown.
    pub(crate) unanswered_chunk_attempts: u32,
    /// The send time of the newest heartbeat that the peer has answered.
    pub(crate) answered_heartbeat_at: Option<Millis>,
    /// When the leader forgets the peer, if the peer is not a member.
    pub(crate) expires_at: Millis,
    /// Whether the host has requested that the peer, which is not a member, become a voter.
    pub(crate) promotion_requested: bool,
}

/// An unanswered message that carries log data.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct InFlightMessage {
    /// The index of the entry before the first one in the message.
    pub(crate) prev_index: u64,
    /// The index of the last entry that the message covers.
    pub(crate) last_index: u64,
    /// The size of the message's log data in bytes.
    pub(crate) bytes: usize,
    /// The message counts as lost if the peer answers a heartbeat that was sent at this time or later.
    pub(crate) presumed_lost_at: Millis,
}

impl Peer {
    pub(crate) fn new(id: VoterId, next_index: u64) -> Peer {
        Peer {
            id,
            match_index: 0,
            next_index,
            probing: true,
            in_flight: VecDeque::new(),
            transfer: None,
            chunk_support: ChunkSupport::default(),
            unanswered_chunk_attempts: 0,
            answered_heartbeat_at: None,
            expires_at: 0,
            promotion_requested: false,
        }
    }

    pub(crate) fn bytes_in_flight(&self) -> usize {
        self.in_flight.iter().map(|message| message.bytes).sum()
    }

    /// Whether the peer lacks entries up to `last`, or may lack them, and the window allows another message.
    pub(crate) fn can_send(&self, last: u64) -> bool {
        let max_in_flight = if self.probing { 1 } else { MAX_IN_FLIGHT_MESSAGES };
        let lacks = self.next_index <= last || (self.probing && self.match_index < last);
        lacks && self.in_flight.len() < max_in_flight
    }
}
