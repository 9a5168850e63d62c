//! What a trial is: its load and its faults, written in TOML or drawn by a seed. A file is checked whole before
//! anything starts; what is wrong with it is one line with its place.

use super::draw::{Shape, draw};
use super::parties::Party;
use fault_injection::relay::{Flow, LinkFault, links_between};
use serde::Deserialize;
use std::path::Path;
use thiserror::Error;
use toml::Spanned;

/// The trials that come with the program.
pub const SHIPPED: [(&str, &str); 9] = [
    ("calm", include_str!("../../trials/calm.toml")),
    ("zone-cut", include_str!("../../trials/zone-cut.toml")),
    ("leader-disk", include_str!("../../trials/leader-disk.toml")),
    ("rolling", include_str!("../../trials/rolling.toml")),
    ("backends", include_str!("../../trials/backends.toml")),
    ("crowd", include_str!("../../trials/crowd.toml")),
    ("blackout", include_str!("../../trials/blackout.toml")),
    ("storm", include_str!("../../trials/storm.toml")),
    ("drawn", include_str!("../../trials/drawn.toml")),
];

/// The longest trial, in seconds.
const MOST_SECONDS: f64 = 300.0;
/// The most requests a second.
const MOST_RATE: f64 = 2000.0;
/// The most rude clients at once.
const MOST_RUDE: usize = 500;

/// A trial that cannot be played: one line, with the place.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct ScheduleError(String);

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Links fall silent, as if the machines behind them had vanished.
    Cut,
    /// Links are reset, and new connections refused.
    Reset,
    /// What is written on links vanishes, though connections come up.
    Mute,
    /// Links pass each piece after a drawn time (`ms`).
    Delay,
    /// Links pass so many bytes a second (`bytes`).
    Throttle,
    /// Connections on links are reset after so many bytes (`bytes`).
    CutAfter,
    /// Processes are killed and, afterwards, started again (`disk`).
    Kill,
    /// Processes are stopped and, afterwards, continued.
    Stop,
    /// Processes are told to end (SIGTERM) and, when they have, started again (`disk`).
    Restart,
    /// Backends are gone and, afterwards, others come at their addresses, cold.
    Crash,
    /// Backends are gone, and meanwhile others of another service listen at their addresses.
    Reuse,
    /// Backends leave in order, and others take over elsewhere.
    Release,
    /// Backends work so many times longer (`factor`).
    Slow,
    /// Backends take requests and say nothing.
    Silent,
    /// Backends break answers off, and talk what is no HTTP.
    Garble,
    /// Backends run this share of their requests and answer 500 (`share`).
    Fail,
    /// Backends run this share of their requests and close without an answer (`share`).
    Lose,
    /// The operator changes the configuration all the time: races and invalid ones too.
    Changes,
    /// A tenant asks so many times its share (`factor`).
    Hot,
    /// So many clients are slow, break off, talk nonsense or smuggle (`count`).
    Rude,
}

impl Kind {
    fn harm(self) -> Option<LinkFault> {
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

    fn is_of_processes(self) -> bool {
        matches!(self, Self::Kill | Self::Stop | Self::Restart)
    }

    fn is_of_nobody(self) -> bool {
        matches!(self, Self::Changes | Self::Hot | Self::Rude)
    }
}

/// What a process finds on its disk when it starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disk {
    /// What its last life left.
    #[default]
    Old,
    /// Nothing.
    Empty,
}

/// A fault as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct Row {
    pub(super) at: f64,
    #[serde(rename = "for", default)]
    pub(super) lasts: f64,
    pub(super) fault: Kind,
    pub(super) from: Option<String>,
    pub(super) to: Option<String>,
    pub(super) on: Option<String>,
    #[serde(default)]
    pub(super) one_way: bool,
    pub(super) ms: Option<(f64, f64)>,
    pub(super) bytes: Option<u64>,
    pub(super) share: Option<f64>,
    pub(super) factor: Option<f64>,
    pub(super) count: Option<usize>,
    #[serde(default)]
    pub(super) disk: Disk,
}

/// A trial as it is written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct File {
    seconds: Spanned<f64>,
    rate: Spanned<f64>,
    #[serde(default)]
    fault: Vec<Spanned<Row>>,
    /// Shapes of faults, of which each seed draws one or two.
    #[serde(default)]
    nemesis: Vec<Shape>,
    /// How many shapes, at the least.
    shapes: Option<usize>,
}

/// Whom a fault is about.
#[derive(Clone, Debug, PartialEq)]
pub enum On {
    /// Nobody in particular.
    Nobody,
    /// Links, by who writes and who reads, and what they do.
    Links(Vec<(Party, Party)>, Flow),
    /// Processes.
    Processes(Vec<Party>),
    /// Whoever leads when it begins.
    Leader,
    /// Places of backends.
    Backends(Vec<usize>),
}

/// One fault of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, in seconds from the load's begin.
    pub at: f64,
    /// For how long.
    pub lasts: f64,
    /// What.
    pub kind: Kind,
    /// Whom it is about.
    pub on: On,
    /// A share of requests.
    pub share: f64,
    /// How many times.
    pub factor: f64,
    /// How many.
    pub count: usize,
    /// What a process finds when it starts again.
    pub disk: Disk,
    /// All of it in words.
    pub text: String,
}

impl Fault {
    /// The machines whose links or processes it harms.
    pub fn machines(&self) -> Vec<usize> {
        let mut machines: Vec<_> = match &self.on {
            On::Links(links, _) => {
                links.iter().flat_map(|(a, b)| [a.machine(), b.machine()]).flatten().collect()
            }
            On::Processes(of) => of.iter().filter_map(|party| party.machine()).collect(),
            _ => Vec::new(),
        };
        machines.sort_unstable();
        machines.dedup();
        machines
    }
}

