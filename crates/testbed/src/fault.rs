//! What can keep a fleet from being built.

use miette::Diagnostic;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// Why there is no fleet, or none any more.
#[derive(Debug, Error, Diagnostic)]
pub enum Fault {
    /// A file or folder.
    #[error("{}: {error}", path.display())]
    #[diagnostic(code(testbed::file))]
    File {
        /// Which.
        path: PathBuf,
        /// What the system said.
        #[source]
        error: io::Error,
    },
    /// A process could not be started.
    #[error("{name} cannot be started: {error}")]
    #[diagnostic(code(testbed::start))]
    Start {
        /// What was to be started.
        name: String,
        /// What the system said.
        #[source]
        error: io::Error,
    },
    /// No addresses.
    #[error("no free ports on the loopback addresses {0}")]
    #[diagnostic(
        code(testbed::ports),
        help("each machine of the fleet needs the same ports on an address of its own")
    )]
    Ports(String),
    /// A socket.
    #[error("{what}: {error}")]
    #[diagnostic(code(testbed::socket))]
    Socket {
        /// What it is for.
        what: &'static str,
        /// What the system said.
        #[source]
        error: io::Error,
    },
    /// Something did not come to pass in time.
    #[error("after {} s: {what}", within.as_secs_f64())]
    #[diagnostic(code(testbed::late), help("the logs of the processes are in {}", logs.display()))]
    Late {
        /// What was waited for.
        what: String,
        /// For how long.
        within: Duration,
        /// Where the processes write.
        logs: PathBuf,
    },
    /// A process ended before the fleet stood.
    #[error("{name} ended by itself ({status}): {words}")]
    #[diagnostic(code(testbed::died), help("its log is {}", log.display()))]
    Died {
        /// Which.
        name: String,
        /// How.
        status: std::process::ExitStatus,
        /// Its last words.
        words: String,
        /// Where it wrote.
        log: PathBuf,
    },
    /// Settings that cannot be used.
    #[error("{}: {wrong}", path.display())]
    #[diagnostic(code(testbed::settings), help("mend the file, or remove it to have it written anew"))]
    Settings {
        /// Where.
        path: PathBuf,
        /// What is wrong.
        wrong: String,
    },
    /// Another fleet is up in this folder.
    #[error("a fleet is up in {} already (process {pid})", dir.display())]
    #[diagnostic(code(testbed::up), help("`testbed down --dir {}` ends it", dir.display()))]
    Already {
        /// The folder.
        dir: PathBuf,
        /// Whose it is.
        pid: u32,
    },
    /// The operator's call was turned away.
    #[error("the configuration was not taken: {status} {body}")]
    #[diagnostic(code(testbed::order))]
    Order {
        /// The answer's status.
        status: u16,
        /// Its body.
        body: String,
    },
    /// A trial that cannot be played.
    #[error(transparent)]
    #[diagnostic(code(testbed::schedule))]
    Schedule(#[from] crate::trial::schedule::ScheduleError),
    /// Results that are none.
    #[error("{}:{line}: {wrong}", path.display())]
    #[diagnostic(code(testbed::results))]
    Results {
        /// The file.
        path: PathBuf,
        /// The line.
        line: usize,
        /// What is wrong.
        wrong: String,
    },
    /// Someone wants it to end.
    #[error("ended by {0}")]
    #[diagnostic(code(testbed::ended))]
    Ended(&'static str),
}

impl Fault {
    /// A fault of a file.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |error| Self::File { path, error }
    }
}
