//! The `state` command: shows or checks the log store in the data directory of a stopped process. The command reads a
//! copy, so that neither a repair by the store nor a fault of this program changes the original file.

use super::CommandError;
use control_plane::{Change, DrainEntry, QuotaCheckpoint, SnapshotState};
use gumdrop::Options;
use raft::store::{Store, StoreError};
use raft::{Entry, Payload, PersistentState};
use serde_json::{Value, json};
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};

/// Arguments of the `state` command.
#[derive(Debug, Options)]
pub struct StateCommand {
    /// print this help
    help: bool,
    #[options(command, required)]
    call: Option<Kind>,
}

#[derive(Debug, Options)]
enum Kind {
    /// print the content of the log store
    Inspect(DirectoryOptions),
    /// check whether the log store is intact
    Verify(DirectoryOptions),
}

#[derive(Debug, Options)]
struct DirectoryOptions {
    /// print this help
    help: bool,
    /// print JSON
    json: bool,
    #[options(free, required)]
    folder: PathBuf,
}

/// Runs the `state` command.
pub fn state(command: StateCommand) -> Result<String, CommandError> {
    let (options, with_content) = match command.call {
        Some(Kind::Inspect(options)) => (options, true),
        Some(Kind::Verify(options)) => (options, false),
        None => {
            let reason = "expected one of the subcommands inspect, verify".into();
            return Err(CommandError::InvalidInput { step: "read", subject: "arguments".into(), reason });
        }
    };
    let path = options.folder.join("log.redb");
    let content = read_store(&path)?.map(|saved| describe(&saved, &path)).transpose()?;
    let name = path.display();
    Ok(match (options.json, content) {
        (true, content) => {
            json!({ "file": path, "whole": true, "state": content.filter(|_| with_content) }).to_string()
                + "\n"
        }
        (false, None) => format!("{name}: whole, and empty: no voter identity has been stored\n"),
        (false, Some(_)) if !with_content => format!("{name}: whole\n"),
        (false, Some(content)) => format_content(&content),
    })
}

fn read_store(path: &Path) -> Result<Option<PersistentState>, CommandError> {
    let unusable = |step: &'static str, reason: String| CommandError::InvalidInput {
        step,
        subject: path.display().to_string(),
        reason,
    };
    let mut original = File::open(path).map_err(|error| unusable("open", error.to_string()))?;
    // The shared lock is held during the copy. A running process holds the lock exclusively.
    original.try_lock_shared().map_err(|error| match error {
        TryLockError::WouldBlock => unusable(
            "open",
            "a running process uses the file: query the status of that process instead".into(),
        ),
        TryLockError::Error(error) => unusable("lock", error.to_string()),
    })?;
    let temporary_directory = tempfile::tempdir().map_err(|error| unusable("copy", error.to_string()))?;
    let copy_path = temporary_directory.path().join("log.redb");
    let mut copy = File::create(&copy_path).map_err(|error| unusable("copy", error.to_string()))?;
    std::io::copy(&mut original, &mut copy).map_err(|error| unusable("copy", error.to_string()))?;
    drop(copy);
    match Store::open(&copy_path) {
        Ok((_, saved)) => Ok(saved),
        Err(StoreError::Damaged { reason, .. }) => Err(damaged(path, reason)),
        Err(error) => Err(unusable("read", error.to_string())),
    }
}

fn damaged(path: &Path, reason: String) -> CommandError {
    CommandError::Damaged { path: path.display().to_string(), reason }
}

