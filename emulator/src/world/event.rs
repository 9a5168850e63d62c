//! What happens, and in which order what happens at the same instant does: by rank, then in the order in which it
//! was foreseen. So each day has one defined course.

use crate::draw::Micros;
use doorcourse::Outcome;
use std::cmp::Ordering;

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happens {
    /// A trouble begins (true) or ends.
    Trouble(usize, bool),
    /// A backend begins to drain, is stopped, starts.
    Drains(usize),
    /// Its process ends.
    Stops(usize),
    /// Its process starts.
    Starts(usize),
    /// It takes so long to be noticed: the list changes.
    Listed(usize),
    /// The counter is back.
    CounterBack(u32),
    /// A gateway's process dies.
    Dies(usize),
    /// It is told to end by a time.
    Ending(usize, Micros),
    /// It starts.
    Boots(usize),
    /// Changes of the list go out.
    Publish,
    /// Changes up to a number reach a gateway in this life of it.
    List(usize, u32, usize),
    /// A whole list reaches it.
    WholeList(usize, u32),
    /// A gateway's call for the whole list.
    AskList(usize, u32),
    /// Something at a backend is done, if nothing changed since.
    Completes(usize, u64),
    /// An attempt arrives whole at its backend.
    Reaches(u32, u32),
    /// An attempt that nobody waits for is dropped there.
    Dropped(u32, u32),
    /// A call reaches the counter; its turn has come; its answer is back.
    CallReaches(u32),
    /// The call's turn.
    CallServed(u32, u32),
    /// The call's answer.
    CallAnswered(u32),
    /// The caller gives it up.
    CallGivenUp(u32),
    /// An attempt's end is known at its gateway.
    Ends(u32, u32, Outcome),
    /// A probe's end.
    Probed(usize, u32, usize, bool),
    /// A client sends a try, its n-th: it reaches the gateway.
    Asks(u32),
    /// Another gateway's word of a backend reaches a gateway in this life of it.
    Word(usize, u32, usize, bool),
    /// A gateway's timer.
    Timer(usize, u32, u64),
    /// An attempt's time is up.
    Limit(u32, u32),
    /// A client leaves early.
    Leaves(u32),
    /// The client's patience with a try is over.
    GivesUp(u32),
    /// The last moment for its final answer has passed.
    Overdue(u32),
    /// The client hears the final answer of a try.
    Hears(u32),
    /// The client comes again.
    Again(u32),
    /// The truth is looked at.
    Look,
}

impl Happens {
    /// What comes first at one instant: the world, then what reaches machines, then what comes of waiting.
    fn rank(&self) -> u8 {
        match self {
            Self::Trouble(..) | Self::Drains(_) | Self::Stops(_) | Self::Starts(_) | Self::CounterBack(_) => {
                0
            }
            Self::Dies(_) | Self::Ending(..) | Self::Boots(_) => 1,
            Self::Listed(_) | Self::Publish => 2,
            Self::Completes(..)
            | Self::Reaches(..)
            | Self::Dropped(..)
            | Self::CallReaches(_)
            | Self::CallServed(..) => 3,
            Self::List(..) | Self::WholeList(..) | Self::AskList(..) => 4,
            Self::Word(..) | Self::Ends(..) | Self::CallAnswered(_) | Self::Probed(..) => 5,
            Self::Asks(_) | Self::Leaves(_) => 6,
            Self::Timer(..) => 7,
            Self::Limit(..) | Self::CallGivenUp(_) => 8,
            Self::GivesUp(_) | Self::Hears(_) | Self::Again(_) => 9,
            Self::Overdue(_) => 10,
            Self::Look => 11,
        }
    }
}

/// An event with its place in the order of all.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    /// When.
    pub at: Micros,
    rank: u8,
    number: u64,
    /// What.
    pub what: Happens,
}

impl Due {
    /// The event foreseen as this number.
    pub fn new(at: Micros, number: u64, what: Happens) -> Self {
        Self { at, rank: what.rank(), number, what }
    }

    fn key(&self) -> (Micros, u8, u64) {
        (self.at, self.rank, self.number)
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The next event is the greatest: heaps give that first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}
