//! A day: one draw from a scenario, wholly determined by scenario and seed. All that does not answer to what
//! gateways do is drawn here, ahead of the day.

use crate::scenario::{Backoff, Effect, Kind, Scenario, Shape, Span};
use doorcourse::{DedupScope, Name, Reports, Settings};
use fault_injection::Random;
use serde::Serialize;
use std::sync::Arc;

/// Time in whole microseconds since the day began.
pub type Micros = u64;

/// Microseconds of a time in ms.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// A time in ms.
pub fn millis(at: Micros) -> f64 {
    at as f64 / 1000.0
}

fn seconds(span: f64) -> Micros {
    micros(span * 1000.0)
}

/// The settings' clock shows this when the day begins, in ms: no special value.
pub const EPOCH: f64 = 1_000_000.0;

/// Ways and their times, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Net {
    /// Inside a zone.
    pub same_zone: f64,
    /// Between zones.
    pub cross_zone: f64,
    /// Between clients and gateways.
    pub client: f64,
    /// Each way takes up to this share longer.
    pub jitter: f64,
}

/// The clients of the day.
#[derive(Clone, Debug, Serialize)]
pub struct Clients {
    /// Further tries at most.
    pub retries: u32,
    /// The part of the deadline that one try gets.
    pub patience: f64,
    /// The first wait; the factor by which it grows with each try.
    pub backoff: (Micros, f64),
    /// The share that follows advice, and the longest that is followed.
    pub honour: f64,
    /// The longest advice followed.
    pub longest_advice: Micros,
    /// The share that leaves early.
    pub impatient: f64,
    /// The share of repeats that come through another gateway.
    pub elsewhere: f64,
    /// How long a dead gateway still gets requests.
    pub front_notice: Micros,
}

/// Discovery on this day.
#[derive(Clone, Debug, Serialize)]
pub struct Discovery {
    /// When a stop is noticed.
    pub notice: Micros,
    /// When silence is noticed.
    pub silent_notice: Micros,
    /// When a start is noticed.
    pub add: Micros,
    /// How often changes go out.
    pub period: Micros,
    /// The longest way of a change to a gateway.
    pub spread: Micros,
    /// The time that one line of a list takes.
    pub line: f64,
    /// A call that waited this long fails.
    pub timeout: Micros,
}

/// The counter on this day.
#[derive(Clone, Debug, Serialize)]
pub struct Counting {
    /// Parts.
    pub parts: usize,
    /// What a call takes of a part's time.
    pub turn: f64,
    /// What it takes beside.
    pub base: f64,
    /// The longest line of a part, as time.
    pub line: f64,
    /// Callers give up after this.
    pub timeout: Micros,
    /// Lost, it is back after this.
    pub back: Micros,
    /// Its zone.
    pub zone: usize,
}

/// One backend.
#[derive(Clone, Debug, Serialize)]
pub struct Backend {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
    /// Cores times speed, in core milliseconds of work a millisecond.
    pub speed: f64,
    /// When it starts; `None`: before the day.
    pub starts: Option<Micros>,
    /// When it drains, and is stopped thereafter.
    pub drains: Option<(Micros, Micros)>,
}

/// What all backends have in common on this day.
#[derive(Clone, Debug, Serialize)]
pub struct Machine {
    /// Cores.
    pub cores: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that wait at most.
    pub line: usize,
    /// What each request held beyond the knee takes of the capacity.
    pub thrash: f64,
    /// The requests held before that.
    pub knee: f64,
    /// The share of its capacity that a backend starts with.
    pub cold_share: f64,
    /// When it is warm.
    pub cold: Micros,
    /// The share of requests that fail.
    pub error_share: f64,
    /// Whether called-off work stops though it runs.
    pub stops_running_work: bool,
    /// Round trips of a new connection.
    pub handshake_rtts: f64,
    /// Work of a new connection, in core microseconds.
    pub handshake_work: f64,
    /// Connections at most.
    pub connections: usize,
    /// What a full table takes of the capacity.
    pub full_table_tax: f64,
    /// A connection not made by then is given up.
    pub connect_timeout: Micros,
    /// An idle connection is closed after this.
    pub idle: Micros,
    /// How often the load report is refreshed.
    pub report_period: Micros,
    /// How late it is.
    pub report_delay: Micros,
    /// How noisy it is.
    pub report_noise: f64,
    /// The work of a probe, in core microseconds.
    pub probe_work: f64,
}

