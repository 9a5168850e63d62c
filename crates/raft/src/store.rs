//! The storage of a node: one `redb` file. Each save is one transaction, which is durable when the call returns.

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

/// The version of the file's contents; increases with each change of the format.
const SCHEMA: u64 = 1;
/// The size of the `redb` cache, in bytes. Small, since the node keeps frequently used data in memory.
const CACHE_BYTES: usize = 1 << 20;
/// The size of the chunks in which a snapshot is stored, in bytes. Chunks let the file reuse the space of an old
/// snapshot incrementally.
const SNAPSHOT_CHUNK_BYTES: usize = 48 << 10;
/// A file longer than this, in bytes, is compacted when it is opened.
const COMPACT_ABOVE_BYTES: u64 = 24 << 20;

/// The layout of a `redb` file: the length of the magic number at its start, the length of its header, and the maximum
/// length of a file before the first transaction, in bytes.
const MAGIC_BYTES: usize = 9;
const HEADER_BYTES: usize = 512;
const MAX_UNINITIALIZED_BYTES: u64 = 1 << 20;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const SNAPSHOT: TableDefinition<u64, &[u8]> = TableDefinition::new("snapshot");
/// The key of the hard state (term and vote) in [`META`]. Must not change, because existing files use this key.
const HARD_STATE_KEY: &str = "ballot";

/// The storage of a node.
#[derive(Debug)]
pub struct Store {
    db: Database,
    path: PathBuf,
}

/// Errors of the storage.
#[derive(Debug, Diagnostic)]
pub enum StoreError {
    /// The file or the disk failed.
    #[diagnostic(
        code(raft::store::failed),
        help("check the disk for free space, permissions and I/O errors")
    )]
    Failed {
        /// The operation that failed.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// The underlying error.
        cause: Box<redb::Error>,
    },
    /// The contents of the file are corrupt.
    #[diagnostic(code(raft::store::damaged), help("set the file aside and join as a new voter"))]
    Damaged {
        /// Description of the damage.
        reason: String,
        /// The file.
        path: PathBuf,
    },
    /// The file was written by an incompatible version of this program.
    #[diagnostic(
        code(raft::store::schema),
        help("start the version that wrote the file, or set the file aside")
    )]
    Schema {
        /// The version of the file's contents.
        found: u64,
        /// The file.
        path: PathBuf,
    },
    /// The file already holds the state of a node and cannot be initialized again.
    #[diagnostic(code(raft::store::taken))]
    AlreadyInitialized {
        /// The file.
        path: PathBuf,
    },
    /// The file could not be renamed.
    #[diagnostic(code(raft::store::set_aside))]
    SetAsideFailed {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        cause: std::io::Error,
    },
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Failed { step, path, cause } => write!(f, "{step} {}: {cause}", path.display()),
            StoreError::Damaged { reason, path } => write!(f, "{} is damaged: {reason}", path.display()),
            StoreError::Schema { found, path } => {
                write!(f, "{} has format version {found}, expected {SCHEMA}", path.display())
            }
            StoreError::AlreadyInitialized { path } => write!(f, "{} already holds a node", path.display()),
            StoreError::SetAsideFailed { path, cause } => {
                write!(f, "{} could not be renamed: {cause}", path.display())
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
    /// Whether the host may treat the disk as lost, set the file aside and join as a new voter.
    pub fn is_lost(&self) -> bool {
        matches!(self, StoreError::Damaged { .. })
    }
}

impl Store {
    /// Opens the file, or creates an empty one, and verifies its contents. An empty file has no saved state yet; see
    /// [`Store::create`].
    pub fn open(path: impl AsRef<Path>) -> Result<(Store, Option<PersistentState>), StoreError> {
        let path = path.as_ref();
        let is_new = !path.exists();
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let file = file.map_err(store_error(path, "opening"))?;
        if is_new
            && let Some(parent_dir) = path.parent().filter(|parent_dir| !parent_dir.as_os_str().is_empty())
        {
            // Syncs the directory as well: otherwise a power loss could remove the file with all votes and entries
            // in it.
            File::open(parent_dir)
                .and_then(|parent_dir| parent_dir.sync_all())
                .map_err(store_error(path, "syncing the directory of"))?;
        }
        Store::open_backend(FileBackend::new(file).map_err(store_error(path, "opening"))?, path)
    }

