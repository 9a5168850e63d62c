//! Experiments: days of scenarios and seeds, simulated in parallel on all cores, and paired comparisons of results. A
//! pair is the same scenario, seed and policy in the old and in the new results. G is the result of a day.

use crate::books::Books;
use crate::decider::{BASELINES, Library, Policy};
use crate::draw::Day;
use crate::judge::Rule;
use crate::results::{Head, Results, ResultsError, Row, ScoreRange, Writer};
use crate::scenario::Scenario;
use crate::world::World;
pub use fault_injection::Estimate;
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Maximum distance in G between the floor and the top of a day's score ([`ScoreRange`]). The runs of the benchmark
/// show this distance on every day.
const MAX_FLOOR_DISTANCE: f64 = 0.45;

/// The days to simulate.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenarios.
    pub scenarios: Vec<Arc<Scenario>>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Whether the baselines are simulated as well, to compute a score.
    pub score: bool,
    /// Whether the rows of the baselines are kept.
    pub baselines: bool,
}

/// Simulates one day under one policy.
pub fn run_day(day: &Day, policy: &dyn Policy) -> Row {
    let record = World::new(day, policy).run();
    let books = Books::close(day, &record);
    let looks = record.samples.iter().map(|sample| {
        (sample.at as f64 / 1e6, sample.held, sample.waiting, sample.gateways, sample.backends, sample.calls)
    });
    Row {
        scenario: day.scenario.clone(),
        digest: day.digest.clone(),
        seed: day.seed,
        policy: policy.name().into(),
        size: (day.gateways.len(), day.backends.len()),
        score: None,
        marks: None,
        looks: looks.collect(),
        books,
        broken: record.judge.count,
        breaches: record.judge.breaches,
    }
}

/// Simulates a day under the baselines. Returns the score's floor and top, and the rows.
pub fn score_range(day: &Day) -> (ScoreRange, Vec<Row>) {
    let rows: Vec<Row> = BASELINES.iter().map(|policy| run_day(day, policy)).collect();
    let of = |name: &str| rows.iter().find(|row| row.policy == name);
    let g = |name: &str| of(name).map_or(0.0, |row| row.books.g);
    let passed = of("all-in").is_some_and(|row| row.breaches.iter().any(|b| b.rule == Rule::Ceiling));
    let top = (g("sees-now") + g("sees-late").max(0.0)) / 2.0;
    let all_in = if passed { 0.0 } else { g("all-in").max(0.0) };
    let floor = all_in.max(top - MAX_FLOOR_DISTANCE);
    let late_share = of("sees-late").map_or(0.0, |row| row.books.whole.share());
    (ScoreRange { floor, top, late_share }, rows)
}

/// Simulates all days of a plan and passes each row to `take` in the plan's order, as soon as the row and all rows
/// before it are complete. `done` is called when a day ends, in any order.
///
/// # Errors
/// Returns the first error of `take`, which is not called again after that.
pub fn run<E: Send>(
    plan: &Plan, mut take: impl FnMut(Row) -> Result<(), E> + Send, done: impl Fn(&Row) + Sync,
) -> Result<(), E> {
    let days: Vec<(Arc<Scenario>, u64)> = plan
        .scenarios
        .iter()
        .flat_map(|scenario| plan.seeds.iter().map(|seed| (scenario.clone(), *seed)))
        .collect();
    // Completed rows wait here until all rows before them are complete.
    let waiting: Mutex<(usize, BTreeMap<usize, Vec<Row>>)> = Mutex::default();
    let out = Mutex::new((&mut take, None));
    days.par_iter().enumerate().for_each(|(number, (scenario, seed))| {
        if out.lock().map_or(true, |out| out.1.is_some()) {
            return;
        }
        let day = Day::draw(scenario, *seed);
        let mut rows = vec![run_day(&day, &Library)];
        if plan.score || plan.baselines {
            let (marks, others) = score_range(&day);
            let range = (marks.top - marks.floor).max(0.1);
            let clean = rows[0].broken == 0;
            rows[0].score = Some(if clean { (rows[0].books.g - marks.floor) / range } else { 0.0 });
            rows[0].marks = Some(marks);
            if plan.baselines {
                rows.extend(others);
            }
        }
        done(&rows[0]);
        let (Ok(mut waiting), Ok(mut out)) = (waiting.lock(), out.lock()) else { return };
        waiting.1.insert(number, rows);
        while let Some(rows) = {
            let next = waiting.0;
            waiting.1.remove(&next)
        } {
            waiting.0 += 1;
            for row in rows {
                if out.1.is_none() {
                    out.1 = (out.0)(row).err();
                }
            }
        }
    });
    out.into_inner().ok().and_then(|out| out.1).map_or(Ok(()), Err)
}