/// What customers of a kind do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Habit {
    /// Use a part of the rate.
    Calm,
    /// Use nearly all.
    Full,
    /// Ask far more for long.
    Heavy,
    /// Ask far more now and then.
    Spiky,
    /// Ask far beyond the quota for the length of a trouble.
    Hot,
    /// Ask once.
    Once,
}

/// One customer.
#[derive(Clone, Debug, Serialize)]
pub struct Customer {
    /// Its name.
    pub name: Name,
    /// Its plan.
    pub plan: usize,
    /// What it does.
    pub habit: Habit,
    /// The first gateway of its set.
    pub first: usize,
    /// How many there are.
    pub spread: usize,
    /// What it asks of its rate, beside spells.
    pub base: f64,
}

/// A first try, as its client will send it.
#[derive(Clone, Debug, Serialize)]
pub struct Root {
    /// When.
    pub at: Micros,
    /// Whose.
    pub customer: u32,
    /// Its class.
    pub class: u8,
    /// The work of its answer, in core microseconds.
    pub work: f64,
    /// Whether one gateway that saw all first tries would have let it in.
    pub inside: bool,
    /// What its answer is worth at most.
    pub worth: f64,
}

/// A trouble with its time and its targets.
#[derive(Clone, Debug, Serialize)]
pub struct Trouble {
    /// What.
    #[serde(serialize_with = "kind_name")]
    pub kind: Kind,
    /// From when.
    pub from: Micros,
    /// Until when.
    pub until: Micros,
    /// Which machines, by number.
    pub targets: Vec<usize>,
    /// Which zone.
    pub zone: usize,
    /// How bad.
    pub size: f64,
}

fn kind_name<S: serde::Serializer>(kind: &Kind, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&format!("{kind:?}"))
}

impl Trouble {
    /// Whether it is on.
    pub fn on(&self, at: Micros) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// A class as the world needs it.
#[derive(Clone, Debug, Serialize)]
pub struct Class {
    /// Its name.
    pub name: Name,
    /// Answers are wanted within this.
    pub aim: Micros,
    /// The client's whole wait.
    pub deadline: Micros,
    /// The worth of an answer.
    pub worth: f64,
    /// Whether it must never run twice.
    pub once: bool,
    /// How much an attempt's work differs.
    pub attempt_noise: f64,
}

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's digest.
    pub digest: String,
    /// What it was drawn with.
    pub seed: u64,
    /// How long requests come.
    pub length: Micros,
    /// The network.
    pub net: Net,
    /// The clients.
    pub clients: Clients,
    /// Discovery.
    pub discovery: Discovery,
    /// The counter.
    pub counter: Counting,
    /// What backends have in common.
    pub machine: Machine,
    /// The backends.
    pub backends: Vec<Backend>,
    /// The zone of each gateway.
    pub gateways: Vec<usize>,
    /// The classes.
    pub classes: Vec<Class>,
    /// The customers.
    pub customers: Vec<Customer>,
    /// How uneven sets are, and how often that changes.
    pub skew: f64,
    /// How often the weights of sets change.
    pub shift: Micros,
    /// First tries, by time.
    pub roots: Vec<Root>,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// What gateways are told; number, zone aside.
    pub settings: Settings,
    /// What the judge goes by.
    pub scenario_of: Arc<Scenario>,
}

/// How one customer's demand moves: spells in which it asks so many times its base.
struct Demand {
    base: f64,
    spells: Vec<(Micros, Micros, f64)>,
}

