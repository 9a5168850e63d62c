//! Scenarios of the demo: disruptions that start and end while there is load.

use crate::backend::{Cradle, StandInBackend};
use crate::chance::mix;
use crate::control::Control;
use crate::fault::Fault;
use crate::fleet::Process;
use crate::history::{Event, History, ProcessEvent};
use crate::operator::{ACK, Operator};
use crate::plan::APPLY_MS;
use crate::report::Teller;
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
const LOOKS: Duration = Duration::from_millis(20);
/// Downtime of a killed control plane.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// Duration for which a zone is suspended.
const STOPPED: Duration = Duration::from_secs(3);
/// Load factor of the small tenant.
pub const GREED: f64 = 5.0;
/// Time within which a restarted process must have caught up.
const CATCH_UP: Duration = Duration::from_secs(8);

/// A disruption of the demo.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
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
pub const TROUBLES: [(&str, Trouble); 7] = [
    ("none", Trouble::None),
    ("leader", Trouble::Leader),
    ("disk", Trouble::Disk),
    ("zone", Trouble::Zone),
    ("release", Trouble::Release),
    ("config", Trouble::Config),
    ("quota", Trouble::Quota),
];

impl FromStr for Trouble {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = TROUBLES.iter().find(|(name, _)| *name == text);
        found.map(|(_, trouble)| *trouble).ok_or_else(|| {
            let names: Vec<_> = TROUBLES.iter().map(|(name, _)| *name).collect();
            format!("{text:?} is none of {}", names.join(", "))
        })
    }
}

/// The parts of a demo that a disruption acts on.
pub struct Scene {
    /// The control planes.
    pub control_planes: Vec<Process>,
    /// Data folders of the control planes.
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
    pub teller: Teller,
    /// Duration of the load.
    pub duration: Duration,
    /// Seed of the demo.
    pub seed: u64,
}

impl Scene {
    /// Runs a disruption; returns when everything is restored.
    ///
    /// # Errors
    /// Returns an error when a process cannot be restarted.
    pub async fn play(&mut self, trouble: Trouble) -> Result<(), Fault> {
        let start = Instant::now();
        match trouble {
            Trouble::None | Trouble::Quota => Ok(()),
            Trouble::Leader => self.leader(start, false).await,
            Trouble::Disk => self.leader(start, true).await,
            Trouble::Zone => {
                self.zone(start).await;
                Ok(())
            }
            Trouble::Release => self.release(start).await,
            Trouble::Config => {
                let begin = start + self.duration.div_f64(8.0).min(Duration::from_secs(1));
                // The last change must be in force before the end of the load.
                let until = start + self.duration.saturating_sub(Duration::from_millis(APPLY_MS));
                let told = self.operator.changes(begin, until, self.seed).await;
                self.teller.say(told);
                self.teller.say(self.operator.take_away().await);
                Ok(())
            }
        }
    }

    fn record_process(&self, machine: usize, data_plane: bool, process_event: ProcessEvent) {
        self.history.note(Event::Process { machine, data_plane, process_event });
    }

