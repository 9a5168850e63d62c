//! Orders of several operators with retries. The tests look for violated guarantees in every course of events up to
//! some depth in a small model, and in random runs on real Raft nodes. Both detect injected faults.

mod chaos;
#[path = "../../../raft/tests/fake_disk/mod.rs"]
mod fake_disk;
#[path = "../support/linearizability.rs"]
mod linearizability;
mod orders;
#[allow(dead_code, reason = "the Raft crate's own tests use the rest")]
#[path = "../../../raft/src/bounded_model_check/search.rs"]
mod search;
mod world;

use config::Config;
use control_plane::{Change, ConfigHistory, LogPosition, decide};
use orders::Order;
use search::search;
use world::{Budget, InjectedFault, World};
use yare::parameterized;

const TWO_OF_EACH: Budget = Budget { copies: 2, elections: 2 };

/// Orders for an empty history: two orders of version 1, one of version 2, and one that builds on version 1.
const INITIAL: &[Order] =
    &[Order::new(0, 1, 1), Order::new(0, 1, 2), Order::new(0, 2, 1), Order::new(1, 3, 1)];
/// Each order builds on the previous version, except that the last two have the same base and the same version.
const CHAIN: &[Order] = &[Order::new(0, 2, 1), Order::new(2, 3, 1), Order::new(3, 5, 1), Order::new(3, 5, 2)];
/// Orders that conflict by version: two orders of version 5 with different bases, version 4 on base 5 (a version must
/// be above its base), and version 2, which is too low once version 5 is accepted.
const VERSIONS: &[Order] =
    &[Order::new(0, 2, 1), Order::new(2, 5, 1), Order::new(0, 5, 2), Order::new(5, 4, 1)];

#[parameterized(
    initial = { INITIAL, 7 },
    chain = { CHAIN, 9 },
    versions = { VERSIONS, 8 },
)]
fn no_order_is_both_refused_and_in_force(orders: &[Order], depth: usize) {
    let reach = search(World::new(orders, TWO_OF_EACH, InjectedFault::Nothing), depth, usize::MAX)
        .unwrap_or_else(|fault| panic!("{fault}"));
    println!("{:?} {reach:?}", std::thread::current().name());
    assert!(reach.depth == depth && reach.committed > 1, "{reach:?}");
}

#[parameterized(
    initial = { INITIAL },
    chain = { CHAIN },
    versions = { VERSIONS },
)]
#[ignore = "some minutes: cargo test -p control-plane --test orders -- --ignored --nocapture --test-threads 1"]
fn no_order_is_both_refused_and_in_force_in_a_deep_search(orders: &[Order]) {
    let reach = search(World::new(orders, TWO_OF_EACH, InjectedFault::Nothing), 100, 200_000)
        .unwrap_or_else(|fault| panic!("{fault}"));
    println!("{:?} {reach:?}", std::thread::current().name());
}

#[parameterized(
    future_base_refused = { InjectedFault::FutureBaseRefused, CHAIN, "is refused and in force" },
    uncommitted_state = { InjectedFault::UncommittedState, INITIAL, "is refused and in force" },
    answer_before_commit = { InjectedFault::AnswerBeforeCommit, INITIAL, "confirmed and not in force" },
    unchecked_base = { InjectedFault::UncheckedBase, INITIAL, "came into force on top of" },
    digests_dropped = { InjectedFault::DigestsDropped, VERSIONS, "gets the verdict Stale" },
)]
fn injected_faults_are_detected(injected: InjectedFault, orders: &[Order], what: &str) {
    let fault = search(World::new(orders, TWO_OF_EACH, injected), 10, 1_000_000)
        .expect_err("no violation is detected");
    println!("{injected:?}: {fault}");
    assert!(fault.contains(what), "{fault}");
}

#[test]
fn an_order_accepted_by_an_earlier_version_is_acknowledged_although_invalid_now() {
    let body = br#"{"generation":"r2","route_table":{}}"#.to_vec();
    let (version, digest) = Config::identify(&body).expect("a readable version and digest");
    let mut config_history = ConfigHistory::default();
    assert_eq!(decide(&config_history, 0, body.clone()).reply().map(|reply| reply.status), Some(400));
    config_history
        .apply(LogPosition::default(), Change { base: 0, version: version.0, digest, body: body.clone() });
    assert_eq!(decide(&config_history, 0, body).reply().map(|reply| reply.status), Some(200));
    let other = br#"{"generation":"r2","route_table":{},"x":1}"#.to_vec();
    assert_eq!(decide(&config_history, 0, other).reply().map(|reply| reply.status), Some(400));
}
