//! What a day is drawn from: the figures of a site as ranges, and a day's size and troubles. Both are TOML files;
//! every fault is told with the place in the file, and nothing is started on one.

pub use fault_injection::Span;
use serde::de::{Deserializer, Error as _};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::path::{Path, PathBuf};

/// Files longer than this are refused unread.
const LONGEST_FILE: u64 = 1 << 20;

/// A range of shares, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Shares(pub Span);

impl<'de> Deserialize<'de> for Shares {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let span = Span::deserialize(from)?;
        if span.max > 1.0 {
            return Err(D::Error::custom(format!("a share is at most 1, not {}", span.max)));
        }
        Ok(Self(span))
    }
}

/// A range that reaches from more than nothing upwards: what something is divided by, or how many there are.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Positive(pub Span);

impl<'de> Deserialize<'de> for Positive {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let span = Span::deserialize(from)?;
        if span.min <= 0.0 {
            return Err(D::Error::custom("must be more than 0"));
        }
        Ok(Self(span))
    }
}

/// A number of machines: from 1 to 10,000.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Machines(pub Span);

impl<'de> Deserialize<'de> for Machines {
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
    /// Use inside the quotas, as a share of what the backends can do.
    pub inside: Positive,
    /// The wave over the day, up and down by this share.
    pub swing: Shares,
    /// What is asked beyond quotas, at most so many times what is asked inside.
    pub most_excess: Span,
}

/// Ways between machines, one way, in ms.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Net {
    /// The zones' names.
    pub zones: Vec<String>,
    /// Inside a zone.
    pub same_zone: Span,
    /// Between zones.
    pub cross_zone: Span,
    /// Between clients and gateways.
    pub client: Span,
    /// Each way takes up to this share longer.
    pub jitter: Span,
}

/// How clients wait before they come again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// Not at all.
    None,
    /// The same time each time.
    Fixed,
    /// Twice as long each time.
    Exponential,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Further tries.
    pub retries: Span,
    /// The part of the deadline that one try gets.
    pub patience: Shares,
    /// How they wait.
    pub backoff: Vec<Backoff>,
    /// The first wait, in ms.
    pub backoff_ms: Span,
    /// The share that follows advice.
    pub honour: Shares,
    /// The longest advice followed, in ms.
    pub longest_advice: f64,
    /// The share that leaves early.
    pub impatient: Shares,
    /// The share of repeats that come through another gateway of the set.
    pub elsewhere: Shares,
    /// How long a dead gateway still gets requests, in s.
    pub front_notice_s: Span,
}

/// Who the customers are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customers {
    /// What most use of their rate.
    pub calm_use: Shares,
    /// The share that uses nearly all.
    pub full: Shares,
    /// The share that asks far more for long.
    pub heavy: Shares,
    /// How much more.
    pub heavy_times: Span,
    /// The share that asks far more now and then.
    pub spiky: Shares,
    /// How much more.
    pub spike_times: Span,
    /// For how long, in s.
    pub spike_s: Positive,
    /// How often, in s.
    pub spike_every_s: Positive,
    /// How unevenly requests come in through the set.
    pub skew: Span,
    /// How often that changes, in s.
    pub shift_s: Positive,
}

/// The list of backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// When a stopped process is noticed, in s.
    pub notice_s: Span,
    /// When a silent machine is noticed, in s.
    pub silent_notice_s: Span,
    /// When a new backend is listed, in s.
    pub add_s: Span,
    /// Changes go out this often, in ms.
    pub period_ms: Positive,
    /// And reach each gateway so much later, in ms.
    pub spread_ms: Span,
    /// Lines that can be written a second.
    pub lines_per_s: Positive,
    /// A call that waited this long fails, in ms.
    pub timeout_ms: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counting {
    /// Calls served a second, over all parts.
    pub calls_per_s: Positive,
    /// Parts, among which names are split.
    pub parts: Machines,
    /// What a call takes beside the way and its turn, in ms.
    pub base_ms: Span,
    /// A part's longest line, in time-outs.
    pub line: Span,
    /// Callers give up after this, in ms.
    pub timeout_ms: f64,
    /// A lost counter is back after this, empty, in s.
    pub back_s: Span,
}

/// One kind of backend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Its cores.
    pub cores: u32,
    /// Their speed.
    pub speed: Positive,
    /// How much machines differ: the deviation of a lognormal factor.
    pub speed_spread: Span,
    /// Requests in work at once, a core.
    pub slots_per_core: Machines,
    /// Requests that wait at most, a core.
    pub line_per_core: Machines,
    /// What each request held beyond `thrash_at` costs of the capacity.
    pub thrash: Span,
    /// Requests held a core before that begins.
    pub thrash_at: Span,
    /// The share of its capacity that a backend starts with.
    pub cold_share: Shares,
    /// When it is warm, in s.
    pub cold_s: Positive,
    /// The share of requests that fail.
    pub error_share: Shares,
    /// The chance of a day on which called-off work stops though it runs.
    pub stops_running_work: f64,
    /// Round trips of a new connection.
    pub handshake_rtts: Span,
    /// The backend's work for it, in ms.
    pub handshake_work_ms: Span,
    /// Connections held at most, a core.
    pub connections_per_core: Machines,
    /// The share of the capacity that a full table takes.
    pub full_table_tax: Shares,
    /// A connection not made by then is given up, in ms.
    pub connect_timeout_ms: f64,
    /// An idle connection is closed after this, in s.
    pub idle_s: f64,
    /// How often the load report is refreshed, in ms.
    pub report_period_ms: Positive,
    /// How late it is, in ms.
    pub report_delay_ms: Span,
    /// How noisy it is.
    pub report_noise: Span,
    /// The work of a probe, in ms.
    pub probe_work_ms: Span,
}

