//! The sending and the receiving node of a chunked transfer.

use crate::checksum::checksum;
use crate::node::Node;
use crate::transfer::{ChunkSupport, IncomingTransfer, OutgoingTransfer, TransferLimits, TransferPayload};
use crate::types::{Entry, Message, Millis, Output, Snapshot, TransferId, TransferKind, VoterId};

/// The longest payload that a follower assembles, in bytes. The snapshot of a control plane holds a configuration of
/// maximum size, its predecessors, and the remembered versions and quota floors.
const MAX_PAYLOAD_BYTES: u64 = 24 << 20;
/// The number of unanswered transfer attempts, while heartbeats are answered, after which a follower is assumed to run
/// the previous release, which ignores chunks.
const MAX_UNANSWERED_CHUNK_ATTEMPTS: u32 = 3;

impl Node {
    #[doc(hidden)]
    pub fn set_transfer_limits(&mut self, limits: TransferLimits) {
        self.limits = limits;
    }

    /// Whether a payload of this length must be sent to this follower in chunks.
    pub(crate) fn needs_chunking(&self, id: &VoterId, length: usize) -> bool {
        let peer = self.leader_state.iter().flat_map(|leader| &leader.peers).find(|peer| peer.id == *id);
        let supported = peer.is_some_and(|peer| peer.chunk_support != ChunkSupport::Missing);
        supported && length > self.limits.min_window_bytes
    }

    /// Starts a chunked transfer of a snapshot.
    pub(crate) fn transfer_snapshot(&mut self, to: &VoterId, snapshot: Snapshot) {
        self.begin_transfer(to, &TransferPayload::Snapshot(snapshot));
    }

    /// Starts a chunked transfer of an entry that is too long for one message.
    pub(crate) fn transfer_entry(&mut self, to: &VoterId, previous_term: u64, entry: Entry) {
        self.begin_transfer(to, &TransferPayload::Entry { previous_term, entry });
    }

    fn begin_transfer(&mut self, to: &VoterId, payload: &TransferPayload) {
        let limits = self.limits;
        let (kind, index, term) = payload.identity();
        let Some(leader) = &mut self.leader_state else { return };
        let is_same_payload =
            |other: &&OutgoingTransfer| (other.id.kind, other.id.index, other.id.term) == (kind, index, term);
        let others = leader.peers.iter().filter_map(|peer| peer.transfer.as_ref());
        let (id, bytes) = match others.clone().find(is_same_payload) {
            Some(other) => (other.id, other.payload.clone()),
            None => {
                let bytes = bitcode::encode(payload);
                let (length, checksum) = (bytes.len() as u64, checksum(&bytes));
                (TransferId { kind, index, term, length, checksum }, bytes.into())
            }
        };
        if let Some(peer) = leader.peer(to) {
            peer.transfer = Some(OutgoingTransfer::new(id, bytes, limits));
        }
    }

    /// Sends as many chunks as the window allows; returns false if no transfer is in progress.
    pub(crate) fn continue_transfer(&mut self, now: Millis, to: &VoterId, out: &mut Vec<Output>) -> bool {
        let (term, heartbeat, chunk_bytes) =
            (self.term, self.timing.heartbeat.max(1), self.limits.chunk_bytes);
        let Some(peer) = self.leader_state.as_mut().and_then(|leader| leader.peer(to)) else { return false };
        let Some(transfer) = &mut peer.transfer else { return false };
        while let Some((offset, bytes)) = transfer.next_chunk(now, heartbeat, chunk_bytes) {
            let message = Message::Chunk { term, transfer: transfer.id, offset, bytes };
            out.push(Output::Send { to: to.clone(), message });
        }
        true
    }

    /// Resends unanswered chunks that were sent before an answered heartbeat.
    pub(crate) fn resume_transfer(&mut self, id: &VoterId, heartbeat_sent_at: Millis) {
        let (limits, faults, base) = (self.limits, self.faults, self.log.base());
        let Some(peer) = self.leader_state.as_mut().and_then(|leader| leader.peer(id)) else { return };
        let Some(transfer) = &mut peer.transfer else { return };
        if !transfer.resume_if_lost(heartbeat_sent_at, limits) {
            return;
        }
        if faults.restart_transfers {
            transfer.rewind(0);
        }
        if peer.chunk_support == ChunkSupport::Unknown {
            peer.unanswered_chunk_attempts += 1;
            if peer.unanswered_chunk_attempts >= MAX_UNANSWERED_CHUNK_ATTEMPTS {
                peer.chunk_support = ChunkSupport::Missing;
                peer.transfer = None;
                return;
            }
        }
        // The follower has no chunk of this snapshot yet, so the leader can send its newest snapshot instead.
        if transfer.acknowledged == 0
            && transfer.id.kind == TransferKind::Snapshot
            && transfer.id.index < base
        {
            peer.transfer = None;
        }
    }

