//! Merging of reports about backends, in any order and with duplicates.

use protocol::{Backend, Departure, Phase};
use registry::{BackendRegistry, DrainOutcome, Fleet, MergeOutcome};
use yare::parameterized;

const HEARTBEAT_INTERVAL_MS: u64 = 1300;

fn backend(id: &str, address: &str, phase: Phase, calls: u64) -> Backend {
    Backend {
        id: id.into(),
        service: "s".into(),
        address: address.into(),
        zone: "a".into(),
        generation: "v1".into(),
        capacity: 6,
        phase,
        warmup_left_ms: 3000,
        call_count: calls,
        overdue: false,
    }
}

fn phase(register: &BackendRegistry, id: &str) -> Option<Phase> {
    register.all_including_gone(0).iter().find(|b| b.id == id).map(|b| b.phase)
}

#[parameterized(
    in_order = { &[0, 1, 2] },
    backwards = { &[2, 1, 0] },
    repeated = { &[1, 0, 1, 2, 0, 2] },
    drain_last = { &[0, 2, 1] },
)]
fn order_and_repeats_do_not_matter(order: &[usize]) {
    let reports = [(Phase::Serving, 3), (Phase::Draining, 7), (Phase::Serving, 5)];
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    for &at in order {
        let (phase, calls) = reports[at];
        register.record_heartbeat(10, backend("i-1", "10.0.0.1:80", phase, calls));
    }
    let known = register.active(10);
    assert_eq!((known[0].phase, known[0].call_count), (Phase::Draining, 7));
}

#[test]
fn a_late_heartbeat_does_not_restore_a_departed_backend() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    register.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Draining, 4));
    assert!(matches!(register.record_departure(5, "i-1"), MergeOutcome::Changed(_)));
    assert_eq!(
        register.record_heartbeat(6, backend("i-1", "10.0.0.1:80", Phase::Serving, 9)),
        MergeOutcome::Refreshed
    );
    assert!(register.active(6).is_empty());
    assert_eq!(register.record_departure(7, "i-2"), MergeOutcome::Ignored);
}

#[test]
fn an_unchanged_heartbeat_is_reported_once_per_round_only() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    assert!(matches!(
        register.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Serving, 1)),
        MergeOutcome::Changed(_)
    ));
    assert_eq!(register.take_heartbeats(), vec![("i-1".to_owned(), 1)]);
    assert_eq!(
        register.record_heartbeat(900, backend("i-1", "10.0.0.1:80", Phase::Serving, 2)),
        MergeOutcome::Refreshed
    );
    assert_eq!(register.take_heartbeats(), vec![("i-1".to_owned(), 2)]);
    assert_eq!(register.take_heartbeats(), vec![]);
}

#[test]
fn missed_heartbeats_make_a_backend_overdue_until_another_process_receives_one() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    register.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Serving, 1));
    assert!(register.sweep(3 * HEARTBEAT_INTERVAL_MS).overdue.is_empty(), "a heartbeat may still arrive");
    let overdue = register.sweep(3 * HEARTBEAT_INTERVAL_MS + 800).overdue;
    assert!(overdue.len() == 1 && overdue[0].overdue && overdue[0].phase == Phase::Serving);
    assert!(
        register.merge_heartbeats(5000, &[("i-1".into(), 1)]).is_empty(),
        "a repeated call count does not show that the backend is alive"
    );
    let recovered = register.merge_heartbeats(5000, &[("i-1".into(), 2)]);
    assert!(recovered.len() == 1 && !recovered[0].overdue);
}

#[test]
fn a_silent_backend_is_left_out_after_a_minute_and_forgotten_after_another() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    let heartbeat = backend("i-1", "10.0.0.1:80", Phase::Serving, 1);
    register.record_heartbeat(0, heartbeat.clone());
    register.sweep(10_000);
    assert!(register.sweep(59_999).silent.is_empty());
    assert_eq!(register.sweep(60_000).silent[0].id, "i-1");
    assert!(register.active(60_000).is_empty());
    assert!(
        register.merge_reports(119_000, vec![heartbeat.clone()]).is_empty(),
        "an old report refutes nothing"
    );
    assert!(register.active(119_000).is_empty());
    register.sweep(130_000);
    assert_eq!(register.merge_reports(130_000, vec![heartbeat]).len(), 1, "the backend is forgotten");
}

