//! The history of configurations: verdicts on new and repeated changes, snapshots, and checkpoints.

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
fn two_changes_on_one_version_are_not_both_accepted() {
    let mut config_history = ConfigHistory::default();
    assert_eq!(config_history.apply(LogPosition::default(), change(0, 3, 1)), Verdict::Accepted);
    assert_eq!(config_history.apply(LogPosition::default(), change(3, 5, 2)), Verdict::Accepted);
    assert_eq!(config_history.apply(LogPosition::default(), change(3, 6, 3)), Verdict::Stale { current: 5 });
    assert_eq!(config_history.body(), Some([2].as_slice()));
}

#[test]
fn a_repeated_change_is_acknowledged_after_newer_versions() {
    let mut config_history = ConfigHistory::default();
    config_history.apply(LogPosition::default(), change(0, 3, 1));
    config_history.apply(LogPosition::default(), change(3, 5, 2));
    assert_eq!(config_history.apply(LogPosition::default(), change(0, 3, 1)), Verdict::AlreadyAccepted);
    assert_eq!(config_history.version(), 5, "the repeated change does not become the newest again");
    // Another body under an accepted version is another configuration.
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
fn an_empty_history_has_no_body() {
    let config_history = ConfigHistory::default();
    assert_eq!((config_history.body(), config_history.version()), (None, 0));
    // r4 may be in flight in the log, so a refusal would not be final.
    assert_eq!(config_history.evaluate(4, 5, &[0; 32]), Verdict::BaseAhead { base: 4, current: 0 });
}

#[yare::parameterized(
    repeated = { 0, 3, 1, Verdict::AlreadyAccepted },
    repeated_on_another_base = { 9, 3, 1, Verdict::AlreadyAccepted },
    old_base = { 0, 9, 9, Verdict::Stale { current: 5 } },
    old_base_and_version = { 0, 2, 9, Verdict::Stale { current: 5 } },
    same_version_with_another_body = { 5, 5, 9, Verdict::VersionNotHigher { current: 5 } },
    future_base = { 7, 9, 9, Verdict::BaseAhead { base: 7, current: 5 } },
    future_base_and_old_version = { 7, 4, 9, Verdict::VersionNotHigher { current: 5 } },
    future_base_and_version_below_it = { 7, 6, 9, Verdict::BaseAhead { base: 7, current: 5 } },
    next_version = { 5, 6, 9, Verdict::Accepted },
)]
fn a_verdict_is_final_if_no_later_entry_can_change_it(base: u64, version: u64, digest: u8, verdict: Verdict) {
    let mut config_history = ConfigHistory::default();
    config_history.apply(LogPosition::default(), change(0, 3, 1));
    config_history.apply(LogPosition::default(), change(3, 5, 2));
    assert_eq!(config_history.evaluate(base, version, &[digest; 32]), verdict);
    // A final verdict still holds after any next version: a refused change stays refused, and an accepted one stays
    // accepted.
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

/// Number of versions whose digests a history remembers.
const MAX_DIGESTS: u64 = 4096;

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
fn an_accepted_order_is_never_refused_after_any_number_of_others() {
    let repeated = |newest: u64| {
        let config_history =
            ConfigHistory::restore(&config_history_up_to(newest).snapshot()).expect("a history");
        config_history.evaluate(1, 2, &[2; 32])
    };
    assert_eq!(repeated(MAX_DIGESTS + 1), Verdict::AlreadyAccepted);
    assert_eq!(repeated(MAX_DIGESTS + 2), Verdict::DigestEvicted { oldest: 3 });
    assert_eq!(repeated(2 * MAX_DIGESTS), Verdict::DigestEvicted { oldest: MAX_DIGESTS + 1 });
    // Remembered versions are still refused.
    let config_history = config_history_up_to(MAX_DIGESTS + 2);
    assert_eq!(config_history.evaluate(2, 3, &[9; 32]), Verdict::Stale { current: MAX_DIGESTS + 2 });
}

#[test]
fn the_digests_take_a_small_part_of_a_snapshot() {
    let bytes = config_history_up_to(3 * MAX_DIGESTS).snapshot().len();
    println!("{bytes} bytes");
    assert!(bytes < 150_000, "{bytes}");
}

#[test]
fn a_snapshot_holds_the_complete_history() {
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
fn former_bodies_are_kept_within_their_size_limit() {
    let mut config_history = ConfigHistory::default();
    for version in 1..=12 {
        let at = LogPosition { index: version + 7, epoch: 2 };
        // The body of the 6th version leaves no room for other former bodies.
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

/// The delta between the newest body and its predecessor is short, however long both are.
#[test]
fn the_predecessor_of_the_newest_body_is_kept_whatever_its_size() {
    let mut config_history = ConfigHistory::default();
    for version in 1..=4 {
        let body = vec![version as u8; 3 << 20];
        let change = Change { base: version - 1, version, digest: [version as u8; 32], body };
        assert_eq!(config_history.apply(LogPosition::default(), change), Verdict::Accepted);
    }
    let kept: Vec<_> = (1..=4).filter(|version| config_history.body_of(*version).is_some()).collect();
    assert_eq!(kept, [3, 4]);
    assert!(config_history.snapshot().len() < 4 << 20, "a snapshot holds only one body");
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
fn checkpoints_are_distinct_from_changes_and_the_newest_applies() {
    let mut config_history = ConfigHistory::default();
    for checkpoint in [checkpoint(&[("a", 5), ("b", 7)], 13), checkpoint(&[("a", 0), ("c", 1)], 12)] {
        let entry = checkpoint.to_entry();
        assert!(Change::decode(&entry).is_err());
        config_history.apply_checkpoint(
            QuotaCheckpoint::decode(&entry).expect("a checkpoint").expect("a complete entry"),
        );
    }
    let floors: Vec<_> =
        config_history.floors().iter().map(|(tenant, units)| (tenant.as_str(), *units)).collect();
    assert_eq!((floors, config_history.fleet_size()), (vec![("b", 7), ("c", 1)], 12));
    let again = ConfigHistory::restore(&bitcode::encode(&config_history)).expect("a history");
    assert_eq!(again, config_history);
    assert!(QuotaCheckpoint::decode(&bitcode::encode(&change(1, 2, 3))).is_none());
    assert!(
        QuotaCheckpoint::decode(&truncated_entry(&checkpoint(&[("a", 5)], 3)))
            .is_some_and(|checkpoint| checkpoint.is_err())
    );
}

fn truncated_entry(checkpoint: &QuotaCheckpoint) -> Vec<u8> {
    let mut entry = checkpoint.to_entry();
    entry.pop();
    entry
}

/// A snapshot as written by the versions before quota floors.
#[derive(Encode)]
struct WithBodies {
    version: u64,
    body: Vec<u8>,
    digests: BTreeMap<u64, [u8; 32]>,
    positions: BTreeMap<u64, LogPosition>,
    bodies: BTreeMap<u64, Vec<u8>>,
}

/// A snapshot as written by the versions before former bodies were kept.
#[derive(Encode)]
struct Bare {
    version: u64,
    body: Vec<u8>,
    digests: BTreeMap<u64, [u8; 32]>,
}

#[test]
fn snapshots_of_earlier_versions_are_restored() {
    let former = WithBodies {
        version: 3,
        body: vec![9],
        digests: [(3, [1; 32])].into(),
        positions: [(3, LogPosition { index: 8, epoch: 2 })].into(),
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

/// Numbers of all magnitudes: `bitcode` packs each number into as few bytes as its column allows.
fn random_number(random: &mut u64) -> u64 {
    *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    let bits = (*random >> 58) as u32;
    (*random >> 5).checked_shr(bits).unwrap_or(0)
}

fn random_states(random: &mut u64) -> Vec<Vec<u8>> {
    let mut number = || random_number(random);
    let bytes =
        |number: u64| number.to_be_bytes().repeat(1 + number as usize % 9)[number as usize % 8..].to_vec();
    let version = number();
    let body = bytes(number());
    let versions: Vec<u64> = (0..number() % 5).map(|_| number()).collect();
    let digests: BTreeMap<_, _> = versions.iter().map(|version| (*version, [number() as u8; 32])).collect();
    let positions: BTreeMap<_, _> =
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
    let with_floors = config_history.snapshot();
    let tagged = [TAG, &with_floors].concat();
    let with_bodies = WithBodies { version, body: body.clone(), digests: digests.clone(), positions, bodies };
    let bare = Bare { version, body, digests };
    vec![tagged, with_floors, bitcode::encode(&with_bodies), bitcode::encode(&bare)]
}

const WRITTEN_FORMATS: [Format; 4] = [Format::Tagged, Format::WithFloors, Format::WithBodies, Format::Bare];

#[test]
fn no_decoder_accepts_a_snapshot_of_another_format() {
    let mut random = 7;
    for round in 0..4_000 {
        for (state, format) in random_states(&mut random).iter().zip(WRITTEN_FORMATS) {
            assert_eq!(matching_formats(state), [format], "round {round}: {state:?}");
        }
    }
}

/// Only this version reads a state with drain records; a state without them has the former format.
#[test]
fn states_with_and_without_drain_records_are_distinguished() {
    let mut random = 23;
    let mut config_history = ConfigHistory::default();
    config_history.apply_checkpoint(QuotaCheckpoint { floors: vec![("t".into(), 3)], fleet_size: 9 });
    assert_eq!(
        SnapshotState::snapshot(&config_history, Some(DrainRun::default())),
        config_history.snapshot()
    );
    assert_eq!(SnapshotState::snapshot(&config_history, None), config_history.snapshot());
    for round in 0..400 {
        let ids = (0..1 + round % 5).map(|_| format!("i-{}", random_number(&mut random))).collect();
        let drains = DrainRun { after: random_number(&mut random), ids };
        let state = SnapshotState::snapshot(&config_history, Some(drains.clone()));
        assert_eq!(matching_formats(&state), [], "round {round}");
        let read = SnapshotState::restore(&state).expect("a valid state");
        assert_eq!(read, SnapshotState { config_history: config_history.clone(), drains });
        assert!(SnapshotState::restore(&state[..state.len() - 1]).is_err());
        for former in random_states(&mut random) {
            assert_eq!(
                SnapshotState::restore(&former).expect("a state of an earlier version is valid").drains,
                DrainRun::default()
            );
        }
    }
}

/// Shows that the check of formats detects a new format that differs from a former one only in the meaning of its
/// fields.
#[test]
fn an_untagged_format_with_the_layout_of_a_former_one_is_detected() {
    #[derive(Encode)]
    struct SameLayout {
        newest_term: u64,
        note: Vec<u8>,
        tokens: BTreeMap<u64, [u8; 32]>,
    }
    let same_layout = SameLayout { newest_term: 3, note: vec![1], tokens: [(1, [2; 32])].into() };
    assert_eq!(matching_formats(&bitcode::encode(&same_layout)), [Format::Bare]);
}

/// Among log entries, changes have no tag, and no change begins with a tag.
#[test]
fn changes_checkpoints_and_drain_entries_are_not_confused() {
    let mut random = 11;
    for round in 0..4_000 {
        let (base, version) = (random_number(&mut random), random_number(&mut random));
        let digest = [random_number(&mut random) as u8; 32];
        let body = random_number(&mut random).to_be_bytes()[round % 8..].to_vec();
        let change = Change { base, version, digest, body };
        let entry = bitcode::encode(&change);
        assert!(QuotaCheckpoint::decode(&entry).is_none(), "{change:?}");
        assert_eq!(Change::decode(&entry).expect("a change"), change);
        let floors = vec![(format!("t{base}"), version as u32); round % 3];
        let checkpoint = QuotaCheckpoint { floors, fleet_size: base as u32 };
        assert!(Change::decode(&checkpoint.to_entry()).is_err(), "{checkpoint:?}");
        let drains = DrainEntry { ids: vec![format!("i-{base}"); round % 3] };
        assert!(
            Change::decode(&drains.encode()).is_err() && QuotaCheckpoint::decode(&drains.encode()).is_none()
        );
        assert!(DrainEntry::decode(&entry).is_none() && DrainEntry::decode(&checkpoint.to_entry()).is_none());
        assert_eq!(
            DrainEntry::decode(&drains.encode()).expect("a drain entry").expect("a complete entry"),
            drains
        );
    }
}
