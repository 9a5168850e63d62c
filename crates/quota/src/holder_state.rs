//! State of one holder as seen by a gateway's lease cache: requests in flight and whether the holder answers. A holder
//! is silent when a request has had no answer for `SILENCE_TIMEOUT`, until the next answer.

use std::rc::Rc;

use crate::{Millis, SILENCE_TIMEOUT};

/// Interval between lease requests to a silent holder.
pub(crate) const PROBE_INTERVAL: Millis = 200.0;
/// Timeout of a lease request. The caller may fail a request earlier.
pub(crate) const REQUEST_TIMEOUT: Millis = 1000.0;
/// Maximum number of requests in flight to one holder. A few are enough: a tenant with a request in flight sends no
/// other.
const MAX_IN_FLIGHT: usize = 8;

#[derive(Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) number: u64,
    pub(crate) sent_at: Millis,
}

#[derive(Debug)]
pub(crate) struct HolderState {
    pub(crate) name: Rc<str>,
    in_flight: Vec<InFlightRequest>,
    silent: bool,
    /// A silent holder gets no lease request before this time.
    pub(crate) next_probe_at: Millis,
}

impl HolderState {
    pub(crate) fn new(name: &str) -> Self {
        Self { name: name.into(), in_flight: Vec::new(), silent: false, next_probe_at: 0.0 }
    }

    pub(crate) fn is_silent(&mut self, now: Millis) -> bool {
        self.silent |= self.in_flight.iter().any(|r| now >= r.sent_at + SILENCE_TIMEOUT);
        self.silent
    }

    /// Whether the holder was silent at the last check.
    pub(crate) fn was_silent(&self) -> bool {
        self.silent
    }

    pub(crate) fn may_send(&mut self, now: Millis) -> bool {
        self.in_flight.len() < MAX_IN_FLIGHT && (!self.is_silent(now) || now >= self.next_probe_at)
    }

    pub(crate) fn record_sent(&mut self, now: Millis, number: u64) {
        self.in_flight.push(InFlightRequest { number, sent_at: now });
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Removes a request from those in flight.
    pub(crate) fn take_in_flight(&mut self, number: u64) -> Option<InFlightRequest> {
        let at = self.in_flight.iter().position(|r| r.number == number)?;
        Some(self.in_flight.swap_remove(at))
    }

    /// Numbers of the requests in flight.
    pub(crate) fn in_flight_numbers(&self) -> impl Iterator<Item = u64> {
        self.in_flight.iter().map(|r| r.number)
    }

    /// Records an answer: the holder is no longer silent. An older request that is still unanswered after
    /// `SILENCE_TIMEOUT` marks the holder silent again at the next check.
    pub(crate) fn record_answer(&mut self) {
        self.silent = false;
    }

    pub(crate) fn mark_silent(&mut self, now: Millis) {
        self.silent = true;
        self.next_probe_at = self.next_probe_at.max(now + PROBE_INTERVAL * 0.5);
    }

    /// A request that has reached its timeout, if any.
    pub(crate) fn overdue_request(&self, now: Millis) -> Option<u64> {
        self.in_flight.iter().find(|r| now >= r.sent_at + REQUEST_TIMEOUT).map(|r| r.number)
    }

    /// When the holder becomes silent or the next request times out.
    pub(crate) fn next_deadline(&self) -> Millis {
        let timeout = if self.silent { REQUEST_TIMEOUT } else { SILENCE_TIMEOUT };
        self.in_flight.iter().fold(f64::INFINITY, |deadline, r| deadline.min(r.sent_at + timeout))
    }
}
