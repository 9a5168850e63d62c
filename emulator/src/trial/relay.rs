//! Who is connected in a trial, and the relays between them ([`fault_injection::relay`]).

use crate::live::history::Addresses;
pub use fault_injection::relay::{Flow, Link, MAX_BUFFERED_BYTES};
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::Deref;

/// Somebody with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// All clients and the front before them.
    Clients,
    /// A gateway.
    Gateway(usize),
    /// A backend.
    Backend(usize),
    /// Discovery.
    Discovery,
    /// The counter.
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
    /// The address from which its connections come.
    fn source(self, addresses: Addresses) -> IpAddr {
        addresses.source(if let Self::Gateway(number) = self { Some(number) } else { None })
    }
}

/// Everything between the parties, on a trial's own addresses.
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
    /// One on a trial's own addresses.
    pub fn new(addresses: Addresses) -> Self {
        Self { addresses, ..Self::default() }
    }

    /// Opens the way from one party to another, which listens at an address. Gives the address to connect to.
    ///
    /// # Errors
    /// When there is no address for the relay.
    pub fn way(&self, from: Party, to: Party, target: SocketAddr, up: bool) -> io::Result<SocketAddr> {
        let source = from.source(self.addresses);
        self.net.add_relay((from, to), SocketAddr::new(source, 0), source, target, up)
    }
}
