//! The HTML page about a result file, with plots as inline SVG: worth over time, refusals, counter calls, requests
//! held by backends, the loss waterfall, and older results for comparison if given.

use crate::books::Worth;
use crate::experiment::{Estimate, losses};
use crate::results::{Results, Row};
use fault_injection::plot::{COLOURS, PlotError, SIZE, bar_chart, escape_xml, line_chart, render_svg};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Plots the steps from 1 down to G: one step per loss, largest first, with all losses below 0.004 combined.
fn waterfall(title: &str, books: &[(String, f64)], g: f64) -> Result<String, PlotError> {
    let mut steps: Vec<(String, f64)> =
        books.iter().filter(|(_, lost)| lost.abs() >= 0.004).cloned().collect();
    let small: f64 = books.iter().filter(|(_, lost)| lost.abs() < 0.004).map(|(_, lost)| lost).sum();
    steps.push(("all smaller".into(), small));
    let rows = steps.len() as i32 + 1;
    let size = (SIZE.0, 70 + 22 * rows as u32);
    let mut lowest: f64 = g.min(0.0);
    let mut level = 1.0;
    for (_, lost) in &steps {
        level -= lost;
        lowest = lowest.min(level);
    }
    render_svg(
        |area| {
            area.draw(&Text::new(title.to_string(), (12, 10), ("sans-serif", 17)))?;
            let x = |share: f64| 190 + ((share - lowest) / (1.0 - lowest).max(1e-9) * 430.0) as i32;
            let mut level = 1.0;
            for (row, (name, lost)) in steps.iter().enumerate() {
                let y = 40 + 22 * row as i32;
                let next = level - lost;
                let colour = if *lost >= 0.0 { COLOURS[1] } else { COLOURS[2] };
                area.draw(&Text::new(name.clone(), (12, y + 2), ("sans-serif", 13)))?;
                area.draw(&Rectangle::new([(x(level), y), (x(next), y + 16)], colour.filled()))?;
                let figure = format!("{:+.3}", -lost);
                area.draw(&Text::new(figure, (x(level.max(next)) + 6, y + 2), ("sans-serif", 12)))?;
                level = next;
            }
            let y = 40 + 22 * (rows - 1);
            area.draw(&Text::new("G", (12, y + 2), ("sans-serif", 13)))?;
            area.draw(&Rectangle::new([(x(0.0f64.max(lowest)), y), (x(g), y + 16)], COLOURS[0].filled()))?;
            area.draw(&Text::new(format!("{g:.3}"), (x(g) + 6, y + 2), ("sans-serif", 12)))?;
            Ok(())
        },
        size,
    )
}

fn mean(rows: &[&Row], of: impl Fn(&Row) -> f64) -> f64 {
    rows.iter().map(|row| of(row)).sum::<f64>() / rows.len().max(1) as f64
}

/// A metric of each second, as the mean over the days.
fn by_second(rows: &[&Row], of: impl Fn(&crate::books::Second) -> f64) -> Vec<(f64, f64)> {
    // The last second of a day is incomplete.
    let count = rows.iter().map(|row| row.books.seconds.len().saturating_sub(1)).max().unwrap_or(0);
    (0..count)
        .map(|second| {
            let figures = rows.iter().filter_map(|row| row.books.seconds.get(second)).map(&of);
            let all: Vec<f64> = figures.collect();
            (second as f64, all.iter().sum::<f64>() / all.len().max(1) as f64)
        })
        .collect()
}

type Sample = (f64, usize, usize, usize, usize, u64);

fn by_sample(rows: &[&Row], of: impl Fn(&Sample, Option<&Sample>) -> f64) -> Vec<(f64, f64)> {
    let count = rows.iter().map(|row| row.looks.len()).min().unwrap_or(0);
    (0..count)
        .map(|at| {
            let figure = |row: &&Row| of(&row.looks[at], at.checked_sub(1).map(|before| &row.looks[before]));
            (rows[0].looks[at].0, rows.iter().map(figure).sum::<f64>() / rows.len() as f64)
        })
        .collect()
}

