//! Schedule of a trial: its fleet, load and faults, read from TOML or drawn at random from a seed and stated ranges.
//! A file is validated completely before anything starts. An error is one line that states the position in the file.
//!
//! A fault acts on links (each one direction between two parties) or on parties: gateway processes and stand-ins. A
//! fault pattern is a template from which a seed draws one or more faults. [`super`] defines group, voter and duty.

use crate::scenario::Span;
use crate::trial::relay::{Flow, Party};
use fault_injection::Random;
use fault_injection::relay::{LinkFault, links_between};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use toml::Spanned;

/// Trials that are built into the program: name and TOML text.
pub const BUILT_IN_TRIALS: [(&str, &str); 9] = [
    ("calm", include_str!("../../trials/calm.toml")),
    ("zone-cut", include_str!("../../trials/zone-cut.toml")),
    ("stall", include_str!("../../trials/stall.toml")),
    ("counter", include_str!("../../trials/counter.toml")),
    ("rolling", include_str!("../../trials/rolling.toml")),
    ("handover", include_str!("../../trials/handover.toml")),
    ("nemesis", include_str!("../../trials/nemesis.toml")),
    ("group", include_str!("../../trials/group.toml")),
    ("group-nemesis", include_str!("../../trials/group-nemesis.toml")),
];

/// Maximum duration of a trial, in seconds.
pub const MAX_SECONDS: f64 = 300.0;
/// Maximum request rate, per second.
pub const MAX_RATE: f64 = 1000.0;
/// Allowed numbers of gateways in a trial.
pub const GATEWAYS: std::ops::RangeInclusive<usize> = 3..=30;

/// An invalid trial: one line of text with the position in the file.
#[derive(Debug, PartialEq, Eq)]
pub struct ScheduleError(String);

impl fmt::Display for ScheduleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScheduleError {}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Links drop everything, new connections included, as if the remote machine had lost power.
    Cut,
    /// Links reset their connections and refuse new ones.
    Reset,
    /// Links accept connections but drop all bytes.
    Mute,
    /// Links delay each chunk of data by a random time within a range (`ms`).
    Delay,
    /// Links limit their throughput (`bytes` per second).
    Throttle,
    /// Links reset each connection after a number of bytes (`bytes`).
    CutAfter,
    /// Gateways are killed (SIGKILL) and, at the end of the fault, started again (`tmp`, `disk`, `old`).
    Kill,
    /// Gateways are paused (SIGSTOP) and, at the end of the fault, resumed (SIGCONT).
    Stop,
    /// Gateways are terminated (SIGTERM) and started again once they have exited (`tmp`, `disk`, `old`).
    Restart,
    /// A second process of each gateway starts while the first one runs, and takes over from it.
    Handover,
    /// The connections of backends are reset and refused; at the end of the fault the backends restart cold.
    Crash,
    /// Backends accept requests and never answer.
    Silent,
    /// Backends answer a share of their requests with an error (`share`).
    Fail,
    /// Backends drain and discovery lists them as terminating.
    Drain,
    /// Shards of the counter lose their values once (`share` of the shards).
    Forget,
    /// Shards of the counter reject calls as busy (`share` of the shards).
    Busy,
}

impl Kind {
    /// Returns the link fault for kinds that affect links.
    fn link_fault(self) -> Option<LinkFault> {
        Some(match self {
            Self::Cut => LinkFault::Cut,
            Self::Reset => LinkFault::Reset,
            Self::Mute => LinkFault::Mute,
            Self::Delay => LinkFault::Delay,
            Self::Throttle => LinkFault::Throttle,
            Self::CutAfter => LinkFault::CutAfter,
            _ => return None,
        })
    }
}

/// Contents of a folder of a gateway, such as its `$TMPDIR`, when the gateway starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tmp {
    /// The folder is empty, as on a new machine.
    #[default]
    Empty,
    /// The folder holds the files of the previous process.
    Old,
}

/// A fault as written in a trial file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct FaultSpec {
    at: f64,
    #[serde(rename = "for", default)]
    duration: f64,
    fault: Kind,
    from: Option<String>,
    to: Option<String>,
    on: Option<String>,
    #[serde(default)]
    one_way: bool,
    ms: Option<(f64, f64)>,
    bytes: Option<u64>,
    share: Option<f64>,
    #[serde(default)]
    tmp: Tmp,
    #[serde(default = "default_disk")]
    disk: Tmp,
    #[serde(default)]
    old: bool,
}

