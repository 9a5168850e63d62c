//! Chunked transfers of long snapshots and entries, which resume after a lost connection.
//!
//! A message of several megabytes delays every heartbeat behind it on the connection, and restarts from its first
//! byte when the connection breaks. A payload longer than the minimum window is therefore encoded once and sent in
//! chunks, as in section 5.1 of Ongaro's dissertation on Raft. The window of bytes in flight adapts to the queueing
//! delay that the responses show: a slow link keeps room for heartbeats between the chunks, a fast link is filled.
//!
//! The follower keeps chunks in memory only, so acknowledging a chunk does not guarantee durability; after a restart of
//! the follower the transfer starts over. Once all chunks have arrived and the checksum matches, the payload is
//! processed like the message that it replaces.

use std::collections::VecDeque;
use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::types::{Entry, Millis, Snapshot, TransferId, TransferKind};

/// An unanswered message or chunk counts as lost once the peer answers a heartbeat sent this many heartbeat intervals
/// later. All messages use one connection in order, so a slow link alone never causes a retransmission.
pub(crate) const HEARTBEATS_UNTIL_LOST: u64 = 3;
/// The same as [`HEARTBEATS_UNTIL_LOST`] for a whole snapshot, which takes longer to be written to disk.
pub(crate) const HEARTBEATS_UNTIL_SNAPSHOT_LOST: u64 = 20;

/// Limits of the data in flight to one follower.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct TransferLimits {
    /// The length of a chunk, in bytes.
    pub chunk_bytes: usize,
    /// The minimum window, in bytes. Takes 131 ms on a 2 Mbit/s link, which is less than an election timeout or a
    /// lease.
    pub min_window_bytes: usize,
    /// The maximum window, in bytes, reached on a fast link.
    pub max_window_bytes: usize,
}

impl TransferLimits {
    /// The production limits.
    pub const PRODUCTION: TransferLimits =
        TransferLimits { chunk_bytes: 8 << 10, min_window_bytes: 32 << 10, max_window_bytes: 1 << 20 };
}

impl Default for TransferLimits {
    fn default() -> TransferLimits {
        TransferLimits::PRODUCTION
    }
}

/// The payload of a transfer.
#[derive(Debug, Encode, Decode)]
pub(crate) enum TransferPayload {
    /// A whole snapshot.
    Snapshot(Snapshot),
    /// One entry, and the term of the entry before it.
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

/// Whether a follower supports chunked transfers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub(crate) enum ChunkSupport {
    #[default]
    /// The follower has not acknowledged any chunk yet.
    Unknown,
    /// The follower has acknowledged a chunk.
    Known,
    /// The follower runs the previous release and gets whole messages.
    Missing,
}

#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct ChunkInFlight {
    pub(crate) offset: usize,
    pub(crate) sent_at: Millis,
    /// The chunk was lost if the peer answers a heartbeat that was sent at this time or later.
    pub(crate) presumed_lost_at: Millis,
}

/// The sending side of a chunked transfer to one follower.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct OutgoingTransfer {
    pub(crate) id: TransferId,
    /// The encoded payload.
    pub(crate) payload: Arc<[u8]>,
    /// The number of payload bytes that the follower has confirmed, counted from the start.
    pub(crate) acknowledged: usize,
    /// The offset of the next chunk to send.
    pub(crate) next_offset: usize,
    /// Unanswered chunks, oldest first.
    pub(crate) in_flight: VecDeque<ChunkInFlight>,
    /// The current limit of bytes in flight.
    pub(crate) window_bytes: usize,
    /// The shortest observed time from sending a chunk to its response. Any excess is queueing delay.
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

    /// The next chunk, if the window has room for it.
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

    /// Handles a response: the follower has the first `received` bytes, after it got the chunk at `offset`.
    pub(crate) fn on_chunk_received(
        &mut self, now: Millis, heartbeat: Millis, limits: TransferLimits, offset: u64, received: u64,
    ) {
        let (offset, received) = (offset as usize, received as usize);
        let Some(chunk) = self.in_flight.iter().find(|chunk| chunk.offset == offset) else { return };
        if received > self.payload.len() {
            return;
        }
        if received <= offset {
            // The follower lacks bytes before this chunk: it has restarted, or an earlier chunk was lost.
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

    /// All chunks have arrived; now waits until the payload is on the follower's disk.
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

    /// Rewinds the transfer if the chunks in flight were lost, given the send time of an answered heartbeat. Returns
    /// whether the transfer was rewound.
    pub(crate) fn resume_if_lost(&mut self, heartbeat_sent_at: Millis, limits: TransferLimits) -> bool {
        if self.in_flight.front().is_none_or(|first| first.presumed_lost_at > heartbeat_sent_at) {
            return false;
        }
        // The follower has not confirmed durability: resending the last chunk makes it respond again.
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

/// The receiving side of a chunked transfer, with the bytes received so far.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct IncomingTransfer {
    pub(crate) id: TransferId,
    pub(crate) received: Vec<u8>,
}
