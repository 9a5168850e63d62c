//! Search for a control plane whose state the leader confirms, while the followed one may be isolated from the
//! leader. An answer to a freshness query is fresh if the state of its sender was confirmed by the leader recently; see
//! [`FreshnessTracker::is_recent`](crate::freshness::FreshnessTracker::is_recent).
//!
//! A candidate is a control plane that the search has dialed and queries besides the followed one.

use crate::upstream::Upstream;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Milliseconds of the host's monotonic clock.
type Millis = u64;

/// Minimum time between two dials of the same address: a dead process refuses connections immediately.
const REDIAL_INTERVAL_MS: Millis = 400;
/// Query interval on a connection, for candidates that have answered that they are isolated.
const QUERY_INTERVAL_MS: Millis = 200;

/// After the first fresh answer, the other candidates and the followed control plane have this long to give a fresh
/// answer too. After an election the new leader itself answers first, and not all data planes should switch to it.
const SETTLE_TIME_MS: Millis = 150;
/// A candidate is chosen only if its last fresh answer is newer than this.
const MAX_ANSWER_AGE_MS: Millis = 2 * QUERY_INTERVAL_MS;

/// A control plane that is queried besides the followed one.
struct Candidate {
    upstream: Upstream,
    last_query_at: Option<Millis>,
    /// Time of the first fresh answer of the candidate.
    first_fresh_at: Option<Millis>,
    /// Time of the last fresh answer of the candidate.
    last_fresh_at: Option<Millis>,
}

/// The connections to the candidates.
#[derive(Default)]
pub(crate) struct CandidateSearch {
    /// Connections in the order in which they were dialed.
    candidates: Vec<Candidate>,
    /// When each address was last dialed.
    dialed: BTreeMap<SocketAddr, Millis>,
    /// Time of the first fresh answer of any candidate.
    first_fresh_at: Option<Millis>,
}

impl CandidateSearch {
    /// Ends the search and closes all connections.
    pub(crate) fn cancel(&mut self) {
        self.candidates.clear();
        self.dialed.clear();
        self.first_fresh_at = None;
    }

    /// Whether any candidate has given a fresh answer.
    pub(crate) fn has_fresh_candidate(&self) -> bool {
        self.first_fresh_at.is_some()
    }

    /// Records a fresh answer on the connection with this number.
    pub(crate) fn record_fresh_answer(&mut self, now: Millis, number: u64) {
        self.first_fresh_at.get_or_insert(now);
        for candidate in self.candidates.iter_mut().filter(|candidate| candidate.upstream.number == number) {
            candidate.first_fresh_at.get_or_insert(now);
            candidate.last_fresh_at = Some(now);
        }
    }

    /// The addresses to dial so that `width` candidates are queried, chosen from `others` in order.
    pub(crate) fn next_to_dial(
        &mut self, now: Millis, others: impl Iterator<Item = SocketAddr>, width: usize,
    ) -> Vec<SocketAddr> {
        self.candidates.retain(|candidate| !candidate.upstream.is_lost());
        self.dialed.retain(|_, at| now < *at + REDIAL_INTERVAL_MS);
        let missing = width.saturating_sub(self.candidates.len());
        let is_backing_off = |address: &SocketAddr| self.dialed.contains_key(address);
        let is_open = |to: &SocketAddr| self.candidates.iter().any(|other| other.upstream.address == *to);
        let next: Vec<_> =
            others.filter(|address| !is_backing_off(address) && !is_open(address)).take(missing).collect();
        self.dialed.extend(next.iter().map(|address| (*address, now)));
        next
    }

    /// Adds a candidate.
    pub(crate) fn add(&mut self, upstream: Upstream) {
        self.candidates.push(Candidate {
            upstream,
            last_query_at: None,
            first_fresh_at: None,
            last_fresh_at: None,
        });
    }

    /// The connection with this number.
    pub(crate) fn connection(&mut self, number: u64) -> Option<&mut Upstream> {
        let has_number = |candidate: &&mut Candidate| candidate.upstream.number == number;
        self.candidates.iter_mut().find(has_number).map(|candidate| &mut candidate.upstream)
    }

    /// Removes a lost connection.
    pub(crate) fn remove(&mut self, number: u64) {
        self.candidates.retain(|candidate| candidate.upstream.number != number);
    }

    /// Once the settle time has passed, takes the candidate with the earliest fresh answer among those with a recent
    /// one, and closes all other connections. The earliest answer indicates the least loaded candidate. The order of
    /// preference is not used, since its first control plane may be the one whose isolation started the search.
    pub(crate) fn take_best(&mut self, now: Millis) -> Option<Upstream> {
        self.first_fresh_at.filter(|first_fresh_at| now >= first_fresh_at + SETTLE_TIME_MS)?;
        let is_fresh =
            |candidate: &Candidate| candidate.last_fresh_at.is_some_and(|at| now < at + MAX_ANSWER_AGE_MS);
        let fresh = self.candidates.iter().enumerate().filter(|(_, candidate)| is_fresh(candidate));
        let (index, _) = fresh.min_by_key(|(_, candidate)| candidate.first_fresh_at)?;
        let chosen = self.candidates.swap_remove(index).upstream;
        self.cancel();
        Some(chosen)
    }

    /// The connections on which a query is due.
    pub(crate) fn due_queries(&mut self, now: Millis) -> Vec<&Upstream> {
        let is_due = |candidate: &&mut Candidate| {
            candidate.upstream.answers_queries
                && candidate.last_query_at.is_none_or(|at| now >= at + QUERY_INTERVAL_MS)
        };
        let due = self.candidates.iter_mut().filter(is_due);
        due.map(|candidate| {
            candidate.last_query_at = Some(now);
            &candidate.upstream
        })
        .collect()
    }
}
