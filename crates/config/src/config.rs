//! The operator's configuration, accepted or rejected as a whole.
//!
//! This module does not decide whether a configuration may replace the current one, because only the Raft log knows
//! the current one.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

use crate::json::{Cursor, Issues, Node};

/// Maximum deadline of a route.
const MAX_DEADLINE_MS: u64 = 600_000;

/// A goal that exceeds the deadline of its route by this much can only be a mistake.
const MAX_GOAL_EXCESS_MS: u64 = 60_000;

/// Version of a configuration, written `r12`. Zero means that there is no configuration yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Version(pub u64);

impl Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// The text is not a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
#[error("a version is written `r` and a number, such as `r12`")]
#[diagnostic(code(config::version))]
pub struct ParseVersionError;

impl FromStr for Version {
    type Err = ParseVersionError;

    /// The `r` is optional, because the base version of the first configuration is written as a bare `0`.
    fn from_str(text: &str) -> Result<Self, ParseVersionError> {
        let digits = text.strip_prefix('r').unwrap_or(text);
        // The parser of the standard library would accept a sign.
        if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ParseVersionError);
        }
        digits.parse().map(Self).map_err(|_| ParseVersionError)
    }
}

/// Kind of an issue in a configuration. Its text is part of an HTTP response.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ConfigIssueKind {
    /// A required field is missing.
    #[error("is missing")]
    Missing,
    /// The value has the wrong type.
    #[error("wants {expected} and has {found}")]
    WrongType {
        /// Expected type.
        expected: &'static str,
        /// Type found.
        found: &'static str,
    },
    /// The number exceeds the range of the field.
    #[error("is too large")]
    TooLarge,
    /// The number is a fraction or negative.
    #[error("wants a whole number from 0 and has {0}")]
    NotInteger(f64),
    /// The number is negative.
    #[error("wants a number from 0 and has {0}")]
    Negative(f64),
    /// The name occurs twice in one table.
    #[error("stands twice in its table")]
    Duplicate,
    /// The text is not a version.
    #[error("{0}")]
    Version(#[from] ParseVersionError),
    /// The variant of a route is unknown.
    #[error("is neither `pure` nor `effectful`")]
    InvalidVariant,
    /// The service of a route does not exist.
    #[error("names a service that is not in `service_table`")]
    UnknownService,
    /// All shares of a route are 0, so no request could be sent.
    #[error("has shares that add up to 0")]
    ZeroTotalShare,
    /// The route has both `target` and `weighted`.
    #[error("has both `target` and `weighted`")]
    TargetAndWeighted,
    /// The deadline is 0.
    #[error("is 0")]
    ZeroDeadline,
    /// The deadline exceeds the maximum.
    #[error("is over ten minutes")]
    DeadlineTooLong,
    /// The goal exceeds the deadline by a minute or more.
    #[error("lies a minute or more over the `deadline_ms` of its route")]
    GoalTooLong,
    /// The host is empty.
    #[error("is empty")]
    EmptyAuthority,
    /// The path prefix does not start and end with a slash, so it would match parts of path segments.
    #[error("does not start and end with a slash")]
    InvalidPathPrefix,
    /// Another route has the same host and prefix, so no request could tell them apart.
    #[error("has the host and the prefix of route `{0}`")]
    DuplicateRoute(Arc<str>),
    /// The key belongs to two tenants. The key itself is a secret and not shown.
    #[error("is a key of tenant `{0}` as well")]
    SharedKey(Arc<str>),
}

/// One issue of a configuration.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
#[error("{path}: {kind}")]
#[diagnostic(code(config::config::line))]
pub struct ConfigIssue {
    /// Path to the issue, such as `route_table.r-x.deadline_ms`.
    pub path: String,
    /// Kind of the issue.
    pub kind: ConfigIssueKind,
}

