//! Orders of several operators, sent again and again: what must never be, in all that may happen to a few of them up to
//! a depth, and in drawn worlds on real nodes of the log. Planted faults are found by both.

mod chaos;
#[path = "../../../raft/tests/kept/mod.rs"]
mod kept;
#[path = "../support/linearizability.rs"]
mod linearizability;
mod orders;
#[allow(dead_code, reason = "the log's own search counts more")]
#[path = "../../../raft/src/agreement/search.rs"]
mod search;
mod world;

use config::Config;
use control_plane::{Change, ConfigHistory, LogPosition, decide};
use orders::Order;
use search::search;
use world::{Budget, Plant, World};
use yare::parameterized;

const TWICE: Budget = Budget { copies: 2, elections: 2 };

/// Nothing is in place: two orders of one number, one of another number, and one that builds on the first.
const FIRST: &[Order] = &[Order::new(0, 1, 1), Order::new(0, 1, 2), Order::new(0, 2, 1), Order::new(1, 3, 1)];
/// Each builds on the one before, and the last two have one number.
const CHAIN: &[Order] = &[Order::new(0, 2, 1), Order::new(2, 3, 1), Order::new(3, 5, 1), Order::new(3, 5, 2)];
/// One number on different versions, a number that is not above its base, and one that is no longer above it.
const NUMBERS: &[Order] =
    &[Order::new(0, 2, 1), Order::new(2, 5, 1), Order::new(0, 5, 2), Order::new(5, 4, 1)];

#[parameterized(
    first = { FIRST, 7 },
    chain = { CHAIN, 9 },
    numbers = { NUMBERS, 8 },
)]
fn no_order_is_refused_and_in_force(orders: &[Order], depth: usize) {
    let reach = search(World::new(orders, TWICE, Plant::Nothing), depth, usize::MAX)
        .unwrap_or_else(|fault| panic!("{fault}"));
    println!("{:?} {reach:?}", std::thread::current().name());
    assert!(reach.depth == depth && reach.committed > 1, "{reach:?}");
}

#[parameterized(
    first = { FIRST },
    chain = { CHAIN },
    numbers = { NUMBERS },
)]
#[ignore = "some minutes: cargo test -p control-plane --test orders -- --ignored --nocapture --test-threads 1"]
fn no_order_is_refused_and_in_force_far_off(orders: &[Order]) {
    let reach = search(World::new(orders, TWICE, Plant::Nothing), 100, 200_000)
        .unwrap_or_else(|fault| panic!("{fault}"));
    println!("{:?} {reach:?}", std::thread::current().name());
}

#[parameterized(
    ahead_refused = { Plant::AheadRefused, CHAIN, "is refused and in force" },
    uncommitted_state = { Plant::UncommittedState, FIRST, "is refused and in force" },
    answer_before_commit = { Plant::AnswerBeforeCommit, FIRST, "confirmed and not in force" },
    any_base = { Plant::AnyBase, FIRST, "came into force on top of" },
    digests_dropped = { Plant::DigestsDropped, NUMBERS, "is found Stale" },
)]
fn planted_faults_are_found(plant: Plant, orders: &[Order], what: &str) {
    let fault = search(World::new(orders, TWICE, plant), 10, 1_000_000).expect_err("nothing is found");
    println!("{plant:?}: {fault}");
    assert!(fault.contains(what), "{fault}");
}

#[test]
fn an_order_that_an_earlier_program_took_is_acknowledged_though_it_is_invalid_now() {
    let body = br#"{"generation":"r2","route_table":{}}"#.to_vec();
    let (version, digest) = Config::identify(&body).expect("it is readable");
    let mut config_history = ConfigHistory::default();
    assert_eq!(decide(&config_history, 0, body.clone()).reply().map(|reply| reply.status), Some(400));
    config_history
        .apply(LogPosition::default(), Change { base: 0, version: version.0, digest, body: body.clone() });
    assert_eq!(decide(&config_history, 0, body).reply().map(|reply| reply.status), Some(200));
    let other = br#"{"generation":"r2","route_table":{},"x":1}"#.to_vec();
    assert_eq!(decide(&config_history, 0, other).reply().map(|reply| reply.status), Some(400));
}
