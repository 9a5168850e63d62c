//! The demo: starts a fleet, puts load and a disruption on it, checks what was observed and stops it.

use crate::backend::{Cradle, StandInBackend};
use crate::clients::Platform;
use crate::control::Control;
use crate::fault::Fault;
use crate::fleet::{self, Backend, Process};
use crate::history::{Event, History, ProcessEvent};
use crate::judge::{TimeBounds, judge};
use crate::load::{Greed, Load, Tallies};
use crate::operator::Operator;
use crate::plan::{APPLY_MS, DRAIN_MS, FIRST, SERVICES};
use crate::report::{Spent, Teller, judgement, print, tables};
use crate::site::{Site, VOTERS, ZONES};
use crate::trouble::{GREED, Scene, Trouble};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout for the start of a fleet.
const COMES_UP: Duration = Duration::from_secs(30);
/// Polling interval during the start.
const LOOKS: Duration = Duration::from_millis(20);
/// Interval of progress messages.
const TELLS: Duration = Duration::from_secs(3);
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
    /// Arguments before the name of the plane.
    pub before: Vec<String>,
    /// Arguments after the name of the plane.
    pub after: Vec<String>,
}

impl Program {
    fn backend(&self, name: String, plane: &str, settings: PathBuf, log: PathBuf) -> Backend {
        let plane = std::iter::once(plane.to_owned());
        let arguments = self.before.iter().cloned().chain(plane).chain(self.after.iter().cloned()).collect();
        Backend { name, program: self.file.clone(), arguments, settings, log }
    }

    /// Start options of a control plane, with files below `folder`.
    pub fn control_plane(&self, folder: &Path, machine: usize) -> Backend {
        let name = format!("machine-{}-control-plane", machine + 1);
        let (settings, log) = files(folder, &name);
        self.backend(name, "control-plane", settings, log)
    }

    /// Writes all settings files and starts the control planes and data planes of a new fleet.
    ///
    /// # Errors
    /// Returns an error when a file cannot be written or a process cannot be started.
    pub fn start_all(&self, folder: &Path, site: &Site) -> Result<(Vec<Process>, Vec<Process>), Fault> {
        make_folders(folder)?;
        let mut control_planes = Vec::new();
        let mut data_planes = Vec::new();
        for machine in 0..VOTERS {
            let backend = self.control_plane(folder, machine);
            let text = site.control_plane_settings(machine, &data(folder, machine), true);
            std::fs::write(&backend.settings, text).map_err(Fault::file(&backend.settings))?;
            control_planes.push(Process::start(backend)?);
        }
        for machine in 0..ZONES.len() {
            let backend = self.data_plane(folder, machine);
            std::fs::write(&backend.settings, site.data_plane_settings(machine))
                .map_err(Fault::file(&backend.settings))?;
            data_planes.push(Process::start(backend)?);
        }
        Ok((control_planes, data_planes))
    }

    /// Start options of a process of hollow data planes, with files below `folder`.
    pub fn hollow(&self, folder: &Path, number: usize, settings: PathBuf) -> Backend {
        let name = format!("hollow-{number}");
        let (_, log) = files(folder, &name);
        self.backend(name, "hollow", settings, log)
    }

    /// Start options of a data plane, with files below `folder`.
    pub fn data_plane(&self, folder: &Path, machine: usize) -> Backend {
        let name = format!("machine-{}-data-plane", machine + 1);
        let (settings, log) = files(folder, &name);
        self.backend(name, "data-plane", settings, log)
    }
}

fn files(folder: &Path, name: &str) -> (PathBuf, PathBuf) {
    (folder.join("settings").join(format!("{name}.toml")), folder.join("logs").join(format!("{name}.log")))
}

/// Data folder of a control plane.
pub fn data(folder: &Path, machine: usize) -> PathBuf {
    folder.join("data").join(format!("machine-{}", machine + 1))
}

