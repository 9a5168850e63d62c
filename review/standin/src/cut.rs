//! One machine is cut off from all others for a little over a minute.

use crate::backend::{Backend, Runs};
use crate::client::{send, Outcome, Random, Request};
use crate::fleet::{is_ready, Fleet, Links};
use crate::operator::{configuration, replace, Tenant};
use crate::record::Record;
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The machine that is cut off; it serves control. No client is sent to it.
const ISLAND: usize = 2;
const CUT: Duration = Duration::from_secs(62);
/// The operator adds a route so long after the machine is back, when times are calm again.
const ROUTE_ADDED_AFTER: Duration = Duration::from_secs(8);
/// Bounds `contact_ms` and `apply_ms` of the settings.
const CONTACT_MS: u64 = 3000;
const APPLY_MS: u64 = 2000;
const GATEWAYS: [usize; 3] = [0, 1, 3];
const WORKERS: usize = 24;
/// Requests that each worker sends a second.
const RATE: f64 = 0.5;
const ANSWER: usize = 400;
/// Bound `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);

struct Sent {
    at: u64,
    on_added: bool,
    served: bool,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let fleet = Arc::new(Fleet::start(record.clone(), 4, Links::Island(ISLAND))?);
    let tenants: Vec<Tenant> =
        (0..8).map(|n| Tenant { label: format!("tenant{n}"), rate: 100, burst: 100 }).collect();
    let all: Vec<&Tenant> = tenants.iter().collect();
    replace(&fleet, 0, 1, &configuration(1, &all, 3000, &[]), Duration::from_secs(20))?;
    let runs = Arc::new(Runs::default());
    for n in 0..6 {
        Backend::start(&fleet, n, "meterdesk", 6, Duration::from_millis(40), ANSWER, &runs)?;
    }
    fleet.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(2));

    let (over, added) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let (fleet, record, sent) = (fleet.clone(), record.clone(), sent.clone());
            let (over, added) = (over.clone(), added.clone());
            std::thread::spawn(move || {
                let (mut random, mut kept) = (Random(worker as u64), None);
                let gateway = GATEWAYS[worker % GATEWAYS.len()];
                let mut due = Instant::now() + Duration::from_millis(random.below(2000) as u64);
                for n in 0.. {
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    due += Duration::from_secs_f64(1.0 / RATE);
                    let on_added = added.load(Ordering::SeqCst) && random.below(3) == 0;
                    let booking = !on_added && random.below(3) == 0;
                    let id = format!("{worker:02x}{n:06x}{:08x}", random.below(1 << 32));
                    let request = Request {
                        id: &id,
                        method: if booking { "POST" } else { "GET" },
                        path: if on_added {
                            "/added/1"
                        } else if booking {
                            "/book/1"
                        } else {
                            "/read/1"
                        },
                        key: &format!("key-tenant{}", random.below(8)),
                        deadline: Duration::from_millis(3000),
                        answer: ANSWER,
                    };
                    let at = record.now();
                    let outcome = send(&mut kept, fleet.machines[gateway].front(), &request);
                    record.line(format!(
                        "sent {id} {} at {at} to gateway {gateway}: {outcome:?}",
                        request.path
                    ));
                    sent.lock().unwrap().push(Sent {
                        at,
                        on_added,
                        served: outcome == Outcome::Answer(200, true),
                    });
                }
            })
        })
        .collect();

    std::thread::sleep(Duration::from_secs(1));
    record.say(if trouble { "machine 2 is cut off from all others" } else { "(no trouble)" });
    let cut_at = record.now();
    fleet.cut.store(trouble, Ordering::SeqCst);
    std::thread::sleep(CUT);
    fleet.cut.store(false, Ordering::SeqCst);
    let back = record.now();
    record.say(if trouble { "machine 2 is back" } else { "(no trouble)" });
    std::thread::sleep(ROUTE_ADDED_AFTER);
    replace(&fleet, 1, 2, &configuration(2, &all, 3000, &["/added/".into()]), Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_millis(APPLY_MS));
    added.store(true, Ordering::SeqCst);
    for _ in 0..5 {
        std::thread::sleep(Duration::from_secs(5));
        let ready: Vec<bool> = GATEWAYS.iter().map(|n| is_ready(fleet.machines[*n].readiness())).collect();
        record.say(format!("the platform finds the data planes {GATEWAYS:?} ready: {ready:?}"));
    }
    over.store(true, Ordering::SeqCst);
    for worker in workers {
        let _ = worker.join();
    }

    let sent = sent.lock().unwrap();
    let served = |which: &dyn Fn(&Sent) -> bool| {
        let all: Vec<_> = sent.iter().filter(|request| which(request)).collect();
        (all.iter().filter(|request| request.served).count(), all.len())
    };
    let calm =
        |at: u64| !(cut_at..cut_at + CONTACT_MS).contains(&at) && !(back..back + CONTACT_MS).contains(&at);
    let later = back + RECOVERY.as_millis() as u64;
    let (before, after) = (served(&|r| r.at < back), served(&|r| r.at >= later));
    let first = served(&|r| !r.on_added && calm(r.at));
    let on_added = served(&|r| r.on_added && calm(r.at));
    record.say(format!("served of those sent before the machine was back: {} of {}", before.0, before.1));
    record.say(format!(
        "served of those sent more than {} s after that: {} of {}",
        RECOVERY.as_secs(),
        after.0,
        after.1
    ));
    record.say(format!("in calm times, on the first routes: {} of {} served", first.0, first.1));
    record.say(format!(
        "in calm times, on the route that was added later: {} of {} served",
        on_added.0, on_added.1
    ));
    for (n, machine) in fleet.machines.iter().enumerate() {
        let status =
            crate::http::call(machine.control(), "GET", "/Harbour.Status", "", b"", Duration::from_secs(1));
        if let (true, Ok((200, body))) = (machine.control_plane.is_some(), status) {
            let text = String::from_utf8_lossy(&body).into_owned();
            record.line(format!("status of control-plane-{n}: {text}"));
        }
    }
    if before.0 * 10 < before.1 * 9 || on_added.1 < 20 {
        return Err(
            "too few requests were served before the machine was back, or sent to the added route".into()
        );
    }
    // CONFIG: requests on routes that were added later (20 or more) are served less than a quarter as often as those on
    // the first routes, in calm times.
    let share = |(served, all): (usize, usize)| served as f64 / all as f64;
    Ok(if share(on_added) < share(first) / 4.0 { Verdict::Broken } else { Verdict::Held })
}
