//! The data plane: accepts client requests and proxies them to backends.
//!
//! The data plane runs on a single thread. `doorcourse` decides about load balancing, retries and the ejection of
//! backends, with one engine per service. The host, the process that embeds the data plane, provides an [`Admission`]
//! that decides whether a tenant has quota left. Connection handling, body streaming and the decision engine are shared
//! with the `http-proxy` crate.
//!
//! Invariants:
//!
//! - A request that is not pure (that has effects) must not run twice. Such a request is sent to another backend only
//!   if no byte of it was written before, or if the first backend states that it did not run the request.
//! - The data plane itself answers 429 and 503 only to requests that never ran.
//! - A successful answer is passed on only if it is complete, carries the backend's seal (a header) and echoes the
//!   request's id.
//! - An API key never leaves the process.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backend_protocol;
mod data_plane;
mod frontend;
mod headers;
mod instances;
mod lease_client;
mod readiness;
mod recorder;
mod routing;

pub use data_plane::DataPlane;
#[doc(hidden)]
pub use http_proxy::fault_injection::Faults;
pub use lease_client::LeaseClient;

use config::Detours;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The operator's configuration: routes, services, tenants and limits.
pub use config::Config as GatewayConfig;

/// An entry for the process log.
pub struct LogLine<'a> {
    /// The subject of the line: `config`, `backend`, `decision`, `service`, `drain`, `upstream` or `end`.
    pub step: &'static str,
    /// The configuration version in force, or 0 before the first configuration.
    pub version: u64,
    /// How many lines of the same step the rate limit has suppressed since the previous line.
    pub left_out: u64,
    /// The message.
    pub text: fmt::Arguments<'a>,
}

/// Receives the entries for the process log.
pub type LogSink = Rc<dyn Fn(LogLine<'_>)>;

/// Settings of a data plane that are fixed when the process starts.
#[derive(Clone)]
pub struct DataPlaneSettings {
    /// The address that clients connect to.
    pub client_address: SocketAddr,
    /// The address that serves readiness checks, metrics and operators' queries.
    pub readiness_address: SocketAddr,
    /// The zone of this gateway.
    pub zone: String,
    /// The name of this gateway, shown in answers to operators' queries.
    pub name: String,
    /// The limit of open file descriptors of the process.
    pub max_fds: usize,
    /// The time between the termination signal and the moment when the platform kills the process.
    pub grace_period: Duration,
    /// How long new clients are accepted after the termination signal. The platform stops sending clients only after
    /// two failed readiness checks.
    pub shutdown_delay: Duration,
    /// The cost of choosing a backend in another zone instead of a local one; small compared with one request.
    pub price_cross_zone: f64,
    /// Whether a pure attempt that appears stalled is cancelled in favour of another attempt. Cancelling can interrupt
    /// a request that is still running.
    pub cancel_stalled: bool,
    /// Receives the entries for the process log.
    pub log: LogSink,
    /// Replacement addresses for peers that are reached through an intermediary.
    pub detours: Detours,
}

impl DataPlaneSettings {
    /// Settings with default values and without a log.
    pub fn new(client_address: SocketAddr, readiness_address: SocketAddr, zone: &str, name: &str) -> Self {
        Self {
            client_address,
            readiness_address,
            zone: zone.to_owned(),
            name: name.to_owned(),
            max_fds: 4100,
            grace_period: Duration::from_secs(6),
            shutdown_delay: Duration::from_millis(2500),
            price_cross_zone: 0.04,
            cancel_stalled: false,
            log: Rc::new(|_| {}),
            detours: Detours::default(),
        }
    }
}

/// Decides whether a tenant has quota left. Each request costs one unit.
pub trait Admission {
    /// Requests a unit of the tenant's quota. A decision that cannot be made at once arrives within `max_wait`.
    fn acquire(&self, tenant: &str, max_wait: Duration) -> AdmissionDecision;
    /// Returns the unit of a request that never ran.
    fn refund(&self, tenant: &str);
}

/// The decision on a request for a unit of quota.
#[derive(Debug)]
pub enum AdmissionDecision {
    /// The tenant gets the unit.
    Granted,
    /// The tenant has no quota left.
    Refused {
        /// The time until more quota is expected.
        retry_after: Duration,
    },
    /// The decision arrives later: a unit, or the time until more quota is expected. If the receiver has been dropped
    /// by then, the host keeps the unit.
    Pending(oneshot::Receiver<Result<(), Duration>>),
}
