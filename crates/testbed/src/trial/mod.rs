//! Trials: the real processes among stand-ins, with a relay on every link between them, faults, and a judge of what
//! clients, backends and the operator saw.

mod draw;
mod page;
mod parties;
mod results;
mod rude;
pub mod schedule;
pub mod several;
mod stage;

use crate::clients::Platform;
use crate::demo::{Program, TIME_BOUNDS, first_order, settle, wait_ready};
use crate::fault::Fault as Failure;
use crate::fleet;
use crate::history::{Event, ProcessEvent, Record};
use crate::judge::{Verdict, judge};
use crate::load::{Load, Tallies};
use crate::site::{Site, ZONES};
use fault_injection::clock::{MOST_LATE, MOST_STUCK, keeps_disk, keeps_time};
pub use results::{Figures, compare};
use schedule::Schedule;
use stage::Stage;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// How trials are played.
#[derive(Clone, Debug)]
pub struct Options {
    /// What starts the processes.
    pub program: Program,
    /// Where history, logs and page go; nowhere, and they are not kept.
    pub keep: Option<PathBuf>,
}

/// A trial that was played.
#[derive(Debug)]
pub struct Played {
    /// What was played.
    pub schedule: Schedule,
    /// The judge's word.
    pub verdict: Verdict,
    /// Its figures.
    pub figures: Figures,
}

/// The port whose owner has the addresses of a trial to itself.
const CLAIM: u16 = 18_390;
/// So many lots of addresses there are.
const LOTS: u32 = 128 * 32;

/// A site on addresses that no other trial of this machine has, as long as the listener is held.
fn site() -> Result<(Site, TcpListener), Failure> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(64).wrapping_add(NUMBER.fetch_add(1, Ordering::Relaxed));
    for number in (0..LOTS).map(|more| first.wrapping_add(more)) {
        // Eight neighbours each: the machines' own addresses, and one for what each of them reaches by ways.
        let (a, b) = (64 + (number / 32 % 128) as u8, (number % 32) as u8 * 8);
        if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, a, b, 250), CLAIM)) {
            return Ok((Site::find(a, b, u64::from(number) * 7)?.with_ways(), claim));
        }
    }
    Err(Failure::Ports("127.64.0.0 to 127.191.255.255".to_owned()))
}

/// Plays a trial to its end, on a local set of the thread that starts the processes.
///
/// # Errors
/// When something cannot be started or written.
pub async fn play(schedule: Schedule, options: &Options) -> Result<Played, Failure> {
    match whole(schedule.clone(), options).await {
        // A fleet that does not come up says more about the machine than about the fleet: demos look after that.
        Err(Failure::Late { what, within, .. }) => {
            let void = Some(format!("not played: after {} s {what}", within.as_secs()));
            let verdict = Verdict { void, ..Verdict::default() };
            let figures = Figures::of(&schedule, &verdict, &[], 0);
            Ok(Played { schedule, verdict, figures })
        }
        played => played,
    }
}

