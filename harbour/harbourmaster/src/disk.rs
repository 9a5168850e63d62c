//! The disk of a voter: its file, and the thread that writes to it.

use crate::master::Command;
use logbook::store::{Store, StoreError};
use logbook::{Save, Saved, VoterId, Writer};
use miette::Diagnostic;
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
pub struct Disk {
    writer: Writer,
}

impl Disk {
    /// Opens the log in a folder, or begins one as this voter. A file that is damaged is set aside: its voter is lost,
    /// and who starts here is another one.
    ///
    /// # Errors
    /// When the folder can't be written.
    pub fn open(
        folder: &Path, newcomer: impl FnOnce(bool) -> (VoterId, Vec<VoterId>),
        commands: mpsc::Sender<Command>,
    ) -> Result<(Self, Saved), DiskError> {
        let unusable = |step: &'static str, path: &Path, why: String| DiskError::Unusable {
            step,
            path: path.display().to_string(),
            why,
        };
        std::fs::create_dir_all(folder).map_err(|e| unusable("make the folder", folder, e.to_string()))?;
        let path = folder.join("log.redb");
        let (store, saved, damaged) = match Store::open(&path) {
            Ok((store, saved)) => (store, saved, false),
            Err(error) if error.is_lost() => {
                spdlog::error!("the log's file is damaged and set aside: {}", error, kv: { step = "open" });
                Store::set_aside(&path).map_err(|e| unusable("set aside", &path, e.to_string()))?;
                let (store, saved) =
                    Store::open(&path).map_err(|e| unusable("open", &path, e.to_string()))?;
                (store, saved, true)
            }
            Err(error) => return Err(unusable("open", &path, error.to_string())),
        };
        let saved = match saved {
            Some(saved) => saved,
            None => {
                let (me, founders) = newcomer(damaged);
                store.create(me, founders).map_err(|e| unusable("begin", &path, e.to_string()))?
            }
        };
        let (done, mut tickets) = mpsc::unbounded_channel();
        tideway::spawn(async move {
            while let Some(ticket) = tickets.recv().await {
                if commands.send(Command::Saved { ticket }).await.is_err() {
                    return;
                }
            }
        });
        let told = move |saved: Result<u64, StoreError>| match saved {
            // Unbounded, since whoever ends the writer waits for it; there are no more tickets than saves.
            Ok(ticket) => drop(done.send(ticket)),
            // A voter that can't write has to be seen as gone: it must neither vote nor acknowledge.
            Err(error) => spdlog::error!("{}: this voter falls silent", error, kv: { step = "save" }),
        };
        let writer =
            Writer::start(store, told).map_err(|e| unusable("start the thread for", &path, e.to_string()))?;
        Ok((Self { writer }, saved))
    }

    /// Queues a write; its ticket comes back as [`Command::Saved`].
    pub fn save(&self, save: Save) {
        self.writer.save(save);
    }
}
