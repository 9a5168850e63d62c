//! Draws random faults from a seed.

use super::schedule::{Disk, Kind, Row};
use crate::site::{SLOTS, VOTERS, ZONES};
use fault_injection::{Random, Span};
use serde::Deserialize;

/// Start and end of the period of drawn faults, as shares of the trial's length. The time before gives the baseline for
/// recovery, and the time after is left for recovery.
const FAULT_PERIOD: (f64, f64) = (0.2, 0.65);

/// Fault patterns that a seed draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultPattern {
    /// Two to four links or groups of links are cut, reset, muted, delayed, throttled or cut after a number of bytes.
    Cuts,
    /// A zone is isolated from all others.
    Split,
    /// A machine can only send or only receive.
    OneWay,
    /// A zone is isolated and reconnected repeatedly.
    Flapping,
    /// Processes are suspended.
    Stalls,
    /// Processes are killed.
    Kills,
    /// A control plane, possibly the leader, is killed and loses its disk.
    Disks,
    /// Processes are restarted gracefully, one after the other.
    Rolling,
    /// Backends are replaced.
    Releases,
    /// Backends misbehave.
    Moods,
    /// Backends crash.
    Crashes,
    /// A backend of another service reuses a backend's address.
    Reuses,
    /// The operator changes the configuration continuously.
    Changes,
    /// A tenant sends far more than its quota.
    Hot,
    /// Clients are slow or violate the protocol.
    Rude,
    /// All machines lose power at the same time.
    Blackout,
}

/// Draws `number` patterns (default one) plus up to two more.
pub(super) fn draw(patterns: &[FaultPattern], number: Option<usize>, seconds: f64, seed: u64) -> Vec<Row> {
    let mut random = Random::new(seed, "nemesis", 0);
    let extra = usize::from(random.happens(0.6)) + usize::from(random.happens(0.2));
    let count = number.unwrap_or(1) + extra;
    let mut rows = Vec::new();
    let mut remaining = patterns.to_vec();
    for _ in 0..count.min(patterns.len()) {
        let pattern = remaining.remove(random.below(remaining.len()));
        rows.extend(pattern.draw(seconds, &mut random));
    }
    rows
}

fn row(at: f64, duration: f64, fault: Kind) -> Row {
    Row {
        at,
        duration,
        fault,
        from: None,
        to: None,
        on: None,
        one_way: false,
        ms: None,
        bytes: None,
        share: None,
        factor: None,
        count: None,
        disk: Disk::Old,
    }
}

fn between(at: f64, duration: f64, fault: Kind, from: &str, to: &str) -> Row {
    Row { from: Some(from.into()), to: Some(to.into()), ..row(at, duration, fault) }
}

fn on(at: f64, duration: f64, fault: Kind, on: &str) -> Row {
    Row { on: Some(on.into()), ..row(at, duration, fault) }
}

