//! How often a fleet comes back to a discovery that turns it away.

use fennelscale::control::discovery::backoff;
use std::collections::BTreeMap;
use std::time::Duration;

/// The moments of all tries within ten seconds, of gateways that are turned away at the same moment.
fn tries(gateways: u32) -> Vec<Duration> {
    let mut moments = Vec::new();
    for number in 0..u64::from(gateways) {
        let mut backoff = backoff(gateways, 0x8c1f_30d2_7a5b_e964 ^ (number << 20));
        let mut at = backoff.next_delay();
        while at < Duration::from_secs(10) {
            moments.push(at);
            at += backoff.next_delay();
        }
    }
    moments
}

#[test]
fn a_large_fleet_comes_back_at_drawn_times_and_hardly_more_often_than_a_small_one() {
    let few = tries(3).len();
    assert_eq!(few, 297, "three gateways every 100 ms, as ever");
    let many = tries(100);
    assert!(many.len() < 2 * few, "{} tries of a hundred gateways in ten seconds", many.len());
    let seconds = many.iter().map(Duration::as_secs);
    let per_second = seconds.fold(BTreeMap::<u64, usize>::new(), |mut sum, second| {
        *sum.entry(second).or_default() += 1;
        sum
    });
    let most = per_second.values().max().copied().unwrap_or_default();
    assert!(per_second.len() == 10 && most < 60, "no second is crowded: {per_second:?}");
}

#[test]
fn after_a_list_the_next_fault_is_a_first_one() {
    let mut backoff = backoff(100, 7);
    (0..20).for_each(|_| {
        backoff.next_delay();
    });
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(3300));
}
