//! A tenant is taken away and brought back within seconds; meanwhile the leader is killed.

use crate::backend::{Backend, Runs};
use crate::client::{send, Outcome, Request};
use crate::fleet::{Fleet, Links};
use crate::http::call;
use crate::operator::{configuration, replace, Tenant};
use crate::record::Record;
use crate::Verdict;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RATE: u32 = 10;
const BURST: u32 = 150;
/// Requests that the tenant's clients send at once, twice.
const CROWD: usize = 220;
const ANSWER: usize = 400;
/// Bounds of the settings: `quota_window_s`, `quota_excess`, `quota_slack`.
const WINDOW_MS: u64 = 5000;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
/// When the tenant comes back, after its first requests.
const BACK_AFTER: Duration = Duration::from_millis(3300);

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let fleet = Arc::new(Fleet::start(record.clone(), 4, Links::Direct)?);
    let tenants = [
        Tenant { label: "other".into(), rate: 100, burst: 100 },
        Tenant { label: "hotel".into(), rate: RATE, burst: BURST },
    ];
    let (both, one) = ([&tenants[0], &tenants[1]], [&tenants[0]]);
    replace(&fleet, 0, 1, &configuration(1, &both, 3000, &[]), Duration::from_secs(20))?;
    let runs = Arc::new(Runs::default());
    for n in 0..9 {
        Backend::start(&fleet, n, "meterdesk", 16, Duration::from_millis(20), ANSWER, &runs)?;
    }
    fleet.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(10));
    let leader = leader(&fleet)?;
    record.say(format!("the leader is control-plane-{leader}"));

    let start = Instant::now();
    let mut ids = crowd(&fleet, 1);
    replace(&fleet, 1, 3, &configuration(3, &one, 3000, &[]), Duration::from_secs(5))?;
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        record.say(format!("control-plane-{leader} is killed"));
        if let Some(process) = &fleet.machines[leader].control_plane {
            process.signal("KILL");
        }
    }
    std::thread::sleep(BACK_AFTER.saturating_sub(start.elapsed()));
    replace(&fleet, 3, 5, &configuration(5, &both, 3000, &[]), Duration::from_secs(5))?;
    std::thread::sleep(Duration::from_millis(100));
    ids.extend(crowd(&fleet, 2));
    std::thread::sleep(Duration::from_secs(2));

    let runs = runs.0.lock().unwrap();
    let at: Vec<(u64, u64)> =
        ids.iter().filter_map(|(id, sent)| runs.get(id).map(|runs| (*sent, runs[0]))).collect();
    // Sent and run within the window that begins when one of them was sent.
    let within = |from: u64| at.iter().filter(|(sent, run)| *sent >= from && *run < from + WINDOW_MS).count();
    let most = at.iter().map(|(sent, _)| within(*sent)).max().unwrap_or(0);
    let bound = (f64::from(RATE) * WINDOW_MS as f64 / 1000.0 + f64::from(BURST)) * (1.0 + EXCESS) + SLACK;
    record
        .say(format!("requests of the tenant that were sent and run in some 5 s: {most}, bound {bound:.0}"));
    Ok(if most as f64 > bound { Verdict::Broken } else { Verdict::Held })
}

fn leader(fleet: &Fleet) -> Result<usize, String> {
    for _ in 0..50 {
        for (n, machine) in fleet.machines.iter().enumerate().filter(|(_, m)| m.control_plane.is_some()) {
            let status = call(machine.control(), "GET", "/Harbour.Status", "", b"", Duration::from_secs(1));
            if status.is_ok_and(|(_, body)| String::from_utf8_lossy(&body).contains("\"leads\":true")) {
                return Ok(n);
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err("no leader".into())
}

/// Sends the tenant's requests at once, to all gateways. Returns their ids and when they were sent.
fn crowd(fleet: &Arc<Fleet>, round: usize) -> Vec<(String, u64)> {
    let clients: Vec<_> = (0..CROWD)
        .map(|n| {
            let fleet = fleet.clone();
            std::thread::spawn(move || {
                let id = format!("{round:04x}{n:012x}");
                let request = Request {
                    id: &id,
                    method: "POST",
                    path: "/book/1",
                    key: "key-hotel",
                    deadline: Duration::from_secs(2),
                    answer: ANSWER,
                };
                let at = fleet.record.now();
                let outcome = send(&mut None, fleet.machines[n % fleet.machines.len()].front(), &request);
                fleet
                    .record
                    .line(format!("sent {id} at {at} to gateway {}: {outcome:?}", n % fleet.machines.len()));
                (id, at, outcome)
            })
        })
        .collect();
    let all: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let served = all.iter().filter(|(.., outcome)| *outcome == Outcome::Answer(200, true)).count();
    fleet.record.say(format!("crowd {round}: {served} of {CROWD} served"));
    all.into_iter().map(|(id, at, _)| (id, at)).collect()
}
