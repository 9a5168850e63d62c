//! How a fleet stands, as one of its processes knows it.

use super::table::{ago, cell, of};
use super::{CommandError, client};
use gumdrop::Options;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

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
pub async fn status(call: Status) -> Result<String, CommandError> {
    let answer = client::get(&call.at, "status", "/Harbour.Status").await?;
    if call.json {
        let answer = answer.granted("status")?;
        return Ok(String::from_utf8_lossy(&answer.body).into_owned() + "\n");
    }
    let asked = answer.peer.clone();
    let status = answer.json("status")?;
    let standing = standing(&status, &asked).await;
    Ok(shown(&status, &standing))
}

/// What the list of voters bears: only its leader knows. All machines have the same ports, so that its control socket is
/// at the port that was asked.
async fn standing(status: &Value, asked: &str) -> Value {
    let own = &status["log"]["standing"];
    let leader = status["leader"].as_str().and_then(|leader| leader.parse::<SocketAddr>().ok());
    let port = asked.rsplit_once(':').and_then(|(_, port)| port.parse::<u16>().ok());
    let (true, Some((leader, port))) = (own.is_null(), leader.zip(port)) else { return own.clone() };
    let control = SocketAddr::new(leader.ip(), port).to_string();
    let answer = client::get(&control, "status", "/Harbour.Status").await;
    let status = answer.and_then(|answer| answer.json("status"));
    status.map_or(Value::Null, |status| status["log"]["standing"].clone())
}

/// A line on what may be lost from now on, and who is about to join or is not heard.
fn borne(standing: &Value) -> String {
    if standing.is_null() {
        return "voters: what may be lost is not known, no leader says\n".into();
    }
    let (borne, wanted) = (&standing["further_losses"], &standing["tolerated"]);
    let figures = ["machines", "zones", "regions"]
        .map(|of| format!("{} {of} (wanted {})", cell(&borne[of]), cell(&wanted[of])))
        .join(", ");
    let mut text = format!(
        "voters: {} of {} count; may be lost now: {figures}",
        cell(&standing["counted"]),
        cell(&standing["voters"])
    );
    let names = |list: &Value, pick: fn(&Value) -> String| {
        list.as_array().into_iter().flatten().map(pick).collect::<Vec<_>>().join(" ")
    };
    let unheard = names(&standing["unheard"], cell);
    if !unheard.is_empty() {
        text += &format!("; not heard: {unheard}");
    }
    let learners = names(&standing["learners"], |learner| cell(&learner["address"]));
    if !learners.is_empty() {
        text += &format!("; joining: {learners}");
    }
    text + "\n"
}

fn shown(status: &Value, standing: &Value) -> String {
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
    text.push_str(&borne(standing));
    let data_planes = status["data_planes"].as_array().map_or(0, Vec::len);
    let names: Vec<_> = status["data_planes"].as_array().into_iter().flatten().map(cell).collect();
    let _ = writeln!(text, "data planes: {data_planes}: {}", names.join(" "));
    let watch = &status["watch"];
    if !watch.is_null() {
        let isolated =
            if watch["isolated"] == true { "; isolated: it hears nobody, and judges nobody" } else { "" };
        let _ = writeln!(text, "watch: {} processes are here{isolated}", cell(&watch["here"]));
    }
    let mut section = |name: &str, list: &Value, fields: &[&str]| {
        if list.as_array().is_some_and(|list| !list.is_empty()) {
            let _ = write!(text, "\n{name}\n{}", of(list, fields));
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
    fn what_may_be_lost_stands_beside_what_is_wanted() {
        let figures = |machines: u32| json!({ "machines": machines, "zones": 0, "regions": 0 });
        let standing = json!({ "voters": 4, "counted": 3, "unheard": ["10.0.0.3:7"],
            "learners": [{ "address": "10.0.0.5:7", "caught_up": false }],
            "further_losses": figures(0), "tolerated": figures(1) });
        let told = "voters: 3 of 4 count; may be lost now: 0 machines (wanted 1), 0 zones (wanted 0), \
            0 regions (wanted 0); not heard: 10.0.0.3:7; joining: 10.0.0.5:7\n";
        assert_eq!(borne(&standing), told);
        assert!(borne(&Value::Null).contains("not known"));
    }
}
