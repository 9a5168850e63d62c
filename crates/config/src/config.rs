//! The operator's configuration: read whole or not at all.
//!
//! Whether a configuration may follow the one in place is for the caller to say: only the log knows which that is.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

use crate::json::{Cursor, Issues, Node};

/// The longest time an operator may have a request held.
const MAX_DEADLINE_MS: u64 = 600_000;

/// A goal that lies this far over its route's deadline can only be a slip.
const MAX_GOAL_EXCESS_MS: u64 = 60_000;

/// Number of a configuration, written `r12`; zero stands for "none yet".
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Version(pub u64);

impl Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// A text that names no version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
#[error("a version is written `r` and a number, such as `r12`")]
#[diagnostic(code(config::version))]
pub struct ParseVersionError;

impl FromStr for Version {
    type Err = ParseVersionError;

    /// The `r` may be left out, because the base of the first configuration is written as a bare `0`.
    fn from_str(text: &str) -> Result<Self, ParseVersionError> {
        let digits = text.strip_prefix('r').unwrap_or(text);
        // The parser of the standard library would take a sign.
        if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ParseVersionError);
        }
        digits.parse().map(Self).map_err(|_| ParseVersionError)
    }
}

/// What is wrong at one place of a configuration.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ConfigIssueKind {
    /// A field that has to be there is not.
    #[error("is missing")]
    Missing,
    /// A value of another type.
    #[error("wants {expected} and has {found}")]
    Kind {
        /// What the field takes.
        expected: &'static str,
        /// What stands there.
        found: &'static str,
    },
    /// A number above what the field can hold.
    #[error("is too large")]
    TooLarge,
    /// A fraction or a negative number.
    #[error("wants a whole number from 0 and has {0}")]
    NotWhole(f64),
    /// A negative figure.
    #[error("wants a number from 0 and has {0}")]
    Negative(f64),
    /// A name that stands twice in one table.
    #[error("stands twice in its table")]
    Twice,
    /// Not a version.
    #[error("{0}")]
    Version(#[from] ParseVersionError),
    /// Neither of the two variants.
    #[error("is neither `pure` nor `effectful`")]
    Variant,
    /// A route's service is not in the table of services.
    #[error("names a service that is not in `service_table`")]
    UnknownService,
    /// Nothing would ever be sent.
    #[error("has shares that add up to 0")]
    NoShares,
    /// `target` and `weighted` in one route.
    #[error("has both `target` and `weighted`")]
    TwoTargets,
    /// A deadline of zero.
    #[error("is 0")]
    NoDeadline,
    /// A deadline that is too long.
    #[error("is over ten minutes")]
    LongDeadline,
    /// A goal far beyond the deadline.
    #[error("lies a minute or more over the `deadline_ms` of its route")]
    FarGoal,
    /// No host.
    #[error("is empty")]
    NoAuthority,
    /// A prefix that is not a whole part of a path.
    #[error("does not start and end with a slash")]
    Prefix,
    /// Two routes that no request could tell apart.
    #[error("has the host and the prefix of route `{0}`")]
    SameRoute(Arc<str>),
    /// A key that would stand for two tenants. The key itself is a secret and is not shown.
    #[error("is a key of tenant `{0}` as well")]
    SharedKey(Arc<str>),
}

/// One fault of a configuration.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
#[error("{path}: {kind}")]
#[diagnostic(code(config::config::line))]
pub struct ConfigIssue {
    /// Way to the fault, such as `route_table.r-x.deadline_ms`.
    pub path: String,
    /// What is wrong there.
    pub kind: ConfigIssueKind,
}

/// Why a configuration is not taken.
#[derive(Debug, Error, Diagnostic)]
pub enum ConfigError {
    /// The body is not one JSON document: cut short, followed by more, or no JSON at all.
    #[error("(document): cannot be read whole: {0}")]
    #[diagnostic(code(config::config::unreadable))]
    Unreadable(#[source] serde_json::Error),
    /// The document says something that no configuration may say.
    #[error("{}", IssueList(lines, *more))]
    #[diagnostic(code(config::config::invalid))]
    Invalid {
        /// The first faults, in the order of the document's tables.
        #[related]
        lines: Vec<ConfigIssue>,
        /// How many there are beyond those.
        more: usize,
    },
}

struct IssueList<'a>(&'a [ConfigIssue], usize);

impl Display for IssueList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, line) in self.0.iter().enumerate() {
            write!(f, "{}{line}", if index == 0 { "" } else { "\n" })?;
        }
        if self.1 > 0 { write!(f, "\nand {} more", self.1) } else { Ok(()) }
    }
}

