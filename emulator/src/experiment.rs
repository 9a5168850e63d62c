//! Experiments: days of scenarios and seeds, played side by side on all cores, and compared in pairs.

use crate::books::Books;
use crate::decider::{BASELINES, Library, Policy};
use crate::draw::Day;
use crate::judge::Rule;
use crate::results::{Head, Marks, Results, ResultsError, Row, Writer};
use crate::scenario::Scenario;
use crate::world::World;
pub use fault_injection::Estimate;
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// No day's floor lies further below its top: the bench's plays show the same distance on every day.
const FLOOR_BELOW_TOP: f64 = 0.45;

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenarios.
    pub scenarios: Vec<Arc<Scenario>>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Whether the baselines are played beside, for a score.
    pub score: bool,
    /// Whether the baselines' own rows are kept.
    pub baselines: bool,
}

/// Plays one day under one policy.
pub fn play(day: &Day, policy: &dyn Policy) -> Row {
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

/// What the baselines make of a day, and their rows.
pub fn marks(day: &Day) -> (Marks, Vec<Row>) {
    let rows: Vec<Row> = BASELINES.iter().map(|policy| play(day, policy)).collect();
    let of = |name: &str| rows.iter().find(|row| row.policy == name);
    let g = |name: &str| of(name).map_or(0.0, |row| row.books.g);
    let passed = of("all-in").is_some_and(|row| row.breaches.iter().any(|b| b.rule == Rule::Ceiling));
    let top = (g("sees-now") + g("sees-late").max(0.0)) / 2.0;
    let all_in = if passed { 0.0 } else { g("all-in").max(0.0) };
    let floor = all_in.max(top - FLOOR_BELOW_TOP);
    let late_share = of("sees-late").map_or(0.0, |row| row.books.whole.share());
    (Marks { floor, top, late_share }, rows)
}

/// Plays all days of a plan and gives each row, in the plan's order, to `take`, as soon as it and all before it
/// are done. `done` is told of each day when it ends, in any order.
///
/// # Errors
/// The first error that `take` gives; nothing is handed to it after that.
pub fn run<E: Send>(
    plan: &Plan, mut take: impl FnMut(Row) -> Result<(), E> + Send, done: impl Fn(&Row) + Sync,
) -> Result<(), E> {
    let days: Vec<(Arc<Scenario>, u64)> = plan
        .scenarios
        .iter()
        .flat_map(|scenario| plan.seeds.iter().map(|seed| (scenario.clone(), *seed)))
        .collect();
    // Rows wait here for those before them.
    let waiting: Mutex<(usize, BTreeMap<usize, Vec<Row>>)> = Mutex::default();
    let out = Mutex::new((&mut take, None));
    days.par_iter().enumerate().for_each(|(number, (scenario, seed))| {
        if out.lock().map_or(true, |out| out.1.is_some()) {
            return;
        }
        let day = Day::draw(scenario, *seed);
        let mut rows = vec![play(&day, &Library)];
        if plan.score || plan.baselines {
            let (marks, others) = marks(&day);
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

/// Plays a plan into a file.
///
/// # Errors
/// When the file cannot be written.
pub fn run_into(plan: &Plan, path: &Path, done: impl Fn(&Row) + Sync) -> Result<(), ResultsError> {
    let each = if plan.baselines { 1 + BASELINES.len() } else { 1 };
    let mut writer = Writer::new(path, &Head::of(plan.scenarios.len() * plan.seeds.len() * each))?;
    run(plan, |row| writer.row(&row), done)
}

/// How one scenario moved from the old results to the new.
#[derive(Clone, Debug, Serialize)]
pub struct Moved {
    /// The scenario; `all` for the mean of the scenarios.
    pub scenario: String,
    /// The difference of G, in pairs.
    pub g: Estimate,
    /// The old and the new mean.
    pub means: (f64, f64),
    /// The seed that lost most, and by how much.
    pub worst: (u64, f64),
    /// Causes and prices by the size of their mean move; points of G, above 0 where more is lost.
    pub causes: Vec<(String, Estimate)>,
    /// Broken rules, old and new.
    pub broken: (u64, u64),
}

/// All that a row's books hold as lost, by name.
fn entries(books: &Books) -> BTreeMap<String, f64> {
    let mut all: BTreeMap<String, f64> =
        books.losses.iter().map(|(cause, lost)| (named(cause), *lost)).collect();
    all.extend(books.prices.iter().map(|(price, lost)| (format!("price {}", named(price)), *lost)));
    all.insert("beyond the offer".into(), books.beyond_offer);
    all.insert("worst window".into(), books.uneven_time);
    all.insert("worst plan".into(), books.uneven_plans);
    all
}

/// Names a cause or price as results write it.
fn named(what: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(what).ok();
    value.as_ref().and_then(|value| value.as_str()).unwrap_or_default().to_string()
}

/// All losses of a day's books by name, largest first.
pub fn losses(books: &Books) -> Vec<(String, f64)> {
    let mut all: Vec<_> = entries(books).into_iter().collect();
    all.sort_by(|a, b| b.1.total_cmp(&a.1));
    all
}

/// Pairs days by scenario, digest, seed and policy, and says how they moved: one line for each scenario, then one
/// for all. Days that only one side has are counted.
pub fn compare(old: &Results, new: &Results) -> (Vec<Moved>, usize) {
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
    let mut moved: Vec<Moved> = pairs.iter().map(|(name, pairs)| of_pairs(name, pairs)).collect();
    if moved.len() > 1 {
        moved.push(of_pairs("all", &everything));
    }
    (moved, unpaired)
}

fn of_pairs(scenario: &str, pairs: &[(&Row, &Row)]) -> Moved {
    let moves: Vec<f64> = pairs.iter().map(|(old, new)| new.books.g - old.books.g).collect();
    let mean = |of: &dyn Fn(&(&Row, &Row)) -> f64| pairs.iter().map(of).sum::<f64>() / pairs.len() as f64;
    let worst = pairs.iter().zip(&moves).min_by(|a, b| a.1.total_cmp(b.1));
    let mut names: Vec<String> = pairs.iter().flat_map(|(_, new)| entries(&new.books).into_keys()).collect();
    names.extend(pairs.iter().flat_map(|(old, _)| entries(&old.books).into_keys()));
    names.sort();
    names.dedup();
    let figure = |row: &Row, name: &str| entries(&row.books).get(name).copied().unwrap_or(0.0);
    let mut causes: Vec<(String, Estimate)> = names
        .into_iter()
        .map(|name| {
            let moves: Vec<f64> =
                pairs.iter().map(|(old, new)| figure(new, &name) - figure(old, &name)).collect();
            (name, Estimate::of(&moves))
        })
        .collect();
    causes.sort_by(|a, b| b.1.mean.abs().total_cmp(&a.1.mean.abs()));
    Moved {
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
