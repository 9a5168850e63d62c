//! One holder as a gateway's cache sees it: draws on their way to it, and whether it answers.

use std::rc::Rc;

use crate::{Millis, SILENCE_TIMEOUT};

/// While a holder is silent, it is asked this often.
pub(crate) const PROBE_INTERVAL: Millis = 200.0;
/// A draw without an answer is given up after this long, unless the host gives it up before.
pub(crate) const REQUEST_TIMEOUT: Millis = 1000.0;
/// A draw on its way keeps its tenants from asking again; so few are needed.
const MAX_IN_FLIGHT: usize = 8;

#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) number: u64,
    pub(crate) sent_at: Millis,
}

#[derive(Debug)]
pub(crate) struct HolderState {
    pub(crate) name: Rc<str>,
    in_flight: Vec<InFlight>,
    silent: bool,
    pub(crate) next_probe_at: Millis,
}

impl HolderState {
    pub(crate) fn new(name: &str) -> Self {
        Self { name: name.into(), in_flight: Vec::new(), silent: false, next_probe_at: 0.0 }
    }

    pub(crate) fn is_silent(&mut self, now: Millis) -> bool {
        self.silent |= self.in_flight.iter().any(|s| now >= s.sent_at + SILENCE_TIMEOUT);
        self.silent
    }

    /// Whether it was silent when last looked at.
    pub(crate) fn was_silent(&self) -> bool {
        self.silent
    }

    pub(crate) fn may_send(&mut self, now: Millis) -> bool {
        self.in_flight.len() < MAX_IN_FLIGHT && (!self.is_silent(now) || now >= self.next_probe_at)
    }

    pub(crate) fn record_sent(&mut self, now: Millis, number: u64) {
        self.in_flight.push(InFlight { number, sent_at: now });
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Takes a draw off those on their way.
    pub(crate) fn take_in_flight(&mut self, number: u64) -> Option<InFlight> {
        let at = self.in_flight.iter().position(|s| s.number == number)?;
        Some(self.in_flight.swap_remove(at))
    }

    /// The numbers of the draws on their way.
    pub(crate) fn in_flight_numbers(&self) -> impl Iterator<Item = u64> {
        self.in_flight.iter().map(|s| s.number)
    }

    /// It answered. A call that is late does not speak for it once a later one was answered.
    pub(crate) fn record_answer(&mut self) {
        self.silent = false;
    }

    pub(crate) fn mark_silent(&mut self, now: Millis) {
        self.silent = true;
        self.next_probe_at = self.next_probe_at.max(now + PROBE_INTERVAL * 0.5);
    }

    /// The oldest draw that is to be given up.
    pub(crate) fn overdue_request(&self, now: Millis) -> Option<u64> {
        self.in_flight.iter().find(|s| now >= s.sent_at + REQUEST_TIMEOUT).map(|s| s.number)
    }

    /// When it will count as silent, or a draw be given up.
    pub(crate) fn next_deadline(&self) -> Millis {
        let timeout = if self.silent { REQUEST_TIMEOUT } else { SILENCE_TIMEOUT };
        self.in_flight.iter().fold(f64::INFINITY, |deadline, s| deadline.min(s.sent_at + timeout))
    }
}