/// Creates the folders of a fleet.
///
/// # Errors
/// Returns an error when a folder cannot be created.
pub fn make_folders(folder: &Path) -> Result<(), Fault> {
    let inner = ["settings", "logs"].map(|name| folder.join(name));
    for folder in inner.into_iter().chain((0..VOTERS).map(|machine| data(folder, machine))) {
        std::fs::create_dir_all(&folder).map_err(Fault::file(&folder))?;
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
) -> Result<Vec<Arc<StandInBackend>>, Fault> {
    let mut backends = Vec::new();
    for service in services {
        for zone in ZONES_OF_BACKENDS {
            backends.push(StandInBackend::start(Cradle {
                service: (*service).to_owned(),
                zone: zone.to_owned(),
                at: SocketAddr::new(at(backends.len()), 0),
                seed: crate::chance::mix(seed).wrapping_add(backends.len() as u64),
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
    platform: &Platform, processes: &mut [&mut Process], folder: &Path,
) -> Result<(), Fault> {
    let until = Instant::now() + COMES_UP;
    let wanted = ZONES.len();
    loop {
        for process in &mut *processes {
            if let Some(status) = process.ended() {
                let log = folder.join("logs").join(format!("{}.log", process.name()));
                let said = std::fs::read_to_string(&log).unwrap_or_default();
                let words =
                    said.lines().rfind(|line| !line.trim().is_empty()).unwrap_or("said nothing").to_owned();
                return Err(Fault::Died { name: process.name().to_owned(), status, words, log });
            }
        }
        let ready = platform.count_ready().await;
        if ready == wanted {
            return Ok(());
        }
        if Instant::now() > until {
            let what = format!("{ready} of {wanted} data planes are ready");
            return Err(Fault::Late { what, within: COMES_UP, logs: folder.join("logs") });
        }
        sleep(LOOKS).await;
    }
}

/// Sends the first configuration.
///
/// # Errors
/// Returns an error when the configuration is rejected or not acknowledged in time.
pub async fn first_order(operator: &Operator, folder: &Path) -> Result<(), Fault> {
    match operator.first(Instant::now() + COMES_UP).await {
        Some(answer) if answer.status.is_success() => Ok(()),
        Some(answer) => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            Err(Fault::Order { status: answer.status.as_u16(), body })
        }
        None => {
            let what = "the first configuration is not acknowledged".to_owned();
            Err(Fault::Late { what, within: COMES_UP, logs: folder.join("logs") })
        }
    }
}

/// Rewrites the settings of the control planes without `bootstrap`, since a restarted one must join the existing fleet.
///
/// # Errors
/// Returns an error when a settings file cannot be written.
pub fn settle(program: &Program, site: &Site, folder: &Path) -> Result<(), Fault> {
    for machine in 0..VOTERS {
        let settings = program.control_plane(folder, machine).settings;
        let text = site.control_plane_settings(machine, &data(folder, machine), false);
        std::fs::write(&settings, text).map_err(Fault::file(&settings))?;
    }
    Ok(())
}

/// Waits for a signal that asks the program to terminate, and returns the signal's name.
pub async fn told_to_end() -> &'static str {
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
    pub trouble: Trouble,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether to keep the folder with settings and logs.
    pub keep: bool,
}

impl Demo {
    /// Runs the demo. Returns true when no rule was broken.
    ///
    /// # Errors
    /// Returns an error when the fleet cannot be started or the demo is terminated.
    pub async fn run(&self) -> Result<bool, Fault> {
        fault_injection::running::end_with_panics();
        tokio::select! {
            done = self.play() => done,
            // Child processes are killed when the future that owns them is dropped.
            why = told_to_end() => Err(Fault::Ended(why)),
        }
    }

    async fn play(&self) -> Result<bool, Fault> {
        let place = tempfile::Builder::new().prefix("testbed-").disable_cleanup(self.keep).tempdir();
        let place = place.map_err(Fault::file(std::env::temp_dir()))?;
        let folder = place.path();
        let teller = Teller::default();
        // Derive the addresses from the process id, so that fleets of other processes on this machine use other ones.
        let pid = std::process::id();
        let site = Site::find(64 + (pid >> 8) as u8 % 128, pid as u8, u64::from(pid))?;
        let (mut control_planes, mut data_planes) = self.program.start_all(folder, &site)?;
        teller.say(format!(
            "{} control planes and {} data planes start; logs in {}",
            VOTERS,
            ZONES.len(),
            folder.join("logs").display()
        ));
        let control: Vec<_> = (0..VOTERS).map(|machine| site.control(machine)).collect();
        let control = Control::new(control);
        let history = Arc::new(History::default());
        let services = SERVICES.map(|(label, _)| label);
        let backends = backends(&services, |_| LOOPBACK, |_| control.clone(), self.seed, Some(&history))?;
        let fronts: Vec<_> = (0..ZONES.len()).map(|machine| site.front(machine)).collect();
        let operator = Operator::new(control.clone(), fronts.clone(), history.clone());
        first_order(&operator, folder).await?;
        teller.say(format!("r{FIRST} is acknowledged"));
        let readiness = (0..ZONES.len()).map(|machine| site.readiness(machine)).collect();
        let platform = Arc::new(Platform::new(fronts, readiness));
        let mut all: Vec<_> = control_planes.iter_mut().chain(&mut data_planes).collect();
        wait_ready(&platform, &mut all, folder).await?;
        settle(&self.program, &site, folder)?;
        teller.say(format!(
            "all data planes are ready; {} requests a second for {} s",
            self.rate, self.seconds
        ));
        let duration = Duration::from_secs(self.seconds);
        let mut scene = Scene {
            control_planes,
            data: (0..VOTERS).map(|machine| data(folder, machine)).collect(),
            data_planes,
            control,
            operator,
            backends,
            history: history.clone(),
            teller,
            duration,
            seed: self.seed,
        };
        let before = [spent(&scene.control_planes), spent(&scene.data_planes)];
        let greed = Greed::new(if self.trouble == Trouble::Quota { GREED } else { 1.0 });
        let load = Load { seed: self.seed, rate: self.rate, duration, greed };
        let tallies = Tallies::default();
        let watched = platform.clone();
        let platform_watch = tokio::spawn(async move { watched.poll_readiness().await });
        tokio::select! {
            done = async {
                let ((), done) = tokio::join!(
                    load.run(platform.clone(), history.clone(), tallies.clone()),
                    scene.play(self.trouble)
                );
                done
            } => done?,
            () = tell(teller, tallies.clone()) => {}
        }
        platform_watch.abort();
        let after = [spent(&scene.control_planes), spent(&scene.data_planes)];
        teller.say("the load is over");
        scene.operator.read_back().await;
        let Scene { mut control_planes, mut data_planes, backends, .. } = scene;
        look_for_ends(&mut control_planes, &mut data_planes, &history);
        control_planes.append(&mut data_planes);
        let killed = fleet::end(&mut control_planes.iter_mut().collect::<Vec<_>>()).await;
        if !killed.is_empty() {
            teller.say(format!(
                "had to be killed, {} s after SIGTERM: {}",
                fleet::GRACE.as_secs(),
                killed.join(", ")
            ));
        }
        backends.iter().for_each(|backend| backend.end());
        let (lines, full) = history.take();
        let verdict = judge(&lines, &TIME_BOUNDS, full.then(|| "the history is full".to_owned()));
        let spent = [
            Spent { name: "data planes", count: ZONES.len(), time: after[1].saturating_sub(before[1]) },
            Spent { name: "control planes", count: VOTERS, time: after[0].saturating_sub(before[0]) },
        ];
        let told = tables(&tallies, &spent, &verdict.uses) + &judgement(&verdict);
        print(told);
        Ok(verdict.void.is_none() && verdict.total() == 0)
    }
}

/// Records processes that exited unexpectedly.
pub fn look_for_ends(control_planes: &mut [Process], data_planes: &mut [Process], history: &History) {
    for (data_plane, processes) in [(false, control_planes), (true, data_planes)] {
        for (machine, process) in processes.iter_mut().enumerate() {
            if let Some(status) = process.ended() {
                let process_event = ProcessEvent::Wrong(format!("exited unexpectedly: {status}"));
                history.note(Event::Process { machine, data_plane, process_event });
            }
        }
    }
}

fn spent(processes: &[Process]) -> Duration {
    processes.iter().map(Process::spent).sum()
}

/// Prints progress periodically; never returns.
async fn tell(teller: Teller, tallies: Tallies) {
    let mut before = (0, 0, 0);
    loop {
        sleep(TELLS).await;
        let now = tallies.counts();
        let (asked, served, in_aim) = (now.0 - before.0, now.1 - before.1, now.2 - before.2);
        teller.say(format!("{asked} requests ended, {served} served, {in_aim} in aim"));
        before = now;
    }
}
