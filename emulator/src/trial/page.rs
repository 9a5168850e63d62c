//! Timeline of a trial as an SVG plot ([`fault_injection::timeline`]), drawn from its history and verdict.

use crate::live::history::{Line, Seen};
use crate::trial::judge::{BUCKET_US, Verdict};
use crate::trial::schedule::Schedule;
use fault_injection::plot::PlotError;
use fault_injection::timeline::Timeline;
use std::collections::HashMap;

/// Draws the timeline of a trial: served share, faults and violations over time.
///
/// # Errors
/// When the plot cannot be drawn.
pub fn timeline(schedule: &Schedule, lines: &[Line], verdict: &Verdict) -> Result<String, PlotError> {
    let (mut begins, mut ends) = (HashMap::new(), HashMap::new());
    let mut last = 0;
    for line in lines {
        match line.seen {
            Seen::Begins { fault } => drop(begins.insert(fault, line.at)),
            Seen::Ends { fault } => drop(ends.insert(fault, line.at)),
            _ => {}
        }
        last = last.max(line.at);
    }
    let seconds = |at: u64| at as f64 / 1e6;
    let outcome = match (&verdict.void, verdict.broken) {
        (Some(void), _) => format!("no verdict: {void}"),
        (None, 0) => "no rule broken".into(),
        (None, broken) => format!("{broken} rules broken"),
    };
    let served_share = |(at, (offered, served)): (usize, &(f64, f64))| {
        (*offered > 0.0).then(|| (seconds(at as u64 * BUCKET_US) + 0.125, served / offered))
    };
    let fault_interval = |(number, fault): (usize, &super::schedule::Fault)| {
        let begin = begins.get(&number)?;
        let until = ends.get(&number).copied().unwrap_or(last);
        Some((seconds(*begin), seconds(until), fault.text.clone()))
    };
    let timeline = Timeline {
        title: format!("{} seed {}: {outcome}", schedule.name, schedule.seed),
        end: seconds(last),
        served_share: verdict.worth.iter().enumerate().filter_map(served_share).collect(),
        faults: schedule.faults.iter().enumerate().map(fault_interval).collect(),
        violations: verdict.breaks.iter().map(|b| b.at).collect(),
    };
    timeline.svg()
}
