//! Parties of a trial and the relays on the links between them ([`fault_injection::relay`]).

use crate::live::history::Addresses;
pub use fault_injection::relay::{Flow, Link, MAX_BUFFERED_BYTES};
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::Deref;

/// A party of a trial: one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// All clients, with the load balancer in front of the gateways.
    Clients,
    /// The gateway of this number.
    Gateway(usize),
    /// The backend of this number.
    Backend(usize),
    /// The discovery service.
    Discovery,
    /// The counter service.
    Counter,
}

impl fmt::Display for Party {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clients => f.write_str("clients"),
            Self::Gateway(number) => write!(f, "g{number}"),
            Self::Backend(number) => write!(f, "b{number}"),
            Self::Discovery => f.write_str("discovery"),
            Self::Counter => f.write_str("counter"),
        }
    }
}

impl Party {
    /// Returns the source address of the party's connections.
    fn source(self, addresses: Addresses) -> IpAddr {
        addresses.source(if let Self::Gateway(number) = self { Some(number) } else { None })
    }
}

/// The relays between the parties of one trial, on the loopback addresses of the trial.
#[derive(Default)]
pub struct Net {
    addresses: Addresses,
    net: fault_injection::relay::Net<Party>,
}

impl Deref for Net {
    type Target = fault_injection::relay::Net<Party>;

    fn deref(&self) -> &Self::Target {
        &self.net
    }
}

impl Net {
    /// Creates a network without links on the addresses of a trial.
    pub fn new(addresses: Addresses) -> Self {
        Self { addresses, ..Self::default() }
    }

    /// Opens a relay from one party to another that listens at `target`. Returns the address that the first party
    /// connects to. With `up` set to false, the relay refuses connections until the target is up.
    ///
    /// # Errors
    /// When the relay cannot bind an address.
    pub fn way(&self, from: Party, to: Party, target: SocketAddr, up: bool) -> io::Result<SocketAddr> {
        let source = from.source(self.addresses);
        self.net.add_relay((from, to), SocketAddr::new(source, 0), source, target, up)
    }
}
