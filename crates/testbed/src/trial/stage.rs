//! The stage of a trial: processes, stand-ins and relays between them, and what faults do to these.

use super::parties::{Party, ZONES_OF_BACKENDS};
use super::rude::rude;
use super::schedule::{Disk, Fault, Kind, On};
use crate::backend::{Cradle, StandInBackend};
use crate::chance::mix;
use crate::control::Control;
use crate::demo::{Program, data};
use crate::fault::Fault as Failure;
use crate::fleet::{GRACE, Process};
use crate::history::{Event, History, ProcessEvent};
use crate::load::Greed;
use crate::mood::Mood;
use crate::operator::Operator;
use crate::plan::SERVICES;
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

/// How often control planes are asked how they stand, and processes are looked at.
const LOOKS: Duration = Duration::from_millis(200);
/// The first port of backends; each life has a port of its own.
const PORTS: u16 = 9_000;

/// Everything of a trial while it runs.
pub struct Stage {
    /// What is seen.
    pub history: Arc<History>,
    /// Relays on all links.
    pub net: Net<Party>,
    /// The addresses.
    pub site: Site,
    folder: PathBuf,
    /// Control planes and data planes. Whoever holds one is at work on its process, and notes what becomes of it.
    pub control_planes: Vec<Mutex<Process>>,
    /// See there.
    pub data_planes: Vec<Mutex<Process>>,
    /// By place.
    pub backends: Vec<Mutex<Arc<StandInBackend>>>,
    controls: Vec<Control>,
    /// Where clients go.
    pub fronts: Arc<[SocketAddr]>,
    /// The operator.
    pub operator: Mutex<Operator>,
    /// How much the last tenant asks.
    pub greed: Greed,
    seed: u64,
    lives: Cell<u16>,
    /// Faults that could not be carried out.
    pub failed: RefCell<Vec<String>>,
}

fn failed(error: io::Error) -> Failure {
    Failure::Socket { what: "a relay", error }
}

impl Stage {
    /// Starts everything but the load.
    ///
    /// # Errors
    /// When a process or relay cannot be started.
    pub fn set(program: &Program, folder: &Path, site: Site, seed: u64) -> Result<Self, Failure> {
        let (history, net) = (Arc::new(History::default()), Net::default());
        let others = site.source(None);
        for from in 0..ZONES.len() {
            for to in (0..VOTERS).filter(|to| *to != from) {
                let target = site.peers(to);
                let at = SocketAddr::new(site.way(from, target.ip()), target.port());
                let (parties, source) =
                    ((Party::Machine(from), Party::ControlPlane(to)), site.source(Some(from)));
                net.way(parties, at, source, target, true).map_err(failed)?;
            }
        }
        let controls = |of: Party| -> Result<Control, Failure> {
            let way = |machine| {
                let (parties, target) = ((of, Party::ControlPlane(machine)), site.control(machine));
                net.way(parties, SocketAddr::new(others, 0), others, target, true).map_err(failed)
            };
            let ways: Vec<_> = (0..VOTERS).map(way).collect::<Result<_, _>>()?;
            let own: Vec<_> = (0..VOTERS).map(|machine| site.control(machine)).collect();
            Ok(Control::by_ways(ways, own))
        };
        let front = |machine| {
            let (parties, target) = ((Party::Clients, Party::DataPlane(machine)), site.front(machine));
            net.way(parties, SocketAddr::new(others, 0), others, target, true).map_err(failed)
        };
        let fronts: Arc<[_]> = (0..ZONES.len()).map(front).collect::<Result<_, _>>()?;
        let operator = Operator::new(controls(Party::Operator)?, fronts.to_vec(), history.clone());
        let of_backends: Vec<_> =
            (0..SLOTS).map(|slot| controls(Party::StandInBackend(slot))).collect::<Result<_, _>>()?;
        let (control_planes, data_planes) = program.start_all(folder, &site)?;
        let mut stage = Self {
            history,
            net,
            site,
            folder: folder.to_owned(),
            control_planes: control_planes.into_iter().map(Mutex::new).collect(),
            data_planes: data_planes.into_iter().map(Mutex::new).collect(),
            backends: Vec::new(),
            controls: of_backends,
            fronts,
            operator: Mutex::new(operator),
            greed: Greed::new(1.0),
            seed,
            lives: Cell::new(0),
            failed: RefCell::default(),
        };
        for slot in 0..SLOTS {
            let service = SERVICES[slot / ZONES_OF_BACKENDS.len()].0;
            let backend = stage.life(slot, service, None, true)?;
            stage.backends.push(Mutex::new(backend));
        }
        Ok(stage)
    }