/// How the work of requests is spread about its mean.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Exponential.
    Exponential,
    /// Lognormal, with the class's spread.
    Lognormal,
}

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Nothing.
    Safe,
    /// Harm.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share; the classes' shares are scaled to 1.
    pub share: Shares,
    /// The mean work, in ms of a core of speed 1.
    pub work_ms: Positive,
    /// The deviation of the work, as a share of its mean.
    pub spread: Span,
    /// The same for each attempt on top.
    pub attempt_noise: Span,
    /// How it is spread.
    pub shape: Vec<Shape>,
    /// Answers are wanted within this, in ms.
    pub aim_ms: f64,
    /// The client's whole wait, in ms.
    pub deadline_ms: f64,
    /// What an answer is worth.
    pub worth: f64,
    /// Whether it may be repeated.
    pub effect: Effect,
}

/// A plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its part of the load.
    pub share: f64,
    /// Units a second.
    pub rate: Positive,
    /// The burst, in seconds of the rate.
    pub burst_s: Positive,
    /// The factor on worth.
    pub price: f64,
    /// What a request beyond the quota earns of its worth.
    #[serde(default)]
    pub over_worth: f64,
    /// What it costs of its worth.
    #[serde(default)]
    pub over_cost: f64,
    /// The share of the gateways through which a customer's requests come.
    pub set: Shares,
    /// The ceiling, in times rate and burst; absent: none.
    pub ceiling: Option<Positive>,
    /// Attempts out at once, in times what the rate keeps out on idle backends; absent: no such quota.
    pub open: Option<Positive>,
}

/// What gateways have to keep to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// An answer may come so much after its client's deadline, in ms.
    pub answer_slack_ms: f64,
    /// New work may go to a draining backend for so long, in ms.
    pub drain_grace_ms: f64,
    /// What gateways are told of `cold_share`.
    pub told_cold_share: f64,
    /// What gateways are told of `cold_s`.
    pub told_cold_s: f64,
    /// A cold backend falls when sent more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... for so long, in ms.
    pub fall_ms: f64,
    /// What a ceiling may be passed by, as a share of its burst; one unit at least.
    pub ceiling_slack: f64,
    /// And what its rate gives in this time, in ms.
    pub ceiling_grace_ms: f64,
    /// Attempts of one request.
    pub most_attempts: u32,
}

/// What is taken off the result: points for one (of all) of each.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// A crossing of zones for each first try.
    pub cross_zone: f64,
    /// Work wasted, as much as was asked for.
    pub waste: f64,
    /// A probe for each first try.
    pub probe: f64,
    /// All failing only after the aim.
    pub late_fail: f64,
    /// A call to the counter for each first try.
    pub counter: f64,
    /// A new connection for each first try.
    pub handshake: f64,
    /// The share of its worth that a request costs which was answered unsent after half of its time.
    pub held_back: f64,
}

/// How a day's parts are weighed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// The whole day.
    pub whole: f64,
    /// The worst window.
    pub worst_window: f64,
    /// The worst-served plan.
    pub worst_plan: f64,
    /// How long the window is, in s.
    pub window_s: f64,
}

/// A site: the ranges of all figures.
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
    /// The classes.
    pub class: Vec<Class>,
    /// The plans.
    pub plan: Vec<Plan>,
    /// The rules.
    pub rules: Rules,
    /// The prices.
    pub prices: Prices,
    /// The goal.
    pub goal: Goal,
}

/// What goes wrong, or is done to the fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Gateways die and come back with their last list.
    GatewayCrash,
    /// Gateways are restarted in steps over the length, with notice.
    GatewayRoll,
    /// Backends quickly fail a share of their requests.
    FastErrors,
    /// Backends work more slowly.
    Slow,
    /// Backends fall silent and come back cold.
    Silent,
    /// Backends are replaced by new ones in steps over the length.
    Replace,
    /// One to three customers ask far beyond their quotas.
    HotCustomer,
    /// Customers that are seen once.
    OneOffs,
    /// A zone is cut off from the others.
    ZoneCut,
    /// A zone is lost with all in it.
    ZoneLoss,
    /// The counter is down, and comes back empty.
    CounterDown,
    /// Lists come late.
    ListsLate,
    /// Answers of backends get lost, and their connections stay silent.
    AnswersLost,
    /// Connections are reset under requests.
    Resets,
    /// All ask more.
    Burst,
    /// Traffic shifts from one zone's gateways to the others'.
    ZoneShift,
    /// Clients give up early.
    GiveUp,
    /// Clients come again at once, and more often.
    ComeAgain,
}

