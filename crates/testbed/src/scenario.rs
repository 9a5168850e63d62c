//! Scenarios of the demo: disruptions that start and end while there is load.

use crate::backend::{BackendOptions, StandInBackend};
use crate::control::Control;
use crate::error::TestbedError;
use crate::fleet::Process;
use crate::history::{Event, History, ProcessEvent};
use crate::operator::{ACK_TIMEOUT, Operator};
use crate::plan::APPLY_MS;
use crate::random::mix;
use crate::report::Progress;
use crate::site::ZONES;
use rustix::process::Signal;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Downtime of a killed control plane.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Duration for which a zone is suspended.
const SUSPENSION: Duration = Duration::from_secs(3);
/// Load factor of the small tenant.
pub const SMALL_TENANT_FACTOR: f64 = 5.0;
/// Time within which a restarted process must have caught up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(8);

/// A disruption of the demo.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scenario {
    /// No disruption.
    #[default]
    None,
    /// The leading control plane is killed and restarted.
    Leader,
    /// The leading control plane is killed, loses its disk and is restarted.
    Disk,
    /// All processes of one zone are suspended for a while.
    Zone,
    /// The backends are replaced one by one.
    Release,
    /// The operator changes the configuration continuously.
    Config,
    /// A tenant sends far more than its quota.
    Quota,
}

/// All disruptions with their names.
pub const SCENARIOS: [(&str, Scenario); 7] = [
    ("none", Scenario::None),
    ("leader", Scenario::Leader),
    ("disk", Scenario::Disk),
    ("zone", Scenario::Zone),
    ("release", Scenario::Release),
    ("config", Scenario::Config),
    ("quota", Scenario::Quota),
];

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = SCENARIOS.iter().find(|(name, _)| *name == text);
        found.map(|(_, scenario)| *scenario).ok_or_else(|| {
            let names: Vec<_> = SCENARIOS.iter().map(|(name, _)| *name).collect();
            format!("{text:?} is not one of {}", names.join(", "))
        })
    }
}

/// The parts of a demo that a disruption acts on.
pub struct Environment {
    /// The control planes.
    pub control_planes: Vec<Process>,
    /// Data directories of the control planes.
    pub data: Vec<PathBuf>,
    /// The data planes, one on each machine.
    pub data_planes: Vec<Process>,
    /// Client for the control planes.
    pub control: Control,
    /// The operator.
    pub operator: Operator,
    /// The current backends.
    pub backends: Vec<Arc<StandInBackend>>,
    /// The recorded events.
    pub history: Arc<History>,
    /// Prints the progress.
    pub progress: Progress,
    /// Duration of the load.
    pub duration: Duration,
    /// Seed of the demo.
    pub seed: u64,
}

impl Environment {
    /// Runs a disruption; returns when everything is restored.
    ///
    /// # Errors
    /// Returns an error when a process cannot be restarted.
    pub async fn run(&mut self, scenario: Scenario) -> Result<(), TestbedError> {
        let start = Instant::now();
        match scenario {
            Scenario::None | Scenario::Quota => Ok(()),
            Scenario::Leader => self.kill_leader(start, false).await,
            Scenario::Disk => self.kill_leader(start, true).await,
            Scenario::Zone => {
                self.suspend_zone(start).await;
                Ok(())
            }
            Scenario::Release => self.replace_backends(start).await,
            Scenario::Config => {
                let begin = start + self.duration.div_f64(8.0).min(Duration::from_secs(1));
                // The last change must be in force before the end of the load.
                let until = start + self.duration.saturating_sub(Duration::from_millis(APPLY_MS));
                let summary = self.operator.run_changes(begin, until, self.seed).await;
                self.progress.report(summary);
                self.progress.report(self.operator.remove_added_routes().await);
                Ok(())
            }
        }
    }

    fn record_process(&self, machine: usize, data_plane: bool, process_event: ProcessEvent) {
        self.history.record(Event::Process { machine, data_plane, process_event });
    }

