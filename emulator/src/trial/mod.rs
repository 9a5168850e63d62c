//! Trials: fault-injection runs against real gateway processes. The gateways talk to stand-ins (backends, discovery and
//! counter) through a relay on every link. The relays and the process control inject faults, and the judge checks the
//! recorded history. Each submodule documents its own guarantees.
//!
//! Terms: a party is a client, gateway, backend or service that has connections; a link is one direction of traffic
//! between two parties. A group is a set of gateways that share a replicated log, of which the voters are the members
//! with a vote. A duty is a named role that at most one gateway of the group performs at a time, under a fencing token.
//! A handover replaces the process of a gateway: a second process starts and takes over before the first one ends.

pub mod judge;
pub mod page;
pub mod relay;
pub mod report;
pub mod schedule;

use crate::live::history::{Addresses, History, Seen};
use crate::live::load::{Class, Load, Watch};
use crate::live::process::{self, Process, free_addresses};
use crate::live::stand_ins::{Backend, Counter, Discovery, WARM_UP, hosts};
use fault_injection::clock::{MAX_CLOCK_DELAY, measure_clock_delay};
use judge::{CLASSES, OVERLOAD_LIMIT, PLANS, PROCESS_LIMITS, Verdict};
use relay::{Flow, Net, Party};
use rustix::process::Signal;
use schedule::{Fault, Kind, Schedule, Tmp};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Name of the data directory of a voter, in the folder of the gateway.
const DISK_DIR: &str = "disk";
/// Name of the file in which a gateway records that it performs a duty, in the folder of the gateway.
const ACTS_FILE: &str = "acts";
/// Number of requests that a backend processes concurrently.
const SLOTS_PER_BACKEND: usize = 1;
/// Number of customers.
const CUSTOMERS: u64 = 40;
/// Number of gateways that serve each customer.
const GATEWAYS_PER_CUSTOMER: usize = 3;
/// Time between SIGTERM and SIGKILL that the protocol prescribes.
const TERMINATION_GRACE: Duration = Duration::from_millis(3700);
/// How long after SIGTERM the load balancer still sends requests to the gateway.
const FRONT_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// Time limit for a new process to take over from the old one in a handover.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which the emulator polls the state and resource use of the gateway processes.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the emulator polls whether a new process has taken over.
const TAKEOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Error that aborts a trial.
pub type TrialError = Box<dyn std::error::Error + Send + Sync>;

/// Options that apply to all trials of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the gateway executable.
    pub program: PathBuf,
    /// Path of an older gateway executable, for restarts with `old = true`.
    pub old: Option<PathBuf>,
    /// Directory for the history, verdict, logs and timeline of each trial; `None` discards them.
    pub keep: Option<PathBuf>,
}

/// Temporary folder of a trial, removed on drop, and the number of the trial.
struct TempFolder(PathBuf, usize);

impl TempFolder {
    fn new() -> io::Result<Self> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fennelscale-trial-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path, number))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A gateway of the trial: its files and addresses, and its current process.
struct Node {
    number: usize,
    folder: PathBuf,
    config: PathBuf,
    /// Address of the operators' console.
    console: SocketAddr,
    /// The current process; `None` while the gateway is down.
    process: Option<Process>,
    /// Whether an exit of the process is expected, because the emulator has killed the process or requested its exit.
    exit_expected: bool,
}

/// The running environment of a trial.
struct Environment {
    history: Arc<History>,
    net: Net,
    options: Options,
    nodes: Vec<tokio::sync::Mutex<Node>>,
    backends: Vec<Arc<Backend>>,
    /// For each gateway its discovery service, and the relay address of each backend.
    discovery: Vec<(Discovery, Vec<SocketAddr>)>,
    counter: Arc<Counter>,
    /// Whether the load balancer sends requests to a gateway, by gateway number.
    admitted: Arc<Vec<AtomicBool>>,
    /// Faults that could not be injected; they make the trial void.
    injection_errors: Mutex<Vec<String>>,
}

