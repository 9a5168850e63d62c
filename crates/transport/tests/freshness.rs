//! The age of a data plane's state, the width of the search for a fresh control plane, and drain records.
//!
//! The width is the number of control planes that a data plane queries at a time during a search. A drain record is
//! the id of a backend that must receive no new requests; the Raft leader numbers the records.

use protocol::FreshnessAnswer;
use transport::DrainRecords;
use transport::freshness::{FreshnessTracker, MIN_BOUND_MS, is_achievable, stale_after};
use yare::parameterized;

const STALE_AFTER_MS: u64 = 900;

/// A tracker with an answer of age 0 to a query sent at 10 s.
fn answered_at_10_s() -> FreshnessTracker {
    let mut freshness = FreshnessTracker::new(0, STALE_AFTER_MS);
    freshness.mark_supported();
    let number = freshness.start_query(10_000);
    assert_eq!(freshness.record_answer(number, 0), Some(10_000));
    freshness
}

#[parameterized(
    immediate = { 10_050, 0, 50 },
    old_leader_response = { 10_050, 300, 350 },
    delayed_answer = { 14_000, 0, 4_000 },
    both = { 14_000, 300, 4_300 },
)]
fn the_age_counts_from_the_query_and_the_age_of_the_leader_s_response(
    read_at: u64, age: u64, expected_age: u64,
) {
    let mut freshness = FreshnessTracker::new(0, STALE_AFTER_MS);
    let number = freshness.start_query(10_000);
    assert_eq!(freshness.record_answer(number, age), Some(10_000 - age));
    assert_eq!(freshness.age(read_at), expected_age);
}

#[test]
fn an_answer_counts_once_and_only_for_a_sent_query() {
    let mut freshness = answered_at_10_s();
    assert_eq!(freshness.record_answer(1, 0), None, "a duplicate answer");
    assert_eq!(freshness.record_answer(7, 0), None, "no query has this number");
    let (older, newer) = (freshness.start_query(11_000), freshness.start_query(12_000));
    assert_eq!(
        (freshness.record_answer(newer, 0), freshness.record_answer(older, 0)),
        (Some(12_000), Some(11_000))
    );
    assert_eq!(freshness.age(12_000), 0, "a late answer does not increase the age");
}

#[test]
fn the_search_width_doubles_with_each_step() {
    let mut freshness = answered_at_10_s();
    for (now, width) in [(10_899, 0), (10_900, 2), (10_999, 2), (11_000, 4), (11_100, 8), (11_299, 16)] {
        assert_eq!(freshness.width(now), width, "at {now}");
    }
}

#[test]
fn an_answer_that_is_nearly_stale_does_not_end_a_search() {
    let mut freshness = answered_at_10_s();
    assert_eq!(freshness.width(10_900), 2);
    let number = freshness.start_query(10_950);
    let as_of = freshness.record_answer(number, 800).expect("the query was sent");
    assert!(!freshness.is_recent(10_950, as_of));
    assert_eq!(freshness.width(11_000), 4);
    let number = freshness.start_query(11_050);
    let as_of = freshness.record_answer(number, 200).expect("the query was sent");
    assert!(freshness.is_recent(11_050, as_of));
    assert_eq!(freshness.width(11_100), 0);
    assert_eq!(freshness.width(11_750), 2, "a new search starts");
}

#[test]
fn no_search_starts_without_support_or_right_after_the_start() {
    let mut freshness = FreshnessTracker::new(0, STALE_AFTER_MS);
    assert_eq!(freshness.width(60_000), 0, "control planes of an earlier version do not answer queries");
    freshness.mark_supported();
    assert_eq!((freshness.width(1_999), freshness.width(2_000)), (0, 2));
}

#[parameterized(
    small_sites = { 2000, 900 },
    grown_sites = { 2500, 900 },
    shorter = { 1500, 550 },
    least = { 1450, 500 },
)]
fn the_stale_age_is_derived_from_the_bound_and_meets_it(bound: u64, age: u64) {
    assert_eq!(stale_after(bound), age);
    assert!(is_achievable(bound));
}

#[test]
fn a_bound_below_the_minimum_is_not_achievable() {
    assert!(!is_achievable(MIN_BOUND_MS - 1));
    assert!(is_achievable(MIN_BOUND_MS));
}

fn answer(last_drain: u64, after: u64, missing: &[&str]) -> FreshnessAnswer {
    let missing = missing.iter().map(|id| (*id).to_owned()).collect();
    FreshnessAnswer { number: 1, age_ms: Some(0), last_drain, missing_after: after, missing }
}

#[test]
fn records_arrive_in_parts_and_a_sender_with_fewer_records_removes_none() {
    let mut records = DrainRecords::default();
    let first = answer(3, 0, &["a", "b"]);
    assert_eq!(records.apply_answer(0, &first), ["a", "b"]);
    assert!(!records.is_complete(&first));
    let rest = answer(3, 2, &["c"]);
    assert_eq!(records.apply_answer(10, &rest), ["c"]);
    assert!(records.is_complete(&rest));
    assert!(records.apply_answer(20, &answer(1, 0, &[])).is_empty(), "a sender that lacks records");
    assert_eq!(records.last(), 3);
    assert!(records.apply_answer(30, &answer(3, 2, &["c"])).is_empty(), "a duplicate answer");
}

#[test]
fn records_of_a_replaced_log_are_accepted_after_a_timeout() {
    let mut records = DrainRecords::default();
    records.apply_answer(0, &answer(2, 0, &["a", "b"]));
    for now in [1_000, 3_000, 5_900] {
        assert!(records.apply_answer(now, &answer(1, 0, &["x"])).is_empty());
    }
    assert_eq!(records.apply_answer(6_000, &answer(1, 0, &["x"])), ["x"]);
    assert_eq!(records.last(), 1);
}
