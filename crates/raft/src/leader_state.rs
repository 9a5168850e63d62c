//! What a leader keeps: of itself, of its proposals and of the other nodes.

use std::collections::VecDeque;

use crate::transfer::{ChunkSupport, OutgoingTransfer};
use crate::types::{Millis, VoterId};

/// How many messages of entries may be under way to one follower.
const MAX_IN_FLIGHT_MESSAGES: usize = 4;

/// What a leader keeps.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct LeaderState {
    pub(crate) elected_at: Millis,
    /// Since when it has led without a break, and when that was looked at last.
    pub(crate) stable_since: Millis,
    pub(crate) stability_checked_at: Millis,
    pub(crate) next_heartbeat_at: Millis,
    pub(crate) peers: Vec<Peer>,
    /// Proposals that wait for their commitment.
    pub(crate) pending_proposals: VecDeque<PendingProposal>,
    pub(crate) last_echo: u64,
    /// When the newest heartbeats were sent.
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

/// A proposal in the leader's log.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct PendingProposal {
    pub(crate) index: u64,
    pub(crate) token: u64,
    pub(crate) size: usize,
}

/// What a leader knows of another node.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct Peer {
    pub(crate) id: VoterId,
    /// Up to where its disk has this log.
    pub(crate) match_index: u64,
    pub(crate) next_index: u64,
    /// Whether `next` is a guess: one message at a time then.
    pub(crate) probing: bool,
    pub(crate) in_flight: VecDeque<InFlightMessage>,
    /// What goes to it in pieces now; nothing else of the log does meanwhile.
    pub(crate) transfer: Option<OutgoingTransfer>,
    pub(crate) chunk_support: ChunkSupport,
    /// How often first pieces were lost before any was answered.
    pub(crate) unanswered_chunk_attempts: u32,
    /// When the newest heartbeat was sent that it has answered.
    pub(crate) answered_heartbeat_at: Option<Millis>,
    /// For those who are not on the list: when they are forgotten, and whether they want to be on it.
    pub(crate) expires_at: Millis,
    pub(crate) promotion_requested: bool,
}

#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct InFlightMessage {
    pub(crate) prev_index: u64,
    pub(crate) last_index: u64,
    pub(crate) bytes: usize,
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

    /// Whether it lacks entries, or is not known to have them, and may be sent a message now.
    pub(crate) fn can_send(&self, last: u64) -> bool {
        let max_in_flight = if self.probing { 1 } else { MAX_IN_FLIGHT_MESSAGES };
        let lacks = self.next_index <= last || (self.probing && self.match_index < last);
        lacks && self.in_flight.len() < max_in_flight
    }
}
