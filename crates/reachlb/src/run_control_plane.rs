//! The program that serves control.

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

/// So many commands wait for the owner of the tables.
const COMMANDS: usize = 1024;
/// The silence of a voter that is gone takes one of so many parts of the time that its successor has to catch up.
const CATCH_UP_PARTS: u64 = 3;
/// ... and at least so many elections: shorter silences are lost messages.
const LEAST_SILENT_ELECTIONS: u64 = 4;
/// A process that is to end waits at most this long for its successor as leader, and for the answers to its calls.
const END_WAIT: Duration = Duration::from_millis(800);
/// The last answers are written to their sockets meanwhile.
const ANSWERS_LEAVE: Duration = Duration::from_millis(50);
/// Descriptors kept for files, listeners and other processes.
const KEPT: usize = 400;

/// Runs until the platform ends it.
///
/// # Errors
/// When settings lack something, or a socket or the disk can't be had.
pub async fn run(settings: Settings, path: PathBuf) -> Result<()> {
    let life = start::draw();
    let address = SocketAddr::new(settings.ip, start::peer_port(&settings));
    let control = settings.control.ok_or_else(|| miette!("settings: bind.control is missing"))?;
    let control = start::listen("control", control)?;
    let peers = start::listen("other processes", address)?;
    let (commands, queue) = mpsc::channel(COMMANDS);
    let folder = settings.data_path.clone().filter(|_| settings.in_quorum);
    let log = match &folder {
        Some(folder) => {
            // Who was here at the first start is among the founders with all seeds that are; who comes to an empty
            // disk later is somebody else than the one whose disk it was.
            let seeds: Vec<_> = start::seeds(&settings).iter().map(SocketAddr::to_string).collect();
            let founder = settings.bootstrap && seeds.contains(&address.to_string());
            let empty = !folder.join(Disk::FILE).exists();
            let lost = founder && empty && crate::founder::lost_its_disk(&settings).await;
            if lost {
                spdlog::warn!("the folder is empty and the system is past its first start: joins as another voter",
                    kv: { step = "start" });
            }
            let newcomer = |damaged: bool| {
                let at_birth = founder && !damaged && !lost;
                let incarnation = if at_birth { 0 } else { start::draw() | 1 };
                let founders = seeds.iter().map(|a| VoterId { address: a.clone(), incarnation: 0 });
                let founders = if at_birth { founders.collect() } else { Vec::new() };
                (VoterId { address: address.to_string(), incarnation }, founders)
            };
            Some(Disk::open(folder, newcomer, commands.clone())?)
        }
        None => None,
    };
    let me = Hello {
        name: settings.node_name.to_string(),
        process_incarnation: life,
        plane: Plane::ControlPlane,
        address: address.to_string(),
        zone: settings.zone.to_string(),
        quorum: log.is_some(),
        voter_incarnation: log.as_ref().map(|(_, saved)| saved.me.incarnation),
    };
    let control_plane = ControlPlaneSettings {
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
        seed: life,
        detours: settings.tuning.detours.clone(),
    };
    let numbers = Rc::new(Cell::new(0));
    let numbers: Rc<dyn Fn() -> u64> = Rc::new(move || {
        numbers.set(numbers.get() + 1);
        numbers.get()
    });
    spdlog::info!("serves control", kv: { step = "start", life, quorum = folder.is_some() });
    let neighbor_watch = start::watch(&settings, false, life)?;
    let control_plane = ControlPlane::new(control_plane, log, commands.clone(), numbers.clone())
        .with_neighbor_watch(neighbor_watch.clone());
    tokio::task::spawn_local(control_plane::listen(peers, commands.clone(), move || numbers()));
    let callers = (settings.max_fds as usize).saturating_sub(KEPT).clamp(64, 4096);
    tokio::task::spawn_local(control_plane::serve(control, commands.clone(), callers));
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| miette!("signals: {e}"))?;
    let mut end = signal(SignalKind::terminate()).map_err(|e| miette!("signals: {e}"))?;
    tokio::task::spawn_local(control_plane.run(queue));
    loop {
        tokio::select! {
            _ = end.recv() => {
                if let Some(neighbor_watch) = &neighbor_watch {
                    neighbor_watch.leave();
                }
                end_in_order(&commands).await;
                return Ok(());
            }
            _ = hangup.recv() => match Settings::read(&path) {
                Ok(settings) => {
                    if let Some(neighbor_watch) = &neighbor_watch {
                        neighbor_watch.set_seeds(&start::watch_seeds(&settings));
                    }
                    let seeds = start::seeds(&settings);
                    let _ = commands.send(Command::Seeds(seeds)).await;
                }
                Err(fault) => spdlog::error!("settings not taken: {}", fault, kv: { step = "hangup" }),
            }
        }
    }
}

/// Waits until another process leads and no call waits here any more, for as long as that may take.
async fn end_in_order(commands: &mpsc::Sender<Command>) {
    let (ending, ended) = oneshot::channel();
    let in_order = async { commands.send(Command::Shutdown(ending)).await.is_ok() && ended.await.is_ok() };
    if !timeout(END_WAIT, in_order).await.unwrap_or(false) {
        spdlog::warn!("the lead was not handed over, this voter is still on the list, or calls still wait", kv: { step = "end" });
    }
    sleep(ANSWERS_LEAVE).await;
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

/// A voter counts as gone after this silence, in ms. An election may come first, and a successor catches up meanwhile;
/// both together have to fit into the time in which a machine that was replaced still counts as lost.
fn retire_after(settings: &Settings) -> u64 {
    let third = millis(settings.bounds.catch_up) / CATCH_UP_PARTS;
    third.max(LEAST_SILENT_ELECTIONS * millis(settings.tuning.election))
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
