//! Faults that a seed draws.

use super::schedule::{Disk, Kind, Row};
use crate::site::{SLOTS, VOTERS, ZONES};
use fault_injection::{Random, Span};
use serde::Deserialize;

/// The first and last moment of drawn faults, as shares of the time: before is what service is held against, and
/// after is left for it to return.
const DRAWN: (f64, f64) = (0.2, 0.65);

/// Shapes of faults that a seed draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Two to four links or groups of links: cut, reset, mute, slow or cut after some bytes.
    Cuts,
    /// A zone is cut off from all others.
    Split,
    /// A machine is heard and hears nothing, or the other way round.
    OneWay,
    /// A zone is cut off and heals, again and again.
    Flapping,
    /// Processes stop.
    Stalls,
    /// Processes are killed.
    Kills,
    /// A control plane, or the leading one, is killed and loses its disk.
    Disks,
    /// Processes are restarted in order, one after the other.
    Rolling,
    /// Backends are replaced.
    Releases,
    /// Backends are not well.
    Moods,
    /// Backends crash.
    Crashes,
    /// Another service uses a backend's address again.
    Reuses,
    /// The operator changes the configuration all the time.
    Changes,
    /// A tenant asks far too much.
    Hot,
    /// Clients are slow and rude.
    Rude,
    /// All machines lose their power at once.
    Blackout,
}

/// Draws so many shapes of faults, or up to two more; without a number, one to three.
pub(super) fn draw(shapes: &[Shape], number: Option<usize>, seconds: f64, seed: u64) -> Vec<Row> {
    let mut random = Random::new(seed, "nemesis", 0);
    let more = usize::from(random.happens(0.6)) + usize::from(random.happens(0.2));
    let count = number.unwrap_or(1) + more;
    let mut rows = Vec::new();
    let mut left = shapes.to_vec();
    for _ in 0..count.min(shapes.len()) {
        let shape = left.remove(random.below(left.len()));
        rows.extend(shape.draw(seconds, &mut random));
    }
    rows
}

