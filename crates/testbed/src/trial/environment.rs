//! The environment of a trial: processes, simulated parties and the relays between them, and how faults are injected.
//! A backend slot is a place in a zone that one backend at a time occupies.

use super::misbehaving_client::run_rude_client;
use super::parties::{Party, ZONES_OF_BACKENDS};
use super::schedule::{Disk, Fault, Kind, Target};
use crate::backend::{BackendOptions, StandInBackend};
use crate::behavior::Behavior;
use crate::control::Control;
use crate::demo::{Program, data_directory};
use crate::error::TestbedError as Error;
use crate::fleet::{GRACE, Process};
use crate::history::{Event, History, ProcessEvent};
use crate::load::LoadFactor;
use crate::operator::Operator;
use crate::plan::SERVICES;
use crate::random::mix;
use crate::site::{SLOTS, Site, VOTERS, ZONES};
use fault_injection::relay::Net;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Interval at which the status of control planes and the state of processes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// First port of backends; each backend instance uses a new port.
const FIRST_PORT: u16 = 9_000;

/// All running parts of a trial.
pub struct Environment {
    /// The recorded events.
    pub history: Arc<History>,
    /// Relays on all links.
    pub net: Net<Party>,
    /// Addresses of all parties.
    pub site: Site,
    directory: PathBuf,
    /// Control planes by machine. The lock holder controls the process and records its state changes.
    pub control_planes: Vec<Mutex<Process>>,
    /// Data planes by machine. As for control planes, the lock holder controls the process.
    pub data_planes: Vec<Mutex<Process>>,
    /// Backends by slot.
    pub backends: Vec<Mutex<Arc<StandInBackend>>>,
    controls: Vec<Control>,
    /// Relayed client addresses of the data planes.
    pub fronts: Arc<[SocketAddr]>,
    /// The operator.
    pub operator: Mutex<Operator>,
    /// Load factor of the last tenant.
    pub last_tenant_factor: LoadFactor,
    seed: u64,
    started_backends: Cell<u16>,
    /// Faults that could not be injected.
    pub injection_errors: RefCell<Vec<String>>,
}

fn relay_error(error: io::Error) -> Error {
    Error::Socket { what: "a relay", error }
}

impl Environment {
    /// Starts all parties except the load.
    ///
    /// # Errors
    /// Returns an error when a process or relay cannot be started.
    pub fn start(program: &Program, directory: &Path, site: Site, seed: u64) -> Result<Self, Error> {
        let (history, net) = (Arc::new(History::default()), Net::default());
        let others = site.source(None);
        for from in 0..ZONES.len() {
            for to in (0..VOTERS).filter(|to| *to != from) {
                let target = site.peers(to);
                let at = SocketAddr::new(site.relay_address(from, target.ip()), target.port());
                let (parties, source) =
                    ((Party::Machine(from), Party::ControlPlane(to)), site.source(Some(from)));
                net.add_relay(parties, at, source, target, true).map_err(relay_error)?;
            }
        }
        let controls = |of: Party| -> Result<Control, Error> {
            let way = |machine| {
                let (parties, target) = ((of, Party::ControlPlane(machine)), site.control(machine));
                net.add_relay(parties, SocketAddr::new(others, 0), others, target, true).map_err(relay_error)
            };
            let ways: Vec<_> = (0..VOTERS).map(way).collect::<Result<_, _>>()?;
            let own: Vec<_> = (0..VOTERS).map(|machine| site.control(machine)).collect();
            Ok(Control::via_relays(ways, own))
        };
        let front = |machine| {
            let (parties, target) = ((Party::Clients, Party::DataPlane(machine)), site.front(machine));
            net.add_relay(parties, SocketAddr::new(others, 0), others, target, true).map_err(relay_error)
        };
        let fronts: Arc<[_]> = (0..ZONES.len()).map(front).collect::<Result<_, _>>()?;
        let operator = Operator::new(controls(Party::Operator)?, fronts.to_vec(), history.clone());
        let of_backends: Vec<_> =
            (0..SLOTS).map(|slot| controls(Party::StandInBackend(slot))).collect::<Result<_, _>>()?;
        let (control_planes, data_planes) = program.start_all(directory, &site)?;
        let mut environment = Self {
            history,
            net,
            site,
            directory: directory.to_owned(),
            control_planes: control_planes.into_iter().map(Mutex::new).collect(),
            data_planes: data_planes.into_iter().map(Mutex::new).collect(),
            backends: Vec::new(),
            controls: of_backends,
            fronts,
            operator: Mutex::new(operator),
            last_tenant_factor: LoadFactor::new(1.0),
            seed,
            started_backends: Cell::new(0),
            injection_errors: RefCell::default(),
        };
        for slot in 0..SLOTS {
            let service = SERVICES[slot / ZONES_OF_BACKENDS.len()].0;
            let backend = environment.start_backend(slot, service, None, true)?;
            environment.backends.push(Mutex::new(backend));
        }
        Ok(environment)
    }