fn worth_bars(
    title: &str, sides: &[(&str, &[&Row])], of: impl Fn(&Row) -> &BTreeMap<String, Worth>,
) -> Result<String, PlotError> {
    let Some(first) = sides.first().and_then(|(_, rows)| rows.first()) else { return Ok(String::new()) };
    let names: Vec<String> = of(first).keys().cloned().collect();
    let series: Vec<(String, Vec<f64>)> = sides
        .iter()
        .map(|(side, rows)| {
            let share = |name: &String| mean(rows, |row| of(row).get(name).map_or(0.0, Worth::share));
            (side.to_string(), names.iter().map(share).collect())
        })
        .collect();
    bar_chart(title, "share earned", &names, &series)
}

/// Renders the page about results, next to older results if given.
///
/// # Errors
/// When a plot cannot be drawn.
pub fn page(new: &Results, old: Option<&Results>) -> Result<String, PlotError> {
    let mut html = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>fennelscale-lab</title><style>\
         body{font:15px/1.45 sans-serif;margin:2em auto;max-width:1500px;color:#222}\
         table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}\
         td:first-child,th:first-child{text-align:left}.plots{display:flex;flex-wrap:wrap;gap:14px}\
         .plots svg{border:1px solid #e4e4e4}.bad{color:#b00020}</style><h1>The fleet in simulated time</h1>",
    );
    let mut versions = vec![("new", new)];
    versions.extend(old.map(|old| ("old", old)));
    for (side, results) in &versions {
        let head = &results.head;
        writeln!(
            html,
            "<p>{side}: commit {}, decisions {}",
            escape_xml(&head.commit),
            escape_xml(&head.decisions)
        )?;
        if results.missing() > 0 {
            writeln!(
                html,
                "<span class=\"bad\">{} of {} days are missing</span>",
                results.missing(),
                head.days
            )?;
        }
    }
    let mut names: Vec<&str> = Vec::new();
    for row in new.rows.iter().filter(|row| row.policy == "module") {
        if !names.contains(&row.scenario.as_str()) {
            names.push(&row.scenario);
        }
    }
    html.push_str("<table><tr><th>scenario<th>days<th>G<th>95%<th>served<th>refused<th>with room<th>beyond quota<th>calls a try<th>rules broken");
    if old.is_some() {
        html.push_str("<th>old G");
    }
    for name in &names {
        let rows = rows_of(new, name);
        let g: Vec<f64> = rows.iter().map(|row| row.books.g).collect();
        let estimate = Estimate::of(&g);
        let within = estimate.half_width.map_or("-".into(), |within| format!("± {within:.3}"));
        let broken: u64 = rows.iter().map(|row| row.broken).sum();
        let figure = |of: &dyn Fn(&Row) -> f64| format!("<td>{:.3}", mean(&rows, of));
        write!(
            html,
            "<tr><td><a href=\"#{0}\">{0}</a><td>{1}<td>{2:.3}<td>{within}",
            escape_xml(name),
            rows.len(),
            estimate.mean
        )?;
        html.push_str(&figure(&|row| row.books.whole.share()));
        html.push_str(&figure(&|row| row.books.figures.refused));
        html.push_str(&figure(&|row| row.books.figures.refused_with_room));
        html.push_str(&figure(&|row| row.books.figures.beyond));
        html.push_str(&figure(&|row| row.books.figures.calls));
        write!(html, "<td{}>{broken}", if broken > 0 { " class=\"bad\"" } else { "" })?;
        if let Some(old) = old {
            let rows = rows_of(old, name);
            let g =
                if rows.is_empty() { "-".into() } else { format!("{:.3}", mean(&rows, |row| row.books.g)) };
            write!(html, "<td>{g}")?;
        }
    }
    html.push_str("</table>");
    for name in &names {
        section(&mut html, name, new, old)?;
    }
    html.push_str("</html>\n");
    Ok(html)
}