    /// A new life at a backend's place: at a port of its own, or at one that was used before.
    fn life(
        &self, slot: usize, service: &str, port: Option<u16>, warm: bool,
    ) -> Result<Arc<StandInBackend>, Failure> {
        let life = self.lives.replace(self.lives.get() + 1);
        let at = SocketAddr::new(self.site.backend(slot), port.unwrap_or(PORTS + life));
        if port.is_none() {
            for machine in 0..ZONES.len() {
                let way = SocketAddr::new(self.site.way(machine, at.ip()), at.port());
                let (parties, source) =
                    ((Party::Machine(machine), Party::StandInBackend(slot)), self.site.source(Some(machine)));
                self.net.way(parties, way, source, at, true).map_err(failed)?;
            }
        }
        StandInBackend::start(Cradle {
            service: service.to_owned(),
            zone: ZONES_OF_BACKENDS[slot % ZONES_OF_BACKENDS.len()].to_owned(),
            at,
            seed: mix(self.seed).wrapping_add(life.into()),
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
        self.history.note(Event::Process { machine, data_plane, process_event });
    }

    /// All faults, each at its time; done when everything has been put right again.
    pub async fn troubled(self: &Rc<Self>, faults: &[Fault], begun: Instant) {
        let mut all = JoinSet::new();
        for (number, fault) in faults.iter().cloned().enumerate() {
            let stage = self.clone();
            all.spawn_local(async move {
                sleep_until(begun + Duration::from_secs_f64(fault.at)).await;
                let (text, machines) = (fault.text.clone(), fault.machines());
                stage.history.note(Event::FaultBegan { fault: number, text, machines });
                let until = Instant::now() + Duration::from_secs_f64(fault.lasts);
                if let Err(error) = stage.happens(number, &fault, until).await {
                    stage.failed.borrow_mut().push(format!("{}: {error}", fault.text));
                }
                stage.history.note(Event::FaultEnded { fault: number });
            });
        }
        while all.join_next().await.is_some() {}
    }

    async fn happens(self: &Rc<Self>, number: usize, fault: &Fault, until: Instant) -> Result<(), Failure> {
        match &fault.on {
            On::Links(links, flow) => {
                self.net.begin(number, links, *flow);
                sleep_until(until).await;
                self.net.end(number);
                Ok(())
            }
            On::Processes(of) => self.to_processes(of.clone(), fault, until).await,
            On::Leader => {
                let control = self.operator_control().await;
                match control.leader().await {
                    Some(leader) => self.to_processes(vec![Party::ControlPlane(leader)], fault, until).await,
                    None => {
                        self.history.late("nobody led when the leader was to be in trouble");
                        Ok(())
                    }
                }
            }
            On::Backends(slots) => self.to_backends(slots, fault, until).await,
            On::Nobody => {
                self.to_all(fault, until).await;
                Ok(())
            }
        }
    }

    /// How control planes are asked without relays: the tool's own eyes.
    async fn operator_control(&self) -> Control {
        let own: Vec<_> = (0..VOTERS).map(|machine| self.site.control(machine)).collect();
        Control::new(own)
    }

    async fn to_processes(
        self: &Rc<Self>, of: Vec<Party>, fault: &Fault, until: Instant,
    ) -> Result<(), Failure> {
        let mut all = JoinSet::new();
        for party in of {
            let (stage, fault) = (self.clone(), fault.clone());
            all.spawn_local(async move { stage.to_process(party, &fault, until).await });
        }
        while let Some(done) = all.join_next().await {
            done.unwrap_or(Ok(()))?;
        }
        Ok(())
    }

    async fn to_process(&self, party: Party, fault: &Fault, until: Instant) -> Result<(), Failure> {
        let Some((machine, data_plane, process)) = self.process(party) else { return Ok(()) };
        // Another fault may be at work on it: then this one waits for its turn.
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
                self.net.set_up(party, false);
                process.kill().await;
            }
            _ => {
                self.record_process(machine, data_plane, ProcessEvent::Told);
                process.signal(Signal::TERM);
                if !process.ends(GRACE).await {
                    let process_event =
                        ProcessEvent::Wrong(format!("did not end {} s after SIGTERM", GRACE.as_secs()));
                    self.record_process(machine, data_plane, process_event);
                }
                self.net.set_up(party, false);
            }
        }
        if fault.disk == Disk::Empty && !data_plane {
            let folder = data(&self.folder, machine);
            std::fs::remove_dir_all(&folder).map_err(Failure::file(&folder))?;
            std::fs::create_dir_all(&folder).map_err(Failure::file(&folder))?;
        }
        sleep_until(until).await;
        process.restart()?;
        self.net.set_up(party, true);
        self.record_process(machine, data_plane, ProcessEvent::Started);
        Ok(())
    }

