//! Selection of the followed control plane, depending on its messages and their times.

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
fn the_own_zone_ranks_first_and_failed_control_planes_last() {
    let mut peer_choice = peer_choice(&[(1, "b"), (2, "a"), (3, "c")]);
    assert_eq!(peer_choice.next_to_dial(0), Some(at(2)));
    assert_eq!(peer_choice.next_to_dial(0), None, "only one control plane is followed at a time");
    peer_choice.mark_failed(10);
    let second = peer_choice.next_to_dial(10).expect("another control plane");
    assert_ne!(second, at(2));
    peer_choice.mark_failed(20);
    peer_choice.next_to_dial(20);
    peer_choice.mark_failed(30);
    peer_choice.next_to_dial(30);
    peer_choice.mark_failed(40);
    // All have failed: the one that failed first is dialed first, but only after the retry interval.
    assert_eq!(peer_choice.next_to_dial(50), None);
    assert_eq!(peer_choice.next_to_dial(210), Some(at(2)));
}

#[test]
fn a_control_plane_is_abandoned_only_after_the_silence_timeout() {
    let mut peer_choice = peer_choice(&[(1, "a")]);
    peer_choice.next_to_dial(0);
    peer_choice.on_heartbeat(900, &heartbeat(1, 1, true));
    peer_choice.record_message(900);
    assert!(!peer_choice.should_leave(2200));
    assert!(peer_choice.should_leave(2201));
}

#[test]
fn a_control_plane_without_leader_contact_is_abandoned_only_with_an_alternative() {
    let mut alone = PeerChoice::new(0, "edge-1", "a", None, vec![at(1)]);
    let mut choice = peer_choice(&[(1, "a"), (2, "a")]);
    for peer_choice in [&mut alone, &mut choice] {
        peer_choice.next_to_dial(0);
        peer_choice.on_heartbeat(100, &heartbeat(5, 2, true));
        peer_choice.record_message(1200);
        peer_choice.on_heartbeat(1200, &heartbeat(5, 2, false));
    }
    assert!(!alone.should_leave(1300), "outdated updates are better than none");
    assert!(choice.should_leave(1300));
}

#[test]
fn a_leader_of_an_older_term_is_ignored() {
    let mut peer_choice = peer_choice(&[(1, "a"), (2, "a")]);
    peer_choice.next_to_dial(0);
    peer_choice.on_heartbeat(0, &heartbeat(1, 3, true));
    peer_choice.on_heartbeat(10, &heartbeat(2, 4, true));
    peer_choice.on_heartbeat(20, &heartbeat(1, 3, true));
    assert_eq!(peer_choice.leader(), Some(at(2)));
    peer_choice.on_heartbeat(30, &heartbeat(1, 5, false));
    assert_eq!(peer_choice.leader(), Some(at(2)), "an isolated control plane cannot name a new leader");
}

#[test]
fn a_process_without_a_configuration_waits_for_an_up_to_date_control_plane() {
    let mut peer_choice = peer_choice(&[(1, "a")]);
    peer_choice.next_to_dial(0);
    peer_choice.on_heartbeat(10, &heartbeat(1, 1, false));
    assert!(!peer_choice.may_adopt_first_config(7000, 1));
    assert!(
        peer_choice.may_adopt_first_config(8001, 1),
        "after the delay an outdated configuration is better than none"
    );
    peer_choice.on_heartbeat(20, &heartbeat(1, 1, true));
    assert!(peer_choice.may_adopt_first_config(30, 1));
}

#[test]
fn a_configuration_from_a_previous_control_plane_is_not_confirmed_by_the_next() {
    let mut peer_choice = peer_choice(&[(1, "a")]);
    peer_choice.next_to_dial(0);
    peer_choice.on_heartbeat(10, &heartbeat(1, 1, false));
    peer_choice.mark_failed(20);
    peer_choice.next_to_dial(300);
    // The next control plane sends its heartbeat with its version before its configuration.
    peer_choice.on_heartbeat(310, &Heartbeat { version: 9, ..heartbeat(1, 1, true) });
    assert!(!peer_choice.may_adopt_first_config(320, 5), "r5 was sent by the previous control plane");
    assert!(peer_choice.may_adopt_first_config(320, 9));
}

#[test]
fn many_followers_spread_over_all_control_planes() {
    let mut followed = BTreeMap::new();
    for number in 0..300 {
        let mut peer_choice = PeerChoice::new(0, &format!("edge-{number}"), "z", None, Vec::new());
        peer_choice.set_control_planes((1..=6).map(|number| (at(number), "a".to_owned())));
        *followed.entry(peer_choice.next_to_dial(0)).or_insert(0) += 1;
    }
    assert!(followed.len() == 6 && followed.values().all(|n| (25..=80).contains(n)), "{followed:?}");
}

/// A follower whose control plane becomes isolated tries others until one is not isolated. The limit is the shortest
/// `drain_ms` of any deployment, counted from the last fresh heartbeat of the first control plane.
#[test]
fn a_second_isolated_control_plane_is_abandoned_soon() {
    const TICK_MS: u64 = 200;
    const ISOLATED_AT: u64 = 5000;
    for (name, sends_messages) in [("stale control planes", true), ("silent control planes", false)] {
        let mut peer_choice = peer_choice(&[(1, "a"), (2, "b"), (3, "c")]);
        let first = peer_choice.next_to_dial(0).expect("a control plane");
        let mut tried = vec![first];
        let mut found_at = None;
        for now in (0..20_000).step_by(50) {
            let following = peer_choice.following().expect("a followed control plane");
            // The first and the second control plane are isolated, the third is not.
            let is_fresh = tried.len() == 3 || (following == first && now <= ISOLATED_AT);
            if is_fresh || sends_messages || following == first {
                peer_choice.record_message(now);
                peer_choice.on_heartbeat(now, &heartbeat(9, 1, is_fresh));
            }
            if is_fresh && now > ISOLATED_AT {
                found_at = Some(now);
                break;
            }
            if now % TICK_MS == 0 && peer_choice.should_leave(now) {
                peer_choice.mark_failed(now);
                tried.extend(peer_choice.next_to_dial(now));
            }
        }
        assert!(found_at.is_some_and(|at| at < ISOLATED_AT + 2000), "{name}: found at {found_at:?}");
    }
}

/// After a start of the whole deployment no control plane sends a fresh heartbeat yet, and trying one after another
/// would load the starting processes.
#[test]
fn timeouts_are_not_shortened_before_the_first_fresh_heartbeat() {
    let mut peer_choice = peer_choice(&[(1, "a"), (2, "a")]);
    peer_choice.next_to_dial(0);
    assert!(!peer_choice.should_leave(900));
    peer_choice.record_message(10);
    peer_choice.on_heartbeat(10, &heartbeat(5, 2, false));
    assert!(!peer_choice.should_leave(900));
    assert!(peer_choice.should_leave(901));
}
