//! Whom a follower follows, by what it heard and when.

use protocol::Heartbeat;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use transport::PeerChoice;

fn at(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn peer_choice(control_planes: &[(u8, &str)]) -> PeerChoice {
    let mut peer_choice = PeerChoice::new(0, "edge-1", "a", None, vec![at(9)]);
    peer_choice
        .set_control_planes(control_planes.iter().map(|(number, zone)| (at(*number), (*zone).to_owned())));
    peer_choice
}

fn heartbeat(leader: u8, term: u64, fresh: bool) -> Heartbeat {
    Heartbeat { leader: Some(at(leader).to_string()), term, fresh, ..Heartbeat::default() }
}

#[test]
fn its_own_zone_first_then_the_others_then_those_that_failed() {
    let mut peer_choice = peer_choice(&[(1, "b"), (2, "a"), (3, "c")]);
    assert_eq!(peer_choice.next_to_dial(0), Some(at(2)));
    assert_eq!(peer_choice.next_to_dial(0), None, "one at a time");
    peer_choice.mark_failed(10);
    let second = peer_choice.next_to_dial(10).expect("another one");
    assert_ne!(second, at(2));
    peer_choice.mark_failed(20);
    peer_choice.next_to_dial(20);
    peer_choice.mark_failed(30);
    peer_choice.next_to_dial(30);
    peer_choice.mark_failed(40);
    // All have failed: the one that failed first is asked first, but not in a circle without a pause.
    assert_eq!(peer_choice.next_to_dial(50), None);
    assert_eq!(peer_choice.next_to_dial(210), Some(at(2)));
}

#[test]
fn silence_ends_it_and_a_word_in_time_does_not() {
    let mut peer_choice = peer_choice(&[(1, "a")]);
    peer_choice.next_to_dial(0);
    peer_choice.on_heartbeat(900, &heartbeat(1, 1, true));
    peer_choice.record_message(900);
    assert!(!peer_choice.should_leave(2200));
    assert!(peer_choice.should_leave(2201));
}

#[test]
fn one_that_has_lost_the_leader_is_left_only_for_another() {
    let mut alone = PeerChoice::new(0, "edge-1", "a", None, vec![at(1)]);
    let mut choice = peer_choice(&[(1, "a"), (2, "a")]);
    for peer_choice in [&mut alone, &mut choice] {
        peer_choice.next_to_dial(0);
        peer_choice.on_heartbeat(100, &heartbeat(5, 2, true));
        peer_choice.record_message(1200);
        peer_choice.on_heartbeat(1200, &heartbeat(5, 2, false));
    }
    assert!(!alone.should_leave(1300), "its news is better than none");
    assert!(choice.should_leave(1300));
}

#[test]
fn a_leader_of_old_is_not_believed_again() {
    let mut peer_choice = peer_choice(&[(1, "a"), (2, "a")]);
    peer_choice.next_to_dial(0);
    peer_choice.on_heartbeat(0, &heartbeat(1, 3, true));
    peer_choice.on_heartbeat(10, &heartbeat(2, 4, true));
    peer_choice.on_heartbeat(20, &heartbeat(1, 3, true));
    assert_eq!(peer_choice.leader(), Some(at(2)));
    peer_choice.on_heartbeat(30, &heartbeat(1, 5, false));
    assert_eq!(peer_choice.leader(), Some(at(2)), "who is cut off knows nothing of leaders");
}

#[test]
fn a_process_that_knows_nothing_waits_for_one_that_is_not_behind() {
    let mut peer_choice = peer_choice(&[(1, "a")]);
    peer_choice.next_to_dial(0);
    peer_choice.on_heartbeat(10, &heartbeat(1, 1, false));
    assert!(!peer_choice.may_adopt_first_config(7000, 1));
    assert!(peer_choice.may_adopt_first_config(8001, 1), "at last an old configuration is better than none");
    peer_choice.on_heartbeat(20, &heartbeat(1, 1, true));
    assert!(peer_choice.may_adopt_first_config(30, 1));
}

#[test]
fn what_came_from_a_former_one_is_not_vouched_for_by_the_next() {
    let mut peer_choice = peer_choice(&[(1, "a")]);
    peer_choice.next_to_dial(0);
    peer_choice.on_heartbeat(10, &heartbeat(1, 1, false));
    peer_choice.mark_failed(20);
    peer_choice.next_to_dial(300);
    // The next one says how new it is before its configuration comes.
    peer_choice.on_heartbeat(310, &Heartbeat { version: 9, ..heartbeat(1, 1, true) });
    assert!(!peer_choice.may_adopt_first_config(320, 5), "r5 came from the one before");
    assert!(peer_choice.may_adopt_first_config(320, 9));
}

#[test]
fn many_followers_spread_over_all() {
    let mut followed = BTreeMap::new();
    for number in 0..300 {
        let mut peer_choice = PeerChoice::new(0, &format!("edge-{number}"), "z", None, Vec::new());
        peer_choice.set_control_planes((1..=6).map(|number| (at(number), "a".to_owned())));
        *followed.entry(peer_choice.next_to_dial(0)).or_insert(0) += 1;
    }
    assert!(followed.len() == 6 && followed.values().all(|n| (25..=80).contains(n)), "{followed:?}");
}

/// Whoever follows a process that is cut off goes on until it has one that is not: within the shortest `drain_ms` of the
/// deployments, counted from the last word of that process which was of this moment.
#[test]
fn the_second_that_is_cut_off_is_left_soon() {
    const TICK: u64 = 200;
    const CUT_AT: u64 = 5000;
    for (name, speaks) in [("one that is behind", true), ("one that says nothing", false)] {
        let mut peer_choice = peer_choice(&[(1, "a"), (2, "b"), (3, "c")]);
        let first = peer_choice.next_to_dial(0).expect("one");
        let mut tried = vec![first];
        let mut found_at = None;
        for now in (0..20_000).step_by(50) {
            let following = peer_choice.following().expect("somebody");
            // The first is cut off, the second is too, the third is well.
            let well = tried.len() == 3 || (following == first && now <= CUT_AT);
            if well || speaks || following == first {
                peer_choice.record_message(now);
                peer_choice.on_heartbeat(now, &heartbeat(9, 1, well));
            }
            if well && now > CUT_AT {
                found_at = Some(now);
                break;
            }
            if now % TICK == 0 && peer_choice.should_leave(now) {
                peer_choice.mark_failed(now);
                tried.extend(peer_choice.next_to_dial(now));
            }
        }
        assert!(found_at.is_some_and(|at| at < CUT_AT + 2000), "{name}: found at {found_at:?}");
    }
}

/// After a start of the whole system nobody has a word of this moment, and going round costs those that start.
#[test]
fn before_the_first_word_of_this_moment_nobody_is_left_sooner() {
    let mut peer_choice = peer_choice(&[(1, "a"), (2, "a")]);
    peer_choice.next_to_dial(0);
    assert!(!peer_choice.should_leave(900));
    peer_choice.record_message(10);
    peer_choice.on_heartbeat(10, &heartbeat(5, 2, false));
    assert!(!peer_choice.should_leave(900));
    assert!(peer_choice.should_leave(901));
}