    async fn to_backends(&self, slots: &[usize], fault: &Fault, until: Instant) -> Result<(), Failure> {
        let mood = match fault.kind {
            Kind::Slow => Some(Mood::Slow(fault.factor)),
            Kind::Silent => Some(Mood::Silent),
            Kind::Garble => Some(Mood::Garbles),
            Kind::Fail => Some(Mood::Fails(fault.share)),
            Kind::Lose => Some(Mood::Loses(fault.share)),
            _ => None,
        };
        let mut places = Vec::new();
        for slot in slots {
            places.push((*slot, self.backends[*slot].lock().await));
        }
        if let Some(mood) = mood {
            places.iter().for_each(|(_, backend)| backend.feels(mood));
            sleep_until(until).await;
            places.iter().for_each(|(_, backend)| backend.feels(Mood::Well));
            return Ok(());
        }
        if fault.kind == Kind::Release {
            for (slot, backend) in &mut places {
                let new = self.life(*slot, &backend.service, None, false)?;
                let old = std::mem::replace(&mut **backend, new);
                if !old.leave().await {
                    self.history.late(format!("the leave of {} was not acknowledged", old.id));
                }
            }
            return Ok(());
        }
        let mut learners = Vec::new();
        for (slot, backend) in &mut places {
            backend.end();
            if fault.kind == Kind::Reuse {
                // The address is free once the last task of the old life is gone.
                sleep(Duration::from_millis(30)).await;
                let other = SERVICES.iter().find(|(label, _)| *label != backend.service);
                let service = other.map_or("", |(label, _)| *label);
                learners.push(self.life(*slot, service, Some(backend.address.port()), true)?);
            }
        }
        sleep_until(until).await;
        for learner in learners {
            learner.leave().await;
        }
        for (slot, backend) in &mut places {
            **backend = self.life(*slot, &backend.service, None, false)?;
        }
        Ok(())
    }

    async fn to_all(&self, fault: &Fault, until: Instant) {
        match fault.kind {
            Kind::Changes => {
                let mut operator = self.operator.lock().await;
                operator.changes(Instant::now(), until, self.seed).await;
            }
            Kind::Hot => {
                self.greed.set(fault.factor);
                sleep_until(until).await;
                self.greed.set(1.0);
            }
            _ => {
                let mut all = JoinSet::new();
                for number in 0..fault.count as u64 {
                    all.spawn(rude(number, self.seed, self.fronts.clone(), self.history.clone(), until));
                }
                while all.join_next().await.is_some() {}
            }
        }
    }

    /// Looks at all processes until it is dropped.
    pub async fn looked_at(&self) {
        let control = self.operator_control().await;
        loop {
            sleep(LOOKS).await;
            self.look_for_ends();
            let mut asked = JoinSet::new();
            for machine in 0..VOTERS {
                let control = control.clone();
                asked.spawn(async move { (machine, control.status(control.addresses()[machine]).await) });
            }
            // One that is stopped keeps nobody waiting: its answer is left for the next look.
            let until = Instant::now() + LOOKS;
            while let Ok(Some(answer)) = timeout_at(until, asked.join_next()).await {
                let Ok((machine, Some(status))) = answer else { continue };
                let version = status["version"].as_str().and_then(|v| v.strip_prefix('r')?.parse().ok());
                let (leads, version) = (status["log"]["leads"] == true, version.unwrap_or_default());
                self.history.note(Event::StatusReported { machine, leads, version });
            }
        }
    }

    /// Notes which processes have ended by themselves.
    pub fn look_for_ends(&self) {
        let control_planes =
            self.control_planes.iter().enumerate().map(|(machine, process)| (machine, false, process));
        let data_planes =
            self.data_planes.iter().enumerate().map(|(machine, process)| (machine, true, process));
        for (machine, data_plane, process) in control_planes.chain(data_planes) {
            let Ok(mut process) = process.try_lock() else { continue };
            if let Some(status) = process.ended() {
                self.record_process(
                    machine,
                    data_plane,
                    ProcessEvent::Wrong(format!("ended by itself: {status}")),
                );
            }
        }
    }
}
