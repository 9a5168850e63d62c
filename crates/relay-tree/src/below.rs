//! Those that follow this process.

use crate::{DEEPEST, GONE, HEARTBEAT, Millis, NAMED, Output, PATIENT, PRESSED, Relay};
use protocol::relay::{Mark, Place, Word};
use std::net::SocketAddr;

#[derive(Debug)]
pub(crate) struct Follower {
    heard: Millis,
    /// The newest configuration that it has, or that was sent to it.
    pub(crate) version: u64,
    /// Where there is room, at it and below it, less those that were sent there since it said so.
    places: Vec<Place>,
}

impl Relay {
    pub(crate) fn tick_below(&mut self, now: Millis) {
        self.below.retain(|_, follower| now < follower.heard + GONE);
        if self.is_root() && now >= self.above.next_heartbeat {
            self.above.next_heartbeat = now + HEARTBEAT;
            self.above.beat += 1;
            self.pass_heartbeat();
        }
    }

    /// The root's last heartbeat, as this process passes it on.
    pub(crate) fn heartbeat(&self) -> Word {
        let mut path = self.above.path.clone();
        path.push(self.settings.me.to_string());
        let (mark, version) = self.stands();
        let epoch = self.settings.epoch.unwrap_or(self.above.epoch);
        Word::Heartbeat { epoch, beat: self.above.beat, path, mark, version, told: self.above.told.clone() }
    }

    pub(crate) fn pass_heartbeat(&mut self) {
        let heartbeat = self.heartbeat();
        self.tell(&heartbeat);
    }

    pub(crate) fn on_join(&mut self, now: Millis, from: SocketAddr, mark: Mark, version: u64, tries: u8) {
        self.below.remove(&from);
        // Nobody follows a process that follows him, nor one that has lost the root itself.
        let own = self.above.path.contains(&from.to_string()) || from == self.settings.me;
        let may = self.is_rooted(now) && !own && self.above.path.len() < DEEPEST;
        let pressed = self.is_root() && tries >= PATIENT;
        let room = if pressed { PRESSED * self.settings.room.max(PRESSED) } else { self.settings.room };
        if !may || self.below.len() >= room {
            let to = if may { self.refer(from) } else { Vec::new() };
            return self.say(from, Word::Refer { to });
        }
        let words = self.chart.since(mark, version);
        let version = version.max(self.chart.version());
        self.below.insert(from, Follower { heard: now, version, places: Vec::new() });
        let heartbeat = self.heartbeat();
        self.say(from, heartbeat);
        let roots = self.roots();
        self.say(from, roots);
        for word in words {
            self.say(from, word);
        }
    }

    /// Those nearest to the root that have room, in an order of chance: a herd must not go to one.
    fn refer(&mut self, from: SocketAddr) -> Vec<String> {
        let asker = from.to_string();
        let start = self.draw(1 << 16) as usize;
        let mut open: Vec<&mut Place> = self
            .below
            .iter_mut()
            .filter(|(address, _)| **address != from)
            .flat_map(|(_, follower)| &mut follower.places)
            .filter(|place| place.free > 0 && place.address != asker)
            .collect();
        if !open.is_empty() {
            let first = start % open.len();
            open.rotate_left(first);
        }
        open.sort_by_key(|place| place.level);
        if let Some(place) = open.first_mut() {
            place.free -= 1;
        }
        open.into_iter().take(NAMED).map(|place| place.address.clone()).collect()
    }

    pub(crate) fn on_sign(&mut self, now: Millis, from: SocketAddr, places: Vec<Place>) {
        let Some(follower) = self.below.get_mut(&from) else {
            // It takes itself for a follower and is none any more: so it hears it at once.
            return self.say(from, Word::Refer { to: Vec::new() });
        };
        follower.heard = now;
        follower.places = places;
        follower.places.truncate(NAMED);
    }

    pub(crate) fn on_missed(&mut self, now: Millis, from: SocketAddr, mark: Mark, version: u64) {
        let Some(follower) = self.below.get_mut(&from) else { return };
        follower.heard = now;
        follower.version = version.max(self.chart.version());
        for word in self.chart.since(mark, version) {
            self.outputs.push(Output::Send { to: from, word });
        }
    }

    /// Where there is room, nearest to the root first.
    pub(crate) fn places(&self, now: Millis) -> Vec<Place> {
        let level = self.above.path.len();
        let free = self.settings.room.saturating_sub(self.below.len()).min(255) as u8;
        let own = Place { level: level as u8, address: self.settings.me.to_string(), free };
        let own = (free > 0 && level < DEEPEST && self.is_rooted(now)).then_some(own);
        let below = self.below.values().flat_map(|follower| &follower.places).filter(|place| place.free > 0);
        let mut places: Vec<_> = own.into_iter().chain(below.cloned()).collect();
        places.sort();
        places.truncate(NAMED);
        places
    }
}
