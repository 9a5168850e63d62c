//! Results on disk: one JSON object a line, first a head that says what was to be played, then the days in that
//! order, each written when it and all before it are done. What was cut off is still read, and told.

use crate::books::Books;
use crate::judge::Breach;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::File;
use std::io::{BufRead as _, BufReader, Write as _};
use std::path::{Path, PathBuf};

/// The version of the format; later ones add fields, and older readers pass over them.
pub const FORMAT: &str = "fennelscale-lab/1";

/// What was to be played, and by what.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// [`FORMAT`].
    pub format: String,
    /// The commit that the program was built from.
    pub commit: String,
    /// The digest of the decisions' sources.
    pub decisions: String,
    /// How many days were to be played.
    pub days: usize,
}

impl Head {
    /// The head of an experiment of this program.
    pub fn of(days: usize) -> Self {
        Self {
            format: FORMAT.into(),
            commit: env!("LAB_COMMIT").into(),
            decisions: env!("LAB_DECISIONS").into(),
            days,
        }
    }
}

/// What the baselines make of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Marks {
    /// The result of letting all in; 0 if that is more or a ceiling is passed.
    pub floor: f64,
    /// Half way between who sees the truth at once and who sees it late.
    pub top: f64,
    /// The share served by who sees late.
    pub late_share: f64,
}

/// One day under one policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The scenario.
    pub scenario: String,
    /// Its digest.
    pub digest: String,
    /// The seed.
    pub seed: u64,
    /// The policy.
    pub policy: String,
    /// Machines: gateways and backends.
    pub size: (usize, usize),
    /// The score, where the baselines were played: (G - floor) / (top - floor).
    pub score: Option<f64>,
    /// The baselines.
    pub marks: Option<Marks>,
    /// The books.
    pub books: Books,
    /// Broken rules.
    pub broken: u64,
    /// The first of them.
    pub breaches: Vec<Breach>,
    /// Backends looked at twice a second: seconds, held, waiting, gateways, backends, calls so far.
    pub looks: Vec<(f64, usize, usize, usize, usize, u64)>,
}

/// Results that cannot be written or read: one line.
#[derive(Debug)]
pub struct ResultsError(PathBuf, String);

impl fmt::Display for ResultsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.0.display(), self.1)
    }
}

impl std::error::Error for ResultsError {}

/// Writes results, row by row.
#[derive(Debug)]
pub struct Writer {
    path: PathBuf,
    file: File,
}

impl Writer {
    /// A new file with its head.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn new(path: &Path, head: &Head) -> Result<Self, ResultsError> {
        let fault = |error: std::io::Error| ResultsError(path.into(), error.to_string());
        let mut writer = Self { path: path.into(), file: File::create(path).map_err(fault)? };
        writer.line(head)?;
        Ok(writer)
    }

    fn line(&mut self, what: &impl Serialize) -> Result<(), ResultsError> {
        let fault = |error: std::io::Error| ResultsError(self.path.clone(), error.to_string());
        let mut text = serde_json::to_string(what).map_err(|error| fault(error.into()))?;
        text.push('\n');
        self.file.write_all(text.as_bytes()).and_then(|()| self.file.flush()).map_err(fault)
    }

    /// One more day.
    ///
    /// # Errors
    /// When it cannot be written whole.
    pub fn row(&mut self, row: &Row) -> Result<(), ResultsError> {
        self.line(row)
    }
}

/// A file of results.
#[derive(Clone, Debug, PartialEq)]
pub struct Results {
    /// What was to be played.
    pub head: Head,
    /// What was.
    pub rows: Vec<Row>,
}

impl Results {
    /// Reads a file. A last line that was cut off is left out.
    ///
    /// # Errors
    /// When it is no file of results, or of a later version.
    pub fn read(path: &Path) -> Result<Self, ResultsError> {
        let fault = |what: String| ResultsError(path.into(), what);
        let file = File::open(path).map_err(|error| fault(error.to_string()))?;
        let mut lines = BufReader::new(file).lines();
        let first = lines.next().ok_or_else(|| fault("empty".into()))?;
        let first = first.map_err(|error| fault(error.to_string()))?;
        let head: Head = serde_json::from_str(&first).map_err(|error| fault(format!("line 1: {error}")))?;
        if head.format != FORMAT {
            return Err(fault(format!("format {} is not {FORMAT}", head.format)));
        }
        let mut rows = Vec::new();
        let mut lines = lines.enumerate().peekable();
        while let Some((number, line)) = lines.next() {
            let line = line.map_err(|error| fault(error.to_string()))?;
            match serde_json::from_str(&line) {
                Ok(row) => rows.push(row),
                Err(_) if lines.peek().is_none() => {}
                Err(error) => return Err(fault(format!("line {}: {error}", number + 2))),
            }
        }
        Ok(Self { head, rows })
    }

    /// How many days are missing.
    pub fn missing(&self) -> usize {
        self.head.days.saturating_sub(self.rows.len())
    }
}
