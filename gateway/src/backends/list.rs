//! The list of backends, as received from the discovery service, the configuration or the preceding process.

use doorcourse::{BackendEntry, BackendState};
pub use http_proxy::pool::Host;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// An invalid list.
#[derive(Debug)]
pub enum ListError {
    /// The text is not JSON of the expected form.
    Malformed(serde_json::Error),
    /// The address of an entry is invalid.
    Address(String),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed list of backends: {error}"),
            Self::Address(host) => write!(f, "backend {host}: invalid address"),
        }
    }
}

impl std::error::Error for ListError {}

#[derive(Deserialize, Serialize)]
struct RawList {
    seq: u64,
    whole: bool,
    hosts: Vec<RawHost>,
}

#[derive(Deserialize, Serialize)]
struct RawHost {
    host: String,
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    block: u64,
    health: Health,
    #[serde(default)]
    born_ms: f64,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Health {
    InService,
    Terminating,
    Terminated,
}

/// A full list of backends, or changes to the list.
#[derive(Clone, Debug)]
pub struct List {
    /// The version of the list.
    pub seq: u64,
    /// Whether the list is complete: backends that it does not contain are gone.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

impl List {
    /// Parses a list from JSON text.
    ///
    /// # Errors
    /// When the list is malformed.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        serde_json::from_slice(text).map_err(ListError::Malformed).and_then(Self::from_raw)
    }

    /// Parses a list from a JSON value.
    ///
    /// # Errors
    /// When the list is malformed.
    pub fn from_value(value: &Value) -> Result<Self, ListError> {
        RawList::deserialize(value).map_err(ListError::Malformed).and_then(Self::from_raw)
    }

    /// The list in the JSON form of the discovery service.
    pub fn to_value(&self) -> Value {
        let raw_hosts = self.hosts.iter().map(|host| RawHost {
            host: host.entry.name.to_string(),
            dial: host.address.to_string(),
            site: host.entry.zone.to_string(),
            block: host.entry.cell,
            health: match host.entry.state {
                BackendState::Ready => Health::InService,
                BackendState::Draining => Health::Terminating,
                BackendState::Gone => Health::Terminated,
            },
            born_ms: host.entry.started.unwrap_or_default(),
        });
        let raw = RawList { seq: self.seq, whole: self.whole, hosts: raw_hosts.collect() };
        serde_json::to_value(raw).unwrap_or_default()
    }

    fn from_raw(raw: RawList) -> Result<Self, ListError> {
        let hosts = raw.hosts.into_iter().map(|raw_host| {
            let address = raw_host.dial.parse().map_err(|_| ListError::Address(raw_host.host.clone()))?;
            let state = match raw_host.health {
                Health::InService => BackendState::Ready,
                Health::Terminating => BackendState::Draining,
                Health::Terminated => BackendState::Gone,
            };
            // 0 means that the backend started long ago, at an unknown time.
            let started = (raw_host.born_ms > 0.0).then_some(raw_host.born_ms);
            let (name, zone) = (raw_host.host.into(), raw_host.site.into());
            Ok(Host { entry: BackendEntry { name, zone, cell: raw_host.block, state, started }, address })
        });
        Ok(Self { seq: raw.seq, whole: raw.whole, hosts: hosts.collect::<Result<_, _>>()? })
    }
}
