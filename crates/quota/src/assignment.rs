//! Who holds which count: an assignment of the leader, under an epoch.

use bitcode::{Decode, Encode};

/// Orders assignments: the leader's term, then the number of the assignment within it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Epoch {
    /// The leader's term.
    pub term: u64,
    /// Counts the assignments of the term; its first is 1.
    pub number: u32,
}

impl Epoch {
    /// The first epoch of a term.
    pub fn first(term: u64) -> Self {
        Self { term, number: 1 }
    }

    /// Whether this assignment follows the other one with none between.
    pub fn follows(self, other: Self) -> bool {
        self.term == other.term && other.number.checked_add(1) == Some(self.number)
    }
}

/// One assignment: the holders that the tenants are spread over. Who holds what follows from it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct HolderAssignment {
    /// Its epoch.
    pub epoch: Epoch,
    /// The holders by name; the leader is one of them.
    pub holders: Vec<String>,
}

impl HolderAssignment {
    /// The index in `holders` of the one that has a tenant's count, by rendezvous hashing: when a holder comes or goes,
    /// only the tenants that come to it or were its own move.
    pub fn holder_index(&self, tenant: &str) -> Option<usize> {
        let hashes = self
            .holders
            .iter()
            .enumerate()
            .map(|(index, holder)| (rendezvous_hash(holder, tenant), holder, index));
        hashes.max().map(|(.., index)| index)
    }

    /// The holder of a tenant's count.
    pub fn holder_of(&self, tenant: &str) -> Option<&str> {
        self.holder_index(tenant).and_then(|index| self.holders.get(index)).map(String::as_str)
    }

    /// Whether a process is one of the holders.
    pub fn contains(&self, name: &str) -> bool {
        self.holders.iter().any(|holder| holder == name)
    }
}

/// FNV-1a over both names and a last mix: every version of the program on every machine has to get the same.
fn rendezvous_hash(holder: &str, tenant: &str) -> u64 {
    let bytes = holder.bytes().chain([0]).chain(tenant.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
