//! The backends, each life of them once.

use crate::Millis;
use protocol::{Backend, Phase};
use std::collections::BTreeMap;

/// After so many beats missed a backend is overdue: one may be lost, a second one sent to a gateway that is gone.
const MISSED: Millis = 3;
/// A beat may be on its way, tried at one gateway after another, for this long.
const ON_THE_WAY: Millis = 800;
/// After so long without a word a life counts as over, so that tables stay bounded.
const OVER: Millis = 60_000;
/// A life that is over is remembered for this long: a late beat of it must not bring it back.
const REMEMBERED: Millis = 60_000;
/// More lives than this at a time are not taken in.
const MOST: usize = 20_000;

struct Registration {
    berth: Backend,
    /// When it was last heard, here or elsewhere.
    heard: Millis,
    /// When the word that is kept was said: its warm-up counts from then.
    said: Millis,
    /// Whether it was heard here since the last round to others.
    news: bool,
}

/// What became of a word about a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It changes what requests may be sent: all should know.
    Changed(Vec<Backend>),
    /// Nothing but that it lives.
    Alive,
    /// It is older than what is known, or the table is full.
    Ignored,
}

/// All lives of backends that are known.
pub struct Register {
    moorings: BTreeMap<String, Registration>,
    overdue_after: Millis,
}

impl Register {
    /// An empty register of backends that beat this often.
    pub fn new(beat_interval: Millis) -> Self {
        Self { moorings: BTreeMap::new(), overdue_after: beat_interval * MISSED + ON_THE_WAY }
    }

    /// A beat came here.
    pub fn beat(&mut self, now: Millis, berth: Backend) -> Judgement {
        let judgement = self.merge(now, berth, true);
        match judgement {
            changed if changed.is_empty() => Judgement::Alive,
            changed => Judgement::Changed(changed),
        }
    }

    /// A backend says that it ends. One that nobody knows has ended all the same: a late beat must not bring it up.
    pub fn departed(&mut self, now: Millis, id: &str) -> Judgement {
        let Some(mooring) = self.moorings.get_mut(id) else { return Judgement::Ignored };
        mooring.heard = now;
        if mooring.berth.phase == Phase::Gone {
            return Judgement::Alive;
        }
        mooring.berth.phase = Phase::Gone;
        Judgement::Changed(vec![mooring.berth.clone()])
    }

    /// Words of another process; gives what they change.
    pub fn hear(&mut self, now: Millis, berths: Vec<Backend>) -> Vec<Backend> {
        berths.into_iter().flat_map(|berth| self.merge(now, berth, false)).collect()
    }

    /// Another process has heard these since its last round; gives those that were overdue here.
    pub fn alive(&mut self, now: Millis, heard: &[(String, u64)]) -> Vec<Backend> {
        let mut back = Vec::new();
        for (id, calls) in heard {
            let Some(mooring) = self.moorings.get_mut(id) else { continue };
            if *calls > mooring.berth.call_count {
                mooring.berth.call_count = *calls;
                mooring.heard = now;
                if std::mem::take(&mut mooring.berth.overdue) {
                    back.push(mooring.shown(now));
                }
            }
        }
        back
    }

    /// Those that were heard here since the last round, for the other processes.
    pub fn round(&mut self) -> Vec<(String, u64)> {
        let heard = |(id, m): (&String, &mut Registration)| {
            std::mem::take(&mut m.news).then(|| (id.clone(), m.berth.call_count))
        };
        self.moorings.iter_mut().filter_map(heard).collect()
    }

    /// Marks those whose beats are missed, and ends and forgets old lives; gives what changed.
    pub fn sweep(&mut self, now: Millis) -> Vec<Backend> {
        let mut changed = Vec::new();
        self.moorings.retain(|_, mooring| {
            let silent = now.saturating_sub(mooring.heard);
            if mooring.berth.phase == Phase::Gone {
                return silent < REMEMBERED;
            }
            if silent >= OVER {
                mooring.berth.phase = Phase::Gone;
                mooring.heard = now;
                changed.push(mooring.shown(now));
            } else if silent >= self.overdue_after && !mooring.berth.overdue {
                mooring.berth.overdue = true;
                changed.push(mooring.shown(now));
            }
            true
        });
        changed
    }

    /// All lives that are not over, as they stand now.
    pub fn all(&self, now: Millis) -> Vec<Backend> {
        self.moorings.values().filter(|m| m.berth.phase != Phase::Gone).map(|m| m.shown(now)).collect()
    }

    /// All lives, those that are over too: another process has to learn of these as well.
    pub fn everything(&self, now: Millis) -> Vec<Backend> {
        self.moorings.values().map(|m| m.shown(now)).collect()
    }

    fn merge(&mut self, now: Millis, mut berth: Backend, here: bool) -> Vec<Backend> {
        let mut changed = Vec::new();
        berth.overdue = false;
        let full = self.moorings.len() >= MOST;
        match self.moorings.get_mut(&berth.id) {
            None if full => return changed,
            None => {
                changed.extend(self.evict(now, &berth));
                changed.push(berth.clone());
                let mooring = Registration { heard: now, said: now, news: here, berth: berth.clone() };
                self.moorings.insert(berth.id, mooring);
            }
            Some(known) => {
                let old = known.berth.clone();
                let phase = old.phase.max(berth.phase);
                if berth.call_count > old.call_count {
                    (known.heard, known.said) = (now, now);
                    known.news |= here;
                    known.berth = berth;
                }
                known.berth.phase = phase;
                let plain = |b: &Backend| Backend { call_count: 0, warmup_left_ms: 0, ..b.clone() };
                if plain(&known.berth) != plain(&old) {
                    changed.push(known.shown(now));
                }
            }
        }
        changed
    }

    /// A new life at an address: whatever was there before has ended, said so or not. Addresses are used again only
    /// after seconds, so one heard just now is not the older one: the newcomer is a late word then.
    fn evict(&mut self, now: Millis, newcomer: &Backend) -> Vec<Backend> {
        if newcomer.phase == Phase::Gone {
            return Vec::new();
        }
        let mut ended = Vec::new();
        for mooring in self.moorings.values_mut() {
            let silent = now.saturating_sub(mooring.heard);
            let same = mooring.berth.address == newcomer.address && mooring.berth.phase != Phase::Gone;
            if same && silent >= self.overdue_after / MISSED {
                mooring.berth.phase = Phase::Gone;
                mooring.heard = now;
                ended.push(mooring.berth.clone());
            }
        }
        ended
    }
}

impl Registration {
    fn shown(&self, now: Millis) -> Backend {
        let since = now.saturating_sub(self.said).min(u64::from(u32::MAX)) as u32;
        let warmup_left_ms = self.berth.warmup_left_ms.saturating_sub(since);
        Backend { warmup_left_ms, ..self.berth.clone() }
    }
}
