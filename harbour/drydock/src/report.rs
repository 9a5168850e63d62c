//! What is printed.

use crate::ledger::{Faults, Use};
use crate::load::Tally;
use crate::plan::{KINDS, TENANTS};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

/// Lines about faults that are printed.
const MOST_LINES: usize = 12;

/// Prints what happens, with its time.
#[derive(Clone, Copy)]
pub struct Teller(Instant);

impl Teller {
    /// Time starts now.
    pub fn new() -> Self {
        Self(Instant::now())
    }

    /// Something happened.
    pub fn say(&self, what: impl std::fmt::Display) {
        println!("{:6.1} s  {what}", self.0.elapsed().as_secs_f64());
    }
}

/// What the processes of one kind spent.
pub struct Spent {
    /// Their name.
    pub name: &'static str,
    /// How many they are.
    pub count: usize,
    /// Processor time.
    pub time: Duration,
}

/// The tables at the end.
pub fn tables(tallies: &[Tally], spent: &[Spent], uses: &[Use]) -> String {
    let mut text = String::new();
    // Writing to a text can't fail.
    let _ = writeln!(
        text,
        "\n{:<10} {:<9} {:>7} {:>7} {:>7} {:>8} {:>7} {:>8} {:>8}",
        "kind", "may run", "asked", "served", "in aim", "refused", "failed", "p50 ms", "p99 ms"
    );
    for (kind, tally) in KINDS.iter().zip(tallies) {
        let variant = if kind.pure { "pure" } else { "effectful" };
        let at = |quantile| tally.times.value_at_quantile(quantile) as f64 / 1000.0;
        let _ = writeln!(
            text,
            "{:<10} {variant:<9} {:>7} {:>7} {:>7} {:>8} {:>7} {:>8.1} {:>8.1}",
            kind.label,
            tally.asked,
            tally.served,
            tally.in_aim,
            tally.refused,
            tally.failed,
            at(0.5),
            at(0.99)
        );
    }
    let asked: u64 = tallies.iter().map(|tally| tally.asked).sum();
    let _ = writeln!(text, "\nprocessor time, {asked} requests:");
    for Spent { name, count, time } in spent {
        let each = time.as_secs_f64() * 1e6 / asked.max(1) as f64;
        let _ = writeln!(text, "{name:<16} x{count} {:>8.2} s {each:>7.0} us a request", time.as_secs_f64());
    }
    let _ = writeln!(
        text,
        "\n{:<12} {:>7} {:>7} {:>8} {:>16} {:>8}",
        "tenant", "asked", "ran", "rate/s", "most in 5 s", "allowed"
    );
    for (tenant, used) in TENANTS.iter().zip(uses) {
        let _ = writeln!(
            text,
            "{:<12} {:>7} {:>7} {:>8} {:>16} {:>8}",
            tenant.label, used.asked, used.ran, tenant.rate, used.peak, used.bound
        );
    }
    text
}

/// The judge's lines.
pub fn judgement(faults: &Faults, lines: &[String], ended: &[String]) -> String {
    let mut text = String::from("\nmust be 0:\n");
    for (count, name) in faults.lines() {
        let _ = writeln!(text, "{count:>6}  {name}");
    }
    let _ = writeln!(text, "{:>6}  processes that ended by themselves", ended.len());
    for line in lines.iter().chain(ended).take(MOST_LINES) {
        let _ = writeln!(text, "        {line}");
    }
    if lines.len() > MOST_LINES {
        let _ = writeln!(text, "        and {} more", lines.len() - MOST_LINES);
    }
    text
}
