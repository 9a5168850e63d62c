//! `fennelscale-lab`: experiments with the fleet in simulated time, and trials with real gateways.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use fennelscale_lab::draw::Day;
use fennelscale_lab::experiment::{self, Change, Estimate, Plan};
use fennelscale_lab::live::{Demo, Trouble, load, table as table_of_load};
use fennelscale_lab::report;
use fennelscale_lab::results::{Results, Row};
use fennelscale_lab::scenario::{BUILT_IN, Scenario, Span};
use fennelscale_lab::trial::{self, schedule, schedule::Schedule};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

/// Simulates the fleet: runs days, compares versions of the decisions, and tries real gateways.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Exit status: 0 success; 1 a rule was broken; 2 invalid input; 3 a trial without a verdict."
)]
struct Command {
    /// Days simulated in parallel; 0: one per core.
    #[arg(long, global = true, default_value_t = 0)]
    threads: usize,
    #[command(subcommand)]
    subcommand: Subcommands,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Simulates days and writes the results.
    Run {
        /// Names of built-in scenarios, or scenario files.
        #[arg(required = true)]
        scenarios: Vec<String>,
        /// Seeds: a range as 1..20 (both ends included), single numbers, or both with commas.
        #[arg(long, default_value = "1..5", value_parser = seeds)]
        seeds: Seeds,
        /// The result file.
        #[arg(long)]
        out: PathBuf,
        /// Simulates the baselines as well, to compute a score for each day.
        #[arg(long)]
        score: bool,
        /// Writes the rows of the baselines as well.
        #[arg(long)]
        baselines: bool,
        /// Lets gateways exchange health reports about backends, as in a group: each report takes 50 to 350 ms.
        #[arg(long)]
        words: bool,
    },
    /// Compares two result files by scenario and seed.
    Compare {
        /// The older results.
        old: PathBuf,
        /// The newer results.
        new: PathBuf,
        /// The number of causes shown per scenario.
        #[arg(long, default_value_t = 5)]
        causes: usize,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints a result file as a table.
    Show {
        /// The result file.
        file: PathBuf,
        /// Shows the quota decisions by plan instead.
        #[arg(long)]
        gate: bool,
    },
    /// Writes one HTML page with plots of a result file.
    Report {
        /// The result file.
        file: PathBuf,
        /// The directory for the page, `index.html`.
        #[arg(long)]
        out: PathBuf,
        /// Older results to show for comparison.
        #[arg(long)]
        old: Option<PathBuf>,
    },
    /// Prints a drawn day in readable form.
    Draw {
        /// A built-in scenario or a scenario file.
        scenario: String,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints all first tries as well.
        #[arg(long)]
        requests: bool,
    },
    /// Lists the built-in scenarios.
    Scenarios,
    /// Starts three real gateways with stand-ins on loopback, sends load, and prints the results.
    Demo {
        /// Duration of the load, in seconds.
        #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(2..=load::MAX_SECONDS))]
        seconds: u64,
        /// Requests per second.
        #[arg(long, default_value_t = 150.0)]
        rate: f64,
        /// The trouble in the middle of the run.
        #[arg(long)]
        trouble: Option<Trouble>,
        /// Starts five gateways in a group of three voters with duties, and kills one that has a duty.
        #[arg(long)]
        group: bool,
        /// The gateway's program; by default the one next to this program.
        #[arg(long)]
        gateway: Option<PathBuf>,
    },
    /// Runs trials: real gateways with stand-ins, injected faults, and a judge of the gateways' joint behaviour.
    Trial {
        /// A built-in trial by name, or a file; without a name, lists the built-in trials.
        name: Option<String>,
        /// Seeds, as for `run`.
        #[arg(long, default_value = "1", value_parser = seeds)]
        seeds: Seeds,
        /// Duration of the load, in seconds, instead of the trial's own.
        #[arg(long)]
        seconds: Option<f64>,
        /// The directory for the history, logs and timeline of each trial.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Trials run in parallel.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=16))]
        side: u16,
        /// The gateway's program; by default the one next to this program.
        #[arg(long)]
        gateway: Option<PathBuf>,
        /// An older gateway's program, for faults that require one.
        #[arg(long)]
        old: Option<PathBuf>,
    },
    /// Sends load to running gateways at loopback addresses.
    Load {
        /// A gateway's address; repeat the option for each gateway.
        #[arg(long = "to", required = true)]
        to: Vec<SocketAddr>,
        /// Duration, in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Requests per second.
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// A class as NAME:SHARE:DEADLINE_MS, with a ! after the name if its requests must not run twice.
        #[arg(long = "class", default_values = ["reading:0.7:4000", "setpoint!:0.3:5000"], value_parser = class)]
        classes: Vec<load::Class>,
        /// A plan's name.
        #[arg(long = "plan", default_values = ["basic"])]
        plans: Vec<String>,
        /// The number of customers.
        #[arg(long, default_value_t = 40)]
        customers: u64,
        /// The seed of all random draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// The delay of a health report from one gateway to another, in ms: the report, up to 200 ms until the report is
/// collected, a log entry, and the end of a watch.
const PEER_REPORT_DELAY: Span = Span { min: 50.0, max: 350.0 };

#[derive(Clone, Debug)]
struct Seeds(Vec<u64>);

fn seeds(text: &str) -> Result<Seeds, String> {
    let mut all = Vec::new();
    for part in text.split(',') {
        let number = |text: &str| text.trim().parse::<u64>().map_err(|_| format!("invalid seed: {text}"));
        match part.split_once("..") {
            Some((from, to)) => {
                let (from, to) = (number(from)?, number(to)?);
                if from > to || to - from >= 10_000 {
                    return Err(format!("invalid range, or more than 10,000 seeds: {part}"));
                }
                all.extend(from..=to);
            }
            None => all.push(number(part)?),
        }
    }
    Ok(Seeds(all))
}

fn class(text: &str) -> Result<load::Class, String> {
    let parts: Vec<&str> = text.split(':').collect();
    let [name, share, deadline] = parts[..] else {
        return Err("a class must have the form NAME:SHARE:DEADLINE_MS".into());
    };
    let share = share.parse().ok().filter(|share| *share > 0.0 && *share <= 1e6);
    let deadline_ms = deadline.parse().ok().filter(|ms| (1..=600_000).contains(ms));
    let (Some(share), Some(deadline_ms)) = (share, deadline_ms) else {
        return Err("the share must be above 0 and at most 1,000,000, the deadline 1 to 600,000 ms".into());
    };
    let bare = name.trim_end_matches('!');
    let plain = !bare.is_empty() && bare.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
    if !plain {
        return Err("the name of a class may contain only letters, digits, - and _".into());
    }
    Ok(load::Class { name: bare.into(), safe: bare == name, share, deadline_ms })
}

/// A trial could not keep its own schedule, which counts neither as a pass nor as a failure.
#[derive(Debug)]
struct NoVerdict;

impl std::fmt::Display for NoVerdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("some trials have no verdict")
    }
}

impl std::error::Error for NoVerdict {}

/// The gateway's program, or an error if the program does not exist.
fn program(given: Option<PathBuf>) -> Result<PathBuf, BoxError> {
    let program = match given {
        Some(program) => program,
        None => std::env::current_exe()?.with_file_name("fennelscale"),
    };
    if !program.exists() {
        let hint = "build it with: cargo build --release --workspace --locked";
        return Err(format!("{}: the gateway program does not exist; {hint}", program.display()).into());
    }
    Ok(program)
}

/// An error that ends the program, printed as one line on standard error.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

fn main() -> ExitCode {
    let command = Command::parse();
    let pool = rayon::ThreadPoolBuilder::new().num_threads(command.threads).build_global();
    if let Err(error) = pool {
        eprintln!("threads: {error}");
        return ExitCode::from(2);
    }
    match execute(command.subcommand) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            // A reader that closes the pipe early is not an error.
            let closed = error.downcast_ref::<std::io::Error>().map(std::io::Error::kind);
            if closed == Some(std::io::ErrorKind::BrokenPipe) {
                return ExitCode::SUCCESS;
            }
            eprintln!("{error}");
            ExitCode::from(if error.is::<NoVerdict>() { 3 } else { 2 })
        }
    }
}

