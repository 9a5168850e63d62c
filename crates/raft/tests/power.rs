//! The disk when power goes at any of its writes, and when a byte of its file changes later.

mod fake_disk;
mod tape;

use std::collections::VecDeque;
use std::panic::catch_unwind;

use fake_disk::{apply, empty};
use raft::store::{Store, StoreError};
use raft::{Entry, Input, Node, Output, Payload, PersistentState, Save, Snapshot, Timing, VoterId};
use tape::{Op, Tape, put};

fn voter(number: u64) -> VoterId {
    VoterId { address: format!("10.0.0.{number}:7000"), incarnation: number }
}

struct Rng(u64);

impl Rng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }

    fn bytes(&mut self, size: usize) -> Vec<u8> {
        (0..size).map(|_| self.below(256) as u8).collect()
    }
}

/// Votes, appends, a truncation, a large entry, snapshots that drop entries: `rounds` times over, each a term later.
fn life(rounds: u64) -> Vec<Save> {
    let mut saves: Vec<Save> = Vec::new();
    let mut rng = Rng(7);
    let mut save =
        |term, vote: Option<u64>, truncate, sizes: &[usize], from: u64, snapshot: Option<(u64, usize)>| {
            let entry = |(at, size): (u64, &usize), rng: &mut Rng| Entry {
                index: from + at,
                term,
                payload: if at == 2 {
                    Payload::Members(vec![voter(1), voter(2)])
                } else {
                    Payload::Change(rng.bytes(*size))
                },
            };
            let entries = (0..).zip(sizes).map(|one| entry(one, &mut rng)).collect();
            let snapshot = snapshot.map(|(index, size)| Snapshot {
                index,
                term,
                members: vec![voter(1)],
                state: rng.bytes(size),
            });
            let ticket = saves.len() as u64 + 1;
            saves.push(Save { ticket, term, vote: vote.map(voter), truncate, entries, snapshot });
        };
    for round in 0..rounds {
        let (term, last) = (round * 3 + 1, round * 6);
        save(term, Some(2), None, &[], 0, None);
        save(term, Some(2), None, &[100, 100, 0], last + 1, None);
        save(term + 1, None, None, &[], 0, None);
        save(term + 2, Some(1), None, &[], 0, None);
        save(term + 2, Some(1), Some(last + 3), &[20_000, 30], last + 3, None);
        save(term + 2, Some(1), None, &[], 0, Some((last + 3, 120_000)));
        save(term + 2, Some(1), None, &[100, 50], last + 5, None);
        save(term + 2, Some(1), None, &[], 0, Some((last + 5, 60_000)));
    }
    saves
}

fn open(bytes: Vec<u8>) -> (Tape, Result<(Store, Option<PersistentState>), StoreError>) {
    let tape = Tape::with(bytes);
    let opened = Store::open_backend(tape.clone(), "tape");
    (tape, opened)
}

/// The tape of a life, closed properly halfway and at the end, and what is to be found after so many acknowledged
/// writes: nothing after none.
fn recorded(rounds: u64) -> (Tape, Vec<Option<PersistentState>>) {
    let tape = Tape::default();
    let (mut store, _) = Store::open_backend(tape.clone(), "tape").unwrap();
    let founders = vec![voter(1), voter(2)];
    let mut disk = empty(voter(1), founders.clone());
    assert_eq!(store.create(voter(1), founders).unwrap(), disk);
    let mut states = vec![None, Some(disk.clone())];
    tape.acknowledge(1);
    let saves = life(rounds);
    for (at, save) in saves.iter().enumerate() {
        if at == saves.len() / 2 {
            drop(store);
            store = Store::open_backend(tape.clone(), "tape").unwrap().0;
        }
        store.save(save).unwrap();
        apply(&mut disk, save);
        tape.acknowledge(states.len());
        states.push(Some(disk.clone()));
    }
    drop(store);
    (tape, states)
}

/// How much of what was not synced is there after a power loss.
#[derive(Clone, Copy, Debug)]
enum Left {
    Nothing,
    All,
    /// All before the last operation, and some first sectors of that one.
    Torn,
    /// Any sectors of any operations, so that later ones may be there without earlier ones.
    Any,
    /// Whole operations, any of them.
    Whole,
}

