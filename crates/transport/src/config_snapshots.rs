//! Encoding of configurations for followers: as a difference from a version that the receiver has, or complete.
//!
//! A difference is a `zstd` frame with the body of the base as dictionary, like the output of `zstd --patch-from`. So
//! repetitive text is compressed even without a base. `docs/updates.md` compares the alternatives and has
//! measurements.

use miette::Diagnostic;
use protocol::{ConfigDelta, ConfigId, ConfigSnapshot, MAX_FRAME_BYTES, Message};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::rc::Rc;
use thiserror::Error;
use zstd::zstd_safe::CParameter;

/// The library's default compression level. Higher levels gain little on configurations.
const COMPRESSION_LEVEL: i32 = 3;

/// If base and body together are larger than this, long-distance matching is enabled.
const LONG_DISTANCE_THRESHOLD_BYTES: usize = 1 << 20;
/// Maximum window size, as a power of two: 128 MiB, the largest that a decompressor accepts by default.
const MAX_WINDOW_LOG: u32 = 27;

/// Why a received difference cannot be applied. The receiver must request the complete configuration.
#[derive(Debug, Error, Diagnostic)]
pub enum DeltaError {
    /// The receiver does not have the base, or no longer has it.
    #[error("r{version} was sent as a change of r{base}, which is not available here")]
    MissingBase {
        /// The version that was sent.
        version: u64,
        /// The version of the missing base.
        base: u64,
    },
    /// The data is not a valid difference from this base.
    #[error("r{version} as a change of r{base}: {source}")]
    Corrupt {
        /// The version that was sent.
        version: u64,
        /// The version of the base.
        base: u64,
        /// The error of the compression library.
        source: std::io::Error,
    },
    /// The rebuilt body has another digest than the one that was sent.
    #[error("r{version} as a change of r{base} has a different digest than announced")]
    DigestMismatch {
        /// The version that was sent.
        version: u64,
        /// The version of the base.
        base: u64,
    },
    /// The announced body is larger than any message may be.
    #[error("r{version} is announced with {length} bytes, the maximum is {MAX_FRAME_BYTES}")]
    TooLong {
        /// The version that was sent.
        version: u64,
        /// The announced size of the body in bytes.
        length: usize,
    },
}

/// Identifies a configuration by its version and body.
pub fn config_id(version: u64, body: &[u8]) -> ConfigId {
    config_id_from_digest(version, &Sha256::digest(body).into())
}

fn config_id_from_digest(version: u64, digest: &[u8; 32]) -> ConfigId {
    let (first, _) = digest.split_first_chunk().unwrap_or((&[0; 8], &[]));
    ConfigId { version, digest_prefix: u64::from_be_bytes(*first) }
}

/// Encodes the newest configuration for followers. Each frame is encoded once, when the first follower needs it, and
/// shared by all followers that have the same base.
#[derive(Debug, Default)]
pub struct ConfigEncoder {
    version: u64,
    digest: [u8; 32],
    snapshot: Option<Rc<[u8]>>,
    /// Frames by the configuration that the receiver has: at most one per version that the sender keeps.
    deltas: BTreeMap<ConfigId, Rc<[u8]>>,
}

impl ConfigEncoder {
    /// Creates an encoder for a configuration.
    pub fn new(version: u64, body: &[u8]) -> Self {
        Self { version, digest: Sha256::digest(body).into(), ..Self::default() }
    }

    /// Identifies the configuration of this encoder.
    pub fn config_id(&self) -> ConfigId {
        if self.version == 0 {
            ConfigId::default()
        } else {
            config_id_from_digest(self.version, &self.digest)
        }
    }

    /// The frame for a follower that requested the complete configuration.
    pub fn snapshot_frame(&mut self, body: &[u8]) -> Rc<[u8]> {
        let config_snapshot = || ConfigSnapshot { version: self.version, body: body.to_vec() };
        self.snapshot
            .get_or_insert_with(|| protocol::frame(&Message::ConfigSnapshot(config_snapshot())).into())
            .clone()
    }

    /// The frame for a follower that has the configuration `receiver`; `base` is the body of that version, if it is
    /// kept here.
    pub fn frame(&mut self, receiver: ConfigId, base: Option<&[u8]>, body: &[u8]) -> Rc<[u8]> {
        if let Some(frame) = self.deltas.get(&receiver) {
            return frame.clone();
        }
        // If the kept body is not the follower's, the difference is encoded without a base.
        let known = base.filter(|base| receiver.version > 0 && config_id(receiver.version, base) == receiver);
        let (key, base) = known.map_or((ConfigId::default(), &[][..]), |base| (receiver, base));
        if let Some(frame) = self.deltas.get(&key) {
            return frame.clone();
        }
        let frame = match config_delta(key.version, base, self.version, self.digest, body) {
            Ok(config_delta) if config_delta.bytes.len() < body.len() => {
                protocol::frame(&Message::ConfigDelta(config_delta)).into()
            }
            _ => self.snapshot_frame(body),
        };
        self.deltas.insert(key, frame.clone());
        frame
    }
}

fn zstd_error(code: zstd::zstd_safe::ErrorCode) -> std::io::Error {
    std::io::Error::other(zstd::zstd_safe::get_error_name(code))
}

/// The window size for this many bytes, as a power of two. Matches outside the window cannot be used.
fn window_log(bytes: usize) -> u32 {
    bytes.next_power_of_two().trailing_zeros().min(MAX_WINDOW_LOG)
}

fn config_delta(
    base: u64, base_body: &[u8], version: u64, digest: [u8; 32], body: &[u8],
) -> Result<ConfigDelta, std::io::Error> {
    let mut compressor = zstd::bulk::Compressor::new(COMPRESSION_LEVEL)?;
    let total = base_body.len() + body.len();
    if total > LONG_DISTANCE_THRESHOLD_BYTES {
        // The match tables of this level do not cover repeats that are megabytes apart.
        compressor.set_parameter(CParameter::WindowLog(window_log(total)))?;
        compressor.set_parameter(CParameter::EnableLongDistanceMatching(true))?;
    }
    // Long-distance matching covers a prefix, but not a dictionary. Decompression is the same for both.
    compressor.context_mut().ref_prefix(base_body).map_err(zstd_error)?;
    let bytes = compressor.compress(body)?;
    Ok(ConfigDelta { version, base, digest, length: body.len() as u32, bytes })
}

/// Rebuilds a configuration from a difference. `base` is the body of the version that the difference builds on, if it
/// is available here.
///
/// # Errors
/// When the difference cannot be applied, or the result differs from the sender's body.
pub fn rebuild(base: Option<&[u8]>, config_delta: &ConfigDelta) -> Result<ConfigSnapshot, DeltaError> {
    let (version, length) = (config_delta.version, config_delta.length as usize);
    if length > MAX_FRAME_BYTES {
        return Err(DeltaError::TooLong { version, length });
    }
    let empty = (config_delta.base == 0).then_some(&[][..]);
    let base_body = empty.or(base).ok_or(DeltaError::MissingBase { version, base: config_delta.base })?;
    let corrupt = |source| DeltaError::Corrupt { version, base: config_delta.base, source };
    let mut decompressor = zstd::bulk::Decompressor::with_dictionary(base_body).map_err(corrupt)?;
    let body = decompressor.decompress(&config_delta.bytes, length).map_err(corrupt)?;
    if Sha256::digest(&body).as_slice() != config_delta.digest {
        return Err(DeltaError::DigestMismatch { version, base: config_delta.base });
    }
    Ok(ConfigSnapshot { version, body })
}
