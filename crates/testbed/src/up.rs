//! A fleet that runs until it is terminated, with settings files that can be edited by hand.

use crate::backend::StandInBackend;
use crate::clients::Platform;
use crate::control::Control;
use crate::demo::{Program, backends, data, make_folders, told_to_end, wait_ready};
use crate::fault::Fault;
use crate::fleet::{self, Process, started};
use crate::plan::{FIRST, configuration};
use crate::report::{Teller, print};
use crate::site::{Addresses, Site, VOTERS, ZONES};
use bytes::Bytes;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout for the acknowledgement of the configuration.
const ACK: Duration = Duration::from_secs(30);
/// Delay before an exited process is restarted.
const AGAIN: Duration = Duration::from_millis(500);
/// Polling interval.
const LOOKS: Duration = Duration::from_millis(50);
/// Timeout for the termination of a running `testbed up`.
const ENDS: Duration = Duration::from_secs(20);
/// File with the ids of all processes.
const IDS: &str = "processes.json";

/// A fleet that stays up.
#[derive(Clone, Debug)]
pub struct Up {
    /// The program that runs the processes.
    pub program: Program,
    /// Folder of the fleet's files.
    pub dir: PathBuf,
}

impl Up {
    /// Runs the fleet until it is terminated.
    ///
    /// # Errors
    /// Returns an error when the fleet cannot be started.
    pub async fn run(&self) -> Result<(), Fault> {
        fault_injection::running::end_with_panics();
        std::fs::create_dir_all(&self.dir).map_err(Fault::file(&self.dir))?;
        // Processes need absolute paths.
        let dir = self.dir.canonicalize().map_err(Fault::file(&self.dir))?;
        if let Some((_, pid, _)) = recorded(&dir).into_iter().find(|(_, pid, at)| started(*pid) == Some(*at))
        {
            return Err(Fault::Already { dir: self.dir.clone(), pid });
        }
        let mut processes = Vec::new();
        let ended = tokio::select! {
            built = self.build(&dir, &mut processes) => match built {
                Ok(_backends) => {
                    let why = tokio::select! {
                        why = told_to_end() => why,
                        fault = tend(&dir, &mut processes) => return Err(fault),
                    };
                    print(format_args!("{why}: ends\n"));
                    Ok(())
                }
                Err(fault) => Err(fault),
            },
            why = told_to_end() => Err(Fault::Ended(why)),
        };
        let killed = fleet::end(&mut processes.iter_mut().collect::<Vec<_>>()).await;
        if !killed.is_empty() {
            print(format_args!("had to be killed: {}\n", killed.join(", ")));
        }
        let ids = dir.join(IDS);
        if ids.exists() {
            std::fs::remove_file(&ids).map_err(Fault::file(&ids))?;
        }
        ended
    }