impl FaultPattern {
    fn draw(self, seconds: f64, random: &mut Random) -> Vec<Row> {
        let span = |min: f64, max: f64| Span { min, max };
        let (earliest, latest) = (seconds * FAULT_PERIOD.0, seconds * FAULT_PERIOD.1);
        let at = random.within(span(earliest, (earliest + latest) / 2.0));
        let duration = random.within(span(0.5, latest - at));
        let machine = |random: &mut Random| format!("m{}", 1 + random.below(ZONES.len()));
        let control_plane = |random: &mut Random| format!("h{}", 1 + random.below(VOTERS));
        let data_plane = |random: &mut Random| format!("q{}", 1 + random.below(ZONES.len()));
        let backend = |random: &mut Random| format!("b{}", 1 + random.below(SLOTS));
        let process = |random: &mut Random| {
            if random.happens(0.5) { control_plane(random) } else { data_plane(random) }
        };
        let zone = |random: &mut Random| format!("zone:{}", ZONES[random.below(3)]);
        match self {
            Self::Cuts => {
                let kinds = [
                    Kind::Cut,
                    Kind::Reset,
                    Kind::Mute,
                    Kind::Delay,
                    Kind::Delay,
                    Kind::Throttle,
                    Kind::CutAfter,
                ];
                let draw_one = |random: &mut Random| {
                    let at = random.within(span(earliest, (earliest + latest) / 2.0));
                    let duration = random.within(span(0.3, latest - at));
                    let kind = *random.one_of(&kinds);
                    let to = *random.one_of(&["backends", "clients", "operator", "*", "h1", "h2", "h3"]);
                    let all = random.happens(0.3) && ["backends", "clients", "operator"].contains(&to);
                    let from = if all { "machines".to_owned() } else { machine(random) };
                    // A machine connects to the control planes of all other machines, but not to its own.
                    let to = if from[1..] == to[1..] { "*" } else { to };
                    let to = if to == "operator" && from == "m4" { "clients" } else { to };
                    Row {
                        one_way: random.happens(0.4),
                        ms: Some((2.0, random.within(span(10.0, 250.0)))),
                        bytes: Some(random.within(span(200.0, 20_000.0)) as u64),
                        ..between(at, duration, kind, &from, to)
                    }
                };
                let number = 2 + random.below(3);
                (0..number).map(|_| draw_one(random)).collect()
            }
            Self::Split => vec![between(at, duration, Kind::Cut, &zone(random), "*")],
            Self::OneWay => {
                let kind = if random.happens(0.5) { Kind::Mute } else { Kind::Cut };
                let target = 1 + random.below(ZONES.len());
                let others: Vec<_> =
                    (1..=ZONES.len()).filter(|m| *m != target).map(|m| format!("m{m}")).collect();
                let (target, others) = (format!("m{target}"), others.join(","));
                let (from, to) = if random.happens(0.5) { (&target, &others) } else { (&others, &target) };
                vec![Row { one_way: true, ..between(at, duration, kind, from, to) }]
            }
            Self::Flapping => {
                let period = random.within(span(0.6, 1.6));
                let number = (((latest - at) / period) as usize).clamp(2, 6);
                let isolated_zone = zone(random);
                let flap =
                    |n: usize| between(at + period * n as f64, period * 0.5, Kind::Cut, &isolated_zone, "*");
                (0..number).map(flap).filter(|row| row.at + row.duration <= seconds).collect()
            }
            Self::Stalls => {
                let number = 1 + random.below(2);
                let draw_one = |random: &mut Random| {
                    let at = random.within(span(earliest, (earliest + latest) / 2.0));
                    let target = match random.below(4) {
                        0 => "leader".to_owned(),
                        1 => zone(random),
                        _ => process(random),
                    };
                    on(at, random.within(span(0.2, latest - at)), Kind::Stop, &target)
                };
                (0..number).map(|_| draw_one(random)).collect()
            }
            Self::Kills => {
                let target = match random.below(4) {
                    0 => "leader".to_owned(),
                    1 => zone(random),
                    2 => machine(random),
                    _ => process(random),
                };
                vec![on(at, duration, Kind::Kill, &target)]
            }
            Self::Disks => {
                let target = if random.happens(0.5) { "leader".to_owned() } else { control_plane(random) };
                vec![Row { disk: Disk::Empty, ..on(at, duration, Kind::Kill, &target) }]
            }
            Self::Rolling => {
                let data_planes = random.happens(0.6);
                let number = if data_planes { ZONES.len() } else { VOTERS };
                let interval = (seconds * 0.8 - earliest) / number as f64;
                let name = if data_planes { "q" } else { "h" };
                let draw_one = |n: usize| {
                    on(earliest + interval * n as f64, 0.0, Kind::Restart, &format!("{name}{}", n + 1))
                };
                (0..number).map(draw_one).collect()
            }
            Self::Releases => {
                let number = 1 + random.below(SLOTS);
                let interval = (latest - earliest) / number as f64;
                let draw_one =
                    |n: usize| on(earliest + interval * n as f64, 0.0, Kind::Release, &format!("b{}", n + 1));
                (0..number).map(draw_one).collect()
            }
            Self::Moods => {
                let kinds = [Kind::Slow, Kind::Silent, Kind::Garble, Kind::Fail, Kind::Lose];
                let number = 1 + random.below(3);
                let draw_one = |random: &mut Random| {
                    let kind = *random.one_of(&kinds);
                    Row {
                        share: Some(random.within(span(0.1, 1.0))),
                        factor: Some(random.within(span(2.0, 20.0))),
                        ..on(at, duration, kind, &backend(random))
                    }
                };
                (0..number).map(|_| draw_one(random)).collect()
            }
            Self::Crashes => {
                let (number, begin) = (1 + random.below(SLOTS / 2), random.below(SLOTS));
                let draw_one =
                    |n: usize| on(at, duration, Kind::Crash, &format!("b{}", 1 + (begin + n) % SLOTS));
                (0..number).map(draw_one).collect()
            }
            Self::Reuses => vec![on(at, duration, Kind::Reuse, &backend(random))],
            Self::Changes => vec![row(earliest, latest - earliest, Kind::Changes)],
            Self::Hot => {
                vec![Row { factor: Some(random.within(span(2.0, 12.0))), ..row(at, duration, Kind::Hot) }]
            }
            Self::Blackout => {
                vec![on(at, random.within(span(0.2, 2.0)).min(latest - at), Kind::Kill, "machines")]
            }
            Self::Rude => vec![Row { count: Some(5 + random.below(60)), ..row(at, duration, Kind::Rude) }],
        }
    }
}
