//! Hollow data planes, many per process. Each has the connections, protocol and lease requests of a real one, but
//! neither serves clients nor keeps tables of backends and quotas. Hollow backends, which only send heartbeats, run in
//! the same processes.
//!
//! A lease is a number of units of a tenant's quota that a control plane grants to a data plane for a limited time.

use super::report::{Report, steady_seconds};
use crate::capacity::messages::lease_request;
use crate::capacity::samples;
use crate::control::Control;
use crate::error::TestbedError;
use crate::heartbeats::{BackendInfo, HeartbeatSender};
use crate::random::SeededRandom;
use config::Detours;
use protocol::{Hello, Message, Plane, frame};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;
use transport::{ControlFollower, FollowerSettings, Update};

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Period over which connections are opened, since a real fleet does not start all at once.
const START_SPREAD: Duration = Duration::from_secs(3);

/// Settings of a process of hollow data planes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowSettings {
    /// Number of the first data plane.
    pub first: usize,
    /// How many data planes to run.
    pub gateways: usize,
    /// Number of the first backend.
    pub first_backend: usize,
    /// How many backends to run.
    pub backends: usize,
    /// Addresses at which control planes accept data planes.
    pub seeds: Vec<SocketAddr>,
    /// Addresses at which control planes accept heartbeats of backends.
    pub control: Vec<SocketAddr>,
    /// Zones, assigned in rotation.
    pub zones: Vec<String>,
    /// Number of tenants in the configuration.
    pub tenants: usize,
    /// Lease requests per second and data plane.
    pub requests_per_s: f64,
    /// The report file.
    pub report: PathBuf,
}

/// One hollow data plane.
struct Hollow {
    follower: RefCell<Option<ControlFollower>>,
    leader: RefCell<Option<String>>,
    /// Send times of outstanding lease requests.
    sent: RefCell<HashMap<u64, Instant>>,
    report: Rc<RefCell<Report>>,
}

impl Hollow {
    fn on_update(&self, update: Update) {
        let mut report = self.report.borrow_mut();
        match update {
            Update::ConfigSnapshot(config_snapshot) => {
                report.arrived(config_snapshot.version, steady_seconds())
            }
            Update::Backends { is_complete, backends } => {
                let kind = if is_complete { "all backends" } else { "backends that changed" };
                report.count(kind, frame(&Message::Backends { is_complete, backends }).len());
            }
            Update::Heartbeat(heartbeat) => {
                self.leader.borrow_mut().clone_from(&heartbeat.leader);
                report.count("heartbeat", frame(&Message::Heartbeat(heartbeat)).len());
            }
            Update::Grant(grant) => {
                if let Some(sent) = self.sent.borrow_mut().remove(&grant.number) {
                    report.waited(sent.elapsed().as_micros() as u64);
                }
                report.count("grant", frame(&Message::Grant(grant)).len());
            }
            Update::Unanswered { number } => {
                self.sent.borrow_mut().remove(&number);
                report.unanswered += 1;
            }
            Update::HolderAssignment(_) | Update::Following(_) => {}
        }
    }

    /// Sends a lease request for one unit of a tenant's quota.
    fn request(&self, number: u64, tenant: usize) {
        let Some(leader) = self.leader.borrow().clone() else { return };
        let request = lease_request(number, std::iter::once(tenant));
        self.report.borrow_mut().count("lease request", frame(&Message::LeaseRequest(request.clone())).len());
        self.sent.borrow_mut().insert(number, Instant::now());
        let sent =
            self.follower.borrow().as_ref().is_some_and(|follower| follower.request_lease(&leader, request));
        if !sent {
            self.on_update(Update::Unanswered { number });
        }
    }

    async fn run(self: Rc<Self>, number: usize, settings: Rc<HollowSettings>) {
        let mut random = SeededRandom::new(number as u64, 1);
        sleep(START_SPREAD.mul_f64(random.unit())).await;
        let me = Hello {
            name: samples::gateway_name(number),
            process_incarnation: crate::random::mix(number as u64 + 1),
            plane: Plane::DataPlane,
            address: format!("127.0.0.1:{}", 1 + number % 60_000),
            zone: settings.zones[number % settings.zones.len()].clone(),
            quorum: false,
            voter_incarnation: None,
        };
        let (seeds, detours) = (settings.seeds.clone(), Detours::default());
        let about = FollowerSettings { me, seeds, detours, stale_after: 900 };
        let hollow = self.clone();
        *self.follower.borrow_mut() =
            Some(ControlFollower::start(about, move |update| hollow.on_update(update)));
        let mut requests = 0;
        loop {
            let pause = -(1.0 - random.unit()).ln() / settings.requests_per_s.max(1e-3);
            sleep(Duration::from_secs_f64(pause)).await;
            requests += 1;
            let tenant = (random.unit() * settings.tenants as f64) as usize;
            self.request(requests, tenant.min(settings.tenants.saturating_sub(1)));
        }
    }
}

fn heartbeats(number: usize, control: &Control) {
    let about = samples::backend(number);
    let Ok(address) = about.address.parse() else { return };
    let sender = HeartbeatSender::new(
        BackendInfo {
            id: about.id,
            service: about.service,
            address,
            zone: about.zone,
            capacity: about.capacity as usize,
            started: Instant::now(),
            warmup: Duration::ZERO,
        },
        control.clone(),
    );
    tokio::spawn(async move {
        sleep(START_SPREAD.mul_f64(SeededRandom::new(number as u64, 2).unit())).await;
        sender.run().await;
    });
}

async fn run(settings: HollowSettings) -> Result<(), TestbedError> {
    let report = Rc::new(RefCell::new(Report::default()));
    let (settings, control) = (Rc::new(settings.clone()), Control::new(settings.control));
    for number in settings.first..settings.first + settings.gateways {
        let hollow = Rc::new(Hollow {
            follower: RefCell::default(),
            leader: RefCell::default(),
            sent: RefCell::default(),
            report: report.clone(),
        });
        spawn_local(hollow.run(number, settings.clone()));
    }
    for number in settings.first_backend..settings.first_backend + settings.backends {
        heartbeats(number, &control);
    }
    loop {
        sleep(REPORT_INTERVAL).await;
        report.borrow_mut().at = steady_seconds();
        report.borrow().write(&settings.report)?;
    }
}

/// Runs hollow data planes with a settings file until the process is terminated.
///
/// # Errors
/// Returns an error when a file cannot be read or written.
pub fn serve(path: &Path) -> Result<(), TestbedError> {
    let text = std::fs::read(path).map_err(TestbedError::file(path))?;
    let settings = serde_json::from_slice(&text)
        .map_err(|error| TestbedError::Settings { path: path.to_owned(), wrong: error.to_string() })?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| TestbedError::Socket { what: "the runtime", error })?;
    tokio::task::LocalSet::new().block_on(&runtime, run(settings))
}
