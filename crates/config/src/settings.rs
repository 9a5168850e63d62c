//! The settings of one process, read from a TOML file.
//!
//! Each setting is declared once, by `declare!`, with its documentation, key, type, default and check. The struct,
//! the parser and the list for help output are all generated from this declaration, so they always agree. Unknown
//! fields are ignored, because the file may be written for a later version.

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

/// Key of the list of `name=value` strings.
const BOUND_TABLE_KEY: &str = "bound_table";

/// Description of a declared setting, for help output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingInfo {
    /// Path in the file, such as `limits.memory_mb`.
    pub key: &'static str,
    /// Type of the value.
    pub kind: &'static str,
    /// Default value. `required` means that there is none, and `empty` means an empty value.
    pub default: &'static str,
    /// Documentation.
    pub doc: &'static str,
}

impl Display for SettingInfo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}; {}): {}", self.key, self.kind, self.default, self.doc.trim())
    }
}

/// One issue of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("{key}: {kind}")]
#[diagnostic(code(config::settings::key))]
pub struct SettingIssue {
    /// Path to the setting.
    pub key: String,
    /// Kind of the issue.
    pub kind: SettingIssueKind,
}

/// Kind of an issue with a setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingIssueKind {
    /// A required setting is missing.
    #[error("is missing")]
    Missing,
    /// The value has the wrong type or cannot be parsed.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// Expected type.
        expected: &'static str,
        /// Value found.
        found: String,
    },
    /// The value fails the check declared with the setting.
    #[error("{0}")]
    CheckFailed(&'static str),
}

/// Why settings could not be loaded.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {}: {error}", path.display())]
    #[diagnostic(code(config::settings::file))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        error: io::Error,
    },
    /// The text is not valid TOML.
    #[error("(document): invalid TOML: {0}")]
    #[diagnostic(code(config::settings::toml))]
    Toml(#[from] toml::de::Error),
    /// Settings are missing or invalid.
    #[error("{}", .0.iter().map(SettingIssue::to_string).collect::<Vec<_>>().join("\n"))]
    #[diagnostic(code(config::settings::invalid))]
    Invalid(#[related] Vec<SettingIssue>),
}

/// Issues found so far. All issues are collected, so that one start of a program reports all of them.
type Issues = Vec<SettingIssue>;

fn record_issue<T>(issues: &mut Issues, key: &str, kind: SettingIssueKind) -> Option<T> {
    issues.push(SettingIssue { key: key.to_owned(), kind });
    None
}

fn look_up<'t>(root: &'t Table, key: &str) -> Option<&'t Value> {
    let mut segments = key.split('.');
    let first = root.get(segments.next()?)?;
    segments.try_fold(first, |value, segment| value.as_table()?.get(segment))
}

