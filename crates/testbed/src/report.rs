//! Printed output.

use crate::judge::{QuotaUse, RULES, Verdict};
use crate::load::Tallies;
use crate::plan::{KINDS, TENANTS};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::time::{Duration, Instant};

/// Maximum number of printed violations and delays.
const MAX_LINES: usize = 12;

/// 99th percentile of the testbed's own delay, above which latencies are not reliable.
const MAX_OWN_DELAY_MS: f64 = 20.0;

/// Prints to standard output. Write errors are ignored: the reader may have closed the pipe, as `head` does.
pub fn print(text: impl std::fmt::Display) {
    let mut out = std::io::stdout().lock();
    let _ = write!(out, "{text}").and_then(|()| out.flush());
}

/// Prints progress messages with the elapsed time.
#[derive(Clone, Copy)]
pub struct Progress(Instant);

impl Default for Progress {
    /// Starts the clock.
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Progress {
    /// Prints a message.
    pub fn report(&self, what: impl std::fmt::Display) {
        print(format_args!("{:6.1} s  {what}\n", self.0.elapsed().as_secs_f64()));
    }
}

/// Processor time of the processes of one role.
pub struct CpuUse {
    /// Name of the role.
    pub name: &'static str,
    /// Number of processes.
    pub count: usize,
    /// Total processor time.
    pub time: Duration,
}

/// The tables printed at the end of a demo.
pub fn tables(tallies: &Tallies, spent: &[CpuUse], uses: &[QuotaUse]) -> String {
    let kinds = tallies.kinds();
    let mut text = String::new();
    // Writing to a String cannot fail.
    let _ = writeln!(
        text,
        "\n{:<10} {:<9} {:>7} {:>7} {:>7} {:>8} {:>7} {:>8} {:>8}",
        "kind", "variant", "total", "served", "in goal", "refused", "failed", "p50 ms", "p99 ms"
    );
    for (kind, tally) in KINDS.iter().zip(&kinds) {
        let variant = if kind.pure { "pure" } else { "effectful" };
        let at = |quantile| tally.times.value_at_quantile(quantile) as f64 / 1000.0;
        let _ = writeln!(
            text,
            "{:<10} {variant:<9} {:>7} {:>7} {:>7} {:>8} {:>7} {:>8.1} {:>8.1}",
            kind.label,
            tally.requests,
            tally.served,
            tally.within_goal,
            tally.refused,
            tally.failed,
            at(0.5),
            at(0.99)
        );
    }
    let total: u64 = kinds.iter().map(|tally| tally.requests).sum();
    let mut failures = BTreeMap::<_, u64>::new();
    for (status, count) in kinds.iter().flat_map(|tally| &tally.failures) {
        *failures.entry(*status).or_default() += count;
    }
    if !failures.is_empty() {
        let name = |status: Option<u16>| status.map_or("no answer".to_owned(), |status| status.to_string());
        let each: Vec<_> = failures.iter().map(|(s, count)| format!("{} {count}", name(*s))).collect();
        let _ = writeln!(text, "failed with: {}", each.join(", "));
    }
    let late = tallies.late().as_secs_f64() * 1000.0;
    let note =
        if late > MAX_OWN_DELAY_MS { ": the machine is busy, so latencies are not reliable" } else { "" };
    let _ = writeln!(text, "the testbed's own clients were delayed by {late:.1} ms at p99{note}");
    let _ = writeln!(text, "\nprocessor time, {total} requests:");
    for CpuUse { name, count, time } in spent {
        let each = time.as_secs_f64() * 1e6 / total.max(1) as f64;
        let _ =
            writeln!(text, "{name:<16} x{count} {:>8.2} s {each:>7.0} us per request", time.as_secs_f64());
    }
    let _ = writeln!(
        text,
        "\n{:<12} {:>7} {:>7} {:>8} {:>8} {:>14} {:>8} {:>18}",
        "tenant", "total", "ran", "rate/s", "burst", "max in 5 s", "allowed", "beyond rate+burst"
    );
    for (tenant, used) in TENANTS.iter().zip(uses) {
        let _ = writeln!(
            text,
            "{:<12} {:>7} {:>7} {:>8} {:>8} {:>14} {:>8} {:>18.0}",
            tenant.label,
            used.asked,
            used.ran,
            tenant.rate,
            tenant.burst,
            used.peak,
            used.bound,
            used.beyond.max(0.0)
        );
    }
    text
}

/// Formats the judge's verdict.
pub fn format_verdict(verdict: &Verdict) -> String {
    let mut text = String::from("\nmust be 0:\n");
    for (rule, name) in RULES {
        let count = verdict.counts.get(&rule).copied().unwrap_or_default();
        let _ = writeln!(text, "{count:>6}  {name}");
    }
    for violation in verdict.violations.iter().take(MAX_LINES) {
        let _ = writeln!(text, "        {:.3} s: {}", violation.at, violation.what);
    }
    if verdict.total() > MAX_LINES as u64 {
        let _ = writeln!(text, "        and {} more", verdict.total() - MAX_LINES as u64);
    }
    if let Some(void) = &verdict.void {
        let _ = writeln!(text, "no verdict: {void}");
    }
    if !verdict.late.is_empty() {
        let _ = writeln!(text, "\ndelays, possibly caused by the machine:");
    }
    for line in verdict.late.iter().take(MAX_LINES) {
        let _ = writeln!(text, "        {line}");
    }
    text
}
