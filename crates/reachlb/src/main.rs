//! `reachlb`: one binary, a program for each plane.

#![forbid(unsafe_code)]

use gumdrop::Options;
use reachlb::{EXIT_INVALID_INPUT, Overrides, Program, check, operator, serve};
use std::path::PathBuf;
use std::process::ExitCode;

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
    DataPlane(Plane),
    /// serve control: backends' beats, the operator's calls, the log, the counts
    ControlPlane(Plane),
    /// check a settings file (TOML) or a configuration (JSON), every fault on a line of its own
    Check(Check),
    /// how a fleet stands, as one of its processes knows it
    Status(operator::Status),
    /// the configuration: in force, former ones, what changed, another one
    Config(operator::ConfigCommand),
    /// what became of a node, a backend, a version (r12) or a request, and why
    Explain(operator::Explain),
    /// what lies in the data folder of a process that does not run
    State(operator::StateCommand),
    /// the list of voters, changed by hand
    Voter(operator::VoterCommand),
}

#[derive(Debug, Options)]
struct Check {
    /// print this help
    help: bool,
    #[options(free, required)]
    file: PathBuf,
}

#[derive(Debug, Options)]
struct Plane {
    /// print this help
    help: bool,
    /// watch a few other processes, and be watched by them
    watching: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("no command\n\n{}", Arguments::usage());
        return ExitCode::from(EXIT_INVALID_INPUT);
    };
    let (program, plane) = match command {
        Command::Check(Check { file, .. }) => return check::run(&file),
        Command::Status(call) => return operator::run(operator::status(call)),
        Command::Config(call) => return operator::run(operator::config(call)),
        Command::Explain(call) => return operator::run(operator::explain(call)),
        Command::State(call) => return operator::print_result(operator::state(call)),
        Command::Voter(call) => return operator::run(operator::voter(call)),
        Command::DataPlane(plane) => (Program::DataPlane, plane),
        Command::ControlPlane(plane) => (Program::ControlPlane, plane),
    };
    let Plane { watching, .. } = plane;
    serve(program, arguments.settings, Overrides { watching })
}
