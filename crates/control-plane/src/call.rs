//! What backends and operators ask, and what they are answered.

use protocol::{Backend, Order};

/// What a call asks for.
#[derive(Debug)]
pub enum Call {
    /// A backend beats.
    Heartbeat(Backend),
    /// A backend ends.
    Departure(String),
    /// The operator's.
    Order(Order),
    /// How this process and what it knows stand.
    Status,
    /// The last versions, and when they were taken.
    History,
    /// The body of one of the last versions.
    VersionBody(u64),
    /// Records about something, or all.
    Events(Option<String>),
    /// Metrics.
    Metrics,
}

impl Call {
    /// Its kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "beat",
            Self::Departure(_) => "departure",
            Self::Order(Order::Replace { .. }) => "replace",
            Self::Order(Order::Read) => "read",
            Self::Order(Order::Remove(_)) => "remove",
            Self::Order(Order::Drain(_)) => "drain",
            Self::Status => "status",
            Self::History | Self::VersionBody(_) => "history",
            Self::Events(_) => "events",
            Self::Metrics => "metrics",
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its body, JSON but for metrics.
    pub body: Vec<u8>,
}

impl Reply {
    /// An answer that says why.
    pub fn error(status: u16, why: &str) -> Self {
        Self { status, body: serde_json::json!({ "error": why }).to_string().into_bytes() }
    }

    /// Done, nothing to say.
    pub fn ok() -> Self {
        Self { status: 200, body: b"{}".to_vec() }
    }
}
