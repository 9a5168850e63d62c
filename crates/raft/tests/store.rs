//! The store: saved state is restored, and damage is detected and named.

use std::io::{Seek, SeekFrom, Write};

use raft::store::{Store, StoreError};
use raft::{
    Entry, Input, Node, Output, Payload, PersistentState, Save, Snapshot, Timing, VoterId, Writer,
    WriterEvent,
};
use yare::parameterized;

fn voter(number: u64) -> VoterId {
    VoterId { address: format!("10.0.0.{number}:7000"), incarnation: 0 }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Change(vec![index as u8; 100]) }
}

fn save(ticket: u64, term: u64) -> Save {
    Save { ticket, term, vote: Some(voter(2)), truncate: None, entries: Vec::new(), snapshot: None }
}

fn snapshot(index: u64, size: usize) -> Snapshot {
    Snapshot { index, term: 1, members: vec![voter(1)], state: state(size) }
}

/// Bytes that compress badly.
fn state(size: usize) -> Vec<u8> {
    (0..size as u32).map(|at| (at.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

fn reopened(path: &std::path::Path) -> PersistentState {
    Store::open(path).unwrap().1.unwrap()
}

#[test]
fn saved_state_is_restored() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let (store, saved) = Store::open(&path).unwrap();
    assert_eq!(saved, None);
    store.create(voter(1), vec![voter(1), voter(2)]).unwrap();
    assert!(matches!(store.create(voter(3), Vec::new()), Err(StoreError::AlreadyInitialized { .. })));
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
fn gap_in_the_entries_is_reported() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    store.save(&Save { entries: vec![entry(1, 1), entry(3, 1)], ..save(1, 1) }).unwrap();
    drop(store);
    let error = Store::open(&path).unwrap_err();
    assert!(
        error.is_lost() && error.to_string().contains("found entry 3 where entry 2 was expected"),
        "{error}"
    );
}

#[test]
fn damaged_file_is_detected_and_set_aside() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    store.save(&Save { snapshot: Some(snapshot(4, 300_000)), ..save(1, 1) }).unwrap();
    drop(store);
    let bytes = std::fs::read(&path).unwrap();
    let at = bytes.windows(1000).position(|window| window == &state(1000)[..]).unwrap();
    let mut file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    file.seek(SeekFrom::Start(at as u64 + 500)).unwrap();
    file.write_all(b"?").unwrap();
    let error = Store::open(&path).unwrap_err();
    assert!(error.is_lost(), "{error}");
    Store::set_aside(&path).unwrap();
    assert_eq!(Store::open(&path).unwrap().1, None);

    std::fs::write(&path, vec![5; 4096]).unwrap();
    assert!(Store::open(&path).unwrap_err().is_lost());
}

/// The file stays below a size limit with changes of `change` bytes and snapshots of `size` bytes after every 16
/// changes or 4 MB of changes, as the control plane writes them.
#[parameterized(
    largest_configurations = { 16, 6 << 20, 6 << 20, 48 << 20 },
    large_states = { 96, 100, 3 << 20, 32 << 20 },
    a_thousand_configurations = { 1_000, 100_000, 1_200_000, 16 << 20 },
)]
fn file_size_is_bounded(changes: u64, change: usize, size: usize, bound: u64) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    let (mut max_length, mut ticket, mut entries_since_snapshot) = (0, 0, 0);
    for index in 1..=changes {
        let entries = vec![Entry { index, term: 1, payload: Payload::Change(state(change)) }];
        store.save(&Save { entries, ..save(ticket + 1, 1) }).unwrap();
        ticket += 2;
        entries_since_snapshot += 1;
        if entries_since_snapshot == 16 || entries_since_snapshot * change >= 4_000_000 {
            entries_since_snapshot = 0;
            store.save(&Save { snapshot: Some(snapshot(index, size)), ..save(ticket, 1) }).unwrap();
        }
        max_length = max_length.max(std::fs::metadata(&path).unwrap().len());
    }
    println!("{max_length} bytes");
    assert!(max_length < bound, "{max_length}");
    drop(store);
    assert_eq!(reopened(&path).entries.len(), entries_since_snapshot);
}

#[test]
fn store_is_initialized_from_a_snapshot_only_without_a_log() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    // A voter that has joined and voted, but has no log yet.
    store.create(voter(1), Vec::new()).unwrap();
    store.save(&save(1, 5)).unwrap();
    let created = store.create_from_snapshot(voter(1), 2, snapshot(4, 200_000)).unwrap();
    assert_eq!((created.term, &created.vote), (5, &Some(voter(2))), "the stored term and vote are kept");
    drop(store);
    assert_eq!(reopened(&path), created);

    let (store, _) = Store::open(&path).unwrap();
    assert!(matches!(
        store.create_from_snapshot(voter(1), 9, snapshot(7, 10)),
        Err(StoreError::AlreadyInitialized { .. })
    ));
    drop(store);
    assert_eq!(reopened(&path), created);

    let path = dir.path().join("other");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    store.save(&Save { entries: vec![entry(1, 1)], ..save(1, 1) }).unwrap();
    assert!(matches!(
        store.create_from_snapshot(voter(1), 9, snapshot(7, 10)),
        Err(StoreError::AlreadyInitialized { .. })
    ));
}

