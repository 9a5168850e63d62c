//! Configurations as differences: what is rebuilt is what was sent, or nothing.

use protocol::{ConfigDelta, ConfigSnapshot, Held, Message, frame, unframe};
use transport::sheets::{ConfigEncoder, Unfit, held, rebuild};

fn table(entries: impl Iterator<Item = u32>) -> Vec<u8> {
    let entries: Vec<_> = entries.map(|n| format!("\"r-{n}\":{{\"goal_ms\":{}}}", n * 31)).collect();
    entries.join(",").into_bytes()
}

fn sent(bytes: &[u8]) -> Message {
    unframe(bytes).expect("a frame").expect("a whole one").0
}

fn spliced(has: Held, base: Option<&[u8]>, version: u64, whole: &[u8]) -> ConfigDelta {
    match sent(&ConfigEncoder::new(version, whole).frame(has, base, whole)) {
        Message::ConfigDelta(splice) => splice,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_change_is_a_few_bytes_and_rebuilds_every_byte() {
    let base = table(0..400);
    for at in [0, 1, 200, 398, 399] {
        let whole = table((0..400).map(|n| if n == at { 9000 } else { n }));
        let splice = spliced(held(3, &base), Some(&base), 8, &whole);
        assert!(splice.base == 3 && splice.bytes.len() < 100, "{} bytes", splice.bytes.len());
        assert_eq!(rebuild(Some(&base), &splice).ok(), Some(ConfigSnapshot { version: 8, body: whole }));
    }
    // Nothing is known: the text's own repeats are what is saved.
    let first = spliced(Held::default(), None, 3, &base);
    assert!(first.base == 0 && first.bytes.len() * 2 < base.len());
    assert_eq!(rebuild(None, &first).map(|sheet| sheet.body).ok(), Some(base));
}

#[test]
fn another_base_gives_an_error_and_never_another_body() {
    let (base, whole) = (table(0..300), table(1..301));
    let splice = spliced(held(3, &base), Some(&base), 4, &whole);
    assert!(matches!(rebuild(None, &splice), Err(Unfit::NoBase { version: 4, base: 3 })));
    for at in (0..base.len()).step_by(7) {
        let mut other = base.clone();
        other[at] ^= 1;
        // Where the changed byte is not drawn on, the body comes out all the same.
        if let Ok(sheet) = rebuild(Some(&other), &splice) {
            assert_eq!(sheet.body, whole);
        }
    }
    let other = rebuild(Some(&table(7..300)), &splice);
    assert!(matches!(other, Err(Unfit::Digest { .. } | Unfit::Broken { .. })), "{other:?}");
    assert!(matches!(
        rebuild(Some(&base), &ConfigDelta { length: u32::MAX, ..splice }),
        Err(Unfit::TooLong { version: 4, .. })
    ));
}

#[test]
fn any_bit_changed_on_the_way_gives_an_error_or_the_body() {
    let (base, whole) = (table(0..40), table((0..40).map(|n| n / 2 * 3)));
    let splice = spliced(held(1, &base), Some(&base), 2, &whole);
    for bit in 0..splice.bytes.len() * 8 {
        let mut damaged = splice.clone();
        damaged.bytes[bit / 8] ^= 1 << (bit % 8);
        if let Ok(sheet) = rebuild(Some(&base), &damaged) {
            assert_eq!(sheet.body, whole);
        }
    }
}

#[test]
fn it_is_made_once_for_all_that_have_the_same_and_never_on_a_namesake() {
    let (base, whole) = (table(0..90), table(0..91));
    let mut sheets = ConfigEncoder::new(2, &whole);
    let one = sheets.frame(held(1, &base), Some(&base), &whole);
    let other = sheets.frame(held(1, &base), Some(&base), &whole);
    assert!(std::rc::Rc::ptr_eq(&one, &other));
    // The same version with another body, and one that is kept no more: both get what needs no base.
    let namesake = sheets.frame(held(1, b"{}"), Some(&base), &whole);
    let unknown = sheets.frame(held(9, &base), None, &whole);
    assert!(std::rc::Rc::ptr_eq(&namesake, &unknown));
    assert!(matches!(sent(&namesake), Message::ConfigDelta(ConfigDelta { base: 0, .. })));
    assert_eq!(sheets.held(), held(2, &whole));
}

#[test]
fn what_gets_no_shorter_goes_whole() {
    let mut sheets = ConfigEncoder::new(1, b"{}");
    let whole = frame(&Message::ConfigSnapshot(ConfigSnapshot { version: 1, body: b"{}".to_vec() }));
    assert_eq!(*sheets.frame(Held::default(), None, b"{}"), *whole);
    assert_eq!(*sheets.whole(b"{}"), *whole);
}
