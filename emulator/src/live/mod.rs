//! Demo: real gateway processes on loopback sockets with stand-in backends, discovery and counter, under a steady
//! load and with an optional fault.
//!
//! With a group, the gateways share a replicated log, of which the voters are the members with a vote. The gateways
//! compete for duties: named roles that at most one gateway holds at a time, under a fencing token.

pub mod history;
pub mod load;
pub mod process;
pub mod stand_ins;

use load::{Class, Load, Tally};
use process::{Process, free_addresses};
use serde_json::{Value, json};
use stand_ins::{Backend, Counter, Discovery, addresses_of, hosts};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Number of gateways of the demo without a group.
const GATEWAYS: usize = 3;
/// With a group: the number of gateways, and how many of them are voters.
const GROUP_SIZE_AND_VOTERS: (usize, usize) = (5, 3);
/// Session timeout of the demo's group, in ms.
const SESSION_TIMEOUT_MS: u64 = 2000;
/// Duties of the demo's group: named roles that at most one gateway holds at a time. The names have no meaning.
const DUTIES: [&str; 2] = ["lamp", "horn"];
/// Interval at which the demo polls which gateway holds each duty.
const DUTY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const BACKENDS_PER_ZONE: usize = 3;
const ZONES: [&str; 3] = ["north", "south", "east"];
/// Number of requests that a backend of the demo processes concurrently.
const SLOTS_PER_BACKEND: usize = 4;

/// Fault of the demo; it ends before the demo does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Trouble {
    /// One gateway is killed and started again.
    Gateway,
    /// All backends of a zone stop answering.
    Zone,
    /// The counter stops answering.
    Counter,
    /// A backend drains and returns.
    Drain,
}

/// Options of the demo.
#[derive(Clone, Debug)]
pub struct Demo {
    /// Path of the gateway executable.
    pub program: PathBuf,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Request rate, per second.
    pub rate: f64,
    /// Injected fault, if any.
    pub trouble: Option<Trouble>,
    /// Whether the gateways form a group. If so and no fault is given, the demo kills a gateway that holds a duty.
    pub group: bool,
}

/// A gateway of the demo and its process.
struct Gateway {
    name: String,
    folder: PathBuf,
    console: SocketAddr,
    process: Process,
}

/// Resource use of a gateway, read at the end of the demo.
#[derive(Clone, Debug)]
pub struct Cost {
    /// Name of the gateway.
    pub name: String,
    /// Number of received requests.
    pub requests: u64,
    /// CPU time, in ms.
    pub processor_ms: u64,
    /// Peak resident memory, in kB.
    pub peak_kb: u64,
    /// Number of counter calls.
    pub counter_calls: u64,
}

/// Result of the demo.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Request counts and latencies by class.
    pub classes: Vec<(String, Tally)>,
    /// Resource use by gateway, without gateways whose console did not answer.
    pub costs: Vec<Cost>,
    /// Events with their time in seconds since the start of the load.
    pub happened: Vec<(f64, String)>,
}

