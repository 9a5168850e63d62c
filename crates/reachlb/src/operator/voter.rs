//! The `voter` command: changes the voter list by hand.

use super::{CommandError, client};
use bytes::Bytes;
use gumdrop::Options;
use hyper::Method;
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time limit for a change of the voter list to be committed. After a timeout, the operator can safely repeat the
/// command.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between polls. A change of the voter list takes a round trip between the voters and a disk write on each.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Arguments of the `voter` command.
#[derive(Debug, Options)]
pub struct VoterCommand {
    /// print this help
    help: bool,
    #[options(command, required)]
    call: Option<Kind>,
}

#[derive(Debug, Options)]
enum Kind {
    /// remove the voter with this address, which is permanently gone, from the voter list
    Remove(Remove),
}

#[derive(Debug, Options)]
struct Remove {
    /// print this help
    help: bool,
    /// control socket addresses, separated by commas; the first that responds is used
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print the result as JSON
    json: bool,
    #[options(free, required)]
    address: String,
}

/// Runs the `voter` command.
pub async fn voter(command: VoterCommand) -> Result<String, CommandError> {
    match command.call {
        Some(Kind::Remove(call)) => remove(call).await,
        None => {
            let reason = "expected the subcommand remove".into();
            Err(CommandError::InvalidInput { step: "read", subject: "arguments".into(), reason })
        }
    }
}

async fn remove(call: Remove) -> Result<String, CommandError> {
    let step = "remove";
    let path = format!("/Voters.Remove/{}", call.address);
    let started = Instant::now();
    let mut accepted = false;
    loop {
        let response = client::call(&call.at, step, Method::POST, &path, None, Bytes::new()).await?;
        match response.status {
            // The address was a voter when the leader accepted the removal, so the removal is committed.
            404 if accepted => {
                let text = format!("{} is no longer a voter\n", call.address);
                return Ok(if call.json {
                    json!({ "removed": call.address }).to_string() + "\n"
                } else {
                    text
                });
            }
            // 202: the removal is in progress. 503: there is no leader, or the leader is changing.
            202 | 503 if started.elapsed() < COMMIT_TIMEOUT => accepted |= response.status == 202,
            _ => return Err(response.into_error(step)),
        }
        sleep(POLL_INTERVAL).await;
    }
}
