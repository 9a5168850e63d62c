//! Trials: real processes with simulated clients, backends and operator, a relay on every link, injected faults, and an
//! evaluation of what clients, backends and the operator observed.

mod draw;
mod environment;
mod misbehaving_client;
mod page;
mod parties;
mod results;
pub mod schedule;
pub mod several;

use crate::clients::Platform;
use crate::demo::{Program, TIME_BOUNDS, disable_bootstrap, send_first_configuration, wait_ready};
use crate::error::TestbedError as Error;
use crate::fleet;
use crate::history::{Event, ProcessEvent, Record};
use crate::judge::{Verdict, judge};
use crate::load::{Load, Tallies};
use crate::site::{Site, ZONES};
use environment::Environment;
use fault_injection::clock::{MAX_CLOCK_DELAY, MAX_WRITE_TIME, measure_clock_delay, measure_write_time};
pub use results::{Figures, compare};
use schedule::Schedule;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Options of a trial run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that runs the processes under test.
    pub program: Program,
    /// Directory for histories, logs and pages; without it, they are not kept.
    pub keep: Option<PathBuf>,
}

/// A completed trial.
#[derive(Debug)]
pub struct CompletedTrial {
    /// The schedule that was run.
    pub schedule: Schedule,
    /// The judge's verdict.
    pub verdict: Verdict,
    /// The trial's figures.
    pub figures: Figures,
}

/// Listening on this port claims an address block for one trial.
const CLAIM_PORT: u16 = 18_390;
/// Number of address blocks.
const ADDRESS_BLOCKS: u32 = 128 * 32;

/// Finds a site in an address block that no other trial on this machine uses while the returned listener is held.
fn site() -> Result<(Site, TcpListener), Error> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(64).wrapping_add(NUMBER.fetch_add(1, Ordering::Relaxed));
    for index in (0..ADDRESS_BLOCKS).map(|more| first.wrapping_add(more)) {
        // Eight /24 networks per block: one for the machines' own addresses, and one per machine for its relayed links.
        let (a, b) = (64 + (index / 32 % 128) as u8, (index % 32) as u8 * 8);
        if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, a, b, 250), CLAIM_PORT)) {
            return Ok((Site::find(a, b, u64::from(index) * 7)?.with_relays(), claim));
        }
    }
    Err(Error::Ports("127.64.0.0 to 127.191.255.255".to_owned()))
}

/// Runs a trial to completion. Must run on a `LocalSet` of the thread that starts the processes.
///
/// # Errors
/// Returns an error when something cannot be started or written.
pub async fn run(schedule: Schedule, options: &Options) -> Result<CompletedTrial, Error> {
    match run_schedule(schedule.clone(), options).await {
        // A fleet that does not start in time suggests an overloaded machine, so the trial has no verdict. Demos check
        // that a fleet starts in time.
        Err(Error::Timeout { what, within, .. }) => {
            let void = Some(format!("not run: after {} s {what}", within.as_secs()));
            let verdict = Verdict { void, ..Verdict::default() };
            let figures = Figures::of(&schedule, &verdict, &[], 0);
            Ok(CompletedTrial { schedule, verdict, figures })
        }
        result => result,
    }
}