fn default_disk() -> Tmp {
    Tmp::Old
}

/// The group of a trial's gateways, as written in a trial file. The first `voters` gateways are its voters.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct GroupPlan {
    /// Number of voters: 1, 3 or 5.
    pub voters: usize,
    /// Session timeout, in ms.
    pub life_ms: u64,
    /// Duties that every gateway competes for.
    pub duties: Vec<String>,
}

/// The contents of a trial file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct TrialFile {
    gateways: Spanned<usize>,
    backends: Spanned<usize>,
    zones: Spanned<Vec<String>>,
    seconds: Spanned<f64>,
    rate: Spanned<f64>,
    #[serde(default = "default_counter_parts")]
    counter_parts: usize,
    /// Zone of the counter. Without a zone, cuts of zones do not affect the counter.
    counter_zone: Option<Spanned<String>>,
    /// Group of the gateways. Without a group, the gateways do not communicate with each other.
    group: Option<Spanned<GroupPlan>>,
    #[serde(default)]
    fault: Vec<Spanned<FaultSpec>>,
    /// Fault patterns, of which each seed draws one or two.
    #[serde(default)]
    nemesis: Vec<Spanned<FaultPattern>>,
}

fn default_counter_parts() -> usize {
    1
}

/// Fault patterns that a seed draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultPattern {
    /// Two to four links or groups of links with a link fault each.
    Cuts,
    /// One zone is cut off from all others.
    Split,
    /// One zone reaches all others; every other zone reaches only itself and that zone.
    Bridge,
    /// Gateways of each zone reach only their own zone and the next one.
    Ring,
    /// One zone is repeatedly cut off and reconnected.
    Flapping,
    /// All gateways restart, one after the other.
    Rolling,
    /// One or two gateways are paused, possibly for longer than the lifetime of a counter block.
    Stalls,
    /// Some but not all gateways are killed.
    Kills,
    /// The counter loses values, rejects calls, or its answers are dropped or delayed.
    Counter,
    /// A backend drains, and one gateway receives the notice late.
    Drains,
    /// Backends crash and restart cold.
    Colds,
    /// A handover, possibly with a link fault of the same gateway.
    Handovers,
}

/// One scheduled fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start of the fault, in seconds since the start of the load.
    pub at: f64,
    /// Duration of the fault, in seconds.
    pub duration: f64,
    /// Kind of the fault.
    pub kind: Kind,
    /// Affected links as (writer, reader).
    pub links: Vec<(Party, Party)>,
    /// Affected parties, for faults of processes and stand-ins.
    pub on: Vec<Party>,
    /// Behaviour of the affected links.
    pub flow: Flow,
    /// Share of answers or counter shards that the fault affects, from 0 to 1.
    pub share: f64,
    /// Contents of the `$TMPDIR` of the restarted process.
    pub tmp: Tmp,
    /// Contents of the data directory of a restarted voter.
    pub disk: Tmp,
    /// Whether the restart uses the older executable.
    pub old: bool,
    /// Short description of the fault.
    pub text: String,
}

/// The fleet of a trial.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Number of gateways. Gateway n is in zone n modulo the number of zones; the same holds for backends.
    pub gateways: usize,
    /// Number of backends.
    pub backends: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Number of shards of the counter.
    pub counter_parts: usize,
    /// Index of the counter's zone in `zones`, if the counter is in a zone.
    pub counter_zone: Option<usize>,
    /// Group of the gateways, if they form one.
    pub group: Option<GroupPlan>,
}

impl Fleet {
    /// Returns the index of a party's zone, if the party is in one.
    pub fn zone(&self, party: Party) -> Option<usize> {
        match party {
            Party::Gateway(number) | Party::Backend(number) => Some(number % self.zones.len()),
            Party::Counter => self.counter_zone,
            // The discovery agent runs on the machine of each gateway, and clients connect from outside.
            Party::Discovery | Party::Clients => None,
        }
    }

    fn all_parties(&self) -> Vec<Party> {
        let gateways = (0..self.gateways).map(Party::Gateway);
        let backends = (0..self.backends).map(Party::Backend);
        gateways.chain(backends).chain([Party::Clients, Party::Discovery, Party::Counter]).collect()
    }

