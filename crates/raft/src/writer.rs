//! The thread that writes to a node's disk: whoever syncs waits for the disk, and the log's heartbeat must not.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use crate::store::{Store, StoreError};
use crate::types::{PersistentState, Save, VoterId};

/// Enough for a transaction; the memory of a thread that mostly sleeps is better spent elsewhere.
const STACK_BYTES: usize = 256 * 1024;
/// A disk that refuses a write is asked again after this.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What a writer tells its host.
#[derive(Debug)]
pub enum WriterEvent {
    /// The save with this ticket, and all before it, are on disk.
    Saved(u64),
    /// The disk refused a write, which is made again until the disk takes it. Told once a trouble.
    WriteFailed(StoreError),
    /// The file is not what was written to it any more. Nothing more is written, and the host has to fall silent: it
    /// can't say what it has promised.
    StoreLost(StoreError),
}

/// The way to a disk that is written by a thread of its own.
#[derive(Debug)]
pub struct Writer {
    saves: Option<Sender<Save>>,
    thread: Option<JoinHandle<Option<Store>>>,
}

impl Writer {
    /// Starts the thread on the disk of this voter. `told` hears on that thread; it must not wait for whoever may end
    /// this writer, which in turn waits for the thread.
    ///
    /// # Errors
    /// When there can be no thread.
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
                Err(StoreError::Damaged { reason: "another process wrote to it".into(), path: path.clone() })
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
            // A thread that has ended told why.
            let _ = saves.send(save);
        }
    }

    /// Ends the thread once all that is queued is written, and gives the disk back; none if it refuses that.
    pub fn stop(mut self) -> Option<Store> {
        self.close()
    }

    fn close(&mut self) -> Option<Store> {
        self.saves = None;
        self.thread.take()?.join().ok()?
    }
}

impl Drop for Writer {
    /// The file is closed when this returns: the next one to open it may be waiting already.
    fn drop(&mut self) {
        self.close();
    }
}

/// Writes until it is on disk, and says up to which ticket. Disks refuse writes for seconds and take them again;
/// meanwhile nothing is acknowledged, so that the others see a voter that is away. After a refusal the library takes
/// no more writes, so the file is opened anew; the same write again does no harm if it was there already. None when
/// the file is lost, or when `pause` says that nobody waits any more.
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
                // Once a trouble is enough: it lasts as long as the disk's.
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

/// Lets the disk be for a while. What comes in meanwhile joins the write, as a disk that refuses for long must not
/// make an endless queue. False when nobody waits for the writer any more.
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

/// Whether what a file holds is this voter's, from before a save or from the save itself. While it was closed it was
/// nobody's: a file that was put in its place, or written by another process, may have promised other things.
fn belongs_to_voter(found: Option<&PersistentState>, me: &VoterId, save: &Save) -> bool {
    let promised = |found: &PersistentState| match found.term.cmp(&save.term) {
        std::cmp::Ordering::Less => true,
        std::cmp::Ordering::Equal => found.vote.is_none() || found.vote == save.vote,
        std::cmp::Ordering::Greater => false,
    };
    found.is_some_and(|found| found.me == *me && promised(found))
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

    fn refused() -> StoreError {
        StoreError::SetAsideFailed { path: PathBuf::from("log"), cause: std::io::Error::other("no room") }
    }

    fn damaged() -> StoreError {
        StoreError::Damaged { reason: "entry 3".into(), path: PathBuf::from("log") }
    }

    /// Up to which ticket was written, how often it paused and told. With each pause one more save comes in, until the
    /// host goes.
    fn played(refusals: u32, closed: u32, lost: bool, host_stays: u32) -> (Option<u64>, u32, u32) {
        let (writes, opens, pauses, events) = (Cell::new(0), Cell::new(0), Cell::new(0), Cell::new(0));
        let write = |_: &(), _: &Save| {
            writes.set(writes.get() + 1);
            if writes.get() <= refusals { Err(refused()) } else { Ok(()) }
        };
        let open = |_: &Save| match opens.replace(opens.get() + 1) {
            n if n < closed => Err(refused()),
            _ if lost => Err(damaged()),
            _ => Ok(()),
        };
        let pause = |waiting: &mut Save| {
            pauses.set(pauses.get() + 1);
            waiting.join(save(waiting.ticket + 1));
            pauses.get() <= host_stays
        };
        let written = retry_write((), save(1), write, open, |_| events.set(events.get() + 1), pause);
        (written.map(|(_, ticket)| ticket), pauses.get(), events.get())
    }

    #[yare::parameterized(
        at_once = { 0, 0, false, 9, (Some(1), 0, 0) },
        refused_twice = { 2, 0, false, 9, (Some(3), 2, 1) },
        can_not_be_opened_for_a_while = { 1, 3, false, 9, (Some(5), 4, 1) },
        damaged_meanwhile = { 1, 2, true, 9, (None, 3, 2) },
        the_host_goes = { 9, 0, false, 2, (None, 3, 1) },
    )]
    fn a_write_that_is_refused_is_made_later(
        refusals: u32, closed: u32, lost: bool, host_stays: u32, expected: (Option<u64>, u32, u32),
    ) {
        assert_eq!(played(refusals, closed, lost, host_stays), expected);
    }

    #[yare::parameterized(
        as_it_was = { 4, Some(9), 1, true },
        with_the_save_itself = { 5, Some(1), 1, true },
        before_the_vote = { 5, None, 1, true },
        another_vote_was_given = { 5, Some(9), 1, false },
        a_later_term = { 6, None, 1, false },
        another_voter = { 4, None, 2, false },
    )]
    fn a_file_that_another_process_wrote_to_is_lost(term: u64, vote: Option<u64>, me: u64, goes: bool) {
        let found = PersistentState {
            me: voter(me),
            term,
            vote: vote.map(voter),
            snapshot: None,
            entries: Vec::new(),
            founders: Vec::new(),
        };
        assert_eq!(belongs_to_voter(Some(&found), &voter(1), &save(1)), goes);
        assert!(!belongs_to_voter(None, &voter(1), &save(1)), "an empty file in its place");
    }
}
