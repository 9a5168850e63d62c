//! What lies in a data folder, read from a copy: neither a repair nor a fault of this program changes the original.

use super::CommandError;
use control_plane::{Change, DrainEntry, QuotaCheckpoint, SnapshotState};
use gumdrop::Options;
use raft::store::{Store, StoreError};
use raft::{Entry, Payload, PersistentState};
use serde_json::{Value, json};
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};

/// The arguments.
#[derive(Debug, Options)]
pub struct StateCommand {
    /// print this help
    help: bool,
    #[options(command, required)]
    call: Option<Kind>,
}

#[derive(Debug, Options)]
enum Kind {
    /// print what is in it
    Inspect(Folder),
    /// say whether it can be used
    Verify(Folder),
}

#[derive(Debug, Options)]
struct Folder {
    /// print this help
    help: bool,
    /// print JSON
    json: bool,
    #[options(free, required)]
    folder: PathBuf,
}

/// Does what is asked.
pub fn state(calls: StateCommand) -> Result<String, CommandError> {
    let (folder, all) = match calls.call {
        Some(Kind::Inspect(folder)) => (folder, true),
        Some(Kind::Verify(folder)) => (folder, false),
        None => {
            let why = "one of inspect, verify is wanted".into();
            return Err(CommandError::Unusable { step: "read", what: "arguments".into(), why });
        }
    };
    let path = folder.folder.join("log.redb");
    let told = read(&path)?.map(|saved| described(&saved, &path)).transpose()?;
    let name = path.display();
    Ok(match (folder.json, told) {
        (true, told) => {
            json!({ "file": path, "whole": true, "state": told.filter(|_| all) }).to_string() + "\n"
        }
        (false, None) => format!("{name}: whole, and empty: no voter was ever named in it\n"),
        (false, Some(_)) if !all => format!("{name}: whole\n"),
        (false, Some(told)) => shown(&told),
    })
}

fn read(path: &Path) -> Result<Option<PersistentState>, CommandError> {
    let unusable = |step: &'static str, why: String| CommandError::Unusable {
        step,
        what: path.display().to_string(),
        why,
    };
    let mut original = File::open(path).map_err(|error| unusable("open", error.to_string()))?;
    // Held while it is copied: a process that runs holds it alone.
    original.try_lock_shared().map_err(|error| match error {
        TryLockError::WouldBlock => unusable("open", "a process uses it: ask that one for its status".into()),
        TryLockError::Error(error) => unusable("lock", error.to_string()),
    })?;
    let folder = tempfile::tempdir().map_err(|error| unusable("copy", error.to_string()))?;
    let copy = folder.path().join("log.redb");
    let mut to = File::create(&copy).map_err(|error| unusable("copy", error.to_string()))?;
    std::io::copy(&mut original, &mut to).map_err(|error| unusable("copy", error.to_string()))?;
    drop(to);
    match Store::open(&copy) {
        Ok((_, saved)) => Ok(saved),
        Err(StoreError::Damaged { reason, .. }) => Err(damaged(path, reason)),
        Err(error) => Err(unusable("read", error.to_string())),
    }
}

fn damaged(path: &Path, why: String) -> CommandError {
    CommandError::Damaged { what: path.display().to_string(), why }
}

fn described(saved: &PersistentState, path: &Path) -> Result<Value, CommandError> {
    let snapshot = match &saved.snapshot {
        Some(snapshot) => {
            let state = SnapshotState::restore(&snapshot.state)
                .map_err(|error| damaged(path, format!("the state in the snapshot: {error}")))?;
            Some(json!({ "index": snapshot.index, "term": snapshot.term, "bytes": snapshot.state.len(),
                "members": snapshot.members.iter().map(ToString::to_string).collect::<Vec<_>>(),
                "version": format!("r{}", state.config_history.version()), "drains": state.drains.ids.len() }))
        }
        None => None,
    };
    let entry = |entry: &Entry| -> Result<Value, CommandError> {
        let what = match &entry.payload {
            Payload::Noop => "the first of a leader".to_owned(),
            Payload::Members(list) => {
                let list: Vec<_> = list.iter().map(ToString::to_string).collect();
                format!("voters {}", list.join(" "))
            }
            Payload::Change(change) if let Some(marks) = QuotaCheckpoint::decode(change) => {
                let marks = marks
                    .map_err(|error| damaged(path, format!("the marks in entry {}: {error}", entry.index)))?;
                format!("marks: {} floors of counts, {} data planes", marks.floors.len(), marks.fleet_size)
            }
            Payload::Change(change) if let Some(drains) = DrainEntry::decode(change) => {
                let drains = drains.map_err(|error| {
                    damaged(path, format!("the drains in entry {}: {error}", entry.index))
                })?;
                format!("backends that leave: {}", drains.ids.join(" "))
            }
            Payload::Change(change) => {
                let change = Change::decode(change).map_err(|error| {
                    damaged(path, format!("the change in entry {}: {error}", entry.index))
                })?;
                format!("change r{} on r{}, {} bytes", change.version, change.base, change.body.len())
            }
        };
        Ok(json!({ "index": entry.index, "term": entry.term, "what": what }))
    };
    let entries = saved.entries.iter().map(entry).collect::<Result<Vec<_>, _>>()?;
    let newest = saved.entries.iter().rev().find_map(|entry| match &entry.payload {
        Payload::Members(list) => Some(list),
        _ => None,
    });
    let members = newest.or(saved.snapshot.as_ref().map(|s| &s.members)).unwrap_or(&saved.founders);
    let all = |list: &[raft::VoterId]| list.iter().map(ToString::to_string).collect::<Vec<_>>();
    Ok(
        json!({ "me": saved.me.to_string(), "term": saved.term, "vote": saved.vote.as_ref().map(ToString::to_string),
        "founders": all(&saved.founders), "members": all(members), "snapshot": snapshot, "entries": entries }),
    )
}