    /// Resolves a comma-separated list of party selectors: `*`, `zone:NAME`, `gateways`, `backends`, or the name of a
    /// party. Returns `None` if a selector matches no party.
    fn select(&self, text: &str) -> Option<Vec<Party>> {
        let mut all = Vec::new();
        for name in text.split(',').map(str::trim) {
            let parties = self.all_parties().into_iter();
            let found: Vec<Party> = match name.strip_prefix("zone:") {
                Some(zone) => {
                    let zone = self.zones.iter().position(|z| z == zone)?;
                    parties.filter(|party| self.zone(*party) == Some(zone)).collect()
                }
                None => parties
                    .filter(|party| match name {
                        "*" => true,
                        "gateways" => matches!(party, Party::Gateway(_)),
                        "backends" => matches!(party, Party::Backend(_)),
                        name => party.to_string() == name,
                    })
                    .collect(),
            };
            if found.is_empty() {
                return None;
            }
            all.extend(found);
        }
        Some(all)
    }

    /// Returns whether `from` opens connections to `to`.
    pub fn connects(from: Party, to: Party) -> bool {
        use Party::{Backend, Clients, Counter, Discovery, Gateway};
        match (from, to) {
            (Gateway(from), Gateway(to)) => from != to,
            _ => matches!((from, to), (Clients, Gateway(_)) | (Gateway(_), Backend(_) | Discovery | Counter)),
        }
    }

    /// Returns the links from one set of parties to another and, unless `one_way`, the reverse links. Links among
    /// parties that are in both sets are excluded, so a zone that is cut off keeps its internal links.
    pub fn links(&self, from: &[Party], to: &[Party], one_way: bool) -> Vec<(Party, Party)> {
        links_between(from, to, one_way, from.len() == self.all_parties().len(), Self::connects)
    }
}

/// A validated trial.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Name of the trial.
    pub name: String,
    /// The parties of the trial.
    pub fleet: Fleet,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Request rate, per second.
    pub rate: f64,
    /// Seed of all random draws.
    pub seed: u64,
    /// The faults in order of their start.
    pub faults: Vec<Fault>,
}

/// Returns the TOML text of the built-in trial of this name, or else of the file at this path.
///
/// # Errors
/// When no built-in trial has the name and the file cannot be read.
pub fn text(name: &str) -> Result<String, ScheduleError> {
    match BUILT_IN_TRIALS.iter().find(|(built_in, _)| *built_in == name) {
        Some((_, text)) => Ok((*text).to_owned()),
        None => std::fs::read_to_string(Path::new(name)).map_err(|error| {
            ScheduleError(format!(
                "{name}: no built-in trial has this name, and the file cannot be read: {error}"
            ))
        }),
    }
}