fn row(at: f64, lasts: f64, fault: Kind) -> Row {
    Row {
        at,
        lasts,
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

fn between(at: f64, lasts: f64, fault: Kind, from: &str, to: &str) -> Row {
    Row { from: Some(from.into()), to: Some(to.into()), ..row(at, lasts, fault) }
}

fn on(at: f64, lasts: f64, fault: Kind, on: &str) -> Row {
    Row { on: Some(on.into()), ..row(at, lasts, fault) }
}

impl Shape {
    fn draw(self, seconds: f64, random: &mut Random) -> Vec<Row> {
        let span = |min: f64, max: f64| Span { min, max };
        let (first, last) = (seconds * DRAWN.0, seconds * DRAWN.1);
        let at = random.within(span(first, (first + last) / 2.0));
        let lasts = random.within(span(0.5, last - at));
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
                let one = |random: &mut Random| {
                    let at = random.within(span(first, (first + last) / 2.0));
                    let lasts = random.within(span(0.3, last - at));
                    let kind = *random.one_of(&kinds);
                    let to = *random.one_of(&["backends", "clients", "operator", "*", "h1", "h2", "h3"]);
                    let all = random.happens(0.3) && ["backends", "clients", "operator"].contains(&to);
                    let from = if all { "machines".to_owned() } else { machine(random) };
                    // A machine does not connect to its own control plane; all others do.
                    let to = if from[1..] == to[1..] { "*" } else { to };
                    let to = if to == "operator" && from == "m4" { "clients" } else { to };
                    Row {
                        one_way: random.happens(0.4),
                        ms: Some((2.0, random.within(span(10.0, 250.0)))),
                        bytes: Some(random.within(span(200.0, 20_000.0)) as u64),
                        ..between(at, lasts, kind, &from, to)
                    }
                };
                let number = 2 + random.below(3);
                (0..number).map(|_| one(random)).collect()
            }
            Self::Split => vec![between(at, lasts, Kind::Cut, &zone(random), "*")],
            Self::OneWay => {
                let kind = if random.happens(0.5) { Kind::Mute } else { Kind::Cut };
                let who = 1 + random.below(ZONES.len());
                let others: Vec<_> =
                    (1..=ZONES.len()).filter(|m| *m != who).map(|m| format!("m{m}")).collect();
                let (who, others) = (format!("m{who}"), others.join(","));
                let (from, to) = if random.happens(0.5) { (&who, &others) } else { (&others, &who) };
                vec![Row { one_way: true, ..between(at, lasts, kind, from, to) }]
            }
            Self::Flapping => {
                let period = random.within(span(0.6, 1.6));
                let number = (((last - at) / period) as usize).clamp(2, 6);
                let whose = zone(random);
                let flap = |n: usize| between(at + period * n as f64, period * 0.5, Kind::Cut, &whose, "*");
                (0..number).map(flap).filter(|row| row.at + row.lasts <= seconds).collect()
            }
            Self::Stalls => {
                let number = 1 + random.below(2);
                let one = |random: &mut Random| {
                    let at = random.within(span(first, (first + last) / 2.0));
                    let who = match random.below(4) {
                        0 => "leader".to_owned(),
                        1 => zone(random),
                        _ => process(random),
                    };
                    on(at, random.within(span(0.2, last - at)), Kind::Stop, &who)
                };
                (0..number).map(|_| one(random)).collect()
            }
            Self::Kills => {
                let who = match random.below(4) {
                    0 => "leader".to_owned(),
                    1 => zone(random),
                    2 => machine(random),
                    _ => process(random),
                };
                vec![on(at, lasts, Kind::Kill, &who)]
            }
            Self::Disks => {
                let who = if random.happens(0.5) { "leader".to_owned() } else { control_plane(random) };
                vec![Row { disk: Disk::Empty, ..on(at, lasts, Kind::Kill, &who) }]
            }
            Self::Rolling => {
                let data_planes = random.happens(0.6);
                let number = if data_planes { ZONES.len() } else { VOTERS };
                let each = (seconds * 0.8 - first) / number as f64;
                let name = if data_planes { "q" } else { "h" };
                let one =
                    |n: usize| on(first + each * n as f64, 0.0, Kind::Restart, &format!("{name}{}", n + 1));
                (0..number).map(one).collect()
            }
            Self::Releases => {
                let number = 1 + random.below(SLOTS);
                let pace = (last - first) / number as f64;
                let one = |n: usize| on(first + pace * n as f64, 0.0, Kind::Release, &format!("b{}", n + 1));
                (0..number).map(one).collect()
            }
            Self::Moods => {
                let kinds = [Kind::Slow, Kind::Silent, Kind::Garble, Kind::Fail, Kind::Lose];
                let number = 1 + random.below(3);
                let one = |random: &mut Random| {
                    let kind = *random.one_of(&kinds);
                    Row {
                        share: Some(random.within(span(0.1, 1.0))),
                        factor: Some(random.within(span(2.0, 20.0))),
                        ..on(at, lasts, kind, &backend(random))
                    }
                };
                (0..number).map(|_| one(random)).collect()
            }
            Self::Crashes => {
                let (number, begin) = (1 + random.below(SLOTS / 2), random.below(SLOTS));
                let one = |n: usize| on(at, lasts, Kind::Crash, &format!("b{}", 1 + (begin + n) % SLOTS));
                (0..number).map(one).collect()
            }
            Self::Reuses => vec![on(at, lasts, Kind::Reuse, &backend(random))],
            Self::Changes => vec![row(first, last - first, Kind::Changes)],
            Self::Hot => {
                vec![Row { factor: Some(random.within(span(2.0, 12.0))), ..row(at, lasts, Kind::Hot) }]
            }
            Self::Blackout => {
                vec![on(at, random.within(span(0.2, 2.0)).min(last - at), Kind::Kill, "machines")]
            }
            Self::Rude => vec![Row { count: Some(5 + random.below(60)), ..row(at, lasts, Kind::Rude) }],
        }
    }
}
