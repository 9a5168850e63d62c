//! Chance: one portable stream for each use, named by the day's seed, a label and a number, so that what is drawn
//! for one thing does not move when another is drawn more or less often.

use crate::Span;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp1, StandardNormal};
use sha2::{Digest as _, Sha256};

/// A stream of chance.
#[derive(Clone, Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// The stream of this name and number under this seed.
    pub fn new(seed: u64, label: &str, number: u64) -> Self {
        let sum = Sha256::new()
            .chain_update(seed.to_le_bytes())
            .chain_update(number.to_le_bytes())
            .chain_update(label)
            .finalize();
        let mut bytes = [0; 32];
        bytes.copy_from_slice(&sum);
        Self(ChaCha8Rng::from_seed(bytes))
    }

    /// Evenly from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Any number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }

    /// Evenly from a range.
    pub fn within(&mut self, span: Span) -> f64 {
        span.min + (span.max - span.min) * self.unit()
    }

    /// A whole number from a range, both ends included.
    pub fn integer_within(&mut self, span: Span) -> usize {
        let count = (span.max.floor() - span.min.ceil()).max(0.0) + 1.0;
        (span.min.ceil() + (self.unit() * count).floor()) as usize
    }

    /// A number below a bound; 0 where there is none.
    pub fn below(&mut self, bound: usize) -> usize {
        ((self.unit() * bound as f64) as usize).min(bound.saturating_sub(1))
    }

    /// Whether something of this chance happens.
    pub fn happens(&mut self, chance: f64) -> bool {
        self.unit() < chance
    }

    /// Exponential, of mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Lognormal, of mean 1 and this deviation.
    pub fn lognormal(&mut self, deviation: f64) -> f64 {
        let variance = (1.0 + deviation * deviation).ln();
        let normal: f64 = StandardNormal.sample(&mut self.0);
        (normal * variance.sqrt() - variance / 2.0).exp()
    }

    /// One of several.
    pub fn one_of<'a, T>(&mut self, of: &'a [T]) -> &'a T {
        &of[self.below(of.len())]
    }
}
