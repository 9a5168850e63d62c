//! The configuration of a gateway: environment variables and the file that `NODE_CONFIG` names.

use crate::backends::list::{List, ListError};
use crate::group::settings as group;
use crate::time::clock::to_duration;
use doorcourse::Settings;
use doorcourse_simhost::settings::{self, Object};
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Defaults for times that the settings do not contain.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_BACKEND_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Default for `limits.sockets`.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Default grace period: the minimum time between SIGTERM and SIGKILL that the operating protocol guarantees.
const DEFAULT_GRACE_PERIOD: Duration = Duration::from_millis(3700);
const MAX_GRACE_MS: f64 = 3_600_000.0;

/// An invalid configuration.
#[derive(Debug)]
pub enum ConfigError {
    /// `NODE_CONFIG` is not set.
    NoFile,
    /// The file cannot be read.
    Unreadable(std::io::Error),
    /// The file is not a JSON object of the expected form.
    Malformed(serde_json::Error),
    /// An address is missing or invalid.
    Address(&'static str),
    /// The seed is not a number of up to 16 hex digits.
    Seed,
    /// The grace period is not a number of ms above 0 and up to the maximum.
    Grace,
    /// The list of known backends is invalid.
    BackendList(ListError),
    /// The settings of the gateway or of its group are invalid.
    Settings(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFile => write!(f, "NODE_CONFIG is not set"),
            Self::Unreadable(error) => write!(f, "NODE_CONFIG cannot be read: {error}"),
            Self::Malformed(error) => write!(f, "NODE_CONFIG is malformed: {error}"),
            Self::Address(which) => write!(f, "{which}: address missing or invalid"),
            Self::Seed => write!(f, "seed is not a hexadecimal number"),
            Self::Grace => write!(f, "limits: grace_ms is not a number above 0 and up to {MAX_GRACE_MS}"),
            Self::BackendList(error) => write!(f, "known: {error}"),
            Self::Settings(what) => write!(f, "{what}"),
        }
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    counter: Option<String>,
    console: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    group: Option<Value>,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
    grace_ms: Option<Value>,
}

/// The configuration of a gateway.
#[derive(Debug)]
pub struct Config {
    /// The name of the gateway, for logs and file names.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the shared counter, if any.
    pub counter: Option<SocketAddr>,
    /// Listen address of the operators' console, if any.
    pub console: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// The time between the shutdown signal and the earliest kill of the process.
    pub grace_period: Duration,
    /// The list of backends that this gateway knew last.
    pub known: List,
    /// Timeout for connecting to a backend.
    pub connect_timeout: Duration,
    /// Idle timeout after which backends close connections.
    pub backend_idle_timeout: Duration,
    /// Settings of the decision engine.
    pub settings: Settings,
    /// Settings of the gateway's group membership, if any.
    pub group: Option<group::Settings>,
}

impl Config {
    /// Reads the configuration from the environment and the file that the environment names.
    ///
    /// # Errors
    /// When a variable or the file is invalid.
    pub fn from_environment() -> Result<Self, ConfigError> {
        Self::parse(&Self::read_file()?, |key| std::env::var(key).ok())
    }

    /// Reads the file again after its replacement. The discovery address in the file takes precedence over
    /// the environment, which was set at the start of the process.
    ///
    /// # Errors
    /// When the file is invalid.
    pub fn reload() -> Result<Self, ConfigError> {
        Self::parse(&Self::read_file()?, |key| std::env::var(key).ok().filter(|_| key != "NODE_DISCOVERY"))
    }

    fn read_file() -> Result<String, ConfigError> {
        let path = std::env::var_os("NODE_CONFIG").ok_or(ConfigError::NoFile)?;
        std::fs::read_to_string(path).map_err(ConfigError::Unreadable)
    }

    /// Parses the text of a file. Environment variables take precedence.
    fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let address = |text: Option<String>, which| {
            text.and_then(|t| t.parse::<SocketAddr>().ok()).ok_or(ConfigError::Address(which))
        };
        let settings = settings::read(&file.settings).map_err(ConfigError::Settings)?;
        let permissions = Object::of(&file.settings, "permissions").map_err(ConfigError::Settings)?;
        let time = |key, default| match permissions.number(key).map_err(ConfigError::Settings)? {
            ms if ms > 0.0 => Ok(to_duration(ms)),
            _ => Ok(default),
        };
        let known = match &file.known {
            Value::Null => List { seq: 0, whole: true, hosts: Vec::new() },
            value => List::from_value(value).map_err(ConfigError::BackendList)?,
        };
        let grace_period = match file.limits.grace_ms {
            None => DEFAULT_GRACE_PERIOD,
            Some(value) => {
                let ms = value.as_f64().filter(|ms| *ms > 0.0 && *ms <= MAX_GRACE_MS);
                to_duration(ms.ok_or(ConfigError::Grace)?)
            }
        };
        let counter = settings.counter.then(|| address(file.counter, "counter")).transpose()?;
        let console = variable("NODE_CONSOLE").or(file.console);
        let console = console.map(|text| address(Some(text), "NODE_CONSOLE")).transpose()?;
        let name = variable("NODE_NAME").unwrap_or(file.name);
        let group = file.group.map(|value| group::read(&value, &name, &settings.zone));
        let group = group.transpose().map_err(ConfigError::Settings)?;
        Ok(Self {
            name,
            listen: address(variable("NODE_LISTEN").or(file.listen), "NODE_LISTEN")?,
            discovery: address(variable("NODE_DISCOVERY").or(file.discovery), "NODE_DISCOVERY")?,
            counter,
            console,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed)?,
            max_descriptors: file.limits.sockets.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
            grace_period,
            known,
            connect_timeout: time("dial-timeout-ms", DEFAULT_CONNECT_TIMEOUT)?,
            backend_idle_timeout: time("keepalive-ms", DEFAULT_BACKEND_IDLE_TIMEOUT)?,
            settings,
            group,
        })
    }
}