    /// Opens a store on any backend. Errors refer to the backend by `path`.
    pub fn open_backend(
        backend: impl StorageBackend, path: impl Into<PathBuf>,
    ) -> Result<(Store, Option<PersistentState>), StoreError> {
        let path = path.into();
        if is_uninitialized(&backend).map_err(store_error(&path, "opening"))? {
            erase_if_uninitialized(&backend).map_err(store_error(&path, "resetting"))?;
        }
        let needs_compaction = backend.len().map_err(store_error(&path, "opening"))? > COMPACT_ABOVE_BYTES;
        let mut builder = Database::builder();
        // Without the check `redb` trusts a file that was closed properly, and a byte corrupted later would make the
        // library panic at every start.
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        let db = builder.create_with_backend(backend).map_err(store_error(&path, "opening"))?;
        let mut store = Store { db, path };
        let saved = store.read()?;
        if needs_compaction {
            // Returns free space inside the file to the disk, which is small.
            store.db.compact().map_err(store_error(&store.path, "compacting"))?;
        }
        Ok((store, saved))
    }

    /// Initializes the store with the identity of the node. `founders` are the founding voters; empty for a node
    /// that joins an existing cluster.
    pub fn create(&self, me: VoterId, founders: Vec<VoterId>) -> Result<PersistentState, StoreError> {
        if self.read()?.is_some() {
            return Err(StoreError::AlreadyInitialized { path: self.path.clone() });
        }
        let hard_state: (u64, Option<VoterId>) = (0, None);
        self.write("initializing", |tables| {
            tables.meta.insert("schema", SCHEMA.to_be_bytes().as_slice())?;
            tables.meta.insert("me", encode_with_checksum(&me).as_slice())?;
            tables.meta.insert("founders", encode_with_checksum(&founders).as_slice())?;
            tables.meta.insert(HARD_STATE_KEY, encode_with_checksum(&hard_state).as_slice())?;
            Ok(())
        })?;
        Ok(PersistentState { me, term: 0, vote: None, snapshot: None, entries: Vec::new(), founders })
    }

