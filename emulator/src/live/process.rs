//! Gateways as processes of their own. Every process that is started here is ended here: when its owner goes, when
//! the program panics ([`kill_all_on_panic`]), and when it is told to stop ([`kill_all`]).

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

/// A gateway has this long to come up.
const COMES_UP: Duration = Duration::from_secs(10);
/// What a gateway writes once clients may come.
const LISTENS: &str = ": listening at ";
/// How often its log is looked at until then.
const LOOKS: Duration = Duration::from_millis(10);
/// The longest answer of a console.
const LONGEST: u64 = 1 << 20;

/// A gateway's process.
pub struct Process {
    /// Its number with the system.
    pub pid: u32,
    /// What it writes.
    pub log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts the program on a configuration and waits until it listens. It writes into `folder`, both its log and,
    /// in `tmp`, whatever it keeps. A console in the environment goes before the configuration's.
    ///
    /// # Errors
    /// When it cannot be started, ends, or does not listen in time; with its last words.
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
        match timeout(COMES_UP, process.comes_up()).await {
            Ok(up) => up.map(|()| process),
            Err(_) => Err(io::Error::other(format!("{}: did not come up", process.log.display()))),
        }
    }

    async fn comes_up(&mut self) -> io::Result<()> {
        loop {
            let ended = self.ended();
            let said = std::fs::read_to_string(&self.log)?;
            if said.contains(LISTENS) {
                return Ok(());
            }
            if let Some(status) = ended {
                let last = said.lines().last().unwrap_or_default();
                return Err(io::Error::other(format!("{}: {status}: {last}", self.log.display())));
            }
            sleep(LOOKS).await;
        }
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            running::remove(self.pid);
        }
        status
    }

    /// Kills it and waits for its end, also when it is stopped.
    pub async fn kill(&mut self) -> io::Result<ExitStatus> {
        signal(self.pid, Signal::KILL);
        let status = self.child.wait().await?;
        running::remove(self.pid);
        Ok(status)
    }

    /// Tells it to end, and kills it if it has not by then. True if it ended by itself.
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

    /// Open descriptors, and resident memory in kB, by the system's account.
    pub fn holds(&self) -> Option<(u64, u64)> {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid)).ok()?.count() as u64;
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        Some((descriptors, resident.split_whitespace().next()?.parse().ok()?))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.ended().is_none() {
            // Stopped ones too: a signal to end would wait until they are continued.
            signal(self.pid, Signal::KILL);
            running::remove(self.pid);
        }
    }
}

/// A log that is not there yet.
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

/// Addresses that nobody listens at just now, each another one: all are held until the last is found.
///
/// # Errors
/// When there are none.
pub async fn free_addresses<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let mut held = Vec::new();
    let mut found = [SocketAddr::new(ip, 0); N];
    for address in &mut found {
        let listener = TcpListener::bind(*address).await?;
        *address = listener.local_addr()?;
        held.push(listener);
    }
    Ok(found)
}

/// What a gateway's console answers to a call: its first line.
pub async fn console(address: SocketAddr, call: &str) -> Option<String> {
    let read = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.take(LONGEST).read_to_string(&mut text).await.ok()?;
        text.lines().next().map(str::to_owned)
    };
    timeout(Duration::from_secs(2), read).await.ok()?
}

/// What a gateway's figures say, if it answers.
pub async fn figures(address: SocketAddr) -> Option<Value> {
    serde_json::from_str(&console(address, "INFO").await?).ok()
}