impl Schedule {
    /// Parses and validates a trial, and draws the random faults from the seed. `seconds` overrides the duration in the
    /// file.
    ///
    /// # Errors
    /// When the trial is invalid: one line with the position in the file.
    pub fn read(name: &str, text: &str, seed: u64, seconds: Option<f64>) -> Result<Self, ScheduleError> {
        let place =
            |at: usize, what: &str| ScheduleError(fault_injection::format_location(name, text, at, what));
        let file: TrialFile = toml::from_str(text)
            .map_err(|error| place(error.span().map_or(0, |span| span.start), error.message()))?;
        let bad = |at: std::ops::Range<usize>, what: String| Err(place(at.start, &what));
        let zones = file.zones.get_ref();
        if zones.is_empty() || zones.len() > 9 || zones.iter().any(String::is_empty) {
            return bad(file.zones.span(), "a trial needs 1 to 9 zones with non-empty names".into());
        }
        if !GATEWAYS.contains(file.gateways.get_ref()) {
            return bad(
                file.gateways.span(),
                format!("the number of gateways must be {} to {}", GATEWAYS.start(), GATEWAYS.end()),
            );
        }
        if !(1..=60).contains(file.backends.get_ref()) || file.counter_parts == 0 {
            return bad(
                file.backends.span(),
                "a trial needs 1 to 60 backends and at least one counter part".into(),
            );
        }
        let seconds = seconds.unwrap_or(*file.seconds.get_ref());
        if !(1.0..=MAX_SECONDS).contains(&seconds) {
            return bad(file.seconds.span(), format!("the duration must be 1 to {MAX_SECONDS} seconds"));
        }
        if !(1.0..=MAX_RATE).contains(file.rate.get_ref()) {
            return bad(file.rate.span(), format!("the rate must be 1 to {MAX_RATE} requests per second"));
        }
        let counter_zone = match &file.counter_zone {
            Some(zone) => match zones.iter().position(|z| z == zone.get_ref()) {
                Some(at) => Some(at),
                None => return bad(zone.span(), "no zone has this name".into()),
            },
            None => None,
        };
        let group = file.group.as_ref().map(Spanned::get_ref).cloned();
        if let (Some(of), Some(plan)) = (&file.group, &group)
            && !([1, 3, 5].contains(&plan.voters) && plan.voters <= *file.gateways.get_ref())
        {
            return bad(
                of.span(),
                "the number of voters must be 1, 3 or 5 and at most the number of gateways".into(),
            );
        }
        let fleet = Fleet {
            gateways: *file.gateways.get_ref(),
            backends: *file.backends.get_ref(),
            zones: zones.clone(),
            counter_parts: file.counter_parts,
            counter_zone,
            group,
        };
        let mut faults = Vec::new();
        for row in &file.fault {
            match resolve_fault(&fleet, row.get_ref(), seconds) {
                Ok(fault) => faults.push(fault),
                Err(what) => return bad(row.span(), what),
            }
        }
        if !file.nemesis.is_empty() {
            let patterns: Vec<FaultPattern> = file.nemesis.iter().map(|pattern| *pattern.get_ref()).collect();
            let drawn = draw_faults(&fleet, &patterns, seconds, seed);
            for row in drawn {
                // Validate drawn faults in the same way as faults from the file.
                match resolve_fault(&fleet, &row, seconds) {
                    Ok(fault) => faults.push(fault),
                    Err(what) => return bad(0..0, format!("invalid drawn fault: {what}")),
                }
            }
        }
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        let rate = *file.rate.get_ref();
        Ok(Self { name: name.into(), fleet, seconds, rate, seed, faults })
    }
}

/// Validates one fault against the fleet and resolves its parties.
fn resolve_fault(fleet: &Fleet, row: &FaultSpec, seconds: f64) -> Result<Fault, String> {
    let FaultSpec { at, duration, fault: kind, one_way, tmp, disk, old, .. } = *row;
    if !(at.is_finite() && at >= 0.0 && duration.is_finite() && duration >= 0.0 && at + duration <= seconds) {
        return Err(format!("a fault must start and end within the {seconds} seconds of the trial"));
    }
    let select_parties = |text: &Option<String>, key: &str| match text {
        Some(text) => fleet.select(text).ok_or_else(|| format!("{key}: no party matches {text}")),
        None => Err(format!("{key} is missing")),
    };
    let name =
        serde_json::to_value(kind).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default();
    let share = row.share.unwrap_or(1.0);
    if !(0.0..=1.0).contains(&share) {
        return Err("share must be 0 to 1".into());
    }
    let (mut links, mut on, mut flow) = (Vec::new(), Vec::new(), Flow::Free);
    let mut text = name;
    if let Some(link_fault) = kind.link_fault() {
        let (from, to) = (select_parties(&row.from, "from")?, select_parties(&row.to, "to")?);
        links = fleet.links(&from, &to, one_way);
        if links.is_empty() {
            return Err("no connection exists between the parties in from and to".into());
        }
        flow = link_fault.flow(row.ms, row.bytes)?;
        let arrow = if one_way { ">" } else { "-" };
        text =
            format!("{text} {}{arrow}{}", row.from.as_deref().unwrap_or(""), row.to.as_deref().unwrap_or(""));
    } else {
        on = match kind {
            Kind::Forget | Kind::Busy => vec![Party::Counter],
            _ => select_parties(&row.on, "on")?,
        };
        let applies = |party: &Party| match kind {
            Kind::Kill | Kind::Stop | Kind::Restart | Kind::Handover => matches!(party, Party::Gateway(_)),
            Kind::Forget | Kind::Busy => *party == Party::Counter,
            _ => matches!(party, Party::Backend(_)),
        };
        on.retain(applies);
        if on.is_empty() {
            return Err("on: this kind of fault does not apply to the selected parties".into());
        }
        text = format!("{text} {}", row.on.as_deref().unwrap_or("counter"));
    }
    Ok(Fault { at, duration, kind, links, on, flow, share, tmp, disk, old, text })
}