const LOSSES: [Left; 5] = [Left::Nothing, Left::All, Left::Torn, Left::Any, Left::Whole];

/// What a disk has when power goes within the last of these operations; `synced` is what it surely has.
fn after_loss(synced: &[u8], unsynced: &[Op], left: Left, rng: &mut Rng) -> Vec<u8> {
    let mut bytes = synced.to_vec();
    for (at, op) in unsynced.iter().enumerate() {
        let last = at + 1 == unsynced.len();
        let whole = rng.below(2) == 0;
        let upto = if last { rng.below(tape::sectors(op) as u64 + 1) as usize } else { usize::MAX };
        put(&mut bytes, op, |sector| match left {
            Left::Nothing => false,
            Left::All => true,
            Left::Torn => sector < upto,
            Left::Any => rng.below(2) == 0,
            Left::Whole => whole,
        });
    }
    bytes
}

/// Calls with each disk that a power loss can leave, with how many writes were acknowledged by then.
fn each_loss(
    begun: &[u8], ops: &[Op], losses: &[Left], rng: &mut Rng,
    mut call: impl FnMut(Vec<u8>, usize, &str) -> Result<(), String>,
) -> Result<(), String> {
    let (mut synced, mut unsynced, mut acknowledged) = (begun.to_vec(), Vec::new(), 0);
    for (step, op) in ops.iter().enumerate() {
        match op {
            Op::Acknowledged(count) => acknowledged = *count,
            Op::Sync => unsynced.drain(..).for_each(|op| put(&mut synced, &op, |_| true)),
            op => unsynced.push(op.clone()),
        }
        for left in losses {
            let what = format!("power goes in step {step} of {}, {left:?} is left", ops.len());
            call(after_loss(&synced, &unsynced, *left, rng), acknowledged, &what)?;
        }
    }
    Ok(())
}

/// Whether the state is the one of all acknowledged writes, or that of the next one, which was under way.
fn fits(found: &Option<PersistentState>, states: &[Option<PersistentState>], acknowledged: usize) -> bool {
    states[acknowledged..states.len().min(acknowledged + 2)].contains(found)
}

/// One more save, as a voter that has started again makes it.
fn next(disk: &PersistentState) -> Save {
    let base = disk.snapshot.as_ref().map_or(0, |kept| kept.index);
    let (index, term) = (base + disk.entries.len() as u64 + 1, disk.term + 1);
    let entries = vec![Entry { index, term, payload: Payload::Noop }];
    Save { ticket: 1, term, vote: Some(voter(3)), truncate: None, entries, snapshot: None }
}

/// One loss after the other in a life, and after one in `seldom` of them one more at any write of what follows.
fn power_goes(
    seed: u64, seldom: u64, ops: &[Op], states: &[Option<PersistentState>],
) -> Result<(u64, u64), String> {
    let (mut rng, mut again) = (Rng(seed), Rng(seed + 100));
    let (mut losses, mut later) = (0, 0);
    each_loss(&[], ops, &LOSSES, &mut rng, |bytes, acknowledged, what| {
        losses += 1;
        let (second, opened) = open(bytes.clone());
        let (store, found) = opened.map_err(|fault| format!("{what}: {fault}"))?;
        if !fits(&found, states, acknowledged) {
            return Err(format!("{what}: {acknowledged} writes were acknowledged, found {found:?}"));
        }
        let Some(before) = found else { return Ok(()) };
        // It goes on from there.
        let (mut after, save) = (before.clone(), next(&before));
        store.save(&save).map_err(|fault| format!("{what}: {fault}"))?;
        second.acknowledge(1);
        apply(&mut after, &save);
        drop(store);
        let states = [Some(before), Some(after)];
        if again.below(seldom) > 0 {
            return Ok(());
        }
        each_loss(&bytes, &second.ops(), &[Left::Any], &mut again, |bytes, acknowledged, then| {
            later += 1;
            let (_, opened) = open(bytes);
            let (_, found) = opened.map_err(|fault| format!("{what}, then {then}: {fault}"))?;
            let fine = fits(&found, &states, acknowledged);
            if fine { Ok(()) } else { Err(format!("{what}, then {then}: found {found:?}")) }
        })
    })?;
    Ok((losses, later))
}

