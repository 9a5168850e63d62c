//! Prints the memory that the state of a process takes at the sizes of `docs/CAPACITY.md`: bytes allocated and not
//! freed, and the peak while the state is built.

#![forbid(unsafe_code)]

use testbed::capacity::memory::{ITEMS, Inputs};
use testbed::capacity::size::columns;
use testbed::capacity::{Row, table};

fn main() {
    let mut rows = Vec::new();
    for (name, build) in ITEMS {
        let measured = columns().map(|size| {
            let (inputs, mut item) = (Inputs::of(&size), None);
            let info = allocation_counter::measure(|| item = Some(build(&inputs)));
            drop(item);
            info
        });
        let row = |name: String, figures: Vec<f64>| Row { name, figures, runs: 0.0 };
        rows.push(row(name.to_owned(), measured.iter().map(|info| info.bytes_current as f64).collect()));
        let peak = measured.iter().map(|info| info.bytes_max as f64).collect();
        rows.push(row(format!("{name}, peak while built"), peak));
    }
    print!("{}", table("state, bytes in memory", &rows));
}
