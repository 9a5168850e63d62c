//! The voter's disk: its identity, its vote, its log and its last snapshot, in one `redb` file. Whatever is answered
//! to others as written has been synced before. Calls may block; they run on a thread of their own.
//!
//! Invariants: every value carries its checksum; a file that cannot be read whole, or that is another group's or
//! another process's, is set aside and told in one line, and the voter begins anew under an identity never used
//! before. So it cannot vote twice in a term that it has forgotten: the old identity's vote is counted for nobody.

use crate::machine::State;
use crate::voter::{Node, NodeId, Types};
use openraft::storage::{LogFlushed, LogState, RaftLogReader, RaftLogStorage};
use openraft::{
    AnyError, Entry, EntryPayload, ErrorSubject, ErrorVerb, LogId, Membership, OptionalSend, SnapshotMeta,
    StorageError, StorageIOError, StoredMembership, Vote,
};
use redb::{Database, ReadableDatabase as _, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fmt::Debug;
use std::io;
use std::ops::{Bound, RangeBounds};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const FILE: &str = "group.redb";
/// The form of what is in the file; another one is not understood.
const FORMAT: u32 = 1;
/// The most memory that the store keeps of its file.
const CACHE: usize = 4 << 20;
/// How many files that were set aside are kept.
const ASIDE: u32 = 3;

/// Who a voter is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The form of the file.
    pub format: u32,
    /// The number that votes are counted under, drawn when the file was made.
    pub id: NodeId,
    /// The process's name.
    pub name: String,
    /// The group's name.
    pub group: String,
}

/// What is wrong with a file.
#[derive(Debug)]
pub enum StoreError {
    /// The store's own word.
    Store(String),
    /// A value does not fit its checksum, or cannot be read.
    Damaged(&'static str),
    /// Another process has it.
    Busy,
    /// It is of another form, group or process.
    Foreign(Identity),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(what) => f.write_str(what),
            Self::Busy => f.write_str("another process has it open"),
            Self::Damaged(what) => write!(f, "{what} is damaged"),
            Self::Foreign(of) => write!(f, "it is of {} in group {}, form {}", of.name, of.group, of.format),
        }
    }
}

impl std::error::Error for StoreError {}

fn store(error: impl fmt::Display) -> StoreError {
    StoreError::Store(error.to_string())
}

/// A snapshot as it is kept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kept {
    /// What it covers.
    pub meta: SnapshotMeta<NodeId, Node>,
    /// The state.
    pub state: State,
}

fn sealed<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    let mut bytes = postcard::to_stdvec(value).map_err(store)?;
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    Ok(bytes)
}

fn opened<T: DeserializeOwned>(bytes: &[u8], what: &'static str) -> Result<T, StoreError> {
    let (bytes, sum) = bytes.split_last_chunk::<4>().ok_or(StoreError::Damaged(what))?;
    if crc32fast::hash(bytes) != u32::from_le_bytes(*sum) {
        return Err(StoreError::Damaged(what));
    }
    postcard::from_bytes(bytes).map_err(|_| StoreError::Damaged(what))
}

/// The voter's file.
#[derive(Clone)]
pub struct Store {
    db: Arc<Database>,
    /// Who this voter is.
    pub identity: Identity,
}

impl Store {
    /// Opens the file in a folder, or makes it. `tell` hears why a file that was there is not used.
    ///
    /// # Errors
    /// When there can be no file in the folder.
    pub fn open(folder: &Path, name: &str, group: &str, tell: impl Fn(String)) -> Result<Self, StoreError> {
        std::fs::create_dir_all(folder).map_err(store)?;
        let path = folder.join(FILE);
        if path.exists() {
            match Self::read(&path, name, group) {
                Ok(found) => return Ok(found),
                // Not this one's to set aside: its predecessor still votes by it.
                Err(StoreError::Busy) => return Err(StoreError::Busy),
                Err(why) => {
                    let aside = set_aside(&path).map_err(store)?;
                    tell(format!(
                        "{}: not used: {why}; set aside as {}. This voter has no vote until it is taken in anew",
                        path.display(),
                        aside.display()
                    ));
                }
            }
        }
        Self::make(&path, name, group)
    }

    fn read(path: &Path, name: &str, group: &str) -> Result<Self, StoreError> {
        let opened = Database::builder().set_cache_size(CACHE).open(path);
        let mut db = opened.map_err(|error| match error {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::Busy,
            error => store(error),
        })?;
        if !db.check_integrity().map_err(store)? {
            return Err(StoreError::Damaged("the file"));
        }
        let found: Option<Identity> = get(&db, "identity")?;
        let identity = found.ok_or(StoreError::Damaged("identity"))?;
        if identity.format != FORMAT || identity.name != name || identity.group != group {
            return Err(StoreError::Foreign(identity));
        }
        let store_of = Self { db: Arc::new(db), identity };
        // All of it is read once: a voter that finds out later that it cannot read its log has voted by then.
        store_of.vote()?;
        store_of.purged()?;
        store_of.snapshot()?;
        store_of.entries(..)?;
        Ok(store_of)
    }