    async fn build(
        &self, dir: &Path, processes: &mut Vec<Process>,
    ) -> Result<Vec<Arc<StandInBackend>>, Fault> {
        let teller = Teller::default();
        make_folders(dir)?;
        let control_planes: Vec<_> =
            (0..VOTERS).map(|machine| self.program.control_plane(dir, machine)).collect();
        let data_planes: Vec<_> =
            (0..ZONES.len()).map(|machine| self.program.data_plane(dir, machine)).collect();
        let missing = control_planes.iter().chain(&data_planes).any(|backend| !backend.settings.exists());
        if missing {
            // Existing files contain the addresses of another site, so either all files are written or none.
            let site = Site::find(0, 1, 0)?;
            let first = (0..VOTERS).all(|machine| empty(&data(dir, machine)));
            for (machine, backend) in control_planes.iter().enumerate() {
                write(&backend.settings, &site.control_plane_settings(machine, &data(dir, machine), first))?;
            }
            for (machine, backend) in data_planes.iter().enumerate() {
                write(&backend.settings, &site.data_plane_settings(machine))?;
            }
            teller.say(format!("settings files written into {}", dir.join("settings").display()));
        }
        let order = dir.join("configuration.json");
        if !order.exists() {
            let text = serde_json::to_string_pretty(&configuration(FIRST)).unwrap_or_default();
            write(&order, &text)?;
        }
        let body = std::fs::read(&order).map_err(Fault::file(&order))?;
        let config = config::Config::parse(&body)
            .map_err(|fault| Fault::Settings { path: order.clone(), wrong: fault.to_string() })?;
        let paths = |backends: &[crate::fleet::Backend]| -> Vec<_> {
            backends.iter().map(|b| b.settings.clone()).collect()
        };
        let control_plane_files = paths(&control_planes);
        let Addresses { control, fronts, readiness } =
            Site::read(&control_plane_files, &paths(&data_planes))?;
        for backend in control_planes.into_iter().chain(data_planes) {
            processes.push(Process::start(backend)?);
        }
        record(dir, processes)?;
        let caller = Control::new(control.clone());
        let services: Vec<_> = config.services.keys().map(|label| &**label).collect();
        let backends = backends(
            &services,
            |_| IpAddr::V4(Ipv4Addr::LOCALHOST),
            |_| caller.clone(),
            std::process::id().into(),
            None,
        )?;
        put(&caller, &body, config.version.0, &order, teller).await?;
        let platform = Platform::new(fronts.clone(), readiness);
        let mut all: Vec<_> = processes.iter_mut().collect();
        wait_ready(&platform, &mut all, dir).await?;
        for file in &control_plane_files {
            // From now on the disks hold data, so restarted processes must not bootstrap.
            let text = std::fs::read_to_string(file).map_err(Fault::file(file))?;
            write(file, &text.replace("bootstrap = true", "bootstrap = false"))?;
        }
        teller.say("the fleet is up");
        self.tell(&fronts, &control, &config, dir);
        Ok(backends)
    }

    fn tell(&self, fronts: &[SocketAddr], control: &[SocketAddr], config: &config::Config, dir: &Path) {
        let list = |addresses: &[SocketAddr]| -> String {
            addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join("  ")
        };
        print(format_args!(
            "\nclients:  {}\ncontrol:  {}\nfiles:    {}\n\n",
            list(fronts),
            list(control),
            dir.display()
        ));
        let route = config.routes.iter().find(|route| !route.pure).or(config.routes.first());
        if let (Some(front), Some(route)) = (fronts.first(), route) {
            let key =
                config.tenants.iter().flat_map(|tenants| tenants.values()).find_map(|t| t.api_keys.first());
            let key = key.filter(|_| !route.public);
            let key = key.map_or(String::new(), |key| format!(" -H 'Authorization: Bearer {key}'"));
            let method = if route.pure { "" } else { " -d hello" };
            print(format_args!(
                "curl -i{method} -H 'Host: {}'{key} -H 'X-Attempt-Id: '$RANDOM -H 'X-Deadline-Left: 2000' http://{front}{}1\n",
                route.authority, route.path_prefix
            ));
        }
        if let Some(control) = control.first() {
            print(format_args!("curl http://{control}/Config.Read\ncurl http://{control}/Harbour.Status\n"));
        }
        print(format_args!("\nCtrl-C ends it, or: testbed down --dir {}\n", self.dir.display()));
    }
}

/// Restarts exited processes, as a supervisor does. Returns only when a restart fails.
async fn tend(dir: &Path, processes: &mut [Process]) -> Fault {
    let teller = Teller::default();
    loop {
        sleep(LOOKS).await;
        for index in 0..processes.len() {
            let Some(status) = processes[index].ended() else { continue };
            teller.say(format!("{} ended ({status}) and starts again", processes[index].name()));
            sleep(AGAIN).await;
            if let Err(fault) = processes[index].restart().and_then(|()| record(dir, processes)) {
                return fault;
            }
        }
    }
}

