//! A simulated day, determined completely by scenario and seed. Everything that does not depend on the gateways'
//! behaviour is drawn here, before the simulation starts.

use crate::scenario::{Backoff, Effect, Kind, Scenario, Shape, Span};
use doorcourse::{DedupScope, Name, Reports, Settings};
use fault_injection::Random;
use serde::Serialize;
use std::sync::Arc;

/// Time in whole microseconds since the day began.
pub type Micros = u64;

/// Converts milliseconds to whole microseconds.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// Converts microseconds to milliseconds.
pub fn millis(at: Micros) -> f64 {
    at as f64 / 1000.0
}

fn seconds(span: f64) -> Micros {
    micros(span * 1000.0)
}

/// The gateways' clock at the start of the day, in ms. The value has no special meaning.
pub const EPOCH: f64 = 1_000_000.0;

/// Latencies of the network, one way, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Net {
    /// Latency within a zone.
    pub same_zone: f64,
    /// Latency between zones.
    pub cross_zone: f64,
    /// Latency between clients and gateways.
    pub client: f64,
    /// Each latency is increased by a random share of up to this value.
    pub jitter: f64,
}

/// The behaviour of the clients on this day.
#[derive(Clone, Debug, Serialize)]
pub struct Clients {
    /// The maximum number of retries.
    pub retries: u32,
    /// The share of the deadline that a client waits for one try.
    pub patience: f64,
    /// The first backoff delay, and the factor by which the delay grows with each retry.
    pub backoff: (Micros, f64),
    /// The share of retries that follow the gateway's retry advice.
    pub honour: f64,
    /// The maximum advised delay that clients follow.
    pub longest_advice: Micros,
    /// The share of tries whose client leaves early.
    pub impatient: f64,
    /// The share of retries that go to another gateway.
    pub elsewhere: f64,
    /// How long a dead gateway still receives requests from the front.
    pub front_notice: Micros,
}

/// The behaviour of discovery on this day.
#[derive(Clone, Debug, Serialize)]
pub struct Discovery {
    /// Delay until discovery notices that a process has stopped.
    pub notice: Micros,
    /// Delay until discovery notices that a machine does not respond.
    pub silent_notice: Micros,
    /// Delay until discovery lists a started backend.
    pub add: Micros,
    /// Interval at which changes are published.
    pub period: Micros,
    /// The maximum delay of a change on the way to a gateway.
    pub spread: Micros,
    /// The time to write one line of a full list, in microseconds.
    pub line: f64,
    /// A request for the full list fails if it would take longer than this.
    pub timeout: Micros,
}

/// The model of the counter on this day.
#[derive(Clone, Debug, Serialize)]
pub struct Counting {
    /// The number of partitions.
    pub parts: usize,
    /// The time for which a call occupies its partition, in microseconds.
    pub turn: f64,
    /// The additional processing time of a call, in microseconds.
    pub base: f64,
    /// The maximum queueing time at a partition, in microseconds.
    pub line: f64,
    /// The timeout of callers.
    pub timeout: Micros,
    /// Time until the counter is available again after a failure, which loses all its values.
    pub back: Micros,
    /// The counter's zone.
    pub zone: usize,
}

/// One backend.
#[derive(Clone, Debug, Serialize)]
pub struct Backend {
    /// The backend's name.
    pub name: Name,
    /// The backend's zone.
    pub zone: usize,
    /// Number of the backend's cell, a group of four backends with consecutive numbers.
    pub cell: u64,
    /// Cores times speed, in core milliseconds of work per millisecond.
    pub speed: f64,
    /// When the backend starts; `None` if it started before the day.
    pub starts: Option<Micros>,
    /// When the backend starts to drain, and when it is stopped.
    pub drains: Option<(Micros, Micros)>,
}

/// The properties that all backends share on this day.
#[derive(Clone, Debug, Serialize)]
pub struct Machine {
    /// The number of cores.
    pub cores: f64,
    /// The maximum number of running requests.
    pub slots: usize,
    /// The maximum length of the wait queue.
    pub line: usize,
    /// The loss of capacity per request held above `knee`.
    pub thrash: f64,
    /// The number of held requests up to which the capacity is not reduced.
    pub knee: f64,
    /// The share of its capacity with which a backend starts.
    pub cold_share: f64,
    /// The duration of the warm-up.
    pub cold: Micros,
    /// The share of requests that fail.
    pub error_share: f64,
    /// Whether a cancellation also stops work that is already running.
    pub stops_running_work: bool,
    /// The round trips of a new connection.
    pub handshake_rtts: f64,
    /// The backend's work for a new connection, in core microseconds.
    pub handshake_work: f64,
    /// The maximum number of connections.
    pub connections: usize,
    /// The share of the capacity that a full connection table costs.
    pub full_table_tax: f64,
    /// The connect timeout.
    pub connect_timeout: Micros,
    /// The idle timeout of connections.
    pub idle: Micros,
    /// How often the load report is refreshed.
    pub report_period: Micros,
    /// The delay of the load report.
    pub report_delay: Micros,
    /// The relative noise of the load report.
    pub report_noise: f64,
    /// The work of a probe, in core microseconds.
    pub probe_work: f64,
}

