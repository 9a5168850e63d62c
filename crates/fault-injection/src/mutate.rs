//! Seeded mutations of valid inputs, for tests of parsers of untrusted bytes.

use crate::Random;

/// Byte sequences that are known to break parsers of text and lengths.
const TOKENS: [&[u8]; 24] = [
    b"",
    b"0",
    b"-1",
    b"1e999",
    b"18446744073709551616",
    b"9007199254740993",
    b"null",
    b"[]",
    b"{}",
    b"\"\"",
    b"\"",
    b"\\",
    b"\\ud800",
    b"\0",
    b"\xff\xfe",
    b"\xff\xff\xff\xff",
    b"\x7f\xff\xff\xff",
    b"\r\n\r\n",
    b"[[[[[[[[[[[[[[[[",
    b"{\"a\":{\"a\":{\"a\":",
    b"'''",
    b"=",
    b"nan",
    b"r18446744073709551615",
];
/// Maximum number of mutations of one input.
const MAX_MUTATIONS: usize = 6;
/// Maximum length of a mutated input, as a multiple of the longest input of the corpus.
const MAX_GROWTH_FACTOR: usize = 4;

/// Generator of mutated inputs.
#[derive(Clone, Debug)]
pub struct Mutator {
    random: Random,
    corpus: Vec<Vec<u8>>,
    max_length: usize,
}

impl Mutator {
    /// Creates a mutator of the valid inputs in `corpus`.
    pub fn new(seed: u64, corpus: impl IntoIterator<Item = Vec<u8>>) -> Self {
        let corpus: Vec<_> = corpus.into_iter().collect();
        let max_length = MAX_GROWTH_FACTOR * corpus.iter().map(Vec::len).max().unwrap_or_default();
        Self { random: Random::new(seed, "mutate", 0), corpus, max_length }
    }

    /// Draws a range within a sequence of the given length and returns its start and end.
    fn random_range(&mut self, length: usize) -> (usize, usize) {
        let begin = self.random.below(length + 1);
        // The cube makes short ranges more frequent than long ranges.
        let share = self.random.unit().powi(3);
        (begin, begin + ((length - begin) as f64 * share) as usize)
    }

    /// Returns the next mutated input; empty when the corpus is empty.
    pub fn next_input(&mut self) -> Vec<u8> {
        if self.corpus.is_empty() {
            return Vec::new();
        }
        let index = self.random.below(self.corpus.len());
        let mut bytes = self.corpus[index].clone();
        for _ in 0..=self.random.below(MAX_MUTATIONS) {
            let (begin, end) = self.random_range(bytes.len());
            match self.random.below(8) {
                0 if !bytes.is_empty() => {
                    let position = begin.min(bytes.len() - 1);
                    bytes[position] ^= 1 << self.random.below(8);
                }
                1 if !bytes.is_empty() => {
                    let position = begin.min(bytes.len() - 1);
                    bytes[position] = self.random.next_u64() as u8;
                }
                2 => drop(bytes.drain(begin..end)),
                3 => {
                    let copy = bytes[begin..end].to_vec();
                    bytes.splice(end..end, copy);
                }
                4 => bytes.truncate(end),
                5 => {
                    let other = self.random.below(self.corpus.len());
                    let (from, to) = self.random_range(self.corpus[other].len());
                    let piece = self.corpus[other][from..to].to_vec();
                    bytes.splice(begin..end, piece);
                }
                // Replaces a run of digits, that is, a number.
                6 => {
                    let is_digit_at = |index: &usize| bytes.get(*index).is_some_and(u8::is_ascii_digit);
                    let first = (begin..bytes.len()).find(is_digit_at).unwrap_or(begin);
                    let last = (first..bytes.len()).find(|index| !is_digit_at(index)).unwrap_or(first);
                    bytes.splice(first..last, self.random.one_of(&TOKENS).to_vec());
                }
                _ => drop(bytes.splice(begin..begin, self.random.one_of(&TOKENS).to_vec())),
            }
            bytes.truncate(self.max_length);
        }
        bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn equal_seeds_yield_equal_inputs_and_most_inputs_are_mutated() {
        let corpus = || [b"{\"a\": 12}".to_vec(), b"name = 'b'".to_vec()];
        let inputs = |seed| {
            let mut mutator = Mutator::new(seed, corpus());
            (0..1000).map(|_| mutator.next_input()).collect::<Vec<_>>()
        };
        assert_eq!(inputs(1), inputs(1));
        assert_ne!(inputs(1), inputs(2));
        assert!(inputs(1).iter().filter(|bytes| !corpus().contains(bytes)).count() > 900);
        assert!(inputs(1).iter().all(|bytes| bytes.len() <= 40));
    }
}
