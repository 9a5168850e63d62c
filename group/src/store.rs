//! The voter's disk: who it is, its vote, its log and its last snapshot, in one file that [`logbook`] keeps. Whatever is
//! answered to others as written has been synced before.
//!
//! Invariants: a file that cannot be read whole, or that is another group's or another process's, is set aside and told
//! in one line, and the voter begins anew under a number never used before. So it cannot vote twice in a term that it
//! has forgotten: the old number's vote is counted for nobody.

use crate::state_machine::{Command, Reply, State};
use raft::{Entry, Payload, PersistentState, Snapshot, VoterId};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// The number that a voter's votes are counted under.
pub type Incarnation = u64;

const FILE_NAME: &str = "group.redb";
/// How many files that were set aside are kept.
const MAX_SET_ASIDE_FILES: u32 = 3;

/// A voter as the log names it. Its address there is no way to it but what stays the same: the group's name and its own.
/// So a voter that comes back with an empty disk takes its own place, and a file tells whose it is.
pub fn voter_id(group: &str, name: &str, incarnation: Incarnation) -> VoterId {
    VoterId { address: format!("{group} {name}"), incarnation }
}

/// The group's and the process's name.
fn group_and_name(voter: &VoterId) -> (&str, &str) {
    voter.address.split_once(' ').unwrap_or(("", &voter.address))
}

/// The process's name of a voter.
pub fn voter_name(voter: &VoterId) -> &str {
    group_and_name(voter).1
}

/// What is wrong with a file.
#[derive(Debug)]
pub enum StoreError {
    /// The folder, or what is beside the file.
    Io(io::Error),
    /// The log's own word.
    Raft(raft::store::StoreError),
    /// The state that the log keeps cannot be read.
    UnreadableState,
    /// Another process has it.
    Busy,
    /// It is of another group or process.
    WrongOwner(VoterId),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Raft(error) => write!(f, "{error}"),
            Self::UnreadableState => f.write_str("its state cannot be read"),
            Self::Busy => f.write_str("another process has it open"),
            Self::WrongOwner(owner) => {
                let (group, name) = group_and_name(owner);
                write!(f, "it is of {name} in group {group}")
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

/// What the entries of the log make, up to one of them.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    /// The state.
    pub state: State,
    /// The voters.
    pub voters: Vec<VoterId>,
    /// The entry.
    pub index: u64,
    /// Its term.
    pub term: u64,
}

impl Applied {
    /// What stood for all entries before those that the log tells again.
    ///
    /// # Errors
    /// When the snapshot's state cannot be read.
    pub fn from_saved(saved: &PersistentState) -> Result<Self, StoreError> {
        saved.snapshot.as_ref().map_or_else(
            || Ok(Self { voters: saved.founders.clone(), ..Self::default() }),
            |snapshot| Self::from_snapshot(snapshot).ok_or(StoreError::UnreadableState),
        )
    }

    /// A snapshot's; none if its state cannot be read.
    pub fn from_snapshot(snapshot: &Snapshot) -> Option<Self> {
        let state = postcard::from_bytes(&snapshot.state).ok()?;
        let voters = snapshot.members.clone();
        Some(Self { state, voters, index: snapshot.index, term: snapshot.term })
    }

    /// As a snapshot; none if the state cannot be written.
    pub fn to_snapshot(&self) -> Option<Snapshot> {
        let state = postcard::to_stdvec(&self.state).ok()?;
        Some(Snapshot { index: self.index, term: self.term, members: self.voters.clone(), state })
    }