/// The demand pattern of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Habit {
    /// Uses a part of its rate.
    Calm,
    /// Uses nearly its whole rate.
    Full,
    /// Exceeds its rate by far for long periods.
    Heavy,
    /// Exceeds its rate by far in short spikes.
    Spiky,
    /// Exceeds its quota by far for the duration of a trouble.
    Hot,
    /// Sends a single request.
    Once,
}

/// One customer.
#[derive(Clone, Debug, Serialize)]
pub struct Customer {
    /// The customer's name.
    pub name: Name,
    /// The number of the customer's plan.
    pub plan: usize,
    /// The customer's demand pattern.
    pub habit: Habit,
    /// The first gateway of the customer's set: the gateways that receive the customer's requests.
    pub first: usize,
    /// The number of gateways in the set.
    pub spread: usize,
    /// The share of its rate that the customer requests outside of its peaks.
    pub base: f64,
}

/// The first try of a client's request.
#[derive(Clone, Debug, Serialize)]
pub struct FirstTry {
    /// When the client sends the try.
    pub at: Micros,
    /// The number of the customer.
    pub customer: u32,
    /// The number of the request class.
    pub class: u8,
    /// The work of the request, in core microseconds.
    pub work: f64,
    /// Whether a single gateway that received all first tries would have admitted this one within the quota.
    pub inside: bool,
    /// The maximum worth of the answer.
    pub worth: f64,
}

/// A trouble with its time and its targets.
#[derive(Clone, Debug, Serialize)]
pub struct Trouble {
    /// The kind of the trouble.
    #[serde(serialize_with = "kind_name")]
    pub kind: Kind,
    /// When the trouble begins.
    pub from: Micros,
    /// When the trouble ends.
    pub until: Micros,
    /// The numbers of the affected machines.
    pub targets: Vec<usize>,
    /// The number of the affected zone.
    pub zone: usize,
    /// The severity; its meaning depends on the kind.
    pub size: f64,
}

fn kind_name<S: serde::Serializer>(kind: &Kind, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&format!("{kind:?}"))
}

impl Trouble {
    /// Whether the trouble is active at this time.
    pub fn on(&self, at: Micros) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// A request class.
#[derive(Clone, Debug, Serialize)]
pub struct Class {
    /// The name of the class.
    pub name: Name,
    /// The target latency: only answers within this time earn their worth.
    pub aim: Micros,
    /// The deadline of the client's request, from the first try.
    pub deadline: Micros,
    /// The worth of an answer.
    pub worth: f64,
    /// Whether requests of the class must never run twice.
    pub once: bool,
    /// The spread of the work among attempts of one request.
    pub attempt_noise: f64,
}

/// A simulated day.
#[derive(Clone, Debug)]
pub struct Day {
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's digest.
    pub digest: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The time over which clients send first tries.
    pub length: Micros,
    /// The network.
    pub net: Net,
    /// The clients.
    pub clients: Clients,
    /// Discovery.
    pub discovery: Discovery,
    /// The counter.
    pub counter: Counting,
    /// The properties that all backends share.
    pub machine: Machine,
    /// The backends.
    pub backends: Vec<Backend>,
    /// The zone of each gateway.
    pub gateways: Vec<usize>,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The customers.
    pub customers: Vec<Customer>,
    /// The exponent of the power law by which a customer's requests are distributed over its set of gateways.
    pub skew: f64,
    /// Interval at which the ranks of the gateways in a customer's set change, and with them the busiest gateways.
    pub shift: Micros,
    /// First tries, ordered by time.
    pub first_tries: Vec<FirstTry>,
    /// The troubles of the day.
    pub troubles: Vec<Trouble>,
    /// The settings that gateways receive, except their number and zone.
    pub settings: Settings,
    /// The scenario from which the day was drawn; the judge reads its rules from here.
    pub source: Arc<Scenario>,
}

/// The demand of one customer over time: peaks with a multiple of the rate, and a base between them.
struct Demand {
    base: f64,
    peaks: Vec<(Micros, Micros, f64)>,
}

impl Demand {
    fn at(&self, at: Micros) -> f64 {
        let peak = self.peaks.iter().find(|(from, until, _)| (*from..*until).contains(&at));
        peak.map_or(self.base, |(_, _, times)| *times)
    }

