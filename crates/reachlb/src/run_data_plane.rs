//! Data plane program, which proxies requests.
//!
//! The follower receives state and updates from a control plane. The lease client requests quota leases: numbers of
//! requests that this gateway may admit for a tenant. A departure is the announcement that this gateway ends.

use crate::start;
use config::{Config, Settings};
use data_plane::{DataPlane, DataPlaneSettings, LeaseClient};
use miette::{Result, miette};
use protocol::{Hello, Plane};
use quota::Quota;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;
use transport::{ControlFollower, FollowerSettings, Update, freshness};

/// Maximum time for which a data plane that shuts down waits until a control plane has acknowledged the departure.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(400);

/// Runs a data plane until the process receives SIGTERM.
///
/// # Errors
/// Returns an error when a required setting is missing or a socket cannot be opened.
pub async fn run(settings: Settings, path: PathBuf) -> Result<()> {
    let instance = start::random_id();
    let front_address = settings.front.ok_or_else(|| miette!("settings: bind.front is missing"))?;
    let readiness_address =
        settings.readiness.ok_or_else(|| miette!("settings: bind.readiness is missing"))?;
    let front = start::listen("clients", front_address)?;
    let readiness = start::listen("readiness", readiness_address)?;
    let me = Hello {
        name: settings.node_name.to_string(),
        process_incarnation: instance,
        plane: Plane::DataPlane,
        // Operators query this address for records of requests.
        address: if readiness_address.ip().is_unspecified() {
            SocketAddr::new(settings.ip, readiness_address.port()).to_string()
        } else {
            readiness_address.to_string()
        },
        zone: settings.zone.to_string(),
        quorum: false,
        voter_incarnation: None,
    };
    // The follower delivers updates to the lease client, and the lease client sends its lease requests through the
    // follower. The cell breaks this cycle: the follower is stored after both have been created.
    let follower: Rc<RefCell<Option<ControlFollower>>> = Rc::default();
    let sender = follower.clone();
    let send = move |to: &str, draw| {
        sender.borrow().as_ref().is_some_and(|follower| follower.request_lease(to, draw))
    };
    let lease_client = LeaseClient::start(instance, Box::new(send));
    let data_plane_settings = DataPlaneSettings {
        max_fds: settings.max_fds as usize,
        grace_period: settings.bounds.grace,
        detours: settings.tuning.detours.clone(),
        log: Rc::new(|line| {
            let (step, version, left_out) = (line.step, line.version, line.left_out);
            spdlog::info!("{}", line.text, kv: { step, version, left_out });
        }),
        ..DataPlaneSettings::new(front_address, readiness_address, &settings.zone, &settings.node_name)
    };
    let data_plane = DataPlane::new(data_plane_settings, lease_client.clone(), instance);
    let on_update = {
        let (data_plane, lease_client) = (data_plane.clone(), lease_client.clone());
        let mut known_leader = (None, 0);
        move |update| match update {
            Update::ConfigSnapshot(config_snapshot) => match Config::parse(&config_snapshot.body) {
                Ok(config) => {
                    lease_client.set_quotas(quotas(&config));
                    data_plane.apply_config(Rc::new(config));
                }
                Err(fault) => {
                    let version = config_snapshot.version;
                    spdlog::error!("cannot parse the configuration: {}", fault, kv: { step = "config", version });
                }
            },
            Update::Backends { is_complete, backends } => data_plane.update_backends(&backends, is_complete),
            Update::Heartbeat(heartbeat) => {
                let leader = (heartbeat.leader.clone(), heartbeat.term);
                if leader != known_leader {
                    // Logged once per change of the leader or the epoch, so elections bound the rate of this line.
                    let (peer, version, epoch) =
                        (heartbeat.leader.as_deref().unwrap_or("none"), heartbeat.version, heartbeat.term);
                    spdlog::info!("the leader that grants quota leases has changed", kv: { step = "leader", peer, version, epoch });
                    known_leader = leader;
                }
                lease_client.set_gateway_count(heartbeat.fleet_size, heartbeat.fresh);
                data_plane.set_fleet(heartbeat.fleet_size, heartbeat.data_plane_index);
            }
            Update::HolderAssignment(assignment) => lease_client.apply_assignment(&assignment),
            Update::Following(upstream) => data_plane.record_upstream(upstream),
            Update::Grant(grant) => lease_client.apply_grant(grant),
            Update::Unanswered { number } => lease_client.abandon_lease_request(number),
        }
    };
    let neighbor_watch = start::neighbor_watch(&settings, true, instance)?;
    let seeds = start::seeds(&settings);
    let detours = settings.tuning.detours.clone();
    *follower.borrow_mut() = Some(ControlFollower::start(
        FollowerSettings { me, seeds, detours, stale_after: stale_after(&settings) },
        on_update,
    ));
    let (watch, reloaded_follower) = (neighbor_watch.clone(), follower.clone());
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| miette!("signals: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| miette!("signals: {e}"))?;
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            match Settings::read(&path) {
                Ok(settings) => {
                    if let Some(follower) = reloaded_follower.borrow().as_ref() {
                        follower.set_seeds(start::seeds(&settings));
                    }
                    if let Some(watch) = &watch {
                        watch.set_seeds(&start::neighbor_watch_seeds(&settings));
                    }
                }
                Err(fault) => spdlog::error!("settings not reloaded: {}", fault, kv: { step = "hangup" }),
            }
        }
    });
    spdlog::info!("carries requests", kv: { step = "start", life = instance });
    let shutdown = async move {
        terminate.recv().await;
    };
    data_plane.serve(front, readiness, shutdown).await;
    // The lease client closes last, because requests that finish during the shutdown still use leases.
    lease_client.close();
    let follower = follower.borrow_mut().take();
    if let Some(follower) = follower
        && timeout(LEAVE_TIMEOUT, follower.leave()).await.is_err()
    {
        spdlog::warn!("no control plane has acknowledged the departure of this data plane", kv: { step = "end" });
    }
    if let Some(neighbor_watch) = neighbor_watch {
        neighbor_watch.leave();
    }
    spdlog::info!("done", kv: { step = "end" });
    Ok(())
}

/// Returns the maximum age, in milliseconds, of the newest state received from the leader. When the state is older, the
/// data plane queries other control planes. The limit leaves enough time to apply changes of backends and
/// configurations within their bounds.
fn stale_after(settings: &Settings) -> u64 {
    let bound = settings.bounds.drain.min(settings.bounds.apply).as_millis() as u64;
    if !freshness::is_achievable(bound) {
        let minimum = freshness::MIN_BOUND_MS;
        spdlog::error!(
            "bound_table: drain_ms or apply_ms is {}, bounds below {} are not kept while control planes are isolated",
            bound, minimum, kv: { step = "settings" });
    }
    freshness::stale_after(bound)
}

fn quotas(config: &Config) -> Vec<Quota> {
    let tenants = config.tenants.iter().flat_map(|tenants| tenants.values());
    let quota = |t: &config::Tenant| Quota {
        tenant: t.label.to_string(),
        rate_per_s: t.rate_per_s,
        burst: t.burst_size,
    };
    tenants.map(quota).collect()
}
