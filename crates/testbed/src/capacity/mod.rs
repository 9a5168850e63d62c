//! Costs of state, messages and steps at the sizes that the system is designed for: the tables of `docs/CAPACITY.md`.

pub mod costs;
pub mod fit;
pub mod memory;
pub mod messages;
pub mod model;
pub mod samples;
pub mod size;
pub mod timing;

use crate::report::print;
use costs::StepCost;
use fit::line;
use messages::{MessageLength, lengths};
use model::{Flow, Role};
use size::{GATEWAYS, Size, columns};
use std::fmt::Write as _;

/// One row of a table, with a figure for each size.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name of the figures.
    pub name: String,
    /// The figures, in the order of the columns.
    pub figures: Vec<f64>,
    /// Widest range of the runs behind a figure, relative to the figure; 0 for counts.
    pub runs: f64,
}

/// Formats a table with one column per size and the linear fit over the number of gateways.
pub fn table(title: &str, rows: &[Row]) -> String {
    let mut text = format!("\n| {title} |");
    for gateways in GATEWAYS {
        let _ = write!(text, " {gateways} |");
    }
    let _ = writeln!(text, " a + b x gateways | off by | runs |");
    let _ = writeln!(text, "| --- |{}", " --- |".repeat(GATEWAYS.len() + 3));
    for row in rows {
        let _ = write!(text, "| {} |", row.name);
        for figure in &row.figures {
            let _ = write!(text, " {} |", short(*figure));
        }
        let points: Vec<_> = GATEWAYS.iter().map(|x| *x as f64).zip(row.figures.iter().copied()).collect();
        let _ = match line(&points) {
            Some(line) => {
                write!(
                    text,
                    " {} + {} x | {:.0}% |",
                    short(line.base),
                    short(line.slope),
                    line.spread * 100.0
                )
            }
            None => write!(text, " | |"),
        };
        let _ = writeln!(
            text,
            " {} |",
            if row.runs > 0.0 { format!("{:.0}%", row.runs * 100.0) } else { String::new() }
        );
    }
    text
}

/// Formats a figure with about three significant digits.
pub fn short(figure: f64) -> String {
    match figure.abs() {
        0.0 => "0".to_owned(),
        size if size >= 1e6 => format!("{:.3} M", figure / 1e6),
        size if size >= 1e4 => format!("{:.1} k", figure / 1e3),
        size if size >= 100.0 => format!("{figure:.0}"),
        size if size >= 1.0 => format!("{figure:.1}"),
        _ => format!("{figure:.4}"),
    }
}

/// Measurements at each size.
struct Measured {
    sizes: [Size; GATEWAYS.len()],
    lengths: [Vec<MessageLength>; GATEWAYS.len()],
    costs: [Vec<StepCost>; GATEWAYS.len()],
}

impl Measured {
    fn now() -> Self {
        let sizes = columns();
        Self {
            sizes,
            lengths: sizes.map(|size| lengths(&size)),
            costs: sizes.map(|size| costs::costs(&size)),
        }
    }

    fn message_rows(&self) -> Vec<Row> {
        let row = |index: usize| Row {
            name: self.lengths[0][index].kind.to_owned(),
            figures: self.lengths.iter().map(|lengths| lengths[index].bytes as f64).collect(),
            runs: 0.0,
        };
        (0..self.lengths[0].len()).map(row).collect()
    }

    fn cost_rows(&self) -> Vec<Row> {
        let row = |index: usize| {
            let spreads = self.costs.iter().map(|costs| costs[index].cost);
            Row {
                name: self.costs[0][index].step.to_owned(),
                figures: spreads.clone().map(|spread| spread.median).collect(),
                runs: spreads.map(|spread| spread.range()).fold(0.0, f64::max),
            }
        };
        (0..self.costs[0].len()).map(row).collect()
    }

    /// Bytes per second of a role by kind of message, and their sum.
    fn byte_rows(&self, role: Role) -> Vec<Row> {
        let flows = self.sizes.map(|size| model::messages(role, &size, size.keeps_previous_body()));
        let figure = |at: usize, index: usize| model::bytes_per_s(&flows[at][index], &self.lengths[at]);
        rows_of(&flows, figure)
    }

    /// Processor use of a role by step in percent of a core, and the sum.
    fn processor_rows(&self, role: Role) -> Vec<Row> {
        let flows = self.sizes.map(|size| model::steps(role, &size, size.keeps_previous_body()));
        let figure = |at: usize, index: usize| model::core_share(&flows[at][index], &self.costs[at]) * 100.0;
        rows_of(&flows, figure)
    }
}

/// One row per flow, named after the largest size and its rate there, and a row with the sums.
fn rows_of(flows: &[Vec<Flow>; GATEWAYS.len()], figure: impl Fn(usize, usize) -> f64) -> Vec<Row> {
    let largest = &flows[GATEWAYS.len() - 1];
    let figures = |index: usize| (0..GATEWAYS.len()).map(|at| figure(at, index)).collect();
    let mut rows: Vec<_> = (0..largest.len())
        .map(|index| {
            let name = format!("{} ({} per second)", largest[index].name, short(largest[index].per_s));
            Row { name, figures: figures(index), runs: 0.0 }
        })
        .collect();
    let sum = |at: usize| rows.iter().map(|row: &Row| row.figures[at]).sum();
    let sums = (0..GATEWAYS.len()).map(sum).collect();
    rows.push(Row { name: "**all**".to_owned(), figures: sums, runs: 0.0 });
    rows
}

/// Measures and prints all tables except that of memory, which `examples/state_memory.rs` prints.
pub fn tables() {
    let measured = Measured::now();
    print(table("message, bytes on the wire", &measured.message_rows()));
    print(table("step, µs of processor time", &measured.cost_rows()));
    for (role, name) in model::ROLES {
        print(table(
            &format!("{name}: messages, bytes per second (rates at the plan)"),
            &measured.byte_rows(role),
        ));
        print(table(
            &format!("{name}: steps, % of a core (rates at the plan)"),
            &measured.processor_rows(role),
        ));
    }
}
