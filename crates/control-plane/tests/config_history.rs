//! The configurations that were taken: what becomes of a change, and of the same one again.

use bitcode::Encode;
use control_plane::snapshot_format::{Format, TAG, matching_formats};
use control_plane::{
    Change, ConfigHistory, DrainEntry, LogPosition, QuotaCheckpoint, SnapshotState, Verdict,
};
use registry::DrainRun;
use std::collections::BTreeMap;

fn change(base: u64, version: u64, digest: u8) -> Change {
    Change { base, version, digest: [digest; 32], body: vec![digest] }
}

#[test]
fn two_changes_on_one_version_are_not_both_taken() {
    let mut config_history = ConfigHistory::default();
    assert_eq!(config_history.apply(LogPosition::default(), change(0, 3, 1)), Verdict::Accepted);
    assert_eq!(config_history.apply(LogPosition::default(), change(3, 5, 2)), Verdict::Accepted);
    assert_eq!(config_history.apply(LogPosition::default(), change(3, 6, 3)), Verdict::Stale { current: 5 });
    assert_eq!(config_history.body(), Some([2].as_slice()));
}

#[test]
fn the_same_configuration_again_is_taken_also_after_newer_ones() {
    let mut config_history = ConfigHistory::default();
    config_history.apply(LogPosition::default(), change(0, 3, 1));
    config_history.apply(LogPosition::default(), change(3, 5, 2));
    assert_eq!(config_history.apply(LogPosition::default(), change(0, 3, 1)), Verdict::AlreadyAccepted);
    assert_eq!(config_history.version(), 5, "and does not come back into force");
    // Another body under a number that is taken is another configuration.
    assert_eq!(config_history.apply(LogPosition::default(), change(0, 3, 9)), Verdict::Stale { current: 5 });
    assert_eq!(
        config_history.apply(LogPosition::default(), change(5, 5, 9)),
        Verdict::VersionNotHigher { current: 5 }
    );
    assert_eq!(
        config_history.apply(LogPosition::default(), change(5, 4, 9)),
        Verdict::VersionNotHigher { current: 5 }
    );
}

#[test]
fn before_the_first_there_is_nothing_to_read() {
    let config_history = ConfigHistory::default();
    assert_eq!((config_history.body(), config_history.version()), (None, 0));
    // r4 may be on its way through the log: a refusal would not hold.
    assert_eq!(config_history.evaluate(4, 5, &[0; 32]), Verdict::BaseAhead { base: 4, current: 0 });
}

#[yare::parameterized(
    repeated = { 0, 3, 1, Verdict::AlreadyAccepted },
    repeated_on_another_base = { 9, 3, 1, Verdict::AlreadyAccepted },
    base_before = { 0, 9, 9, Verdict::Stale { current: 5 } },
    base_and_number_before = { 0, 2, 9, Verdict::Stale { current: 5 } },
    another_of_the_newest_number = { 5, 5, 9, Verdict::VersionNotHigher { current: 5 } },
    base_to_come = { 7, 9, 9, Verdict::BaseAhead { base: 7, current: 5 } },
    base_to_come_and_number_before = { 7, 4, 9, Verdict::VersionNotHigher { current: 5 } },
    base_to_come_and_number_below_it = { 7, 6, 9, Verdict::BaseAhead { base: 7, current: 5 } },
    proper = { 5, 6, 9, Verdict::Accepted },
)]
fn a_verdict_is_final_if_no_later_entry_can_change_it(base: u64, version: u64, digest: u8, verdict: Verdict) {
    let mut config_history = ConfigHistory::default();
    config_history.apply(LogPosition::default(), change(0, 3, 1));
    config_history.apply(LogPosition::default(), change(3, 5, 2));
    assert_eq!(config_history.evaluate(base, version, &[digest; 32]), verdict);
    // Whatever comes into force next, a refusal stays one, and what was taken stays acknowledged.
    for next in [6, 7, 8, 9, 20] {
        let mut later = config_history.clone();
        assert_eq!(later.apply(LogPosition::default(), change(5, next, 7)), Verdict::Accepted);
        let then = later.evaluate(base, version, &[digest; 32]);
        let taken = verdict == Verdict::AlreadyAccepted;
        assert!(
            !verdict.is_final()
                || verdict == Verdict::Accepted
                || then.is_final() && taken == (then == verdict)
        );
        assert!(!verdict.is_final() || verdict == Verdict::Accepted || then != Verdict::Accepted);
    }
}