async fn run_schedule(schedule: Schedule, options: &Options) -> Result<CompletedTrial, Error> {
    let temp_dir = tempfile::Builder::new().prefix("testbed-trial-").tempdir();
    let temp_dir = temp_dir.map_err(Error::file(std::env::temp_dir()))?;
    let directory = temp_dir.path();
    let (site, _claim) = site()?;
    let environment = Rc::new(Environment::start(&options.program, directory, site, schedule.seed)?);
    send_first_configuration(&*environment.operator.lock().await, directory).await?;
    let readiness = (0..ZONES.len()).map(|machine| environment.site.readiness(machine)).collect();
    let platform = Arc::new(Platform::new(environment.fronts.to_vec(), readiness));
    {
        let mut guards = Vec::new();
        for process in environment.control_planes.iter().chain(&environment.data_planes) {
            guards.push(process.lock().await);
        }
        let mut all: Vec<_> = guards.iter_mut().map(|process| &mut **process).collect();
        wait_ready(&platform, &mut all, directory).await?;
    }
    disable_bootstrap(&options.program, &environment.site, directory)?;
    let late = Arc::new(AtomicU64::new(0));
    let clock_check = tokio::spawn(measure_clock_delay(late.clone()));
    let disk_delay = Arc::new(AtomicU64::new(0));
    let disk_check = tokio::spawn(measure_write_time(directory.join("heartbeat"), disk_delay.clone()));
    let polled = platform.clone();
    let poll = tokio::spawn(async move { polled.poll_readiness().await });
    let duration = Duration::from_secs_f64(schedule.seconds);
    let load = Load {
        seed: schedule.seed,
        rate: schedule.rate,
        duration,
        last_tenant_factor: environment.last_tenant_factor.clone(),
    };
    let (load_start, started_at) = (Instant::now(), environment.history.at(std::time::Instant::now()));
    let result = async {
        tokio::join!(
            load.run(platform.clone(), environment.history.clone(), Tallies::default()),
            environment.inject_faults(&schedule.faults, load_start)
        );
    };
    tokio::select! {
        () = result => {}
        () = environment.observe() => {}
    }
    poll.abort();
    clock_check.abort();
    environment.record_exits();
    environment.operator.lock().await.read_back().await;
    let mut processes = Vec::new();
    for process in environment.control_planes.iter().chain(&environment.data_planes) {
        processes.push(process.lock().await);
    }
    let mut all: Vec<_> = processes.iter_mut().map(|process| &mut **process).collect();
    let names: Vec<_> = all.iter().map(|process| process.name().to_owned()).collect();
    for killed_name in fleet::stop_all(&mut all).await {
        let Some(index) = names.iter().position(|name| *name == killed_name) else { continue };
        let (data_plane, control_planes) =
            (index >= environment.control_planes.len(), environment.control_planes.len());
        let machine = if data_plane { index - control_planes } else { index };
        let process_event = ProcessEvent::Wrong("did not exit after SIGTERM".to_owned());
        environment.history.record(Event::Process { machine, data_plane, process_event });
    }
    drop(processes);
    disk_check.abort();
    for backend in &environment.backends {
        backend.lock().await.end();
    }
    let (lines, history_full) = environment.history.take();
    let late = Duration::from_micros(late.load(Ordering::Relaxed));
    let disk_delay = Duration::from_micros(disk_delay.load(Ordering::Relaxed));
    let failed = environment.injection_errors.borrow().join("; ");
    let void = if history_full {
        Some("the history is full".to_owned())
    } else if late > MAX_CLOCK_DELAY {
        Some(format!("the testbed itself was delayed by {} ms", late.as_millis()))
    } else if disk_delay > MAX_WRITE_TIME {
        // Control planes wait for the disk in elections, configuration changes and shutdowns, so a slow disk delays
        // these steps.
        Some(format!("a small disk write of the testbed took {} ms", disk_delay.as_millis()))
    } else if environment.net.failure_count() > 0 {
        Some(format!(
            "the testbed's own relays failed {} times: {}",
            environment.net.failure_count(),
            environment.net.last_failure()
        ))
    } else {
        (!failed.is_empty()).then_some(failed)
    };
    let verdict = judge(&lines, &TIME_BOUNDS, void);
    let figures = Figures::of(&schedule, &verdict, &lines, started_at);
    if let Some(keep) = &options.keep {
        write_results(
            &keep.join(schedule.directory_name()),
            directory,
            &schedule,
            &lines,
            &verdict,
            started_at,
        )?;
    }
    Ok(CompletedTrial { schedule, verdict, figures })
}

fn write_results(
    keep: &Path, directory: &Path, schedule: &Schedule, lines: &[Record], verdict: &Verdict, load_start: u64,
) -> Result<(), Error> {
    std::fs::create_dir_all(keep).map_err(Error::file(keep))?;
    let write = |name: &str, text: String| {
        let path = keep.join(name);
        std::fs::write(&path, text).map_err(Error::file(&path))
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
        page::page(schedule, lines, verdict, load_start).unwrap_or_else(|error| error.to_string()),
    )?;
    let logs = directory.join("logs");
    for log in std::fs::read_dir(&logs).map_err(Error::file(&logs))?.flatten() {
        std::fs::copy(log.path(), keep.join(log.file_name())).map_err(Error::file(log.path()))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn concurrent_trials_use_different_addresses() {
        let sites: Vec<_> = (0..4).map(|_| site().expect("a free address block")).collect();
        let mut ips: Vec<_> = sites.iter().map(|(site, _)| site.backend(0)).collect();
        // Simulates a concurrent run that tries the same block first.
        let (_, claim) = &sites[0];
        assert!(TcpListener::bind(claim.local_addr().expect("the listener has an address")).is_err());
        ips.sort_unstable();
        ips.dedup();
        assert_eq!(ips.len(), 4);
    }
}
