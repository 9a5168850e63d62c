//! Tells whether an empty data directory of a founding voter means the first start of the fleet or a lost disk.
//!
//! A founding voter (founder) is one of the seeds: the machines that the settings name as running at the first start.

use crate::operator::client;
use config::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Timeout of a status request to another founder. At the first start, most other founders are not up yet and refuse
/// the connection immediately.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time, in milliseconds, between the starts of the first and the last founder at the first start of a fleet. A
/// founder with committed entries that has been up for at least this long is past the first start.
const MAX_FIRST_START_MS: u64 = 5_000;
/// A founder with at least this many committed entries is past the first start.
const MIN_ENTRIES_AFTER_FIRST_START: u64 = 16;

/// Queries the other founders and returns whether one of them is past the first start of the fleet. In this case, the
/// founder with an empty data directory has lost its disk and the votes stored there, so it must join as a new voter.
///
/// If no other founder responds, the function returns false and the founder treats the start as the first start.
pub async fn lost_its_disk(settings: &Settings) -> bool {
    let other_founders = settings.seed_list.iter().copied().filter(|seed| seed.ip() != settings.ip);
    let mut requests: JoinSet<bool> = other_founders.map(reports_past_first_start).collect();
    while let Some(response) = requests.join_next().await {
        if response.unwrap_or(false) {
            return true;
        }
    }
    false
}

async fn reports_past_first_start(control: SocketAddr) -> bool {
    let address = control.to_string();
    let response = timeout(STATUS_TIMEOUT, client::get(&address, "first start", "/Harbour.Status")).await;
    let status = response.ok().and_then(Result::ok).and_then(|response| response.json("first start").ok());
    status.is_some_and(|status| is_past_first_start(&status))
}

fn is_past_first_start(status: &Value) -> bool {
    let commit_index = status["log"]["commit"].as_u64().unwrap_or(0);
    let uptime_ms = status["up_ms"].as_u64().unwrap_or(0);
    commit_index >= MIN_ENTRIES_AFTER_FIRST_START || commit_index > 0 && uptime_ms >= MAX_FIRST_START_MS
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn past_first_start_requires_many_entries_or_entries_and_uptime() {
        let past = |uptime_ms: u64, commit_index: u64| {
            is_past_first_start(&json!({ "up_ms": uptime_ms, "log": { "commit": commit_index } }))
        };
        assert!(past(5_000, 1) && past(0, 16));
        assert!(!past(60_000, 0), "a founder that waits for a quorum counts as past the first start");
        assert!(!past(400, 3), "a founder that has just started counts as past the first start");
        assert!(!is_past_first_start(&json!({ "up_ms": 60_000, "log": null })));
    }
}
