//! Scenarios: the parameters of a site as ranges, and the size and troubles of a day. Both are TOML files. Every
//! error names the position in the file, and an invalid file starts nothing.
//!
//! Terms: a site is the environment of the fleet (network, clients, backends, counter, plans, rules and prices). A
//! trouble is a fault at a scheduled time. A plan is a customer's tariff: a quota as a token bucket of units (one per
//! request), and optionally a ceiling that no customer may exceed. [`crate`] defines try, attempt, worth and cold.

pub use fault_injection::Span;
use serde::de::{Deserializer, Error as _};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::path::{Path, PathBuf};

/// Larger files are rejected without being read, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// A range of shares, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ShareRange(pub Span);

impl<'de> Deserialize<'de> for ShareRange {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let span = Span::deserialize(from)?;
        if span.max > 1.0 {
            return Err(D::Error::custom(format!("a share is at most 1, not {}", span.max)));
        }
        Ok(Self(span))
    }
}

/// A range of positive numbers, such as divisors and counts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PositiveRange(pub Span);

impl<'de> Deserialize<'de> for PositiveRange {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let span = Span::deserialize(from)?;
        if span.min <= 0.0 {
            return Err(D::Error::custom("must be more than 0"));
        }
        Ok(Self(span))
    }
}

/// A number of machines, from 1 to 10,000.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct MachineCount(pub Span);

impl<'de> Deserialize<'de> for MachineCount {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let span = Span::deserialize(from)?;
        if span.min < 1.0 || span.max > 10_000.0 {
            return Err(D::Error::custom("there must be 1 to 10,000 of them"));
        }
        Ok(Self(span))
    }
}

/// The load on the backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Demand within the quotas, as a share of the backends' capacity.
    pub inside: PositiveRange,
    /// The amplitude of the load's daily wave, as a share of the load.
    pub swing: ShareRange,
    /// The maximum demand beyond the quotas, as a multiple of the demand within them.
    pub most_excess: Span,
}

/// Network latencies, one way, in ms.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Net {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// Latency within a zone.
    pub same_zone: Span,
    /// Latency between zones.
    pub cross_zone: Span,
    /// Latency between clients and gateways.
    pub client: Span,
    /// Each latency is increased by a random share of up to this value.
    pub jitter: Span,
}

/// The backoff of clients between tries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// No delay.
    None,
    /// The same delay before each retry.
    Fixed,
    /// Twice the delay with each retry.
    Exponential,
}

/// The behaviour of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// The maximum number of retries.
    pub retries: Span,
    /// The share of the deadline that a client waits for one try.
    pub patience: ShareRange,
    /// The possible kinds of backoff.
    pub backoff: Vec<Backoff>,
    /// The first backoff delay, in ms.
    pub backoff_ms: Span,
    /// The share of retries that follow the gateway's retry advice.
    pub honour: ShareRange,
    /// The maximum advised delay that clients follow, in ms.
    pub longest_advice: f64,
    /// The share of tries whose client leaves early.
    pub impatient: ShareRange,
    /// The share of retries that go to another gateway of the customer's set.
    pub elsewhere: ShareRange,
    /// How long a dead gateway still receives requests from the front, in s.
    pub front_notice_s: Span,
}

/// The customers' demand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customers {
    /// The share of its rate that a calm customer uses.
    pub calm_use: ShareRange,
    /// The share of customers that use nearly their whole rate.
    pub full: ShareRange,
    /// The share of customers that exceed their rate by far for long periods.
    pub heavy: ShareRange,
    /// The demand of a heavy customer, as a multiple of its rate.
    pub heavy_times: Span,
    /// The share of customers that exceed their rate by far in short spikes.
    pub spiky: ShareRange,
    /// The demand of a spike, as a multiple of the rate.
    pub spike_times: Span,
    /// The duration of a spike, in s.
    pub spike_s: PositiveRange,
    /// The interval between spikes, in s.
    pub spike_every_s: PositiveRange,
    /// How unevenly a customer's requests are distributed over its gateways.
    pub skew: Span,
    /// Interval at which the distribution changes, in s.
    pub shift_s: PositiveRange,
}

