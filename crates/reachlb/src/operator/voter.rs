//! The list of voters, changed by hand.

use super::{CommandError, client};
use bytes::Bytes;
use gumdrop::Options;
use hyper::Method;
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A list that a majority does not have by then is left to the operator: a repeat of the call does no harm.
const WITHIN: Duration = Duration::from_secs(5);
/// A change of the list takes a round between voters, and a write on each.
const AGAIN: Duration = Duration::from_millis(100);

/// The arguments.
#[derive(Debug, Options)]
pub struct VoterCommand {
    /// print this help
    help: bool,
    #[options(command, required)]
    call: Option<Kind>,
}

#[derive(Debug, Options)]
enum Kind {
    /// take a voter that is gone for good off the list, by its address
    Remove(Remove),
}

#[derive(Debug, Options)]
struct Remove {
    /// print this help
    help: bool,
    /// control sockets, separated by commas; the first one that answers is asked
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print the answer as JSON
    json: bool,
    #[options(free, required)]
    address: String,
}

/// Does what is asked.
pub async fn voter(calls: VoterCommand) -> Result<String, CommandError> {
    match calls.call {
        Some(Kind::Remove(call)) => remove(call).await,
        None => {
            let why = "remove is wanted".into();
            Err(CommandError::Unusable { step: "read", what: "arguments".into(), why })
        }
    }
}

async fn remove(call: Remove) -> Result<String, CommandError> {
    let step = "remove";
    let path = format!("/Voters.Remove/{}", call.address);
    let begun = Instant::now();
    let mut asked = false;
    loop {
        let answer = client::call(&call.at, step, Method::POST, &path, None, Bytes::new()).await?;
        match answer.status {
            // It was one when it was asked first.
            404 if asked => {
                let text = format!("{} is no voter any more\n", call.address);
                return Ok(if call.json {
                    json!({ "removed": call.address }).to_string() + "\n"
                } else {
                    text
                });
            }
            // The leader has changed, or is about to.
            202 | 503 if begun.elapsed() < WITHIN => asked |= answer.status == 202,
            _ => return Err(answer.refused(step)),
        }
        sleep(AGAIN).await;
    }
}
