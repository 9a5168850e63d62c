//! The settings of one process, from the TOML file that it is told of.
//!
//! Each setting is declared once, by `declare!`: what it is for, its key, type, default and check. The struct, the
//! reader and the list that a help command prints all come from there, so that they cannot disagree. Fields that are
//! not declared are ignored, because the file may be written for a later version.

use std::fmt::{self, Display};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use miette::Diagnostic;
use thiserror::Error;
use toml::{Table, Value};

use crate::setting_type::{
    AddressList, DetourList, Flag, Integer, Millis, Number, Optional, Parsed, PortRange, Seconds,
    SettingType, Text, TextList, TextTable,
};

/// Name of the list of `name=value` texts.
const BOUND_TABLE_KEY: &str = "bound_table";

/// A setting as it was declared, for the help of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingInfo {
    /// Its way through the file, such as `limits.memory_mb`.
    pub key: &'static str,
    /// What it takes.
    pub kind: &'static str,
    /// What holds where the file says nothing; `required` and `empty` stand for themselves.
    pub default: &'static str,
    /// What it is for.
    pub doc: &'static str,
}

impl Display for SettingInfo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}; {}): {}", self.key, self.kind, self.default, self.doc.trim())
    }
}

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("{key}: {kind}")]
#[diagnostic(code(config::settings::key))]
pub struct SettingIssue {
    /// Way to the fault.
    pub key: String,
    /// What is wrong there.
    pub kind: SettingIssueKind,
}

/// What is wrong with one setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingIssueKind {
    /// It has to be there and is not.
    #[error("is missing")]
    Missing,
    /// It is of another type, or a text that does not say what it should.
    #[error("wants {expected} and has {found}")]
    Kind {
        /// What the setting takes.
        expected: &'static str,
        /// What stands there.
        found: String,
    },
    /// It fails the check that was declared with it.
    #[error("{0}")]
    Check(&'static str),
}

/// Why there are no settings.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: cannot be read: {error}", path.display())]
    #[diagnostic(code(config::settings::file))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        #[source]
        error: io::Error,
    },
    /// The text is not TOML.
    #[error("(document): is not TOML: {0}")]
    #[diagnostic(code(config::settings::toml))]
    Toml(#[from] toml::de::Error),
    /// Settings are missing or wrong.
    #[error("{}", .0.iter().map(SettingIssue::to_string).collect::<Vec<_>>().join("\n"))]
    #[diagnostic(code(config::settings::invalid))]
    Invalid(#[related] Vec<SettingIssue>),
}

/// Collects the faults, so that one start of a program shows them all.
type Issues = Vec<SettingIssue>;

fn record_issue<T>(issues: &mut Issues, key: &str, kind: SettingIssueKind) -> Option<T> {
    issues.push(SettingIssue { key: key.to_owned(), kind });
    None
}

fn look_up<'t>(root: &'t Table, key: &str) -> Option<&'t Value> {
    let mut segments = key.split('.');
    let first = root.get(segments.next()?)?;
    segments.try_fold(first, |value, step| value.as_table()?.get(step))
}