#[test]
fn power_may_go_at_any_write() {
    let (tape, states) = recorded(1);
    let (losses, later) = power_goes(1, 50, &tape.ops(), &states).unwrap();
    println!("{losses} losses of power, {later} more after one");
    assert!(losses > 500 && later > 100);
}

#[test]
#[ignore = "some minutes: cargo test --release -p raft --test power -- --ignored"]
fn power_may_go_at_any_write_of_a_long_life() {
    let (tape, states) = recorded(5);
    let (mut losses, mut later) = (0, 0);
    for seed in 1..=8 {
        let figures = power_goes(seed, 10, &tape.ops(), &states).unwrap();
        (losses, later) = (losses + figures.0, later + figures.1);
    }
    println!("{losses} losses of power, {later} more after one");
}

/// A process that was killed leaves a file that is longer than its contents: it is made smaller when it is opened.
#[test]
#[ignore = "a minute: cargo test --release -p raft --test power -- --ignored"]
fn power_may_go_while_a_file_is_made_smaller() {
    let (tape, mut rng) = (Tape::default(), Rng(3));
    let (store, _) = Store::open_backend(tape.clone(), "tape").unwrap();
    let mut disk = store.create(voter(1), Vec::new()).unwrap();
    for index in 1..=8 {
        let entries = vec![Entry { index, term: 1, payload: Payload::Change(rng.bytes(4 << 20)) }];
        let snapshot = Snapshot { index: 7, term: 1, members: vec![voter(1)], state: rng.bytes(100_000) };
        let snapshot = (index == 8).then_some(snapshot);
        let save = Save { ticket: index, term: 1, vote: None, truncate: None, entries, snapshot };
        store.save(&save).unwrap();
        apply(&mut disk, &save);
    }
    let mut bytes = Vec::new();
    tape.ops().iter().for_each(|op| put(&mut bytes, op, |_| true));
    let began = std::time::Instant::now();
    let (tape, opened) = open(bytes.clone());
    println!("{} bytes, opened in {:?}", bytes.len(), began.elapsed());
    let (states, ops) = ([opened.unwrap().1], tape.ops());
    assert!(states[0].as_ref() == Some(&disk) && bytes.len() > 24 << 20);
    let mut losses = 0;
    each_loss(&bytes, &ops, &[Left::Any, Left::Whole], &mut rng, |bytes, _, what| {
        losses += 1;
        let found = open(bytes).1.map_err(|fault| format!("{what}: {fault}"))?.1;
        if fits(&found, &states, 0) { Ok(()) } else { Err(format!("{what}: another state")) }
    })
    .unwrap();
    println!("{losses} losses of power");
}

/// A disk that does not sync, and a store that tells of a write before it is synced, are found.
#[test]
fn planted_faults_of_a_disk_are_found() {
    let (tape, states) = recorded(1);
    let ops = tape.ops();
    let sync = |op: &Op| matches!(op, Op::Sync);
    let begun = ops.iter().position(|op| matches!(op, Op::Acknowledged(1))).unwrap();
    let unsynced = ops.iter().enumerate().filter(|(at, op)| *at < begun || !sync(op));
    let unsynced = unsynced.map(|(_, op)| op.clone()).collect();
    let mut early = ops.clone();
    for at in 1..early.len() {
        if matches!(early[at], Op::Acknowledged(_)) && sync(&early[at - 1]) {
            early.swap(at - 1, at);
        }
    }
    for ops in [unsynced, early] {
        let fault = power_goes(1, 50, &ops, &states).unwrap_err();
        assert!(fault.contains("were acknowledged"), "{fault}");
    }
}

/// A leader whose log begins with a snapshot that goes in pieces, and an entry that does.
fn leader_of_two() -> Node {
    let mut rng = Rng(11);
    let members = vec![voter(1), voter(2)];
    let snapshot = Snapshot { index: 40, term: 3, members, state: rng.bytes(70_000) };
    let entries = vec![
        Entry { index: 41, term: 3, payload: Payload::Change(rng.bytes(500)) },
        Entry { index: 42, term: 3, payload: Payload::Change(rng.bytes(50_000)) },
    ];
    let saved = PersistentState { term: 3, snapshot: Some(snapshot), entries, ..empty(voter(2), Vec::new()) };
    Node::start(saved, TIMING, 1, 0)
}

