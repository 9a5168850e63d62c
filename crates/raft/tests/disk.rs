//! The disk: what was saved is there again, what is damaged is told by name.

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

/// Bytes that do not pack well.
fn state(size: usize) -> Vec<u8> {
    (0..size as u32).map(|at| (at.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

fn reopened(path: &std::path::Path) -> PersistentState {
    Store::open(path).unwrap().1.unwrap()
}

#[test]
fn what_was_saved_is_there_again() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
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
fn a_gap_is_told_by_name() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    store.save(&Save { entries: vec![entry(1, 1), entry(3, 1)], ..save(1, 1) }).unwrap();
    drop(store);
    let fault = Store::open(&path).unwrap_err();
    assert!(
        fault.is_lost() && fault.to_string().contains("found entry 3 where entry 2 was expected"),
        "{fault}"
    );
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

/// Changes of this many bytes each, a snapshot of that many after every 16 of them or 4 MB, as a control plane does it.
#[parameterized(
    largest_configurations = { 16, 6 << 20, 6 << 20, 48 << 20 },
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
        let entries = vec![Entry { index, term: 1, payload: Payload::Change(state(change)) }];
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

#[test]
fn a_log_can_begin_with_a_snapshot_and_only_where_there_is_none() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    // One that joined and has voted, but has no log yet.
    store.create(voter(1), Vec::new()).unwrap();
    store.save(&save(1, 5)).unwrap();
    let begun = store.create_from_snapshot(voter(1), 2, snapshot(4, 200_000)).unwrap();
    assert_eq!((begun.term, &begun.vote), (5, &Some(voter(2))), "what it promised stands");
    drop(store);
    assert_eq!(reopened(&path), begun);

    let (store, _) = Store::open(&path).unwrap();
    assert!(matches!(
        store.create_from_snapshot(voter(1), 9, snapshot(7, 10)),
        Err(StoreError::AlreadyInitialized { .. })
    ));
    drop(store);
    assert_eq!(reopened(&path), begun);

    let path = folder.path().join("other");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    store.save(&Save { entries: vec![entry(1, 1)], ..save(1, 1) }).unwrap();
    assert!(matches!(
        store.create_from_snapshot(voter(1), 9, snapshot(7, 10)),
        Err(StoreError::AlreadyInitialized { .. })
    ));
}

#[test]
fn the_last_voter_goes_on_alone_with_what_it_had() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
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
    assert_eq!(committed, [(41, 5), (42, 5)], "above all that was seen");
    assert_eq!(node.members(), std::slice::from_ref(&me));
    assert!(node.holds_lease(now));
}

#[test]
fn two_saves_joined_leave_the_same_on_disk_as_one_after_the_other() {
    let entries =
        |of: std::ops::RangeInclusive<u64>, term| of.map(|index| entry(index, term)).collect::<Vec<_>>();
    let more = |n| Save { entries: entries(10..=13, 2), ..save(n, 2) };
    let cut = |n| Save { truncate: Some(8), entries: entries(8..=9, 3), ..save(n, 3) };
    let cut_again = |n| Save { truncate: Some(12), entries: entries(12..=14, 3), ..save(n, 3) };
    let short = |n| Save { snapshot: Some(snapshot(7, 100)), ..save(n, 4) };
    let all = |n| Save { truncate: Some(1), snapshot: Some(snapshot(20, 100)), ..save(n, 4) };
    let kinds: [&dyn Fn(u64) -> Save; 5] = [&more, &cut, &cut_again, &short, &all];
    let folder = tempfile::tempdir().unwrap();
    let begun = |name: String| {
        let path = folder.path().join(name);
        let (store, _) = Store::open(&path).unwrap();
        store.create(voter(1), Vec::new()).unwrap();
        store.save(&Save { entries: entries(1..=9, 1), ..save(1, 1) }).unwrap();
        (store, path)
    };
    let pairs = [(0, 1), (0, 2), (0, 3), (0, 4), (1, 3), (1, 4), (3, 0), (3, 1), (3, 4)];
    for (one, other) in pairs {
        let (single, at) = begun(format!("single-{one}-{other}"));
        single.save(&kinds[one](2)).unwrap();
        single.save(&kinds[other](3)).unwrap();
        let (joined, there) = begun(format!("joined-{one}-{other}"));
        let mut both = kinds[one](2);
        both.join(kinds[other](3));
        joined.save(&both).unwrap();
        drop((single, joined));
        assert_eq!(reopened(&there), reopened(&at), "{one} and {other}");
    }
}

#[test]
fn a_writer_tells_each_save_in_turn_and_gives_the_disk_back() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (store, _) = Store::open(&path).unwrap();
    store.create(voter(1), Vec::new()).unwrap();
    let (told, tickets) = std::sync::mpsc::channel();
    let writer = Writer::start(store, voter(1), move |done| match done {
        WriterEvent::Saved(ticket) => told.send(ticket).unwrap(),
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
    // Closed, and all of it written.
    assert_eq!((reopened(&path).term, reopened(&path).entries.len()), (3, 5));
}

/// The names of the tables and keys are part of the file's format: a file of an earlier version must be read.
#[test]
fn names_in_the_file_stay_as_the_first_version_wrote_them() {
    use redb::{ReadableDatabase, ReadableTable, TableDefinition, TableHandle};

    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
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