/// Simulates a plan and writes the results to a file.
///
/// # Errors
/// When the file cannot be written.
pub fn run_into(plan: &Plan, path: &Path, done: impl Fn(&Row) + Sync) -> Result<(), ResultsError> {
    let rows_per_day = if plan.baselines { 1 + BASELINES.len() } else { 1 };
    let mut writer = Writer::new(path, &Head::of(plan.scenarios.len() * plan.seeds.len() * rows_per_day))?;
    run(plan, |row| writer.write_row(&row), done)
}

/// The change of one scenario from the old to the new results.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// The scenario; `all` for the mean over the scenarios.
    pub scenario: String,
    /// The paired difference of G.
    pub g: Estimate,
    /// The old and the new mean of G.
    pub means: (f64, f64),
    /// The seed with the largest loss, and the change of its G.
    pub worst: (u64, f64),
    /// Changes by cause and price, ordered by size, in points of G; positive if more is lost.
    pub causes: Vec<(String, Estimate)>,
    /// The number of breaches, old and new.
    pub broken: (u64, u64),
}

/// All losses in a row's books, by name.
fn all_losses(books: &Books) -> BTreeMap<String, f64> {
    let mut all: BTreeMap<String, f64> =
        books.losses.iter().map(|(cause, lost)| (serialized_name(cause), *lost)).collect();
    all.extend(books.prices.iter().map(|(price, lost)| (format!("price {}", serialized_name(price)), *lost)));
    all.insert("beyond the offer".into(), books.beyond_offer);
    all.insert("worst window".into(), books.uneven_time);
    all.insert("worst plan".into(), books.uneven_plans);
    all
}

/// The name of a cause or price as written in results.
fn serialized_name(what: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(what).ok();
    value.as_ref().and_then(|value| value.as_str()).unwrap_or_default().to_string()
}

/// All losses of a day's books by name, largest first.
pub fn losses(books: &Books) -> Vec<(String, f64)> {
    let mut all: Vec<_> = all_losses(books).into_iter().collect();
    all.sort_by(|a, b| b.1.total_cmp(&a.1));
    all
}

/// Pairs days by scenario, digest, seed and policy. Returns one change per scenario, then one for all scenarios,
/// and the number of days that are in one of the files only.
pub fn compare(old: &Results, new: &Results) -> (Vec<Change>, usize) {
    let key = |row: &Row| (row.scenario.clone(), row.digest.clone(), row.seed, row.policy.clone());
    let by_key: BTreeMap<_, &Row> = old.rows.iter().map(|row| (key(row), row)).collect();
    let mut pairs: BTreeMap<String, Vec<(&Row, &Row)>> = BTreeMap::new();
    let mut paired = 0;
    for row in &new.rows {
        if let Some(before) = by_key.get(&key(row)) {
            paired += 1;
            pairs.entry(row.scenario.clone()).or_default().push((before, row));
        }
    }
    let unpaired = old.rows.len() + new.rows.len() - 2 * paired;
    let everything: Vec<(&Row, &Row)> = pairs.values().flatten().copied().collect();
    let mut moved: Vec<Change> = pairs.iter().map(|(name, pairs)| compare_pairs(name, pairs)).collect();
    if moved.len() > 1 {
        moved.push(compare_pairs("all", &everything));
    }
    (moved, unpaired)
}

fn compare_pairs(scenario: &str, pairs: &[(&Row, &Row)]) -> Change {
    let moves: Vec<f64> = pairs.iter().map(|(old, new)| new.books.g - old.books.g).collect();
    let mean = |of: &dyn Fn(&(&Row, &Row)) -> f64| pairs.iter().map(of).sum::<f64>() / pairs.len() as f64;
    let worst = pairs.iter().zip(&moves).min_by(|a, b| a.1.total_cmp(b.1));
    let mut names: Vec<String> =
        pairs.iter().flat_map(|(_, new)| all_losses(&new.books).into_keys()).collect();
    names.extend(pairs.iter().flat_map(|(old, _)| all_losses(&old.books).into_keys()));
    names.sort();
    names.dedup();
    let figure = |row: &Row, name: &str| all_losses(&row.books).get(name).copied().unwrap_or(0.0);
    let mut causes: Vec<(String, Estimate)> = names
        .into_iter()
        .map(|name| {
            let moves: Vec<f64> =
                pairs.iter().map(|(old, new)| figure(new, &name) - figure(old, &name)).collect();
            (name, Estimate::of(&moves))
        })
        .collect();
    causes.sort_by(|a, b| b.1.mean.abs().total_cmp(&a.1.mean.abs()));
    Change {
        scenario: scenario.into(),
        g: Estimate::of(&moves),
        means: (mean(&|(old, _)| old.books.g), mean(&|(_, new)| new.books.g)),
        worst: worst.map_or((0, 0.0), |((_, new), moved)| (new.seed, *moved)),
        causes,
        broken: (
            pairs.iter().map(|(old, _)| old.broken).sum(),
            pairs.iter().map(|(_, new)| new.broken).sum(),
        ),
    }
}
