//! Who counts among the data planes, in whatever order words about them come.

use protocol::Departure;
use registry::{Fleet, FleetFaults, SILENT_DATA_PLANE_TIMEOUT_MS};

/// Incarnations of one machine, in the order of their starts.
const FIRST: u64 = 71;
const SECOND: u64 = 12;

fn departed(name: &str, incarnation: u64) -> Departure {
    Departure { name: name.to_owned(), incarnation, ago_ms: 0 }
}

fn fleet_of(names: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    names.iter().for_each(|name| fleet.record_contact(0, name, FIRST));
    fleet
}

#[test]
fn one_that_departed_does_not_count_and_one_that_fell_silent_does() {
    let mut fleet = fleet_of(&["a", "b", "c"]);
    assert!(fleet.record_departure(1000, &departed("a", FIRST)));
    assert_eq!(fleet.size(), 2);
    fleet.record_contact(5000, "b", FIRST);
    fleet.sweep(SILENT_DATA_PLANE_TIMEOUT_MS - 1);
    assert_eq!(fleet.size(), 2, "c may be cut off and spend its slices");
    fleet.sweep(SILENT_DATA_PLANE_TIMEOUT_MS);
    assert_eq!(fleet.names().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn an_older_word_does_not_bring_back_one_that_departed() {
    let mut fleet = fleet_of(&["a", "b"]);
    assert!(fleet.record_departure(1000, &departed("a", FIRST)));
    assert!(!fleet.record_departure(1001, &departed("a", FIRST)), "the same again is no news");
    for late in [1002, 9000, 60_000] {
        fleet.record_contact(late, "a", FIRST);
        fleet.record_contact(late, "b", FIRST);
        fleet.sweep(late);
        assert_eq!(fleet.size(), 1);
    }
}

#[test]
fn a_departure_that_comes_first_or_late_concerns_its_own_incarnation_only() {
    let mut early = Fleet::default();
    assert!(early.record_departure(0, &departed("a", FIRST)));
    early.record_contact(1, "a", FIRST);
    assert_eq!(early.size(), 0);
    early.record_contact(2, "a", SECOND);
    assert_eq!(early.size(), 1);
    let mut late = fleet_of(&["a"]);
    late.record_contact(800, "a", SECOND);
    assert!(late.record_departure(900, &departed("a", FIRST)));
    assert_eq!(late.incarnations().collect::<Vec<_>>(), [("a", SECOND)]);
    late.record_contact(901, "a", FIRST);
    assert!(late.record_departure(2000, &departed("a", SECOND)));
    assert_eq!(late.size(), 0);
}

#[test]
fn several_incarnations_of_a_name_are_one() {
    let mut fleet = fleet_of(&["a", "b"]);
    // It was killed and said nothing.
    (0..100).for_each(|incarnation| fleet.record_contact(incarnation, "a", incarnation));
    assert_eq!((fleet.size(), fleet.names().count()), (2, 2));
}

#[test]
fn a_fleet_that_is_started_anew_is_as_large_as_it_was_for_those_who_ask_for_a_span() {
    let mut fleet = fleet_of(&["a", "b", "c"]);
    fleet.record_departure(1000, &departed("a", FIRST));
    fleet.record_departure(1500, &departed("b", FIRST));
    assert_eq!((fleet.size(), fleet.size_within(2000, 5000), fleet.size_within(6200, 5000)), (1, 3, 2));
    assert_eq!((fleet.index_within(2000, 5000, "c"), fleet.index_within(9000, 5000, "c")), (2, 0));
    fleet.record_contact(2500, "a", SECOND);
    assert_eq!((fleet.size(), fleet.size_within(2500, 5000)), (2, 3), "its name counts once");
}

#[test]
fn what_a_process_knows_of_departures_makes_another_one_know_the_same() {
    let mut fleet = fleet_of(&["a", "b", "c"]);
    fleet.record_departure(1000, &departed("a", FIRST));
    let told = fleet.departures(4000);
    assert_eq!(told, [Departure { name: "a".into(), incarnation: FIRST, ago_ms: 3000 }]);
    // Its clock began elsewhere.
    let mut other = fleet_of(&["a", "b"]);
    assert!(other.record_departure(100, &told[0]));
    assert_eq!((other.size(), other.size_within(100, 5000)), (1, 2));
}

#[test]
fn tables_stay_bounded() {
    let mut fleet = Fleet::default();
    for name in 0..9000 {
        fleet.record_contact(0, &name.to_string(), FIRST);
        fleet.record_departure(0, &departed(&format!("x{name}"), FIRST));
    }
    assert!(fleet.size() <= 4096 && fleet.departures(0).len() <= 4096);
    fleet.sweep(200_000);
    assert_eq!((fleet.size(), fleet.departures(200_000).len()), (0, 0));
}

#[test]
fn planted_faults_are_found() {
    let mut by_name = fleet_of(&["a"]);
    by_name.inject_faults(FleetFaults { departs_by_name: true, ..FleetFaults::default() });
    by_name.record_contact(800, "a", SECOND);
    by_name.record_departure(900, &departed("a", FIRST));
    assert_eq!(by_name.size(), 0, "the late departure frees the new incarnation");
    let mut forgets = fleet_of(&["a"]);
    forgets.inject_faults(FleetFaults { forgets_departures: true, ..FleetFaults::default() });
    forgets.record_departure(900, &departed("a", FIRST));
    forgets.record_contact(901, "a", FIRST);
    assert_eq!(forgets.size(), 1, "the older word brings it back");
}
