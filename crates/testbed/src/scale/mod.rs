//! Scale measurements: real control planes and a few real data planes among hollow ones, at several sizes. A linear fit
//! over some sizes is checked at a size that was left out of the fit. A size is a number of data planes. Hollow data
//! planes produce the control traffic of real ones, but serve no requests ([`hollow`]).

pub mod hollow;
pub mod report;
pub mod run;

use crate::capacity::fit::line;
use crate::capacity::short;
use run::{Outcome, ROLES};
use std::fmt::Write as _;

/// Maximum relative error of the fit at the checked size.
const MAX_ERROR: f64 = 1.0 / 3.0;

/// One quantity at each size.
#[derive(Clone, Debug, PartialEq)]
pub struct Quantity {
    /// Name of the quantity.
    pub name: String,
    /// Numbers of gateways with the measured figures that the fit uses.
    pub fitted: Vec<(f64, f64)>,
    /// The number of gateways that is left out of the fit, with its figure.
    pub check: Option<(f64, f64)>,
}

impl Quantity {
    /// Relative error of the fit at the size left out.
    pub fn relative_error(&self) -> Option<f64> {
        let (x, measured) = self.check?;
        let line = line(&self.fitted)?;
        (measured > 0.0).then(|| (line.at(x) - measured).abs() / measured)
    }
}

/// All quantities of the outcomes; `check` is the number of gateways that is left out of the fit.
pub fn quantities(outcomes: &[Outcome], check: Option<usize>) -> Vec<Quantity> {
    let Some(first) = outcomes.first() else { return Vec::new() };
    let names: Vec<String> = figures(first).into_iter().map(|(name, _)| name).collect();
    let all: Vec<_> = outcomes.iter().map(|outcome| (outcome.gateways, figures(outcome))).collect();
    let quantity = |name: String| {
        let figure_at = |(gateways, figures): &(usize, Vec<(String, f64)>)| {
            let found = figures.iter().find(|(other, _)| *other == name).map_or(0.0, |(_, figure)| *figure);
            (*gateways as f64, found)
        };
        let fitted = all.iter().filter(|(gateways, _)| Some(*gateways) != check).map(figure_at).collect();
        let check = all.iter().find(|(gateways, _)| Some(*gateways) == check).map(figure_at);
        Quantity { name, fitted, check }
    };
    names.into_iter().map(quantity).collect()
}

/// The figures of one outcome with their names.
fn figures(outcome: &Outcome) -> Vec<(String, f64)> {
    let mut all = Vec::new();
    for (role, figures) in ROLES.iter().zip(&outcome.roles) {
        all.push((format!("{role}: processor, % of a core"), figures.processor * 100.0));
        all.push((format!("{role}: memory, MB"), figures.memory / 1e6));
        all.push((format!("{role}: descriptors"), figures.descriptors));
        all.push((format!("{role}: messages received per second"), figures.messages));
    }
    let each = outcome.seconds.max(1e-9) * outcome.gateways.max(1) as f64;
    for kind in ["heartbeat", "backends that changed", "all backends", "lease request", "grant"] {
        let traffic = outcome.report.traffic.get(kind).copied().unwrap_or_default();
        all.push((format!("a gateway: {kind}, messages per second"), traffic.messages as f64 / each));
        all.push((format!("a gateway: {kind}, bytes per second"), traffic.bytes as f64 / each));
    }
    all.push(("lease request: p50 latency at most, ms".to_owned(), outcome.report.wait_ms(0.5)));
    all.push(("lease request: p99 latency at most, ms".to_owned(), outcome.report.wait_ms(0.99)));
    all.push((
        "a gateway: unanswered lease requests per second".to_owned(),
        outcome.report.unanswered as f64 / each,
    ));
    all.push(("change: slowest acknowledgement, s".to_owned(), maximum(&outcome.acknowledged)));
    all.push(("change: slowest arrival at the last gateway, s".to_owned(), maximum(&outcome.reached_all)));
    all.push(("change: acknowledged".to_owned(), outcome.acknowledged.len() as f64));
    all.push(("change: reached all gateways".to_owned(), outcome.reached_all.len() as f64));
    all
}

fn maximum(figures: &[f64]) -> f64 {
    figures.iter().copied().fold(0.0, f64::max)
}

/// Formats all quantities as a table.
pub fn table(quantities: &[Quantity]) -> String {
    let Some(first) = quantities.first() else { return String::new() };
    let mut text = "\n| quantity |".to_owned();
    for (gateways, _) in &first.fitted {
        let _ = write!(text, " {gateways} |");
    }
    let _ = write!(text, " a + b x gateways | off by |");
    if let Some((gateways, _)) = first.check {
        let _ = write!(text, " {gateways}, left out | by the line | |");
    }
    let columns = first.fitted.len() + 2 + if first.check.is_some() { 3 } else { 0 };
    let _ = writeln!(text, "\n| --- |{}", " --- |".repeat(columns));
    quantities.iter().for_each(|quantity| row(&mut text, quantity));
    text
}

fn row(text: &mut String, quantity: &Quantity) {
    let _ = write!(text, "| {} |", quantity.name);
    for (_, figure) in &quantity.fitted {
        let _ = write!(text, " {} |", short(*figure));
    }
    let line = line(&quantity.fitted);
    let _ = match line {
        Some(line) => {
            write!(text, " {} + {} x | {:.0}% |", short(line.base), short(line.slope), line.spread * 100.0)
        }
        None => write!(text, " | |"),
    };
    if let Some((x, measured)) = quantity.check {
        let predicted = line.map_or(String::new(), |line| short(line.at(x)));
        let verdict = match quantity.relative_error() {
            Some(relative_error) if relative_error <= MAX_ERROR => {
                format!("within ({:.0}%)", relative_error * 100.0)
            }
            Some(relative_error) => format!("OFF by {:.0}%", relative_error * 100.0),
            None => String::new(),
        };
        let _ = write!(text, " {} | {predicted} | {verdict} |", short(measured));
    }
    text.push('\n');
}
