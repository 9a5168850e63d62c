//! Child processes. Each one is ended when its owner is dropped, when the testbed panics
//! ([`fault_injection::running`]), and by the kernel when the testbed is killed.

use crate::error::TestbedError;
use fault_injection::running::{self, signal};
use rustix::process::Signal;
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Time from SIGTERM to SIGKILL: the processes' own grace period of 6 s, plus a margin for a busy machine.
pub const GRACE: Duration = Duration::from_secs(8);

/// How to start a process: its program, settings file and log file.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// Name of the process.
    pub name: String,
    /// The program, which contains both planes.
    pub program: PathBuf,
    /// Command-line arguments.
    pub arguments: Vec<String>,
    /// Settings file of the process.
    pub settings: PathBuf,
    /// Log file of the process.
    pub log: PathBuf,
}

/// A process that is running or stopped, with its start options.
pub struct Process {
    options: ProcessOptions,
    child: Option<Child>,
    pid: u32,
    cpu_time: Duration,
}

impl Process {
    /// Starts a process. Must be called on the main thread, since the child is killed when the starting thread exits.
    ///
    /// # Errors
    /// Returns an error when the process cannot be started.
    pub fn start(options: ProcessOptions) -> Result<Self, TestbedError> {
        let mut process = Self { options, child: None, pid: 0, cpu_time: Duration::ZERO };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process again with its current settings file.
    ///
    /// # Errors
    /// Returns an error when the process cannot be started.
    pub fn restart(&mut self) -> Result<(), TestbedError> {
        let log = OpenOptions::new().create(true).append(true).open(&self.options.log);
        let log = log.map_err(TestbedError::file(&self.options.log))?;
        let failed = |error| TestbedError::Start { name: self.options.name.clone(), error };
        let child = Command::new(&self.options.program)
            .args(&self.options.arguments)
            .env(reachlb::SETTINGS_VARIABLE, &self.options.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            // Own process group, so that Ctrl-C reaches only the testbed, which then stops its children in order.
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        self.pid = child.id().unwrap_or_default();
        running::add(self.pid);
        self.child = Some(child);
        Ok(())
    }

    /// Name of the process.
    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Settings file of the process.
    pub fn settings(&self) -> &Path {
        &self.options.settings
    }

    /// Exit status, if the process has exited by itself.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten();
        if status.is_some() {
            self.mark_exited();
        }
        status
    }

    fn mark_exited(&mut self) {
        running::remove(self.pid);
        self.child = None;
    }

    /// Sends a signal.
    pub fn signal(&self, which: Signal) {
        if self.child.is_some() {
            signal(self.pid, which);
        }
    }

    /// Processor time of all runs of this process so far.
    pub fn cpu_time(&self) -> Duration {
        let alive = self.child.as_ref().and_then(|_| processor_time(self.pid)).unwrap_or_default();
        self.cpu_time + alive
    }

    /// Kills the process, even if it is suspended, and waits until it has exited.
    pub async fn kill(&mut self) {
        // Reads the processor time first, because the kernel discards the figure when the process is reaped.
        self.cpu_time = self.cpu_time();
        if let Some(mut child) = self.child.take() {
            signal(self.pid, Signal::KILL);
            let _ = child.wait().await;
        }
        self.mark_exited();
    }

    /// Waits until the process exits, and kills it after `within`. Returns whether it exited in time.
    pub async fn wait_exit(&mut self, within: Duration) -> bool {
        self.cpu_time = self.cpu_time();
        let Some(child) = self.child.as_mut() else { return true };
        if timeout(within, child.wait()).await.is_ok() {
            self.mark_exited();
            return true;
        }
        self.kill().await;
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.child.is_some() && self.exit_status().is_none() {
            signal(self.pid, Signal::KILL);
            running::remove(self.pid);
        }
    }
}

/// Sends SIGTERM to all processes and waits for them together. Returns the names of those that had to be killed.
pub async fn stop_all(processes: &mut [&mut Process]) -> Vec<String> {
    for process in &*processes {
        process.signal(Signal::TERM);
        // A suspended process handles SIGTERM only after it is resumed.
        process.signal(Signal::CONT);
    }
    let deadline = tokio::time::Instant::now() + GRACE;
    let mut killed = Vec::new();
    for process in processes {
        if !process.wait_exit(deadline.saturating_duration_since(tokio::time::Instant::now())).await {
            killed.push(process.name().to_owned());
        }
    }
    killed
}

/// Fields of `/proc/PID/stat` after the process name, which may contain any character.
fn proc_stat(pid: u32) -> Option<Vec<u64>> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(')')?;
    // A zombie has exited and only waits to be reaped.
    if rest.trim_start().starts_with('Z') {
        return None;
    }
    // The first field is a letter, the process state, and some other fields are negative. All of these are read as 0.
    Some(rest.split_whitespace().map(|field| field.parse().unwrap_or(0)).collect())
}

/// User and system time of a process.
fn processor_time(pid: u32) -> Option<Duration> {
    let fields = proc_stat(pid)?;
    let ticks = fields.get(11)? + fields.get(12)?;
    Some(Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64))
}

/// Start time in clock ticks since boot. Start time and process id together identify a process uniquely.
pub fn start_ticks(pid: u32) -> Option<u64> {
    proc_stat(pid)?.get(19).copied()
}