/// Where requests of one host and prefix go, and how long they may take.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name in the table.
    pub label: Arc<str>,
    /// Its host, as the operator wrote it.
    pub authority: Arc<str>,
    /// What the path of its requests begins with; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether its requests may run more than once.
    pub pure: bool,
    /// The longest time the operator wants a request held.
    pub deadline: Duration,
    /// The time within which an answer earns its full worth.
    pub goal: Duration,
    /// 0 is the highest, and holds where the operator gives none.
    pub rank: u32,
    /// Services and their shares, which add up to more than 0.
    pub targets: Vec<(Arc<str>, u32)>,
    /// The largest number of backends to which one try of a client may be sent; at least 1.
    pub max_tries: u32,
    /// Whether its requests required no key.
    pub public: bool,
}

/// A service: what its backends have in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name in the table.
    pub label: Arc<str>,
    /// Path that answers whether a backend is well.
    pub health_path: Arc<str>,
    /// The largest number of connections to one backend.
    pub max_conns: u32,
    /// What its backends speak, such as `h1`.
    pub protocol: Arc<str>,
    /// Whether its backends want TLS.
    pub tls_mode: bool,
}

/// What a client may send, and how long it may take over it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request.
    pub max_header_bytes: u64,
    /// Largest body of a request.
    pub max_body_bytes: u64,
    /// How long a head may take to arrive.
    pub header_wait: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A customer with keys and, mostly, a quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name in the table, which backends are told.
    pub label: Arc<str>,
    /// Its keys.
    pub api_keys: Vec<Arc<str>>,
    /// Takes precedence over the rank of a route.
    pub rank: Option<u32>,
    /// Requests a second over all gateways; 0 is without limit.
    pub rate_per_s: f64,
    /// What may come on top at once; 0 is without limit where the rate is 0 as well.
    pub burst_size: f64,
}

/// The routes of one host.
#[derive(Debug, Clone, PartialEq, Default)]
struct Host {
    /// The lengths that its prefixes have, longest first, each once. There are few of them however many routes a host
    /// has, and a path with a thousand slashes costs no more look-ups than one with two.
    lengths: Vec<usize>,
    by_prefix: HashMap<Arc<str>, usize>,
}

/// A configuration that has been checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its number.
    pub version: Version,
    /// Its routes, by label.
    pub routes: Vec<Route>,
    /// Its services, by label.
    pub services: BTreeMap<Arc<str>, Service>,
    /// What clients may do.
    pub limits: Limits,
    /// Its tenants, by label; none where the document has no `tenant_table`, and requests then required no keys.
    pub tenants: Option<BTreeMap<Arc<str>, Tenant>>,
    digest: [u8; 32],
    hosts: HashMap<Box<str>, Host>,
    keys: HashMap<Arc<str>, Arc<str>>,
}

/// The host without its port, in small letters.
fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = host.trim();
    let plain = match host.rsplit_once(':') {
        // An address of IPv6 has colons of its own, but none after its closing bracket.
        Some((name, port)) if !port.ends_with(']') => name,
        _ => host,
    };
    if plain.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(plain.to_ascii_lowercase())
    } else {
        Cow::Borrowed(plain)
    }
}

impl Config {
    /// Reads a configuration, or says everything that is wrong with it.
    pub fn parse(bytes: &[u8]) -> Result<Self, ConfigError> {
        let document: Node = serde_json::from_slice(bytes).map_err(ConfigError::Unreadable)?;
        let mut issues = Issues::default();
        let config = read(&document, &mut issues);
        match config {
            Some(config) if issues.lines.is_empty() => Ok(config),
            _ => Err(ConfigError::Invalid { lines: issues.lines, more: issues.more }),
        }
    }

    /// Version and digest of a configuration, whether it is valid or not. None if there is none to be read.
    pub fn identify(bytes: &[u8]) -> Option<(Version, [u8; 32])> {
        let document: Node = serde_json::from_slice(bytes).ok()?;
        let mut issues = Issues::default();
        let version =
            Cursor::root(&document).required("generation", &mut issues)?.text(&mut issues)?.parse().ok()?;
        Some((version, document.digest()))
    }

    /// Digest of what the operator wrote, to know the repetition of a configuration.
    ///
    /// Two bodies are "that exact configuration" if they are the same JSON: the order of the entries of a table, the
    /// spacing and the spelling of numbers and escapes do not matter, because a proxy or a client's library may change
    /// them between two sendings. Every field counts, also those that are not known here: the operator gets them back.
    pub fn digest(&self) -> [u8; 32] {
        self.digest
    }

    /// The route of a request: of those of the host, the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = self.hosts.get(&*normalize_host(host))?;
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let index = host.lengths.iter().find_map(|&length| host.by_prefix.get(path.get(..length)?))?;
        self.routes.get(*index)
    }

    /// The tenant of a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.tenants.as_ref()?.get(self.keys.get(key)?)
    }

    /// Whether requests of routes that are not public have to carry a key.
    pub fn requires_keys(&self) -> bool {
        self.tenants.is_some()
    }
}

