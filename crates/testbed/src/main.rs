//! `testbed`: runs a small fleet on one machine for demos, trials and measurements.

#![forbid(unsafe_code)]

use gumdrop::Options;
use miette::Diagnostic as _;
use rustix::process::{Pid, Signal, getppid, set_parent_process_death_signal};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use testbed::capacity::size::PLAN;
use testbed::demo::{Program, termination_signal};
use testbed::report::print;
use testbed::trial::schedule::{self, BUILT_IN, Schedule};
use testbed::trial::several::run_all;
use testbed::trial::{self, Figures, compare};
use testbed::{Demo, Scenario, TestbedError, capacity, scale, up};

/// Exit status: rules were broken.
const RULES_BROKEN: u8 = 1;
/// Exit status: invalid arguments or files, or the fleet cannot be started.
const UNUSABLE: u8 = 2;
/// Exit status: a trial has no verdict, and no other trial broke a rule.
const NO_VERDICT: u8 = 3;
/// Maximum number of seeds per call.
const MAX_SEEDS: u64 = 100_000;
/// Maximum number of parallel trials; each has seven processes.
const MAX_PARALLEL: usize = 16;
/// Maximum duration of a demo in seconds, and maximum request rate per second.
const MAX_SECONDS: u64 = 600;
const MAX_RATE: f64 = 5000.0;
/// Maximum number of hollow data planes of one measurement.
const MAX_HOLLOW: usize = 2000;

/// testbed: a small fleet on one machine.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// run a fleet under load, with an optional disruption, and check what was observed
    Demo(DemoArguments),
    /// run trials: a relay on every link, injected faults, and a check of what was observed
    Trial(TrialArguments),
    /// compare two files of trial figures
    Compare(CompareArguments),
    /// start a fleet and keep it running until Ctrl-C or `testbed down`
    Up(UpArguments),
    /// measure the cost of state, messages and steps at the design sizes
    Capacity(CapacityArguments),
    /// measure real processes among hollow data planes at several sizes
    Scale(ScaleArguments),
    /// stop the fleet of `testbed up`
    Down(DownArguments),
}

#[derive(Debug, Options)]
struct DemoArguments {
    /// print this help
    help: bool,
    /// duration of the load
    #[options(meta = "N", default = "12")]
    seconds: u64,
    /// none, leader, disk, zone, release, config or quota
    #[options(meta = "NAME", default = "none")]
    trouble: Scenario,
    /// seed of the load and of the backends' service times
    #[options(meta = "N", default = "1", no_short)]
    seed: u64,
    /// requests per second
    #[options(meta = "N", default = "400")]
    rate: f64,
    /// a `reachlb` program to run instead of the built-in one
    #[options(meta = "FILE")]
    program: Option<PathBuf>,
    /// keep settings and logs
    keep: bool,
}

#[derive(Debug, Options)]
struct TrialArguments {
    /// print this help
    help: bool,
    /// a built-in trial or a file; without a name, the built-in trials are listed
    #[options(free)]
    name: Option<String>,
    /// first and last seed
    #[options(meta = "A..B", default = "1..1")]
    seeds: Seeds,
    /// number of parallel trials
    #[options(meta = "N", default = "1", no_short)]
    side: usize,
    /// a `reachlb` program to run instead of the built-in one
    #[options(meta = "FILE")]
    program: Option<PathBuf>,
    /// run each trial with this `reachlb` program as well, and compare the figures
    #[options(meta = "FILE", no_short)]
    against: Option<PathBuf>,
    /// directory for history, verdict, logs and page of each trial
    #[options(meta = "DIR")]
    keep: Option<PathBuf>,
    /// file for the figures of each trial, one JSON object per line
    #[options(meta = "FILE")]
    out: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct CompareArguments {
    /// print this help
    help: bool,
    /// the two files
    #[options(free)]
    files: Vec<PathBuf>,
}

/// An inclusive range of seeds.
#[derive(Clone, Copy, Debug, Default)]
struct Seeds(u64, u64);

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        match (first.parse(), last.trim_start_matches('=').parse()) {
            (Ok(first), Ok(last)) if first <= last && last - first < MAX_SEEDS => Ok(Self(first, last)),
            _ => Err(format!("{text:?} is not A..B with at most {MAX_SEEDS} seeds")),
        }
    }
}

