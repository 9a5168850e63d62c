//! The shared counter: parts that serve calls in turn, so many a second, and turn calls away when their line is
//! long. A call that nobody waits for any more is worked on all the same, and counts.

use crate::draw::{Counting, Micros, mix};
use std::collections::HashMap;

/// Where a call stands after it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is served at this time.
    At(Micros),
    /// The line is too long: nothing is added.
    Away,
}

/// The counter.
#[derive(Debug)]
pub struct Counter {
    parts: Vec<f64>,
    numbers: HashMap<u64, (f64, Micros)>,
    /// Raised when all numbers are lost: calls that were under way then are answered no more.
    pub life: u32,
    /// Whether it answers.
    pub up: bool,
    /// Its zone.
    pub zone: usize,
}

impl Counter {
    /// An empty counter.
    pub fn new(figures: &Counting) -> Self {
        Self {
            parts: vec![0.0; figures.parts],
            numbers: HashMap::new(),
            life: 0,
            up: true,
            zone: figures.zone,
        }
    }

    /// A call arrives and takes its place in the line of its part.
    pub fn arrive(&mut self, now: Micros, name: u64, figures: &Counting) -> Turn {
        let part = &mut self.parts[(mix(name) % figures.parts as u64) as usize];
        let begins = part.max(now as f64);
        if begins - now as f64 > figures.line {
            return Turn::Away;
        }
        *part = begins + figures.turn;
        Turn::At((begins + figures.turn + figures.base).round() as Micros)
    }

    /// A call's turn has come.
    pub fn add(&mut self, now: Micros, name: u64, amount: f64, keep: Micros) -> f64 {
        let (value, until) = self.numbers.entry(name).or_insert((0.0, now + keep));
        if *until <= now {
            (*value, *until) = (0.0, now + keep);
        }
        *value += amount;
        *value
    }

    /// All numbers are lost.
    pub fn lose_all(&mut self) {
        self.numbers.clear();
        self.life += 1;
    }
}