/// Why a configuration is rejected.
#[derive(Debug, Error, Diagnostic)]
pub enum ConfigError {
    /// The body is not exactly one JSON document: it is truncated, followed by more data, or not JSON.
    #[error("(document): cannot be read whole: {0}")]
    #[diagnostic(code(config::config::unreadable))]
    Unreadable(#[source] serde_json::Error),
    /// The document is JSON but not a valid configuration.
    #[error("{}", IssueList(lines, *omitted))]
    #[diagnostic(code(config::config::invalid))]
    Invalid {
        /// The first issues, in the order of the document's tables.
        #[related]
        lines: Vec<ConfigIssue>,
        /// Number of further issues that are not listed.
        omitted: usize,
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

/// Destination and limits of the requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in the route table.
    pub label: Arc<str>,
    /// Host, as written by the operator.
    pub authority: Arc<str>,
    /// Prefix of the request path; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests are idempotent and may be executed more than once.
    pub pure: bool,
    /// Maximum time for which a request may be held.
    pub deadline: Duration,
    /// Latency goal: response time up to which an answer has its full value for the client.
    pub goal: Duration,
    /// Priority; 0 is the highest and the default.
    pub rank: u32,
    /// Services and their shares of the requests. The sum of the shares is greater than 0.
    pub targets: Vec<(Arc<str>, u32)>,
    /// Maximum number of backends that one client request may be sent to; at least 1.
    pub max_tries: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

/// A service: common properties of a group of backends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name in the service table.
    pub label: Arc<str>,
    /// Path of the backends' health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections to one backend.
    pub max_conns: u32,
    /// Protocol of the backends, such as `h1`.
    pub protocol: Arc<str>,
    /// Whether the backends use TLS.
    pub tls_mode: bool,
}

/// Limits on the size and the duration of client requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_header_bytes: u64,
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Maximum time for a request head to arrive.
    pub header_wait: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

/// A customer with API keys and usually a quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name in the tenant table. Requests to backends carry this name.
    pub label: Arc<str>,
    /// API keys.
    pub api_keys: Vec<Arc<str>>,
    /// Priority that overrides the priority of the route.
    pub rank: Option<u32>,
    /// Quota in requests per second over all gateways; 0 means unlimited.
    pub rate_per_s: f64,
    /// Burst size in requests. If both the rate and the burst size are 0, the tenant is unlimited.
    pub burst_size: f64,
}

/// The routes of one host.
#[derive(Debug, Clone, PartialEq, Default)]
struct Host {
    /// The distinct lengths of the prefixes, longest first. A host has few distinct lengths, even with many routes.
    /// The number of lookups therefore does not grow with the number of slashes in a path.
    prefix_lengths: Vec<usize>,
    index_by_prefix: HashMap<Arc<str>, usize>,
}

/// A validated configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version of the configuration.
    pub version: Version,
    /// Routes, in the order of the document.
    pub routes: Vec<Route>,
    /// Services by label.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits for client requests.
    pub limits: Limits,
    /// Tenants by label; `None` if the document has no `tenant_table`. Requests then need no keys.
    pub tenants: Option<BTreeMap<Arc<str>, Tenant>>,
    digest: [u8; 32],
    hosts: HashMap<Box<str>, Host>,
    keys: HashMap<Arc<str>, Arc<str>>,
}

/// The host in lowercase and without its port.
fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = host.trim();
    let plain = match host.rsplit_once(':') {
        // An IPv6 address contains colons, but none after the closing bracket.
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
    /// Parses and validates a configuration, or returns all issues found.
    pub fn parse(bytes: &[u8]) -> Result<Self, ConfigError> {
        let document: Node = serde_json::from_slice(bytes).map_err(ConfigError::Unreadable)?;
        let mut issues = Issues::default();
        let config = read(&document, &mut issues);
        match config {
            Some(config) if issues.lines.is_empty() => Ok(config),
            _ => Err(ConfigError::Invalid { lines: issues.lines, omitted: issues.omitted }),
        }
    }

    /// Version and digest of a configuration that may be invalid. `None` if the version cannot be read.
    pub fn identify(bytes: &[u8]) -> Option<(Version, [u8; 32])> {
        let document: Node = serde_json::from_slice(bytes).ok()?;
        let mut issues = Issues::default();
        let version =
            Cursor::root(&document).required("generation", &mut issues)?.text(&mut issues)?.parse().ok()?;
        Some((version, document.digest()))
    }

    /// Digest of the operator's document, to detect repeated submissions of a configuration.
    ///
    /// Two documents count as the same configuration if they are the same JSON: the order of table entries,
    /// whitespace and the notation of numbers and escapes do not matter, because a proxy or a client library may
    /// change them between two submissions. Unknown fields count as well, because the operator gets the whole
    /// document back.
    pub fn digest(&self) -> [u8; 32] {
        self.digest
    }

    /// The route of a request: among the routes of the host, the one with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = self.hosts.get(&*normalize_host(host))?;
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let index =
            host.prefix_lengths.iter().find_map(|&length| host.index_by_prefix.get(path.get(..length)?))?;
        self.routes.get(*index)
    }

    /// The tenant that owns a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.tenants.as_ref()?.get(self.keys.get(key)?)
    }

    /// Whether requests need a key unless their route is public.
    pub fn requires_keys(&self) -> bool {
        self.tenants.is_some()
    }
}

