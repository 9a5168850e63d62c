//! The figures of one trial, stored as a JSON line, and the comparison of two files with such lines. Worth is defined
//! at [`Verdict::worth`].

use super::schedule::Schedule;
use crate::history::{End, Event, Record};
use crate::judge::{BUCKET_US, Verdict};
use fault_injection::Estimate;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;

/// Figures of a trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Name of the trial.
    pub name: String,
    /// Seed of the trial.
    pub seed: u64,
    /// Reason why the trial has no verdict, if any.
    pub void: Option<String>,
    /// Number of rule violations.
    pub broken: u64,
    /// Share of the owed worth that was earned.
    pub worth: f64,
    /// Share of the owed worth that was earned while faults were active.
    pub troubled: Option<f64>,
    /// Shares of requests that were served, refused at the last attempt, and failed.
    pub ends: [f64; 3],
    /// Latency of served requests in ms: median and 99th percentile.
    pub took: [f64; 2],
    /// Per request: attempts of clients beyond the first, and arrivals at backends beyond the first.
    pub tries: [f64; 2],
    /// Seconds in which no control plane reported to be the leader.
    pub leaderless: f64,
}

impl Figures {
    /// Computes the figures of a trial whose load started at `load_start` on the history's clock.
    pub fn of(schedule: &Schedule, verdict: &Verdict, records: &[Record], load_start: u64) -> Self {
        let mut ends = [0.0; 3];
        let (mut requests, mut extra) = (0.0, [0.0; 2]);
        let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).ok();
        let mut arrivals: HashMap<u64, u32> = HashMap::new();
        let (mut leads, mut last, mut leaderless) = (BTreeMap::new(), load_start, 0);
        let mut troubled = vec![false; verdict.worth.len()];
        let mut active_faults: HashMap<usize, u64> = HashMap::new();
        let mark = |troubled: &mut Vec<bool>, from: u64, to: u64| {
            let (from, to) = ((from / BUCKET_US) as usize, (to / BUCKET_US) as usize + 1);
            let to = to.min(troubled.len());
            troubled.iter_mut().take(to).skip(from).for_each(|active_faults| *active_faults = true);
        };
        for Record { at, event } in records {
            match event {
                Event::Done { due, end, tries, .. } => {
                    requests += 1.0;
                    extra[0] += f64::from(tries.saturating_sub(1));
                    let end = match end {
                        End::Served => 0,
                        End::Refused => 1,
                        End::Failed(_) => 2,
                    };
                    ends[end] += 1.0;
                    if let Some(times) = times.as_mut().filter(|_| end == 0) {
                        times.saturating_record(at.saturating_sub(*due));
                    }
                }
                Event::Arrived { id: Some(id), .. } => {
                    let count = arrivals.entry(*id).or_default();
                    extra[1] += f64::from(*count > 0);
                    *count += 1;
                }
                Event::StatusReported { machine, leads: is_leader, .. } => {
                    leads.insert(*machine, (*is_leader, *at));
                    // A status older than one second does not count.
                    let fresh = |(is_leader, reported): &(bool, u64)| {
                        *is_leader && at.saturating_sub(*reported) < 1_000_000
                    };
                    if !leads.values().any(fresh) {
                        leaderless += at.saturating_sub(last);
                    }
                    last = *at;
                }
                Event::FaultBegan { fault, .. } => drop(active_faults.insert(*fault, *at)),
                Event::FaultEnded { fault } => {
                    if let Some(from) = active_faults.remove(fault) {
                        mark(&mut troubled, from, *at);
                    }
                }
                _ => {}
            }
        }
        let during = verdict
            .worth
            .iter()
            .zip(&troubled)
            .filter(|(_, active_faults)| **active_faults)
            .map(|(worth, _)| worth);
        let (owed, earned) = during.fold((0.0, 0.0), |sum, (owed, earned)| (sum.0 + owed, sum.1 + earned));
        let requests = f64::max(requests, 1.0);
        let at = |share| times.as_ref().map_or(0.0, |t| t.value_at_quantile(share) as f64 / 1000.0);
        Self {
            name: schedule.name.clone(),
            seed: schedule.seed,
            void: verdict.void.clone(),
            broken: verdict.total(),
            worth: verdict.earned(),
            troubled: (owed > 0.0).then(|| earned / owed),
            ends: ends.map(|count| count / requests),
            took: [at(0.5), at(0.99)],
            tries: extra.map(|count| count / requests),
            leaderless: leaderless as f64 / 1e6,
        }
    }

    /// All compared figures with their names. Worth and served are better when higher, all others when lower.
    fn named_figures(&self) -> [(&'static str, f64); 9] {
        let [served, refused, failed] = self.ends;
        [
            ("worth", self.worth),
            ("worth in faults", self.troubled.unwrap_or(self.worth)),
            ("served", served),
            ("refused", refused),
            ("failed", failed),
            ("p50 ms", self.took[0]),
            ("p99 ms", self.took[1]),
            ("repeated arrivals", self.tries[1]),
            ("leaderless s", self.leaderless),
        ]
    }
}