#[test]
fn last_voter_continues_alone_from_its_snapshot() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    let me = VoterId { incarnation: 7, ..voter(1) };
    let before = Snapshot { members: vec![me.clone()], term: 3, ..snapshot(40, 100) };
    let saved = store.create_from_snapshot(me.clone(), 4, before).unwrap();
    assert_eq!((saved.term, &saved.vote), (4, &None));
    let timing = Timing { heartbeat: 20, election: 100, lease: 80 };
    let mut node = Node::start(saved, timing, 1, 0);
    let (mut committed, mut now, mut proposed) = (Vec::new(), 0, false);
    while committed.len() < 2 && now < 1000 {
        now += 10;
        let mut out = Vec::new();
        node.handle(now, Input::Tick, &mut out);
        if node.is_leader() && !std::mem::replace(&mut proposed, true) {
            node.handle(now, Input::Propose { token: 1, change: vec![1] }, &mut out);
        }
        while !out.is_empty() {
            for output in std::mem::take(&mut out) {
                match output {
                    Output::Save(save) => {
                        store.save(&save).unwrap();
                        node.handle(now, Input::Saved { ticket: save.ticket }, &mut out);
                    }
                    Output::Committed { entry } => committed.push((entry.index, entry.term)),
                    _ => {}
                }
            }
        }
    }
    assert_eq!(committed, [(41, 5), (42, 5)], "in a term above all earlier terms");
    assert_eq!(node.members(), std::slice::from_ref(&me));
    assert!(node.holds_lease(now));
}

#[test]
fn joined_saves_equal_separate_saves() {
    let entries =
        |span: std::ops::RangeInclusive<u64>, term| span.map(|index| entry(index, term)).collect::<Vec<_>>();
    let append = |n| Save { entries: entries(10..=13, 2), ..save(n, 2) };
    let truncate = |n| Save { truncate: Some(8), entries: entries(8..=9, 3), ..save(n, 3) };
    let truncate_later = |n| Save { truncate: Some(12), entries: entries(12..=14, 3), ..save(n, 3) };
    let compact = |n| Save { snapshot: Some(snapshot(7, 100)), ..save(n, 4) };
    let replace_all = |n| Save { truncate: Some(1), snapshot: Some(snapshot(20, 100)), ..save(n, 4) };
    let variants: [&dyn Fn(u64) -> Save; 5] = [&append, &truncate, &truncate_later, &compact, &replace_all];
    let dir = tempfile::tempdir().unwrap();
    let new_store = |name: String| {
        let path = dir.path().join(name);
        let (store, _) = Store::open(&path).unwrap();
        store.create(voter(1), Vec::new()).unwrap();
        store.save(&Save { entries: entries(1..=9, 1), ..save(1, 1) }).unwrap();
        (store, path)
    };
    let pairs = [(0, 1), (0, 2), (0, 3), (0, 4), (1, 3), (1, 4), (3, 0), (3, 1), (3, 4)];
    for (first, second) in pairs {
        let (separate, separate_path) = new_store(format!("separate-{first}-{second}"));
        separate.save(&variants[first](2)).unwrap();
        separate.save(&variants[second](3)).unwrap();
        let (joined, joined_path) = new_store(format!("joined-{first}-{second}"));
        let mut merged = variants[first](2);
        merged.join(variants[second](3));
        joined.save(&merged).unwrap();
        drop((separate, joined));
        assert_eq!(reopened(&joined_path), reopened(&separate_path), "{first} and {second}");
    }
}

#[test]
fn writer_reports_each_save_in_order_and_returns_the_store() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    let (sender, tickets) = std::sync::mpsc::channel();
    let writer = Writer::start(store, voter(1), move |event| match event {
        WriterEvent::Saved(ticket) => sender.send(ticket).unwrap(),
        other => panic!("{other:?}"),
    });
    let writer = writer.unwrap();
    (1..=5).for_each(|n| writer.save(Save { entries: vec![entry(n, 1)], ..save(n, 1) }));
    let store = writer.stop().unwrap();
    assert_eq!(tickets.iter().collect::<Vec<u64>>(), [1, 2, 3, 4, 5]);
    store.save(&save(6, 2)).unwrap();
    let writer = Writer::start(store, voter(1), |_| {}).unwrap();
    writer.save(save(7, 3));
    drop(writer);
    // Dropping the writer has written all saves and closed the file.
    assert_eq!((reopened(&path).term, reopened(&path).entries.len()), (3, 5));
}

/// The names of the tables and keys are part of the file format, because the store must open files of earlier versions.
#[test]
fn table_and_key_names_match_the_first_version() {
    use redb::{ReadableDatabase, ReadableTable, TableDefinition, TableHandle};

    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), vec![voter(1), voter(2)]).unwrap();
    drop(store);

    let database = redb::Database::open(&path).unwrap();
    let file = database.begin_read().unwrap();
    let mut tables: Vec<String> = file.list_tables().unwrap().map(|table| table.name().to_owned()).collect();
    tables.sort();
    assert_eq!(tables, ["entries", "meta", "snapshot"]);
    let meta = file.open_table(TableDefinition::<&str, &[u8]>::new("meta")).unwrap();
    let keys: Vec<String> = meta.iter().unwrap().map(|row| row.unwrap().0.value().to_owned()).collect();
    assert_eq!(keys, ["ballot", "founders", "me", "schema"]);
}
