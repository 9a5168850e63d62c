//! Long snapshots and entries, sent in pieces that resume after a lost connection.
//!
//! One message of megabytes holds up every heartbeat behind it on its connection, and has to start again from its first
//! byte when that connection breaks. Whatever is longer than a window is therefore encoded once and sent piece by piece,
//! as in section 5.1 of Ongaro's dissertation on Raft. The window of bytes in flight follows the queueing delay that the
//! answers show: a slow link has room for heartbeats between the pieces, a fast one is filled.
//!
//! The follower keeps the pieces in memory only. It promises nothing by acknowledging them; a process that starts again
//! is sent them from the beginning. Once all are there and the checksum fits, they count as the message that they make.

use std::collections::VecDeque;
use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::types::{Entry, Millis, Snapshot, TransferId, TransferKind};

/// Of entries or a piece that is not answered: it was lost if the heartbeat is answered that is sent after so many others.
/// All go over one connection in order, so that a slow link alone makes nobody send anything twice.
pub(crate) const HEARTBEATS_UNTIL_LOST: u64 = 3;
/// The same of a whole snapshot, which takes its time to get to the disk.
pub(crate) const HEARTBEATS_UNTIL_SNAPSHOT_LOST: u64 = 20;

/// Bounds of what is under way to one follower.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct TransferLimits {
    /// The length of a piece, in bytes.
    pub chunk_bytes: usize,
    /// What may always be in flight, in bytes: 131 ms of a link of 2 Mbit/s, less than an election or a lease.
    pub min_window_bytes: usize,
    /// What may be in flight on a fast link, in bytes.
    pub max_window_bytes: usize,
}

impl TransferLimits {
    /// As they are in service.
    pub const PRODUCTION: TransferLimits =
        TransferLimits { chunk_bytes: 8 << 10, min_window_bytes: 32 << 10, max_window_bytes: 1 << 20 };
}

impl Default for TransferLimits {
    fn default() -> TransferLimits {
        TransferLimits::PRODUCTION
    }
}

/// What a transfer carries.
#[derive(Debug, Encode, Decode)]
pub(crate) enum TransferPayload {
    Snapshot(Snapshot),
    Entry { previous_term: u64, entry: Entry },
}

impl TransferPayload {
    pub(crate) fn identity(&self) -> (TransferKind, u64, u64) {
        match self {
            TransferPayload::Snapshot(snapshot) => (TransferKind::Snapshot, snapshot.index, snapshot.term),
            TransferPayload::Entry { entry, .. } => (TransferKind::Entry, entry.index, entry.term),
        }
    }
}

/// Whether a follower is known to take pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub(crate) enum ChunkSupport {
    #[default]
    Unknown,
    Known,
    /// A process of the version before: it is sent whole messages.
    Missing,
}

#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct ChunkInFlight {
    pub(crate) offset: usize,
    pub(crate) sent_at: Millis,
    /// It was lost if a heartbeat was answered that was sent no earlier than this.
    pub(crate) presumed_lost_at: Millis,
}

/// A payload on its way to one follower.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct OutgoingTransfer {
    pub(crate) id: TransferId,
    pub(crate) payload: Arc<[u8]>,
    pub(crate) acknowledged: usize,
    pub(crate) next_offset: usize,
    pub(crate) in_flight: VecDeque<ChunkInFlight>,
    pub(crate) window_bytes: usize,
    /// The shortest time from a piece to its answer: what exceeds it is spent in queues.
    pub(crate) min_delay: Option<Millis>,
}