/// Compares two sets of figures in pairs of equal name and seed. Trials that occur in only one set, or that have no
/// verdict in one of them, are left out and counted.
pub fn compare(old: &[Figures], new: &[Figures]) -> String {
    let key = |figures: &Figures| (figures.name.clone(), figures.seed);
    let usable = |figures: &&Figures| figures.void.is_none();
    let by_key: HashMap<_, _> = old.iter().filter(usable).map(|figures| (key(figures), figures)).collect();
    let pairs: Vec<_> =
        new.iter().filter(usable).filter_map(|new| Some((*by_key.get(&key(new))?, new))).collect();
    let left_out = old.len() + new.len() - 2 * pairs.len();
    let mut text = format!("{} pairs, {left_out} left out\n", pairs.len());
    let (broken_old, broken_new) =
        pairs.iter().fold((0, 0), |sum, (old, new)| (sum.0 + old.broken, sum.1 + new.broken));
    // Writing to a String cannot fail.
    let _ = writeln!(text, "rules broken: {broken_old}, then {broken_new}");
    let mut names: Vec<&str> = pairs.iter().map(|(_, new)| &*new.name).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let of: Vec<_> = pairs.iter().filter(|(_, new)| new.name == name).collect();
        let _ = writeln!(text, "\n{name}: {} pairs", of.len());
        for (row, (figure, _)) in of[0].1.named_figures().into_iter().enumerate() {
            let changes: Vec<f64> =
                of.iter().map(|(old, new)| new.named_figures()[row].1 - old.named_figures()[row].1).collect();
            let mean = of.iter().map(|(old, _)| old.named_figures()[row].1).sum::<f64>() / of.len() as f64;
            let Estimate { mean: moved, half_width, .. } = Estimate::of(&changes);
            let within = half_width.map_or("-".to_owned(), |within| format!("{within:.3}"));
            let _ = writeln!(text, "  {figure:<18} {mean:>9.3}  moved {moved:>+9.3} +- {within}");
        }
        let worst = of.iter().map(|(old, new)| (new.worth - old.worth, new.seed));
        if let Some((moved, seed)) = worst.min_by(|a, b| a.0.total_cmp(&b.0)) {
            let _ = writeln!(text, "  worst seed {seed}: worth {moved:+.3}");
        }
    }
    text
}

/// Formats the figures of a trial as one line.
pub fn summary_line(figures: &Figures) -> String {
    let [served, refused, failed] = figures.ends.map(|share| share * 100.0);
    let troubled = figures.troubled.map_or("-".to_owned(), |share| format!("{share:.2}"));
    format!(
        "  worth {:.3} ({troubled} during faults), served {served:.1}%, refused {refused:.1}%, failed {failed:.1}%, \
         p50 {:.0} ms, p99 {:.0} ms, retries {:.3} by clients and {:.3} by gateways, {:.1} s without a leader",
        figures.worth,
        figures.took[0],
        figures.took[1],
        figures.tries[0],
        figures.tries[1],
        figures.leaderless
    )
}
