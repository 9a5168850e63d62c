//! Errors of the testbed.

use miette::Diagnostic;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// An error of the testbed.
#[derive(Debug, Error, Diagnostic)]
pub enum TestbedError {
    /// A file or directory cannot be accessed.
    #[error("{}: {error}", path.display())]
    #[diagnostic(code(testbed::file))]
    File {
        /// The path.
        path: PathBuf,
        /// The system error.
        #[source]
        error: io::Error,
    },
    /// A process cannot be started.
    #[error("{name} cannot be started: {error}")]
    #[diagnostic(code(testbed::start))]
    Start {
        /// Name of the process.
        name: String,
        /// The system error.
        #[source]
        error: io::Error,
    },
    /// No free ports.
    #[error("no free ports on the loopback addresses {0}")]
    #[diagnostic(
        code(testbed::ports),
        help("each machine of the fleet needs the same ports on its own address")
    )]
    Ports(String),
    /// A socket error.
    #[error("{what}: {error}")]
    #[diagnostic(code(testbed::socket))]
    Socket {
        /// Purpose of the socket.
        what: &'static str,
        /// The system error.
        #[source]
        error: io::Error,
    },
    /// A timeout.
    #[error("after {} s: {what}", within.as_secs_f64())]
    #[diagnostic(code(testbed::late), help("the process logs are in {}", logs.display()))]
    Timeout {
        /// State at the timeout.
        what: String,
        /// The timeout.
        within: Duration,
        /// Directory of the process logs.
        logs: PathBuf,
    },
    /// A process exited while the fleet was starting.
    #[error("{name} exited unexpectedly ({status}): {last_line}")]
    #[diagnostic(code(testbed::died), help("the process log is {}", log.display()))]
    ProcessExited {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: std::process::ExitStatus,
        /// Last line of the process log.
        last_line: String,
        /// The log file.
        log: PathBuf,
    },
    /// Invalid settings.
    #[error("{}: {wrong}", path.display())]
    #[diagnostic(code(testbed::settings), help("correct the file, or remove it to have it written again"))]
    Settings {
        /// The file.
        path: PathBuf,
        /// Description of the error.
        wrong: String,
    },
    /// Another fleet is running in this directory.
    #[error("a fleet is already running in {} (process {pid})", dir.display())]
    #[diagnostic(code(testbed::up), help("`testbed down --dir {}` stops it", dir.display()))]
    AlreadyRunning {
        /// The directory.
        dir: PathBuf,
        /// Id of the process that runs the fleet.
        pid: u32,
    },
    /// The operator's configuration was rejected.
    #[error("the configuration was rejected: {status} {body}")]
    #[diagnostic(code(testbed::order))]
    ConfigurationRejected {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// An invalid trial schedule.
    #[error(transparent)]
    #[diagnostic(code(testbed::schedule))]
    Schedule(#[from] crate::trial::schedule::ScheduleError),
    /// An invalid results file.
    #[error("{}:{line}: {wrong}", path.display())]
    #[diagnostic(code(testbed::results))]
    InvalidResults {
        /// The file.
        path: PathBuf,
        /// The line number.
        line: usize,
        /// Description of the error.
        wrong: String,
    },
    /// A signal or another failure cancelled the run.
    #[error("terminated by {0}")]
    #[diagnostic(code(testbed::ended))]
    Terminated(&'static str),
}

impl TestbedError {
    /// Returns a function that converts an I/O error of `path`.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |error| Self::File { path, error }
    }
}
