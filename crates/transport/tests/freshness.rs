//! How old what a data plane goes by may be, and whom it asks.

use protocol::FreshnessAnswer;
use transport::DrainRecords;
use transport::freshness::{Freshness, MIN_BOUND_MS, is_achievable, stale_after};
use yare::parameterized;

const STALE: u64 = 900;

/// One that has had an answer of this moment at second 10.
fn answered_at_10_s() -> Freshness {
    let mut freshness = Freshness::new(0, STALE);
    freshness.understood();
    let number = freshness.question(10_000);
    assert_eq!(freshness.answered(number, 0), Some(10_000));
    freshness
}

#[parameterized(
    at_once = { 10_050, 0, 50 },
    the_leader_s_word_was_older = { 10_050, 300, 350 },
    the_answer_lay_in_a_socket = { 14_000, 0, 4_000 },
    both = { 14_000, 300, 4_300 },
)]
fn an_answer_counts_from_its_question_and_from_the_leader_s_word(read_at: u64, age: u64, old: u64) {
    let mut freshness = Freshness::new(0, STALE);
    let number = freshness.question(10_000);
    assert_eq!(freshness.answered(number, age), Some(10_000 - age));
    assert_eq!(freshness.age(read_at), old);
}

#[test]
fn an_answer_counts_once_and_only_to_what_was_asked() {
    let mut freshness = answered_at_10_s();
    assert_eq!(freshness.answered(1, 0), None, "the same once more");
    assert_eq!(freshness.answered(7, 0), None, "never asked");
    let (older, newer) = (freshness.question(11_000), freshness.question(12_000));
    assert_eq!((freshness.answered(newer, 0), freshness.answered(older, 0)), (Some(12_000), Some(11_000)));
    assert_eq!(freshness.age(12_000), 0, "a late answer makes nothing older");
}

#[test]
fn twice_as_many_are_asked_with_each_step() {
    let mut freshness = answered_at_10_s();
    for (now, width) in [(10_899, 0), (10_900, 2), (10_999, 2), (11_000, 4), (11_100, 8), (11_299, 16)] {
        assert_eq!(freshness.width(now), width, "at {now}");
    }
}

#[test]
fn an_answer_that_is_nearly_too_old_ends_no_search() {
    let mut freshness = answered_at_10_s();
    assert_eq!(freshness.width(10_900), 2);
    let number = freshness.question(10_950);
    let as_of = freshness.answered(number, 800).expect("it was asked");
    assert!(!freshness.is_recent(10_950, as_of));
    assert_eq!(freshness.width(11_000), 4);
    let number = freshness.question(11_050);
    let as_of = freshness.answered(number, 200).expect("it was asked");
    assert!(freshness.is_recent(11_050, as_of));
    assert_eq!(freshness.width(11_100), 0);
    assert_eq!(freshness.width(11_750), 2, "it begins anew");
}

#[test]
fn nobody_is_searched_where_nobody_answers_or_at_the_start() {
    let mut freshness = Freshness::new(0, STALE);
    assert_eq!(freshness.width(60_000), 0, "processes of an earlier version");
    freshness.understood();
    assert_eq!((freshness.width(1_999), freshness.width(2_000)), (0, 2));
}

#[parameterized(
    small_sites = { 2000, 900 },
    grown_sites = { 2500, 900 },
    shorter = { 1500, 550 },
    least = { 1450, 500 },
)]
fn the_age_follows_the_bound_and_keeps_it(bound: u64, age: u64) {
    assert_eq!(stale_after(bound), age);
    assert!(is_achievable(bound));
}

#[test]
fn a_bound_that_is_too_short_is_not_said_to_be_kept() {
    assert!(!is_achievable(MIN_BOUND_MS - 1));
    assert!(is_achievable(MIN_BOUND_MS));
}

fn answer(last_drain: u64, after: u64, missing: &[&str]) -> FreshnessAnswer {
    let missing = missing.iter().map(|id| (*id).to_owned()).collect();
    FreshnessAnswer { number: 1, age_ms: Some(0), last_drain, missing_after: after, missing }
}

#[test]
fn records_come_in_parts_and_nobody_who_has_fewer_takes_any_back() {
    let mut records = DrainRecords::default();
    let first = answer(3, 0, &["a", "b"]);
    assert_eq!(records.take(0, &first), ["a", "b"]);
    assert!(!records.is_complete(&first));
    let rest = answer(3, 2, &["c"]);
    assert_eq!(records.take(10, &rest), ["c"]);
    assert!(records.is_complete(&rest));
    assert!(records.take(20, &answer(1, 0, &[])).is_empty(), "one that has heard less");
    assert_eq!(records.last(), 3);
    assert!(records.take(30, &answer(3, 2, &["c"])).is_empty(), "the same once more");
}

#[test]
fn records_of_a_log_that_begins_anew_are_taken_after_a_while() {
    let mut records = DrainRecords::default();
    records.take(0, &answer(2, 0, &["a", "b"]));
    for now in [1_000, 3_000, 5_900] {
        assert!(records.take(now, &answer(1, 0, &["x"])).is_empty());
    }
    assert_eq!(records.take(6_000, &answer(1, 0, &["x"])), ["x"]);
    assert_eq!(records.last(), 1);
}
