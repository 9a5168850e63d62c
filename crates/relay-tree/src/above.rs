//! The one that this process follows, and the search for it.

use crate::chart::Order;
use crate::{
    AGAIN, ANSWER, ASK, AVOIDED, BEHIND, DEEPEST, ISOLATED, LATER, Millis, NAMED, Output, Relay, SIGN,
    SILENT, SOON,
};
use protocol::relay::{Place, Word};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

#[derive(Debug, Default)]
enum State {
    /// Nobody, and nobody is asked before this.
    #[default]
    Nobody,
    /// Was asked, and answers by then.
    Asking(SocketAddr, Millis),
    /// Is followed; the root was heard through it then.
    Following(SocketAddr, Millis),
}

#[derive(Debug, Default)]
pub(crate) struct Above {
    state: State,
    /// From the root to the one that is followed.
    pub(crate) path: Vec<String>,
    /// The root's last heartbeat: its number, and the root's epoch.
    pub(crate) beat: u64,
    pub(crate) epoch: u64,
    pub(crate) next_heartbeat: Millis,
    /// The one that is followed looks for another place itself.
    isolated: bool,
    pub(crate) told: protocol::Heartbeat,
    /// Since when the root has not heard the leader just now.
    behind: Option<Millis>,
    next_ask: Millis,
    next_sign: Millis,
    next_missed: Millis,
    signed: Vec<Place>,
    named: Vec<SocketAddr>,
    hops: usize,
    tries: u8,
    failed: BTreeMap<SocketAddr, Millis>,
}

impl Above {
    pub(crate) fn following(&self) -> Option<SocketAddr> {
        if let State::Following(to, _) = self.state { Some(to) } else { None }
    }
}

impl Relay {
    /// Whether the root is heard here.
    pub(crate) fn is_rooted(&self, now: Millis) -> bool {
        let heard = matches!(self.above.state, State::Following(_, heard) if now < heard + SILENT);
        self.is_root() || heard && !self.above.isolated
    }

    pub(crate) fn tick_above(&mut self, now: Millis) {
        if self.is_root() {
            return;
        }
        let patience = SILENT + LATER * self.above.path.len() as Millis;
        match self.above.state {
            State::Following(to, heard) if now >= heard + patience => self.lost(now, to),
            State::Asking(to, until) if now >= until => self.lost(now, to),
            State::Following(to, _) => self.sign(now, to),
            _ => {}
        }
        if matches!(self.above.state, State::Nobody) && now >= self.above.next_ask {
            self.ask(now);
        }
    }

    fn sign(&mut self, now: Millis, to: SocketAddr) {
        if now + SIGN < self.above.next_sign + SOON {
            return;
        }
        let places = self.places(now);
        if now >= self.above.next_sign || places != self.above.signed {
            self.above.next_sign = now + SIGN;
            self.above.signed.clone_from(&places);
            self.say(to, Word::Sign { places });
        }
    }

    /// Asks the next one: whoever was named, else a root.
    fn ask(&mut self, now: Millis) {
        self.above.failed.retain(|_, at| now < *at + AVOIDED);
        let named = if self.above.hops > DEEPEST { None } else { self.above.named.pop() };
        let to = named.or_else(|| {
            self.above.named.clear();
            self.above.hops = 0;
            let rank = |root: &SocketAddr| {
                let mut hasher = DefaultHasher::new();
                (self.settings.me, root).hash(&mut hasher);
                (self.above.failed.get(root).copied(), hasher.finish())
            };
            self.settings.roots.iter().min_by_key(|root| rank(root)).copied()
        });
        let Some(to) = to else { return };
        let (mark, version) = self.stands();
        let (tries, at) = (self.above.tries, self.settings.me.to_string());
        self.above.state = State::Asking(to, now + ANSWER);
        self.say(to, Word::Join { at, mark, version, tries });
    }

    /// Nothing is to be had from this one any more.
    pub(crate) fn lost(&mut self, now: Millis, peer: SocketAddr) {
        match self.above.state {
            State::Asking(to, _) if to == peer => {
                self.above.failed.insert(peer, now);
                self.pause(now);
            }
            State::Following(to, _) if to == peer => {
                self.above.failed.insert(peer, now);
                self.say(peer, Word::Leave);
                self.leave(now);
            }
            _ => {}
        }
    }

    /// Looks for another place; those below come along.
    fn leave(&mut self, now: Millis) {
        self.above.tries = 0;
        self.tell(&Word::Isolated);
        self.pause(now);
    }

    fn pause(&mut self, now: Millis) {
        self.above.state = State::Nobody;
        // Whoever was named is asked at once; the roots are not asked by all at one moment.
        let pause = if self.above.named.is_empty() { AGAIN + self.draw(AGAIN) } else { 0 };
        self.above.next_ask = now + pause;
    }

