//! Whether a founder's empty folder is that of the first start, or of a voter that lost its disk.

use crate::operator::client;
use config::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// How long the others are waited for: at the first start most are not up yet, and refuse at once.
const WITHIN: Duration = Duration::from_millis(300);
/// At the first start nobody has been up for longer than this, in ms, when the last founder starts...
const LONGEST_FIRST_START: u64 = 5_000;
/// ... nor decided so many entries.
const MOST_FIRST_ENTRIES: u64 = 16;

/// Whether another founder says that the system is past its first start. A founder that comes to an empty folder then
/// has lost its disk, and with it the votes that it gave: it must join as another voter.
///
/// If none of them answers this can't be known, and the founder takes the folder for that of the first start.
pub async fn lost_its_disk(settings: &Settings) -> bool {
    let others = settings.seed_list.iter().copied().filter(|seed| seed.ip() != settings.ip);
    let mut asked: JoinSet<bool> = others.map(asks).collect();
    while let Some(answer) = asked.join_next().await {
        if answer.unwrap_or(false) {
            return true;
        }
    }
    false
}

async fn asks(control: SocketAddr) -> bool {
    let at = control.to_string();
    let answer = timeout(WITHIN, client::get(&at, "first start", "/Harbour.Status")).await;
    let status = answer.ok().and_then(Result::ok).and_then(|answer| answer.json("first start").ok());
    status.is_some_and(|status| is_past_first_start(&status))
}

fn is_past_first_start(status: &Value) -> bool {
    let decided = status["log"]["commit"].as_u64().unwrap_or(0);
    let up = status["up_ms"].as_u64().unwrap_or(0);
    decided >= MOST_FIRST_ENTRIES || decided > 0 && up >= LONGEST_FIRST_START
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn only_a_log_that_has_been_at_work_for_a_while_says_so() {
        let past =
            |up: u64, commit: u64| is_past_first_start(&json!({ "up_ms": up, "log": { "commit": commit } }));
        assert!(past(5_000, 1) && past(0, 16));
        assert!(!past(60_000, 0), "it waits for the other founders");
        assert!(!past(400, 3), "the others began a moment ago");
        assert!(!is_past_first_start(&json!({ "up_ms": 60_000, "log": null })));
    }
}
