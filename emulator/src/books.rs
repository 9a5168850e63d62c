//! The books of a day: the worth that was earned, the prices, and the cause of each unit of worth that was lost.
//! Each first try that earned less than its offered worth is booked under exactly one cause, so all losses sum to
//! `1 - G`, where G is the result of the day: the weighted sum of the shares earned in the whole day, in the worst window
//! and by the worst plan, minus the prices.
//!
//! Terms: worth is the value of an answered first try in the score. A try is one request of a client to a gateway; the
//! first try may be followed by retries. A price is a cost that is subtracted from the result ([`Price`]). A point is
//! a unit of G. A window is a period of fixed length within the day.

use crate::draw::{Day, FirstTry, Micros, millis};
use crate::world::{Ended, Record, Trigger, Try};
use doorcourse::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why offered worth was not earned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Refused while the quota was used up by retries, other first tries, or tries sent beyond the quota.
    QuotaSpent,
    /// Refused on arrival, before the gateway had a counter total, although the quota had room.
    BlindShed,
    /// Refused after a counter total or the failure of a counter call, although the quota had room.
    NoBlock,
    /// Refused or answered late because the gateway delayed the try: the try waited for quota from the counter, for the
    /// customer's limit of open attempts, or for a backend.
    HeldTooLong,
    /// Answered too late although the gateway hardly delayed the request: the backend was slow.
    BackendSlow,
    /// A backend failed the request.
    BackendFailed,
    /// The backends had no room for the request.
    BackendFull,
    /// The backend was gone or could not be reached.
    BackendGone,
    /// The backend did not answer.
    AttemptLost,
    /// The gateway died or could not be reached.
    GatewayDead,
    /// The client gave up.
    ClientGaveUp,
    /// The request was served, but beyond the quota.
    SentBeyond,
    /// The previous try was refused, and the retry was sent too late for an answer within the target latency.
    CameTooLate,
    /// Any other cause.
    Other,
}

/// The items that are subtracted from the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Price {
    /// Tries sent beyond quotas.
    OverQuota,
    /// Attempts in another zone.
    CrossZone,
    /// Wasted work.
    Waste,
    /// Probes.
    Probe,
    /// Requests that failed only after the target latency.
    LateFail,
    /// Counter calls.
    Counter,
    /// New connections.
    Handshake,
    /// Tries that a gateway ended without an attempt, after more than half of the time that the client waits.
    HeldBack,
}

/// The worth offered and earned in a part of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worth {
    /// Total worth of the first tries. First tries beyond the quotas count with their reduced worth.
    pub offered: f64,
    /// The worth earned.
    pub earned: f64,
}

impl Worth {
    /// The share of the offered worth that was earned, at most 1; 1 if nothing was offered.
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 { (self.earned / self.offered).min(1.0) } else { 1.0 }
    }

    fn add(&mut self, offered: f64, earned: f64) {
        self.offered += offered;
        self.earned += earned;
    }
}

/// Behavioural metrics of a day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Tries per first try.
    pub tries: f64,
    /// The share of tries that were refused.
    pub refused: f64,
    /// The share of tries that were refused although at least half of the quota was unused.
    pub refused_with_room: f64,
    /// The share of sent tries that were beyond their quota.
    pub beyond: f64,
    /// Counter calls per try.
    pub calls: f64,
    /// The share of counter calls without an answer in time.
    pub calls_unanswered: f64,
    /// Attempts per try.
    pub attempts: f64,
    /// Connections per second, over the fleet, that were started to unreachable backends.
    #[serde(default)]
    pub vain: f64,
    /// The share of attempts in the gateway's own zone.
    pub same_zone: f64,
    /// The refused share of the tries that had room in the quota, for the plan with the highest factor on the worth of
    /// answers (its price).
    pub shed_dear: f64,
    /// The same share for the plan with the lowest price.
    pub shed_cheap: f64,
    /// The highest usage of any ceiling; 1 is the limit.
    pub nearest_to_ceiling: f64,
    /// The median answer time, in ms.
    pub median_ms: f64,
    /// The 99th percentile of the answer times, in ms.
    pub p99_ms: f64,
}

/// Quota decisions on one kind of tries: those of a plan, first or repeated, whose decision was triggered by the same
/// kind of event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gate {
    /// First sent within the quota.
    pub inside: u64,
    /// First sent beyond the quota.
    pub beyond: u64,
    /// Refused unsent although the quota had room.
    pub refused_with_room: u64,
    /// Refused unsent because the quota had no room.
    pub refused: u64,
}

/// One second of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Worth offered and earned, by the time of the first try.
    pub part: Worth,
    /// Tries sent.
    pub tries: u32,
    /// Tries refused.
    pub refused: u32,
}

