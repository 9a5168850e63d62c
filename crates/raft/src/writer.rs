//! The thread that writes to a node's disk, so that heartbeats never wait for a disk sync.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use crate::store::{Store, StoreError};
use crate::types::{PersistentState, Save, VoterId};

/// The stack size of the writer thread. Sufficient for a transaction; kept small because the thread mostly sleeps.
const STACK_BYTES: usize = 256 * 1024;
/// The interval between attempts after a failed write.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// An event that a writer reports to its host.
#[derive(Debug)]
pub enum WriterEvent {
    /// The save with this ticket and all earlier saves are on disk.
    Saved(u64),
    /// A write failed. The writer retries the write until it succeeds, and reports only the first failure of a series.
    WriteFailed(StoreError),
    /// The file no longer contains what this voter wrote. The writer stops, and the host must stop taking part in the
    /// protocol, because its votes and acknowledgements are lost.
    StoreLost(StoreError),
}

/// A handle to the writer thread of a store.
#[derive(Debug)]
pub struct Writer {
    saves: Option<Sender<Save>>,
    thread: Option<JoinHandle<Option<Store>>>,
}

impl Writer {
    /// Starts the writer thread for the store of this voter. The thread calls `emit` with each event. `emit` must
    /// not wait for a thread that may stop or drop this writer, because stopping the writer waits for the writer
    /// thread.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(
        store: Store, me: VoterId, mut emit: impl FnMut(WriterEvent) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let (saves, queue) = channel::<Save>();
        let run = move || {
            let path = store.path().to_path_buf();
            let mut open = |save: &Save| {
                let (store, found) = Store::open(&path)?;
                if belongs_to_voter(found.as_ref(), &me, save) {
                    return Ok(store);
                }
                Err(StoreError::Damaged {
                    reason: "another process wrote to the file".into(),
                    path: path.clone(),
                })
            };
            let mut store = store;
            while let Ok(save) = queue.recv() {
                let ticket;
                (store, ticket) =
                    retry_write(store, save, Store::save, &mut open, &mut emit, |save| pause(&queue, save))?;
                emit(WriterEvent::Saved(ticket));
            }
            Some(store)
        };
        let thread = Builder::new().name("disk".into()).stack_size(STACK_BYTES).spawn(run)?;
        Ok(Writer { saves: Some(saves), thread: Some(thread) })
    }

    /// Queues a write.
    pub fn save(&self, save: Save) {
        if let Some(saves) = &self.saves {
            // A thread that has ended has already reported the reason.
            let _ = saves.send(save);
        }
    }

    /// Stops the thread after all queued saves are written, and returns the store; `None` if they cannot be written.
    pub fn stop(mut self) -> Option<Store> {
        self.close()
    }

    fn close(&mut self) -> Option<Store> {
        self.saves = None;
        self.thread.take()?.join().ok()?
    }
}

impl Drop for Writer {
    /// Waits until the file is closed, since another user may be about to open the file.
    fn drop(&mut self) {
        self.close();
    }
}

/// Retries a write until it is durable, and returns the store and the ticket of the last save written. Disks may refuse
/// writes for some seconds; meanwhile nothing is acknowledged, so that peers treat the voter as unavailable. After a
/// failure `redb` accepts no more writes, so the file is reopened. Repeating a write that had already succeeded is
/// harmless. Returns `None` if the store is lost, or if `pause` reports that the writer is being stopped.
fn retry_write<S>(
    store: S, mut save: Save, write: impl Fn(&S, &Save) -> Result<(), StoreError>,
    mut open: impl FnMut(&Save) -> Result<S, StoreError>, mut emit: impl FnMut(WriterEvent),
    mut pause: impl FnMut(&mut Save) -> bool,
) -> Option<(S, u64)> {
    let mut store = Some(store);
    let mut first_failure = true;
    loop {
        if let Some(opened) = store.take() {
            match write(&opened, &save) {
                Ok(()) => return Some((opened, save.ticket)),
                // Reports only the first failure until a write succeeds.
                Err(error) if std::mem::take(&mut first_failure) => emit(WriterEvent::WriteFailed(error)),
                Err(_) => {}
            }
        }
        if !pause(&mut save) {
            return None;
        }
        match open(&save) {
            Ok(opened) => store = Some(opened),
            Err(error) if error.is_lost() => {
                emit(WriterEvent::StoreLost(error));
                return None;
            }
            Err(_) => {}
        }
    }
}

