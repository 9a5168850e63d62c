//! Follows the news: one process that serves control at a time, another one when that falls silent or behind; and a
//! connection to the holder of the counts.

use crate::line::{Line, LineError, Reader, dial};
use crate::spawn;
use flags::{Berth, Flag, Hail, MasterCard, Pulse, Sheet};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often things are looked after.
const TICK: Duration = Duration::from_millis(200);
/// Who is followed says something at least this often; a silence of that long is the end of it.
const SILENT: Duration = Duration::from_millis(1300);
/// Who has lost the leader is left after this long, if there is anybody else.
const BEHIND: Duration = Duration::from_millis(900);
/// Who failed is not asked again for this long, while others are there.
const AVOIDED: Duration = Duration::from_millis(1500);
/// A process that knows nothing takes what is perhaps not the newest only after this long.
const PATIENCE: Duration = Duration::from_secs(8);
/// A sign of life goes out this often.
const SIGN: Duration = Duration::from_millis(800);
/// A draw that has no answer by then gets none.
const DRAW_LOST: Duration = Duration::from_millis(400);

/// What there is to hear.
#[derive(Debug)]
pub enum News {
    /// A configuration.
    Sheet(Sheet),
    /// Backends: changes, or with `whole` all there are.
    Berths {
        /// Whether there are no others.
        whole: bool,
        /// The backends.
        berths: Vec<Berth>,
    },
    /// How things stand.
    Pulse(Pulse),
    /// An answer to a draw.
    Grant(tally::Grant),
    /// A draw that gets no answer.
    Unanswered {
        /// Its number.
        number: u64,
    },
}

/// What a follower is told at its start.
#[derive(Clone, Debug)]
pub struct PilotSettings {
    /// Who follows.
    pub me: Hail,
    /// Where the first ones to ask take connections.
    pub seeds: Vec<SocketAddr>,
}

/// Whom a process follows at this moment, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Follows {
    /// The one whose news it hears.
    pub master: Option<SocketAddr>,
    /// The holder of the counts.
    pub holder: Option<SocketAddr>,
}

/// A follower of the news.
pub struct Pilot {
    orders: mpsc::Sender<Order>,
    follows: Rc<RefCell<Follows>>,
}

enum Order {
    Draw(tally::Draw),
    Seeds(Vec<SocketAddr>),
}

impl Pilot {
    /// Follows from now on; `news` hears all of it, in order.
    pub fn start(settings: PilotSettings, news: impl FnMut(News) + 'static) -> Self {
        let (orders, queue) = mpsc::channel(64);
        let follows = Rc::new(RefCell::new(Follows::default()));
        spawn(Helm::new(settings, Box::new(news), follows.clone()).run(queue));
        Self { orders, follows }
    }

    /// Sends a draw to the holder; false when it can't be sent.
    pub fn draw(&self, draw: tally::Draw) -> bool {
        self.orders.try_send(Order::Draw(draw)).is_ok()
    }

    /// The settings name other seeds from now on.
    pub fn seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.orders.try_send(Order::Seeds(seeds));
    }

    /// Whom it follows.
    pub fn follows(&self) -> Follows {
        self.follows.borrow().clone()
    }
}

/// What happened on a connection: its number, and what came or why it ended.
type Event = (u64, Result<Flag, LineError>);

struct Voyage {
    number: u64,
    to: SocketAddr,
    /// Nothing while it comes up.
    line: Option<Line>,
    heard: Instant,
    fresh_at: Instant,
    fresh: bool,
}

struct Helm {
    settings: PilotSettings,
    news: Box<dyn FnMut(News)>,
    follows: Rc<RefCell<Follows>>,
    masters: BTreeMap<SocketAddr, String>,
    avoided: BTreeMap<SocketAddr, Instant>,
    numbers: u64,
    master: Option<Voyage>,
    holder: Option<Voyage>,
    leader: Option<SocketAddr>,
    have: u64,
    /// A configuration from one who is perhaps behind, for a process that has none.
    doubtful: Option<Sheet>,
    started: Instant,
    signed: Instant,
    drawn: Option<(u64, Instant)>,
    events: mpsc::Sender<Event>,
    lines: mpsc::Sender<(u64, Line)>,
}

