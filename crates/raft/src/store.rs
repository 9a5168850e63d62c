//! The disk of a node: one `redb` file. A save is one transaction, durable when it returns.

use std::fs::{File, OpenOptions};
use std::ops::Bound;
use std::path::{Path, PathBuf};

use bitcode::{DecodeOwned, Encode};
use miette::Diagnostic;
use redb::backends::FileBackend;
use redb::{
    Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, TableError,
};

use crate::checksum::checksum;
use crate::types::{Entry, PersistentState, Save, Snapshot, VoterId};

/// Rises with each change of what is written here.
const SCHEMA: u64 = 1;
/// A small cache: what is needed often is in the node's memory.
const CACHE_BYTES: usize = 1 << 20;
/// Snapshots are cut into pieces, so that the file can reuse the room of an old one piece by piece.
const SNAPSHOT_CHUNK_BYTES: usize = 48 << 10;
/// A file that is longer than this is made smaller when it is opened.
const COMPACT_ABOVE_BYTES: u64 = 24 << 20;

/// `redb`'s own: the bytes of its mark at the start, of the header that they are in, and (at most) of a file before
/// its first transaction.
const MAGIC_BYTES: usize = 9;
const HEADER_BYTES: usize = 512;
const MAX_UNINITIALIZED_BYTES: u64 = 1 << 20;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const SNAPSHOT: TableDefinition<u64, &[u8]> = TableDefinition::new("snapshot");
/// Key of the hard state (term and vote) in [`META`]. Its bytes stay as the first version of the file wrote them.
const HARD_STATE_KEY: &str = "ballot";

/// The disk of a node.
#[derive(Debug)]
pub struct Store {
    db: Database,
    path: PathBuf,
}

/// Why the disk did not do what was asked.
#[derive(Debug, Diagnostic)]
pub enum StoreError {
    /// The file, or the disk under it, failed.
    #[diagnostic(code(raft::store::failed), help("look at the disk: its room, its rights, its errors"))]
    Failed {
        /// What was being done.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// What the disk said.
        cause: Box<redb::Error>,
    },
    /// What is in the file is not what was written.
    #[diagnostic(code(raft::store::damaged), help("set the file aside and join as a new voter"))]
    Damaged {
        /// What is damaged.
        reason: String,
        /// The file.
        path: PathBuf,
    },
    /// The file was written by another version of this program.
    #[diagnostic(code(raft::store::schema), help("start the version that wrote it, or set the file aside"))]
    Schema {
        /// The version of its contents.
        found: u64,
        /// The file.
        path: PathBuf,
    },
    /// A file that already belongs to a node was to be created again.
    #[diagnostic(code(raft::store::taken))]
    AlreadyInitialized {
        /// The file.
        path: PathBuf,
    },
    /// The file could not be moved out of the way.
    #[diagnostic(code(raft::store::set_aside))]
    SetAsideFailed {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Failed { step, path, cause } => write!(f, "{step} of {}: {cause}", path.display()),
            StoreError::Damaged { reason, path } => write!(f, "{} is damaged: {reason}", path.display()),
            StoreError::Schema { found, path } => {
                write!(f, "{} has contents of version {found}, not {SCHEMA}", path.display())
            }
            StoreError::AlreadyInitialized { path } => write!(f, "{} already holds a node", path.display()),
            StoreError::SetAsideFailed { path, cause } => {
                write!(f, "{} stays where it is: {cause}", path.display())
            }
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StoreError::Failed { cause, .. } => Some(cause.as_ref()),
            StoreError::SetAsideFailed { cause, .. } => Some(cause),
            _ => None,
        }
    }
}

impl StoreError {
    /// Whether the host can treat the disk as lost: set the file aside and join as a new voter.
    pub fn is_lost(&self) -> bool {
        matches!(self, StoreError::Damaged { .. })
    }
}

impl Store {
    /// Opens the file, or makes an empty one, and checks all that is in it. An empty one has nothing saved yet: see
    /// [`Store::create`].
    pub fn open(path: impl AsRef<Path>) -> Result<(Store, Option<PersistentState>), StoreError> {
        let path = path.as_ref();
        let is_new = !path.exists();
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let file = file.map_err(store_error(path, "opening"))?;
        if is_new
            && let Some(parent_dir) = path.parent().filter(|parent_dir| !parent_dir.as_os_str().is_empty())
        {
            // A file that is on disk while its name is not would be gone with all that it had promised.
            File::open(parent_dir)
                .and_then(|parent_dir| parent_dir.sync_all())
                .map_err(store_error(path, "beginning"))?;
        }
        Store::open_backend(FileBackend::new(file).map_err(store_error(path, "opening"))?, path)
    }