    /// Starts a backend in a slot, at a new port or at a given one that was used before.
    fn start_backend(
        &self, slot: usize, service: &str, port: Option<u16>, warm: bool,
    ) -> Result<Arc<StandInBackend>, Error> {
        let instance = self.started_backends.replace(self.started_backends.get() + 1);
        let at = SocketAddr::new(self.site.backend(slot), port.unwrap_or(FIRST_PORT + instance));
        if port.is_none() {
            for machine in 0..ZONES.len() {
                let way = SocketAddr::new(self.site.relay_address(machine, at.ip()), at.port());
                let (parties, source) =
                    ((Party::Machine(machine), Party::StandInBackend(slot)), self.site.source(Some(machine)));
                self.net.add_relay(parties, way, source, at, true).map_err(relay_error)?;
            }
        }
        StandInBackend::start(BackendOptions {
            service: service.to_owned(),
            zone: ZONES_OF_BACKENDS[slot % ZONES_OF_BACKENDS.len()].to_owned(),
            at,
            seed: mix(self.seed).wrapping_add(instance.into()),
            warm,
            control: self.controls[slot].clone(),
            history: Some(self.history.clone()),
        })
    }

    fn process(&self, of: Party) -> Option<(usize, bool, &Mutex<Process>)> {
        match of {
            Party::DataPlane(machine) => Some((machine, true, self.data_planes.get(machine)?)),
            Party::ControlPlane(machine) => Some((machine, false, self.control_planes.get(machine)?)),
            _ => None,
        }
    }

    fn record_process(&self, machine: usize, data_plane: bool, process_event: ProcessEvent) {
        self.history.record(Event::Process { machine, data_plane, process_event });
    }

    /// Injects each fault at its time; returns when all faults have ended and everything is restored.
    pub async fn inject_faults(self: &Rc<Self>, faults: &[Fault], load_start: Instant) {
        let mut all = JoinSet::new();
        for (index, fault) in faults.iter().cloned().enumerate() {
            let environment = self.clone();
            all.spawn_local(async move {
                sleep_until(load_start + Duration::from_secs_f64(fault.at)).await;
                let (text, machines) = (fault.text.clone(), fault.machines());
                environment.history.record(Event::FaultBegan { fault: index, text, machines });
                let until = Instant::now() + Duration::from_secs_f64(fault.duration);
                if let Err(error) = environment.inject(index, &fault, until).await {
                    environment.injection_errors.borrow_mut().push(format!("{}: {error}", fault.text));
                }
                environment.history.record(Event::FaultEnded { fault: index });
            });
        }
        while all.join_next().await.is_some() {}
    }

    async fn inject(self: &Rc<Self>, index: usize, fault: &Fault, until: Instant) -> Result<(), Error> {
        match &fault.on {
            Target::Links(links, flow) => {
                self.net.begin(index, links, *flow);
                sleep_until(until).await;
                self.net.end(index);
                Ok(())
            }
            Target::Processes(of) => self.affect_processes(of.clone(), fault, until).await,
            Target::Leader => {
                let control = self.direct_control().await;
                match control.leader().await {
                    Some(leader) => {
                        self.affect_processes(vec![Party::ControlPlane(leader)], fault, until).await
                    }
                    None => {
                        self.history.late("no leader found for a fault of the leader");
                        Ok(())
                    }
                }
            }
            Target::Backends(slots) => self.affect_backends(slots, fault, until).await,
            Target::Global => {
                self.affect_all(fault, until).await;
                Ok(())
            }
        }
    }

    /// A control client without relays, used by the testbed to observe the control planes.
    async fn direct_control(&self) -> Control {
        let own: Vec<_> = (0..VOTERS).map(|machine| self.site.control(machine)).collect();
        Control::new(own)
    }

    async fn affect_processes(
        self: &Rc<Self>, of: Vec<Party>, fault: &Fault, until: Instant,
    ) -> Result<(), Error> {
        let mut all = JoinSet::new();
        for party in of {
            let (environment, fault) = (self.clone(), fault.clone());
            all.spawn_local(async move { environment.affect_process(party, &fault, until).await });
        }
        while let Some(result) = all.join_next().await {
            result.unwrap_or(Ok(()))?;
        }
        Ok(())
    }

    async fn affect_process(&self, party: Party, fault: &Fault, until: Instant) -> Result<(), Error> {
        let Some((machine, data_plane, process)) = self.process(party) else { return Ok(()) };
        // If another fault holds the process, wait until that fault ends.
        let mut process = process.lock().await;
        match fault.kind {
            Kind::Stop => {
                self.record_process(machine, data_plane, ProcessEvent::Stopped);
                process.signal(Signal::STOP);
                sleep_until(until).await;
                process.signal(Signal::CONT);
                self.record_process(machine, data_plane, ProcessEvent::Continued);
                return Ok(());
            }
            Kind::Kill => {
                self.record_process(machine, data_plane, ProcessEvent::Killed);
                self.net.set_listening(party, false);
                process.kill().await;
            }
            _ => {
                self.record_process(machine, data_plane, ProcessEvent::Told);
                process.signal(Signal::TERM);
                if !process.wait_exit(GRACE).await {
                    let process_event =
                        ProcessEvent::Wrong(format!("did not exit within {} s of SIGTERM", GRACE.as_secs()));
                    self.record_process(machine, data_plane, process_event);
                }
                self.net.set_listening(party, false);
            }
        }
        if fault.disk == Disk::Empty && !data_plane {
            let directory = data_directory(&self.directory, machine);
            std::fs::remove_dir_all(&directory).map_err(Error::file(&directory))?;
            std::fs::create_dir_all(&directory).map_err(Error::file(&directory))?;
        }
        sleep_until(until).await;
        process.restart()?;
        self.net.set_listening(party, true);
        self.record_process(machine, data_plane, ProcessEvent::Started);
        Ok(())
    }

