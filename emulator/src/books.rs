//! Service and its price: what a day was worth, and to which cause each unit of worth that was not earned is
//! booked. Each first try that earned less than it was offered has exactly one cause, so the books sum to 1 - G.

use crate::draw::{Day, Micros, Root, millis};
use crate::world::{Ended, Record, Trigger, Try};
use doorcourse::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why worth that was asked for was not earned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Refused, and the quota was spent: by repeats, by others' first tries, by sends beyond it.
    QuotaSpent,
    /// Refused at once though the quota had room: without a total.
    BlindShed,
    /// Refused though the quota had room, when a total or its absence was told.
    NoBlock,
    /// Refused after it had waited for a block, an open slot or a backend.
    HeldTooLong,
    /// Answered too late although it had hardly been held: the backend was slow.
    BackendSlow,
    /// A backend failed it.
    BackendFailed,
    /// Backends had no room for it.
    BackendFull,
    /// Its backend was gone or could not be reached.
    BackendGone,
    /// Nothing came back.
    AttemptLost,
    /// Its gateway died or could not be reached.
    GatewayDead,
    /// Its client gave up.
    ClientGaveUp,
    /// It was served, but beyond the quota.
    SentBeyond,
    /// A later try came too late to be worth its answer, the one before it having been refused.
    CameTooLate,
    /// Something else ended it.
    Other,
}

/// What is taken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Price {
    /// Tries sent on beyond quotas.
    OverQuota,
    /// Attempts in another zone.
    CrossZone,
    /// Work for nothing.
    Waste,
    /// Probes.
    Probe,
    /// Failing only after the aim.
    LateFail,
    /// Calls to the counter.
    Counter,
    /// New connections.
    Handshake,
    /// Answered unsent after half of the time.
    HeldBack,
}

/// What a part of the day came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The worth asked for inside quotas, and what lies beyond at its price.
    pub offered: f64,
    /// The worth earned.
    pub earned: f64,
}

impl Part {
    /// The share earned, 1 at most and 1 where nothing was asked.
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 { (self.earned / self.offered).min(1.0) } else { 1.0 }
    }

    fn add(&mut self, offered: f64, earned: f64) {
        self.offered += offered;
        self.earned += earned;
    }
}

/// Figures of behaviour, as the bench's pages name them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Tries for each first try.
    pub tries: f64,
    /// Tries refused, of all.
    pub refused: f64,
    /// Tries refused though half of the quota was unused, of all.
    pub refused_with_room: f64,
    /// Units sent on beyond a quota, of all.
    pub beyond: f64,
    /// Counter calls a try.
    pub calls: f64,
    /// Calls unanswered in time, of all.
    pub calls_unanswered: f64,
    /// Attempts a try.
    pub attempts: f64,
    /// Connections begun to backends that cannot be reached, a second over the fleet.
    #[serde(default)]
    pub vain: f64,
    /// Attempts in the gateway's own zone, of all.
    pub same_zone: f64,
    /// Tries refused of those with room, of the dearest plan and of the cheapest.
    pub shed_dear: f64,
    /// The cheapest.
    pub shed_cheap: f64,
    /// How near a ceiling came to its break.
    pub nearest_to_ceiling: f64,
    /// The median of the time of answers, in ms.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// How the quota's gate decided on tries of one kind: of a plan, fresh or repeated, with what its gateway was told
/// just before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gate {
    /// First sent on inside the quota.
    pub inside: u64,
    /// First sent on beyond it.
    pub beyond: u64,
    /// Refused unsent although the quota had room.
    pub refused_with_room: u64,
    /// Refused unsent, and rightly.
    pub refused: u64,
}

/// One second of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Worth offered and earned, by the time of the first try.
    pub part: Part,
    /// Tries sent.
    pub tries: u32,
    /// Tries refused.
    pub refused: u32,
}

/// The books of one day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Books {
    /// The result.
    pub g: f64,
    /// The whole day.
    pub whole: Part,
    /// The worst window's share, and when it began, in ms.
    pub worst_window: (f64, f64),
    /// The worst-served plan's share.
    pub worst_plan: f64,
    /// What each plan came to, inside its quotas.
    pub plans: BTreeMap<String, Part>,
    /// What each class came to.
    pub classes: BTreeMap<String, Part>,
    /// What each zone's gateways came to.
    pub zones: BTreeMap<String, Part>,
    /// Points lost by cause, of the whole day's weight.
    pub losses: BTreeMap<Cause, f64>,
    /// Points that more than the offer would have earned: part of no cause, below 0.
    pub beyond_offer: f64,
    /// Points lost as the worst window is worse than the day.
    pub uneven_time: f64,
    /// Points lost as the worst plan is worse than the day.
    pub uneven_plans: f64,
    /// Points taken off.
    pub prices: BTreeMap<Price, f64>,
    /// Behaviour.
    pub figures: Figures,
    /// Decisions of the quota's gate by plan, first try or repeat, and what came just before.
    #[serde(default)]
    pub gate: BTreeMap<String, Gate>,
    /// Refusals by what came just before, in tries.
    pub refusals: BTreeMap<String, u64>,
    /// The day by seconds.
    pub seconds: Vec<Second>,
}

