//! The disk of a voter: its file, and the thread that writes to it.

use crate::command::Command;
use crate::state::SnapshotState;
use miette::Diagnostic;
use raft::store::Store;
use raft::{Save, Saved, Told, VoterId, Writer};
use std::path::Path;
use thiserror::Error;
use tokio::sync::mpsc;

/// Why the log's file is of no use.
#[derive(Debug, Error, Diagnostic)]
pub enum DiskError {
    /// The folder or the file.
    #[error("{step} {path}: {why}")]
    Unusable {
        /// What was being done.
        step: &'static str,
        /// Where.
        path: String,
        /// Why it failed.
        why: String,
    },
}

/// The way to the disk.
pub struct Disk(Box<dyn Fn(Save)>);

impl Disk {
    /// The name of the log's file in its folder.
    pub const FILE: &'static str = "log.redb";

    /// Opens the log in a folder, or begins one as this voter. A file that is damaged is set aside: its voter is lost,
    /// and who starts here is another one.
    ///
    /// # Errors
    /// When the folder can't be written.
    pub fn open(
        folder: &Path, new_voter: impl FnOnce(bool) -> (VoterId, Vec<VoterId>),
        commands: mpsc::Sender<Command>,
    ) -> Result<(Self, Saved), DiskError> {
        let unusable = |step: &'static str, path: &Path, why: String| DiskError::Unusable {
            step,
            path: path.display().to_string(),
            why,
        };
        std::fs::create_dir_all(folder).map_err(|e| unusable("make the folder", folder, e.to_string()))?;
        let path = folder.join(Self::FILE);
        let (store, saved, damaged) = match Store::open(&path) {
            Ok((store, saved)) => (store, saved, false),
            Err(error) if error.is_lost() => {
                let peer = path.display().to_string();
                spdlog::error!("the log's file is damaged and set aside: {}", error,
                    kv: { step = "open", peer = peer.as_str() });
                Store::set_aside(&path).map_err(|e| unusable("set aside", &path, e.to_string()))?;
                let (store, saved) =
                    Store::open(&path).map_err(|e| unusable("open", &path, e.to_string()))?;
                (store, saved, true)
            }
            Err(error) => return Err(unusable("open", &path, error.to_string())),
        };
        // Whoever went on without its snapshot's state would decide on changes by another one than the others.
        if let Some(Err(error)) =
            saved.as_ref().and_then(|saved| saved.snapshot.as_ref()).map(|s| SnapshotState::restore(&s.state))
        {
            let why = format!(
                "its state is of no version known here ({error}): start the version that wrote it, or empty the folder"
            );
            return Err(unusable("restore the snapshot in", &path, why));
        }
        let saved = match saved {
            Some(saved) => saved,
            None => {
                let (me, founders) = new_voter(damaged);
                store.create(me, founders).map_err(|e| unusable("begin", &path, e.to_string()))?
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
        let on_outcome = move |outcome: Told| match outcome {
            // Unbounded, since whoever ends the writer waits for it; there are no more tickets than saves.
            Told::Saved(ticket) => drop(saved_tickets.send(ticket)),
            Told::Refused(error) => spdlog::error!("{}", error, kv: { step = "save" }),
            Told::Lost(error) => {
                spdlog::error!("{}", error, kv: { step = "save" });
                spdlog::error!("this voter falls silent until it is started anew", kv: { step = "save" });
            }
        };
        let writer = Writer::start(store, saved.me.clone(), on_outcome)
            .map_err(|e| unusable("start the thread for", &path, e.to_string()))?;
        Ok((Self::from_fn(move |save| writer.save(save)), saved))
    }

    /// A disk that is written by this; it does not wait.
    pub fn from_fn(save: impl Fn(Save) + 'static) -> Self {
        Self(Box::new(save))
    }

    /// Queues a write; its ticket comes back as [`Command::Saved`].
    pub fn save(&self, save: Save) {
        (self.0)(save);
    }
}