    async fn kill_leader(&mut self, start: Instant, disk: bool) -> Result<(), TestbedError> {
        sleep_until(start + self.duration.div_f64(4.0).min(Duration::from_secs(3))).await;
        let Some(leader) = self.control.leader().await else {
            self.history.late("no control plane reported to be the leader".to_owned());
            return Ok(());
        };
        let killed = Instant::now();
        self.record_process(leader, false, ProcessEvent::Killed);
        self.control_planes[leader].kill().await;
        let name = self.control_planes[leader].name().to_owned();
        if disk {
            let directory = &self.data[leader];
            std::fs::remove_dir_all(directory).map_err(TestbedError::file(directory))?;
            std::fs::create_dir_all(directory).map_err(TestbedError::file(directory))?;
        }
        self.progress
            .report(format!("{name} leads: killed{}", if disk { ", and its disk is lost" } else { "" }));
        let (control, progress) = (self.control.clone(), self.progress);
        // The operator sends its change without waiting for a new leader.
        let change = self.operator.change(None, |_| ());
        let elected = async move {
            while killed.elapsed() < ACK_TIMEOUT {
                if let Some(next) = control.leader().await {
                    let ms = killed.elapsed().as_millis();
                    progress.report(format!(
                        "the control plane of machine {} leads, {ms} ms after the kill",
                        next + 1
                    ));
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        let (acknowledged, ()) = tokio::join!(change, elected);
        let ms = killed.elapsed().as_millis();
        if acknowledged {
            self.progress.report(format!(
                "r{}, sent at once, was acknowledged within {ms} ms of the kill",
                self.operator.version
            ));
        }
        sleep_until(killed + DOWNTIME).await;
        let back = Instant::now();
        self.control_planes[leader].restart()?;
        self.record_process(leader, false, ProcessEvent::Started);
        self.progress.report(format!("{name} restarts"));
        let expected_version = format!("r{}", self.operator.version);
        loop {
            let status = self.control.status(self.control.addresses()[leader]).await;
            if status.is_some_and(|status| {
                status["version"] == expected_version.as_str() && status["log"]["voter"] == true
            }) {
                let ms = back.elapsed().as_millis();
                self.progress
                    .report(format!("{name} has {expected_version} and is a voter again after {ms} ms"));
                return Ok(());
            }
            if back.elapsed() > CATCH_UP_TIMEOUT {
                let late = format!(
                    "{name} does not have {expected_version} or is no voter, {} s after the restart",
                    CATCH_UP_TIMEOUT.as_secs()
                );
                self.progress.report(&late);
                self.history.late(late);
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn suspend_zone(&mut self, start: Instant) {
        sleep_until(start + self.duration.div_f64(4.0).min(Duration::from_secs(3))).await;
        let zone = ZONES[0];
        let in_zone = |machine: &usize| ZONES[*machine] == zone;
        let data_planes = || {
            self.data_planes.iter().enumerate().filter(|(m, _)| in_zone(m)).map(|(_, data_plane)| data_plane)
        };
        let control_planes = || {
            self.control_planes
                .iter()
                .enumerate()
                .filter(|(m, _)| in_zone(m))
                .map(|(_, control_plane)| control_plane)
        };
        data_planes().chain(control_planes()).for_each(|process| process.signal(Signal::STOP));
        let names: Vec<_> = data_planes().chain(control_planes()).map(Process::name).collect();
        let all = |process_event: ProcessEvent| {
            for machine in (0..ZONES.len()).filter(in_zone) {
                self.record_process(machine, true, process_event.clone());
                if machine < self.control_planes.len() {
                    self.record_process(machine, false, process_event.clone());
                }
            }
        };
        all(ProcessEvent::Stopped);
        self.progress.report(format!("zone {zone} is suspended: {}", names.join(", ")));
        sleep(SUSPENSION).await;
        data_planes().chain(control_planes()).for_each(|process| process.signal(Signal::CONT));
        all(ProcessEvent::Continued);
        self.progress.report(format!("zone {zone} resumes"));
    }

    async fn replace_backends(&mut self, start: Instant) -> Result<(), TestbedError> {
        let begin = self.duration.div_f64(8.0).min(Duration::from_secs(2));
        // Leave time for a drain after the last replacement.
        let available =
            self.duration.saturating_sub(begin + Duration::from_secs(3)).max(Duration::from_secs(1));
        let interval = (available / self.backends.len() as u32).min(Duration::from_secs(2));
        let mut leaving = JoinSet::new();
        for index in 0..self.backends.len() {
            sleep_until(start + begin + interval * index as u32).await;
            let old = self.backends[index].clone();
            let new = StandInBackend::start(BackendOptions {
                service: old.service.clone(),
                zone: old.zone.clone(),
                at: (Ipv4Addr::LOCALHOST, 0).into(),
                seed: mix(self.seed ^ (index as u64 + 1) << 32),
                warm: false,
                control: self.control.clone(),
                history: Some(self.history.clone()),
            })?;
            self.progress
                .report(format!("{} of {}: {} takes over from {}", old.zone, old.service, new.id, old.id));
            self.backends[index] = new;
            leaving.spawn(async move { old.leave().await });
        }
        while let Some(departed) = leaving.join_next().await {
            if !departed.unwrap_or(false) {
                self.history.late("the drain or departure of a backend was not acknowledged".to_owned());
            }
        }
        self.progress.report("all old backends have left");
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scenarios_are_parsed_by_name() {
        assert_eq!("disk".parse(), Ok(Scenario::Disk));
        assert!("Disk".parse::<Scenario>().is_err());
    }
}
