//! Several trials, some at once, and what they came to together.

use super::results::line;
use super::schedule::Schedule;
use super::{Figures, Options, Played, play};
use crate::fault::Fault;
use std::fmt::Write as _;
use std::thread;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// Threads of one trial, beside its own.
const WORKERS: usize = 2;

/// What several trials came to.
#[derive(Debug, Default)]
pub struct Sum {
    /// Figures of each, in the order in which they ended.
    pub figures: Vec<Figures>,
}

impl Sum {
    /// How often rules were broken, in trials with a verdict.
    pub fn broken(&self) -> u64 {
        self.figures.iter().filter(|figures| figures.void.is_none()).map(|figures| figures.broken).sum()
    }

    /// How many trials have no verdict.
    pub fn void(&self) -> usize {
        self.figures.iter().filter(|figures| figures.void.is_some()).count()
    }

    /// All of it in one line.
    pub fn text(&self) -> String {
        let mut worth: Vec<f64> = self.figures.iter().map(|figures| figures.worth).collect();
        worth.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let place = (worth.len().saturating_sub(1) as f64 * share) as usize;
            worth.get(place).copied().unwrap_or_default()
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

/// Threads of trials, which end with this: they take down their processes and folders first.
struct Threads {
    /// Whoever waits no longer for the trials drops this, and they end.
    wanted: Option<watch::Sender<()>>,
    all: Vec<thread::JoinHandle<()>>,
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.wanted = None;
        for thread in self.all.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Plays trials, so many at once; `tell` gets some lines on each as it ends.
///
/// # Errors
/// When one cannot be played: the others are given up.
pub async fn several(
    trials: Vec<Schedule>, options: &Options, side: usize, mut tell: impl FnMut(&str),
) -> Result<Sum, Fault> {
    let (ended, mut ends) = mpsc::unbounded_channel();
    let (wanted, every) = watch::channel(());
    let mut left = trials.into_iter();
    let mut sum = Sum::default();
    let begin = |schedule: Schedule| {
        let (options, ended, mut wanted) = (options.clone(), ended.clone(), every.clone());
        // A runtime of its own: with it go the trial's listeners, relays and all that waits on them; and a thread of
        // its own, since processes end with the thread that started them.
        thread::spawn(move || {
            let runtime = Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
            let played = match runtime {
                Ok(runtime) => LocalSet::new().block_on(&runtime, async {
                    tokio::select! {
                        played = play(schedule, &options) => played,
                        _ = wanted.changed() => Err(Fault::Ended("another trial's end")),
                    }
                }),
                Err(error) => Err(Fault::Socket { what: "the runtime", error }),
            };
            let _ = ended.send(played);
        })
    };
    let all: Vec<_> = left.by_ref().take(side.max(1)).map(begin).collect();
    let mut threads = Threads { wanted: Some(wanted), all };
    let mut running = threads.all.len();
    while running > 0 {
        let Some(played) = ends.recv().await else { break };
        running -= 1;
        let played = played?;
        tell(&lines(&played));
        sum.figures.push(played.figures);
        threads.all.retain(|thread| !thread.is_finished());
        if let Some(next) = left.next() {
            threads.all.push(begin(next));
            running += 1;
        }
    }
    Ok(sum)
}

/// One trial in a few lines: the verdict, its figures, and each break.
pub fn lines(played: &Played) -> String {
    let Played { schedule, verdict, figures } = played;
    let faults: Vec<_> =
        schedule.faults.iter().map(|f| format!("{:.1}+{:.1} {}", f.at, f.lasts, f.text)).collect();
    let told = match (&verdict.void, verdict.total()) {
        (Some(void), _) => format!("no verdict ({void})"),
        (None, 0) => "ok".to_owned(),
        (None, broken) => format!("rules broken {broken} times"),
    };
    let mut text = format!(
        "{} {}: {told}; faults: {}\n{}\n",
        schedule.name,
        schedule.seed,
        faults.join(", "),
        line(figures)
    );
    for broken in verdict.violations.iter().take(20) {
        let (at, faults) = (broken.at, broken.faults.join(", "));
        // Writing to a text can't fail.
        let _ = writeln!(text, "  {:?} at {at:.3} s: {} [{faults}]", broken.rule, broken.what);
    }
    for late in &verdict.late {
        let _ = writeln!(text, "  late: {late}");
    }
    text
}