/// As many versions as a history remembers by their digests.
const REMEMBERED: u64 = 4096;

fn config_history_up_to(newest: u64) -> ConfigHistory {
    let mut config_history = ConfigHistory::default();
    for version in 1..=newest {
        let digest = [version as u8; 32];
        config_history
            .apply(LogPosition::default(), Change { base: version - 1, version, digest, body: vec![1] });
    }
    config_history
}

#[test]
fn an_order_that_was_taken_is_never_refused_however_many_others_came_after_it() {
    let repeated = |newest: u64| {
        let config_history =
            ConfigHistory::restore(&config_history_up_to(newest).snapshot()).expect("a history");
        config_history.evaluate(1, 2, &[2; 32])
    };
    assert_eq!(repeated(REMEMBERED + 1), Verdict::AlreadyAccepted);
    assert_eq!(repeated(REMEMBERED + 2), Verdict::DigestEvicted { oldest: 3 });
    assert_eq!(repeated(2 * REMEMBERED), Verdict::DigestEvicted { oldest: REMEMBERED + 1 });
    // What is remembered is refused as before.
    let config_history = config_history_up_to(REMEMBERED + 2);
    assert_eq!(config_history.evaluate(2, 3, &[9; 32]), Verdict::Stale { current: REMEMBERED + 2 });
}

#[test]
fn a_full_memory_of_digests_takes_little_of_a_snapshot() {
    let bytes = config_history_up_to(3 * REMEMBERED).snapshot().len();
    println!("{bytes} bytes");
    assert!(bytes < 150_000, "{bytes}");
}

#[test]
fn what_a_snapshot_holds_is_all_of_it() {
    let mut config_history = ConfigHistory::default();
    for version in 1..=20 {
        config_history.apply(LogPosition::default(), change(version - 1, version, version as u8));
    }
    let bytes = bitcode::encode(&config_history);
    let mut again: ConfigHistory = bitcode::decode(&bytes).expect("a history");
    assert_eq!(again, config_history);
    assert_eq!(again.apply(LogPosition::default(), change(3, 4, 4)), Verdict::AlreadyAccepted);
}

#[test]
fn former_bodies_are_kept_as_long_as_there_is_room() {
    let mut config_history = ConfigHistory::default();
    for version in 1..=12 {
        let at = LogPosition { index: version + 7, epoch: 2 };
        // The 6th leaves no room for others beside it.
        let body = vec![version as u8; if version == 6 { 1_048_576 } else { 10 }];
        let change = Change { base: version - 1, version, digest: [version as u8; 32], body };
        assert_eq!(config_history.apply(at, change), Verdict::Accepted);
        if version == 7 {
            assert_eq!((1..=7).filter(|v| config_history.body_of(*v).is_some()).collect::<Vec<_>>(), [6, 7]);
        }
    }
    assert_eq!(
        (1..=13).filter(|v| config_history.body_of(*v).is_some()).collect::<Vec<_>>(),
        [7, 8, 9, 10, 11, 12]
    );
    let newest = config_history.history().next().map(|(version, digest, at)| (version, digest[0], at));
    assert_eq!(
        (newest, config_history.history().count()),
        (Some((12, 12, LogPosition { index: 19, epoch: 2 })), 12)
    );
}

/// What makes the newest configuration out of the one before is short, whatever their lengths.
#[test]
fn the_body_before_the_newest_is_there_however_long_it_is() {
    let mut config_history = ConfigHistory::default();
    for version in 1..=4 {
        let body = vec![version as u8; 3 << 20];
        let change = Change { base: version - 1, version, digest: [version as u8; 32], body };
        assert_eq!(config_history.apply(LogPosition::default(), change), Verdict::Accepted);
    }
    let kept: Vec<_> = (1..=4).filter(|version| config_history.body_of(*version).is_some()).collect();
    assert_eq!(kept, [3, 4]);
    assert!(config_history.snapshot().len() < 4 << 20, "a snapshot holds one of them");
    let restored = ConfigHistory::restore(&config_history.snapshot()).expect("a history");
    assert_eq!((restored.version(), restored.body_of(3)), (4, None));
}

