//! The timeline of a trial: faults and service side by side, as one SVG.

use crate::live::history::{Line, Seen};
use crate::trial::judge::{BUCKET, Verdict};
use crate::trial::schedule::Schedule;
use plotters::prelude::*;
use std::collections::HashMap;

/// Width, and the heights of the plot of service and of a fault's row.
const WIDTH: u32 = 1100;
const SERVICE: u32 = 320;
const ROW: u32 = 26;
/// How many letters of a fault's name are shown.
const NAME: usize = 60;

/// What may go wrong while it is drawn.
pub type DrawError = Box<dyn std::error::Error + Send + Sync>;

/// Draws it.
///
/// # Errors
/// When the plot cannot be made.
pub fn timeline(schedule: &Schedule, lines: &[Line], verdict: &Verdict) -> Result<String, DrawError> {
    let mut svg = String::new();
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
    let end = seconds(last).max(1.0);
    let rows = schedule.faults.len().max(1);
    {
        let height = SERVICE + ROW * rows as u32 + 60;
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        let failed = |error: &dyn std::fmt::Display| -> DrawError { error.to_string().into() };
        area.fill(&WHITE).map_err(|e| failed(&e))?;
        let verdict_text = match (&verdict.void, verdict.broken) {
            (Some(void), _) => format!("no verdict: {void}"),
            (None, 0) => "no rule broken".into(),
            (None, broken) => format!("{broken} rules broken"),
        };
        let title = format!("{} seed {}: {verdict_text}", schedule.name, schedule.seed);
        let (upper, lower) = area.split_vertically(SERVICE);
        let mut chart = ChartBuilder::on(&upper)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(24)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..end, 0.0..1.05)
            .map_err(|e| failed(&e))?;
        chart.configure_mesh().y_desc("served share of worth").x_labels(20).draw().map_err(|e| failed(&e))?;
        for (number, begin) in &begins {
            let until = ends.get(number).copied().unwrap_or(last);
            let shade =
                Rectangle::new([(seconds(*begin), 0.0), (seconds(until), 1.05)], RED.mix(0.07).filled());
            chart.draw_series([shade]).map_err(|e| failed(&e))?;
        }
        let share = |(at, (offered, served)): (usize, &(f64, f64))| {
            (*offered > 0.0).then(|| (seconds(at as u64 * BUCKET) + 0.125, served / offered))
        };
        let points: Vec<_> = verdict.worth.iter().enumerate().filter_map(share).collect();
        chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2))).map_err(|e| failed(&e))?;
        let broken = verdict.breaks.iter().map(|b| Cross::new((b.at, 1.02), 5, RED.stroke_width(2)));
        chart.draw_series(broken).map_err(|e| failed(&e))?;
        let mut bars = ChartBuilder::on(&lower)
            .margin(10)
            .x_label_area_size(24)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..end, 0.0..rows as f64)
            .map_err(|e| failed(&e))?;
        bars.configure_mesh()
            .disable_y_mesh()
            .y_labels(0)
            .x_labels(20)
            .label_style(("sans-serif", 11))
            .axis_desc_style(("sans-serif", 12))
            .x_desc("seconds")
            .draw()
            .map_err(|e| failed(&e))?;
        for (number, fault) in schedule.faults.iter().enumerate() {
            let Some(begin) = begins.get(&number) else { continue };
            let until = ends.get(&number).copied().unwrap_or(last);
            let top = (rows - number) as f64;
            // A fault of a moment is seen too.
            let until = seconds(until).max(seconds(*begin) + end / 200.0);
            let bar =
                Rectangle::new([(seconds(*begin), top - 0.85), (until, top - 0.15)], RED.mix(0.5).filled());
            bars.draw_series([bar]).map_err(|e| failed(&e))?;
            let name: String = fault.text.chars().take(NAME).collect();
            let place = if until > end * 0.6 { 0.01 * end } else { until + 0.005 * end };
            let text = Text::new(name, (place, top - 0.25), ("sans-serif", 13).into_font());
            bars.draw_series([text]).map_err(|e| failed(&e))?;
        }
        area.present().map_err(|e| failed(&e))?;
    }
    Ok(svg)
}
