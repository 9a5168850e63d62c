//! Programs of the gateway as a library. The `reachlb` binary is a thin command line around this library. Test tools
//! that run a whole fleet on one machine start the same programs from binaries of their own.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
mod founder;
mod logs;
pub mod operator;
mod panic_log;
mod run_control_plane;
mod run_data_plane;
mod start;

use std::path::PathBuf;
use std::process::ExitCode;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "REACHLB_BOOT";

/// Exit status when the arguments or an input file are invalid.
pub const EXIT_INVALID_INPUT: u8 = 2;

/// Program of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// Proxies requests from clients to backends.
    DataPlane,
    /// Replicates configurations, tracks backends and grants quota leases.
    ControlPlane,
}

/// Options of the command line that take precedence over the settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrides {
    /// Enables the failure detector between neighboring processes. `false` leaves the choice to the settings.
    pub watching: bool,
}

/// Runs a program until the process receives SIGTERM. Without a path in `settings`, the environment variable
/// [`SETTINGS_VARIABLE`] names the settings file.
pub fn serve(program: Program, settings: Option<PathBuf>, overrides: Overrides) -> ExitCode {
    let path = settings.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        eprintln!("no settings file: set --settings or {SETTINGS_VARIABLE}");
        return ExitCode::from(EXIT_INVALID_INPUT);
    };
    let mut settings = match config::Settings::read(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{}: {fault}", path.display());
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    settings.tuning.failure_detection |= overrides.watching;
    if let Err(error) = start_logs(&settings.tuning.log_level) {
        eprintln!("logs: {error}");
        return ExitCode::from(EXIT_INVALID_INPUT);
    }
    let result = match program {
        Program::DataPlane => start::run(run_data_plane::run(settings, path)),
        Program::ControlPlane => start::run(run_control_plane::run(settings, path)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            spdlog::critical!("{:?}", report, kv: { step = "start" });
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the log of this process, which writes lines of the given level and above, panics included. An unknown level
/// means `info`.
///
/// # Errors
/// Returns an error when the logger cannot be created.
pub fn start_logs(level: &str) -> Result<(), spdlog::Error> {
    logs::start(level)?;
    panic_log::install();
    Ok(())
}
