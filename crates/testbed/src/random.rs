//! Random numbers from seeds, with a separate stream per use, so that one use does not change the numbers of another.

use fault_injection::Random;
use std::ops::{Deref, DerefMut};

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct SeededRandom(Random);

impl Deref for SeededRandom {
    type Target = Random;

    fn deref(&self) -> &Random {
        &self.0
    }
}

impl DerefMut for SeededRandom {
    fn deref_mut(&mut self) -> &mut Random {
        &mut self.0
    }
}

impl SeededRandom {
    /// Creates the stream of a use under a seed.
    pub fn new(seed: u64, stream: u64) -> Self {
        Self(Random::new(seed, "testbed", stream))
    }

    /// Draws an index with probabilities proportional to `shares`.
    pub fn weighted_index(&mut self, shares: impl Iterator<Item = f64> + Clone) -> usize {
        let mut remaining = self.unit() * shares.clone().sum::<f64>();
        let last = shares.clone().count().saturating_sub(1);
        for (index, share) in shares.enumerate() {
            remaining -= share;
            if remaining < 0.0 {
                return index;
            }
        }
        last
    }
}

/// Scrambles a number without collisions (the finalizer of splitmix64).
pub fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns a random seed, for delays that need not be reproducible.
pub fn random_seed() -> u64 {
    use std::hash::{BuildHasher as _, Hasher as _};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
