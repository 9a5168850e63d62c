//! A world of processes that watch each other: drawn by a seed, without sleep.

use crate::message::{Card, Mark, Message, State, Word};
use crate::ranks::mix;
use crate::{Keeper, Millis, Sent};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;

/// Faults that the worlds have to find.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planted {
    pub one_witness: bool,
    pub takes_older: bool,
    pub blames_when_late: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Step,
    /// The datagram of that number.
    Comes(usize),
}

/// One machine.
pub struct Machine {
    pub keeper: Keeper,
    pub up: bool,
    /// It runs no code before.
    pub frozen_until: Millis,
    pub zone: usize,
    /// Whom of the others it has no path to, either way.
    pub cut: Vec<usize>,
    pub sent: u64,
    pub bytes: u64,
    pub heard_bytes: u64,
}

pub struct World {
    pub now: Millis,
    pub machines: Vec<Machine>,
    pub loss: f64,
    /// Zones of which those below the number are cut from those at or above it.
    pub zone_cut: Option<usize>,
    pub planted: Planted,
    /// Deaths held of machines that were up: by whom, of whom, when.
    pub wrong: Vec<(usize, usize, Millis)>,
    /// Doubts of machines that were up and awake: by whom, of whom.
    pub blamed: Vec<(usize, usize)>,
    /// Machines whose death is rightly held at some time.
    pub fair_game: Vec<bool>,
    random: u64,
    queue: BinaryHeap<Reverse<(Millis, u64, usize, What)>>,
    order: u64,
    mail: BTreeMap<usize, Message>,
    mails: usize,
    changes: Vec<u64>,
    /// Every so many datagrams one is weighed.
    weigh: u64,
}

pub fn mark(number: usize) -> Mark {
    SocketAddrV4::new([10, 1, (number >> 8) as u8, number as u8].into(), 7660).into()
}

