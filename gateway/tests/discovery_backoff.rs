//! How often a fleet retries a discovery service that rejects its connections.

use fennelscale::control::discovery::backoff;
use std::collections::BTreeMap;
use std::time::Duration;

/// The times of all retries within ten seconds, for gateways that are rejected at the same moment.
fn retry_times(gateways: u32) -> Vec<Duration> {
    let mut times = Vec::new();
    for index in 0..u64::from(gateways) {
        let mut backoff = backoff(gateways, 0x8c1f_30d2_7a5b_e964 ^ (index << 20));
        let mut time = backoff.next_delay();
        while time < Duration::from_secs(10) {
            times.push(time);
            time += backoff.next_delay();
        }
    }
    times
}

#[test]
fn large_fleet_retries_at_random_times_and_little_more_often_than_a_small_one() {
    let small_fleet = retry_times(3).len();
    assert_eq!(small_fleet, 297, "three gateways every 100 ms");
    let large_fleet = retry_times(100);
    assert!(
        large_fleet.len() < 2 * small_fleet,
        "{} retries of a hundred gateways in ten seconds",
        large_fleet.len()
    );
    let seconds = large_fleet.iter().map(Duration::as_secs);
    let per_second = seconds.fold(BTreeMap::<u64, usize>::new(), |mut sum, second| {
        *sum.entry(second).or_default() += 1;
        sum
    });
    let max = per_second.values().max().copied().unwrap_or_default();
    assert!(per_second.len() == 10 && max < 60, "retries are spread over the seconds: {per_second:?}");
}

#[test]
fn backoff_restarts_after_a_success() {
    let mut backoff = backoff(100, 7);
    (0..20).for_each(|_| {
        backoff.next_delay();
    });
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(3300));
}