    /// Initializes the store with the identity of the node and a snapshot at the start of its log. Used for a log whose
    /// voters were not known when the file was created, and for the last remaining voter, which continues alone under
    /// another incarnation. The stored term never decreases; the stored vote is kept if the term stays the same. Fails
    /// without a change if the file already contains a snapshot or entries.
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
        // One transaction: a partial write would leave a voter without its log.
        self.write("initializing", |tables| {
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

    /// Writes a save, which is durable when the call returns.
    pub fn save(&self, save: &Save) -> Result<(), StoreError> {
        self.write("writing", |tables| {
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

    /// Renames the file to `<name>.damaged`, replacing an earlier one, since the disk has no space for many.
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
        let required =
            |key: &str| value_of(key)?.ok_or_else(|| self.damaged(format!("key {key} is missing")));
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
                return Err(
                    self.damaged(format!("the snapshot has {} bytes instead of {length}", encoded.len()))
                );
            }
            snapshot = Some(self.decode_checked("snapshot", &encoded)?);
        }

        let (base, mut last_term) = snapshot.as_ref().map_or((0, 0), |stored| (stored.index, stored.term));
        let mut entries: Vec<Entry> = Vec::new();
        let table = transaction.open_table(ENTRIES).map_err(store_error(&self.path, "reading"))?;
        for row in table.iter().map_err(store_error(&self.path, "reading"))? {
            let (key, value) = row.map_err(store_error(&self.path, "reading"))?;
            let expected = base + 1 + entries.len() as u64;
            if key.value() != expected {
                return Err(
                    self.damaged(format!("found entry {} where entry {expected} was expected", key.value()))
                );
            }
            let entry: Entry = self.decode_checked(&format!("entry {expected}"), value.value())?;
            if entry.index != expected || entry.term < last_term || entry.term > term {
                return Err(self
                    .damaged(format!("entry {expected} has index {} and term {}", entry.index, entry.term)));
            }
            last_term = entry.term;
            entries.push(entry);
        }
        Ok(Some(PersistentState { me, term, vote, snapshot, entries, founders }))
    }

    fn damaged(&self, reason: String) -> StoreError {
        StoreError::Damaged { reason, path: self.path.clone() }
    }

    fn decode_u64(&self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        let bytes = bytes.try_into().map_err(|_| self.damaged(format!("{name} is not an 8-byte integer")))?;
        Ok(u64::from_be_bytes(bytes))
    }

    fn decode_checked<T: DecodeOwned>(&self, name: &str, bytes: &[u8]) -> Result<T, StoreError> {
        let Some((stored_checksum, body)) = bytes.split_first_chunk::<8>() else {
            return Err(self.damaged(format!("{name} is too short")));
        };
        if u64::from_be_bytes(*stored_checksum) != checksum(body) {
            return Err(self.damaged(format!("{name} does not match its checksum")));
        }
        bitcode::decode(body).map_err(|cause| self.damaged(format!("{name} cannot be decoded: {cause}")))
    }
}

struct Tables<'t> {
    meta: redb::Table<'t, &'static str, &'static [u8]>,
    entries: redb::Table<'t, u64, &'static [u8]>,
    snapshot: redb::Table<'t, u64, &'static [u8]>,
}

impl Tables<'_> {
    /// Replaces the stored snapshot and removes the entries up to the new snapshot's index.
    fn replace_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), redb::StorageError> {
        let bytes = encode_with_checksum(snapshot);
        self.snapshot.retain(|_, _| false)?;
        for (number, chunk) in bytes.chunks(SNAPSHOT_CHUNK_BYTES).enumerate() {
            self.snapshot.insert(number as u64, chunk)?;
        }
        // Stores the length so that a missing chunk is reported as such instead of as a checksum mismatch.
        self.meta.insert("snapshot", (bytes.len() as u64).to_be_bytes().as_slice())?;
        self.entries.retain_in(..=snapshot.index, |_, _| false)
    }
}

/// Encodes a value with a leading checksum, because `redb` verifies its own checksums only after an unclean shutdown.
fn encode_with_checksum<T: Encode>(value: &T) -> Vec<u8> {
    let body = bitcode::encode(value);
    let mut bytes = Vec::with_capacity(body.len() + 8);
    bytes.extend_from_slice(&checksum(&body).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Whether power was lost while `redb` initialized the file. `redb` writes its magic number last, and the node has sent
/// no message before that. If such a file counted as damaged, founders that lose power during their first start would
/// no longer be founders.
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

/// Truncates an uninitialized file, unless another process is initializing the file right now.
fn erase_if_uninitialized(backend: &impl StorageBackend) -> std::io::Result<()> {
    let whole_file = (Bound::Unbounded, Bound::Unbounded);
    let locked = backend.try_lock_range(whole_file.0, whole_file.1);
    if !matches!(locked, Ok(false)) && is_uninitialized(backend)? {
        backend.set_len(0)?;
    }
    if matches!(locked, Ok(true)) {
        backend.unlock_range(whole_file.0, whole_file.1).map_err(std::io::Error::other)?;
    }
    Ok(())
}

/// Converts an error of `redb` or of the file, and reports corruption as [`StoreError::Damaged`].
fn store_error<E: Into<redb::Error>>(path: &Path, step: &'static str) -> impl FnOnce(E) -> StoreError {
    let path = path.to_path_buf();
    move |cause| match cause.into() {
        redb::Error::Corrupted(reason) => StoreError::Damaged { reason, path },
        // No version of this program has written a file in an older format.
        redb::Error::UpgradeRequired(found) => {
            StoreError::Damaged { reason: format!("unsupported redb file format {found}"), path }
        }
        redb::Error::Io(cause) if cause.kind() == std::io::ErrorKind::InvalidData => {
            StoreError::Damaged { reason: cause.to_string(), path }
        }
        cause => StoreError::Failed { step, path, cause: Box::new(cause) },
    }
}
