//! What one process holds of all others, and which words it still has to pass on.

use crate::Millis;
use crate::message::{Mark, State, Word};
use crate::ranks::{Ranked, mix};
use std::collections::{BTreeMap, VecDeque};

/// The view is compared in so many parts.
pub(crate) const PARTS: usize = 64;
/// Processes are some hundreds; more than this are somebody's fault.
const MOST: usize = 4096;
/// Whoever is dead or has left is remembered for this long, so that no old word brings it back.
pub(crate) const REMEMBERED: Millis = 60_000;

#[derive(Debug)]
pub(crate) struct Entry {
    pub word: Word,
    hash: u64,
    since: Millis,
    /// How often the word is still to be passed on.
    left: u32,
    queued: bool,
}

/// All that is held.
#[derive(Debug, Default)]
pub(crate) struct View {
    entries: BTreeMap<Mark, Entry>,
    queue: VecDeque<Mark>,
    parts: Vec<u64>,
    here: usize,
    /// Rises whenever somebody comes or goes.
    pub changes: u64,
    #[cfg(test)]
    pub takes_older: bool,
}

impl View {
    pub fn get(&self, mark: Mark) -> Option<&Word> {
        self.entries.get(&mark).map(|entry| &entry.word)
    }

    pub fn is_here(&self, mark: Mark) -> bool {
        self.get(mark).is_some_and(|word| word.state == State::Here)
    }

    /// How many are here, the own process included.
    pub fn here(&self) -> usize {
        self.here
    }

    pub fn words(&self) -> impl Iterator<Item = &Word> {
        self.entries.values().map(|entry| &entry.word)
    }

    /// Those that are here, for ranks.
    pub fn ranked(&self) -> Vec<Ranked> {
        let here = self.entries.values().filter(|entry| entry.word.state == State::Here);
        here.map(|entry| (entry.word.card.at, entry.hash)).collect()
    }

    /// Whether a word would change anything.
    pub fn is_news(&self, word: &Word) -> bool {
        match self.entries.get(&word.card.at) {
            #[cfg(test)]
            Some(entry) if self.takes_older => entry.word != *word,
            Some(entry) => word.rank() > entry.word.rank(),
            // Kept, such ends would be told round for ever: each would remember them anew. Where an older word of life
            // comes after, digests differ, and the end is told again.
            None => word.state == State::Here && self.entries.len() < MOST,
        }
    }

    /// Takes a word in; whether it changed anything.
    pub fn take(&mut self, word: Word, now: Millis) -> bool {
        if !self.is_news(&word) {
            return false;
        }
        let (mark, hash) = (word.card.at, word.card.at.hash());
        let old = self.entries.remove(&mark);
        let was = old.as_ref().is_some_and(|old| old.word.state == State::Here);
        if let Some(old) = &old {
            self.count(&old.word, hash, false);
        }
        self.count(&word, hash, true);
        let is = word.state == State::Here;
        self.here = self.here + usize::from(is) - usize::from(was);
        self.changes += u64::from(is != was);
        let left = rounds(self.here);
        let queued = old.is_some_and(|old| old.queued);
        if !queued {
            self.queue.push_front(mark);
        }
        self.entries.insert(mark, Entry { word, hash, since: now, left, queued: true });
        true
    }

    fn count(&mut self, word: &Word, hash: u64, add: bool) {
        if word.state != State::Here {
            return;
        }
        if self.parts.is_empty() {
            self.parts.resize(PARTS, 0);
        }
        let (incarnation, life, _) = word.rank();
        let digest = mix(hash ^ mix(life ^ u64::from(incarnation).rotate_left(32)));
        if let Some(part) = self.parts.get_mut(part_of(hash)) {
            *part = if add { part.wrapping_add(digest) } else { part.wrapping_sub(digest) };
        }
    }

    /// Of all that are here, their lives and incarnations: equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.parts.iter().fold(0, |sum, part| sum.wrapping_add(*part))
    }

    /// The same for each part.
    pub fn parts(&self) -> Vec<u32> {
        (0..PARTS).map(|part| self.parts.get(part).map_or(0, |digest| *digest as u32)).collect()
    }

    /// The words of all parts that differ, those about the dead included.
    pub fn differing(&self, parts: &[u32]) -> Vec<&Word> {
        let own = self.parts();
        let differs = |hash: u64| parts.get(part_of(hash)) != own.get(part_of(hash));
        self.entries.values().filter(|entry| differs(entry.hash)).map(|entry| &entry.word).collect()
    }

    /// The next words to pass on; each is passed on about the logarithm of the number of processes often.
    pub fn next_words(&mut self, most: usize) -> Vec<Word> {
        let mut words = Vec::new();
        for _ in 0..self.queue.len().min(most) {
            let Some(mark) = self.queue.pop_front() else { break };
            let Some(entry) = self.entries.get_mut(&mark) else { continue };
            entry.left = entry.left.saturating_sub(1);
            entry.queued = entry.left > 0;
            if entry.queued {
                self.queue.push_back(mark);
            }
            words.push(entry.word.clone());
        }
        words
    }

    /// Forgets those that ended long ago.
    pub fn sweep(&mut self, now: Millis) {
        self.entries.retain(|_, entry| entry.word.state == State::Here || now < entry.since + REMEMBERED);
    }

    /// Forgets everybody but one.
    pub fn forget_all_but(&mut self, own: Word, now: Millis) {
        let changes = self.changes + 1;
        #[cfg(test)]
        let takes_older = self.takes_older;
        *self = Self {
            changes,
            #[cfg(test)]
            takes_older,
            ..Self::default()
        };
        self.take(own, now);
    }
}

fn part_of(hash: u64) -> usize {
    (hash >> 58) as usize
}

/// How often a word is passed on among so many.
fn rounds(here: usize) -> u32 {
    3 + (here.max(2) as u64).ilog2()
}