impl Helm {
    fn new(settings: PilotSettings, news: Box<dyn FnMut(News)>, follows: Rc<RefCell<Follows>>) -> Self {
        let now = Instant::now();
        Self {
            settings,
            news,
            follows,
            masters: BTreeMap::new(),
            avoided: BTreeMap::new(),
            numbers: 0,
            master: None,
            holder: None,
            leader: None,
            have: 0,
            doubtful: None,
            started: now,
            signed: now,
            drawn: None,
            // Replaced as soon as it runs.
            events: mpsc::channel(1).0,
            lines: mpsc::channel(1).0,
        }
    }

    async fn run(mut self, mut orders: mpsc::Receiver<Order>) {
        let (events, mut inbox) = mpsc::channel(256);
        let (lines, mut up) = mpsc::channel(8);
        (self.events, self.lines) = (events, lines);
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some((number, line)) = up.recv() => self.on_up(number, line),
                Some((number, event)) = inbox.recv() => self.on_event(number, event),
                order = orders.recv() => match order {
                    Some(Order::Draw(draw)) => self.on_draw(draw),
                    Some(Order::Seeds(seeds)) => self.settings.seeds = seeds,
                    None => return,
                },
                _ = tick.tick() => self.on_tick(),
            }
        }
    }

    fn voyage(&mut self, to: SocketAddr) -> Voyage {
        self.numbers += 1;
        let (number, events, lines) = (self.numbers, self.events.clone(), self.lines.clone());
        let hail = Flag::Hail(self.settings.me.clone());
        spawn(async move {
            let (line, mut reader): (Line, Reader) = match dial(to).await {
                Ok(both) => both,
                Err(error) => {
                    let _ = events.send((number, Err(error))).await;
                    return;
                }
            };
            line.send(&hail);
            if lines.send((number, line)).await.is_err() {
                return;
            }
            loop {
                let next = reader.next().await;
                let over = next.is_err();
                if events.send((number, next)).await.is_err() || over {
                    return;
                }
            }
        });
        let now = Instant::now();
        Voyage { number, to, line: None, heard: now, fresh_at: now, fresh: false }
    }

    /// The next one to follow: of the own zone first, then by a hash of both names, so that each quay has an order of
    /// its own and all together spread evenly.
    fn choose(&self) -> Option<SocketAddr> {
        let now = Instant::now();
        let me = &self.settings.me;
        let seeds = self.settings.seeds.iter().map(|seed| (*seed, ""));
        let known = self.masters.iter().map(|(address, zone)| (*address, zone.as_str()));
        let rank = |(address, zone): &(SocketAddr, &str)| {
            let mut hasher = DefaultHasher::new();
            (&me.name, address).hash(&mut hasher);
            let avoided = self.avoided.get(address).filter(|until| now < **until);
            let itself = address.to_string() == me.address;
            (itself, avoided.is_some(), avoided.copied(), *zone != me.zone, hasher.finish())
        };
        let best = known.chain(seeds).min_by_key(rank)?;
        (best.0.to_string() != me.address).then_some(best.0)
    }

    fn leave(&mut self, after: Duration) {
        if let Some(voyage) = self.master.take() {
            self.avoided.insert(voyage.to, Instant::now() + after);
            self.avoided.retain(|_, until| Instant::now() < *until);
        }
        self.follows.borrow_mut().master = None;
    }

    fn on_tick(&mut self) {
        let now = Instant::now();
        if let Some(voyage) = &self.master {
            let lost = voyage.line.as_ref().is_some_and(Line::is_lost);
            let behind = !voyage.fresh && now > voyage.fresh_at + BEHIND;
            let others = self.masters.keys().any(|a| *a != voyage.to && !self.avoided.contains_key(a));
            if lost || now > voyage.heard + SILENT || behind && others {
                self.leave(AVOIDED);
            }
        }
        if self.master.is_none()
            && let Some(to) = self.choose()
        {
            self.master = Some(self.voyage(to));
        }
        if now > self.started + PATIENCE
            && let Some(sheet) = self.doubtful.take()
        {
            self.take_sheet(sheet);
        }
        if now > self.signed + SIGN {
            self.signed = now;
            let sign = Flag::Follow { have: self.have };
            // Only a sign of life on a connection that has its news already.
            if let Some(line) = self.master.as_ref().and_then(|v| v.line.as_ref()) {
                line.send(&sign);
            }
            if let Some(line) = self.holder.as_ref().and_then(|v| v.line.as_ref()) {
                line.send(&Flag::Here);
            }
        }
        if let Some((number, since)) = self.drawn.filter(|(_, since)| now > *since + DRAW_LOST) {
            self.drawn = None;
            let _ = since;
            (self.news)(News::Unanswered { number });
            // A holder that says nothing may be cut off: another connection finds out sooner.
            self.holder = None;
        }
        self.tend_holder();
    }

    fn tend_holder(&mut self) {
        let lost = |v: &Voyage| v.line.as_ref().is_some_and(Line::is_lost);
        if self.holder.as_ref().is_some_and(|v| Some(v.to) != self.leader || lost(v)) {
            self.holder = None;
        }
        if self.holder.is_none()
            && let Some(leader) = self.leader
        {
            self.holder = Some(self.voyage(leader));
        }
        self.follows.borrow_mut().holder = self.leader;
    }

    fn on_up(&mut self, number: u64, line: Line) {
        if let Some(voyage) = self.master.as_mut().filter(|v| v.number == number) {
            line.send(&Flag::Follow { have: self.have });
            voyage.line = Some(line);
            self.follows.borrow_mut().master = Some(voyage.to);
        } else if let Some(voyage) = self.holder.as_mut().filter(|v| v.number == number) {
            voyage.line = Some(line);
        }
    }

    fn on_event(&mut self, number: u64, event: Result<Flag, LineError>) {
        let now = Instant::now();
        let from_master = self.master.as_ref().is_some_and(|v| v.number == number);
        let from_holder = self.holder.as_ref().is_some_and(|v| v.number == number);
        match event {
            Err(_) if from_master => {
                self.leave(AVOIDED);
                self.on_tick();
            }
            Err(_) if from_holder => {
                self.holder = None;
                if let Some((number, _)) = self.drawn.take() {
                    (self.news)(News::Unanswered { number });
                }
            }
            Ok(flag) if from_master => {
                if let Some(voyage) = &mut self.master {
                    voyage.heard = now;
                }
                self.on_news(flag);
            }
            Ok(Flag::Grant(grant)) if from_holder => {
                self.drawn = None;
                (self.news)(News::Grant(grant));
            }
            Ok(Flag::NotHolder { number }) if from_holder => {
                self.drawn = None;
                (self.news)(News::Unanswered { number });
            }
            _ => {}
        }
    }

    fn on_news(&mut self, flag: Flag) {
        match flag {
            Flag::Pulse(pulse) => {
                let leader = pulse.leader.as_ref().and_then(|l| l.parse().ok());
                if pulse.fresh || self.leader.is_none() {
                    self.leader = leader;
                }
                let now = Instant::now();
                if let Some(voyage) = &mut self.master {
                    if pulse.fresh {
                        voyage.fresh_at = now;
                    }
                    voyage.fresh = pulse.fresh;
                }
                if pulse.fresh
                    && let Some(sheet) = self.doubtful.take()
                {
                    self.take_sheet(sheet);
                }
                self.tend_holder();
                (self.news)(News::Pulse(pulse));
            }
            Flag::Sheet(sheet) => {
                let fresh = self.master.as_ref().is_some_and(|v| v.fresh);
                if fresh || self.have > 0 {
                    self.take_sheet(sheet);
                } else {
                    self.doubtful = Some(sheet);
                }
            }
            Flag::Berths { whole, berths } => (self.news)(News::Berths { whole, berths }),
            Flag::Masters(cards) => {
                let read = |card: MasterCard| Some((card.address.parse().ok()?, card.zone));
                self.masters = cards.into_iter().filter_map(read).collect();
            }
            _ => {}
        }
    }

    fn take_sheet(&mut self, sheet: Sheet) {
        if sheet.version > self.have {
            self.have = sheet.version;
            (self.news)(News::Sheet(sheet));
        }
    }

    fn on_draw(&mut self, draw: tally::Draw) {
        let number = draw.number;
        let line = self.holder.as_ref().and_then(|v| v.line.as_ref());
        if line.is_some_and(|line| line.send(&Flag::Draw(draw))) {
            self.drawn = Some((number, Instant::now()));
        } else {
            (self.news)(News::Unanswered { number });
        }
    }
}