    /// As above, on what need not be a file; `path` is what errors call it.
    pub fn open_backend(
        backend: impl StorageBackend, path: impl Into<PathBuf>,
    ) -> Result<(Store, Option<PersistentState>), StoreError> {
        let path = path.into();
        if is_uninitialized(&backend).map_err(store_error(&path, "opening"))? {
            erase_if_uninitialized(&backend).map_err(store_error(&path, "beginning"))?;
        }
        let needs_compaction = backend.len().map_err(store_error(&path, "opening"))? > COMPACT_ABOVE_BYTES;
        let mut builder = Database::builder();
        // Otherwise `redb` trusts a file that was closed properly: a byte changed in it later would end this process
        // in the midst of the library, at each start anew.
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        let db = builder.create_with_backend(backend).map_err(store_error(&path, "opening"))?;
        let mut store = Store { db, path };
        let saved = store.read()?;
        if needs_compaction {
            // Room that is free inside the file goes back to the disk, which is small.
            store.db.compact().map_err(store_error(&store.path, "making smaller"))?;
        }
        Ok((store, saved))
    }

    /// Writes who this node is. `founders` are the founding voters, none for a node that joins.
    pub fn create(&self, me: VoterId, founders: Vec<VoterId>) -> Result<PersistentState, StoreError> {
        if self.read()?.is_some() {
            return Err(StoreError::AlreadyInitialized { path: self.path.clone() });
        }
        let hard_state: (u64, Option<VoterId>) = (0, None);
        self.write("creating", |tables| {
            tables.meta.insert("schema", SCHEMA.to_be_bytes().as_slice())?;
            tables.meta.insert("me", encode_with_checksum(&me).as_slice())?;
            tables.meta.insert("founders", encode_with_checksum(&founders).as_slice())?;
            tables.meta.insert(HARD_STATE_KEY, encode_with_checksum(&hard_state).as_slice())?;
            Ok(())
        })?;
        Ok(PersistentState { me, term: 0, vote: None, snapshot: None, entries: Vec::new(), founders })
    }

    /// Writes who this node is, and a snapshot that its log begins with: for a log whose voters were not known when
    /// the file was made, and for the last voter of one that goes on alone under another incarnation. The term only
    /// rises; the vote in it stays if it does not. A file that has a log already is left as it is.
    pub fn create_from_snapshot(
        &self, me: VoterId, term: u64, snapshot: Snapshot,
    ) -> Result<PersistentState, StoreError> {
        let found = self.read()?;
        if found.as_ref().is_some_and(|saved| saved.snapshot.is_some() || !saved.entries.is_empty()) {
            return Err(StoreError::AlreadyInitialized { path: self.path.clone() });
        }
        let (stored_term, vote) = found.map_or((0, None), |saved| (saved.term, saved.vote));
        let term = term.max(stored_term).max(snapshot.term);
        let vote = vote.filter(|_| term == stored_term);
        // All of it in one step: half of it would be a voter that has forgotten its log.
        self.write("beginning", |tables| {
            tables.meta.insert("schema", SCHEMA.to_be_bytes().as_slice())?;
            tables.meta.insert("me", encode_with_checksum(&me).as_slice())?;
            tables.meta.insert("founders", encode_with_checksum(&Vec::<VoterId>::new()).as_slice())?;
            tables.meta.insert(HARD_STATE_KEY, encode_with_checksum(&(term, vote.clone())).as_slice())?;
            tables.replace_snapshot(&snapshot)
        })?;
        Ok(PersistentState {
            me,
            term,
            vote,
            snapshot: Some(snapshot),
            entries: Vec::new(),
            founders: Vec::new(),
        })
    }