/// The backend discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Delay until discovery notices that a process has stopped, in s.
    pub notice_s: Span,
    /// Delay until discovery notices that a machine does not respond, in s.
    pub silent_notice_s: Span,
    /// Delay until discovery lists a new backend, in s.
    pub add_s: Span,
    /// Interval at which changes are published, in ms.
    pub period_ms: PositiveRange,
    /// Additional delay of a change on the way to each gateway, in ms.
    pub spread_ms: Span,
    /// Lines of full lists that discovery can write per second.
    pub lines_per_s: PositiveRange,
    /// A request for the full list fails if it would take longer than this, in ms.
    pub timeout_ms: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counting {
    /// Calls served per second, over all partitions.
    pub calls_per_s: PositiveRange,
    /// The number of partitions over which counter names are distributed.
    pub parts: MachineCount,
    /// The processing time of a call besides latency and queueing, in ms.
    pub base_ms: Span,
    /// The maximum queueing time at a partition, as a multiple of the timeout.
    pub line: Span,
    /// The timeout of callers, in ms.
    pub timeout_ms: f64,
    /// Time until the counter is available again after a failure, which loses all its values, in s.
    pub back_s: Span,
}

/// The properties of a backend machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// The number of cores.
    pub cores: u32,
    /// The mean speed of a core.
    pub speed: PositiveRange,
    /// The spread of the speed among machines: the deviation of a lognormal factor.
    pub speed_spread: Span,
    /// The maximum number of running requests per core.
    pub slots_per_core: MachineCount,
    /// The maximum number of queued requests per core.
    pub line_per_core: MachineCount,
    /// The share of the capacity lost per request held above `thrash_at`.
    pub thrash: Span,
    /// The number of held requests per core up to which the capacity is not reduced.
    pub thrash_at: Span,
    /// The share of its capacity with which a backend starts.
    pub cold_share: ShareRange,
    /// The duration of the warm-up, in s.
    pub cold_s: PositiveRange,
    /// The share of requests that fail.
    pub error_share: ShareRange,
    /// The probability that, on a given day, a cancellation also stops work that is already running.
    pub stops_running_work: f64,
    /// The round trips of a new connection.
    pub handshake_rtts: Span,
    /// The backend's work for a new connection, in ms.
    pub handshake_work_ms: Span,
    /// The maximum number of connections per core.
    pub connections_per_core: MachineCount,
    /// The share of the capacity that a full connection table costs.
    pub full_table_tax: ShareRange,
    /// The connect timeout, in ms.
    pub connect_timeout_ms: f64,
    /// The idle timeout of connections, in s.
    pub idle_s: f64,
    /// How often the load report is refreshed, in ms.
    pub report_period_ms: PositiveRange,
    /// The delay of the load report, in ms.
    pub report_delay_ms: Span,
    /// The relative noise of the load report.
    pub report_noise: Span,
    /// The work of a probe, in ms.
    pub probe_work_ms: Span,
}

/// The distribution of the work of requests around its mean.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Exponential.
    Exponential,
    /// Lognormal, with the spread of the class.
    Lognormal,
}

/// The effect of running a request twice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The request is idempotent.
    Safe,
    /// Running the request twice does harm.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// The share of requests in this class; the shares are normalized to a sum of 1.
    pub share: ShareRange,
    /// The mean work, in ms on a core of speed 1.
    pub work_ms: PositiveRange,
    /// The standard deviation of the work, as a share of its mean.
    pub spread: Span,
    /// The additional spread of the work among attempts of one request.
    pub attempt_noise: Span,
    /// The possible distributions of the work.
    pub shape: Vec<Shape>,
    /// The target latency, in ms: only answers within this time earn their worth.
    pub aim_ms: f64,
    /// The deadline of the client's request, in ms.
    pub deadline_ms: f64,
    /// The worth of an answer.
    pub worth: f64,
    /// Whether requests of the class may be repeated.
    pub effect: Effect,
}

