//! Sliding windows over sorted times in microseconds, for quotas and retry budgets.

/// Window of the quota check, in microseconds.
pub const QUOTA_WINDOW: u64 = 5_000_000;
/// Factor by which the runs within a window may exceed the quota.
const QUOTA_EXCESS: f64 = 1.1;
/// Number of runs by which a window may exceed the quota in addition to [`QUOTA_EXCESS`].
const QUOTA_SLACK: f64 = 20.0;
/// Window of the retry check, in microseconds.
const RETRY_WINDOW: u64 = 10_000_000;
/// Allowed ratio of retries to requests within a window.
const RETRY_RATIO: f64 = 0.2;
/// Number of retries that a window may hold in addition to [`RETRY_RATIO`].
const RETRY_SLACK: u64 = 66;

/// Maximum number of requests that clients sent and backends ran within the same window. The pairs `(sent, arrived)`
/// may be in any order.
pub fn max_sent_and_run_within(pairs: &mut [(u64, u64)], window: u64) -> u64 {
    pairs.sort_unstable();
    let mut maximum = 0;
    for (first, (begin, _)) in pairs.iter().enumerate() {
        let until = begin + window;
        let sent = pairs[first..].iter().take_while(|(sent, _)| *sent < until);
        maximum = maximum.max(sent.filter(|(_, arrived)| *arrived < until).count());
    }
    maximum as u64
}

/// Maximum number of runs that the quota check allows in one window.
pub fn quota_bound(rate: f64, burst: f64) -> u64 {
    ((rate * QUOTA_WINDOW as f64 / 1e6 + burst) * QUOTA_EXCESS + QUOTA_SLACK) as u64
}

/// Maximum number of the sorted times that lie within one window.
pub fn max_within(times: &[u64], window: u64) -> u64 {
    let mut begin = 0;
    let mut maximum = 0;
    for (end, time) in times.iter().enumerate() {
        while *time - times[begin] >= window {
            begin += 1;
        }
        maximum = maximum.max(end - begin + 1);
    }
    maximum as u64
}

/// Largest excess over `rate * length + burst` of any span of the sorted times; negative if no span exceeds the bound.
pub fn excess(times: &[u64], rate: f64, burst: f64) -> f64 {
    let Some(first) = times.first() else { return -burst };
    let mut minimum = f64::INFINITY;
    let mut worst = f64::NEG_INFINITY;
    for (index, time) in times.iter().enumerate() {
        // A span from time i to time j holds j - i + 1 times. The excess of the span is therefore the figure of j minus
        // the figure of i, plus 1 - burst.
        let figure = index as f64 - rate * (*time - *first) as f64 / 1e6;
        minimum = minimum.min(figure);
        worst = worst.max(figure - minimum + 1.0 - burst);
    }
    worst
}

/// Whether any window holds more retries than `RETRY_RATIO` and `RETRY_SLACK` allow. The number of requests is the
/// largest of the same window, the window half a length earlier and the preceding window.
pub fn over_budget(first: &[u64], retries: &[u64]) -> bool {
    let count = |times: &[u64], from: u64, to: u64| {
        let before = |time: &u64| *time < from;
        let until = |time: &u64| *time <= to;
        times.partition_point(until).saturating_sub(times.partition_point(before)) as u64
    };
    retries.iter().any(|&end| {
        let begin = end.saturating_sub(RETRY_WINDOW);
        let retry_count = count(retries, begin, end);
        if retry_count <= RETRY_SLACK {
            return false;
        }
        let half = RETRY_WINDOW / 2;
        let requests = [0, half, RETRY_WINDOW]
            .map(|back| count(first, begin.saturating_sub(back), end.saturating_sub(back)));
        let max_requests = requests.into_iter().max().unwrap_or(0);
        retry_count as f64 > RETRY_RATIO * max_requests as f64 + RETRY_SLACK as f64
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn delayed_requests_count_by_their_send_time() {
        // Twenty requests sent over ten seconds all arrive at the same time.
        let mut pairs: Vec<_> = (0..20).map(|n| (n * 500_000, 10_000_000)).collect();
        assert_eq!(max_sent_and_run_within(&mut pairs, QUOTA_WINDOW), 9);
    }

    #[test]
    fn counts_use_sliding_windows() {
        let at = |ms: u64| ms * 1000;
        let times = [at(0), at(4000), at(4900), at(5000), at(8000)];
        assert_eq!(max_within(&times, QUOTA_WINDOW), 4);
        assert_eq!(max_within(&[], QUOTA_WINDOW), 0);
        assert_eq!(quota_bound(30.0, 30.0), 218);
        // Three requests within 100 ms at 10/s: the rate allows one and the burst one, so the excess is 1.
        let burst = [at(0), at(2000), at(2050), at(2100)];
        assert!((excess(&burst, 10.0, 1.0) - 1.0).abs() < 1e-9);
    }

    #[test]
    fn retries_are_bounded_by_the_budget() {
        let at = |n: u64| 60_000_000 + n * 1000;
        let first: Vec<_> = (0..100).map(at).collect();
        let retries: Vec<_> = (0..86).map(|n| at(100 + n)).collect();
        assert!(!over_budget(&first, &retries));
        let retries: Vec<_> = (0..87).map(|n| at(100 + n)).collect();
        assert!(over_budget(&first, &retries));
    }
}
