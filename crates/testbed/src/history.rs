//! What the tool's own parties saw, on one clock: the only thing that the judge goes by.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Lines that are kept; longer plays have no verdict.
const MOST: usize = 12_000_000;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A success.
    Served,
    /// Refused at the last.
    Refused,
    /// Anything else: with the status, if there was one.
    Failed(Option<u16>),
}

/// What becomes of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Deed {
    /// It was started.
    Started,
    /// It was killed.
    Killed,
    /// It was told to end.
    Told,
    /// It was stopped, as by SIGSTOP.
    Stopped,
    /// It goes on.
    Continued,
    /// It ended by itself, or did not end when told to.
    Wrong(String),
}

/// One thing that was seen. Machines and kinds are numbers from 0, tries are known by their ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Seen {
    /// A client has a request for a tenant.
    Asked {
        /// Whose it is.
        tenant: usize,
    },
    /// A client is about to send a try.
    Sent {
        /// Its id.
        id: u64,
        /// Its kind, where its route is one of the first.
        kind: Option<usize>,
        /// The tenant whose key it has.
        tenant: Option<usize>,
        /// Whether it may run more than once.
        pure: bool,
    },
    /// It goes to this machine.
    Took {
        /// Its id.
        id: u64,
        /// Whose clients' port was connected to.
        machine: usize,
    },
    /// A backend of this number began its life.
    Born {
        /// A number of its own.
        backend: u32,
        /// What it calls itself.
        id: String,
        /// Its service.
        service: String,
    },
    /// A request reached a backend that is the one it was meant for.
    Arrived {
        /// Its id, if it has a proper one.
        id: Option<u64>,
        /// Where.
        backend: u32,
        /// Whose connection it came on, where relays tell.
        machine: Option<usize>,
    },
    /// A backend begins to work on it.
    Ran {
        /// Its id.
        id: Option<u64>,
        /// Where.
        backend: u32,
        /// When it had arrived, in us.
        arrived: u64,
        /// The tenant that the backend is told of.
        tenant: Option<String>,
        /// Whether it was shown a key.
        key: bool,
        /// Whether method, path and body are those of the client.
        unchanged: bool,
    },
    /// A backend keeps its answer to itself, or breaks it off.
    Broke {
        /// The try's id.
        id: u64,
    },
    /// A client got a whole answer.
    Answered {
        /// The try's id.
        id: u64,
        /// The status.
        status: u16,
        /// The seal.
        seal: Option<String>,
        /// Whether the answer names this try.
        echoed: bool,
        /// Whether it has the whole body of the backend.
        whole: bool,
    },
    /// A client's connection ended without a whole answer, though all was sent.
    Cut {
        /// The try's id.
        id: u64,
    },
    /// A request came to its end.
    Done {
        /// Its kind.
        kind: usize,
        /// Whether something is owed for it: not beyond a tenant's limit.
        owed: bool,
        /// When it was due, in us.
        due: u64,
        /// How it ended.
        end: End,
        /// Its tries.
        tries: u32,
    },
    /// A backend's drain was acknowledged.
    Drained {
        /// Whose.
        backend: u32,
    },
    /// The operator sends a change.
    Order {
        /// Its number.
        version: u64,
        /// The version that it changes.
        base: u64,
        /// Whether it is valid.
        valid: bool,
        /// The changes whose own routes it has.
        routes: Vec<u64>,
    },
    /// It is acknowledged.
    Acked {
        /// Its number.
        version: u64,
    },
    /// It is clearly refused.
    Turned {
        /// Its number.
        version: u64,
        /// The status.
        status: u16,
    },
    /// A request on the route of one change was answered.
    Probed {
        /// The change.
        version: u64,
        /// By whom.
        machine: usize,
        /// When it was sent, in us.
        sent: u64,
        /// The status.
        status: u16,
    },
    /// A control plane says at the end what holds; without a version it said nothing.
    Read {
        /// Which.
        machine: usize,
        /// The number.
        version: Option<u64>,
        /// Whether it is what was sent under that number.
        same: bool,
    },
    /// Something becomes of a process.
    Process {
        /// On which machine.
        machine: usize,
        /// Which plane.
        data_plane: bool,
        /// What.
        deed: Deed,
    },
    /// A fault begins.
    Begins {
        /// Its number in the schedule.
        fault: usize,
        /// In words.
        text: String,
        /// Machines whose links it harms.
        machines: Vec<usize>,
    },
    /// It has ended, and all is put right.
    Ends {
        /// Its number.
        fault: usize,
    },
    /// How a control plane stands.
    Stands {
        /// Which.
        machine: usize,
        /// Whether it leads.
        leads: bool,
        /// The version that it knows.
        version: u64,
    },
    /// Something came late, which may be the machine's fault.
    Late {
        /// In words.
        text: String,
    },
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When, in us since the history's begin.
    pub at: u64,
    /// What.
    pub seen: Seen,
}

/// Where all parties write.
pub struct History {
    begun: Instant,
    lines: Mutex<Vec<Line>>,
}

impl Default for History {
    fn default() -> Self {
        Self { begun: Instant::now(), lines: Mutex::default() }
    }
}

impl History {
    fn lines(&self) -> MutexGuard<'_, Vec<Line>> {
        // Lines are whole between two calls, whoever panicked.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A moment on the history's clock, in us.
    pub fn at(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.begun).as_micros() as u64
    }

    /// Notes what is seen now. False when there is no room.
    pub fn note(&self, seen: Seen) -> bool {
        let mut lines = self.lines();
        // Within the lock, so that times rise.
        let at = self.at(Instant::now());
        let room = lines.len() < MOST;
        if room {
            lines.push(Line { at, seen });
        }
        room
    }

    /// Notes that something came too late.
    pub fn late(&self, text: impl Into<String>) {
        self.note(Seen::Late { text: text.into() });
    }

    /// All lines so far, and whether some were lost.
    pub fn take(&self) -> (Vec<Line>, bool) {
        let lines = std::mem::take(&mut *self.lines());
        let full = lines.len() >= MOST;
        (lines, full)
    }
}
