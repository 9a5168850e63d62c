//! The `explain` command: collects the records about one subject from all processes that respond.

use super::table::{cell, duration, table};
use super::{CommandError, client};
use gumdrop::Options;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of control planes and of data planes to query. A fleet has some dozens of control planes and some
/// hundreds of data planes.
const MAX_QUERIED: usize = 1024;

/// Arguments of the `explain` command.
#[derive(Debug, Options)]
pub struct Explain {
    /// print this help
    help: bool,
    /// control socket addresses, separated by commas; the first that responds names the other processes
    #[options(required, meta = "CONTROL")]
    at: String,
    /// print the records as JSON
    json: bool,
    #[options(free, required)]
    what: String,
}

/// Runs the `explain` command: queries all known control planes for events, and all known data planes for request
/// records and events.
pub async fn explain(call: Explain) -> Result<String, CommandError> {
    let response = client::get(&call.at, "status", "/Harbour.Status").await?;
    let first_control = response.peer.clone();
    let first_status = response.json("status")?;
    let (mut events, mut data_planes) = (Vec::new(), data_planes_of(&first_status));
    let path = format!("/Harbour.Events?about={}", client::percent_encode(&call.what));
    let mut unanswered = 0;
    for control in control_sockets_of(&first_status, &first_control) {
        match client::get(&control, "events", &path).await {
            Ok(response) if response.status == 200 => {
                events.extend(events_of(response.json("events")?));
                // A control plane knows only the data planes that are connected to it, so all control planes are
                // queried.
                if control != first_control
                    && let Ok(status) = client::get(&control, "status", "/Harbour.Status").await
                    && let Ok(status) = status.json("status")
                {
                    data_planes.extend(data_planes_of(&status));
                }
            }
            _ => unanswered += 1,
        }
    }
    let mut requests = Vec::new();
    let subject = client::percent_encode(&call.what);
    for (name, readiness) in data_planes.iter().take(MAX_QUERIED) {
        let Ok(response) = client::get(readiness, "request", &format!("/requests/{subject}")).await else {
            unanswered += 1;
            continue;
        };
        if let Ok(Value::Object(mut body)) = response.json("request")
            && let Some(Value::Array(list)) = body.remove("requests")
        {
            requests.extend(list.into_iter().map(|request| with_field(request, "by", name)));
        }
        let response = client::get(readiness, "events", &format!("/events?about={subject}")).await;
        events
            .extend(response.and_then(|response| response.json("events")).map(events_of).unwrap_or_default());
    }
    events.sort_by_key(|event| event["age_ms"].as_u64());
    let now = current_state(&first_status, &call.what);
    if call.json {
        let report = json!({ "what": call.what, "now": now, "events": events, "requests": requests, "unheard": unanswered });
        return Ok(report.to_string() + "\n");
    }
    Ok(format_report(&call.what, &now, &events, &requests, unanswered))
}

/// Returns the control socket addresses of all control planes in a status, starting with `first_control`. All machines
/// of a fleet use the same control port, so only the IP addresses differ.
fn control_sockets_of(status: &Value, first_control: &str) -> Vec<String> {
    let mut sockets = vec![first_control.to_owned()];
    let port = first_control.rsplit_once(':').and_then(|(_, port)| port.parse::<u16>().ok());
    let own_name = status["name"].as_str();
    let connections = status["lines"].as_array().into_iter().flatten();
    let control_planes = connections.filter(|connection| {
        connection["plane"] == "Control plane" && connection["name"].as_str() != own_name
    });
    for connection in control_planes {
        let address = connection["address"].as_str().and_then(|address| address.parse::<SocketAddr>().ok());
        if let Some((address, port)) = address.zip(port) {
            let control = SocketAddr::new(address.ip(), port).to_string();
            if !sockets.contains(&control) && sockets.len() < MAX_QUERIED {
                sockets.push(control);
            }
        }
    }
    sockets
}

/// Returns the name and the readiness socket address of each data plane that is connected to a control plane.
fn data_planes_of(status: &Value) -> BTreeMap<String, String> {
    let connections = status["lines"].as_array().into_iter().flatten();
    let data_planes = connections.filter(|connection| connection["plane"] == "Data plane");
    let data_planes = data_planes.map(|connection| (cell(&connection["name"]), cell(&connection["address"])));
    data_planes.filter(|(_, address)| address.parse::<SocketAddr>().is_ok()).collect()
}

