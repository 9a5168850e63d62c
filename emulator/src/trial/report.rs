//! Several trials, and what they came to together.

use super::judge::Verdict;
use super::schedule::Schedule;
use super::{Options, TrialError, play};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use tokio::runtime::Builder;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Threads of one trial.
const WORKERS: usize = 3;

/// Served worth while a fault held, and seconds until service was back (none: never).
type Through = (Option<f64>, Option<f64>);

/// What several trials came to.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    /// Trials played.
    pub trials: usize,
    /// Rules broken, in trials with a verdict.
    pub broken: u64,
    /// Trials without a verdict.
    pub void: usize,
    through: BTreeMap<String, Vec<Through>>,
    /// Seconds in which nobody did a duty, each time that it passed on.
    passed: Vec<f64>,
    nearest: f64,
    beyond: (u64, u64),
    held: (u64, u64),
}

/// Plays trials, so many at once; `tell` gets some lines on each as it ends.
///
/// # Errors
/// When one cannot be played: the others are given up.
pub async fn several(
    trials: &[Schedule], options: &Options, side: usize, mut tell: impl FnMut(&str),
) -> Result<Sum, TrialError> {
    let (mut sum, places) = (Sum::default(), Arc::new(Semaphore::new(side.max(1))));
    let mut all = JoinSet::new();
    // Whoever waits no longer for the trials drops this, and they end.
    let (_wanted, wanted) = watch::channel(());
    for schedule in trials {
        let (schedule, options, places) = (schedule.clone(), options.clone(), places.clone());
        let mut wanted = wanted.clone();
        all.spawn(async move {
            let _place = places.acquire_owned().await;
            // On a runtime of its own: with it go the trial's listeners, relays and all that waits on them.
            let played = tokio::task::spawn_blocking(move || {
                let runtime = Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build()?;
                runtime.block_on(async {
                    tokio::select! {
                        verdict = play(&schedule, &options) => verdict.map(|verdict| (schedule, verdict)),
                        _ = wanted.changed() => Err("given up".into()),
                    }
                })
            });
            played.await?
        });
    }
    while let Some(played) = all.join_next().await {
        let (schedule, verdict) = played??;
        tell(&lines(&schedule, &verdict));
        sum.add(&verdict);
    }
    Ok(sum)
}

/// One trial in a few lines: a verdict, its figures, and each break.
pub fn lines(schedule: &Schedule, verdict: &Verdict) -> String {
    let mut text = String::new();
    let faults: Vec<String> = schedule
        .faults
        .iter()
        .map(|fault| format!("{:.1}+{:.1} {}", fault.at, fault.lasts, fault.text))
        .collect();
    let told = match (&verdict.void, verdict.broken) {
        (Some(void), _) => format!("no verdict ({void})"),
        (None, 0) => "ok".into(),
        (None, broken) => format!("{broken} rules broken"),
    };
    let _ = writeln!(text, "{} {}: {told}; faults: {}", schedule.name, schedule.seed, faults.join(", "));
    for (name, [all, served, timely, refused, failed, excused]) in &verdict.classes {
        let _ = writeln!(
            text,
            "  {name}: {all} sent, {served} served ({timely} in time), {refused} refused, {failed} failed, {excused} lost to faults"
        );
    }
    for broke in &verdict.breaks {
        let request = broke.request.as_ref().map_or(String::new(), |id| format!(", request {id}"));
        let _ = writeln!(
            text,
            "  {:?} at {:.3} s by {}{request}: {} [{}]",
            broke.rule,
            broke.at,
            broke.parties.join("+"),
            broke.what,
            broke.faults.join(", ")
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

/// A quantile of what stands in order.
fn at(of: &[f64], share: f64) -> String {
    let place = (of.len() as f64 * share).ceil().max(1.0) as usize - 1;
    of.get(place.min(of.len().saturating_sub(1))).map_or("-".into(), |value| format!("{value:.2}"))
}

impl Sum {
    fn add(&mut self, verdict: &Verdict) {
        self.trials += 1;
        if verdict.void.is_some() {
            self.void += 1;
            return;
        }
        self.broken += verdict.broken;
        self.nearest = self.nearest.max(verdict.nearest_to_ceiling);
        self.beyond = (self.beyond.0 + verdict.beyond.0, self.beyond.1 + verdict.beyond.1);
        self.held = (self.held.0.max(verdict.most_held.0), self.held.1.max(verdict.most_held.1));
        self.passed.extend(verdict.passed.iter().map(|passed| passed.gap));
        for through in &verdict.through {
            let kind = through.fault.split(' ').next().unwrap_or_default().to_owned();
            self.through.entry(kind).or_default().push((through.during, through.back_after));
        }
    }

    /// All of it as text.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{} trials: {} rules broken, {} without a verdict; ceilings to {:.2} of the rule, {} of {} tries beyond quotas, at most {} descriptors and {} kB\n",
            self.trials,
            self.broken,
            self.void,
            self.nearest,
            self.beyond.0,
            self.beyond.1,
            self.held.0,
            self.held.1
        );
        if !self.passed.is_empty() {
            let mut gaps = self.passed.clone();
            gaps.sort_by(f64::total_cmp);
            let _ = writeln!(
                text,
                "duties passed on {} times, not done for {} s (p50), {} s (p90), {} s at most",
                gaps.len(),
                at(&gaps, 0.5),
                at(&gaps, 0.9),
                at(&gaps, 1.0)
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
                at(&during, 0.5),
                at(&during, 0.0),
                at(&back, 0.5),
                at(&back, 0.9),
                at(&back, 1.0),
                all.len() - back.len()
            );
        }
        text
    }
}
