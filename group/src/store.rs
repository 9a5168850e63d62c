//! The voter's persistent state: identity, vote, log and last snapshot, in one file managed by [`raft::store`].
//! Everything that the voter acknowledges to others has been synced before.
//!
//! Invariants: a file that cannot be read completely, or that belongs to another group or process, is renamed and
//! reported in one log line. The voter then starts empty under a new incarnation (a random number that identifies one
//! lifetime of a voter's state) that was never used before. The voter cannot vote twice in a term that the lost file
//! recorded, because the other voters ignore votes of the old incarnation.

use crate::state_machine::{Command, Reply, State};
use raft::{Entry, Payload, PersistentState, Snapshot, VoterId};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Identifies one lifetime of a voter's state. Votes are counted per incarnation.
pub type Incarnation = u64;

const FILE_NAME: &str = "group.redb";
/// Maximum number of renamed files that are kept.
const MAX_SET_ASIDE_FILES: u32 = 3;

/// Returns the Raft identity of a voter. Its `address` field holds the group and voter names rather than a network
/// address, since the names never change. So a voter that returns with an empty disk replaces its old entry, and a
/// file identifies its owner.
pub fn voter_id(group: &str, name: &str, incarnation: Incarnation) -> VoterId {
    VoterId { address: format!("{group} {name}"), incarnation }
}

/// Splits a Raft identity into the group name and the voter name.
fn group_and_name(voter: &VoterId) -> (&str, &str) {
    voter.address.split_once(' ').unwrap_or(("", &voter.address))
}

/// Returns the process name of a voter.
pub fn voter_name(voter: &VoterId) -> &str {
    group_and_name(voter).1
}

/// The reason why the voter's file cannot be used.
#[derive(Debug)]
pub enum StoreError {
    /// An I/O error in the directory.
    Io(io::Error),
    /// An error of the Raft store.
    Raft(raft::store::StoreError),
    /// The state in a snapshot cannot be decoded.
    UnreadableState,
    /// Another process has the file open.
    Busy,
    /// The file belongs to another group or process.
    WrongOwner(VoterId),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Raft(error) => write!(f, "{error}"),
            Self::UnreadableState => f.write_str("the state cannot be decoded"),
            Self::Busy => f.write_str("another process has it open"),
            Self::WrongOwner(owner) => {
                let (group, name) = group_and_name(owner);
                write!(f, "the file belongs to voter {name} of group {group}")
            }
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(error) => Some(error),
            Self::Raft(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<raft::store::StoreError> for StoreError {
    fn from(error: raft::store::StoreError) -> Self {
        match error {
            raft::store::StoreError::Failed { cause, .. }
                if matches!(*cause, redb::Error::DatabaseAlreadyOpen) =>
            {
                Self::Busy
            }
            error => Self::Raft(error),
        }
    }
}

/// The result of applying the log up to an entry.
#[derive(Clone, Debug, Default)]
pub struct AppliedState {
    /// The replicated state.
    pub state: State,
    /// The current voters.
    pub voters: Vec<VoterId>,
    /// The index of the last applied entry.
    pub index: u64,
    /// The term of the last applied entry.
    pub term: u64,
}

impl AppliedState {
    /// Restores the state that precedes the entries in the log: the snapshot, or the initial voters if there is none.
    ///
    /// # Errors
    /// If the state in the snapshot cannot be decoded.
    pub fn from_saved(saved: &PersistentState) -> Result<Self, StoreError> {
        saved.snapshot.as_ref().map_or_else(
            || Ok(Self { voters: saved.founders.clone(), ..Self::default() }),
            |snapshot| Self::from_snapshot(snapshot).ok_or(StoreError::UnreadableState),
        )
    }

    /// Restores the state of a snapshot. Returns `None` if the state cannot be decoded.
    pub fn from_snapshot(snapshot: &Snapshot) -> Option<Self> {
        let state = postcard::from_bytes(&snapshot.state).ok()?;
        let voters = snapshot.members.clone();
        Some(Self { state, voters, index: snapshot.index, term: snapshot.term })
    }

    /// Creates a snapshot. Returns `None` if the state cannot be encoded.
    pub fn to_snapshot(&self) -> Option<Snapshot> {
        let state = postcard::to_stdvec(&self.state).ok()?;
        Some(Snapshot { index: self.index, term: self.term, members: self.voters.clone(), state })
    }

    /// Applies the next committed entry.
    pub fn apply(&mut self, entry: &Entry) -> Reply {
        (self.index, self.term) = (entry.index, entry.term);
        match &entry.payload {
            Payload::Noop => Reply::Done,
            Payload::Members(voters) => {
                self.voters = voters.clone();
                self.state.set_voters(&voters.iter().map(voter_name).collect::<Vec<_>>());
                Reply::Done
            }
            // An entry that cannot be decoded has no effect, on this voter and on every other.
            Payload::Change(bytes) => match postcard::from_bytes::<Command>(bytes) {
                Ok(command) => self.state.apply(entry.term, &command),
                Err(_) => Reply::Done,
            },
        }
    }
}

/// The voter's open file and the state loaded from it.
pub struct Store {
    /// The open file.
    pub disk: raft::store::Store,
    /// The persistent Raft state that the voter resumes from.
    pub saved: PersistentState,
    /// The state that precedes the entries in the log.
    pub applied: AppliedState,
}

impl Store {
    /// Opens the voter's file in a directory, or creates it. `log` receives a message if an existing file cannot be
    /// used.
    ///
    /// # Errors
    /// If the directory or the file cannot be created, or another process has the file open.
    pub fn open(directory: &Path, name: &str, group: &str, log: impl Fn(String)) -> Result<Self, StoreError> {
        std::fs::create_dir_all(directory)?;
        let path = directory.join(FILE_NAME);
        if path.exists() {
            match Self::read(&path, name, group) {
                Ok(Some(store)) => return Ok(store),
                // The process that created the file stopped before it wrote an identity.
                Ok(None) => {}
                // Leave the file in place: the process that has the file open still votes with this state.
                Err(StoreError::Busy) => return Err(StoreError::Busy),
                Err(error) => {
                    let backup = set_aside(&path)?;
                    log(format!(
                        "{}: not used: {error}; renamed to {}. This voter has no vote until it is added again",
                        path.display(),
                        backup.display()
                    ));
                }
            }
        }
        let (disk, _) = raft::store::Store::open(&path)?;
        let saved = disk.create(voter_id(group, name, random_incarnation()), Vec::new())?;
        sync_directory(directory)?;
        Ok(Self { disk, saved, applied: AppliedState::default() })
    }

    /// Reads the complete file. A voter that detected an unreadable log entry only later would have voted by then.
    fn read(path: &Path, name: &str, group: &str) -> Result<Option<Self>, StoreError> {
        let (disk, saved) = raft::store::Store::open(path)?;
        let Some(saved) = saved else { return Ok(None) };
        if group_and_name(&saved.me) != (group, name) {
            return Err(StoreError::WrongOwner(saved.me));
        }
        let applied = AppliedState::from_saved(&saved)?;
        Ok(Some(Self { disk, saved, applied }))
    }
}

/// Returns a random incarnation. It has 53 bits, so that JSON and other readers that use doubles keep it exact.
fn random_incarnation() -> Incarnation {
    (rand::random::<u64>() >> 11).max(1)
}

/// Syncs the directory, so that the file's entry survives a power loss.
fn sync_directory(directory: &Path) -> io::Result<()> {
    std::fs::File::open(directory)?.sync_all()
}

/// The reason why [`rescue`] refused to continue a group from one disk.
#[derive(Debug)]
pub enum RescueError {
    /// The file cannot be used, or another process has it open.
    Store(StoreError),
    /// The directory has no group state, or its voter was not a member.
    NoGroupState,
    /// The given names differ from the other voters, which are listed here.
    VoterNamesMismatch(Vec<String>),
}

impl fmt::Display for RescueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "{error}"),
            Self::NoGroupState => f.write_str("the directory holds no state of a group"),
            Self::VoterNamesMismatch(names) => {
                write!(f, "the other voters are {}: name all of them, if all are lost", names.join(", "))
            }
        }
    }
}

