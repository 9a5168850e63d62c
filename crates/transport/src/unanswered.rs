//! Lease requests that wait for their answers on one connection.

use std::collections::VecDeque;

/// A lease client has no more on their way to one holder.
const MOST: usize = 8;

/// The requests that were sent on one connection and have no answer yet, by their numbers. A number is never used twice
/// by one process, and a connection never serves two incarnations of it.
#[derive(Debug, Default)]
pub struct Unanswered(VecDeque<(u64, u64)>);

impl Unanswered {
    /// A request was sent at this time, in ms. Gives the number of the oldest one if there are too many.
    pub fn sent(&mut self, number: u64, now: u64) -> Option<u64> {
        self.0.push_back((number, now));
        let oldest = self.0.front().map(|(number, _)| *number)?;
        (self.0.len() > MOST).then(|| self.0.pop_front()).map(|_| oldest)
    }

    /// An answer came: whether it belongs to a request of this connection that has none yet.
    pub fn answered(&mut self, number: u64) -> bool {
        let at = self.0.iter().position(|(sent, _)| *sent == number);
        at.and_then(|at| self.0.remove(at)).is_some()
    }

    /// Whether one has waited for longer than so many ms.
    pub fn is_overdue(&self, now: u64, wait: u64) -> bool {
        self.0.front().is_some_and(|(_, sent)| now > sent + wait)
    }

    /// The numbers of all.
    pub fn numbers(&self) -> impl Iterator<Item = u64> {
        self.0.iter().map(|(number, _)| *number)
    }
}