    /// Writes a save: it is on disk when this returns.
    pub fn save(&self, save: &Save) -> Result<(), StoreError> {
        self.write("saving", |tables| {
            tables
                .meta
                .insert(HARD_STATE_KEY, encode_with_checksum(&(save.term, save.vote.clone())).as_slice())?;
            if let Some(from) = save.truncate {
                tables.entries.retain_in(from.., |_, _| false)?;
            }
            for entry in &save.entries {
                tables.entries.insert(entry.index, encode_with_checksum(entry).as_slice())?;
            }
            if let Some(snapshot) = &save.snapshot {
                tables.replace_snapshot(snapshot)?;
            }
            Ok(())
        })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Moves the file out of the way, as `<name>.damaged`, over a former one: the disk has no room for many.
    pub fn set_aside(path: impl AsRef<Path>) -> Result<PathBuf, StoreError> {
        let path = path.as_ref();
        let mut name = path.as_os_str().to_owned();
        name.push(".damaged");
        let aside = PathBuf::from(name);
        std::fs::rename(path, &aside)
            .map_err(|cause| StoreError::SetAsideFailed { path: path.to_path_buf(), cause })?;
        Ok(aside)
    }

    fn write(
        &self, step: &'static str, work: impl FnOnce(&mut Tables<'_>) -> Result<(), redb::StorageError>,
    ) -> Result<(), StoreError> {
        let mut transaction = self.db.begin_write().map_err(store_error(&self.path, step))?;
        transaction.set_durability(Durability::Immediate).map_err(store_error(&self.path, step))?;
        {
            let mut tables = Tables {
                meta: transaction.open_table(META).map_err(store_error(&self.path, step))?,
                entries: transaction.open_table(ENTRIES).map_err(store_error(&self.path, step))?,
                snapshot: transaction.open_table(SNAPSHOT).map_err(store_error(&self.path, step))?,
            };
            work(&mut tables).map_err(store_error(&self.path, step))?;
        }
        transaction.commit().map_err(store_error(&self.path, step))
    }

    fn read(&self) -> Result<Option<PersistentState>, StoreError> {
        let transaction = self.db.begin_read().map_err(store_error(&self.path, "reading"))?;
        let meta = match transaction.open_table(META) {
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            opened => opened.map_err(store_error(&self.path, "reading"))?,
        };
        let value_of = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
            let value = meta.get(key).map_err(store_error(&self.path, "reading"))?;
            Ok(value.map(|value| value.value().to_vec()))
        };
        let required = |key: &str| value_of(key)?.ok_or_else(|| self.damaged(format!("it has no {key}")));
        let schema = self.decode_u64("schema", &required("schema")?)?;
        if schema != SCHEMA {
            return Err(StoreError::Schema { found: schema, path: self.path.clone() });
        }
        let me: VoterId = self.decode_checked("me", &required("me")?)?;
        let founders: Vec<VoterId> = self.decode_checked("founders", &required("founders")?)?;
        let (term, vote): (u64, Option<VoterId>) =
            self.decode_checked(HARD_STATE_KEY, &required(HARD_STATE_KEY)?)?;

        let mut snapshot: Option<Snapshot> = None;
        if let Some(length) = value_of("snapshot")? {
            let length = self.decode_u64("snapshot", &length)?;
            let chunks = transaction.open_table(SNAPSHOT).map_err(store_error(&self.path, "reading"))?;
            let mut encoded = Vec::new();
            for chunk in chunks.iter().map_err(store_error(&self.path, "reading"))? {
                let (_, chunk) = chunk.map_err(store_error(&self.path, "reading"))?;
                encoded.extend_from_slice(chunk.value());
            }
            if encoded.len() as u64 != length {
                return Err(self.damaged(format!("the snapshot has {} of {length} bytes", encoded.len())));
            }
            snapshot = Some(self.decode_checked("snapshot", &encoded)?);
        }