/// Runs a trial to its end and judges its history. With [`Options::keep`], also writes the history and other artifacts.
///
/// # Errors
/// When a process or stand-in cannot start, or a file cannot be written.
pub async fn play(schedule: &Schedule, options: &Options) -> Result<Verdict, TrialError> {
    process::kill_all_on_panic();
    let folder = TempFolder::new()?;
    let (environment, client_addresses) = Environment::set_up(schedule, options, &folder).await?;
    let late = Arc::new(AtomicU64::new(0));
    let clock_monitor = tokio::spawn(measure_clock_delay(late.clone()));
    let class = |class: &judge::Class| Class {
        name: class.name.into(),
        safe: class.safe,
        share: class.share,
        deadline_ms: class.deadline_ms,
    };
    let load = Load {
        to: client_addresses,
        rate: schedule.rate,
        seconds: schedule.seconds.ceil() as u64,
        classes: CLASSES.iter().map(class).collect(),
        plans: PLANS.iter().map(|plan| plan.name.into()).collect(),
        customers: CUSTOMERS,
        spread: GATEWAYS_PER_CUSTOMER,
        skewed: true,
        seed: schedule.seed,
        watch: Some(Watch { history: environment.history.clone(), admitted: environment.admitted.clone() }),
    };
    let finished = AtomicBool::new(false);
    let load_and_faults = async {
        let (loaded, ()) = tokio::join!(load.run(|| {}), environment.inject_faults(&schedule.faults));
        finished.store(true, Ordering::Relaxed);
        loaded
    };
    let (loaded, ()) = tokio::join!(load_and_faults, environment.monitor_processes(&finished));
    loaded?;
    clock_monitor.abort();
    for node in &environment.nodes {
        if let Some(mut process) = node.lock().await.process.take() {
            process.kill().await?;
        }
    }
    for node in &environment.nodes {
        let node = node.lock().await;
        read_acts(&environment.history, node.number, &node.folder.join(ACTS_FILE))?;
    }
    let (lines, full) = environment.history.take();
    let late = Duration::from_micros(late.load(Ordering::Relaxed));
    let injection_errors =
        environment.injection_errors.lock().unwrap_or_else(PoisonError::into_inner).join("; ");
    let void = if full {
        Some("the history exceeded its maximum number of events".into())
    } else if late > MAX_CLOCK_DELAY {
        Some(format!("the emulator itself ran {} ms late", late.as_millis()))
    } else if environment.net.failure_count() > 0 {
        Some(format!("the relays of the emulator failed {} times", environment.net.failure_count()))
    } else if !injection_errors.is_empty() {
        Some(injection_errors)
    } else {
        None
    };
    let verdict = judge::judge(schedule, &lines, void);
    if let Some(keep) = &options.keep {
        let keep = keep.join(format!("{}-{}", folder_name(&schedule.name), schedule.seed));
        write_artifacts(&keep, &folder.0, schedule, &lines, &verdict)?;
    }
    Ok(verdict)
}

/// Adds the duty actions that a gateway recorded in its file to the history. Ignores an incomplete last line, whose
/// write did not finish.
fn read_acts(history: &History, gateway: usize, path: &Path) -> io::Result<()> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
    for line in whole.lines() {
        let mut words = line.split(' ');
        let (Some(at), Some(duty), Some(fence)) = (words.next(), words.next(), words.next()) else {
            continue;
        };
        let (Ok(at), Ok(fence)) = (at.parse(), fence.parse()) else { continue };
        history.note_boot(at, Seen::Acted { gateway, duty: duty.to_owned(), fence });
    }
    Ok(())
}

/// Converts the name of a trial to a folder name.
fn folder_name(name: &str) -> String {
    let stem = Path::new(name).file_stem().unwrap_or_default().to_string_lossy();
    stem.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-' || *c == '_').collect()
}