/// A plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The name of the plan.
    pub name: String,
    /// The plan's share of the load.
    pub share: f64,
    /// Units per second.
    pub rate: PositiveRange,
    /// The burst, in seconds of the rate.
    pub burst_s: PositiveRange,
    /// The factor on the worth of answers.
    pub price: f64,
    /// The share of its worth that a request beyond the quota earns.
    #[serde(default)]
    pub over_worth: f64,
    /// The share of its worth that a request beyond the quota costs.
    #[serde(default)]
    pub over_cost: f64,
    /// The share of the gateways that receive a customer's requests.
    pub set: ShareRange,
    /// The ceiling, as a multiple of rate and burst; no ceiling if absent.
    pub ceiling: Option<PositiveRange>,
    /// The limit of open attempts, as a multiple of the number that the rate keeps open on idle backends; no limit
    /// if absent.
    pub open: Option<PositiveRange>,
}

/// The rules that gateways must follow.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// How long after the client's deadline an answer is still accepted, in ms.
    pub answer_slack_ms: f64,
    /// How long new work may still go to a draining backend, in ms.
    pub drain_grace_ms: f64,
    /// The value of `cold_share` in the gateways' settings.
    pub told_cold_share: f64,
    /// The value of `cold_s` in the gateways' settings.
    pub told_cold_s: f64,
    /// A cold backend fails if it receives more than this multiple of its capacity within `fall_ms`.
    pub fall_multiple: f64,
    /// The window for `fall_multiple`, in ms.
    pub fall_ms: f64,
    /// The tolerance of a ceiling, as a share of its burst and at least one unit.
    pub ceiling_slack: f64,
    /// Additional tolerance of a ceiling: the units of its rate in this time, in ms.
    pub ceiling_grace_ms: f64,
    /// The maximum number of attempts per request.
    pub most_attempts: u32,
}

/// Prices that are subtracted from the result, in points of G, where 1 is the worth of the whole day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// The price of one cross-zone attempt per first try.
    pub cross_zone: f64,
    /// The price of wasted work equal to the work of all first tries.
    pub waste: f64,
    /// The price of one probe per first try.
    pub probe: f64,
    /// The price if every request fails only after its target latency.
    pub late_fail: f64,
    /// The price of one counter call per first try.
    pub counter: f64,
    /// The price of one new connection per first try.
    pub handshake: f64,
    /// The share of its worth that a try costs when the gateway ends the try without an attempt, after more than half
    /// of the time that the client waits.
    pub held_back: f64,
}

/// The weights of the parts of the result.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// The weight of the whole day.
    pub whole: f64,
    /// The weight of the worst window.
    pub worst_window: f64,
    /// The weight of the plan with the lowest share earned.
    pub worst_plan: f64,
    /// The length of the window, in s.
    pub window_s: f64,
}

/// A site: the ranges of all parameters.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The load.
    pub load: Load,
    /// The network.
    pub net: Net,
    /// The clients.
    pub clients: Clients,
    /// The customers.
    pub customers: Customers,
    /// Discovery.
    pub discovery: Discovery,
    /// The counter.
    pub counter: Counting,
    /// The backends.
    pub backend: Machine,
    /// The request classes.
    pub class: Vec<Class>,
    /// The plans.
    pub plan: Vec<Plan>,
    /// The rules.
    pub rules: Rules,
    /// The prices.
    pub prices: Prices,
    /// The weights of the result.
    pub goal: Goal,
}