fn checkpoint(floors: &[(&str, u32)], fleet_size: u32) -> QuotaCheckpoint {
    QuotaCheckpoint {
        floors: floors.iter().map(|(tenant, units)| ((*tenant).to_owned(), *units)).collect(),
        fleet_size,
    }
}

#[test]
fn marks_are_told_from_changes_and_the_newest_count() {
    let mut config_history = ConfigHistory::default();
    for marks in [checkpoint(&[("a", 5), ("b", 7)], 13), checkpoint(&[("a", 0), ("c", 1)], 12)] {
        let entry = marks.to_entry();
        assert!(Change::decode(&entry).is_err());
        config_history.apply_checkpoint(QuotaCheckpoint::decode(&entry).expect("marks").expect("whole"));
    }
    let floors: Vec<_> =
        config_history.floors().iter().map(|(tenant, units)| (tenant.as_str(), *units)).collect();
    assert_eq!((floors, config_history.fleet_size()), (vec![("b", 7), ("c", 1)], 12));
    let again = ConfigHistory::restore(&bitcode::encode(&config_history)).expect("a history");
    assert_eq!(again, config_history);
    assert!(QuotaCheckpoint::decode(&bitcode::encode(&change(1, 2, 3))).is_none());
    assert!(
        QuotaCheckpoint::decode(&entry_cut(&checkpoint(&[("a", 5)], 3))).is_some_and(|marks| marks.is_err())
    );
}

fn entry_cut(marks: &QuotaCheckpoint) -> Vec<u8> {
    let mut entry = marks.to_entry();
    entry.pop();
    entry
}

/// A snapshot as the versions before marks wrote it.
#[derive(Encode)]
struct WithBodies {
    version: u64,
    body: Vec<u8>,
    digests: BTreeMap<u64, [u8; 32]>,
    places: BTreeMap<u64, LogPosition>,
    bodies: BTreeMap<u64, Vec<u8>>,
}

/// ... and those before bodies were kept.
#[derive(Encode)]
struct Bare {
    version: u64,
    body: Vec<u8>,
    digests: BTreeMap<u64, [u8; 32]>,
}

#[test]
fn a_snapshot_of_the_version_before_is_read() {
    let former = WithBodies {
        version: 3,
        body: vec![9],
        digests: [(3, [1; 32])].into(),
        places: [(3, LogPosition { index: 8, epoch: 2 })].into(),
        bodies: [(2, vec![4])].into(),
    };
    let config_history = ConfigHistory::restore(&bitcode::encode(&former)).expect("a history");
    assert_eq!(
        (config_history.version(), config_history.body(), config_history.body_of(2)),
        (3, Some(&[9][..]), Some(&[4][..]))
    );
    assert!(config_history.floors().is_empty() && config_history.fleet_size() == 0);
    let bare = Bare { version: 3, body: vec![9], digests: [(3, [1; 32])].into() };
    let config_history = ConfigHistory::restore(&bitcode::encode(&bare)).expect("a history");
    assert_eq!(
        (config_history.version(), config_history.body(), config_history.body_of(2)),
        (3, Some(&[9][..]), None)
    );
}

/// Numbers of all magnitudes: `bitcode` packs each in as few bytes as its column allows.
fn drawn_number(random: &mut u64) -> u64 {
    *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    let bits = (*random >> 58) as u32;
    (*random >> 5).checked_shr(bits).unwrap_or(0)
}

fn drawn_state(random: &mut u64) -> Vec<Vec<u8>> {
    let mut number = || drawn_number(random);
    let bytes =
        |number: u64| number.to_be_bytes().repeat(1 + number as usize % 9)[number as usize % 8..].to_vec();
    let version = number();
    let body = bytes(number());
    let versions: Vec<u64> = (0..number() % 5).map(|_| number()).collect();
    let digests: BTreeMap<_, _> = versions.iter().map(|version| (*version, [number() as u8; 32])).collect();
    let places: BTreeMap<_, _> =
        versions.iter().map(|version| (*version, LogPosition { index: number(), epoch: number() })).collect();
    let bodies: BTreeMap<_, _> = versions.iter().map(|version| (*version, bytes(number()))).collect();
    let mut config_history = ConfigHistory::default();
    let digest = [number() as u8; 32];
    config_history.apply(
        LogPosition { index: number(), epoch: number() },
        Change { base: 0, version, digest, body: body.clone() },
    );
    let floors = (0..number() % 4).map(|_| (format!("t{}", number()), number() as u32)).collect();
    config_history.apply_checkpoint(QuotaCheckpoint { floors, fleet_size: number() as u32 });
    let floored = config_history.snapshot();
    let tagged = [TAG, &floored].concat();
    let with_bodies = WithBodies { version, body: body.clone(), digests: digests.clone(), places, bodies };
    let bare = Bare { version, body, digests };
    vec![tagged, floored, bitcode::encode(&with_bodies), bitcode::encode(&bare)]
}

