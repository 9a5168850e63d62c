//! History of a trial: the events of its parties, timestamped with the clock of the emulator. Clients and stand-ins
//! record their own actions at the time of each action. The only events that gateways report themselves are
//! [`Seen::Acted`]. A duty is a named role that at most one gateway performs at a time, under a fencing token.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum number of events, which suffices for some minutes at the maximum load. A trial whose history is full is
/// void.
const MAX_EVENTS: usize = 2_000_000;

/// Outcome of a client's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// The client received a complete answer.
    Answered {
        /// The status code.
        status: u16,
        /// The body of a 200 answer; empty for other status codes.
        body: String,
    },
    /// The connection closed before a complete answer arrived. A reused connection may have been closed by the gateway
    /// while the client wrote the request.
    Broken {
        /// Whether the connection was new, that is, had carried no request before.
        fresh: bool,
    },
    /// No answer arrived within half a second after the client deadline.
    Silent,
    /// The request was never written: no gateway accepted a connection.
    Unsent,
}

/// A backend as described by an entry of a discovery list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the backend.
    pub backend: usize,
    /// Whether the backend accepts new requests.
    pub usable: bool,
    /// Last start of the backend, in ms of Unix time; 0 if the backend started long ago.
    pub born_ms: u64,
}

/// An event that a party observed or caused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// A request is due at a client, whether or not a gateway is reachable.
    Due {
        /// Id of the request.
        id: String,
        /// Index of the request class.
        class: usize,
    },
    /// A client writes a request to a gateway.
    Sent {
        /// Id of the request.
        id: String,
        /// Number of the receiving gateway.
        gateway: usize,
        /// Index of the request class.
        class: usize,
        /// Number of the customer, and index of the customer's plan.
        customer: (usize, usize),
        /// Client deadline, in ms.
        deadline_ms: u64,
    },
    /// A client's request ended.
    Ended {
        /// Id of the request.
        id: String,
        /// Outcome of the request.
        how: Ended,
    },
    /// A backend received a complete request.
    Arrived {
        /// Id of the request.
        id: String,
        /// Number of the backend.
        backend: usize,
        /// Number of the sending gateway; `None` if the source address belongs to no gateway.
        gateway: Option<usize>,
        /// Work that the request causes, in ms of one slot of a warm backend.
        work_ms: f64,
        /// Whether the request may have run; false if the backend declined it.
        ran: bool,
    },
    /// A backend completed a request.
    Served {
        /// Id of the request.
        id: String,
        /// Number of the backend.
        backend: usize,
    },
    /// A backend restarted and is cold.
    Born {
        /// Number of the backend.
        backend: usize,
        /// Start time in ms of Unix time, as in the discovery list.
        born_ms: u64,
    },
    /// The counter added an amount to a value.
    Added {
        /// Name of the value.
        name: String,
        /// The amount.
        amount: f64,
        /// The total after the addition.
        total: f64,
        /// Number of the calling gateway, if the source address belongs to one.
        gateway: Option<usize>,
    },
    /// Discovery sent a list to a gateway.
    Told {
        /// Number of the gateway.
        gateway: usize,
        /// Version of the list.
        seq: u64,
        /// All entries of the list.
        hosts: Vec<Entry>,
    },
    /// A gateway requested a list newer than a version, which confirms that the gateway has that version.
    Asked {
        /// Number of the gateway.
        gateway: usize,
        /// The version that the gateway has.
        after: u64,
    },
    /// A fault started.
    Begins {
        /// Index of the fault in the schedule.
        fault: usize,
    },
    /// A fault ended.
    Ends {
        /// Index of the fault in the schedule.
        fault: usize,
    },
    /// A gateway process started and listens.
    Up {
        /// Number of the gateway.
        gateway: usize,
        /// Process id.
        pid: u32,
    },
    /// A gateway process exited.
    Down {
        /// Number of the gateway.
        gateway: usize,
        /// Process id.
        pid: u32,
        /// Whether the emulator had killed the process or requested its exit.
        asked: bool,
        /// Exit status of the process.
        status: String,
    },
    /// A gateway's duty guard permitted an action, according to the gateway's own record file.
    Acted {
        /// Number of the gateway.
        gateway: usize,
        /// Name of the duty.
        duty: String,
        /// Fencing token of the duty.
        fence: u64,
    },
    /// Resource use of a gateway process.
    Holds {
        /// Number of the gateway.
        gateway: usize,
        /// Process id.
        pid: u32,
        /// Number of open file descriptors.
        descriptors: u64,
        /// Resident memory, in kB.
        resident_kb: u64,
    },
}

