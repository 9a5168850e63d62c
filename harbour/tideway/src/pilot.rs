//! Follows the news: one process that serves control at a time, another one when that falls silent or behind; and a
//! connection to the holder of the counts.

use crate::course::Course;
use crate::line::{Line, LineError, Reader, dial};
use crate::spawn;
use flags::{Berth, Flag, Hail, MasterCard, Pulse, Sheet};
use manifest::Detours;
use std::net::SocketAddr;
use std::time::Duration;
use tally::Roster;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often things are looked after.
const TICK: Duration = Duration::from_millis(200);
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
    /// Who holds the counts.
    Roster(Roster),
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
    /// By which ways others are reached.
    pub ways: Detours,
}

/// A follower of the news.
pub struct Pilot {
    orders: mpsc::Sender<Order>,
}

enum Order {
    Draw(SocketAddr, tally::Draw),
    Seeds(Vec<SocketAddr>),
}

impl Pilot {
    /// Follows from now on; `news` hears all of it, in order.
    pub fn start(settings: PilotSettings, news: impl FnMut(News) + 'static) -> Self {
        let (orders, queue) = mpsc::channel(64);
        spawn(Helm::run(settings, Box::new(news), queue));
        Self { orders }
    }

    /// Sends a draw to its holder; false when it can't be sent.
    pub fn draw(&self, to: &str, draw: tally::Draw) -> bool {
        to.parse().is_ok_and(|to| self.orders.try_send(Order::Draw(to, draw)).is_ok())
    }

    /// The settings name other seeds from now on.
    pub fn seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.orders.try_send(Order::Seeds(seeds));
    }
}

/// What happened on a connection: its number, and what came or why it ended.
type Event = (u64, Result<Flag, LineError>);

struct Voyage {
    number: u64,
    to: SocketAddr,
    /// Nothing while it comes up.
    line: Option<Line>,
}

impl Voyage {
    fn is_lost(&self) -> bool {
        self.line.as_ref().is_some_and(Line::is_lost)
    }
}

/// A holder of counts, and the draw that it has not answered.
struct Holder {
    voyage: Voyage,
    drawn: Option<(u64, Instant)>,
}

struct Helm {
    settings: PilotSettings,
    news: Box<dyn FnMut(News)>,
    course: Course,
    began: Instant,
    numbers: u64,
    master: Option<Voyage>,
    holders: Vec<Holder>,
    have: u64,
    /// A configuration from one who is perhaps behind, for a process that has none.
    doubtful: Option<Sheet>,
    signed: Instant,
    roster: Roster,
    events: mpsc::Sender<Event>,
    lines: mpsc::Sender<(u64, Line)>,
}

