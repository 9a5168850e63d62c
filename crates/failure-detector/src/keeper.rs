//! The watch of one process: whom it pings, whom it doubts, whom it holds dead.

use crate::message::{About, Card, Kind, Mark, Message, State, Word};
use crate::ranks::{mix, watched, watchers};
use crate::view::{PARTS, REMEMBERED, View};
use crate::{Millis, WATCHERS};
use std::collections::BTreeMap;

/// How often things are looked after.
const STEP: Millis = 250;
/// Each of those watched is pinged this often.
const PERIOD: Millis = 500;
/// Who has not answered for so long, and so many pings, is doubted.
const SILENT: Millis = 1500;
const UNANSWERED: u32 = 3;
/// A process that has been asked to look at one that it does not watch asks at each step, and judges sooner.
const SILENT_DEPUTY: Millis = 700;
/// ... and stops when nobody has doubted for this long.
const DEPUTY: Millis = 3000;
/// A doubt that was not said again within this is over; a vouch weighs for longer, for it may have been lost on its way
/// when it was said again.
const DOUBT_HOLDS: Millis = 1200;
const VOUCH_HOLDS: Millis = 2000;
/// Who was heard within this is vouched for.
const VOUCHED: Millis = 1000;
/// Who has heard nobody at all for this long doubts itself, and nobody else.
const ISOLATED: Millis = 1000;
/// A step that comes so much late has slept through what the others said: it proves nothing about them.
const LATE: Millis = 700;
/// Who has slept for very long listens to nothing for this long: what waited for it is read in that time.
const DEAF: Millis = 500;
/// Doubts so many at least are needed, while there can be so many.
const WITNESSES: usize = 2;
/// A doubt is put to so many at most, once those that watch say nothing.
const JURY: usize = 4 * WATCHERS;
/// So many are watched at once, those included that others doubt; rendezvous hashing names about [`WATCHERS`].
const CHARGES: usize = 64;
/// A datagram holds so many words, doubts and vouches of each; about 1,000 bytes.
const BATCH: usize = 24;
/// One question after the differences of two views is answered with so many datagrams.
const ANSWERS: usize = 6;
/// So many such questions are answered in one period.
const ANSWERED: u32 = 4;
/// Views are compared no more often than this.
const COMPARED: Millis = 750;
/// Seeds that are not known to be here are asked one at a time, this often; so is one of the dead, and one at random.
const STRAY: Millis = 1000;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Where to.
    pub to: Mark,
    /// What.
    pub message: Message,
}

/// How a process stands, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether it hears nobody, and so judges nobody.
    pub isolated: bool,
    /// How many it holds to be here, itself included.
    pub here: usize,
    /// Names of those that it watches, the time since each was heard, and whether it is doubted.
    pub watched: Vec<(String, Millis, bool)>,
}

/// What is known of one that is watched.
#[derive(Debug)]
struct Charge {
    heard: Millis,
    unanswered: u32,
    next: Millis,
    /// Since when it is doubted.
    doubted: Option<Millis>,
    /// Watched only since others doubt, and until they have not for long.
    deputy: bool,
    asked: Millis,
}

/// What others say of one.
#[derive(Debug, Default)]
struct Case {
    doubts: BTreeMap<Mark, (About, Millis)>,
    vouches: BTreeMap<Mark, (About, Millis)>,
}

/// The watch of one process.
#[derive(Debug)]
pub struct Keeper {
    me: Word,
    view: View,
    seeds: Vec<Mark>,
    charges: BTreeMap<Mark, Charge>,
    cases: BTreeMap<Mark, Case>,
    /// The change of the view for which the charges were named.
    named: Option<u64>,
    began: Millis,
    stepped: Millis,
    heard: Millis,
    in_contact: Option<Millis>,
    drifting: Option<Millis>,
    strayed: Millis,
    /// Datagrams are not listened to before.
    deaf_until: Millis,
    agreed: Millis,
    /// When a word last changed anything here.
    changed: Millis,
    compared: Millis,
    answered: u32,
    random: u64,
    out: Vec<Sent>,
    #[cfg(test)]
    pub(crate) planted: crate::world::Planted,
}