/// The books of one day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Books {
    /// The result G.
    pub g: f64,
    /// The whole day.
    pub whole: Worth,
    /// The share earned in the worst window, and the window's start in ms.
    pub worst_window: (f64, f64),
    /// The share earned by the worst plan.
    pub worst_plan: f64,
    /// Offered and earned worth of each plan, within its quotas.
    pub plans: BTreeMap<String, Worth>,
    /// Offered and earned worth of each request class.
    pub classes: BTreeMap<String, Worth>,
    /// Offered and earned worth of each zone's gateways.
    pub zones: BTreeMap<String, Worth>,
    /// Points lost by cause, with the weight of the whole day.
    pub losses: BTreeMap<Cause, f64>,
    /// Points earned beyond the offer, as a negative loss without a cause.
    pub beyond_offer: f64,
    /// Points lost because the worst window is worse than the whole day.
    pub uneven_time: f64,
    /// Points lost because the worst plan is worse than the whole day.
    pub uneven_plans: f64,
    /// Points subtracted by price item.
    pub prices: BTreeMap<Price, f64>,
    /// Behavioural metrics.
    pub figures: Figures,
    /// Quota decisions by plan, first try or repeat, and trigger.
    #[serde(default)]
    pub gate: BTreeMap<String, Gate>,
    /// Refused tries by the event that triggered the refusal.
    pub refusals: BTreeMap<String, u64>,
    /// The seconds of the day.
    pub seconds: Vec<Second>,
}

impl Books {
    /// Sum of all lost points, 1 - G.
    pub fn lost(&self) -> f64 {
        let losses: f64 = self.losses.values().sum();
        let prices: f64 = self.prices.values().sum();
        losses + self.beyond_offer + self.uneven_time + self.uneven_plans + prices
    }

