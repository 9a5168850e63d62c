//! Sliding windows over moments, which are in us and sorted: quotas and further tries.

/// The window of quotas, in us, and how far beyond them is still in order.
pub const QUOTA_WINDOW: u64 = 5_000_000;
const QUOTA_EXCESS: f64 = 1.1;
const QUOTA_SLACK: f64 = 20.0;
/// The window of further tries, in us, their share of the requests, and what may come on top.
const RETRY_WINDOW: u64 = 10_000_000;
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: u64 = 66;

/// The most of what was both sent and run within one window, of pairs (sent, arrived) in any order.
pub fn most_sent_and_run(pairs: &mut [(u64, u64)], window: u64) -> u64 {
    pairs.sort_unstable();
    let mut most = 0;
    for (first, (begin, _)) in pairs.iter().enumerate() {
        let until = begin + window;
        let sent = pairs[first..].iter().take_while(|(sent, _)| *sent < until);
        most = most.max(sent.filter(|(_, arrived)| *arrived < until).count());
    }
    most as u64
}

/// The most that may run in a window.
pub fn quota_bound(rate: f64, burst: f64) -> u64 {
    ((rate * QUOTA_WINDOW as f64 / 1e6 + burst) * QUOTA_EXCESS + QUOTA_SLACK) as u64
}

/// The most of these sorted moments that lie in one window.
pub fn most_within(moments: &[u64], window: u64) -> u64 {
    let mut begin = 0;
    let mut most = 0;
    for (end, moment) in moments.iter().enumerate() {
        while *moment - moments[begin] >= window {
            begin += 1;
        }
        most = most.max(end - begin + 1);
    }
    most as u64
}

/// How far the worst span of these sorted moments goes beyond rate x its length + burst; negative where none does.
pub fn beyond(moments: &[u64], rate: f64, burst: f64) -> f64 {
    let Some(first) = moments.first() else { return -burst };
    let mut least = f64::INFINITY;
    let mut worst = f64::NEG_INFINITY;
    for (index, moment) in moments.iter().enumerate() {
        // A span from i to j holds j - i + 1: both ends become one figure each.
        let figure = index as f64 - rate * (*moment - *first) as f64 / 1e6;
        least = least.min(figure);
        worst = worst.max(figure - least + 1.0 - burst);
    }
    worst
}

/// Whether some window holds more further tries than its requests, or those of the window before it, allow.
pub fn over_budget(first: &[u64], again: &[u64]) -> bool {
    let count = |moments: &[u64], from: u64, to: u64| {
        let before = |moment: &u64| *moment < from;
        let until = |moment: &u64| *moment <= to;
        moments.partition_point(until).saturating_sub(moments.partition_point(before)) as u64
    };
    again.iter().any(|&end| {
        let begin = end.saturating_sub(RETRY_WINDOW);
        let tries = count(again, begin, end);
        if tries <= RETRY_SLACK {
            return false;
        }
        let half = RETRY_WINDOW / 2;
        let requests = [0, half, RETRY_WINDOW]
            .map(|back| count(first, begin.saturating_sub(back), end.saturating_sub(back)));
        let most = requests.into_iter().max().unwrap_or(0);
        tries as f64 > RETRY_RATIO * most as f64 + RETRY_SLACK as f64
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_held_up_counts_with_its_sending() {
        // Twenty sent over ten seconds that all arrive at once.
        let mut pairs: Vec<_> = (0..20).map(|n| (n * 500_000, 10_000_000)).collect();
        assert_eq!(most_sent_and_run(&mut pairs, QUOTA_WINDOW), 9);
    }

    #[test]
    fn windows_slide() {
        let at = |ms: u64| ms * 1000;
        let moments = [at(0), at(4000), at(4900), at(5000), at(8000)];
        assert_eq!(most_within(&moments, QUOTA_WINDOW), 4);
        assert_eq!(most_within(&[], QUOTA_WINDOW), 0);
        assert_eq!(quota_bound(30.0, 30.0), 218);
        // Three within 100 ms at 10 a second: one more than the second that the span allows with a burst of 1.
        let burst = [at(0), at(2000), at(2050), at(2100)];
        assert!((beyond(&burst, 10.0, 1.0) - 1.0).abs() < 1e-9);
    }

    #[test]
    fn further_tries_have_a_budget() {
        let at = |n: u64| 60_000_000 + n * 1000;
        let first: Vec<_> = (0..100).map(at).collect();
        let again: Vec<_> = (0..86).map(|n| at(100 + n)).collect();
        assert!(!over_budget(&first, &again));
        let again: Vec<_> = (0..87).map(|n| at(100 + n)).collect();
        assert!(over_budget(&first, &again));
    }
}
