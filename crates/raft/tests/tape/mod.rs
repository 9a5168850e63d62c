//! A file in memory that remembers each write, so that a power loss can be replayed at any of them.

use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

use redb::StorageBackend;

/// What a disk writes whole, or not at all.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
pub enum Op {
    Write {
        at: usize,
        bytes: Vec<u8>,
    },
    Length(usize),
    Sync,
    /// So many saves were acknowledged by now.
    Acknowledged(usize),
}

#[derive(Debug, Default)]
struct Reel {
    bytes: Vec<u8>,
    ops: Vec<Op>,
}

/// The file; clones are the same one.
#[derive(Clone, Debug, Default)]
pub struct Tape(Arc<Mutex<Reel>>);

impl Tape {
    pub fn with(bytes: Vec<u8>) -> Tape {
        Tape(Arc::new(Mutex::new(Reel { bytes, ops: Vec::new() })))
    }

    fn reel(&self) -> MutexGuard<'_, Reel> {
        // A panic in the library must not hide what it had written.
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn acknowledge(&self, saves: usize) {
        self.reel().ops.push(Op::Acknowledged(saves));
    }

    pub fn ops(&self) -> Vec<Op> {
        self.reel().ops.clone()
    }

    fn take(&self, op: Op) -> Result<()> {
        let mut reel = self.reel();
        put(&mut reel.bytes, &op, |_| true);
        reel.ops.push(op);
        Ok(())
    }
}

impl StorageBackend for Tape {
    fn len(&self) -> Result<u64> {
        Ok(self.reel().bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let reel = self.reel();
        let from = usize::try_from(offset).unwrap_or(usize::MAX);
        let found = reel.bytes.get(from..from.saturating_add(out.len()));
        out.copy_from_slice(found.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<()> {
        self.take(Op::Length(len as usize))
    }

    fn sync_data(&self) -> Result<()> {
        self.take(Op::Sync)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.take(Op::Write { at: offset as usize, bytes: data.to_vec() })
    }
}

/// Writes those sectors of an operation that `kept` says.
pub fn put(bytes: &mut Vec<u8>, op: &Op, mut kept: impl FnMut(usize) -> bool) {
    match op {
        Op::Write { at, bytes: data } => {
            for (number, sector) in data.chunks(SECTOR).enumerate() {
                if kept(number) {
                    let from = at + number * SECTOR;
                    let end = from + sector.len();
                    bytes.resize(bytes.len().max(end), 0);
                    bytes[from..end].copy_from_slice(sector);
                }
            }
        }
        Op::Length(length) => {
            if kept(0) {
                bytes.resize(*length, 0);
            }
        }
        Op::Sync | Op::Acknowledged(_) => {}
    }
}

pub fn sectors(op: &Op) -> usize {
    if let Op::Write { bytes, .. } = op { bytes.len().div_ceil(SECTOR) } else { 1 }
}