/// Runs a command and returns the number of breaches.
fn execute(subcommand: Subcommands) -> Result<u64, BoxError> {
    let mut out = std::io::stdout().lock();
    match subcommand {
        Subcommands::Run { scenarios, seeds, out: path, score, baselines, words } => {
            let peer_report_ms = words.then_some(PEER_REPORT_DELAY);
            let load = |name: &String| Ok(Arc::new(Scenario { peer_report_ms, ..Scenario::load(name)? }));
            let scenarios = scenarios.iter().map(load);
            let scenarios = scenarios.collect::<Result<Vec<_>, BoxError>>()?;
            let plan = Plan { scenarios, seeds: seeds.0, score, baselines };
            run(&plan, &path, &mut out)
        }
        Subcommands::Compare { old, new, causes, json } => {
            let (old, new) = (Results::read(&old)?, Results::read(&new)?);
            let (change, unpaired) = experiment::compare(&old, &new);
            if json {
                writeln!(out, "{}", serde_json::to_string_pretty(&change)?)?;
                return Ok(0);
            }
            writeln!(
                out,
                "old {} ({}), new {} ({})",
                old.head.commit, old.head.decisions, new.head.commit, new.head.decisions
            )?;
            for side in [&old, &new] {
                if side.missing() > 0 {
                    writeln!(
                        out,
                        "{}: {} of {} days are missing",
                        side.head.commit,
                        side.missing(),
                        side.head.days
                    )?;
                }
            }
            if unpaired > 0 {
                writeln!(out, "{unpaired} days are in only one of the files and are ignored")?;
            }
            if change.is_empty() {
                return Err("the two files have no day in common".into());
            }
            change.iter().try_for_each(|change| write_moved(change, causes, &mut out))?;
            Ok(0)
        }
        Subcommands::Show { file, gate } => {
            let results = Results::read(&file)?;
            if results.missing() > 0 {
                writeln!(out, "{} of {} days are missing", results.missing(), results.head.days)?;
            }
            if gate {
                gate_table(&results.rows, &mut out)?
            } else {
                table(&results.rows, &mut out)?
            }
            Ok(0)
        }
        Subcommands::Report { file, out: folder, old } => {
            let old = old.as_deref().map(Results::read).transpose()?;
            let page = report::page(&Results::read(&file)?, old.as_ref())?;
            std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            let path = folder.join("index.html");
            std::fs::write(&path, page).map_err(|e| format!("{}: {e}", path.display()))?;
            writeln!(out, "{}", path.display())?;
            Ok(0)
        }
        Subcommands::Draw { scenario, seed, requests } => {
            draw(&Day::draw(&Arc::new(Scenario::load(&scenario)?), seed), requests, &mut out)?;
            Ok(0)
        }
        Subcommands::Demo { seconds, rate, trouble, group, gateway } => {
            let program = program(gateway)?;
            let demo = Demo { program, seconds, rate, trouble, group };
            let bar = progress(rate * seconds as f64)?;
            let outcome = runtime()?.block_on(demo.run(|| bar.inc(1)))?;
            bar.finish_and_clear();
            write!(out, "{}", outcome.text())?;
            Ok(0)
        }
        Subcommands::Trial { name: None, .. } => {
            for (name, text) in schedule::BUILT_IN_TRIALS {
                let about = text.lines().find_map(|line| line.strip_prefix("# ")).unwrap_or_default();
                writeln!(out, "{name:14}{about}")?;
            }
            Ok(0)
        }
        Subcommands::Trial { name: Some(name), seeds, seconds, keep, side, gateway, old } => {
            let text = schedule::text(&name)?;
            let all = seeds.0.iter().map(|seed| Schedule::read(&name, &text, *seed, seconds));
            let all = all.collect::<Result<Vec<_>, _>>()?;
            let options = trial::Options { program: program(gateway)?, old, keep };
            let runtime = runtime()?;
            let summary = runtime.block_on(async {
                let played = trial::report::run_all(&all, &options, side.into(), |text| {
                    let _ = write!(out, "{text}");
                });
                let mut end = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
                tokio::select! {
                    result = played => result,
                    _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
                    _ = end.recv() => Err("terminated by SIGTERM".into()),
                }
            });
            // Ends all processes of the trials before the result is printed.
            drop(runtime);
            fennelscale_lab::live::process::kill_all();
            let summary = summary?;
            write!(out, "{}", summary.text())?;
            match (summary.broken, summary.void) {
                (0, 0) => Ok(0),
                (0, _) => Err(Box::new(NoVerdict)),
                (broken, _) => Ok(broken),
            }
        }
        Subcommands::Load { to, seconds, rate, classes, plans, customers, seed } => {
            let (spread, skewed, watch) = (0, false, None);
            let load =
                load::Load { to, rate, seconds, classes, plans, customers, spread, skewed, seed, watch };
            load.check()?;
            let bar = progress(rate * seconds as f64)?;
            let classes = runtime()?.block_on(load.run(|| bar.inc(1)))?;
            bar.finish_and_clear();
            write!(out, "{}", table_of_load(&classes))?;
            Ok(0)
        }
        Subcommands::Scenarios => {
            for (name, text) in BUILT_IN {
                let about = text.lines().find_map(|line| line.strip_prefix("# ")).unwrap_or_default();
                writeln!(out, "{name:14}{about}")?;
            }
            Ok(0)
        }
    }
}

