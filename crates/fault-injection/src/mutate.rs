//! Bytes that are nearly right, by seed: for readers of bytes that come from outside.

use crate::Random;

/// Pieces that readers of texts and lengths have stumbled over.
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
/// Changes of one text.
const MOST_CHANGES: usize = 6;
/// What is made is at most so many times as long as the longest one of the corpus.
const GROWTH: usize = 4;

/// A source of changed bytes.
#[derive(Clone, Debug)]
pub struct Mutator {
    random: Random,
    corpus: Vec<Vec<u8>>,
    longest: usize,
}

impl Mutator {
    /// One that changes what is right.
    pub fn new(seed: u64, corpus: impl IntoIterator<Item = Vec<u8>>) -> Self {
        let corpus: Vec<_> = corpus.into_iter().collect();
        let longest = GROWTH * corpus.iter().map(Vec::len).max().unwrap_or_default();
        Self { random: Random::new(seed, "mutate", 0), corpus, longest }
    }

    /// A part of something: where it begins and ends.
    fn part(&mut self, length: usize) -> (usize, usize) {
        let begin = self.random.below(length + 1);
        // Short ones more often than long ones.
        let share = self.random.unit().powi(3);
        (begin, begin + ((length - begin) as f64 * share) as usize)
    }

    /// The next one.
    pub fn next_input(&mut self) -> Vec<u8> {
        if self.corpus.is_empty() {
            return Vec::new();
        }
        let which = self.random.below(self.corpus.len());
        let mut bytes = self.corpus[which].clone();
        for _ in 0..=self.random.below(MOST_CHANGES) {
            let (begin, end) = self.part(bytes.len());
            match self.random.below(8) {
                0 if !bytes.is_empty() => {
                    let at = begin.min(bytes.len() - 1);
                    bytes[at] ^= 1 << self.random.below(8);
                }
                1 if !bytes.is_empty() => {
                    let at = begin.min(bytes.len() - 1);
                    bytes[at] = self.random.next_u64() as u8;
                }
                2 => drop(bytes.drain(begin..end)),
                3 => {
                    let again = bytes[begin..end].to_vec();
                    bytes.splice(end..end, again);
                }
                4 => bytes.truncate(end),
                5 => {
                    let other = self.random.below(self.corpus.len());
                    let (from, to) = self.part(self.corpus[other].len());
                    let piece = self.corpus[other][from..to].to_vec();
                    bytes.splice(begin..end, piece);
                }
                // Digits in a row are a number: another one.
                6 => {
                    let digit = |at: &usize| bytes.get(*at).is_some_and(u8::is_ascii_digit);
                    let first = (begin..bytes.len()).find(digit).unwrap_or(begin);
                    let last = (first..bytes.len()).find(|at| !digit(at)).unwrap_or(first);
                    bytes.splice(first..last, self.random.one_of(&TOKENS).to_vec());
                }
                _ => drop(bytes.splice(begin..begin, self.random.one_of(&TOKENS).to_vec())),
            }
            bytes.truncate(self.longest);
        }
        bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_changes_alike_and_most_are_changed() {
        let corpus = || [b"{\"a\": 12}".to_vec(), b"name = 'b'".to_vec()];
        let made = |seed| {
            let mut mutator = Mutator::new(seed, corpus());
            (0..1000).map(|_| mutator.next_input()).collect::<Vec<_>>()
        };
        assert_eq!(made(1), made(1));
        assert_ne!(made(1), made(2));
        assert!(made(1).iter().filter(|bytes| !corpus().contains(bytes)).count() > 900);
        assert!(made(1).iter().all(|bytes| bytes.len() <= 40));
    }
}
