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

use crate::kind::{
    Addresses, Figure, Kind, Maybe, Message, Millis, Names, Parsed, Ports, Seconds, Text, Texts, Ways, Whole,
};

/// Name of the list of `name=value` texts.
const BOUND_TABLE: &str = "bound_table";

/// A setting as it was declared, for the help of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Declared {
    /// Its way through the file, such as `limits.memory_mb`.
    pub key: &'static str,
    /// What it takes.
    pub kind: &'static str,
    /// What holds where the file says nothing; `required` and `empty` stand for themselves.
    pub default: &'static str,
    /// What it is for.
    pub doc: &'static str,
}

impl Display for Declared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}; {}): {}", self.key, self.kind, self.default, self.doc.trim())
    }
}

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
#[error("{key}: {wrong}")]
#[diagnostic(code(config::settings::key))]
pub struct KeyFault {
    /// Way to the fault.
    pub key: String,
    /// What is wrong there.
    pub wrong: WrongSetting,
}

/// What is wrong with one setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WrongSetting {
    /// It has to be there and is not.
    #[error("is missing")]
    Missing,
    /// It is of another type, or a text that does not say what it should.
    #[error("wants {want} and has {got}")]
    Kind {
        /// What the setting takes.
        want: &'static str,
        /// What stands there.
        got: String,
    },
    /// It fails the check that was declared with it.
    #[error("{0}")]
    Check(&'static str),
}

/// Why there are no settings.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsFault {
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
    #[error("{}", .0.iter().map(KeyFault::to_string).collect::<Vec<_>>().join("\n"))]
    #[diagnostic(code(config::settings::invalid))]
    Invalid(#[related] Vec<KeyFault>),
}

/// Collects the faults, so that one start of a program shows them all.
type Faults = Vec<KeyFault>;

fn fault<T>(faults: &mut Faults, key: &str, wrong: WrongSetting) -> Option<T> {
    faults.push(KeyFault { key: key.to_owned(), wrong });
    None
}

fn look<'t>(root: &'t Table, key: &str) -> Option<&'t Value> {
    let mut steps = key.split('.');
    let first = root.get(steps.next()?)?;
    steps.try_fold(first, |value, step| value.as_table()?.get(step))
}

