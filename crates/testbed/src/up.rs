//! A fleet that runs until it is terminated, with settings files that can be edited by hand.

use crate::backend::StandInBackend;
use crate::clients::Platform;
use crate::control::Control;
use crate::demo::{Program, backends, create_directories, data_directory, termination_signal, wait_ready};
use crate::error::TestbedError;
use crate::fleet::{self, Process, start_ticks};
use crate::plan::{FIRST_VERSION, configuration};
use crate::report::{Progress, print};
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
const ACK_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before an exited process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for the termination of a running `testbed up`.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// File with the ids of all processes.
const PROCESS_LIST: &str = "processes.json";

/// A fleet that stays up.
#[derive(Clone, Debug)]
pub struct Up {
    /// The program that runs the processes.
    pub program: Program,
    /// Directory of the fleet's files.
    pub dir: PathBuf,
}

impl Up {
    /// Runs the fleet until it is terminated.
    ///
    /// # Errors
    /// Returns an error when the fleet cannot be started.
    pub async fn run(&self) -> Result<(), TestbedError> {
        fault_injection::running::kill_all_on_panic();
        std::fs::create_dir_all(&self.dir).map_err(TestbedError::file(&self.dir))?;
        // Processes need absolute paths.
        let dir = self.dir.canonicalize().map_err(TestbedError::file(&self.dir))?;
        if let Some((_, pid, _)) =
            read_process_list(&dir).into_iter().find(|(_, pid, at)| start_ticks(*pid) == Some(*at))
        {
            return Err(TestbedError::AlreadyRunning { dir: self.dir.clone(), pid });
        }
        let mut processes = Vec::new();
        let outcome = tokio::select! {
            built = self.build(&dir, &mut processes) => match built {
                Ok(_backends) => {
                    let why = tokio::select! {
                        why = termination_signal() => why,
                        error = supervise(&dir, &mut processes) => return Err(error),
                    };
                    print(format_args!("{why}: stopping\n"));
                    Ok(())
                }
                Err(error) => Err(error),
            },
            why = termination_signal() => Err(TestbedError::Terminated(why)),
        };
        let killed = fleet::stop_all(&mut processes.iter_mut().collect::<Vec<_>>()).await;
        if !killed.is_empty() {
            print(format_args!("killed: {}\n", killed.join(", ")));
        }
        let list_path = dir.join(PROCESS_LIST);
        if list_path.exists() {
            std::fs::remove_file(&list_path).map_err(TestbedError::file(&list_path))?;
        }
        outcome
    }

    async fn build(
        &self, dir: &Path, processes: &mut Vec<Process>,
    ) -> Result<Vec<Arc<StandInBackend>>, TestbedError> {
        let progress = Progress::default();
        create_directories(dir)?;
        let control_planes: Vec<_> =
            (0..VOTERS).map(|machine| self.program.control_plane(dir, machine)).collect();
        let data_planes: Vec<_> =
            (0..ZONES.len()).map(|machine| self.program.data_plane(dir, machine)).collect();
        let missing = control_planes.iter().chain(&data_planes).any(|options| !options.settings.exists());
        if missing {
            // Existing files contain the addresses of another site, so either all files are written or none.
            let site = Site::find(0, 1, 0)?;
            let first = (0..VOTERS).all(|machine| empty(&data_directory(dir, machine)));
            for (machine, options) in control_planes.iter().enumerate() {
                write(
                    &options.settings,
                    &site.control_plane_settings(machine, &data_directory(dir, machine), first),
                )?;
            }
            for (machine, options) in data_planes.iter().enumerate() {
                write(&options.settings, &site.data_plane_settings(machine))?;
            }
            progress.report(format!("settings files written to {}", dir.join("settings").display()));
        }
        let configuration_file = dir.join("configuration.json");
        if !configuration_file.exists() {
            let text = serde_json::to_string_pretty(&configuration(FIRST_VERSION)).unwrap_or_default();
            write(&configuration_file, &text)?;
        }
        let body = std::fs::read(&configuration_file).map_err(TestbedError::file(&configuration_file))?;
        let config = config::Config::parse(&body).map_err(|error| TestbedError::Settings {
            path: configuration_file.clone(),
            wrong: error.to_string(),
        })?;
        let paths = |all_options: &[crate::fleet::ProcessOptions]| -> Vec<_> {
            all_options.iter().map(|options| options.settings.clone()).collect()
        };
        let control_plane_files = paths(&control_planes);
        let Addresses { control, fronts, readiness } =
            Site::read(&control_plane_files, &paths(&data_planes))?;
        for options in control_planes.into_iter().chain(data_planes) {
            processes.push(Process::start(options)?);
        }
        write_process_list(dir, processes)?;
        let client = Control::new(control.clone());
        let services: Vec<_> = config.services.keys().map(|label| &**label).collect();
        let backends = backends(
            &services,
            |_| IpAddr::V4(Ipv4Addr::LOCALHOST),
            |_| client.clone(),
            std::process::id().into(),
            None,
        )?;
        send_configuration(&client, &body, config.version.0, &configuration_file, progress).await?;
        let platform = Platform::new(fronts.clone(), readiness);
        let mut all: Vec<_> = processes.iter_mut().collect();
        wait_ready(&platform, &mut all, dir).await?;
        for file in &control_plane_files {
            // From now on the disks hold data, so restarted processes must not bootstrap.
            let text = std::fs::read_to_string(file).map_err(TestbedError::file(file))?;
            write(file, &text.replace("bootstrap = true", "bootstrap = false"))?;
        }
        progress.report("the fleet is up");
        self.print_addresses(&fronts, &control, &config, dir);
        Ok(backends)
    }

