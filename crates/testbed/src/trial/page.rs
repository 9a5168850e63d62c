//! One HTML page on a trial: faults and worth over time, latencies, further tries, who led, versions by node.

use super::schedule::Schedule;
use crate::history::{End, Event, Record};
use crate::judge::{BUCKET_US, RULES, Verdict};
use crate::site::VOTERS;
use fault_injection::plot::{PlotError, Series, escaped, lines as plotted};
use fault_injection::timeline::Timeline;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write as _;

/// Seconds since the load began.
fn seconds(at: u64, begun: u64) -> f64 {
    (at as f64 - begun as f64) / 1e6
}

/// The page.
///
/// # Errors
/// When a plot cannot be drawn.
pub fn page(
    schedule: &Schedule, lines: &[Record], verdict: &Verdict, begun: u64,
) -> Result<String, PlotError> {
    let told = match (&verdict.void, verdict.total()) {
        (Some(void), _) => format!("no verdict: {void}"),
        (None, 0) => "no rule broken".to_owned(),
        (None, broken) => format!("rules broken {broken} times"),
    };
    let title = format!("{} seed {}: {told}", schedule.name, schedule.seed);
    let mut html = format!(
        "<!doctype html><meta charset=utf-8><title>{0}</title>\
         <style>body{{font:14px sans-serif;margin:2em;max-width:1150px}}svg{{max-width:100%}}\
         td{{padding:0 1em 0 0}}</style><h1>{0}</h1>\n",
        escaped(&title)
    );
    html.push_str(&timeline(schedule, lines, verdict, begun, title).svg()?);
    html.push_str(&plotted("Time of those served", "ms", &latencies(lines, begun))?);
    html.push_str(&plotted("Further tries", "each second", &tries(lines, begun))?);
    let (leads, versions) = standing(lines, begun);
    html.push_str(&plotted("Who leads", "machine (0: nobody says so)", &leads)?);
    html.push_str(&plotted("Versions by control plane", "newest known", &versions)?);
    html.push_str("<h2>The judge</h2>\n<table>\n");
    for (rule, name) in RULES {
        let count = verdict.counts.get(&rule).copied().unwrap_or_default();
        // Writing to a text can't fail.
        let _ = writeln!(html, "<tr><td>{count}<td>{}", escaped(name));
    }
    html.push_str("</table>\n<ul>\n");
    for broken in &verdict.violations {
        let at = broken.at - begun as f64 / 1e6;
        let text = format!("{at:.3} s {:?}: {} [{}]", broken.rule, broken.what, broken.faults.join(", "));
        let _ = writeln!(html, "<li>{}", escaped(&text));
    }
    for late in &verdict.late {
        let _ = writeln!(html, "<li>late: {}", escaped(late));
    }
    html.push_str("</ul>\n");
    Ok(html)
}

fn timeline(schedule: &Schedule, lines: &[Record], verdict: &Verdict, begun: u64, title: String) -> Timeline {
    let (mut begins, mut ends) = (HashMap::new(), HashMap::new());
    for Record { at, event } in lines {
        match event {
            Event::FaultBegan { fault, .. } => drop(begins.insert(*fault, *at)),
            Event::FaultEnded { fault } => drop(ends.insert(*fault, *at)),
            _ => {}
        }
    }
    let last = lines.last().map_or(begun, |line| line.at);
    let fault = |(number, fault): (usize, &super::schedule::Fault)| {
        let begin = begins.get(&number)?;
        let until = ends.get(&number).copied().unwrap_or(last);
        Some((seconds(*begin, begun), seconds(until, begun), fault.text.clone()))
    };
    let share = |(at, (owed, earned)): (usize, &(f64, f64))| {
        (*owed > 0.0).then(|| (seconds(at as u64 * BUCKET_US + BUCKET_US / 2, begun).max(0.0), earned / owed))
    };
    Timeline {
        title,
        end: seconds(last, begun),
        worth: verdict.worth.iter().enumerate().filter_map(share).collect(),
        faults: schedule.faults.iter().enumerate().map(fault).collect(),
        breaks: verdict.violations.iter().map(|b| (b.at - begun as f64 / 1e6).max(0.0)).collect(),
    }
}

/// Medians and the worst of twenty of each second, by when requests were due.
fn latencies(lines: &[Record], begun: u64) -> Vec<Series> {
    let mut by_second: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for Record { at, event } in lines {
        if let Event::Done { due, end: End::Served, .. } = event {
            let took = at.saturating_sub(*due) as f64 / 1000.0;
            by_second.entry(due.saturating_sub(begun) / 1_000_000).or_default().push(took);
        }
    }
    by_second.values_mut().for_each(|times| times.sort_by(f64::total_cmp));
    let at = |share: f64| {
        let point = |(second, times): (&u64, &Vec<f64>)| {
            (*second as f64 + 0.5, times[((times.len() - 1) as f64 * share) as usize])
        };
        by_second.iter().map(point).collect()
    };
    vec![("median".to_owned(), at(0.5)), ("one in twenty".to_owned(), at(0.95))]
}

/// Each second's further tries of clients, and arrivals of one try beyond its first.
fn tries(lines: &[Record], begun: u64) -> Vec<Series> {
    let mut each: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    let mut seen_once = HashSet::new();
    for Record { at, event } in lines {
        let second = at.saturating_sub(begun) / 1_000_000;
        match event {
            Event::Done { tries, .. } => {
                each.entry(second).or_default().0 += f64::from(tries.saturating_sub(1));
            }
            Event::Arrived { id: Some(id), .. } if !seen_once.insert(*id) => {
                each.entry(second).or_default().1 += 1.0;
            }
            _ => {}
        }
    }
    let last = each.keys().max().copied().unwrap_or_default();
    let of = |pick: fn(&(f64, f64)) -> f64| {
        let point = |second| (second as f64 + 0.5, each.get(&second).map_or(0.0, pick));
        (0..=last).map(point).collect()
    };
    vec![("by clients".to_owned(), of(|both| both.0)), ("by gateways".to_owned(), of(|both| both.1))]
}

/// Who leads, as control planes say it, and which version each knows.
fn standing(lines: &[Record], begun: u64) -> (Vec<Series>, Vec<Series>) {
    let mut leads: Vec<Series> = Vec::new();
    let mut versions: Vec<Series> = Vec::new();
    for control_plane in 0..VOTERS {
        let of = lines.iter().filter_map(|line| match &line.event {
            Event::StatusReported { machine, leads, version } if *machine == control_plane => {
                Some((seconds(line.at, begun), *leads, *version))
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