fn rows_of<'a>(results: &'a Results, scenario: &str) -> Vec<&'a Row> {
    results.rows.iter().filter(|row| row.scenario == scenario && row.policy == "module").collect()
}

fn section(html: &mut String, name: &str, new: &Results, old: Option<&Results>) -> Result<(), PlotError> {
    let rows = rows_of(new, name);
    let old_rows = old.map(|old| rows_of(old, name)).filter(|rows| !rows.is_empty());
    let mut sides: Vec<(&str, &[&Row])> = vec![("new", &rows)];
    if let Some(old_rows) = &old_rows {
        sides.push(("old", old_rows));
    }
    writeln!(html, "<h2 id=\"{0}\">{0}</h2><div class=\"plots\">", escape_xml(name))?;
    let mut worth = vec![("offered".to_string(), by_second(&rows, |s| s.part.offered))];
    worth.extend(
        sides.iter().map(|(side, rows)| (format!("earned, {side}"), by_second(rows, |s| s.part.earned))),
    );
    html.push_str(&line_chart("Worth by the second of its first try", "worth", &worth)?);
    let tries = [
        ("tries".to_string(), by_second(&rows, |s| f64::from(s.tries))),
        ("refused".to_string(), by_second(&rows, |s| f64::from(s.refused))),
        (
            "counter calls".to_string(),
            by_sample(&rows, |sample, before| (sample.5 - before.map_or(0, |before| before.5)) as f64 * 2.0),
        ),
    ];
    html.push_str(&line_chart("Tries, refusals and counter calls", "a second", &tries)?);
    let held = [
        ("held by all backends".to_string(), by_sample(&rows, |sample, _| sample.1 as f64)),
        ("of these waiting".to_string(), by_sample(&rows, |sample, _| sample.2 as f64)),
        ("backends that serve".to_string(), by_sample(&rows, |sample, _| sample.4 as f64)),
        ("gateways that run".to_string(), by_sample(&rows, |sample, _| sample.3 as f64)),
    ];
    html.push_str(&line_chart("Requests out at backends, and machines", "number", &held)?);
    let mut triggers: Vec<String> = rows.iter().flat_map(|row| row.books.refusals.keys().cloned()).collect();
    triggers.sort();
    triggers.dedup();
    let refusals: Vec<(String, Vec<f64>)> = sides
        .iter()
        .map(|(side, rows)| {
            let count = |trigger: &String| {
                mean(rows, |row| row.books.refusals.get(trigger).copied().unwrap_or(0) as f64)
            };
            (side.to_string(), triggers.iter().map(count).collect())
        })
        .collect();
    html.push_str(&bar_chart(
        "Refusals by what the gateway was told just before",
        "tries a day",
        &triggers,
        &refusals,
    )?);
    html.push_str(&worth_bars("By plan, inside the quotas", &sides, |row| &row.books.plans)?);
    html.push_str(&worth_bars("By class", &sides, |row| &row.books.classes)?);
    html.push_str(&worth_bars("By the gateway's zone", &sides, |row| &row.books.zones)?);
    for (side, rows) in &sides {
        let mut lost: BTreeMap<String, f64> = BTreeMap::new();
        for row in *rows {
            for (name, points) in losses(&row.books) {
                *lost.entry(name).or_default() += points / rows.len() as f64;
            }
        }
        let mut lost: Vec<(String, f64)> = lost.into_iter().collect();
        lost.sort_by(|a, b| b.1.total_cmp(&a.1));
        let g = mean(rows, |row| row.books.g);
        html.push_str(&waterfall(&format!("What was lost, from 1 to G ({side})"), &lost, g)?);
    }
    html.push_str("</div>");
    Ok(())
}