    fn max(&self) -> f64 {
        self.peaks.iter().map(|(_, _, times)| *times).fold(self.base, f64::max)
    }
}

/// Token bucket of a customer's quota across all gateways. No real gateway can observe this bucket, because each
/// gateway receives only a part of the customer's requests.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    /// The units in the bucket.
    pub held: f64,
    /// The time at which `held` was computed.
    pub at: Micros,
}

impl TokenBucket {
    /// Refills the bucket up to `at` and returns its content.
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
        // Distributes the backends evenly over the zones: round-robin, with a random offset.
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

        // Adds customers until their use within the quotas makes up the intended load.
        let ranges = &site.customers;
        let (full, heavy, spiky) =
            (random.within(ranges.full.0), random.within(ranges.heavy.0), random.within(ranges.spiky.0));
        let every = random.within(ranges.spike_every_s.0);
        let (mut customers, mut demands) = (Vec::new(), Vec::new());
        let mut excess = 0.0;
        let count = gateways.len();
        let set_of = |random: &mut Random, plan: usize| {
            let wanted = random.within(site.plan[plan].set.0) * count as f64;
            let max = if plans[plan].ceiling_rate > 0.0 {
                (plans[plan].ceiling_burst / 2.0).floor()
            } else {
                count as f64
            };
            let spread = wanted.min(max).round().max(2.0).min(count as f64) as usize;
            (random.below(count), spread)
        };
        for (number, plan) in plans.iter().enumerate() {
            let mut random = Random::new(seed, "customers", number as u64);
            let wanted = inside * site.plan[number].share;
            let mut use_inside = 0.0;
            while use_inside < wanted {
                let (first, spread) = set_of(&mut random, number);
                let draw = random.unit();
                let habit = match draw {
                    _ if draw < full => Habit::Full,
                    _ if draw < full + heavy => Habit::Heavy,
                    _ if draw < full + heavy + spiky => Habit::Spiky,
                    _ => Habit::Calm,
                };
                let base = match habit {
                    Habit::Full => 0.85 + 0.15 * random.unit(),
                    _ => random.within(ranges.calm_use.0),
                };
                let mut peaks = Vec::new();
                let mut at = seconds(every * random.unit());
                let mut peak = |at: Micros, lasts: f64, times: f64| {
                    let until = at + seconds(lasts);
                    peaks.push((at, until, times));
                    until
                };
                match habit {
                    Habit::Heavy => {
                        let times = random.within(ranges.heavy_times);
                        at = 0;
                        while at < length {
                            let end = peak(at, 8.0 + 12.0 * random.unit(), times);
                            at = end + seconds(1.0 + 3.0 * random.unit());
                        }
                        use_inside += plan.rate;
                        excess += plan.rate * (times - 1.0).max(0.0) * 0.85;
                    }
                    Habit::Spiky => {
                        let lasts = random.within(ranges.spike_s.0);
                        let times = random.within(ranges.spike_times);
                        while at < length {
                            let end = peak(at, lasts, times);
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
                demands.push(Demand { base, peaks });
            }
        }
        // Limits the total demand beyond the quotas.
        let most_excess = random_excess * inside;
        let cut = if excess > most_excess { most_excess / excess } else { 1.0 };
        for demand in &mut demands {
            for (_, _, times) in &mut demand.peaks {
                *times = if *times > 1.0 { 1.0 + (*times - 1.0) * cut } else { *times };
            }
        }
        for trouble in &troubles {
            match trouble.kind {
                // One to three customers together request 2.5 * `size` times the demand within the quotas.
                Kind::HotCustomer => {
                    let hot = 1 + random.below(3);
                    for _ in 0..hot {
                        let chosen = random.below(customers.len());
                        let times =
                            2.5 * trouble.size * inside / hot as f64 / plans[customers[chosen].plan].rate;
                        customers[chosen].habit = Habit::Hot;
                        let peaks = &mut demands[chosen].peaks;
                        peaks.retain(|(from, until, _)| *until <= trouble.from || *from >= trouble.until);
                        peaks.push((trouble.from, trouble.until, times));
                    }
                }
                Kind::OneOffs => {
                    let count = 2.5 * trouble.size * inside * (trouble.until - trouble.from) as f64 / 1e6;
                    for _ in 0..count as usize {
                        let plan = random.below(plans.len());
                        let (first, spread) = set_of(&mut random, plan);
                        let name = format!("{:016x}", random.next_u64() % (1 << 33)).into();
                        customers.push(Customer { name, plan, habit: Habit::Once, first, spread, base: 0.0 });
                        demands.push(Demand { base: 0.0, peaks: Vec::new() });
                    }
                }
                _ => {}
            }
        }

        let bursts: Vec<&Trouble> = troubles.iter().filter(|t| t.kind == Kind::Burst).collect();
        let mut first_tries = Vec::new();
        for (number, (customer, demand)) in customers.iter().zip(&demands).enumerate() {
            let mut random = Random::new(seed, "requests", number as u64);
            let plan = &plans[customer.plan];
            let mut bucket = TokenBucket { held: plan.burst, at: 0 };
            let mut out: Vec<Micros> = Vec::new();
            let wave = |at: Micros| {
                let turn = (at as f64 / length as f64 + phase) * std::f64::consts::TAU;
                1.0 + swing * turn.sin()
            };
            let top = 1.0 + swing + bursts.iter().map(|t| t.size).sum::<f64>();
            let max_rate = plan.rate * demand.max() * top;
            let mut at = 0.0;
            loop {
                let once = customer.habit == Habit::Once;
                if once {
                    let trouble = troubles.iter().find(|t| t.kind == Kind::OneOffs);
                    let Some(trouble) = trouble.filter(|_| at == 0.0) else { break };
                    at = trouble.from as f64 + random.unit() * (trouble.until - trouble.from) as f64;
                } else {
                    at += random.exponential() / max_rate.max(1e-9) * 1e6;
                }
                let now = at as Micros;
                if now >= length {
                    break;
                }
                let burst: f64 = bursts.iter().filter(|t| t.on(now)).map(|t| t.size).sum();
                let rate = plan.rate * demand.at(now) * (wave(now) + burst);
                if !once && !random.happens(rate / max_rate) {
                    continue;
                }
                let mut draw = random.unit() * share_sum;
                let class = shares.iter().position(|share| {
                    draw -= share;
                    draw < 0.0
                });
                let class = class.unwrap_or(0);
                let factor = match shapes[class] {
                    Shape::Exponential => random.exponential(),
                    Shape::Lognormal => random.lognormal(spreads[class]),
                };
                let work = works[class] * factor * 1000.0;
                bucket.fill(now, plan.rate, plan.burst);
                out.retain(|end| *end > now);
                let inside = bucket.held >= 1.0 && (plan.open == 0 || (out.len() as u32) < plan.open);
                if inside {
                    bucket.held -= 1.0;
                    out.push(now + (work / mean_speed) as Micros);
                }
                let worth = classes[class].worth * plan.price;
                first_tries.push(FirstTry {
                    at: now,
                    customer: number as u32,
                    class: class as u8,
                    work,
                    inside,
                    worth,
                });
            }
        }
        first_tries.sort_by_key(|first_try| (first_try.at, first_try.customer));

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
            first_tries,
            troubles,
            settings,
            source: scenario.clone(),
        }
    }

    /// The gateway of the customer's set that receives a request at this time; `random` is drawn from 0 to below 1.
    /// Requests are distributed unevenly over the set, and the busiest gateways change from time to time.
    pub fn gateway_of(&self, customer: usize, at: Micros, random: f64) -> usize {
        let Customer { first, spread, .. } = self.customers[customer];
        let epoch = at / self.shift.max(1);
        // Ranks follow a power law, drawn through the integral of its weights.
        let (top, power) = (spread as f64, 1.0 - self.skew.min(0.999));
        let rank = ((((top + 1.0).powf(power) - 1.0) * random + 1.0).powf(1.0 / power) - 1.0) as usize;
        let mixed = mix(self.seed ^ mix(customer as u64 ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let place =
            (rank.min(spread - 1) * ring_step(spread, mixed) + (mixed >> 32) as usize % spread) % spread;
        (first + place) % self.gateways.len()
    }
}

/// Step width through a ring of `places` positions. The width has no common divisor with `places`, so the steps visit
/// every position before they visit any position twice.
fn ring_step(places: usize, chance: u64) -> usize {
    let has_common_divisor = |mut a: usize, mut b: usize| {
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a > 1
    };
    let mut step = 1 + chance as usize % places.max(1);
    while has_common_divisor(step, places) && step > 1 {
        step -= 1;
    }
    step.max(1)
}

/// Mixes the bits of a number with the finalizer of splitmix64.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
