//! What the parties of a trial saw, on one clock: the tool's own. Each party writes down what it did itself, at the
//! moment it did it; nothing in here is a gateway's word about itself.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The most that is kept: some minutes of the greatest load. A history that is full gives no verdict.
const MOST: usize = 2_000_000;

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// A whole answer came, with this status; `by` is what its body says, when it was served.
    Answered {
        /// The status.
        status: u16,
        /// The text of the body, of a 200.
        body: String,
    },
    /// The connection ended without a whole answer. A connection that had carried a request before may have been
    /// closed while this one was under way.
    Broken {
        /// Whether the connection was a new one.
        fresh: bool,
    },
    /// Nothing came until half a second after the client's time.
    Silent,
    /// It was never written: no gateway took the connection.
    Unsent,
}

/// A backend as one entry of a list tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number.
    pub backend: usize,
    /// Whether it wants new requests.
    pub usable: bool,
    /// Its last start by the list, in ms of Unix time; 0: long ago.
    pub born_ms: u64,
}

/// One thing that a party saw or did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// A client has a request, whether or not a gateway can be reached.
    Due {
        /// The request's id.
        id: String,
        /// Its class, by number.
        class: usize,
    },
    /// A client writes a request to a gateway.
    Sent {
        /// The request's id.
        id: String,
        /// To which gateway.
        gateway: usize,
        /// Its class, by number.
        class: usize,
        /// Its customer's number, and plan, by number.
        customer: (usize, usize),
        /// How long its client waits, in ms.
        deadline_ms: u64,
    },
    /// A client's request ended.
    Ended {
        /// The request's id.
        id: String,
        /// How.
        how: Ended,
    },
    /// A request arrived whole at a backend.
    Arrived {
        /// The request's id.
        id: String,
        /// Where.
        backend: usize,
        /// From which gateway; none if its address is no gateway's.
        gateway: Option<usize>,
        /// The work that it is, in ms of a slot.
        work_ms: f64,
        /// Whether it may have run; else it was turned away.
        ran: bool,
    },
    /// A backend answered a request as served.
    Served {
        /// The request's id.
        id: String,
        /// Where.
        backend: usize,
    },
    /// A backend's process started; it is cold.
    Born {
        /// Which.
        backend: usize,
        /// When, as its list entry says it.
        born_ms: u64,
    },
    /// The counter added an amount.
    Added {
        /// To which name.
        name: String,
        /// How much.
        amount: f64,
        /// The total after it.
        total: f64,
        /// By which gateway.
        gateway: Option<usize>,
    },
    /// Discovery wrote a list to a gateway.
    Told {
        /// To which.
        gateway: usize,
        /// The list's version.
        seq: u64,
        /// All of it.
        hosts: Vec<Entry>,
    },
    /// A gateway asked discovery for what is newer than a version, so it has that one.
    Asked {
        /// Which gateway.
        gateway: usize,
        /// The version that it has.
        after: u64,
    },
    /// A fault begins.
    Begins {
        /// Its place in the schedule.
        fault: usize,
    },
    /// A fault is over.
    Ends {
        /// Its place in the schedule.
        fault: usize,
    },
    /// A gateway's process was started and listens.
    Up {
        /// Which gateway.
        gateway: usize,
        /// Its process.
        pid: u32,
    },
    /// A gateway's process ended; `asked` if the tool had told it to.
    Down {
        /// Which gateway.
        gateway: usize,
        /// Its process.
        pid: u32,
        /// Whether the tool had killed it or told it to end.
        asked: bool,
        /// How it ended.
        status: String,
    },
    /// A gateway's guard of a duty said yes, as the gateway's own file of acts has it.
    Acted {
        /// Which gateway.
        gateway: usize,
        /// Which duty.
        duty: String,
        /// Under which fence.
        fence: u64,
    },
    /// What a gateway's process holds.
    Holds {
        /// Which gateway.
        gateway: usize,
        /// Its process.
        pid: u32,
        /// Open descriptors.
        descriptors: u64,
        /// Resident memory, in kB.
        resident_kb: u64,
    },
}

/// One line of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When, in microseconds since the history began.
    pub at: u64,
    /// What.
    pub seen: Seen,
}

/// The history of one trial.
pub struct History {
    begun: Instant,
    /// The same moment on the machine's clock that counts suspended time.
    boot: Duration,
    lines: Mutex<(Vec<Line>, bool)>,
}

fn boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let part = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(time.tv_sec).unwrap_or_default(), part)
}

impl Default for History {
    fn default() -> Self {
        Self { begun: Instant::now(), boot: boot(), lines: Mutex::new((Vec::new(), false)) }
    }
}

impl History {
    /// The time now, in microseconds.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    /// The time of a moment, in microseconds.
    pub fn at(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.begun).as_micros() as u64
    }

    /// Writes down what is seen now.
    pub fn note(&self, seen: Seen) {
        self.note_at(Instant::now(), seen);
    }

    /// Writes down what was seen at a moment.
    pub fn note_at(&self, moment: Instant, seen: Seen) {
        let mut lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if lines.0.len() < MOST {
            lines.0.push(Line { at: self.at(moment), seen });
        } else {
            lines.1 = true;
        }
    }

    /// Writes down what a process of this machine has dated by the clock that counts suspended time, in us.
    pub fn note_boot(&self, boot_us: u64, seen: Seen) {
        let since = Duration::from_micros(boot_us).saturating_sub(self.boot);
        self.note_at(self.begun + since, seen);
    }

    /// All lines by time, and whether there were more than are kept.
    pub fn take(&self) -> (Vec<Line>, bool) {
        let mut lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let (mut all, full) = std::mem::take(&mut *lines);
        all.sort_by_key(|line| line.at);
        (all, full)
    }
}

/// The addresses of one trial: trials that run side by side have nothing in common, and the port at which a gateway
/// listens is never taken by a connection while its process is away.
#[derive(Clone, Copy, Debug, Default)]
pub struct Addresses(u8, u8);

/// The last part of the first gateway's two addresses: where its connections come from, and where it listens.
const CONNECTS: u8 = 10;
const LISTENS: u8 = 110;

impl Addresses {
    /// Those of this process's trial of a number.
    pub fn of_trial(number: usize) -> Self {
        Self(10 + (std::process::id() % 240) as u8, (number % 256) as u8)
    }

    /// Where the connections of a gateway come from; without a number, those of clients.
    pub fn source(self, gateway: Option<usize>) -> IpAddr {
        let last = gateway.map_or(1, |number| CONNECTS + number as u8);
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, last))
    }

    /// Where a gateway listens.
    pub fn listen(self, gateway: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, LISTENS + gateway as u8))
    }
}

/// Whose connections come from this address.
pub fn gateway_at(address: IpAddr) -> Option<usize> {
    let IpAddr::V4(address) = address else { return None };
    let last = address.octets()[3];
    (CONNECTS..LISTENS).contains(&last).then(|| usize::from(last - CONNECTS))
}
