//! One measurement: real control planes and a few real data planes, together with hollow data planes and hollow
//! backends (see [`super::hollow`]), which produce the control traffic of a large fleet without serving requests.

use super::hollow::HollowSettings;
use super::report::{Report, steady_seconds};
use crate::capacity::memory::resident;
use crate::capacity::samples::configuration_bytes;
use crate::capacity::size::Size;
use crate::control::Control;
use crate::demo::{Program, create_directories};
use crate::error::TestbedError;
use crate::fleet::{self, Process};
use crate::report::Progress;
use crate::site::{Site, VOTERS, ZONES};
use bytes::Bytes;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout for the start.
const START_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause before the measurement. Processes that have just started send the complete list of backends twice; the reports
/// of [`super::hollow`] count these messages as "all backends".
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Interval between configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout for the acknowledgement of a change.
const ACK_TIMEOUT: Duration = Duration::from_secs(8);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Machines with a control plane; the last one has no disk.
const CONTROL_PLANES: usize = ZONES.len();

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program of the real processes.
    pub program: Program,
    /// The program of the processes that run hollow data planes: the testbed's own executable.
    pub own: Program,
    /// Number of hollow data planes, which stand in for gateways (see [`super::hollow`]).
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
    pub reached_all: Vec<f64>,
}

/// All child processes of a measurement, with the control client.
struct Processes {
    control: Vec<Process>,
    data: Vec<Process>,
    hollow: Vec<Process>,
    control_client: Control,
    reports: Vec<PathBuf>,
}

#[derive(Clone, Copy, Default)]
struct Snapshot {
    cpu_time: Duration,
    /// Messages received from other processes since the start; `None` if the status was not available in time.
    messages: Option<f64>,
}

impl Plan {
    /// Runs the measurement.
    ///
    /// # Errors
    /// Returns an error when the processes cannot be started or do not become ready.
    pub async fn run(&self) -> Result<Outcome, TestbedError> {
        let temp_dir = tempfile::Builder::new().prefix("testbed-scale-").tempdir();
        let temp_dir = temp_dir.map_err(TestbedError::file(std::env::temp_dir()))?;
        let progress = Progress::default();
        let size = Size::of(self.gateways);
        let mut processes = self.start(temp_dir.path(), &size)?;
        processes.first_configuration(&size, temp_dir.path()).await?;
        self.start_hollow(temp_dir.path(), &mut processes)?;
        processes.wait_for(1, self.gateways, temp_dir.path()).await?;
        progress.report(format!("{} hollow data planes have r1", self.gateways));
        sleep(SETTLE_TIME).await;
        let outcome = self.measure(&size, &processes).await;
        for process in &mut processes.hollow {
            process.kill().await;
        }
        let mut real: Vec<_> = processes.control.iter_mut().chain(&mut processes.data).collect();
        fleet::stop_all(&mut real).await;
        Ok(outcome)
    }

    fn start(&self, directory: &Path, size: &Size) -> Result<Processes, TestbedError> {
        create_directories(directory)?;
        let pid = std::process::id();
        let site = Site::find(64 + (pid >> 8) as u8 % 128, pid as u8, u64::from(pid))?;
        let (mut control, data) = self.program.start_all(directory, &site)?;
        for machine in VOTERS..CONTROL_PLANES {
            let options = self.program.control_plane(directory, machine);
            std::fs::write(&options.settings, site.diskless_control_settings(machine))
                .map_err(TestbedError::file(&options.settings))?;
            control.push(Process::start(options)?);
        }
        let addresses: Vec<_> = (0..CONTROL_PLANES).map(|machine| site.control(machine)).collect();
        let seeds: Vec<_> = (0..VOTERS).map(|machine| site.peers(machine)).collect();
        let share_of = |whole: usize, n: usize| whole * n / self.processes;
        let backends = (self.backends_each * self.gateways as f64) as usize;
        let mut reports = Vec::new();
        for n in 0..self.processes {
            let report = directory.join(format!("hollow-{n}.json"));
            let settings = HollowSettings {
                first: share_of(self.gateways, n),
                gateways: share_of(self.gateways, n + 1) - share_of(self.gateways, n),
                first_backend: share_of(backends, n),
                backends: share_of(backends, n + 1) - share_of(backends, n),
                seeds: seeds.clone(),
                control: addresses.clone(),
                zones: ZONES.iter().map(|zone| (*zone).to_owned()).collect(),
                tenants: size.tenants,
                requests_per_s: self.requests_per_s,
                report: report.clone(),
            };
            let path = hollow_settings(directory, n);
            std::fs::write(&path, serde_json::to_vec(&settings).unwrap_or_default())
                .map_err(TestbedError::file(&path))?;
            reports.push(report);
        }
        Ok(Processes { control, data, hollow: Vec::new(), control_client: Control::new(addresses), reports })
    }

