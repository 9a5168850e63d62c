//! Result files: one JSON object per line. The first line is a head with the planned days; then the days follow in
//! the planned order, each written when it and all days before it are complete. A truncated file can still be read,
//! and reports how many days are missing.
//!
//! Terms: G is the result of a day's books ([`crate::books`]). A baseline is a simple policy to compare the library's
//! decisions with ([`crate::decider`]). The score of a day places G between a floor and a top, both from baselines.

use crate::books::Books;
use crate::judge::Breach;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::File;
use std::io::{BufRead as _, BufReader, Write as _};
use std::path::{Path, PathBuf};

/// The version of the format. Later versions only add fields, which older readers ignore.
pub const FORMAT: &str = "fennelscale-lab/1";

/// The number of planned days and the program that simulated them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The value of [`FORMAT`].
    pub format: String,
    /// The commit from which the program was built.
    pub commit: String,
    /// The digest of the source files of the library's decisions.
    pub decisions: String,
    /// The number of planned days.
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

/// The floor and the top of a day's score, derived from the baselines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoreRange {
    /// G of the baseline that admits all requests, but at least 0, and 0 if this baseline exceeds a ceiling. The floor
    /// is raised where the distance to the top would be too large ([`crate::experiment::score_range`]).
    pub floor: f64,
    /// The mean of G with the current and with the delayed true state.
    pub top: f64,
    /// The share earned with the delayed true state.
    pub late_share: f64,
}

/// One day under one policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's digest.
    pub digest: String,
    /// The seed.
    pub seed: u64,
    /// The policy's name.
    pub policy: String,
    /// The number of gateways and of backends.
    pub size: (usize, usize),
    /// The score, if the baselines were simulated: (G - floor) / (top - floor).
    pub score: Option<f64>,
    /// The floor and the top of the score.
    pub marks: Option<ScoreRange>,
    /// The books.
    pub books: Books,
    /// The number of breaches.
    pub broken: u64,
    /// The first breaches.
    pub breaches: Vec<Breach>,
    /// Samples of the fleet, two per second: seconds, held, waiting, gateways, backends, calls so far.
    pub looks: Vec<(f64, usize, usize, usize, usize, u64)>,
}

/// A result file that cannot be written or read, described in one line.
#[derive(Debug)]
pub struct ResultsError(PathBuf, String);

impl fmt::Display for ResultsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.0.display(), self.1)
    }
}

impl std::error::Error for ResultsError {}

/// Writes results row by row.
#[derive(Debug)]
pub struct Writer {
    path: PathBuf,
    file: File,
}

impl Writer {
    /// Creates a file and writes its head.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn new(path: &Path, head: &Head) -> Result<Self, ResultsError> {
        let to_error = |error: std::io::Error| ResultsError(path.into(), error.to_string());
        let mut writer = Self { path: path.into(), file: File::create(path).map_err(to_error)? };
        writer.write_line(head)?;
        Ok(writer)
    }

    fn write_line(&mut self, what: &impl Serialize) -> Result<(), ResultsError> {
        let to_error = |error: std::io::Error| ResultsError(self.path.clone(), error.to_string());
        let mut text = serde_json::to_string(what).map_err(|error| to_error(error.into()))?;
        text.push('\n');
        self.file.write_all(text.as_bytes()).and_then(|()| self.file.flush()).map_err(to_error)
    }

    /// Appends one day.
    ///
    /// # Errors
    /// When the day cannot be written completely.
    pub fn write_row(&mut self, row: &Row) -> Result<(), ResultsError> {
        self.write_line(row)
    }
}

/// The contents of a result file.
#[derive(Clone, Debug, PartialEq)]
pub struct Results {
    /// The planned days and the program.
    pub head: Head,
    /// The days that the file contains.
    pub rows: Vec<Row>,
}

impl Results {
    /// Reads a file. An incomplete last line is ignored.
    ///
    /// # Errors
    /// When the file is no result file or has another format version.
    pub fn read(path: &Path) -> Result<Self, ResultsError> {
        let to_error = |what: String| ResultsError(path.into(), what);
        let file = File::open(path).map_err(|error| to_error(error.to_string()))?;
        let mut lines = BufReader::new(file).lines();
        let first = lines.next().ok_or_else(|| to_error("the file is empty".into()))?;
        let first = first.map_err(|error| to_error(error.to_string()))?;
        let head: Head =
            serde_json::from_str(&first).map_err(|error| to_error(format!("line 1: {error}")))?;
        if head.format != FORMAT {
            return Err(to_error(format!("format {} is not {FORMAT}", head.format)));
        }
        let mut rows = Vec::new();
        let mut lines = lines.enumerate().peekable();
        while let Some((number, line)) = lines.next() {
            let line = line.map_err(|error| to_error(error.to_string()))?;
            match serde_json::from_str(&line) {
                Ok(row) => rows.push(row),
                Err(_) if lines.peek().is_none() => {}
                Err(error) => return Err(to_error(format!("line {}: {error}", number + 2))),
            }
        }
        Ok(Self { head, rows })
    }

    /// The number of planned days that the file does not contain.
    pub fn missing(&self) -> usize {
        self.head.days.saturating_sub(self.rows.len())
    }
}
