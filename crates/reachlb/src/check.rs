//! The `check` command: validates a settings file or a configuration with the parsers of the processes.

use crate::EXIT_INVALID_INPUT;
use config::{Config, ConfigError, Settings, SettingsError};
use std::path::Path;
use std::process::ExitCode;

/// Prints each error of the file on a line. The exit status is 0 for a valid file, otherwise [`EXIT_INVALID_INPUT`].
///
/// Files with the extension `json` are configurations, all other files are settings.
pub fn run(file: &Path) -> ExitCode {
    let is_json = file.extension().is_some_and(|extension| extension == "json");
    let faults = if is_json { configuration(file) } else { settings(file) };
    for fault in &faults {
        println!("{}: {fault}", file.display());
    }
    if faults.is_empty() {
        println!("{}: usable", file.display());
        return ExitCode::SUCCESS;
    }
    ExitCode::from(EXIT_INVALID_INPUT)
}

fn configuration(file: &Path) -> Vec<String> {
    let body = match std::fs::read(file) {
        Ok(body) => body,
        Err(error) => return vec![error.to_string()],
    };
    match Config::parse(&body) {
        Ok(_) => Vec::new(),
        Err(ConfigError::Invalid { lines, omitted: more }) => {
            let mut faults: Vec<_> =
                lines.iter().map(|line| format!("{}: {}", line.path, line.kind)).collect();
            if more > 0 {
                faults.push(format!("and {more} more"));
            }
            faults
        }
        Err(fault) => vec![fault.to_string()],
    }
}

fn settings(file: &Path) -> Vec<String> {
    match Settings::read(file) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Invalid(faults)) => faults.iter().map(ToString::to_string).collect(),
        Err(fault) => vec![fault.to_string()],
    }
}