impl std::error::Error for RescueError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Store(error) => Some(error),
            _ => None,
        }
    }
}

impl<E: Into<StoreError>> From<E> for RescueError {
    fn from(error: E) -> Self {
        Self::Store(error.into())
    }
}

/// Turns the disk of the last surviving voter into a group with a single voter, after all other voters were lost
/// permanently. `lost` must name all of them. The process must not be running. The replicated state is kept under a
/// new incarnation, and the old file is renamed.
///
/// If any other voter is still running, two independent groups exist afterwards, and nothing detects this.
///
/// # Errors
/// If the disk cannot be used or `lost` does not name exactly the other voters. Nothing is changed in these cases.
pub fn rescue(
    directory: &Path, local_name: &str, group: &str, lost: &[String],
) -> Result<Incarnation, RescueError> {
    let path = directory.join(FILE_NAME);
    if !path.exists() {
        return Err(RescueError::NoGroupState);
    }
    let Store { disk, saved, mut applied } =
        Store::read(&path, local_name, group)?.ok_or(RescueError::NoGroupState)?;
    for entry in &saved.entries {
        applied.apply(entry);
    }
    if !applied.voters.contains(&saved.me) {
        return Err(RescueError::NoGroupState);
    }
    let other_names = applied.voters.iter().filter(|voter| **voter != saved.me);
    let mut other_names: Vec<String> = other_names.map(|voter| voter_name(voter).to_owned()).collect();
    let mut lost_names = lost.to_vec();
    other_names.sort();
    lost_names.sort();
    if other_names != lost_names {
        return Err(RescueError::VoterNamesMismatch(other_names));
    }
    let new_id = voter_id(group, local_name, random_incarnation());
    applied.voters = vec![new_id.clone()];
    applied.state.set_voters(&[local_name]);
    let snapshot = applied.to_snapshot().ok_or(StoreError::UnreadableState)?;
    // The old file is replaced only after the new file is complete, so a full disk changes nothing.
    let new_path = path.with_extension("rescued");
    if new_path.exists() {
        std::fs::remove_file(&new_path)?;
    }
    let (new_store, _) = raft::store::Store::open(&new_path)?;
    let incarnation = new_id.incarnation;
    // The new term exceeds every term that this voter has seen, since a seen term may have had another leader.
    new_store.create_from_snapshot(new_id, saved.term + 1, snapshot)?;
    drop((disk, new_store));
    set_aside(&path)?;
    std::fs::rename(&new_path, &path)?;
    sync_directory(directory)?;
    Ok(incarnation)
}

/// Renames a file to keep it for inspection, and replaces the oldest renamed file if there are too many.
fn set_aside(path: &Path) -> io::Result<PathBuf> {
    let numbered_path = |number: u32| path.with_extension(format!("aside-{number}"));
    let unused = (0..MAX_SET_ASIDE_FILES).find(|number| !numbered_path(*number).exists());
    let number = match unused {
        Some(number) => number,
        None => {
            for number in 1..MAX_SET_ASIDE_FILES {
                std::fs::rename(numbered_path(number), numbered_path(number - 1))?;
            }
            MAX_SET_ASIDE_FILES - 1
        }
    };
    std::fs::rename(path, numbered_path(number))?;
    Ok(numbered_path(number))
}