    async fn leader(&mut self, start: Instant, disk: bool) -> Result<(), Fault> {
        sleep_until(start + self.duration.div_f64(4.0).min(Duration::from_secs(3))).await;
        let Some(leader) = self.control.leader().await else {
            self.history.late("no control plane says that it leads".to_owned());
            return Ok(());
        };
        let killed = Instant::now();
        self.record_process(leader, false, ProcessEvent::Killed);
        self.control_planes[leader].kill().await;
        let name = self.control_planes[leader].name().to_owned();
        if disk {
            let folder = &self.data[leader];
            std::fs::remove_dir_all(folder).map_err(Fault::file(folder))?;
            std::fs::create_dir_all(folder).map_err(Fault::file(folder))?;
        }
        self.teller.say(format!("{name} leads: killed{}", if disk { ", and its disk is lost" } else { "" }));
        let (control, teller) = (self.control.clone(), self.teller);
        // The operator sends its change without waiting for a new leader.
        let change = self.operator.change(None, |_| ());
        let elected = async move {
            while killed.elapsed() < ACK {
                if let Some(next) = control.leader().await {
                    let ms = killed.elapsed().as_millis();
                    teller.say(format!(
                        "the control plane of machine {} leads, {ms} ms after the kill",
                        next + 1
                    ));
                    return;
                }
                sleep(LOOKS).await;
            }
        };
        let (acknowledged, ()) = tokio::join!(change, elected);
        let ms = killed.elapsed().as_millis();
        if acknowledged {
            self.teller.say(format!(
                "r{}, sent at once, was acknowledged within {ms} ms of the kill",
                self.operator.version
            ));
        }
        sleep_until(killed + BACK_AFTER).await;
        let back = Instant::now();
        self.control_planes[leader].restart()?;
        self.record_process(leader, false, ProcessEvent::Started);
        self.teller.say(format!("{name} starts again"));
        let due = format!("r{}", self.operator.version);
        loop {
            let status = self.control.status(self.control.addresses()[leader]).await;
            if status
                .is_some_and(|status| status["version"] == due.as_str() && status["log"]["voter"] == true)
            {
                let ms = back.elapsed().as_millis();
                self.teller.say(format!("{name} knows {due} and votes again after {ms} ms"));
                return Ok(());
            }
            if back.elapsed() > CATCH_UP {
                let late = format!(
                    "{name} does not know {due} or has no vote, {} s after its start",
                    CATCH_UP.as_secs()
                );
                self.teller.say(&late);
                self.history.late(late);
                return Ok(());
            }
            sleep(LOOKS).await;
        }
    }

    async fn zone(&mut self, start: Instant) {
        sleep_until(start + self.duration.div_f64(4.0).min(Duration::from_secs(3))).await;
        let zone = ZONES[0];
        let there = |machine: &usize| ZONES[*machine] == zone;
        let data_planes = || {
            self.data_planes.iter().enumerate().filter(|(m, _)| there(m)).map(|(_, data_plane)| data_plane)
        };
        let control_planes = || {
            self.control_planes
                .iter()
                .enumerate()
                .filter(|(m, _)| there(m))
                .map(|(_, control_plane)| control_plane)
        };
        data_planes().chain(control_planes()).for_each(|process| process.signal(Signal::STOP));
        let names: Vec<_> = data_planes().chain(control_planes()).map(Process::name).collect();
        let all = |process_event: ProcessEvent| {
            for machine in (0..ZONES.len()).filter(there) {
                self.record_process(machine, true, process_event.clone());
                if machine < self.control_planes.len() {
                    self.record_process(machine, false, process_event.clone());
                }
            }
        };
        all(ProcessEvent::Stopped);
        self.teller.say(format!("zone {zone} stops: {}", names.join(", ")));
        sleep(STOPPED).await;
        data_planes().chain(control_planes()).for_each(|process| process.signal(Signal::CONT));
        all(ProcessEvent::Continued);
        self.teller.say(format!("zone {zone} goes on"));
    }

    async fn release(&mut self, start: Instant) -> Result<(), Fault> {
        let begin = self.duration.div_f64(8.0).min(Duration::from_secs(2));
        // Leave time for a drain after the last replacement.
        let room = self.duration.saturating_sub(begin + Duration::from_secs(3)).max(Duration::from_secs(1));
        let pace = (room / self.backends.len() as u32).min(Duration::from_secs(2));
        let mut leaving = JoinSet::new();
        for index in 0..self.backends.len() {
            sleep_until(start + begin + pace * index as u32).await;
            let old = self.backends[index].clone();
            let new = StandInBackend::start(Cradle {
                service: old.service.clone(),
                zone: old.zone.clone(),
                at: (Ipv4Addr::LOCALHOST, 0).into(),
                seed: mix(self.seed ^ (index as u64 + 1) << 32),
                warm: false,
                control: self.control.clone(),
                history: Some(self.history.clone()),
            })?;
            self.teller
                .say(format!("{} of {}: {} takes over from {}", old.zone, old.service, new.id, old.id));
            self.backends[index] = new;
            leaving.spawn(async move { old.leave().await });
        }
        while let Some(left) = leaving.join_next().await {
            if !left.unwrap_or(false) {
                self.history.late("a backend's leave was not acknowledged".to_owned());
            }
        }
        self.teller.say("all old backends have left");
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn troubles_have_names() {
        assert_eq!("disk".parse(), Ok(Trouble::Disk));
        assert!("Disk".parse::<Trouble>().is_err());
    }
}