/// Earliest start and latest end of most drawn faults, as shares of the trial duration. The time before serves as the
/// baseline of the service level; the time after leaves room for recovery.
const DRAW_WINDOW: (f64, f64) = (0.25, 0.65);

/// Draws one or two fault patterns and their faults.
fn draw_faults(fleet: &Fleet, patterns: &[FaultPattern], seconds: f64, seed: u64) -> Vec<FaultSpec> {
    let mut random = Random::new(seed, "nemesis", 0);
    let count = 1 + usize::from(random.happens(0.4));
    let mut rows = Vec::new();
    let mut remaining = patterns.to_vec();
    for _ in 0..count.min(patterns.len()) {
        // Draw each pattern at most once: two rolling restarts would act on the same processes at once.
        let pattern = remaining.remove(random.below(remaining.len()));
        rows.extend(pattern.draw(fleet, seconds, &mut random));
    }
    rows
}

fn fault_spec(at: f64, duration: f64, fault: Kind) -> FaultSpec {
    FaultSpec {
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
        tmp: Tmp::Empty,
        disk: Tmp::Old,
        old: false,
    }
}

fn link_fault_spec(at: f64, duration: f64, fault: Kind, from: &str, to: &str) -> FaultSpec {
    FaultSpec { from: Some(from.into()), to: Some(to.into()), ..fault_spec(at, duration, fault) }
}

fn party_fault_spec(at: f64, duration: f64, fault: Kind, on: &str) -> FaultSpec {
    FaultSpec { on: Some(on.into()), ..fault_spec(at, duration, fault) }
}

