//! Runs several trials and summarizes their results. A takeover is the change of a duty (a named role that at most one
//! gateway performs at a time) to a new fencing token.

use super::judge::Verdict;
use super::schedule::Schedule;
use super::{Options, TrialError, play};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use tokio::runtime::Builder;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Worker threads of the runtime of one trial.
const WORKER_THREADS: usize = 3;

/// Relative served worth during a fault, and seconds until service recovered (`None`: never).
type ServiceLevel = (Option<f64>, Option<f64>);

/// Summary of several trials.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of trials.
    pub trials: usize,
    /// Number of rule violations in trials with a verdict.
    pub broken: u64,
    /// Number of void trials, which have no verdict.
    pub void: usize,
    through: BTreeMap<String, Vec<ServiceLevel>>,
    /// For each takeover of a duty, the seconds during which no gateway performed the duty.
    passed: Vec<f64>,
    max_ceiling_use: f64,
    beyond: (u64, u64),
    max_held: (u64, u64),
}

/// Runs trials, at most `concurrency` of them concurrently. Calls `report_trial` with a report on each trial as it
/// ends.
///
/// # Errors
/// When a trial cannot run; the remaining trials are aborted.
pub async fn run_all(
    trials: &[Schedule], options: &Options, concurrency: usize, mut report_trial: impl FnMut(&str),
) -> Result<Summary, TrialError> {
    let (mut sum, permits) = (Summary::default(), Arc::new(Semaphore::new(concurrency.max(1))));
    let mut all = JoinSet::new();
    // When the caller drops this future, the sender is dropped and the running trials abort.
    let (_caller_alive, caller_alive) = watch::channel(());
    for schedule in trials {
        let (schedule, options, permits) = (schedule.clone(), options.clone(), permits.clone());
        let mut caller_alive = caller_alive.clone();
        all.spawn(async move {
            let _permit = permits.acquire_owned().await;
            // Each trial has its own runtime: dropping the runtime closes the trial's listeners, relays and their
            // tasks.
            let played = tokio::task::spawn_blocking(move || {
                let runtime =
                    Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build()?;
                runtime.block_on(async {
                    tokio::select! {
                        verdict = play(&schedule, &options) => verdict.map(|verdict| (schedule, verdict)),
                        _ = caller_alive.changed() => Err("trial aborted".into()),
                    }
                })
            });
            played.await?
        });
    }
    while let Some(played) = all.join_next().await {
        let (schedule, verdict) = played??;
        report_trial(&format_trial(&schedule, &verdict));
        sum.add(&verdict);
    }
    Ok(sum)
}

/// Formats the result of one trial: verdict, request counts, violations, takeovers and service levels.
pub fn format_trial(schedule: &Schedule, verdict: &Verdict) -> String {
    let mut text = String::new();
    let faults: Vec<String> = schedule
        .faults
        .iter()
        .map(|fault| format!("{:.1}+{:.1} {}", fault.at, fault.duration, fault.text))
        .collect();
    let outcome = match (&verdict.void, verdict.broken) {
        (Some(void), _) => format!("no verdict ({void})"),
        (None, 0) => "ok".into(),
        (None, broken) => format!("{broken} rules broken"),
    };
    let _ = writeln!(text, "{} {}: {outcome}; faults: {}", schedule.name, schedule.seed, faults.join(", "));
    for (name, [all, served, timely, refused, failed, excused]) in &verdict.classes {
        let _ = writeln!(
            text,
            "  {name}: {all} sent, {served} served ({timely} in time), {refused} refused, {failed} failed, {excused} lost to faults"
        );
    }
    for violation in &verdict.breaks {
        let request = violation.request.as_ref().map_or(String::new(), |id| format!(", request {id}"));
        let _ = writeln!(
            text,
            "  {:?} at {:.3} s by {}{request}: {} [{}]",
            violation.rule,
            violation.at,
            violation.parties.join("+"),
            violation.what,
            violation.faults.join(", ")
        );
    }
    for passed in &verdict.passed {
        let _ = writeln!(
            text,
            "  {} passed from g{} to g{} at {:.2} s, not done for {:.2} s",
            passed.duty, passed.from, passed.to, passed.at, passed.gap
        );
    }
    for through in &verdict.through {
        let part = |value: Option<f64>, unit: &str| value.map_or("-".into(), |v| format!("{v:.2}{unit}"));
        let _ = writeln!(
            text,
            "  {}: served {} of before, back after {}",
            through.fault,
            part(through.during, ""),
            part(through.back_after, " s")
        );
    }
    text
}

/// Formats a quantile of sorted values, or `-` if there are none.
fn quantile(of: &[f64], share: f64) -> String {
    let index = (of.len() as f64 * share).ceil().max(1.0) as usize - 1;
    of.get(index.min(of.len().saturating_sub(1))).map_or("-".into(), |value| format!("{value:.2}"))
}

impl Summary {
    fn add(&mut self, verdict: &Verdict) {
        self.trials += 1;
        if verdict.void.is_some() {
            self.void += 1;
            return;
        }
        self.broken += verdict.broken;
        self.max_ceiling_use = self.max_ceiling_use.max(verdict.nearest_to_ceiling);
        self.beyond = (self.beyond.0 + verdict.beyond.0, self.beyond.1 + verdict.beyond.1);
        self.max_held = (self.max_held.0.max(verdict.most_held.0), self.max_held.1.max(verdict.most_held.1));
        self.passed.extend(verdict.passed.iter().map(|passed| passed.gap));
        for through in &verdict.through {
            let kind = through.fault.split(' ').next().unwrap_or_default().to_owned();
            self.through.entry(kind).or_default().push((through.during, through.back_after));
        }
    }

    /// Formats the summary as text.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{} trials: {} rules broken, {} without a verdict; ceilings to {:.2} of the rule, {} of {} tries beyond quotas, at most {} descriptors and {} kB\n",
            self.trials,
            self.broken,
            self.void,
            self.max_ceiling_use,
            self.beyond.0,
            self.beyond.1,
            self.max_held.0,
            self.max_held.1
        );
        if !self.passed.is_empty() {
            let mut gaps = self.passed.clone();
            gaps.sort_by(f64::total_cmp);
            let _ = writeln!(
                text,
                "duties passed on {} times, not done for {} s (p50), {} s (p90), {} s at most",
                gaps.len(),
                quantile(&gaps, 0.5),
                quantile(&gaps, 0.9),
                quantile(&gaps, 1.0)
            );
        }
        if !self.through.is_empty() {
            let _ = writeln!(
                text,
                "{:12}{:>7} | {:>8}{:>8} | {:>8}{:>8}{:>8}{:>7}",
                "fault", "number", "served", "worst", "back p50", "p90", "most", "never"
            );
        }
        for (kind, all) in &self.through {
            let mut during: Vec<f64> = all.iter().filter_map(|(during, _)| *during).collect();
            let mut back: Vec<f64> = all.iter().filter_map(|(_, back)| *back).collect();
            during.sort_by(f64::total_cmp);
            back.sort_by(f64::total_cmp);
            let _ = writeln!(
                text,
                "{kind:12}{:>7} | {:>8}{:>8} | {:>8}{:>8}{:>8}{:>7}",
                all.len(),
                quantile(&during, 0.5),
                quantile(&during, 0.0),
                quantile(&back, 0.5),
                quantile(&back, 0.9),
                quantile(&back, 1.0),
                all.len() - back.len()
            );
        }
        text
    }
}
