//! The thread that writes to a node's disk: whoever syncs waits for the disk, and the log's pulse must not.

use std::sync::mpsc::{Sender, channel};
use std::thread::{Builder, JoinHandle};

use crate::store::{Store, StoreError};
use crate::types::Save;

/// Enough for a transaction; the memory of a thread that mostly sleeps is better spent elsewhere.
const STACK: usize = 256 * 1024;

/// The way to a disk that is written by a thread of its own.
#[derive(Debug)]
pub struct Writer {
    saves: Option<Sender<Save>>,
    thread: Option<JoinHandle<Store>>,
}

impl Writer {
    /// Starts the thread. `told` hears, on that thread, of each save in its turn: its ticket once it is on disk, or why
    /// it is not. After a failure nothing more is written, and its host has to fall silent: it could not keep what it
    /// promises. `told` must not wait for whoever may end this writer, which in turn waits for the thread.
    ///
    /// # Errors
    /// When there can be no thread.
    pub fn start(
        store: Store, mut told: impl FnMut(Result<u64, StoreError>) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let (saves, queue) = channel::<Save>();
        let run = move || {
            for save in queue {
                let done = store.save(&save).map(|()| save.ticket);
                let failed = done.is_err();
                told(done);
                if failed {
                    break;
                }
            }
            store
        };
        let thread = Builder::new().name("disk".into()).stack_size(STACK).spawn(run)?;
        Ok(Writer { saves: Some(saves), thread: Some(thread) })
    }

    /// Queues a write.
    pub fn save(&self, save: Save) {
        if let Some(saves) = &self.saves {
            // A thread that has ended told why.
            let _ = saves.send(save);
        }
    }

    /// Ends the thread once all that is queued is written, and gives the disk back.
    pub fn stop(mut self) -> Option<Store> {
        self.end()
    }

    fn end(&mut self) -> Option<Store> {
        self.saves = None;
        self.thread.take()?.join().ok()
    }
}

impl Drop for Writer {
    /// The file is closed when this returns: the next one to open it may be waiting already.
    fn drop(&mut self) {
        self.end();
    }
}