#[derive(Debug, Options)]
struct UpArguments {
    /// print this help
    help: bool,
    /// directory of the fleet's files, created or reused
    #[options(meta = "DIR", default = ".testbed")]
    dir: PathBuf,
    /// a `reachlb` program to run instead of the built-in one
    #[options(meta = "FILE")]
    program: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct CapacityArguments {
    /// print this help
    help: bool,
}

#[derive(Debug, Options)]
struct ScaleArguments {
    /// print this help
    help: bool,
    /// numbers of hollow data planes, separated by commas
    #[options(meta = "N,..", default = "13,85,300")]
    gateways: Counts,
    /// an additional size that is left out of the fit and checked against it
    #[options(meta = "N", no_short)]
    check: Option<usize>,
    /// duration of each measurement
    #[options(meta = "N", default = "30")]
    seconds: u64,
    /// lease requests per second and data plane; by default as in the capacity plan
    #[options(meta = "N", no_short)]
    requests: Option<f64>,
    /// hollow backends per data plane; by default as in the capacity plan
    #[options(meta = "N", no_short)]
    backends: Option<f64>,
    /// number of processes for the hollow data planes
    #[options(meta = "N", default = "3", no_short)]
    processes: usize,
    /// a `reachlb` program to run instead of the built-in one
    #[options(meta = "FILE", no_short)]
    program: Option<PathBuf>,
}

/// Numbers separated by commas.
#[derive(Clone, Debug, Default)]
struct Counts(Vec<usize>);

impl FromStr for Counts {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let numbers: Result<Vec<_>, _> = text.split(',').map(|number| number.trim().parse()).collect();
        numbers.map(Self).map_err(|_| format!("{text:?} is not a list of numbers"))
    }
}

#[derive(Debug, Options)]
struct DownArguments {
    /// print this help
    help: bool,
    /// directory of the fleet's files
    #[options(meta = "DIR", default = ".testbed")]
    dir: PathBuf,
}

fn main() -> ExitCode {
    let raw_arguments: Vec<String> = std::env::args().collect();
    // Internal command, so it is not listed in the help.
    if let [_, process, plane, parent] = &raw_arguments[..]
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
        Err(error) => {
            eprintln!("testbed: {error}");
            if let Some(help) = error.help() {
                eprintln!("{help}");
            }
            ExitCode::from(UNUSABLE)
        }
    }
}