    async fn affect_backends(&self, slots: &[usize], fault: &Fault, until: Instant) -> Result<(), Error> {
        let behavior = match fault.kind {
            Kind::Slow => Some(Behavior::Slow(fault.factor)),
            Kind::Silent => Some(Behavior::Silent),
            Kind::Garble => Some(Behavior::SendsGarbage),
            Kind::Fail => Some(Behavior::Fails(fault.share)),
            Kind::Lose => Some(Behavior::Loses(fault.share)),
            _ => None,
        };
        let mut places = Vec::new();
        for slot in slots {
            places.push((*slot, self.backends[*slot].lock().await));
        }
        if let Some(behavior) = behavior {
            places.iter().for_each(|(_, backend)| backend.set_behavior(behavior));
            sleep_until(until).await;
            places.iter().for_each(|(_, backend)| backend.set_behavior(Behavior::Well));
            return Ok(());
        }
        if fault.kind == Kind::Release {
            for (slot, backend) in &mut places {
                let new = self.start_backend(*slot, &backend.service, None, false)?;
                let old = std::mem::replace(&mut **backend, new);
                if !old.leave().await {
                    self.history.late(format!("the drain or departure of {} was not acknowledged", old.id));
                }
            }
            return Ok(());
        }
        let mut substitutes = Vec::new();
        for (slot, backend) in &mut places {
            backend.end();
            if fault.kind == Kind::Reuse {
                // The address is free only after the last task of the old backend has ended.
                sleep(Duration::from_millis(30)).await;
                let other = SERVICES.iter().find(|(label, _)| *label != backend.service);
                let service = other.map_or("", |(label, _)| *label);
                substitutes.push(self.start_backend(*slot, service, Some(backend.address.port()), true)?);
            }
        }
        sleep_until(until).await;
        for substitute in substitutes {
            substitute.leave().await;
        }
        for (slot, backend) in &mut places {
            **backend = self.start_backend(*slot, &backend.service, None, false)?;
        }
        Ok(())
    }

    async fn affect_all(&self, fault: &Fault, until: Instant) {
        match fault.kind {
            Kind::Changes => {
                let mut operator = self.operator.lock().await;
                operator.run_changes(Instant::now(), until, self.seed).await;
            }
            Kind::Hot => {
                self.last_tenant_factor.set(fault.factor);
                sleep_until(until).await;
                self.last_tenant_factor.set(1.0);
            }
            _ => {
                let mut all = JoinSet::new();
                for index in 0..fault.count as u64 {
                    all.spawn(run_rude_client(
                        index,
                        self.seed,
                        self.fronts.clone(),
                        self.history.clone(),
                        until,
                    ));
                }
                while all.join_next().await.is_some() {}
            }
        }
    }

    /// Records the status of all processes periodically; never returns.
    pub async fn observe(&self) {
        let control = self.direct_control().await;
        loop {
            sleep(POLL_INTERVAL).await;
            self.record_exits();
            let mut status_calls = JoinSet::new();
            for machine in 0..VOTERS {
                let control = control.clone();
                status_calls
                    .spawn(async move { (machine, control.status(control.addresses()[machine]).await) });
            }
            // A suspended process must not delay the others, so its answer is dropped after one interval.
            let until = Instant::now() + POLL_INTERVAL;
            while let Ok(Some(result)) = timeout_at(until, status_calls.join_next()).await {
                let Ok((machine, Some(status))) = result else { continue };
                let version = status["version"].as_str().and_then(|v| v.strip_prefix('r')?.parse().ok());
                let (leads, version) = (status["log"]["leads"] == true, version.unwrap_or_default());
                self.history.record(Event::StatusReported { machine, leads, version });
            }
        }
    }

    /// Records processes that exited unexpectedly.
    pub fn record_exits(&self) {
        let control_planes =
            self.control_planes.iter().enumerate().map(|(machine, process)| (machine, false, process));
        let data_planes =
            self.data_planes.iter().enumerate().map(|(machine, process)| (machine, true, process));
        for (machine, data_plane, process) in control_planes.chain(data_planes) {
            let Ok(mut process) = process.try_lock() else { continue };
            if let Some(status) = process.exit_status() {
                self.record_process(
                    machine,
                    data_plane,
                    ProcessEvent::Wrong(format!("exited unexpectedly: {status}")),
                );
            }
        }
    }
}
