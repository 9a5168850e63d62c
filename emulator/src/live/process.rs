//! Control of gateway processes. The emulator kills every process that it started: when the [`Process`] is dropped,
//! when the program panics ([`kill_all_on_panic`]), and when the program receives a termination signal ([`kill_all`]).

use fault_injection::running;
pub use fault_injection::running::{kill_all, kill_all_on_panic, signal};
use rustix::process::Signal;
use serde_json::Value;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Time limit for a gateway to start listening.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Log text of a gateway that listens.
const LISTENING_TEXT: &str = ": listening at ";
/// Interval at which the log is polled for [`LISTENING_TEXT`].
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum size of a console answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// A gateway process.
pub struct Process {
    /// Process id.
    pub pid: u32,
    /// Path of the log file.
    pub log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts the program with a configuration and waits until the process listens. The process writes its log to
    /// `folder` and uses `tmp` as `$TMPDIR`. `console` overrides the console address of the configuration.
    ///
    /// # Errors
    /// When the process cannot start, exits, or does not listen in time. If the process exits, the error has the last
    /// line of its log.
    pub async fn start(
        program: &Path, config: &Path, folder: &Path, tmp: &Path, console: Option<SocketAddr>,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(tmp)?;
        let (log, file) = new_log(folder)?;
        let mut command = Command::new(program);
        for name in ["NODE_LISTEN", "NODE_DISCOVERY", "NODE_CONSOLE", "NODE_NAME"] {
            command.env_remove(name);
        }
        if let Some(console) = console {
            command.env("NODE_CONSOLE", console.to_string());
        }
        let child = command
            .env("TMPDIR", tmp)
            .env("NODE_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", program.display())))?;
        let pid = child.id().unwrap_or_default();
        running::add(pid);
        let mut process = Self { pid, log, child };
        match timeout(START_TIMEOUT, process.wait_until_listening()).await {
            Ok(up) => up.map(|()| process),
            Err(_) => Err(io::Error::other(format!(
                "{}: the gateway did not listen in time",
                process.log.display()
            ))),
        }
    }

    async fn wait_until_listening(&mut self) -> io::Result<()> {
        loop {
            let ended = self.ended();
            let log_text = std::fs::read_to_string(&self.log)?;
            if log_text.contains(LISTENING_TEXT) {
                return Ok(());
            }
            if let Some(status) = ended {
                let last = log_text.lines().last().unwrap_or_default();
                return Err(io::Error::other(format!("{}: {status}: {last}", self.log.display())));
            }
            sleep(LOG_POLL_INTERVAL).await;
        }
    }

    /// Returns the exit status if the process has exited.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            running::remove(self.pid);
        }
        status
    }

    /// Kills the process, even if it is paused, and waits for its exit.
    pub async fn kill(&mut self) -> io::Result<ExitStatus> {
        signal(self.pid, Signal::KILL);
        let status = self.child.wait().await?;
        running::remove(self.pid);
        Ok(status)
    }

    /// Sends SIGTERM, and SIGKILL if the process has not exited within `within`. Returns the exit status, and whether
    /// the process exited without SIGKILL.
    pub async fn terminate(&mut self, within: Duration) -> io::Result<(ExitStatus, bool)> {
        signal(self.pid, Signal::TERM);
        match timeout(within, self.child.wait()).await {
            Ok(status) => {
                running::remove(self.pid);
                Ok((status?, true))
            }
            Err(_) => Ok((self.kill().await?, false)),
        }
    }

    /// Returns the number of open file descriptors, and the resident memory in kB, from `/proc`.
    pub fn resource_use(&self) -> Option<(u64, u64)> {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid)).ok()?.count() as u64;
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        Some((descriptors, resident.split_whitespace().next()?.parse().ok()?))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.ended().is_none() {
            // A paused process would not handle SIGTERM until it is resumed.
            signal(self.pid, Signal::KILL);
            running::remove(self.pid);
        }
    }
}

/// Creates a new log file.
fn new_log(folder: &Path) -> io::Result<(PathBuf, File)> {
    let mut number = 0;
    loop {
        let path = folder.join(format!("log-{number}.txt"));
        match OpenOptions::new().write(true).create_new(true).open(&path) {
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists && number < 10_000 => number += 1,
            opened => return opened.map(|file| (path, file)),
        }
    }
}

/// Returns `N` different addresses that are currently free. All of them stay bound until the last one is found.
///
/// # Errors
/// When no address can be bound.
pub async fn free_addresses<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let mut listeners = Vec::new();
    let mut found = [SocketAddr::new(ip, 0); N];
    for address in &mut found {
        let listener = TcpListener::bind(*address).await?;
        *address = listener.local_addr()?;
        listeners.push(listener);
    }
    Ok(found)
}

/// Sends a command to the console of a gateway and returns the first line of the answer.
pub async fn console(address: SocketAddr, command: &str) -> Option<String> {
    let read = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(format!("{command}\n").as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.take(MAX_ANSWER_BYTES).read_to_string(&mut text).await.ok()?;
        text.lines().next().map(str::to_owned)
    };
    timeout(Duration::from_secs(2), read).await.ok()?
}

/// Returns the `INFO` metrics of a gateway, if its console answers.
pub async fn console_metrics(address: SocketAddr) -> Option<Value> {
    serde_json::from_str(&console(address, "INFO").await?).ok()
}
