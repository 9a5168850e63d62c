//! A bounded buffer of the latest items.

use std::collections::VecDeque;

/// Keeps the latest `capacity` items and drops the oldest ones. An empty buffer allocates no memory.
#[derive(Debug)]
pub struct RingBuffer<T> {
    items: VecDeque<T>,
    capacity: usize,
    dropped: u64,
}

impl<T> RingBuffer<T> {
    /// An empty buffer.
    pub const fn new(capacity: usize) -> Self {
        Self { items: VecDeque::new(), capacity, dropped: 0 }
    }

    /// Appends an item, and drops the oldest one if the buffer is full.
    pub fn push(&mut self, item: T) {
        if self.items.len() >= self.capacity {
            self.items.pop_front();
            self.dropped += 1;
        }
        self.items.push_back(item);
    }

    /// The items, newest first.
    pub fn iter_newest_first(&self) -> impl Iterator<Item = &T> {
        self.items.iter().rev()
    }

    /// Number of items dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_oldest_item_is_dropped_when_full() {
        let mut ring = RingBuffer::new(3);
        (0..5).for_each(|n| ring.push(n));
        assert_eq!(
            (ring.iter_newest_first().copied().collect::<Vec<_>>(), ring.dropped()),
            (vec![4, 3, 2], 2)
        );
    }
}
