//! One holder as a gateway's cache sees it: draws on their way to it, and whether it answers.

use std::rc::Rc;

use crate::{Millis, SILENT_AFTER};

/// While a holder is silent, it is asked this often.
pub(crate) const PROBE: Millis = 200.0;
/// A draw without an answer is given up after this long, unless the host gives it up before.
pub(crate) const GIVE_UP: Millis = 1000.0;
/// A draw on its way keeps its tenants from asking again; so few are needed.
const DRAWS_MOST: usize = 8;

#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) number: u64,
    pub(crate) at: Millis,
}

#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) name: Rc<str>,
    sent: Vec<Sent>,
    silent: bool,
    pub(crate) next_probe: Millis,
}

impl Source {
    pub(crate) fn new(name: &str) -> Self {
        Self { name: name.into(), sent: Vec::new(), silent: false, next_probe: 0.0 }
    }

    pub(crate) fn is_silent(&mut self, now: Millis) -> bool {
        self.silent |= self.sent.iter().any(|s| now >= s.at + SILENT_AFTER);
        self.silent
    }

    /// Whether it was silent when last looked at.
    pub(crate) fn was_silent(&self) -> bool {
        self.silent
    }

    pub(crate) fn may_be_asked(&mut self, now: Millis) -> bool {
        self.sent.len() < DRAWS_MOST && (!self.is_silent(now) || now >= self.next_probe)
    }

    pub(crate) fn asked(&mut self, now: Millis, number: u64) {
        self.sent.push(Sent { number, at: now });
        self.next_probe = now + PROBE;
    }

    /// Takes a draw off those on their way.
    pub(crate) fn take(&mut self, number: u64) -> Option<Sent> {
        let at = self.sent.iter().position(|s| s.number == number)?;
        Some(self.sent.swap_remove(at))
    }

    /// The numbers of the draws on their way.
    pub(crate) fn numbers(&self) -> impl Iterator<Item = u64> {
        self.sent.iter().map(|s| s.number)
    }

    /// It answered. A call that is late does not speak for it once a later one was answered.
    pub(crate) fn answered(&mut self) {
        self.silent = false;
    }

    pub(crate) fn falls_silent(&mut self, now: Millis) {
        self.silent = true;
        self.next_probe = self.next_probe.max(now + PROBE * 0.5);
    }

    /// The oldest draw that is to be given up.
    pub(crate) fn late(&self, now: Millis) -> Option<u64> {
        self.sent.iter().find(|s| now >= s.at + GIVE_UP).map(|s| s.number)
    }

    /// When it will count as silent, or a draw be given up.
    pub(crate) fn next_due(&self) -> Millis {
        let after = if self.silent { GIVE_UP } else { SILENT_AFTER };
        self.sent.iter().fold(f64::INFINITY, |due, s| due.min(s.at + after))
    }
}