fn write_artifacts(
    keep: &Path, folder: &Path, schedule: &Schedule, lines: &[crate::live::history::Line], verdict: &Verdict,
) -> Result<(), TrialError> {
    std::fs::create_dir_all(keep)?;
    let mut text = String::new();
    for line in lines {
        text.push_str(&serde_json::to_string(line)?);
        text.push('\n');
    }
    std::fs::write(keep.join("history.jsonl"), text)?;
    std::fs::write(keep.join("verdict.json"), serde_json::to_string_pretty(verdict)?)?;
    std::fs::write(keep.join("timeline.svg"), page::timeline(schedule, lines, verdict)?)?;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        for file in std::fs::read_dir(entry.path()).into_iter().flatten().flatten() {
            let name = file.file_name().to_string_lossy().into_owned();
            if name.starts_with("log-") {
                let to = format!("{}-{name}", entry.file_name().to_string_lossy());
                std::fs::copy(file.path(), keep.join(to))?;
            }
        }
    }
    Ok(())
}

impl Environment {
    /// Starts the stand-ins, the relays and the gateways. Returns the addresses at which clients reach the gateways.
    async fn set_up(
        schedule: &Schedule, options: &Options, root: &TempFolder,
    ) -> Result<(Self, Vec<SocketAddr>), TrialError> {
        let fleet = &schedule.fleet;
        let history = Arc::new(History::default());
        let addresses = Addresses::of_trial(root.1);
        let net = Net::new(addresses);
        let mut backends = Vec::new();
        for number in 0..fleet.backends {
            let zone = &fleet.zones[number % fleet.zones.len()];
            backends.push(Backend::start(number, zone, SLOTS_PER_BACKEND, Some(history.clone())).await?);
        }
        let counter = Counter::start(fleet.counter_parts, Some(history.clone())).await?;
        // Listening addresses of each gateway: for clients, for operators and for its group.
        let mut listen_addresses: Vec<[SocketAddr; 3]> = Vec::new();
        for number in 0..fleet.gateways {
            listen_addresses.push(free_addresses(addresses.listen(number)).await?);
        }
        let (mut discovery, mut nodes, mut client_addresses) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..fleet.gateways {
            let me = Party::Gateway(number);
            let mut dials = Vec::new();
            for (backend_number, backend) in backends.iter().enumerate() {
                dials.push(net.way(me, Party::Backend(backend_number), backend.address, true)?);
            }
            let hosts = hosts(&backends, &dials);
            let published = Discovery::start(hosts, Some((number, history.clone()))).await?;
            let [listen, console, group_at] = listen_addresses[number];
            let mut config_json = json!({
                "name": format!("g{number}"), "listen": listen.to_string(), "console": console.to_string(),
                "seed": format!("{:x}", crate::draw::mix(schedule.seed ^ number as u64)),
                "discovery": net.way(me, Party::Discovery, published.address, true)?.to_string(),
                "counter": net.way(me, Party::Counter, counter.address, true)?.to_string(),
                "limits": {"cores": 1.0, "memory_mb": PROCESS_LIMITS.1, "sockets": PROCESS_LIMITS.0},
                "known": published.known(), "settings": settings(schedule, number)});
            let folder = root.0.join(format!("g{number}"));
            std::fs::create_dir_all(&folder)?;
            if let Some(plan) = &fleet.group {
                let known = (0..plan.voters).map(|voter| match voter == number {
                    true => Ok(group_at),
                    false => net.way(me, Party::Gateway(voter), listen_addresses[voter][2], false),
                });
                let known = known.collect::<io::Result<Vec<_>>>()?;
                let voters = known.iter().enumerate();
                let voters: Vec<Value> = voters
                    .map(|(n, at)| json!({"name": format!("g{n}"), "address": at.to_string()}))
                    .collect();
                config_json["group"] = json!({"name": "trial", "voters": voters, "life_ms": plan.life_ms,
                    "duties": plan.duties, "acts": folder.join(ACTS_FILE)});
                if number < plan.voters {
                    config_json["group"]["listen"] = json!(group_at.to_string());
                    config_json["group"]["dir"] = json!(folder.join(DISK_DIR));
                }
            }
            let config = folder.join("config.json");
            std::fs::write(&config, config_json.to_string())?;
            client_addresses.push(net.way(Party::Clients, me, listen, false)?);
            nodes.push(tokio::sync::Mutex::new(Node {
                number,
                folder,
                config,
                console,
                process: None,
                exit_expected: false,
            }));
            discovery.push((published, dials));
        }
        let admitted = Arc::new((0..fleet.gateways).map(|_| AtomicBool::new(true)).collect());
        let (options, injection_errors) = (options.clone(), Mutex::default());
        let environment =
            Self { history, net, options, nodes, backends, discovery, counter, admitted, injection_errors };
        for node in &environment.nodes {
            environment.start(&mut *node.lock().await, Tmp::Empty, Tmp::Empty, false).await?;
        }
        Ok((environment, client_addresses))
    }

