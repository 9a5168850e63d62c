//! `reachlb`: one binary, a program for each plane.

#![forbid(unsafe_code)]

mod check;
mod logs;
mod master;
mod operate;
mod quays;
mod start;

use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// The variable that says where the settings file is.
const SETTINGS: &str = "REACHLB_BOOT";

/// reachlb: an API gateway that needs nobody else's services.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// the settings file; without it, the one that REACHLB_BOOT names
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// carry requests from clients to backends
    Quay(Nothing),
    /// serve control: backends' beats, the operator's calls, the log, the counts
    Harbourmaster(Nothing),
    /// check a settings file (TOML) or a configuration (JSON), every fault on a line of its own
    Check(Check),
    /// how a harbour stands, as one of its processes knows it
    Status(operate::Status),
    /// the configuration: in force, former ones, what changed, another one
    Config(operate::ConfigCalls),
    /// what became of a node, a backend, a version (r12) or a request, and why
    Explain(operate::Explain),
    /// what lies in the data folder of a process that does not run
    State(operate::StateCalls),
}

#[derive(Debug, Options)]
struct Check {
    /// print this help
    help: bool,
    #[options(free, required)]
    file: PathBuf,
}

#[derive(Debug, Options)]
struct Nothing {
    /// print this help
    help: bool,
}

/// The arguments, or a settings file, can't be used.
pub(crate) const UNUSABLE: u8 = 2;

enum Program {
    Quay,
    Harbourmaster,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("no command\n\n{}", Arguments::usage());
        return ExitCode::from(UNUSABLE);
    };
    let program = match command {
        Command::Check(Check { file, .. }) => return check::run(&file),
        Command::Status(call) => return operate::run(operate::status(call)),
        Command::Config(call) => return operate::run(operate::config(call)),
        Command::Explain(call) => return operate::run(operate::explain(call)),
        Command::State(call) => return operate::told(operate::state(call)),
        Command::Quay(_) => Program::Quay,
        Command::Harbourmaster(_) => Program::Harbourmaster,
    };
    let path = arguments.settings.or_else(|| std::env::var_os(SETTINGS).map(PathBuf::from));
    let Some(path) = path else {
        eprintln!("no settings file: neither --settings nor {SETTINGS} names one");
        return ExitCode::from(UNUSABLE);
    };
    let settings = match manifest::Settings::read(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{}: {fault}", path.display());
            return ExitCode::from(UNUSABLE);
        }
    };
    if let Err(error) = logs::start(&settings.tuning.log_level) {
        eprintln!("logs: {error}");
        return ExitCode::from(UNUSABLE);
    }
    let done = match program {
        Program::Quay => start::run(quays::run(settings, path)),
        Program::Harbourmaster => start::run(master::run(settings, path)),
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