    pub(crate) fn on_news(&mut self, now: Millis, from: SocketAddr, word: Word) {
        let asked = matches!(self.above.state, State::Asking(to, _) if to == from);
        match word {
            Word::Refer { to } if asked || self.following() == Some(from) => self.on_refer(now, from, to),
            Word::Heartbeat { .. } if asked => {
                let above = &mut self.above;
                above.state = State::Following(from, now);
                above.named.clear();
                (above.hops, above.tries, above.next_sign, above.isolated) = (0, 0, now, false);
                // What is missing comes behind this heartbeat, without being asked for.
                above.next_missed = now + ASK;
                self.on_heartbeat(now, from, word);
            }
            word if self.following() == Some(from) => self.on_stream(now, from, word),
            _ => {}
        }
    }

    fn on_refer(&mut self, now: Millis, from: SocketAddr, to: Vec<String>) {
        let me = self.settings.me;
        let known = to.iter().take(NAMED).filter_map(|address| address.parse().ok());
        let known: Vec<_> = known.filter(|a| *a != me && !self.above.failed.contains_key(a)).collect();
        if known.is_empty() {
            self.above.failed.insert(from, now);
        }
        let tries = self.above.tries + u8::from(known.is_empty());
        self.above.hops += 1;
        // The first one named is the first to be asked.
        self.above.named.extend(known.into_iter().rev());
        if self.following().is_some() {
            self.leave(now);
        } else {
            self.above.tries = tries.min(u8::MAX - 1);
            self.pause(now);
        }
        self.tick_above(now);
    }

    fn on_stream(&mut self, now: Millis, from: SocketAddr, word: Word) {
        match word {
            Word::Heartbeat { .. } => self.on_heartbeat(now, from, word),
            Word::Isolated if !self.above.isolated => {
                self.above.isolated = true;
                self.above.state = State::Following(from, now + ISOLATED);
                self.tell(&Word::Isolated);
            }
            Word::Batch(batch) => match self.chart.order(batch.mark) {
                Order::Next => {
                    self.tell(&Word::Batch(batch.clone()));
                    let (mark, backends) = (batch.mark, batch.backends.clone());
                    self.chart.take(batch);
                    self.outputs.push(Output::Backends { whole: false, mark, backends });
                }
                Order::Old => {}
                Order::Gap => self.miss(now, from),
            },
            Word::Whole(all) if self.chart.replace(&all) => {
                let (mark, backends) = (all.mark, all.backends.clone());
                self.tell(&Word::Whole(all));
                self.outputs.push(Output::Backends { whole: true, mark, backends });
            }
            Word::ConfigSnapshot(config_snapshot) => self.take_config_snapshot(config_snapshot),
            Word::Roots(roots) => {
                self.take_roots(roots.iter().filter_map(|root| root.parse().ok()).collect())
            }
            _ => {}
        }
    }

    fn on_heartbeat(&mut self, now: Millis, from: SocketAddr, word: Word) {
        let Word::Heartbeat { epoch, beat, path, mark, version, told } = word else { return };
        if path.contains(&self.settings.me.to_string()) || path.len() > DEEPEST {
            return self.lost(now, from);
        }
        self.above.path = path;
        // A heartbeat of before says nothing of now: in a circle there is no other kind, so silence ends the circle.
        if epoch == self.above.epoch && beat <= self.above.beat {
            return;
        }
        let above = &mut self.above;
        (above.epoch, above.beat, above.isolated) = (epoch, beat, false);
        above.state = State::Following(from, now);
        above.told = told;
        above.behind = if above.told.fresh { None } else { above.behind.or(Some(now)) };
        // Who is next to a root that has lost the leader looks for another; those below come along.
        if above.path.len() == 1 && above.behind.is_some_and(|since| now > since + BEHIND) {
            above.behind = None;
            return self.lost(now, from);
        }
        let told = above.told.clone();
        self.pass_heartbeat();
        self.outputs.push(Output::Heartbeat(told));
        let own = self.chart.mark();
        let newer = mark.epoch != own.epoch || mark.sequence > own.sequence;
        if mark.epoch != 0 && newer || version > self.chart.version() {
            self.miss(now, from);
        }
    }

    /// Asks for what came past: a word was lost, or this process has news of another root.
    fn miss(&mut self, now: Millis, from: SocketAddr) {
        if now >= self.above.next_missed {
            self.above.next_missed = now + ASK;
            let (mark, version) = self.stands();
            self.say(from, Word::Missed { mark, version });
        }
    }
}
