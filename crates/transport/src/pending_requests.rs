//! Lease requests that wait for an answer on one connection.
//!
//! A lease request asks a quota holder (a control plane) for the right to spend part of a quota for a limited time.

use std::collections::VecDeque;

/// Maximum number of lease requests of a data plane that are in flight to one holder.
const MAX_PENDING_REQUESTS: usize = 8;

/// Requests that were sent on one connection and have no answer yet, each with its number and the time when it was
/// sent. A process never uses a number twice, and a connection never serves two incarnations of a process.
#[derive(Debug, Default)]
pub struct PendingRequests(VecDeque<(u64, u64)>);

impl PendingRequests {
    /// Records a request sent at `now`, in ms. If too many are pending, drops the oldest one and returns its number.
    pub fn record_sent(&mut self, number: u64, now: u64) -> Option<u64> {
        self.0.push_back((number, now));
        let oldest = self.0.front().map(|(number, _)| *number)?;
        (self.0.len() > MAX_PENDING_REQUESTS).then(|| self.0.pop_front()).map(|_| oldest)
    }

    /// Records an answer. Returns whether the request was pending on this connection.
    pub fn record_answer(&mut self, number: u64) -> bool {
        let index = self.0.iter().position(|(sent, _)| *sent == number);
        index.and_then(|index| self.0.remove(index)).is_some()
    }

    /// Whether the oldest request has been pending for longer than `timeout_ms`.
    pub fn is_overdue(&self, now: u64, timeout_ms: u64) -> bool {
        self.0.front().is_some_and(|(_, sent)| now > sent + timeout_ms)
    }

    /// The numbers of all pending requests.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.0.iter().map(|(number, _)| *number)
    }
}
