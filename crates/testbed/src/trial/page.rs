//! The HTML page of a trial: faults and worth ([`Verdict::worth`]) over time, latencies, retries, leaders, and
//! configuration versions by control plane.

use super::schedule::Schedule;
use crate::history::{End, Event, Record};
use crate::judge::{BUCKET_US, RULES, Verdict};
use crate::site::VOTERS;
use fault_injection::plot::{PlotError, Series, escape_xml, line_chart as plot};
use fault_injection::timeline::Timeline;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write as _;

/// Seconds since the start of the load.
fn seconds(at: u64, load_start: u64) -> f64 {
    (at as f64 - load_start as f64) / 1e6
}

/// Renders the page.
///
/// # Errors
/// Returns an error when a plot cannot be drawn.
pub fn page(
    schedule: &Schedule, records: &[Record], verdict: &Verdict, load_start: u64,
) -> Result<String, PlotError> {
    let outcome = match (&verdict.void, verdict.total()) {
        (Some(void), _) => format!("no verdict: {void}"),
        (None, 0) => "no rule broken".to_owned(),
        (None, count) => format!("rules broken {count} times"),
    };
    let title = format!("{} seed {}: {outcome}", schedule.name, schedule.seed);
    let mut html = format!(
        "<!doctype html><meta charset=utf-8><title>{0}</title>\
         <style>body{{font:14px sans-serif;margin:2em;max-width:1150px}}svg{{max-width:100%}}\
         td{{padding:0 1em 0 0}}</style><h1>{0}</h1>\n",
        escape_xml(&title)
    );
    html.push_str(&timeline(schedule, records, verdict, load_start, title).svg()?);
    html.push_str(&plot("Latency of served requests", "ms", &latencies(records, load_start))?);
    html.push_str(&plot("Retries", "per second", &retries(records, load_start))?);
    let (leads, versions) = leaders_and_versions(records, load_start);
    html.push_str(&plot("Leader", "machine (0: none reported)", &leads)?);
    html.push_str(&plot("Versions by control plane", "newest known version", &versions)?);
    html.push_str("<h2>The judge</h2>\n<table>\n");
    for (rule, name) in RULES {
        let count = verdict.counts.get(&rule).copied().unwrap_or_default();
        // Writing to a String cannot fail.
        let _ = writeln!(html, "<tr><td>{count}<td>{}", escape_xml(name));
    }
    html.push_str("</table>\n<ul>\n");
    for violation in &verdict.violations {
        let at = violation.at - load_start as f64 / 1e6;
        let text =
            format!("{at:.3} s {:?}: {} [{}]", violation.rule, violation.what, violation.faults.join(", "));
        let _ = writeln!(html, "<li>{}", escape_xml(&text));
    }
    for late in &verdict.late {
        let _ = writeln!(html, "<li>late: {}", escape_xml(late));
    }
    html.push_str("</ul>\n");
    Ok(html)
}

fn timeline(
    schedule: &Schedule, records: &[Record], verdict: &Verdict, load_start: u64, title: String,
) -> Timeline {
    let (mut begins, mut ends) = (HashMap::new(), HashMap::new());
    for Record { at, event } in records {
        match event {
            Event::FaultBegan { fault, .. } => drop(begins.insert(*fault, *at)),
            Event::FaultEnded { fault } => drop(ends.insert(*fault, *at)),
            _ => {}
        }
    }
    let last = records.last().map_or(load_start, |line| line.at);
    let fault = |(number, fault): (usize, &super::schedule::Fault)| {
        let begin = begins.get(&number)?;
        let until = ends.get(&number).copied().unwrap_or(last);
        Some((seconds(*begin, load_start), seconds(until, load_start), fault.text.clone()))
    };
    let share = |(at, (owed, earned)): (usize, &(f64, f64))| {
        (*owed > 0.0)
            .then(|| (seconds(at as u64 * BUCKET_US + BUCKET_US / 2, load_start).max(0.0), earned / owed))
    };
    Timeline {
        title,
        end: seconds(last, load_start),
        served_share: verdict.worth.iter().enumerate().filter_map(share).collect(),
        faults: schedule.faults.iter().enumerate().map(fault).collect(),
        violations: verdict
            .violations
            .iter()
            .map(|violation| (violation.at - load_start as f64 / 1e6).max(0.0))
            .collect(),
    }
}

/// Median and 95th percentile latency of each second, by the time at which requests were due.
fn latencies(records: &[Record], load_start: u64) -> Vec<Series> {
    let mut by_second: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for Record { at, event } in records {
        if let Event::Done { due, end: End::Served, .. } = event {
            let took = at.saturating_sub(*due) as f64 / 1000.0;
            by_second.entry(due.saturating_sub(load_start) / 1_000_000).or_default().push(took);
        }
    }
    by_second.values_mut().for_each(|times| times.sort_by(f64::total_cmp));
    let at = |share: f64| {
        let point = |(second, times): (&u64, &Vec<f64>)| {
            (*second as f64 + 0.5, times[((times.len() - 1) as f64 * share) as usize])
        };
        by_second.iter().map(point).collect()
    };
    vec![("median".to_owned(), at(0.5)), ("p95".to_owned(), at(0.95))]
}

/// Per second: retries by clients, and further arrivals at backends of attempts that had arrived at a backend before,
/// which are retries by data planes.
fn retries(records: &[Record], load_start: u64) -> Vec<Series> {
    let mut per_second: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    let mut seen_once = HashSet::new();
    for Record { at, event } in records {
        let second = at.saturating_sub(load_start) / 1_000_000;
        match event {
            Event::Done { tries, .. } => {
                per_second.entry(second).or_default().0 += f64::from(tries.saturating_sub(1));
            }
            Event::Arrived { id: Some(id), .. } if !seen_once.insert(*id) => {
                per_second.entry(second).or_default().1 += 1.0;
            }
            _ => {}
        }
    }
    let last = per_second.keys().max().copied().unwrap_or_default();
    let of = |pick: fn(&(f64, f64)) -> f64| {
        let point = |second| (second as f64 + 0.5, per_second.get(&second).map_or(0.0, pick));
        (0..=last).map(point).collect()
    };
    vec![("by clients".to_owned(), of(|both| both.0)), ("by gateways".to_owned(), of(|both| both.1))]
}

/// Which control planes report to be the leader, and the newest version that each knows.
fn leaders_and_versions(records: &[Record], load_start: u64) -> (Vec<Series>, Vec<Series>) {
    let mut leads: Vec<Series> = Vec::new();
    let mut versions: Vec<Series> = Vec::new();
    for control_plane in 0..VOTERS {
        let of = records.iter().filter_map(|line| match &line.event {
            Event::StatusReported { machine, leads, version } if *machine == control_plane => {
                Some((seconds(line.at, load_start), *leads, *version))
            }
            _ => None,
        });
        let of: Vec<_> = of.collect();
        let name = format!("machine {}", control_plane + 1);
        let height = |leads: bool| if leads { (control_plane + 1) as f64 } else { 0.0 };
        leads.push((name.clone(), of.iter().map(|(at, leads, _)| (*at, height(*leads))).collect()));
        versions.push((name, of.iter().map(|(at, _, version)| (*at, *version as f64)).collect()));
    }
    (leads, versions)
}