impl Books {
    /// All that was lost: 1 - G.
    pub fn lost(&self) -> f64 {
        let losses: f64 = self.losses.values().sum();
        let prices: f64 = self.prices.values().sum();
        losses + self.beyond_offer + self.uneven_time + self.uneven_plans + prices
    }

    /// Draws up the books of a day.
    pub fn close(day: &Day, record: &Record) -> Self {
        let goal = &day.scenario_of.site.goal;
        let site = &day.scenario_of.site;
        let mut by_root: Vec<Vec<u32>> = vec![Vec::new(); day.roots.len()];
        for (id, tried) in record.tries.iter().enumerate() {
            by_root[tried.root as usize].push(id as u32);
        }
        let window = (goal.window_s * 1e6) as Micros;
        let second = 1_000_000;
        let seconds = (day.length / second + 1) as usize;
        let mut by_second = vec![Second::default(); seconds];
        let mut whole = Part::default();
        let mut plans = vec![Part::default(); day.settings.plans.len()];
        let mut classes = vec![Part::default(); day.classes.len()];
        let mut zones = vec![Part::default(); site.net.zones.len()];
        let mut lost: BTreeMap<Cause, f64> = BTreeMap::new();
        let (mut over_cost, mut late_fail, mut held_back) = (0.0, 0.0, 0.0);
        for (number, root) in day.roots.iter().enumerate() {
            let customer = &day.customers[root.customer as usize];
            let plan = &day.settings.plans[customer.plan];
            let tries = &by_root[number];
            let offered = root.worth * if root.inside { 1.0 } else { plan.over_worth };
            let served = record.served[number];
            let earned =
                served.map_or(0.0, |(_, inside)| root.worth * if inside { 1.0 } else { plan.over_worth });
            for id in tries {
                let tried = &record.tries[*id as usize];
                over_cost += if tried.inside == Some(false) { plan.over_cost * root.worth } else { 0.0 };
                held_back += root.worth * f64::from(u8::from(was_held_back(tried)));
            }
            let class = &day.classes[usize::from(root.class)];
            let ended = tries.last().map(|id| &record.tries[*id as usize]);
            let too_late = ended.and_then(|t| t.closed).is_some_and(|(at, _)| at > root.at + class.aim);
            late_fail += if served.is_none() && too_late { offered } else { 0.0 };
            whole.add(offered, earned);
            if root.inside {
                // Inside the quotas a plan's part has no more than was offered.
                plans[customer.plan].add(offered, earned.min(offered));
            }
            classes[usize::from(root.class)].add(offered, earned);
            if let Some(id) = tries.first() {
                zones[day.gateways[record.tries[*id as usize].gateway]].add(offered, earned);
            }
            by_second[(root.at / second) as usize].part.add(offered, earned);
            if earned < offered {
                let cause = cause_of(day, root, tries, record, served.is_some());
                *lost.entry(cause).or_default() += offered - earned;
            }
        }
        for tried in &record.tries {
            if let Some(at) = by_second.get_mut((tried.sent / second) as usize) {
                at.tries += 1;
                at.refused += u32::from(tried.ended == Ended::Refused);
            }
        }

        let offered = whole.offered.max(1e-9);
        let first = day.roots.len().max(1) as f64;
        let work: f64 = day.roots.iter().map(|root| root.work).sum::<f64>().max(1e-9);
        let totals = &record.totals;
        let prices = BTreeMap::from([
            (Price::OverQuota, over_cost / offered),
            (Price::CrossZone, site.prices.cross_zone * totals.crossings as f64 / first),
            (Price::Waste, site.prices.waste * totals.wasted / work),
            (Price::Probe, site.prices.probe * totals.probes as f64 / first),
            (Price::LateFail, site.prices.late_fail * late_fail / offered),
            (Price::Counter, site.prices.counter * totals.calls as f64 / first),
            (Price::Handshake, site.prices.handshake * totals.handshakes as f64 / first),
            (Price::HeldBack, site.prices.held_back * held_back / offered),
        ]);
        let share = whole.share();
        let worst_window = worst_window(&by_second, (window / second) as usize);
        let worst_plan = plans.iter().map(Part::share).fold(share, f64::min);
        let all = goal.whole + goal.worst_window + goal.worst_plan;
        let gross = goal.whole * share + goal.worst_window * worst_window.0 + goal.worst_plan * worst_plan;
        let taken: f64 = prices.values().sum();
        let losses: BTreeMap<Cause, f64> =
            lost.iter().map(|(cause, worth)| (*cause, all * worth / offered)).collect();
        let booked: f64 = losses.values().sum();
        let named = |parts: Vec<Part>, names: Vec<String>| names.into_iter().zip(parts).collect();
        let plan_names = day.settings.plans.iter().map(|p| p.name.to_string()).collect();
        let class_names = day.classes.iter().map(|c| c.name.to_string()).collect();
        let mut refusals = BTreeMap::new();
        for tried in record.tries.iter().filter(|t| t.ended == Ended::Refused) {
            let trigger = tried.closed.map_or(Trigger::Other, |(_, trigger)| trigger);
            *refusals.entry(format!("{trigger:?}")).or_default() += 1;
        }
        Self {
            g: gross - taken,
            whole,
            worst_window,
            worst_plan,
            plans: named(plans, plan_names),
            classes: named(classes, class_names),
            zones: named(zones, site.net.zones.clone()),
            beyond_offer: all * (1.0 - share) - booked + (1.0 - all),
            losses,
            uneven_time: goal.worst_window * (share - worst_window.0),
            uneven_plans: goal.worst_plan * (share - worst_plan),
            prices,
            figures: figures(day, record),
            gate: gate(day, record),
            refusals,
            seconds: by_second,
        }
    }
}

