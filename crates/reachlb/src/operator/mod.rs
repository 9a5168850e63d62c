//! What operators ask of a fleet and of a data folder.
//!
//! Statuses: 0 it is as asked; 1 the answer was a refusal; 2 the arguments or a file can't be used; 3 what a process
//! has written is damaged; 4 nobody answered.

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

/// Why there is nothing to show, at which step and with whom.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// Someone says no.
    #[error("{step}: {peer} refuses with {status}: {why}")]
    Refused {
        /// What was asked for.
        step: &'static str,
        /// Of whom.
        peer: String,
        /// Status of the answer.
        status: u16,
        /// What it says.
        why: String,
    },
    /// Arguments or a file.
    #[error("{step} {what}: {why}")]
    Unusable {
        /// What was being done.
        step: &'static str,
        /// With what.
        what: String,
        /// Why it can't be used.
        why: String,
    },
    /// What a process has written is not there any more as it was.
    #[error("{what}: {why}")]
    #[diagnostic(help("end the process, move the file away and start it: it joins as a new voter"))]
    Damaged {
        /// The file.
        what: String,
        /// What is wrong.
        why: String,
    },
    /// Nobody answers.
    #[error("{step}: no answer from {peer}: {why}")]
    #[diagnostic(help(
        "--at takes several addresses, separated by commas: the first one that answers is asked"
    ))]
    Unanswered {
        /// What was asked for.
        step: &'static str,
        /// Of whom.
        peer: String,
        /// What happened.
        why: String,
    },
}

impl CommandError {
    fn status(&self) -> u8 {
        match self {
            Self::Refused { .. } => 1,
            Self::Unusable { .. } => crate::EXIT_INVALID_INPUT,
            Self::Damaged { .. } => 3,
            Self::Unanswered { .. } => 4,
        }
    }
}

/// Runs a call that speaks with others.
pub fn run(call: impl Future<Output = Result<String, CommandError>>) -> ExitCode {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => print_result(runtime.block_on(call)),
        Err(error) => {
            eprintln!("start: {error}");
            ExitCode::from(crate::EXIT_INVALID_INPUT)
        }
    }
}

/// Prints what there is to show.
pub fn print_result(call: Result<String, CommandError>) -> ExitCode {
    match call {
        Ok(text) => {
            use std::io::Write;
            // Whoever reads may have seen enough.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => {
            let status = error.status();
            eprintln!("{error}");
            if let Some(help) = error.help() {
                eprintln!("help: {help}");
            }
            ExitCode::from(status)
        }
    }
}
