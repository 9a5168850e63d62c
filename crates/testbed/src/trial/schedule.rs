//! Trial schedules: load and faults, read from TOML or drawn from a seed. A file is validated completely before the
//! trial starts; an error is one line with its position.

use super::draw::{FaultPattern, draw};
use super::parties::Party;
use fault_injection::relay::{Flow, LinkFault, links_between};
use serde::Deserialize;
use std::path::Path;
use thiserror::Error;
use toml::Spanned;

/// The trials that are built into the program.
pub const BUILT_IN: [(&str, &str); 9] = [
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

/// Maximum length of a trial in seconds.
const MAX_SECONDS: f64 = 300.0;
/// Maximum request rate per second.
const MAX_RATE: f64 = 2000.0;
/// Maximum number of misbehaving clients at the same time.
const MAX_RUDE_CLIENTS: usize = 500;

/// An invalid schedule: one line with the position of the error.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct ScheduleError(String);

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Links drop all traffic silently, as if the machines behind them had vanished.
    Cut,
    /// Links are reset, and new connections are refused.
    Reset,
    /// Connections are established, but data written to them is lost.
    Mute,
    /// Links delay each piece of data by a random time (`ms`).
    Delay,
    /// Links pass a limited number of bytes per second (`bytes`).
    Throttle,
    /// Connections on links are reset after a number of bytes (`bytes`).
    CutAfter,
    /// Processes are killed and started again at the end of the fault (`disk`).
    Kill,
    /// Processes are suspended and resumed at the end of the fault.
    Stop,
    /// Processes receive SIGTERM and are started again after they exit (`disk`).
    Restart,
    /// Backends vanish; at the end of the fault, cold ones replace them at the same addresses.
    Crash,
    /// Backends vanish; until the end of the fault, backends of another service listen at their addresses.
    Reuse,
    /// Backends drain and leave, and others replace them at other addresses.
    Release,
    /// Backends take longer by a factor (`factor`).
    Slow,
    /// Backends accept requests and never answer.
    Silent,
    /// Backends break off answers and send invalid HTTP.
    Garble,
    /// Backends run a share of their requests and answer 500 (`share`).
    Fail,
    /// Backends run a share of their requests and close the connection without an answer (`share`).
    Lose,
    /// The operator changes the configuration continuously, with racing and invalid changes.
    Changes,
    /// A tenant sends a multiple of its share of the load (`factor`).
    Hot,
    /// A number of clients are slow, disconnect, send invalid HTTP or smuggle requests (`count`).
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

    fn affects_processes(self) -> bool {
        matches!(self, Self::Kill | Self::Stop | Self::Restart)
    }

    fn is_global(self) -> bool {
        matches!(self, Self::Changes | Self::Hot | Self::Rude)
    }
}

/// Contents of a process's disk when the process starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disk {
    /// The disk is unchanged.
    #[default]
    Old,
    /// The disk is empty.
    Empty,
}

/// A fault as written in a schedule file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct Row {
    pub(super) at: f64,
    #[serde(rename = "for", default)]
    pub(super) duration: f64,
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

/// A schedule file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct File {
    seconds: Spanned<f64>,
    rate: Spanned<f64>,
    #[serde(default)]
    fault: Vec<Spanned<Row>>,
    /// Fault patterns that the seed draws from.
    #[serde(default)]
    nemesis: Vec<FaultPattern>,
    /// Minimum number of drawn patterns.
    shapes: Option<usize>,
}

/// Targets of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// No particular target.
    Global,
    /// Links as pairs of writer and reader, with the effect on their traffic.
    Links(Vec<(Party, Party)>, Flow),
    /// Processes.
    Processes(Vec<Party>),
    /// The control plane that is the leader when the fault begins.
    Leader,
    /// Backend slots.
    Backends(Vec<usize>),
}

/// A fault of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start, in seconds since the start of the load.
    pub at: f64,
    /// Duration in seconds.
    pub duration: f64,
    /// Kind of the fault.
    pub kind: Kind,
    /// Targets of the fault.
    pub on: Target,
    /// Share of requests that the fault affects.
    pub share: f64,
    /// Factor of the slowdown or of the additional load.
    pub factor: f64,
    /// Number of misbehaving clients.
    pub count: usize,
    /// Contents of the disk when a process starts again.
    pub disk: Disk,
    /// Description of the fault.
    pub text: String,
}

impl Fault {
    /// Machines whose links or processes the fault affects.
    pub fn machines(&self) -> Vec<usize> {
        let mut machines: Vec<_> = match &self.on {
            Target::Links(links, _) => {
                links.iter().flat_map(|(a, b)| [a.machine(), b.machine()]).flatten().collect()
            }
            Target::Processes(of) => of.iter().filter_map(|party| party.machine()).collect(),
            _ => Vec::new(),
        };
        machines.sort_unstable();
        machines.dedup();
        machines
    }
}

/// A validated trial schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Name of the trial.
    pub name: String,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Requests per second.
    pub rate: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Faults ordered by start time.
    pub faults: Vec<Fault>,
}