fn shown(told: &Value) -> String {
    use super::table::{cell, of};
    let list = |list: &Value| list.as_array().into_iter().flatten().map(cell).collect::<Vec<_>>().join(" ");
    let mut text = format!(
        "voter     {}\nterm      {}\nvote      {}\nmembers   {}\nfounders  {}\n",
        cell(&told["me"]),
        cell(&told["term"]),
        cell(&told["vote"]),
        list(&told["members"]),
        list(&told["founders"])
    );
    let snapshot = &told["snapshot"];
    if snapshot.is_null() {
        text.push_str("snapshot  none\n");
    } else {
        text.push_str(&format!(
            "snapshot  up to entry {} of term {}: configuration {}, {} bytes\n",
            cell(&snapshot["index"]),
            cell(&snapshot["term"]),
            cell(&snapshot["version"]),
            cell(&snapshot["bytes"])
        ));
    }
    text.push('\n');
    text + &of(&told["entries"], &["index", "term", "what"])
}

#[cfg(test)]
mod tests {
    use super::*;
    use raft::{Save, Snapshot, VoterId};

    fn called(folder: &Path, kind: fn(Folder) -> Kind) -> Result<String, u8> {
        let folder = Folder { help: false, json: false, folder: folder.to_path_buf() };
        state(StateCommand { help: false, call: Some(kind(folder)) }).map_err(|error| error.status())
    }

    fn filled() -> (tempfile::TempDir, PathBuf) {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("log.redb");
        let (store, _) = Store::open(&path).expect("a store");
        let me = VoterId { address: "10.0.0.1:7".into(), incarnation: 0 };
        store.create(me.clone(), vec![me.clone()]).expect("created");
        // What the version before this one wrote: a number, a body, digests.
        let state =
            bitcode::encode(&(5u64, b"body".to_vec(), std::collections::BTreeMap::<u64, [u8; 32]>::new()));
        let change = Change { base: 5, version: 6, digest: [6; 32], body: b"marked body".to_vec() };
        let snapshot = Snapshot { index: 2, term: 3, members: vec![me], state };
        let what = Payload::Change(bitcode::encode(&change));
        let entries = vec![Entry { index: 3, term: 3, payload: what }];
        let save = Save { ticket: 1, term: 3, vote: None, truncate: None, entries, snapshot: Some(snapshot) };
        store.save(&save).expect("saved");
        (folder, path)
    }

    #[test]
    fn what_lies_there_is_shown_and_stays_as_it_is() {
        let (folder, path) = filled();
        let before = std::fs::read(&path).expect("the file");
        let text = called(folder.path(), Kind::Inspect).expect("it is whole");
        for part in ["10.0.0.1:7#0", "entry 2 of term 3: configuration r5", "change r6 on r5, 11 bytes"] {
            assert!(text.contains(part), "{part} in {text}");
        }
        assert!(std::fs::read(&path).expect("the file") == before);
    }

    #[test]
    fn statuses_tell_damage_from_what_can_t_be_used() {
        let (folder, path) = filled();
        assert!(called(folder.path(), Kind::Verify).is_ok());
        let held = Store::open(&path).expect("a process that runs");
        assert_eq!(called(folder.path(), Kind::Verify), Err(2), "in use");
        drop(held);
        let mut bytes = std::fs::read(&path).expect("the file");
        let places: Vec<_> =
            bytes.windows(6).enumerate().filter(|(_, w)| w == b"marked").map(|(at, _)| at).collect();
        places.into_iter().for_each(|at| bytes[at] ^= 1);
        std::fs::write(&path, &bytes).expect("written");
        assert_eq!(called(folder.path(), Kind::Verify), Err(3), "a flipped bit");
        std::fs::write(&path, [7; 5000]).expect("written");
        assert_eq!(called(folder.path(), Kind::Verify), Err(3), "something else");
        assert_eq!(called(&folder.path().join("none"), Kind::Verify), Err(2));
    }
}
