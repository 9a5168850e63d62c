//! The processes. Every one that is started here is ended here: when its owner goes, when the program panics
//! ([`fault_injection::running`]), and, by the system itself, when this program is killed.

use crate::fault::Fault;
use fault_injection::running::{self, signal};
use rustix::process::Signal;
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Time from SIGTERM to SIGKILL: what the settings say, and a little more for a busy machine.
pub const GRACE: Duration = Duration::from_secs(8);

/// What starts a process: the program that has both planes, and where it finds its settings and writes its log.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// The program, and its arguments.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Its settings file.
    pub settings: PathBuf,
    /// What it writes.
    pub log: PathBuf,
}

/// A process at its backend, or the empty backend.
pub struct Process {
    backend: Backend,
    child: Option<Child>,
    pid: u32,
    spent: Duration,
}

impl Process {
    /// Starts it. It has to be called on the main thread, whose end the child follows.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start(backend: Backend) -> Result<Self, Fault> {
        let mut process = Self { backend, child: None, pid: 0, spent: Duration::ZERO };
        process.restart()?;
        Ok(process)
    }

    /// Starts it again at the same backend, with the settings in effect now.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn restart(&mut self) -> Result<(), Fault> {
        let log = OpenOptions::new().create(true).append(true).open(&self.backend.log);
        let log = log.map_err(Fault::file(&self.backend.log))?;
        let failed = |error| Fault::Start { name: self.backend.name.clone(), error };
        let child = Command::new(&self.backend.program)
            .args(&self.backend.arguments)
            .env(reachlb::SETTINGS_VARIABLE, &self.backend.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            // A Ctrl-C is for us alone: we end them in order.
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        self.pid = child.id().unwrap_or_default();
        running::add(self.pid);
        self.child = Some(child);
        Ok(())
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.backend.name
    }

    /// Its number with the system.
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Its settings file.
    pub fn settings(&self) -> &Path {
        &self.backend.settings
    }

    /// How it ended, if it has without being told to.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten();
        if status.is_some() {
            self.left();
        }
        status
    }

    fn left(&mut self) {
        running::remove(self.pid);
        self.child = None;
    }

    /// Stops it, or lets it go on.
    pub fn signal(&self, which: Signal) {
        if self.child.is_some() {
            signal(self.pid, which);
        }
    }

    /// Processor time of all its lives so far.
    pub fn spent(&self) -> Duration {
        let alive = self.child.as_ref().and_then(|_| processor_time(self.pid)).unwrap_or_default();
        self.spent + alive
    }

    /// Kills it and waits for its end, also when it is stopped.
    pub async fn kill(&mut self) {
        // Before the end, since the account goes with the process.
        self.spent = self.spent();
        if let Some(mut child) = self.child.take() {
            signal(self.pid, Signal::KILL);
            let _ = child.wait().await;
        }
        self.left();
    }

    /// Waits until it ends, and kills it if it has not by then. True if it ended by itself.
    pub async fn ends(&mut self, within: Duration) -> bool {
        self.spent = self.spent();
        let Some(child) = self.child.as_mut() else { return true };
        if timeout(within, child.wait()).await.is_ok() {
            self.left();
            return true;
        }
        self.kill().await;
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.child.is_some() && self.ended().is_none() {
            signal(self.pid, Signal::KILL);
            running::remove(self.pid);
        }
    }
}

/// Tells all to end, and waits for that together. The names of those that had to be killed.
pub async fn end(processes: &mut [&mut Process]) -> Vec<String> {
    for process in &*processes {
        process.signal(Signal::TERM);
        // A stopped one would hear of it only when it goes on.
        process.signal(Signal::CONT);
    }
    let deadline = tokio::time::Instant::now() + GRACE;
    let mut killed = Vec::new();
    for process in processes {
        if !process.ends(deadline.saturating_duration_since(tokio::time::Instant::now())).await {
            killed.push(process.name().to_owned());
        }
    }
    killed
}

/// The fields of `/proc/PID/stat` behind the name, which may hold anything.
fn account(pid: u32) -> Option<Vec<u64>> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(')')?;
    // Ended, and only not asked after yet.
    if rest.trim_start().starts_with('Z') {
        return None;
    }
    // The first field is the state, a letter; some of the others are negative.
    Some(rest.split_whitespace().map(|field| field.parse().unwrap_or(0)).collect())
}

/// User and system time.
fn processor_time(pid: u32) -> Option<Duration> {
    let fields = account(pid)?;
    let ticks = fields.get(11)? + fields.get(12)?;
    Some(Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64))
}

/// When it was started, in ticks since the machine's start: with the id it names one process and no later one.
pub fn started(pid: u32) -> Option<u64> {
    account(pid)?.get(19).copied()
}
