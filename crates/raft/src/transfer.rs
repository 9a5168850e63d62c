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

use crate::checksum::checksum;
use crate::node::Node;
use crate::replication::{HEARTBEATS_UNTIL_LOST, HEARTBEATS_UNTIL_SNAPSHOT_LOST};
use crate::types::{Entry, Message, Millis, Output, PayloadKind, Snapshot, TransferId, VoterId};

/// The longest payload that a follower assembles, in bytes: a configuration of the largest size, its predecessors and
/// what is remembered of versions and floors.
const LARGEST_PAYLOAD_BYTES: u64 = 24 << 20;
/// First pieces without any answer, while heartbeats are answered, after which a follower is taken for a process of the
/// version before, which knows no pieces and ignores them.
const ATTEMPTS_BEFORE_WHOLE: u32 = 3;

/// Bounds of what is under way to one follower.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub struct TransferLimits {
    /// The length of a piece, in bytes.
    pub piece_bytes: usize,
    /// What may always be in flight, in bytes: 131 ms of a link of 2 Mbit/s, less than an election or a lease.
    pub least_window_bytes: usize,
    /// What may be in flight on a fast link, in bytes.
    pub largest_window_bytes: usize,
}

impl TransferLimits {
    /// As they are in service.
    pub const SERVICE: TransferLimits =
        TransferLimits { piece_bytes: 8 << 10, least_window_bytes: 32 << 10, largest_window_bytes: 1 << 20 };
}

impl Default for TransferLimits {
    fn default() -> TransferLimits {
        TransferLimits::SERVICE
    }
}

/// What a transfer carries.
#[derive(Debug, Encode, Decode)]
enum Payload {
    Snapshot(Snapshot),
    Entry { previous_term: u64, entry: Entry },
}

impl Payload {
    fn place(&self) -> (PayloadKind, u64, u64) {
        match self {
            Payload::Snapshot(snapshot) => (PayloadKind::Snapshot, snapshot.index, snapshot.term),
            Payload::Entry { entry, .. } => (PayloadKind::Entry, entry.index, entry.term),
        }
    }
}

/// Whether a follower is known to take pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(test, derive(Hash))]
pub(crate) enum PieceSupport {
    #[default]
    Unknown,
    Known,
    /// A process of the version before: it is sent whole messages.
    Missing,
}

#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
struct PieceInFlight {
    offset: usize,
    sent_at: Millis,
    /// It was lost if a heartbeat was answered that was sent no earlier than this.
    lost_at: Millis,
}

/// A payload on its way to one follower.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct OutgoingTransfer {
    pub(crate) id: TransferId,
    payload: Arc<[u8]>,
    acknowledged: usize,
    next: usize,
    in_flight: VecDeque<PieceInFlight>,
    window: usize,
    /// The shortest time from a piece to its answer: what exceeds it is spent in queues.
    least_delay: Option<Millis>,
    attempts: u32,
}

impl OutgoingTransfer {
    fn new(id: TransferId, payload: Arc<[u8]>, limits: TransferLimits) -> OutgoingTransfer {
        OutgoingTransfer {
            id,
            payload,
            acknowledged: 0,
            next: 0,
            in_flight: VecDeque::new(),
            window: limits.least_window_bytes,
            least_delay: None,
            attempts: 0,
        }
    }

    fn is_complete(&self) -> bool {
        self.acknowledged == self.payload.len()
    }

    /// The next piece, if the window has room for it.
    fn next_piece(&mut self, now: Millis, heartbeat: Millis, piece_bytes: usize) -> Option<(u64, Vec<u8>)> {
        let end = (self.next + piece_bytes.max(1)).min(self.payload.len());
        let has_room = self.in_flight.is_empty() || end - self.acknowledged <= self.window;
        if self.next >= end || !has_room {
            return None;
        }
        let offset = self.next;
        let lost_at = now + heartbeat * HEARTBEATS_UNTIL_LOST;
        self.in_flight.push_back(PieceInFlight { offset, sent_at: now, lost_at });
        self.next = end;
        Some((offset as u64, self.payload[offset..end].to_vec()))
    }

    /// The follower has `received` bytes from the beginning on, after it was sent the piece at `offset`.
    fn answered(
        &mut self, now: Millis, heartbeat: Millis, limits: TransferLimits, offset: u64, received: u64,
    ) {
        let (offset, received) = (offset as usize, received as usize);
        let Some(piece) = self.in_flight.iter().find(|piece| piece.offset == offset) else { return };
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
        let delay = now.saturating_sub(piece.sent_at);
        self.adapt_window(delay, heartbeat, limits);
        self.acknowledged = self.acknowledged.max(received);
        self.next = self.next.max(self.acknowledged);
        self.in_flight.retain(|piece| piece.offset >= received);
        if self.is_complete() {
            self.await_disk(now, heartbeat);
        }
    }

