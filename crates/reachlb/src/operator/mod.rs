//! Operators' commands, which query or change a running fleet or read a data directory.
//!
//! Exit statuses:
//! - 0: success
//! - 1: a process rejected the call
//! - 2: invalid arguments or an unusable file
//! - 3: the stored data is damaged
//! - 4: no process responded, or the response was not valid JSON

pub(crate) mod client;
mod config;
mod explain;
mod state;
mod status;
mod table;
mod voter;

pub use config::{ConfigCommand, config};
pub use explain::{Explain, explain};
pub use state::{StateCommand, state};
pub use status::{Status, status};
pub use voter::{VoterCommand, voter};

use miette::Diagnostic;
use std::process::ExitCode;
use thiserror::Error;

/// Error of an operator's command.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// A process rejected the call.
    #[error("{step}: {peer} rejected the call with status {status}: {reason}")]
    Rejected {
        /// Failed step of the command.
        step: &'static str,
        /// Address of the process.
        peer: String,
        /// HTTP status of the response.
        status: u16,
        /// Error message in the response.
        reason: String,
    },
    /// The arguments or a file cannot be used.
    #[error("{step} {subject}: {reason}")]
    InvalidInput {
        /// Failed step of the command.
        step: &'static str,
        /// Argument or file.
        subject: String,
        /// Why the argument or file cannot be used.
        reason: String,
    },
    /// A file that a process has written is damaged.
    #[error("{path}: {reason}")]
    #[diagnostic(help(
        "stop the process, move the file away and start the process: it joins as a new voter"
    ))]
    Damaged {
        /// Path of the file.
        path: String,
        /// Description of the damage.
        reason: String,
    },
    /// No process responded, or the response was not valid JSON.
    #[error("{step}: no response from {peer}: {reason}")]
    #[diagnostic(help(
        "--at accepts several addresses, separated by commas: the first that responds is used"
    ))]
    NoResponse {
        /// Failed step of the command.
        step: &'static str,
        /// Addresses that were tried.
        peer: String,
        /// Error of the last attempt.
        reason: String,
    },
}

impl CommandError {
    fn exit_status(&self) -> u8 {
        match self {
            Self::Rejected { .. } => 1,
            Self::InvalidInput { .. } => crate::EXIT_INVALID_INPUT,
            Self::Damaged { .. } => 3,
            Self::NoResponse { .. } => 4,
        }
    }
}

/// Runs a command that calls other processes and prints its result.
pub fn run(command: impl Future<Output = Result<String, CommandError>>) -> ExitCode {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => print_result(runtime.block_on(command)),
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            ExitCode::from(crate::EXIT_INVALID_INPUT)
        }
    }
}

/// Prints the output or the error of a command and returns the exit status.
pub fn print_result(result: Result<String, CommandError>) -> ExitCode {
    match result {
        Ok(text) => {
            use std::io::Write;
            // A closed pipe is not an error: the reader may stop early.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => {
            let status = error.exit_status();
            eprintln!("{error}");
            if let Some(help) = error.help() {
                eprintln!("help: {help}");
            }
            ExitCode::from(status)
        }
    }
}
