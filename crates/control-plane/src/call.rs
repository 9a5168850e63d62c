//! Calls of backends and operators, and the replies.

use protocol::{Backend, LeaderCall};

/// A call on the control socket.
#[derive(Debug)]
pub enum Call {
    /// A heartbeat of a backend.
    Heartbeat(Backend),
    /// A backend has ended; holds its id.
    Departure(String),
    /// An order of an operator.
    Order(LeaderCall),
    /// Query for the status of this process and its view of the fleet.
    Status,
    /// Query for the latest accepted versions and their log positions.
    History,
    /// Query for the body of one of the latest versions.
    VersionBody(u64),
    /// Query for the events of one subject, or for all events.
    Events(Option<String>),
    /// Query for the metrics.
    Metrics,
}

impl Call {
    /// Label of the call in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "beat",
            Self::Departure(_) => "departure",
            Self::Order(LeaderCall::Replace { .. }) => "replace",
            Self::Order(LeaderCall::Read) => "read",
            Self::Order(LeaderCall::Remove(_)) => "remove",
            Self::Order(LeaderCall::Drain(_)) => "drain",
            Self::Status => "status",
            Self::History | Self::VersionBody(_) => "history",
            Self::Events(_) => "events",
            Self::Metrics => "metrics",
        }
    }
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body: JSON, except for metrics.
    pub body: Vec<u8>,
}

impl Reply {
    /// A reply with an error message.
    pub fn error(status: u16, message: &str) -> Self {
        Self { status, body: serde_json::json!({ "error": message }).to_string().into_bytes() }
    }

    /// A successful reply without content.
    pub fn ok() -> Self {
        Self { status: 200, body: b"{}".to_vec() }
    }
}