fn progress(requests: f64) -> Result<ProgressBar, BoxError> {
    let bar = ProgressBar::new(requests as u64);
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos} of about {len} requests, {elapsed}")?);
    Ok(bar)
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()
}

fn run(plan: &Plan, path: &std::path::Path, out: &mut impl std::io::Write) -> Result<u64, BoxError> {
    let days = plan.scenarios.len() * plan.seeds.len();
    let bar = ProgressBar::new(days as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} days, {eta} left {msg}")?;
    bar.set_style(style);
    let rows = Mutex::new(Vec::new());
    experiment::run_into(plan, path, |row| {
        bar.inc(1);
        bar.set_message(format!("{} {}", row.scenario, row.seed));
        if let Ok(mut rows) = rows.lock() {
            rows.push(row.clone());
        }
    })?;
    bar.finish_and_clear();
    let mut rows = rows.into_inner().unwrap_or_default();
    rows.sort_by_key(|row: &Row| (plan.scenarios.iter().position(|s| s.name == row.scenario), row.seed));
    table(&rows, out)?;
    let broken = rows.iter().map(|row| row.broken).sum();
    for row in rows.iter().filter(|row| row.broken > 0) {
        let first = &row.breaches[0];
        let request = first.request.map_or(String::new(), |id| format!(", request {id}"));
        writeln!(
            out,
            "{} {}: {} rules broken, first {:?} at {:.3} ms, gateway {}{request}: {}",
            row.scenario, row.seed, row.broken, first.rule, first.at, first.gateway, first.what
        )?;
    }
    Ok(broken)
}

