//! Configurations on their way: as what makes one out of another that the receiver has, or whole.
//!
//! What is sent is a `zstd` frame with the base as its dictionary (`zstd --patch-from` does the same), so text that
//! repeats itself gets shorter also where there is no base. `docs/updates.md` has the ways weighed and the figures.

use miette::Diagnostic;
use protocol::{ConfigDelta, ConfigId, ConfigSnapshot, MAX_FRAME_BYTES, Message};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::rc::Rc;
use thiserror::Error;
use zstd::zstd_safe::CParameter;

/// The library's default: more work gains little on texts of this kind.
const LEVEL: i32 = 3;

/// Base and body of more bytes than this together are searched for repeats that are far back.
const LONG: usize = 1 << 20;
/// Windows reach back over 128 MiB at most: receivers read no longer ones unless they are told to.
const MOST_WINDOW_LOG: u32 = 27;

/// Why what came makes no configuration. The whole one is to be asked for.
#[derive(Debug, Error, Diagnostic)]
pub enum DeltaError {
    /// The base is not had, or not any more.
    #[error("r{version} was sent as a change of r{base}, which is not here")]
    MissingBase {
        /// What was sent.
        version: u64,
        /// What it needs.
        base: u64,
    },
    /// It is no difference, or none on this base.
    #[error("r{version} as a change of r{base}: {source}")]
    Corrupt {
        /// What was sent.
        version: u64,
        /// What it builds on.
        base: u64,
        /// What the library says.
        source: std::io::Error,
    },
    /// It makes something else than what was sent.
    #[error("r{version} as a change of r{base} has another digest")]
    DigestMismatch {
        /// What was sent.
        version: u64,
        /// What it builds on.
        base: u64,
    },
    /// It is longer than any message.
    #[error("r{version} is said to have {length} bytes, at most {MAX_FRAME_BYTES} are taken")]
    TooLong {
        /// What was sent.
        version: u64,
        /// What was said.
        length: usize,
    },
}

/// What a process has to say of a body that it has.
pub fn config_id(version: u64, body: &[u8]) -> ConfigId {
    config_id_from_digest(version, &Sha256::digest(body).into())
}

fn config_id_from_digest(version: u64, digest: &[u8; 32]) -> ConfigId {
    let (first, _) = digest.split_first_chunk().unwrap_or((&[0; 8], &[]));
    ConfigId { version, digest_prefix: u64::from_be_bytes(*first) }
}

/// The newest configuration as it goes to followers: made once for all that have the same, when the first asks.
#[derive(Debug, Default)]
pub struct ConfigEncoder {
    version: u64,
    digest: [u8; 32],
    whole: Option<Rc<[u8]>>,
    /// By what the receiver has: the versions that the sender keeps, so some few.
    made: BTreeMap<ConfigId, Rc<[u8]>>,
}

impl ConfigEncoder {
    /// Nothing of this version was sent yet.
    pub fn new(version: u64, body: &[u8]) -> Self {
        Self { version, digest: Sha256::digest(body).into(), ..Self::default() }
    }

    /// What this process itself has.
    pub fn config_id(&self) -> ConfigId {
        if self.version == 0 {
            ConfigId::default()
        } else {
            config_id_from_digest(self.version, &self.digest)
        }
    }

    /// The frame for whoever asked for the whole.
    pub fn snapshot_frame(&mut self, body: &[u8]) -> Rc<[u8]> {
        let config_snapshot = || ConfigSnapshot { version: self.version, body: body.to_vec() };
        self.whole
            .get_or_insert_with(|| protocol::frame(&Message::ConfigSnapshot(config_snapshot())).into())
            .clone()
    }

    /// The frame for a follower that has `has`; `base` is the body of that version, if it is kept here.
    pub fn frame(&mut self, has: ConfigId, base: Option<&[u8]>, body: &[u8]) -> Rc<[u8]> {
        if let Some(made) = self.made.get(&has) {
            return made.clone();
        }
        // Of a body that is not the follower's nothing may be made: it gets what needs none.
        let known = base.filter(|base| has.version > 0 && config_id(has.version, base) == has);
        let (key, base) = known.map_or((ConfigId::default(), &[][..]), |base| (has, base));
        if let Some(made) = self.made.get(&key) {
            return made.clone();
        }
        let made = match config_delta(key.version, base, self.version, self.digest, body) {
            Ok(config_delta) if config_delta.bytes.len() < body.len() => {
                protocol::frame(&Message::ConfigDelta(config_delta)).into()
            }
            _ => self.snapshot_frame(body),
        };
        self.made.insert(key, made.clone());
        made
    }
}

fn failed(code: zstd::zstd_safe::ErrorCode) -> std::io::Error {
    std::io::Error::other(zstd::zstd_safe::get_error_name(code))
}

/// The window that reaches back over so many bytes, as a power of two: what is out of it can't be drawn on.
fn window_log(bytes: usize) -> u32 {
    bytes.next_power_of_two().trailing_zeros().min(MOST_WINDOW_LOG)
}

fn config_delta(
    base: u64, of: &[u8], version: u64, digest: [u8; 32], body: &[u8],
) -> Result<ConfigDelta, std::io::Error> {
    let mut library = zstd::bulk::Compressor::new(LEVEL)?;
    let reach = of.len() + body.len();
    if reach > LONG {
        // The tables of this level forget repeats that are megabytes back.
        library.set_parameter(CParameter::WindowLog(window_log(reach)))?;
        library.set_parameter(CParameter::EnableLongDistanceMatching(true))?;
    }
    // A prefix is searched for repeats that are far back, a dictionary is not; receivers read both in the same way.
    library.context_mut().ref_prefix(of).map_err(failed)?;
    let bytes = library.compress(body)?;
    Ok(ConfigDelta { version, base, digest, length: body.len() as u32, bytes })
}

/// Makes the configuration that was sent. `base` is the body of the version that it builds on, if that is here.
///
/// # Errors
/// When it can't be made, or is another one: never anything but what the sender has.
pub fn rebuild(base: Option<&[u8]>, config_delta: &ConfigDelta) -> Result<ConfigSnapshot, DeltaError> {
    let (version, length) = (config_delta.version, config_delta.length as usize);
    if length > MAX_FRAME_BYTES {
        return Err(DeltaError::TooLong { version, length });
    }
    let empty = (config_delta.base == 0).then_some(&[][..]);
    let of = empty.or(base).ok_or(DeltaError::MissingBase { version, base: config_delta.base })?;
    let broken = |source| DeltaError::Corrupt { version, base: config_delta.base, source };
    let mut library = zstd::bulk::Decompressor::with_dictionary(of).map_err(broken)?;
    let body = library.decompress(&config_delta.bytes, length).map_err(broken)?;
    if Sha256::digest(&body).as_slice() != config_delta.digest {
        return Err(DeltaError::DigestMismatch { version, base: config_delta.base });
    }
    Ok(ConfigSnapshot { version, body })
}