const TIMING: Timing = Timing { heartbeat: 60, election: 320, lease: 230 };

/// Two voters of which the first has a disk that is recorded, until it has all that the second one has; the second one's
/// is as quick as none. What the first one has on disk after each of its saves is added to `states`.
fn caught_up(
    store: &Store, tape: &Tape, found: PersistentState, states: &mut Vec<Option<PersistentState>>,
) -> Result<(), String> {
    let mut nodes = [Node::start(found.clone(), TIMING, 2, 0), leader_of_two()];
    let (mut disk, mut due) = (found, VecDeque::new());
    for now in (0..20_000).step_by(5) {
        due.extend((0..2).filter(|at| nodes[*at].next_due() <= now).map(|at| (at, Input::Tick)));
        while let Some((at, input)) = due.pop_front() {
            let mut out = Vec::new();
            nodes[at].handle(now, input, &mut out);
            for output in out {
                match output {
                    Output::Send { message, .. } => {
                        due.push_back((1 - at, Input::Received { from: voter(at as u64 + 1), message }));
                    }
                    Output::Save(save) => {
                        if at == 0 {
                            store.save(&save).map_err(|fault| fault.to_string())?;
                            apply(&mut disk, &save);
                            tape.acknowledge(states.len());
                            states.push(Some(disk.clone()));
                        }
                        due.push_back((at, Input::Saved { ticket: save.ticket }));
                    }
                    _ => {}
                }
            }
        }
        // The leader's own first entry is the 43rd.
        if nodes[0].commit() >= 43 {
            return Ok(());
        }
    }
    Err(format!("it has {} entries of 43", nodes[0].commit()))
}

/// Power goes at each write to the disk of a voter that takes a snapshot in pieces, in place of a log that does not fit
/// to it: it has the state of before or after, and catches up from there.
#[test]
fn power_may_go_while_a_snapshot_comes_in_pieces() {
    let mut rng = Rng(5);
    let tape = Tape::default();
    let (store, _) = Store::open_backend(tape.clone(), "tape").unwrap();
    let old = Snapshot { index: 4, term: 1, members: vec![voter(1), voter(2)], state: rng.bytes(5_000) };
    let begun = store.create_from_snapshot(voter(1), 1, old).unwrap();
    let odd =
        (5..9).map(|index| Entry { index, term: 2, payload: Payload::Change(rng.bytes(300)) }).collect();
    let save = Save { ticket: 1, term: 2, vote: None, truncate: None, entries: odd, snapshot: None };
    store.save(&save).unwrap();
    let mut disk = begun.clone();
    apply(&mut disk, &save);
    tape.acknowledge(1);
    let mut states = vec![None, Some(disk.clone())];
    let before = tape.ops().len();
    caught_up(&store, &tape, disk, &mut states).unwrap();
    drop(store);
    let mut losses = 0;
    let mut begin = Vec::new();
    tape.ops()[..before].iter().for_each(|op| put(&mut begin, op, |_| true));
    let ops = [&[Op::Acknowledged(1)], &tape.ops()[before..]].concat();
    each_loss(&begin, &ops, &[Left::Nothing, Left::Any, Left::All], &mut rng, |bytes, acknowledged, what| {
        losses += 1;
        let (tape, opened) = open(bytes);
        let (store, found) = opened.map_err(|fault| format!("{what}: {fault}"))?;
        if !fits(&found, &states, acknowledged) {
            return Err(format!("{what}: {acknowledged} writes were acknowledged, found {found:?}"));
        }
        let found = found.ok_or(format!("{what}: an empty disk"))?;
        // As seldom as the losses after a loss above: each takes a whole transfer.
        if losses % 10 > 0 {
            return Ok(());
        }
        caught_up(&store, &tape, found, &mut Vec::new()).map_err(|fault| format!("{what}: {fault}"))
    })
    .unwrap();
    println!("{losses} losses of power");
    assert!(losses > 100, "{losses}");
}

/// What opening a changed file comes to.
#[derive(Debug, Default)]
struct Found {
    whole: u64,
    damaged: u64,
    /// As of fewer writes than were made.
    older: u64,
}

