//! Runs several trials, some of them in parallel, and summarizes them. A trial has no verdict if the testbed itself
//! failed or ran late.

use super::results::summary_line;
use super::schedule::Schedule;
use super::{CompletedTrial, Figures, Options, run};
use crate::error::TestbedError;
use std::fmt::Write as _;
use std::thread;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// Worker threads of one trial, in addition to its own thread.
const WORKERS: usize = 2;

/// Results of several trials.
#[derive(Debug, Default)]
pub struct Summary {
    /// Figures of each trial, in order of completion.
    pub figures: Vec<Figures>,
}

impl Summary {
    /// Number of rule violations in trials with a verdict.
    pub fn broken(&self) -> u64 {
        self.figures.iter().filter(|figures| figures.void.is_none()).map(|figures| figures.broken).sum()
    }

    /// Number of trials without a verdict.
    pub fn void(&self) -> usize {
        self.figures.iter().filter(|figures| figures.void.is_some()).count()
    }

    /// One line that summarizes all trials.
    pub fn text(&self) -> String {
        let mut worth: Vec<f64> = self.figures.iter().map(|figures| figures.worth).collect();
        worth.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let index = (worth.len().saturating_sub(1) as f64 * share) as usize;
            worth.get(index).copied().unwrap_or_default()
        };
        format!(
            "{} trials: rules broken {} times, {} without a verdict; worth {:.3} at the median, {:.3} at the worst\n",
            self.figures.len(),
            self.broken(),
            self.void(),
            at(0.5),
            at(0.0)
        )
    }
}

/// Joins the trial threads on drop, so that they can stop their processes and remove their directories first.
struct Threads {
    /// Dropping the sender cancels all running trials.
    cancel: Option<watch::Sender<()>>,
    all: Vec<thread::JoinHandle<()>>,
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.cancel = None;
        for thread in self.all.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Runs trials, up to `parallel` at the same time; `report` receives the report of each completed trial.
///
/// # Errors
/// Returns an error when a trial cannot be run; the others are cancelled.
pub async fn run_all(
    trials: Vec<Schedule>, options: &Options, parallel: usize, mut report: impl FnMut(&str),
) -> Result<Summary, TestbedError> {
    let (result_sender, mut results) = mpsc::unbounded_channel();
    let (cancel, cancelled) = watch::channel(());
    let mut remaining = trials.into_iter();
    let mut sum = Summary::default();
    let start_trial = |schedule: Schedule| {
        let (options, result_sender, mut cancel) =
            (options.clone(), result_sender.clone(), cancelled.clone());
        // Each trial has its own runtime, so that its listeners, relays and tasks end with it, and its own thread,
        // since processes are killed when the thread that started them exits.
        thread::spawn(move || {
            let runtime = Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
            let trial = match runtime {
                Ok(runtime) => LocalSet::new().block_on(&runtime, async {
                    tokio::select! {
                        trial = run(schedule, &options) => trial,
                        _ = cancel.changed() => Err(TestbedError::Terminated("the failure of another trial")),
                    }
                }),
                Err(error) => Err(TestbedError::Socket { what: "the runtime", error }),
            };
            let _ = result_sender.send(trial);
        })
    };
    let all: Vec<_> = remaining.by_ref().take(parallel.max(1)).map(start_trial).collect();
    let mut threads = Threads { cancel: Some(cancel), all };
    let mut running = threads.all.len();
    while running > 0 {
        let Some(trial) = results.recv().await else { break };
        running -= 1;
        let trial = trial?;
        report(&describe(&trial));
        sum.figures.push(trial.figures);
        threads.all.retain(|thread| !thread.is_finished());
        if let Some(next) = remaining.next() {
            threads.all.push(start_trial(next));
            running += 1;
        }
    }
    Ok(sum)
}

/// Formats one trial: the verdict, its figures, and each violation.
pub fn describe(trial: &CompletedTrial) -> String {
    let CompletedTrial { schedule, verdict, figures } = trial;
    let faults: Vec<_> =
        schedule.faults.iter().map(|f| format!("{:.1}+{:.1} {}", f.at, f.duration, f.text)).collect();
    let outcome = match (&verdict.void, verdict.total()) {
        (Some(void), _) => format!("no verdict ({void})"),
        (None, 0) => "ok".to_owned(),
        (None, count) => format!("rules broken {count} times"),
    };
    let mut text = format!(
        "{} {}: {outcome}; faults: {}\n{}\n",
        schedule.name,
        schedule.seed,
        faults.join(", "),
        summary_line(figures)
    );
    for violation in verdict.violations.iter().take(20) {
        let (at, faults) = (violation.at, violation.faults.join(", "));
        // Writing to a String cannot fail.
        let _ = writeln!(text, "  {:?} at {at:.3} s: {} [{faults}]", violation.rule, violation.what);
    }
    for late in &verdict.late {
        let _ = writeln!(text, "  late: {late}");
    }
    text
}
