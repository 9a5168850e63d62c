//! Records of backends that leave, and how a table without a log keeps up with the leader's.

use registry::{DrainRun, DrainTable};

/// As many as a table keeps.
const KEPT: u64 = 4096;

fn table(records: u64) -> DrainTable {
    let mut table = DrainTable::default();
    (1..=records).for_each(|n| assert!(table.record(&format!("i-{n}"))));
    table
}

/// Asks until there is nothing more, in answers of so many records.
fn catch_up(follower: &mut DrainTable, leader: &DrainTable, most: usize) -> usize {
    let mut new = 0;
    for _ in 0..=KEPT {
        let run = leader.run_after(follower.last(), most);
        new += follower.apply_run(&run, leader.last()).len();
        if follower.last() == leader.last() {
            break;
        }
    }
    new
}

#[test]
fn a_follower_has_all_records_once_it_has_the_newest_number() {
    let (leader, mut follower) = (table(1000), DrainTable::default());
    assert_eq!(catch_up(&mut follower, &leader, 300), 1000);
    assert_eq!(follower.run(), leader.run());
    assert_eq!(catch_up(&mut follower, &table(1003), 300), 3);
    assert!(follower.contains("i-1003") && !follower.contains("i-1004"));
}

#[test]
fn answers_that_overlap_add_nothing_twice() {
    let (leader, mut follower) = (table(5), table(3));
    for _ in 0..3 {
        follower.apply_run(&leader.run_after(3, 10), 5);
        follower.apply_run(&leader.run_after(1, 10), 5);
    }
    assert_eq!(follower.run(), leader.run());
}

#[test]
fn old_records_are_dropped_and_who_lacks_them_goes_on_with_the_oldest_kept() {
    let (leader, mut follower) = (table(KEPT + 500), table(100));
    assert!(!leader.contains("i-500") && leader.contains("i-501"));
    assert_eq!(catch_up(&mut follower, &leader, 1000) as u64, KEPT);
    assert_eq!((follower.last(), follower.run()), (leader.last(), leader.run()));
}

#[test]
fn a_table_of_a_log_that_is_no_more_begins_anew() {
    let (leader, mut follower) = (table(2), table(40));
    catch_up(&mut follower, &leader, 10);
    assert_eq!(follower.run(), leader.run());
    assert!(!follower.contains("i-40"));
}

#[test]
fn a_table_comes_back_from_its_records_whatever_they_are() {
    let leader = table(7);
    assert_eq!(DrainTable::from_run(&leader.run()).run(), leader.run());
    let odd = DrainRun { after: u64::MAX, ids: vec!["i-1".into(), "i-1".into()] };
    let table = DrainTable::from_run(&odd);
    assert!(table.contains("i-1"));
    assert!(!table.run_after(3, 10).ids.is_empty());
}