/// What a value has to fulfil, and the words to say when it does not.
type Check<T> = (fn(&T) -> bool, &'static str);

fn read_setting<K: SettingType>(
    root: &Table, key: &'static str, default: Option<K::Out>, check: Option<Check<K::Out>>,
    issues: &mut Issues,
) -> Option<K::Out> {
    let Some(value) = look_up(root, key) else {
        return default.or_else(|| record_issue(issues, key, SettingIssueKind::Missing));
    };
    let Some(parsed) = K::read(value) else {
        return record_issue(
            issues,
            key,
            SettingIssueKind::Kind { expected: K::NAME, found: value.to_string() },
        );
    };
    match check {
        Some((is_valid, message)) if !is_valid(&parsed) => {
            record_issue(issues, key, SettingIssueKind::Check(message))
        }
        _ => Some(parsed),
    }
}

/// Declares settings: `name: Type = default, "key", check => "words where it fails";` with the doc above it.
///
/// The default is a literal as it would stand in the file, `empty`, or `required` for none. A `parts` block at the end
/// takes further groups that were declared the same way.
macro_rules! declare {
    (
        $(#[$about:meta])*
        pub struct $name:ident, $list:ident {
            $($(#[doc = $doc:literal])+ $field:ident: $kind:ty = $default:tt, $key:literal $(, $check:expr => $message:literal)?;)+
            $(parts { $($(#[$part_about:meta])+ $part:ident: $group:ident;)+ })?
        }
    ) => {
        $(#[$about])*
        #[derive(Debug, Clone, PartialEq)]
        pub struct $name {
            $($(#[doc = $doc])+ pub $field: <$kind as SettingType>::Out,)+
            $($($(#[$part_about])+ pub $part: $group,)+)?
        }

        #[doc = concat!("What is declared of [`", stringify!($name), "`].")]
        pub const $list: &[SettingInfo] = &[$(SettingInfo {
            key: $key,
            kind: <$kind as SettingType>::NAME,
            default: stringify!($default),
            doc: concat!($($doc),+),
        }),+];

        impl $name {
            fn read_from(root: &Table, issues: &mut Issues) -> Option<Self> {
                // Every field is read before the first that failed ends this, so that no fault hides another.
                $(let $field = read_setting::<$kind>(
                    root,
                    $key,
                    declare!(@default $default, $kind),
                    declare!(@check $kind $(, $check => $message)?),
                    issues,
                );)+
                $($(let $part = $group::read_from(root, issues);)+)?
                Some(Self { $($field: $field?,)+ $($($part: $part?,)+)? })
            }
        }
    };
    (@default required, $kind:ty) => { None };
    (@default empty, $kind:ty) => { <$kind as SettingType>::empty() };
    (@default $default:literal, $kind:ty) => { <$kind as SettingType>::read(&Value::from($default)) };
    (@check $kind:ty) => { None };
    (@check $kind:ty, $check:expr => $message:literal) => { Some(($check, $message)) };
}

declare! {
    /// What one process is told.
    pub struct Settings, SETTINGS {
        /// Name of the machine.
        node_name: Text = required, "node_name", |name| !name.is_empty() => "is empty";
        /// Name of what the process does in the fleet.
        role: Text = empty, "role";
        /// SettingType of machine.
        machine_class: Text = empty, "machine_class";
        /// What the process serves: `edge` for clients, `control` for callers.
        serves: TextList = required, "serves";
        /// Address under which the other machines reach this one.
        ip: Parsed<IpAddr> = required, "ip";
        /// Zone of the machine.
        zone: Text = required, "zone", |zone| !zone.is_empty() => "is empty";
        /// Region of the machine.
        region: Text = empty, "region";
        /// First and last of the ports that are free for what gateways say to each other.
        port_range: PortRange = required, "port_range",
            |(first, last)| 0 < *first && first <= last => "wants a first port above 0 and a last one not below it";
        /// Control addresses of up to three machines that are up at the first start.
        seed_list: AddressList = required, "seed_list";
        /// Whether this is the first start of the whole system, with empty disks.
        bootstrap: Flag = false, "bootstrap";
        /// Whether the machine counts for the losses that are tolerated, and so votes.
        in_quorum: Flag = false, "in_quorum";
        /// Directory that outlives the process; without it nothing is kept.
        data_path: Optional<Parsed<PathBuf>> = empty, "data_path";
        /// How backends become known.
        discovery: Text = empty, "discovery";
        /// How clients come to a gateway.
        entry: Text = empty, "entry";
        /// How often a backend beats.
        beat_interval: Millis = 1000, "beat_interval_ms", |beat| !beat.is_zero() => "wants more than 0";
        /// Parts of the rules that are in force.
        invariants: TextList = empty, "invariants";
        /// Region of each zone.
        zones: TextTable = empty, "zones";
        /// Where clients are served.
        front: Optional<Parsed<SocketAddr>> = empty, "bind.front";
        /// Where it is told whether the process is ready.
        readiness: Optional<Parsed<SocketAddr>> = empty, "bind.readiness";
        /// Where beats and the operator's calls arrive.
        control: Optional<Parsed<SocketAddr>> = empty, "bind.control";
        /// Share of a processor that the process gets.
        cpu_share: Number = 1.0, "limits.cpu_share", |share| *share > 0.0 => "wants more than 0";
        /// Processors that the process may run on.
        cpu_count: Integer<u32> = 1, "limits.cpu_count", |count| *count > 0 => "wants at least 1";
        /// Memory that the process may take.
        memory_mb: Integer<u64> = 256, "limits.memory_mb", |memory| *memory > 0 => "wants at least 1";
        /// Files and connections that the process may have open.
        max_fds: Integer<u64> = 1024, "limits.max_fds", |fds| *fds > 0 => "wants at least 1";
        /// Megabits a second of the machine's link.
        link_mbps: Number = 1000.0, "limits.link_mbps", |link| *link > 0.0 => "wants more than 0";
        /// Room on the disk.
        disk_mb: Integer<u64> = 64, "limits.disk_mb";
        /// Voting machines that may be lost at the same time.
        machine_losses: Integer<u32> = 0, "tolerance.machine_losses";
        /// Zones that may be lost at the same time.
        zone_losses: Integer<u32> = 0, "tolerance.zones";
        /// Regions that may be lost at the same time.
        region_losses: Integer<u32> = 0, "tolerance.region_losses";
        parts {
            /// Figures of the rules.
            bounds: Bounds;
            /// What is tuned about the project itself.
            tuning: Tuning;
        }
    }
}

declare! {
    /// Figures of the rules, from the `name=value` texts of `bound_table`.
    pub struct Bounds, BOUNDS {
        /// How far the list of gateways that callers use lags.
        seed_lag: Seconds = 3, "bound_table.seed_lag_s";
        /// How soon the address of a backend that is gone may be another one's.
        reuse_after: Seconds = 2, "bound_table.reuse_after_s";
        /// How long machines have to be in contact before they count as such.
        contact: Millis = 3000, "bound_table.contact_ms";
        /// How long a caller of control waits for its acknowledgement.
        ack: Millis = 5000, "bound_table.ack_ms";
        /// How long a machine that has returned still counts as lost.
        catch_up: Seconds = 4, "bound_table.catch_up_s";
        /// Time from the word of a drain until no more requests may go to that backend.
        drain: Millis = 2000, "bound_table.drain_ms";
        /// Time from SIGTERM to SIGKILL.
        grace: Seconds = 6, "bound_table.grace_s";
        /// Slack around a loss.
        loss_slack: Millis = 200, "bound_table.loss_slack_ms";
        /// Time in which a configuration that was acknowledged has to be in force.
        apply: Millis = 2000, "bound_table.apply_ms";
        /// Slack in which an older configuration may still be seen after a newer one.
        revert_slack: Millis = 250, "bound_table.revert_slack_ms";
        /// By how much troubles may stretch the other times at most.
        stretch_max: Millis = 8000, "bound_table.stretch_max_ms";
        /// Whether a key that was taken away may never come back into force.
        revoke_final: Flag = false, "bound_table.revoke_final";
        /// Time in which a key that was taken away has to be refused.
        revoke: Millis = 5000, "bound_table.revoke_ms";
        /// Further tries that are allowed for each request.
        retry_ratio: Number = 0.2, "bound_table.retry_ratio", |ratio| *ratio >= 0.0 => "is negative";
        /// Span over which further tries are counted.
        retry_window: Seconds = 10, "bound_table.retry_window_s", |span| !span.is_zero() => "wants more than 0";
        /// Further tries that are allowed on top.
        retry_slack: Number = 0, "bound_table.retry_slack", |slack| *slack >= 0.0 => "is negative";
        /// Span over which quotas are counted.
        quota_window: Seconds = 5, "bound_table.quota_window_s", |span| !span.is_zero() => "wants more than 0";
        /// Share of a quota by which it may be exceeded.
        quota_excess: Number = 0.1, "bound_table.quota_excess", |excess| *excess >= 0.0 => "is negative";
        /// Requests that may pass beyond a quota on top.
        quota_slack: Number = 0, "bound_table.quota_slack", |slack| *slack >= 0.0 => "is negative";
        /// Time after a trouble in which the system has to be well again.
        recovery: Seconds = 15, "bound_table.recovery_s";
    }
}

declare! {
    /// What is tuned about the project itself, in the table `reachlb`.
    pub struct Tuning, TUNING {
        /// How often a leader and whoever has news to tell give a sign of life.
        heartbeat: Millis = 60, "reachlb.pulse_ms", |heartbeat| !heartbeat.is_zero() => "wants more than 0";
        /// Draws a second that one holder of counts bears: more, and the leader shares the counts out; 0 for never.
        max_lease_requests_per_holder: Number = 0.0, "reachlb.draws_a_holder", |draws| *draws >= 0.0 => "wants 0 or more";
        /// Silence of the leader after which another one stands for election.
        election: Millis = 320, "reachlb.election_ms", |election| !election.is_zero() => "wants more than 0";
        /// How long the leader may act on the answer of a majority.
        lease: Millis = 230, "reachlb.lease_ms", |lease| !lease.is_zero() => "wants more than 0";
        /// Whether processes watch each other, in sets of a few; the command line can say so as well.
        failure_detection: Flag = false, "reachlb.watching";
        /// Which lines are logged: off, error, warn, info, debug or trace.
        log_level: Text = "info", "reachlb.log_level",
            |level| matches!(&**level, "off" | "error" | "warn" | "info" | "debug" | "trace")
                => "wants off, error, warn, info, debug or trace";
        /// AddressList of machines and backends that are reached under another one, as `own=other`.
        detours: DetourList = empty, "reachlb.ways";
    }
}

impl Tuning {
    /// What no setting can check alone.
    fn cross_check(&self, issues: &mut Issues) {
        if self.lease >= self.election {
            // Otherwise two leaders could hold the counts at the same time.
            let message = "has to be below reachlb.election_ms";
            record_issue::<()>(issues, "reachlb.lease_ms", SettingIssueKind::Check(message));
        }
        if self.heartbeat >= self.lease {
            // Otherwise the lease would end between two heartbeats of a leader that is well.
            record_issue::<()>(
                issues,
                "reachlb.pulse_ms",
                SettingIssueKind::Check("has to be below reachlb.lease_ms"),
            );
        }
    }
}

/// Everything that is declared, in the order in which a help command prints it.
pub fn declared() -> impl Iterator<Item = &'static SettingInfo> {
    [SETTINGS, BOUNDS, TUNING].into_iter().flatten()
}

impl Settings {
    /// Reads the settings file.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::File { path: path.to_owned(), error })?;
        Self::parse(&text)
    }

    /// Reads the settings, or says everything that is wrong with them.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut root: Table = text.parse()?;
        let mut issues = Issues::new();
        expand_bound_table(&mut root, &mut issues);
        let settings = Self::read_from(&root, &mut issues);
        if let Some(settings) = &settings {
            settings.tuning.cross_check(&mut issues);
        }
        match settings {
            Some(settings) if issues.is_empty() => Ok(settings),
            _ => Err(SettingsError::Invalid(issues)),
        }
    }

    /// Whether the process serves `what`.
    pub fn serves(&self, what: &str) -> bool {
        self.serves.iter().any(|served| &**served == what)
    }
}

/// Turns the `name=value` texts into a table, so that bounds are declared and read like any other setting.
///
/// Where settings are a file of lines, the texts stand on one line with commas between them: that is taken as well.
fn expand_bound_table(root: &mut Table, issues: &mut Issues) {
    let entries: Vec<Value> = match root.remove(BOUND_TABLE_KEY) {
        None => return,
        Some(Value::Array(entries)) => entries,
        Some(Value::String(line)) => line.split(',').map(|entry| Value::from(entry.trim())).collect(),
        Some(other) => {
            let kind =
                SettingIssueKind::Kind { expected: "a list of name=value texts", found: other.to_string() };
            return issues.push(SettingIssue { key: BOUND_TABLE_KEY.to_owned(), kind });
        }
    };
    let mut bounds = Table::new();
    for (index, entry) in entries.iter().enumerate() {
        match entry.as_str().and_then(|entry| entry.split_once('=')) {
            Some((name, value)) => {
                bounds.insert(name.trim().to_owned(), parse_scalar(value.trim()));
            }
            None => issues.push(SettingIssue {
                key: format!("{BOUND_TABLE_KEY}[{index}]"),
                kind: SettingIssueKind::Kind { expected: "a text name=value", found: entry.to_string() },
            }),
        }
    }
    root.insert(BOUND_TABLE_KEY.to_owned(), Value::Table(bounds));
}

/// The value of a bound: a whole number, a fraction, true or false, and a text where it is none of them.
fn parse_scalar(text: &str) -> Value {
    if let Ok(whole) = text.parse::<i64>() {
        return Value::Integer(whole);
    }
    if let Ok(figure) = text.parse::<f64>() {
        return Value::Float(figure);
    }
    text.parse::<bool>().map_or_else(|_| Value::from(text), Value::Boolean)
}
