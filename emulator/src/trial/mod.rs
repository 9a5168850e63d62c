//! Trials: many gateways as processes of their own, among stand-ins, with a relay on every link, faults between
//! them, and a judge of what they did together. What each part promises stands in its own module.

pub mod judge;
pub mod page;
pub mod relay;
pub mod report;
pub mod schedule;

use crate::live::history::{Addresses, History, Seen};
use crate::live::load::{Class, Load, Watch};
use crate::live::process::{self, Process, free_addresses};
use crate::live::stand_ins::{Backend, COLD, Counter, Discovery, hosts};
use fault_injection::clock::{MOST_LATE, keeps_time};
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

/// In a gateway's folder: the disk of a voter, and the file of its acts.
const DISK: &str = "disk";
const ACTS: &str = "acts";
/// What a backend works on at once.
const SLOTS: usize = 1;
/// Customers, and gateways of each one's set.
const CUSTOMERS: u64 = 40;
const SPREAD: usize = 3;
/// The time between SIGTERM and SIGKILL, by the protocol; the front sends on for a part of it.
const GRACE: Duration = Duration::from_millis(3700);
const FRONT: Duration = Duration::from_millis(300);
/// A new process that stands beside an old one takes over within this.
const TAKES_OVER: Duration = Duration::from_secs(8);
/// How often processes are looked at.
const LOOKS: Duration = Duration::from_millis(200);
/// How often it is looked whether a new process has taken over.
const TICK: Duration = Duration::from_millis(10);
/// What ends a trial before its end.
pub type TrialError = Box<dyn std::error::Error + Send + Sync>;

/// How trials are played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The gateway's program.
    pub program: PathBuf,
    /// An older one, for restarts that ask for it.
    pub old: Option<PathBuf>,
    /// Where history, logs and timeline go; nowhere, and they are not kept.
    pub keep: Option<PathBuf>,
}

/// A folder that is gone when its owner is, and the number of the trial that it is of.
struct Folder(PathBuf, usize);

impl Folder {
    fn new() -> io::Result<Self> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fennelscale-trial-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path, number))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A gateway of the trial: its place, and the process that runs there.
struct Node {
    number: usize,
    folder: PathBuf,
    config: PathBuf,
    console: SocketAddr,
    process: Option<Process>,
    /// Whether a process that ends now was told to.
    asked: bool,
}

/// Everything of a trial while it runs.
struct Stage {
    history: Arc<History>,
    net: Net,
    options: Options,
    nodes: Vec<tokio::sync::Mutex<Node>>,
    backends: Vec<Arc<Backend>>,
    /// Each gateway's discovery, and where it finds each backend.
    discovery: Vec<(Discovery, Vec<SocketAddr>)>,
    counter: Arc<Counter>,
    admitted: Arc<Vec<AtomicBool>>,
    faulty: Mutex<Vec<String>>,
}

/// Plays a trial to its end. The history is judged; with [`Options::keep`] it is written down too.
///
/// # Errors
/// When something cannot be started or written.
pub async fn play(schedule: &Schedule, options: &Options) -> Result<Verdict, TrialError> {
    process::end_with_panics();
    let folder = Folder::new()?;
    let (stage, to) = Stage::set(schedule, options, &folder).await?;
    let late = Arc::new(AtomicU64::new(0));
    let watching = tokio::spawn(keeps_time(late.clone()));
    let class = |class: &judge::Class| Class {
        name: class.name.into(),
        safe: class.safe,
        share: class.share,
        deadline_ms: class.deadline_ms,
    };
    let load = Load {
        to,
        rate: schedule.rate,
        seconds: schedule.seconds.ceil() as u64,
        classes: CLASSES.iter().map(class).collect(),
        plans: PLANS.iter().map(|plan| plan.name.into()).collect(),
        customers: CUSTOMERS,
        spread: SPREAD,
        skewed: true,
        seed: schedule.seed,
        watch: Some(Watch { history: stage.history.clone(), admitted: stage.admitted.clone() }),
    };
    let over = AtomicBool::new(false);
    let played = async {
        let (loaded, ()) = tokio::join!(load.run(|| {}), stage.troubled(&schedule.faults));
        over.store(true, Ordering::Relaxed);
        loaded
    };
    let (loaded, ()) = tokio::join!(played, stage.looked_at(&over));
    loaded?;
    watching.abort();
    for node in &stage.nodes {
        if let Some(mut process) = node.lock().await.process.take() {
            process.kill().await?;
        }
    }
    for node in &stage.nodes {
        let node = node.lock().await;
        acted(&stage.history, node.number, &node.folder.join(ACTS))?;
    }
    let (lines, full) = stage.history.take();
    let late = Duration::from_micros(late.load(Ordering::Relaxed));
    let faulty = stage.faulty.lock().unwrap_or_else(PoisonError::into_inner).join("; ");
    let void = if full {
        Some("the history is full".into())
    } else if late > MOST_LATE {
        Some(format!("the tool itself was {} ms late", late.as_millis()))
    } else if stage.net.failed() > 0 {
        Some(format!("the tool's own relays failed {} times", stage.net.failed()))
    } else if !faulty.is_empty() {
        Some(faulty)
    } else {
        None
    };
    let verdict = judge::judge(schedule, &lines, void);
    if let Some(keep) = &options.keep {
        let keep = keep.join(format!("{}-{}", plain(&schedule.name), schedule.seed));
        write_down(&keep, &folder.0, schedule, &lines, &verdict)?;
    }
    Ok(verdict)
}

