//! The program that carries requests.

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

/// A process that has ended waits at most this long until control has accepted that.
const LEAVE_WAIT: Duration = Duration::from_millis(400);

/// Runs until the platform ends it.
///
/// # Errors
/// When settings lack something or a socket can't be had.
pub async fn run(settings: Settings, path: PathBuf) -> Result<()> {
    let life = start::draw();
    let front_at = settings.front.ok_or_else(|| miette!("settings: bind.front is missing"))?;
    let readiness_at = settings.readiness.ok_or_else(|| miette!("settings: bind.readiness is missing"))?;
    let front = start::listen("clients", front_at)?;
    let readiness = start::listen("readiness", readiness_at)?;
    let me = Hello {
        name: settings.node_name.to_string(),
        process_incarnation: life,
        plane: Plane::DataPlane,
        // Whom operators ask what became of a request.
        address: if readiness_at.ip().is_unspecified() {
            SocketAddr::new(settings.ip, readiness_at.port()).to_string()
        } else {
            readiness_at.to_string()
        },
        zone: settings.zone.to_string(),
        quorum: false,
        voter_incarnation: None,
    };
    // The follower's news and the lease client's draws need each other.
    let follower: Rc<RefCell<Option<ControlFollower>>> = Rc::default();
    let wire = follower.clone();
    let send =
        move |to: &str, draw| wire.borrow().as_ref().is_some_and(|follower| follower.request_lease(to, draw));
    let lease_client = LeaseClient::start(life, Box::new(send));
    let about = DataPlaneSettings {
        max_fds: settings.max_fds as usize,
        grace_period: settings.bounds.grace,
        detours: settings.tuning.detours.clone(),
        log: Rc::new(|line| {
            let (step, version, left_out) = (line.step, line.version, line.left_out);
            spdlog::info!("{}", line.text, kv: { step, version, left_out });
        }),
        ..DataPlaneSettings::new(front_at, readiness_at, &settings.zone, &settings.node_name)
    };
    let data_plane = DataPlane::new(about, lease_client.clone(), life);
    let news = {
        let (data_plane, lease_client) = (data_plane.clone(), lease_client.clone());
        let mut known = (None, 0);
        move |news| match news {
            Update::ConfigSnapshot(config_snapshot) => match Config::parse(&config_snapshot.body) {
                Ok(config) => {
                    lease_client.set_quotas(quotas(&config));
                    data_plane.apply_config(Rc::new(config));
                }
                Err(fault) => {
                    let version = config_snapshot.version;
                    spdlog::error!("not read: {}", fault, kv: { step = "config", version });
                }
            },
            Update::Backends { is_complete, backends } => data_plane.update_backends(&backends, is_complete),
            Update::Heartbeat(heartbeat) => {
                let leader = (heartbeat.leader.clone(), heartbeat.term);
                if leader != known {
                    // Once for each leader, and once when there is none: elections bound how often.
                    let (peer, version, epoch) =
                        (heartbeat.leader.as_deref().unwrap_or("none"), heartbeat.version, heartbeat.term);
                    spdlog::info!("the counts are drawn from another leader", kv: { step = "leader", peer, version, epoch });
                    known = leader;
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
    let neighbor_watch = start::watch(&settings, true, life)?;
    let seeds = start::seeds(&settings);
    let detours = settings.tuning.detours.clone();
    *follower.borrow_mut() = Some(ControlFollower::start(
        FollowerSettings { me, seeds, detours, stale_after: stale_after(&settings) },
        news,
    ));
    let (watch, seeded) = (neighbor_watch.clone(), follower.clone());
    let mut end = signal(SignalKind::terminate()).map_err(|e| miette!("signals: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| miette!("signals: {e}"))?;
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            match Settings::read(&path) {
                Ok(settings) => {
                    if let Some(follower) = seeded.borrow().as_ref() {
                        follower.set_seeds(start::seeds(&settings));
                    }
                    if let Some(watch) = &watch {
                        watch.set_seeds(&start::watch_seeds(&settings));
                    }
                }
                Err(fault) => spdlog::error!("settings not taken: {}", fault, kv: { step = "hangup" }),
            }
        }
    });
    spdlog::info!("carries requests", kv: { step = "start", life });
    let ended = async move {
        end.recv().await;
    };
    data_plane.serve(front, readiness, ended).await;
    // Only now: while it finishes its work it spends.
    lease_client.close();
    let follower = follower.borrow_mut().take();
    if let Some(follower) = follower
        && timeout(LEAVE_WAIT, follower.leave()).await.is_err()
    {
        spdlog::warn!("no process of control has accepted that this one ends", kv: { step = "end" });
    }
    if let Some(neighbor_watch) = neighbor_watch {
        neighbor_watch.leave();
    }
    spdlog::info!("done", kv: { step = "end" });
    Ok(())
}

/// How old the leader's word may be before another process is asked, in ms: changes of backends and configurations have to
/// be obeyed within their bounds.
fn stale_after(settings: &Settings) -> u64 {
    let bound = settings.bounds.drain.min(settings.bounds.apply).as_millis() as u64;
    if !freshness::is_achievable(bound) {
        let least = freshness::MIN_BOUND_MS;
        spdlog::error!(
            "bound_table: drain_ms or apply_ms is {}, and less than {} is not kept while control planes are cut off",
            bound, least, kv: { step = "settings" });
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
