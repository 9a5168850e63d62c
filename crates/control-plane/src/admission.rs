//! Admission of configuration orders: what a leader does with an order, and the reply to a verdict. No I/O, no clock.
//!
//! An order is proposed to the log if the committed configurations allow it; its place in the log then decides. An
//! order is refused without being proposed only by a verdict that no later entry can change (see
//! [`Verdict::is_final`]). Otherwise an entry in flight, or an earlier copy of the order still in transit, could put
//! a refused order into force.
//!
//! An order is an operator's request to change the configuration. A verdict is the outcome of the change at its
//! position in the log, such as accepted or stale.

use crate::call::Reply;
use crate::config_history::{Change, ConfigHistory, Verdict};
use config::Config;

/// What a leader does with an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The order is proposed to the log, which decides.
    Propose(Change),
    /// The committed configurations decide on the order.
    Decided {
        /// Version of the order.
        version: u64,
        /// The verdict on the order.
        verdict: Verdict,
    },
    /// The body is no valid configuration, for this reason.
    Invalid(String),
}

impl Decision {
    /// The reply to the order; `None` for one that is proposed.
    pub fn reply(&self) -> Option<Reply> {
        match self {
            Self::Propose(_) => None,
            Self::Decided { verdict, .. } => Some(reply_to(*verdict)),
            Self::Invalid(why) => Some(Reply::error(400, why)),
        }
    }
}

/// Decides on an order that builds on `base`, according to the committed configurations.
pub fn decide(config_history: &ConfigHistory, base: u64, body: Vec<u8>) -> Decision {
    let config = match Config::parse(&body) {
        Ok(config) => config,
        Err(error) => return decide_invalid(config_history, &body, error.to_string()),
    };
    let (version, digest) = (config.version.0, config.digest());
    match config_history.evaluate(base, version, &digest) {
        Verdict::Accepted => Decision::Propose(Change { base, version, digest, body }),
        verdict => Decision::Decided { version, verdict },
    }
}

/// An earlier version with less strict checks may have accepted a body that is invalid now. A retry of such an order
/// is acknowledged.
fn decide_invalid(config_history: &ConfigHistory, body: &[u8], error: String) -> Decision {
    match Config::identify(body) {
        Some((version, digest)) if config_history.has_accepted(version.0, &digest) => {
            Decision::Decided { version: version.0, verdict: Verdict::AlreadyAccepted }
        }
        _ => Decision::Invalid(error),
    }
}

/// The reply to an order. Callers treat 409 and 412 as final, and retry after 503.
pub fn reply_to(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::Accepted | Verdict::AlreadyAccepted => Reply::ok(),
        Verdict::Stale { current } => Reply::error(412, &format!("r{current} is in place")),
        Verdict::VersionNotHigher { current } => {
            Reply::error(409, &format!("generation: not above r{current}, which is in place"))
        }
        Verdict::BaseAhead { base, current } => Reply::error(
            503,
            &format!("r{base}, on which it builds, is not in place but r{current}: ask again"),
        ),
        Verdict::DigestEvicted { oldest } => Reply::error(
            503,
            &format!("it may have been taken: versions before r{oldest} are not remembered"),
        ),
    }
}