impl Demo {
    /// Runs the demo to its end. Calls `on_due` for each request that is due.
    ///
    /// # Errors
    /// When a process or stand-in cannot start.
    pub async fn run(&self, on_due: impl Fn()) -> Result<Outcome, Box<dyn std::error::Error + Send + Sync>> {
        let folder = std::env::temp_dir().join(format!("fennelscale-demo-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let result = self.run_in(&folder, on_due).await;
        let _ = std::fs::remove_dir_all(&folder);
        result
    }

    async fn run_in(
        &self, folder: &Path, on_due: impl Fn(),
    ) -> Result<Outcome, Box<dyn std::error::Error + Send + Sync>> {
        let mut backends = Vec::new();
        for number in 0..ZONES.len() * BACKENDS_PER_ZONE {
            backends
                .push(Backend::start(number, ZONES[number % ZONES.len()], SLOTS_PER_BACKEND, None).await?);
        }
        let dials = addresses_of(&backends);
        let discovery = Discovery::start(hosts(&backends, &dials), None).await?;
        let counter = Counter::start(1, None).await?;
        let (mut gateways, mut addresses) = (Vec::new(), Vec::new());
        let loopback = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let group_addresses = free_addresses::<{ GROUP_SIZE_AND_VOTERS.1 }>(loopback).await?;
        let voters =
            group_addresses.iter().enumerate().take(if self.group { GROUP_SIZE_AND_VOTERS.1 } else { 0 });
        let voters: Vec<Value> =
            voters.map(|(n, at)| json!({"name": format!("g{n}"), "address": at.to_string()})).collect();
        let fleet = if self.group { GROUP_SIZE_AND_VOTERS.0 } else { GATEWAYS };
        for number in 0..fleet {
            let environment = (fleet, &discovery, counter.address, voters.as_slice());
            let (gateway, address) = Gateway::start(&self.program, folder, number, environment).await?;
            gateways.push(gateway);
            addresses.push(address);
        }
        let load = Load {
            to: addresses,
            rate: self.rate,
            seconds: self.seconds,
            classes: vec![
                Class { name: "reading".into(), safe: true, share: 0.7, deadline_ms: 2000 },
                Class { name: "setpoint".into(), safe: false, share: 0.3, deadline_ms: 2500 },
            ],
            plans: vec!["basic".into(), "large".into()],
            customers: 40,
            spread: 0,
            skewed: false,
            seed: 1,
            watch: None,
        };
        let consoles: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.console).collect();
        let mut happened = Vec::new();
        let loaded = load.run(on_due);
        let troubled = self.inject_fault(&mut gateways, &backends, &discovery, &counter, &mut happened);
        let takeovers = Mutex::default();
        let (classes, troubled) = tokio::select! {
            both = async { tokio::join!(loaded, troubled) } => both,
            () = record_takeovers(&consoles, &takeovers) => return Err("the group cannot be monitored".into()),
        };
        troubled?;
        happened.extend(takeovers.into_inner().unwrap_or_default());
        happened.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut costs = Vec::new();
        for gateway in &mut gateways {
            costs.extend(gateway.cost().await);
            gateway.process.kill().await?;
        }
        Ok(Outcome { classes: classes?, costs, happened })
    }

    /// Injects the fault after two fifths of the duration, for three tenths of the duration.
    async fn inject_fault(
        &self, gateways: &mut [Gateway], backends: &[Arc<Backend>], discovery: &Discovery, counter: &Counter,
        happened: &mut Vec<(f64, String)>,
    ) -> io::Result<()> {
        let trouble = self.trouble.or(self.group.then_some(Trouble::Gateway));
        let Some(trouble) = trouble else { return Ok(()) };
        let (before, lasts) = (self.seconds as f64 * 0.4, self.seconds as f64 * 0.3);
        sleep(Duration::from_secs_f64(before)).await;
        // In a group, choose a gateway that holds a duty.
        let mut target = 0;
        for (number, gateway) in gateways.iter().enumerate().filter(|_| self.group) {
            let metrics = process::console_metrics(gateway.console).await.unwrap_or_default();
            if metrics["group"]["held"].as_object().is_some_and(|held| !held.is_empty()) {
                target = number;
            }
        }
        let zone = |silent: bool| {
            for backend in backends.iter().filter(|backend| backend.zone == ZONES[1]) {
                backend.silent.store(silent, Ordering::Relaxed);
            }
        };
        let dials = addresses_of(backends);
        let drain = |draining: bool| {
            backends[0].draining.store(draining, Ordering::Relaxed);
            discovery.change(hosts(backends, &dials));
        };
        happened.push((
            before,
            match trouble {
                Trouble::Gateway => {
                    gateways[target].process.kill().await?;
                    format!("gateway {} is killed", gateways[target].name)
                }
                Trouble::Zone => {
                    zone(true);
                    format!("the backends of zone {} stop answering", ZONES[1])
                }
                Trouble::Counter => {
                    counter.silent.store(true, Ordering::Relaxed);
                    "the counter stops answering".into()
                }
                Trouble::Drain => {
                    drain(true);
                    format!("backend {} drains", backends[0].name)
                }
            },
        ));
        sleep(Duration::from_secs_f64(lasts)).await;
        happened.push((
            before + lasts,
            match trouble {
                Trouble::Gateway => {
                    gateways[target].process = start_gateway(&self.program, &gateways[target].folder).await?;
                    format!("gateway {} is started again", gateways[target].name)
                }
                Trouble::Zone => {
                    zone(false);
                    format!("the backends of zone {} answer again", ZONES[1])
                }
                Trouble::Counter => {
                    counter.silent.store(false, Ordering::Relaxed);
                    "the counter answers again".into()
                }
                Trouble::Drain => {
                    drain(false);
                    format!("backend {} is back", backends[0].name)
                }
            },
        ));
        Ok(())
    }
}

/// Records each takeover of a duty; never returns.
async fn record_takeovers(consoles: &[SocketAddr], takeovers: &Mutex<Vec<(f64, String)>>) {
    let started_at = Instant::now();
    let mut known = BTreeMap::new();
    loop {
        sleep(DUTY_POLL_INTERVAL).await;
        for (number, console) in consoles.iter().enumerate() {
            let Some(metrics) = process::console_metrics(*console).await else { continue };
            for (duty, held) in metrics["group"]["held"].as_object().into_iter().flatten() {
                let fence = held["fence"].as_u64();
                let left = held["left_ms"].as_u64().unwrap_or(0);
                if left == 0 || known.get(duty).is_some_and(|before| *before >= fence) {
                    continue;
                }
                known.insert(duty.clone(), fence);
                let event = format!("gateway g{number} has the duty {duty}, fence {}", fence.unwrap_or(0));
                if let Ok(mut takeovers) = takeovers.lock() {
                    takeovers.push((started_at.elapsed().as_secs_f64(), event));
                }
            }
        }
    }
}

/// Starts a gateway with the configuration in its folder.
async fn start_gateway(program: &Path, folder: &Path) -> io::Result<Process> {
    Process::start(program, &folder.join("config.json"), folder, &folder.join("tmp"), None).await
}

impl Gateway {
    async fn start(
        program: &Path, folder: &Path, number: usize, environment: (usize, &Discovery, SocketAddr, &[Value]),
    ) -> io::Result<(Self, SocketAddr)> {
        let (fleet, discovery, counter, voters) = environment;
        let loopback = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let [listen, console] = free_addresses(loopback).await?;
        let name = format!("g{number}");
        let plan = |name: &str, rate: f64, burst: f64| json!({"name": name, "refill": rate, "burst": burst});
        let class = |name: &str, effect: &str, aim: f64, worth: f64| json!({"name": name, "effect": effect, "goal-time-ms": aim, "worth": worth});
        let mut config = json!({
            "name": name, "listen": listen.to_string(), "console": console.to_string(), "seed": format!("{:x}", number + 1),
            "discovery": discovery.address.to_string(), "counter": counter.to_string(), "known": discovery.known(),
            "settings": {
                "fleet-size": fleet, "my-number": number, "locality": ZONES[number % ZONES.len()], "period-ms": 2,
                "classes": [class("reading", "idempotent", 600.0, 2.0), class("setpoint", "at_most_once", 1000.0, 5.0)],
                "plans": [plan("basic", 3.0, 9.0), plan("large", 8.0, 24.0)],
                "extra": {"has-counter": true, "count-limit-ms": 50, "units-top": 1},
                "permissions": {"most-tries": 4, "may-cancel": true, "max-retry-after-ms": 1000},
                "rules": {"cold-from": 0.2, "cold-ms": 10000, "overload-factor": 2.5, "fall-ms": 2000}}});
        let folder = folder.join(&name);
        std::fs::create_dir_all(&folder)?;
        if !voters.is_empty() {
            config["group"] =
                json!({"name": "demo", "voters": voters, "life_ms": SESSION_TIMEOUT_MS, "duties": DUTIES});
            if let Some(voter) = voters.get(number) {
                config["group"]["listen"] = voter["address"].clone();
                config["group"]["dir"] = json!(folder.join("disk"));
            }
        }
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let process = start_gateway(program, &folder).await?;
        Ok((Self { name, folder, console, process }, listen))
    }