/// A trial, ready to be played.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Its name.
    pub name: String,
    /// For how long there is load, in seconds.
    pub seconds: f64,
    /// Requests a second.
    pub rate: f64,
    /// The seed.
    pub seed: u64,
    /// The faults, by time.
    pub faults: Vec<Fault>,
}

/// The text of a shipped trial, or of a file.
///
/// # Errors
/// When there is neither.
pub fn text(name: &str) -> Result<String, ScheduleError> {
    match SHIPPED.iter().find(|(shipped, _)| *shipped == name) {
        Some((_, text)) => Ok((*text).to_owned()),
        None => std::fs::read_to_string(Path::new(name))
            .map_err(|error| ScheduleError(format!("{name}: no trial of this name, and as a file: {error}"))),
    }
}

impl Schedule {
    /// Reads a trial and draws what is left to the seed.
    ///
    /// # Errors
    /// When it cannot be played: one line with the place.
    pub fn read(name: &str, text: &str, seed: u64) -> Result<Self, ScheduleError> {
        let place =
            |at: usize, what: &str| ScheduleError(fault_injection::format_location(name, text, at, what));
        let file: File = toml::from_str(text)
            .map_err(|error| place(error.span().map_or(0, |span| span.start), error.message()))?;
        let (seconds, rate) = (*file.seconds.get_ref(), *file.rate.get_ref());
        if !(1.0..=MOST_SECONDS).contains(&seconds) {
            return Err(place(file.seconds.span().start, &format!("1 to {MOST_SECONDS} seconds")));
        }
        if !(1.0..=MOST_RATE).contains(&rate) {
            return Err(place(file.rate.span().start, &format!("1 to {MOST_RATE} requests a second")));
        }
        let mut faults = Vec::new();
        for row in &file.fault {
            let read = fault(row.get_ref(), seconds);
            faults.push(read.map_err(|what| place(row.span().start, &what))?);
        }
        if !file.nemesis.is_empty() {
            for row in draw(&file.nemesis, file.shapes, seconds, seed) {
                // What is drawn is read as if it had been written.
                faults.push(fault(&row, seconds).map_err(|what| place(0, &format!("drawn: {what}")))?);
            }
        }
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(Self { name: name.into(), seconds, rate, seed, faults })
    }

    /// Its name as a folder's.
    pub fn folder(&self) -> String {
        let stem = Path::new(&self.name).file_stem().unwrap_or_default().to_string_lossy();
        let plain: String =
            stem.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-' || *c == '_').collect();
        format!("{plain}-{}", self.seed)
    }
}

/// Checks one fault.
fn fault(row: &Row, seconds: f64) -> Result<Fault, String> {
    let Row { at, lasts, fault: kind, one_way, disk, .. } = *row;
    if !(at.is_finite() && at >= 0.0 && lasts.is_finite() && lasts >= 0.0 && at + lasts <= seconds) {
        return Err(format!("a fault lies within the {seconds} seconds of the trial"));
    }
    let whom = |text: &Option<String>, key: &str| match text {
        Some(text) => Party::named(text).ok_or_else(|| format!("{key}: nobody is named {text}")),
        None => Err(format!("{key} is missing")),
    };
    let share = row.share.unwrap_or(0.5);
    if !(0.0..=1.0).contains(&share) {
        return Err("share is 0 to 1".into());
    }
    let factor = row.factor.unwrap_or(5.0);
    if !(1.0..=50.0).contains(&factor) {
        return Err("factor is 1 to 50".into());
    }
    let count = row.count.unwrap_or(20);
    if !(1..=MOST_RUDE).contains(&count) {
        return Err(format!("count is 1 to {MOST_RUDE}"));
    }
    let name = format!("{kind:?}").to_lowercase();
    let (on, of) = if let Some(harm) = kind.harm() {
        let (from, to) = (whom(&row.from, "from")?, whom(&row.to, "to")?);
        let whole = from.len() == Party::all().len();
        let links = links_between(&from, &to, one_way, whole, Party::talks);
        if links.is_empty() {
            return Err("nobody in from talks with anybody in to".into());
        }
        let flow = harm.flow(row.ms, row.bytes)?;
        let arrow = if one_way { ">" } else { "-" };
        let between =
            format!("{}{arrow}{}", row.from.as_deref().unwrap_or(""), row.to.as_deref().unwrap_or(""));
        (On::Links(links, flow), between)
    } else if kind.is_of_nobody() {
        (On::Nobody, String::new())
    } else if kind.is_of_processes() && row.on.as_deref() == Some("leader") {
        (On::Leader, "leader".to_owned())
    } else {
        let found = whom(&row.on, "on")?;
        let on = if kind.is_of_processes() {
            let process = |party: &Party| matches!(party, Party::DataPlane(_) | Party::ControlPlane(_));
            On::Processes(found.into_iter().filter(process).collect())
        } else {
            let slot = |party| if let Party::StandInBackend(slot) = party { Some(slot) } else { None };
            On::Backends(found.into_iter().filter_map(slot).collect())
        };
        let empty = matches!(&on, On::Processes(of) if of.is_empty())
            || matches!(&on, On::Backends(of) if of.is_empty());
        if empty {
            return Err("on: this fault is not one of theirs".into());
        }
        (on, row.on.clone().unwrap_or_default())
    };
    let text = format!("{name} {of}").trim_end().to_owned();
    Ok(Fault { at, lasts, kind, on, share, factor, count, disk, text })
}
