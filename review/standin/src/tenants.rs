//! The operator takes tenants away and brings them back, while their clients send.

use crate::backend::{Backend, Runs};
use crate::client::{send, Outcome, Random, Request};
use crate::fleet::{Fleet, Links};
use crate::operator::{configuration, replace, Tenant};
use crate::record::Record;
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TENANTS: usize = 190;
/// So many of the tenants go and come back.
const LEAVING: usize = 140;
/// Routes beyond the two that are used.
const ROUTES: usize = 350;
const WORKERS: usize = 96;
/// Requests that each worker sends a second.
const RATE: f64 = 10.0;
const QUIET: Duration = Duration::from_secs(20);
const CHANGING: Duration = Duration::from_secs(70);
const BETWEEN: Duration = Duration::from_millis(700);
const ANSWER: usize = 400;
const GATEWAYS: usize = 6;
const DEADLINE_MS: u64 = 3000;
/// Bound `apply_ms` of the settings.
const APPLY_MS: u64 = 2000;

struct Sent {
    at: u64,
    ended: u64,
    gateway: usize,
    id: String,
    outcome: Outcome,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let fleet = Arc::new(Fleet::start(record.clone(), GATEWAYS, Links::Zones)?);
    let tenants: Vec<Tenant> =
        (0..TENANTS).map(|n| Tenant { label: format!("tenant{n:03}"), rate: 40, burst: 40 }).collect();
    let all: Vec<&Tenant> = tenants.iter().collect();
    let staying: Vec<&Tenant> = tenants.iter().skip(LEAVING).collect();
    let routes: Vec<String> = (0..ROUTES).map(|n| format!("/more{n:03}/")).collect();
    let mut version = 1;
    replace(&fleet, 0, 1, &configuration(1, &all, 3000, &routes), Duration::from_secs(20))?;
    let runs = Arc::new(Runs::default());
    for n in 0..9 {
        Backend::start(&fleet, n, "meterdesk", 16, Duration::from_millis(60), ANSWER, &runs)?;
    }
    fleet.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(3));

    // Whether the tenants that go are there as far as the operator knows: their clients send only then.
    let present = Arc::new(AtomicBool::new(true));
    let over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let (fleet, record) = (fleet.clone(), record.clone());
            let (present, over, sent) = (present.clone(), over.clone(), sent.clone());
            std::thread::spawn(move || {
                let (gateway, mut random, mut kept) = (worker % GATEWAYS, Random(worker as u64), None);
                let to = fleet.machines[gateway].front();
                let mut due = Instant::now() + Duration::from_millis(random.below(160) as u64);
                for n in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    due += Duration::from_secs_f64(1.0 / RATE * (0.5 + random.below(1000) as f64 / 1000.0));
                    let first = if present.load(Ordering::SeqCst) { 0 } else { LEAVING };
                    let tenant = first + random.below(TENANTS - first);
                    let booking = random.below(3) == 0;
                    let id = format!("{worker:02x}{n:06x}{:08x}", random.below(1 << 32));
                    let request = Request {
                        id: &id,
                        method: if booking { "POST" } else { "GET" },
                        path: if booking { "/book/1" } else { "/read/1" },
                        key: &format!("key-tenant{tenant:03}"),
                        deadline: Duration::from_millis(DEADLINE_MS),
                        answer: ANSWER,
                    };
                    let at = record.now();
                    let outcome = send(&mut kept, to, &request);
                    record.line(format!("sent {id} at {at} to gateway {gateway}: {outcome:?}"));
                    sent.lock().unwrap().push(Sent { at, ended: record.now(), gateway, id, outcome });
                }
            })
        })
        .collect();

    std::thread::sleep(QUIET);
    let changing_from = record.now();
    let until = Instant::now() + CHANGING;
    let mut error = None;
    while Instant::now() < until {
        let due = Instant::now() + BETWEEN;
        let (base, next) = (version, version + 2);
        // Without the disruption, the same number of changes are made, to the routes' timeout.
        let takes_away = (next / 2) % 2 == 1;
        let body = match (trouble, takes_away) {
            (true, true) => configuration(next, &staying, 3000, &routes),
            (true, false) => configuration(next, &all, 3000, &routes),
            (false, _) => configuration(next, &all, 3000 + next, &routes),
        };
        match replace(&fleet, base, next, &body, Duration::from_secs(10)) {
            Ok(200) => version = next,
            Ok(status) => error = Some(format!("r{next} was answered {status}")),
            Err(why) => error = Some(why),
        }
        if error.is_some() {
            break;
        }
        if trouble {
            present.store(!takes_away, Ordering::SeqCst);
        }
        // Some ended processes are enough.
        let ends: usize = fleet.processes().iter().map(|p| p.own_ends.lock().unwrap().len()).sum();
        if ends >= 2 {
            break;
        }
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let changed_last = record.now();
    std::thread::sleep(Duration::from_secs(3));
    over.store(true, Ordering::SeqCst);
    for worker in workers {
        let _ = worker.join();
    }
    if let Some(error) = error {
        return Err(error);
    }

    // By gateway: without and with a change that may be in force (since its sending, up to `apply_ms` and 1 s later).
    let mut lost = [[0; 2]; GATEWAYS];
    let mut served = 0;
    let sent = sent.lock().unwrap();
    let runs = runs.0.lock().unwrap();
    for request in sent.iter() {
        served += usize::from(request.outcome == Outcome::Answer(200, true));
        // Not for a request that has used seven tenths of its time.
        let in_time = (request.ended - request.at) * 10 < DEADLINE_MS * 7;
        if request.outcome == Outcome::Cut && in_time && runs.contains_key(&request.id) {
            let changing = request.ended >= changing_from && request.ended <= changed_last + APPLY_MS + 1000;
            lost[request.gateway][usize::from(changing)] += 1;
            record.line(format!(
                "lost {} sent at {} to gateway {}, run at {:?}, cut at {}",
                request.id, request.at, request.gateway, runs[&request.id], request.ended
            ));
        }
    }
    record.say(format!("{} requests sent, {served} served", sent.len()));
    let mut ends = 0;
    for process in fleet.processes() {
        for (at, status) in process.own_ends.lock().unwrap().iter() {
            ends += 1;
            record.say(format!("{} ended by itself at {at}: {status}", process.name));
        }
        if !process.own_ends.lock().unwrap().is_empty() {
            for line in fleet.log_grep(&process, "panicked").iter().chain(&fleet.log_grep(&process, "float"))
            {
                record.say(format!("{}: {line}", process.name));
            }
        }
    }
    let seconds = (changed_last + APPLY_MS + 1000 - changing_from) as f64 / 1000.0;
    record.say(format!("processes that ended by themselves: {ends}"));
    let mut broken = false;
    for (gateway, [before, changing]) in lost.iter().enumerate() {
        record.say(format!(
            "gateway {gateway}: requests at work at a backend whose connection ended without an answer: {before} in {} s \
             without changes, {changing} in {seconds:.0} s with changes",
            QUIET.as_secs()
        ));
        // LOST counts beside a configuration if the machine ends over three times as many requests so as at other times.
        broken |=
            *changing > 0 && f64::from(*changing) / seconds > 3.0 * f64::from(*before) / QUIET.as_secs_f64();
    }
    if served * 2 < sent.len() {
        return Err("fewer than half of the requests were served".into());
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
