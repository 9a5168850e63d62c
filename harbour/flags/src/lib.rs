//! What the system's own processes say to each other: messages and their frames.
//!
//! A frame is four bytes of length (big-endian, of what follows) and one message in `bitcode`. Whoever reads one that is
//! too long or can't be decoded closes the connection: all processes of a harbour run one version or its neighbours.
//! Times in messages are spans in milliseconds, never points of a clock: no two machines share one.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use bitcode::{Decode, DecodeOwned, Encode};

/// The longest frame that is read, in bytes: a whole configuration of some thousand routes fits.
pub const LONGEST: usize = 8 * 1024 * 1024;

/// What a backend says it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It finishes its work and must be sent nothing new.
    Draining,
    /// It has left, or nobody has heard of it for long: this life is over.
    Gone,
}

/// One life of a backend.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Berth {
    /// Its `instance_id`.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub generation: String,
    /// How many requests it works on at once.
    pub capacity: u32,
    /// What it does.
    pub phase: Phase,
    /// For how long it remains slow, in ms from when this was said.
    pub warmup_left_ms: u32,
    /// Rises with each of its calls: of two words the one with more calls is newer.
    pub call_count: u64,
    /// Whether its beats are overdue: it may be dead or cut off. Not a phase: a beat ends it.
    pub overdue: bool,
}

/// Frames a message.
pub fn frame<M: Encode>(message: &M) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Garbled {
    /// A frame announces more than [`LONGEST`].
    TooLong(usize),
    /// A frame holds something else.
    Undecodable,
}

impl std::fmt::Display for Garbled {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLong(length) => write!(f, "a frame of {length} bytes, at most {LONGEST} are read"),
            Self::Undecodable => write!(f, "a frame that holds no message of this version"),
        }
    }
}

impl std::error::Error for Garbled {}

/// Takes the first whole frame off the front of what has been read, if there is one; gives what it took as well.
///
/// # Errors
/// When the bytes can't be a frame, or the frame no message.
pub fn unframe<M: DecodeOwned>(bytes: &[u8]) -> Result<Option<(M, usize)>, Garbled> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > LONGEST {
        return Err(Garbled::TooLong(length));
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let message = bitcode::decode(body).map_err(|_| Garbled::Undecodable)?;
    Ok(Some((message, length + 4)))
}
