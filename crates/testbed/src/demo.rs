//! The demo: starts a fleet, puts load and a disruption on it, checks what was observed and stops it.

use crate::backend::{BackendOptions, StandInBackend};
use crate::clients::Platform;
use crate::control::Control;
use crate::error::TestbedError;
use crate::fleet::{self, Process, ProcessOptions};
use crate::history::{Event, History, ProcessEvent};
use crate::judge::{TimeBounds, judge};
use crate::load::{Load, LoadFactor, Tallies};
use crate::operator::Operator;
use crate::plan::{APPLY_MS, DRAIN_MS, FIRST_VERSION, SERVICES};
use crate::report::{CpuUse, Progress, format_verdict, print, tables};
use crate::scenario::{Environment, SMALL_TENANT_FACTOR, Scenario};
use crate::site::{Site, VOTERS, ZONES};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout for the start of a fleet.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Polling interval during the start.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of progress messages.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(3);
/// Zones with backends: one backend of each service per zone.
const ZONES_OF_BACKENDS: [&str; 3] = ["north", "south", "east"];

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Time bounds of the judge; the settings files contain the same values of `drain`, `apply` and `grace`.
pub const TIME_BOUNDS: TimeBounds = TimeBounds {
    drain: DRAIN_MS * 1000,
    apply: APPLY_MS * 1000,
    contact: 3_000_000,
    grace: 6_000_000,
    recovery: 5_000_000,
};

/// The program that runs the processes.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable.
    pub file: PathBuf,
    /// Arguments before the name of the plane (control or data).
    pub before: Vec<String>,
    /// Arguments after the name of the plane (control or data).
    pub after: Vec<String>,
}

impl Program {
    fn process_options(&self, name: String, plane: &str, settings: PathBuf, log: PathBuf) -> ProcessOptions {
        let plane = std::iter::once(plane.to_owned());
        let arguments = self.before.iter().cloned().chain(plane).chain(self.after.iter().cloned()).collect();
        ProcessOptions { name, program: self.file.clone(), arguments, settings, log }
    }

    /// Start options of a control plane, with files below `directory`.
    pub fn control_plane(&self, directory: &Path, machine: usize) -> ProcessOptions {
        let name = format!("machine-{}-control-plane", machine + 1);
        let (settings, log) = settings_and_log(directory, &name);
        self.process_options(name, "control-plane", settings, log)
    }

    /// Writes all settings files and starts the control planes and data planes of a new fleet.
    ///
    /// # Errors
    /// Returns an error when a file cannot be written or a process cannot be started.
    pub fn start_all(
        &self, directory: &Path, site: &Site,
    ) -> Result<(Vec<Process>, Vec<Process>), TestbedError> {
        create_directories(directory)?;
        let mut control_planes = Vec::new();
        let mut data_planes = Vec::new();
        for machine in 0..VOTERS {
            let options = self.control_plane(directory, machine);
            let text = site.control_plane_settings(machine, &data_directory(directory, machine), true);
            std::fs::write(&options.settings, text).map_err(TestbedError::file(&options.settings))?;
            control_planes.push(Process::start(options)?);
        }
        for machine in 0..ZONES.len() {
            let options = self.data_plane(directory, machine);
            std::fs::write(&options.settings, site.data_plane_settings(machine))
                .map_err(TestbedError::file(&options.settings))?;
            data_planes.push(Process::start(options)?);
        }
        Ok((control_planes, data_planes))
    }

    /// Start options of a process of hollow data planes, with files below `directory`.
    pub fn hollow(&self, directory: &Path, number: usize, settings: PathBuf) -> ProcessOptions {
        let name = format!("hollow-{number}");
        let (_, log) = settings_and_log(directory, &name);
        self.process_options(name, "hollow", settings, log)
    }

    /// Start options of a data plane, with files below `directory`.
    pub fn data_plane(&self, directory: &Path, machine: usize) -> ProcessOptions {
        let name = format!("machine-{}-data-plane", machine + 1);
        let (settings, log) = settings_and_log(directory, &name);
        self.process_options(name, "data-plane", settings, log)
    }
}

fn settings_and_log(directory: &Path, name: &str) -> (PathBuf, PathBuf) {
    (
        directory.join("settings").join(format!("{name}.toml")),
        directory.join("logs").join(format!("{name}.log")),
    )
}

/// Data directory of a control plane.
pub fn data_directory(directory: &Path, machine: usize) -> PathBuf {
    directory.join("data").join(format!("machine-{}", machine + 1))
}

/// Creates the directories of a fleet.
///
/// # Errors
/// Returns an error when a directory cannot be created.
pub fn create_directories(directory: &Path) -> Result<(), TestbedError> {
    let inner = ["settings", "logs"].map(|name| directory.join(name));
    for directory in inner.into_iter().chain((0..VOTERS).map(|machine| data_directory(directory, machine))) {
        std::fs::create_dir_all(&directory).map_err(TestbedError::file(&directory))?;
    }
    Ok(())
}

