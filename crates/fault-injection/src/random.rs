//! Seeded random numbers that are the same on all machines. Each use has a generator of its own, derived from the seed
//! of the run, a label and an index, so that more or fewer draws for one use do not change the draws for another use.

use crate::Span;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp1, StandardNormal};
use sha2::{Digest as _, Sha256};

/// Portable random number generator.
#[derive(Clone, Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// Creates the generator for a label and an index under a seed.
    pub fn new(seed: u64, label: &str, index: u64) -> Self {
        let digest = Sha256::new()
            .chain_update(seed.to_le_bytes())
            .chain_update(index.to_le_bytes())
            .chain_update(label)
            .finalize();
        let mut bytes = [0; 32];
        bytes.copy_from_slice(&digest);
        Self(ChaCha8Rng::from_seed(bytes))
    }

    /// Uniform value in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Uniform 64-bit integer.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }

    /// Uniform value in a range.
    pub fn within(&mut self, span: Span) -> f64 {
        span.min + (span.max - span.min) * self.unit()
    }

    /// Uniform integer in a range, including both ends.
    pub fn integer_within(&mut self, span: Span) -> usize {
        let count = (span.max.floor() - span.min.ceil()).max(0.0) + 1.0;
        (span.min.ceil() + (self.unit() * count).floor()) as usize
    }

    /// Uniform integer in [0, `bound`); 0 when `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((self.unit() * bound as f64) as usize).min(bound.saturating_sub(1))
    }

    /// Returns true with the given probability.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Exponentially distributed value with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Lognormally distributed value with mean 1 and the given standard deviation.
    pub fn lognormal(&mut self, deviation: f64) -> f64 {
        let variance = (1.0 + deviation * deviation).ln();
        let normal: f64 = StandardNormal.sample(&mut self.0);
        (normal * variance.sqrt() - variance / 2.0).exp()
    }

    /// Uniformly chosen element of `items`.
    ///
    /// # Panics
    /// Panics when `items` is empty.
    pub fn one_of<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.below(items.len())]
    }
}