impl Found {
    fn look(&mut self, what: &str, bytes: Vec<u8>, states: &[Option<PersistentState>]) {
        match catch_unwind(|| open(bytes).1.map(|(_, found)| found)) {
            Ok(Ok(found)) if found.as_ref() == states.last().and_then(Option::as_ref) => self.whole += 1,
            Ok(Ok(found)) if states.contains(&found) => self.older += 1,
            Ok(Err(fault)) if fault.is_lost() => self.damaged += 1,
            found => panic!("{what}: {found:?}"),
        }
    }

    /// Changes one bit in the file at each of these places; in its first bytes, which no sum covers, each bit.
    fn flip(bytes: &[u8], states: &[Option<PersistentState>], step: usize) -> Found {
        let mut found = Found::default();
        let first = (0..64).flat_map(|at| (0..8).map(move |bit| (at, bit)));
        let others = (64..320).chain((320..bytes.len()).step_by(step));
        for (at, bit) in first.chain(others.enumerate().map(|(number, at)| (at, number % 8))) {
            let mut changed = bytes.to_vec();
            changed[at] ^= 1 << bit;
            found.look(&format!("byte {at}, bit {bit}"), changed, states);
        }
        found
    }
}

/// A file as its process leaves it when it ends, or (with its last save acknowledged) when it is killed.
fn left_behind(closed: bool) -> (Vec<u8>, Vec<Option<PersistentState>>) {
    let (tape, states) = recorded(1);
    let ops = tape.ops();
    let last = ops.iter().rposition(|op| matches!(op, Op::Acknowledged(_))).unwrap();
    let mut bytes = Vec::new();
    ops[..if closed { ops.len() } else { last }].iter().for_each(|op| put(&mut bytes, op, |_| true));
    (bytes, states)
}

#[test]
fn a_changed_byte_of_a_closed_file_is_told_or_does_no_harm() {
    let (bytes, states) = left_behind(true);
    let found = Found::flip(&bytes, &states, 307);
    println!("{found:?} in {} bytes", bytes.len());
    assert!(found.older == 0 && found.damaged > 200 && found.whole > 100, "{found:?}");
}

#[test]
#[ignore = "some minutes: cargo test --release -p raft --test power -- --ignored"]
fn any_changed_byte_is_told_or_does_no_harm() {
    let (bytes, states) = left_behind(true);
    let found = Found::flip(&bytes, &states, 1);
    println!("closed: {found:?} in {} bytes", bytes.len());
    assert!(found.older == 0, "{found:?}");
    // The last save of a process that was killed looks like one that power cut off if it does not have its sums.
    let (bytes, states) = left_behind(false);
    let found = Found::flip(&bytes, &states[states.len() - 2..], 1);
    println!("killed: {found:?} in {} bytes", bytes.len());
}

#[test]
fn a_file_cut_short_or_extended_is_told() {
    let (bytes, states) = left_behind(true);
    let mut found = Found::default();
    let cuts = (1..bytes.len()).step_by(1021).chain((1..bytes.len() / 4096).map(|page| page * 4096));
    for length in cuts {
        found.look(&format!("cut to {length}"), bytes[..length].to_vec(), &states);
    }
    assert!(found.whole + found.older == 0, "{found:?}");
    for more in [1, 512, 4096, 8192, 65536] {
        let mut longer = bytes.clone();
        longer.resize(bytes.len() + more, 0);
        found.look(&format!("longer by {more}"), longer, &states);
    }
    assert!(found.older == 0, "{found:?}");
}

#[test]
fn a_file_that_was_never_begun_is_no_damaged_one() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let made = recorded(1).0.ops();
    let mut bytes = Vec::new();
    made.iter().take(2).for_each(|op| put(&mut bytes, op, |_| true));
    std::fs::write(&path, &bytes).unwrap();
    let (store, found) = Store::open(&path).unwrap();
    assert!(found.is_none() && store.create(voter(1), Vec::new()).is_ok());
    drop(store);
    // All that is not zero is somebody's.
    bytes[4096] = 1;
    std::fs::write(&path, &bytes).unwrap();
    assert!(Store::open(&path).unwrap_err().is_lost());
}
