//! The disk of a voter: the log file, and the thread that writes to it.

use crate::command::Command;
use crate::snapshot_state::SnapshotState;
use miette::Diagnostic;
use raft::store::Store;
use raft::{PersistentState, Save, VoterId, Writer, WriterEvent};
use std::path::Path;
use thiserror::Error;
use tokio::sync::mpsc;

/// Why the log file cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum DiskError {
    /// The directory or the file is not usable.
    #[error("{step} {path}: {why}")]
    Unusable {
        /// The operation that failed.
        step: &'static str,
        /// The path.
        path: String,
        /// The cause.
        why: String,
    },
}

/// Handle for writing to the disk.
pub struct Disk(Box<dyn Fn(Save)>);

impl Disk {
    /// Name of the log file in its directory.
    pub const FILE: &'static str = "log.redb";

    /// Opens the log in a directory, or creates one. `new_voter` provides the identity and the founders of a new log;
    /// its argument says whether a damaged file was set aside. The voter of a damaged log has lost its votes and
    /// entries and must not vote again under its identity, so a voter with a new identity replaces it.
    ///
    /// # Errors
    /// When the directory cannot be written or the log cannot be read.
    pub fn open(
        directory: &Path, new_voter: impl FnOnce(bool) -> (VoterId, Vec<VoterId>),
        commands: mpsc::Sender<Command>,
    ) -> Result<(Self, PersistentState), DiskError> {
        let unusable = |step: &'static str, path: &Path, why: String| DiskError::Unusable {
            step,
            path: path.display().to_string(),
            why,
        };
        std::fs::create_dir_all(directory)
            .map_err(|e| unusable("create directory", directory, e.to_string()))?;
        let path = directory.join(Self::FILE);
        let (store, saved, damaged) = match Store::open(&path) {
            Ok((store, saved)) => (store, saved, false),
            Err(error) if error.is_lost() => {
                let peer = path.display().to_string();
                spdlog::error!("the log file is damaged and was set aside: {}", error,
                    kv: { step = "open", peer = peer.as_str() });
                Store::set_aside(&path)
                    .map_err(|e| unusable("set aside damaged file", &path, e.to_string()))?;
                let (store, saved) =
                    Store::open(&path).map_err(|e| unusable("open", &path, e.to_string()))?;
                (store, saved, true)
            }
            Err(error) => return Err(unusable("open", &path, error.to_string())),
        };
        // Without the snapshot's state, this voter would decide on changes differently from the other voters.
        if let Some(Err(error)) =
            saved.as_ref().and_then(|saved| saved.snapshot.as_ref()).map(|s| SnapshotState::restore(&s.state))
        {
            let why = format!(
                "unknown snapshot format ({error}): start the version that wrote the snapshot, or empty the directory"
            );
            return Err(unusable("restore the snapshot in", &path, why));
        }
        let saved = match saved {
            Some(saved) => saved,
            None => {
                let (me, founders) = new_voter(damaged);
                store.create(me, founders).map_err(|e| unusable("create log in", &path, e.to_string()))?
            }
        };
        let (saved_tickets, mut tickets) = mpsc::unbounded_channel();
        transport::spawn(async move {
            while let Some(ticket) = tickets.recv().await {
                if commands.send(Command::Saved { ticket }).await.is_err() {
                    return;
                }
            }
        });
        let on_outcome = move |outcome: WriterEvent| match outcome {
            // Unbounded, since the thread that stops the writer waits for it. There are no more tickets than saves.
            WriterEvent::Saved(ticket) => drop(saved_tickets.send(ticket)),
            WriterEvent::WriteFailed(error) => spdlog::error!("{}", error, kv: { step = "save" }),
            WriterEvent::StoreLost(error) => {
                spdlog::error!("{}", error, kv: { step = "save" });
                spdlog::error!("this voter takes no part in the log until it is restarted", kv: { step = "save" });
            }
        };
        let writer = Writer::start(store, saved.me.clone(), on_outcome)
            .map_err(|e| unusable("start the writer thread for", &path, e.to_string()))?;
        Ok((Self::from_fn(move |save| writer.save(save)), saved))
    }

    /// A disk that passes every write to `save`, which must not block.
    pub fn from_fn(save: impl Fn(Save) + 'static) -> Self {
        Self(Box::new(save))
    }

    /// Queues a write. Its ticket comes back as [`Command::Saved`].
    pub fn save(&self, save: Save) {
        (self.0)(save);
    }
}