async fn whole(schedule: Schedule, options: &Options) -> Result<Played, Failure> {
    let place = tempfile::Builder::new().prefix("testbed-trial-").tempdir();
    let place = place.map_err(Failure::file(std::env::temp_dir()))?;
    let folder = place.path();
    let (site, _claim) = site()?;
    let stage = Rc::new(Stage::set(&options.program, folder, site, schedule.seed)?);
    first_order(&*stage.operator.lock().await, folder).await?;
    let readiness = (0..ZONES.len()).map(|machine| stage.site.readiness(machine)).collect();
    let platform = Arc::new(Platform::new(stage.fronts.to_vec(), readiness));
    {
        let mut held = Vec::new();
        for process in stage.control_planes.iter().chain(&stage.data_planes) {
            held.push(process.lock().await);
        }
        let mut all: Vec<_> = held.iter_mut().map(|process| &mut **process).collect();
        wait_ready(&platform, &mut all, folder).await?;
    }
    settle(&options.program, &stage.site, folder)?;
    let late = Arc::new(AtomicU64::new(0));
    let punctual = tokio::spawn(keeps_time(late.clone()));
    let stuck = Arc::new(AtomicU64::new(0));
    let writes = tokio::spawn(keeps_disk(folder.join("heartbeat"), stuck.clone()));
    let watched = platform.clone();
    let watch = tokio::spawn(async move { watched.watch().await });
    let lasts = Duration::from_secs_f64(schedule.seconds);
    let load = Load { seed: schedule.seed, rate: schedule.rate, lasts, greed: stage.greed.clone() };
    let (begun, begun_at) = (Instant::now(), stage.history.at(std::time::Instant::now()));
    let played = async {
        tokio::join!(
            load.play(platform.clone(), stage.history.clone(), Tallies::default()),
            stage.troubled(&schedule.faults, begun)
        );
    };
    tokio::select! {
        () = played => {}
        () = stage.looked_at() => {}
    }
    watch.abort();
    punctual.abort();
    stage.look_for_ends();
    stage.operator.lock().await.read_back().await;
    let mut processes = Vec::new();
    for process in stage.control_planes.iter().chain(&stage.data_planes) {
        processes.push(process.lock().await);
    }
    let mut all: Vec<_> = processes.iter_mut().map(|process| &mut **process).collect();
    let names: Vec<_> = all.iter().map(|process| process.name().to_owned()).collect();
    for killed in fleet::end(&mut all).await {
        let Some(number) = names.iter().position(|name| *name == killed) else { continue };
        let (data_plane, control_planes) = (number >= stage.control_planes.len(), stage.control_planes.len());
        let machine = if data_plane { number - control_planes } else { number };
        let process_event = ProcessEvent::Wrong("did not end when told to".to_owned());
        stage.history.note(Event::Process { machine, data_plane, process_event });
    }
    drop(processes);
    writes.abort();
    for backend in &stage.backends {
        backend.lock().await.end();
    }
    let (lines, full) = stage.history.take();
    let late = Duration::from_micros(late.load(Ordering::Relaxed));
    let stuck = Duration::from_micros(stuck.load(Ordering::Relaxed));
    let failed = stage.failed.borrow().join("; ");
    let void = if full {
        Some("the history is full".to_owned())
    } else if late > MOST_LATE {
        Some(format!("the tool itself was {} ms late", late.as_millis()))
    } else if stuck > MOST_STUCK {
        // Votes, changes and ends of control planes wait for it.
        Some(format!("the disk took {} ms for a few bytes of the tool", stuck.as_millis()))
    } else if stage.net.failed() > 0 {
        Some(format!("the tool's own relays failed {} times: {}", stage.net.failed(), stage.net.failure()))
    } else {
        (!failed.is_empty()).then_some(failed)
    };
    let verdict = judge(&lines, &TIME_BOUNDS, void);
    let figures = Figures::of(&schedule, &verdict, &lines, begun_at);
    if let Some(keep) = &options.keep {
        write_down(&keep.join(schedule.folder()), folder, &schedule, &lines, &verdict, begun_at)?;
    }
    Ok(Played { schedule, verdict, figures })
}

fn write_down(
    keep: &Path, folder: &Path, schedule: &Schedule, lines: &[Record], verdict: &Verdict, begun: u64,
) -> Result<(), Failure> {
    std::fs::create_dir_all(keep).map_err(Failure::file(keep))?;
    let write = |name: &str, text: String| {
        let path = keep.join(name);
        std::fs::write(&path, text).map_err(Failure::file(&path))
    };
    let mut text = String::new();
    for line in lines {
        text.push_str(&serde_json::to_string(line).unwrap_or_default());
        text.push('\n');
    }
    write("history.jsonl", text)?;
    write("verdict.json", serde_json::to_string_pretty(verdict).unwrap_or_default())?;
    write(
        "page.html",
        page::page(schedule, lines, verdict, begun).unwrap_or_else(|error| error.to_string()),
    )?;
    let logs = folder.join("logs");
    for log in std::fs::read_dir(&logs).map_err(Failure::file(&logs))?.flatten() {
        std::fs::copy(log.path(), keep.join(log.file_name())).map_err(Failure::file(log.path()))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_two_trials_have_the_same_addresses() {
        let sites: Vec<_> = (0..4).map(|_| site().expect("there are many")).collect();
        let mut ips: Vec<_> = sites.iter().map(|(site, _)| site.backend(0)).collect();
        // Another run that begins at the same number.
        let (_, claim) = &sites[0];
        assert!(TcpListener::bind(claim.local_addr().expect("bound")).is_err());
        ips.sort_unstable();
        ips.dedup();
        assert_eq!(ips.len(), 4);
    }
}
