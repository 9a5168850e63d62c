//! The demo: a harbour that is built, loaded, put in trouble, judged and taken down again.

use crate::backend::Backend;
use crate::clients::Platform;
use crate::control::Control;
use crate::fault::Fault;
use crate::fleet::{self, Berth, Process};
use crate::ledger::{Judged, Ledger};
use crate::load::{Load, Tallies};
use crate::plan::{FIRST, SERVICES, configuration};
use crate::report::{Spent, Teller, judgement, print, tables};
use crate::site::{MASTERS, Site, ZONES};
use crate::trouble::{GREED, Scene, Trouble};
use bytes::Bytes;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A harbour has this long to come up.
const COMES_UP: Duration = Duration::from_secs(30);
/// How often it is looked at until then.
const LOOKS: Duration = Duration::from_millis(20);
/// How often the demo says how it goes.
const TELLS: Duration = Duration::from_secs(3);
/// Backends of a service in each zone but the fourth machine's, which is the first one's.
const ZONES_OF_BACKENDS: [&str; 3] = ["north", "south", "east"];

/// What starts the processes.
#[derive(Clone, Debug)]
pub struct Program {
    /// The file.
    pub file: PathBuf,
    /// What comes before the name of the plane.
    pub before: Vec<String>,
    /// What comes after it.
    pub after: Vec<String>,
}

impl Program {
    fn berth(&self, name: String, plane: &str, settings: PathBuf, log: PathBuf) -> Berth {
        let plane = std::iter::once(plane.to_owned());
        let arguments = self.before.iter().cloned().chain(plane).chain(self.after.iter().cloned()).collect();
        Berth { name, program: self.file.clone(), arguments, settings, log }
    }

    /// A harbourmaster's place in a folder.
    pub fn master(&self, folder: &Path, machine: usize) -> Berth {
        let name = format!("machine-{}-harbourmaster", machine + 1);
        let (settings, log) = files(folder, &name);
        self.berth(name, "harbourmaster", settings, log)
    }

    /// A quay's place in a folder.
    pub fn quay(&self, folder: &Path, machine: usize) -> Berth {
        let name = format!("machine-{}-quay", machine + 1);
        let (settings, log) = files(folder, &name);
        self.berth(name, "quay", settings, log)
    }
}

fn files(folder: &Path, name: &str) -> (PathBuf, PathBuf) {
    (folder.join("settings").join(format!("{name}.toml")), folder.join("logs").join(format!("{name}.log")))
}

/// Where a harbourmaster keeps what outlives it.
pub fn data(folder: &Path, machine: usize) -> PathBuf {
    folder.join("data").join(format!("machine-{}", machine + 1))
}

/// The folders of a harbour.
///
/// # Errors
/// When one can't be made.
pub fn make_folders(folder: &Path) -> Result<(), Fault> {
    let inner = ["settings", "logs"].map(|name| folder.join(name));
    for folder in inner.into_iter().chain((0..MASTERS).map(|machine| data(folder, machine))) {
        std::fs::create_dir_all(&folder).map_err(Fault::file(&folder))?;
    }
    Ok(())
}

/// One backend of each service in each zone.
///
/// # Errors
/// When there is no address for one.
pub async fn backends(
    services: &[&str], control: &Control, seed: u64, ledger: Option<&Arc<Ledger>>,
) -> Result<Vec<Arc<Backend>>, Fault> {
    let mut backends = Vec::new();
    for service in services {
        for zone in ZONES_OF_BACKENDS {
            let number = crate::chance::mix(seed).wrapping_add(backends.len() as u64);
            let started = Backend::start(service, zone, number, true, control.clone(), ledger.cloned());
            backends.push(started.await?);
        }
    }
    Ok(backends)
}

/// Waits until all quays are ready, and gives up when a process ends.
///
/// # Errors
/// When one does, or when time is over.
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
            let what = format!("{ready} of {wanted} quays are ready");
            return Err(Fault::Late { what, within: COMES_UP, logs: folder.join("logs") });
        }
        sleep(LOOKS).await;
    }
}

/// Waits for a signal that wants the program's end.
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
    /// What starts the processes.
    pub program: Program,
    /// For how long there is load.
    pub seconds: u64,
    /// Requests a second.
    pub rate: f64,
    /// What happens.
    pub trouble: Trouble,
    /// Of all that is drawn.
    pub seed: u64,
    /// Whether the folder with settings and logs stays behind.
    pub keep: bool,
}

impl Demo {
    /// Runs it. True when the judge found nothing.
    ///
    /// # Errors
    /// When the harbour can't be built, or is told to end.
    pub async fn run(&self) -> Result<bool, Fault> {
        fleet::end_with_panics();
        tokio::select! {
            done = self.play() => done,
            // All processes go with the future that owns them.
            why = told_to_end() => Err(Fault::Ended(why)),
        }
    }