/// What a value has to fulfil, and the words to say when it does not.
type Check<T> = (fn(&T) -> bool, &'static str);

fn read_one<K: Kind>(
    root: &Table, key: &'static str, default: Option<K::Out>, check: Option<Check<K::Out>>,
    faults: &mut Faults,
) -> Option<K::Out> {
    let Some(value) = look(root, key) else {
        return default.or_else(|| fault(faults, key, WrongSetting::Missing));
    };
    let Some(found) = K::read(value) else {
        return fault(faults, key, WrongSetting::Kind { want: K::NAME, got: value.to_string() });
    };
    match check {
        Some((holds, words)) if !holds(&found) => fault(faults, key, WrongSetting::Check(words)),
        _ => Some(found),
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
            $($(#[doc = $doc:literal])+ $field:ident: $kind:ty = $default:tt, $key:literal $(, $check:expr => $words:literal)?;)+
            $(parts { $($(#[$part_about:meta])+ $part:ident: $group:ident;)+ })?
        }
    ) => {
        $(#[$about])*
        #[derive(Debug, Clone, PartialEq)]
        pub struct $name {
            $($(#[doc = $doc])+ pub $field: <$kind as Kind>::Out,)+
            $($($(#[$part_about])+ pub $part: $group,)+)?
        }

        #[doc = concat!("What is declared of [`", stringify!($name), "`].")]
        pub const $list: &[Declared] = &[$(Declared {
            key: $key,
            kind: <$kind as Kind>::NAME,
            default: stringify!($default),
            doc: concat!($($doc),+),
        }),+];

        impl $name {
            fn read_from(root: &Table, faults: &mut Faults) -> Option<Self> {
                // Every field is read before the first that failed ends this, so that no fault hides another.
                $(let $field = read_one::<$kind>(
                    root,
                    $key,
                    declare!(@default $default, $kind),
                    declare!(@check $kind $(, $check => $words)?),
                    faults,
                );)+
                $($(let $part = $group::read_from(root, faults);)+)?
                Some(Self { $($field: $field?,)+ $($($part: $part?,)+)? })
            }
        }
    };
    (@default required, $kind:ty) => { None };
    (@default empty, $kind:ty) => { <$kind as Kind>::empty() };
    (@default $default:literal, $kind:ty) => { <$kind as Kind>::read(&Value::from($default)) };
    (@check $kind:ty) => { None };
    (@check $kind:ty, $check:expr => $words:literal) => { Some(($check, $words)) };
}

declare! {
    /// What one process is told.
    pub struct Settings, SETTINGS {
        /// Name of the machine.
        node_name: Text = required, "node_name", |name| !name.is_empty() => "is empty";
        /// Name of what the process does in the fleet.
        role: Text = empty, "role";
        /// Kind of machine.
        machine_class: Text = empty, "machine_class";
        /// What the process serves: `edge` for clients, `control` for callers.
        serves: Texts = required, "serves";
        /// Address under which the other machines reach this one.
        ip: Parsed<IpAddr> = required, "ip";
        /// Zone of the machine.
        zone: Text = required, "zone", |zone| !zone.is_empty() => "is empty";
        /// Region of the machine.
        region: Text = empty, "region";
        /// First and last of the ports that are free for what gateways say to each other.
        port_range: Ports = required, "port_range",
            |(first, last)| 0 < *first && first <= last => "wants a first port above 0 and a last one not below it";
        /// Control addresses of up to three machines that are up at the first start.
        seed_list: Addresses = required, "seed_list";
        /// Whether this is the first start of the whole system, with empty disks.
        bootstrap: Message = false, "bootstrap";
        /// Whether the machine counts for the losses that are tolerated, and so votes.
        in_quorum: Message = false, "in_quorum";
        /// Directory that outlives the process; without it nothing is kept.
        data_path: Maybe<Parsed<PathBuf>> = empty, "data_path";
        /// How backends become known.
        discovery: Text = empty, "discovery";
        /// How clients come to a gateway.
        entry: Text = empty, "entry";
        /// How often a backend beats.
        beat_interval: Millis = 1000, "beat_interval_ms", |beat| !beat.is_zero() => "wants more than 0";
        /// Parts of the rules that are in force.
        invariants: Texts = empty, "invariants";
        /// Region of each zone.
        zones: Names = empty, "zones";
        /// Where clients are served.
        front: Maybe<Parsed<SocketAddr>> = empty, "bind.front";
        /// Where it is told whether the process is ready.
        readiness: Maybe<Parsed<SocketAddr>> = empty, "bind.readiness";
        /// Where beats and the operator's calls arrive.
        control: Maybe<Parsed<SocketAddr>> = empty, "bind.control";
        /// Share of a processor that the process gets.
        cpu_share: Figure = 1.0, "limits.cpu_share", |share| *share > 0.0 => "wants more than 0";
        /// Processors that the process may run on.
        cpu_count: Whole<u32> = 1, "limits.cpu_count", |count| *count > 0 => "wants at least 1";
        /// Memory that the process may take.
        memory_mb: Whole<u64> = 256, "limits.memory_mb", |memory| *memory > 0 => "wants at least 1";
        /// Files and connections that the process may have open.
        max_fds: Whole<u64> = 1024, "limits.max_fds", |fds| *fds > 0 => "wants at least 1";
        /// Megabits a second of the machine's link.
        link_mbps: Figure = 1000.0, "limits.link_mbps", |link| *link > 0.0 => "wants more than 0";
        /// Room on the disk.
        disk_mb: Whole<u64> = 64, "limits.disk_mb";
        /// Voting machines that may be lost at the same time.
        machine_losses: Whole<u32> = 0, "tolerance.machine_losses";
        /// Zones that may be lost at the same time.
        zone_losses: Whole<u32> = 0, "tolerance.zones";
        /// Regions that may be lost at the same time.
        region_losses: Whole<u32> = 0, "tolerance.region_losses";
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
        revoke_final: Message = false, "bound_table.revoke_final";
        /// Time in which a key that was taken away has to be refused.
        revoke: Millis = 5000, "bound_table.revoke_ms";
        /// Further tries that are allowed for each request.
        retry_ratio: Figure = 0.2, "bound_table.retry_ratio", |ratio| *ratio >= 0.0 => "is negative";
        /// Span over which further tries are counted.
        retry_window: Seconds = 10, "bound_table.retry_window_s", |span| !span.is_zero() => "wants more than 0";
        /// Further tries that are allowed on top.
        retry_slack: Figure = 0, "bound_table.retry_slack", |slack| *slack >= 0.0 => "is negative";
        /// Span over which quotas are counted.
        quota_window: Seconds = 5, "bound_table.quota_window_s", |span| !span.is_zero() => "wants more than 0";
        /// Share of a quota by which it may be exceeded.
        quota_excess: Figure = 0.1, "bound_table.quota_excess", |excess| *excess >= 0.0 => "is negative";
        /// Requests that may pass beyond a quota on top.
        quota_slack: Figure = 0, "bound_table.quota_slack", |slack| *slack >= 0.0 => "is negative";
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
        draws_a_holder: Figure = 0.0, "reachlb.draws_a_holder", |draws| *draws >= 0.0 => "wants 0 or more";
        /// Silence of the leader after which another one stands for election.
        election: Millis = 320, "reachlb.election_ms", |election| !election.is_zero() => "wants more than 0";
        /// How long the leader may act on the answer of a majority.
        lease: Millis = 230, "reachlb.lease_ms", |lease| !lease.is_zero() => "wants more than 0";
        /// Whether processes watch each other, in sets of a few; the command line can say so as well.
        watching: Message = false, "reachlb.watching";
        /// Which lines are logged: off, error, warn, info, debug or trace.
        log_level: Text = "info", "reachlb.log_level",
            |level| matches!(&**level, "off" | "error" | "warn" | "info" | "debug" | "trace")
                => "wants off, error, warn, info, debug or trace";
        /// Addresses of machines and backends that are reached under another one, as `own=other`.
        ways: Ways = empty, "reachlb.ways";
    }
}

impl Tuning {
    /// What no setting can check alone.
    fn cross_check(&self, faults: &mut Faults) {
        if self.lease >= self.election {
            // Otherwise two leaders could hold the counts at the same time.
            let words = "has to be below reachlb.election_ms";
            fault::<()>(faults, "reachlb.lease_ms", WrongSetting::Check(words));
        }
        if self.heartbeat >= self.lease {
            // Otherwise the lease would end between two heartbeats of a leader that is well.
            fault::<()>(faults, "reachlb.pulse_ms", WrongSetting::Check("has to be below reachlb.lease_ms"));
        }
    }
}

/// Everything that is declared, in the order in which a help command prints it.
pub fn declared() -> impl Iterator<Item = &'static Declared> {
    [SETTINGS, BOUNDS, TUNING].into_iter().flatten()
}

impl Settings {
    /// Reads the settings file.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsFault> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsFault::File { path: path.to_owned(), error })?;
        Self::parse(&text)
    }

    /// Reads the settings, or says everything that is wrong with them.
    pub fn parse(text: &str) -> Result<Self, SettingsFault> {
        let mut root: Table = text.parse()?;
        let mut faults = Faults::new();
        name_bounds(&mut root, &mut faults);
        let settings = Self::read_from(&root, &mut faults);
        if let Some(settings) = &settings {
            settings.tuning.cross_check(&mut faults);
        }
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(SettingsFault::Invalid(faults)),
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
fn name_bounds(root: &mut Table, faults: &mut Faults) {
    let entries: Vec<Value> = match root.remove(BOUND_TABLE) {
        None => return,
        Some(Value::Array(entries)) => entries,
        Some(Value::String(line)) => line.split(',').map(|entry| Value::from(entry.trim())).collect(),
        Some(other) => {
            let wrong = WrongSetting::Kind { want: "a list of name=value texts", got: other.to_string() };
            return faults.push(KeyFault { key: BOUND_TABLE.to_owned(), wrong });
        }
    };
    let mut bounds = Table::new();
    for (index, entry) in entries.iter().enumerate() {
        match entry.as_str().and_then(|entry| entry.split_once('=')) {
            Some((name, value)) => {
                bounds.insert(name.trim().to_owned(), scalar(value.trim()));
            }
            None => faults.push(KeyFault {
                key: format!("{BOUND_TABLE}[{index}]"),
                wrong: WrongSetting::Kind { want: "a text name=value", got: entry.to_string() },
            }),
        }
    }
    root.insert(BOUND_TABLE.to_owned(), Value::Table(bounds));
}

/// The value of a bound: a whole number, a fraction, true or false, and a text where it is none of them.
fn scalar(text: &str) -> Value {
    if let Ok(whole) = text.parse::<i64>() {
        return Value::Integer(whole);
    }
    if let Ok(figure) = text.parse::<f64>() {
        return Value::Float(figure);
    }
    text.parse::<bool>().map_or_else(|_| Value::from(text), Value::Boolean)
}