/// Converts the stored state into JSON. Fails when a part of the state cannot be decoded.
fn describe(saved: &PersistentState, path: &Path) -> Result<Value, CommandError> {
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
            Payload::Noop => "no-op entry of a new leader".to_owned(),
            Payload::Members(list) => {
                let list: Vec<_> = list.iter().map(ToString::to_string).collect();
                format!("voters {}", list.join(" "))
            }
            Payload::Change(change) if let Some(checkpoint) = QuotaCheckpoint::decode(change) => {
                let checkpoint = checkpoint.map_err(|error| {
                    damaged(path, format!("the quota checkpoint in entry {}: {error}", entry.index))
                })?;
                format!(
                    "quota checkpoint: {} floors, {} data planes",
                    checkpoint.floors.len(),
                    checkpoint.fleet_size
                )
            }
            Payload::Change(change) if let Some(drains) = DrainEntry::decode(change) => {
                let drains = drains.map_err(|error| {
                    damaged(path, format!("the drains in entry {}: {error}", entry.index))
                })?;
                format!("draining backends: {}", drains.ids.join(" "))
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
    let latest_members = saved.entries.iter().rev().find_map(|entry| match &entry.payload {
        Payload::Members(list) => Some(list),
        _ => None,
    });
    let members = latest_members.or(saved.snapshot.as_ref().map(|s| &s.members)).unwrap_or(&saved.founders);
    let names = |list: &[raft::VoterId]| list.iter().map(ToString::to_string).collect::<Vec<_>>();
    Ok(
        json!({ "me": saved.me.to_string(), "term": saved.term, "vote": saved.vote.as_ref().map(ToString::to_string),
        "founders": names(&saved.founders), "members": names(members), "snapshot": snapshot, "entries": entries }),
    )
}

fn format_content(content: &Value) -> String {
    use super::table::{cell, table_of};
    let list = |list: &Value| list.as_array().into_iter().flatten().map(cell).collect::<Vec<_>>().join(" ");
    let mut text = format!(
        "voter     {}\nterm      {}\nvote      {}\nmembers   {}\nfounders  {}\n",
        cell(&content["me"]),
        cell(&content["term"]),
        cell(&content["vote"]),
        list(&content["members"]),
        list(&content["founders"])
    );
    let snapshot = &content["snapshot"];
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
    text + &table_of(&content["entries"], &["index", "term", "what"])
}

#[cfg(test)]
mod tests {
    use super::*;
    use raft::{Save, Snapshot, VoterId};

    fn run(directory: &Path, kind: fn(DirectoryOptions) -> Kind) -> Result<String, u8> {
        let options = DirectoryOptions { help: false, json: false, folder: directory.to_path_buf() };
        state(StateCommand { help: false, call: Some(kind(options)) }).map_err(|error| error.exit_status())
    }

    fn directory_with_store() -> (tempfile::TempDir, PathBuf) {
        let directory = tempfile::tempdir().expect("cannot create the directory");
        let path = directory.path().join("log.redb");
        let (store, _) = Store::open(&path).expect("cannot create the store");
        let me = VoterId { address: "10.0.0.1:7".into(), incarnation: 0 };
        store.create(me.clone(), vec![me.clone()]).expect("cannot store the voter identity");
        // Snapshot state in the format of the previous program version: version number, body, digests.
        let state =
            bitcode::encode(&(5u64, b"body".to_vec(), std::collections::BTreeMap::<u64, [u8; 32]>::new()));
        let change = Change { base: 5, version: 6, digest: [6; 32], body: b"marked body".to_vec() };
        let snapshot = Snapshot { index: 2, term: 3, members: vec![me], state };
        let payload = Payload::Change(bitcode::encode(&change));
        let entries = vec![Entry { index: 3, term: 3, payload }];
        let save = Save { ticket: 1, term: 3, vote: None, truncate: None, entries, snapshot: Some(snapshot) };
        store.save(&save).expect("cannot save");
        (directory, path)
    }

    #[test]
    fn inspect_prints_the_content_and_leaves_the_file_unchanged() {
        let (directory, path) = directory_with_store();
        let before = std::fs::read(&path).expect("cannot read the file");
        let text = run(directory.path(), Kind::Inspect).expect("the store counts as damaged");
        for part in ["10.0.0.1:7#0", "entry 2 of term 3: configuration r5", "change r6 on r5, 11 bytes"] {
            assert!(text.contains(part), "{part} is missing in {text}");
        }
        assert!(std::fs::read(&path).expect("cannot read the file") == before);
    }

    #[test]
    fn exit_statuses_distinguish_damaged_files_from_unusable_files() {
        let (directory, path) = directory_with_store();
        assert!(run(directory.path(), Kind::Verify).is_ok());
        let open_store = Store::open(&path).expect("cannot open the store");
        assert_eq!(run(directory.path(), Kind::Verify), Err(2), "file in use");
        drop(open_store);
        let mut bytes = std::fs::read(&path).expect("cannot read the file");
        let offsets: Vec<_> =
            bytes.windows(6).enumerate().filter(|(_, w)| w == b"marked").map(|(offset, _)| offset).collect();
        offsets.into_iter().for_each(|offset| bytes[offset] ^= 1);
        std::fs::write(&path, &bytes).expect("cannot write the file");
        assert_eq!(run(directory.path(), Kind::Verify), Err(3), "flipped bit");
        std::fs::write(&path, [7; 5000]).expect("cannot write the file");
        assert_eq!(run(directory.path(), Kind::Verify), Err(3), "not a store");
        assert_eq!(run(&directory.path().join("none"), Kind::Verify), Err(2));
    }
}
