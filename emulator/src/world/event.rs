//! The events of the simulation and their order. Events at the same time are ordered by rank, then by the order in
//! which they were scheduled, so each day has one deterministic course.

use crate::draw::Micros;
use doorcourse::Outcome;
use std::cmp::Ordering;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SimEvent {
    /// A trouble begins (true) or ends (false).
    Trouble(usize, bool),
    /// A backend begins to drain.
    BackendDrains(usize),
    /// A backend's process ends.
    BackendStops(usize),
    /// A backend's process starts.
    BackendStarts(usize),
    /// Discovery has noticed a change of a backend's state: the list changes.
    StateNoticed(usize),
    /// The counter is available again, unless the counter has failed again since this event was scheduled.
    CounterBack(u32),
    /// A gateway's process dies.
    GatewayDies(usize),
    /// A gateway is notified that it must end by this time.
    GatewayShutsDown(usize, Micros),
    /// A gateway starts.
    GatewayStarts(usize),
    /// Discovery publishes the changes of the list.
    PublishChanges,
    /// The entries of the change log up to this number reach a gateway, if its process is still this incarnation.
    ListChanges(usize, u32, usize),
    /// A full list reaches a gateway.
    FullList(usize, u32),
    /// A gateway requests the full list.
    RequestFullList(usize, u32),
    /// A backend completes work, if the backend has not changed since the event was scheduled.
    BackendProgress(usize, u64),
    /// An attempt arrives at its backend completely.
    AttemptArrives(u32, u32),
    /// The cancellation of an attempt reaches the backend.
    CancelArrives(u32, u32),
    /// A call reaches the counter.
    CallArrives(u32),
    /// The counter serves a call.
    CallServed(u32, u32),
    /// The counter's answer reaches the caller.
    CallAnswered(u32),
    /// The caller gives up a call.
    CallTimesOut(u32),
    /// The end of an attempt is known at its gateway.
    AttemptEnds(u32, u32, Outcome),
    /// A probe ends.
    ProbeEnds(usize, u32, usize, bool),
    /// A client's try reaches the gateway.
    TryArrives(u32),
    /// A health report of another gateway about a backend reaches a gateway, if its process is still this incarnation.
    PeerReport(usize, u32, usize, bool),
    /// A timer of a gateway fires.
    Timer(usize, u32, u64),
    /// The timeout of an attempt expires.
    AttemptTimesOut(u32, u32),
    /// A client leaves early.
    ClientLeaves(u32),
    /// The client's patience with a try is over.
    ClientTimesOut(u32),
    /// The latest time for the final answer of a try has passed.
    AnswerOverdue(u32),
    /// The final answer of a try reaches the client.
    AnswerArrives(u32),
    /// The client retries.
    ClientRetries(u32),
    /// The simulation samples the true state.
    SampleState,
}

impl SimEvent {
    /// The rank among events at the same time: the environment first, then what reaches machines, then timeouts.
    fn rank(&self) -> u8 {
        match self {
            Self::Trouble(..)
            | Self::BackendDrains(_)
            | Self::BackendStops(_)
            | Self::BackendStarts(_)
            | Self::CounterBack(_) => 0,
            Self::GatewayDies(_) | Self::GatewayShutsDown(..) | Self::GatewayStarts(_) => 1,
            Self::StateNoticed(_) | Self::PublishChanges => 2,
            Self::BackendProgress(..)
            | Self::AttemptArrives(..)
            | Self::CancelArrives(..)
            | Self::CallArrives(_)
            | Self::CallServed(..) => 3,
            Self::ListChanges(..) | Self::FullList(..) | Self::RequestFullList(..) => 4,
            Self::PeerReport(..) | Self::AttemptEnds(..) | Self::CallAnswered(_) | Self::ProbeEnds(..) => 5,
            Self::TryArrives(_) | Self::ClientLeaves(_) => 6,
            Self::Timer(..) => 7,
            Self::AttemptTimesOut(..) | Self::CallTimesOut(_) => 8,
            Self::ClientTimesOut(_) | Self::AnswerArrives(_) | Self::ClientRetries(_) => 9,
            Self::AnswerOverdue(_) => 10,
            Self::SampleState => 11,
        }
    }
}

/// A scheduled event with its place in the total order.
#[derive(Clone, Copy, Debug)]
pub struct Scheduled {
    /// The time of the event.
    pub at: Micros,
    rank: u8,
    number: u64,
    /// The event.
    pub event: SimEvent,
}

impl Scheduled {
    /// Creates the event that was scheduled with this sequence number.
    pub fn new(at: Micros, number: u64, event: SimEvent) -> Self {
        Self { at, rank: event.rank(), number, event }
    }

    fn key(&self) -> (Micros, u8, u64) {
        (self.at, self.rank, self.number)
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// Reverses the order so that a max-heap returns the earliest event first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}