    fn start_hollow(&self, directory: &Path, processes: &mut Processes) -> Result<(), TestbedError> {
        for n in 0..self.processes {
            let options = self.own.hollow(directory, n, hollow_settings(directory, n));
            processes.hollow.push(Process::start(options)?);
        }
        Ok(())
    }

    async fn measure(&self, size: &Size, processes: &Processes) -> Outcome {
        let leader = processes.control_client.leader().await.unwrap_or_default();
        let (before, report_before) = (processes.snapshots().await, processes.report());
        let started = Instant::now();
        let mut outcome = Outcome { gateways: self.gateways, ..Outcome::default() };
        let mut sent = Vec::new();
        let mut version = 1;
        while started.elapsed() + CHANGE_INTERVAL <= Duration::from_secs(self.seconds) {
            let due = started + CHANGE_INTERVAL * version as u32;
            version += 1;
            let body = Bytes::from(configuration_bytes(size, version));
            sent.push((version, steady_seconds()));
            let at = Instant::now();
            let answer = processes.control_client.replace(None, version - 1, &body, at + ACK_TIMEOUT).await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                outcome.acknowledged.push(at.elapsed().as_secs_f64());
            }
            tokio::time::sleep_until(due).await;
        }
        outcome.seconds = started.elapsed().as_secs_f64();
        let after = processes.snapshots().await;
        outcome.report = processes.report().since(&report_before);
        let arrivals = sent.iter().filter_map(|(version, at)| {
            let arrival = outcome.report.arrivals.get(version)?;
            (arrival.count >= self.gateways).then_some(arrival.last - at)
        });
        outcome.reached_all = arrivals.collect();
        outcome.roles = processes.figures(leader, &before, &after, outcome.seconds);
        outcome
    }
}

fn hollow_settings(directory: &Path, number: usize) -> PathBuf {
    directory.join("settings").join(format!("hollow-{number}.json"))
}

impl Processes {
    async fn first_configuration(&self, size: &Size, directory: &Path) -> Result<(), TestbedError> {
        let body = Bytes::from(configuration_bytes(size, 1));
        let answer = self.control_client.replace(None, 0, &body, Instant::now() + START_TIMEOUT).await;
        match answer {
            Some(answer) if answer.status.is_success() => Ok(()),
            Some(answer) => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                Err(TestbedError::ConfigurationRejected { status: answer.status.as_u16(), body })
            }
            None => Err(TestbedError::Timeout {
                what: "the first configuration was not acknowledged".to_owned(),
                within: START_TIMEOUT,
                logs: directory.join("logs"),
            }),
        }
    }

    /// The sum of all reports.
    fn report(&self) -> Report {
        let mut sum = Report::default();
        self.reports.iter().filter_map(|path| Report::read(path)).for_each(|report| sum.add(&report));
        sum
    }

    async fn wait_for(&self, version: u64, gateways: usize, directory: &Path) -> Result<(), TestbedError> {
        let until = Instant::now() + START_TIMEOUT;
        loop {
            let count = self.report().arrivals.get(&version).map_or(0, |arrival| arrival.count);
            if count >= gateways {
                return Ok(());
            }
            if Instant::now() > until {
                let what = format!("{count} of {gateways} hollow data planes have r{version}");
                return Err(TestbedError::Timeout {
                    what,
                    within: START_TIMEOUT,
                    logs: directory.join("logs"),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Takes a snapshot of all control planes, followed by the real data planes.
    async fn snapshots(&self) -> Vec<Snapshot> {
        let mut snapshots = Vec::new();
        for (process, address) in self.control.iter().zip(self.control_client.addresses()) {
            let status = self.control_client.status(*address).await;
            let messages = status.and_then(|status| status["frames"].as_f64());
            snapshots.push(Snapshot { cpu_time: process.cpu_time(), messages });
        }
        snapshots.extend(
            self.data.iter().map(|process| Snapshot { cpu_time: process.cpu_time(), messages: None }),
        );
        snapshots
    }

    fn figures(
        &self, leader: usize, before: &[Snapshot], after: &[Snapshot], seconds: f64,
    ) -> [RoleFigures; ROLES.len()] {
        let mut roles = [RoleFigures::default(); ROLES.len()];
        let mut counts = [0.0; ROLES.len()];
        let processes = self.control.iter().chain(&self.data);
        for (index, (process, (before, after))) in processes.zip(before.iter().zip(after)).enumerate() {
            let role = role_of(index, leader);
            counts[role] += 1.0;
            roles[role].processor += after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64() / seconds;
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

fn role_of(index: usize, leader: usize) -> usize {
    match index {
        _ if index == leader => 0,
        _ if index < VOTERS => 1,
        _ if index < CONTROL_PLANES => 2,
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