impl OutgoingTransfer {
    pub(crate) fn new(id: TransferId, payload: Arc<[u8]>, limits: TransferLimits) -> OutgoingTransfer {
        OutgoingTransfer {
            id,
            payload,
            acknowledged: 0,
            next_offset: 0,
            in_flight: VecDeque::new(),
            window_bytes: limits.min_window_bytes,
            min_delay: None,
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.acknowledged == self.payload.len()
    }

    /// The next piece, if the window has room for it.
    pub(crate) fn next_chunk(
        &mut self, now: Millis, heartbeat: Millis, chunk_bytes: usize,
    ) -> Option<(u64, Vec<u8>)> {
        let end = (self.next_offset + chunk_bytes.max(1)).min(self.payload.len());
        let window_has_room = self.in_flight.is_empty() || end - self.acknowledged <= self.window_bytes;
        if self.next_offset >= end || !window_has_room {
            return None;
        }
        let offset = self.next_offset;
        let presumed_lost_at = now + heartbeat * HEARTBEATS_UNTIL_LOST;
        self.in_flight.push_back(ChunkInFlight { offset, sent_at: now, presumed_lost_at });
        self.next_offset = end;
        Some((offset as u64, self.payload[offset..end].to_vec()))
    }

    /// The follower has `received` bytes from the beginning on, after it was sent the piece at `offset`.
    pub(crate) fn on_chunk_received(
        &mut self, now: Millis, heartbeat: Millis, limits: TransferLimits, offset: u64, received: u64,
    ) {
        let (offset, received) = (offset as usize, received as usize);
        let Some(chunk) = self.in_flight.iter().find(|chunk| chunk.offset == offset) else { return };
        if received > self.payload.len() {
            return;
        }
        if received <= offset {
            // It lacks what is before this piece: it has started again, or an earlier piece was lost.
            if self.in_flight.front().is_some_and(|first| first.offset != received) {
                self.rewind(received);
            }
            return;
        }
        let delay = now.saturating_sub(chunk.sent_at);
        self.adapt_window(delay, heartbeat, limits);
        self.acknowledged = self.acknowledged.max(received);
        self.next_offset = self.next_offset.max(self.acknowledged);
        self.in_flight.retain(|chunk| chunk.offset >= received);
        if self.is_complete() {
            self.await_durable(now, heartbeat);
        }
    }

    fn adapt_window(&mut self, delay: Millis, heartbeat: Millis, limits: TransferLimits) {
        let min_delay = self.min_delay.map_or(delay, |known| known.min(delay));
        self.min_delay = Some(min_delay);
        let queueing = delay - min_delay;
        if queueing < heartbeat / 2 {
            self.window_bytes = (self.window_bytes + limits.chunk_bytes).min(limits.max_window_bytes);
        } else if queueing > heartbeat {
            self.window_bytes = (self.window_bytes / 2).max(limits.min_window_bytes);
        }
    }

    /// All pieces are there; what they make is yet to be on the follower's disk.
    pub(crate) fn await_durable(&mut self, now: Millis, heartbeat: Millis) {
        let presumed_lost_at = now + heartbeat * HEARTBEATS_UNTIL_SNAPSHOT_LOST;
        self.in_flight.clear();
        self.in_flight.push_back(ChunkInFlight {
            offset: self.payload.len(),
            sent_at: now,
            presumed_lost_at,
        });
    }

    pub(crate) fn rewind(&mut self, to: usize) {
        self.in_flight.clear();
        (self.acknowledged, self.next_offset) = (to, to);
    }

    /// Whether what is in flight was lost, by an answered heartbeat that was sent after it. It is sent again then.
    pub(crate) fn resume_if_lost(&mut self, heartbeat_sent_at: Millis, limits: TransferLimits) -> bool {
        if self.in_flight.front().is_none_or(|first| first.presumed_lost_at > heartbeat_sent_at) {
            return false;
        }
        // Nobody answered that it is on disk: the last piece asks again.
        let last_chunk = self.payload.len().saturating_sub(limits.chunk_bytes.max(1));
        self.rewind(if self.is_complete() { last_chunk } else { self.acknowledged });
        self.window_bytes = limits.min_window_bytes;
        true
    }

    #[cfg(test)]
    pub(crate) fn forget_time(&mut self, limits: TransferLimits) {
        self.in_flight.iter_mut().for_each(|chunk| (chunk.sent_at, chunk.presumed_lost_at) = (0, 0));
        (self.window_bytes, self.min_delay) = (limits.min_window_bytes, None);
    }
}

/// A payload of which the first bytes have come.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct IncomingTransfer {
    pub(crate) id: TransferId,
    pub(crate) received: Vec<u8>,
}