fn read(document: &Node, issues: &mut Issues) -> Option<Config> {
    let root = Cursor::root(document);
    root.report_duplicates(issues);
    // Without this check, a list or a string would be reported with four missing fields.
    root.expect_table(issues)?;

    let version = root.required("generation", issues).and_then(|cursor| match cursor.text(issues)?.parse() {
        Ok(version) => Some(version),
        Err(error) => {
            issues.add(&cursor, ConfigIssueKind::Version(error));
            None
        }
    });

    let mut services = BTreeMap::new();
    let service_table = root.required("service_table", issues);
    for (label, cursor) in
        service_table.iter().filter_map(|cursor| cursor.table(issues)).flatten().collect::<Vec<_>>()
    {
        // An invalid service is still inserted, so that its routes are not also reported as naming an unknown service.
        let label: Arc<str> = label.into();
        services.insert(label.clone(), read_service(label, &cursor, issues));
    }

    let mut routes = Vec::new();
    let mut hosts: HashMap<Box<str>, Host> = HashMap::new();
    let route_table = root.required("route_table", issues);
    for (label, cursor) in
        route_table.iter().filter_map(|cursor| cursor.table(issues)).flatten().collect::<Vec<_>>()
    {
        let Some(route) = read_route(label, &cursor, &services, issues) else { continue };
        let host = hosts.entry(normalize_host(&route.authority).into()).or_default();
        match host.index_by_prefix.get(&route.path_prefix) {
            // A duplicate label has already been reported.
            Some(&other) => {
                let other: &Route = &routes[other];
                if other.label != route.label {
                    issues.add(&cursor, ConfigIssueKind::DuplicateRoute(other.label.clone()));
                }
            }
            None => {
                host.index_by_prefix.insert(route.path_prefix.clone(), routes.len());
                host.prefix_lengths.push(route.path_prefix.len());
                routes.push(route);
            }
        }
    }
    for host in hosts.values_mut() {
        host.prefix_lengths.sort_unstable_by(|a, b| b.cmp(a));
        host.prefix_lengths.dedup();
    }

    let limits = root.required("limits", issues).and_then(|cursor| read_limits(&cursor, issues));

    let mut keys = HashMap::new();
    let tenant_table = root.optional("tenant_table");
    let tenants = tenant_table.as_ref().map(|table| {
        let entries: Vec<_> = table.table(issues).into_iter().flatten().collect();
        let tenants =
            entries.iter().filter_map(|(label, cursor)| read_tenant(label, cursor, &mut keys, issues));
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

fn read_service(label: Arc<str>, cursor: &Cursor<'_>, issues: &mut Issues) -> Option<Service> {
    cursor.expect_table(issues)?;
    let health_path =
        cursor.required("health_path", issues).and_then(|cursor| cursor.text(issues).map(Arc::from));
    let max_conns = cursor.required("max_conns", issues).and_then(|cursor| cursor.integer(issues));
    let protocol = cursor.required("protocol", issues).and_then(|cursor| cursor.text(issues).map(Arc::from));
    let tls_mode = cursor.required("tls_mode", issues).and_then(|cursor| cursor.flag(issues));
    Some(Service {
        label,
        health_path: health_path?,
        max_conns: max_conns?,
        protocol: protocol?,
        tls_mode: tls_mode?,
    })
}

fn read_route(
    label: &str, cursor: &Cursor<'_>, services: &BTreeMap<Arc<str>, Option<Service>>, issues: &mut Issues,
) -> Option<Route> {
    cursor.expect_table(issues)?;
    let authority = cursor.required("authority", issues).and_then(|cursor| {
        let authority = cursor.text(issues)?;
        if normalize_host(authority).is_empty() {
            issues.add(&cursor, ConfigIssueKind::EmptyAuthority);
        }
        Some(authority.into())
    });
    let path_prefix = cursor.required("path_prefix", issues).and_then(|cursor| {
        let prefix = cursor.text(issues)?;
        if !(prefix.starts_with('/') && prefix.ends_with('/')) {
            issues.add(&cursor, ConfigIssueKind::InvalidPathPrefix);
        }
        Some(prefix.into())
    });
    let pure = cursor.required("variant", issues).and_then(|cursor| match cursor.text(issues)? {
        "pure" => Some(true),
        "effectful" => Some(false),
        _ => {
            issues.add(&cursor, ConfigIssueKind::InvalidVariant);
            None
        }
    });
    let deadline = cursor.required("deadline_ms", issues).and_then(|cursor| {
        let deadline: u64 = cursor.integer(issues)?;
        match deadline {
            0 => issues.add(&cursor, ConfigIssueKind::ZeroDeadline),
            _ if deadline > MAX_DEADLINE_MS => issues.add(&cursor, ConfigIssueKind::DeadlineTooLong),
            _ => {}
        }
        Some(deadline)
    });
    let goal = cursor.required("goal_ms", issues).and_then(|cursor| {
        let goal: u64 = cursor.integer(issues)?;
        if deadline.is_some_and(|deadline| goal >= deadline.saturating_add(MAX_GOAL_EXCESS_MS)) {
            issues.add(&cursor, ConfigIssueKind::GoalTooLong);
        }
        Some(goal)
    });
    let rank = cursor.optional("rank").map_or(Some(0), |cursor| cursor.integer(issues));
    // The specification allows 0, but the requests of such a route could not be sent to any backend.
    let max_tries = cursor
        .required("max_tries", issues)
        .and_then(|cursor| cursor.integer(issues))
        .map(|tries: u32| tries.max(1));
    let public = cursor.optional("public").map_or(Some(false), |cursor| cursor.flag(issues));
    let targets = read_targets(cursor, services, issues);
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
    cursor: &Cursor<'_>, services: &BTreeMap<Arc<str>, Option<Service>>, issues: &mut Issues,
) -> Option<Vec<(Arc<str>, u32)>> {
    let known_service = |cursor: &Cursor<'_>, issues: &mut Issues| {
        let name = cursor.text(issues)?;
        let found = services.get_key_value(name).map(|(name, _)| name.clone());
        if found.is_none() {
            issues.add(cursor, ConfigIssueKind::UnknownService);
        }
        found
    };
    let Some(weighted) = cursor.optional("weighted") else {
        return cursor
            .required("target", issues)
            .and_then(|cursor| known_service(&cursor, issues))
            .map(|name| vec![(name, 1)]);
    };
    if cursor.optional("target").is_some() {
        issues.add(cursor, ConfigIssueKind::TargetAndWeighted);
    }
    let entries: Vec<_> = weighted.list(issues)?.collect();
    let mut sum = Some(0_u64);
    let mut targets = Some(Vec::with_capacity(entries.len()));
    for entry in &entries {
        let name = entry.required("target", issues).and_then(|cursor| known_service(&cursor, issues));
        let share: Option<u32> = entry.required("share", issues).and_then(|cursor| cursor.integer(issues));
        sum = sum.zip(share).map(|(sum, share)| sum + u64::from(share));
        targets = targets.zip(name.zip(share)).map(|(mut targets, target)| {
            targets.push(target);
            targets
        });
    }
    if sum == Some(0) {
        issues.add(&weighted, ConfigIssueKind::ZeroTotalShare);
    }
    targets
}

fn read_limits(cursor: &Cursor<'_>, issues: &mut Issues) -> Option<Limits> {
    cursor.expect_table(issues)?;
    let mut read_limit =
        |name| cursor.required(name, issues).and_then(|cursor| cursor.integer::<u64>(issues));
    let max_header_bytes = read_limit("max_header_bytes");
    let max_body_bytes = read_limit("max_body_bytes");
    let header_wait = read_limit("header_wait_ms").map(Duration::from_millis);
    let idle_timeout = read_limit("idle_timeout_ms").map(Duration::from_millis);
    Some(Limits {
        max_header_bytes: max_header_bytes?,
        max_body_bytes: max_body_bytes?,
        header_wait: header_wait?,
        idle_timeout: idle_timeout?,
    })
}

fn read_tenant(
    label: &str, cursor: &Cursor<'_>, keys: &mut HashMap<Arc<str>, Arc<str>>, issues: &mut Issues,
) -> Option<Tenant> {
    cursor.expect_table(issues)?;
    let label: Arc<str> = label.into();
    let api_keys = cursor.required("api_keys", issues).and_then(|cursor| {
        let entries: Vec<_> = cursor.list(issues)?.collect();
        let mut own = Vec::with_capacity(entries.len());
        for entry in &entries {
            let Some(key) = entry.text(issues) else { continue };
            let key: Arc<str> = key.into();
            // A tenant may list the same key twice.
            let owner = keys.entry(key.clone()).or_insert_with(|| label.clone());
            if *owner != label {
                issues.add(entry, ConfigIssueKind::SharedKey(owner.clone()));
            }
            own.push(key);
        }
        Some(own)
    });
    let rank = cursor.optional("rank").map(|cursor| cursor.integer(issues));
    let rate_per_s = cursor.optional("rate_per_s").map_or(Some(0.0), |cursor| cursor.number(issues));
    let burst_size = cursor.optional("burst_size").map_or(Some(0.0), |cursor| cursor.number(issues));
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