/// Reads what a gateway has written down of its acts; a last line that is not whole was never written.
fn acted(history: &History, gateway: usize, path: &Path) -> io::Result<()> {
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

/// A trial's name as a folder's.
fn plain(name: &str) -> String {
    let stem = Path::new(name).file_stem().unwrap_or_default().to_string_lossy();
    stem.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-' || *c == '_').collect()
}

fn write_down(
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

impl Stage {
    /// Sets everything up and starts the gateways. Gives where clients find them.
    async fn set(
        schedule: &Schedule, options: &Options, place: &Folder,
    ) -> Result<(Self, Vec<SocketAddr>), TrialError> {
        let fleet = &schedule.fleet;
        let history = Arc::new(History::default());
        let addresses = Addresses::of_trial(place.1);
        let net = Net::new(addresses);
        let mut backends = Vec::new();
        for number in 0..fleet.backends {
            let zone = &fleet.zones[number % fleet.zones.len()];
            backends.push(Backend::start(number, zone, SLOTS, Some(history.clone())).await?);
        }
        let counter = Counter::start(fleet.counter_parts, Some(history.clone())).await?;
        // Where each gateway listens: for clients, operators and its group.
        let mut places: Vec<[SocketAddr; 3]> = Vec::new();
        for number in 0..fleet.gateways {
            places.push(free_addresses(addresses.listen(number)).await?);
        }
        let (mut discovery, mut nodes, mut to) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..fleet.gateways {
            let me = Party::Gateway(number);
            let mut dials = Vec::new();
            for (at, backend) in backends.iter().enumerate() {
                dials.push(net.way(me, Party::Backend(at), backend.address, true)?);
            }
            let hosts = hosts(&backends, &dials);
            let told = Discovery::start(hosts, Some((number, history.clone()))).await?;
            let [listen, console, group_at] = places[number];
            let mut finds = json!({
                "name": format!("g{number}"), "listen": listen.to_string(), "console": console.to_string(),
                "seed": format!("{:x}", crate::draw::mix(schedule.seed ^ number as u64)),
                "discovery": net.way(me, Party::Discovery, told.address, true)?.to_string(),
                "counter": net.way(me, Party::Counter, counter.address, true)?.to_string(),
                "limits": {"cores": 1.0, "memory_mb": PROCESS_LIMITS.1, "sockets": PROCESS_LIMITS.0},
                "known": told.known(), "settings": settings(schedule, number)});
            let folder = place.0.join(format!("g{number}"));
            std::fs::create_dir_all(&folder)?;
            if let Some(plan) = &fleet.group {
                let known = (0..plan.voters).map(|voter| match voter == number {
                    true => Ok(group_at),
                    false => net.way(me, Party::Gateway(voter), places[voter][2], false),
                });
                let known = known.collect::<io::Result<Vec<_>>>()?;
                let voters = known.iter().enumerate();
                let voters: Vec<Value> = voters
                    .map(|(n, at)| json!({"name": format!("g{n}"), "address": at.to_string()}))
                    .collect();
                finds["group"] = json!({"name": "trial", "voters": voters, "life_ms": plan.life_ms,
                    "duties": plan.duties, "acts": folder.join(ACTS)});
                if number < plan.voters {
                    finds["group"]["listen"] = json!(group_at.to_string());
                    finds["group"]["dir"] = json!(folder.join(DISK));
                }
            }
            let config = folder.join("config.json");
            std::fs::write(&config, finds.to_string())?;
            to.push(net.way(Party::Clients, me, listen, false)?);
            nodes.push(tokio::sync::Mutex::new(Node {
                number,
                folder,
                config,
                console,
                process: None,
                asked: false,
            }));
            discovery.push((told, dials));
        }
        let admitted = Arc::new((0..fleet.gateways).map(|_| AtomicBool::new(true)).collect());
        let (options, faulty) = (options.clone(), Mutex::default());
        let stage = Self { history, net, options, nodes, backends, discovery, counter, admitted, faulty };
        for node in &stage.nodes {
            stage.start(&mut *node.lock().await, Tmp::Empty, Tmp::Empty, false).await?;
        }
        Ok((stage, to))
    }

    /// Starts a gateway's process and lets clients in.
    async fn start(&self, node: &mut Node, tmp: Tmp, disk: Tmp, old: bool) -> io::Result<()> {
        let kept = node.folder.join("tmp");
        for (folder, _) in
            [(&kept, tmp), (&node.folder.join(DISK), disk)].iter().filter(|(_, f)| *f == Tmp::Empty)
        {
            let _ = std::fs::remove_dir_all(folder);
        }
        let program = self.options.old.as_ref().filter(|_| old).unwrap_or(&self.options.program);
        let process = Process::start(program, &node.config, &node.folder, &kept, None).await?;
        self.history.note(Seen::Up { gateway: node.number, pid: process.pid });
        node.process = Some(process);
        node.asked = false;
        self.net.set_up(Party::Gateway(node.number), true);
        self.admitted[node.number].store(true, Ordering::Relaxed);
        Ok(())
    }

    fn ended(&self, node: &Node, pid: u32, status: &dyn std::fmt::Display) {
        let (gateway, asked) = (node.number, node.asked);
        self.history.note(Seen::Down { gateway, pid, asked, status: status.to_string() });
    }

    /// Looks at all processes until the trial is over.
    async fn looked_at(&self, over: &AtomicBool) {
        while !over.load(Ordering::Relaxed) {
            sleep(LOOKS).await;
            for node in &self.nodes {
                // Whoever holds it is at work on its process, and notes what becomes of it.
                let Ok(mut node) = node.try_lock() else { continue };
                let Some(process) = &mut node.process else { continue };
                let pid = process.pid;
                if let Some(status) = process.ended() {
                    node.process = None;
                    self.net.set_up(Party::Gateway(node.number), false);
                    self.ended(&node, pid, &status);
                } else if let Some((descriptors, resident_kb)) = process.holds() {
                    self.history.note(Seen::Holds { gateway: node.number, pid, descriptors, resident_kb });
                }
            }
        }
    }

    /// All faults, each at its time.
    async fn troubled(&self, faults: &[Fault]) {
        let begun = Instant::now();
        let one = |(number, fault): (usize, &Fault)| {
            let fault = fault.clone();
            async move {
                sleep_until(begun + Duration::from_secs_f64(fault.at)).await;
                self.history.note(Seen::Begins { fault: number });
                let until = Instant::now() + Duration::from_secs_f64(fault.lasts);
                let done = self.carry_out(number, &fault, until).await;
                self.history.note(Seen::Ends { fault: number });
                if let Err(error) = done {
                    let mut faulty = self.faulty.lock().unwrap_or_else(PoisonError::into_inner);
                    faulty.push(format!("{}: {error}", fault.text));
                }
            }
        };
        let mut all: Vec<_> = faults.iter().enumerate().map(|each| Box::pin(one(each))).collect();
        std::future::poll_fn(|cx| {
            all.retain_mut(|each| each.as_mut().poll(cx).is_pending());
            if all.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
        })
        .await;
    }

    /// One fault from its begin to its end.
    async fn carry_out(&self, number: usize, fault: &Fault, until: Instant) -> io::Result<()> {
        let gateways =
            || fault.on.iter().filter_map(|p| if let Party::Gateway(n) = p { Some(*n) } else { None });
        let backends =
            || fault.on.iter().filter_map(|p| if let Party::Backend(n) = p { Some(*n) } else { None });
        let parts = (fault.share * self.counter.parts() as f64).ceil() as usize;
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
                    node.asked = true;
                    self.net.set_up(Party::Gateway(gateway), false);
                    let status = process.kill().await?;
                    self.ended(&node, process.pid, &status);
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
                let of = |party: &(Party, Party)| fault.on.contains(&party.0) || fault.on.contains(&party.1);
                let links: Vec<_> = self.net.links().into_iter().filter(of).collect();
                self.net.begin(number, &links, Flow::Reset);
                sleep_until(until).await;
                backends().for_each(|backend| self.backends[backend].starts());
                self.tell();
                self.net.end(number);
            }
            Kind::Silent | Kind::Drain | Kind::Fail => {
                let set = |holds: bool| {
                    for backend in backends().map(|backend| &self.backends[backend]) {
                        match fault.kind {
                            Kind::Silent => backend.silent.store(holds, Ordering::Relaxed),
                            Kind::Drain => backend.draining.store(holds, Ordering::Relaxed),
                            _ => {
                                let share = if holds { (fault.share * 1000.0) as u64 } else { 0 };
                                backend.failing.store(share, Ordering::Relaxed);
                            }
                        }
                    }
                    if fault.kind == Kind::Drain {
                        self.tell();
                    }
                };
                set(true);
                sleep_until(until).await;
                set(false);
            }
            Kind::Forget => self.counter.forget(parts),
            Kind::Busy => {
                self.counter.busy.store(parts, Ordering::Relaxed);
                sleep_until(until).await;
                self.counter.busy.store(0, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    /// Discovery has news for all gateways.
    fn tell(&self) {
        for (discovery, dials) in &self.discovery {
            discovery.change(hosts(&self.backends, dials));
        }
    }

    async fn restart(&self, gateway: usize, fault: &Fault) -> io::Result<()> {
        let mut node = self.nodes[gateway].lock().await;
        let Some(mut process) = node.process.take() else { return Ok(()) };
        node.asked = true;
        let pid = process.pid;
        let front = async {
            sleep(FRONT).await;
            self.admitted[gateway].store(false, Ordering::Relaxed);
        };
        let (ended, ()) = tokio::join!(process.terminate(GRACE), front);
        let (status, by_itself) = ended?;
        self.net.set_up(Party::Gateway(gateway), false);
        node.asked = by_itself;
        let told = if by_itself { "" } else { ", killed: it had not ended after SIGTERM" };
        self.ended(&node, pid, &format!("{status}{told}"));
        self.start(&mut node, fault.tmp, fault.disk, fault.old).await
    }

    /// A second process takes over; the first one is told to end once the second says that it serves.
    async fn hand_over(&self, gateway: usize) -> io::Result<()> {
        let mut node = self.nodes[gateway].lock().await;
        if node.process.is_none() {
            return Ok(());
        }
        let [console] = free_addresses(node.console.ip()).await?;
        let (program, tmp) = (&self.options.program, node.folder.join("tmp"));
        let new = Process::start(program, &node.config, &node.folder, &tmp, Some(console)).await?;
        self.history.note(Seen::Up { gateway, pid: new.pid });
        let due = Instant::now() + TAKES_OVER;
        while !process::console(console, "PING").await.is_some_and(|said| said.starts_with("YES")) {
            if Instant::now() > due {
                return Err(io::Error::other("the new process does not say that it serves"));
            }
            sleep(TICK).await;
        }
        node.console = console;
        let Some(mut old) = node.process.replace(new) else { return Ok(()) };
        let (status, by_itself) = old.terminate(GRACE).await?;
        let asked = node.asked;
        node.asked = by_itself;
        self.ended(&node, old.pid, &status);
        node.asked = asked;
        Ok(())
    }
}

/// What a gateway is told of the site.
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
        "rules": {"cold-from": COLD.0, "cold-ms": COLD.1.as_millis() as u64,
            "overload-factor": OVERLOAD_LIMIT.1, "fall-ms": OVERLOAD_LIMIT.0.as_millis() as u64}})
}
