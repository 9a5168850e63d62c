//! `drydock`: shows a small harbour at work on one machine, or keeps it up to look at.

#![forbid(unsafe_code)]

use drydock::demo::Program;
use drydock::report::print;
use drydock::{Demo, Fault, Trouble, up};
use gumdrop::Options;
use miette::Diagnostic as _;
use rustix::process::{Pid, Signal, getppid, set_parent_process_death_signal};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Faults were found.
const FAULTS: u8 = 1;
/// The arguments, or a file, can't be used, or the harbour can't be built.
const UNUSABLE: u8 = 2;
/// The longest demo, in seconds, and the highest rate.
const LONGEST: u64 = 600;
const FASTEST: f64 = 5000.0;

/// drydock: a small harbour on one machine.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// build a harbour, load it, put it in trouble, judge it and take it down
    Demo(DemoArguments),
    /// build a harbour and keep it up until Ctrl-C or `drydock down`
    Up(UpArguments),
    /// end the harbour that `drydock up` keeps up
    Down(DownArguments),
}

#[derive(Debug, Options)]
struct DemoArguments {
    /// print this help
    help: bool,
    /// for how long there is load
    #[options(meta = "N", default = "12")]
    seconds: u64,
    /// none, leader, disk, zone, release, config or quota
    #[options(meta = "NAME", default = "none")]
    trouble: Trouble,
    /// seed of the load and of the backends' pace
    #[options(meta = "N", default = "1", no_short)]
    seed: u64,
    /// requests a second
    #[options(meta = "N", default = "400")]
    rate: f64,
    /// a `reachlb` to try, instead of what is built into this program
    #[options(meta = "FILE")]
    program: Option<PathBuf>,
    /// leave settings and logs where they are
    keep: bool,
}

#[derive(Debug, Options)]
struct UpArguments {
    /// print this help
    help: bool,
    /// where its files are, kept and used again when they are there
    #[options(meta = "DIR", default = ".harbour")]
    dir: PathBuf,
    /// a `reachlb` to try, instead of what is built into this program
    #[options(meta = "FILE")]
    program: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct DownArguments {
    /// print this help
    help: bool,
    /// where its files are
    #[options(meta = "DIR", default = ".harbour")]
    dir: PathBuf,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    // Not among the commands, since it is for ourselves alone.
    if let [_, process, plane, parent] = &words[..]
        && process == "process"
    {
        return serve(plane, parent);
    }
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!(
            "no command\n\n{}\n\n{}",
            Arguments::usage(),
            Arguments::command_list().unwrap_or_default()
        );
        return ExitCode::from(UNUSABLE);
    };
    match run(command) {
        Ok(status) => status,
        Err(fault) => {
            eprintln!("drydock: {fault}");
            if let Some(help) = fault.help() {
                eprintln!("{help}");
            }
            ExitCode::from(UNUSABLE)
        }
    }
}

fn run(command: Command) -> Result<ExitCode, Fault> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let runtime = runtime.map_err(|error| Fault::Socket { what: "the runtime", error })?;
    // The main thread starts all processes: they end when it does.
    match command {
        Command::Demo(DemoArguments { seconds, trouble, seed, rate, program, keep, .. }) => {
            let usable = (1..=LONGEST).contains(&seconds) && (1.0..=FASTEST).contains(&rate);
            if !usable {
                eprintln!("--seconds wants 1 to {LONGEST}, --rate 1 to {FASTEST}");
                return Ok(ExitCode::from(UNUSABLE));
            }
            let demo = Demo { program: program_or(program)?, seconds, rate, trouble, seed, keep };
            let good = runtime.block_on(demo.run())?;
            Ok(if good { ExitCode::SUCCESS } else { ExitCode::from(FAULTS) })
        }
        Command::Up(UpArguments { dir, program, .. }) => {
            let up = up::Up { program: program_or(program)?, dir };
            runtime.block_on(up.run())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Down(DownArguments { dir, .. }) => {
            let count = runtime.block_on(up::down(Path::new(&dir)))?;
            print(format_args!("{count} processes ended\n"));
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// What is built in, unless another one is named.
fn program_or(named: Option<PathBuf>) -> Result<Program, Fault> {
    if let Some(file) = named {
        let file = file.canonicalize().map_err(Fault::file(&file))?;
        return Ok(Program { file, before: Vec::new(), after: Vec::new() });
    }
    let file = std::env::current_exe().map_err(Fault::file("this program"))?;
    let parent = std::process::id().to_string();
    Ok(Program { file, before: vec!["process".to_owned()], after: vec![parent] })
}

/// One of the programs, which ends with whoever started it.
fn serve(plane: &str, parent: &str) -> ExitCode {
    let program = match plane {
        "quay" => harbour::Program::Quay,
        "harbourmaster" => harbour::Program::Harbourmaster,
        other => {
            eprintln!("{other:?} is neither quay nor harbourmaster");
            return ExitCode::from(UNUSABLE);
        }
    };
    let parent = parent.parse().ok().and_then(Pid::from_raw);
    // A parent that was gone before the signal was asked for would not be noticed otherwise.
    if set_parent_process_death_signal(Some(Signal::KILL)).is_err() || getppid() != parent {
        eprintln!("is started by drydock only");
        return ExitCode::from(UNUSABLE);
    }
    harbour::serve(program, None, false)
}