/// Guards against a process that was cut off for a minute: on its return, its silence ended all backends for good at all
/// processes.
#[test]
fn the_silence_that_one_process_notices_ends_no_backend() {
    let (mut isolated, mut connected) =
        (BackendRegistry::new(HEARTBEAT_INTERVAL_MS), BackendRegistry::new(HEARTBEAT_INTERVAL_MS));
    for register in [&mut isolated, &mut connected] {
        register.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Serving, 1));
    }
    connected.record_heartbeat(61_500, backend("i-1", "10.0.0.1:80", Phase::Serving, 48));
    assert_eq!(isolated.sweep(62_000).silent.len(), 1);
    assert!(connected.merge_reports(62_000, isolated.all_including_gone(62_000)).is_empty());
    assert_eq!(phase(&connected, "i-1"), Some(Phase::Serving));
    // A report and a forwarded heartbeat refute the silence alike.
    let refuted = isolated.merge_reports(62_000, connected.all_including_gone(62_000));
    assert!(refuted.len() == 1 && refuted[0].phase == Phase::Serving && !refuted[0].overdue, "{refuted:?}");
    assert_eq!(isolated.sweep(122_000).silent.len(), 1);
    let refuted = isolated.merge_heartbeats(123_000, &[("i-1".into(), 49)]);
    assert!(refuted.len() == 1 && refuted[0].phase == Phase::Serving && !refuted[0].overdue, "{refuted:?}");
    assert_eq!(isolated.active(123_000).len(), 1);
}

#[test]
fn a_process_without_contact_concludes_nothing_from_silence() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    register.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Serving, 1));
    for now in (1_000..=300_000).step_by(1_000) {
        register.disregard_silence(now);
        assert!(register.sweep(now).silent.is_empty());
    }
    assert!(register.sweep(359_000).silent.is_empty(), "the silence counts from the return of contact");
    assert_eq!(register.sweep(360_000).silent.len(), 1);
}

#[test]
fn an_announced_end_or_drain_outlasts_a_silence() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    register.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Draining, 3));
    register.record_heartbeat(0, backend("i-2", "10.0.0.2:80", Phase::Serving, 3));
    assert_eq!(register.sweep(60_000).silent.len(), 2);
    // The first instance is heard again, the end of the second one was announced elsewhere.
    register.record_heartbeat(61_000, backend("i-1", "10.0.0.1:80", Phase::Serving, 4));
    assert_eq!(phase(&register, "i-1"), Some(Phase::Draining));
    let ended = register.merge_reports(61_000, vec![backend("i-2", "10.0.0.2:80", Phase::Gone, 3)]);
    assert_eq!(ended.len(), 1);
    register.record_heartbeat(62_000, backend("i-2", "10.0.0.2:80", Phase::Serving, 9));
    assert_eq!(phase(&register, "i-2"), Some(Phase::Gone));
}

#[test]
fn a_reused_address_ends_the_previous_instance_unless_its_last_heartbeat_is_recent() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    register.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Serving, 5));
    register.record_heartbeat(100, backend("i-0", "10.0.0.1:80", Phase::Serving, 1));
    assert_eq!(
        phase(&register, "i-1"),
        Some(Phase::Serving),
        "a delayed report about an older instance ends no other instance"
    );
    register.record_heartbeat(4000, backend("i-2", "10.0.0.1:80", Phase::Serving, 1));
    assert_eq!(phase(&register, "i-1"), Some(Phase::Gone));
    assert_eq!(phase(&register, "i-2"), Some(Phase::Serving));
}

#[test]
fn remaining_warm_up_time_counts_from_its_report() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    register.record_heartbeat(1000, backend("i-1", "10.0.0.1:80", Phase::Serving, 1));
    assert_eq!(register.active(2500)[0].warmup_left_ms, 1500);
    assert_eq!(register.active(9000)[0].warmup_left_ms, 0);
}