impl Keeper {
    /// A process that knows nobody but some seeds; `seed` is drawn for this life.
    pub fn new(card: Card, seeds: Vec<Mark>, seed: u64, now: Millis) -> Self {
        let me = Word { card, incarnation: 0, state: State::Here };
        let mut view = View::default();
        view.take(me.clone(), now);
        // Steps of processes that start together are spread.
        let began = now.saturating_sub(mix(seed) % STEP);
        Self {
            me,
            view,
            seeds,
            charges: BTreeMap::new(),
            cases: BTreeMap::new(),
            named: None,
            began,
            stepped: began,
            heard: now,
            in_contact: None,
            drifting: None,
            strayed: 0,
            deaf_until: 0,
            agreed: now,
            changed: now,
            compared: 0,
            answered: 0,
            random: seed,
            out: Vec::new(),
            #[cfg(test)]
            planted: crate::world::Planted::default(),
        }
    }

    /// When [`Keeper::step`] is to be called at the latest.
    pub fn next_due(&self) -> Millis {
        self.stepped + STEP
    }

    /// What is held of all processes, the own one and those that ended lately included.
    pub fn words(&self) -> impl Iterator<Item = &Word> {
        self.view.words()
    }

    /// Rises whenever somebody comes or goes.
    pub fn changes(&self) -> u64 {
        self.view.changes
    }