/// Returns the text of a built-in trial or of a file.
///
/// # Errors
/// Returns an error when neither exists.
pub fn text(name: &str) -> Result<String, ScheduleError> {
    match BUILT_IN.iter().find(|(shipped, _)| *shipped == name) {
        Some((_, text)) => Ok((*text).to_owned()),
        None => std::fs::read_to_string(Path::new(name)).map_err(|error| {
            ScheduleError(format!("{name}: neither a built-in trial nor a readable file: {error}"))
        }),
    }
}

impl Schedule {
    /// Parses a schedule and draws its random faults from the seed.
    ///
    /// # Errors
    /// Returns one line with the position when the schedule is invalid.
    pub fn read(name: &str, text: &str, seed: u64) -> Result<Self, ScheduleError> {
        let error_at =
            |at: usize, what: &str| ScheduleError(fault_injection::format_location(name, text, at, what));
        let file: File = toml::from_str(text)
            .map_err(|error| error_at(error.span().map_or(0, |span| span.start), error.message()))?;
        let (seconds, rate) = (*file.seconds.get_ref(), *file.rate.get_ref());
        if !(1.0..=MAX_SECONDS).contains(&seconds) {
            return Err(error_at(file.seconds.span().start, &format!("seconds must be 1 to {MAX_SECONDS}")));
        }
        if !(1.0..=MAX_RATE).contains(&rate) {
            return Err(error_at(
                file.rate.span().start,
                &format!("rate must be 1 to {MAX_RATE} requests per second"),
            ));
        }
        let mut faults = Vec::new();
        for row in &file.fault {
            let read = fault(row.get_ref(), seconds);
            faults.push(read.map_err(|what| error_at(row.span().start, &what))?);
        }
        if !file.nemesis.is_empty() {
            for row in draw(&file.nemesis, file.shapes, seconds, seed) {
                // Drawn faults pass the same validation as written ones.
                faults
                    .push(fault(&row, seconds).map_err(|what| error_at(0, &format!("drawn fault: {what}")))?);
            }
        }
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(Self { name: name.into(), seconds, rate, seed, faults })
    }

    /// Name of the directory with the results of the trial.
    pub fn directory_name(&self) -> String {
        let stem = Path::new(&self.name).file_stem().unwrap_or_default().to_string_lossy();
        let plain: String =
            stem.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-' || *c == '_').collect();
        format!("{plain}-{}", self.seed)
    }
}

/// Validates one fault.
fn fault(row: &Row, seconds: f64) -> Result<Fault, String> {
    let Row { at, duration, fault: kind, one_way, disk, .. } = *row;
    if !(at.is_finite() && at >= 0.0 && duration.is_finite() && duration >= 0.0 && at + duration <= seconds) {
        return Err(format!("a fault must lie within the {seconds} seconds of the trial"));
    }
    let find_parties = |text: &Option<String>, key: &str| match text {
        Some(text) => Party::parse(text).ok_or_else(|| format!("{key}: unknown party {text}")),
        None => Err(format!("{key} is missing")),
    };
    let share = row.share.unwrap_or(0.5);
    if !(0.0..=1.0).contains(&share) {
        return Err("share must be 0 to 1".into());
    }
    let factor = row.factor.unwrap_or(5.0);
    if !(1.0..=50.0).contains(&factor) {
        return Err("factor must be 1 to 50".into());
    }
    let count = row.count.unwrap_or(20);
    if !(1..=MAX_RUDE_CLIENTS).contains(&count) {
        return Err(format!("count must be 1 to {MAX_RUDE_CLIENTS}"));
    }
    let name = format!("{kind:?}").to_lowercase();
    let (on, of) = if let Some(harm) = kind.harm() {
        let (from, to) = (find_parties(&row.from, "from")?, find_parties(&row.to, "to")?);
        let includes_all = from.len() == Party::all().len();
        let links = links_between(&from, &to, one_way, includes_all, Party::connects_to);
        if links.is_empty() {
            return Err("no party in from connects to a party in to".into());
        }
        let flow = harm.flow(row.ms, row.bytes)?;
        let arrow = if one_way { ">" } else { "-" };
        let link_names =
            format!("{}{arrow}{}", row.from.as_deref().unwrap_or(""), row.to.as_deref().unwrap_or(""));
        (Target::Links(links, flow), link_names)
    } else if kind.is_global() {
        (Target::Global, String::new())
    } else if kind.affects_processes() && row.on.as_deref() == Some("leader") {
        (Target::Leader, "leader".to_owned())
    } else {
        let found = find_parties(&row.on, "on")?;
        let on = if kind.affects_processes() {
            let process = |party: &Party| matches!(party, Party::DataPlane(_) | Party::ControlPlane(_));
            Target::Processes(found.into_iter().filter(process).collect())
        } else {
            let slot = |party| if let Party::StandInBackend(slot) = party { Some(slot) } else { None };
            Target::Backends(found.into_iter().filter_map(slot).collect())
        };
        let empty = matches!(&on, Target::Processes(of) if of.is_empty())
            || matches!(&on, Target::Backends(of) if of.is_empty());
        if empty {
            return Err("on: this fault does not apply to these parties".into());
        }
        (on, row.on.clone().unwrap_or_default())
    };
    let text = format!("{name} {of}").trim_end().to_owned();
    Ok(Fault { at, duration, kind, on, share, factor, count, disk, text })
}