#[test]
fn two_registries_that_exchange_reports_agree() {
    let (mut one, mut other) =
        (BackendRegistry::new(HEARTBEAT_INTERVAL_MS), BackendRegistry::new(HEARTBEAT_INTERVAL_MS));
    one.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Serving, 1));
    other.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Draining, 2));
    other.record_heartbeat(0, backend("i-2", "10.0.0.2:80", Phase::Serving, 1));
    other.record_departure(1, "i-2");
    let (ours, theirs) = (one.all_including_gone(2), other.all_including_gone(2));
    assert_eq!(one.merge_reports(2, theirs).len(), 2);
    assert!(other.merge_reports(2, ours).is_empty(), "older reports change nothing");
    assert_eq!(one.all_including_gone(3), other.all_including_gone(3));
}

#[test]
fn a_silent_data_plane_counts_until_its_timeout() {
    let mut fleet = Fleet::default();
    for (at, name) in ["b", "a", "c"].into_iter().enumerate() {
        fleet.record_contact(at as u64, name, 1);
    }
    assert_eq!((fleet.size(), fleet.index_within(2, 0, "a"), fleet.index_within(2, 0, "c")), (3, 0, 2));
    fleet.record_contact(20_000, "a", 2);
    assert!(!fleet.sweep(29_000) && fleet.sweep(31_000));
    assert_eq!(fleet.names().collect::<Vec<_>>(), ["a"]);
    // A departed data plane does not count; the departure of an earlier incarnation has no effect.
    let departure = |incarnation| Departure { name: "a".into(), incarnation, ago_ms: 0 };
    fleet.record_departure(31_000, &departure(1));
    assert_eq!(fleet.size(), 1);
    fleet.record_departure(31_000, &departure(2));
    assert_eq!(fleet.size(), 0);
}

#[test]
fn a_state_from_another_process_is_announced_once_the_backend_itself_reports_it() {
    let reported = |phase, calls| backend("i-1", "10.0.0.1:80", phase, calls);
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    assert_eq!(register.merge_reports(0, vec![reported(Phase::Serving, 1)]).len(), 1);
    // The first heartbeat here is announced: the reporting process may have reached only a few others.
    assert!(matches!(register.record_heartbeat(5, reported(Phase::Serving, 2)), MergeOutcome::Changed(_)));
    assert_eq!(register.record_heartbeat(6, reported(Phase::Serving, 3)), MergeOutcome::Refreshed);
    register.merge_reports(7, vec![reported(Phase::Draining, 4)]);
    let MergeOutcome::Changed(changed) = register.record_heartbeat(8, reported(Phase::Draining, 5)) else {
        panic!("the phase change was not announced")
    };
    assert_eq!(changed[0].phase, Phase::Draining);
    assert_eq!(register.record_heartbeat(9, reported(Phase::Draining, 6)), MergeOutcome::Refreshed);
    register.merge_reports(10, vec![reported(Phase::Gone, 7)]);
    assert!(
        matches!(register.record_departure(11, "i-1"), MergeOutcome::Changed(_)),
        "the end of the backend is announced too"
    );
    assert_eq!(register.record_departure(12, "i-1"), MergeOutcome::Refreshed);
}

#[test]
fn a_backend_without_an_address_is_not_added() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    assert_eq!(register.merge_reports(0, vec![backend("i-1", "", Phase::Draining, 0)]), []);
    assert!(register.all_including_gone(0).is_empty());
}

#[test]
fn a_backend_with_a_drain_record_never_serves_again_regardless_of_reports() {
    let mut register = BackendRegistry::new(HEARTBEAT_INTERVAL_MS);
    register.record_heartbeat(0, backend("i-1", "10.0.0.1:80", Phase::Serving, 1));
    let drained = register.record_drains(&["i-1".to_owned(), "i-2".to_owned()]);
    assert_eq!((drained.changed[0].phase, drained.unknown), (Phase::Draining, vec!["i-2".to_owned()]));
    assert_eq!(register.unknown_draining(), ["i-2"]);
    for id in ["i-1", "i-2"] {
        register.record_heartbeat(1, backend(id, &format!("10.0.0.{id}:80"), Phase::Serving, 9));
        assert_eq!(phase(&register, id), Some(Phase::Draining), "{id}");
    }
    assert_eq!(register.record_drains(&["i-1".to_owned()]), DrainOutcome::default());
    assert!(register.unknown_draining().is_empty());
}
