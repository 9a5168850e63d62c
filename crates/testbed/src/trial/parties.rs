//! The communicating parties of a trial, and their names in schedules. A link is one direction of traffic between two
//! parties. A backend slot is a place in a zone that one simulated backend at a time occupies.

use crate::site::{SLOTS, VOTERS, ZONES};
use std::fmt;

/// Zones of the backend slots: one backend of each service per zone.
pub const ZONES_OF_BACKENDS: [&str; 3] = ["north", "south", "east"];

/// A party with connections. A machine opens connections; its processes accept them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// All clients.
    Clients,
    /// The operator.
    Operator,
    /// A machine as the source of connections.
    Machine(usize),
    /// A machine's data plane, as clients reach it.
    DataPlane(usize),
    /// A machine's control plane, as all other parties reach it.
    ControlPlane(usize),
    /// A backend slot.
    StandInBackend(usize),
}

impl Party {
    /// The party's zone; clients and the operator are outside of all zones.
    pub fn zone(self) -> Option<&'static str> {
        match self {
            Self::Machine(machine) | Self::DataPlane(machine) | Self::ControlPlane(machine) => {
                Some(ZONES[machine])
            }
            Self::StandInBackend(slot) => Some(ZONES_OF_BACKENDS[slot % ZONES_OF_BACKENDS.len()]),
            Self::Clients | Self::Operator => None,
        }
    }

    /// The machine of the party, unless the party is simulated.
    pub fn machine(self) -> Option<usize> {
        match self {
            Self::Machine(machine) | Self::DataPlane(machine) | Self::ControlPlane(machine) => Some(machine),
            _ => None,
        }
    }

    /// All parties.
    pub fn all() -> Vec<Self> {
        let machines =
            (0..ZONES.len()).flat_map(|machine| [Self::Machine(machine), Self::DataPlane(machine)]);
        let control_planes = (0..VOTERS).map(Self::ControlPlane);
        let backends = (0..SLOTS).map(Self::StandInBackend);
        machines.chain(control_planes).chain(backends).chain([Self::Clients, Self::Operator]).collect()
    }

    /// Whether `self` opens connections to `to`.
    pub fn connects_to(self, to: Self) -> bool {
        match (self, to) {
            (Self::Machine(from), Self::ControlPlane(to)) => from != to,
            (Self::Clients, Self::DataPlane(_))
            | (Self::Operator | Self::StandInBackend(_), Self::ControlPlane(_))
            | (Self::Machine(_), Self::StandInBackend(_)) => true,
            _ => false,
        }
    }

    /// Parses a list of parties separated by commas: `*`, `zone:NAME`, `backends`, `clients`, `operator`, `machines`,
    /// `m1` (a machine with all its processes), `q1` (data plane), `h1` (control plane) or `b1` (backend).
    pub fn parse(text: &str) -> Option<Vec<Self>> {
        let mut parties = Vec::new();
        for name in text.split(',').map(str::trim) {
            let number = |prefix| name.strip_prefix(prefix)?.parse::<usize>().ok()?.checked_sub(1);
            let selected = |party: &Self| match (name, *party) {
                ("*", _) => true,
                ("clients", party) => party == Self::Clients,
                ("operator", party) => party == Self::Operator,
                ("backends", party) => matches!(party, Self::StandInBackend(_)),
                ("machines", party) => party.machine().is_some(),
                (_, Self::StandInBackend(slot)) if number("b") == Some(slot) => true,
                (_, Self::DataPlane(machine)) if number("q") == Some(machine) => true,
                (_, Self::ControlPlane(machine)) if number("h") == Some(machine) => true,
                (_, party) if party.machine().is_some() && number("m") == party.machine() => true,
                (_, party) => name.strip_prefix("zone:").is_some_and(|zone| party.zone() == Some(zone)),
            };
            let count_before = parties.len();
            parties.extend(Self::all().into_iter().filter(selected));
            if parties.len() == count_before {
                return None;
            }
        }
        Some(parties)
    }
}

impl fmt::Display for Party {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clients => f.write_str("clients"),
            Self::Operator => f.write_str("operator"),
            Self::Machine(number) => write!(f, "m{}", number + 1),
            Self::DataPlane(number) => write!(f, "q{}", number + 1),
            Self::ControlPlane(number) => write!(f, "h{}", number + 1),
            Self::StandInBackend(number) => write!(f, "b{}", number + 1),
        }
    }
}