fn read(document: &Node, issues: &mut Issues) -> Option<Config> {
    let root = Cursor::root(document);
    root.report_duplicates(issues);
    // Without this, a list or a text would be said to lack four fields.
    root.expect_table(issues)?;

    let version = root.required("generation", issues).and_then(|at| match at.text(issues)?.parse() {
        Ok(version) => Some(version),
        Err(fault) => {
            issues.add(&at, ConfigIssueKind::Version(fault));
            None
        }
    });

    let mut services = BTreeMap::new();
    let service_table = root.required("service_table", issues);
    for (label, at) in service_table.iter().filter_map(|at| at.table(issues)).flatten().collect::<Vec<_>>() {
        // A service with a fault is there all the same: its routes required no second complaint.
        let label: Arc<str> = label.into();
        services.insert(label.clone(), read_service(label, &at, issues));
    }

    let mut routes = Vec::new();
    let mut hosts: HashMap<Box<str>, Host> = HashMap::new();
    let route_table = root.required("route_table", issues);
    for (label, at) in route_table.iter().filter_map(|at| at.table(issues)).flatten().collect::<Vec<_>>() {
        let Some(route) = read_route(label, &at, &services, issues) else { continue };
        let host = hosts.entry(normalize_host(&route.authority).into()).or_default();
        match host.by_prefix.get(&route.path_prefix) {
            // The same label twice has been found already.
            Some(&other) => {
                let other: &Route = &routes[other];
                if other.label != route.label {
                    issues.add(&at, ConfigIssueKind::SameRoute(other.label.clone()));
                }
            }
            None => {
                host.by_prefix.insert(route.path_prefix.clone(), routes.len());
                host.lengths.push(route.path_prefix.len());
                routes.push(route);
            }
        }
    }
    for host in hosts.values_mut() {
        host.lengths.sort_unstable_by(|a, b| b.cmp(a));
        host.lengths.dedup();
    }

    let limits = root.required("limits", issues).and_then(|at| read_limits(&at, issues));

    let mut keys = HashMap::new();
    let tenant_table = root.optional("tenant_table");
    let tenants = tenant_table.as_ref().map(|table| {
        let entries: Vec<_> = table.table(issues).into_iter().flatten().collect();
        let tenants = entries.iter().filter_map(|(label, at)| read_tenant(label, at, &mut keys, issues));
        tenants.map(|tenant| (tenant.label.clone(), tenant)).collect()
    });

    let services = services.into_iter().filter_map(|(label, service)| Some((label, service?))).collect();
    Some(Config {
        version: version?,
        routes,
        services,
        limits: limits?,
        tenants,
        digest: document.digest(),
        hosts,
        keys,
    })
}

fn read_service(label: Arc<str>, at: &Cursor<'_>, issues: &mut Issues) -> Option<Service> {
    at.expect_table(issues)?;
    let health_path = at.required("health_path", issues).and_then(|at| at.text(issues).map(Arc::from));
    let max_conns = at.required("max_conns", issues).and_then(|at| at.whole(issues));
    let protocol = at.required("protocol", issues).and_then(|at| at.text(issues).map(Arc::from));
    let tls_mode = at.required("tls_mode", issues).and_then(|at| at.flag(issues));
    Some(Service {
        label,
        health_path: health_path?,
        max_conns: max_conns?,
        protocol: protocol?,
        tls_mode: tls_mode?,
    })
}

fn read_route(
    label: &str, at: &Cursor<'_>, services: &BTreeMap<Arc<str>, Option<Service>>, issues: &mut Issues,
) -> Option<Route> {
    at.expect_table(issues)?;
    let authority = at.required("authority", issues).and_then(|at| {
        let authority = at.text(issues)?;
        if normalize_host(authority).is_empty() {
            issues.add(&at, ConfigIssueKind::NoAuthority);
        }
        Some(authority.into())
    });
    let path_prefix = at.required("path_prefix", issues).and_then(|at| {
        let prefix = at.text(issues)?;
        if !(prefix.starts_with('/') && prefix.ends_with('/')) {
            issues.add(&at, ConfigIssueKind::Prefix);
        }
        Some(prefix.into())
    });
    let pure = at.required("variant", issues).and_then(|at| match at.text(issues)? {
        "pure" => Some(true),
        "effectful" => Some(false),
        _ => {
            issues.add(&at, ConfigIssueKind::Variant);
            None
        }
    });
    let deadline = at.required("deadline_ms", issues).and_then(|at| {
        let deadline: u64 = at.whole(issues)?;
        match deadline {
            0 => issues.add(&at, ConfigIssueKind::NoDeadline),
            _ if deadline > MAX_DEADLINE_MS => issues.add(&at, ConfigIssueKind::LongDeadline),
            _ => {}
        }
        Some(deadline)
    });
    let goal = at.required("goal_ms", issues).and_then(|at| {
        let goal: u64 = at.whole(issues)?;
        if deadline.is_some_and(|deadline| goal >= deadline.saturating_add(MAX_GOAL_EXCESS_MS)) {
            issues.add(&at, ConfigIssueKind::FarGoal);
        }
        Some(goal)
    });
    let rank = at.optional("rank").map_or(Some(0), |at| at.whole(issues));
    // The page does not forbid 0, and a route that may be sent nowhere would be no route.
    let max_tries =
        at.required("max_tries", issues).and_then(|at| at.whole(issues)).map(|tries: u32| tries.max(1));
    let public = at.optional("public").map_or(Some(false), |at| at.flag(issues));
    let targets = read_targets(at, services, issues);
    Some(Route {
        label: label.into(),
        authority: authority?,
        path_prefix: path_prefix?,
        pure: pure?,
        deadline: Duration::from_millis(deadline?),
        goal: Duration::from_millis(goal?),
        rank: rank?,
        targets: targets?,
        max_tries: max_tries?,
        public: public?,
    })
}