/// Whether a try was answered unsent after more than half of its time.
fn was_held_back(tried: &Try) -> bool {
    let answered = matches!(tried.ended, Ended::Refused | Ended::Failed) && tried.attempts.is_empty();
    let time = tried.gives_up.saturating_sub(tried.sent);
    answered && tried.closed.is_some_and(|(at, _)| (at - tried.sent) * 2 > time)
}

fn worst_window(seconds: &[Second], length: usize) -> (f64, f64) {
    let mut worst = (f64::INFINITY, 0.0);
    let most = seconds.len().saturating_sub(length);
    for from in 0..=most {
        let mut part = Part::default();
        seconds[from..].iter().take(length).for_each(|s| part.add(s.part.offered, s.part.earned));
        if part.share() < worst.0 {
            worst = (part.share(), from as f64 * 1000.0);
        }
    }
    worst
}

/// The one cause of a first try that earned less than it was offered: how the last try ended that could still
/// have earned it.
fn cause_of(day: &Day, root: &Root, tries: &[u32], record: &Record, served: bool) -> Cause {
    if served {
        return Cause::SentBeyond;
    }
    let aim = root.at + day.classes[usize::from(root.class)].aim;
    let timely = |tried: &&Try| tried.closed.map_or(tried.sent, |(at, _)| at) <= aim;
    let of = |id: &u32| &record.tries[*id as usize];
    let last = tries.iter().map(of).rev().find(|tried| tried.sent <= aim);
    let Some(last) = last else { return Cause::Other };
    if last.number > 0 && !timely(&last) && last.closed.is_some() {
        // It came again, and too late: what ended the one before is at fault, if that was no backend's.
        let before = tries.iter().map(of).rev().find(|tried| tried.number + 1 == last.number);
        if matches!(last.ended, Ended::Served(_)) && before.is_some_and(|t| t.attempts.is_empty()) {
            return Cause::CameTooLate;
        }
    }
    match last.ended {
        Ended::Unreachable | Ended::Died => Cause::GatewayDead,
        Ended::Refused | Ended::Failed | Ended::Open | Ended::Left if !last.attempts.is_empty() => {
            attempt_cause(last)
        }
        Ended::Served(_) => {
            let held = last.attempts.first().map_or(0, |a| a.sent.saturating_sub(last.sent));
            let whole = last.closed.map_or(0, |(at, _)| at.saturating_sub(last.sent));
            if held * 2 > whole {
                Cause::HeldTooLong
            } else if last.attempts.len() > 1 {
                attempt_cause(last)
            } else {
                Cause::BackendSlow
            }
        }
        Ended::Refused => {
            let (held, open) = last.store.unwrap_or((0.0, true));
            match last.closed.map(|(_, trigger)| trigger) {
                _ if held < 1.0 || !open => Cause::QuotaSpent,
                Some(Trigger::Arrival) => Cause::BlindShed,
                Some(Trigger::Counted) => Cause::NoBlock,
                _ => Cause::HeldTooLong,
            }
        }
        Ended::Left => Cause::ClientGaveUp,
        Ended::Failed | Ended::Open => Cause::Other,
    }
}

