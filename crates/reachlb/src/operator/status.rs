//! The `status` command: shows the state of the fleet as one of its control planes knows it.

use super::table::{cell, duration, table_of};
use super::{CommandError, client};
use gumdrop::Options;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// Arguments of the `status` command.
#[derive(Debug, Options)]
pub struct Status {
    /// print this help
    help: bool,
    /// control socket addresses, separated by commas; the first that responds is used
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print the response unchanged
    json: bool,
}

/// Runs the `status` command.
pub async fn status(call: Status) -> Result<String, CommandError> {
    let response = client::get(&call.at, "status", "/Harbour.Status").await?;
    if call.json {
        let response = response.success("status")?;
        return Ok(String::from_utf8_lossy(&response.body).into_owned() + "\n");
    }
    let control = response.peer.clone();
    let status = response.json("status")?;
    let fault_tolerance = fault_tolerance(&status, &control).await;
    Ok(format_status(&status, &fault_tolerance))
}

/// Returns the fault tolerance of the voter list, or `null` when unknown. Only the leader reports it, so the function
/// queries the leader if `status` comes from another process. All machines use the same control port, so the leader's
/// control socket has the port of `queried_control`.
async fn fault_tolerance(status: &Value, queried_control: &str) -> Value {
    let own = &status["log"]["standing"];
    let leader = status["leader"].as_str().and_then(|leader| leader.parse::<SocketAddr>().ok());
    let port = queried_control.rsplit_once(':').and_then(|(_, port)| port.parse::<u16>().ok());
    let (true, Some((leader, port))) = (own.is_null(), leader.zip(port)) else { return own.clone() };
    let control = SocketAddr::new(leader.ip(), port).to_string();
    let response = client::get(&control, "status", "/Harbour.Status").await;
    let status = response.and_then(|response| response.json("status"));
    status.map_or(Value::Null, |status| status["log"]["standing"].clone())
}

/// Formats a line on the losses that the voter list still tolerates, silent voters and joining learners.
fn format_fault_tolerance(fault_tolerance: &Value) -> String {
    if fault_tolerance.is_null() {
        return "voters: tolerated losses are not known, no leader reports them\n".into();
    }
    let (remaining, configured) = (&fault_tolerance["further_losses"], &fault_tolerance["tolerated"]);
    let losses = ["machines", "zones", "regions"]
        .map(|unit| format!("{} {unit} (wanted {})", cell(&remaining[unit]), cell(&configured[unit])))
        .join(", ");
    let mut text = format!(
        "voters: {} of {} count; may be lost now: {losses}",
        cell(&fault_tolerance["counted"]),
        cell(&fault_tolerance["voters"])
    );
    let names = |list: &Value, name: fn(&Value) -> String| {
        list.as_array().into_iter().flatten().map(name).collect::<Vec<_>>().join(" ")
    };
    let silent_voters = names(&fault_tolerance["unheard"], cell);
    if !silent_voters.is_empty() {
        text += &format!("; not heard: {silent_voters}");
    }
    let learners = names(&fault_tolerance["learners"], |learner| cell(&learner["address"]));
    if !learners.is_empty() {
        text += &format!("; joining: {learners}");
    }
    text + "\n"
}

fn format_status(status: &Value, fault_tolerance: &Value) -> String {
    let mut text = String::new();
    let uptime_ms = status["up_ms"].as_u64().unwrap_or_default();
    let stale =
        if status["fresh"] == true { "" } else { "; possibly stale: no recent contact with the leader" };
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{} in {}, up {}{stale}",
        cell(&status["name"]),
        cell(&status["zone"]),
        duration(uptime_ms)
    );
    let _ = writeln!(
        text,
        "leader {}, epoch {}, configuration {}",
        cell(&status["leader"]),
        cell(&status["epoch"]),
        cell(&status["version"])
    );
    let log = &status["log"];
    if log.is_null() {
        text.push_str("no log: this process does not take part in the quorum\n");
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
    text.push_str(&format_fault_tolerance(fault_tolerance));
    let data_planes = status["data_planes"].as_array().map_or(0, Vec::len);
    let names: Vec<_> = status["data_planes"].as_array().into_iter().flatten().map(cell).collect();
    let _ = writeln!(text, "data planes: {data_planes}: {}", names.join(" "));
    let watch = &status["watch"];
    if !watch.is_null() {
        let isolated = if watch["isolated"] == true {
            "; isolated: no contact with other processes, failure detection is suspended"
        } else {
            ""
        };
        let _ = writeln!(text, "watch: {} processes are here{isolated}", cell(&watch["here"]));
    }
    let mut section = |name: &str, list: &Value, fields: &[&str]| {
        if list.as_array().is_some_and(|list| !list.is_empty()) {
            let _ = write!(text, "\n{name}\n{}", table_of(list, fields));
        }
    };
    section("control_planes", &status["control_planes"], &["address", "zone", "reached"]);
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

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn remaining_losses_are_shown_with_the_configured_losses() {
        let losses = |machines: u32| json!({ "machines": machines, "zones": 0, "regions": 0 });
        let fault_tolerance = json!({ "voters": 4, "counted": 3, "unheard": ["10.0.0.3:7"],
            "learners": [{ "address": "10.0.0.5:7", "caught_up": false }],
            "further_losses": losses(0), "tolerated": losses(1) });
        let expected = "voters: 3 of 4 count; may be lost now: 0 machines (wanted 1), 0 zones (wanted 0), \
            0 regions (wanted 0); not heard: 10.0.0.3:7; joining: 10.0.0.5:7\n";
        assert_eq!(format_fault_tolerance(&fault_tolerance), expected);
        assert!(format_fault_tolerance(&Value::Null).contains("not known"));
    }
}