    /// Closes the books of a day.
    pub fn close(day: &Day, record: &Record) -> Self {
        let goal = &day.source.site.goal;
        let site = &day.source.site;
        let mut by_first_try: Vec<Vec<u32>> = vec![Vec::new(); day.first_tries.len()];
        for (id, client_try) in record.tries.iter().enumerate() {
            by_first_try[client_try.first_try as usize].push(id as u32);
        }
        let window = (goal.window_s * 1e6) as Micros;
        let second = 1_000_000;
        let seconds = (day.length / second + 1) as usize;
        let mut by_second = vec![Second::default(); seconds];
        let mut whole = Worth::default();
        let mut plans = vec![Worth::default(); day.settings.plans.len()];
        let mut classes = vec![Worth::default(); day.classes.len()];
        let mut zones = vec![Worth::default(); site.net.zones.len()];
        let mut lost: BTreeMap<Cause, f64> = BTreeMap::new();
        let (mut over_cost, mut late_fail, mut held_back) = (0.0, 0.0, 0.0);
        for (number, first_try) in day.first_tries.iter().enumerate() {
            let customer = &day.customers[first_try.customer as usize];
            let plan = &day.settings.plans[customer.plan];
            let tries = &by_first_try[number];
            let offered = first_try.worth * if first_try.inside { 1.0 } else { plan.over_worth };
            let served = record.served[number];
            let earned = served
                .map_or(0.0, |(_, inside)| first_try.worth * if inside { 1.0 } else { plan.over_worth });
            for id in tries {
                let client_try = &record.tries[*id as usize];
                over_cost +=
                    if client_try.inside == Some(false) { plan.over_cost * first_try.worth } else { 0.0 };
                held_back += first_try.worth * f64::from(u8::from(was_held_back(client_try)));
            }
            let class = &day.classes[usize::from(first_try.class)];
            let ended = tries.last().map(|id| &record.tries[*id as usize]);
            let too_late = ended.and_then(|t| t.closed).is_some_and(|(at, _)| at > first_try.at + class.aim);
            late_fail += if served.is_none() && too_late { offered } else { 0.0 };
            whole.add(offered, earned);
            if first_try.inside {
                // Within the quotas, a plan earns at most the worth that was offered.
                plans[customer.plan].add(offered, earned.min(offered));
            }
            classes[usize::from(first_try.class)].add(offered, earned);
            if let Some(id) = tries.first() {
                zones[day.gateways[record.tries[*id as usize].gateway]].add(offered, earned);
            }
            by_second[(first_try.at / second) as usize].part.add(offered, earned);
            if earned < offered {
                let cause = cause_of(day, first_try, tries, record, served.is_some());
                *lost.entry(cause).or_default() += offered - earned;
            }
        }
        for client_try in &record.tries {
            if let Some(at) = by_second.get_mut((client_try.sent / second) as usize) {
                at.tries += 1;
                at.refused += u32::from(client_try.ended == Ended::Refused);
            }
        }

        let offered = whole.offered.max(1e-9);
        let first_try_count = day.first_tries.len().max(1) as f64;
        let work: f64 = day.first_tries.iter().map(|first_try| first_try.work).sum::<f64>().max(1e-9);
        let totals = &record.totals;
        let prices = BTreeMap::from([
            (Price::OverQuota, over_cost / offered),
            (Price::CrossZone, site.prices.cross_zone * totals.cross_zone_attempts as f64 / first_try_count),
            (Price::Waste, site.prices.waste * totals.wasted / work),
            (Price::Probe, site.prices.probe * totals.probes as f64 / first_try_count),
            (Price::LateFail, site.prices.late_fail * late_fail / offered),
            (Price::Counter, site.prices.counter * totals.calls as f64 / first_try_count),
            (Price::Handshake, site.prices.handshake * totals.handshakes as f64 / first_try_count),
            (Price::HeldBack, site.prices.held_back * held_back / offered),
        ]);
        let share = whole.share();
        let worst_window = worst_window(&by_second, (window / second) as usize);
        let worst_plan = plans.iter().map(Worth::share).fold(share, f64::min);
        let weight_sum = goal.whole + goal.worst_window + goal.worst_plan;
        let gross = goal.whole * share + goal.worst_window * worst_window.0 + goal.worst_plan * worst_plan;
        let price_sum: f64 = prices.values().sum();
        let losses: BTreeMap<Cause, f64> =
            lost.iter().map(|(cause, worth)| (*cause, weight_sum * worth / offered)).collect();
        let cause_sum: f64 = losses.values().sum();
        let named = |parts: Vec<Worth>, names: Vec<String>| names.into_iter().zip(parts).collect();
        let plan_names = day.settings.plans.iter().map(|p| p.name.to_string()).collect();
        let class_names = day.classes.iter().map(|c| c.name.to_string()).collect();
        let mut refusals = BTreeMap::new();
        for client_try in record.tries.iter().filter(|t| t.ended == Ended::Refused) {
            let trigger = client_try.closed.map_or(Trigger::Other, |(_, trigger)| trigger);
            *refusals.entry(format!("{trigger:?}")).or_default() += 1;
        }
        Self {
            g: gross - price_sum,
            whole,
            worst_window,
            worst_plan,
            plans: named(plans, plan_names),
            classes: named(classes, class_names),
            zones: named(zones, site.net.zones.clone()),
            beyond_offer: weight_sum * (1.0 - share) - cause_sum + (1.0 - weight_sum),
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

/// Whether a gateway ended a try without an attempt, after more than half of the time that the client waits.
fn was_held_back(client_try: &Try) -> bool {
    let answered =
        matches!(client_try.ended, Ended::Refused | Ended::Failed) && client_try.attempts.is_empty();
    let time = client_try.patience_ends.saturating_sub(client_try.sent);
    answered && client_try.closed.is_some_and(|(at, _)| (at - client_try.sent) * 2 > time)
}

fn worst_window(seconds: &[Second], length: usize) -> (f64, f64) {
    let mut worst = (f64::INFINITY, 0.0);
    let last_start = seconds.len().saturating_sub(length);
    for from in 0..=last_start {
        let mut part = Worth::default();
        seconds[from..].iter().take(length).for_each(|s| part.add(s.part.offered, s.part.earned));
        if part.share() < worst.0 {
            worst = (part.share(), from as f64 * 1000.0);
        }
    }
    worst
}

/// The cause of the loss of a first try, taken from the end of the last try that could still have earned its worth.
fn cause_of(day: &Day, first_try: &FirstTry, tries: &[u32], record: &Record, served: bool) -> Cause {
    if served {
        return Cause::SentBeyond;
    }
    let aim = first_try.at + day.classes[usize::from(first_try.class)].aim;
    let in_time = |client_try: &&Try| client_try.closed.map_or(client_try.sent, |(at, _)| at) <= aim;
    let of = |id: &u32| &record.tries[*id as usize];
    let last = tries.iter().map(of).rev().find(|client_try| client_try.sent <= aim);
    let Some(last) = last else { return Cause::Other };
    if last.number > 0 && !in_time(&last) && last.closed.is_some() {
        // The retry was sent too late: the cause is the end of the previous try, unless a backend ended that try.
        let before = tries.iter().map(of).rev().find(|client_try| client_try.number + 1 == last.number);
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
            let hold_time = last.attempts.first().map_or(0, |a| a.sent.saturating_sub(last.sent));
            let answer_time = last.closed.map_or(0, |(at, _)| at.saturating_sub(last.sent));
            if hold_time * 2 > answer_time {
                Cause::HeldTooLong
            } else if last.attempts.len() > 1 {
                attempt_cause(last)
            } else {
                Cause::BackendSlow
            }
        }
        Ended::Refused => {
            let (held, open) = last.bucket.unwrap_or((0.0, true));
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

/// The cause of the first attempt that failed.
fn attempt_cause(client_try: &Try) -> Cause {
    let ends = client_try.attempts.iter().filter_map(|attempt| attempt.end);
    match ends.map(|(_, outcome)| outcome).find(|outcome| *outcome != Outcome::Served) {
        Some(Outcome::Error) => Cause::BackendFailed,
        Some(Outcome::Full) => Cause::BackendFull,
        Some(Outcome::ConnectFailed | Outcome::Broken) => Cause::BackendGone,
        Some(Outcome::TimedOut) => Cause::AttemptLost,
        Some(Outcome::CalledOff) if client_try.ended == Ended::Left => Cause::ClientGaveUp,
        Some(Outcome::CalledOff) => Cause::BackendSlow,
        _ => Cause::Other,
    }
}

fn gate(day: &Day, record: &Record) -> BTreeMap<String, Gate> {
    let mut all: BTreeMap<String, Gate> = BTreeMap::new();
    for client_try in &record.tries {
        let plan = day.customers[day.first_tries[client_try.first_try as usize].customer as usize].plan;
        let order = if client_try.number == 0 { "first" } else { "repeat" };
        let (_, closed_on) = client_try.closed.unwrap_or_default();
        let trigger = if client_try.inside.is_some() { client_try.send_trigger } else { closed_on };
        let name = || format!("{} {order} {trigger:?}", day.settings.plans[plan].name);
        match (client_try.inside, client_try.ended, client_try.bucket) {
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
    let plan_of = |client_try: &Try| {
        day.customers[day.first_tries[client_try.first_try as usize].customer as usize].plan
    };
    let half_unused = |client_try: &Try| {
        let plan = &day.settings.plans[plan_of(client_try)];
        client_try.bucket.is_some_and(|(held, open)| held >= plan.burst / 2.0 && open)
    };
    let sent = record.tries.iter().filter(|t| t.inside.is_some()).count();
    let beyond = record.tries.iter().filter(|t| t.inside == Some(false)).count();
    let prices: Vec<f64> = day.settings.plans.iter().map(|p| p.price).collect();
    let highest_price_plan = (0..prices.len()).max_by(|a, b| prices[*a].total_cmp(&prices[*b])).unwrap_or(0);
    let lowest_price_plan = (0..prices.len()).min_by(|a, b| prices[*a].total_cmp(&prices[*b])).unwrap_or(0);
    let shed = |plan: usize| {
        let with_room = |client_try: &&Try| {
            plan_of(client_try) == plan && (client_try.inside == Some(true) || half_unused(client_try))
        };
        let all = record.tries.iter().filter(with_room).count();
        let refused = record.tries.iter().filter(|t| plan_of(t) == plan && half_unused(t)).count();
        refused as f64 / all.max(1) as f64
    };
    let mut times: Vec<Micros> = record
        .tries
        .iter()
        .filter_map(|t| if let Ended::Served(at) = t.ended { Some(at - t.sent) } else { None })
        .collect();
    times.sort_unstable();
    let percentile = |share: f64| {
        let place = (times.len() as f64 * share) as usize;
        times.get(place.min(times.len().saturating_sub(1))).copied().map_or(0.0, millis)
    };
    let totals = &record.totals;
    let attempts = record.tries.iter().map(|t| t.attempts.len()).sum::<usize>();
    let length = (day.length as f64 / 1e6).max(1e-6);
    Figures {
        tries: tries / day.first_tries.len().max(1) as f64,
        refused: refused.count() as f64 / tries,
        refused_with_room: record.tries.iter().filter(|t| half_unused(t)).count() as f64 / tries,
        beyond: beyond as f64 / sent.max(1) as f64,
        calls: totals.calls as f64 / tries,
        calls_unanswered: totals.calls_unanswered as f64 / totals.calls.max(1) as f64,
        attempts: attempts as f64 / tries,
        vain: totals.unreachable_connects as f64 / length,
        same_zone: 1.0 - totals.cross_zone_attempts as f64 / attempts.max(1) as f64,
        shed_dear: shed(highest_price_plan),
        shed_cheap: shed(lowest_price_plan),
        nearest_to_ceiling: record.judge.nearest_to_ceiling,
        median_ms: percentile(0.5),
        p99_ms: percentile(0.99),
    }
}