    async fn play(&self) -> Result<bool, Fault> {
        let place = tempfile::Builder::new().prefix("drydock-").disable_cleanup(self.keep).tempdir();
        let place = place.map_err(Fault::file(std::env::temp_dir()))?;
        let folder = place.path();
        let teller = Teller::default();
        // Another harbour on this machine has other addresses, whatever its ports.
        let pid = std::process::id();
        let site = Site::find(64 + (pid >> 8) as u8 % 128, pid as u8, u64::from(pid))?;
        make_folders(folder)?;
        let mut masters = Vec::new();
        let mut quays = Vec::new();
        for machine in 0..MASTERS {
            let berth = self.program.master(folder, machine);
            let text = site.master_settings(machine, &data(folder, machine), true);
            std::fs::write(&berth.settings, text).map_err(Fault::file(&berth.settings))?;
            masters.push(Process::start(berth)?);
        }
        for machine in 0..ZONES.len() {
            let berth = self.program.quay(folder, machine);
            std::fs::write(&berth.settings, site.quay_settings(machine))
                .map_err(Fault::file(&berth.settings))?;
            quays.push(Process::start(berth)?);
        }
        teller.say(format!(
            "{} harbourmasters and {} quays start; logs in {}",
            MASTERS,
            ZONES.len(),
            folder.join("logs").display()
        ));
        let control: Vec<_> = (0..MASTERS).map(|machine| site.control(machine)).collect();
        let control = Control::new(control);
        let ledger = Arc::new(Ledger::default());
        let services = SERVICES.map(|(label, _)| label);
        let backends = backends(&services, &control, self.seed, Some(&ledger)).await?;
        let newest = configuration(FIRST);
        let body = Bytes::from(newest.to_string());
        let until = Instant::now() + COMES_UP;
        match control.replace(None, 0, &body, until).await {
            Some(answer) if answer.status.is_success() => {}
            Some(answer) => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                return Err(Fault::Order { status: answer.status.as_u16(), body });
            }
            None => {
                let what = "the first configuration is not acknowledged".to_owned();
                return Err(Fault::Late { what, within: COMES_UP, logs: folder.join("logs") });
            }
        }
        teller.say(format!("r{FIRST} is acknowledged"));
        let fronts: Vec<_> = (0..ZONES.len()).map(|machine| site.front(machine)).collect();
        let readiness = (0..ZONES.len()).map(|machine| site.readiness(machine)).collect();
        let platform = Arc::new(Platform::new(fronts.clone(), readiness));
        let mut all: Vec<_> = masters.iter_mut().chain(&mut quays).collect();
        wait_ready(&platform, &mut all, folder).await?;
        for (machine, master) in masters.iter().enumerate() {
            let settings = master.settings();
            let text = site.master_settings(machine, &data(folder, machine), false);
            std::fs::write(settings, text).map_err(Fault::file(settings))?;
        }
        teller.say(format!("all quays are ready; {} requests a second for {} s", self.rate, self.seconds));
        let lasts = Duration::from_secs(self.seconds);
        let mut scene = Scene {
            masters,
            data: (0..MASTERS).map(|machine| data(folder, machine)).collect(),
            quays,
            fronts,
            control,
            backends,
            ledger: ledger.clone(),
            teller,
            newest,
            version: FIRST,
            highest: FIRST,
            lasts,
            seed: self.seed,
        };
        let before = [spent(&scene.masters), spent(&scene.quays)];
        let greed = if self.trouble == Trouble::Quota { GREED } else { 1.0 };
        let load = Load { seed: self.seed, rate: self.rate, lasts, greed };
        let tallies = Tallies::default();
        let watched = platform.clone();
        let platform_watch = tokio::spawn(async move { watched.watch().await });
        tokio::select! {
            done = async {
                let ((), done) = tokio::join!(
                    load.play(platform.clone(), ledger.clone(), tallies.clone()),
                    scene.play(self.trouble)
                );
                done
            } => done?,
            () = tell(teller, tallies.clone()) => {}
        }
        platform_watch.abort();
        let after = [spent(&scene.masters), spent(&scene.quays)];
        teller.say("the load is over");
        scene.read_back().await;
        let Scene { mut masters, mut quays, backends, .. } = scene;
        let mut ended = Vec::new();
        for process in masters.iter_mut().chain(&mut quays) {
            if let Some(status) = process.ended() {
                ended.push(format!("{} ended by itself: {status}", process.name()));
            }
        }
        masters.append(&mut quays);
        let killed = fleet::end(&mut masters).await;
        if !killed.is_empty() {
            teller.say(format!(
                "had to be killed, {} s after SIGTERM: {}",
                fleet::GRACE.as_secs(),
                killed.join(", ")
            ));
        }
        backends.iter().for_each(|backend| backend.end());
        let Judged { faults, lines, uses, late } = ledger.judge();
        let spent = [
            Spent { name: "quays", count: ZONES.len(), time: after[1].saturating_sub(before[1]) },
            Spent { name: "harbourmasters", count: MASTERS, time: after[0].saturating_sub(before[0]) },
        ];
        let told = tables(&tallies, &spent, &uses) + &judgement(&faults, &lines, &ended, &late);
        print(told);
        Ok(faults.total() == 0 && ended.is_empty())
    }
}

fn spent(processes: &[Process]) -> Duration {
    processes.iter().map(Process::spent).sum()
}

/// Says how it goes, for ever.
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
