//! Randomized model of session leases: one member, successive leaders, drifting clocks, delayed or lost messages, and
//! paused processes. The member must not consider its session valid after the group has ended it. The model must also
//! detect each of three injected faults.

use fennelscale_group::clock::Clock;
use fennelscale_group::lease::{Guard, Lease, SeenFences, SessionDeadlines, drift_allowance};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const SESSION_TTL: Duration = Duration::from_millis(6000);
const RUNS: u64 = 1000;

#[derive(Clone, Copy, PartialEq)]
enum InjectedFault {
    NoFault,
    /// The member starts its lease at the response instead of at the request.
    LeaseFromResponse,
    /// The leader has no allowance for clock drift.
    NoDriftAllowance,
    /// A new leader continues with the deadlines of its predecessor.
    NoWaitAfterElection,
}

/// Simulates one run in true time. Returns for how many milliseconds the member considered the session valid after the
/// group had ended it.
fn overlap_ms(seed: u64, fault: InjectedFault) -> Option<f64> {
    let mut random = SmallRng::seed_from_u64(seed);
    // Each clock has its own rate; any two differ by at most one part in a hundred, as the allowance assumes.
    let mut clock_rate = || 1.0 + random.random_range(-0.0049..0.0049);
    let (member_rate, leader_rates) = (clock_rate(), [clock_rate(), clock_rate()]);
    let local_time =
        |clock_rate: f64, true_ms: f64| Duration::from_secs_f64((1e6 + true_ms * clock_rate) / 1000.0);
    let session_ttl = if fault == InjectedFault::NoDriftAllowance {
        SESSION_TTL - drift_allowance(SESSION_TTL)
    } else {
        SESSION_TTL
    };
    let mut leaders = [SessionDeadlines::new(session_ttl), SessionDeadlines::new(session_ttl)];
    let lease = Lease::default();
    let (mut now, mut leader, mut term) = (0.0, 0, 1);
    lease.grant(local_time(member_rate, 0.0), SESSION_TTL);
    leaders[0].update(local_time(leader_rates[0], 1.0), Some(1), [7].into_iter());
    let mut ended_at = None;
    let mut next_renewal = 2000.0;
    while now < 60_000.0 && ended_at.is_none() {
        // Use small steps close to the expiry.
        let step = match lease.remaining(local_time(member_rate, now)) {
            Some(remaining) if remaining > Duration::from_millis(200) => 100.0,
            Some(_) => 2.0,
            None => 20.0,
        };
        now += step;
        if random.random_bool(step / 5000.0) {
            // Another leader takes over. The old leader had confirmed its leadership for every renewal granted so far.
            leader = 1 - leader;
            term += 1;
            if fault == InjectedFault::NoWaitAfterElection {
                leaders[leader].update(local_time(leader_rates[leader], now), Some(1), [7].into_iter());
            }
        }
        let current_term = if fault == InjectedFault::NoWaitAfterElection { 1 } else { term };
        let leader_now = local_time(leader_rates[leader], now);
        leaders[leader].update(leader_now, Some(current_term), [7].into_iter());
        if now >= next_renewal {
            // Delays of the request and of the response. Either message may be lost, and the member may be paused in
            // between.
            let (request_delay, response_delay) =
                (random.random_range(1.0..400.0), random.random_range(1.0..400.0));
            let pause = if random.random_bool(0.1) { random.random_range(0.0..9000.0) } else { 0.0 };
            next_renewal = now + 2000.0 + pause;
            let granted = random.random_bool(0.7)
                && leaders[leader].renew(local_time(leader_rates[leader], now + request_delay), 7);
            if granted && random.random_bool(0.8) {
                let received_at = now + request_delay + response_delay + pause;
                let from = if fault == InjectedFault::LeaseFromResponse { received_at } else { now };
                lease.grant(local_time(member_rate, from), SESSION_TTL);
            }
        }
        if leaders[leader].expired(leader_now).is_some_and(|(_, expired)| !expired.is_empty()) {
            ended_at = Some(now);
        }
    }
    let ended_at = ended_at?;
    let remaining = lease.remaining(local_time(member_rate, ended_at));
    remaining.map(|remaining| remaining.as_secs_f64() * 1000.0)
}

fn worst_overlap_ms(fault: InjectedFault) -> f64 {
    (0..RUNS).filter_map(|seed| overlap_ms(seed, fault)).fold(0.0, f64::max)
}

#[test]
fn a_member_never_trusts_a_session_that_the_group_has_ended() {
    assert_eq!(worst_overlap_ms(InjectedFault::NoFault), 0.0);
}

#[test]
fn the_model_detects_each_injected_fault() {
    for fault in [
        InjectedFault::LeaseFromResponse,
        InjectedFault::NoDriftAllowance,
        InjectedFault::NoWaitAfterElection,
    ] {
        assert!(worst_overlap_ms(fault) > 0.0);
    }
}

#[test]
fn a_guard_is_invalid_after_a_pause_a_release_and_the_end_of_its_session() {
    let micros = Arc::new(AtomicU64::new(1_000_000));
    let clock = Clock::Manual(micros.clone());
    let lease = Arc::new(Lease::default());
    let guard = |fence| Guard::new("d".into(), fence, lease.clone(), clock.clone());
    let first = guard(3);
    assert_eq!(first.valid_fence(), None, "no lease was granted yet");
    lease.grant(clock.now(), SESSION_TTL);
    assert_eq!(first.valid_fence(), Some(3));
    // The process is paused for an hour between two checks.
    micros.fetch_add(3_600_000_000, Ordering::SeqCst);
    assert_eq!((first.valid_fence(), first.remaining()), (None, None));
    // The group has not ended the session, so the next renewal makes the same guard valid again.
    lease.grant(clock.now(), SESSION_TTL);
    assert_eq!(first.valid_fence(), Some(3));
    // The response to an earlier request does not shorten the lease.
    lease.grant(clock.now() - SESSION_TTL / 2, SESSION_TTL);
    assert_eq!(first.remaining(), Some(SESSION_TTL));
    let copy = first.clone();
    first.release();
    assert_eq!(copy.valid_fence(), None);
    let second = guard(4);
    assert_eq!(second.valid_fence(), Some(4));
    lease.end();
    assert_eq!(second.valid_fence(), None);
    lease.grant(clock.now(), SESSION_TTL);
    assert_eq!(second.valid_fence(), None, "an ended session cannot be renewed");
}

#[test]
fn an_action_under_a_lower_fence_than_one_seen_is_rejected() {
    let mut fences = SeenFences::default();
    assert!(fences.accept("d", 2) && fences.accept("d", 2) && fences.accept("e", 1) && fences.accept("d", 5));
    assert!(!fences.accept("d", 4));
    let seen = BTreeMap::from_iter(fences.highest_fences());
    assert_eq!(seen, BTreeMap::from([("d".into(), 5), ("e".into(), 1)]));
    for number in 0..1000 {
        fences.accept(&number.to_string(), 1);
    }
    assert!(fences.highest_fences().len() <= 64, "the number of tracked duties is unbounded");
}
