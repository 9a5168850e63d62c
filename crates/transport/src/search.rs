//! Processes that are asked whether they are in touch with the leader, while the one that is followed may not be.

use crate::upstream::Upstream;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Milliseconds of the host's steady clock.
type Millis = u64;

/// Who was dialed is dialed anew after this: a process that is dead refuses at once.
const AGAIN: Millis = 400;
/// Who answered that it is cut off is asked anew after this.
const ASK_AGAIN: Millis = 200;

struct Candidate {
    upstream: Upstream,
    asked_at: Option<Millis>,
}

/// The connections to them.
#[derive(Default)]
pub(crate) struct Search {
    candidates: Vec<Candidate>,
    dialed: BTreeMap<SocketAddr, Millis>,
}

impl Search {
    /// It is over: all connections end.
    pub(crate) fn end(&mut self) {
        self.candidates.clear();
        self.dialed.clear();
    }

    /// Who is to be dialed so that so many are asked, of these in their order.
    pub(crate) fn next_to_dial(
        &mut self, now: Millis, others: impl Iterator<Item = SocketAddr>, width: usize,
    ) -> Vec<SocketAddr> {
        self.candidates.retain(|candidate| !candidate.upstream.is_lost());
        self.dialed.retain(|_, at| now < *at + AGAIN);
        let missing = width.saturating_sub(self.candidates.len());
        let rests = |to: &SocketAddr| self.dialed.contains_key(to);
        let is_open = |to: &SocketAddr| self.candidates.iter().any(|one| one.upstream.to == *to);
        let next: Vec<_> = others.filter(|to| !rests(to) && !is_open(to)).take(missing).collect();
        self.dialed.extend(next.iter().map(|to| (*to, now)));
        next
    }

    /// Another one is asked.
    pub(crate) fn add(&mut self, upstream: Upstream) {
        self.candidates.push(Candidate { upstream, asked_at: None });
    }

    /// The connection of this number.
    pub(crate) fn connection(&mut self, number: u64) -> Option<&mut Upstream> {
        let of_number = |candidate: &&mut Candidate| candidate.upstream.number == number;
        self.candidates.iter_mut().find(of_number).map(|candidate| &mut candidate.upstream)
    }

    /// A connection is over.
    pub(crate) fn lost(&mut self, number: u64) {
        self.candidates.retain(|candidate| candidate.upstream.number != number);
    }

    /// Takes the connection of this number out and ends all others.
    pub(crate) fn choose(&mut self, number: u64) -> Option<Upstream> {
        let at = self.candidates.iter().position(|candidate| candidate.upstream.number == number)?;
        let chosen = self.candidates.swap_remove(at).upstream;
        self.end();
        Some(chosen)
    }

    /// The connections on which a question is due.
    pub(crate) fn due_questions(&mut self, now: Millis) -> Vec<&Upstream> {
        let is_due = |candidate: &&mut Candidate| {
            candidate.upstream.answers && candidate.asked_at.is_none_or(|at| now >= at + ASK_AGAIN)
        };
        let due = self.candidates.iter_mut().filter(is_due);
        due.map(|candidate| {
            candidate.asked_at = Some(now);
            &candidate.upstream
        })
        .collect()
    }
}