fn read_targets(
    at: &Cursor<'_>, services: &BTreeMap<Arc<str>, Option<Service>>, issues: &mut Issues,
) -> Option<Vec<(Arc<str>, u32)>> {
    let known = |at: &Cursor<'_>, issues: &mut Issues| {
        let name = at.text(issues)?;
        let found = services.get_key_value(name).map(|(name, _)| name.clone());
        if found.is_none() {
            issues.add(at, ConfigIssueKind::UnknownService);
        }
        found
    };
    let Some(weighted) = at.optional("weighted") else {
        return at.required("target", issues).and_then(|at| known(&at, issues)).map(|name| vec![(name, 1)]);
    };
    if at.optional("target").is_some() {
        issues.add(at, ConfigIssueKind::TwoTargets);
    }
    let entries: Vec<_> = weighted.list(issues)?.collect();
    let mut sum = Some(0_u64);
    let mut targets = Some(Vec::with_capacity(entries.len()));
    for entry in &entries {
        let name = entry.required("target", issues).and_then(|at| known(&at, issues));
        let share: Option<u32> = entry.required("share", issues).and_then(|at| at.whole(issues));
        sum = sum.zip(share).map(|(sum, share)| sum + u64::from(share));
        targets = targets.zip(name.zip(share)).map(|(mut targets, target)| {
            targets.push(target);
            targets
        });
    }
    if sum == Some(0) {
        issues.add(&weighted, ConfigIssueKind::NoShares);
    }
    targets
}

fn read_limits(at: &Cursor<'_>, issues: &mut Issues) -> Option<Limits> {
    at.expect_table(issues)?;
    let mut figure = |name| at.required(name, issues).and_then(|at| at.whole::<u64>(issues));
    let max_header_bytes = figure("max_header_bytes");
    let max_body_bytes = figure("max_body_bytes");
    let header_wait = figure("header_wait_ms").map(Duration::from_millis);
    let idle_timeout = figure("idle_timeout_ms").map(Duration::from_millis);
    Some(Limits {
        max_header_bytes: max_header_bytes?,
        max_body_bytes: max_body_bytes?,
        header_wait: header_wait?,
        idle_timeout: idle_timeout?,
    })
}

fn read_tenant(
    label: &str, at: &Cursor<'_>, keys: &mut HashMap<Arc<str>, Arc<str>>, issues: &mut Issues,
) -> Option<Tenant> {
    at.expect_table(issues)?;
    let label: Arc<str> = label.into();
    let api_keys = at.required("api_keys", issues).and_then(|at| {
        let entries: Vec<_> = at.list(issues)?.collect();
        let mut own = Vec::with_capacity(entries.len());
        for entry in &entries {
            let Some(key) = entry.text(issues) else { continue };
            let key: Arc<str> = key.into();
            // A key that one tenant lists twice still stands for one tenant.
            let owner = keys.entry(key.clone()).or_insert_with(|| label.clone());
            if *owner != label {
                issues.add(entry, ConfigIssueKind::SharedKey(owner.clone()));
            }
            own.push(key);
        }
        Some(own)
    });
    let rank = at.optional("rank").map(|at| at.whole(issues));
    let rate_per_s = at.optional("rate_per_s").map_or(Some(0.0), |at| at.figure(issues));
    let burst_size = at.optional("burst_size").map_or(Some(0.0), |at| at.figure(issues));
    Some(Tenant {
        label,
        api_keys: api_keys?,
        rank: match rank {
            Some(rank) => Some(rank?),
            None => None,
        },
        rate_per_s: rate_per_s?,
        burst_size: burst_size?,
    })
}
