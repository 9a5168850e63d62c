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

/// After the first answer that is new enough the others, and the one that is followed, have this long to give one too: with a
/// new leader the leader itself answers first, and not all may go over to it.
const SETTLES: Millis = 150;
/// An answer that is older than this does not make a candidate one to go over to.
const LATELY: Millis = 2 * ASK_AGAIN;

struct Candidate {
    upstream: Upstream,
    asked_at: Option<Millis>,
    /// When an answer of it was new enough first, and last.
    found_at: Option<Millis>,
    fresh_at: Option<Millis>,
}

/// The connections to them.
#[derive(Default)]
pub(crate) struct Search {
    /// The best one first.
    candidates: Vec<Candidate>,
    dialed: BTreeMap<SocketAddr, Millis>,
    /// When one of them gave an answer that is new enough first.
    found_at: Option<Millis>,
}

impl Search {
    /// It is over: all connections end.
    pub(crate) fn end(&mut self) {
        self.candidates.clear();
        self.dialed.clear();
        self.found_at = None;
    }

    /// Whether one of them is in touch with the leader.
    pub(crate) fn has_found(&self) -> bool {
        self.found_at.is_some()
    }

    /// An answer of this connection is new enough.
    pub(crate) fn found(&mut self, now: Millis, number: u64) {
        self.found_at.get_or_insert(now);
        for candidate in self.candidates.iter_mut().filter(|one| one.upstream.number == number) {
            candidate.found_at.get_or_insert(now);
            candidate.fresh_at = Some(now);
        }
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
        self.candidates.push(Candidate { upstream, asked_at: None, found_at: None, fresh_at: None });
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

    /// Takes the connection out on which an answer was new enough first, and is so lately, once all had the time for one, and
    /// ends all others. Who answers first is least loaded: the first in a data plane's own order may be the reason why it searches.
    pub(crate) fn choose(&mut self, now: Millis) -> Option<Upstream> {
        self.found_at.filter(|found_at| now >= found_at + SETTLES)?;
        let is_fresh = |candidate: &Candidate| candidate.fresh_at.is_some_and(|at| now < at + LATELY);
        let fresh = self.candidates.iter().enumerate().filter(|(_, candidate)| is_fresh(candidate));
        let (at, _) = fresh.min_by_key(|(_, candidate)| candidate.found_at)?;
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