/// The kinds of trouble.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Gateways die and return with their last backend list.
    GatewayCrash,
    /// Gateways are restarted one group after another over the duration, with notice.
    GatewayRoll,
    /// Backends fail a share of their requests at once.
    FastErrors,
    /// Backends work more slowly.
    Slow,
    /// Backends stop responding and return cold.
    Silent,
    /// Backends are replaced by new ones, one group after another over the duration.
    Replace,
    /// One to three customers exceed their quotas by far.
    HotCustomer,
    /// New customers send a single request each.
    OneOffs,
    /// A partition separates a zone from the others.
    ZoneCut,
    /// A zone fails with all its machines.
    ZoneLoss,
    /// The counter fails and returns without its values.
    CounterDown,
    /// Changes of the backend list are delayed.
    ListsLate,
    /// Answers of backends are lost, and their connections stay silent.
    AnswersLost,
    /// Connections are reset while they carry requests.
    Resets,
    /// All customers request more.
    Burst,
    /// Traffic moves from the gateways of one zone to the others.
    ZoneShift,
    /// Clients give up early.
    GiveUp,
    /// Clients retry without delay and more often.
    ComeAgain,
}

/// One trouble of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// The kind of the trouble.
    pub kind: Kind,
    /// When the trouble begins, in s; if absent, a random time at which the trouble still ends within the day.
    pub from_s: Option<Span>,
    /// The duration, in s.
    pub for_s: Span,
    /// The share of the machines that are affected.
    #[serde(default = "full_share")]
    pub part: ShareRange,
    /// The severity: a share of failures or of traffic, or a factor on work.
    #[serde(default = "range_of_one")]
    pub size: Span,
    /// The probability that the trouble occurs.
    #[serde(default = "probability_one")]
    pub chance: f64,
}

fn full_share() -> ShareRange {
    ShareRange(range_of_one())
}

fn range_of_one() -> Span {
    Span { min: 1.0, max: 1.0 }
}

fn probability_one() -> f64 {
    1.0
}

fn factor_one() -> PositiveRange {
    PositiveRange(range_of_one())
}

/// The contents of a scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ScenarioFile {
    name: String,
    #[serde(default)]
    site: Option<PathBuf>,
    gateways: MachineCount,
    backends: MachineCount,
    length_s: PositiveRange,
    #[serde(default = "factor_one")]
    pace: PositiveRange,
    #[serde(default = "factor_one")]
    rates: PositiveRange,
    #[serde(default)]
    load: Option<PositiveRange>,
    #[serde(default)]
    connections_per_core: Option<MachineCount>,
    #[serde(default)]
    calls_per_s: Option<PositiveRange>,
    #[serde(default)]
    call_base_ms: Option<Span>,
    #[serde(default)]
    trouble: Vec<Trouble>,
}

/// A scenario: a site, and the size and troubles of a day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The scenario's name.
    pub name: String,
    /// The number of gateways.
    pub gateways: Span,
    /// The number of backends.
    pub backends: Span,
    /// The time over which clients send first tries, in s.
    pub length_s: Span,
    /// The factor on work, target latencies and deadlines.
    pub pace: Span,
    /// The factor on the rates of plans.
    pub rates: Span,
    /// The possible troubles.
    pub troubles: Vec<Trouble>,
    /// The delay of health reports between gateways of a group, in ms; `None` if gateways exchange no reports.
    pub peer_report_ms: Option<Span>,
    /// The site.
    pub site: Site,
    /// The first 16 hex digits of the SHA-256 sum over the texts of scenario and site.
    pub digest: String,
}