    fn adapt_window(&mut self, delay: Millis, heartbeat: Millis, limits: TransferLimits) {
        let least = self.least_delay.map_or(delay, |least| least.min(delay));
        self.least_delay = Some(least);
        let queueing = delay - least;
        if queueing < heartbeat / 2 {
            self.window = (self.window + limits.piece_bytes).min(limits.largest_window_bytes);
        } else if queueing > heartbeat {
            self.window = (self.window / 2).max(limits.least_window_bytes);
        }
    }

    /// All pieces are there; what they make is yet to be on the follower's disk.
    fn await_disk(&mut self, now: Millis, heartbeat: Millis) {
        let lost_at = now + heartbeat * HEARTBEATS_UNTIL_SNAPSHOT_LOST;
        self.in_flight.clear();
        self.in_flight.push_back(PieceInFlight { offset: self.payload.len(), sent_at: now, lost_at });
    }

    fn rewind(&mut self, to: usize) {
        self.in_flight.clear();
        (self.acknowledged, self.next) = (to, to);
    }

    /// Whether what is in flight was lost, by an answered heartbeat that was sent after it. It is sent again then.
    fn resume_if_lost(&mut self, heartbeat_sent_at: Millis, limits: TransferLimits) -> bool {
        if self.in_flight.front().is_none_or(|first| first.lost_at > heartbeat_sent_at) {
            return false;
        }
        // Nobody answered that it is on disk: the last piece asks again.
        let last_piece = self.payload.len().saturating_sub(limits.piece_bytes.max(1));
        self.rewind(if self.is_complete() { last_piece } else { self.acknowledged });
        self.window = limits.least_window_bytes;
        self.attempts += 1;
        true
    }

    #[cfg(test)]
    pub(crate) fn forget_time(&mut self, limits: TransferLimits) {
        self.in_flight.iter_mut().for_each(|piece| (piece.sent_at, piece.lost_at) = (0, 0));
        (self.window, self.least_delay, self.attempts) = (limits.least_window_bytes, None, 0);
    }
}

/// A payload of which the first bytes have come.
#[derive(Debug)]
#[cfg_attr(test, derive(Clone, Hash))]
pub(crate) struct IncomingTransfer {
    id: TransferId,
    received: Vec<u8>,
}

impl Node {
    #[doc(hidden)]
    pub fn limit_transfers(&mut self, limits: TransferLimits) {
        self.limits = limits;
    }

    /// Whether a message of this length goes to this follower in pieces.
    pub(crate) fn goes_in_pieces(&self, id: &VoterId, length: usize) -> bool {
        let peer = self.lead.iter().flat_map(|lead| &lead.peers).find(|peer| peer.id == *id);
        let supported = peer.is_some_and(|peer| peer.pieces != PieceSupport::Missing);
        supported && length > self.limits.least_window_bytes
    }

    /// Begins to send the snapshot that stands for what this follower lacks.
    pub(crate) fn transfer_snapshot(&mut self, to: &VoterId, snapshot: Snapshot) {
        self.begin_transfer(to, &Payload::Snapshot(snapshot));
    }

    /// Begins to send an entry that is too long for one message.
    pub(crate) fn transfer_entry(&mut self, to: &VoterId, previous_term: u64, entry: Entry) {
        self.begin_transfer(to, &Payload::Entry { previous_term, entry });
    }

    fn begin_transfer(&mut self, to: &VoterId, payload: &Payload) {
        let limits = self.limits;
        let (kind, index, term) = payload.place();
        let Some(lead) = &mut self.lead else { return };
        let same =
            |other: &&OutgoingTransfer| (other.id.kind, other.id.index, other.id.term) == (kind, index, term);
        let others = lead.peers.iter().filter_map(|peer| peer.transfer.as_ref());
        let (id, bytes) = match others.clone().find(same) {
            Some(other) => (other.id, other.payload.clone()),
            None => {
                let bytes = bitcode::encode(payload);
                let (length, checksum) = (bytes.len() as u64, checksum(&bytes));
                (TransferId { kind, index, term, length, checksum }, bytes.into())
            }
        };
        if let Some(peer) = lead.peer(to) {
            peer.transfer = Some(OutgoingTransfer::new(id, bytes, limits));
        }
    }

