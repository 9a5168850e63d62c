//! An in-memory file that records each operation, so that tests can replay a power loss at any of them.

use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

use redb::StorageBackend;

/// The unit that a disk writes atomically, in bytes.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
pub enum Op {
    Write {
        offset: usize,
        bytes: Vec<u8>,
    },
    Length(usize),
    Sync,
    /// The number of saves acknowledged so far.
    Acknowledged(usize),
}

#[derive(Debug, Default)]
struct Recording {
    bytes: Vec<u8>,
    ops: Vec<Op>,
}

/// The file; clones share the same contents.
#[derive(Clone, Debug, Default)]
pub struct RecordingBackend(Arc<Mutex<Recording>>);

impl RecordingBackend {
    pub fn with(bytes: Vec<u8>) -> RecordingBackend {
        RecordingBackend(Arc::new(Mutex::new(Recording { bytes, ops: Vec::new() })))
    }

    fn recording(&self) -> MutexGuard<'_, Recording> {
        // A panic in `redb` must not hide its earlier writes.
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn acknowledge(&self, saves: usize) {
        self.recording().ops.push(Op::Acknowledged(saves));
    }

    pub fn ops(&self) -> Vec<Op> {
        self.recording().ops.clone()
    }

    fn record(&self, op: Op) -> Result<()> {
        let mut recording = self.recording();
        apply_op(&mut recording.bytes, &op, |_| true);
        recording.ops.push(op);
        Ok(())
    }
}

impl StorageBackend for RecordingBackend {
    fn len(&self) -> Result<u64> {
        Ok(self.recording().bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let recording = self.recording();
        let from = usize::try_from(offset).unwrap_or(usize::MAX);
        let found = recording.bytes.get(from..from.saturating_add(out.len()));
        out.copy_from_slice(found.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<()> {
        self.record(Op::Length(len as usize))
    }

    fn sync_data(&self) -> Result<()> {
        self.record(Op::Sync)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.record(Op::Write { offset: offset as usize, bytes: data.to_vec() })
    }
}

/// Applies the sectors of an operation for which `is_written` returns true.
pub fn apply_op(bytes: &mut Vec<u8>, op: &Op, mut is_written: impl FnMut(usize) -> bool) {
    match op {
        Op::Write { offset, bytes: data } => {
            for (number, sector) in data.chunks(SECTOR).enumerate() {
                if is_written(number) {
                    let from = offset + number * SECTOR;
                    let end = from + sector.len();
                    bytes.resize(bytes.len().max(end), 0);
                    bytes[from..end].copy_from_slice(sector);
                }
            }
        }
        Op::Length(length) => {
            if is_written(0) {
                bytes.resize(*length, 0);
            }
        }
        Op::Sync | Op::Acknowledged(_) => {}
    }
}

pub fn sector_count(op: &Op) -> usize {
    if let Op::Write { bytes, .. } = op { bytes.len().div_ceil(SECTOR) } else { 1 }
}