    fn make(path: &Path, name: &str, group: &str) -> Result<Self, StoreError> {
        let db = Database::builder().set_cache_size(CACHE).create(path).map_err(store)?;
        // Numbers of 53 bits stay whole in whatever shows them.
        let id = (rand::random::<u64>() >> 11).max(1);
        let identity = Identity { format: FORMAT, id, name: name.into(), group: group.into() };
        let made = Self { db: Arc::new(db), identity };
        made.put("identity", &made.identity)?;
        let write = made.db.begin_write().map_err(store)?;
        write.open_table(LOG).map_err(store)?;
        write.commit().map_err(store)?;
        // The name of the file in the folder is to outlive a loss of power as well.
        if let Some(folder) = path.parent() {
            std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(store)?;
        }
        Ok(made)
    }

    /// Writes one value of the file, synced.
    fn put<T: Serialize>(&self, key: &str, value: &T) -> Result<(), StoreError> {
        let write = self.db.begin_write().map_err(store)?;
        write.open_table(META).map_err(store)?.insert(key, sealed(value)?.as_slice()).map_err(store)?;
        write.commit().map_err(store)
    }

    /// The vote.
    pub fn vote(&self) -> Result<Option<Vote<NodeId>>, StoreError> {
        get(&self.db, "vote")
    }

    fn purged(&self) -> Result<Option<LogId<NodeId>>, StoreError> {
        get(&self.db, "purged")
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> Result<Option<Kept>, StoreError> {
        get(&self.db, "snapshot")
    }

    /// Keeps a snapshot instead of the one before.
    pub fn keep(&self, kept: &Kept) -> Result<(), StoreError> {
        self.put("snapshot", kept)
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<Types>>, StoreError> {
        let read = self.db.begin_read().map_err(store)?;
        let table = read.open_table(LOG).map_err(store)?;
        let bounds = (range.start_bound().cloned(), range.end_bound().cloned());
        let mut entries = Vec::new();
        for row in table.range::<u64>(bounds).map_err(store)? {
            let (_, bytes) = row.map_err(store)?;
            entries.push(opened(bytes.value(), "the log")?);
        }
        Ok(entries)
    }

    fn append(&self, entries: &[Entry<Types>]) -> Result<(), StoreError> {
        let write = self.db.begin_write().map_err(store)?;
        {
            let mut table = write.open_table(LOG).map_err(store)?;
            for entry in entries {
                table.insert(entry.log_id.index, sealed(entry)?.as_slice()).map_err(store)?;
            }
        }
        write.commit().map_err(store)
    }

    fn remove(&self, range: impl RangeBounds<u64>, purged: Option<LogId<NodeId>>) -> Result<(), StoreError> {
        let bounds: (Bound<u64>, Bound<u64>) = (range.start_bound().cloned(), range.end_bound().cloned());
        let write = self.db.begin_write().map_err(store)?;
        {
            let mut table = write.open_table(LOG).map_err(store)?;
            table.retain_in::<u64, _>(bounds, |_, _| false).map_err(store)?;
            if let Some(purged) = purged {
                let mut meta = write.open_table(META).map_err(store)?;
                meta.insert("purged", sealed(&purged)?.as_slice()).map_err(store)?;
            }
        }
        write.commit().map_err(store)
    }
}

/// Why a voter's disk cannot become a group of its own.
#[derive(Debug)]
pub enum RescueError {
    /// The disk cannot be used, or is in use.
    Store(StoreError),
    /// It holds nothing of a group.
    Empty,
    /// The names given are not those of all other voters, which are these.
    Names(Vec<String>),
}

impl fmt::Display for RescueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "{error}"),
            Self::Empty => f.write_str("this disk holds nothing of a group"),
            Self::Names(names) => {
                write!(f, "the other voters are {}: name all of them, if all are lost", names.join(", "))
            }
        }
    }
}

impl std::error::Error for RescueError {}

