//! Configurations as differences: what is rebuilt is what was sent, or nothing.

use protocol::{ConfigDelta, ConfigId, ConfigSnapshot, Message, frame, unframe};
use transport::config_snapshots::{ConfigEncoder, DeltaError, config_id, rebuild};

fn table(entries: impl Iterator<Item = u32>) -> Vec<u8> {
    let entries: Vec<_> = entries.map(|n| format!("\"r-{n}\":{{\"goal_ms\":{}}}", n * 31)).collect();
    entries.join(",").into_bytes()
}

fn sent(bytes: &[u8]) -> Message {
    unframe(bytes).expect("a frame").expect("a whole one").0
}

fn as_delta(has: ConfigId, base: Option<&[u8]>, version: u64, whole: &[u8]) -> ConfigDelta {
    match sent(&ConfigEncoder::new(version, whole).frame(has, base, whole)) {
        Message::ConfigDelta(config_delta) => config_delta,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_change_is_a_few_bytes_and_rebuilds_every_byte() {
    let base = table(0..400);
    for at in [0, 1, 200, 398, 399] {
        let whole = table((0..400).map(|n| if n == at { 9000 } else { n }));
        let config_delta = as_delta(config_id(3, &base), Some(&base), 8, &whole);
        assert!(
            config_delta.base == 3 && config_delta.bytes.len() < 100,
            "{} bytes",
            config_delta.bytes.len()
        );
        assert_eq!(
            rebuild(Some(&base), &config_delta).ok(),
            Some(ConfigSnapshot { version: 8, body: whole })
        );
    }
    // Nothing is known: the text's own repeats are what is saved.
    let first = as_delta(ConfigId::default(), None, 3, &base);
    assert!(first.base == 0 && first.bytes.len() * 2 < base.len());
    assert_eq!(rebuild(None, &first).map(|config_snapshot| config_snapshot.body).ok(), Some(base));
}

/// As many routes as are planned, and less: what changed is a few hundred bytes, however far back the rest lies.
#[test]
fn a_change_of_megabytes_is_as_short() {
    for entries in [30_000, 200_000] {
        let base = table(0..entries);
        let whole = table((0..entries).map(|n| if n == entries / 2 { 9 } else { n }));
        let config_delta = as_delta(config_id(3, &base), Some(&base), 8, &whole);
        let (length, bytes) = (whole.len(), config_delta.bytes.len());
        println!("{length} bytes, {bytes} on the way");
        assert!(bytes < 1000, "{length} bytes, {bytes} on the way");
        let rebuilt = rebuild(Some(&base), &config_delta).map(|config_snapshot| config_snapshot.body);
        assert_eq!(rebuilt.ok(), Some(whole));
    }
}

#[test]
fn another_base_gives_an_error_and_never_another_body() {
    let (base, whole) = (table(0..300), table(1..301));
    let config_delta = as_delta(config_id(3, &base), Some(&base), 4, &whole);
    assert!(matches!(rebuild(None, &config_delta), Err(DeltaError::MissingBase { version: 4, base: 3 })));
    for at in (0..base.len()).step_by(7) {
        let mut other = base.clone();
        other[at] ^= 1;
        // Where the changed byte is not drawn on, the body comes out all the same.
        if let Ok(config_snapshot) = rebuild(Some(&other), &config_delta) {
            assert_eq!(config_snapshot.body, whole);
        }
    }
    let other = rebuild(Some(&table(7..300)), &config_delta);
    assert!(
        matches!(other, Err(DeltaError::DigestMismatch { .. } | DeltaError::Corrupt { .. })),
        "{other:?}"
    );
    assert!(matches!(
        rebuild(Some(&base), &ConfigDelta { length: u32::MAX, ..config_delta }),
        Err(DeltaError::TooLong { version: 4, .. })
    ));
}

#[test]
fn any_bit_changed_on_the_way_gives_an_error_or_the_body() {
    let (base, whole) = (table(0..40), table((0..40).map(|n| n / 2 * 3)));
    let config_delta = as_delta(config_id(1, &base), Some(&base), 2, &whole);
    for bit in 0..config_delta.bytes.len() * 8 {
        let mut damaged = config_delta.clone();
        damaged.bytes[bit / 8] ^= 1 << (bit % 8);
        if let Ok(config_snapshot) = rebuild(Some(&base), &damaged) {
            assert_eq!(config_snapshot.body, whole);
        }
    }
}

#[test]
fn it_is_made_once_for_all_that_have_the_same_and_never_on_a_namesake() {
    let (base, whole) = (table(0..90), table(0..91));
    let mut config_snapshots = ConfigEncoder::new(2, &whole);
    let one = config_snapshots.frame(config_id(1, &base), Some(&base), &whole);
    let other = config_snapshots.frame(config_id(1, &base), Some(&base), &whole);
    assert!(std::rc::Rc::ptr_eq(&one, &other));
    // The same version with another body, and one that is kept no more: both get what needs no base.
    let namesake = config_snapshots.frame(config_id(1, b"{}"), Some(&base), &whole);
    let unknown = config_snapshots.frame(config_id(9, &base), None, &whole);
    assert!(std::rc::Rc::ptr_eq(&namesake, &unknown));
    assert!(matches!(sent(&namesake), Message::ConfigDelta(ConfigDelta { base: 0, .. })));
    assert_eq!(config_snapshots.config_id(), config_id(2, &whole));
}

#[test]
fn what_gets_no_shorter_goes_whole() {
    let mut config_snapshots = ConfigEncoder::new(1, b"{}");
    let whole = frame(&Message::ConfigSnapshot(ConfigSnapshot { version: 1, body: b"{}".to_vec() }));
    assert_eq!(*config_snapshots.frame(ConfigId::default(), None, b"{}"), *whole);
    assert_eq!(*config_snapshots.snapshot_frame(b"{}"), *whole);
}