/// Starts one backend of each service in each zone.
///
/// # Errors
/// Returns an error when an address cannot be bound.
pub fn backends(
    services: &[&str], at: impl Fn(usize) -> IpAddr, control: impl Fn(usize) -> Control, seed: u64,
    history: Option<&Arc<History>>,
) -> Result<Vec<Arc<StandInBackend>>, TestbedError> {
    let mut backends = Vec::new();
    for service in services {
        for zone in ZONES_OF_BACKENDS {
            backends.push(StandInBackend::start(BackendOptions {
                service: (*service).to_owned(),
                zone: zone.to_owned(),
                at: SocketAddr::new(at(backends.len()), 0),
                seed: crate::random::mix(seed).wrapping_add(backends.len() as u64),
                warm: true,
                control: control(backends.len()),
                history: history.cloned(),
            })?);
        }
    }
    Ok(backends)
}

/// Waits until all data planes are ready.
///
/// # Errors
/// Returns an error when a process exits or on timeout.
pub async fn wait_ready(
    platform: &Platform, processes: &mut [&mut Process], directory: &Path,
) -> Result<(), TestbedError> {
    let until = Instant::now() + START_TIMEOUT;
    let wanted = ZONES.len();
    loop {
        for process in &mut *processes {
            if let Some(status) = process.exit_status() {
                let log = directory.join("logs").join(format!("{}.log", process.name()));
                let log_text = std::fs::read_to_string(&log).unwrap_or_default();
                let last_line =
                    log_text.lines().rfind(|line| !line.trim().is_empty()).unwrap_or("no output").to_owned();
                return Err(TestbedError::ProcessExited {
                    name: process.name().to_owned(),
                    status,
                    last_line,
                    log,
                });
            }
        }
        let ready = platform.count_ready().await;
        if ready == wanted {
            return Ok(());
        }
        if Instant::now() > until {
            let what = format!("{ready} of {wanted} data planes are ready");
            return Err(TestbedError::Timeout { what, within: START_TIMEOUT, logs: directory.join("logs") });
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends the first configuration.
///
/// # Errors
/// Returns an error when the configuration is rejected or not acknowledged in time.
pub async fn send_first_configuration(operator: &Operator, directory: &Path) -> Result<(), TestbedError> {
    match operator.first(Instant::now() + START_TIMEOUT).await {
        Some(answer) if answer.status.is_success() => Ok(()),
        Some(answer) => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            Err(TestbedError::ConfigurationRejected { status: answer.status.as_u16(), body })
        }
        None => {
            let what = "the first configuration was not acknowledged".to_owned();
            Err(TestbedError::Timeout { what, within: START_TIMEOUT, logs: directory.join("logs") })
        }
    }
}

/// Rewrites the settings of the control planes without `bootstrap`, since a restarted one must join the existing fleet.
///
/// # Errors
/// Returns an error when a settings file cannot be written.
pub fn disable_bootstrap(program: &Program, site: &Site, directory: &Path) -> Result<(), TestbedError> {
    for machine in 0..VOTERS {
        let settings = program.control_plane(directory, machine).settings;
        let text = site.control_plane_settings(machine, &data_directory(directory, machine), false);
        std::fs::write(&settings, text).map_err(TestbedError::file(&settings))?;
    }
    Ok(())
}

/// Waits for a signal that asks the program to terminate, and returns the signal's name.
pub async fn termination_signal() -> &'static str {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut term) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return std::future::pending().await };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => "Ctrl-C",
        _ = term.recv() => "SIGTERM",
        _ = hangup.recv() => "SIGHUP",
    }
}

/// A demo.
#[derive(Clone, Debug)]
pub struct Demo {
    /// The program that runs the processes.
    pub program: Program,
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Requests per second.
    pub rate: f64,
    /// The disruption.
    pub scenario: Scenario,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether to keep the directory with settings and logs.
    pub keep: bool,
}

impl Demo {
    /// Runs the demo. Returns true when no rule was broken.
    ///
    /// # Errors
    /// Returns an error when the fleet cannot be started or the demo is terminated.
    pub async fn run(&self) -> Result<bool, TestbedError> {
        fault_injection::running::kill_all_on_panic();
        tokio::select! {
            done = self.run_to_end() => done,
            // Child processes are killed when the future that owns them is dropped.
            why = termination_signal() => Err(TestbedError::Terminated(why)),
        }
    }