impl FaultPattern {
    fn draw(self, fleet: &Fleet, seconds: f64, random: &mut Random) -> Vec<FaultSpec> {
        let span = |min: f64, max: f64| Span { min, max };
        let (first, last) = (seconds * DRAW_WINDOW.0, seconds * DRAW_WINDOW.1);
        let at = random.within(span(first, (first + last) / 2.0));
        let duration = random.within(span(0.5, (last - at).max(0.5)));
        let zone = |number: usize| format!("zone:{}", fleet.zones[number % fleet.zones.len()]);
        let start = random.below(fleet.zones.len());
        let gateway = |random: &mut Random| format!("g{}", random.below(fleet.gateways));
        let backend = |random: &mut Random| format!("b{}", random.below(fleet.backends));
        match self {
            Self::Cuts => {
                let kinds = [
                    Kind::Cut,
                    Kind::Cut,
                    Kind::Reset,
                    Kind::Mute,
                    Kind::Delay,
                    Kind::Throttle,
                    Kind::CutAfter,
                ];
                let number = 2 + random.below(3);
                let one = |random: &mut Random| {
                    let kind = *random.one_of(&kinds);
                    let at = random.within(span(first, (first + last) / 2.0));
                    let duration = random.within(span(0.3, (last - at).max(0.5)));
                    let from = if random.happens(0.5) { gateway(random) } else { zone(random.below(9)) };
                    let others = ["backends", "counter", "discovery", "*"];
                    let to = if random.happens(0.6) {
                        (*random.one_of(&others)).to_owned()
                    } else {
                        backend(random)
                    };
                    // A zone may have no links to a given backend or to the backends outside the zone; links from a
                    // zone to all other parties always exist.
                    let to = if to.starts_with('b') && from.starts_with('z') { "*".into() } else { to };
                    let to = if from.starts_with('z') && to == "backends" { "*".into() } else { to };
                    FaultSpec {
                        one_way: random.happens(0.4),
                        ms: Some((5.0, random.within(span(20.0, 400.0)))),
                        bytes: Some(random.within(span(50.0, 4000.0)) as u64),
                        ..link_fault_spec(at, duration, kind, &from, &to)
                    }
                };
                (0..number).map(|_| one(random)).collect()
            }
            Self::Split => vec![link_fault_spec(at, duration, Kind::Cut, &zone(start), "*")],
            Self::Bridge | Self::Ring => {
                // In a ring, a zone reaches its own parties and those of the next zone. With a bridge, all zones
                // reach the zone `start`.
                let zones = fleet.zones.len();
                let mut rows = Vec::new();
                for a in 0..zones {
                    for b in (0..zones).filter(|b| *b != a) {
                        let separated = match self {
                            Self::Ring => b != (a + 1) % zones,
                            _ => a != start && b != start,
                        };
                        let gateways = (0..fleet.gateways).filter(|g| g % zones == a);
                        let gateways: Vec<String> = gateways.map(|g| format!("g{g}")).collect();
                        let backends = (0..fleet.backends).filter(|number| number % zones == b);
                        let others = (0..fleet.gateways).filter(|g| fleet.group.is_some() && g % zones == b);
                        let backends: Vec<String> = backends
                            .map(|number| format!("b{number}"))
                            .chain(others.map(|g| format!("g{g}")))
                            .collect();
                        if separated && !gateways.is_empty() && !backends.is_empty() {
                            rows.push(link_fault_spec(
                                at,
                                duration,
                                Kind::Cut,
                                &gateways.join(","),
                                &backends.join(","),
                            ));
                        }
                    }
                }
                rows
            }
            Self::Flapping => {
                let period = random.within(span(0.6, 1.6));
                let number = (((last - at) / period) as usize).clamp(2, 6);
                let cut_duration = period * 0.5;
                let flap = |n: usize| {
                    link_fault_spec(at + period * n as f64, cut_duration, Kind::Cut, &zone(start), "*")
                };
                (0..number).map(flap).filter(|row| row.at + row.duration <= seconds).collect()
            }
            Self::Rolling => {
                let interval = ((seconds * 0.85 - first) / fleet.gateways as f64).min(3.0);
                let tmp = if random.happens(0.5) { Tmp::Old } else { Tmp::Empty };
                let one = |n: usize| FaultSpec {
                    tmp,
                    ..party_fault_spec(first + interval * n as f64, 0.1, Kind::Restart, &format!("g{n}"))
                };
                (0..fleet.gateways).map(one).collect()
            }
            Self::Stalls => {
                let number = 1 + random.below(2);
                (0..number)
                    .map(|_| {
                        let at = random.within(span(first, (first + last) / 2.0));
                        party_fault_spec(
                            at,
                            random.within(span(0.3, last - at)),
                            Kind::Stop,
                            &gateway(random),
                        )
                    })
                    .collect()
            }
            Self::Kills => {
                let number = 1 + random.below(fleet.gateways - 1);
                let one = |n: usize| party_fault_spec(at, duration, Kind::Kill, &format!("g{n}"));
                (0..number).map(one).collect()
            }
            Self::Counter => {
                let half: Vec<String> = (0..fleet.gateways / 2).map(|g| format!("g{g}")).collect();
                let share = Some(random.within(span(0.3, 1.0)));
                match random.below(4) {
                    0 => vec![FaultSpec { share, ..fault_spec(at, 0.0, Kind::Forget) }],
                    1 => vec![FaultSpec { share, ..fault_spec(at, duration, Kind::Busy) }],
                    2 => vec![FaultSpec {
                        one_way: true,
                        ..link_fault_spec(at, duration, Kind::Mute, "counter", &half.join(","))
                    }],
                    _ => vec![FaultSpec {
                        ms: Some((20.0, 200.0)),
                        one_way: true,
                        ..link_fault_spec(at, duration, Kind::Delay, "counter", "gateways")
                    }],
                }
            }
            Self::Drains => {
                let drained = backend(random);
                let late_gateway = gateway(random);
                let discovery_cut = FaultSpec {
                    one_way: true,
                    ..link_fault_spec(at, duration, Kind::Cut, "discovery", &late_gateway)
                };
                vec![
                    discovery_cut,
                    party_fault_spec(
                        at + 0.1,
                        (duration + 1.0).min(seconds - at - 0.1),
                        Kind::Drain,
                        &drained,
                    ),
                ]
            }
            Self::Colds => {
                let number = 1 + random.below(fleet.backends / 2);
                let begin = random.below(fleet.backends);
                let one = |n: usize| {
                    party_fault_spec(at, duration, Kind::Crash, &format!("b{}", (begin + n) % fleet.backends))
                };
                (0..number).map(one).collect()
            }
            Self::Handovers => {
                let handed_over = gateway(random);
                let mut rows = vec![party_fault_spec(at, 0.1, Kind::Handover, &handed_over)];
                if random.happens(0.6) {
                    let kind = if random.happens(0.5) { Kind::Cut } else { Kind::Reset };
                    let to = *random.one_of(&["counter", "discovery", "backends"]);
                    let begin = at + random.within(span(-0.2, 0.4));
                    rows.push(link_fault_spec(begin, duration.min(2.0), kind, &handed_over, to));
                }
                rows
            }
        }
    }
}