impl Helm {
    async fn run(settings: PilotSettings, news: Box<dyn FnMut(News)>, mut orders: mpsc::Receiver<Order>) {
        let (events, mut inbox) = mpsc::channel(256);
        let (lines, mut up) = mpsc::channel(8);
        let (me, began) = (&settings.me, Instant::now());
        let course = Course::new(0, &me.name, &me.zone, me.address.parse().ok(), settings.seeds.clone());
        let mut helm = Self {
            settings,
            news,
            course,
            began,
            numbers: 0,
            master: None,
            holders: Vec::new(),
            have: 0,
            doubtful: None,
            signed: began,
            roster: Roster::default(),
            events,
            lines,
        };
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some((number, line)) = up.recv() => helm.on_up(number, line),
                Some((number, event)) = inbox.recv() => helm.on_event(number, event),
                order = orders.recv() => match order {
                    Some(Order::Draw(to, draw)) => helm.on_draw(to, draw),
                    Some(Order::Seeds(seeds)) => helm.course.seeds(seeds),
                    None => return,
                },
                _ = tick.tick() => helm.on_tick(),
            }
        }
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn voyage(&mut self, to: SocketAddr) -> Voyage {
        self.numbers += 1;
        let (number, events, lines) = (self.numbers, self.events.clone(), self.lines.clone());
        let hail = Flag::Hail(self.settings.me.clone());
        let ways = self.settings.ways.clone();
        spawn(async move {
            let (line, mut reader): (Line, Reader) = match dial(to, &ways).await {
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
        Voyage { number, to, line: None }
    }

    fn leave(&mut self) {
        let now = self.now();
        self.course.failed(now);
        self.master = None;
    }

    fn on_tick(&mut self) {
        let now = self.now();
        if self.course.is_over(now) || self.master.as_ref().is_some_and(Voyage::is_lost) {
            self.leave();
        }
        if let Some(to) = self.course.choose(now) {
            self.master = Some(self.voyage(to));
        }
        self.take_doubtful();
        if self.signed.elapsed() > SIGN {
            self.signed = Instant::now();
            let sign = Flag::Follow { have: self.have };
            // Only a sign of life on a connection that has its news already.
            if let Some(line) = self.master.as_ref().and_then(|v| v.line.as_ref()) {
                line.send(&sign);
            }
            let here = Flag::Here { epoch: self.roster.epoch };
            for line in self.holders.iter().filter_map(|holder| holder.voyage.line.as_ref()) {
                line.send(&here);
            }
        }
        // A holder that says nothing may be cut off: another connection finds out sooner.
        self.part(|holder| holder.drawn.is_some_and(|(_, since)| since.elapsed() > DRAW_LOST));
        self.tend_holders();
    }

    /// Leaves holders; what was drawn from them gets no answer.
    fn part(&mut self, leaves: impl Fn(&Holder) -> bool) {
        let mut left = Vec::new();
        self.holders.retain(|holder| {
            let leaves = leaves(holder);
            left.extend(holder.drawn.filter(|_| leaves));
            !leaves
        });
        for (number, _) in left {
            (self.news)(News::Unanswered { number });
        }
    }

    fn tend_holders(&mut self) {
        let wanted: Vec<SocketAddr> = self.course.holders().collect();
        self.part(|holder| holder.voyage.is_lost() || !wanted.contains(&holder.voyage.to));
        for to in wanted {
            if self.holders.iter().all(|holder| holder.voyage.to != to) {
                let voyage = self.voyage(to);
                self.holders.push(Holder { voyage, drawn: None });
            }
        }
    }

    fn on_up(&mut self, number: u64, line: Line) {
        if let Some(voyage) = self.master.as_mut().filter(|v| v.number == number) {
            line.send(&Flag::Follow { have: self.have });
            voyage.line = Some(line);
        } else if let Some(holder) = self.holders.iter_mut().find(|holder| holder.voyage.number == number) {
            // Among several holders only one that says which assignment it knows counts as heard.
            if self.roster.epoch.number > 1 {
                line.send(&Flag::Here { epoch: self.roster.epoch });
            }
            holder.voyage.line = Some(line);
        }
    }

    fn on_event(&mut self, number: u64, event: Result<Flag, LineError>) {
        let from_master = self.master.as_ref().is_some_and(|v| v.number == number);
        let holder = self.holders.iter_mut().find(|holder| holder.voyage.number == number);
        match event {
            Err(_) if from_master => {
                self.leave();
                self.on_tick();
            }
            Err(_) => self.part(|holder| holder.voyage.number == number),
            Ok(flag) if from_master => {
                let now = self.now();
                self.course.heard(now);
                self.on_news(flag, now);
            }
            Ok(Flag::Grant(grant)) => {
                if let Some(holder) = holder {
                    holder.drawn = None;
                    (self.news)(News::Grant(grant));
                }
            }
            Ok(Flag::NotHolder { number }) => {
                if let Some(holder) = holder {
                    holder.drawn = None;
                    (self.news)(News::Unanswered { number });
                }
            }
            _ => {}
        }
    }

    fn on_news(&mut self, flag: Flag, now: u64) {
        match flag {
            Flag::Pulse(pulse) => {
                self.course.pulse(now, &pulse);
                self.take_doubtful();
                if self.roster != *self.course.roster() {
                    self.roster = self.course.roster().clone();
                    (self.news)(News::Roster(self.roster.clone()));
                }
                self.tend_holders();
                (self.news)(News::Pulse(pulse));
            }
            Flag::Sheet(sheet) => {
                self.doubtful = Some(sheet);
                self.take_doubtful();
            }
            Flag::Berths { whole, berths } => (self.news)(News::Berths { whole, berths }),
            Flag::Masters(cards) => {
                let read = |card: MasterCard| Some((card.address.parse().ok()?, card.zone));
                self.course.masters(cards.into_iter().filter_map(read));
            }
            _ => {}
        }
    }

    fn take_doubtful(&mut self) {
        if self.doubtful.is_none() || self.have == 0 && !self.course.may_begin(self.now()) {
            return;
        }
        if let Some(sheet) = self.doubtful.take().filter(|sheet| sheet.version > self.have) {
            self.have = sheet.version;
            (self.news)(News::Sheet(sheet));
        }
    }

    fn on_draw(&mut self, to: SocketAddr, draw: tally::Draw) {
        let number = draw.number;
        let holder = self.holders.iter_mut().find(|holder| holder.voyage.to == to);
        let sent = holder.filter(|h| h.voyage.line.as_ref().is_some_and(|line| line.send(&Flag::Draw(draw))));
        match sent {
            Some(holder) => holder.drawn = Some((number, Instant::now())),
            None => (self.news)(News::Unanswered { number }),
        }
    }
}
