//! Whom a follower follows, by what it heard and when.

use protocol::Heartbeat;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use transport::PeerChoice;

fn at(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn course(masters: &[(u8, &str)]) -> PeerChoice {
    let mut course = PeerChoice::new(0, "edge-1", "a", None, vec![at(9)]);
    course.masters(masters.iter().map(|(number, zone)| (at(*number), (*zone).to_owned())));
    course
}

fn pulse(leader: u8, epoch: u64, fresh: bool) -> Heartbeat {
    Heartbeat { leader: Some(at(leader).to_string()), epoch, fresh, ..Heartbeat::default() }
}

#[test]
fn its_own_zone_first_then_the_others_then_those_that_failed() {
    let mut course = course(&[(1, "b"), (2, "a"), (3, "c")]);
    assert_eq!(course.choose(0), Some(at(2)));
    assert_eq!(course.choose(0), None, "one at a time");
    course.failed(10);
    let second = course.choose(10).expect("another one");
    assert_ne!(second, at(2));
    course.failed(20);
    course.choose(20);
    course.failed(30);
    course.choose(30);
    course.failed(40);
    // All have failed: the one that failed first is asked first, but not in a circle without a pause.
    assert_eq!(course.choose(50), None);
    assert_eq!(course.choose(210), Some(at(2)));
}

#[test]
fn silence_ends_it_and_a_word_in_time_does_not() {
    let mut course = course(&[(1, "a")]);
    course.choose(0);
    course.pulse(900, &pulse(1, 1, true));
    course.heard(900);
    assert!(!course.is_over(2200));
    assert!(course.is_over(2201));
}

#[test]
fn one_that_has_lost_the_leader_is_left_only_for_another() {
    let mut alone = PeerChoice::new(0, "edge-1", "a", None, vec![at(1)]);
    let mut choice = course(&[(1, "a"), (2, "a")]);
    for course in [&mut alone, &mut choice] {
        course.choose(0);
        course.pulse(100, &pulse(5, 2, true));
        course.heard(1200);
        course.pulse(1200, &pulse(5, 2, false));
    }
    assert!(!alone.is_over(1300), "its news is better than none");
    assert!(choice.is_over(1300));
}

#[test]
fn a_leader_of_old_is_not_believed_again() {
    let mut course = course(&[(1, "a"), (2, "a")]);
    course.choose(0);
    course.pulse(0, &pulse(1, 3, true));
    course.pulse(10, &pulse(2, 4, true));
    course.pulse(20, &pulse(1, 3, true));
    assert_eq!(course.leader(), Some(at(2)));
    course.pulse(30, &pulse(1, 5, false));
    assert_eq!(course.leader(), Some(at(2)), "who is cut off knows nothing of leaders");
}

#[test]
fn a_process_that_knows_nothing_waits_for_one_that_is_not_behind() {
    let mut course = course(&[(1, "a")]);
    course.choose(0);
    course.pulse(10, &pulse(1, 1, false));
    assert!(!course.may_begin(7000, 1));
    assert!(course.may_begin(8001, 1), "at last an old configuration is better than none");
    course.pulse(20, &pulse(1, 1, true));
    assert!(course.may_begin(30, 1));
}

#[test]
fn what_came_from_a_former_one_is_not_vouched_for_by_the_next() {
    let mut course = course(&[(1, "a")]);
    course.choose(0);
    course.pulse(10, &pulse(1, 1, false));
    course.failed(20);
    course.choose(300);
    // The next one says how new it is before its configuration comes.
    course.pulse(310, &Heartbeat { version: 9, ..pulse(1, 1, true) });
    assert!(!course.may_begin(320, 5), "r5 came from the one before");
    assert!(course.may_begin(320, 9));
}

#[test]
fn many_followers_spread_over_all() {
    let mut followed = BTreeMap::new();
    for number in 0..300 {
        let mut course = PeerChoice::new(0, &format!("edge-{number}"), "z", None, Vec::new());
        course.masters((1..=6).map(|number| (at(number), "a".to_owned())));
        *followed.entry(course.choose(0)).or_insert(0) += 1;
    }
    assert!(followed.len() == 6 && followed.values().all(|n| (25..=80).contains(n)), "{followed:?}");
}