/// One event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time of the event, in microseconds since the history began.
    pub at: u64,
    /// The event.
    pub seen: Seen,
}

/// The history of one trial.
pub struct History {
    started_at: Instant,
    /// The start time on `CLOCK_BOOTTIME`, which includes time that the machine was suspended.
    started_at_boottime: Duration,
    events: Mutex<(Vec<Line>, bool)>,
}

fn boottime() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(time.tv_sec).unwrap_or_default(), nanos)
}

impl Default for History {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            started_at_boottime: boottime(),
            events: Mutex::new((Vec::new(), false)),
        }
    }
}

impl History {
    /// Returns the current time, in microseconds since the history began.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Converts an instant to microseconds since the history began.
    pub fn at(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.started_at).as_micros() as u64
    }

    /// Records an event at the current time.
    pub fn note(&self, seen: Seen) {
        self.note_at(Instant::now(), seen);
    }

    /// Records an event at an earlier instant.
    pub fn note_at(&self, moment: Instant, seen: Seen) {
        let mut lines = self.events.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if lines.0.len() < MAX_EVENTS {
            lines.0.push(Line { at: self.at(moment), seen });
        } else {
            lines.1 = true;
        }
    }

    /// Records an event that another process of this machine has timestamped with `CLOCK_BOOTTIME`, in us.
    pub fn note_boot(&self, boot_us: u64, seen: Seen) {
        let since = Duration::from_micros(boot_us).saturating_sub(self.started_at_boottime);
        self.note_at(self.started_at + since, seen);
    }

    /// Removes and returns all events in order of time, and whether events were discarded because the history was full.
    pub fn take(&self) -> (Vec<Line>, bool) {
        let mut lines = self.events.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let (mut all, full) = std::mem::take(&mut *lines);
        all.sort_by_key(|line| line.at);
        (all, full)
    }
}

/// Loopback addresses of one trial. Concurrent trials use disjoint addresses. Gateways listen on other addresses than
/// their outgoing connections use, so no connection can occupy the port of a gateway while its process is down.
#[derive(Clone, Copy, Debug, Default)]
pub struct Addresses(u8, u8);

/// Last octet of the source address of gateway 0's connections.
const FIRST_SOURCE_OCTET: u8 = 10;
/// Last octet of the address that gateway 0 listens on.
const FIRST_LISTEN_OCTET: u8 = 110;

impl Addresses {
    /// Returns the addresses of a trial of this process.
    pub fn of_trial(number: usize) -> Self {
        Self(10 + (std::process::id() % 240) as u8, (number % 256) as u8)
    }

    /// Returns the source address of a gateway's connections; without a number, of the connections of other parties.
    pub fn source(self, gateway: Option<usize>) -> IpAddr {
        let last = gateway.map_or(1, |number| FIRST_SOURCE_OCTET + number as u8);
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, last))
    }

    /// Returns the address that a gateway listens on.
    pub fn listen(self, gateway: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, FIRST_LISTEN_OCTET + gateway as u8))
    }
}

/// Returns the number of the gateway whose connections come from this address, if any.
pub fn gateway_at(address: IpAddr) -> Option<usize> {
    let IpAddr::V4(address) = address else { return None };
    let last = address.octets()[3];
    (FIRST_SOURCE_OCTET..FIRST_LISTEN_OCTET).contains(&last).then(|| usize::from(last - FIRST_SOURCE_OCTET))
}
