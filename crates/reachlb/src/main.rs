//! `reachlb`: one binary with the programs of both planes and the operators' commands.

#![forbid(unsafe_code)]

use gumdrop::Options;
use reachlb::{EXIT_INVALID_INPUT, Overrides, Program, check, operator, serve};
use std::path::PathBuf;
use std::process::ExitCode;

/// reachlb: an API gateway without external dependencies.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// settings file (default: the file that REACHLB_BOOT names)
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// run a data plane: proxy requests from clients to backends
    DataPlane(Plane),
    /// run a control plane: backend heartbeats, operator calls, replicated log, quotas
    ControlPlane(Plane),
    /// check a settings file (TOML) or a configuration (JSON) and print each error on a line
    Check(Check),
    /// show the state of the fleet as one of its control planes knows it
    Status(operator::Status),
    /// show, compare or replace the configuration
    Config(operator::ConfigCommand),
    /// show what happened to a node, a backend, a configuration version (r12) or a request, and why
    Explain(operator::Explain),
    /// inspect the data directory of a stopped process
    State(operator::StateCommand),
    /// change the voter list by hand
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
    /// take part in the failure detector: probe a few other processes and answer their probes
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