    /// Takes the next entry.
    pub fn apply(&mut self, entry: &Entry) -> Reply {
        (self.index, self.term) = (entry.index, entry.term);
        match &entry.payload {
            Payload::Noop => Reply::Done,
            Payload::Members(voters) => {
                self.voters = voters.clone();
                self.state.set_voters(&voters.iter().map(voter_name).collect::<Vec<_>>());
                Reply::Done
            }
            // One that cannot be read is void, and so at every voter.
            Payload::Change(bytes) => match postcard::from_bytes::<Command>(bytes) {
                Ok(command) => self.state.apply(entry.term, &command),
                Err(_) => Reply::Done,
            },
        }
    }
}

/// The voter's file, and what was found in it.
pub struct Store {
    /// The file.
    pub disk: raft::store::Store,
    /// What the log goes on from.
    pub saved: PersistentState,
    /// What stands for the entries before.
    pub applied: Applied,
}

impl Store {
    /// Opens the file in a folder, or makes it. `tell` hears why a file that was there is not used.
    ///
    /// # Errors
    /// When there can be no file in the folder.
    pub fn open(directory: &Path, name: &str, group: &str, log: impl Fn(String)) -> Result<Self, StoreError> {
        std::fs::create_dir_all(directory)?;
        let path = directory.join(FILE_NAME);
        if path.exists() {
            match Self::read(&path, name, group) {
                Ok(Some(store)) => return Ok(store),
                // Its process went before it had written who it is.
                Ok(None) => {}
                // Not this one's to set aside: its predecessor still votes by it.
                Err(StoreError::Busy) => return Err(StoreError::Busy),
                Err(error) => {
                    let backup = set_aside(&path)?;
                    log(format!(
                        "{}: not used: {error}; set aside as {}. This voter has no vote until it is taken in anew",
                        path.display(),
                        backup.display()
                    ));
                }
            }
        }
        let (disk, _) = raft::store::Store::open(&path)?;
        let saved = disk.create(voter_id(group, name, random_incarnation()), Vec::new())?;
        sync_directory(directory)?;
        Ok(Self { disk, saved, applied: Applied::default() })
    }

    /// All of it is read: a voter that finds out later that it cannot read its log has voted by then.
    fn read(path: &Path, name: &str, group: &str) -> Result<Option<Self>, StoreError> {
        let (disk, saved) = raft::store::Store::open(path)?;
        let Some(saved) = saved else { return Ok(None) };
        if group_and_name(&saved.me) != (group, name) {
            return Err(StoreError::WrongOwner(saved.me));
        }
        let applied = Applied::from_saved(&saved)?;
        Ok(Some(Self { disk, saved, applied }))
    }
}

/// A number for a voter without a past. Numbers of 53 bits stay whole in whatever shows them.
fn random_incarnation() -> Incarnation {
    (rand::random::<u64>() >> 11).max(1)
}

/// The name of the file in the folder is to outlive a loss of power as well.
fn sync_directory(directory: &Path) -> io::Result<()> {
    std::fs::File::open(directory)?.sync_all()
}

/// Why a voter's disk cannot become a group of its own.
#[derive(Debug)]
pub enum RescueError {
    /// The disk cannot be used, or is in use.
    Store(StoreError),
    /// It holds nothing of a group.
    NoGroupState,
    /// The names given are not those of all other voters, which are these.
    VoterNamesMismatch(Vec<String>),
}

impl fmt::Display for RescueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "{error}"),
            Self::NoGroupState => f.write_str("this disk holds nothing of a group"),
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

/// Makes a group of one voter out of the disk of the last one, when all others are lost for good: `lost` names all of
/// them. The process must not be running. What this voter knew goes on, under a new number; the old file is set
/// aside. If one of the others still lives there are two groups from now on: there is nobody who could tell.
///
/// # Errors
/// When the disk cannot be used or the names are not those of the other voters; nothing has been changed then.
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
    let me = voter_id(group, local_name, random_incarnation());
    applied.voters = vec![me.clone()];
    applied.state.set_voters(&[local_name]);
    let snapshot = applied.to_snapshot().ok_or(StoreError::UnreadableState)?;
    // The old file goes once the new one is whole: a full disk changes nothing.
    let new_path = path.with_extension("rescued");
    if new_path.exists() {
        std::fs::remove_file(&new_path)?;
    }
    let (new_store, _) = raft::store::Store::open(&new_path)?;
    let incarnation = me.incarnation;
    // Terms go on above all that this voter has seen: an older one may have been another leader's.
    new_store.create_from_snapshot(me, saved.term + 1, snapshot)?;
    drop((disk, new_store));
    set_aside(&path)?;
    std::fs::rename(&new_path, &path)?;
    sync_directory(directory)?;
    Ok(incarnation)
}

/// Renames a file so that it is kept for whoever wants to look at it; the oldest such file goes.
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