        let (base, mut before) = snapshot.as_ref().map_or((0, 0), |kept| (kept.index, kept.term));
        let mut entries: Vec<Entry> = Vec::new();
        let table = transaction.open_table(ENTRIES).map_err(store_error(&self.path, "reading"))?;
        for row in table.iter().map_err(store_error(&self.path, "reading"))? {
            let (key, value) = row.map_err(store_error(&self.path, "reading"))?;
            let expected = base + 1 + entries.len() as u64;
            if key.value() != expected {
                return Err(
                    self.damaged(format!("entry {} stands where entry {expected} should", key.value()))
                );
            }
            let entry: Entry = self.decode_checked(&format!("entry {expected}"), value.value())?;
            if entry.index != expected || entry.term < before || entry.term > term {
                return Err(self
                    .damaged(format!("entry {expected} has index {} and term {}", entry.index, entry.term)));
            }
            before = entry.term;
            entries.push(entry);
        }
        Ok(Some(PersistentState { me, term, vote, snapshot, entries, founders }))
    }

    fn damaged(&self, reason: String) -> StoreError {
        StoreError::Damaged { reason, path: self.path.clone() }
    }

    fn decode_u64(&self, what: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        let bytes = bytes.try_into().map_err(|_| self.damaged(format!("{what} is no number")))?;
        Ok(u64::from_be_bytes(bytes))
    }

    fn decode_checked<T: DecodeOwned>(&self, what: &str, bytes: &[u8]) -> Result<T, StoreError> {
        let Some((sum, body)) = bytes.split_first_chunk::<8>() else {
            return Err(self.damaged(format!("{what} is too short")));
        };
        if u64::from_be_bytes(*sum) != checksum(body) {
            return Err(self.damaged(format!("{what} does not have its checksum")));
        }
        bitcode::decode(body).map_err(|cause| self.damaged(format!("{what} can't be read: {cause}")))
    }
}

struct Tables<'t> {
    meta: redb::Table<'t, &'static str, &'static [u8]>,
    entries: redb::Table<'t, u64, &'static [u8]>,
    snapshot: redb::Table<'t, u64, &'static [u8]>,
}

impl Tables<'_> {
    /// The snapshot takes the place of the former one, and of the entries up to its index.
    fn replace_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), redb::StorageError> {
        let bytes = encode_with_checksum(snapshot);
        self.snapshot.retain(|_, _| false)?;
        for (number, chunk) in bytes.chunks(SNAPSHOT_CHUNK_BYTES).enumerate() {
            self.snapshot.insert(number as u64, chunk)?;
        }
        // As many bytes must come back: a lost piece would otherwise only show in the sum.
        self.meta.insert("snapshot", (bytes.len() as u64).to_be_bytes().as_slice())?;
        self.entries.retain_in(..=snapshot.index, |_, _| false)
    }
}

/// With a checksum in front: `redb` looks at its own sums only after it was not closed properly.
fn encode_with_checksum<T: Encode>(value: &T) -> Vec<u8> {
    let body = bitcode::encode(value);
    let mut bytes = Vec::with_capacity(body.len() + 8);
    bytes.extend_from_slice(&checksum(&body).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Whether power went while `redb` made the file: it writes its mark last, and nobody was told anything before.
/// Taken for damaged, founders that lose their power at the first start would not be founders any more.
fn is_uninitialized(backend: &impl StorageBackend) -> std::io::Result<bool> {
    let length = backend.len()?;
    if length == 0 || length > MAX_UNINITIALIZED_BYTES {
        return Ok(false);
    }
    let mut bytes = vec![0; length as usize];
    backend.read(0, &mut bytes)?;
    let (magic, rest) = (bytes.iter().take(MAGIC_BYTES), bytes.iter().skip(HEADER_BYTES));
    Ok(magic.chain(rest).all(|byte| *byte == 0))
}

/// Empties a half made file, unless another process is making it right now.
fn erase_if_uninitialized(backend: &impl StorageBackend) -> std::io::Result<()> {
    let all = (Bound::Unbounded, Bound::Unbounded);
    let locked = backend.try_lock_range(all.0, all.1);
    if !matches!(locked, Ok(false)) && is_uninitialized(backend)? {
        backend.set_len(0)?;
    }
    if matches!(locked, Ok(true)) {
        backend.unlock_range(all.0, all.1).map_err(std::io::Error::other)?;
    }
    Ok(())
}

/// A failure of the file, told as damage where that is what `redb` says.
fn store_error<E: Into<redb::Error>>(path: &Path, step: &'static str) -> impl FnOnce(E) -> StoreError {
    let path = path.to_path_buf();
    move |cause| match cause.into() {
        redb::Error::Corrupted(reason) => StoreError::Damaged { reason, path },
        // This program never wrote a file of an older format.
        redb::Error::UpgradeRequired(found) => {
            StoreError::Damaged { reason: format!("it has the file format {found}"), path }
        }
        redb::Error::Io(cause) if cause.kind() == std::io::ErrorKind::InvalidData => {
            StoreError::Damaged { reason: cause.to_string(), path }
        }
        cause => StoreError::Failed { step, path, cause: Box::new(cause) },
    }
}
