//! What a leader keeps: of itself, of its proposals and of the other nodes.

use std::collections::VecDeque;

use crate::transfer::{OutgoingTransfer, PieceSupport};
use crate::types::{Millis, VoterId};

/// How many messages of entries may be under way to one follower.
const MOST_UNDER_WAY: usize = 4;

/// What a leader keeps.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct Lead {
    pub(crate) since: Millis,
    /// Since when it has led without a break, and when that was looked at last.
    pub(crate) steady_since: Millis,
    pub(crate) watched_at: Millis,
    pub(crate) heartbeat_due: Millis,
    pub(crate) peers: Vec<Peer>,
    /// Proposals that wait for their commitment.
    pub(crate) tokens: VecDeque<Accepted>,
    pub(crate) echo: u64,
    /// When the newest heartbeats were sent.
    pub(crate) echoes: VecDeque<(u64, Millis)>,
}

impl Lead {
    pub(crate) fn new(now: Millis) -> Lead {
        Lead {
            since: now,
            steady_since: now,
            watched_at: now,
            heartbeat_due: now,
            peers: Vec::new(),
            tokens: VecDeque::new(),
            echo: 0,
            echoes: VecDeque::new(),
        }
    }

    pub(crate) fn peer(&mut self, id: &VoterId) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.id == *id)
    }
}

/// A proposal in the leader's log.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct Accepted {
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
    pub(crate) matched: u64,
    pub(crate) next: u64,
    /// Whether `next` is a guess: one message at a time then.
    pub(crate) probing: bool,
    pub(crate) under_way: VecDeque<UnderWay>,
    /// What goes to it in pieces now; nothing else of the log does meanwhile.
    pub(crate) transfer: Option<OutgoingTransfer>,
    pub(crate) pieces: PieceSupport,
    /// How often first pieces were lost before any was answered.
    pub(crate) piece_attempts: u32,
    /// When the newest heartbeat was sent that it has answered.
    pub(crate) answered: Option<Millis>,
    /// For those who are not on the list: when they are forgotten, and whether they want to be on it.
    pub(crate) until: Millis,
    pub(crate) wanted: bool,
}

#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct UnderWay {
    pub(crate) prev: u64,
    pub(crate) last: u64,
    pub(crate) bytes: usize,
    pub(crate) lost_at: Millis,
}

impl Peer {
    pub(crate) fn new(id: VoterId, next: u64) -> Peer {
        Peer {
            id,
            matched: 0,
            next,
            probing: true,
            under_way: VecDeque::new(),
            transfer: None,
            pieces: PieceSupport::default(),
            piece_attempts: 0,
            answered: None,
            until: 0,
            wanted: false,
        }
    }

    pub(crate) fn bytes_under_way(&self) -> usize {
        self.under_way.iter().map(|one| one.bytes).sum()
    }

    /// Whether it lacks entries, or is not known to have them, and may be sent a message now.
    pub(crate) fn may_be_sent(&self, last: u64) -> bool {
        let most = if self.probing { 1 } else { MOST_UNDER_WAY };
        let lacks = self.next <= last || (self.probing && self.matched < last);
        lacks && self.under_way.len() < most
    }
}
