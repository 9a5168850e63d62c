//! How a harbour stands, as one of its processes knows it.

use super::table::{ago, cell, of};
use super::{Trouble, client};
use gumdrop::Options;
use serde_json::Value;
use std::fmt::Write;

/// The arguments.
#[derive(Debug, Options)]
pub struct Status {
    /// print this help
    help: bool,
    /// control sockets, separated by commas; the first one that answers is asked
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print the answer as it is
    json: bool,
}

/// Asks and shows.
pub async fn status(call: Status) -> Result<String, Trouble> {
    let answer = client::get(&call.at, "status", "/Harbour.Status").await?;
    if call.json {
        let answer = answer.granted("status")?;
        return Ok(String::from_utf8_lossy(&answer.body).into_owned() + "\n");
    }
    Ok(shown(&answer.json("status")?))
}

fn shown(status: &Value) -> String {
    let mut text = String::new();
    let up = status["up_ms"].as_u64().unwrap_or_default();
    let behind =
        if status["fresh"] == true { "" } else { "; perhaps behind: no word of the leader just now" };
    // A string takes everything.
    let _ = writeln!(text, "{} in {}, up {}{behind}", cell(&status["name"]), cell(&status["zone"]), ago(up));
    let _ = writeln!(
        text,
        "leader {}, epoch {}, configuration {}",
        cell(&status["leader"]),
        cell(&status["epoch"]),
        cell(&status["version"])
    );
    let log = &status["log"];
    if log.is_null() {
        text.push_str("no log here: this process has no disk that counts\n");
    } else {
        let members = log["members"].as_array().into_iter().flatten();
        let members: Vec<_> = members.map(|member| cell(&member["address"])).collect();
        let _ = writeln!(
            text,
            "log: leads {}, holds lease {}, votes {}, entry {}, voters {}",
            cell(&log["leads"]),
            cell(&log["holds_lease"]),
            cell(&log["voter"]),
            cell(&log["commit"]),
            members.join(" ")
        );
    }
    let quays = status["quays"].as_array().map_or(0, Vec::len);
    let names: Vec<_> = status["quays"].as_array().into_iter().flatten().map(cell).collect();
    let _ = writeln!(text, "quays: {quays}: {}", names.join(" "));
    let watch = &status["watch"];
    if !watch.is_null() {
        let adrift =
            if watch["adrift"] == true { "; adrift: it hears nobody, and judges nobody" } else { "" };
        let _ = writeln!(text, "watch: {} processes are here{adrift}", cell(&watch["here"]));
    }
    let mut section = |name: &str, list: &Value, fields: &[&str]| {
        if list.as_array().is_some_and(|list| !list.is_empty()) {
            let _ = write!(text, "\n{name}\n{}", of(list, fields));
        }
    };
    section("masters", &status["masters"], &["address", "zone", "reached"]);
    let mut backends = status["backends"].clone();
    if let Some(list) = backends.as_array_mut() {
        list.sort_by_cached_key(|backend| (cell(&backend["service"]), cell(&backend["id"])));
    }
    section("backends", &backends, &["service", "id", "address", "zone", "phase", "overdue", "capacity"]);
    section(
        "tenants (this window, at the holder of the counts)",
        &status["counts"],
        &["tenant", "window", "granted", "left"],
    );
    section("watched neighbours", &watch["watched"], &["name", "silent_ms", "doubted"]);
    section("connections here", &status["lines"], &["name", "plane", "address", "follows", "silent_ms"]);
    text
}