impl Demand {
    fn at(&self, at: Micros) -> f64 {
        let spell = self.spells.iter().find(|(from, until, _)| (*from..*until).contains(&at));
        spell.map_or(self.base, |(_, _, times)| *times)
    }

    fn most(&self) -> f64 {
        self.spells.iter().map(|(_, _, times)| *times).fold(self.base, f64::max)
    }
}

/// The store of a quota, as the one who sees everything keeps it.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// What it holds.
    pub held: f64,
    /// When that was.
    pub at: Micros,
}

impl Store {
    /// Fills the store up to now.
    pub fn fill(&mut self, at: Micros, rate: f64, burst: f64) -> f64 {
        let span = at.saturating_sub(self.at) as f64 / 1e6;
        self.held = (self.held + rate * span).min(burst);
        self.at = self.at.max(at);
        self.held
    }
}

impl Day {
    /// Draws the day of this seed.
    pub fn draw(scenario: &Arc<Scenario>, seed: u64) -> Self {
        let site = &scenario.site;
        let mut random = Random::new(seed, "day", 0);
        let length = seconds(random.within(scenario.length_s));
        let zones = site.net.zones.len();
        let pace = random.within(scenario.pace);
        let rates = random.within(scenario.rates);
        let net = Net {
            same_zone: random.within(site.net.same_zone) * 1000.0,
            cross_zone: random.within(site.net.cross_zone) * 1000.0,
            client: random.within(site.net.client) * 1000.0,
            jitter: random.within(site.net.jitter),
        };
        let first_wait = random.within(site.clients.backoff_ms) * pace;
        let clients = Clients {
            retries: random.integer_within(site.clients.retries) as u32,
            patience: random.within(site.clients.patience.0),
            backoff: match random.one_of(&site.clients.backoff) {
                Backoff::None => (0, 1.0),
                Backoff::Fixed => (micros(first_wait), 1.0),
                Backoff::Exponential => (micros(first_wait), 2.0),
            },
            honour: random.within(site.clients.honour.0),
            longest_advice: micros(site.clients.longest_advice),
            impatient: random.within(site.clients.impatient.0),
            elsewhere: random.within(site.clients.elsewhere.0),
            front_notice: seconds(random.within(site.clients.front_notice_s)),
        };
        let discovery = Discovery {
            notice: seconds(random.within(site.discovery.notice_s)),
            silent_notice: seconds(random.within(site.discovery.silent_notice_s)),
            add: seconds(random.within(site.discovery.add_s)),
            period: micros(random.within(site.discovery.period_ms.0)),
            spread: micros(random.within(site.discovery.spread_ms)),
            line: 1e6 / random.within(site.discovery.lines_per_s.0),
            timeout: micros(site.discovery.timeout_ms),
        };
        let parts = random.integer_within(site.counter.parts.0);
        let counter = Counting {
            parts,
            turn: 1e6 * parts as f64 / random.within(site.counter.calls_per_s.0),
            base: random.within(site.counter.base_ms) * 1000.0,
            line: random.within(site.counter.line) * site.counter.timeout_ms * 1000.0,
            timeout: micros(site.counter.timeout_ms),
            back: seconds(random.within(site.counter.back_s)),
            zone: random.below(zones),
        };
        let kind = &site.backend;
        let cores = f64::from(kind.cores);
        let machine = Machine {
            cores,
            slots: (cores * random.integer_within(kind.slots_per_core.0) as f64) as usize,
            line: (cores * random.integer_within(kind.line_per_core.0) as f64) as usize,
            thrash: random.within(kind.thrash),
            knee: cores * random.within(kind.thrash_at),
            cold_share: random.within(kind.cold_share.0),
            cold: seconds(random.within(kind.cold_s.0)),
            error_share: random.within(kind.error_share.0),
            stops_running_work: random.happens(kind.stops_running_work),
            handshake_rtts: random.within(kind.handshake_rtts),
            handshake_work: random.within(kind.handshake_work_ms) * 1000.0,
            connections: (cores * random.within(kind.connections_per_core.0)) as usize,
            full_table_tax: random.within(kind.full_table_tax.0),
            connect_timeout: micros(kind.connect_timeout_ms),
            idle: seconds(kind.idle_s),
            report_period: micros(random.within(kind.report_period_ms.0)),
            report_delay: micros(random.within(kind.report_delay_ms)),
            report_noise: random.within(kind.report_noise),
            probe_work: random.within(kind.probe_work_ms) * 1000.0,
        };
        let mut random = Random::new(seed, "machines", 0);
        let (mean_speed, spread) = (random.within(kind.speed.0), random.within(kind.speed_spread));
        let new_backend = |random: &mut Random, number: usize| Backend {
            name: format!("b{:08x}", random.next_u64() as u32).into(),
            zone: random.below(zones),
            cell: (number / 4) as u64,
            speed: cores * mean_speed * random.lognormal(spread),
            starts: None,
            drains: None,
        };
        let mut backends: Vec<_> =
            (0..random.integer_within(scenario.backends)).map(|n| new_backend(&mut random, n)).collect();
        // Zones are about even: their number goes round in an order that the seed gives.
        let offset = random.below(zones);
        backends.iter_mut().enumerate().for_each(|(n, b)| b.zone = (n + offset) % zones);
        let gateways: Vec<usize> =
            (0..random.integer_within(scenario.gateways)).map(|_| random.below(zones)).collect();

        let mut random = Random::new(seed, "troubles", 0);
        let mut troubles = Vec::new();
        for trouble in &scenario.troubles {
            let comes = random.happens(trouble.chance);
            let lasts = seconds(random.within(trouble.for_s)).min(length);
            let latest = (length as f64 * 0.9 - lasts as f64).max(length as f64 * 0.15);
            let range = Span { min: length as f64 * 0.15, max: latest };
            let drawn = random.within(range) as Micros;
            let from = trouble.from_s.map_or(drawn, |span| seconds(random.within(span))).min(length);
            let part = random.within(trouble.part.0);
            let size = random.within(trouble.size);
            let zone = random.below(zones);
            let of_gateways = matches!(trouble.kind, Kind::GatewayCrash | Kind::GatewayRoll);
            let total = if of_gateways { gateways.len() } else { backends.len() };
            let mut order: Vec<(u64, usize)> = (0..total).map(|n| (random.next_u64(), n)).collect();
            order.sort_unstable();
            let count = ((total as f64 * part).round() as usize).clamp(1, total);
            let targets = order.into_iter().take(count).map(|(_, n)| n).collect();
            if comes {
                let until = from + lasts;
                troubles.push(Trouble { kind: trouble.kind, from, until, targets, zone, size });
            }
        }
        let initial = backends.len();
        for trouble in troubles.iter().filter(|t| t.kind == Kind::Replace) {
            let steps = trouble.targets.len().div_ceil(6).max(1);
            for (n, target) in trouble.targets.iter().enumerate().filter(|(_, t)| **t < initial) {
                let step = (trouble.until - trouble.from) * (n / steps) as u64 / 6;
                let at = trouble.from + step;
                let mut new = new_backend(&mut random, backends.len());
                new.zone = backends[*target].zone;
                new.starts = Some(at);
                backends[*target].drains = Some((at, at + seconds(10.0)));
                backends.push(new);
            }
        }

        let mut random = Random::new(seed, "classes", 0);
        let shares: Vec<f64> = site.class.iter().map(|c| random.within(c.share.0)).collect();
        let share_sum: f64 = shares.iter().sum();
        let works: Vec<f64> = site.class.iter().map(|c| random.within(c.work_ms.0) * pace).collect();
        let spreads: Vec<f64> = site.class.iter().map(|c| random.within(c.spread)).collect();
        let shapes: Vec<Shape> = site.class.iter().map(|c| *random.one_of(&c.shape)).collect();
        let classes: Vec<Class> = site
            .class
            .iter()
            .map(|c| Class {
                name: c.name.as_str().into(),
                aim: micros(c.aim_ms * pace),
                deadline: micros(c.deadline_ms * pace),
                worth: c.worth,
                once: c.effect == Effect::Unsafe,
                attempt_noise: random.within(c.attempt_noise),
            })
            .collect();
        let mean_work: f64 = works.iter().zip(&shares).map(|(w, s)| w * s / share_sum).sum();
        let capacity: f64 = backends[..initial].iter().map(|b| b.speed).sum::<f64>() / mean_work * 1000.0;
        let inside = capacity * random.within(site.load.inside.0);
        let swing = random.within(site.load.swing.0);
        let phase = random.unit();
        let random_excess = random.within(site.load.most_excess);

        let plans: Vec<doorcourse::Plan> = site
            .plan
            .iter()
            .map(|plan| {
                let rate = (random.within(plan.rate.0) * rates * 100.0).round() / 100.0;
                let burst = (rate * random.within(plan.burst_s.0)).round().max(2.0);
                let ceiling = plan.ceiling.map_or(0.0, |times| random.within(times.0));
                let ceiling_burst = (burst.max(4.0) * ceiling).round();
                let idle_out = rate * mean_work / 1000.0 / mean_speed;
                let open = plan.open.map_or(0.0, |times| (random.within(times.0) * idle_out).ceil().max(2.0));
                doorcourse::Plan {
                    name: plan.name.as_str().into(),
                    rate,
                    burst: if ceiling > 0.0 { burst.max(4.0) } else { burst },
                    open: open as u32,
                    ceiling_rate: rate * ceiling,
                    ceiling_burst,
                    ceiling_slack: if ceiling > 0.0 {
                        (ceiling_burst * site.rules.ceiling_slack).max(1.0)
                    } else {
                        0.0
                    },
                    price: plan.price,
                    over_worth: plan.over_worth,
                    over_cost: plan.over_cost,
                }
            })
            .collect();

        // The customers, until their use inside the quotas makes up the load.
        let ranges = &site.customers;
        let (full, heavy, spiky) =
            (random.within(ranges.full.0), random.within(ranges.heavy.0), random.within(ranges.spiky.0));
        let every = random.within(ranges.spike_every_s.0);
        let (mut customers, mut demands) = (Vec::new(), Vec::new());
        let mut excess = 0.0;
        let count = gateways.len();
        let set_of = |random: &mut Random, plan: usize| {
            let wanted = random.within(site.plan[plan].set.0) * count as f64;
            let most = if plans[plan].ceiling_rate > 0.0 {
                (plans[plan].ceiling_burst / 2.0).floor()
            } else {
                count as f64
            };
            let spread = wanted.min(most).round().max(2.0).min(count as f64) as usize;
            (random.below(count), spread)
        };
        for (number, plan) in plans.iter().enumerate() {
            let mut random = Random::new(seed, "customers", number as u64);
            let wanted = inside * site.plan[number].share;
            let mut use_inside = 0.0;
            while use_inside < wanted {
                let (first, spread) = set_of(&mut random, number);
                let lot = random.unit();
                let habit = match lot {
                    _ if lot < full => Habit::Full,
                    _ if lot < full + heavy => Habit::Heavy,
                    _ if lot < full + heavy + spiky => Habit::Spiky,
                    _ => Habit::Calm,
                };
                let base = match habit {
                    Habit::Full => 0.85 + 0.15 * random.unit(),
                    _ => random.within(ranges.calm_use.0),
                };
                let mut spells = Vec::new();
                let mut at = seconds(every * random.unit());
                let mut spell = |at: Micros, lasts: f64, times: f64| {
                    let until = at + seconds(lasts);
                    spells.push((at, until, times));
                    until
                };
                match habit {
                    Habit::Heavy => {
                        let times = random.within(ranges.heavy_times);
                        at = 0;
                        while at < length {
                            let end = spell(at, 8.0 + 12.0 * random.unit(), times);
                            at = end + seconds(1.0 + 3.0 * random.unit());
                        }
                        use_inside += plan.rate;
                        excess += plan.rate * (times - 1.0).max(0.0) * 0.85;
                    }
                    Habit::Spiky => {
                        let lasts = random.within(ranges.spike_s.0);
                        let times = random.within(ranges.spike_times);
                        while at < length {
                            let end = spell(at, lasts, times);
                            at = end + seconds(every * (0.5 + random.unit()));
                        }
                        let share = lasts / (lasts + every);
                        let room = (plan.burst / plan.rate / lasts + 1.0).min(times);
                        use_inside += plan.rate * (base * (1.0 - share) + share * room);
                        excess += plan.rate * share * (times - room).max(0.0);
                    }
                    _ => use_inside += plan.rate * base,
                }
                let name = format!("{:016x}", random.next_u64() % (1 << 33)).into();
                customers.push(Customer { name, plan: number, habit, first, spread, base });
                demands.push(Demand { base, spells });
            }
        }
        // What is asked beyond the quotas is bounded over all.
        let most_excess = random_excess * inside;
        let cut = if excess > most_excess { most_excess / excess } else { 1.0 };
        for demand in &mut demands {
            for (_, _, times) in &mut demand.spells {
                *times = if *times > 1.0 { 1.0 + (*times - 1.0) * cut } else { *times };
            }
        }
        for trouble in &troubles {
            match trouble.kind {
                // Load is a rate a second: some customers ask for a share of all of it on top.
                Kind::HotCustomer => {
                    let hot = 1 + random.below(3);
                    for _ in 0..hot {
                        let chosen = random.below(customers.len());
                        let times =
                            2.5 * trouble.size * inside / hot as f64 / plans[customers[chosen].plan].rate;
                        customers[chosen].habit = Habit::Hot;
                        let spells = &mut demands[chosen].spells;
                        spells.retain(|(from, until, _)| *until <= trouble.from || *from >= trouble.until);
                        spells.push((trouble.from, trouble.until, times));
                    }
                }
                Kind::OneOffs => {
                    let count = 2.5 * trouble.size * inside * (trouble.until - trouble.from) as f64 / 1e6;
                    for _ in 0..count as usize {
                        let plan = random.below(plans.len());
                        let (first, spread) = set_of(&mut random, plan);
                        let name = format!("{:016x}", random.next_u64() % (1 << 33)).into();
                        customers.push(Customer { name, plan, habit: Habit::Once, first, spread, base: 0.0 });
                        demands.push(Demand { base: 0.0, spells: Vec::new() });
                    }
                }
                _ => {}
            }
        }

        let bursts: Vec<&Trouble> = troubles.iter().filter(|t| t.kind == Kind::Burst).collect();
        let mut roots = Vec::new();
        for (number, (customer, demand)) in customers.iter().zip(&demands).enumerate() {
            let mut random = Random::new(seed, "requests", number as u64);
            let plan = &plans[customer.plan];
            let mut store = Store { held: plan.burst, at: 0 };
            let mut out: Vec<Micros> = Vec::new();
            let wave = |at: Micros| {
                let turn = (at as f64 / length as f64 + phase) * std::f64::consts::TAU;
                1.0 + swing * turn.sin()
            };
            let top = 1.0 + swing + bursts.iter().map(|t| t.size).sum::<f64>();
            let most = plan.rate * demand.most() * top;
            let mut at = 0.0;
            loop {
                let once = customer.habit == Habit::Once;
                if once {
                    let trouble = troubles.iter().find(|t| t.kind == Kind::OneOffs);
                    let Some(trouble) = trouble.filter(|_| at == 0.0) else { break };
                    at = trouble.from as f64 + random.unit() * (trouble.until - trouble.from) as f64;
                } else {
                    at += random.exponential() / most.max(1e-9) * 1e6;
                }
                let now = at as Micros;
                if now >= length {
                    break;
                }
                let burst: f64 = bursts.iter().filter(|t| t.on(now)).map(|t| t.size).sum();
                let rate = plan.rate * demand.at(now) * (wave(now) + burst);
                if !once && !random.happens(rate / most) {
                    continue;
                }
                let mut lot = random.unit() * share_sum;
                let class = shares.iter().position(|share| {
                    lot -= share;
                    lot < 0.0
                });
                let class = class.unwrap_or(0);
                let factor = match shapes[class] {
                    Shape::Exponential => random.exponential(),
                    Shape::Lognormal => random.lognormal(spreads[class]),
                };
                let work = works[class] * factor * 1000.0;
                store.fill(now, plan.rate, plan.burst);
                out.retain(|end| *end > now);
                let inside = store.held >= 1.0 && (plan.open == 0 || (out.len() as u32) < plan.open);
                if inside {
                    store.held -= 1.0;
                    out.push(now + (work / mean_speed) as Micros);
                }
                let worth = classes[class].worth * plan.price;
                roots.push(Root {
                    at: now,
                    customer: number as u32,
                    class: class as u8,
                    work,
                    inside,
                    worth,
                });
            }
        }
        roots.sort_by_key(|root| (root.at, root.customer));

        let settings = Settings {
            gateways: count as u32,
            tick: 1.0,
            classes: classes
                .iter()
                .map(|c| doorcourse::Class {
                    name: c.name.clone(),
                    latency_target: millis(c.aim),
                    idempotency: if c.once {
                        doorcourse::Idempotency::Unsafe
                    } else {
                        doorcourse::Idempotency::Safe
                    },
                    dedup_scope: DedupScope::All,
                    dedup_window: millis(c.deadline),
                    worth: c.worth,
                    late_worth: 0.0,
                })
                .collect(),
            plans,
            counter: true,
            counter_timeout: site.counter.timeout_ms,
            max_units: 1.0,
            reports: Reports::Answers,
            probes: true,
            may_cancel: true,
            max_attempts: site.rules.most_attempts,
            max_retry_after: site.clients.longest_advice,
            cold_capacity: site.rules.told_cold_share,
            warmup_time: site.rules.told_cold_s * 1000.0,
            overload_factor: site.rules.fall_multiple,
            overload_window: site.rules.fall_ms,
            price_cross_zone: site.prices.cross_zone,
            ..Settings::default()
        };
        let mut random = Random::new(seed, "sets", 0);
        Self {
            scenario: scenario.name.clone(),
            digest: scenario.digest.clone(),
            seed,
            length,
            net,
            clients,
            discovery,
            counter,
            machine,
            backends,
            gateways,
            classes,
            customers,
            skew: random.within(ranges.skew),
            shift: seconds(random.within(ranges.shift_s.0)),
            roots,
            troubles,
            settings,
            scenario_of: scenario.clone(),
        }
    }

