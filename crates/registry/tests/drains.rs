//! Drain records, and the synchronization of a table without a log with the leader's table.
//!
//! A drain record is the id of a backend that must receive no new requests. The Raft leader numbers the records; a
//! process without a Raft log copies them from the leader.

use registry::{DrainRun, DrainTable};

/// The number of records that a table keeps.
const MAX_RECORDS: u64 = 4096;

fn table(records: u64) -> DrainTable {
    let mut table = DrainTable::default();
    (1..=records).for_each(|n| assert!(table.record(&format!("i-{n}"))));
    table
}

/// Applies runs of up to `max_records` records until the follower has the leader's newest record. Returns the number
/// of records added.
fn catch_up(follower: &mut DrainTable, leader: &DrainTable, max_records: usize) -> usize {
    let mut added = 0;
    for _ in 0..=MAX_RECORDS {
        let run = leader.run_after(follower.last(), max_records);
        added += follower.apply_run(&run, leader.last()).len();
        if follower.last() == leader.last() {
            break;
        }
    }
    added
}

#[test]
fn a_follower_with_the_newest_number_has_all_records() {
    let (leader, mut follower) = (table(1000), DrainTable::default());
    assert_eq!(catch_up(&mut follower, &leader, 300), 1000);
    assert_eq!(follower.run(), leader.run());
    assert_eq!(catch_up(&mut follower, &table(1003), 300), 3);
    assert!(follower.contains("i-1003") && !follower.contains("i-1004"));
}

#[test]
fn overlapping_runs_add_no_duplicates() {
    let (leader, mut follower) = (table(5), table(3));
    for _ in 0..3 {
        follower.apply_run(&leader.run_after(3, 10), 5);
        follower.apply_run(&leader.run_after(1, 10), 5);
    }
    assert_eq!(follower.run(), leader.run());
}

#[test]
fn a_follower_that_lacks_dropped_records_continues_with_the_oldest_kept_one() {
    let (leader, mut follower) = (table(MAX_RECORDS + 500), table(100));
    assert!(!leader.contains("i-500") && leader.contains("i-501"));
    assert_eq!(catch_up(&mut follower, &leader, 1000) as u64, MAX_RECORDS);
    assert_eq!((follower.last(), follower.run()), (leader.last(), leader.run()));
}

#[test]
fn a_table_of_a_replaced_log_is_cleared() {
    let (leader, mut follower) = (table(2), table(40));
    catch_up(&mut follower, &leader, 10);
    assert_eq!(follower.run(), leader.run());
    assert!(!follower.contains("i-40"));
}

#[test]
fn a_table_is_restored_from_a_run_even_with_invalid_records() {
    let leader = table(7);
    assert_eq!(DrainTable::from_run(&leader.run()).run(), leader.run());
    let invalid = DrainRun { after: u64::MAX, ids: vec!["i-1".into(), "i-1".into()] };
    let table = DrainTable::from_run(&invalid);
    assert!(table.contains("i-1"));
    assert!(!table.run_after(3, 10).ids.is_empty());
}
