//! The last things of a kind.

use std::collections::VecDeque;

/// Keeps so many; the oldest goes when another one comes. An empty one takes no memory.
#[derive(Debug)]
pub struct Ring<T> {
    kept: VecDeque<T>,
    most: usize,
    dropped: u64,
}

impl<T> Ring<T> {
    /// An empty ring.
    pub const fn new(most: usize) -> Self {
        Self { kept: VecDeque::new(), most, dropped: 0 }
    }

    /// Takes one more.
    pub fn push(&mut self, one: T) {
        if self.kept.len() >= self.most {
            self.kept.pop_front();
            self.dropped += 1;
        }
        self.kept.push_back(one);
    }

    /// All that are kept, the newest first.
    pub fn newest(&self) -> impl Iterator<Item = &T> {
        self.kept.iter().rev()
    }

    /// How many went to make room for others.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_oldest_makes_room() {
        let mut ring = Ring::new(3);
        (0..5).for_each(|n| ring.push(n));
        assert_eq!((ring.newest().copied().collect::<Vec<_>>(), ring.dropped()), (vec![4, 3, 2], 2));
    }
}
