//! The disk of a voter: a thread of its own, since whoever syncs waits for the disk, and the log's pulse must not.

use crate::ledger::Ledger;
use crate::master::Command;
use logbook::store::{Store, StoreError};
use logbook::{Save, Saved, VoterId};
use miette::Diagnostic;
use std::path::Path;
use std::sync::mpsc as threads;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;

/// A disk that refuses a write is asked again after this.
const AGAIN: Duration = Duration::from_millis(250);

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
    saves: threads::Sender<Save>,
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
            saved.as_ref().and_then(|saved| saved.snapshot.as_ref()).map(|s| Ledger::restore(&s.state))
        {
            let why = format!(
                "its state is of no version known here ({error}): start the version that wrote it, or empty the folder"
            );
            return Err(unusable("restore the snapshot in", &path, why));
        }
        let saved = match saved {
            Some(saved) => saved,
            None => {
                let (me, founders) = newcomer(damaged);
                store.create(me, founders).map_err(|e| unusable("begin", &path, e.to_string()))?
            }
        };
        let (saves, queue) = threads::channel::<Save>();
        let (done, mut tickets) = mpsc::channel(64);
        tideway::spawn(async move {
            while let Some(ticket) = tickets.recv().await {
                if commands.send(Command::Saved { ticket }).await.is_err() {
                    return;
                }
            }
        });
        let thread = std::thread::Builder::new().name("disk".into()).stack_size(256 * 1024);
        let run = move || {
            let mut store = Some(store);
            while let Ok(save) = queue.recv() {
                let epoch = save.term;
                let write = |store: &Store| store.save(&save);
                let open = || Store::open(&path).map(|(store, _)| store);
                let told = |error: &StoreError| spdlog::error!("{}", error, kv: { step = "save", epoch });
                store = insist(store, write, open, told, || std::thread::sleep(AGAIN));
                if store.is_none() {
                    spdlog::error!("this voter falls silent until it is started anew", kv: { step = "save", epoch });
                    return;
                }
                if done.blocking_send(save.ticket).is_err() {
                    return;
                }
            }
        };
        thread.spawn(run).map_err(|e| unusable("start the thread for", folder, e.to_string()))?;
        Ok((Self { saves }, saved))
    }

    /// Queues a write; its ticket comes back as [`Command::Saved`].
    pub fn save(&self, save: Save) {
        let _ = self.saves.send(save);
    }
}

/// Writes until it is on disk. Disks refuse writes for seconds and take them again; meanwhile nothing is acknowledged, so
/// that the others see a voter that is away. After a refusal the library takes no more writes, so the file is opened anew;
/// the same write again does no harm if it was there already. None when the file is damaged: who can't say what it has
/// promised must not vote.
fn insist<S, E: std::borrow::Borrow<StoreError>>(
    mut store: Option<S>, write: impl Fn(&S) -> Result<(), E>, mut open: impl FnMut() -> Result<S, E>,
    told: impl Fn(&StoreError), mut pause: impl FnMut(),
) -> Option<S> {
    let mut first = true;
    loop {
        let refused = match &store {
            Some(open) => write(open).err(),
            None => None,
        };
        match refused {
            None if store.is_some() => return store,
            None => {}
            Some(error) => {
                // Once a trouble is enough: it lasts as long as the disk's.
                if std::mem::take(&mut first) {
                    told(error.borrow());
                }
                store = None;
            }
        }
        pause();
        match open() {
            Ok(opened) => store = Some(opened),
            Err(error) if error.borrow().is_lost() => {
                told(error.borrow());
                return None;
            }
            Err(_) => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::path::PathBuf;

    fn refused() -> StoreError {
        StoreError::SetAside { path: PathBuf::from("log"), cause: std::io::Error::other("no room") }
    }

    fn damaged() -> StoreError {
        StoreError::Damaged { what: "entry 3".into(), path: PathBuf::from("log") }
    }

    /// How often it paused and told until it gave up, or had written.
    fn played(refusals: u32, closed: u32, lost: bool) -> (bool, u32, u32) {
        let (writes, opens, pauses, told) = (Cell::new(0), Cell::new(0), Cell::new(0), Cell::new(0));
        let count = |cell: &Cell<u32>| cell.set(cell.get() + 1);
        let write = |_: &()| {
            count(&writes);
            if writes.get() <= refusals { Err(refused()) } else { Ok(()) }
        };
        let open = || match opens.replace(opens.get() + 1) {
            n if n < closed => Err(refused()),
            _ if lost => Err(damaged()),
            _ => Ok(()),
        };
        let written = insist(Some(()), write, open, |_| count(&told), || count(&pauses));
        (written.is_some(), pauses.get(), told.get())
    }

    #[yare::parameterized(
        at_once = { 0, 0, false, (true, 0, 0) },
        refused_twice = { 2, 0, false, (true, 2, 1) },
        can_not_be_opened_for_a_while = { 1, 3, false, (true, 4, 1) },
        damaged_meanwhile = { 1, 2, true, (false, 3, 2) },
    )]
    fn a_write_that_is_refused_is_made_later(
        refusals: u32, closed: u32, lost: bool, expected: (bool, u32, u32),
    ) {
        assert_eq!(played(refusals, closed, lost), expected);
    }
}
