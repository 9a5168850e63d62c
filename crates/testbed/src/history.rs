//! Records what clients, backends, the operator and the testbed observe, on one clock. The judge uses nothing else.
//! A request may have several attempts; each attempt is one sending of the request to a gateway.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Maximum number of records; a trial with more records has no verdict.
const MAX_RECORDS: usize = 12_000_000;

/// Outcome of a request as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The request succeeded.
    Served,
    /// The last attempt was refused.
    Refused,
    /// The request failed otherwise; holds the status, if there was an answer.
    Failed(Option<u16>),
}

/// An event in the life of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessEvent {
    /// The process was started.
    Started,
    /// The process was killed.
    Killed,
    /// The process received SIGTERM.
    Told,
    /// The process was suspended with SIGSTOP.
    Stopped,
    /// The process was resumed with SIGCONT.
    Continued,
    /// The process exited unexpectedly, or did not exit after SIGTERM.
    Wrong(String),
}

/// An observed event. Machines, tenants and kinds of request are indexes from 0; attempts are identified by their ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client issues a request for a tenant.
    #[serde(rename = "Asked")]
    Requested {
        /// Index of the tenant.
        tenant: usize,
    },
    /// A client is about to send an attempt.
    Sent {
        /// Id of the attempt.
        id: u64,
        /// Index of the request's kind, if its route belongs to the first configuration.
        kind: Option<usize>,
        /// Index of the tenant whose API key the attempt carries.
        tenant: Option<usize>,
        /// Whether the request is pure, so that it may run more than once.
        pure: bool,
    },
    /// A client connected to a machine to send an attempt.
    #[serde(rename = "Took")]
    Connected {
        /// Id of the attempt.
        id: u64,
        /// The machine whose client port accepted the connection.
        machine: usize,
    },
    /// A simulated backend started.
    #[serde(rename = "Born")]
    BackendStarted {
        /// Unique number of the backend.
        backend: u32,
        /// Instance id that the backend announces.
        id: String,
        /// Service of the backend.
        service: String,
    },
    /// An attempt reached the backend that it was addressed to.
    Arrived {
        /// Id of the attempt, if the id is valid.
        id: Option<u64>,
        /// Number of the backend.
        backend: u32,
        /// The machine whose connection carried the attempt; known only with relays, whose source addresses differ by
        /// machine.
        machine: Option<usize>,
    },
    /// A backend starts to process an attempt.
    Ran {
        /// Id of the attempt, if the id is valid.
        id: Option<u64>,
        /// Number of the backend.
        backend: u32,
        /// When the attempt arrived, in microseconds.
        arrived: u64,
        /// The tenant named to the backend.
        tenant: Option<String>,
        /// Whether the backend received an API key.
        key: bool,
        /// Whether method, path and body are as the client sent them.
        unchanged: bool,
    },
    /// A backend withholds its answer or breaks it off.
    #[serde(rename = "Broke")]
    AnswerWithheld {
        /// Id of the attempt.
        id: u64,
    },
    /// A client received a complete answer.
    Answered {
        /// Id of the attempt.
        id: u64,
        /// The HTTP status.
        status: u16,
        /// The seal by which the answering backend identifies itself.
        seal: Option<String>,
        /// Whether the answer names this attempt.
        echoed: bool,
        /// Whether the answer has the backend's complete body.
        whole: bool,
    },
    /// A client's connection closed without a complete answer after the client had sent the whole request.
    Cut {
        /// Id of the attempt.
        id: u64,
    },
    /// A request finished.
    Done {
        /// Index of the request's kind.
        kind: usize,
        /// Whether the request is within the tenant's quota, so that the fleet owes its service.
        owed: bool,
        /// When the request was due, in microseconds.
        due: u64,
        /// Outcome of the request.
        end: End,
        /// Number of attempts.
        tries: u32,
    },
    /// The drain of a backend was acknowledged.
    Drained {
        /// Number of the backend.
        backend: u32,
    },
    /// The operator sends a configuration change.
    #[serde(rename = "Order")]
    ChangeSent {
        /// Version that the change creates.
        version: u64,
        /// Version that the change is based on.
        base: u64,
        /// Whether the change is valid.
        valid: bool,
        /// Versions of the changes whose routes the configuration contains. Each valid change adds one route.
        routes: Vec<u64>,
    },
    /// A change was acknowledged.
    Acked {
        /// Version of the change.
        version: u64,
    },
    /// A change was definitely rejected.
    #[serde(rename = "Turned")]
    ChangeRejected {
        /// Version of the change.
        version: u64,
        /// The HTTP status.
        status: u16,
    },
    /// A request on the route that a change added was answered.
    Probed {
        /// Version of the change.
        version: u64,
        /// The machine that answered.
        machine: usize,
        /// When the request was sent, in microseconds.
        sent: u64,
        /// The HTTP status.
        status: u16,
    },
    /// A control plane reported its configuration at the end of the trial; no version means no answer.
    Read {
        /// The machine of the control plane.
        machine: usize,
        /// The reported version.
        version: Option<u64>,
        /// Whether the configuration equals the one sent under this version.
        same: bool,
    },
    /// The state of a process changed.
    Process {
        /// The machine of the process.
        machine: usize,
        /// Whether the process is a data plane; otherwise a control plane.
        data_plane: bool,
        /// The new state of the process.
        #[serde(rename = "deed")]
        process_event: ProcessEvent,
    },
    /// A fault began.
    #[serde(rename = "Begins")]
    FaultBegan {
        /// Index of the fault in the schedule.
        fault: usize,
        /// Description of the fault.
        text: String,
        /// Machines whose links or processes the fault affects.
        machines: Vec<usize>,
    },
    /// A fault ended and everything that it affected is restored.
    #[serde(rename = "Ends")]
    FaultEnded {
        /// Index of the fault in the schedule.
        fault: usize,
    },
    /// A control plane reported its status.
    #[serde(rename = "Stands")]
    StatusReported {
        /// The machine of the control plane.
        machine: usize,
        /// Whether the control plane is the leader.
        leads: bool,
        /// The newest version that the control plane knows.
        version: u64,
    },
    /// A delay was measured, possibly caused by the machine that runs the trial.
    Late {
        /// Description of the delay.
        text: String,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time in microseconds since the start of the history.
    pub at: u64,
    /// The event.
    #[serde(rename = "seen")]
    pub event: Event,
}

/// Collects the records of all parties.
pub struct History {
    start: Instant,
    records: Mutex<Vec<Record>>,
}

impl Default for History {
    fn default() -> Self {
        Self { start: Instant::now(), records: Mutex::default() }
    }
}

impl History {
    fn records(&self) -> MutexGuard<'_, Vec<Record>> {
        // Each push is atomic, so a panic elsewhere leaves the records consistent.
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Converts an instant to the history's clock, in microseconds.
    pub fn at(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.start).as_micros() as u64
    }

    /// Records an event at the current time. Returns false when the history is full.
    pub fn record(&self, event: Event) -> bool {
        let mut records = self.records();
        // Read the clock under the lock, so that record times never decrease.
        let at = self.at(Instant::now());
        let has_room = records.len() < MAX_RECORDS;
        if has_room {
            records.push(Record { at, event });
        }
        has_room
    }

    /// Records a delay.
    pub fn late(&self, text: impl Into<String>) {
        self.record(Event::Late { text: text.into() });
    }

    /// Takes all records, and tells whether the history became full.
    pub fn take(&self) -> (Vec<Record>, bool) {
        let records = std::mem::take(&mut *self.records());
        let full = records.len() >= MAX_RECORDS;
        (records, full)
    }
}
