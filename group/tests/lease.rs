//! The leases against chance: a member, leaders that follow one another, clocks that run apart, messages that are
//! late or lost, processes that stop. The member must not trust its session when the group has ended it. The same
//! model finds each of three planted faults.

use fennelscale_group::clock::Clock;
use fennelscale_group::lease::{Guard, Lease, SeenFences, SessionDeadlines, drift_allowance};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const LIFE: Duration = Duration::from_millis(6000);
const RUNS: u64 = 1000;

#[derive(Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    /// The member reckons from the answer instead of from before it asked.
    FromAnswer,
    /// The leader allows nothing for clocks that run apart.
    NoDrift,
    /// A new leader goes on with what the one before knew.
    NoWait,
}

/// One run in true time: gives by how many ms the member still trusted a session after the group had ended it, at
/// the worst.
fn overlap(seed: u64, planted: Planted) -> Option<f64> {
    let mut random = SmallRng::seed_from_u64(seed);
    // Each clock runs at its own pace, within the allowance of one in a hundred between any two.
    let mut pace = || 1.0 + random.random_range(-0.0049..0.0049);
    let (member_pace, leader_paces) = (pace(), [pace(), pace()]);
    let at = |pace: f64, true_ms: f64| Duration::from_secs_f64((1e6 + true_ms * pace) / 1000.0);
    let life = if planted == Planted::NoDrift { LIFE - drift_allowance(LIFE) } else { LIFE };
    let mut leaders = [SessionDeadlines::new(life), SessionDeadlines::new(life)];
    let lease = Lease::default();
    let (mut now, mut leader, mut term) = (0.0, 0, 1);
    lease.grant(at(member_pace, 0.0), LIFE);
    leaders[0].update(at(leader_paces[0], 1.0), Some(1), [7].into_iter());
    let mut ended = None;
    let mut next_ask = 2000.0;
    while now < 60_000.0 && ended.is_none() {
        // Fine steps where the end is near.
        let step = match lease.remaining(at(member_pace, now)) {
            Some(left) if left > Duration::from_millis(200) => 100.0,
            Some(_) => 2.0,
            None => 20.0,
        };
        now += step;
        if random.random_bool(step / 5000.0) {
            // Another one leads; what this one granted until now had been confirmed.
            leader = 1 - leader;
            term += 1;
            if planted == Planted::NoWait {
                leaders[leader].update(at(leader_paces[leader], now), Some(1), [7].into_iter());
            }
        }
        let in_term = if planted == Planted::NoWait { 1 } else { term };
        let here = at(leader_paces[leader], now);
        leaders[leader].update(here, Some(in_term), [7].into_iter());
        if now >= next_ask {
            // On its way there, confirmed, and back; either may be lost, and the member may stop in between.
            let (there, back) = (random.random_range(1.0..400.0), random.random_range(1.0..400.0));
            let stopped = if random.random_bool(0.1) { random.random_range(0.0..9000.0) } else { 0.0 };
            next_ask = now + 2000.0 + stopped;
            let granted =
                random.random_bool(0.7) && leaders[leader].renew(at(leader_paces[leader], now + there), 7);
            if granted && random.random_bool(0.8) {
                let heard = now + there + back + stopped;
                let from = if planted == Planted::FromAnswer { heard } else { now };
                lease.grant(at(member_pace, from), LIFE);
            }
        }
        if leaders[leader].expired(here).is_some_and(|(_, over)| !over.is_empty()) {
            ended = Some(now);
        }
    }
    let ended = ended?;
    let left = lease.remaining(at(member_pace, ended));
    left.map(|left| left.as_secs_f64() * 1000.0)
}

fn worst(planted: Planted) -> f64 {
    (0..RUNS).filter_map(|seed| overlap(seed, planted)).fold(0.0, f64::max)
}

#[test]
fn a_member_never_trusts_a_session_that_the_group_has_ended() {
    assert_eq!(worst(Planted::Nothing), 0.0);
}

#[test]
fn the_model_finds_each_planted_fault() {
    for planted in [Planted::FromAnswer, Planted::NoDrift, Planted::NoWait] {
        assert!(worst(planted) > 0.0);
    }
}

#[test]
fn a_guard_says_no_after_a_stop_a_gift_and_the_end_of_its_session() {
    let micros = Arc::new(AtomicU64::new(1_000_000));
    let clock = Clock::Manual(micros.clone());
    let lease = Arc::new(Lease::default());
    let guard = |fence| Guard::new("d".into(), fence, lease.clone(), clock.clone());
    let first = guard(3);
    assert_eq!(first.valid_fence(), None, "nothing was granted yet");
    lease.grant(clock.now(), LIFE);
    assert_eq!(first.valid_fence(), Some(3));
    // Stopped for an hour between two looks.
    micros.fetch_add(3_600_000_000, Ordering::SeqCst);
    assert_eq!((first.valid_fence(), first.remaining()), (None, None));
    // The group never ended the session: with the next renewal the same right goes on.
    lease.grant(clock.now(), LIFE);
    assert_eq!(first.valid_fence(), Some(3));
    // An answer to an older question shortens nothing.
    lease.grant(clock.now() - LIFE / 2, LIFE);
    assert_eq!(first.remaining(), Some(LIFE));
    let copy = first.clone();
    first.release();
    assert_eq!(copy.valid_fence(), None);
    let second = guard(4);
    assert_eq!(second.valid_fence(), Some(4));
    lease.end();
    assert_eq!(second.valid_fence(), None);
    lease.grant(clock.now(), LIFE);
    assert_eq!(second.valid_fence(), None, "a session that has ended is not renewed");
}

#[test]
fn an_act_under_a_lower_fence_than_one_seen_is_refused() {
    let mut fences = SeenFences::default();
    assert!(fences.accept("d", 2) && fences.accept("d", 2) && fences.accept("e", 1) && fences.accept("d", 5));
    assert!(!fences.accept("d", 4));
    let seen = BTreeMap::from_iter(fences.highest_fences());
    assert_eq!(seen, BTreeMap::from([("d".into(), 5), ("e".into(), 1)]));
    for number in 0..1000 {
        fences.accept(&number.to_string(), 1);
    }
    assert!(fences.highest_fences().len() <= 64, "what others name is bounded");
}