/// Waits for the retry interval. Merges saves that arrive meanwhile into the pending save, so that the queue stays
/// bounded during a long disk failure. Returns false if the writer is being stopped.
fn pause(queue: &Receiver<Save>, save: &mut Save) -> bool {
    let deadline = Instant::now() + RETRY_INTERVAL;
    loop {
        match queue.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            Ok(next) => save.join(next),
            Err(RecvTimeoutError::Timeout) => return true,
            Err(RecvTimeoutError::Disconnected) => return false,
        }
    }
}

/// Whether a reopened file holds the state of this voter, from before `save` or including `save`. While the file was
/// closed, it may have been replaced or written by another process, with votes that this voter does not know.
fn belongs_to_voter(found: Option<&PersistentState>, me: &VoterId, save: &Save) -> bool {
    let vote_is_known = |found: &PersistentState| match found.term.cmp(&save.term) {
        std::cmp::Ordering::Less => true,
        std::cmp::Ordering::Equal => found.vote.is_none() || found.vote == save.vote,
        std::cmp::Ordering::Greater => false,
    };
    found.is_some_and(|found| found.me == *me && vote_is_known(found))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::path::PathBuf;

    fn voter(incarnation: u64) -> VoterId {
        VoterId { address: "a".into(), incarnation }
    }

    fn save(ticket: u64) -> Save {
        let vote = Some(voter(1));
        Save { ticket, term: 5, vote, truncate: None, entries: Vec::new(), snapshot: None }
    }

    fn write_error() -> StoreError {
        StoreError::SetAsideFailed { path: PathBuf::from("log"), cause: std::io::Error::other("no room") }
    }

    fn damaged() -> StoreError {
        StoreError::Damaged { reason: "entry 3".into(), path: PathBuf::from("log") }
    }

    /// Runs `retry_write` against a simulated disk. Returns the last ticket written, the number of pauses and the
    /// number of events. One more save arrives during each pause, until the host stops the writer.
    fn run_retry_write(
        failed_writes: u32, failed_opens: u32, lost: bool, pauses_until_stop: u32,
    ) -> (Option<u64>, u32, u32) {
        let (writes, opens, pauses, events) = (Cell::new(0), Cell::new(0), Cell::new(0), Cell::new(0));
        let write = |_: &(), _: &Save| {
            writes.set(writes.get() + 1);
            if writes.get() <= failed_writes { Err(write_error()) } else { Ok(()) }
        };
        let open = |_: &Save| match opens.replace(opens.get() + 1) {
            n if n < failed_opens => Err(write_error()),
            _ if lost => Err(damaged()),
            _ => Ok(()),
        };
        let pause = |pending: &mut Save| {
            pauses.set(pauses.get() + 1);
            pending.join(save(pending.ticket + 1));
            pauses.get() <= pauses_until_stop
        };
        let written = retry_write((), save(1), write, open, |_| events.set(events.get() + 1), pause);
        (written.map(|(_, ticket)| ticket), pauses.get(), events.get())
    }

    #[yare::parameterized(
        first_attempt = { 0, 0, false, 9, (Some(1), 0, 0) },
        two_failed_writes = { 2, 0, false, 9, (Some(3), 2, 1) },
        reopening_fails_for_a_while = { 1, 3, false, 9, (Some(5), 4, 1) },
        damaged_while_closed = { 1, 2, true, 9, (None, 3, 2) },
        writer_is_stopped = { 9, 0, false, 2, (None, 3, 1) },
    )]
    fn failed_write_is_retried_until_durable(
        failed_writes: u32, failed_opens: u32, lost: bool, pauses_until_stop: u32,
        expected: (Option<u64>, u32, u32),
    ) {
        assert_eq!(run_retry_write(failed_writes, failed_opens, lost, pauses_until_stop), expected);
    }

    #[yare::parameterized(
        unchanged = { 4, Some(9), 1, true },
        including_the_save = { 5, Some(1), 1, true },
        before_the_vote = { 5, None, 1, true },
        different_vote = { 5, Some(9), 1, false },
        later_term = { 6, None, 1, false },
        different_voter = { 4, None, 2, false },
    )]
    fn file_written_by_another_process_is_rejected(term: u64, vote: Option<u64>, me: u64, accepted: bool) {
        let found = PersistentState {
            me: voter(me),
            term,
            vote: vote.map(voter),
            snapshot: None,
            entries: Vec::new(),
            founders: Vec::new(),
        };
        assert_eq!(belongs_to_voter(Some(&found), &voter(1), &save(1)), accepted);
        assert!(!belongs_to_voter(None, &voter(1), &save(1)), "an empty file must be rejected");
    }
}