/// Sends the configuration file to the fleet, unless the fleet has a newer configuration.
async fn put(control: &Control, body: &[u8], version: u64, file: &Path, teller: Teller) -> Result<(), Fault> {
    let until = Instant::now() + ACK;
    let body = Bytes::copy_from_slice(body);
    let late =
        |what: &str| Fault::Late { what: what.to_owned(), within: ACK, logs: file.with_file_name("logs") };
    let mut base = 0;
    for _ in 0..3 {
        let Some(answer) = control.replace(None, base, &body, until).await else {
            return Err(late("the configuration is not acknowledged"));
        };
        if answer.status.is_success() {
            teller.say(format!("r{version} of {} is acknowledged", file.display()));
            return Ok(());
        }
        let held = control.read(until).await.ok_or_else(|| late("no configuration can be read"))?;
        let holds = held["generation"].as_str().and_then(|text| text.trim_start_matches('r').parse().ok());
        base = holds.unwrap_or(0);
        if base >= version {
            let words = if same(&held, &body) {
                "already"
            } else {
                "and not this file: raise its generation to change it"
            };
            teller.say(format!("the fleet holds r{base} {words}"));
            return Ok(());
        }
        if answer.status.as_u16() != 412 {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(Fault::Order { status: answer.status.as_u16(), body });
        }
    }
    Err(late("other changes come in between"))
}

fn same(held: &Value, body: &[u8]) -> bool {
    serde_json::from_slice::<Value>(body).is_ok_and(|mine| mine == *held)
}

fn write(path: &Path, text: &str) -> Result<(), Fault> {
    std::fs::write(path, text).map_err(Fault::file(path))
}

fn empty(folder: &Path) -> bool {
    std::fs::read_dir(folder).map_or(true, |mut entries| entries.next().is_none())
}

/// Records the ids of all processes. The testbed comes first, since it stops the others in order.
fn record(dir: &Path, processes: &[Process]) -> Result<(), Fault> {
    let me = std::process::id();
    let own = std::iter::once(("testbed", me));
    let all = own.chain(processes.iter().map(|process| (process.name(), process.pid())));
    let entries: Value = all
        .filter_map(|(name, pid)| Some(json!({ "name": name, "pid": pid, "started": started(pid)? })))
        .collect();
    write(&dir.join(IDS), &format!("{entries:#}\n"))
}

fn recorded(dir: &Path) -> Vec<(String, u32, u64)> {
    let text = std::fs::read(dir.join(IDS)).unwrap_or_default();
    let entries: Vec<Value> = serde_json::from_slice(&text).unwrap_or_default();
    let entry = |entry: &Value| {
        let pid = u32::try_from(entry["pid"].as_u64()?).ok().filter(|pid| *pid > 1)?;
        Some((entry["name"].as_str()?.to_owned(), pid, entry["started"].as_u64()?))
    };
    entries.iter().filter_map(entry).collect()
}

/// Stops the fleet of a folder. Returns the number of processes that were still running.
///
/// # Errors
/// Returns an error when the list of processes cannot be removed.
pub async fn down(dir: &Path) -> Result<usize, Fault> {
    let all = recorded(dir);
    // A process id may have been reused; id and start time together are unique.
    let alive = || all.iter().filter(|(_, pid, at)| started(*pid) == Some(*at));
    let count = alive().count();
    let until = Instant::now() + ENDS;
    if let Some((_, pid, _)) = alive().find(|(name, ..)| name == "testbed") {
        fault_injection::running::signal(*pid, Signal::TERM);
        while alive().any(|(name, ..)| name == "testbed") && Instant::now() < until {
            sleep(LOOKS).await;
        }
    }
    for which in [Signal::TERM, Signal::KILL] {
        for (_, pid, _) in alive() {
            fault_injection::running::signal(*pid, which);
            fault_injection::running::signal(*pid, Signal::CONT);
        }
        let until = Instant::now() + fleet::GRACE;
        while alive().next().is_some() && Instant::now() < until {
            sleep(LOOKS).await;
        }
    }
    let ids = dir.join(IDS);
    if ids.exists() {
        std::fs::remove_file(&ids).map_err(Fault::file(&ids))?;
    }
    Ok(count)
}
