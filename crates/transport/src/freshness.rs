//! Maximum age of the state of a data plane: bounded staleness (Terry et al., 2013), measured only by the monotonic
//! clock of the data plane. A state machine without I/O or a clock.
//!
//! A control plane reports the age of the leader's response that confirms its state, and the data plane dates the
//! answer from when it sent the query. So neither a delayed link nor a control plane that has not noticed its
//! isolation can make state appear newer than it is. Once the newest answer is too old, the data plane queries other
//! control planes and doubles their number with each step. So it soon reaches one whose state the leader confirms,
//! even if many isolated ones were queried before.

use std::collections::VecDeque;

/// Milliseconds of the host's monotonic clock.
type Millis = u64;

/// Minimum of the stale age, which is the age of the state at which a search for another control plane starts. Ages
/// just below the minimum are common: the control plane's query interval to the leader and the data plane's query
/// interval to the control plane add up.
const MIN_STALE_AFTER_MS: Millis = 500;
/// Maximum of the stale age, used even if the staleness bound allows more: a higher value has no benefit.
const MAX_STALE_AFTER_MS: Millis = 900;
/// Number of queries within the stale age, so that a lost answer does not start a search.
const QUERIES_PER_STALE_PERIOD: Millis = 3;
/// Extra time that a data plane has after its start, in addition to the stale age, to get its first answer.
const STARTUP_GRACE_MS: Millis = 1100;
/// Number of control planes queried in the first step of a search; doubled in each further step.
const INITIAL_WIDTH: usize = 2;
/// Time between two steps of a search.
const DOUBLING_INTERVAL_MS: Millis = 100;
/// Maximum number of doublings; the resulting width exceeds the number of control planes.
const MAX_DOUBLINGS: Millis = 7;
/// Maximum duration of a search, until the data plane follows a control plane whose state the leader confirms: a
/// tick, the steps up to a width of 16, one failed dial of 300 ms, and the settle time of the search with another
/// tick.
pub const MAX_SEARCH_MS: Millis = 950;
/// The smallest staleness bound that can be met.
pub const MIN_BOUND_MS: Millis = MIN_STALE_AFTER_MS + MAX_SEARCH_MS;
/// Number of queries whose answers are still accepted: those of several steps of a search.
const MAX_OUTSTANDING_QUERIES: usize = 512;

/// The age of the newest answer in ms at which other control planes are queried, if changes must take effect within
/// `bound` ms.
pub fn stale_after(bound: Millis) -> Millis {
    bound.saturating_sub(MAX_SEARCH_MS).clamp(MIN_STALE_AFTER_MS, MAX_STALE_AFTER_MS)
}

/// Whether changes take effect within `bound` ms at a data plane that can reach a control plane whose state the
/// leader confirms.
pub fn is_achievable(bound: Millis) -> bool {
    stale_after(bound) + MAX_SEARCH_MS <= bound
}

/// The freshness queries of a data plane, and the age of the data plane's state.
#[derive(Debug)]
pub struct FreshnessTracker {
    /// Age of the state, in ms, from which on other control planes are queried.
    stale_after: Millis,
    /// Number and send time of each unanswered query.
    sent_queries: VecDeque<(u64, Millis)>,
    /// Number of the last query.
    last_number: u64,
    /// The state of this process contains all changes that the leader had made by this time. Shortly after the start
    /// this time lies in the future, which gives the process extra time for its first answer.
    as_of: Millis,
    /// Whether any control plane answers freshness queries. Those of an earlier version do not.
    is_supported: bool,
    /// When the current search for another control plane began.
    search_started_at: Option<Millis>,
}

impl FreshnessTracker {
    /// Creates the tracker of a process that starts at `now` and queries other control planes once its newest answer
    /// is older than `stale_after` ms.
    pub fn new(now: Millis, stale_after: Millis) -> Self {
        let as_of = now + STARTUP_GRACE_MS;
        Self {
            stale_after,
            sent_queries: VecDeque::new(),
            last_number: 0,
            as_of,
            is_supported: false,
            search_started_at: None,
        }
    }

    /// Query interval for the followed control plane, in ms.
    pub fn query_interval(&self) -> Millis {
        self.stale_after / QUERIES_PER_STALE_PERIOD
    }

    /// Records that a control plane answers freshness queries.
    pub fn mark_supported(&mut self) {
        self.is_supported = true;
    }

    /// Starts a query sent at `now` and returns its number.
    pub fn start_query(&mut self, now: Millis) -> u64 {
        self.last_number += 1;
        self.sent_queries.push_back((self.last_number, now));
        if self.sent_queries.len() > MAX_OUTSTANDING_QUERIES {
            self.sent_queries.pop_front();
        }
        self.last_number
    }

    /// Records an answer whose sender's state is complete up to `age` ms before the answer. Returns the time up to
    /// which the state is complete, or `None` if the query is unknown or was already answered.
    pub fn record_answer(&mut self, number: u64, age: Millis) -> Option<Millis> {
        let index = self.sent_queries.iter().position(|(sent, _)| *sent == number)?;
        let (_, sent_at) = self.sent_queries.remove(index)?;
        let as_of = sent_at.saturating_sub(age);
        self.as_of = self.as_of.max(as_of);
        Some(as_of)
    }

    /// Maximum age of the state of this process, in ms.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.as_of)
    }

    /// Whether an answer is recent enough to end a search. The limit is half of the stale age, so that an answer of a
    /// control plane that has just become isolated does not end the search.
    pub fn is_recent(&self, now: Millis, as_of: Millis) -> bool {
        now.saturating_sub(as_of) < self.stale_after / 2
    }

    /// Whether the state of this process is too old. Always false while no control plane answers freshness queries.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.is_supported && self.age(now) >= self.stale_after
    }

    /// The number of control planes to query now in addition to the followed one.
    pub fn width(&mut self, now: Millis) -> usize {
        if self.is_stale(now) {
            self.search_started_at.get_or_insert(now);
        } else if self.is_recent(now, self.as_of) {
            self.search_started_at = None;
        }
        let doublings = |since: Millis| (now.saturating_sub(since) / DOUBLING_INTERVAL_MS).min(MAX_DOUBLINGS);
        self.search_started_at.map_or(0, |since| INITIAL_WIDTH << doublings(since))
    }
}