    pub(crate) fn on_chunk_received(
        &mut self, now: Millis, from: &VoterId, term: u64, (id, offset, received): (TransferId, u64, u64),
        out: &mut Vec<Output>,
    ) {
        if !self.accept_answer(now, from, term, out) {
            return;
        }
        let (heartbeat, limits) = (self.timing.heartbeat.max(1), self.limits);
        let Some(peer) = self.leader_state.as_mut().and_then(|leader| leader.peer(from)) else { return };
        peer.chunk_support = ChunkSupport::Known;
        if let Some(transfer) = peer.transfer.as_mut().filter(|transfer| transfer.id == id) {
            transfer.on_chunk_received(now, heartbeat, limits, offset, received);
        }
        self.replicate_to(now, from, out);
    }

    pub(crate) fn on_chunk(
        &mut self, now: Millis, from: VoterId, term: u64, (id, offset, bytes): (TransferId, u64, Vec<u8>),
        out: &mut Vec<Output>,
    ) {
        if !self.accept_leader(now, &from, term, out) {
            if term < self.term {
                let message = Message::ChunkReceived { term: self.term, transfer: id, offset, received: 0 };
                self.reply_after_sync(from, message);
            }
            return;
        }
        if self.already_has(id) {
            self.incoming = None;
            self.verified_index = self.verified_index.max(id.index);
            self.reply_after_sync(from, Message::AppendAccepted { term: self.term, index: id.index });
            return;
        }
        let received = self.assemble(id, offset, &bytes);
        let message = Message::ChunkReceived { term: self.term, transfer: id, offset, received };
        out.push(Output::Send { to: from.clone(), message });
        if received == id.length {
            self.finish_incoming(now, from, out);
        }
    }

    /// Whether this log already has the payload of a transfer. By the log matching property it then also has all
    /// entries before it.
    fn already_has(&self, id: TransferId) -> bool {
        match id.kind {
            TransferKind::Snapshot => id.index <= self.commit,
            TransferKind::Entry => self.log.term_at(id.index) == Some(id.term),
        }
    }

    /// Drops an incoming transfer whose payload this log already contains.
    pub(crate) fn drop_incoming(&mut self, last_index: u64) {
        self.incoming.take_if(|incoming| incoming.id.index <= last_index);
    }

    /// Appends a chunk if it is the next one; returns the number of contiguous bytes received.
    fn assemble(&mut self, id: TransferId, offset: u64, bytes: &[u8]) -> u64 {
        if id.length > MAX_PAYLOAD_BYTES || bytes.len() as u64 > id.length {
            return 0;
        }
        let is_other_transfer = self.incoming.as_ref().is_none_or(|incoming| incoming.id != id);
        let restarts = offset == 0 && self.faults.restart_transfers;
        if is_other_transfer && !self.faults.mix_transfers || restarts {
            self.incoming = None;
        }
        let incoming = self.incoming.get_or_insert_with(|| IncomingTransfer { id, received: Vec::new() });
        incoming.id = id;
        let received_bytes = incoming.received.len() as u64;
        if offset == received_bytes && received_bytes + bytes.len() as u64 <= id.length {
            incoming.received.extend_from_slice(bytes);
        }
        incoming.received.len() as u64
    }

    /// Processes the complete payload like the message that it replaces.
    fn finish_incoming(&mut self, now: Millis, from: VoterId, out: &mut Vec<Output>) {
        let Some(IncomingTransfer { id, received }) = self.incoming.take() else { return };
        // After a checksum mismatch the leader resends the payload from its first byte.
        if checksum(&received) != id.checksum && !self.faults.mix_transfers {
            return;
        }
        let Ok(payload) = bitcode::decode::<TransferPayload>(&received) else { return };
        if payload.identity() != (id.kind, id.index, id.term) && !self.faults.mix_transfers {
            return;
        }
        let term = self.term;
        match payload {
            TransferPayload::Snapshot(snapshot) => self.on_snapshot(now, from, term, snapshot, out),
            TransferPayload::Entry { previous_term, entry } => {
                let previous = (entry.index.saturating_sub(1), previous_term);
                let commit = self.leader_commit;
                if let Some(answer) = self.on_append(now, &from, term, previous, vec![entry], commit, out) {
                    self.reply_after_sync(from, answer);
                }
            }
        }
    }
}
