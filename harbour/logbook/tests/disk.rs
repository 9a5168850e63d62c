//! The disk: what was saved is there again, what is damaged is told by name.

use std::io::{Seek, SeekFrom, Write};

use logbook::store::{Store, StoreError};
use logbook::{Entry, Save, Saved, Snapshot, VoterId, What};
use yare::parameterized;

fn voter(number: u64) -> VoterId {
    VoterId { address: format!("10.0.0.{number}:7000"), birth: 0 }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, what: What::Change(vec![index as u8; 100]) }
}

fn save(ticket: u64, term: u64) -> Save {
    Save { ticket, term, vote: Some(voter(2)), truncate: None, entries: Vec::new(), snapshot: None }
}

fn snapshot(index: u64, size: usize) -> Snapshot {
    Snapshot { index, term: 1, members: vec![voter(1)], state: state(size) }
}

/// Bytes that do not pack well.
fn state(size: usize) -> Vec<u8> {
    (0..size as u32).map(|at| (at.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

fn reopened(path: &std::path::Path) -> Saved {
    Store::open(path).unwrap().1.unwrap()
}

#[test]
fn what_was_saved_is_there_again() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (store, saved) = Store::open(&path).unwrap();
    assert_eq!(saved, None);
    store.create(voter(1), vec![voter(1), voter(2)]).unwrap();
    assert!(matches!(store.create(voter(3), Vec::new()), Err(StoreError::Taken { .. })));
    store.save(&Save { entries: (1..=9).map(|index| entry(index, 1)).collect(), ..save(1, 1) }).unwrap();
    drop(store);
    let saved = reopened(&path);
    assert_eq!((saved.me, saved.term, saved.vote, saved.founders.len()), (voter(1), 1, Some(voter(2)), 2));
    assert_eq!(saved.entries, (1..=9).map(|index| entry(index, 1)).collect::<Vec<_>>());

    let (store, _) = Store::open(&path).unwrap();
    store.save(&Save { truncate: Some(7), entries: vec![entry(7, 2)], ..save(2, 2) }).unwrap();
    store.save(&Save { snapshot: Some(snapshot(4, 200_000)), ..save(3, 2) }).unwrap();
    drop(store);
    let saved = reopened(&path);
    assert_eq!(saved.entries, [entry(5, 1), entry(6, 1), entry(7, 2)]);
    assert_eq!(saved.snapshot, Some(snapshot(4, 200_000)));
}

#[test]
fn a_gap_is_told_by_name() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    store.save(&Save { entries: vec![entry(1, 1), entry(3, 1)], ..save(1, 1) }).unwrap();
    drop(store);
    let fault = Store::open(&path).unwrap_err();
    assert!(fault.is_lost() && fault.to_string().contains("entry 3 stands where entry 2 should"), "{fault}");
}

#[test]
fn a_damaged_file_is_set_aside() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    store.save(&Save { snapshot: Some(snapshot(4, 300_000)), ..save(1, 1) }).unwrap();
    drop(store);
    let bytes = std::fs::read(&path).unwrap();
    let at = bytes.windows(1000).position(|window| window == &state(1000)[..]).unwrap();
    let mut file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    file.seek(SeekFrom::Start(at as u64 + 500)).unwrap();
    file.write_all(b"?").unwrap();
    let fault = Store::open(&path).unwrap_err();
    assert!(fault.is_lost(), "{fault}");
    Store::set_aside(&path).unwrap();
    assert_eq!(Store::open(&path).unwrap().1, None);

    std::fs::write(&path, vec![5; 4096]).unwrap();
    assert!(Store::open(&path).unwrap_err().is_lost());
}

/// Changes of this many bytes each, a snapshot of that many after every 16 of them or 4 MB, as harbourmaster does it.
#[parameterized(
    largest_configurations = { 16, 4 << 20, 6 << 20, 48 << 20 },
    large_states = { 96, 100, 3 << 20, 32 << 20 },
    a_thousand_configurations = { 1_000, 100_000, 1_200_000, 16 << 20 },
)]
fn the_file_stays_small(changes: u64, change: usize, size: usize, bound: u64) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    let (mut longest, mut ticket, mut kept) = (0, 0, 0);
    for index in 1..=changes {
        let entries = vec![Entry { index, term: 1, what: What::Change(state(change)) }];
        store.save(&Save { entries, ..save(ticket + 1, 1) }).unwrap();
        ticket += 2;
        kept += 1;
        if kept == 16 || kept * change >= 4_000_000 {
            kept = 0;
            store.save(&Save { snapshot: Some(snapshot(index, size)), ..save(ticket, 1) }).unwrap();
        }
        longest = longest.max(std::fs::metadata(&path).unwrap().len());
    }
    println!("{longest} bytes");
    assert!(longest < bound, "{longest}");
    drop(store);
    assert_eq!(reopened(&path).entries.len(), kept);
}
