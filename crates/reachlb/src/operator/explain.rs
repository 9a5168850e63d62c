//! What became of something, and why: the records of all processes that answer.

use super::table::{ago, cell, table};
use super::{CommandError, client};
use gumdrop::Options;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A fleet has some dozens of control planes and some hundreds of data planes; more are not asked.
const MOST_ASKED: usize = 1024;

/// The arguments.
#[derive(Debug, Options)]
pub struct Explain {
    /// print this help
    help: bool,
    /// control sockets, separated by commas; the first one that answers is asked who else there is
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print what the processes say as JSON
    json: bool,
    #[options(free, required)]
    what: String,
}

/// Asks all control planes that are known for records, and all data planes for requests and what they saw themselves.
pub async fn explain(call: Explain) -> Result<String, CommandError> {
    let first = client::get(&call.at, "status", "/Harbour.Status").await?;
    let asked = first.peer.clone();
    let first = first.json("status")?;
    let (mut found, mut data_planes) = (Vec::new(), data_planes_of(&first));
    let path = format!("/Harbour.Events?about={}", client::escape(&call.what));
    let mut unheard = 0;
    for control in masters_of(&first, &asked) {
        match client::get(&control, "events", &path).await {
            Ok(answer) if answer.status == 200 => {
                found.extend(events_of(answer.json("events")?));
                // Each data plane follows one control plane: only all of them know all data planes.
                if control != asked
                    && let Ok(status) = client::get(&control, "status", "/Harbour.Status").await
                    && let Ok(status) = status.json("status")
                {
                    data_planes.extend(data_planes_of(&status));
                }
            }
            _ => unheard += 1,
        }
    }
    let mut requests = Vec::new();
    let word = client::escape(&call.what);
    for (name, readiness) in data_planes.iter().take(MOST_ASKED) {
        let Ok(answer) = client::get(readiness, "request", &format!("/requests/{word}")).await else {
            unheard += 1;
            continue;
        };
        if let Ok(Value::Object(mut answer)) = answer.json("request")
            && let Some(Value::Array(list)) = answer.remove("requests")
        {
            requests.extend(list.into_iter().map(|request| with(request, "by", name)));
        }
        let events = client::get(readiness, "events", &format!("/events?about={word}")).await;
        found.extend(events.and_then(|answer| answer.json("events")).map(events_of).unwrap_or_default());
    }
    found.sort_by_key(|event| event["age_ms"].as_u64());
    let now = now(&first, &call.what);
    if call.json {
        let told = json!({ "what": call.what, "now": now, "events": found, "requests": requests, "unheard": unheard });
        return Ok(told.to_string() + "\n");
    }
    Ok(shown(&call.what, &now, &found, &requests, unheard))
}

/// The control sockets of all control planes. All machines of a fleet have the same ports, so only the address differs.
fn masters_of(status: &Value, asked: &str) -> Vec<String> {
    let mut all = vec![asked.to_owned()];
    let port = asked.rsplit_once(':').and_then(|(_, port)| port.parse::<u16>().ok());
    let me = status["name"].as_str();
    let lines = status["lines"].as_array().into_iter().flatten();
    let control_planes = lines.filter(|line| line["plane"] == "Control plane" && line["name"].as_str() != me);
    for line in control_planes {
        let address = line["address"].as_str().and_then(|address| address.parse::<SocketAddr>().ok());
        if let Some((address, port)) = address.zip(port) {
            let control = SocketAddr::new(address.ip(), port).to_string();
            if !all.contains(&control) && all.len() < MOST_ASKED {
                all.push(control);
            }
        }
    }
    all
}

/// Name and readiness socket of each data plane that a control plane is connected with.
fn data_planes_of(status: &Value) -> BTreeMap<String, String> {
    let lines = status["lines"].as_array().into_iter().flatten();
    let data_planes = lines.filter(|line| line["plane"] == "Data plane");
    let data_planes = data_planes.map(|line| (cell(&line["name"]), cell(&line["address"])));
    data_planes.filter(|(_, address)| address.parse::<SocketAddr>().is_ok()).collect()
}

fn events_of(mut answer: Value) -> Vec<Value> {
    let by = cell(&answer["name"]);
    let Value::Array(events) = answer["events"].take() else { return Vec::new() };
    events.into_iter().map(|event| with(event, "by", &by)).collect()
}

fn with(mut object: Value, field: &str, value: &str) -> Value {
    if let Value::Object(fields) = &mut object {
        fields.insert(field.to_owned(), value.into());
    }
    object
}

