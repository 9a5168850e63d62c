//! The checksum of records on disk and of chunked transfers.

/// 64-bit FNV-1a: detects corruption, not tampering.
pub(crate) fn checksum(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}
