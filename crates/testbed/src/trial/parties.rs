//! Who is connected in a trial, and how schedules name them.

use crate::site::{SLOTS, VOTERS, ZONES};
use std::fmt;

/// Zones of backends, by slot: one backend of each service in each.
pub const ZONES_OF_BACKENDS: [&str; 3] = ["north", "south", "east"];

/// Somebody with connections. A machine is who connects, its processes are who is connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// All clients.
    Clients,
    /// The operator.
    Operator,
    /// A machine, as it connects to others.
    Machine(usize),
    /// Its data plane, as clients find it.
    DataPlane(usize),
    /// Its control plane, as all others find it.
    ControlPlane(usize),
    /// A backend's place.
    StandInBackend(usize),
}

impl Party {
    /// Its zone; clients and the operator come from outside.
    pub fn zone(self) -> Option<&'static str> {
        match self {
            Self::Machine(machine) | Self::DataPlane(machine) | Self::ControlPlane(machine) => {
                Some(ZONES[machine])
            }
            Self::StandInBackend(slot) => Some(ZONES_OF_BACKENDS[slot % ZONES_OF_BACKENDS.len()]),
            Self::Clients | Self::Operator => None,
        }
    }

    /// The machine that it is on, if it is ours.
    pub fn machine(self) -> Option<usize> {
        match self {
            Self::Machine(machine) | Self::DataPlane(machine) | Self::ControlPlane(machine) => Some(machine),
            _ => None,
        }
    }

    /// Everybody.
    pub fn all() -> Vec<Self> {
        let machines =
            (0..ZONES.len()).flat_map(|machine| [Self::Machine(machine), Self::DataPlane(machine)]);
        let control_planes = (0..VOTERS).map(Self::ControlPlane);
        let backends = (0..SLOTS).map(Self::StandInBackend);
        machines.chain(control_planes).chain(backends).chain([Self::Clients, Self::Operator]).collect()
    }

    /// Whether the one connects to the other.
    pub fn talks(self, to: Self) -> bool {
        match (self, to) {
            (Self::Machine(from), Self::ControlPlane(to)) => from != to,
            (Self::Clients, Self::DataPlane(_))
            | (Self::Operator | Self::StandInBackend(_), Self::ControlPlane(_))
            | (Self::Machine(_), Self::StandInBackend(_)) => true,
            _ => false,
        }
    }

    /// Whom a text names: `*`, `zone:NAME`, `backends`, `clients`, `operator`, `m1` (a machine with all its
    /// processes), `q1`, `h1`, `b1`, or several with commas.
    pub fn named(text: &str) -> Option<Vec<Self>> {
        let mut found = Vec::new();
        for name in text.split(',').map(str::trim) {
            let number = |prefix| name.strip_prefix(prefix)?.parse::<usize>().ok()?.checked_sub(1);
            let fits = |party: &Self| match (name, *party) {
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
            let before = found.len();
            found.extend(Self::all().into_iter().filter(fits));
            if found.len() == before {
                return None;
            }
        }
        Some(found)
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