/// Prints one line per day, and one for the mean of each scenario.
fn table(rows: &[Row], out: &mut impl std::io::Write) -> std::io::Result<()> {
    writeln!(
        out,
        "{:14}{:>5} {:>9} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>6} {:>6} {:>6}  largest losses",
        "scenario",
        "seed",
        "size",
        "G",
        "score",
        "served",
        "tries",
        "refus",
        "w.room",
        "beyond",
        "calls",
        "broken"
    )?;
    let line = |out: &mut dyn std::io::Write, name: &str, rows: &[&Row]| -> std::io::Result<()> {
        let mean = |of: &dyn Fn(&Row) -> f64| rows.iter().map(|row| of(row)).sum::<f64>() / rows.len() as f64;
        let (seed, size) = match rows {
            [row] => (row.seed.to_string(), format!("{}x{}", row.size.0, row.size.1)),
            _ => ("mean".into(), format!("{} days", rows.len())),
        };
        let scores: Option<Vec<f64>> = rows.iter().map(|row| row.score).collect();
        let score = scores.map_or("-".into(), |all| format!("{:.3}", Estimate::of(&all).mean));
        let mut lost: std::collections::BTreeMap<String, f64> = Default::default();
        for row in rows {
            experiment::losses(&row.books)
                .into_iter()
                .for_each(|(name, points)| *lost.entry(name).or_default() += points / rows.len() as f64);
        }
        let mut lost: Vec<_> = lost.into_iter().collect();
        lost.sort_by(|a, b| b.1.total_cmp(&a.1));
        let lost: Vec<_> = lost.iter().take(4).map(|(name, points)| format!("{name} {points:.3}")).collect();
        writeln!(
            out,
            "{name:14}{seed:>5} {size:>9} {:>6.3} {score:>6} {:>6.3} {:>6.2} {:>6.3} {:>7.3} {:>6.3} {:>6.3} {:>6}  {}",
            mean(&|r| r.books.g),
            mean(&|r| r.books.whole.share()),
            mean(&|r| r.books.figures.tries),
            mean(&|r| r.books.figures.refused),
            mean(&|r| r.books.figures.refused_with_room),
            mean(&|r| r.books.figures.beyond),
            mean(&|r| r.books.figures.calls),
            rows.iter().map(|r| r.broken).sum::<u64>(),
            lost.join(", ")
        )
    };
    let mut names: Vec<(&str, &str)> = Vec::new();
    for row in rows {
        let key = (row.scenario.as_str(), row.policy.as_str());
        if !names.contains(&key) {
            names.push(key);
        }
    }
    for (scenario, policy) in names {
        let of: Vec<&Row> =
            rows.iter().filter(|row| row.scenario == scenario && row.policy == policy).collect();
        let name = if policy == "module" { scenario.to_string() } else { format!(" {policy}") };
        for row in &of {
            line(out, &name, &[row])?;
        }
        if of.len() > 1 {
            line(out, &name, &of)?;
        }
    }
    Ok(())
}