    /// Sends what the window of a transfer has room for; false if none is under way.
    pub(crate) fn continue_transfer(&mut self, now: Millis, to: &VoterId, out: &mut Vec<Output>) -> bool {
        let (term, heartbeat, piece_bytes) =
            (self.term, self.timing.heartbeat.max(1), self.limits.piece_bytes);
        let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(to)) else { return false };
        let Some(transfer) = &mut peer.transfer else { return false };
        while let Some((offset, bytes)) = transfer.next_piece(now, heartbeat, piece_bytes) {
            let message = Message::Piece { term, transfer: transfer.id, offset, bytes };
            out.push(Output::Send { to: to.clone(), message });
        }
        true
    }

    /// A heartbeat that was sent then was answered: pieces from before it that were not are sent again.
    pub(crate) fn resume_transfer(&mut self, id: &VoterId, heartbeat_sent_at: Millis) {
        let (limits, faults, base) = (self.limits, self.faults, self.log.base());
        let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(id)) else { return };
        let Some(transfer) = &mut peer.transfer else { return };
        if !transfer.resume_if_lost(heartbeat_sent_at, limits) {
            return;
        }
        if faults.transfers_restart {
            transfer.rewind(0);
        }
        if peer.pieces == PieceSupport::Unknown && transfer.attempts >= ATTEMPTS_BEFORE_WHOLE {
            peer.pieces = PieceSupport::Missing;
            peer.transfer = None;
            return;
        }
        // Nothing of it is there yet, so that the newest snapshot may as well go instead.
        if transfer.acknowledged == 0 && transfer.id.kind == PayloadKind::Snapshot && transfer.id.index < base
        {
            peer.transfer = None;
        }
    }

    pub(crate) fn piece_answered(
        &mut self, now: Millis, from: &VoterId, term: u64, (id, offset, received): (TransferId, u64, u64),
        out: &mut Vec<Output>,
    ) {
        if !self.answer_counts(now, from, term, out) {
            return;
        }
        let (heartbeat, limits) = (self.timing.heartbeat.max(1), self.limits);
        let Some(peer) = self.lead.as_mut().and_then(|lead| lead.peer(from)) else { return };
        peer.pieces = PieceSupport::Known;
        if let Some(transfer) = peer.transfer.as_mut().filter(|transfer| transfer.id == id) {
            transfer.answered(now, heartbeat, limits, offset, received);
        }
        self.pump(now, from, out);
    }

    pub(crate) fn piece_came(
        &mut self, now: Millis, from: VoterId, term: u64, (id, offset, bytes): (TransferId, u64, Vec<u8>),
        out: &mut Vec<Output>,
    ) {
        if !self.follows(now, &from, term, out) {
            if term < self.term {
                let message = Message::PieceReceived { term: self.term, transfer: id, offset, received: 0 };
                self.answer(from, message);
            }
            return;
        }
        if self.has(id) {
            self.incoming = None;
            self.verified = self.verified.max(id.index);
            self.answer(from, Message::AppendAccepted { term: self.term, index: id.index });
            return;
        }
        let received = self.assemble(id, offset, &bytes);
        let message = Message::PieceReceived { term: self.term, transfer: id, offset, received };
        out.push(Output::Send { to: from.clone(), message });
        if received == id.length {
            self.take_payload(now, from, out);
        }
    }

    /// Whether this log has what a transfer would bring: by the log matching property all before it as well.
    fn has(&self, id: TransferId) -> bool {
        match id.kind {
            PayloadKind::Snapshot => id.index <= self.commit,
            PayloadKind::Entry => self.log.term_at(id.index) == Some(id.term),
        }
    }

    /// Drops what has come of a transfer that this log no longer needs.
    pub(crate) fn drop_incoming(&mut self, upto: u64) {
        self.incoming.take_if(|incoming| incoming.id.index <= upto);
    }

    /// Adds a piece if it is the next one; says how many bytes are there, from the first on.
    fn assemble(&mut self, id: TransferId, offset: u64, bytes: &[u8]) -> u64 {
        if id.length > LARGEST_PAYLOAD_BYTES || bytes.len() as u64 > id.length {
            return 0;
        }
        let other = self.incoming.as_ref().is_none_or(|incoming| incoming.id != id);
        let begins_again = offset == 0 && self.faults.transfers_restart;
        if other && !self.faults.transfers_mixed || begins_again {
            self.incoming = None;
        }
        let incoming = self.incoming.get_or_insert_with(|| IncomingTransfer { id, received: Vec::new() });
        incoming.id = id;
        let have = incoming.received.len() as u64;
        if offset == have && have + bytes.len() as u64 <= id.length {
            incoming.received.extend_from_slice(bytes);
        }
        incoming.received.len() as u64
    }

    /// All pieces are there: they count as the message that they make.
    fn take_payload(&mut self, now: Millis, from: VoterId, out: &mut Vec<Output>) {
        let Some(IncomingTransfer { id, received }) = self.incoming.take() else { return };
        // Otherwise it is sent again from its first byte.
        if checksum(&received) != id.checksum && !self.faults.transfers_mixed {
            return;
        }
        let Ok(payload) = bitcode::decode::<Payload>(&received) else { return };
        if payload.place() != (id.kind, id.index, id.term) && !self.faults.transfers_mixed {
            return;
        }
        let term = self.term;
        match payload {
            Payload::Snapshot(snapshot) => self.snapshot_came(now, from, term, snapshot, out),
            Payload::Entry { previous_term, entry } => {
                let previous = (entry.index.saturating_sub(1), previous_term);
                let commit = self.told_commit;
                if let Some(answer) = self.append_came(now, &from, term, previous, vec![entry], commit, out) {
                    self.answer(from, answer);
                }
            }
        }
    }
}