/// What the status says of it at this moment.
fn now(status: &Value, what: &str) -> Vec<String> {
    let mut lines = Vec::new();
    let all = |list: &str| status[list].as_array().cloned().unwrap_or_default();
    if status["version"] == what {
        lines.push(format!("configuration {what} is in force"));
    }
    for control_plane in all("control_planes").iter().filter(|control_plane| control_plane["address"] == what)
    {
        let leads = if status["leader"] == what { ", leads" } else { "" };
        lines.push(format!(
            "control plane in {}, reached: {}{leads}",
            cell(&control_plane["zone"]),
            cell(&control_plane["reached"])
        ));
    }
    if all("data_planes").iter().any(|data_plane| data_plane == what) {
        lines.push("data plane that counts".to_owned());
    }
    for line in all("lines").iter().filter(|line| line["name"] == what) {
        let silent = line["silent_ms"].as_u64().unwrap_or_default();
        lines.push(format!("connected as {}, last heard {} ago", cell(&line["plane"]), ago(silent)));
    }
    for backend in all("backends").iter().filter(|backend| backend["id"] == what) {
        let overdue = if backend["overdue"] == true { ", overdue" } else { "" };
        lines.push(format!(
            "backend of {} at {}: {}{overdue}",
            cell(&backend["service"]),
            cell(&backend["address"]),
            cell(&backend["phase"])
        ));
    }
    lines
}

fn shown(what: &str, now: &[String], events: &[Value], requests: &[Value], unheard: usize) -> String {
    let mut text = String::new();
    now.iter().for_each(|line| text.push_str(&format!("now: {line}\n")));
    if !events.is_empty() {
        let age = |event: &Value| ago(event["age_ms"].as_u64().unwrap_or_default());
        let row = |e: &Value| {
            vec![
                age(e),
                cell(&e["by"]),
                cell(&e["step"]),
                cell(&e["subject"]),
                cell(&e["epoch"]),
                cell(&e["version"]),
                cell(&e["text"]),
            ]
        };
        let rows: Vec<_> = events.iter().map(row).collect();
        text.push_str(&table(&["ago", "seen by", "step", "of", "epoch", "version", "what"], &rows));
    }
    for request in requests {
        text.push_str(&format!(
            "request {} at {}, {} ago: route {}, tenant {}, answered {} after {} ms: {}\n",
            cell(&request["id"]),
            cell(&request["by"]),
            ago(request["age_ms"].as_u64().unwrap_or_default()),
            cell(&request["route"]),
            cell(&request["tenant"]),
            cell(&request["status"]),
            cell(&request["took_ms"]),
            cell(&request["why"])
        ));
        for tried in request["tries"].as_array().into_iter().flatten() {
            text.push_str(&format!("  tried {}: {}\n", cell(&tried["backend"]), cell(&tried["outcome"])));
        }
    }
    if text.is_empty() {
        text.push_str(&format!("nothing is recorded of {what}: all went smoothly, or it is too long ago\n"));
    }
    if unheard > 0 {
        text.push_str(&format!("{unheard} processes gave no answer: this may not be all\n"));
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whom_to_ask_is_read_from_the_status_of_one() {
        let status = json!({ "name": "a", "lines": [
            { "name": "b", "plane": "Control plane", "address": "10.0.0.2:7660" },
            { "name": "b", "plane": "Control plane", "address": "10.0.0.2:7660" },
            { "name": "c", "plane": "Control plane", "address": "nowhere" },
            { "name": "b", "plane": "Data plane", "address": "10.0.0.2:8406" },
            { "name": "old", "plane": "Data plane", "address": "" },
        ]});
        assert_eq!(masters_of(&status, "10.0.0.1:8407"), ["10.0.0.1:8407", "10.0.0.2:8407"]);
        assert_eq!(data_planes_of(&status), BTreeMap::from([("b".into(), "10.0.0.2:8406".into())]));
        assert_eq!((masters_of(&json!([]), "x"), data_planes_of(&json!(7)).len()), (vec!["x".to_owned()], 0));
    }

    #[test]
    fn what_is_found_is_told_with_its_holes() {
        let request = json!({ "id": "7f", "by": "q", "age_ms": 1500, "route": "r", "tenant": null, "status": 503,
            "took_ms": 20, "why": "no room", "tries": [{ "backend": "i", "outcome": "full" }] });
        let text = shown("7f", &[], &[], &[request], 2);
        let told = "request 7f at q, 1.5 s ago: route r, tenant -, answered 503 after 20 ms: no room\n  tried i: full\n";
        assert_eq!(text, format!("{told}2 processes gave no answer: this may not be all\n"));
        assert!(shown("x", &[], &[], &[], 0).starts_with("nothing is recorded of x"));
    }
}
