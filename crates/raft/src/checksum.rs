//! The checksum of what is on disk and of what goes over links in pieces.

/// FNV-1a over 64 bits: against faults, not against forgery.
pub(crate) fn checksum(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}