    fn print_addresses(
        &self, fronts: &[SocketAddr], control: &[SocketAddr], config: &config::Config, dir: &Path,
    ) {
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
        print(format_args!("\nCtrl-C stops the fleet, or: testbed down --dir {}\n", self.dir.display()));
    }
}

/// Restarts exited processes, as a supervisor does. Returns only when a restart fails.
async fn supervise(dir: &Path, processes: &mut [Process]) -> TestbedError {
    let progress = Progress::default();
    loop {
        sleep(POLL_INTERVAL).await;
        for index in 0..processes.len() {
            let Some(status) = processes[index].exit_status() else { continue };
            progress.report(format!("{} exited ({status}) and is restarted", processes[index].name()));
            sleep(RESTART_DELAY).await;
            if let Err(error) = processes[index].restart().and_then(|()| write_process_list(dir, processes)) {
                return error;
            }
        }
    }
}

/// Sends the configuration file to the fleet, unless the fleet has a newer configuration.
async fn send_configuration(
    control: &Control, body: &[u8], version: u64, file: &Path, progress: Progress,
) -> Result<(), TestbedError> {
    let until = Instant::now() + ACK_TIMEOUT;
    let body = Bytes::copy_from_slice(body);
    let late = |what: &str| TestbedError::Timeout {
        what: what.to_owned(),
        within: ACK_TIMEOUT,
        logs: file.with_file_name("logs"),
    };
    let mut base = 0;
    for _ in 0..3 {
        let Some(answer) = control.replace(None, base, &body, until).await else {
            return Err(late("the configuration was not acknowledged"));
        };
        if answer.status.is_success() {
            progress.report(format!("r{version} of {} is acknowledged", file.display()));
            return Ok(());
        }
        let current = control.read(until).await.ok_or_else(|| late("the configuration cannot be read"))?;
        let current_version =
            current["generation"].as_str().and_then(|text| text.trim_start_matches('r').parse().ok());
        base = current_version.unwrap_or(0);
        if base >= version {
            let state = if is_same(&current, &body) {
                "already"
            } else {
                "which differs from this file: raise the generation in the file to replace it"
            };
            progress.report(format!("the fleet has r{base} {state}"));
            return Ok(());
        }
        if answer.status.as_u16() != 412 {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(TestbedError::ConfigurationRejected { status: answer.status.as_u16(), body });
        }
    }
    Err(late("concurrent changes prevented the update"))
}

fn is_same(current: &Value, body: &[u8]) -> bool {
    serde_json::from_slice::<Value>(body).is_ok_and(|own| own == *current)
}

fn write(path: &Path, text: &str) -> Result<(), TestbedError> {
    std::fs::write(path, text).map_err(TestbedError::file(path))
}

fn empty(directory: &Path) -> bool {
    std::fs::read_dir(directory).map_or(true, |mut entries| entries.next().is_none())
}

/// Records the ids of all processes. The testbed comes first, since it stops the others in order.
fn write_process_list(dir: &Path, processes: &[Process]) -> Result<(), TestbedError> {
    let own_pid = std::process::id();
    let own = std::iter::once(("testbed", own_pid));
    let all = own.chain(processes.iter().map(|process| (process.name(), process.pid())));
    let entries: Value = all
        .filter_map(|(name, pid)| Some(json!({ "name": name, "pid": pid, "started": start_ticks(pid)? })))
        .collect();
    write(&dir.join(PROCESS_LIST), &format!("{entries:#}\n"))
}

fn read_process_list(dir: &Path) -> Vec<(String, u32, u64)> {
    let text = std::fs::read(dir.join(PROCESS_LIST)).unwrap_or_default();
    let entries: Vec<Value> = serde_json::from_slice(&text).unwrap_or_default();
    let entry = |entry: &Value| {
        let pid = u32::try_from(entry["pid"].as_u64()?).ok().filter(|pid| *pid > 1)?;
        Some((entry["name"].as_str()?.to_owned(), pid, entry["started"].as_u64()?))
    };
    entries.iter().filter_map(entry).collect()
}

/// Stops the fleet of a directory. Returns the number of processes that were still running.
///
/// # Errors
/// Returns an error when the list of processes cannot be removed.
pub async fn down(dir: &Path) -> Result<usize, TestbedError> {
    let all = read_process_list(dir);
    // A process id may have been reused; id and start time together are unique.
    let running = || all.iter().filter(|(_, pid, at)| start_ticks(*pid) == Some(*at));
    let count = running().count();
    let until = Instant::now() + STOP_TIMEOUT;
    if let Some((_, pid, _)) = running().find(|(name, ..)| name == "testbed") {
        fault_injection::running::signal(*pid, Signal::TERM);
        while running().any(|(name, ..)| name == "testbed") && Instant::now() < until {
            sleep(POLL_INTERVAL).await;
        }
    }
    for which in [Signal::TERM, Signal::KILL] {
        for (_, pid, _) in running() {
            fault_injection::running::signal(*pid, which);
            fault_injection::running::signal(*pid, Signal::CONT);
        }
        let until = Instant::now() + fleet::GRACE;
        while running().next().is_some() && Instant::now() < until {
            sleep(POLL_INTERVAL).await;
        }
    }
    let list_path = dir.join(PROCESS_LIST);
    if list_path.exists() {
        std::fs::remove_file(&list_path).map_err(TestbedError::file(&list_path))?;
    }
    Ok(count)
}
