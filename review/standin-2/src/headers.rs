//! DENIED: a configuration raises `limits.max_header_bytes`; kept connections go by the former limit.

use crate::Verdict;
use crate::fleet::{Fleet, Record, Role};
use crate::http::Client;
use crate::standins::{Backend, replace};
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// Kept connections, each with one long request after the change.
const CONNECTIONS: usize = 12;

fn config(version: u64, max_header_bytes: u64) -> String {
    format!(
        "{{\"generation\":\"r{version}\",\"route_table\":{{\"r-shutoff\":{{\"authority\":\"ficu95.example\",\
         \"path_prefix\":\"/shutoff/\",\"variant\":\"effectful\",\"deadline_ms\":3000,\"goal_ms\":500,\"rank\":1,\
         \"target\":\"meterdesk\",\"max_tries\":2,\"public\":true}}}},\"service_table\":{{\"meterdesk\":\
         {{\"health_path\":\"/health\",\"max_conns\":140,\"protocol\":\"h1\",\"tls_mode\":false}}}},\
         \"limits\":{{\"max_header_bytes\":{max_header_bytes},\"max_body_bytes\":67108864,\"header_wait_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

fn request(id: &str, extra: usize) -> Vec<u8> {
    // A few long headers, as cookies and tokens are.
    let mut text = format!(
        "POST /shutoff/1 HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Left: 3000\r\n"
    );
    for part in 0..extra / 1000 {
        text.push_str(&format!("X-Context-{part}: {}\r\n", "c".repeat(980)));
    }
    text.push_str("Content-Length: 4\r\n\r\nshut");
    text.into_bytes()
}

pub fn run(repo: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::new(repo, record.clone(), 0) else { return Verdict::NotRun("no ports".into()) };
    fleet.watchdog(Duration::from_secs(110));
    for machine in 0..3 {
        fleet.start(machine, Role::ControlPlane, true);
        fleet.start(machine, Role::DataPlane, true);
    }
    let controls = fleet.controls();
    let (before, after) = (8192, 16384);
    let first = if trouble { before } else { after };
    if replace(record, &controls, 0, 1, &config(1, first)).is_none() {
        return Verdict::NotRun("the first configuration was not taken".into());
    }
    let backends: Vec<_> = (0..3)
        .map(|n| {
            let (ip, zone) = (fleet.machines[n].ip.clone(), fleet.machines[n].zone);
            let work = Duration::from_millis(20);
            Backend::start(&ip, &format!("i-{n}"), "meterdesk", zone, work, controls.clone(), record.clone())
        })
        .collect();
    if !(0..3).all(|machine| fleet.wait_ready(machine, Duration::from_secs(20))) {
        return Verdict::NotRun("the data planes did not become ready".into());
    }
    sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    for number in 0..CONNECTIONS {
        let Some(mut client) = Client::open(fleet.front(number % 3)) else {
            return Verdict::NotRun("no connection".into());
        };
        let id = format!("short-{number}");
        client.send(&request(&id, 0));
        let status = client.answer(Duration::from_secs(4)).map_or(0, |answer| answer.status);
        record.line(format!("request {id} on connection {number}: answered {status}"));
        if status != 200 {
            return Verdict::NotRun("a short request was not served".into());
        }
        clients.push(client);
    }
    if trouble && replace(record, &controls, 1, 2, &config(2, after)).is_none() {
        return Verdict::NotRun("the second configuration was not taken".into());
    }
    // The bound is apply_ms = 2 s; the connections rest for less than the 12 s that clients keep to.
    sleep(Duration::from_secs(6));
    let mut denied = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("long-{number}");
        let bytes = request(&id, 12_000);
        let head = bytes.len() - 4;
        client.send(&bytes);
        let status = client.answer(Duration::from_secs(4)).map_or(0, |answer| answer.status);
        record.line(format!("request {id} (head of {head} bytes) on kept connection {number}: answered {status}"));
        if (300..500).contains(&status) && ![408, 421, 429].contains(&status) {
            denied.push(status);
        }
    }
    // The same on new connections: the configuration in force allows it.
    for number in 0..3 {
        let id = format!("new-{number}");
        let answer = Client::open(fleet.front(number)).and_then(|mut client| {
            client.send(&request(&id, 12_000));
            client.answer(Duration::from_secs(4))
        });
        let status = answer.map_or(0, |answer| answer.status);
        record.line(format!("request {id} on a new connection to machine {number}: answered {status}"));
        if status != 200 {
            return Verdict::NotRun("a long request was not served on a new connection".into());
        }
    }
    let total = 2 * CONNECTIONS + 3;
    backends.iter().for_each(|backend| backend.end());
    // DENIED: more than 5 + one in 500 of all requests.
    if denied.len() as f64 > 5.0 + total as f64 / 500.0 {
        return Verdict::Broken(format!("{} of {total} requests were denied: {denied:?}", denied.len()));
    }
    Verdict::Held
}