/// A predicate for valid values, and the error message for others.
type Check<T> = (fn(&T) -> bool, &'static str);

fn read_setting<K: SettingType>(
    root: &Table, key: &'static str, default: Option<K::Output>, check: Option<Check<K::Output>>,
    issues: &mut Issues,
) -> Option<K::Output> {
    let Some(value) = look_up(root, key) else {
        return default.or_else(|| record_issue(issues, key, SettingIssueKind::Missing));
    };
    let Some(parsed) = K::read(value) else {
        return record_issue(
            issues,
            key,
            SettingIssueKind::WrongType { expected: K::NAME, found: value.to_string() },
        );
    };
    match check {
        Some((is_valid, message)) if !is_valid(&parsed) => {
            record_issue(issues, key, SettingIssueKind::CheckFailed(message))
        }
        _ => Some(parsed),
    }
}

/// Declares settings: `field: Type = default, "key", check => "error message";`, with documentation above each.
///
/// The default is a literal as written in the file, `empty`, or `required` if there is none. A `parts` block at the
/// end embeds further structs that were declared the same way.
macro_rules! declare {
    (
        $(#[$struct_doc:meta])*
        pub struct $name:ident, $infos:ident {
            $($(#[doc = $doc:literal])+ $field:ident: $kind:ty = $default:tt, $key:literal $(, $check:expr => $message:literal)?;)+
            $(parts { $($(#[$part_doc:meta])+ $part:ident: $group:ident;)+ })?
        }
    ) => {
        $(#[$struct_doc])*
        #[derive(Debug, Clone, PartialEq)]
        pub struct $name {
            $($(#[doc = $doc])+ pub $field: <$kind as SettingType>::Output,)+
            $($($(#[$part_doc])+ pub $part: $group,)+)?
        }

        #[doc = concat!("What is declared of [`", stringify!($name), "`].")]
        pub const $infos: &[SettingInfo] = &[$(SettingInfo {
            key: $key,
            kind: <$kind as SettingType>::NAME,
            default: stringify!($default),
            doc: concat!($($doc),+),
        }),+];

        impl $name {
            fn read_from(root: &Table, issues: &mut Issues) -> Option<Self> {
                // All fields are read before the first `?` returns, so that one issue does not hide others.
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
    /// Settings of one process.
    pub struct Settings, SETTINGS {
        /// Name of the machine.
        node_name: Text = required, "node_name", |name| !name.is_empty() => "must not be empty";
        /// Role of the process in the fleet.
        role: Text = empty, "role";
        /// Class of the machine.
        machine_class: Text = empty, "machine_class";
        /// What the process serves: `edge` for client requests, `control` for control calls.
        serves: TextList = required, "serves";
        /// Address at which other machines reach this one.
        ip: Parsed<IpAddr> = required, "ip";
        /// Zone of the machine.
        zone: Text = required, "zone", |zone| !zone.is_empty() => "must not be empty";
        /// Region of the machine.
        region: Text = empty, "region";
        /// First and last port available for traffic between gateways.
        port_range: PortRange = required, "port_range",
            |(first, last)| 0 < *first && first <= last => "the first port must be greater than 0 and not greater than the last one";
        /// Control addresses of up to three machines that are up at the first start.
        seed_list: AddressList = required, "seed_list";
        /// Whether this is the first start of the whole system, with empty disks.
        bootstrap: Flag = false, "bootstrap";
        /// Whether the machine counts toward the tolerated losses and is therefore a voter.
        in_quorum: Flag = false, "in_quorum";
        /// Directory that outlives the process; without one, the process stores nothing.
        data_path: Optional<Parsed<PathBuf>> = empty, "data_path";
        /// How backends are discovered.
        discovery: Text = empty, "discovery";
        /// How clients reach a gateway.
        entry: Text = empty, "entry";
        /// Interval between the heartbeats of a backend.
        beat_interval: Millis = 1000, "beat_interval_ms", |beat| !beat.is_zero() => "must be greater than 0";
        /// Groups of invariants that are in force.
        invariants: TextList = empty, "invariants";
        /// Region of each zone.
        zones: TextTable = empty, "zones";
        /// Address for client requests.
        front: Optional<Parsed<SocketAddr>> = empty, "bind.front";
        /// Address of the readiness endpoint.
        readiness: Optional<Parsed<SocketAddr>> = empty, "bind.readiness";
        /// Address for heartbeats of backends and for control calls of operators.
        control: Optional<Parsed<SocketAddr>> = empty, "bind.control";
        /// Share of a processor available to the process.
        cpu_share: Number = 1.0, "limits.cpu_share", |share| *share > 0.0 => "must be greater than 0";
        /// Number of processors available to the process.
        cpu_count: Integer<u32> = 1, "limits.cpu_count", |count| *count > 0 => "must be at least 1";
        /// Memory available to the process, in MB.
        memory_mb: Integer<u64> = 256, "limits.memory_mb", |memory| *memory > 0 => "must be at least 1";
        /// Maximum number of open file descriptors, including connections.
        max_fds: Integer<u64> = 1024, "limits.max_fds", |fds| *fds > 0 => "must be at least 1";
        /// Bandwidth of the machine's network link, in Mbit/s.
        link_mbps: Number = 1000.0, "limits.link_mbps", |link| *link > 0.0 => "must be greater than 0";
        /// Disk space available, in MB.
        disk_mb: Integer<u64> = 64, "limits.disk_mb";
        /// Number of voting machines that may be lost at the same time.
        machine_losses: Integer<u32> = 0, "tolerance.machine_losses";
        /// Number of zones that may be lost at the same time.
        zone_losses: Integer<u32> = 0, "tolerance.zones";
        /// Number of regions that may be lost at the same time.
        region_losses: Integer<u32> = 0, "tolerance.region_losses";
        parts {
            /// Bounds that the system must keep.
            bounds: Bounds;
            /// Tuning parameters of reachlb.
            tuning: Tuning;
        }
    }
}

declare! {
    /// Bounds that the system must keep, from the `name=value` strings of `bound_table`.
    pub struct Bounds, BOUNDS {
        /// How far the list of gateways used by callers may lag behind.
        seed_lag: Seconds = 3, "bound_table.seed_lag_s";
        /// Time after which the address of a departed backend may be reused by another one.
        reuse_after: Seconds = 2, "bound_table.reuse_after_s";
        /// How long machines must be in contact before they count as connected.
        contact: Millis = 3000, "bound_table.contact_ms";
        /// How long a caller of the control socket waits for an acknowledgement.
        ack: Millis = 5000, "bound_table.ack_ms";
        /// How long a machine that has returned still counts as lost.
        catch_up: Seconds = 4, "bound_table.catch_up_s";
        /// Time from the announcement of a drain until no more requests may be sent to that backend.
        drain: Millis = 2000, "bound_table.drain_ms";
        /// Time from SIGTERM to SIGKILL.
        grace: Seconds = 6, "bound_table.grace_s";
        /// Time tolerance around a loss.
        loss_slack: Millis = 200, "bound_table.loss_slack_ms";
        /// Time within which an acknowledged configuration must be in force.
        apply: Millis = 2000, "bound_table.apply_ms";
        /// How long an older configuration may still be observed after a newer one.
        revert_slack: Millis = 250, "bound_table.revert_slack_ms";
        /// Maximum time by which faults may extend the other bounds.
        stretch_max: Millis = 8000, "bound_table.stretch_max_ms";
        /// Whether a revoked key must never become valid again.
        revoke_final: Flag = false, "bound_table.revoke_final";
        /// Time within which a revoked key must be rejected.
        revoke: Millis = 5000, "bound_table.revoke_ms";
        /// Number of retries allowed per request.
        retry_ratio: Number = 0.2, "bound_table.retry_ratio", |ratio| *ratio >= 0.0 => "must not be negative";
        /// Window over which retries are counted.
        retry_window: Seconds = 10, "bound_table.retry_window_s", |span| !span.is_zero() => "must be greater than 0";
        /// Number of retries allowed in addition to the ratio.
        retry_slack: Number = 0, "bound_table.retry_slack", |slack| *slack >= 0.0 => "must not be negative";
        /// Window over which quotas are counted.
        quota_window: Seconds = 5, "bound_table.quota_window_s", |span| !span.is_zero() => "must be greater than 0";
        /// Fraction by which a quota may be exceeded.
        quota_excess: Number = 0.1, "bound_table.quota_excess", |excess| *excess >= 0.0 => "must not be negative";
        /// Number of requests that may exceed a quota in addition to the fraction.
        quota_slack: Number = 0, "bound_table.quota_slack", |slack| *slack >= 0.0 => "must not be negative";
        /// Time after a fault within which the system must have recovered.
        recovery: Seconds = 15, "bound_table.recovery_s";
    }
}

declare! {
    /// Tuning parameters of reachlb, in the table `reachlb`.
    pub struct Tuning, TUNING {
        /// Interval between heartbeats of the leader and of processes with updates to send.
        heartbeat: Millis = 60, "reachlb.pulse_ms", |heartbeat| !heartbeat.is_zero() => "must be greater than 0";
        /// Lease requests per second that one quota holder serves; above this rate, the leader spreads the counters.
        /// 0 means never.
        max_lease_requests_per_holder: Number = 0.0, "reachlb.draws_a_holder", |draws| *draws >= 0.0 => "must not be negative";
        /// Silence of the leader after which another voter starts an election.
        election: Millis = 320, "reachlb.election_ms", |election| !election.is_zero() => "must be greater than 0";
        /// How long the leader may act on the response of a majority.
        lease: Millis = 230, "reachlb.lease_ms", |lease| !lease.is_zero() => "must be greater than 0";
        /// Whether processes monitor each other in small watch sets; a command line option also enables this.
        failure_detection: Flag = false, "reachlb.watching";
        /// Log level: off, error, warn, info, debug or trace.
        log_level: Text = "info", "reachlb.log_level",
            |level| matches!(&**level, "off" | "error" | "warn" | "info" | "debug" | "trace")
                => "must be off, error, warn, info, debug or trace";
        /// Addresses of machines and backends that are reached at another address, as `own=other`.
        detours: DetourList = empty, "reachlb.ways";
    }
}

impl Tuning {
    /// Checks constraints between several settings.
    fn cross_check(&self, issues: &mut Issues) {
        if self.lease >= self.election {
            // With a longer lease, two leaders could hold the quota counters at the same time.
            let message = "must be less than reachlb.election_ms";
            record_issue::<()>(issues, "reachlb.lease_ms", SettingIssueKind::CheckFailed(message));
        }
        if self.heartbeat >= self.lease {
            // With a longer interval, the lease of a healthy leader would expire between two heartbeats.
            record_issue::<()>(
                issues,
                "reachlb.pulse_ms",
                SettingIssueKind::CheckFailed("must be less than reachlb.lease_ms"),
            );
        }
    }
}

/// All declared settings, in the order for help output.
pub fn declared() -> impl Iterator<Item = &'static SettingInfo> {
    [SETTINGS, BOUNDS, TUNING].into_iter().flatten()
}

impl Settings {
    /// Reads and parses the settings file.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::File { path: path.to_owned(), error })?;
        Self::parse(&text)
    }

    /// Parses the settings, or returns all issues found.
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

/// Converts the `name=value` strings into a table, so that bounds are declared and read like other settings.
///
/// A line-based settings file puts the strings on one line, separated by commas. This form is accepted as well.
fn expand_bound_table(root: &mut Table, issues: &mut Issues) {
    let entries: Vec<Value> = match root.remove(BOUND_TABLE_KEY) {
        None => return,
        Some(Value::Array(entries)) => entries,
        Some(Value::String(line)) => line.split(',').map(|entry| Value::from(entry.trim())).collect(),
        Some(other) => {
            let kind = SettingIssueKind::WrongType {
                expected: "a list of name=value strings",
                found: other.to_string(),
            };
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
                kind: SettingIssueKind::WrongType {
                    expected: "a name=value string",
                    found: entry.to_string(),
                },
            }),
        }
    }
    root.insert(BOUND_TABLE_KEY.to_owned(), Value::Table(bounds));
}

/// Parses the value of a bound: an integer, a float, a boolean, or else a string.
fn parse_scalar(text: &str) -> Value {
    if let Ok(integer) = text.parse::<i64>() {
        return Value::Integer(integer);
    }
    if let Ok(number) = text.parse::<f64>() {
        return Value::Float(number);
    }
    text.parse::<bool>().map_or_else(|_| Value::from(text), Value::Boolean)
}