fn run(command: Command) -> Result<ExitCode, TestbedError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let runtime = runtime.map_err(|error| TestbedError::Socket { what: "the runtime", error })?;
    // The main thread starts all processes, since they are killed when the starting thread exits.
    match command {
        Command::Demo(DemoArguments { seconds, trouble, seed, rate, program, keep, .. }) => {
            let usable = (1..=MAX_SECONDS).contains(&seconds) && (1.0..=MAX_RATE).contains(&rate);
            if !usable {
                eprintln!("--seconds must be 1 to {MAX_SECONDS}, --rate 1 to {MAX_RATE}");
                return Ok(ExitCode::from(UNUSABLE));
            }
            let demo = Demo { program: program_or(program)?, seconds, rate, scenario: trouble, seed, keep };
            let good = runtime.block_on(demo.run())?;
            Ok(if good { ExitCode::SUCCESS } else { ExitCode::from(RULES_BROKEN) })
        }
        Command::Trial(arguments) => trial(&runtime, arguments),
        Command::Compare(CompareArguments { files, .. }) => match &files[..] {
            [old, new] => {
                print(compare(&read_figures(old)?, &read_figures(new)?));
                Ok(ExitCode::SUCCESS)
            }
            _ => {
                eprintln!("compare needs two files");
                Ok(ExitCode::from(UNUSABLE))
            }
        },
        Command::Up(UpArguments { dir, program, .. }) => {
            let up = up::Up { program: program_or(program)?, dir };
            runtime.block_on(up.run())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Capacity(_) => {
            capacity::tables();
            Ok(ExitCode::SUCCESS)
        }
        Command::Scale(arguments) => run_scale(&runtime, arguments),
        Command::Down(DownArguments { dir, .. }) => {
            let count = runtime.block_on(up::down(Path::new(&dir)))?;
            print(format_args!("{count} processes stopped\n"));
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn run_scale(runtime: &tokio::runtime::Runtime, arguments: ScaleArguments) -> Result<ExitCode, TestbedError> {
    let ScaleArguments {
        gateways: Counts(sizes),
        check,
        seconds,
        requests,
        backends,
        processes,
        program,
        ..
    } = arguments;
    let all: Vec<_> = sizes.into_iter().chain(check).collect();
    let usable = all.iter().all(|gateways| (1..=MAX_HOLLOW).contains(gateways));
    if !usable || !(1..=MAX_SECONDS).contains(&seconds) || !(1..=MAX_PARALLEL).contains(&processes) {
        eprintln!(
            "sizes must be 1 to {MAX_HOLLOW}, --seconds 1 to {MAX_SECONDS}, --processes 1 to {MAX_PARALLEL}"
        );
        return Ok(ExitCode::from(UNUSABLE));
    }
    let requests_per_s = requests.unwrap_or(PLAN.requests_per_s / PLAN.gateways as f64);
    let backends_each = backends.unwrap_or(PLAN.backends as f64 / PLAN.gateways as f64);
    let (program, own) = (program_or(program)?, program_or(None)?);
    let plan = |gateways| {
        let (program, own) = (program.clone(), own.clone());
        scale::run::Plan { program, own, gateways, processes, seconds, requests_per_s, backends_each }
    };
    fault_injection::running::kill_all_on_panic();
    let measured = runtime.block_on(async {
        let mut outcomes = Vec::new();
        for gateways in all {
            let plan = plan(gateways);
            let outcome = tokio::select! {
                outcome = plan.run() => outcome?,
                // Child processes are killed when the threads that started them exit.
                why = termination_signal() => return Err(TestbedError::Terminated(why)),
            };
            outcomes.push(outcome);
        }
        Ok(outcomes)
    })?;
    print(scale::table(&scale::quantities(&measured, check)));
    Ok(ExitCode::SUCCESS)
}

fn trial(runtime: &tokio::runtime::Runtime, arguments: TrialArguments) -> Result<ExitCode, TestbedError> {
    let TrialArguments { name, seeds, side, program, against, keep, out, .. } = arguments;
    let Some(name) = name else {
        BUILT_IN.iter().for_each(|(name, _)| print(format_args!("{name}\n")));
        return Ok(ExitCode::SUCCESS);
    };
    if !(1..=MAX_PARALLEL).contains(&side) {
        eprintln!("--side must be 1 to {MAX_PARALLEL}");
        return Ok(ExitCode::from(UNUSABLE));
    }
    let text = schedule::text(&name)?;
    let all: Result<Vec<_>, _> = (seeds.0..=seeds.1).map(|seed| Schedule::read(&name, &text, seed)).collect();
    let all = all?;
    fault_injection::running::kill_all_on_panic();
    let play = |program, keep| {
        let options = trial::Options { program, keep };
        let all = all.clone();
        runtime.block_on(async {
            tokio::select! {
                sum = run_all(all, &options, side, |text| print(text)) => sum,
                // Child processes are killed when the threads that started them exit.
                why = termination_signal() => Err(TestbedError::Terminated(why)),
            }
        })
    };
    let old = match against {
        Some(file) => {
            let sum = play(program_or(Some(file))?, keep.as_ref().map(|keep| keep.join("against")))?;
            print(format_args!("against: {}", sum.text()));
            Some(sum)
        }
        None => None,
    };
    let sum = play(program_or(program)?, keep)?;
    print(sum.text());
    if let Some(old) = old {
        print(compare(&old.figures, &sum.figures));
    }
    if let Some(out) = out {
        let line = |figures| serde_json::to_string(figures).unwrap_or_default() + "\n";
        let text: String = sum.figures.iter().map(line).collect();
        std::fs::write(&out, text).map_err(TestbedError::file(&out))?;
    }
    Ok(match (sum.broken(), sum.void()) {
        (0, 0) => ExitCode::SUCCESS,
        (0, _) => ExitCode::from(NO_VERDICT),
        _ => ExitCode::from(RULES_BROKEN),
    })
}

fn read_figures(path: &Path) -> Result<Vec<Figures>, TestbedError> {
    let text = std::fs::read_to_string(path).map_err(TestbedError::file(path))?;
    let read = |(number, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|error| TestbedError::InvalidResults {
            path: path.to_owned(),
            line: number + 1,
            wrong: error.to_string(),
        })
    };
    text.lines().enumerate().map(read).collect()
}

/// Returns the given program, or the built-in one.
fn program_or(named: Option<PathBuf>) -> Result<Program, TestbedError> {
    if let Some(file) = named {
        let file = file.canonicalize().map_err(TestbedError::file(&file))?;
        return Ok(Program { file, before: Vec::new(), after: Vec::new() });
    }
    let file = std::env::current_exe().map_err(TestbedError::file("this program"))?;
    let parent = std::process::id().to_string();
    Ok(Program { file, before: vec!["process".to_owned()], after: vec![parent] })
}

/// Runs a plane, which is killed when its parent exits.
fn serve(plane: &str, parent: &str) -> ExitCode {
    let parent = parent.parse().ok().and_then(Pid::from_raw);
    // Check the parent after requesting the signal: an earlier exit of the parent sends no signal.
    if set_parent_process_death_signal(Some(Signal::KILL)).is_err() || getppid() != parent {
        eprintln!("this command is for internal use by testbed");
        return ExitCode::from(UNUSABLE);
    }
    let program = match plane {
        "hollow" => return hollow(),
        "data-plane" => reachlb::Program::DataPlane,
        "control-plane" => reachlb::Program::ControlPlane,
        other => {
            eprintln!("{other:?} is not a plane: expected \"data-plane\" or \"control-plane\"");
            return ExitCode::from(UNUSABLE);
        }
    };
    reachlb::serve(program, None, reachlb::Overrides::default())
}

/// Runs hollow data planes with the settings file named by the environment variable.
fn hollow() -> ExitCode {
    let Some(path) = std::env::var_os(reachlb::SETTINGS_VARIABLE) else { return ExitCode::from(UNUSABLE) };
    match scale::hollow::serve(Path::new(&path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