    /// Reads the resource use of the gateway, if its console answers.
    async fn cost(&self) -> Option<Cost> {
        let metrics = process::console_metrics(self.console).await?;
        let cost = |name: &str| metrics["cost"][name].as_u64().unwrap_or(0);
        Some(Cost {
            name: self.name.clone(),
            requests: cost("requests"),
            processor_ms: cost("user_ms") + cost("system_ms"),
            peak_kb: cost("peak_kb"),
            counter_calls: cost("counter_calls"),
        })
    }
}

/// Formats the results by class as a table.
pub fn table(classes: &[(String, Tally)]) -> String {
    let mut text = format!(
        "{:10}{:>8}{:>8}{:>9}{:>8}{:>8} | {:>9}{:>9}{:>9}{:>9}\n",
        "class", "due", "served", "refused", "failed", "unsent", "p50 ms", "p90 ms", "p99 ms", "max ms"
    );
    for (name, tally) in classes {
        let at = |share: f64| tally.times.value_at_quantile(share) as f64 / 1000.0;
        let _ = writeln!(
            text,
            "{name:10}{:>8}{:>8}{:>9}{:>8}{:>8} | {:>9.1}{:>9.1}{:>9.1}{:>9.1}",
            tally.total(),
            tally.served,
            tally.refused,
            tally.failed,
            tally.unsent,
            at(0.5),
            at(0.9),
            at(0.99),
            tally.times.max() as f64 / 1000.0
        );
    }
    text
}

impl Outcome {
    /// Formats the result as text.
    pub fn text(&self) -> String {
        let mut text = table(&self.classes);
        for (at, what) in &self.happened {
            let _ = writeln!(text, "at {at:.1} s {what}");
        }
        for cost in &self.costs {
            let each = cost.processor_ms as f64 * 1000.0 / cost.requests.max(1) as f64;
            let calls = cost.counter_calls as f64 / cost.requests.max(1) as f64;
            let _ = writeln!(
                text,
                "gateway {}: {} requests, {each:.0} us of processor time and {calls:.2} counter calls each, {} kB at most",
                cost.name, cost.requests, cost.peak_kb
            );
        }
        text
    }
}
