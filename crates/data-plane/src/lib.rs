//! The data plane of the system: takes requests in and carries them to backends.
//!
//! Everything runs on one thread. What is decided is decided by `doorcourse`, one of its gateways for each service;
//! whether a tenant has something left is said by the host ([`Admission`]); connections, bodies and the engine of the
//! decisions are those of the program in service (`http-proxy`).
//!
//! Invariants: a request that is not pure goes to another backend only on a backend's word that it did not run; our
//! own 429 and 503 go out only for what never ran; a success is passed on only whole, sealed and under its own id; a
//! key never leaves the process.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backends;
mod data_plane;
mod front;
mod headers;
mod lease_client;
mod order;
mod readiness;
mod speech;
mod watch;

pub use data_plane::DataPlane;
#[doc(hidden)]
pub use http_proxy::planted::Faults;
pub use lease_client::LeaseClient;

use config::Detours;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The operator's configuration, as far as the data plane goes by it.
pub use config::Config as Conf;

/// A line for the log.
pub struct Line<'a> {
    /// At which step: `config`, `backend`, `decision`, `service` or `end`.
    pub step: &'static str,
    /// The version in force.
    pub version: u64,
    /// How many lines of the step were left out before it.
    pub left_out: u64,
    /// What happened.
    pub text: fmt::Arguments<'a>,
}

/// Where lines for the log go.
pub type Log = Rc<dyn Fn(Line<'_>)>;

/// What one process is told at its start.
#[derive(Clone)]
pub struct DataPlaneSettings {
    /// Where clients come in.
    pub front: SocketAddr,
    /// Where the platform asks whether this gateway is ready.
    pub readiness: SocketAddr,
    /// The zone of this gateway.
    pub zone: String,
    /// Its name, for the log.
    pub name: String,
    /// How many descriptors the process may hold, for all it does.
    pub max_fds: usize,
    /// From the signal to end until the process is killed.
    pub grace: Duration,
    /// After the signal to end clients are taken for this long: the platform has to miss two answers first.
    pub linger: Duration,
    /// What a backend in another zone costs beside a near one; small beside one request.
    pub price_cross_zone: f64,
    /// Whether pure attempts that look stalled are called off for another one: that breaks off what may be running.
    pub cancel: bool,
    /// Where lines for the log go.
    pub log: Log,
    /// By which ways backends are reached.
    pub ways: Detours,
}

impl DataPlaneSettings {
    /// Settings with the usual figures and no log.
    pub fn new(front: SocketAddr, readiness: SocketAddr, zone: &str, name: &str) -> Self {
        Self {
            front,
            readiness,
            zone: zone.to_owned(),
            name: name.to_owned(),
            max_fds: 4100,
            grace: Duration::from_secs(6),
            linger: Duration::from_millis(2500),
            price_cross_zone: 0.04,
            cancel: false,
            log: Rc::new(|_| {}),
            ways: Detours::default(),
        }
    }
}

/// Who says whether a tenant has something left. One request is one unit.
pub trait Admission {
    /// Asks for one unit; the answer comes within this time if it can't be had at once.
    fn ask(&self, tenant: &str, wait_at_most: Duration) -> Asked;
    /// The unit of a request that never ran.
    fn give_back(&self, tenant: &str);
}

/// What is said to a request's tenant.
#[derive(Debug)]
pub enum Asked {
    /// It has the unit.
    Granted,
    /// It has nothing left.
    Refused {
        /// When there will be something.
        retry_after: Duration,
    },
    /// The answer comes: a unit, or when there will be something. A unit that comes after its receiver is gone stays
    /// with the host.
    Wait(oneshot::Receiver<Result<(), Duration>>),
}
