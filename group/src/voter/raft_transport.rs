//! Clients for the other voters, and delivery of Raft messages to them.

use super::Voter;
use crate::store::{Incarnation, voter_id, voter_name};
use crate::wire::{CallKind, VoterClient};
use hyper::StatusCode;
use raft::{Input, Message, VoterId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::sleep;

/// Maximum number of messages queued for one voter. The oldest are dropped first.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Maximum size of a batch of several messages, which are sent in one call.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// A batch above this size gets a longer timeout.
const LARGE_BATCH_BYTES: usize = 64 * 1024;
/// Maximum number of voters whose learned addresses are kept.
const MAX_LEARNED_ADDRESSES: usize = 64;

/// Raft messages from one voter to another.
#[derive(Serialize, Deserialize)]
pub(super) struct MessageBatch {
    /// The Raft identity of the sender.
    from: (String, Incarnation),
    /// The listen address of the sender. A voter that was just added has no other source for this address.
    address: String,
    /// The messages, encoded by `bitcode`.
    messages: Vec<Vec<u8>>,
}

impl Voter {
    pub(super) fn client_for(&self, name: &str) -> Option<Rc<VoterClient>> {
        let address = self.configured_addresses.get(name).cloned();
        let address = address.or_else(|| self.core.borrow().applied.state.voter_addresses.get(name).cloned());
        self.client_for_address(&address.or_else(|| self.learned_addresses.borrow().get(name).cloned())?)
    }

    pub(super) fn client_for_address(&self, address: &str) -> Option<Rc<VoterClient>> {
        let mut clients = self.clients.borrow_mut();
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        let client = Rc::new(VoterClient::new(address.parse::<SocketAddr>().ok()?, self.group.clone()));
        clients.insert(address.to_owned(), client.clone());
        Some(client)
    }

    /// Stores the address of a voter, learned from a message or a request.
    pub(super) fn learn_address(&self, name: &str, address: String) {
        let mut learned = self.learned_addresses.borrow_mut();
        if learned.len() < MAX_LEARNED_ADDRESSES || learned.contains_key(name) {
            learned.insert(name.to_owned(), address);
        }
    }

    /// Returns the address at which the other voters reach this voter.
    fn advertised_address(&self) -> String {
        let configured = self.configured_addresses.get(&self.endpoint.name).cloned();
        let replicated =
            || self.core.borrow().applied.state.voter_addresses.get(&self.endpoint.name).cloned();
        configured.or_else(replicated).unwrap_or_else(|| self.endpoint.address.clone())
    }

    /// Queues a message. Batches to one voter are sent one after another, so the messages arrive in order.
    pub(super) fn queue_message(self: &Rc<Self>, to: VoterId, message: &Message) {
        let mut outgoing = self.outgoing.borrow_mut();
        let needs_task = !outgoing.contains_key(&to);
        let queue = outgoing.entry(to.clone()).or_default();
        // The receiver does not respond, and newer Raft messages supersede the oldest ones.
        if queue.len() >= MAX_QUEUED_MESSAGES {
            queue.pop_front();
        }
        queue.push_back(bitcode::encode(message));
        if needs_task {
            tokio::task::spawn_local(self.clone().deliver(to));
        }
    }

    /// Delivers queued messages to one voter until the queue is empty.
    async fn deliver(self: Rc<Self>, to: VoterId) {
        let election_timeout = self.timeouts.election.0;
        loop {
            let messages = {
                let mut outgoing = self.outgoing.borrow_mut();
                let Some(queue) = outgoing.get_mut(&to).filter(|queue| !queue.is_empty()) else {
                    outgoing.remove(&to);
                    return;
                };
                let mut remaining_bytes = MAX_BATCH_BYTES;
                let mut messages = Vec::new();
                while let Some(next) = queue.front()
                    && (messages.is_empty() || next.len() <= remaining_bytes)
                    && let Some(next) = queue.pop_front()
                {
                    remaining_bytes = remaining_bytes.saturating_sub(next.len());
                    messages.push(next);
                }
                messages
            };
            let is_large = messages.iter().map(Vec::len).sum::<usize>() > LARGE_BATCH_BYTES;
            let from =
                (voter_id(&self.group, &self.endpoint.name, self.incarnation).address, self.incarnation);
            let batch = MessageBatch { from, address: self.advertised_address(), messages };
            let delivered = match self.client_for(voter_name(&to)) {
                Some(client) => {
                    // Messages without a response within this time are lost; the next call uses another connection.
                    let time_limit = if is_large { self.timeouts.session_ttl } else { election_timeout / 2 };
                    client.call::<_, ()>(CallKind::Raft, to.incarnation, &batch, time_limit).await.is_ok()
                }
                None => false,
            };
            if !delivered {
                sleep(self.timeouts.heartbeat_interval).await;
            }
        }
    }

    pub(super) fn receive_raft_messages(self: &Rc<Self>, batch: MessageBatch) -> Result<(), StatusCode> {
        if self.is_halted() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let from = VoterId { address: batch.from.0, incarnation: batch.from.1 };
        self.learn_address(voter_name(&from), batch.address);
        for bytes in batch.messages {
            let message = bitcode::decode(&bytes).map_err(|_| StatusCode::BAD_REQUEST)?;
            self.handle_input(Input::Received { from: from.clone(), message });
        }
        Ok(())
    }
}
