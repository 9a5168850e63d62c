//! One measurement: real control planes and a few real data planes, with hollow data planes and backends around them.

use super::hollow::HollowSettings;
use super::report::{Report, steady_seconds};
use crate::capacity::memory::resident;
use crate::capacity::samples::configuration_bytes;
use crate::capacity::size::Size;
use crate::control::Control;
use crate::demo::{Program, make_folders};
use crate::fault::Fault;
use crate::fleet::{self, Process};
use crate::report::Teller;
use crate::site::{Site, VOTERS, ZONES};
use bytes::Bytes;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout for the start.
const COMES_UP: Duration = Duration::from_secs(40);
/// Pause before the measurement: newly started processes send their tables twice.
const RESTS: Duration = Duration::from_secs(6);
/// Interval between configuration changes.
const CHANGES: Duration = Duration::from_secs(5);
/// Timeout for the acknowledgement of a change.
const ACKNOWLEDGED: Duration = Duration::from_secs(8);
/// Polling interval.
const LOOKS: Duration = Duration::from_millis(100);
/// Machines with a control plane; the last one has no disk.
const CONTROL_PLANES: usize = ZONES.len();

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program of the real processes.
    pub program: Program,
    /// The program of the hollow processes: this executable.
    pub own: Program,
    /// Number of hollow data planes.
    pub gateways: usize,
    /// Number of processes for the hollow data planes.
    pub processes: usize,
    /// Duration of the measurement in seconds.
    pub seconds: u64,
    /// Lease requests per second and data plane.
    pub requests_per_s: f64,
    /// Hollow backends with heartbeats, per data plane.
    pub backends_each: f64,
}

/// Average resource use of the processes of one role.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoleFigures {
    /// Processor time, as a share of one core.
    pub processor: f64,
    /// Resident memory at the end, in bytes.
    pub memory: f64,
    /// Open file descriptors at the end.
    pub descriptors: f64,
    /// Messages received from other processes, per second.
    pub messages: f64,
}

/// Roles of the measured processes, in the order of the tables.
pub const ROLES: [&str; 4] =
    ["leader", "control plane with a disk", "control plane without", "data plane, real, no requests"];

/// Result of a measurement.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of hollow data planes.
    pub gateways: usize,
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// Resource use by role.
    pub roles: [RoleFigures; ROLES.len()],
    /// Counts of the hollow data planes.
    pub report: Report,
    /// Time from sending each change to its acknowledgement, in seconds.
    pub acknowledged: Vec<f64>,
    /// Time from sending each change until all hollow data planes received it; shorter if a change did not reach all.
    pub everywhere: Vec<f64>,
}

/// All child processes of a measurement, with the control client.
struct Running {
    control: Vec<Process>,
    data: Vec<Process>,
    hollow: Vec<Process>,
    caller: Control,
    reports: Vec<PathBuf>,
}

#[derive(Clone, Copy, Default)]
struct Moment {
    spent: Duration,
    /// Messages received from other processes since the start; `None` if the status was not available in time.
    messages: Option<f64>,
}

impl Plan {
    /// Runs the measurement.
    ///
    /// # Errors
    /// Returns an error when the processes cannot be started or do not become ready.
    pub async fn run(&self) -> Result<Outcome, Fault> {
        let place = tempfile::Builder::new().prefix("testbed-scale-").tempdir();
        let place = place.map_err(Fault::file(std::env::temp_dir()))?;
        let teller = Teller::default();
        let size = Size::of(self.gateways);
        let mut running = self.start(place.path(), &size)?;
        running.first_configuration(&size, place.path()).await?;
        self.start_hollow(place.path(), &mut running)?;
        running.wait_for(1, self.gateways, place.path()).await?;
        teller.say(format!("{} hollow data planes have r1", self.gateways));
        sleep(RESTS).await;
        let outcome = self.measure(&size, &running).await;
        for process in &mut running.hollow {
            process.kill().await;
        }
        let mut real: Vec<_> = running.control.iter_mut().chain(&mut running.data).collect();
        fleet::end(&mut real).await;
        Ok(outcome)
    }

    fn start(&self, folder: &Path, size: &Size) -> Result<Running, Fault> {
        make_folders(folder)?;
        let pid = std::process::id();
        let site = Site::find(64 + (pid >> 8) as u8 % 128, pid as u8, u64::from(pid))?;
        let (mut control, data) = self.program.start_all(folder, &site)?;
        for machine in VOTERS..CONTROL_PLANES {
            let backend = self.program.control_plane(folder, machine);
            std::fs::write(&backend.settings, site.diskless_control_settings(machine))
                .map_err(Fault::file(&backend.settings))?;
            control.push(Process::start(backend)?);
        }
        let addresses: Vec<_> = (0..CONTROL_PLANES).map(|machine| site.control(machine)).collect();
        let seeds: Vec<_> = (0..VOTERS).map(|machine| site.peers(machine)).collect();
        let part = |whole: usize, n: usize| whole * n / self.processes;
        let backends = (self.backends_each * self.gateways as f64) as usize;
        let mut reports = Vec::new();
        for n in 0..self.processes {
            let report = folder.join(format!("hollow-{n}.json"));
            let settings = HollowSettings {
                first: part(self.gateways, n),
                gateways: part(self.gateways, n + 1) - part(self.gateways, n),
                first_backend: part(backends, n),
                backends: part(backends, n + 1) - part(backends, n),
                seeds: seeds.clone(),
                control: addresses.clone(),
                zones: ZONES.iter().map(|zone| (*zone).to_owned()).collect(),
                tenants: size.tenants,
                requests_per_s: self.requests_per_s,
                report: report.clone(),
            };
            let path = hollow_settings(folder, n);
            std::fs::write(&path, serde_json::to_vec(&settings).unwrap_or_default())
                .map_err(Fault::file(&path))?;
            reports.push(report);
        }
        Ok(Running { control, data, hollow: Vec::new(), caller: Control::new(addresses), reports })
    }

