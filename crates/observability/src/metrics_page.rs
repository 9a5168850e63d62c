//! Metrics in the OpenMetrics text format. Other modules keep their metrics as plain numbers, and a page is built
//! only when queried. Request handling therefore only updates plain numbers.

use prometheus_client::encoding::{EncodeMetric, MetricEncoder, NoLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::{MetricType, TypedMetric};
use prometheus_client::registry::Registry;
use std::fs;
use std::sync::atomic::AtomicU64;

/// Media type of a metrics page.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Maximum number of rows of a metric. Service names come from outside, and monitoring systems store each row for
/// long. Rows beyond the limit are summed under the label value `other`.
const MAX_ROWS: usize = 200;
/// Unit of processor time in `/proc`: 100 ticks per second on every Linux.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

type FloatGauge = Gauge<f64, AtomicU64>;
type TotalCounter = Counter<u64, AtomicU64>;

/// Labels of one row.
pub type Labels = Vec<(&'static str, String)>;

/// A page of metrics.
pub struct MetricsPage(Registry);

impl MetricsPage {
    /// Creates a page for a plane, with the resource usage of the process.
    pub fn new(plane: &'static str, uptime_ms: u64) -> Self {
        let registry =
            Registry::with_prefix_and_labels("reachlb", [("plane".into(), plane.into())].into_iter());
        let mut page = Self(registry);
        page.gauge("up_seconds", "Time since the process started", uptime_ms as f64 / 1000.0);
        let text = |name| fs::read_to_string(name).unwrap_or_default();
        if let Some(seconds) = parse_processor_time(&text("/proc/self/stat")) {
            page.gauge("processor_seconds", "Processor time spent since the start", seconds);
        }
        if let Some(bytes) = parse_resident_bytes(&text("/proc/self/status")) {
            page.gauge("resident_bytes", "Memory held", bytes);
        }
        // Reading the directory itself holds one descriptor.
        if let Ok(open) = fs::read_dir("/proc/self/fd") {
            page.gauge("descriptors", "Open descriptors", open.count().saturating_sub(1) as f64);
        }
        page
    }

    /// Adds a gauge.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        let gauge = FloatGauge::default();
        gauge.set(value);
        self.0.register(name, help, gauge);
    }

    /// Adds a gauge with labels. Values with equal labels are summed.
    pub fn gauges(&mut self, name: &str, help: &str, rows: impl IntoIterator<Item = (Labels, f64)>) {
        let family = Family::<Labels, FloatGauge>::default();
        limit_rows(rows, |labels, value| {
            family.get_or_create(labels).inc_by(value);
        });
        self.0.register(name, help, family);
    }

    /// Adds a counter since the process start. The exposition appends `_total` to the name.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter = TotalCounter::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }

    /// Adds a counter with labels. Values with equal labels are summed.
    pub fn counters(&mut self, name: &str, help: &str, rows: impl IntoIterator<Item = (Labels, u64)>) {
        let family = Family::<Labels, TotalCounter>::default();
        limit_rows(rows, |labels, value| {
            family.get_or_create(labels).inc_by(value);
        });
        self.0.register(name, help, family);
    }

    /// Adds a histogram: `counts` holds the number of values in each bucket, not cumulative, with one more count for
    /// values above the last bound. `sum` is the sum of all values.
    pub fn histogram(&mut self, name: &str, help: &str, bounds: &[f64], counts: &[u64], sum: f64) {
        let bounds = bounds.iter().copied().chain([f64::INFINITY]);
        let buckets: Vec<_> = bounds.zip(counts.iter().copied()).collect();
        self.0.register(name, help, EncodedHistogram { buckets, sum });
    }

    /// Encodes the page as text.
    pub fn text(&self) -> String {
        let mut page = String::new();
        // Writing to a `String` cannot fail.
        let _ = text::encode(&mut page, &self.0);
        page
    }
}

fn limit_rows<V>(rows: impl IntoIterator<Item = (Labels, V)>, mut add: impl FnMut(&Labels, V)) {
    let mut known: Vec<Labels> = Vec::new();
    for (mut labels, value) in rows {
        if !known.contains(&labels) {
            if known.len() < MAX_ROWS {
                known.push(labels.clone());
            } else {
                labels.iter_mut().for_each(|(_, value)| *value = "other".to_owned());
            }
        }
        add(&labels, value);
    }
}

#[derive(Debug)]
struct EncodedHistogram {
    buckets: Vec<(f64, u64)>,
    sum: f64,
}

impl EncodeMetric for EncodedHistogram {
    fn encode(&self, mut encoder: MetricEncoder<'_>) -> Result<(), std::fmt::Error> {
        let count = self.buckets.iter().map(|(_, count)| count).sum();
        encoder.encode_histogram::<NoLabelSet>(self.sum, count, &self.buckets, None)
    }

    fn metric_type(&self) -> MetricType {
        Self::TYPE
    }
}

impl TypedMetric for EncodedHistogram {
    const TYPE: MetricType = MetricType::Histogram;
}

fn parse_processor_time(stat: &str) -> Option<f64> {
    // The program name stands in parentheses and may contain any character. User and system time are the 12th and
    // 13th fields after the name.
    let mut fields = stat.rsplit_once(')')?.1.split_ascii_whitespace().skip(11);
    let mut next = || fields.next()?.parse::<f64>().ok();
    Some((next()? + next()?) / CLOCK_TICKS_PER_SECOND)
}

fn parse_resident_bytes(status: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.split_ascii_whitespace().next()?.parse::<f64>().ok()? * 1024.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rows_are_limited_and_excess_rows_are_summed() {
        let mut page = MetricsPage::new("data-plane", 1500);
        let rows = (0..MAX_ROWS + 40).map(|n| (vec![("service", format!("s{n}"))], 1));
        page.counters("requests", "Requests", rows.chain([(vec![("service", "s0".to_owned())], 1)]));
        page.histogram("answer_seconds", "Time", &[0.1, 1.0], &[2, 1, 1], 9.5);
        let text = page.text();
        for line in [
            "reachlb_up_seconds{plane=\"data-plane\"} 1.5",
            "reachlb_requests_total{plane=\"data-plane\",service=\"s0\"} 2",
            "reachlb_requests_total{plane=\"data-plane\",service=\"other\"} 40",
            "reachlb_answer_seconds_bucket{plane=\"data-plane\",le=\"1.0\"} 3",
            "reachlb_answer_seconds_bucket{plane=\"data-plane\",le=\"+Inf\"} 4",
            "# EOF",
        ] {
            assert!(text.lines().any(|known| known == line), "{line} in {text}");
        }
        assert_eq!(text.matches("reachlb_requests_total").count(), MAX_ROWS + 1);
    }

    #[yare::parameterized(
        usual = { "7 (a) R 9) S 1 7 7 0 -1 4194560 89 0 0 0 31 12 0 0", Some(0.43) },
        short = { "7 (x) S 1 2", None },
        none = { "", None },
    )]
    fn processor_time_is_parsed_for_any_program_name(stat: &str, seconds: Option<f64>) {
        assert_eq!(parse_processor_time(stat), seconds);
    }
}
