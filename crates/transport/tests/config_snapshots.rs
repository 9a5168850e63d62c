//! Configurations encoded as differences: rebuilding yields exactly the sent body or an error.

use protocol::{ConfigDelta, ConfigId, ConfigSnapshot, Message, frame, unframe};
use transport::config_snapshots::{ConfigEncoder, DeltaError, config_id, rebuild};

fn table(entries: impl Iterator<Item = u32>) -> Vec<u8> {
    let entries: Vec<_> = entries.map(|n| format!("\"r-{n}\":{{\"goal_ms\":{}}}", n * 31)).collect();
    entries.join(",").into_bytes()
}

fn decode(bytes: &[u8]) -> Message {
    unframe(bytes).expect("a valid frame").expect("a complete frame").0
}

fn encode_delta(receiver: ConfigId, base: Option<&[u8]>, version: u64, body: &[u8]) -> ConfigDelta {
    match decode(&ConfigEncoder::new(version, body).frame(receiver, base, body)) {
        Message::ConfigDelta(config_delta) => config_delta,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_change_is_encoded_in_few_bytes_and_rebuilds_exactly() {
    let base = table(0..400);
    for at in [0, 1, 200, 398, 399] {
        let body = table((0..400).map(|n| if n == at { 9000 } else { n }));
        let config_delta = encode_delta(config_id(3, &base), Some(&base), 8, &body);
        assert!(
            config_delta.base == 3 && config_delta.bytes.len() < 100,
            "{} bytes",
            config_delta.bytes.len()
        );
        assert_eq!(rebuild(Some(&base), &config_delta).ok(), Some(ConfigSnapshot { version: 8, body }));
    }
    // Without a base, repetitions within the body are compressed.
    let first = encode_delta(ConfigId::default(), None, 3, &base);
    assert!(first.base == 0 && first.bytes.len() * 2 < base.len());
    assert_eq!(rebuild(None, &first).map(|config_snapshot| config_snapshot.body).ok(), Some(base));
}

/// With the planned maximum number of routes, and with fewer, a change takes a few hundred bytes even though repeats
/// are megabytes apart.
#[test]
fn a_change_of_a_body_of_megabytes_is_encoded_in_few_bytes() {
    for entries in [30_000, 200_000] {
        let base = table(0..entries);
        let body = table((0..entries).map(|n| if n == entries / 2 { 9 } else { n }));
        let config_delta = encode_delta(config_id(3, &base), Some(&base), 8, &body);
        let (length, bytes) = (body.len(), config_delta.bytes.len());
        println!("body of {length} bytes, encoded in {bytes}");
        assert!(bytes < 1000, "body of {length} bytes, encoded in {bytes}");
        let rebuilt = rebuild(Some(&base), &config_delta).map(|config_snapshot| config_snapshot.body);
        assert_eq!(rebuilt.ok(), Some(body));
    }
}

#[test]
fn a_wrong_base_yields_an_error_and_never_a_wrong_body() {
    let (base, body) = (table(0..300), table(1..301));
    let config_delta = encode_delta(config_id(3, &base), Some(&base), 4, &body);
    assert!(matches!(rebuild(None, &config_delta), Err(DeltaError::MissingBase { version: 4, base: 3 })));
    for at in (0..base.len()).step_by(7) {
        let mut other = base.clone();
        other[at] ^= 1;
        // If the difference does not reference the changed byte, the body is rebuilt correctly.
        if let Ok(config_snapshot) = rebuild(Some(&other), &config_delta) {
            assert_eq!(config_snapshot.body, body);
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
fn a_flipped_bit_yields_an_error_or_the_correct_body() {
    let (base, body) = (table(0..40), table((0..40).map(|n| n / 2 * 3)));
    let config_delta = encode_delta(config_id(1, &base), Some(&base), 2, &body);
    for bit in 0..config_delta.bytes.len() * 8 {
        let mut damaged = config_delta.clone();
        damaged.bytes[bit / 8] ^= 1 << (bit % 8);
        if let Ok(config_snapshot) = rebuild(Some(&base), &damaged) {
            assert_eq!(config_snapshot.body, body);
        }
    }
}

#[test]
fn a_frame_is_encoded_once_per_base_and_never_from_a_different_body_of_the_same_version() {
    let (base, body) = (table(0..90), table(0..91));
    let mut encoder = ConfigEncoder::new(2, &body);
    let one = encoder.frame(config_id(1, &base), Some(&base), &body);
    let other = encoder.frame(config_id(1, &base), Some(&base), &body);
    assert!(std::rc::Rc::ptr_eq(&one, &other));
    // The same version with another body, and a version that is no longer kept: both get a difference without a base.
    let same_version = encoder.frame(config_id(1, b"{}"), Some(&base), &body);
    let unknown = encoder.frame(config_id(9, &base), None, &body);
    assert!(std::rc::Rc::ptr_eq(&same_version, &unknown));
    assert!(matches!(decode(&same_version), Message::ConfigDelta(ConfigDelta { base: 0, .. })));
    assert_eq!(encoder.config_id(), config_id(2, &body));
}

#[test]
fn a_body_that_does_not_compress_is_sent_complete() {
    let mut encoder = ConfigEncoder::new(1, b"{}");
    let expected = frame(&Message::ConfigSnapshot(ConfigSnapshot { version: 1, body: b"{}".to_vec() }));
    assert_eq!(*encoder.frame(ConfigId::default(), None, b"{}"), *expected);
    assert_eq!(*encoder.snapshot_frame(b"{}"), *expected);
}