    /// Starts a gateway process and lets the load balancer send requests to it.
    async fn start(&self, node: &mut Node, tmp: Tmp, disk: Tmp, old: bool) -> io::Result<()> {
        let tmp_folder = node.folder.join("tmp");
        for (folder, _) in
            [(&tmp_folder, tmp), (&node.folder.join(DISK_DIR), disk)].iter().filter(|(_, f)| *f == Tmp::Empty)
        {
            let _ = std::fs::remove_dir_all(folder);
        }
        let program = self.options.old.as_ref().filter(|_| old).unwrap_or(&self.options.program);
        let process = Process::start(program, &node.config, &node.folder, &tmp_folder, None).await?;
        self.history.note(Seen::Up { gateway: node.number, pid: process.pid });
        node.process = Some(process);
        node.exit_expected = false;
        self.net.set_listening(Party::Gateway(node.number), true);
        self.admitted[node.number].store(true, Ordering::Relaxed);
        Ok(())
    }

    fn record_exit(&self, node: &Node, pid: u32, status: &dyn std::fmt::Display) {
        let (gateway, asked) = (node.number, node.exit_expected);
        self.history.note(Seen::Down { gateway, pid, asked, status: status.to_string() });
    }

    /// Polls all gateway processes until the trial is over: records exits and resource use.
    async fn monitor_processes(&self, finished: &AtomicBool) {
        while !finished.load(Ordering::Relaxed) {
            sleep(PROCESS_POLL_INTERVAL).await;
            for node in &self.nodes {
                // The holder of the lock is starting or stopping the process and records its exit itself.
                let Ok(mut node) = node.try_lock() else { continue };
                let Some(process) = &mut node.process else { continue };
                let pid = process.pid;
                if let Some(status) = process.ended() {
                    node.process = None;
                    self.net.set_listening(Party::Gateway(node.number), false);
                    self.record_exit(&node, pid, &status);
                } else if let Some((descriptors, resident_kb)) = process.resource_use() {
                    self.history.note(Seen::Holds { gateway: node.number, pid, descriptors, resident_kb });
                }
            }
        }
    }

    /// Injects all faults, each at its scheduled time.
    async fn inject_faults(&self, faults: &[Fault]) {
        let load_start = Instant::now();
        let inject = |(number, fault): (usize, &Fault)| {
            let fault = fault.clone();
            async move {
                sleep_until(load_start + Duration::from_secs_f64(fault.at)).await;
                self.history.note(Seen::Begins { fault: number });
                let until = Instant::now() + Duration::from_secs_f64(fault.duration);
                let result = self.inject_fault(number, &fault, until).await;
                self.history.note(Seen::Ends { fault: number });
                if let Err(error) = result {
                    let mut injection_errors =
                        self.injection_errors.lock().unwrap_or_else(PoisonError::into_inner);
                    injection_errors.push(format!("{}: {error}", fault.text));
                }
            }
        };
        let mut pending: Vec<_> =
            faults.iter().enumerate().map(|fault_future| Box::pin(inject(fault_future))).collect();
        std::future::poll_fn(|cx| {
            pending.retain_mut(|fault_future| fault_future.as_mut().poll(cx).is_pending());
            if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
        })
        .await;
    }

