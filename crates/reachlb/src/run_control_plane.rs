//! Control plane program, which replicates configurations by Raft, tracks backends and grants quota leases.
//!
//! A seed is a machine that the settings name as running at the first start of the fleet. The catch-up bound is the
//! setting that limits how long a machine that has returned still counts as lost.

use crate::start;
use config::Settings;
use control_plane::{Command, ControlPlane, ControlPlaneSettings, Disk, Losses, Tolerance};
use miette::{Result, miette};
use protocol::{Hello, Plane};
use raft::{Timing, VoterId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Capacity of the command channel of the control plane's event loop.
const COMMAND_QUEUE_LENGTH: usize = 1024;
/// A silent voter is removed after the catch-up bound divided by this number (see [`retire_after`]).
const CATCH_UP_PARTS: u64 = 3;
/// Minimum silence before a voter is removed, in election timeouts. Lost messages explain shorter silences.
const MIN_SILENT_ELECTIONS: u64 = 4;
/// Maximum time for which a process that shuts down waits for the handover of leadership and for open calls.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before the exit in which the last responses are written to their sockets.
const RESPONSE_FLUSH_DELAY: Duration = Duration::from_millis(50);
/// File descriptors reserved for files, listeners and connections to other processes.
const RESERVED_DESCRIPTORS: usize = 400;

/// Runs a control plane until the process receives SIGTERM.
///
/// # Errors
/// Returns an error when a required setting is missing, or a socket or the log store cannot be opened.
pub async fn run(settings: Settings, path: PathBuf) -> Result<()> {
    let instance = start::random_id();
    let address = SocketAddr::new(settings.ip, start::peer_port(&settings));
    let control = settings.control.ok_or_else(|| miette!("settings: bind.control is missing"))?;
    let control = start::listen("control", control)?;
    let peers = start::listen("other processes", address)?;
    let (commands, queue) = mpsc::channel(COMMAND_QUEUE_LENGTH);
    let directory = settings.data_path.clone().filter(|_| settings.in_quorum);
    let log = match &directory {
        Some(directory) => {
            // At the first start of the fleet, each seed is a founding voter, with incarnation 0. A process that starts
            // on an empty disk later has lost its votes, so it joins as another voter, with a random incarnation.
            let seeds: Vec<_> = start::seeds(&settings).iter().map(SocketAddr::to_string).collect();
            let is_founder = settings.bootstrap && seeds.contains(&address.to_string());
            let empty = !directory.join(Disk::FILE).exists();
            let lost_disk = is_founder && empty && crate::founder::lost_its_disk(&settings).await;
            if lost_disk {
                spdlog::warn!("the data directory is empty after the first start of the fleet: joining as a new voter",
                    kv: { step = "start" });
            }
            let new_voter = |damaged: bool| {
                let first_start = is_founder && !damaged && !lost_disk;
                let incarnation = if first_start { 0 } else { start::random_id() | 1 };
                let founders = seeds.iter().map(|a| VoterId { address: a.clone(), incarnation: 0 });
                let founders = if first_start { founders.collect() } else { Vec::new() };
                (VoterId { address: address.to_string(), incarnation }, founders)
            };
            Some(Disk::open(directory, new_voter, commands.clone())?)
        }
        None => None,
    };
    let me = Hello {
        name: settings.node_name.to_string(),
        process_incarnation: instance,
        plane: Plane::ControlPlane,
        address: address.to_string(),
        zone: settings.zone.to_string(),
        quorum: log.is_some(),
        voter_incarnation: log.as_ref().map(|(_, saved)| saved.me.incarnation),
    };
    let control_plane_settings = ControlPlaneSettings {
        me,
        address,
        seeds: start::seeds(&settings),
        heartbeat_interval_ms: millis(settings.beat_interval),
        timing: Timing {
            heartbeat: millis(settings.tuning.heartbeat),
            election: millis(settings.tuning.election),
            lease: millis(settings.tuning.lease),
        },
        tolerance: tolerance(&settings),
        retire_after_ms: retire_after(&settings),
        max_lease_requests_per_holder: settings.tuning.max_lease_requests_per_holder,
        seed: instance,
        detours: settings.tuning.detours.clone(),
    };
    let last_id = Rc::new(Cell::new(0));
    let next_id: Rc<dyn Fn() -> u64> = Rc::new(move || {
        last_id.set(last_id.get() + 1);
        last_id.get()
    });
    spdlog::info!("serves control", kv: { step = "start", life = instance, quorum = directory.is_some() });
    let neighbor_watch = start::neighbor_watch(&settings, false, instance)?;
    let control_plane = ControlPlane::new(control_plane_settings, log, commands.clone(), next_id.clone())
        .with_neighbor_watch(neighbor_watch.clone());
    tokio::task::spawn_local(control_plane::listen(peers, commands.clone(), move || next_id()));
    let max_callers = (settings.max_fds as usize).saturating_sub(RESERVED_DESCRIPTORS).clamp(64, 4096);
    tokio::task::spawn_local(control_plane::serve(control, commands.clone(), max_callers));
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| miette!("signals: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| miette!("signals: {e}"))?;
    tokio::task::spawn_local(control_plane.run(queue));
    loop {
        tokio::select! {
            _ = terminate.recv() => {
                if let Some(neighbor_watch) = &neighbor_watch {
                    neighbor_watch.leave();
                }
                shut_down(&commands).await;
                return Ok(());
            }
            _ = hangup.recv() => match Settings::read(&path) {
                Ok(settings) => {
                    if let Some(neighbor_watch) = &neighbor_watch {
                        neighbor_watch.set_seeds(&start::neighbor_watch_seeds(&settings));
                    }
                    let seeds = start::seeds(&settings);
                    let _ = commands.send(Command::Seeds(seeds)).await;
                }
                Err(fault) => spdlog::error!("settings not reloaded: {}", fault, kv: { step = "hangup" }),
            }
        }
    }
}

/// Shuts down gracefully: waits until another process leads, this voter has left a voter list of even size, and no call
/// is pending. Waits for at most [`SHUTDOWN_TIMEOUT`].
async fn shut_down(commands: &mpsc::Sender<Command>) {
    let (done, completion) = oneshot::channel();
    let shutdown = async { commands.send(Command::Shutdown(done)).await.is_ok() && completion.await.is_ok() };
    if !timeout(SHUTDOWN_TIMEOUT, shutdown).await.unwrap_or(false) {
        spdlog::warn!("shutdown timed out: still leader, still on the voter list, or calls still pending", kv: { step = "end" });
    }
    sleep(RESPONSE_FLUSH_DELAY).await;
}

fn tolerance(settings: &Settings) -> Tolerance {
    let count = |losses: u32| usize::try_from(losses).unwrap_or(usize::MAX);
    let losses = Losses {
        machines: count(settings.machine_losses),
        zones: count(settings.zone_losses),
        regions: count(settings.region_losses),
    };
    let region_of = settings.zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string()));
    Tolerance { losses, region_of: region_of.collect() }
}

/// Returns the silence, in milliseconds, after which a voter is removed from the voter list. The silence, an election
/// and the catch-up of a new voter must all fit into the catch-up bound, within which a replaced machine still counts
/// as lost.
fn retire_after(settings: &Settings) -> u64 {
    let part = millis(settings.bounds.catch_up) / CATCH_UP_PARTS;
    part.max(MIN_SILENT_ELECTIONS * millis(settings.tuning.election))
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