const WRITTEN: [Format; 4] = [Format::Tagged, Format::WithFloors, Format::WithBodies, Format::Bare];

#[test]
fn no_reader_of_snapshots_takes_the_bytes_of_another_format() {
    let mut random = 7;
    for round in 0..4_000 {
        for (state, format) in drawn_state(&mut random).iter().zip(WRITTEN) {
            assert_eq!(matching_formats(state), [format], "round {round}: {state:?}");
        }
    }
}

/// A state with records of backends that leave is read by this version only; one without them is as it was before.
#[test]
fn states_with_and_without_records_of_backends_are_told_apart() {
    let mut random = 23;
    let mut config_history = ConfigHistory::default();
    config_history.apply_checkpoint(QuotaCheckpoint { floors: vec![("t".into(), 3)], fleet_size: 9 });
    assert_eq!(
        SnapshotState::snapshot(&config_history, Some(DrainRun::default())),
        config_history.snapshot()
    );
    assert_eq!(SnapshotState::snapshot(&config_history, None), config_history.snapshot());
    for round in 0..400 {
        let ids = (0..1 + round % 5).map(|_| format!("i-{}", drawn_number(&mut random))).collect();
        let drains = DrainRun { after: drawn_number(&mut random), ids };
        let state = SnapshotState::snapshot(&config_history, Some(drains.clone()));
        assert_eq!(matching_formats(&state), [], "round {round}");
        let read = SnapshotState::restore(&state).expect("what it wrote");
        assert_eq!(read, SnapshotState { config_history: config_history.clone(), drains });
        assert!(SnapshotState::restore(&state[..state.len() - 1]).is_err());
        for former in drawn_state(&mut random) {
            assert_eq!(SnapshotState::restore(&former).expect("a former one").drains, DrainRun::default());
        }
    }
}

/// What the check above finds: a format that differs from a former one in the meaning of its fields alone.
#[test]
fn a_format_without_a_tag_that_is_laid_out_like_a_former_one_is_found() {
    #[derive(Encode)]
    struct Mistaken {
        newest_term: u64,
        note: Vec<u8>,
        tokens: BTreeMap<u64, [u8; 32]>,
    }
    let mistaken = Mistaken { newest_term: 3, note: vec![1], tokens: [(1, [2; 32])].into() };
    assert_eq!(matching_formats(&bitcode::encode(&mistaken)), [Format::Bare]);
}

/// Entries of the log: changes have no tag, and none begins like one.
#[test]
fn no_change_is_taken_for_marks_nor_marks_for_a_change() {
    let mut random = 11;
    for round in 0..4_000 {
        let (base, version) = (drawn_number(&mut random), drawn_number(&mut random));
        let digest = [drawn_number(&mut random) as u8; 32];
        let body = drawn_number(&mut random).to_be_bytes()[round % 8..].to_vec();
        let change = Change { base, version, digest, body };
        let entry = bitcode::encode(&change);
        assert!(QuotaCheckpoint::decode(&entry).is_none(), "{change:?}");
        assert_eq!(Change::decode(&entry).expect("a change"), change);
        let floors = vec![(format!("t{base}"), version as u32); round % 3];
        let marks = QuotaCheckpoint { floors, fleet_size: base as u32 };
        assert!(Change::decode(&marks.to_entry()).is_err(), "{marks:?}");
        let drains = DrainEntry { ids: vec![format!("i-{base}"); round % 3] };
        assert!(
            Change::decode(&drains.encode()).is_err() && QuotaCheckpoint::decode(&drains.encode()).is_none()
        );
        assert!(DrainEntry::decode(&entry).is_none() && DrainEntry::decode(&marks.to_entry()).is_none());
        assert_eq!(DrainEntry::decode(&drains.encode()).expect("drains").expect("whole"), drains);
    }
}