    async fn run_to_end(&self) -> Result<bool, TestbedError> {
        let temp_dir = tempfile::Builder::new().prefix("testbed-").disable_cleanup(self.keep).tempdir();
        let temp_dir = temp_dir.map_err(TestbedError::file(std::env::temp_dir()))?;
        let directory = temp_dir.path();
        let progress = Progress::default();
        // Derives the addresses from the process id, so that other fleets on this machine use other addresses.
        let pid = std::process::id();
        let site = Site::find(64 + (pid >> 8) as u8 % 128, pid as u8, u64::from(pid))?;
        let (mut control_planes, mut data_planes) = self.program.start_all(directory, &site)?;
        progress.report(format!(
            "{} control planes and {} data planes start; logs in {}",
            VOTERS,
            ZONES.len(),
            directory.join("logs").display()
        ));
        let control: Vec<_> = (0..VOTERS).map(|machine| site.control(machine)).collect();
        let control = Control::new(control);
        let history = Arc::new(History::default());
        let services = SERVICES.map(|(label, _)| label);
        let backends = backends(&services, |_| LOOPBACK, |_| control.clone(), self.seed, Some(&history))?;
        let fronts: Vec<_> = (0..ZONES.len()).map(|machine| site.front(machine)).collect();
        let operator = Operator::new(control.clone(), fronts.clone(), history.clone());
        send_first_configuration(&operator, directory).await?;
        progress.report(format!("r{FIRST_VERSION} is acknowledged"));
        let readiness = (0..ZONES.len()).map(|machine| site.readiness(machine)).collect();
        let platform = Arc::new(Platform::new(fronts, readiness));
        let mut all: Vec<_> = control_planes.iter_mut().chain(&mut data_planes).collect();
        wait_ready(&platform, &mut all, directory).await?;
        disable_bootstrap(&self.program, &site, directory)?;
        progress.report(format!(
            "all data planes are ready; {} requests a second for {} s",
            self.rate, self.seconds
        ));
        let duration = Duration::from_secs(self.seconds);
        let mut environment = Environment {
            control_planes,
            data: (0..VOTERS).map(|machine| data_directory(directory, machine)).collect(),
            data_planes,
            control,
            operator,
            backends,
            history: history.clone(),
            progress,
            duration,
            seed: self.seed,
        };
        let before = [cpu_time(&environment.control_planes), cpu_time(&environment.data_planes)];
        let last_tenant_factor =
            LoadFactor::new(if self.scenario == Scenario::Quota { SMALL_TENANT_FACTOR } else { 1.0 });
        let load = Load { seed: self.seed, rate: self.rate, duration, last_tenant_factor };
        let tallies = Tallies::default();
        let watched = platform.clone();
        let platform_watch = tokio::spawn(async move { watched.poll_readiness().await });
        tokio::select! {
            done = async {
                let ((), done) = tokio::join!(
                    load.run(platform.clone(), history.clone(), tallies.clone()),
                    environment.run(self.scenario)
                );
                done
            } => done?,
            () = print_progress(progress, tallies.clone()) => {}
        }
        platform_watch.abort();
        let after = [cpu_time(&environment.control_planes), cpu_time(&environment.data_planes)];
        progress.report("the load has ended");
        environment.operator.read_back().await;
        let Environment { mut control_planes, mut data_planes, backends, .. } = environment;
        record_exits(&mut control_planes, &mut data_planes, &history);
        control_planes.append(&mut data_planes);
        let killed_names = fleet::stop_all(&mut control_planes.iter_mut().collect::<Vec<_>>()).await;
        if !killed_names.is_empty() {
            progress.report(format!(
                "killed after {} s without reaction to SIGTERM: {}",
                fleet::GRACE.as_secs(),
                killed_names.join(", ")
            ));
        }
        backends.iter().for_each(|backend| backend.end());
        let (lines, full) = history.take();
        let verdict = judge(&lines, &TIME_BOUNDS, full.then(|| "the history is full".to_owned()));
        let cpu_time = [
            CpuUse { name: "data planes", count: ZONES.len(), time: after[1].saturating_sub(before[1]) },
            CpuUse { name: "control planes", count: VOTERS, time: after[0].saturating_sub(before[0]) },
        ];
        let report = tables(&tallies, &cpu_time, &verdict.uses) + &format_verdict(&verdict);
        print(report);
        Ok(verdict.void.is_none() && verdict.total() == 0)
    }
}

/// Records processes that exited unexpectedly.
pub fn record_exits(control_planes: &mut [Process], data_planes: &mut [Process], history: &History) {
    for (data_plane, processes) in [(false, control_planes), (true, data_planes)] {
        for (machine, process) in processes.iter_mut().enumerate() {
            if let Some(status) = process.exit_status() {
                let process_event = ProcessEvent::Wrong(format!("exited unexpectedly: {status}"));
                history.record(Event::Process { machine, data_plane, process_event });
            }
        }
    }
}

fn cpu_time(processes: &[Process]) -> Duration {
    processes.iter().map(Process::cpu_time).sum()
}

/// Prints progress periodically; never returns.
async fn print_progress(progress: Progress, tallies: Tallies) {
    let mut before = (0, 0, 0);
    loop {
        sleep(PROGRESS_INTERVAL).await;
        let now = tallies.counts();
        let (total, served, within_goal) = (now.0 - before.0, now.1 - before.1, now.2 - before.2);
        progress.report(format!("{total} requests ended, {served} served, {within_goal} within goal"));
        before = now;
    }
}
