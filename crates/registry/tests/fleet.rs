//! Which data planes the fleet counts, with reports and departures in any order.
//!
//! The fleet is the set of data planes that may spend quota. A departure is the announcement of a data plane that
//! it has ended; an incarnation is one run of a data plane.

use protocol::Departure;
use registry::{Fleet, FleetFaults, SILENT_DATA_PLANE_TIMEOUT_MS};

/// Incarnations of one machine, in the order of their start. The numbers themselves are not ordered.
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
fn a_departed_data_plane_does_not_count_and_a_silent_one_does() {
    let mut fleet = fleet_of(&["a", "b", "c"]);
    assert!(fleet.record_departure(1000, &departed("a", FIRST)));
    assert_eq!(fleet.size(), 2);
    fleet.record_contact(5000, "b", FIRST);
    fleet.sweep(SILENT_DATA_PLANE_TIMEOUT_MS - 1);
    assert_eq!(fleet.size(), 2, "c may be isolated and spend its fallback slices");
    fleet.sweep(SILENT_DATA_PLANE_TIMEOUT_MS);
    assert_eq!(fleet.names().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn a_delayed_report_does_not_restore_a_departed_data_plane() {
    let mut fleet = fleet_of(&["a", "b"]);
    assert!(fleet.record_departure(1000, &departed("a", FIRST)));
    assert!(!fleet.record_departure(1001, &departed("a", FIRST)), "a repeated departure is not new");
    for late in [1002, 9000, 60_000] {
        fleet.record_contact(late, "a", FIRST);
        fleet.record_contact(late, "b", FIRST);
        fleet.sweep(late);
        assert_eq!(fleet.size(), 1);
    }
}

#[test]
fn an_early_or_late_departure_affects_only_its_own_incarnation() {
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
fn several_incarnations_of_a_name_count_once() {
    let mut fleet = fleet_of(&["a", "b"]);
    // Each incarnation was killed and announced no departure.
    (0..100).for_each(|incarnation| fleet.record_contact(incarnation, "a", incarnation));
    assert_eq!((fleet.size(), fleet.names().count()), (2, 2));
}

#[test]
fn a_rolling_restart_does_not_reduce_the_size_within_a_span() {
    let mut fleet = fleet_of(&["a", "b", "c"]);
    fleet.record_departure(1000, &departed("a", FIRST));
    fleet.record_departure(1500, &departed("b", FIRST));
    assert_eq!((fleet.size(), fleet.size_within(2000, 5000), fleet.size_within(6200, 5000)), (1, 3, 2));
    assert_eq!((fleet.index_within(2000, 5000, "c"), fleet.index_within(9000, 5000, "c")), (2, 0));
    fleet.record_contact(2500, "a", SECOND);
    assert_eq!((fleet.size(), fleet.size_within(2500, 5000)), (2, 3), "its name counts once");
}

#[test]
fn departures_can_be_transferred_to_another_process() {
    let mut fleet = fleet_of(&["a", "b", "c"]);
    fleet.record_departure(1000, &departed("a", FIRST));
    let departures = fleet.departures(4000);
    assert_eq!(departures, [Departure { name: "a".into(), incarnation: FIRST, ago_ms: 3000 }]);
    // The clock of the other process has a different origin.
    let mut other = fleet_of(&["a", "b"]);
    assert!(other.record_departure(100, &departures[0]));
    assert_eq!((other.size(), other.size_within(100, 5000)), (1, 2));
}

#[test]
fn the_number_of_names_and_departures_is_bounded() {
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
fn injected_faults_are_detected() {
    let mut by_name = fleet_of(&["a"]);
    by_name.inject_faults(FleetFaults { departs_by_name: true, ..FleetFaults::default() });
    by_name.record_contact(800, "a", SECOND);
    by_name.record_departure(900, &departed("a", FIRST));
    assert_eq!(by_name.size(), 0, "the late departure removes the new incarnation");
    let mut forgets = fleet_of(&["a"]);
    forgets.inject_faults(FleetFaults { forgets_departures: true, ..FleetFaults::default() });
    forgets.record_departure(900, &departed("a", FIRST));
    forgets.record_contact(901, "a", FIRST);
    assert_eq!(forgets.size(), 1, "the delayed report restores the data plane");
}