/// Returns the events in a response, each with the name of the process that recorded it.
fn events_of(mut body: Value) -> Vec<Value> {
    let recorded_by = cell(&body["name"]);
    let Value::Array(events) = body["events"].take() else { return Vec::new() };
    events.into_iter().map(|event| with_field(event, "by", &recorded_by)).collect()
}

fn with_field(mut object: Value, field: &str, value: &str) -> Value {
    if let Value::Object(fields) = &mut object {
        fields.insert(field.to_owned(), value.into());
    }
    object
}

/// Describes the current state of the subject according to a status.
fn current_state(status: &Value, what: &str) -> Vec<String> {
    let mut lines = Vec::new();
    let list = |key: &str| status[key].as_array().cloned().unwrap_or_default();
    if status["version"] == what {
        lines.push(format!("configuration {what} is in force"));
    }
    for control_plane in
        list("control_planes").iter().filter(|control_plane| control_plane["address"] == what)
    {
        let leads = if status["leader"] == what { ", leads" } else { "" };
        lines.push(format!(
            "control plane in {}, reached: {}{leads}",
            cell(&control_plane["zone"]),
            cell(&control_plane["reached"])
        ));
    }
    if list("data_planes").iter().any(|data_plane| data_plane == what) {
        lines.push("data plane in the current fleet".to_owned());
    }
    for connection in list("lines").iter().filter(|connection| connection["name"] == what) {
        let silent_ms = connection["silent_ms"].as_u64().unwrap_or_default();
        lines.push(format!(
            "connected as {}, last message {} ago",
            cell(&connection["plane"]),
            duration(silent_ms)
        ));
    }
    for backend in list("backends").iter().filter(|backend| backend["id"] == what) {
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

fn format_report(
    what: &str, now: &[String], events: &[Value], requests: &[Value], unanswered: usize,
) -> String {
    let mut text = String::new();
    now.iter().for_each(|line| text.push_str(&format!("now: {line}\n")));
    if !events.is_empty() {
        let age = |event: &Value| duration(event["age_ms"].as_u64().unwrap_or_default());
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
            duration(request["age_ms"].as_u64().unwrap_or_default()),
            cell(&request["route"]),
            cell(&request["tenant"]),
            cell(&request["status"]),
            cell(&request["took_ms"]),
            cell(&request["why"])
        ));
        for attempt in request["tries"].as_array().into_iter().flatten() {
            text.push_str(&format!("  tried {}: {}\n", cell(&attempt["backend"]), cell(&attempt["outcome"])));
        }
    }
    if text.is_empty() {
        text.push_str(&format!(
            "nothing is recorded of {what}: no problem occurred, or the records have expired\n"
        ));
    }
    if unanswered > 0 {
        text.push_str(&format!("{unanswered} processes gave no answer: this may not be all\n"));
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn processes_to_query_come_from_one_status() {
        let status = json!({ "name": "a", "lines": [
            { "name": "b", "plane": "Control plane", "address": "10.0.0.2:7660" },
            { "name": "b", "plane": "Control plane", "address": "10.0.0.2:7660" },
            { "name": "c", "plane": "Control plane", "address": "nowhere" },
            { "name": "b", "plane": "Data plane", "address": "10.0.0.2:8406" },
            { "name": "old", "plane": "Data plane", "address": "" },
        ]});
        assert_eq!(control_sockets_of(&status, "10.0.0.1:8407"), ["10.0.0.1:8407", "10.0.0.2:8407"]);
        assert_eq!(data_planes_of(&status), BTreeMap::from([("b".into(), "10.0.0.2:8406".into())]));
        assert_eq!(
            (control_sockets_of(&json!([]), "x"), data_planes_of(&json!(7)).len()),
            (vec!["x".to_owned()], 0)
        );
    }

    #[test]
    fn report_counts_processes_without_response() {
        let request = json!({ "id": "7f", "by": "q", "age_ms": 1500, "route": "r", "tenant": null, "status": 503,
            "took_ms": 20, "why": "no room", "tries": [{ "backend": "i", "outcome": "full" }] });
        let text = format_report("7f", &[], &[], &[request], 2);
        let expected = "request 7f at q, 1.5 s ago: route r, tenant -, answered 503 after 20 ms: no room\n  tried i: full\n";
        assert_eq!(text, format!("{expected}2 processes gave no answer: this may not be all\n"));
        assert!(format_report("x", &[], &[], &[], 0).starts_with("nothing is recorded of x"));
    }
}