/// Prints the quota decisions, summed over all days of the library's policy.
fn gate_table(rows: &[Row], out: &mut impl std::io::Write) -> std::io::Result<()> {
    let mut all: std::collections::BTreeMap<(&str, &str), [u64; 4]> = Default::default();
    for row in rows.iter().filter(|row| row.policy == "module") {
        for (name, gate) in &row.books.gate {
            let sum = all.entry((&row.scenario, name)).or_default();
            let counts = [gate.inside, gate.beyond, gate.refused_with_room, gate.refused];
            sum.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        }
    }
    writeln!(
        out,
        "{:12}{:30}{:>10}{:>10}{:>12}{:>10}",
        "scenario", "plan, try, told", "inside", "beyond", "ref. w. room", "refused"
    )?;
    for ((scenario, name), [inside, beyond, with_room, refused]) in all {
        writeln!(out, "{scenario:12}{name:30}{inside:>10}{beyond:>10}{with_room:>12}{refused:>10}")?;
    }
    Ok(())
}

fn estimate(estimate: &Estimate) -> String {
    let within = estimate.half_width.map_or(String::new(), |within| format!(" ± {within:.4}"));
    format!("{:+.4}{within}", estimate.mean)
}

fn write_moved(change: &Change, causes: usize, out: &mut impl std::io::Write) -> std::io::Result<()> {
    writeln!(
        out,
        "{:14} G {:.4} -> {:.4}: {} over {} days (95%); worst seed {} {:+.4}; broken {} -> {}",
        change.scenario,
        change.means.0,
        change.means.1,
        estimate(&change.g),
        change.g.count,
        change.worst.0,
        change.worst.1,
        change.broken.0,
        change.broken.1
    )?;
    for (name, lost) in change.causes.iter().take(causes).filter(|(_, lost)| lost.mean != 0.0) {
        writeln!(out, "    lost by {name:22} {}", estimate(lost))?;
    }
    Ok(())
}

fn draw(day: &Day, requests: bool, out: &mut impl std::io::Write) -> Result<(), BoxError> {
    writeln!(out, "{} ({}), seed {}, {:.1} s", day.scenario, day.digest, day.seed, day.length as f64 / 1e6)?;
    let shown = [
        ("net", serde_json::to_value(&day.net)?),
        ("clients", serde_json::to_value(&day.clients)?),
        ("discovery", serde_json::to_value(&day.discovery)?),
        ("counter", serde_json::to_value(&day.counter)?),
        ("machine", serde_json::to_value(&day.machine)?),
    ];
    for (name, value) in shown {
        writeln!(out, "{name} {value}")?;
    }
    for class in &day.classes {
        writeln!(out, "class {}", serde_json::to_value(class)?)?;
    }
    for plan in &day.settings.plans {
        writeln!(out, "plan {plan:?}")?;
    }
    writeln!(out, "gateways {} by zone {:?}", day.gateways.len(), day.gateways)?;
    for backend in &day.backends {
        writeln!(out, "backend {}", serde_json::to_value(backend)?)?;
    }
    for trouble in &day.troubles {
        writeln!(out, "trouble {}", serde_json::to_value(trouble)?)?;
    }
    let inside = day.first_tries.iter().filter(|first_try| first_try.inside).count();
    writeln!(
        out,
        "customers {}, first tries {}, inside quotas {inside}",
        day.customers.len(),
        day.first_tries.len()
    )?;
    for customer in &day.customers {
        writeln!(out, "customer {}", serde_json::to_value(customer)?)?;
    }
    if requests {
        for first_try in &day.first_tries {
            writeln!(out, "request {}", serde_json::to_value(first_try)?)?;
        }
    }
    Ok(())
}
