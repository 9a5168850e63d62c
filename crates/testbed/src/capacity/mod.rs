//! What state, messages and steps cost at the sizes that the system is designed for: the tables of `docs/CAPACITY.md`.

pub mod costs;
pub mod fit;
pub mod memory;
pub mod messages;
pub mod samples;
pub mod size;
pub mod timing;

use crate::report::print;
use fit::line;
use size::{GATEWAYS, Size, columns};
use std::fmt::Write as _;
use std::path::Path;

/// One row of a table: a figure at each size.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What it is a figure of.
    pub name: String,
    /// The figures, in the order of the columns.
    pub figures: Vec<f64>,
    /// The widest range of runs that a figure comes from, as a share of it; 0 for counts.
    pub runs: f64,
}

/// A table with one column a size and the line through its figures over the number of gateways.
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

/// A figure with three digits that count.
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

fn message_rows() -> Vec<Row> {
    let all = columns().map(|size| messages::lengths(&size));
    let row = |place: usize| Row {
        name: all[0][place].kind.to_owned(),
        figures: all.iter().map(|lengths| lengths[place].bytes as f64).collect(),
        runs: 0.0,
    };
    (0..all[0].len()).map(row).collect()
}

fn cost_rows() -> Vec<Row> {
    let all = columns().map(|size| costs::costs(&size));
    let row = |place: usize| {
        let spreads = all.iter().map(|costs| costs[place].cost);
        let range =
            |spread: timing::Spread| (spread.greatest - spread.least) / spread.median.max(f64::MIN_POSITIVE);
        Row {
            name: all[0][place].step.to_owned(),
            figures: spreads.clone().map(|spread| spread.median).collect(),
            runs: spreads.map(range).fold(0.0, f64::max),
        }
    };
    (0..all[0].len()).map(row).collect()
}

fn memory_rows(program: &Path) -> Vec<Row> {
    let row = |(_, name, title): &(memory::Item, &str, &str)| {
        let figures =
            columns().map(|size| memory::grown_apart(program, name, &size).unwrap_or_default() as f64);
        Row { name: (*title).to_owned(), figures: figures.to_vec(), runs: 0.0 }
    };
    memory::ITEMS.iter().map(row).collect()
}

/// Measures and prints all tables. `program` is this program's own file.
pub fn tables(program: &Path) {
    print(table("message, bytes on the wire", &message_rows()));
    print(table("state, bytes in memory", &memory_rows(program)));
    print(table("step, µs of processor time", &cost_rows()));
}

/// Prints by how many bytes an item makes this process grow.
pub fn item(item: memory::Item, gateways: usize) {
    print(format_args!("{}\n", memory::grown(item, &Size::of(gateways))));
}
