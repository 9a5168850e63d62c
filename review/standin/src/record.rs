//! The record of a run: what was sent, answered and run, with the time in milliseconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<BufWriter<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(BufWriter::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.start.elapsed().as_millis(), text.as_ref());
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:>7} {}", self.now(), text.as_ref());
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
