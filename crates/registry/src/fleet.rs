//! The quays of the harbour.

use crate::Millis;
use std::collections::BTreeMap;

/// A quay of which nothing is heard may be cut off and spend its slices: it counts on for this long.
const COUNTS_ON: Millis = 30_000;
/// Machines are some hundreds; more names than this are somebody's fault.
const MOST: usize = 4096;

/// The quays that any process which serves control has heard.
#[derive(Debug, Default)]
pub struct Fleet {
    quays: BTreeMap<String, (u64, Millis)>,
}

impl Fleet {
    /// A quay was heard, here or by another process.
    pub fn heard(&mut self, now: Millis, name: &str, life: u64) {
        if let Some(known) = self.quays.get_mut(name) {
            *known = (life, now);
        } else if self.quays.len() < MOST {
            self.quays.insert(name.to_owned(), (life, now));
        }
    }

    /// A life of a quay said itself that it has ended: it spends nothing more.
    pub fn left(&mut self, name: &str, life: u64) {
        if self.quays.get(name).is_some_and(|(known, _)| *known == life) {
            self.quays.remove(name);
        }
    }

    /// Forgets those of which nothing was heard for long; whether any was.
    pub fn sweep(&mut self, now: Millis) -> bool {
        let before = self.quays.len();
        self.quays.retain(|_, (_, heard)| now < *heard + COUNTS_ON);
        self.quays.len() != before
    }

    /// How many there are.
    pub fn size(&self) -> u32 {
        self.quays.len() as u32
    }

    /// The place of one among all, by name.
    pub fn number(&self, name: &str) -> u32 {
        self.quays.keys().take_while(|other| other.as_str() < name).count() as u32
    }

    /// Their names and lives, by name.
    pub fn lives(&self) -> impl Iterator<Item = (&str, u64)> {
        self.quays.iter().map(|(name, (life, _))| (name.as_str(), *life))
    }

    /// Their names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.quays.keys().map(String::as_str)
    }
}
