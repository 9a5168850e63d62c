//! The shared counter. Its partitions serve calls in turn at a fixed rate and reject calls when their queue is too
//! long. A call whose caller has given up is still served and still adds its amount.

use crate::draw::{Counting, Micros, mix};
use std::collections::HashMap;

/// The counter's response to an arriving call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAdmission {
    /// The call will be served at this time.
    At(Micros),
    /// The queue is too long: the call is rejected and nothing is added.
    Rejected,
}

/// The shared counter.
#[derive(Debug)]
pub struct Counter {
    parts: Vec<f64>,
    values: HashMap<u64, (f64, Micros)>,
    /// Incremented when all values are lost: calls in flight from before the loss get no answer.
    pub incarnation: u32,
    /// Whether the counter answers.
    pub up: bool,
    /// The zone in which the counter runs.
    pub zone: usize,
}

impl Counter {
    /// Creates an empty counter.
    pub fn new(model: &Counting) -> Self {
        Self {
            parts: vec![0.0; model.parts],
            values: HashMap::new(),
            incarnation: 0,
            up: true,
            zone: model.zone,
        }
    }

    /// Enqueues an arriving call at its partition.
    pub fn enqueue(&mut self, now: Micros, name: u64, model: &Counting) -> CallAdmission {
        let busy_until = &mut self.parts[(mix(name) % model.parts as u64) as usize];
        let starts_at = busy_until.max(now as f64);
        if starts_at - now as f64 > model.line {
            return CallAdmission::Rejected;
        }
        *busy_until = starts_at + model.turn;
        CallAdmission::At((starts_at + model.turn + model.base).round() as Micros)
    }

    /// Serves a call: adds its amount and returns the new total.
    pub fn add(&mut self, now: Micros, name: u64, amount: f64, ttl: Micros) -> f64 {
        let (value, expires_at) = self.values.entry(name).or_insert((0.0, now + ttl));
        if *expires_at <= now {
            (*value, *expires_at) = (0.0, now + ttl);
        }
        *value += amount;
        *value
    }

    /// Drops all values.
    pub fn drop_all(&mut self) {
        self.values.clear();
        self.incarnation += 1;
    }
}