    /// Injects one fault and removes it at the time `until`.
    async fn inject_fault(&self, number: usize, fault: &Fault, until: Instant) -> io::Result<()> {
        let gateways =
            || fault.on.iter().filter_map(|p| if let Party::Gateway(n) = p { Some(*n) } else { None });
        let backends =
            || fault.on.iter().filter_map(|p| if let Party::Backend(n) = p { Some(*n) } else { None });
        let affected_shards = (fault.share * self.counter.shards() as f64).ceil() as usize;
        match fault.kind {
            Kind::Cut | Kind::Reset | Kind::Mute | Kind::Delay | Kind::Throttle | Kind::CutAfter => {
                self.net.begin(number, &fault.links, fault.flow);
                sleep_until(until).await;
                self.net.end(number);
            }
            Kind::Kill => {
                for gateway in gateways() {
                    let mut node = self.nodes[gateway].lock().await;
                    let Some(mut process) = node.process.take() else { continue };
                    node.exit_expected = true;
                    self.net.set_listening(Party::Gateway(gateway), false);
                    let status = process.kill().await?;
                    self.record_exit(&node, process.pid, &status);
                }
                sleep_until(until).await;
                for gateway in gateways() {
                    let mut node = self.nodes[gateway].lock().await;
                    if node.process.is_none() {
                        self.start(&mut node, fault.tmp, fault.disk, fault.old).await?;
                    }
                }
            }
            Kind::Stop => {
                let mut stopped = Vec::new();
                for gateway in gateways() {
                    let node = self.nodes[gateway].lock().await;
                    stopped.extend(node.process.as_ref().map(|process| process.pid));
                }
                stopped.iter().for_each(|pid| process::signal(*pid, Signal::STOP));
                sleep_until(until).await;
                stopped.iter().for_each(|pid| process::signal(*pid, Signal::CONT));
            }
            Kind::Restart => {
                for gateway in gateways() {
                    self.restart(gateway, fault).await?;
                }
            }
            Kind::Handover => {
                for gateway in gateways() {
                    self.hand_over(gateway).await?;
                }
            }
            Kind::Crash => {
                let touches =
                    |party: &(Party, Party)| fault.on.contains(&party.0) || fault.on.contains(&party.1);
                let links: Vec<_> = self.net.links().into_iter().filter(touches).collect();
                self.net.begin(number, &links, Flow::Reset);
                sleep_until(until).await;
                backends().for_each(|backend| self.backends[backend].restart());
                self.publish_hosts();
                self.net.end(number);
            }
            Kind::Silent | Kind::Drain | Kind::Fail => {
                let apply = |active: bool| {
                    for backend in backends().map(|backend| &self.backends[backend]) {
                        match fault.kind {
                            Kind::Silent => backend.silent.store(active, Ordering::Relaxed),
                            Kind::Drain => backend.draining.store(active, Ordering::Relaxed),
                            _ => {
                                let share = if active { (fault.share * 1000.0) as u64 } else { 0 };
                                backend.failing.store(share, Ordering::Relaxed);
                            }
                        }
                    }
                    if fault.kind == Kind::Drain {
                        self.publish_hosts();
                    }
                };
                apply(true);
                sleep_until(until).await;
                apply(false);
            }
            Kind::Forget => self.counter.forget(affected_shards),
            Kind::Busy => {
                self.counter.busy.store(affected_shards, Ordering::Relaxed);
                sleep_until(until).await;
                self.counter.busy.store(0, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    /// Publishes the current list of backends to all gateways.
    fn publish_hosts(&self) {
        for (discovery, dials) in &self.discovery {
            discovery.change(hosts(&self.backends, dials));
        }
    }

    async fn restart(&self, gateway: usize, fault: &Fault) -> io::Result<()> {
        let mut node = self.nodes[gateway].lock().await;
        let Some(mut process) = node.process.take() else { return Ok(()) };
        node.exit_expected = true;
        let pid = process.pid;
        let notify_front = async {
            sleep(FRONT_NOTICE_DELAY).await;
            self.admitted[gateway].store(false, Ordering::Relaxed);
        };
        let (ended, ()) = tokio::join!(process.terminate(TERMINATION_GRACE), notify_front);
        let (status, exited_itself) = ended?;
        self.net.set_listening(Party::Gateway(gateway), false);
        node.exit_expected = exited_itself;
        let suffix = if exited_itself { "" } else { ", killed: the process did not exit after SIGTERM" };
        self.record_exit(&node, pid, &format!("{status}{suffix}"));
        self.start(&mut node, fault.tmp, fault.disk, fault.old).await
    }

    /// Starts a second process of a gateway and terminates the first one once the second reports that it serves
    /// requests.
    async fn hand_over(&self, gateway: usize) -> io::Result<()> {
        let mut node = self.nodes[gateway].lock().await;
        if node.process.is_none() {
            return Ok(());
        }
        let [console] = free_addresses(node.console.ip()).await?;
        let (program, tmp) = (&self.options.program, node.folder.join("tmp"));
        let new = Process::start(program, &node.config, &node.folder, &tmp, Some(console)).await?;
        self.history.note(Seen::Up { gateway, pid: new.pid });
        let takeover_deadline = Instant::now() + TAKEOVER_TIMEOUT;
        while !process::console(console, "PING").await.is_some_and(|answer| answer.starts_with("YES")) {
            if Instant::now() > takeover_deadline {
                return Err(io::Error::other(
                    "the new process did not report in time that it serves requests",
                ));
            }
            sleep(TAKEOVER_POLL_INTERVAL).await;
        }
        node.console = console;
        let Some(mut old) = node.process.replace(new) else { return Ok(()) };
        let (status, exited_itself) = old.terminate(TERMINATION_GRACE).await?;
        let exit_expected = node.exit_expected;
        node.exit_expected = exited_itself;
        self.record_exit(&node, old.pid, &status);
        node.exit_expected = exit_expected;
        Ok(())
    }
}

/// Settings of a gateway, derived from the schedule.
fn settings(schedule: &Schedule, number: usize) -> Value {
    let fleet = &schedule.fleet;
    let class = |class: &judge::Class| {
        let effect = if class.safe { "idempotent" } else { "at_most_once" };
        json!({"name": class.name, "effect": effect, "goal-time-ms": class.aim_ms, "worth": class.worth})
    };
    let plan = |plan: &judge::Plan| {
        let (rate, burst, slack) = plan.ceiling.unwrap_or_default();
        json!({"name": plan.name, "refill": plan.quota.0, "burst": plan.quota.1, "parallel": plan.open,
            "cap-rate": rate, "ceiling-burst": burst, "ceiling-slack": slack, "worth-factor": 1.0,
            "over-worth": 0.0, "overrun-cost": 0.5})
    };
    json!({
        "fleet-size": fleet.gateways, "my-number": number, "locality": fleet.zones[number % fleet.zones.len()],
        "period-ms": 2, "classes": CLASSES.iter().map(class).collect::<Vec<_>>(),
        "plans": PLANS.iter().map(plan).collect::<Vec<_>>(),
        "extra": {"has-counter": true, "count-limit-ms": 50, "units-top": 1},
        "permissions": {"most-tries": 4, "may-cancel": true, "max-retry-after-ms": 1000},
        "rules": {"cold-from": WARM_UP.0, "cold-ms": WARM_UP.1.as_millis() as u64,
            "overload-factor": OVERLOAD_LIMIT.1, "fall-ms": OVERLOAD_LIMIT.0.as_millis() as u64}})
}
