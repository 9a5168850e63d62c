//! The programs of the system, as a library: `reachlb` is a thin command line around it, and whoever plays a whole
//! fleet on one machine starts them from a binary of its own.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
mod founder;
mod logs;
pub mod operator;
mod run_control_plane;
mod run_data_plane;
mod start;

use std::path::PathBuf;
use std::process::ExitCode;

/// The variable that says where the settings file is.
pub const SETTINGS_VARIABLE: &str = "REACHLB_BOOT";

/// Status of a program whose arguments, or settings file, can't be used.
pub const EXIT_INVALID_INPUT: u8 = 2;

/// A program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// Carries requests from clients to backends.
    DataPlane,
    /// Serves control.
    ControlPlane,
}

/// What the command line turns on, whatever the settings say.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrides {
    /// Processes watch each other.
    pub watching: bool,
}

/// Runs a program until the platform ends it. Without a path, [`SETTINGS_VARIABLE`] names the settings file.
pub fn serve(program: Program, settings: Option<PathBuf>, overrides: Overrides) -> ExitCode {
    let path = settings.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        eprintln!("no settings file: neither --settings nor {SETTINGS_VARIABLE} names one");
        return ExitCode::from(EXIT_INVALID_INPUT);
    };
    let mut settings = match config::Settings::read(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{}: {fault}", path.display());
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    settings.tuning.watching |= overrides.watching;
    if let Err(error) = logs::start(&settings.tuning.log_level) {
        eprintln!("logs: {error}");
        return ExitCode::from(EXIT_INVALID_INPUT);
    }
    let done = match program {
        Program::DataPlane => start::run(run_data_plane::run(settings, path)),
        Program::ControlPlane => start::run(run_control_plane::run(settings, path)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            spdlog::critical!("{:?}", report, kv: { step = "start" });
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