    /// A digest of who is here: equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.view.digest()
    }

    /// Whether this process hears nobody, and so judges nobody.
    pub fn is_isolated(&self) -> bool {
        self.drifting.is_some()
    }

    /// How it stands, for operators.
    pub fn standing(&self, now: Millis) -> Standing {
        let charges = self.charges.iter().filter(|(_, charge)| !charge.deputy);
        let watched = charges.filter_map(|(mark, charge)| {
            let name = self.view.get(*mark)?.card.name.clone();
            Some((name, now.saturating_sub(charge.heard), self.doubts(charge, now)))
        });
        Standing { isolated: self.is_isolated(), here: self.view.here(), watched: watched.collect() }
    }

    /// The settings name other seeds.
    pub fn seeds(&mut self, seeds: Vec<Mark>) {
        self.seeds = seeds;
    }

    /// The host has heard another machine by other means: a process that is the last of two may judge then.
    pub fn in_contact(&mut self, now: Millis) {
        self.in_contact = Some(now);
    }

    /// The process ends: says so to those that watch it and those it watches.
    pub fn leave(&mut self, now: Millis, out: &mut Vec<Sent>) {
        self.me.state = State::Left;
        let mut to = self.watchers(self.me.card.at, WATCHERS);
        to.extend(self.charges.keys());
        to.sort_unstable();
        to.dedup();
        self.view.take(self.me.clone(), now);
        for to in to {
            self.send(to, Kind::Note);
        }
        out.append(&mut self.out);
    }

    /// Time has passed.
    pub fn step(&mut self, now: Millis, out: &mut Vec<Sent>) {
        self.wake(now);
        if now < self.stepped + STEP {
            return;
        }
        // Steps keep their phase, as far as the host does.
        self.stepped = now - (now - self.began) % STEP;
        self.answered = 0;
        self.view.sweep(now);
        self.name_charges(now);
        self.look_out(now);
        self.ping(now);
        self.stray(now);
        if self.drifting.is_none() {
            self.judge(now);
        }
        out.append(&mut self.out);
    }

    /// A step that comes late, and a datagram that waited through it, find a process that has slept.
    fn wake(&mut self, now: Millis) {
        #[cfg(test)]
        if self.planted.blames_when_late {
            return;
        }
        let late = now.saturating_sub(self.stepped);
        if late > STEP + LATE {
            self.stepped = now.saturating_sub(STEP);
            self.restart(now);
            if late > REMEMBERED / 2 {
                self.forget(now);
                // What waited in the socket is as old.
                self.deaf_until = now + DEAF;
            }
        }
    }

    /// All silences begin anew.
    fn restart(&mut self, now: Millis) {
        self.heard = now;
        self.cases.clear();
        for charge in self.charges.values_mut() {
            (charge.heard, charge.unanswered, charge.next) = (unheard(now), 0, now);
            charge.doubted = None;
        }
    }

    /// What is held is as old as what others have forgotten: it would bring back the dead.
    fn forget(&mut self, now: Millis) {
        self.view.forget_all_but(self.me.clone(), now);
        self.charges.clear();
        self.cases.clear();
    }

    fn look_out(&mut self, now: Millis) {
        let silent = now > self.heard + ISOLATED && self.view.here() > 1;
        let in_contact = self.view.here() == 2 && self.in_contact.is_some_and(|at| now < at + ISOLATED);
        match self.drifting {
            None if silent && !in_contact => self.drifting = Some(now),
            Some(since) if !silent => {
                self.drifting = None;
                self.restart(now);
                if now > since + REMEMBERED / 2 {
                    self.forget(now);
                }
            }
            _ => {}
        }
    }

    fn name_charges(&mut self, now: Millis) {
        if self.named == Some(self.view.changes) {
            return;
        }
        self.named = Some(self.view.changes);
        let me = self.me.card.at;
        let named = watched(&self.view.ranked(), (me, me.hash()), WATCHERS);
        let view = &self.view;
        self.charges.retain(|mark, charge| {
            charge.deputy |= named.binary_search(mark).is_err();
            view.is_here(*mark)
        });
        self.cases.retain(|mark, _| view.is_here(*mark));
        for mark in named {
            let fresh = || Charge {
                heard: unheard(now),
                unanswered: 0,
                next: now,
                doubted: None,
                deputy: false,
                asked: 0,
            };
            self.charges.entry(mark).or_insert_with(fresh).deputy = false;
        }
    }

    fn ping(&mut self, now: Millis) {
        let cases = &self.cases;
        self.charges.retain(|mark, charge| {
            let doubted = || cases.get(mark).is_some_and(|case| !case.doubts.is_empty());
            !charge.deputy || now < charge.asked + DEPUTY || doubted()
        });
        let mut due = Vec::new();
        for (mark, charge) in &mut self.charges {
            if now >= charge.next {
                charge.unanswered += 1;
                let hurry = charge.deputy || charge.unanswered > 1;
                charge.next = now + if hurry { STEP } else { PERIOD };
                due.push(*mark);
            }
        }
        for to in due {
            self.send(to, Kind::Ping);
        }
    }

    /// Pings beyond the watch: seeds while they are not known, the dead, whom a cut may have hidden, and anybody. They
    /// join what was apart, and let a process whose neighbours are all dead hear somebody.
    fn stray(&mut self, now: Millis) {
        let often = if self.drifting.is_some() || self.view.here() == 1 { PERIOD } else { STRAY };
        if now < self.strayed + often {
            return;
        }
        self.strayed = now;
        let me = self.me.card.at;
        let unknown: Vec<_> =
            self.seeds.iter().copied().filter(|seed| *seed != me && !self.view.is_here(*seed)).collect();
        let dead: Vec<_> =
            self.view.words().filter(|word| word.state == State::Dead).map(|word| word.card.at).collect();
        let here = self.view.words().filter(|word| word.state == State::Here && word.card.at != me);
        let here: Vec<_> = here.map(|word| word.card.at).collect();
        let mut to = vec![self.pick(&unknown), self.pick(&dead), self.pick(&here)];
        if self.drifting.is_some() {
            to.extend([self.pick(&here), self.pick(&here)]);
        }
        to.sort_unstable();
        to.dedup();
        for to in to.into_iter().flatten() {
            if !self.charges.contains_key(&to) {
                self.send(to, Kind::Ping);
            }
        }
    }

    fn pick(&mut self, among: &[Mark]) -> Option<Mark> {
        self.random = mix(self.random);
        among.get((self.random % among.len().max(1) as u64) as usize).copied()
    }

    fn doubts(&self, charge: &Charge, now: Millis) -> bool {
        let silent = if charge.deputy { SILENT_DEPUTY } else { SILENT };
        #[cfg(test)]
        if self.planted.blames_when_late {
            return now >= charge.heard + silent;
        }
        // The newest ping has had no time yet.
        charge.unanswered > UNANSWERED && now >= charge.heard + silent
    }

    /// Says its doubts to the others that watch, vouches for those it hears, and pronounces the deaths it has proof of.
    fn judge(&mut self, now: Millis) {
        let me = self.me.card.at;
        let doubted: Vec<Mark> =
            self.charges.iter().filter(|(_, c)| self.doubts(c, now)).map(|(mark, _)| *mark).collect();
        for case in self.cases.values_mut() {
            case.doubts.retain(|_, (_, at)| now < *at + DOUBT_HOLDS);
            case.vouches.retain(|_, (_, at)| now < *at + VOUCH_HOLDS);
        }
        self.cases.retain(|_, case| !case.doubts.is_empty() || !case.vouches.is_empty());
        let mut said: BTreeMap<Mark, Vec<About>> = BTreeMap::new();
        for mark in doubted {
            let Some(about) = self.view.get(mark).map(Word::about) else { continue };
            let case = self.cases.entry(mark).or_default();
            case.doubts.insert(me, (about, now));
            let proven = self.is_proven(mark);
            let Some(charge) = self.charges.get_mut(&mark) else { continue };
            // Those that watch it have been asked, and could have vouched; and two more pings have gone out.
            let since = *charge.doubted.get_or_insert(now);
            if proven && !charge.deputy && now >= since + PERIOD {
                self.pronounce(mark, now);
                continue;
            }
            let deputy = charge.deputy;
            let case = self.cases.entry(mark).or_default();
            if !deputy {
                // Those that watch it may be dead themselves: where they are silent others are asked.
                let more = if case.vouches.is_empty() { ((now - since) / STEP) as usize } else { 0 };
                let reach = (WATCHERS + more * WATCHERS).min(JURY);
                for to in self.watchers(mark, reach).into_iter().filter(|to| *to != me) {
                    said.entry(to).or_default().push(about);
                }
            } else {
                for to in case.doubts.keys().copied().filter(|to| *to != me) {
                    said.entry(to).or_default().push(about);
                }
            }
        }
        for (to, doubts) in said {
            for batch in doubts.chunks(BATCH) {
                let mut message = self.message(Kind::Note);
                message.doubts = batch.to_vec();
                self.out.push(Sent { to, message });
            }
        }
    }

    /// Whether the doubts that this process has heard, its own among them, are proof: a vouch outweighs them all.
    fn is_proven(&self, mark: Mark) -> bool {
        let (Some(word), Some(case)) = (self.view.get(mark), self.cases.get(&mark)) else { return false };
        let about = word.about();
        let count = |words: &BTreeMap<Mark, (About, Millis)>| {
            words.iter().filter(|(by, (of, _))| *of == about && self.view.is_here(**by)).count()
        };
        // All but the one that is judged.
        let can_be = self.view.here().saturating_sub(1);
        let doubts = count(&case.doubts);
        #[cfg(test)]
        if self.planted.one_witness {
            return doubts > 0;
        }
        // Whoever answers anybody is alive.
        doubts >= WITNESSES.min(can_be) && count(&case.vouches) == 0
    }

    fn pronounce(&mut self, mark: Mark, now: Millis) {
        let Some(word) = self.view.get(mark) else { return };
        let dead = Word { state: State::Dead, ..word.clone() };
        self.view.take(dead, now);
        self.charges.remove(&mark);
        self.cases.remove(&mark);
    }

    fn watchers(&self, mark: Mark, count: usize) -> Vec<Mark> {
        watchers(&self.view.ranked(), (mark, mark.hash()), count)
    }

    fn message(&mut self, kind: Kind) -> Message {
        Message {
            kind,
            from: self.me.clone(),
            digest: self.view.digest(),
            words: self.view.next_words(BATCH),
            doubts: Vec::new(),
            vouches: Vec::new(),
            parts: Vec::new(),
        }
    }

    fn send(&mut self, to: Mark, kind: Kind) {
        let message = self.message(kind);
        self.out.push(Sent { to, message });
    }

    /// A datagram came from the process that it names.
    pub fn hear(&mut self, message: Message, now: Millis, out: &mut Vec<Sent>) {
        self.wake(now);
        if self.me.state == State::Left || now < self.deaf_until || message.from.card.at == self.me.card.at {
            return;
        }
        let from = message.from.card.at;
        self.heard = now;
        if let Some(charge) = self.charges.get_mut(&from) {
            if charge.unanswered > 0 {
                charge.next = now + PERIOD - STEP / 2;
            }
            (charge.heard, charge.unanswered, charge.doubted) = (now, 0, None);
        }
        let me = self.me.card.at;
        if let Some(case) = self.cases.get_mut(&from) {
            case.doubts.remove(&me);
        }
        let mut told = Vec::new();
        let sender = message.from.clone();
        // The sender has to be told when others hold it dead: it is the only one that can say otherwise.
        if self.view.get(from).is_some_and(|known| known.rank() > sender.rank()) {
            told.extend(self.view.get(from).cloned());
        }
        for word in std::iter::once(message.from).chain(message.words.into_iter().take(BATCH)) {
            self.take(word, now);
        }
        let mut vouches = Vec::new();
        for about in message.doubts.into_iter().take(BATCH) {
            self.on_doubt(from, about, now, &mut vouches, &mut told);
        }
        for about in message.vouches.into_iter().take(BATCH) {
            if self.view.is_here(about.at) {
                self.cases.entry(about.at).or_default().vouches.insert(from, (about, now));
            }
        }
        if message.digest == self.view.digest() {
            self.agreed = now;
        }
        // What has changed just now travels by itself. Two that lack the same agree, and others don't with them.
        let waited = now > self.agreed.min(self.changed) + STRAY || self.view.here() <= 2;
        let compares = waited && message.digest != self.view.digest() && now >= self.compared + COMPARED;
        if message.kind == Kind::Ping || compares || !told.is_empty() || !vouches.is_empty() {
            let kind = if message.kind == Kind::Ping { Kind::Answer } else { Kind::Note };
            let mut answer = self.message(kind);
            answer.words.splice(0..0, told);
            answer.words.truncate(BATCH);
            answer.vouches = vouches;
            if compares {
                self.compared = now;
                answer.parts = self.view.parts();
            }
            self.out.push(Sent { to: from, message: answer });
        }
        if message.parts.len() == PARTS && self.answered < ANSWERED {
            self.answered += 1;
            let words: Vec<Word> = self.view.differing(&message.parts).into_iter().cloned().collect();
            self.random = mix(self.random);
            let batches = words.len().div_ceil(BATCH);
            // Where not all fit, another time others go first.
            let first = (self.random % batches.max(1) as u64) as usize;
            for batch in words.chunks(BATCH).cycle().skip(first).take(batches.min(ANSWERS)) {
                let mut note = self.message(Kind::Note);
                note.words = batch.to_vec();
                self.out.push(Sent { to: from, message: note });
            }
        }
        out.append(&mut self.out);
    }

    fn on_doubt(
        &mut self, from: Mark, about: About, now: Millis, vouches: &mut Vec<About>, told: &mut Vec<Word>,
    ) {
        let Some(word) = self.view.get(about.at) else { return };
        let (known, here) = (word.about(), word.state == State::Here);
        if known != about || !here {
            // The doubter has not heard the newest.
            told.push(word.clone());
            return;
        }
        if about.at == self.me.card.at {
            // The doubter has just heard otherwise, by this process's answer.
            vouches.push(known);
            return;
        }
        self.cases.entry(about.at).or_default().doubts.insert(from, (about, now));
        let room = self.charges.len() < CHARGES;
        match self.charges.get_mut(&about.at) {
            Some(charge) if charge.unanswered < UNANSWERED && now < charge.heard + VOUCHED => {
                vouches.push(known);
            }
            Some(charge) if charge.deputy => charge.asked = now,
            None if room => {
                let charge = Charge {
                    heard: unheard(now),
                    unanswered: 0,
                    next: now,
                    doubted: None,
                    deputy: true,
                    asked: now,
                };
                self.charges.insert(about.at, charge);
            }
            _ => {}
        }
    }

    #[cfg(test)]
    pub(crate) fn view_mut(&mut self) -> &mut View {
        &mut self.view
    }

    /// Knows these from the start, with nothing left to pass on.
    #[cfg(test)]
    pub(crate) fn acquaint(&mut self, words: &[Word], now: Millis) {
        words.iter().for_each(|word| self.take(word.clone(), now));
        while !self.view.next_words(BATCH).is_empty() {}
    }

    fn take(&mut self, word: Word, now: Millis) {
        if word.card.at == self.me.card.at {
            if word.rank() > self.me.rank() {
                self.me.incarnation = word.incarnation.saturating_add(1);
                self.view.take(self.me.clone(), now);
            }
            return;
        }
        let (mark, state) = (word.card.at, word.state);
        if !self.view.take(word, now) {
            return;
        }
        self.changed = now;
        if state != State::Here {
            self.charges.remove(&mark);
            self.cases.remove(&mark);
        }
    }
}

/// From when the silence of one counts that has not been asked yet: nobody vouches for it, and the pings that it has to
/// leave without an answer take longest.
fn unheard(now: Millis) -> Millis {
    now.saturating_sub(VOUCHED)
}