    fn start_hollow(&self, folder: &Path, running: &mut Running) -> Result<(), Fault> {
        for n in 0..self.processes {
            let backend = self.own.hollow(folder, n, hollow_settings(folder, n));
            running.hollow.push(Process::start(backend)?);
        }
        Ok(())
    }

    async fn measure(&self, size: &Size, running: &Running) -> Outcome {
        let leader = running.caller.leader().await.unwrap_or_default();
        let (before, reported) = (running.moments().await, running.report());
        let began = Instant::now();
        let mut outcome = Outcome { gateways: self.gateways, ..Outcome::default() };
        let mut sent = Vec::new();
        let mut version = 1;
        while began.elapsed() + CHANGES <= Duration::from_secs(self.seconds) {
            let due = began + CHANGES * version as u32;
            version += 1;
            let body = Bytes::from(configuration_bytes(size, version));
            sent.push((version, steady_seconds()));
            let at = Instant::now();
            let answer = running.caller.replace(None, version - 1, &body, at + ACKNOWLEDGED).await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                outcome.acknowledged.push(at.elapsed().as_secs_f64());
            }
            tokio::time::sleep_until(due).await;
        }
        outcome.seconds = began.elapsed().as_secs_f64();
        let after = running.moments().await;
        outcome.report = running.report().since(&reported);
        let arrivals = sent.iter().filter_map(|(version, at)| {
            let arrival = outcome.report.arrivals.get(version)?;
            (arrival.count >= self.gateways).then_some(arrival.last - at)
        });
        outcome.everywhere = arrivals.collect();
        outcome.roles = running.figures(leader, &before, &after, outcome.seconds);
        outcome
    }
}

fn hollow_settings(folder: &Path, number: usize) -> PathBuf {
    folder.join("settings").join(format!("hollow-{number}.json"))
}

impl Running {
    async fn first_configuration(&self, size: &Size, folder: &Path) -> Result<(), Fault> {
        let body = Bytes::from(configuration_bytes(size, 1));
        let answer = self.caller.replace(None, 0, &body, Instant::now() + COMES_UP).await;
        match answer {
            Some(answer) if answer.status.is_success() => Ok(()),
            Some(answer) => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                Err(Fault::Order { status: answer.status.as_u16(), body })
            }
            None => Err(Fault::Late {
                what: "the first configuration is not acknowledged".to_owned(),
                within: COMES_UP,
                logs: folder.join("logs"),
            }),
        }
    }

    /// The sum of all reports.
    fn report(&self) -> Report {
        let mut sum = Report::default();
        self.reports.iter().filter_map(|path| Report::read(path)).for_each(|report| sum.add(&report));
        sum
    }

    async fn wait_for(&self, version: u64, gateways: usize, folder: &Path) -> Result<(), Fault> {
        let until = Instant::now() + COMES_UP;
        loop {
            let count = self.report().arrivals.get(&version).map_or(0, |arrival| arrival.count);
            if count >= gateways {
                return Ok(());
            }
            if Instant::now() > until {
                let what = format!("{count} of {gateways} hollow data planes have r{version}");
                return Err(Fault::Late { what, within: COMES_UP, logs: folder.join("logs") });
            }
            sleep(LOOKS).await;
        }
    }

    /// Takes a snapshot of all control planes, followed by the real data planes.
    async fn moments(&self) -> Vec<Moment> {
        let mut moments = Vec::new();
        for (process, address) in self.control.iter().zip(self.caller.addresses()) {
            let status = self.caller.status(*address).await;
            let messages = status.and_then(|status| status["frames"].as_f64());
            moments.push(Moment { spent: process.spent(), messages });
        }
        moments.extend(self.data.iter().map(|process| Moment { spent: process.spent(), messages: None }));
        moments
    }

    fn figures(
        &self, leader: usize, before: &[Moment], after: &[Moment], seconds: f64,
    ) -> [RoleFigures; ROLES.len()] {
        let mut roles = [RoleFigures::default(); ROLES.len()];
        let mut counts = [0.0; ROLES.len()];
        let processes = self.control.iter().chain(&self.data);
        for (place, (process, (before, after))) in processes.zip(before.iter().zip(after)).enumerate() {
            let role = role_of(place, leader);
            counts[role] += 1.0;
            roles[role].processor += after.spent.saturating_sub(before.spent).as_secs_f64() / seconds;
            roles[role].memory += resident(process.pid()).unwrap_or_default() as f64;
            roles[role].descriptors += descriptors(process.pid()) as f64;
            let messages = after.messages.zip(before.messages).map_or(0.0, |(after, before)| after - before);
            roles[role].messages += messages / seconds;
        }
        for (role, count) in roles.iter_mut().zip(counts) {
            role.divide(count);
        }
        roles
    }
}

fn role_of(place: usize, leader: usize) -> usize {
    match place {
        _ if place == leader => 0,
        _ if place < VOTERS => 1,
        _ if place < CONTROL_PLANES => 2,
        _ => 3,
    }
}

impl RoleFigures {
    fn divide(&mut self, count: f64) {
        let count = count.max(1.0);
        self.processor /= count;
        self.memory /= count;
        self.descriptors /= count;
        self.messages /= count;
    }
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