fn number_of(mark: Mark) -> usize {
    let [_, _, high, low] = SocketAddrV4::from(mark).ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn seeds() -> Vec<Mark> {
    (0..3).map(mark).collect()
}

impl World {
    /// So many machines in so many zones; `known`: they have been together for long.
    pub fn new(size: usize, zones: usize, known: bool, seed: u64, planted: Planted) -> Self {
        let mut world = Self {
            now: 1000,
            machines: Vec::new(),
            loss: 0.01,
            zone_cut: None,
            planted,
            wrong: Vec::new(),
            blamed: Vec::new(),
            fair_game: vec![false; size],
            random: mix(seed),
            queue: BinaryHeap::new(),
            order: 0,
            mail: BTreeMap::new(),
            mails: 0,
            changes: vec![0; size],
            weigh: if size > 200 { 32 } else { 1 },
        };
        for number in 0..size {
            let keeper = world.keeper(number);
            let machine = Machine {
                keeper,
                up: true,
                frozen_until: 0,
                zone: number % zones,
                cut: Vec::new(),
                sent: 0,
                bytes: 0,
                heard_bytes: 0,
            };
            world.machines.push(machine);
        }
        if known {
            let words: Vec<Word> = world
                .machines
                .iter()
                .map(|machine| machine.keeper.words().next().cloned().expect("itself"))
                .collect();
            for machine in &mut world.machines {
                machine.keeper.acquaint(&words, 1000);
            }
        }
        for number in 0..size {
            world.push(1000, number, What::Step);
        }
        world
    }

    fn keeper(&mut self, number: usize) -> Keeper {
        let life = self.draw();
        let card = Card { at: mark(number), name: format!("edge-hall-{number}"), data_plane: true, life };
        let mut keeper = Keeper::new(card, seeds(), self.draw(), self.now);
        keeper.plant(self.planted);
        keeper
    }

    pub fn draw(&mut self) -> u64 {
        self.random = mix(self.random);
        self.random
    }

    pub fn below(&mut self, most: usize) -> usize {
        (self.draw() % most as u64) as usize
    }

    fn chance(&mut self, odds: f64) -> bool {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64 <= odds
    }

    /// So many different ones.
    pub fn some(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.machines.len()).collect();
        (0..count).map(|_| all.swap_remove((mix(self.draw()) % all.len() as u64) as usize)).collect()
    }

    fn push(&mut self, at: Millis, number: usize, what: What) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, number, what)));
    }

    /// Plays so long.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, number, what))) = self.queue.pop() else { break };
            self.now = at;
            self.play(number, what);
        }
        self.now = end;
    }

    fn play(&mut self, number: usize, what: What) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(number) else { return };
        if !machine.up {
            if let What::Comes(mail) = what {
                self.mail.remove(&mail);
            }
            return;
        }
        if now < machine.frozen_until {
            // Datagrams wait in the socket; timers come late. Which is worked through first is anybody's guess.
            let at = machine.frozen_until;
            return self.push(at, number, what);
        }
        let mut out = Vec::new();
        match what {
            What::Step => {
                machine.keeper.step(now, &mut out);
                let due = machine.keeper.next_due().max(now + 1);
                let late = self.draw() % 12;
                self.push(due + late, number, What::Step);
            }
            What::Comes(mail) => {
                let Some(message) = self.mail.remove(&mail) else { return };
                if let Some(machine) = self.machines.get_mut(number) {
                    machine.keeper.hear(message, now, &mut out);
                }
            }
        }
        self.carry(number, out);
        self.note(number);
    }

    fn carry(&mut self, from: usize, out: Vec<Sent>) {
        for Sent { to, message } in out {
            let to = number_of(to);
            self.mails += 1;
            let weighs = if (self.mails as u64).is_multiple_of(self.weigh) {
                message.encode().len() as u64 * self.weigh
            } else {
                0
            };
            let lost = self.chance(self.loss) || !self.reach(from, to);
            if let Some(machine) = self.machines.get_mut(from) {
                machine.sent += 1;
                machine.bytes += weighs;
            }
            let awake = |m: &&Machine| m.up && m.frozen_until <= self.now;
            let of = message.doubts.iter().map(|about| number_of(about.at));
            self.blamed
                .extend(of.filter(|of| self.machines.get(*of).filter(awake).is_some()).map(|of| (from, of)));
            if lost {
                continue;
            }
            if let Some(machine) = self.machines.get_mut(to) {
                machine.heard_bytes += weighs;
            }
            let at = self.now + 1 + self.draw() % 4;
            let mail = self.mails;
            self.mail.insert(mail, message);
            self.push(at, to, What::Comes(mail));
        }
    }

    pub fn reach(&self, a: usize, b: usize) -> bool {
        let (Some(one), Some(other)) = (self.machines.get(a), self.machines.get(b)) else { return false };
        let side = |machine: &Machine, cut| machine.zone < cut;
        let apart = self.zone_cut.is_some_and(|cut| side(one, cut) != side(other, cut));
        one.up && other.up && !apart && !one.cut.contains(&b) && !other.cut.contains(&a)
    }

    /// Looks for wrong deaths where a view has changed.
    fn note(&mut self, by: usize) {
        let Some(machine) = self.machines.get(by) else { return };
        let changes = machine.keeper.changes();
        if self.changes.get(by) == Some(&changes) {
            return;
        }
        if let Some(known) = self.changes.get_mut(by) {
            *known = changes;
        }
        let dead = machine.keeper.words().filter(|word| word.state == State::Dead);
        let dead: Vec<_> = dead.map(|word| number_of(word.card.at)).collect();
        for of in dead {
            if self.machines.get(of).is_some_and(|m| m.up) && !self.fair_game.get(of).copied().unwrap_or(true)
            {
                self.wrong.push((by, of, self.now));
            }
        }
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(machine) = self.machines.get_mut(number) {
            machine.up = false;
        }
        if let Some(fair) = self.fair_game.get_mut(number) {
            *fair = true;
        }
    }

    /// Ends one as a deployment does: it says so.
    pub fn stop(&mut self, number: usize) {
        let (now, mut out) = (self.now, Vec::new());
        if let Some(machine) = self.machines.get_mut(number) {
            machine.keeper.leave(now, &mut out);
        }
        self.carry(number, out);
        self.kill(number);
    }

    /// A new life at the old address, that knows its seeds.
    pub fn start(&mut self, number: usize) {
        let keeper = self.keeper(number);
        let now = self.now;
        if let Some(machine) = self.machines.get_mut(number) {
            machine.keeper = keeper;
            machine.up = true;
            machine.frozen_until = 0;
        }
        if let Some(known) = self.changes.get_mut(number) {
            *known = 0;
        }
        self.push(now, number, What::Step);
    }

    pub fn freeze(&mut self, number: usize, span: Millis) {
        let until = self.now + span;
        if let Some(machine) = self.machines.get_mut(number) {
            machine.frozen_until = until;
        }
        if let Some(fair) = self.fair_game.get_mut(number) {
            *fair = true;
        }
    }

    fn live(&self) -> impl Iterator<Item = (usize, &Machine)> {
        self.machines.iter().enumerate().filter(|(_, machine)| machine.up)
    }

    /// Whether each that is up holds exactly those to be here that are.
    pub fn agrees(&self) -> bool {
        let mut up: Vec<Mark> = self.live().map(|(number, _)| mark(number)).collect();
        up.sort_unstable();
        let mut digests = self.live().map(|(_, machine)| machine.keeper.digest());
        let first = digests.next();
        if !digests.all(|digest| Some(digest) == first) {
            return false;
        }
        self.live().take(1).all(|(_, machine)| {
            let here = machine.keeper.words().filter(|word| word.state == State::Here);
            here.map(|word| word.card.at).eq(up.iter().copied())
        })
    }

    /// Plays until all views are equal and right; the time that took, if it was at most so long.
    pub fn settle(&mut self, most: Millis) -> Option<Millis> {
        let began = self.now;
        while self.now <= began + most {
            if self.agrees() {
                return Some(self.now - began);
            }
            self.run(50);
        }
        None
    }
}

impl Keeper {
    fn plant(&mut self, planted: Planted) {
        self.planted = planted;
        self.view_mut().takes_older = planted.takes_older;
    }
}
