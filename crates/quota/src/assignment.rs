//! Assignment of tenant counters to holders. The leader makes assignments and numbers them by epochs.

use bitcode::{Decode, Encode};

/// Orders assignments: by the leader's term, then by the number of the assignment within the term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Epoch {
    /// The leader's term.
    pub term: u64,
    /// Number of the assignment within the term, starting at 1.
    pub number: u32,
}

impl Epoch {
    /// The first epoch of a term.
    pub fn first(term: u64) -> Self {
        Self { term, number: 1 }
    }

    /// Whether this epoch directly follows the other one in the same term.
    pub fn follows(self, other: Self) -> bool {
        self.term == other.term && other.number.checked_add(1) == Some(self.number)
    }
}

/// The holders that share the tenants of one epoch. Rendezvous hashing of the holder names gives each tenant its
/// holder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct HolderAssignment {
    /// Epoch of the assignment.
    pub epoch: Epoch,
    /// Names of the holders, including the leader.
    pub holders: Vec<String>,
}

impl HolderAssignment {
    /// Index in `holders` of the holder of a tenant's counter. Rendezvous hashing limits the moves when a holder is
    /// added or removed: only tenants of that holder move.
    pub fn holder_index(&self, tenant: &str) -> Option<usize> {
        let hashes = self
            .holders
            .iter()
            .enumerate()
            .map(|(index, holder)| (rendezvous_hash(holder, tenant), holder, index));
        hashes.max().map(|(.., index)| index)
    }

    /// The holder of a tenant's counter.
    pub fn holder_of(&self, tenant: &str) -> Option<&str> {
        self.holder_index(tenant).and_then(|index| self.holders.get(index)).map(String::as_str)
    }

    /// Whether a process is a holder.
    pub fn contains(&self, name: &str) -> bool {
        self.holders.iter().any(|holder| holder == name)
    }
}

/// Hash of a holder and a tenant: FNV-1a with a final mix. All processes must compute the same
/// value, whatever their software version.
fn rendezvous_hash(holder: &str, tenant: &str) -> u64 {
    let bytes = holder.bytes().chain([0]).chain(tenant.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
