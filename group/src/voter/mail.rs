//! The ways to other voters, and the log's messages on them.

use super::Voter;
use crate::store::{Incarnation, voter_id, voter_name};
use crate::wire::{CallKind, VoterClient};
use hyper::StatusCode;
use raft::{Input, Message, VoterId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::sleep;

/// Messages that wait for one voter, of which the oldest go, and the bytes of one call of several.
const MOST_MAIL: usize = 64;
const MOST_CALL: usize = 1 << 20;
/// Mail that is longer than this gets more time.
const LONG_MAIL: usize = 64 * 1024;
/// Senders whose address is remembered.
const MOST_HEARD: usize = 64;

/// Messages of the log, of one voter to another.
#[derive(Serialize, Deserialize)]
pub(super) struct Mail {
    /// The sender, as the log names it.
    from: (String, Incarnation),
    /// Where it listens: one that was just taken in knows it from nowhere else.
    at: String,
    /// The messages in the log's own form.
    messages: Vec<Vec<u8>>,
}

impl Voter {
    pub(super) fn way(&self, name: &str) -> Option<Rc<VoterClient>> {
        let address = self.own.get(name).cloned();
        let address = address.or_else(|| self.core.borrow().applied.state.voter_addresses.get(name).cloned());
        self.way_to(&address.or_else(|| self.heard.borrow().get(name).cloned())?)
    }

    pub(super) fn way_to(&self, address: &str) -> Option<Rc<VoterClient>> {
        let mut ways = self.ways.borrow_mut();
        if let Some(way) = ways.get(address) {
            return Some(way.clone());
        }
        let way = Rc::new(VoterClient::new(address.parse::<SocketAddr>().ok()?, self.group.clone()));
        ways.insert(address.to_owned(), way.clone());
        Some(way)
    }

    /// Remembers where a voter listens.
    pub(super) fn hear_of(&self, name: &str, address: String) {
        let mut heard = self.heard.borrow_mut();
        if heard.len() < MOST_HEARD || heard.contains_key(name) {
            heard.insert(name.to_owned(), address);
        }
    }

    /// Where others find this voter.
    fn place(&self) -> String {
        let own = self.own.get(&self.me.name).cloned();
        let agreed = || self.core.borrow().applied.state.voter_addresses.get(&self.me.name).cloned();
        own.or_else(agreed).unwrap_or_else(|| self.me.address.clone())
    }

    /// Queues a message. All to one voter go one call after the other, so that they arrive in order.
    pub(super) fn post(self: &Rc<Self>, to: VoterId, message: &Message) {
        let mut mail = self.mail.borrow_mut();
        let idle = !mail.contains_key(&to);
        let waiting = mail.entry(to.clone()).or_default();
        // It is silent: what is old is of no use to it any more.
        if waiting.len() >= MOST_MAIL {
            waiting.pop_front();
        }
        waiting.push_back(bitcode::encode(message));
        if idle {
            tokio::task::spawn_local(self.clone().carry(to));
        }
    }

    /// Carries messages to one voter until there are none.
    async fn carry(self: Rc<Self>, to: VoterId) {
        let election = self.times.election.0;
        loop {
            let messages = {
                let mut mail = self.mail.borrow_mut();
                let Some(waiting) = mail.get_mut(&to).filter(|waiting| !waiting.is_empty()) else {
                    mail.remove(&to);
                    return;
                };
                let mut room = MOST_CALL;
                let mut messages = Vec::new();
                while let Some(next) = waiting.front()
                    && (messages.is_empty() || next.len() <= room)
                    && let Some(next) = waiting.pop_front()
                {
                    room = room.saturating_sub(next.len());
                    messages.push(next);
                }
                messages
            };
            let long = messages.iter().map(Vec::len).sum::<usize>() > LONG_MAIL;
            let from = (voter_id(&self.group, &self.me.name, self.id).address, self.id);
            let mail = Mail { from, at: self.place(), messages };
            let carried = match self.way(voter_name(&to)) {
                Some(way) => {
                    // Whatever gets no answer by then is lost; the next call goes by another connection.
                    let within = if long { self.times.session_ttl } else { election / 2 };
                    way.call::<_, ()>(CallKind::Raft, to.incarnation, &mail, within).await.is_ok()
                }
                None => false,
            };
            if !carried {
                sleep(self.times.heartbeat_interval).await;
            }
        }
    }

    pub(super) fn take_in(self: &Rc<Self>, mail: Mail) -> Result<(), StatusCode> {
        if self.is_silent() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let from = VoterId { address: mail.from.0, incarnation: mail.from.1 };
        self.hear_of(voter_name(&from), mail.at);
        for bytes in mail.messages {
            let message = bitcode::decode(&bytes).map_err(|_| StatusCode::BAD_REQUEST)?;
            self.feed(Input::Received { from: from.clone(), message });
        }
        Ok(())
    }
}