/// What the first attempt that went wrong died of.
fn attempt_cause(tried: &Try) -> Cause {
    let ends = tried.attempts.iter().filter_map(|attempt| attempt.end);
    match ends.map(|(_, outcome)| outcome).find(|outcome| *outcome != Outcome::Served) {
        Some(Outcome::Error) => Cause::BackendFailed,
        Some(Outcome::Full) => Cause::BackendFull,
        Some(Outcome::ConnectFailed | Outcome::Broken) => Cause::BackendGone,
        Some(Outcome::TimedOut) => Cause::AttemptLost,
        Some(Outcome::CalledOff) if tried.ended == Ended::Left => Cause::ClientGaveUp,
        Some(Outcome::CalledOff) => Cause::BackendSlow,
        _ => Cause::Other,
    }
}

fn gate(day: &Day, record: &Record) -> BTreeMap<String, Gate> {
    let mut all: BTreeMap<String, Gate> = BTreeMap::new();
    for tried in &record.tries {
        let plan = day.customers[day.roots[tried.root as usize].customer as usize].plan;
        let order = if tried.number == 0 { "first" } else { "repeat" };
        let (_, closed_on) = tried.closed.unwrap_or_default();
        let trigger = if tried.inside.is_some() { tried.sent_on } else { closed_on };
        let name = || format!("{} {order} {trigger:?}", day.settings.plans[plan].name);
        match (tried.inside, tried.ended, tried.store) {
            (Some(true), ..) => all.entry(name()).or_default().inside += 1,
            (Some(false), ..) => all.entry(name()).or_default().beyond += 1,
            (None, Ended::Refused, Some((held, open))) if held >= 1.0 && open => {
                all.entry(name()).or_default().refused_with_room += 1;
            }
            (None, Ended::Refused, _) => all.entry(name()).or_default().refused += 1,
            _ => {}
        }
    }
    all
}

fn figures(day: &Day, record: &Record) -> Figures {
    let tries = record.tries.len().max(1) as f64;
    let refused = record.tries.iter().filter(|t| t.ended == Ended::Refused);
    let plan_of = |tried: &Try| day.customers[day.roots[tried.root as usize].customer as usize].plan;
    let half = |tried: &Try| {
        let plan = &day.settings.plans[plan_of(tried)];
        tried.store.is_some_and(|(held, open)| held >= plan.burst / 2.0 && open)
    };
    let sent = record.tries.iter().filter(|t| t.inside.is_some()).count();
    let beyond = record.tries.iter().filter(|t| t.inside == Some(false)).count();
    let prices: Vec<f64> = day.settings.plans.iter().map(|p| p.price).collect();
    let dear = (0..prices.len()).max_by(|a, b| prices[*a].total_cmp(&prices[*b])).unwrap_or(0);
    let cheap = (0..prices.len()).min_by(|a, b| prices[*a].total_cmp(&prices[*b])).unwrap_or(0);
    let shed = |plan: usize| {
        let with_room = |tried: &&Try| plan_of(tried) == plan && (tried.inside == Some(true) || half(tried));
        let all = record.tries.iter().filter(with_room).count();
        let refused = record.tries.iter().filter(|t| plan_of(t) == plan && half(t)).count();
        refused as f64 / all.max(1) as f64
    };
    let mut times: Vec<Micros> = record
        .tries
        .iter()
        .filter_map(|t| if let Ended::Served(at) = t.ended { Some(at - t.sent) } else { None })
        .collect();
    times.sort_unstable();
    let at = |share: f64| {
        let place = (times.len() as f64 * share) as usize;
        times.get(place.min(times.len().saturating_sub(1))).copied().map_or(0.0, millis)
    };
    let totals = &record.totals;
    let attempts = record.tries.iter().map(|t| t.attempts.len()).sum::<usize>();
    let length = (day.length as f64 / 1e6).max(1e-6);
    Figures {
        tries: tries / day.roots.len().max(1) as f64,
        refused: refused.count() as f64 / tries,
        refused_with_room: record.tries.iter().filter(|t| half(t)).count() as f64 / tries,
        beyond: beyond as f64 / sent.max(1) as f64,
        calls: totals.calls as f64 / tries,
        calls_unanswered: totals.calls_unanswered as f64 / totals.calls.max(1) as f64,
        attempts: attempts as f64 / tries,
        vain: totals.vain as f64 / length,
        same_zone: 1.0 - totals.crossings as f64 / attempts.max(1) as f64,
        shed_dear: shed(dear),
        shed_cheap: shed(cheap),
        nearest_to_ceiling: record.judge.nearest_to_ceiling,
        median_ms: at(0.5),
        p99_ms: at(0.99),
    }
}