/// An invalid scenario, described in one line.
#[derive(Debug, PartialEq, Eq)]
pub struct ScenarioError(String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScenarioError {}

/// The built-in scenarios by name.
pub const BUILT_IN: [(&str, &str); 12] = [
    ("calm", include_str!("../scenarios/calm.toml")),
    ("roll", include_str!("../scenarios/roll.toml")),
    ("herd", include_str!("../scenarios/herd.toml")),
    ("zone", include_str!("../scenarios/zone.toml")),
    ("split", include_str!("../scenarios/split.toml")),
    ("join", include_str!("../scenarios/join.toml")),
    ("small-quiet", include_str!("../scenarios/small-quiet.toml")),
    ("small-rough", include_str!("../scenarios/small-rough.toml")),
    ("small-crowd", include_str!("../scenarios/small-crowd.toml")),
    ("small-zone", include_str!("../scenarios/small-zone.toml")),
    ("speed-30", include_str!("../scenarios/speed-30.toml")),
    ("speed-300", include_str!("../scenarios/speed-300.toml")),
];
const BUILT_IN_SITE: &str = include_str!("../scenarios/plant.toml");

fn parse<T: for<'de> Deserialize<'de>>(place: &str, text: &str) -> Result<T, ScenarioError> {
    toml::from_str(text).map_err(|error| {
        let at = error.span().map_or(0, |span| span.start).min(text.len());
        let line = text[..at].matches('\n').count() + 1;
        let column = at - text[..at].rfind('\n').map_or(0, |end| end + 1) + 1;
        let message = error.message().replace('\n', "; ");
        ScenarioError(format!("{place}:{line}:{column}: {message}"))
    })
}

fn read(path: &Path) -> Result<String, ScenarioError> {
    let to_error = |what: &dyn fmt::Display| ScenarioError(format!("{}: {what}", path.display()));
    let length = std::fs::metadata(path).map_err(|e| to_error(&e))?.len();
    if length > MAX_FILE_BYTES {
        return Err(to_error(&format!("{length} bytes are too many, the limit is {MAX_FILE_BYTES}")));
    }
    std::fs::read_to_string(path).map_err(|e| to_error(&e))
}

impl Scenario {
    /// Reads a built-in scenario by its name, or a file by its path.
    ///
    /// # Errors
    /// Returns one line that names the file and the position.
    pub fn load(name: &str) -> Result<Self, ScenarioError> {
        if let Some((_, text)) = BUILT_IN.iter().find(|(shipped, _)| *shipped == name) {
            return Self::parse(&format!("{name}.toml"), text, Path::new(""));
        }
        let path = Path::new(name);
        if !path.exists() && path.extension().is_none() {
            let known: Vec<_> = BUILT_IN.iter().map(|(shipped, _)| *shipped).collect();
            return Err(ScenarioError(format!(
                "{name}: no such scenario; built-in scenarios are {}",
                known.join(", ")
            )));
        }
        Self::parse(name, &read(path)?, path.parent().unwrap_or(Path::new("")))
    }

    /// Parses a scenario. Paths in the text are relative to `folder`.
    ///
    /// # Errors
    /// Returns one line that names the file and the position.
    pub fn parse(place: &str, text: &str, folder: &Path) -> Result<Self, ScenarioError> {
        let file: ScenarioFile = parse(place, text)?;
        let (site_place, site_text) = match &file.site {
            Some(path) => (folder.join(path).display().to_string(), read(&folder.join(path))?),
            None => ("plant.toml".into(), BUILT_IN_SITE.into()),
        };
        let mut site: Site = parse(&site_place, &site_text)?;
        let missing = |what: &str| Err(ScenarioError(format!("{site_place}: a {what} is missing")));
        if site.class.is_empty() {
            return missing("class");
        }
        if site.plan.is_empty() {
            return missing("plan");
        }
        if site.net.zones.is_empty() {
            return missing("zone");
        }
        if site.clients.backoff.is_empty() || site.class.iter().any(|c| c.shape.is_empty()) {
            return missing("choice of backoff or shape");
        }
        if let Some(load) = file.load {
            site.load.inside = load;
        }
        if let Some(connections) = file.connections_per_core {
            site.backend.connections_per_core = connections;
        }
        if let Some(calls) = file.calls_per_s {
            site.counter.calls_per_s = calls;
        }
        if let Some(base) = file.call_base_ms {
            site.counter.base_ms = base;
        }
        let sum = Sha256::new().chain_update(text).chain_update([0]).chain_update(&site_text).finalize();
        let digest = sum[..8].iter().map(|byte| format!("{byte:02x}")).collect();
        Ok(Self {
            name: file.name,
            gateways: file.gateways.0,
            backends: file.backends.0,
            length_s: file.length_s.0,
            pace: file.pace.0,
            rates: file.rates.0,
            troubles: file.trouble,
            peer_report_ms: None,
            site,
            digest,
        })
    }
}