    /// Through which gateway of its set a customer's request comes: a draw from 0 to below 1, at a time. Sets are
    /// uneven, and which gateways are the busiest changes now and then.
    pub fn gateway_of(&self, customer: usize, at: Micros, lot: f64) -> usize {
        let Customer { first, spread, .. } = self.customers[customer];
        let epoch = at / self.shift.max(1);
        // Ranks by the power law, drawn through the integral of its weights.
        let (top, power) = (spread as f64, 1.0 - self.skew.min(0.999));
        let rank = ((((top + 1.0).powf(power) - 1.0) * lot + 1.0).powf(1.0 / power) - 1.0) as usize;
        let mixed = mix(self.seed ^ mix(customer as u64 ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let place =
            (rank.min(spread - 1) * step_of(spread, mixed) + (mixed >> 32) as usize % spread) % spread;
        (first + place) % self.gateways.len()
    }
}

/// A step that visits every place of a circle before any twice.
fn step_of(places: usize, chance: u64) -> usize {
    let shares = |mut a: usize, mut b: usize| {
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a > 1
    };
    let mut step = 1 + chance as usize % places.max(1);
    while shares(step, places) && step > 1 {
        step -= 1;
    }
    step.max(1)
}

/// Spreads the bits of a number: the finisher of splitmix64.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