/// One trouble of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// When, in s; absent: drawn so that it ends within the day.
    pub from_s: Option<Span>,
    /// For how long, in s.
    pub for_s: Span,
    /// The part of the machines it meets.
    #[serde(default = "all")]
    pub part: Shares,
    /// How bad it is: a share of failures, of traffic, or a factor on work.
    #[serde(default = "all_of")]
    pub size: Span,
    /// The chance that it comes at all.
    #[serde(default = "one")]
    pub chance: f64,
}

fn all() -> Shares {
    Shares(all_of())
}

fn all_of() -> Span {
    Span { min: 1.0, max: 1.0 }
}

fn one() -> f64 {
    1.0
}

fn same() -> Positive {
    Positive(all_of())
}

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    #[serde(default)]
    site: Option<PathBuf>,
    gateways: Machines,
    backends: Machines,
    length_s: Positive,
    #[serde(default = "same")]
    pace: Positive,
    #[serde(default = "same")]
    rates: Positive,
    #[serde(default)]
    load: Option<Positive>,
    #[serde(default)]
    connections_per_core: Option<Machines>,
    #[serde(default)]
    calls_per_s: Option<Positive>,
    #[serde(default)]
    call_base_ms: Option<Span>,
    #[serde(default)]
    trouble: Vec<Trouble>,
}

/// A scenario: a site, and a day's size and troubles.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How many gateways.
    pub gateways: Span,
    /// How many backends.
    pub backends: Span,
    /// How long requests come, in s.
    pub length_s: Span,
    /// The factor on work, aims and deadlines.
    pub pace: Span,
    /// The factor on the plans' rates.
    pub rates: Span,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// Gateways tell each other of backends in a group, within so many ms; none: they have no way to.
    pub words_ms: Option<Span>,
    /// The site.
    pub site: Site,
    /// The first 16 hex digits of the checksum over both texts.
    pub digest: String,
}

/// A scenario that cannot be used: one line.
#[derive(Debug, PartialEq, Eq)]
pub struct ScenarioError(String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScenarioError {}

/// The scenarios that come with the program, by name.
pub const SHIPPED: [(&str, &str); 12] = [
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
const SHIPPED_SITE: &str = include_str!("../scenarios/plant.toml");

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
    let fault = |what: &dyn fmt::Display| ScenarioError(format!("{}: {what}", path.display()));
    let length = std::fs::metadata(path).map_err(|e| fault(&e))?.len();
    if length > LONGEST_FILE {
        return Err(fault(&format!("{length} bytes are too many, {LONGEST_FILE} at most")));
    }
    std::fs::read_to_string(path).map_err(|e| fault(&e))
}

impl Scenario {
    /// Reads a shipped scenario by its name, or a file by its path.
    ///
    /// # Errors
    /// One line that names file and place.
    pub fn load(name: &str) -> Result<Self, ScenarioError> {
        if let Some((_, text)) = SHIPPED.iter().find(|(shipped, _)| *shipped == name) {
            return Self::parse(&format!("{name}.toml"), text, Path::new(""));
        }
        let path = Path::new(name);
        if !path.exists() && path.extension().is_none() {
            let known: Vec<_> = SHIPPED.iter().map(|(shipped, _)| *shipped).collect();
            return Err(ScenarioError(format!("{name}: no such scenario; shipped are {}", known.join(", "))));
        }
        Self::parse(name, &read(path)?, path.parent().unwrap_or(Path::new("")))
    }

    /// Reads a scenario from its text. Paths in it start at `folder`.
    ///
    /// # Errors
    /// One line that names file and place.
    pub fn parse(place: &str, text: &str, folder: &Path) -> Result<Self, ScenarioError> {
        let file: File = parse(place, text)?;
        let (site_place, site_text) = match &file.site {
            Some(path) => (folder.join(path).display().to_string(), read(&folder.join(path))?),
            None => ("plant.toml".into(), SHIPPED_SITE.into()),
        };
        let mut site: Site = parse(&site_place, &site_text)?;
        let lacks = |what: &str| Err(ScenarioError(format!("{site_place}: there is no {what}")));
        if site.class.is_empty() {
            return lacks("class");
        }
        if site.plan.is_empty() {
            return lacks("plan");
        }
        if site.net.zones.is_empty() {
            return lacks("zone");
        }
        if site.clients.backoff.is_empty() || site.class.iter().any(|c| c.shape.is_empty()) {
            return lacks("choice of backoff or shape");
        }
        if let Some(load) = file.load {
            site.load.inside = load;
        }
        if let Some(most) = file.connections_per_core {
            site.backend.connections_per_core = most;
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
            words_ms: None,
            site,
            digest,
        })
    }
}