impl From<StoreError> for RescueError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// Makes a group of one voter out of the disk of the last one, when all others are lost for good: `lost` names all of
/// them. The process must not be running. What this voter knew goes on, under a new number; the old file is set
/// aside. If one of the others still lives there are two groups from now on: there is nobody who could tell.
///
/// # Errors
/// When the disk cannot be used or the names are not those of the other voters; nothing has been changed then.
pub fn rescue(folder: &Path, name: &str, group: &str, lost: &[String]) -> Result<NodeId, RescueError> {
    let path = folder.join(FILE);
    if !path.exists() {
        return Err(RescueError::Empty);
    }
    let old = Store::read(&path, name, group)?;
    let mut kept = old.snapshot()?.unwrap_or(Kept { meta: SnapshotMeta::default(), state: State::default() });
    for entry in old.entries(..)? {
        if kept.meta.last_log_id.is_some_and(|last| entry.log_id <= last) {
            continue;
        }
        kept.meta.last_log_id = Some(entry.log_id);
        match &entry.payload {
            EntryPayload::Normal(command) => {
                kept.state.apply(entry.log_id.leader_id.term, command);
            }
            EntryPayload::Membership(membership) => {
                kept.meta.last_membership = StoredMembership::new(Some(entry.log_id), membership.clone());
            }
            EntryPayload::Blank => {}
        }
    }
    let membership = kept.meta.last_membership.membership();
    let me = membership.get_node(&old.identity.id).cloned().ok_or(RescueError::Empty)?;
    let others = membership.voter_ids().filter(|id| *id != old.identity.id);
    let mut others: Vec<String> =
        others.filter_map(|id| membership.get_node(&id).map(|node| node.name.clone())).collect();
    let mut named = lost.to_vec();
    others.sort();
    named.sort();
    if others != named {
        return Err(RescueError::Names(others));
    }
    // Terms go on above all that this voter has seen: in an older one its new number could be below the last leader's.
    let term = |vote: Vote<NodeId>| vote.leader_id().term;
    let seen = old.vote()?.map_or(0, term).max(kept.meta.last_log_id.map_or(0, |last| last.leader_id.term));
    drop(old);
    set_aside(&path).map_err(store)?;
    let new = Store::make(&path, name, group)?;
    let id = new.identity.id;
    let alone = Membership::new(vec![BTreeSet::from([id])], BTreeMap::from([(id, me)]));
    kept.meta.last_membership = StoredMembership::new(kept.meta.last_log_id, alone);
    kept.meta.snapshot_id = format!("rescued-{id}");
    new.keep(&kept)?;
    new.put("vote", &Vote::new(seen + 1, id))?;
    new.remove(.., kept.meta.last_log_id)?;
    Ok(id)
}

fn get<T: DeserializeOwned>(db: &Database, key: &'static str) -> Result<Option<T>, StoreError> {
    let read = db.begin_read().map_err(store)?;
    let table = read.open_table(META).map_err(store)?;
    let found = table.get(key).map_err(store)?;
    found.map(|bytes| opened(bytes.value(), key)).transpose()
}

/// Renames a file so that it is kept for whoever wants to look at it; the oldest such file goes.
fn set_aside(path: &Path) -> io::Result<PathBuf> {
    let name = |number: u32| path.with_extension(format!("aside-{number}"));
    let free = (0..ASIDE).find(|number| !name(*number).exists());
    let number = match free {
        Some(number) => number,
        None => {
            for number in 1..ASIDE {
                std::fs::rename(name(number), name(number - 1))?;
            }
            ASIDE - 1
        }
    };
    std::fs::rename(path, name(number))?;
    Ok(name(number))
}

/// Does what may block on a thread that may.
async fn blocking<T: Send + 'static>(
    subject: ErrorSubject<NodeId>, verb: ErrorVerb,
    what: impl FnOnce() -> Result<T, StoreError> + Send + 'static,
) -> Result<T, StorageError<NodeId>> {
    let done = tokio::task::spawn_blocking(what).await;
    let done = done.map_err(|error| AnyError::new(&error)).and_then(|d| d.map_err(|e| AnyError::new(&e)));
    done.map_err(|error| StorageIOError::new(subject, verb, error).into())
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self, range: R,
    ) -> Result<Vec<Entry<Types>>, StorageError<NodeId>> {
        let (store, bounds) = (self.clone(), (range.start_bound().cloned(), range.end_bound().cloned()));
        blocking(ErrorSubject::Logs, ErrorVerb::Read, move || store.entries(bounds)).await
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<NodeId>> {
        let store = self.clone();
        blocking(ErrorSubject::Logs, ErrorVerb::Read, move || {
            let last_purged_log_id = store.purged()?;
            let last = store.entries(..)?.last().map(|entry| entry.log_id);
            Ok(LogState { last_purged_log_id, last_log_id: last.or(last_purged_log_id) })
        })
        .await
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<(), StorageError<NodeId>> {
        let (store, vote) = (self.clone(), *vote);
        blocking(ErrorSubject::Vote, ErrorVerb::Write, move || store.put("vote", &vote)).await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>, StorageError<NodeId>> {
        let store = self.clone();
        blocking(ErrorSubject::Vote, ErrorVerb::Read, move || store.vote()).await
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError<NodeId>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let (store, entries): (_, Vec<_>) = (self.clone(), entries.into_iter().collect());
        let done = blocking(ErrorSubject::Logs, ErrorVerb::Write, move || store.append(&entries)).await;
        callback.log_io_completed(done.clone().map_err(io::Error::other));
        done
    }

    async fn truncate(&mut self, log_id: LogId<NodeId>) -> Result<(), StorageError<NodeId>> {
        let store = self.clone();
        let what = move || store.remove(log_id.index.., None);
        blocking(ErrorSubject::Logs, ErrorVerb::Delete, what).await
    }

    async fn purge(&mut self, log_id: LogId<NodeId>) -> Result<(), StorageError<NodeId>> {
        let store = self.clone();
        let what = move || store.remove(..=log_id.index, Some(log_id));
        blocking(ErrorSubject::Logs, ErrorVerb::Delete, what).await
    }
}
